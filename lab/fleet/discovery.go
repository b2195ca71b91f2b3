package fleet

import (
	"cmp"
	"context"
	"encoding/json"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"hatchproxy/lab/ledger"
)

// serverState is a server's in the list. Its numbers are those of ledger.Told.
type serverState int

const (
	stateReady serverState = iota
	stateDraining
	stateGone
)

var stateNames = [...]string{"ready", "draining", "gone"}

// listEntry is a server on the list, in the form of the protocol's page but for the endpoint, which differs from zone to
// zone. A list belongs to no proxy: each asks at a front of its own.
type listEntry struct {
	UID      string  `json:"uid"`
	Endpoint string  `json:"endpoint"`
	AZ       string  `json:"az"`
	Model    string  `json:"model"`
	PodGroup int     `json:"pod_group"`
	State    string  `json:"state"`
	Weight   float64 `json:"capacity_hint"`
	BootMS   int64   `json:"boot_ms"`

	serverNumber    int
	state           serverState
	endpoints       []string // by zone
	rev             int64
	changedAt       Micros
	listedBeforeRun bool // it is on the list since long before the run
}

// beforeRunAge is more than any lateness of discovery.
const beforeRunAge = 3600 * ledger.Second

// ServerList is the true list with its history, which fronts tell late, stale or not at all.
type ServerList struct {
	eventLog *ledger.EventLog
	mu       sync.Mutex
	history  []listEntry // the entry at i is of version i+1
	changed  chan struct{}
}

// NewServerList makes an empty list.
func NewServerList(book *ledger.EventLog) *ServerList {
	return &ServerList{eventLog: book, changed: make(chan struct{})}
}

func (l *ServerList) set(e listEntry) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e.rev, e.changedAt = int64(len(l.history)+1), l.eventLog.Now()
	if e.listedBeforeRun {
		e.changedAt = -beforeRunAge
	}
	l.history = append(l.history, e)
	l.notifyChange()
}

func (l *ServerList) notifyChange() {
	close(l.changed)
	l.changed = make(chan struct{})
}

// DiscoveryServer is the discovery that one proxy asks. How it fails is for all fronts of a list alike, or for one.
type DiscoveryServer struct {
	list  *ServerList
	proxy int
	zone  int

	mu                sync.Mutex
	address           string
	httpServer        *http.Server
	delay             Micros
	frozenRev         int64 // the version that it goes on telling; 0 if the newest
	failure           string
	sentRevs          map[int]int64     // the version last told, by server
	endpointOverrides map[string]string // by endpoint
	requestCount      int
	lastUnanswered    int // calls up to this one are never answered
}

// malformedAnswers is what a front answers that has lost its mind; each is to be refused whole.
var malformedAnswers = []string{"{", `{"rev":9,"all":true,"targets":[{"uid":"x","state":"odd"}]}`, `{"all":true,"targets":[]}`,
	`{"rev":"x"}`, "<html>no</html>", ""}

// StartDiscovery starts a front for a proxy of a zone, on a loopback address.
func (l *ServerList) StartDiscovery(proxy, zone int) (*DiscoveryServer, error) {
	return l.startDiscoveryAt("127.0.0.1:0", proxy, zone)
}

func (l *ServerList) startDiscoveryAt(address string, proxy, zone int) (*DiscoveryServer, error) {
	f := &DiscoveryServer{list: l, proxy: proxy, zone: zone, sentRevs: map[int]int64{}}
	return f, f.listen(address)
}

func (f *DiscoveryServer) listen(address string) error {
	at, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: f, ReadHeaderTimeout: 10 * time.Second}
	f.mu.Lock()
	f.address, f.httpServer = at.Addr().String(), server
	f.mu.Unlock()
	go func() { _ = server.Serve(at) }() // it ends with Close
	return nil
}

// Address is where it listens now.
func (f *DiscoveryServer) Address() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.address
}

// RewriteEndpoints has it tell, for each endpoint, where its proxy reaches that; asked once for each, now for those on the list.
func (f *DiscoveryServer) RewriteEndpoints(way func(server int, endpoint string) (string, error)) error {
	f.list.mu.Lock()
	history := f.list.history
	f.list.mu.Unlock()
	reached := map[string]string{}
	for _, e := range history {
		at := e.endpoints[f.zone]
		if reached[at] == "" {
			var err error
			if reached[at], err = way(e.serverNumber, at); err != nil {
				return err
			}
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.endpointOverrides = reached
	return nil
}

// RequestCount tells how many calls have come.
func (f *DiscoveryServer) RequestCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.requestCount
}

// MoveAddress has it listen at another address; the old one takes no new connection and closes its open ones after a while.
func (f *DiscoveryServer) MoveAddress(after time.Duration) error {
	f.mu.Lock()
	old := f.httpServer
	f.mu.Unlock()
	if err := f.listen("127.0.0.1:0"); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), after)
	go func() {
		defer cancel()
		if old.Shutdown(ctx) != nil {
			_ = old.Close()
		}
	}()
	return nil
}

// Close ends it.
func (f *DiscoveryServer) Close() {
	f.mu.Lock()
	defer f.mu.Unlock()
	_ = f.httpServer.Close()
}

// SilenceOpenRequests has it never answer the calls that are out now: open watches fall silent.
func (f *DiscoveryServer) SilenceOpenRequests() {
	f.update(func() { f.lastUnanswered = f.requestCount })
}

// SetDelay has it tell changes that much later; Freeze has it tell no change at all, Break has it answer 503 ("down"),
// garbage ("garbage"), nothing to whoever calls ("silent"), or these words; "" mends it.
func (f *DiscoveryServer) SetDelay(by Micros) { f.update(func() { f.delay = by }) }

func (f *DiscoveryServer) SetFrozen(on bool) {
	f.update(func() {
		f.frozenRev = 0
		if on {
			f.frozenRev = f.visibleRev()
		}
	})
}

func (f *DiscoveryServer) SetFailure(how string) { f.update(func() { f.failure = how }) }

func (f *DiscoveryServer) update(how func()) {
	f.list.mu.Lock()
	defer f.list.mu.Unlock()
	f.mu.Lock()
	how()
	f.mu.Unlock()
	f.list.notifyChange()
}

// visibleRev is the newest version that it tells now. The list's lock is held.
func (f *DiscoveryServer) visibleRev() int64 {
	if f.frozenRev > 0 {
		return f.frozenRev
	}
	now, rev := f.list.eventLog.Now(), int64(len(f.list.history))
	for rev > 0 && f.list.history[rev-1].changedAt+f.delay > now {
		rev--
	}
	return rev
}

// untilNextRev is when a change becomes visible that is not yet. The list's lock is held.
func (f *DiscoveryServer) untilNextRev(rev int64) time.Duration {
	if f.frozenRev > 0 || rev >= int64(len(f.list.history)) {
		return time.Hour
	}
	return max(0, f.list.history[rev].changedAt+f.delay-f.list.eventLog.Now()).Duration() + time.Millisecond
}

// ServeHTTP answers GET /v1/servers.
func (f *DiscoveryServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	from, err := strconv.ParseInt(r.URL.Query().Get("from"), 10, 64)
	whole := err != nil
	hold, _ := strconv.Atoi(r.URL.Query().Get("hold_ms"))
	late := time.After(time.Duration(hold) * time.Millisecond)
	f.mu.Lock()
	f.requestCount++
	number := f.requestCount
	f.mu.Unlock()
	f.list.mu.Lock()
wait:
	for {
		f.mu.Lock()
		rev, broken, next := f.visibleRev(), f.failure, f.untilNextRev(f.visibleRev())
		f.mu.Unlock()
		if whole || rev > from || broken != "" {
			break
		}
		changed := f.list.changed
		f.list.mu.Unlock()
		select {
		case <-changed:
		case <-time.After(next):
		case <-late:
			f.list.mu.Lock()
			break wait
		case <-r.Context().Done():
			return
		}
		f.list.mu.Lock()
	}
	f.mu.Lock()
	rev, broken, hushed := f.visibleRev(), f.failure, number <= f.lastUnanswered
	f.mu.Unlock()
	history := f.list.history[:rev]
	f.list.mu.Unlock()
	if hushed || broken == "silent" {
		<-r.Context().Done()
		return
	}
	switch broken {
	case "":
	case "garbage":
		_, _ = w.Write([]byte(malformedAnswers[rand.IntN(len(malformedAnswers))]))
		return
	case "down":
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	default:
		_, _ = w.Write([]byte(broken))
		return
	}
	f.writeAnswer(w, history, from, whole)
}

func (f *DiscoveryServer) writeAnswer(w http.ResponseWriter, history []listEntry, from int64, whole bool) {
	answer := struct {
		Rev     int64       `json:"rev"`
		All     bool        `json:"all"`
		Targets []listEntry `json:"targets"`
	}{int64(len(history)), whole, []listEntry{}}
	latest := map[int]listEntry{}
	var order []int
	for _, e := range history {
		if _, known := latest[e.serverNumber]; !known {
			order = append(order, e.serverNumber)
		}
		latest[e.serverNumber] = e
	}
	for _, id := range order {
		e := latest[id]
		if whole && e.state == stateGone || !whole && e.rev <= from {
			continue
		}
		e.Endpoint, e.State = e.endpoints[f.zone], stateNames[e.state]
		f.mu.Lock()
		e.Endpoint = cmp.Or(f.endpointOverrides[e.Endpoint], e.Endpoint)
		f.mu.Unlock()
		answer.Targets = append(answer.Targets, e)
	}
	if json.NewEncoder(w).Encode(answer) != nil {
		return
	}
	if flush, can := w.(http.Flusher); can {
		flush.Flush()
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, id := range order {
		e := latest[id]
		if !whole && e.rev <= from || f.sentRevs[id] >= e.rev {
			continue
		}
		f.sentRevs[id] = e.rev
		f.list.eventLog.Record(ledger.Event{Kind: ledger.StateAnnounced, Proxy: f.proxy, Server: id, Product: ledger.None, Value: int64(e.state)})
	}
}
