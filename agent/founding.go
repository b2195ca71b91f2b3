package agent

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/raft"
)

// An agent whose folder holds no log is a new one, or one that has lost its disk. The latter has forgotten what it voted for
// and what it said it keeps: with its vote an agent that was cut off could lead again without what most had agreed on. So one
// without a log hears and says nothing as a voter until every other agent has told what it holds:
//   - none holds more than the beginning: they begin together;
//   - any holds more: the leader takes this agent out of the voters, which needs most of the others, and then in again, as one
//     that holds nothing. Until both are agreed on it waits; instances are kept meanwhile with what is known.
//
// One that only hears comes in by the second way, without a vote. Only those that vote at first are asked.
//
// A disk that was set back to what it was before has forgotten as much, and looks like one that was merely away. So one that is
// started with a log hears the leader at once, but asks what the others hold before it votes: until its own log is as new as the
// newest of theirs it votes only for who holds that much, and stands for nothing (voice.go).

// knock is how often the others are asked.
const knock = 100 * time.Millisecond

// gate keeps other agents' logs out until it is opened.
type gate struct {
	net.Listener
	once sync.Once
	open chan struct{}
	shut chan struct{}
}

func (g *gate) opened() bool {
	select {
	case <-g.open:
		return true
	default:
		return false
	}
}

func (g *gate) Accept() (net.Conn, error) {
	select {
	case <-g.open:
		return g.Listener.Accept()
	case <-g.shut:
		return nil, net.ErrClosed
	}
}

func (g *gate) Close() error {
	g.once.Do(func() { close(g.shut) })
	return g.Listener.Close()
}

// holds is what an agent tells of a log.
type holds struct {
	Term  uint64 `json:"term"`  // that it knows
	Entry uint64 `json:"entry"` // the term of its last entry
	Last  uint64 `json:"last"`

	Applied uint64 `json:"applied"` // the last entry that was agreed on and acted on here
}

// begun says that there is no more than the beginning in which all voters are named: nobody has been voted for.
func (h holds) begun() bool { return h.Last <= 1 && h.Term <= 1 }

// older tells whether a log's end is an older one: by the term of its last entry, and its number.
func (h holds) older(other holds) bool {
	return cmp.Or(cmp.Compare(h.Entry, other.Entry), cmp.Compare(h.Last, other.Last)) < 0
}

const (
	// enough is how long an agent waits for all that vote, once most have answered: what this one has forgotten may lie with
	// any of them. Machines start and links flap within seconds.
	enough = 5 * time.Second
	// abstaining bounds how long it holds back after that: what the newest log held may never have been agreed on, and
	// who held it may be gone for good.
	abstaining = 30 * time.Second
)

// proveLog asks what the others hold, and has this agent vote as it should.
func (a *Agent) proveLog(ctx context.Context) {
	a.journal.gate()
	rest := func() bool {
		select {
		case <-time.After(knock):
			return true
		case <-ctx.Done():
			return false
		}
	}
	others := a.config.voters()
	answered := map[string]holds{} // what each told last
	look := func() (newest holds) {
		for _, p := range others {
			if h, err := a.askLog(ctx, p); err == nil {
				answered[p.Name] = h
			}
			h := answered[p.Name]
			newest.Term = max(newest.Term, h.Term)
			if newest.older(h) {
				newest.Entry, newest.Last = h.Entry, h.Last
			}
		}
		return newest
	}
	var newest holds
	began := time.Now()
	for {
		newest = look()
		most := 2*(len(answered)+1) > len(others)+1
		if len(answered) == len(others) || most && time.Since(began) > enough {
			break
		}
		if !rest() {
			return
		}
	}
	if a.journal.holds().older(newest) {
		a.log.Warn("the others hold more; this agent votes only for who holds as much until it does", "last", newest.Last, "last here", a.journal.holds().Last)
		first := newest
		a.journal.voice.hold(&first)
		for began = time.Now(); a.journal.holds().older(newest) && time.Since(began) < abstaining; {
			if !rest() {
				return
			}
			// Guards against waiting for what nobody holds any more: one that told the newest and now tells less has lost its disk, and
			// with it the only loss that is promised to be borne. This agent's own disk is then sound, and merely was away.
			now := look()
			now.Term = newest.Term // it may have voted in any term up to that one
			newest = now
			a.journal.voice.hold(&now)
		}
	}
	a.journal.voice.hold(nil)
}

// askLog asks an agent what its log holds.
func (a *Agent) askLog(ctx context.Context, p Peer) (h holds, err error) {
	c := dialFrom(a.config.From, p.Listen)
	defer c.Close()
	return c.log(ctx)
}

func (c *Client) log(ctx context.Context) (h holds, err error) {
	ctx, cancel := context.WithTimeout(ctx, answering)
	defer cancel()
	err = c.call(ctx, http.MethodGet, "log", nil, &h)
	return h, err
}

// holds tells of this agent's log.
func (j *Journal) holds() holds {
	var h holds
	h.Term, h.Last, h.Applied = j.raft.CurrentTerm(), j.raft.LastIndex(), j.raft.AppliedIndex()
	var l raft.Log
	if j.store.GetLog(h.Last, &l) == nil { // else it is in a snapshot: 0 is never newer
		h.Entry = l.Term
	}
	return h
}

// found brings an agent without a log to one, and has one that has a log prove it. It returns when it takes part.
func (a *Agent) found(ctx context.Context) error {
	if a.journal.had {
		a.proveLog(ctx)
		return nil
	}
	for {
		more, all := a.askAll(ctx)
		switch {
		case more:
			if err := a.comeBack(ctx); err != nil {
				a.log.Warn("the others have a log and this agent has none; it is not taken in yet", "error", err)
				break
			}
			a.log.Warn("this agent had lost its log and was taken in anew")
			return nil
		case all:
			return a.journal.begin()
		}
		select {
		case <-time.After(knock):
		case <-ctx.Done():
			return nil
		}
	}
}

// askAll asks the other agents what they hold: whether any holds more than the beginning, and whether all have answered.
func (a *Agent) askAll(ctx context.Context) (more, all bool) {
	all = !a.config.Hears // one that only hears begins nothing
	for _, p := range a.config.voters() {
		h, err := a.askLog(ctx, p)
		more, all = more || err == nil && !h.begun(), all && err == nil
	}
	return more, all
}

// comeBack has the leader take this agent out, opens the log to the others, and has it taken in again.
func (a *Agent) comeBack(ctx context.Context) error {
	if err := a.ask(ctx, "forget"); err != nil {
		return err
	}
	a.journal.voice.hold(nil) // whatever it had agreed to, most of the others hold by now
	a.journal.gate()
	if a.config.Hears {
		return a.ask(ctx, "demote")
	}
	return a.ask(ctx, "promote")
}

// ask asks any agent for a change of the voters that concerns this one.
func (a *Agent) ask(ctx context.Context, what string) error {
	var faults []error
	for _, p := range a.config.voters() {
		c := dialFrom(a.config.From, p.Listen)
		call, cancel := context.WithTimeout(ctx, 2*committing)
		err := c.call(call, http.MethodPost, "voters", change{Name: a.config.Name, What: what}, nil)
		cancel()
		c.Close()
		if err == nil {
			return nil
		}
		faults = append(faults, fmt.Errorf("%s: %w", p.Name, err))
	}
	return errors.Join(faults...)
}

// change is one of the voters.
type change struct {
	Name string `json:"name"`
	What string `json:"what"` // promote, demote (it hears, without a vote) or forget
}

// voters has the leader change them; another agent passes it on once.
func (a *Agent) voters(ctx context.Context, c change, passed bool) error {
	at, known := a.journal.reached[c.Name]
	if !known {
		return fmt.Errorf("no agent is called %.40q", c.Name)
	}
	id, address := raft.ServerID(c.Name), raft.ServerAddress(at)
	var f raft.IndexFuture
	switch c.What {
	case "forget":
		f = a.journal.raft.RemoveServer(id, 0, committing)
	case "promote":
		f = a.journal.raft.AddVoter(id, address, 0, committing)
	case "demote":
		if slices.Contains(a.journal.voters(), c.Name) {
			f = a.journal.raft.DemoteVoter(id, 0, committing)
		} else {
			f = a.journal.raft.AddNonvoter(id, address, 0, committing)
		}
	default:
		return fmt.Errorf("%.40q is none of promote, demote and forget", c.What)
	}
	err := f.Error()
	if !errors.Is(err, raft.ErrNotLeader) || passed {
		return err
	}
	leader, err := a.leader()
	if err != nil {
		return err
	}
	defer leader.Close()
	return leader.call(ctx, http.MethodPost, "voters?passed=1", c, nil)
}

// voters are those that vote, as this agent has heard; sorted.
func (j *Journal) voters() []string {
	names := []string{}
	f := j.raft.GetConfiguration()
	if f.Error() != nil {
		return names
	}
	for _, s := range f.Configuration().Servers {
		if s.Suffrage == raft.Voter {
			names = append(names, string(s.ID))
		}
	}
	slices.Sort(names)
	return names
}

// begin starts the log with all agents as voters, and opens it to them.
func (j *Journal) begin() error {
	var all raft.Configuration
	for name, at := range j.reached {
		if slices.Contains(j.hear, name) {
			continue // it is taken in when it comes
		}
		all.Servers = append(all.Servers, raft.Server{ID: raft.ServerID(name), Address: raft.ServerAddress(at)})
	}
	slices.SortFunc(all.Servers, func(x, y raft.Server) int {
		if x.ID < y.ID {
			return -1
		}
		return 1
	})
	err := j.raft.BootstrapCluster(all).Error()
	j.voice.hold(nil)
	j.gate()
	return err
}
