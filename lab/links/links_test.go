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

// startEchoService starts a service on machine b that echoes all data, with a relay to it, and returns the relay's address.
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
	address, err := n.AddRelay("b", "127.6.1.2:0", l.Addr().String())
	require.NoError(t, err)
	t.Cleanup(func() { n.Close(); _ = l.Close() })
	return n, address
}

// echoClient is a connection from machine a to the echo service.
type echoClient struct {
	*testing.T
	net.Conn
	*bufio.Reader
}

func dial(t *testing.T, address string) *echoClient {
	c, err := (&net.Dialer{LocalAddr: &net.TCPAddr{IP: addrA.AsSlice()}}).Dial("tcp", address)
	require.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	return &echoClient{t, c, bufio.NewReader(c)}
}

// roundTrip sends a line and returns how long it took until the echo arrived, or an error if none arrived within the timeout.
func (c *echoClient) roundTrip(timeout time.Duration) (time.Duration, error) {
	startedAt := time.Now()
	_, err := io.WriteString(c.Conn, "x\n")
	require.NoError(c, err)
	require.NoError(c, c.SetReadDeadline(startedAt.Add(timeout)))
	_, err = c.ReadString('\n')
	return time.Since(startedAt), err
}

const replyTimeout = 20 * time.Second // far longer than a busy host needs

func TestCutDirectionIsSilentAndDeliversWhenTheCutIsOver(t *testing.T) {
	n, address := startEchoService(t)
	c := dial(t, address)
	_, err := c.roundTrip(replyTimeout)
	require.NoError(t, err)
	for _, direction := range [][2]string{{"a", "b"}, {"b", "a"}} {
		n.SetImpairment(direction[0], direction[1], links.Impairment{Cut: true})
		_, err = c.roundTrip(100 * time.Millisecond)
		require.ErrorIs(t, err, os.ErrDeadlineExceeded, "nothing is delivered and the connection does not end")
		n.SetImpairment(direction[0], direction[1], links.Impairment{})
		require.NoError(t, c.SetReadDeadline(time.Now().Add(replyTimeout)))
		_, err = c.ReadString('\n')
		require.NoError(t, err)
	}
}

func TestNewConnectionDuringACutWaitsUntilItIsOver(t *testing.T) {
	n, address := startEchoService(t)
	n.SetImpairment("b", "a", links.Impairment{Cut: true})
	c := dial(t, address)
	_, err := c.roundTrip(100 * time.Millisecond)
	require.ErrorIs(t, err, os.ErrDeadlineExceeded)
	n.SetBothDirections("a", "b", links.Impairment{})
	require.NoError(t, c.SetReadDeadline(time.Now().Add(replyTimeout)))
	_, err = c.ReadString('\n')
	require.NoError(t, err)
}

func TestDelayLossAndRateLimitDelayALine(t *testing.T) {
	n, address := startEchoService(t)
	c := dial(t, address)
	n.SetBothDirections("a", "b", links.Impairment{Delay: 40 * time.Millisecond, Jitter: 10 * time.Millisecond})
	took, err := c.roundTrip(replyTimeout)
	require.NoError(t, err)
	require.GreaterOrEqual(t, took, 80*time.Millisecond)
	n.SetBothDirections("a", "b", links.Impairment{LossProbability: 1})
	took, err = c.roundTrip(replyTimeout)
	require.NoError(t, err)
	require.GreaterOrEqual(t, took, 2*1400*time.Millisecond, "three retransmissions in each direction, after 0.2, 0.4 and 0.8 s")
	n.SetBothDirections("a", "b", links.Impairment{BytesPerSecond: 20})
	took, err = c.roundTrip(replyTimeout)
	require.NoError(t, err)
	require.GreaterOrEqual(t, took, 200*time.Millisecond, "two bytes in each direction at 20 bytes/s")
}

func TestResetEndsConnectionsAndIdleTimeoutSilencesThem(t *testing.T) {
	n, address := startEchoService(t)
	c := dial(t, address)
	_, err := c.roundTrip(replyTimeout)
	require.NoError(t, err)
	n.ResetConnections("b", "a")
	require.NoError(t, c.SetReadDeadline(time.Now().Add(replyTimeout)))
	_, err = c.ReadString('\n')
	require.ErrorIs(t, err, syscall.ECONNRESET)

	c = dial(t, address)
	_, err = c.roundTrip(replyTimeout)
	require.NoError(t, err)
	n.SetBothDirections("a", "b", links.Impairment{IdleTimeout: time.Nanosecond})
	_, err = c.roundTrip(100 * time.Millisecond)
	require.ErrorIs(t, err, os.ErrDeadlineExceeded)
	n.SetBothDirections("a", "b", links.Impairment{})
	_, err = c.roundTrip(100 * time.Millisecond)
	require.ErrorIs(t, err, os.ErrDeadlineExceeded, "it stays silent without the idle timeout, too")
}

func TestUnknownCallerIsReset(t *testing.T) {
	_, address := startEchoService(t)
	c, err := net.Dial("tcp", address)
	if err == nil {
		defer c.Close()
		require.NoError(t, c.SetReadDeadline(time.Now().Add(replyTimeout)))
		_, err = c.Read(make([]byte, 1))
	}
	require.ErrorIs(t, err, syscall.ECONNRESET)
}

// BenchmarkLine measures the round-trip time of a line with and without a relay, and the CPU time per line:
// go test ./lab/links -run '^$' -bench Line -benchtime 2000x
func BenchmarkLine(b *testing.B) {
	for _, relayed := range []bool{false, true} {
		b.Run(map[bool]string{false: "straight", true: "relayed"}[relayed], func(b *testing.B) {
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
			n, address := links.New(1), l.Addr().String()
			defer n.Close()
			if relayed {
				address, err = n.AddRelayBetween("a", "b", address)
				require.NoError(b, err)
			}
			c, err := net.Dial("tcp", address)
			require.NoError(b, err)
			defer c.Close()
			line, roundTrips := make([]byte, 64), make([]time.Duration, b.N)
			var before, after syscall.Rusage
			require.NoError(b, syscall.Getrusage(syscall.RUSAGE_SELF, &before))
			for i := range b.N {
				time.Sleep(time.Millisecond) // the lines are separate, as heartbeats are
				startedAt := time.Now()
				_, err := c.Write(line)
				require.NoError(b, err)
				_, err = io.ReadFull(c, line)
				require.NoError(b, err)
				roundTrips[i] = time.Since(startedAt)
			}
			require.NoError(b, syscall.Getrusage(syscall.RUSAGE_SELF, &after))
			slices.Sort(roundTrips)
			cpu := func(u syscall.Rusage) float64 { return float64(u.Utime.Nano()+u.Stime.Nano()) / 1000 }
			b.ReportMetric(float64(roundTrips[b.N/2].Nanoseconds())/1000, "p50-us")
			b.ReportMetric(float64(roundTrips[b.N*99/100].Nanoseconds())/1000, "p99-us")
			b.ReportMetric((cpu(after)-cpu(before))/float64(b.N), "cpu-us/line")
			b.ReportMetric(0, "ns/op")
		})
	}
}
