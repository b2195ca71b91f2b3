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

func TestBucketNeverExceedsRateAndBurstWhateverTheClockDoes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := limits.Rate{PerSecond: rapid.Float64Range(0.5, 200).Draw(t, "rate"), Burst: rapid.Float64Range(1, 50).Draw(t, "burst")}
		var b limits.Bucket
		now, elapsed, taken := 1000*second, logic.Micros(0), 0.0
		for range 300 {
			step := logic.Micros(rapid.Int64Range(-int64(second), int64(second)).Draw(t, "step"))
			now += step
			elapsed += max(step, 0)
			if ok, wait := b.Take(now, r); ok {
				taken++
			} else if wait <= 0 || wait > 2*second+1 {
				t.Fatalf("wait is %d", wait)
			}
		}
		if limit := r.Burst + r.PerSecond*float64(elapsed)/1e6 + 1; taken > limit {
			t.Fatalf("%g permits taken, want at most %g", taken, limit)
		}
	})
}

func TestBucketHasAPermitAfterTheWaitItReturned(t *testing.T) {
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
	require.True(t, ok, "the burst is at least one")
	require.Zero(t, wait)
}

// Guards against all refused clients coming back at once.
func TestRetriesOfRefusedClientsAreSpreadOverTime(t *testing.T) {
	s := limits.NewRetrySpreader(1)
	var waits []logic.Micros
	for range 200 {
		waits = append(waits, s.RetryAfter(0, second/10, 60*second, 50))
	}
	require.GreaterOrEqual(t, waits[0], second/10)
	for at := logic.Micros(0); at < 4*second; at += second / 2 {
		n := 0
		for _, x := range waits {
			if x >= at && x < at+second/2 {
				n++
			}
		}
		require.LessOrEqual(t, n, 27, "half a second has room for 25")
	}
	overloaded := limits.NewRetrySpreader(1)
	var longWaits []logic.Micros
	for range 5000 {
		longWaits = append(longWaits, overloaded.RetryAfter(0, 0, second, 50))
	}
	require.LessOrEqual(t, slices.Max(longWaits), second)
}

func TestRetriesKeepToTheirShareOfFirstTries(t *testing.T) {
	b := limits.RetryBudget{Share: 0.1, MinPerSecond: 0.5}
	now, firstTries, retries := logic.Micros(0), 0, 0
	for range 20_000 { // a retry storm: each first try is followed by four retries
		now += 2 * logic.Millisecond
		b.CountFirstTry(now)
		firstTries++
		for range 4 {
			if b.TakeRetry(now) {
				retries++
			}
		}
	}
	require.InDelta(t, 0.1, float64(retries)/float64(firstTries), 0.02)
	quiet := limits.RetryBudget{Share: 0.1, MinPerSecond: 0.5}
	granted := 0
	for range 60 {
		now += second
		if quiet.TakeRetry(now) {
			granted++
		}
	}
	require.InDelta(t, 30, granted, 8, "a pool with hardly any first tries may still retry")
}

func TestTenantBelowItsShareIsNotRefusedBecauseAnotherExceedsIts(t *testing.T) {
	const newTenants = 200
	share := limits.NewFairShare(1000, 10_000)
	for range 5000 { // tenant 1 comes first, asks for far more than its share and takes all it gets
		share.Take(1, 1)
	}
	require.Greater(t, share.Held(1), 900, "alone, it has nearly all of the capacity")
	refused := 0
	for range 4 {
		for n := uint64(2); n < 2+newTenants; n++ {
			if !share.Take(n, 1) {
				refused++
			}
		}
		for range 200 {
			share.Release(1) // connections of tenant 1 end, and it asks for new ones at once
			share.Take(1, 1)
		}
	}
	require.Zero(t, refused)
	require.LessOrEqual(t, share.Held(1), 1000/newTenants+1+200, "it does not get back what it released")
	require.LessOrEqual(t, share.Excess(), 1000*15/16)
}

func TestSharesAreRespectedAndCountedInAnyOrderOfCalls(t *testing.T) {
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
			active := 0
			for m, h := range held {
				if h > 0 || m == n {
					active++
				}
			}
			if s.Take(uint64(n), 1) {
				held[n]++
			} else if held[n]+1 <= capacity/active {
				t.Fatalf("tenant %d has %d of its share of %d and is refused", n, held[n], capacity/active)
			}
		}
		for n, h := range held {
			if s.Held(uint64(n)) != h {
				t.Fatalf("tenant %d has %d connections, and %d are counted", n, h, s.Held(uint64(n)))
			}
		}
	})
}

func TestIdleTenantsAreForgotten(t *testing.T) {
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

func TestRefusalByOneLimitUsesNothingOfTheOthers(t *testing.T) {
	l := (&limits.Limiter{SetupRate: limits.Rate{PerSecond: 10, Burst: 5}, MaxConnections: 16, AddressRate: limits.Rate{PerSecond: 2, Burst: 3},
		MaxWait: 5 * second}).Init(1)
	now := second
	admitted := 0
	for range 20 { // one address exceeds its own rate
		if reason, wait := l.Admit(now, 1, 7, false); reason == limits.Admitted {
			admitted++
		} else {
			require.Equal(t, limits.AddressRateExceeded, reason)
			require.LessOrEqual(t, wait, second)
		}
	}
	require.Equal(t, 3, admitted)
	for n := range uint64(2) {
		reason, _ := l.Admit(now, 2, 100+n, false)
		require.Equal(t, limits.Admitted, reason, "the common rate has lost three permits, not twenty")
	}
	reason, wait := l.Admit(now, 2, 200, false)
	require.Equal(t, limits.SetupRateExceeded, reason)
	require.Positive(t, wait)
	now += 10 * second
	for n := range uint64(3) {
		reason, _ = l.Admit(now, 2, 200, false)
		require.Equal(t, limits.Admitted, reason, "%d: the refusal by the common rate used no permit of the address", n)
	}
	require.EqualValues(t, 17, l.Refused()[limits.AddressRateExceeded])
}

func TestFirstTriesAreAdmittedDuringARetryStorm(t *testing.T) {
	l := (&limits.Limiter{RetryShare: 0.2, MaxWait: 5 * second}).Init(1)
	firstTries, retries, now := 0, 0, second
	for range 2000 {
		now += 10 * logic.Millisecond
		reason, _ := l.Admit(now, 1, 1, false)
		require.Equal(t, limits.Admitted, reason)
		firstTries++
		for range 5 {
			if reason, _ := l.Admit(now, 1, 1, true); reason == limits.Admitted {
				retries++
			} else {
				require.Equal(t, limits.RetryBudgetExceeded, reason)
			}
		}
	}
	require.InDelta(t, 0.2, float64(retries)/float64(firstTries), 0.03)
}
