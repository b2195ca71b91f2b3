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

// folder is a short one: a socket's path has 107 bytes at most.
func folder(t *testing.T) string {
	at, err := os.MkdirTemp("", "hs")
	require.NoError(t, err)
	t.Cleanup(func() { _ = os.RemoveAll(at) })
	return at
}

func take(t *testing.T, at string) (*succession.Seat, chan *succession.Channel) {
	heirs := make(chan *succession.Channel, 1)
	seat, err := succession.Take(at, slog.New(slog.DiscardHandler), func(c *succession.Channel) { heirs <- c })
	require.NoError(t, err)
	t.Cleanup(seat.Leave)
	return seat, heirs
}

// A process found the seat in the moment in which it was changed for another: it was never heard.
func TestWhoFoundASeatThatIsGivenUpIsHeardAllTheSame(t *testing.T) {
	at := folder(t)
	seat, heirs := take(t, at)
	for range 3 { // one is in the channel, one waits for room there, one has not been accepted
		c, err := succession.Find(at)
		require.NoError(t, err)
		defer c.Close()
	}
	_, later := take(t, at)
	seat.Retire()
	for range 3 {
		select {
		case <-heirs:
		case <-time.After(5 * time.Second):
			require.Fail(t, "it was not heard")
		}
	}
	c, err := succession.Find(at)
	require.NoError(t, err)
	defer c.Close()
	<-later
}

func TestDescriptorsComeWithTheirPacket(t *testing.T) {
	at := folder(t)
	_, heirs := take(t, at)
	heir, err := succession.Find(at)
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
	at := folder(t)
	_, heirs := take(t, at)
	_, err := succession.Find(at)
	require.NoError(t, err)
	old, began := <-heirs, time.Now()
	packet := bytes.Repeat([]byte("x"), 30<<10)
	for err == nil {
		err = old.Send(packet)
	}
	require.Less(t, time.Since(began), 3*time.Second)
}

func TestNobodyIsFoundWhereNothingOrSomethingElseIs(t *testing.T) {
	at := folder(t)
	_, err := succession.Find(at)
	require.Error(t, err)
	path := filepath.Join(at, "hatchproxy.sock")
	require.NoError(t, os.WriteFile(path, []byte("torn"), 0o600))
	_, err = succession.Find(at)
	require.Error(t, err)
	seat, _ := take(t, at) // a file is replaced
	seat.Leave()
	_, err = succession.Find(at)
	require.Error(t, err, "what one that died leaves behind is refused")
	require.NoError(t, os.Remove(path))
	require.NoError(t, os.MkdirAll(filepath.Join(path, "foreign"), 0o700))
	_, err = succession.Take(at, slog.New(slog.DiscardHandler), func(*succession.Channel) {})
	require.Error(t, err, "a folder is nobody's to take away")
	entries, err := os.ReadDir(at)
	require.NoError(t, err)
	require.Len(t, entries, 1, "no name of its own stays")
	_, err = succession.Take(filepath.Join(at, "none"), slog.New(slog.DiscardHandler), func(*succession.Channel) {})
	require.Error(t, err)
}

func TestTheLastToTakeTheSeatIsFound(t *testing.T) {
	at := folder(t)
	_, first := take(t, at)
	_, second := take(t, at)
	_, err := succession.Find(at)
	require.NoError(t, err)
	<-second
	require.Empty(t, first)
}
