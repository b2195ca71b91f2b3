package proxy_test

import (
	"io"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hatchproxy/internal/proxy"
)

// A loop that ends by itself closed all connections without a word, and the process left as if all were well.
func TestALoopThatEndsByItselfAnswersWhatIsInHandAndFailsTheProcess(t *testing.T) {
	s, servers := startProxyWithConfig(t, configWithoutProbes, 1024, func(*proxy.Proxy) {}, "UP a")
	standing := s.openRequest("c=chat,d=1500")
	standing.expectLine("UP a")
	resting := s.dial("OPEN 77 ")
	servers[0].Stop()
	s.list.Set("s0", "", "gone")
	waiting := s.openRequest("c=pay,d=1500")
	s.waitUntilClientGone("0") // they have been read
	s.proxy.EndLoop()
	standing.expectLine("MOVE")
	waiting.expectLine("BUSY")
	resting.expectLine("BUSY")
	require.ErrorIs(t, <-s.runResult, proxy.ErrLoopEnded)
}

// Who rests on a connection when the proxy ends hears that it may try elsewhere: its request may be on the way.
func TestWhoRestsWhenTheProxyEndsIsTold(t *testing.T) {
	s, _ := startProxyWithConfig(t, configWithoutProbes, 1024, func(*proxy.Proxy) {}, "UP a")
	resting := s.dial("PING\r\n")
	resting.expectLine("PONG")
	s.leaveSignals <- syscall.SIGTERM
	require.NoError(t, resting.SetReadDeadline(time.Now().Add(5*time.Second)))
	text, err := io.ReadAll(resting.reader)
	require.NoError(t, err, "an end, not a reset")
	require.Equal(t, "BUSY\r\n", string(text))
	require.NoError(t, <-s.runResult)
}
