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

// testHost drives a balancer: it keeps the clock and collects the jobs that Tick returned.
type testHost struct {
	*testing.T
	*logic.Balancer
	now    logic.Micros
	lastID logic.AttachmentID
	jobs   []logic.Job
}

// statusProduct is the product of tests that name none. A repeat of it is harmless.
var statusProduct = logic.Product{QuotedTime: 300 * ms, QuotedMessageTime: 100 * ms, DedupWindow: 5 * sec, Gain: 1}

// newHost returns a host with the given number of ready servers, numbered from 1, each of weight 1 in zone 0.
func newHost(t *testing.T, servers int, products ...logic.Product) *testHost {
	return newSeededHost(t, 1, 1, servers, products...)
}

// newSeededHost does the same for one of several proxies. The seed is the index of the proxy, too.
func newSeededHost(t *testing.T, seed int64, proxies, servers int, products ...logic.Product) *testHost {
	return newWeightedHost(t, seed, proxies, servers, logic.WeightNominal, products...)
}

// newWeightedHost does the same for weights of the given kind.
func newWeightedHost(t *testing.T, seed int64, proxies, servers int, weightKind logic.WeightKind,
	products ...logic.Product) *testHost {
	if len(products) == 0 {
		products = []logic.Product{statusProduct}
	}
	h := &testHost{T: t, now: 100 * sec}
	h.Balancer = logic.New(seed, int(seed), proxies, 0, products, weightKind,
		logic.ListConfig{Subscribe: true, AskWithin: 10 * sec},
		logic.ColdStart{InitialShare: 0.3, WarmupTime: 9 * sec, OverloadMultiple: 3, OverloadWindow: 3 * sec},
		logic.Permissions{MaxDispatches: 5, MaxRetryAfter: sec, AllowProbes: true}, 0.2, 0.01)
	h.BeginFullList(h.now)
	for id := 1; id <= servers; id++ {
		h.updateServer(logic.ServerID(id), logic.Ready, 0)
	}
	h.EndList(h.now, true)
	return h
}

// updateServer applies an entry of the server list: weight 1, zone 0 and a cell of its own.
func (h *testHost) updateServer(id logic.ServerID, state logic.State, launchedAt logic.Micros) {
	h.UpdateServer(h.now, id, 0, 0, logic.CellID(id), state, 1, launchedAt)
}

// advance lets time pass and calls Tick whenever it is due.
func (h *testHost) advance(duration logic.Micros) {
	for end := h.now + duration; h.now < end; {
		wait, jobs := h.Tick(h.now)
		h.jobs = append(h.jobs, jobs...)
		h.now = min(end, h.now+max(wait, ms))
	}
}

// newAttachment returns one that arrives now and must have its final answer in 2 s.
func (h *testHost) newAttachment(product logic.ProductID) *logic.Attachment {
	h.lastID++
	return &logic.Attachment{
		ID: h.lastID, Product: product, Key: logic.ClientKey(h.lastID), ArrivedAt: h.now, HardLimit: h.now + 2*sec,
	}
}

// mustSend fails the test unless the attachment is sent to a server.
func (h *testHost) mustSend(a *logic.Attachment) logic.Decision {
	h.Helper()
	decision := h.ChooseServer(h.now, a)
	require.Equal(h, logic.Send, decision.Action)
	return decision
}

// establish sets up a new connection and returns its server.
func (h *testHost) establish() (*logic.Attachment, logic.ServerID) {
	h.Helper()
	a := h.newAttachment(0)
	decision := h.mustSend(a)
	h.RecordEstablished(h.now, a)
	return a, decision.Server
}

// establishMany sets up n connections and returns them by server.
func (h *testHost) establishMany(n int) map[logic.ServerID][]*logic.Attachment {
	h.Helper()
	on := map[logic.ServerID][]*logic.Attachment{}
	for range n {
		a, id := h.establish()
		on[id] = append(on[id], a)
	}
	return on
}

// reportDelays reports a message delay of the given servers, once a second for so many seconds.
func (h *testHost) reportDelays(delay logic.Micros, seconds int, ids ...logic.ServerID) {
	for range seconds {
		for _, id := range ids {
			h.RecordDelay(h.now, id, delay)
		}
		h.advance(sec)
	}
}

// countJobs counts the collected jobs of a kind.
func (h *testHost) countJobs(kind logic.JobKind) int {
	n := 0
	for _, job := range h.jobs {
		if job.Kind == kind {
			n++
		}
	}
	return n
}
