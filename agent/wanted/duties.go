package wanted

import (
	"fmt"
	"maps"
	"slices"

	"hatchproxy/lease"
)

const (
	// mostDuties bounds the duties that are remembered, mostBarred who may hold none, mostRolls the rolling restarts.
	mostDuties = 4096
	mostBarred = 4096
	mostRolls  = 20
)

// Verbs about duties and rolling restarts.
const (
	Grant  Verb = "grant"   // Duty goes to Holder; Token is the one that it replaces
	HandOn Verb = "hand-on" // Duty is to go to Holder, or to any other if that is missing
	Bar    Verb = "bar"     // Holder is given no duty
	Unbar  Verb = "unbar"   //
	Roll   Verb = "roll"    // Instances are started anew, a Share at a time
	Step   Verb = "step"    // the next part of the roll Of is started anew; Step counts them from 0
	Pause  Verb = "pause"   // the roll Of
	GoOn   Verb = "go-on"   //
	Abort  Verb = "abort"   //
)

// RollState is how far a roll is.
type RollState string

const (
	Running RollState = "running"
	Paused  RollState = "paused"
	Aborted RollState = "aborted"
	Done    RollState = "done"
)

// Rolling is a rolling restart: what is wanted, and how far it is. Whoever conducts goes on from here.
type Rolling struct {
	ID        string    `json:"id"`
	Number    uint64    `json:"number"`
	Instances []string  `json:"instances"`
	Share     float64   `json:"share"`
	Steps     int       `json:"steps"`         // that were begun
	Last      uint64    `json:"last"`          // the number of the last of these
	State     RollState `json:"state"`         //
	Why       string    `json:"why,omitempty"` // of a pause
}

// Part is what a step starts anew, counted from 0; nothing before the first and after the last one.
func (r *Rolling) Part(step int) []string {
	if step < 0 {
		return nil
	}
	size := max(1, int(r.Share*float64(len(r.Instances))+1e-9))
	from := min(step*size, len(r.Instances))
	return r.Instances[from:min(from+size, len(r.Instances))]
}

// checkDuty tells what is wrong with a command of these verbs; known tells whether it is one.
func checkDuty(c Command) (known bool, err error) {
	named := func(what, s string, needed bool) {
		if (needed && s == "" || len(s) > longestName) && err == nil {
			err = fmt.Errorf("%s needs %s, of %d bytes at most", c.Verb, what, longestName)
		}
	}
	switch c.Verb {
	case Grant:
		named("a duty", c.Duty, true)
		named("a holder", c.Holder, true)
	case HandOn:
		named("a duty", c.Duty, true)
		named("a holder", c.Holder, false)
	case Bar, Unbar:
		named("a holder", c.Holder, true)
	case Roll:
		if !(c.Share > 0 && c.Share <= 1) {
			err = fmt.Errorf("roll: the share %g is not between 0 and 1", c.Share)
		}
		if err == nil {
			err = checkInstances(c)
		}
	case Step, Pause, GoOn, Abort:
		named("a roll", c.Of, true)
	default:
		return false, nil
	}
	return true, err
}

// fenced tells why an effect of a duty is refused: its token is not the newest, whatever its holder believes.
func (s *State) fenced(c Command) error {
	if c.Duty == "" || c.Verb == Grant || c.Verb == HandOn {
		return nil
	}
	if newest := s.Duties[c.Duty].Token; c.Token != newest {
		return fmt.Errorf("the duty %s is held by token %d, and this is %d", c.Duty, newest, c.Token)
	}
	return nil
}

// duty takes a command of these verbs.
func (s *State) duty(number uint64, c Command) error {
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
		if !known && len(s.Duties) >= mostDuties {
			return fmt.Errorf("%d duties are known already", mostDuties)
		}
		s.Duties[c.Duty] = lease.Grant{Holder: c.Holder, Token: number, GrantedAt: c.Said, Reason: c.Why}
	case HandOn:
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
		if len(s.Barred) >= mostBarred {
			return fmt.Errorf("%d are barred already", mostBarred)
		}
		s.Barred[c.Holder] = true
	case Unbar:
		delete(s.Barred, c.Holder)
	case Roll:
		s.Rolls = append(s.Rolls, Rolling{ID: c.ID, Number: number, Instances: slices.Clone(c.Instances), Share: c.Share, State: Running})
		if len(s.Rolls) > mostRolls {
			s.Rolls = slices.Delete(s.Rolls, 0, len(s.Rolls)-mostRolls)
		}
	default:
		return s.roll(number, c)
	}
	return nil
}

// roll takes a command about a rolling restart.
func (s *State) roll(number uint64, c Command) error {
	i := slices.IndexFunc(s.Rolls, func(r Rolling) bool { return r.ID == c.Of })
	if i < 0 {
		return fmt.Errorf("no rolling restart is called %.40q", c.Of)
	}
	s.Rolls = slices.Clone(s.Rolls) // readers may hold the old ones
	r := &s.Rolls[i]
	if r.State == Done || r.State == Aborted {
		return fmt.Errorf("the rolling restart %.40q is %s", c.Of, r.State)
	}
	switch c.Verb {
	case Pause:
		r.State, r.Why = Paused, c.Why
	case GoOn:
		r.State, r.Why = Running, ""
	case Abort:
		r.State = Aborted
	case Step:
		if r.State != Running {
			return fmt.Errorf("the rolling restart %.40q is %s", c.Of, r.State)
		}
		if c.Step != r.Steps {
			return fmt.Errorf("the rolling restart %.40q has begun %d steps, and this is number %d", c.Of, r.Steps, c.Step)
		}
		part := r.Part(c.Step)
		if len(part) == 0 {
			r.State = Done
			break
		}
		s.wish(number, Restart, part)
		r.Steps, r.Last = r.Steps+1, number
	}
	return nil
}

// Newest are copies of what stands about duties, for who leads.
func (s *State) Newest() (map[string]lease.Grant, map[string]bool) {
	return maps.Clone(s.Duties), maps.Clone(s.Barred)
}
