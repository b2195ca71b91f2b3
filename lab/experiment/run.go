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

// Placement says who places the connections.
type Placement string

const (
	PlacementProxies Placement = "proxies"
	PlacementRandom  Placement = "random"   // a client picks a ready server by chance
	PlacementSingle  Placement = "straight" // all go to one server
	PlacementBest    Placement = "best"     // a policy that sees the true state of all servers
)

// Placements are all.
var Placements = []Placement{PlacementProxies, PlacementRandom, PlacementSingle, PlacementBest}

// Result is what a run came to.
type Result struct {
	Experiment          string             `json:"experiment"`
	Seed                uint64             `json:"seed"`
	Placement           Placement          `json:"way"`
	Proxy               string             `json:"proxy,omitempty"`
	LengthSeconds       float64            `json:"length_s"`
	Figures             map[string]float64 `json:"figures"`
	Shortfalls          []string           `json:"shortfalls"`
	Breaches            []string           `json:"breaches"`
	Crashes             []string           `json:"crashes,omitempty"`
	Troubles            []TroubleInterval  `json:"troubles"`
	ServedBySecond      []float64          `json:"served_by_second"` // -1 where nothing was asked for
	ArrivalsBySecond    []float64          `json:"arrivals_by_second"`
	EstablishedBySecond [][]int            `json:"standing_by_second"` // by server
	SetUpQuantiles      []Quantile         `json:"set_up"`
	LineQuantiles       []Quantile         `json:"line"`
}

// TroubleInterval is a trouble's place in time.
type TroubleInterval struct {
	FromSeconds float64 `json:"from_s"`
	ToSeconds   float64 `json:"to_s"`
	Text        string  `json:"text"`
}

// Quantile is a point of a latency's distribution.
type Quantile struct {
	Q  float64 `json:"q"`
	MS float64 `json:"ms"`
}

// quantiles are those that are plotted and told.
var quantiles = []float64{0.01, 0.1, 0.25, 0.5, 0.75, 0.9, 0.95, 0.99, 0.995, 0.999, 0.9999, 1}

// figureDescriptions are the figures of a result, each with what it tells. Those of the rules are breach.NAME.
var figureDescriptions = [][2]string{
	{"served", "share of the seconds asked for that were served well, by gain"},
	{"served-worst-10s", "the same in the worst 10 s"},
	{"served-after", "the same from 20 s after the last trouble's end on; the whole run's last fifth if that is later"},
	{"recovered-s", "seconds from the last trouble's end until 9 tenths are served, for 3 s running; -1 for never"},
	{"asks", "connections that clients asked for"}, {"ups", "that stood"}, {"busy", "that were pushed back"},
	{"failed", "that were answered with a failure"}, {"nothing", "that got no answer"}, {"refused", "that could not connect"},
	{"retries", "retries"}, {"given-up", "wishes that used all retries up"}, {"moves", "clients that heard MOVE"},
	{"moves-share", "moves for each connection that stood"}, {"breaks", "standing connections that broke"},
	{"messages", "messages sent"},
	{"set-up-pQ", "ms from when a connection was meant to be asked for until it stood; Q is 50, 90, 99, 99.9 or 100"},
	{"answer-pQ", "ms from when a line was meant to be sent until its final answer"},
	{"line-pQ", "ms from when a message was meant to be sent until its answer"},
	{"late-arrival-pQ", "ms by which the generator itself sent an arrival late"},
	{"late-line-pQ", "ms by which the generator itself sent a message late"},
	{"answers-over-limit", "answers that came later than 1 s"},
	{"breaches", "broken rules"}, {"breach.RULE", "of one kind"},
	{"sends-after-drain", "the same as breach.drain-kept"}, {"tipped", "cold servers that tipped over"},
	{"order-pQ", "ms from when an order was given until an instance heard it"},
	{"orders-unheard", "orders that an instance had not heard within 10 s, of all instances that were not stopped"},
	{"drained-left", "connections that stood at a server 8 s after the last instance heard that it drains, or at the order's end"},
	{"agents-broken", "promises broken by what was agreed on and what instances go by (docs/faults.md)"},
	{"settled-s", "seconds from the last fault's end until all agents have a new command; -1 for never"},
	{"not-once", "instances that a roll has not started anew exactly once"},
	{"unheld-ms", "ms for which nobody could conduct, at the longest, seen each 40 ms"},
	{"told-s", "seconds from then until all instances go by it; -1 for never"},
	{"restarts-failed", "rolling restarts that did not end well"},
	{"crashes", "proxies that ended by themselves"},
	{"late-ends", "planned restarts of proxies that had to be killed, or ended with an error"},
	{"calls-failed", "system calls of proxies that failed or were cut short"},
	{"proxy-cpu", "cores that the proxies used, on average"}, {"proxy-mb", "memory of the largest proxy, MB"},
	{"lab-cpu", "cores that this program used, on average"}, {"standing-max", "most connections that stood at once"},
	{"carried-lost", "connections from before the run that did not come up"},
}

var figurePattern = func() *regexp.Regexp {
	var forms []string
	for _, f := range figureDescriptions {
		form := strings.ReplaceAll(regexp.QuoteMeta(f[0]), "pQ", `p(50|90|99|99\.9|100)`)
		form = strings.ReplaceAll(form, "RULE", "[a-z-]+")
		forms = append(forms, form)
	}
	return regexp.MustCompile("^(" + strings.Join(forms, "|") + ")$")
}()

// Figures lists the figures with what each tells.
func Figures() [][2]string { return figureDescriptions }

// RunOptions is what a run is to be.
type RunOptions struct {
	Seed        uint64
	Placement   Placement
	ProxyBinary string // of the proxies
	AgentBinary string // of the agents, where the experiment has any
	Dir         string // for their files, which stay there
	Quick       bool
	Logf        func(format string, a ...any) // progress
}

// maxQuickLength is how long a quick run may be, so that all of it ends within a minute.
const maxQuickLength = 40 * ledger.Second

// finishWait is how long is waited at the end for what is still under way, beside the longest hard limit.
const finishWait = 1200 * ledger.Millisecond

// run is one under way.
type run struct {
	*File
	RunOptions
	eventLog         *ledger.Book
	fleet            *fleet.Fleet
	proxies          []*instance
	agents           *agents // nil without
	clients          *load.Clients
	tally            *load.Tally
	length           ledger.Micros
	steps            []fleet.Step
	stopCrowds       map[[2]int]func() // by step and proxy: what ends them
	links            *proxyLinks       // between proxies and servers; nil where none is in trouble
	background       sync.WaitGroup    // troubles of proxies under way
	troubleIntervals []TroubleInterval
	errMu            sync.Mutex
	err              error
}

// Run plays an experiment once.
func (f *File) Run(ctx context.Context, o RunOptions) (*Result, error) {
	r := &run{File: f, RunOptions: o, eventLog: ledger.Open(), length: f.Length.micros(), stopCrowds: map[[2]int]func(){}}
	if o.Quick {
		r.length = min(r.length, maxQuickLength)
	}
	var err error
	if r.steps, err = fleet.Draw(f.troubleList(), f.targetCount, o.Seed); err != nil {
		return nil, err
	}
	if r.fleet, err = fleet.Start(r.eventLog, f.Plan(), o.Seed); err != nil {
		return nil, fmt.Errorf("the fleet: %w", err)
	}
	defer r.fleet.Stop()
	if o.Placement == PlacementProxies {
		defer r.stop()
		if err := r.startProxies(ctx); err != nil {
			return nil, err
		}
	}
	r.tally = load.NewTally(r.length)
	r.clients = load.NewClients(r.eventLog, r.tally, f.products(), r.route(), f.clientHabits(), r.length, o.Seed)
	return r.play(ctx)
}

func (r *run) startProxies(ctx context.Context) error {
	for n := range r.File.Proxies.Count {
		zone := n % len(r.File.Fleet.Zones)
		front, err := r.fleet.Front(n, zone)
		if err != nil {
			return err
		}
		address, held, err := reserveAddress(n)
		if err != nil {
			return err
		}
		i := &instance{number: n, zone: zone, address: address, dir: r.Dir, binary: r.ProxyBinary, discovery: front, reservation: held,
			seed: r.Seed*1_000_003 + uint64(n), syscalls: syscallFaults{intercepted: r.interceptedCalls()}}
		if err := i.writeConfig(r.File); err != nil {
			return err
		}
		r.proxies = append(r.proxies, i)
	}
	if err := r.startLinks(); err != nil {
		return err
	}
	if r.Control.Agents > 0 {
		return r.startAgents(ctx)
	}
	faults := make([]error, len(r.proxies))
	var starting sync.WaitGroup
	for n, i := range r.proxies {
		starting.Go(func() { faults[n] = i.start() })
	}
	starting.Wait()
	for _, err := range faults {
		if err != nil {
			return err
		}
	}
	return nil
}

func (r *run) stop() {
	r.background.Wait()
	if r.agents != nil {
		r.agents.stop()
	}
	var ending sync.WaitGroup
	for _, i := range r.proxies {
		ending.Go(func() {
			i.terminate(syscall.SIGKILL)
			_ = i.reservation.Close()
		})
	}
	ending.Wait()
	if r.links != nil {
		r.links.net.Close()
	}
}

// route says where clients connect.
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
		var own, any []*instance
		for _, i := range r.proxies {
			i.mu.Lock()
			if i.ready {
				any = append(any, i)
				if i.zone == zone {
					own = append(own, i)
				}
			}
			i.mu.Unlock()
		}
		if len(own) == 0 {
			own = any
		}
		if len(own) == 0 {
			return "", ledger.None, false
		}
		i := own[rng.IntN(len(own))]
		return i.address, i.number, true
	}
}

func (r *run) play(ctx context.Context) (*Result, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	result := &Result{Experiment: r.Name, Seed: r.Seed, Placement: r.Placement, LengthSeconds: r.length.Span().Seconds(), Figures: map[string]float64{}}
	if r.Placement == PlacementProxies {
		result.Proxy = filepath.Base(r.ProxyBinary)
	}
	lost := 0
	if n := r.Load.Carried; n > 0 {
		r.logf("carrying %d connections over", n)
		crowd := load.Crowd(n, 0, 0, r.Seed)
		for i := range crowd {
			crowd[i].Life = r.products()[0].Life * 4
		}
		lost = r.clients.Carry(ctx, crowd, func(i int) string { return r.fleet.Servers[i%len(r.fleet.Servers)].UID })
	}
	arrivals := r.arrivals(r.length, r.Seed)
	_, labBefore := r.cpuUsed()
	proxiesBefore, _ := r.cpuUsed()
	began := time.Now()
	go r.clients.Play(ctx, arrivals)
	start := r.clients.Start()
	var scripted sync.WaitGroup
	scripted.Go(func() { r.playTroubles(ctx, start) })
	if r.agents != nil {
		scripted.Go(func() { r.awaitSettled(ctx) })
	}
	if r.Placement == PlacementBest {
		go r.rebalance(ctx)
	}
	standingMost := 0
	for second := 1; ; second++ {
		at := start + min(ledger.Micros(second)*ledger.Second, r.length)
		select {
		case <-time.After((at - r.eventLog.Now()).Span()):
		case <-ctx.Done():
			scripted.Wait()
			r.clients.Wait()
			return nil, ctx.Err()
		}
		standing := r.fleet.Standing()
		result.EstablishedBySecond = append(result.EstablishedBySecond, standing)
		sum := 0
		for _, n := range standing {
			sum += n
		}
		standingMost = max(standingMost, sum)
		if second%5 == 0 {
			r.logf("%3d of %.0f s, %d standing", second, r.length.Span().Seconds(), sum)
		}
		if at >= start+r.length {
			break
		}
	}
	proxiesAfter, labAfter := r.cpuUsed()
	took := time.Since(began).Seconds()
	longest := ledger.Micros(0)
	for _, p := range r.products() {
		longest = max(longest, p.Limit)
	}
	end := r.eventLog.Now()
	scripted.Wait()
	r.background.Wait()
	r.clients.Wait()
	if r.agents != nil {
		r.checkAgents(ctx)
	}
	// What is still under way at servers ends, so that the record is whole.
	time.Sleep(finishWait.Span() / 4)
	if r.err != nil {
		return nil, r.err
	}
	breaches := r.checkRules(end)
	result.Troubles = r.troubleIntervals
	r.fillFigures(result, breaches, standingMost, lost)
	result.Figures["proxy-cpu"] = (proxiesAfter - proxiesBefore).Seconds() / took
	result.Figures["lab-cpu"] = (labAfter - labBefore).Seconds() / took
	r.checkExpectations(result)
	return result, nil
}

// rebalance has the policy that sees all move connections off full servers.
func (r *run) rebalance(ctx context.Context) {
	for {
		select {
		case <-time.After(300 * time.Millisecond):
			r.fleet.Relieve()
		case <-ctx.Done():
			return
		}
	}
}

func (r *run) logf(format string, a ...any) {
	if r.Logf != nil {
		r.Logf(format, a...)
	}
}

// cpuUsed is what the proxies and this program have used.
func (r *run) cpuUsed() (proxies, lab time.Duration) {
	for _, i := range r.proxies {
		c, _ := i.usage()
		proxies += c
	}
	lab, _, _ = ProcessUsage(os.Getpid())
	return proxies, lab
}

// checkRules has the record judged; end is when the clients left.
func (r *run) checkRules(end ledger.Micros) []ledger.Breach {
	if r.Placement != PlacementProxies {
		return nil // there is nobody to be judged
	}
	return ledger.Judge(r.eventLog.Events(), r.ruleParameters(end))
}

func (f *File) ruleParameters(end ledger.Micros) ledger.Terms {
	terms := ledger.Terms{Grace: f.Proxies.Grace.micros(), Dispatches: f.Proxies.Dispatches, End: end}
	for _, p := range f.Product {
		terms.Products = append(terms.Products, ledger.Product{Name: p.Name, Repeat: idempotencyByName[p.Repeat], Reach: dedupScopeByName[p.Reach], Window: p.Window.micros()})
	}
	for i := range f.Fleet.Servers {
		cell := 0
		if f.Fleet.CellSize > 0 {
			cell = i / f.Fleet.CellSize
		}
		terms.Servers = append(terms.Servers, ledger.Place{Zone: i % len(f.Fleet.Zones), Cell: cell})
	}
	return terms
}

// playTroubles plays the script.
func (r *run) playTroubles(ctx context.Context, start ledger.Micros) {
	type moment struct {
		at   ledger.Micros
		step fleet.Step
		ends bool
	}
	var moments []moment
	for _, s := range r.steps {
		if s.At >= r.length {
			continue
		}
		moments = append(moments, moment{s.At, s, false}, moment{min(s.At+s.For, r.length), s, true})
		r.troubleIntervals = append(r.troubleIntervals, TroubleInterval{s.At.Span().Seconds(), min(s.At+s.For, r.length).Span().Seconds(), s.String()})
	}
	slices.SortStableFunc(moments, func(a, b moment) int { return int(a.at - b.at) })
	for _, m := range moments {
		select {
		case <-time.After((start + m.at - r.eventLog.Now()).Span()):
		case <-ctx.Done():
			return
		}
		var err error
		switch {
		case fleet.OfAgents(m.step.Kind):
			r.applyToAgents(ctx, m.step, m.ends)
		case fleet.OfProxies(m.step.Kind):
			err = r.applyToProxies(m.step, m.ends)
		case m.ends:
			err = r.fleet.End(m.step)
		default:
			err = r.fleet.Begin(m.step)
		}
		if !m.ends {
			r.logf("%s", m.step)
		}
		r.recordError(err)
	}
}

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

func (r *run) recordProxyEvent(k ledger.Kind, n int) {
	r.eventLog.Write(ledger.Event{Kind: k, Proxy: n, Server: ledger.None, Product: ledger.None})
}

// applyToProxies does a step to proxies.
func (r *run) applyToProxies(s fleet.Step, ends bool) error {
	for _, n := range s.Servers {
		if n >= len(r.proxies) {
			continue // there are none in this run
		}
		i := r.proxies[n]
		switch {
		case s.Kind == "proxy-stop" && !ends:
			r.recordProxyEvent(ledger.ProxyStopped, n)
			i.signal(syscall.SIGSTOP)
		case s.Kind == "proxy-stop":
			i.signal(syscall.SIGCONT)
			r.recordProxyEvent(ledger.ProxyWoken, n)
		case s.Kind == "proxy-reload" && !ends:
			i.signal(syscall.SIGHUP)
		case s.Kind == "list-moved" && !ends:
			if err := i.discovery.Move(1500 * time.Millisecond); err != nil {
				return err
			}
			if err := i.writeConfig(r.File); err != nil {
				return err
			}
			i.signal(syscall.SIGHUP)
		case strings.HasPrefix(s.Kind, "way-"):
			r.links.applyTrouble(r, s, n, ends)
		case strings.HasPrefix(s.Kind, "calls-") && !ends:
			fault := callFaults[s.Kind]
			fault.Chance = s.Size
			i.syscalls.begin(s.Order, fault)
		case strings.HasPrefix(s.Kind, "calls-"):
			i.syscalls.end(s.Order)
		case s.Kind == "proxy-crowd" && !ends:
			r.stopCrowds[[2]int{s.Order, n}] = openIdleCrowd(i.address, int(s.Size), r.newRand(s, n))
		case s.Kind == "proxy-crowd":
			if end := r.stopCrowds[[2]int{s.Order, n}]; end != nil {
				r.background.Go(end)
			}
		case s.Kind == "proxy-series" && !ends:
			r.background.Go(func() { r.recordError(i.reloadSeries(r.File, r.newRand(s, n))) })
		case s.Kind == "proxy-series":
		case s.Kind == "proxy-retire" && !ends:
			time.AfterFunc(routingDelay, func() {
				i.mu.Lock()
				defer i.mu.Unlock()
				i.ready = i.ready && i.shouldRun // it may be back already
			})
			r.background.Go(func() {
				if !i.retire(r.longestLimit(), r.newRand(s, n)) {
					i.mu.Lock()
					i.uncleanExits++
					i.mu.Unlock()
				}
			})
		case s.Kind == "proxy-kill" && !ends:
			r.recordProxyEvent(ledger.ProxyKilled, n)
			i.mu.Lock()
			i.ready = false
			i.mu.Unlock()
			i.terminate(syscall.SIGKILL)
		case s.Kind == "proxy-leave" && !ends:
			i.mu.Lock()
			i.ready = false
			i.mu.Unlock()
			r.background.Go(func() { i.terminate(syscall.SIGTERM) })
		case s.Kind == "proxy-kill", s.Kind == "proxy-leave", s.Kind == "proxy-retire":
			i.mu.Lock()
			ended := i.exited
			i.mu.Unlock()
			r.background.Go(func() {
				<-ended
				if err := i.start(); err != nil {
					r.recordError(err)
					return
				}
				r.recordProxyEvent(ledger.ProxyBack, n)
			})
		}
	}
	return nil
}

// interceptedCalls are the system calls that the script makes fail.
func (r *run) interceptedCalls() (groups []sysfault.Call) {
	for _, s := range r.steps {
		if fault, is := callFaults[s.Kind]; is && !slices.Contains(groups, fault.Call) {
			groups = append(groups, fault.Call)
		}
	}
	return groups
}

// newRand is a source of chance for a step at a proxy.
func (r *run) newRand(s fleet.Step, proxy int) *rand.Rand {
	return rand.New(rand.NewPCG(r.Seed, uint64(s.Order)<<16|uint64(proxy)))
}

// fillFigures sets the figures.
func (r *run) fillFigures(result *Result, breaches []ledger.Breach, standing, lost int) {
	t, f := r.tally, result.Figures
	f["served"], f["served-worst-10s"] = t.Share(0, r.length), t.WorstWindow(10)
	last := ledger.Micros(0)
	for _, s := range r.steps {
		last = max(last, min(s.At+s.For, r.length))
	}
	f["served-after"] = t.Share(max(min(last+20*ledger.Second, r.length*4/5), 0), r.length)
	result.ServedBySecond = t.BySecond()
	f["recovered-s"] = recoverySeconds(result.ServedBySecond, int((last+ledger.Second-1)/ledger.Second))
	for i, x := range result.ServedBySecond {
		if math.IsNaN(x) {
			result.ServedBySecond[i] = -1
		}
	}
	result.ArrivalsBySecond = t.Arrivals()
	asks, ups := float64(t.Asks.Load()), float64(t.Ups.Load())
	f["asks"], f["ups"], f["busy"], f["failed"] = asks, ups, float64(t.Busy.Load()), float64(t.Failed.Load())
	f["nothing"], f["refused"], f["retries"] = float64(t.Nothing.Load()), float64(t.Refused.Load()), float64(t.Retries.Load())
	f["given-up"], f["moves"], f["breaks"] = float64(t.GivenUp.Load()), float64(t.Moves.Load()), float64(t.Breaks.Load())
	f["moves-share"], f["messages"] = f["moves"]/max(1, ups), float64(t.Messages.Load())
	for name, s := range map[string]*load.Series{"set-up": t.SetUp, "answer": t.Answer, "line": t.Line, "late-arrival": t.Late, "late-line": t.LateSend} {
		for _, q := range []string{"50", "90", "99", "99.9", "100"} {
			var x float64
			_, _ = fmt.Sscan(q, &x)
			f[name+"-p"+q] = float64(s.At(x/100)) / 1000
		}
	}
	for _, q := range quantiles {
		result.SetUpQuantiles = append(result.SetUpQuantiles, Quantile{q, float64(t.SetUp.At(q)) / 1000})
		result.LineQuantiles = append(result.LineQuantiles, Quantile{q, float64(t.Line.At(q)) / 1000})
	}
	f["answers-over-limit"] = float64(t.Answer.Over(ledger.Second))
	f["breaches"], f["tipped"] = float64(len(breaches)), float64(r.fleet.Tipped())
	for _, rule := range ledger.Rules {
		f["breach."+string(rule)] = 0
	}
	for _, b := range breaches {
		f["breach."+string(b.Rule)]++
		if len(result.Breaches) < maxReportedBreaches {
			result.Breaches = append(result.Breaches, b.String())
		}
	}
	f["sends-after-drain"] = f["breach."+string(ledger.DrainKept)]
	for _, i := range r.proxies {
		i.mu.Lock()
		f["crashes"] += float64(i.crashes)
		f["late-ends"] += float64(i.uncleanExits)
		f["calls-failed"] += float64(i.syscalls.failures())
		result.Crashes = append(result.Crashes, i.crashReports...)
		i.mu.Unlock()
		_, rss := i.usage()
		f["proxy-mb"] = max(f["proxy-mb"], float64(rss)/(1<<20))
	}
	if r.agents != nil {
		r.agents.fillFigures(f)
	}
	f["standing-max"], f["carried-lost"] = float64(standing), float64(lost)
	maps.DeleteFunc(f, func(_ string, x float64) bool { return math.IsNaN(x) }) // a share of nothing was not seen
}

// maxReportedBreaches are told with their evidence; all are counted.
const maxReportedBreaches = 50

// recoverySeconds is how many seconds after a second it takes until 9 tenths are served for 3 s running.
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

// checkExpectations holds the figures beside what the file expects.
func (r *run) checkExpectations(result *Result) {
	result.Shortfalls = []string{}
	if result.Placement != PlacementProxies {
		return // a baseline owes nothing
	}
	if result.Figures["breaches"] > 0 {
		result.Shortfalls = append(result.Shortfalls, fmt.Sprintf("%g broken rules", result.Figures["breaches"]))
	}
	if result.Figures["agents-broken"] > 0 {
		result.Shortfalls = append(result.Shortfalls, fmt.Sprintf("%g promises of agents and instances broken", result.Figures["agents-broken"]))
	}
	if result.Figures["late-ends"] > 0 {
		result.Shortfalls = append(result.Shortfalls, fmt.Sprintf("%g planned restarts did not end in good order", result.Figures["late-ends"]))
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
		l, _ := parseBound(r.Expect[name]) // it was checked when the file was read
		x, known := result.Figures[name]
		if !known {
			result.Shortfalls = append(result.Shortfalls, fmt.Sprintf("%s: %s was not seen, wanted %s", r.positions.At("expect."+name), name, r.Expect[name]))
		} else if !l.isMetBy(x) {
			result.Shortfalls = append(result.Shortfalls, fmt.Sprintf("%s: %s is %.4g, wanted %s", r.positions.At("expect."+name), name, x, r.Expect[name]))
		}
	}
}

// WriteTrace writes the arrivals of a run down, so that it can be played again.
func (f *File) WriteTrace(w io.Writer, seed uint64) error {
	return load.WriteTrace(w, f.arrivals(f.Length.micros(), seed), f.products())
}
