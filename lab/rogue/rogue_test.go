package rogue_test

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
	"hatchproxy/lab/rogue"
)

const second = ledger.Second

var products = []load.Product{
	{Name: "chat", Share: 0.5, Life: 3 * second, Quoted: second, Limit: second, Message: second, Gain: 1},
	{Name: "pay", Share: 0.3, Life: 3 * second, Quoted: second, Limit: second, Message: second, Gain: 1},
	{Name: "stamp", Share: 0.2, Life: 3 * second, Quoted: second, Limit: second, Message: second, Gain: 1},
}

// list follows a front's list as a proxy would.
type list struct {
	mu        sync.Mutex
	endpoints []string
}

func (l *list) follow(t *testing.T, front *fleet.Front, done <-chan struct{}) {
	ask := func() {
		resp, err := http.Get("http://" + front.Address() + "/v1/servers")
		if err != nil {
			return
		}
		defer resp.Body.Close()
		text, _ := io.ReadAll(resp.Body)
		var told struct {
			Targets []struct{ Endpoint, State string }
		}
		if json.Unmarshal(text, &told) != nil {
			return
		}
		l.mu.Lock()
		defer l.mu.Unlock()
		l.endpoints = nil
		for _, e := range told.Targets {
			if e.State == "ready" {
				l.endpoints = append(l.endpoints, e.Endpoint)
			}
		}
	}
	ask()
	require.Len(t, l.ready(), 3)
	go func() {
		for {
			select {
			case <-done:
				return
			case <-time.After(50 * time.Millisecond):
				ask()
			}
		}
	}()
}

func (l *list) ready() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]string(nil), l.endpoints...)
}

// judge plays a rogue before three servers with a script of troubles and returns how often each rule was broken.
func judge(t *testing.T, sin rogue.Sin, length ledger.Micros, cold fleet.Cold, script ...fleet.Trouble) (map[ledger.Rule]int, []ledger.Breach) {
	t.Parallel()
	book := ledger.Open()
	f, err := fleet.Start(book, fleet.Plan{Servers: 3, Zones: []string{"a", "b"}, SetUp: 5 * ledger.Millisecond, Load: 1000,
		Message: ledger.Millisecond, Cold: cold, Kinds: []fleet.Kind{{Name: "m", Share: 1, Cores: 2, Speed: 1}}}, 5)
	require.NoError(t, err)
	defer f.Stop()
	front, err := f.Front(0, 0)
	require.NoError(t, err)
	done := make(chan struct{})
	defer close(done)
	var servers list
	servers.follow(t, front, done)
	from := servers.ready
	if sin == rogue.ToDrained || sin == rogue.Floods {
		first := servers.ready()
		from = func() []string { return first }
	}
	proxy, err := rogue.Open(sin, from)
	require.NoError(t, err)
	defer proxy.Close()

	steps, err := fleet.Draw(script, func(string) int { return 3 }, 5)
	require.NoError(t, err)
	for _, s := range steps {
		defer time.AfterFunc(s.At.Span(), func() { require.NoError(t, f.Begin(s)) }).Stop()
		defer time.AfterFunc((s.At + s.For).Span(), func() { require.NoError(t, f.End(s)) }).Stop()
	}
	route := func(*rand.Rand, int, uint64) (string, int, bool) { return proxy.Address, 0, true }
	clients := load.NewClients(book, load.NewTally(length), products, route,
		load.Habits{Rejoin: second / 2, Every: second / 2, Zones: 1}, length, 5)
	clients.Play(context.Background(), load.Draw([]load.Bend{{Rate: 40}}, length-second, products, load.Groups{}, 5))
	time.Sleep((clients.Start() + length - book.Now()).Span())
	end := book.Now()
	clients.Wait()
	breaches := ledger.Judge(book.Events(), ledger.Terms{
		Products: []ledger.Product{{Name: "chat"}, {Name: "pay", Repeat: ledger.OneShot}, {Name: "stamp", Repeat: ledger.Stamped, Reach: ledger.ReachZone}},
		Servers:  f.Places(), Grace: second / 2, Dispatches: 3, End: end})
	count := map[ledger.Rule]int{}
	for _, b := range breaches {
		count[b.Rule]++
	}
	return count, breaches
}

func all(kind string, size float64, from, length ledger.Micros) fleet.Trouble {
	return fleet.Trouble{Kind: kind, At: from, For: length, Servers: []int{0, 1, 2}, Size: size}
}

func one(kind string, size float64, from, length ledger.Micros) fleet.Trouble {
	return fleet.Trouble{Kind: kind, At: from, For: length, Servers: []int{0}, Size: size}
}

// Guards against judges that cannot fail: each sin is convicted, of its own rule.
func TestEachSinIsConvicted(t *testing.T) {
	errors, hang := all("errors", 1, 0, 9*second), all("hang", 0, 0, 9*second)
	for sin, c := range map[rogue.Sin]struct {
		rule   ledger.Rule
		length ledger.Micros
		script []fleet.Trouble
	}{
		rogue.NoAnswer:   {ledger.OneAnswer, 3 * second, nil},
		rogue.Invents:    {ledger.OneAnswer, 2 * second, nil},
		rogue.TwoAnswers: {ledger.AfterAnswer, 2 * second, nil},
		rogue.SendsAfter: {ledger.AfterAnswer, 2 * second, nil},
		rogue.StaysOut:   {ledger.AfterAnswer, 3 * second, []fleet.Trouble{hang}},
		rogue.Late:       {ledger.LateAnswer, 4 * second, []fleet.Trouble{hang}},
		rogue.Withholds:  {ledger.Withheld, 3 * second, []fleet.Trouble{errors}},
		rogue.Both:       {ledger.TwoOut, 3 * second, []fleet.Trouble{hang}},
		rogue.Repeats:    {ledger.EffectTwice, 2 * second, []fleet.Trouble{errors}},
		rogue.PushesRan:  {ledger.EffectTwice, 2 * second, []fleet.Trouble{errors}},
		rogue.Insists:    {ledger.TooMany, 2 * second, []fleet.Trouble{errors}},
		rogue.ToDrained:  {ledger.DrainKept, 3 * second, []fleet.Trouble{one("drain", 0, second/5, 8*second)}},
		rogue.Cuts:       {ledger.CutOff, 2 * second, nil},
		rogue.KeepsOpen:  {ledger.EndPassed, 5 * second, []fleet.Trouble{all("drop", 1, 2*second, second)}},
		rogue.KeepsMute:  {ledger.Silence, 12 * second, []fleet.Trouble{all("mute", 0, second, 11*second)}},
		rogue.Holds:      {ledger.Lines, 4 * second, nil},
		rogue.Loses:      {ledger.Lines, 3 * second, nil},
		rogue.Doubles:    {ledger.Lines, 3 * second, nil},
		rogue.Changes:    {ledger.Lines, 3 * second, nil},
		rogue.Floods:     {ledger.ColdKept, 6 * second, []fleet.Trouble{one("restart", 0, second/5, second/5)}},
	} {
		t.Run(string(sin), func(t *testing.T) {
			cold := fleet.Cold{}
			if sin == rogue.Floods {
				cold = fleet.Cold{From: 0.01, Warm: 600 * second, Multiple: 4, Window: second}
			}
			count, breaches := judge(t, sin, c.length, cold, c.script...)
			require.Positive(t, count[c.rule], "%v", count)
			require.NotEmpty(t, breaches[0].Evidence)
		})
	}
}

// Guards against judges that find fault with everything: a sound proxy is acquitted in the same troubles.
func TestASoundProxyIsAcquitted(t *testing.T) {
	for name, script := range map[string][]fleet.Trouble{
		"calm":   nil,
		"errors": {all("errors", 0.5, second, 2*second)},
		"resets": {all("resets", 0.5, second, 2*second)},
		"hang":   {all("hang", 0, second, 2*second)},
		"drop":   {all("drop", 0.7, 2*second, second)},
		"drain":  {one("drain", 1, second, second)},
		"mute":   {all("mute", 0, second, 3*second)},
		"vanish": {one("vanish", 0, second, 2*second)},
		"refuse": {one("refuse", 0, second, second)},
	} {
		t.Run(name, func(t *testing.T) {
			_, breaches := judge(t, rogue.None, 5*second, fleet.Cold{}, script...)
			for _, b := range breaches {
				t.Error(b)
			}
		})
	}
}
