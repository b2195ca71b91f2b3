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
		err = lie(plan)
	case role == "trusting":
		trust(plan)
		fallthrough
	case role == "agent":
		err = run(plan)
	case role == "forgetful":
		if err = forget(plan); err == nil {
			trust(plan)
			err = run(plan)
		}
	}
	fmt.Fprintln(os.Stderr, err)
	os.Exit(2)
}

func run(p *agent.Config) error {
	clock := agent.SystemClock()
	if len(os.Args) > 2 {
		var err error
		if clock, err = agent.ParseTestClock(os.Args[2]); err != nil {
			return err
		}
	}
	return agent.Run(context.Background(), p, clock, slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: slog.LevelWarn})))
}

// trust has an agent that has a log ask nobody what the others hold.
func trust(p *agent.Config) {
	if _, err := os.Stat(p.DataDir); err == nil {
		for i := range p.Peers {
			p.Peers[i].NonVoter = true // those that vote at first are asked
		}
	}
}

// forget begins the log as agents once did whose folder was empty: with its vote, whatever it had before.
func forget(p *agent.Config) error {
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
		all.Servers = append(all.Servers, raft.Server{ID: raft.ServerID(peer.Name), Address: raft.ServerAddress(peer.Log)})
	}
	c := raft.DefaultConfig()
	c.LocalID = raft.ServerID(p.Name)
	_, trans := raft.NewInmemTransport("")
	return raft.BootstrapCluster(c, store, store, snapshots, trans, all)
}

// lie leads for itself and agrees with nobody.
func lie(p *agent.Config) error {
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

func raise(t *testing.T, role string, agents, hear, sites int) *chaos.Machines {
	return raiseAs(t, role, chaos.Layout{Agents: agents, Hear: hear, Sites: sites, Seed: 1})
}

func raiseAs(t *testing.T, role string, l chaos.Layout) *chaos.Machines {
	own, err := os.Executable()
	require.NoError(t, err)
	folder := t.TempDir()
	m, err := chaos.Raise([]string{"/usr/bin/env", "HATCH_ROLE=" + role, own}, folder, l)
	require.NoError(t, err)
	t.Cleanup(func() {
		m.Close()
		for a := range l.Agents {
			if text, _ := os.ReadFile(filepath.Join(folder, fmt.Sprintf("a%d.log", a))); t.Failed() {
				t.Logf("a%d: %s", a, text)
			}
		}
	})
	return m
}

// bound is the one that docs/faults.md derives.
const bound = chaos.Bound

func kinds(breaches []chaos.Breach) map[string]bool {
	found := map[string]bool{}
	for _, b := range breaches {
		found[b.Kind] = true
	}
	return found
}

func TestEachKindOfFaultLeavesWhatWasAgreedOn(t *testing.T) {
	for _, k := range chaos.Kinds {
		t.Run(string(k), func(t *testing.T) {
			t.Parallel()
			agents := 3
			if k == chaos.Ring {
				agents = 5
			}
			m := raise(t, "agent", agents, 0, 3)
			r, err := m.Play(t.Context(), []chaos.Fault{{Kind: k, At: 100 * time.Millisecond, For: 1200 * time.Millisecond}})
			require.NoError(t, err)
			require.Empty(t, chaos.Judge(r, bound))
			require.NotEmpty(t, r.Said)
		})
	}
}

func TestAgentsThatAgreeWithNobodyAreConvicted(t *testing.T) {
	m := raise(t, "liar", 3, 0, 3)
	r, err := m.Play(t.Context(), []chaos.Fault{{Kind: chaos.Cut, For: 200 * time.Millisecond}})
	require.NoError(t, err)
	found := kinds(chaos.Judge(r, bound))
	require.True(t, found["two leaders"] && found["changed"] && found["lost"], found)
}

// An agent lost its disk, or had it set back, came back with its vote, and helped one that had been cut off to lead without what
// two of three had agreed on.
func TestAVoterThatHasForgottenDoesNotMakeTheOthersForget(t *testing.T) {
	ms := time.Millisecond
	cut := chaos.Fault{Kind: chaos.Cut, For: 3500 * ms, On: 2}
	lost := []chaos.Fault{cut, {Kind: chaos.DiskLost, At: 3400 * ms, For: 20 * ms, On: 1}, {Kind: chaos.Crash, At: 3400 * ms, For: 3000 * ms}}
	old := []chaos.Fault{cut, {Kind: chaos.DiskOld, At: 1500 * ms, For: 1900 * ms, On: 1}, {Kind: chaos.Crash, At: 3400 * ms, For: 3000 * ms}}
	for _, x := range []struct {
		name, role string
		faults     []chaos.Fault
	}{{"lost", "agent", lost}, {"set back", "agent", old}, {"lost and begun anew", "forgetful", lost}, {"set back and trusted", "trusting", old}} {
		t.Run(x.name, func(t *testing.T) {
			t.Parallel()
			m := raise(t, x.role, 3, 0, 3)
			r, err := m.Play(t.Context(), x.faults)
			require.NoError(t, err)
			breaches := chaos.Judge(r, bound)
			if x.role == "agent" {
				require.Empty(t, breaches)
				return
			}
			require.True(t, kinds(breaches)["lost"], "%v", breaches)
		})
	}
}

// Three of five agents vote. A voter's machine is gone for good: another is promoted, the dead one forgotten, and the fleet
// bears the loss of one more.
func TestAVoterIsReplacedWhileTheOthersGoOn(t *testing.T) {
	m := raise(t, "agent", 5, 2, 3)
	for a := range 5 {
		require.NoError(t, m.Start(a))
	}
	ask := func(a int, how func(context.Context, *agent.Client) error) func() bool {
		return func() bool { return m.Ask(t.Context(), a, how) == nil }
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
	m.Crash(0)
	require.Eventually(t, change(4, "promote", "a3"), soon, often)
	require.Eventually(t, change(4, "forget", "a0"), soon, often)
	require.Eventually(t, voters(4, "a1", "a2", "a3"), soon, often)
	m.Crash(1)
	require.Eventually(t, say(4, "two"), soon, often, "a2 and a3 are most")
	require.NoError(t, m.Start(1))
	require.Eventually(t, change(2, "demote", "a3"), soon, often)
	require.Eventually(t, voters(3, "a1", "a2"), soon, often)
	require.Error(t, m.Ask(t.Context(), 2, func(ctx context.Context, c *agent.Client) error { return c.ChangeVoters(ctx, "promote", "a9") }))
	require.Eventually(t, func() bool {
		var v agent.View
		return ask(3, func(ctx context.Context, c *agent.Client) (err error) { v, err = c.View(ctx); return err })() && len(v.RecentCommands) == 2
	}, soon, often, "it hears what was agreed on")
}

func TestTheJudgeSaysWhenNothingSettles(t *testing.T) {
	require.True(t, kinds(chaos.Judge(chaos.Record{}, bound))["not settled"])
	require.True(t, kinds(chaos.Judge(chaos.Record{Settled: bound + 1}, bound))["not settled"])
	require.Empty(t, chaos.Judge(chaos.Record{Settled: bound}, bound))
}

func TestAScheduleIsCutDownToWhatBreaks(t *testing.T) {
	drawn := chaos.Draw(7, 12, 3, 3, chaos.Kinds)
	require.Equal(t, drawn, chaos.Draw(7, 12, 3, 3, chaos.Kinds), "one seed, one schedule")
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
		f, err := chaos.ReadFile("../../experiments/chaos/" + name + ".toml")
		require.NoError(t, err)
		require.Len(t, f.Drawn(1), f.Faults)
	}
	path := filepath.Join(t.TempDir(), "f.toml")
	require.NoError(t, os.WriteFile(path, []byte("agents = 4\nsites = 9\nfaults = 0\nsettles = 0.5\nkinds = [\"rain\"]\n"), 0o600))
	_, err := chaos.ReadFile(path)
	for _, word := range []string{"f.toml", "agents: 4", "sites: 9", "faults: 0", "settles: 0.5", "rain"} {
		require.ErrorContains(t, err, word)
	}
}

func TestAnswersThatFitNoOneLogAreConvicted(t *testing.T) {
	ms := time.Millisecond
	said := func(id string, began, at time.Duration, number uint64) chaos.Said {
		return chaos.Said{ID: id, Began: began, At: at, Number: number}
	}
	judge := func(said ...chaos.Said) bool {
		past := map[uint64]string{}
		for _, s := range said {
			if s.Number > 0 {
				past[s.Number] = s.ID
			}
		}
		past[9] = "lost answer"
		return kinds(chaos.Judge(chaos.Record{Settled: 1, Said: said, Seen: []chaos.Seen{{Applied: 9, Past: past}}}, bound))["out of order"]
	}
	require.False(t, judge(said("x", 0, 5*ms, 4), said("y", 1*ms, 2*ms, 3), said("x", 6*ms, 7*ms, 4)), "they were under way together, and one was said again")
	require.True(t, judge(said("x", 0, 2*ms, 4), said("y", 3*ms, 4*ms, 3)), "y was said when x had been answered, and stands before it")
	require.False(t, judge(said("lost answer", 0, 2*ms, 0), said("y", 3*ms, 4*ms, 3)), "it can have taken its place later")
	require.True(t, judge(said("lost answer", 3*ms, 4*ms, 0), said("y", 0, 2*ms, 10)), "it was said when a later place had been answered")
	require.True(t, judge(said("x", 0, 1*ms, 4), said("x", 2*ms, 3*ms, 5)), "one command, two places")
}

func TestAnInstanceThatGoesBackIsConvicted(t *testing.T) {
	held := func(process int64, term, number uint64, id string) chaos.Held {
		return chaos.Held{Instance: "n0", Process: process, Term: term, Orders: map[string]chaos.Told{"s": {Number: number, ID: id}}}
	}
	judge := func(faults []chaos.Fault, all ...chaos.Held) map[string]bool {
		for i := range all {
			all[i].At = time.Duration(i)
		}
		return kinds(chaos.Judge(chaos.Record{Settled: 1, Held: all, Faults: faults, Seen: []chaos.Seen{{Applied: 4, Past: map[uint64]string{3: "x", 4: "y"}}}}, bound))
	}
	require.Empty(t, judge(nil, held(1, 2, 3, "x"), held(1, 2, 4, "y"), held(2, 2, 4, "y")))
	require.True(t, judge(nil, held(1, 2, 4, "y"), held(1, 2, 3, "x"))["stale"])
	require.True(t, judge(nil, held(1, 3, 4, "y"), held(1, 2, 4, "y"))["stale"], "an author that was taken over from")
	require.True(t, judge(nil, held(1, 2, 4, "z"))["stale"], "it was never agreed on")
	require.True(t, judge(nil, held(1, 2, 4, "y"), held(2, 2, 3, "x"))["forgot"])
	require.Empty(t, judge([]chaos.Fault{{Kind: chaos.DiskLost}}, held(1, 2, 4, "y"), held(2, 2, 3, "x")), "its machine's disk was lost")
}

func TestAnAgentThatEndsByItselfIsConvicted(t *testing.T) {
	m := raise(t, "quitter", 3, 0, 1)
	require.NoError(t, m.Start(0))
	rec := m.Record(t.Context())
	require.Eventually(t, func() bool { return m.Start(0) == nil && m.Fallen() > 1 }, 10*time.Second, time.Millisecond)
	require.True(t, kinds(chaos.Judge(rec.End(t.Context()), bound))["fell"])
}

func TestClocksThatAreWrongChangeNothing(t *testing.T) {
	m := raiseAs(t, "agent", chaos.Layout{Agents: 3, Sites: 3, Seed: 4, Clocks: true})
	r, err := m.Play(t.Context(), []chaos.Fault{{Kind: chaos.Cut, For: 1500 * time.Millisecond}})
	require.NoError(t, err)
	require.Empty(t, chaos.Judge(r, bound))
	for _, wrong := range []string{"rate=99", "rate=", "jump=1h", "off=5", "moon=full"} {
		_, err := agent.ParseTestClock(wrong)
		require.ErrorContains(t, err, wrong)
	}
}

// A command was said to an agent whose leader had just been cut off: nothing came back for 6 s.
func TestACommandPassedOnToALeaderThatIsCutOffIsAnsweredSoon(t *testing.T) {
	m := raise(t, "agent", 3, 0, 3)
	for a := range 3 {
		require.NoError(t, m.Start(a))
	}
	require.NoError(t, m.Rise(t.Context()))
	leader := -1
	for a := range 3 {
		require.NoError(t, m.Ask(t.Context(), a, func(ctx context.Context, c *agent.Client) error {
			v, err := c.View(ctx)
			if v.IsLeader {
				leader = a
			}
			return err
		}))
	}
	require.GreaterOrEqual(t, leader, 0)
	rec := m.Record(t.Context())
	go func() { _ = rec.Suffer(t.Context(), chaos.Fault{Kind: chaos.Cut, For: 4 * time.Second, On: leader}) }()
	began := time.Now()
	n := 0
	require.Eventually(t, func() bool {
		n++
		_, err := rec.Say(t.Context(), (leader+1)%3, clusterstate.Command{ID: fmt.Sprint("c", n), Verb: clusterstate.Drain, Server: "s"}, 10*time.Second)
		return err == nil && time.Since(began) > time.Second
	}, 20*time.Second, 10*time.Millisecond)
	r := rec.End(t.Context())
	for _, s := range r.Said {
		require.Less(t, s.At-s.Began, 2500*time.Millisecond, "%v: chosen anew within 0.6 s, three times at most", s)
	}
}

// A duty's holder stalls, is cut off and is killed, and so is the agent that gives the duty: nobody can act on it after another can.
func TestADutyHasOneHolderAtATime(t *testing.T) {
	ms := time.Millisecond
	faults := []chaos.Fault{{Kind: chaos.Doze, At: 1500 * ms, For: 3500 * ms, On: chaos.OfHolder}, {Kind: chaos.Cut, At: 5500 * ms, For: 3500 * ms, On: chaos.OfHolder},
		{Kind: chaos.Crash, At: 9500 * ms, For: 3500 * ms, On: chaos.OfHolder}, {Kind: chaos.Crash, At: 10500 * ms, For: 500 * ms, On: chaos.OfLeader}}
	play := func(t *testing.T, l chaos.Layout, faults []chaos.Fault) (chaos.Record, map[string]bool) {
		t.Parallel()
		l.Agents, l.Sites, l.Duties = 3, 3, []string{agent.Conductor}
		m := raiseAs(t, "agent", l)
		r, err := m.Play(t.Context(), faults)
		require.NoError(t, err)
		return r, kinds(chaos.Judge(r, bound))
	}
	t.Run("sound", func(t *testing.T) {
		r, found := play(t, chaos.Layout{Seed: 2, Clocks: true}, faults)
		require.Empty(t, found)
		holders := map[int]bool{}
		for _, s := range r.Seen {
			if s.Holds[agent.Conductor] > 0 {
				holders[s.Agent] = true
			}
		}
		require.Greater(t, len(holders), 1, "it was handed on: %s", r.Tell())
		gaps := r.Unheld(agent.Conductor)
		require.NotEmpty(t, gaps)
		t.Log(gaps)
		require.Less(t, gaps[len(gaps)-1], chaos.UnheldBound)
	})
	t.Run("a clock beyond what is promised", func(t *testing.T) {
		t.Parallel()
		slow := func(a int) string { return []string{"rate=0.1", "", ""}[a] }
		m := raiseAs(t, "agent", chaos.Layout{Agents: 3, Sites: 3, Seed: 2, Duties: []string{agent.Conductor}, Clock: slow})
		for a := range 3 {
			require.NoError(t, m.Start(a))
		}
		require.NoError(t, m.Rise(t.Context()))
		holds := func(a int) (leads, holds bool) {
			_ = m.Ask(t.Context(), a, func(ctx context.Context, c *agent.Client) error {
				v, err := c.View(ctx)
				leads, holds = v.IsLeader, v.HeldDuties[agent.Conductor] > 0
				return err
			})
			return leads, holds
		}
		if leads, _ := holds(0); leads { // the giver must not be as slow as the holder
			m.Crash(0)
			require.Eventually(t, func() bool { one, _ := holds(1); two, _ := holds(2); return one || two }, 20*time.Second, 20*ms)
			require.NoError(t, m.Start(0))
		}
		rec := m.Record(t.Context())
		n := 0
		require.Eventually(t, func() bool {
			n++
			_, _ = rec.Say(t.Context(), 1, clusterstate.Command{ID: fmt.Sprint("h", n), Verb: clusterstate.Transfer, Duty: agent.Conductor, Holder: "a0"}, time.Second)
			_, now := holds(0)
			return now
		}, 30*time.Second, 100*ms)
		require.NoError(t, rec.Suffer(t.Context(), chaos.Fault{Kind: chaos.Cut, For: 8 * time.Second, On: 0}))
		require.True(t, kinds(chaos.Judge(rec.End(t.Context()), bound))["two holders"])
	})
}

// How long nobody can act on a duty: HATCHLAB_LONG=1 go test ./lab/chaos -run HowLong -v -timeout 20m
func TestHowLongNobodyHoldsADuty(t *testing.T) {
	if os.Getenv("HATCHLAB_LONG") == "" {
		t.Skip("minutes; for figures")
	}
	ms := time.Millisecond
	for name, f := range map[string]chaos.Fault{"kill": {Kind: chaos.Crash, On: chaos.OfHolder}, "stall": {Kind: chaos.Doze, On: chaos.OfHolder}, "cut": {Kind: chaos.Cut, On: chaos.OfHolder},
		"kill of who gives it": {Kind: chaos.Crash, On: chaos.OfLeader}, "hand-on": {}} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			m := raiseAs(t, "agent", chaos.Layout{Agents: 5, Sites: 1, Seed: 1, Duties: []string{agent.Conductor}})
			for a := range 5 {
				require.NoError(t, m.Start(a))
			}
			require.NoError(t, m.Rise(t.Context()))
			rec := m.Record(t.Context())
			time.Sleep(3 * time.Second)
			for n := range 25 {
				if f.Kind == "" {
					_, err := rec.Say(t.Context(), n%5, clusterstate.Command{ID: fmt.Sprint("h", n), Verb: clusterstate.Transfer, Duty: agent.Conductor}, time.Second)
					require.NoError(t, err)
				} else {
					f.For = 5 * time.Second
					require.NoError(t, rec.Suffer(t.Context(), f))
				}
				time.Sleep(2 * time.Second)
			}
			r := rec.End(t.Context())
			require.False(t, kinds(chaos.Judge(r, bound))["two holders"])
			gaps := r.Unheld(agent.Conductor)
			t.Logf("%d times, p50 %v, p90 %v, worst %v", len(gaps), gaps[len(gaps)/2].Round(ms), gaps[len(gaps)*9/10].Round(ms), gaps[len(gaps)-1].Round(ms))
		})
	}
}
