package agent

import (
	"errors"
	"math"
	"sync"

	"github.com/hashicorp/raft"
)

// guardedTransport carries raft's messages to and from the other agents. While votes are restricted, it denies the vote to every
// candidate whose log is older than a given one or whose term is not newer, and it asks nobody for a vote; messages from a leader pass
// as usual. Votes are restricted on an agent that may have forgotten how it voted, or entries that it had acknowledged (bootstrap.go).
type guardedTransport struct {
	*raft.NetworkTransport
	rpcs chan raft.RPC // those that pass the filter

	mu              sync.Mutex
	minCandidateLog *logStatus // what a candidate's log must have at least; nil if votes are not restricted
}

// newGuardedTransport wraps a transport. It denies every vote until restrictVotes is called.
func newGuardedTransport(transport *raft.NetworkTransport) *guardedTransport {
	g := &guardedTransport{NetworkTransport: transport, rpcs: make(chan raft.RPC), minCandidateLog: &logStatus{Term: math.MaxUint64}}
	go func() {
		for rpc := range transport.Consumer() { // never closed: the goroutine ends with the program
			g.filter(rpc)
		}
	}()
	return g
}

// restrictVotes sets what a candidate's log must have to get a vote; nil lifts the restriction.
func (g *guardedTransport) restrictVotes(minimum *logStatus) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.minCandidateLog = minimum
}

// mayVoteFor reports whether a candidate may get the vote, given its term and the term and index of its last log entry.
func (g *guardedTransport) mayVoteFor(term, lastTerm, lastIndex uint64) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.minCandidateLog == nil || term > g.minCandidateLog.Term && !(logStatus{LastTerm: lastTerm, LastIndex: lastIndex}).isOlderThan(*g.minCandidateLog)
}

// filter denies vote requests that are not allowed and passes all other messages on to raft.
func (g *guardedTransport) filter(rpc raft.RPC) {
	switch request := rpc.Command.(type) {
	case *raft.RequestVoteRequest:
		if !g.mayVoteFor(request.Term, request.LastLogTerm, request.LastLogIndex) {
			rpc.Respond(&raft.RequestVoteResponse{RPCHeader: request.RPCHeader, Term: request.Term}, nil)
			return
		}
	case *raft.RequestPreVoteRequest:
		if !g.mayVoteFor(request.Term, request.LastLogTerm, request.LastLogIndex) {
			rpc.Respond(&raft.RequestPreVoteResponse{RPCHeader: request.RPCHeader, Term: request.Term}, nil)
			return
		}
	}
	g.rpcs <- rpc
}

// Consumer returns the channel from which raft receives messages.
func (g *guardedTransport) Consumer() <-chan raft.RPC { return g.rpcs }

// errVotesRestricted is returned instead of asking for a vote.
var errVotesRestricted = errors.New("this agent is no candidate yet: its log may lack entries that others have")

// isRestricted reports whether votes are restricted.
func (g *guardedTransport) isRestricted() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.minCandidateLog != nil
}

// RequestVote asks another agent for its vote, unless votes are restricted.
func (g *guardedTransport) RequestVote(id raft.ServerID, address raft.ServerAddress, request *raft.RequestVoteRequest, response *raft.RequestVoteResponse) error {
	if g.isRestricted() {
		return errVotesRestricted
	}
	return g.NetworkTransport.RequestVote(id, address, request, response)
}

// RequestPreVote asks another agent whether it would vote for this one, unless votes are restricted.
func (g *guardedTransport) RequestPreVote(id raft.ServerID, address raft.ServerAddress, request *raft.RequestPreVoteRequest, response *raft.RequestPreVoteResponse) error {
	if g.isRestricted() {
		return errVotesRestricted
	}
	return g.NetworkTransport.RequestPreVote(id, address, request, response)
}
