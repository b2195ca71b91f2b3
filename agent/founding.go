package agent

import (
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
// A disk as it was some time before is not told from the right one by this.

// knock is how often the others are asked.
const knock = 100 * time.Millisecond

// gate keeps other agents' logs out until it is opened.
type gate struct {
	net.Listener
	once sync.Once
	open chan struct{}
	shut chan struct{}
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

// holds is what an agent tells of its log.
type holds struct {
	Last uint64 `json:"last"`
	Term uint64 `json:"term"`
}

// begun says that there is no more than the beginning in which all voters are named: nobody has been voted for.
func (h holds) begun() bool { return h.Last <= 1 && h.Term <= 1 }

// found brings an agent without a log to one. It returns when it takes part.
func (a *Agent) found(ctx context.Context) error {
	for !a.journal.had {
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
			if err := a.journal.begin(); err != nil {
				return err
			}
			return nil
		}
		select {
		case <-time.After(knock):
		case <-ctx.Done():
			return nil
		}
	}
	return nil
}

// askAll asks the other agents what they hold: whether any holds more than the beginning, and whether all have answered.
func (a *Agent) askAll(ctx context.Context) (more, all bool) {
	all = true
	for _, p := range a.config.Peer {
		c := dialFrom(a.config.From, p.Listen)
		call, cancel := context.WithTimeout(ctx, answering)
		var h holds
		err := c.call(call, http.MethodGet, "log", nil, &h)
		cancel()
		c.Close()
		more, all = more || err == nil && !h.begun(), all && err == nil
	}
	return more, all
}

// comeBack has the leader take this agent out, opens the log to the others, and has it taken in again.
func (a *Agent) comeBack(ctx context.Context) error {
	if err := a.ask(ctx, "leave"); err != nil {
		return err
	}
	a.journal.gate()
	return a.ask(ctx, "join")
}

// ask asks any agent for a change of the voters that concerns this one.
func (a *Agent) ask(ctx context.Context, what string) error {
	var faults []error
	for _, p := range a.config.Peer {
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
	What string `json:"what"` // leave or join
}

// voters has the leader change them; another agent passes it on once.
func (a *Agent) voters(ctx context.Context, c change, passed bool) error {
	at := slices.IndexFunc(a.config.Peer, func(p Peer) bool { return p.Name == c.Name })
	if at < 0 || c.What != "leave" && c.What != "join" {
		return fmt.Errorf("%q, %q: nobody, or nothing, of that name", c.Name, c.What)
	}
	var f raft.IndexFuture
	if c.What == "leave" {
		f = a.journal.raft.RemoveServer(raft.ServerID(c.Name), 0, committing)
	} else {
		f = a.journal.raft.AddVoter(raft.ServerID(c.Name), raft.ServerAddress(a.config.Peer[at].Log), 0, committing)
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

// begin starts the log with all agents as voters, and opens it to them.
func (j *Journal) begin() error {
	var all raft.Configuration
	for name, at := range j.reached {
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
