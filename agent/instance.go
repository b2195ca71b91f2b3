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

	"hatchproxy/agent/keeper"
	"hatchproxy/agent/wanted"
	"hatchproxy/internal/control"
	"hatchproxy/logic"
	"hatchproxy/orders"
)

// Heard is what an instance answered to an order.
type Heard struct {
	Number  uint64         `json:"number"`
	Verdict orders.Verdict `json:"verdict"`
	Why     string         `json:"why,omitempty"`
	At      logic.Micros   `json:"at"` // Unix time at which the instance heard it
}

// instance is one that this agent keeps. A goroutine of its own does all that concerns it; the fields below the gap are
// guarded by the lock.
type instance struct {
	Instance
	agent   *Agent
	control *control.Client
	process *process
	keeper  *keeper.Keeper
	epoch   int64 // when the process that was heard last started

	mu      sync.Mutex
	heard   map[string]Heard // by server
	status  *control.Status
	polled  logic.Micros
	state   keeper.State
	falls   int
	why     string
	restart uint64
}

const (
	// polling is how often an instance is asked how it is; the answer is its heartbeat.
	polling = 500 * logic.Millisecond
	// answering is how long it may take: one that is stopped answers when it goes on, and until then each try waits
	// in its socket and counts the moment it wakes.
	answering = time.Second
	// looking is how often a process is looked after where nothing else happens.
	looking = 50 * time.Millisecond
)

func (a *Agent) newInstance(c Instance) *instance {
	h := fnv.New64a()
	_, _ = h.Write([]byte(a.config.Name + "/" + c.Name))
	return &instance{Instance: c, agent: a, control: control.NewClient(c.Control), keeper: keeper.New(int64(h.Sum64())), heard: map[string]Heard{},
		state: keeper.Stopped}
}

func (i *instance) path(kind string) string {
	return filepath.Join(i.agent.config.Data, i.Name+"."+kind)
}

// run keeps the instance until ctx ends; the process goes on then.
func (i *instance) run(ctx context.Context) {
	if i.process = found(i.path("process")); i.process != nil {
		i.keeper.Adopt(i.agent.clock.Now(), i.process.Restart, false)
		i.agent.log.Info("an instance was found running", "instance", i.Name, "pid", i.process.PID)
	}
	next := logic.Micros(0)
	for ctx.Err() == nil {
		changed := i.agent.journal.Changed()
		i.want()
		i.tend(ctx)
		if i.process != nil {
			if i.agent.clock.Now() >= next {
				next = i.agent.clock.Now() + polling
				i.poll(ctx)
			}
			i.tell(ctx)
		}
		i.mu.Lock()
		i.state, i.falls, i.why = i.keeper.State()
		i.restart = i.keeper.Restarted()
		i.mu.Unlock()
		select {
		case <-changed:
		case <-time.After(looking):
		case <-ctx.Done():
		}
	}
	i.control.Close()
}

// want takes over what is agreed on.
func (i *instance) want() {
	i.agent.journal.View(func(s *wanted.State) {
		w, run := s.Runs(i.Name)
		i.keeper.Want(i.agent.clock.Now(), run && i.agent.settled, w.Restart)
	})
}

// tend looks after the process.
func (i *instance) tend(ctx context.Context) {
	if i.process != nil {
		if over, why := i.process.gone(); over {
			i.process = nil
			i.keeper.Ended(i.agent.clock.Now(), why)
			i.forget()
			if s, falls, _ := i.keeper.State(); s == keeper.Looping {
				i.agent.log.Error("an instance falls again and again", "instance", i.Name, "falls", falls, "why", why)
			}
		}
	}
	do, _ := i.keeper.Next(i.agent.clock.Now())
	switch do {
	case keeper.Start:
		if !i.adopt(ctx) {
			i.start()
		}
	case keeper.Leave:
		i.agent.roll(func(r roll) { r.Leaves(i.agent.clock.Now(), i.Name) })
		i.process.signal(syscall.SIGTERM)
	case keeper.Kill:
		i.agent.log.Warn("an instance is killed: it was not ready, or did not leave, in time", "instance", i.Name)
		i.process.signal(syscall.SIGKILL)
	}
}

// adopt takes over a process that an agent before this one has started and not written down any more, since it was
// killed between the two: it is found by its control surface. Guards against a second process beside it. True also where
// somebody is there and does not answer.
func (i *instance) adopt(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, answering)
	defer cancel()
	st, err := i.control.Status(ctx)
	switch {
	case err == nil && st.PID > 1:
		p := &process{PID: st.PID}
		there, start := procStart(st.PID)
		if !there {
			return false
		}
		p.Start, p.Restart = start, intended(i.path("process"))
		i.process = p
		i.keeper.Adopt(i.agent.clock.Now(), p.Restart, st.Ready)
		i.agent.log.Info("an instance was found by its control surface", "instance", i.Name, "pid", p.PID)
		if err := p.save(i.path("process")); err != nil {
			i.agent.log.Error("it cannot be written down which process an instance is", "instance", i.Name, "error", err)
		}
		return true
	case errors.Is(err, context.DeadlineExceeded):
		i.keeper.Failed(i.agent.clock.Now(), "somebody is at its control address and does not answer")
		return true
	}
	return false
}

// start starts the process, with the orders that stand in a file that it reads before it takes any work.
func (i *instance) start() {
	var held []orders.Order
	i.agent.journal.View(func(s *wanted.State) { held = s.Told(i.agent.journal.Term()) })
	text, err := json.Marshal(held)
	if err == nil {
		err = replace(i.path("orders"), text)
	}
	if err == nil {
		command := append(append([]string{}, i.Command...), "--control", i.Control, "--orders", i.path("orders"))
		i.keeper.Began(i.agent.clock.Now())
		// What it is started for is written down first: whoever finds the process knows it by that.
		err = (&process{Restart: i.keeper.Restarted()}).save(i.path("process"))
		if err == nil {
			i.process, err = launch(command, i.path("log"), i.keeper.Restarted())
		}
		if err == nil {
			err = i.process.save(i.path("process"))
		}
	}
	if err != nil {
		i.agent.log.Error("an instance cannot be started", "instance", i.Name, "error", err)
		if i.process == nil {
			i.keeper.Ended(i.agent.clock.Now(), err.Error())
		}
	}
}

// forget drops what one that has ended had answered.
func (i *instance) forget() {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.heard, i.status, i.epoch = map[string]Heard{}, nil, 0
}

// poll asks how the instance is.
func (i *instance) poll(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, answering)
	defer cancel()
	st, err := i.control.Status(ctx)
	if err != nil {
		return
	}
	if i.process == nil || st.PID != i.process.PID {
		return // another's socket, or one that is about to go
	}
	if st.StartedMicros != i.epoch {
		i.forget()
		i.epoch = st.StartedMicros
	}
	i.mu.Lock()
	i.status, i.polled = &st, i.agent.clock.Wall()
	i.mu.Unlock()
	if st.Ready && !st.Leaving {
		i.keeper.Answers(i.agent.clock.Now())
	}
	if state, _, _ := i.keeper.State(); state == keeper.Leaving || st.Leaving {
		return // its last answers are no return
	}
	i.agent.roll(func(r roll) { r.Heard(i.agent.clock.Now(), i.Name) })
}

// tell gives the instance the orders that it has not answered yet, oldest first.
func (i *instance) tell(ctx context.Context) {
	if i.epoch == 0 {
		return // nobody has answered there yet; it started with what stood
	}
	var held []orders.Order
	i.agent.journal.View(func(s *wanted.State) { held = s.Told(i.agent.journal.Term()) })
	for _, o := range held {
		i.mu.Lock()
		done := i.heard[o.ServerUID].Number >= o.Number
		i.mu.Unlock()
		if done {
			continue
		}
		ctx, cancel := context.WithTimeout(ctx, answering)
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
		i.note(o, ans)
	}
}

func (i *instance) note(o orders.Order, ans orders.Answer) {
	i.mu.Lock()
	defer i.mu.Unlock()
	h := Heard{o.Number, ans.Verdict, ans.Reason, ans.ReceivedAt}
	if ans.Verdict == orders.Repeated {
		h.Verdict = orders.Obeyed // it was heard before: by the file at its start, or by a call whose answer was lost
	}
	i.heard[o.ServerUID] = h
	i.agent.log.Log(context.Background(), slog.LevelInfo, "an order was heard", "instance", i.Name, "order", o.ID, "verdict", h.Verdict, "why", h.Why)
}

// view is what is told of an instance.
func (i *instance) view(wish wanted.Wish, run bool) InstanceView {
	i.mu.Lock()
	defer i.mu.Unlock()
	v := InstanceView{Name: i.Name, Agent: i.agent.config.Name, Control: i.Control, Wanted: run, Restart: wish.Restart, Restarted: i.restart,
		State: i.state, Falls: i.falls, Why: i.why, Heard: map[string]Heard{}, Status: i.status, Polled: i.polled}
	for server, h := range i.heard {
		v.Heard[server] = h
	}
	return v
}
