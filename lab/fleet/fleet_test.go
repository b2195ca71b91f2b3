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

// startFleet is a fleet of three servers, quick unless it is troubled.
func startFleet(t *testing.T, change func(*fleet.Config)) (*fleet.Fleet, *ledger.EventLog) {
	t.Helper()
	p := fleet.Config{ServerCount: 3, Zones: []string{"a"}, MachineKinds: []fleet.MachineKind{{Name: "m", Share: 1, Cores: 2, Speed: 1}}, AnswersProbes: true}
	if change != nil {
		change(&p)
	}
	book := ledger.NewEventLog()
	f, err := fleet.Start(book, p, 3)
	require.NoError(t, err)
	t.Cleanup(f.Stop)
	return f, book
}

// proxyConn is a connection to a server, as a proxy would have one.
type proxyConn struct {
	*testing.T
	net.Conn
	reader *bufio.Reader
}

func (t *proxyConn) readLine() (string, error) {
	require.NoError(t.T, t.SetReadDeadline(time.Now().Add(5*time.Second)))
	line, err := t.reader.ReadString('\n')
	return strings.TrimSuffix(line, "\r\n"), err
}

func (t *proxyConn) send(line string) {
	_, err := t.Write([]byte(line))
	require.NoError(t.T, err)
}

func dial(t *testing.T, f *fleet.Fleet, server int) *proxyConn {
	t.Helper()
	c, err := net.DialTimeout("tcp", f.Addresses(0)[server], time.Second)
	require.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	return &proxyConn{t, c, bufio.NewReader(c)}
}

func dialAndOpen(t *testing.T, f *fleet.Fleet, server int) *proxyConn {
	t.Helper()
	c := dial(t, f, server)
	c.send("OPEN 1 2 c=chat,d=900,g=5\r\n")
	return c
}

func firstServerTrouble(kind string, size float64) fleet.ScheduledTrouble {
	return fleet.ScheduledTrouble{Trouble: fleet.Trouble{Kind: kind, Duration: second, Targets: []int{0}, Size: size}}
}

func TestAServerSpeaksTheProtocol(t *testing.T) {
	f, _ := startFleet(t, nil)
	c := dial(t, f, 0)
	c.send("PING\r\n")
	word, err := c.readLine()
	require.NoError(t, err)
	require.Equal(t, "PONG", word)
	c.send("STATS\r\n")
	word, _ = c.readLine()
	require.Regexp(t, `^PONG use=0\.000 standing=0$`, word)
	c.send("OPEN 1 2 c=chat,d=900\r\n")
	word, _ = c.readLine()
	require.Regexp(t, "^UP s000-1$", word)
	bad := dial(t, f, 0)
	bad.send("HELLO\r\n")
	word, _ = bad.readLine()
	require.Equal(t, "SYNTAX", word)
	_, err = bad.readLine()
	require.ErrorIs(t, err, io.EOF)
}

// Guards against answers that overtake each other: timers that are due at once run in any order.
func TestAnswersKeepTheOrderOfTheLines(t *testing.T) {
	f, book := startFleet(t, func(p *fleet.Config) { p.MessageTime = 3 * ms })
	c := dialAndOpen(t, f, 0)
	_, _ = c.readLine()
	const lines = 2000
	go func() {
		for n := int64(1); n <= lines; n++ {
			_, _ = c.Write([]byte(fleet.FormatLine("M", n, int64(book.Now()))))
		}
	}()
	for n := int64(1); n <= lines; n++ {
		line, err := c.readLine()
		require.NoError(t, err)
		numbers, ok := fleet.ParseLine(line, "R", 3)
		require.True(t, ok, line)
		require.Equal(t, []int64{n, n}, numbers[:2])
	}
	for _, e := range book.Events() {
		require.NotContains(t, []ledger.Kind{ledger.LineLost, ledger.LineDuplicated, ledger.LineChanged}, e.Kind, "%s", e)
	}
}

func TestEachTroubleDoesWhatItSaysAndEnds(t *testing.T) {
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
	for kind, c := range map[string]struct {
		size  float64
		check func(t *testing.T, f *fleet.Fleet)
	}{
		"hang": {0, silent},
		"errors": {1, func(t *testing.T, f *fleet.Fleet) {
			word, _ := dialAndOpen(t, f, 0).readLine()
			require.Equal(t, "ERR", word)
		}},
		"resets": {1, func(t *testing.T, f *fleet.Fleet) {
			_, err := dialAndOpen(t, f, 0).readLine()
			require.ErrorIs(t, err, syscall.ECONNRESET)
		}},
		"refuse":  {0, refused},
		"restart": {0, refused},
		"vanish": {0, func(t *testing.T, f *fleet.Fleet) {
			_, err := net.DialTimeout("tcp", f.Addresses(0)[0], 200*time.Millisecond)
			var late net.Error
			require.True(t, errors.As(err, &late) && late.Timeout(), "neither up nor refused: %v", err)
		}},
		"store": {120, func(t *testing.T, f *fleet.Fleet) {
			began := time.Now()
			_, _ = dialAndOpen(t, f, 0).readLine()
			require.GreaterOrEqual(t, time.Since(began), 120*time.Millisecond)
		}},
		"mute": {0, func(t *testing.T, f *fleet.Fleet) {
			c := dialAndOpen(t, f, 0)
			require.NoError(t, c.SetReadDeadline(time.Now().Add(150*time.Millisecond)))
			line, err := c.reader.ReadString('\n')
			require.ErrorIs(t, err, os.ErrDeadlineExceeded)
			require.True(t, strings.HasPrefix(line, "UP"), "half of a line: %q", line)
		}},
	} {
		t.Run(kind, func(t *testing.T) {
			t.Parallel()
			f, _ := startFleet(t, nil)
			s := firstServerTrouble(kind, c.size)
			require.NoError(t, f.BeginTrouble(s))
			c.check(t, f)
			require.NoError(t, f.EndTrouble(s))
			word, err := dialAndOpen(t, f, 0).readLine()
			require.NoError(t, err)
			require.True(t, strings.HasPrefix(word, "UP "), "it is well again")
		})
	}
}

func TestStandingConnectionsOfAVanishedServerStaySilentAndAreResetWhenItIsBack(t *testing.T) {
	f, book := startFleet(t, nil)
	c := dialAndOpen(t, f, 0)
	_, _ = c.readLine()
	s := firstServerTrouble("vanish", 0)
	require.NoError(t, f.BeginTrouble(s))
	c.send(fleet.FormatLine("M", 1, int64(book.Now())))
	require.NoError(t, c.SetReadDeadline(time.Now().Add(150*time.Millisecond)))
	_, err := c.reader.ReadByte()
	require.ErrorIs(t, err, os.ErrDeadlineExceeded)
	require.NoError(t, f.EndTrouble(s))
	_, err = c.readLine()
	require.ErrorIs(t, err, syscall.ECONNRESET)
}

func TestADrainingServerShedsItsClientsThenStopsAndComesBackCold(t *testing.T) {
	f, _ := startFleet(t, func(p *fleet.Config) {
		p.MovesClientsOnDrain = true
		p.ColdStart = fleet.ColdStart{InitialShare: 0.5, WarmUpTime: 5 * second, OverloadMultiple: 4, OverloadWindow: second}
	})
	front, err := f.StartDiscovery(0, 0)
	require.NoError(t, err)
	c := dialAndOpen(t, f, 0)
	_, _ = c.readLine()
	s := firstServerTrouble("drain", 0.2)
	s.Duration = second / 2
	require.NoError(t, f.BeginTrouble(s))
	require.Equal(t, "draining", currentList(t, front)["s000"].State)
	word, _ := c.readLine()
	require.Equal(t, "MOVE", word)
	require.NoError(t, f.EndTrouble(s))
	require.NotContains(t, currentList(t, front), "s000")
	require.Eventually(t, func() bool { return currentList(t, front)["s000"].State == "ready" }, 5*time.Second, 10*time.Millisecond)
	require.InDelta(t, time.Now().UnixMilli(), currentList(t, front)["s000"].BootMS, 5000, "it tells when it started")
}

// listedServer is a server as the list tells it.
type listedServer struct {
	UID, State string
	BootMS     int64 `json:"boot_ms"`
}

func currentList(t *testing.T, front *fleet.DiscoveryServer) map[string]listedServer {
	t.Helper()
	_, list := requestList(t, front, "")
	return list
}

// requestList asks for the list; the version is -1 where the answer is none.
func requestList(t *testing.T, front *fleet.DiscoveryServer, query string) (int64, map[string]listedServer) {
	t.Helper()
	resp, err := http.Get(fmt.Sprintf("http://%s/v1/servers%s", front.Address(), query))
	require.NoError(t, err)
	defer resp.Body.Close()
	var told struct {
		Rev     *int64
		Targets []listedServer
	}
	if resp.StatusCode != http.StatusOK || json.NewDecoder(resp.Body).Decode(&told) != nil || told.Rev == nil {
		return -1, nil
	}
	list := map[string]listedServer{}
	for _, e := range told.Targets {
		list[e.UID] = e
	}
	return *told.Rev, list
}

func TestDiscoveryIsLateStaleDownMovedOrOutOfItsMindAsTheScriptSays(t *testing.T) {
	f, book := startFleet(t, nil)
	front, err := f.StartDiscovery(0, 0)
	require.NoError(t, err)
	rev, list := requestList(t, front, "")
	require.Len(t, list, 3)
	require.EqualValues(t, 3, rev)

	late := firstServerTrouble("list-late", 0.3)
	require.NoError(t, f.BeginTrouble(late))
	began := time.Now()
	require.NoError(t, f.BeginTrouble(firstServerTrouble("drain", 0)))
	rev, _ = requestList(t, front, "")
	require.EqualValues(t, 3, rev)
	rev, list = requestList(t, front, "?from=3&hold_ms=4000")
	require.EqualValues(t, 4, rev, "a watch wakes when the change can be told")
	require.Equal(t, map[string]listedServer{"s000": {"s000", "draining", 0}}, list, "and tells only what is new")
	require.GreaterOrEqual(t, time.Since(began), 300*time.Millisecond)
	require.NoError(t, f.EndTrouble(late))

	frozen := firstServerTrouble("list-frozen", 0)
	require.NoError(t, f.BeginTrouble(frozen))
	require.NoError(t, f.EndTrouble(firstServerTrouble("drain", 0)))
	require.Contains(t, currentList(t, front), "s000")
	require.NoError(t, f.EndTrouble(frozen))
	require.NotContains(t, currentList(t, front), "s000")

	for _, kind := range []string{"list-down", "list-garbage"} {
		require.NoError(t, f.BeginTrouble(firstServerTrouble(kind, 0)))
		rev, _ = requestList(t, front, "")
		if kind == "list-down" {
			require.EqualValues(t, -1, rev)
		}
		require.NoError(t, f.EndTrouble(firstServerTrouble(kind, 0)))
		require.Len(t, currentList(t, front), 2)
	}
	old := front.Address()
	require.NoError(t, front.MoveAddress(50*time.Millisecond))
	require.NotEqual(t, old, front.Address())
	require.Len(t, currentList(t, front), 2)
	_, err = net.DialTimeout("tcp", old, time.Second)
	require.Error(t, err)

	told := 0
	for _, e := range book.Events() {
		if e.Kind == ledger.StateAnnounced && e.Server == 0 {
			told++
		}
	}
	require.Equal(t, 3, told, "ready, draining and gone are noted once each, when they were written to the proxy")
}
