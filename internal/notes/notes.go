// Package notes tells apart the two figures that a server sends in one form: a connection's load, when it
// changes, and how long its messages take, once a second on one connection of each proxy while that is too
// long and once more when it no longer is. It knows no socket and no clock.
package notes

import "hatchproxy/logic"

// Meaning is what a figure is taken for.
type Meaning uint8

const (
	Load  Meaning = iota // the connection's load now
	Delay                // how long a message takes, in milliseconds
	// Both says that this figure is a delay, and that the one before on this connection was one, too, and no load.
	Both
)

const (
	every = logic.Second
	// jitter is what a word may come too early or too late: on the bench a millisecond, more where a core is busy.
	jitter = 50 * logic.Millisecond
	// atOnce is how soon after it stands a connection's load is told; 9 in 10 of the figures within it were loads.
	atOnce = 100 * logic.Millisecond
	// longest is more than any message takes that somebody still waits for; figures above it are loads.
	longest = 10_000
	// drop is how far below the last load a figure lies that is rather no load: 9 in 10 of those were delays.
	drop = 4
	// few is up to how many connections here a first figure may be believed: delays come on one of them, small loads on
	// all. Where proxies hold one or two each, 8 in 10 were delays; with tens a server believing them cost half the score.
	few = 3
)

// Conn is what a standing connection's figures have said.
type Conn struct {
	Since logic.Micros // when it came to stand
	Load  float64      // as last told; 0 if it has not been

	before float64 // the load told before that
	at     logic.Micros
}

// Server follows what one server tells this proxy.
type Server struct {
	from float64      // a message that takes so many milliseconds is late
	on   *Conn        // the connection on which delays come; nil if it has left
	at   logic.Micros // when the last came; 0 if none is to be followed
	sure bool         // that it was one
}

// New follows a server whose messages are late from that time on.
func New(late logic.Micros) Server { return Server{from: float64(late) / float64(logic.Millisecond)} }

func inTime(now, last logic.Micros) bool {
	return last > 0 && now-last > every-jitter && now-last < every+jitter
}

// Hear says what a figure means that came on one of so many connections that stand at the server. A first small one is
// taken for a delay only where delays are known to be told. Guards against small loads that are taken for lateness
// in a fleet whose settings promise delays and whose servers tell none.
func (s *Server) Hear(now logic.Micros, c *Conn, standing int, told bool, figure float64) Meaning {
	if inTime(now, s.at) && (s.on == c || s.on == nil) && figure < longest {
		s.on, s.at, s.sure = c, now, true
		if figure < s.from {
			s.at = 0 // no more follow
		}
		return Delay
	}
	small := figure >= s.from && figure < longest
	if small && c.Load >= s.from && c.Load < longest && inTime(now, c.at) {
		s.on, s.at, s.sure = c, now, true
		c.Load, c.at = c.before, 0
		return Both
	}
	running := s.sure && s.at > 0 && now-s.at <= every+jitter
	if told && small && !running && standing <= few && now-c.Since > atOnce && (c.Load == 0 || figure < c.Load/drop) {
		s.on, s.at, s.sure = c, now, false
		return Delay
	}
	c.tell(now, figure)
	return Load
}

func (c *Conn) tell(now logic.Micros, load float64) { c.before, c.Load, c.at = c.Load, load, now }

// Settled is asked when a figure that was taken for a delay should have been followed by another. It says that the
// figure was a load after all.
func (s *Server) Settled(now logic.Micros, c *Conn, heard logic.Micros, figure float64) bool {
	if s.sure || s.at != heard || s.on != c {
		return false
	}
	s.at = 0
	c.tell(now, figure)
	return true
}

// Settles is how long after such a figure that is to be asked.
const Settles = every + 2*jitter

// Left says that a connection is gone: delays come on another.
func (s *Server) Left(c *Conn) {
	if s.on == c {
		s.on = nil
	}
}
