package soak_test

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"hatchproxy/lab/experiment"
	"hatchproxy/lab/soak"
)

// ciSeeds are the seeds that CI runs, one after the other and alone on the machine. Each takes some ten seconds.
var ciSeeds = []uint64{2, 5, 6, 9, 12, 15}

// fullSeeds are the seeds of TestFullSizeSeedsBreakNoRule. Each takes some seventeen seconds.
var fullSeeds = []uint64{1, 2, 3, 4, 5, 6}

// Random faults of system calls, processes, clients, servers and discovery that overlap in time must not break a rule nor
// crash a proxy. `hatchlab soak` runs more and larger schedules.
func TestDrawnFaultsBreakNoRule(t *testing.T) {
	if os.Getenv("HATCHLAB_SOAK") == "" {
		t.Skip("takes a minute and has to run alone: HATCHLAB_SOAK=1 go test ./lab/soak; CI runs it after all other tests")
	}
	playSeeds(t, soak.Short, ciSeeds)
}

// The same at full size, with drains while discovery is crowded.
func TestFullSizeSeedsBreakNoRule(t *testing.T) {
	if os.Getenv("HATCHLAB_SOAK") != "full" {
		t.Skip("has to run alone, and is started by hand: HATCHLAB_SOAK=full go test ./lab/soak")
	}
	playSeeds(t, soak.Full, fullSeeds)
}

// playSeeds plays the schedules of seeds, one after the other.
func playSeeds(t *testing.T, size soak.Size, seeds []uint64) {
	binary := filepath.Join(t.TempDir(), "hatchproxy")
	out, err := exec.Command("go", "build", "-o", binary, "../../cmd/hatchproxy").CombinedOutput()
	require.NoError(t, err, string(out))
	for _, seed := range seeds {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			schedule, err := soak.Generate(seed, size)
			require.NoError(t, err)
			result, err := schedule.Experiment.Run(t.Context(), experiment.RunOptions{Seed: seed, Placement: experiment.PlacementProxies, ProxyBinary: binary, Dir: t.TempDir()})
			require.NoError(t, err)
			t.Logf("%d proxies, %g requests, %g calls failed; %s", schedule.Experiment.Proxies.Count, result.Figures["asks"],
				result.Figures["calls-failed"], strings.Join(schedule.TroubleKinds, " "))
			require.Empty(t, result.Shortfalls, "%s\n%s", strings.Join(result.Breaches, "\n"), strings.Join(result.Crashes, "\n"))
		})
	}
}
