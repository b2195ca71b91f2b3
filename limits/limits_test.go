package limits_test

import (
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"hatchproxy/limits"
	"hatchproxy/logic"
)

const second = logic.Second

func TestABucketGivesItsRateAndItsBurstWhateverTheClockDoes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := limits.Rate{PerSecond: rapid.Float64Range(0.5, 200).Draw(t, "rate"), Burst: rapid.Float64Range(1, 50).Draw(t, "burst")}
		var b limits.Bucket
		now, ahead, given := 1000*second, logic.Micros(0), 0.0
		for range 300 {
			step := logic.Micros(rapid.Int64Range(-int64(second), int64(second)).Draw(t, "step"))
			now += step
			ahead += max(step, 0)
			if ok, wait := b.Take(now, r); ok {
				given++
			} else if wait <= 0 || wait > 2*second+1 {
				t.Fatalf("a wait of %d", wait)
			}
		}
		if most := r.Burst + r.PerSecond*float64(ahead)/1e6 + 1; given > most {
			t.Fatalf("%g given, %g at most", given, most)
		}
	})
}

func TestWhoComesWhenToldFindsRoom(t *testing.T) {
	r := limits.Rate{PerSecond: 10, Burst: 1}
	var b limits.Bucket
	for now := second; now < 20*second; {
		ok, wait := b.Take(now, r)
		if !ok {
			now += wait
			ok, _ = b.Take(now, r)
			require.True(t, ok)
		}
	}
	ok, wait := (&limits.Bucket{}).Take(0, limits.Rate{})
	require.True(t, ok, "a burst of one at least")
	require.Zero(t, wait)
}

// Guards against all those told coming back in one moment.
func TestThoseThatAreTurnedAwayAreSpreadOverTheTimeThatTheyNeed(t *testing.T) {
	s := limits.NewRetrySpreader(1)
	var told []logic.Micros
	for range 200 {
		told = append(told, s.RetryAfter(0, second/10, 60*second, 50))
	}
	require.GreaterOrEqual(t, told[0], second/10)
	for at := logic.Micros(0); at < 4*second; at += second / 2 {
		n := 0
		for _, x := range told {
			if x >= at && x < at+second/2 {
				n++
			}
		}
		require.LessOrEqual(t, n, 27, "half a second has room for 25")
	}
	late := limits.NewRetrySpreader(1)
	var beyond []logic.Micros
	for range 5000 {
		beyond = append(beyond, late.RetryAfter(0, 0, second, 50))
	}
	require.LessOrEqual(t, slices.Max(beyond), second)
}

func TestRetriesAreNeverMoreThanTheirShareOfFirstTries(t *testing.T) {
	b := limits.RetryBudget{Share: 0.1, MinPerSecond: 0.5}
	now, first, again := logic.Micros(0), 0, 0
	for range 20_000 { // a storm: each first try brings four retries
		now += 2 * logic.Millisecond
		b.CountFirstTry(now)
		first++
		for range 4 {
			if b.TakeRetry(now) {
				again++
			}
		}
	}
	require.InDelta(t, 0.1, float64(again)/float64(first), 0.02)
	quiet := limits.RetryBudget{Share: 0.1, MinPerSecond: 0.5}
	granted := 0
	for range 60 {
		now += second
		if quiet.TakeRetry(now) {
			granted++
		}
	}
	require.InDelta(t, 30, granted, 8, "a pool that is hardly used may retry all the same")
}

func TestATenantUnderItsShareIsNotRefusedBecauseAnotherIsOver(t *testing.T) {
	const small = 200
	share := limits.NewFairShare(1000, 10_000)
	for range 5000 { // one that asks for fifty times its share comes first and takes all it gets
		share.Take(1, 1)
	}
	require.Greater(t, share.Held(1), 900, "while nobody else is there it has nearly all")
	refused := 0
	for range 4 {
		for n := uint64(2); n < 2+small; n++ {
			if !share.Take(n, 1) {
				refused++
			}
		}
		for range 200 {
			share.Release(1) // connections end, and it asks again at once
			share.Take(1, 1)
		}
	}
	require.Zero(t, refused)
	require.LessOrEqual(t, share.Held(1), 1000/small+1+200, "what it gives back it does not get again")
	require.LessOrEqual(t, share.Excess(), 1000*15/16)
}

func TestSharesAreKeptAndCountedWhateverTenantsDo(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		capacity := rapid.IntRange(16, 64).Draw(t, "capacity")
		tenants := rapid.IntRange(1, 8).Draw(t, "tenants")
		s := limits.NewFairShare(capacity, 4)
		held := make([]int, tenants)
		for range 400 {
			n := rapid.IntRange(0, tenants-1).Draw(t, "tenant")
			if rapid.Bool().Draw(t, "leaves") {
				if held[n] > 0 {
					held[n]--
				}
				s.Release(uint64(n))
				continue
			}
			busy := 0
			for m, h := range held {
				if h > 0 || m == n {
					busy++
				}
			}
			if s.Take(uint64(n), 1) {
				held[n]++
			} else if held[n]+1 <= capacity/busy {
				t.Fatalf("tenant %d has %d of a share of %d and is refused", n, held[n], capacity/busy)
			}
		}
		for n, h := range held {
			if s.Held(uint64(n)) != h {
				t.Fatalf("tenant %d has %d, and %d are counted", n, h, s.Held(uint64(n)))
			}
		}
	})
}

func TestAMillionTenantNamesAreNotRemembered(t *testing.T) {
	s := limits.NewFairShare(100, 1000)
	for n := range uint64(1_000_000) {
		if s.Take(n, 1) {
			s.Release(n)
		}
	}
	require.LessOrEqual(t, s.Len(), 1100)
}

func BenchmarkTenants(b *testing.B) {
	s := limits.NewFairShare(10_000, 1_000_000)
	for n := range uint64(1_000_000) {
		s.Take(n, 1)
		s.Release(n)
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		n := uint64(i) * 2654435761 % 1_000_000
		s.Take(n, 1)
		s.Release(n)
	}
}

func TestWhatOneLimitRefusesTakesNothingFromTheOthers(t *testing.T) {
	g := (&limits.Limiter{SetupRate: limits.Rate{PerSecond: 10, Burst: 5}, MaxConnections: 16, AddressRate: limits.Rate{PerSecond: 2, Burst: 3},
		MaxWait: 5 * second}).Init(1)
	now := second
	let := 0
	for range 20 { // one address beyond its own rate
		if why, wait := g.Admit(now, 1, 7, false); why == limits.Admitted {
			let++
		} else {
			require.Equal(t, limits.AddressRateExceeded, why)
			require.LessOrEqual(t, wait, second)
		}
	}
	require.Equal(t, 3, let)
	for n := range uint64(2) {
		why, _ := g.Admit(now, 2, 100+n, false)
		require.Equal(t, limits.Admitted, why, "the common rate has lost three, and not twenty")
	}
	why, wait := g.Admit(now, 2, 200, false)
	require.Equal(t, limits.SetupRateExceeded, why)
	require.Positive(t, wait)
	now += 10 * second
	for n := range uint64(3) {
		why, _ = g.Admit(now, 2, 200, false)
		require.Equal(t, limits.Admitted, why, "%d: what the common rate refused has taken nothing from the address", n)
	}
	require.EqualValues(t, 17, g.Refused()[limits.AddressRateExceeded])
}

func TestARetryStormLeavesFirstTriesThrough(t *testing.T) {
	g := (&limits.Limiter{RetryShare: 0.2, MaxWait: 5 * second}).Init(1)
	first, again, now := 0, 0, second
	for range 2000 {
		now += 10 * logic.Millisecond
		why, _ := g.Admit(now, 1, 1, false)
		require.Equal(t, limits.Admitted, why)
		first++
		for range 5 {
			if why, _ := g.Admit(now, 1, 1, true); why == limits.Admitted {
				again++
			} else {
				require.Equal(t, limits.RetryBudgetExceeded, why)
			}
		}
	}
	require.InDelta(t, 0.2, float64(again)/float64(first), 0.03)
}
