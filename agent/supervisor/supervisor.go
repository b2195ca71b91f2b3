// Package supervisor decides when the process of an instance is started, asked to terminate or killed, and when the instance is in a
// crash loop. It does no I/O: its caller passes in the time and the seed for random delays, reports what the process did, and carries
// out the actions.
package supervisor

import (
	"math/rand"

	"hatchproxy/logic"
)

// State is the state of an instance.
type State string

const (
	Unknown      State = "unknown" // nobody has looked yet whether its process runs
	Stopped      State = "stopped"
	Starting     State = "starting" // its process runs and is not ready yet
	Adopted      State = "adopted"  // its process was started before, has not answered yet, and may have been serving for long
	Ready        State = "ready"
	BackingOff   State = "waiting"    // between a failure and the next start
	CrashLooping State = "crash-loop" // the same, after several failures in a row
	Leaving      State = "leaving"    // its process was asked to terminate and still runs
)

// Action is what the caller has to do now.
type Action uint8

const (
	NoAction Action = iota
	Start
	Terminate // ask the process to terminate
	Kill
)

const (
	// firstRestartDelay and maxRestartDelay bound the delay before an instance is started again; it doubles with each failure. Up to a
	// third of it is subtracted at random, so that thirty instances that failed together do not start together.
	firstRestartDelay = 250 * logic.Millisecond
	maxRestartDelay   = 15 * logic.Second
	// failureResetTime is how long an instance must have been ready for its earlier failures to be forgotten.
	failureResetTime = 20 * logic.Second
	// crashLoopFailures is the number of failures in a row that make a crash loop, and crashLoopDelay the delay between starts in one.
	crashLoopFailures = 5
	crashLoopDelay    = logic.Second * 60
	// startTimeout is how long an instance may take from its start until it is ready, which includes waiting for the list of servers.
	// One that takes longer is killed, and has failed.
	startTimeout = 20 * logic.Second
	// stopTimeout is how long an instance may take to terminate: the longest hard limit and the time to move its clients.
	stopTimeout = 8 * logic.Second
)

// Supervisor supervises one instance. New returns one that is ready for use.
type Supervisor struct {
	rng              *rand.Rand
	state            State
	stateSince       logic.Micros
	nextStart        logic.Micros // the earliest time of the next start
	failures         int          // in a row
	reason           string       // why it failed last
	shouldRun        bool
	completedRestart uint64 // the number of the last restart command that was carried out
	requestedRestart uint64 // the number of the last restart command
	hasProcess       bool   // a process runs
	starts           int    // how often a process was started or adopted
}

// New returns a supervisor of an instance that does not run. The seed determines its random delays.
func New(seed int64) *Supervisor {
	return &Supervisor{rng: rand.New(rand.NewSource(seed)), state: Stopped}
}

// SetDesired sets whether the instance should run, and the number of the last restart command.
func (s *Supervisor) SetDesired(now logic.Micros, run bool, restart uint64) {
	if run && !s.shouldRun {
		s.failures, s.nextStart = 0, now
	}
	if run && s.state == CrashLooping && restart > s.requestedRestart {
		s.failures, s.nextStart = 0, now // an operator asked for another attempt
	}
	s.shouldRun, s.requestedRestart = run, max(s.requestedRestart, restart)
	if !s.hasProcess && s.starts == 0 {
		s.completedRestart = s.requestedRestart // the first start fulfills all earlier restart commands
	}
}

// Adopt reports that a process of the instance runs already, and the restart command that it was started for. Until it has answered it
// is left alone: it may serve clients, and only the way to it may be silent.
func (s *Supervisor) Adopt(now logic.Micros, restart uint64) {
	s.hasProcess, s.starts, s.completedRestart, s.requestedRestart = true, 1, restart, max(s.requestedRestart, restart)
	s.setState(now, Adopted)
}

// setState changes the state.
func (s *Supervisor) setState(now logic.Micros, state State) { s.state, s.stateSince = state, now }

// ReportStarted reports that a process was started.
func (s *Supervisor) ReportStarted(now logic.Micros) {
	s.hasProcess, s.starts, s.completedRestart = true, s.starts+1, s.requestedRestart
	s.setState(now, Starting)
}

// ReportStartFailure reports that no process could be started.
func (s *Supervisor) ReportStartFailure(now logic.Micros, reason string) {
	s.recordFailure(now, reason)
}

// ReportReady reports that the instance is ready. It is called repeatedly while that is so.
func (s *Supervisor) ReportReady(now logic.Micros) {
	if s.state == Starting || s.state == Adopted {
		s.setState(now, Ready)
	}
	if s.state == Ready && now-s.stateSince >= failureResetTime {
		s.failures = 0
	}
}

// ReportNotReady reports that the instance has answered that it is not ready. One that was adopted is starting then.
func (s *Supervisor) ReportNotReady(now logic.Micros) {
	if s.state == Adopted {
		s.setState(now, Starting)
	}
}

// ReportExit reports that the process has ended. That is a failure unless it had been asked to terminate.
func (s *Supervisor) ReportExit(now logic.Micros, reason string) {
	s.hasProcess = false
	if s.state == Leaving {
		s.setState(now, Stopped)
		s.nextStart = now
		return
	}
	if s.state == Ready && now-s.stateSince >= failureResetTime {
		s.failures = 0
	}
	s.recordFailure(now, reason)
}

// recordFailure counts a failure and sets the time of the next start.
func (s *Supervisor) recordFailure(now logic.Micros, reason string) {
	s.failures, s.reason = s.failures+1, reason
	wait := min(firstRestartDelay<<min(s.failures-1, 10), maxRestartDelay)
	state := BackingOff
	if s.failures >= crashLoopFailures {
		wait, state = crashLoopDelay, CrashLooping
	}
	s.nextStart = now + wait - logic.Micros(s.rng.Int63n(int64(wait)/3))
	s.setState(now, state)
}

// NextAction returns what to do now, and after what time to call it again at the latest.
func (s *Supervisor) NextAction(now logic.Micros) (Action, logic.Micros) {
	const interval = 100 * logic.Millisecond
	switch {
	case s.hasProcess && s.state == Leaving:
		if now-s.stateSince >= stopTimeout {
			return Kill, interval
		}
		return NoAction, min(interval, stopTimeout)
	case s.hasProcess && (!s.shouldRun || s.completedRestart < s.requestedRestart):
		s.setState(now, Leaving)
		return Terminate, interval
	case s.hasProcess && s.state == Starting && now-s.stateSince >= startTimeout:
		s.reason = "it was not ready in time"
		return Kill, interval
	case s.hasProcess:
		return NoAction, interval
	case !s.shouldRun:
		if s.state != Stopped {
			s.setState(now, Stopped)
		}
		return NoAction, interval
	case now >= s.nextStart:
		return Start, interval
	}
	return NoAction, min(interval, s.nextStart-now)
}

// State returns the state, the number of failures in a row, and the reason of the last one.
func (s *Supervisor) State() (state State, failures int, reason string) {
	return s.state, s.failures, s.reason
}

// CompletedRestart returns the number of the last restart command that was carried out.
func (s *Supervisor) CompletedRestart() uint64 { return s.completedRestart }
