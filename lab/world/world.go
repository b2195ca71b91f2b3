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
	Rng  *rand.Rand
	now  logic.Micros
	due  events
	born int
	cut  map[[2]int]bool
	Ways Ways
}

// Ways is how messages fare between nodes that are not cut off from each other.
type Ways struct {
	Lost, Twice      float64      // share of messages
	Soonest, Longest logic.Micros // how long one takes, evenly drawn
}

type event struct {
	at   logic.Micros
	born int
	do   func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].born < e[j].born
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// New makes one; all that is left to chance in it is drawn from the seed.
func New(seed int64, ways Ways) *World {
	return &World{Rng: rand.New(rand.NewSource(seed)), cut: map[[2]int]bool{}, Ways: ways}
}

// Now is the true time, which no node knows.
func (w *World) Now() logic.Micros { return w.now }

// After has something happen a while later.
func (w *World) After(wait logic.Micros, do func()) {
	w.born++
	heap.Push(&w.due, event{w.now + max(wait, 0), w.born, do})
}

// Run lets all happen that is due until a time.
func (w *World) Run(until logic.Micros) {
	for len(w.due) > 0 && w.due[0].at <= until {
		e := heap.Pop(&w.due).(event)
		w.now = e.at
		e.do()
	}
	w.now = max(w.now, until)
}

// Cut has nothing pass from one node to another, or has it pass again. What is under way arrives.
func (w *World) Cut(from, to int, cut bool) { w.cut[[2]int{from, to}] = cut }

// Send has a message arrive some time later, twice, or never.
func (w *World) Send(from, to int, arrives func()) {
	if w.cut[[2]int{from, to}] || w.Rng.Float64() < w.Ways.Lost {
		return
	}
	for range 1 + w.chance(w.Ways.Twice) {
		w.After(w.Ways.Soonest+logic.Micros(w.Rng.Int63n(int64(w.Ways.Longest-w.Ways.Soonest+1))), arrives)
	}
}

func (w *World) chance(of float64) int {
	if w.Rng.Float64() < of {
		return 1
	}
	return 0
}

// Clock is a node's: it runs at a rate beside the true time, from a start of its own.
type Clock struct {
	w     *World
	Rate  float64
	Start logic.Micros
}

// Clock makes one whose rate is off by up to so much, and which shows anything at the start.
func (w *World) Clock(off float64) Clock {
	return Clock{w, 1 + off*(2*w.Rng.Float64()-1), logic.Micros(w.Rng.Int63n(int64(3600 * logic.Second)))}
}

// Now is what it shows.
func (c Clock) Now() logic.Micros { return c.Start + logic.Micros(float64(c.w.now)*c.Rate) }
