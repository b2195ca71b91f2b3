package links_test

import (
	"bufio"
	"io"
	"net"
	"net/netip"
	"os"
	"slices"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hatchproxy/lab/links"
)

var a, b = netip.MustParseAddr("127.6.0.1"), netip.MustParseAddr("127.6.0.2")

// echo is a machine's service that says each line back.
func echo(t *testing.T) (*links.Net, string) {
	n := links.New(1)
	n.Machine("a", a)
	n.Machine("b", b)
	l, err := net.Listen("tcp", b.String()+":0")
	require.NoError(t, err)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(c, c); _ = c.Close() }()
		}
	}()
	at, err := n.Serve("b", "127.6.1.2:0", l.Addr().String())
	require.NoError(t, err)
	t.Cleanup(func() { n.Close(); _ = l.Close() })
	return n, at
}

type line struct {
	*testing.T
	net.Conn
	*bufio.Reader
}

func dial(t *testing.T, at string) *line {
	c, err := (&net.Dialer{LocalAddr: &net.TCPAddr{IP: a.AsSlice()}}).Dial("tcp", at)
	require.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	return &line{t, c, bufio.NewReader(c)}
}

// says sends a line and tells how long it took until it was back.
func (l *line) says(within time.Duration) (time.Duration, error) {
	began := time.Now()
	_, err := io.WriteString(l.Conn, "x\n")
	require.NoError(l, err)
	require.NoError(l, l.SetReadDeadline(began.Add(within)))
	_, err = l.ReadString('\n')
	return time.Since(began), err
}

const soon = 20 * time.Second // far longer than a busy machine needs

func TestWhatIsCutOneWayIsSilentAndComesOnceTheCutIsOver(t *testing.T) {
	n, at := echo(t)
	l := dial(t, at)
	_, err := l.says(soon)
	require.NoError(t, err)
	for _, way := range [][2]string{{"a", "b"}, {"b", "a"}} {
		n.Set(way[0], way[1], links.Trouble{Cut: true})
		_, err = l.says(100 * time.Millisecond)
		require.ErrorIs(t, err, os.ErrDeadlineExceeded, "nothing comes, and nothing ends")
		n.Set(way[0], way[1], links.Trouble{})
		require.NoError(t, l.SetReadDeadline(time.Now().Add(soon)))
		_, err = l.ReadString('\n')
		require.NoError(t, err)
	}
}

func TestANewConnectionThroughACutWaitsUntilItIsOver(t *testing.T) {
	n, at := echo(t)
	n.Set("b", "a", links.Trouble{Cut: true})
	l := dial(t, at)
	_, err := l.says(100 * time.Millisecond)
	require.ErrorIs(t, err, os.ErrDeadlineExceeded)
	n.Both("a", "b", links.Trouble{})
	require.NoError(t, l.SetReadDeadline(time.Now().Add(soon)))
	_, err = l.ReadString('\n')
	require.NoError(t, err)
}

func TestDelayLossAndANarrowLinkHoldALineUpAndKeepTheOrder(t *testing.T) {
	n, at := echo(t)
	l := dial(t, at)
	n.Both("a", "b", links.Trouble{Delay: 40 * time.Millisecond, Jitter: 10 * time.Millisecond})
	took, err := l.says(soon)
	require.NoError(t, err)
	require.GreaterOrEqual(t, took, 80*time.Millisecond)
	n.Both("a", "b", links.Trouble{Lost: 1})
	took, err = l.says(soon)
	require.NoError(t, err)
	require.GreaterOrEqual(t, took, 2*1400*time.Millisecond, "sent again three times each way: 0.2, 0.4 and 0.8 s")
	n.Both("a", "b", links.Trouble{Rate: 20})
	took, err = l.says(soon)
	require.NoError(t, err)
	require.GreaterOrEqual(t, took, 200*time.Millisecond, "two bytes each way at twenty a second")
}

func TestAResetEndsConnectionsAndAnIdleOneDiesInSilence(t *testing.T) {
	n, at := echo(t)
	l := dial(t, at)
	_, err := l.says(soon)
	require.NoError(t, err)
	n.Reset("b", "a")
	require.NoError(t, l.SetReadDeadline(time.Now().Add(soon)))
	_, err = l.ReadString('\n')
	require.ErrorIs(t, err, syscall.ECONNRESET)

	l = dial(t, at)
	_, err = l.says(soon)
	require.NoError(t, err)
	n.Both("a", "b", links.Trouble{Idle: time.Nanosecond})
	_, err = l.says(100 * time.Millisecond)
	require.ErrorIs(t, err, os.ErrDeadlineExceeded)
	n.Both("a", "b", links.Trouble{})
	_, err = l.says(100 * time.Millisecond)
	require.ErrorIs(t, err, os.ErrDeadlineExceeded, "and does not come back")
}

func TestAStrangerIsBrokenOff(t *testing.T) {
	_, at := echo(t)
	c, err := net.Dial("tcp", at)
	if err == nil {
		defer c.Close()
		require.NoError(t, c.SetReadDeadline(time.Now().Add(soon)))
		_, err = c.Read(make([]byte, 1))
	}
	require.ErrorIs(t, err, syscall.ECONNRESET)
}

// What the relay adds to a line there and back, and what it takes of a core: go test ./lab/links -run '^$' -bench Line -benchtime 2000x
func BenchmarkLine(b *testing.B) {
	for _, through := range []bool{false, true} {
		b.Run(map[bool]string{false: "straight", true: "relayed"}[through], func(b *testing.B) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(b, err)
			defer l.Close()
			go func() {
				for {
					c, err := l.Accept()
					if err != nil {
						return
					}
					go func() { _, _ = io.Copy(c, c); _ = c.Close() }()
				}
			}()
			n, at := links.New(1), l.Addr().String()
			defer n.Close()
			if through {
				at, err = n.Way("a", "b", at)
				require.NoError(b, err)
			}
			c, err := net.Dial("tcp", at)
			require.NoError(b, err)
			defer c.Close()
			line, took := make([]byte, 64), make([]time.Duration, b.N)
			var before, after syscall.Rusage
			require.NoError(b, syscall.Getrusage(syscall.RUSAGE_SELF, &before))
			for i := range b.N {
				time.Sleep(time.Millisecond) // lines come apart, as heartbeats do
				began := time.Now()
				_, err := c.Write(line)
				require.NoError(b, err)
				_, err = io.ReadFull(c, line)
				require.NoError(b, err)
				took[i] = time.Since(began)
			}
			require.NoError(b, syscall.Getrusage(syscall.RUSAGE_SELF, &after))
			slices.Sort(took)
			cpu := func(u syscall.Rusage) float64 { return float64(u.Utime.Nano()+u.Stime.Nano()) / 1000 }
			b.ReportMetric(float64(took[b.N/2].Nanoseconds())/1000, "p50-us")
			b.ReportMetric(float64(took[b.N*99/100].Nanoseconds())/1000, "p99-us")
			b.ReportMetric((cpu(after)-cpu(before))/float64(b.N), "cpu-us/line")
			b.ReportMetric(0, "ns/op")
		})
	}
}
