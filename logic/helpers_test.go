package logic_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"hatchproxy/logic"
)

const (
	ms  = logic.Millisecond
	sec = logic.Second
)

// fake is the tiny host of the stories: a clock, the attachments in hand and the answers they got.
type fake struct {
	*testing.T
	*logic.Balancer
	now    logic.Micros
	lastID logic.AttachmentID
	errand []logic.Errand
}

var status = logic.Product{Quoted: 300 * ms, Message: 100 * ms, Memory: 5 * sec, Gain: 1}

// open starts an instance that knows so many ready servers, numbered from 1, each of weight 1 in zone 0.
func open(t *testing.T, servers int, products ...logic.Product) *fake {
	return openSeeded(t, 1, 1, servers, products...)
}

// openSeeded starts one of so many instances.
func openSeeded(t *testing.T, seed int64, proxies, servers int, products ...logic.Product) *fake {
	return openWeighed(t, seed, proxies, servers, logic.ByNominalSize, products...)
}

func openWeighed(t *testing.T, seed int64, proxies, servers int, weighing logic.Weighing,
	products ...logic.Product) *fake {
	if len(products) == 0 {
		products = []logic.Product{status}
	}
	f := &fake{T: t, now: 100 * sec}
	f.Balancer = logic.New(seed, int(seed), proxies, 0, products, weighing,
		logic.Listing{Subscribe: true, Within: 10 * sec},
		logic.ColdRule{Start: 0.3, Warm: 9 * sec, Multiple: 3, Window: 3 * sec},
		logic.Leave{Dispatches: 5, Advice: sec, Probes: true}, 0.2, 0.01)
	f.ListWhole(f.now)
	for id := 1; id <= servers; id++ {
		f.tell(logic.ServerID(id), logic.Ready, 0)
	}
	f.ListDone(f.now, true)
	return f
}

func (f *fake) tell(id logic.ServerID, state logic.State, launched logic.Micros) {
	f.Listed(f.now, id, 0, 0, logic.CellID(id), state, 1, launched)
}

// pass lets time go by, with the periodic questions that belong to it.
func (f *fake) pass(span logic.Micros) {
	for end := f.now + span; f.now < end; {
		wait, errands := f.Wait(f.now)
		f.errand = append(f.errand, errands...)
		f.now = min(end, f.now+max(wait, ms))
	}
}

func (f *fake) arrive(product logic.ProductID) *logic.Attachment {
	f.lastID++
	return &logic.Attachment{
		ID: f.lastID, Product: product, Key: logic.ClientKey(f.lastID), Came: f.now, Limit: f.now + 2*sec,
	}
}

// send asks where to and demands a server.
func (f *fake) send(a *logic.Attachment) logic.Answer {
	f.Helper()
	ans := f.Where(f.now, a)
	require.Equal(f, logic.Send, ans.Verdict)
	return ans
}

// place sets up a connection and tells its server.
func (f *fake) place() (*logic.Attachment, logic.ServerID) {
	f.Helper()
	a := f.arrive(0)
	ans := f.send(a)
	f.Stands(f.now, a)
	return a, ans.Server
}

// fill places connections evenly and returns them by server.
func (f *fake) fill(n int) map[logic.ServerID][]*logic.Attachment {
	f.Helper()
	on := map[logic.ServerID][]*logic.Attachment{}
	for range n {
		a, id := f.place()
		on[id] = append(on[id], a)
	}
	return on
}

// late tells of late messages at a server, once a second for so many seconds.
func (f *fake) late(took logic.Micros, seconds int, ids ...logic.ServerID) {
	for range seconds {
		for _, id := range ids {
			f.Delay(f.now, id, took)
		}
		f.pass(sec)
	}
}

func (f *fake) count(task logic.Task) int {
	n := 0
	for _, e := range f.errand {
		if e.Task == task {
			n++
		}
	}
	return n
}
