package proxy_test

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"os"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hatchproxy/internal/discovery"
	"hatchproxy/internal/opening"
	"hatchproxy/internal/proxy"
	"hatchproxy/lab/fleet"
	"hatchproxy/logic"
)

// stage is one proxy with its stand-ins.
type stage struct {
	*testing.T
	listen string
	list   *fleet.Hand
	leave  chan os.Signal
	again  chan os.Signal
	file   func() (proxy.Renewal, error) // what is read again
	ended  chan error
	proxy  *proxy.Proxy
}

const book = `localities=a
models=m
membership-mode=subscribe
limits.max-dispatches=3
limits.probes=true
products.count=2
products.0.name=chat
products.0.idempotency=repeatable
products.0.quoted-time-ms=300
products.0.hard-limit-ms=1500
products.1.name=pay
products.1.idempotency=once
products.1.quoted-time-ms=300
products.1.hard-limit-ms=1500
family-info.message-aim-ms=150,150
invariants.ask-within-ms=3000
`

var hosts atomic.Uint32

// ownHost is a loopback address that nobody else uses. Guards against two tests whose proxies get one port: each would hear
// some of the other's clients, since proxies share ports (SO_REUSEPORT).
func ownHost() string {
	n := hosts.Add(1)
	return fmt.Sprintf("127.4.%d.%d", n/250, n%250+1)
}

// play starts a proxy before servers that answer so; each is named by its place.
func play(t *testing.T, sockets int64, answers ...string) (*stage, []*fleet.Puppet) {
	return playWith(t, sockets, func(*proxy.Proxy) {}, answers...)
}

// playWith has more done to the proxy before it runs.
func playWith(t *testing.T, sockets int64, more func(*proxy.Proxy), answers ...string) (*stage, []*fleet.Puppet) {
	return playBook(t, book, sockets, more, answers...)
}

// unprobed is for tests that count who stands: on a busy machine late probes move some.
var unprobed = strings.Replace(book, "limits.probes=true\n", "", 1)

func playBook(t *testing.T, text string, sockets int64, more func(*proxy.Proxy), answers ...string) (*stage, []*fleet.Puppet) {
	t.Parallel()
	list, err := fleet.ByHand()
	require.NoError(t, err)
	var servers []*fleet.Puppet
	for i, answer := range answers {
		s, err := fleet.NewPuppet(func(string) string { return answer })
		require.NoError(t, err)
		list.Set(fmt.Sprint("s", i), s.Address, "ready")
		servers = append(servers, s)
	}
	free, err := net.Listen("tcp", ownHost()+":0")
	require.NoError(t, err)
	s := &stage{T: t, listen: free.Addr().String(), list: list, leave: make(chan os.Signal, 1), again: make(chan os.Signal, 1),
		ended: make(chan error, 1), file: func() (proxy.Renewal, error) { return proxy.Renewal{}, errors.New("there is nothing to read again") }}
	require.NoError(t, free.Close())
	b, err := opening.Lines(text).Balancer(7)
	require.NoError(t, err)
	lines := &kept{}
	t.Cleanup(func() {
		if t.Failed() {
			t.Logf("the proxy's log:\n%s", lines.tail(200))
		}
	})
	log := slog.New(slog.NewTextHandler(lines, &slog.HandlerOptions{Level: slog.LevelDebug}))
	p := proxy.New(options(log, b, s.listen, list, sockets))
	s.proxy = p
	p.Introduce(proxy.About{Name: "n0", Level: new(slog.LevelVar)}, nil)
	more(p)
	go func() { s.ended <- p.Run(s.leave, s.again, func() (proxy.Renewal, error) { return s.file() }) }()
	require.Eventually(t, func() bool {
		c, err := net.Dial("tcp", s.listen)
		if err != nil {
			return false
		}
		defer c.Close()
		_, _ = c.Write([]byte("PING\r\n"))
		line, _ := bufio.NewReader(c).ReadString('\n')
		return line == "PONG\r\n"
	}, 5*time.Second, 10*time.Millisecond, "it is ready once it has had the list")
	return s, servers
}

// options are those of a proxy with the classes chat and pay.
func options(log *slog.Logger, b *logic.Balancer, listen string, list *fleet.Hand, sockets int64) proxy.Options {
	const deadline = 1500 * logic.Millisecond
	return proxy.Options{Log: log, Balancer: b, Listen: listen, Discovery: discovery.At(list.Address(), time.Second),
		Classes: []string{"chat", "pay"}, Deadlines: []logic.Micros{deadline, deadline}, Zones: []string{"a"}, Models: []string{"m"},
		DialTimeout: 250 * logic.Millisecond, Late: 50 * logic.Millisecond, Descriptors: sockets}
}

// caller is a client's connection.
type caller struct {
	*stage
	net.Conn
	in *bufio.Reader
}

func (s *stage) call(words string) *caller {
	c, err := net.Dial("tcp", s.listen)
	require.NoError(s, err)
	// Held to the test's end: one that nothing names any more is closed by the collector, and its client has left.
	s.Cleanup(func() { _ = c.Close() })
	_, err = c.Write([]byte(words))
	require.NoError(s, err)
	return &caller{s, c, bufio.NewReader(c)}
}

var ids atomic.Uint64

func (s *stage) open(list string) *caller {
	return s.call(fmt.Sprintf("OPEN %016x 7f3a %s\r\n", ids.Add(1), list))
}

func (c *caller) hears(want string) {
	c.Helper()
	require.NoError(c.stage, c.SetReadDeadline(time.Now().Add(9*time.Second)))
	line, err := c.in.ReadString('\n')
	require.NoError(c.stage, err)
	require.Equal(c.stage, want+"\r\n", line)
}

func (c *caller) ends(reset bool) {
	c.Helper()
	require.NoError(c.stage, c.SetReadDeadline(time.Now().Add(5*time.Second)))
	_, err := c.in.ReadByte()
	require.Equal(c.stage, reset, errors.Is(err, syscall.ECONNRESET), "%v", err)
	require.Equal(c.stage, !reset, errors.Is(err, io.EOF), "%v", err)
}

func (c *caller) says(words string) {
	_, err := c.Write([]byte(words))
	require.NoError(c.stage, err)
}

func TestLinesPassUnchangedAndTheEndPassesAsItCame(t *testing.T) {
	s, servers := play(t, 1024, "UP toy")
	c := s.open("x=1,c=chat,d=1500,g=5c")
	c.hears("UP toy")
	c.says("M 1 odd = words\r\nM 2\r\n")
	c.hears("M 1 odd = words")
	c.hears("M 2")
	line := servers[0].Lines()[0]
	require.Regexp(t, `^OPEN [0-9a-f]{16} 7f3a x=1,c=chat,d=1?\d{2,3},g=5c$`, line, "the own wait is told, all else unchanged")
	require.NoError(t, servers[0].Last().Close())
	c.ends(false)

	c = s.open("c=chat,d=1500")
	c.hears("UP toy")
	fleet.Reset(servers[0].Last())
	c.ends(true)

	c = s.open("c=chat,d=1500")
	c.hears("UP toy")
	fleet.Reset(c.Conn)
	_, err := servers[0].Last().Read(make([]byte, 1))
	require.Error(t, err, "the server's side ends with the client's")
}

func TestWhatARefusalProvesDecidesWhetherItIsSentAgain(t *testing.T) {
	for answer, want := range map[string]struct {
		said  string
		tries int
	}{
		"BUSY":      {"BUSY", 3}, // never ran
		"ERR":       {"ERR", 1},  // may have run: once only
		"FIN":       {"ERR", 1},
		"RESET":     {"ERR", 1},
		"NONE":      {"ERR", 1},
		"GIBBERISH": {"ERR", 1},
		"UP":        {"ERR", 1}, // no receipt
		"MOVE":      {"ERR", 1},
	} {
		t.Run(answer, func(t *testing.T) {
			s, servers := play(t, 1024, answer)
			began := time.Now()
			c := s.open("c=pay,d=700")
			c.hears(want.said)
			c.ends(false)
			require.Less(t, time.Since(began), 720*time.Millisecond, "before the client gives up")
			require.Len(t, servers[0].Lines(), want.tries)
		})
	}
}

func TestNoServerThereIsNeverRan(t *testing.T) {
	s, servers := play(t, 1024, "UP a")
	servers[0].Stop()
	c := s.open("c=pay,d=700")
	c.hears("BUSY")
}

func TestAHungServerGivesWayToAnotherForWhatIsHarmless(t *testing.T) {
	s, _ := play(t, 1024, "UP c")
	hung, err := fleet.NewPuppet(func(string) string { return "NONE" })
	require.NoError(t, err)
	s.open("c=chat,d=1500").hears("UP c")
	s.list.Set("s8", hung.Address, "ready")
	time.Sleep(50 * time.Millisecond)
	for range 4 {
		s.open("c=chat,d=1500").hears("UP c")
	}
	require.NotEmpty(t, hung.Lines(), "it was tried, as it held the fewest")
}

func TestWrongLinesGetOnePlainLineAndTheEnd(t *testing.T) {
	s, servers := play(t, 1024, "NONE")
	for words, want := range map[string]string{
		"HELLO\r\n":                                   "ERR the verb is unknown",
		"OPEN 1 2 c=none,d=5\r\n":                     "ERR the class is unknown",
		"OPEN 1 2 c=chat,d=x\r\n":                     `ERR d: "x" is no such number`,
		"OPEN 1 2 c=chat,d=-1\r\n":                    `ERR d: "-1" is no such number`,
		"OPEN 1 2 c=chat,d=NaN\r\n":                   `ERR d: "NaN" is no such number`,
		"OPEN 1 2 c=chat,d=0\r\n":                     "ERR d: it is over already",
		"OPEN 1 2 c=chat,d\r\n":                       `ERR "d" has no value`,
		"OPEN 1 2 c=chat,c=chat\r\n":                  `ERR "c" is one too many`,
		"OPEN  2 c=chat,d=5\r\n":                      `ERR the id "" is no hexadecimal number`,
		"OPEN 1 -2 c=chat,d=5\r\n":                    `ERR the key "-2" is no hexadecimal number`,
		"OPEN 1 2\r\n":                                "ERR OPEN takes an id, a key and a list",
		"OPEN 1 2 d=5\r\n":                            "ERR no class is named",
		"PING\n":                                      "ERR a line does not end in CRLF",
		"\r\n":                                        "ERR the verb is unknown",
		strings.Repeat("x", 5000):                     "ERR a line is longer than 4096 bytes",
		strings.Repeat("PING\r\n", 33):                "ERR too many questions and no attachment",
		"OPEN 1 2 c=chat,d=1500\r\nM 1 too early\r\n": "ERR bytes came before the connection was up",
	} {
		c := s.call(words)
		for range strings.Count(words, "PING\r\n") - 1 {
			c.hears("PONG")
		}
		c.hears(want)
		_, err := c.in.ReadByte()
		require.Error(t, err)
	}
	require.Empty(t, servers[0].Lines())
}

func TestTheIdOfAnOpenConnectionIsNotSentOnAgain(t *testing.T) {
	s, servers := play(t, 1024, "UP a")
	c := s.call("OPEN 5 1 c=chat,d=1500\r\n")
	c.hears("UP a")
	s.call("OPEN 0005 2 c=chat,d=1500\r\n").hears("ERR this id is open")
	require.NoError(t, c.Close())
	time.Sleep(50 * time.Millisecond)
	s.call("OPEN 5 1 c=chat,d=1500\r\n").hears("UP a")
	require.Len(t, servers[0].Lines(), 2)
}

func TestWhoSaysNothingIsAnsweredWithinThreeSecondsOfConnecting(t *testing.T) {
	s, _ := play(t, 1024, "UP a")
	began := time.Now()
	silent, asks, slow := s.call(""), s.call("PING\r\n"), s.call("OPEN 1 ")
	asks.hears("PONG")
	for range 20 {
		time.Sleep(100 * time.Millisecond)
		slow.says("1")
	}
	for _, c := range []*caller{silent, asks, slow} {
		c.hears("ERR nothing was asked")
	}
	require.Less(t, time.Since(began), 2900*time.Millisecond)
}

func TestHundredsThatSayNothingDoNotCrowdOutWhoAsks(t *testing.T) {
	s, _ := play(t, 64, "UP a")
	for range 300 {
		defer s.call("").Close()
	}
	for range 100 {
		c := s.call("HELLO\r\n")
		defer c.Close()
	}
	for range 8 {
		c := s.open("c=chat,d=1500")
		defer c.Close()
		c.hears("UP a")
	}
}

func TestTheLastWordReachesAClientThatStillSends(t *testing.T) {
	s, _ := play(t, 1024, "UP a")
	c := s.call("HELLO\r\n")
	for range 30 {
		time.Sleep(5 * time.Millisecond)
		c.says(strings.Repeat("x", 5000))
	}
	c.hears("ERR the verb is unknown")
	c.ends(false)
	began := time.Now()
	for time.Since(began) < 3*time.Second {
		if _, err := c.Write([]byte("x")); err != nil {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
	t.Fatal("a client that never closes is closed in the end")
}

func TestAConnectionThatStoodGoesBackToItsServer(t *testing.T) {
	s, servers := play(t, 1024, "UP a", "UP b", "UP c")
	for range 4 {
		s.open("c=chat,d=1500,at=s1").hears("UP b")
	}
	require.Empty(t, servers[0].Lines())
	s.open("c=chat,d=300,at=nowhere").hears("ERR")
}

func TestNearTheLimitOnSocketsClientsArePushedBack(t *testing.T) {
	log := &kept{}
	s, _ := playWith(t, 64, func(p *proxy.Proxy) { p.LogTo(slog.New(slog.NewTextHandler(log, nil))) }, "UP a") // 32 of them are the program's own
	up, busy := 0, 0
	for range 40 {
		c := s.open("c=chat,d=1500")
		defer c.Close()
		switch line, _ := c.in.ReadString('\n'); line {
		case "UP a\r\n":
			up++
		case "BUSY\r\n":
			busy++
		}
	}
	require.Equal(t, 40, up+busy)
	require.InDelta(t, 15, up, 2)
	require.Eventually(t, func() bool { return log.has("all sockets are in use for requests") }, 3*time.Second, 10*time.Millisecond, "and the log says why")
}

func TestAServerThatFallsSilentLosesItsClientsInTime(t *testing.T) {
	s, servers := play(t, 1024, "UP MUTE")
	c, cut := s.open("c=chat,d=1500"), s.open("c=chat,d=1500")
	c.hears("UP MUTE")
	cut.hears("UP MUTE")
	_, err := servers[0].Last().Write([]byte("half a "))
	require.NoError(t, err)
	began := time.Now()
	c.says("M 1\r\n")
	cut.says("M 1\r\n")
	for _, c := range []*caller{c, cut} {
		require.NoError(t, c.SetReadDeadline(time.Now().Add(5*time.Second)))
		rest, err := io.ReadAll(c.in)
		require.NoError(t, err)
		require.Contains(t, []string{"MOVE\r\n", "half a "}, string(rest), "no MOVE within a line")
	}
	// The last word may have come two seconds before the message.
	require.Less(t, time.Since(began), 4*time.Second)
}

func TestMovedClientsHearItBetweenTwoLinesWhenTheProxyLeaves(t *testing.T) {
	s, servers := play(t, 1024, "UP a")
	c := s.open("c=chat,d=1500")
	c.hears("UP a")
	_, err := servers[0].Last().Write([]byte("half a "))
	require.NoError(t, err)
	began := time.Now()
	s.leave <- syscall.SIGTERM
	time.Sleep(100 * time.Millisecond)
	late := s.open("c=chat,d=1500")
	late.hears("UP a")
	late.hears("MOVE")
	late.ends(false)
	time.Sleep(400 * time.Millisecond)
	require.NoError(t, c.SetReadDeadline(time.Now().Add(3*time.Second)))
	rest, _ := io.ReadAll(c.in)
	require.Equal(t, "half a ", string(rest), "no MOVE within a line that never ends")
	select {
	case err := <-s.ended:
		require.NoError(t, err)
	case <-time.After(3 * time.Second):
		t.Fatal("it never left")
	}
	require.Less(t, time.Since(began), 2200*time.Millisecond, "well before it would be killed")
}

func TestWhatIsPendingIsAnsweredBeforeTheProxyMustGo(t *testing.T) {
	s, _ := play(t, 1024, "NONE")
	chat, pay := s.open("c=chat,d=20000"), s.open("c=pay,d=20000")
	began := time.Now()
	time.Sleep(50 * time.Millisecond)
	s.leave <- syscall.SIGTERM
	chat.hears("BUSY")
	pay.hears("ERR")
	require.NoError(t, <-s.ended)
	require.Less(t, time.Since(began), 2200*time.Millisecond)
}

func TestWithoutTheListTheLastOneIsKeptAndAskedForAgain(t *testing.T) {
	for _, broken := range []string{"down", "{", `{"rev":9,"all":true,"targets":[{"uid":"x","state":"odd"}]}`} {
		t.Run(broken, func(t *testing.T) {
			s, _ := play(t, 1024, "UP a")
			s.list.Break(broken)
			calls := s.list.Calls()
			require.Eventually(t, func() bool { return s.list.Calls() > calls+1 }, 6*time.Second, 20*time.Millisecond)
			s.open("c=chat,d=1500").hears("UP a")
			b, err := fleet.NewPuppet(func(string) string { return "UP b" })
			require.NoError(t, err)
			s.list.Set("s0", "", "gone")
			s.list.Set("s9", b.Address, "ready")
			s.list.Break("")
			time.Sleep(2500 * time.Millisecond)
			s.open("c=chat,d=1500").hears("UP b")
		})
	}
}

func TestAServerWithConnectionsIsProbedOnOneOfItsOwn(t *testing.T) {
	s, servers := play(t, 1024, "UP a")
	for range 4 {
		c := s.open("c=chat,d=1500")
		defer c.Close()
		c.hears("UP a")
	}
	require.Eventually(t, func() bool { return servers[0].Probes() > 2 }, 6*time.Second, 20*time.Millisecond)
	require.Equal(t, 5, servers[0].Conns())
	fleet.Reset(servers[0].Prober())
	probes := servers[0].Probes()
	require.Eventually(t, func() bool { return servers[0].Probes() > probes+1 }, 6*time.Second, 20*time.Millisecond)
	require.Equal(t, 6, servers[0].Conns(), "one that breaks is opened again")
}

// Guards against figures of late messages that are read as loads: nothing else tells of a slow server, since it answers
// its clients' lines at once.
func TestClientsMoveOffAServerThatTellsOfLateMessages(t *testing.T) {
	s, servers := playWith(t, 1024, (*proxy.Proxy).HearDelays, "UP a", "UP b")
	c := s.open("c=chat,d=1500")
	defer c.Close()
	line, err := c.in.ReadString('\n')
	require.NoError(t, err)
	at := servers[int(line[3]-'a')].Last()
	go func() {
		_, _ = io.WriteString(at, "LOAD 90000\r\n")
		for range 12 {
			time.Sleep(time.Second) // what the test is about comes once a second
			if _, err := io.WriteString(at, "LOAD 400\r\n"); err != nil {
				return
			}
		}
	}()
	require.NoError(t, c.SetReadDeadline(time.Now().Add(12*time.Second)))
	for line != "MOVE\r\n" {
		line, err = c.in.ReadString('\n')
		require.NoError(t, err)
	}
}
