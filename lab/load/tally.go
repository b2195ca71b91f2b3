package load

import (
	"math"
	"sync"
	"sync/atomic"

	"github.com/HdrHistogram/hdrhistogram-go"

	"hatchproxy/lab/ledger"
)

// Series is a latency's histogram: microseconds, up to two minutes, three digits.
type Series struct {
	mu sync.Mutex
	h  *hdrhistogram.Histogram
}

const longestSeen = 120_000_000

// NewSeries makes an empty one.
func NewSeries() *Series { return &Series{h: hdrhistogram.New(1, longestSeen, 3)} }

// Add counts a latency.
func (s *Series) Add(took Micros) {
	s.mu.Lock()
	defer s.mu.Unlock()
	_ = s.h.RecordValue(min(max(1, int64(took)), longestSeen)) // within its bounds by that
}

// At is the quantile q, from 0 to 1; 0 where nothing was counted.
func (s *Series) At(q float64) Micros {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Micros(s.h.ValueAtQuantile(100 * q))
}

// Count is how many were counted; Over how many took longer than a time, to the histogram's three digits.
func (s *Series) Count() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.h.TotalCount()
}

func (s *Series) Over(took Micros) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := int64(0)
	for _, bar := range s.h.Distribution() {
		if bar.From > int64(took) {
			n += bar.Count
		}
	}
	return n
}

// Tally is what the clients of a run came to. It may be added to from anywhere.
type Tally struct {
	SetUp    *Series // from when a connection was meant to be asked for, the first time, until it stood
	Answer   *Series // from when a line was meant to be sent until its final answer; the wait of those without one
	Line     *Series // from when a message was meant to be sent until its answer
	Late     *Series // the generator's own: from when an arrival was meant to be sent until it was
	LateSend *Series // the same for messages

	Asks, Ups, Busy, Failed, Nothing, Refused, Retries, Moves, Breaks, GivenUp, Messages atomic.Int64

	length  Micros
	asked   []atomic.Int64 // microseconds that clients wanted, by second, times gain in thousandths
	served  []atomic.Int64
	arrived []atomic.Int64
}

// NewTally makes one for a run of a length.
func NewTally(length Micros) *Tally {
	n := int(length/ledger.Second) + 1
	return &Tally{SetUp: NewSeries(), Answer: NewSeries(), Line: NewSeries(), Late: NewSeries(), LateSend: NewSeries(),
		length: length, asked: make([]atomic.Int64, n), served: make([]atomic.Int64, n), arrived: make([]atomic.Int64, n)}
}

// spread adds a stretch of time to the seconds that it lies in.
func (t *Tally) spread(into []atomic.Int64, from, to Micros, gain float64) {
	to = min(to, t.length)
	for from < to {
		second := from / ledger.Second
		next := min(to, (second+1)*ledger.Second)
		into[second].Add(int64(math.Round(float64(next-from) * gain)))
		from = next
	}
}

// Wanted and Served count a stretch of time that a client wanted to be connected, or was and well.
func (t *Tally) Wanted(from, to Micros, gain float64) { t.spread(t.asked, from, to, gain) }
func (t *Tally) Served(from, to Micros, gain float64) { t.spread(t.served, from, to, gain) }

// BySecond is the share of the gain that was served in each second, not a number where none was asked for.
func (t *Tally) BySecond() []float64 {
	share := make([]float64, len(t.asked))
	for i := range share {
		share[i] = float64(t.served[i].Load()) / float64(t.asked[i].Load())
	}
	return share
}

// Arrivals is how many came in each second.
func (t *Tally) Arrivals() []float64 {
	n := make([]float64, len(t.arrived))
	for i := range n {
		n[i] = float64(t.arrived[i].Load())
	}
	return n
}

// Share is the share served of all that was asked for from a time on.
func (t *Tally) Share(from, to Micros) float64 {
	var asked, served int64
	for i := range t.asked {
		if at := Micros(i) * ledger.Second; at >= from && at < to {
			asked, served = asked+t.asked[i].Load(), served+t.served[i].Load()
		}
	}
	return float64(served) / float64(asked)
}

// WorstWindow is the least share served in any stretch of so many seconds in which anything was asked for.
func (t *Tally) WorstWindow(seconds int) float64 {
	worst := math.NaN()
	for i := 0; i+seconds <= len(t.asked); i++ {
		x := t.Share(Micros(i)*ledger.Second, Micros(i+seconds)*ledger.Second)
		if !math.IsNaN(x) && !(x >= worst) {
			worst = x
		}
	}
	return worst
}
