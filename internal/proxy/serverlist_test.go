package proxy_test

import (
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
	"hatchproxy/lab/fleet"
	"hatchproxy/logic"
)

// openAndReadAnswer sends a request on a new connection and returns the answer, without the line's end.
func (s *harness) openAndReadAnswer() string {
	c := s.openRequest("c=chat,d=1500")
	defer c.Close()
	require.NoError(s, c.SetReadDeadline(time.Now().Add(5*time.Second)))
	line, err := c.reader.ReadString('\n')
	require.NoError(s, err)
	return strings.TrimSuffix(line, "\r\n")
}

// Guards against requests that go to a draining server for too long (once 14 s) after the watch on the list fell silent:
// the proxy gave the call up too late, 4 s after the end of its long poll, and waited another second before the next.
func TestDrainDuringSilentWatchIsNoticedBeforeItCountsAsDelivered(t *testing.T) {
	s, servers := startProxy(t, 1024, "UP a", "UP b")
	callsBefore := s.list.RequestCount()
	require.Eventually(t, func() bool { return s.list.RequestCount() > callsBefore }, 5*time.Second, time.Millisecond, "a new watch")
	s.list.SilenceOpenRequests()
	silentSince := time.Now()
	s.list.SetServer("s0", "", "draining")
	calls := s.list.RequestCount()
	require.Eventually(t, func() bool { return s.list.RequestCount() > calls+1 }, 5*time.Second, time.Millisecond,
		"another call and, as that was answered, the next watch")
	require.Less(t, time.Since(silentSince), 3*time.Second, "a long poll of 1 s and the 2 s after which the drain counts as delivered")
	for range 4 {
		s.openRequest("c=chat,d=1500").expectLine("UP b")
	}
	require.Empty(t, servers[0].FirstLines())
}

// Guards against a request that is sent to a draining server when the drain arrives while the dial is under way.
func TestNoRequestIsSentIfServerBeganToDrainDuringDial(t *testing.T) {
	hold, dialled, release := holdDials()
	s, servers := startProxyWithConfig(t, configWithoutProbes, 1024, hold, "UP a")
	first := s.openRequest("c=chat,d=1500")
	<-dialled
	s.list.SetServer("s0", "", "draining")
	require.Eventually(t, func() bool {
		s.openRequest("c=chat,d=60").expectLine("BUSY")
		select {
		case <-dialled:
			return false
		default:
			return true
		}
	}, 5*time.Second, time.Millisecond, "the proxy has received the drain")
	close(release)
	first.expectLine("BUSY")
	require.Empty(t, servers[0].FirstLines())
}

// The list of a discovery service counts as delivered a fixed time after a new configuration names the service, even if it
// does not answer. From then on nothing may be sent by the old list.
func TestNothingIsSentByAnOutdatedList(t *testing.T) {
	const grace = 200 * logic.Millisecond
	s, servers := startProxyWith(t, 1024, func(p *proxy.Proxy) { p.SetListLimits(grace, 10*logic.Second, false) }, "UP a")
	newService, err := fleet.StartManualDiscovery()
	require.NoError(t, err)
	newService.SetFailure("silent")
	s.readConfig = func() (proxy.ReloadedConfig, error) {
		balancer, err := platformconfig.SettingsFromLines(baseConfig).NewBalancer(9)
		return proxy.ReloadedConfig{Discovery: discovery.NewClient(newService.Address(), time.Second), Balancer: balancer, Classes: []string{"chat", "pay"},
			HardLimits: []logic.Micros{1500 * logic.Millisecond, 1500 * logic.Millisecond}, DialTimeout: 250 * logic.Millisecond,
			LateThreshold: 50 * logic.Millisecond, DrainGrace: grace, MaxPollInterval: 10 * logic.Second}, err
	}
	s.reloadSignals <- syscall.SIGHUP
	began := time.Now()
	s.openRequest("c=chat,d=1500").expectLine("UP a")
	var outdatedAt time.Time
	require.Eventually(t, func() bool {
		outdatedAt = time.Now()
		return s.openAndReadAnswer() == "BUSY"
	}, 9*time.Second, 20*time.Millisecond, "the new service's list counts as delivered by now")
	require.Greater(t, outdatedAt.Sub(began), 4*time.Second, "the list is used as long as allowed")
	sent := len(servers[0].FirstLines())
	waiting := s.openRequest("c=chat,d=1500")
	second, err := fleet.StartScriptedServer(func(string) string { return "UP b" })
	require.NoError(t, err)
	newService.SetServer("s9", second.Address, "ready")
	newService.SetFailure("")
	require.Eventually(t, func() bool { return s.openAndReadAnswer() == "UP b" }, 8*time.Second, 20*time.Millisecond, "the new service answers, and its list is used")
	require.Len(t, servers[0].FirstLines(), sent, "nothing was sent by the old list")
	line, err := waiting.reader.ReadString('\n')
	require.NoError(t, err)
	require.Contains(t, []string{"BUSY\r\n", "UP b\r\n"}, line, "the waiting client is answered")
}

// Guards against requests that go to a draining server for 40 s while the discovery service rejects calls. That is
// four times the longest allowed interval between two list requests: failed calls extended the time for which the list
// was used, which they must not.
func TestRejectedListRequestDoesNotExtendFreshness(t *testing.T) {
	const grace = 200 * logic.Millisecond
	s, servers := startProxyWith(t, 1024, func(p *proxy.Proxy) { p.SetListLimits(grace, 10*logic.Second, false) }, "UP a")
	s.openRequest("c=chat,d=1500").expectLine("UP a")
	s.list.SetFailure("down")
	downSince := time.Now()
	s.list.SetServer("s0", "", "draining")
	require.Eventually(t, func() bool { return s.openAndReadAnswer() == "BUSY" }, 8*time.Second, 20*time.Millisecond,
		"a change counts as delivered 6 s after the service has it and can be reached")
	require.Greater(t, time.Since(downSince), 4*time.Second, "the list is used as long as allowed")
	sent := len(servers[0].FirstLines())
	second, err := fleet.StartScriptedServer(func(string) string { return "UP b" })
	require.NoError(t, err)
	s.list.SetServer("s9", second.Address, "ready")
	s.list.SetFailure("")
	upSince := time.Now()
	require.Eventually(t, func() bool { return s.openAndReadAnswer() == "UP b" }, 8*time.Second, 20*time.Millisecond)
	require.Less(t, time.Since(upSince), 6*time.Second, "the list is requested again before its changes count as delivered")
	require.Len(t, servers[0].FirstLines(), sent, "nothing was sent by the old list")
}

// The discovery service is down for longer than its answers are fresh. As nobody can reach it, no change counts as
// delivered: the list stays in use, or the whole fleet would refuse all requests.
func TestListStaysInUseWhileServiceIsUnreachable(t *testing.T) {
	s, _ := startProxyWith(t, 1024, func(p *proxy.Proxy) { p.SetListLimits(200*logic.Millisecond, 10*logic.Second, false) }, "UP a")
	s.openRequest("c=chat,d=1500").expectLine("UP a")
	s.list.Close()
	ticker := time.NewTicker(100 * time.Millisecond)
	defer ticker.Stop()
	for downSince := time.Now(); time.Since(downSince) < 9*time.Second; <-ticker.C {
		require.Equal(t, "UP a", s.openAndReadAnswer())
	}
}

// crowdedQueueTime is how long calls wait at a crowded service: longer than the 1 s after which the balancer asks for the list
// again with baseConfig, and shorter than the time after which calls are given up.
const crowdedQueueTime = 1700 * time.Millisecond

// Guards against a drain that is never heard while the service is crowded: the proxy's next call cut off each one that was
// about to be answered.
func TestACallToACrowdedServiceIsNotCutOffByTheNextOne(t *testing.T) {
	s, servers := startProxyWithConfig(t, configWithoutProbes, 1024, (*proxy.Proxy).EnableMetrics, "UP a", "UP b")
	s.list.SetFailure("down")
	calls := s.list.RequestCount()
	require.Eventually(t, func() bool { return s.list.RequestCount() > calls }, 5*time.Second, 5*time.Millisecond, "the watch has ended")
	s.list.SetQueueTime(crowdedQueueTime)
	s.list.SetServer("s0", "", "draining")
	s.list.SetFailure("")
	require.Eventually(t, func() bool { return strings.Contains(string(s.proxy.Metrics().Text()), "cluster_unhealthy 1\n") },
		6*time.Second, 10*time.Millisecond, "the drain counts as delivered then")
	for range 4 {
		s.openRequest("c=chat,d=1500").expectLine("UP b")
	}
	require.Empty(t, servers[0].FirstLines())
}

// Guards against a process that is never ready because it cuts off its own calls while the service is crowded.
func TestAProcessIsReadyWhileTheServiceIsCrowded(t *testing.T) {
	h := newHandoverEnv(t)
	h.list.SetQueueTime(crowdedQueueTime)
	h.startProcess().openRequest("c=chat,d=1500").expectLine("UP a")
}

// Guards against requests that a new process sends by the list of an earlier run while its agent is silent: what the agent has
// counts as delivered from the process's first moment.
func TestANewProcessSendsNothingBeforeItsAgentHasAnswered(t *testing.T) {
	t.Parallel()
	list, err := fleet.StartManualDiscovery()
	require.NoError(t, err)
	server, err := fleet.StartScriptedServer(func(string) string { return "UP a" })
	require.NoError(t, err)
	list.SetServer("s0", server.Address, "ready")
	list.SetFailure("down")
	b, err := platformconfig.SettingsFromLines(configWithoutProbes).NewBalancer(7)
	require.NoError(t, err)
	placeholder, err := net.Listen("tcp", uniqueHost()+":0")
	require.NoError(t, err)
	require.NoError(t, placeholder.Close())
	options := testOptions(slog.New(slog.DiscardHandler), b, placeholder.Addr().String(), list, 1024)
	options.CachedList = fmt.Appendf(nil, `{"rev":1,"all":true,"targets":[{"uid":"s0","endpoint":%q,"az":"a","model":"m","state":"ready","capacity_hint":1}]}`, server.Address)
	p := proxy.New(options)
	p.SetListLimits(200*logic.Millisecond, 10*logic.Second, true)
	s := &harness{T: t, listenAddr: options.Listen, list: list, leaveSignals: make(chan os.Signal, 1), runResult: make(chan error, 1), proxy: p}
	go func() { s.runResult <- p.Run(s.leaveSignals, nil, nil) }()
	require.Eventually(t, func() bool {
		c, err := net.Dial("tcp", s.listenAddr)
		if err == nil {
			_ = c.Close()
		}
		return err == nil
	}, 5*time.Second, 5*time.Millisecond, "it listens")
	require.Equal(t, "BUSY", s.openAndReadAnswer(), "not ready yet")
	s.waitForPingAnswer("PONG")
	require.Equal(t, "BUSY", s.openAndReadAnswer(), "ready, without a word of its agent")
	require.Empty(t, server.FirstLines())
	list.SetFailure("")
	require.Eventually(t, func() bool { return s.openAndReadAnswer() == "UP a" }, 5*time.Second, 20*time.Millisecond)
	s.leaveSignals <- syscall.SIGTERM
	s.waitForExit(3 * time.Second)
}

// requestsAfter opens requests for a while, and returns how many of those that began after the limit a server got.
func (s *harness) requestsAfter(limit time.Time, server *fleet.ScriptedServer, until time.Time) int {
	s.Helper()
	for time.Now().Before(limit) {
		s.openAndReadAnswer()
		time.Sleep(20 * time.Millisecond)
	}
	time.Sleep(50 * time.Millisecond)
	before := len(server.FirstLines())
	for time.Now().Before(until) {
		s.openAndReadAnswer()
		time.Sleep(20 * time.Millisecond)
	}
	return len(server.FirstLines()) - before
}

// Guards against requests that go to a draining server because a watch that was turned away had a long hold time: the list
// counted as fresh until 2 s after that time, as if the watch had fallen silent.
func TestAWatchThatIsTurnedAwayDoesNotExcuseAnOldListForItsHoldTime(t *testing.T) {
	const grace, hold = 200 * time.Millisecond, 20 * time.Second
	s, servers := startProxyWithHold(t, hold, configWithoutProbes, 1024, func(p *proxy.Proxy) {
		p.SetListLimits(logic.Micros(grace.Microseconds()), 10*logic.Second, false)
	}, "UP a")
	require.Equal(t, "UP a", s.openAndReadAnswer())
	calls := s.list.RequestCount()
	s.list.SetServer("s1", "127.0.0.1:9", "gone") // ends the watch, and the next one is turned away
	s.list.SetFailure("down")
	require.Eventually(t, func() bool { return s.list.RequestCount() > calls }, 5*time.Second, time.Millisecond)
	drained := time.Now()
	s.list.SetServer("s0", "", "draining")
	limit := drained.Add(6*time.Second + grace + 50*time.Millisecond)
	require.Zero(t, s.requestsAfter(limit, servers[0], drained.Add(9*time.Second)))
}

// Guards against requests that go to a draining server after a second span because all calls for the list are turned away: an
// outdated list was used again as if the service were silent, although it could be reached.
func TestAnOutdatedListIsNotUsedAgainWhileTheServiceTurnsCallsAway(t *testing.T) {
	const grace, maxPollInterval = 200 * logic.Millisecond, 2 * logic.Second
	s, servers := startProxyWithConfig(t, configWithoutProbes, 1024, func(p *proxy.Proxy) { p.SetListLimits(grace, maxPollInterval, false) }, "UP a")
	require.Equal(t, "UP a", s.openAndReadAnswer())
	s.list.SetFailure("down")
	drained := time.Now()
	s.list.SetServer("s0", "", "draining")
	require.Zero(t, s.requestsAfter(drained.Add(6300*time.Millisecond), servers[0], drained.Add(11*time.Second)))
	s.list.SetServer("s0", "", "ready")
	s.list.SetFailure("")
	require.Eventually(t, func() bool { return s.openAndReadAnswer() == "UP a" }, 6*time.Second, 20*time.Millisecond, "the list is heard again")
}

// The service falls silent for good: a list that is outdated for a while is used again, since nobody hears of changes.
func TestAnOutdatedListIsUsedAgainWhileTheServiceIsSilent(t *testing.T) {
	const grace, maxPollInterval = 200 * logic.Millisecond, 2 * logic.Second
	s, _ := startProxyWithConfig(t, configWithoutProbes, 1024, func(p *proxy.Proxy) { p.SetListLimits(grace, maxPollInterval, false) }, "UP a")
	s.list.SetFailure("silent")
	silentSince := time.Now()
	require.Eventually(t, func() bool { return s.openAndReadAnswer() == "BUSY" }, 8*time.Second, 20*time.Millisecond, "outdated")
	require.Eventually(t, func() bool { return s.openAndReadAnswer() == "UP a" }, 6*time.Second, 20*time.Millisecond, "used again")
	require.Greater(t, time.Since(silentSince), 6*time.Second)
	s.list.SetFailure("down")
	require.Eventually(t, func() bool { return s.openAndReadAnswer() == "BUSY" }, 6*time.Second, 20*time.Millisecond, "it could be reached")
}
