// Package members tells who is there, from heartbeats: free of I/O and handed the time.
package members

import (
	"cmp"
	"slices"

	"hatchproxy/logic"
)

// State is what a member is taken to be.
type State string

const (
	Joining   State = "joining" // expected, not heard yet
	Alive     State = "alive"
	Suspected State = "suspected" // it has missed some heartbeats
	Lost      State = "lost"      // it has missed many
	Back      State = "back"      // heard again after it was lost; alive a while later
	Left      State = "left"      // it went in good order
)

// Member is one with its state and since when.
type Member struct {
	Name       string       `json:"name"`
	Kind       string       `json:"kind"`
	State      State        `json:"state"`
	StateSince logic.Micros `json:"since"`
	HeardAt    logic.Micros `json:"heard"` // 0 for never
}

// List is who there is.
type List struct {
	suspectAfter, lostAfter, recoverAfter logic.Micros
	members                               map[string]*Member
}

// New makes an empty roll: a member is suspected after a silence, lost after a longer one, and alive again some time
// after it is back.
func New(suspect, lose, settle logic.Micros) *List {
	return &List{suspect, lose, settle, map[string]*Member{}}
}

// Expect enters one that is to come.
func (r *List) Expect(now logic.Micros, name, kind string) {
	if r.members[name] == nil {
		r.members[name] = &Member{Name: name, Kind: kind, State: Joining, StateSince: now}
	}
}

// RecordHeartbeat takes a heartbeat; true if the member's state has changed.
func (r *List) RecordHeartbeat(now logic.Micros, name string) bool {
	m := r.members[name]
	if m == nil {
		return false
	}
	m.HeardAt = max(m.HeardAt, now)
	switch m.State {
	case Lost, Left:
		return m.setState(now, Back)
	case Back:
		return now-m.StateSince >= r.recoverAfter && m.setState(now, Alive)
	case Alive:
		return false
	}
	return m.setState(now, Alive)
}

// MarkLeft takes the word of one that goes.
func (r *List) MarkLeft(now logic.Micros, name string) bool {
	m := r.members[name]
	return m != nil && m.State != Left && m.setState(now, Left)
}

// Tick finds those that have been silent, and returns whose state has changed, by name.
func (r *List) Tick(now logic.Micros) []Member {
	var changed []Member
	for _, m := range r.All() {
		p := r.members[m.Name]
		quiet := now - max(m.HeardAt, 0)
		was := m.State
		switch {
		case m.State == Left, m.State == Lost:
		case m.HeardAt == 0 && now-m.StateSince < r.lostAfter:
		case quiet >= r.lostAfter:
			p.setState(now, Lost)
		case quiet >= r.suspectAfter && m.State != Suspected && m.State != Joining:
			p.setState(now, Suspected)
		}
		if p.State != was {
			changed = append(changed, *p)
		}
	}
	return changed
}

// All are the members by name.
func (r *List) All() []Member {
	all := make([]Member, 0, len(r.members))
	for _, m := range r.members {
		all = append(all, *m)
	}
	slices.SortFunc(all, func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
	return all
}

// State is a member's; "" if there is none of that name.
func (r *List) State(name string) State {
	if m := r.members[name]; m != nil {
		return m.State
	}
	return ""
}

func (m *Member) setState(now logic.Micros, s State) bool {
	m.State, m.StateSince = s, now
	return true
}
