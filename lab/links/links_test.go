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

var addrA, addrB = netip.MustParseAddr("127.6.0.1"), netip.MustParseAddr("127.6.0.2")

// startEchoService is a machine's service that says each line back.
func startEchoService(t *testing.T) (*links.Network, string) {
	n := links.New(1)
	n.AddMachine("a", addrA)
	n.AddMachine("b", addrB)
	l, err := net.Listen("tcp", addrB.String()+":0")
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
	at, err := n.AddRelay("b", "127.6.1.2:0", l.Addr().String())
	require.NoError(t, err)
	t.Cleanup(func() { n.Close(); _ = l.Close() })
	return n, at
}

type echoClient struct {
	*testing.T
	net.Conn
	*bufio.Reader
}

func dial(t *testing.T, at string) *echoClient {
	c, err := (&net.Dialer{LocalAddr: &net.TCPAddr{IP: addrA.AsSlice()}}).Dial("tcp", at)
	require.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	return &echoClient{t, c, bufio.NewReader(c)}
}

// roundTrip sends a line and tells how long it took until it was back.
func (l *echoClient) roundTrip(within time.Duration) (time.Duration, error) {
	began := time.Now()
	_, err := io.WriteString(l.Conn, "x\n")
	require.NoError(l, err)
	require.NoError(l, l.SetReadDeadline(began.Add(within)))
	_, err = l.ReadString('\n')
	return time.Since(began), err
}

const replyTimeout = 20 * time.Second // far longer than a busy machine needs

func TestWhatIsCutOneWayIsSilentAndComesOnceTheCutIsOver(t *testing.T) {
	n, at := startEchoService(t)
	l := dial(t, at)
	_, err := l.roundTrip(replyTimeout)
	require.NoError(t, err)
	for _, way := range [][2]string{{"a", "b"}, {"b", "a"}} {
		n.SetImpairment(way[0], way[1], links.Impairment{Cut: true})
		_, err = l.roundTrip(100 * time.Millisecond)
		require.ErrorIs(t, err, os.ErrDeadlineExceeded, "nothing comes, and nothing ends")
		n.SetImpairment(way[0], way[1], links.Impairment{})
		require.NoError(t, l.SetReadDeadline(time.Now().Add(replyTimeout)))
		_, err = l.ReadString('\n')
		require.NoError(t, err)
	}
}

func TestANewConnectionThroughACutWaitsUntilItIsOver(t *testing.T) {
	n, at := startEchoService(t)
	n.SetImpairment("b", "a", links.Impairment{Cut: true})
	l := dial(t, at)
	_, err := l.roundTrip(100 * time.Millisecond)
	require.ErrorIs(t, err, os.ErrDeadlineExceeded)
	n.SetBothDirections("a", "b", links.Impairment{})
	require.NoError(t, l.SetReadDeadline(time.Now().Add(replyTimeout)))
	_, err = l.ReadString('\n')
	require.NoError(t, err)
}

func TestDelayLossAndANarrowLinkHoldALineUpAndKeepTheOrder(t *testing.T) {
	n, at := startEchoService(t)
	l := dial(t, at)
	n.SetBothDirections("a", "b", links.Impairment{Delay: 40 * time.Millisecond, Jitter: 10 * time.Millisecond})
	took, err := l.roundTrip(replyTimeout)
	require.NoError(t, err)
	require.GreaterOrEqual(t, took, 80*time.Millisecond)
	n.SetBothDirections("a", "b", links.Impairment{LossProbability: 1})
	took, err = l.roundTrip(replyTimeout)
	require.NoError(t, err)
	require.GreaterOrEqual(t, took, 2*1400*time.Millisecond, "sent again three times each way: 0.2, 0.4 and 0.8 s")
	n.SetBothDirections("a", "b", links.Impairment{BytesPerSecond: 20})
	took, err = l.roundTrip(replyTimeout)
	require.NoError(t, err)
	require.GreaterOrEqual(t, took, 200*time.Millisecond, "two bytes each way at twenty a second")
}

func TestAResetEndsConnectionsAndAnIdleOneDiesInSilence(t *testing.T) {
	n, at := startEchoService(t)
	l := dial(t, at)
	_, err := l.roundTrip(replyTimeout)
	require.NoError(t, err)
	n.ResetConnections("b", "a")
	require.NoError(t, l.SetReadDeadline(time.Now().Add(replyTimeout)))
	_, err = l.ReadString('\n')
	require.ErrorIs(t, err, syscall.ECONNRESET)

	l = dial(t, at)
	_, err = l.roundTrip(replyTimeout)
	require.NoError(t, err)
	n.SetBothDirections("a", "b", links.Impairment{IdleTimeout: time.Nanosecond})
	_, err = l.roundTrip(100 * time.Millisecond)
	require.ErrorIs(t, err, os.ErrDeadlineExceeded)
	n.SetBothDirections("a", "b", links.Impairment{})
	_, err = l.roundTrip(100 * time.Millisecond)
	require.ErrorIs(t, err, os.ErrDeadlineExceeded, "and does not come back")
}

func TestAStrangerIsBrokenOff(t *testing.T) {
	_, at := startEchoService(t)
	c, err := net.Dial("tcp", at)
	if err == nil {
		defer c.Close()
		require.NoError(t, c.SetReadDeadline(time.Now().Add(replyTimeout)))
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
				at, err = n.AddRelayBetween("a", "b", at)
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
