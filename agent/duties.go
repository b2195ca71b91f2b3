package agent

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"sync"
	"time"

	"hatchproxy/agent/clusterstate"
	"hatchproxy/agent/supervisor"
	"hatchproxy/lease"
	"hatchproxy/logic"
)

// Conductor is the duty of carrying out rolling restarts.
const Conductor = "conductor"

// duties are an agent's: it gives them while it leads, and holds those that it stands for.
type duties struct {
	agent *Agent

	grantorMu   sync.Mutex
	grantor     *lease.Grantor // nil unless this agent leads and has applied all that was agreed on before
	grantorTerm uint64         // in which it leads

	holderMu sync.Mutex
	holder   lease.Holder

	released chan struct{} // a duty was given back: somebody else may have it at once

	nextCheckMu sync.Mutex
	nextCheck   *leadershipCheck // the one that begins next
	verifyMu    sync.Mutex       // a round at a time
}

const (
	// grantInterval is how often it is looked whether a duty is free.
	grantInterval = 100 * time.Millisecond
	// conductInterval is how often the conductor looks how far the instances are.
	conductInterval = 100 * time.Millisecond
	// leaderTimeout is how long the agent that leads may take to answer: a leader that is cut off never does.
	leaderTimeout = 800 * time.Millisecond
)

// runGrantor has duties agreed on while this agent leads.
func (d *duties) runGrantor(ctx context.Context) {
	for {
		select {
		case <-time.After(grantInterval):
		case <-d.released:
		case <-ctx.Done():
			return
		}
		leads, term := d.agent.journal.IsLeader()
		d.grantorMu.Lock()
		if !leads || term != d.grantorTerm {
			d.grantor = nil
		}
		fresh := leads && d.grantor == nil
		d.grantorMu.Unlock()
		if fresh && !d.startGrantor(term) {
			continue
		}
		held, barred := d.currentGrants()
		d.grantorMu.Lock()
		var due map[string]lease.Grant
		g, term := d.grantor, d.grantorTerm
		if g != nil {
			due = g.DueGrants(d.agent.clock.Now(), held, barred)
		}
		d.grantorMu.Unlock()
		for _, duty := range slices.Sorted(maps.Keys(due)) {
			x := due[duty]
			number, err := d.agent.journal.Submit(clusterstate.Command{ID: fmt.Sprintf("grant-%s-%d", duty, x.Token), Verb: clusterstate.Grant, Duty: duty, Holder: x.Holder, Token: x.Token, Term: term,
				IssuedAt: d.agent.clock.Wall(), Reason: x.Reason})
			d.grantorMu.Lock()
			g.FinishGrant(duty)
			d.grantorMu.Unlock()
			d.agent.log.Info("a duty is given", "duty", duty, "holder", x.Holder, "token", number, "before", held[duty].Holder, "why", x.Reason, "error", err)
		}
	}
}

// startGrantor starts to give in a term: only once all that was agreed on before is applied here. Guards against a promise on a token that has
// been replaced already.
func (d *duties) startGrantor(term uint64) bool {
	if d.agent.journal.raft.Barrier(commitTimeout).Error() != nil {
		return false
	}
	leads, now := d.agent.journal.IsLeader()
	if !leads || now != term {
		return false
	}
	d.grantorMu.Lock()
	defer d.grantorMu.Unlock()
	d.grantor, d.grantorTerm = lease.NewGrantor(), term
	return true
}

func (d *duties) currentGrants() (held map[string]lease.Grant, barred map[string]bool) {
	d.agent.journal.ReadState(func(s *clusterstate.State) { held, barred = s.CopyDuties() })
	return held, barred
}

// leadershipCheck is a question to most agents whether this one still leads.
type leadershipCheck struct {
	done chan struct{}
	err  error
}

// confirmLeadership returns once it is known that this agent led at a time after the call; all that call meanwhile share the next round.
func (d *duties) confirmLeadership() error {
	d.nextCheckMu.Lock()
	r := d.nextCheck
	if r == nil {
		r = &leadershipCheck{done: make(chan struct{})}
		d.nextCheck = r
		go func() {
			d.verifyMu.Lock()
			defer d.verifyMu.Unlock()
			d.nextCheckMu.Lock()
			d.nextCheck = nil
			d.nextCheckMu.Unlock()
			r.err = d.agent.journal.raft.VerifyLeader().Error()
			close(r.done)
		}()
	}
	d.nextCheckMu.Unlock()
	<-r.done
	return r.err
}

var errNotGranting = errors.New("this agent gives no duties yet")

// handleRequest answers a question, if this agent leads.
func (d *duties) handleRequest(q lease.Request) (lease.Tokens, error) {
	if err := d.confirmLeadership(); err != nil {
		return nil, errNotLeader
	}
	leads, term := d.agent.journal.IsLeader()
	held, barred := d.currentGrants()
	d.grantorMu.Lock()
	defer d.grantorMu.Unlock()
	// Guards against an account from before another agent led.
	if !leads || d.grantor == nil || d.grantorTerm != term {
		return nil, errNotGranting
	}
	if len(q.Released) > 0 {
		select {
		case d.released <- struct{}{}:
		default: // it is looked already
		}
	}
	return d.grantor.Renew(d.agent.clock.Now(), q, held, barred), nil
}

// runHolder asks for the duties that this agent stands for, and gives back what is to be handed on.
func (d *duties) runHolder(ctx context.Context) {
	me := d.agent.config.Name
	for ctx.Err() == nil {
		changed := d.agent.journal.Changed()
		sent, q := d.nextRequest(d.agent.config.Duties)
		call, cancel := context.WithTimeout(ctx, leaderTimeout)
		p, err := d.sendRequest(call, q)
		cancel()
		if err == nil {
			d.holderMu.Lock()
			d.holder.Update(sent, p)
			d.holderMu.Unlock()
		}
		for wait := time.After(time.Duration(lease.RenewInterval) * time.Microsecond); ; {
			select {
			case <-changed:
				changed = d.agent.journal.Changed()
				held, _ := d.currentGrants()
				concerns := false
				for duty, h := range held {
					token, holds := d.Holds(duty)
					concerns = concerns || h.Holder == me && (h.TransferTo != "" || token != h.Token) || holds && h.Holder != me
				}
				if !concerns {
					continue
				}
			case <-wait:
			case <-ctx.Done():
			}
			break
		}
	}
	// It leaves: what it holds is given back at once, so that nobody waits for it to run out.
	_, q := d.nextRequest(nil)
	call, cancel := context.WithTimeout(context.WithoutCancel(ctx), leaderTimeout)
	defer cancel()
	_, _ = d.sendRequest(call, q) // it runs out by itself
}

// nextRequest is what is asked now, and when that was, read before anything else. What is to be handed on, or is not wanted, is dropped
// before it is given back.
func (d *duties) nextRequest(wants []string) (logic.Micros, lease.Request) {
	held, barred := d.currentGrants()
	me := d.agent.config.Name
	q := lease.Request{Holder: me, Duties: wants, Released: map[string]uint64{}}
	d.holderMu.Lock()
	defer d.holderMu.Unlock()
	sent := d.agent.clock.Now()
	for duty, h := range held {
		if h.Holder == me && (h.TransferTo != "" || barred[me] || !slices.Contains(wants, duty)) {
			d.holder.Release(sent, duty)
			q.Released[duty] = h.Token
		}
	}
	return sent, q
}

// sendRequest asks the agent that leads.
func (d *duties) sendRequest(ctx context.Context, q lease.Request) (lease.Tokens, error) {
	if leads, _ := d.agent.journal.IsLeader(); leads {
		return d.handleRequest(q)
	}
	leader, err := d.agent.leaderClient()
	if err != nil {
		return nil, err
	}
	defer leader.Close()
	var p lease.Tokens
	return p, leader.call(ctx, http.MethodPost, "duties", q, &p)
}

// Holds tells by which token this agent may act on a duty now.
func (d *duties) Holds(duty string) (uint64, bool) {
	d.holderMu.Lock()
	defer d.holderMu.Unlock()
	return d.holder.Holds(d.agent.clock.Now(), duty)
}

// conductRollingRestarts carries out rolling restarts while this agent holds that duty, step by step as the log has them; it goes on where another
// has stopped. Each step carries the token, and the log refuses it if the duty has been given on, or the step was done already.
func (a *Agent) conductRollingRestarts(ctx context.Context) {
	for {
		select {
		case <-time.After(conductInterval):
		case <-ctx.Done():
			return
		}
		var roll *clusterstate.RollingRestart
		a.journal.ReadState(func(s *clusterstate.State) {
			for _, r := range s.RollingRestarts {
				if roll == nil && r.State == clusterstate.Running {
					roll = &r
				}
			}
		})
		if _, holds := a.duties.Holds(Conductor); !holds || roll == nil {
			continue
		}
		c := clusterstate.Command{ID: fmt.Sprintf("%s-step-%d", roll.ID, roll.StepsStarted), Verb: clusterstate.Step, RollingRestartID: roll.ID, Step: roll.StepsStarted, Duty: Conductor}
		switch ready, why := a.checkRollingRestart(ctx, roll); {
		case why != "":
			c.ID, c.Verb, c.Reason = fmt.Sprintf("%s-pause-%d", roll.ID, roll.StepsStarted), clusterstate.Pause, why
		case !ready:
			continue
		}
		token, holds := a.duties.Holds(Conductor) // looking took a while
		if !holds {
			continue
		}
		c.Token, c.IssuedAt = token, a.clock.Wall()
		number, err := a.propose(ctx, c)
		a.log.Info("a step of a rolling restart", "roll", roll.ID, "step", c.Step, "verb", c.Verb, "why", c.Reason, "token", token, "number", number, "error", err)
	}
}

// checkRollingRestart tells whether all instances of a roll are ready, those of its steps so far anew; or why it cannot go on.
func (a *Agent) checkRollingRestart(ctx context.Context, roll *clusterstate.RollingRestart) (ready bool, why string) {
	found := map[string]InstanceView{}
	for _, i := range a.clusterView(ctx).Instances {
		found[i.Name] = i
	}
	ready = true
	for _, name := range roll.Instances {
		i, known := found[name]
		if known && i.State == supervisor.CrashLooping {
			return false, fmt.Sprintf("%s falls again and again: %s", name, i.Reason)
		}
		ready = ready && known && i.State == supervisor.Ready
	}
	for _, name := range roll.StepInstances(roll.StepsStarted - 1) {
		ready = ready && found[name].CompletedRestart >= roll.LastStepNumber
	}
	return ready, ""
}

// propose has a command agreed on, by this agent or the one that leads.
func (a *Agent) propose(ctx context.Context, c clusterstate.Command) (uint64, error) {
	number, err := a.journal.Submit(c)
	if errors.Is(err, errNotLeader) {
		return a.forwardCommand(ctx, c)
	}
	return number, err
}

// DutyView is what is told of a duty.
type DutyView struct {
	Duty string `json:"duty"`
	lease.Grant
	// Remaining is how long its holder may still act at most, in microseconds, as the agent that leads counts it: -1 if this one does not.
	Remaining logic.Micros `json:"left"`
}

// view is what this agent knows of duties.
func (d *duties) view() (all []DutyView, holds lease.Tokens) {
	held, _ := d.currentGrants()
	holds = lease.Tokens{}
	for _, duty := range d.agent.config.Duties {
		if token, now := d.Holds(duty); now {
			holds[duty] = token
		}
	}
	d.grantorMu.Lock()
	defer d.grantorMu.Unlock()
	for _, duty := range slices.Sorted(maps.Keys(held)) {
		v := DutyView{duty, held[duty], -1}
		if d.grantor != nil {
			v.Remaining = d.grantor.Remaining(d.agent.clock.Now(), v.Token)
		}
		all = append(all, v)
	}
	return all, holds
}
