package ledger_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"hatchproxy/lab/ledger"
)

// story writes a record by hand: each event with its time in milliseconds. All are of attachment 1 at proxy 0.
type story []ledger.Event

func at(ms int, k ledger.Kind, server int) ledger.Event {
	return ledger.Event{At: ledger.Micros(ms) * ledger.Millisecond, Kind: k, ID: 1, Server: server, Proxy: ledger.None, Product: ledger.None}
}

func (s story) told(ms, server, state int) story {
	e := at(ms, ledger.Told, server)
	e.ID, e.Proxy, e.Value = 0, 0, int64(state)
	return append(s, e)
}

func (s story) proxy(ms int, k ledger.Kind) story {
	e := at(ms, k, ledger.None)
	e.ID, e.Proxy = 0, 0
	return append(s, e)
}

// asks is a client's line with a limit of 1 s.
func asks(ms, product int) story {
	e := at(ms, ledger.Asked, ledger.None)
	e.Proxy, e.Product, e.Value = 0, product, int64(e.At+ledger.Second)
	return story{e}
}

func (s story) then(ms int, k ledger.Kind, server int) story { return append(s, at(ms, k, server)) }

func (s story) noted(note string) story {
	s[len(s)-1].Note = note
	return s
}

// sent is a dispatch that a server takes and answers with something at a time.
func (s story) sent(ms, server, over int, k ledger.Kind) story {
	return s.then(ms, ledger.Arrived, server).then(ms, ledger.Taken, server).then(over, k, server)
}

// up is a connection that stands at server 0 from 20 ms on.
func up() story {
	return asks(0, 0).sent(1, 0, 10, ledger.SaidUp).noted("UP a").then(20, ledger.HeardUp, ledger.None).noted("UP a")
}

var terms = ledger.Terms{
	Products: []ledger.Product{{Name: "harmless"}, {Name: "one-shot", Repeat: ledger.OneShot},
		{Name: "stamped", Repeat: ledger.Stamped, Reach: ledger.ReachZone, Window: 300 * ledger.Millisecond}},
	Servers:    []ledger.Place{{Zone: 0}, {Zone: 1}, {Zone: 0}},
	Grace:      2 * ledger.Second,
	Dispatches: 3,
	End:        30 * ledger.Second,
}

const none = ledger.None

func TestEachRuleConvictsItsBreachAndAcquitsWhatOnlyLooksLikeOne(t *testing.T) {
	busy := func(s story, ms int) story { return s.then(ms, ledger.HeardBusy, none) }
	for name, c := range map[string]struct {
		events story
		broken []ledger.Rule
	}{
		"a sound connection": {up().then(5000, ledger.Left, none).then(5001, ledger.Dropped, 0), nil},
		"no answer":          {asks(0, 0), []ledger.Rule{ledger.OneAnswer}},
		"no answer from one killed at rest": {append(story{{At: 1, Kind: ledger.Connected, ID: 1, Server: none, Proxy: none, Product: none}}.proxy(100, ledger.ProxyKilled),
			asks(2000, 0).then(2001, ledger.HeardNothing, none)...), nil},
		"no answer from one killed long before": {append(story{}.proxy(100, ledger.ProxyKilled), asks(2000, 0).then(2001, ledger.HeardNothing, none)...), []ledger.Rule{ledger.OneAnswer}},
		"again at one server, the ends cross": {asks(0, 0).then(1, ledger.Arrived, 0).then(1, ledger.Taken, 0).then(100, ledger.Arrived, 0).then(100, ledger.Taken, 0).
			then(101, ledger.Dropped, 0).then(900, ledger.HeardBusy, none).then(901, ledger.Dropped, 0), nil},
		"again at one server, one is left out": {asks(0, 0).then(1, ledger.Arrived, 0).then(1, ledger.Taken, 0).then(100, ledger.Arrived, 0).then(100, ledger.Taken, 0).
			then(901, ledger.Dropped, 0).then(902, ledger.HeardBusy, none).then(4000, ledger.Dropped, 0), []ledger.Rule{ledger.TwoOut, ledger.AfterAnswer}},
		"no answer from one killed":      {asks(0, 0).proxy(500, ledger.ProxyKilled), nil},
		"a close for an answer":          {asks(0, 0).then(30, ledger.HeardNothing, none), []ledger.Rule{ledger.OneAnswer}},
		"UP from nobody":                 {asks(0, 0).then(30, ledger.HeardUp, none).noted("UP x"), []ledger.Rule{ledger.OneAnswer}},
		"late":                           {busy(asks(0, 0), 1060), []ledger.Rule{ledger.LateAnswer}},
		"just in time":                   {busy(asks(0, 0), 1040), nil},
		"sent for who had left":          {asks(0, 0).then(100, ledger.Left, none).sent(260, 0, 270, ledger.SaidBusy), []ledger.Rule{ledger.ForNobody}},
		"sent just as it left":           {asks(0, 0).then(100, ledger.Left, none).sent(190, 0, 200, ledger.SaidBusy), nil},
		"late as the rig stopped it":     {busy(asks(0, 0).proxy(100, ledger.ProxyStopped).proxy(1200, ledger.ProxyWoken), 1800), nil},
		"two answers":                    {busy(asks(0, 0), 10).then(20, ledger.HeardMore, none), []ledger.Rule{ledger.AfterAnswer}},
		"sent after the answer":          {busy(asks(0, 0), 10).sent(200, 0, 210, ledger.SaidBusy), []ledger.Rule{ledger.AfterAnswer}},
		"out after the answer":           {busy(asks(0, 0).then(5, ledger.Arrived, 0).then(5, ledger.Taken, 0), 100), []ledger.Rule{ledger.AfterAnswer}},
		"dropped with the answer":        {busy(asks(0, 0).sent(5, 0, 101, ledger.Dropped), 100), nil},
		"two out":                        {up().sent(5, 1, 8, ledger.SaidErr), nil}, // within what one machine's clocks and turns leave open
		"two out for long":               {asks(0, 0).then(1, ledger.Arrived, 0).sent(100, 1, 120, ledger.SaidErr).then(200, ledger.Dropped, 0).then(210, ledger.HeardFailed, none), []ledger.Rule{ledger.TwoOut}},
		"harmless again":                 {asks(0, 0).sent(1, 0, 10, ledger.SaidErr).sent(11, 1, 20, ledger.SaidErr).then(30, ledger.HeardBusy, none), nil},
		"one-shot again":                 {asks(0, 1).sent(1, 0, 10, ledger.SaidErr).sent(11, 1, 20, ledger.SaidErr).then(30, ledger.HeardFailed, none), []ledger.Rule{ledger.EffectTwice}},
		"one-shot again, it never ran":   {asks(0, 1).sent(1, 0, 10, ledger.SaidBusy).sent(11, 1, 20, ledger.SaidErr).then(30, ledger.HeardFailed, none), nil},
		"one-shot again, its line broke": {asks(0, 1).then(1, ledger.Arrived, 0).then(9, ledger.ServerReset, 0).sent(11, 1, 20, ledger.SaidErr).then(30, ledger.HeardFailed, none), nil},
		"one-shot pushed back":           {busy(asks(0, 1).sent(1, 0, 10, ledger.SaidErr), 20), []ledger.Rule{ledger.EffectTwice}},
		"one-shot ran twice":             {asks(0, 1).sent(1, 0, 5, ledger.Ran).then(6, ledger.SaidBusy, 0).sent(11, 1, 20, ledger.Ran).then(25, ledger.SaidErr, 1).then(30, ledger.HeardFailed, none), []ledger.Rule{ledger.EffectTwice, ledger.EffectTwice}},
		"one-shot withheld":              {asks(0, 1).sent(1, 0, 10, ledger.SaidErr).then(400, ledger.HeardFailed, none), []ledger.Rule{ledger.Withheld}},
		"harmless waits for a server":    {asks(0, 0).sent(1, 0, 10, ledger.SaidErr).then(400, ledger.HeardFailed, none), nil},
		"stamped in its zone":            {asks(0, 2).sent(1, 0, 10, ledger.SaidErr).sent(11, 2, 20, ledger.SaidErr).then(30, ledger.HeardFailed, none), nil},
		"stamped out of its zone":        {asks(0, 2).sent(1, 0, 10, ledger.SaidErr).sent(11, 1, 20, ledger.SaidErr).then(30, ledger.HeardFailed, none), []ledger.Rule{ledger.OutOfReach}},
		"stamped out of its window":      {asks(0, 2).sent(1, 0, 10, ledger.SaidErr).sent(360, 2, 370, ledger.SaidErr).then(380, ledger.HeardFailed, none), []ledger.Rule{ledger.OutOfReach}},
		"too many": {asks(0, 0).sent(1, 0, 10, ledger.SaidErr).sent(11, 1, 20, ledger.SaidErr).sent(21, 0, 30, ledger.SaidErr).sent(31, 1, 40, ledger.SaidErr).
			then(50, ledger.HeardFailed, none), []ledger.Rule{ledger.TooMany}},
		"to a drained one":    {story{}.told(0, 0, 1).after(3000).sent(3001, 0, 3010, ledger.SaidUp).noted("UP a").then(3020, ledger.HeardUp, none).noted("UP a"), []ledger.Rule{ledger.DrainKept}},
		"to one that is back": {story{}.told(0, 0, 2).told(2900, 0, 0).after(3000).sent(3001, 0, 3010, ledger.SaidUp).noted("UP a").then(3020, ledger.HeardUp, none).noted("UP a"), nil},
		"within the grace":    {story{}.told(1500, 0, 1).after(3000).sent(3001, 0, 3010, ledger.SaidUp).noted("UP a").then(3020, ledger.HeardUp, none).noted("UP a"), nil},
		"to one drained by order": {story{}.told(0, 0, 1).noted(ledger.ByOrder).told(500, 0, 0).after(3000).sent(3001, 0, 3010, ledger.SaidUp).noted("UP a").then(3020, ledger.HeardUp, none).noted("UP a"),
			[]ledger.Rule{ledger.DrainKept}},
		"to one undrained by order":    {story{}.told(0, 0, 1).noted(ledger.ByOrder).told(500, 0, 0).noted(ledger.ByOrder).after(3000).sent(3001, 0, 3010, ledger.SaidUp).noted("UP a").then(3020, ledger.HeardUp, none).noted("UP a"), nil},
		"cut":                          {up().then(5000, ledger.Ended, none).then(5001, ledger.Dropped, 0), []ledger.Rule{ledger.CutOff}},
		"moved":                        {up().then(4999, ledger.HeardMove, none).then(5001, ledger.Dropped, 0), nil},
		"cut by its server":            {up().then(4999, ledger.ServerReset, 0).then(5000, ledger.Ended, none), nil},
		"cut by the rig":               {up().proxy(4999, ledger.ProxyKilled).then(5000, ledger.Ended, none).then(5001, ledger.Dropped, 0), nil},
		"an end not passed on":         {up().then(5000, ledger.ServerEnded, 0).then(6100, ledger.Ended, none), []ledger.Rule{ledger.EndPassed}},
		"an end never passed on":       {up().then(5000, ledger.ServerEnded, 0), []ledger.Rule{ledger.EndPassed}},
		"a silence that goes on":       {up().then(5000, ledger.FellSilent, 0).then(12100, ledger.HeardMove, none), []ledger.Rule{ledger.Silence}},
		"a silence that ends":          {up().then(5000, ledger.FellSilent, 0).then(11900, ledger.HeardMove, none), nil},
		"a cut while its server mutes": {up().then(5000, ledger.FellSilent, 0).then(6900, ledger.Ended, none), nil},
		"a line lost":                  {up().then(5000, ledger.LineLost, none).then(6000, ledger.Left, none), []ledger.Rule{ledger.Lines}},
	} {
		t.Run(name, func(t *testing.T) {
			var broken []ledger.Rule
			for _, b := range ledger.Judge(c.events, terms) {
				broken = append(broken, b.Rule)
				require.NotEmpty(t, b.Evidence)
				require.Contains(t, b.String(), string(b.Rule))
			}
			require.Equal(t, c.broken, broken)
		})
	}
}

// after is a client's line after what has been written so far.
func (s story) after(ms int) story { return append(s, asks(ms, 0)...) }

func TestTheEvidenceOfATippedServerIsWhatWasSentToIt(t *testing.T) {
	book := story{}
	for ms := 1000; ms < 1010; ms++ {
		book = book.then(ms, ledger.Arrived, 2)
	}
	book = book.then(1011, ledger.Arrived, 1)
	for i := range book {
		book[i].ID = ledger.ID(100 + i) // each of another attachment
	}
	tip := at(1100, ledger.TippedOver, 2)
	tip.ID = 0
	found := ledger.Judge(append(book, tip), terms)
	require.Len(t, found, 1)
	require.Equal(t, ledger.ColdKept, found[0].Rule)
	require.Len(t, found[0].Evidence, 11)
}

func TestTheRecordIsToldInTheOrderOfTime(t *testing.T) {
	b := ledger.Open()
	b.Write(ledger.Event{At: 5, Kind: ledger.Taken, ID: 1})
	b.Write(ledger.Event{At: 1, Kind: ledger.Arrived, ID: 1})
	events := b.Events()
	require.Equal(t, ledger.Arrived, events[0].Kind, "what was noted later with an earlier time comes first")
	require.Equal(t, ledger.Taken, events[1].Kind)
}
