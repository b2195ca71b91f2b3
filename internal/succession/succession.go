// Package succession connects a running proxy process to its successor, the process that replaces it. The two exchange
// packets, which may carry file descriptors, over a Unix socket in a directory that both can access. The connection is
// optional: if the socket cannot be opened, both processes run without it.
package succession

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"syscall"
	"time"

	"hatchproxy/internal/listen"
	"hatchproxy/internal/transient"
)

const (
	socketName = "hatchproxy.sock"
	// maxPacketBytes is more than any packet has: the packet of a connection has a few hundred bytes, and a client's first
	// line, which may be in it, at most 4 KiB.
	maxPacketBytes = 32 << 10
	// maxFilesPerPacket allows for one client connection and one server connection in a packet.
	maxFilesPerPacket = 2
	// writeTimeout limits how long Send waits for the peer to read. A peer that does not read is treated as gone.
	writeTimeout = 500 * time.Millisecond
	// dialTimeout limits how long Dial tries to reach the running process.
	dialTimeout = time.Second
	// sendRetryTimeout limits the retries of a failed send. It is short because the sender's event loop is blocked
	// meanwhile.
	sendRetryTimeout = 50 * time.Millisecond
)

// Conn is a connection to the other process. One goroutine may send while another receives.
type Conn struct{ conn *net.UnixConn }

// Send sends a packet together with the given file descriptors, which stay open and belong to the caller. It retries for
// up to sendRetryTimeout if the system is short of a resource.
func (c *Conn) Send(packet []byte, files ...int) error {
	return c.SendWithin(writeTimeout, packet, files...)
}

// SendWithin is Send with the time that it waits for the peer to read.
func (c *Conn) SendWithin(timeout time.Duration, packet []byte, files ...int) error {
	if len(packet) > maxPacketBytes {
		return fmt.Errorf("a packet of %d bytes is too large", len(packet))
	}
	_ = c.conn.SetWriteDeadline(time.Now().Add(timeout))
	ctx, cancel := context.WithTimeout(context.Background(), sendRetryTimeout)
	defer cancel()
	return transient.Retry(ctx, transient.Backoff{Initial: time.Millisecond, Max: sendRetryTimeout / 4}, transient.IsResourceShortage, func() error {
		_, _, err := c.conn.WriteMsgUnix(packet, syscall.UnixRights(files...), nil)
		return err
	})
}

// ErrTruncated reports that a packet came without all of its descriptors, because this process may open no more, or without
// all of its bytes. The connection goes on.
var ErrTruncated = errors.New("a packet was truncated")

// Receive waits for a packet and returns it with the files that came with it, which the caller must close. It returns an
// error if the connection is closed, and what came of the packet, without files, with ErrTruncated.
func (c *Conn) Receive() (packet []byte, files []*os.File, err error) {
	buffer, control := make([]byte, maxPacketBytes), make([]byte, syscall.CmsgSpace(4*maxFilesPerPacket))
	n, controlLen, flags, _, err := c.conn.ReadMsgUnix(buffer, control)
	if err != nil {
		return nil, nil, err
	}
	if n == 0 {
		return nil, nil, net.ErrClosed
	}
	messages, err := syscall.ParseSocketControlMessage(control[:controlLen])
	if err != nil {
		return nil, nil, err
	}
	for _, message := range messages {
		fds, err := syscall.ParseUnixRights(&message)
		if err != nil {
			continue // not file descriptors, e.g. credentials
		}
		for _, fd := range fds {
			files = append(files, os.NewFile(uintptr(fd), "received"))
		}
	}
	if flags&(syscall.MSG_TRUNC|syscall.MSG_CTRUNC) != 0 {
		for _, file := range files {
			_ = file.Close()
		}
		return buffer[:n], nil, ErrTruncated
	}
	return buffer[:n], files, nil
}

// Close closes the connection; the peer's Receive then returns an error.
func (c *Conn) Close() { _ = c.conn.Close() }

// Dial connects to the process that listens in dir. It fails if there is none.
func Dial(dir string) (*Conn, error) {
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	var conn net.Conn
	err := transient.Retry(ctx, transient.Backoff{Initial: time.Millisecond, Max: 50 * time.Millisecond}, transient.IsResourceShortage, func() (err error) {
		conn, err = new(net.Dialer).DialContext(ctx, "unixpacket", filepath.Join(dir, socketName))
		return err
	})
	if err != nil {
		return nil, err
	}
	return &Conn{conn.(*net.UnixConn)}, nil
}

// Listener accepts connections from successors of this process.
type Listener struct {
	listener *net.UnixListener
	path     string
}

// Listen makes this process the one that Dial reaches in dir, in place of any earlier one. It calls accepted with each
// connection that comes in, one after another on a goroutine of its own.
func Listen(dir string, log *slog.Logger, accepted func(*Conn)) (*Listener, error) {
	ownPath := filepath.Join(dir, fmt.Sprintf("%s.%d", socketName, os.Getpid()))
	if err := os.Remove(ownPath); err != nil && !errors.Is(err, os.ErrNotExist) {
		return nil, err // left over from an earlier process with the same PID
	}
	l, err := net.ListenUnix("unixpacket", &net.UnixAddr{Name: ownPath, Net: "unixpacket"})
	if err != nil {
		return nil, err
	}
	l.SetUnlinkOnClose(false) // by then the path may belong to the next process
	s := &Listener{l, filepath.Join(dir, socketName)}
	// The rename replaces the previous socket atomically, so that the path always leads to a process.
	if err := errors.Join(os.Chmod(ownPath, 0o600), os.Rename(ownPath, s.path)); err != nil {
		_ = l.Close()
		_ = os.Remove(ownPath)
		return nil, err
	}
	go func() {
		retrying := listen.NewListener(l, log)
		for {
			conn, err := retrying.Accept()
			if err != nil { // Close was called, or the deadline that CloseGracefully set has passed
				_ = l.Close()
				return
			}
			accepted(&Conn{conn.(*net.UnixConn)})
		}
	}()
	return s, nil
}

// closeGracePeriod is far longer than it takes to accept the connections that are already queued.
const closeGracePeriod = time.Second

// CloseGracefully closes the listener after closeGracePeriod. It is for a listener that another one of the same process has
// replaced: connections that were opened to it before, and are still queued, are accepted. Otherwise a process that
// connected at the moment of the replacement would never be served.
func (s *Listener) CloseGracefully() { _ = s.listener.SetDeadline(time.Now().Add(closeGracePeriod)) }

// Close closes the listener at once. It leaves the socket's path in place, as that may belong to another process by now;
// a connection to a path without a listener is refused.
func (s *Listener) Close() { _ = s.listener.Close() }
