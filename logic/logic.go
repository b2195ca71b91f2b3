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
	zone                      ZoneID
	rng                       *rand.Rand
	products                  []Product   // only ever grows: an attachment keeps the row under which it began
	activeProducts            []ProductID // to new attachments
	listConfig                ListConfig
	subscription              subscription
	coldStart                 ColdStart
	permissions               Permissions
	crossZonePrice, movePrice float64 // the prices of a crossing and a move, in parts of an attachment's gain
	weightKind                WeightKind
	proxyCount                float64 // instances that place on the same servers, this one included

	servers                           []*server // in the order of the list
	serversByID                       map[ServerID]*server
	scanStart                         int        // rotating start of the scan, at first the own index
	pendingDispatches, readyServers   int        // dispatches out; ready servers
	meanWeight                        float64    // their mean weight
	setupTime, connectionLoad         estimator  // time of a set-up; load of a connection, microseconds a second
	unhealthyShare                    float64    // share of the known servers that are late or passed over, at most; wearing off
	ownZoneTrouble                    float64    // the same of the own zone, 1 from a quarter on, wearing off more slowly
	zonePaths                         []zonePath // to the zones, by their numbers
	meanGainPerUnit                   float64    // mean gain of a unit of load
	loggedConditions                  [2]bool
	placementRate, placedUnits        float64
	serverByClient                    map[ClientKey]ServerID
	ownConnections                    int             // connections
	groupMembers                      map[GroupID]int // those of each group
	models                            map[ModelID]*modelStats
	clientLoads                       map[ClientKey]float64 // of clients that may come again
	lastEstablished, nextTickAt       Micros                // when a set-up stood last; when the timer is due
	failingServers                    []ServerID            // servers on which a set-up failed since the last that stood
	failureShares                     []float64
	jobs                              []Job
	probesUtilization, delaysReported bool    // answers to probes tell a server's fill; late messages are told of
	meanUtilization, unitsPerCapacity float64 // means of fresh reports, and of own units per size there; 0 if there are few
	lastProbedIndex, probeCredit      int     // the last server asked for its fill; probes that connections have paid for
}

// modelStats sums up what is known of the servers of a model.
type modelStats struct{ speedSum, serverCount float64 }

// zonePath sums up how the servers of a zone look from here.
type zonePath struct{ servers, unhealthy, slowness float64 }

// subscription is the state of the calls for the list.
type subscription struct {
	readingFullList, requestPending, active bool // a whole list is being told; a call is out; the subscription stands
	outdated                                bool // what has changed counts as told by now, and was not heard
	nextRequestAt                           Micros
	failures                                int
}

type server struct {
	ServerHistory       // the account of it as this instance sees it, which the next one takes over
	zone                ZoneID
	model               *modelStats
	cell                CellID
	state               State
	weight              float64
	recoveredAt         Micros // when it was last seen to have come back from where it answered nothing
	setupFailures       int    // set-ups that failed there since one stood
	listed, wasDraining bool   // in the whole list being told; it was listed as draining since it was ready last

	connections           []*Attachment
	pending               []*Attachment // dispatches out, oldest first
	loadUnits, startUnits float64       // load of both, in mean connections; starting count, wearing off
	groupMembers          map[GroupID]int

	// Its last report: load over what it can do, own units then, how far it is believed, when it came.
	utilization, utilizationUnits, utilizationTrust float64
	utilizationAt                                   Micros
}

// estimator follows a quantity's mean and mean deviation.
type estimator Estimate

// add weighs a new sample with 1/8 and its deviation with 1/4, as TCP's timer does.
func (p *estimator) add(x float64) {
	if !p.HasSamples {
		p.Mean, p.Deviation, p.HasSamples = x, x/2, true
		return
	}
	p.Deviation += (math.Abs(x-p.Mean) - p.Deviation) / 4
	p.Mean += (x - p.Mean) / 8
}

// New starts an instance. Each part brings its own few figures.
func New(seed int64, number, proxies int, zone ZoneID, products []Product, weighing WeightKind,
	list ListConfig, cold ColdStart, leave Permissions, crossing, moving float64) *Balancer {
	b := &Balancer{
		zone: zone, rng: rand.New(rand.NewSource(seed)),
		weightKind: weighing, listConfig: list, coldStart: cold, permissions: leave,
		crossZonePrice: crossing, movePrice: moving, proxyCount: float64(max(proxies, 1)), scanStart: number, meanWeight: 1,
		serversByID: map[ServerID]*server{}, serverByClient: map[ClientKey]ServerID{},
		clientLoads: map[ClientKey]float64{}, groupMembers: map[GroupID]int{}, models: map[ModelID]*modelStats{},
	}
	for _, p := range products {
		p.MaxDispatches = cmp.Or(p.MaxDispatches, leave.MaxDispatches)
		b.products = append(b.products, p)
		b.activeProducts = append(b.activeProducts, ProductID(len(b.activeProducts)))
	}
	return b
}

// Reconfigure takes over the figures of a new instance and returns the numbers of its products here. What is known
// is kept, and so are the rules that what is in hand began with.
func (b *Balancer) Reconfigure(fresh *Balancer) []ProductID {
	b.listConfig, b.coldStart, b.permissions, b.weightKind = fresh.listConfig, fresh.coldStart, fresh.permissions, fresh.weightKind
	b.crossZonePrice, b.movePrice = fresh.crossZonePrice, fresh.movePrice
	b.activeProducts = nil
	for _, p := range fresh.products {
		i := slices.Index(b.products, p)
		if i < 0 {
			i, b.products = len(b.products), append(b.products, p)
		}
		b.activeProducts = append(b.activeProducts, ProductID(i))
	}
	return b.activeProducts
}

// Idempotency is what a second run of a product would do.
func (b *Balancer) Idempotency(p ProductID) Idempotency { return b.products[p].Idempotency }

// HasProduct tells whether the table of products holds this one.
func (b *Balancer) HasProduct(p ProductID) bool { return int(p) < len(b.products) }

// ---- the list

// BeginFullList announces a complete list: what is not named before ListDone is gone.
func (b *Balancer) BeginFullList(now Micros) {
	b.subscription.readingFullList = true
	for _, s := range b.servers {
		s.listed = false
	}
}

// UpdateServer tells one entry of the list.
func (b *Balancer) UpdateServer(now Micros, id ServerID, zone ZoneID, model ModelID, cell CellID, state State,
	weight float64, launched Micros) {
	s := b.serversByID[id]
	if s == nil {
		s = &server{ServerHistory: ServerHistory{ID: id, SpeedFactor: 1}, groupMembers: map[GroupID]int{}, utilizationTrust: 1}
		b.serversByID[id] = s
		b.servers = append(b.servers, s)
		s.state = Gone
	}
	if b.models[model] == nil {
		b.models[model] = &modelStats{}
	}
	s.zone, s.model, s.cell, s.weight, s.listed = zone, b.models[model], cell, 1, true
	if b.weightKind != WeightNone && weight > 0 {
		s.weight = weight
	}
	fresh := launched > s.LaunchedAt && now-launched < b.coldStart.WarmupTime
	if state == Ready && (fresh || s.state == Gone) {
		s.Attempts, s.Failures, s.AvoidUntil, s.utilization, s.ColdDraw = 0, 0, 0, 0, b.rng.Float64()
		b.startAtMeanLoad(s)
	}
	s.wasDraining = state == Draining || s.wasDraining && state != Ready
	s.state, s.LaunchedAt = state, launched
}

// isAllowedByList tells that the list does not forbid a server: where it proves nothing, who did not drain may be up.
func (b *Balancer) isAllowedByList(s *server) bool {
	return s.state == Ready || b.listConfig.GoneMayBeUp && s.state == Gone && !s.wasDraining
}

// startAtMeanLoad guards against a newcomer drawing every attachment: it starts at the others' mean.
func (b *Balancer) startAtMeanLoad(new *server) {
	var units, size float64
	for _, s := range b.servers {
		if s != new && s.state == Ready {
			units, size = units+s.loadUnits+s.startUnits, size+b.capacity(s)
		}
	}
	new.startUnits = max(0, units/max(size, 0.01)*b.capacity(new)-new.loadUnits)
}

// EndList closes a list or a change and notes that the call was answered.
func (b *Balancer) EndList(now Micros, cached bool) {
	if b.subscription.readingFullList {
		for _, s := range b.servers {
			if !s.listed {
				s.state = Gone
			}
		}
	}
	b.subscription.readingFullList = false
	sum := 0.0
	b.readyServers = 0
	for _, s := range b.servers {
		if s.state == Ready {
			sum, b.readyServers = sum+s.weight, b.readyServers+1
		}
	}
	if b.readyServers > 0 {
		b.meanWeight = sum / float64(b.readyServers)
	}
	if !cached && b.subscription.requestPending {
		b.subscription.requestPending, b.subscription.active, b.subscription.failures = false, true, 0
	}
}

// ListRequestFailed tells that a call failed or the subscription broke. Proxies come back apart from each other.
func (b *Balancer) ListRequestFailed(now Micros) {
	b.subscription.requestPending, b.subscription.active = false, false
	b.subscription.failures++
	// 1 s, then 2 s, at most a third of the span to ask in: changes count 6 s after it can be reached again.
	b.subscription.nextRequestAt = b.jitteredTime(now, min(Second<<min(b.subscription.failures-1, 1), max(tickInterval, b.listConfig.AskWithin/3)))
}

// SetListOutdated says whether the list is too old to send by: what it misses counts as told. Guards against sends
// to who drains while the list's service is silent. It hurts while that lasts: all wait, or are pushed back.
func (b *Balancer) SetListOutdated(is bool) { b.subscription.outdated = is }

func (b *Balancer) renewSubscription(now Micros) {
	if !b.listConfig.Subscribe || b.subscription.active || now < b.subscription.nextRequestAt {
		return
	}
	b.subscription.requestPending = true
	b.subscription.nextRequestAt = now + max(Second, b.listConfig.AskWithin/3) // a call that is never answered is made again
	b.jobs = append(b.jobs, Job{Kind: Subscribe})
}

// ---- the pick

// capacity is a server's weight beside the mean, times its pace as late messages told, less across zones.
func (b *Balancer) capacity(s *server) float64 {
	pace := s.SpeedFactor
	if len(s.connections) == 0 && s.model.serverCount > 0 {
		pace = min(pace, s.model.speedSum/s.model.serverCount)
	}
	return s.weight / b.meanWeight * pace * b.zoneFactor(s)
}

// zoneFactor is what a crossing leaves of a server's size.
func (b *Balancer) zoneFactor(s *server) float64 {
	if s.zone == b.zone {
		return 1
	}
	// At a price of a fifth others are all but closed while the own one is calm, else a third as large.
	return max(0.05, 1-(4.7-1.5*b.ownZoneTrouble)*b.crossZonePrice)
}

// estimatedLoad is a server's load in own mean connections: by own counts, where a report is fresh by that and what
// was placed since, as one of many sees little. It hurts where one is untrue and no own sight says so.
func (b *Balancer) estimatedLoad(now Micros, s *server) float64 {
	own := s.loadUnits + s.startUnits
	if b.meanUtilization == 0 || !s.hasFreshReport(now) {
		return own
	}
	told := s.utilization/b.meanUtilization*b.unitsPerCapacity*b.capacity(s)/b.zoneFactor(s) + s.loadUnits - s.utilizationUnits - own
	if b.isCold(now, s) {
		told /= 2 // one just up says empty, and draws all: the cold rule was kept by 1%, and with this by 42%
	}
	return own + reportWeight*s.utilizationTrust*told
}

const (
	reportWeight     = 0.9         // with a half two thirds were gained
	reportLifetime   = 12 * Second // how long one counts: to ask a hundred takes six; with 6 s less was gained
	maxProbesPerTick = 4           // a tick: with one or two half was gained, with eight the price outgrew it
	lowUtilization   = 0.5         // a fleet filled less is asked one a tick
)

func (s *server) hasFreshReport(now Micros) bool {
	return s.utilization > 0 && now-s.utilizationAt < reportLifetime
}

// loadUnitsOf is an attachment's load in mean connections.
func (b *Balancer) loadUnitsOf(a *Attachment) float64 {
	level := cmp.Or(a.reportedLoad, b.clientLoads[a.Key], a.LoadHint)
	if level <= 0 && a.Returning {
		return 2 // the heaviest are moved first and tip servers; three did as well, one let them in again
	}
	if level <= 0 || !b.connectionLoad.HasSamples || b.connectionLoad.Mean <= 0 {
		return 1
	}
	return min(max(level/b.connectionLoad.Mean, 0.1), 10) // a hint is rough, and a mean of few is rougher
}

// newGroupUnits is how much fuller a server counts that holds none of the group; the cost is told nowhere.
const newGroupUnits = 10.0

const delayLifetime = 5 * Second // how long a word on late messages holds; they come once a second

func (s *server) isLate(now Micros) bool {
	return s.MessageDelay > 0 && now-s.MessageDelayAt < delayLifetime
}

// isStuck guards against a hung server drawing for seconds; a set-up takes tens of milliseconds.
func (s *server) isStuck(now Micros) bool {
	return len(s.pending) > 0 && now-s.pending[0].sentAt > 300*Millisecond
}

func (b *Balancer) mayReceive(now Micros, s *server, a *Attachment) bool {
	return b.isAllowedByList(s) && b.mayRunOn(now, s, a) && b.fitsColdBudget(now, s, a)
}

// MaySend asks again as a dispatch's bytes are about to go out: the server may drain by now, a stamp be lost.
func (b *Balancer) MaySend(now Micros, a *Attachment) bool {
	return a.server != nil && !b.subscription.outdated && b.isAllowedByList(a.server) && b.mayRunOn(now, a.server, a)
}

// isAvoided servers are passed over while another may be had; mayTake tells what may be sent to at all.
func (s *server) isAvoided(now Micros) bool { return s.AvoidUntil > now || s.isStuck(now) }

// hasSlowPath tells that the way to a server's zone is slow or loses much.
func (b *Balancer) hasSlowPath(s *server) bool {
	return s.zone != b.zone && int(s.zone) < len(b.zonePaths) && b.zonePaths[s.zone].slowness > 0.5
}

// detectSlowPaths guards against a slow or lossy way that is taken for many slow servers: all of three or more in a
// zone look bad from here, and most of the own zone do not; with most of two it was seen where none was. It
// is forgotten 2 s after the last sign. It hurts where a zone is slow by itself and still the best to be had.
func (b *Balancer) detectSlowPaths() {
	if int(b.zone) >= len(b.zonePaths) {
		return
	}
	own := b.zonePaths[b.zone]
	for i := range b.zonePaths {
		w := &b.zonePaths[i]
		w.slowness *= 0.93
		if ZoneID(i) != b.zone && w.servers >= 3 && w.unhealthy >= w.servers && own.unhealthy <= own.servers/2 {
			w.slowness = 1
		}
	}
}

// pickServer scans from the rotating start for the least load per size, the newcomer's included.
func (b *Balancer) pickServer(now Micros, a *Attachment) *server {
	n := len(b.servers)
	var best *server
	u, bestCost, bestIll := b.loadUnitsOf(a), 0.0, false
	for i := range n {
		s := b.servers[(b.scanStart+i)%n]
		// Guards against clients sent off a late server and back to it: it is most often their group's home.
		ill := s.isAvoided(now) || s == a.lastServer || a.Returning && s.isLate(now) || b.hasSlowPath(s) || s.state != Ready
		if !b.mayReceive(now, s, a) || best != nil && ill && !bestIll {
			continue
		}
		cost := b.placementCost(now, s, a, u)
		if best == nil || bestIll && !ill || cost < bestCost-1e-9 {
			best, bestCost, bestIll = s, cost, ill
		}
	}
	b.scanStart = (b.scanStart + 1) % max(n, 1)
	return best
}

// placementCost is how full a server would be, with up to one left to chance: the largest would draw all ties.
func (b *Balancer) placementCost(now Micros, s *server, a *Attachment, u float64) float64 {
	chance := b.rng.Float64()
	if s.zone != b.zone {
		chance = max(chance, 1-b.ownZoneTrouble)
	} else if s.Attempts > 0.01 { // used within some 20 s
		chance /= 4 // among equals a server in use comes first; half or a sixteenth did the same
	}
	u = b.estimatedLoad(now, s) + max(u-1, 0) + chance
	if a.Group != 0 && s.groupMembers[a.Group] == 0 {
		// Guards against as many homes of a group as there are proxies: all know the same order of servers.
		share := float64(b.groupMembers[a.Group]+1) / float64(b.ownConnections+10)
		step, most := groupRankUnits, newGroupUnits
		if 10*b.ownConnections < b.readyServers {
			step, most = step*4, most*4 // own counts tell next to nothing, and chance spread the groups
		}
		if a.Returning {
			step /= 2 // its last server was likely an early one, and is in trouble
		}
		u += min(most, newGroupUnits/b.proxyCount+step*max(0, groupRank(a.Group, s.ID)/share-groupHomeShare))
	}
	if s.isLate(now) {
		u++ // one more connection's worth; three, or none, did worse on fleets of all sizes
	}
	if a.Returning && !b.probesForDelays() && b.ownConnections <= fewConnections && len(s.connections) == 0 && !b.isCold(now, s) {
		// Guards against clients sent off a late server and back to it by proxies that have heard nothing of it.
		// Where probes are all there is, it scattered groups and did harm.
		u += unknownServerUnits
	}
	return u / b.capacity(s)
}

// fewConnections own connections tell next to nothing of a fleet; with more, larger fleets crowded those they know.
const fewConnections = 2

// unknownServerUnits is more than most differences between servers: with 1 a quarter was gained, with 4 four fifths.
const unknownServerUnits = 10.0

// groupRankUnits is how many connections fuller a server counts that comes later in the group's own order by as
// many servers as the group fills. Half of it spread groups too far; twice as much filled their homes.
const groupRankUnits = 2.0

// groupHomeShare is the part of its share of the servers in which a group's first ones count alike. Guards against all
// proxies filling the first: of 294 it held 10 mean loads, so 3.6; with 1 groups were on half more servers.
const groupHomeShare = 0.5

// groupRank is a server's place in a group's order, evenly spread from 0 to 1.
func groupRank(group GroupID, id ServerID) float64 {
	x := uint64(group) ^ uint64(id)*0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return float64((x^x>>31)>>11) / (1 << 53)
}

// startedAt is when a server last began from cold, as the list says or as it was seen to.
func (s *server) startedAt() Micros { return max(s.LaunchedAt, s.recoveredAt) }

func (b *Balancer) isCold(now Micros, s *server) bool {
	return s.startedAt() != 0 && now-s.startedAt() < b.coldStart.WarmupTime
}

// fitsColdBudget keeps the own part of the budget of a server that has just started.
func (b *Balancer) fitsColdBudget(now Micros, s *server, a *Attachment) bool {
	if !b.isCold(now, s) {
		return true
	}
	age := now - s.startedAt()
	spent := 0.0
	for len(s.ColdSendTimes) > 0 && now-s.ColdSendTimes[0] > b.coldStart.OverloadWindow {
		s.ColdSendTimes, s.ColdSendUnits = s.ColdSendTimes[1:], s.ColdSendUnits[1:]
	}
	for _, units := range s.ColdSendUnits {
		spent += units
	}
	share := b.coldStart.InitialShare + (1-b.coldStart.InitialShare)*float64(age)/float64(b.coldStart.WarmupTime)
	if now-s.ColdDrawAt >= b.coldStart.OverloadWindow {
		s.ColdDraw, s.ColdDrawAt = b.rng.Float64(), now // guards against proxies that lost the draw once and for all
	}
	// Guards against hundreds of proxies with one each: below one, chance tells which has it.
	budget := warmCapacityFactor * b.coldStart.OverloadMultiple * share * b.placementRate * float64(b.coldStart.OverloadWindow) / float64(Second)
	return spent+b.loadUnitsOf(a)*(1-s.ColdDraw) <= max(budget, 1/b.proxyCount)
}

// warmCapacityFactor is how much more a warm server is taken to bear than each was sent lately: it can be filled within
// its warm-up. With a half all proxies together sent a new one next to nothing; with 20 no rule broke either.
const warmCapacityFactor = 4.0

// mayRunOn keeps the rule on effects: where one may have run, only a server that knows its stamp, and in time.
func (b *Balancer) mayRunOn(now Micros, s *server, a *Attachment) bool {
	p := &b.products[a.Product]
	return b.mayRepeat(now, a) && (a.mayHaveRunOn == nil || p.Idempotency == Harmless || p.DedupScope == DedupAll ||
		p.DedupScope == DedupZone && s.zone == a.mayHaveRunOn.zone || p.DedupScope == DedupCell && s.cell == a.mayHaveRunOn.cell)
}

// ---- the three questions

const holdTime = 50 * Millisecond // how long an attachment waits when no server may take it

// ChooseServer says where to send an attachment, or not yet, or never.
func (b *Balancer) ChooseServer(now Micros, a *Attachment) Decision {
	if a.server != nil {
		return Decision{}
	}
	late := now+5*Millisecond >= a.HardLimit // the last tick is kept for the final answer
	if late || a.dispatches >= b.products[a.Product].MaxDispatches || !b.mayRepeat(now, a) || b.shouldShed(a) {
		return b.finalDecision(a)
	}
	s := b.connectionHolder(now, a)
	if s == nil && !(b.hasCommonCause() && b.pendingDispatches > 0) {
		s = b.pickServer(now, a)
	}
	if s == nil || b.subscription.outdated {
		return Decision{Action: Hold, Duration: min(holdTime, a.HardLimit-now-4*Millisecond)}
	}
	b.assign(now, s, a)
	return Decision{Action: Send, Server: s.ID, Duration: b.dispatchTimeout(now, a)}
}

// gainPerUnit is the gain that a unit of an attachment's load earns.
func (b *Balancer) gainPerUnit(a *Attachment, units float64) float64 {
	p := &b.products[a.Product]
	if p.GainPerLoad {
		return p.Gain
	}
	return p.Gain / units
}

// shouldShed guards against a fleet that serves nobody because it has let everybody in: while many servers are
// late or ill, what earns much less for its load than those that stand is pushed back, unless borne already.
func (b *Balancer) shouldShed(a *Attachment) bool {
	// The bar starts above half of the mean, which bars the few that bring most of the load, and rises to it.
	bar := min(1, 0.4+b.unhealthyShare) * b.meanGainPerUnit
	return !a.MidFlow && b.unhealthyShare > overloadThreshold && b.gainPerUnit(a, b.loadUnitsOf(a)) < bar
}

const overloadThreshold = 0.2 // more than single servers; a tenth bars on calm days, too

// logConditions tells on-call staff, in the log, when the plight changes.
func (b *Balancer) logConditions() {
	told := [2]bool{b.unhealthyShare > overloadThreshold, b.hasCommonCause()}
	if told != b.loggedConditions {
		b.loggedConditions = told
		b.jobs = append(b.jobs, Job{Kind: Log, Message: fmt.Sprintf(
			"crowded: %t, common cause: %t", told[0], told[1])})
	}
}

// measureFleet finds how crowded the known fleet is (two more are taken to be well) and what a unit of load earns.
func (b *Balancer) measureFleet(now Micros) {
	for _, k := range b.models {
		*k = modelStats{}
	}
	for i := range b.zonePaths {
		b.zonePaths[i].servers, b.zonePaths[i].unhealthy = 0, 0
	}
	var gain, units, fills, held, sizes, faith float64
	for _, s := range b.servers {
		if s.state == Ready && s.hasFreshReport(now) {
			fills, held = fills+s.utilizationTrust*s.utilization, held+s.utilizationTrust*s.loadUnits
			sizes, faith = sizes+s.utilizationTrust*b.capacity(s), faith+s.utilizationTrust
		}
		trouble := 0.0
		if s.isLate(now) || s.AvoidUntil > now {
			trouble = 1
		}
		if s.state == Ready && (trouble > 0 || len(s.connections) > 0) {
			for int(s.zone) >= len(b.zonePaths) {
				b.zonePaths = append(b.zonePaths, zonePath{})
			}
			b.zonePaths[s.zone].servers, b.zonePaths[s.zone].unhealthy = b.zonePaths[s.zone].servers+1, b.zonePaths[s.zone].unhealthy+trouble
		}
		if len(s.connections) > 0 || s.SpeedFactor < 1 {
			s.model.speedSum, s.model.serverCount = s.model.speedSum+s.SpeedFactor, s.model.serverCount+1
		}
		for _, a := range s.connections {
			gain += a.loadUnits * b.gainPerUnit(a, a.loadUnits)
			units += a.loadUnits
		}
	}
	b.meanUtilization, b.unitsPerCapacity = 0, 0
	if faith >= 3 { // of fewer a mean says little
		b.meanUtilization, b.unitsPerCapacity = fills/faith, max(held/sizes, 1) // a proxy that holds nothing goes by reports
	}
	b.detectSlowPaths()
	var all, bad, own, ownBad float64
	for i, w := range b.zonePaths {
		if ZoneID(i) == b.zone {
			own, ownBad = w.servers, w.unhealthy
		}
		if w.slowness <= 0.5 { // what is bad about a way is no sign of a crowd
			all, bad = all+w.servers, bad+w.unhealthy
		}
	}
	b.unhealthyShare = max(min(bad-1, 1)*bad/(all+2), b.unhealthyShare*0.92) // one is no crowd, however few are known
	b.ownZoneTrouble = max(min(1, 4*ownBad/(own+2)), b.ownZoneTrouble*(0.98-crossZoneDecay*max(0, b.crossZonePrice-0.03)))
	if units > 0 {
		b.meanGainPerUnit = gain / units
	}
}

// crossZoneDecay is how much sooner the own zone's trouble is forgotten, by what a crossing costs: a fifth each second
// at a price of a fifth, as before up to 0.03, where to forget it sooner cost up to 0.012.
const crossZoneDecay = 0.18

// hasCommonCause tells that set-ups fail for a common cause, as a slow store: the last failed on several servers.
// More make it worse, so they go out one at a time; each that stands takes one failure back.
func (b *Balancer) hasCommonCause() bool { return len(b.failingServers) >= 2 }

// connectionHolder returns packets of an open connection to the server that holds it, where known.
func (b *Balancer) connectionHolder(now Micros, a *Attachment) *server {
	if !a.MidFlow || a.dispatches > 0 {
		return nil
	}
	id, known := b.serverByClient[a.Key]
	if s := b.serversByID[id]; known && s.state == Ready {
		return s
	}
	return nil
}

func (b *Balancer) mayRepeat(now Micros, a *Attachment) bool {
	p := &b.products[a.Product]
	return a.mayHaveRunOn == nil || p.Idempotency == Harmless || p.Idempotency == Stamped && now-a.mayHaveRunSince < p.DedupWindow
}

// finalDecision is the final answer of what is sent no more: pushed back only where trying again is harmless.
func (b *Balancer) finalDecision(a *Attachment) Decision {
	p := &b.products[a.Product]
	if a.mayHaveRunOn == nil || p.Idempotency == Harmless || p.Idempotency == Stamped && p.DedupScope == DedupAll {
		ans := Decision{Action: PushBack}
		if half := b.permissions.MaxRetryAfter / 2; half > 0 {
			ans.Duration = half + Micros(b.rng.Int63n(int64(half)))
		}
		return ans
	}
	return Decision{Action: GiveUp}
}

// dispatchTimeout is the time-out of a dispatch. Where a set-up stood lately it leaves room for another server in
// the quoted time. Else it is all there is: the store may be slow, and another dispatch would burden it.
func (b *Balancer) dispatchTimeout(now Micros, a *Attachment) Micros {
	p := &b.products[a.Product]
	left := a.HardLimit - now
	if p.Idempotency == OneShot || a.dispatches >= p.MaxDispatches || len(b.failingServers) > 0 || now-b.lastEstablished > recentSetup {
		return left
	}
	usual := Micros(b.setupTime.Mean + 4*b.setupTime.Deviation)
	return min(left, max(usual, p.QuotedTime*2/5))
}

const recentSetup = Second // a store that was quick a second ago is not what holds a set-up up

// RecordOutcome says what to do after an outcome; over tells that the attachment has had its final answer.
func (b *Balancer) RecordOutcome(now Micros, a *Attachment, o Outcome, over bool) Decision {
	s, stood := a.server, a.established
	b.release(a)
	if s == nil {
		return Decision{}
	}
	if o != OK && o != Cancelled && o != NotSent {
		b.recordFailure(now, s, a, o)
		if !stood && o != Full {
			s.setupFailures++
		}
	}
	if stood && o == Reset {
		b.placedUnits -= a.loadUnits // what is dropped again is no sign of what a server can bear
		if !b.delaysReported {
			b.RecordDelay(now, s.ID, max(s.MessageDelay, b.shortestMessageTime())) // against sending them back; hurts where ways break
		}
	}
	if !stood && !o.NeverRan() && a.mayHaveRunOn == nil {
		a.mayHaveRunOn, a.mayHaveRunSince = s, a.sentAt
	}
	if over || stood {
		if b.permissions.PassThrough && o != Cancelled {
			delete(b.serverByClient, a.Key)
		}
		return Decision{}
	}
	return b.ChooseServer(now, a)
}

const tickInterval = 250 * Millisecond // the period of the one timer

// Tick says how long to wait and hands out the errands that are due.
func (b *Balancer) Tick(now Micros) (Micros, []Job) {
	b.jobs = b.jobs[:0]
	if now >= b.nextTickAt {
		b.nextTickAt = now + tickInterval
		b.decayStatistics(now)
		b.renewSubscription(now)
		b.measureFleet(now)
		b.logConditions()
		b.moveConnections(now)
		b.probeDelays(now)
		b.probeUtilization()
	}
	return b.nextTickAt - now, b.jobs
}

// decayStatistics lets old evidence fade: failures over some 3.5 s, a starting count over some 9 s.
func (b *Balancer) decayStatistics(now Micros) {
	for _, s := range b.servers {
		s.Attempts, s.Failures, s.startUnits = s.Attempts*0.95, s.Failures*0.95, s.startUnits*0.97
		if !s.isLate(now) {
			s.SpeedFactor = min(1, s.SpeedFactor*1.005)
		}
	}
	b.placementRate += (max(b.placedUnits, 0)*float64(Second/tickInterval)/float64(max(b.readyServers, 1)) - b.placementRate) / 40
	b.placedUnits = 0
}

// ---- counting

func (b *Balancer) assign(now Micros, s *server, a *Attachment) {
	a.server, a.lastServer, a.sentAt, a.loadUnits, a.dispatches = s, s, now, b.loadUnitsOf(a), a.dispatches+1
	s.loadUnits += a.loadUnits
	s.pending = append(s.pending, a)
	b.pendingDispatches, b.ownConnections = b.pendingDispatches+1, b.ownConnections+1
	if a.Group != 0 {
		s.groupMembers[a.Group]++
		b.groupMembers[a.Group]++
	}
	if b.isCold(now, s) {
		s.ColdSendTimes, s.ColdSendUnits = append(s.ColdSendTimes, now), append(s.ColdSendUnits, a.loadUnits)
		s.ColdDraw = b.rng.Float64()
	}
}

// release removes an attachment from the counts.
func (b *Balancer) release(a *Attachment) {
	s := a.server
	if s == nil {
		return
	}
	s.loadUnits -= a.loadUnits
	b.ownConnections--
	if a.Group != 0 {
		if b.groupMembers[a.Group]--; b.groupMembers[a.Group] == 0 {
			delete(b.groupMembers, a.Group)
		}
		if s.groupMembers[a.Group]--; s.groupMembers[a.Group] == 0 {
			delete(s.groupMembers, a.Group)
		}
	}
	s.connections = slices.DeleteFunc(s.connections, func(x *Attachment) bool { return x == a })
	b.removePending(s, a)
	if len(s.connections)+len(s.pending) == 0 {
		s.loadUnits = 0
	}
	a.server, a.established = nil, false
}

func (b *Balancer) removePending(s *server, a *Attachment) {
	if i := slices.Index(s.pending, a); i >= 0 {
		s.pending = slices.Delete(s.pending, i, i+1)
		b.pendingDispatches--
	}
}

// RecordEstablished tells that a connection is set up.
func (b *Balancer) RecordEstablished(now Micros, a *Attachment) {
	s := a.server
	if s == nil || a.established {
		return
	}
	b.removePending(s, a)
	if s.setupFailures >= downAfterFailures {
		s.recoveredAt = now
		b.startAtMeanLoad(s)
	}
	s.setupFailures = 0
	b.establish(s, a)
	b.setupTime.add(float64(now - a.sentAt))
	b.placedUnits, b.lastEstablished = b.placedUnits+a.loadUnits, now
	b.failingServers = b.failingServers[:max(len(b.failingServers)-1, 0)]
	s.Attempts++
}

func (b *Balancer) establish(s *server, a *Attachment) {
	if b.permissions.PassThrough {
		b.serverByClient[a.Key] = s.ID
	}
	b.probeCredit += 2 // one each saw less; without a bound the price outgrew the use where little comes
	a.established, s.connections = true, append(s.connections, a)
}

// RecordRestored tells of a connection that stood through this instance when it started.
func (b *Balancer) RecordRestored(now Micros, a *Attachment, id ServerID) {
	if s := b.serversByID[id]; s != nil {
		b.assign(now, s, a)
		b.removePending(s, a)
		b.establish(s, a)
	}
}

// RecordClientLeft tells that the client is gone; a dispatch still out will have its outcome.
func (b *Balancer) RecordClientLeft(now Micros, a *Attachment) {
	if a.established {
		b.release(a)
	}
}

// RecordLoad tells a standing connection's load now, in microseconds of work a second.
func (b *Balancer) RecordLoad(now Micros, a *Attachment, level float64) {
	if level <= 0 || a.server == nil {
		return
	}
	a.reportedLoad = level
	b.connectionLoad.add(level)
	if len(b.clientLoads) >= maxClientLoads {
		clear(b.clientLoads)
	}
	if a.Key != 0 {
		b.clientLoads[a.Key] = level // a moved or dropped client weighs as much when it comes again
	}
	a.server.loadUnits -= a.loadUnits
	a.loadUnits = b.loadUnitsOf(a)
	a.server.loadUnits += a.loadUnits
}

const maxClientLoads = 10000 // a few dozen bytes each: under a megabyte

// RecordDelay tells how long a message takes at a server now.
func (b *Balancer) RecordDelay(now Micros, id ServerID, took Micros) {
	s := b.serversByID[id]
	if s == nil {
		return
	}
	s.DelayFalling, s.MessageDelay, s.MessageDelayAt = took < s.MessageDelay, 0, now
	if took < b.shortestMessageTime()/3 {
		return // a third of the quoted time is the lateness that is told of
	}
	s.MessageDelay = took
	if b.hasSlowPath(s) {
		return // the way's doing: a pace wears off over a minute
	}
	// Guards against unlike servers behind equal weights and those that slow down.
	s.SpeedFactor = max(minSpeedFactor, s.SpeedFactor*(1-speedPenalty[b.weightKind]*min(float64(took)/float64(b.shortestMessageTime()), 4)))
}

// speedPenalty is what a late word takes off the pace: a rough weight says least of a server's true speed.
var speedPenalty = [...]float64{WeightNone: 0.1, WeightNominal: 0.1, WeightRough: 0.2, WeightLive: 0.1}

// SetDelaysReported says whether servers tell how late messages are. While they do, nobody is probed for that.
func (b *Balancer) SetDelaysReported(told bool) { b.delaysReported = told }

func (b *Balancer) probesForDelays() bool { return b.permissions.AllowProbes && !b.delaysReported }

// probeDelays probes the servers with own connections, as often as words on late messages come, where none come.
func (b *Balancer) probeDelays(now Micros) {
	for _, s := range b.servers {
		if b.probesForDelays() && b.probeCredit > 0 && len(s.connections) > 0 && now >= s.NextProbeAt {
			b.probeCredit--
			s.NextProbeAt = now + Second // half as often saw half as much, twice as often cost what it brought
			b.jobs = append(b.jobs, Job{Kind: Probe, Server: s.ID})
		}
	}
}

// EnableUtilizationProbes says that the host passes reports on. Live weights tell the same: to ask as well cost 0.033.
func (b *Balancer) EnableUtilizationProbes() { b.probesUtilization = b.weightKind != WeightLive }

// probeUtilization has servers probed for their fill, in turn, as far as connections have paid for it.
func (b *Balancer) probeUtilization() {
	most := maxProbesPerTick
	if b.meanUtilization > 0 && b.meanUtilization < lowUtilization {
		most = 1
	}
	for range b.servers {
		if !b.probesUtilization || b.probeCredit <= 0 || most == 0 {
			return
		}
		b.lastProbedIndex = (b.lastProbedIndex + 1) % len(b.servers)
		if s := b.servers[b.lastProbedIndex]; b.isAllowedByList(s) {
			b.probeCredit, most = b.probeCredit-1, most-1
			b.jobs = append(b.jobs, Job{Kind: Probe, Server: s.ID})
		}
	}
}

// RecordUtilization tells a server's load over what it can do, as it says. One that own sight contradicts is no more
// believed, whatever makes it untrue: room where messages are late or own ones stand, none where all is well.
func (b *Balancer) RecordUtilization(now Micros, id ServerID, fill float64) {
	s := b.serversByID[id]
	if s == nil || !(fill >= 0 && fill < 100) {
		return
	}
	s.utilizationTrust += (1 - s.utilizationTrust) / 4
	if s.isLate(now) && fill < 0.7 || len(s.connections) > 0 && (fill == 0 || fill > 1.1 && !s.isLate(now)) {
		s.utilizationTrust = 0
	}
	s.utilization, s.utilizationAt, s.utilizationUnits = max(fill, 0.01), now, s.loadUnits
}

// RecordProbe tells how long a server took to answer a probe. Each quickest answer beyond the first, and a quarter
// for jitter, stands for the quoted time. Of two the quicker counts where the way is long or one was paused.
func (b *Balancer) RecordProbe(now Micros, id ServerID, took Micros) {
	if s := b.serversByID[id]; s != nil && took > 0 && b.probesForDelays() {
		s.FastestProbe = min(cmp.Or(s.FastestProbe, took), took)
		seen := took
		if s.zone != b.zone || took > pauseFactor*s.FastestProbe {
			seen = min(took, s.LastProbe)
		}
		b.RecordDelay(now, id, b.shortestMessageTime()*max(0, seen-s.FastestProbe*5/4)/s.FastestProbe)
		s.LastProbe = took
	}
}

const pauseFactor = 8 // times the quickest: full servers took four or five, paused ones ten and more

const minSpeedFactor = 0.1 // the worst pace that on-call staff have seen a server fall to

// shortestMessageTime is the shortest quoted time of a message.
func (b *Balancer) shortestMessageTime() Micros {
	q := Micros(math.MaxInt64)
	for _, id := range b.activeProducts {
		q = min(q, cmp.Or(b.products[id].QuotedMessageTime, q))
	}
	return q
}

// Snapshot tells what is known, for the instance that takes this one's place.
func (b *Balancer) Snapshot() Snapshot {
	m := Snapshot{SetupTime: Estimate(b.setupTime), ConnectionLoad: Estimate(b.connectionLoad), UnhealthyShare: b.unhealthyShare, OwnZoneTrouble: b.ownZoneTrouble, PlacementRate: b.placementRate,
		LastEstablished: b.lastEstablished, FailingServers: slices.Clone(b.failingServers)}
	for _, s := range b.servers {
		known := s.ServerHistory
		known.ColdSendTimes, known.ColdSendUnits = slices.Clone(s.ColdSendTimes), slices.Clone(s.ColdSendUnits)
		m.Servers = append(m.Servers, known)
	}
	return m
}

// Restore takes over what the instance before knew of servers that are still the same.
func (b *Balancer) Restore(m Snapshot) {
	b.setupTime, b.connectionLoad = estimator(m.SetupTime), estimator(m.ConnectionLoad)
	b.unhealthyShare, b.ownZoneTrouble, b.placementRate, b.lastEstablished, b.failingServers = m.UnhealthyShare, m.OwnZoneTrouble, m.PlacementRate, m.LastEstablished, m.FailingServers
	for _, k := range m.Servers {
		s := b.serversByID[k.ID]
		if s == nil || s.LaunchedAt != k.LaunchedAt {
			continue
		}
		n := min(len(k.ColdSendTimes), len(k.ColdSendUnits)) // what the one before has spent comes first: it is older
		k.ColdSendTimes, k.ColdSendUnits = append(k.ColdSendTimes[:n:n], s.ColdSendTimes...), append(k.ColdSendUnits[:n:n], s.ColdSendUnits...)
		k.Attempts, k.Failures = s.Attempts+k.Attempts, s.Failures+k.Failures
		k.SpeedFactor, k.AvoidUntil = min(s.SpeedFactor, k.SpeedFactor), max(s.AvoidUntil, k.AvoidUntil)
		s.ServerHistory = k
	}
}

// ---- judging

// downAfterFailures is how many set-ups in a row say that a server was gone; what stands after them finds it cold. Guards
// against all proxies filling one that has just come back, also where the list says nothing of it.
const downAfterFailures = 2

// recordFailure books a failure and passes over a server whose share of failures is far above the median.
func (b *Balancer) recordFailure(now Micros, s *server, a *Attachment, o Outcome) {
	s.Attempts, s.Failures = s.Attempts+1, s.Failures+1
	if (o == TimedOut || o == Failure) && s.AvoidUntil <= now && !slices.Contains(b.failingServers, s.ID) {
		b.failingServers = append(b.failingServers, s.ID)
	}
	if o == Reset || o == Full {
		// Guards against a storm: what a full server drops comes again at once. A second lets some work off.
		s.AvoidUntil = max(s.AvoidUntil, b.jitteredTime(now, Second))
	}
	// One failure in two tries is out of line where half the fleet has none.
	if s.failureShare() > b.medianFailureShare()+0.3 {
		s.AvoidUntil = b.jitteredTime(now, 2*Second) // doubling it each time made no difference
	}
}

// jitteredTime is a time that lies a wait ahead, half as much more or less, so that proxies do not act as one.
func (b *Balancer) jitteredTime(now, wait Micros) Micros {
	return now + wait/2 + Micros(b.rng.Int63n(int64(wait)))
}

func (s *server) failureShare() float64 { return s.Failures / (s.Attempts + 1) }

func (b *Balancer) medianFailureShare() float64 {
	b.failureShares = b.failureShares[:0]
	for _, s := range b.servers {
		if s.state == Ready {
			b.failureShares = append(b.failureShares, s.failureShare())
		}
	}
	if len(b.failureShares) == 0 {
		return 0
	}
	slices.Sort(b.failureShares)
	return b.failureShares[len(b.failureShares)/2]
}

// ---- moves

// moveConnections moves connections off late servers; in a crowd only from twice that on, for there is less room. A
// falling delay needs no more. Across zones they move home while that is calm, if a crossing costs more.
func (b *Balancer) moveConnections(now Micros) {
	from := b.shortestMessageTime() / 3
	if b.unhealthyShare > overloadThreshold {
		from = b.shortestMessageTime() * 2 / 3
	}
	for _, s := range b.servers {
		if !b.isAllowedByList(s) {
			// Guards against clients cut off when their server stops: within some 2 s, and spread.
			for _, a := range s.connections[:(len(s.connections)+3)/4] {
				b.jobs = append(b.jobs, Job{Kind: Move, Attachment: a.ID})
			}
			continue
		}
		var a *Attachment
		rate := 0.0
		switch {
		case len(s.connections) > 0 && b.hasSlowPath(s) && b.ownZoneTrouble < 0.5:
			a, rate = s.connections[0], 0.5*float64(len(s.connections))
		case s.isLate(now) && !s.DelayFalling && s.MessageDelay >= from:
			// 8% a second of the own load where messages are just late, 32% where they take four times as
			// long: half of it left slow servers full, half as much again swung the load of small fleets.
			a, rate = s.heaviestConnection(), 0.08*min(float64(s.MessageDelay)/float64(from), 4)*s.loadUnits
		case len(s.connections) > 0 && s.zone != b.zone && b.crossZonePrice > 1.5*b.movePrice && b.ownZoneTrouble < 0.25:
			a, rate = s.connections[0], 0.2*float64(len(s.connections)) // 10% a second left half of the gain
		}
		if a != nil && b.rng.Float64() < rate*float64(tickInterval)/float64(Second) {
			b.jobs = append(b.jobs, Job{Kind: Move, Attachment: a.ID})
		}
	}
}

// heaviestConnection is the one whose move helps most. The last of its group takes the group's cost along.
func (s *server) heaviestConnection() *Attachment {
	var best *Attachment
	most := 0.0
	for _, a := range s.connections {
		weight := a.loadUnits
		if a.Group != 0 && s.groupMembers[a.Group] == 1 {
			weight++
		}
		if weight > most {
			best, most = a, weight
		}
	}
	return best
}
