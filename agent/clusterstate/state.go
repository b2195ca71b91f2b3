// Package wanted is the state that agents agree on: which orders stand, and which instances are to run. It is free of
// I/O; a log of commands, applied in the same order everywhere, leads to the same state everywhere.
package clusterstate

import (
	"cmp"
	"encoding/json"
	"fmt"
	"hash/crc32"
	"slices"

	"hatchproxy/lease"
	"hatchproxy/logic"
	"hatchproxy/orders"
)

// Verb is what a command wants.
type Verb string

const (
	Drain   Verb = "drain"
	Undrain Verb = "undrain"
	Start   Verb = "start"
	Stop    Verb = "stop"
	Restart Verb = "restart"
)

// Command is what an operator says. The id is the operator's own: one said twice counts once.
type Command struct {
	ID          string       `json:"id"`
	Verb        Verb         `json:"verb"`
	Server      string       `json:"server,omitempty"`    // of drain and undrain
	Instances   []string     `json:"instances,omitempty"` // of start, stop and restart
	ExpiresAt   logic.Micros `json:"until,omitempty"`
	ServerStart logic.Micros `json:"launch,omitempty"`
	IssuedAt    logic.Micros `json:"said"` // Unix time

	Duty             string  `json:"duty,omitempty"`  // whose effect it is, with the holder's token; or which it is about
	Token            uint64  `json:"token,omitempty"` //
	Term             uint64  `json:"term,omitempty"`  // of a grant: that in which its author found the duty free
	Holder           string  `json:"holder,omitempty"`
	RollingRestartID string  `json:"of,omitempty"` // a rolling restart's id
	Step             int     `json:"step,omitempty"`
	Share            float64 `json:"share,omitempty"`
	Reason           string  `json:"why,omitempty"`
}

// Entry is a command with its place in the log.
type Entry struct {
	Number uint64 `json:"number"`
	Command
}

// InstanceSpec is what an instance is to do.
type InstanceSpec struct {
	Run         bool   `json:"run"`
	LastRestart uint64 `json:"restart"` // the number of the last command that had it start anew
	LastCommand uint64 `json:"number"`  // of the last command on it
}

// State is what was agreed. The zero value is ready for use.
type State struct {
	AppliedIndex   uint64                  `json:"applied"` // the number of the last command
	Orders         map[string]Entry        `json:"orders"`  // the newest on each server
	Instances      map[string]InstanceSpec `json:"wishes"`
	RecentCommands []Entry                 `json:"past"` // the last ones, oldest first; grants are not among them

	Duties          map[string]lease.Grant `json:"duties,omitempty"`
	Barred          map[string]bool        `json:"barred,omitempty"` // who is given no duty
	RollingRestarts []RollingRestart       `json:"rolls,omitempty"`  // the last ones, oldest first
}

const (
	// maxRecentCommands is how many commands are remembered: for `orders`, and so that one said twice is known.
	maxRecentCommands = 500
	// maxOrders bounds the servers with an order; undrained ones that are older than all that is remembered are
	// forgotten first.
	maxOrders              = 4096
	maxNameBytes           = 200
	maxInstancesPerCommand = 4096 // a fleet several times the largest that was played
)

// Validate tells what is wrong with a command.
func Validate(c Command) error {
	switch {
	case c.ID == "" || len(c.ID) > maxNameBytes:
		return fmt.Errorf("a command needs an id of %d bytes at most", maxNameBytes)
	case c.Verb == Drain || c.Verb == Undrain:
		if c.Server == "" || len(c.Server) > maxNameBytes || len(c.Instances) > 0 {
			return fmt.Errorf("%s takes a server, and no instances", c.Verb)
		}
	case c.Verb == Start || c.Verb == Stop || c.Verb == Restart:
		return validateInstances(c)
	default:
		if known, err := validateDutyCommand(c); known {
			return err
		}
		return fmt.Errorf("the verb %.40q is unknown", c.Verb)
	}
	return nil
}

func validateInstances(c Command) error {
	if len(c.Instances) == 0 || len(c.Instances) > maxInstancesPerCommand || c.Server != "" {
		return fmt.Errorf("%s takes instances, %d at most, and no server", c.Verb, maxInstancesPerCommand)
	}
	for _, name := range c.Instances {
		if name == "" || len(name) > maxNameBytes {
			return fmt.Errorf("%.40q is no instance's name", name)
		}
	}
	return nil
}

// Apply takes the command at a place of the log, and returns the number by which it is known: an earlier one where
// its id has been heard before. A command that is wrong changes nothing.
func (s *State) Apply(number uint64, c Command) (uint64, error) {
	if number <= s.AppliedIndex {
		return 0, fmt.Errorf("number %d comes after %d", number, s.AppliedIndex)
	}
	s.AppliedIndex = number
	if err := Validate(c); err != nil {
		return 0, err
	}
	if i := slices.IndexFunc(s.RecentCommands, func(e Entry) bool { return e.ID == c.ID }); i >= 0 {
		return s.RecentCommands[i].Number, nil
	}
	if s.Orders == nil {
		s.Orders, s.Instances = map[string]Entry{}, map[string]InstanceSpec{}
	}
	if err := s.checkToken(c); err != nil {
		return 0, err
	}
	e := Entry{number, c}
	switch c.Verb {
	case Drain, Undrain:
		if _, known := s.Orders[c.Server]; !known && len(s.Orders) >= maxOrders && !s.dropOldestUndrain() {
			return 0, fmt.Errorf("%d servers have orders already", maxOrders)
		}
		s.Orders[c.Server] = e
	case Start, Stop, Restart:
		s.updateInstances(number, c.Verb, c.Instances)
	default:
		if err := s.applyDutyCommand(number, c); err != nil {
			return 0, err
		}
		if c.Verb == Grant {
			return number, nil
		}
	}
	s.RecentCommands = append(s.RecentCommands, e)
	if len(s.RecentCommands) > maxRecentCommands {
		s.RecentCommands = slices.Delete(s.RecentCommands, 0, len(s.RecentCommands)-maxRecentCommands)
	}
	return number, nil
}

func (s *State) updateInstances(number uint64, verb Verb, instances []string) {
	for _, name := range instances {
		w := s.Instances[name]
		w.Run, w.LastCommand = verb != Stop, number
		if verb == Restart {
			w.LastRestart = number
		}
		s.Instances[name] = w
	}
}

// dropOldestUndrain takes the oldest undrain away; instances that never heard of the server need none.
func (s *State) dropOldestUndrain() bool {
	oldest := ""
	for server, e := range s.Orders {
		if e.Verb == Undrain && (oldest == "" || e.Number < s.Orders[oldest].Number) {
			oldest = server
		}
	}
	delete(s.Orders, oldest)
	return oldest != ""
}

// OrdersForTerm are the orders for an instance, in an author's term, oldest first.
func (s *State) OrdersForTerm(term uint64) []orders.Order {
	told := make([]orders.Order, 0, len(s.Orders))
	for _, e := range s.Orders {
		told = append(told, orders.Order{ID: e.ID, Term: term, Number: e.Number, Verb: orders.Verb(e.Verb), ServerUID: e.Server, ExpiresAt: e.ExpiresAt, ServerStart: e.ServerStart})
	}
	slices.SortFunc(told, func(a, b orders.Order) int { return cmp.Compare(a.Number, b.Number) })
	return told
}

// InstanceSpec tells whether an instance is to run: one of which nothing was said is.
func (s *State) InstanceSpec(name string) (InstanceSpec, bool) {
	w, said := s.Instances[name]
	return w, !said || w.Run
}

// formatVersion is the encoding's version.
const formatVersion = 1

type savedState struct {
	FormatVersion int             `json:"form"`
	Checksum      uint32          `json:"sum"`
	State         json.RawMessage `json:"state"`
}

// Encode encodes a state with its form and a sum.
func (s *State) Encode() ([]byte, error) {
	text, err := json.Marshal(s)
	if err != nil {
		return nil, err
	}
	return json.Marshal(savedState{formatVersion, crc32.ChecksumIEEE(text), text})
}

// Decode reads what Save wrote; what is torn, changed or of another form is refused, and the state stays as it was.
func (s *State) Decode(text []byte) error {
	var found savedState
	if err := json.Unmarshal(text, &found); err != nil {
		return fmt.Errorf("the saved state is torn: %w", err)
	}
	if found.FormatVersion != formatVersion {
		return fmt.Errorf("the saved state is of form %d, and %d is known", found.FormatVersion, formatVersion)
	}
	if crc32.ChecksumIEEE(found.State) != found.Checksum {
		return fmt.Errorf("the saved state was changed: its sum is wrong")
	}
	var next State
	if err := json.Unmarshal(found.State, &next); err != nil {
		return fmt.Errorf("the saved state: %w", err)
	}
	*s = next
	return nil
}
