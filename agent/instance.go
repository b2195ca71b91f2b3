package agent

import (
	"context"
	"encoding/json"
	"errors"
	"hash/fnv"
	"log/slog"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"hatchproxy/agent/clusterstate"
	"hatchproxy/agent/supervisor"
	"hatchproxy/internal/control"
	"hatchproxy/logic"
	"hatchproxy/orders"
)

// OrderResult is an instance's answer to an order.
type OrderResult struct {
	Number     uint64         `json:"number"` // number of the order
	Verdict    orders.Verdict `json:"verdict"`
	Reason     string         `json:"why,omitempty"`
	ReceivedAt logic.Micros   `json:"at"` // Unix time at which the instance received the order
}

// instance is an instance of hatchproxy that this agent runs. The goroutine that calls run supervises its process; process, supervisor
// and processStartMicros belong to it. The fields below mu are also read by others and are guarded by it.
type instance struct {
	InstanceConfig
	agent              *Agent
	control            *control.Client
	process            *process // nil if none is running
	supervisor         *supervisor.Supervisor
	processStartMicros int64 // start time that the last polled process reported; 0 if none has answered yet

	mu               sync.Mutex
	orderResults     map[string]OrderResult // by server UID
	status           *control.Status        // last answer; nil if none
	polledAt         logic.Micros           // Unix time of status
	state            supervisor.State
	failures         int // in a row
	reason           string
	completedRestart uint64 // number of the last restart command that was carried out
}

const (
	// pollInterval is how often an instance is asked for its status. The answer counts as its heartbeat.
	pollInterval = 500 * logic.Millisecond
	// callTimeout is how long an instance, or another agent that is pinged, may take to answer. An instance that was stopped answers once
	// it continues; the calls made until then wait in its socket and are handled at that moment.
	callTimeout = time.Second
	// superviseInterval is how often an instance is checked while the replicated state doesn't change.
	superviseInterval = 50 * time.Millisecond
)

// newInstance returns an instance of which it is not known yet whether it runs. Its restart delays are seeded by the names of agent and instance.
func (a *Agent) newInstance(config InstanceConfig) *instance {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(a.config.Name + "/" + config.Name))
	return &instance{InstanceConfig: config, agent: a, control: control.NewClient(config.ControlAddress), supervisor: supervisor.New(int64(hash.Sum64())), orderResults: map[string]OrderResult{},
		state: supervisor.Unknown}
}

// path returns the file of a kind ("process", "orders" or "log") in the data directory.
func (i *instance) path(kind string) string {
	return filepath.Join(i.agent.config.DataDir, i.Name+"."+kind)
}

// run supervises the instance until ctx ends. The process keeps running afterwards.
func (i *instance) run(ctx context.Context) {
	if i.process = findRunningProcess(i.path("process")); i.process != nil {
		i.supervisor.Adopt(i.agent.clock.Now(), i.process.RestartNumber)
		i.agent.log.Info("adopted a running instance", "instance", i.Name, "pid", i.process.PID)
	}
	nextPoll := logic.Micros(0)
	for ctx.Err() == nil {
		changed := i.agent.journal.Changed()
		i.loadDesiredState()
		i.superviseProcess(ctx)
		if i.process != nil {
			if i.agent.clock.Now() >= nextPoll {
				nextPoll = i.agent.clock.Now() + pollInterval
				i.pollStatus(ctx)
			}
			i.sendOrders(ctx)
		}
		i.mu.Lock()
		i.state, i.failures, i.reason = i.supervisor.State()
		i.completedRestart = i.supervisor.CompletedRestart()
		i.mu.Unlock()
		select {
		case <-changed:
		case <-time.After(superviseInterval):
		case <-ctx.Done():
		}
	}
	i.control.Close()
}

// loadDesiredState passes the desired state of the instance on to the supervisor.
func (i *instance) loadDesiredState() {
	i.agent.journal.ReadState(func(state *clusterstate.State) {
		spec, shouldRun := state.InstanceSpec(i.Name)
		i.supervisor.SetDesired(i.agent.clock.Now(), shouldRun && i.agent.logReady, spec.RequestedRestart)
	})
}

// superviseProcess reports an exit of the process to the supervisor and carries out the supervisor's next action.
func (i *instance) superviseProcess(ctx context.Context) {
	if i.process != nil {
		if exited, reason := i.process.hasExited(); exited {
			i.process = nil
			i.supervisor.ReportExit(i.agent.clock.Now(), reason)
			i.clearStatus()
			if state, failures, _ := i.supervisor.State(); state == supervisor.CrashLooping {
				i.agent.log.Error("instance is crash-looping", "instance", i.Name, "falls", failures, "why", reason)
			}
		}
	}
	action, _ := i.supervisor.NextAction(i.agent.clock.Now())
	switch action {
	case supervisor.Start:
		if !i.adoptProcess(ctx) {
			i.startProcess()
		}
	case supervisor.Terminate:
		i.agent.withMemberList(func(list memberList) { list.MarkLeft(i.agent.clock.Now(), i.Name) })
		i.process.signal(syscall.SIGTERM)
	case supervisor.Kill:
		i.agent.log.Warn("killing instance: it did not become ready, or did not exit, in time", "instance", i.Name)
		i.process.signal(syscall.SIGKILL)
	}
}

// adoptProcess takes over a process that answers at the instance's control address, and returns true if there is one. An earlier agent
// that was killed between starting a process and saving its process file leaves such a process, and a second one must not be started
// beside it. It also returns true if there is no answer before the timeout, which counts as a failed start.
func (i *instance) adoptProcess(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	status, err := i.control.Status(ctx)
	switch {
	case err == nil && status.PID > 1:
		p := &process{PID: status.PID}
		running, startTime := kernelStartTime(status.PID)
		if !running {
			return false
		}
		p.StartTime, p.RestartNumber = startTime, savedRestartNumber(i.path("process"))
		i.process = p
		i.supervisor.Adopt(i.agent.clock.Now(), p.RestartNumber)
		i.reportReadiness(status)
		i.agent.log.Info("adopted an instance that answers at its control address", "instance", i.Name, "pid", p.PID)
		if err := p.save(i.path("process")); err != nil {
			i.agent.log.Error("cannot save the process file of an instance", "instance", i.Name, "error", err)
		}
		return true
	case errors.Is(err, context.DeadlineExceeded):
		i.supervisor.ReportStartFailure(i.agent.clock.Now(), "somebody is at its control address and does not answer")
		return true
	}
	return false
}

// startProcess starts the process. The orders in effect are passed in a file that it reads before it accepts any work.
func (i *instance) startProcess() {
	var current []orders.Order
	i.agent.journal.ReadState(func(state *clusterstate.State) { current = state.OrdersForTerm(i.agent.journal.Term()) })
	text, err := json.Marshal(current)
	if err == nil {
		err = writeFileAtomically(i.path("orders"), text)
	}
	if err == nil {
		command := append(append([]string{}, i.Command...), "--control", i.ControlAddress, "--orders", i.path("orders"))
		i.supervisor.ReportStarted(i.agent.clock.Now())
		// The restart is saved before the start, so that an agent that finds the process knows which restart it belongs to.
		err = (&process{RestartNumber: i.supervisor.CompletedRestart()}).save(i.path("process"))
		if err == nil {
			i.process, err = spawnProcess(command, i.path("log"), i.supervisor.CompletedRestart())
		}
		if err == nil {
			err = i.process.save(i.path("process"))
		}
	}
	if err != nil {
		i.agent.log.Error("cannot start instance", "instance", i.Name, "error", err)
		if i.process == nil {
			i.supervisor.ReportExit(i.agent.clock.Now(), err.Error())
		}
	}
}

// clearStatus drops the answers of a process that has exited.
func (i *instance) clearStatus() {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.orderResults, i.status, i.processStartMicros = map[string]OrderResult{}, nil, 0
}

// pollStatus asks the instance for its status. An answer of a process that is not exiting counts as a heartbeat.
func (i *instance) pollStatus(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	status, err := i.control.Status(ctx)
	if err != nil {
		return
	}
	if i.process == nil || status.PID != i.process.PID {
		return // another process owns the socket, or the process is about to exit
	}
	if status.StartedMicros != i.processStartMicros {
		i.clearStatus()
		i.processStartMicros = status.StartedMicros
	}
	i.mu.Lock()
	i.status, i.polledAt = &status, i.agent.clock.Wall()
	i.mu.Unlock()
	i.reportReadiness(status)
	if state, _, _ := i.supervisor.State(); state == supervisor.Leaving || status.Leaving {
		return // the last answers of an exiting process don't make it a live member again
	}
	i.agent.withMemberList(func(list memberList) { list.RecordHeartbeat(i.agent.clock.Now(), i.Name) })
}

// reportReadiness passes on to the supervisor whether the instance is ready by its answer. One that is leaving is neither ready nor
// about to be.
func (i *instance) reportReadiness(status control.Status) {
	switch {
	case status.Leaving:
	case status.Ready:
		i.supervisor.ReportReady(i.agent.clock.Now())
	default:
		i.supervisor.ReportNotReady(i.agent.clock.Now())
	}
}

// sendOrders sends the instance the orders that it has not answered yet, oldest first. It stops at the first call that fails.
func (i *instance) sendOrders(ctx context.Context) {
	if i.processStartMicros == 0 {
		return // the process has not answered yet; it was started with the orders in effect
	}
	var current []orders.Order
	i.agent.journal.ReadState(func(state *clusterstate.State) { current = state.OrdersForTerm(i.agent.journal.Term()) })
	for _, order := range current {
		i.mu.Lock()
		answered := i.orderResults[order.ServerUID].Number >= order.Number
		i.mu.Unlock()
		if answered {
			continue
		}
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		answer, err := i.control.ApplyOrder(ctx, order)
		cancel()
		var refused *control.RefusedError
		switch {
		case errors.As(err, &refused) && refused.Status < 500 && refused.Status != 429:
			// The instance rejects the call itself; most likely it speaks another version of the control protocol.
			answer = orders.Answer{Verdict: orders.Refused, Reason: refused.Reason, ReceivedAt: i.agent.clock.Wall()}
		case err != nil:
			return
		}
		i.recordAnswer(order, answer)
	}
}

// recordAnswer stores the answer to an order. Repeated counts as Obeyed.
func (i *instance) recordAnswer(order orders.Order, answer orders.Answer) {
	i.mu.Lock()
	defer i.mu.Unlock()
	result := OrderResult{order.Number, answer.Verdict, answer.Reason, answer.ReceivedAt}
	if answer.Verdict == orders.Repeated {
		result.Verdict = orders.Obeyed // received before, from the file at the start or by a call whose answer was lost
	}
	i.orderResults[order.ServerUID] = result
	i.agent.log.Log(context.Background(), slog.LevelInfo, "instance answered an order", "instance", i.Name, "order", order.ID, "verdict", result.Verdict, "why", result.Reason)
}

// view returns the agent's report on the instance.
func (i *instance) view(spec clusterstate.InstanceSpec, shouldRun bool) InstanceView {
	i.mu.Lock()
	defer i.mu.Unlock()
	v := InstanceView{Name: i.Name, Agent: i.agent.config.Name, Control: i.ControlAddress, ShouldRun: shouldRun, RequestedRestart: spec.RequestedRestart, CompletedRestart: i.completedRestart,
		State: i.state, Failures: i.failures, Reason: i.reason, OrderResults: map[string]OrderResult{}, Status: i.status, PolledAt: i.polledAt}
	for server, result := range i.orderResults {
		v.OrderResults[server] = result
	}
	return v
}
