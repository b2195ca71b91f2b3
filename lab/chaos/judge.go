package chaos

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"
	"time"
)

// Said is a command that somebody had an agent say.
type Said struct {
	ID     string
	Agent  int
	At     time.Duration // since the begin of the run, on the clock that all processes share
	Number uint64        // 0: the outcome is not known
}

// Seen is what an agent told of itself.
type Seen struct {
	Agent   int
	At      time.Duration
	Leads   bool
	Term    uint64
	Applied uint64
	Past    map[uint64]string // the commands that it knows, by number: the last few hundred

	first uint64 // the least of these numbers
}

// Record is what was seen in a run. It is judged only once the run is over.
type Record struct {
	Agents  int
	Said    []Said
	Seen    []Seen
	Faults  []Fault
	Ended   time.Duration // when the last fault ended
	Settled time.Duration // how long after that all agreed on a new command; 0 if they did not
}

// Breach is what must not be.
type Breach struct {
	Kind string // lost, changed, two leaders, not settled
	At   time.Duration
	What string
}

// Judge tells what was broken:
//   - changed: two agents, or one at two times, know two commands under one number, or one command under two;
//   - lost: a command was answered with a number, and an agent that has applied that far does not know it there, or none
//     knows it at the end;
//   - two leaders: two agents led in one term;
//   - not settled: after the last fault ended they did not agree on a new command within the bound.
func Judge(r Record, bound time.Duration) []Breach {
	var found []Breach
	add := func(kind string, at time.Duration, what string, about ...any) {
		found = append(found, Breach{kind, at, fmt.Sprintf(what, about...)})
	}
	seen := slices.Clone(r.Seen)
	slices.SortStableFunc(seen, func(a, b Seen) int { return cmp.Compare(a.At, b.At) })
	leaders, ids, numbers := map[uint64]int{}, map[uint64]string{}, map[string]uint64{}
	told := map[string]bool{} // each breach once
	once := func(key string) bool { was := told[key]; told[key] = true; return !was }
	for i, s := range seen {
		if seen[i].first = math.MaxUint64; len(s.Past) > 0 {
			seen[i].first = slices.Min(slices.Collect(maps.Keys(s.Past)))
		}
		if s.Leads {
			if other, known := leaders[s.Term]; known && other != s.Agent && once(fmt.Sprint("term", s.Term)) {
				add("two leaders", s.At, "a%d and a%d in term %d", other, s.Agent, s.Term)
			}
			leaders[s.Term] = s.Agent
		}
		for _, n := range sorted(s.Past) {
			id := s.Past[n]
			if other, known := ids[n]; known && other != id && once(fmt.Sprint("number", n)) {
				add("changed", s.At, "number %d is %s, and %s at a%d", n, other, id, s.Agent)
			}
			if other, known := numbers[id]; known && other != n && once("id"+id) {
				add("changed", s.At, "%s is number %d, and %d at a%d", id, other, n, s.Agent)
			}
			ids[n], numbers[id] = id, n
		}
	}
	for _, c := range r.Said {
		if c.Number == 0 {
			continue
		}
		for _, s := range seen {
			if s.Applied >= c.Number && c.Number >= s.first && s.Past[c.Number] != c.ID && once("lost"+c.ID) {
				add("lost", s.At, "%s was answered with number %d; a%d has applied %d and holds %q there", c.ID, c.Number, s.Agent, s.Applied, s.Past[c.Number])
			}
		}
		if numbers[c.ID] != c.Number && once("lost"+c.ID) {
			add("lost", c.At, "%s was answered with number %d by a%d and never seen there: it was seen at %d, and there %q", c.ID, c.Number, c.Agent, numbers[c.ID], ids[c.Number])
		}
	}
	if r.Settled == 0 || r.Settled > bound {
		add("not settled", r.Ended, "%v after the last fault (0: never); the bound is %v", r.Settled.Round(time.Millisecond), bound)
	}
	return found
}

func sorted(m map[uint64]string) []uint64 { return slices.Sorted(maps.Keys(m)) }

// Bound is how long after the last fault agents may take to agree on a new command and all have it; docs/faults.md
// derives it.
const Bound = 17 * time.Second
