// Package wanted is the state that agents agree on: which orders stand, and which instances are to run. It is free of
// I/O; a log of commands, applied in the same order everywhere, leads to the same state everywhere.
package wanted

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
	ID        string       `json:"id"`
	Verb      Verb         `json:"verb"`
	Server    string       `json:"server,omitempty"`    // of drain and undrain
	Instances []string     `json:"instances,omitempty"` // of start, stop and restart
	Until     logic.Micros `json:"until,omitempty"`
	Launch    logic.Micros `json:"launch,omitempty"`
	Said      logic.Micros `json:"said"` // Unix time

	Duty   string  `json:"duty,omitempty"`  // whose effect it is, with the holder's token; or which it is about
	Token  uint64  `json:"token,omitempty"` //
	Term   uint64  `json:"term,omitempty"`  // of a grant: that in which its author found the duty free
	Holder string  `json:"holder,omitempty"`
	Of     string  `json:"of,omitempty"` // a rolling restart's id
	Step   int     `json:"step,omitempty"`
	Share  float64 `json:"share,omitempty"`
	Why    string  `json:"why,omitempty"`
}

// Entry is a command with its place in the log.
type Entry struct {
	Number uint64 `json:"number"`
	Command
}

// Wish is what an instance is to do.
type Wish struct {
	Run     bool   `json:"run"`
	Restart uint64 `json:"restart"` // the number of the last command that had it start anew
	Number  uint64 `json:"number"`  // of the last command on it
}

// State is what was agreed. The zero value is ready for use.
type State struct {
	Applied uint64           `json:"applied"` // the number of the last command
	Orders  map[string]Entry `json:"orders"`  // the newest on each server
	Wishes  map[string]Wish  `json:"wishes"`
	Past    []Entry          `json:"past"` // the last ones, oldest first; grants are not among them

	Duties map[string]lease.Grant `json:"duties,omitempty"`
	Barred map[string]bool        `json:"barred,omitempty"` // who is given no duty
	Rolls  []Rolling              `json:"rolls,omitempty"`  // the last ones, oldest first
}

const (
	// mostPast is how many commands are remembered: for `orders`, and so that one said twice is known.
	mostPast = 500
	// mostOrders bounds the servers with an order; undrained ones that are older than all that is remembered are
	// forgotten first.
	mostOrders  = 4096
	longestName = 200
	mostNamed   = 4096 // a fleet several times the largest that was played
)

// Check tells what is wrong with a command.
func Check(c Command) error {
	switch {
	case c.ID == "" || len(c.ID) > longestName:
		return fmt.Errorf("a command needs an id of %d bytes at most", longestName)
	case c.Verb == Drain || c.Verb == Undrain:
		if c.Server == "" || len(c.Server) > longestName || len(c.Instances) > 0 {
			return fmt.Errorf("%s takes a server, and no instances", c.Verb)
		}
	case c.Verb == Start || c.Verb == Stop || c.Verb == Restart:
		return checkInstances(c)
	default:
		if known, err := checkDuty(c); known {
			return err
		}
		return fmt.Errorf("the verb %.40q is unknown", c.Verb)
	}
	return nil
}

func checkInstances(c Command) error {
	if len(c.Instances) == 0 || len(c.Instances) > mostNamed || c.Server != "" {
		return fmt.Errorf("%s takes instances, %d at most, and no server", c.Verb, mostNamed)
	}
	for _, name := range c.Instances {
		if name == "" || len(name) > longestName {
			return fmt.Errorf("%.40q is no instance's name", name)
		}
	}
	return nil
}

// Apply takes the command at a place of the log, and returns the number by which it is known: an earlier one where
// its id has been heard before. A command that is wrong changes nothing.
func (s *State) Apply(number uint64, c Command) (uint64, error) {
	if number <= s.Applied {
		return 0, fmt.Errorf("number %d comes after %d", number, s.Applied)
	}
	s.Applied = number
	if err := Check(c); err != nil {
		return 0, err
	}
	if i := slices.IndexFunc(s.Past, func(e Entry) bool { return e.ID == c.ID }); i >= 0 {
		return s.Past[i].Number, nil
	}
	if s.Orders == nil {
		s.Orders, s.Wishes = map[string]Entry{}, map[string]Wish{}
	}
	if err := s.fenced(c); err != nil {
		return 0, err
	}
	e := Entry{number, c}
	switch c.Verb {
	case Drain, Undrain:
		if _, known := s.Orders[c.Server]; !known && len(s.Orders) >= mostOrders && !s.forget() {
			return 0, fmt.Errorf("%d servers have orders already", mostOrders)
		}
		s.Orders[c.Server] = e
	case Start, Stop, Restart:
		s.wish(number, c.Verb, c.Instances)
	default:
		if err := s.duty(number, c); err != nil {
			return 0, err
		}
		if c.Verb == Grant {
			return number, nil
		}
	}
	s.Past = append(s.Past, e)
	if len(s.Past) > mostPast {
		s.Past = slices.Delete(s.Past, 0, len(s.Past)-mostPast)
	}
	return number, nil
}

func (s *State) wish(number uint64, verb Verb, instances []string) {
	for _, name := range instances {
		w := s.Wishes[name]
		w.Run, w.Number = verb != Stop, number
		if verb == Restart {
			w.Restart = number
		}
		s.Wishes[name] = w
	}
}

// forget takes the oldest undrain away; instances that never heard of the server need none.
func (s *State) forget() bool {
	oldest := ""
	for server, e := range s.Orders {
		if e.Verb == Undrain && (oldest == "" || e.Number < s.Orders[oldest].Number) {
			oldest = server
		}
	}
	delete(s.Orders, oldest)
	return oldest != ""
}

// Told are the orders for an instance, in an author's term, oldest first.
func (s *State) Told(term uint64) []orders.Order {
	told := make([]orders.Order, 0, len(s.Orders))
	for _, e := range s.Orders {
		told = append(told, orders.Order{ID: e.ID, Term: term, Number: e.Number, Verb: orders.Verb(e.Verb), ServerUID: e.Server, ExpiresAt: e.Until, ServerStart: e.Launch})
	}
	slices.SortFunc(told, func(a, b orders.Order) int { return cmp.Compare(a.Number, b.Number) })
	return told
}

// Runs tells whether an instance is to run: one of which nothing was said is.
func (s *State) Runs(name string) (Wish, bool) {
	w, said := s.Wishes[name]
	return w, !said || w.Run
}

// form is the encoding's version.
const form = 1

type saved struct {
	Form  int             `json:"form"`
	Sum   uint32          `json:"sum"`
	State json.RawMessage `json:"state"`
}

// Save encodes a state with its form and a sum.
func (s *State) Save() ([]byte, error) {
	text, err := json.Marshal(s)
	if err != nil {
		return nil, err
	}
	return json.Marshal(saved{form, crc32.ChecksumIEEE(text), text})
}

// Load reads what Save wrote; what is torn, changed or of another form is refused, and the state stays as it was.
func (s *State) Load(text []byte) error {
	var found saved
	if err := json.Unmarshal(text, &found); err != nil {
		return fmt.Errorf("the saved state is torn: %w", err)
	}
	if found.Form != form {
		return fmt.Errorf("the saved state is of form %d, and %d is known", found.Form, form)
	}
	if crc32.ChecksumIEEE(found.State) != found.Sum {
		return fmt.Errorf("the saved state was changed: its sum is wrong")
	}
	var next State
	if err := json.Unmarshal(found.State, &next); err != nil {
		return fmt.Errorf("the saved state: %w", err)
	}
	*s = next
	return nil
}
