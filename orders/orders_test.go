package orders_test

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"hatchproxy/logic"
	"hatchproxy/orders"
)

const (
	server = logic.ServerID(7)
	now    = 1000 * logic.Second
)

// newOrder returns an order on the server. Its id depends on its number only.
func newOrder(term, number uint64, verb orders.Verb) orders.Order {
	return orders.Order{ID: string(rune('a' + number)), Term: term, Number: number, Verb: verb, ServerUID: "s7", ServerID: server}
}

// newRegistry returns a registry whose list has the server as ready.
func newRegistry() *orders.Registry {
	r := orders.New()
	r.BeginFullList()
	r.UpdateServer(now, server, logic.Ready, 5)
	r.EndList()
	return r
}

// requireVerdict applies an order and requires its verdict, and whether the state of the server has changed.
func requireVerdict(t *testing.T, r *orders.Registry, o orders.Order, want orders.Verdict, changed bool) orders.Answer {
	t.Helper()
	ans, got := r.Apply(now, o)
	require.Equal(t, want, ans.Verdict, ans.Reason)
	require.Equal(t, changed, got)
	return ans
}

func requireState(t *testing.T, r *orders.Registry, want logic.State) {
	t.Helper()
	got, _ := r.State(now, server)
	require.Equal(t, want, got)
}

func TestDrainOverridesAReadyServerUntilItIsUndone(t *testing.T) {
	r := newRegistry()
	requireVerdict(t, r, newOrder(1, 1, orders.Drain), orders.Obeyed, true)
	requireState(t, r, logic.Draining)
	require.Equal(t, logic.Draining, r.UpdateServer(now, server, logic.Ready, 5), "the list says ready and the order says drain")
	requireVerdict(t, r, newOrder(1, 2, orders.Undrain), orders.Obeyed, true)
	requireState(t, r, logic.Ready)
}

func TestOrdersNeverOverrideADrainingOrGoneServer(t *testing.T) {
	r := newRegistry()
	r.UpdateServer(now, server, logic.Draining, 5)
	ans := requireVerdict(t, r, newOrder(1, 1, orders.Undrain), orders.Obeyed, false)
	require.Equal(t, "the list itself says so", ans.Reason)
	requireState(t, r, logic.Draining)
	r.BeginFullList()
	r.EndList()
	requireState(t, r, logic.Gone)
}

func TestRepeatedOrdersChangeNothingAndOlderOnesAreStale(t *testing.T) {
	r := newRegistry()
	requireVerdict(t, r, newOrder(2, 5, orders.Drain), orders.Obeyed, true)
	requireVerdict(t, r, newOrder(2, 5, orders.Drain), orders.Repeated, false)
	requireVerdict(t, r, newOrder(2, 4, orders.Undrain), orders.Stale, false)
	requireVerdict(t, r, newOrder(1, 9, orders.Undrain), orders.Stale, false) // an author that has been replaced
	other := newOrder(2, 5, orders.Undrain)
	other.ID = "another"
	requireVerdict(t, r, other, orders.Refused, false)
	requireVerdict(t, r, newOrder(3, 5, orders.Drain), orders.Repeated, false) // the new author sends the orders in force
	requireVerdict(t, r, newOrder(2, 6, orders.Undrain), orders.Stale, false)
	requireState(t, r, logic.Draining)
}

func TestOrderForAnUnknownServerAppliesOnceItIsListed(t *testing.T) {
	r := orders.New()
	requireVerdict(t, r, newOrder(1, 1, orders.Drain), orders.Unknown, false)
	require.Equal(t, logic.Draining, r.UpdateServer(now, server, logic.Ready, 5))
}

func TestDrainOutlastsARestartUnlessItIsForOneProcessOnly(t *testing.T) {
	r := newRegistry()
	requireVerdict(t, r, newOrder(1, 1, orders.Drain), orders.Obeyed, true)
	r.UpdateServer(now, server, logic.Gone, 5)
	require.Equal(t, logic.Draining, r.UpdateServer(now, server, logic.Ready, 9))
	oneProcess := newOrder(1, 2, orders.Drain)
	oneProcess.ServerLaunchedAt = 9
	requireVerdict(t, r, oneProcess, orders.Obeyed, false)
	requireState(t, r, logic.Draining)
	require.Equal(t, logic.Ready, r.UpdateServer(now, server, logic.Ready, 11))
}

func TestOrderExpires(t *testing.T) {
	r := newRegistry()
	o := newOrder(1, 1, orders.Drain)
	o.ExpiresAt = now + logic.Second
	requireVerdict(t, r, o, orders.Obeyed, true)
	require.Empty(t, r.Expire(now+logic.Second-1))
	require.Equal(t, []logic.ServerID{server}, r.Expire(now+logic.Second))
	require.Empty(t, r.Expire(now+2*logic.Second), "each expiry is returned once")
	requireState(t, r, logic.Ready)
	o.Number, o.ID, o.ExpiresAt = 2, "c", now
	requireVerdict(t, r, o, orders.Refused, false)
}

func TestInvalidOrdersAreRefusedAndTheirNumberIsBounded(t *testing.T) {
	r := newRegistry()
	for _, o := range []orders.Order{
		{Verb: orders.Drain, ServerUID: "s7", ServerID: server}, {ID: "a", Verb: "stop", ServerUID: "s7", ServerID: server},
		{ID: "a", Verb: orders.Drain}, {ID: string(make([]byte, 201)), Verb: orders.Drain, ServerUID: "s7", ServerID: server},
	} {
		requireVerdict(t, r, o, orders.Refused, false)
	}
	for i := range 4097 {
		o := newOrder(1, uint64(i), orders.Drain)
		o.ServerID = logic.ServerID(100 + i)
		want := orders.Unknown
		if i == 4096 {
			want = orders.Refused
		}
		requireVerdict(t, r, o, want, false)
	}
}

// Orders may arrive in any sequence, and repeatedly: in the end the newest one must be in force.
func TestNewestOrderIsInForceAfterAnySequence(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		log := rapid.SliceOfN(rapid.SampledFrom([]orders.Verb{orders.Drain, orders.Undrain}), 1, 12).Draw(t, "log")
		r := newRegistry()
		apply := func(i int) {
			before, _ := r.State(now, server)
			_, changed := r.Apply(now, newOrder(1, uint64(i+1), log[i]))
			after, _ := r.State(now, server)
			if changed != (before != after) {
				t.Fatalf("changed is %v, but the state was %v and is now %v", changed, before, after)
			}
		}
		for _, i := range rapid.SliceOf(rapid.IntRange(0, len(log)-1)).Draw(t, "received") {
			apply(i)
		}
		apply(len(log) - 1)
		got, _ := r.State(now, server)
		if want := log[len(log)-1] == orders.Drain; want != (got == logic.Draining) {
			t.Fatalf("after the orders %v the state is %v", log, got)
		}
	})
}
