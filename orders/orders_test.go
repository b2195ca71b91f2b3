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

// order is one on the server, named by its number.
func order(term, number uint64, verb orders.Verb) orders.Order {
	return orders.Order{ID: string(rune('a' + number)), Term: term, Number: number, Verb: verb, Server: "s7", At: server}
}

// listed is a desk whose list has the server as ready.
func listed() *orders.Desk {
	d := orders.New()
	d.Whole()
	d.Listed(now, server, logic.Ready, 5)
	d.Done()
	return d
}

func take(t *testing.T, d *orders.Desk, o orders.Order, want orders.Verdict, changed bool) orders.Answer {
	t.Helper()
	ans, did := d.Take(now, o)
	require.Equal(t, want, ans.Verdict, ans.Why)
	require.Equal(t, changed, did)
	return ans
}

func state(t *testing.T, d *orders.Desk, want logic.State) {
	t.Helper()
	got, _ := d.State(now, server)
	require.Equal(t, want, got)
}

func TestAnOrderDrainsWhatTheListHasReadyAndUndoingItBringsTheListBack(t *testing.T) {
	d := listed()
	take(t, d, order(1, 1, orders.Drain), orders.Obeyed, true)
	state(t, d, logic.Draining)
	require.Equal(t, logic.Draining, d.Listed(now, server, logic.Ready, 5), "the list says ready while the order says drain")
	take(t, d, order(1, 2, orders.Undrain), orders.Obeyed, true)
	state(t, d, logic.Ready)
}

func TestAnOrderNeverMakesAServerReadierThanTheList(t *testing.T) {
	d := listed()
	d.Listed(now, server, logic.Draining, 5)
	ans := take(t, d, order(1, 1, orders.Undrain), orders.Obeyed, false)
	require.Equal(t, "the list itself says so", ans.Why)
	state(t, d, logic.Draining)
	d.Whole()
	d.Done()
	state(t, d, logic.Gone)
}

func TestRepeatedOrdersChangeNothingAndOlderOnesAreStale(t *testing.T) {
	d := listed()
	take(t, d, order(2, 5, orders.Drain), orders.Obeyed, true)
	take(t, d, order(2, 5, orders.Drain), orders.Repeated, false)
	take(t, d, order(2, 4, orders.Undrain), orders.Stale, false)
	take(t, d, order(1, 9, orders.Undrain), orders.Stale, false) // an author that was taken over from
	other := order(2, 5, orders.Undrain)
	other.ID = "another"
	take(t, d, other, orders.Refused, false)
	take(t, d, order(3, 5, orders.Drain), orders.Repeated, false) // the new author tells what stands
	take(t, d, order(2, 6, orders.Undrain), orders.Stale, false)
	state(t, d, logic.Draining)
}

func TestAnOrderForAServerThatNobodyKnowsCountsWhenItComes(t *testing.T) {
	d := orders.New()
	take(t, d, order(1, 1, orders.Drain), orders.Unknown, false)
	require.Equal(t, logic.Draining, d.Listed(now, server, logic.Ready, 5))
}

func TestADrainLastsOverARestartOfItsServerUnlessItIsForOneStartOnly(t *testing.T) {
	d := listed()
	take(t, d, order(1, 1, orders.Drain), orders.Obeyed, true)
	d.Listed(now, server, logic.Gone, 5)
	require.Equal(t, logic.Draining, d.Listed(now, server, logic.Ready, 9))
	once := order(1, 2, orders.Drain)
	once.Launch = 9
	take(t, d, once, orders.Obeyed, false)
	state(t, d, logic.Draining)
	require.Equal(t, logic.Ready, d.Listed(now, server, logic.Ready, 11))
}

func TestAnOrderEndsByItsTime(t *testing.T) {
	d := listed()
	o := order(1, 1, orders.Drain)
	o.Until = now + logic.Second
	take(t, d, o, orders.Obeyed, true)
	require.Empty(t, d.Expire(now+logic.Second-1))
	require.Equal(t, []logic.ServerID{server}, d.Expire(now+logic.Second))
	require.Empty(t, d.Expire(now+2*logic.Second), "told once")
	state(t, d, logic.Ready)
	o.Number, o.ID, o.Until = 2, "c", now
	take(t, d, o, orders.Refused, false)
}

func TestNonsenseIsRefusedAndTheNumberOfOrdersIsBounded(t *testing.T) {
	d := listed()
	for _, o := range []orders.Order{
		{Verb: orders.Drain, Server: "s7", At: server}, {ID: "a", Verb: "stop", Server: "s7", At: server},
		{ID: "a", Verb: orders.Drain}, {ID: string(make([]byte, 201)), Verb: orders.Drain, Server: "s7", At: server},
	} {
		take(t, d, o, orders.Refused, false)
	}
	for i := range 4097 {
		o := order(1, uint64(i), orders.Drain)
		o.At = logic.ServerID(100 + i)
		want := orders.Unknown
		if i == 4096 {
			want = orders.Refused
		}
		take(t, d, o, want, false)
	}
}

// Whatever comes in whatever order, and however often: in the end the newest order of the newest author counts.
func TestOrdersThatComeInAnyOrderAndOftenEndAtTheNewest(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		log := rapid.SliceOfN(rapid.SampledFrom([]orders.Verb{orders.Drain, orders.Undrain}), 1, 12).Draw(t, "log")
		d := listed()
		tell := func(i int) {
			before, _ := d.State(now, server)
			_, changed := d.Take(now, order(1, uint64(i+1), log[i]))
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
