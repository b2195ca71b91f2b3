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
	Name  string       `json:"name"`
	Kind  string       `json:"kind"`
	State State        `json:"state"`
	Since logic.Micros `json:"since"`
	Heard logic.Micros `json:"heard"` // 0 for never
}

// Roll is who there is.
type Roll struct {
	suspect, lose, settle logic.Micros
	members               map[string]*Member
}

// New makes an empty roll: a member is suspected after a silence, lost after a longer one, and alive again some time
// after it is back.
func New(suspect, lose, settle logic.Micros) *Roll {
	return &Roll{suspect, lose, settle, map[string]*Member{}}
}

// Expect enters one that is to come.
func (r *Roll) Expect(now logic.Micros, name, kind string) {
	if r.members[name] == nil {
		r.members[name] = &Member{Name: name, Kind: kind, State: Joining, Since: now}
	}
}

// Heard takes a heartbeat; true if the member's state has changed.
func (r *Roll) Heard(now logic.Micros, name string) bool {
	m := r.members[name]
	if m == nil {
		return false
	}
	m.Heard = max(m.Heard, now)
	switch m.State {
	case Lost, Left:
		return m.to(now, Back)
	case Back:
		return now-m.Since >= r.settle && m.to(now, Alive)
	case Alive:
		return false
	}
	return m.to(now, Alive)
}

// Leaves takes the word of one that goes.
func (r *Roll) Leaves(now logic.Micros, name string) bool {
	m := r.members[name]
	return m != nil && m.State != Left && m.to(now, Left)
}

// Tick finds those that have been silent, and returns whose state has changed, by name.
func (r *Roll) Tick(now logic.Micros) []Member {
	var changed []Member
	for _, m := range r.All() {
		p := r.members[m.Name]
		quiet := now - max(m.Heard, 0)
		was := m.State
		switch {
		case m.State == Left, m.State == Lost:
		case m.Heard == 0 && now-m.Since < r.lose:
		case quiet >= r.lose:
			p.to(now, Lost)
		case quiet >= r.suspect && m.State != Suspected && m.State != Joining:
			p.to(now, Suspected)
		}
		if p.State != was {
			changed = append(changed, *p)
		}
	}
	return changed
}

// All are the members by name.
func (r *Roll) All() []Member {
	all := make([]Member, 0, len(r.members))
	for _, m := range r.members {
		all = append(all, *m)
	}
	slices.SortFunc(all, func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
	return all
}

// State is a member's; "" if there is none of that name.
func (r *Roll) State(name string) State {
	if m := r.members[name]; m != nil {
		return m.State
	}
	return ""
}

func (m *Member) to(now logic.Micros, s State) bool {
	m.State, m.Since = s, now
	return true
}
