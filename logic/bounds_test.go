package logic_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"hatchproxy/logic"
)

func TestNothingIsSentByAnOutdatedList(t *testing.T) {
	f := newHost(t, 2)
	f.SetListOutdated(true)
	a := f.newAttachment(0)
	require.Equal(t, logic.Hold, f.ChooseServer(f.now, a).Action, "it waits for the list")
	f.now = a.HardLimit
	require.Equal(t, logic.PushBack, f.ChooseServer(f.now, a).Action, "and is pushed back in time: it never ran")
	f.SetListOutdated(false)
	f.mustSend(f.newAttachment(0))
}

func TestWhatAllowedADispatchMustStillHoldWhenItsBytesGoOut(t *testing.T) {
	stamped := logic.Product{QuotedTime: 300 * ms, DedupWindow: sec, Gain: 1, Idempotency: logic.Stamped, DedupScope: logic.DedupAll}
	for name, change := range map[string]func(*testHost, logic.ServerID){
		"it drains":          func(f *testHost, id logic.ServerID) { f.updateServer(id, logic.Draining, 0) },
		"it is gone":         func(f *testHost, id logic.ServerID) { f.updateServer(id, logic.Gone, 0) },
		"its stamp is over":  func(f *testHost, id logic.ServerID) { f.now += 900 * ms },
		"the list is no use": func(f *testHost, id logic.ServerID) { f.SetListOutdated(true) },
	} {
		t.Run(name, func(t *testing.T) {
			f := newHost(t, 3, stamped)
			a := f.newAttachment(0)
			f.mustSend(a)
			require.True(t, f.MaySend(f.now, a))
			f.now += 200 * ms
			again := f.RecordOutcome(f.now, a, logic.Reset, false)
			require.Equal(t, logic.Send, again.Action)
			require.True(t, f.MaySend(f.now, a))
			change(f, again.Server)
			require.False(t, f.MaySend(f.now, a))
			require.NotEqual(t, logic.GiveUp, f.RecordOutcome(f.now, a, logic.NotSent, false).Action, "nothing of it ran")
		})
	}
}

// BenchmarkPick is the cost of a placement, by the length of the list.
func BenchmarkPick(b *testing.B) {
	for _, servers := range []int{100, 400, 1100} {
		b.Run(fmt.Sprint(servers), func(b *testing.B) {
			f := newSeededHost(&testing.T{}, 1, 300, servers)
			for b.Loop() {
				a := f.newAttachment(0)
				a.Group = 7
				f.ChooseServer(f.now, a)
				f.RecordOutcome(f.now, a, logic.Cancelled, true)
			}
		})
	}
}

// BenchmarkTick is the cost of the periodic work, four times a second.
func BenchmarkTick(b *testing.B) {
	for _, servers := range []int{100, 400, 1100} {
		b.Run(fmt.Sprint(servers), func(b *testing.B) {
			f := newSeededHost(&testing.T{}, 1, 300, servers)
			for range 10 {
				a := f.newAttachment(0)
				f.ChooseServer(f.now, a)
				f.RecordEstablished(f.now, a)
			}
			for b.Loop() {
				f.now += 250 * ms
				f.Tick(f.now)
			}
		})
	}
}
