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

// Spec describes a cluster and the faults to draw for its runs. It is read from a TOML file.
type Spec struct {
	AgentCount             int      `toml:"agents"` // 3 or 5; all are voters
	SiteCount              int      `toml:"sites"`  // machine m is in site m modulo SiteCount
	FaultCount             int      `toml:"faults"` // in each run
	Kinds                  []string // kinds of faults to draw; all of AgentKinds if left out
	InterSiteDelaySeconds  float64  `toml:"between"` // one-way delay between two sites
	ElectionTimeoutSeconds float64  `toml:"beat"`    // how long a leader may be silent before an election; 0 for the agents' default
	HasClockErrors         bool     `toml:"clocks"`  // the agents' clocks are inaccurate
	Duties                 []string // duties that all agents are candidates for
	SettleBoundSeconds     float64  `toml:"settles"` // how long agents may take to settle after the last fault
}

// ReadSpec reads and validates a file. Errors name the file, the key and the cause, and the line of syntax errors and unknown keys.
func ReadSpec(path string) (*Spec, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	s := &Spec{}
	if err := tomlfile.Decode(path, text, s); err != nil {
		return nil, err
	}
	var problems []error
	reject := func(isInvalid bool, format string, args ...any) {
		if isInvalid {
			problems = append(problems, fmt.Errorf(format, args...))
		}
	}
	reject(s.AgentCount != 3 && s.AgentCount != 5, "agents: %d: must be 3 or 5", s.AgentCount)
	reject(s.SiteCount < 1 || s.SiteCount > s.AgentCount, "sites: %d: must be from 1 to the number of agents", s.SiteCount)
	reject(s.FaultCount < 1 || s.FaultCount > 100, "faults: %d: must be from 1 to 100", s.FaultCount)
	reject(s.InterSiteDelaySeconds < 0 || s.InterSiteDelaySeconds > 0.5, "between: %g: must be from 0 to 0.5 seconds", s.InterSiteDelaySeconds)
	reject(s.ElectionTimeoutSeconds < 0 || s.ElectionTimeoutSeconds > 10, "beat: %g: must be from 0 to 10 seconds", s.ElectionTimeoutSeconds)
	reject(s.SettleBoundSeconds < 1 || s.SettleBoundSeconds > settleTimeout.Seconds(), "settles: %g: must be from 1 to %g seconds", s.SettleBoundSeconds, settleTimeout.Seconds())
	for _, kind := range s.Kinds {
		reject(!slices.Contains(AgentKinds, Kind(kind)), "kinds: %q is not one of %v", kind, AgentKinds)
	}
	if err := errors.Join(problems...); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	if len(s.Kinds) == 0 {
		for _, kind := range AgentKinds {
			s.Kinds = append(s.Kinds, string(kind))
		}
	}
	return s, nil
}

// Schedule returns the faults of the run with the given seed.
func (s *Spec) Schedule(seed int64) []Fault {
	kinds := make([]Kind, len(s.Kinds))
	for i, kind := range s.Kinds {
		kinds[i] = Kind(kind)
	}
	return DrawSchedule(seed, s.FaultCount, s.AgentCount, s.SiteCount, kinds)
}

// ClusterConfig returns the configuration of the cluster for the run with the given seed.
func (s *Spec) ClusterConfig(seed int64) ClusterConfig {
	duration := func(seconds float64) time.Duration { return time.Duration(seconds * float64(time.Second)) }
	return ClusterConfig{AgentCount: s.AgentCount, SiteCount: s.SiteCount, Seed: seed, InterSiteDelay: duration(s.InterSiteDelaySeconds), ElectionTimeout: duration(s.ElectionTimeoutSeconds), HasClockErrors: s.HasClockErrors, Duties: s.Duties}
}

// SettleBound returns how long agents may take to settle after the last fault.
func (s *Spec) SettleBound() time.Duration {
	return time.Duration(s.SettleBoundSeconds * float64(time.Second))
}

// Timeline formats a record as text, a line per event in the order of time: faults, outcomes of commands, unexpected exits, changed
// reports of agents and instances, and the last report of each agent. Times are in seconds since the start of the recording. An "unknown"
// command is one without an answer; "fell" marks an unexpected exit, and "applied" the orders that an instance has applied.
func (r Record) Timeline() string {
	type line struct {
		at   time.Duration
		text string
	}
	var lines []line
	add := func(at time.Duration, format string, args ...any) {
		lines = append(lines, line{at, fmt.Sprintf(format, args...)})
	}
	for _, f := range r.Faults {
		add(f.At, "fault   %s", f)
	}
	for _, s := range r.Submissions {
		if s.Number > 0 {
			add(s.EndedAt, "answer  a%d: %s, submitted at %.3f, is number %d", s.Agent, s.ID, s.SubmittedAt.Seconds(), s.Number)
		} else {
			add(s.EndedAt, "unknown a%d: %s", s.Agent, s.ID)
		}
	}
	lastAgentReports := map[int]AgentReport{}
	for _, report := range r.AgentReports {
		if last := lastAgentReports[report.Agent]; last.Term != report.Term || last.IsLeader != report.IsLeader || report.AppliedIndex < last.AppliedIndex || !maps.Equal(last.HeldDuties, report.HeldDuties) {
			add(report.AskedAt, "seen    a%d: term %d, leads %t, applied %d, holds %v", report.Agent, report.Term, report.IsLeader, report.AppliedIndex, report.HeldDuties)
		}
		lastAgentReports[report.Agent] = report
	}
	for _, exit := range r.UnexpectedExits {
		add(exit.At, "fell    a%d", exit.Agent)
	}
	for _, report := range lastAgentReports {
		add(report.AskedAt, "last    a%d: term %d, leads %t, applied %d", report.Agent, report.Term, report.IsLeader, report.AppliedIndex)
	}
	lastInstanceReports := map[string]InstanceReport{}
	for _, report := range r.InstanceReports {
		if last, known := lastInstanceReports[report.Instance]; !known || last.ProcessStartMicros != report.ProcessStartMicros || last.Term != report.Term || !maps.Equal(last.Orders, report.Orders) {
			add(report.AskedAt, "applied %s: process %d, term %d, %v", report.Instance, report.ProcessStartMicros, report.Term, report.Orders)
		}
		lastInstanceReports[report.Instance] = report
	}
	slices.SortStableFunc(lines, func(a, b line) int { return int(a.at - b.at) })
	var out strings.Builder
	for _, l := range lines {
		fmt.Fprintf(&out, "%9.3f %s\n", l.at.Seconds(), l.text)
	}
	return out.String()
}
