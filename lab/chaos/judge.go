package chaos

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"
	"time"
)

// Submission is a command that somebody had an agent say.
type Submission struct {
	ID          string
	Agent       int
	SubmittedAt time.Duration // since the begin of the run, on the clock that all processes share
	EndedAt     time.Duration // when an answer came, or was waited for no longer
	Number      uint64        // 0: the outcome is not known
}

// AppliedOrder is an order as an instance goes by it.
type AppliedOrder struct {
	Number uint64
	ID     string
}

// InstanceReport is what an instance told of itself.
type InstanceReport struct {
	Instance           string
	Machine            int
	AskedAt            time.Duration
	ProcessStartMicros int64 // when its process started
	Term               uint64
	Orders             map[string]AppliedOrder // by server
}

// RecordedExit is an agent that ended by itself.
type RecordedExit struct {
	Agent int
	At    time.Duration
}

// AgentReport is what an agent told of itself.
type AgentReport struct {
	Agent          int
	AskedAt        time.Duration // when it was asked
	AnsweredAt     time.Duration // when its answer came
	IsLeader       bool
	Term           uint64
	AppliedIndex   uint64
	HeldDuties     map[string]uint64 // the duties that it may act on, with the tokens
	RecentCommands map[uint64]string // the commands that it knows, by number: the last few hundred

	oldestNumber uint64 // the least of these numbers
}

// Record is what was seen in a run. It is judged only once the run is over.
type Record struct {
	AgentCount         int
	Submissions        []Submission
	AgentReports       []AgentReport
	InstanceReports    []InstanceReport
	UnexpectedExits    []RecordedExit
	Faults             []Fault
	LastFaultEnd       time.Duration // when the last fault ended
	AgentSettleTime    time.Duration // how long after that all agents had agreed on a new command; 0 if they did not
	InstanceSettleTime time.Duration // how long after that all instances went by it; 0 if they did not

	HasInstances bool // there were some
}

// Breach is what must not be.
type Breach struct {
	Kind        string // lost, changed, two leaders, not settled, out of order, stale, forgot, fell
	At          time.Duration
	Description string
}

// FindBreaches tells what was broken:
//   - changed: two agents, or one at two times, know two commands under one number, or one command under two;
//   - lost: a command was answered with a number, and an agent that has applied that far does not know it there, or none
//     knows it at the end;
//   - two leaders: two agents led in one term;
//   - not settled: after the last fault ended they did not agree on a new command within the bound, or instances did not go by it
//     within telling more;
//   - out of order: the answers fit no order of the commands that keeps to when each was said and answered;
//   - stale: an instance went back to an older order, or an older author, or goes by an order that was never agreed on;
//   - forgot: an instance that was started anew on a machine that kept its disk went back to an older order;
//   - two holders: an agent could act on a duty after another could by a higher token;
//   - fell: an agent ended by itself while its disk had room.
func FindBreaches(r Record, bound time.Duration) []Breach {
	var found []Breach
	add := func(kind string, at time.Duration, what string, about ...any) {
		found = append(found, Breach{kind, at, fmt.Sprintf(what, about...)})
	}
	seen := slices.Clone(r.AgentReports)
	slices.SortStableFunc(seen, func(a, b AgentReport) int { return cmp.Compare(a.AskedAt, b.AskedAt) })
	leaders, ids, numbers := map[uint64]int{}, map[uint64]string{}, map[string]uint64{}
	told := map[string]bool{} // each breach once
	once := func(key string) bool { was := told[key]; told[key] = true; return !was }
	for i, s := range seen {
		if seen[i].oldestNumber = math.MaxUint64; len(s.RecentCommands) > 0 {
			seen[i].oldestNumber = slices.Min(slices.Collect(maps.Keys(s.RecentCommands)))
		}
		if s.IsLeader {
			if other, known := leaders[s.Term]; known && other != s.Agent && once(fmt.Sprint("term", s.Term)) {
				add("two leaders", s.AskedAt, "a%d and a%d in term %d", other, s.Agent, s.Term)
			}
			leaders[s.Term] = s.Agent
		}
		for _, n := range sortedNumbers(s.RecentCommands) {
			id := s.RecentCommands[n]
			if other, known := ids[n]; known && other != id && once(fmt.Sprint("number", n)) {
				add("changed", s.AskedAt, "number %d is %s, and %s at a%d", n, other, id, s.Agent)
			}
			if other, known := numbers[id]; known && other != n && once("id"+id) {
				add("changed", s.AskedAt, "%s is number %d, and %d at a%d", id, other, n, s.Agent)
			}
			ids[n], numbers[id] = id, n
		}
	}
	for _, c := range r.Submissions {
		if c.Number == 0 {
			continue
		}
		for _, s := range seen {
			if s.AppliedIndex >= c.Number && c.Number >= s.oldestNumber && s.RecentCommands[c.Number] != c.ID && once("lost"+c.ID) {
				add("lost", s.AskedAt, "%s was answered with number %d; a%d has applied %d and holds %q there", c.ID, c.Number, s.Agent, s.AppliedIndex, s.RecentCommands[c.Number])
			}
		}
		if numbers[c.ID] != c.Number && once("lost"+c.ID) {
			add("lost", c.EndedAt, "%s was answered with number %d by a%d and never seen there: it was seen at %d, and there %q", c.ID, c.Number, c.Agent, numbers[c.ID], ids[c.Number])
		}
	}
	for _, f := range r.UnexpectedExits {
		add("fell", f.At, "a%d ended by itself", f.Agent)
	}
	found = append(found, checkLinearizability(r.Submissions, numbers)...)
	found = append(found, checkInstances(r, ids)...)
	found = append(found, checkDutyHolders(seen)...)
	if r.HasInstances && r.AgentSettleTime > 0 && (r.InstanceSettleTime == 0 || r.InstanceSettleTime > bound+InstanceSettleBound) {
		add("not settled", r.LastFaultEnd, "instances went by the last order %v after the last fault (0: never); the bound is %v", r.InstanceSettleTime.Round(time.Millisecond), bound+InstanceSettleBound)
	}
	if r.AgentSettleTime == 0 || r.AgentSettleTime > bound {
		add("not settled", r.LastFaultEnd, "%v after the last fault (0: never); the bound is %v", r.AgentSettleTime.Round(time.Millisecond), bound)
	}
	return found
}

// checkInstances judges what instances went by; ids are the commands that were agreed on, by number.
func checkInstances(r Record, ids map[uint64]string) (found []Breach) {
	held := slices.Clone(r.InstanceReports)
	slices.SortStableFunc(held, func(a, b InstanceReport) int { return cmp.Compare(a.AskedAt, b.AskedAt) })
	before := map[string]InstanceReport{}
	told := map[string]bool{}
	for _, h := range held {
		b, known := before[h.Instance]
		before[h.Instance] = h
		add := func(kind, what string, about ...any) {
			if key := kind + h.Instance; !told[key] {
				told[key] = true
				found = append(found, Breach{kind, h.AskedAt, h.Instance + ": " + fmt.Sprintf(what, about...)})
			}
		}
		kind := "stale"
		if known && b.ProcessStartMicros != h.ProcessStartMicros {
			kind = "forgot"
		}
		if known && kind == "stale" && h.Term < b.Term {
			add(kind, "heard an author of term %d, and now goes by one of term %d", b.Term, h.Term)
		}
		disk := slices.ContainsFunc(r.Faults, func(f Fault) bool {
			return (f.Kind == DiskLost || f.Kind == DiskRolledBack) && f.Target == h.Machine
		})
		for _, server := range slices.Sorted(maps.Keys(b.Orders)) {
			if was, is := b.Orders[server], h.Orders[server]; is.Number < was.Number && !(kind == "forgot" && disk) {
				add(kind, "went by number %d on %s, and now by %d", was.Number, server, is.Number)
			}
		}
		for server, o := range h.Orders {
			if id, known := ids[o.Number]; known && id != o.ID {
				add("stale", "goes by %q as number %d on %s, and %q was agreed on there", o.ID, o.Number, server, id)
			}
		}
	}
	return found
}

// checkDutyHolders judges who could act on duties; what agents told is in the order of time.
func checkDutyHolders(seen []AgentReport) (found []Breach) {
	type acted struct {
		token uint64
		by    int
		at    time.Duration // when that was known at the latest
	}
	highest := map[string][]acted{} // by duty, rising tokens
	told := map[string]bool{}
	for _, s := range seen {
		for _, duty := range slices.Sorted(maps.Keys(s.HeldDuties)) {
			token := s.HeldDuties[duty]
			for _, other := range highest[duty] {
				if key := fmt.Sprint(duty, token, other.token); other.token > token && other.at < s.AskedAt && !told[key] {
					told[key] = true
					found = append(found, Breach{"two holders", s.AskedAt, fmt.Sprintf("a%d can act on %s by token %d, and a%d could by token %d at %v", s.Agent, duty, token, other.by, other.token, other.at)})
				}
				if other.token == token && other.by != s.Agent && !told[fmt.Sprint(duty, token)] {
					told[fmt.Sprint(duty, token)] = true
					found = append(found, Breach{"two holders", s.AskedAt, fmt.Sprintf("a%d and a%d can act on %s by the same token %d", other.by, s.Agent, duty, token)})
				}
			}
			if !slices.ContainsFunc(highest[duty], func(a acted) bool { return a.token == token }) {
				highest[duty] = append(highest[duty], acted{token, s.Agent, s.AnsweredAt})
			}
		}
	}
	return found
}

// UnheldGaps is how long nobody could act on a duty, each time that it went to another, or for longer than looks are apart: from when an agent that could was seen last until one was seen again, in
// the order of length. Looks come each 40 ms, so that it is told up to twice as much too long.
func (r Record) UnheldGaps(duty string) (gaps []time.Duration) {
	last, by := time.Duration(-1), uint64(0)
	seen := slices.Clone(r.AgentReports)
	slices.SortStableFunc(seen, func(a, b AgentReport) int { return cmp.Compare(a.AskedAt, b.AskedAt) })
	for _, s := range seen {
		if s.HeldDuties[duty] == 0 {
			continue
		}
		if last >= 0 && (s.AskedAt-last > 4*agentPollInterval || by != s.HeldDuties[duty]) {
			gaps = append(gaps, s.AskedAt-last)
		}
		last, by = s.AskedAt, s.HeldDuties[duty]
	}
	slices.Sort(gaps)
	return gaps
}

// checkLinearizability tells what answers fit no log that is one: each command takes a place after all that were answered before it was
// said, and is answered with that place however often it is said. As the places are told, one pass in their order decides it:
// the earliest moment at which a command can have taken its place is when it was said first, or the moment of the one before it
// if that is later, and must not come after its first answer. places are those that were seen.
func checkLinearizability(said []Submission, places map[string]uint64) (breaches []Breach) {
	type turn struct {
		id          string
		place       uint64
		first, last time.Duration // when it can have taken it at the earliest, and at the latest
	}
	turns := map[string]*turn{}
	for _, s := range said {
		t := turns[s.ID]
		if t == nil {
			t = &turn{s.ID, places[s.ID], s.SubmittedAt, math.MaxInt64}
			turns[s.ID] = t
		}
		t.first = min(t.first, s.SubmittedAt)
		if s.Number == 0 {
			continue
		}
		if t.place != 0 && t.place != s.Number {
			breaches = append(breaches, Breach{"out of order", s.EndedAt, fmt.Sprintf("%s is number %d, and was answered with %d", s.ID, t.place, s.Number)})
		}
		t.place, t.last = s.Number, min(t.last, s.EndedAt)
	}
	inTurn := slices.SortedFunc(maps.Values(turns), func(a, b *turn) int { return cmp.Compare(a.place, b.place) })
	var before turn
	for _, t := range inTurn {
		if t.place == 0 {
			continue // it never was, or nobody can tell
		}
		if t.first > before.first {
			before = *t
		}
		if before.first > t.last {
			breaches = append(breaches, Breach{"out of order", t.last, fmt.Sprintf("%s was answered with %d before %s was said, which is number %d", t.id, t.place, before.id, before.place)})
		}
	}
	return breaches
}

func sortedNumbers(m map[uint64]string) []uint64 { return slices.Sorted(maps.Keys(m)) }

// Bound is how long after the last fault agents may take to agree on a new command and all have it; docs/faults.md
// derives it, and that instances go by it TellingBound later.
const (
	SettleBound         = 17 * time.Second
	InstanceSettleBound = 3 * time.Second
	// UnheldDutyBound is how long nobody may be able to act on a duty after its holder and the agent that gives it are lost in one instant,
	// while most agents run and reach each other; docs/duties.md derives it.
	UnheldDutyBound = 6 * time.Second
)
