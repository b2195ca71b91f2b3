// Package world simulates the surroundings of a decision module that gets messages and the time from its caller: nodes with clocks
// that drift, and a network that loses, delays and duplicates messages. Events happen one after another, in simulated time.
// A run is determined by its seed.
package world

import (
	"container/heap"
	"math/rand"

	"hatchproxy/logic"
)

// World is one simulation. It must be used from one goroutine only.
type World struct {
	Rng          *rand.Rand // the source of all random decisions; callers may draw from it, too
	now          logic.Micros
	pending      eventQueue
	lastSequence int
	cuts         map[[2]int]bool // by sender and receiver
	Network      Network
}

// Network describes the message traffic between nodes that are not cut off from each other.
type Network struct {
	LossProbability, DuplicateProbability float64      // of each message, 0 to 1
	MinDelay, MaxDelay                    logic.Micros // bounds of the delay, which is evenly distributed
}

// event is a call that is due at a time.
type event struct {
	at       logic.Micros
	sequence int // orders events of the same time
	action   func()
}

// eventQueue is a heap of events, the earliest first.
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

// New returns a simulation whose random decisions depend on the seed alone.
func New(seed int64, network Network) *World {
	return &World{Rng: rand.New(rand.NewSource(seed)), cuts: map[[2]int]bool{}, Network: network}
}

// Now returns the real time of the simulation, which nodes don't see; they have a Clock.
func (w *World) Now() logic.Micros { return w.now }

// After schedules a call after a delay; a negative one counts as 0.
func (w *World) After(delay logic.Micros, action func()) {
	w.lastSequence++
	heap.Push(&w.pending, event{w.now + max(delay, 0), w.lastSequence, action})
}

// RunUntil makes all calls that are due by a time, in order, and sets the time to it.
func (w *World) RunUntil(until logic.Micros) {
	for len(w.pending) > 0 && w.pending[0].at <= until {
		e := heap.Pop(&w.pending).(event)
		w.now = e.at
		e.action()
	}
	w.now = max(w.now, until)
}

// SetCut cuts the link from one node to another, or restores it. Messages that are under way still arrive.
func (w *World) SetCut(from, to int, cut bool) { w.cuts[[2]int{from, to}] = cut }

// Send sends a message: receive is called after a random delay, once for each copy that arrives, or never if the message is lost.
func (w *World) Send(from, to int, receive func()) {
	if w.cuts[[2]int{from, to}] || w.Rng.Float64() < w.Network.LossProbability {
		return
	}
	for range 1 + w.oneWithProbability(w.Network.DuplicateProbability) {
		w.After(w.Network.MinDelay+logic.Micros(w.Rng.Int63n(int64(w.Network.MaxDelay-w.Network.MinDelay+1))), receive)
	}
}

// oneWithProbability returns 1 with a probability, otherwise 0.
func (w *World) oneWithProbability(probability float64) int {
	if w.Rng.Float64() < probability {
		return 1
	}
	return 0
}

// Clock is a node's own clock. It runs Rate times as fast as the real time and showed Offset when the simulation started.
type Clock struct {
	world  *World
	Rate   float64
	Offset logic.Micros
}

// NewClock returns a clock with a random offset of less than an hour, whose rate differs from 1 by at most maxDrift.
func (w *World) NewClock(maxDrift float64) Clock {
	return Clock{w, 1 + maxDrift*(2*w.Rng.Float64()-1), logic.Micros(w.Rng.Int63n(int64(3600 * logic.Second)))}
}

// Now returns the time that the clock shows.
func (c Clock) Now() logic.Micros { return c.Offset + logic.Micros(float64(c.world.now)*c.Rate) }
