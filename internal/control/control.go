// Package control lets operators and agents ask an instance what it sees and give it orders: HTTP and JSON on a Unix
// socket or a loopback address. It is off unless an address is given. It owns its sockets and goroutines; what it
// needs of the instance it asks through a surface, whose calls are bounded in number and time, so that nobody who asks
// can hold the loop up.
package control

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"os"
	"strings"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"hatchproxy/internal/listen"
	"hatchproxy/orders"
)

// ProtocolVersion is the control protocol's. Paths begin with it; another one is answered with this one's number.
const ProtocolVersion = 1

// Status is what an instance tells of itself. Times are Unix microseconds.
type Status struct {
	ProtocolVersion int            `json:"control"`
	Name            string         `json:"name"`
	Version         string         `json:"version"`
	PID             int            `json:"pid"`
	StartedMicros   int64          `json:"started"`
	NowMicros       int64          `json:"now"`
	ConfigHash      string         `json:"config"` // the configuration's hash
	ListenAddress   string         `json:"listen"`
	Ready           bool           `json:"ready"`
	Leaving         bool           `json:"leaving"`
	ListVersion     int64          `json:"list"`     // its version; -1 for none
	ListAgeMicros   int64          `json:"list_age"` // microseconds since it was last told; -1 for never
	Clients         int            `json:"clients"`
	Standing        int            `json:"standing"`
	Sockets         int            `json:"sockets"`
	Term            uint64         `json:"term"` // the highest author's term heard
	Orders          []HeldOrder    `json:"orders"`
	Servers         []ServerStatus `json:"servers"`

	RefusedByLimit map[string]uint64 `json:"limits,omitempty"` // how many were turned away, by what, since the start
}

// HeldOrder is an order that an instance goes on with.
type HeldOrder struct {
	orders.Order
	State string `json:"state"`
}

// ServerStatus is what an instance sees of a server.
type ServerStatus struct {
	UID              string  `json:"uid"`
	Endpoint         string  `json:"endpoint"`
	Zone             string  `json:"zone"`
	State            string  `json:"state"`
	Listed           string  `json:"listed"`
	Ordered          bool    `json:"ordered"`
	Standing         int     `json:"standing"`
	Pending          int     `json:"pending"`
	Failures         float64 `json:"failures"`
	PassedOverReason string  `json:"passed_over,omitempty"` // why, if it is
	Pace             float64 `json:"pace"`
	ProbeMicros      int64   `json:"probe_us"`
	Cold             bool    `json:"cold"`
}

// Instance is what the control needs of an instance. Its calls come from any goroutine and end with their context.
type Instance interface {
	Status(ctx context.Context) (Status, error)
	ApplyOrder(ctx context.Context, o orders.Order) (orders.Answer, error)
	Reload(ctx context.Context) error
	SetLogLevel(ctx context.Context, level slog.Level) error
	Leave(ctx context.Context) error
}

const (
	// maxConns and mostCalls bound who asks at once; an agent and some operators need a few of each.
	maxConns           = 32
	maxConcurrentCalls = 8
	// maxBodyBytes and mostHeader bound a call's size: an order is some hundred bytes.
	maxBodyBytes   = 16 << 10
	maxHeaderBytes = 8 << 10
	// ioTimeout is how long a call may take to be sent, and its answer to be read; answering how long the loop may take.
	ioTimeout     = 5 * time.Second
	answerTimeout = 2 * time.Second
	// maxCallsPerSecond bounds the calls that reach the loop in a second, and as many at once: a status takes the loop some tens
	// of microseconds with some hundred servers.
	maxCallsPerSecond = 100
)

// HTTPServer is a running control surface.
type HTTPServer struct {
	httpServer  *http.Server
	instance    Instance
	rateLimiter *rate.Limiter
	callSlots   chan struct{}
	socketPath  string
	done        chan struct{}
}

// Start starts one at "unix:PATH" or at a loopback address with a port.
func Start(address string, s Instance, log *slog.Logger) (*HTTPServer, error) {
	l, socket, err := openListener(address, log)
	if err != nil {
		return nil, fmt.Errorf("control: %w", err)
	}
	c := &HTTPServer{instance: s, rateLimiter: rate.NewLimiter(maxCallsPerSecond, maxCallsPerSecond), callSlots: make(chan struct{}, maxConcurrentCalls), socketPath: socket,
		done: make(chan struct{})}
	c.httpServer = &http.Server{
		Handler: c.routes(), ReadTimeout: ioTimeout, WriteTimeout: ioTimeout, IdleTimeout: time.Minute, MaxHeaderBytes: maxHeaderBytes,
		ErrorLog: slog.NewLogLogger(log.Handler(), slog.LevelDebug),
	}
	go func() {
		defer close(c.done)
		if err := c.httpServer.Serve(&limitedListener{Listener: l, slots: make(chan struct{}, maxConns)}); !errors.Is(err, http.ErrServerClosed) {
			log.Error("the control surface has ended", "error", err)
		}
	}()
	log.Info("control", "address", address)
	return c, nil
}

// Close ends it.
func (c *HTTPServer) Close() {
	_ = c.httpServer.Close()
	<-c.done
	if c.socketPath != "" {
		_ = os.Remove(c.socketPath)
	}
}

func openListener(address string, log *slog.Logger) (l net.Listener, socket string, err error) {
	path, unix := strings.CutPrefix(address, "unix:")
	if !unix {
		at, err := netip.ParseAddrPort(address)
		if err != nil {
			return nil, "", fmt.Errorf("%q is neither unix:PATH nor an address with a port: %w", address, err)
		}
		if !at.Addr().IsLoopback() {
			return nil, "", fmt.Errorf("%s is no loopback address", address)
		}
		l, err := listen.TCP(context.Background(), address, log)
		if err != nil {
			return nil, "", err
		}
		return l, "", nil
	}
	if c, err := net.DialTimeout("unix", path, time.Second); err == nil {
		_ = c.Close()
		return nil, "", fmt.Errorf("somebody listens at %s already", path)
	}
	// What is left of one that was killed. Guards against taking away anything but a socket.
	if info, err := os.Lstat(path); err == nil && info.Mode()&os.ModeSocket != 0 {
		_ = os.Remove(path)
	}
	l, err = listen.Unix(context.Background(), path, log)
	if err != nil {
		return nil, "", err
	}
	if err := os.Chmod(path, 0o600); err != nil {
		_ = l.Close()
		return nil, "", err
	}
	return l, path, nil
}

// limitedListener takes no more connections than there is room for; the others wait in the kernel's queue.
type limitedListener struct {
	net.Listener
	slots chan struct{}
}

func (b *limitedListener) Accept() (net.Conn, error) {
	b.slots <- struct{}{}
	c, err := b.Listener.Accept()
	if err != nil {
		<-b.slots
		return nil, err
	}
	return &limitedConn{Conn: c, slots: b.slots}, nil
}

type limitedConn struct {
	net.Conn
	once  sync.Once
	slots chan struct{}
}

func (c *limitedConn) Close() error {
	c.once.Do(func() { <-c.slots })
	return c.Conn.Close()
}

// statusError is an answer that says no, with the status that goes with it.
type statusError struct {
	status int
	reason string
}

func (f statusError) Error() string { return f.reason }

func (c *HTTPServer) routes() http.Handler {
	mux := http.NewServeMux()
	v := fmt.Sprintf("/v%d", ProtocolVersion)
	mux.HandleFunc("GET "+v+"/status", c.handler(func(ctx context.Context, _ []byte) (any, error) { return c.instance.Status(ctx) }))
	mux.HandleFunc("POST "+v+"/orders", c.handler(func(ctx context.Context, body []byte) (any, error) {
		var o orders.Order
		if err := decode(body, &o); err != nil {
			return nil, err
		}
		return c.instance.ApplyOrder(ctx, o)
	}))
	mux.HandleFunc("POST "+v+"/reload", c.handler(func(ctx context.Context, _ []byte) (any, error) { return doneAnswer, c.instance.Reload(ctx) }))
	mux.HandleFunc("POST "+v+"/leave", c.handler(func(ctx context.Context, _ []byte) (any, error) { return doneAnswer, c.instance.Leave(ctx) }))
	mux.HandleFunc("POST "+v+"/level", c.handler(func(ctx context.Context, body []byte) (any, error) {
		var wanted struct{ Level slog.Level }
		if err := decode(body, &wanted); err != nil {
			return nil, err
		}
		return doneAnswer, c.instance.SetLogLevel(ctx, wanted.Level)
	}))
	mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		writeJSON(w, http.StatusNotFound, map[string]any{"error": fmt.Sprintf("%s %.100s is nothing here: control protocol %d is spoken", r.Method, r.URL.Path, ProtocolVersion),
			"control": ProtocolVersion})
	})
	return mux
}

var doneAnswer = map[string]bool{"done": true}

// decode reads a body strictly: a word that is unknown here means something where the other side is newer.
func decode(body []byte, into any) error {
	d := json.NewDecoder(strings.NewReader(string(body)))
	d.DisallowUnknownFields()
	if err := d.Decode(into); err != nil {
		return statusError{http.StatusBadRequest, fmt.Sprintf("control protocol %d does not understand this: %v", ProtocolVersion, err)}
	}
	if _, err := d.Token(); err != io.EOF {
		return statusError{http.StatusBadRequest, "more came after the call"}
	}
	return nil
}

func (c *HTTPServer) handler(call func(ctx context.Context, body []byte) (any, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
		if err != nil {
			writeJSON(w, http.StatusRequestEntityTooLarge, map[string]string{"error": "the call is too large or too slow"})
			return
		}
		select {
		case c.callSlots <- struct{}{}:
			defer func() { <-c.callSlots }()
		default:
			writeJSON(w, http.StatusTooManyRequests, map[string]string{"error": "too many calls at once"})
			return
		}
		if !c.rateLimiter.Allow() {
			writeJSON(w, http.StatusTooManyRequests, map[string]string{"error": "too many calls in a second"})
			return
		}
		ctx, cancel := context.WithTimeout(r.Context(), answerTimeout)
		defer cancel()
		result, err := call(ctx, body)
		var f statusError
		switch {
		case err == nil:
			writeJSON(w, http.StatusOK, result)
		case errors.As(err, &f):
			writeJSON(w, f.status, map[string]string{"error": f.reason})
		default:
			writeJSON(w, http.StatusServiceUnavailable, map[string]string{"error": err.Error()})
		}
	}
}

func writeJSON(w http.ResponseWriter, status int, what any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(what) // a failure is the other side's
}
