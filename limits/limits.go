// Package limits says who may be set up now and who is to come again, and when. It is free of I/O and handed time and
// chance. Limits hold for set-ups in a second and for connections that stand, by whatever scope the caller names: a
// listener, a pool, a product, a tenant, an address.
package limits

import (
	"container/list"
	"math"
	"math/rand"

	"hatchproxy/logic"
)

// Rate is a limit on set-ups in a second, with so many at once.
type Rate struct{ PerSecond, Burst float64 }

// Bucket holds the permits of a rate. The zero value is full at its first use. golang.org/x/time/rate would do, but for
// its clock and its mutex: here time is handed in, one owner takes, and a million buckets are 24 bytes each.
type Bucket struct {
	permits     float64
	updatedAt   logic.Micros
	initialized bool
}

// Take takes a permit if there is one; otherwise it tells when there will be.
func (b *Bucket) Take(now logic.Micros, r Rate) (ok bool, wait logic.Micros) {
	b.refill(now, r)
	if b.permits >= 1 {
		b.permits--
		return true, 0
	}
	if r.PerSecond <= 0 {
		return false, forever
	}
	return false, logic.Micros(math.Ceil((1 - b.permits) / r.PerSecond * 1e6))
}

// forever is a wait that has no end: a rate of nothing.
const forever = logic.Micros(math.MaxInt64 / 4)

// refill adds what the time since brought. A clock that jumps back brings nothing and takes nothing; one that jumps
// ahead fills the bucket at most.
func (b *Bucket) refill(now logic.Micros, r Rate) {
	burst := max(1, r.Burst)
	if !b.initialized {
		b.permits, b.initialized = burst, true
	} else if passed := now - b.updatedAt; passed > 0 {
		b.permits = min(burst, b.permits+float64(passed)/1e6*r.PerSecond)
	}
	b.permits = min(b.permits, burst)
	b.updatedAt = now
}

// Return gives a permit back that was not used.
func (b *Bucket) Return(r Rate) { b.permits = min(max(1, r.Burst), b.permits+1) }

// RetrySpreader turns the wait until there is room into one for a client: each that is told within a while gets a later slot
// than the one before, so that those told do not come back together. Room is how many come in a second.
type RetrySpreader struct {
	nextSlot logic.Micros
	rng      *rand.Rand
}

// NewRetrySpreader makes one from a seed.
func NewRetrySpreader(seed int64) *RetrySpreader {
	return &RetrySpreader{rng: rand.New(rand.NewSource(seed))}
}

// RetryAfter says when the next one that is turned away is to come, at least wait from now and at most longest.
func (s *RetrySpreader) RetryAfter(now, wait, longest logic.Micros, room float64) logic.Micros {
	gap := logic.Micros(1e6 / max(room, 0.1))
	s.nextSlot = max(s.nextSlot, now+wait)
	told := s.nextSlot - now
	s.nextSlot += gap
	if told > longest {
		// Beyond what may be told, chance spreads them over the last half of it.
		return longest/2 + logic.Micros(s.rng.Int63n(int64(longest/2)+1))
	}
	return max(min(told+logic.Micros(s.rng.Int63n(int64(gap)+1)), longest), logic.Millisecond)
}

// RetryBudget bounds retries to a share of first tries, over the last ten seconds or so.
type RetryBudget struct {
	Share        float64 // of first tries
	MinPerSecond float64 // retries a second that are always allowed: a pool that is hardly used

	firstTries, retries float64
	updatedAt           logic.Micros
	initialized         bool
}

// halfLife is the time in which what was counted loses half of its weight.
const halfLife = 5 * logic.Second

func (b *RetryBudget) decay(now logic.Micros) {
	if b.initialized && now > b.updatedAt {
		keep := math.Exp2(-float64(now-b.updatedAt) / float64(halfLife))
		b.firstTries, b.retries = b.firstTries*keep, b.retries*keep
	}
	if !b.initialized || now > b.updatedAt {
		b.updatedAt, b.initialized = now, true
	}
}

// CountFirstTry counts a first try.
func (b *RetryBudget) CountFirstTry(now logic.Micros) {
	b.decay(now)
	b.firstTries++
}

// TakeRetry takes a retry from the budget, if there is one in it.
func (b *RetryBudget) TakeRetry(now logic.Micros) bool {
	b.decay(now)
	// What decays with this half-life sums up to so many seconds of a steady rate.
	const window = float64(halfLife) / 1e6 / math.Ln2
	if b.retries+1 > b.Share*b.firstTries+b.MinPerSecond*window {
		return false
	}
	b.retries++
	return true
}

// FairShare shares a capacity between tenants by weight, max-min: one that asks for less than its share gets all it asks
// for, whatever others ask for, and what it leaves goes to those that ask for more. Memory is bounded: of tenants that
// hold nothing only the last ones seen are remembered, and those that hold something are no more than the capacity.
type FairShare struct {
	capacity, maxIdle int
	held              int
	activeWeight      float64 // of those that hold something
	byName            map[uint64]*tenant
	idle              *list.List // those that hold nothing, the last seen in front
}

type tenant struct {
	name        uint64
	weight      float64
	held        int
	idleElement *list.Element // among the idle; nil while it holds something
}

// NewFairShare shares so many connections, and remembers so many tenants that hold nothing.
func NewFairShare(capacity, most int) *FairShare {
	return &FairShare{capacity: capacity, maxIdle: max(1, most), byName: map[uint64]*tenant{}, idle: list.New()}
}

// lookup finds one by its name, or makes it.
func (t *FairShare) lookup(name uint64, weight float64) *tenant {
	x := t.byName[name]
	if x == nil {
		x = &tenant{name: name}
		t.byName[name] = x
		t.addIdle(x)
	}
	if x.held > 0 {
		t.activeWeight += weight - x.weight
	}
	x.weight = weight
	return x
}

// addIdle enters one that holds nothing, and forgets the one that was seen longest ago where there are too many.
func (t *FairShare) addIdle(x *tenant) {
	x.idleElement = t.idle.PushFront(x)
	if t.idle.Len() > t.maxIdle {
		last := t.idle.Back()
		t.idle.Remove(last)
		delete(t.byName, last.Value.(*tenant).name)
	}
}

// reservedShare is the share of the capacity that only tenants under their share are given, so that one that comes when
// others have taken all the rest is let in at once. A sixteenth: with more tenants than that coming at once, those
// over their share must leave first, and Over tells how far the capacity is passed until they have.
const reservedShare = 1.0 / 16

// minWeight guards against a weight of nothing, which would have no share.
const minWeight = 0.001

// Take takes a connection for a tenant, if it may have one: while there is room, or where it is under its share.
func (t *FairShare) Take(name uint64, weight float64) bool {
	x := t.lookup(name, max(weight, minWeight))
	total := t.activeWeight
	if x.held == 0 {
		total += x.weight
	}
	share := math.Max(1, math.Floor(float64(t.capacity)*x.weight/total))
	if float64(t.held) >= float64(t.capacity)*(1-reservedShare) && float64(x.held+1) > share {
		return false
	}
	if x.held == 0 {
		t.activeWeight += x.weight
		t.idle.Remove(x.idleElement)
		x.idleElement = nil
	}
	x.held++
	t.held++
	return true
}

// Release gives a tenant's connection back.
func (t *FairShare) Release(name uint64) {
	x := t.byName[name]
	if x == nil || x.held == 0 {
		return
	}
	x.held--
	t.held--
	if x.held == 0 {
		t.activeWeight -= x.weight
		t.addIdle(x)
	}
}

// Held is how many connections a tenant has; Over how many are held beyond the capacity.
func (t *FairShare) Held(name uint64) int {
	if x := t.byName[name]; x != nil {
		return x.held
	}
	return 0
}

func (t *FairShare) Excess() int { return max(0, t.held-t.capacity) }

// Len is how many tenants are remembered.
func (t *FairShare) Len() int { return len(t.byName) }
