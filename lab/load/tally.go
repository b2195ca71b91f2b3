package load

import (
	"math"
	"sync"
	"sync/atomic"

	"github.com/HdrHistogram/hdrhistogram-go"

	"hatchproxy/lab/ledger"
)

// Histogram is a latency's histogram: microseconds, up to two minutes, three digits.
type Histogram struct {
	mu        sync.Mutex
	histogram *hdrhistogram.Histogram
}

const maxLatencyMicros = 120_000_000

// NewHistogram makes an empty one.
func NewHistogram() *Histogram {
	return &Histogram{histogram: hdrhistogram.New(1, maxLatencyMicros, 3)}
}

// Add counts a latency.
func (s *Histogram) Add(took Micros) {
	s.mu.Lock()
	defer s.mu.Unlock()
	_ = s.histogram.RecordValue(min(max(1, int64(took)), maxLatencyMicros)) // within its bounds by that
}

// Quantile is the quantile q, from 0 to 1; 0 where nothing was counted.
func (s *Histogram) Quantile(q float64) Micros {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Micros(s.histogram.ValueAtQuantile(100 * q))
}

// Count is how many were counted; Over how many took longer than a time, to the histogram's three digits.
func (s *Histogram) Count() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.histogram.TotalCount()
}

func (s *Histogram) CountAbove(took Micros) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := int64(0)
	for _, bar := range s.histogram.Distribution() {
		if bar.From > int64(took) {
			n += bar.Count
		}
	}
	return n
}

// Tally is what the clients of a run came to. It may be added to from anywhere.
type Tally struct {
	SetUpLatency    *Histogram // from when a connection was meant to be asked for, the first time, until it stood
	AnswerLatency   *Histogram // from when a line was meant to be sent until its final answer; the wait of those without one
	MessageLatency  *Histogram // from when a message was meant to be sent until its answer
	ArrivalLateness *Histogram // the generator's own: from when an arrival was meant to be sent until it was
	MessageLateness *Histogram // the same for messages

	Requests, Established, Busy, Failed, Unanswered, ConnectFailures, Retries, Moves, Disconnects, GivenUp, Messages atomic.Int64

	length           Micros
	wantedBySecond   []atomic.Int64 // microseconds that clients wanted, by second, times gain in thousandths
	servedBySecond   []atomic.Int64
	arrivalsBySecond []atomic.Int64
}

// NewTally makes one for a run of a length.
func NewTally(length Micros) *Tally {
	n := int(length/ledger.Second) + 1
	return &Tally{SetUpLatency: NewHistogram(), AnswerLatency: NewHistogram(), MessageLatency: NewHistogram(), ArrivalLateness: NewHistogram(), MessageLateness: NewHistogram(),
		length: length, wantedBySecond: make([]atomic.Int64, n), servedBySecond: make([]atomic.Int64, n), arrivalsBySecond: make([]atomic.Int64, n)}
}

// addInterval adds a stretch of time to the seconds that it lies in.
func (t *Tally) addInterval(into []atomic.Int64, from, to Micros, gain float64) {
	to = min(to, t.length)
	for from < to {
		second := from / ledger.Second
		next := min(to, (second+1)*ledger.Second)
		into[second].Add(int64(math.Round(float64(next-from) * gain)))
		from = next
	}
}

// AddWanted and Served count a stretch of time that a client wanted to be connected, or was and well.
func (t *Tally) AddWanted(from, to Micros, gain float64) {
	t.addInterval(t.wantedBySecond, from, to, gain)
}
func (t *Tally) AddServed(from, to Micros, gain float64) {
	t.addInterval(t.servedBySecond, from, to, gain)
}

// ServedShareBySecond is the share of the gain that was served in each second, not a number where none was asked for.
func (t *Tally) ServedShareBySecond() []float64 {
	share := make([]float64, len(t.wantedBySecond))
	for i := range share {
		share[i] = float64(t.servedBySecond[i].Load()) / float64(t.wantedBySecond[i].Load())
	}
	return share
}

// ArrivalsBySecond is how many came in each second.
func (t *Tally) ArrivalsBySecond() []float64 {
	n := make([]float64, len(t.arrivalsBySecond))
	for i := range n {
		n[i] = float64(t.arrivalsBySecond[i].Load())
	}
	return n
}

// ServedShare is the share served of all that was asked for from a time on.
func (t *Tally) ServedShare(from, to Micros) float64 {
	var asked, served int64
	for i := range t.wantedBySecond {
		if at := Micros(i) * ledger.Second; at >= from && at < to {
			asked, served = asked+t.wantedBySecond[i].Load(), served+t.servedBySecond[i].Load()
		}
	}
	return float64(served) / float64(asked)
}

// WorstServedShare is the least share served in any stretch of so many seconds in which anything was asked for.
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
