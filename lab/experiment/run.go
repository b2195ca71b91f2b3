package experiment

import (
	"context"
	"fmt"
	"io"
	"maps"
	"math"
	"math/rand/v2"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"hatchproxy/lab/fleet"
	"hatchproxy/lab/ledger"
	"hatchproxy/lab/load"
	"hatchproxy/lab/sysfault"
)

// Placement says how clients' connections are placed on servers: by the proxies under test, or by a baseline without any.
type Placement string

const (
	PlacementProxies Placement = "proxies"
	PlacementRandom  Placement = "random"   // each client connects to a random ready server
	PlacementSingle  Placement = "straight" // all clients connect to the first server
	PlacementBest    Placement = "best"     // a policy that knows the true state of all servers
)

// Placements lists all placements.
var Placements = []Placement{PlacementProxies, PlacementRandom, PlacementSingle, PlacementBest}

// Result is the outcome of a run.
type Result struct {
	Experiment          string             `json:"experiment"`
	Seed                uint64             `json:"seed"`
	Placement           Placement          `json:"way"`
	Proxy               string             `json:"proxy,omitempty"` // file name of the proxy's binary; "" for a baseline
	LengthSeconds       float64            `json:"length_s"`
	Figures             map[string]float64 `json:"figures"`
	Shortfalls          []string           `json:"shortfalls"`        // what did not meet the expectations; empty if the run passed
	Breaches            []string           `json:"breaches"`          // of the protocol's rules, the first maxReportedBreaches
	Crashes             []string           `json:"crashes,omitempty"` // of proxies, each with the end of its log
	Troubles            []TroubleInterval  `json:"troubles"`
	ServedBySecond      []float64          `json:"served_by_second"` // share of the wanted time, weighted by gain; -1 where none was wanted
	ArrivalsBySecond    []float64          `json:"arrivals_by_second"`
	EstablishedBySecond [][]int            `json:"standing_by_second"` // connections of each server
	SetUpQuantiles      []Quantile         `json:"set_up"`
	LineQuantiles       []Quantile         `json:"line"`
}

// TroubleInterval is the time that a trouble lasted, from the run's start.
type TroubleInterval struct {
	FromSeconds float64 `json:"from_s"`
	ToSeconds   float64 `json:"to_s"`
	Text        string  `json:"text"`
}

// Quantile is a point of a latency distribution: a share Q of the samples took at most MS milliseconds.
type Quantile struct {
	Q  float64 `json:"q"`
	MS float64 `json:"ms"`
}

// quantiles are the points of the latency distributions in a result.
var quantiles = []float64{0.01, 0.1, 0.25, 0.5, 0.75, 0.9, 0.95, 0.99, 0.995, 0.999, 0.9999, 1}

// figureDescriptions lists the names of a result's figures with their meaning. In a name, pQ stands for p50, p90, p99, p99.9
// or p100, and RULE for the name of a protocol rule.
var figureDescriptions = [][2]string{
	{"served", "share of the connected time that clients wanted which was served well, weighted by gain"},
	{"served-worst-10s", "lowest share served in any 10 s"},
	{"served-after", "share served from 20 s after the end of the last trouble, but at least in the last fifth of the run"},
	{"recovered-s", "seconds from the end of the last trouble until at least 0.9 is served in 3 consecutive seconds; -1 for never"},
	{"asks", "requests for a connection"}, {"ups", "requests answered with UP"}, {"busy", "requests answered with BUSY"},
	{"failed", "requests answered with an error"}, {"nothing", "requests without an answer"}, {"refused", "requests whose client could not connect"},
	{"retries", "retries"}, {"given-up", "times that a client used up its retries"}, {"moves", "MOVE messages received by clients"},
	{"moves-share", "moves per established connection"}, {"breaks", "established connections that broke"},
	{"messages", "messages sent"},
	{"set-up-pQ", "ms from the scheduled time of the first request until the connection was established; Q is 50, 90, 99, 99.9 or 100"},
	{"answer-pQ", "ms from the scheduled time of a request until its final answer"},
	{"line-pQ", "ms from the scheduled time of a message until its answer"},
	{"late-arrival-pQ", "ms by which the load generator itself started an arrival late"},
	{"late-line-pQ", "ms by which the load generator itself sent a message late"},
	{"answers-over-limit", "answers that took longer than 1 s"},
	{"breaches", "breaches of protocol rules"}, {"breach.RULE", "breaches of one rule"},
	{"sends-after-drain", "the same as breach.drain-kept"}, {"tipped", "cold servers that collapsed under overload"},
	{"order-pQ", "ms from when an order was issued until an instance received it"},
	{"orders-unheard", "orders that an instance did not receive within 10 s, summed over instances"},
	{"drained-left", "connections established at a server 8 s after it was ordered to drain, or 200 ms before the order's end; the largest"},
	{"agents-broken", "breaches of the rules of agents and instances (docs/faults.md)"},
	{"settled-s", "seconds from the end of the last fault until all agents have a new command; -1 for never"},
	{"not-once", "instances that a roll did not restart exactly once"},
	{"unheld-ms", "longest time without a conductor in ms, sampled every 40 ms"},
	{"told-s", "seconds from the end of the last fault until all instances act on that command; -1 for never"},
	{"restarts-failed", "rolling restarts that failed"},
	{"crashes", "proxies that exited unexpectedly"},
	{"late-ends", "planned restarts in which a proxy had to be killed or exited with an error"},
	{"calls-failed", "system calls of proxies that the run made fail or cut short"},
	{"proxy-cpu", "CPU cores that the proxies used, on average"}, {"proxy-mb", "resident memory of the largest proxy, MB"},
	{"lab-cpu", "CPU cores that this program used, on average"}, {"standing-max", "most connections established at once, sampled every second"},
	{"carried-lost", "connections from before the run that were not established again"},
}

// figurePattern matches the names of all figures.
var figurePattern = func() *regexp.Regexp {
	var forms []string
	for _, f := range figureDescriptions {
		form := strings.ReplaceAll(regexp.QuoteMeta(f[0]), "pQ", `p(50|90|99|99\.9|100)`)
		form = strings.ReplaceAll(form, "RULE", "[a-z-]+")
		forms = append(forms, form)
	}
	return regexp.MustCompile("^(" + strings.Join(forms, "|") + ")$")
}()

// Figures returns the name and the meaning of each figure; see figureDescriptions.
func Figures() [][2]string { return figureDescriptions }

// RunOptions are the options of a run.
type RunOptions struct {
	Seed        uint64
	Placement   Placement
	ProxyBinary string                        // path of the proxy's binary
	AgentBinary string                        // path of the agent's binary; only needed if the experiment has agents
	Dir         string                        // for the files of proxies and agents, which are not removed
	Quick       bool                          // limits the run's length to maxQuickLength
	Logf        func(format string, a ...any) // reports progress; may be nil
}

// maxQuickLength limits the length of a quick run, so that all of it ends within a minute.
const maxQuickLength = 40 * ledger.Second

// finishWait/4 is the wait at a run's end, after the clients have ended, for dispatches that are still open at servers.
const finishWait = 1200 * ledger.Millisecond

// run is the state of a run.
type run struct {
	*File
	RunOptions
	eventLog         *ledger.EventLog
	fleet            *fleet.Fleet
	proxies          []*instance
	agents           *agents // nil if the experiment has none
	clients          *load.Clients
	tally            *load.Tally
	length           ledger.Micros
	troubles         []fleet.ScheduledTrouble
	stopCrowds       map[[2]int]func() // by trouble and proxy: ends the crowd of idle connections there
	links            *proxyLinks       // between proxies and servers; nil if the script has no trouble on them
	background       sync.WaitGroup    // of troubles that go on beside the script
	troubleIntervals []TroubleInterval
	errMu            sync.Mutex
	err              error // the first error of a trouble
}

// Run plays the experiment once. Broken rules and missed expectations are reported in the result; an error means that the
// run could not be carried out, or that ctx ended.
func (f *File) Run(ctx context.Context, options RunOptions) (*Result, error) {
	r := &run{File: f, RunOptions: options, eventLog: ledger.NewEventLog(), length: f.Length.micros(), stopCrowds: map[[2]int]func(){}}
	if options.Quick {
		r.length = min(r.length, maxQuickLength)
	}
	var err error
	if r.troubles, err = fleet.Schedule(f.script(), f.targetCount, options.Seed); err != nil {
		return nil, err
	}
	if r.fleet, err = fleet.Start(r.eventLog, f.FleetConfig(), options.Seed); err != nil {
		return nil, fmt.Errorf("start the server fleet: %w", err)
	}
	defer r.fleet.Stop()
	if options.Placement == PlacementProxies {
		defer r.stop()
		if err := r.startProxies(ctx); err != nil {
			return nil, err
		}
	}
	r.tally = load.NewTally(r.length)
	r.clients = load.NewClients(r.eventLog, r.tally, f.products(), r.route(), f.clientHabits(), r.length, options.Seed)
	return r.play(ctx)
}

// startProxies sets up all proxies and their links, and starts them, by agents if the experiment has any. It returns once all
// are ready.
func (r *run) startProxies(ctx context.Context) error {
	for n := range r.File.Proxies.Count {
		zone := n % len(r.File.Fleet.Zones)
		discovery, err := r.fleet.StartDiscovery(n, zone)
		if err != nil {
			return err
		}
		address, reservation, err := reserveAddress(n)
		if err != nil {
			return err
		}
		proxy := &instance{number: n, zone: zone, address: address, dir: r.Dir, binary: r.ProxyBinary, discovery: discovery, reservation: reservation,
			seed: r.Seed*1_000_003 + uint64(n), syscalls: syscallFaults{intercepted: r.interceptedCalls()}}
		if err := proxy.writeConfig(r.File); err != nil {
			return err
		}
		r.proxies = append(r.proxies, proxy)
	}
	if err := r.startLinks(); err != nil {
		return err
	}
	if r.Control.Agents > 0 {
		return r.startAgents(ctx)
	}
	errs := make([]error, len(r.proxies))
	var starting sync.WaitGroup
	for n, proxy := range r.proxies {
		starting.Go(func() { errs[n] = proxy.start() })
	}
	starting.Wait()
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

// stop ends agents, proxies and links, after the troubles that go on in the background.
func (r *run) stop() {
	r.background.Wait()
	if r.agents != nil {
		r.agents.stop()
	}
	var stopping sync.WaitGroup
	for _, proxy := range r.proxies {
		stopping.Go(func() {
			proxy.terminate(syscall.SIGKILL)
			_ = proxy.reservation.Close()
		})
	}
	stopping.Wait()
	if r.links != nil {
		r.links.net.Close()
	}
}

// route returns the function by which clients choose where to connect. With proxies, that is a random ready one of the
// client's zone, or of any zone if its own has none.
func (r *run) route() load.Route {
	switch r.Placement {
	case PlacementRandom:
		return func(rng *rand.Rand, zone int, _ uint64) (string, int, bool) {
			return r.fleet.RandomAddress(rng, zone), ledger.None, true
		}
	case PlacementSingle:
		return func(_ *rand.Rand, zone int, _ uint64) (string, int, bool) {
			return r.fleet.FirstAddress(zone), ledger.None, true
		}
	case PlacementBest:
		return func(_ *rand.Rand, zone int, group uint64) (string, int, bool) {
			address, found := r.fleet.BestAddress(zone, group)
			return address, ledger.None, found
		}
	}
	return func(rng *rand.Rand, zone int, _ uint64) (string, int, bool) {
		var inZone, inAllZones []*instance
		for _, proxy := range r.proxies {
			proxy.mu.Lock()
			if proxy.ready {
				inAllZones = append(inAllZones, proxy)
				if proxy.zone == zone {
					inZone = append(inZone, proxy)
				}
			}
			proxy.mu.Unlock()
		}
		if len(inZone) == 0 {
			inZone = inAllZones
		}
		if len(inZone) == 0 {
			return "", ledger.None, false
		}
		proxy := inZone[rng.IntN(len(inZone))]
		return proxy.address, proxy.number, true
	}
}

// play plays the load and the troubles, then checks what was seen and fills in the result.
func (r *run) play(ctx context.Context) (*Result, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	result := &Result{Experiment: r.Name, Seed: r.Seed, Placement: r.Placement, LengthSeconds: r.length.Duration().Seconds(), Figures: map[string]float64{}}
	if r.Placement == PlacementProxies {
		result.Proxy = filepath.Base(r.ProxyBinary)
	}
	lost := 0
	if n := r.Load.Carried; n > 0 {
		r.logf("resuming %d connections from before the run", n)
		resumed := load.PermanentArrivals(n, 0, 0, r.Seed)
		for i := range resumed {
			resumed[i].Lifetime = r.products()[0].MeanLifetime * 4
		}
		lost = r.clients.Carry(ctx, resumed, func(i int) string { return r.fleet.Servers[i%len(r.fleet.Servers)].UID })
	}
	arrivals := r.arrivals(r.length, r.Seed)
	_, labCPUBefore := r.cpuUsed()
	proxyCPUBefore, _ := r.cpuUsed()
	startedAt := time.Now()
	go r.clients.Play(ctx, arrivals)
	start := r.clients.Start()
	var tasks sync.WaitGroup
	tasks.Go(func() { r.playTroubles(ctx, start) })
	if r.agents != nil {
		tasks.Go(func() { r.awaitSettled(ctx) })
	}
	if r.Placement == PlacementBest {
		go r.rebalance(ctx)
	}
	maxEstablished := 0
	for second := 1; ; second++ {
		at := start + min(ledger.Micros(second)*ledger.Second, r.length)
		select {
		case <-time.After((at - r.eventLog.Now()).Duration()):
		case <-ctx.Done():
			tasks.Wait()
			r.clients.Wait()
			return nil, ctx.Err()
		}
		established := r.fleet.EstablishedCounts()
		result.EstablishedBySecond = append(result.EstablishedBySecond, established)
		total := 0
		for _, n := range established {
			total += n
		}
		maxEstablished = max(maxEstablished, total)
		if second%5 == 0 {
			r.logf("%3d of %.0f s, %d connections", second, r.length.Duration().Seconds(), total)
		}
		if at >= start+r.length {
			break
		}
	}
	proxyCPUAfter, labCPUAfter := r.cpuUsed()
	seconds := time.Since(startedAt).Seconds()
	longestLimit := ledger.Micros(0)
	for _, p := range r.products() {
		longestLimit = max(longestLimit, p.HardLimit)
	}
	end := r.eventLog.Now()
	tasks.Wait()
	r.background.Wait()
	r.clients.Wait()
	if r.agents != nil {
		r.checkAgents(ctx)
	}
	// Let dispatches that are open at servers end, so that the event log is complete.
	time.Sleep(finishWait.Duration() / 4)
	if r.err != nil {
		return nil, r.err
	}
	breaches := r.checkRules(end)
	result.Troubles = r.troubleIntervals
	r.fillFigures(result, breaches, maxEstablished, lost)
	result.Figures["proxy-cpu"] = (proxyCPUAfter - proxyCPUBefore).Seconds() / seconds
	result.Figures["lab-cpu"] = (labCPUAfter - labCPUBefore).Seconds() / seconds
	r.checkExpectations(result)
	return result, nil
}

// rebalance lets the policy of PlacementBest move connections off full servers, until ctx ends.
func (r *run) rebalance(ctx context.Context) {
	for {
		select {
		case <-time.After(300 * time.Millisecond):
			r.fleet.Rebalance()
		case <-ctx.Done():
			return
		}
	}
}

// logf reports progress if Logf is set.
func (r *run) logf(format string, a ...any) {
	if r.Logf != nil {
		r.Logf(format, a...)
	}
}

// cpuUsed returns the CPU time that the proxies and this program have used so far.
func (r *run) cpuUsed() (proxies, lab time.Duration) {
	for _, proxy := range r.proxies {
		used, _ := proxy.usage()
		proxies += used
	}
	lab, _, _ = ProcessUsage(os.Getpid())
	return proxies, lab
}

// checkRules checks the event log against the protocol's rules. end is when the run's load ended: what was not due by then is
// no breach. A baseline has no proxies to check.
func (r *run) checkRules(end ledger.Micros) []ledger.Breach {
	if r.Placement != PlacementProxies {
		return nil
	}
	return ledger.FindBreaches(r.eventLog.Events(), r.ruleParameters(end))
}

// ruleParameters returns what the protocol's rules depend on: limits, products, and the place of each server.
func (f *File) ruleParameters(end ledger.Micros) ledger.Parameters {
	parameters := ledger.Parameters{DrainGrace: f.Proxies.Grace.micros(), MaxDispatches: f.Proxies.Dispatches, End: end}
	for _, p := range f.Product {
		parameters.Products = append(parameters.Products, ledger.Product{Name: p.Name, Idempotency: idempotencyByName[p.Repeat], DedupScope: dedupScopeByName[p.Reach], DedupWindow: p.Window.micros()})
	}
	for i := range f.Fleet.Servers {
		cell := 0
		if f.Fleet.CellSize > 0 {
			cell = i / f.Fleet.CellSize
		}
		parameters.Servers = append(parameters.Servers, ledger.ServerLocation{Zone: i % len(f.Fleet.Zones), Cell: cell})
	}
	return parameters
}

// playTroubles begins and ends each trouble of the script at its time after start. Those that would begin at or after the run's
// end are left out, and those that would last longer are ended then.
func (r *run) playTroubles(ctx context.Context, start ledger.Micros) {
	type moment struct {
		at      ledger.Micros
		trouble fleet.ScheduledTrouble
		ends    bool
	}
	var moments []moment
	for _, s := range r.troubles {
		if s.At >= r.length {
			continue
		}
		moments = append(moments, moment{s.At, s, false}, moment{min(s.At+s.Duration, r.length), s, true})
		r.troubleIntervals = append(r.troubleIntervals, TroubleInterval{s.At.Duration().Seconds(), min(s.At+s.Duration, r.length).Duration().Seconds(), s.String()})
	}
	slices.SortStableFunc(moments, func(a, b moment) int { return int(a.at - b.at) })
	for _, m := range moments {
		select {
		case <-time.After((start + m.at - r.eventLog.Now()).Duration()):
		case <-ctx.Done():
			return
		}
		var err error
		switch {
		case fleet.IsAgentTrouble(m.trouble.Kind):
			r.applyToAgents(ctx, m.trouble, m.ends)
		case fleet.IsProxyTrouble(m.trouble.Kind):
			err = r.applyToProxies(m.trouble, m.ends)
		case m.ends:
			err = r.fleet.EndTrouble(m.trouble)
		default:
			err = r.fleet.BeginTrouble(m.trouble)
		}
		if !m.ends {
			r.logf("%s", m.trouble)
		}
		r.recordError(err)
	}
}

// recordError keeps the first error of a trouble, which fails the run.
func (r *run) recordError(err error) {
	if err == nil {
		return
	}
	r.errMu.Lock()
	defer r.errMu.Unlock()
	if r.err == nil {
		r.err = err
	}
}

// recordProxyEvent writes an event of proxy n into the event log.
func (r *run) recordProxyEvent(kind ledger.Kind, n int) {
	r.eventLog.Record(ledger.Event{Kind: kind, Proxy: n, Server: ledger.None, Product: ledger.None})
}

// applyToProxies begins or ends a trouble at the proxies that it names. What takes time goes on in the background.
func (r *run) applyToProxies(trouble fleet.ScheduledTrouble, ends bool) error {
	for _, n := range trouble.Targets {
		if n >= len(r.proxies) {
			continue // a baseline has no proxies
		}
		proxy := r.proxies[n]
		switch {
		case trouble.Kind == "proxy-stop" && !ends:
			r.recordProxyEvent(ledger.ProxyPaused, n)
			proxy.signal(syscall.SIGSTOP)
		case trouble.Kind == "proxy-stop":
			proxy.signal(syscall.SIGCONT)
			r.recordProxyEvent(ledger.ProxyResumed, n)
		case trouble.Kind == "proxy-reload" && !ends:
			proxy.signal(syscall.SIGHUP)
		case trouble.Kind == "list-moved" && !ends:
			if err := proxy.discovery.MoveAddress(1500 * time.Millisecond); err != nil {
				return err
			}
			if err := proxy.writeConfig(r.File); err != nil {
				return err
			}
			proxy.signal(syscall.SIGHUP)
		case strings.HasPrefix(trouble.Kind, "way-"):
			r.links.applyTrouble(r, trouble, n, ends)
		case strings.HasPrefix(trouble.Kind, "calls-") && !ends:
			fault := callFaults[trouble.Kind]
			fault.Probability = trouble.Size
			proxy.syscalls.begin(trouble.ScriptIndex, fault)
		case strings.HasPrefix(trouble.Kind, "calls-"):
			proxy.syscalls.end(trouble.ScriptIndex)
		case trouble.Kind == "proxy-crowd" && !ends:
			r.stopCrowds[[2]int{trouble.ScriptIndex, n}] = openIdleCrowd(proxy.address, int(trouble.Size), r.newRand(trouble, n))
		case trouble.Kind == "proxy-crowd":
			if end := r.stopCrowds[[2]int{trouble.ScriptIndex, n}]; end != nil {
				r.background.Go(end)
			}
		case trouble.Kind == "proxy-series" && !ends:
			r.background.Go(func() { r.recordError(proxy.reloadSeries(r.File, r.newRand(trouble, n))) })
		case trouble.Kind == "proxy-series":
		case trouble.Kind == "proxy-retire" && !ends:
			time.AfterFunc(routingDelay, func() {
				proxy.mu.Lock()
				defer proxy.mu.Unlock()
				proxy.ready = proxy.ready && proxy.shouldRun // it may have been restarted already
			})
			r.background.Go(func() {
				if !proxy.retire(r.longestLimit(), r.newRand(trouble, n)) {
					proxy.mu.Lock()
					proxy.uncleanExits++
					proxy.mu.Unlock()
				}
			})
		case trouble.Kind == "proxy-kill" && !ends:
			r.recordProxyEvent(ledger.ProxyKilled, n)
			proxy.mu.Lock()
			proxy.ready = false
			proxy.mu.Unlock()
			proxy.terminate(syscall.SIGKILL)
		case trouble.Kind == "proxy-leave" && !ends:
			proxy.mu.Lock()
			proxy.ready = false
			proxy.mu.Unlock()
			r.background.Go(func() { proxy.terminate(syscall.SIGTERM) })
		case trouble.Kind == "proxy-kill", trouble.Kind == "proxy-leave", trouble.Kind == "proxy-retire":
			proxy.mu.Lock()
			exited := proxy.exited
			proxy.mu.Unlock()
			r.background.Go(func() {
				<-exited
				if err := proxy.start(); err != nil {
					r.recordError(err)
					return
				}
				r.recordProxyEvent(ledger.ProxyRestarted, n)
			})
		}
	}
	return nil
}

// interceptedCalls returns the groups of system calls that the script makes fail.
func (r *run) interceptedCalls() (calls []sysfault.CallGroup) {
	for _, s := range r.troubles {
		if fault, isCallFault := callFaults[s.Kind]; isCallFault && !slices.Contains(calls, fault.Group) {
			calls = append(calls, fault.Group)
		}
	}
	return calls
}

// newRand returns the random source of a trouble at a proxy.
func (r *run) newRand(trouble fleet.ScheduledTrouble, proxy int) *rand.Rand {
	return rand.New(rand.NewPCG(r.Seed, uint64(trouble.ScriptIndex)<<16|uint64(proxy)))
}

// fillFigures sets the figures of a result, its distributions and its values by second. maxEstablished is the largest number
// of connections, lost the number of connections from before the run that were not established again.
func (r *run) fillFigures(result *Result, breaches []ledger.Breach, maxEstablished, lost int) {
	tally, figures := r.tally, result.Figures
	figures["served"], figures["served-worst-10s"] = tally.ServedShare(0, r.length), tally.WorstServedShare(10)
	lastTroubleEnd := ledger.Micros(0)
	for _, s := range r.troubles {
		lastTroubleEnd = max(lastTroubleEnd, min(s.At+s.Duration, r.length))
	}
	figures["served-after"] = tally.ServedShare(max(min(lastTroubleEnd+20*ledger.Second, r.length*4/5), 0), r.length)
	result.ServedBySecond = tally.ServedShareBySecond()
	figures["recovered-s"] = recoverySeconds(result.ServedBySecond, int((lastTroubleEnd+ledger.Second-1)/ledger.Second))
	for second, x := range result.ServedBySecond {
		if math.IsNaN(x) {
			result.ServedBySecond[second] = -1
		}
	}
	result.ArrivalsBySecond = tally.ArrivalsBySecond()
	requests, established := float64(tally.Requests.Load()), float64(tally.Established.Load())
	figures["asks"], figures["ups"], figures["busy"], figures["failed"] = requests, established, float64(tally.Busy.Load()), float64(tally.Failed.Load())
	figures["nothing"], figures["refused"], figures["retries"] = float64(tally.Unanswered.Load()), float64(tally.ConnectFailures.Load()), float64(tally.Retries.Load())
	figures["given-up"], figures["moves"], figures["breaks"] = float64(tally.GivenUp.Load()), float64(tally.Moves.Load()), float64(tally.Disconnects.Load())
	figures["moves-share"], figures["messages"] = figures["moves"]/max(1, established), float64(tally.Messages.Load())
	for name, s := range map[string]*load.Histogram{"set-up": tally.SetUpLatency, "answer": tally.AnswerLatency, "line": tally.MessageLatency, "late-arrival": tally.ArrivalLateness, "late-line": tally.MessageLateness} {
		for _, q := range []string{"50", "90", "99", "99.9", "100"} {
			var x float64
			_, _ = fmt.Sscan(q, &x)
			figures[name+"-p"+q] = float64(s.Quantile(x/100)) / 1000
		}
	}
	for _, q := range quantiles {
		result.SetUpQuantiles = append(result.SetUpQuantiles, Quantile{q, float64(tally.SetUpLatency.Quantile(q)) / 1000})
		result.LineQuantiles = append(result.LineQuantiles, Quantile{q, float64(tally.MessageLatency.Quantile(q)) / 1000})
	}
	figures["answers-over-limit"] = float64(tally.AnswerLatency.CountAbove(ledger.Second))
	figures["breaches"], figures["tipped"] = float64(len(breaches)), float64(r.fleet.CollapsedCount())
	for _, rule := range ledger.Rules {
		figures["breach."+string(rule)] = 0
	}
	for _, b := range breaches {
		figures["breach."+string(b.Rule)]++
		if len(result.Breaches) < maxReportedBreaches {
			result.Breaches = append(result.Breaches, b.String())
		}
	}
	figures["sends-after-drain"] = figures["breach."+string(ledger.DrainRespected)]
	for _, proxy := range r.proxies {
		proxy.mu.Lock()
		figures["crashes"] += float64(proxy.crashes)
		figures["late-ends"] += float64(proxy.uncleanExits)
		figures["calls-failed"] += float64(proxy.syscalls.failures())
		result.Crashes = append(result.Crashes, proxy.crashReports...)
		proxy.mu.Unlock()
		_, rss := proxy.usage()
		figures["proxy-mb"] = max(figures["proxy-mb"], float64(rss)/(1<<20))
	}
	if r.agents != nil {
		r.agents.fillFigures(figures)
	}
	figures["standing-max"], figures["carried-lost"] = float64(maxEstablished), float64(lost)
	maps.DeleteFunc(figures, func(_ string, x float64) bool { return math.IsNaN(x) }) // a share of nothing is no figure
}

// maxReportedBreaches limits the breaches that a result lists with their evidence; all are counted.
const maxReportedBreaches = 50

// recoverySeconds returns how many seconds after from the first 3 consecutive seconds begin in each of which at least 0.9 was
// served or nothing was wanted; -1 if there are none.
func recoverySeconds(served []float64, from int) float64 {
	for i := from; i+3 <= len(served); i++ {
		good := true
		for _, x := range served[i : i+3] {
			good = good && (x >= 0.9 || math.IsNaN(x))
		}
		if good {
			return float64(i - from)
		}
	}
	return -1
}

// checkExpectations lists as shortfalls all broken rules, failed restarts and crashes, and the figures that miss the bounds of
// the file. A baseline has no expectations.
func (r *run) checkExpectations(result *Result) {
	result.Shortfalls = []string{}
	if result.Placement != PlacementProxies {
		return
	}
	if result.Figures["breaches"] > 0 {
		result.Shortfalls = append(result.Shortfalls, fmt.Sprintf("%g breaches of protocol rules", result.Figures["breaches"]))
	}
	if result.Figures["agents-broken"] > 0 {
		result.Shortfalls = append(result.Shortfalls, fmt.Sprintf("%g breaches of the rules of agents and instances", result.Figures["agents-broken"]))
	}
	if result.Figures["late-ends"] > 0 {
		result.Shortfalls = append(result.Shortfalls, fmt.Sprintf("%g planned restarts in which a proxy was killed or exited with an error", result.Figures["late-ends"]))
	}
	if result.Figures["crashes"] > 0 {
		result.Shortfalls = append(result.Shortfalls, fmt.Sprintf("%g proxies crashed", result.Figures["crashes"]))
	}
	var names []string
	for name := range r.Expect {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		bound, _ := parseBound(r.Expect[name]) // validated when the file was read
		value, measured := result.Figures[name]
		if !measured {
			result.Shortfalls = append(result.Shortfalls, fmt.Sprintf("%s: %s was not measured, wanted %s", r.positions.At("expect."+name), name, r.Expect[name]))
		} else if !bound.isMetBy(value) {
			result.Shortfalls = append(result.Shortfalls, fmt.Sprintf("%s: %s is %.4g, wanted %s", r.positions.At("expect."+name), name, value, r.Expect[name]))
		}
	}
}

// WriteTrace writes the arrivals of a run with a seed in the form that load.trace reads.
func (f *File) WriteTrace(w io.Writer, seed uint64) error {
	return load.WriteTrace(w, f.arrivals(f.Length.micros(), seed), f.products())
}
