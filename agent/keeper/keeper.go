// Package keeper decides when an instance is started, and when it is a crash loop. It is free of I/O: it is handed the
// time and chance, hears what the process did, and says what to do.
package keeper

import (
	"math/rand"

	"hatchproxy/logic"
)

// State is what an instance is at.
type State string

const (
	Stopped  State = "stopped"
	Starting State = "starting"
	Ready    State = "ready"
	Waiting  State = "waiting" // for its next start
	Looping  State = "crash-loop"
	Leaving  State = "leaving"
)

// Do is what is to be done now.
type Do uint8

const (
	Nothing Do = iota
	Start
	Leave // ask it to go
	Kill
)

const (
	// first and longest are the waits before a start anew, doubling; a third of each is left to chance so that thirty
	// that fell together do not come back together.
	first   = 250 * logic.Millisecond
	longest = 15 * logic.Second
	// sound is how long an instance must have been ready for its falls before to be forgotten.
	sound = 20 * logic.Second
	// loop is after how many falls in a row it is a crash loop, and rest how long is waited then between two starts.
	loop = 5
	rest = logic.Second * 60
	// patience is how long a start may take until it is ready: the list may be late. One that takes longer has fallen.
	patience = 20 * logic.Second
	// grace is how long one that was asked to go may take: the longest hard limit and what standing clients need.
	grace = 8 * logic.Second
)

// Keeper keeps one instance. Its zero value has it stopped; NewKeeper gives it chance.
type Keeper struct {
	rng     *rand.Rand
	state   State
	since   logic.Micros
	next    logic.Micros // its next start
	falls   int
	why     string
	wanted  bool
	restart uint64 // the restart that it has done
	asked   uint64 // the one that is wanted
	alive   bool   // a process is there
	starts  int
}

// New makes a keeper of an instance that does not run.
func New(seed int64) *Keeper { return &Keeper{rng: rand.New(rand.NewSource(seed)), state: Stopped} }

// Want tells whether it is to run, and the number of the last restart.
func (k *Keeper) Want(now logic.Micros, run bool, restart uint64) {
	if run && !k.wanted {
		k.falls, k.next = 0, now
	}
	if run && k.state == Looping && restart > k.asked {
		k.falls, k.next = 0, now // an operator says try again
	}
	k.wanted, k.asked = run, max(k.asked, restart)
	if !k.alive && k.starts == 0 {
		k.restart = k.asked // its first start does for all that were wanted before
	}
}

// Adopt tells that a process of it was there already, and how far it was.
func (k *Keeper) Adopt(now logic.Micros, restart uint64, ready bool) {
	k.alive, k.starts, k.restart, k.asked = true, 1, restart, max(k.asked, restart)
	k.to(now, Starting)
	if ready {
		k.to(now, Ready)
	}
}

func (k *Keeper) to(now logic.Micros, s State) { k.state, k.since = s, now }

// Began tells that a process was started; Failed that none could be.
func (k *Keeper) Began(now logic.Micros) {
	k.alive, k.starts, k.restart = true, k.starts+1, k.asked
	k.to(now, Starting)
}

func (k *Keeper) Failed(now logic.Micros, why string) { k.fall(now, why) }

// Answers tells that it is ready.
func (k *Keeper) Answers(now logic.Micros) {
	if k.state == Starting {
		k.to(now, Ready)
	}
	if k.state == Ready && now-k.since >= sound {
		k.falls = 0
	}
}

// Ended tells that its process has.
func (k *Keeper) Ended(now logic.Micros, why string) {
	k.alive = false
	if k.state == Leaving {
		k.to(now, Stopped)
		k.next = now
		return
	}
	if k.state == Ready && now-k.since >= sound {
		k.falls = 0
	}
	k.fall(now, why)
}

func (k *Keeper) fall(now logic.Micros, why string) {
	k.falls, k.why = k.falls+1, why
	wait := min(first<<min(k.falls-1, 10), longest)
	state := Waiting
	if k.falls >= loop {
		wait, state = rest, Looping
	}
	k.next = now + wait - logic.Micros(k.rng.Int63n(int64(wait)/3))
	k.to(now, state)
}

// Next says what to do now, and when to ask again at the latest.
func (k *Keeper) Next(now logic.Micros) (Do, logic.Micros) {
	const soon = 100 * logic.Millisecond
	switch {
	case k.alive && k.state == Leaving:
		if now-k.since >= grace {
			return Kill, soon
		}
		return Nothing, min(soon, grace)
	case k.alive && (!k.wanted || k.restart < k.asked):
		k.to(now, Leaving)
		return Leave, soon
	case k.alive && k.state == Starting && now-k.since >= patience:
		k.why = "it was not ready in time"
		return Kill, soon
	case k.alive:
		return Nothing, soon
	case !k.wanted:
		if k.state != Stopped {
			k.to(now, Stopped)
		}
		return Nothing, soon
	case now >= k.next:
		return Start, soon
	}
	return Nothing, min(soon, k.next-now)
}

// State tells what it is at, how often it has fallen in a row, and why it did last.
func (k *Keeper) State() (s State, falls int, why string) { return k.state, k.falls, k.why }

// Restarted is the number of the last restart that was done.
func (k *Keeper) Restarted() uint64 { return k.restart }
