package fleet_test

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hatchproxy/lab/fleet"
	"hatchproxy/lab/ledger"
)

const (
	ms     = ledger.Millisecond
	second = ledger.Second
)

// startFleet starts a fleet of three servers in one zone. Requests take no time unless change or a trouble says otherwise.
func startFleet(t *testing.T, change func(*fleet.Config)) (*fleet.Fleet, *ledger.EventLog) {
	t.Helper()
	config := fleet.Config{ServerCount: 3, Zones: []string{"a"}, MachineKinds: []fleet.MachineKind{{Name: "m", Share: 1, Cores: 2, Speed: 1}}, AnswersProbes: true}
	if change != nil {
		change(&config)
	}
	eventLog := ledger.NewEventLog()
	f, err := fleet.Start(eventLog, config, 3)
	require.NoError(t, err)
	t.Cleanup(f.Stop)
	return f, eventLog
}

// proxyConn is a connection to a server, like a proxy's.
type proxyConn struct {
	*testing.T
	net.Conn
	reader *bufio.Reader
}

func (c *proxyConn) readLine() (string, error) {
	require.NoError(c.T, c.SetReadDeadline(time.Now().Add(5*time.Second)))
	line, err := c.reader.ReadString('\n')
	return strings.TrimSuffix(line, "\r\n"), err
}

func (c *proxyConn) send(line string) {
	_, err := c.Write([]byte(line))
	require.NoError(c.T, err)
}

func dial(t *testing.T, f *fleet.Fleet, server int) *proxyConn {
	t.Helper()
	c, err := net.DialTimeout("tcp", f.Addresses(0)[server], time.Second)
	require.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	return &proxyConn{t, c, bufio.NewReader(c)}
}

// dialAndOpen connects to a server and sends a request.
func dialAndOpen(t *testing.T, f *fleet.Fleet, server int) *proxyConn {
	t.Helper()
	c := dial(t, f, server)
	c.send("OPEN 1 2 c=chat,d=900,g=5\r\n")
	return c
}

// firstServerTrouble is a trouble of the first server.
func firstServerTrouble(kind string, size float64) fleet.ScheduledTrouble {
	return fleet.ScheduledTrouble{Trouble: fleet.Trouble{Kind: kind, Duration: second, Targets: []int{0}, Size: size}}
}

func TestServerFollowsTheProtocol(t *testing.T) {
	f, _ := startFleet(t, nil)
	c := dial(t, f, 0)
	c.send("PING\r\n")
	answer, err := c.readLine()
	require.NoError(t, err)
	require.Equal(t, "PONG", answer)
	c.send("STATS\r\n")
	answer, _ = c.readLine()
	require.Regexp(t, `^PONG use=0\.000 standing=0$`, answer)
	c.send("OPEN 1 2 c=chat,d=900\r\n")
	answer, _ = c.readLine()
	require.Regexp(t, "^UP s000-1$", answer)
	bad := dial(t, f, 0)
	bad.send("HELLO\r\n")
	answer, _ = bad.readLine()
	require.Equal(t, "SYNTAX", answer)
	_, err = bad.readLine()
	require.ErrorIs(t, err, io.EOF)
}

// Guards against replies in a wrong order: timers that are due at the same time fire in any order.
func TestRepliesKeepTheOrderOfMessages(t *testing.T) {
	f, eventLog := startFleet(t, func(config *fleet.Config) { config.MessageTime = 3 * ms })
	c := dialAndOpen(t, f, 0)
	_, _ = c.readLine()
	const lines = 2000
	go func() {
		for n := int64(1); n <= lines; n++ {
			_, _ = c.Write([]byte(fleet.FormatLine("M", n, int64(eventLog.Now()))))
		}
	}()
	for n := int64(1); n <= lines; n++ {
		line, err := c.readLine()
		require.NoError(t, err)
		numbers, ok := fleet.ParseLine(line, "R", 3)
		require.True(t, ok, line)
		require.Equal(t, []int64{n, n}, numbers[:2])
	}
	for _, e := range eventLog.Events() {
		require.NotContains(t, []ledger.Kind{ledger.LineLost, ledger.LineDuplicated, ledger.LineChanged}, e.Kind, "%s", e)
	}
}

func TestServerTroublesTakeEffectAndEnd(t *testing.T) {
	refused := func(t *testing.T, f *fleet.Fleet) {
		_, err := net.DialTimeout("tcp", f.Addresses(0)[0], time.Second)
		require.ErrorIs(t, err, syscall.ECONNREFUSED)
	}
	silent := func(t *testing.T, f *fleet.Fleet) {
		c := dialAndOpen(t, f, 0)
		require.NoError(t, c.SetReadDeadline(time.Now().Add(150*time.Millisecond)))
		_, err := c.reader.ReadByte()
		require.ErrorIs(t, err, os.ErrDeadlineExceeded)
	}
	for kind, want := range map[string]struct {
		size  float64
		check func(t *testing.T, f *fleet.Fleet)
	}{
		"hang": {0, silent},
		"errors": {1, func(t *testing.T, f *fleet.Fleet) {
			answer, _ := dialAndOpen(t, f, 0).readLine()
			require.Equal(t, "ERR", answer)
		}},
		"resets": {1, func(t *testing.T, f *fleet.Fleet) {
			_, err := dialAndOpen(t, f, 0).readLine()
			require.ErrorIs(t, err, syscall.ECONNRESET)
		}},
		"refuse":  {0, refused},
		"restart": {0, refused},
		"vanish": {0, func(t *testing.T, f *fleet.Fleet) {
			_, err := net.DialTimeout("tcp", f.Addresses(0)[0], 200*time.Millisecond)
			var netErr net.Error
			require.True(t, errors.As(err, &netErr) && netErr.Timeout(), "the connection is neither accepted nor refused: %v", err)
		}},
		"store": {120, func(t *testing.T, f *fleet.Fleet) {
			start := time.Now()
			_, _ = dialAndOpen(t, f, 0).readLine()
			require.GreaterOrEqual(t, time.Since(start), 120*time.Millisecond)
		}},
		"mute": {0, func(t *testing.T, f *fleet.Fleet) {
			c := dialAndOpen(t, f, 0)
			require.NoError(t, c.SetReadDeadline(time.Now().Add(150*time.Millisecond)))
			line, err := c.reader.ReadString('\n')
			require.ErrorIs(t, err, os.ErrDeadlineExceeded)
			require.True(t, strings.HasPrefix(line, "UP"), "half of the UP line: %q", line)
		}},
	} {
		t.Run(kind, func(t *testing.T) {
			t.Parallel()
			f, _ := startFleet(t, nil)
			trouble := firstServerTrouble(kind, want.size)
			require.NoError(t, f.BeginTrouble(trouble))
			want.check(t, f)
			require.NoError(t, f.EndTrouble(trouble))
			answer, err := dialAndOpen(t, f, 0).readLine()
			require.NoError(t, err)
			require.True(t, strings.HasPrefix(answer, "UP "), "the server works again after the trouble")
		})
	}
}

func TestConnectionsOfAVanishedServerAreSilentAndAreResetWhenItIsBack(t *testing.T) {
	f, eventLog := startFleet(t, nil)
	c := dialAndOpen(t, f, 0)
	_, _ = c.readLine()
	trouble := firstServerTrouble("vanish", 0)
	require.NoError(t, f.BeginTrouble(trouble))
	c.send(fleet.FormatLine("M", 1, int64(eventLog.Now())))
	require.NoError(t, c.SetReadDeadline(time.Now().Add(150*time.Millisecond)))
	_, err := c.reader.ReadByte()
	require.ErrorIs(t, err, os.ErrDeadlineExceeded)
	require.NoError(t, f.EndTrouble(trouble))
	_, err = c.readLine()
	require.ErrorIs(t, err, syscall.ECONNRESET)
}

func TestDrainingServerMovesItsClientsThenStopsAndStartsCold(t *testing.T) {
	f, _ := startFleet(t, func(config *fleet.Config) {
		config.MovesClientsOnDrain = true
		config.ColdStart = fleet.ColdStart{InitialShare: 0.5, WarmUpTime: 5 * second, OverloadMultiple: 4, OverloadWindow: second}
	})
	discovery, err := f.StartDiscovery(0, 0)
	require.NoError(t, err)
	c := dialAndOpen(t, f, 0)
	_, _ = c.readLine()
	trouble := firstServerTrouble("drain", 0.2)
	trouble.Duration = second / 2
	require.NoError(t, f.BeginTrouble(trouble))
	require.Equal(t, "draining", currentList(t, discovery)["s000"].State)
	answer, _ := c.readLine()
	require.Equal(t, "MOVE", answer)
	require.NoError(t, f.EndTrouble(trouble))
	require.NotContains(t, currentList(t, discovery), "s000")
	require.Eventually(t, func() bool { return currentList(t, discovery)["s000"].State == "ready" }, 5*time.Second, 10*time.Millisecond)
	require.InDelta(t, time.Now().UnixMilli(), currentList(t, discovery)["s000"].BootMS, 5000, "the list shows when the server started")
}

// listedServer is a server's entry on the list.
type listedServer struct {
	UID, State string
	BootMS     int64 `json:"boot_ms"`
}

// currentList requests the whole list, by server UID.
func currentList(t *testing.T, discovery *fleet.DiscoveryServer) map[string]listedServer {
	t.Helper()
	_, list := requestList(t, discovery, "")
	return list
}

// requestList requests the list with a query, and returns its version and entries. The version is -1 if there is no valid answer.
func requestList(t *testing.T, discovery *fleet.DiscoveryServer, query string) (int64, map[string]listedServer) {
	t.Helper()
	resp, err := http.Get(fmt.Sprintf("http://%s/v1/servers%s", discovery.Address(), query))
	require.NoError(t, err)
	defer resp.Body.Close()
	var answer struct {
		Rev     *int64
		Targets []listedServer
	}
	if resp.StatusCode != http.StatusOK || json.NewDecoder(resp.Body).Decode(&answer) != nil || answer.Rev == nil {
		return -1, nil
	}
	list := map[string]listedServer{}
	for _, e := range answer.Targets {
		list[e.UID] = e
	}
	return *answer.Rev, list
}

func TestDiscoveryTroublesTakeEffectAndEnd(t *testing.T) {
	f, eventLog := startFleet(t, nil)
	discovery, err := f.StartDiscovery(0, 0)
	require.NoError(t, err)
	rev, list := requestList(t, discovery, "")
	require.Len(t, list, 3)
	require.EqualValues(t, 3, rev)

	delayed := firstServerTrouble("list-late", 0.3)
	require.NoError(t, f.BeginTrouble(delayed))
	start := time.Now()
	require.NoError(t, f.BeginTrouble(firstServerTrouble("drain", 0)))
	rev, _ = requestList(t, discovery, "")
	require.EqualValues(t, 3, rev)
	rev, list = requestList(t, discovery, "?from=3&hold_ms=4000")
	require.EqualValues(t, 4, rev, "a long poll is answered once the change is visible")
	require.Equal(t, map[string]listedServer{"s000": {"s000", "draining", 0}}, list, "the answer has only the changes")
	require.GreaterOrEqual(t, time.Since(start), 300*time.Millisecond)
	require.NoError(t, f.EndTrouble(delayed))

	frozen := firstServerTrouble("list-frozen", 0)
	require.NoError(t, f.BeginTrouble(frozen))
	require.NoError(t, f.EndTrouble(firstServerTrouble("drain", 0)))
	require.Contains(t, currentList(t, discovery), "s000")
	require.NoError(t, f.EndTrouble(frozen))
	require.NotContains(t, currentList(t, discovery), "s000")

	for _, kind := range []string{"list-down", "list-garbage"} {
		require.NoError(t, f.BeginTrouble(firstServerTrouble(kind, 0)))
		rev, _ = requestList(t, discovery, "")
		if kind == "list-down" {
			require.EqualValues(t, -1, rev)
		}
		require.NoError(t, f.EndTrouble(firstServerTrouble(kind, 0)))
		require.Len(t, currentList(t, discovery), 2)
	}
	old := discovery.Address()
	require.NoError(t, discovery.MoveAddress(50*time.Millisecond))
	require.NotEqual(t, old, discovery.Address())
	require.Len(t, currentList(t, discovery), 2)
	_, err = net.DialTimeout("tcp", old, time.Second)
	require.Error(t, err)

	announced := 0
	for _, e := range eventLog.Events() {
		if e.Kind == ledger.StateAnnounced && e.Server == 0 {
			announced++
		}
	}
	require.Equal(t, 3, announced, "ready, draining and gone are recorded once each, when they are sent to the proxy")
}
