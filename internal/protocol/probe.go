package protocol

// ProbeEvent is the result of feeding bytes to a Prober.
type ProbeEvent uint8

const (
	ProbeIncomplete ProbeEvent = iota // more bytes are needed
	ProbeAnswered                     // the server is ready
	ProbeRefused                      // an error, or a line that is no answer to a probe
)

// ProbeLine is the line that probes a server.
var ProbeLine = []byte("PING\r\n")

// Prober is the state machine of a connection on which a server is probed, one probe at a time.
type Prober struct{ in lineReader }

// Feed takes bytes that the server has sent.
func (p *Prober) Feed(b []byte) ProbeEvent {
	line, rest, whole, err := p.in.next(b)
	switch {
	case err != nil:
		return ProbeRefused
	case !whole:
		return ProbeIncomplete
	case string(line) == "PONG" && len(rest) == 0:
		p.in.release()
		return ProbeAnswered
	}
	return ProbeRefused
}

// Release frees the buffer that the Prober may hold.
func (p *Prober) Release() { p.in.release() }
