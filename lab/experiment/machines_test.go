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
)

// agent builds the agent once, beside the proxy.
var buildAgent = sync.OnceValues(func() (string, error) {
	proxy, err := buildProxy()
	if err != nil {
		return "", err
	}
	path := filepath.Join(filepath.Dir(proxy), "hatchagent")
	text, err := exec.Command("go", "build", "-o", path, "../../cmd/hatchagent").CombinedOutput()
	if err != nil {
		os.Stderr.Write(text)
	}
	return path, err
})

// runFleet plays the small experiment with six proxies on machines in two sites, and troubles.
func runFleet(t *testing.T, length, control string, troubles ...string) *experiment.Result {
	t.Helper()
	t.Parallel()
	proxy, err := buildProxy()
	require.NoError(t, err)
	agent, err := buildAgent()
	require.NoError(t, err)
	text := strings.Replace(baseExperiment, `length = "5s"`, `length = "`+length+`"`, 1)
	text = strings.Replace(text, "count = 2", "count = 6", 1) + "[control]\n" + control
	for _, x := range troubles {
		text += "\n[[trouble]]\n" + strings.ReplaceAll(x, ";", "\n")
	}
	f, err := experiment.Parse("fleet.toml", []byte(text))
	require.NoError(t, err)
	folder := t.TempDir()
	r, err := f.Run(context.Background(), experiment.RunOptions{Seed: 3, Placement: experiment.PlacementProxies, ProxyBinary: proxy, AgentBinary: agent, Dir: folder, Logf: t.Logf})
	require.NoError(t, err)
	if record, err := os.ReadFile(filepath.Join(folder, "agents.txt")); err == nil {
		t.Logf("%s", record)
	}
	require.Empty(t, r.Shortfalls)
	require.Positive(t, r.Figures["settled-s"])
	return r
}

// A machine crashed while it was cut off, and came back alone: its agent started the instances with what it had applied, which
// was nothing, and a server that they had been told to drain was ready for them again.
func TestAMachineThatComesBackAloneGoesByTheOrdersThatItsInstancesHadHeard(t *testing.T) {
	runFleet(t, "10s", "agents = 3\n", `kind = "order-drain"; at = "300ms"; for = "9s"; servers = [0]`,
		`kind = "fault-cut"; at = "1500ms"; for = "7500ms"; servers = [1]`, `kind = "fault-crash"; at = "2s"; for = "300ms"; servers = [1]`)
}

func TestASiteIsCutOffAndAnotherGoesDarkAndTheRulesHold(t *testing.T) {
	r := runFleet(t, "10s", "agents = 4\nvoters = 3\nsites = 2\n", `kind = "fault-site-cut"; at = "1s"; for = "2s"; servers = [1]`, `kind = "order-drain"; at = "1200ms"; for = "3s"; servers = [3]`,
		`kind = "fault-site-dark"; at = "5s"; for = "2s"; servers = [0]`)
	require.Zero(t, r.Figures["orders-unheard"])
	require.Greater(t, r.Figures["served"], 0.5)
}

func TestInstancesSleepLoseTheirAgentAndTheirServersAndTheRulesHold(t *testing.T) {
	r := runFleet(t, "8s", "agents = 2\nvoters = 1\nsites = 2\nclocks = true\n", `kind = "fault-sleep"; at = "500ms"; for = "1500ms"; servers = [0]`, `kind = "order-drain"; at = "700ms"; for = "5s"; servers = [1]`,
		`kind = "fault-agent-dead"; at = "3s"; for = "500ms"; servers = [1]`, `kind = "fault-no-servers"; at = "4s"; for = "2s"; servers = [0]`)
	require.Zero(t, r.Figures["orders-unheard"])
}
