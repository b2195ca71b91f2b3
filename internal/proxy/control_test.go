package proxy_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hatchproxy/internal/control"
	"hatchproxy/internal/proxy"
	"hatchproxy/limits"
	"hatchproxy/logic"
	"hatchproxy/orders"
)

// startProxyWithControl also starts the proxy's control interface on a Unix socket; it returns a client of it and the
// socket's path.
func startProxyWithControl(t *testing.T, answers ...string) (*harness, *control.Client, string) {
	s, _ := startProxy(t, 1024, answers...)
	folder, err := os.MkdirTemp("", "hc") // short, since a socket's path is limited to 107 bytes
	require.NoError(t, err)
	path := filepath.Join(folder, "n0.sock")
	c, err := control.Start("unix:"+path, s.proxy, slog.New(slog.NewTextHandler(io.Discard, nil)))
	require.NoError(t, err)
	client := control.NewClient("unix:" + path)
	t.Cleanup(func() {
		client.Close()
		c.Close()
		_ = os.RemoveAll(folder)
	})
	return s, client, path
}

// drainOrder returns an order to drain a server.
func drainOrder(term, number uint64, server string) orders.Order {
	return orders.Order{ID: fmt.Sprint("o", number), Term: term, Number: number, Verb: orders.Drain, ServerUID: server}
}

func TestADrainOrderStopsNewConnectionsAndMovesEstablishedOnes(t *testing.T) {
	s, client, _ := startProxyWithControl(t, "UP a", "UP b")
	ctx := context.Background()
	var onA []*testClient
	for range 12 {
		c := s.openRequest("c=chat,d=1500")
		line, err := c.reader.ReadString('\n')
		require.NoError(t, err)
		if line == "UP a\r\n" {
			onA = append(onA, c)
		}
	}
	require.NotEmpty(t, onA)
	ans, err := client.ApplyOrder(ctx, drainOrder(1, 1, "s0"))
	require.NoError(t, err)
	require.Equal(t, orders.Obeyed, ans.Verdict)
	require.InDelta(t, float64(time.Now().UnixMicro()), float64(ans.ReceivedAt), 5e6)
	for range 20 {
		s.openRequest("c=chat,d=1500").expectLine("UP b")
	}
	for _, c := range onA {
		c.expectLine("MOVE")
		c.expectEnd(false)
	}
	s.list.SetServer("s1", "", "ready") // changes of the list leave the order in force
	s.list.SetServer("s0", "", "ready")
	s.openRequest("c=chat,d=1500").expectLine("UP b")
	st, err := client.Status(ctx)
	require.NoError(t, err)
	require.Len(t, st.Servers, 2)
	require.Equal(t, 1, len(st.Orders))
	for _, x := range st.Servers {
		require.Equal(t, x.UID == "s0", x.Ordered)
		if x.UID == "s0" {
			require.Equal(t, []string{"draining", "ready", "draining"}, []string{x.State, x.Listed, x.PassedOverReason})
			require.Zero(t, x.EstablishedConnections)
		}
	}
	undrain := drainOrder(1, 2, "s0")
	undrain.Verb = orders.Undrain
	ans, err = client.ApplyOrder(ctx, undrain)
	require.NoError(t, err)
	require.Equal(t, orders.Obeyed, ans.Verdict)
	require.Eventually(t, func() bool {
		c := s.openRequest("c=chat,d=1500")
		line, _ := c.reader.ReadString('\n')
		return line == "UP a\r\n"
	}, 5*time.Second, time.Millisecond)
	ans, err = client.ApplyOrder(ctx, drainOrder(1, 1, "s0"))
	require.NoError(t, err)
	require.Equal(t, orders.Stale, ans.Verdict)
}

// Guards against control clients that send slowly, too much, invalid requests, or all at once.
func TestHostileControlClientsDoNotDelayTheEventLoop(t *testing.T) {
	s, client, path := startProxyWithControl(t, "UP a")
	for range 60 {
		c, err := net.Dial("unix", path)
		require.NoError(t, err)
		defer c.Close()
		_, _ = c.Write([]byte("POST /v1/orders HTTP/1.1\r\nHost: x\r\nContent-Le"))
	}
	for range 50 {
		start := time.Now()
		s.openRequest("c=chat,d=1500").expectLine("UP a")
		require.Less(t, time.Since(start), 500*time.Millisecond)
	}
	require.Eventually(t, func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_, err := client.Status(ctx)
		return err == nil
	}, 15*time.Second, 50*time.Millisecond, "stalled connections are closed")

	raw := &http.Client{Transport: &http.Transport{DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
		return (&net.Dialer{}).DialContext(ctx, "unix", path)
	}}}
	defer raw.CloseIdleConnections()
	call := func(method, path, body string) (int, string) {
		req, err := http.NewRequest(method, "http://x"+path, strings.NewReader(body))
		require.NoError(t, err)
		resp, err := raw.Do(req)
		require.NoError(t, err)
		defer resp.Body.Close()
		text, _ := io.ReadAll(resp.Body)
		return resp.StatusCode, string(bytes.TrimSpace(text))
	}
	status, text := call("POST", "/v2/orders", "{}")
	require.Equal(t, http.StatusNotFound, status)
	require.Contains(t, text, "control protocol 1 is spoken", "the answer to a client of another protocol version names the supported one")
	status, text = call("POST", "/v1/orders", `{"id":"a","verb":"drain","server":"s0","gently":true}`)
	require.Equal(t, http.StatusBadRequest, status)
	require.Contains(t, text, `unknown field \"gently\"`, "unknown fields are rejected")
	status, _ = call("POST", "/v1/orders", `{"id":"`+strings.Repeat("x", 1<<20)+`"}`)
	require.Equal(t, http.StatusRequestEntityTooLarge, status)
	status, _ = call("POST", "/v1/orders", `{} {}`)
	require.Equal(t, http.StatusBadRequest, status)
	status, _ = call("POST", "/v1/level", `{"level":"LOUD"}`)
	require.Equal(t, http.StatusBadRequest, status)
	require.NoError(t, client.SetLogLevel(context.Background(), slog.LevelDebug))
	require.ErrorContains(t, client.Reload(context.Background()), "nothing to read again")
	tooMany := 0
	for range 300 {
		if status, _ := call("GET", "/v1/status", ""); status == http.StatusTooManyRequests {
			tooMany++
		}
	}
	require.Positive(t, tooMany)
	s.openRequest("c=chat,d=1500").expectLine("UP a")
}

func TestControlInterfaceRejectsRemoteAddressesAndReplacesOnlyUnusedSockets(t *testing.T) {
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	for _, at := range []string{"0.0.0.0:0", "8.8.8.8:80", "nowhere", "unix:/nowhere/at/all.sock"} {
		_, err := control.Start(at, nil, log)
		require.Error(t, err, at)
	}
	file := filepath.Join(t.TempDir(), "a")
	require.NoError(t, os.WriteFile(file, []byte("keep me"), 0o600))
	_, err := control.Start("unix:"+file, nil, log)
	require.Error(t, err)
	text, _ := os.ReadFile(file)
	require.Equal(t, "keep me", string(text))

	folder, err := os.MkdirTemp("", "hc")
	require.NoError(t, err)
	defer os.RemoveAll(folder)
	leftover := filepath.Join(folder, "left.sock")
	l, err := net.ListenUnix("unix", &net.UnixAddr{Name: leftover, Net: "unix"})
	require.NoError(t, err)
	l.SetUnlinkOnClose(false)
	_, err = control.Start("unix:"+leftover, nil, log)
	require.ErrorContains(t, err, "somebody listens")
	require.NoError(t, l.Close())
	c, err := control.Start("unix:"+leftover, nil, log)
	require.NoError(t, err, "the socket of a killed process is taken over")
	c.Close()
}

func TestAClientRefusedByALimitGetsARetryTimeAndIsNotSentOn(t *testing.T) {
	s, servers := startProxyWith(t, 1024, func(p *proxy.Proxy) {
		p.SetLimiter((&limits.Limiter{SetupRate: limits.Rate{PerSecond: 0.5, Burst: 2}, MaxConnections: 2, MaxWait: 9 * logic.Second}).Init(1))
	}, "UP a")
	a, b := s.openRequest("c=chat,d=1500"), s.openRequest("c=chat,d=1500")
	a.expectLine("UP a")
	b.expectLine("UP a")
	for range 5 {
		c := s.openRequest("c=chat,d=1500")
		line, err := c.reader.ReadString('\n')
		require.NoError(t, err)
		require.Regexp(t, `^BUSY [1-9]\d{2,3}\r\n$`, line, "the time until there is room")
	}
	require.Len(t, servers[0].FirstLines(), 2)
	st, err := s.proxy.Status(context.Background())
	require.NoError(t, err)
	require.EqualValues(t, 5, st.RefusedByLimit["set-ups"])
	require.NoError(t, a.Close())
	require.Eventually(t, func() bool {
		c := s.openRequest("c=chat,d=1500")
		line, _ := c.reader.ReadString('\n')
		return line == "UP a\r\n"
	}, 9*time.Second, 50*time.Millisecond, "a client that leaves makes room")
}
