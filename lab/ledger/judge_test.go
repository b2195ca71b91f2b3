package ledger_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"hatchproxy/lab/ledger"
)

// record writes a record by hand: each event with its time in milliseconds. All are of attachment 1 at proxy 0.
type record []ledger.Event

func newEvent(ms int, k ledger.Kind, server int) ledger.Event {
	return ledger.Event{At: ledger.Micros(ms) * ledger.Millisecond, Kind: k, ID: 1, Server: server, Proxy: ledger.None, Product: ledger.None}
}

func (s record) announced(ms, server, state int) record {
	e := newEvent(ms, ledger.StateAnnounced, server)
	e.ID, e.Proxy, e.Value = 0, 0, int64(state)
	return append(s, e)
}

func (s record) proxyEvent(ms int, k ledger.Kind) record {
	e := newEvent(ms, k, ledger.None)
	e.ID, e.Proxy = 0, 0
	return append(s, e)
}

// requestRecord is a client's line with a limit of 1 s.
func requestRecord(ms, product int) record {
	e := newEvent(ms, ledger.RequestSent, ledger.None)
	e.Proxy, e.Product, e.Value = 0, product, int64(e.At+ledger.Second)
	return record{e}
}

func (s record) add(ms int, k ledger.Kind, server int) record {
	return append(s, newEvent(ms, k, server))
}

func (s record) withNote(note string) record {
	s[len(s)-1].Note = note
	return s
}

// dispatched is a dispatch that a server takes and answers with something at a time.
func (s record) dispatched(ms, server, over int, k ledger.Kind) record {
	return s.add(ms, ledger.DispatchArrived, server).add(ms, ledger.DispatchComplete, server).add(over, k, server)
}

// establishedRecord is a connection that stands at server 0 from 20 ms on.
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

func TestEachRuleConvictsItsBreachAndAcquitsWhatOnlyLooksLikeOne(t *testing.T) {
	busy := func(s record, ms int) record { return s.add(ms, ledger.ClientReceivedBusy, none) }
	for name, c := range map[string]struct {
		events record
		broken []ledger.Rule
	}{
		"a sound connection": {establishedRecord().add(5000, ledger.ClientLeft, none).add(5001, ledger.ProxyClosed, 0), nil},
		"no answer":          {requestRecord(0, 0), []ledger.Rule{ledger.OneAnswer}},
		"no answer from one killed at rest": {append(record{{At: 1, Kind: ledger.ClientConnected, ID: 1, Server: none, Proxy: none, Product: none}}.proxyEvent(100, ledger.ProxyKilled),
			requestRecord(2000, 0).add(2001, ledger.ClientUnanswered, none)...), nil},
		"no answer from one killed long before": {append(record{}.proxyEvent(100, ledger.ProxyKilled), requestRecord(2000, 0).add(2001, ledger.ClientUnanswered, none)...), []ledger.Rule{ledger.OneAnswer}},
		"again at one server, the ends cross": {requestRecord(0, 0).add(1, ledger.DispatchArrived, 0).add(1, ledger.DispatchComplete, 0).add(100, ledger.DispatchArrived, 0).add(100, ledger.DispatchComplete, 0).
			add(101, ledger.ProxyClosed, 0).add(900, ledger.ClientReceivedBusy, none).add(901, ledger.ProxyClosed, 0), nil},
		"again at one server, one is left out": {requestRecord(0, 0).add(1, ledger.DispatchArrived, 0).add(1, ledger.DispatchComplete, 0).add(100, ledger.DispatchArrived, 0).add(100, ledger.DispatchComplete, 0).
			add(901, ledger.ProxyClosed, 0).add(902, ledger.ClientReceivedBusy, none).add(4000, ledger.ProxyClosed, 0), []ledger.Rule{ledger.ConcurrentDispatches, ledger.NothingAfterAnswer}},
		"no answer from one killed":      {requestRecord(0, 0).proxyEvent(500, ledger.ProxyKilled), nil},
		"a close for an answer":          {requestRecord(0, 0).add(30, ledger.ClientUnanswered, none), []ledger.Rule{ledger.OneAnswer}},
		"UP from nobody":                 {requestRecord(0, 0).add(30, ledger.ClientReceivedUp, none).withNote("UP x"), []ledger.Rule{ledger.OneAnswer}},
		"late":                           {busy(requestRecord(0, 0), 1060), []ledger.Rule{ledger.LateAnswer}},
		"just in time":                   {busy(requestRecord(0, 0), 1040), nil},
		"sent for who had left":          {requestRecord(0, 0).add(100, ledger.ClientLeft, none).dispatched(260, 0, 270, ledger.ServerSentBusy), []ledger.Rule{ledger.NothingAfterLeave}},
		"sent just as it left":           {requestRecord(0, 0).add(100, ledger.ClientLeft, none).dispatched(190, 0, 200, ledger.ServerSentBusy), nil},
		"late as the rig stopped it":     {busy(requestRecord(0, 0).proxyEvent(100, ledger.ProxyPaused).proxyEvent(1200, ledger.ProxyResumed), 1800), nil},
		"two answers":                    {busy(requestRecord(0, 0), 10).add(20, ledger.ClientReceivedExtra, none), []ledger.Rule{ledger.NothingAfterAnswer}},
		"sent after the answer":          {busy(requestRecord(0, 0), 10).dispatched(200, 0, 210, ledger.ServerSentBusy), []ledger.Rule{ledger.NothingAfterAnswer}},
		"out after the answer":           {busy(requestRecord(0, 0).add(5, ledger.DispatchArrived, 0).add(5, ledger.DispatchComplete, 0), 100), []ledger.Rule{ledger.NothingAfterAnswer}},
		"dropped with the answer":        {busy(requestRecord(0, 0).dispatched(5, 0, 101, ledger.ProxyClosed), 100), nil},
		"two out":                        {establishedRecord().dispatched(5, 1, 8, ledger.ServerSentErr), nil}, // within what one machine's clocks and turns leave open
		"two out for long":               {requestRecord(0, 0).add(1, ledger.DispatchArrived, 0).dispatched(100, 1, 120, ledger.ServerSentErr).add(200, ledger.ProxyClosed, 0).add(210, ledger.ClientReceivedFailure, none), []ledger.Rule{ledger.ConcurrentDispatches}},
		"harmless again":                 {requestRecord(0, 0).dispatched(1, 0, 10, ledger.ServerSentErr).dispatched(11, 1, 20, ledger.ServerSentErr).add(30, ledger.ClientReceivedBusy, none), nil},
		"one-shot again":                 {requestRecord(0, 1).dispatched(1, 0, 10, ledger.ServerSentErr).dispatched(11, 1, 20, ledger.ServerSentErr).add(30, ledger.ClientReceivedFailure, none), []ledger.Rule{ledger.RepeatedEffect}},
		"one-shot again, it never ran":   {requestRecord(0, 1).dispatched(1, 0, 10, ledger.ServerSentBusy).dispatched(11, 1, 20, ledger.ServerSentErr).add(30, ledger.ClientReceivedFailure, none), nil},
		"one-shot again, its line broke": {requestRecord(0, 1).add(1, ledger.DispatchArrived, 0).add(9, ledger.ServerReset, 0).dispatched(11, 1, 20, ledger.ServerSentErr).add(30, ledger.ClientReceivedFailure, none), nil},
		"one-shot pushed back":           {busy(requestRecord(0, 1).dispatched(1, 0, 10, ledger.ServerSentErr), 20), []ledger.Rule{ledger.RepeatedEffect}},
		"one-shot ran twice":             {requestRecord(0, 1).dispatched(1, 0, 5, ledger.DispatchRan).add(6, ledger.ServerSentBusy, 0).dispatched(11, 1, 20, ledger.DispatchRan).add(25, ledger.ServerSentErr, 1).add(30, ledger.ClientReceivedFailure, none), []ledger.Rule{ledger.RepeatedEffect, ledger.RepeatedEffect}},
		"one-shot withheld":              {requestRecord(0, 1).dispatched(1, 0, 10, ledger.ServerSentErr).add(400, ledger.ClientReceivedFailure, none), []ledger.Rule{ledger.WithheldAnswer}},
		"harmless waits for a server":    {requestRecord(0, 0).dispatched(1, 0, 10, ledger.ServerSentErr).add(400, ledger.ClientReceivedFailure, none), nil},
		"stamped in its zone":            {requestRecord(0, 2).dispatched(1, 0, 10, ledger.ServerSentErr).dispatched(11, 2, 20, ledger.ServerSentErr).add(30, ledger.ClientReceivedFailure, none), nil},
		"stamped out of its zone":        {requestRecord(0, 2).dispatched(1, 0, 10, ledger.ServerSentErr).dispatched(11, 1, 20, ledger.ServerSentErr).add(30, ledger.ClientReceivedFailure, none), []ledger.Rule{ledger.OutsideDedupScope}},
		"stamped out of its window":      {requestRecord(0, 2).dispatched(1, 0, 10, ledger.ServerSentErr).dispatched(360, 2, 370, ledger.ServerSentErr).add(380, ledger.ClientReceivedFailure, none), []ledger.Rule{ledger.OutsideDedupScope}},
		"too many": {requestRecord(0, 0).dispatched(1, 0, 10, ledger.ServerSentErr).dispatched(11, 1, 20, ledger.ServerSentErr).dispatched(21, 0, 30, ledger.ServerSentErr).dispatched(31, 1, 40, ledger.ServerSentErr).
			add(50, ledger.ClientReceivedFailure, none), []ledger.Rule{ledger.DispatchLimit}},
		"to a drained one":    {record{}.announced(0, 0, 1).requestAt(3000).dispatched(3001, 0, 3010, ledger.ServerSentUp).withNote("UP a").add(3020, ledger.ClientReceivedUp, none).withNote("UP a"), []ledger.Rule{ledger.DrainRespected}},
		"to one that is back": {record{}.announced(0, 0, 2).announced(2900, 0, 0).requestAt(3000).dispatched(3001, 0, 3010, ledger.ServerSentUp).withNote("UP a").add(3020, ledger.ClientReceivedUp, none).withNote("UP a"), nil},
		"within the grace":    {record{}.announced(1500, 0, 1).requestAt(3000).dispatched(3001, 0, 3010, ledger.ServerSentUp).withNote("UP a").add(3020, ledger.ClientReceivedUp, none).withNote("UP a"), nil},
		"to one drained by order": {record{}.announced(0, 0, 1).withNote(ledger.ByOrder).announced(500, 0, 0).requestAt(3000).dispatched(3001, 0, 3010, ledger.ServerSentUp).withNote("UP a").add(3020, ledger.ClientReceivedUp, none).withNote("UP a"),
			[]ledger.Rule{ledger.DrainRespected}},
		"to one undrained by order":    {record{}.announced(0, 0, 1).withNote(ledger.ByOrder).announced(500, 0, 0).withNote(ledger.ByOrder).requestAt(3000).dispatched(3001, 0, 3010, ledger.ServerSentUp).withNote("UP a").add(3020, ledger.ClientReceivedUp, none).withNote("UP a"), nil},
		"cut":                          {establishedRecord().add(5000, ledger.ClientDisconnected, none).add(5001, ledger.ProxyClosed, 0), []ledger.Rule{ledger.NoCutWithoutMove}},
		"moved":                        {establishedRecord().add(4999, ledger.ClientReceivedMove, none).add(5001, ledger.ProxyClosed, 0), nil},
		"cut by its server":            {establishedRecord().add(4999, ledger.ServerReset, 0).add(5000, ledger.ClientDisconnected, none), nil},
		"cut by the rig":               {establishedRecord().proxyEvent(4999, ledger.ProxyKilled).add(5000, ledger.ClientDisconnected, none).add(5001, ledger.ProxyClosed, 0), nil},
		"an end not passed on":         {establishedRecord().add(5000, ledger.ServerClosed, 0).add(6100, ledger.ClientDisconnected, none), []ledger.Rule{ledger.EndPassedOn}},
		"an end never passed on":       {establishedRecord().add(5000, ledger.ServerClosed, 0), []ledger.Rule{ledger.EndPassedOn}},
		"a silence that goes on":       {establishedRecord().add(5000, ledger.ServerSilent, 0).add(12100, ledger.ClientReceivedMove, none), []ledger.Rule{ledger.SilenceEnds}},
		"a silence that ends":          {establishedRecord().add(5000, ledger.ServerSilent, 0).add(11900, ledger.ClientReceivedMove, none), nil},
		"a cut while its server mutes": {establishedRecord().add(5000, ledger.ServerSilent, 0).add(6900, ledger.ClientDisconnected, none), nil},
		"a line lost":                  {establishedRecord().add(5000, ledger.LineLost, none).add(6000, ledger.ClientLeft, none), []ledger.Rule{ledger.LinesUnchanged}},
	} {
		t.Run(name, func(t *testing.T) {
			var broken []ledger.Rule
			for _, b := range ledger.FindBreaches(c.events, parameters) {
				broken = append(broken, b.Rule)
				require.NotEmpty(t, b.Evidence)
				require.Contains(t, b.String(), string(b.Rule))
			}
			require.Equal(t, c.broken, broken)
		})
	}
}

// requestAt is a client's line after what has been written so far.
func (s record) requestAt(ms int) record { return append(s, requestRecord(ms, 0)...) }

func TestTheEvidenceOfATippedServerIsWhatWasSentToIt(t *testing.T) {
	book := record{}
	for ms := 1000; ms < 1010; ms++ {
		book = book.add(ms, ledger.DispatchArrived, 2)
	}
	book = book.add(1011, ledger.DispatchArrived, 1)
	for i := range book {
		book[i].ID = ledger.AttachmentID(100 + i) // each of another attachment
	}
	tip := newEvent(1100, ledger.ColdServerOverloaded, 2)
	tip.ID = 0
	found := ledger.FindBreaches(append(book, tip), parameters)
	require.Len(t, found, 1)
	require.Equal(t, ledger.ColdServerNotOverloaded, found[0].Rule)
	require.Len(t, found[0].Evidence, 11)
}

func TestTheRecordIsToldInTheOrderOfTime(t *testing.T) {
	b := ledger.NewEventLog()
	b.Record(ledger.Event{At: 5, Kind: ledger.DispatchComplete, ID: 1})
	b.Record(ledger.Event{At: 1, Kind: ledger.DispatchArrived, ID: 1})
	events := b.Events()
	require.Equal(t, ledger.DispatchArrived, events[0].Kind, "what was noted later with an earlier time comes first")
	require.Equal(t, ledger.DispatchComplete, events[1].Kind)
}
