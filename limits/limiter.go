package limits

import (
	"container/list"

	"hatchproxy/logic"
)

// Limiter decides which connections a listener admits. It limits the rate of connection setups, in all and by client
// address, the number of established connections, shared fairly between tenants, and retries as a share of first tries.
// A limit that is not set admits everything.
type Limiter struct {
	SetupRate      Rate         // 0 per second: no limit
	MaxConnections int          // 0: no limit; shared max-min fairly between tenants
	AddressRate    Rate         // of one address; 0 per second: no limit
	RetryShare     float64      // retries per first try; 0: no limit
	MaxWait        logic.Micros // the longest time after which a client is told to come back

	setups        Bucket
	retries       RetryBudget
	tenants       *FairShare
	addresses     *bucketCache
	retrySpreader *RetrySpreader
	refused       map[Reason]uint64
}

// Reason tells which limit a connection was refused for.
type Reason string

const (
	Admitted            Reason = ""
	SetupRateExceeded   Reason = "set-ups"
	TenantShareExceeded Reason = "tenant"
	AddressRateExceeded Reason = "address"
	RetryBudgetExceeded Reason = "retries"
	maxAddresses               = 65_536 // addresses that are remembered; one that was forgotten starts with a full bucket
	maxIdleTenants             = 65_536 // tenants without connections that are remembered
	// minRetriesPerSecond allows some retries to a pool with hardly any first tries.
	minRetriesPerSecond = 1.0
	// defaultRetryAfter is the wait where it isn't known when there will be room, as others must leave first.
	defaultRetryAfter = logic.Second
)

// Init prepares the limiter for use and returns it.
func (l *Limiter) Init(seed int64) *Limiter {
	l.retries = RetryBudget{Share: l.RetryShare, MinPerSecond: minRetriesPerSecond}
	l.retrySpreader, l.addresses, l.refused = NewRetrySpreader(seed), newBucketCache(maxAddresses), map[Reason]uint64{}
	if l.MaxConnections > 0 {
		l.tenants = NewFairShare(l.MaxConnections, maxIdleTenants)
	}
	return l
}

// Admit returns Admitted, or the limit that refuses the connection and how long the client is to wait before it tries
// again. retry says that the client has tried before. A refused connection uses no permit of a rate and no tenant's place;
// the retry budget may have counted it. An admitted one must be given back with Release.
func (l *Limiter) Admit(now logic.Micros, tenant, address uint64, retry bool) (Reason, logic.Micros) {
	var bucket *Bucket
	if l.AddressRate.PerSecond > 0 {
		bucket = l.addresses.get(address)
		if ok, wait := bucket.Take(now, l.AddressRate); !ok {
			return l.refuse(AddressRateExceeded), min(wait, l.MaxWait) // its own bucket tells when; no need to spread its retry among others
		}
	}
	returnPermit := func() {
		if bucket != nil {
			bucket.Return(l.AddressRate)
		}
	}
	if l.RetryShare > 0 {
		if !retry {
			l.retries.CountFirstTry(now)
		} else if !l.retries.TakeRetry(now) {
			returnPermit()
			return l.refuse(RetryBudgetExceeded), l.retrySpreader.RetryAfter(now, defaultRetryAfter, l.MaxWait, l.retriesPerSecond())
		}
	}
	if l.SetupRate.PerSecond > 0 {
		if ok, wait := l.setups.Take(now, l.SetupRate); !ok {
			returnPermit()
			return l.refuse(SetupRateExceeded), l.retrySpreader.RetryAfter(now, wait, l.MaxWait, l.retriesPerSecond())
		}
	}
	if l.tenants != nil && !l.tenants.Take(tenant, 1) {
		l.setups.Return(l.SetupRate)
		returnPermit()
		return l.refuse(TenantShareExceeded), l.retrySpreader.RetryAfter(now, defaultRetryAfter, l.MaxWait, l.retriesPerSecond())
	}
	return Admitted, 0
}

// Release gives back the place of an admitted connection that has ended.
func (l *Limiter) Release(tenant uint64) {
	if l.tenants != nil {
		l.tenants.Release(tenant)
	}
}

// refuse counts a refusal.
func (l *Limiter) refuse(reason Reason) Reason {
	l.refused[reason]++
	return reason
}

// Refused returns the number of refusals since the start, by reason.
func (l *Limiter) Refused() map[Reason]uint64 { return l.refused }

// retriesPerSecond returns how many of the refused clients are told to come back per second: half of the setup rate, or 100
// if none is set.
func (l *Limiter) retriesPerSecond() float64 {
	if l.SetupRate.PerSecond > 0 {
		return l.SetupRate.PerSecond / 2 // leaves the other half to first tries
	}
	return 100
}

// bucketCache keeps buckets by key and evicts the least recently used one when it is full.
type bucketCache struct {
	capacity int
	byKey    map[uint64]*list.Element // the elements of recency
	recency  *list.List               // of *cachedBucket, the most recently used one first
}

// cachedBucket is a bucket of a bucketCache with its key.
type cachedBucket struct {
	key uint64
	Bucket
}

func newBucketCache(capacity int) *bucketCache {
	return &bucketCache{capacity, map[uint64]*list.Element{}, list.New()}
}

// get returns the bucket of a key, a new one if there is none.
func (b *bucketCache) get(key uint64) *Bucket {
	if element := b.byKey[key]; element != nil {
		b.recency.MoveToFront(element)
		return &element.Value.(*cachedBucket).Bucket
	}
	if len(b.byKey) >= b.capacity {
		oldest := b.recency.Back()
		delete(b.byKey, oldest.Value.(*cachedBucket).key)
		b.recency.Remove(oldest)
	}
	cached := &cachedBucket{key: key}
	b.byKey[key] = b.recency.PushFront(cached)
	return &cached.Bucket
}
