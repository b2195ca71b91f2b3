package experiment

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"

	"hatchproxy/agent"
	"hatchproxy/agent/clusterstate"
	"hatchproxy/agent/supervisor"
	"hatchproxy/lab/chaos"
	"hatchproxy/lab/fleet"
	"hatchproxy/lab/ledger"
	"hatchproxy/lab/load"
	"hatchproxy/logic"
)

// agents are the agents of a run, which start and keep its proxies, each on a machine of its own.
type agents struct {
	*chaos.Machines
	*chaos.Recorder
	instances    []*instance
	stopWatching context.CancelFunc
	watchers     sync.WaitGroup
	faultsDone   chan struct{} // a word for each fault that is over
	breaches     int           // breaches by what was agreed on and heard
	record       chaos.Record

	mu             sync.Mutex
	orderLatency   *load.Series
	unheardOrders  int
	leftAfterDrain int
	failedRestarts int
	hasRolled      bool
}

// managedPID is the process that the instance's agent has written down; 0 if there is none.
func (i *instance) managedPID() int {
	text, err := os.ReadFile(i.processFile)
	if err != nil {
		return 0
	}
	var p struct{ PID int }
	if json.Unmarshal(text, &p) != nil {
		return 0
	}
	return p.PID
}

// startAgents lays the machines out, starts the agents and waits until all proxies are ready.
func (r *run) startAgents(ctx context.Context) error {
	a := &agents{instances: r.proxies, orderLatency: load.NewSeries(), faultsDone: make(chan struct{}, len(r.steps)*r.Control.Agents)}
	c := r.Control
	keeps := make([][]agent.InstanceConfig, c.Agents)
	on := make([][]*instance, c.Agents)
	for _, i := range r.proxies {
		m := i.number % c.Agents
		i.processFile = filepath.Join(r.Dir, fmt.Sprintf("d%d", m), fmt.Sprintf("n%d.process", i.number))
		on[m] = append(on[m], i)
		keeps[m] = append(keeps[m], agent.InstanceConfig{Name: fmt.Sprintf("n%d", i.number), Command: []string{i.binary, "serve", "--config", i.configPath()},
			ControlAddress: "unix:" + filepath.Join(r.Dir, fmt.Sprintf("n%d.sock", i.number))})
	}
	struck := func(m int, what chaos.Strike) {
		for _, i := range on[m] {
			r.recordProxyEvent([...]ledger.Kind{ledger.ProxyKilled, ledger.ProxyStopped, ledger.ProxyWoken}[what], i.number)
		}
	}
	severed := func(m, zone int, cut bool) {
		kind := ledger.WayBack
		if cut {
			kind = ledger.WayCut
		}
		for _, i := range on[m] {
			r.eventLog.Write(ledger.Event{Kind: kind, Proxy: i.number, Server: ledger.None, Product: ledger.None, Value: int64(zone)})
		}
	}
	var err error
	a.Machines, err = chaos.Raise([]string{r.AgentBinary, "serve", "--log-level", "info"}, r.Dir, chaos.Layout{Agents: c.Agents, Hear: c.Agents - c.voterCount(), Sites: c.siteCount(),
		Seed: int64(r.Seed), Clocks: c.Clocks, Duties: c.Duties, Instances: func(m int) []agent.InstanceConfig { return keeps[m] }, Struck: struck, Severed: severed})
	if err != nil {
		return err
	}
	r.agents = a
	if c.siteCount() > 1 {
		// Each machine has a way of its own to each server, so that it can be cut off from some.
		for _, i := range r.proxies {
			if err := i.discovery.Through(func(server int, endpoint string) (string, error) {
				return a.Way(i.number%c.Agents, server%len(r.File.Fleet.Zones), endpoint)
			}); err != nil {
				return err
			}
		}
	}
	for n := range c.Agents {
		if err := a.Start(n); err != nil {
			return err
		}
	}
	if err := a.Rise(ctx); err != nil {
		return fmt.Errorf("%w:\n%s", err, lastLines(a.Log(0), 10))
	}
	ctx, a.stopWatching = context.WithCancel(ctx)
	for _, i := range r.proxies {
		a.watchers.Go(func() { i.watchReadiness(ctx) })
	}
	for until := time.Now().Add(readyTimeout * 2); ; time.Sleep(20 * time.Millisecond) {
		if slices.IndexFunc(r.proxies, func(i *instance) bool { return !i.isReady() }) < 0 {
			break
		}
		if time.Now().After(until) {
			return fmt.Errorf("the agents have not brought all proxies up:\n%s", lastLines(a.Log(0), 10))
		}
	}
	a.Recorder = a.Machines.Record(context.Background())
	return nil
}

func (i *instance) isReady() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.ready
}

// watchReadiness does for a proxy that is kept by an agent what the platform's front does: it asks whether it is ready, and
// sends nobody to one that is not.
func (i *instance) watchReadiness(ctx context.Context) {
	for ctx.Err() == nil {
		open := answersPing(i.address)
		i.mu.Lock()
		i.ready = open
		i.mu.Unlock()
		select {
		case <-time.After(100 * time.Millisecond):
		case <-ctx.Done():
		}
	}
}

// stop ends the machines.
func (a *agents) stop() {
	if a.stopWatching != nil {
		a.stopWatching()
	}
	a.watchers.Wait()
	a.Close()
}

// submitCommand has a command agreed on; it is said again, under the same id, until it is.
func (a *agents) submitCommand(ctx context.Context, c clusterstate.Command) (number uint64, err error) {
	n := 0
	for until := time.Now().Add(20 * time.Second); time.Now().Before(until) && ctx.Err() == nil; time.Sleep(30 * time.Millisecond) {
		if number, err = a.Say(ctx, n%a.Size(), c, 2*time.Second); err == nil {
			return number, nil
		}
		n++
	}
	return 0, err
}

// instanceViews is what each agent tells of those that it keeps; of one that does not answer nothing.
func (a *agents) instanceViews(ctx context.Context) (all []agent.InstanceView) {
	var mu sync.Mutex
	var asking sync.WaitGroup
	for n := range a.Size() {
		asking.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, time.Second)
			defer cancel()
			_ = a.Ask(ctx, n, func(ctx context.Context, c *agent.Client) error {
				v, err := c.View(ctx)
				mu.Lock()
				defer mu.Unlock()
				all = append(all, v.Instances...)
				return err
			})
		})
	}
	asking.Wait()
	return all
}

// applyToAgents does a step with the agents. What takes time goes on beside the script.
func (r *run) applyToAgents(ctx context.Context, s fleet.Step, ends bool) {
	kind, fault := machineFault(s.Kind)
	switch {
	case fault && !ends:
		for _, n := range s.Servers {
			f := chaos.Fault{Kind: kind, For: s.For.Span(), On: n}
			r.background.Go(func() {
				r.recordError(r.agents.Suffer(ctx, f))
				r.agents.faultsDone <- struct{}{}
			})
			if kind == chaos.SiteDark {
				r.background.Go(func() { r.stopSiteServers(ctx, n, s.For.Span()) })
			}
		}
	case s.Kind == "order-drain":
		for _, n := range s.Servers {
			r.background.Go(func() { r.runDrainOrder(ctx, s, n, ends) })
		}
	case s.Kind == "roll" && !ends:
		r.background.Go(func() { r.conductedRoll(ctx, s) })
	case s.Kind == "rolling-restart" && !ends:
		r.background.Go(func() { r.rollingRestart(ctx, s) })
	}
}

// machineFault is the fault between machines that a trouble is: "fault-" and its kind.
func machineFault(kind string) (chaos.Kind, bool) {
	word, fault := strings.CutPrefix(kind, "fault-")
	return chaos.Kind(word), fault
}

// stopSiteServers has the servers of a site stop with its machines, and start cold when those are back.
func (r *run) stopSiteServers(ctx context.Context, site int, lasts time.Duration) {
	t := fleet.Step{Trouble: fleet.Trouble{Kind: "restart", For: ledger.Of(lasts)}}
	for n := range r.fleet.Servers {
		if n%len(r.File.Fleet.Zones) == site {
			t.Servers = append(t.Servers, n)
		}
	}
	r.recordError(r.fleet.Begin(t))
	select {
	case <-time.After(lasts):
	case <-ctx.Done():
	}
	r.recordError(r.fleet.End(t))
}

// awaitSettled waits, once the last fault is over, until agents and instances go by one new command.
func (r *run) awaitSettled(ctx context.Context) {
	for _, s := range r.steps {
		if _, fault := machineFault(s.Kind); !fault || s.At >= r.length {
			continue
		}
		for range s.Servers {
			select {
			case <-r.agents.faultsDone:
			case <-ctx.Done():
				return
			}
		}
	}
	r.agents.Settle(ctx, "s-nobody")
}

// checkAgents has the record judged.
func (r *run) checkAgents(ctx context.Context) {
	a := r.agents
	a.record = a.End(ctx)
	for _, b := range chaos.Judge(a.record, chaos.Bound) {
		a.breaches++
		r.logf("%9.3f %s: %s", b.At.Seconds(), b.Kind, b.What)
	}
	for _, f := range a.record.Fell {
		r.logf("the last words of a%d, which ended by itself:\n%s", f.Agent, lastLines(a.Log(f.Agent), 12))
	}
	if a.breaches > 0 {
		path := filepath.Join(r.Dir, "agents.txt")
		r.recordError(os.WriteFile(path, []byte(a.record.Tell()), 0o600))
	}
}

// orderTimeout is how long instances have to hear an order before it counts as unheard.
const orderTimeout = 10 * time.Second

// runDrainOrder gives one and follows it until all instances have heard it.
func (r *run) runDrainOrder(ctx context.Context, s fleet.Step, server int, ends bool) {
	verb, state := clusterstate.Drain, int64(1)
	if ends {
		verb, state = clusterstate.Undrain, 0
	}
	uid := r.fleet.Servers[server].UID
	said := logic.Micros(time.Now().UnixMicro())
	number, err := r.agents.submitCommand(ctx, clusterstate.Command{ID: fmt.Sprintf("%s-%d-%d-%d", verb, s.Order, server, r.Seed), Verb: verb, Server: uid, IssuedAt: said})
	if err != nil {
		r.agents.mu.Lock()
		r.agents.unheardOrders += len(r.proxies)
		r.agents.mu.Unlock()
		return
	}
	noted := map[string]bool{}
	begin := logic.Micros(r.eventLog.Time(0).UnixMicro())
	for until := time.Now().Add(orderTimeout); len(noted) < len(r.proxies) && time.Now().Before(until) && ctx.Err() == nil; time.Sleep(20 * time.Millisecond) {
		for _, i := range r.agents.instanceViews(ctx) {
			h := i.OrderResults[uid]
			if noted[i.Name] || h.Number < number {
				continue
			}
			noted[i.Name] = true
			proxy := ledger.None
			_, _ = fmt.Sscanf(i.Name, "n%d", &proxy)
			if h.Number == number {
				r.eventLog.Write(ledger.Event{At: max(1, ledger.Micros(h.ReceivedAt-begin)), Kind: ledger.Told, Proxy: proxy, Server: server, Product: ledger.None,
					Value: state, Note: ledger.ByOrder})
				r.agents.orderLatency.Add(ledger.Micros(h.ReceivedAt - said))
			}
		}
	}
	r.agents.mu.Lock()
	r.agents.unheardOrders += len(r.proxies) - len(noted)
	r.agents.mu.Unlock()
	if ends || ctx.Err() != nil {
		return
	}
	wait := min(8*ledger.Second, s.For-200*ledger.Millisecond)
	select {
	case <-time.After(wait.Span() - time.Since(time.UnixMicro(int64(said)))):
	case <-ctx.Done():
		return
	}
	left := r.fleet.Standing()[server]
	r.agents.mu.Lock()
	r.agents.leftAfterDrain = max(r.agents.leftAfterDrain, left)
	r.agents.mu.Unlock()
}

// rollingRestart starts all proxies anew, a share at a time, each waited for.
func (r *run) rollingRestart(ctx context.Context, s fleet.Step) {
	var names []string
	for _, i := range r.proxies {
		names = append(names, fmt.Sprintf("n%d", i.number))
	}
	share := cmp.Or(s.Size, 0.2)
	for some := range slices.Chunk(names, max(1, int(share*float64(len(names))+1e-9))) {
		number, err := r.agents.submitCommand(ctx, clusterstate.Command{ID: fmt.Sprintf("restart-%d-%s-%d", s.Order, some[0], r.Seed), Verb: clusterstate.Restart, Instances: some})
		if err == nil {
			err = r.awaitRestart(ctx, some, number)
		}
		if err != nil {
			r.logf("rolling restart: %v", err)
			r.agents.mu.Lock()
			r.agents.failedRestarts++
			r.agents.mu.Unlock()
			return
		}
	}
	r.logf("all %d are ready again", len(names))
}

// conductedRoll has all proxies started anew by whoever holds that duty, and watches.
func (r *run) conductedRoll(ctx context.Context, s fleet.Step) {
	var names []string
	for _, i := range r.proxies {
		names = append(names, fmt.Sprintf("n%d", i.number))
	}
	id := fmt.Sprintf("roll-%d-%d", s.Order, r.Seed)
	_, err := r.agents.submitCommand(ctx, clusterstate.Command{ID: id, Verb: clusterstate.Roll, Instances: names, Share: cmp.Or(s.Size, 0.2)})
	began := time.Now()
	for err == nil {
		if time.Since(began) > s.For.Span() {
			err = errors.New("it is not done in time")
		}
		time.Sleep(50 * time.Millisecond)
		done := false
		_ = r.agents.Ask(ctx, int(time.Since(began)/time.Second)%r.agents.Size(), func(ctx context.Context, c *agent.Client) error {
			v, err := c.View(ctx)
			for _, x := range v.RollingRestarts {
				done = done || x.ID == id && x.State == clusterstate.Done
			}
			return err
		})
		if done {
			r.logf("all %d are ready again after %v", len(names), time.Since(began).Round(10*time.Millisecond))
			break
		}
	}
	r.agents.mu.Lock()
	defer r.agents.mu.Unlock()
	r.agents.hasRolled = true
	if err != nil {
		r.logf("roll: %v", err)
		r.agents.failedRestarts++
	}
}

func (r *run) awaitRestart(ctx context.Context, names []string, number uint64) error {
	for until := time.Now().Add(30 * time.Second); time.Now().Before(until); time.Sleep(30 * time.Millisecond) {
		if ctx.Err() != nil {
			return ctx.Err()
		}
		good := 0
		for _, i := range r.agents.instanceViews(ctx) {
			if slices.Contains(names, i.Name) && i.CompletedRestart >= number && i.State == supervisor.Ready {
				good++
			}
		}
		if good == len(names) {
			return nil
		}
	}
	return fmt.Errorf("%v are not ready again", names)
}

// fillFigures sets the figures of the orders.
func (a *agents) fillFigures(f map[string]float64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, q := range []string{"50", "90", "99", "99.9", "100"} {
		var x float64
		_, _ = fmt.Sscan(q, &x)
		f["order-p"+q] = float64(a.orderLatency.At(x/100)) / 1000
	}
	f["orders-unheard"], f["drained-left"], f["restarts-failed"] = float64(a.unheardOrders), float64(a.leftAfterDrain), float64(a.failedRestarts)
	if a.hasRolled {
		f["not-once"] = float64(a.notRestartedOnce())
		f["unheld-ms"] = 0
		if gaps := a.record.Unheld(agent.Conductor); len(gaps) > 0 {
			f["unheld-ms"] = float64(gaps[len(gaps)-1].Milliseconds())
		}
	}
	f["agents-broken"], f["settled-s"], f["told-s"] = float64(a.breaches), -1, -1
	if a.record.Settled > 0 {
		f["settled-s"] = a.record.Settled.Seconds()
	}
	if a.record.Told > 0 {
		f["told-s"] = a.record.Told.Seconds()
	}
}

// notRestartedOnce is how many instances were not started anew exactly once.
func (a *agents) notRestartedOnce() (wrong int) {
	processes := map[string]map[int64]bool{}
	for _, h := range a.record.Held {
		if processes[h.Instance] == nil {
			processes[h.Instance] = map[int64]bool{}
		}
		processes[h.Instance][h.Process] = true
	}
	for _, i := range a.instances {
		if len(processes[fmt.Sprintf("n%d", i.number)]) != 2 {
			wrong++
		}
	}
	return wrong
}
