package proxy_test

import (
	"errors"
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

// reloadConfig makes the proxy reload its configuration: text holds the settings, names lists their classes in order.
func (s *harness) reloadConfig(text string, names ...string) {
	s.reloadWithHardLimit(900*logic.Millisecond, text, names...)
}

// reloadWithHardLimit is reloadConfig with another hard limit of all classes.
func (s *harness) reloadWithHardLimit(hardLimit logic.Micros, text string, names ...string) {
	s.readConfig = func() (proxy.ReloadedConfig, error) {
		balancer, err := platformconfig.SettingsFromLines(text).NewBalancer(9)
		limits := make([]logic.Micros, len(names))
		for i := range limits {
			limits[i] = hardLimit
		}
		return proxy.ReloadedConfig{Discovery: discovery.NewClient(s.list.Address(), time.Second), Balancer: balancer, Classes: names, HardLimits: limits,
			DialTimeout: 250 * logic.Millisecond, LateThreshold: 50 * logic.Millisecond}, err
	}
	s.reloadSignals <- syscall.SIGHUP
}

func TestClassesChangeWhileOpenConnectionsContinue(t *testing.T) {
	s, _ := startProxyWith(t, 1024, (*proxy.Proxy).EnableMetrics)
	received := make(chan struct{}, 20)
	server, err := fleet.StartScriptedServer(func(line string) string {
		if strings.Contains(line, "x=1") {
			received <- struct{}{}
			return "NONE"
		}
		return "UP a"
	})
	require.NoError(t, err)
	s.list.SetServer("s0", server.Address, "ready")
	s.waitForMetrics("cluster_size 1")
	established := s.openRequest("c=pay,d=1500")
	established.expectLine("UP a")
	pending := s.openRequest("x=1,c=chat,d=20000") // harmless, and its dispatches time out
	<-received                                     // must be read before the classes change, also on a busy machine
	text := strings.NewReplacer("0.name=chat", "0.name=chat-2", "0.idempotency=repeatable", "0.idempotency=once",
		"max-dispatches=3", "max-dispatches=1").Replace(baseConfig)
	s.reloadConfig(text, "chat-2", "pay")
	s.waitForMetrics("conf_loaded 1", `transactions{group="chat-2",state="answered"} 0`, `transactions{group="pay",state="answered"} 1`)
	s.openRequest("c=chat,d=1500").expectLine("ERR the class is unknown")
	established.send("M 1\r\n")
	established.expectLine("M 1")
	start := time.Now()
	s.openRequest("x=1,c=chat-2,d=20000").expectLine("ERR") // its class is now sent once only
	require.Less(t, time.Since(start), 1100*time.Millisecond, "under its own hard limit")
	pending.expectLine("BUSY")
	s.waitForMetrics(`transactions{group="chat",state="deferred"} 1`, `transactions{group="chat-2",state="errored"} 1`)
}

func TestAnInvalidConfigurationChangesNothing(t *testing.T) {
	s, _ := startProxyWith(t, 1024, (*proxy.Proxy).EnableMetrics, "UP a")
	s.readConfig = func() (proxy.ReloadedConfig, error) { return proxy.ReloadedConfig{}, errors.New("cut short") }
	s.reloadSignals <- syscall.SIGHUP
	s.waitForMetrics("conf_invalid 1", "conf_loaded 0")
	s.openRequest("c=chat,d=1500").expectLine("UP a")
	s.reloadConfig(baseConfig, "chat", "pay")
	s.waitForMetrics("conf_invalid 1", "conf_loaded 1")
	s.openRequest("c=pay,d=1500").expectLine("UP a")
}

// Guards against a proxy that leaves by the longest deadline that it ever had: SIGKILL, which follows the present one, cut its
// clients off without MOVE.
func TestAProxyLeavesByTheDeadlinesOfTheConfigurationInForce(t *testing.T) {
	const longLimit, shortLimit = 3 * logic.Second, 600 * logic.Millisecond
	for name, dropClass := range map[string]bool{"class dropped": true, "deadline lowered": false} {
		t.Run(name, func(t *testing.T) {
			s, _ := startProxyWithConfig(t, configWithoutProbes, 1024, (*proxy.Proxy).EnableMetrics, "UP a")
			s.reloadWithHardLimit(longLimit, configWithoutProbes, "chat", "pay")
			s.waitForMetrics("conf_loaded 1")
			if dropClass {
				oneClass := strings.NewReplacer("products.count=2", "products.count=1", "message-aim-ms=150,150", "message-aim-ms=150").Replace(configWithoutProbes)
				s.reloadWithHardLimit(shortLimit, oneClass, "chat")
			} else {
				s.reloadWithHardLimit(shortLimit, configWithoutProbes, "chat", "pay")
			}
			s.waitForMetrics("conf_loaded 2")
			var clients []*testClient
			for range 60 {
				c := s.openRequest("c=chat,d=1500")
				c.expectLine("UP a")
				clients = append(clients, c)
			}
			began := time.Now()
			s.leaveSignals <- syscall.SIGTERM
			for _, c := range clients {
				c.expectLine("MOVE")
			}
			require.NoError(t, <-s.runResult)
			require.Less(t, time.Since(began), 1300*time.Millisecond, "SIGKILL follows the longest deadline in force and 0.7 s")
		})
	}
}
