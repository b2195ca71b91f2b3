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

// state is a server's in the list. Its numbers are those of ledger.Told.
type state int

const (
	ready state = iota
	draining
	gone
)

var stateWords = [...]string{"ready", "draining", "gone"}

// entry is a server on the list, in the form of the protocol's page but for the endpoint, which differs from zone to
// zone. A list belongs to no proxy: each asks at a front of its own.
type entry struct {
	UID      string  `json:"uid"`
	Endpoint string  `json:"endpoint"`
	AZ       string  `json:"az"`
	Model    string  `json:"model"`
	PodGroup int     `json:"pod_group"`
	State    string  `json:"state"`
	Weight   float64 `json:"capacity_hint"`
	BootMS   int64   `json:"boot_ms"`

	server    int
	state     state
	endpoints []string // by zone
	rev       int64
	at        Micros
	old       bool // it is on the list since long before the run
}

// longAgo is more than any lateness of discovery.
const longAgo = 3600 * ledger.Second

// List is the true list with its history, which fronts tell late, stale or not at all.
type List struct {
	book    *ledger.Book
	mu      sync.Mutex
	history []entry // the entry at i is of version i+1
	changed chan struct{}
}

// NewList makes an empty list.
func NewList(book *ledger.Book) *List { return &List{book: book, changed: make(chan struct{})} }

func (l *List) set(e entry) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e.rev, e.at = int64(len(l.history)+1), l.book.Now()
	if e.old {
		e.at = -longAgo
	}
	l.history = append(l.history, e)
	l.wake()
}

func (l *List) wake() {
	close(l.changed)
	l.changed = make(chan struct{})
}

// Front is the discovery that one proxy asks. How it fails is for all fronts of a list alike, or for one.
type Front struct {
	list  *List
	proxy int
	zone  int

	mu      sync.Mutex
	address string
	server  *http.Server
	lag     Micros
	frozen  int64 // the version that it goes on telling; 0 if the newest
	broken  string
	told    map[int]int64     // the version last told, by server
	reached map[string]string // by endpoint
	calls   int
	hushed  int // calls up to this one are never answered
}

// garbage is what a front answers that has lost its mind; each is to be refused whole.
var garbage = []string{"{", `{"rev":9,"all":true,"targets":[{"uid":"x","state":"odd"}]}`, `{"all":true,"targets":[]}`,
	`{"rev":"x"}`, "<html>no</html>", ""}

// Open starts a front for a proxy of a zone, on a loopback address.
func (l *List) Open(proxy, zone int) (*Front, error) {
	return l.openAt("127.0.0.1:0", proxy, zone)
}

func (l *List) openAt(address string, proxy, zone int) (*Front, error) {
	f := &Front{list: l, proxy: proxy, zone: zone, told: map[int]int64{}}
	return f, f.listen(address)
}

func (f *Front) listen(address string) error {
	at, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: f, ReadHeaderTimeout: 10 * time.Second}
	f.mu.Lock()
	f.address, f.server = at.Addr().String(), server
	f.mu.Unlock()
	go func() { _ = server.Serve(at) }() // it ends with Close
	return nil
}

// Address is where it listens now.
func (f *Front) Address() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.address
}

// Through has it tell, for each endpoint, where its proxy reaches that; asked once for each, now for those on the list.
func (f *Front) Through(way func(server int, endpoint string) (string, error)) error {
	f.list.mu.Lock()
	history := f.list.history
	f.list.mu.Unlock()
	reached := map[string]string{}
	for _, e := range history {
		at := e.endpoints[f.zone]
		if reached[at] == "" {
			var err error
			if reached[at], err = way(e.server, at); err != nil {
				return err
			}
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.reached = reached
	return nil
}

// Calls tells how many calls have come.
func (f *Front) Calls() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.calls
}

// Move has it listen at another address; the old one takes no new connection and closes its open ones after a while.
func (f *Front) Move(after time.Duration) error {
	f.mu.Lock()
	old := f.server
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
func (f *Front) Close() {
	f.mu.Lock()
	defer f.mu.Unlock()
	_ = f.server.Close()
}

// Hush has it never answer the calls that are out now: open watches fall silent.
func (f *Front) Hush() { f.change(func() { f.hushed = f.calls }) }

// Late has it tell changes that much later; Freeze has it tell no change at all, Break has it answer 503 ("down"),
// garbage ("garbage"), nothing to whoever calls ("silent"), or these words; "" mends it.
func (f *Front) Late(by Micros) { f.change(func() { f.lag = by }) }

func (f *Front) Freeze(on bool) {
	f.change(func() {
		f.frozen = 0
		if on {
			f.frozen = f.visible()
		}
	})
}

func (f *Front) Break(how string) { f.change(func() { f.broken = how }) }

func (f *Front) change(how func()) {
	f.list.mu.Lock()
	defer f.list.mu.Unlock()
	f.mu.Lock()
	how()
	f.mu.Unlock()
	f.list.wake()
}

// visible is the newest version that it tells now. The list's lock is held.
func (f *Front) visible() int64 {
	if f.frozen > 0 {
		return f.frozen
	}
	now, rev := f.list.book.Now(), int64(len(f.list.history))
	for rev > 0 && f.list.history[rev-1].at+f.lag > now {
		rev--
	}
	return rev
}

// next is when a change becomes visible that is not yet. The list's lock is held.
func (f *Front) next(rev int64) time.Duration {
	if f.frozen > 0 || rev >= int64(len(f.list.history)) {
		return time.Hour
	}
	return max(0, f.list.history[rev].at+f.lag-f.list.book.Now()).Span() + time.Millisecond
}

// ServeHTTP answers GET /v1/servers.
func (f *Front) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	from, err := strconv.ParseInt(r.URL.Query().Get("from"), 10, 64)
	whole := err != nil
	hold, _ := strconv.Atoi(r.URL.Query().Get("hold_ms"))
	late := time.After(time.Duration(hold) * time.Millisecond)
	f.mu.Lock()
	f.calls++
	number := f.calls
	f.mu.Unlock()
	f.list.mu.Lock()
wait:
	for {
		f.mu.Lock()
		rev, broken, next := f.visible(), f.broken, f.next(f.visible())
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
	rev, broken, hushed := f.visible(), f.broken, number <= f.hushed
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
		_, _ = w.Write([]byte(garbage[rand.IntN(len(garbage))]))
		return
	case "down":
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	default:
		_, _ = w.Write([]byte(broken))
		return
	}
	f.answer(w, history, from, whole)
}

func (f *Front) answer(w http.ResponseWriter, history []entry, from int64, whole bool) {
	answer := struct {
		Rev     int64   `json:"rev"`
		All     bool    `json:"all"`
		Targets []entry `json:"targets"`
	}{int64(len(history)), whole, []entry{}}
	latest := map[int]entry{}
	var order []int
	for _, e := range history {
		if _, known := latest[e.server]; !known {
			order = append(order, e.server)
		}
		latest[e.server] = e
	}
	for _, id := range order {
		e := latest[id]
		if whole && e.state == gone || !whole && e.rev <= from {
			continue
		}
		e.Endpoint, e.State = e.endpoints[f.zone], stateWords[e.state]
		f.mu.Lock()
		e.Endpoint = cmp.Or(f.reached[e.Endpoint], e.Endpoint)
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
		if !whole && e.rev <= from || f.told[id] >= e.rev {
			continue
		}
		f.told[id] = e.rev
		f.list.book.Write(ledger.Event{Kind: ledger.Told, Proxy: f.proxy, Server: id, Product: ledger.None, Value: int64(e.state)})
	}
}
