package discovery

import (
	"encoding/json"
	"errors"
	"fmt"

	"hatchproxy/logic"
)

// ListVisitor receives the contents of an answer.
type ListVisitor interface {
	// BeginFullList comes first if the answer is the full list and not only its changes: servers that have no entry in it
	// are no longer listed.
	BeginFullList()
	// Entry is called for each server in the answer. weight is the capacity that the service states, and launchedAt is when
	// the server was started.
	Entry(uid, endpoint, zone, model string, cell logic.CellID, state logic.State, weight float64,
		launchedAt logic.Micros)
	// EndList comes last.
	EndList()
}

// states are the server states by their names in an answer, and stateNames the names by the states.
var (
	states     = map[string]logic.State{"ready": logic.Ready, "draining": logic.Draining, "gone": logic.Gone}
	stateNames = map[logic.State]string{logic.Ready: "ready", logic.Draining: "draining", logic.Gone: "gone"}
)

// Target is a server in an answer of the discovery service.
type Target struct {
	UID          string  `json:"uid"`
	Endpoint     string  `json:"endpoint,omitempty"`
	Zone         string  `json:"az"`
	Model        string  `json:"model"`
	State        string  `json:"state"`
	Cell         uint16  `json:"pod_group"`
	Weight       float64 `json:"capacity_hint"` // the capacity that the service states
	LaunchMillis float64 `json:"boot_ms"`       // when the server was started, as Unix time in milliseconds; 0 for long ago
}

// check returns an error if the target cannot be used.
func (t *Target) check() error {
	if t.UID == "" {
		return errors.New("a server has no uid")
	}
	if _, known := states[t.State]; !known {
		return fmt.Errorf("server state %.40q is unknown", t.State)
	}
	return nil
}

// Decode parses an answer of the discovery service. It returns the list's version and a function that passes the entries to
// a visitor. If any part of the answer is invalid, it returns an error and no entry is used.
func Decode(text []byte) (version int64, visit func(ListVisitor), err error) {
	var body struct {
		Rev     *int64
		All     bool
		Targets []Target
	}
	if err := json.Unmarshal(text, &body); err != nil {
		return 0, nil, err
	}
	if body.Rev == nil {
		return 0, nil, errors.New("the list has no version")
	}
	visit, err = Visit(body.All, body.Targets)
	return *body.Rev, visit, err
}

// Visit returns a function that passes targets to a visitor, as a full list or as changes of one. If any of them is invalid, it
// returns an error.
func Visit(full bool, targets []Target) (func(ListVisitor), error) {
	for i := range targets {
		if err := targets[i].check(); err != nil {
			return nil, err
		}
	}
	return func(visitor ListVisitor) {
		if full {
			visitor.BeginFullList()
		}
		for _, t := range targets {
			visitor.Entry(t.UID, t.Endpoint, t.Zone, t.Model, logic.CellID(t.Cell), states[t.State], t.Weight, logic.Micros(t.LaunchMillis)*logic.Millisecond)
		}
		visitor.EndList()
	}, nil
}

// Collector is a ListVisitor that collects targets.
type Collector struct {
	Full    bool // it is a full list, and not only changes
	Targets []Target
}

// BeginFullList notes that the list is a full one.
func (c *Collector) BeginFullList() { c.Full = true }

// Entry adds a target.
func (c *Collector) Entry(uid, endpoint, zone, model string, cell logic.CellID, state logic.State, weight float64, launchedAt logic.Micros) {
	c.Targets = append(c.Targets, Target{uid, endpoint, zone, model, stateNames[state], uint16(cell), weight, float64(launchedAt / logic.Millisecond)})
}

// EndList does nothing.
func (c *Collector) EndList() {}
