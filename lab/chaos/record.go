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
	// rising is how long the agents may take to agree for the first time, on a busy machine.
	rising = 30 * time.Second
	// waiting is how long a run waits for them to settle: longer than any bound that is judged by.
	waiting = 40 * time.Second
	seeing  = 40 * time.Millisecond
	saying  = 40 * time.Millisecond
	// looking is how often an instance is asked what it goes by: often enough to see each order, far below what a surface takes.
	looking = 200 * time.Millisecond
	// impatient is how long a client waits: a command that was passed on to a leader that is cut off says nothing for long.
	impatient = time.Second
	// again is how many commands a client says until it says one again, whose number is known: that is a read of the log.
	again = 8
)

// Recorder notes what agents and instances tell of themselves, and what is said to them, until it is ended.
type Recorder struct {
	m        *Machines
	begin    time.Time
	mu       sync.Mutex
	r        Record
	done     chan struct{}
	watching sync.WaitGroup
}

// Record begins to watch agents and instances.
func (m *Machines) Record(ctx context.Context) *Recorder {
	rec := &Recorder{m: m, begin: time.Now(), r: Record{Agents: len(m.names)}, done: make(chan struct{})}
	each := func(every time.Duration, look func()) {
		rec.watching.Go(func() {
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
		each(seeing, func() {
			if s, err := rec.look(ctx, a); err == nil { // of one that is crashed or stopped nothing is seen
				rec.note(func(r *Record) { r.Seen = append(r.Seen, s) })
			}
		})
		if m.Instances == nil {
			continue
		}
		for _, i := range m.Instances(a) {
			c := control.NewClient(i.ControlAddress)
			each(looking, func() {
				if h, err := rec.held(ctx, c, a, i.Name); err == nil {
					rec.note(func(r *Record) { r.Held = append(r.Held, h) })
				}
			})
		}
	}
	return rec
}

func (rec *Recorder) note(how func(*Record)) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	how(&rec.r)
}

// Say has an agent say a command, and notes what came of it.
func (rec *Recorder) Say(ctx context.Context, a int, c clusterstate.Command, within time.Duration) (uint64, error) {
	s := Said{ID: c.ID, Agent: a, Began: time.Since(rec.begin)}
	err := rec.m.ask(ctx, a, within, func(ctx context.Context, client *agent.Client) (err error) {
		s.Number, err = client.Submit(ctx, c)
		return err
	})
	if err != nil {
		s.Number = 0
	}
	s.At = time.Since(rec.begin)
	rec.note(func(r *Record) { r.Said = append(r.Said, s) })
	return s.Number, err
}

// Suffer plays a fault now, from its begin to its end, and notes it.
func (rec *Recorder) Suffer(ctx context.Context, f Fault) error {
	f.At = time.Since(rec.begin)
	if f.On < 0 {
		f.On = rec.who(f.On)
	}
	rec.note(func(r *Record) { r.Faults = append(r.Faults, f) })
	err := rec.m.suffer(ctx, f)
	rec.note(func(r *Record) { r.Ended = time.Since(rec.begin) })
	return err
}

// who is the agent that is meant by a number below 0, as it was seen last; the first if nobody is.
func (rec *Recorder) who(on int) (a int) {
	rec.note(func(r *Record) {
		for _, s := range r.Seen {
			if on == OfLeader && s.Leads || on == OfHolder && len(s.Holds) > 0 {
				a = s.Agent
			}
		}
	})
	return a
}

// Settle waits until a new command is agreed on, and all agents and instances have it; it notes how long that took since the
// last fault ended. The command undoes an order that never was, on a server.
func (rec *Recorder) Settle(ctx context.Context, server string) {
	m, n, number := rec.m, 0, uint64(0)
	for a := range m.names {
		m.Wake(a) // one fault may have stopped what another started anew
	}
	end := time.Now().Add(waiting)
	var ended time.Duration
	rec.note(func(r *Record) {
		if len(r.Faults) == 0 {
			r.Ended = time.Since(rec.begin)
		}
		ended = r.Ended
	})
	supervise := func() { // as whoever runs agents starts those again that have ended
		for a := range m.names {
			_ = m.Start(a)
		}
	}
	err := until(ctx, waiting, func() (good bool) {
		supervise()
		var err error
		number, err = rec.Say(ctx, n%len(m.names), clusterstate.Command{ID: fmt.Sprint("last", n), Verb: clusterstate.Undrain, Server: server}, impatient)
		n++
		return err == nil
	})
	if err == nil {
		err = until(ctx, time.Until(end), func() bool {
			supervise()
			for a := range m.names {
				if s, err := rec.look(ctx, a); err != nil || s.Applied < number {
					return false
				}
			}
			return true
		})
	}
	if err != nil {
		return
	}
	settled := time.Since(rec.begin) - ended
	err = until(ctx, time.Until(end), func() bool {
		for a := range m.names {
			for _, i := range m.keeps(a) {
				c := control.NewClient(i.ControlAddress)
				h, err := rec.held(ctx, c, a, i.Name)
				c.Close()
				if err != nil || h.Orders[server].Number < number {
					return false
				}
			}
		}
		return true
	})
	rec.note(func(r *Record) {
		r.Settled = settled
		if err == nil && m.Instances != nil {
			r.Told = time.Since(rec.begin) - ended
		}
	})
}

// End ends the watch and returns the record.
func (rec *Recorder) End(ctx context.Context) Record {
	close(rec.done)
	rec.watching.Wait()
	// What was said last is looked for once more: a record that ends before it would accuse the agents.
	_ = until(ctx, 2*time.Second, func() bool { return rec.r.Settled == 0 || rec.lastLook(ctx) })
	rec.m.mu.Lock()
	defer rec.m.mu.Unlock()
	for _, f := range rec.m.fell {
		rec.r.Fell = append(rec.r.Fell, Fell{f.Agent, f.At.Sub(rec.begin)})
	}
	rec.r.Instances = rec.m.Instances != nil
	return rec.r
}

// lastLook notes what each agent tells now; true if all have what was answered last.
func (rec *Recorder) lastLook(ctx context.Context) bool {
	var last uint64
	for _, s := range rec.r.Said {
		last = max(last, s.Number)
	}
	all := true
	for a := range rec.m.names {
		s, err := rec.look(ctx, a)
		if err != nil {
			return false
		}
		rec.r.Seen = append(rec.r.Seen, s)
		all = all && s.Applied >= last
	}
	return all
}

// look asks an agent what it knows.
func (rec *Recorder) look(ctx context.Context, a int) (Seen, error) {
	s := Seen{Agent: a, At: time.Since(rec.begin), Past: map[uint64]string{}}
	err := rec.m.ask(ctx, a, time.Second, func(ctx context.Context, c *agent.Client) error {
		v, err := c.View(ctx)
		s.Leads, s.Term, s.Applied, s.Holds = v.IsLeader, v.Term, v.AppliedIndex, v.HeldDuties
		for _, e := range v.RecentCommands {
			s.Past[e.Number] = e.ID
		}
		return err
	})
	s.Done = time.Since(rec.begin)
	return s, err
}

// held asks an instance itself what it goes by.
func (rec *Recorder) held(ctx context.Context, c *control.Client, a int, name string) (Held, error) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	h := Held{Instance: name, Machine: a, At: time.Since(rec.begin), Orders: map[string]Told{}}
	st, err := c.Status(ctx)
	if err != nil {
		return h, err
	}
	h.Process, h.Term = st.StartedMicros, st.Term
	for _, o := range st.Orders {
		h.Orders[o.ServerUID] = Told{o.Number, o.ID}
	}
	return h, nil
}

// Play has the agents run under the faults while clients have them say commands, and returns what was seen.
func (m *Machines) Play(ctx context.Context, faults []Fault) (Record, error) {
	for a := range m.names {
		if err := m.Start(a); err != nil {
			return Record{}, err
		}
	}
	if err := m.Rise(ctx); err != nil {
		return Record{}, err
	}
	rec := m.Record(ctx)
	var clients sync.WaitGroup
	over := make(chan struct{})
	for a := range m.names { // a client each: one that is held up holds up nobody else
		clients.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-over:
					return
				case <-time.After(saying):
				}
				c := clusterstate.Command{ID: fmt.Sprintf("c%d-%d", a, n), Verb: clusterstate.Drain, Server: fmt.Sprint("s", n%10)}
				if _, err := rec.Say(ctx, a, c, impatient); err != nil || n%again == 0 {
					_, _ = rec.Say(ctx, (a+1)%len(m.names), c, impatient) // what became of it is heard elsewhere, by saying it again
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
				wrong[i] = rec.Suffer(ctx, f)
			case <-ctx.Done():
			}
		})
	}
	playing.Wait()
	rec.Settle(ctx, "s-last")
	close(over)
	clients.Wait()
	return rec.End(ctx), errors.Join(wrong...)
}

// Rise waits until the agents agree for the first time.
func (m *Machines) Rise(ctx context.Context) error {
	first := 0
	err := until(ctx, rising, func() bool {
		first++
		return m.ask(ctx, first%len(m.names), asking, func(ctx context.Context, c *agent.Client) error {
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
