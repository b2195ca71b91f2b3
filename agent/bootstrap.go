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

// An agent without a log in its data directory is either new or has lost its disk. In the second case it has forgotten its votes and
// the entries that it acknowledged: with its vote, an agent that was cut off could become leader without entries that a majority had
// committed. An agent without a log therefore takes no part in Raft until it has asked the other voters for the state of their logs:
//   - if all have answered and none holds more than the bootstrap entry, they bootstrap the cluster together;
//   - if any holds more, the leader removes this agent from the cluster, which takes a majority of the others, and then adds it
//     again as a member without entries. The agent waits until both changes are committed; meanwhile it runs its instances with
//     what it knows.
//
// A non-voter always joins in the second way, without a vote. Only the configured voters are asked.
//
// A disk that was restored to an earlier state has forgotten as much, and looks like one that was only unavailable for a while. An agent
// that starts with a log therefore follows the leader at once, but asks for the state of the others' logs before it votes. Until its
// own log is as new as the newest of theirs, it votes only for candidates whose log is, and doesn't become a candidate (see
// guardedTransport).

// peerPollInterval is how often the other agents are asked for the state of their logs.
const peerPollInterval = 100 * time.Millisecond

// gatedListener is the listener for Raft connections. It accepts none until its gate is opened.
type gatedListener struct {
	net.Listener
	closeOnce   sync.Once
	openSignal  chan struct{} // closed by Journal.admitPeers to open the gate
	closeSignal chan struct{} // closed by Close
}

// isOpen reports whether the gate is open.
func (g *gatedListener) isOpen() bool {
	select {
	case <-g.openSignal:
		return true
	default:
		return false
	}
}

// Accept waits until the gate is open, and then for a connection. It returns net.ErrClosed if the gate is closed before it is opened.
func (g *gatedListener) Accept() (net.Conn, error) {
	select {
	case <-g.openSignal:
		return g.Listener.Accept()
	case <-g.closeSignal:
		return nil, net.ErrClosed
	}
}

// Close closes the listener and ends a waiting Accept.
func (g *gatedListener) Close() error {
	g.closeOnce.Do(func() { close(g.closeSignal) })
	return g.Listener.Close()
}

// logStatus describes how far an agent's log has come.
type logStatus struct {
	Term      uint64 `json:"term"`  // the agent's current term
	LastTerm  uint64 `json:"entry"` // the term of its last entry
	LastIndex uint64 `json:"last"`  // index of the last entry

	AppliedIndex uint64 `json:"applied"` // index of the last committed entry that was applied here
}

// isBootstrapOnly reports whether the log holds at most the bootstrap entry, which names the voters, and no election has been held.
func (s logStatus) isBootstrapOnly() bool { return s.LastIndex <= 1 && s.Term <= 1 }

// isOlderThan compares two logs as Raft does: by the term and then the index of their last entries.
func (s logStatus) isOlderThan(other logStatus) bool {
	return cmp.Or(cmp.Compare(s.LastTerm, other.LastTerm), cmp.Compare(s.LastIndex, other.LastIndex)) < 0
}

const (
	// allVotersTimeout is how long an agent waits for the answers of all voters if it has those of a majority: any of them may be the
	// one that holds what this agent has forgotten. Machines start, and links recover, within seconds.
	allVotersTimeout = 5 * time.Second
	// voteRestrictionTimeout limits how long votes stay restricted after that: the entries that only the newest log held may never
	// have been committed, and the agent that held them may be gone for good.
	voteRestrictionTimeout = 30 * time.Second
)

// restrictVotesUntilCaughtUp asks the other voters for the state of their logs, and lifts the restriction on this agent's votes once
// its own log is as new as theirs, or after voteRestrictionTimeout.
func (a *Agent) restrictVotesUntilCaughtUp(ctx context.Context) {
	a.journal.admitPeers()
	sleep := func() bool {
		select {
		case <-time.After(peerPollInterval):
			return true
		case <-ctx.Done():
			return false
		}
	}
	voters := a.config.votingPeers()
	statuses := map[string]logStatus{} // last answer by agent name
	poll := func() (newest logStatus) {
		for _, peer := range voters {
			if status, err := a.fetchLogStatus(ctx, peer); err == nil {
				statuses[peer.Name] = status
			}
			status := statuses[peer.Name]
			newest.Term = max(newest.Term, status.Term)
			if newest.isOlderThan(status) {
				newest.LastTerm, newest.LastIndex = status.LastTerm, status.LastIndex
			}
		}
		return newest
	}
	var newest logStatus
	startedAt := time.Now()
	for {
		newest = poll()
		hasMajority := 2*(len(statuses)+1) > len(voters)+1
		if len(statuses) == len(voters) || hasMajority && time.Since(startedAt) > allVotersTimeout {
			break
		}
		if !sleep() {
			return
		}
	}
	if a.journal.logStatus().isOlderThan(newest) {
		a.log.Warn("other agents have a newer log; voting only for candidates that have as much until this agent has caught up", "last", newest.LastIndex, "last here", a.journal.logStatus().LastIndex)
		required := newest
		a.journal.transport.restrictVotes(&required)
		for startedAt = time.Now(); a.journal.logStatus().isOlderThan(newest) && time.Since(startedAt) < voteRestrictionTimeout; {
			if !sleep() {
				return
			}
			// Don't wait for entries that nobody holds any more: an agent that reported the newest log and now reports less has lost its
			// disk. Only one lost disk at a time is tolerated, so this agent's own disk then was not restored to an earlier state but only
			// unavailable.
			current := poll()
			current.Term = newest.Term // this agent may have voted in any term up to that one
			newest = current
			a.journal.transport.restrictVotes(&current)
		}
	}
	a.journal.transport.restrictVotes(nil)
}

// fetchLogStatus asks another agent for the state of its log.
func (a *Agent) fetchLogStatus(ctx context.Context, peer Peer) (status logStatus, err error) {
	client := newClientFrom(a.config.SourceAddress, peer.Listen)
	defer client.Close()
	return client.logStatus(ctx)
}

// logStatus asks the agent for the state of its log.
func (c *Client) logStatus(ctx context.Context) (status logStatus, err error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err = c.call(ctx, http.MethodGet, "log", nil, &status)
	return status, err
}

// logStatus returns the state of this agent's log.
func (j *Journal) logStatus() logStatus {
	var status logStatus
	status.Term, status.LastIndex, status.AppliedIndex = j.raft.CurrentTerm(), j.raft.LastIndex(), j.raft.AppliedIndex()
	var last raft.Log
	if j.store.GetLog(status.LastIndex, &last) == nil { // otherwise the entry is in a snapshot, and LastTerm 0 counts as older
		status.LastTerm = last.Term
	}
	return status
}

// joinOrBootstrap lets an agent without a log bootstrap the cluster or join an existing one, and restricts the votes of one with a log
// until it has caught up. It returns when the agent takes full part in the cluster, or nil when ctx ends; errors are those of the bootstrap.
func (a *Agent) joinOrBootstrap(ctx context.Context) error {
	if a.journal.hadState {
		a.restrictVotesUntilCaughtUp(ctx)
		return nil
	}
	for {
		clusterExists, allAnswered := a.pollVoters(ctx)
		switch {
		case clusterExists:
			if err := a.joinExistingCluster(ctx); err != nil {
				a.log.Warn("other agents have a log and this agent has none; joining failed and will be retried", "error", err)
				break
			}
			a.log.Warn("this agent had no log and has joined the existing cluster")
			return nil
		case allAnswered:
			return a.journal.bootstrap()
		}
		select {
		case <-time.After(peerPollInterval):
		case <-ctx.Done():
			return nil
		}
	}
}

// pollVoters asks the other voters for the state of their logs. clusterExists is true if any holds more than the bootstrap entry;
// allAnswered is always false for a non-voter, which must not bootstrap a cluster.
func (a *Agent) pollVoters(ctx context.Context) (clusterExists, allAnswered bool) {
	allAnswered = !a.config.NonVoter
	for _, peer := range a.config.votingPeers() {
		status, err := a.fetchLogStatus(ctx, peer)
		clusterExists, allAnswered = clusterExists || err == nil && !status.isBootstrapOnly(), allAnswered && err == nil
	}
	return clusterExists, allAnswered
}

// joinExistingCluster has the leader remove this agent, which is still a member of the cluster if its log was lost, then admits Raft
// connections and has the leader add the agent, as a voter or non-voter.
func (a *Agent) joinExistingCluster(ctx context.Context) error {
	if err := a.requestVoterChange(ctx, "forget"); err != nil {
		return err
	}
	a.journal.transport.restrictVotes(nil) // by now a majority of the others holds everything that this agent may have acknowledged
	a.journal.admitPeers()
	if a.config.NonVoter {
		return a.requestVoterChange(ctx, "demote")
	}
	return a.requestVoterChange(ctx, "promote")
}

// requestVoterChange asks the other voters, one after the other, for a change of this agent's membership until one has carried it out.
func (a *Agent) requestVoterChange(ctx context.Context, action string) error {
	var failures []error
	for _, peer := range a.config.votingPeers() {
		client := newClientFrom(a.config.SourceAddress, peer.Listen)
		callCtx, cancel := context.WithTimeout(ctx, 2*raftAcceptTimeout)
		err := client.call(callCtx, http.MethodPost, "voters", voterChange{Name: a.config.Name, Action: action}, nil)
		cancel()
		client.Close()
		if err == nil {
			return nil
		}
		failures = append(failures, fmt.Errorf("%s: %w", peer.Name, err))
	}
	return errors.Join(failures...)
}

// voterChange is a request to change the membership of an agent in the cluster.
type voterChange struct {
	Name   string `json:"name"` // of the agent to change
	Action string `json:"what"` // "promote" (add as a voter), "demote" (make or add as a non-voter) or "forget" (remove)
}

// changeVoters carries out a change if this agent leads, and returns once it is committed. Otherwise it forwards it to the leader, unless
// it was forwarded already.
func (a *Agent) changeVoters(ctx context.Context, change voterChange, forwarded bool) error {
	peerAddress, known := a.journal.logAddresses[change.Name]
	if !known {
		return fmt.Errorf("no agent is called %.40q", change.Name)
	}
	id, address := raft.ServerID(change.Name), raft.ServerAddress(peerAddress)
	var future raft.IndexFuture
	switch change.Action {
	case "forget":
		future = a.journal.raft.RemoveServer(id, 0, raftAcceptTimeout)
	case "promote":
		future = a.journal.raft.AddVoter(id, address, 0, raftAcceptTimeout)
	case "demote":
		if slices.Contains(a.journal.voters(), change.Name) {
			future = a.journal.raft.DemoteVoter(id, 0, raftAcceptTimeout)
		} else {
			future = a.journal.raft.AddNonvoter(id, address, 0, raftAcceptTimeout)
		}
	default:
		return fmt.Errorf("%.40q is none of promote, demote and forget", change.Action)
	}
	err := future.Error()
	if !errors.Is(err, raft.ErrNotLeader) || forwarded {
		return err
	}
	leader, err := a.leaderClient()
	if err != nil {
		return err
	}
	defer leader.Close()
	return leader.call(ctx, http.MethodPost, "voters?passed=1", change, nil)
}

// voters returns the sorted names of the voters, as far as this agent knows.
func (j *Journal) voters() []string {
	names := []string{}
	future := j.raft.GetConfiguration()
	if future.Error() != nil {
		return names
	}
	for _, server := range future.Configuration().Servers {
		if server.Suffrage == raft.Voter {
			names = append(names, string(server.ID))
		}
	}
	slices.Sort(names)
	return names
}

// bootstrap starts the log with all agents but the non-voters as voters, lifts the restriction on votes, and admits Raft connections.
func (j *Journal) bootstrap() error {
	var cluster raft.Configuration
	for name, address := range j.logAddresses {
		if slices.Contains(j.nonvoters, name) {
			continue // it is added when it asks to join
		}
		cluster.Servers = append(cluster.Servers, raft.Server{ID: raft.ServerID(name), Address: raft.ServerAddress(address)})
	}
	slices.SortFunc(cluster.Servers, func(x, y raft.Server) int {
		if x.ID < y.ID {
			return -1
		}
		return 1
	})
	err := j.raft.BootstrapCluster(cluster).Error()
	j.transport.restrictVotes(nil)
	j.admitPeers()
	return err
}
