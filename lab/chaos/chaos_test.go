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
	"hatchproxy/lab/rundir"
)

// TestMain lets the test binary also run as an agent, as HATCH_ROLE says: "agent" is a real one, the others are faulty on purpose so
// that the tests can show that the checks find the breaches they cause.
func TestMain(m *testing.M) {
	role := os.Getenv("HATCH_ROLE")
	if role == "" {
		os.Exit(m.Run())
	}
	signal.Ignore(syscall.SIGXFSZ) // as hatchagent does
	config, err := agent.ReadConfig(os.Args[len(os.Args)-1])
	switch {
	case err != nil:
	case role == "fake-leader":
		err = serveFakeLeader(config)
	case role == "skips-peer-check":
		skipPeerCheck(config)
		fallthrough
	case role == "agent":
		err = runAgent(config)
	case role == "bootstraps-empty-log":
		if err = bootstrapEmptyLog(config); err == nil {
			skipPeerCheck(config)
			err = runAgent(config)
		}
	}
	fmt.Fprintln(os.Stderr, err)
	os.Exit(2)
}

// runAgent runs a real agent. The test clock of --test-clock is the second argument of the process, if there is one.
func runAgent(config *agent.Config) error {
	clock := agent.SystemClock()
	if len(os.Args) > 2 {
		var err error
		if clock, err = agent.ParseTestClock(os.Args[2]); err != nil {
			return err
		}
	}
	return agent.Run(context.Background(), config, clock, slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: slog.LevelWarn})))
}

// skipPeerCheck makes an agent that has a log start without asking its peers how far their logs go, by declaring them non-voters: only
// voters are asked.
func skipPeerCheck(config *agent.Config) {
	if _, err := os.Stat(config.DataDir); err == nil {
		for i := range config.Peers {
			config.Peers[i].NonVoter = true
		}
	}
}

// bootstrapEmptyLog starts a new log in which the agent is a voter if its data directory does not exist, although it may have voted
// with an earlier log. Agents did so in the past.
func bootstrapEmptyLog(config *agent.Config) error {
	if _, err := os.Stat(config.DataDir); err == nil {
		return nil
	}
	if err := os.MkdirAll(config.DataDir, 0o700); err != nil {
		return err
	}
	store, err := boltdb.NewBoltStore(filepath.Join(config.DataDir, "log.db"))
	if err != nil {
		return err
	}
	defer store.Close()
	snapshots, err := raft.NewFileSnapshotStore(config.DataDir, 2, os.Stderr)
	if err != nil {
		return err
	}
	voters := raft.Configuration{Servers: []raft.Server{{ID: raft.ServerID(config.Name), Address: raft.ServerAddress(config.AdvertisedLogAddress)}}}
	for _, peer := range config.Peers {
		voters.Servers = append(voters.Servers, raft.Server{ID: raft.ServerID(peer.Name), Address: raft.ServerAddress(peer.LogAddress)})
	}
	raftConfig := raft.DefaultConfig()
	raftConfig.LocalID = raft.ServerID(config.Name)
	_, transport := raft.NewInmemTransport("")
	return raft.BootstrapCluster(raftConfig, store, store, snapshots, transport, voters)
}

// serveFakeLeader serves the API of an agent that claims to be the leader and confirms each command without its peers.
func serveFakeLeader(config *agent.Config) error {
	var mu sync.Mutex
	view := agent.View{Agent: config.Name, IsLeader: true, Term: 2}
	return http.ListenAndServe(config.Listen, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		defer mu.Unlock()
		if r.Method == http.MethodPost {
			var command clusterstate.Command
			_ = json.NewDecoder(r.Body).Decode(&command)
			view.AppliedIndex++
			view.RecentCommands = append(view.RecentCommands, clusterstate.Entry{Number: view.AppliedIndex, Command: command})
			_ = json.NewEncoder(w).Encode(map[string]uint64{"number": view.AppliedIndex})
			return
		}
		_ = json.NewEncoder(w).Encode(view)
	}))
}

// newCluster returns a cluster whose agents, not started yet, run the test binary in the given role.
func newCluster(t *testing.T, role string, agents, nonVoters, sites int) *chaos.Cluster {
	return newClusterWith(t, role, chaos.ClusterConfig{AgentCount: agents, NonVoterCount: nonVoters, SiteCount: sites, Seed: 1})
}

// newClusterWith is newCluster with all settings. It closes the cluster after the test, and logs the agents' output if the test failed.
func newClusterWith(t *testing.T, role string, config chaos.ClusterConfig) *chaos.Cluster {
	binary, err := os.Executable()
	require.NoError(t, err)
	folder, storage, err := rundir.New()
	require.NoError(t, err)
	t.Cleanup(func() { _ = os.RemoveAll(folder) })
	t.Logf("the agents' folders are held in: %s", storage)
	cluster, err := chaos.NewCluster([]string{"/usr/bin/env", "HATCH_ROLE=" + role, binary}, folder, config)
	require.NoError(t, err)
	t.Cleanup(func() {
		cluster.Close()
		for number := range config.AgentCount {
			if text, _ := os.ReadFile(filepath.Join(folder, fmt.Sprintf("a%d.log", number))); t.Failed() {
				t.Logf("a%d: %s", number, text)
			}
		}
	})
	return cluster
}

// settleBound is the bound that docs/faults.md derives.
const settleBound = chaos.SettleBound

// breachKinds returns the set of the kinds of breaches.
func breachKinds(breaches []chaos.Breach) map[string]bool {
	kinds := map[string]bool{}
	for _, b := range breaches {
		kinds[b.Kind] = true
	}
	return kinds
}

func TestNoKindOfFaultCausesBreaches(t *testing.T) {
	for _, kind := range chaos.AgentKinds {
		t.Run(string(kind), func(t *testing.T) {
			t.Parallel()
			agents := 3
			if kind == chaos.NeighborsOnly {
				agents = 5
			}
			cluster := newCluster(t, "agent", agents, 0, 3)
			r, err := cluster.RunSchedule(t.Context(), []chaos.Fault{{Kind: kind, At: 100 * time.Millisecond, Duration: 1200 * time.Millisecond}})
			require.NoError(t, err)
			require.Empty(t, chaos.FindBreaches(r, settleBound))
			require.NotEmpty(t, r.Submissions)
		})
	}
}

func TestLeadersThatCommitAloneCauseBreaches(t *testing.T) {
	cluster := newCluster(t, "fake-leader", 3, 0, 3)
	r, err := cluster.RunSchedule(t.Context(), []chaos.Fault{{Kind: chaos.Cut, Duration: 200 * time.Millisecond}})
	require.NoError(t, err)
	found := breachKinds(chaos.FindBreaches(r, settleBound))
	require.True(t, found["two leaders"] && found["changed"] && found["lost"], found)
}

// One of three agents is cut off, so that it misses commands that the other two commit. When the cut ends, a second one restarts with a
// lost or rolled back disk and the third is down: the first two are a majority, but must not elect a leader that lacks committed commands.
// Agents once did so, as the faulty agents of the last two cases do.
func TestVoterWithLostOrOldDiskCausesNoLostCommands(t *testing.T) {
	ms := time.Millisecond
	cut := chaos.Fault{Kind: chaos.Cut, Duration: 3500 * ms, Target: 2}
	lost := []chaos.Fault{cut, {Kind: chaos.DiskLost, At: 3400 * ms, Duration: 20 * ms, Target: 1}, {Kind: chaos.Crash, At: 3400 * ms, Duration: 3000 * ms}}
	old := []chaos.Fault{cut, {Kind: chaos.DiskRolledBack, At: 1500 * ms, Duration: 1900 * ms, Target: 1}, {Kind: chaos.Crash, At: 3400 * ms, Duration: 3000 * ms}}
	for _, x := range []struct {
		name, role string
		faults     []chaos.Fault
	}{{"lost", "agent", lost}, {"set back", "agent", old}, {"lost and begun anew", "bootstraps-empty-log", lost}, {"set back and trusted", "skips-peer-check", old}} {
		t.Run(x.name, func(t *testing.T) {
			t.Parallel()
			cluster := newCluster(t, x.role, 3, 0, 3)
			r, err := cluster.RunSchedule(t.Context(), x.faults)
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

// Three of five agents are voters. A voter's machine fails for good: a non-voter is promoted, the failed voter is removed, and the
// cluster then survives the failure of one more voter.
func TestAVoterIsReplacedWhileTheOthersGoOn(t *testing.T) {
	cluster := newCluster(t, "agent", 5, 2, 3)
	for a := range 5 {
		require.NoError(t, cluster.StartAgent(a))
	}
	call := func(a int, do func(context.Context, *agent.Client) error) func() bool {
		return func() bool { return cluster.CallAgent(t.Context(), a, do) == nil }
	}
	submit := func(a int, id string) func() bool {
		return call(a, func(ctx context.Context, c *agent.Client) error {
			_, err := c.Submit(ctx, clusterstate.Command{ID: id, Verb: clusterstate.Drain, Server: "s1"})
			return err
		})
	}
	changeVoters := func(a int, action, name string) func() bool {
		return call(a, func(ctx context.Context, c *agent.Client) error { return c.ChangeVoters(ctx, action, name) })
	}
	hasVoters := func(a int, want ...string) func() bool {
		return call(a, func(ctx context.Context, c *agent.Client) error {
			view, err := c.View(ctx)
			if err == nil && !slices.Equal(view.Voters, want) {
				err = fmt.Errorf("voters %v", view.Voters)
			}
			return err
		})
	}
	timeout, interval := 40*time.Second, 20*time.Millisecond
	require.Eventually(t, submit(3, "one"), timeout, interval, "a non-voter accepts commands, too")
	require.Eventually(t, hasVoters(3, "a0", "a1", "a2"), timeout, interval)
	cluster.CrashMachine(0)
	require.Eventually(t, changeVoters(4, "promote", "a3"), timeout, interval)
	require.Eventually(t, changeVoters(4, "forget", "a0"), timeout, interval)
	require.Eventually(t, hasVoters(4, "a1", "a2", "a3"), timeout, interval)
	cluster.CrashMachine(1)
	require.Eventually(t, submit(4, "two"), timeout, interval, "a2 and a3 are a majority of the three voters")
	require.NoError(t, cluster.StartAgent(1))
	require.Eventually(t, changeVoters(2, "demote", "a3"), timeout, interval)
	require.Eventually(t, hasVoters(3, "a1", "a2"), timeout, interval)
	require.Error(t, cluster.CallAgent(t.Context(), 2, func(ctx context.Context, c *agent.Client) error { return c.ChangeVoters(ctx, "promote", "a9") }))
	require.Eventually(t, func() bool {
		var view agent.View
		return call(3, func(ctx context.Context, c *agent.Client) (err error) { view, err = c.View(ctx); return err })() && len(view.RecentCommands) == 2
	}, timeout, interval, "a non-voter gets the committed commands")
}

func TestNotSettlingInTimeIsABreach(t *testing.T) {
	require.True(t, breachKinds(chaos.FindBreaches(chaos.Record{}, settleBound))["not settled"])
	require.True(t, breachKinds(chaos.FindBreaches(chaos.Record{AgentSettleTime: settleBound + 1}, settleBound))["not settled"])
	require.Empty(t, chaos.FindBreaches(chaos.Record{AgentSettleTime: settleBound}, settleBound))
}

func TestShortenKeepsOnlyTheFaultsThatFail(t *testing.T) {
	schedule := chaos.DrawSchedule(7, 12, 3, 3, chaos.AgentKinds)
	require.Equal(t, schedule, chaos.DrawSchedule(7, 12, 3, 3, chaos.AgentKinds), "the same seed gives the same schedule")
	shorter := chaos.Shorten(schedule, func(faults []chaos.Fault) bool {
		has := func(fault chaos.Fault) bool {
			for _, other := range faults {
				if fault == other {
					return true
				}
			}
			return false
		}
		return has(schedule[3]) && has(schedule[8])
	})
	require.Equal(t, []chaos.Fault{schedule[3], schedule[8]}, shorter)
}

func TestSpecFilesAreReadAndInvalidKeysAreNamed(t *testing.T) {
	for _, name := range []string{"three", "five", "far"} {
		spec, err := chaos.ReadSpec("../../experiments/chaos/" + name + ".toml")
		require.NoError(t, err)
		require.Len(t, spec.Schedule(1), spec.FaultCount)
	}
	path := filepath.Join(t.TempDir(), "f.toml")
	require.NoError(t, os.WriteFile(path, []byte("agents = 4\nsites = 9\nfaults = 0\nsettles = 0.5\nkinds = [\"rain\"]\n"), 0o600))
	_, err := chaos.ReadSpec(path)
	for _, word := range []string{"f.toml", "agents: 4", "sites: 9", "faults: 0", "settles: 0.5", "rain"} {
		require.ErrorContains(t, err, word)
	}
}

func TestNonLinearizableAnswersAreABreach(t *testing.T) {
	ms := time.Millisecond
	submission := func(id string, submittedAt, endedAt time.Duration, number uint64) chaos.Submission {
		return chaos.Submission{ID: id, SubmittedAt: submittedAt, EndedAt: endedAt, Number: number}
	}
	isOutOfOrder := func(submissions ...chaos.Submission) bool {
		recentCommands := map[uint64]string{}
		for _, s := range submissions {
			if s.Number > 0 {
				recentCommands[s.Number] = s.ID
			}
		}
		recentCommands[9] = "lost answer"
		return breachKinds(chaos.FindBreaches(chaos.Record{AgentSettleTime: 1, Submissions: submissions, AgentReports: []chaos.AgentReport{{AppliedIndex: 9, RecentCommands: recentCommands}}}, settleBound))["out of order"]
	}
	require.False(t, isOutOfOrder(submission("x", 0, 5*ms, 4), submission("y", 1*ms, 2*ms, 3), submission("x", 6*ms, 7*ms, 4)), "x and y were submitted concurrently; x was submitted again later")
	require.True(t, isOutOfOrder(submission("x", 0, 2*ms, 4), submission("y", 3*ms, 4*ms, 3)), "y was submitted after the answer to x, but has a lower number")
	require.False(t, isOutOfOrder(submission("lost answer", 0, 2*ms, 0), submission("y", 3*ms, 4*ms, 3)), "the command without an answer can have been committed later")
	require.True(t, isOutOfOrder(submission("lost answer", 3*ms, 4*ms, 0), submission("y", 0, 2*ms, 10)), "the command without an answer was submitted after a higher number was answered")
	require.True(t, isOutOfOrder(submission("x", 0, 1*ms, 4), submission("x", 2*ms, 3*ms, 5)), "one command, two numbers")
}

func TestInstanceThatGoesBackToAnOlderOrderIsABreach(t *testing.T) {
	report := func(process int64, term, number uint64, id string) chaos.InstanceReport {
		return chaos.InstanceReport{Instance: "n0", ProcessStartMicros: process, Term: term, Orders: map[string]chaos.AppliedOrder{"s": {Number: number, ID: id}}}
	}
	findKinds := func(faults []chaos.Fault, reports ...chaos.InstanceReport) map[string]bool {
		for i := range reports {
			reports[i].AskedAt = time.Duration(i)
		}
		return breachKinds(chaos.FindBreaches(chaos.Record{AgentSettleTime: 1, InstanceReports: reports, Faults: faults, AgentReports: []chaos.AgentReport{{AppliedIndex: 4, RecentCommands: map[uint64]string{3: "x", 4: "y"}}}}, settleBound))
	}
	require.Empty(t, findKinds(nil, report(1, 2, 3, "x"), report(1, 2, 4, "y"), report(2, 2, 4, "y")))
	require.True(t, findKinds(nil, report(1, 2, 4, "y"), report(1, 2, 3, "x"))["stale"])
	require.True(t, findKinds(nil, report(1, 3, 4, "y"), report(1, 2, 4, "y"))["stale"], "an author of a lower term")
	require.True(t, findKinds(nil, report(1, 2, 4, "z"))["stale"], "the order was never committed")
	require.True(t, findKinds(nil, report(1, 2, 4, "y"), report(2, 2, 3, "x"))["forgot"])
	require.Empty(t, findKinds([]chaos.Fault{{Kind: chaos.DiskLost}}, report(1, 2, 4, "y"), report(2, 2, 3, "x")), "the disk of the machine was lost")
}

func TestUnexpectedExitIsABreach(t *testing.T) {
	cluster := newCluster(t, "exits", 3, 0, 1)
	require.NoError(t, cluster.StartAgent(0))
	rec := cluster.StartRecording(t.Context())
	require.Eventually(t, func() bool { return cluster.StartAgent(0) == nil && cluster.UnexpectedExitCount() > 1 }, 10*time.Second, time.Millisecond)
	require.True(t, breachKinds(chaos.FindBreaches(rec.Finish(t.Context()), settleBound))["fell"])
}

func TestClockErrorsCauseNoBreaches(t *testing.T) {
	cluster := newClusterWith(t, "agent", chaos.ClusterConfig{AgentCount: 3, SiteCount: 3, Seed: 4, HasClockErrors: true})
	r, err := cluster.RunSchedule(t.Context(), []chaos.Fault{{Kind: chaos.Cut, Duration: 1500 * time.Millisecond}})
	require.NoError(t, err)
	require.Empty(t, chaos.FindBreaches(r, settleBound))
	for _, wrong := range []string{"rate=99", "rate=", "jump=1h", "off=5", "moon=full"} {
		_, err := agent.ParseTestClock(wrong)
		require.ErrorContains(t, err, wrong)
	}
}

// A command forwarded to a leader that has just been cut off must get an answer or an error as soon as another leader is elected.
// Clients once waited 6 s.
func TestCommandForwardedToACutOffLeaderIsAnsweredSoon(t *testing.T) {
	cluster := newCluster(t, "agent", 3, 0, 3)
	for a := range 3 {
		require.NoError(t, cluster.StartAgent(a))
	}
	require.NoError(t, cluster.AwaitFirstCommit(t.Context()))
	leader := -1
	for a := range 3 {
		require.NoError(t, cluster.CallAgent(t.Context(), a, func(ctx context.Context, c *agent.Client) error {
			view, err := c.View(ctx)
			if view.IsLeader {
				leader = a
			}
			return err
		}))
	}
	require.GreaterOrEqual(t, leader, 0)
	rec := cluster.StartRecording(t.Context())
	go func() {
		_ = rec.InjectFault(t.Context(), chaos.Fault{Kind: chaos.Cut, Duration: 4 * time.Second, Target: leader})
	}()
	startedAt := time.Now()
	n := 0
	require.Eventually(t, func() bool {
		n++
		_, err := rec.Submit(t.Context(), (leader+1)%3, clusterstate.Command{ID: fmt.Sprint("c", n), Verb: clusterstate.Drain, Server: "s"}, 10*time.Second)
		return err == nil && time.Since(startedAt) > time.Second
	}, 20*time.Second, 10*time.Millisecond)
	r := rec.Finish(t.Context())
	for _, submission := range r.Submissions {
		require.Less(t, submission.EndedAt-submission.SubmittedAt, 2500*time.Millisecond, "%v: an election takes 0.6 s at most, and three may be needed", submission)
	}
}

// The holder of a duty is paused, is cut off and crashes in turn, and the leader, which grants the duty, crashes. Once another agent can
// act on the duty, the earlier holder must not, as long as clocks are within their bounds. With a clock far beyond them, the check must
// find two holders.
func TestADutyHasOneHolderAtATime(t *testing.T) {
	ms := time.Millisecond
	faults := []chaos.Fault{{Kind: chaos.AgentPause, At: 1500 * ms, Duration: 3500 * ms, Target: chaos.TargetHolder}, {Kind: chaos.Cut, At: 5500 * ms, Duration: 3500 * ms, Target: chaos.TargetHolder},
		{Kind: chaos.Crash, At: 9500 * ms, Duration: 3500 * ms, Target: chaos.TargetHolder}, {Kind: chaos.Crash, At: 10500 * ms, Duration: 500 * ms, Target: chaos.TargetLeader}}
	runSchedule := func(t *testing.T, config chaos.ClusterConfig, faults []chaos.Fault) (chaos.Record, map[string]bool) {
		t.Parallel()
		config.AgentCount, config.SiteCount, config.Duties = 3, 3, []string{agent.Conductor}
		cluster := newClusterWith(t, "agent", config)
		r, err := cluster.RunSchedule(t.Context(), faults)
		require.NoError(t, err)
		return r, breachKinds(chaos.FindBreaches(r, settleBound))
	}
	t.Run("clock errors within bounds", func(t *testing.T) {
		r, kinds := runSchedule(t, chaos.ClusterConfig{Seed: 2, HasClockErrors: true}, faults)
		require.Empty(t, kinds)
		holders := map[int]bool{}
		for _, s := range r.AgentReports {
			if s.HeldDuties[agent.Conductor] > 0 {
				holders[s.Agent] = true
			}
		}
		require.Greater(t, len(holders), 1, "the duty had several holders in turn: %s", r.Timeline())
		gaps := r.UnheldGaps(agent.Conductor)
		require.NotEmpty(t, gaps)
		t.Log(gaps)
		require.Less(t, gaps[len(gaps)-1], chaos.UnheldDutyBound)
	})
	t.Run("clock beyond bounds", func(t *testing.T) {
		t.Parallel()
		slowClock := func(machine int) string { return []string{"rate=0.1", "", ""}[machine] }
		cluster := newClusterWith(t, "agent", chaos.ClusterConfig{AgentCount: 3, SiteCount: 3, Seed: 2, Duties: []string{agent.Conductor}, TestClock: slowClock})
		for a := range 3 {
			require.NoError(t, cluster.StartAgent(a))
		}
		require.NoError(t, cluster.AwaitFirstCommit(t.Context()))
		leadsAndHolds := func(a int) (isLeader, isHolder bool) {
			_ = cluster.CallAgent(t.Context(), a, func(ctx context.Context, c *agent.Client) error {
				view, err := c.View(ctx)
				isLeader, isHolder = view.IsLeader, view.HeldDuties[agent.Conductor] > 0
				return err
			})
			return isLeader, isHolder
		}
		if isLeader, _ := leadsAndHolds(0); isLeader { // the leader grants the duty, and its clock must not be as slow as the holder's
			cluster.CrashMachine(0)
			require.Eventually(t, func() bool { first, _ := leadsAndHolds(1); second, _ := leadsAndHolds(2); return first || second }, 20*time.Second, 20*ms)
			require.NoError(t, cluster.StartAgent(0))
		}
		rec := cluster.StartRecording(t.Context())
		n := 0
		require.Eventually(t, func() bool {
			n++
			_, _ = rec.Submit(t.Context(), 1, clusterstate.Command{ID: fmt.Sprint("h", n), Verb: clusterstate.Transfer, Duty: agent.Conductor, Holder: "a0"}, time.Second)
			_, isHolder := leadsAndHolds(0)
			return isHolder
		}, 30*time.Second, 100*ms)
		require.NoError(t, rec.InjectFault(t.Context(), chaos.Fault{Kind: chaos.Cut, Duration: 8 * time.Second, Target: 0}))
		require.True(t, breachKinds(chaos.FindBreaches(rec.Finish(t.Context()), settleBound))["two holders"])
	})
}

// TestHowLongNobodyHoldsADuty measures how long no agent can act on a duty after different faults:
// HATCHLAB_LONG=1 go test ./lab/chaos -run HowLong -v -timeout 20m
func TestHowLongNobodyHoldsADuty(t *testing.T) {
	if os.Getenv("HATCHLAB_LONG") == "" {
		t.Skip("takes minutes; set HATCHLAB_LONG to measure")
	}
	ms := time.Millisecond
	for name, f := range map[string]chaos.Fault{"kill": {Kind: chaos.Crash, Target: chaos.TargetHolder}, "stall": {Kind: chaos.AgentPause, Target: chaos.TargetHolder}, "cut": {Kind: chaos.Cut, Target: chaos.TargetHolder},
		"kill of the leader": {Kind: chaos.Crash, Target: chaos.TargetLeader}, "transfer": {}} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			cluster := newClusterWith(t, "agent", chaos.ClusterConfig{AgentCount: 5, SiteCount: 1, Seed: 1, Duties: []string{agent.Conductor}})
			for a := range 5 {
				require.NoError(t, cluster.StartAgent(a))
			}
			require.NoError(t, cluster.AwaitFirstCommit(t.Context()))
			rec := cluster.StartRecording(t.Context())
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
			t.Logf("%d gaps, p50 %v, p90 %v, worst %v", len(gaps), gaps[len(gaps)/2].Round(ms), gaps[len(gaps)*9/10].Round(ms), gaps[len(gaps)-1].Round(ms))
		})
	}
}
