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

// OrderResult is what an instance answered to an order.
type OrderResult struct {
	Number     uint64         `json:"number"`
	Verdict    orders.Verdict `json:"verdict"`
	Reason     string         `json:"why,omitempty"`
	ReceivedAt logic.Micros   `json:"at"` // Unix time at which the instance heard it
}

// instance is one that this agent keeps. A goroutine of its own does all that concerns it; the fields below the gap are
// guarded by the lock.
type instance struct {
	InstanceConfig
	agent              *Agent
	control            *control.Client
	process            *process
	supervisor         *supervisor.Supervisor
	processStartMicros int64 // when the process that was heard last started

	mu               sync.Mutex
	orderResults     map[string]OrderResult // by server
	status           *control.Status
	polledAt         logic.Micros
	state            supervisor.State
	failures         int
	reason           string
	completedRestart uint64
}

const (
	// pollInterval is how often an instance is asked how it is; the answer is its heartbeat.
	pollInterval = 500 * logic.Millisecond
	// callTimeout is how long it may take: one that is stopped answers when it goes on, and until then each try waits
	// in its socket and counts the moment it wakes.
	callTimeout = time.Second
	// superviseInterval is how often a process is looked after where nothing else happens.
	superviseInterval = 50 * time.Millisecond
)

func (a *Agent) newInstance(c InstanceConfig) *instance {
	h := fnv.New64a()
	_, _ = h.Write([]byte(a.config.Name + "/" + c.Name))
	return &instance{InstanceConfig: c, agent: a, control: control.NewClient(c.ControlAddress), supervisor: supervisor.New(int64(h.Sum64())), orderResults: map[string]OrderResult{},
		state: supervisor.Stopped}
}

func (i *instance) path(kind string) string {
	return filepath.Join(i.agent.config.DataDir, i.Name+"."+kind)
}

// run keeps the instance until ctx ends; the process goes on then.
func (i *instance) run(ctx context.Context) {
	if i.process = findRunningProcess(i.path("process")); i.process != nil {
		i.supervisor.Adopt(i.agent.clock.Now(), i.process.RestartNumber, false)
		i.agent.log.Info("an instance was found running", "instance", i.Name, "pid", i.process.PID)
	}
	next := logic.Micros(0)
	for ctx.Err() == nil {
		changed := i.agent.journal.Changed()
		i.loadDesiredState()
		i.superviseProcess(ctx)
		if i.process != nil {
			if i.agent.clock.Now() >= next {
				next = i.agent.clock.Now() + pollInterval
				i.pollStatus(ctx)
			}
			i.sendOrders(ctx)
		}
		i.mu.Lock()
		i.state, i.failures, i.reason = i.supervisor.State()
		i.completedRestart = i.supervisor.LastRestart()
		i.mu.Unlock()
		select {
		case <-changed:
		case <-time.After(superviseInterval):
		case <-ctx.Done():
		}
	}
	i.control.Close()
}

// loadDesiredState takes over what is agreed on.
func (i *instance) loadDesiredState() {
	i.agent.journal.ReadState(func(s *clusterstate.State) {
		w, run := s.InstanceSpec(i.Name)
		i.supervisor.SetDesired(i.agent.clock.Now(), run && i.agent.logReady, w.LastRestart)
	})
}

// superviseProcess looks after the process.
func (i *instance) superviseProcess(ctx context.Context) {
	if i.process != nil {
		if over, why := i.process.hasExited(); over {
			i.process = nil
			i.supervisor.ReportExit(i.agent.clock.Now(), why)
			i.clearStatus()
			if s, falls, _ := i.supervisor.State(); s == supervisor.CrashLooping {
				i.agent.log.Error("an instance falls again and again", "instance", i.Name, "falls", falls, "why", why)
			}
		}
	}
	do, _ := i.supervisor.NextAction(i.agent.clock.Now())
	switch do {
	case supervisor.Start:
		if !i.adoptProcess(ctx) {
			i.startProcess()
		}
	case supervisor.Terminate:
		i.agent.withMemberList(func(r memberList) { r.MarkLeft(i.agent.clock.Now(), i.Name) })
		i.process.signal(syscall.SIGTERM)
	case supervisor.Kill:
		i.agent.log.Warn("an instance is killed: it was not ready, or did not leave, in time", "instance", i.Name)
		i.process.signal(syscall.SIGKILL)
	}
}

// adoptProcess takes over a process that an agent before this one has started and not written down any more, since it was
// killed between the two: it is found by its control surface. Guards against a second process beside it. True also where
// somebody is there and does not answer.
func (i *instance) adoptProcess(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	st, err := i.control.Status(ctx)
	switch {
	case err == nil && st.PID > 1:
		p := &process{PID: st.PID}
		there, start := kernelStartTime(st.PID)
		if !there {
			return false
		}
		p.StartTime, p.RestartNumber = start, savedRestartNumber(i.path("process"))
		i.process = p
		i.supervisor.Adopt(i.agent.clock.Now(), p.RestartNumber, st.Ready)
		i.agent.log.Info("an instance was found by its control surface", "instance", i.Name, "pid", p.PID)
		if err := p.save(i.path("process")); err != nil {
			i.agent.log.Error("it cannot be written down which process an instance is", "instance", i.Name, "error", err)
		}
		return true
	case errors.Is(err, context.DeadlineExceeded):
		i.supervisor.ReportStartFailure(i.agent.clock.Now(), "somebody is at its control address and does not answer")
		return true
	}
	return false
}

// startProcess starts the process, with the orders that stand in a file that it reads before it takes any work.
func (i *instance) startProcess() {
	var held []orders.Order
	i.agent.journal.ReadState(func(s *clusterstate.State) { held = s.OrdersForTerm(i.agent.journal.Term()) })
	text, err := json.Marshal(held)
	if err == nil {
		err = writeFileAtomically(i.path("orders"), text)
	}
	if err == nil {
		command := append(append([]string{}, i.Command...), "--control", i.ControlAddress, "--orders", i.path("orders"))
		i.supervisor.ReportStarted(i.agent.clock.Now())
		// What it is started for is written down first: whoever finds the process knows it by that.
		err = (&process{RestartNumber: i.supervisor.LastRestart()}).save(i.path("process"))
		if err == nil {
			i.process, err = startProcess(command, i.path("log"), i.supervisor.LastRestart())
		}
		if err == nil {
			err = i.process.save(i.path("process"))
		}
	}
	if err != nil {
		i.agent.log.Error("an instance cannot be started", "instance", i.Name, "error", err)
		if i.process == nil {
			i.supervisor.ReportExit(i.agent.clock.Now(), err.Error())
		}
	}
}

// clearStatus drops what one that has ended had answered.
func (i *instance) clearStatus() {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.orderResults, i.status, i.processStartMicros = map[string]OrderResult{}, nil, 0
}

// pollStatus asks how the instance is.
func (i *instance) pollStatus(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	st, err := i.control.Status(ctx)
	if err != nil {
		return
	}
	if i.process == nil || st.PID != i.process.PID {
		return // another's socket, or one that is about to go
	}
	if st.StartedMicros != i.processStartMicros {
		i.clearStatus()
		i.processStartMicros = st.StartedMicros
	}
	i.mu.Lock()
	i.status, i.polledAt = &st, i.agent.clock.Wall()
	i.mu.Unlock()
	if st.Ready && !st.Leaving {
		i.supervisor.ReportReady(i.agent.clock.Now())
	}
	if state, _, _ := i.supervisor.State(); state == supervisor.Leaving || st.Leaving {
		return // its last answers are no return
	}
	i.agent.withMemberList(func(r memberList) { r.RecordHeartbeat(i.agent.clock.Now(), i.Name) })
}

// sendOrders gives the instance the orders that it has not answered yet, oldest first.
func (i *instance) sendOrders(ctx context.Context) {
	if i.processStartMicros == 0 {
		return // nobody has answered there yet; it started with what stood
	}
	var held []orders.Order
	i.agent.journal.ReadState(func(s *clusterstate.State) { held = s.OrdersForTerm(i.agent.journal.Term()) })
	for _, o := range held {
		i.mu.Lock()
		done := i.orderResults[o.ServerUID].Number >= o.Number
		i.mu.Unlock()
		if done {
			continue
		}
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		ans, err := i.control.ApplyOrder(ctx, o)
		cancel()
		var no *control.RefusedError
		switch {
		case errors.As(err, &no) && no.Status < 500 && no.Status != 429:
			// It answers and does not understand: a version of another control protocol, most likely.
			ans = orders.Answer{Verdict: orders.Refused, Reason: no.Reason, ReceivedAt: i.agent.clock.Wall()}
		case err != nil:
			return
		}
		i.recordAnswer(o, ans)
	}
}

func (i *instance) recordAnswer(o orders.Order, ans orders.Answer) {
	i.mu.Lock()
	defer i.mu.Unlock()
	h := OrderResult{o.Number, ans.Verdict, ans.Reason, ans.ReceivedAt}
	if ans.Verdict == orders.Repeated {
		h.Verdict = orders.Obeyed // it was heard before: by the file at its start, or by a call whose answer was lost
	}
	i.orderResults[o.ServerUID] = h
	i.agent.log.Log(context.Background(), slog.LevelInfo, "an order was heard", "instance", i.Name, "order", o.ID, "verdict", h.Verdict, "why", h.Reason)
}

// view is what is told of an instance.
func (i *instance) view(wish clusterstate.InstanceSpec, run bool) InstanceView {
	i.mu.Lock()
	defer i.mu.Unlock()
	v := InstanceView{Name: i.Name, Agent: i.agent.config.Name, Control: i.ControlAddress, ShouldRun: run, RequestedRestart: wish.LastRestart, CompletedRestart: i.completedRestart,
		State: i.state, Failures: i.failures, Reason: i.reason, OrderResults: map[string]OrderResult{}, Status: i.status, PolledAt: i.polledAt}
	for server, h := range i.orderResults {
		v.OrderResults[server] = h
	}
	return v
}
