package chaos

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"
	"time"
)

// Submission is a command that a client submitted to an agent, with its outcome. All times of a record are since the start of the
// recording, by one clock.
type Submission struct {
	ID          string
	Agent       int
	SubmittedAt time.Duration
	EndedAt     time.Duration // when the answer came or the client gave up
	Number      uint64        // the command's number in the log; 0 if the outcome is unknown
}

// AppliedOrder is the latest order on a server that an instance has applied.
type AppliedOrder struct {
	Number uint64 // of the command in the log
	ID     string // of the command
}

// InstanceReport is what an instance reported about itself.
type InstanceReport struct {
	Instance           string
	Machine            int
	AskedAt            time.Duration
	ProcessStartMicros int64                   // Unix time at which its process started, in microseconds
	Term               uint64                  // highest term of an author of the orders that it received
	Orders             map[string]AppliedOrder // by server
}

// RecordedExit is an unexpected exit of an agent.
type RecordedExit struct {
	Agent int
	At    time.Duration
}

// AgentReport is what an agent reported about itself.
type AgentReport struct {
	Agent          int
	AskedAt        time.Duration
	AnsweredAt     time.Duration
	IsLeader       bool
	Term           uint64
	AppliedIndex   uint64            // number of the last command that it has applied
	HeldDuties     map[string]uint64 // the tokens of the duties that it may act on
	RecentCommands map[uint64]string // the IDs of the last few hundred commands, by number

	oldestNumber uint64 // the lowest number in RecentCommands; set by FindBreaches
}

// Record is what was recorded in a run. It is checked after the run.
type Record struct {
	AgentCount         int
	Submissions        []Submission
	AgentReports       []AgentReport
	InstanceReports    []InstanceReport
	UnexpectedExits    []RecordedExit
	Faults             []Fault
	LastFaultEnd       time.Duration
	AgentSettleTime    time.Duration // from LastFaultEnd until all agents had applied a new command; 0 if they did not
	InstanceSettleTime time.Duration // from LastFaultEnd until all instances had applied it; 0 if they did not

	HasInstances bool // whether the cluster has instances
}

// Breach is a violation of what the agents and instances guarantee.
type Breach struct {
	Kind        string // lost, changed, two leaders, two holders, not settled, out of order, stale, forgot, fell
	At          time.Duration
	Description string
}

// FindBreaches checks a record and returns all breaches found in it, of these kinds:
//   - changed: agents, or one agent at two times, report two commands under one number, or one command under two numbers;
//   - lost: a command was answered with a number, but an agent that has applied commands up to it has another one there, or no agent
//     ever reported the command under that number;
//   - two leaders: two agents led in the same term;
//   - not settled: the agents did not all apply a new command within the bound after the last fault, or the instances within
//     InstanceSettleBound more;
//   - out of order: the answers are not linearizable: no order of the commands is consistent with their numbers and with the times at
//     which they were submitted and answered;
//   - stale: an instance went back to an older order or to the orders of an author of a lower term, or has applied an order that is not
//     the committed command of that number;
//   - forgot: an instance went back to an older order at a restart although its machine kept its disk;
//   - two holders: an agent could act on a duty after another could with a higher token, or two could with the same token;
//   - fell: an agent exited by itself, other than after its disk was full.
func FindBreaches(r Record, bound time.Duration) []Breach {
	var breaches []Breach
	add := func(kind string, at time.Duration, format string, args ...any) {
		breaches = append(breaches, Breach{kind, at, fmt.Sprintf(format, args...)})
	}
	reports := slices.Clone(r.AgentReports)
	slices.SortStableFunc(reports, func(a, b AgentReport) int { return cmp.Compare(a.AskedAt, b.AskedAt) })
	leaderByTerm, idByNumber, numberByID := map[uint64]int{}, map[uint64]string{}, map[string]uint64{}
	isReported := map[string]bool{} // by breach; each is reported once
	isFirst := func(key string) bool { wasReported := isReported[key]; isReported[key] = true; return !wasReported }
	for i, s := range reports {
		if reports[i].oldestNumber = math.MaxUint64; len(s.RecentCommands) > 0 {
			reports[i].oldestNumber = slices.Min(slices.Collect(maps.Keys(s.RecentCommands)))
		}
		if s.IsLeader {
			if other, known := leaderByTerm[s.Term]; known && other != s.Agent && isFirst(fmt.Sprint("term", s.Term)) {
				add("two leaders", s.AskedAt, "a%d and a%d both led in term %d", other, s.Agent, s.Term)
			}
			leaderByTerm[s.Term] = s.Agent
		}
		for _, n := range sortedNumbers(s.RecentCommands) {
			id := s.RecentCommands[n]
			if other, known := idByNumber[n]; known && other != id && isFirst(fmt.Sprint("number", n)) {
				add("changed", s.AskedAt, "number %d is %s, but %s according to a%d", n, other, id, s.Agent)
			}
			if other, known := numberByID[id]; known && other != n && isFirst("id"+id) {
				add("changed", s.AskedAt, "%s has number %d, but %d according to a%d", id, other, n, s.Agent)
			}
			idByNumber[n], numberByID[id] = id, n
		}
	}
	for _, c := range r.Submissions {
		if c.Number == 0 {
			continue
		}
		for _, s := range reports {
			if s.AppliedIndex >= c.Number && c.Number >= s.oldestNumber && s.RecentCommands[c.Number] != c.ID && isFirst("lost"+c.ID) {
				add("lost", s.AskedAt, "%s was answered with number %d, but a%d has applied commands up to %d and has %q there", c.ID, c.Number, s.Agent, s.AppliedIndex, s.RecentCommands[c.Number])
			}
		}
		if numberByID[c.ID] != c.Number && isFirst("lost"+c.ID) {
			add("lost", c.EndedAt, "%s was answered with number %d by a%d, but was never seen there: it was seen at %d, and %q at the answered number", c.ID, c.Number, c.Agent, numberByID[c.ID], idByNumber[c.Number])
		}
	}
	for _, exit := range r.UnexpectedExits {
		add("fell", exit.At, "a%d exited by itself", exit.Agent)
	}
	breaches = append(breaches, checkLinearizability(r.Submissions, numberByID)...)
	breaches = append(breaches, checkInstances(r, idByNumber)...)
	breaches = append(breaches, checkDutyHolders(reports)...)
	if r.HasInstances && r.AgentSettleTime > 0 && (r.InstanceSettleTime == 0 || r.InstanceSettleTime > bound+InstanceSettleBound) {
		add("not settled", r.LastFaultEnd, "all instances had applied the last order %v after the last fault (0: never); the bound is %v", r.InstanceSettleTime.Round(time.Millisecond), bound+InstanceSettleBound)
	}
	if r.AgentSettleTime == 0 || r.AgentSettleTime > bound {
		add("not settled", r.LastFaultEnd, "all agents had applied a new command %v after the last fault (0: never); the bound is %v", r.AgentSettleTime.Round(time.Millisecond), bound)
	}
	return breaches
}

// checkInstances finds the breaches stale and forgot. idByNumber has the IDs of the committed commands. Each kind is reported once per
// instance.
func checkInstances(r Record, idByNumber map[uint64]string) (breaches []Breach) {
	reports := slices.Clone(r.InstanceReports)
	slices.SortStableFunc(reports, func(a, b InstanceReport) int { return cmp.Compare(a.AskedAt, b.AskedAt) })
	lastReports := map[string]InstanceReport{}
	isReported := map[string]bool{}
	for _, report := range reports {
		last, known := lastReports[report.Instance]
		lastReports[report.Instance] = report
		add := func(kind, format string, args ...any) {
			if key := kind + report.Instance; !isReported[key] {
				isReported[key] = true
				breaches = append(breaches, Breach{kind, report.AskedAt, report.Instance + ": " + fmt.Sprintf(format, args...)})
			}
		}
		kind := "stale"
		if known && last.ProcessStartMicros != report.ProcessStartMicros {
			kind = "forgot"
		}
		if known && kind == "stale" && report.Term < last.Term {
			add(kind, "had orders of an author of term %d, and now of term %d", last.Term, report.Term)
		}
		hasDiskFault := slices.ContainsFunc(r.Faults, func(f Fault) bool {
			return (f.Kind == DiskLost || f.Kind == DiskRolledBack) && f.Target == report.Machine
		})
		for _, server := range slices.Sorted(maps.Keys(last.Orders)) {
			if lastOrder, order := last.Orders[server], report.Orders[server]; order.Number < lastOrder.Number && !(kind == "forgot" && hasDiskFault) {
				add(kind, "had applied number %d on %s, and now has %d", lastOrder.Number, server, order.Number)
			}
		}
		for server, order := range report.Orders {
			if id, known := idByNumber[order.Number]; known && id != order.ID {
				add("stale", "has applied %q as number %d on %s, but the committed command is %q", order.ID, order.Number, server, id)
			}
		}
	}
	return breaches
}

// checkDutyHolders finds the breach two holders. The reports must be in the order of AskedAt.
func checkDutyHolders(reports []AgentReport) (breaches []Breach) {
	type holding struct {
		token uint64
		agent int
		at    time.Duration // when the agent's report had arrived
	}
	holdings := map[string][]holding{} // by duty, the first of each token
	isReported := map[string]bool{}
	for _, report := range reports {
		for _, duty := range slices.Sorted(maps.Keys(report.HeldDuties)) {
			token := report.HeldDuties[duty]
			for _, other := range holdings[duty] {
				if key := fmt.Sprint(duty, token, other.token); other.token > token && other.at < report.AskedAt && !isReported[key] {
					isReported[key] = true
					breaches = append(breaches, Breach{"two holders", report.AskedAt, fmt.Sprintf("a%d may act on %s with token %d, but a%d already could with token %d at %v", report.Agent, duty, token, other.agent, other.token, other.at)})
				}
				if other.token == token && other.agent != report.Agent && !isReported[fmt.Sprint(duty, token)] {
					isReported[fmt.Sprint(duty, token)] = true
					breaches = append(breaches, Breach{"two holders", report.AskedAt, fmt.Sprintf("a%d and a%d may both act on %s with token %d", other.agent, report.Agent, duty, token)})
				}
			}
			if !slices.ContainsFunc(holdings[duty], func(h holding) bool { return h.token == token }) {
				holdings[duty] = append(holdings[duty], holding{token, report.Agent, report.AnsweredAt})
			}
		}
	}
	return breaches
}

// UnheldGaps returns how long no agent could act on a duty, each time that the duty got a new token or that no holder was seen for
// several polls, sorted by length. A gap is the time from the last report of a holder to the next, so that it is too long by up to twice
// agentPollInterval.
func (r Record) UnheldGaps(duty string) (gaps []time.Duration) {
	lastSeen, lastToken := time.Duration(-1), uint64(0)
	reports := slices.Clone(r.AgentReports)
	slices.SortStableFunc(reports, func(a, b AgentReport) int { return cmp.Compare(a.AskedAt, b.AskedAt) })
	for _, report := range reports {
		if report.HeldDuties[duty] == 0 {
			continue
		}
		if lastSeen >= 0 && (report.AskedAt-lastSeen > 4*agentPollInterval || lastToken != report.HeldDuties[duty]) {
			gaps = append(gaps, report.AskedAt-lastSeen)
		}
		lastSeen, lastToken = report.AskedAt, report.HeldDuties[duty]
	}
	slices.Sort(gaps)
	return gaps
}

// checkLinearizability finds the breach out of order. In a single log, the place of a command comes after those of all commands that were
// answered before it was submitted, and every submission of a command is answered with the same place. As the answers give the places,
// one pass in their order is enough: the earliest moment at which a command can have taken its place is that of its first submission, or
// that of the command before it if that is later, and it must not be after the command's first answer. places has the numbers of
// commands that agents reported, by ID.
func checkLinearizability(submissions []Submission, places map[string]uint64) (breaches []Breach) {
	type placement struct {
		id               string
		place            uint64
		earliest, latest time.Duration // when the command can have taken its place
	}
	placements := map[string]*placement{}
	for _, s := range submissions {
		p := placements[s.ID]
		if p == nil {
			p = &placement{s.ID, places[s.ID], s.SubmittedAt, math.MaxInt64}
			placements[s.ID] = p
		}
		p.earliest = min(p.earliest, s.SubmittedAt)
		if s.Number == 0 {
			continue
		}
		if p.place != 0 && p.place != s.Number {
			breaches = append(breaches, Breach{"out of order", s.EndedAt, fmt.Sprintf("%s has number %d, but was answered with %d", s.ID, p.place, s.Number)})
		}
		p.place, p.latest = s.Number, min(p.latest, s.EndedAt)
	}
	inOrder := slices.SortedFunc(maps.Values(placements), func(a, b *placement) int { return cmp.Compare(a.place, b.place) })
	var previous placement // the command with the latest earliest moment so far
	for _, p := range inOrder {
		if p.place == 0 {
			continue // it was not committed, or its number is unknown
		}
		if p.earliest > previous.earliest {
			previous = *p
		}
		if previous.earliest > p.latest {
			breaches = append(breaches, Breach{"out of order", p.latest, fmt.Sprintf("%s was answered with %d before %s was submitted, which has number %d", p.id, p.place, previous.id, previous.place)})
		}
	}
	return breaches
}

// sortedNumbers returns the keys of m in rising order.
func sortedNumbers(m map[uint64]string) []uint64 { return slices.Sorted(maps.Keys(m)) }

const (
	// SettleBound is how long agents may take after the last fault to commit a new command and all apply it; docs/faults.md derives
	// it.
	SettleBound = 17 * time.Second
	// InstanceSettleBound is how long instances may take after that to apply it; docs/faults.md derives it.
	InstanceSettleBound = 3 * time.Second
	// UnheldDutyBound is how long no agent may be able to act on a duty after its holder and the agent that grants it are lost at the
	// same time, while a majority of the agents run and reach each other; docs/duties.md derives it.
	UnheldDutyBound = 6 * time.Second
)
