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

func TestWhatIsWrongWithAFileIsToldWithItsLineAndAllAtOnce(t *testing.T) {
	for wrong, want := range map[string][]string{
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
		_, err := experiment.Parse("x.toml", []byte(baseExperiment+wrong))
		for _, text := range want {
			require.ErrorContains(t, err, text, "%s", wrong)
		}
	}
	_, err := experiment.Parse("x.toml", nil)
	require.ErrorContains(t, err, "x.toml: product: is missing")
	f, err := experiment.Parse("x.toml", []byte(baseExperiment))
	require.NoError(t, err)
	require.Equal(t, "small", f.Name)
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

func resultsServing(served ...float64) []*experiment.Result {
	var all []*experiment.Result
	for _, x := range served {
		all = append(all, &experiment.Result{Figures: map[string]float64{"served": x}})
	}
	return all
}

func TestAComparisonIsSureOnlyOfWhatThePairsBear(t *testing.T) {
	d := experiment.Compare(resultsServing(0.5, 0.7, 0.9), resultsServing(0.61, 0.80, 0.99), []string{"served"})[0]
	require.InDelta(t, 0.1, d.Mean, 1e-9)
	require.InDelta(t, 0.1-4.3027*0.01/1.7321, d.Low, 1e-4, "Student's t of 2 degrees of freedom")
	require.True(t, d.IsSignificant(), "the seeds differ by more than the builds, and the pairs take that out")
	d = experiment.Compare(resultsServing(0.5, 0.7), resultsServing(0.7, 0.6), []string{"served"})[0]
	require.False(t, d.IsSignificant())
	require.False(t, experiment.Compare(resultsServing(0.5), resultsServing(0.9), []string{"served"})[0].IsSignificant(), "one pair tells nothing")
}

// buildProxy builds the proxy once.
var buildProxy = sync.OnceValues(func() (string, error) {
	folder, err := os.MkdirTemp("", "hatchlab-test-")
	if err != nil {
		return "", err
	}
	path := filepath.Join(folder, "hatchproxy")
	text, err := exec.Command("go", "build", "-o", path, "../../cmd/hatchproxy").CombinedOutput()
	if err != nil {
		os.Stderr.Write(text)
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

// runExperiment plays the small experiment with more in it, with real proxies.
func runExperiment(t *testing.T, more string) *experiment.Result {
	t.Helper()
	t.Parallel()
	proxy, err := buildProxy()
	require.NoError(t, err)
	f, err := experiment.Parse("small.toml", []byte(baseExperiment+more))
	require.NoError(t, err)
	r, err := f.Run(context.Background(), experiment.RunOptions{Seed: 3, Placement: experiment.PlacementProxies, ProxyBinary: proxy, Dir: t.TempDir()})
	require.NoError(t, err)
	for _, b := range r.Breaches {
		t.Error(b)
	}
	require.Zero(t, r.Figures["crashes"])
	return r
}

func TestRealProxiesServeACalmDayAndKeepTheRules(t *testing.T) {
	r := runExperiment(t, "carried = 20\n[expect]\nserved = \">= 0.9\"\nasks = \"<= 10\"\n")
	require.Greater(t, r.Figures["served"], 0.9)
	require.Greater(t, r.Figures["ups"], 150.0)
	require.Zero(t, r.Figures["carried-lost"])
	require.Len(t, r.Shortfalls, 1, "what does not hold is told, and what holds is not")
	require.True(t, strings.HasPrefix(r.Shortfalls[0], "small.toml:36: asks is "), r.Shortfalls[0])
}

// Guards against generators that wait with a proxy that stands still, and against judges that blame it for that.
func TestAProxyThatIsStoppedForTwoSecondsDelaysNoArrival(t *testing.T) {
	r := runExperiment(t, "[[trouble]]\nkind = \"proxy-stop\"\nat = \"1s\"\nfor = \"2s\"\npart = 1.0\n")
	require.Less(t, r.Figures["late-arrival-p100"], 200.0)
	require.Greater(t, r.Figures["answer-p100"], 1900.0, "who came first waited for all of it")
	require.InDelta(t, 40, r.Figures["answers-over-limit"], 30, "half of those who came in it waited more than a second")
}

func TestProxiesAreKilledMadeToLeaveAndToldToReadAgainAndTheRulesHold(t *testing.T) {
	r := runExperiment(t, `
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
	require.Positive(t, r.Figures["breaks"], "a kill breaks what stood there")
	require.Positive(t, r.Figures["moves"], "who leaves moves its clients")
	require.Greater(t, r.Figures["served"], 0.5)
}

func TestBaselinesNeedNoProxy(t *testing.T) {
	f, err := experiment.Parse("small.toml", []byte(baseExperiment))
	require.NoError(t, err)
	for _, way := range []experiment.Placement{experiment.PlacementRandom, experiment.PlacementSingle, experiment.PlacementBest} {
		t.Run(string(way), func(t *testing.T) {
			t.Parallel()
			r, err := f.Run(context.Background(), experiment.RunOptions{Seed: 3, Placement: way, Dir: t.TempDir()})
			require.NoError(t, err)
			require.Greater(t, r.Figures["served"], 0.8)
			used := 0
			for _, n := range r.EstablishedBySecond[3] {
				if n > 0 {
					used++
				}
			}
			require.Equal(t, way == experiment.PlacementSingle, used == 1)
		})
	}
}
