package logic_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"hatchproxy/logic"
)

func TestNothingIsSentByAnOutdatedList(t *testing.T) {
	h := newHost(t, 2)
	h.SetListOutdated(true)
	a := h.newAttachment(0)
	require.Equal(t, logic.Hold, h.ChooseServer(h.now, a).Action, "it waits for the list")
	h.now = a.HardLimit
	require.Equal(t, logic.PushBack, h.ChooseServer(h.now, a).Action, "it never ran, so it is pushed back in time")
	h.SetListOutdated(false)
	h.mustSend(h.newAttachment(0))
}

func TestMaySendChecksAgainBeforeBytesAreWritten(t *testing.T) {
	stamped := logic.Product{QuotedTime: 300 * ms, DedupWindow: sec, Gain: 1, Idempotency: logic.Stamped, DedupScope: logic.DedupAll}
	for name, change := range map[string]func(*testHost, logic.ServerID){
		"server drains":     func(h *testHost, id logic.ServerID) { h.updateServer(id, logic.Draining, 0) },
		"server is gone":    func(h *testHost, id logic.ServerID) { h.updateServer(id, logic.Gone, 0) },
		"stamp has expired": func(h *testHost, id logic.ServerID) { h.now += 900 * ms },
		"list is outdated":  func(h *testHost, id logic.ServerID) { h.SetListOutdated(true) },
	} {
		t.Run(name, func(t *testing.T) {
			h := newHost(t, 3, stamped)
			a := h.newAttachment(0)
			h.mustSend(a)
			require.True(t, h.MaySend(h.now, a))
			h.now += 200 * ms
			again := h.RecordOutcome(h.now, a, logic.Reset, false)
			require.Equal(t, logic.Send, again.Action)
			require.True(t, h.MaySend(h.now, a))
			change(h, again.Server)
			require.False(t, h.MaySend(h.now, a))
			require.NotEqual(t, logic.GiveUp, h.RecordOutcome(h.now, a, logic.NotSent, false).Action, "the withdrawn dispatch did not run")
		})
	}
}

// BenchmarkPick measures a placement, by the number of servers.
func BenchmarkPick(b *testing.B) {
	for _, servers := range []int{100, 400, 1100} {
		b.Run(fmt.Sprint(servers), func(b *testing.B) {
			h := newSeededHost(&testing.T{}, 1, 300, servers)
			for b.Loop() {
				a := h.newAttachment(0)
				a.Group = 7
				h.ChooseServer(h.now, a)
				h.RecordOutcome(h.now, a, logic.Cancelled, true)
			}
		})
	}
}

// BenchmarkTick measures the periodic work, which is done four times a second, by the number of servers.
func BenchmarkTick(b *testing.B) {
	for _, servers := range []int{100, 400, 1100} {
		b.Run(fmt.Sprint(servers), func(b *testing.B) {
			h := newSeededHost(&testing.T{}, 1, 300, servers)
			for range 10 {
				a := h.newAttachment(0)
				h.ChooseServer(h.now, a)
				h.RecordEstablished(h.now, a)
			}
			for b.Loop() {
				h.now += 250 * ms
				h.Tick(h.now)
			}
		})
	}
}
