// Package keeper decides when an instance is started, and when it is a crash loop. It is free of I/O: it is handed the
// time and chance, hears what the process did, and says what to do.
package supervisor

import (
	"math/rand"

	"hatchproxy/logic"
)

// State is what an instance is at.
type State string

const (
	Stopped      State = "stopped"
	Starting     State = "starting"
	Ready        State = "ready"
	BackingOff   State = "waiting" // for its next start
	CrashLooping State = "crash-loop"
	Leaving      State = "leaving"
)

// Action is what is to be done now.
type Action uint8

const (
	NoAction Action = iota
	Start
	Terminate // ask it to go
	Kill
)

const (
	// firstRestartDelay and longest are the waits before a start anew, doubling; a third of each is left to chance so that thirty
	// that fell together do not come back together.
	firstRestartDelay = 250 * logic.Millisecond
	maxRestartDelay   = 15 * logic.Second
	// failureResetTime is how long an instance must have been ready for its falls before to be forgotten.
	failureResetTime = 20 * logic.Second
	// crashLoopFailures is after how many falls in a row it is a crash loop, and rest how long is waited then between two starts.
	crashLoopFailures = 5
	crashLoopDelay    = logic.Second * 60
	// startTimeout is how long a start may take until it is ready: the list may be late. One that takes longer has fallen.
	startTimeout = 20 * logic.Second
	// stopTimeout is how long one that was asked to go may take: the longest hard limit and what standing clients need.
	stopTimeout = 8 * logic.Second
)

// Supervisor keeps one instance. Its zero value has it stopped; NewKeeper gives it chance.
type Supervisor struct {
	rng           *rand.Rand
	state         State
	stateSince    logic.Micros
	nextStart     logic.Micros // its next start
	failures      int
	reason        string
	shouldRun     bool
	restartDone   uint64 // the restart that it has done
	restartWanted uint64 // the one that is wanted
	hasProcess    bool   // a process is there
	starts        int
}

// New makes a keeper of an instance that does not run.
func New(seed int64) *Supervisor {
	return &Supervisor{rng: rand.New(rand.NewSource(seed)), state: Stopped}
}

// SetDesired tells whether it is to run, and the number of the last restart.
func (k *Supervisor) SetDesired(now logic.Micros, run bool, restart uint64) {
	if run && !k.shouldRun {
		k.failures, k.nextStart = 0, now
	}
	if run && k.state == CrashLooping && restart > k.restartWanted {
		k.failures, k.nextStart = 0, now // an operator says try again
	}
	k.shouldRun, k.restartWanted = run, max(k.restartWanted, restart)
	if !k.hasProcess && k.starts == 0 {
		k.restartDone = k.restartWanted // its first start does for all that were wanted before
	}
}

// Adopt tells that a process of it was there already, and how far it was.
func (k *Supervisor) Adopt(now logic.Micros, restart uint64, ready bool) {
	k.hasProcess, k.starts, k.restartDone, k.restartWanted = true, 1, restart, max(k.restartWanted, restart)
	k.setState(now, Starting)
	if ready {
		k.setState(now, Ready)
	}
}

func (k *Supervisor) setState(now logic.Micros, s State) { k.state, k.stateSince = s, now }

// ReportStarted tells that a process was started; Failed that none could be.
func (k *Supervisor) ReportStarted(now logic.Micros) {
	k.hasProcess, k.starts, k.restartDone = true, k.starts+1, k.restartWanted
	k.setState(now, Starting)
}

func (k *Supervisor) ReportStartFailure(now logic.Micros, why string) { k.recordFailure(now, why) }

// ReportReady tells that it is ready.
func (k *Supervisor) ReportReady(now logic.Micros) {
	if k.state == Starting {
		k.setState(now, Ready)
	}
	if k.state == Ready && now-k.stateSince >= failureResetTime {
		k.failures = 0
	}
}

// ReportExit tells that its process has.
func (k *Supervisor) ReportExit(now logic.Micros, why string) {
	k.hasProcess = false
	if k.state == Leaving {
		k.setState(now, Stopped)
		k.nextStart = now
		return
	}
	if k.state == Ready && now-k.stateSince >= failureResetTime {
		k.failures = 0
	}
	k.recordFailure(now, why)
}

func (k *Supervisor) recordFailure(now logic.Micros, why string) {
	k.failures, k.reason = k.failures+1, why
	wait := min(firstRestartDelay<<min(k.failures-1, 10), maxRestartDelay)
	state := BackingOff
	if k.failures >= crashLoopFailures {
		wait, state = crashLoopDelay, CrashLooping
	}
	k.nextStart = now + wait - logic.Micros(k.rng.Int63n(int64(wait)/3))
	k.setState(now, state)
}

// NextAction says what to do now, and when to ask again at the latest.
func (k *Supervisor) NextAction(now logic.Micros) (Action, logic.Micros) {
	const soon = 100 * logic.Millisecond
	switch {
	case k.hasProcess && k.state == Leaving:
		if now-k.stateSince >= stopTimeout {
			return Kill, soon
		}
		return NoAction, min(soon, stopTimeout)
	case k.hasProcess && (!k.shouldRun || k.restartDone < k.restartWanted):
		k.setState(now, Leaving)
		return Terminate, soon
	case k.hasProcess && k.state == Starting && now-k.stateSince >= startTimeout:
		k.reason = "it was not ready in time"
		return Kill, soon
	case k.hasProcess:
		return NoAction, soon
	case !k.shouldRun:
		if k.state != Stopped {
			k.setState(now, Stopped)
		}
		return NoAction, soon
	case now >= k.nextStart:
		return Start, soon
	}
	return NoAction, min(soon, k.nextStart-now)
}

// State tells what it is at, how often it has fallen in a row, and why it did last.
func (k *Supervisor) State() (s State, falls int, why string) { return k.state, k.failures, k.reason }

// LastRestart is the number of the last restart that was done.
func (k *Supervisor) LastRestart() uint64 { return k.restartDone }
