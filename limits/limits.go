// Package limits provides admission control for connections: which may be set up now, and when a refused client is to
// retry. It limits the rate of connection setups, retries and the number of established connections, for whatever scope
// the caller chooses: a listener, a pool, a product, a tenant, an address. It does no I/O; its callers pass in the time
// and the random seed.
package limits

import (
	"container/list"
	"math"
	"math/rand"

	"hatchproxy/logic"
)

// Rate limits connection setups to PerSecond, with up to Burst at once.
type Rate struct{ PerSecond, Burst float64 }

// Bucket is a token bucket that holds the permits of a Rate. The zero value is full at its first use. It replaces
// golang.org/x/time/rate, which has its own clock and a mutex: here callers pass in the time, a bucket has one owner,
// and it takes 24 bytes, as there may be a million of them.
type Bucket struct {
	permits     float64
	updatedAt   logic.Micros
	initialized bool
}

// Take takes a permit if there is one; otherwise it returns the wait until there will be one.
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

// forever is the wait for a permit of a rate of 0. It may be added to a time without an overflow.
const forever = logic.Micros(math.MaxInt64 / 4)

// refill adds the permits of the time since the last call. A clock that jumps back adds and removes none; one that jumps
// ahead fills the bucket at most.
func (b *Bucket) refill(now logic.Micros, r Rate) {
	burst := max(1, r.Burst)
	if !b.initialized {
		b.permits, b.initialized = burst, true
	} else if elapsed := now - b.updatedAt; elapsed > 0 {
		b.permits = min(burst, b.permits+float64(elapsed)/1e6*r.PerSecond)
	}
	b.permits = min(b.permits, burst)
	b.updatedAt = now
}

// Return gives back a permit that was not used.
func (b *Bucket) Return(r Rate) { b.permits = min(max(1, r.Burst), b.permits+1) }

// RetrySpreader spreads the retries of refused clients over time: each client gets a later slot than the one before, so
// that they do not all come back at once.
type RetrySpreader struct {
	nextSlot logic.Micros // when the next refused client is to retry
	rng      *rand.Rand
}

// NewRetrySpreader returns a RetrySpreader whose random numbers depend on the seed only.
func NewRetrySpreader(seed int64) *RetrySpreader {
	return &RetrySpreader{rng: rand.New(rand.NewSource(seed))}
}

// RetryAfter returns how long the next refused client is to wait: at least wait, unless longest is too short for
// that, and at most longest, with slots for perSecond clients a second.
func (s *RetrySpreader) RetryAfter(now, wait, longest logic.Micros, perSecond float64) logic.Micros {
	gap := logic.Micros(1e6 / max(perSecond, 0.1))
	s.nextSlot = max(s.nextSlot, now+wait)
	toSlot := s.nextSlot - now
	s.nextSlot += gap
	if toSlot > longest {
		// The slots are beyond the longest wait: random waits spread the retries over its second half.
		return longest/2 + logic.Micros(s.rng.Int63n(int64(longest/2)+1))
	}
	return max(min(toSlot+logic.Micros(s.rng.Int63n(int64(gap)+1)), longest), logic.Millisecond)
}

// RetryBudget limits retries to a share of first tries. Both are counted over about the last ten seconds.
type RetryBudget struct {
	Share        float64 // retries per first try
	MinPerSecond float64 // retries per second that are always allowed, for a pool with hardly any first tries

	firstTries, retries float64
	updatedAt           logic.Micros
	initialized         bool
}

// halfLife is the half-life of counted tries and retries.
const halfLife = 5 * logic.Second

// decay lowers the counts by the time since the last call.
func (b *RetryBudget) decay(now logic.Micros) {
	if b.initialized && now > b.updatedAt {
		factor := math.Exp2(-float64(now-b.updatedAt) / float64(halfLife))
		b.firstTries, b.retries = b.firstTries*factor, b.retries*factor
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

// TakeRetry counts a retry and returns true if the budget allows it.
func (b *RetryBudget) TakeRetry(now logic.Micros) bool {
	b.decay(now)
	// A steady rate counted with this half-life adds up to the tries of this many seconds.
	const window = float64(halfLife) / 1e6 / math.Ln2
	if b.retries+1 > b.Share*b.firstTries+b.MinPerSecond*window {
		return false
	}
	b.retries++
	return true
}

// FairShare divides a number of connections between tenants by weight, with max-min fairness: a tenant that asks for less
// than its share gets all it asks for, whatever others ask for, and what it leaves goes to those that ask for more. Memory
// is bounded: of the tenants without connections only the most recent ones are remembered, and there are no more tenants
// with connections than the capacity.
type FairShare struct {
	capacity, maxIdle int
	held              int     // connections of all tenants
	activeWeight      float64 // sum of the weights of the tenants with connections
	byName            map[uint64]*tenant
	idle              *list.List // tenants without connections, the most recent one first
}

// tenant is one tenant of a FairShare.
type tenant struct {
	name        uint64
	weight      float64
	held        int           // its connections
	idleElement *list.Element // its place in FairShare.idle; nil while it has connections
}

// NewFairShare returns a FairShare of capacity connections that remembers up to maxIdle tenants without connections.
func NewFairShare(capacity, maxIdle int) *FairShare {
	return &FairShare{capacity: capacity, maxIdle: max(1, maxIdle), byName: map[uint64]*tenant{}, idle: list.New()}
}

// lookup returns the tenant of a name, a new one if there is none, and sets its weight.
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

// addIdle adds a tenant without connections to the idle ones, and forgets the least recent one if there are too many.
func (t *FairShare) addIdle(x *tenant) {
	x.idleElement = t.idle.PushFront(x)
	if t.idle.Len() > t.maxIdle {
		oldest := t.idle.Back()
		t.idle.Remove(oldest)
		delete(t.byName, oldest.Value.(*tenant).name)
	}
}

// reservedShare is the part of the capacity that only tenants below their share may use, so that a new tenant is admitted
// at once even when others have taken all the rest. When new tenants need more than this sixteenth at once, they are still
// admitted, and Excess returns by how much the capacity is exceeded until connections of tenants over their share end.
const reservedShare = 1.0 / 16

// minWeight is the least weight that counts: a tenant with a weight of 0 would have no share.
const minWeight = 0.001

// Take adds a connection of a tenant if there is room outside of the reserve or the tenant is below its share. It reports
// whether it did.
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

// Release removes a connection of a tenant.
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

// Held returns the number of connections of a tenant.
func (t *FairShare) Held(name uint64) int {
	if x := t.byName[name]; x != nil {
		return x.held
	}
	return 0
}

// Excess returns the number of connections beyond the capacity.
func (t *FairShare) Excess() int { return max(0, t.held-t.capacity) }

// Len returns the number of tenants that are remembered.
func (t *FairShare) Len() int { return len(t.byName) }
