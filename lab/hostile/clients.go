package hostile

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strings"
	"sync/atomic"
	"time"
)

// Kind is a kind of hostile clients.
type Kind struct {
	Name        string
	Description string
	Clients     int // how many there are at a time
	// run is one client, which comes again and again until ctx ends.
	run func(ctx context.Context, c *client)
}

// Kinds are the kinds of hostile clients.
var Kinds = []Kind{
	{"quiet", "none: the ordinary load alone", 1, runQuiet},
	{"resets", "connect and reset at once", 4, runResets},
	{"leavers", "send a whole request and leave in the same instant, half of them by a reset", 50, runLeavers},
	{"large", "send requests of just under 4 KiB, of few long fields or many short ones", 100, runLarge},
	{"slow", "send a request byte by byte, or stop before its end", 500, runSlow},
	{"deaf", "established, write 4 KB lines to servers that do not read", 90, runDeaf},
	{"unknown", "ask for a class that does not exist, each time in a new group", 8, runUnknown},
	{"lines", "established, write 3-byte lines at full speed and read the answers", 1, runLines},
	{"hoarder", "established, write lines at full speed, read nothing and close with much unread", 8, runHoarder},
	{"repeats", "leave while a once-only request runs, and send it again under the same id", 4, runRepeats},
}

// client is one hostile client.
type client struct {
	address    string
	random     *rand.Rand
	lastID     *atomic.Uint64
	operations *atomic.Int64 // what the clients of a kind have done: connections, or lines
}

// dial connects to the proxy. The connection ends with ctx.
func (c *client) dial(ctx context.Context) (*net.TCPConn, error) {
	conn, err := new(net.Dialer).DialContext(ctx, "tcp", c.address)
	if err != nil {
		pause(ctx, time.Millisecond)
		return nil, err
	}
	context.AfterFunc(ctx, func() { _ = conn.Close() })
	return conn.(*net.TCPConn), nil
}

// open returns an OPEN line with the given fields.
func (c *client) open(fields string) string {
	return fmt.Sprintf("OPEN %x %x %s\r\n", c.lastID.Add(1), c.random.Uint64()|1, fields)
}

// pause waits, until ctx ends at the latest.
func pause(ctx context.Context, span time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(span):
	}
}

// reset closes a connection with a reset.
func reset(conn *net.TCPConn) {
	_ = conn.SetLinger(0)
	_ = conn.Close()
}

// drain reads what the proxy sends until it closes the connection.
func drain(conn net.Conn, within time.Duration) {
	_ = conn.SetReadDeadline(time.Now().Add(within))
	_, _ = io.Copy(io.Discard, conn)
	_ = conn.Close()
}

// runQuiet does nothing, once.
func runQuiet(ctx context.Context, c *client) {
	c.operations.Add(1)
	<-ctx.Done()
}

func runResets(ctx context.Context, c *client) {
	for ctx.Err() == nil {
		if conn, err := c.dial(ctx); err == nil {
			reset(conn)
			c.operations.Add(1)
		}
	}
}

func runLeavers(ctx context.Context, c *client) {
	for n := 0; ctx.Err() == nil; n++ {
		conn, err := c.dial(ctx)
		if err != nil {
			continue
		}
		_, _ = io.WriteString(conn, c.open("c=chat,d=500"))
		if n%2 == 0 {
			reset(conn)
		} else {
			_ = conn.Close()
		}
		c.operations.Add(1)
	}
}

func runLarge(ctx context.Context, c *client) {
	const length = 4000
	var long, short strings.Builder
	for n := 0; long.Len() < length; n++ {
		fmt.Fprintf(&long, ",f%d=%s", n, strings.Repeat("v", 58))
	}
	for n := 0; short.Len() < length; n++ {
		fmt.Fprintf(&short, ",%c%d=", 'f'+n%10, n/10)
	}
	for n := 0; ctx.Err() == nil; n++ {
		conn, err := c.dial(ctx)
		if err != nil {
			continue
		}
		fields := long.String()
		if n%2 == 0 {
			fields = short.String()
		}
		_, _ = io.WriteString(conn, c.open("c=chat,d=500"+fields[:length]))
		c.operations.Add(1)
		drain(conn, 300*time.Millisecond)
	}
}

func runSlow(ctx context.Context, c *client) {
	stops := c.random.IntN(2) == 0
	line := c.open("c=chat,d=500,f=" + strings.Repeat("v", 3950))
	for ctx.Err() == nil {
		conn, err := c.dial(ctx)
		if err != nil {
			continue
		}
		c.operations.Add(1)
		if stops {
			_, _ = io.WriteString(conn, line[:3990])
			drain(conn, 5*time.Second)
			continue
		}
		for n := 0; n < len(line) && ctx.Err() == nil; n++ {
			if _, err := io.WriteString(conn, line[n:n+1]); err != nil {
				break
			}
			pause(ctx, 20*time.Millisecond)
		}
		_ = conn.Close()
	}
}

func runDeaf(ctx context.Context, c *client) {
	text := []byte(strings.Repeat("m", 4000) + "\r\n")
	c.standing(ctx, "c=chat,d=500,"+deafField, func(conn *net.TCPConn, reader *bufio.Reader) {
		go func() { _, _ = io.Copy(io.Discard, reader) }()
		for ctx.Err() == nil {
			_ = conn.SetWriteDeadline(time.Now().Add(2 * time.Second))
			if _, err := conn.Write(text); err != nil {
				return
			}
			c.operations.Add(1)
			pause(ctx, time.Millisecond)
		}
	})
}

func runUnknown(ctx context.Context, c *client) {
	for ctx.Err() == nil {
		conn, err := c.dial(ctx)
		if err != nil {
			continue
		}
		_, _ = io.WriteString(conn, c.open(fmt.Sprintf("c=none%x,g=%x,d=500", c.random.Uint64(), c.random.Uint64())))
		c.operations.Add(1)
		drain(conn, 300*time.Millisecond)
	}
}

func runLines(ctx context.Context, c *client) {
	text := []byte(strings.Repeat("m\r\n", 4096))
	c.standing(ctx, "c=chat,d=500", func(conn *net.TCPConn, reader *bufio.Reader) {
		go func() { _, _ = io.Copy(io.Discard, reader) }()
		for ctx.Err() == nil {
			if _, err := conn.Write(text); err != nil {
				return
			}
			c.operations.Add(4096)
		}
	})
}

func runHoarder(ctx context.Context, c *client) {
	text := []byte(strings.Repeat("m\r\n", 4096))
	c.standing(ctx, "c=chat,d=500", func(conn *net.TCPConn, _ *bufio.Reader) {
		for ctx.Err() == nil {
			_ = conn.SetWriteDeadline(time.Now().Add(200 * time.Millisecond))
			if _, err := conn.Write(text); err != nil {
				return
			}
			c.operations.Add(4096)
		}
	})
}

// standing has connections established one after the other, and uses each until use returns.
func (c *client) standing(ctx context.Context, fields string, use func(*net.TCPConn, *bufio.Reader)) {
	for ctx.Err() == nil {
		conn, err := c.dial(ctx)
		if err != nil {
			continue
		}
		_, _ = io.WriteString(conn, c.open(fields))
		reader := bufio.NewReader(conn)
		_ = conn.SetReadDeadline(time.Now().Add(2 * time.Second))
		if line, err := reader.ReadString('\n'); err == nil && strings.HasPrefix(line, "UP ") {
			_ = conn.SetReadDeadline(time.Time{})
			use(conn, reader)
		}
		_ = conn.Close()
		pause(ctx, 5*time.Millisecond)
	}
}

func runRepeats(ctx context.Context, c *client) {
	for ctx.Err() == nil {
		line := c.open("c=pay,d=1000," + slowField)
		for range 2 {
			conn, err := c.dial(ctx)
			if err != nil {
				break
			}
			_, _ = io.WriteString(conn, line)
			pause(ctx, 100*time.Millisecond)
			_ = conn.Close()
			pause(ctx, 50*time.Millisecond)
		}
		c.operations.Add(1)
	}
}
