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
	"hatchproxy/agent/keeper"
	"hatchproxy/agent/wanted"
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
		plan, err := agent.ReadPlan(os.Args[1])
		if err == nil {
			err = agent.Run(context.Background(), plan, agent.Sound(), quiet)
		}
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	case "finder":
		fmt.Print(".")
		_, _ = os.Stdin.Read(make([]byte, 1))
		fmt.Println(agent.FindProcess(os.Args[1]))
		os.Exit(0)
	case "instance":
		os.Exit(standIn(os.Args[1], os.Args[3], os.Args[5], quiet))
	}
	os.Exit(m.Run())
}

// desk is a stand-in's surface.
type desk struct {
	mu      sync.Mutex
	desk    *orders.Registry
	started int64
	ready   bool
}

func (d *desk) Status(context.Context) (control.Status, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	st := control.Status{ProtocolVersion: control.ProtocolVersion, PID: os.Getpid(), StartedMicros: d.started, Ready: d.ready, Term: d.desk.Term()}
	for _, o := range d.desk.Orders() {
		state, _ := d.desk.State(logic.Micros(time.Now().UnixMicro()), o.ServerID)
		st.Orders = append(st.Orders, control.HeldOrder{Order: o, State: orders.StateName(state)})
	}
	return st, nil
}

func (d *desk) ApplyOrder(_ context.Context, o orders.Order) (orders.Answer, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	o.ServerID = discovery.ServerID(o.ServerUID)
	ans, _ := d.desk.Apply(logic.Micros(time.Now().UnixMicro()), o)
	return ans, nil
}

func (d *desk) Reload(context.Context) error                  { return nil }
func (d *desk) Leave(context.Context) error                   { return nil }
func (d *desk) SetLogLevel(context.Context, slog.Level) error { return nil }

func standIn(kind, at, held string, log *slog.Logger) int {
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
	d := &desk{desk: orders.New(), started: time.Now().UnixMicro(), ready: true}
	d.desk.BeginFullList()
	for n := range 6 {
		d.desk.UpdateServer(0, discovery.ServerID(fmt.Sprint("s", n)), logic.Ready, 0)
	}
	d.desk.EndList()
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

// site is a machine with agents and their instances.
type site struct {
	*testing.T
	folder    string
	listen    []string
	plans     []string
	instances int

	mu     sync.Mutex
	agents []*exec.Cmd // nil for one that does not run
}

var addresses atomic.Int64

// free is an address on which nobody listens. It is none of those that connections go out from, which would take it
// before it is used, and no other's.
func free(t *testing.T) string {
	l, err := net.Listen("tcp", fmt.Sprintf("127.3.%d.%d:0", os.Getpid()%250, 1+addresses.Add(1)%250))
	require.NoError(t, err)
	defer l.Close()
	return l.Addr().String()
}

// build writes a site down; kinds are its instances', dealt out over the agents in turn.
func build(t *testing.T, agents int, kinds ...string) *site {
	t.Helper()
	folder, err := os.MkdirTemp("", "ha")
	require.NoError(t, err)
	s := &site{T: t, folder: folder, instances: len(kinds), agents: make([]*exec.Cmd, agents)}
	own, err := os.Executable()
	require.NoError(t, err)
	var logs []string
	for range agents {
		s.listen, logs = append(s.listen, free(t)), append(logs, free(t))
	}
	for a := range agents {
		text := fmt.Sprintf("name = \"a%d\"\nlisten = %q\nlog = %q\ndata = %q\n", a, s.listen[a], logs[a], s.data(a))
		for b := range agents {
			if b != a {
				text += fmt.Sprintf("[[peer]]\nname = \"a%d\"\nlisten = %q\nlog = %q\n", b, s.listen[b], logs[b])
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
		s.plans = append(s.plans, path)
	}
	t.Cleanup(func() {
		for a := range s.agents {
			s.kill(a)
		}
		for n := range kinds {
			if pid := s.pid(n); pid > 1 {
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

func (s *site) data(a int) string { return filepath.Join(s.folder, fmt.Sprintf("d%d", a)) }

func (s *site) start(which ...int) {
	s.Helper()
	own, err := os.Executable()
	require.NoError(s, err)
	for _, a := range which {
		log, err := os.OpenFile(filepath.Join(s.folder, fmt.Sprintf("a%d.log", a)), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
		require.NoError(s, err)
		cmd := exec.Command(own, s.plans[a])
		cmd.Env = append(os.Environ(), "HATCH_ROLE=agent")
		cmd.Stderr = log
		require.NoError(s, cmd.Start())
		_ = log.Close()
		s.mu.Lock()
		s.agents[a] = cmd
		s.mu.Unlock()
	}
}

func (s *site) kill(a int) {
	s.mu.Lock()
	cmd := s.agents[a]
	s.agents[a] = nil
	s.mu.Unlock()
	if cmd != nil {
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
	}
}

// pid is an instance's process, as its agent has written it down.
func (s *site) pid(n int) int {
	var pid int
	text, _ := os.ReadFile(filepath.Join(s.data(n%len(s.agents)), fmt.Sprintf("n%d.process", n)))
	_, _ = fmt.Sscanf(string(text), `{"pid":%d`, &pid)
	return pid
}

// ask asks the agents that run, one after the other.
func (s *site) ask(how func(context.Context, *agent.Client) error) error {
	err := errors.New("no agent runs")
	s.mu.Lock()
	agents := slices.Clone(s.agents)
	s.mu.Unlock()
	for a, cmd := range agents {
		if cmd == nil {
			continue
		}
		c := agent.Dial(s.listen[a])
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

// say has a command agreed on, as the tool does: again under the same id until it is.
func (s *site) say(c wanted.Command) uint64 {
	s.Helper()
	var number uint64
	require.Eventually(s, func() bool {
		return s.ask(func(ctx context.Context, a *agent.Client) (err error) {
			number, err = a.Say(ctx, c)
			return err
		}) == nil
	}, 20*time.Second, 10*time.Millisecond)
	return number
}

func drain(id, server string) wanted.Command {
	return wanted.Command{ID: id, Verb: wanted.Drain, Server: server}
}

func (s *site) view() (v agent.View) {
	_ = s.ask(func(ctx context.Context, a *agent.Client) (err error) {
		v, err = a.Whole(ctx)
		return err
	})
	return v
}

// eventually waits until all instances are as wanted.
func (s *site) eventually(what string, good func(agent.InstanceView) bool) {
	s.Helper()
	require.Eventually(s, func() bool {
		v := s.view()
		return len(v.Instances) == s.instances && !slices.ContainsFunc(v.Instances, func(i agent.InstanceView) bool { return !good(i) })
	}, 30*time.Second, 10*time.Millisecond, what)
}

func ready(i agent.InstanceView) bool { return i.State == keeper.Ready && i.Status != nil }

// state is what an instance itself says of a server.
func (s *site) state(n int, server string) string {
	c := control.NewClient(fmt.Sprintf("unix:%s/n%d.sock", s.folder, n))
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

// allStopped tells whether each thread of a process stands still: a signal takes its time to reach them all.
func allStopped(pid int) bool {
	tasks, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/stat", pid))
	return err == nil && len(tasks) > 0 && !slices.ContainsFunc(tasks, func(path string) bool {
		text, err := os.ReadFile(path)
		return err != nil || !strings.Contains(string(text), ") T ")
	})
}

func sound(n int) []string { return slices.Repeat([]string{"sound"}, n) }

func TestAnAgentThatIsKilledLeavesItsInstancesAndTheNextOneFindsThemAndKeepsTheOrders(t *testing.T) {
	t.Parallel()
	s := build(t, 1, sound(4)...)
	s.start(0)
	s.eventually("all are ready", ready)
	before := s.pid(2)
	require.NoError(t, syscall.Kill(s.pid(3), syscall.SIGSTOP)) // it has not heard when the agent dies
	require.Eventually(t, func() bool { return allStopped(s.pid(3)) }, 5*time.Second, time.Millisecond)
	number := s.say(drain("one", "s1"))
	s.kill(0)
	s.start(0)
	time.Sleep(100 * time.Millisecond) // killed again during its own start
	s.kill(0)
	s.start(0)
	require.NoError(t, syscall.Kill(s.pid(3), syscall.SIGCONT))
	s.eventually("all have heard", func(i agent.InstanceView) bool {
		return i.Heard["s1"].Number == number && i.Heard["s1"].Verdict == orders.Obeyed
	})
	require.Equal(t, before, s.pid(2), "nobody was started a second time")
	for n := range 4 {
		require.Equal(t, "draining", s.state(n, "s1"))
	}
	require.NoError(t, syscall.Kill(s.pid(2), syscall.SIGKILL))
	require.Eventually(t, func() bool { return s.pid(2) != before && s.state(2, "s1") == "draining" }, 10*time.Second, 10*time.Millisecond,
		"one that fell is started again, and has the order from its start")
}

func TestAnInstanceThatNeverAnswersIsTellableAndObeysWithinTwoSecondsOfWaking(t *testing.T) {
	t.Parallel()
	s := build(t, 1, sound(3)...)
	s.start(0)
	s.eventually("all are ready", ready)
	require.NoError(t, syscall.Kill(s.pid(1), syscall.SIGSTOP))
	require.Eventually(t, func() bool { return allStopped(s.pid(1)) }, 5*time.Second, time.Millisecond)
	number := s.say(drain("one", "s2"))
	require.Eventually(t, func() bool {
		v := s.view()
		return len(v.Instances) == 3 && v.Instances[0].Heard["s2"].Number == number && v.Instances[1].Heard["s2"].Number == 0 && v.Instances[2].Heard["s2"].Number == number &&
			v.Instances[1].Member != "alive"
	}, 15*time.Second, 10*time.Millisecond, "who obeyed and who did not, and who is missing")
	require.NoError(t, syscall.Kill(s.pid(1), syscall.SIGCONT))
	woken := time.Now()
	require.Eventually(t, func() bool { return s.state(1, "s2") == "draining" }, 2*time.Second, 5*time.Millisecond)
	require.Less(t, time.Since(woken), 2*time.Second)
	s.eventually("and the agent knows", func(i agent.InstanceView) bool { return i.Heard["s2"].Number == number })
}

func TestThreeAgentsGoOnWithoutTheLeaderAndTwoThatAreGoneStopTheThird(t *testing.T) {
	t.Parallel()
	s := build(t, 3, sound(6)...)
	s.start(0, 1, 2)
	s.eventually("all are ready", ready)
	first := s.say(drain("first", "s1"))
	leader := 0
	_, err := fmt.Sscanf(s.view().Leader, "a%d", &leader)
	require.NoError(t, err)
	go func() {
		_ = s.ask(func(ctx context.Context, a *agent.Client) error {
			_, err := a.Say(ctx, drain("second", "s2"))
			return err
		})
	}()
	s.kill(leader)
	second := s.say(drain("second", "s2"))
	require.Greater(t, second, first)
	third := s.say(wanted.Command{ID: "third", Verb: wanted.Undrain, Server: "s1"})
	s.start(leader)
	s.eventually("all have heard all", func(i agent.InstanceView) bool {
		return i.Heard["s1"].Number == third && i.Heard["s2"].Number == second
	})
	for n := range 6 {
		require.Equal(t, "ready", s.state(n, "s1"))
		require.Equal(t, "draining", s.state(n, "s2"))
	}
	alone := (leader + 1) % 3
	for a := range 3 {
		if a != alone {
			s.kill(a)
		}
	}
	require.Eventually(t, func() bool {
		return s.ask(func(ctx context.Context, a *agent.Client) error {
			_, err := a.Say(ctx, drain("alone", "s3"))
			return err
		}) != nil
	}, 10*time.Second, 100*time.Millisecond, "one of three agrees with nobody")
	require.Equal(t, "no order", s.state(alone, "s3"), "what was not agreed on reaches nobody")
	require.Equal(t, "draining", s.state(alone, "s2"), "and what was still stands")
}

// Guards against an agent that was cut off and comes back with what stood before.
func TestALeaderThatWasStoppedGivesNoStaleOrdersWhenItGoesOn(t *testing.T) {
	t.Parallel()
	s := build(t, 3, sound(3)...)
	s.start(0, 1, 2)
	s.eventually("all are ready", ready)
	s.say(drain("first", "s1"))
	s.eventually("all have heard", func(i agent.InstanceView) bool { return i.Heard["s1"].Number > 0 })
	leader := 0
	_, err := fmt.Sscanf(s.view().Leader, "a%d", &leader)
	require.NoError(t, err)
	stopped := s.agents[leader]
	require.NoError(t, stopped.Process.Signal(syscall.SIGSTOP))
	require.Eventually(t, func() bool { return allStopped(stopped.Process.Pid) }, 5*time.Second, time.Millisecond)
	s.mu.Lock()
	s.agents[leader] = nil // nobody asks it
	s.mu.Unlock()
	second := s.say(wanted.Command{ID: "second", Verb: wanted.Undrain, Server: "s1"})
	require.Equal(t, "draining", s.state(leader, "s1"), "the stopped agent's instance goes on with its last orders")
	require.NoError(t, stopped.Process.Signal(syscall.SIGCONT))
	s.mu.Lock()
	s.agents[leader] = stopped
	s.mu.Unlock()
	c := agent.Dial(s.listen[leader])
	defer c.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	if number, err := c.Say(ctx, drain("stale", "s2")); err == nil {
		require.Greater(t, number, second, "it was agreed on by those that know the second")
	}
	s.eventually("all have heard the second", func(i agent.InstanceView) bool { return i.Heard["s1"].Number == second })
	for n := range 3 {
		require.Equal(t, "ready", s.state(n, "s1"))
	}
}

func TestTwoOperatorsAtOnceEndWithOneStateEverywhere(t *testing.T) {
	t.Parallel()
	s := build(t, 1, sound(5)...)
	s.start(0)
	s.eventually("all are ready", ready)
	var both sync.WaitGroup
	for who, verb := range []wanted.Verb{wanted.Drain, wanted.Undrain} {
		both.Go(func() {
			for n := range 20 {
				s.say(wanted.Command{ID: fmt.Sprint(who, "-", n), Verb: verb, Server: "s4"})
			}
		})
	}
	both.Wait()
	v := s.view()
	last := v.Past[len(v.Past)-1]
	require.Len(t, v.Past, 40)
	s.eventually("all have heard the last", func(i agent.InstanceView) bool { return i.Heard["s4"].Number == last.Number })
	for n := range 5 {
		require.Equal(t, map[wanted.Verb]string{wanted.Drain: "draining", wanted.Undrain: "ready"}[last.Verb], s.state(n, "s4"))
	}
}

func TestCrashLoopsAndOtherVersionsAreToldAndDisturbNobodyElse(t *testing.T) {
	t.Parallel()
	s := build(t, 1, "sound", "crash", "later")
	s.start(0)
	number := s.say(drain("one", "s1"))
	s.eventually("each is what it is", func(i agent.InstanceView) bool {
		switch i.Name {
		case "n1":
			return i.State == keeper.Looping && i.Falls >= 5 && strings.Contains(i.Why, "exit status 3")
		case "n2":
			return i.Heard["s1"].Verdict == orders.Refused && strings.Contains(i.Heard["s1"].Why, "control protocol 2 is spoken")
		}
		return i.Heard["s1"].Number == number
	})
}

func TestThirtyThatStartAnewAtOnceAllComeBackWithTheOrders(t *testing.T) {
	t.Parallel()
	s := build(t, 1, sound(30)...)
	s.start(0)
	s.eventually("all are ready", ready)
	number := s.say(drain("one", "s1"))
	var all []string
	for n := range 30 {
		all = append(all, fmt.Sprint("n", n))
	}
	restart := s.say(wanted.Command{ID: "again", Verb: wanted.Restart, Instances: all})
	s.eventually("all are ready again", func(i agent.InstanceView) bool {
		return i.Restarted == restart && ready(i) && i.Heard["s1"].Number == number && i.Heard["s1"].Verdict == orders.Obeyed
	})
	stop := s.say(wanted.Command{ID: "stop", Verb: wanted.Stop, Instances: all[:3]})
	require.Greater(t, stop, restart)
	s.eventually("three have left", func(i agent.InstanceView) bool {
		return slices.Contains(all[:3], i.Name) == (i.State == keeper.Stopped)
	})
}

// Guards against a start from half a state.
func TestATornLogIsToldAndNotTouched(t *testing.T) {
	s := build(t, 1)
	require.NoError(t, os.MkdirAll(s.data(0), 0o700))
	path := filepath.Join(s.data(0), "log.db")
	torn := []byte(strings.Repeat("torn ", 5000))
	require.NoError(t, os.WriteFile(path, torn, 0o600))
	plan, err := agent.ReadPlan(s.plans[0])
	require.NoError(t, err)
	err = agent.Run(context.Background(), plan, agent.Sound(), slog.New(slog.DiscardHandler))
	require.ErrorContains(t, err, path)
	require.ErrorContains(t, err, "nothing was changed")
	now, _ := os.ReadFile(path)
	require.Equal(t, torn, now)
}

func TestADiskThatIsFullAtTheStartIsToldAndLeavesNothingHalfMade(t *testing.T) {
	s := build(t, 1)
	own, err := os.Executable()
	require.NoError(t, err)
	cmd := exec.Command("/bin/sh", "-c", `ulimit -f 8; exec "$0" "$1"`, own, s.plans[0])
	cmd.Env = append(os.Environ(), "HATCH_ROLE=agent")
	said, err := cmd.CombinedOutput()
	require.Error(t, err)
	require.Contains(t, string(said), "log.db cannot be opened; nothing was changed")
	require.Contains(t, string(said), "file too large")
	s.start(0)
	require.Positive(t, s.say(drain("one", "s1")), "with room again it starts as if nothing had been")
}

func TestAnAgentsFileThatIsWrongIsToldWithItsPlace(t *testing.T) {
	path := filepath.Join(t.TempDir(), "a.toml")
	good := "name = \"a\"\nlisten = \"127.0.0.1:7070\"\nlog = \"127.0.0.1:7071\"\ndata = \"x\"\n"
	for text, want := range map[string]string{
		good + "odd = 1\n":                         path + ":5: odd is unknown",
		good + "peer = 1":                          path + ":5: ",
		"name = \"a/b\"\nlisten = \"0.0.0.0:1\"\n": `"a/b" is no name`,
		good + "[[instance]]\nname = \"a\"\ncontrol = \"unix:x\"\n": `"a" is named twice`,
		good + "[[instance]]\nname = \"n\"\n":                       "command and control are needed",
	} {
		require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
		_, err := agent.ReadPlan(path)
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
			s := build(t, agents, sound(4)...)
			for a := range agents {
				s.start(a)
			}
			newest := map[string]uint64{}
			for n := range 6 {
				server := fmt.Sprint("s", rng.Intn(3))
				killed := rng.Intn(agents)
				wait := time.Duration(rng.Intn(60)) * time.Millisecond
				done := make(chan uint64)
				go func() {
					verb := wanted.Drain
					if n%3 == 2 {
						verb = wanted.Undrain
					}
					done <- s.say(wanted.Command{ID: fmt.Sprint("o", n), Verb: verb, Server: server})
				}()
				time.Sleep(wait)
				s.kill(killed)
				s.start(killed)
				newest[server] = max(newest[server], <-done)
			}
			s.eventually("all orders are heard", func(i agent.InstanceView) bool {
				for server, number := range newest {
					if i.Heard[server].Number < number {
						return false
					}
				}
				return true
			})
		})
	}
}
