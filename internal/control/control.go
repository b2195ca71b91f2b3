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

// Version is the control protocol's. Paths begin with it; another one is answered with this one's number.
const Version = 1

// Status is what an instance tells of itself. Times are Unix microseconds.
type Status struct {
	Control  int      `json:"control"`
	Name     string   `json:"name"`
	Version  string   `json:"version"`
	PID      int      `json:"pid"`
	Started  int64    `json:"started"`
	Now      int64    `json:"now"`
	Config   string   `json:"config"` // the configuration's hash
	Listen   string   `json:"listen"`
	Ready    bool     `json:"ready"`
	Leaving  bool     `json:"leaving"`
	List     int64    `json:"list"`     // its version; -1 for none
	ListAge  int64    `json:"list_age"` // microseconds since it was last told; -1 for never
	Clients  int      `json:"clients"`
	Standing int      `json:"standing"`
	Sockets  int      `json:"sockets"`
	Term     uint64   `json:"term"` // the highest author's term heard
	Orders   []Held   `json:"orders"`
	Servers  []Server `json:"servers"`

	Limits map[string]uint64 `json:"limits,omitempty"` // how many were turned away, by what, since the start
}

// Held is an order that an instance goes on with.
type Held struct {
	orders.Order
	State string `json:"state"`
}

// Server is what an instance sees of a server.
type Server struct {
	UID      string  `json:"uid"`
	Endpoint string  `json:"endpoint"`
	Zone     string  `json:"zone"`
	State    string  `json:"state"`
	Listed   string  `json:"listed"`
	Ordered  bool    `json:"ordered"`
	Standing int     `json:"standing"`
	Pending  int     `json:"pending"`
	Failures float64 `json:"failures"`
	Passed   string  `json:"passed_over,omitempty"` // why, if it is
	Pace     float64 `json:"pace"`
	ProbeUS  int64   `json:"probe_us"`
	Cold     bool    `json:"cold"`
}

// Surface is what the control needs of an instance. Its calls come from any goroutine and end with their context.
type Surface interface {
	Status(ctx context.Context) (Status, error)
	Order(ctx context.Context, o orders.Order) (orders.Answer, error)
	Reload(ctx context.Context) error
	Level(ctx context.Context, level slog.Level) error
	Leave(ctx context.Context) error
}

const (
	// mostConns and mostCalls bound who asks at once; an agent and some operators need a few of each.
	mostConns = 32
	mostCalls = 8
	// mostBody and mostHeader bound a call's size: an order is some hundred bytes.
	mostBody   = 16 << 10
	mostHeader = 8 << 10
	// slowest is how long a call may take to be sent, and its answer to be read; answering how long the loop may take.
	slowest   = 5 * time.Second
	answering = 2 * time.Second
	// often bounds the calls that reach the loop in a second, and as many at once: a status takes the loop some tens
	// of microseconds with some hundred servers.
	often = 100
)

// Control is a running control surface.
type Control struct {
	http    *http.Server
	surface Surface
	limit   *rate.Limiter
	calls   chan struct{}
	socket  string
	ended   chan struct{}
}

// Open starts one at "unix:PATH" or at a loopback address with a port.
func Open(address string, s Surface, log *slog.Logger) (*Control, error) {
	l, socket, err := openListener(address, log)
	if err != nil {
		return nil, fmt.Errorf("control: %w", err)
	}
	c := &Control{surface: s, limit: rate.NewLimiter(often, often), calls: make(chan struct{}, mostCalls), socket: socket,
		ended: make(chan struct{})}
	c.http = &http.Server{
		Handler: c.routes(), ReadTimeout: slowest, WriteTimeout: slowest, IdleTimeout: time.Minute, MaxHeaderBytes: mostHeader,
		ErrorLog: slog.NewLogLogger(log.Handler(), slog.LevelDebug),
	}
	go func() {
		defer close(c.ended)
		if err := c.http.Serve(&bounded{Listener: l, room: make(chan struct{}, mostConns)}); !errors.Is(err, http.ErrServerClosed) {
			log.Error("the control surface has ended", "error", err)
		}
	}()
	log.Info("control", "address", address)
	return c, nil
}

// Close ends it.
func (c *Control) Close() {
	_ = c.http.Close()
	<-c.ended
	if c.socket != "" {
		_ = os.Remove(c.socket)
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

// bounded takes no more connections than there is room for; the others wait in the kernel's queue.
type bounded struct {
	net.Listener
	room chan struct{}
}

func (b *bounded) Accept() (net.Conn, error) {
	b.room <- struct{}{}
	c, err := b.Listener.Accept()
	if err != nil {
		<-b.room
		return nil, err
	}
	return &leaving{Conn: c, room: b.room}, nil
}

type leaving struct {
	net.Conn
	once sync.Once
	room chan struct{}
}

func (c *leaving) Close() error {
	c.once.Do(func() { <-c.room })
	return c.Conn.Close()
}

// fault is an answer that says no, with the status that goes with it.
type fault struct {
	status int
	why    string
}

func (f fault) Error() string { return f.why }

func (c *Control) routes() http.Handler {
	mux := http.NewServeMux()
	v := fmt.Sprintf("/v%d", Version)
	mux.HandleFunc("GET "+v+"/status", c.answer(func(ctx context.Context, _ []byte) (any, error) { return c.surface.Status(ctx) }))
	mux.HandleFunc("POST "+v+"/orders", c.answer(func(ctx context.Context, body []byte) (any, error) {
		var o orders.Order
		if err := decode(body, &o); err != nil {
			return nil, err
		}
		return c.surface.Order(ctx, o)
	}))
	mux.HandleFunc("POST "+v+"/reload", c.answer(func(ctx context.Context, _ []byte) (any, error) { return done, c.surface.Reload(ctx) }))
	mux.HandleFunc("POST "+v+"/leave", c.answer(func(ctx context.Context, _ []byte) (any, error) { return done, c.surface.Leave(ctx) }))
	mux.HandleFunc("POST "+v+"/level", c.answer(func(ctx context.Context, body []byte) (any, error) {
		var wanted struct{ Level slog.Level }
		if err := decode(body, &wanted); err != nil {
			return nil, err
		}
		return done, c.surface.Level(ctx, wanted.Level)
	}))
	mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		write(w, http.StatusNotFound, map[string]any{"error": fmt.Sprintf("%s %.100s is nothing here: control protocol %d is spoken", r.Method, r.URL.Path, Version),
			"control": Version})
	})
	return mux
}

var done = map[string]bool{"done": true}

// decode reads a body strictly: a word that is unknown here means something where the other side is newer.
func decode(body []byte, into any) error {
	d := json.NewDecoder(strings.NewReader(string(body)))
	d.DisallowUnknownFields()
	if err := d.Decode(into); err != nil {
		return fault{http.StatusBadRequest, fmt.Sprintf("control protocol %d does not understand this: %v", Version, err)}
	}
	if _, err := d.Token(); err != io.EOF {
		return fault{http.StatusBadRequest, "more came after the call"}
	}
	return nil
}

func (c *Control) answer(call func(ctx context.Context, body []byte) (any, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, mostBody))
		if err != nil {
			write(w, http.StatusRequestEntityTooLarge, map[string]string{"error": "the call is too large or too slow"})
			return
		}
		select {
		case c.calls <- struct{}{}:
			defer func() { <-c.calls }()
		default:
			write(w, http.StatusTooManyRequests, map[string]string{"error": "too many calls at once"})
			return
		}
		if !c.limit.Allow() {
			write(w, http.StatusTooManyRequests, map[string]string{"error": "too many calls in a second"})
			return
		}
		ctx, cancel := context.WithTimeout(r.Context(), answering)
		defer cancel()
		result, err := call(ctx, body)
		var f fault
		switch {
		case err == nil:
			write(w, http.StatusOK, result)
		case errors.As(err, &f):
			write(w, f.status, map[string]string{"error": f.why})
		default:
			write(w, http.StatusServiceUnavailable, map[string]string{"error": err.Error()})
		}
	}
}

func write(w http.ResponseWriter, status int, what any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(what) // a failure is the other side's
}
