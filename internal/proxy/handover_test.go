package proxy_test

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"net"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hatchproxy/internal/discovery"
	"hatchproxy/internal/platformconfig"
	"hatchproxy/internal/proxy"
	"hatchproxy/internal/succession"
	"hatchproxy/lab/fleet"
	"hatchproxy/logic"
)

// handoverEnv is the environment of proxies that replace each other: they share a listening socket, a handover folder and a
// server list.
type handoverEnv struct {
	*testing.T
	socket *net.TCPListener
	folder string
	list   *fleet.ManualDiscovery
	server *fleet.ScriptedServer

	maxHold    time.Duration // the longest hold time of the watches on the list
	cachedList []byte        // what processes know from an earlier run
	drainGrace logic.Micros
}

// newHandoverEnv returns an environment with one server, which never answers requests with x=1.
func newHandoverEnv(t *testing.T) *handoverEnv {
	t.Parallel()
	l, err := net.Listen("tcp", uniqueHost()+":0")
	require.NoError(t, err)
	folder, err := os.MkdirTemp("", "hs")
	require.NoError(t, err)
	list, err := fleet.StartManualDiscovery()
	require.NoError(t, err)
	server, err := fleet.StartScriptedServer(func(line string) string {
		if strings.Contains(line, "x=1") {
			return "NONE"
		}
		return "UP a"
	})
	require.NoError(t, err)
	list.SetServer("s0", server.Address, "ready")
	h := &handoverEnv{T: t, socket: l.(*net.TCPListener), folder: folder, list: list, server: server, maxHold: time.Second}
	t.Cleanup(func() {
		_ = l.Close()
		_ = os.RemoveAll(folder)
	})
	return h
}

// startProcess starts another proxy on the shared socket and waits until it is ready.
func (h *handoverEnv) startProcess() *harness {
	raw, err := h.socket.SyscallConn()
	require.NoError(h, err)
	fd := -1 // a duplicate, which the proxy takes over as it does with an inherited one
	require.NoError(h, raw.Control(func(socket uintptr) { fd, err = syscall.Dup(int(socket)) }))
	require.NoError(h, err)
	b, err := platformconfig.SettingsFromLines(configWithoutProbes).NewBalancer(7)
	require.NoError(h, err)
	options := testOptions(slog.New(slog.DiscardHandler), b, h.socket.Addr().String(), h.list, 1024)
	options.Discovery, options.CachedList = discovery.NewClient(h.list.Address(), h.maxHold), h.cachedList
	p := proxy.New(options)
	p.EnableMetrics()
	if h.drainGrace > 0 {
		p.SetListLimits(h.drainGrace, 10*logic.Second, false)
	}
	require.NoError(h, p.InheritListener(fd, h.folder))
	s := &harness{T: h.T, listenAddr: h.socket.Addr().String(), list: h.list, leaveSignals: make(chan os.Signal, 1), runResult: make(chan error, 1), proxy: p}
	go func() { s.runResult <- p.Run(s.leaveSignals, nil, nil) }()
	h.eventually(func() bool { f := p.Metrics(); return f != nil && f.Ready })
	return s
}

func (h *handoverEnv) eventually(condition func() bool) {
	h.Helper()
	require.Eventually(h, condition, 5*time.Second, 10*time.Millisecond)
}

// waitForClients waits until a proxy has exactly n clients with a request.
func (s *harness) waitForClients(n int) {
	s.Helper()
	require.Eventually(s, func() bool { return s.proxy.Metrics().Current == n }, 5*time.Second, 10*time.Millisecond)
}

// waitForPingAnswer waits until a proxy answers health checks with the line.
func (s *harness) waitForPingAnswer(want string) {
	s.Helper()
	require.Eventually(s, func() bool {
		prober := s.dial("PING\r\n")
		defer prober.Close()
		line, _ := prober.reader.ReadString('\n')
		return line == want+"\r\n"
	}, 5*time.Second, 10*time.Millisecond)
}

// waitForExit waits until Run has returned without an error.
func (s *harness) waitForExit(span time.Duration) {
	s.Helper()
	select {
	case err := <-s.runResult:
		require.NoError(s, err)
	case <-time.After(span):
		require.Fail(s, "the proxy did not end")
	}
}

func TestConnectionsContinueInTheSuccessor(t *testing.T) {
	h := newHandoverEnv(t)
	first := h.startProcess()
	c, toReset := first.openRequest("c=chat,d=1500"), first.openRequest("c=pay,d=1500")
	c.expectLine("UP a")
	toReset.expectLine("UP a")
	partial := first.dial("OPEN 77 7 c=ch")
	prober := first.dial("PING\r\n")
	prober.expectLine("PONG")
	for range 3 { // three replacements in a row
		second := h.startProcess()
		first.leaveSignals <- syscall.SIGTERM
		first.waitForExit(time.Second)
		second.waitForClients(2)
		c.send("M 1\r\n")
		c.expectLine("M 1")
		prober.send("PING\r\n")
		prober.expectLine("PONG")
		first = second
	}
	require.Equal(t, 2, h.server.ConnCount(), "no connection to the server was made anew")
	partial.send("at,d=1500\r\n")
	partial.expectLine("UP a")
	fleet.ResetConn(toReset.Conn)
	first.waitForClients(2)
	require.NoError(t, h.server.LastConn().Close())
	partial.expectEnd(false)
	first.openRequest("c=chat,d=1500").expectLine("UP a")
}

func TestPendingRequestsStayWithThePredecessor(t *testing.T) {
	h := newHandoverEnv(t)
	first := h.startProcess()
	oneShot, harmless := first.openRequest("x=1,c=pay,d=1000"), first.openRequest("x=1,c=chat,d=700")
	first.waitForClients(2)
	h.startProcess()
	first.leaveSignals <- syscall.SIGTERM
	harmless.expectLine("BUSY")
	oneShot.expectLine("ERR")
	first.waitForExit(3 * time.Second)
	var lines []string
	for _, line := range h.server.FirstLines() {
		if strings.Contains(line, "c=pay") {
			lines = append(lines, line)
		}
	}
	require.Len(t, lines, 1, "a one-shot request is sent once only, whichever process answers it")
}

func TestTheOldProcessServesOnWhenTheNewOneDies(t *testing.T) {
	h := newHandoverEnv(t)
	first := h.startProcess()
	c := first.openRequest("c=chat,d=1500")
	c.expectLine("UP a")
	second := h.startProcess()
	second.leaveSignals <- syscall.SIGTERM // it ends just after it got ready
	second.waitForExit(3 * time.Second)
	var clients []*testClient
	for range 5 {
		clients = append(clients, first.openRequest("c=chat,d=1500"))
		clients[len(clients)-1].expectLine("UP a")
	}
	first.waitForClients(6)
	third := h.startProcess() // it finds the first one again
	first.leaveSignals <- syscall.SIGTERM
	first.waitForExit(time.Second)
	third.waitForClients(6)
	for _, c := range append(clients, c) {
		c.send("M 1\r\n")
		c.expectLine("M 1")
	}
}

func TestSuccessorOfAnEvacuatingProxyEvacuates(t *testing.T) {
	h := newHandoverEnv(t)
	first := h.startProcess()
	c := first.openRequest("c=chat,d=1500")
	c.expectLine("UP a")
	require.NoError(t, first.proxy.Evacuate(context.Background()))
	second := h.startProcess()
	second.waitForPingAnswer("ERR not ready")
	first.leaveSignals <- syscall.SIGTERM
	c.expectLine("MOVE") // by whichever process holds it by then
	first.waitForExit(3 * time.Second)
	require.NoError(t, second.proxy.Rejoin(context.Background()))
	second.expectPingAnswer("PONG")

	third := h.startProcess() // an order after the successor is ready and before SIGTERM applies to both
	require.NoError(t, second.proxy.Evacuate(context.Background()))
	third.waitForPingAnswer("ERR not ready")
	require.NoError(t, second.proxy.Rejoin(context.Background()))
	third.waitForPingAnswer("PONG")
}

func TestWithoutHandoverFolderClientsAreMoved(t *testing.T) {
	h := newHandoverEnv(t)
	h.folder = ""
	first := h.startProcess()
	c := first.openRequest("c=chat,d=1500")
	c.expectLine("UP a")
	second := h.startProcess()
	first.leaveSignals <- syscall.SIGTERM
	c.expectLine("MOVE")
	c.expectEnd(false)
	first.waitForExit(3 * time.Second)
	second.openRequest("c=chat,d=1500").expectLine("UP a")
}

func TestADescriptorThatDoesNotListenIsAClearError(t *testing.T) {
	fd, err := syscall.Open(os.DevNull, syscall.O_RDONLY, 0)
	require.NoError(t, err)
	require.ErrorContains(t, new(proxy.Proxy).InheritListener(fd, ""), "descriptor ")
}

// A server's drain that is put on the list after the successor is ready and before SIGTERM applies to both processes, since
// either may still send requests.
func TestServerDrainDuringHandoverBindsBothProcesses(t *testing.T) {
	h := newHandoverEnv(t)
	other, err := fleet.StartScriptedServer(func(string) string { return "UP b" })
	require.NoError(t, err)
	first := h.startProcess()
	c := first.openRequest("c=chat,d=1500")
	c.expectLine("UP a")
	second := h.startProcess()
	h.list.SetServer("s1", other.Address, "ready")
	h.list.SetServer("s0", h.server.Address, "draining")
	first.waitForMetrics("cluster_size 2", "cluster_unhealthy 1")
	second.waitForMetrics("cluster_size 2", "cluster_unhealthy 1")
	c.expectLine("MOVE") // by the process that holds it
	for range 4 {
		second.openRequest("c=chat,d=1500").expectLine("UP b")
	}
	first.leaveSignals <- syscall.SIGTERM
	first.waitForExit(3 * time.Second)
	second.openRequest("c=chat,d=1500").expectLine("UP b")
	require.Len(t, h.server.FirstLines(), 1)
}

// A successor that connects, hangs and then ends was never ready: the predecessor must serve on, and the next successor must
// find it.
func TestHangingSuccessorTakesNothingOver(t *testing.T) {
	h := newHandoverEnv(t)
	first := h.startProcess()
	c := first.openRequest("c=chat,d=1500")
	c.expectLine("UP a")
	hanging, err := succession.Dial(h.folder)
	require.NoError(t, err)
	for range 3 {
		first.openRequest("c=chat,d=1500").expectLine("UP a")
	}
	require.NoError(t, hanging.Send([]byte("no packet of ours")))
	first.openRequest("c=pay,d=1500").expectLine("UP a")
	h.eventually(func() bool { return isFindable(h.folder) })
	second := h.startProcess()
	first.leaveSignals <- syscall.SIGTERM
	first.waitForExit(3 * time.Second)
	second.waitForClients(5)
	c.send("M 1\r\n")
	c.expectLine("M 1")
	hanging.Close()
}

// The signal to leave may arrive just before the successor's message that it is ready, as it did in one run in ten on a busy
// machine. Guards against moving all clients in that case although the successor can take them over.
func TestSuccessorReadyJustAfterTheLeaveSignalTakesOver(t *testing.T) {
	h := newHandoverEnv(t)
	first := h.startProcess()
	c := first.openRequest("c=chat,d=1500")
	c.expectLine("UP a")
	prober := first.dial("PING\r\n")
	prober.expectLine("PONG")
	successor, err := succession.Dial(h.folder)
	require.NoError(t, err)
	defer successor.Close()
	first.leaveSignals <- syscall.SIGTERM
	require.Eventually(t, func() bool {
		prober.send("PING\r\n")
		line, err := prober.reader.ReadString('\n')
		return err == nil && line == "ERR not ready\r\n"
	}, time.Second, 20*time.Millisecond, "the proxy leaves")
	require.NoError(t, successor.Send([]byte(`{"Ready":true}`)))
	for packet := ""; !strings.Contains(packet, `"Stands"`); {
		text, files, err := successor.Receive()
		require.NoError(t, err, "the connection was not handed over")
		for _, f := range files {
			defer f.Close()
		}
		packet = string(text)
	}
	c.send("M 1\r\n")
}

// A successor that says that it confirms connections, and then refuses one and ends with another unconfirmed, holds neither.
// Guards against clients that are cut off without MOVE because their only descriptors were in a packet that got lost.
func TestConnectionsThatTheSuccessorDoesNotHoldAreMoved(t *testing.T) {
	h := newHandoverEnv(t)
	first := h.startProcess()
	clients := []*testClient{first.openRequest("c=chat,d=1500"), first.openRequest("c=chat,d=1500")}
	for _, c := range clients {
		c.expectLine("UP a")
	}
	partial := first.dial("OPEN 77 7 c=ch")
	successor, err := succession.Dial(h.folder)
	require.NoError(t, err)
	require.NoError(t, successor.Send([]byte(`{"Ready":true,"Confirms":true}`)))
	first.leaveSignals <- syscall.SIGTERM
	for established, refused := 0, false; established < len(clients); {
		text, files, err := successor.Receive()
		require.NoError(t, err, "the connections were not handed over")
		for _, f := range files {
			_ = f.Close()
		}
		var packet struct {
			Number uint64
			Stands json.RawMessage
		}
		require.NoError(t, json.Unmarshal(text, &packet))
		if packet.Stands == nil {
			continue
		}
		if !refused { // it comes again
			refused = true
			require.NoError(t, successor.Send(fmt.Appendf(nil, `{"Refused":%d}`, packet.Number)))
			continue
		}
		established++
	}
	successor.Close()
	for _, c := range clients {
		c.expectLine("MOVE")
		c.expectEnd(false)
	}
	partial.expectLine("BUSY")
	first.waitForExit(3 * time.Second)
}

// isFindable reports whether a successor would find a process through the folder.
func isFindable(folder string) bool {
	c, err := succession.Dial(folder)
	if err == nil {
		c.Close()
	}
	return err == nil
}

// Guards against clients that the predecessor holds on to because an operator called the successor: orders went from the
// predecessor to the successor only.
func TestOrdersAtTheSuccessorBindThePredecessor(t *testing.T) {
	h := newHandoverEnv(t)
	first := h.startProcess()
	kept := first.openRequest("c=chat,d=1500")
	kept.expectLine("UP a")
	second := h.startProcess()
	require.NoError(t, second.proxy.Evacuate(context.Background()))
	kept.expectLine("MOVE")
	kept.expectEnd(false)
	first.waitForClients(0)
	third := h.startProcess()
	third.waitForPingAnswer("ERR not ready")
	require.NoError(t, first.proxy.Rejoin(context.Background()), "it passes the order on through the second")
	third.waitForPingAnswer("PONG")
	require.NoError(t, third.proxy.Evacuate(context.Background()))
	third.waitForPingAnswer("ERR not ready")
	require.NoError(t, third.proxy.Rejoin(context.Background()))
	third.waitForPingAnswer("PONG")
	third.openRequest("c=chat,d=1500").expectLine("UP a")
}

// Guards against two orders that are given to both processes at the same moment and are passed back and forth for ever, or
// leave the processes in different modes.
func TestOrdersGivenToBothProcessesAtOnceEndInOneMode(t *testing.T) {
	h := newHandoverEnv(t)
	first := h.startProcess()
	second := h.startProcess()
	for range 20 {
		done := make(chan error, 2)
		go func() { done <- first.proxy.Evacuate(context.Background()) }()
		go func() { done <- second.proxy.Rejoin(context.Background()) }()
		require.NoError(t, <-done)
		require.NoError(t, <-done)
	}
	require.NoError(t, first.proxy.Rejoin(context.Background()))
	second.waitForPingAnswer("PONG")
	c := second.openRequest("c=chat,d=1500")
	c.expectLine("UP a")
	time.Sleep(200 * time.Millisecond)
	second.expectPingAnswer("PONG")
	c.send("M 1\r\n")
	c.expectLine("M 1")
}

// cacheList makes processes that are started from now on know the server from an earlier run, as ready.
func (h *handoverEnv) cacheList() {
	h.cachedList = fmt.Appendf(nil, `{"rev":1,"all":true,"targets":[{"uid":"s0","endpoint":%q,"az":"a","model":"m","state":"ready","capacity_hint":1}]}`, h.server.Address)
}

// Guards against a successor that sends to a draining server by the list of an earlier run, although its predecessor had been told
// of the drain: the list was not handed on, and discovery turned the successor's calls away.
func TestASuccessorKeepsToTheDrainsThatItsPredecessorWasTold(t *testing.T) {
	h := newHandoverEnv(t)
	h.cacheList()
	other, err := fleet.StartScriptedServer(func(string) string { return "UP b" })
	require.NoError(t, err)
	first := h.startProcess()
	first.openRequest("c=chat,d=1500").expectLine("UP a")
	h.list.SetServer("s1", other.Address, "ready")
	h.list.SetServer("s0", "", "draining")
	first.waitForMetrics("cluster_size 2", "cluster_unhealthy 1")
	h.list.SetFailure("down")
	second := h.startProcess()
	for range 6 {
		second.openRequest("c=chat,d=1500").expectLine("UP b")
	}
	first.leaveSignals <- syscall.SIGTERM
	first.waitForExit(3 * time.Second)
	for range 6 {
		second.openRequest("c=chat,d=1500").expectLine("UP b")
	}
	require.Len(t, h.server.FirstLines(), 1)
}

// Guards against a predecessor that goes on sending its pending requests to a server whose drain only its successor was told.
func TestAPredecessorHearsOfADrainFromItsSuccessor(t *testing.T) {
	h := newHandoverEnv(t)
	h.maxHold = 20 * time.Second
	first := h.startProcess()
	h.list.SilenceOpenRequests()
	h.list.SetServer("s0", "", "draining")
	second := h.startProcess()
	second.waitForMetrics("cluster_unhealthy 1")
	first.waitForMetrics("cluster_unhealthy 1")
}

// Guards against a successor that sends by a list of an earlier run for longer than 2 s after it has taken over, while discovery
// turns its calls away.
func TestASuccessorWithoutNewsStopsSendingTwoSecondsAfterItHasTakenOver(t *testing.T) {
	h := newHandoverEnv(t)
	h.cacheList()
	h.drainGrace = 200 * logic.Millisecond
	h.startProcess()
	h.list.SetFailure("down")
	second := h.startProcess()
	h.list.SetServer("s0", "", "draining")
	limit := time.Now().Add(2250 * time.Millisecond)
	require.Zero(t, second.requestsAfter(limit, h.server, limit.Add(2*time.Second)))
	h.list.SetFailure("")
	h.list.SetServer("s0", "", "ready")
	require.Eventually(t, func() bool { return second.openAndReadAnswer() == "UP a" }, 6*time.Second, 20*time.Millisecond)
}

// Guards against clients that were established before the start and are answered ERR because their server is not on the list of an
// earlier run: a proxy that was ready by that list took it for the present one.
func TestAConnectionIsRestoredOnceTheListThatNamesItsServerArrives(t *testing.T) {
	h := newHandoverEnv(t)
	h.cacheList()
	other, err := fleet.StartScriptedServer(func(string) string { return "UP b" })
	require.NoError(t, err)
	h.list.SetServer("s1", other.Address, "ready")
	h.list.SetFailure("down")
	s := h.startProcess()
	c := s.openRequest("c=chat,d=20000,at=s1")
	time.Sleep(3 * time.Second) // longer than the time after which a server that is not listed is given up
	h.list.SetFailure("")
	c.expectLine("UP b")
}

// Guards against a request that runs in both processes of a replacement because its client left one and came to the other, before or
// after the connection was handed over.
func TestAnIDThatOneProcessHasSentIsNotSentByTheOther(t *testing.T) {
	const again = "ERR this id has been sent to a server before"
	h := newHandoverEnv(t)
	first := h.startProcess()
	pending := first.dial("OPEN a1 7 x=1,c=pay,d=1500\r\n") // the server does not answer it
	first.waitForClients(1)
	established := first.dial("OPEN a2 7 c=pay,d=1500\r\n")
	established.expectLine("UP a")
	ended := first.dial("OPEN a3 7 c=pay,d=1500\r\n")
	ended.expectLine("UP a")
	require.NoError(t, ended.Close())
	first.waitForClients(2)
	second := h.startProcess()
	for _, id := range []string{"a1", "a2", "a3"} {
		second.dial("OPEN " + id + " 7 c=pay,d=1500\r\n").expectLine(again)
	}
	require.NoError(t, pending.Close())
	first.leaveSignals <- syscall.SIGTERM
	first.waitForExit(3 * time.Second)
	second.waitForClients(1)
	second.dial("OPEN a1 7 c=pay,d=1500\r\n").expectLine(again)
	second.dial("OPEN a2 7 c=pay,d=1500\r\n").expectLine("ERR this id is open")
	require.NoError(t, established.Close())
	second.waitForClients(0)
	second.dial("OPEN a2 7 c=pay,d=1500\r\n").expectLine(again)
	require.Len(t, h.server.FirstLines(), 3)
}

// The same where the new process ends and the old one serves on.
func TestAnIDThatAFailedSuccessorHasSentIsNotSentAgain(t *testing.T) {
	h := newHandoverEnv(t)
	first := h.startProcess()
	second := h.startProcess()
	c := second.dial("OPEN b1 7 c=pay,d=1500\r\n")
	c.expectLine("UP a")
	require.NoError(t, c.Close())
	second.waitForClients(0)
	second.leaveSignals <- syscall.SIGTERM
	second.waitForExit(3 * time.Second)
	first.openRequest("c=pay,d=1500").expectLine("UP a")
	first.dial("OPEN b1 7 c=pay,d=1500\r\n").expectLine("ERR this id has been sent to a server before")
	require.Len(t, h.server.FirstLines(), 2)
}

// Guards against a process that does not end because another one has made the shared listening socket a blocking one: its acceptor waited
// in the kernel, and the event loop for the acceptor.
func TestABlockingSharedSocketDoesNotKeepAProcessFromEnding(t *testing.T) {
	h := newHandoverEnv(t)
	first := h.startProcess()
	raw, err := h.socket.SyscallConn()
	require.NoError(t, err)
	require.NoError(t, raw.Control(func(fd uintptr) { err = syscall.SetNonblock(int(fd), false) }))
	require.NoError(t, err)
	first.expectPingAnswer("PONG") // the acceptor goes on to the next connection, of which there is none
	first.leaveSignals <- syscall.SIGTERM
	first.waitForExit(3 * time.Second)
}
