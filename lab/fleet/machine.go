// Package fleet provides stand-ins for the servers and the discovery service that a proxy works with, after the description of
// the protocol. A server's capacity is simulated by delays and burns no CPU, so that hundreds of servers fit on one machine.
// Scripted troubles disturb servers and discovery during a run.
package fleet

import (
	"math"
	"slices"

	"hatchproxy/lab/ledger"
)

// Micros is a time since the event log's start, or a duration, in whole microseconds.
type Micros = ledger.Micros

// Machine simulates the capacity of a server. It does no I/O and is given the time by its caller. Work is in microseconds of a
// core of speed 1.
type Machine struct {
	Cores           int
	Speed           float64
	MaxConns        int     // established connections and queued set-ups, at most
	MaxQueuedSetUps int     // set-ups in progress, at most
	GroupCost       float64 // work per second for each group that has a connection here
	BaseMessageTime Micros  // answer time of a message on an idle server of speed 1
	ColdStart       ColdStart

	slowdown        float64 // factor by which a trouble makes it slower; 1 if none
	storeDelay      Micros  // time that a slow store adds to each set-up
	startedAt       Micros  // negative if it started long ago and is warm
	load            float64 // work per second of the established connections
	established     int
	groupSizes      map[uint64]int // connections by group
	coreFreeAt      []Micros       // for each core, when its queued set-ups are done
	setUpEnds       []Micros       // end times of the set-ups in progress, ascending
	recentSetUps    []setUpArrival // those of the last second, also the rejected ones
	overloadedSince Micros         // since when the demand has exceeded the overload limit; 0 if it doesn't
}

// ColdStart describes how a restarted server warms up, and when an overload makes it collapse: if the demand exceeds
// OverloadMultiple times its present capacity throughout OverloadWindow.
type ColdStart struct {
	InitialShare     float64 // share of the full capacity at the start
	WarmUpTime       Micros  // time from the start to the full capacity, which grows linearly
	OverloadMultiple float64 // 0 if overloads have no such effect
	OverloadWindow   Micros
}

// setUpArrival is a set-up that was requested, with its work.
type setUpArrival struct {
	at   Micros
	work float64
}

// NewMachine returns a machine that is warm, idle and without limits on connections and queue.
func NewMachine(cores int, speed float64) *Machine {
	return &Machine{Cores: cores, Speed: speed, MaxConns: math.MaxInt32, MaxQueuedSetUps: math.MaxInt32, BaseMessageTime: 2 * ledger.Millisecond,
		slowdown: 1, startedAt: -1, groupSizes: map[uint64]int{}, coreFreeAt: make([]Micros, cores)}
}

// WarmShare returns the share of its full capacity that the machine has at a time: 1 if it is warm.
func (m *Machine) WarmShare(now Micros) float64 {
	if m.startedAt < 0 || m.ColdStart.WarmUpTime <= 0 || now-m.startedAt >= m.ColdStart.WarmUpTime {
		return 1
	}
	return m.ColdStart.InitialShare + (1-m.ColdStart.InitialShare)*float64(now-m.startedAt)/float64(m.ColdStart.WarmUpTime)
}

// Capacity returns the work per second that the machine can do at a time.
func (m *Machine) Capacity(now Micros) float64 {
	return 1e6 * float64(m.Cores) * m.Speed * m.WarmShare(now) / m.slowdown
}

// Utilization returns the share of the capacity that the established connections need; it may be above 1.
func (m *Machine) Utilization(now Micros) float64 {
	return (m.load + m.GroupCost*float64(len(m.groupSizes))) / m.Capacity(now)
}

// minSetUpShare is the share of a core that set-ups get at least, so that a full server doesn't starve them.
const minSetUpShare = 0.05

// QueueSetUp adds a set-up with the given work to the core that is free first, and returns when it will be done. It returns false
// if the queue or the server is full.
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
	setUpShare := max(minSetUpShare, 1-min(1, m.Utilization(now)))
	speed := m.Speed * m.WarmShare(now) / m.slowdown * setUpShare
	m.coreFreeAt[core] = max(now, m.coreFreeAt[core]) + Micros(math.Ceil(work/speed))
	end := m.coreFreeAt[core] + m.storeDelay
	index, _ := slices.BinarySearch(m.setUpEnds, end)
	m.setUpEnds = slices.Insert(m.setUpEnds, index, end)
	return end, true
}

// backlogUtilization is the utilization above which a backlog delays answers in addition to the usual queueing.
const backlogUtilization = 0.9

// MessageTime returns how long the answer to a message takes. Up to backlogUtilization it is the mean of a queue with as many
// servers as there are cores, by Sakasegawa's approximation. Above it, the work is added that arrives and is not done in two
// seconds, which is the time between a client's messages.
func (m *Machine) MessageTime(now Micros) Micros {
	utilization := m.Utilization(now)
	cores, busy := float64(m.Cores), min(utilization, backlogUtilization)
	queueing := math.Pow(busy, math.Sqrt(2*(cores+1))-1) / (cores * (1 - busy))
	duration := float64(m.BaseMessageTime) * m.slowdown / m.Speed * (1 + queueing)
	if utilization > backlogUtilization {
		duration += (utilization - backlogUtilization) * 2e6
	}
	return Micros(duration)
}

// AddConn adds an established connection with a load, in work per second, and a group, 0 for none.
func (m *Machine) AddConn(load float64, group uint64) {
	m.established++
	m.load += load
	if group != 0 {
		m.groupSizes[group]++
	}
}

// RemoveConn removes a connection that AddConn has added.
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

// ChangeLoad changes the load of an established connection.
func (m *Machine) ChangeLoad(from, to float64) { m.load += to - from }

// Restart makes the machine cold and removes all its connections and set-ups.
func (m *Machine) Restart(now Micros) {
	m.startedAt, m.load, m.established, m.overloadedSince = now, 0, 0, 0
	m.groupSizes, m.setUpEnds, m.recentSetUps = map[uint64]int{}, nil, nil
	clear(m.coreFreeAt)
}

// CheckOverload returns whether the machine collapses now, and the ratio of the demand to its capacity. Only a cold machine
// collapses, namely if the demand has exceeded the overload limit at each call throughout the window. The demand is the
// established connections' load and the set-ups of the last second. It is to be called about every 100 ms.
func (m *Machine) CheckOverload(now Micros) (ratio float64, collapses bool) {
	m.recentSetUps = slices.DeleteFunc(m.recentSetUps, func(a setUpArrival) bool { return now-a.at > ledger.Second })
	if m.startedAt < 0 || m.ColdStart.OverloadMultiple <= 0 || m.WarmShare(now) >= 1 {
		m.overloadedSince = 0
		return 0, false
	}
	demand := m.load + m.GroupCost*float64(len(m.groupSizes))
	for _, a := range m.recentSetUps {
		demand += a.work
	}
	ratio = demand / m.Capacity(now)
	if ratio <= m.ColdStart.OverloadMultiple {
		m.overloadedSince = 0
		return ratio, false
	}
	if m.overloadedSince == 0 {
		m.overloadedSince = now
	}
	return ratio, now-m.overloadedSince >= m.ColdStart.OverloadWindow
}
