// Package admin serves the admin API for operators: HTTP/1.1 on an address of its own, with one request per connection. It
// has its own sockets and goroutines. Metrics come from the last snapshot; only the two orders wait for the proxy, for a
// limited time.
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

// Proxy is what the admin API needs of a proxy. Its methods are called from any goroutine.
type Proxy interface {
	// Metrics returns the last snapshot, or nil if there is none yet.
	Metrics() *telemetry.Snapshot
	// Evacuate makes the proxy move its clients to other proxies while it keeps running. It returns once the proxy has
	// begun.
	Evacuate(ctx context.Context) error
	// Rejoin ends an evacuation: the proxy serves again.
	Rejoin(ctx context.Context) error
}

const (
	// MaxDescriptors is how many file descriptors the server uses at most: the listener, its connections, and one more
	// while a connection is closed to make room.
	MaxDescriptors = maxConns + 2
	// maxConns is far above the number of real callers, whose connections last about a millisecond.
	maxConns = 32
	// maxHeaderBytes limits the size of a request's header; net/http adds 4 KiB to it.
	maxHeaderBytes = 4 << 10
	// ioTimeout limits how long a caller may take to send its request, and to read the response.
	ioTimeout = 2 * time.Second
	// orderTimeout limits how long the proxy may take to confirm an order. Each response is due within 1 s.
	orderTimeout = 600 * time.Millisecond
)

// Server serves the admin API.
type Server struct {
	httpServer *http.Server
	done       chan struct{}
}

// Start starts a server on address. The error names the setting, admin_addr.
func Start(address string, proxy Proxy, log *slog.Logger) (*Server, error) {
	listener, err := listen.TCP(context.Background(), address, log)
	if err != nil {
		return nil, fmt.Errorf("admin_addr: %w", err)
	}
	server := &Server{done: make(chan struct{})}
	server.httpServer = &http.Server{
		Handler: routes(proxy), ReadTimeout: ioTimeout, WriteTimeout: ioTimeout, MaxHeaderBytes: maxHeaderBytes,
		ErrorLog: slog.NewLogLogger(log.Handler(), slog.LevelDebug),
	}
	server.httpServer.SetKeepAlivesEnabled(false)
	go func() {
		defer close(server.done)
		if err := server.httpServer.Serve(&evictingListener{Listener: listener}); !errors.Is(err, http.ErrServerClosed) {
			log.Error("the admin API has ended", "error", err)
		}
	}()
	log.Info("admin", "address", address)
	return server, nil
}

// Close stops the server and closes its connections.
func (s *Server) Close() {
	_ = s.httpServer.Close()
	<-s.done
}

// routes returns the handler of all paths.
func routes(proxy Proxy) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /api/ready", func(w http.ResponseWriter, _ *http.Request) {
		if metrics := proxy.Metrics(); metrics == nil || !metrics.Ready {
			respond(w, http.StatusServiceUnavailable, "not ready")
			return
		}
		respond(w, http.StatusOK, "ready")
	})
	mux.HandleFunc("GET /api/telemetry", func(w http.ResponseWriter, _ *http.Request) {
		metrics := proxy.Metrics()
		if metrics == nil {
			respond(w, http.StatusServiceUnavailable, "no figures yet")
			return
		}
		w.Header().Set("Content-Type", "text/plain; version=0.0.4")
		_, _ = w.Write(metrics.Text()) // fails only if the caller is gone or too slow
	})
	mux.HandleFunc("PUT /api/evacuate", handleOrder(proxy.Evacuate))
	mux.HandleFunc("PUT /api/rejoin", handleOrder(proxy.Rejoin))
	return mux
}

// handleOrder returns a handler that gives the proxy an order with apply. An order that is not confirmed within orderTimeout
// is answered with 202: the proxy still carries it out, before any later order.
func handleOrder(apply func(context.Context) error) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		ctx, cancel := context.WithTimeout(r.Context(), orderTimeout)
		defer cancel()
		switch err := apply(ctx); {
		case err == nil:
			respond(w, http.StatusOK, "done")
		case errors.Is(err, context.DeadlineExceeded):
			respond(w, http.StatusAccepted, "heard")
		default:
			respond(w, http.StatusServiceUnavailable, err.Error())
		}
	}
}

// respond sends a line of plain text.
func respond(w http.ResponseWriter, status int, text string) {
	w.Header().Set("Content-Type", "text/plain")
	w.WriteHeader(status)
	_, _ = io.WriteString(w, text+"\n") // fails only if the caller is gone or too slow
}

// evictingListener accepts every connection at once. When there are maxConns already, it closes the oldest one. Guards
// against callers that send nothing, or an incomplete request, and keep others out.
type evictingListener struct {
	net.Listener
	mu    sync.Mutex
	conns list.List // of *trackedConn, oldest first
}

// trackedConn is a connection in its listener's list.
type trackedConn struct {
	net.Conn
	listener *evictingListener
	element  *list.Element
}

func (l *evictingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	tracked := &trackedConn{Conn: conn, listener: l}
	l.mu.Lock()
	var oldest *trackedConn
	if l.conns.Len() >= maxConns {
		oldest = l.conns.Front().Value.(*trackedConn)
	}
	tracked.element = l.conns.PushBack(tracked)
	l.mu.Unlock()
	if oldest != nil {
		_ = oldest.Close()
	}
	return tracked, nil
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
