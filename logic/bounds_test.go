package logic_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"hatchproxy/logic"
)

func TestNothingIsSentByAnOutdatedList(t *testing.T) {
	f := open(t, 2)
	f.Outdated(true)
	a := f.arrive(0)
	require.Equal(t, logic.NotYet, f.Where(f.now, a).Verdict, "it waits for the list")
	f.now = a.Limit
	require.Equal(t, logic.PushBack, f.Where(f.now, a).Verdict, "and is pushed back in time: it never ran")
	f.Outdated(false)
	f.send(f.arrive(0))
}

func TestWhatAllowedADispatchMustStillHoldWhenItsBytesGoOut(t *testing.T) {
	stamped := logic.Product{Quoted: 300 * ms, Memory: sec, Gain: 1, Repeat: logic.Stamped, Reach: logic.ReachAll}
	for name, change := range map[string]func(*fake, logic.ServerID){
		"it drains":          func(f *fake, id logic.ServerID) { f.tell(id, logic.Draining, 0) },
		"it is gone":         func(f *fake, id logic.ServerID) { f.tell(id, logic.Gone, 0) },
		"its stamp is over":  func(f *fake, id logic.ServerID) { f.now += 900 * ms },
		"the list is no use": func(f *fake, id logic.ServerID) { f.Outdated(true) },
	} {
		t.Run(name, func(t *testing.T) {
			f := open(t, 3, stamped)
			a := f.arrive(0)
			f.send(a)
			require.True(t, f.MaySend(f.now, a))
			f.now += 200 * ms
			again := f.After(f.now, a, logic.Reset, false)
			require.Equal(t, logic.Send, again.Verdict)
			require.True(t, f.MaySend(f.now, a))
			change(f, again.Server)
			require.False(t, f.MaySend(f.now, a))
			require.NotEqual(t, logic.GiveUp, f.After(f.now, a, logic.Moot, false).Verdict, "nothing of it ran")
		})
	}
}

// BenchmarkPick is the cost of a placement, by the length of the list.
func BenchmarkPick(b *testing.B) {
	for _, servers := range []int{100, 400, 1100} {
		b.Run(fmt.Sprint(servers), func(b *testing.B) {
			f := openSeeded(&testing.T{}, 1, 300, servers)
			for b.Loop() {
				a := f.arrive(0)
				a.Group = 7
				f.Where(f.now, a)
				f.After(f.now, a, logic.Cancelled, true)
			}
		})
	}
}

// BenchmarkTick is the cost of the periodic work, four times a second.
func BenchmarkTick(b *testing.B) {
	for _, servers := range []int{100, 400, 1100} {
		b.Run(fmt.Sprint(servers), func(b *testing.B) {
			f := openSeeded(&testing.T{}, 1, 300, servers)
			for range 10 {
				a := f.arrive(0)
				f.Where(f.now, a)
				f.Stands(f.now, a)
			}
			for b.Loop() {
				f.now += 250 * ms
				f.Wait(f.now)
			}
		})
	}
}
