package chaos

import (
	"errors"
	"fmt"
	"maps"
	"os"
	"slices"
	"strings"
	"time"

	"hatchproxy/internal/tomlfile"
)

// File is what is to be drawn, as it is written down.
type File struct {
	Agents  int      `toml:"agents"` // all vote
	Sites   int      `toml:"sites"`  // machine m stands in site m modulo this
	Faults  int      `toml:"faults"` // a run
	Kinds   []string // all if missing
	Between float64  `toml:"between"` // seconds that a way between two sites takes
	Beat    float64  `toml:"beat"`    // seconds that a leader may be silent; 0 for the agents' own
	Clocks  bool     `toml:"clocks"`  // the agents' clocks are wrong
	Duties  []string // that all agents stand for
	Settles float64  `toml:"settles"` // seconds after the last fault
}

// ReadFile reads one; an error tells file, line and cause.
func ReadFile(path string) (*File, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	f := &File{}
	if err := tomlfile.Decode(path, text, f); err != nil {
		return nil, err
	}
	var faults []error
	no := func(bad bool, what string, about ...any) {
		if bad {
			faults = append(faults, fmt.Errorf(what, about...))
		}
	}
	no(f.Agents != 3 && f.Agents != 5, "agents: %d: three or five vote", f.Agents)
	no(f.Sites < 1 || f.Sites > f.Agents, "sites: %d: 1 to the number of agents", f.Sites)
	no(f.Faults < 1 || f.Faults > 100, "faults: %d: 1 to 100", f.Faults)
	no(f.Between < 0 || f.Between > 0.5, "between: %g: 0 to 0.5 seconds", f.Between)
	no(f.Beat < 0 || f.Beat > 10, "beat: %g: 0 to 10 seconds", f.Beat)
	no(f.Settles < 1 || f.Settles > waiting.Seconds(), "settles: %g: 1 to %g seconds", f.Settles, waiting.Seconds())
	for _, k := range f.Kinds {
		no(!slices.Contains(Kinds, Kind(k)), "kinds: %q is none of %v", k, Kinds)
	}
	if err := errors.Join(faults...); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	if len(f.Kinds) == 0 {
		for _, k := range Kinds {
			f.Kinds = append(f.Kinds, string(k))
		}
	}
	return f, nil
}

// Drawn are the faults of a run.
func (f *File) Drawn(seed int64) []Fault {
	kinds := make([]Kind, len(f.Kinds))
	for i, k := range f.Kinds {
		kinds[i] = Kind(k)
	}
	return Draw(seed, f.Faults, f.Agents, f.Sites, kinds)
}

// Layout is what stands where, in a run with a seed.
func (f *File) Layout(seed int64) Layout {
	seconds := func(x float64) time.Duration { return time.Duration(x * float64(time.Second)) }
	return Layout{Agents: f.Agents, Sites: f.Sites, Seed: seed, Between: seconds(f.Between), Beat: seconds(f.Beat), Clocks: f.Clocks, Duties: f.Duties}
}

// Bound is how long agents may take to settle.
func (f *File) Bound() time.Duration { return time.Duration(f.Settles * float64(time.Second)) }

// Tell writes a record down in time order: faults, what was said and answered, and each turn that an agent told of.
func (r Record) Tell() string {
	type line struct {
		at   time.Duration
		text string
	}
	var lines []line
	add := func(at time.Duration, what string, about ...any) {
		lines = append(lines, line{at, fmt.Sprintf(what, about...)})
	}
	for _, f := range r.Faults {
		add(f.At, "fault   %s", f)
	}
	for _, s := range r.Said {
		if s.Number > 0 {
			add(s.At, "answer  a%d: %s, said at %.3f, is number %d", s.Agent, s.ID, s.Began.Seconds(), s.Number)
		} else {
			add(s.At, "unknown a%d: %s", s.Agent, s.ID)
		}
	}
	before := map[int]Seen{}
	for _, s := range r.Seen {
		if b := before[s.Agent]; b.Term != s.Term || b.Leads != s.Leads || s.Applied < b.Applied || !maps.Equal(b.Holds, s.Holds) {
			add(s.At, "seen    a%d: term %d, leads %t, applied %d, holds %v", s.Agent, s.Term, s.Leads, s.Applied, s.Holds)
		}
		before[s.Agent] = s
	}
	for _, f := range r.Fell {
		add(f.At, "fell    a%d", f.Agent)
	}
	for _, s := range before { // what each knew last
		add(s.At, "last    a%d: term %d, leads %t, applied %d", s.Agent, s.Term, s.Leads, s.Applied)
	}
	went := map[string]Held{}
	for _, h := range r.Held {
		if b, known := went[h.Instance]; !known || b.Process != h.Process || b.Term != h.Term || !maps.Equal(b.Orders, h.Orders) {
			add(h.At, "goes by %s: process %d, term %d, %v", h.Instance, h.Process, h.Term, h.Orders)
		}
		went[h.Instance] = h
	}
	slices.SortStableFunc(lines, func(a, b line) int { return int(a.at - b.at) })
	var out strings.Builder
	for _, l := range lines {
		fmt.Fprintf(&out, "%9.3f %s\n", l.at.Seconds(), l.text)
	}
	return out.String()
}
