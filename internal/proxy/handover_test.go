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

	"hatchproxy/internal/opening"
	"hatchproxy/internal/proxy"
	"hatchproxy/internal/succession"
	"hatchproxy/lab/fleet"
)

// house is where processes that replace each other run: one listening socket, one folder, one list.
type house struct {
	*testing.T
	socket *net.TCPListener
	folder string
	list   *fleet.Hand
	server *fleet.Puppet
}

func newHouse(t *testing.T) *house {
	t.Parallel()
	l, err := net.Listen("tcp", ownHost()+":0")
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
	h := &house{t, l.(*net.TCPListener), folder, list, server}
	t.Cleanup(func() {
		_ = l.Close()
		_ = os.RemoveAll(folder)
	})
	return h
}

// start runs one more process, and waits until it can serve.
func (h *house) start() *stage {
	raw, err := h.socket.SyscallConn()
	require.NoError(h, err)
	fd := -1 // the proxy's own from here on, as one that a process hasSuccessor
	require.NoError(h, raw.Control(func(socket uintptr) { fd, err = syscall.Dup(int(socket)) }))
	require.NoError(h, err)
	b, err := opening.Lines(unprobed).Balancer(7)
	require.NoError(h, err)
	p := proxy.New(options(slog.New(slog.DiscardHandler), b, h.socket.Addr().String(), h.list, 1024))
	p.Tell()
	require.NoError(h, p.Inherit(fd, h.folder))
	s := &stage{T: h.T, listen: h.socket.Addr().String(), list: h.list, leave: make(chan os.Signal, 1), ended: make(chan error, 1), proxy: p}
	go func() { s.ended <- p.Run(s.leave, nil, nil) }()
	h.eventually(func() bool { f := p.Figures(); return f != nil && f.Ready })
	return s
}

func (h *house) eventually(holds func() bool) {
	h.Helper()
	require.Eventually(h, holds, 5*time.Second, 10*time.Millisecond)
}

// current waits until a process holds so many.
func (s *stage) current(n int) {
	s.Helper()
	require.Eventually(s, func() bool { return s.proxy.Figures().Current == n }, 5*time.Second, 10*time.Millisecond)
}

// comesToSay waits until a process answers the front so.
func (s *stage) comesToSay(word string) {
	s.Helper()
	require.Eventually(s, func() bool {
		asks := s.call("PING\r\n")
		defer asks.Close()
		line, _ := asks.in.ReadString('\n')
		return line == word+"\r\n"
	}, 5*time.Second, 10*time.Millisecond)
}

// endsWithin waits until a process has ended in good order.
func (s *stage) endsWithin(span time.Duration) {
	s.Helper()
	select {
	case err := <-s.ended:
		require.NoError(s, err)
	case <-time.After(span):
		require.Fail(s, "it never ended")
	}
}

func TestConnectionsGoOnInTheNextProcess(t *testing.T) {
	h := newHouse(t)
	first := h.start()
	c, ended := first.open("c=chat,d=1500"), first.open("c=pay,d=1500")
	c.hears("UP a")
	ended.hears("UP a")
	half := first.call("OPEN 77 7 c=ch")
	asks := first.call("PING\r\n")
	asks.hears("PONG")
	for range 3 { // one replacement after the other
		second := h.start()
		first.leave <- syscall.SIGTERM
		first.endsWithin(time.Second)
		second.current(2)
		c.says("M 1\r\n")
		c.hears("M 1")
		asks.says("PING\r\n")
		asks.hears("PONG")
		first = second
	}
	require.Equal(t, 2, h.server.Conns(), "no attempt was made for them again")
	half.says("at,d=1500\r\n")
	half.hears("UP a")
	fleet.Reset(ended.Conn)
	first.current(2)
	require.NoError(t, h.server.Last().Close())
	half.ends(false)
	first.open("c=chat,d=1500").hears("UP a")
}

func TestWhatIsPendingStaysAndIsPassedOnOnceItStands(t *testing.T) {
	h := newHouse(t)
	first := h.start()
	never, harmless := first.open("x=1,c=pay,d=1000"), first.open("x=1,c=chat,d=700")
	first.current(2)
	h.start()
	first.leave <- syscall.SIGTERM
	harmless.hears("BUSY")
	never.hears("ERR")
	first.endsWithin(3 * time.Second)
	var lines []string
	for _, line := range h.server.Lines() {
		if strings.Contains(line, "c=pay") {
			lines = append(lines, line)
		}
	}
	require.Len(t, lines, 1, "once only, whoever answers for it")
}

func TestTheOldProcessServesOnWhenTheNewOneDies(t *testing.T) {
	h := newHouse(t)
	first := h.start()
	c := first.open("c=chat,d=1500")
	c.hears("UP a")
	second := h.start()
	second.leave <- syscall.SIGTERM // it fails a moment after it could serve
	second.endsWithin(3 * time.Second)
	var held []*caller
	for range 5 {
		held = append(held, first.open("c=chat,d=1500"))
		held[len(held)-1].hears("UP a")
	}
	first.current(6)
	third := h.start() // finds the first again
	first.leave <- syscall.SIGTERM
	first.endsWithin(time.Second)
	third.current(6)
	for _, c := range append(held, c) {
		c.says("M 1\r\n")
		c.hears("M 1")
	}
}

func TestTheHeirOfADrainedProxyIsDrained(t *testing.T) {
	h := newHouse(t)
	first := h.start()
	c := first.open("c=chat,d=1500")
	c.hears("UP a")
	require.NoError(t, first.proxy.Evacuate(context.Background()))
	second := h.start()
	second.comesToSay("ERR not ready")
	first.leave <- syscall.SIGTERM
	c.hears("MOVE") // whoever holds it by then
	first.endsWithin(3 * time.Second)
	require.NoError(t, second.proxy.Rejoin(context.Background()))
	second.pings("PONG")

	third := h.start() // an order that comes between the yes and SIGTERM counts for both
	require.NoError(t, second.proxy.Evacuate(context.Background()))
	third.comesToSay("ERR not ready")
	require.NoError(t, second.proxy.Rejoin(context.Background()))
	third.comesToSay("PONG")
}

func TestWithoutTheFolderClientsAreMoved(t *testing.T) {
	h := newHouse(t)
	h.folder = ""
	first := h.start()
	c := first.open("c=chat,d=1500")
	c.hears("UP a")
	second := h.start()
	first.leave <- syscall.SIGTERM
	c.hears("MOVE")
	c.ends(false)
	first.endsWithin(3 * time.Second)
	second.open("c=chat,d=1500").hears("UP a")
}

func TestADescriptorThatDoesNotListenIsAClearError(t *testing.T) {
	fd, err := syscall.Open(os.DevNull, syscall.O_RDONLY, 0)
	require.NoError(t, err)
	require.ErrorContains(t, new(proxy.Proxy).Inherit(fd, ""), "descriptor ")
}

// A server's drain that is told after the yes and before SIGTERM: either process may still send, and neither does.
func TestADrainToldInBetweenBindsBothProcesses(t *testing.T) {
	h := newHouse(t)
	other, err := fleet.NewPuppet(func(string) string { return "UP b" })
	require.NoError(t, err)
	first := h.start()
	c := first.open("c=chat,d=1500")
	c.hears("UP a")
	second := h.start()
	h.list.Set("s1", other.Address, "ready")
	h.list.Set("s0", h.server.Address, "draining")
	first.shows("cluster_size 2", "cluster_unhealthy 1")
	second.shows("cluster_size 2", "cluster_unhealthy 1")
	c.hears("MOVE") // by the process that holds it
	for range 4 {
		second.open("c=chat,d=1500").hears("UP b")
	}
	first.leave <- syscall.SIGTERM
	first.endsWithin(3 * time.Second)
	second.open("c=chat,d=1500").hears("UP b")
	require.Len(t, h.server.Lines(), 1)
}

// One that finds the old process, hangs and then ends never said that it can serve: the next one found nobody.
func TestAnHeirThatHangsTakesNothing(t *testing.T) {
	h := newHouse(t)
	first := h.start()
	c := first.open("c=chat,d=1500")
	c.hears("UP a")
	hung, err := succession.Find(h.folder)
	require.NoError(t, err)
	for range 3 {
		first.open("c=chat,d=1500").hears("UP a")
	}
	require.NoError(t, hung.Send([]byte("no packet of ours")))
	first.open("c=pay,d=1500").hears("UP a")
	h.eventually(func() bool { return findable(h.folder) })
	second := h.start()
	first.leave <- syscall.SIGTERM
	first.endsWithin(3 * time.Second)
	second.current(5)
	c.says("M 1\r\n")
	c.hears("M 1")
	hung.Close()
}

// The word to leave overtook the successor's that it can serve, one time in ten on a busy machine: all clients were moved.
func TestAnHeirThatSaysSoJustAfterTheWordToLeaveTakesOver(t *testing.T) {
	h := newHouse(t)
	first := h.start()
	c := first.open("c=chat,d=1500")
	c.hears("UP a")
	front := first.call("PING\r\n")
	front.hears("PONG")
	heir, err := succession.Find(h.folder)
	require.NoError(t, err)
	defer heir.Close()
	first.leave <- syscall.SIGTERM
	require.Eventually(t, func() bool {
		front.says("PING\r\n")
		line, err := front.in.ReadString('\n')
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
	c.says("M 1\r\n")
}

func findable(folder string) bool {
	c, err := succession.Find(folder)
	if err == nil {
		c.Close()
	}
	return err == nil
}
