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

// FileListener is a listener that hands out bare descriptors. What the runtime does with a connection that it accepts may fail,
// and it closes the connection then; a descriptor is kept until somebody has it.
type FileListener struct {
	file    *os.File
	rawConn syscall.RawConn
	closed  atomic.Bool
	acceptRetrier
}

// NewFileListener takes a listener over. It fails where its descriptor cannot be duplicated just now; then the listener stays
// the caller's.
func NewFileListener(l *net.TCPListener, log *slog.Logger) (*FileListener, error) {
	socket, err := l.File()
	if err != nil {
		return nil, err
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		_ = socket.Close()
		return nil, err
	}
	address := l.Addr()
	_ = l.Close() // the duplicate listens on
	return &FileListener{file: socket, rawConn: raw, acceptRetrier: acceptRetrier{log: log, address: address}}, nil
}

// Accept waits for a connection and returns its descriptor, which does not block. It makes a failed call again, at a
// growing interval, until the listener is closed or its deadline has come.
func (f *FileListener) Accept() (*os.File, error) {
	fd := -1
	err := f.retry(func() error {
		if f.closed.Load() {
			return net.ErrClosed
		}
		var failed error
		err := f.rawConn.Read(func(listener uintptr) (done bool) {
			fd, failed = acceptOne(int(listener))
			return failed != unix.EAGAIN
		})
		if f.closed.Load() && (err != nil || failed != nil) {
			return net.ErrClosed
		}
		if err != nil {
			return err // the wait, which says more than that nobody had come
		}
		return failed
	})
	if err != nil {
		return nil, err
	}
	return os.NewFile(uintptr(fd), "client"), nil
}

func acceptOne(listener int) (fd int, err error) {
	for {
		fd, _, err = unix.Accept4(listener, unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC)
		if err == unix.EINTR || err == unix.ECONNABORTED { // the latter is a client that has left
			continue
		}
		return fd, err
	}
}

// SetDeadline has Accept fail from a time on; the zero time takes that back.
func (f *FileListener) SetDeadline(at time.Time) error { return f.file.SetReadDeadline(at) }

// Close ends the listener.
func (f *FileListener) Close() error {
	f.closed.Store(true)
	return f.file.Close()
}
