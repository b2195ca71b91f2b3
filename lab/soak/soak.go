// Package soak draws randomized fault runs: many real proxies before a stand-in fleet, with faults of system calls,
// processes, clients, servers and discovery that overlap in time. The rules of lab/ledger are its oracle. One seed gives
// one schedule, written as an experiment, so that `hatchlab run` plays it again.
package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"hatchproxy/lab/experiment"
)

// Size bounds a run.
type Size struct {
	MinProxies, MaxProxies int           // proxies
	LoadLength             time.Duration // of the load
	FaultCount             int           // how many are drawn
}

// Full is what is played by hand, Short what CI plays.
var (
	Full  = Size{MinProxies: 10, MaxProxies: 40, LoadLength: 14 * time.Second, FaultCount: 12}
	Short = Size{MinProxies: 10, MaxProxies: 14, LoadLength: 9 * time.Second, FaultCount: 8}
)

// requestsPerSecondPerProxy is the rate of requests a proxy gets, in a second.
const requestsPerSecondPerProxy = 4

// faultSpec is a kind of trouble as the soak draws it.
type faultSpec struct {
	kind             string
	minSize, maxSize float64 // its size
	maxShare         float64 // of the proxies or servers it may strike, at most
	targetsServers   bool
	targetsDiscovery bool
	isExclusive      bool // it ends processes: no two of these strike one proxy, and no signals in series beside them
}

var faultSpecs = []faultSpec{
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

// Schedule is a drawn run.
type Schedule struct {
	Seed       uint64
	TOML       string // the experiment
	FaultKinds []string
	Experiment *experiment.File
}

// Generate draws a run. The same seed and size give the same.
func Generate(seed uint64, size Size) (*Schedule, error) {
	d := &generator{random: rand.New(rand.NewPCG(seed, 0x50a1)), size: size, exclusiveTargets: map[int]bool{}}
	d.proxyCount = size.MinProxies + d.random.IntN(size.MaxProxies-size.MinProxies+1)
	d.serverCount = 6 + d.random.IntN(5)
	d.writeSetup(seed)
	r := &Schedule{Seed: seed}
	for range size.FaultCount {
		if kind := d.writeTrouble(faultSpecs[d.random.IntN(len(faultSpecs))]); kind != "" {
			r.FaultKinds = append(r.FaultKinds, kind)
		}
	}
	slices.Sort(r.FaultKinds)
	r.FaultKinds = slices.Compact(r.FaultKinds)
	r.TOML = d.toml.String()
	file, err := experiment.Parse(fmt.Sprintf("soak-%d.toml", seed), []byte(r.TOML))
	r.Experiment = file
	return r, err
}

type generator struct {
	random           *rand.Rand
	size             Size
	proxyCount       int
	serverCount      int
	exclusiveTargets map[int]bool // proxies whose processes some fault ends or signals
	toml             strings.Builder
}

func (d *generator) writeLine(format string, a ...any) { fmt.Fprintf(&d.toml, format+"\n", a...) }

func (d *generator) uniform(least, most float64) float64 {
	return least + (most-least)*d.random.Float64()
}

func (d *generator) writeSetup(seed uint64) {
	d.writeLine("name = \"soak-%d\"\nlength = %q\nseeds = [%d]", seed, d.size.LoadLength, seed)
	d.writeLine("\n[proxies]\ncount = %d\nsockets = %d", d.proxyCount, []int{160, 256, 512}[d.random.IntN(3)])
	d.writeLine("\n[fleet]\nservers = %d\nzones = [\"a\", \"b\"]\nbetween = \"1ms\"\ncell-size = 2\nset-up = \"4ms\"\nload = \"20ms\"\nprobes = %t",
		d.serverCount, d.random.IntN(2) == 0)
	d.writeLine("connections-per-core = 200\nqueue-per-core = 40\nnotice = \"300ms\"")
	d.writeLine("\n[[fleet.kind]]\nname = \"m\"\nshare = 1.0\ncores = 3\nspeed = 1.5\nspread = 0.3")
	d.writeProduct("watch", "harmless", "", 0.4)
	d.writeProduct("book", "one-shot", "", 0.35)
	d.writeProduct("note", "stamped", []string{"all", "zone", "group"}[d.random.IntN(3)], 0.25)
	d.writeLine("\n[load]\nrate = %d.0\ngroups = 30\nretries = 2\nleave = 0.1\nrest = 0.15\nevery = \"500ms\"", d.proxyCount*requestsPerSecondPerProxy)
}

func (d *generator) writeProduct(name, repeat, reach string, share float64) {
	limit := time.Duration(d.uniform(600, 2500)) * time.Millisecond
	d.writeLine("\n[[product]]\nname = %q\nrepeat = %q\nreach = %q\nwindow = \"2s\"\nshare = %g\nlife = \"4s\"\nquoted = \"300ms\"\nlimit = %q\nmessage = \"150ms\"",
		name, repeat, reach, share, limit)
}

// writeTrouble draws one; "" where nobody is left for it.
func (d *generator) writeTrouble(f faultSpec) string {
	at := time.Duration(d.uniform(0.2, d.size.LoadLength.Seconds()*0.7) * 1e9).Round(time.Millisecond)
	lasts := time.Duration(d.uniform(0.5, d.size.LoadLength.Seconds()*0.35) * 1e9).Round(time.Millisecond)
	if f.kind == "drop" || f.kind == "proxy-series" || f.kind == "way-reset" {
		lasts = 100 * time.Millisecond
	}
	if f.kind == "proxy-stop" {
		lasts = time.Duration(d.uniform(100, 1500)) * time.Millisecond
	}
	text := fmt.Sprintf("\n[[trouble]]\nkind = %q\nat = %q\nfor = %q", f.kind, at, lasts)
	if f.maxSize > 0 {
		text += fmt.Sprintf("\nsize = %.3f", d.uniform(f.minSize, f.maxSize))
	}
	if !f.targetsDiscovery {
		struck := d.chooseTargets(f)
		if len(struck) == 0 {
			return ""
		}
		text += "\nservers = " + strings.ReplaceAll(fmt.Sprint(struck), " ", ", ")
	}
	d.writeLine("%s", text)
	return f.kind
}

// chooseTargets draws whom a fault strikes.
func (d *generator) chooseTargets(f faultSpec) []int {
	of := d.proxyCount
	if f.targetsServers {
		of = d.serverCount
	}
	number := 1 + d.random.IntN(max(1, int(f.maxShare*float64(of))))
	var struck []int
	for _, n := range d.random.Perm(of) {
		if len(struck) == number {
			break
		}
		if f.isExclusive && d.exclusiveTargets[n] {
			continue
		}
		if f.isExclusive {
			d.exclusiveTargets[n] = true
		}
		struck = append(struck, n)
	}
	slices.Sort(struck)
	return struck
}
