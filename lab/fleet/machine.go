// Package fleet holds the stand-ins for servers and for discovery, made from the protocol's page. A server's
// capacity is simulated in time and burns no CPU, so that hundreds fit one machine. Troubles come by a script.
package fleet

import (
	"math"
	"slices"

	"hatchproxy/lab/ledger"
)

type Micros = ledger.Micros

// Machine is what a server can do, free of I/O and handed the time. Work is in microseconds of a core of speed 1.
type Machine struct {
	Cores     int
	Speed     float64
	ConnCap   int     // connections that stand, at most
	QueueCap  int     // set-ups that wait, at most
	GroupCost float64 // microseconds of work a second for each group that has a member here
	Base      Micros  // what a message takes on an idle server
	Cold      Cold

	slow     float64 // times slower, by a trouble; 1 if none
	store    Micros  // what a slow store adds to each set-up
	boot     Micros  // when it started; less than 0 for long ago
	load     float64
	standing int
	groups   map[uint64]int
	free     []Micros // when each core has done its set-ups
	queue    []Micros // ends of the set-ups in hand, soonest first
	sent     []arrival
	over     Micros // since when it has been sent more than it bears; 0 if not
}

// Cold is how a server starts, and when it tips over: sent more than Multiple times what it can do, for Window.
type Cold struct {
	From     float64 // the share that it can do at the start
	Warm     Micros  // when it can do all
	Multiple float64
	Window   Micros
}

type arrival struct {
	at   Micros
	work float64
}

// NewMachine makes a machine that has been up for long.
func NewMachine(cores int, speed float64) *Machine {
	return &Machine{Cores: cores, Speed: speed, ConnCap: math.MaxInt32, QueueCap: math.MaxInt32, Base: 2 * ledger.Millisecond,
		slow: 1, boot: -1, groups: map[uint64]int{}, free: make([]Micros, cores)}
}

// Warmth is the share of its capacity that it has.
func (m *Machine) Warmth(now Micros) float64 {
	if m.boot < 0 || m.Cold.Warm <= 0 || now-m.boot >= m.Cold.Warm {
		return 1
	}
	return m.Cold.From + (1-m.Cold.From)*float64(now-m.boot)/float64(m.Cold.Warm)
}

// Capacity is the work that it can do in a second, as of now.
func (m *Machine) Capacity(now Micros) float64 {
	return 1e6 * float64(m.Cores) * m.Speed * m.Warmth(now) / m.slow
}

// Use is the share of the capacity that standing connections need; it may be above 1.
func (m *Machine) Use(now Micros) float64 {
	return (m.load + m.GroupCost*float64(len(m.groups))) / m.Capacity(now)
}

// leastLeft is the share of a core that set-ups get on a server that is full: they are never starved wholly.
const leastLeft = 0.05

// SetUp takes a set-up in and tells when it is done; false if the queue or the server is full.
func (m *Machine) SetUp(now Micros, work float64) (Micros, bool) {
	m.sent = append(m.sent, arrival{now, work})
	done, _ := slices.BinarySearch(m.queue, now+1)
	m.queue = slices.Delete(m.queue, 0, done)
	if len(m.queue) >= m.QueueCap || m.standing+len(m.queue) >= m.ConnCap {
		return 0, false
	}
	core := 0
	for i := range m.free {
		if m.free[i] < m.free[core] {
			core = i
		}
	}
	left := max(leastLeft, 1-min(1, m.Use(now)))
	pace := m.Speed * m.Warmth(now) / m.slow * left
	m.free[core] = max(now, m.free[core]) + Micros(math.Ceil(work/pace))
	end := m.free[core] + m.store
	at, _ := slices.BinarySearch(m.queue, end)
	m.queue = slices.Insert(m.queue, at, end)
	return end, true
}

// knee is the use from which answers wait for a backlog and no longer only in a queue.
const knee = 0.9

// Message tells how long a message takes. Up to the knee it is the mean of a queue with so many cores (Sakasegawa's
// approximation); beyond, what is asked for and not done in two seconds, the time between a client's messages, is
// added.
func (m *Machine) Message(now Micros) Micros {
	u := m.Use(now)
	cores, busy := float64(m.Cores), min(u, knee)
	waits := math.Pow(busy, math.Sqrt(2*(cores+1))-1) / (cores * (1 - busy))
	took := float64(m.Base) * m.slow / m.Speed * (1 + waits)
	if u > knee {
		took += (u - knee) * 2e6
	}
	return Micros(took)
}

// Stand counts a connection; Leave takes it back.
func (m *Machine) Stand(load float64, group uint64) {
	m.standing++
	m.load += load
	if group != 0 {
		m.groups[group]++
	}
}

func (m *Machine) Leave(load float64, group uint64) {
	m.standing--
	m.load -= load
	if group == 0 {
		return
	}
	if m.groups[group]--; m.groups[group] <= 0 {
		delete(m.groups, group)
	}
}

// Change changes a connection's load.
func (m *Machine) Change(from, to float64) { m.load += to - from }

// Restart makes it cold and empty.
func (m *Machine) Restart(now Micros) {
	m.boot, m.load, m.standing, m.over = now, 0, 0, 0
	m.groups, m.queue, m.sent = map[uint64]int{}, nil, nil
	clear(m.free)
}

// Tick tells whether it tips over now, and from how much: only a cold one does, sent more than the multiple of what
// it can do at each moment of the window. It is to be called every 100 ms or so.
func (m *Machine) Tick(now Micros) (times float64, tips bool) {
	m.sent = slices.DeleteFunc(m.sent, func(a arrival) bool { return now-a.at > ledger.Second })
	if m.boot < 0 || m.Cold.Multiple <= 0 || m.Warmth(now) >= 1 {
		m.over = 0
		return 0, false
	}
	asked := m.load + m.GroupCost*float64(len(m.groups))
	for _, a := range m.sent {
		asked += a.work
	}
	times = asked / m.Capacity(now)
	if times <= m.Cold.Multiple {
		m.over = 0
		return times, false
	}
	if m.over == 0 {
		m.over = now
	}
	return times, now-m.over >= m.Cold.Window
}
