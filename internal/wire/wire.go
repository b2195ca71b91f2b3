// Package wire implements the binary protocol of the simulator: it reads batches of events, passes the decoded events to
// the host, and writes the replies with the resulting actions. No other package knows this protocol.
//
// All numbers are big-endian. A batch has a header, event records of a fixed size, and a tail with the texts and lists that
// records refer to by offset and length. A reply is built in the same way, with action records.
package wire

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math"

	"hatchproxy/internal/host"
	"hatchproxy/internal/platformconfig"
	"hatchproxy/logic"
)

// Sizes and limits of the binary format, in bytes where nothing else is said.
const (
	batchHeaderSize = 20
	eventSize       = 56
	entrySize       = 23
	// reportValues is the number of values that a load report has space for.
	reportValues = 4
	// maxFrameSize is far above the few megabytes of the largest batches; a longer frame is invalid.
	maxFrameSize = 1 << 30
)

// outcomeByCode maps the codes of the protocol to outcomes.
var outcomeByCode = [...]logic.Outcome{
	logic.Failure, logic.OK, logic.Full, logic.TimedOut,
	logic.NoConnection, logic.Reset, logic.Cancelled, logic.NotSent,
}

// stateByCode maps the codes of the protocol to server states.
var stateByCode = [...]logic.State{1: logic.Gone, 2: logic.Ready, 3: logic.Draining}

// maxClock is the limit of the clock, in milliseconds. It keeps out clocks that are not a number or overflow Micros.
const maxClock = 1e15

// frame is one batch as it was read.
type frame struct {
	records, tail []byte // event records, and the data that they refer to
	now           logic.Micros
	batch         uint32
}

// Serve answers batches until the input ends. It returns an error if the input is invalid, or reading or writing fails.
func Serve(in io.Reader, out io.Writer) error {
	r, w := bufio.NewReaderSize(in, 1<<16), bufio.NewWriterSize(out, 1<<16)
	reply := &Reply{}
	s := &session{host: host.New(reply), reply: reply, utilizationIndex: map[host.InstanceID]int{}}
	var buf []byte
	for {
		f, err := readFrame(r, &buf)
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		reply.reset()
		if err := s.handleBatch(f); err != nil {
			return fmt.Errorf("batch %d: %w", f.batch, err)
		}
		if _, err := w.Write(reply.finish(f.batch)); err != nil {
			return fmt.Errorf("writing the reply to batch %d: %w", f.batch, err)
		}
		if err := w.Flush(); err != nil {
			return fmt.Errorf("writing the reply to batch %d: %w", f.batch, err)
		}
	}
}

// readFrame reads one frame. It returns io.EOF only if the input ends before the first byte of a frame. The frame uses buf
// until the next call.
func readFrame(r io.Reader, buf *[]byte) (frame, error) {
	var head [batchHeaderSize]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		if errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) {
			return frame{}, io.EOF
		}
		return frame{}, fmt.Errorf("the input ends within a header: %w", err)
	}
	get := binary.BigEndian
	count, length := uint64(get.Uint32(head[:])), uint64(get.Uint32(head[4:]))
	clock := math.Float64frombits(get.Uint64(head[8:]))
	records := count * eventSize
	if length < batchHeaderSize+records || length > maxFrameSize {
		return frame{}, fmt.Errorf("a frame of %d bytes cannot hold %d records", length, count)
	}
	if !(math.Abs(clock) < maxClock) {
		return frame{}, fmt.Errorf("the clock reads %v", clock)
	}
	rest := int(length - batchHeaderSize)
	if cap(*buf) < rest {
		*buf = make([]byte, rest)
	}
	body := (*buf)[:rest]
	if _, err := io.ReadFull(r, body); err != nil {
		return frame{}, fmt.Errorf("the input ends within a frame: %w", err)
	}
	return frame{body[:records], body[records:], platformconfig.MillisToMicros(clock), get.Uint32(head[16:])}, nil
}

// session handles the batches of one input.
type session struct {
	host             *host.Host
	reply            *Reply
	selected         host.InstanceID         // the instance that events are for
	utilizationIndex map[host.InstanceID]int // by instance: the index of the utilization in load reports; -1 if they don't have it
	instanceSelected bool                    // the batch in progress has selected an instance
	instance         *host.Instance          // the selected one; nil if it is not open
}

// handleBatch handles the events of one batch. A panic is reported to the simulator as the failure of the instance.
func (s *session) handleBatch(f frame) (err error) {
	defer func() {
		if cause := recover(); cause != nil {
			s.reply.fail(s.selected, fmt.Sprint(cause))
			err = nil
		}
	}()
	s.instanceSelected, s.instance = false, nil
	for i := 0; i < len(f.records); i += eventSize {
		if err := s.handleEvent(f, f.records[i:i+eventSize]); err != nil {
			return fmt.Errorf("record %d: %w", i/eventSize, err)
		}
	}
	s.runDue(f.now)
	return nil
}

// runDue has the selected instance do what is due.
func (s *session) runDue(now logic.Micros) {
	if s.instance != nil {
		s.instance.RunDue(now)
	}
}

// handleEvent handles one event record, whose first byte is the event code.
func (s *session) handleEvent(f frame, eventRecord []byte) error {
	fields := record(eventRecord)
	switch code := eventRecord[0]; code {
	case 1: // select an instance
		s.runDue(f.now)
		s.selected, s.instanceSelected = host.InstanceID(fields.u32(1)), true
		s.instance, _ = s.host.Instance(s.selected) // nil if it is opened later in this batch
		return nil
	case 11: // open it
		return s.openInstance(f, fields)
	case 8: // kill it
		s.host.Remove(s.selected)
		s.instance = nil
		return nil
	default:
		if s.instance == nil {
			return fmt.Errorf("event %d for instance %d, which is not open", code, s.selected)
		}
		return s.handleInstanceEvent(f, fields, code)
	}
}

// openInstance opens the selected instance with the settings in the tail.
func (s *session) openInstance(f frame, fields record) error {
	if !s.instanceSelected {
		return errors.New("an instance opens before one was selected")
	}
	text, err := f.tailSlice(fields, 9, 1)
	if err != nil {
		return err
	}
	settings := platformconfig.SettingsFromLines(string(text))
	balancer, err := settings.NewBalancer(fields.u64(1))
	if err != nil {
		return fmt.Errorf("opening instance %d: %w", s.selected, err)
	}
	if s.utilizationIndex[s.selected] = settings.UtilizationIndex(); s.utilizationIndex[s.selected] >= 0 {
		balancer.EnableUtilizationProbes()
	}
	s.instance = s.host.Open(s.selected, balancer)
	return nil
}

// handleInstanceEvent passes an event to the selected instance.
func (s *session) handleInstanceEvent(f frame, fields record, code byte) error {
	in, now := s.instance, f.now
	switch code {
	case 2, 5: // messages of other instances aren't used, and a reminder needs no handling: what is due is done after each batch
	case 12: // answer to a probe
		in.RecordProbe(now, fields.server(1), fields.micros(7))
		if index := s.utilizationIndex[s.selected]; index >= 0 && index < min(int(fields[15]), reportValues) {
			in.RecordUtilization(now, fields.server(1), float64(math.Float32frombits(fields.u32(16+4*index))))
		}
	case 3: // a dispatch ended
		outcome, err := fields.outcome(15)
		if err != nil {
			return err
		}
		in.DispatchEnded(now, fields.attachment(1), outcome, fields[10] != 0)
	case 4: // a connection that was established before the instance was opened
		a := fields.newAttachment(now, fields[9], 20, 44, 28)
		a.Key, a.Group = logic.ClientKey(fields.u64(12)), logic.GroupID(fields.u64(36))
		if err := s.checkProduct(a); err != nil {
			return err
		}
		in.ConnectionResumed(now, a, fields.server(46))
	case 6: // server list
		return s.handleList(f, fields)
	case 7: // a connection is established
		in.ConnectionEstablished(now, fields.attachment(1))
	case 9: // a client left
		in.ClientLeft(now, fields.attachment(1))
	case 10: // load of a connection, or message delay of a server
		value := float64(math.Float32frombits(fields.u32(15)))
		if fields[14] == 1 {
			in.LoadChanged(now, fields.attachment(1), value)
		} else if fields[14] == 2 {
			in.RecordDelay(now, fields.server(10), platformconfig.MillisToMicros(value))
		}
	case 13: // an attachment arrived
		a := fields.newAttachment(now, fields[9], 10, 28, 38)
		a.Key, a.Group = logic.ClientKey(fields.u64(20)), logic.GroupID(fields.u64(30))
		if err := s.checkProduct(a); err != nil {
			return err
		}
		in.Arrived(now, a)
	default:
		return fmt.Errorf("event code %d is unknown", code)
	}
	return nil
}

// checkProduct returns an error if the settings of the instance don't have the product of the attachment.
func (s *session) checkProduct(a *logic.Attachment) error {
	if !s.instance.HasProduct(a.Product) {
		return fmt.Errorf("product %d is unknown", a.Product)
	}
	return nil
}

// handleList passes a full server list, or a change of it, to the selected instance.
func (s *session) handleList(f frame, fields record) error {
	entries, err := f.tailSlice(fields, 6, entrySize)
	if err != nil {
		return err
	}
	in, scope := s.instance, fields[1]
	switch scope {
	case 4: // the request failed
		in.ListRequestFailed(f.now)
		return nil
	case 0, 1: // a full list, fresh or cached
		in.BeginFullList(f.now)
	case 3: // a change
	default:
		return fmt.Errorf("list scope %d is unknown", scope)
	}
	for ; len(entries) > 0; entries = entries[entrySize:] {
		entry := record(entries)
		state := int(entry[10])
		if state < 1 || state >= len(stateByCode) {
			return fmt.Errorf("server state %d is unknown", state)
		}
		weight := float64(math.Float32frombits(entry.u32(11)))
		in.UpdateServer(f.now, entry.server(0), logic.ZoneID(entry.u16(4)), logic.ModelID(entry.u16(6)), logic.CellID(entry.u16(8)),
			stateByCode[state], weight, entry.micros(15))
	}
	in.EndList(f.now, scope == 1)
	return nil
}

// tailSlice returns the part of the tail that two fields of a record refer to: the field at offset holds its start, and the
// next one the number of items of size bytes.
func (f frame) tailSlice(fields record, offset, size int) ([]byte, error) {
	start, length := uint64(fields.u32(offset)), uint64(fields.u32(offset+4))*uint64(size)
	if start+length > uint64(len(f.tail)) {
		return nil, fmt.Errorf("a field points %d bytes past the tail", start+length-uint64(len(f.tail)))
	}
	return f.tail[start : start+length], nil
}

// record gives access to the fields of an event record or list entry by their offsets.
type record []byte

func (r record) u16(at int) uint16 { return binary.BigEndian.Uint16(r[at:]) }
func (r record) u32(at int) uint32 { return binary.BigEndian.Uint32(r[at:]) }
func (r record) u64(at int) uint64 { return binary.BigEndian.Uint64(r[at:]) }

func (r record) attachment(at int) logic.AttachmentID { return logic.AttachmentID(r.u64(at)) }
func (r record) server(at int) logic.ServerID         { return logic.ServerID(r.u32(at)) }
func (r record) float(at int) float64                 { return math.Float64frombits(r.u64(at)) }
func (r record) micros(at int) logic.Micros           { return platformconfig.MillisToMicros(r.float(at)) }

func (r record) outcome(at int) (logic.Outcome, error) {
	code := int(r.u16(at))
	if code >= len(outcomeByCode) {
		return 0, fmt.Errorf("outcome %d is unknown", code)
	}
	return outcomeByCode[code], nil
}

// newAttachment decodes the fields that arrivals and resumed connections have in common. timeLeft, flags and hint are the
// offsets of the time until the hard limit, the flags and the load hint.
func (r record) newAttachment(now logic.Micros, product byte, timeLeft, flags, hint int) *logic.Attachment {
	a := &logic.Attachment{ID: r.attachment(1), Product: logic.ProductID(product), ArrivedAt: now}
	a.HardLimit = now + r.micros(timeLeft)
	a.MidFlow = r.u16(flags)&8 != 0
	a.Returning = r.u16(flags)&16 != 0
	if r.u16(flags)&1 != 0 {
		a.LoadHint = 1000 * r.float(hint)
	}
	return a
}
