// Package discovery asks for the list of servers and follows its changes.
package discovery

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"time"

	"hatchproxy/internal/protocol"
	"hatchproxy/internal/transient"
	"hatchproxy/logic"
)

// ListVisitor is told what an answer says.
type ListVisitor interface {
	BeginFullList()
	Entry(uid, endpoint, zone, model string, cell logic.CellID, state logic.State, weight float64,
		launched logic.Micros)
	EndList()
}

var states = map[string]logic.State{"ready": logic.Ready, "draining": logic.Draining, "gone": logic.Gone}

// Decode reads an answer. It returns the list's version and a call that tells the list; an answer that is
// wrong anywhere tells nothing.
func Decode(text []byte) (version int64, tell func(ListVisitor), err error) {
	var found struct {
		Rev     *int64
		All     bool
		Targets []struct {
			UID, Endpoint, AZ, Model, State string

			PodGroup     uint16  `json:"pod_group"`
			CapacityHint float64 `json:"capacity_hint"`
			BootMS       float64 `json:"boot_ms"`
		}
	}
	if err := json.Unmarshal(text, &found); err != nil {
		return 0, nil, err
	}
	if found.Rev == nil {
		return 0, nil, errors.New("the list has no version")
	}
	for _, e := range found.Targets {
		if e.UID == "" {
			return 0, nil, errors.New("a server has no uid")
		}
		if _, known := states[e.State]; !known {
			return 0, nil, fmt.Errorf("server state %.40q is unknown", e.State)
		}
	}
	return *found.Rev, func(l ListVisitor) {
		if found.All {
			l.BeginFullList()
		}
		for _, e := range found.Targets {
			l.Entry(e.UID, e.Endpoint, e.AZ, e.Model, logic.CellID(e.PodGroup), states[e.State],
				e.CapacityHint, logic.Micros(e.BootMS)*logic.Millisecond)
		}
		l.EndList()
	}, nil
}

// ServerID is a server's id, computed from its uid alone, so that all proxies agree on it.
func ServerID(uid string) logic.ServerID { return logic.ServerID(protocol.HashName(uid)) }

// Client is the place where the list is had.
type Client struct {
	baseURL    string
	maxHold    time.Duration
	httpClient *http.Client
}

const (
	connectTimeout = time.Second
	// immediateHold is the wait of a call that only wants to know what there is.
	immediateHold = time.Millisecond
	// watchOverdue is how long an answer that its wait has made due may be out before it is asked for beside the call that is
	// out. What a watch misses that has fallen silent counts as told 2 s after its wait is over: that leaves three
	// quarters of it to a call that has to be dialled, is turned away once, or waits its turn.
	watchOverdue = 500 * time.Millisecond
	// pollOverdue is the same for a look. What it does not bring counts as told after 6 s, 4 s after a new configuration;
	// a service that takes calls in turn is a second or two behind where all proxies come at once, and a second call
	// from each would only lengthen its queue.
	pollOverdue = 2 * time.Second
	// pollTimeout is how long a look may take in all; the service gives up on those that have waited for some seconds.
	pollTimeout = 4 * time.Second
	// maxConcurrentCalls is how many calls are out at once: one, and the one that comes in its place.
	maxConcurrentCalls = 2
	// minHoldFraction is the least part of the longest wait that a watch is given. Watches that began with the same change, and
	// have fallen silent together, end apart, and so do the calls that come in their place.
	minHoldFraction = 0.6
	// maxAnswerBytes is some 15,000 servers; a longer answer is garbage, and one that never ends must not fill the few tens of
	// megabytes that a proxy has.
	maxAnswerBytes = 4 << 20
)

var errAnswerTooLarge = fmt.Errorf("the answer is longer than %d bytes", maxAnswerBytes)

// NewClient names the service's address and how long a watch may wait.
func NewClient(address string, hold time.Duration) *Client {
	return &Client{
		baseURL: "http://" + address + "/v1/servers", maxHold: hold,
		httpClient: &http.Client{Transport: &http.Transport{
			DialContext:        dial,
			MaxConnsPerHost:    maxConcurrentCalls,
			DisableCompression: true,
		}},
	}
}

// dial connects to the service. For want of this machine's own resources it is tried again: that says nothing of the
// service, and a call that is given up for it would be made again only seconds later.
func dial(ctx context.Context, network, address string) (conn net.Conn, err error) {
	ctx, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	err = transient.Retry(ctx, transient.Backoff{Initial: 2 * time.Millisecond, Max: 100 * time.Millisecond}, transient.IsResourceShortage, func() error {
		conn, err = new(net.Dialer).DialContext(ctx, network, address)
		return err
	})
	return conn, err
}

// Close gives back the connections on which no call is out. Calls are ended by their own context.
func (s *Client) Close() { s.httpClient.CloseIdleConnections() }

// NoVersion is the version of no list at all.
const NoVersion = -1

// Follow asks for what is newer than a version, at once, and then goes on watching. Each answer is handed to told, with
// the wait of the watch that is opened next; it ends with the first call that fails, and with ctx.
func (s *Client) Follow(ctx context.Context, version int64, told func(version int64, hold time.Duration, tell func(ListVisitor))) error {
	hold := immediateHold
	for {
		heard := s.hedgedCall(ctx, version, hold)
		if heard.err != nil {
			return heard.err
		}
		version, hold = heard.version, s.nextHold()
		told(version, hold, heard.visit)
	}
}

// nextHold draws how long the next watch may wait.
func (s *Client) nextHold() time.Duration {
	return time.Duration(float64(s.maxHold) * (minHoldFraction + (1-minHoldFraction)*rand.Float64()))
}

// answer is what came of a call.
type answer struct {
	version int64
	visit   func(ListVisitor)
	err     error
}

// hedgedCall asks, and asks again beside a call whose answer is overdue; what comes first counts. Guards against a watch that
// has fallen silent, which only its wait tells from one that has nothing to say.
func (s *Client) hedgedCall(ctx context.Context, version int64, hold time.Duration) answer {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	answers := make(chan answer, maxConcurrentCalls)
	out := 0
	ask := func(hold, most time.Duration) {
		out++
		go func() { answers <- s.callForAnswer(ctx, version, hold, most) }()
	}
	late := pollOverdue
	if hold == immediateHold {
		ask(immediateHold, pollTimeout)
	} else {
		late = hold + watchOverdue
		ask(hold, late+watchOverdue)
	}
	again := time.NewTimer(late)
	defer again.Stop()
	for {
		select {
		case heard := <-answers:
			if out--; heard.err == nil || out == 0 {
				return heard
			}
		case <-again.C:
			if out < maxConcurrentCalls {
				ask(immediateHold, pollTimeout)
			}
			again.Reset(pollOverdue)
		}
	}
}

func (s *Client) callForAnswer(ctx context.Context, version int64, hold, most time.Duration) answer {
	version, tell, err := s.call(ctx, version, hold, most)
	return answer{version, tell, err}
}

func (s *Client) call(ctx context.Context, version int64, hold, most time.Duration) (int64, func(ListVisitor), error) {
	ctx, cancel := context.WithTimeout(ctx, most)
	defer cancel()
	url := s.baseURL
	if version >= 0 {
		url += "?from=" + strconv.FormatInt(version, 10) + "&hold_ms=" + strconv.FormatInt(hold.Milliseconds(), 10)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return 0, nil, err
	}
	resp, err := s.httpClient.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes+1))
	if err != nil {
		return 0, nil, err
	}
	if len(text) > maxAnswerBytes {
		return 0, nil, errAnswerTooLarge
	}
	if resp.StatusCode != http.StatusOK {
		return 0, nil, fmt.Errorf("the service answers %s", resp.Status)
	}
	return Decode(text)
}
