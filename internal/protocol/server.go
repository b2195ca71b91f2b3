package protocol

import (
	"bytes"
	"math"
	"strconv"
)

// ServerEvent is the result of feeding bytes to a Server.
type ServerEvent uint8

const (
	ServerIncomplete  ServerEvent = iota // more bytes are needed
	ServerUp                             // UP: the connection is established; the line is to be passed on
	ServerBusy                           // BUSY: the server refuses the connection
	ServerError                          // ERR: the server reports a failure
	ServerMove                           // MOVE: the server is draining, and the client is to connect anew
	ServerBye                            // BYE: the client has been served to its end
	ServerLoad                           // LOAD: its value is in Server.Load
	ServerMessage                        // any other complete line of an established connection
	ServerPartialLine                    // bytes of a line that is not complete yet, or a LOAD line without a valid number
	ServerInvalid                        // the first line is invalid; the error is in Err
)

// Server is the state machine of a connection to a server.
type Server struct {
	Load float64 // microseconds of work per second, as last reported
	Err  error   // set with ServerInvalid

	in          lineReader
	established bool

	prefix     [48]byte // the beginning of the line that is being passed on, long enough for its verb and number
	lineLength int      // number of bytes of that line so far
}

// Feed takes bytes up to the end of the first line or, on an established connection, of a line that is being passed on. It
// returns the event, the bytes to pass on to the client, and those that are left to feed.
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

// relay passes bytes on as they are received, so that no line is delayed, and classifies lines by their beginning.
func (s *Server) relay(b []byte) (ServerEvent, []byte, []byte) {
	end := bytes.IndexByte(b, '\n') + 1
	if end == 0 {
		s.recordPrefix(b)
		return ServerPartialLine, b, nil
	}
	whole := b[:end]
	if s.lineLength > 0 {
		s.recordPrefix(whole)
		whole = s.prefix[:min(s.lineLength, len(s.prefix))]
	} else {
		whole = whole[:min(end, len(s.prefix))]
	}
	s.lineLength = 0
	return s.classify(trimLineEnd(whole)), b[:end], b[end:]
}

// trimLineEnd returns a line without the carriage returns and line feeds at its end.
func trimLineEnd(line []byte) []byte {
	n := len(line)
	for n > 0 && (line[n-1] == '\n' || line[n-1] == '\r') {
		n--
	}
	return line[:n]
}

// recordPrefix adds bytes to the beginning of the line that is being passed on.
func (s *Server) recordPrefix(b []byte) {
	if s.lineLength < len(s.prefix) {
		copy(s.prefix[s.lineLength:], b)
	}
	s.lineLength += len(b)
}

// classify returns the event of a line by its beginning, and records the load that it reports.
func (s *Server) classify(line []byte) ServerEvent {
	switch {
	case string(line) == "MOVE":
		return ServerMove
	case string(line) == "BYE":
		return ServerBye
	}
	if number, found := bytes.CutPrefix(line, []byte("LOAD ")); found {
		load, err := strconv.ParseFloat(string(number), 64)
		if err != nil || !(load >= 0) || math.IsInf(load, 0) {
			return ServerPartialLine // not a message either, which would count as the answer to one of the client's
		}
		s.Load = load
		return ServerLoad
	}
	return ServerMessage
}

// Resume makes it the state machine of an established connection that was handed over between two lines.
func (s *Server) Resume() { s.established = true }

// AtLineStart reports whether the last line that was passed on was complete.
func (s *Server) AtLineStart() bool { return s.lineLength == 0 }

// Release frees the buffer that the Server may hold.
func (s *Server) Release() { s.in.release() }
