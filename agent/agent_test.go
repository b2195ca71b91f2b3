package agent_test

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hatchproxy/agent"
	"hatchproxy/agent/clusterstate"
	"hatchproxy/agent/supervisor"
	"hatchproxy/internal/control"
	"hatchproxy/internal/discovery"
	"hatchproxy/logic"
	"hatchproxy/orders"
)

// The test's own program plays the agents, which are to be killed, and stand-ins for instances: they hear orders as a
// proxy does, and serve nobody.
func TestMain(m *testing.M) {
	quiet := slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: slog.LevelWarn}))
	switch os.Getenv("HATCH_ROLE") {
	case "agent":
		signal.Ignore(syscall.SIGXFSZ)
		plan, err := agent.ReadConfig(os.Args[1])
		if err == nil {
			err = agent.Run(context.Background(), plan, agent.SystemClock(), quiet)
		}
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	case "finder":
		fmt.Print(".")
		_, _ = os.Stdin.Read(make([]byte, 1))
		fmt.Println(agent.FindProcess(os.Args[1]))
		os.Exit(0)
	case "instance":
		os.Exit(runInstanceStub(os.Args[1], os.Args[3], os.Args[5], quiet))
	}
	os.Exit(m.Run())
}

// instanceStub is a stand-in's surface.
type instanceStub struct {
	mu            sync.Mutex
	registry      *orders.Registry
	startedMicros int64
	ready         bool
}

func (d *instanceStub) Status(context.Context) (control.Status, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	st := control.Status{ProtocolVersion: control.ProtocolVersion, PID: os.Getpid(), StartedMicros: d.startedMicros, Ready: d.ready, Term: d.registry.Term()}
	for _, o := range d.registry.Orders() {
		state, _ := d.registry.State(logic.Micros(time.Now().UnixMicro()), o.ServerID)
		st.Orders = append(st.Orders, control.HeldOrder{Order: o, State: orders.StateName(state)})
	}
	return st, nil
}

func (d *instanceStub) ApplyOrder(_ context.Context, o orders.Order) (orders.Answer, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	o.ServerID = discovery.ServerID(o.ServerUID)
	ans, _ := d.registry.Apply(logic.Micros(time.Now().UnixMicro()), o)
	return ans, nil
}

func (d *instanceStub) Reload(context.Context) error                  { return nil }
func (d *instanceStub) Leave(context.Context) error                   { return nil }
func (d *instanceStub) SetLogLevel(context.Context, slog.Level) error { return nil }

func runInstanceStub(kind, at, held string, log *slog.Logger) int {
	leave := make(chan os.Signal, 1)
	signal.Notify(leave, syscall.SIGTERM)
	if kind == "crash" {
		return 3
	}
	if kind == "later" { // one of another version of the control protocol
		l, err := net.Listen("unix", strings.TrimPrefix(at, "unix:"))
		if err != nil {
			return 4
		}
		go http.Serve(l, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/v1/status" {
				fmt.Fprintf(w, `{"control":2,"pid":%d,"started":5,"ready":true}`, os.Getpid())
				return
			}
			w.WriteHeader(http.StatusNotFound)
			fmt.Fprint(w, `{"error":"control protocol 2 is spoken"}`)
		}))
		<-leave
		return 0
	}
	d := &instanceStub{registry: orders.New(), startedMicros: time.Now().UnixMicro(), ready: true}
	d.registry.BeginFullList()
	for n := range 6 {
		d.registry.UpdateServer(0, discovery.ServerID(fmt.Sprint("s", n)), logic.Ready, 0)
	}
	d.registry.EndList()
	text, err := os.ReadFile(held)
	if err != nil || !strings.HasPrefix(string(text), "[") {
		return 5
	}
	c, err := control.Start(at, d, log)
	if err != nil {
		return 6
	}
	defer c.Close()
	<-leave
	return 0
}

// testCluster is a machine with agents and their instances.
type testCluster struct {
	*testing.T
	dir           string
	addresses     []string
	configPaths   []string
	instanceCount int

	mu     sync.Mutex
	agents []*exec.Cmd // nil for one that does not run
}

var addressCounter atomic.Int64

// freeAddress is an address on which nobody listens. It is none of those that connections go out from, which would take it
// before it is used, and no other's.
func freeAddress(t *testing.T) string {
	l, err := net.Listen("tcp", fmt.Sprintf("127.3.%d.%d:0", os.Getpid()%250, 1+addressCounter.Add(1)%250))
	require.NoError(t, err)
	defer l.Close()
	return l.Addr().String()
}

// newTestCluster writes a site down; kinds are its instances', dealt out over the agents in turn.
func newTestCluster(t *testing.T, agents int, kinds ...string) *testCluster {
	t.Helper()
	folder, err := os.MkdirTemp("", "ha")
	require.NoError(t, err)
	s := &testCluster{T: t, dir: folder, instanceCount: len(kinds), agents: make([]*exec.Cmd, agents)}
	own, err := os.Executable()
	require.NoError(t, err)
	var logs []string
	for range agents {
		s.addresses, logs = append(s.addresses, freeAddress(t)), append(logs, freeAddress(t))
	}
	for a := range agents {
		text := fmt.Sprintf("name = \"a%d\"\nlisten = %q\nlog = %q\ndata = %q\n", a, s.addresses[a], logs[a], s.dataDir(a))
		for b := range agents {
			if b != a {
				text += fmt.Sprintf("[[peer]]\nname = \"a%d\"\nlisten = %q\nlog = %q\n", b, s.addresses[b], logs[b])
			}
		}
		for n, kind := range kinds {
			if n%agents == a {
				text += fmt.Sprintf("[[instance]]\nname = \"n%d\"\ncommand = [\"/usr/bin/env\", \"HATCH_ROLE=instance\", %q, %q]\ncontrol = \"unix:%s/n%d.sock\"\n",
					n, own, kind, folder, n)
			}
		}
		path := filepath.Join(folder, fmt.Sprintf("a%d.toml", a))
		require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
		s.configPaths = append(s.configPaths, path)
	}
	t.Cleanup(func() {
		for a := range s.agents {
			s.killAgent(a)
		}
		for n := range kinds {
			if pid := s.instancePID(n); pid > 1 {
				_ = syscall.Kill(pid, syscall.SIGKILL)
			}
		}
		if t.Failed() {
			for a := range s.agents {
				text, _ := os.ReadFile(filepath.Join(folder, fmt.Sprintf("a%d.log", a)))
				t.Logf("agent %d: %s", a, text)
			}
		}
		_ = os.RemoveAll(folder)
	})
	return s
}

func (s *testCluster) dataDir(a int) string { return filepath.Join(s.dir, fmt.Sprintf("d%d", a)) }

func (s *testCluster) startAgents(which ...int) {
	s.Helper()
	own, err := os.Executable()
	require.NoError(s, err)
	for _, a := range which {
		log, err := os.OpenFile(filepath.Join(s.dir, fmt.Sprintf("a%d.log", a)), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
		require.NoError(s, err)
		cmd := exec.Command(own, s.configPaths[a])
		cmd.Env = append(os.Environ(), "HATCH_ROLE=agent")
		cmd.Stderr = log
		require.NoError(s, cmd.Start())
		_ = log.Close()
		s.mu.Lock()
		s.agents[a] = cmd
		s.mu.Unlock()
	}
}

func (s *testCluster) killAgent(a int) {
	s.mu.Lock()
	cmd := s.agents[a]
	s.agents[a] = nil
	s.mu.Unlock()
	if cmd != nil {
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
	}
}

// instancePID is an instance's process, as its agent has written it down.
func (s *testCluster) instancePID(n int) int {
	var pid int
	text, _ := os.ReadFile(filepath.Join(s.dataDir(n%len(s.agents)), fmt.Sprintf("n%d.process", n)))
	_, _ = fmt.Sscanf(string(text), `{"pid":%d`, &pid)
	return pid
}

// callAnyAgent asks the agents that run, one after the other.
func (s *testCluster) callAnyAgent(how func(context.Context, *agent.Client) error) error {
	err := errors.New("no agent runs")
	s.mu.Lock()
	agents := slices.Clone(s.agents)
	s.mu.Unlock()
	for a, cmd := range agents {
		if cmd == nil {
			continue
		}
		c := agent.NewClient(s.addresses[a])
		ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
		err = how(ctx, c)
		cancel()
		c.Close()
		if err == nil {
			return nil
		}
	}
	return err
}

// submit has a command agreed on, as the tool does: again under the same id until it is.
func (s *testCluster) submit(c clusterstate.Command) uint64 {
	s.Helper()
	var number uint64
	require.Eventually(s, func() bool {
		return s.callAnyAgent(func(ctx context.Context, a *agent.Client) (err error) {
			number, err = a.Submit(ctx, c)
			return err
		}) == nil
	}, 20*time.Second, 10*time.Millisecond)
	return number
}

func drainCommand(id, server string) clusterstate.Command {
	return clusterstate.Command{ID: id, Verb: clusterstate.Drain, Server: server}
}

func (s *testCluster) view() (v agent.View) {
	_ = s.callAnyAgent(func(ctx context.Context, a *agent.Client) (err error) {
		v, err = a.ClusterView(ctx)
		return err
	})
	return v
}

// eventuallyAll waits until all instances are as wanted.
func (s *testCluster) eventuallyAll(what string, good func(agent.InstanceView) bool) {
	s.Helper()
	require.Eventually(s, func() bool {
		v := s.view()
		return len(v.Instances) == s.instanceCount && !slices.ContainsFunc(v.Instances, func(i agent.InstanceView) bool { return !good(i) })
	}, 30*time.Second, 10*time.Millisecond, what)
}

func isReady(i agent.InstanceView) bool { return i.State == supervisor.Ready && i.Status != nil }

// serverState is what an instance itself says of a server.
func (s *testCluster) serverState(n int, server string) string {
	c := control.NewClient(fmt.Sprintf("unix:%s/n%d.sock", s.dir, n))
	defer c.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	st, err := c.Status(ctx)
	if err != nil {
		return err.Error()
	}
	for _, o := range st.Orders {
		if o.ServerUID == server {
			return o.State
		}
	}
	return "no order"
}

// allThreadsStopped tells whether each thread of a process stands still: a signal takes its time to reach them all.
func allThreadsStopped(pid int) bool {
	tasks, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/stat", pid))
	return err == nil && len(tasks) > 0 && !slices.ContainsFunc(tasks, func(path string) bool {
		text, err := os.ReadFile(path)
		return err != nil || !strings.Contains(string(text), ") T ")
	})
}

func healthyInstances(n int) []string { return slices.Repeat([]string{"sound"}, n) }

func TestAnAgentThatIsKilledLeavesItsInstancesAndTheNextOneFindsThemAndKeepsTheOrders(t *testing.T) {
	t.Parallel()
	s := newTestCluster(t, 1, healthyInstances(4)...)
	s.startAgents(0)
	s.eventuallyAll("all are ready", isReady)
	before := s.instancePID(2)
	require.NoError(t, syscall.Kill(s.instancePID(3), syscall.SIGSTOP)) // it has not heard when the agent dies
	require.Eventually(t, func() bool { return allThreadsStopped(s.instancePID(3)) }, 5*time.Second, time.Millisecond)
	number := s.submit(drainCommand("one", "s1"))
	s.killAgent(0)
	s.startAgents(0)
	time.Sleep(100 * time.Millisecond) // killed again during its own start
	s.killAgent(0)
	s.startAgents(0)
	require.NoError(t, syscall.Kill(s.instancePID(3), syscall.SIGCONT))
	s.eventuallyAll("all have heard", func(i agent.InstanceView) bool {
		return i.OrderResults["s1"].Number == number && i.OrderResults["s1"].Verdict == orders.Obeyed
	})
	require.Equal(t, before, s.instancePID(2), "nobody was started a second time")
	for n := range 4 {
		require.Equal(t, "draining", s.serverState(n, "s1"))
	}
	require.NoError(t, syscall.Kill(s.instancePID(2), syscall.SIGKILL))
	require.Eventually(t, func() bool { return s.instancePID(2) != before && s.serverState(2, "s1") == "draining" }, 10*time.Second, 10*time.Millisecond,
		"one that fell is started again, and has the order from its start")
}

func TestAnInstanceThatNeverAnswersIsTellableAndObeysWithinTwoSecondsOfWaking(t *testing.T) {
	t.Parallel()
	s := newTestCluster(t, 1, healthyInstances(3)...)
	s.startAgents(0)
	s.eventuallyAll("all are ready", isReady)
	require.NoError(t, syscall.Kill(s.instancePID(1), syscall.SIGSTOP))
	require.Eventually(t, func() bool { return allThreadsStopped(s.instancePID(1)) }, 5*time.Second, time.Millisecond)
	number := s.submit(drainCommand("one", "s2"))
	require.Eventually(t, func() bool {
		v := s.view()
		return len(v.Instances) == 3 && v.Instances[0].OrderResults["s2"].Number == number && v.Instances[1].OrderResults["s2"].Number == 0 && v.Instances[2].OrderResults["s2"].Number == number &&
			v.Instances[1].MemberState != "alive"
	}, 15*time.Second, 10*time.Millisecond, "who obeyed and who did not, and who is missing")
	require.NoError(t, syscall.Kill(s.instancePID(1), syscall.SIGCONT))
	woken := time.Now()
	require.Eventually(t, func() bool { return s.serverState(1, "s2") == "draining" }, 2*time.Second, 5*time.Millisecond)
	require.Less(t, time.Since(woken), 2*time.Second)
	s.eventuallyAll("and the agent knows", func(i agent.InstanceView) bool { return i.OrderResults["s2"].Number == number })
}

func TestThreeAgentsGoOnWithoutTheLeaderAndTwoThatAreGoneStopTheThird(t *testing.T) {
	t.Parallel()
	s := newTestCluster(t, 3, healthyInstances(6)...)
	s.startAgents(0, 1, 2)
	s.eventuallyAll("all are ready", isReady)
	first := s.submit(drainCommand("first", "s1"))
	leader := 0
	_, err := fmt.Sscanf(s.view().Leader, "a%d", &leader)
	require.NoError(t, err)
	go func() {
		_ = s.callAnyAgent(func(ctx context.Context, a *agent.Client) error {
			_, err := a.Submit(ctx, drainCommand("second", "s2"))
			return err
		})
	}()
	s.killAgent(leader)
	second := s.submit(drainCommand("second", "s2"))
	require.Greater(t, second, first)
	third := s.submit(clusterstate.Command{ID: "third", Verb: clusterstate.Undrain, Server: "s1"})
	s.startAgents(leader)
	s.eventuallyAll("all have heard all", func(i agent.InstanceView) bool {
		return i.OrderResults["s1"].Number == third && i.OrderResults["s2"].Number == second
	})
	for n := range 6 {
		require.Equal(t, "ready", s.serverState(n, "s1"))
		require.Equal(t, "draining", s.serverState(n, "s2"))
	}
	alone := (leader + 1) % 3
	for a := range 3 {
		if a != alone {
			s.killAgent(a)
		}
	}
	require.Eventually(t, func() bool {
		return s.callAnyAgent(func(ctx context.Context, a *agent.Client) error {
			_, err := a.Submit(ctx, drainCommand("alone", "s3"))
			return err
		}) != nil
	}, 10*time.Second, 100*time.Millisecond, "one of three agrees with nobody")
	require.Equal(t, "no order", s.serverState(alone, "s3"), "what was not agreed on reaches nobody")
	require.Equal(t, "draining", s.serverState(alone, "s2"), "and what was still stands")
}

// Guards against an agent that was cut off and comes back with what stood before.
func TestALeaderThatWasStoppedGivesNoStaleOrdersWhenItGoesOn(t *testing.T) {
	t.Parallel()
	s := newTestCluster(t, 3, healthyInstances(3)...)
	s.startAgents(0, 1, 2)
	s.eventuallyAll("all are ready", isReady)
	s.submit(drainCommand("first", "s1"))
	s.eventuallyAll("all have heard", func(i agent.InstanceView) bool { return i.OrderResults["s1"].Number > 0 })
	leader := 0
	_, err := fmt.Sscanf(s.view().Leader, "a%d", &leader)
	require.NoError(t, err)
	stopped := s.agents[leader]
	require.NoError(t, stopped.Process.Signal(syscall.SIGSTOP))
	require.Eventually(t, func() bool { return allThreadsStopped(stopped.Process.Pid) }, 5*time.Second, time.Millisecond)
	s.mu.Lock()
	s.agents[leader] = nil // nobody asks it
	s.mu.Unlock()
	second := s.submit(clusterstate.Command{ID: "second", Verb: clusterstate.Undrain, Server: "s1"})
	require.Equal(t, "draining", s.serverState(leader, "s1"), "the stopped agent's instance goes on with its last orders")
	require.NoError(t, stopped.Process.Signal(syscall.SIGCONT))
	s.mu.Lock()
	s.agents[leader] = stopped
	s.mu.Unlock()
	c := agent.NewClient(s.addresses[leader])
	defer c.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	if number, err := c.Submit(ctx, drainCommand("stale", "s2")); err == nil {
		require.Greater(t, number, second, "it was agreed on by those that know the second")
	}
	s.eventuallyAll("all have heard the second", func(i agent.InstanceView) bool { return i.OrderResults["s1"].Number == second })
	for n := range 3 {
		require.Equal(t, "ready", s.serverState(n, "s1"))
	}
}

func TestTwoOperatorsAtOnceEndWithOneStateEverywhere(t *testing.T) {
	t.Parallel()
	s := newTestCluster(t, 1, healthyInstances(5)...)
	s.startAgents(0)
	s.eventuallyAll("all are ready", isReady)
	var both sync.WaitGroup
	for who, verb := range []clusterstate.Verb{clusterstate.Drain, clusterstate.Undrain} {
		both.Go(func() {
			for n := range 20 {
				s.submit(clusterstate.Command{ID: fmt.Sprint(who, "-", n), Verb: verb, Server: "s4"})
			}
		})
	}
	both.Wait()
	v := s.view()
	last := v.RecentCommands[len(v.RecentCommands)-1]
	require.Len(t, v.RecentCommands, 40)
	s.eventuallyAll("all have heard the last", func(i agent.InstanceView) bool { return i.OrderResults["s4"].Number == last.Number })
	for n := range 5 {
		require.Equal(t, map[clusterstate.Verb]string{clusterstate.Drain: "draining", clusterstate.Undrain: "ready"}[last.Verb], s.serverState(n, "s4"))
	}
}

func TestCrashLoopsAndOtherVersionsAreToldAndDisturbNobodyElse(t *testing.T) {
	t.Parallel()
	s := newTestCluster(t, 1, "sound", "crash", "later")
	s.startAgents(0)
	number := s.submit(drainCommand("one", "s1"))
	s.eventuallyAll("each is what it is", func(i agent.InstanceView) bool {
		switch i.Name {
		case "n1":
			return i.State == supervisor.CrashLooping && i.Failures >= 5 && strings.Contains(i.Reason, "exit status 3")
		case "n2":
			return i.OrderResults["s1"].Verdict == orders.Refused && strings.Contains(i.OrderResults["s1"].Reason, "control protocol 2 is spoken")
		}
		return i.OrderResults["s1"].Number == number
	})
}

func TestThirtyThatStartAnewAtOnceAllComeBackWithTheOrders(t *testing.T) {
	t.Parallel()
	s := newTestCluster(t, 1, healthyInstances(30)...)
	s.startAgents(0)
	s.eventuallyAll("all are ready", isReady)
	number := s.submit(drainCommand("one", "s1"))
	var all []string
	for n := range 30 {
		all = append(all, fmt.Sprint("n", n))
	}
	restart := s.submit(clusterstate.Command{ID: "again", Verb: clusterstate.Restart, Instances: all})
	s.eventuallyAll("all are ready again", func(i agent.InstanceView) bool {
		return i.CompletedRestart == restart && isReady(i) && i.OrderResults["s1"].Number == number && i.OrderResults["s1"].Verdict == orders.Obeyed
	})
	stop := s.submit(clusterstate.Command{ID: "stop", Verb: clusterstate.Stop, Instances: all[:3]})
	require.Greater(t, stop, restart)
	s.eventuallyAll("three have left", func(i agent.InstanceView) bool {
		return slices.Contains(all[:3], i.Name) == (i.State == supervisor.Stopped)
	})
}

// Guards against a start from half a state.
func TestATornLogIsToldAndNotTouched(t *testing.T) {
	s := newTestCluster(t, 1)
	require.NoError(t, os.MkdirAll(s.dataDir(0), 0o700))
	path := filepath.Join(s.dataDir(0), "log.db")
	torn := []byte(strings.Repeat("torn ", 5000))
	require.NoError(t, os.WriteFile(path, torn, 0o600))
	plan, err := agent.ReadConfig(s.configPaths[0])
	require.NoError(t, err)
	err = agent.Run(context.Background(), plan, agent.SystemClock(), slog.New(slog.DiscardHandler))
	require.ErrorContains(t, err, path)
	require.ErrorContains(t, err, "nothing was changed")
	now, _ := os.ReadFile(path)
	require.Equal(t, torn, now)
}

func TestADiskThatIsFullAtTheStartIsToldAndLeavesNothingHalfMade(t *testing.T) {
	s := newTestCluster(t, 1)
	own, err := os.Executable()
	require.NoError(t, err)
	cmd := exec.Command("/bin/sh", "-c", `ulimit -f 8; exec "$0" "$1"`, own, s.configPaths[0])
	cmd.Env = append(os.Environ(), "HATCH_ROLE=agent")
	said, err := cmd.CombinedOutput()
	require.Error(t, err)
	require.Contains(t, string(said), "log.db cannot be opened; nothing was changed")
	require.Contains(t, string(said), "file too large")
	s.startAgents(0)
	require.Positive(t, s.submit(drainCommand("one", "s1")), "with room again it starts as if nothing had been")
}

func TestAnAgentsFileThatIsWrongIsToldWithItsPlace(t *testing.T) {
	path := filepath.Join(t.TempDir(), "a.toml")
	good := "name = \"a\"\nlisten = \"127.0.0.1:7070\"\nlog = \"127.0.0.1:7071\"\ndata = \"x\"\n"
	for text, want := range map[string]string{
		good + "odd = 1\n":                         path + ":5: odd is unknown",
		good + "peer = 1":                          path + ":5: ",
		"name = \"a/b\"\nlisten = \"0.0.0.0:1\"\n": `"a/b" is not a valid name`,
		good + "[[instance]]\nname = \"a\"\ncontrol = \"unix:x\"\n": `"a" is already used as a name`,
		good + "[[instance]]\nname = \"n\"\n":                       "command and control are required",
	} {
		require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
		_, err := agent.ReadConfig(path)
		require.ErrorContains(t, err, want)
	}
}

// Agents are killed at times drawn from a seed while an operator gives orders: each that was agreed on is heard by every
// instance in the end. With HATCHAGENT_SCHEDULES=200 as many schedules are played.
func TestNoOrderIsLostWheneverAgentsAreKilled(t *testing.T) {
	t.Parallel()
	schedules := 2
	if text := os.Getenv("HATCHAGENT_SCHEDULES"); text != "" {
		_, err := fmt.Sscan(text, &schedules)
		require.NoError(t, err)
	}
	for seed := range schedules {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			rng := rand.New(rand.NewSource(int64(seed)))
			agents := 1 + 2*rng.Intn(2)
			s := newTestCluster(t, agents, healthyInstances(4)...)
			for a := range agents {
				s.startAgents(a)
			}
			newest := map[string]uint64{}
			for n := range 6 {
				server := fmt.Sprint("s", rng.Intn(3))
				killed := rng.Intn(agents)
				wait := time.Duration(rng.Intn(60)) * time.Millisecond
				done := make(chan uint64)
				go func() {
					verb := clusterstate.Drain
					if n%3 == 2 {
						verb = clusterstate.Undrain
					}
					done <- s.submit(clusterstate.Command{ID: fmt.Sprint("o", n), Verb: verb, Server: server})
				}()
				time.Sleep(wait)
				s.killAgent(killed)
				s.startAgents(killed)
				newest[server] = max(newest[server], <-done)
			}
			s.eventuallyAll("all orders are heard", func(i agent.InstanceView) bool {
				for server, number := range newest {
					if i.OrderResults[server].Number < number {
						return false
					}
				}
				return true
			})
		})
	}
}
