// Package logic holds all decisions of hatchproxy. A host keeps the attachments and the timers. It asks Where
// to send an attachment, what to do After an outcome, how long to Wait, with the errands due. All other calls
// tell facts. The plain values stand in types.go. An instance shares nothing with any other.
package logic

import (
	"cmp"
	"fmt"
	"math"
	"math/rand"
	"slices"
)

// Balancer is one instance of the decisions.
type Balancer struct {
	zone             ZoneID
	rng              *rand.Rand
	products         []Product   // only ever grows: an attachment keeps the row under which it began
	offered          []ProductID // to new attachments
	list             Listing
	follow           following
	cold             ColdRule
	leave            Leave
	crossing, moving float64 // the prices of a crossing and a move, in parts of an attachment's gain
	weighing         Weighing
	proxies          float64 // instances that place on the same servers, this one included

	servers         []*server // in the order of the list
	byID            map[ServerID]*server
	next            int     // rotating start of the scan, at first the own index
	out, ready      int     // dispatches out; ready servers
	weight          float64 // their mean weight
	setup, unit     pace    // time of a set-up; load of a connection, microseconds a second
	crowd           float64 // share of the known servers that are late or passed over, at most; wearing off
	home            float64 // the same of the own zone, 1 from a quarter on, wearing off more slowly
	ways            []way   // to the zones, by their numbers
	worth           float64 // mean gain of a unit of load
	told            [2]bool
	rate, placed    float64
	holders         map[ClientKey]ServerID
	own             int             // connections
	members         map[GroupID]int // those of each group
	models          map[ModelID]*kind
	loads           map[ClientKey]float64 // of clients that may come again
	stood, nextTick Micros                // when a set-up stood last; when the timer is due
	failing         []ServerID            // servers on which a set-up failed since the last that stood
	shares          []float64
	errands         []Errand
	reports, delays bool    // answers to probes tell a server's fill; late messages are told of
	fill, perSize   float64 // means of fresh reports, and of own units per size there; 0 if there are few
	asked, probes   int     // the last server asked for its fill; probes that connections have paid for
}

// kind sums up what is known of the servers of a model.
type kind struct{ paces, servers float64 }

// way sums up how the servers of a zone look from here.
type way struct{ all, bad, slow float64 }

// following is the state of the calls for the list.
type following struct {
	whole, asking, on bool // a whole list is being told; a call is out; the subscription stands
	outdated          bool // what has changed counts as told by now, and was not heard
	askAt             Micros
	misses            int
}

type server struct {
	ServerMemory  // the account of it as this instance sees it, which the next one takes over
	zone          ZoneID
	kin           *kind
	cell          CellID
	state         State
	weight        float64
	returned      Micros // when it was last seen to have come back from where it answered nothing
	misses        int    // set-ups that failed there since one stood
	listed, bound bool   // in the whole list being told; it was listed as draining since it was ready last

	standing     []*Attachment
	waiting      []*Attachment // dispatches out, oldest first
	units, start float64       // load of both, in mean connections; starting count, wearing off
	groups       map[GroupID]int

	// Its last report: load over what it can do, own units then, how far it is believed, when it came.
	fill, fillUnits, faith float64
	fillAt                 Micros
}

// pace follows a quantity's mean and mean deviation.
type pace Follow

// add weighs a new sample with 1/8 and its deviation with 1/4, as TCP's timer does.
func (p *pace) add(x float64) {
	if !p.Seen {
		p.Mean, p.Spread, p.Seen = x, x/2, true
		return
	}
	p.Spread += (math.Abs(x-p.Mean) - p.Spread) / 4
	p.Mean += (x - p.Mean) / 8
}

// New starts an instance. Each part brings its own few figures.
func New(seed int64, number, proxies int, zone ZoneID, products []Product, weighing Weighing,
	list Listing, cold ColdRule, leave Leave, crossing, moving float64) *Balancer {
	b := &Balancer{
		zone: zone, rng: rand.New(rand.NewSource(seed)),
		weighing: weighing, list: list, cold: cold, leave: leave,
		crossing: crossing, moving: moving, proxies: float64(max(proxies, 1)), next: number, weight: 1,
		byID: map[ServerID]*server{}, holders: map[ClientKey]ServerID{},
		loads: map[ClientKey]float64{}, members: map[GroupID]int{}, models: map[ModelID]*kind{},
	}
	for _, p := range products {
		p.Dispatches = cmp.Or(p.Dispatches, leave.Dispatches)
		b.products = append(b.products, p)
		b.offered = append(b.offered, ProductID(len(b.offered)))
	}
	return b
}

// Retune takes over the figures of a new instance and returns the numbers of its products here. What is known
// is kept, and so are the rules that what is in hand began with.
func (b *Balancer) Retune(fresh *Balancer) []ProductID {
	b.list, b.cold, b.leave, b.weighing = fresh.list, fresh.cold, fresh.leave, fresh.weighing
	b.crossing, b.moving = fresh.crossing, fresh.moving
	b.offered = nil
	for _, p := range fresh.products {
		i := slices.Index(b.products, p)
		if i < 0 {
			i, b.products = len(b.products), append(b.products, p)
		}
		b.offered = append(b.offered, ProductID(i))
	}
	return b.offered
}

// Effect is what a second run of a product would do.
func (b *Balancer) Effect(p ProductID) Repeat { return b.products[p].Repeat }

// Offers tells whether the table of products holds this one.
func (b *Balancer) Offers(p ProductID) bool { return int(p) < len(b.products) }

// ---- the list

// ListWhole announces a complete list: what is not named before ListDone is gone.
func (b *Balancer) ListWhole(now Micros) {
	b.follow.whole = true
	for _, s := range b.servers {
		s.listed = false
	}
}

// Listed tells one entry of the list.
func (b *Balancer) Listed(now Micros, id ServerID, zone ZoneID, model ModelID, cell CellID, state State,
	weight float64, launched Micros) {
	s := b.byID[id]
	if s == nil {
		s = &server{ServerMemory: ServerMemory{ID: id, Pace: 1}, groups: map[GroupID]int{}, faith: 1}
		b.byID[id] = s
		b.servers = append(b.servers, s)
		s.state = Gone
	}
	if b.models[model] == nil {
		b.models[model] = &kind{}
	}
	s.zone, s.kin, s.cell, s.weight, s.listed = zone, b.models[model], cell, 1, true
	if b.weighing != Unweighed && weight > 0 {
		s.weight = weight
	}
	fresh := launched > s.Launched && now-launched < b.cold.Warm
	if state == Ready && (fresh || s.state == Gone) {
		s.Tries, s.Fails, s.Shunned, s.fill, s.Chance = 0, 0, 0, 0, b.rng.Float64()
		b.startAtMean(s)
	}
	s.bound = state == Draining || s.bound && state != Ready
	s.state, s.Launched = state, launched
}

// open tells that the list does not forbid a server: where it proves nothing, who did not drain may be up.
func (b *Balancer) open(s *server) bool {
	return s.state == Ready || b.list.Unproven && s.state == Gone && !s.bound
}

// startAtMean guards against a newcomer drawing every attachment: it starts at the others' mean.
func (b *Balancer) startAtMean(new *server) {
	var units, size float64
	for _, s := range b.servers {
		if s != new && s.state == Ready {
			units, size = units+s.units+s.start, size+b.size(s)
		}
	}
	new.start = max(0, units/max(size, 0.01)*b.size(new)-new.units)
}

// ListDone closes a list or a change and notes that the call was answered.
func (b *Balancer) ListDone(now Micros, cached bool) {
	if b.follow.whole {
		for _, s := range b.servers {
			if !s.listed {
				s.state = Gone
			}
		}
	}
	b.follow.whole = false
	sum := 0.0
	b.ready = 0
	for _, s := range b.servers {
		if s.state == Ready {
			sum, b.ready = sum+s.weight, b.ready+1
		}
	}
	if b.ready > 0 {
		b.weight = sum / float64(b.ready)
	}
	if !cached && b.follow.asking {
		b.follow.asking, b.follow.on, b.follow.misses = false, true, 0
	}
}

// ListFailed tells that a call failed or the subscription broke. Proxies come back apart from each other.
func (b *Balancer) ListFailed(now Micros) {
	b.follow.asking, b.follow.on = false, false
	b.follow.misses++
	// 1 s, then 2 s, at most a third of the span to ask in: changes count 6 s after it can be reached again.
	b.follow.askAt = b.around(now, min(Second<<min(b.follow.misses-1, 1), max(tick, b.list.Within/3)))
}

// Outdated says whether the list is too old to send by: what it misses counts as told. Guards against sends
// to who drains while the list's service is silent. It hurts while that lasts: all wait, or are pushed back.
func (b *Balancer) Outdated(is bool) { b.follow.outdated = is }

func (b *Balancer) followList(now Micros) {
	if !b.list.Subscribe || b.follow.on || now < b.follow.askAt {
		return
	}
	b.follow.asking = true
	b.follow.askAt = now + max(Second, b.list.Within/3) // a call that is never answered is made again
	b.errands = append(b.errands, Errand{Task: Subscribe})
}

// ---- the pick

// size is a server's weight beside the mean, times its pace as late messages told, less across zones.
func (b *Balancer) size(s *server) float64 {
	pace := s.Pace
	if len(s.standing) == 0 && s.kin.servers > 0 {
		pace = min(pace, s.kin.paces/s.kin.servers)
	}
	return s.weight / b.weight * pace * b.near(s)
}

// near is what a crossing leaves of a server's size.
func (b *Balancer) near(s *server) float64 {
	if s.zone == b.zone {
		return 1
	}
	// At a price of a fifth others are all but closed while the own one is calm, else a third as large.
	return max(0.05, 1-(4.7-1.5*b.home)*b.crossing)
}

// held is a server's load in own mean connections: by own counts, where a report is fresh by that and what
// was placed since, as one of many sees little. It hurts where one is untrue and no own sight says so.
func (b *Balancer) held(now Micros, s *server) float64 {
	own := s.units + s.start
	if b.fill == 0 || !s.reported(now) {
		return own
	}
	told := s.fill/b.fill*b.perSize*b.size(s)/b.near(s) + s.units - s.fillUnits - own
	if b.isCold(now, s) {
		told /= 2 // one just up says empty, and draws all: the cold rule was kept by 1%, and with this by 42%
	}
	return own + byReport*s.faith*told
}

const (
	byReport  = 0.9         // with a half two thirds were gained
	reportFor = 12 * Second // how long one counts: to ask a hundred takes six; with 6 s less was gained
	asks      = 4           // a tick: with one or two half was gained, with eight the price outgrew it
	atEase    = 0.5         // a fleet filled less is asked one a tick
)

func (s *server) reported(now Micros) bool { return s.fill > 0 && now-s.fillAt < reportFor }

// unitsOf is an attachment's load in mean connections.
func (b *Balancer) unitsOf(a *Attachment) float64 {
	level := cmp.Or(a.level, b.loads[a.Key], a.Hint)
	if level <= 0 && a.Back {
		return 2 // the heaviest are moved first and tip servers; three did as well, one let them in again
	}
	if level <= 0 || !b.unit.Seen || b.unit.Mean <= 0 {
		return 1
	}
	return min(max(level/b.unit.Mean, 0.1), 10) // a hint is rough, and a mean of few is rougher
}

// groupUnits is how much fuller a server counts that holds none of the group; the cost is told nowhere.
const groupUnits = 10.0

const lateAfter = 5 * Second // how long a word on late messages holds; they come once a second

func (s *server) late(now Micros) bool { return s.Delay > 0 && now-s.DelayAt < lateAfter }

// stuck guards against a hung server drawing for seconds; a set-up takes tens of milliseconds.
func (s *server) stuck(now Micros) bool {
	return len(s.waiting) > 0 && now-s.waiting[0].sentAt > 300*Millisecond
}

func (b *Balancer) mayTake(now Micros, s *server, a *Attachment) bool {
	return b.open(s) && b.mayGo(now, s, a) && b.warmEnough(now, s, a)
}

// MaySend asks again as a dispatch's bytes are about to go out: the server may drain by now, a stamp be lost.
func (b *Balancer) MaySend(now Micros, a *Attachment) bool {
	return a.on != nil && !b.follow.outdated && b.open(a.on) && b.mayGo(now, a.on, a)
}

// ill servers are passed over while another may be had; mayTake tells what may be sent to at all.
func (s *server) ill(now Micros) bool { return s.Shunned > now || s.stuck(now) }

// far tells that the way to a server's zone is slow or loses much.
func (b *Balancer) far(s *server) bool {
	return s.zone != b.zone && int(s.zone) < len(b.ways) && b.ways[s.zone].slow > 0.5
}

// judgeWays guards against a slow or lossy way that is taken for many slow servers: all of three or more in a
// zone look bad from here, and most of the own zone do not; with most of two it was seen where none was. It
// is forgotten 2 s after the last sign. It hurts where a zone is slow by itself and still the best to be had.
func (b *Balancer) judgeWays() {
	if int(b.zone) >= len(b.ways) {
		return
	}
	own := b.ways[b.zone]
	for i := range b.ways {
		w := &b.ways[i]
		w.slow *= 0.93
		if ZoneID(i) != b.zone && w.all >= 3 && w.bad >= w.all && own.bad <= own.all/2 {
			w.slow = 1
		}
	}
}

// pick scans from the rotating start for the least load per size, the newcomer's included.
func (b *Balancer) pick(now Micros, a *Attachment) *server {
	n := len(b.servers)
	var best *server
	u, bestCost, bestIll := b.unitsOf(a), 0.0, false
	for i := range n {
		s := b.servers[(b.next+i)%n]
		// Guards against clients sent off a late server and back to it: it is most often their group's home.
		ill := s.ill(now) || s == a.last || a.Back && s.late(now) || b.far(s) || s.state != Ready
		if !b.mayTake(now, s, a) || best != nil && ill && !bestIll {
			continue
		}
		cost := b.cost(now, s, a, u)
		if best == nil || bestIll && !ill || cost < bestCost-1e-9 {
			best, bestCost, bestIll = s, cost, ill
		}
	}
	b.next = (b.next + 1) % max(n, 1)
	return best
}

// cost is how full a server would be, with up to one left to chance: the largest would draw all ties.
func (b *Balancer) cost(now Micros, s *server, a *Attachment, u float64) float64 {
	chance := b.rng.Float64()
	if s.zone != b.zone {
		chance = max(chance, 1-b.home)
	} else if s.Tries > 0.01 { // used within some 20 s
		chance /= 4 // among equals a server in use comes first; half or a sixteenth did the same
	}
	u = b.held(now, s) + max(u-1, 0) + chance
	if a.Group != 0 && s.groups[a.Group] == 0 {
		// Guards against as many homes of a group as there are proxies: all know the same order of servers.
		share := float64(b.members[a.Group]+1) / float64(b.own+10)
		step, most := homing, groupUnits
		if 10*b.own < b.ready {
			step, most = step*4, most*4 // own counts tell next to nothing, and chance spread the groups
		}
		if a.Back {
			step /= 2 // its last server was likely an early one, and is in trouble
		}
		u += min(most, groupUnits/b.proxies+step*max(0, place(a.Group, s.ID)/share-alike))
	}
	if s.late(now) {
		u++ // one more connection's worth; three, or none, did worse on fleets of all sizes
	}
	if a.Back && !b.probing() && b.own <= few && len(s.standing) == 0 && !b.isCold(now, s) {
		// Guards against clients sent off a late server and back to it by proxies that have heard nothing of it.
		// Where probes are all there is, it scattered groups and did harm.
		u += unheard
	}
	return u / b.size(s)
}

// few own connections tell next to nothing of a fleet; with more, larger fleets crowded those they know.
const few = 2

// unheard is more than most differences between servers: with 1 a quarter was gained, with 4 four fifths.
const unheard = 10.0

// homing is how many connections fuller a server counts that comes later in the group's own order by as
// many servers as the group fills. Half of it spread groups too far; twice as much filled their homes.
const homing = 2.0

// alike is the part of its share of the servers in which a group's first ones count alike. Guards against all
// proxies filling the first: of 294 it held 10 mean loads, so 3.6; with 1 groups were on half more servers.
const alike = 0.5

// place is a server's place in a group's order, evenly spread from 0 to 1.
func place(group GroupID, id ServerID) float64 {
	x := uint64(group) ^ uint64(id)*0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return float64((x^x>>31)>>11) / (1 << 53)
}

// started is when a server last began from cold, as the list says or as it was seen to.
func (s *server) started() Micros { return max(s.Launched, s.returned) }

func (b *Balancer) isCold(now Micros, s *server) bool {
	return s.started() != 0 && now-s.started() < b.cold.Warm
}

// warmEnough keeps the own part of the budget of a server that has just started.
func (b *Balancer) warmEnough(now Micros, s *server, a *Attachment) bool {
	if !b.isCold(now, s) {
		return true
	}
	age := now - s.started()
	spent := 0.0
	for len(s.SentAt) > 0 && now-s.SentAt[0] > b.cold.Window {
		s.SentAt, s.SentUnits = s.SentAt[1:], s.SentUnits[1:]
	}
	for _, units := range s.SentUnits {
		spent += units
	}
	share := b.cold.Start + (1-b.cold.Start)*float64(age)/float64(b.cold.Warm)
	if now-s.Drawn >= b.cold.Window {
		s.Chance, s.Drawn = b.rng.Float64(), now // guards against proxies that lost the draw once and for all
	}
	// Guards against hundreds of proxies with one each: below one, chance tells which has it.
	budget := bears * b.cold.Multiple * share * b.rate * float64(b.cold.Window) / float64(Second)
	return spent+b.unitsOf(a)*(1-s.Chance) <= max(budget, 1/b.proxies)
}

// bears is how much more a warm server is taken to bear than each was sent lately: it can be filled within
// its warm-up. With a half all proxies together sent a new one next to nothing; with 20 no rule broke either.
const bears = 4.0

// mayGo keeps the rule on effects: where one may have run, only a server that knows its stamp, and in time.
func (b *Balancer) mayGo(now Micros, s *server, a *Attachment) bool {
	p := &b.products[a.Product]
	return b.mayRepeat(now, a) && (a.ran == nil || p.Repeat == Harmless || p.Reach == ReachAll ||
		p.Reach == ReachZone && s.zone == a.ran.zone || p.Reach == ReachCell && s.cell == a.ran.cell)
}

// ---- the three questions

const holdFor = 50 * Millisecond // how long an attachment waits when no server may take it

// Where says where to send an attachment, or not yet, or never.
func (b *Balancer) Where(now Micros, a *Attachment) Answer {
	if a.on != nil {
		return Answer{}
	}
	late := now+5*Millisecond >= a.Limit // the last tick is kept for the final answer
	if late || a.sends >= b.products[a.Product].Dispatches || !b.mayRepeat(now, a) || b.barred(a) {
		return b.never(a)
	}
	s := b.holder(now, a)
	if s == nil && !(b.common() && b.out > 0) {
		s = b.pick(now, a)
	}
	if s == nil || b.follow.outdated {
		return Answer{Verdict: NotYet, For: min(holdFor, a.Limit-now-4*Millisecond)}
	}
	b.put(now, s, a)
	return Answer{Verdict: Send, Server: s.ID, For: b.patience(now, a)}
}

// worthOf is the gain that a unit of an attachment's load earns.
func (b *Balancer) worthOf(a *Attachment, units float64) float64 {
	p := &b.products[a.Product]
	if p.ByWork {
		return p.Gain
	}
	return p.Gain / units
}

// barred guards against a fleet that serves nobody because it has let everybody in: while many servers are
// late or ill, what earns much less for its load than those that stand is pushed back, unless borne already.
func (b *Balancer) barred(a *Attachment) bool {
	// The bar starts above half of the mean, which bars the few that bring most of the load, and rises to it.
	bar := min(1, 0.4+b.crowd) * b.worth
	return !a.MidFlow && b.crowd > crowdedFrom && b.worthOf(a, b.unitsOf(a)) < bar
}

const crowdedFrom = 0.2 // more than single servers; a tenth bars on calm days, too

// report tells on-call staff, in the log, when the plight changes.
func (b *Balancer) report() {
	told := [2]bool{b.crowd > crowdedFrom, b.common()}
	if told != b.told {
		b.told = told
		b.errands = append(b.errands, Errand{Task: Log, Words: fmt.Sprintf(
			"crowded: %t, common cause: %t", told[0], told[1])})
	}
}

// measure finds how crowded the known fleet is (two more are taken to be well) and what a unit of load earns.
func (b *Balancer) measure(now Micros) {
	for _, k := range b.models {
		*k = kind{}
	}
	for i := range b.ways {
		b.ways[i].all, b.ways[i].bad = 0, 0
	}
	var gain, units, fills, held, sizes, faith float64
	for _, s := range b.servers {
		if s.state == Ready && s.reported(now) {
			fills, held = fills+s.faith*s.fill, held+s.faith*s.units
			sizes, faith = sizes+s.faith*b.size(s), faith+s.faith
		}
		trouble := 0.0
		if s.late(now) || s.Shunned > now {
			trouble = 1
		}
		if s.state == Ready && (trouble > 0 || len(s.standing) > 0) {
			for int(s.zone) >= len(b.ways) {
				b.ways = append(b.ways, way{})
			}
			b.ways[s.zone].all, b.ways[s.zone].bad = b.ways[s.zone].all+1, b.ways[s.zone].bad+trouble
		}
		if len(s.standing) > 0 || s.Pace < 1 {
			s.kin.paces, s.kin.servers = s.kin.paces+s.Pace, s.kin.servers+1
		}
		for _, a := range s.standing {
			gain += a.units * b.worthOf(a, a.units)
			units += a.units
		}
	}
	b.fill, b.perSize = 0, 0
	if faith >= 3 { // of fewer a mean says little
		b.fill, b.perSize = fills/faith, max(held/sizes, 1) // a proxy that holds nothing goes by reports
	}
	b.judgeWays()
	var all, bad, own, ownBad float64
	for i, w := range b.ways {
		if ZoneID(i) == b.zone {
			own, ownBad = w.all, w.bad
		}
		if w.slow <= 0.5 { // what is bad about a way is no sign of a crowd
			all, bad = all+w.all, bad+w.bad
		}
	}
	b.crowd = max(min(bad-1, 1)*bad/(all+2), b.crowd*0.92) // one is no crowd, however few are known
	b.home = max(min(1, 4*ownBad/(own+2)), b.home*(0.98-dear*max(0, b.crossing-0.03)))
	if units > 0 {
		b.worth = gain / units
	}
}

// dear is how much sooner the own zone's trouble is forgotten, by what a crossing costs: a fifth each second
// at a price of a fifth, as before up to 0.03, where to forget it sooner cost up to 0.012.
const dear = 0.18

// common tells that set-ups fail for a common cause, as a slow store: the last failed on several servers.
// More make it worse, so they go out one at a time; each that stands takes one failure back.
func (b *Balancer) common() bool { return len(b.failing) >= 2 }

// holder returns packets of an open connection to the server that holds it, where known.
func (b *Balancer) holder(now Micros, a *Attachment) *server {
	if !a.MidFlow || a.sends > 0 {
		return nil
	}
	id, known := b.holders[a.Key]
	if s := b.byID[id]; known && s.state == Ready {
		return s
	}
	return nil
}

func (b *Balancer) mayRepeat(now Micros, a *Attachment) bool {
	p := &b.products[a.Product]
	return a.ran == nil || p.Repeat == Harmless || p.Repeat == Stamped && now-a.ranSince < p.Memory
}

// never is the final answer of what is sent no more: pushed back only where trying again is harmless.
func (b *Balancer) never(a *Attachment) Answer {
	p := &b.products[a.Product]
	if a.ran == nil || p.Repeat == Harmless || p.Repeat == Stamped && p.Reach == ReachAll {
		ans := Answer{Verdict: PushBack}
		if half := b.leave.Advice / 2; half > 0 {
			ans.For = half + Micros(b.rng.Int63n(int64(half)))
		}
		return ans
	}
	return Answer{Verdict: GiveUp}
}

// patience is the time-out of a dispatch. Where a set-up stood lately it leaves room for another server in
// the quoted time. Else it is all there is: the store may be slow, and another dispatch would burden it.
func (b *Balancer) patience(now Micros, a *Attachment) Micros {
	p := &b.products[a.Product]
	left := a.Limit - now
	if p.Repeat == OneShot || a.sends >= p.Dispatches || len(b.failing) > 0 || now-b.stood > stoodLately {
		return left
	}
	usual := Micros(b.setup.Mean + 4*b.setup.Spread)
	return min(left, max(usual, p.Quoted*2/5))
}

const stoodLately = Second // a store that was quick a second ago is not what holds a set-up up

// After says what to do after an outcome; over tells that the attachment has had its final answer.
func (b *Balancer) After(now Micros, a *Attachment, o Outcome, over bool) Answer {
	s, stood := a.on, a.stands
	b.take(a)
	if s == nil {
		return Answer{}
	}
	if o != OK && o != Cancelled && o != Moot {
		b.failed(now, s, a, o)
		if !stood && o != Full {
			s.misses++
		}
	}
	if stood && o == Reset {
		b.placed -= a.units // what is dropped again is no sign of what a server can bear
		if !b.delays {
			b.Delay(now, s.ID, max(s.Delay, b.quickest())) // against sending them back; hurts where ways break
		}
	}
	if !stood && !o.NeverRan() && a.ran == nil {
		a.ran, a.ranSince = s, a.sentAt
	}
	if over || stood {
		if b.leave.Through && o != Cancelled {
			delete(b.holders, a.Key)
		}
		return Answer{}
	}
	return b.Where(now, a)
}

const tick = 250 * Millisecond // the period of the one timer

// Wait says how long to wait and hands out the errands that are due.
func (b *Balancer) Wait(now Micros) (Micros, []Errand) {
	b.errands = b.errands[:0]
	if now >= b.nextTick {
		b.nextTick = now + tick
		b.wearOff(now)
		b.followList(now)
		b.measure(now)
		b.report()
		b.relieve(now)
		b.sound(now)
		b.ask()
	}
	return b.nextTick - now, b.errands
}

// wearOff lets old evidence fade: failures over some 3.5 s, a starting count over some 9 s.
func (b *Balancer) wearOff(now Micros) {
	for _, s := range b.servers {
		s.Tries, s.Fails, s.start = s.Tries*0.95, s.Fails*0.95, s.start*0.97
		if !s.late(now) {
			s.Pace = min(1, s.Pace*1.005)
		}
	}
	b.rate += (max(b.placed, 0)*float64(Second/tick)/float64(max(b.ready, 1)) - b.rate) / 40
	b.placed = 0
}

// ---- counting

func (b *Balancer) put(now Micros, s *server, a *Attachment) {
	a.on, a.last, a.sentAt, a.units, a.sends = s, s, now, b.unitsOf(a), a.sends+1
	s.units += a.units
	s.waiting = append(s.waiting, a)
	b.out, b.own = b.out+1, b.own+1
	if a.Group != 0 {
		s.groups[a.Group]++
		b.members[a.Group]++
	}
	if b.isCold(now, s) {
		s.SentAt, s.SentUnits = append(s.SentAt, now), append(s.SentUnits, a.units)
		s.Chance = b.rng.Float64()
	}
}

// take removes an attachment from the counts.
func (b *Balancer) take(a *Attachment) {
	s := a.on
	if s == nil {
		return
	}
	s.units -= a.units
	b.own--
	if a.Group != 0 {
		if b.members[a.Group]--; b.members[a.Group] == 0 {
			delete(b.members, a.Group)
		}
		if s.groups[a.Group]--; s.groups[a.Group] == 0 {
			delete(s.groups, a.Group)
		}
	}
	s.standing = slices.DeleteFunc(s.standing, func(x *Attachment) bool { return x == a })
	b.settle(s, a)
	if len(s.standing)+len(s.waiting) == 0 {
		s.units = 0
	}
	a.on, a.stands = nil, false
}

func (b *Balancer) settle(s *server, a *Attachment) {
	if i := slices.Index(s.waiting, a); i >= 0 {
		s.waiting = slices.Delete(s.waiting, i, i+1)
		b.out--
	}
}

// Stands tells that a connection is set up.
func (b *Balancer) Stands(now Micros, a *Attachment) {
	s := a.on
	if s == nil || a.stands {
		return
	}
	b.settle(s, a)
	if s.misses >= down {
		s.returned = now
		b.startAtMean(s)
	}
	s.misses = 0
	b.stand(s, a)
	b.setup.add(float64(now - a.sentAt))
	b.placed, b.stood = b.placed+a.units, now
	b.failing = b.failing[:max(len(b.failing)-1, 0)]
	s.Tries++
}

func (b *Balancer) stand(s *server, a *Attachment) {
	if b.leave.Through {
		b.holders[a.Key] = s.ID
	}
	b.probes += 2 // one each saw less; without a bound the price outgrew the use where little comes
	a.stands, s.standing = true, append(s.standing, a)
}

// Carried tells of a connection that stood through this instance when it started.
func (b *Balancer) Carried(now Micros, a *Attachment, id ServerID) {
	if s := b.byID[id]; s != nil {
		b.put(now, s, a)
		b.settle(s, a)
		b.stand(s, a)
	}
}

// Left tells that the client is gone; a dispatch still out will have its outcome.
func (b *Balancer) Left(now Micros, a *Attachment) {
	if a.stands {
		b.take(a)
	}
}

// Load tells a standing connection's load now, in microseconds of work a second.
func (b *Balancer) Load(now Micros, a *Attachment, level float64) {
	if level <= 0 || a.on == nil {
		return
	}
	a.level = level
	b.unit.add(level)
	if len(b.loads) >= manyLoads {
		clear(b.loads)
	}
	if a.Key != 0 {
		b.loads[a.Key] = level // a moved or dropped client weighs as much when it comes again
	}
	a.on.units -= a.units
	a.units = b.unitsOf(a)
	a.on.units += a.units
}

const manyLoads = 10000 // a few dozen bytes each: under a megabyte

// Delay tells how long a message takes at a server now.
func (b *Balancer) Delay(now Micros, id ServerID, took Micros) {
	s := b.byID[id]
	if s == nil {
		return
	}
	s.Falling, s.Delay, s.DelayAt = took < s.Delay, 0, now
	if took < b.quickest()/3 {
		return // a third of the quoted time is the lateness that is told of
	}
	s.Delay = took
	if b.far(s) {
		return // the way's doing: a pace wears off over a minute
	}
	// Guards against unlike servers behind equal weights and those that slow down.
	s.Pace = max(slowest, s.Pace*(1-learning[b.weighing]*min(float64(took)/float64(b.quickest()), 4)))
}

// learning is what a late word takes off the pace: a rough weight says least of a server's true speed.
var learning = [...]float64{Unweighed: 0.1, ByNominalSize: 0.1, ByRoughSize: 0.2, ByLiveShare: 0.1}

// HearDelays says whether servers tell how late messages are. While they do, nobody is probed for that.
func (b *Balancer) HearDelays(told bool) { b.delays = told }

func (b *Balancer) probing() bool { return b.leave.Probes && !b.delays }

// sound probes the servers with own connections, as often as words on late messages come, where none come.
func (b *Balancer) sound(now Micros) {
	for _, s := range b.servers {
		if b.probing() && b.probes > 0 && len(s.standing) > 0 && now >= s.ProbeAt {
			b.probes--
			s.ProbeAt = now + Second // half as often saw half as much, twice as often cost what it brought
			b.errands = append(b.errands, Errand{Task: Probe, Server: s.ID})
		}
	}
}

// HearReports says that the host passes reports on. Live weights tell the same: to ask as well cost 0.033.
func (b *Balancer) HearReports() { b.reports = b.weighing != ByLiveShare }

// ask has servers probed for their fill, in turn, as far as connections have paid for it.
func (b *Balancer) ask() {
	most := asks
	if b.fill > 0 && b.fill < atEase {
		most = 1
	}
	for range b.servers {
		if !b.reports || b.probes <= 0 || most == 0 {
			return
		}
		b.asked = (b.asked + 1) % len(b.servers)
		if s := b.servers[b.asked]; b.open(s) {
			b.probes, most = b.probes-1, most-1
			b.errands = append(b.errands, Errand{Task: Probe, Server: s.ID})
		}
	}
}

// Reported tells a server's load over what it can do, as it says. One that own sight contradicts is no more
// believed, whatever makes it untrue: room where messages are late or own ones stand, none where all is well.
func (b *Balancer) Reported(now Micros, id ServerID, fill float64) {
	s := b.byID[id]
	if s == nil || !(fill >= 0 && fill < 100) {
		return
	}
	s.faith += (1 - s.faith) / 4
	if s.late(now) && fill < 0.7 || len(s.standing) > 0 && (fill == 0 || fill > 1.1 && !s.late(now)) {
		s.faith = 0
	}
	s.fill, s.fillAt, s.fillUnits = max(fill, 0.01), now, s.units
}

// Probed tells how long a server took to answer a probe. Each quickest answer beyond the first, and a quarter
// for jitter, stands for the quoted time. Of two the quicker counts where the way is long or one was paused.
func (b *Balancer) Probed(now Micros, id ServerID, took Micros) {
	if s := b.byID[id]; s != nil && took > 0 && b.probing() {
		s.Quick = min(cmp.Or(s.Quick, took), took)
		seen := took
		if s.zone != b.zone || took > pauses*s.Quick {
			seen = min(took, s.Probed)
		}
		b.Delay(now, id, b.quickest()*max(0, seen-s.Quick*5/4)/s.Quick)
		s.Probed = took
	}
}

const pauses = 8 // times the quickest: full servers took four or five, paused ones ten and more

const slowest = 0.1 // the worst pace that on-call staff have seen a server fall to

// quickest is the shortest quoted time of a message.
func (b *Balancer) quickest() Micros {
	q := Micros(math.MaxInt64)
	for _, id := range b.offered {
		q = min(q, cmp.Or(b.products[id].Message, q))
	}
	return q
}

// Recall tells what is known, for the instance that takes this one's place.
func (b *Balancer) Recall() Memory {
	m := Memory{Setup: Follow(b.setup), Unit: Follow(b.unit), Crowd: b.crowd, Home: b.home, Rate: b.rate,
		Stood: b.stood, Failing: slices.Clone(b.failing)}
	for _, s := range b.servers {
		known := s.ServerMemory
		known.SentAt, known.SentUnits = slices.Clone(s.SentAt), slices.Clone(s.SentUnits)
		m.Servers = append(m.Servers, known)
	}
	return m
}

// Remember takes over what the instance before knew of servers that are still the same.
func (b *Balancer) Remember(m Memory) {
	b.setup, b.unit = pace(m.Setup), pace(m.Unit)
	b.crowd, b.home, b.rate, b.stood, b.failing = m.Crowd, m.Home, m.Rate, m.Stood, m.Failing
	for _, k := range m.Servers {
		s := b.byID[k.ID]
		if s == nil || s.Launched != k.Launched {
			continue
		}
		n := min(len(k.SentAt), len(k.SentUnits)) // what the one before has spent comes first: it is older
		k.SentAt, k.SentUnits = append(k.SentAt[:n:n], s.SentAt...), append(k.SentUnits[:n:n], s.SentUnits...)
		k.Tries, k.Fails = s.Tries+k.Tries, s.Fails+k.Fails
		k.Pace, k.Shunned = min(s.Pace, k.Pace), max(s.Shunned, k.Shunned)
		s.ServerMemory = k
	}
}

// ---- judging

// down is how many set-ups in a row say that a server was gone; what stands after them finds it cold. Guards
// against all proxies filling one that has just come back, also where the list says nothing of it.
const down = 2

// failed books a failure and passes over a server whose share of failures is far above the median.
func (b *Balancer) failed(now Micros, s *server, a *Attachment, o Outcome) {
	s.Tries, s.Fails = s.Tries+1, s.Fails+1
	if (o == TimedOut || o == Failure) && s.Shunned <= now && !slices.Contains(b.failing, s.ID) {
		b.failing = append(b.failing, s.ID)
	}
	if o == Reset || o == Full {
		// Guards against a storm: what a full server drops comes again at once. A second lets some work off.
		s.Shunned = max(s.Shunned, b.around(now, Second))
	}
	// One failure in two tries is out of line where half the fleet has none.
	if s.share() > b.median()+0.3 {
		s.Shunned = b.around(now, 2*Second) // doubling it each time made no difference
	}
}

// around is a time that lies a wait ahead, half as much more or less, so that proxies do not act as one.
func (b *Balancer) around(now, wait Micros) Micros {
	return now + wait/2 + Micros(b.rng.Int63n(int64(wait)))
}

func (s *server) share() float64 { return s.Fails / (s.Tries + 1) }

func (b *Balancer) median() float64 {
	b.shares = b.shares[:0]
	for _, s := range b.servers {
		if s.state == Ready {
			b.shares = append(b.shares, s.share())
		}
	}
	if len(b.shares) == 0 {
		return 0
	}
	slices.Sort(b.shares)
	return b.shares[len(b.shares)/2]
}

// ---- moves

// relieve moves connections off late servers; in a crowd only from twice that on, for there is less room. A
// falling delay needs no more. Across zones they move home while that is calm, if a crossing costs more.
func (b *Balancer) relieve(now Micros) {
	from := b.quickest() / 3
	if b.crowd > crowdedFrom {
		from = b.quickest() * 2 / 3
	}
	for _, s := range b.servers {
		if !b.open(s) {
			// Guards against clients cut off when their server stops: within some 2 s, and spread.
			for _, a := range s.standing[:(len(s.standing)+3)/4] {
				b.errands = append(b.errands, Errand{Task: Move, Attachment: a.ID})
			}
			continue
		}
		var a *Attachment
		rate := 0.0
		switch {
		case len(s.standing) > 0 && b.far(s) && b.home < 0.5:
			a, rate = s.standing[0], 0.5*float64(len(s.standing))
		case s.late(now) && !s.Falling && s.Delay >= from:
			// 8% a second of the own load where messages are just late, 32% where they take four times as
			// long: half of it left slow servers full, half as much again swung the load of small fleets.
			a, rate = s.heaviest(), 0.08*min(float64(s.Delay)/float64(from), 4)*s.units
		case len(s.standing) > 0 && s.zone != b.zone && b.crossing > 1.5*b.moving && b.home < 0.25:
			a, rate = s.standing[0], 0.2*float64(len(s.standing)) // 10% a second left half of the gain
		}
		if a != nil && b.rng.Float64() < rate*float64(tick)/float64(Second) {
			b.errands = append(b.errands, Errand{Task: Move, Attachment: a.ID})
		}
	}
}

// heaviest is the one whose move helps most. The last of its group takes the group's cost along.
func (s *server) heaviest() *Attachment {
	var best *Attachment
	most := 0.0
	for _, a := range s.standing {
		weight := a.units
		if a.Group != 0 && s.groups[a.Group] == 1 {
			weight++
		}
		if weight > most {
			best, most = a, weight
		}
	}
	return best
}
