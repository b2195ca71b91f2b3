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

// Conductor is the name of the duty to carry out rolling restarts. One agent holds it at a time.
const Conductor = "conductor"

// duties manages an agent's part in the leases of duties: while the agent leads it grants them, and it requests and holds those
// that it is a candidate for.
type duties struct {
	agent *Agent

	grantorMu   sync.Mutex
	grantor     *lease.Grantor // nil unless this agent leads and has applied all entries of earlier terms
	grantorTerm uint64         // term in which grantor was created

	holderMu sync.Mutex
	holder   lease.Holder

	released chan struct{} // signals that a duty was released and can be granted at once

	nextCheckMu sync.Mutex
	nextCheck   *leadershipCheck // check that has not begun yet and that new callers share; nil if none
	verifyMu    sync.Mutex       // held during a check: one runs at a time
}

const (
	// grantInterval is how often the leader checks whether a duty can be granted.
	grantInterval = 100 * time.Millisecond
	// conductInterval is how often the conductor checks the progress of a rolling restart.
	conductInterval = 100 * time.Millisecond
	// leaderTimeout is how long to wait for the leader's answer to a request: a leader that is cut off never answers.
	leaderTimeout = 800 * time.Millisecond
)

// runGrantor submits grants of free duties to the log while this agent leads, until ctx ends.
func (d *duties) runGrantor(ctx context.Context) {
	for {
		select {
		case <-time.After(grantInterval):
		case <-d.released:
		case <-ctx.Done():
			return
		}
		isLeader, term := d.agent.journal.IsLeader()
		d.grantorMu.Lock()
		if !isLeader || term != d.grantorTerm {
			d.grantor = nil
		}
		needsGrantor := isLeader && d.grantor == nil
		d.grantorMu.Unlock()
		if needsGrantor && !d.startGrantor(term) {
			continue
		}
		grants, barred := d.currentGrants()
		d.grantorMu.Lock()
		var due map[string]lease.Grant
		grantor, term := d.grantor, d.grantorTerm
		if grantor != nil {
			due = grantor.DueGrants(d.agent.clock.Now(), grants, barred)
		}
		d.grantorMu.Unlock()
		for _, duty := range slices.Sorted(maps.Keys(due)) {
			grant := due[duty]
			number, err := d.agent.journal.Submit(clusterstate.Command{ID: fmt.Sprintf("grant-%s-%d", duty, grant.Token), Verb: clusterstate.Grant, Duty: duty, Holder: grant.Holder, Token: grant.Token, Term: term,
				IssuedAt: d.agent.clock.Wall(), Reason: grant.Reason})
			d.grantorMu.Lock()
			grantor.FinishGrant(duty)
			d.grantorMu.Unlock()
			d.agent.log.Info("duty granted", "duty", duty, "holder", grant.Holder, "token", number, "before", grants[duty].Holder, "why", grant.Reason, "error", err)
		}
	}
}

// startGrantor creates the grantor for a term in which this agent leads, after all earlier entries of the log have been applied
// here: without that wait it could renew a token that has been replaced already. It returns false if this agent leads no longer or
// the wait failed.
func (d *duties) startGrantor(term uint64) bool {
	if d.agent.journal.raft.Barrier(raftAcceptTimeout).Error() != nil {
		return false
	}
	isLeader, current := d.agent.journal.IsLeader()
	if !isLeader || current != term {
		return false
	}
	d.grantorMu.Lock()
	defer d.grantorMu.Unlock()
	d.grantor, d.grantorTerm = lease.NewGrantor(), term
	return true
}

// currentGrants returns copies of the latest grants by duty, and of the set of agents that may be granted none.
func (d *duties) currentGrants() (grants map[string]lease.Grant, barred map[string]bool) {
	d.agent.journal.ReadState(func(state *clusterstate.State) { grants, barred = state.CopyDuties() })
	return grants, barred
}

// leadershipCheck is a check with a majority of the agents that this one still leads.
type leadershipCheck struct {
	done chan struct{} // closed when err is set
	err  error
}

// confirmLeadership returns nil once a majority has confirmed that this agent led at some time after the call, or an error if that
// was not confirmed. Calls made while a check is running share the next one.
func (d *duties) confirmLeadership() error {
	d.nextCheckMu.Lock()
	check := d.nextCheck
	if check == nil {
		check = &leadershipCheck{done: make(chan struct{})}
		d.nextCheck = check
		go func() {
			d.verifyMu.Lock()
			defer d.verifyMu.Unlock()
			d.nextCheckMu.Lock()
			d.nextCheck = nil
			d.nextCheckMu.Unlock()
			check.err = d.agent.journal.raft.VerifyLeader().Error()
			close(check.done)
		}()
	}
	d.nextCheckMu.Unlock()
	<-check.done
	return check.err
}

// errNotGranting is the answer of an agent that doesn't lead or is not ready to grant duties yet.
var errNotGranting = errors.New("this agent gives no duties yet")

// handleRequest answers a holder's request with the tokens that it may act on. It returns errNotLeader if this agent doesn't lead, and
// errNotGranting if it doesn't grant duties in the current term yet.
func (d *duties) handleRequest(request lease.Request) (lease.Tokens, error) {
	if err := d.confirmLeadership(); err != nil {
		return nil, errNotLeader
	}
	isLeader, term := d.agent.journal.IsLeader()
	grants, barred := d.currentGrants()
	d.grantorMu.Lock()
	defer d.grantorMu.Unlock()
	// A grantor of an earlier term doesn't know which leases another leader has granted or renewed since.
	if !isLeader || d.grantor == nil || d.grantorTerm != term {
		return nil, errNotGranting
	}
	if len(request.Released) > 0 {
		select {
		case d.released <- struct{}{}:
		default: // a wake-up is pending already
		}
	}
	return d.grantor.Renew(d.agent.clock.Now(), request, grants, barred), nil
}

// runHolder keeps requesting the duties that this agent is a candidate for, and releases those that are to be transferred, until
// ctx ends. A request is sent each lease.RenewInterval, and at once if a change of the log concerns this agent's duties.
func (d *duties) runHolder(ctx context.Context) {
	self := d.agent.config.Name
	for ctx.Err() == nil {
		changed := d.agent.journal.Changed()
		sentAt, request := d.nextRequest(d.agent.config.Duties)
		requestCtx, cancel := context.WithTimeout(ctx, leaderTimeout)
		tokens, err := d.sendRequest(requestCtx, request)
		cancel()
		if err == nil {
			d.holderMu.Lock()
			d.holder.Update(sentAt, tokens)
			d.holderMu.Unlock()
		}
		for wait := time.After(time.Duration(lease.RenewInterval) * time.Microsecond); ; {
			select {
			case <-changed:
				changed = d.agent.journal.Changed()
				grants, _ := d.currentGrants()
				affected := false
				for duty, grant := range grants {
					token, holds := d.Holds(duty)
					affected = affected || grant.Holder == self && (grant.TransferTo != "" || token != grant.Token) || holds && grant.Holder != self
				}
				if !affected {
					continue
				}
			case <-wait:
			case <-ctx.Done():
			}
			break
		}
	}
	// The agent ends: it releases what it holds, so that others needn't wait for the leases to expire.
	_, request := d.nextRequest(nil)
	requestCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), leaderTimeout)
	defer cancel()
	_, _ = d.sendRequest(requestCtx, request) // if this fails, the leases expire
}

// nextRequest returns the request to send now and its send time, from which the holder counts the lease. This agent stops holding the
// duties that are to be transferred, those that are not in wants, and all if it is barred, before the request reports them as released.
func (d *duties) nextRequest(wants []string) (logic.Micros, lease.Request) {
	grants, barred := d.currentGrants()
	self := d.agent.config.Name
	request := lease.Request{Holder: self, Duties: wants, Released: map[string]uint64{}}
	d.holderMu.Lock()
	defer d.holderMu.Unlock()
	sentAt := d.agent.clock.Now()
	for duty, grant := range grants {
		if grant.Holder == self && (grant.TransferTo != "" || barred[self] || !slices.Contains(wants, duty)) {
			d.holder.Release(sentAt, duty)
			request.Released[duty] = grant.Token
		}
	}
	return sentAt, request
}

// sendRequest sends a request to the leader, which may be this agent, and returns its answer.
func (d *duties) sendRequest(ctx context.Context, request lease.Request) (lease.Tokens, error) {
	if isLeader, _ := d.agent.journal.IsLeader(); isLeader {
		return d.handleRequest(request)
	}
	leader, err := d.agent.leaderClient()
	if err != nil {
		return nil, err
	}
	defer leader.Close()
	var tokens lease.Tokens
	return tokens, leader.call(ctx, http.MethodPost, "duties", request, &tokens)
}

// Holds reports whether this agent may act on a duty now, and with which token.
func (d *duties) Holds(duty string) (uint64, bool) {
	d.holderMu.Lock()
	defer d.holderMu.Unlock()
	return d.holder.Holds(d.agent.clock.Now(), duty)
}

// conductRollingRestarts carries out rolling restarts while this agent holds the Conductor duty, until ctx ends. It handles one at
// a time, in the order of their commands. Progress is kept in the log, so that another agent can continue. Each step carries the
// token; the log refuses a step whose token is outdated or that was begun already.
func (a *Agent) conductRollingRestarts(ctx context.Context) {
	for {
		select {
		case <-time.After(conductInterval):
		case <-ctx.Done():
			return
		}
		var roll *clusterstate.RollingRestart
		a.journal.ReadState(func(state *clusterstate.State) {
			for _, r := range state.RollingRestarts {
				if roll == nil && r.State == clusterstate.Running {
					roll = &r
				}
			}
		})
		if _, holds := a.duties.Holds(Conductor); !holds || roll == nil {
			continue
		}
		command := clusterstate.Command{ID: fmt.Sprintf("%s-step-%d", roll.ID, roll.StepsStarted), Verb: clusterstate.Step, RollingRestartID: roll.ID, Step: roll.StepsStarted, Duty: Conductor}
		switch ready, problem := a.checkRollingRestart(ctx, roll); {
		case problem != "":
			command.ID, command.Verb, command.Reason = fmt.Sprintf("%s-pause-%d", roll.ID, roll.StepsStarted), clusterstate.Pause, problem
		case !ready:
			continue
		}
		token, holds := a.duties.Holds(Conductor) // again: the check may have taken longer than the lease
		if !holds {
			continue
		}
		command.Token, command.IssuedAt = token, a.clock.Wall()
		number, err := a.submit(ctx, command)
		a.log.Info("rolling restart step", "roll", roll.ID, "step", command.Step, "verb", command.Verb, "why", command.Reason, "token", token, "number", number, "error", err)
	}
}

// checkRollingRestart reports whether the next step can begin: all instances are ready, and those of the last step have been
// restarted. problem is not empty if the rolling restart must be paused.
func (a *Agent) checkRollingRestart(ctx context.Context, roll *clusterstate.RollingRestart) (ready bool, problem string) {
	views := map[string]InstanceView{}
	for _, view := range a.clusterView(ctx).Instances {
		views[view.Name] = view
	}
	ready = true
	for _, name := range roll.Instances {
		view, known := views[name]
		if known && view.State == supervisor.CrashLooping {
			return false, fmt.Sprintf("%s falls again and again: %s", name, view.Reason)
		}
		ready = ready && known && view.State == supervisor.Ready
	}
	for _, name := range roll.StepInstances(roll.StepsStarted - 1) {
		ready = ready && views[name].CompletedRestart >= roll.LastStepNumber
	}
	return ready, ""
}

// submit submits a command to the log, through the leader if that is another agent, and returns the command's number.
func (a *Agent) submit(ctx context.Context, command clusterstate.Command) (uint64, error) {
	number, err := a.journal.Submit(command)
	if errors.Is(err, errNotLeader) {
		return a.forwardCommand(ctx, command)
	}
	return number, err
}

// DutyView is what an agent reports of a duty.
type DutyView struct {
	Duty string `json:"duty"`
	lease.Grant
	// Remaining is for how long the holder may still act at most, in microseconds, as the leader counts it; -1 if the reporting
	// agent is not the one that grants.
	Remaining logic.Micros `json:"left"`
}

// view returns all duties that this agent knows of, and the tokens of those that it holds now.
func (d *duties) view() (views []DutyView, tokens lease.Tokens) {
	grants, _ := d.currentGrants()
	tokens = lease.Tokens{}
	for _, duty := range d.agent.config.Duties {
		if token, holds := d.Holds(duty); holds {
			tokens[duty] = token
		}
	}
	d.grantorMu.Lock()
	defer d.grantorMu.Unlock()
	for _, duty := range slices.Sorted(maps.Keys(grants)) {
		v := DutyView{duty, grants[duty], -1}
		if d.grantor != nil {
			v.Remaining = d.grantor.Remaining(d.agent.clock.Now(), v.Token)
		}
		views = append(views, v)
	}
	return views, tokens
}
