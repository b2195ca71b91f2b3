package load

import (
	"math"
	"sync"
	"sync/atomic"

	"github.com/HdrHistogram/hdrhistogram-go"

	"hatchproxy/lab/ledger"
)

// Histogram counts latencies of 1 µs to two minutes with three significant digits. It may be used from several goroutines.
type Histogram struct {
	mu        sync.Mutex
	histogram *hdrhistogram.Histogram
}

// maxLatencyMicros is the highest latency that a histogram tells apart; higher ones are counted as this.
const maxLatencyMicros = 120_000_000

// NewHistogram returns an empty histogram.
func NewHistogram() *Histogram {
	return &Histogram{histogram: hdrhistogram.New(1, maxLatencyMicros, 3)}
}

// Add counts one latency.
func (h *Histogram) Add(latency Micros) {
	h.mu.Lock()
	defer h.mu.Unlock()
	_ = h.histogram.RecordValue(min(max(1, int64(latency)), maxLatencyMicros)) // fails only for values out of bounds
}

// Quantile returns the latency at the quantile q, from 0 to 1, or 0 if nothing was counted.
func (h *Histogram) Quantile(q float64) Micros {
	h.mu.Lock()
	defer h.mu.Unlock()
	return Micros(h.histogram.ValueAtQuantile(100 * q))
}

// Count returns how many latencies were counted.
func (h *Histogram) Count() int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.histogram.TotalCount()
}

// CountAbove returns how many latencies were longer than a bound, to the histogram's three digits.
func (h *Histogram) CountAbove(bound Micros) int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	n := int64(0)
	for _, bar := range h.histogram.Distribution() {
		if bar.From > int64(bound) {
			n += bar.Count
		}
	}
	return n
}

// Tally counts what the clients of a run requested and received. It may be used from several goroutines.
type Tally struct {
	SetUpLatency    *Histogram // from the scheduled time of a set-up's first request until the connection was established
	AnswerLatency   *Histogram // from a request's scheduled time until its final answer, or until the client stopped waiting
	MessageLatency  *Histogram // from a message's scheduled time until its answer
	ArrivalLateness *Histogram // by how much the load generator itself was late with an arrival
	MessageLateness *Histogram // by how much the load generator itself was late with a message

	// Requests counts all requests, retries included. Each of them ends as one of Established, Busy (refused with BUSY), Failed (another
	// answer), Unanswered or ConnectFailures (nothing to connect to, or a failed connect or write), or with the run.
	// Established connections that the other side ended are counted as Moves (with MOVE) or Disconnects (without), set-ups
	// whose retries were used up as GivenUp.
	Requests, Established, Busy, Failed, Unanswered, ConnectFailures, Retries, Moves, Disconnects, GivenUp, Messages atomic.Int64

	length           Micros
	wantedBySecond   []atomic.Int64 // microseconds in which clients wanted to be connected, times gain
	servedBySecond   []atomic.Int64 // microseconds in which they were and were served in time, times gain
	arrivalsBySecond []atomic.Int64
}

// NewTally returns an empty tally for a run of the given length.
func NewTally(length Micros) *Tally {
	n := int(length/ledger.Second) + 1
	return &Tally{SetUpLatency: NewHistogram(), AnswerLatency: NewHistogram(), MessageLatency: NewHistogram(), ArrivalLateness: NewHistogram(), MessageLateness: NewHistogram(),
		length: length, wantedBySecond: make([]atomic.Int64, n), servedBySecond: make([]atomic.Int64, n), arrivalsBySecond: make([]atomic.Int64, n)}
}

// addInterval adds the time from from to to, times gain, to the counts of the seconds that it lies in.
func (t *Tally) addInterval(counts []atomic.Int64, from, to Micros, gain float64) {
	to = min(to, t.length)
	for from < to {
		second := from / ledger.Second
		next := min(to, (second+1)*ledger.Second)
		counts[second].Add(int64(math.Round(float64(next-from) * gain)))
		from = next
	}
}

// AddWanted counts a time during which a client wanted to be connected.
func (t *Tally) AddWanted(from, to Micros, gain float64) {
	t.addInterval(t.wantedBySecond, from, to, gain)
}

// AddServed counts a time during which a client was connected and served in time.
func (t *Tally) AddServed(from, to Micros, gain float64) {
	t.addInterval(t.servedBySecond, from, to, gain)
}

// ServedShareBySecond returns the share of the wanted gain that was served in each second, NaN where none was wanted.
func (t *Tally) ServedShareBySecond() []float64 {
	share := make([]float64, len(t.wantedBySecond))
	for i := range share {
		share[i] = float64(t.servedBySecond[i].Load()) / float64(t.wantedBySecond[i].Load())
	}
	return share
}

// ArrivalsBySecond returns how many clients arrived in each second.
func (t *Tally) ArrivalsBySecond() []float64 {
	n := make([]float64, len(t.arrivalsBySecond))
	for i := range n {
		n[i] = float64(t.arrivalsBySecond[i].Load())
	}
	return n
}

// ServedShare returns the share of the wanted gain that was served in the seconds that begin from from until to.
func (t *Tally) ServedShare(from, to Micros) float64 {
	var wanted, served int64
	for i := range t.wantedBySecond {
		if at := Micros(i) * ledger.Second; at >= from && at < to {
			wanted, served = wanted+t.wantedBySecond[i].Load(), served+t.servedBySecond[i].Load()
		}
	}
	return float64(served) / float64(wanted)
}

// WorstServedShare returns the lowest share that was served in any stretch of the given number of seconds in which some gain was
// wanted, or NaN if there is none.
func (t *Tally) WorstServedShare(seconds int) float64 {
	worst := math.NaN()
	for i := 0; i+seconds <= len(t.wantedBySecond); i++ {
		x := t.ServedShare(Micros(i)*ledger.Second, Micros(i+seconds)*ledger.Second)
		if !math.IsNaN(x) && !(x >= worst) {
			worst = x
		}
	}
	return worst
}
