package fleet

import (
	"cmp"
	"context"
	"encoding/json"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"hatchproxy/lab/ledger"
)

// serverState is the state of a server on the list. Its numbers are the values of ledger.StateAnnounced events.
type serverState int

const (
	stateReady serverState = iota
	stateDraining
	stateGone
)

// stateNames are the names of the states in discovery's answers.
var stateNames = [...]string{"ready", "draining", "gone"}

// listEntry is a version of a server's entry on the list, with the JSON fields of discovery's answers. Endpoint and State are
// filled in for an answer, since the endpoint depends on the zone of the proxy that asks.
type listEntry struct {
	UID      string  `json:"uid"`
	Endpoint string  `json:"endpoint"`
	AZ       string  `json:"az"`
	Model    string  `json:"model"`
	PodGroup int     `json:"pod_group"`
	State    string  `json:"state"`
	Weight   float64 `json:"capacity_hint"`
	BootMS   int64   `json:"boot_ms"`

	serverNumber    int // in the fleet
	state           serverState
	endpoints       []string // by zone
	rev             int64    // the list's version with this entry
	changedAt       Micros
	listedBeforeRun bool // it was on the list long before the run
}

// beforeRunAge is the age at the run's start of entries that were listed before; it exceeds any delay of discovery.
const beforeRunAge = 3600 * ledger.Second

// ServerList is the true list of servers with its history. Discovery servers show it to proxies: with a delay, outdated or not at
// all, if a trouble says so.
type ServerList struct {
	eventLog *ledger.EventLog
	mu       sync.Mutex
	history  []listEntry   // the entry at i is of version i+1
	changed  chan struct{} // closed at the next change
}

// NewServerList returns an empty list. Answers to proxies are recorded in eventLog.
func NewServerList(eventLog *ledger.EventLog) *ServerList {
	return &ServerList{eventLog: eventLog, changed: make(chan struct{})}
}

// set makes an entry the newest version of its server's, and sets its rev and time.
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

// notifyChange wakes the requests that wait for a change. The lock is held.
func (l *ServerList) notifyChange() {
	close(l.changed)
	l.changed = make(chan struct{})
}

// DiscoveryServer is the discovery service of one proxy: an HTTP server that shows a ServerList and can be made to fail. The discovery
// servers of a list can fail independently of each other; Fleet.BeginTrouble makes all of
// a fleet fail alike.
type DiscoveryServer struct {
	list  *ServerList
	proxy int
	zone  int

	mu                sync.Mutex
	address           string
	httpServer        *http.Server
	delay             Micros
	frozenRev         int64             // the version that it keeps showing; 0 for the newest
	failure           string            // as given to SetFailure
	sentRevs          map[int]int64     // the version sent last, by server number
	endpointOverrides map[string]string // the address that is shown instead, by endpoint
	requestCount      int
	lastUnanswered    int // requests up to this number are never answered
	queueTime         time.Duration
	crowdedSince      Micros        // when it became crowded; 0 if it is not
	deliveredRevs     map[int]int64 // the version that was recorded last as counting as delivered, by server number
}

const (
	// crowdedTimeout is how long a crowded service lets a call wait before it turns it away.
	crowdedTimeout = time.Second
	// deliveryLimit is how long after the service has a change, and can be reached, the change counts as delivered to every proxy.
	deliveryLimit = 6 * ledger.Second
)

// malformedAnswers are the answers of a discovery server whose failure is "garbage". A proxy must reject each as a whole.
var malformedAnswers = []string{"{", `{"rev":9,"all":true,"targets":[{"uid":"x","state":"odd"}]}`, `{"all":true,"targets":[]}`,
	`{"rev":"x"}`, "<html>no</html>", ""}

// StartDiscovery starts a discovery server for a proxy in a zone, on a loopback address.
func (l *ServerList) StartDiscovery(proxy, zone int) (*DiscoveryServer, error) {
	return l.startDiscoveryAt("127.0.0.1:0", proxy, zone)
}

// startDiscoveryAt is StartDiscovery with the address to listen at.
func (l *ServerList) startDiscoveryAt(address string, proxy, zone int) (*DiscoveryServer, error) {
	d := &DiscoveryServer{list: l, proxy: proxy, zone: zone, sentRevs: map[int]int64{}, deliveredRevs: map[int]int64{}}
	return d, d.listen(address)
}

// listen starts the HTTP server at an address.
func (d *DiscoveryServer) listen(address string) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	httpServer := &http.Server{Handler: d, ReadHeaderTimeout: 10 * time.Second}
	d.mu.Lock()
	d.address, d.httpServer = listener.Addr().String(), httpServer
	d.mu.Unlock()
	go func() { _ = httpServer.Serve(listener) }() // returns after Close or Shutdown
	return nil
}

// Address returns the address at which the server listens now.
func (d *DiscoveryServer) Address() string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.address
}

// RewriteEndpoints replaces the endpoints of the servers that are on the list now by the addresses that rewrite returns, for instance
// those of a link that can be cut. It calls rewrite once for each endpoint, and returns its error, if any, without a change.
func (d *DiscoveryServer) RewriteEndpoints(rewrite func(server int, endpoint string) (string, error)) error {
	d.list.mu.Lock()
	history := d.list.history
	d.list.mu.Unlock()
	overrides := map[string]string{}
	for _, e := range history {
		endpoint := e.endpoints[d.zone]
		if overrides[endpoint] == "" {
			var err error
			if overrides[endpoint], err = rewrite(e.serverNumber, endpoint); err != nil {
				return err
			}
		}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.endpointOverrides = overrides
	return nil
}

// RequestCount returns the number of requests received so far.
func (d *DiscoveryServer) RequestCount() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.requestCount
}

// MoveAddress makes the server listen at another address. The old address refuses new connections at once, and its open
// connections are closed after closeTimeout at the latest.
func (d *DiscoveryServer) MoveAddress(closeTimeout time.Duration) error {
	d.mu.Lock()
	oldServer := d.httpServer
	d.mu.Unlock()
	if err := d.listen("127.0.0.1:0"); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	go func() {
		defer cancel()
		if oldServer.Shutdown(ctx) != nil {
			_ = oldServer.Close()
		}
	}()
	return nil
}

// Close closes the listener and all connections.
func (d *DiscoveryServer) Close() {
	d.mu.Lock()
	defer d.mu.Unlock()
	_ = d.httpServer.Close()
}

// SilenceOpenRequests makes the server never answer the requests that have arrived so far, including the open long polls.
func (d *DiscoveryServer) SilenceOpenRequests() {
	d.update(func() { d.lastUnanswered = d.requestCount })
}

// SetDelay makes the server show changes of the list with a delay.
func (d *DiscoveryServer) SetDelay(delay Micros) { d.update(func() { d.delay = delay }) }

// SetQueueTime makes each request that arrives from now on wait for so long before it is worked on, as at a crowded service.
func (d *DiscoveryServer) SetQueueTime(wait time.Duration) { d.update(func() { d.queueTime = wait }) }

// SetFrozen makes the server keep showing the present version of the list, or the newest one again.
func (d *DiscoveryServer) SetFrozen(frozen bool) {
	d.update(func() {
		d.frozenRev = 0
		if frozen {
			d.frozenRev = d.visibleRev()
		}
	})
}

// SetCrowded makes the server turn away the calls of its proxy after a wait, as if too many others called, or ends that. Open long polls
// are answered as if their time were over, so that the next calls come into the crowd. The others are answered, so the service can be reached, and its changes count as delivered deliveryLimit after they were made.
func (d *DiscoveryServer) SetCrowded(crowded bool) {
	d.update(func() {
		d.crowdedSince = 0
		if crowded {
			d.crowdedSince = max(1, d.list.eventLog.Now())
		}
	})
}

// turnAway answers a call of a crowded service, and records the changes that count as delivered by now although the proxy has not been
// sent them.
func (d *DiscoveryServer) turnAway(w http.ResponseWriter, r *http.Request) {
	select {
	case <-time.After(crowdedTimeout):
	case <-r.Context().Done():
		return
	}
	d.list.mu.Lock()
	history := slices.Clone(d.list.history)
	d.list.mu.Unlock()
	d.mu.Lock()
	now := d.list.eventLog.Now()
	for _, e := range history {
		deliveredAt := max(e.changedAt, d.crowdedSince) + deliveryLimit
		if d.crowdedSince == 0 || deliveredAt > now || d.sentRevs[e.serverNumber] >= e.rev || d.deliveredRevs[e.serverNumber] >= e.rev {
			continue
		}
		d.deliveredRevs[e.serverNumber] = e.rev
		d.list.eventLog.Record(ledger.Event{At: deliveredAt, Kind: ledger.StateAnnounced, Proxy: d.proxy, Server: e.serverNumber, Product: ledger.None, Value: int64(e.state),
			Note: "counts as delivered"})
	}
	d.mu.Unlock()
	w.WriteHeader(http.StatusServiceUnavailable)
}

// SetFailure makes the server fail: "down" answers with status 503, "garbage" with a malformed body, "silent" leaves requests
// unanswered, and another text is the body of each answer. "" ends the failure.
func (d *DiscoveryServer) SetFailure(failure string) { d.update(func() { d.failure = failure }) }

// update calls change with the locks held and wakes waiting requests.
func (d *DiscoveryServer) update(change func()) {
	d.list.mu.Lock()
	defer d.list.mu.Unlock()
	d.mu.Lock()
	change()
	d.mu.Unlock()
	d.list.notifyChange()
}

// visibleRev returns the newest version that the server shows now. Its lock and the list's are held.
func (d *DiscoveryServer) visibleRev() int64 {
	if d.frozenRev > 0 {
		return d.frozenRev
	}
	now, rev := d.list.eventLog.Now(), int64(len(d.list.history))
	for rev > 0 && d.list.history[rev-1].changedAt+d.delay > now {
		rev--
	}
	return rev
}

// untilNextRev returns how long it takes until a version newer than rev becomes visible, or an hour if there is none yet. The
// server's lock and the list's are held.
func (d *DiscoveryServer) untilNextRev(rev int64) time.Duration {
	if d.frozenRev > 0 || rev >= int64(len(d.list.history)) {
		return time.Hour
	}
	return max(0, d.list.history[rev].changedAt+d.delay-d.list.eventLog.Now()).Duration() + time.Millisecond
}

// ServeHTTP answers GET /v1/servers with the whole list, or, if the request has from, with the changes since that version; without any
// it waits for one, up to hold_ms milliseconds.
func (d *DiscoveryServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	fromRev, err := strconv.ParseInt(r.URL.Query().Get("from"), 10, 64)
	full := err != nil
	holdMS, _ := strconv.Atoi(r.URL.Query().Get("hold_ms"))
	d.mu.Lock()
	d.requestCount++
	requestNumber, queueTime, crowded := d.requestCount, d.queueTime, d.crowdedSince > 0
	d.mu.Unlock()
	if crowded {
		d.turnAway(w, r)
		return
	}
	if queueTime > 0 {
		select {
		case <-time.After(queueTime):
		case <-r.Context().Done():
			return
		}
	}
	holdExpired := time.After(time.Duration(holdMS) * time.Millisecond)
	d.list.mu.Lock()
wait:
	for {
		d.mu.Lock()
		rev, failure, untilNext := d.visibleRev(), d.failure, d.untilNextRev(d.visibleRev())
		crowded = d.crowdedSince > 0
		d.mu.Unlock()
		if full || rev > fromRev || failure != "" || crowded {
			break
		}
		changed := d.list.changed
		d.list.mu.Unlock()
		select {
		case <-changed:
		case <-time.After(untilNext):
		case <-holdExpired:
			d.list.mu.Lock()
			break wait
		case <-r.Context().Done():
			return
		}
		d.list.mu.Lock()
	}
	d.mu.Lock()
	rev, failure, silenced := d.visibleRev(), d.failure, requestNumber <= d.lastUnanswered
	d.mu.Unlock()
	history := d.list.history[:rev]
	d.list.mu.Unlock()
	if silenced || failure == "silent" {
		<-r.Context().Done()
		return
	}
	switch failure {
	case "":
	case "garbage":
		_, _ = w.Write([]byte(malformedAnswers[rand.IntN(len(malformedAnswers))]))
		return
	case "down":
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	default:
		_, _ = w.Write([]byte(failure))
		return
	}
	d.writeAnswer(w, history, fromRev, full)
}

// writeAnswer sends the whole list, or the entries newer than fromRev, and records each state that this proxy had not been sent.
func (d *DiscoveryServer) writeAnswer(w http.ResponseWriter, history []listEntry, fromRev int64, full bool) {
	answer := struct {
		Rev     int64       `json:"rev"`
		All     bool        `json:"all"`
		Targets []listEntry `json:"targets"`
	}{int64(len(history)), full, []listEntry{}}
	latest := map[int]listEntry{}
	var order []int
	for _, e := range history {
		if _, known := latest[e.serverNumber]; !known {
			order = append(order, e.serverNumber)
		}
		latest[e.serverNumber] = e
	}
	for _, number := range order {
		e := latest[number]
		if full && e.state == stateGone || !full && e.rev <= fromRev {
			continue
		}
		e.Endpoint, e.State = e.endpoints[d.zone], stateNames[e.state]
		d.mu.Lock()
		e.Endpoint = cmp.Or(d.endpointOverrides[e.Endpoint], e.Endpoint)
		d.mu.Unlock()
		answer.Targets = append(answer.Targets, e)
	}
	if json.NewEncoder(w).Encode(answer) != nil {
		return
	}
	if flusher, ok := w.(http.Flusher); ok {
		flusher.Flush()
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, number := range order {
		e := latest[number]
		if !full && e.rev <= fromRev || d.sentRevs[number] >= e.rev {
			continue
		}
		d.sentRevs[number] = e.rev
		d.list.eventLog.Record(ledger.Event{Kind: ledger.StateAnnounced, Proxy: d.proxy, Server: number, Product: ledger.None, Value: int64(e.state)})
	}
}
