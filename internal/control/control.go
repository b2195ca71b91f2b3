// Package control is the control API, through which operators and agents query the status of an instance, a running proxy
// process, and give it orders. It speaks HTTP and JSON on a Unix socket or a loopback address, and is off unless an address
// is configured. The server has its own sockets and goroutines. It reaches the instance through the Instance interface;
// these calls are limited in number and time, so that no caller can block the instance's event loop.
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

// ProtocolVersion is the version of the control protocol. Every path begins with it; a request with another version gets an
// error that contains this number.
const ProtocolVersion = 1

// Status is what an instance reports about itself. StartedMicros and NowMicros are Unix times in microseconds.
type Status struct {
	ProtocolVersion        int            `json:"control"`
	Name                   string         `json:"name"`
	Version                string         `json:"version"`
	PID                    int            `json:"pid"`
	StartedMicros          int64          `json:"started"`
	NowMicros              int64          `json:"now"`
	ConfigHash             string         `json:"config"`
	ListenAddress          string         `json:"listen"`
	Ready                  bool           `json:"ready"`
	Leaving                bool           `json:"leaving"`
	ListVersion            int64          `json:"list"`     // version of the server list; -1 if there is none
	ListAgeMicros          int64          `json:"list_age"` // time since the list was last received; -1 if it never was
	Clients                int            `json:"clients"`
	EstablishedConnections int            `json:"standing"` // connections established to servers
	Sockets                int            `json:"sockets"`  // sockets that are open
	Term                   uint64         `json:"term"`     // highest author's term of the valid orders received
	Orders                 []HeldOrder    `json:"orders"`
	Servers                []ServerStatus `json:"servers"`

	RefusedByLimit map[string]uint64 `json:"limits,omitempty"` // clients refused since the start, by limit
}

// HeldOrder is an order in force at an instance, with the state to which it sets its server.
type HeldOrder struct {
	orders.Order
	State string `json:"state"`
}

// ServerStatus is a server's status as an instance sees it. State is the state in effect and Listed the one in the server
// list; Ordered says whether an order changes it.
type ServerStatus struct {
	UID                    string  `json:"uid"`
	Endpoint               string  `json:"endpoint"`
	Zone                   string  `json:"zone"`
	State                  string  `json:"state"`
	Listed                 string  `json:"listed"`
	Ordered                bool    `json:"ordered"`
	EstablishedConnections int     `json:"standing"`              // connections established through this instance
	Pending                int     `json:"pending"`               // dispatches without an outcome
	FailureShare           float64 `json:"failures"`              // share of the dispatches that failed
	PassedOverReason       string  `json:"passed_over,omitempty"` // why the server gets nothing new; empty if it does
	SpeedFactor            float64 `json:"pace"`                  // observed speed relative to the server's weight
	ProbeMicros            int64   `json:"probe_us"`              // time that the last answer to a probe took; 0 if none
	Cold                   bool    `json:"cold"`                  // the server is still warming up
}

// Instance is what the control API needs of an instance. Its methods are called from any goroutine and return when their
// context ends.
type Instance interface {
	Status(ctx context.Context) (Status, error)
	ApplyOrder(ctx context.Context, o orders.Order) (orders.Answer, error)
	Reload(ctx context.Context) error
	SetLogLevel(ctx context.Context, level slog.Level) error
	Leave(ctx context.Context) error
}

const (
	// maxConns and maxConcurrentCalls limit simultaneous use. An agent and some operators need a few of each.
	maxConns           = 32
	maxConcurrentCalls = 8
	// maxBodyBytes and maxHeaderBytes limit a request's size. An order has a few hundred bytes.
	maxBodyBytes   = 16 << 10
	maxHeaderBytes = 8 << 10
	// ioTimeout limits how long a caller may take to send a request, and to read the response; answerTimeout limits how
	// long the instance may take to answer.
	ioTimeout     = 5 * time.Second
	answerTimeout = 2 * time.Second
	// maxCallsPerSecond limits the rate of calls to the instance, and their burst. A status occupies the event loop for some
	// tens of microseconds with a few hundred servers.
	maxCallsPerSecond = 100
)

// HTTPServer serves the control API.
type HTTPServer struct {
	httpServer  *http.Server
	instance    Instance
	rateLimiter *rate.Limiter
	callSlots   chan struct{}
	socketPath  string
	done        chan struct{}
}

// Start starts a server at address: "unix:PATH", or a loopback address with a port.
func Start(address string, instance Instance, log *slog.Logger) (*HTTPServer, error) {
	listener, socketPath, err := openListener(address, log)
	if err != nil {
		return nil, fmt.Errorf("control: %w", err)
	}
	s := &HTTPServer{instance: instance, rateLimiter: rate.NewLimiter(maxCallsPerSecond, maxCallsPerSecond), callSlots: make(chan struct{}, maxConcurrentCalls), socketPath: socketPath,
		done: make(chan struct{})}
	s.httpServer = &http.Server{
		Handler: s.routes(), ReadTimeout: ioTimeout, WriteTimeout: ioTimeout, IdleTimeout: time.Minute, MaxHeaderBytes: maxHeaderBytes,
		ErrorLog: slog.NewLogLogger(log.Handler(), slog.LevelDebug),
	}
	go func() {
		defer close(s.done)
		if err := s.httpServer.Serve(&limitedListener{Listener: listener, slots: make(chan struct{}, maxConns)}); !errors.Is(err, http.ErrServerClosed) {
			log.Error("the control API has ended", "error", err)
		}
	}()
	log.Info("control", "address", address)
	return s, nil
}

// Close stops the server, closes its connections and removes its Unix socket.
func (s *HTTPServer) Close() {
	_ = s.httpServer.Close()
	<-s.done
	if s.socketPath != "" {
		_ = os.Remove(s.socketPath)
	}
}

// openListener listens at address. socketPath is the path of the Unix socket, or "" for TCP.
func openListener(address string, log *slog.Logger) (listener net.Listener, socketPath string, err error) {
	path, isUnix := strings.CutPrefix(address, "unix:")
	if !isUnix {
		parsed, err := netip.ParseAddrPort(address)
		if err != nil {
			return nil, "", fmt.Errorf("%q is neither unix:PATH nor an address with a port: %w", address, err)
		}
		if !parsed.Addr().IsLoopback() {
			return nil, "", fmt.Errorf("%s is no loopback address", address)
		}
		listener, err := listen.TCP(context.Background(), address, log)
		if err != nil {
			return nil, "", err
		}
		return listener, "", nil
	}
	if conn, err := net.DialTimeout("unix", path, time.Second); err == nil {
		_ = conn.Close()
		return nil, "", fmt.Errorf("somebody listens at %s already", path)
	}
	// A process that was killed leaves its socket behind. Anything but a socket must not be removed.
	if info, err := os.Lstat(path); err == nil && info.Mode()&os.ModeSocket != 0 {
		_ = os.Remove(path)
	}
	listener, err = listen.Unix(context.Background(), path, log)
	if err != nil {
		return nil, "", err
	}
	if err := os.Chmod(path, 0o600); err != nil {
		_ = listener.Close()
		return nil, "", err
	}
	return listener, path, nil
}

// limitedListener accepts no more connections at a time than there are slots; further ones wait in the kernel's queue.
type limitedListener struct {
	net.Listener
	slots chan struct{}
}

func (l *limitedListener) Accept() (net.Conn, error) {
	l.slots <- struct{}{}
	conn, err := l.Listener.Accept()
	if err != nil {
		<-l.slots
		return nil, err
	}
	return &limitedConn{Conn: conn, slots: l.slots}, nil
}

// limitedConn is a connection that holds a slot of its listener until it is closed.
type limitedConn struct {
	net.Conn
	once  sync.Once
	slots chan struct{}
}

func (c *limitedConn) Close() error {
	c.once.Do(func() { <-c.slots })
	return c.Conn.Close()
}

// statusError is an error with the HTTP status to answer it with.
type statusError struct {
	status int
	reason string
}

func (e statusError) Error() string { return e.reason }

// routes returns the handler of all paths.
func (s *HTTPServer) routes() http.Handler {
	mux := http.NewServeMux()
	prefix := fmt.Sprintf("/v%d", ProtocolVersion)
	mux.HandleFunc("GET "+prefix+"/status", s.handler(func(ctx context.Context, _ []byte) (any, error) { return s.instance.Status(ctx) }))
	mux.HandleFunc("POST "+prefix+"/orders", s.handler(func(ctx context.Context, body []byte) (any, error) {
		var order orders.Order
		if err := decode(body, &order); err != nil {
			return nil, err
		}
		return s.instance.ApplyOrder(ctx, order)
	}))
	mux.HandleFunc("POST "+prefix+"/reload", s.handler(func(ctx context.Context, _ []byte) (any, error) { return doneAnswer, s.instance.Reload(ctx) }))
	mux.HandleFunc("POST "+prefix+"/leave", s.handler(func(ctx context.Context, _ []byte) (any, error) { return doneAnswer, s.instance.Leave(ctx) }))
	mux.HandleFunc("POST "+prefix+"/level", s.handler(func(ctx context.Context, body []byte) (any, error) {
		var request struct{ Level slog.Level }
		if err := decode(body, &request); err != nil {
			return nil, err
		}
		return doneAnswer, s.instance.SetLogLevel(ctx, request.Level)
	}))
	mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		writeJSON(w, http.StatusNotFound, map[string]any{"error": fmt.Sprintf("%s %.100s is nothing here: control protocol %d is spoken", r.Method, r.URL.Path, ProtocolVersion),
			"control": ProtocolVersion})
	})
	return mux
}

// doneAnswer answers calls that have no result.
var doneAnswer = map[string]bool{"done": true}

// decode reads a body strictly. A field that this version does not know has a meaning to a newer caller, so it must not be
// ignored.
func decode(body []byte, into any) error {
	decoder := json.NewDecoder(strings.NewReader(string(body)))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
		return statusError{http.StatusBadRequest, fmt.Sprintf("control protocol %d does not understand this: %v", ProtocolVersion, err)}
	}
	if _, err := decoder.Token(); err != io.EOF {
		return statusError{http.StatusBadRequest, "more came after the call"}
	}
	return nil
}

// handler returns a handler that calls the instance, within the limits, and answers with the result as JSON or with the
// error in the field "error".
func (s *HTTPServer) handler(call func(ctx context.Context, body []byte) (any, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
		if err != nil {
			writeJSON(w, http.StatusRequestEntityTooLarge, map[string]string{"error": "the call is too large or too slow"})
			return
		}
		select {
		case s.callSlots <- struct{}{}:
			defer func() { <-s.callSlots }()
		default:
			writeJSON(w, http.StatusTooManyRequests, map[string]string{"error": "too many calls at once"})
			return
		}
		if !s.rateLimiter.Allow() {
			writeJSON(w, http.StatusTooManyRequests, map[string]string{"error": "too many calls in a second"})
			return
		}
		ctx, cancel := context.WithTimeout(r.Context(), answerTimeout)
		defer cancel()
		result, err := call(ctx, body)
		var failure statusError
		switch {
		case err == nil:
			writeJSON(w, http.StatusOK, result)
		case errors.As(err, &failure):
			writeJSON(w, failure.status, map[string]string{"error": failure.reason})
		default:
			writeJSON(w, http.StatusServiceUnavailable, map[string]string{"error": err.Error()})
		}
	}
}

// writeJSON sends value as the response's body.
func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value) // fails only if the caller is gone or too slow
}
