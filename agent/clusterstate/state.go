// Package clusterstate is the state that the agents replicate: which orders are in effect, which instances should run, who holds which
// duty, and how far rolling restarts are. It does no I/O. The state changes only by commands of a log; agents that apply the same
// commands in the same order have the same state.
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

// Verb is what a command does.
type Verb string

// Verbs about servers and instances.
const (
	Drain   Verb = "drain"   // the instances send nothing new to Server
	Undrain Verb = "undrain" // ends a drain
	Start   Verb = "start"   // Instances should run
	Stop    Verb = "stop"    // Instances should not run
	Restart Verb = "restart" // Instances should run, and be restarted once
)

// Command is a command of an operator or an agent. Its author chooses the ID; a command that is submitted again with the same ID is
// applied once.
type Command struct {
	ID               string       `json:"id"`
	Verb             Verb         `json:"verb"`
	Server           string       `json:"server,omitempty"`    // for drain and undrain
	Instances        []string     `json:"instances,omitempty"` // for start, stop, restart and roll
	ExpiresAt        logic.Micros `json:"until,omitempty"`     // when an order ends, in Unix time; 0 for never
	ServerLaunchedAt logic.Micros `json:"launch,omitempty"`    // as in orders.Order
	IssuedAt         logic.Micros `json:"said"`                // Unix time at which the command was issued

	Duty             string  `json:"duty,omitempty"`   // the duty that the command is about, or under which an agent issued it
	Token            uint64  `json:"token,omitempty"`  // the token that the author of the command holds, or that a grant replaces
	Term             uint64  `json:"term,omitempty"`   // for a grant: the term in which its author found the duty free
	Holder           string  `json:"holder,omitempty"` // for the verbs about duties
	RollingRestartID string  `json:"of,omitempty"`     // for step, pause, go-on and abort
	Step             int     `json:"step,omitempty"`   // for step: counted from 0
	Share            float64 `json:"share,omitempty"`  // for roll: the share of the instances that one step restarts, above 0 and up to 1
	Reason           string  `json:"why,omitempty"`    // for grant and pause
}

// Entry is a command with its number, which is its index in the log.
type Entry struct {
	Number uint64 `json:"number"`
	Command
}

// InstanceSpec is the desired state of an instance.
type InstanceSpec struct {
	Run              bool   `json:"run"`
	RequestedRestart uint64 `json:"restart"` // the number of the last command to restart it
	LastCommand      uint64 `json:"number"`  // the number of the last command about it
}

// State is the replicated state. The zero value is ready for use.
type State struct {
	AppliedIndex   uint64                  `json:"applied"` // the number of the last command that was applied
	Orders         map[string]Entry        `json:"orders"`  // by server: the newest order
	Instances      map[string]InstanceSpec `json:"wishes"`  // by instance
	RecentCommands []Entry                 `json:"past"`    // oldest first, without grants

	Duties          map[string]lease.Grant `json:"duties,omitempty"`
	Barred          map[string]bool        `json:"barred,omitempty"` // holders that are granted no duty
	RollingRestarts []RollingRestart       `json:"rolls,omitempty"`  // the most recent ones, oldest first
}

const (
	// maxRecentCommands is how many commands are kept, for the command `orders` and to recognize commands that are submitted again.
	maxRecentCommands = 500
	// maxOrders is the maximum number of servers with an order. If there are as many, a new one replaces the oldest undrain order.
	maxOrders              = 4096
	maxNameBytes           = 200
	maxInstancesPerCommand = 4096 // several times the largest fleet that was tested
)

// Validate returns an error if a command is malformed.
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

// validateInstances checks the names of a command's instances.
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

// Apply applies the command at an index of the log and returns its number: the index, or the number of an earlier command with the same
// ID. A command that fails changes nothing but AppliedIndex.
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

// updateInstances applies the verb start, stop or restart.
func (s *State) updateInstances(number uint64, verb Verb, instances []string) {
	for _, name := range instances {
		spec := s.Instances[name]
		spec.Run, spec.LastCommand = verb != Stop, number
		if verb == Restart {
			spec.RequestedRestart = number
		}
		s.Instances[name] = spec
	}
}

// dropOldestUndrain removes the oldest undrain order and reports whether there was one. An instance that has no order for a server
// treats it as not drained anyway.
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

// OrdersForTerm returns the orders to send to instances, oldest first, with the term of the agent that sends them.
func (s *State) OrdersForTerm(term uint64) []orders.Order {
	list := make([]orders.Order, 0, len(s.Orders))
	for _, e := range s.Orders {
		list = append(list, orders.Order{ID: e.ID, Term: term, Number: e.Number, Verb: orders.Verb(e.Verb), ServerUID: e.Server, ExpiresAt: e.ExpiresAt, ServerLaunchedAt: e.ServerLaunchedAt})
	}
	slices.SortFunc(list, func(a, b orders.Order) int { return cmp.Compare(a.Number, b.Number) })
	return list
}

// InstanceSpec returns the desired state of an instance and whether it should run. An instance without a command should run.
func (s *State) InstanceSpec(name string) (InstanceSpec, bool) {
	spec, known := s.Instances[name]
	return spec, !known || spec.Run
}

// formatVersion is the version of the encoding.
const formatVersion = 1

// savedState is the encoding of a state.
type savedState struct {
	FormatVersion int             `json:"form"`
	Checksum      uint32          `json:"sum"` // CRC-32 of State
	State         json.RawMessage `json:"state"`
}

// Encode returns the state as JSON, with a format version and a checksum.
func (s *State) Encode() ([]byte, error) {
	data, err := json.Marshal(s)
	if err != nil {
		return nil, err
	}
	return json.Marshal(savedState{formatVersion, crc32.ChecksumIEEE(data), data})
}

// Decode replaces the state with an encoded one. If the data is corrupt or of another format version, it returns an error and leaves
// the state as it was.
func (s *State) Decode(data []byte) error {
	var saved savedState
	if err := json.Unmarshal(data, &saved); err != nil {
		return fmt.Errorf("the saved state is corrupt: %w", err)
	}
	if saved.FormatVersion != formatVersion {
		return fmt.Errorf("the saved state has format version %d; only version %d is supported", saved.FormatVersion, formatVersion)
	}
	if crc32.ChecksumIEEE(saved.State) != saved.Checksum {
		return fmt.Errorf("the saved state is corrupt: its checksum is wrong")
	}
	var next State
	if err := json.Unmarshal(saved.State, &next); err != nil {
		return fmt.Errorf("the saved state cannot be decoded: %w", err)
	}
	*s = next
	return nil
}
