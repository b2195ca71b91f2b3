// Package discovery is the client of the discovery service: it fetches the list of servers and follows its changes. It makes
// two kinds of calls: a poll, which the service is to answer at once, and a watch, a long poll that the service holds until
// there is a change or the watch's hold time is over.
package discovery

import (
	"context"
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

// ServerID returns a server's ID. It is computed from the uid alone, so that all proxies agree on it.
func ServerID(uid string) logic.ServerID { return logic.ServerID(protocol.HashName(uid)) }

// Client asks a discovery service for the list.
type Client struct {
	address    string
	baseURL    string
	maxHold    time.Duration
	httpClient *http.Client
}

const (
	connectTimeout = time.Second
	// immediateHold is the hold time of a poll, which is to be answered at once with or without changes.
	immediateHold = time.Millisecond
	// watchOverdue is how long after the end of its hold time a watch may remain unanswered before a second call is made
	// beside it. A change that a stalled watch misses counts as delivered 2 s after the hold time: this leaves three
	// quarters of that to a second call that has to connect, is rejected once, or is queued.
	watchOverdue = 500 * time.Millisecond
	// pollOverdue is how long a poll may remain unanswered before a second call is made. A change that a poll misses counts
	// as delivered after 6 s, or 4 s after a new configuration. A service that handles calls one after another is a second
	// or two behind when all proxies call at once, and a second call from each would only lengthen its queue.
	pollOverdue = 2 * time.Second
	// pollTimeout is how long a poll may take in all. The service drops calls that have waited for several seconds.
	pollTimeout = 4 * time.Second
	// maxConcurrentCalls allows for one call and the second call beside it.
	maxConcurrentCalls = 2
	// minHoldFraction is the shortest hold time of a watch, as a fraction of the longest. Hold times are drawn at random, so
	// that watches which began with the same change, and stalled together, end at different times, and the calls that
	// replace them are spread as well.
	minHoldFraction = 0.6
	// maxAnswerBytes is enough for some 15,000 servers. A longer answer is invalid, and one without an end must not fill the
	// few tens of megabytes of memory that a proxy has.
	maxAnswerBytes = 4 << 20
)

var errAnswerTooLarge = fmt.Errorf("the answer is longer than %d bytes", maxAnswerBytes)

// NewClient returns a client of the service at address. maxHold is the longest hold time of a watch.
func NewClient(address string, maxHold time.Duration) *Client {
	return &Client{
		address: address, baseURL: "http://" + address + "/v1/servers", maxHold: maxHold,
		httpClient: &http.Client{Transport: &http.Transport{
			DialContext:        dial,
			MaxConnsPerHost:    maxConcurrentCalls,
			DisableCompression: true,
		}},
	}
}

// dial connects to the service. It retries while this machine is short of a resource: such a failure says nothing about the
// service, and a call that failed because of it would be repeated only seconds later.
func dial(ctx context.Context, network, address string) (conn net.Conn, err error) {
	ctx, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	err = transient.Retry(ctx, transient.Backoff{Initial: 2 * time.Millisecond, Max: 100 * time.Millisecond}, transient.IsResourceShortage, func() error {
		conn, err = new(net.Dialer).DialContext(ctx, network, address)
		return err
	})
	return conn, err
}

// Address returns the address of the service.
func (c *Client) Address() string { return c.address }

// Close closes the idle connections. It does not end calls; their context does.
func (c *Client) Close() { c.httpClient.CloseIdleConnections() }

// NoVersion is the version to start from when no list is known.
const NoVersion = -1

// Follow asks for the changes after a version, first with a poll and then with one watch after another. It calls received
// with each answer, together with the hold time of the watch that follows. It returns an *Error with the errors of the first call
// that fails and of the one beside it, if any; all fail when ctx ends.
func (c *Client) Follow(ctx context.Context, version int64, received func(version int64, hold time.Duration, visit func(ListVisitor))) error {
	hold := immediateHold
	for {
		result := c.hedgedCall(ctx, version, hold)
		if result.err != nil {
			return result.err
		}
		version, hold = result.version, c.nextHold()
		received(version, hold, result.visit)
	}
}

// nextHold draws the hold time of the next watch.
func (c *Client) nextHold() time.Duration {
	return time.Duration(float64(c.maxHold) * (minHoldFraction + (1-minHoldFraction)*rand.Float64()))
}

// answer is the result of a call.
type answer struct {
	version int64
	visit   func(ListVisitor)
	watch   bool // it is the result of a watch
	err     error
}

// hedgedCall makes a call, and a second one beside it when the answer is overdue; the first answer without an error counts. If
// all fail, the error is an *Error.
// Guards against a stalled watch, which looks the same as a watch without changes until its hold time is over.
func (c *Client) hedgedCall(ctx context.Context, version int64, hold time.Duration) answer {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	answers := make(chan answer, maxConcurrentCalls)
	pending := 0
	failure, startTime := &Error{}, time.Now()
	start := func(hold, timeout time.Duration) {
		pending++
		go func() { answers <- c.callForAnswer(ctx, version, hold, timeout) }()
	}
	overdue := pollOverdue
	if hold == immediateHold {
		start(immediateHold, pollTimeout)
	} else {
		overdue = hold + watchOverdue
		start(hold, overdue+watchOverdue)
	}
	timer := time.NewTimer(overdue)
	defer timer.Stop()
	for {
		select {
		case result := <-answers:
			if pending--; result.err == nil {
				return result
			}
			failure.add(result, time.Since(startTime))
			if pending == 0 {
				return answer{err: failure}
			}
		case <-timer.C:
			if pending < maxConcurrentCalls {
				start(immediateHold, pollTimeout)
			}
			timer.Reset(pollOverdue)
		}
	}
}

// callForAnswer makes a single call and returns its results as an answer.
func (c *Client) callForAnswer(ctx context.Context, version int64, hold, timeout time.Duration) answer {
	version, visit, err := c.call(ctx, version, hold, timeout)
	return answer{version, visit, hold != immediateHold, err}
}

// call makes a single call and decodes the answer; it ends after timeout.
func (c *Client) call(ctx context.Context, version int64, hold, timeout time.Duration) (int64, func(ListVisitor), error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	url := c.baseURL
	if version >= 0 {
		url += "?from=" + strconv.FormatInt(version, 10) + "&hold_ms=" + strconv.FormatInt(hold.Milliseconds(), 10)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return 0, nil, err
	}
	resp, err := c.httpClient.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes+1))
	if err != nil {
		return 0, nil, err
	}
	if len(text) > maxAnswerBytes {
		return 0, nil, fmt.Errorf("%w: %w", errInvalidAnswer, errAnswerTooLarge)
	}
	if resp.StatusCode != http.StatusOK {
		return 0, nil, fmt.Errorf("%w: status %s", errInvalidAnswer, resp.Status)
	}
	version, visit, err := Decode(text)
	if err != nil {
		err = fmt.Errorf("%w: %w", errInvalidAnswer, err)
	}
	return version, visit, err
}
