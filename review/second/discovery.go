package main

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// target is an entry of the server list.
type target struct {
	UID          string  `json:"uid"`
	Endpoint     string  `json:"endpoint"`
	AZ           string  `json:"az"`
	Model        string  `json:"model"`
	PodGroup     int     `json:"pod_group"`
	State        string  `json:"state"`
	CapacityHint float64 `json:"capacity_hint"`
	BootMS       int64   `json:"boot_ms"`
}

// discovery is a stand-in of the discovery service.
type discovery struct {
	rec     *record
	timeout time.Duration // how long a call waits before the service gives it up
	name    string
	server  *http.Server
	address string

	mu          sync.Mutex
	rev         int
	targets     []target
	revs        map[string]int // by uid: the version that changed it last
	changed     chan struct{}  // closed at the next change
	crowdedTill time.Time      // calls that come before then wait too long and end with 503
	rejectTill  time.Time      // calls that come before then end with 503 at once
	ended       chan struct{}  // closed when the open watches end
}

// observer is the header of the call of another caller, which the crowd does not keep out.
const observer = "X-Observer"

func newDiscovery(rec *record, name string, targets []target, timeout time.Duration) (*discovery, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d := &discovery{rec: rec, timeout: timeout, name: name, rev: 1, targets: targets, revs: map[string]int{}, changed: make(chan struct{}), ended: make(chan struct{}), address: listener.Addr().String()}
	d.server = &http.Server{Handler: http.HandlerFunc(d.serve)}
	go func() { _ = d.server.Serve(listener) }()
	return d, nil
}

// update changes entries of the list.
func (d *discovery) update(change func(*target) bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.rev++
	for i := range d.targets {
		if change(&d.targets[i]) {
			d.revs[d.targets[i].UID] = d.rev
			d.rec.log("%s: version %d has %s as %s", d.name, d.rev, d.targets[i].UID, d.targets[i].State)
		}
	}
	close(d.changed)
	d.changed = make(chan struct{})
}

// known returns the whole list as a proxy has it in its configuration.
func (d *discovery) known() json.RawMessage {
	d.mu.Lock()
	defer d.mu.Unlock()
	text, _ := json.Marshal(map[string]any{"rev": d.rev, "all": true, "targets": d.targets})
	return text
}

// crowd makes the calls that come within a span wait too long.
func (d *discovery) crowd(span time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.crowdedTill = time.Now().Add(span)
	d.rec.log("%s: too many callers from now on, for %v", d.name, span)
}

// reject makes the calls that come within a span fail at once.
func (d *discovery) reject(span time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.rejectTill = time.Now().Add(span)
	d.rec.log("%s: calls are turned away from now on, for %v", d.name, span)
}

// endWatches ends the open watches with 503.
func (d *discovery) endWatches() {
	d.mu.Lock()
	defer d.mu.Unlock()
	close(d.ended)
	d.ended = make(chan struct{})
}

func (d *discovery) serve(w http.ResponseWriter, r *http.Request) {
	call := r.URL.RawQuery
	from, err := strconv.Atoi(r.URL.Query().Get("from"))
	hold, _ := strconv.Atoi(r.URL.Query().Get("hold_ms"))
	full := err != nil
	d.mu.Lock()
	crowded, rejected := time.Now().Before(d.crowdedTill), time.Now().Before(d.rejectTill)
	d.mu.Unlock()
	if r.Header.Get(observer) == "" {
		d.rec.log("%s: call %q comes", d.name, call)
		if crowded {
			select {
			case <-time.After(d.timeout):
			case <-r.Context().Done():
				d.rec.log("%s: call %q was given up by its caller", d.name, call)
				return
			}
		}
		if crowded || rejected {
			d.rec.log("%s: call %q ends with 503", d.name, call)
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
	}
	end := time.After(time.Duration(min(hold, 60000)) * time.Millisecond)
	for {
		d.mu.Lock()
		if full || d.rev > from {
			break
		}
		changed, ended := d.changed, d.ended
		d.mu.Unlock()
		select {
		case <-ended:
			d.rec.log("%s: watch %q ends with 503", d.name, call)
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		case <-changed:
			continue
		case <-r.Context().Done():
			return
		case <-end:
		}
		d.mu.Lock()
		break
	}
	list := []target{}
	for _, t := range d.targets {
		if full || d.revs[t.UID] > from {
			list = append(list, t)
		}
	}
	body, _ := json.Marshal(map[string]any{"rev": d.rev, "all": full, "targets": list})
	rev := d.rev
	d.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(body)
	if r.Header.Get(observer) == "" {
		d.rec.log("%s: call %q is told version %d, %d entries", d.name, call, rev, len(list))
	}
}

// observe calls the service as another caller and reports whether it answered.
func (d *discovery) observe() bool {
	request, _ := http.NewRequest(http.MethodGet, "http://"+d.address+"/v1/servers", nil)
	request.Header.Set(observer, "1")
	response, err := (&http.Client{Timeout: time.Second}).Do(request)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	return response.StatusCode == http.StatusOK
}
