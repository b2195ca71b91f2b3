// Package logic makes the load-balancing decisions of hatchproxy: which server an attachment is sent to, how long a dispatch
// may take, when it is repeated, pushed back or given up, and which connections are moved. An attachment is a client's
// connection with its request, a dispatch one attempt to set it up on a server.
//
// A host keeps the attachments and the timers. It calls ChooseServer for a new attachment, RecordOutcome when a dispatch or
// a connection ends, and Tick for the periodic work. The other methods report events, change settings or answer
// questions. The package reads no clock and does no I/O; an instance shares no state with any other and is not safe for
// concurrent use. The plain types are in types.go.
//
// Loads are counted in units: one unit is the load of a mean connection.
package logic

import (
	"cmp"
	"fmt"
	"math"
	"math/rand"
	"slices"
)

// Balancer makes the decisions of one proxy.
type Balancer struct {
	zone                      ZoneID
	rng                       *rand.Rand
	products                  []Product   // rows are only ever added: an attachment keeps the row that it began with
	activeProducts            []ProductID // rows that new attachments may use
	listConfig                ListConfig
	subscription              subscription
	coldStart                 ColdStart
	permissions               Permissions
	crossZonePrice, movePrice float64 // prices of sending across zones and of a move, as fractions of an attachment's gain
	weightKind                WeightKind
	proxyCount                float64 // proxies that place on the same servers, this one included

	servers                           []*server // in the order of the list
	serversByID                       map[ServerID]*server
	scanStart                         int                    // where the next scan of the servers starts; at first the proxy's index
	pendingDispatches, readyServers   int                    // dispatches without an outcome; servers in state Ready
	meanWeight                        float64                // of the ready servers
	setupTime, connectionLoad         estimator              // microseconds; microseconds of work per second
	unhealthyShare                    float64                // decaying maximum share of known servers that are late or avoided
	ownZoneTrouble                    float64                // the same for the own zone, 1 from a quarter on; decays more slowly
	zonePaths                         []zonePath             // by ZoneID
	meanGainPerUnit                   float64                // mean gain of a load unit on established connections
	loggedConditions                  [2]bool                // as last logged by logConditions
	placementRate, placedUnits        float64                // load units set up per second and ready server, smoothed; since the last tick
	serverByClient                    map[ClientKey]ServerID // where clients' connections are open; filled in pass-through mode only
	ownConnections                    int                    // attachments on servers, pending ones included
	groupMembers                      map[GroupID]int        // those of each group
	models                            map[ModelID]*modelStats
	clientLoads                       map[ClientKey]float64 // last reported loads, for clients that come back
	lastEstablished, nextTickAt       Micros                // time of the last successful set-up; of the next periodic work
	failingServers                    []ServerID            // servers where set-ups failed lately; each successful set-up anywhere removes one
	failureShares                     []float64             // buffer of medianFailureShare
	jobs                              []Job                 // buffer of Tick
	probesUtilization, delaysReported bool                  // servers are probed for their utilization; they report delays
	meanUtilization, unitsPerCapacity float64               // means over fresh reports, the latter of own units; 0 if reports are few
	lastProbedIndex, probeCredit      int                   // last server probed for utilization; probes that connections have paid for
}

// modelStats sums up the known servers of a model.
type modelStats struct{ speedSum, serverCount float64 }

// zonePath sums up the known servers of a zone as seen from this proxy. Slowness is 1 when the path to the zone has just
// been found slow, and decays.
type zonePath struct{ servers, unhealthy, slowness float64 }

// subscription is the state of the requests for the server list.
type subscription struct {
	readingFullList, requestPending, active bool // between BeginFullList and EndList; not yet answered; established
	outdated                                bool // too old to send by: changes that were not received count as delivered
	nextRequestAt                           Micros
	failures                                int // failed requests since the last answer
}

// server is one server with the load that this proxy has put on it.
type server struct {
	ServerHistory       // handed to the next instance
	zone                ZoneID
	model               *modelStats
	cell                CellID
	state               State
	weight              float64
	recoveredAt         Micros // when it was last seen to answer again after it had been down
	setupFailures       int    // failed set-ups since the last successful one
	listed, wasDraining bool   // seen in the full list that is being read; listed as draining since it was last ready

	connections           []*Attachment // established
	pending               []*Attachment // dispatches without an outcome, oldest first
	loadUnits, startUnits float64       // load of both; extra load counted after a start, decaying
	groupMembers          map[GroupID]int

	// The last utilization report: load over capacity, own load units at that time, trust from 0 to 1, time of the report.
	utilization, utilizationUnits, utilizationTrust float64
	utilizationAt                                   Micros
}

// estimator tracks the smoothed mean and mean deviation of a quantity.
type estimator Estimate

// add gives a new sample a weight of 1/8 and its deviation one of 1/4, as TCP's retransmission timer does.
func (e *estimator) add(x float64) {
	if !e.HasSamples {
		e.Mean, e.Deviation, e.HasSamples = x, x/2, true
		return
	}
	e.Deviation += (math.Abs(x-e.Mean) - e.Deviation) / 4
	e.Mean += (x - e.Mean) / 8
}

// New returns a Balancer for a proxy in the given zone. proxies is the number of proxies that place on the same servers, this
// one included, and proxyIndex its index among them. Equal seeds give equal random decisions. products is the product table.
// The prices are fractions of an attachment's gain.
func New(seed int64, proxyIndex, proxies int, zone ZoneID, products []Product, weightKind WeightKind,
	listConfig ListConfig, coldStart ColdStart, permissions Permissions, crossZonePrice, movePrice float64) *Balancer {
	b := &Balancer{
		zone: zone, rng: rand.New(rand.NewSource(seed)),
		weightKind: weightKind, listConfig: listConfig, coldStart: coldStart, permissions: permissions,
		crossZonePrice: crossZonePrice, movePrice: movePrice, proxyCount: float64(max(proxies, 1)), scanStart: proxyIndex, meanWeight: 1,
		serversByID: map[ServerID]*server{}, serverByClient: map[ClientKey]ServerID{},
		clientLoads: map[ClientKey]float64{}, groupMembers: map[GroupID]int{}, models: map[ModelID]*modelStats{},
	}
	for _, p := range products {
		p.MaxDispatches = cmp.Or(p.MaxDispatches, permissions.MaxDispatches)
		b.products = append(b.products, p)
		b.activeProducts = append(b.activeProducts, ProductID(len(b.activeProducts)))
	}
	return b
}

// Reconfigure adopts the configuration of fresh and returns the rows that its products have here. What b has learned is
// kept, and attachments in progress keep the rules that they began with.
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

// Idempotency returns what happens if a request of product p runs twice.
func (b *Balancer) Idempotency(p ProductID) Idempotency { return b.products[p].Idempotency }

// HasProduct reports whether the product table has row p.
func (b *Balancer) HasProduct(p ProductID) bool { return int(p) < len(b.products) }

// ---- server list

// BeginFullList begins a complete list: servers that are not named before EndList are gone.
func (b *Balancer) BeginFullList(now Micros) {
	b.subscription.readingFullList = true
	for _, s := range b.servers {
		s.listed = false
	}
}

// UpdateServer applies one entry of the server list. A weight of 0 or less counts as 1. launchedAt is when the server
// started, 0 if unknown.
func (b *Balancer) UpdateServer(now Micros, id ServerID, zone ZoneID, model ModelID, cell CellID, state State,
	weight float64, launchedAt Micros) {
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
	justLaunched := launchedAt > s.LaunchedAt && now-launchedAt < b.coldStart.WarmupTime
	if state == Ready && (justLaunched || s.state == Gone) {
		s.Attempts, s.Failures, s.AvoidUntil, s.utilization, s.ColdDraw = 0, 0, 0, 0, b.rng.Float64()
		b.startAtMeanLoad(s)
	}
	s.wasDraining = state == Draining || s.wasDraining && state != Ready
	s.state, s.LaunchedAt = state, launchedAt
}

// isAllowedByList reports whether the list permits sending to s. Where "gone" proves nothing, a gone server that was not
// draining before may still be up.
func (b *Balancer) isAllowedByList(s *server) bool {
	return s.state == Ready || b.listConfig.GoneMayBeUp && s.state == Gone && !s.wasDraining
}

// startAtMeanLoad counts a server that joins as if it had the mean load of the others. Otherwise it would attract every
// attachment.
func (b *Balancer) startAtMeanLoad(added *server) {
	var units, capacity float64
	for _, s := range b.servers {
		if s != added && s.state == Ready {
			units, capacity = units+s.loadUnits+s.startUnits, capacity+b.capacity(s)
		}
	}
	added.startUnits = max(0, units/max(capacity, 0.01)*b.capacity(added)-added.loadUnits)
}

// EndList ends a full list or an update of it, and recomputes what depends on the set of ready servers. Unless the list was
// cached, it also answers the pending request and establishes the subscription.
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

// ListRequestFailed records that a request for the list failed or that the subscription broke, and schedules the next
// request. The jitter keeps proxies from asking again at the same moment.
func (b *Balancer) ListRequestFailed(now Micros) {
	b.subscription.requestPending, b.subscription.active = false, false
	b.subscription.failures++
	// Waits 1 s, then 2 s, but at most a third of AskWithin. The list must have been requested by the time that changes count
	// as delivered, which is 6 s after the service is reachable again.
	b.subscription.nextRequestAt = b.jitteredTime(now, min(Second<<min(b.subscription.failures-1, 1), max(tickInterval, b.listConfig.AskWithin/3)))
}

// SetListOutdated says whether the list is too old to send by, since changes that it misses count as delivered. It prevents
// sends to draining servers while the list service is silent. The price is that all attachments are held, or pushed back,
// while it is set.
func (b *Balancer) SetListOutdated(outdated bool) { b.subscription.outdated = outdated }

// renewSubscription requests the list when that is due and the subscription is not established.
func (b *Balancer) renewSubscription(now Micros) {
	if !b.listConfig.Subscribe || b.subscription.active || now < b.subscription.nextRequestAt {
		return
	}
	b.subscription.requestPending = true
	b.subscription.nextRequestAt = now + max(Second, b.listConfig.AskWithin/3) // repeats a request that is never answered
	b.jobs = append(b.jobs, Job{Kind: Subscribe})
}

// ---- choice of a server

// capacity returns the relative capacity of s: its weight over the mean one, times its speed factor, less in other zones.
// Without own connections there, it is taken to be no faster than the mean of its model.
func (b *Balancer) capacity(s *server) float64 {
	speed := s.SpeedFactor
	if len(s.connections) == 0 && s.model.serverCount > 0 {
		speed = min(speed, s.model.speedSum/s.model.serverCount)
	}
	return s.weight / b.meanWeight * speed * b.zoneFactor(s)
}

// zoneFactor returns the factor by which the cross-zone price reduces the capacity of s.
func (b *Balancer) zoneFactor(s *server) float64 {
	if s.zone == b.zone {
		return 1
	}
	// At a price of 0.2, other zones are nearly closed while the own one is healthy, and a third as large while it is not.
	return max(0.05, 1-(4.7-1.5*b.ownZoneTrouble)*b.crossZonePrice)
}

// estimatedLoad returns the load of s in units. Own counts alone say little where many proxies place on the same servers, so
// a fresh utilization report corrects them, together with what was placed since. It does harm if a report is wrong and
// nothing that this proxy sees contradicts it.
func (b *Balancer) estimatedLoad(now Micros, s *server) float64 {
	ownLoad := s.loadUnits + s.startUnits
	if b.meanUtilization == 0 || !s.hasFreshReport(now) {
		return ownLoad
	}
	excess := s.utilization/b.meanUtilization*b.unitsPerCapacity*b.capacity(s)/b.zoneFactor(s) + s.loadUnits - s.utilizationUnits - ownLoad
	if b.isCold(now, s) {
		// A server that has just started reports that it is empty: counted in full, this all but breaks its cold-start limit.
		excess /= 2
	}
	return ownLoad + reportWeight*s.utilizationTrust*excess
}

const (
	reportWeight     = 0.9         // weight of a report against own counts; a much lower one loses a third of its benefit
	reportLifetime   = 12 * Second // how long a report counts; probing a hundred servers takes 6 s, and a lifetime of 6 s gains less
	maxProbesPerTick = 4           // for utilization; fewer lose half of the benefit, many more cost more than they bring
	lowUtilization   = 0.5         // below this mean utilization, one server is probed per tick
)

// hasFreshReport reports whether the last utilization report still counts.
func (s *server) hasFreshReport(now Micros) bool {
	return s.utilization > 0 && now-s.utilizationAt < reportLifetime
}

// loadUnitsOf estimates the load of a in units: from its last report, its client's last report or its hint, in this order.
func (b *Balancer) loadUnitsOf(a *Attachment) float64 {
	load := cmp.Or(a.reportedLoad, b.clientLoads[a.Key], a.LoadHint)
	if load <= 0 && a.Returning {
		return 2 // the heaviest clients are moved first and overload servers: counted as 1 they would be admitted again
	}
	if load <= 0 || !b.connectionLoad.HasSamples || b.connectionLoad.Mean <= 0 {
		return 1
	}
	return min(max(load/b.connectionLoad.Mean, 0.1), 10) // hints are rough, and a mean of few connections is rougher
}

// newGroupUnits limits the load added to a server that has no member of the attachment's group; the limit is four times
// that while own counts say almost nothing. What a further group really costs a server is not configured.
const newGroupUnits = 10.0

const delayLifetime = 5 * Second // how long a reported delay counts; reports come once a second

// isLate reports whether the last reported delay was too long and still counts.
func (s *server) isLate(now Micros) bool {
	return s.MessageDelay > 0 && now-s.MessageDelayAt < delayLifetime
}

// isStuck reports whether the oldest pending set-up takes too long; normal ones take tens of milliseconds. It keeps a hung
// server from attracting attachments for seconds.
func (s *server) isStuck(now Micros) bool {
	return len(s.pending) > 0 && now-s.pending[0].sentAt > 300*Millisecond
}

// mayReceive reports whether a may be sent to s at all: by the list, the rules on repeats and the cold-start budget.
func (b *Balancer) mayReceive(now Micros, s *server, a *Attachment) bool {
	return b.isAllowedByList(s) && b.mayRunOn(now, s, a) && b.fitsColdBudget(now, s, a)
}

// MaySend reports, just before a dispatch's bytes are written, whether a may still be sent: its server may have begun to
// drain, or its stamp may have been forgotten.
func (b *Balancer) MaySend(now Micros, a *Attachment) bool {
	return a.server != nil && !b.subscription.outdated && b.isAllowedByList(a.server) && b.mayRunOn(now, a.server, a)
}

// isAvoided reports whether s is passed over while there is another choice. mayReceive decides whether it may be sent to at all.
func (s *server) isAvoided(now Micros) bool { return s.AvoidUntil > now || s.isStuck(now) }

// hasSlowPath reports whether the path to the zone of s is slow or lossy.
func (b *Balancer) hasSlowPath(s *server) bool {
	return s.zone != b.zone && int(s.zone) < len(b.zonePaths) && b.zonePaths[s.zone].slowness > 0.5
}

// detectSlowPaths marks the paths to zones where all of three or more known servers look unhealthy, while at most half of
// the own zone's do. It keeps a slow or lossy path from being taken for many slow servers. A weaker condition, most of at
// least two servers, would also mark paths that are fine. The mark fades 2 s after the last sign. It does harm where a
// zone is slow by itself and still the best choice.
func (b *Balancer) detectSlowPaths() {
	if int(b.zone) >= len(b.zonePaths) {
		return
	}
	own := b.zonePaths[b.zone]
	for i := range b.zonePaths {
		path := &b.zonePaths[i]
		path.slowness *= 0.93
		if ZoneID(i) != b.zone && path.servers >= 3 && path.unhealthy >= path.servers && own.unhealthy <= own.servers/2 {
			path.slowness = 1
		}
	}
}

// pickServer returns the server with the lowest placement cost, or nil if none may receive a. The scan starts at another
// server each time.
func (b *Balancer) pickServer(now Micros, a *Attachment) *server {
	n := len(b.servers)
	var best *server
	units, bestCost, bestAvoided := b.loadUnitsOf(a), 0.0, false
	for i := range n {
		s := b.servers[(b.scanStart+i)%n]
		// A client moved off a late server must not go back to it, which is most often the first choice for its group.
		avoided := s.isAvoided(now) || s == a.lastServer || a.Returning && s.isLate(now) || b.hasSlowPath(s) || s.state != Ready
		if !b.mayReceive(now, s, a) || best != nil && avoided && !bestAvoided {
			continue
		}
		cost := b.placementCost(now, s, a, units)
		if best == nil || bestAvoided && !avoided || cost < bestCost-1e-9 {
			best, bestCost, bestAvoided = s, cost, avoided
		}
	}
	b.scanStart = (b.scanStart + 1) % max(n, 1)
	return best
}

// placementCost returns how loaded s would be with a on it, relative to its capacity. Up to one unit is random: otherwise
// the largest server would win all ties.
func (b *Balancer) placementCost(now Micros, s *server, a *Attachment, units float64) float64 {
	tieBreak := b.rng.Float64()
	if s.zone != b.zone {
		tieBreak = max(tieBreak, 1-b.ownZoneTrouble)
	} else if s.Attempts > 0.01 { // used within about 20 s
		tieBreak /= 4 // among equals, one in use comes first
	}
	units = b.estimatedLoad(now, s) + max(units-1, 0) + tieBreak
	if a.Group != 0 && s.groupMembers[a.Group] == 0 {
		// All proxies rank the servers of a group alike, or it would spread over as many servers as there are proxies.
		groupShare := float64(b.groupMembers[a.Group]+1) / float64(b.ownConnections+10)
		rankUnits, maxUnits := groupRankUnits, newGroupUnits
		if 10*b.ownConnections < b.readyServers {
			// Own counts say almost nothing, and the random part would spread the group.
			rankUnits, maxUnits = rankUnits*4, maxUnits*4
		}
		if a.Returning {
			rankUnits /= 2 // its last server was probably an early one in the ranking, and is in trouble
		}
		units += min(maxUnits, newGroupUnits/b.proxyCount+rankUnits*max(0, groupRank(a.Group, s.ID)/groupShare-equalRankShare))
	}
	if s.isLate(now) {
		units++ // one more mean connection; none or three do worse in fleets of all sizes
	}
	if a.Returning && !b.probesForDelays() && b.ownConnections <= fewConnections && len(s.connections) == 0 && !b.isCold(now, s) {
		// Keeps proxies that have no report on a late server from sending back the clients that were moved off it. Where
		// probes are the only source of delays, this would scatter groups and do harm.
		units += unknownServerUnits
	}
	return units / b.capacity(s)
}

// fewConnections is the number of own connections up to which they say almost nothing about the fleet. With a higher one,
// proxies of larger fleets crowd the servers that they know.
const fewConnections = 2

// unknownServerUnits is the load added, for returning clients, to a server that the proxy knows nothing about. It exceeds
// most differences between servers; much smaller values lose part of the benefit.
const unknownServerUnits = 10.0

// groupRankUnits is the load added to a server for each multiple of the group's share of servers by which it comes later in
// the group's ranking. Half of it spreads groups too far; twice as much overfills their first servers.
const groupRankUnits = 2.0

// equalRankShare is the part of a group's share of servers within which the first ones in its ranking count alike. It keeps
// all proxies from filling the very first one, which would get several times the mean load. With 1 instead of 0.5, groups
// would be on half as many servers more.
const equalRankShare = 0.5

// groupRank returns the position of a server in a group's ranking of servers: a hash, evenly spread from 0 to 1.
func groupRank(group GroupID, id ServerID) float64 {
	x := uint64(group) ^ uint64(id)*0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return float64((x^x>>31)>>11) / (1 << 53)
}

// startedAt returns when s last started cold, by the list or as observed; 0 if unknown.
func (s *server) startedAt() Micros { return max(s.LaunchedAt, s.recoveredAt) }

// isCold reports whether s started less than the warm-up time ago.
func (b *Balancer) isCold(now Micros, s *server) bool {
	return s.startedAt() != 0 && now-s.startedAt() < b.coldStart.WarmupTime
}

// fitsColdBudget reports whether a fits into this proxy's part of what s may get while it is cold.
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
	capacityShare := b.coldStart.InitialShare + (1-b.coldStart.InitialShare)*float64(age)/float64(b.coldStart.WarmupTime)
	if now-s.ColdDrawAt >= b.coldStart.OverloadWindow {
		s.ColdDraw, s.ColdDrawAt = b.rng.Float64(), now // else a proxy that lost the draw could send nothing until s is warm
	}
	// A budget below one connection is granted by chance: one from each of hundreds of proxies would be too many.
	budget := warmCapacityFactor * b.coldStart.OverloadMultiple * capacityShare * b.placementRate * float64(b.coldStart.OverloadWindow) / float64(Second)
	return spent+b.loadUnitsOf(a)*(1-s.ColdDraw) <= max(budget, 1/b.proxyCount)
}

// warmCapacityFactor is how much more load a warm server is assumed to bear than servers lately got on average, so that a
// new one can be filled within its warm-up. With 0.5, all proxies together send it almost nothing; even 20 breaks no limit.
const warmCapacityFactor = 4.0

// mayRunOn reports whether a may run on s. Once it may have run elsewhere, only a server that knows its stamp may get it,
// and only within the dedup window.
func (b *Balancer) mayRunOn(now Micros, s *server, a *Attachment) bool {
	p := &b.products[a.Product]
	return b.mayRepeat(now, a) && (a.mayHaveRunOn == nil || p.Idempotency == Harmless || p.DedupScope == DedupAll ||
		p.DedupScope == DedupZone && s.zone == a.mayHaveRunOn.zone || p.DedupScope == DedupCell && s.cell == a.mayHaveRunOn.cell)
}

// ---- decisions on attachments

const holdTime = 50 * Millisecond // how long an attachment is held when no server may receive it

// ChooseServer decides whether a is sent to a server, held, pushed back or given up. If it is on a server already, the
// decision is NoAction.
func (b *Balancer) ChooseServer(now Micros, a *Attachment) Decision {
	if a.server != nil {
		return Decision{}
	}
	tooLate := now+5*Millisecond >= a.HardLimit // leaves time for the final answer
	if tooLate || a.dispatches >= b.products[a.Product].MaxDispatches || !b.mayRepeat(now, a) || b.shouldShed(a) {
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

// gainPerUnit returns the gain of each load unit of an attachment that has so many.
func (b *Balancer) gainPerUnit(a *Attachment, units float64) float64 {
	p := &b.products[a.Product]
	if p.GainPerLoad {
		return p.Gain
	}
	return p.Gain / units
}

// shouldShed reports whether a is pushed back to protect an overloaded fleet, which would serve nobody if it admitted
// everybody. While many servers are late or failing, it applies to attachments that earn much less for their load than the
// established ones. Packets of open connections are never shed.
func (b *Balancer) shouldShed(a *Attachment) bool {
	// The bar starts above half of the mean, which sheds the few that bring most of the load, and rises to the mean.
	bar := min(1, 0.4+b.unhealthyShare) * b.meanGainPerUnit
	return !a.MidFlow && b.unhealthyShare > overloadThreshold && b.gainPerUnit(a, b.loadUnitsOf(a)) < bar
}

const overloadThreshold = 0.2 // more than single servers; 0.1 would also shed while there is no overload

// logConditions tells operators, in the log, when the fleet becomes overloaded or set-ups fail for a common cause, or no longer.
func (b *Balancer) logConditions() {
	conditions := [2]bool{b.unhealthyShare > overloadThreshold, b.hasCommonCause()}
	if conditions != b.loggedConditions {
		b.loggedConditions = conditions
		b.jobs = append(b.jobs, Job{Kind: Log, Message: fmt.Sprintf(
			"fleet overloaded: %t, set-ups fail for a common cause: %t", conditions[0], conditions[1])})
	}
}

// measureFleet recomputes the statistics over all servers: reported utilization, health by zone, overload and the mean gain
// of a load unit. For the overload, two more servers than are known are taken to be healthy.
func (b *Balancer) measureFleet(now Micros) {
	for _, stats := range b.models {
		*stats = modelStats{}
	}
	for i := range b.zonePaths {
		b.zonePaths[i].servers, b.zonePaths[i].unhealthy = 0, 0
	}
	var gain, units, utilizations, ownUnits, capacities, trust float64
	for _, s := range b.servers {
		if s.state == Ready && s.hasFreshReport(now) {
			utilizations, ownUnits = utilizations+s.utilizationTrust*s.utilization, ownUnits+s.utilizationTrust*s.loadUnits
			capacities, trust = capacities+s.utilizationTrust*b.capacity(s), trust+s.utilizationTrust
		}
		unhealthyCount := 0.0
		if s.isLate(now) || s.AvoidUntil > now {
			unhealthyCount = 1
		}
		if s.state == Ready && (unhealthyCount > 0 || len(s.connections) > 0) {
			for int(s.zone) >= len(b.zonePaths) {
				b.zonePaths = append(b.zonePaths, zonePath{})
			}
			b.zonePaths[s.zone].servers, b.zonePaths[s.zone].unhealthy = b.zonePaths[s.zone].servers+1, b.zonePaths[s.zone].unhealthy+unhealthyCount
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
	if trust >= 3 { // a mean of fewer says little
		// The minimum of 1 lets a proxy without connections go by reports alone.
		b.meanUtilization, b.unitsPerCapacity = utilizations/trust, max(ownUnits/capacities, 1)
	}
	b.detectSlowPaths()
	var servers, unhealthy, ownServers, ownUnhealthy float64
	for i, path := range b.zonePaths {
		if ZoneID(i) == b.zone {
			ownServers, ownUnhealthy = path.servers, path.unhealthy
		}
		if path.slowness <= 0.5 { // a bad path is no sign of overload
			servers, unhealthy = servers+path.servers, unhealthy+path.unhealthy
		}
	}
	// One server is no overload, however few are known.
	b.unhealthyShare = max(min(unhealthy-1, 1)*unhealthy/(servers+2), b.unhealthyShare*0.92)
	b.ownZoneTrouble = max(min(1, 4*ownUnhealthy/(ownServers+2)), b.ownZoneTrouble*(0.98-crossZoneDecay*max(0, b.crossZonePrice-0.03)))
	if units > 0 {
		b.meanGainPerUnit = gain / units
	}
}

// crossZoneDecay is how much faster trouble in the own zone is forgotten per unit of cross-zone price above 0.03: by a fifth
// each second at a price of 0.2. At prices up to 0.03, forgetting it faster loses gain.
const crossZoneDecay = 0.18

// hasCommonCause reports whether set-ups fail on several servers, which points to a common cause such as a slow store behind
// them. More set-ups would make it worse, so they go out one at a time. Each success removes one failure.
func (b *Balancer) hasCommonCause() bool { return len(b.failingServers) >= 2 }

// connectionHolder returns the server that has the open connection whose packets a consists of, or nil if unknown.
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

// mayRepeat reports whether a may be sent once more because it cannot have run or a repeat does no harm.
func (b *Balancer) mayRepeat(now Micros, a *Attachment) bool {
	p := &b.products[a.Product]
	return a.mayHaveRunOn == nil || p.Idempotency == Harmless || p.Idempotency == Stamped && now-a.mayHaveRunSince < p.DedupWindow
}

// finalDecision ends an attachment that is sent no more. It is pushed back only where a retry by the client is harmless.
func (b *Balancer) finalDecision(a *Attachment) Decision {
	p := &b.products[a.Product]
	if a.mayHaveRunOn == nil || p.Idempotency == Harmless || p.Idempotency == Stamped && p.DedupScope == DedupAll {
		decision := Decision{Action: PushBack}
		if minWait := b.permissions.MaxRetryAfter / 2; minWait > 0 {
			decision.Duration = minWait + Micros(b.rng.Int63n(int64(minWait)))
		}
		return decision
	}
	return Decision{Action: GiveUp}
}

// dispatchTimeout returns the time-out of a dispatch. After a recent successful set-up it leaves room for another server
// within the quoted time. Otherwise it is all the time left: the store behind the servers may be slow, and another dispatch
// would add to its load.
func (b *Balancer) dispatchTimeout(now Micros, a *Attachment) Micros {
	p := &b.products[a.Product]
	remaining := a.HardLimit - now
	if p.Idempotency == OneShot || a.dispatches >= p.MaxDispatches || len(b.failingServers) > 0 || now-b.lastEstablished > recentSetup {
		return remaining
	}
	typical := Micros(b.setupTime.Mean + 4*b.setupTime.Deviation)
	return min(remaining, max(typical, p.QuotedTime*2/5))
}

const recentSetup = Second // a store that was fast a second ago is not what delays a set-up

// RecordOutcome records how the dispatch or the connection of a ended and decides what to do next. final says that the
// attachment has had its final answer.
func (b *Balancer) RecordOutcome(now Micros, a *Attachment, outcome Outcome, final bool) Decision {
	s, wasEstablished := a.server, a.established
	b.release(a)
	if s == nil {
		return Decision{}
	}
	if outcome != OK && outcome != Cancelled && outcome != NotSent {
		b.recordFailure(now, s, a, outcome)
		if !wasEstablished && outcome != Full {
			s.setupFailures++
		}
	}
	if wasEstablished && outcome == Reset {
		b.placedUnits -= a.loadUnits // a connection that is dropped again does not show what a server can bear
		if !b.delaysReported {
			// Keeps clients from going back to s. It does harm where paths break connections.
			b.RecordDelay(now, s.ID, max(s.MessageDelay, b.shortestMessageTime()))
		}
	}
	if !wasEstablished && !outcome.NeverRan() && a.mayHaveRunOn == nil {
		a.mayHaveRunOn, a.mayHaveRunSince = s, a.sentAt
	}
	if final || wasEstablished {
		if b.permissions.PassThrough && outcome != Cancelled {
			delete(b.serverByClient, a.Key)
		}
		return Decision{}
	}
	return b.ChooseServer(now, a)
}

const tickInterval = 250 * Millisecond // period of the work of Tick

// Tick does the periodic work if it is due. It returns the time until it is due again and the jobs for the host, which are
// valid until the next call.
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

// decayStatistics lets old evidence fade: failures to a half in about 3.5 s, the extra load of a start in about 6 s.
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

// ---- events

// assign counts a as a pending dispatch to s.
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

// release removes a from all counts.
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

// removePending removes a from the pending dispatches of s, if it is one.
func (b *Balancer) removePending(s *server, a *Attachment) {
	if i := slices.Index(s.pending, a); i >= 0 {
		s.pending = slices.Delete(s.pending, i, i+1)
		b.pendingDispatches--
	}
}

// RecordEstablished records that the connection of a is set up.
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

// establish counts a as an established connection of s.
func (b *Balancer) establish(s *server, a *Attachment) {
	if b.permissions.PassThrough {
		b.serverByClient[a.Key] = s.ID
	}
	// Each connection pays for two probes: one would reveal less, and without a bound, probes would cost more than they bring
	// at low traffic.
	b.probeCredit += 2
	a.established, s.connections = true, append(s.connections, a)
}

// RecordResumed records a connection that was established through this proxy before the instance started.
func (b *Balancer) RecordResumed(now Micros, a *Attachment, id ServerID) {
	if s := b.serversByID[id]; s != nil {
		b.assign(now, s, a)
		b.removePending(s, a)
		b.establish(s, a)
	}
}

// RecordClientLeft records that the client is gone. A dispatch that is pending will still have its outcome.
func (b *Balancer) RecordClientLeft(now Micros, a *Attachment) {
	if a.established {
		b.release(a)
	}
}

// RecordLoad records the current load of a connection, in microseconds of work per second.
func (b *Balancer) RecordLoad(now Micros, a *Attachment, load float64) {
	if load <= 0 || a.server == nil {
		return
	}
	a.reportedLoad = load
	b.connectionLoad.add(load)
	if len(b.clientLoads) >= maxClientLoads {
		clear(b.clientLoads)
	}
	if a.Key != 0 {
		b.clientLoads[a.Key] = load // counts again when a moved or dropped client comes back
	}
	a.server.loadUnits -= a.loadUnits
	a.loadUnits = b.loadUnitsOf(a)
	a.server.loadUnits += a.loadUnits
}

const maxClientLoads = 10000 // a few dozen bytes each: less than a megabyte

// RecordDelay records how long a message takes at a server now.
func (b *Balancer) RecordDelay(now Micros, id ServerID, delay Micros) {
	s := b.serversByID[id]
	if s == nil {
		return
	}
	s.DelayFalling, s.MessageDelay, s.MessageDelayAt = delay < s.MessageDelay, 0, now
	if delay < b.shortestMessageTime()/3 {
		return // lateness is reported from a third of the quoted time on
	}
	s.MessageDelay = delay
	if b.hasSlowPath(s) {
		return // the path is the cause, and a speed factor takes a minute to recover
	}
	// Accounts for unlike servers with equal weights, and for those that slow down.
	s.SpeedFactor = max(minSpeedFactor, s.SpeedFactor*(1-speedPenalty[b.weightKind]*min(float64(delay)/float64(b.shortestMessageTime()), 4)))
}

// speedPenalty is what a report of late messages takes off the speed factor. Rough weights say least about a server's speed.
var speedPenalty = [...]float64{WeightNone: 0.1, WeightNominal: 0.1, WeightRough: 0.2, WeightLive: 0.1}

// SetDelaysReported says whether servers report message delays. While they do, they are not probed for them.
func (b *Balancer) SetDelaysReported(reported bool) { b.delaysReported = reported }

// probesForDelays reports whether delays are measured by probes.
func (b *Balancer) probesForDelays() bool { return b.permissions.AllowProbes && !b.delaysReported }

// probeDelays probes servers with own connections as often as they would report delays: once a second.
func (b *Balancer) probeDelays(now Micros) {
	for _, s := range b.servers {
		if b.probesForDelays() && b.probeCredit > 0 && len(s.connections) > 0 && now >= s.NextProbeAt {
			b.probeCredit--
			s.NextProbeAt = now + Second // half as often reveals half as much, twice as often costs as much as it brings
			b.jobs = append(b.jobs, Job{Kind: Probe, Server: s.ID})
		}
	}
}

// EnableUtilizationProbes says that the host passes utilization reports on. They are not asked for with live weights, which
// say the same: probes would only add their cost.
func (b *Balancer) EnableUtilizationProbes() { b.probesUtilization = b.weightKind != WeightLive }

// probeUtilization probes servers for their utilization, in turn, as far as connections have paid for it.
func (b *Balancer) probeUtilization() {
	remaining := maxProbesPerTick
	if b.meanUtilization > 0 && b.meanUtilization < lowUtilization {
		remaining = 1
	}
	for range b.servers {
		if !b.probesUtilization || b.probeCredit <= 0 || remaining == 0 {
			return
		}
		b.lastProbedIndex = (b.lastProbedIndex + 1) % len(b.servers)
		if s := b.servers[b.lastProbedIndex]; b.isAllowedByList(s) {
			b.probeCredit, remaining = b.probeCredit-1, remaining-1
			b.jobs = append(b.jobs, Job{Kind: Probe, Server: s.ID})
		}
	}
}

// RecordUtilization records a server's own report of its load over its capacity. Values outside of [0, 100) are ignored. A
// report that this proxy's own view contradicts ends the trust in the server, whatever the cause: free capacity while its
// messages are late, no load at all while this proxy has connections on it, or overload while its messages are not late.
func (b *Balancer) RecordUtilization(now Micros, id ServerID, utilization float64) {
	s := b.serversByID[id]
	if s == nil || !(utilization >= 0 && utilization < 100) {
		return
	}
	s.utilizationTrust += (1 - s.utilizationTrust) / 4
	if s.isLate(now) && utilization < 0.7 || len(s.connections) > 0 && (utilization == 0 || utilization > 1.1 && !s.isLate(now)) {
		s.utilizationTrust = 0
	}
	s.utilization, s.utilizationAt, s.utilizationUnits = max(utilization, 0.01), now, s.loadUnits
}

// RecordProbe records how long a server took to answer a probe. What exceeds 1.25 times its fastest answer (the quarter allows
// for jitter) counts as a message delay: as one quoted message time for each multiple of the fastest answer. In other
// zones, and where a server seems to have paused, the faster one of its last two answers counts.
func (b *Balancer) RecordProbe(now Micros, id ServerID, duration Micros) {
	if s := b.serversByID[id]; s != nil && duration > 0 && b.probesForDelays() {
		s.FastestProbe = min(cmp.Or(s.FastestProbe, duration), duration)
		measured := duration
		if s.zone != b.zone || duration > pauseFactor*s.FastestProbe {
			measured = min(duration, s.LastProbe)
		}
		b.RecordDelay(now, id, b.shortestMessageTime()*max(0, measured-s.FastestProbe*5/4)/s.FastestProbe)
		s.LastProbe = duration
	}
}

const pauseFactor = 8 // times the fastest answer: full servers take four or five, paused ones ten and more

const minSpeedFactor = 0.1 // servers in production have slowed down to a tenth of their speed, but not further

// shortestMessageTime returns the shortest quoted message time of the active products, or math.MaxInt64 if none has one.
func (b *Balancer) shortestMessageTime() Micros {
	shortest := Micros(math.MaxInt64)
	for _, id := range b.activeProducts {
		shortest = min(shortest, cmp.Or(b.products[id].QuotedMessageTime, shortest))
	}
	return shortest
}

// Snapshot returns what b has learned, for the instance that replaces it.
func (b *Balancer) Snapshot() Snapshot {
	snapshot := Snapshot{SetupTime: Estimate(b.setupTime), ConnectionLoad: Estimate(b.connectionLoad),
		UnhealthyShare: b.unhealthyShare, OwnZoneTrouble: b.ownZoneTrouble, PlacementRate: b.placementRate,
		LastEstablished: b.lastEstablished, FailingServers: slices.Clone(b.failingServers)}
	for _, s := range b.servers {
		history := s.ServerHistory
		history.ColdSendTimes, history.ColdSendUnits = slices.Clone(s.ColdSendTimes), slices.Clone(s.ColdSendUnits)
		snapshot.Servers = append(snapshot.Servers, history)
	}
	return snapshot
}

// Restore adopts what the previous instance learned. The part on a server is used only if the server has not restarted since.
func (b *Balancer) Restore(snapshot Snapshot) {
	b.setupTime, b.connectionLoad = estimator(snapshot.SetupTime), estimator(snapshot.ConnectionLoad)
	b.unhealthyShare, b.ownZoneTrouble, b.placementRate, b.lastEstablished, b.failingServers =
		snapshot.UnhealthyShare, snapshot.OwnZoneTrouble, snapshot.PlacementRate, snapshot.LastEstablished, snapshot.FailingServers
	for _, history := range snapshot.Servers {
		s := b.serversByID[history.ID]
		if s == nil || s.LaunchedAt != history.LaunchedAt {
			continue
		}
		// The previous instance's dispatches are older, so they come first.
		n := min(len(history.ColdSendTimes), len(history.ColdSendUnits))
		history.ColdSendTimes, history.ColdSendUnits = append(history.ColdSendTimes[:n:n], s.ColdSendTimes...),
			append(history.ColdSendUnits[:n:n], s.ColdSendUnits...)
		history.Attempts, history.Failures = s.Attempts+history.Attempts, s.Failures+history.Failures
		history.SpeedFactor, history.AvoidUntil = min(s.SpeedFactor, history.SpeedFactor), max(s.AvoidUntil, history.AvoidUntil)
		s.ServerHistory = history
	}
}

// ---- failures

// downAfterFailures is the number of consecutive failed set-ups after which a server counts as down; a set-up that succeeds
// then finds it cold. This keeps all proxies from filling a server that has just come back, even if the list does not show it.
const downAfterFailures = 2

// recordFailure counts a failure, and avoids a server for a while if its share of failures is far above the median.
func (b *Balancer) recordFailure(now Micros, s *server, a *Attachment, outcome Outcome) {
	s.Attempts, s.Failures = s.Attempts+1, s.Failures+1
	if (outcome == TimedOut || outcome == Failure) && s.AvoidUntil <= now && !slices.Contains(b.failingServers, s.ID) {
		b.failingServers = append(b.failingServers, s.ID)
	}
	if outcome == Reset || outcome == Full {
		// Prevents a retry storm: clients that a full server drops come back at once. Within a second it gets some work done.
		s.AvoidUntil = max(s.AvoidUntil, b.jitteredTime(now, Second))
	}
	// One failure in two attempts is out of line where half of the fleet has none.
	if s.failureShare() > b.medianFailureShare()+0.3 {
		s.AvoidUntil = b.jitteredTime(now, 2*Second) // not longer each time, as doubling it makes no difference
	}
}

// jitteredTime returns the time after the given wait, which is varied by up to a half so that proxies do not act in step.
func (b *Balancer) jitteredTime(now, wait Micros) Micros {
	return now + wait/2 + Micros(b.rng.Int63n(int64(wait)))
}

// failureShare returns the share of recent attempts on s that failed.
func (s *server) failureShare() float64 { return s.Failures / (s.Attempts + 1) }

// medianFailureShare returns the median over the ready servers, 0 if there are none.
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

// moveConnections moves connections off late servers; while the fleet is overloaded, only from twice that lateness on, as there
// is less room elsewhere. A server whose delay is falling needs no more relief. Connections also leave servers that may no
// longer be used and zones with a slow path. Those in other zones move to the own one while that is healthy, if crossing
// costs more than moving.
func (b *Balancer) moveConnections(now Micros) {
	threshold := b.shortestMessageTime() / 3
	if b.unhealthyShare > overloadThreshold {
		threshold = b.shortestMessageTime() * 2 / 3
	}
	for _, s := range b.servers {
		if !b.isAllowedByList(s) {
			// Keeps clients from being cut off when their server stops: they leave within about 2 s, spread over that time.
			for _, a := range s.connections[:(len(s.connections)+3)/4] {
				b.jobs = append(b.jobs, Job{Kind: Move, Attachment: a.ID})
			}
			continue
		}
		var a *Attachment
		movesPerSecond := 0.0
		switch {
		case len(s.connections) > 0 && b.hasSlowPath(s) && b.ownZoneTrouble < 0.5:
			a, movesPerSecond = s.connections[0], 0.5*float64(len(s.connections))
		case s.isLate(now) && !s.DelayFalling && s.MessageDelay >= threshold:
			// 8% of the own load per second where messages are just late, 32% where they take four times as long. Half
			// as much leaves slow servers full; half as much again makes the load of small fleets oscillate.
			a, movesPerSecond = s.heaviestConnection(), 0.08*min(float64(s.MessageDelay)/float64(threshold), 4)*s.loadUnits
		case len(s.connections) > 0 && s.zone != b.zone && b.crossZonePrice > 1.5*b.movePrice && b.ownZoneTrouble < 0.25:
			a, movesPerSecond = s.connections[0], 0.2*float64(len(s.connections)) // per second; 10% would leave half of the gain
		}
		if a != nil && b.rng.Float64() < movesPerSecond*float64(tickInterval)/float64(Second) {
			b.jobs = append(b.jobs, Job{Kind: Move, Attachment: a.ID})
		}
	}
}

// heaviestConnection returns the connection whose move relieves s most. The last of its group takes the group's cost with it.
func (s *server) heaviestConnection() *Attachment {
	var best *Attachment
	maxWeight := 0.0
	for _, a := range s.connections {
		weight := a.loadUnits
		if a.Group != 0 && s.groupMembers[a.Group] == 1 {
			weight++
		}
		if weight > maxWeight {
			best, maxWeight = a, weight
		}
	}
	return best
}
