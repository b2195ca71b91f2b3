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

// testHost is the tiny host of the stories: a clock, the attachments in hand and the answers they got.
type testHost struct {
	*testing.T
	*logic.Balancer
	now    logic.Micros
	lastID logic.AttachmentID
	jobs   []logic.Job
}

var statusProduct = logic.Product{QuotedTime: 300 * ms, QuotedMessageTime: 100 * ms, DedupWindow: 5 * sec, Gain: 1}

// newHost starts an instance that knows so many ready servers, numbered from 1, each of weight 1 in zone 0.
func newHost(t *testing.T, servers int, products ...logic.Product) *testHost {
	return newSeededHost(t, 1, 1, servers, products...)
}

// newSeededHost starts one of so many instances.
func newSeededHost(t *testing.T, seed int64, proxies, servers int, products ...logic.Product) *testHost {
	return newWeightedHost(t, seed, proxies, servers, logic.WeightNominal, products...)
}

func newWeightedHost(t *testing.T, seed int64, proxies, servers int, weighing logic.WeightKind,
	products ...logic.Product) *testHost {
	if len(products) == 0 {
		products = []logic.Product{statusProduct}
	}
	f := &testHost{T: t, now: 100 * sec}
	f.Balancer = logic.New(seed, int(seed), proxies, 0, products, weighing,
		logic.ListConfig{Subscribe: true, AskWithin: 10 * sec},
		logic.ColdStart{InitialShare: 0.3, WarmupTime: 9 * sec, OverloadMultiple: 3, OverloadWindow: 3 * sec},
		logic.Permissions{MaxDispatches: 5, MaxRetryAfter: sec, AllowProbes: true}, 0.2, 0.01)
	f.BeginFullList(f.now)
	for id := 1; id <= servers; id++ {
		f.updateServer(logic.ServerID(id), logic.Ready, 0)
	}
	f.EndList(f.now, true)
	return f
}

func (f *testHost) updateServer(id logic.ServerID, state logic.State, launched logic.Micros) {
	f.UpdateServer(f.now, id, 0, 0, logic.CellID(id), state, 1, launched)
}

// advance lets time go by, with the periodic questions that belong to it.
func (f *testHost) advance(span logic.Micros) {
	for end := f.now + span; f.now < end; {
		wait, errands := f.Tick(f.now)
		f.jobs = append(f.jobs, errands...)
		f.now = min(end, f.now+max(wait, ms))
	}
}

func (f *testHost) newAttachment(product logic.ProductID) *logic.Attachment {
	f.lastID++
	return &logic.Attachment{
		ID: f.lastID, Product: product, Key: logic.ClientKey(f.lastID), ArrivedAt: f.now, HardLimit: f.now + 2*sec,
	}
}

// mustSend asks where to and demands a server.
func (f *testHost) mustSend(a *logic.Attachment) logic.Decision {
	f.Helper()
	ans := f.ChooseServer(f.now, a)
	require.Equal(f, logic.Send, ans.Action)
	return ans
}

// establish sets up a connection and tells its server.
func (f *testHost) establish() (*logic.Attachment, logic.ServerID) {
	f.Helper()
	a := f.newAttachment(0)
	ans := f.mustSend(a)
	f.RecordEstablished(f.now, a)
	return a, ans.Server
}

// establishMany places connections evenly and returns them by server.
func (f *testHost) establishMany(n int) map[logic.ServerID][]*logic.Attachment {
	f.Helper()
	on := map[logic.ServerID][]*logic.Attachment{}
	for range n {
		a, id := f.establish()
		on[id] = append(on[id], a)
	}
	return on
}

// reportDelays tells of late messages at a server, once a second for so many seconds.
func (f *testHost) reportDelays(took logic.Micros, seconds int, ids ...logic.ServerID) {
	for range seconds {
		for _, id := range ids {
			f.RecordDelay(f.now, id, took)
		}
		f.advance(sec)
	}
}

func (f *testHost) countJobs(task logic.JobKind) int {
	n := 0
	for _, e := range f.jobs {
		if e.Kind == task {
			n++
		}
	}
	return n
}
