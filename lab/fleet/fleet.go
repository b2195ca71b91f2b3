package fleet

import (
	"cmp"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"hatchproxy/lab/ledger"
)

// MachineKind is a kind of machine.
type MachineKind struct {
	Name        string
	Share       float64 // of the servers, beside the other kinds' shares
	Cores       int
	Speed       float64 // of a core
	SpeedSpread float64 // by which servers of a kind differ, as a share
}

// Config is what a fleet is made of.
type Config struct {
	ServerCount         int
	Zones               []string
	InterZoneDelay      Micros // one way between two zones
	MachineKinds        []MachineKind
	CellSize            int
	SetUpWork           Micros // work of a set-up, on average
	ProbeWork           Micros // work of a probe
	ConnLoad            Micros // a connection's work in a second, on average
	LoadSpread          float64
	LoadChangeInterval  Micros  // how long a load stays, on average; 0 for ever
	GroupCost           float64 // mean loads that each server pays for each group
	MaxConnsPerCore     int     // a core's
	MaxQueuePerCore     int     // a core's
	MessageTime         Micros  // what a message takes on an idle core of speed 1
	ColdStart           ColdStart
	DiscoveryDelay      Micros // how late discovery tells
	WeightMode          string // "none", "nominal" or "rough"
	ReportsLoad         bool
	AnswersProbes       bool
	MovesClientsOnDrain bool // a draining server says MOVE to those that stand there
}

// Fleet is the servers and the list of them.
type Fleet struct {
	Config           Config
	Servers          []*Server
	List             *ServerList
	eventLog         *ledger.EventLog
	discoveryServers []*DiscoveryServer
	rng              *rand.Rand
	stop             chan struct{}
	background       sync.WaitGroup
	restoreAddresses map[string]func()
}

// Start builds a fleet; the same seed gives the same.
func Start(book *ledger.EventLog, plan Config, seed uint64) (*Fleet, error) {
	f := &Fleet{Config: plan, List: NewServerList(book), eventLog: book, rng: rand.New(rand.NewPCG(seed, 0xf1ee7)),
		stop: make(chan struct{}), restoreAddresses: map[string]func(){}}
	for i := range plan.ServerCount {
		s, err := f.newServer(i)
		if err != nil {
			f.Stop()
			return nil, err
		}
		f.Servers = append(f.Servers, s)
	}
	for i := range f.Servers {
		f.publish(i, stateReady, true)
	}
	f.background.Add(1)
	go f.checkOverload()
	return f, nil
}

// machineKind deals the kinds out by their shares, evenly over the numbers, so that small fleets have each.
func (p Config) machineKind(server int) MachineKind {
	total := 0.0
	for _, k := range p.MachineKinds {
		total += k.Share
	}
	x := math.Mod(float64(server)*0.6180339887498949+0.5, 1) * total
	for _, k := range p.MachineKinds {
		if x -= k.Share; x < 0 {
			return k
		}
	}
	return p.MachineKinds[len(p.MachineKinds)-1]
}

func (f *Fleet) newServer(i int) (*Server, error) {
	p, rng := f.Config, rand.New(rand.NewPCG(f.rng.Uint64(), uint64(i)))
	kind := p.machineKind(i)
	m := NewMachine(kind.Cores, kind.Speed*(1+kind.SpeedSpread*(2*rng.Float64()-1)))
	m.MaxConns, m.MaxQueuedSetUps = unlimitedIfZero(p.MaxConnsPerCore*kind.Cores), unlimitedIfZero(p.MaxQueuePerCore*kind.Cores)
	m.GroupCost, m.BaseMessageTime, m.ColdStart = p.GroupCost*float64(p.ConnLoad), p.MessageTime, p.ColdStart
	s := &Server{
		Number: i, UID: fmt.Sprintf("s%03d", i), Zone: i % len(p.Zones), Kind: kind.Name, eventLog: f.eventLog,
		reportsLoad: p.ReportsLoad, answersProbes: p.AnswersProbes, setUpWork: float64(p.SetUpWork), probeWork: float64(p.ProbeWork), loadChangeInterval: p.LoadChangeInterval,
		machine: m, rng: rng, conns: map[*conn]bool{},
		// Lognormal about the mean.
		drawLoad: func(rng *rand.Rand) float64 {
			return float64(p.ConnLoad) * math.Exp(p.LoadSpread*rng.NormFloat64()-p.LoadSpread*p.LoadSpread/2)
		},
	}
	switch size := float64(m.Cores) * m.Speed; p.WeightMode {
	case "nominal":
		s.weight = size
	case "rough":
		s.weight = size * (0.7 + 0.6*rng.Float64())
	default:
		s.weight = 1
	}
	for zone := range p.Zones {
		way := Micros(0)
		if zone != s.Zone {
			way = p.InterZoneDelay
		}
		s.zoneDelays = append(s.zoneDelays, way)
	}
	return s, s.listen()
}

func unlimitedIfZero(n int) int {
	if n <= 0 {
		return math.MaxInt32
	}
	return n
}

// publishState puts a server's state on the list. The server's lock is held, or nobody else is there yet.
func (f *Fleet) publishState(i int, st serverState) { f.publish(i, st, false) }

func (f *Fleet) publish(i int, st serverState, old bool) {
	s := f.Servers[i]
	boot := int64(0)
	if s.machine.startedAt >= 0 {
		boot = f.eventLog.WallTime(s.machine.startedAt).UnixMilli()
	}
	f.List.set(listEntry{UID: s.UID, AZ: f.Config.Zones[s.Zone], Model: s.Kind, PodGroup: f.Cell(i), Weight: s.weight, BootMS: boot,
		serverNumber: i, state: st, endpoints: s.addresses, listedBeforeRun: old})
}

// Cell is the group of servers that drops a stamped product's repeats.
func (f *Fleet) Cell(i int) int {
	if f.Config.CellSize <= 0 {
		return 0
	}
	return i / f.Config.CellSize
}

// Positions are where the servers stand, for the judge.
func (f *Fleet) Positions() []ledger.ServerLocation {
	places := make([]ledger.ServerLocation, len(f.Servers))
	for i, s := range f.Servers {
		places[i] = ledger.ServerLocation{Zone: s.Zone, Cell: f.Cell(i)}
	}
	return places
}

// StartDiscovery opens a discovery for a proxy of a zone.
func (f *Fleet) StartDiscovery(proxy, zone int) (*DiscoveryServer, error) {
	return f.addDiscovery(f.List.StartDiscovery(proxy, zone))
}

// StartDiscoveryAt opens one at an address, for the first zone.
func (f *Fleet) StartDiscoveryAt(address string) (*DiscoveryServer, error) {
	return f.addDiscovery(f.List.startDiscoveryAt(address, 0, 0))
}

func (f *Fleet) addDiscovery(front *DiscoveryServer, err error) (*DiscoveryServer, error) {
	if err != nil {
		return nil, err
	}
	front.delay = f.Config.DiscoveryDelay
	f.discoveryServers = append(f.discoveryServers, front)
	return front, nil
}

// overloadCheckInterval is how often servers are looked at: a thirtieth of the shortest window in use.
const overloadCheckInterval = 100 * time.Millisecond

func (f *Fleet) checkOverload() {
	defer f.background.Done()
	t := time.NewTicker(overloadCheckInterval)
	defer t.Stop()
	for {
		select {
		case <-f.stop:
			return
		case <-t.C:
		}
		for i, s := range f.Servers {
			s.mu.Lock()
			times, tips := s.machine.CheckOverload(f.eventLog.Now())
			if tips && !s.down {
				s.collapsed = true
				f.eventLog.Record(ledger.Event{Kind: ledger.ColdServerOverloaded, Server: i, Proxy: ledger.None, Product: ledger.None,
					Note: fmt.Sprintf("%.1f times what it could do, for %s; %d stood there", times, f.Config.ColdStart.OverloadWindow, s.machine.established)})
				f.crash(s)
				f.publishState(i, stateGone)
			}
			s.mu.Unlock()
		}
	}
}

// crash takes a server down at once. Its lock is held.
func (f *Fleet) crash(s *Server) {
	s.down = true
	s.closeListeners()
	for c := range s.conns {
		c.end(true)
	}
	s.machine.Restart(f.eventLog.Now())
	s.machine.startedAt = -1
}

// Stop ends all servers and fronts.
func (f *Fleet) Stop() {
	select {
	case <-f.stop:
		return
	default:
	}
	close(f.stop)
	f.background.Wait()
	for _, undo := range f.restoreAddresses {
		undo()
	}
	for _, s := range f.Servers {
		s.mu.Lock()
		s.down = true
		s.closeListeners()
		for c := range s.conns {
			c.release()
			_ = c.Close()
		}
		s.mu.Unlock()
	}
	for _, front := range f.discoveryServers {
		front.Close()
	}
}

// EstablishedCounts is how many connections stand at each server now.
func (f *Fleet) EstablishedCounts() []int {
	n := make([]int, len(f.Servers))
	for i, s := range f.Servers {
		s.mu.Lock()
		n[i] = s.machine.established
		s.mu.Unlock()
	}
	return n
}

// CollapsedCount counts the servers that have tipped over.
func (f *Fleet) CollapsedCount() int {
	n := 0
	for _, s := range f.Servers {
		s.mu.Lock()
		if s.collapsed {
			n++
		}
		s.mu.Unlock()
	}
	return n
}

// RandomAddress is a server that the true list has as ready, by chance; for a zone.
func (f *Fleet) RandomAddress(rng *rand.Rand, zone int) string {
	for range 64 {
		s := f.Servers[rng.IntN(len(f.Servers))]
		s.mu.Lock()
		ok := !s.down && !s.draining
		s.mu.Unlock()
		if ok {
			return s.addresses[zone]
		}
	}
	return f.Servers[0].addresses[zone]
}

// full is the use up to which a policy that sees all fills a server; relieved is where it stops taking off one that is
// fuller. Both are short of the knee, beyond which messages are late.
const (
	fullUtilization       = 0.85
	rebalancedUtilization = 0.75
)

// BestAddress is where a policy that sees the true state of all servers sends a connection: where the added work,
// with what a new group costs there, weighs least, as use squared by capacity has it. False where all are full.
func (f *Fleet) BestAddress(zone int, group uint64) (string, bool) {
	var best *Server
	least := math.Inf(1)
	now := f.eventLog.Now()
	for _, s := range f.Servers {
		s.mu.Lock()
		m := s.machine
		added := float64(f.Config.ConnLoad)
		if group != 0 && m.groupSizes[group] == 0 {
			added += m.GroupCost
		}
		use := (m.load + float64(len(m.setUpEnds))*float64(f.Config.ConnLoad) + m.GroupCost*float64(len(m.groupSizes)) + added) / m.Capacity(now)
		if len(m.setUpEnds) > 0 {
			use += float64(max(0, m.setUpEnds[len(m.setUpEnds)-1]-now)) / float64(ledger.Second)
		}
		if s.zoneDelays[zone] > 0 {
			use += 0.02
		}
		fit := !s.down && !s.draining && s.faults == (serverFaults{}) && m.established+len(m.setUpEnds) < m.MaxConns && use < fullUtilization
		s.mu.Unlock()
		if weight := use * added; fit && weight < least {
			best, least = s, weight
		}
	}
	if best == nil {
		return "", false
	}
	return best.addresses[zone], true
}

// Rebalance moves the heaviest connections off servers that are too full, as a policy that sees all would.
func (f *Fleet) Rebalance() {
	now := f.eventLog.Now()
	for _, s := range f.Servers {
		s.mu.Lock()
		if s.machine.Utilization(now) > fullUtilization || s.draining || s.faults.mute {
			var standing []*conn
			for c := range s.conns {
				if c.established {
					standing = append(standing, c)
				}
			}
			slices.SortFunc(standing, func(a, b *conn) int { return cmp.Or(cmp.Compare(b.load, a.load), cmp.Compare(a.id, b.id)) })
			for _, c := range standing {
				if s.machine.Utilization(now) < rebalancedUtilization && !s.draining && !s.faults.mute {
					break
				}
				c.moveClient()
			}
		}
		s.mu.Unlock()
	}
}

// Addresses are all servers', for a zone.
func (f *Fleet) Addresses(zone int) []string {
	all := make([]string, len(f.Servers))
	for i, s := range f.Servers {
		all[i] = s.addresses[zone]
	}
	return all
}

// FirstAddress is always the same server.
func (f *Fleet) FirstAddress(zone int) string { return f.Servers[0].addresses[zone] }

var errUnknownTrouble = errors.New("there is no such trouble")

// drawNumbers draws n different servers.
func drawNumbers(rng *rand.Rand, servers, n int) []int {
	chosen := rng.Perm(servers)[:min(n, servers)]
	slices.Sort(chosen)
	return chosen
}
