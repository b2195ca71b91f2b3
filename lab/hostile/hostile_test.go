package hostile_test

import (
	"context"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hatchproxy/lab/hostile"
)

const (
	// memoryMB and descriptorLimit are what the platform gives a proxy.
	memoryMB        = 32
	descriptorLimit = 256
	// lineTarget is how long an ordinary client's line may take at p99 beside hostile clients on an idle machine. The test, which may
	// run on a busy one, asks it of the median.
	lineTarget = 20 * time.Millisecond
	// playTime is how long the hostile clients of a kind come.
	playTime = 3 * time.Second
)

// buildProxy builds the proxy and returns its path.
func buildProxy(t *testing.T) string {
	program := filepath.Join(t.TempDir(), "hatchproxy")
	out, err := exec.Command("go", "build", "-o", program, "hatchproxy/cmd/hatchproxy").CombinedOutput()
	require.NoError(t, err, string(out))
	return program
}

// Guards against clients that make a process exceed its memory or its descriptors, or leave it with fewer descriptors: large requests kept
// 53 MB alive, as timers held each request for 2.5 s after it had ended. And against one client that writes short lines at full speed
// and holds up the lines of all others for 40 ms and more, as each line was written by a system call of its own.
func TestHostileClientsStayWithinTheLimitsOfTheProcess(t *testing.T) {
	program := buildProxy(t)
	for _, kind := range hostile.Kinds {
		t.Run(kind.Name, func(t *testing.T) {
			report, err := hostile.Run(context.Background(), kind, hostile.Options{
				Program: program, MemoryMB: memoryMB, Descriptors: descriptorLimit, Clients: 2 * kind.Clients, Duration: playTime, Seed: 1})
			require.NoError(t, err)
			t.Logf("%+v", report)
			require.Positive(t, report.Operations)
			require.Less(t, report.PeakMemoryMB, float64(memoryMB))
			require.LessOrEqual(t, report.DescriptorsPeak, descriptorLimit)
			require.LessOrEqual(t, report.DescriptorsAfter, report.DescriptorsBefore)
			require.NotZero(t, report.LineCount, "established clients are served")
			require.Zero(t, report.Repeated, "ids that ran twice")
			require.Less(t, report.Lines.P50, lineTarget)
		})
	}
}
