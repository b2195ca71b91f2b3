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
	Metrics() *telemetry.Snapshot // the last copy; nil while there is none
	Evacuate(ctx context.Context) error
	Rejoin(ctx context.Context) error
}

const (
	// MaxDescriptors is what the address takes at most: the listener, its connections and one more while one of
	// them gives way.
	MaxDescriptors = maxConns + 2
	// maxConns is far above the callers that mean it, who stay for a millisecond each.
	maxConns = 32
	// maxHeaderBytes bounds a call's bytes; net/http adds 4 KiB to it.
	maxHeaderBytes = 4 << 10
	// ioTimeout is how long a caller may take to say what it wants, and to read the answer.
	ioTimeout = 2 * time.Second
	// orderTimeout is how long an order may take to be confirmed: each answer is due within 1 s.
	orderTimeout = 600 * time.Millisecond
)

// Server is a running address.
type Server struct {
	httpServer *http.Server
	done       chan struct{}
}

// Start starts one.
func Start(address string, p Proxy, log *slog.Logger) (*Server, error) {
	l, err := listen.TCP(context.Background(), address, log)
	if err != nil {
		return nil, fmt.Errorf("admin_addr: %w", err)
	}
	a := &Server{done: make(chan struct{})}
	a.httpServer = &http.Server{
		Handler: routes(p), ReadTimeout: ioTimeout, WriteTimeout: ioTimeout, MaxHeaderBytes: maxHeaderBytes,
		ErrorLog: slog.NewLogLogger(log.Handler(), slog.LevelDebug),
	}
	a.httpServer.SetKeepAlivesEnabled(false)
	go func() {
		defer close(a.done)
		if err := a.httpServer.Serve(&evictingListener{Listener: l}); !errors.Is(err, http.ErrServerClosed) {
			log.Error("the admin address has ended", "error", err)
		}
	}()
	log.Info("admin", "address", address)
	return a, nil
}

// Close ends it.
func (a *Server) Close() {
	_ = a.httpServer.Close()
	<-a.done
}

func routes(p Proxy) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /api/ready", func(w http.ResponseWriter, _ *http.Request) {
		if f := p.Metrics(); f == nil || !f.Ready {
			respond(w, http.StatusServiceUnavailable, "not ready")
			return
		}
		respond(w, http.StatusOK, "ready")
	})
	mux.HandleFunc("GET /api/telemetry", func(w http.ResponseWriter, _ *http.Request) {
		f := p.Metrics()
		if f == nil {
			respond(w, http.StatusServiceUnavailable, "no figures yet")
			return
		}
		w.Header().Set("Content-Type", "text/plain; version=0.0.4")
		_, _ = w.Write(f.Text()) // a failure is the caller's
	})
	mux.HandleFunc("PUT /api/evacuate", handleOrder(p.Evacuate))
	mux.HandleFunc("PUT /api/rejoin", handleOrder(p.Rejoin))
	return mux
}

// handleOrder has the proxy obey. One that it has heard but not confirmed in time it still obeys, and hears no other before.
func handleOrder(obey func(context.Context) error) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		ctx, cancel := context.WithTimeout(r.Context(), orderTimeout)
		defer cancel()
		switch err := obey(ctx); {
		case err == nil:
			respond(w, http.StatusOK, "done")
		case errors.Is(err, context.DeadlineExceeded):
			respond(w, http.StatusAccepted, "heard")
		default:
			respond(w, http.StatusServiceUnavailable, err.Error())
		}
	}
}

func respond(w http.ResponseWriter, status int, word string) {
	w.Header().Set("Content-Type", "text/plain")
	w.WriteHeader(status)
	_, _ = io.WriteString(w, word+"\n") // a failure is the caller's
}

// evictingListener lets everybody in at once; where it is full, the caller that has been there longest goes. Guards against callers that
// say nothing, or half a call, in front of those that mean it.
type evictingListener struct {
	net.Listener
	mu    sync.Mutex
	conns list.List // of *caller, oldest first
}

type trackedConn struct {
	net.Conn
	listener *evictingListener
	element  *list.Element
}

func (d *evictingListener) Accept() (net.Conn, error) {
	conn, err := d.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &trackedConn{Conn: conn, listener: d}
	d.mu.Lock()
	var oldest *trackedConn
	if d.conns.Len() >= maxConns {
		oldest = d.conns.Front().Value.(*trackedConn)
	}
	c.element = d.conns.PushBack(c)
	d.mu.Unlock()
	if oldest != nil {
		_ = oldest.Close()
	}
	return c, nil
}

func (c *trackedConn) Close() error {
	c.listener.mu.Lock()
	if c.element != nil {
		c.listener.conns.Remove(c.element)
		c.element = nil
	}
	c.listener.mu.Unlock()
	return c.Conn.Close()
}
