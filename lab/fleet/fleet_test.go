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

// start is a fleet of three servers, quick unless it is troubled.
func start(t *testing.T, change func(*fleet.Plan)) (*fleet.Fleet, *ledger.Book) {
	t.Helper()
	p := fleet.Plan{Servers: 3, Zones: []string{"a"}, Kinds: []fleet.Kind{{Name: "m", Share: 1, Cores: 2, Speed: 1}}, Probes: true}
	if change != nil {
		change(&p)
	}
	book := ledger.Open()
	f, err := fleet.Start(book, p, 3)
	require.NoError(t, err)
	t.Cleanup(f.Stop)
	return f, book
}

// talk is a connection to a server, as a proxy would have one.
type talk struct {
	*testing.T
	net.Conn
	in *bufio.Reader
}

func (t *talk) hears() (string, error) {
	require.NoError(t.T, t.SetReadDeadline(time.Now().Add(5*time.Second)))
	line, err := t.in.ReadString('\n')
	return strings.TrimSuffix(line, "\r\n"), err
}

func (t *talk) says(line string) {
	_, err := t.Write([]byte(line))
	require.NoError(t.T, err)
}

func dial(t *testing.T, f *fleet.Fleet, server int) *talk {
	t.Helper()
	c, err := net.DialTimeout("tcp", f.Addresses(0)[server], time.Second)
	require.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	return &talk{t, c, bufio.NewReader(c)}
}

func open(t *testing.T, f *fleet.Fleet, server int) *talk {
	t.Helper()
	c := dial(t, f, server)
	c.says("OPEN 1 2 c=chat,d=900,g=5\r\n")
	return c
}

func step(kind string, size float64) fleet.Step {
	return fleet.Step{Trouble: fleet.Trouble{Kind: kind, For: second, Servers: []int{0}, Size: size}}
}

func TestAServerSpeaksTheProtocol(t *testing.T) {
	f, _ := start(t, nil)
	c := dial(t, f, 0)
	c.says("PING\r\n")
	word, err := c.hears()
	require.NoError(t, err)
	require.Equal(t, "PONG", word)
	c.says("STATS\r\n")
	word, _ = c.hears()
	require.Regexp(t, `^PONG use=0\.000 standing=0$`, word)
	c.says("OPEN 1 2 c=chat,d=900\r\n")
	word, _ = c.hears()
	require.Regexp(t, "^UP s000-1$", word)
	bad := dial(t, f, 0)
	bad.says("HELLO\r\n")
	word, _ = bad.hears()
	require.Equal(t, "SYNTAX", word)
	_, err = bad.hears()
	require.ErrorIs(t, err, io.EOF)
}

// Guards against answers that overtake each other: timers that are due at once run in any order.
func TestAnswersKeepTheOrderOfTheLines(t *testing.T) {
	f, book := start(t, func(p *fleet.Plan) { p.Message = 3 * ms })
	c := open(t, f, 0)
	_, _ = c.hears()
	const lines = 2000
	go func() {
		for n := int64(1); n <= lines; n++ {
			_, _ = c.Write([]byte(fleet.Seal("M", n, int64(book.Now()))))
		}
	}()
	for n := int64(1); n <= lines; n++ {
		line, err := c.hears()
		require.NoError(t, err)
		numbers, ok := fleet.Open(line, "R", 3)
		require.True(t, ok, line)
		require.Equal(t, []int64{n, n}, numbers[:2])
	}
	for _, e := range book.Events() {
		require.NotContains(t, []ledger.Kind{ledger.LineLost, ledger.LineDoubled, ledger.LineChanged}, e.Kind, "%s", e)
	}
}

func TestEachTroubleDoesWhatItSaysAndEnds(t *testing.T) {
	refused := func(t *testing.T, f *fleet.Fleet) {
		_, err := net.DialTimeout("tcp", f.Addresses(0)[0], time.Second)
		require.ErrorIs(t, err, syscall.ECONNREFUSED)
	}
	silent := func(t *testing.T, f *fleet.Fleet) {
		c := open(t, f, 0)
		require.NoError(t, c.SetReadDeadline(time.Now().Add(150*time.Millisecond)))
		_, err := c.in.ReadByte()
		require.ErrorIs(t, err, os.ErrDeadlineExceeded)
	}
	for kind, c := range map[string]struct {
		size  float64
		check func(t *testing.T, f *fleet.Fleet)
	}{
		"hang": {0, silent},
		"errors": {1, func(t *testing.T, f *fleet.Fleet) {
			word, _ := open(t, f, 0).hears()
			require.Equal(t, "ERR", word)
		}},
		"resets": {1, func(t *testing.T, f *fleet.Fleet) {
			_, err := open(t, f, 0).hears()
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
			_, _ = open(t, f, 0).hears()
			require.GreaterOrEqual(t, time.Since(began), 120*time.Millisecond)
		}},
		"mute": {0, func(t *testing.T, f *fleet.Fleet) {
			c := open(t, f, 0)
			require.NoError(t, c.SetReadDeadline(time.Now().Add(150*time.Millisecond)))
			line, err := c.in.ReadString('\n')
			require.ErrorIs(t, err, os.ErrDeadlineExceeded)
			require.True(t, strings.HasPrefix(line, "UP"), "half of a line: %q", line)
		}},
	} {
		t.Run(kind, func(t *testing.T) {
			t.Parallel()
			f, _ := start(t, nil)
			s := step(kind, c.size)
			require.NoError(t, f.Begin(s))
			c.check(t, f)
			require.NoError(t, f.End(s))
			word, err := open(t, f, 0).hears()
			require.NoError(t, err)
			require.True(t, strings.HasPrefix(word, "UP "), "it is well again")
		})
	}
}

func TestStandingConnectionsOfAVanishedServerStaySilentAndAreResetWhenItIsBack(t *testing.T) {
	f, book := start(t, nil)
	c := open(t, f, 0)
	_, _ = c.hears()
	s := step("vanish", 0)
	require.NoError(t, f.Begin(s))
	c.says(fleet.Seal("M", 1, int64(book.Now())))
	require.NoError(t, c.SetReadDeadline(time.Now().Add(150*time.Millisecond)))
	_, err := c.in.ReadByte()
	require.ErrorIs(t, err, os.ErrDeadlineExceeded)
	require.NoError(t, f.End(s))
	_, err = c.hears()
	require.ErrorIs(t, err, syscall.ECONNRESET)
}

func TestADrainingServerShedsItsClientsThenStopsAndComesBackCold(t *testing.T) {
	f, _ := start(t, func(p *fleet.Plan) {
		p.Sheds = true
		p.Cold = fleet.Cold{From: 0.5, Warm: 5 * second, Multiple: 4, Window: second}
	})
	front, err := f.Front(0, 0)
	require.NoError(t, err)
	c := open(t, f, 0)
	_, _ = c.hears()
	s := step("drain", 0.2)
	s.For = second / 2
	require.NoError(t, f.Begin(s))
	require.Equal(t, "draining", listed(t, front)["s000"].State)
	word, _ := c.hears()
	require.Equal(t, "MOVE", word)
	require.NoError(t, f.End(s))
	require.NotContains(t, listed(t, front), "s000")
	require.Eventually(t, func() bool { return listed(t, front)["s000"].State == "ready" }, 5*time.Second, 10*time.Millisecond)
	require.InDelta(t, time.Now().UnixMilli(), listed(t, front)["s000"].BootMS, 5000, "it tells when it started")
}

// target is a server as the list tells it.
type target struct {
	UID, State string
	BootMS     int64 `json:"boot_ms"`
}

func listed(t *testing.T, front *fleet.Front) map[string]target {
	t.Helper()
	_, list := ask(t, front, "")
	return list
}

// ask asks for the list; the version is -1 where the answer is none.
func ask(t *testing.T, front *fleet.Front, query string) (int64, map[string]target) {
	t.Helper()
	resp, err := http.Get(fmt.Sprintf("http://%s/v1/servers%s", front.Address(), query))
	require.NoError(t, err)
	defer resp.Body.Close()
	var told struct {
		Rev     *int64
		Targets []target
	}
	if resp.StatusCode != http.StatusOK || json.NewDecoder(resp.Body).Decode(&told) != nil || told.Rev == nil {
		return -1, nil
	}
	list := map[string]target{}
	for _, e := range told.Targets {
		list[e.UID] = e
	}
	return *told.Rev, list
}

func TestDiscoveryIsLateStaleDownMovedOrOutOfItsMindAsTheScriptSays(t *testing.T) {
	f, book := start(t, nil)
	front, err := f.Front(0, 0)
	require.NoError(t, err)
	rev, list := ask(t, front, "")
	require.Len(t, list, 3)
	require.EqualValues(t, 3, rev)

	late := step("list-late", 0.3)
	require.NoError(t, f.Begin(late))
	began := time.Now()
	require.NoError(t, f.Begin(step("drain", 0)))
	rev, _ = ask(t, front, "")
	require.EqualValues(t, 3, rev)
	rev, list = ask(t, front, "?from=3&hold_ms=4000")
	require.EqualValues(t, 4, rev, "a watch wakes when the change can be told")
	require.Equal(t, map[string]target{"s000": {"s000", "draining", 0}}, list, "and tells only what is new")
	require.GreaterOrEqual(t, time.Since(began), 300*time.Millisecond)
	require.NoError(t, f.End(late))

	frozen := step("list-frozen", 0)
	require.NoError(t, f.Begin(frozen))
	require.NoError(t, f.End(step("drain", 0)))
	require.Contains(t, listed(t, front), "s000")
	require.NoError(t, f.End(frozen))
	require.NotContains(t, listed(t, front), "s000")

	for _, kind := range []string{"list-down", "list-garbage"} {
		require.NoError(t, f.Begin(step(kind, 0)))
		rev, _ = ask(t, front, "")
		if kind == "list-down" {
			require.EqualValues(t, -1, rev)
		}
		require.NoError(t, f.End(step(kind, 0)))
		require.Len(t, listed(t, front), 2)
	}
	old := front.Address()
	require.NoError(t, front.Move(50*time.Millisecond))
	require.NotEqual(t, old, front.Address())
	require.Len(t, listed(t, front), 2)
	_, err = net.DialTimeout("tcp", old, time.Second)
	require.Error(t, err)

	told := 0
	for _, e := range book.Events() {
		if e.Kind == ledger.Told && e.Server == 0 {
			told++
		}
	}
	require.Equal(t, 3, told, "ready, draining and gone are noted once each, when they were written to the proxy")
}
