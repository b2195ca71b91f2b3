// Package succession is the way from a running process to the one that takes its place: packets, with descriptors in
// them, over a Unix socket in a folder that both see. It is never needed: where the socket cannot be had there is no
// channel, and both go on without.
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
	// maxPacketBytes is more than any packet has: a connection's is some hundred bytes, a first line has 4 KiB at most.
	maxPacketBytes = 32 << 10
	// maxFilesPerPacket is how many descriptors come with a packet: a client's and a server's.
	maxFilesPerPacket = 2
	// writeTimeout is how long a packet may wait for the other side; one that reads nothing is as good as gone.
	writeTimeout = 500 * time.Millisecond
	// dialTimeout bounds the search for a process that runs already.
	dialTimeout = time.Second
	// sendRetryTimeout is how long a packet is sent again that failed for a moment: its sender's loop waits meanwhile.
	sendRetryTimeout = 50 * time.Millisecond
)

// Conn leads to the other process. One goroutine may send while another receives.
type Conn struct{ conn *net.UnixConn }

// Send sends a packet. The descriptors stay the caller's.
func (c *Conn) Send(packet []byte, files ...int) error {
	if len(packet) > maxPacketBytes {
		return fmt.Errorf("a packet of %d bytes is too large", len(packet))
	}
	_ = c.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	ctx, cancel := context.WithTimeout(context.Background(), sendRetryTimeout)
	defer cancel()
	return transient.Retry(ctx, transient.Backoff{Initial: time.Millisecond, Max: sendRetryTimeout / 4}, transient.IsResourceShortage, func() error {
		_, _, err := c.conn.WriteMsgUnix(packet, syscall.UnixRights(files...), nil)
		return err
	})
}

// Receive waits for a packet. The descriptors are the caller's.
func (c *Conn) Receive() (packet []byte, files []*os.File, err error) {
	b, side := make([]byte, maxPacketBytes), make([]byte, syscall.CmsgSpace(4*maxFilesPerPacket))
	n, extra, flags, _, err := c.conn.ReadMsgUnix(b, side)
	if err != nil {
		return nil, nil, err
	}
	if n == 0 {
		return nil, nil, net.ErrClosed
	}
	messages, err := syscall.ParseSocketControlMessage(side[:extra])
	if err != nil {
		return nil, nil, err
	}
	for _, m := range messages {
		fds, err := syscall.ParseUnixRights(&m)
		if err != nil {
			continue // credentials or the like
		}
		for _, fd := range fds {
			files = append(files, os.NewFile(uintptr(fd), "passed on"))
		}
	}
	if flags&(syscall.MSG_TRUNC|syscall.MSG_CTRUNC) != 0 {
		for _, f := range files {
			_ = f.Close()
		}
		return nil, nil, errors.New("a packet came in part")
	}
	return b[:n], files, nil
}

// Close ends the channel; the other side's Receive ends with it.
func (c *Conn) Close() { _ = c.conn.Close() }

// Dial leads to the process that runs already.
func Dial(folder string) (*Conn, error) {
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	var conn net.Conn
	err := transient.Retry(ctx, transient.Backoff{Initial: time.Millisecond, Max: 50 * time.Millisecond}, transient.IsResourceShortage, func() (err error) {
		conn, err = new(net.Dialer).DialContext(ctx, "unixpacket", filepath.Join(folder, socketName))
		return err
	})
	if err != nil {
		return nil, err
	}
	return &Conn{conn.(*net.UnixConn)}, nil
}

// Listener is where the next process finds this one.
type Listener struct {
	listener *net.UnixListener
	path     string
}

// Listen makes this process the one that is found, in the place of whoever was before, and hands over each channel
// that is opened to it.
func Listen(folder string, log *slog.Logger, heir func(*Conn)) (*Listener, error) {
	own := filepath.Join(folder, fmt.Sprintf("%s.%d", socketName, os.Getpid()))
	if err := os.Remove(own); err != nil && !errors.Is(err, os.ErrNotExist) {
		return nil, err // what is left of one with this number
	}
	l, err := net.ListenUnix("unixpacket", &net.UnixAddr{Name: own, Net: "unixpacket"})
	if err != nil {
		return nil, err
	}
	l.SetUnlinkOnClose(false) // by then the name may be the next one's
	s := &Listener{l, filepath.Join(folder, socketName)}
	// At once, as there is no moment without a name.
	if err := errors.Join(os.Chmod(own, 0o600), os.Rename(own, s.path)); err != nil {
		_ = l.Close()
		_ = os.Remove(own)
		return nil, err
	}
	go func() {
		door := listen.NewListener(l, log)
		for {
			conn, err := door.Accept()
			if err != nil { // it was left or retired
				_ = l.Close()
				return
			}
			heir(&Conn{conn.(*net.UnixConn)})
		}
	}()
	return s, nil
}

// closeGracePeriod is far more than it takes to accept who has come already.
const closeGracePeriod = time.Second

// CloseGracefully gives the seat up for another of the same process, and hands over who has found it until then. Guards against a
// process that comes in the moment of the change: its channel waited unaccepted, and it never was heard.
func (s *Listener) CloseGracefully() { _ = s.listener.SetDeadline(time.Now().Add(closeGracePeriod)) }

// Close gives the seat up. The name stays, for it may be another's; one at which nobody listens is refused.
func (s *Listener) Close() { _ = s.listener.Close() }
