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

// MachineKind describes servers that have the same kind of machine.
type MachineKind struct {
	Name        string
	Share       float64 // of the servers, relative to the other kinds' shares
	Cores       int
	Speed       float64 // of a core; the work of requests is given for speed 1
	SpeedSpread float64 // the speed of a server differs from Speed by up to this share, either way
}

// Config describes a fleet and its discovery service.
type Config struct {
	ServerCount         int
	Zones               []string
	InterZoneDelay      Micros // one-way delay between two zones
	MachineKinds        []MachineKind
	CellSize            int     // servers per cell; 0 for a single cell
	SetUpWork           Micros  // mean work of a connection's set-up
	ProbeWork           Micros  // work of a probe
	ConnLoad            Micros  // mean work per second of an established connection
	LoadSpread          float64 // sigma of the lognormal distribution of connections' loads
	LoadChangeInterval  Micros  // mean time between changes of a connection's load; 0 for no change
	GroupCost           float64 // load of each group that has connections at a server, in multiples of ConnLoad
	MaxConnsPerCore     int     // connections and queued set-ups; 0 for no limit
	MaxQueuePerCore     int     // set-ups in progress; 0 for no limit
	MessageTime         Micros  // answer time of a message on an idle server of speed 1
	ColdStart           ColdStart
	DiscoveryDelay      Micros // how late discovery shows changes
	WeightMode          string // weights on the list: "none" for 1, "nominal" for the capacity, "rough" for that with an error of up to 30%
	ReportsLoad         bool   // servers send LOAD lines
	AnswersProbes       bool   // servers answer PING and STATS
	MovesClientsOnDrain bool   // a draining server sends MOVE to its clients
}

// Fleet is a set of stand-in servers, with the list of them and its discovery servers.
type Fleet struct {
	Config           Config
	Servers          []*Server
	List             *ServerList
	eventLog         *ledger.EventLog
	discoveryServers []*DiscoveryServer
	rng              *rand.Rand
	stop             chan struct{}
	background       sync.WaitGroup
	restoreAddresses map[string]func() // by the UID of a vanished server: frees its addresses
}

// Start starts the servers of a fleet, all of them warm and on the list. The same seed gives the same servers.
func Start(eventLog *ledger.EventLog, config Config, seed uint64) (*Fleet, error) {
	f := &Fleet{Config: config, List: NewServerList(eventLog), eventLog: eventLog, rng: rand.New(rand.NewPCG(seed, 0xf1ee7)),
		stop: make(chan struct{}), restoreAddresses: map[string]func(){}}
	for i := range config.ServerCount {
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

// machineKind returns the machine kind of a server. The kinds are spread evenly over the server numbers, by multiples of the golden
// ratio and in proportion to their shares, so that small fleets have each kind, too.
func (c Config) machineKind(server int) MachineKind {
	total := 0.0
	for _, k := range c.MachineKinds {
		total += k.Share
	}
	x := math.Mod(float64(server)*0.6180339887498949+0.5, 1) * total
	for _, k := range c.MachineKinds {
		if x -= k.Share; x < 0 {
			return k
		}
	}
	return c.MachineKinds[len(c.MachineKinds)-1]
}

// newServer makes the server of a number and starts its listeners.
func (f *Fleet) newServer(i int) (*Server, error) {
	config, rng := f.Config, rand.New(rand.NewPCG(f.rng.Uint64(), uint64(i)))
	kind := config.machineKind(i)
	m := NewMachine(kind.Cores, kind.Speed*(1+kind.SpeedSpread*(2*rng.Float64()-1)))
	m.MaxConns, m.MaxQueuedSetUps = unlimitedIfZero(config.MaxConnsPerCore*kind.Cores), unlimitedIfZero(config.MaxQueuePerCore*kind.Cores)
	m.GroupCost, m.BaseMessageTime, m.ColdStart = config.GroupCost*float64(config.ConnLoad), config.MessageTime, config.ColdStart
	s := &Server{
		Number: i, UID: fmt.Sprintf("s%03d", i), Zone: i % len(config.Zones), Kind: kind.Name, eventLog: f.eventLog,
		reportsLoad: config.ReportsLoad, answersProbes: config.AnswersProbes, setUpWork: float64(config.SetUpWork), probeWork: float64(config.ProbeWork), loadChangeInterval: config.LoadChangeInterval,
		machine: m, rng: rng, conns: map[*conn]bool{},
		// Lognormal, with ConnLoad as the mean.
		drawLoad: func(rng *rand.Rand) float64 {
			return float64(config.ConnLoad) * math.Exp(config.LoadSpread*rng.NormFloat64()-config.LoadSpread*config.LoadSpread/2)
		},
	}
	switch size := float64(m.Cores) * m.Speed; config.WeightMode {
	case "nominal":
		s.weight = size
	case "rough":
		s.weight = size * (0.7 + 0.6*rng.Float64())
	default:
		s.weight = 1
	}
	for zone := range config.Zones {
		delay := Micros(0)
		if zone != s.Zone {
			delay = config.InterZoneDelay
		}
		s.zoneDelays = append(s.zoneDelays, delay)
	}
	return s, s.listen()
}

// unlimitedIfZero returns a limit, or a practically infinite one in place of 0.
func unlimitedIfZero(n int) int {
	if n <= 0 {
		return math.MaxInt32
	}
	return n
}

// publishState puts the state of a server on the list. The server's lock is held.
func (f *Fleet) publishState(i int, state serverState) { f.publish(i, state, false) }

// publish puts the state of a server on the list. The server's lock is held, or the fleet isn't shared yet.
func (f *Fleet) publish(i int, state serverState, listedBeforeRun bool) {
	s := f.Servers[i]
	startedAtMS := int64(0)
	if s.machine.startedAt >= 0 {
		startedAtMS = f.eventLog.WallTime(s.machine.startedAt).UnixMilli()
	}
	f.List.set(listEntry{UID: s.UID, AZ: f.Config.Zones[s.Zone], Model: s.Kind, PodGroup: f.Cell(i), Weight: s.weight, BootMS: startedAtMS,
		serverNumber: i, state: state, endpoints: s.addresses, listedBeforeRun: listedBeforeRun})
}

// Cell returns the cell of a server, which is the pod group on the list: a group of servers that together detect repeats of a stamped
// product's requests.
func (f *Fleet) Cell(i int) int {
	if f.Config.CellSize <= 0 {
		return 0
	}
	return i / f.Config.CellSize
}

// ServerLocations returns the zones and cells of the servers, as ledger.Parameters needs them.
func (f *Fleet) ServerLocations() []ledger.ServerLocation {
	locations := make([]ledger.ServerLocation, len(f.Servers))
	for i, s := range f.Servers {
		locations[i] = ledger.ServerLocation{Zone: s.Zone, Cell: f.Cell(i)}
	}
	return locations
}

// StartDiscovery starts a discovery server for a proxy in a zone, on a loopback address.
func (f *Fleet) StartDiscovery(proxy, zone int) (*DiscoveryServer, error) {
	return f.addDiscovery(f.List.StartDiscovery(proxy, zone))
}

// StartDiscoveryAt starts a discovery server for a proxy in the first zone, at the given address.
func (f *Fleet) StartDiscoveryAt(address string) (*DiscoveryServer, error) {
	return f.addDiscovery(f.List.startDiscoveryAt(address, 0, 0))
}

// addDiscovery adds a started discovery server to the fleet, unless it has failed to start.
func (f *Fleet) addDiscovery(discovery *DiscoveryServer, err error) (*DiscoveryServer, error) {
	if err != nil {
		return nil, err
	}
	discovery.delay = f.Config.DiscoveryDelay
	f.discoveryServers = append(f.discoveryServers, discovery)
	return discovery, nil
}

// overloadCheckInterval is the time between two checks of each server for overload. It is a thirtieth of the shortest overload window
// in use.
const overloadCheckInterval = 100 * time.Millisecond

// checkOverload makes overloaded cold servers collapse, until the fleet is stopped.
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
			ratio, collapses := s.machine.CheckOverload(f.eventLog.Now())
			if collapses && !s.down {
				s.collapsed = true
				f.eventLog.Record(ledger.Event{Kind: ledger.ColdServerCollapsed, Server: i, Proxy: ledger.None, Product: ledger.None,
					Note: fmt.Sprintf("demand of %.1f times its capacity for %s; %d connections", ratio, f.Config.ColdStart.OverloadWindow, s.machine.established)})
				f.crash(s)
				f.publishState(i, stateGone)
			}
			s.mu.Unlock()
		}
	}
}

// crash stops a server at once and resets its connections. Its lock is held.
func (f *Fleet) crash(s *Server) {
	s.down = true
	s.closeListeners()
	for c := range s.conns {
		c.end(true)
	}
	s.machine.Restart(f.eventLog.Now())
	s.machine.startedAt = -1
}

// Stop stops all servers and discovery servers. It may be called more than once.
func (f *Fleet) Stop() {
	select {
	case <-f.stop:
		return
	default:
	}
	close(f.stop)
	f.background.Wait()
	for _, restore := range f.restoreAddresses {
		restore()
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
	for _, discovery := range f.discoveryServers {
		discovery.Close()
	}
}

// EstablishedCounts returns the number of established connections of each server.
func (f *Fleet) EstablishedCounts() []int {
	counts := make([]int, len(f.Servers))
	for i, s := range f.Servers {
		s.mu.Lock()
		counts[i] = s.machine.established
		s.mu.Unlock()
	}
	return counts
}

// CollapsedCount returns the number of servers that have collapsed under overload.
func (f *Fleet) CollapsedCount() int {
	count := 0
	for _, s := range f.Servers {
		s.mu.Lock()
		if s.collapsed {
			count++
		}
		s.mu.Unlock()
	}
	return count
}

// RandomAddress returns the address, for a zone, of a random server that is up and not draining. After 64 draws without success it
// returns the first server's.
func (f *Fleet) RandomAddress(rng *rand.Rand, zone int) string {
	for range 64 {
		s := f.Servers[rng.IntN(len(f.Servers))]
		s.mu.Lock()
		available := !s.down && !s.draining
		s.mu.Unlock()
		if available {
			return s.addresses[zone]
		}
	}
	return f.Servers[0].addresses[zone]
}

// fullUtilization is the utilization up to which the placement with full knowledge fills a server, and rebalancedUtilization the one
// at which it stops moving clients off a fuller server. Both are below backlogUtilization, above which messages are late.
const (
	fullUtilization       = 0.85
	rebalancedUtilization = 0.75
)

// BestAddress returns the address, for a zone, of the server at which a placement that knows the true state of all servers puts a new
// connection: where utilization times added load is lowest, since that is how the sum of utilization squared times capacity grows.
// The added load includes the cost of a group that is new to the server. It returns false if all servers are full.
func (f *Fleet) BestAddress(zone int, group uint64) (string, bool) {
	var best *Server
	lowestCost := math.Inf(1)
	now := f.eventLog.Now()
	for _, s := range f.Servers {
		s.mu.Lock()
		m := s.machine
		addedLoad := float64(f.Config.ConnLoad)
		if group != 0 && m.groupSizes[group] == 0 {
			addedLoad += m.GroupCost
		}
		utilization := (m.load + float64(len(m.setUpEnds))*float64(f.Config.ConnLoad) + m.GroupCost*float64(len(m.groupSizes)) + addedLoad) / m.Capacity(now)
		if len(m.setUpEnds) > 0 {
			utilization += float64(max(0, m.setUpEnds[len(m.setUpEnds)-1]-now)) / float64(ledger.Second)
		}
		if s.zoneDelays[zone] > 0 {
			utilization += 0.02
		}
		eligible := !s.down && !s.draining && s.faults == (serverFaults{}) && m.established+len(m.setUpEnds) < m.MaxConns && utilization < fullUtilization
		s.mu.Unlock()
		if cost := utilization * addedLoad; eligible && cost < lowestCost {
			best, lowestCost = s, cost
		}
	}
	if best == nil {
		return "", false
	}
	return best.addresses[zone], true
}

// Rebalance sends MOVE to the clients with the highest loads at servers that are too full, and to all at servers that are draining or
// mute, as a placement that knows the true state of all servers would.
func (f *Fleet) Rebalance() {
	now := f.eventLog.Now()
	for _, s := range f.Servers {
		s.mu.Lock()
		if s.machine.Utilization(now) > fullUtilization || s.draining || s.faults.mute {
			var established []*conn
			for c := range s.conns {
				if c.established {
					established = append(established, c)
				}
			}
			slices.SortFunc(established, func(a, b *conn) int { return cmp.Or(cmp.Compare(b.load, a.load), cmp.Compare(a.id, b.id)) })
			for _, c := range established {
				if s.machine.Utilization(now) < rebalancedUtilization && !s.draining && !s.faults.mute {
					break
				}
				c.moveClient()
			}
		}
		s.mu.Unlock()
	}
}

// Addresses returns the addresses of all servers for a zone, by server number.
func (f *Fleet) Addresses(zone int) []string {
	addresses := make([]string, len(f.Servers))
	for i, s := range f.Servers {
		addresses[i] = s.addresses[zone]
	}
	return addresses
}

// FirstAddress returns the address of the first server for a zone.
func (f *Fleet) FirstAddress(zone int) string { return f.Servers[0].addresses[zone] }

// errUnknownTrouble means that a script has a kind that is not in TroubleKinds.
var errUnknownTrouble = errors.New("unknown kind of trouble")

// drawNumbers draws count different numbers below total, or all of them if there are fewer, in ascending order.
func drawNumbers(rng *rand.Rand, total, count int) []int {
	chosen := rng.Perm(total)[:min(count, total)]
	slices.Sort(chosen)
	return chosen
}
