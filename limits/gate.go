package limits

import (
	"container/list"

	"hatchproxy/logic"
)

// Gate is what a listener lets in: set-ups in a second, connections that stand, shares of tenants, each address's own
// rate, and retries as a share of first tries. A part that is not set lets everybody in.
type Gate struct {
	SetUps      Rate // 0 a second: no limit
	Standing    int  // 0: no limit; shared between tenants, max-min
	PerAddress  Rate
	RetryShare  float64 // 0: no limit
	LongestWait logic.Micros

	all       Bucket
	retries   Budget
	tenants   *Tenants
	addresses *buckets
	spread    *Spread
	refused   map[Why]uint64
}

// Why is what somebody was turned away for.
type Why string

const (
	None        Why = ""
	ByRate      Why = "set-ups"
	ByShare     Why = "tenant"
	ByAddress   Why = "address"
	ByRetries   Why = "retries"
	mostAddress     = 65_536 // as many addresses are remembered; one that is forgotten has a full bucket again
	mostIdle        = 65_536
	// leastRetries lets a pool that is hardly used retry all the same.
	leastRetries = 1.0
	// comeAgain is how soon one is told to come that waits for others to leave: the time is not known.
	comeAgain = logic.Second
)

// Open makes the gate ready.
func (g *Gate) Open(seed int64) *Gate {
	g.retries = Budget{Share: g.RetryShare, Least: leastRetries}
	g.spread, g.addresses, g.refused = NewSpread(seed), newBuckets(mostAddress), map[Why]uint64{}
	if g.Standing > 0 {
		g.tenants = NewTenants(g.Standing, mostIdle)
	}
	return g
}

// Ask lets one in, or tells why not and when to come again. What is refused has taken nothing from the other limits.
// One that was let in is given back with Leave.
func (g *Gate) Ask(now logic.Micros, tenant, address uint64, retry bool) (Why, logic.Micros) {
	var bucket *Bucket
	if g.PerAddress.PerSecond > 0 {
		bucket = g.addresses.of(address)
		if ok, wait := bucket.Take(now, g.PerAddress); !ok {
			return g.no(ByAddress), min(wait, g.LongestWait) // its own wait: others need not be spread
		}
	}
	back := func() {
		if bucket != nil {
			bucket.Back(g.PerAddress)
		}
	}
	if g.RetryShare > 0 {
		if !retry {
			g.retries.First(now)
		} else if !g.retries.Again(now) {
			back()
			return g.no(ByRetries), g.spread.Tell(now, comeAgain, g.LongestWait, g.room())
		}
	}
	if g.SetUps.PerSecond > 0 {
		if ok, wait := g.all.Take(now, g.SetUps); !ok {
			back()
			return g.no(ByRate), g.spread.Tell(now, wait, g.LongestWait, g.room())
		}
	}
	if g.tenants != nil && !g.tenants.Take(tenant, 1) {
		g.all.Back(g.SetUps)
		back()
		return g.no(ByShare), g.spread.Tell(now, comeAgain, g.LongestWait, g.room())
	}
	return None, 0
}

// Leave gives back what one held that was let in.
func (g *Gate) Leave(tenant uint64) {
	if g.tenants != nil {
		g.tenants.Leave(tenant)
	}
}

func (g *Gate) no(w Why) Why {
	g.refused[w]++
	return w
}

// Refused tells how many were turned away, and why, since the start.
func (g *Gate) Refused() map[Why]uint64 { return g.refused }

// room is how many of those told may come in a second.
func (g *Gate) room() float64 {
	if g.SetUps.PerSecond > 0 {
		return g.SetUps.PerSecond / 2 // the other half is for those that come for the first time
	}
	return 100
}

// buckets are those of many names; the ones used longest ago are forgotten.
type buckets struct {
	most   int
	byName map[uint64]*list.Element
	used   *list.List
}

type named struct {
	name uint64
	Bucket
}

func newBuckets(most int) *buckets {
	return &buckets{most, map[uint64]*list.Element{}, list.New()}
}

func (b *buckets) of(name uint64) *Bucket {
	if e := b.byName[name]; e != nil {
		b.used.MoveToFront(e)
		return &e.Value.(*named).Bucket
	}
	if len(b.byName) >= b.most {
		last := b.used.Back()
		delete(b.byName, last.Value.(*named).name)
		b.used.Remove(last)
	}
	n := &named{name: name}
	b.byName[name] = b.used.PushFront(n)
	return &n.Bucket
}
