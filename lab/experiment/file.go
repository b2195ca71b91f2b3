// Package experiment reads what an experiment is to be, plays it with real proxies, and holds what was seen beside
// what must be seen.
package experiment

import (
	"cmp"
	"errors"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"

	"hatchproxy/internal/tomlfile"
	"hatchproxy/lab/fleet"
	"hatchproxy/lab/ledger"
	"hatchproxy/lab/load"
)

// Duration is a time in a file, with its unit: "1.5s", "300ms". It is a struct so that a bare number, of whatever unit, is
// no time.
type Duration struct{ Micros ledger.Micros }

// UnmarshalText reads one.
func (s *Duration) UnmarshalText(text []byte) error {
	d, err := time.ParseDuration(string(text))
	if err != nil || d < 0 {
		return fmt.Errorf("%q is no time such as \"1.5s\" or \"300ms\"", text)
	}
	s.Micros = ledger.Of(d)
	return nil
}

func (s Duration) micros() ledger.Micros { return s.Micros }

// File is an experiment as it is written down. docs/lab.md tells each name.
type File struct {
	Path   string `toml:"-"`
	Name   string
	About  string
	Length Duration
	Seeds  []uint64

	Proxies struct {
		Count      int
		MemoryMB   int `toml:"memory-mb"`
		Sockets    int
		Dispatches int
		Grace      Duration
	}
	Control Control
	Fleet   struct {
		Servers            int
		Zones              []string
		Between            Duration
		CellSize           int      `toml:"cell-size"`
		SetUp              Duration `toml:"set-up"`
		Probe, Load        Duration
		LoadSpread         float64  `toml:"load-spread"`
		LoadChange         Duration `toml:"load-change"`
		GroupCost          float64  `toml:"group-cost"`
		ConnectionsPerCore int      `toml:"connections-per-core"`
		QueuePerCore       int      `toml:"queue-per-core"`
		Message, Notice    Duration
		Weights            string
		TellsLoad          bool `toml:"tells-load"`
		Probes, Sheds      bool
		Cold               struct {
			From, Multiple float64
			Warm, Window   Duration
		}
		Kind []struct {
			Name                 string
			Cores                int
			Share, Speed, Spread float64
		}
	}
	Product []struct {
		Name, Repeat, Reach string
		Share, Gain         float64
		Life, Window        Duration
		Quoted, Limit       Duration
		Message             Duration
	}
	Load struct {
		Rate                float64
		Groups              int
		Zipf, Heed, Skew    float64
		Retries, Carried    int
		Wait, Rejoin, Every Duration
		Return              Duration
		Marks               bool
		Leave, Rest         float64 // shares of requests: given up early by the client; on a connection that rested first
		Trace               string
		Bend                []struct {
			At   Duration
			Rate float64
		}
	}
	Trouble []struct {
		Kind    string
		At, For Duration
		Part    float64
		Servers []int
		Size    float64
	}
	Expect map[string]string

	positions      tomlfile.Positions
	tracedArrivals []load.Arrival
}

// Control is what keeps the proxies.
type Control struct {
	Agents int      // each on a machine of its own; 0: the proxies are started by the rig itself, without a control surface
	Voters int      // of the agents; 0 for all
	Duties []string // that all agents stand for
	Clocks bool     // the agents' clocks are wrong, each in its way
	Sites  int      // machine m stands in site m modulo this, with the servers of zone m modulo this; 0 for one
}

func (c Control) voterCount() int { return cmp.Or(c.Voters, c.Agents) }
func (c Control) siteCount() int  { return cmp.Or(c.Sites, 1) }

// targetCount is how many there are of what a kind of trouble is for.
func (f *File) targetCount(kind string) int {
	fault, is := machineFault(kind)
	switch {
	case is && fault.OfSite():
		return f.Control.siteCount()
	case is:
		return f.Control.Agents
	case fleet.OfProxies(kind):
		return f.Proxies.Count
	}
	return f.Fleet.Servers
}

// Read reads a file and checks it; the error names the place and the cause of each fault.
func Read(path string) (*File, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return Parse(path, text)
}

// Parse does the same with a text.
func Parse(path string, text []byte) (*File, error) {
	f := &File{Path: path}
	f.setDefaults()
	if err := tomlfile.Decode(path, text, f); err != nil {
		return nil, err
	}
	f.positions = tomlfile.FindPositions(path, text)
	if faults := f.validate(); len(faults) > 0 {
		return nil, errors.Join(faults...)
	}
	return f, nil
}

// setDefaults is what holds where a file says nothing: the deployment of the first operators.
func (f *File) setDefaults() {
	f.Length, f.Seeds = Duration{20 * ledger.Second}, []uint64{1}
	p := &f.Proxies
	p.Count, p.MemoryMB, p.Sockets, p.Dispatches, p.Grace = 2, 192, 16384, 6, Duration{2 * ledger.Second}
	fl := &f.Fleet
	fl.Servers, fl.Zones = 8, []string{"a"}
	fl.SetUp, fl.Probe, fl.Load, fl.Message = Duration{8 * ledger.Millisecond}, Duration{200}, Duration{60 * ledger.Millisecond}, Duration{2 * ledger.Millisecond}
	fl.Notice, fl.Weights = Duration{500 * ledger.Millisecond}, "nominal"
	fl.TellsLoad, fl.Probes = true, true
	fl.Cold.From, fl.Cold.Multiple, fl.Cold.Warm, fl.Cold.Window = 0.3, 4, Duration{9 * ledger.Second}, Duration{3 * ledger.Second}
	l := &f.Load
	l.Heed, l.Skew, l.Retries, l.Zipf = 1, 0.5, 3, 1.1
	l.Wait, l.Rejoin, l.Every = Duration{60 * ledger.Millisecond}, Duration{1600 * ledger.Millisecond}, Duration{2 * ledger.Second}
}

var (
	idempotencyByName = map[string]ledger.Repeat{"harmless": ledger.Harmless, "stamped": ledger.Stamped, "one-shot": ledger.OneShot}
	dedupScopeByName  = map[string]ledger.Reach{"": ledger.ReachAll, "all": ledger.ReachAll, "zone": ledger.ReachZone, "group": ledger.ReachCell}
)

// validate finds all that is wrong.
func (f *File) validate() (faults []error) {
	wrong := func(key, format string, a ...any) {
		faults = append(faults, fmt.Errorf("%s: %s: %s", f.positions.At(key), key, fmt.Sprintf(format, a...)))
	}
	between := func(key string, x, least, most float64) {
		if !(x >= least && x <= most) {
			wrong(key, "%g is not between %g and %g", x, least, most)
		}
	}
	if f.Name == "" {
		wrong("name", "is missing")
	}
	between("length", f.Length.micros().Span().Seconds(), 1, 3600)
	if len(f.Seeds) == 0 {
		wrong("seeds", "are none")
	}
	between("proxies.count", float64(f.Proxies.Count), 1, 64)
	between("control.agents", float64(f.Control.Agents), 0, 64)
	between("control.voters", float64(f.Control.voterCount()), 0, float64(f.Control.Agents))
	if n := f.Control.siteCount(); n > 1 && (n != len(f.Fleet.Zones) || f.Control.Agents%n != 0 || f.Control.Agents == 0) {
		wrong("control.sites", "%d sites need as many zones, and agents that divide among them", n)
	}
	between("proxies.sockets", float64(f.Proxies.Sockets), 64, 1<<20)
	between("fleet.servers", float64(f.Fleet.Servers), 1, 2000)
	between("fleet.zones", float64(len(f.Fleet.Zones)), 1, 8)
	between("load.heed", f.Load.Heed, 0, 1)
	between("load.leave", f.Load.Leave, 0, 1)
	between("load.rest", f.Load.Rest, 0, 1)
	between("load.skew", f.Load.Skew, 0, 1)
	between("load.every", f.Load.Every.micros().Span().Seconds(), 0.01, 3600)
	between("fleet.set-up", f.Fleet.SetUp.micros().Span().Seconds(), 0, 60)
	if len(f.Fleet.Kind) == 0 {
		wrong("fleet.kind", "is missing: [[fleet.kind]] names a kind of machine")
	}
	for i, k := range f.Fleet.Kind {
		at := fmt.Sprintf("fleet.kind[%d]", i)
		between(at+".cores", float64(k.Cores), 1, 1024)
		between(at+".speed", k.Speed, 0.001, 1000)
		between(at+".share", k.Share, 0.000001, 1e6)
		between(at+".spread", k.Spread, 0, 0.95)
	}
	if !slices.Contains([]string{"none", "nominal", "rough"}, f.Fleet.Weights) {
		wrong("fleet.weights", "%q is none of none, nominal, rough", f.Fleet.Weights)
	}
	if len(f.Product) == 0 {
		wrong("product", "is missing: [[product]] names one")
	}
	names := map[string]bool{}
	for i, p := range f.Product {
		at := fmt.Sprintf("product[%d]", i)
		if p.Name == "" || strings.ContainsAny(p.Name, " ,=") {
			wrong(at+".name", "%q is no name", p.Name)
		}
		if names[p.Name] {
			wrong(at+".name", "%q is named twice", p.Name)
		}
		names[p.Name] = true
		if _, known := idempotencyByName[p.Repeat]; !known {
			wrong(at+".repeat", "%q is none of %v", p.Repeat, slices.Sorted(maps.Keys(idempotencyByName)))
		}
		if _, known := dedupScopeByName[p.Reach]; !known {
			wrong(at+".reach", "%q is none of all, zone, group", p.Reach)
		}
		between(at+".limit", p.Limit.micros().Span().Seconds(), 0.01, 600)
		if p.Quoted.Micros <= 0 || p.Quoted.Micros > p.Limit.Micros {
			wrong(at+".quoted", "is not between 0 and the limit")
		}
		if p.Share <= 0 {
			wrong(at+".share", "is not above 0")
		}
		if p.Life.Micros <= 0 {
			wrong(at+".life", "is not above 0")
		}
	}
	for i := range f.Load.Bend {
		at := fmt.Sprintf("load.bend[%d]", i)
		if i > 0 && f.Load.Bend[i].At.Micros < f.Load.Bend[i-1].At.Micros {
			wrong(at+".at", "comes before the one above")
		}
		between(at+".rate", f.Load.Bend[i].Rate, 0, 100_000)
	}
	between("load.rate", f.Load.Rate, 0, 100_000)
	if f.Load.Rate == 0 && len(f.Load.Bend) == 0 && f.Load.Trace == "" && f.Load.Carried == 0 {
		wrong("load", "nobody comes: a rate, bends, a trace or carried are needed")
	}
	for i, t := range f.Trouble {
		at := fmt.Sprintf("trouble[%d]", i)
		if _, known := fleet.Kinds[t.Kind]; !known {
			wrong(at+".kind", "%q is none of %s", t.Kind, strings.Join(slices.Sorted(maps.Keys(fleet.Kinds)), ", "))
			continue
		}
		of := f.targetCount(t.Kind)
		if fleet.OfAgents(t.Kind) && f.Control.Agents == 0 {
			wrong(at+".kind", "%q needs control.agents", t.Kind)
		}
		for _, n := range t.Servers {
			between(at+".servers", float64(n), 0, float64(of-1))
		}
		between(at+".part", t.Part, 0, 1)
		if t.Part == 0 && t.Servers == nil && t.Kind != "store" && t.Kind != "rolling-restart" && !strings.HasPrefix(t.Kind, "list-") && !fleet.OfAll(t.Kind) {
			wrong(at, "nobody is in trouble: part or servers is needed")
		}
		if slices.Contains([]string{"errors", "resets", "drop"}, t.Kind) || strings.HasPrefix(t.Kind, "calls-") {
			between(at+".size", t.Size, 0.0001, 1)
		}
	}
	for name, want := range f.Expect {
		if _, err := parseBound(want); err != nil {
			wrong("expect."+name, "%v", err)
		}
		if !figurePattern.MatchString(name) {
			wrong("expect."+name, "there is no such figure; `hatchlab figures` lists them")
		}
	}
	if f.Load.Trace != "" && len(faults) == 0 {
		if err := f.readTrace(); err != nil {
			wrong("load.trace", "%v", err)
		}
	}
	slices.SortStableFunc(faults, func(a, b error) int { return cmp.Compare(a.Error(), b.Error()) })
	return faults
}

func (f *File) readTrace() error {
	path := f.Load.Trace
	if !filepath.IsAbs(path) {
		path = filepath.Join(filepath.Dir(f.Path), path)
	}
	in, err := os.Open(path)
	if err != nil {
		return err
	}
	defer in.Close()
	f.tracedArrivals, err = load.ReadTrace(in, path, f.products())
	return err
}

// bound is a bound on a figure.
type bound struct {
	operator string
	value    float64
}

var boundPattern = regexp.MustCompile(`^(<=|>=|<|>|=)\s*(\S+)$`)

// parseBound reads a bound such as ">= 0.9" or "<= 300ms"; times are figures in milliseconds.
func parseBound(text string) (bound, error) {
	parts := boundPattern.FindStringSubmatch(strings.TrimSpace(text))
	if parts == nil {
		return bound{}, fmt.Errorf("%q is no bound such as \">= 0.9\" or \"<= 300ms\"", text)
	}
	if x, err := strconv.ParseFloat(parts[2], 64); err == nil {
		return bound{parts[1], x}, nil
	}
	d, err := time.ParseDuration(parts[2])
	if err != nil {
		return bound{}, fmt.Errorf("%q is neither a number nor a time", parts[2])
	}
	return bound{parts[1], float64(d.Microseconds()) / 1000}, nil
}

// isMetBy tells whether a figure keeps to it; one that is no number never does.
func (l bound) isMetBy(x float64) bool {
	switch l.operator {
	case "<=":
		return x <= l.value
	case ">=":
		return x >= l.value
	case "<":
		return x < l.value
	case ">":
		return x > l.value
	}
	return x == l.value
}

// products are what the load needs of the products.
func (f *File) products() []load.Product {
	list := make([]load.Product, len(f.Product))
	for i, p := range f.Product {
		list[i] = load.Product{Name: p.Name, Share: p.Share, Life: p.Life.micros(), Quoted: p.Quoted.micros(),
			Limit: p.Limit.micros(), Message: p.Message.micros(), Gain: cmp.Or(p.Gain, 1)}
		if list[i].Message == 0 {
			list[i].Message = 150 * ledger.Millisecond
		}
	}
	return list
}

// Plan is what the fleet is made of.
func (f *File) Plan() fleet.Plan {
	x := f.Fleet
	p := fleet.Plan{Servers: x.Servers, Zones: x.Zones, Between: x.Between.micros(), CellSize: x.CellSize, SetUp: x.SetUp.micros(),
		Probe: x.Probe.micros(), Load: x.Load.micros(), LoadSpread: x.LoadSpread, LoadChange: x.LoadChange.micros(),
		GroupCost: x.GroupCost, ConnCap: x.ConnectionsPerCore, QueueCap: x.QueuePerCore, Message: x.Message.micros(),
		Cold:   fleet.Cold{From: x.Cold.From, Warm: x.Cold.Warm.micros(), Multiple: x.Cold.Multiple, Window: x.Cold.Window.micros()},
		Notice: x.Notice.micros(), Weights: x.Weights, TellsLoad: x.TellsLoad, Probes: x.Probes, Sheds: x.Sheds}
	for _, k := range x.Kind {
		p.Kinds = append(p.Kinds, fleet.Kind{Name: k.Name, Share: k.Share, Cores: k.Cores, Speed: k.Speed, Spread: k.Spread})
	}
	return p
}

// arrivals are those of a run with a seed.
func (f *File) arrivals(length ledger.Micros, seed uint64) []load.Arrival {
	if f.tracedArrivals != nil {
		end := slices.IndexFunc(f.tracedArrivals, func(a load.Arrival) bool { return a.At >= length })
		if end < 0 {
			end = len(f.tracedArrivals)
		}
		return f.tracedArrivals[:end]
	}
	bends := []load.Bend{{Rate: f.Load.Rate}}
	if len(f.Load.Bend) > 0 {
		bends = nil
		for _, b := range f.Load.Bend {
			bends = append(bends, load.Bend{At: b.At.micros(), Rate: b.Rate})
		}
	}
	return load.Draw(bends, length, f.products(), load.Groups{Count: f.Load.Groups, Zipf: f.Load.Zipf}, seed)
}

func (f *File) clientHabits() load.Habits {
	l := f.Load
	return load.Habits{Retries: l.Retries, Wait: l.Wait.micros(), Heed: l.Heed, Rejoin: l.Rejoin.micros(), Return: l.Return.micros(),
		Every: l.Every.micros(), Marks: l.Marks, Leave: l.Leave, Rest: l.Rest, Skew: l.Skew, Zones: len(f.Fleet.Zones)}
}

// troubleList is the list of troubles.
func (f *File) troubleList() []fleet.Trouble {
	var script []fleet.Trouble
	for _, t := range f.Trouble {
		script = append(script, fleet.Trouble{Kind: t.Kind, At: t.At.micros(), For: t.For.micros(), Part: t.Part, Servers: t.Servers, Size: t.Size})
	}
	return script
}
