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
	s, servers := playBook(t, unprobed, 1024, func(*proxy.Proxy) {}, "UP a")
	standing := s.open("c=chat,d=1500")
	standing.hears("UP a")
	resting := s.call("OPEN 77 ")
	servers[0].Stop()
	s.list.Set("s0", "", "gone")
	waiting := s.open("c=pay,d=1500")
	s.gone("0") // they have been read
	s.proxy.EndLoop()
	standing.hears("MOVE")
	waiting.hears("BUSY")
	resting.hears("BUSY")
	require.ErrorIs(t, <-s.ended, proxy.ErrLoopEnded)
}

// Who rests on a connection when the proxy ends hears that it may try elsewhere: its request may be on the way.
func TestWhoRestsWhenTheProxyEndsIsTold(t *testing.T) {
	s, _ := playBook(t, unprobed, 1024, func(*proxy.Proxy) {}, "UP a")
	resting := s.call("PING\r\n")
	resting.hears("PONG")
	s.leave <- syscall.SIGTERM
	require.NoError(t, resting.SetReadDeadline(time.Now().Add(5*time.Second)))
	text, err := io.ReadAll(resting.in)
	require.NoError(t, err, "an end, not a reset")
	require.Equal(t, "BUSY\r\n", string(text))
	require.NoError(t, <-s.ended)
}
