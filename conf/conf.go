// Package conf reads hatchproxy's own configuration file, which is TOML written by people. It contains what the platform's
// JSON contains, with units on the values, and also what the JSON has no settings for: limits, logging and the control API.
// Reading reports all faults at once, with file and line. The file is then converted into the platform's configuration, so
// that the rest of the program sees one form only.
package conf

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"net/netip"
	"regexp"
	"slices"
	"strconv"
	"time"

	"hatchproxy/internal/platformconfig"
	"hatchproxy/internal/tomlfile"
	"hatchproxy/internal/transient"
	"hatchproxy/limits"
	"hatchproxy/logic"
)

// Span and Size are values that are written with a unit. They are structs so that a bare number, whose unit would be unclear,
// is rejected.
type (
	// Span is a duration, such as "250ms".
	Span struct{ time.Duration }
	// Size is a number of bytes, such as "64MiB".
	Size struct{ Bytes int64 }
)

// UnmarshalText reads a duration of zero or more.
func (s *Span) UnmarshalText(text []byte) error {
	d, err := time.ParseDuration(string(text))
	if err != nil || d < 0 {
		return fmt.Errorf("%q is no time such as \"250ms\" or \"3s\"", text)
	}
	s.Duration = d
	return nil
}

// MarshalText writes the duration with its unit.
func (s Span) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// millis returns the duration in milliseconds.
func (s Span) millis() float64 { return float64(s.Microseconds()) / 1000 }

// micros returns the duration in whole microseconds.
func (s Span) micros() logic.Micros { return logic.Micros(s.Microseconds()) }

// sizeUnits are the bytes of each unit.
var sizeUnits = map[string]int64{"B": 1, "KiB": 1 << 10, "MiB": 1 << 20, "GiB": 1 << 30}

// sizePattern matches a number and its unit.
var sizePattern = regexp.MustCompile(`^(\d{1,12})(B|KiB|MiB|GiB)$`)

// UnmarshalText reads a size in B, KiB, MiB or GiB.
func (s *Size) UnmarshalText(text []byte) error {
	parts := sizePattern.FindSubmatch(text)
	if parts == nil {
		return fmt.Errorf("%q is no size such as \"64MiB\"", text)
	}
	n, _ := strconv.ParseInt(string(parts[1]), 10, 64) // cannot fail with at most 12 digits
	s.Bytes = n * sizeUnits[string(parts[2])]
	return nil
}

// MarshalText writes the size in bytes, with the unit B.
func (s Size) MarshalText() ([]byte, error) {
	return []byte(strconv.FormatInt(s.Bytes, 10) + "B"), nil
}

// File is a configuration file. docs/limits.md and examples/hatchproxy.toml describe each key.
type File struct {
	Name   string `toml:"name"`
	Seed   string `toml:"seed,omitempty"` // random seed in hexadecimal; drawn at each start if empty
	Listen string `toml:"listen"`

	Resources struct {
		Cores   float64 `toml:"cores"`
		Memory  Size    `toml:"memory"`
		Sockets int64   `toml:"sockets"`
	} `toml:"resources"`
	Control struct {
		Listen string `toml:"listen"`
	} `toml:"control"`
	Log struct {
		Level string `toml:"level"`
	} `toml:"log"`
	Pool struct {
		List       string   `toml:"list"`   // address of the discovery service
		Number     int      `toml:"number"` // index of this proxy, below Of
		Of         int      `toml:"of"`     // number of proxies that share the pool
		Zones      []string `toml:"zones"`
		Zone       string   `toml:"zone"` // the zone of this proxy, one of Zones
		Models     []string `toml:"models"`
		Weights    string   `toml:"weights"`    // what the list's weights are: one of weightKinds
		Dispatches int      `toml:"dispatches"` // attempts of a request at most
		Connect    Span     `toml:"connect"`    // how long connecting to a server may take
		Probes     bool     `toml:"probes"`     // whether servers may be probed
		Rules      struct {
			AskWithin Span    `toml:"ask-within"` // the longest time between two requests for the server list
			Grace     Span    `toml:"grace"`      // how long new requests may go to a server after its drain counts as delivered
			Start     float64 `toml:"start"`      // share of its capacity that a server has when it starts
			Warm      Span    `toml:"warm"`       // time after which it has all of its capacity
			Multiple  float64 `toml:"multiple"`   // a server fails if it gets more than this many times its current capacity
			Window    Span    `toml:"window"`     // for this long
		} `toml:"rules"`
		Prices struct { // fractions of an attachment's gain
			CrossZone float64 `toml:"cross-zone"`
			Moves     float64 `toml:"moves"`
		} `toml:"prices"`
		Product []Product `toml:"product"`
	} `toml:"pool"`
	Limits Limits `toml:"limits"`

	positions tomlfile.Positions
}

// Product is a product that the pool's servers offer, a class of requests.
type Product struct {
	Name    string  `toml:"name"`
	Repeat  string  `toml:"repeat"`          // whether a request may be repeated: harmless, stamped or one-shot
	Reach   string  `toml:"reach,omitempty"` // servers that recognize a stamp: all (also if empty), zone or group
	Window  Span    `toml:"window"`          // how long a stamp is remembered
	Quoted  Span    `toml:"quoted"`          // quoted time of a request
	Limit   Span    `toml:"limit"`           // hard limit of a request
	Message Span    `toml:"message"`         // quoted time of a message on an established connection; 0 if none
	Gain    float64 `toml:"gain"`            // 0 stands for 1
}

// Limits limit what a listener accepts; 0 means no limit, but LongestWait must be above 0 if any limit is set.
type Limits struct {
	SetUps        float64 `toml:"set-ups"` // per second
	Burst         float64 `toml:"burst"`
	Standing      int     `toml:"standing"`        // established connections, shared between tenants
	AddressSetUps float64 `toml:"address-set-ups"` // per second and client address
	AddressBurst  float64 `toml:"address-burst"`
	RetryShare    float64 `toml:"retry-share"`  // retries per first try
	LongestWait   Span    `toml:"longest-wait"` // the longest time after which a refused client is told to come back
}

// HasAny reports whether any limit is set.
func (l Limits) HasAny() bool {
	return l.SetUps > 0 || l.Standing > 0 || l.AddressSetUps > 0 || l.RetryShare > 0
}

// NewLimiter creates a limiter with these limits, or returns nil if none is set.
func (l Limits) NewLimiter(seed int64) *limits.Limiter {
	if !l.HasAny() {
		return nil
	}
	return (&limits.Limiter{SetupRate: limits.Rate{PerSecond: l.SetUps, Burst: l.Burst}, MaxConnections: l.Standing,
		AddressRate: limits.Rate{PerSecond: l.AddressSetUps, Burst: l.AddressBurst}, RetryShare: l.RetryShare,
		MaxWait: l.LongestWait.micros()}).Init(seed)
}

// Defaults returns a configuration with the values of all keys that a file may omit.
func Defaults() *File {
	f := &File{}
	f.Resources.Cores, f.Resources.Memory, f.Resources.Sockets = 1, Size{192 << 20}, 1024
	f.Log.Level = "info"
	pool := &f.Pool
	pool.Of, pool.Weights, pool.Dispatches, pool.Connect = 1, "nominal", 3, Span{250 * time.Millisecond}
	rules := &pool.Rules
	rules.AskWithin, rules.Grace, rules.Start, rules.Warm = Span{10 * time.Second}, Span{2 * time.Second}, 0.3, Span{9 * time.Second}
	rules.Multiple, rules.Window = 4, Span{3 * time.Second}
	f.Limits.LongestWait = Span{5 * time.Second}
	return f
}

// Read reads and validates the file at path. The error joins all faults.
func Read(path string) (*File, error) {
	text, err := transient.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return Parse(path, text)
}

// Parse is like Read, but gets the file's text; path is only for the errors.
func Parse(path string, text []byte) (*File, error) {
	f := Defaults()
	if err := tomlfile.Decode(path, text, f); err != nil {
		return nil, err
	}
	f.positions = tomlfile.FindPositions(path, text)
	if faults := f.validate(); len(faults) > 0 {
		return nil, errors.Join(faults...)
	}
	return f, nil
}

var (
	// platformIdempotency and platformGroup map the values of "repeat" and "reach" to those of "idempotency" and "group" in
	// the platform's JSON.
	platformIdempotency = map[string]string{"harmless": "repeatable", "stamped": "by_key", "one-shot": "once"}
	platformGroup       = map[string]string{"": "all", "all": "all", "zone": "zone", "group": "cell"}
	// weightKinds are the values of "weights".
	weightKinds = []string{"none", "nominal", "rough", "live"}
	// productNamePattern excludes spaces, commas and equals signs, which separate the fields of a client's request.
	productNamePattern = regexp.MustCompile(`^[^\s,=]{1,100}$`)
)

// validate returns all faults of the file, sorted.
func (f *File) validate() (faults []error) {
	report := func(key, format string, args ...any) {
		faults = append(faults, fmt.Errorf("%s: %s: %s", f.positions.At(key), key, fmt.Sprintf(format, args...)))
	}
	checkRange := func(key string, value, minimum, maximum float64) {
		if !(value >= minimum && value <= maximum) {
			report(key, "%g is not between %g and %g", value, minimum, maximum)
		}
	}
	if f.Name == "" {
		report("name", "is missing")
	}
	for key, address := range map[string]string{"listen": f.Listen, "pool.list": f.Pool.List} {
		if _, err := netip.ParseAddrPort(address); err != nil {
			report(key, "%q is no address with a port", address)
		}
	}
	if f.Seed != "" {
		if _, err := strconv.ParseUint(f.Seed, 16, 64); err != nil {
			report("seed", "%q is no hexadecimal number", f.Seed)
		}
	}
	if err := new(slog.LevelVar).UnmarshalText([]byte(f.Log.Level)); err != nil {
		report("log.level", "%q is none of debug, info, warn, error", f.Log.Level)
	}
	checkRange("resources.cores", f.Resources.Cores, 0.01, 1024)
	checkRange("resources.sockets", float64(f.Resources.Sockets), 64, 1<<24)
	pool := f.Pool
	checkRange("pool.of", float64(pool.Of), 1, 100_000)
	checkRange("pool.number", float64(pool.Number), 0, float64(pool.Of-1))
	checkRange("pool.dispatches", float64(pool.Dispatches), 1, 100)
	if len(pool.Zones) == 0 {
		report("pool.zones", "are missing")
	} else if !slices.Contains(pool.Zones, pool.Zone) {
		report("pool.zone", "%q is none of %v", pool.Zone, pool.Zones)
	}
	if !slices.Contains(weightKinds, pool.Weights) {
		report("pool.weights", "%q is none of %v", pool.Weights, weightKinds)
	}
	checkRange("pool.rules.start", pool.Rules.Start, 0, 1)
	if len(pool.Product) == 0 {
		report("pool.product", "is missing: [[pool.product]] names one")
	}
	named := map[string]bool{}
	for i, product := range pool.Product {
		prefix := fmt.Sprintf("pool.product[%d]", i)
		if !productNamePattern.MatchString(product.Name) {
			report(prefix+".name", "%q is no name", product.Name)
		} else if named[product.Name] {
			report(prefix+".name", "%q is named twice", product.Name)
		}
		named[product.Name] = true
		if platformIdempotency[product.Repeat] == "" {
			report(prefix+".repeat", "%q is none of harmless, stamped, one-shot", product.Repeat)
		}
		if platformGroup[product.Reach] == "" {
			report(prefix+".reach", "%q is none of all, zone, group", product.Reach)
		}
		if product.Quoted.Duration <= 0 || product.Quoted.Duration > product.Limit.Duration {
			report(prefix+".quoted", "is not between 0 and the limit")
		}
		if product.Repeat == "stamped" && product.Window.Duration <= 0 {
			report(prefix+".window", "is missing: how long a stamp is remembered")
		}
	}
	f.validateLimits(report, checkRange)
	// Maps are iterated in random order; sorting makes the errors of a file the same each time.
	slices.SortStableFunc(faults, func(a, b error) int { return cmp.Compare(a.Error(), b.Error()) })
	return faults
}

// validateLimits reports limits that make no sense, alone or together.
func (f *File) validateLimits(report func(string, string, ...any), checkRange func(string, float64, float64, float64)) {
	l := f.Limits
	const maximum = 1e9
	checkRange("limits.set-ups", l.SetUps, 0, maximum)
	checkRange("limits.burst", l.Burst, 0, maximum)
	checkRange("limits.standing", float64(l.Standing), 0, maximum)
	checkRange("limits.address-set-ups", l.AddressSetUps, 0, maximum)
	checkRange("limits.address-burst", l.AddressBurst, 0, maximum)
	checkRange("limits.retry-share", l.RetryShare, 0, 100)
	if l.Burst > 0 && l.SetUps == 0 {
		report("limits.burst", "says nothing without set-ups")
	}
	if l.AddressBurst > 0 && l.AddressSetUps == 0 {
		report("limits.address-burst", "says nothing without address-set-ups")
	}
	if l.SetUps > 0 && l.AddressSetUps > l.SetUps {
		report("limits.address-set-ups", "one address may have %g a second, and all together %g", l.AddressSetUps, l.SetUps)
	}
	if 2*int64(l.Standing) > f.Resources.Sockets {
		report("limits.standing", "%d connections need %d sockets, and resources.sockets has %d", l.Standing, 2*l.Standing, f.Resources.Sockets)
	}
	if l.HasAny() && l.LongestWait.Duration <= 0 {
		report("limits.longest-wait", "is not above 0")
	}
}

// PlatformConfig converts the file into the platform's configuration. It uses seed unless the file has one.
func (f *File) PlatformConfig(seed uint64) (*platformconfig.Config, error) {
	type table = map[string]any
	var products []table
	var messageTimes []float64
	for _, product := range f.Pool.Product {
		gain := product.Gain
		if gain == 0 {
			gain = 1
		}
		products = append(products, table{"name": product.Name, "idempotency": platformIdempotency[product.Repeat], "group": platformGroup[product.Reach], "window-ms": product.Window.millis(),
			"quoted-time-ms": product.Quoted.millis(), "hard-limit-ms": product.Limit.millis(), "gain": gain})
		messageTimes = append(messageTimes, product.Message.millis())
	}
	models := f.Pool.Models
	if models == nil {
		models = []string{}
	}
	pool, rules := f.Pool, f.Pool.Rules
	if f.Seed != "" {
		seed, _ = strconv.ParseUint(f.Seed, 16, 64) // validated by Parse
	}
	text, err := json.Marshal(table{
		"name": f.Name, "listen": f.Listen, "discovery": pool.List, "seed": strconv.FormatUint(seed, 16),
		"limits": table{"cores": f.Resources.Cores, "memory_mb": f.Resources.Memory.Bytes >> 20, "sockets": f.Resources.Sockets},
		"settings": table{
			"my-number": pool.Number, "group-size": pool.Of, "zone": slices.Index(pool.Zones, pool.Zone), "localities": pool.Zones, "models": models,
			"weight-kind": pool.Weights, "membership-mode": "subscribe", "products": products,
			"family-info": table{"mode": "proxy", "message-aim-ms": messageTimes},
			"limits":      table{"max-dispatches": pool.Dispatches, "dial-timeout-ms": pool.Connect.millis(), "probes": pool.Probes},
			"invariants": table{"ask-within-ms": rules.AskWithin.millis(), "start-capacity": rules.Start, "cold-ms": rules.Warm.millis(), "fall-multiple": rules.Multiple,
				"fall-ms": rules.Window.millis(), "stop-sending-within-ms": rules.Grace.millis()},
			"prices": table{"cross-zone": pool.Prices.CrossZone, "moves": pool.Prices.Moves},
		},
	})
	if err != nil {
		return nil, err
	}
	return platformconfig.FromJSON(text)
}
