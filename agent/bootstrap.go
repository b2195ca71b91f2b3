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

// peerPollInterval is how often the others are asked.
const peerPollInterval = 100 * time.Millisecond

// gate keeps other agents' logs out until it is opened.
type gate struct {
	net.Listener
	closeOnce   sync.Once
	openSignal  chan struct{}
	closeSignal chan struct{}
}

func (g *gate) isOpen() bool {
	select {
	case <-g.openSignal:
		return true
	default:
		return false
	}
}

func (g *gate) Accept() (net.Conn, error) {
	select {
	case <-g.openSignal:
		return g.Listener.Accept()
	case <-g.closeSignal:
		return nil, net.ErrClosed
	}
}

func (g *gate) Close() error {
	g.closeOnce.Do(func() { close(g.closeSignal) })
	return g.Listener.Close()
}

// logStatus is what an agent tells of a log.
type logStatus struct {
	Term      uint64 `json:"term"`  // that it knows
	LastTerm  uint64 `json:"entry"` // the term of its last entry
	LastIndex uint64 `json:"last"`

	AppliedIndex uint64 `json:"applied"` // the last entry that was agreed on and acted on here
}

// isBootstrapOnly says that there is no more than the beginning in which all voters are named: nobody has been voted for.
func (h logStatus) isBootstrapOnly() bool { return h.LastIndex <= 1 && h.Term <= 1 }

// isOlderThan tells whether a log's end is an older one: by the term of its last entry, and its number.
func (h logStatus) isOlderThan(other logStatus) bool {
	return cmp.Or(cmp.Compare(h.LastTerm, other.LastTerm), cmp.Compare(h.LastIndex, other.LastIndex)) < 0
}

const (
	// allVotersTimeout is how long an agent waits for all that vote, once most have answered: what this one has forgotten may lie with
	// any of them. Machines start and links flap within seconds.
	allVotersTimeout = 5 * time.Second
	// voteRestrictionTimeout bounds how long it holds back after that: what the newest log held may never have been agreed on, and
	// who held it may be gone for good.
	voteRestrictionTimeout = 30 * time.Second
)

// restrictVotesUntilCaughtUp asks what the others hold, and has this agent vote as it should.
func (a *Agent) restrictVotesUntilCaughtUp(ctx context.Context) {
	a.journal.admitPeers()
	rest := func() bool {
		select {
		case <-time.After(peerPollInterval):
			return true
		case <-ctx.Done():
			return false
		}
	}
	others := a.config.votingPeers()
	answered := map[string]logStatus{} // what each told last
	look := func() (newest logStatus) {
		for _, p := range others {
			if h, err := a.fetchLogStatus(ctx, p); err == nil {
				answered[p.Name] = h
			}
			h := answered[p.Name]
			newest.Term = max(newest.Term, h.Term)
			if newest.isOlderThan(h) {
				newest.LastTerm, newest.LastIndex = h.LastTerm, h.LastIndex
			}
		}
		return newest
	}
	var newest logStatus
	began := time.Now()
	for {
		newest = look()
		most := 2*(len(answered)+1) > len(others)+1
		if len(answered) == len(others) || most && time.Since(began) > allVotersTimeout {
			break
		}
		if !rest() {
			return
		}
	}
	if a.journal.logStatus().isOlderThan(newest) {
		a.log.Warn("the others hold more; this agent votes only for who holds as much until it does", "last", newest.LastIndex, "last here", a.journal.logStatus().LastIndex)
		first := newest
		a.journal.transport.restrictVotes(&first)
		for began = time.Now(); a.journal.logStatus().isOlderThan(newest) && time.Since(began) < voteRestrictionTimeout; {
			if !rest() {
				return
			}
			// Guards against waiting for what nobody holds any more: one that told the newest and now tells less has lost its disk, and
			// with it the only loss that is promised to be borne. This agent's own disk is then sound, and merely was away.
			now := look()
			now.Term = newest.Term // it may have voted in any term up to that one
			newest = now
			a.journal.transport.restrictVotes(&now)
		}
	}
	a.journal.transport.restrictVotes(nil)
}

// fetchLogStatus asks an agent what its log holds.
func (a *Agent) fetchLogStatus(ctx context.Context, p Peer) (h logStatus, err error) {
	c := newClientFrom(a.config.SourceAddress, p.Listen)
	defer c.Close()
	return c.logStatus(ctx)
}

func (c *Client) logStatus(ctx context.Context) (h logStatus, err error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err = c.call(ctx, http.MethodGet, "log", nil, &h)
	return h, err
}

// logStatus tells of this agent's log.
func (j *Journal) logStatus() logStatus {
	var h logStatus
	h.Term, h.LastIndex, h.AppliedIndex = j.raft.CurrentTerm(), j.raft.LastIndex(), j.raft.AppliedIndex()
	var l raft.Log
	if j.store.GetLog(h.LastIndex, &l) == nil { // else it is in a snapshot: 0 is never newer
		h.LastTerm = l.Term
	}
	return h
}

// joinOrBootstrap brings an agent without a log to one, and has one that has a log prove it. It returns when it takes part.
func (a *Agent) joinOrBootstrap(ctx context.Context) error {
	if a.journal.hadState {
		a.restrictVotesUntilCaughtUp(ctx)
		return nil
	}
	for {
		more, all := a.pollVoters(ctx)
		switch {
		case more:
			if err := a.rejoinCluster(ctx); err != nil {
				a.log.Warn("the others have a log and this agent has none; it is not taken in yet", "error", err)
				break
			}
			a.log.Warn("this agent had lost its log and was taken in anew")
			return nil
		case all:
			return a.journal.bootstrap()
		}
		select {
		case <-time.After(peerPollInterval):
		case <-ctx.Done():
			return nil
		}
	}
}

// pollVoters asks the other agents what they hold: whether any holds more than the beginning, and whether all have answered.
func (a *Agent) pollVoters(ctx context.Context) (more, all bool) {
	all = !a.config.NonVoter // one that only hears begins nothing
	for _, p := range a.config.votingPeers() {
		h, err := a.fetchLogStatus(ctx, p)
		more, all = more || err == nil && !h.isBootstrapOnly(), all && err == nil
	}
	return more, all
}

// rejoinCluster has the leader take this agent out, opens the log to the others, and has it taken in again.
func (a *Agent) rejoinCluster(ctx context.Context) error {
	if err := a.requestVoterChange(ctx, "forget"); err != nil {
		return err
	}
	a.journal.transport.restrictVotes(nil) // whatever it had agreed to, most of the others hold by now
	a.journal.admitPeers()
	if a.config.NonVoter {
		return a.requestVoterChange(ctx, "demote")
	}
	return a.requestVoterChange(ctx, "promote")
}

// requestVoterChange asks any agent for a change of the voters that concerns this one.
func (a *Agent) requestVoterChange(ctx context.Context, what string) error {
	var faults []error
	for _, p := range a.config.votingPeers() {
		c := newClientFrom(a.config.SourceAddress, p.Listen)
		call, cancel := context.WithTimeout(ctx, 2*commitTimeout)
		err := c.call(call, http.MethodPost, "voters", voterChange{Name: a.config.Name, Action: what}, nil)
		cancel()
		c.Close()
		if err == nil {
			return nil
		}
		faults = append(faults, fmt.Errorf("%s: %w", p.Name, err))
	}
	return errors.Join(faults...)
}

// voterChange is one of the voters.
type voterChange struct {
	Name   string `json:"name"`
	Action string `json:"what"` // promote, demote (it hears, without a vote) or forget
}

// changeVoters has the leader change them; another agent passes it on once.
func (a *Agent) changeVoters(ctx context.Context, c voterChange, passed bool) error {
	at, known := a.journal.logAddresses[c.Name]
	if !known {
		return fmt.Errorf("no agent is called %.40q", c.Name)
	}
	id, address := raft.ServerID(c.Name), raft.ServerAddress(at)
	var f raft.IndexFuture
	switch c.Action {
	case "forget":
		f = a.journal.raft.RemoveServer(id, 0, commitTimeout)
	case "promote":
		f = a.journal.raft.AddVoter(id, address, 0, commitTimeout)
	case "demote":
		if slices.Contains(a.journal.voters(), c.Name) {
			f = a.journal.raft.DemoteVoter(id, 0, commitTimeout)
		} else {
			f = a.journal.raft.AddNonvoter(id, address, 0, commitTimeout)
		}
	default:
		return fmt.Errorf("%.40q is none of promote, demote and forget", c.Action)
	}
	err := f.Error()
	if !errors.Is(err, raft.ErrNotLeader) || passed {
		return err
	}
	leader, err := a.leaderClient()
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

// bootstrap starts the log with all agents as voters, and opens it to them.
func (j *Journal) bootstrap() error {
	var all raft.Configuration
	for name, at := range j.logAddresses {
		if slices.Contains(j.nonvoters, name) {
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
	j.transport.restrictVotes(nil)
	j.admitPeers()
	return err
}
