package agent

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
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
// A disk that was set back to what it was before has forgotten as much. Agents remember of each other the newest log that
// they have heard of; one whose own is older sets it aside and comes back as if it were lost. It asks until most have
// answered, without whom nothing could be agreed on anyway. It cannot be told where those that answer have been started anew
// since, or have not heard of what was written last (they ask twice a second).

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
}

// older tells whether a log must have been set back, if the other was the same agent's before. Terms only rise. So do last
// entries by term and number, but for the moments in which a leader replaces more than it sends at once; then the log
// is fetched anew for nothing.
func (h holds) older(other holds) bool {
	return cmp.Or(cmp.Compare(h.Term, other.Term), cmp.Compare(h.Entry, other.Entry), cmp.Compare(h.Last, other.Last)) < 0
}

// begun says that there is no more than the beginning in which all voters are named: nobody has been voted for.
func (h holds) begun() bool { return h.Last <= 1 && h.Term <= 1 }

// errSetBack says that the log is an older one of this agent's.
var errSetBack = errors.New("the log is older than what other agents have heard of it: its disk was set back")

// proveLog asks the other agents what they have heard of this one's log, and opens it if it is none that was set back.
func (a *Agent) proveLog(ctx context.Context) error {
	own := a.journal.holds()
	for {
		heard := 1
		for _, p := range a.config.voters() {
			h, err := a.askLog(ctx, p, a.config.Name)
			if err != nil {
				continue
			}
			heard++
			if own.older(h) {
				a.log.Warn("an older log", "heard by", p.Name, "term", h.Term, "last", h.Last, "term here", own.Term, "last here", own.Last)
				return errSetBack
			}
		}
		if 2*heard > len(a.config.voters())+1 {
			a.journal.gate()
			return nil
		}
		select {
		case <-time.After(knock):
		case <-ctx.Done():
			return nil
		}
	}
}

// askLog asks an agent for its log's state, or for the newest that it has heard of another's.
func (a *Agent) askLog(ctx context.Context, p Peer, of string) (h holds, err error) {
	c := dialFrom(a.config.From, p.Listen)
	defer c.Close()
	return c.log(ctx, of)
}

func (c *Client) log(ctx context.Context, of string) (h holds, err error) {
	ctx, cancel := context.WithTimeout(ctx, answering)
	defer cancel()
	err = c.call(ctx, http.MethodGet, "log?of="+of, nil, &h)
	return h, err
}

// holds tells of this agent's log.
func (j *Journal) holds() holds {
	var h holds
	h.Term, h.Last = j.raft.CurrentTerm(), j.raft.LastIndex()
	var l raft.Log
	if j.store.GetLog(h.Last, &l) == nil { // else it is in a snapshot: 0 is never newer
		h.Entry = l.Term
	}
	return h
}

// hearLog remembers the newest log that another agent has told of.
func (a *Agent) hearLog(name string, h holds) {
	a.rollMu.Lock()
	defer a.rollMu.Unlock()
	if a.logs[name].older(h) {
		a.logs[name] = h
	}
}

// tellLog answers what is asked of a log.
func (a *Agent) tellLog(of string) holds {
	if of == "" || of == a.config.Name {
		return a.journal.holds()
	}
	a.rollMu.Lock()
	defer a.rollMu.Unlock()
	return a.logs[of]
}

// setAside takes an older log out of the way; nothing of it is lost.
func setAside(folder string) error {
	old := filepath.Join(folder, fmt.Sprintf("set-back-%d", time.Now().UnixMicro()))
	if err := os.Mkdir(old, 0o700); err != nil {
		return err
	}
	err := os.Rename(filepath.Join(folder, "log.db"), filepath.Join(old, "log.db"))
	if more := os.Rename(filepath.Join(folder, "snapshots"), filepath.Join(old, "snapshots")); !os.IsNotExist(more) {
		err = errors.Join(err, more)
	}
	return err
}

// found brings an agent without a log to one, and has one that has a log prove it. It returns when it takes part.
func (a *Agent) found(ctx context.Context) error {
	if a.journal.had {
		return a.proveLog(ctx)
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
		h, err := a.askLog(ctx, p, "")
		more, all = more || err == nil && !h.begun(), all && err == nil
	}
	return more, all
}

// comeBack has the leader take this agent out, opens the log to the others, and has it taken in again.
func (a *Agent) comeBack(ctx context.Context) error {
	if err := a.ask(ctx, "forget"); err != nil {
		return err
	}
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
	j.gate()
	return err
}
