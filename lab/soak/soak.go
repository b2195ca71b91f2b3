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
	Least, Most int           // proxies
	Length      time.Duration // of the load
	Faults      int           // how many are drawn
}

// Full is what is played by hand, Short what CI plays.
var (
	Full  = Size{Least: 10, Most: 40, Length: 14 * time.Second, Faults: 12}
	Short = Size{Least: 10, Most: 14, Length: 9 * time.Second, Faults: 8}
)

// perProxy is the rate of requests a proxy gets, in a second.
const perProxy = 4

// fault is a kind of trouble as the soak draws it.
type fault struct {
	kind        string
	least, most float64 // its size
	share       float64 // of the proxies or servers it may strike, at most
	ofServers   bool
	ofList      bool
	restarts    bool // it ends processes: no two of these strike one proxy, and no signals in series beside them
}

var faults = []fault{
	{kind: "calls-accept", least: 0.05, most: 0.6, share: 1},
	{kind: "calls-socket", least: 0.02, most: 0.4, share: 1},
	{kind: "calls-connect", least: 0.02, most: 0.3, share: 1},
	{kind: "calls-wait", least: 0.02, most: 0.3, share: 1},
	{kind: "calls-copy", least: 0.02, most: 0.2, share: 1},
	{kind: "calls-control", least: 0.01, most: 0.05, share: 0.5},
	{kind: "calls-read", least: 0.1, most: 0.9, share: 1},
	{kind: "calls-write", least: 0.1, most: 0.9, share: 1},
	{kind: "calls-open", least: 0.1, most: 0.6, share: 1},
	{kind: "proxy-retire", share: 0.3, restarts: true},
	{kind: "proxy-retire", share: 0.3, restarts: true},
	{kind: "proxy-kill", share: 0.2, restarts: true},
	{kind: "proxy-stop", share: 0.2, restarts: true},
	{kind: "proxy-series", share: 0.4, restarts: true},
	{kind: "proxy-crowd", least: 20, most: 300, share: 0.2},
	{kind: "hang", share: 0.3, ofServers: true},
	{kind: "mute", share: 0.2, ofServers: true},
	{kind: "errors", least: 0.2, most: 0.9, share: 0.4, ofServers: true},
	{kind: "resets", least: 0.2, most: 0.9, share: 0.4, ofServers: true},
	{kind: "refuse", share: 0.3, ofServers: true},
	{kind: "drop", least: 0.2, most: 0.8, share: 0.4, ofServers: true},
	{kind: "restart", share: 0.3, ofServers: true},
	{kind: "drain", least: 1, most: 2, share: 0.3, ofServers: true},
	{kind: "slow", least: 2, most: 8, share: 0.3, ofServers: true},
	{kind: "way-cut", least: 0, most: 1.99, share: 0.4},
	{kind: "way-reset", least: 0, most: 1.99, share: 0.6},
	{kind: "list-down", ofList: true},
	{kind: "list-garbage", ofList: true},
}

// Run is a drawn run.
type Run struct {
	Seed  uint64
	Text  string // the experiment
	Kinds []string
	File  *experiment.File
}

// Draw draws a run. The same seed and size give the same.
func Draw(seed uint64, size Size) (*Run, error) {
	d := &drawing{random: rand.New(rand.NewPCG(seed, 0x50a1)), size: size, taken: map[int]bool{}}
	d.proxies = size.Least + d.random.IntN(size.Most-size.Least+1)
	d.servers = 6 + d.random.IntN(5)
	d.head(seed)
	r := &Run{Seed: seed}
	for range size.Faults {
		if kind := d.trouble(faults[d.random.IntN(len(faults))]); kind != "" {
			r.Kinds = append(r.Kinds, kind)
		}
	}
	slices.Sort(r.Kinds)
	r.Kinds = slices.Compact(r.Kinds)
	r.Text = d.text.String()
	file, err := experiment.Parse(fmt.Sprintf("soak-%d.toml", seed), []byte(r.Text))
	r.File = file
	return r, err
}

type drawing struct {
	random  *rand.Rand
	size    Size
	proxies int
	servers int
	taken   map[int]bool // proxies whose processes some fault ends or signals
	text    strings.Builder
}

func (d *drawing) write(format string, a ...any) { fmt.Fprintf(&d.text, format+"\n", a...) }

func (d *drawing) between(least, most float64) float64 {
	return least + (most-least)*d.random.Float64()
}

func (d *drawing) head(seed uint64) {
	d.write("name = \"soak-%d\"\nlength = %q\nseeds = [%d]", seed, d.size.Length, seed)
	d.write("\n[proxies]\ncount = %d\nsockets = %d", d.proxies, []int{160, 256, 512}[d.random.IntN(3)])
	d.write("\n[fleet]\nservers = %d\nzones = [\"a\", \"b\"]\nbetween = \"1ms\"\ncell-size = 2\nset-up = \"4ms\"\nload = \"20ms\"\nprobes = %t",
		d.servers, d.random.IntN(2) == 0)
	d.write("connections-per-core = 200\nqueue-per-core = 40\nnotice = \"300ms\"")
	d.write("\n[[fleet.kind]]\nname = \"m\"\nshare = 1.0\ncores = 3\nspeed = 1.5\nspread = 0.3")
	d.product("watch", "harmless", "", 0.4)
	d.product("book", "one-shot", "", 0.35)
	d.product("note", "stamped", []string{"all", "zone", "group"}[d.random.IntN(3)], 0.25)
	d.write("\n[load]\nrate = %d.0\ngroups = 30\nretries = 2\nleave = 0.1\nrest = 0.15\nevery = \"500ms\"", d.proxies*perProxy)
}

func (d *drawing) product(name, repeat, reach string, share float64) {
	limit := time.Duration(d.between(600, 2500)) * time.Millisecond
	d.write("\n[[product]]\nname = %q\nrepeat = %q\nreach = %q\nwindow = \"2s\"\nshare = %g\nlife = \"4s\"\nquoted = \"300ms\"\nlimit = %q\nmessage = \"150ms\"",
		name, repeat, reach, share, limit)
}

// trouble draws one; "" where nobody is left for it.
func (d *drawing) trouble(f fault) string {
	at := time.Duration(d.between(0.2, d.size.Length.Seconds()*0.7) * 1e9).Round(time.Millisecond)
	lasts := time.Duration(d.between(0.5, d.size.Length.Seconds()*0.35) * 1e9).Round(time.Millisecond)
	if f.kind == "drop" || f.kind == "proxy-series" || f.kind == "way-reset" {
		lasts = 100 * time.Millisecond
	}
	if f.kind == "proxy-stop" {
		lasts = time.Duration(d.between(100, 1500)) * time.Millisecond
	}
	text := fmt.Sprintf("\n[[trouble]]\nkind = %q\nat = %q\nfor = %q", f.kind, at, lasts)
	if f.most > 0 {
		text += fmt.Sprintf("\nsize = %.3f", d.between(f.least, f.most))
	}
	if !f.ofList {
		struck := d.choose(f)
		if len(struck) == 0 {
			return ""
		}
		text += "\nservers = " + strings.ReplaceAll(fmt.Sprint(struck), " ", ", ")
	}
	d.write("%s", text)
	return f.kind
}

// choose draws whom a fault strikes.
func (d *drawing) choose(f fault) []int {
	of := d.proxies
	if f.ofServers {
		of = d.servers
	}
	number := 1 + d.random.IntN(max(1, int(f.share*float64(of))))
	var struck []int
	for _, n := range d.random.Perm(of) {
		if len(struck) == number {
			break
		}
		if f.restarts && d.taken[n] {
			continue
		}
		if f.restarts {
			d.taken[n] = true
		}
		struck = append(struck, n)
	}
	slices.Sort(struck)
	return struck
}
