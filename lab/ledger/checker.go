package ledger

import (
	"cmp"
	"fmt"
	"slices"
)

// Idempotency says what happens if a request of a product runs twice.
type Idempotency uint8

const (
	Harmless Idempotency = iota // running it again changes nothing
	Stamped                     // servers recognize a repeat by its stamp and drop it
	OneShot                     // it must not run twice
)

// DedupScope is the set of servers that recognize and drop repeats of a stamped request.
type DedupScope uint8

const (
	DedupAll  DedupScope = iota // all servers
	DedupZone                   // those in the zone of the first server
	DedupCell                   // those in the cell of the first server
)

// Product holds the properties of a product that the rules depend on.
type Product struct {
	Name        string
	Idempotency Idempotency
	DedupScope  DedupScope
	DedupWindow Micros // how long servers remember a stamp; 0 for no bound
}

// ServerLocation is the zone and the cell that a server belongs to.
type ServerLocation struct{ Zone, Cell int }

// Parameters holds what the rules depend on in a run.
type Parameters struct {
	Products      []Product
	Servers       []ServerLocation
	DrainGrace    Micros // how long a proxy may still send to a server after it was told that the server drains
	MaxDispatches int    // for one attachment; 0 for no bound
	End           Micros // of the run: what was not yet due by then is no breach
}

const (
	// tolerance is what the protocol adds to each time limit that is observed on sockets.
	tolerance = 50 * Millisecond
	// maxEndDelay and maxSilence are limits of the protocol: how soon a client learns that its server has ended the connection,
	// and how long it stays at a server that sends nothing.
	maxEndDelay = Second
	maxSilence  = 7 * Second
	// maxAnswerDelay is how soon the final answer is due once no further dispatch is allowed. A round trip to another zone and the
	// proxy's event loop take some milliseconds; a proxy that withholds an answer does so for much longer.
	maxAnswerDelay = 250 * Millisecond
	// maxDispatchAfterLeave is how long after a client has left a dispatch for it may still be sent.
	maxDispatchAfterLeave = 100 * Millisecond
	// maxOpenAfterAnswer is how long a dispatch may stay open after the final answer; a proxy ends it at once.
	maxOpenAfterAnswer = Second
)

// Rule is the name of a rule in reports and figures.
type Rule string

// The rules, each with what a proxy must do to keep it.
const (
	OneAnswer               Rule = "one-final-answer"               // a request gets a final answer, and an UP is one that a server sent
	NothingAfterAnswer      Rule = "nothing-after-the-answer"       // after the final answer the client gets nothing more, and no dispatch is sent or stays open
	LateAnswer              Rule = "late-answer"                    // the final answer comes by the hard limit
	WithheldAnswer          Rule = "withheld-answer"                // the final answer comes at once when no further dispatch is allowed
	ConcurrentDispatches    Rule = "two-dispatches-out"             // at most one dispatch is open at a time
	RepeatedEffect          Rule = "effect-twice"                   // a one-shot request that may have run is neither sent again nor refused with BUSY
	OutsideDedupScope       Rule = "stamped-out-of-group-or-window" // a stamped request that may have run is sent again only within its dedup scope and window
	DrainRespected          Rule = "drain-kept"                     // once the grace is over, nothing is sent to a server that drains or is gone
	ColdServerNotOverloaded Rule = "cold-server-kept-up"            // no cold server is sent so much that it collapses
	NoCutWithoutMove        Rule = "no-cut-without-move"            // an established connection is not closed without MOVE while its server answers
	EndPassedOn             Rule = "end-passed-on"                  // the client learns in time that its server has ended the connection
	SilenceEnds             Rule = "silence-ends"                   // a client does not stay too long at a server that sends nothing
	LinesUnchanged          Rule = "lines-unchanged"                // lines are passed on unchanged, once and in time
	DispatchLimit           Rule = "dispatches-at-most"             // a request is not sent to servers more often than allowed
	NothingAfterLeave       Rule = "nothing-for-who-left"           // nothing is sent for a client that has left without an answer
)

// Rules lists all rules, in the order in which they are reported.
var Rules = []Rule{OneAnswer, NothingAfterAnswer, LateAnswer, WithheldAnswer, ConcurrentDispatches, RepeatedEffect, OutsideDedupScope, DispatchLimit, DrainRespected,
	ColdServerNotOverloaded, NoCutWithoutMove, EndPassedOn, SilenceEnds, LinesUnchanged, NothingAfterLeave}

// ByOrder is the Note of a StateAnnounced event whose state was set by an operator's order instead of the server list. The two
// are independent: a drain by order ends by an order alone, one of the list by the list alone.
const ByOrder = "by order"

// Breach is one violation of a rule, with the events that show it in the order of time.
type Breach struct {
	Rule     Rule
	At       Micros
	ID       AttachmentID // 0 if the breach belongs to no single attachment
	Reason   string
	Evidence []Event
}

// String returns the breach with its events, one a line.
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

// interval is the time from one moment to another.
type interval struct{ from, to Micros }

// checker checks one event log.
type checker struct {
	parameters    Parameters
	pauses        map[int][]interval    // by proxy: the lab paused its process, so that delays are not the proxy's
	linkCuts      map[[2]int][]interval // by proxy and zone: the lab held back all traffic
	kills         map[int][]Micros      // by proxy: the lab killed its process
	announcements map[[2]int][]Event    // by proxy and server: the states that the proxy was told
	breaches      []Breach
}

// FindBreaches returns all violations of the rules, in the order of time. The events must be in the order of time, too.
func FindBreaches(events []Event, parameters Parameters) []Breach {
	c := &checker{parameters: parameters, pauses: map[int][]interval{}, linkCuts: map[[2]int][]interval{}, kills: map[int][]Micros{}, announcements: map[[2]int][]Event{}}
	byID := map[AttachmentID][]Event{}
	for _, e := range events {
		switch e.Kind {
		case ProxyPaused:
			c.pauses[e.Proxy] = append(c.pauses[e.Proxy], interval{e.At, parameters.End})
		case ProxyResumed:
			if s := c.pauses[e.Proxy]; len(s) > 0 {
				s[len(s)-1].to = e.At
			}
		case LinkCut:
			link := [2]int{e.Proxy, int(e.Value)}
			c.linkCuts[link] = append(c.linkCuts[link], interval{e.At, parameters.End})
		case LinkRestored:
			if s := c.linkCuts[[2]int{e.Proxy, int(e.Value)}]; len(s) > 0 {
				s[len(s)-1].to = e.At
			}
		case ProxyKilled:
			c.kills[e.Proxy] = append(c.kills[e.Proxy], e.At)
		case StateAnnounced:
			proxyAndServer := [2]int{e.Proxy, e.Server}
			c.announcements[proxyAndServer] = append(c.announcements[proxyAndServer], e)
		case ColdServerCollapsed:
			c.checkColdServer(events, e)
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
		c.checkAttachment(id, byID[id])
	}
	slices.SortStableFunc(c.breaches, func(a, b Breach) int { return cmp.Compare(a.At, b.At) })
	return c.breaches
}

// report adds a breach.
func (c *checker) report(r Rule, at Micros, id AttachmentID, evidence []Event, format string, a ...any) {
	c.breaches = append(c.breaches, Breach{r, at, id, fmt.Sprintf(format, a...), evidence})
}

// pausedTime returns for how long the lab paused a proxy within an interval, plus the tolerance for each pause, in which the proxy
// catches up.
func (c *checker) pausedTime(proxy int, from, to Micros) Micros {
	var sum Micros
	for _, s := range c.pauses[proxy] {
		if overlap := min(s.to, to) - max(s.from, from); overlap > 0 {
			sum += overlap + tolerance
		}
	}
	return sum
}

// lastLinkCut returns the last interval in which a proxy was cut off from a server and which had begun by a given time, and how
// long it had lasted at that time.
func (c *checker) lastLinkCut(proxy, server int, by Micros) (found interval, lasted Micros) {
	if server < 0 || server >= len(c.parameters.Servers) {
		return interval{}, 0
	}
	for _, s := range c.linkCuts[[2]int{proxy, c.parameters.Servers[server].Zone}] {
		if s.from <= by {
			found, lasted = s, min(s.to, by)-s.from
		}
	}
	return found, lasted
}

// wasKilled reports whether the lab killed a proxy within an interval, give or take the tolerance.
func (c *checker) wasKilled(proxy int, from, to Micros) bool {
	return slices.ContainsFunc(c.kills[proxy], func(at Micros) bool { return at >= from-tolerance && at <= to+tolerance })
}

// dispatch is one attempt at a server, as the server saw it.
type dispatch struct {
	server     int
	arrivedAt  Micros
	completeAt Micros // when the whole line was received; 0 if never
	endedAt    Micros // when the server answered or the connection ended; 0 if never
	refused    bool   // answered with BUSY
	ran        bool
}

// mayHaveRun reports whether the server executed the request, or received it whole and did not refuse it.
func (d dispatch) mayHaveRun() bool { return d.ran || d.completeAt != 0 && !d.refused }

// attachment is what all sides saw of an attachment.
type attachment struct {
	id              AttachmentID
	events          []Event
	request, answer *Event
	connectedAt     Micros // when its connection came up; the time of the request if that is not known
	extra           *Event // the first thing received after the final answer
	moved, ended    *Event // a MOVE; the end of the established connection by the other side
	left            *Event // the client's own end of its connection
	carried         bool   // it was established before the run
	proxy           int
	dispatches      []dispatch
	upLine          string // the line UP as a server sent it
	upServer        int    // that server
	silentAt        Micros // when the server last fell silent
	silent          bool   // and it is still silent
	serverEnd       *Event
	proxyEnd        *Event // the proxy ended the connection to the server
	serverWasSilent bool
}

// newAttachment collects what the events of an attachment, in the order of time, say about it.
func newAttachment(id AttachmentID, events []Event) *attachment {
	a := &attachment{id: id, events: events, proxy: None, upServer: None}
	latestIndex := map[int]int{} // by server: the index of its latest dispatch
	latest := func(server int) *dispatch {
		if i, known := latestIndex[server]; known {
			return &a.dispatches[i]
		}
		return nil
	}
	// oldestOpen returns the oldest dispatch at a server that is still open, or the latest one if none is. Where two follow each
	// other at one server, their connections end in the order in which they began, though the server may see the end of the first just
	// after the beginning of the second.
	oldestOpen := func(server int) *dispatch {
		for i := range a.dispatches {
			if d := &a.dispatches[i]; d.server == server && d.endedAt == 0 {
				return d
			}
		}
		return latest(server)
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
			latestIndex[e.Server] = len(a.dispatches)
			a.dispatches = append(a.dispatches, dispatch{server: e.Server, arrivedAt: e.At})
		case ServerSilent:
			a.silent, a.silentAt, a.serverWasSilent = true, e.At, true
		case ServerResumed:
			a.silent = false
		}
		d := latest(e.Server)
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
			d = oldestOpen(e.Server)
			d.endedAt = firstNonZero(d.endedAt, e.At)
			a.proxyEnd = e
		}
	}
	return a
}

// firstNonZero returns a, or b if a is 0.
func firstNonZero(a, b Micros) Micros {
	if a != 0 {
		return a
	}
	return b
}

// checkAttachment checks all rules that concern a single attachment.
func (c *checker) checkAttachment(id AttachmentID, events []Event) {
	a := newAttachment(id, events)
	if a.request != nil {
		c.checkAnswer(a)
	}
	c.checkDispatches(a)
	c.checkDrains(a)
	c.checkEstablished(a)
	for _, e := range events {
		if e.Kind >= LineDelayed && e.Kind <= LineChanged {
			if e.Kind == LineDelayed && c.pausedTime(a.proxy, e.At-Micros(e.Value)-tolerance, e.At) > 0 {
				continue
			}
			if s, lasted := c.lastLinkCut(a.proxy, e.Server, e.At); e.Kind == LineDelayed && lasted > 0 && s.to+tolerance > e.At-Micros(e.Value) {
				continue
			}
			c.report(LinesUnchanged, e.At, id, events, "%s: %s", e.Kind, e.Note)
		}
	}
}

// checkAnswer checks the rules about the final answer.
func (c *checker) checkAnswer(a *attachment) {
	limit := Micros(a.request.Value)
	paused := c.pausedTime(a.proxy, a.request.At, limit+10*Second)
	switch {
	case a.answer == nil:
		c.checkAbandoned(a)
		if a.left == nil && limit+paused+tolerance < c.parameters.End && !c.wasKilled(a.proxy, a.request.At, limit) {
			c.report(OneAnswer, limit, a.id, a.events, "no final answer by the hard limit")
		}
		if a.left != nil && a.left.At > limit+paused+tolerance && !c.wasKilled(a.proxy, a.request.At, limit) {
			c.report(OneAnswer, limit, a.id, a.events, "no final answer by the hard limit, the client gave up")
		}
		return
	case a.answer.Kind == ClientUnanswered:
		if !c.wasKilled(a.proxy, a.connectedAt, a.answer.At) {
			c.report(OneAnswer, a.answer.At, a.id, a.events, "the connection was ended without a final answer")
		}
		return
	case a.answer.At > limit+tolerance+paused:
		c.report(LateAnswer, a.answer.At, a.id, a.events, "the final answer came %s after the hard limit", a.answer.At-limit)
	}
	if a.extra != nil {
		c.report(NothingAfterAnswer, a.extra.At, a.id, a.events, "something came after the final answer: %s", a.extra.Note)
	}
	if a.answer.Kind == ClientReceivedUp && a.answer.Note != a.upLine {
		c.report(OneAnswer, a.answer.At, a.id, a.events, "the client received %q, the servers sent %q", a.answer.Note, a.upLine)
	}
	for _, d := range a.dispatches {
		if d.arrivedAt > a.answer.At+tolerance+paused {
			c.report(NothingAfterAnswer, d.arrivedAt, a.id, a.events, "sent to server %d after the final answer", d.server)
		}
		if a.answer.Kind != ClientReceivedUp && d.arrivedAt < a.answer.At && (d.endedAt == 0 && a.answer.At+maxOpenAfterAnswer < c.parameters.End ||
			d.endedAt > a.answer.At+maxOpenAfterAnswer+paused) {
			c.report(NothingAfterAnswer, a.answer.At, a.id, a.events, "the dispatch at server %d stayed open after the final answer", d.server)
		}
	}
	if a.answer.Kind == ClientReceivedUp {
		return
	}
	if a.answer.Kind == ClientReceivedBusy && c.product(a).Idempotency == OneShot {
		for _, d := range a.dispatches {
			if d.mayHaveRun() && d.arrivedAt < a.answer.At {
				c.report(RepeatedEffect, a.answer.At, a.id, a.events, "a one-shot request that may have run at server %d was refused with BUSY", d.server)
			}
		}
	}
	if since, why := c.dispatchesExhausted(a); why != "" && a.answer.At > since+maxAnswerDelay+c.pausedTime(a.proxy, since, a.answer.At) {
		c.report(WithheldAnswer, a.answer.At, a.id, a.events, "the final answer came %s after %s", a.answer.At-since, why)
	}
}

// checkAbandoned checks that nothing was sent for a client that had left without an answer.
func (c *checker) checkAbandoned(a *attachment) {
	if a.left == nil {
		return
	}
	for _, d := range a.dispatches {
		if late := d.arrivedAt - a.left.At; late > maxDispatchAfterLeave+tolerance+c.pausedTime(a.proxy, a.left.At, d.arrivedAt) {
			c.report(NothingAfterLeave, d.arrivedAt, a.id, a.events, "sent to server %d, %s after its client had left", d.server, late)
		}
	}
}

// dispatchesExhausted returns since when no further dispatch was allowed, and why. The reason is empty where the events do not
// prove this.
func (c *checker) dispatchesExhausted(a *attachment) (Micros, string) {
	for i, d := range a.dispatches {
		if d.endedAt == 0 || d.endedAt > a.answer.At {
			continue
		}
		if c.product(a).Idempotency == OneShot && d.mayHaveRun() {
			return d.endedAt, "a one-shot request may have run"
		}
		if c.parameters.MaxDispatches > 0 && i+1 == c.parameters.MaxDispatches {
			return d.endedAt, "the last allowed dispatch had ended"
		}
	}
	return 0, ""
}

// product returns the product of an attachment's request, or the zero value if it is not known.
func (c *checker) product(a *attachment) Product {
	if a.request == nil || a.request.Product < 0 || a.request.Product >= len(c.parameters.Products) {
		return Product{}
	}
	return c.parameters.Products[a.request.Product]
}

// checkDispatches checks how many dispatches there were, whether two were open at a time, and whether a request was sent again
// that must not be.
func (c *checker) checkDispatches(a *attachment) {
	p := c.product(a)
	if c.parameters.MaxDispatches > 0 && len(a.dispatches) > c.parameters.MaxDispatches && !a.carried {
		c.report(DispatchLimit, a.dispatches[c.parameters.MaxDispatches].arrivedAt, a.id, a.events, "%d dispatches, at most %d are allowed",
			len(a.dispatches), c.parameters.MaxDispatches)
	}
	runs := 0
	for i, d := range a.dispatches {
		if d.ran {
			runs++
		}
		for _, earlier := range a.dispatches[:i] {
			if earlier.endedAt == 0 || earlier.endedAt > d.arrivedAt+tolerance {
				c.report(ConcurrentDispatches, d.arrivedAt, a.id, a.events, "open at server %d while another was open at server %d", d.server, earlier.server)
			}
			if !earlier.mayHaveRun() {
				continue
			}
			switch p.Idempotency {
			case OneShot:
				c.report(RepeatedEffect, d.arrivedAt, a.id, a.events, "a one-shot request that may have run at server %d was sent to server %d", earlier.server, d.server)
			case Stamped:
				if !c.sameDedupScope(p.DedupScope, earlier.server, d.server) {
					c.report(OutsideDedupScope, d.arrivedAt, a.id, a.events, "may have run at server %d, was sent to server %d outside the dedup scope", earlier.server, d.server)
				} else if p.DedupWindow > 0 && d.arrivedAt-earlier.arrivedAt > p.DedupWindow+tolerance {
					c.report(OutsideDedupScope, d.arrivedAt, a.id, a.events, "was sent to server %d after the dedup window", d.server)
				}
			}
		}
	}
	if runs > 1 && p.Idempotency == OneShot {
		c.report(RepeatedEffect, a.events[len(a.events)-1].At, a.id, a.events, "a one-shot request ran %d times", runs)
	}
}

// sameDedupScope reports whether two servers recognize each other's repeats. It is true for servers that are not known.
func (c *checker) sameDedupScope(scope DedupScope, a, b int) bool {
	if max(a, b) >= len(c.parameters.Servers) {
		return true
	}
	x, y := c.parameters.Servers[a], c.parameters.Servers[b]
	switch scope {
	case DedupZone:
		return x.Zone == y.Zone
	case DedupCell:
		return x.Cell == y.Cell
	}
	return true
}

// checkDrains checks that nothing was sent to a server of which the proxy had been told, longer ago than the grace, that it drains
// or is gone.
func (c *checker) checkDrains(a *attachment) {
	if a.proxy == None || a.carried {
		return
	}
	for _, d := range a.dispatches {
		var byList, byOrder, announced *Event
		for _, e := range c.announcements[[2]int{a.proxy, d.server}] {
			announced = byList
			if e.Note == ByOrder {
				announced = byOrder
			}
			switch {
			case e.At > d.arrivedAt:
			case e.Value == 0:
				announced = nil
			case announced == nil:
				announced = &e
			}
			if e.Note == ByOrder {
				byOrder = announced
			} else {
				byList = announced
			}
		}
		if announced = byList; announced == nil || byOrder != nil && byOrder.At < announced.At {
			announced = byOrder
		}
		if announced != nil && d.arrivedAt > announced.At+c.parameters.DrainGrace+tolerance+c.pausedTime(a.proxy, announced.At, d.arrivedAt) {
			c.report(DrainRespected, d.arrivedAt, a.id, append([]Event{*announced}, a.events...),
				"sent to server %d, %s after proxy %d was told not to", d.server, d.arrivedAt-announced.At, a.proxy)
		}
	}
}

// checkEstablished checks how an established connection ended.
func (c *checker) checkEstablished(a *attachment) {
	if a.answer == nil || a.answer.Kind != ClientReceivedUp || a.answer.Note != a.upLine {
		return
	}
	clientEnd := c.parameters.End // when the connection ended for the client, or a MOVE ended its use
	for _, e := range []*Event{a.moved, a.ended, a.left} {
		if e != nil {
			clientEnd = min(clientEnd, e.At)
		}
	}
	serverEnd := a.serverEnd
	linkCut, cutFor := c.lastLinkCut(a.proxy, a.upServer, clientEnd)
	if cutFor > 0 && linkCut.to > a.answer.At {
		if cutFor > maxSilence+tolerance+c.pausedTime(a.proxy, linkCut.from, clientEnd) && linkCut.from > a.answer.At {
			c.report(SilenceEnds, clientEnd, a.id, a.events, "the link to its server was cut for %s", cutFor)
		}
		if clientEnd < linkCut.to+Second {
			return // during the cut the proxy could not see how the server ended the connection
		}
	}
	if a.ended != nil && a.moved == nil && !a.serverWasSilent && (serverEnd == nil || serverEnd.At > a.ended.At+tolerance) &&
		!c.wasKilled(a.proxy, a.ended.At-Second, a.ended.At) {
		c.report(NoCutWithoutMove, a.ended.At, a.id, a.events, "cut off without MOVE while its server was answering")
	}
	if serverEnd != nil && serverEnd.At > a.answer.At && clientEnd > serverEnd.At+maxEndDelay+tolerance+c.pausedTime(a.proxy, serverEnd.At, clientEnd) {
		c.report(EndPassedOn, clientEnd, a.id, a.events, "its server ended it, and this was not passed on to the client for %s", clientEnd-serverEnd.At)
	}
	if a.silent && clientEnd > a.silentAt+maxSilence+tolerance+c.pausedTime(a.proxy, a.silentAt, clientEnd) {
		c.report(SilenceEnds, clientEnd, a.id, a.events, "its server sent nothing for %s", clientEnd-a.silentAt)
	}
}

// checkColdServer reports that a cold server collapsed. The evidence is the first 40 dispatches of the last 5 s to it.
func (c *checker) checkColdServer(events []Event, e Event) {
	dispatches := []Event{}
	for _, sent := range events {
		if sent.Server == e.Server && sent.Kind == DispatchArrived && sent.At <= e.At && sent.At > e.At-5*Second && len(dispatches) < 40 {
			dispatches = append(dispatches, sent)
		}
	}
	c.report(ColdServerNotOverloaded, e.At, 0, append(dispatches, e), "server %d collapsed while cold: %s", e.Server, e.Note)
}
