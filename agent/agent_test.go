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

// TestMain lets the test binary also run as an agent, which tests can kill, and as a stub of an instance, which handles orders as a
// proxy does and serves no clients.
func TestMain(m *testing.M) {
	log := slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: slog.LevelWarn}))
	switch os.Getenv("HATCH_ROLE") {
	case "agent":
		signal.Ignore(syscall.SIGXFSZ)
		config, err := agent.ReadConfig(os.Args[1])
		if err == nil {
			err = agent.Run(context.Background(), config, agent.SystemClock(), log)
		}
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	case "finder":
		fmt.Print(".")
		_, _ = os.Stdin.Read(make([]byte, 1))
		fmt.Println(agent.FindProcess(os.Args[1]))
		os.Exit(0)
	case "instance":
		os.Exit(runInstanceStub(os.Args[1], os.Args[3], os.Args[5], log))
	}
	os.Exit(m.Run())
}

// instanceStub implements the control API of an instance.
type instanceStub struct {
	mu            sync.Mutex
	registry      *orders.Registry
	startedMicros int64
	ready         bool
	silent        atomic.Bool // calls get no answer
}

func (stub *instanceStub) Status(ctx context.Context) (control.Status, error) {
	for stub.silent.Load() && ctx.Err() == nil {
		time.Sleep(10 * time.Millisecond)
	}
	stub.mu.Lock()
	defer stub.mu.Unlock()
	status := control.Status{ProtocolVersion: control.ProtocolVersion, PID: os.Getpid(), StartedMicros: stub.startedMicros, Ready: stub.ready, Term: stub.registry.Term()}
	for _, order := range stub.registry.Orders() {
		state, _ := stub.registry.State(logic.Micros(time.Now().UnixMicro()), order.ServerID)
		status.Orders = append(status.Orders, control.HeldOrder{Order: order, State: orders.StateName(state)})
	}
	return status, nil
}

func (stub *instanceStub) ApplyOrder(_ context.Context, order orders.Order) (orders.Answer, error) {
	stub.mu.Lock()
	defer stub.mu.Unlock()
	order.ServerID = discovery.ServerID(order.ServerUID)
	answer, _ := stub.registry.Apply(logic.Micros(time.Now().UnixMicro()), order)
	return answer, nil
}

func (stub *instanceStub) Reload(context.Context) error                  { return nil }
func (stub *instanceStub) Leave(context.Context) error                   { return nil }
func (stub *instanceStub) SetLogLevel(context.Context, slog.Level) error { return nil }

// runInstanceStub runs a stub until SIGTERM and returns its exit code. A stub of kind "crash" exits at once; one of kind
// "other-version" speaks another version of the control protocol. The others check that they are given a file of orders. SIGUSR1
// makes them leave calls for their status unanswered, and SIGUSR2 answer again.
func runInstanceStub(kind, controlAddress, ordersPath string, log *slog.Logger) int {
	terminate := make(chan os.Signal, 1)
	signal.Notify(terminate, syscall.SIGTERM)
	if kind == "crash" {
		return 3
	}
	if kind == "other-version" {
		listener, err := net.Listen("unix", strings.TrimPrefix(controlAddress, "unix:"))
		if err != nil {
			return 4
		}
		go http.Serve(listener, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/v1/status" {
				fmt.Fprintf(w, `{"control":2,"pid":%d,"started":5,"ready":true}`, os.Getpid())
				return
			}
			w.WriteHeader(http.StatusNotFound)
			fmt.Fprint(w, `{"error":"control protocol 2 is spoken"}`)
		}))
		<-terminate
		return 0
	}
	stub := &instanceStub{registry: orders.New(), startedMicros: time.Now().UnixMicro(), ready: true}
	stub.registry.BeginFullList()
	for n := range 6 {
		stub.registry.UpdateServer(0, discovery.ServerID(fmt.Sprint("s", n)), logic.Ready, 0)
	}
	stub.registry.EndList()
	text, err := os.ReadFile(ordersPath)
	if err != nil || !strings.HasPrefix(string(text), "[") {
		return 5
	}
	server, err := control.Start(controlAddress, stub, log)
	if err != nil {
		return 6
	}
	defer server.Close()
	silence := make(chan os.Signal, 1)
	signal.Notify(silence, syscall.SIGUSR1, syscall.SIGUSR2)
	go func() {
		for received := range silence {
			stub.silent.Store(received == syscall.SIGUSR1)
		}
	}()
	<-terminate
	return 0
}

// testCluster is a set of agents with their instances, all on this machine. Agents are numbered from 0; instance n belongs to agent
// n modulo the number of agents.
type testCluster struct {
	*testing.T
	dir           string
	addresses     []string // of the agents' HTTP APIs
	configPaths   []string
	instanceCount int

	mu     sync.Mutex
	agents []*exec.Cmd // nil for an agent that doesn't run
}

// addressCounter makes the addresses of freeAddress differ.
var addressCounter atomic.Int64

// freeAddress returns a loopback address with a port on which nothing listens. Its IP address is not one from which connections are
// made, which could take the port before it is used.
func freeAddress(t *testing.T) string {
	l, err := net.Listen("tcp", fmt.Sprintf("127.3.%d.%d:0", os.Getpid()%250, 1+addressCounter.Add(1)%250))
	require.NoError(t, err)
	defer l.Close()
	return l.Addr().String()
}

// newTestCluster writes the configuration of a cluster, without starting it. kinds are the kinds of its stub instances, see
// runInstanceStub. Everything that runs is killed when the test ends, and the agents' logs are printed if it failed.
func newTestCluster(t *testing.T, agents int, kinds ...string) *testCluster {
	t.Helper()
	dir, err := os.MkdirTemp("", "ha")
	require.NoError(t, err)
	tc := &testCluster{T: t, dir: dir, instanceCount: len(kinds), agents: make([]*exec.Cmd, agents)}
	executable, err := os.Executable()
	require.NoError(t, err)
	var logAddresses []string
	for range agents {
		tc.addresses, logAddresses = append(tc.addresses, freeAddress(t)), append(logAddresses, freeAddress(t))
	}
	for a := range agents {
		text := fmt.Sprintf("name = \"a%d\"\nlisten = %q\nlog = %q\ndata = %q\n", a, tc.addresses[a], logAddresses[a], tc.dataDir(a))
		for b := range agents {
			if b != a {
				text += fmt.Sprintf("[[peer]]\nname = \"a%d\"\nlisten = %q\nlog = %q\n", b, tc.addresses[b], logAddresses[b])
			}
		}
		for n, kind := range kinds {
			if n%agents == a {
				text += fmt.Sprintf("[[instance]]\nname = \"n%d\"\ncommand = [\"/usr/bin/env\", \"HATCH_ROLE=instance\", %q, %q]\ncontrol = \"unix:%s/n%d.sock\"\n",
					n, executable, kind, dir, n)
			}
		}
		path := filepath.Join(dir, fmt.Sprintf("a%d.toml", a))
		require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
		tc.configPaths = append(tc.configPaths, path)
	}
	t.Cleanup(func() {
		for a := range tc.agents {
			tc.killAgent(a)
		}
		for n := range kinds {
			if pid := tc.instancePID(n); pid > 1 {
				_ = syscall.Kill(pid, syscall.SIGKILL)
			}
		}
		if t.Failed() {
			for a := range tc.agents {
				text, _ := os.ReadFile(filepath.Join(dir, fmt.Sprintf("a%d.log", a)))
				t.Logf("agent %d: %s", a, text)
			}
		}
		_ = os.RemoveAll(dir)
	})
	return tc
}

// dataDir returns the data directory of agent a.
func (tc *testCluster) dataDir(a int) string { return filepath.Join(tc.dir, fmt.Sprintf("d%d", a)) }

// startAgents starts agents by their numbers.
func (tc *testCluster) startAgents(numbers ...int) {
	tc.Helper()
	executable, err := os.Executable()
	require.NoError(tc, err)
	for _, a := range numbers {
		log, err := os.OpenFile(filepath.Join(tc.dir, fmt.Sprintf("a%d.log", a)), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
		require.NoError(tc, err)
		cmd := exec.Command(executable, tc.configPaths[a])
		cmd.Env = append(os.Environ(), "HATCH_ROLE=agent")
		cmd.Stderr = log
		require.NoError(tc, cmd.Start())
		_ = log.Close()
		tc.mu.Lock()
		tc.agents[a] = cmd
		tc.mu.Unlock()
	}
}

// killAgent kills agent a if it runs. Its instances keep running.
func (tc *testCluster) killAgent(a int) {
	tc.mu.Lock()
	cmd := tc.agents[a]
	tc.agents[a] = nil
	tc.mu.Unlock()
	if cmd != nil {
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
	}
}

// instancePID returns the PID in the process file of instance n; 0 if there is none.
func (tc *testCluster) instancePID(n int) int {
	var pid int
	text, _ := os.ReadFile(filepath.Join(tc.dataDir(n%len(tc.agents)), fmt.Sprintf("n%d.process", n)))
	_, _ = fmt.Sscanf(string(text), `{"pid":%d`, &pid)
	return pid
}

// callAnyAgent calls the running agents one after the other until a call succeeds, and returns the last error if none does.
func (tc *testCluster) callAnyAgent(call func(context.Context, *agent.Client) error) error {
	err := errors.New("no agent runs")
	tc.mu.Lock()
	agents := slices.Clone(tc.agents)
	tc.mu.Unlock()
	for a, cmd := range agents {
		if cmd == nil {
			continue
		}
		client := agent.NewClient(tc.addresses[a])
		ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
		err = call(ctx, client)
		cancel()
		client.Close()
		if err == nil {
			return nil
		}
	}
	return err
}

// submit submits a command until it is committed, each time under the same ID as hatchctl does, and returns its log index.
func (tc *testCluster) submit(command clusterstate.Command) uint64 {
	tc.Helper()
	var number uint64
	require.Eventually(tc, func() bool {
		return tc.callAnyAgent(func(ctx context.Context, client *agent.Client) (err error) {
			number, err = client.Submit(ctx, command)
			return err
		}) == nil
	}, 20*time.Second, 10*time.Millisecond)
	return number
}

func drainCommand(id, server string) clusterstate.Command {
	return clusterstate.Command{ID: id, Verb: clusterstate.Drain, Server: server}
}

// view returns what all agents together know; its zero value if no agent answers.
func (tc *testCluster) view() (v agent.View) {
	_ = tc.callAnyAgent(func(ctx context.Context, client *agent.Client) (err error) {
		v, err = client.ClusterView(ctx)
		return err
	})
	return v
}

// eventuallyAll waits until a condition holds for all instances.
func (tc *testCluster) eventuallyAll(message string, condition func(agent.InstanceView) bool) {
	tc.Helper()
	require.Eventually(tc, func() bool {
		v := tc.view()
		return len(v.Instances) == tc.instanceCount && !slices.ContainsFunc(v.Instances, func(i agent.InstanceView) bool { return !condition(i) })
	}, 30*time.Second, 10*time.Millisecond, message)
}

func isReady(i agent.InstanceView) bool { return i.State == supervisor.Ready && i.Status != nil }

// serverState asks instance n for the state of a server's order. It returns "no order" if there is none, or the error of the call.
func (tc *testCluster) serverState(n int, server string) string {
	client := control.NewClient(fmt.Sprintf("unix:%s/n%d.sock", tc.dir, n))
	defer client.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	status, err := client.Status(ctx)
	if err != nil {
		return err.Error()
	}
	for _, order := range status.Orders {
		if order.ServerUID == server {
			return order.State
		}
	}
	return "no order"
}

// allThreadsStopped reports whether all threads of a process are stopped: SIGSTOP takes some time to reach them all.
func allThreadsStopped(pid int) bool {
	tasks, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/stat", pid))
	return err == nil && len(tasks) > 0 && !slices.ContainsFunc(tasks, func(path string) bool {
		text, err := os.ReadFile(path)
		return err != nil || !strings.Contains(string(text), ") T ")
	})
}

// healthyInstances returns the kinds of n stubs that work.
func healthyInstances(n int) []string { return slices.Repeat([]string{"healthy"}, n) }

func TestRestartedAgentAdoptsInstancesAndKeepsOrders(t *testing.T) {
	t.Parallel()
	cluster := newTestCluster(t, 1, healthyInstances(4)...)
	cluster.startAgents(0)
	cluster.eventuallyAll("all instances are ready", isReady)
	before := cluster.instancePID(2)
	require.NoError(t, syscall.Kill(cluster.instancePID(3), syscall.SIGSTOP)) // it has not received the order when the agent is killed
	require.Eventually(t, func() bool { return allThreadsStopped(cluster.instancePID(3)) }, 5*time.Second, time.Millisecond)
	number := cluster.submit(drainCommand("one", "s1"))
	cluster.killAgent(0)
	cluster.startAgents(0)
	time.Sleep(100 * time.Millisecond) // killed again while it starts
	cluster.killAgent(0)
	cluster.startAgents(0)
	require.NoError(t, syscall.Kill(cluster.instancePID(3), syscall.SIGCONT))
	cluster.eventuallyAll("all instances have received the order", func(i agent.InstanceView) bool {
		return i.OrderResults["s1"].Number == number && i.OrderResults["s1"].Verdict == orders.Obeyed
	})
	require.Equal(t, before, cluster.instancePID(2), "no instance was started a second time")
	for n := range 4 {
		require.Equal(t, "draining", cluster.serverState(n, "s1"))
	}
	require.NoError(t, syscall.Kill(cluster.instancePID(2), syscall.SIGKILL))
	require.Eventually(t, func() bool { return cluster.instancePID(2) != before && cluster.serverState(2, "s1") == "draining" }, 10*time.Second, 10*time.Millisecond,
		"an instance that was killed is started again, with the order")
}

func TestStoppedInstanceIsReportedAndObeysWithinTwoSecondsOfContinuing(t *testing.T) {
	t.Parallel()
	cluster := newTestCluster(t, 1, healthyInstances(3)...)
	cluster.startAgents(0)
	cluster.eventuallyAll("all instances are ready", isReady)
	require.NoError(t, syscall.Kill(cluster.instancePID(1), syscall.SIGSTOP))
	require.Eventually(t, func() bool { return allThreadsStopped(cluster.instancePID(1)) }, 5*time.Second, time.Millisecond)
	number := cluster.submit(drainCommand("one", "s2"))
	require.Eventually(t, func() bool {
		v := cluster.view()
		return len(v.Instances) == 3 && v.Instances[0].OrderResults["s2"].Number == number && v.Instances[1].OrderResults["s2"].Number == 0 && v.Instances[2].OrderResults["s2"].Number == number &&
			v.Instances[1].MemberState != "alive"
	}, 15*time.Second, 10*time.Millisecond, "the view shows who obeyed, who did not, and who is missing")
	require.NoError(t, syscall.Kill(cluster.instancePID(1), syscall.SIGCONT))
	continued := time.Now()
	require.Eventually(t, func() bool { return cluster.serverState(1, "s2") == "draining" }, 2*time.Second, 5*time.Millisecond)
	require.Less(t, time.Since(continued), 2*time.Second)
	cluster.eventuallyAll("the agent has the instance's answer", func(i agent.InstanceView) bool { return i.OrderResults["s2"].Number == number })
}

func TestThreeAgentsTolerateLossOfTheLeaderButNotOfTwo(t *testing.T) {
	t.Parallel()
	cluster := newTestCluster(t, 3, healthyInstances(6)...)
	cluster.startAgents(0, 1, 2)
	cluster.eventuallyAll("all instances are ready", isReady)
	first := cluster.submit(drainCommand("first", "s1"))
	leader := 0
	_, err := fmt.Sscanf(cluster.view().Leader, "a%d", &leader)
	require.NoError(t, err)
	go func() {
		_ = cluster.callAnyAgent(func(ctx context.Context, client *agent.Client) error {
			_, err := client.Submit(ctx, drainCommand("second", "s2"))
			return err
		})
	}()
	cluster.killAgent(leader)
	second := cluster.submit(drainCommand("second", "s2"))
	require.Greater(t, second, first)
	third := cluster.submit(clusterstate.Command{ID: "third", Verb: clusterstate.Undrain, Server: "s1"})
	cluster.startAgents(leader)
	cluster.eventuallyAll("all instances have received all orders", func(i agent.InstanceView) bool {
		return i.OrderResults["s1"].Number == third && i.OrderResults["s2"].Number == second
	})
	for n := range 6 {
		require.Equal(t, "ready", cluster.serverState(n, "s1"))
		require.Equal(t, "draining", cluster.serverState(n, "s2"))
	}
	alone := (leader + 1) % 3
	for a := range 3 {
		if a != alone {
			cluster.killAgent(a)
		}
	}
	require.Eventually(t, func() bool {
		return cluster.callAnyAgent(func(ctx context.Context, client *agent.Client) error {
			_, err := client.Submit(ctx, drainCommand("alone", "s3"))
			return err
		}) != nil
	}, 10*time.Second, 100*time.Millisecond, "one agent of three can't commit anything")
	require.Equal(t, "no order", cluster.serverState(alone, "s3"), "an order that was not committed reaches no instance")
	require.Equal(t, "draining", cluster.serverState(alone, "s2"), "earlier orders stay in effect")
}

// A leader that was stopped or cut off must not send its instances outdated orders when it continues.
func TestStoppedLeaderGivesNoStaleOrdersAfterContinuing(t *testing.T) {
	t.Parallel()
	cluster := newTestCluster(t, 3, healthyInstances(3)...)
	cluster.startAgents(0, 1, 2)
	cluster.eventuallyAll("all instances are ready", isReady)
	cluster.submit(drainCommand("first", "s1"))
	cluster.eventuallyAll("all instances have received the order", func(i agent.InstanceView) bool { return i.OrderResults["s1"].Number > 0 })
	leader := 0
	_, err := fmt.Sscanf(cluster.view().Leader, "a%d", &leader)
	require.NoError(t, err)
	stopped := cluster.agents[leader]
	require.NoError(t, stopped.Process.Signal(syscall.SIGSTOP))
	require.Eventually(t, func() bool { return allThreadsStopped(stopped.Process.Pid) }, 5*time.Second, time.Millisecond)
	cluster.mu.Lock()
	cluster.agents[leader] = nil // callAnyAgent skips it
	cluster.mu.Unlock()
	second := cluster.submit(clusterstate.Command{ID: "second", Verb: clusterstate.Undrain, Server: "s1"})
	require.Equal(t, "draining", cluster.serverState(leader, "s1"), "the stopped agent's instance keeps its last orders")
	require.NoError(t, stopped.Process.Signal(syscall.SIGCONT))
	cluster.mu.Lock()
	cluster.agents[leader] = stopped
	cluster.mu.Unlock()
	client := agent.NewClient(cluster.addresses[leader])
	defer client.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	if number, err := client.Submit(ctx, drainCommand("stale", "s2")); err == nil {
		require.Greater(t, number, second, "the command was committed after the second one")
	}
	cluster.eventuallyAll("all instances have received the second order", func(i agent.InstanceView) bool { return i.OrderResults["s1"].Number == second })
	for n := range 3 {
		require.Equal(t, "ready", cluster.serverState(n, "s1"))
	}
}

func TestConcurrentOperatorsEndWithOneStateEverywhere(t *testing.T) {
	t.Parallel()
	cluster := newTestCluster(t, 1, healthyInstances(5)...)
	cluster.startAgents(0)
	cluster.eventuallyAll("all instances are ready", isReady)
	var operators sync.WaitGroup
	for operator, verb := range []clusterstate.Verb{clusterstate.Drain, clusterstate.Undrain} {
		operators.Go(func() {
			for n := range 20 {
				cluster.submit(clusterstate.Command{ID: fmt.Sprint(operator, "-", n), Verb: verb, Server: "s4"})
			}
		})
	}
	operators.Wait()
	v := cluster.view()
	last := v.RecentCommands[len(v.RecentCommands)-1]
	require.Len(t, v.RecentCommands, 40)
	cluster.eventuallyAll("all instances have received the last order", func(i agent.InstanceView) bool { return i.OrderResults["s4"].Number == last.Number })
	for n := range 5 {
		require.Equal(t, map[clusterstate.Verb]string{clusterstate.Drain: "draining", clusterstate.Undrain: "ready"}[last.Verb], cluster.serverState(n, "s4"))
	}
}

func TestCrashLoopsAndOtherProtocolVersionsAreReportedAndAffectNoOtherInstance(t *testing.T) {
	t.Parallel()
	cluster := newTestCluster(t, 1, "healthy", "crash", "other-version")
	cluster.startAgents(0)
	number := cluster.submit(drainCommand("one", "s1"))
	cluster.eventuallyAll("each instance is reported as its kind requires", func(i agent.InstanceView) bool {
		switch i.Name {
		case "n1":
			return i.State == supervisor.CrashLooping && i.Failures >= 5 && strings.Contains(i.Reason, "exit status 3")
		case "n2":
			return i.OrderResults["s1"].Verdict == orders.Refused && strings.Contains(i.OrderResults["s1"].Reason, "control protocol 2 is spoken")
		}
		return i.OrderResults["s1"].Number == number
	})
}

func TestThirtyInstancesRestartedAtOnceReturnWithTheirOrders(t *testing.T) {
	t.Parallel()
	cluster := newTestCluster(t, 1, healthyInstances(30)...)
	cluster.startAgents(0)
	cluster.eventuallyAll("all instances are ready", isReady)
	number := cluster.submit(drainCommand("one", "s1"))
	var all []string
	for n := range 30 {
		all = append(all, fmt.Sprint("n", n))
	}
	restart := cluster.submit(clusterstate.Command{ID: "again", Verb: clusterstate.Restart, Instances: all})
	cluster.eventuallyAll("all instances are ready again", func(i agent.InstanceView) bool {
		return i.CompletedRestart == restart && isReady(i) && i.OrderResults["s1"].Number == number && i.OrderResults["s1"].Verdict == orders.Obeyed
	})
	stop := cluster.submit(clusterstate.Command{ID: "stop", Verb: clusterstate.Stop, Instances: all[:3]})
	require.Greater(t, stop, restart)
	cluster.eventuallyAll("the three stopped instances have exited", func(i agent.InstanceView) bool {
		return slices.Contains(all[:3], i.Name) == (i.State == supervisor.Stopped)
	})
}

// An agent must not start from a part of its log.
func TestCorruptLogIsReportedAndNotModified(t *testing.T) {
	cluster := newTestCluster(t, 1)
	require.NoError(t, os.MkdirAll(cluster.dataDir(0), 0o700))
	path := filepath.Join(cluster.dataDir(0), "log.db")
	corrupt := []byte(strings.Repeat("torn ", 5000))
	require.NoError(t, os.WriteFile(path, corrupt, 0o600))
	config, err := agent.ReadConfig(cluster.configPaths[0])
	require.NoError(t, err)
	err = agent.Run(context.Background(), config, agent.SystemClock(), slog.New(slog.DiscardHandler))
	require.ErrorContains(t, err, path)
	require.ErrorContains(t, err, "nothing was changed")
	after, _ := os.ReadFile(path)
	require.Equal(t, corrupt, after)
}

func TestFullDiskAtStartIsReportedAndLeavesNoPartialLog(t *testing.T) {
	cluster := newTestCluster(t, 1)
	executable, err := os.Executable()
	require.NoError(t, err)
	cmd := exec.Command("/bin/sh", "-c", `ulimit -f 8; exec "$0" "$1"`, executable, cluster.configPaths[0])
	cmd.Env = append(os.Environ(), "HATCH_ROLE=agent")
	output, err := cmd.CombinedOutput()
	require.Error(t, err)
	require.Contains(t, string(output), "log.db cannot be opened; nothing was changed")
	require.Contains(t, string(output), "file too large")
	cluster.startAgents(0)
	require.Positive(t, cluster.submit(drainCommand("one", "s1")), "it starts normally once there is room")
}

func TestInvalidConfigIsReportedWithItsPlace(t *testing.T) {
	path := filepath.Join(t.TempDir(), "a.toml")
	valid := "name = \"a\"\nlisten = \"127.0.0.1:7070\"\nlog = \"127.0.0.1:7071\"\ndata = \"x\"\n"
	for text, want := range map[string]string{
		valid + "odd = 1\n":                                          path + ":5: odd is unknown",
		valid + "peer = 1":                                           path + ":5: ",
		"name = \"a/b\"\nlisten = \"0.0.0.0:1\"\n":                   `"a/b" is not a valid name`,
		valid + "[[instance]]\nname = \"a\"\ncontrol = \"unix:x\"\n": `"a" is already used as a name`,
		valid + "[[instance]]\nname = \"n\"\n":                       "command and control are required",
	} {
		require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
		_, err := agent.ReadConfig(path)
		require.ErrorContains(t, err, want)
	}
}

// Agents are killed at times drawn from a seed while an operator submits orders: every committed order must reach every instance in
// the end. HATCHAGENT_SCHEDULES is the number of seeds; by default 2.
func TestNoOrderIsLostWhenAgentsAreKilledAtAnyTime(t *testing.T) {
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
			cluster := newTestCluster(t, agents, healthyInstances(4)...)
			for a := range agents {
				cluster.startAgents(a)
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
					done <- cluster.submit(clusterstate.Command{ID: fmt.Sprint("o", n), Verb: verb, Server: server})
				}()
				time.Sleep(wait)
				cluster.killAgent(killed)
				cluster.startAgents(killed)
				newest[server] = max(newest[server], <-done)
			}
			cluster.eventuallyAll("all instances have received all orders", func(i agent.InstanceView) bool {
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
