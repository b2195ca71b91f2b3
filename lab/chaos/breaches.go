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

// InstanceReport is what an instance reported about itself when it was asked for its status.
type InstanceReport struct {
	Instance           string
	Machine            int
	AskedAt            time.Duration
	ProcessStartMicros int64                   // Unix time at which its process started, in microseconds
	Term               uint64                  // highest term of an author of the orders that it received
	Orders             map[string]AppliedOrder // by server
}

// RecordedExit is an AgentExit whose time is relative to the start of the recording.
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

	oldestNumber uint64 // the lowest number in RecentCommands, math.MaxUint64 if there is none; set by FindBreaches
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

	HasInstances bool // the machines' agents run instances
}

// Breach is a violation of what the agents and instances guarantee.
type Breach struct {
	Kind        string // lost, changed, two leaders, two holders, not settled, out of order, stale, forgot, fell
	At          time.Duration
	Description string
}

// FindBreaches checks a record and returns all breaches found in it, of these kinds:
//   - changed: agents, or one agent at two times, report two commands under one number, or one command under two numbers;
//   - lost: a command was answered with a number, but an agent that has applied commands up to it has another one there, or the agents
//     reported the command last under another number, or never;
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
	for i, report := range reports {
		if reports[i].oldestNumber = math.MaxUint64; len(report.RecentCommands) > 0 {
			reports[i].oldestNumber = slices.Min(slices.Collect(maps.Keys(report.RecentCommands)))
		}
		if report.IsLeader {
			if other, known := leaderByTerm[report.Term]; known && other != report.Agent && isFirst(fmt.Sprint("term", report.Term)) {
				add("two leaders", report.AskedAt, "a%d and a%d both led in term %d", other, report.Agent, report.Term)
			}
			leaderByTerm[report.Term] = report.Agent
		}
		for _, n := range sortedNumbers(report.RecentCommands) {
			id := report.RecentCommands[n]
			if other, known := idByNumber[n]; known && other != id && isFirst(fmt.Sprint("number", n)) {
				add("changed", report.AskedAt, "number %d is %s, but %s according to a%d", n, other, id, report.Agent)
			}
			if other, known := numberByID[id]; known && other != n && isFirst("id"+id) {
				add("changed", report.AskedAt, "%s has number %d, but %d according to a%d", id, other, n, report.Agent)
			}
			idByNumber[n], numberByID[id] = id, n
		}
	}
	for _, submission := range r.Submissions {
		if submission.Number == 0 {
			continue
		}
		for _, report := range reports {
			if report.AppliedIndex >= submission.Number && submission.Number >= report.oldestNumber && report.RecentCommands[submission.Number] != submission.ID && isFirst("lost"+submission.ID) {
				add("lost", report.AskedAt, "%s was answered with number %d, but a%d has applied commands up to %d and has %q there", submission.ID, submission.Number, report.Agent, report.AppliedIndex, report.RecentCommands[submission.Number])
			}
		}
		if numberByID[submission.ID] != submission.Number && isFirst("lost"+submission.ID) {
			add("lost", submission.EndedAt, "%s was answered with number %d by a%d, but was never seen there: it was seen at %d, and %q at the answered number", submission.ID, submission.Number, submission.Agent, numberByID[submission.ID], idByNumber[submission.Number])
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

// checkLinearizability finds the breach out of order. In a single log, a command has a higher number than all commands that were answered
// before it was submitted, and every submission of a command is answered with the same number. Since the answers give the numbers, one
// pass in their order is enough: a command can have entered the log at the moment of its first submission at the earliest, or at the
// earliest moment of the command before it if that is later, and this must not be after the command's first answer. numberByID has the
// numbers of commands that agents reported.
func checkLinearizability(submissions []Submission, numberByID map[string]uint64) (breaches []Breach) {
	type loggedCommand struct {
		id               string
		number           uint64
		earliest, latest time.Duration // when the command can have entered the log
	}
	commands := map[string]*loggedCommand{}
	for _, submission := range submissions {
		command := commands[submission.ID]
		if command == nil {
			command = &loggedCommand{submission.ID, numberByID[submission.ID], submission.SubmittedAt, math.MaxInt64}
			commands[submission.ID] = command
		}
		command.earliest = min(command.earliest, submission.SubmittedAt)
		if submission.Number == 0 {
			continue
		}
		if command.number != 0 && command.number != submission.Number {
			breaches = append(breaches, Breach{"out of order", submission.EndedAt, fmt.Sprintf("%s has number %d, but was answered with %d", submission.ID, command.number, submission.Number)})
		}
		command.number, command.latest = submission.Number, min(command.latest, submission.EndedAt)
	}
	inOrder := slices.SortedFunc(maps.Values(commands), func(a, b *loggedCommand) int { return cmp.Compare(a.number, b.number) })
	var previous loggedCommand // of the commands with lower numbers, the one whose earliest moment is the latest
	for _, command := range inOrder {
		if command.number == 0 {
			continue // it was not committed, or its number is unknown
		}
		if command.earliest > previous.earliest {
			previous = *command
		}
		if previous.earliest > command.latest {
			breaches = append(breaches, Breach{"out of order", command.latest, fmt.Sprintf("%s was answered with %d before %s was submitted, which has number %d", command.id, command.number, previous.id, previous.number)})
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
