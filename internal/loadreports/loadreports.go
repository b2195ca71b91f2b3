// Package notes tells apart the two figures that a server sends in one form: a connection's load, when it
// changes, and how long its messages take, once a second on one connection of each proxy while that is too
// long and once more when it no longer is. It knows no socket and no clock.
package loadreports

import "hatchproxy/logic"

// Kind is what a figure is taken for.
type Kind uint8

const (
	Load  Kind = iota // the connection's load now
	Delay             // how long a message takes, in milliseconds
	// DelayAndPrevious says that this figure is a delay, and that the one before on this connection was one, too, and no load.
	DelayAndPrevious
)

const (
	delayInterval = logic.Second
	// maxJitter is what a word may come too early or too late: on the bench a millisecond, more where a core is busy.
	maxJitter = 50 * logic.Millisecond
	// initialLoadWindow is how soon after it stands a connection's load is told; 9 in 10 of the figures within it were loads.
	initialLoadWindow = 100 * logic.Millisecond
	// maxDelayMillis is more than any message takes that somebody still waits for; figures above it are loads.
	maxDelayMillis = 10_000
	// loadDropFactor is how far below the last load a figure lies that is rather no load: 9 in 10 of those were delays.
	loadDropFactor = 4
	// maxConnsToGuess is up to how many connections here a first figure may be believed: delays come on one of them, small loads on
	// all. Where proxies hold one or two each, 8 in 10 were delays; with tens a server believing them cost half the score.
	maxConnsToGuess = 3
)

// Conn is what a standing connection's figures have said.
type Conn struct {
	EstablishedAt logic.Micros // when it came to stand
	Load          float64      // as last told; 0 if it has not been

	previousLoad float64 // the load told before that
	loadAt       logic.Micros
}

// Server follows what one server tells this proxy.
type Server struct {
	lateMillis float64      // a message that takes so many milliseconds is late
	delayConn  *Conn        // the connection on which delays come; nil if it has left
	lastDelay  logic.Micros // when the last came; 0 if none is to be followed
	confirmed  bool         // that it was one
}

// New follows a server whose messages are late from that time on.
func New(late logic.Micros) Server {
	return Server{lateMillis: float64(late) / float64(logic.Millisecond)}
}

func isNextInSeries(now, last logic.Micros) bool {
	return last > 0 && now-last > delayInterval-maxJitter && now-last < delayInterval+maxJitter
}

// Classify says what a figure means that came on one of so many connections that stand at the server. A first small one is
// taken for a delay only where delays are known to be told. Guards against small loads that are taken for lateness
// in a fleet whose settings promise delays and whose servers tell none.
func (s *Server) Classify(now logic.Micros, c *Conn, standing int, told bool, figure float64) Kind {
	if isNextInSeries(now, s.lastDelay) && (s.delayConn == c || s.delayConn == nil) && figure < maxDelayMillis {
		s.delayConn, s.lastDelay, s.confirmed = c, now, true
		if figure < s.lateMillis {
			s.lastDelay = 0 // no more follow
		}
		return Delay
	}
	small := figure >= s.lateMillis && figure < maxDelayMillis
	if small && c.Load >= s.lateMillis && c.Load < maxDelayMillis && isNextInSeries(now, c.loadAt) {
		s.delayConn, s.lastDelay, s.confirmed = c, now, true
		c.Load, c.loadAt = c.previousLoad, 0
		return DelayAndPrevious
	}
	running := s.confirmed && s.lastDelay > 0 && now-s.lastDelay <= delayInterval+maxJitter
	if told && small && !running && standing <= maxConnsToGuess && now-c.EstablishedAt > initialLoadWindow && (c.Load == 0 || figure < c.Load/loadDropFactor) {
		s.delayConn, s.lastDelay, s.confirmed = c, now, false
		return Delay
	}
	c.setLoad(now, figure)
	return Load
}

func (c *Conn) setLoad(now logic.Micros, load float64) {
	c.previousLoad, c.Load, c.loadAt = c.Load, load, now
}

// RevertUnconfirmed is asked when a figure that was taken for a delay should have been followed by another. It says that the
// figure was a load after all.
func (s *Server) RevertUnconfirmed(now logic.Micros, c *Conn, heard logic.Micros, figure float64) bool {
	if s.confirmed || s.lastDelay != heard || s.delayConn != c {
		return false
	}
	s.lastDelay = 0
	c.setLoad(now, figure)
	return true
}

// ConfirmWait is how long after such a figure that is to be asked.
const ConfirmWait = delayInterval + 2*maxJitter

// ConnClosed says that a connection is gone: delays come on another.
func (s *Server) ConnClosed(c *Conn) {
	if s.delayConn == c {
		s.delayConn = nil
	}
}
