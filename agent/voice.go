package agent

import (
	"errors"
	"math"
	"sync"

	"github.com/hashicorp/raft"
)

// voice is how a log speaks with the others. While it is held, it votes only for who holds as much as it is told, in a newer
// term, and asks nobody for a vote; what a leader says it hears as ever.
type voice struct {
	*raft.NetworkTransport
	calls chan raft.RPC

	mu   sync.Mutex
	held *holds // nil: free
}

// newVoice makes one that votes for nobody until it is told more.
func newVoice(t *raft.NetworkTransport) *voice {
	v := &voice{NetworkTransport: t, calls: make(chan raft.RPC), held: &holds{Term: math.MaxUint64}}
	go func() {
		for call := range t.Consumer() { // never closed: it ends with the program
			v.take(call)
		}
	}()
	return v
}

// hold says what a candidate must hold; nil lets the log vote as it would.
func (v *voice) hold(least *holds) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.held = least
}

// may tells whether a candidate may have a vote.
func (v *voice) may(term, entry, last uint64) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.held == nil || term > v.held.Term && !(holds{Entry: entry, Last: last}).older(*v.held)
}

func (v *voice) take(call raft.RPC) {
	switch c := call.Command.(type) {
	case *raft.RequestVoteRequest:
		if !v.may(c.Term, c.LastLogTerm, c.LastLogIndex) {
			call.Respond(&raft.RequestVoteResponse{RPCHeader: c.RPCHeader, Term: c.Term}, nil)
			return
		}
	case *raft.RequestPreVoteRequest:
		if !v.may(c.Term, c.LastLogTerm, c.LastLogIndex) {
			call.Respond(&raft.RequestPreVoteResponse{RPCHeader: c.RPCHeader, Term: c.Term}, nil)
			return
		}
	}
	v.calls <- call
}

// Consumer is where the log hears the others.
func (v *voice) Consumer() <-chan raft.RPC { return v.calls }

// errHeld is why nobody is asked for a vote.
var errHeld = errors.New("this agent does not stand: it may have forgotten what others hold")

func (v *voice) isHeld() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.held != nil
}

// RequestVote asks another for its vote.
func (v *voice) RequestVote(id raft.ServerID, at raft.ServerAddress, ask *raft.RequestVoteRequest, answer *raft.RequestVoteResponse) error {
	if v.isHeld() {
		return errHeld
	}
	return v.NetworkTransport.RequestVote(id, at, ask, answer)
}

// RequestPreVote asks another whether it would.
func (v *voice) RequestPreVote(id raft.ServerID, at raft.ServerAddress, ask *raft.RequestPreVoteRequest, answer *raft.RequestPreVoteResponse) error {
	if v.isHeld() {
		return errHeld
	}
	return v.NetworkTransport.RequestPreVote(id, at, ask, answer)
}
