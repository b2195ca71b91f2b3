package listen_test

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hatchproxy/internal/listen"
)

// failingListener is a listener whose first accepts fail with the given errors.
type failingListener struct {
	net.Listener
	errors []error
}

func (f *failingListener) Accept() (net.Conn, error) {
	if len(f.errors) > 0 {
		err := f.errors[0]
		f.errors = f.errors[1:]
		return nil, &net.OpError{Op: "accept", Err: os.NewSyscallError("accept4", err)}
	}
	return f.Listener.Accept()
}

func TestFailedAcceptsAreRetriedAndCounted(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	errnos := []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EPROTO, syscall.ENETDOWN, syscall.EPERM}
	retrying := listen.NewListener(&failingListener{l, errnos}, slog.New(slog.DiscardHandler))
	client, err := net.Dial("tcp", l.Addr().String())
	require.NoError(t, err)
	defer client.Close()
	conn, err := retrying.Accept()
	require.NoError(t, err)
	require.NoError(t, conn.Close())
	require.EqualValues(t, len(errnos), retrying.Failures())
	require.NoError(t, retrying.Close())
	_, err = retrying.Accept()
	require.ErrorIs(t, err, net.ErrClosed, "its owner closed it")
}

func TestFileListenerEndsOnlyWhenClosed(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	address := l.Addr().String()
	files, err := listen.NewFileListener(l.(*net.TCPListener), slog.New(slog.DiscardHandler))
	require.NoError(t, err)
	client, err := net.Dial("tcp", address)
	require.NoError(t, err)
	defer client.Close()
	accepted, err := files.Accept()
	require.NoError(t, err)
	require.NoError(t, accepted.Close())

	require.NoError(t, files.SetDeadline(time.Unix(1, 0)))
	_, err = files.Accept()
	require.ErrorIs(t, err, os.ErrDeadlineExceeded, "a deadline pauses it")
	require.NoError(t, files.SetDeadline(time.Time{}))
	ended := make(chan error)
	go func() {
		_, err := files.Accept()
		ended <- err
	}()
	time.AfterFunc(20*time.Millisecond, func() { _ = files.Close() })
	require.ErrorIs(t, <-ended, net.ErrClosed)
	require.Zero(t, files.Failures(), "closing and pausing are no failures")
}

func TestListenRetriesWhileTheAddressIsInUse(t *testing.T) {
	before, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	time.AfterFunc(100*time.Millisecond, func() { _ = before.Close() })
	l, err := listen.TCP(context.Background(), before.Addr().String(), slog.New(slog.DiscardHandler))
	require.NoError(t, err)
	require.NoError(t, l.Close())
}

func TestAnInvalidAddressFailsAtOnce(t *testing.T) {
	began := time.Now()
	_, err := listen.TCP(context.Background(), "127.0.0.1:none", slog.New(slog.DiscardHandler))
	require.Error(t, err)
	require.False(t, errors.Is(err, context.DeadlineExceeded))
	require.Less(t, time.Since(began), time.Second)
}
