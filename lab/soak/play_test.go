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

// ciSeeds are what CI plays, some ten seconds each, one after the other and beside nothing else.
var ciSeeds = []uint64{2, 5, 6, 9, 12, 15}

// Drawn faults of system calls, processes, clients, servers and discovery, overlapping in time, break no rule and end no
// process. `hatchlab soak` plays more and larger ones.
func TestDrawnFaultsBreakNoRule(t *testing.T) {
	if os.Getenv("HATCHLAB_SOAK") == "" {
		t.Skip("a minute by itself: HATCHLAB_SOAK=1 go test ./lab/soak; CI plays it after all other tests")
	}
	binary := filepath.Join(t.TempDir(), "hatchproxy")
	out, err := exec.Command("go", "build", "-o", binary, "../../cmd/hatchproxy").CombinedOutput()
	require.NoError(t, err, string(out))
	for _, seed := range ciSeeds {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			drawn, err := soak.Generate(seed, soak.Short)
			require.NoError(t, err)
			result, err := drawn.Experiment.Run(t.Context(), experiment.RunOptions{Seed: seed, Placement: experiment.PlacementProxies, ProxyBinary: binary, Dir: t.TempDir()})
			require.NoError(t, err)
			t.Logf("%d proxies, %g requests, %g calls failed; %s", drawn.Experiment.Proxies.Count, result.Figures["asks"],
				result.Figures["calls-failed"], strings.Join(drawn.FaultKinds, " "))
			require.Empty(t, result.Shortfalls, "%s\n%s", strings.Join(result.Breaches, "\n"), strings.Join(result.Crashes, "\n"))
		})
	}
}
