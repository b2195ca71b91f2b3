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

// newFakeAgent answers as an agent would that sees these instances; agreed tells what becomes of commands.
func newFakeAgent(t *testing.T, agreed int, instances ...agent.InstanceView) (string, *[]clusterstate.Command) {
	said := &[]clusterstate.Command{}
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/v1/commands" {
			var c clusterstate.Command
			if err := json.NewDecoder(r.Body).Decode(&c); err != nil {
				t.Error(err)
			}
			*said = append(*said, c)
			w.WriteHeader(agreed)
			if agreed != http.StatusOK {
				_, _ = w.Write([]byte(`{"error":"no agent leads now"}`))
				return
			}
			_, _ = w.Write([]byte(`{"number":7}`))
			return
		}
		v := agent.View{Agent: "a1", Leader: "a1", Instances: instances}
		if len(instances) > 0 && instances[0].Name == "conducted" {
			v.Duties = []agent.DutyView{{Duty: agent.Conductor, Grant: lease.Grant{Holder: "a2", Token: 41, Reason: "its holder fell silent"}, Remaining: 1_500_000}}
			for _, c := range *said {
				v.RollingRestarts = append(v.RollingRestarts, clusterstate.RollingRestart{ID: c.ID, State: clusterstate.RollingRestartState(instances[0].Reason), Reason: "n4 falls", Instances: c.Instances, Share: c.Share})
			}
		}
		_ = json.NewEncoder(w).Encode(v)
	}))
	t.Cleanup(s.Close)
	return s.Listener.Addr().String(), said
}

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

func instanceThatAnswered(name string, v orders.Verdict) agent.InstanceView {
	return agent.InstanceView{Name: name, Agent: "a1", ShouldRun: true, State: supervisor.Ready, MemberState: "alive",
		OrderResults: map[string]agent.OrderResult{"s1": {Number: 7, Verdict: v, Reason: "as it is"}}}
}

func TestTheExitCodeTellsWhatBecameOfAnOrder(t *testing.T) {
	good, silent := instanceThatAnswered("n1", orders.Obeyed), agent.InstanceView{Name: "n2", ShouldRun: true, State: supervisor.Ready, MemberState: "lost"}
	stopped := agent.InstanceView{Name: "n3", State: supervisor.Stopped}
	for name, c := range map[string]struct {
		agreed    int
		instances []agent.InstanceView
		code      int
		says      string
	}{
		"all obeyed":              {200, []agent.InstanceView{good, stopped}, exitSuccess, `"verdict": "not running"`},
		"one does not answer":     {200, []agent.InstanceView{good, silent}, exitNoAnswer, `"why": "ready, lost"`},
		"one refuses":             {200, []agent.InstanceView{good, instanceThatAnswered("n2", orders.Refused)}, exitRefused, `"verdict": "refused"`},
		"one knows no such":       {200, []agent.InstanceView{good, instanceThatAnswered("n2", orders.Unknown)}, exitRefused, `"verdict": "unknown"`},
		"an old answer is none":   {200, []agent.InstanceView{{Name: "n1", ShouldRun: true, State: supervisor.Ready, OrderResults: map[string]agent.OrderResult{"s1": {Number: 6, Verdict: orders.Obeyed}}}}, exitNoAnswer, `"no answer"`},
		"the agents do not agree": {503, []agent.InstanceView{good}, exitNotAgreed, ""},
	} {
		t.Run(name, func(t *testing.T) {
			at, said := newFakeAgent(t, c.agreed, c.instances...)
			out, code := runHatchctl("drain", "s1", "--json", "--agent", at, "--id", "mine")
			require.Equal(t, c.code, code)
			require.Contains(t, out, c.says)
			require.NotEmpty(t, *said)
			for _, x := range *said {
				require.Equal(t, "mine", x.ID, "said again under the same id")
			}
		})
	}
}

func TestTheNextAgentIsAskedWhereOneDoesNotAnswer(t *testing.T) {
	at, _ := newFakeAgent(t, 200, instanceThatAnswered("n1", orders.Obeyed))
	out, code := runHatchctl("drain", "s1", "--agent", "127.0.0.1:1,"+at)
	require.Equal(t, exitSuccess, code)
	require.Regexp(t, `n1\s+a1\s+obeyed`, out)
	_, code = runHatchctl("status", "--agent", "127.0.0.1:1")
	require.Equal(t, exitCannotRun, code)
	_, code = runHatchctl("stop", "nobody", "--agent", at)
	require.Equal(t, exitCannotRun, code)
	out, code = runHatchctl("status", "--agent", at)
	require.Equal(t, exitSuccess, code)
	require.Contains(t, out, "n1")
	_, code = runHatchctl("restart", "--rolling", "--share", "2", "--agent", at)
	require.Equal(t, exitCannotRun, code)
}

func TestARollingRestartStopsAtTheFirstThatFails(t *testing.T) {
	loop := agent.InstanceView{Name: "n1", ShouldRun: true, State: supervisor.CrashLooping, Reason: "exit status 3"}
	at, said := newFakeAgent(t, 200, loop, instanceThatAnswered("n2", orders.Obeyed), instanceThatAnswered("n3", orders.Obeyed))
	_, code := runHatchctl("restart", "--rolling", "--share", "0.34", "--agent", at)
	require.Equal(t, exitRefused, code)
	require.Len(t, *said, 1)
	require.Equal(t, []string{"n1"}, (*said)[0].Instances, "a third of three at a time")
}

// A rolling restart died with the tool that drove it. Where the duty is held, the tool only says what is wanted, and watches.
func TestARollingRestartIsConductedWhereThatDutyIsHeld(t *testing.T) {
	for state, code := range map[clusterstate.RollingRestartState]int{clusterstate.Done: exitSuccess, clusterstate.Paused: exitRefused, clusterstate.Running: exitNoAnswer} {
		at, said := newFakeAgent(t, http.StatusOK, agent.InstanceView{Name: "conducted", Reason: string(state)})
		_, got := runHatchctl("restart", "--rolling", "--share", "0.5", "--agent", at)
		require.Equal(t, code, got, state)
		require.Len(t, *said, 1)
		require.Equal(t, clusterstate.Roll, (*said)[0].Verb)
		require.Equal(t, []string{"conducted"}, (*said)[0].Instances)
	}
}

func TestDutiesAreToldAndHandedOn(t *testing.T) {
	at, said := newFakeAgent(t, http.StatusOK, agent.InstanceView{Name: "conducted"})
	out, code := runHatchctl("duties", "--agent", at)
	require.Zero(t, code)
	for _, word := range []string{"conductor", "a2", "41", "1.5s", "its holder fell silent"} {
		require.Contains(t, out, word)
	}
	for _, args := range [][]string{{"duties", "hand-on", "conductor", "--to", "a3"}, {"duties", "bar", "a2"}, {"duties", "unbar", "a2"}, {"roll", "pause", "r1"}, {"roll", "abort", "r1"}} {
		_, code := runHatchctl(append(args, "--agent", at)...)
		require.Zero(t, code, args)
	}
	require.Equal(t, clusterstate.Command{ID: (*said)[0].ID, IssuedAt: (*said)[0].IssuedAt, Verb: clusterstate.Transfer, Duty: "conductor", Holder: "a3"}, (*said)[0])
	require.Equal(t, "a2", (*said)[1].Holder)
	require.Equal(t, "r1", (*said)[3].RollingRestartID)
}
