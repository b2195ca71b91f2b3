package experiment_test

import (
	"context"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"hatchproxy/lab/experiment"
	"hatchproxy/lab/rundir"
)

// buildAgent builds the agent once, next to the proxy's binary, and returns the path of its binary.
var buildAgent = sync.OnceValues(func() (string, error) {
	proxy, err := buildProxy()
	if err != nil {
		return "", err
	}
	path := filepath.Join(filepath.Dir(proxy), "hatchagent")
	output, err := exec.Command("go", "build", "-o", path, "../../cmd/hatchagent").CombinedOutput()
	if err != nil {
		os.Stderr.Write(output)
	}
	return path, err
})

// runFleet plays baseExperiment with six proxies under agents and the given troubles, in which ";" stands for a line break. It
// checks that all expectations are met and that the agents settled after the last fault.
func runFleet(t *testing.T, length, controlSection string, troubles ...string) *experiment.Result {
	t.Helper()
	t.Parallel()
	proxyBinary, err := buildProxy()
	require.NoError(t, err)
	agentBinary, err := buildAgent()
	require.NoError(t, err)
	toml := strings.Replace(baseExperiment, `length = "5s"`, `length = "`+length+`"`, 1)
	toml = strings.Replace(toml, "count = 2", "count = 6", 1) + "[control]\n" + controlSection
	for _, trouble := range troubles {
		toml += "\n[[trouble]]\n" + strings.ReplaceAll(trouble, ";", "\n")
	}
	file, err := experiment.Parse("fleet.toml", []byte(toml))
	require.NoError(t, err)
	dir, storage, err := rundir.New()
	require.NoError(t, err)
	t.Cleanup(func() { _ = os.RemoveAll(dir) })
	t.Logf("the agents' folders are held in: %s", storage)
	result, err := file.Run(context.Background(), experiment.RunOptions{Seed: 3, Placement: experiment.PlacementProxies, ProxyBinary: proxyBinary, AgentBinary: agentBinary, Dir: dir, Logf: t.Logf})
	require.NoError(t, err)
	if record, err := os.ReadFile(filepath.Join(dir, "agents.txt")); err == nil {
		t.Logf("%s", record)
	}
	require.Empty(t, result.Shortfalls, "%s", strings.Join(result.Breaches, "\n"))
	require.Positive(t, result.Figures["settled-s"])
	return result
}

// Guards against lost orders: a machine crashed and restarted while it was cut off from the others. Its agent started the
// instances with the commands that it had applied itself, which were none, and so a server that the instances had been ordered to
// drain was ready for them again.
func TestARestartedMachineThatIsCutOffAppliesItsInstancesOrders(t *testing.T) {
	runFleet(t, "10s", "agents = 3\n", `kind = "order-drain"; at = "300ms"; for = "9s"; servers = [0]`,
		`kind = "fault-cut"; at = "1500ms"; for = "7500ms"; servers = [1]`, `kind = "fault-crash"; at = "2s"; for = "300ms"; servers = [1]`)
}

func TestASiteIsCutOffAndAnotherGoesDarkAndTheRulesHold(t *testing.T) {
	result := runFleet(t, "10s", "agents = 4\nvoters = 3\nsites = 2\n", `kind = "fault-site-cut"; at = "1s"; for = "2s"; servers = [1]`, `kind = "order-drain"; at = "1200ms"; for = "3s"; servers = [3]`,
		`kind = "fault-site-dark"; at = "5s"; for = "2s"; servers = [0]`)
	require.Zero(t, result.Figures["orders-unheard"])
	require.Greater(t, result.Figures["served"], 0.5)
}

func TestInstancesSleepLoseTheirAgentAndTheirServersAndTheRulesHold(t *testing.T) {
	result := runFleet(t, "8s", "agents = 2\nvoters = 1\nsites = 2\nclocks = true\n", `kind = "fault-sleep"; at = "500ms"; for = "1500ms"; servers = [0]`, `kind = "order-drain"; at = "700ms"; for = "5s"; servers = [1]`,
		`kind = "fault-agent-dead"; at = "3s"; for = "500ms"; servers = [1]`, `kind = "fault-no-servers"; at = "4s"; for = "2s"; servers = [0]`)
	require.Zero(t, result.Figures["orders-unheard"])
}
