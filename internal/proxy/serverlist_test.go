package proxy_test

import (
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

// openAndReadAnswer is the line that a client hears that asks and goes.
func (s *harness) openAndReadAnswer() string {
	c := s.openRequest("c=chat,d=1500")
	defer c.Close()
	require.NoError(s, c.SetReadDeadline(time.Now().Add(5*time.Second)))
	line, err := c.reader.ReadString('\n')
	require.NoError(s, err)
	return strings.TrimSuffix(line, "\r\n")
}

// A watch fell silent right after the start, a server began to drain, and 14 s later it was still sent to: the call was
// given up 4 s after its wait, and the next one came a second after that.
func TestADrainThatASilentWatchMissesIsHeardBeforeItCounts(t *testing.T) {
	s, servers := startProxy(t, 1024, "UP a", "UP b")
	watching := s.list.Calls()
	require.Eventually(t, func() bool { return s.list.Calls() > watching }, 5*time.Second, time.Millisecond, "a new watch")
	s.list.Hush()
	silent := time.Now()
	s.list.Set("s0", "", "draining")
	calls := s.list.Calls()
	require.Eventually(t, func() bool { return s.list.Calls() > calls+1 }, 5*time.Second, time.Millisecond,
		"another call and, as that was answered, the next watch")
	require.Less(t, time.Since(silent), 3*time.Second, "its wait of a second, and the two after which it counts as told")
	for range 4 {
		s.openRequest("c=chat,d=1500").expectLine("UP b")
	}
	require.Empty(t, servers[0].Lines())
}

// A attempt was dialled when its server began to drain, and the connection came up when that had long been told.
func TestNothingIsWrittenToAServerThatDrainsWhenTheDialComesUp(t *testing.T) {
	hold, dialled, release := holdDials()
	s, servers := startProxyWithConfig(t, configWithoutProbes, 1024, hold, "UP a")
	first := s.openRequest("c=chat,d=1500")
	<-dialled
	s.list.Set("s0", "", "draining")
	require.Eventually(t, func() bool {
		s.openRequest("c=chat,d=60").expectLine("BUSY")
		select {
		case <-dialled:
			return false
		default:
			return true
		}
	}, 5*time.Second, time.Millisecond, "the proxy has heard of the drain")
	close(release)
	first.expectLine("BUSY")
	require.Empty(t, servers[0].Lines())
}

// What a list's service has to tell counts as told some time after a new configuration named it, whether or not it speaks.
func TestWhileTheListIsTooOldNothingIsSentByIt(t *testing.T) {
	const grace = 200 * logic.Millisecond
	s, servers := startProxyWith(t, 1024, func(p *proxy.Proxy) { p.SetListLimits(grace, 10*logic.Second, false) }, "UP a")
	other, err := fleet.ByHand()
	require.NoError(t, err)
	other.Break("silent")
	s.readConfig = func() (proxy.ReloadedConfig, error) {
		rules, err := platformconfig.SettingsFromLines(baseConfig).NewBalancer(9)
		return proxy.ReloadedConfig{Discovery: discovery.NewClient(other.Address(), time.Second), Balancer: rules, Classes: []string{"chat", "pay"},
			HardLimits: []logic.Micros{1500 * logic.Millisecond, 1500 * logic.Millisecond}, DialTimeout: 250 * logic.Millisecond,
			LateThreshold: 50 * logic.Millisecond, DrainGrace: grace, MaxPollInterval: 10 * logic.Second}, err
	}
	s.reloadSignals <- syscall.SIGHUP
	began := time.Now()
	s.openRequest("c=chat,d=1500").expectLine("UP a")
	var old time.Time
	require.Eventually(t, func() bool {
		old = time.Now()
		return s.openAndReadAnswer() == "BUSY"
	}, 9*time.Second, 20*time.Millisecond, "what it says counts as told by now")
	require.Greater(t, old.Sub(began), 4*time.Second, "it goes by the list while it may")
	sent := len(servers[0].Lines())
	waits := s.openRequest("c=chat,d=1500")
	second, err := fleet.NewPuppet(func(string) string { return "UP b" })
	require.NoError(t, err)
	other.Set("s9", second.Address, "ready")
	other.Break("")
	require.Eventually(t, func() bool { return s.openAndReadAnswer() == "UP b" }, 8*time.Second, 20*time.Millisecond, "it speaks, and that is gone by")
	require.Len(t, servers[0].Lines(), sent, "nothing went by the old one")
	line, err := waits.reader.ReadString('\n')
	require.NoError(t, err)
	require.Contains(t, []string{"BUSY\r\n", "UP b\r\n"}, line, "who waited is answered")
}

// The list's service turned calls away, one server began to drain meanwhile, and for 40 s more it was sent to: a failed call
// was taken for leave to go by the list four times as long as it may be asked for.
func TestACallThatIsTurnedAwayExcusesNothing(t *testing.T) {
	const grace = 200 * logic.Millisecond
	s, servers := startProxyWith(t, 1024, func(p *proxy.Proxy) { p.SetListLimits(grace, 10*logic.Second, false) }, "UP a")
	s.openRequest("c=chat,d=1500").expectLine("UP a")
	s.list.Break("down")
	down := time.Now()
	s.list.Set("s0", "", "draining")
	require.Eventually(t, func() bool { return s.openAndReadAnswer() == "BUSY" }, 8*time.Second, 20*time.Millisecond,
		"what changed counts as told 6 s after the service had it, and it could be reached")
	require.Greater(t, time.Since(down), 4*time.Second, "it goes by the list while it may")
	sent := len(servers[0].Lines())
	second, err := fleet.NewPuppet(func(string) string { return "UP b" })
	require.NoError(t, err)
	s.list.Set("s9", second.Address, "ready")
	s.list.Break("")
	back := time.Now()
	require.Eventually(t, func() bool { return s.openAndReadAnswer() == "UP b" }, 8*time.Second, 20*time.Millisecond)
	require.Less(t, time.Since(back), 6*time.Second, "it asks again soon enough to hear what counts as told")
	require.Len(t, servers[0].Lines(), sent, "nothing went by the old list")
}

// The list's service was down for longer than its words count. Nobody could reach it, so that nothing had changed that could
// count as told, and a fleet that turns everybody away meanwhile serves nobody.
func TestWhileNobodyCanReachTheServiceItsListStands(t *testing.T) {
	s, _ := startProxyWith(t, 1024, func(p *proxy.Proxy) { p.SetListLimits(200*logic.Millisecond, 10*logic.Second, false) }, "UP a")
	s.openRequest("c=chat,d=1500").expectLine("UP a")
	s.list.Close()
	asking := time.NewTicker(100 * time.Millisecond)
	defer asking.Stop()
	for down := time.Now(); time.Since(down) < 9*time.Second; <-asking.C {
		require.Equal(t, "UP a", s.openAndReadAnswer())
	}
}
