package proxy_test

import (
	"context"
	"io"
	"runtime"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"hatchproxy/internal/proxy"
	"hatchproxy/lab/fleet"
)

// waitForMetrics waits until the proxy's metrics contain all of the lines, which are given without their prefix.
func (s *harness) waitForMetrics(lines ...string) {
	s.Helper()
	require.EventuallyWithT(s, func(c *assert.CollectT) {
		text := "\n" + string(s.proxy.Metrics().Text())
		for _, line := range lines {
			assert.Contains(c, text, "\nedge_router_"+line+"\n")
		}
	}, 3*time.Second, 10*time.Millisecond)
}

func TestMetricsMatchWhatClientsAndServersReceived(t *testing.T) {
	s, servers := startProxyWithConfig(t, configWithoutProbes, 1024, (*proxy.Proxy).EnableMetrics, "BUSY")
	s.waitForMetrics("current 0", "cluster_size 1", "cluster_unhealthy 0", `transactions{group="pay",state="answered"} 0`)
	s.openRequest("c=pay,d=700").expectLine("BUSY") // sent three times, and each time refused by the server
	s.waitForMetrics("sends 3", `transactions{group="pay",state="deferred"} 1`, "cluster_unhealthy 1")
	s.list.SetServer("s0", "", "gone")
	erring, err := fleet.StartScriptedServer(func(line string) string {
		if strings.Contains(line, "x=1") {
			return "ERR"
		}
		return "UP a"
	})
	require.NoError(t, err)
	s.list.SetServer("s1", erring.Address, "ready")
	s.waitForMetrics("cluster_size 1", "cluster_unhealthy 0")
	s.openRequest("x=1,c=pay,d=700").expectLine("ERR")
	s.dial("OPEN 77 7 c=none,d=5\r\n").expectLine("ERR the class is unknown") // not a configured class
	s.waitForMetrics("sends 4", `transactions{group="pay",state="errored"} 1`)
	a, b := s.openRequest("c=chat,d=700"), s.openRequest("c=chat,d=700")
	a.expectLine("UP a")
	b.expectLine("UP a")
	runtime.GC() // established connections stay
	s.waitForMetrics("sends 6", "current 2", `transactions{group="chat",state="answered"} 2`)
	require.NoError(t, a.Close())
	require.NoError(t, b.Close())
	erring.CloseListener()
	s.waitForMetrics("current 0")
	s.openRequest("c=chat,d=700").expectLine("BUSY")
	s.waitForMetrics("sends 6", `transactions{group="chat",state="deferred"} 1`, `transactions{group="chat",state="errored"} 0`)
	require.Len(t, servers[0].FirstLines(), 3)
}

// expectPingAnswer sends a health check on a new connection and checks its answer.
func (s *harness) expectPingAnswer(want string) {
	s.Helper()
	s.dial("PING\r\n").expectLine(want)
}

func TestEvacuatedProxyMovesItsClientsAndRejoins(t *testing.T) {
	s, _ := startProxyWith(t, 1024, (*proxy.Proxy).EnableMetrics, "UP a")
	ctx := context.Background()
	require.NoError(t, s.proxy.Rejoin(ctx), "without an evacuation it changes nothing")
	s.expectPingAnswer("PONG")
	var clients []*testClient
	for range 30 {
		c := s.openRequest("c=chat,d=1500")
		c.expectLine("UP a")
		clients = append(clients, c)
	}
	began := time.Now()
	require.NoError(t, s.proxy.Evacuate(ctx))
	s.expectPingAnswer("ERR not ready")
	require.NoError(t, s.proxy.Evacuate(ctx))
	late := s.openRequest("c=chat,d=1500") // new connections still come until the health check has been noticed
	late.expectLine("UP a")
	late.send("M 1\r\n")
	late.expectLine("M 1")
	for _, c := range append(clients, late) {
		c.expectLine("MOVE")
		c.expectEnd(false)
	}
	require.Greater(t, time.Since(began), 700*time.Millisecond, "the moves are spread, so as not to overload the other proxies")
	require.Less(t, time.Since(began), 3*time.Second)
	s.waitForMetrics("current 0")
	require.NoError(t, s.proxy.Rejoin(ctx))
	s.expectPingAnswer("PONG")
	s.openRequest("c=chat,d=1500").expectLine("UP a")
}

func TestRejoinDuringMovesKeepsTheRemainingClients(t *testing.T) {
	s, _ := startProxyWithConfig(t, configWithoutProbes, 1024, func(*proxy.Proxy) {}, "UP a")
	var clients []*testClient
	for range 20 {
		c := s.openRequest("c=chat,d=1500")
		c.expectLine("UP a")
		clients = append(clients, c)
	}
	require.NoError(t, s.proxy.Evacuate(context.Background()))
	clients[0].expectLine("MOVE")
	require.NoError(t, s.proxy.Rejoin(context.Background()))
	deadline, moved := time.Now().Add(3*time.Second), 0
	for _, c := range clients {
		require.NoError(t, c.SetReadDeadline(deadline))
		if rest, _ := io.ReadAll(c.reader); string(rest) == "MOVE\r\n" {
			moved++
		}
	}
	require.Less(t, moved, 10, "no more clients are moved after the rejoin")
}

func TestPendingRequestIsAnsweredInTimeDuringEvacuation(t *testing.T) {
	s, _ := startProxy(t, 1024, "NONE")
	c := s.openRequest("c=pay,d=20000")
	require.NoError(t, s.proxy.Evacuate(context.Background()))
	c.expectLine("ERR")
}

func TestEvacuatedProxyLeavesOnSIGTERM(t *testing.T) {
	s, _ := startProxy(t, 1024, "UP a")
	c := s.openRequest("c=chat,d=1500")
	c.expectLine("UP a")
	require.NoError(t, s.proxy.Evacuate(context.Background()))
	s.leaveSignals <- syscall.SIGTERM
	c.expectLine("MOVE")
	require.NoError(t, s.proxy.Rejoin(context.Background()), "it has no effect: the proxy is leaving")
	require.NoError(t, <-s.runResult)
}

// A server's drain and a new configuration take effect while the proxy itself evacuates.
func TestEvacuatingProxyFollowsTheListAndReloadsConfig(t *testing.T) {
	s, servers := startProxyWithConfig(t, configWithoutProbes, 1024, (*proxy.Proxy).EnableMetrics, "UP a", "UP b")
	require.NoError(t, s.proxy.Evacuate(context.Background()))
	s.list.SetServer("s0", servers[0].Address, "draining")
	s.waitForMetrics("cluster_size 2", "cluster_unhealthy 1")
	s.reloadConfig(strings.Replace(configWithoutProbes, "0.name=chat", "0.name=chat-2", 1), "chat-2", "pay")
	s.waitForMetrics("conf_loaded 1")
	s.expectPingAnswer("ERR not ready")
	require.NoError(t, s.proxy.Rejoin(context.Background()))
	s.expectPingAnswer("PONG")
	for range 4 {
		s.openRequest("c=chat-2,d=1500").expectLine("UP b")
	}
	s.openRequest("c=chat,d=1500").expectLine("ERR the class is unknown")
	require.Empty(t, servers[0].FirstLines())
}

func TestClientsThatDoNotReadAreMovedAllTheSame(t *testing.T) {
	s, _ := startProxyWithConfig(t, configWithoutProbes, 1024, (*proxy.Proxy).EnableMetrics, "UP a")
	var notReading []*testClient
	for range 5 {
		c := s.openRequest("c=chat,d=1500")
		notReading = append(notReading, c)
	}
	s.waitForMetrics("current 5", `transactions{group="chat",state="answered"} 5`)
	go func() { // they keep sending
		for range 50 {
			for _, c := range notReading {
				_, _ = c.Write([]byte("M 1\r\n"))
			}
			time.Sleep(20 * time.Millisecond)
		}
	}()
	began := time.Now()
	require.NoError(t, s.proxy.Evacuate(context.Background()))
	s.waitForMetrics("current 0")
	require.Less(t, time.Since(began), 3*time.Second)
}
