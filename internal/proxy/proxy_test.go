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
	"hatchproxy/internal/platformconfig"
	"hatchproxy/internal/proxy"
	"hatchproxy/lab/fleet"
	"hatchproxy/logic"
)

// harness runs one proxy with a fake discovery service and fake servers.
type harness struct {
	*testing.T
	listenAddr    string
	list          *fleet.ManualDiscovery
	leaveSignals  chan os.Signal
	reloadSignals chan os.Signal
	readConfig    func() (proxy.ReloadedConfig, error) // what a reload reads
	runResult     chan error
	proxy         *proxy.Proxy
}

// baseConfig is a configuration in the platform's form with the classes chat and pay; pay is one-shot.
const baseConfig = `localities=a
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

// lastHost counts the addresses that uniqueHost has returned.
var lastHost atomic.Uint32

// uniqueHost returns a loopback address that no other test uses. Proxies share ports (SO_REUSEPORT), so two tests whose
// proxies got the same address and port would receive some of each other's clients.
func uniqueHost() string {
	n := lastHost.Add(1)
	return fmt.Sprintf("127.4.%d.%d", n/250, n%250+1)
}

// startProxy starts a proxy with one server for each answer, named s0, s1 and so on; a server gives its answer to each
// request line.
func startProxy(t *testing.T, sockets int64, answers ...string) (*harness, []*fleet.ScriptedServer) {
	return startProxyWith(t, sockets, func(*proxy.Proxy) {}, answers...)
}

// startProxyWith also runs configure on the proxy before it starts.
func startProxyWith(t *testing.T, sockets int64, configure func(*proxy.Proxy), answers ...string) (*harness, []*fleet.ScriptedServer) {
	return startProxyWithConfig(t, baseConfig, sockets, configure, answers...)
}

// configWithoutProbes is for tests that count established connections: on a busy machine late probes make the proxy
// move some.
var configWithoutProbes = strings.Replace(baseConfig, "limits.probes=true\n", "", 1)

// startProxyWithConfig is startProxyWith with a configuration other than baseConfig. The proxy has the list when it
// returns.
func startProxyWithConfig(t *testing.T, config string, sockets int64, configure func(*proxy.Proxy), answers ...string) (*harness, []*fleet.ScriptedServer) {
	return startProxyWithHold(t, time.Second, config, sockets, configure, answers...)
}

// startProxyWithHold is startProxyWithConfig with the longest hold time of the watches on the list.
func startProxyWithHold(t *testing.T, maxHold time.Duration, config string, sockets int64, configure func(*proxy.Proxy), answers ...string) (*harness, []*fleet.ScriptedServer) {
	t.Parallel()
	list, err := fleet.StartManualDiscovery()
	require.NoError(t, err)
	var servers []*fleet.ScriptedServer
	for i, answer := range answers {
		s, err := fleet.StartScriptedServer(func(string) string { return answer })
		require.NoError(t, err)
		list.SetServer(fmt.Sprint("s", i), s.Address, "ready")
		servers = append(servers, s)
	}
	placeholder, err := net.Listen("tcp", uniqueHost()+":0")
	require.NoError(t, err)
	s := &harness{T: t, listenAddr: placeholder.Addr().String(), list: list, leaveSignals: make(chan os.Signal, 1), reloadSignals: make(chan os.Signal, 1),
		runResult: make(chan error, 1), readConfig: func() (proxy.ReloadedConfig, error) {
			return proxy.ReloadedConfig{}, errors.New("there is nothing to read again")
		}}
	require.NoError(t, placeholder.Close())
	b, err := platformconfig.SettingsFromLines(config).NewBalancer(7)
	require.NoError(t, err)
	logged := &logBuffer{}
	t.Cleanup(func() {
		if t.Failed() {
			t.Logf("the proxy's log:\n%s", logged.tail(200))
		}
	})
	log := slog.New(slog.NewTextHandler(logged, &slog.HandlerOptions{Level: slog.LevelDebug}))
	options := testOptions(log, b, s.listenAddr, list, sockets)
	options.Discovery = discovery.NewClient(list.Address(), maxHold)
	p := proxy.New(options)
	s.proxy = p
	p.Initialize(proxy.Info{Name: "n0", LogLevel: new(slog.LevelVar)}, nil)
	configure(p)
	go func() {
		s.runResult <- p.Run(s.leaveSignals, s.reloadSignals, func() (proxy.ReloadedConfig, error) { return s.readConfig() })
	}()
	require.Eventually(t, func() bool {
		c, err := net.Dial("tcp", s.listenAddr)
		if err != nil {
			return false
		}
		defer c.Close()
		_, _ = c.Write([]byte("PING\r\n"))
		line, _ := bufio.NewReader(c).ReadString('\n')
		return line == "PONG\r\n"
	}, 5*time.Second, 10*time.Millisecond, "the proxy is ready once it has the list")
	return s, servers
}

// testOptions returns the options of a proxy with the classes chat and pay.
func testOptions(log *slog.Logger, b *logic.Balancer, listen string, list *fleet.ManualDiscovery, sockets int64) proxy.Options {
	const hardLimit = 1500 * logic.Millisecond
	return proxy.Options{Log: log, Balancer: b, Listen: listen, Discovery: discovery.NewClient(list.Address(), time.Second),
		Classes: []string{"chat", "pay"}, HardLimits: []logic.Micros{hardLimit, hardLimit}, Zones: []string{"a"}, Models: []string{"m"},
		DialTimeout: 250 * logic.Millisecond, LateThreshold: 50 * logic.Millisecond, MaxDescriptors: sockets}
}

// testClient is a client's connection to the proxy.
type testClient struct {
	*harness
	net.Conn
	reader *bufio.Reader
}

// dial connects to the proxy and sends the text.
func (s *harness) dial(text string) *testClient {
	c, err := net.Dial("tcp", s.listenAddr)
	require.NoError(s, err)
	// Referenced until the end of the test: the garbage collector would close an unreferenced connection.
	s.Cleanup(func() { _ = c.Close() })
	_, err = c.Write([]byte(text))
	require.NoError(s, err)
	return &testClient{s, c, bufio.NewReader(c)}
}

// lastRequestID makes the request IDs of openRequest unique.
var lastRequestID atomic.Uint64

// openRequest connects and sends an OPEN line with the given parameters.
func (s *harness) openRequest(params string) *testClient {
	return s.dial(fmt.Sprintf("OPEN %016x 7f3a %s\r\n", lastRequestID.Add(1), params))
}

// expectLine reads a line and requires it to be the wanted one.
func (c *testClient) expectLine(want string) {
	c.Helper()
	require.NoError(c.harness, c.SetReadDeadline(time.Now().Add(9*time.Second)))
	line, err := c.reader.ReadString('\n')
	require.NoError(c.harness, err)
	require.Equal(c.harness, want+"\r\n", line)
}

// expectEnd requires the connection to end, by a reset or by an orderly close.
func (c *testClient) expectEnd(reset bool) {
	c.Helper()
	require.NoError(c.harness, c.SetReadDeadline(time.Now().Add(5*time.Second)))
	_, err := c.reader.ReadByte()
	require.Equal(c.harness, reset, errors.Is(err, syscall.ECONNRESET), "%v", err)
	require.Equal(c.harness, !reset, errors.Is(err, io.EOF), "%v", err)
}

func (c *testClient) send(text string) {
	_, err := c.Write([]byte(text))
	require.NoError(c.harness, err)
}

func TestLinesAndTheKindOfCloseAreRelayedUnchanged(t *testing.T) {
	s, servers := startProxy(t, 1024, "UP toy")
	c := s.openRequest("x=1,c=chat,d=1500,g=5c")
	c.expectLine("UP toy")
	c.send("M 1 odd = words\r\nM 2\r\n")
	c.expectLine("M 1 odd = words")
	c.expectLine("M 2")
	line := servers[0].FirstLines()[0]
	require.Regexp(t, `^OPEN [0-9a-f]{16} 7f3a x=1,c=chat,d=1?\d{2,3},g=5c$`, line, "only the wait is replaced by the proxy's own")
	require.NoError(t, servers[0].LastConn().Close())
	c.expectEnd(false)

	c = s.openRequest("c=chat,d=1500")
	c.expectLine("UP toy")
	fleet.ResetConn(servers[0].LastConn())
	c.expectEnd(true)

	c = s.openRequest("c=chat,d=1500")
	c.expectLine("UP toy")
	fleet.ResetConn(c.Conn)
	_, err := servers[0].LastConn().Read(make([]byte, 1))
	require.Error(t, err, "the server's connection ends with the client's")
}

func TestARequestIsRepeatedOnlyIfTheAnswerProvesItNeverRan(t *testing.T) {
	for answer, want := range map[string]struct {
		line  string
		tries int
	}{
		"BUSY":      {"BUSY", 3}, // has not run
		"ERR":       {"ERR", 1},  // may have run, and must not run twice
		"FIN":       {"ERR", 1},
		"RESET":     {"ERR", 1},
		"NONE":      {"ERR", 1},
		"GIBBERISH": {"ERR", 1},
		"UP":        {"ERR", 1}, // without the receipt that UP has to carry
		"MOVE":      {"ERR", 1},
	} {
		t.Run(answer, func(t *testing.T) {
			s, servers := startProxy(t, 1024, answer)
			start := time.Now()
			c := s.openRequest("c=pay,d=700")
			c.expectLine(want.line)
			c.expectEnd(false)
			require.Less(t, time.Since(start), 720*time.Millisecond, "before the client gives up")
			require.Len(t, servers[0].FirstLines(), want.tries)
		})
	}
}

func TestARequestToAnUnreachableServerIsPushedBack(t *testing.T) {
	s, servers := startProxy(t, 1024, "UP a")
	servers[0].CloseListener()
	c := s.openRequest("c=pay,d=700")
	c.expectLine("BUSY")
}

func TestAHarmlessRequestMovesOnFromAHungServer(t *testing.T) {
	s, _ := startProxy(t, 1024, "UP c")
	hung, err := fleet.StartScriptedServer(func(string) string { return "NONE" })
	require.NoError(t, err)
	s.openRequest("c=chat,d=1500").expectLine("UP c")
	s.list.SetServer("s8", hung.Address, "ready")
	time.Sleep(50 * time.Millisecond)
	for range 4 {
		s.openRequest("c=chat,d=1500").expectLine("UP c")
	}
	require.NotEmpty(t, hung.FirstLines(), "the hung server was tried, since it held the fewest connections")
}

func TestInvalidLinesGetOneErrorLineAndTheConnectionIsClosed(t *testing.T) {
	s, servers := startProxy(t, 1024, "NONE")
	for input, want := range map[string]string{
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
		c := s.dial(input)
		for range strings.Count(input, "PING\r\n") - 1 {
			c.expectLine("PONG")
		}
		c.expectLine(want)
		_, err := c.reader.ReadByte()
		require.Error(t, err)
	}
	require.Empty(t, servers[0].FirstLines())
}

func TestARequestWithTheIDOfAnOpenConnectionIsRejected(t *testing.T) {
	s, servers := startProxy(t, 1024, "UP a")
	c := s.dial("OPEN 5 1 c=chat,d=1500\r\n")
	c.expectLine("UP a")
	s.dial("OPEN 0005 2 c=chat,d=1500\r\n").expectLine("ERR this id is open")
	require.NoError(t, c.Close())
	time.Sleep(50 * time.Millisecond)
	s.dial("OPEN 5 1 c=chat,d=1500\r\n").expectLine("UP a")
	require.Len(t, servers[0].FirstLines(), 2)
}

func TestASilentClientIsAnsweredWithinThreeSecondsOfConnecting(t *testing.T) {
	s, _ := startProxy(t, 1024, "UP a")
	start := time.Now()
	silent, asks, slow := s.dial(""), s.dial("PING\r\n"), s.dial("OPEN 1 ")
	asks.expectLine("PONG")
	for range 20 {
		time.Sleep(100 * time.Millisecond)
		slow.send("1")
	}
	for _, c := range []*testClient{silent, asks, slow} {
		c.expectLine("ERR nothing was asked")
	}
	require.Less(t, time.Since(start), 2900*time.Millisecond)
}

func TestHundredsOfSilentClientsDoNotCrowdOutRequests(t *testing.T) {
	s, _ := startProxy(t, 64, "UP a")
	for range 300 {
		defer s.dial("").Close()
	}
	for range 100 {
		c := s.dial("HELLO\r\n")
		defer c.Close()
	}
	for range 8 {
		c := s.openRequest("c=chat,d=1500")
		defer c.Close()
		c.expectLine("UP a")
	}
}

func TestTheFinalLineReachesAClientThatStillSends(t *testing.T) {
	s, _ := startProxy(t, 1024, "UP a")
	c := s.dial("HELLO\r\n")
	for range 30 {
		time.Sleep(5 * time.Millisecond)
		c.send(strings.Repeat("x", 5000))
	}
	c.expectLine("ERR the verb is unknown")
	c.expectEnd(false)
	start := time.Now()
	for time.Since(start) < 3*time.Second {
		if _, err := c.Write([]byte("x")); err != nil {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
	t.Fatal("the proxy did not close the connection of a client that never closes")
}

func TestAResumedConnectionGoesBackToItsServer(t *testing.T) {
	s, servers := startProxy(t, 1024, "UP a", "UP b", "UP c")
	for range 4 {
		s.openRequest("c=chat,d=1500,at=s1").expectLine("UP b")
	}
	require.Empty(t, servers[0].FirstLines())
	s.openRequest("c=chat,d=300,at=nowhere").expectLine("ERR")
}

func TestNearTheLimitOnSocketsClientsArePushedBack(t *testing.T) {
	log := &logBuffer{}
	s, _ := startProxyWith(t, 64, func(p *proxy.Proxy) { p.SetLogger(slog.New(slog.NewTextHandler(log, nil))) }, "UP a") // 32 descriptors are reserved for the program itself
	up, busy := 0, 0
	for range 40 {
		c := s.openRequest("c=chat,d=1500")
		defer c.Close()
		switch line, _ := c.reader.ReadString('\n'); line {
		case "UP a\r\n":
			up++
		case "BUSY\r\n":
			busy++
		}
	}
	require.Equal(t, 40, up+busy)
	require.InDelta(t, 15, up, 2)
	require.Eventually(t, func() bool { return log.contains("all sockets are in use for requests") }, 3*time.Second, 10*time.Millisecond, "and the log says why")
}

func TestClientsAreMovedOffAServerThatStopsAnswering(t *testing.T) {
	s, servers := startProxy(t, 1024, "UP MUTE")
	c, cut := s.openRequest("c=chat,d=1500"), s.openRequest("c=chat,d=1500")
	c.expectLine("UP MUTE")
	cut.expectLine("UP MUTE")
	_, err := servers[0].LastConn().Write([]byte("half a "))
	require.NoError(t, err)
	start := time.Now()
	c.send("M 1\r\n")
	cut.send("M 1\r\n")
	for _, c := range []*testClient{c, cut} {
		require.NoError(t, c.SetReadDeadline(time.Now().Add(5*time.Second)))
		rest, err := io.ReadAll(c.reader)
		require.NoError(t, err)
		require.Contains(t, []string{"MOVE\r\n", "half a "}, string(rest), "no MOVE within a line")
	}
	// The protocol's limit counts from the server's last line, which may have come two seconds before the message.
	require.Less(t, time.Since(start), 4*time.Second)
}

func TestALeavingProxySendsMoveOnlyBetweenLines(t *testing.T) {
	s, servers := startProxy(t, 1024, "UP a")
	c := s.openRequest("c=chat,d=1500")
	c.expectLine("UP a")
	_, err := servers[0].LastConn().Write([]byte("half a "))
	require.NoError(t, err)
	start := time.Now()
	s.leaveSignals <- syscall.SIGTERM
	time.Sleep(100 * time.Millisecond)
	late := s.openRequest("c=chat,d=1500")
	late.expectLine("UP a")
	late.expectLine("MOVE")
	late.expectEnd(false)
	time.Sleep(400 * time.Millisecond)
	require.NoError(t, c.SetReadDeadline(time.Now().Add(3*time.Second)))
	rest, _ := io.ReadAll(c.reader)
	require.Equal(t, "half a ", string(rest), "no MOVE within a line that never ends")
	select {
	case err := <-s.runResult:
		require.NoError(t, err)
	case <-time.After(3 * time.Second):
		t.Fatal("the proxy did not end")
	}
	require.Less(t, time.Since(start), 2200*time.Millisecond, "well before SIGKILL")
}

func TestPendingRequestsAreAnsweredBeforeTheProxyLeaves(t *testing.T) {
	s, _ := startProxy(t, 1024, "NONE")
	chat, pay := s.openRequest("c=chat,d=20000"), s.openRequest("c=pay,d=20000")
	start := time.Now()
	time.Sleep(50 * time.Millisecond)
	s.leaveSignals <- syscall.SIGTERM
	chat.expectLine("BUSY")
	pay.expectLine("ERR")
	require.NoError(t, <-s.runResult)
	require.Less(t, time.Since(start), 2200*time.Millisecond)
}

func TestTheLastListIsKeptAndRequestedAgainWhileNoneCanBeRead(t *testing.T) {
	for _, broken := range []string{"down", "{", `{"rev":9,"all":true,"targets":[{"uid":"x","state":"odd"}]}`} {
		t.Run(broken, func(t *testing.T) {
			s, _ := startProxy(t, 1024, "UP a")
			s.list.SetFailure(broken)
			calls := s.list.RequestCount()
			require.Eventually(t, func() bool { return s.list.RequestCount() > calls+1 }, 6*time.Second, 20*time.Millisecond)
			s.openRequest("c=chat,d=1500").expectLine("UP a")
			b, err := fleet.StartScriptedServer(func(string) string { return "UP b" })
			require.NoError(t, err)
			s.list.SetServer("s0", "", "gone")
			s.list.SetServer("s9", b.Address, "ready")
			s.list.SetFailure("")
			time.Sleep(2500 * time.Millisecond)
			s.openRequest("c=chat,d=1500").expectLine("UP b")
		})
	}
}

func TestProbesUseAConnectionOfTheirOwn(t *testing.T) {
	s, servers := startProxy(t, 1024, "UP a")
	for range 4 {
		c := s.openRequest("c=chat,d=1500")
		defer c.Close()
		c.expectLine("UP a")
	}
	require.Eventually(t, func() bool { return servers[0].ProbeCount() > 2 }, 6*time.Second, 20*time.Millisecond)
	require.Equal(t, 5, servers[0].ConnCount())
	fleet.ResetConn(servers[0].LastProbeConn())
	probes := servers[0].ProbeCount()
	require.Eventually(t, func() bool { return servers[0].ProbeCount() > probes+1 }, 6*time.Second, 20*time.Millisecond)
	require.Equal(t, 6, servers[0].ConnCount(), "a broken probe connection is replaced")
}

// Guards against reports of late messages that are taken for loads: nothing else shows that a server is slow, since it
// answers its clients' lines at once.
func TestClientsMoveOffAServerThatReportsLateMessages(t *testing.T) {
	s, servers := startProxyWith(t, 1024, (*proxy.Proxy).ExpectDelays, "UP a", "UP b")
	c := s.openRequest("c=chat,d=1500")
	defer c.Close()
	line, err := c.reader.ReadString('\n')
	require.NoError(t, err)
	serverConn := servers[int(line[3]-'a')].LastConn()
	go func() {
		_, _ = io.WriteString(serverConn, "LOAD 90000\r\n")
		for range 12 {
			time.Sleep(time.Second) // servers report delays once a second
			if _, err := io.WriteString(serverConn, "LOAD 400\r\n"); err != nil {
				return
			}
		}
	}()
	require.NoError(t, c.SetReadDeadline(time.Now().Add(12*time.Second)))
	for line != "MOVE\r\n" {
		line, err = c.reader.ReadString('\n')
		require.NoError(t, err)
	}
}
