package proxy_test

import (
	"errors"
	"strings"
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

// retune has the proxy read its configuration again: text is the book, names are its classes in order.
func (s *stage) retune(text string, names ...string) {
	s.file = func() (proxy.Renewal, error) {
		rules, err := opening.Lines(text).Balancer(9)
		limits := make([]logic.Micros, len(names))
		for i := range limits {
			limits[i] = 900 * logic.Millisecond
		}
		return proxy.Renewal{Service: discovery.At(s.list.Address(), time.Second), Rules: rules, Products: names, Limits: limits,
			Dialing: 250 * logic.Millisecond, Late: 50 * logic.Millisecond}, err
	}
	s.again <- syscall.SIGHUP
}

func TestClassesComeAndGoWhileOpenConnectionsGoOn(t *testing.T) {
	s, _ := playWith(t, 1024, (*proxy.Proxy).Tell)
	taken := make(chan struct{}, 20)
	server, err := fleet.NewPuppet(func(line string) string {
		if strings.Contains(line, "x=1") {
			taken <- struct{}{}
			return "NONE"
		}
		return "UP a"
	})
	require.NoError(t, err)
	s.list.Set("s0", server.Address, "ready")
	s.shows("cluster_size 1")
	standing := s.open("c=pay,d=1500")
	standing.hears("UP a")
	pending := s.open("x=1,c=chat,d=20000") // harmless, and its dispatches time out
	<-taken                                 // before the classes change: on a busy machine its line was read after that
	text := strings.NewReplacer("0.name=chat", "0.name=chat-2", "0.idempotency=repeatable", "0.idempotency=once",
		"max-dispatches=3", "max-dispatches=1").Replace(book)
	s.retune(text, "chat-2", "pay")
	s.shows("conf_loaded 1", `transactions{group="chat-2",state="answered"} 0`, `transactions{group="pay",state="answered"} 1`)
	s.open("c=chat,d=1500").hears("ERR the class is unknown")
	standing.says("M 1\r\n")
	standing.hears("M 1")
	began := time.Now()
	s.open("x=1,c=chat-2,d=20000").hears("ERR") // once only
	require.Less(t, time.Since(began), 1100*time.Millisecond, "under its own hard limit")
	pending.hears("BUSY")
	s.shows(`transactions{group="chat",state="deferred"} 1`, `transactions{group="chat-2",state="errored"} 1`)
}

func TestAFileThatIsTurnedDownChangesNothing(t *testing.T) {
	s, _ := playWith(t, 1024, (*proxy.Proxy).Tell, "UP a")
	s.file = func() (proxy.Renewal, error) { return proxy.Renewal{}, errors.New("cut short") }
	s.again <- syscall.SIGHUP
	s.shows("conf_invalid 1", "conf_loaded 0")
	s.open("c=chat,d=1500").hears("UP a")
	s.retune(book, "chat", "pay")
	s.shows("conf_invalid 1", "conf_loaded 1")
	s.open("c=pay,d=1500").hears("UP a")
}
