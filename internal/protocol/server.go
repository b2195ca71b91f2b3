package protocol

import (
	"bytes"
	"math"
	"strconv"
)

// ServerEvent is what a server's bytes came to.
type ServerEvent uint8

const (
	ServerIncomplete ServerEvent = iota // more bytes are needed
	ServerUp                            // the connection stands; the line is to be passed on
	ServerBusy
	ServerError
	ServerMove        // a draining server sends the client away
	ServerBye         // served to its end
	ServerLoad        // Load tells it
	ServerMessage     // any other whole line of a standing connection
	ServerPartialLine // bytes of a line that goes on
	ServerInvalid     // Why tells what is wrong with its first line
)

// Server is the state machine of a connection to a server.
type Server struct {
	Load float64 // microseconds of work a second, as last told
	Err  error

	in          lineReader
	established bool

	prefix     [48]byte // the beginning of the line that is being passed on, enough to tell its verb and figure
	lineLength int      // bytes of that line so far
}

// Feed takes bytes up to the end of the first line or, on a standing connection, of a line that is being
// passed on. It returns the event, the bytes to pass on, and those that are left to feed.
func (s *Server) Feed(b []byte) (ev ServerEvent, pass, rest []byte) {
	if len(b) == 0 {
		return ServerIncomplete, nil, nil
	}
	if s.established {
		return s.relay(b)
	}
	line, rest, whole, err := s.in.next(b)
	if err != nil {
		s.Err = err
		return ServerInvalid, nil, nil
	}
	if !whole {
		return ServerIncomplete, nil, nil
	}
	verb, _, more := bytes.Cut(line, []byte(" "))
	switch {
	case string(verb) == "UP" && more:
		s.established = true
		pass = append(append(make([]byte, 0, len(line)+2), line...), "\r\n"...)
		s.in.release()
		return ServerUp, pass, rest
	case string(line) == "BUSY":
		return ServerBusy, nil, nil
	case string(verb) == "ERR":
		return ServerError, nil, nil
	case string(line) == "MOVE":
		return ServerMove, nil, nil
	}
	s.Err = errUnknownLine
	return ServerInvalid, nil, nil
}

// relay passes bytes on as they come, so that no line is held back, and tells the lines by their beginnings.
func (s *Server) relay(b []byte) (ServerEvent, []byte, []byte) {
	end := bytes.IndexByte(b, '\n') + 1
	if end == 0 {
		s.recordPrefix(b)
		return ServerPartialLine, b, nil
	}
	s.recordPrefix(b[:end])
	line := bytes.TrimRight(s.prefix[:min(s.lineLength, len(s.prefix))], "\r\n")
	s.lineLength = 0
	return s.classify(line), b[:end], b[end:]
}

func (s *Server) recordPrefix(b []byte) {
	if s.lineLength < len(s.prefix) {
		copy(s.prefix[s.lineLength:], b)
	}
	s.lineLength += len(b)
}

func (s *Server) classify(line []byte) ServerEvent {
	switch {
	case string(line) == "MOVE":
		return ServerMove
	case string(line) == "BYE":
		return ServerBye
	}
	if figure, found := bytes.CutPrefix(line, []byte("LOAD ")); found {
		x, err := strconv.ParseFloat(string(figure), 64)
		if err != nil || !(x >= 0) || math.IsInf(x, 0) {
			return ServerPartialLine // not an answer to a message either
		}
		s.Load = x
		return ServerLoad
	}
	return ServerMessage
}

// Resume has the machine go on with a connection that stands, between two lines.
func (s *Server) Resume() { s.established = true }

// AtLineStart tells that the last line that was passed on has come whole.
func (s *Server) AtLineStart() bool { return s.lineLength == 0 }

// Release gives back what the machine holds.
func (s *Server) Release() { s.in.release() }
