package admin_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hatchproxy/internal/admin"
	"hatchproxy/internal/telemetry"
)

// fakeProxy counts the orders that it gets. If it is stuck, it never confirms one.
type fakeProxy struct {
	snapshot *telemetry.Snapshot
	stuck    bool
	orders   int
}

func (p *fakeProxy) Metrics() *telemetry.Snapshot { return p.snapshot }

func (p *fakeProxy) Evacuate(ctx context.Context) error {
	if p.stuck {
		<-ctx.Done()
		return ctx.Err()
	}
	p.orders++
	return nil
}

func (p *fakeProxy) Rejoin(ctx context.Context) error { return p.Evacuate(ctx) }

// startAdmin starts a server and returns its address.
func startAdmin(t *testing.T, p admin.Proxy) string {
	t.Helper()
	free, err := net.Listen("tcp", "127.4.0.2:0")
	require.NoError(t, err)
	address := free.Addr().String()
	require.NoError(t, free.Close())
	server, err := admin.Start(address, p, slog.New(slog.DiscardHandler))
	require.NoError(t, err)
	t.Cleanup(server.Close)
	return address
}

// call makes a request and returns the response's status and body.
func call(t *testing.T, address, method, path string) (int, string) {
	t.Helper()
	req, err := http.NewRequest(method, "http://"+address+path, nil)
	require.NoError(t, err)
	began := time.Now()
	resp, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(req)
	require.NoError(t, err)
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	require.Less(t, time.Since(began), time.Second, "each response is due within 1 s")
	return resp.StatusCode, string(text)
}

func TestResponseStatuses(t *testing.T) {
	p := &fakeProxy{}
	address := startAdmin(t, p)
	status, _ := call(t, address, "GET", "/api/ready")
	require.Equal(t, 503, status, "there is no snapshot yet")
	var counters telemetry.Counters
	counters.CountRequest(`odd"class`, telemetry.Deferred)
	counters.Sends = 7
	p.snapshot = counters.Snapshot(telemetry.Gauges{Ready: true, Current: 14})
	counters.CountRequest(`odd"class`, telemetry.Deferred) // a snapshot does not change
	for path, want := range map[string]int{
		"GET /api/ready": 200, "GET /api/telemetry": 200, "PUT /api/evacuate": 200, "PUT /api/rejoin": 200,
		"GET /api/evacuate": 405, "PUT /api/ready": 405, "GET /api": 404, "GET /": 404, "DELETE /api/none": 404,
	} {
		method, path, _ := strings.Cut(path, " ")
		status, text := call(t, address, method, path)
		require.Equal(t, want, status, "%s %s: %s", method, path, text)
	}
	require.Equal(t, 2, p.orders)
	_, text := call(t, address, "GET", "/api/telemetry")
	require.Contains(t, text, "edge_router_transactions{group=\"odd\\\"class\",state=\"deferred\"} 1\n")
	require.Contains(t, text, "edge_router_transactions{group=\"odd\\\"class\",state=\"answered\"} 0\n")
	require.Contains(t, text, "edge_router_sends 7\n")
	require.Contains(t, text, "edge_router_current 14\n")
}

func TestAnOrderThatIsNotConfirmedInTimeIsAccepted(t *testing.T) {
	status, _ := call(t, startAdmin(t, &fakeProxy{stuck: true}), "PUT", "/api/evacuate")
	require.Equal(t, http.StatusAccepted, status)
}

func TestIdleAndIncompleteRequestsDoNotBlockOthers(t *testing.T) {
	var counters telemetry.Counters
	address := startAdmin(t, &fakeProxy{snapshot: counters.Snapshot(telemetry.Gauges{Ready: true})})
	for i := range 200 {
		conn, err := net.Dial("tcp", address)
		require.NoError(t, err)
		defer conn.Close()
		_, _ = io.WriteString(conn, []string{"", "GET /api/re", "PUT /api/evacuate HTTP/1.1\r\nContent-Length: 90\r\n\r\n"}[i%3])
		if i%20 == 0 {
			status, _ := call(t, address, "GET", "/api/ready")
			require.Equal(t, 200, status)
		}
	}
	slow, err := net.Dial("tcp", address)
	require.NoError(t, err)
	defer slow.Close()
	for _, b := range []byte("GET /api/ready HTTP/1.1\r\nHost: x\r\n\r\n") {
		_, err := slow.Write([]byte{b})
		require.NoError(t, err)
	}
	resp, err := http.ReadResponse(bufio.NewReader(slow), nil)
	require.NoError(t, err)
	require.Equal(t, 200, resp.StatusCode, "a request that is sent byte by byte is served")
	huge, err := net.Dial("tcp", address)
	require.NoError(t, err)
	defer huge.Close()
	_, _ = fmt.Fprintf(huge, "GET /api/ready HTTP/1.1\r\nHost: x\r\nX: %s\r\n\r\n", strings.Repeat("x", 64<<10))
	require.NoError(t, huge.SetReadDeadline(time.Now().Add(3*time.Second)))
	if resp, err := http.ReadResponse(bufio.NewReader(huge), nil); err == nil {
		require.Equal(t, 431, resp.StatusCode)
	}
}

func TestStartFailsIfTheAddressIsInUse(t *testing.T) {
	address := startAdmin(t, &fakeProxy{})
	_, err := admin.Start(address, &fakeProxy{}, slog.New(slog.DiscardHandler))
	require.ErrorContains(t, err, "admin_addr: ")
	require.ErrorContains(t, err, address)
}
