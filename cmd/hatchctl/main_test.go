package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"

	"hatchproxy/agent"
	"hatchproxy/agent/clusterstate"
	"hatchproxy/agent/supervisor"
	"hatchproxy/lease"
	"hatchproxy/orders"
)

// newFakeAgent starts a fake agent with these instances, which answers commands with an HTTP status. It returns its address and the
// commands that it has received. If the first instance is named "conducted", the agent reports a conductor and rolling restarts.
func newFakeAgent(t *testing.T, status int, instances ...agent.InstanceView) (string, *[]clusterstate.Command) {
	commands := &[]clusterstate.Command{}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/v1/commands" {
			var c clusterstate.Command
			if err := json.NewDecoder(r.Body).Decode(&c); err != nil {
				t.Error(err)
			}
			*commands = append(*commands, c)
			w.WriteHeader(status)
			if status != http.StatusOK {
				_, _ = w.Write([]byte(`{"error":"no agent leads now"}`))
				return
			}
			_, _ = w.Write([]byte(`{"number":7}`))
			return
		}
		v := agent.View{Agent: "a1", Leader: "a1", Instances: instances}
		if len(instances) > 0 && instances[0].Name == "conducted" {
			v.Duties = []agent.DutyView{{Duty: agent.Conductor, Grant: lease.Grant{Holder: "a2", Token: 41, Reason: "its holder fell silent"}, Remaining: 1_500_000}}
			for _, c := range *commands {
				v.RollingRestarts = append(v.RollingRestarts, clusterstate.RollingRestart{ID: c.ID, State: clusterstate.RollingRestartState(instances[0].Reason), Reason: "n4 falls", Instances: c.Instances, Share: c.Share})
			}
		}
		_ = json.NewEncoder(w).Encode(v)
	}))
	t.Cleanup(server.Close)
	return server.Listener.Addr().String(), commands
}

// runHatchctl runs a command and returns its output and exit code.
func runHatchctl(args ...string) (string, int) {
	var out bytes.Buffer
	c := newRootCommand()
	c.SetArgs(append(args, "--within", "300ms"))
	c.SetOut(&out)
	c.SetErr(&bytes.Buffer{})
	err := c.Execute()
	var e exitError
	switch {
	case err == nil:
		return out.String(), exitSuccess
	case errors.As(err, &e):
		return out.String(), e.code
	}
	return out.String(), exitCannotRun
}

// instanceThatAnswered returns a running instance that has answered order 7, on server s1.
func instanceThatAnswered(name string, v orders.Verdict) agent.InstanceView {
	return agent.InstanceView{Name: name, Agent: "a1", ShouldRun: true, State: supervisor.Ready, MemberState: "alive",
		OrderResults: map[string]agent.OrderResult{"s1": {Number: 7, Verdict: v, Reason: "as it is"}}}
}

func TestExitCodeOfOrder(t *testing.T) {
	obeyed, silent := instanceThatAnswered("n1", orders.Obeyed), agent.InstanceView{Name: "n2", ShouldRun: true, State: supervisor.Ready, MemberState: "lost"}
	stopped, leaving := agent.InstanceView{Name: "n3", State: supervisor.Stopped}, agent.InstanceView{Name: "n4", State: supervisor.Leaving, MemberState: "left"}
	notLookedFor := agent.InstanceView{Name: "n5", State: supervisor.Unknown, MemberState: "joining"}
	for name, c := range map[string]struct {
		status    int
		instances []agent.InstanceView
		code      int
		contains  string
	}{
		"all obeyed":                                 {200, []agent.InstanceView{obeyed, stopped}, exitSuccess, `"verdict": "not running"`},
		"one does not answer":                        {200, []agent.InstanceView{obeyed, silent}, exitNoAnswer, `"why": "ready, lost"`},
		"one is still leaving":                       {200, []agent.InstanceView{obeyed, leaving}, exitNoAnswer, `"why": "leaving, left"`},
		"an agent has not looked for its instance":   {200, []agent.InstanceView{obeyed, notLookedFor}, exitNoAnswer, `"why": "unknown, joining"`},
		"one refuses":                                {200, []agent.InstanceView{obeyed, instanceThatAnswered("n2", orders.Refused)}, exitRefused, `"verdict": "refused"`},
		"one does not know the server":               {200, []agent.InstanceView{obeyed, instanceThatAnswered("n2", orders.Unknown)}, exitRefused, `"verdict": "unknown"`},
		"an answer to an older order does not count": {200, []agent.InstanceView{{Name: "n1", ShouldRun: true, State: supervisor.Ready, OrderResults: map[string]agent.OrderResult{"s1": {Number: 6, Verdict: orders.Obeyed}}}}, exitNoAnswer, `"no answer"`},
		"the command is not committed":               {503, []agent.InstanceView{obeyed}, exitNotCommitted, ""},
	} {
		t.Run(name, func(t *testing.T) {
			address, commands := newFakeAgent(t, c.status, c.instances...)
			out, code := runHatchctl("drain", "s1", "--json", "--agent", address, "--id", "mine")
			require.Equal(t, c.code, code)
			require.Contains(t, out, c.contains)
			require.NotEmpty(t, *commands)
			for _, x := range *commands {
				require.Equal(t, "mine", x.ID, "retried with the same ID")
			}
		})
	}
}

func TestNextAgentIsTriedIfOneDoesNotAnswer(t *testing.T) {
	address, _ := newFakeAgent(t, 200, instanceThatAnswered("n1", orders.Obeyed))
	out, code := runHatchctl("drain", "s1", "--agent", "127.0.0.1:1,"+address)
	require.Equal(t, exitSuccess, code)
	require.Regexp(t, `n1\s+a1\s+obeyed`, out)
	_, code = runHatchctl("status", "--agent", "127.0.0.1:1")
	require.Equal(t, exitCannotRun, code)
	_, code = runHatchctl("stop", "nobody", "--agent", address)
	require.Equal(t, exitCannotRun, code)
	out, code = runHatchctl("status", "--agent", address)
	require.Equal(t, exitSuccess, code)
	require.Contains(t, out, "n1")
	_, code = runHatchctl("restart", "--rolling", "--share", "2", "--agent", address)
	require.Equal(t, exitCannotRun, code)
}

func TestRollingRestartStopsAtTheFirstFailure(t *testing.T) {
	looping := agent.InstanceView{Name: "n1", ShouldRun: true, State: supervisor.CrashLooping, Reason: "exit status 3"}
	address, commands := newFakeAgent(t, 200, looping, instanceThatAnswered("n2", orders.Obeyed), instanceThatAnswered("n3", orders.Obeyed))
	_, code := runHatchctl("restart", "--rolling", "--share", "0.34", "--agent", address)
	require.Equal(t, exitRefused, code)
	require.Len(t, *commands, 1)
	require.Equal(t, []string{"n1"}, (*commands)[0].Instances, "a third of three at a time")
}

// A rolling restart that hatchctl drives ends with hatchctl. If an agent is the conductor, hatchctl only starts the rolling restart and
// waits for it.
func TestRollingRestartIsLeftToTheConductor(t *testing.T) {
	for state, code := range map[clusterstate.RollingRestartState]int{clusterstate.Done: exitSuccess, clusterstate.Paused: exitRefused, clusterstate.Running: exitNoAnswer} {
		address, commands := newFakeAgent(t, http.StatusOK, agent.InstanceView{Name: "conducted", Reason: string(state)})
		_, got := runHatchctl("restart", "--rolling", "--share", "0.5", "--agent", address)
		require.Equal(t, code, got, state)
		require.Len(t, *commands, 1)
		require.Equal(t, clusterstate.Roll, (*commands)[0].Verb)
		require.Equal(t, []string{"conducted"}, (*commands)[0].Instances)
	}
}

func TestDutiesAreShownAndTransferred(t *testing.T) {
	address, commands := newFakeAgent(t, http.StatusOK, agent.InstanceView{Name: "conducted"})
	out, code := runHatchctl("duties", "--agent", address)
	require.Zero(t, code)
	for _, word := range []string{"conductor", "a2", "41", "1.5s", "its holder fell silent"} {
		require.Contains(t, out, word)
	}
	for _, args := range [][]string{{"duties", "hand-on", "conductor", "--to", "a3"}, {"duties", "bar", "a2"}, {"duties", "unbar", "a2"}, {"roll", "pause", "r1"}, {"roll", "abort", "r1"}} {
		_, code := runHatchctl(append(args, "--agent", address)...)
		require.Zero(t, code, args)
	}
	require.Equal(t, clusterstate.Command{ID: (*commands)[0].ID, IssuedAt: (*commands)[0].IssuedAt, Verb: clusterstate.Transfer, Duty: "conductor", Holder: "a3"}, (*commands)[0])
	require.Equal(t, "a2", (*commands)[1].Holder)
	require.Equal(t, "r1", (*commands)[3].RollingRestartID)
}
