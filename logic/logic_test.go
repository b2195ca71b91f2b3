package logic_test

import (
	"math"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"hatchproxy/logic"
)

func TestFewestActiveAndPendingTakeTurns(t *testing.T) {
	f := newHost(t, 4)
	for id, on := range f.establishMany(12) {
		require.Len(t, on, 3, "server %d", id)
	}
}

func TestPendingCountsBeforeTheConnectionStands(t *testing.T) {
	f := newHost(t, 3)
	seen := map[logic.ServerID]bool{}
	for range 3 {
		seen[f.mustSend(f.newAttachment(0)).Server] = true
	}
	require.Len(t, seen, 3)
}

func TestAnEndedConnectionMakesRoom(t *testing.T) {
	f := newHost(t, 3)
	on := f.establishMany(9)
	require.Equal(t, logic.NoAction, f.RecordOutcome(f.now, on[2][0], logic.OK, true).Action)
	_, id := f.establish()
	require.Equal(t, logic.ServerID(2), id)
}

func TestAHeavierWeightBearsMore(t *testing.T) {
	f := newHost(t, 1)
	f.UpdateServer(f.now, 2, 0, 0, 2, logic.Ready, 3, 0)
	f.EndList(f.now, false)
	on := f.establishMany(12)
	require.Len(t, on[2], 9)
}

func TestNothingNewGoesToDrainingOrGoneServers(t *testing.T) {
	f := newHost(t, 3)
	f.updateServer(1, logic.Draining, 0)
	f.updateServer(2, logic.Gone, 0)
	require.Len(t, f.establishMany(6)[3], 6)
}

func TestAServerMissingFromAWholeListIsGone(t *testing.T) {
	f := newHost(t, 3)
	f.BeginFullList(f.now)
	f.updateServer(2, logic.Ready, 0)
	f.EndList(f.now, false)
	require.Len(t, f.establishMany(4)[2], 4)
}

func TestAnEmptyFleetHoldsAndThenPushesBack(t *testing.T) {
	f := newHost(t, 0)
	a := f.newAttachment(0)
	ans := f.ChooseServer(f.now, a)
	require.Equal(t, logic.Hold, ans.Action)
	require.Positive(t, ans.Duration)
	f.now = a.HardLimit - ms
	require.Equal(t, logic.PushBack, f.ChooseServer(f.now, a).Action)
}

func TestANewServerStartsAtTheOthersMeanAndIsPacedWhileCold(t *testing.T) {
	f := newHost(t, 3)
	f.establishMany(30)
	f.updateServer(4, logic.Ready, f.now)
	f.EndList(f.now, false)
	require.LessOrEqual(t, len(f.establishMany(12)[4]), 3)
	f.advance(20 * sec)
	require.NotEmpty(t, f.establishMany(12)[4])
}

func TestANewServerThatIsWarmStartsAtTheOthersMeanToo(t *testing.T) {
	f := newHost(t, 3)
	f.establishMany(30)
	f.updateServer(4, logic.Ready, 0)
	f.EndList(f.now, false)
	require.LessOrEqual(t, len(f.establishMany(8)[4]), 3)
}

func TestTheListIsAskedAgainAfterAFailureButSpaced(t *testing.T) {
	f := newHost(t, 2)
	f.advance(300 * ms)
	require.Equal(t, 1, f.countJobs(logic.Subscribe))
	for range 4 {
		f.ListRequestFailed(f.now)
		f.advance(100 * ms)
	}
	require.Equal(t, 1, f.countJobs(logic.Subscribe))
	f.advance(6 * sec)
	require.GreaterOrEqual(t, f.countJobs(logic.Subscribe), 2)
	f.EndList(f.now, false)
	before := f.countJobs(logic.Subscribe)
	f.advance(20 * sec)
	require.Equal(t, before, f.countJobs(logic.Subscribe), "a subscription that stands is not asked for again")
}

func TestAServerThatFailsFastIsPassedOverAndComesBack(t *testing.T) {
	f := newHost(t, 4)
	f.establishMany(8)
	for failures := 0; failures < 2; {
		a := f.newAttachment(0)
		bad := f.mustSend(a).Server == 1
		if bad {
			failures++
			again := f.RecordOutcome(f.now, a, logic.Failure, false)
			require.Equal(t, logic.Send, again.Action)
			require.NotEqual(t, logic.ServerID(1), again.Server)
		}
		f.RecordEstablished(f.now, a)
	}
	require.Empty(t, f.establishMany(8)[1], "its count is the lowest, for it has failed the others")
	f.advance(5 * sec)
	require.NotEmpty(t, f.establishMany(16)[1])
}

func TestWhereAllFailAlikeNobodyIsSingledOutAndOneGoesAtATime(t *testing.T) {
	f := newHost(t, 4)
	f.establishMany(8)
	a := f.newAttachment(0)
	f.mustSend(a)
	for range 3 {
		f.advance(100 * ms)
		require.Equal(t, logic.Send, f.RecordOutcome(f.now, a, logic.TimedOut, false).Action)
	}
	// A slow store: the one that is out has all its time, the next one waits.
	other := f.newAttachment(0)
	require.Equal(t, logic.Hold, f.ChooseServer(f.now, other).Action)
	f.RecordEstablished(f.now, a)
	f.mustSend(other)
}

func TestAHungServerLeavesTimeForAnother(t *testing.T) {
	f := newHost(t, 3)
	f.establishMany(6)
	require.Less(t, f.mustSend(f.newAttachment(0)).Duration, statusProduct.QuotedTime)
	f.advance(2 * sec)
	require.Equal(t, 2*sec, f.mustSend(f.newAttachment(0)).Duration, "none stood lately: the store may be slow")
	f.advance(sec)
	a, _ := f.establish()
	require.True(t, a.IsEstablished(), "the servers that hold the two set-ups are passed over")
}

func TestAServerThatShedsIsLeftAlone(t *testing.T) {
	f := newHost(t, 3)
	on := f.establishMany(9)
	for _, a := range on[1] {
		f.RecordOutcome(f.now, a, logic.Reset, true)
	}
	require.Empty(t, f.establishMany(2)[1], "its count is the lowest, for it has dropped them all")
}

func TestALateServerFallsBehindAndLosesSomeConnections(t *testing.T) {
	f := newHost(t, 4)
	on := f.establishMany(40)
	f.reportDelays(500*ms, 6, 1)
	require.Positive(t, f.countJobs(logic.Move))
	for _, e := range f.jobs {
		if e.Kind == logic.Move {
			require.Contains(t, attachmentIDs(on[1]), e.Attachment)
		}
	}
	require.Empty(t, f.establishMany(8)[1])
	f.RecordDelay(f.now, 1, 0)
	f.advance(150 * sec)
	require.NotEmpty(t, f.establishMany(8)[1])
}

func TestADelayThatFallsMovesNobody(t *testing.T) {
	f := newHost(t, 4)
	f.establishMany(40)
	f.RecordDelay(f.now, 1, 900*ms)
	for took := 800 * ms; took > 200*ms; took -= 100 * ms {
		f.RecordDelay(f.now, 1, took)
		f.advance(sec)
	}
	require.Zero(t, f.countJobs(logic.Move))
}

func TestInACrowdTheHeavyArePushedBackAtOnce(t *testing.T) {
	f := newHost(t, 4)
	on := f.establishMany(20)
	for _, as := range on {
		for _, a := range as {
			f.RecordLoad(f.now, a, 1000)
		}
	}
	heavy := f.newAttachment(0)
	heavy.LoadHint = 8000
	f.mustSend(heavy)
	f.RecordOutcome(f.now, heavy, logic.Failure, true)
	f.reportDelays(150*ms, 1, 1, 2)
	again := f.newAttachment(0)
	again.LoadHint = 8000
	ans := f.ChooseServer(f.now, again)
	require.Equal(t, logic.PushBack, ans.Action)
	require.Positive(t, f.countJobs(logic.Log), "on-call staff can read of it")
	require.Positive(t, ans.Duration, "the client is told when to come back")
	f.mustSend(f.newAttachment(0))
}

// What is moved or dropped is mostly heavy, and comes again at a proxy that knows nothing of it.
func TestInACrowdUnknownClientsThatComeBackArePushedBack(t *testing.T) {
	f := newHost(t, 4)
	for _, as := range f.establishMany(20) {
		for _, a := range as {
			f.RecordLoad(f.now, a, 1000)
		}
	}
	f.reportDelays(150*ms, 3, 1, 2, 3, 4)
	back := f.newAttachment(0)
	back.Returning = true
	require.Equal(t, logic.PushBack, f.ChooseServer(f.now, back).Action)
	f.mustSend(f.newAttachment(0))
}

// A proxy of a large fleet holds connections on a few servers, and must not take the others to be well.
func TestAProxyThatKnowsFewServersSeesTheCrowd(t *testing.T) {
	f := newSeededHost(t, 1, 60, 40)
	var known []logic.ServerID
	for on := range f.establishMany(6) {
		known = append(known, on)
	}
	back := f.newAttachment(0)
	back.Returning = true
	f.reportDelays(150*ms, 1, known...)
	require.Equal(t, logic.PushBack, f.ChooseServer(f.now, back).Action)
}

// Of the proxies with connections on a late server, those that hold the heavy ones are to move them.
func TestALateServerIsRelievedOfLoadNotOfNumbers(t *testing.T) {
	moved := func(level float64) (n int) {
		for seed := range int64(40) {
			f := newSeededHost(t, seed, 60, 20)
			for on, as := range f.establishMany(20) {
				f.RecordLoad(f.now, as[0], 1000)
				if on == 1 {
					f.RecordLoad(f.now, as[0], level)
				}
			}
			f.reportDelays(100*ms, 3, 1)
			n += f.countJobs(logic.Move)
		}
		return n
	}
	require.Greater(t, moved(5000), 2*moved(200))
}

func TestMembersOfAGroupStayTogether(t *testing.T) {
	f := newHost(t, 4)
	f.establishMany(8)
	var home logic.ServerID
	for i := range 4 {
		a := f.newAttachment(0)
		a.Group = 7
		id := f.mustSend(a).Server
		f.RecordEstablished(f.now, a)
		if i == 0 {
			home = id
		}
		require.Equal(t, home, id)
	}
}

// A group's members arrive at many proxies that know nothing of each other. Who knows of no member takes it for a tenth of
// all, half of whose servers count alike: its first two of forty.
func TestProxiesAgreeOnTheHomesOfAGroup(t *testing.T) {
	home := func(group logic.GroupID, seed int64) logic.ServerID {
		f := newSeededHost(t, seed, 100, 40)
		a := f.newAttachment(0)
		a.Group = group
		return f.mustSend(a).Server
	}
	homes := map[logic.ServerID]bool{}
	few := 0
	for group := logic.GroupID(1); group <= 20; group++ {
		on := map[logic.ServerID]int{}
		for seed := range int64(20) {
			on[home(group, seed+1)]++
		}
		for id := range on {
			homes[id] = true
		}
		if len(on) <= 5 {
			few++
		}
	}
	require.GreaterOrEqual(t, few, 18, "without homes they would be on sixteen of forty")
	require.Greater(t, len(homes), 20, "groups have homes of their own")
}

// Weights are the same at all proxies, and most have no connection on most servers.
func TestManyProxiesWithoutConnectionsDoNotHerdOnTheLargest(t *testing.T) {
	firsts := map[logic.ServerID]int{}
	for seed := range int64(60) {
		f := newSeededHost(t, seed, 60, 9)
		f.UpdateServer(f.now, 10, 0, 0, 10, logic.Ready, 3, 0)
		f.EndList(f.now, false)
		firsts[f.mustSend(f.newAttachment(0)).Server]++
	}
	require.Less(t, firsts[10], 30)
	require.Greater(t, firsts[10], 5, "it still bears more than another")
}

// A newcomer is seen by all proxies at once.
func TestManyProxiesShareTheBudgetOfAColdServer(t *testing.T) {
	sent := 0
	for seed := range int64(60) {
		f := newSeededHost(t, seed, 60, 0)
		f.updateServer(1, logic.Ready, f.now)
		f.EndList(f.now, false)
		if f.ChooseServer(f.now, f.newAttachment(0)).Action == logic.Send {
			sent++
		}
	}
	require.Less(t, sent, 6)
}

// Guards against a zone that returns and stays empty: whoever lost the draw at first could send nothing until it was warm.
func TestTheDrawForAColdServerComesAgainWithEachWindow(t *testing.T) {
	var sent [3]int
	for seed := range int64(400) {
		f := newSeededHost(t, seed, 20, 0)
		f.updateServer(1, logic.Ready, f.now)
		f.EndList(f.now, false)
		for window := range sent {
			a := f.newAttachment(0)
			if f.ChooseServer(f.now, a).Action == logic.Send {
				sent[window]++
				f.RecordOutcome(f.now, a, logic.Cancelled, true)
			}
			f.advance(3*sec + 10*ms)
		}
	}
	for _, n := range sent {
		require.InDelta(t, 20, n, 14, "one of twenty in each")
	}
}

// Guards against a late server that all proxies but one take for the emptiest, as none of their clients stands there.
func TestWhereAProxyHoldsNextToNothingReturnedClientsGoWhereItIsKnownToBeWell(t *testing.T) {
	known, strange := 0, 0
	for seed := range int64(40) {
		f := newSeededHost(t, seed, 80, 10)
		f.SetDelaysReported(true)
		first := f.establishMany(1)
		a := f.newAttachment(0)
		a.Returning = true
		if on := f.mustSend(a).Server; first[on] != nil {
			known++
		}
		if on := f.mustSend(f.newAttachment(0)).Server; first[on] == nil {
			strange++
		}
	}
	require.Equal(t, 40, known)
	require.Greater(t, strange, 20, "what comes for the first time goes where the count is least")
}

// A proxy holds connections on a few servers of a large fleet; the rest of a slow model are as slow.
func TestServersOfASlowModelAreTakenForSlowUnseen(t *testing.T) {
	slow, fast := 0, 0
	for seed := range int64(20) {
		f := newSeededHost(t, seed, 60, 0)
		for id := logic.ServerID(1); id <= 40; id++ {
			f.UpdateServer(f.now, id, 0, logic.ModelID(id%2), logic.CellID(id), logic.Ready, 1, 0)
		}
		f.EndList(f.now, false)
		var known []logic.ServerID
		for on := range f.establishMany(8) {
			if on%2 == 1 {
				known = append(known, on)
			}
		}
		slices.Sort(known)
		f.reportDelays(400*ms, 5, known...)
		if on := f.mustSend(f.newAttachment(0)).Server; on%2 == 1 {
			slow++
		} else {
			fast++
		}
	}
	require.Greater(t, fast, 2*slow)
}

// One zone may have nearly all the traffic, and a proxy too few connections to count the other emptier.
func TestAZoneInTroubleSendsAcrossEvenFromSmallCounts(t *testing.T) {
	across := 0
	for seed := range int64(20) {
		f := newSeededHost(t, seed, 60, 4)
		for id := logic.ServerID(5); id <= 8; id++ {
			f.UpdateServer(f.now, id, 1, 0, 5, logic.Ready, 1, 0)
		}
		f.EndList(f.now, false)
		f.establishMany(4)
		f.reportDelays(300*ms, 3, 1, 2, 3, 4)
		if f.mustSend(f.newAttachment(0)).Server > 4 {
			across++
		}
	}
	require.GreaterOrEqual(t, across, 15)
}

// Connections that a proxy takes over may stand across zones for minutes.
func TestConnectionsAcrossZonesMoveHomeWhileThatIsCalm(t *testing.T) {
	f := newHost(t, 2)
	f.UpdateServer(f.now, 3, 1, 0, 3, logic.Ready, 1, 0)
	f.EndList(f.now, false)
	for range 5 {
		f.RecordRestored(f.now, f.newAttachment(0), 3)
	}
	f.establishMany(4)
	f.reportDelays(200*ms, 4, 1, 2)
	for _, e := range f.jobs {
		require.False(t, e.Kind == logic.Move && e.Attachment <= 5, "the own zone is in trouble")
	}
	f.jobs = nil
	f.advance(120 * sec)
	require.Positive(t, f.countJobs(logic.Move))
}

func TestAClientThatComesBackWeighsWhatItWeighed(t *testing.T) {
	f := newHost(t, 2)
	on := f.establishMany(10)
	for _, as := range on {
		for _, a := range as {
			f.RecordLoad(f.now, a, 1000)
		}
	}
	heavy := on[1][0]
	f.RecordLoad(f.now, heavy, 6000)
	f.RecordOutcome(f.now, heavy, logic.Cancelled, true)
	back := f.newAttachment(0)
	back.Key = heavy.Key
	require.Equal(t, logic.ServerID(1), f.mustSend(back).Server)
	f.RecordEstablished(f.now, back)
	require.Len(t, f.establishMany(3)[2], 3, "one heavy connection counts as several")
}

func TestTheOwnZoneComesFirstWhereACrossingIsDear(t *testing.T) {
	f := newHost(t, 2)
	f.UpdateServer(f.now, 3, 1, 0, 3, logic.Ready, 1, 0)
	f.EndList(f.now, false)
	on := f.establishMany(12)
	require.LessOrEqual(t, len(on[3]), 2)
	f.reportDelays(200*ms, 1, 1, 2)
	_, id := f.establish()
	require.Equal(t, logic.ServerID(3), id, "the own zone can take no more")
}

func TestAOneShotThatMayHaveRunIsGivenUp(t *testing.T) {
	f := newHost(t, 3, logic.Product{QuotedTime: 300 * ms, Idempotency: logic.OneShot})
	a := f.newAttachment(0)
	require.Equal(t, 2*sec, f.mustSend(a).Duration, "it waits as long as it can")
	require.Equal(t, logic.Send, f.RecordOutcome(f.now, a, logic.NoConnection, false).Action)
	require.Equal(t, logic.GiveUp, f.RecordOutcome(f.now, a, logic.TimedOut, false).Action)
}

func TestAStampedOneGoesAgainOnlyInItsGroupAndWindow(t *testing.T) {
	stamped := logic.Product{QuotedTime: 300 * ms, Idempotency: logic.Stamped, DedupScope: logic.DedupCell, DedupWindow: sec}
	f := newHost(t, 3, stamped)
	a := f.newAttachment(0)
	first := f.mustSend(a).Server
	f.advance(200 * ms)
	again := f.RecordOutcome(f.now, a, logic.TimedOut, false)
	require.Equal(t, logic.Send, again.Action)
	require.Equal(t, first, again.Server, "each server here is a cell of its own")
	f.advance(900 * ms)
	require.Equal(t, logic.GiveUp, f.RecordOutcome(f.now, a, logic.TimedOut, false).Action)
}

func TestPacketsOfAnOpenConnectionReturnToTheirServer(t *testing.T) {
	f := newHost(t, 4)
	f.Balancer = logic.New(1, 0, 1, 0, []logic.Product{statusProduct}, logic.WeightNone, logic.ListConfig{},
		logic.ColdStart{}, logic.Permissions{MaxDispatches: 5, PassThrough: true}, 0, 0)
	for id := logic.ServerID(1); id <= 4; id++ {
		f.updateServer(id, logic.Ready, 0)
	}
	open := f.newAttachment(0)
	f.RecordRestored(f.now, open, 3)
	f.RecordOutcome(f.now, open, logic.Cancelled, true)
	back := f.newAttachment(0)
	back.Key, back.MidFlow = open.Key, true
	require.Equal(t, logic.ServerID(3), f.mustSend(back).Server)
}

func TestDispatchesAreCounted(t *testing.T) {
	f := newHost(t, 8)
	a := f.newAttachment(0)
	f.mustSend(a)
	for range 4 {
		require.Equal(t, logic.Send, f.RecordOutcome(f.now, a, logic.Full, false).Action)
	}
	require.Equal(t, logic.PushBack, f.RecordOutcome(f.now, a, logic.Full, false).Action)
}

// newConfigured is an instance made from other figures.
func newConfigured(dispatches int, products ...logic.Product) *logic.Balancer {
	return logic.New(2, 0, 1, 0, products, logic.WeightNominal, logic.ListConfig{Subscribe: true, AskWithin: 10 * sec},
		logic.ColdStart{}, logic.Permissions{MaxDispatches: dispatches, MaxRetryAfter: sec}, 0.2, 0.01)
}

func TestWhatIsInHandKeepsTheRulesItBeganWith(t *testing.T) {
	harmless := logic.Product{QuotedTime: 300 * ms, Idempotency: logic.Harmless, QuotedMessageTime: 150 * ms}
	once := harmless
	once.Idempotency = logic.OneShot
	f := newHost(t, 8, harmless)
	old := f.newAttachment(0)
	f.mustSend(old)
	numbers := f.Reconfigure(newConfigured(2, once))
	require.Equal(t, []logic.ProductID{1}, numbers, "another effect is another row")
	fresh := f.newAttachment(numbers[0])
	f.mustSend(fresh)
	require.Equal(t, logic.GiveUp, f.RecordOutcome(f.now, fresh, logic.TimedOut, false).Action, "it may have run, and runs once")
	for range 4 {
		require.Equal(t, logic.Send, f.RecordOutcome(f.now, old, logic.TimedOut, false).Action, "harmless, five times in all")
	}
	require.Equal(t, logic.PushBack, f.RecordOutcome(f.now, old, logic.TimedOut, false).Action)
	fresh = f.newAttachment(numbers[0])
	f.mustSend(fresh)
	require.Equal(t, logic.Send, f.RecordOutcome(f.now, fresh, logic.Full, false).Action)
	require.Equal(t, logic.PushBack, f.RecordOutcome(f.now, fresh, logic.Full, false).Action, "two in all")
}

func TestRetuningKeepsWhatIsKnown(t *testing.T) {
	f := newHost(t, 3)
	f.establishMany(9)
	f.updateServer(2, logic.Draining, 0)
	f.EndList(f.now, true)
	for range 50 {
		require.Len(t, f.Reconfigure(newConfigured(2, statusProduct, statusProduct)), 2)
	}
	require.Equal(t, f.Reconfigure(newConfigured(2, statusProduct)), f.Reconfigure(newConfigured(2, statusProduct)), "the table does not grow by files that say the same")
	for id := logic.ServerID(1); id <= 3; id++ {
		seen, known := f.ServerStatus(f.now, id)
		require.True(t, known)
		require.Equal(t, 3, seen.Connections)
		require.Equal(t, id == 2, seen.State == logic.Draining)
	}
	for range 6 {
		_, id := f.establish()
		require.NotEqual(t, logic.ServerID(2), id)
	}
}

func TestWhereOnlyDrainingBindsAGoneServerIsTheLastResort(t *testing.T) {
	for _, unproven := range []bool{true, false} {
		f := newHost(t, 3)
		f.Reconfigure(logic.New(1, 0, 1, 0, []logic.Product{statusProduct}, logic.WeightNominal, logic.ListConfig{GoneMayBeUp: unproven}, logic.ColdStart{},
			logic.Permissions{MaxDispatches: 5, MaxRetryAfter: sec}, 0.01, 0.02))
		on := f.establishMany(12)
		f.updateServer(1, logic.Gone, 0)
		f.updateServer(2, logic.Draining, 0)
		f.EndList(f.now, false)
		for range 6 {
			_, id := f.establish()
			require.Equal(t, logic.ServerID(3), id, "one that is listed as ready goes first")
		}
		f.jobs = nil
		f.advance(4 * sec)
		moved := slices.ContainsFunc(f.jobs, func(e logic.Job) bool { return e.Attachment == on[1][0].ID })
		require.Equal(t, !unproven, moved, "who stands at a gone server stays where the list proves nothing")
		f.updateServer(2, logic.Gone, 0) // it drained before: that binds
		f.updateServer(3, logic.Draining, 0)
		f.EndList(f.now, false)
		ans := f.ChooseServer(f.now, f.newAttachment(0))
		if unproven {
			require.Equal(t, logic.ServerID(1), ans.Server)
		} else {
			require.Equal(t, logic.Hold, ans.Action)
		}
	}
}

func TestAServerThatAnswersAgainCountsAsCold(t *testing.T) {
	f := newHost(t, 3)
	f.establishMany(30)
	f.advance(10 * sec)
	down := f.newAttachment(0)
	id := f.mustSend(down).Server
	for range 2 { // nothing in the list says so
		f.RecordOutcome(f.now, down, logic.NoConnection, true)
		f.advance(4 * sec)
		down = f.newAttachment(0)
		for f.mustSend(down).Server != id {
			f.RecordEstablished(f.now, down)
			down = f.newAttachment(0)
		}
	}
	seen, _ := f.ServerStatus(f.now, id)
	require.False(t, seen.Cold)
	f.RecordEstablished(f.now, down)
	seen, _ = f.ServerStatus(f.now, id)
	require.True(t, seen.Cold)
	back := 0
	for range 60 {
		if _, at := f.establish(); at == id {
			back++
		}
	}
	require.Less(t, back, 15, "it is filled no faster than it warms up")
}

func TestASlowWayIsToldFromSlowServers(t *testing.T) {
	f := newHost(t, 4)
	zone := map[logic.ServerID]logic.ZoneID{1: 0, 2: 0, 3: 0, 4: 0, 5: 1, 6: 1, 7: 1, 8: 1, 9: 2, 10: 2, 11: 2, 12: 2}
	f.Reconfigure(logic.New(1, 0, 1, 0, []logic.Product{statusProduct}, logic.WeightNominal, logic.ListConfig{}, logic.ColdStart{},
		logic.Permissions{MaxDispatches: 5, MaxRetryAfter: sec}, 0.01, 0.02)) // crossings cost next to nothing: all zones are used
	for id := logic.ServerID(5); id <= 12; id++ {
		f.UpdateServer(f.now, id, zone[id], 0, logic.CellID(id), logic.Ready, 1, 0)
	}
	f.EndList(f.now, true)
	on := f.establishMany(48)
	across := len(on[5]) + len(on[6]) + len(on[7]) + len(on[8])
	require.Greater(t, across, 6)
	f.jobs = nil
	f.reportDelays(800*ms, 2, 5, 6, 7, 8)
	for range 24 {
		a := f.newAttachment(0)
		require.NotEqual(t, logic.ZoneID(1), zone[f.mustSend(a).Server], "the way there is slow")
		f.RecordEstablished(f.now, a)
	}
	heavy := f.newAttachment(0)
	heavy.LoadHint = 1e9
	require.Equal(t, logic.Send, f.ChooseServer(f.now, heavy).Action, "a slow way is no crowd")
	f.reportDelays(800*ms, 4, 5, 6, 7, 8)
	require.Greater(t, f.countJobs(logic.Move), across*2/3, "those there come home")
	f.advance(15 * sec)
	back := 0
	for range 48 {
		if _, id := f.establish(); zone[id] == 1 {
			back++
		}
	}
	require.Positive(t, back, "it is tried again")
}

func TestOneLateServerIsNoSlowWay(t *testing.T) {
	f := newHost(t, 3)
	for id := logic.ServerID(5); id <= 8; id++ {
		f.UpdateServer(f.now, id, 1, 0, logic.CellID(id), logic.Ready, 1, 0)
	}
	f.EndList(f.now, true)
	f.reportDelays(200*ms, 2, 1, 2, 3) // the own zone is late: crossings pay
	f.reportDelays(200*ms, 1, 5)
	across := 0
	for range 12 {
		if _, id := f.establish(); id > 5 {
			across++
		}
	}
	require.Positive(t, across)
}

func TestWhoTakesAnInstancesPlaceKnowsWhatItKnew(t *testing.T) {
	old := newHost(t, 4)
	old.establishMany(8)
	old.reportDelays(400*ms, 3, 2)
	old.updateServer(3, logic.Ready, old.now-sec) // cold
	old.EndList(old.now, true)
	for range 4 {
		old.establish()
	}
	bad := old.newAttachment(0)
	id := old.mustSend(bad).Server
	old.RecordOutcome(old.now, bad, logic.Reset, true)
	told := old.Snapshot()

	heir := newHost(t, 4)
	heir.now = old.now
	heir.updateServer(3, logic.Ready, old.now-sec)
	heir.updateServer(4, logic.Ready, old.now) // has started again: another server than the one that was known
	heir.EndList(heir.now, true)
	told.Servers = append(told.Servers, logic.ServerHistory{ID: 99}) // in no list here
	heir.Restore(told)
	for _, server := range []logic.ServerID{1, 2, 3} {
		was, _ := old.ServerStatus(old.now, server)
		is, _ := heir.ServerStatus(heir.now, server)
		require.Equal(t, []any{was.Late, was.SpeedFactor, was.FailureShare, was.AvoidUntil}, []any{is.Late, is.SpeedFactor, is.FailureShare, is.AvoidUntil}, "server %d", server)
	}
	is, _ := heir.ServerStatus(heir.now, id)
	require.NotZero(t, is.AvoidUntil, "passed over until the same moment")
	is, _ = heir.ServerStatus(heir.now, 2)
	require.Less(t, is.SpeedFactor, 1.0)
	is, _ = heir.ServerStatus(heir.now, 4)
	require.False(t, is.Late)
	sent := func(f *testHost) (n int) {
		for _, s := range f.Snapshot().Servers {
			if s.ID == 3 {
				return len(s.ColdSendTimes)
			}
		}
		return 0
	}
	require.NotZero(t, sent(old))
	require.Equal(t, sent(old), sent(heir), "the cold budget is one")
}

func attachmentIDs(as []*logic.Attachment) []logic.AttachmentID {
	var out []logic.AttachmentID
	for _, a := range as {
		out = append(out, a.ID)
	}
	return out
}

func TestClientsAreMovedOffAServerThatDrainsBeforeItStops(t *testing.T) {
	f := newHost(t, 3)
	on := f.establishMany(30)
	f.updateServer(1, logic.Draining, 0)
	f.EndList(f.now, false)
	moved := map[logic.AttachmentID]bool{}
	for range 8 {
		f.jobs = nil
		f.advance(250 * ms)
		for _, e := range f.jobs {
			if e.Kind == logic.Move {
				moved[e.Attachment] = true
			}
		}
		for _, a := range on[1] {
			if moved[a.ID] && a.IsEstablished() {
				f.RecordOutcome(f.now, a, logic.Cancelled, true)
			}
		}
		require.LessOrEqual(t, f.countJobs(logic.Move), 3, "they come back spread")
	}
	require.Len(t, moved, len(on[1]), "all of them, and no others")
}

// On sockets nothing tells of late messages, and a slow server kept its connections.
func TestWhereNothingTellsOfLateMessagesAProbeDoes(t *testing.T) {
	f := newHost(t, 4)
	on := f.establishMany(40)
	took := map[logic.ServerID]logic.Micros{1: 500, 2: 500, 3: 500, 4: 900}
	probes := 0
	for second := range 12 {
		if second == 3 {
			took[1] = 1500
		}
		if second == 2 || second == 7 {
			took[2] = 50 * ms // a pause
		} else {
			took[2] = 500
		}
		f.jobs = nil
		f.advance(sec)
		for _, e := range f.jobs {
			switch e.Kind {
			case logic.Probe:
				probes++
				f.RecordProbe(f.now, e.Server, took[e.Server])
			case logic.Move:
				require.True(t, slices.ContainsFunc(on[1], func(a *logic.Attachment) bool { return a.ID == e.Attachment }),
					"only where answers take longer than they did")
			}
		}
	}
	require.Equal(t, 48, probes, "one a second for each server")
	require.Less(t, len(f.establishMany(12)[1]), 2)
}

// A second passed until a second slow answer: full servers went on filling, and dropped what they had.
func TestASingleSlowAnswerIsBelievedAtHome(t *testing.T) {
	f := newHost(t, 2)
	f.establishMany(20)
	f.RecordProbe(f.now, 1, 500)
	f.RecordProbe(f.now, 1, 1500)
	require.Less(t, len(f.establishMany(10)[1]), 4)
}

// A client that was sent off a late server came back to it, for its group's home: it was sent off again.
func TestWhoComesBackIsNotSentToALateServerWhileAnotherIsWell(t *testing.T) {
	f := newHost(t, 3)
	home := logic.ServerID(0)
	for range 12 {
		a := f.newAttachment(0)
		a.Group = 7
		home = f.mustSend(a).Server
		f.RecordEstablished(f.now, a)
	}
	f.reportDelays(100*ms, 1, home)
	for range 5 {
		a := f.newAttachment(0)
		a.Group, a.Returning = 7, true
		require.NotEqual(t, home, f.mustSend(a).Server)
		f.RecordOutcome(f.now, a, logic.NoConnection, true)
	}
}

// A proxy that knew two servers took one late one for a crowd, and pushed clients back while others stood idle.
func TestOneLateServerIsNoCrowdHoweverFewAreKnown(t *testing.T) {
	f := newHost(t, 5)
	f.establish()
	_, id := f.establish()
	f.reportDelays(400*ms, 3, id)
	for range 5 {
		a := f.newAttachment(0)
		a.Returning = true // counts as heavy
		f.mustSend(a)
		f.RecordOutcome(f.now, a, logic.NoConnection, true)
	}
}

// Where weights are rough they hide slow models: three seconds of lateness passed before load went elsewhere.
func TestWhereWeightsAreRoughALateServerFallsBehindFaster(t *testing.T) {
	drawn := map[logic.WeightKind]int{}
	for _, weighing := range []logic.WeightKind{logic.WeightNominal, logic.WeightRough} {
		f := newWeightedHost(t, 1, 1, 2, weighing)
		on := f.establishMany(40)
		f.reportDelays(100*ms, 3, 1)
		f.advance(6 * sec)
		for range 20 {
			a, id := f.establish()
			on[id] = append(on[id], a)
		}
		drawn[weighing] = len(on[1])
	}
	require.Less(t, drawn[logic.WeightRough]+3, drawn[logic.WeightNominal])
}

// reportUtilization has all servers report their fill for three seconds, so that it is believed and counted.
func (f *testHost) reportUtilization(fills map[logic.ServerID]float64) {
	for range 12 {
		for id := logic.ServerID(1); int(id) <= len(fills); id++ {
			f.RecordUtilization(f.now, id, fills[id])
		}
		f.advance(250 * ms)
	}
}

// A proxy among many: its own counts are equal while the others have filled one server.
func TestAFullServerIsKnownByItsReportWhereOwnCountsAreEqual(t *testing.T) {
	f := newHost(t, 4)
	f.EnableUtilizationProbes()
	f.establishMany(40)
	f.reportUtilization(map[logic.ServerID]float64{1: 0.9, 2: 0.3, 3: 0.6, 4: 0.6})
	on := f.establishMany(12)
	require.Empty(t, on[1])
	require.Greater(t, len(on[2]), 6)
	f.advance(13 * sec)
	on = f.establishMany(8)
	require.NotEmpty(t, on[1], "reports have grown old, and own counts decide")
}

// One that has just come up reports that it is empty: all proxies would fill it before it can bear it.
func TestAColdServersReportCountsHalf(t *testing.T) {
	drawn := 0
	for seed := range int64(20) {
		f := newSeededHost(t, seed+1, 1, 4)
		f.EnableUtilizationProbes()
		f.establishMany(20)
		f.updateServer(5, logic.Ready, f.now-2*sec)
		f.EndList(f.now, false)
		f.reportUtilization(map[logic.ServerID]float64{1: 0.6, 2: 0.6, 3: 0.6, 4: 0.6, 5: 0.01})
		drawn += len(f.establishMany(8)[5])
	}
	require.Less(t, drawn, 90, "of 160; 100 where its report counts in full")
}

func TestAnUntrueReportIsNotBelieved(t *testing.T) {
	for name, c := range map[string]struct {
		told        float64 // of server 1; the others say that they are half full
		late        bool    // its messages
		least, most int     // that it is to get of 20 more
	}{
		"zero":            {0, false, 0, 6},
		"low while late":  {0.1, true, 0, 1},
		"full while idle": {3, false, 3, 20},
		"no number":       {math.NaN(), false, 0, 6},
		"below nothing":   {-1, false, 0, 6},
	} {
		t.Run(name, func(t *testing.T) {
			f := newHost(t, 4)
			f.EnableUtilizationProbes()
			f.establishMany(40)
			f.reportUtilization(map[logic.ServerID]float64{1: 0.5, 2: 0.5, 3: 0.5, 4: 0.5})
			for range 8 {
				if c.late {
					f.RecordDelay(f.now, 1, 200*ms)
				}
				for id, told := range []float64{c.told, 0.5, 0.5, 0.5} {
					f.RecordUtilization(f.now, logic.ServerID(id+1), told)
				}
				f.advance(sec)
			}
			n := len(f.establishMany(20)[1])
			require.GreaterOrEqual(t, n, c.least)
			require.LessOrEqual(t, n, c.most)
		})
	}
}

func TestServersAreAskedInTurnAsFarAsConnectionsPay(t *testing.T) {
	open := func(weighing logic.WeightKind, reports bool) *testHost {
		f := newWeightedHost(t, 1, 1, 6, weighing)
		if reports {
			f.EnableUtilizationProbes()
		}
		f.Reconfigure(logic.New(1, 1, 1, 0, []logic.Product{statusProduct}, weighing, logic.ListConfig{}, logic.ColdStart{}, logic.Permissions{MaxDispatches: 5}, 0.2, 0.01))
		f.establishMany(8) // two probes each
		return f
	}
	asked := func(f *testHost) map[logic.ServerID]int {
		f.jobs = nil
		f.advance(10 * sec)
		n := map[logic.ServerID]int{}
		for _, e := range f.jobs {
			if e.Kind == logic.Probe {
				n[e.Server]++
			}
		}
		return n
	}
	n := asked(open(logic.WeightNominal, true))
	require.Equal(t, map[logic.ServerID]int{1: 2, 2: 3, 3: 3, 4: 3, 5: 3, 6: 2}, n)
	require.Empty(t, asked(open(logic.WeightNominal, false)), "nobody would pass the reports on")
	require.Empty(t, asked(open(logic.WeightLive, true)), "the list's weights tell the same")
}

// A fleet whose settings promise words on late messages and whose servers send none: 300 proxies saw no server late.
func TestServersAreProbedUntilDelaysAreHeard(t *testing.T) {
	f := newHost(t, 2)
	f.establishMany(4)
	probed := func() bool {
		f.jobs = nil
		f.advance(2 * sec)
		return slices.ContainsFunc(f.jobs, func(e logic.Job) bool { return e.Kind == logic.Probe })
	}
	require.True(t, probed())
	f.SetDelaysReported(true)
	require.False(t, probed(), "the same word twice is paid for twice")
	f.SetDelaysReported(false)
	require.True(t, probed())
}

// Three hundred proxies hold four connections each on ninety servers: each group went to whichever server chance chose,
// and a server bore parts of ten groups where two or three would do.
func TestWhereLittleIsKnownAGroupKeepsToItsFirstServers(t *testing.T) {
	first := map[logic.ServerID]int{}
	for seed := range int64(100) {
		f := newSeededHost(t, seed+1, 300, 90)
		f.establishMany(3)
		a := f.newAttachment(0)
		a.Group = 7
		first[f.mustSend(a).Server]++
	}
	most := 0
	for _, n := range first {
		most = max(most, n)
	}
	require.Greater(t, most, 85, "as all know the same order of servers")
}

// A server piles up more than it can do and drops its newest clients; nothing else tells that its messages are late. Each
// came again within a tenth of a second, was sent back, since that server is its group's home, and was dropped again.
func TestWhomAServerDroppedIsNotSentBackToIt(t *testing.T) {
	f := newSeededHost(t, 1, 300, 8)
	member := func(back bool) *logic.Attachment {
		a := f.newAttachment(0)
		a.Group, a.Returning = 7, back
		return a
	}
	first := member(false)
	home := f.mustSend(first).Server
	f.RecordEstablished(f.now, first)
	f.RecordOutcome(f.now, first, logic.Reset, true)
	f.advance(2 * sec) // longer than one that fails is passed over
	returned := member(true)
	require.NotEqual(t, home, f.mustSend(returned).Server)
	f.advance(10 * sec)
	require.Equal(t, home, f.mustSend(member(true)).Server, "that is forgotten: the group's home is the best place again")
}
