// Package soak generates randomized fault runs: many real proxies in front of simulated servers, with faults of system
// calls, processes, clients, servers and discovery that overlap in time. The rules of lab/ledger decide whether a run
// passes. A seed and a size determine the schedule. It is written as an experiment file, which `hatchlab run` can repeat.
package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"hatchproxy/lab/experiment"
)

// Size bounds a generated run.
type Size struct {
	MinProxies, MaxProxies int           // both inclusive
	LoadLength             time.Duration // how long clients send requests
	TroubleCount           int           // troubles to draw; those that find no target left are omitted
	HasCrowdedDrains       bool          // half of the runs have servers that drain while discovery is crowded; they need LoadLength
}

// Full is the default of `hatchlab soak`; Short is the size that CI runs.
var (
	Full  = Size{MinProxies: 10, MaxProxies: 40, LoadLength: 14 * time.Second, TroubleCount: 12, HasCrowdedDrains: true}
	Short = Size{MinProxies: 10, MaxProxies: 14, LoadLength: 9 * time.Second, TroubleCount: 8}
)

// requestsPerSecondPerProxy is the rate of requests for each proxy of a run.
const requestsPerSecondPerProxy = 4

// troubleSpec is a kind of trouble with the ranges from which Generate draws its parameters.
type troubleSpec struct {
	kind             string
	minSize, maxSize float64 // range of the trouble's size; it has no size if maxSize is 0
	maxShare         float64 // largest share of the proxies or servers that it affects; it affects at least one
	targetsServers   bool    // it affects servers instead of proxies
	targetsDiscovery bool    // it affects discovery and has no list of targets
	isExclusive      bool    // it ends, stops or signals a process; a proxy gets at most one of these, so that they don't overlap
}

// troubleSpecs are the kinds of trouble to draw from, each entry with the same probability.
var troubleSpecs = []troubleSpec{
	{kind: "calls-accept", minSize: 0.05, maxSize: 0.6, maxShare: 1},
	{kind: "calls-socket", minSize: 0.02, maxSize: 0.4, maxShare: 1},
	{kind: "calls-connect", minSize: 0.02, maxSize: 0.3, maxShare: 1},
	{kind: "calls-wait", minSize: 0.02, maxSize: 0.3, maxShare: 1},
	{kind: "calls-copy", minSize: 0.02, maxSize: 0.2, maxShare: 1},
	{kind: "calls-control", minSize: 0.01, maxSize: 0.05, maxShare: 0.5},
	{kind: "calls-read", minSize: 0.1, maxSize: 0.9, maxShare: 1},
	{kind: "calls-write", minSize: 0.1, maxSize: 0.9, maxShare: 1},
	{kind: "calls-open", minSize: 0.1, maxSize: 0.6, maxShare: 1},
	{kind: "proxy-retire", maxShare: 0.3, isExclusive: true},
	{kind: "proxy-retire", maxShare: 0.3, isExclusive: true},
	{kind: "proxy-kill", maxShare: 0.2, isExclusive: true},
	{kind: "proxy-stop", maxShare: 0.2, isExclusive: true},
	{kind: "proxy-series", maxShare: 0.4, isExclusive: true},
	{kind: "proxy-crowd", minSize: 20, maxSize: 300, maxShare: 0.2},
	{kind: "hang", maxShare: 0.3, targetsServers: true},
	{kind: "mute", maxShare: 0.2, targetsServers: true},
	{kind: "errors", minSize: 0.2, maxSize: 0.9, maxShare: 0.4, targetsServers: true},
	{kind: "resets", minSize: 0.2, maxSize: 0.9, maxShare: 0.4, targetsServers: true},
	{kind: "refuse", maxShare: 0.3, targetsServers: true},
	{kind: "drop", minSize: 0.2, maxSize: 0.8, maxShare: 0.4, targetsServers: true},
	{kind: "restart", maxShare: 0.3, targetsServers: true},
	{kind: "drain", minSize: 1, maxSize: 2, maxShare: 0.3, targetsServers: true},
	{kind: "slow", minSize: 2, maxSize: 8, maxShare: 0.3, targetsServers: true},
	{kind: "way-cut", minSize: 0, maxSize: 1.99, maxShare: 0.4},
	{kind: "way-reset", minSize: 0, maxSize: 1.99, maxShare: 0.6},
	{kind: "list-down", targetsDiscovery: true},
	{kind: "list-garbage", targetsDiscovery: true},
}

// Schedule is a generated run.
type Schedule struct {
	Seed         uint64
	TOML         string           // the experiment file's text
	TroubleKinds []string         // sorted, without duplicates
	Experiment   *experiment.File // TOML, parsed
}

// Generate draws the schedule of a seed and a size; the same arguments always give the same schedule. It returns an error if
// the experiment file that it wrote doesn't parse.
func Generate(seed uint64, size Size) (*Schedule, error) {
	g := &generator{rng: rand.New(rand.NewPCG(seed, 0x50a1)), size: size, exclusiveTargets: map[int]bool{}}
	g.proxyCount = size.MinProxies + g.rng.IntN(size.MaxProxies-size.MinProxies+1)
	g.serverCount = 6 + g.rng.IntN(5)
	if size.HasCrowdedDrains {
		// A source of its own leaves the rest of a seed's schedule as it was before this was drawn.
		g.crowdedDrain = drawCrowdedDrain(rand.New(rand.NewPCG(seed, 0xc0ed)), g.serverCount)
	}
	g.writeSetup(seed)
	schedule := &Schedule{Seed: seed}
	if g.crowdedDrain != nil {
		schedule.TroubleKinds = append(schedule.TroubleKinds, g.writeCrowdedDrain()...)
	}
	for range size.TroubleCount {
		if kind := g.writeTrouble(troubleSpecs[g.rng.IntN(len(troubleSpecs))]); kind != "" {
			schedule.TroubleKinds = append(schedule.TroubleKinds, kind)
		}
	}
	slices.Sort(schedule.TroubleKinds)
	schedule.TroubleKinds = slices.Compact(schedule.TroubleKinds)
	schedule.TOML = g.toml.String()
	file, err := experiment.Parse(fmt.Sprintf("soak-%d.toml", seed), []byte(schedule.TOML))
	schedule.Experiment = file
	return schedule, err
}

// generator draws a schedule and writes it as an experiment file.
type generator struct {
	rng              *rand.Rand
	size             Size
	proxyCount       int
	serverCount      int
	exclusiveTargets map[int]bool // proxies that already have an exclusive trouble, by index
	crowdedDrain     *crowdedDrain
	toml             strings.Builder
}

func (g *generator) writeLine(format string, a ...any) { fmt.Fprintf(&g.toml, format+"\n", a...) }

// uniform draws a number between low and high.
func (g *generator) uniform(low, high float64) float64 {
	return low + (high-low)*g.rng.Float64()
}

// writeSetup writes all but the troubles: proxies, servers, products and load.
func (g *generator) writeSetup(seed uint64) {
	g.writeLine("name = \"soak-%d\"\nlength = %q\nseeds = [%d]", seed, g.size.LoadLength, seed)
	g.writeLine("\n[proxies]\ncount = %d\nsockets = %d", g.proxyCount, []int{160, 256, 512}[g.rng.IntN(3)])
	if g.crowdedDrain != nil {
		g.writeLine("grace = %q", crowdedDrainGrace)
	}
	g.writeLine("\n[fleet]\nservers = %d\nzones = [\"a\", \"b\"]\nbetween = \"1ms\"\ncell-size = 2\nset-up = \"4ms\"\nload = \"20ms\"\nprobes = %t",
		g.serverCount, g.rng.IntN(2) == 0)
	g.writeLine("connections-per-core = 200\nqueue-per-core = 40\nnotice = \"300ms\"")
	g.writeLine("\n[[fleet.kind]]\nname = \"m\"\nshare = 1.0\ncores = 3\nspeed = 1.5\nspread = 0.3")
	g.writeProduct("watch", "harmless", "", 0.4)
	g.writeProduct("book", "one-shot", "", 0.35)
	g.writeProduct("note", "stamped", []string{"all", "zone", "group"}[g.rng.IntN(3)], 0.25)
	g.writeLine("\n[load]\nrate = %d.0\ngroups = 30\nretries = 2\nleave = 0.1\nrest = 0.15\nevery = \"500ms\"", g.proxyCount*requestsPerSecondPerProxy)
}

// crowdedDrain is a part of a run in which servers begin to drain while discovery is crowded.
type crowdedDrain struct {
	start, length time.Duration // of the crowd
	drainStart    time.Duration
	servers       []int
}

// crowdedDrainGrace is the time for which new requests may go to a draining server, as at the sites with the shortest one
// (drain_grace_ms = 300).
const crowdedDrainGrace = 300 * time.Millisecond

// drawCrowdedDrain draws such a part, or returns nil for half of the seeds. The crowd lasts 7 to 8.3 s, within all_call_s = [4, 8.3] of
// the site files: "at any scale it can take one call from every instance in this time". Drains begin "right after", as on brink days.
func drawCrowdedDrain(rng *rand.Rand, serverCount int) *crowdedDrain {
	if rng.IntN(2) == 0 {
		return nil
	}
	between := func(low, high float64) time.Duration {
		return time.Duration((low + (high-low)*rng.Float64()) * 1e9).Round(time.Millisecond)
	}
	d := &crowdedDrain{start: between(1, 3), length: between(7, 8.3)}
	d.drainStart = d.start + between(0.1, 0.6)
	d.servers = rng.Perm(serverCount)[:1+rng.IntN(max(1, serverCount/3))]
	slices.Sort(d.servers)
	return d
}

// writeCrowdedDrain writes the troubles and returns their kinds.
func (g *generator) writeCrowdedDrain() []string {
	d := g.crowdedDrain
	g.writeLine("\n[[trouble]]\nkind = \"list-crowded\"\nat = %q\nfor = %q", d.start, d.length)
	g.writeLine("\n[[trouble]]\nkind = \"drain\"\nat = %q\nfor = %q\nsize = 0.0\nservers = %s", d.drainStart, g.size.LoadLength,
		strings.ReplaceAll(fmt.Sprint(d.servers), " ", ", "))
	return []string{"list-crowded", "drain"}
}

// writeProduct writes a product with a random time limit; repeat and reach say whether and where its requests may be
// repeated.
func (g *generator) writeProduct(name, repeat, reach string, share float64) {
	limit := time.Duration(g.uniform(600, 2500)) * time.Millisecond
	g.writeLine("\n[[product]]\nname = %q\nrepeat = %q\nreach = %q\nwindow = \"2s\"\nshare = %g\nlife = \"4s\"\nquoted = \"300ms\"\nlimit = %q\nmessage = \"150ms\"",
		name, repeat, reach, share, limit)
}

// writeTrouble draws time, length, size and targets of a trouble and writes it. It returns the trouble's kind, or "" if nothing was
// written because no target is left.
func (g *generator) writeTrouble(spec troubleSpec) string {
	start := time.Duration(g.uniform(0.2, g.size.LoadLength.Seconds()*0.7) * 1e9).Round(time.Millisecond)
	length := time.Duration(g.uniform(0.5, g.size.LoadLength.Seconds()*0.35) * 1e9).Round(time.Millisecond)
	if spec.kind == "drop" || spec.kind == "proxy-series" || spec.kind == "way-reset" {
		length = 100 * time.Millisecond
	}
	if spec.kind == "proxy-stop" {
		length = time.Duration(g.uniform(100, 1500)) * time.Millisecond
	}
	text := fmt.Sprintf("\n[[trouble]]\nkind = %q\nat = %q\nfor = %q", spec.kind, start, length)
	if spec.maxSize > 0 {
		text += fmt.Sprintf("\nsize = %.3f", g.uniform(spec.minSize, spec.maxSize))
	}
	if !spec.targetsDiscovery {
		targets := g.chooseTargets(spec)
		if len(targets) == 0 {
			return ""
		}
		text += "\nservers = " + strings.ReplaceAll(fmt.Sprint(targets), " ", ", ")
	}
	g.writeLine("%s", text)
	return spec.kind
}

// chooseTargets draws the proxies or servers that a trouble affects and returns their indices, sorted. The list is empty if the
// trouble is exclusive and every proxy has an exclusive one already.
func (g *generator) chooseTargets(spec troubleSpec) []int {
	candidateCount := g.proxyCount
	if spec.targetsServers {
		candidateCount = g.serverCount
	}
	count := 1 + g.rng.IntN(max(1, int(spec.maxShare*float64(candidateCount))))
	var targets []int
	for _, index := range g.rng.Perm(candidateCount) {
		if len(targets) == count {
			break
		}
		if spec.isExclusive && g.exclusiveTargets[index] {
			continue
		}
		if spec.isExclusive {
			g.exclusiveTargets[index] = true
		}
		targets = append(targets, index)
	}
	slices.Sort(targets)
	return targets
}
