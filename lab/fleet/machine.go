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
	Cores           int
	Speed           float64
	MaxConns        int     // connections that stand, at most
	MaxQueuedSetUps int     // set-ups that wait, at most
	GroupCost       float64 // microseconds of work a second for each group that has a member here
	BaseMessageTime Micros  // what a message takes on an idle server
	ColdStart       ColdStart

	slowdown        float64 // times slower, by a trouble; 1 if none
	storeDelay      Micros  // what a slow store adds to each set-up
	startedAt       Micros  // when it started; less than 0 for long ago
	load            float64
	established     int
	groupSizes      map[uint64]int
	coreFreeAt      []Micros // when each core has done its set-ups
	setUpEnds       []Micros // ends of the set-ups in hand, soonest first
	recentSetUps    []setUpArrival
	overloadedSince Micros // since when it has been sent more than it bears; 0 if not
}

// ColdStart is how a server starts, and when it tips over: sent more than Multiple times what it can do, for Window.
type ColdStart struct {
	InitialShare     float64 // the share that it can do at the start
	WarmUpTime       Micros  // when it can do all
	OverloadMultiple float64
	OverloadWindow   Micros
}

type setUpArrival struct {
	at   Micros
	work float64
}

// NewMachine makes a machine that has been up for long.
func NewMachine(cores int, speed float64) *Machine {
	return &Machine{Cores: cores, Speed: speed, MaxConns: math.MaxInt32, MaxQueuedSetUps: math.MaxInt32, BaseMessageTime: 2 * ledger.Millisecond,
		slowdown: 1, startedAt: -1, groupSizes: map[uint64]int{}, coreFreeAt: make([]Micros, cores)}
}

// WarmShare is the share of its capacity that it has.
func (m *Machine) WarmShare(now Micros) float64 {
	if m.startedAt < 0 || m.ColdStart.WarmUpTime <= 0 || now-m.startedAt >= m.ColdStart.WarmUpTime {
		return 1
	}
	return m.ColdStart.InitialShare + (1-m.ColdStart.InitialShare)*float64(now-m.startedAt)/float64(m.ColdStart.WarmUpTime)
}

// Capacity is the work that it can do in a second, as of now.
func (m *Machine) Capacity(now Micros) float64 {
	return 1e6 * float64(m.Cores) * m.Speed * m.WarmShare(now) / m.slowdown
}

// Utilization is the share of the capacity that standing connections need; it may be above 1.
func (m *Machine) Utilization(now Micros) float64 {
	return (m.load + m.GroupCost*float64(len(m.groupSizes))) / m.Capacity(now)
}

// minSetUpShare is the share of a core that set-ups get on a server that is full: they are never starved wholly.
const minSetUpShare = 0.05

// QueueSetUp takes a set-up in and tells when it is done; false if the queue or the server is full.
func (m *Machine) QueueSetUp(now Micros, work float64) (Micros, bool) {
	m.recentSetUps = append(m.recentSetUps, setUpArrival{now, work})
	done, _ := slices.BinarySearch(m.setUpEnds, now+1)
	m.setUpEnds = slices.Delete(m.setUpEnds, 0, done)
	if len(m.setUpEnds) >= m.MaxQueuedSetUps || m.established+len(m.setUpEnds) >= m.MaxConns {
		return 0, false
	}
	core := 0
	for i := range m.coreFreeAt {
		if m.coreFreeAt[i] < m.coreFreeAt[core] {
			core = i
		}
	}
	left := max(minSetUpShare, 1-min(1, m.Utilization(now)))
	pace := m.Speed * m.WarmShare(now) / m.slowdown * left
	m.coreFreeAt[core] = max(now, m.coreFreeAt[core]) + Micros(math.Ceil(work/pace))
	end := m.coreFreeAt[core] + m.storeDelay
	at, _ := slices.BinarySearch(m.setUpEnds, end)
	m.setUpEnds = slices.Insert(m.setUpEnds, at, end)
	return end, true
}

// backlogUtilization is the use from which answers wait for a backlog and no longer only in a queue.
const backlogUtilization = 0.9

// MessageTime tells how long a message takes. Up to the knee it is the mean of a queue with so many cores (Sakasegawa's
// approximation); beyond, what is asked for and not done in two seconds, the time between a client's messages, is
// added.
func (m *Machine) MessageTime(now Micros) Micros {
	u := m.Utilization(now)
	cores, busy := float64(m.Cores), min(u, backlogUtilization)
	waits := math.Pow(busy, math.Sqrt(2*(cores+1))-1) / (cores * (1 - busy))
	took := float64(m.BaseMessageTime) * m.slowdown / m.Speed * (1 + waits)
	if u > backlogUtilization {
		took += (u - backlogUtilization) * 2e6
	}
	return Micros(took)
}

// AddConn counts a connection; Leave takes it back.
func (m *Machine) AddConn(load float64, group uint64) {
	m.established++
	m.load += load
	if group != 0 {
		m.groupSizes[group]++
	}
}

func (m *Machine) RemoveConn(load float64, group uint64) {
	m.established--
	m.load -= load
	if group == 0 {
		return
	}
	if m.groupSizes[group]--; m.groupSizes[group] <= 0 {
		delete(m.groupSizes, group)
	}
}

// ChangeLoad changes a connection's load.
func (m *Machine) ChangeLoad(from, to float64) { m.load += to - from }

// Restart makes it cold and empty.
func (m *Machine) Restart(now Micros) {
	m.startedAt, m.load, m.established, m.overloadedSince = now, 0, 0, 0
	m.groupSizes, m.setUpEnds, m.recentSetUps = map[uint64]int{}, nil, nil
	clear(m.coreFreeAt)
}

// CheckOverload tells whether it tips over now, and from how much: only a cold one does, sent more than the multiple of what
// it can do at each moment of the window. It is to be called every 100 ms or so.
func (m *Machine) CheckOverload(now Micros) (times float64, tips bool) {
	m.recentSetUps = slices.DeleteFunc(m.recentSetUps, func(a setUpArrival) bool { return now-a.at > ledger.Second })
	if m.startedAt < 0 || m.ColdStart.OverloadMultiple <= 0 || m.WarmShare(now) >= 1 {
		m.overloadedSince = 0
		return 0, false
	}
	asked := m.load + m.GroupCost*float64(len(m.groupSizes))
	for _, a := range m.recentSetUps {
		asked += a.work
	}
	times = asked / m.Capacity(now)
	if times <= m.ColdStart.OverloadMultiple {
		m.overloadedSince = 0
		return times, false
	}
	if m.overloadedSince == 0 {
		m.overloadedSince = now
	}
	return times, now-m.overloadedSince >= m.ColdStart.OverloadWindow
}
