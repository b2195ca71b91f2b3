package agent

import (
	"errors"
	"math"
	"sync"

	"github.com/hashicorp/raft"
)

// guardedTransport is how a log speaks with the others. While it is held, it votes only for who holds as much as it is told, in a newer
// term, and asks nobody for a vote; what a leader says it hears as ever.
type guardedTransport struct {
	*raft.NetworkTransport
	rpcs chan raft.RPC

	mu              sync.Mutex
	minCandidateLog *logStatus // nil: free
}

// newGuardedTransport makes one that votes for nobody until it is told more.
func newGuardedTransport(t *raft.NetworkTransport) *guardedTransport {
	v := &guardedTransport{NetworkTransport: t, rpcs: make(chan raft.RPC), minCandidateLog: &logStatus{Term: math.MaxUint64}}
	go func() {
		for call := range t.Consumer() { // never closed: it ends with the program
			v.filter(call)
		}
	}()
	return v
}

// restrictVotes says what a candidate must hold; nil lets the log vote as it would.
func (v *guardedTransport) restrictVotes(least *logStatus) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.minCandidateLog = least
}

// mayVoteFor tells whether a candidate may have a vote.
func (v *guardedTransport) mayVoteFor(term, entry, last uint64) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.minCandidateLog == nil || term > v.minCandidateLog.Term && !(logStatus{LastTerm: entry, LastIndex: last}).isOlderThan(*v.minCandidateLog)
}

func (v *guardedTransport) filter(call raft.RPC) {
	switch c := call.Command.(type) {
	case *raft.RequestVoteRequest:
		if !v.mayVoteFor(c.Term, c.LastLogTerm, c.LastLogIndex) {
			call.Respond(&raft.RequestVoteResponse{RPCHeader: c.RPCHeader, Term: c.Term}, nil)
			return
		}
	case *raft.RequestPreVoteRequest:
		if !v.mayVoteFor(c.Term, c.LastLogTerm, c.LastLogIndex) {
			call.Respond(&raft.RequestPreVoteResponse{RPCHeader: c.RPCHeader, Term: c.Term}, nil)
			return
		}
	}
	v.rpcs <- call
}

// Consumer is where the log hears the others.
func (v *guardedTransport) Consumer() <-chan raft.RPC { return v.rpcs }

// errVotesRestricted is why nobody is asked for a vote.
var errVotesRestricted = errors.New("this agent does not stand: it may have forgotten what others hold")

func (v *guardedTransport) isRestricted() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.minCandidateLog != nil
}

// RequestVote asks another for its vote.
func (v *guardedTransport) RequestVote(id raft.ServerID, at raft.ServerAddress, ask *raft.RequestVoteRequest, answer *raft.RequestVoteResponse) error {
	if v.isRestricted() {
		return errVotesRestricted
	}
	return v.NetworkTransport.RequestVote(id, at, ask, answer)
}

// RequestPreVote asks another whether it would.
func (v *guardedTransport) RequestPreVote(id raft.ServerID, at raft.ServerAddress, ask *raft.RequestPreVoteRequest, answer *raft.RequestPreVoteResponse) error {
	if v.isRestricted() {
		return errVotesRestricted
	}
	return v.NetworkTransport.RequestPreVote(id, at, ask, answer)
}
