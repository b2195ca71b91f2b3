package listen

import (
	"log/slog"
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// FileListener is a listener that returns file descriptors. The runtime's own Accept registers the connection with its
// poller, and closes the connection if that fails. The descriptors of a FileListener are not registered yet: the caller does
// that and can retry it.
type FileListener struct {
	file    *os.File
	rawConn syscall.RawConn
	closed  atomic.Bool
	acceptRetrier
}

// NewFileListener takes over a listener. If it fails, as it does when the descriptor cannot be duplicated at the moment, the
// listener still belongs to the caller.
func NewFileListener(listener *net.TCPListener, log *slog.Logger) (*FileListener, error) {
	file, err := listener.File()
	if err != nil {
		return nil, err
	}
	rawConn, err := file.SyscallConn()
	if err != nil {
		_ = file.Close()
		return nil, err
	}
	address := listener.Addr()
	_ = listener.Close() // the duplicate keeps listening
	return &FileListener{file: file, rawConn: rawConn, acceptRetrier: acceptRetrier{log: log, address: address}}, nil
}

// Accept waits for a connection and returns its descriptor, which is non-blocking. It retries failed calls, at growing
// intervals, until the listener is closed or its deadline passes.
func (f *FileListener) Accept() (*os.File, error) {
	fd := -1
	err := f.retry(func() error {
		if f.closed.Load() {
			return net.ErrClosed
		}
		var acceptErr error
		err := f.rawConn.Read(func(listener uintptr) (done bool) {
			fd, acceptErr = acceptOne(int(listener))
			return acceptErr != unix.EAGAIN
		})
		if f.closed.Load() && (err != nil || acceptErr != nil) {
			return net.ErrClosed
		}
		if err != nil {
			return err // waiting failed; acceptErr is only EAGAIN
		}
		return acceptErr
	})
	if err != nil {
		return nil, err
	}
	return os.NewFile(uintptr(fd), "client"), nil
}

// acceptOne accepts a connection that is waiting, or fails with EAGAIN if there is none. Processes that share a listening socket share its
// blocking mode, too, which any of them may change, so it is set before each call.
func acceptOne(listener int) (fd int, err error) {
	for {
		if err := unix.SetNonblock(listener, true); err != nil {
			return -1, err
		}
		fd, _, err = unix.Accept4(listener, unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC)
		if err == unix.EINTR || err == unix.ECONNABORTED { // ECONNABORTED: the client has left already
			continue
		}
		return fd, err
	}
}

// SetDeadline makes Accept fail after a time; the zero time removes the deadline.
func (f *FileListener) SetDeadline(at time.Time) error { return f.file.SetReadDeadline(at) }

// Close closes the listener; a waiting Accept returns net.ErrClosed.
func (f *FileListener) Close() error {
	f.closed.Store(true)
	return f.file.Close()
}
