package ledger

import (
	"cmp"
	"fmt"
	"slices"
)

// Idempotency says what a second run of a product would do.
type Idempotency uint8

const (
	Harmless Idempotency = iota
	Stamped
	OneShot
)

// DedupScope is the set of servers that drops the repeats of a stamped product.
type DedupScope uint8

const (
	DedupAll DedupScope = iota
	DedupZone
	DedupCell
)

// Product is what the rules need to know of a product.
type Product struct {
	Name        string
	Idempotency Idempotency
	DedupScope  DedupScope
	DedupWindow Micros // how long a stamp is remembered
}

// ServerLocation is where a server stands.
type ServerLocation struct{ Zone, Cell int }

// Parameters are the figures of the rules on one site.
type Parameters struct {
	Products      []Product
	Servers       []ServerLocation
	DrainGrace    Micros // a drain's
	MaxDispatches int    // the most for an attachment
	End           Micros // the run's; what had no time to happen by then is no breach
}

const (
	// tolerance is what the protocol's page adds to each time limit on sockets.
	tolerance = 50 * Millisecond
	// endsWithin, silentWithin are the protocol's: an end is passed on within 1 s, a silence ends within 7 s.
	maxEndDelay = Second
	maxSilence  = 7 * Second
	// maxAnswerDelay is how soon a final answer comes once nothing more is permitted: a way to another zone and back and
	// the loop's turn take some milliseconds, and a proxy that sits on an answer does so for much longer.
	maxAnswerDelay = 250 * Millisecond
	// maxDispatchAfterLeave is how long after a client has left a first byte for it may still go out.
	maxDispatchAfterLeave = 100 * Millisecond
	// maxOpenAfterAnswer is how long a dispatch may stay out after the final answer: its end is on its way at once.
	maxOpenAfterAnswer = Second
)

// Rule names a rule.
type Rule string

const (
	OneAnswer               Rule = "one-final-answer"
	NothingAfterAnswer      Rule = "nothing-after-the-answer"
	LateAnswer              Rule = "late-answer"
	WithheldAnswer          Rule = "withheld-answer"
	ConcurrentDispatches    Rule = "two-dispatches-out"
	RepeatedEffect          Rule = "effect-twice"
	OutsideDedupScope       Rule = "stamped-out-of-group-or-window"
	DrainRespected          Rule = "drain-kept"
	ColdServerNotOverloaded Rule = "cold-server-kept-up"
	NoCutWithoutMove        Rule = "no-cut-without-move"
	EndPassedOn             Rule = "end-passed-on"
	SilenceEnds             Rule = "silence-ends"
	LinesUnchanged          Rule = "lines-unchanged"
	DispatchLimit           Rule = "dispatches-at-most"
	NothingAfterLeave       Rule = "nothing-for-who-left"
)

// Rules are all, in the order in which they are reported.
var Rules = []Rule{OneAnswer, NothingAfterAnswer, LateAnswer, WithheldAnswer, ConcurrentDispatches, RepeatedEffect, OutsideDedupScope, DispatchLimit, DrainRespected,
	ColdServerNotOverloaded, NoCutWithoutMove, EndPassedOn, SilenceEnds, LinesUnchanged, NothingAfterLeave}

// ByOrder is the note of what a proxy was told by an order and not by the list: each stands until its own word ends it.
const ByOrder = "by order"

// Breach is a broken rule with all that was seen of it, in the order of time.
type Breach struct {
	Rule     Rule
	At       Micros
	ID       AttachmentID
	Reason   string
	Evidence []Event
}

func (b Breach) String() string {
	text := fmt.Sprintf("%s: %s", b.Rule, b.Reason)
	if b.ID != 0 {
		text += fmt.Sprintf(" (attachment %016x)", uint64(b.ID))
	}
	for _, e := range b.Evidence {
		text += "\n    " + e.String()
	}
	return text
}

// interval is a stretch of time.
type interval struct{ from, to Micros }

// checker is a judgement under way.
type checker struct {
	parameters    Parameters
	pauses        map[int][]interval    // of proxies, by the rig itself: what is late then is not theirs
	linkCuts      map[[2]int][]interval // by proxy and zone: what passed there was held by the rig
	kills         map[int][]Micros
	announcements map[[2]int][]Event // by proxy and server
	breaches      []Breach
}

// FindBreaches finds all breaches in a record that is in the order of time.
func FindBreaches(events []Event, terms Parameters) []Breach {
	t := &checker{parameters: terms, pauses: map[int][]interval{}, linkCuts: map[[2]int][]interval{}, kills: map[int][]Micros{}, announcements: map[[2]int][]Event{}}
	byID := map[AttachmentID][]Event{}
	for _, e := range events {
		switch e.Kind {
		case ProxyPaused:
			t.pauses[e.Proxy] = append(t.pauses[e.Proxy], interval{e.At, terms.End})
		case ProxyResumed:
			if s := t.pauses[e.Proxy]; len(s) > 0 {
				s[len(s)-1].to = e.At
			}
		case LinkCut:
			way := [2]int{e.Proxy, int(e.Value)}
			t.linkCuts[way] = append(t.linkCuts[way], interval{e.At, terms.End})
		case LinkRestored:
			if s := t.linkCuts[[2]int{e.Proxy, int(e.Value)}]; len(s) > 0 {
				s[len(s)-1].to = e.At
			}
		case ProxyKilled:
			t.kills[e.Proxy] = append(t.kills[e.Proxy], e.At)
		case StateAnnounced:
			at := [2]int{e.Proxy, e.Server}
			t.announcements[at] = append(t.announcements[at], e)
		case ColdServerOverloaded:
			t.checkColdServer(events, e)
		}
		if e.ID != 0 {
			byID[e.ID] = append(byID[e.ID], e)
		}
	}
	ids := make([]AttachmentID, 0, len(byID))
	for id := range byID {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for _, id := range ids {
		t.checkAttachment(id, byID[id])
	}
	slices.SortStableFunc(t.breaches, func(a, b Breach) int { return cmp.Compare(a.At, b.At) })
	return t.breaches
}

func (t *checker) report(r Rule, at Micros, id AttachmentID, evidence []Event, format string, a ...any) {
	t.breaches = append(t.breaches, Breach{r, at, id, fmt.Sprintf(format, a...), evidence})
}

// pausedTime is how long the rig held a proxy within a stretch of time, and what it needed to catch up.
func (t *checker) pausedTime(proxy int, from, to Micros) Micros {
	var sum Micros
	for _, s := range t.pauses[proxy] {
		if overlap := min(s.to, to) - max(s.from, from); overlap > 0 {
			sum += overlap + tolerance
		}
	}
	return sum
}

// lastLinkCut is the last stretch that began by a time in which a proxy's way to a server was cut, and how long it was before then.
func (t *checker) lastLinkCut(proxy, server int, by Micros) (found interval, lasted Micros) {
	if server < 0 || server >= len(t.parameters.Servers) {
		return interval{}, 0
	}
	for _, s := range t.linkCuts[[2]int{proxy, t.parameters.Servers[server].Zone}] {
		if s.from <= by {
			found, lasted = s, min(s.to, by)-s.from
		}
	}
	return found, lasted
}

// wasKilled tells whether the rig killed a proxy within a stretch of time.
func (t *checker) wasKilled(proxy int, from, to Micros) bool {
	return slices.ContainsFunc(t.kills[proxy], func(at Micros) bool { return at >= from-tolerance && at <= to+tolerance })
}

// dispatch is one try at a server, as that saw it.
type dispatch struct {
	server     int
	arrivedAt  Micros
	completeAt Micros // 0 if the line never came whole
	endedAt    Micros // when it was out no more; 0 if never
	refused    bool
	ran        bool
}

func (d dispatch) mayHaveRun() bool { return d.ran || d.completeAt != 0 && !d.refused }

// attachment is an attachment as all sides saw it.
type attachment struct {
	id              AttachmentID
	events          []Event
	request, answer *Event
	connectedAt     Micros // when its connection came up, where that was before it asked
	extra           *Event
	moved, ended    *Event
	left            *Event
	carried         bool
	proxy           int
	dispatches      []dispatch
	upLine          string // the server's
	upServer        int
	silentAt        Micros
	silent          bool
	serverEnd       *Event
	proxyEnd        *Event // the proxy ended the standing connection at the server
	serverWasSilent bool
}

func newAttachment(id AttachmentID, events []Event) *attachment {
	a := &attachment{id: id, events: events, proxy: None, upServer: None}
	open := map[int]int{} // server to its latest dispatch
	last := func(server int) *dispatch {
		if i, known := open[server]; known {
			return &a.dispatches[i]
		}
		return nil
	}
	// first is the oldest that is still out: where one follows another at the same server, their connections end in the
	// order in which they came, though the server may see the end of one just after the beginning of the next.
	first := func(server int) *dispatch {
		for i := range a.dispatches {
			if d := &a.dispatches[i]; d.server == server && d.endedAt == 0 {
				return d
			}
		}
		return last(server)
	}
	for i := range events {
		e := &events[i]
		switch e.Kind {
		case CarriedOver:
			a.carried = true
		case ClientConnected:
			a.connectedAt = e.At
		case RequestSent:
			a.request, a.proxy = e, e.Proxy
			if a.connectedAt == 0 {
				a.connectedAt = e.At
			}
		case ClientReceivedUp, ClientReceivedBusy, ClientReceivedFailure, ClientUnanswered:
			if a.answer == nil {
				a.answer = e
			} else if a.extra == nil {
				a.extra = e
			}
		case ClientReceivedExtra:
			if a.extra == nil {
				a.extra = e
			}
		case ClientReceivedMove:
			a.moved = e
		case ClientDisconnected:
			a.ended = e
		case ClientLeft:
			a.left = e
		case DispatchArrived:
			open[e.Server] = len(a.dispatches)
			a.dispatches = append(a.dispatches, dispatch{server: e.Server, arrivedAt: e.At})
		case ServerSilent:
			a.silent, a.silentAt, a.serverWasSilent = true, e.At, true
		case ServerResumed:
			a.silent = false
		}
		d := last(e.Server)
		if d == nil {
			continue
		}
		switch e.Kind {
		case DispatchComplete:
			d.completeAt = e.At
		case DispatchRan:
			d.ran = true
		case ServerSentUp:
			d.endedAt, a.upLine, a.upServer = firstNonZero(d.endedAt, e.At), e.Note, e.Server
		case ServerSentBusy:
			d.endedAt, d.refused = firstNonZero(d.endedAt, e.At), true
		case ServerSentErr, ServerSentMove:
			d.endedAt = firstNonZero(d.endedAt, e.At)
		case ServerClosed, ServerReset:
			d.endedAt = firstNonZero(d.endedAt, e.At)
			if a.serverEnd == nil {
				a.serverEnd = e
			}
		case ProxyClosed:
			d = first(e.Server)
			d.endedAt = firstNonZero(d.endedAt, e.At)
			a.proxyEnd = e
		}
	}
	return a
}

func firstNonZero(a, b Micros) Micros {
	if a != 0 {
		return a
	}
	return b
}

func (t *checker) checkAttachment(id AttachmentID, events []Event) {
	a := newAttachment(id, events)
	if a.request != nil {
		t.checkAnswer(a)
	}
	t.checkDispatches(a)
	t.checkDrains(a)
	t.checkEstablished(a)
	for _, e := range events {
		if e.Kind >= LineDelayed && e.Kind <= LineChanged {
			if e.Kind == LineDelayed && t.pausedTime(a.proxy, e.At-Micros(e.Value)-tolerance, e.At) > 0 {
				continue
			}
			if s, lasted := t.lastLinkCut(a.proxy, e.Server, e.At); e.Kind == LineDelayed && lasted > 0 && s.to+tolerance > e.At-Micros(e.Value) {
				continue
			}
			t.report(LinesUnchanged, e.At, id, events, "%s: %s", e.Kind, e.Note)
		}
	}
}

// checkAnswer judges the final answer.
func (t *checker) checkAnswer(a *attachment) {
	limit := Micros(a.request.Value)
	paused := t.pausedTime(a.proxy, a.request.At, limit+10*Second)
	switch {
	case a.answer == nil:
		t.checkAbandoned(a)
		if a.left == nil && limit+paused+tolerance < t.parameters.End && !t.wasKilled(a.proxy, a.request.At, limit) {
			t.report(OneAnswer, limit, a.id, a.events, "no final answer by the hard limit")
		}
		if a.left != nil && a.left.At > limit+paused+tolerance && !t.wasKilled(a.proxy, a.request.At, limit) {
			t.report(OneAnswer, limit, a.id, a.events, "no final answer by the hard limit, the client gave up")
		}
		return
	case a.answer.Kind == ClientUnanswered:
		if !t.wasKilled(a.proxy, a.connectedAt, a.answer.At) {
			t.report(OneAnswer, a.answer.At, a.id, a.events, "the connection was ended with no final answer")
		}
		return
	case a.answer.At > limit+tolerance+paused:
		t.report(LateAnswer, a.answer.At, a.id, a.events, "the final answer came %s after the hard limit", a.answer.At-limit)
	}
	if a.extra != nil {
		t.report(NothingAfterAnswer, a.extra.At, a.id, a.events, "something came after the final answer: %s", a.extra.Note)
	}
	if a.answer.Kind == ClientReceivedUp && a.answer.Note != a.upLine {
		t.report(OneAnswer, a.answer.At, a.id, a.events, "the client heard %q, the servers gave %q", a.answer.Note, a.upLine)
	}
	for _, d := range a.dispatches {
		if d.arrivedAt > a.answer.At+tolerance+paused {
			t.report(NothingAfterAnswer, d.arrivedAt, a.id, a.events, "sent to server %d after the final answer", d.server)
		}
		if a.answer.Kind != ClientReceivedUp && d.arrivedAt < a.answer.At && (d.endedAt == 0 && a.answer.At+maxOpenAfterAnswer < t.parameters.End ||
			d.endedAt > a.answer.At+maxOpenAfterAnswer+paused) {
			t.report(NothingAfterAnswer, a.answer.At, a.id, a.events, "the dispatch at server %d stayed out after the final answer", d.server)
		}
	}
	if a.answer.Kind == ClientReceivedUp {
		return
	}
	if a.answer.Kind == ClientReceivedBusy && t.product(a).Idempotency == OneShot {
		for _, d := range a.dispatches {
			if d.mayHaveRun() && d.arrivedAt < a.answer.At {
				t.report(RepeatedEffect, a.answer.At, a.id, a.events, "a one-shot was pushed back that may have run at server %d", d.server)
			}
		}
	}
	if since, why := t.dispatchesExhausted(a); why != "" && a.answer.At > since+maxAnswerDelay+t.pausedTime(a.proxy, since, a.answer.At) {
		t.report(WithheldAnswer, a.answer.At, a.id, a.events, "the final answer came %s after %s", a.answer.At-since, why)
	}
}

// checkAbandoned judges what was sent for a client that had left without an answer.
func (t *checker) checkAbandoned(a *attachment) {
	if a.left == nil {
		return
	}
	for _, d := range a.dispatches {
		if late := d.arrivedAt - a.left.At; late > maxDispatchAfterLeave+tolerance+t.pausedTime(a.proxy, a.left.At, d.arrivedAt) {
			t.report(NothingAfterLeave, d.arrivedAt, a.id, a.events, "sent to server %d, %s after its client had left", d.server, late)
		}
	}
}

// dispatchesExhausted tells since when no further dispatch was permitted, where that is certain from outside.
func (t *checker) dispatchesExhausted(a *attachment) (Micros, string) {
	for i, d := range a.dispatches {
		if d.endedAt == 0 || d.endedAt > a.answer.At {
			continue
		}
		if t.product(a).Idempotency == OneShot && d.mayHaveRun() {
			return d.endedAt, "a one-shot may have run"
		}
		if t.parameters.MaxDispatches > 0 && i+1 == t.parameters.MaxDispatches {
			return d.endedAt, "its last dispatch was over"
		}
	}
	return 0, ""
}

func (t *checker) product(a *attachment) Product {
	if a.request == nil || a.request.Product < 0 || a.request.Product >= len(t.parameters.Products) {
		return Product{}
	}
	return t.parameters.Products[a.request.Product]
}

// checkDispatches judges what was sent how often.
func (t *checker) checkDispatches(a *attachment) {
	p := t.product(a)
	if t.parameters.MaxDispatches > 0 && len(a.dispatches) > t.parameters.MaxDispatches && !a.carried {
		t.report(DispatchLimit, a.dispatches[t.parameters.MaxDispatches].arrivedAt, a.id, a.events, "%d dispatches, %d are the most",
			len(a.dispatches), t.parameters.MaxDispatches)
	}
	runs := 0
	for i, d := range a.dispatches {
		if d.ran {
			runs++
		}
		for _, before := range a.dispatches[:i] {
			if before.endedAt == 0 || before.endedAt > d.arrivedAt+tolerance {
				t.report(ConcurrentDispatches, d.arrivedAt, a.id, a.events, "out at server %d while another was out at server %d", d.server, before.server)
			}
			if !before.mayHaveRun() {
				continue
			}
			switch p.Idempotency {
			case OneShot:
				t.report(RepeatedEffect, d.arrivedAt, a.id, a.events, "a one-shot that may have run at server %d went to server %d", before.server, d.server)
			case Stamped:
				if !t.sameDedupScope(p.DedupScope, before.server, d.server) {
					t.report(OutsideDedupScope, d.arrivedAt, a.id, a.events, "may have run at server %d, went to server %d of another group", before.server, d.server)
				} else if p.DedupWindow > 0 && d.arrivedAt-before.arrivedAt > p.DedupWindow+tolerance {
					t.report(OutsideDedupScope, d.arrivedAt, a.id, a.events, "went to server %d after the stamp's window", d.server)
				}
			}
		}
	}
	if runs > 1 && p.Idempotency == OneShot {
		t.report(RepeatedEffect, a.events[len(a.events)-1].At, a.id, a.events, "a one-shot ran %d times", runs)
	}
}

func (t *checker) sameDedupScope(r DedupScope, a, b int) bool {
	if max(a, b) >= len(t.parameters.Servers) {
		return true
	}
	x, y := t.parameters.Servers[a], t.parameters.Servers[b]
	switch r {
	case DedupZone:
		return x.Zone == y.Zone
	case DedupCell:
		return x.Cell == y.Cell
	}
	return true
}

// checkDrains judges what was sent to servers that the proxy knew to drain or to be gone.
func (t *checker) checkDrains(a *attachment) {
	if a.proxy == None || a.carried {
		return
	}
	for _, d := range a.dispatches {
		var list, order, told *Event
		for _, e := range t.announcements[[2]int{a.proxy, d.server}] {
			told = list
			if e.Note == ByOrder {
				told = order
			}
			switch {
			case e.At > d.arrivedAt:
			case e.Value == 0:
				told = nil
			case told == nil:
				told = &e
			}
			if e.Note == ByOrder {
				order = told
			} else {
				list = told
			}
		}
		if told = list; told == nil || order != nil && order.At < told.At {
			told = order
		}
		if told != nil && d.arrivedAt > told.At+t.parameters.DrainGrace+tolerance+t.pausedTime(a.proxy, told.At, d.arrivedAt) {
			t.report(DrainRespected, d.arrivedAt, a.id, append([]Event{*told}, a.events...),
				"sent to server %d, %s after proxy %d was told", d.server, d.arrivedAt-told.At, a.proxy)
		}
	}
}

// checkEstablished judges how a connection that stood came to its end.
func (t *checker) checkEstablished(a *attachment) {
	if a.answer == nil || a.answer.Kind != ClientReceivedUp || a.answer.Note != a.upLine {
		return
	}
	over := t.parameters.End // when the client was free of it
	for _, e := range []*Event{a.moved, a.ended, a.left} {
		if e != nil {
			over = min(over, e.At)
		}
	}
	end := a.serverEnd
	way, lasted := t.lastLinkCut(a.proxy, a.upServer, over)
	if lasted > 0 && way.to > a.answer.At {
		if lasted > maxSilence+tolerance+t.pausedTime(a.proxy, way.from, over) && way.from > a.answer.At {
			t.report(SilenceEnds, over, a.id, a.events, "its way was cut for %s", lasted)
		}
		if over < way.to+Second {
			return // how its server ended it, or it did, was not to be seen at the proxy
		}
	}
	if a.ended != nil && a.moved == nil && !a.serverWasSilent && (end == nil || end.At > a.ended.At+tolerance) &&
		!t.wasKilled(a.proxy, a.ended.At-Second, a.ended.At) {
		t.report(NoCutWithoutMove, a.ended.At, a.id, a.events, "cut off without MOVE while its server answered")
	}
	if end != nil && end.At > a.answer.At && over > end.At+maxEndDelay+tolerance+t.pausedTime(a.proxy, end.At, over) {
		t.report(EndPassedOn, over, a.id, a.events, "its server ended it, and the client was not told for %s", over-end.At)
	}
	if a.silent && over > a.silentAt+maxSilence+tolerance+t.pausedTime(a.proxy, a.silentAt, over) {
		t.report(SilenceEnds, over, a.id, a.events, "its server brought nothing back for %s", over-a.silentAt)
	}
}

// checkColdServer finds who sent a cold server more than it bears.
func (t *checker) checkColdServer(events []Event, e Event) {
	sent := []Event{}
	for _, x := range events {
		if x.Server == e.Server && x.Kind == DispatchArrived && x.At <= e.At && x.At > e.At-5*Second && len(sent) < 40 {
			sent = append(sent, x)
		}
	}
	t.report(ColdServerNotOverloaded, e.At, 0, append(sent, e), "server %d tipped over: %s", e.Server, e.Note)
}
