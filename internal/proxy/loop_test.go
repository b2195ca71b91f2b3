package proxy_test

import (
	"io"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hatchproxy/internal/proxy"
)

// Guards against an event loop that ends unexpectedly, closes all connections without an answer, and lets the process exit
// as if it had left in good order.
func TestUnexpectedLoopEndAnswersOpenRequestsAndFailsRun(t *testing.T) {
	s, servers := startProxyWithConfig(t, configWithoutProbes, 1024, func(*proxy.Proxy) {}, "UP a")
	established := s.openRequest("c=chat,d=1500")
	established.expectLine("UP a")
	partial := s.dial("OPEN 77 ")
	servers[0].CloseListener()
	s.list.SetServer("s0", "", "gone")
	pending := s.openRequest("c=pay,d=1500")
	s.waitUntilClientGone("0") // the proxy has read all requests
	s.proxy.EndLoop()
	established.expectLine("MOVE")
	pending.expectLine("BUSY")
	partial.expectLine("BUSY")
	require.ErrorIs(t, <-s.runResult, proxy.ErrLoopEnded)
}

// A client that has sent no request when the proxy ends is refused, so that it tries elsewhere: its request may be on
// the way.
func TestClientsWithoutRequestAreRefusedWhenTheProxyEnds(t *testing.T) {
	s, _ := startProxyWithConfig(t, configWithoutProbes, 1024, func(*proxy.Proxy) {}, "UP a")
	idle := s.dial("PING\r\n")
	idle.expectLine("PONG")
	s.leaveSignals <- syscall.SIGTERM
	require.NoError(t, idle.SetReadDeadline(time.Now().Add(5*time.Second)))
	text, err := io.ReadAll(idle.reader)
	require.NoError(t, err, "closed, not reset")
	require.Equal(t, "BUSY\r\n", string(text))
	require.NoError(t, <-s.runResult)
}
