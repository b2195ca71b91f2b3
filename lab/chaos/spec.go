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

// Spec is what is to be drawn, as it is written down.
type Spec struct {
	AgentCount             int      `toml:"agents"` // all vote
	SiteCount              int      `toml:"sites"`  // machine m stands in site m modulo this
	FaultCount             int      `toml:"faults"` // a run
	Kinds                  []string // all if missing
	InterSiteDelaySeconds  float64  `toml:"between"` // seconds that a way between two sites takes
	ElectionTimeoutSeconds float64  `toml:"beat"`    // seconds that a leader may be silent; 0 for the agents' own
	HasClockErrors         bool     `toml:"clocks"`  // the agents' clocks are wrong
	Duties                 []string // that all agents stand for
	SettleBoundSeconds     float64  `toml:"settles"` // seconds after the last fault
}

// ReadSpec reads one; an error tells file, line and cause.
func ReadSpec(path string) (*Spec, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	f := &Spec{}
	if err := tomlfile.Decode(path, text, f); err != nil {
		return nil, err
	}
	var faults []error
	no := func(bad bool, what string, about ...any) {
		if bad {
			faults = append(faults, fmt.Errorf(what, about...))
		}
	}
	no(f.AgentCount != 3 && f.AgentCount != 5, "agents: %d: three or five vote", f.AgentCount)
	no(f.SiteCount < 1 || f.SiteCount > f.AgentCount, "sites: %d: 1 to the number of agents", f.SiteCount)
	no(f.FaultCount < 1 || f.FaultCount > 100, "faults: %d: 1 to 100", f.FaultCount)
	no(f.InterSiteDelaySeconds < 0 || f.InterSiteDelaySeconds > 0.5, "between: %g: 0 to 0.5 seconds", f.InterSiteDelaySeconds)
	no(f.ElectionTimeoutSeconds < 0 || f.ElectionTimeoutSeconds > 10, "beat: %g: 0 to 10 seconds", f.ElectionTimeoutSeconds)
	no(f.SettleBoundSeconds < 1 || f.SettleBoundSeconds > settleTimeout.Seconds(), "settles: %g: 1 to %g seconds", f.SettleBoundSeconds, settleTimeout.Seconds())
	for _, k := range f.Kinds {
		no(!slices.Contains(AgentKinds, Kind(k)), "kinds: %q is none of %v", k, AgentKinds)
	}
	if err := errors.Join(faults...); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	if len(f.Kinds) == 0 {
		for _, k := range AgentKinds {
			f.Kinds = append(f.Kinds, string(k))
		}
	}
	return f, nil
}

// Schedule are the faults of a run.
func (f *Spec) Schedule(seed int64) []Fault {
	kinds := make([]Kind, len(f.Kinds))
	for i, k := range f.Kinds {
		kinds[i] = Kind(k)
	}
	return DrawSchedule(seed, f.FaultCount, f.AgentCount, f.SiteCount, kinds)
}

// ClusterConfig is what stands where, in a run with a seed.
func (f *Spec) ClusterConfig(seed int64) ClusterConfig {
	seconds := func(x float64) time.Duration { return time.Duration(x * float64(time.Second)) }
	return ClusterConfig{AgentCount: f.AgentCount, SiteCount: f.SiteCount, Seed: seed, InterSiteDelay: seconds(f.InterSiteDelaySeconds), ElectionTimeout: seconds(f.ElectionTimeoutSeconds), HasClockErrors: f.HasClockErrors, Duties: f.Duties}
}

// SettleBound is how long agents may take to settle.
func (f *Spec) SettleBound() time.Duration {
	return time.Duration(f.SettleBoundSeconds * float64(time.Second))
}

// Timeline writes a record down in time order: faults, what was said and answered, and each turn that an agent told of.
func (r Record) Timeline() string {
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
	for _, s := range r.Submissions {
		if s.Number > 0 {
			add(s.EndedAt, "answer  a%d: %s, said at %.3f, is number %d", s.Agent, s.ID, s.SubmittedAt.Seconds(), s.Number)
		} else {
			add(s.EndedAt, "unknown a%d: %s", s.Agent, s.ID)
		}
	}
	before := map[int]AgentReport{}
	for _, s := range r.AgentReports {
		if b := before[s.Agent]; b.Term != s.Term || b.IsLeader != s.IsLeader || s.AppliedIndex < b.AppliedIndex || !maps.Equal(b.HeldDuties, s.HeldDuties) {
			add(s.AskedAt, "seen    a%d: term %d, leads %t, applied %d, holds %v", s.Agent, s.Term, s.IsLeader, s.AppliedIndex, s.HeldDuties)
		}
		before[s.Agent] = s
	}
	for _, f := range r.UnexpectedExits {
		add(f.At, "fell    a%d", f.Agent)
	}
	for _, s := range before { // what each knew last
		add(s.AskedAt, "last    a%d: term %d, leads %t, applied %d", s.Agent, s.Term, s.IsLeader, s.AppliedIndex)
	}
	went := map[string]InstanceReport{}
	for _, h := range r.InstanceReports {
		if b, known := went[h.Instance]; !known || b.ProcessStartMicros != h.ProcessStartMicros || b.Term != h.Term || !maps.Equal(b.Orders, h.Orders) {
			add(h.AskedAt, "goes by %s: process %d, term %d, %v", h.Instance, h.ProcessStartMicros, h.Term, h.Orders)
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
