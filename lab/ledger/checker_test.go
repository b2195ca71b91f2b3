package ledger_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"hatchproxy/lab/ledger"
)

// record is an event log written by hand. Its methods append events, with times in milliseconds, and return the longer record. All
// are about attachment 1 and proxy 0.
type record []ledger.Event

// newEvent returns an event of attachment 1 that names no proxy and no product.
func newEvent(ms int, k ledger.Kind, server int) ledger.Event {
	return ledger.Event{At: ledger.Micros(ms) * ledger.Millisecond, Kind: k, ID: 1, Server: server, Proxy: ledger.None, Product: ledger.None}
}

// announced appends that proxy 0 was told a server's state: 0 for ready, 1 for draining, 2 for gone.
func (r record) announced(ms, server, state int) record {
	e := newEvent(ms, ledger.StateAnnounced, server)
	e.ID, e.Proxy, e.Value = 0, 0, int64(state)
	return append(r, e)
}

// proxyEvent appends what the lab did to proxy 0.
func (r record) proxyEvent(ms int, k ledger.Kind) record {
	e := newEvent(ms, k, ledger.None)
	e.ID, e.Proxy = 0, 0
	return append(r, e)
}

// requestRecord returns a record that holds a client's request with a hard limit of 1 s.
func requestRecord(ms, product int) record {
	e := newEvent(ms, ledger.RequestSent, ledger.None)
	e.Proxy, e.Product, e.Value = 0, product, int64(e.At+ledger.Second)
	return record{e}
}

// add appends an event of attachment 1.
func (r record) add(ms int, k ledger.Kind, server int) record {
	return append(r, newEvent(ms, k, server))
}

// withNote sets the note of the last event.
func (r record) withNote(note string) record {
	r[len(r)-1].Note = note
	return r
}

// dispatched appends a dispatch that a server receives whole, and a later event of kind k at that server.
func (r record) dispatched(ms, server, endedAt int, k ledger.Kind) record {
	return r.add(ms, ledger.DispatchArrived, server).add(ms, ledger.DispatchComplete, server).add(endedAt, k, server)
}

// establishedRecord returns the record of a connection that is established with server 0 at 20 ms.
func establishedRecord() record {
	return requestRecord(0, 0).dispatched(1, 0, 10, ledger.ServerSentUp).withNote("UP a").add(20, ledger.ClientReceivedUp, ledger.None).withNote("UP a")
}

var parameters = ledger.Parameters{
	Products: []ledger.Product{{Name: "harmless"}, {Name: "one-shot", Idempotency: ledger.OneShot},
		{Name: "stamped", Idempotency: ledger.Stamped, DedupScope: ledger.DedupZone, DedupWindow: 300 * ledger.Millisecond}},
	Servers:       []ledger.ServerLocation{{Zone: 0}, {Zone: 1}, {Zone: 0}},
	DrainGrace:    2 * ledger.Second,
	MaxDispatches: 3,
	End:           30 * ledger.Second,
}

const none = ledger.None

func TestEachRuleFindsItsBreachesAndNothingElse(t *testing.T) {
	refusedAt := func(s record, ms int) record { return s.add(ms, ledger.ClientReceivedBusy, none) }
	for name, test := range map[string]struct {
		events record
		rules  []ledger.Rule
	}{
		"a correct connection": {establishedRecord().add(5000, ledger.ClientLeft, none).add(5001, ledger.ProxyClosed, 0), nil},
		"no answer":            {requestRecord(0, 0), []ledger.Rule{ledger.OneAnswer}},
		"no answer as the proxy was killed while the connection was idle": {append(record{{At: 1, Kind: ledger.ClientConnected, ID: 1, Server: none, Proxy: none, Product: none}}.proxyEvent(100, ledger.ProxyKilled),
			requestRecord(2000, 0).add(2001, ledger.ClientUnanswered, none)...), nil},
		"no answer long after the proxy was killed": {append(record{}.proxyEvent(100, ledger.ProxyKilled), requestRecord(2000, 0).add(2001, ledger.ClientUnanswered, none)...), []ledger.Rule{ledger.OneAnswer}},
		"two dispatches to one server whose end and beginning cross": {requestRecord(0, 0).add(1, ledger.DispatchArrived, 0).add(1, ledger.DispatchComplete, 0).add(100, ledger.DispatchArrived, 0).add(100, ledger.DispatchComplete, 0).
			add(101, ledger.ProxyClosed, 0).add(900, ledger.ClientReceivedBusy, none).add(901, ledger.ProxyClosed, 0), nil},
		"two dispatches to one server, one stays open": {requestRecord(0, 0).add(1, ledger.DispatchArrived, 0).add(1, ledger.DispatchComplete, 0).add(100, ledger.DispatchArrived, 0).add(100, ledger.DispatchComplete, 0).
			add(901, ledger.ProxyClosed, 0).add(902, ledger.ClientReceivedBusy, none).add(4000, ledger.ProxyClosed, 0), []ledger.Rule{ledger.ConcurrentDispatches, ledger.NothingAfterAnswer}},
		"no answer as the proxy was killed":          {requestRecord(0, 0).proxyEvent(500, ledger.ProxyKilled), nil},
		"closed without an answer":                   {requestRecord(0, 0).add(30, ledger.ClientUnanswered, none), []ledger.Rule{ledger.OneAnswer}},
		"an UP that no server sent":                  {requestRecord(0, 0).add(30, ledger.ClientReceivedUp, none).withNote("UP x"), []ledger.Rule{ledger.OneAnswer}},
		"a late answer":                              {refusedAt(requestRecord(0, 0), 1060), []ledger.Rule{ledger.LateAnswer}},
		"an answer just in time":                     {refusedAt(requestRecord(0, 0), 1040), nil},
		"sent after the client had left":             {requestRecord(0, 0).add(100, ledger.ClientLeft, none).dispatched(260, 0, 270, ledger.ServerSentBusy), []ledger.Rule{ledger.NothingAfterLeave}},
		"sent just as the client left":               {requestRecord(0, 0).add(100, ledger.ClientLeft, none).dispatched(190, 0, 200, ledger.ServerSentBusy), nil},
		"late as the proxy was paused by the lab":    {refusedAt(requestRecord(0, 0).proxyEvent(100, ledger.ProxyPaused).proxyEvent(1200, ledger.ProxyResumed), 1800), nil},
		"two answers":                                {refusedAt(requestRecord(0, 0), 10).add(20, ledger.ClientReceivedExtra, none), []ledger.Rule{ledger.NothingAfterAnswer}},
		"sent after the answer":                      {refusedAt(requestRecord(0, 0), 10).dispatched(200, 0, 210, ledger.ServerSentBusy), []ledger.Rule{ledger.NothingAfterAnswer}},
		"a dispatch open after the answer":           {refusedAt(requestRecord(0, 0).add(5, ledger.DispatchArrived, 0).add(5, ledger.DispatchComplete, 0), 100), []ledger.Rule{ledger.NothingAfterAnswer}},
		"a dispatch ended with the answer":           {refusedAt(requestRecord(0, 0).dispatched(5, 0, 101, ledger.ProxyClosed), 100), nil},
		"two dispatches overlap briefly":             {establishedRecord().dispatched(5, 1, 8, ledger.ServerSentErr), nil}, // their overlap is within the tolerance
		"two dispatches open":                        {requestRecord(0, 0).add(1, ledger.DispatchArrived, 0).dispatched(100, 1, 120, ledger.ServerSentErr).add(200, ledger.ProxyClosed, 0).add(210, ledger.ClientReceivedFailure, none), []ledger.Rule{ledger.ConcurrentDispatches}},
		"harmless repeated":                          {requestRecord(0, 0).dispatched(1, 0, 10, ledger.ServerSentErr).dispatched(11, 1, 20, ledger.ServerSentErr).add(30, ledger.ClientReceivedBusy, none), nil},
		"one-shot repeated":                          {requestRecord(0, 1).dispatched(1, 0, 10, ledger.ServerSentErr).dispatched(11, 1, 20, ledger.ServerSentErr).add(30, ledger.ClientReceivedFailure, none), []ledger.Rule{ledger.RepeatedEffect}},
		"one-shot repeated that never ran":           {requestRecord(0, 1).dispatched(1, 0, 10, ledger.ServerSentBusy).dispatched(11, 1, 20, ledger.ServerSentErr).add(30, ledger.ClientReceivedFailure, none), nil},
		"one-shot repeated whose line was cut short": {requestRecord(0, 1).add(1, ledger.DispatchArrived, 0).add(9, ledger.ServerReset, 0).dispatched(11, 1, 20, ledger.ServerSentErr).add(30, ledger.ClientReceivedFailure, none), nil},
		"one-shot refused that may have run":         {refusedAt(requestRecord(0, 1).dispatched(1, 0, 10, ledger.ServerSentErr), 20), []ledger.Rule{ledger.RepeatedEffect}},
		"one-shot ran twice":                         {requestRecord(0, 1).dispatched(1, 0, 5, ledger.DispatchRan).add(6, ledger.ServerSentBusy, 0).dispatched(11, 1, 20, ledger.DispatchRan).add(25, ledger.ServerSentErr, 1).add(30, ledger.ClientReceivedFailure, none), []ledger.Rule{ledger.RepeatedEffect, ledger.RepeatedEffect}},
		"one-shot with a withheld answer":            {requestRecord(0, 1).dispatched(1, 0, 10, ledger.ServerSentErr).add(400, ledger.ClientReceivedFailure, none), []ledger.Rule{ledger.WithheldAnswer}},
		"harmless waits for a server":                {requestRecord(0, 0).dispatched(1, 0, 10, ledger.ServerSentErr).add(400, ledger.ClientReceivedFailure, none), nil},
		"stamped in its zone":                        {requestRecord(0, 2).dispatched(1, 0, 10, ledger.ServerSentErr).dispatched(11, 2, 20, ledger.ServerSentErr).add(30, ledger.ClientReceivedFailure, none), nil},
		"stamped outside its zone":                   {requestRecord(0, 2).dispatched(1, 0, 10, ledger.ServerSentErr).dispatched(11, 1, 20, ledger.ServerSentErr).add(30, ledger.ClientReceivedFailure, none), []ledger.Rule{ledger.OutsideDedupScope}},
		"stamped after its window":                   {requestRecord(0, 2).dispatched(1, 0, 10, ledger.ServerSentErr).dispatched(360, 2, 370, ledger.ServerSentErr).add(380, ledger.ClientReceivedFailure, none), []ledger.Rule{ledger.OutsideDedupScope}},
		"too many dispatches": {requestRecord(0, 0).dispatched(1, 0, 10, ledger.ServerSentErr).dispatched(11, 1, 20, ledger.ServerSentErr).dispatched(21, 0, 30, ledger.ServerSentErr).dispatched(31, 1, 40, ledger.ServerSentErr).
			add(50, ledger.ClientReceivedFailure, none), []ledger.Rule{ledger.DispatchLimit}},
		"sent to a drained server":      {record{}.announced(0, 0, 1).requestAt(3000).dispatched(3001, 0, 3010, ledger.ServerSentUp).withNote("UP a").add(3020, ledger.ClientReceivedUp, none).withNote("UP a"), []ledger.Rule{ledger.DrainRespected}},
		"sent to a server that is back": {record{}.announced(0, 0, 2).announced(2900, 0, 0).requestAt(3000).dispatched(3001, 0, 3010, ledger.ServerSentUp).withNote("UP a").add(3020, ledger.ClientReceivedUp, none).withNote("UP a"), nil},
		"sent within the drain's grace": {record{}.announced(1500, 0, 1).requestAt(3000).dispatched(3001, 0, 3010, ledger.ServerSentUp).withNote("UP a").add(3020, ledger.ClientReceivedUp, none).withNote("UP a"), nil},
		"sent to a server drained by order": {record{}.announced(0, 0, 1).withNote(ledger.ByOrder).announced(500, 0, 0).requestAt(3000).dispatched(3001, 0, 3010, ledger.ServerSentUp).withNote("UP a").add(3020, ledger.ClientReceivedUp, none).withNote("UP a"),
			[]ledger.Rule{ledger.DrainRespected}},
		"sent to a server undrained by order": {record{}.announced(0, 0, 1).withNote(ledger.ByOrder).announced(500, 0, 0).withNote(ledger.ByOrder).requestAt(3000).dispatched(3001, 0, 3010, ledger.ServerSentUp).withNote("UP a").add(3020, ledger.ClientReceivedUp, none).withNote("UP a"), nil},
		"cut off":                             {establishedRecord().add(5000, ledger.ClientDisconnected, none).add(5001, ledger.ProxyClosed, 0), []ledger.Rule{ledger.NoCutWithoutMove}},
		"moved":                               {establishedRecord().add(4999, ledger.ClientReceivedMove, none).add(5001, ledger.ProxyClosed, 0), nil},
		"ended by its server":                 {establishedRecord().add(4999, ledger.ServerReset, 0).add(5000, ledger.ClientDisconnected, none), nil},
		"ended as the lab killed the proxy":   {establishedRecord().proxyEvent(4999, ledger.ProxyKilled).add(5000, ledger.ClientDisconnected, none).add(5001, ledger.ProxyClosed, 0), nil},
		"an end not passed on":                {establishedRecord().add(5000, ledger.ServerClosed, 0).add(6100, ledger.ClientDisconnected, none), []ledger.Rule{ledger.EndPassedOn}},
		"an end never passed on":              {establishedRecord().add(5000, ledger.ServerClosed, 0), []ledger.Rule{ledger.EndPassedOn}},
		"a silence that goes on":              {establishedRecord().add(5000, ledger.ServerSilent, 0).add(12100, ledger.ClientReceivedMove, none), []ledger.Rule{ledger.SilenceEnds}},
		"a silence that ends":                 {establishedRecord().add(5000, ledger.ServerSilent, 0).add(11900, ledger.ClientReceivedMove, none), nil},
		"cut off while its server is silent":  {establishedRecord().add(5000, ledger.ServerSilent, 0).add(6900, ledger.ClientDisconnected, none), nil},
		"a line lost":                         {establishedRecord().add(5000, ledger.LineLost, none).add(6000, ledger.ClientLeft, none), []ledger.Rule{ledger.LinesUnchanged}},
	} {
		t.Run(name, func(t *testing.T) {
			var rules []ledger.Rule
			for _, b := range ledger.FindBreaches(test.events, parameters) {
				rules = append(rules, b.Rule)
				require.NotEmpty(t, b.Evidence)
				require.Contains(t, b.String(), string(b.Rule))
			}
			require.Equal(t, test.rules, rules)
		})
	}
}

// requestAt appends a client's request with a hard limit of 1 s.
func (r record) requestAt(ms int) record { return append(r, requestRecord(ms, 0)...) }

func TestEvidenceOfAnOverloadedColdServerIsWhatWasSentToIt(t *testing.T) {
	events := record{}
	for ms := 1000; ms < 1010; ms++ {
		events = events.add(ms, ledger.DispatchArrived, 2)
	}
	events = events.add(1011, ledger.DispatchArrived, 1)
	for i := range events {
		events[i].ID = ledger.AttachmentID(100 + i) // each belongs to another attachment
	}
	collapse := newEvent(1100, ledger.ColdServerCollapsed, 2)
	collapse.ID = 0
	breaches := ledger.FindBreaches(append(events, collapse), parameters)
	require.Len(t, breaches, 1)
	require.Equal(t, ledger.ColdServerNotOverloaded, breaches[0].Rule)
	require.Len(t, breaches[0].Evidence, 11)
}

func TestEventsAreReturnedInTheOrderOfTime(t *testing.T) {
	eventLog := ledger.NewEventLog()
	eventLog.Record(ledger.Event{At: 5, Kind: ledger.DispatchComplete, ID: 1})
	eventLog.Record(ledger.Event{At: 1, Kind: ledger.DispatchArrived, ID: 1})
	events := eventLog.Events()
	require.Equal(t, ledger.DispatchArrived, events[0].Kind, "an event that is recorded later with an earlier time comes first")
	require.Equal(t, ledger.DispatchComplete, events[1].Kind)
}
