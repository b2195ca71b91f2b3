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

// shortTempDir makes a temporary directory with a short path: a Unix socket's path has at most 107 bytes.
func shortTempDir(t *testing.T) string {
	dir, err := os.MkdirTemp("", "hs")
	require.NoError(t, err)
	t.Cleanup(func() { _ = os.RemoveAll(dir) })
	return dir
}

// startListener listens in dir and returns the connections that come in.
func startListener(t *testing.T, dir string) (*succession.Listener, chan *succession.Conn) {
	accepted := make(chan *succession.Conn, 1)
	listener, err := succession.Listen(dir, slog.New(slog.DiscardHandler), func(c *succession.Conn) { accepted <- c })
	require.NoError(t, err)
	t.Cleanup(listener.Close)
	return listener, accepted
}

// Guards against connections that are lost when a process replaces its listener: they were queued at the old listener
// and never accepted.
func TestConnectionsQueuedAtAReplacedListenerAreAccepted(t *testing.T) {
	dir := shortTempDir(t)
	listener, accepted := startListener(t, dir)
	for range 3 { // the first fills the Go channel, the second waits to be sent on it, the third is not accepted yet
		c, err := succession.Dial(dir)
		require.NoError(t, err)
		defer c.Close()
	}
	_, later := startListener(t, dir)
	listener.CloseGracefully()
	for range 3 {
		select {
		case <-accepted:
		case <-time.After(5 * time.Second):
			require.Fail(t, "the connection was not accepted")
		}
	}
	c, err := succession.Dial(dir)
	require.NoError(t, err)
	defer c.Close()
	<-later
}

func TestDescriptorsArriveWithTheirPacket(t *testing.T) {
	dir := shortTempDir(t)
	_, accepted := startListener(t, dir)
	successor, err := succession.Dial(dir)
	require.NoError(t, err)
	predecessor := <-accepted
	tcpListener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer tcpListener.Close()
	client, err := net.Dial("tcp", tcpListener.Addr().String())
	require.NoError(t, err)
	clientFile, err := client.(*net.TCPConn).File()
	require.NoError(t, err)
	require.NoError(t, predecessor.Send([]byte("one")))
	require.NoError(t, predecessor.Send([]byte("two"), int(clientFile.Fd())))
	require.Error(t, predecessor.Send(make([]byte, 1<<20)), "the packet is too large")
	packet, files, err := successor.Receive()
	require.NoError(t, err)
	require.Equal(t, "one", string(packet))
	require.Empty(t, files)
	packet, files, err = successor.Receive()
	require.NoError(t, err)
	require.Equal(t, "two", string(packet))
	require.Len(t, files, 1)
	passed, err := net.FileConn(files[0])
	require.NoError(t, err)
	_ = client.Close()
	_ = clientFile.Close()
	_ = files[0].Close()
	_, err = passed.Write([]byte("goes on\n"))
	require.NoError(t, err)
	peer, err := tcpListener.Accept()
	require.NoError(t, err)
	b := make([]byte, 8)
	_, err = peer.Read(b)
	require.NoError(t, err)
	require.Equal(t, "goes on\n", string(b))
	predecessor.Close()
	_, _, err = successor.Receive()
	require.Error(t, err, "closing one side ends Receive on the other")
}

// Guards against a lost connection to the other process, and with it all packets under way, where one packet came without all
// of its descriptors.
func TestATruncatedPacketDoesNotEndTheConnection(t *testing.T) {
	dir := shortTempDir(t)
	_, accepted := startListener(t, dir)
	successor, err := succession.Dial(dir)
	require.NoError(t, err)
	predecessor := <-accepted
	null, err := os.Open(os.DevNull)
	require.NoError(t, err)
	defer null.Close()
	fd := int(null.Fd())
	require.NoError(t, predecessor.Send([]byte("more than there is room for"), fd, fd, fd, fd))
	require.NoError(t, predecessor.Send([]byte("next"), fd))
	packet, files, err := successor.Receive()
	require.ErrorIs(t, err, succession.ErrTruncated)
	require.Equal(t, "more than there is room for", string(packet))
	require.Empty(t, files)
	packet, files, err = successor.Receive()
	require.NoError(t, err)
	require.Equal(t, "next", string(packet))
	require.Len(t, files, 1)
	_ = files[0].Close()
}

func TestSendToAPeerThatDoesNotReadTimesOut(t *testing.T) {
	dir := shortTempDir(t)
	_, accepted := startListener(t, dir)
	_, err := succession.Dial(dir)
	require.NoError(t, err)
	predecessor, began := <-accepted, time.Now()
	packet := bytes.Repeat([]byte("x"), 30<<10)
	for err == nil {
		err = predecessor.Send(packet)
	}
	require.Less(t, time.Since(began), 3*time.Second)
}

func TestDialFailsWithoutAListener(t *testing.T) {
	dir := shortTempDir(t)
	_, err := succession.Dial(dir)
	require.Error(t, err)
	path := filepath.Join(dir, "hatchproxy.sock")
	require.NoError(t, os.WriteFile(path, []byte("torn"), 0o600))
	_, err = succession.Dial(dir)
	require.Error(t, err)
	listener, _ := startListener(t, dir) // replaces a regular file
	listener.Close()
	_, err = succession.Dial(dir)
	require.Error(t, err, "nobody listens on the socket that is left")
	require.NoError(t, os.Remove(path))
	require.NoError(t, os.MkdirAll(filepath.Join(path, "foreign"), 0o700))
	_, err = succession.Listen(dir, slog.New(slog.DiscardHandler), func(*succession.Conn) {})
	require.Error(t, err, "a directory is not replaced")
	entries, err := os.ReadDir(dir)
	require.NoError(t, err)
	require.Len(t, entries, 1, "the temporary socket is removed")
	_, err = succession.Listen(filepath.Join(dir, "none"), slog.New(slog.DiscardHandler), func(*succession.Conn) {})
	require.Error(t, err)
}

func TestDialReachesTheLastListener(t *testing.T) {
	dir := shortTempDir(t)
	_, first := startListener(t, dir)
	_, second := startListener(t, dir)
	_, err := succession.Dial(dir)
	require.NoError(t, err)
	<-second
	require.Empty(t, first)
}
