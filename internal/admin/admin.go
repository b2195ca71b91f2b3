// Package admin is the operators' own address: HTTP/1.1, one call a connection. It owns its sockets and goroutines;
// figures are read from the last copy, and only the two orders wait for the proxy, for a bounded time.
package admin

import (
	"container/list"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"time"

	"hatchproxy/internal/listen"
	"hatchproxy/internal/telemetry"
)

// Proxy is what the address needs of a proxy. Its calls come from any goroutine.
type Proxy interface {
	Figures() *telemetry.Figures // the last copy; nil while there is none
	Evacuate(ctx context.Context) error
	Rejoin(ctx context.Context) error
}

const (
	// Descriptors is what the address takes at most: the listener, its connections and one more while one of
	// them gives way.
	Descriptors = mostConns + 2
	// mostConns is far above the callers that mean it, who stay for a millisecond each.
	mostConns = 32
	// mostHeader bounds a call's bytes; net/http adds 4 KiB to it.
	mostHeader = 4 << 10
	// slowest is how long a caller may take to say what it wants, and to read the answer.
	slowest = 2 * time.Second
	// obeying is how long an order may take to be confirmed: each answer is due within 1 s.
	obeying = 600 * time.Millisecond
)

// Admin is a running address.
type Admin struct {
	http  *http.Server
	ended chan struct{}
}

// Open starts one.
func Open(address string, p Proxy, log *slog.Logger) (*Admin, error) {
	l, err := listen.TCP(context.Background(), address, log)
	if err != nil {
		return nil, fmt.Errorf("admin_addr: %w", err)
	}
	a := &Admin{ended: make(chan struct{})}
	a.http = &http.Server{
		Handler: routes(p), ReadTimeout: slowest, WriteTimeout: slowest, MaxHeaderBytes: mostHeader,
		ErrorLog: slog.NewLogLogger(log.Handler(), slog.LevelDebug),
	}
	a.http.SetKeepAlivesEnabled(false)
	go func() {
		defer close(a.ended)
		if err := a.http.Serve(&door{Listener: l}); !errors.Is(err, http.ErrServerClosed) {
			log.Error("the admin address has ended", "error", err)
		}
	}()
	log.Info("admin", "address", address)
	return a, nil
}

// Close ends it.
func (a *Admin) Close() {
	_ = a.http.Close()
	<-a.ended
}

func routes(p Proxy) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /api/ready", func(w http.ResponseWriter, _ *http.Request) {
		if f := p.Figures(); f == nil || !f.Ready {
			say(w, http.StatusServiceUnavailable, "not ready")
			return
		}
		say(w, http.StatusOK, "ready")
	})
	mux.HandleFunc("GET /api/telemetry", func(w http.ResponseWriter, _ *http.Request) {
		f := p.Figures()
		if f == nil {
			say(w, http.StatusServiceUnavailable, "no figures yet")
			return
		}
		w.Header().Set("Content-Type", "text/plain; version=0.0.4")
		_, _ = w.Write(f.Text()) // a failure is the caller's
	})
	mux.HandleFunc("PUT /api/evacuate", order(p.Evacuate))
	mux.HandleFunc("PUT /api/rejoin", order(p.Rejoin))
	return mux
}

// order has the proxy obey. One that it has heard but not confirmed in time it still obeys, and hears no other before.
func order(obey func(context.Context) error) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		ctx, cancel := context.WithTimeout(r.Context(), obeying)
		defer cancel()
		switch err := obey(ctx); {
		case err == nil:
			say(w, http.StatusOK, "done")
		case errors.Is(err, context.DeadlineExceeded):
			say(w, http.StatusAccepted, "heard")
		default:
			say(w, http.StatusServiceUnavailable, err.Error())
		}
	}
}

func say(w http.ResponseWriter, status int, word string) {
	w.Header().Set("Content-Type", "text/plain")
	w.WriteHeader(status)
	_, _ = io.WriteString(w, word+"\n") // a failure is the caller's
}

// door lets everybody in at once; where it is full, the caller that has been there longest goes. Guards against callers that
// say nothing, or half a call, in front of those that mean it.
type door struct {
	net.Listener
	mu     sync.Mutex
	inside list.List // of *caller, oldest first
}

type caller struct {
	net.Conn
	door  *door
	place *list.Element
}

func (d *door) Accept() (net.Conn, error) {
	conn, err := d.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &caller{Conn: conn, door: d}
	d.mu.Lock()
	var oldest *caller
	if d.inside.Len() >= mostConns {
		oldest = d.inside.Front().Value.(*caller)
	}
	c.place = d.inside.PushBack(c)
	d.mu.Unlock()
	if oldest != nil {
		_ = oldest.Close()
	}
	return c, nil
}

func (c *caller) Close() error {
	c.door.mu.Lock()
	if c.place != nil {
		c.door.inside.Remove(c.place)
		c.place = nil
	}
	c.door.mu.Unlock()
	return c.Conn.Close()
}
