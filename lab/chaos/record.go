package chaos

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"hatchproxy/agent"
	"hatchproxy/agent/clusterstate"
	"hatchproxy/internal/control"
)

const (
	// firstAgreementTimeout is how long the agents may take to agree for the first time, on a busy machine.
	firstAgreementTimeout = 30 * time.Second
	// settleTimeout is how long a run waits for them to settle: longer than any bound that is judged by.
	settleTimeout     = 40 * time.Second
	agentPollInterval = 40 * time.Millisecond
	commandInterval   = 40 * time.Millisecond
	// instancePollInterval is how often an instance is asked what it goes by: often enough to see each order, far below what a surface takes.
	instancePollInterval = 200 * time.Millisecond
	// commandTimeout is how long a client waits: a command that was passed on to a leader that is cut off says nothing for long.
	commandTimeout = time.Second
	// repeatInterval is how many commands a client says until it says one again, whose number is known: that is a read of the log.
	repeatInterval = 8
)

// Recorder notes what agents and instances tell of themselves, and what is said to them, until it is ended.
type Recorder struct {
	cluster   *Cluster
	startedAt time.Time
	mu        sync.Mutex
	record    Record
	done      chan struct{}
	watchers  sync.WaitGroup
}

// StartRecording begins to watch agents and instances.
func (m *Cluster) StartRecording(ctx context.Context) *Recorder {
	rec := &Recorder{cluster: m, startedAt: time.Now(), record: Record{AgentCount: len(m.names)}, done: make(chan struct{})}
	each := func(every time.Duration, look func()) {
		rec.watchers.Go(func() {
			for {
				select {
				case <-rec.done:
					return
				case <-time.After(every):
					look()
				}
			}
		})
	}
	for a := range m.names {
		each(agentPollInterval, func() {
			if s, err := rec.pollAgent(ctx, a); err == nil { // of one that is crashed or stopped nothing is seen
				rec.update(func(r *Record) { r.AgentReports = append(r.AgentReports, s) })
			}
		})
		if m.InstanceConfigs == nil {
			continue
		}
		for _, i := range m.InstanceConfigs(a) {
			c := control.NewClient(i.ControlAddress)
			each(instancePollInterval, func() {
				if h, err := rec.pollInstance(ctx, c, a, i.Name); err == nil {
					rec.update(func(r *Record) { r.InstanceReports = append(r.InstanceReports, h) })
				}
			})
		}
	}
	return rec
}

func (rec *Recorder) update(how func(*Record)) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	how(&rec.record)
}

// Submit has an agent say a command, and notes what came of it.
func (rec *Recorder) Submit(ctx context.Context, a int, c clusterstate.Command, within time.Duration) (uint64, error) {
	s := Submission{ID: c.ID, Agent: a, SubmittedAt: time.Since(rec.startedAt)}
	err := rec.cluster.callAgent(ctx, a, within, func(ctx context.Context, client *agent.Client) (err error) {
		s.Number, err = client.Submit(ctx, c)
		return err
	})
	if err != nil {
		s.Number = 0
	}
	s.EndedAt = time.Since(rec.startedAt)
	rec.update(func(r *Record) { r.Submissions = append(r.Submissions, s) })
	return s.Number, err
}

// InjectFault plays a fault now, from its begin to its end, and notes it.
func (rec *Recorder) InjectFault(ctx context.Context, f Fault) error {
	f.At = time.Since(rec.startedAt)
	if f.Target < 0 {
		f.Target = rec.resolveTarget(f.Target)
	}
	rec.update(func(r *Record) { r.Faults = append(r.Faults, f) })
	err := rec.cluster.injectFault(ctx, f)
	rec.update(func(r *Record) { r.LastFaultEnd = time.Since(rec.startedAt) })
	return err
}

// resolveTarget is the agent that is meant by a number below 0, as it was seen last; the first if nobody is.
func (rec *Recorder) resolveTarget(on int) (a int) {
	rec.update(func(r *Record) {
		for _, s := range r.AgentReports {
			if on == TargetLeader && s.IsLeader || on == TargetHolder && len(s.HeldDuties) > 0 {
				a = s.Agent
			}
		}
	})
	return a
}

// AwaitSettled waits until a new command is agreed on, and all agents and instances have it; it notes how long that took since the
// last fault ended. The command undoes an order that never was, on a server.
func (rec *Recorder) AwaitSettled(ctx context.Context, server string) {
	m, n, number := rec.cluster, 0, uint64(0)
	for a := range m.names {
		m.ResumeMachine(a) // one fault may have stopped what another started anew
	}
	end := time.Now().Add(settleTimeout)
	var ended time.Duration
	rec.update(func(r *Record) {
		if len(r.Faults) == 0 {
			r.LastFaultEnd = time.Since(rec.startedAt)
		}
		ended = r.LastFaultEnd
	})
	supervise := func() { // as whoever runs agents starts those again that have ended
		for a := range m.names {
			_ = m.StartAgent(a)
		}
	}
	err := waitUntil(ctx, settleTimeout, func() (good bool) {
		supervise()
		var err error
		number, err = rec.Submit(ctx, n%len(m.names), clusterstate.Command{ID: fmt.Sprint("last", n), Verb: clusterstate.Undrain, Server: server}, commandTimeout)
		n++
		return err == nil
	})
	if err == nil {
		err = waitUntil(ctx, time.Until(end), func() bool {
			supervise()
			for a := range m.names {
				if s, err := rec.pollAgent(ctx, a); err != nil || s.AppliedIndex < number {
					return false
				}
			}
			return true
		})
	}
	if err != nil {
		return
	}
	settled := time.Since(rec.startedAt) - ended
	err = waitUntil(ctx, time.Until(end), func() bool {
		for a := range m.names {
			for _, i := range m.instanceConfigs(a) {
				c := control.NewClient(i.ControlAddress)
				h, err := rec.pollInstance(ctx, c, a, i.Name)
				c.Close()
				if err != nil || h.Orders[server].Number < number {
					return false
				}
			}
		}
		return true
	})
	rec.update(func(r *Record) {
		r.AgentSettleTime = settled
		if err == nil && m.InstanceConfigs != nil {
			r.InstanceSettleTime = time.Since(rec.startedAt) - ended
		}
	})
}

// Finish ends the watch and returns the record.
func (rec *Recorder) Finish(ctx context.Context) Record {
	close(rec.done)
	rec.watchers.Wait()
	// What was said last is looked for once more: a record that ends before it would accuse the agents.
	_ = waitUntil(ctx, 2*time.Second, func() bool { return rec.record.AgentSettleTime == 0 || rec.pollAllAgents(ctx) })
	rec.cluster.mu.Lock()
	defer rec.cluster.mu.Unlock()
	for _, f := range rec.cluster.unexpectedExits {
		rec.record.UnexpectedExits = append(rec.record.UnexpectedExits, RecordedExit{f.Agent, f.At.Sub(rec.startedAt)})
	}
	rec.record.HasInstances = rec.cluster.InstanceConfigs != nil
	return rec.record
}

// pollAllAgents notes what each agent tells now; true if all have what was answered last.
func (rec *Recorder) pollAllAgents(ctx context.Context) bool {
	var last uint64
	for _, s := range rec.record.Submissions {
		last = max(last, s.Number)
	}
	all := true
	for a := range rec.cluster.names {
		s, err := rec.pollAgent(ctx, a)
		if err != nil {
			return false
		}
		rec.record.AgentReports = append(rec.record.AgentReports, s)
		all = all && s.AppliedIndex >= last
	}
	return all
}

// pollAgent asks an agent what it knows.
func (rec *Recorder) pollAgent(ctx context.Context, a int) (AgentReport, error) {
	s := AgentReport{Agent: a, AskedAt: time.Since(rec.startedAt), RecentCommands: map[uint64]string{}}
	err := rec.cluster.callAgent(ctx, a, time.Second, func(ctx context.Context, c *agent.Client) error {
		v, err := c.View(ctx)
		s.IsLeader, s.Term, s.AppliedIndex, s.HeldDuties = v.IsLeader, v.Term, v.AppliedIndex, v.HeldDuties
		for _, e := range v.RecentCommands {
			s.RecentCommands[e.Number] = e.ID
		}
		return err
	})
	s.AnsweredAt = time.Since(rec.startedAt)
	return s, err
}

// pollInstance asks an instance itself what it goes by.
func (rec *Recorder) pollInstance(ctx context.Context, c *control.Client, a int, name string) (InstanceReport, error) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	h := InstanceReport{Instance: name, Machine: a, AskedAt: time.Since(rec.startedAt), Orders: map[string]AppliedOrder{}}
	st, err := c.Status(ctx)
	if err != nil {
		return h, err
	}
	h.ProcessStartMicros, h.Term = st.StartedMicros, st.Term
	for _, o := range st.Orders {
		h.Orders[o.ServerUID] = AppliedOrder{o.Number, o.ID}
	}
	return h, nil
}

// RunSchedule has the agents run under the faults while clients have them say commands, and returns what was seen.
func (m *Cluster) RunSchedule(ctx context.Context, faults []Fault) (Record, error) {
	for a := range m.names {
		if err := m.StartAgent(a); err != nil {
			return Record{}, err
		}
	}
	if err := m.AwaitFirstAgreement(ctx); err != nil {
		return Record{}, err
	}
	rec := m.StartRecording(ctx)
	var clients sync.WaitGroup
	over := make(chan struct{})
	for a := range m.names { // a client each: one that is held up holds up nobody else
		clients.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-over:
					return
				case <-time.After(commandInterval):
				}
				c := clusterstate.Command{ID: fmt.Sprintf("c%d-%d", a, n), Verb: clusterstate.Drain, Server: fmt.Sprint("s", n%10)}
				if _, err := rec.Submit(ctx, a, c, commandTimeout); err != nil || n%repeatInterval == 0 {
					_, _ = rec.Submit(ctx, (a+1)%len(m.names), c, commandTimeout) // what became of it is heard elsewhere, by saying it again
				}
			}
		})
	}
	wrong := make([]error, len(faults))
	var playing sync.WaitGroup
	for i, f := range faults {
		playing.Go(func() {
			select {
			case <-time.After(f.At):
				wrong[i] = rec.InjectFault(ctx, f)
			case <-ctx.Done():
			}
		})
	}
	playing.Wait()
	rec.AwaitSettled(ctx, "s-last")
	close(over)
	clients.Wait()
	return rec.Finish(ctx), errors.Join(wrong...)
}

// AwaitFirstAgreement waits until the agents agree for the first time.
func (m *Cluster) AwaitFirstAgreement(ctx context.Context) error {
	first := 0
	err := waitUntil(ctx, firstAgreementTimeout, func() bool {
		first++
		return m.callAgent(ctx, first%len(m.names), callTimeout, func(ctx context.Context, c *agent.Client) error {
			_, err := c.Submit(ctx, clusterstate.Command{ID: "first", Verb: clusterstate.Undrain, Server: "s-first"})
			return err
		}) == nil
	})
	if err != nil {
		return fmt.Errorf("the agents never agreed on a first command: %w", err)
	}
	return nil
}

// Shorten drops faults while what is left still breaks, and returns the shorter schedule. broken plays one.
func Shorten(faults []Fault, broken func([]Fault) bool) []Fault {
	for i := 0; i < len(faults); {
		fewer := append(append([]Fault{}, faults[:i]...), faults[i+1:]...)
		if len(fewer) > 0 && broken(fewer) {
			faults = fewer
		} else {
			i++
		}
	}
	return faults
}
