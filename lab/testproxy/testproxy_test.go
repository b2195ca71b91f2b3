package testproxy_test

import (
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hatchproxy/lab/fleet"
	"hatchproxy/lab/ledger"
	"hatchproxy/lab/load"
	"hatchproxy/lab/testproxy"
)

const second = ledger.Second

var products = []load.Product{
	{Name: "chat", Share: 0.5, MeanLifetime: 3 * second, QuotedSetUpTime: second, HardLimit: second, QuotedMessageTime: second, Gain: 1},
	{Name: "pay", Share: 0.3, MeanLifetime: 3 * second, QuotedSetUpTime: second, HardLimit: second, QuotedMessageTime: second, Gain: 1},
	{Name: "stamp", Share: 0.2, MeanLifetime: 3 * second, QuotedSetUpTime: second, HardLimit: second, QuotedMessageTime: second, Gain: 1},
}

// polledList holds the endpoints of the ready servers, which it polls from a discovery server as a proxy would.
type polledList struct {
	mu        sync.Mutex
	endpoints []string
}

// poll requests the list now, and every 50 ms until done is closed.
func (l *polledList) poll(t *testing.T, discovery *fleet.DiscoveryServer, done <-chan struct{}) {
	request := func() {
		resp, err := http.Get("http://" + discovery.Address() + "/v1/servers")
		if err != nil {
			return
		}
		defer resp.Body.Close()
		text, _ := io.ReadAll(resp.Body)
		var answer struct {
			Targets []struct{ Endpoint, State string }
		}
		if json.Unmarshal(text, &answer) != nil {
			return
		}
		l.mu.Lock()
		defer l.mu.Unlock()
		l.endpoints = nil
		for _, e := range answer.Targets {
			if e.State == "ready" {
				l.endpoints = append(l.endpoints, e.Endpoint)
			}
		}
	}
	request()
	require.Len(t, l.readyEndpoints(), 3)
	go func() {
		for {
			select {
			case <-done:
				return
			case <-time.After(50 * time.Millisecond):
				request()
			}
		}
	}()
}

func (l *polledList) readyEndpoints() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]string(nil), l.endpoints...)
}

// runAndCheck runs clients through a faulty proxy to three servers, with scripted troubles, and checks the rules. It returns the
// number of breaches by rule, and the breaches.
func runAndCheck(t *testing.T, violation testproxy.Violation, length ledger.Micros, cold fleet.ColdStart, script ...fleet.Trouble) (map[ledger.Rule]int, []ledger.Breach) {
	t.Parallel()
	eventLog := ledger.NewEventLog()
	f, err := fleet.Start(eventLog, fleet.Config{ServerCount: 3, Zones: []string{"a", "b"}, SetUpWork: 5 * ledger.Millisecond, ConnLoad: 1000,
		MessageTime: ledger.Millisecond, ColdStart: cold, MachineKinds: []fleet.MachineKind{{Name: "m", Share: 1, Cores: 2, Speed: 1}}}, 5)
	require.NoError(t, err)
	defer f.Stop()
	discovery, err := f.StartDiscovery(0, 0)
	require.NoError(t, err)
	done := make(chan struct{})
	defer close(done)
	var list polledList
	list.poll(t, discovery, done)
	endpoints := list.readyEndpoints
	if violation == testproxy.SendsToDrained || violation == testproxy.FloodsColdServer {
		first := list.readyEndpoints()
		endpoints = func() []string { return first }
	}
	proxy, err := testproxy.StartFaultyProxy(violation, endpoints)
	require.NoError(t, err)
	defer proxy.Close()

	troubles, err := fleet.Schedule(script, func(string) int { return 3 }, 5)
	require.NoError(t, err)
	for _, s := range troubles {
		defer time.AfterFunc(s.At.Duration(), func() { require.NoError(t, f.BeginTrouble(s)) }).Stop()
		defer time.AfterFunc((s.At + s.Duration).Duration(), func() { require.NoError(t, f.EndTrouble(s)) }).Stop()
	}
	route := func(*rand.Rand, int, uint64) (string, int, bool) { return proxy.Address, 0, true }
	clients := load.NewClients(eventLog, load.NewTally(length), products, route,
		load.Habits{MaxRejoinDelay: second / 2, MessageInterval: second / 2, ZoneCount: 1}, length, 5)
	clients.Play(context.Background(), load.DrawArrivals([]load.RatePoint{{Rate: 40}}, length-second, products, load.Groups{}, 5))
	time.Sleep((clients.Start() + length - eventLog.Now()).Duration())
	end := eventLog.Now()
	clients.Wait()
	breaches := ledger.FindBreaches(eventLog.Events(), ledger.Parameters{
		Products: []ledger.Product{{Name: "chat"}, {Name: "pay", Idempotency: ledger.OneShot}, {Name: "stamp", Idempotency: ledger.Stamped, DedupScope: ledger.DedupZone}},
		Servers:  f.ServerLocations(), DrainGrace: second / 2, MaxDispatches: 3, End: end})
	count := map[ledger.Rule]int{}
	for _, b := range breaches {
		count[b.Rule]++
	}
	return count, breaches
}

// allServers is a trouble of all three servers.
func allServers(kind string, size float64, at, duration ledger.Micros) fleet.Trouble {
	return fleet.Trouble{Kind: kind, At: at, Duration: duration, Targets: []int{0, 1, 2}, Size: size}
}

// firstServer is a trouble of the first server alone.
func firstServer(kind string, size float64, at, duration ledger.Micros) fleet.Trouble {
	return fleet.Trouble{Kind: kind, At: at, Duration: duration, Targets: []int{0}, Size: size}
}

// Guards against a check that never reports: each violation is reported as a breach of the rule that it breaks.
func TestEachViolationIsReported(t *testing.T) {
	errors, hang := allServers("errors", 1, 0, 9*second), allServers("hang", 0, 0, 9*second)
	for violation, c := range map[testproxy.Violation]struct {
		rule   ledger.Rule
		length ledger.Micros
		script []fleet.Trouble
	}{
		testproxy.NoAnswer:           {ledger.OneAnswer, 3 * second, nil},
		testproxy.InventsAnswer:      {ledger.OneAnswer, 2 * second, nil},
		testproxy.TwoAnswers:         {ledger.NothingAfterAnswer, 2 * second, nil},
		testproxy.SendsAfterAnswer:   {ledger.NothingAfterAnswer, 2 * second, nil},
		testproxy.LeavesAttemptOpen:  {ledger.NothingAfterAnswer, 3 * second, []fleet.Trouble{hang}},
		testproxy.AnswersLate:        {ledger.LateAnswer, 4 * second, []fleet.Trouble{hang}},
		testproxy.WithholdsAnswer:    {ledger.WithheldAnswer, 3 * second, []fleet.Trouble{errors}},
		testproxy.TwoAttemptsAtOnce:  {ledger.ConcurrentDispatches, 3 * second, []fleet.Trouble{hang}},
		testproxy.RepeatsUnsafely:    {ledger.RepeatedEffect, 2 * second, []fleet.Trouble{errors}},
		testproxy.PushesBackExecuted: {ledger.RepeatedEffect, 2 * second, []fleet.Trouble{errors}},
		testproxy.TooManyAttempts:    {ledger.DispatchLimit, 2 * second, []fleet.Trouble{errors}},
		testproxy.SendsToDrained:     {ledger.DrainRespected, 3 * second, []fleet.Trouble{firstServer("drain", 0, second/5, 8*second)}},
		testproxy.CutsConnections:    {ledger.NoCutWithoutMove, 2 * second, nil},
		testproxy.KeepsClientOpen:    {ledger.EndPassedOn, 5 * second, []fleet.Trouble{allServers("drop", 1, 2*second, second)}},
		testproxy.KeepsSilentServer:  {ledger.SilenceEnds, 12 * second, []fleet.Trouble{allServers("mute", 0, second, 11*second)}},
		testproxy.DelaysLines:        {ledger.LinesUnchanged, 4 * second, nil},
		testproxy.DropsLines:         {ledger.LinesUnchanged, 3 * second, nil},
		testproxy.DuplicatesLines:    {ledger.LinesUnchanged, 3 * second, nil},
		testproxy.AltersLines:        {ledger.LinesUnchanged, 3 * second, nil},
		testproxy.FloodsColdServer:   {ledger.ColdServerNotOverloaded, 6 * second, []fleet.Trouble{firstServer("restart", 0, second/5, second/5)}},
	} {
		t.Run(string(violation), func(t *testing.T) {
			cold := fleet.ColdStart{}
			if violation == testproxy.FloodsColdServer {
				cold = fleet.ColdStart{InitialShare: 0.01, WarmUpTime: 600 * second, OverloadMultiple: 4, OverloadWindow: second}
			}
			count, breaches := runAndCheck(t, violation, c.length, cold, c.script...)
			require.Positive(t, count[c.rule], "%v", count)
			require.NotEmpty(t, breaches[0].Evidence)
		})
	}
}

// Guards against a check that reports faultless proxies: nothing is reported of a proxy without a violation, in the same troubles.
func TestFaultlessProxyHasNoBreaches(t *testing.T) {
	for name, script := range map[string][]fleet.Trouble{
		"calm":   nil,
		"errors": {allServers("errors", 0.5, second, 2*second)},
		"resets": {allServers("resets", 0.5, second, 2*second)},
		"hang":   {allServers("hang", 0, second, 2*second)},
		"drop":   {allServers("drop", 0.7, 2*second, second)},
		"drain":  {firstServer("drain", 1, second, second)},
		"mute":   {allServers("mute", 0, second, 3*second)},
		"vanish": {firstServer("vanish", 0, second, 2*second)},
		"refuse": {firstServer("refuse", 0, second, second)},
	} {
		t.Run(name, func(t *testing.T) {
			_, breaches := runAndCheck(t, testproxy.NoViolation, 5*second, fleet.ColdStart{}, script...)
			for _, b := range breaches {
				t.Error(b)
			}
		})
	}
}
