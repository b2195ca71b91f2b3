package clusterstate

import (
	"fmt"
	"maps"
	"slices"

	"hatchproxy/lease"
)

const (
	// maxDuties bounds the duties that are remembered, mostBarred who may hold none, mostRolls the rolling restarts.
	maxDuties          = 4096
	maxBarred          = 4096
	maxRollingRestarts = 20
)

// Verbs about duties and rolling restarts.
const (
	Grant    Verb = "grant"   // Duty goes to Holder; Token is the one that it replaces
	Transfer Verb = "hand-on" // Duty is to go to Holder, or to any other if that is missing
	Bar      Verb = "bar"     // Holder is given no duty
	Unbar    Verb = "unbar"   //
	Roll     Verb = "roll"    // Instances are started anew, a Share at a time
	Step     Verb = "step"    // the next part of the roll Of is started anew; Step counts them from 0
	Pause    Verb = "pause"   // the roll Of
	Resume   Verb = "go-on"   //
	Abort    Verb = "abort"   //
)

// RollingRestartState is how far a roll is.
type RollingRestartState string

const (
	Running RollingRestartState = "running"
	Paused  RollingRestartState = "paused"
	Aborted RollingRestartState = "aborted"
	Done    RollingRestartState = "done"
)

// RollingRestart is a rolling restart: what is wanted, and how far it is. Whoever conducts goes on from here.
type RollingRestart struct {
	ID             string              `json:"id"`
	Number         uint64              `json:"number"`
	Instances      []string            `json:"instances"`
	Share          float64             `json:"share"`
	StepsStarted   int                 `json:"steps"`         // that were begun
	LastStepNumber uint64              `json:"last"`          // the number of the last of these
	State          RollingRestartState `json:"state"`         //
	Reason         string              `json:"why,omitempty"` // of a pause
}

// StepInstances is what a step starts anew, counted from 0; nothing before the first and after the last one.
func (r *RollingRestart) StepInstances(step int) []string {
	if step < 0 {
		return nil
	}
	size := max(1, int(r.Share*float64(len(r.Instances))+1e-9))
	from := min(step*size, len(r.Instances))
	return r.Instances[from:min(from+size, len(r.Instances))]
}

// validateDutyCommand tells what is wrong with a command of these verbs; known tells whether it is one.
func validateDutyCommand(c Command) (known bool, err error) {
	named := func(what, s string, needed bool) {
		if (needed && s == "" || len(s) > maxNameBytes) && err == nil {
			err = fmt.Errorf("%s needs %s, of %d bytes at most", c.Verb, what, maxNameBytes)
		}
	}
	switch c.Verb {
	case Grant:
		named("a duty", c.Duty, true)
		named("a holder", c.Holder, true)
	case Transfer:
		named("a duty", c.Duty, true)
		named("a holder", c.Holder, false)
	case Bar, Unbar:
		named("a holder", c.Holder, true)
	case Roll:
		if !(c.Share > 0 && c.Share <= 1) {
			err = fmt.Errorf("roll: the share %g is not between 0 and 1", c.Share)
		}
		if err == nil {
			err = validateInstances(c)
		}
	case Step, Pause, Resume, Abort:
		named("a roll", c.RollingRestartID, true)
	default:
		return false, nil
	}
	return true, err
}

// checkToken tells why an effect of a duty is refused: its token is not the newest, whatever its holder believes.
func (s *State) checkToken(c Command) error {
	if c.Duty == "" || c.Verb == Grant || c.Verb == Transfer {
		return nil
	}
	if newest := s.Duties[c.Duty].Token; c.Token != newest {
		return fmt.Errorf("the duty %s is held by token %d, and this is %d", c.Duty, newest, c.Token)
	}
	return nil
}

// applyDutyCommand takes a command of these verbs.
func (s *State) applyDutyCommand(number uint64, c Command) error {
	if s.Duties == nil {
		s.Duties, s.Barred = map[string]lease.Grant{}, map[string]bool{}
	}
	d, known := s.Duties[c.Duty]
	switch c.Verb {
	case Grant:
		// Guards against two agents that both believe that they lead: only one replaces what both have seen.
		if d.Token != c.Token {
			return fmt.Errorf("the duty %s is held by token %d, and not by %d any more", c.Duty, d.Token, c.Token)
		}
		if !known && len(s.Duties) >= maxDuties {
			return fmt.Errorf("%d duties are known already", maxDuties)
		}
		s.Duties[c.Duty] = lease.Grant{Holder: c.Holder, Token: number, GrantedAt: c.IssuedAt, Reason: c.Reason}
	case Transfer:
		if !known {
			return fmt.Errorf("nobody has held the duty %s yet", c.Duty)
		}
		if d.TransferTo = c.Holder; d.TransferTo == "" {
			d.TransferTo = "*"
		}
		if d.TransferTo == d.Holder {
			return fmt.Errorf("%s holds the duty %s already", d.Holder, c.Duty)
		}
		s.Duties[c.Duty] = d
	case Bar:
		if len(s.Barred) >= maxBarred {
			return fmt.Errorf("%d are barred already", maxBarred)
		}
		s.Barred[c.Holder] = true
	case Unbar:
		delete(s.Barred, c.Holder)
	case Roll:
		s.RollingRestarts = append(s.RollingRestarts, RollingRestart{ID: c.ID, Number: number, Instances: slices.Clone(c.Instances), Share: c.Share, State: Running})
		if len(s.RollingRestarts) > maxRollingRestarts {
			s.RollingRestarts = slices.Delete(s.RollingRestarts, 0, len(s.RollingRestarts)-maxRollingRestarts)
		}
	default:
		return s.applyRollingRestartCommand(number, c)
	}
	return nil
}

// applyRollingRestartCommand takes a command about a rolling restart.
func (s *State) applyRollingRestartCommand(number uint64, c Command) error {
	i := slices.IndexFunc(s.RollingRestarts, func(r RollingRestart) bool { return r.ID == c.RollingRestartID })
	if i < 0 {
		return fmt.Errorf("no rolling restart is called %.40q", c.RollingRestartID)
	}
	s.RollingRestarts = slices.Clone(s.RollingRestarts) // readers may hold the old ones
	r := &s.RollingRestarts[i]
	if r.State == Done || r.State == Aborted {
		return fmt.Errorf("the rolling restart %.40q is %s", c.RollingRestartID, r.State)
	}
	switch c.Verb {
	case Pause:
		r.State, r.Reason = Paused, c.Reason
	case Resume:
		r.State, r.Reason = Running, ""
	case Abort:
		r.State = Aborted
	case Step:
		if r.State != Running {
			return fmt.Errorf("the rolling restart %.40q is %s", c.RollingRestartID, r.State)
		}
		if c.Step != r.StepsStarted {
			return fmt.Errorf("the rolling restart %.40q has begun %d steps, and this is number %d", c.RollingRestartID, r.StepsStarted, c.Step)
		}
		part := r.StepInstances(c.Step)
		if len(part) == 0 {
			r.State = Done
			break
		}
		s.updateInstances(number, Restart, part)
		r.StepsStarted, r.LastStepNumber = r.StepsStarted+1, number
	}
	return nil
}

// CopyDuties are copies of what stands about duties, for who leads.
func (s *State) CopyDuties() (map[string]lease.Grant, map[string]bool) {
	return maps.Clone(s.Duties), maps.Clone(s.Barred)
}
