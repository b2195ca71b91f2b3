package protocol

// ProbeEvent is what the answer to a probe came to.
type ProbeEvent uint8

const (
	ProbeIncomplete ProbeEvent = iota // more bytes are needed
	ProbeAnswered
	ProbeRefused // an error, or no answer to a probe at all
)

// ProbeLine is a probe.
var ProbeLine = []byte("PING\r\n")

// Prober is the state machine of a connection on which a server is probed, one probe at a time.
type Prober struct{ in lineReader }

// Feed takes bytes that the server sent.
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

// Release gives back what the machine holds.
func (p *Prober) Release() { p.in.release() }
