// Package wire reads the simulator's batches, passes each decoded field into a call of the host, and writes
// the replies. The wire's names end here.
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

const (
	batchHeaderSize = 20
	eventSize       = 56
	entrySize       = 23
	// reportValues is how many values a load report has room for.
	reportValues = 4
	// maxFrameSize is far above the megabytes a batch may reach; a longer one is taken for garbage.
	maxFrameSize = 1 << 30
)

var outcomeByCode = [...]logic.Outcome{
	logic.Failure, logic.OK, logic.Full, logic.TimedOut,
	logic.NoConnection, logic.Reset, logic.Cancelled, logic.NotSent,
}

var stateByCode = [...]logic.State{1: logic.Gone, 2: logic.Ready, 3: logic.Draining}

// maxClock guards against a clock that is no number or does not fit.
const maxClock = 1e15

// frame is one batch as it came in, with a place to note the first impossible field.
type frame struct {
	records, tail []byte
	now           logic.Micros
	batch         uint32
}

// Serve answers batches until the input ends.
func Serve(in io.Reader, out io.Writer) error {
	r, w := bufio.NewReaderSize(in, 1<<16), bufio.NewWriterSize(out, 1<<16)
	reply := &Reply{}
	d := &session{host: host.New(reply), reply: reply, fillIndex: map[host.InstanceID]int{}}
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
		if err := d.handleBatch(f); err != nil {
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

// readFrame takes one frame off the line; io.EOF only where no byte of a further one has come.
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

// session passes the events of a batch to the selected instance.
type session struct {
	host             *host.Host
	reply            *Reply
	selected         host.InstanceID
	fillIndex        map[host.InstanceID]int // where in a load report the fill stands
	instanceSelected bool
	instance         *host.Instance
}

// handleBatch runs one batch. A panic in the decisions becomes the wire's word for it.
func (d *session) handleBatch(f frame) (err error) {
	defer func() {
		if cause := recover(); cause != nil {
			d.reply.fail(d.selected, fmt.Sprint(cause))
			err = nil
		}
	}()
	d.instanceSelected, d.instance = false, nil
	for i := 0; i < len(f.records); i += eventSize {
		if err := d.handleEvent(f, f.records[i:i+eventSize]); err != nil {
			return fmt.Errorf("record %d: %w", i/eventSize, err)
		}
	}
	d.runDue(f.now)
	return nil
}

func (d *session) runDue(now logic.Micros) {
	if d.instance != nil {
		d.instance.RunDue(now)
	}
}

func (d *session) handleEvent(f frame, rec []byte) error {
	at := record(rec)
	switch code := rec[0]; code {
	case 1:
		d.runDue(f.now)
		d.selected, d.instanceSelected = host.InstanceID(at.u32(1)), true
		d.instance, _ = d.host.Instance(d.selected) // none yet if it opens within this batch
		return nil
	case 11:
		return d.openInstance(f, at)
	case 8:
		d.host.Remove(d.selected)
		d.instance = nil
		return nil
	default:
		if d.instance == nil {
			return fmt.Errorf("event %d for instance %d, which is not open", code, d.selected)
		}
		return d.handleInstanceEvent(f, at, code)
	}
}

func (d *session) openInstance(f frame, at record) error {
	if !d.instanceSelected {
		return errors.New("an instance opens before one was selected")
	}
	text, err := f.tailSlice(at, 9, 1)
	if err != nil {
		return err
	}
	book := platformconfig.SettingsFromLines(string(text))
	b, err := book.NewBalancer(at.u64(1))
	if err != nil {
		return fmt.Errorf("opening instance %d: %w", d.selected, err)
	}
	if d.fillIndex[d.selected] = book.LoadRatioIndex(); d.fillIndex[d.selected] >= 0 {
		b.EnableUtilizationProbes()
	}
	d.instance = d.host.Open(d.selected, b)
	return nil
}

// handleInstanceEvent passes an event of a running instance on.
func (d *session) handleInstanceEvent(f frame, at record, code byte) error {
	in, now := d.instance, f.now
	switch code {
	case 2, 5: // nothing is asked of peers, and a reminder only wakes
	case 12:
		in.RecordProbe(now, at.server(1), at.micros(7))
		if place := d.fillIndex[d.selected]; place >= 0 && place < min(int(at[15]), reportValues) {
			in.RecordUtilization(now, at.server(1), float64(math.Float32frombits(at.u32(16+4*place))))
		}
	case 3:
		o, err := at.outcome(15)
		if err != nil {
			return err
		}
		in.DispatchEnded(now, at.attachment(1), o, at[10] != 0)
	case 4:
		a := at.newAttachment(now, at[9], 20, 44, 28)
		a.Key, a.Group = logic.ClientKey(at.u64(12)), logic.GroupID(at.u64(36))
		if err := d.checkProduct(a); err != nil {
			return err
		}
		in.ConnectionResumed(now, a, at.server(46))
	case 6:
		return d.handleList(f, at)
	case 7:
		in.ConnectionEstablished(now, at.attachment(1))
	case 9:
		in.ClientLeft(now, at.attachment(1))
	case 10:
		level := float64(math.Float32frombits(at.u32(15)))
		if at[14] == 1 {
			in.LoadChanged(now, at.attachment(1), level)
		} else if at[14] == 2 {
			in.RecordDelay(now, at.server(10), platformconfig.MillisToMicros(level))
		}
	case 13:
		a := at.newAttachment(now, at[9], 10, 28, 38)
		a.Key, a.Group = logic.ClientKey(at.u64(20)), logic.GroupID(at.u64(30))
		if err := d.checkProduct(a); err != nil {
			return err
		}
		in.Arrived(now, a)
	default:
		return fmt.Errorf("event code %d is unknown", code)
	}
	return nil
}

// checkProduct guards against a product that the opening did not name.
func (d *session) checkProduct(a *logic.Attachment) error {
	if !d.instance.HasProduct(a.Product) {
		return fmt.Errorf("product %d is unknown", a.Product)
	}
	return nil
}

func (d *session) handleList(f frame, at record) error {
	entries, err := f.tailSlice(at, 6, entrySize)
	if err != nil {
		return err
	}
	in, scope := d.instance, at[1]
	switch scope {
	case 4:
		in.ListRequestFailed(f.now)
		return nil
	case 0, 1:
		in.BeginFullList(f.now)
	case 3:
	default:
		return fmt.Errorf("list scope %d is unknown", scope)
	}
	for ; len(entries) > 0; entries = entries[entrySize:] {
		e := record(entries)
		state := int(e[10])
		if state < 1 || state >= len(stateByCode) {
			return fmt.Errorf("server state %d is unknown", state)
		}
		weight := float64(math.Float32frombits(e.u32(11)))
		in.UpdateServer(f.now, e.server(0), logic.ZoneID(e.u16(4)), logic.ModelID(e.u16(6)), logic.CellID(e.u16(8)),
			stateByCode[state], weight, e.micros(15))
	}
	in.EndList(f.now, scope == 1)
	return nil
}

// tailSlice finds what a field says lies in the tail: so many items of so many bytes.
func (f frame) tailSlice(at record, offset, size int) ([]byte, error) {
	start, length := uint64(at.u32(offset)), uint64(at.u32(offset+4))*uint64(size)
	if start+length > uint64(len(f.tail)) {
		return nil, fmt.Errorf("a field points %d bytes past the tail", start+length-uint64(len(f.tail)))
	}
	return f.tail[start : start+length], nil
}

// record reads the fields of one record by their offsets.
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

// newAttachment reads what arrivals and carried connections share.
func (r record) newAttachment(now logic.Micros, product byte, left, bits, hint int) *logic.Attachment {
	a := &logic.Attachment{ID: r.attachment(1), Product: logic.ProductID(product), ArrivedAt: now}
	a.HardLimit = now + r.micros(left)
	a.MidFlow = r.u16(bits)&8 != 0
	a.Returning = r.u16(bits)&16 != 0
	if r.u16(bits)&1 != 0 {
		a.LoadHint = 1000 * r.float(hint)
	}
	return a
}
