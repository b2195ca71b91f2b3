package proxy_test

import (
	"bytes"
	"log/slog"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hatchproxy/internal/proxy"
)

// logBuffer is a log that can be read while it is being written.
type logBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (l *logBuffer) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(b)
}

// contains reports whether the text has been logged.
func (l *logBuffer) contains(text string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return strings.Contains(l.text.String(), text)
}

// tail returns the last lines of the log.
func (l *logBuffer) tail(lines int) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	all := strings.Split(strings.TrimSpace(l.text.String()), "\n")
	return strings.Join(all[max(0, len(all)-lines):], "\n")
}

// traceSteps returns the trace steps in the log, in order.
func (l *logBuffer) traceSteps() (steps []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for line := range strings.Lines(l.text.String()) {
		for _, step := range []string{"asked", "sent", "failed", "up", "ended", "answered"} {
			if strings.Contains(line, "msg="+step+" id=") {
				steps = append(steps, step)
			}
		}
	}
	return steps
}

// At debug level each step of a request must be in the log, so that a request can be followed to its end. Guards against
// logs that have set-ups and no ends, so that the time that clients lost cannot be accounted for.
func TestEachStepOfARequestIsInTheDebugLog(t *testing.T) {
	log := &logBuffer{}
	s, _ := startProxyWithConfig(t, configWithoutProbes, 1024, func(p *proxy.Proxy) {
		p.SetLogger(slog.New(slog.NewTextHandler(log, &slog.HandlerOptions{Level: slog.LevelDebug})))
	}, "BUSY", "UP b")
	c := s.openRequest("c=chat,d=1500")
	c.expectLine("UP b")
	require.NoError(t, c.Close())
	require.Eventually(t, func() bool { steps := log.traceSteps(); return len(steps) > 0 && steps[len(steps)-1] == "ended" },
		5*time.Second, time.Millisecond)
	steps := strings.Join(log.traceSteps(), " ")
	require.Contains(t, []string{"asked sent up ended", "asked sent failed sent up ended"}, steps)
}
