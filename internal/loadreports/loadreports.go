// Package loadreports classifies the values that servers report in lines of one form. Such a value is either the load of
// the connection, sent when it changes, or a message delay: how long the server's messages take, sent once a second on one
// connection of each proxy while that is too long, and once more when it no longer is. The package uses no socket and no
// clock.
package loadreports

import "hatchproxy/logic"

// Kind is the kind of a reported value.
type Kind uint8

const (
	Load  Kind = iota // the load of the connection
	Delay             // the time that the server's messages take, in milliseconds
	// DelayAndPrevious is a delay that shows that the value before it on this connection was a delay, too, and not a load.
	DelayAndPrevious
)

const (
	// delayInterval is the interval at which servers report delays.
	delayInterval = logic.Second
	// maxJitter is how much too early or too late a delay may arrive: about a millisecond in tests, more where a core is busy.
	maxJitter = 50 * logic.Millisecond
	// initialLoadWindow is the time after a connection is established in which its first load is reported: most values within
	// it are loads.
	initialLoadWindow = 100 * logic.Millisecond
	// maxDelayMillis is more than any message takes that a client still waits for; values above it are loads.
	maxDelayMillis = 10_000
	// loadDropFactor is how many times smaller than the last load a value must be to be a likely delay: most of these are.
	loadDropFactor = 4
	// maxConnsToGuess is the number of connections to the server up to which a first small value may be taken for a delay.
	// Delays come on one connection, small loads on all of them: with one or two connections most such values are delays,
	// while with tens of them taking loads for delays severely degrades the balancing.
	maxConnsToGuess = 3
)

// Conn is what the values of one established connection have reported.
type Conn struct {
	EstablishedAt logic.Micros // when the connection was established
	Load          float64      // the last load; 0 if there was none

	previousLoad float64      // the load before that
	loadAt       logic.Micros // when Load was reported
}

// Server classifies the values that one server reports to this proxy.
type Server struct {
	lateMillis float64      // delays from this on are too long, in milliseconds
	delayConn  *Conn        // the connection on which delays are reported; nil if it is closed
	lastDelay  logic.Micros // when the last delay was reported; 0 if no further one is expected
	confirmed  bool         // the last delay is certain to be one
}

// New returns a Server for which delays from late on are too long.
func New(late logic.Micros) Server {
	return Server{lateMillis: float64(late) / float64(logic.Millisecond)}
}

// isNextInSeries reports whether a value at now follows one at last at the interval of delays.
func isNextInSeries(now, last logic.Micros) bool {
	return last > 0 && now-last > delayInterval-maxJitter && now-last < delayInterval+maxJitter
}

// Classify returns the kind of a value that was reported on one of conns connections to the server. A first small value is
// taken for a delay only if delaysExpected: in a fleet whose settings promise delays that its servers do not report, small
// loads would otherwise be taken for delays.
func (s *Server) Classify(now logic.Micros, c *Conn, conns int, delaysExpected bool, value float64) Kind {
	if isNextInSeries(now, s.lastDelay) && (s.delayConn == c || s.delayConn == nil) && value < maxDelayMillis {
		s.delayConn, s.lastDelay, s.confirmed = c, now, true
		if value < s.lateMillis {
			s.lastDelay = 0 // the delay is back under the limit, and the series ends with it
		}
		return Delay
	}
	maybeDelay := value >= s.lateMillis && value < maxDelayMillis
	if maybeDelay && c.Load >= s.lateMillis && c.Load < maxDelayMillis && isNextInSeries(now, c.loadAt) {
		s.delayConn, s.lastDelay, s.confirmed = c, now, true
		c.Load, c.loadAt = c.previousLoad, 0
		return DelayAndPrevious
	}
	inSeries := s.confirmed && s.lastDelay > 0 && now-s.lastDelay <= delayInterval+maxJitter
	if delaysExpected && maybeDelay && !inSeries && conns <= maxConnsToGuess && now-c.EstablishedAt > initialLoadWindow && (c.Load == 0 || value < c.Load/loadDropFactor) {
		s.delayConn, s.lastDelay, s.confirmed = c, now, false
		return Delay
	}
	c.setLoad(now, value)
	return Load
}

// setLoad records a reported load.
func (c *Conn) setLoad(now logic.Micros, load float64) {
	c.previousLoad, c.Load, c.loadAt = c.Load, load, now
}

// RevertUnconfirmed must be called ConfirmWait after a value was classified as a Delay; receivedAt is the time of that value. If
// no further delay has confirmed it, RevertUnconfirmed records the value as a load and returns true.
func (s *Server) RevertUnconfirmed(now logic.Micros, c *Conn, receivedAt logic.Micros, value float64) bool {
	if s.confirmed || s.lastDelay != receivedAt || s.delayConn != c {
		return false
	}
	s.lastDelay = 0
	c.setLoad(now, value)
	return true
}

// ConfirmWait is the time within which a delay must be confirmed by the next one.
const ConfirmWait = delayInterval + 2*maxJitter

// ConnClosed records that a connection is closed: further delays will come on another one.
func (s *Server) ConnClosed(c *Conn) {
	if s.delayConn == c {
		s.delayConn = nil
	}
}
