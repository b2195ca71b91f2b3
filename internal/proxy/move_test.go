package proxy_test

import (
	"context"
	"io"
	"net"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hatchproxy/internal/proxy"
)

// pieceGap is the time between two pieces of a line that writeSlowLine sends.
const pieceGap = 50 * time.Millisecond

// writeSlowLine sends one line in pieces over a span, and returns the line once all of it is sent or the connection has ended.
func writeSlowLine(c net.Conn, span time.Duration) string {
	ticker := time.NewTicker(pieceGap)
	defer ticker.Stop()
	line := "GOT " + strings.Repeat("x", int(span/pieceGap)) + "\r\n"
	for rest := line; rest != ""; <-ticker.C {
		size := 1
		if rest == "\r\n" {
			size = len(rest)
		}
		if _, err := c.Write([]byte(rest[:size])); err != nil {
			break
		}
		rest = rest[size:]
	}
	return line
}

// Guards against clients that are cut off without MOVE in the middle of a line that their slow server is still sending.
func TestClientsOfASlowServerAreMovedAfterItsLineAndNotWithinIt(t *testing.T) {
	for name, test := range map[string]struct {
		move     func(*testClient, string)
		lineTime time.Duration // long enough that the move is due within the line
	}{
		"silence":    {func(c *testClient, _ string) { c.send("M 1\r\n") }, 3 * time.Second},
		"drain":      {func(c *testClient, address string) { c.list.SetServer("s0", address, "draining") }, 1700 * time.Millisecond},
		"evacuation": {func(c *testClient, _ string) { require.NoError(c, c.proxy.Evacuate(context.Background())) }, 1700 * time.Millisecond},
		"leave":      {func(c *testClient, _ string) { c.leaveSignals <- syscall.SIGTERM }, 1600 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			s, servers := startProxyWithConfig(t, configWithoutProbes, 1024, func(*proxy.Proxy) {}, "UP MUTE")
			c := s.openRequest("c=chat,d=1500")
			c.expectLine("UP MUTE")
			sent := make(chan string, 1)
			go func() { sent <- writeSlowLine(servers[0].LastConn(), test.lineTime) }()
			test.move(c, servers[0].Address)
			require.NoError(t, c.SetReadDeadline(time.Now().Add(9*time.Second)))
			received, err := io.ReadAll(c.reader)
			require.NoError(t, err)
			require.Equal(t, <-sent+"MOVE\r\n", string(received))
		})
	}
}

// Guards against an evacuation that holds a client for as long as its server goes on with a line: operators expect the proxy to
// be empty after 4 s.
func TestNoClientOutlastsAnEvacuationWithinALine(t *testing.T) {
	s, servers := startProxyWithConfig(t, configWithoutProbes, 1024, func(p *proxy.Proxy) { p.EnableMetrics() }, "UP MUTE")
	c := s.openRequest("c=chat,d=1500")
	c.expectLine("UP MUTE")
	go writeSlowLine(servers[0].LastConn(), 6*time.Second)
	began := time.Now()
	require.NoError(t, s.proxy.Evacuate(context.Background()))
	require.NoError(t, c.SetReadDeadline(began.Add(9*time.Second)))
	received, err := io.ReadAll(c.reader)
	require.NoError(t, err)
	require.Less(t, time.Since(began), 4*time.Second)
	require.NotContains(t, string(received), "MOVE", "no MOVE within a line")
	s.waitForMetrics("cut_within_line 1")
}
