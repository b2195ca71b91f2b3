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

	"hatchproxy/agent/keeper"
	"hatchproxy/agent/wanted"
	"hatchproxy/lease"
	"hatchproxy/logic"
)

// Conductor is the duty of carrying out rolling restarts.
const Conductor = "conductor"

// duties are an agent's: it gives them while it leads, and holds those that it stands for.
type duties struct {
	a *Agent

	giveMu sync.Mutex
	giver  *lease.Grantor // nil unless this agent leads and has applied all that was agreed on before
	term   uint64         // in which it leads

	holdMu sync.Mutex
	holder lease.Holder

	freed chan struct{} // a duty was given back: somebody else may have it at once

	roundMu sync.Mutex
	round   *round     // the one that begins next
	one     sync.Mutex // a round at a time
}

const (
	// giving is how often it is looked whether a duty is free.
	giving = 100 * time.Millisecond
	// conducting is how often the conductor looks how far the instances are.
	conducting = 100 * time.Millisecond
	// answered is how long the agent that leads may take to answer: a leader that is cut off never does.
	answered = 800 * time.Millisecond
)

// give has duties agreed on while this agent leads.
func (d *duties) give(ctx context.Context) {
	for {
		select {
		case <-time.After(giving):
		case <-d.freed:
		case <-ctx.Done():
			return
		}
		leads, term := d.a.journal.Leads()
		d.giveMu.Lock()
		if !leads || term != d.term {
			d.giver = nil
		}
		fresh := leads && d.giver == nil
		d.giveMu.Unlock()
		if fresh && !d.begin(term) {
			continue
		}
		held, barred := d.held()
		d.giveMu.Lock()
		var due map[string]lease.Grant
		g, term := d.giver, d.term
		if g != nil {
			due = g.DueGrants(d.a.clock.Now(), held, barred)
		}
		d.giveMu.Unlock()
		for _, duty := range slices.Sorted(maps.Keys(due)) {
			x := due[duty]
			number, err := d.a.journal.Say(wanted.Command{ID: fmt.Sprintf("grant-%s-%d", duty, x.Token), Verb: wanted.Grant, Duty: duty, Holder: x.Holder, Token: x.Token, Term: term,
				Said: d.a.clock.Wall(), Why: x.Reason})
			d.giveMu.Lock()
			g.FinishGrant(duty)
			d.giveMu.Unlock()
			d.a.log.Info("a duty is given", "duty", duty, "holder", x.Holder, "token", number, "before", held[duty].Holder, "why", x.Reason, "error", err)
		}
	}
}

// begin starts to give in a term: only once all that was agreed on before is applied here. Guards against a promise on a token that has
// been replaced already.
func (d *duties) begin(term uint64) bool {
	if d.a.journal.raft.Barrier(committing).Error() != nil {
		return false
	}
	leads, now := d.a.journal.Leads()
	if !leads || now != term {
		return false
	}
	d.giveMu.Lock()
	defer d.giveMu.Unlock()
	d.giver, d.term = lease.NewGrantor(), term
	return true
}

func (d *duties) held() (held map[string]lease.Grant, barred map[string]bool) {
	d.a.journal.View(func(s *wanted.State) { held, barred = s.Newest() })
	return held, barred
}

// round is a question to most agents whether this one still leads.
type round struct {
	done chan struct{}
	err  error
}

// leadsNow returns once it is known that this agent led at a time after the call; all that call meanwhile share the next round.
func (d *duties) leadsNow() error {
	d.roundMu.Lock()
	r := d.round
	if r == nil {
		r = &round{done: make(chan struct{})}
		d.round = r
		go func() {
			d.one.Lock()
			defer d.one.Unlock()
			d.roundMu.Lock()
			d.round = nil
			d.roundMu.Unlock()
			r.err = d.a.journal.raft.VerifyLeader().Error()
			close(r.done)
		}()
	}
	d.roundMu.Unlock()
	<-r.done
	return r.err
}

var errNotGiving = errors.New("this agent gives no duties yet")

// answer answers a question, if this agent leads.
func (d *duties) answer(q lease.Request) (lease.Tokens, error) {
	if err := d.leadsNow(); err != nil {
		return nil, errNotLeading
	}
	leads, term := d.a.journal.Leads()
	held, barred := d.held()
	d.giveMu.Lock()
	defer d.giveMu.Unlock()
	// Guards against an account from before another agent led.
	if !leads || d.giver == nil || d.term != term {
		return nil, errNotGiving
	}
	if len(q.Released) > 0 {
		select {
		case d.freed <- struct{}{}:
		default: // it is looked already
		}
	}
	return d.giver.Renew(d.a.clock.Now(), q, held, barred), nil
}

// stand asks for the duties that this agent stands for, and gives back what is to be handed on.
func (d *duties) stand(ctx context.Context) {
	me := d.a.config.Name
	for ctx.Err() == nil {
		changed := d.a.journal.Changed()
		sent, q := d.question(d.a.config.Duties)
		call, cancel := context.WithTimeout(ctx, answered)
		p, err := d.ask(call, q)
		cancel()
		if err == nil {
			d.holdMu.Lock()
			d.holder.Update(sent, p)
			d.holdMu.Unlock()
		}
		for wait := time.After(time.Duration(lease.RenewInterval) * time.Microsecond); ; {
			select {
			case <-changed:
				changed = d.a.journal.Changed()
				held, _ := d.held()
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
	_, q := d.question(nil)
	call, cancel := context.WithTimeout(context.WithoutCancel(ctx), answered)
	defer cancel()
	_, _ = d.ask(call, q) // it runs out by itself
}

// question is what is asked now, and when that was, read before anything else. What is to be handed on, or is not wanted, is dropped
// before it is given back.
func (d *duties) question(wants []string) (logic.Micros, lease.Request) {
	held, barred := d.held()
	me := d.a.config.Name
	q := lease.Request{Holder: me, Duties: wants, Released: map[string]uint64{}}
	d.holdMu.Lock()
	defer d.holdMu.Unlock()
	sent := d.a.clock.Now()
	for duty, h := range held {
		if h.Holder == me && (h.TransferTo != "" || barred[me] || !slices.Contains(wants, duty)) {
			d.holder.Release(sent, duty)
			q.Released[duty] = h.Token
		}
	}
	return sent, q
}

// ask asks the agent that leads.
func (d *duties) ask(ctx context.Context, q lease.Request) (lease.Tokens, error) {
	if leads, _ := d.a.journal.Leads(); leads {
		return d.answer(q)
	}
	leader, err := d.a.leader()
	if err != nil {
		return nil, err
	}
	defer leader.Close()
	var p lease.Tokens
	return p, leader.call(ctx, http.MethodPost, "duties", q, &p)
}

// Holds tells by which token this agent may act on a duty now.
func (d *duties) Holds(duty string) (uint64, bool) {
	d.holdMu.Lock()
	defer d.holdMu.Unlock()
	return d.holder.Holds(d.a.clock.Now(), duty)
}

// conduct carries out rolling restarts while this agent holds that duty, step by step as the log has them; it goes on where another
// has stopped. Each step carries the token, and the log refuses it if the duty has been given on, or the step was done already.
func (a *Agent) conduct(ctx context.Context) {
	for {
		select {
		case <-time.After(conducting):
		case <-ctx.Done():
			return
		}
		var roll *wanted.Rolling
		a.journal.View(func(s *wanted.State) {
			for _, r := range s.Rolls {
				if roll == nil && r.State == wanted.Running {
					roll = &r
				}
			}
		})
		if _, holds := a.duties.Holds(Conductor); !holds || roll == nil {
			continue
		}
		c := wanted.Command{ID: fmt.Sprintf("%s-step-%d", roll.ID, roll.Steps), Verb: wanted.Step, Of: roll.ID, Step: roll.Steps, Duty: Conductor}
		switch ready, why := a.rolled(ctx, roll); {
		case why != "":
			c.ID, c.Verb, c.Why = fmt.Sprintf("%s-pause-%d", roll.ID, roll.Steps), wanted.Pause, why
		case !ready:
			continue
		}
		token, holds := a.duties.Holds(Conductor) // looking took a while
		if !holds {
			continue
		}
		c.Token, c.Said = token, a.clock.Wall()
		number, err := a.agree(ctx, c)
		a.log.Info("a step of a rolling restart", "roll", roll.ID, "step", c.Step, "verb", c.Verb, "why", c.Why, "token", token, "number", number, "error", err)
	}
}

// rolled tells whether all instances of a roll are ready, those of its steps so far anew; or why it cannot go on.
func (a *Agent) rolled(ctx context.Context, roll *wanted.Rolling) (ready bool, why string) {
	found := map[string]InstanceView{}
	for _, i := range a.whole(ctx).Instances {
		found[i.Name] = i
	}
	ready = true
	for _, name := range roll.Instances {
		i, known := found[name]
		if known && i.State == keeper.Looping {
			return false, fmt.Sprintf("%s falls again and again: %s", name, i.Why)
		}
		ready = ready && known && i.State == keeper.Ready
	}
	for _, name := range roll.Part(roll.Steps - 1) {
		ready = ready && found[name].Restarted >= roll.Last
	}
	return ready, ""
}

// agree has a command agreed on, by this agent or the one that leads.
func (a *Agent) agree(ctx context.Context, c wanted.Command) (uint64, error) {
	number, err := a.journal.Say(c)
	if errors.Is(err, errNotLeading) {
		return a.pass(ctx, c)
	}
	return number, err
}

// DutyView is what is told of a duty.
type DutyView struct {
	Duty string `json:"duty"`
	lease.Grant
	// Left is how long its holder may still act at most, in microseconds, as the agent that leads counts it: -1 if this one does not.
	Left logic.Micros `json:"left"`
}

// view is what this agent knows of duties.
func (d *duties) view() (all []DutyView, holds lease.Tokens) {
	held, _ := d.held()
	holds = lease.Tokens{}
	for _, duty := range d.a.config.Duties {
		if token, now := d.Holds(duty); now {
			holds[duty] = token
		}
	}
	d.giveMu.Lock()
	defer d.giveMu.Unlock()
	for _, duty := range slices.Sorted(maps.Keys(held)) {
		v := DutyView{duty, held[duty], -1}
		if d.giver != nil {
			v.Left = d.giver.Remaining(d.a.clock.Now(), v.Token)
		}
		all = append(all, v)
	}
	return all, holds
}
