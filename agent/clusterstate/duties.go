package clusterstate

import (
	"fmt"
	"maps"
	"slices"

	"hatchproxy/lease"
)

const (
	// maxDuties, maxBarred and maxRollingRestarts limit how many of each the state holds. The oldest rolling restarts are dropped first;
	// further duties and barred holders are rejected.
	maxDuties          = 4096
	maxBarred          = 4096
	maxRollingRestarts = 20
)

// Verbs about duties and rolling restarts.
const (
	Grant    Verb = "grant"   // Duty goes to Holder; Token is the token that the grant replaces
	Transfer Verb = "hand-on" // Duty should go to Holder, or to any other candidate if there is no Holder
	Bar      Verb = "bar"     // Holder is granted no duty
	Unbar    Verb = "unbar"   // ends a bar
	Roll     Verb = "roll"    // starts a rolling restart of Instances, a Share of them at a time
	Step     Verb = "step"    // restarts the next instances of a rolling restart; Step counts the steps from 0
	Pause    Verb = "pause"   // stops a rolling restart until it is resumed
	Resume   Verb = "go-on"   // ends a pause
	Abort    Verb = "abort"   // ends a rolling restart; the steps so far are not undone
)

// RollingRestartState is the state of a rolling restart.
type RollingRestartState string

const (
	Running RollingRestartState = "running"
	Paused  RollingRestartState = "paused"
	Aborted RollingRestartState = "aborted"
	Done    RollingRestartState = "done"
)

// RollingRestart is a rolling restart and its progress. The agent that holds the conductor duty carries it out, and another one can
// continue from here.
type RollingRestart struct {
	ID             string              `json:"id"`
	Number         uint64              `json:"number"` // of the command that started it
	Instances      []string            `json:"instances"`
	Share          float64             `json:"share"` // of the instances, restarted by one step
	StepsStarted   int                 `json:"steps"` // how many steps were started
	LastStepNumber uint64              `json:"last"`  // the number of the command that started the last step
	State          RollingRestartState `json:"state"`
	Reason         string              `json:"why,omitempty"` // why it was paused
}

// StepInstances returns the instances that a step restarts. Steps count from 0; there are no instances before the first and after the
// last step.
func (r *RollingRestart) StepInstances(step int) []string {
	if step < 0 {
		return nil
	}
	size := max(1, int(r.Share*float64(len(r.Instances))+1e-9))
	from := min(step*size, len(r.Instances))
	return r.Instances[from:min(from+size, len(r.Instances))]
}

// validateDutyCommand returns an error if a command about duties or rolling restarts is malformed. It returns known = false for the
// other verbs.
func validateDutyCommand(c Command) (known bool, err error) {
	checkName := func(what, name string, needed bool) {
		if (needed && name == "" || len(name) > maxNameBytes) && err == nil {
			err = fmt.Errorf("%s needs %s, of %d bytes at most", c.Verb, what, maxNameBytes)
		}
	}
	switch c.Verb {
	case Grant:
		checkName("a duty", c.Duty, true)
		checkName("a holder", c.Holder, true)
	case Transfer:
		checkName("a duty", c.Duty, true)
		checkName("a holder", c.Holder, false)
	case Bar, Unbar:
		checkName("a holder", c.Holder, true)
	case Roll:
		if !(c.Share > 0 && c.Share <= 1) {
			err = fmt.Errorf("roll: the share %g is not between 0 and 1", c.Share)
		}
		if err == nil {
			err = validateInstances(c)
		}
	case Step, Pause, Resume, Abort:
		checkName("a roll", c.RollingRestartID, true)
	default:
		return false, nil
	}
	return true, err
}

// checkToken returns an error if a command was issued under a duty with a token that is no longer the newest: its author has lost the
// duty, even if it doesn't know yet.
func (s *State) checkToken(c Command) error {
	if c.Duty == "" || c.Verb == Grant || c.Verb == Transfer {
		return nil
	}
	if newest := s.Duties[c.Duty].Token; c.Token != newest {
		return fmt.Errorf("the duty %s is held by token %d, and this is %d", c.Duty, newest, c.Token)
	}
	return nil
}

// applyDutyCommand applies a command about duties or rolling restarts.
func (s *State) applyDutyCommand(number uint64, c Command) error {
	if s.Duties == nil {
		s.Duties, s.Barred = map[string]lease.Grant{}, map[string]bool{}
	}
	grant, known := s.Duties[c.Duty]
	switch c.Verb {
	case Grant:
		// Two agents may both believe that they lead. Of their grants that replace the same token, only the first is applied.
		if grant.Token != c.Token {
			return fmt.Errorf("the duty %s is held by token %d, and not by %d any more", c.Duty, grant.Token, c.Token)
		}
		if !known && len(s.Duties) >= maxDuties {
			return fmt.Errorf("%d duties are known already", maxDuties)
		}
		s.Duties[c.Duty] = lease.Grant{Holder: c.Holder, Token: number, GrantedAt: c.IssuedAt, Reason: c.Reason}
	case Transfer:
		if !known {
			return fmt.Errorf("nobody has held the duty %s yet", c.Duty)
		}
		if grant.TransferTo = c.Holder; grant.TransferTo == "" {
			grant.TransferTo = "*"
		}
		if grant.TransferTo == grant.Holder {
			return fmt.Errorf("%s holds the duty %s already", grant.Holder, c.Duty)
		}
		s.Duties[c.Duty] = grant
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

// applyRollingRestartCommand applies a command about an existing rolling restart.
func (s *State) applyRollingRestartCommand(number uint64, c Command) error {
	i := slices.IndexFunc(s.RollingRestarts, func(r RollingRestart) bool { return r.ID == c.RollingRestartID })
	if i < 0 {
		return fmt.Errorf("no rolling restart is called %.40q", c.RollingRestartID)
	}
	s.RollingRestarts = slices.Clone(s.RollingRestarts) // readers may still use the old slice
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
		instances := r.StepInstances(c.Step)
		if len(instances) == 0 {
			r.State = Done
			break
		}
		s.updateInstances(number, Restart, instances)
		r.StepsStarted, r.LastStepNumber = r.StepsStarted+1, number
	}
	return nil
}

// CopyDuties returns copies of the duties and of the barred holders.
func (s *State) CopyDuties() (map[string]lease.Grant, map[string]bool) {
	return maps.Clone(s.Duties), maps.Clone(s.Barred)
}
