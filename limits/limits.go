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
	permits float64
	at      logic.Micros
	used    bool
}

// Take takes a permit if there is one; otherwise it tells when there will be.
func (b *Bucket) Take(now logic.Micros, r Rate) (ok bool, wait logic.Micros) {
	b.fill(now, r)
	if b.permits >= 1 {
		b.permits--
		return true, 0
	}
	if r.PerSecond <= 0 {
		return false, never
	}
	return false, logic.Micros(math.Ceil((1 - b.permits) / r.PerSecond * 1e6))
}

// never is a wait that has no end: a rate of nothing.
const never = logic.Micros(math.MaxInt64 / 4)

// fill adds what the time since brought. A clock that jumps back brings nothing and takes nothing; one that jumps
// ahead fills the bucket at most.
func (b *Bucket) fill(now logic.Micros, r Rate) {
	burst := max(1, r.Burst)
	if !b.used {
		b.permits, b.used = burst, true
	} else if passed := now - b.at; passed > 0 {
		b.permits = min(burst, b.permits+float64(passed)/1e6*r.PerSecond)
	}
	b.permits = min(b.permits, burst)
	b.at = now
}

// Back gives a permit back that was not used.
func (b *Bucket) Back(r Rate) { b.permits = min(max(1, r.Burst), b.permits+1) }

// Spread turns the wait until there is room into one for a client: each that is told within a while gets a later slot
// than the one before, so that those told do not come back together. Room is how many come in a second.
type Spread struct {
	until logic.Micros
	rng   *rand.Rand
}

// NewSpread makes one from a seed.
func NewSpread(seed int64) *Spread { return &Spread{rng: rand.New(rand.NewSource(seed))} }

// Tell says when the next one that is turned away is to come, at least wait from now and at most longest.
func (s *Spread) Tell(now, wait, longest logic.Micros, room float64) logic.Micros {
	gap := logic.Micros(1e6 / max(room, 0.1))
	s.until = max(s.until, now+wait)
	told := s.until - now
	s.until += gap
	if told > longest {
		// Beyond what may be told, chance spreads them over the last half of it.
		return longest/2 + logic.Micros(s.rng.Int63n(int64(longest/2)+1))
	}
	return max(min(told+logic.Micros(s.rng.Int63n(int64(gap)+1)), longest), logic.Millisecond)
}

// Budget bounds retries to a share of first tries, over the last ten seconds or so.
type Budget struct {
	Share float64 // of first tries
	Least float64 // retries a second that are always allowed: a pool that is hardly used

	first, again float64
	at           logic.Micros
	used         bool
}

// half is the time in which what was counted loses half of its weight.
const half = 5 * logic.Second

func (b *Budget) age(now logic.Micros) {
	if b.used && now > b.at {
		keep := math.Exp2(-float64(now-b.at) / float64(half))
		b.first, b.again = b.first*keep, b.again*keep
	}
	if !b.used || now > b.at {
		b.at, b.used = now, true
	}
}

// First counts a first try.
func (b *Budget) First(now logic.Micros) {
	b.age(now)
	b.first++
}

// Again takes a retry from the budget, if there is one in it.
func (b *Budget) Again(now logic.Micros) bool {
	b.age(now)
	// What decays with this half-life sums up to so many seconds of a steady rate.
	const window = float64(half) / 1e6 / math.Ln2
	if b.again+1 > b.Share*b.first+b.Least*window {
		return false
	}
	b.again++
	return true
}

// Tenants shares a capacity between tenants by weight, max-min: one that asks for less than its share gets all it asks
// for, whatever others ask for, and what it leaves goes to those that ask for more. Memory is bounded: of tenants that
// hold nothing only the last ones seen are remembered, and those that hold something are no more than the capacity.
type Tenants struct {
	capacity, most int
	held           int
	weight         float64 // of those that hold something
	byName         map[uint64]*tenant
	idle           *list.List // those that hold nothing, the last seen in front
}

type tenant struct {
	name   uint64
	weight float64
	held   int
	place  *list.Element // among the idle; nil while it holds something
}

// NewTenants shares so many connections, and remembers so many tenants that hold nothing.
func NewTenants(capacity, most int) *Tenants {
	return &Tenants{capacity: capacity, most: max(1, most), byName: map[uint64]*tenant{}, idle: list.New()}
}

// tenant finds one by its name, or makes it.
func (t *Tenants) tenant(name uint64, weight float64) *tenant {
	x := t.byName[name]
	if x == nil {
		x = &tenant{name: name}
		t.byName[name] = x
		t.rest(x)
	}
	if x.held > 0 {
		t.weight += weight - x.weight
	}
	x.weight = weight
	return x
}

// rest enters one that holds nothing, and forgets the one that was seen longest ago where there are too many.
func (t *Tenants) rest(x *tenant) {
	x.place = t.idle.PushFront(x)
	if t.idle.Len() > t.most {
		last := t.idle.Back()
		t.idle.Remove(last)
		delete(t.byName, last.Value.(*tenant).name)
	}
}

// keptBack is the share of the capacity that only tenants under their share are given, so that one that comes when
// others have taken all the rest is let in at once. A sixteenth: with more tenants than that coming at once, those
// over their share must leave first, and Over tells how far the capacity is passed until they have.
const keptBack = 1.0 / 16

// lightest guards against a weight of nothing, which would have no share.
const lightest = 0.001

// Take takes a connection for a tenant, if it may have one: while there is room, or where it is under its share.
func (t *Tenants) Take(name uint64, weight float64) bool {
	x := t.tenant(name, max(weight, lightest))
	total := t.weight
	if x.held == 0 {
		total += x.weight
	}
	share := math.Max(1, math.Floor(float64(t.capacity)*x.weight/total))
	if float64(t.held) >= float64(t.capacity)*(1-keptBack) && float64(x.held+1) > share {
		return false
	}
	if x.held == 0 {
		t.weight += x.weight
		t.idle.Remove(x.place)
		x.place = nil
	}
	x.held++
	t.held++
	return true
}

// Leave gives a tenant's connection back.
func (t *Tenants) Leave(name uint64) {
	x := t.byName[name]
	if x == nil || x.held == 0 {
		return
	}
	x.held--
	t.held--
	if x.held == 0 {
		t.weight -= x.weight
		t.rest(x)
	}
}

// Held is how many connections a tenant has; Over how many are held beyond the capacity.
func (t *Tenants) Held(name uint64) int {
	if x := t.byName[name]; x != nil {
		return x.held
	}
	return 0
}

func (t *Tenants) Over() int { return max(0, t.held-t.capacity) }

// Known is how many tenants are remembered.
func (t *Tenants) Known() int { return len(t.byName) }
