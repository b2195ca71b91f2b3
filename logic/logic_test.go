package logic_test

import (
	"math"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"hatchproxy/logic"
)

func TestServersWithEqualLoadTakeTurns(t *testing.T) {
	h := newHost(t, 4)
	for id, on := range h.establishMany(12) {
		require.Len(t, on, 3, "server %d", id)
	}
}

func TestPendingDispatchesCountAsLoad(t *testing.T) {
	h := newHost(t, 3)
	seen := map[logic.ServerID]bool{}
	for range 3 {
		seen[h.mustSend(h.newAttachment(0)).Server] = true
	}
	require.Len(t, seen, 3)
}

func TestAnEndedConnectionMakesRoom(t *testing.T) {
	h := newHost(t, 3)
	on := h.establishMany(9)
	require.Equal(t, logic.NoAction, h.RecordOutcome(h.now, on[2][0], logic.OK, true).Action)
	_, id := h.establish()
	require.Equal(t, logic.ServerID(2), id)
}

func TestServersGetConnectionsInProportionToWeight(t *testing.T) {
	h := newHost(t, 1)
	h.UpdateServer(h.now, 2, 0, 0, 2, logic.Ready, 3, 0)
	h.EndList(h.now, false)
	on := h.establishMany(12)
	require.Len(t, on[2], 9)
}

func TestNothingNewGoesToDrainingOrGoneServers(t *testing.T) {
	h := newHost(t, 3)
	h.updateServer(1, logic.Draining, 0)
	h.updateServer(2, logic.Gone, 0)
	require.Len(t, h.establishMany(6)[3], 6)
}

func TestAServerMissingFromAFullListIsGone(t *testing.T) {
	h := newHost(t, 3)
	h.BeginFullList(h.now)
	h.updateServer(2, logic.Ready, 0)
	h.EndList(h.now, false)
	require.Len(t, h.establishMany(4)[2], 4)
}

func TestAnEmptyFleetHoldsAndThenPushesBack(t *testing.T) {
	h := newHost(t, 0)
	a := h.newAttachment(0)
	decision := h.ChooseServer(h.now, a)
	require.Equal(t, logic.Hold, decision.Action)
	require.Positive(t, decision.Duration)
	h.now = a.HardLimit - ms
	require.Equal(t, logic.PushBack, h.ChooseServer(h.now, a).Action)
}

func TestANewServerStartsAtTheMeanLoadAndIsLimitedWhileCold(t *testing.T) {
	h := newHost(t, 3)
	h.establishMany(30)
	h.updateServer(4, logic.Ready, h.now)
	h.EndList(h.now, false)
	require.LessOrEqual(t, len(h.establishMany(12)[4]), 3)
	h.advance(20 * sec)
	require.NotEmpty(t, h.establishMany(12)[4])
}

func TestANewWarmServerStartsAtTheMeanLoadToo(t *testing.T) {
	h := newHost(t, 3)
	h.establishMany(30)
	h.updateServer(4, logic.Ready, 0)
	h.EndList(h.now, false)
	require.LessOrEqual(t, len(h.establishMany(8)[4]), 3)
}

func TestFailedListRequestsAreRepeatedAfterADelay(t *testing.T) {
	h := newHost(t, 2)
	h.advance(300 * ms)
	require.Equal(t, 1, h.countJobs(logic.Subscribe))
	for range 4 {
		h.ListRequestFailed(h.now)
		h.advance(100 * ms)
	}
	require.Equal(t, 1, h.countJobs(logic.Subscribe))
	h.advance(6 * sec)
	require.GreaterOrEqual(t, h.countJobs(logic.Subscribe), 2)
	h.EndList(h.now, false)
	before := h.countJobs(logic.Subscribe)
	h.advance(20 * sec)
	require.Equal(t, before, h.countJobs(logic.Subscribe), "an established subscription is not requested again")
}

func TestAFailingServerIsAvoidedForAWhile(t *testing.T) {
	h := newHost(t, 4)
	h.establishMany(8)
	for failures := 0; failures < 2; {
		a := h.newAttachment(0)
		isFailing := h.mustSend(a).Server == 1
		if isFailing {
			failures++
			again := h.RecordOutcome(h.now, a, logic.Failure, false)
			require.Equal(t, logic.Send, again.Action)
			require.NotEqual(t, logic.ServerID(1), again.Server)
		}
		h.RecordEstablished(h.now, a)
	}
	require.Empty(t, h.establishMany(8)[1], "it has the least load, as its set-ups failed, and is avoided all the same")
	h.advance(5 * sec)
	require.NotEmpty(t, h.establishMany(16)[1])
}

func TestWhereAllServersFailNoneIsAvoidedAndDispatchesGoOneAtATime(t *testing.T) {
	h := newHost(t, 4)
	h.establishMany(8)
	a := h.newAttachment(0)
	h.mustSend(a)
	for range 3 {
		h.advance(100 * ms)
		require.Equal(t, logic.Send, h.RecordOutcome(h.now, a, logic.TimedOut, false).Action)
	}
	// The store behind the servers may be slow: the pending dispatch has all the time left, and the next one waits.
	other := h.newAttachment(0)
	require.Equal(t, logic.Hold, h.ChooseServer(h.now, other).Action)
	h.RecordEstablished(h.now, a)
	h.mustSend(other)
}

func TestAHungServerLeavesTimeForAnother(t *testing.T) {
	h := newHost(t, 3)
	h.establishMany(6)
	require.Less(t, h.mustSend(h.newAttachment(0)).Duration, statusProduct.QuotedTime)
	h.advance(2 * sec)
	require.Equal(t, 2*sec, h.mustSend(h.newAttachment(0)).Duration, "no set-up succeeded lately: the store behind the servers may be slow")
	h.advance(sec)
	a, _ := h.establish()
	require.True(t, a.IsEstablished(), "the servers with the two pending set-ups are avoided")
}

func TestAServerThatDropsConnectionsIsAvoided(t *testing.T) {
	h := newHost(t, 3)
	on := h.establishMany(9)
	for _, a := range on[1] {
		h.RecordOutcome(h.now, a, logic.Reset, true)
	}
	require.Empty(t, h.establishMany(2)[1], "it has the least load, as it dropped all connections, and is avoided all the same")
}

func TestALateServerGetsLessLoadAndLosesConnections(t *testing.T) {
	h := newHost(t, 4)
	on := h.establishMany(40)
	h.reportDelays(500*ms, 6, 1)
	require.Positive(t, h.countJobs(logic.Move))
	for _, job := range h.jobs {
		if job.Kind == logic.Move {
			require.Contains(t, attachmentIDs(on[1]), job.Attachment)
		}
	}
	require.Empty(t, h.establishMany(8)[1])
	h.RecordDelay(h.now, 1, 0)
	h.advance(150 * sec)
	require.NotEmpty(t, h.establishMany(8)[1])
}

func TestAFallingDelayCausesNoMoves(t *testing.T) {
	h := newHost(t, 4)
	h.establishMany(40)
	h.RecordDelay(h.now, 1, 900*ms)
	for delay := 800 * ms; delay > 200*ms; delay -= 100 * ms {
		h.RecordDelay(h.now, 1, delay)
		h.advance(sec)
	}
	require.Zero(t, h.countJobs(logic.Move))
}

func TestOverloadPushesHeavyAttachmentsBack(t *testing.T) {
	h := newHost(t, 4)
	on := h.establishMany(20)
	for _, as := range on {
		for _, a := range as {
			h.RecordLoad(h.now, a, 1000)
		}
	}
	heavy := h.newAttachment(0)
	heavy.LoadHint = 8000
	h.mustSend(heavy)
	h.RecordOutcome(h.now, heavy, logic.Failure, true)
	h.reportDelays(150*ms, 1, 1, 2)
	again := h.newAttachment(0)
	again.LoadHint = 8000
	decision := h.ChooseServer(h.now, again)
	require.Equal(t, logic.PushBack, decision.Action)
	require.Positive(t, h.countJobs(logic.Log), "operators see it in the log")
	require.Positive(t, decision.Duration, "the client is told when to come back")
	h.mustSend(h.newAttachment(0))
}

// Clients that are moved or dropped are mostly heavy, and they come back to a proxy that does not know their load.
func TestOverloadPushesReturningClientsOfUnknownLoadBack(t *testing.T) {
	h := newHost(t, 4)
	for _, as := range h.establishMany(20) {
		for _, a := range as {
			h.RecordLoad(h.now, a, 1000)
		}
	}
	h.reportDelays(150*ms, 3, 1, 2, 3, 4)
	returning := h.newAttachment(0)
	returning.Returning = true
	require.Equal(t, logic.PushBack, h.ChooseServer(h.now, returning).Action)
	h.mustSend(h.newAttachment(0))
}

// A proxy of a large fleet has connections on few servers and must not take the others to be healthy.
func TestAProxyThatKnowsFewServersDetectsOverload(t *testing.T) {
	h := newSeededHost(t, 1, 60, 40)
	var known []logic.ServerID
	for on := range h.establishMany(6) {
		known = append(known, on)
	}
	returning := h.newAttachment(0)
	returning.Returning = true
	h.reportDelays(150*ms, 1, known...)
	require.Equal(t, logic.PushBack, h.ChooseServer(h.now, returning).Action)
}

// Of the proxies with connections on a late server, those with the heavy ones are to move more of them.
func TestALateServerIsRelievedByLoadNotByCount(t *testing.T) {
	moved := func(load float64) (n int) {
		for seed := range int64(40) {
			h := newSeededHost(t, seed, 60, 20)
			for on, as := range h.establishMany(20) {
				h.RecordLoad(h.now, as[0], 1000)
				if on == 1 {
					h.RecordLoad(h.now, as[0], load)
				}
			}
			h.reportDelays(100*ms, 3, 1)
			n += h.countJobs(logic.Move)
		}
		return n
	}
	require.Greater(t, moved(5000), 2*moved(200))
}

func TestMembersOfAGroupStayTogether(t *testing.T) {
	h := newHost(t, 4)
	h.establishMany(8)
	var groupServer logic.ServerID
	for i := range 4 {
		a := h.newAttachment(0)
		a.Group = 7
		id := h.mustSend(a).Server
		h.RecordEstablished(h.now, a)
		if i == 0 {
			groupServer = id
		}
		require.Equal(t, groupServer, id)
	}
}

// The members of a group arrive at many proxies that know nothing of each other. A proxy without members takes the group for
// a tenth of all load. Within half of that share, servers count alike: here the first two of forty.
func TestProxiesAgreeOnTheServersOfAGroup(t *testing.T) {
	firstServer := func(group logic.GroupID, seed int64) logic.ServerID {
		h := newSeededHost(t, seed, 100, 40)
		a := h.newAttachment(0)
		a.Group = group
		return h.mustSend(a).Server
	}
	allServers := map[logic.ServerID]bool{}
	concentrated := 0
	for group := logic.GroupID(1); group <= 20; group++ {
		on := map[logic.ServerID]int{}
		for seed := range int64(20) {
			on[firstServer(group, seed+1)]++
		}
		for id := range on {
			allServers[id] = true
		}
		if len(on) <= 5 {
			concentrated++
		}
	}
	require.GreaterOrEqual(t, concentrated, 18, "without a common ranking a group would be on sixteen of forty servers")
	require.Greater(t, len(allServers), 20, "each group has a ranking of its own")
}

// All proxies see the same weights, and most of them have no connections on most servers.
func TestManyProxiesWithoutConnectionsDoNotHerdOnTheLargest(t *testing.T) {
	firstChoices := map[logic.ServerID]int{}
	for seed := range int64(60) {
		h := newSeededHost(t, seed, 60, 9)
		h.UpdateServer(h.now, 10, 0, 0, 10, logic.Ready, 3, 0)
		h.EndList(h.now, false)
		firstChoices[h.mustSend(h.newAttachment(0)).Server]++
	}
	require.Less(t, firstChoices[10], 30)
	require.Greater(t, firstChoices[10], 5, "it still gets more than another server")
}

// All proxies see a new server at once.
func TestManyProxiesShareTheBudgetOfAColdServer(t *testing.T) {
	sent := 0
	for seed := range int64(60) {
		h := newSeededHost(t, seed, 60, 0)
		h.updateServer(1, logic.Ready, h.now)
		h.EndList(h.now, false)
		if h.ChooseServer(h.now, h.newAttachment(0)).Action == logic.Send {
			sent++
		}
	}
	require.Less(t, sent, 6)
}

// A zone that came back stayed empty: a proxy that lost the first draw could send nothing there until the servers were warm.
func TestTheColdBudgetIsDrawnAnewInEachWindow(t *testing.T) {
	var sent [3]int
	for seed := range int64(400) {
		h := newSeededHost(t, seed, 20, 0)
		h.updateServer(1, logic.Ready, h.now)
		h.EndList(h.now, false)
		for window := range sent {
			a := h.newAttachment(0)
			if h.ChooseServer(h.now, a).Action == logic.Send {
				sent[window]++
				h.RecordOutcome(h.now, a, logic.Cancelled, true)
			}
			h.advance(3*sec + 10*ms)
		}
	}
	for _, n := range sent {
		require.InDelta(t, 20, n, 14, "one of twenty proxies in each window")
	}
}

// A late server looked least loaded to all proxies without connections on it, and they sent it the clients that were moved off.
func TestAProxyWithFewConnectionsSendsReturningClientsToServersItKnows(t *testing.T) {
	returningToKnown, newToUnknown := 0, 0
	for seed := range int64(40) {
		h := newSeededHost(t, seed, 80, 10)
		h.SetDelaysReported(true)
		first := h.establishMany(1)
		a := h.newAttachment(0)
		a.Returning = true
		if on := h.mustSend(a).Server; first[on] != nil {
			returningToKnown++
		}
		if on := h.mustSend(h.newAttachment(0)).Server; first[on] == nil {
			newToUnknown++
		}
	}
	require.Equal(t, 40, returningToKnown)
	require.Greater(t, newToUnknown, 20, "new clients go to the least loaded server")
}

// A proxy has connections on a few servers of a large fleet; the other servers of a slow model are as slow.
func TestUnusedServersOfASlowModelCountAsSlow(t *testing.T) {
	slow, fast := 0, 0
	for seed := range int64(20) {
		h := newSeededHost(t, seed, 60, 0)
		for id := logic.ServerID(1); id <= 40; id++ {
			h.UpdateServer(h.now, id, 0, logic.ModelID(id%2), logic.CellID(id), logic.Ready, 1, 0)
		}
		h.EndList(h.now, false)
		var known []logic.ServerID
		for on := range h.establishMany(8) {
			if on%2 == 1 {
				known = append(known, on)
			}
		}
		slices.Sort(known)
		h.reportDelays(400*ms, 5, known...)
		if on := h.mustSend(h.newAttachment(0)).Server; on%2 == 1 {
			slow++
		} else {
			fast++
		}
	}
	require.Greater(t, fast, 2*slow)
}

// With few connections, a proxy does not see from its own counts that the servers of another zone have less load.
func TestAnUnhealthyZoneSendsToOthersEvenWithFewConnections(t *testing.T) {
	across := 0
	for seed := range int64(20) {
		h := newSeededHost(t, seed, 60, 4)
		for id := logic.ServerID(5); id <= 8; id++ {
			h.UpdateServer(h.now, id, 1, 0, 5, logic.Ready, 1, 0)
		}
		h.EndList(h.now, false)
		h.establishMany(4)
		h.reportDelays(300*ms, 3, 1, 2, 3, 4)
		if h.mustSend(h.newAttachment(0)).Server > 4 {
			across++
		}
	}
	require.GreaterOrEqual(t, across, 15)
}

// Connections that a proxy takes over may last for minutes on servers of another zone.
func TestConnectionsMoveBackToTheOwnZoneWhileItIsHealthy(t *testing.T) {
	h := newHost(t, 2)
	h.UpdateServer(h.now, 3, 1, 0, 3, logic.Ready, 1, 0)
	h.EndList(h.now, false)
	for range 5 {
		h.RecordResumed(h.now, h.newAttachment(0), 3)
	}
	h.establishMany(4)
	h.reportDelays(200*ms, 4, 1, 2)
	for _, job := range h.jobs {
		require.False(t, job.Kind == logic.Move && job.Attachment <= 5, "the own zone is unhealthy")
	}
	h.jobs = nil
	h.advance(120 * sec)
	require.Positive(t, h.countJobs(logic.Move))
}

func TestAReturningClientCountsWithItsLastLoad(t *testing.T) {
	h := newHost(t, 2)
	on := h.establishMany(10)
	for _, as := range on {
		for _, a := range as {
			h.RecordLoad(h.now, a, 1000)
		}
	}
	heavy := on[1][0]
	h.RecordLoad(h.now, heavy, 6000)
	h.RecordOutcome(h.now, heavy, logic.Cancelled, true)
	returning := h.newAttachment(0)
	returning.Key = heavy.Key
	require.Equal(t, logic.ServerID(1), h.mustSend(returning).Server)
	h.RecordEstablished(h.now, returning)
	require.Len(t, h.establishMany(3)[2], 3, "one heavy connection counts as several")
}

func TestTheOwnZoneComesFirstWhereCrossingIsExpensive(t *testing.T) {
	h := newHost(t, 2)
	h.UpdateServer(h.now, 3, 1, 0, 3, logic.Ready, 1, 0)
	h.EndList(h.now, false)
	on := h.establishMany(12)
	require.LessOrEqual(t, len(on[3]), 2)
	h.reportDelays(200*ms, 1, 1, 2)
	_, id := h.establish()
	require.Equal(t, logic.ServerID(3), id, "the own zone can take no more load")
}

func TestAOneShotThatMayHaveRunIsGivenUp(t *testing.T) {
	h := newHost(t, 3, logic.Product{QuotedTime: 300 * ms, Idempotency: logic.OneShot})
	a := h.newAttachment(0)
	require.Equal(t, 2*sec, h.mustSend(a).Duration, "a repeat is not allowed, so it gets all the time left")
	require.Equal(t, logic.Send, h.RecordOutcome(h.now, a, logic.NoConnection, false).Action)
	require.Equal(t, logic.GiveUp, h.RecordOutcome(h.now, a, logic.TimedOut, false).Action)
}

func TestAStampedRequestIsRepeatedOnlyInItsDedupScopeAndWindow(t *testing.T) {
	stamped := logic.Product{QuotedTime: 300 * ms, Idempotency: logic.Stamped, DedupScope: logic.DedupCell, DedupWindow: sec}
	h := newHost(t, 3, stamped)
	a := h.newAttachment(0)
	first := h.mustSend(a).Server
	h.advance(200 * ms)
	again := h.RecordOutcome(h.now, a, logic.TimedOut, false)
	require.Equal(t, logic.Send, again.Action)
	require.Equal(t, first, again.Server, "here each server is a cell of its own")
	h.advance(900 * ms)
	require.Equal(t, logic.GiveUp, h.RecordOutcome(h.now, a, logic.TimedOut, false).Action)
}

func TestPacketsOfAnOpenConnectionReturnToTheirServer(t *testing.T) {
	h := newHost(t, 4)
	h.Balancer = logic.New(1, 0, 1, 0, []logic.Product{statusProduct}, logic.WeightNone, logic.ListConfig{},
		logic.ColdStart{}, logic.Permissions{MaxDispatches: 5, PassThrough: true}, 0, 0)
	for id := logic.ServerID(1); id <= 4; id++ {
		h.updateServer(id, logic.Ready, 0)
	}
	open := h.newAttachment(0)
	h.RecordResumed(h.now, open, 3)
	h.RecordOutcome(h.now, open, logic.Cancelled, true)
	later := h.newAttachment(0)
	later.Key, later.MidFlow = open.Key, true
	require.Equal(t, logic.ServerID(3), h.mustSend(later).Server)
}

func TestDispatchesAreLimited(t *testing.T) {
	h := newHost(t, 8)
	a := h.newAttachment(0)
	h.mustSend(a)
	for range 4 {
		require.Equal(t, logic.Send, h.RecordOutcome(h.now, a, logic.Full, false).Action)
	}
	require.Equal(t, logic.PushBack, h.RecordOutcome(h.now, a, logic.Full, false).Action)
}

// newConfigured returns an instance with another configuration.
func newConfigured(maxDispatches int, products ...logic.Product) *logic.Balancer {
	return logic.New(2, 0, 1, 0, products, logic.WeightNominal, logic.ListConfig{Subscribe: true, AskWithin: 10 * sec},
		logic.ColdStart{}, logic.Permissions{MaxDispatches: maxDispatches, MaxRetryAfter: sec}, 0.2, 0.01)
}

func TestAttachmentsInProgressKeepTheirRulesOnReconfiguration(t *testing.T) {
	harmless := logic.Product{QuotedTime: 300 * ms, Idempotency: logic.Harmless, QuotedMessageTime: 150 * ms}
	oneShot := harmless
	oneShot.Idempotency = logic.OneShot
	h := newHost(t, 8, harmless)
	old := h.newAttachment(0)
	h.mustSend(old)
	products := h.Reconfigure(newConfigured(2, oneShot))
	require.Equal(t, []logic.ProductID{1}, products, "with another idempotency it is another row of the table")
	fresh := h.newAttachment(products[0])
	h.mustSend(fresh)
	require.Equal(t, logic.GiveUp, h.RecordOutcome(h.now, fresh, logic.TimedOut, false).Action, "it may have run, and must not run twice")
	for range 4 {
		require.Equal(t, logic.Send, h.RecordOutcome(h.now, old, logic.TimedOut, false).Action, "a repeat is harmless, and five dispatches are allowed")
	}
	require.Equal(t, logic.PushBack, h.RecordOutcome(h.now, old, logic.TimedOut, false).Action)
	fresh = h.newAttachment(products[0])
	h.mustSend(fresh)
	require.Equal(t, logic.Send, h.RecordOutcome(h.now, fresh, logic.Full, false).Action)
	require.Equal(t, logic.PushBack, h.RecordOutcome(h.now, fresh, logic.Full, false).Action, "two dispatches are allowed")
}

func TestReconfigureKeepsWhatIsKnown(t *testing.T) {
	h := newHost(t, 3)
	h.establishMany(9)
	h.updateServer(2, logic.Draining, 0)
	h.EndList(h.now, true)
	for range 50 {
		require.Len(t, h.Reconfigure(newConfigured(2, statusProduct, statusProduct)), 2)
	}
	require.Equal(t, h.Reconfigure(newConfigured(2, statusProduct)), h.Reconfigure(newConfigured(2, statusProduct)),
		"the table does not grow when the same products are configured again")
	for id := logic.ServerID(1); id <= 3; id++ {
		status, known := h.ServerStatus(h.now, id)
		require.True(t, known)
		require.Equal(t, 3, status.Connections)
		require.Equal(t, id == 2, status.State == logic.Draining)
	}
	for range 6 {
		_, id := h.establish()
		require.NotEqual(t, logic.ServerID(2), id)
	}
}

func TestAGoneServerThatMayBeUpIsTheLastResort(t *testing.T) {
	for _, goneMayBeUp := range []bool{true, false} {
		h := newHost(t, 3)
		h.Reconfigure(logic.New(1, 0, 1, 0, []logic.Product{statusProduct}, logic.WeightNominal, logic.ListConfig{GoneMayBeUp: goneMayBeUp}, logic.ColdStart{},
			logic.Permissions{MaxDispatches: 5, MaxRetryAfter: sec}, 0.01, 0.02))
		on := h.establishMany(12)
		h.updateServer(1, logic.Gone, 0)
		h.updateServer(2, logic.Draining, 0)
		h.EndList(h.now, false)
		for range 6 {
			_, id := h.establish()
			require.Equal(t, logic.ServerID(3), id, "a server that is listed as ready comes first")
		}
		h.jobs = nil
		h.advance(4 * sec)
		moved := slices.ContainsFunc(h.jobs, func(job logic.Job) bool { return job.Attachment == on[1][0].ID })
		require.Equal(t, !goneMayBeUp, moved, "connections stay on a gone server if it may be up")
		h.updateServer(2, logic.Gone, 0) // it was draining before, so it may not be used
		h.updateServer(3, logic.Draining, 0)
		h.EndList(h.now, false)
		decision := h.ChooseServer(h.now, h.newAttachment(0))
		if goneMayBeUp {
			require.Equal(t, logic.ServerID(1), decision.Server)
		} else {
			require.Equal(t, logic.Hold, decision.Action)
		}
	}
}

func TestAServerThatAnswersAgainCountsAsCold(t *testing.T) {
	h := newHost(t, 3)
	h.establishMany(30)
	h.advance(10 * sec)
	failing := h.newAttachment(0)
	id := h.mustSend(failing).Server
	for range 2 { // the list does not show that the server is down
		h.RecordOutcome(h.now, failing, logic.NoConnection, true)
		h.advance(4 * sec)
		failing = h.newAttachment(0)
		for h.mustSend(failing).Server != id {
			h.RecordEstablished(h.now, failing)
			failing = h.newAttachment(0)
		}
	}
	status, _ := h.ServerStatus(h.now, id)
	require.False(t, status.Cold)
	h.RecordEstablished(h.now, failing)
	status, _ = h.ServerStatus(h.now, id)
	require.True(t, status.Cold)
	returned := 0
	for range 60 {
		if _, on := h.establish(); on == id {
			returned++
		}
	}
	require.Less(t, returned, 15, "it gets no more than a cold server can take")
}

func TestASlowPathIsDistinguishedFromSlowServers(t *testing.T) {
	h := newHost(t, 4)
	zone := map[logic.ServerID]logic.ZoneID{1: 0, 2: 0, 3: 0, 4: 0, 5: 1, 6: 1, 7: 1, 8: 1, 9: 2, 10: 2, 11: 2, 12: 2}
	h.Reconfigure(logic.New(1, 0, 1, 0, []logic.Product{statusProduct}, logic.WeightNominal, logic.ListConfig{}, logic.ColdStart{},
		logic.Permissions{MaxDispatches: 5, MaxRetryAfter: sec}, 0.01, 0.02)) // crossing zones costs almost nothing, so all zones are used
	for id := logic.ServerID(5); id <= 12; id++ {
		h.UpdateServer(h.now, id, zone[id], 0, logic.CellID(id), logic.Ready, 1, 0)
	}
	h.EndList(h.now, true)
	on := h.establishMany(48)
	across := len(on[5]) + len(on[6]) + len(on[7]) + len(on[8])
	require.Greater(t, across, 6)
	h.jobs = nil
	h.reportDelays(800*ms, 2, 5, 6, 7, 8)
	for range 24 {
		a := h.newAttachment(0)
		require.NotEqual(t, logic.ZoneID(1), zone[h.mustSend(a).Server], "the path there is slow")
		h.RecordEstablished(h.now, a)
	}
	heavy := h.newAttachment(0)
	heavy.LoadHint = 1e9
	require.Equal(t, logic.Send, h.ChooseServer(h.now, heavy).Action, "a slow path is no overload")
	h.reportDelays(800*ms, 4, 5, 6, 7, 8)
	require.Greater(t, h.countJobs(logic.Move), across*2/3, "connections there move back to the own zone")
	h.advance(15 * sec)
	placedAgain := 0
	for range 48 {
		if _, id := h.establish(); zone[id] == 1 {
			placedAgain++
		}
	}
	require.Positive(t, placedAgain, "the zone is used again after a while")
}

func TestOneLateServerIsNoSlowPath(t *testing.T) {
	h := newHost(t, 3)
	for id := logic.ServerID(5); id <= 8; id++ {
		h.UpdateServer(h.now, id, 1, 0, logic.CellID(id), logic.Ready, 1, 0)
	}
	h.EndList(h.now, true)
	h.reportDelays(200*ms, 2, 1, 2, 3) // the own zone is late, so that other zones are used
	h.reportDelays(200*ms, 1, 5)
	across := 0
	for range 12 {
		if _, id := h.establish(); id > 5 {
			across++
		}
	}
	require.Positive(t, across)
}

func TestARestoredSnapshotKeepsWhatWasKnown(t *testing.T) {
	old := newHost(t, 4)
	old.establishMany(8)
	old.reportDelays(400*ms, 3, 2)
	old.updateServer(3, logic.Ready, old.now-sec) // cold
	old.EndList(old.now, true)
	for range 4 {
		old.establish()
	}
	dropped := old.newAttachment(0)
	id := old.mustSend(dropped).Server
	old.RecordOutcome(old.now, dropped, logic.Reset, true)
	snapshot := old.Snapshot()

	successor := newHost(t, 4)
	successor.now = old.now
	successor.updateServer(3, logic.Ready, old.now-sec)
	successor.updateServer(4, logic.Ready, old.now) // restarted, so what was known of it does not apply
	successor.EndList(successor.now, true)
	snapshot.Servers = append(snapshot.Servers, logic.ServerHistory{ID: 99}) // not in the list of the successor
	successor.Restore(snapshot)
	for _, server := range []logic.ServerID{1, 2, 3} {
		before, _ := old.ServerStatus(old.now, server)
		after, _ := successor.ServerStatus(successor.now, server)
		require.Equal(t, []any{before.Late, before.SpeedFactor, before.FailureShare, before.AvoidUntil},
			[]any{after.Late, after.SpeedFactor, after.FailureShare, after.AvoidUntil}, "server %d", server)
	}
	after, _ := successor.ServerStatus(successor.now, id)
	require.NotZero(t, after.AvoidUntil, "still avoided")
	after, _ = successor.ServerStatus(successor.now, 2)
	require.Less(t, after.SpeedFactor, 1.0)
	after, _ = successor.ServerStatus(successor.now, 4)
	require.False(t, after.Late)
	coldSends := func(h *testHost) (n int) {
		for _, s := range h.Snapshot().Servers {
			if s.ID == 3 {
				return len(s.ColdSendTimes)
			}
		}
		return 0
	}
	require.NotZero(t, coldSends(old))
	require.Equal(t, coldSends(old), coldSends(successor), "the successor goes on with the cold budget that is left")
}

// attachmentIDs returns the IDs of the given attachments.
func attachmentIDs(as []*logic.Attachment) []logic.AttachmentID {
	var out []logic.AttachmentID
	for _, a := range as {
		out = append(out, a.ID)
	}
	return out
}

func TestClientsAreMovedOffAServerThatDrainsBeforeItStops(t *testing.T) {
	h := newHost(t, 3)
	on := h.establishMany(30)
	h.updateServer(1, logic.Draining, 0)
	h.EndList(h.now, false)
	moved := map[logic.AttachmentID]bool{}
	for range 8 {
		h.jobs = nil
		h.advance(250 * ms)
		for _, job := range h.jobs {
			if job.Kind == logic.Move {
				moved[job.Attachment] = true
			}
		}
		for _, a := range on[1] {
			if moved[a.ID] && a.IsEstablished() {
				h.RecordOutcome(h.now, a, logic.Cancelled, true)
			}
		}
		require.LessOrEqual(t, h.countJobs(logic.Move), 3, "moves are spread over time")
	}
	require.Len(t, moved, len(on[1]), "all connections of the draining server, and no others")
}

// Where delays were not reported, a slow server kept its connections.
func TestProbesDetectLateServersWhereDelaysAreNotReported(t *testing.T) {
	h := newHost(t, 4)
	on := h.establishMany(40)
	answerTime := map[logic.ServerID]logic.Micros{1: 500, 2: 500, 3: 500, 4: 900}
	probes := 0
	for second := range 12 {
		if second == 3 {
			answerTime[1] = 1500
		}
		if second == 2 || second == 7 {
			answerTime[2] = 50 * ms // a pause
		} else {
			answerTime[2] = 500
		}
		h.jobs = nil
		h.advance(sec)
		for _, job := range h.jobs {
			switch job.Kind {
			case logic.Probe:
				probes++
				h.RecordProbe(h.now, job.Server, answerTime[job.Server])
			case logic.Move:
				require.True(t, slices.ContainsFunc(on[1], func(a *logic.Attachment) bool { return a.ID == job.Attachment }),
					"only connections of the server whose answers have become slower")
			}
		}
	}
	require.Equal(t, 48, probes, "one probe per second and server")
	require.Less(t, len(h.establishMany(12)[1]), 2)
}

// Waiting for a second slow answer took a second, in which full servers got more load and dropped connections.
func TestASingleSlowProbeCountsInTheOwnZone(t *testing.T) {
	h := newHost(t, 2)
	h.establishMany(20)
	h.RecordProbe(h.now, 1, 500)
	h.RecordProbe(h.now, 1, 1500)
	require.Less(t, len(h.establishMany(10)[1]), 4)
}

// Clients that were moved off a late server were sent back to it, as it was their group's server, and were moved again.
func TestAReturningClientIsNotSentToALateServer(t *testing.T) {
	h := newHost(t, 3)
	groupServer := logic.ServerID(0)
	for range 12 {
		a := h.newAttachment(0)
		a.Group = 7
		groupServer = h.mustSend(a).Server
		h.RecordEstablished(h.now, a)
	}
	h.reportDelays(100*ms, 1, groupServer)
	for range 5 {
		a := h.newAttachment(0)
		a.Group, a.Returning = 7, true
		require.NotEqual(t, groupServer, h.mustSend(a).Server)
		h.RecordOutcome(h.now, a, logic.NoConnection, true)
	}
}

// A proxy that knew two servers took one late one for an overload and pushed clients back while other servers were idle.
func TestOneLateServerIsNoOverloadHoweverFewAreKnown(t *testing.T) {
	h := newHost(t, 5)
	h.establish()
	_, id := h.establish()
	h.reportDelays(400*ms, 3, id)
	for range 5 {
		a := h.newAttachment(0)
		a.Returning = true // counts as heavy
		h.mustSend(a)
		h.RecordOutcome(h.now, a, logic.NoConnection, true)
	}
}

// Rough weights hide slow models: messages were late for three seconds before load went to other servers.
func TestALateServerLosesSpeedFasterWhereWeightsAreRough(t *testing.T) {
	placed := map[logic.WeightKind]int{}
	for _, weightKind := range []logic.WeightKind{logic.WeightNominal, logic.WeightRough} {
		h := newWeightedHost(t, 1, 1, 2, weightKind)
		on := h.establishMany(40)
		h.reportDelays(100*ms, 3, 1)
		h.advance(6 * sec)
		for range 20 {
			a, id := h.establish()
			on[id] = append(on[id], a)
		}
		placed[weightKind] = len(on[1])
	}
	require.Less(t, placed[logic.WeightRough]+3, placed[logic.WeightNominal])
}

// reportUtilization has all servers report their utilization for three seconds, so that the reports are trusted and used.
func (h *testHost) reportUtilization(utilizations map[logic.ServerID]float64) {
	for range 12 {
		for id := logic.ServerID(1); int(id) <= len(utilizations); id++ {
			h.RecordUtilization(h.now, id, utilizations[id])
		}
		h.advance(250 * ms)
	}
}

// For one proxy of many, all servers have the same own load, while the other proxies have filled one of them.
func TestReportsRevealAFullServerWhereOwnCountsAreEqual(t *testing.T) {
	h := newHost(t, 4)
	h.EnableUtilizationProbes()
	h.establishMany(40)
	h.reportUtilization(map[logic.ServerID]float64{1: 0.9, 2: 0.3, 3: 0.6, 4: 0.6})
	on := h.establishMany(12)
	require.Empty(t, on[1])
	require.Greater(t, len(on[2]), 6)
	h.advance(13 * sec)
	on = h.establishMany(8)
	require.NotEmpty(t, on[1], "the reports are too old, so own counts decide")
}

// A server that has just started reports that it is empty, and all proxies would fill it before it is warm.
func TestAColdServersReportCountsHalf(t *testing.T) {
	placed := 0
	for seed := range int64(20) {
		h := newSeededHost(t, seed+1, 1, 4)
		h.EnableUtilizationProbes()
		h.establishMany(20)
		h.updateServer(5, logic.Ready, h.now-2*sec)
		h.EndList(h.now, false)
		h.reportUtilization(map[logic.ServerID]float64{1: 0.6, 2: 0.6, 3: 0.6, 4: 0.6, 5: 0.01})
		placed += len(h.establishMany(8)[5])
	}
	require.Less(t, placed, 90, "of 160; 100 if its report counted in full")
}

func TestAReportThatIsContradictedIsNotTrusted(t *testing.T) {
	for name, c := range map[string]struct {
		reported    float64 // utilization of server 1; the others report 0.5
		isLate      bool    // whether its messages are late
		least, most int     // bounds on what it gets of 20 more connections
	}{
		"zero":                {0, false, 0, 6},
		"low while late":      {0.1, true, 0, 1},
		"full while not late": {3, false, 3, 20},
		"not a number":        {math.NaN(), false, 0, 6},
		"negative":            {-1, false, 0, 6},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHost(t, 4)
			h.EnableUtilizationProbes()
			h.establishMany(40)
			h.reportUtilization(map[logic.ServerID]float64{1: 0.5, 2: 0.5, 3: 0.5, 4: 0.5})
			for range 8 {
				if c.isLate {
					h.RecordDelay(h.now, 1, 200*ms)
				}
				for id, utilization := range []float64{c.reported, 0.5, 0.5, 0.5} {
					h.RecordUtilization(h.now, logic.ServerID(id+1), utilization)
				}
				h.advance(sec)
			}
			n := len(h.establishMany(20)[1])
			require.GreaterOrEqual(t, n, c.least)
			require.LessOrEqual(t, n, c.most)
		})
	}
}

func TestUtilizationProbesGoInTurnAndAreLimitedByConnections(t *testing.T) {
	newProbingHost := func(weightKind logic.WeightKind, reportsPassedOn bool) *testHost {
		h := newWeightedHost(t, 1, 1, 6, weightKind)
		if reportsPassedOn {
			h.EnableUtilizationProbes()
		}
		h.Reconfigure(logic.New(1, 1, 1, 0, []logic.Product{statusProduct}, weightKind, logic.ListConfig{},
			logic.ColdStart{}, logic.Permissions{MaxDispatches: 5}, 0.2, 0.01))
		h.establishMany(8) // each connection pays for two probes
		return h
	}
	countProbes := func(h *testHost) map[logic.ServerID]int {
		h.jobs = nil
		h.advance(10 * sec)
		n := map[logic.ServerID]int{}
		for _, job := range h.jobs {
			if job.Kind == logic.Probe {
				n[job.Server]++
			}
		}
		return n
	}
	n := countProbes(newProbingHost(logic.WeightNominal, true))
	require.Equal(t, map[logic.ServerID]int{1: 2, 2: 3, 3: 3, 4: 3, 5: 3, 6: 2}, n)
	require.Empty(t, countProbes(newProbingHost(logic.WeightNominal, false)), "reports are not passed on")
	require.Empty(t, countProbes(newProbingHost(logic.WeightLive, true)), "live weights say the same")
}

// The configuration said that servers report delays, but they did not: 300 proxies noticed no late server.
func TestServersAreProbedUntilDelaysAreReported(t *testing.T) {
	h := newHost(t, 2)
	h.establishMany(4)
	probed := func() bool {
		h.jobs = nil
		h.advance(2 * sec)
		return slices.ContainsFunc(h.jobs, func(job logic.Job) bool { return job.Kind == logic.Probe })
	}
	require.True(t, probed())
	h.SetDelaysReported(true)
	require.False(t, probed(), "the delays are reported already")
	h.SetDelaysReported(false)
	require.True(t, probed())
}

// Each of three hundred proxies had four connections on ninety servers. Groups went to random servers, and a server held
// members of ten groups where two or three would do.
func TestAGroupKeepsToItsFirstServersWhereLittleIsKnown(t *testing.T) {
	first := map[logic.ServerID]int{}
	for seed := range int64(100) {
		h := newSeededHost(t, seed+1, 300, 90)
		h.establishMany(3)
		a := h.newAttachment(0)
		a.Group = 7
		first[h.mustSend(a).Server]++
	}
	most := 0
	for _, n := range first {
		most = max(most, n)
	}
	require.Greater(t, most, 85, "all proxies know the same ranking of servers")
}

// An overloaded server dropped its newest clients, and nothing else showed that its messages were late. Each client came
// back within a tenth of a second, was sent to the same server, as that was its group's, and was dropped again.
func TestADroppedClientIsNotSentBackToItsServer(t *testing.T) {
	h := newSeededHost(t, 1, 300, 8)
	member := func(returning bool) *logic.Attachment {
		a := h.newAttachment(0)
		a.Group, a.Returning = 7, returning
		return a
	}
	first := member(false)
	groupServer := h.mustSend(first).Server
	h.RecordEstablished(h.now, first)
	h.RecordOutcome(h.now, first, logic.Reset, true)
	h.advance(2 * sec) // longer than a server is avoided after it dropped a connection
	returned := member(true)
	require.NotEqual(t, groupServer, h.mustSend(returned).Server)
	h.advance(10 * sec)
	require.Equal(t, groupServer, h.mustSend(member(true)).Server, "after a while the group's server is the best choice again")
}
