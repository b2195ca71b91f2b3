// Package conf reads the product's own configuration: TOML that a person writes. It says what the platform's JSON says,
// in units as people write them, and what that has no words for: limits, logging, the control surface. It is checked
// whole, all faults at once with file and line, and translated into the same inner form at one place.
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

// Span is a time with its unit: "250ms". Size is a number of bytes with its unit: "64MiB". They are structs so that a
// bare number, of whatever unit, is no such value.
type (
	Span struct{ time.Duration }
	Size struct{ Bytes int64 }
)

// UnmarshalText reads one.
func (s *Span) UnmarshalText(text []byte) error {
	d, err := time.ParseDuration(string(text))
	if err != nil || d < 0 {
		return fmt.Errorf("%q is no time such as \"250ms\" or \"3s\"", text)
	}
	s.Duration = d
	return nil
}

// MarshalText writes one.
func (s Span) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

func (s Span) millis() float64 { return float64(s.Microseconds()) / 1000 }

func (s Span) micros() logic.Micros { return logic.Micros(s.Microseconds()) }

var sizeUnits = map[string]int64{"B": 1, "KiB": 1 << 10, "MiB": 1 << 20, "GiB": 1 << 30}

var sizePattern = regexp.MustCompile(`^(\d{1,12})(B|KiB|MiB|GiB)$`)

// UnmarshalText reads one.
func (s *Size) UnmarshalText(text []byte) error {
	parts := sizePattern.FindSubmatch(text)
	if parts == nil {
		return fmt.Errorf("%q is no size such as \"64MiB\"", text)
	}
	n, _ := strconv.ParseInt(string(parts[1]), 10, 64) // twelve digits
	s.Bytes = n * sizeUnits[string(parts[2])]
	return nil
}

// MarshalText writes one.
func (s Size) MarshalText() ([]byte, error) {
	return []byte(strconv.FormatInt(s.Bytes, 10) + "B"), nil
}

// File is a configuration. docs/limits.md and examples/hatchproxy.toml tell each name.
type File struct {
	Name   string `toml:"name"`
	Seed   string `toml:"seed,omitempty"` // hexadecimal; drawn at each start if empty
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
		List       string   `toml:"list"` // discovery's address
		Number     int      `toml:"number"`
		Of         int      `toml:"of"`
		Zones      []string `toml:"zones"`
		Zone       string   `toml:"zone"`
		Models     []string `toml:"models"`
		Weights    string   `toml:"weights"`
		Dispatches int      `toml:"dispatches"`
		Connect    Span     `toml:"connect"`
		Probes     bool     `toml:"probes"`
		Rules      struct {
			AskWithin Span    `toml:"ask-within"`
			Grace     Span    `toml:"grace"`
			Start     float64 `toml:"start"`
			Warm      Span    `toml:"warm"`
			Multiple  float64 `toml:"multiple"`
			Window    Span    `toml:"window"`
		} `toml:"rules"`
		Prices struct {
			CrossZone float64 `toml:"cross-zone"`
			Moves     float64 `toml:"moves"`
		} `toml:"prices"`
		Product []Product `toml:"product"`
	} `toml:"pool"`
	Limits Limits `toml:"limits"`

	positions tomlfile.Positions
}

// Product is one of the pool's.
type Product struct {
	Name    string  `toml:"name"`
	Repeat  string  `toml:"repeat"`
	Reach   string  `toml:"reach,omitempty"`
	Window  Span    `toml:"window"`
	Quoted  Span    `toml:"quoted"`
	Limit   Span    `toml:"limit"`
	Message Span    `toml:"message"`
	Gain    float64 `toml:"gain"`
}

// Limits are what a listener lets in; 0 is no limit.
type Limits struct {
	SetUps        float64 `toml:"set-ups"` // a second
	Burst         float64 `toml:"burst"`
	Standing      int     `toml:"standing"` // shared between tenants
	AddressSetUps float64 `toml:"address-set-ups"`
	AddressBurst  float64 `toml:"address-burst"`
	RetryShare    float64 `toml:"retry-share"`
	LongestWait   Span    `toml:"longest-wait"`
}

// HasAny tells whether there is a limit at all.
func (l Limits) HasAny() bool {
	return l.SetUps > 0 || l.Standing > 0 || l.AddressSetUps > 0 || l.RetryShare > 0
}

// NewLimiter makes the limits' gate; nil if there are none.
func (l Limits) NewLimiter(seed int64) *limits.Limiter {
	if !l.HasAny() {
		return nil
	}
	return (&limits.Limiter{SetupRate: limits.Rate{PerSecond: l.SetUps, Burst: l.Burst}, MaxConnections: l.Standing,
		AddressRate: limits.Rate{PerSecond: l.AddressSetUps, Burst: l.AddressBurst}, RetryShare: l.RetryShare,
		MaxWait: l.LongestWait.micros()}).Init(seed)
}

// Defaults is what holds where a file says nothing.
func Defaults() *File {
	f := &File{}
	f.Resources.Cores, f.Resources.Memory, f.Resources.Sockets = 1, Size{192 << 20}, 1024
	f.Log.Level = "info"
	p := &f.Pool
	p.Of, p.Weights, p.Dispatches, p.Connect = 1, "nominal", 3, Span{250 * time.Millisecond}
	r := &p.Rules
	r.AskWithin, r.Grace, r.Start, r.Warm = Span{10 * time.Second}, Span{2 * time.Second}, 0.3, Span{9 * time.Second}
	r.Multiple, r.Window = 4, Span{3 * time.Second}
	f.Limits.LongestWait = Span{5 * time.Second}
	return f
}

// Read reads a file and checks it whole.
func Read(path string) (*File, error) {
	text, err := transient.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return Parse(path, text)
}

// Parse does the same with a text.
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
	// platformIdempotency are those of the platform's JSON for ours.
	platformIdempotency = map[string]string{"harmless": "repeatable", "stamped": "by_key", "one-shot": "once"}
	platformGroup       = map[string]string{"": "all", "all": "all", "zone": "zone", "group": "cell"}
	weightKinds         = []string{"none", "nominal", "rough", "live"}
	productNamePattern  = regexp.MustCompile(`^[^\s,=]{1,100}$`)
)

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
	for key, at := range map[string]string{"listen": f.Listen, "pool.list": f.Pool.List} {
		if _, err := netip.ParseAddrPort(at); err != nil {
			wrong(key, "%q is no address with a port", at)
		}
	}
	if f.Seed != "" {
		if _, err := strconv.ParseUint(f.Seed, 16, 64); err != nil {
			wrong("seed", "%q is no hexadecimal number", f.Seed)
		}
	}
	if err := new(slog.LevelVar).UnmarshalText([]byte(f.Log.Level)); err != nil {
		wrong("log.level", "%q is none of debug, info, warn, error", f.Log.Level)
	}
	between("resources.cores", f.Resources.Cores, 0.01, 1024)
	between("resources.sockets", float64(f.Resources.Sockets), 64, 1<<24)
	p := f.Pool
	between("pool.of", float64(p.Of), 1, 100_000)
	between("pool.number", float64(p.Number), 0, float64(p.Of-1))
	between("pool.dispatches", float64(p.Dispatches), 1, 100)
	if len(p.Zones) == 0 {
		wrong("pool.zones", "are missing")
	} else if !slices.Contains(p.Zones, p.Zone) {
		wrong("pool.zone", "%q is none of %v", p.Zone, p.Zones)
	}
	if !slices.Contains(weightKinds, p.Weights) {
		wrong("pool.weights", "%q is none of %v", p.Weights, weightKinds)
	}
	between("pool.rules.start", p.Rules.Start, 0, 1)
	if len(p.Product) == 0 {
		wrong("pool.product", "is missing: [[pool.product]] names one")
	}
	named := map[string]bool{}
	for i, x := range p.Product {
		at := fmt.Sprintf("pool.product[%d]", i)
		if !productNamePattern.MatchString(x.Name) {
			wrong(at+".name", "%q is no name", x.Name)
		} else if named[x.Name] {
			wrong(at+".name", "%q is named twice", x.Name)
		}
		named[x.Name] = true
		if platformIdempotency[x.Repeat] == "" {
			wrong(at+".repeat", "%q is none of harmless, stamped, one-shot", x.Repeat)
		}
		if platformGroup[x.Reach] == "" {
			wrong(at+".reach", "%q is none of all, zone, group", x.Reach)
		}
		if x.Quoted.Duration <= 0 || x.Quoted.Duration > x.Limit.Duration {
			wrong(at+".quoted", "is not between 0 and the limit")
		}
		if x.Repeat == "stamped" && x.Window.Duration <= 0 {
			wrong(at+".window", "is missing: how long a stamp is remembered")
		}
	}
	f.validateLimits(wrong, between)
	// A map's order is none: the same file is to be told the same way each time.
	slices.SortStableFunc(faults, func(a, b error) int { return cmp.Compare(a.Error(), b.Error()) })
	return faults
}

// validateLimits finds limits that make no sense, alone or together.
func (f *File) validateLimits(wrong func(string, string, ...any), between func(string, float64, float64, float64)) {
	l := f.Limits
	const most = 1e9
	between("limits.set-ups", l.SetUps, 0, most)
	between("limits.burst", l.Burst, 0, most)
	between("limits.standing", float64(l.Standing), 0, most)
	between("limits.address-set-ups", l.AddressSetUps, 0, most)
	between("limits.address-burst", l.AddressBurst, 0, most)
	between("limits.retry-share", l.RetryShare, 0, 100)
	if l.Burst > 0 && l.SetUps == 0 {
		wrong("limits.burst", "says nothing without set-ups")
	}
	if l.AddressBurst > 0 && l.AddressSetUps == 0 {
		wrong("limits.address-burst", "says nothing without address-set-ups")
	}
	if l.SetUps > 0 && l.AddressSetUps > l.SetUps {
		wrong("limits.address-set-ups", "one address may have %g a second, and all together %g", l.AddressSetUps, l.SetUps)
	}
	if 2*int64(l.Standing) > f.Resources.Sockets {
		wrong("limits.standing", "%d connections need %d sockets, and resources.sockets has %d", l.Standing, 2*l.Standing, f.Resources.Sockets)
	}
	if l.HasAny() && l.LongestWait.Duration <= 0 {
		wrong("limits.longest-wait", "is not above 0")
	}
}

// PlatformConfig translates the file into what the platform's JSON says, and so into the inner form.
func (f *File) PlatformConfig(seed uint64) (*platformconfig.Config, error) {
	type table = map[string]any
	var rows []table
	var messages []float64
	for _, p := range f.Pool.Product {
		gain := p.Gain
		if gain == 0 {
			gain = 1
		}
		rows = append(rows, table{"name": p.Name, "idempotency": platformIdempotency[p.Repeat], "group": platformGroup[p.Reach], "window-ms": p.Window.millis(),
			"quoted-time-ms": p.Quoted.millis(), "hard-limit-ms": p.Limit.millis(), "gain": gain})
		messages = append(messages, p.Message.millis())
	}
	models := f.Pool.Models
	if models == nil {
		models = []string{}
	}
	p, r := f.Pool, f.Pool.Rules
	if f.Seed != "" {
		seed, _ = strconv.ParseUint(f.Seed, 16, 64) // it was checked
	}
	text, err := json.Marshal(table{
		"name": f.Name, "listen": f.Listen, "discovery": p.List, "seed": strconv.FormatUint(seed, 16),
		"limits": table{"cores": f.Resources.Cores, "memory_mb": f.Resources.Memory.Bytes >> 20, "sockets": f.Resources.Sockets},
		"settings": table{
			"my-number": p.Number, "group-size": p.Of, "zone": slices.Index(p.Zones, p.Zone), "localities": p.Zones, "models": models,
			"weight-kind": p.Weights, "membership-mode": "subscribe", "products": rows,
			"family-info": table{"mode": "proxy", "message-aim-ms": messages},
			"limits":      table{"max-dispatches": p.Dispatches, "dial-timeout-ms": p.Connect.millis(), "probes": p.Probes},
			"invariants": table{"ask-within-ms": r.AskWithin.millis(), "start-capacity": r.Start, "cold-ms": r.Warm.millis(), "fall-multiple": r.Multiple,
				"fall-ms": r.Window.millis(), "stop-sending-within-ms": r.Grace.millis()},
			"prices": table{"cross-zone": p.Prices.CrossZone, "moves": p.Prices.Moves},
		},
	})
	if err != nil {
		return nil, err
	}
	return platformconfig.FromJSON(text)
}
