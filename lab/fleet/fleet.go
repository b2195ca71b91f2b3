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

// Kind is a kind of machine.
type Kind struct {
	Name   string
	Share  float64 // of the servers, beside the other kinds' shares
	Cores  int
	Speed  float64 // of a core
	Spread float64 // by which servers of a kind differ, as a share
}

// Plan is what a fleet is made of.
type Plan struct {
	Servers    int
	Zones      []string
	Between    Micros // one way between two zones
	Kinds      []Kind
	CellSize   int
	SetUp      Micros // work of a set-up, on average
	Probe      Micros // work of a probe
	Load       Micros // a connection's work in a second, on average
	LoadSpread float64
	LoadChange Micros  // how long a load stays, on average; 0 for ever
	GroupCost  float64 // mean loads that each server pays for each group
	ConnCap    int     // a core's
	QueueCap   int     // a core's
	Message    Micros  // what a message takes on an idle core of speed 1
	Cold       Cold
	Notice     Micros // how late discovery tells
	Weights    string // "none", "nominal" or "rough"
	TellsLoad  bool
	Probes     bool
	Sheds      bool // a draining server says MOVE to those that stand there
}

// Fleet is the servers and the list of them.
type Fleet struct {
	Plan    Plan
	Servers []*Server
	List    *List
	book    *ledger.Book
	fronts  []*Front
	rng     *rand.Rand
	stop    chan struct{}
	ending  sync.WaitGroup
	undo    map[string]func()
}

// Start builds a fleet; the same seed gives the same.
func Start(book *ledger.Book, plan Plan, seed uint64) (*Fleet, error) {
	f := &Fleet{Plan: plan, List: NewList(book), book: book, rng: rand.New(rand.NewPCG(seed, 0xf1ee7)),
		stop: make(chan struct{}), undo: map[string]func(){}}
	for i := range plan.Servers {
		s, err := f.build(i)
		if err != nil {
			f.Stop()
			return nil, err
		}
		f.Servers = append(f.Servers, s)
	}
	for i := range f.Servers {
		f.list(i, ready, true)
	}
	f.ending.Add(1)
	go f.tick()
	return f, nil
}

// kindOf deals the kinds out by their shares, evenly over the numbers, so that small fleets have each.
func (p Plan) kindOf(server int) Kind {
	total := 0.0
	for _, k := range p.Kinds {
		total += k.Share
	}
	x := math.Mod(float64(server)*0.6180339887498949+0.5, 1) * total
	for _, k := range p.Kinds {
		if x -= k.Share; x < 0 {
			return k
		}
	}
	return p.Kinds[len(p.Kinds)-1]
}

func (f *Fleet) build(i int) (*Server, error) {
	p, rng := f.Plan, rand.New(rand.NewPCG(f.rng.Uint64(), uint64(i)))
	kind := p.kindOf(i)
	m := NewMachine(kind.Cores, kind.Speed*(1+kind.Spread*(2*rng.Float64()-1)))
	m.ConnCap, m.QueueCap = orMany(p.ConnCap*kind.Cores), orMany(p.QueueCap*kind.Cores)
	m.GroupCost, m.Base, m.Cold = p.GroupCost*float64(p.Load), p.Message, p.Cold
	s := &Server{
		Number: i, UID: fmt.Sprintf("s%03d", i), Zone: i % len(p.Zones), Kind: kind.Name, book: f.book,
		tells: p.TellsLoad, probes: p.Probes, work: float64(p.SetUp), probing: float64(p.Probe), changes: p.LoadChange,
		machine: m, rng: rng, conns: map[*conn]bool{},
		// Lognormal about the mean.
		loads: func(rng *rand.Rand) float64 {
			return float64(p.Load) * math.Exp(p.LoadSpread*rng.NormFloat64()-p.LoadSpread*p.LoadSpread/2)
		},
	}
	switch size := float64(m.Cores) * m.Speed; p.Weights {
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
			way = p.Between
		}
		s.way = append(s.way, way)
	}
	return s, s.open()
}

func orMany(n int) int {
	if n <= 0 {
		return math.MaxInt32
	}
	return n
}

// tell puts a server's state on the list. The server's lock is held, or nobody else is there yet.
func (f *Fleet) tell(i int, st state) { f.list(i, st, false) }

func (f *Fleet) list(i int, st state, old bool) {
	s := f.Servers[i]
	boot := int64(0)
	if s.machine.boot >= 0 {
		boot = f.book.Time(s.machine.boot).UnixMilli()
	}
	f.List.set(entry{UID: s.UID, AZ: f.Plan.Zones[s.Zone], Model: s.Kind, PodGroup: f.Cell(i), Weight: s.weight, BootMS: boot,
		server: i, state: st, endpoints: s.addresses, old: old})
}

// Cell is the group of servers that drops a stamped product's repeats.
func (f *Fleet) Cell(i int) int {
	if f.Plan.CellSize <= 0 {
		return 0
	}
	return i / f.Plan.CellSize
}

// Places are where the servers stand, for the judge.
func (f *Fleet) Places() []ledger.Place {
	places := make([]ledger.Place, len(f.Servers))
	for i, s := range f.Servers {
		places[i] = ledger.Place{Zone: s.Zone, Cell: f.Cell(i)}
	}
	return places
}

// Front opens a discovery for a proxy of a zone.
func (f *Fleet) Front(proxy, zone int) (*Front, error) {
	return f.keep(f.List.Open(proxy, zone))
}

// FrontAt opens one at an address, for the first zone.
func (f *Fleet) FrontAt(address string) (*Front, error) { return f.keep(f.List.openAt(address, 0, 0)) }

func (f *Fleet) keep(front *Front, err error) (*Front, error) {
	if err != nil {
		return nil, err
	}
	front.lag = f.Plan.Notice
	f.fronts = append(f.fronts, front)
	return front, nil
}

// ticking is how often servers are looked at: a thirtieth of the shortest window in use.
const ticking = 100 * time.Millisecond

func (f *Fleet) tick() {
	defer f.ending.Done()
	t := time.NewTicker(ticking)
	defer t.Stop()
	for {
		select {
		case <-f.stop:
			return
		case <-t.C:
		}
		for i, s := range f.Servers {
			s.mu.Lock()
			times, tips := s.machine.Tick(f.book.Now())
			if tips && !s.down {
				s.tipped = true
				f.book.Write(ledger.Event{Kind: ledger.TippedOver, Server: i, Proxy: ledger.None, Product: ledger.None,
					Note: fmt.Sprintf("%.1f times what it could do, for %s; %d stood there", times, f.Plan.Cold.Window, s.machine.standing)})
				f.fall(s)
				f.tell(i, gone)
			}
			s.mu.Unlock()
		}
	}
}

// fall takes a server down at once. Its lock is held.
func (f *Fleet) fall(s *Server) {
	s.down = true
	s.shutListeners()
	for c := range s.conns {
		c.end(true)
	}
	s.machine.Restart(f.book.Now())
	s.machine.boot = -1
}

// Stop ends all servers and fronts.
func (f *Fleet) Stop() {
	select {
	case <-f.stop:
		return
	default:
	}
	close(f.stop)
	f.ending.Wait()
	for _, undo := range f.undo {
		undo()
	}
	for _, s := range f.Servers {
		s.mu.Lock()
		s.down = true
		s.shutListeners()
		for c := range s.conns {
			c.release()
			_ = c.Close()
		}
		s.mu.Unlock()
	}
	for _, front := range f.fronts {
		front.Close()
	}
}

// Standing is how many connections stand at each server now.
func (f *Fleet) Standing() []int {
	n := make([]int, len(f.Servers))
	for i, s := range f.Servers {
		s.mu.Lock()
		n[i] = s.machine.standing
		s.mu.Unlock()
	}
	return n
}

// Tipped counts the servers that have tipped over.
func (f *Fleet) Tipped() int {
	n := 0
	for _, s := range f.Servers {
		s.mu.Lock()
		if s.tipped {
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
		ok := !s.down && !s.sitting
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
	full     = 0.85
	relieved = 0.75
)

// BestAddress is where a policy that sees the true state of all servers sends a connection: where the added work,
// with what a new group costs there, weighs least, as use squared by capacity has it. False where all are full.
func (f *Fleet) BestAddress(zone int, group uint64) (string, bool) {
	var best *Server
	least := math.Inf(1)
	now := f.book.Now()
	for _, s := range f.Servers {
		s.mu.Lock()
		m := s.machine
		added := float64(f.Plan.Load)
		if group != 0 && m.groups[group] == 0 {
			added += m.GroupCost
		}
		use := (m.load + float64(len(m.queue))*float64(f.Plan.Load) + m.GroupCost*float64(len(m.groups)) + added) / m.Capacity(now)
		if len(m.queue) > 0 {
			use += float64(max(0, m.queue[len(m.queue)-1]-now)) / float64(ledger.Second)
		}
		if s.way[zone] > 0 {
			use += 0.02
		}
		fit := !s.down && !s.sitting && s.fault == (fault{}) && m.standing+len(m.queue) < m.ConnCap && use < full
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

// Relieve moves the heaviest connections off servers that are too full, as a policy that sees all would.
func (f *Fleet) Relieve() {
	now := f.book.Now()
	for _, s := range f.Servers {
		s.mu.Lock()
		if s.machine.Use(now) > full || s.sitting || s.fault.mute {
			var standing []*conn
			for c := range s.conns {
				if c.stands {
					standing = append(standing, c)
				}
			}
			slices.SortFunc(standing, func(a, b *conn) int { return cmp.Or(cmp.Compare(b.load, a.load), cmp.Compare(a.id, b.id)) })
			for _, c := range standing {
				if s.machine.Use(now) < relieved && !s.sitting && !s.fault.mute {
					break
				}
				c.sendAway()
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

var errKind = errors.New("there is no such trouble")

// choose draws n different servers.
func choose(rng *rand.Rand, servers, n int) []int {
	chosen := rng.Perm(servers)[:min(n, servers)]
	slices.Sort(chosen)
	return chosen
}
