package succession_test

import (
	"bytes"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hatchproxy/internal/succession"
)

// shortTempDir is a short one: a socket's path has 107 bytes at most.
func shortTempDir(t *testing.T) string {
	at, err := os.MkdirTemp("", "hs")
	require.NoError(t, err)
	t.Cleanup(func() { _ = os.RemoveAll(at) })
	return at
}

func startListener(t *testing.T, at string) (*succession.Listener, chan *succession.Conn) {
	heirs := make(chan *succession.Conn, 1)
	seat, err := succession.Listen(at, slog.New(slog.DiscardHandler), func(c *succession.Conn) { heirs <- c })
	require.NoError(t, err)
	t.Cleanup(seat.Close)
	return seat, heirs
}

// A process found the seat in the moment in which it was changed for another: it was never heard.
func TestWhoFoundASeatThatIsGivenUpIsHeardAllTheSame(t *testing.T) {
	at := shortTempDir(t)
	seat, heirs := startListener(t, at)
	for range 3 { // one is in the channel, one waits for room there, one has not been accepted
		c, err := succession.Dial(at)
		require.NoError(t, err)
		defer c.Close()
	}
	_, later := startListener(t, at)
	seat.CloseGracefully()
	for range 3 {
		select {
		case <-heirs:
		case <-time.After(5 * time.Second):
			require.Fail(t, "it was not heard")
		}
	}
	c, err := succession.Dial(at)
	require.NoError(t, err)
	defer c.Close()
	<-later
}

func TestDescriptorsComeWithTheirPacket(t *testing.T) {
	at := shortTempDir(t)
	_, heirs := startListener(t, at)
	heir, err := succession.Dial(at)
	require.NoError(t, err)
	old := <-heirs
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	c, err := net.Dial("tcp", l.Addr().String())
	require.NoError(t, err)
	f, err := c.(*net.TCPConn).File()
	require.NoError(t, err)
	require.NoError(t, old.Send([]byte("one")))
	require.NoError(t, old.Send([]byte("two"), int(f.Fd())))
	require.Error(t, old.Send(make([]byte, 1<<20)), "a packet has a bound")
	packet, files, err := heir.Receive()
	require.NoError(t, err)
	require.Equal(t, "one", string(packet))
	require.Empty(t, files)
	packet, files, err = heir.Receive()
	require.NoError(t, err)
	require.Equal(t, "two", string(packet))
	require.Len(t, files, 1)
	passed, err := net.FileConn(files[0])
	require.NoError(t, err)
	_ = c.Close()
	_ = f.Close()
	_ = files[0].Close()
	_, err = passed.Write([]byte("goes on\n"))
	require.NoError(t, err)
	peer, err := l.Accept()
	require.NoError(t, err)
	b := make([]byte, 8)
	_, err = peer.Read(b)
	require.NoError(t, err)
	require.Equal(t, "goes on\n", string(b))
	old.Close()
	_, _, err = heir.Receive()
	require.Error(t, err, "the end of one side is the other's")
}

func TestWhoDoesNotReadIsNotWaitedForLong(t *testing.T) {
	at := shortTempDir(t)
	_, heirs := startListener(t, at)
	_, err := succession.Dial(at)
	require.NoError(t, err)
	old, began := <-heirs, time.Now()
	packet := bytes.Repeat([]byte("x"), 30<<10)
	for err == nil {
		err = old.Send(packet)
	}
	require.Less(t, time.Since(began), 3*time.Second)
}

func TestNobodyIsFoundWhereNothingOrSomethingElseIs(t *testing.T) {
	at := shortTempDir(t)
	_, err := succession.Dial(at)
	require.Error(t, err)
	path := filepath.Join(at, "hatchproxy.sock")
	require.NoError(t, os.WriteFile(path, []byte("torn"), 0o600))
	_, err = succession.Dial(at)
	require.Error(t, err)
	seat, _ := startListener(t, at) // a file is replaced
	seat.Close()
	_, err = succession.Dial(at)
	require.Error(t, err, "what one that died leaves behind is refused")
	require.NoError(t, os.Remove(path))
	require.NoError(t, os.MkdirAll(filepath.Join(path, "foreign"), 0o700))
	_, err = succession.Listen(at, slog.New(slog.DiscardHandler), func(*succession.Conn) {})
	require.Error(t, err, "a folder is nobody's to take away")
	entries, err := os.ReadDir(at)
	require.NoError(t, err)
	require.Len(t, entries, 1, "no name of its own stays")
	_, err = succession.Listen(filepath.Join(at, "none"), slog.New(slog.DiscardHandler), func(*succession.Conn) {})
	require.Error(t, err)
}

func TestTheLastToTakeTheSeatIsFound(t *testing.T) {
	at := shortTempDir(t)
	_, first := startListener(t, at)
	_, second := startListener(t, at)
	_, err := succession.Dial(at)
	require.NoError(t, err)
	<-second
	require.Empty(t, first)
}
