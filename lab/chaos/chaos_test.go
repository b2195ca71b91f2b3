package chaos_test

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"net/http"
	"os"
	"os/signal"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/hashicorp/raft"
	boltdb "github.com/hashicorp/raft-boltdb/v2"
	"github.com/stretchr/testify/require"

	"hatchproxy/agent"
	"hatchproxy/agent/clusterstate"
	"hatchproxy/lab/chaos"
)

// The test's own program plays the agents: the real one, and two that are bad on purpose.
func TestMain(m *testing.M) {
	role := os.Getenv("HATCH_ROLE")
	if role == "" {
		os.Exit(m.Run())
	}
	signal.Ignore(syscall.SIGXFSZ) // as the program does
	plan, err := agent.ReadConfig(os.Args[len(os.Args)-1])
	switch {
	case err != nil:
	case role == "liar":
		err = serveFakeLeader(plan)
	case role == "trusting":
		skipPeerCheck(plan)
		fallthrough
	case role == "agent":
		err = runAgent(plan)
	case role == "forgetful":
		if err = bootstrapEmptyLog(plan); err == nil {
			skipPeerCheck(plan)
			err = runAgent(plan)
		}
	}
	fmt.Fprintln(os.Stderr, err)
	os.Exit(2)
}

func runAgent(p *agent.Config) error {
	clock := agent.SystemClock()
	if len(os.Args) > 2 {
		var err error
		if clock, err = agent.ParseTestClock(os.Args[2]); err != nil {
			return err
		}
	}
	return agent.Run(context.Background(), p, clock, slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: slog.LevelWarn})))
}

// skipPeerCheck has an agent that has a log ask nobody what the others hold.
func skipPeerCheck(p *agent.Config) {
	if _, err := os.Stat(p.DataDir); err == nil {
		for i := range p.Peers {
			p.Peers[i].NonVoter = true // those that vote at first are asked
		}
	}
}

// bootstrapEmptyLog begins the log as agents once did whose folder was empty: with its vote, whatever it had before.
func bootstrapEmptyLog(p *agent.Config) error {
	if _, err := os.Stat(p.DataDir); err == nil {
		return nil
	}
	if err := os.MkdirAll(p.DataDir, 0o700); err != nil {
		return err
	}
	store, err := boltdb.NewBoltStore(filepath.Join(p.DataDir, "log.db"))
	if err != nil {
		return err
	}
	defer store.Close()
	snapshots, err := raft.NewFileSnapshotStore(p.DataDir, 2, os.Stderr)
	if err != nil {
		return err
	}
	all := raft.Configuration{Servers: []raft.Server{{ID: raft.ServerID(p.Name), Address: raft.ServerAddress(p.AdvertisedLogAddress)}}}
	for _, peer := range p.Peers {
		all.Servers = append(all.Servers, raft.Server{ID: raft.ServerID(peer.Name), Address: raft.ServerAddress(peer.LogAddress)})
	}
	c := raft.DefaultConfig()
	c.LocalID = raft.ServerID(p.Name)
	_, trans := raft.NewInmemTransport("")
	return raft.BootstrapCluster(c, store, store, snapshots, trans, all)
}

// serveFakeLeader leads for itself and agrees with nobody.
func serveFakeLeader(p *agent.Config) error {
	var mu sync.Mutex
	v := agent.View{Agent: p.Name, IsLeader: true, Term: 2}
	return http.ListenAndServe(p.Listen, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		defer mu.Unlock()
		if r.Method == http.MethodPost {
			var c clusterstate.Command
			_ = json.NewDecoder(r.Body).Decode(&c)
			v.AppliedIndex++
			v.RecentCommands = append(v.RecentCommands, clusterstate.Entry{Number: v.AppliedIndex, Command: c})
			_ = json.NewEncoder(w).Encode(map[string]uint64{"number": v.AppliedIndex})
			return
		}
		_ = json.NewEncoder(w).Encode(v)
	}))
}

func newCluster(t *testing.T, role string, agents, hear, sites int) *chaos.Cluster {
	return newClusterWith(t, role, chaos.ClusterConfig{AgentCount: agents, NonVoterCount: hear, SiteCount: sites, Seed: 1})
}

func newClusterWith(t *testing.T, role string, l chaos.ClusterConfig) *chaos.Cluster {
	own, err := os.Executable()
	require.NoError(t, err)
	folder := t.TempDir()
	m, err := chaos.NewCluster([]string{"/usr/bin/env", "HATCH_ROLE=" + role, own}, folder, l)
	require.NoError(t, err)
	t.Cleanup(func() {
		m.Close()
		for a := range l.AgentCount {
			if text, _ := os.ReadFile(filepath.Join(folder, fmt.Sprintf("a%d.log", a))); t.Failed() {
				t.Logf("a%d: %s", a, text)
			}
		}
	})
	return m
}

// settleBound is the one that docs/faults.md derives.
const settleBound = chaos.SettleBound

func breachKinds(breaches []chaos.Breach) map[string]bool {
	found := map[string]bool{}
	for _, b := range breaches {
		found[b.Kind] = true
	}
	return found
}

func TestEachKindOfFaultLeavesWhatWasAgreedOn(t *testing.T) {
	for _, k := range chaos.AgentKinds {
		t.Run(string(k), func(t *testing.T) {
			t.Parallel()
			agents := 3
			if k == chaos.NeighborsOnly {
				agents = 5
			}
			m := newCluster(t, "agent", agents, 0, 3)
			r, err := m.RunSchedule(t.Context(), []chaos.Fault{{Kind: k, At: 100 * time.Millisecond, Duration: 1200 * time.Millisecond}})
			require.NoError(t, err)
			require.Empty(t, chaos.FindBreaches(r, settleBound))
			require.NotEmpty(t, r.Submissions)
		})
	}
}

func TestAgentsThatAgreeWithNobodyAreConvicted(t *testing.T) {
	m := newCluster(t, "liar", 3, 0, 3)
	r, err := m.RunSchedule(t.Context(), []chaos.Fault{{Kind: chaos.Cut, Duration: 200 * time.Millisecond}})
	require.NoError(t, err)
	found := breachKinds(chaos.FindBreaches(r, settleBound))
	require.True(t, found["two leaders"] && found["changed"] && found["lost"], found)
}

// An agent lost its disk, or had it set back, came back with its vote, and helped one that had been cut off to lead without what
// two of three had agreed on.
func TestAVoterThatHasForgottenDoesNotMakeTheOthersForget(t *testing.T) {
	ms := time.Millisecond
	cut := chaos.Fault{Kind: chaos.Cut, Duration: 3500 * ms, Target: 2}
	lost := []chaos.Fault{cut, {Kind: chaos.DiskLost, At: 3400 * ms, Duration: 20 * ms, Target: 1}, {Kind: chaos.Crash, At: 3400 * ms, Duration: 3000 * ms}}
	old := []chaos.Fault{cut, {Kind: chaos.DiskRolledBack, At: 1500 * ms, Duration: 1900 * ms, Target: 1}, {Kind: chaos.Crash, At: 3400 * ms, Duration: 3000 * ms}}
	for _, x := range []struct {
		name, role string
		faults     []chaos.Fault
	}{{"lost", "agent", lost}, {"set back", "agent", old}, {"lost and begun anew", "forgetful", lost}, {"set back and trusted", "trusting", old}} {
		t.Run(x.name, func(t *testing.T) {
			t.Parallel()
			m := newCluster(t, x.role, 3, 0, 3)
			r, err := m.RunSchedule(t.Context(), x.faults)
			require.NoError(t, err)
			breaches := chaos.FindBreaches(r, settleBound)
			if x.role == "agent" {
				require.Empty(t, breaches)
				return
			}
			require.True(t, breachKinds(breaches)["lost"], "%v", breaches)
		})
	}
}

// Three of five agents vote. A voter's machine is gone for good: another is promoted, the dead one forgotten, and the fleet
// bears the loss of one more.
func TestAVoterIsReplacedWhileTheOthersGoOn(t *testing.T) {
	m := newCluster(t, "agent", 5, 2, 3)
	for a := range 5 {
		require.NoError(t, m.StartAgent(a))
	}
	ask := func(a int, how func(context.Context, *agent.Client) error) func() bool {
		return func() bool { return m.CallAgent(t.Context(), a, how) == nil }
	}
	say := func(a int, id string) func() bool {
		return ask(a, func(ctx context.Context, c *agent.Client) error {
			_, err := c.Submit(ctx, clusterstate.Command{ID: id, Verb: clusterstate.Drain, Server: "s1"})
			return err
		})
	}
	change := func(a int, what, name string) func() bool {
		return ask(a, func(ctx context.Context, c *agent.Client) error { return c.ChangeVoters(ctx, what, name) })
	}
	voters := func(a int, want ...string) func() bool {
		return ask(a, func(ctx context.Context, c *agent.Client) error {
			v, err := c.View(ctx)
			if err == nil && !slices.Equal(v.Voters, want) {
				err = fmt.Errorf("voters %v", v.Voters)
			}
			return err
		})
	}
	soon, often := 40*time.Second, 20*time.Millisecond
	require.Eventually(t, say(3, "one"), soon, often, "also said to one that only hears")
	require.Eventually(t, voters(3, "a0", "a1", "a2"), soon, often)
	m.CrashMachine(0)
	require.Eventually(t, change(4, "promote", "a3"), soon, often)
	require.Eventually(t, change(4, "forget", "a0"), soon, often)
	require.Eventually(t, voters(4, "a1", "a2", "a3"), soon, often)
	m.CrashMachine(1)
	require.Eventually(t, say(4, "two"), soon, often, "a2 and a3 are most")
	require.NoError(t, m.StartAgent(1))
	require.Eventually(t, change(2, "demote", "a3"), soon, often)
	require.Eventually(t, voters(3, "a1", "a2"), soon, often)
	require.Error(t, m.CallAgent(t.Context(), 2, func(ctx context.Context, c *agent.Client) error { return c.ChangeVoters(ctx, "promote", "a9") }))
	require.Eventually(t, func() bool {
		var v agent.View
		return ask(3, func(ctx context.Context, c *agent.Client) (err error) { v, err = c.View(ctx); return err })() && len(v.RecentCommands) == 2
	}, soon, often, "it hears what was agreed on")
}

func TestTheJudgeSaysWhenNothingSettles(t *testing.T) {
	require.True(t, breachKinds(chaos.FindBreaches(chaos.Record{}, settleBound))["not settled"])
	require.True(t, breachKinds(chaos.FindBreaches(chaos.Record{AgentSettleTime: settleBound + 1}, settleBound))["not settled"])
	require.Empty(t, chaos.FindBreaches(chaos.Record{AgentSettleTime: settleBound}, settleBound))
}

func TestAScheduleIsCutDownToWhatBreaks(t *testing.T) {
	drawn := chaos.DrawSchedule(7, 12, 3, 3, chaos.AgentKinds)
	require.Equal(t, drawn, chaos.DrawSchedule(7, 12, 3, 3, chaos.AgentKinds), "one seed, one schedule")
	short := chaos.Shorten(drawn, func(f []chaos.Fault) bool {
		has := func(x chaos.Fault) bool {
			for _, y := range f {
				if x == y {
					return true
				}
			}
			return false
		}
		return has(drawn[3]) && has(drawn[8])
	})
	require.Equal(t, []chaos.Fault{drawn[3], drawn[8]}, short)
}

func TestTheFilesOfTheRepositoryCanBeReadAndWrongOnesAreToldWithTheirPlace(t *testing.T) {
	for _, name := range []string{"three", "five", "far"} {
		f, err := chaos.ReadSpec("../../experiments/chaos/" + name + ".toml")
		require.NoError(t, err)
		require.Len(t, f.Schedule(1), f.FaultCount)
	}
	path := filepath.Join(t.TempDir(), "f.toml")
	require.NoError(t, os.WriteFile(path, []byte("agents = 4\nsites = 9\nfaults = 0\nsettles = 0.5\nkinds = [\"rain\"]\n"), 0o600))
	_, err := chaos.ReadSpec(path)
	for _, word := range []string{"f.toml", "agents: 4", "sites: 9", "faults: 0", "settles: 0.5", "rain"} {
		require.ErrorContains(t, err, word)
	}
}

func TestAnswersThatFitNoOneLogAreConvicted(t *testing.T) {
	ms := time.Millisecond
	said := func(id string, began, at time.Duration, number uint64) chaos.Submission {
		return chaos.Submission{ID: id, SubmittedAt: began, EndedAt: at, Number: number}
	}
	judge := func(said ...chaos.Submission) bool {
		past := map[uint64]string{}
		for _, s := range said {
			if s.Number > 0 {
				past[s.Number] = s.ID
			}
		}
		past[9] = "lost answer"
		return breachKinds(chaos.FindBreaches(chaos.Record{AgentSettleTime: 1, Submissions: said, AgentReports: []chaos.AgentReport{{AppliedIndex: 9, RecentCommands: past}}}, settleBound))["out of order"]
	}
	require.False(t, judge(said("x", 0, 5*ms, 4), said("y", 1*ms, 2*ms, 3), said("x", 6*ms, 7*ms, 4)), "they were under way together, and one was said again")
	require.True(t, judge(said("x", 0, 2*ms, 4), said("y", 3*ms, 4*ms, 3)), "y was said when x had been answered, and stands before it")
	require.False(t, judge(said("lost answer", 0, 2*ms, 0), said("y", 3*ms, 4*ms, 3)), "it can have taken its place later")
	require.True(t, judge(said("lost answer", 3*ms, 4*ms, 0), said("y", 0, 2*ms, 10)), "it was said when a later place had been answered")
	require.True(t, judge(said("x", 0, 1*ms, 4), said("x", 2*ms, 3*ms, 5)), "one command, two places")
}

func TestAnInstanceThatGoesBackIsConvicted(t *testing.T) {
	held := func(process int64, term, number uint64, id string) chaos.InstanceReport {
		return chaos.InstanceReport{Instance: "n0", ProcessStartMicros: process, Term: term, Orders: map[string]chaos.AppliedOrder{"s": {Number: number, ID: id}}}
	}
	judge := func(faults []chaos.Fault, all ...chaos.InstanceReport) map[string]bool {
		for i := range all {
			all[i].AskedAt = time.Duration(i)
		}
		return breachKinds(chaos.FindBreaches(chaos.Record{AgentSettleTime: 1, InstanceReports: all, Faults: faults, AgentReports: []chaos.AgentReport{{AppliedIndex: 4, RecentCommands: map[uint64]string{3: "x", 4: "y"}}}}, settleBound))
	}
	require.Empty(t, judge(nil, held(1, 2, 3, "x"), held(1, 2, 4, "y"), held(2, 2, 4, "y")))
	require.True(t, judge(nil, held(1, 2, 4, "y"), held(1, 2, 3, "x"))["stale"])
	require.True(t, judge(nil, held(1, 3, 4, "y"), held(1, 2, 4, "y"))["stale"], "an author that was taken over from")
	require.True(t, judge(nil, held(1, 2, 4, "z"))["stale"], "it was never agreed on")
	require.True(t, judge(nil, held(1, 2, 4, "y"), held(2, 2, 3, "x"))["forgot"])
	require.Empty(t, judge([]chaos.Fault{{Kind: chaos.DiskLost}}, held(1, 2, 4, "y"), held(2, 2, 3, "x")), "its machine's disk was lost")
}

func TestAnAgentThatEndsByItselfIsConvicted(t *testing.T) {
	m := newCluster(t, "quitter", 3, 0, 1)
	require.NoError(t, m.StartAgent(0))
	rec := m.StartRecording(t.Context())
	require.Eventually(t, func() bool { return m.StartAgent(0) == nil && m.UnexpectedExitCount() > 1 }, 10*time.Second, time.Millisecond)
	require.True(t, breachKinds(chaos.FindBreaches(rec.Finish(t.Context()), settleBound))["fell"])
}

func TestClocksThatAreWrongChangeNothing(t *testing.T) {
	m := newClusterWith(t, "agent", chaos.ClusterConfig{AgentCount: 3, SiteCount: 3, Seed: 4, HasClockErrors: true})
	r, err := m.RunSchedule(t.Context(), []chaos.Fault{{Kind: chaos.Cut, Duration: 1500 * time.Millisecond}})
	require.NoError(t, err)
	require.Empty(t, chaos.FindBreaches(r, settleBound))
	for _, wrong := range []string{"rate=99", "rate=", "jump=1h", "off=5", "moon=full"} {
		_, err := agent.ParseTestClock(wrong)
		require.ErrorContains(t, err, wrong)
	}
}

// A command was said to an agent whose leader had just been cut off: nothing came back for 6 s.
func TestACommandPassedOnToALeaderThatIsCutOffIsAnsweredSoon(t *testing.T) {
	m := newCluster(t, "agent", 3, 0, 3)
	for a := range 3 {
		require.NoError(t, m.StartAgent(a))
	}
	require.NoError(t, m.AwaitFirstAgreement(t.Context()))
	leader := -1
	for a := range 3 {
		require.NoError(t, m.CallAgent(t.Context(), a, func(ctx context.Context, c *agent.Client) error {
			v, err := c.View(ctx)
			if v.IsLeader {
				leader = a
			}
			return err
		}))
	}
	require.GreaterOrEqual(t, leader, 0)
	rec := m.StartRecording(t.Context())
	go func() {
		_ = rec.InjectFault(t.Context(), chaos.Fault{Kind: chaos.Cut, Duration: 4 * time.Second, Target: leader})
	}()
	began := time.Now()
	n := 0
	require.Eventually(t, func() bool {
		n++
		_, err := rec.Submit(t.Context(), (leader+1)%3, clusterstate.Command{ID: fmt.Sprint("c", n), Verb: clusterstate.Drain, Server: "s"}, 10*time.Second)
		return err == nil && time.Since(began) > time.Second
	}, 20*time.Second, 10*time.Millisecond)
	r := rec.Finish(t.Context())
	for _, s := range r.Submissions {
		require.Less(t, s.EndedAt-s.SubmittedAt, 2500*time.Millisecond, "%v: chosen anew within 0.6 s, three times at most", s)
	}
}

// A duty's holder stalls, is cut off and is killed, and so is the agent that gives the duty: nobody can act on it after another can.
func TestADutyHasOneHolderAtATime(t *testing.T) {
	ms := time.Millisecond
	faults := []chaos.Fault{{Kind: chaos.AgentPause, At: 1500 * ms, Duration: 3500 * ms, Target: chaos.TargetHolder}, {Kind: chaos.Cut, At: 5500 * ms, Duration: 3500 * ms, Target: chaos.TargetHolder},
		{Kind: chaos.Crash, At: 9500 * ms, Duration: 3500 * ms, Target: chaos.TargetHolder}, {Kind: chaos.Crash, At: 10500 * ms, Duration: 500 * ms, Target: chaos.TargetLeader}}
	play := func(t *testing.T, l chaos.ClusterConfig, faults []chaos.Fault) (chaos.Record, map[string]bool) {
		t.Parallel()
		l.AgentCount, l.SiteCount, l.Duties = 3, 3, []string{agent.Conductor}
		m := newClusterWith(t, "agent", l)
		r, err := m.RunSchedule(t.Context(), faults)
		require.NoError(t, err)
		return r, breachKinds(chaos.FindBreaches(r, settleBound))
	}
	t.Run("sound", func(t *testing.T) {
		r, found := play(t, chaos.ClusterConfig{Seed: 2, HasClockErrors: true}, faults)
		require.Empty(t, found)
		holders := map[int]bool{}
		for _, s := range r.AgentReports {
			if s.HeldDuties[agent.Conductor] > 0 {
				holders[s.Agent] = true
			}
		}
		require.Greater(t, len(holders), 1, "it was handed on: %s", r.Timeline())
		gaps := r.UnheldGaps(agent.Conductor)
		require.NotEmpty(t, gaps)
		t.Log(gaps)
		require.Less(t, gaps[len(gaps)-1], chaos.UnheldDutyBound)
	})
	t.Run("a clock beyond what is promised", func(t *testing.T) {
		t.Parallel()
		slow := func(a int) string { return []string{"rate=0.1", "", ""}[a] }
		m := newClusterWith(t, "agent", chaos.ClusterConfig{AgentCount: 3, SiteCount: 3, Seed: 2, Duties: []string{agent.Conductor}, TestClock: slow})
		for a := range 3 {
			require.NoError(t, m.StartAgent(a))
		}
		require.NoError(t, m.AwaitFirstAgreement(t.Context()))
		holds := func(a int) (leads, holds bool) {
			_ = m.CallAgent(t.Context(), a, func(ctx context.Context, c *agent.Client) error {
				v, err := c.View(ctx)
				leads, holds = v.IsLeader, v.HeldDuties[agent.Conductor] > 0
				return err
			})
			return leads, holds
		}
		if leads, _ := holds(0); leads { // the giver must not be as slow as the holder
			m.CrashMachine(0)
			require.Eventually(t, func() bool { one, _ := holds(1); two, _ := holds(2); return one || two }, 20*time.Second, 20*ms)
			require.NoError(t, m.StartAgent(0))
		}
		rec := m.StartRecording(t.Context())
		n := 0
		require.Eventually(t, func() bool {
			n++
			_, _ = rec.Submit(t.Context(), 1, clusterstate.Command{ID: fmt.Sprint("h", n), Verb: clusterstate.Transfer, Duty: agent.Conductor, Holder: "a0"}, time.Second)
			_, now := holds(0)
			return now
		}, 30*time.Second, 100*ms)
		require.NoError(t, rec.InjectFault(t.Context(), chaos.Fault{Kind: chaos.Cut, Duration: 8 * time.Second, Target: 0}))
		require.True(t, breachKinds(chaos.FindBreaches(rec.Finish(t.Context()), settleBound))["two holders"])
	})
}

// How long nobody can act on a duty: HATCHLAB_LONG=1 go test ./lab/chaos -run HowLong -v -timeout 20m
func TestHowLongNobodyHoldsADuty(t *testing.T) {
	if os.Getenv("HATCHLAB_LONG") == "" {
		t.Skip("minutes; for figures")
	}
	ms := time.Millisecond
	for name, f := range map[string]chaos.Fault{"kill": {Kind: chaos.Crash, Target: chaos.TargetHolder}, "stall": {Kind: chaos.AgentPause, Target: chaos.TargetHolder}, "cut": {Kind: chaos.Cut, Target: chaos.TargetHolder},
		"kill of who gives it": {Kind: chaos.Crash, Target: chaos.TargetLeader}, "hand-on": {}} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			m := newClusterWith(t, "agent", chaos.ClusterConfig{AgentCount: 5, SiteCount: 1, Seed: 1, Duties: []string{agent.Conductor}})
			for a := range 5 {
				require.NoError(t, m.StartAgent(a))
			}
			require.NoError(t, m.AwaitFirstAgreement(t.Context()))
			rec := m.StartRecording(t.Context())
			time.Sleep(3 * time.Second)
			for n := range 25 {
				if f.Kind == "" {
					_, err := rec.Submit(t.Context(), n%5, clusterstate.Command{ID: fmt.Sprint("h", n), Verb: clusterstate.Transfer, Duty: agent.Conductor}, time.Second)
					require.NoError(t, err)
				} else {
					f.Duration = 5 * time.Second
					require.NoError(t, rec.InjectFault(t.Context(), f))
				}
				time.Sleep(2 * time.Second)
			}
			r := rec.Finish(t.Context())
			require.False(t, breachKinds(chaos.FindBreaches(r, settleBound))["two holders"])
			gaps := r.UnheldGaps(agent.Conductor)
			t.Logf("%d times, p50 %v, p90 %v, worst %v", len(gaps), gaps[len(gaps)/2].Round(ms), gaps[len(gaps)*9/10].Round(ms), gaps[len(gaps)-1].Round(ms))
		})
	}
}
