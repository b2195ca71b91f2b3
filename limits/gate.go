package limits

import (
	"container/list"

	"hatchproxy/logic"
)

// Limiter is what a listener lets in: set-ups in a second, connections that stand, shares of tenants, each address's own
// rate, and retries as a share of first tries. A part that is not set lets everybody in.
type Limiter struct {
	SetupRate      Rate // 0 a second: no limit
	MaxConnections int  // 0: no limit; shared between tenants, max-min
	AddressRate    Rate
	RetryShare     float64 // 0: no limit
	MaxWait        logic.Micros

	setups        Bucket
	retries       RetryBudget
	tenants       *FairShare
	addresses     *bucketCache
	retrySpreader *RetrySpreader
	refused       map[Reason]uint64
}

// Reason is what somebody was turned away for.
type Reason string

const (
	Admitted            Reason = ""
	SetupRateExceeded   Reason = "set-ups"
	TenantShareExceeded Reason = "tenant"
	AddressRateExceeded Reason = "address"
	RetryBudgetExceeded Reason = "retries"
	maxAddresses               = 65_536 // as many addresses are remembered; one that is forgotten has a full bucket again
	maxIdleTenants             = 65_536
	// minRetriesPerSecond lets a pool that is hardly used retry all the same.
	minRetriesPerSecond = 1.0
	// defaultRetryAfter is how soon one is told to come that waits for others to leave: the time is not known.
	defaultRetryAfter = logic.Second
)

// Init makes the gate ready.
func (g *Limiter) Init(seed int64) *Limiter {
	g.retries = RetryBudget{Share: g.RetryShare, MinPerSecond: minRetriesPerSecond}
	g.retrySpreader, g.addresses, g.refused = NewRetrySpreader(seed), newBucketCache(maxAddresses), map[Reason]uint64{}
	if g.MaxConnections > 0 {
		g.tenants = NewFairShare(g.MaxConnections, maxIdleTenants)
	}
	return g
}

// Admit lets one in, or tells why not and when to come again. What is refused has taken nothing from the other limits.
// One that was let in is given back with Leave.
func (g *Limiter) Admit(now logic.Micros, tenant, address uint64, retry bool) (Reason, logic.Micros) {
	var bucket *Bucket
	if g.AddressRate.PerSecond > 0 {
		bucket = g.addresses.get(address)
		if ok, wait := bucket.Take(now, g.AddressRate); !ok {
			return g.refuse(AddressRateExceeded), min(wait, g.MaxWait) // its own wait: others need not be spread
		}
	}
	back := func() {
		if bucket != nil {
			bucket.Return(g.AddressRate)
		}
	}
	if g.RetryShare > 0 {
		if !retry {
			g.retries.CountFirstTry(now)
		} else if !g.retries.TakeRetry(now) {
			back()
			return g.refuse(RetryBudgetExceeded), g.retrySpreader.RetryAfter(now, defaultRetryAfter, g.MaxWait, g.retriesPerSecond())
		}
	}
	if g.SetupRate.PerSecond > 0 {
		if ok, wait := g.setups.Take(now, g.SetupRate); !ok {
			back()
			return g.refuse(SetupRateExceeded), g.retrySpreader.RetryAfter(now, wait, g.MaxWait, g.retriesPerSecond())
		}
	}
	if g.tenants != nil && !g.tenants.Take(tenant, 1) {
		g.setups.Return(g.SetupRate)
		back()
		return g.refuse(TenantShareExceeded), g.retrySpreader.RetryAfter(now, defaultRetryAfter, g.MaxWait, g.retriesPerSecond())
	}
	return Admitted, 0
}

// Release gives back what one held that was let in.
func (g *Limiter) Release(tenant uint64) {
	if g.tenants != nil {
		g.tenants.Release(tenant)
	}
}

func (g *Limiter) refuse(w Reason) Reason {
	g.refused[w]++
	return w
}

// Refused tells how many were turned away, and why, since the start.
func (g *Limiter) Refused() map[Reason]uint64 { return g.refused }

// retriesPerSecond is how many of those told may come in a second.
func (g *Limiter) retriesPerSecond() float64 {
	if g.SetupRate.PerSecond > 0 {
		return g.SetupRate.PerSecond / 2 // the other half is for those that come for the first time
	}
	return 100
}

// bucketCache are those of many names; the ones used longest ago are forgotten.
type bucketCache struct {
	capacity int
	byKey    map[uint64]*list.Element
	recency  *list.List
}

type cachedBucket struct {
	key uint64
	Bucket
}

func newBucketCache(most int) *bucketCache {
	return &bucketCache{most, map[uint64]*list.Element{}, list.New()}
}

func (b *bucketCache) get(name uint64) *Bucket {
	if e := b.byKey[name]; e != nil {
		b.recency.MoveToFront(e)
		return &e.Value.(*cachedBucket).Bucket
	}
	if len(b.byKey) >= b.capacity {
		last := b.recency.Back()
		delete(b.byKey, last.Value.(*cachedBucket).key)
		b.recency.Remove(last)
	}
	n := &cachedBucket{key: name}
	b.byKey[name] = b.recency.PushFront(n)
	return &n.Bucket
}
