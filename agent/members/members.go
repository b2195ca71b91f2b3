// Package members tracks which agents and instances are alive, from their heartbeats. It does no I/O; its callers pass in the time.
package members

import (
	"cmp"
	"slices"

	"hatchproxy/logic"
)

// State is what is assumed of a member.
type State string

const (
	Joining   State = "joining" // expected, no heartbeat yet
	Alive     State = "alive"
	Suspected State = "suspected" // no heartbeat for a short time
	Lost      State = "lost"      // no heartbeat for longer
	Back      State = "back"      // heartbeats again after it was lost or left; alive after some time
	Left      State = "left"      // it announced that it leaves
)

// Member is an agent or an instance with its state.
type Member struct {
	Name            string       `json:"name"`
	Kind            string       `json:"kind"` // "agent" or "instance"
	State           State        `json:"state"`
	StateSince      logic.Micros `json:"since"` // when it entered this state, by the callers' clock
	LastHeartbeatAt logic.Micros `json:"heard"` // time of the last heartbeat by that clock, 0 if there was none
}

// List holds the members. New makes one.
type List struct {
	suspectAfter, lostAfter, recoverAfter logic.Micros // as New explains them
	members                               map[string]*Member
}

// New returns an empty list. A member is suspected after suspectAfter without a heartbeat and lost after lostAfter without one. One that
// comes back is alive again after recoverAfter.
func New(suspectAfter, lostAfter, recoverAfter logic.Micros) *List {
	return &List{suspectAfter, lostAfter, recoverAfter, map[string]*Member{}}
}

// Expect adds a member that is expected to join. It does nothing if there is one of that name.
func (l *List) Expect(now logic.Micros, name, kind string) {
	if l.members[name] == nil {
		l.members[name] = &Member{Name: name, Kind: kind, State: Joining, StateSince: now}
	}
}

// RecordHeartbeat records a heartbeat and reports whether the member's state has changed. Heartbeats of unknown members are ignored.
func (l *List) RecordHeartbeat(now logic.Micros, name string) bool {
	m := l.members[name]
	if m == nil {
		return false
	}
	m.LastHeartbeatAt = max(m.LastHeartbeatAt, now)
	switch m.State {
	case Lost, Left:
		return m.setState(now, Back)
	case Back:
		return now-m.StateSince >= l.recoverAfter && m.setState(now, Alive)
	case Alive:
		return false
	}
	return m.setState(now, Alive)
}

// MarkLeft records that a member leaves in an orderly way, and reports whether its state has changed.
func (l *List) MarkLeft(now logic.Micros, name string) bool {
	m := l.members[name]
	return m != nil && m.State != Left && m.setState(now, Left)
}

// Tick updates the states of members whose heartbeats are overdue, and returns those whose state has changed, sorted by name.
func (l *List) Tick(now logic.Micros) []Member {
	var changed []Member
	for _, m := range l.All() {
		member := l.members[m.Name]
		silence := now - max(m.LastHeartbeatAt, 0)
		previous := m.State
		switch {
		case m.State == Left, m.State == Lost:
		case m.LastHeartbeatAt == 0 && now-m.StateSince < l.lostAfter:
		case silence >= l.lostAfter:
			member.setState(now, Lost)
		case silence >= l.suspectAfter && m.State != Suspected && m.State != Joining:
			member.setState(now, Suspected)
		}
		if member.State != previous {
			changed = append(changed, *member)
		}
	}
	return changed
}

// All returns copies of all members, sorted by name.
func (l *List) All() []Member {
	all := make([]Member, 0, len(l.members))
	for _, m := range l.members {
		all = append(all, *m)
	}
	slices.SortFunc(all, func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
	return all
}

// State returns the state of a member, "" if there is none of that name.
func (l *List) State(name string) State {
	if m := l.members[name]; m != nil {
		return m.State
	}
	return ""
}

// setState changes the state. It returns true always, for callers that report whether the state has changed.
func (m *Member) setState(now logic.Micros, s State) bool {
	m.State, m.StateSince = s, now
	return true
}
