// Package experiment runs load experiments. It reads an experiment from a TOML file, plays it with real proxy processes,
// agents where the file asks for them, a simulated server fleet and an open-loop load, checks the event log of the run
// against the protocol's rules, and compares the measured figures with the bounds that the file expects. It also compares
// two builds over pairs of runs, and measures what a proxy costs next to a bare relay.
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

// Duration is a duration in an experiment file, written with its unit: "1.5s", "300ms". It is a struct so that a bare
// number, whose unit would be unclear, is rejected.
type Duration struct{ Micros ledger.Micros }

// UnmarshalText parses a duration in the form of time.ParseDuration. A malformed or negative one is an error.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	if err != nil || parsed < 0 {
		return fmt.Errorf("%q is not a duration such as \"1.5s\" or \"300ms\"", text)
	}
	d.Micros = ledger.FromDuration(parsed)
	return nil
}

func (d Duration) micros() ledger.Micros { return d.Micros }

// File is an experiment as it is written in its file. Fields are named like the file's keys; docs/lab.md describes the keys.
type File struct {
	Path   string `toml:"-"` // of the file, for error messages and for a relative Load.Trace
	Name   string
	About  string // a description for readers
	Length Duration
	Seeds  []uint64

	// Proxies describes the proxy processes.
	Proxies struct {
		Count      int
		MemoryMB   int      `toml:"memory-mb"`
		Sockets    int      // limit of each proxy
		Dispatches int      // attempts at servers for each attachment, at most
		Grace      Duration // how long after a drain was announced requests may still be sent to the server
	}
	Control Control
	// Fleet describes the simulated servers and their discovery service. Set-up, probe and load are work, as the time
	// that it takes a core of speed 1.
	Fleet struct {
		Servers  int
		Zones    []string
		Between  Duration // one-way delay between two zones
		CellSize int      `toml:"cell-size"` // servers in a cell; 0 puts all into one
		SetUp    Duration `toml:"set-up"`    // work to establish a connection, on average
		// Probe is the work of a probe, Load that of an established connection in a second, on average.
		Probe, Load        Duration
		LoadSpread         float64  `toml:"load-spread"`          // sigma of the log-normal distribution of connections' loads; 0 for equal loads
		LoadChange         Duration `toml:"load-change"`          // how long a connection's load lasts, on average; 0 if it never changes
		GroupCost          float64  `toml:"group-cost"`           // work of a server for each group with a connection there, in mean loads
		ConnectionsPerCore int      `toml:"connections-per-core"` // 0 for no limit
		QueuePerCore       int      `toml:"queue-per-core"`       // pending set-ups; 0 for no limit
		// Message is the time that a message takes on an idle core of speed 1, Notice the delay of discovery's answers.
		Message, Notice Duration
		Weights         string // the weights of servers on discovery's list: "none", "nominal" or "rough"
		TellsLoad       bool   `toml:"tells-load"` // servers report the load of their connections
		// Probes tells whether servers answer probes, Sheds whether a draining server asks its clients to move.
		Probes, Sheds bool
		// Cold describes a server after its start: From is its initial share of the full capacity, which it reaches after
		// Warm. One that is sent more than Multiple times its capacity for Window collapses.
		Cold struct {
			From, Multiple float64
			Warm, Window   Duration
		}
		// Kind lists the kinds of machine. Share is relative to the other kinds' shares, Speed that of a core, Spread the
		// share by which the speeds of machines of the kind differ.
		Kind []struct {
			Name                 string
			Cores                int
			Share, Speed, Spread float64
		}
	}
	// Product lists the classes of requests. Share is relative to the other products' shares; Gain weighs the time served;
	// Life is how long a client wants to be connected, on average; a set-up within Quoted earns the full gain, and Limit is
	// the hard limit; Repeat and Reach say when a request may be sent again and where duplicates are recognized, within
	// Window; Message is the quoted time of a message.
	Product []struct {
		Name, Repeat, Reach string
		Share, Gain         float64
		Life, Window        Duration
		Quoted, Limit       Duration
		Message             Duration
	}
	// Load describes the clients. Rate is in arrivals per second; Bend, if given, replaces it by a rate that changes
	// linearly between the listed points, and Trace by the arrivals of a file. Groups and Zipf distribute clients over
	// groups. Heed is the share of clients that wait as long as BUSY tells them, Skew the share in the first zone. Wait is
	// the mean time before a retry; Rejoin the longest time until a client whose connection ended connects again; Return
	// the mean time until one that used up its Retries tries again, 0 for never; Every the time between a client's messages.
	// Carried is the number of connections established before the run. With Marks, retries carry r=1.
	Load struct {
		Rate                float64
		Groups              int
		Zipf, Heed, Skew    float64
		Retries, Carried    int
		Wait, Rejoin, Every Duration
		Return              Duration
		Marks               bool
		Leave, Rest         float64 // shares of requests: closed early by the client; sent on a connection that was idle first
		Trace               string
		Bend                []struct {
			At   Duration
			Rate float64
		}
	}
	// Trouble lists the disturbances of servers, discovery, proxies and machines during the run. Servers names the targets
	// (servers, proxies, machines or sites, as the kind has it); without it, a share Part of them is drawn. The meaning of Size depends on
	// the kind: see fleet.TroubleKinds.
	Trouble []struct {
		Kind    string
		At, For Duration
		Part    float64
		Servers []int
		Size    float64
	}
	Expect map[string]string // a bound such as ">= 0.9" for each figure's name

	positions      tomlfile.Positions
	tracedArrivals []load.Arrival // of Load.Trace; nil without one
}

// Control describes the agents that manage the proxies.
type Control struct {
	Agents int      // each on a machine of its own; with 0 this package starts the proxies itself, without a control API
	Voters int      // number of agents that vote; 0 for all
	Duties []string // that every agent is a candidate for
	Clocks bool     // the agents' clocks are wrong, each in a different way
	Sites  int      // machine m is in site m modulo Sites, with the servers of zone m modulo Sites; 0 for one site
}

// voterCount and siteCount return the numbers of voters and sites, with 0 replaced by its meaning.
func (c Control) voterCount() int { return cmp.Or(c.Voters, c.Agents) }
func (c Control) siteCount() int  { return cmp.Or(c.Sites, 1) }

// targetCount returns the number of targets (sites, agents, proxies or servers) that a kind of trouble has to choose from.
func (f *File) targetCount(kind string) int {
	fault, isMachineFault := machineFault(kind)
	switch {
	case isMachineFault && fault.TargetsSite():
		return f.Control.siteCount()
	case isMachineFault:
		return f.Control.Agents
	case fleet.IsProxyTrouble(kind):
		return f.Proxies.Count
	}
	return f.Fleet.Servers
}

// Read reads and validates an experiment file. The error lists every fault with its line and cause.
func Read(path string) (*File, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return Parse(path, text)
}

// Parse is like Read for a given text. The path is used in errors, and to find a relative load.trace.
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

// setDefaults sets the values of the keys that a file leaves out. They describe the deployment of the first operators.
func (f *File) setDefaults() {
	f.Length, f.Seeds = Duration{20 * ledger.Second}, []uint64{1}
	proxies := &f.Proxies
	proxies.Count, proxies.MemoryMB, proxies.Sockets, proxies.Dispatches, proxies.Grace = 2, 192, 16384, 6, Duration{2 * ledger.Second}
	fleetSection := &f.Fleet
	fleetSection.Servers, fleetSection.Zones = 8, []string{"a"}
	fleetSection.SetUp, fleetSection.Probe, fleetSection.Load, fleetSection.Message = Duration{8 * ledger.Millisecond}, Duration{200}, Duration{60 * ledger.Millisecond}, Duration{2 * ledger.Millisecond}
	fleetSection.Notice, fleetSection.Weights = Duration{500 * ledger.Millisecond}, "nominal"
	fleetSection.TellsLoad, fleetSection.Probes = true, true
	fleetSection.Cold.From, fleetSection.Cold.Multiple, fleetSection.Cold.Warm, fleetSection.Cold.Window = 0.3, 4, Duration{9 * ledger.Second}, Duration{3 * ledger.Second}
	clients := &f.Load
	clients.Heed, clients.Skew, clients.Retries, clients.Zipf = 1, 0.5, 3, 1.1
	clients.Wait, clients.Rejoin, clients.Every = Duration{60 * ledger.Millisecond}, Duration{1600 * ledger.Millisecond}, Duration{2 * ledger.Second}
}

// idempotencyByName and dedupScopeByName map the values of the keys product.repeat and product.reach.
var (
	idempotencyByName = map[string]ledger.Idempotency{"harmless": ledger.Harmless, "stamped": ledger.Stamped, "one-shot": ledger.OneShot}
	dedupScopeByName  = map[string]ledger.DedupScope{"": ledger.DedupAll, "all": ledger.DedupAll, "zone": ledger.DedupZone, "group": ledger.DedupCell}
)

// validate returns all faults of the file, sorted by their text.
func (f *File) validate() (faults []error) {
	report := func(key, format string, a ...any) {
		faults = append(faults, fmt.Errorf("%s: %s: %s", f.positions.At(key), key, fmt.Sprintf(format, a...)))
	}
	checkRange := func(key string, x, low, high float64) {
		if !(x >= low && x <= high) {
			report(key, "%g is not between %g and %g", x, low, high)
		}
	}
	if f.Name == "" {
		report("name", "is missing")
	}
	checkRange("length", f.Length.micros().Duration().Seconds(), 1, 3600)
	if len(f.Seeds) == 0 {
		report("seeds", "is empty")
	}
	checkRange("proxies.count", float64(f.Proxies.Count), 1, 64)
	checkRange("control.agents", float64(f.Control.Agents), 0, 64)
	checkRange("control.voters", float64(f.Control.voterCount()), 0, float64(f.Control.Agents))
	if n := f.Control.siteCount(); n > 1 && (n != len(f.Fleet.Zones) || f.Control.Agents%n != 0 || f.Control.Agents == 0) {
		report("control.sites", "%d sites need as many zones, and a number of agents that is a multiple of it", n)
	}
	checkRange("proxies.sockets", float64(f.Proxies.Sockets), 64, 1<<20)
	checkRange("fleet.servers", float64(f.Fleet.Servers), 1, 2000)
	checkRange("fleet.zones", float64(len(f.Fleet.Zones)), 1, 8)
	checkRange("load.heed", f.Load.Heed, 0, 1)
	checkRange("load.leave", f.Load.Leave, 0, 1)
	checkRange("load.rest", f.Load.Rest, 0, 1)
	checkRange("load.skew", f.Load.Skew, 0, 1)
	checkRange("load.every", f.Load.Every.micros().Duration().Seconds(), 0.01, 3600)
	checkRange("fleet.set-up", f.Fleet.SetUp.micros().Duration().Seconds(), 0, 60)
	if len(f.Fleet.Kind) == 0 {
		report("fleet.kind", "is missing: add a [[fleet.kind]] section for each kind of machine")
	}
	for i, k := range f.Fleet.Kind {
		prefix := fmt.Sprintf("fleet.kind[%d]", i)
		checkRange(prefix+".cores", float64(k.Cores), 1, 1024)
		checkRange(prefix+".speed", k.Speed, 0.001, 1000)
		checkRange(prefix+".share", k.Share, 0.000001, 1e6)
		checkRange(prefix+".spread", k.Spread, 0, 0.95)
	}
	if !slices.Contains([]string{"none", "nominal", "rough"}, f.Fleet.Weights) {
		report("fleet.weights", "%q is none of none, nominal, rough", f.Fleet.Weights)
	}
	if len(f.Product) == 0 {
		report("product", "is missing: add a [[product]] section")
	}
	names := map[string]bool{}
	for i, p := range f.Product {
		prefix := fmt.Sprintf("product[%d]", i)
		if p.Name == "" || strings.ContainsAny(p.Name, " ,=") {
			report(prefix+".name", "%q is not a valid name", p.Name)
		}
		if names[p.Name] {
			report(prefix+".name", "%q is named twice", p.Name)
		}
		names[p.Name] = true
		if _, known := idempotencyByName[p.Repeat]; !known {
			report(prefix+".repeat", "%q is none of %v", p.Repeat, slices.Sorted(maps.Keys(idempotencyByName)))
		}
		if _, known := dedupScopeByName[p.Reach]; !known {
			report(prefix+".reach", "%q is none of all, zone, group", p.Reach)
		}
		checkRange(prefix+".limit", p.Limit.micros().Duration().Seconds(), 0.01, 600)
		if p.Quoted.Micros <= 0 || p.Quoted.Micros > p.Limit.Micros {
			report(prefix+".quoted", "must be above 0 and at most the limit")
		}
		if p.Share <= 0 {
			report(prefix+".share", "must be above 0")
		}
		if p.Life.Micros <= 0 {
			report(prefix+".life", "must be above 0")
		}
	}
	for i := range f.Load.Bend {
		prefix := fmt.Sprintf("load.bend[%d]", i)
		if i > 0 && f.Load.Bend[i].At.Micros < f.Load.Bend[i-1].At.Micros {
			report(prefix+".at", "is earlier than the previous point")
		}
		checkRange(prefix+".rate", f.Load.Bend[i].Rate, 0, 100_000)
	}
	checkRange("load.rate", f.Load.Rate, 0, 100_000)
	if f.Load.Rate == 0 && len(f.Load.Bend) == 0 && f.Load.Trace == "" && f.Load.Carried == 0 {
		report("load", "has no arrivals: set rate, [[load.bend]], trace or carried")
	}
	for i, t := range f.Trouble {
		prefix := fmt.Sprintf("trouble[%d]", i)
		if _, known := fleet.TroubleKinds[t.Kind]; !known {
			report(prefix+".kind", "%q is none of %s", t.Kind, strings.Join(slices.Sorted(maps.Keys(fleet.TroubleKinds)), ", "))
			continue
		}
		targets := f.targetCount(t.Kind)
		if fleet.IsAgentTrouble(t.Kind) && f.Control.Agents == 0 {
			report(prefix+".kind", "%q needs control.agents", t.Kind)
		}
		for _, n := range t.Servers {
			checkRange(prefix+".servers", float64(n), 0, float64(targets-1))
		}
		checkRange(prefix+".part", t.Part, 0, 1)
		if t.Part == 0 && t.Servers == nil && t.Kind != "store" && t.Kind != "rolling-restart" && !strings.HasPrefix(t.Kind, "list-") && !fleet.AffectsAll(t.Kind) {
			report(prefix, "has no target: set part or servers")
		}
		if slices.Contains([]string{"errors", "resets", "drop"}, t.Kind) || strings.HasPrefix(t.Kind, "calls-") {
			checkRange(prefix+".size", t.Size, 0.0001, 1)
		}
	}
	for name, want := range f.Expect {
		if _, err := parseBound(want); err != nil {
			report("expect."+name, "%v", err)
		}
		if !figurePattern.MatchString(name) {
			report("expect."+name, "is not a known figure; `hatchlab figures` lists them")
		}
	}
	if f.Load.Trace != "" && len(faults) == 0 {
		if err := f.readTrace(); err != nil {
			report("load.trace", "%v", err)
		}
	}
	slices.SortStableFunc(faults, func(a, b error) int { return cmp.Compare(a.Error(), b.Error()) })
	return faults
}

// readTrace reads the arrivals of load.trace; a relative path starts at the experiment file's directory.
func (f *File) readTrace() error {
	path := f.Load.Trace
	if !filepath.IsAbs(path) {
		path = filepath.Join(filepath.Dir(f.Path), path)
	}
	file, err := os.Open(path)
	if err != nil {
		return err
	}
	defer file.Close()
	f.tracedArrivals, err = load.ReadTrace(file, path, f.products())
	return err
}

// bound is an expected bound on a figure; times are in milliseconds.
type bound struct {
	operator string
	value    float64
}

// boundPattern matches a comparison operator with a number or a duration.
var boundPattern = regexp.MustCompile(`^(<=|>=|<|>|=)\s*(\S+)$`)

// parseBound parses a bound such as ">= 0.9" or "<= 300ms". Durations become milliseconds, the unit of figures that are times.
func parseBound(text string) (bound, error) {
	parts := boundPattern.FindStringSubmatch(strings.TrimSpace(text))
	if parts == nil {
		return bound{}, fmt.Errorf("%q is not a bound such as \">= 0.9\" or \"<= 300ms\"", text)
	}
	if x, err := strconv.ParseFloat(parts[2], 64); err == nil {
		return bound{parts[1], x}, nil
	}
	d, err := time.ParseDuration(parts[2])
	if err != nil {
		return bound{}, fmt.Errorf("%q is neither a number nor a duration", parts[2])
	}
	return bound{parts[1], float64(d.Microseconds()) / 1000}, nil
}

// isMetBy reports whether a figure satisfies the bound. NaN satisfies none.
func (b bound) isMetBy(x float64) bool {
	switch b.operator {
	case "<=":
		return x <= b.value
	case ">=":
		return x >= b.value
	case "<":
		return x < b.value
	case ">":
		return x > b.value
	}
	return x == b.value
}

// products returns the products in the form that the load generator takes.
func (f *File) products() []load.Product {
	list := make([]load.Product, len(f.Product))
	for i, p := range f.Product {
		list[i] = load.Product{Name: p.Name, Share: p.Share, MeanLifetime: p.Life.micros(), QuotedSetUpTime: p.Quoted.micros(),
			HardLimit: p.Limit.micros(), QuotedMessageTime: p.Message.micros(), Gain: cmp.Or(p.Gain, 1)}
		if list[i].QuotedMessageTime == 0 {
			list[i].QuotedMessageTime = 150 * ledger.Millisecond
		}
	}
	return list
}

// FleetConfig returns the description of the simulated fleet.
func (f *File) FleetConfig() fleet.Config {
	section := f.Fleet
	config := fleet.Config{ServerCount: section.Servers, Zones: section.Zones, InterZoneDelay: section.Between.micros(), CellSize: section.CellSize, SetUpWork: section.SetUp.micros(),
		ProbeWork: section.Probe.micros(), ConnLoad: section.Load.micros(), LoadSpread: section.LoadSpread, LoadChangeInterval: section.LoadChange.micros(),
		GroupCost: section.GroupCost, MaxConnsPerCore: section.ConnectionsPerCore, MaxQueuePerCore: section.QueuePerCore, MessageTime: section.Message.micros(),
		ColdStart:      fleet.ColdStart{InitialShare: section.Cold.From, WarmUpTime: section.Cold.Warm.micros(), OverloadMultiple: section.Cold.Multiple, OverloadWindow: section.Cold.Window.micros()},
		DiscoveryDelay: section.Notice.micros(), WeightMode: section.Weights, ReportsLoad: section.TellsLoad, AnswersProbes: section.Probes, MovesClientsOnDrain: section.Sheds}
	for _, kind := range section.Kind {
		config.MachineKinds = append(config.MachineKinds, fleet.MachineKind{Name: kind.Name, Share: kind.Share, Cores: kind.Cores, Speed: kind.Speed, SpeedSpread: kind.Spread})
	}
	return config
}

// arrivals returns the arrivals of a run, in order of time: those of the trace up to the run's length, or else drawn by the seed.
func (f *File) arrivals(length ledger.Micros, seed uint64) []load.Arrival {
	if f.tracedArrivals != nil {
		end := slices.IndexFunc(f.tracedArrivals, func(a load.Arrival) bool { return a.At >= length })
		if end < 0 {
			end = len(f.tracedArrivals)
		}
		return f.tracedArrivals[:end]
	}
	points := []load.RatePoint{{Rate: f.Load.Rate}}
	if len(f.Load.Bend) > 0 {
		points = nil
		for _, b := range f.Load.Bend {
			points = append(points, load.RatePoint{At: b.At.micros(), Rate: b.Rate})
		}
	}
	return load.DrawArrivals(points, length, f.products(), load.Groups{Count: f.Load.Groups, ZipfExponent: f.Load.Zipf}, seed)
}

// clientHabits returns how the clients behave.
func (f *File) clientHabits() load.Habits {
	clients := f.Load
	return load.Habits{MaxRetries: clients.Retries, MeanRetryDelay: clients.Wait.micros(), HeedShare: clients.Heed, MaxRejoinDelay: clients.Rejoin.micros(), MeanReturnDelay: clients.Return.micros(),
		MessageInterval: clients.Every.micros(), MarkRetries: clients.Marks, LeaveShare: clients.Leave, IdleShare: clients.Rest, FirstZoneShare: clients.Skew, ZoneCount: len(f.Fleet.Zones)}
}

// script returns the troubles in the form that fleet.Schedule takes. Targets that the file leaves to chance are not drawn yet.
func (f *File) script() []fleet.Trouble {
	var list []fleet.Trouble
	for _, t := range f.Trouble {
		list = append(list, fleet.Trouble{Kind: t.Kind, At: t.At.micros(), Duration: t.For.micros(), Share: t.Part, Targets: t.Servers, Size: t.Size})
	}
	return list
}
