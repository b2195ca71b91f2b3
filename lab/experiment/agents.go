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

// agents are the agents of a run, each on a simulated machine of its own, which start and supervise its proxies.
type agents struct {
	*chaos.Cluster
	*chaos.Recorder
	instances    []*instance
	stopWatching context.CancelFunc // ends the readiness checks of the proxies
	watchers     sync.WaitGroup
	faultsDone   chan struct{} // receives a value for each fault that is over
	breaches     int           // of the rules of agents and instances
	record       chaos.Record  // what was seen of the agents; set by checkAgents

	mu                  sync.Mutex      // guards the fields below; orderLatency has its own lock
	orderLatency        *load.Histogram // from the issue of an order until an instance received it
	unreceivedOrders    int             // summed over instances
	leftAfterDrain      int             // most connections left at a server that was ordered to drain
	failedRestarts      int             // rolling restarts
	hasConductedRestart bool            // a conducted rolling restart was played
}

// managedPID returns the id of the process that the instance's agent has recorded; 0 if there is none.
func (i *instance) managedPID() int {
	text, err := os.ReadFile(i.processFile)
	if err != nil {
		return 0
	}
	var process struct{ PID int }
	if json.Unmarshal(text, &process) != nil {
		return 0
	}
	return process.PID
}

// startAgents sets up the machines and their links, starts the agents and waits until all proxies are ready.
func (r *run) startAgents(ctx context.Context) error {
	a := &agents{instances: r.proxies, orderLatency: load.NewHistogram(), faultsDone: make(chan struct{}, len(r.troubles)*r.Control.Agents)}
	control := r.Control
	configs := make([][]agent.InstanceConfig, control.Agents)
	onMachine := make([][]*instance, control.Agents)
	for _, proxy := range r.proxies {
		machine := proxy.number % control.Agents
		proxy.processFile = filepath.Join(r.Dir, fmt.Sprintf("d%d", machine), fmt.Sprintf("n%d.process", proxy.number))
		onMachine[machine] = append(onMachine[machine], proxy)
		configs[machine] = append(configs[machine], agent.InstanceConfig{Name: fmt.Sprintf("n%d", proxy.number), Command: []string{proxy.binary, "serve", "--config", proxy.configPath()},
			ControlAddress: "unix:" + filepath.Join(r.Dir, fmt.Sprintf("n%d.sock", proxy.number))})
	}
	recordInstanceEvent := func(machine int, event chaos.InstanceEvent) {
		for _, proxy := range onMachine[machine] {
			r.recordProxyEvent([...]ledger.Kind{ledger.ProxyKilled, ledger.ProxyPaused, ledger.ProxyResumed}[event], proxy.number)
		}
	}
	recordCut := func(machine, zone int, cut bool) {
		kind := ledger.LinkRestored
		if cut {
			kind = ledger.LinkCut
		}
		for _, proxy := range onMachine[machine] {
			r.eventLog.Record(ledger.Event{Kind: kind, Proxy: proxy.number, Server: ledger.None, Product: ledger.None, Value: int64(zone)})
		}
	}
	var err error
	a.Cluster, err = chaos.NewCluster([]string{r.AgentBinary, "serve", "--log-level", "info"}, r.Dir, chaos.ClusterConfig{AgentCount: control.Agents, NonVoterCount: control.Agents - control.voterCount(), SiteCount: control.siteCount(),
		Seed: int64(r.Seed), HasClockErrors: control.Clocks, Duties: control.Duties, InstanceConfigs: func(machine int) []agent.InstanceConfig { return configs[machine] }, OnInstanceEvent: recordInstanceEvent, OnServerLinkChange: recordCut})
	if err != nil {
		return err
	}
	r.agents = a
	if control.siteCount() > 1 {
		// Each machine has its own link to each server, so that it can be cut off from some of them.
		for _, proxy := range r.proxies {
			if err := proxy.discovery.RewriteEndpoints(func(server int, endpoint string) (string, error) {
				return a.AddServerRelay(proxy.number%control.Agents, server%len(r.File.Fleet.Zones), endpoint)
			}); err != nil {
				return err
			}
		}
	}
	for n := range control.Agents {
		if err := a.StartAgent(n); err != nil {
			return err
		}
	}
	if err := a.AwaitFirstCommit(ctx); err != nil {
		return fmt.Errorf("%w:\n%s", err, lastLines(a.LogPath(0), 10))
	}
	ctx, a.stopWatching = context.WithCancel(ctx)
	for _, proxy := range r.proxies {
		a.watchers.Go(func() { proxy.watchReadiness(ctx) })
	}
	for deadline := time.Now().Add(readyTimeout * 2); ; time.Sleep(20 * time.Millisecond) {
		if slices.IndexFunc(r.proxies, func(proxy *instance) bool { return !proxy.isReady() }) < 0 {
			break
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("the agents did not get all proxies ready in time:\n%s", lastLines(a.LogPath(0), 10))
		}
	}
	a.Recorder = a.Cluster.StartRecording(context.Background())
	return nil
}

// isReady reports whether clients are sent to the proxy.
func (i *instance) isReady() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.ready
}

// watchReadiness checks every 100 ms whether a proxy under an agent is ready, as the platform's front end does, so that clients
// are only sent to ready ones. It returns when ctx ends.
func (i *instance) watchReadiness(ctx context.Context) {
	for ctx.Err() == nil {
		ready := answersPing(i.address)
		i.mu.Lock()
		i.ready = ready
		i.mu.Unlock()
		select {
		case <-time.After(100 * time.Millisecond):
		case <-ctx.Done():
		}
	}
}

// stop ends the readiness checks, the agents and their instances.
func (a *agents) stop() {
	if a.stopWatching != nil {
		a.stopWatching()
	}
	a.watchers.Wait()
	a.Close()
}

// submitCommand submits a command to the agents, one after the other and under the same id, until one reports it committed; it
// gives up after 20 s. It returns the command's number.
func (a *agents) submitCommand(ctx context.Context, command clusterstate.Command) (number uint64, err error) {
	attempt := 0
	for deadline := time.Now().Add(20 * time.Second); time.Now().Before(deadline) && ctx.Err() == nil; time.Sleep(30 * time.Millisecond) {
		if number, err = a.Submit(ctx, attempt%a.MachineCount(), command, 2*time.Second); err == nil {
			return number, nil
		}
		attempt++
	}
	return 0, err
}

// instanceViews returns what the agents report of their instances. Agents that do not answer within a second are left out.
func (a *agents) instanceViews(ctx context.Context) (all []agent.InstanceView) {
	var mu sync.Mutex
	var asking sync.WaitGroup
	for n := range a.MachineCount() {
		asking.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, time.Second)
			defer cancel()
			_ = a.CallAgent(ctx, n, func(ctx context.Context, client *agent.Client) error {
				view, err := client.View(ctx)
				mu.Lock()
				defer mu.Unlock()
				all = append(all, view.Instances...)
				return err
			})
		})
	}
	asking.Wait()
	return all
}

// applyToAgents begins or ends a trouble that concerns agents or machines. What takes time goes on in the background.
func (r *run) applyToAgents(ctx context.Context, trouble fleet.ScheduledTrouble, ends bool) {
	kind, isMachineFault := machineFault(trouble.Kind)
	switch {
	case isMachineFault && !ends:
		for _, n := range trouble.Targets {
			fault := chaos.Fault{Kind: kind, Duration: trouble.Duration.Duration(), Target: n}
			r.background.Go(func() {
				r.recordError(r.agents.InjectFault(ctx, fault))
				r.agents.faultsDone <- struct{}{}
			})
			if kind == chaos.SiteCrash {
				r.background.Go(func() { r.stopSiteServers(ctx, n, trouble.Duration.Duration()) })
			}
		}
	case trouble.Kind == "order-drain":
		for _, n := range trouble.Targets {
			r.background.Go(func() { r.runDrainOrder(ctx, trouble, n, ends) })
		}
	case trouble.Kind == "roll" && !ends:
		r.background.Go(func() { r.runConductedRestart(ctx, trouble) })
	case trouble.Kind == "rolling-restart" && !ends:
		r.background.Go(func() { r.runRollingRestart(ctx, trouble) })
	}
}

// machineFault returns the kind of machine fault that a kind of trouble names as "fault-" and its kind, and whether it names one.
func machineFault(kind string) (chaos.Kind, bool) {
	name, isMachineFault := strings.CutPrefix(kind, "fault-")
	return chaos.Kind(name), isMachineFault
}

// stopSiteServers stops the servers of a site that lost all its machines, and starts them again, cold, when the time is over.
func (r *run) stopSiteServers(ctx context.Context, site int, duration time.Duration) {
	trouble := fleet.ScheduledTrouble{Trouble: fleet.Trouble{Kind: "restart", Duration: ledger.FromDuration(duration)}}
	for n := range r.fleet.Servers {
		if n%len(r.File.Fleet.Zones) == site {
			trouble.Targets = append(trouble.Targets, n)
		}
	}
	r.recordError(r.fleet.BeginTrouble(trouble))
	select {
	case <-time.After(duration):
	case <-ctx.Done():
	}
	r.recordError(r.fleet.EndTrouble(trouble))
}

// awaitSettled waits for the end of all faults of machines, and then until all agents have, and all instances act on, a new
// command. The record keeps how long that took.
func (r *run) awaitSettled(ctx context.Context) {
	for _, s := range r.troubles {
		if _, isMachineFault := machineFault(s.Kind); !isMachineFault || s.At >= r.length {
			continue
		}
		for range s.Targets {
			select {
			case <-r.agents.faultsDone:
			case <-ctx.Done():
				return
			}
		}
	}
	r.agents.AwaitSettled(ctx, "s-nobody") // no server has this UID, so the new command has no effect
}

// checkAgents ends the recording and checks it against the rules of agents and instances. If any is broken, it writes the record
// to agents.txt in the run's directory.
func (r *run) checkAgents(ctx context.Context) {
	a := r.agents
	a.record = a.Finish(ctx)
	for _, b := range chaos.FindBreaches(a.record, chaos.SettleBound) {
		a.breaches++
		r.logf("%9.3f %s: %s", b.At.Seconds(), b.Kind, b.Description)
	}
	for _, f := range a.record.UnexpectedExits {
		r.logf("end of the log of agent a%d, which exited unexpectedly:\n%s", f.Agent, lastLines(a.LogPath(f.Agent), 12))
	}
	if a.breaches > 0 {
		path := filepath.Join(r.Dir, "agents.txt")
		r.recordError(os.WriteFile(path, []byte(a.record.Timeline()), 0o600))
	}
}

// orderTimeout is how long instances have to receive an order before it counts as not received.
const orderTimeout = 10 * time.Second

// runDrainOrder orders the agents to have a server drained, or to undo that if ends is set, and records when each instance received
// the order. After an order to drain it also counts the connections that are left at the server 8 s after the order, or 200 ms
// before the trouble's end if that is earlier.
func (r *run) runDrainOrder(ctx context.Context, trouble fleet.ScheduledTrouble, server int, ends bool) {
	action, state := clusterstate.Drain, int64(1)
	if ends {
		action, state = clusterstate.Undrain, 0
	}
	uid := r.fleet.Servers[server].UID
	issuedAt := logic.Micros(time.Now().UnixMicro())
	number, err := r.agents.submitCommand(ctx, clusterstate.Command{ID: fmt.Sprintf("%s-%d-%d-%d", action, trouble.ScriptIndex, server, r.Seed), Verb: action, Server: uid, IssuedAt: issuedAt})
	if err != nil {
		r.agents.mu.Lock()
		r.agents.unreceivedOrders += len(r.proxies)
		r.agents.mu.Unlock()
		return
	}
	received := map[string]bool{}
	logStart := logic.Micros(r.eventLog.WallTime(0).UnixMicro())
	for deadline := time.Now().Add(orderTimeout); len(received) < len(r.proxies) && time.Now().Before(deadline) && ctx.Err() == nil; time.Sleep(20 * time.Millisecond) {
		for _, view := range r.agents.instanceViews(ctx) {
			order := view.OrderResults[uid]
			if received[view.Name] || order.Number < number {
				continue
			}
			received[view.Name] = true
			proxy := ledger.None
			_, _ = fmt.Sscanf(view.Name, "n%d", &proxy)
			if order.Number == number {
				r.eventLog.Record(ledger.Event{At: max(1, ledger.Micros(order.ReceivedAt-logStart)), Kind: ledger.StateAnnounced, Proxy: proxy, Server: server, Product: ledger.None,
					Value: state, Note: ledger.ByOrder})
				r.agents.orderLatency.Add(ledger.Micros(order.ReceivedAt - issuedAt))
			}
		}
	}
	r.agents.mu.Lock()
	r.agents.unreceivedOrders += len(r.proxies) - len(received)
	r.agents.mu.Unlock()
	if ends || ctx.Err() != nil {
		return
	}
	wait := min(8*ledger.Second, trouble.Duration-200*ledger.Millisecond)
	select {
	case <-time.After(wait.Duration() - time.Since(time.UnixMicro(int64(issuedAt)))):
	case <-ctx.Done():
		return
	}
	left := r.fleet.EstablishedCounts()[server]
	r.agents.mu.Lock()
	r.agents.leftAfterDrain = max(r.agents.leftAfterDrain, left)
	r.agents.mu.Unlock()
}

// runRollingRestart restarts all proxies, a share at a time, and waits for each share to be ready again.
func (r *run) runRollingRestart(ctx context.Context, trouble fleet.ScheduledTrouble) {
	var names []string
	for _, proxy := range r.proxies {
		names = append(names, fmt.Sprintf("n%d", proxy.number))
	}
	share := cmp.Or(trouble.Size, 0.2)
	for batch := range slices.Chunk(names, max(1, int(share*float64(len(names))+1e-9))) {
		number, err := r.agents.submitCommand(ctx, clusterstate.Command{ID: fmt.Sprintf("restart-%d-%s-%d", trouble.ScriptIndex, batch[0], r.Seed), Verb: clusterstate.Restart, Instances: batch})
		if err == nil {
			err = r.awaitRestart(ctx, batch, number)
		}
		if err != nil {
			r.logf("rolling restart: %v", err)
			r.agents.mu.Lock()
			r.agents.failedRestarts++
			r.agents.mu.Unlock()
			return
		}
	}
	r.logf("rolling restart: all %d proxies are ready again", len(names))
}

// runConductedRestart has all proxies restarted by the agent that holds the conductor's duty, and waits until it reports the rolling
// restart done.
func (r *run) runConductedRestart(ctx context.Context, trouble fleet.ScheduledTrouble) {
	var names []string
	for _, proxy := range r.proxies {
		names = append(names, fmt.Sprintf("n%d", proxy.number))
	}
	id := fmt.Sprintf("roll-%d-%d", trouble.ScriptIndex, r.Seed)
	_, err := r.agents.submitCommand(ctx, clusterstate.Command{ID: id, Verb: clusterstate.Roll, Instances: names, Share: cmp.Or(trouble.Size, 0.2)})
	startedAt := time.Now()
	for err == nil {
		if time.Since(startedAt) > trouble.Duration.Duration() {
			err = errors.New("not done in time")
		}
		time.Sleep(50 * time.Millisecond)
		done := false
		_ = r.agents.CallAgent(ctx, int(time.Since(startedAt)/time.Second)%r.agents.MachineCount(), func(ctx context.Context, client *agent.Client) error {
			view, err := client.View(ctx)
			for _, roll := range view.RollingRestarts {
				done = done || roll.ID == id && roll.State == clusterstate.Done
			}
			return err
		})
		if done {
			r.logf("roll: all %d proxies are ready again after %v", len(names), time.Since(startedAt).Round(10*time.Millisecond))
			break
		}
	}
	r.agents.mu.Lock()
	defer r.agents.mu.Unlock()
	r.agents.hasConductedRestart = true
	if err != nil {
		r.logf("roll: %v", err)
		r.agents.failedRestarts++
	}
}

// awaitRestart waits until the named instances were restarted by the command with a number, or a later one, and are ready; up to
// 30 s.
func (r *run) awaitRestart(ctx context.Context, names []string, number uint64) error {
	for deadline := time.Now().Add(30 * time.Second); time.Now().Before(deadline); time.Sleep(30 * time.Millisecond) {
		if ctx.Err() != nil {
			return ctx.Err()
		}
		ready := 0
		for _, view := range r.agents.instanceViews(ctx) {
			if slices.Contains(names, view.Name) && view.CompletedRestart >= number && view.State == supervisor.Ready {
				ready++
			}
		}
		if ready == len(names) {
			return nil
		}
	}
	return fmt.Errorf("%v are not ready again after 30 s", names)
}

// fillFigures sets the figures of orders, restarts and breaches of the agents.
func (a *agents) fillFigures(figures map[string]float64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, q := range []string{"50", "90", "99", "99.9", "100"} {
		var x float64
		_, _ = fmt.Sscan(q, &x)
		figures["order-p"+q] = float64(a.orderLatency.Quantile(x/100)) / 1000
	}
	figures["orders-unheard"], figures["drained-left"], figures["restarts-failed"] = float64(a.unreceivedOrders), float64(a.leftAfterDrain), float64(a.failedRestarts)
	if a.hasConductedRestart {
		figures["not-once"] = float64(a.notRestartedOnce())
		figures["unheld-ms"] = 0
		if gaps := a.record.UnheldGaps(agent.Conductor); len(gaps) > 0 {
			figures["unheld-ms"] = float64(gaps[len(gaps)-1].Milliseconds())
		}
	}
	figures["agents-broken"], figures["settled-s"], figures["told-s"] = float64(a.breaches), -1, -1
	if a.record.AgentSettleTime > 0 {
		figures["settled-s"] = a.record.AgentSettleTime.Seconds()
	}
	if a.record.InstanceSettleTime > 0 {
		figures["told-s"] = a.record.InstanceSettleTime.Seconds()
	}
}

// notRestartedOnce returns the number of instances that did not run as exactly two processes, that is, were not restarted exactly
// once.
func (a *agents) notRestartedOnce() (count int) {
	processes := map[string]map[int64]bool{}
	for _, seen := range a.record.InstanceReports {
		if processes[seen.Instance] == nil {
			processes[seen.Instance] = map[int64]bool{}
		}
		processes[seen.Instance][seen.ProcessStartMicros] = true
	}
	for _, proxy := range a.instances {
		if len(processes[fmt.Sprintf("n%d", proxy.number)]) != 2 {
			count++
		}
	}
	return count
}
