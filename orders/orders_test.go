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

// newOrder is one on the server, named by its number.
func newOrder(term, number uint64, verb orders.Verb) orders.Order {
	return orders.Order{ID: string(rune('a' + number)), Term: term, Number: number, Verb: verb, ServerUID: "s7", ServerID: server}
}

// newRegistry is a desk whose list has the server as ready.
func newRegistry() *orders.Registry {
	d := orders.New()
	d.BeginFullList()
	d.UpdateServer(now, server, logic.Ready, 5)
	d.EndList()
	return d
}

func requireVerdict(t *testing.T, d *orders.Registry, o orders.Order, want orders.Verdict, changed bool) orders.Answer {
	t.Helper()
	ans, did := d.Apply(now, o)
	require.Equal(t, want, ans.Verdict, ans.Reason)
	require.Equal(t, changed, did)
	return ans
}

func requireState(t *testing.T, d *orders.Registry, want logic.State) {
	t.Helper()
	got, _ := d.State(now, server)
	require.Equal(t, want, got)
}

func TestAnOrderDrainsWhatTheListHasReadyAndUndoingItBringsTheListBack(t *testing.T) {
	d := newRegistry()
	requireVerdict(t, d, newOrder(1, 1, orders.Drain), orders.Obeyed, true)
	requireState(t, d, logic.Draining)
	require.Equal(t, logic.Draining, d.UpdateServer(now, server, logic.Ready, 5), "the list says ready while the order says drain")
	requireVerdict(t, d, newOrder(1, 2, orders.Undrain), orders.Obeyed, true)
	requireState(t, d, logic.Ready)
}

func TestAnOrderNeverMakesAServerReadierThanTheList(t *testing.T) {
	d := newRegistry()
	d.UpdateServer(now, server, logic.Draining, 5)
	ans := requireVerdict(t, d, newOrder(1, 1, orders.Undrain), orders.Obeyed, false)
	require.Equal(t, "the list itself says so", ans.Reason)
	requireState(t, d, logic.Draining)
	d.BeginFullList()
	d.EndList()
	requireState(t, d, logic.Gone)
}

func TestRepeatedOrdersChangeNothingAndOlderOnesAreStale(t *testing.T) {
	d := newRegistry()
	requireVerdict(t, d, newOrder(2, 5, orders.Drain), orders.Obeyed, true)
	requireVerdict(t, d, newOrder(2, 5, orders.Drain), orders.Repeated, false)
	requireVerdict(t, d, newOrder(2, 4, orders.Undrain), orders.Stale, false)
	requireVerdict(t, d, newOrder(1, 9, orders.Undrain), orders.Stale, false) // an author that was taken over from
	other := newOrder(2, 5, orders.Undrain)
	other.ID = "another"
	requireVerdict(t, d, other, orders.Refused, false)
	requireVerdict(t, d, newOrder(3, 5, orders.Drain), orders.Repeated, false) // the new author tells what stands
	requireVerdict(t, d, newOrder(2, 6, orders.Undrain), orders.Stale, false)
	requireState(t, d, logic.Draining)
}

func TestAnOrderForAServerThatNobodyKnowsCountsWhenItComes(t *testing.T) {
	d := orders.New()
	requireVerdict(t, d, newOrder(1, 1, orders.Drain), orders.Unknown, false)
	require.Equal(t, logic.Draining, d.UpdateServer(now, server, logic.Ready, 5))
}

func TestADrainLastsOverARestartOfItsServerUnlessItIsForOneStartOnly(t *testing.T) {
	d := newRegistry()
	requireVerdict(t, d, newOrder(1, 1, orders.Drain), orders.Obeyed, true)
	d.UpdateServer(now, server, logic.Gone, 5)
	require.Equal(t, logic.Draining, d.UpdateServer(now, server, logic.Ready, 9))
	once := newOrder(1, 2, orders.Drain)
	once.ServerStart = 9
	requireVerdict(t, d, once, orders.Obeyed, false)
	requireState(t, d, logic.Draining)
	require.Equal(t, logic.Ready, d.UpdateServer(now, server, logic.Ready, 11))
}

func TestAnOrderEndsByItsTime(t *testing.T) {
	d := newRegistry()
	o := newOrder(1, 1, orders.Drain)
	o.ExpiresAt = now + logic.Second
	requireVerdict(t, d, o, orders.Obeyed, true)
	require.Empty(t, d.Expire(now+logic.Second-1))
	require.Equal(t, []logic.ServerID{server}, d.Expire(now+logic.Second))
	require.Empty(t, d.Expire(now+2*logic.Second), "told once")
	requireState(t, d, logic.Ready)
	o.Number, o.ID, o.ExpiresAt = 2, "c", now
	requireVerdict(t, d, o, orders.Refused, false)
}

func TestNonsenseIsRefusedAndTheNumberOfOrdersIsBounded(t *testing.T) {
	d := newRegistry()
	for _, o := range []orders.Order{
		{Verb: orders.Drain, ServerUID: "s7", ServerID: server}, {ID: "a", Verb: "stop", ServerUID: "s7", ServerID: server},
		{ID: "a", Verb: orders.Drain}, {ID: string(make([]byte, 201)), Verb: orders.Drain, ServerUID: "s7", ServerID: server},
	} {
		requireVerdict(t, d, o, orders.Refused, false)
	}
	for i := range 4097 {
		o := newOrder(1, uint64(i), orders.Drain)
		o.ServerID = logic.ServerID(100 + i)
		want := orders.Unknown
		if i == 4096 {
			want = orders.Refused
		}
		requireVerdict(t, d, o, want, false)
	}
}

// Whatever comes in whatever order, and however often: in the end the newest order of the newest author counts.
func TestOrdersThatComeInAnyOrderAndOftenEndAtTheNewest(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		log := rapid.SliceOfN(rapid.SampledFrom([]orders.Verb{orders.Drain, orders.Undrain}), 1, 12).Draw(t, "log")
		d := newRegistry()
		tell := func(i int) {
			before, _ := d.State(now, server)
			_, changed := d.Apply(now, newOrder(1, uint64(i+1), log[i]))
			after, _ := d.State(now, server)
			if changed != (before != after) {
				t.Fatalf("changed is %v, and the state went from %v to %v", changed, before, after)
			}
		}
		for _, i := range rapid.SliceOf(rapid.IntRange(0, len(log)-1)).Draw(t, "told") {
			tell(i)
		}
		tell(len(log) - 1)
		got, _ := d.State(now, server)
		if want := log[len(log)-1] == orders.Drain; want != (got == logic.Draining) {
			t.Fatalf("%v ends as %v", log, got)
		}
	})
}
