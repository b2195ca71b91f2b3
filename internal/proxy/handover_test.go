package proxy_test

import (
	"context"
	"log/slog"
	"net"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hatchproxy/internal/platformconfig"
	"hatchproxy/internal/proxy"
	"hatchproxy/internal/succession"
	"hatchproxy/lab/fleet"
)

// handoverEnv is where processes that replace each other run: one listening socket, one folder, one list.
type handoverEnv struct {
	*testing.T
	socket *net.TCPListener
	folder string
	list   *fleet.Hand
	server *fleet.Puppet
}

func newHandoverEnv(t *testing.T) *handoverEnv {
	t.Parallel()
	l, err := net.Listen("tcp", uniqueHost()+":0")
	require.NoError(t, err)
	folder, err := os.MkdirTemp("", "hs")
	require.NoError(t, err)
	list, err := fleet.ByHand()
	require.NoError(t, err)
	server, err := fleet.NewPuppet(func(line string) string {
		if strings.Contains(line, "x=1") {
			return "NONE"
		}
		return "UP a"
	})
	require.NoError(t, err)
	list.Set("s0", server.Address, "ready")
	h := &handoverEnv{t, l.(*net.TCPListener), folder, list, server}
	t.Cleanup(func() {
		_ = l.Close()
		_ = os.RemoveAll(folder)
	})
	return h
}

// startProcess runs one more process, and waits until it can serve.
func (h *handoverEnv) startProcess() *harness {
	raw, err := h.socket.SyscallConn()
	require.NoError(h, err)
	fd := -1 // the proxy's own from here on, as one that a process hasSuccessor
	require.NoError(h, raw.Control(func(socket uintptr) { fd, err = syscall.Dup(int(socket)) }))
	require.NoError(h, err)
	b, err := platformconfig.SettingsFromLines(configWithoutProbes).NewBalancer(7)
	require.NoError(h, err)
	p := proxy.New(testOptions(slog.New(slog.DiscardHandler), b, h.socket.Addr().String(), h.list, 1024))
	p.EnableMetrics()
	require.NoError(h, p.InheritListener(fd, h.folder))
	s := &harness{T: h.T, listenAddr: h.socket.Addr().String(), list: h.list, leaveSignals: make(chan os.Signal, 1), runResult: make(chan error, 1), proxy: p}
	go func() { s.runResult <- p.Run(s.leaveSignals, nil, nil) }()
	h.eventually(func() bool { f := p.Metrics(); return f != nil && f.Ready })
	return s
}

func (h *handoverEnv) eventually(holds func() bool) {
	h.Helper()
	require.Eventually(h, holds, 5*time.Second, 10*time.Millisecond)
}

// waitForClients waits until a process holds so many.
func (s *harness) waitForClients(n int) {
	s.Helper()
	require.Eventually(s, func() bool { return s.proxy.Metrics().Current == n }, 5*time.Second, 10*time.Millisecond)
}

// waitForPingAnswer waits until a process answers the front so.
func (s *harness) waitForPingAnswer(word string) {
	s.Helper()
	require.Eventually(s, func() bool {
		asks := s.dial("PING\r\n")
		defer asks.Close()
		line, _ := asks.reader.ReadString('\n')
		return line == word+"\r\n"
	}, 5*time.Second, 10*time.Millisecond)
}

// waitForExit waits until a process has ended in good order.
func (s *harness) waitForExit(span time.Duration) {
	s.Helper()
	select {
	case err := <-s.runResult:
		require.NoError(s, err)
	case <-time.After(span):
		require.Fail(s, "it never ended")
	}
}

func TestConnectionsGoOnInTheNextProcess(t *testing.T) {
	h := newHandoverEnv(t)
	first := h.startProcess()
	c, ended := first.openRequest("c=chat,d=1500"), first.openRequest("c=pay,d=1500")
	c.expectLine("UP a")
	ended.expectLine("UP a")
	half := first.dial("OPEN 77 7 c=ch")
	asks := first.dial("PING\r\n")
	asks.expectLine("PONG")
	for range 3 { // one replacement after the other
		second := h.startProcess()
		first.leaveSignals <- syscall.SIGTERM
		first.waitForExit(time.Second)
		second.waitForClients(2)
		c.send("M 1\r\n")
		c.expectLine("M 1")
		asks.send("PING\r\n")
		asks.expectLine("PONG")
		first = second
	}
	require.Equal(t, 2, h.server.Conns(), "no attempt was made for them again")
	half.send("at,d=1500\r\n")
	half.expectLine("UP a")
	fleet.Reset(ended.Conn)
	first.waitForClients(2)
	require.NoError(t, h.server.Last().Close())
	half.expectEnd(false)
	first.openRequest("c=chat,d=1500").expectLine("UP a")
}

func TestWhatIsPendingStaysAndIsPassedOnOnceItStands(t *testing.T) {
	h := newHandoverEnv(t)
	first := h.startProcess()
	never, harmless := first.openRequest("x=1,c=pay,d=1000"), first.openRequest("x=1,c=chat,d=700")
	first.waitForClients(2)
	h.startProcess()
	first.leaveSignals <- syscall.SIGTERM
	harmless.expectLine("BUSY")
	never.expectLine("ERR")
	first.waitForExit(3 * time.Second)
	var lines []string
	for _, line := range h.server.Lines() {
		if strings.Contains(line, "c=pay") {
			lines = append(lines, line)
		}
	}
	require.Len(t, lines, 1, "once only, whoever answers for it")
}

func TestTheOldProcessServesOnWhenTheNewOneDies(t *testing.T) {
	h := newHandoverEnv(t)
	first := h.startProcess()
	c := first.openRequest("c=chat,d=1500")
	c.expectLine("UP a")
	second := h.startProcess()
	second.leaveSignals <- syscall.SIGTERM // it fails a moment after it could serve
	second.waitForExit(3 * time.Second)
	var held []*testClient
	for range 5 {
		held = append(held, first.openRequest("c=chat,d=1500"))
		held[len(held)-1].expectLine("UP a")
	}
	first.waitForClients(6)
	third := h.startProcess() // finds the first again
	first.leaveSignals <- syscall.SIGTERM
	first.waitForExit(time.Second)
	third.waitForClients(6)
	for _, c := range append(held, c) {
		c.send("M 1\r\n")
		c.expectLine("M 1")
	}
}

func TestTheHeirOfADrainedProxyIsDrained(t *testing.T) {
	h := newHandoverEnv(t)
	first := h.startProcess()
	c := first.openRequest("c=chat,d=1500")
	c.expectLine("UP a")
	require.NoError(t, first.proxy.Evacuate(context.Background()))
	second := h.startProcess()
	second.waitForPingAnswer("ERR not ready")
	first.leaveSignals <- syscall.SIGTERM
	c.expectLine("MOVE") // whoever holds it by then
	first.waitForExit(3 * time.Second)
	require.NoError(t, second.proxy.Rejoin(context.Background()))
	second.expectPingAnswer("PONG")

	third := h.startProcess() // an order that comes between the yes and SIGTERM counts for both
	require.NoError(t, second.proxy.Evacuate(context.Background()))
	third.waitForPingAnswer("ERR not ready")
	require.NoError(t, second.proxy.Rejoin(context.Background()))
	third.waitForPingAnswer("PONG")
}

func TestWithoutTheFolderClientsAreMoved(t *testing.T) {
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

// A server's drain that is told after the yes and before SIGTERM: either process may still send, and neither does.
func TestADrainToldInBetweenBindsBothProcesses(t *testing.T) {
	h := newHandoverEnv(t)
	other, err := fleet.NewPuppet(func(string) string { return "UP b" })
	require.NoError(t, err)
	first := h.startProcess()
	c := first.openRequest("c=chat,d=1500")
	c.expectLine("UP a")
	second := h.startProcess()
	h.list.Set("s1", other.Address, "ready")
	h.list.Set("s0", h.server.Address, "draining")
	first.waitForMetrics("cluster_size 2", "cluster_unhealthy 1")
	second.waitForMetrics("cluster_size 2", "cluster_unhealthy 1")
	c.expectLine("MOVE") // by the process that holds it
	for range 4 {
		second.openRequest("c=chat,d=1500").expectLine("UP b")
	}
	first.leaveSignals <- syscall.SIGTERM
	first.waitForExit(3 * time.Second)
	second.openRequest("c=chat,d=1500").expectLine("UP b")
	require.Len(t, h.server.Lines(), 1)
}

// One that finds the old process, hangs and then ends never said that it can serve: the next one found nobody.
func TestAnHeirThatHangsTakesNothing(t *testing.T) {
	h := newHandoverEnv(t)
	first := h.startProcess()
	c := first.openRequest("c=chat,d=1500")
	c.expectLine("UP a")
	hung, err := succession.Dial(h.folder)
	require.NoError(t, err)
	for range 3 {
		first.openRequest("c=chat,d=1500").expectLine("UP a")
	}
	require.NoError(t, hung.Send([]byte("no packet of ours")))
	first.openRequest("c=pay,d=1500").expectLine("UP a")
	h.eventually(func() bool { return isFindable(h.folder) })
	second := h.startProcess()
	first.leaveSignals <- syscall.SIGTERM
	first.waitForExit(3 * time.Second)
	second.waitForClients(5)
	c.send("M 1\r\n")
	c.expectLine("M 1")
	hung.Close()
}

// The word to leave overtook the successor's that it can serve, one time in ten on a busy machine: all clients were moved.
func TestAnHeirThatSaysSoJustAfterTheWordToLeaveTakesOver(t *testing.T) {
	h := newHandoverEnv(t)
	first := h.startProcess()
	c := first.openRequest("c=chat,d=1500")
	c.expectLine("UP a")
	front := first.dial("PING\r\n")
	front.expectLine("PONG")
	heir, err := succession.Dial(h.folder)
	require.NoError(t, err)
	defer heir.Close()
	first.leaveSignals <- syscall.SIGTERM
	require.Eventually(t, func() bool {
		front.send("PING\r\n")
		line, err := front.reader.ReadString('\n')
		return err == nil && line == "ERR not ready\r\n"
	}, time.Second, 20*time.Millisecond, "it leaves")
	require.NoError(t, heir.Send([]byte(`{"Ready":true}`)))
	for passed := ""; !strings.Contains(passed, `"Stands"`); {
		text, files, err := heir.Receive()
		require.NoError(t, err, "it was not passed on")
		for _, f := range files {
			defer f.Close()
		}
		passed = string(text)
	}
	c.send("M 1\r\n")
}

func isFindable(folder string) bool {
	c, err := succession.Dial(folder)
	if err == nil {
		c.Close()
	}
	return err == nil
}
