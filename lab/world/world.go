// Package world is a simulated one, for decision modules that are fed messages and time: nodes with clocks of their own, a network
// that loses, delays and doubles, and one order of events. One seed, one run.
package world

import (
	"container/heap"
	"math/rand"

	"hatchproxy/logic"
)

// World is one. Its methods are for one goroutine.
type World struct {
	Rng          *rand.Rand
	now          logic.Micros
	pending      eventQueue
	lastSequence int
	cuts         map[[2]int]bool
	Network      Network
}

// Network is how messages fare between nodes that are not cut off from each other.
type Network struct {
	LossRate, DuplicateRate float64      // share of messages
	MinDelay, MaxDelay      logic.Micros // how long one takes, evenly drawn
}

type event struct {
	at       logic.Micros
	sequence int
	action   func()
}

type eventQueue []event

func (e eventQueue) Len() int { return len(e) }
func (e eventQueue) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].sequence < e[j].sequence
}
func (e eventQueue) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *eventQueue) Push(x any)   { *e = append(*e, x.(event)) }
func (e *eventQueue) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// New makes one; all that is left to chance in it is drawn from the seed.
func New(seed int64, ways Network) *World {
	return &World{Rng: rand.New(rand.NewSource(seed)), cuts: map[[2]int]bool{}, Network: ways}
}

// Now is the true time, which no node knows.
func (w *World) Now() logic.Micros { return w.now }

// After has something happen a while later.
func (w *World) After(wait logic.Micros, do func()) {
	w.lastSequence++
	heap.Push(&w.pending, event{w.now + max(wait, 0), w.lastSequence, do})
}

// RunUntil lets all happen that is due until a time.
func (w *World) RunUntil(until logic.Micros) {
	for len(w.pending) > 0 && w.pending[0].at <= until {
		e := heap.Pop(&w.pending).(event)
		w.now = e.at
		e.action()
	}
	w.now = max(w.now, until)
}

// SetCut has nothing pass from one node to another, or has it pass again. What is under way arrives.
func (w *World) SetCut(from, to int, cut bool) { w.cuts[[2]int{from, to}] = cut }

// Send has a message arrive some time later, twice, or never.
func (w *World) Send(from, to int, arrives func()) {
	if w.cuts[[2]int{from, to}] || w.Rng.Float64() < w.Network.LossRate {
		return
	}
	for range 1 + w.oneWithProbability(w.Network.DuplicateRate) {
		w.After(w.Network.MinDelay+logic.Micros(w.Rng.Int63n(int64(w.Network.MaxDelay-w.Network.MinDelay+1))), arrives)
	}
}

func (w *World) oneWithProbability(of float64) int {
	if w.Rng.Float64() < of {
		return 1
	}
	return 0
}

// Clock is a node's: it runs at a rate beside the true time, from a start of its own.
type Clock struct {
	world  *World
	Rate   float64
	Offset logic.Micros
}

// NewClock makes one whose rate is off by up to so much, and which shows anything at the start.
func (w *World) NewClock(off float64) Clock {
	return Clock{w, 1 + off*(2*w.Rng.Float64()-1), logic.Micros(w.Rng.Int63n(int64(3600 * logic.Second)))}
}

// Now is what it shows.
func (c Clock) Now() logic.Micros { return c.Offset + logic.Micros(float64(c.world.now)*c.Rate) }
