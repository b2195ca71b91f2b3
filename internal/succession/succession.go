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
	name = "hatchproxy.sock"
	// largest is more than any packet has: a connection's is some hundred bytes, a first line has 4 KiB at most.
	largest = 32 << 10
	// mostFiles is how many descriptors come with a packet: a client's and a server's.
	mostFiles = 2
	// writing is how long a packet may wait for the other side; one that reads nothing is as good as gone.
	writing = 500 * time.Millisecond
	// finding bounds the search for a process that runs already.
	finding = time.Second
	// retrying is how long a packet is sent again that failed for a moment: its sender's loop waits meanwhile.
	retrying = 50 * time.Millisecond
)

// Channel leads to the other process. One goroutine may send while another receives.
type Channel struct{ conn *net.UnixConn }

// Send sends a packet. The descriptors stay the caller's.
func (c *Channel) Send(packet []byte, files ...int) error {
	if len(packet) > largest {
		return fmt.Errorf("a packet of %d bytes is too large", len(packet))
	}
	_ = c.conn.SetWriteDeadline(time.Now().Add(writing))
	ctx, cancel := context.WithTimeout(context.Background(), retrying)
	defer cancel()
	return transient.Retry(ctx, transient.Backoff{First: time.Millisecond, Longest: retrying / 4}, transient.OfResources, func() error {
		_, _, err := c.conn.WriteMsgUnix(packet, syscall.UnixRights(files...), nil)
		return err
	})
}

// Receive waits for a packet. The descriptors are the caller's.
func (c *Channel) Receive() (packet []byte, files []*os.File, err error) {
	b, side := make([]byte, largest), make([]byte, syscall.CmsgSpace(4*mostFiles))
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
func (c *Channel) Close() { _ = c.conn.Close() }

// Find leads to the process that runs already.
func Find(folder string) (*Channel, error) {
	ctx, cancel := context.WithTimeout(context.Background(), finding)
	defer cancel()
	var conn net.Conn
	err := transient.Retry(ctx, transient.Backoff{First: time.Millisecond, Longest: 50 * time.Millisecond}, transient.OfResources, func() (err error) {
		conn, err = new(net.Dialer).DialContext(ctx, "unixpacket", filepath.Join(folder, name))
		return err
	})
	if err != nil {
		return nil, err
	}
	return &Channel{conn.(*net.UnixConn)}, nil
}

// Seat is where the next process finds this one.
type Seat struct {
	listener *net.UnixListener
	path     string
}

// Take makes this process the one that is found, in the place of whoever was before, and hands over each channel
// that is opened to it.
func Take(folder string, log *slog.Logger, heir func(*Channel)) (*Seat, error) {
	own := filepath.Join(folder, fmt.Sprintf("%s.%d", name, os.Getpid()))
	if err := os.Remove(own); err != nil && !errors.Is(err, os.ErrNotExist) {
		return nil, err // what is left of one with this number
	}
	l, err := net.ListenUnix("unixpacket", &net.UnixAddr{Name: own, Net: "unixpacket"})
	if err != nil {
		return nil, err
	}
	l.SetUnlinkOnClose(false) // by then the name may be the next one's
	s := &Seat{l, filepath.Join(folder, name)}
	// At once, as there is no moment without a name.
	if err := errors.Join(os.Chmod(own, 0o600), os.Rename(own, s.path)); err != nil {
		_ = l.Close()
		_ = os.Remove(own)
		return nil, err
	}
	go func() {
		door := listen.Keep(l, log)
		for {
			conn, err := door.Accept()
			if err != nil { // it was left or retired
				_ = l.Close()
				return
			}
			heir(&Channel{conn.(*net.UnixConn)})
		}
	}()
	return s, nil
}

// retiring is far more than it takes to accept who has come already.
const retiring = time.Second

// Retire gives the seat up for another of the same process, and hands over who has found it until then. Guards against a
// process that comes in the moment of the change: its channel waited unaccepted, and it never was heard.
func (s *Seat) Retire() { _ = s.listener.SetDeadline(time.Now().Add(retiring)) }

// Leave gives the seat up. The name stays, for it may be another's; one at which nobody listens is refused.
func (s *Seat) Leave() { _ = s.listener.Close() }
