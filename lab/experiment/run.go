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

// Way says who places the connections.
type Way string

const (
	ByProxies Way = "proxies"
	ByChance  Way = "random"   // a client picks a ready server by chance
	ToOne     Way = "straight" // all go to one server
	BySight   Way = "best"     // a policy that sees the true state of all servers
)

// Ways are all.
var Ways = []Way{ByProxies, ByChance, ToOne, BySight}

// Result is what a run came to.
type Result struct {
	Experiment string             `json:"experiment"`
	Seed       uint64             `json:"seed"`
	Way        Way                `json:"way"`
	Proxy      string             `json:"proxy,omitempty"`
	Length     float64            `json:"length_s"`
	Figures    map[string]float64 `json:"figures"`
	Shortfalls []string           `json:"shortfalls"`
	Breaches   []string           `json:"breaches"`
	Crashes    []string           `json:"crashes,omitempty"`
	Troubles   []Mark             `json:"troubles"`
	Served     []float64          `json:"served_by_second"` // -1 where nothing was asked for
	Arrivals   []float64          `json:"arrivals_by_second"`
	Standing   [][]int            `json:"standing_by_second"` // by server
	SetUp      []Quantile         `json:"set_up"`
	Line       []Quantile         `json:"line"`
}

// Mark is a trouble's place in time.
type Mark struct {
	From float64 `json:"from_s"`
	To   float64 `json:"to_s"`
	Text string  `json:"text"`
}

// Quantile is a point of a latency's distribution.
type Quantile struct {
	Q  float64 `json:"q"`
	MS float64 `json:"ms"`
}

// quantiles are those that are plotted and told.
var quantiles = []float64{0.01, 0.1, 0.25, 0.5, 0.75, 0.9, 0.95, 0.99, 0.995, 0.999, 0.9999, 1}

// figureNames are the figures of a result, each with what it tells. Those of the rules are breach.NAME.
var figureNames = [][2]string{
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

var figureName = func() *regexp.Regexp {
	var forms []string
	for _, f := range figureNames {
		form := strings.ReplaceAll(regexp.QuoteMeta(f[0]), "pQ", `p(50|90|99|99\.9|100)`)
		form = strings.ReplaceAll(form, "RULE", "[a-z-]+")
		forms = append(forms, form)
	}
	return regexp.MustCompile("^(" + strings.Join(forms, "|") + ")$")
}()

// Figures lists the figures with what each tells.
func Figures() [][2]string { return figureNames }

// Order is what a run is to be.
type Order struct {
	Seed   uint64
	Way    Way
	Binary string // of the proxies
	Agent  string // of the agents, where the experiment has any
	Folder string // for their files, which stay there
	Quick  bool
	Tell   func(format string, a ...any) // progress
}

// quickest is how long a quick run may be, so that all of it ends within a minute.
const quickest = 40 * ledger.Second

// winding is how long is waited at the end for what is still under way, beside the longest hard limit.
const winding = 1200 * ledger.Millisecond

// run is one under way.
type run struct {
	*File
	Order
	book    *ledger.Book
	fleet   *fleet.Fleet
	proxies []*instance
	agents  *agents // nil without
	clients *load.Clients
	tally   *load.Tally
	length  ledger.Micros
	steps   []fleet.Step
	crowds  map[[2]int]func() // by step and proxy: what ends them
	ways    *ways             // between proxies and servers; nil where none is in trouble
	busy    sync.WaitGroup    // troubles of proxies under way
	marks   []Mark
	faultMu sync.Mutex
	fault   error
}

// Run plays an experiment once.
func (f *File) Run(ctx context.Context, o Order) (*Result, error) {
	r := &run{File: f, Order: o, book: ledger.Open(), length: f.Length.micros(), crowds: map[[2]int]func(){}}
	if o.Quick {
		r.length = min(r.length, quickest)
	}
	var err error
	if r.steps, err = fleet.Draw(f.script(), f.counts, o.Seed); err != nil {
		return nil, err
	}
	if r.fleet, err = fleet.Start(r.book, f.Plan(), o.Seed); err != nil {
		return nil, fmt.Errorf("the fleet: %w", err)
	}
	defer r.fleet.Stop()
	if o.Way == ByProxies {
		defer r.stop()
		if err := r.startProxies(ctx); err != nil {
			return nil, err
		}
	}
	r.tally = load.NewTally(r.length)
	r.clients = load.NewClients(r.book, r.tally, f.products(), r.route(), f.habits(), r.length, o.Seed)
	return r.play(ctx)
}

func (r *run) startProxies(ctx context.Context) error {
	for n := range r.File.Proxies.Count {
		zone := n % len(r.File.Fleet.Zones)
		front, err := r.fleet.Front(n, zone)
		if err != nil {
			return err
		}
		address, held, err := reserve(n)
		if err != nil {
			return err
		}
		i := &instance{number: n, zone: zone, address: address, folder: r.Folder, binary: r.Binary, front: front, held: held,
			seed: r.Seed*1_000_003 + uint64(n), calls: shimmed{groups: r.callGroups()}}
		if err := i.write(r.File); err != nil {
			return err
		}
		r.proxies = append(r.proxies, i)
	}
	if err := r.layWays(); err != nil {
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
	r.busy.Wait()
	if r.agents != nil {
		r.agents.stop()
	}
	var ending sync.WaitGroup
	for _, i := range r.proxies {
		ending.Go(func() {
			i.end(syscall.SIGKILL)
			_ = i.held.Close()
		})
	}
	ending.Wait()
	if r.ways != nil {
		r.ways.net.Close()
	}
}

// route says where clients connect.
func (r *run) route() load.Route {
	switch r.Way {
	case ByChance:
		return func(rng *rand.Rand, zone int, _ uint64) (string, int, bool) {
			return r.fleet.RandomAddress(rng, zone), ledger.None, true
		}
	case ToOne:
		return func(_ *rand.Rand, zone int, _ uint64) (string, int, bool) {
			return r.fleet.FirstAddress(zone), ledger.None, true
		}
	case BySight:
		return func(_ *rand.Rand, zone int, group uint64) (string, int, bool) {
			address, found := r.fleet.BestAddress(zone, group)
			return address, ledger.None, found
		}
	}
	return func(rng *rand.Rand, zone int, _ uint64) (string, int, bool) {
		var own, any []*instance
		for _, i := range r.proxies {
			i.mu.Lock()
			if i.open {
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
	result := &Result{Experiment: r.Name, Seed: r.Seed, Way: r.Way, Length: r.length.Span().Seconds(), Figures: map[string]float64{}}
	if r.Way == ByProxies {
		result.Proxy = filepath.Base(r.Binary)
	}
	lost := 0
	if n := r.Load.Carried; n > 0 {
		r.tell("carrying %d connections over", n)
		crowd := load.Crowd(n, 0, 0, r.Seed)
		for i := range crowd {
			crowd[i].Life = r.products()[0].Life * 4
		}
		lost = r.clients.Carry(ctx, crowd, func(i int) string { return r.fleet.Servers[i%len(r.fleet.Servers)].UID })
	}
	arrivals := r.arrivals(r.length, r.Seed)
	_, labBefore := r.cpu()
	proxiesBefore, _ := r.cpu()
	began := time.Now()
	go r.clients.Play(ctx, arrivals)
	start := r.clients.Start()
	var scripted sync.WaitGroup
	scripted.Go(func() { r.troubles(ctx, start) })
	if r.agents != nil {
		scripted.Go(func() { r.settle(ctx) })
	}
	if r.Way == BySight {
		go r.relieve(ctx)
	}
	standingMost := 0
	for second := 1; ; second++ {
		at := start + min(ledger.Micros(second)*ledger.Second, r.length)
		select {
		case <-time.After((at - r.book.Now()).Span()):
		case <-ctx.Done():
			scripted.Wait()
			r.clients.Wait()
			return nil, ctx.Err()
		}
		standing := r.fleet.Standing()
		result.Standing = append(result.Standing, standing)
		sum := 0
		for _, n := range standing {
			sum += n
		}
		standingMost = max(standingMost, sum)
		if second%5 == 0 {
			r.tell("%3d of %.0f s, %d standing", second, r.length.Span().Seconds(), sum)
		}
		if at >= start+r.length {
			break
		}
	}
	proxiesAfter, labAfter := r.cpu()
	took := time.Since(began).Seconds()
	longest := ledger.Micros(0)
	for _, p := range r.products() {
		longest = max(longest, p.Limit)
	}
	end := r.book.Now()
	scripted.Wait()
	r.busy.Wait()
	r.clients.Wait()
	if r.agents != nil {
		r.judgeAgents(ctx)
	}
	// What is still under way at servers ends, so that the record is whole.
	time.Sleep(winding.Span() / 4)
	if r.fault != nil {
		return nil, r.fault
	}
	breaches := r.judge(end)
	result.Troubles = r.marks
	r.fill(result, breaches, standingMost, lost)
	result.Figures["proxy-cpu"] = (proxiesAfter - proxiesBefore).Seconds() / took
	result.Figures["lab-cpu"] = (labAfter - labBefore).Seconds() / took
	r.hold(result)
	return result, nil
}

// relieve has the policy that sees all move connections off full servers.
func (r *run) relieve(ctx context.Context) {
	for {
		select {
		case <-time.After(300 * time.Millisecond):
			r.fleet.Relieve()
		case <-ctx.Done():
			return
		}
	}
}

func (r *run) tell(format string, a ...any) {
	if r.Tell != nil {
		r.Tell(format, a...)
	}
}

// cpu is what the proxies and this program have used.
func (r *run) cpu() (proxies, lab time.Duration) {
	for _, i := range r.proxies {
		c, _ := i.used()
		proxies += c
	}
	lab, _, _ = Usage(os.Getpid())
	return proxies, lab
}

// judge has the record judged; end is when the clients left.
func (r *run) judge(end ledger.Micros) []ledger.Breach {
	if r.Way != ByProxies {
		return nil // there is nobody to be judged
	}
	return ledger.Judge(r.book.Events(), r.terms(end))
}

func (f *File) terms(end ledger.Micros) ledger.Terms {
	terms := ledger.Terms{Grace: f.Proxies.Grace.micros(), Dispatches: f.Proxies.Dispatches, End: end}
	for _, p := range f.Product {
		terms.Products = append(terms.Products, ledger.Product{Name: p.Name, Repeat: repeats[p.Repeat], Reach: reaches[p.Reach], Window: p.Window.micros()})
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

// troubles plays the script.
func (r *run) troubles(ctx context.Context, start ledger.Micros) {
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
		r.marks = append(r.marks, Mark{s.At.Span().Seconds(), min(s.At+s.For, r.length).Span().Seconds(), s.String()})
	}
	slices.SortStableFunc(moments, func(a, b moment) int { return int(a.at - b.at) })
	for _, m := range moments {
		select {
		case <-time.After((start + m.at - r.book.Now()).Span()):
		case <-ctx.Done():
			return
		}
		var err error
		switch {
		case fleet.OfAgents(m.step.Kind):
			r.toAgents(ctx, m.step, m.ends)
		case fleet.OfProxies(m.step.Kind):
			err = r.toProxies(m.step, m.ends)
		case m.ends:
			err = r.fleet.End(m.step)
		default:
			err = r.fleet.Begin(m.step)
		}
		if !m.ends {
			r.tell("%s", m.step)
		}
		r.failed(err)
	}
}

func (r *run) failed(err error) {
	if err == nil {
		return
	}
	r.faultMu.Lock()
	defer r.faultMu.Unlock()
	if r.fault == nil {
		r.fault = err
	}
}

func (r *run) noteProxy(k ledger.Kind, n int) {
	r.book.Write(ledger.Event{Kind: k, Proxy: n, Server: ledger.None, Product: ledger.None})
}

// toProxies does a step to proxies.
func (r *run) toProxies(s fleet.Step, ends bool) error {
	for _, n := range s.Servers {
		if n >= len(r.proxies) {
			continue // there are none in this run
		}
		i := r.proxies[n]
		switch {
		case s.Kind == "proxy-stop" && !ends:
			r.noteProxy(ledger.ProxyStopped, n)
			i.signal(syscall.SIGSTOP)
		case s.Kind == "proxy-stop":
			i.signal(syscall.SIGCONT)
			r.noteProxy(ledger.ProxyWoken, n)
		case s.Kind == "proxy-reload" && !ends:
			i.signal(syscall.SIGHUP)
		case s.Kind == "list-moved" && !ends:
			if err := i.front.Move(1500 * time.Millisecond); err != nil {
				return err
			}
			if err := i.write(r.File); err != nil {
				return err
			}
			i.signal(syscall.SIGHUP)
		case strings.HasPrefix(s.Kind, "way-"):
			r.ways.suffer(r, s, n, ends)
		case strings.HasPrefix(s.Kind, "calls-") && !ends:
			fault := callFaults[s.Kind]
			fault.Chance = s.Size
			i.calls.begin(s.Order, fault)
		case strings.HasPrefix(s.Kind, "calls-"):
			i.calls.end(s.Order)
		case s.Kind == "proxy-crowd" && !ends:
			r.crowds[[2]int{s.Order, n}] = crowd(i.address, int(s.Size), r.random(s, n))
		case s.Kind == "proxy-crowd":
			if end := r.crowds[[2]int{s.Order, n}]; end != nil {
				r.busy.Go(end)
			}
		case s.Kind == "proxy-series" && !ends:
			r.busy.Go(func() { r.failed(i.series(r.File, r.random(s, n))) })
		case s.Kind == "proxy-series":
		case s.Kind == "proxy-retire" && !ends:
			time.AfterFunc(frontNotices, func() {
				i.mu.Lock()
				defer i.mu.Unlock()
				i.open = i.open && i.wanted // it may be back already
			})
			r.busy.Go(func() {
				if !i.retire(r.longest(), r.random(s, n)) {
					i.mu.Lock()
					i.late++
					i.mu.Unlock()
				}
			})
		case s.Kind == "proxy-kill" && !ends:
			r.noteProxy(ledger.ProxyKilled, n)
			i.mu.Lock()
			i.open = false
			i.mu.Unlock()
			i.end(syscall.SIGKILL)
		case s.Kind == "proxy-leave" && !ends:
			i.mu.Lock()
			i.open = false
			i.mu.Unlock()
			r.busy.Go(func() { i.end(syscall.SIGTERM) })
		case s.Kind == "proxy-kill", s.Kind == "proxy-leave", s.Kind == "proxy-retire":
			i.mu.Lock()
			ended := i.ended
			i.mu.Unlock()
			r.busy.Go(func() {
				<-ended
				if err := i.start(); err != nil {
					r.failed(err)
					return
				}
				r.noteProxy(ledger.ProxyBack, n)
			})
		}
	}
	return nil
}

// callGroups are the system calls that the script makes fail.
func (r *run) callGroups() (groups []sysfault.Call) {
	for _, s := range r.steps {
		if fault, is := callFaults[s.Kind]; is && !slices.Contains(groups, fault.Call) {
			groups = append(groups, fault.Call)
		}
	}
	return groups
}

// random is a source of chance for a step at a proxy.
func (r *run) random(s fleet.Step, proxy int) *rand.Rand {
	return rand.New(rand.NewPCG(r.Seed, uint64(s.Order)<<16|uint64(proxy)))
}

// fill sets the figures.
func (r *run) fill(result *Result, breaches []ledger.Breach, standing, lost int) {
	t, f := r.tally, result.Figures
	f["served"], f["served-worst-10s"] = t.Share(0, r.length), t.WorstWindow(10)
	last := ledger.Micros(0)
	for _, s := range r.steps {
		last = max(last, min(s.At+s.For, r.length))
	}
	f["served-after"] = t.Share(max(min(last+20*ledger.Second, r.length*4/5), 0), r.length)
	result.Served = t.BySecond()
	f["recovered-s"] = recovered(result.Served, int((last+ledger.Second-1)/ledger.Second))
	for i, x := range result.Served {
		if math.IsNaN(x) {
			result.Served[i] = -1
		}
	}
	result.Arrivals = t.Arrivals()
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
		result.SetUp = append(result.SetUp, Quantile{q, float64(t.SetUp.At(q)) / 1000})
		result.Line = append(result.Line, Quantile{q, float64(t.Line.At(q)) / 1000})
	}
	f["answers-over-limit"] = float64(t.Answer.Over(ledger.Second))
	f["breaches"], f["tipped"] = float64(len(breaches)), float64(r.fleet.Tipped())
	for _, rule := range ledger.Rules {
		f["breach."+string(rule)] = 0
	}
	for _, b := range breaches {
		f["breach."+string(b.Rule)]++
		if len(result.Breaches) < mostBreaches {
			result.Breaches = append(result.Breaches, b.String())
		}
	}
	f["sends-after-drain"] = f["breach."+string(ledger.DrainKept)]
	for _, i := range r.proxies {
		i.mu.Lock()
		f["crashes"] += float64(i.crashes)
		f["late-ends"] += float64(i.late)
		f["calls-failed"] += float64(i.calls.failures())
		result.Crashes = append(result.Crashes, i.crashed...)
		i.mu.Unlock()
		_, rss := i.used()
		f["proxy-mb"] = max(f["proxy-mb"], float64(rss)/(1<<20))
	}
	if r.agents != nil {
		r.agents.fill(f)
	}
	f["standing-max"], f["carried-lost"] = float64(standing), float64(lost)
	maps.DeleteFunc(f, func(_ string, x float64) bool { return math.IsNaN(x) }) // a share of nothing was not seen
}

// mostBreaches are told with their evidence; all are counted.
const mostBreaches = 50

// recovered is how many seconds after a second it takes until 9 tenths are served for 3 s running.
func recovered(served []float64, from int) float64 {
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

// hold holds the figures beside what the file expects.
func (r *run) hold(result *Result) {
	result.Shortfalls = []string{}
	if result.Way != ByProxies {
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
		l, _ := readLimit(r.Expect[name]) // it was checked when the file was read
		x, known := result.Figures[name]
		if !known {
			result.Shortfalls = append(result.Shortfalls, fmt.Sprintf("%s: %s was not seen, wanted %s", r.places.At("expect."+name), name, r.Expect[name]))
		} else if !l.holds(x) {
			result.Shortfalls = append(result.Shortfalls, fmt.Sprintf("%s: %s is %.4g, wanted %s", r.places.At("expect."+name), name, x, r.Expect[name]))
		}
	}
}

// WriteTrace writes the arrivals of a run down, so that it can be played again.
func (f *File) WriteTrace(w io.Writer, seed uint64) error {
	return load.WriteTrace(w, f.arrivals(f.Length.micros(), seed), f.products())
}
