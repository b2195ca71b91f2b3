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

// baseExperiment is a valid experiment of 32 lines that ends in its [load] section, so that tests can append keys and sections.
const baseExperiment = `name = "small"
length = "5s"
[proxies]
count = 2
[fleet]
servers = 4
zones = ["a", "b"]
between = "2ms"
notice = "200ms"
[[fleet.kind]]
name = "m"
share = 1.0
cores = 4
speed = 1.0
[[product]]
name = "chat"
repeat = "harmless"
share = 0.7
life = "2s"
quoted = "300ms"
limit = "3s"
message = "250ms"
[[product]]
name = "pay"
repeat = "one-shot"
share = 0.3
life = "1s"
quoted = "300ms"
limit = "3s"
[load]
rate = 40.0
every = "500ms"
`

func TestAllFaultsOfAFileAreReportedWithTheirLines(t *testing.T) {
	for fault, messages := range map[string][]string{
		"oddly = 1\n":                                         {"x.toml:33: load.oddly is unknown"},
		"retries = \"many\"\n":                                {"x.toml:33: "},
		"rejoin = \"5 parsecs\"\n":                            {`x.toml:33: "5 parsecs" is not a duration such as`},
		"rejoin = 5\n":                                        {"x.toml:33: "},
		"rejoin = \"-5s\"\n":                                  {"x.toml:33: "},
		"heed = 1.5\nskew = -1.0\n":                           {"x.toml:33: load.heed: 1.5 is not between 0 and 1", "x.toml:34: load.skew"},
		"trace = \"nowhere.trace\"\n":                         {"x.toml:33: load.trace: open"},
		"[[trouble]]\nkind = \"odd\"\n":                       {`x.toml:34: trouble[0].kind: "odd" is none of calls-accept, calls-connect,`},
		"[[trouble]]\nkind = \"slow\"\n":                      {"x.toml:33: trouble[0]: has no target"},
		"[[trouble]]\nkind = \"slow\"\nservers = [4]\n":       {"x.toml:35: trouble[0].servers: 4 is not between 0 and 3"},
		"[[trouble]]\nkind = \"proxy-kill\"\nservers = [2]\n": {"x.toml:35: "},
		"[expect]\nserved = \"0.9\"\n":                        {"x.toml:34: expect.served: \"0.9\" is not a bound"},
		"[expect]\nserved = \">= 5 parsecs\"\n":               {"x.toml:34: expect.served"},
		"[expect]\nset-up-p98 = \"<= 5ms\"\nbreach.odd = 1\n": {"x.toml:35: "},
		"[expect]\nset-up-p98 = \"<= 5ms\"\n":                 {"x.toml:34: expect.set-up-p98: is not a known figure"},
		"[[product]]\nname = \"chat\"\nrepeat = \"maybe\"\nshare = 1\nlife = \"1s\"":     {"x.toml:34: product[2].name: \"chat\" is named twice", "x.toml:35: product[2].repeat", "product[2].limit"},
		"[[load.bend]]\nat = \"2s\"\nrate = 1.0\n[[load.bend]]\nat = \"1s\"\nrate = 1.0": {"x.toml:37: load.bend[1].at: is earlier than"},
		"load = 5 = 6": {"x.toml:33: "},
	} {
		_, err := experiment.Parse("x.toml", []byte(baseExperiment+fault))
		for _, message := range messages {
			require.ErrorContains(t, err, message, "%s", fault)
		}
	}
	_, err := experiment.Parse("x.toml", nil)
	require.ErrorContains(t, err, "x.toml: product: is missing")
	file, err := experiment.Parse("x.toml", []byte(baseExperiment))
	require.NoError(t, err)
	require.Equal(t, "small", file.Name)
}

func TestTheExperimentsOfTheRepositoryCanBeRead(t *testing.T) {
	files, err := filepath.Glob("../../experiments/*.toml")
	require.NoError(t, err)
	require.NotEmpty(t, files)
	for _, path := range files {
		_, err := experiment.Read(path)
		require.NoError(t, err)
	}
}

// resultsServing returns a result for each value of the figure "served".
func resultsServing(shares ...float64) []*experiment.Result {
	var results []*experiment.Result
	for _, share := range shares {
		results = append(results, &experiment.Result{Figures: map[string]float64{"served": share}})
	}
	return results
}

func TestADifferenceIsSignificantOnlyIfThePairsShowIt(t *testing.T) {
	difference := experiment.Compare(resultsServing(0.5, 0.7, 0.9), resultsServing(0.61, 0.80, 0.99), []string{"served"})[0]
	require.InDelta(t, 0.1, difference.Mean, 1e-9)
	require.InDelta(t, 0.1-4.3027*0.01/1.7321, difference.Low, 1e-4, "Student's t distribution with 2 degrees of freedom")
	require.True(t, difference.IsSignificant(), "pairing removes the difference between seeds, which is larger than that between builds")
	difference = experiment.Compare(resultsServing(0.5, 0.7), resultsServing(0.7, 0.6), []string{"served"})[0]
	require.False(t, difference.IsSignificant())
	require.False(t, experiment.Compare(resultsServing(0.5), resultsServing(0.9), []string{"served"})[0].IsSignificant(), "one pair shows nothing")
}

// buildProxy builds the proxy once, and returns the path of its binary. TestMain removes it.
var buildProxy = sync.OnceValues(func() (string, error) {
	dir, err := os.MkdirTemp("", "hatchlab-test-")
	if err != nil {
		return "", err
	}
	path := filepath.Join(dir, "hatchproxy")
	output, err := exec.Command("go", "build", "-o", path, "../../cmd/hatchproxy").CombinedOutput()
	if err != nil {
		os.Stderr.Write(output)
	}
	return path, err
})

func TestMain(m *testing.M) {
	code := m.Run()
	if path, err := buildProxy(); err == nil {
		_ = os.RemoveAll(filepath.Dir(path))
	}
	os.Exit(code)
}

// runExperiment plays baseExperiment with more appended to it, with real proxies, and checks that no rule was broken and that no
// proxy crashed.
func runExperiment(t *testing.T, more string) *experiment.Result {
	t.Helper()
	t.Parallel()
	binary, err := buildProxy()
	require.NoError(t, err)
	file, err := experiment.Parse("small.toml", []byte(baseExperiment+more))
	require.NoError(t, err)
	result, err := file.Run(context.Background(), experiment.RunOptions{Seed: 3, Placement: experiment.PlacementProxies, ProxyBinary: binary, Dir: t.TempDir()})
	require.NoError(t, err)
	for _, breach := range result.Breaches {
		t.Error(breach)
	}
	require.Zero(t, result.Figures["crashes"])
	return result
}

func TestRealProxiesServeTheLoadWithoutBreaches(t *testing.T) {
	result := runExperiment(t, "carried = 20\n[expect]\nserved = \">= 0.9\"\nasks = \"<= 10\"\n")
	require.Greater(t, result.Figures["served"], 0.9)
	require.Greater(t, result.Figures["ups"], 150.0)
	require.Zero(t, result.Figures["carried-lost"])
	require.Len(t, result.Shortfalls, 1, "a missed expectation is reported, a met one is not")
	require.True(t, strings.HasPrefix(result.Shortfalls[0], "small.toml:36: asks is "), result.Shortfalls[0])
}

// Guards against a load generator that waits for a stopped proxy, and against rule checks that blame a proxy for the time in
// which it was stopped.
func TestAProxyThatIsStoppedForTwoSecondsDelaysNoArrival(t *testing.T) {
	result := runExperiment(t, "[[trouble]]\nkind = \"proxy-stop\"\nat = \"1s\"\nfor = \"2s\"\npart = 1.0\n")
	require.Less(t, result.Figures["late-arrival-p100"], 200.0)
	require.Greater(t, result.Figures["answer-p100"], 1900.0, "the first clients waited for the whole stop")
	require.InDelta(t, 40, result.Figures["answers-over-limit"], 30, "half of the clients that arrived during the stop waited for more than a second")
}

func TestKilledTerminatedAndReloadedProxiesKeepTheRules(t *testing.T) {
	result := runExperiment(t, `
[[trouble]]
kind = "proxy-kill"
at = "1s"
for = "500ms"
servers = [0]
[[trouble]]
kind = "proxy-leave"
at = "2500ms"
for = "1s"
servers = [1]
[[trouble]]
kind = "list-moved"
at = "2s"
for = "1s"
servers = [0]
`)
	require.Positive(t, result.Figures["breaks"], "a kill breaks the connections of the proxy")
	require.Positive(t, result.Figures["moves"], "a proxy that leaves asks its clients to move")
	require.Greater(t, result.Figures["served"], 0.5)
}

func TestBaselinesNeedNoProxy(t *testing.T) {
	file, err := experiment.Parse("small.toml", []byte(baseExperiment))
	require.NoError(t, err)
	for _, placement := range []experiment.Placement{experiment.PlacementRandom, experiment.PlacementSingle, experiment.PlacementBest} {
		t.Run(string(placement), func(t *testing.T) {
			t.Parallel()
			result, err := file.Run(context.Background(), experiment.RunOptions{Seed: 3, Placement: placement, Dir: t.TempDir()})
			require.NoError(t, err)
			require.Greater(t, result.Figures["served"], 0.8)
			used := 0
			for _, connections := range result.EstablishedBySecond[3] {
				if connections > 0 {
					used++
				}
			}
			require.Equal(t, placement == experiment.PlacementSingle, used == 1)
		})
	}
}
