package platformconfig

import (
	"crypto/sha256"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"math"
	"net/netip"
	"slices"
	"strconv"
	"strings"

	"hatchproxy/internal/transient"
	"hatchproxy/logic"
)

// Config is what a real proxy was given at its start, read and checked.
type Config struct {
	settings Settings
	seed     uint64

	name, listenAddress, discoveryAddress, adminAddress string

	cores             float64
	memoryMB, sockets int64

	knownServers json.RawMessage
	hash         string

	listPushed bool              // an agent has each change at once
	kindByKey  map[string]string // what stands under each key
}

// FromEnvironment reads the file that ROUTER_CONFIG names; ROUTER_NAME and ROUTER_LISTEN, where set, go before
// what stands in it. ROUTER_DISCOVERY counts only where the file names none: the file is replaced while the proxy
// runs, and the variable, as old as the start or older, would then still name the service that was given up.
func FromEnvironment(lookUp func(string) string) (*Config, error) {
	path := lookUp("ROUTER_CONFIG")
	if path == "" {
		return nil, errors.New("ROUTER_CONFIG does not name a file")
	}
	return FromFile(path, lookUp)
}

// FromFile reads the file at path.
func FromFile(path string, lookUp func(string) string) (*Config, error) {
	text, err := transient.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("the configuration cannot be read: %w", err)
	}
	p, err := parse(text)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	for name, place := range map[string]*string{
		"ROUTER_NAME": &p.name, "ROUTER_LISTEN": &p.listenAddress, "ROUTER_ADMIN_ADDR": &p.adminAddress,
	} {
		if value := lookUp(name); value != "" {
			*place = value
		}
	}
	if p.discoveryAddress == "" {
		p.discoveryAddress = lookUp("ROUTER_DISCOVERY")
	}
	return p, p.validate()
}

// FromJSON reads one that was made elsewhere, and checks it.
func FromJSON(text []byte) (*Config, error) {
	p, err := parse(text)
	if err != nil {
		return nil, err
	}
	return p, p.validate()
}

func parse(text []byte) (*Config, error) {
	var found struct {
		Name, Listen, Discovery, Seed string

		Admin string `json:"admin_addr"`

		Limits struct {
			Cores    float64
			MemoryMB int64 `json:"memory_mb"`
			Sockets  int64
		}
		Known, Settings json.RawMessage
	}
	if err := json.Unmarshal(text, &found); err != nil {
		return nil, err
	}
	seed, err := strconv.ParseUint(found.Seed, 16, 64)
	if err != nil {
		return nil, fmt.Errorf("seed: %w", err)
	}
	kinds := map[string]string{}
	var tree any
	if err := json.Unmarshal(text, &tree); err != nil {
		return nil, err
	}
	recordKinds(kinds, "", tree)
	book, err := SettingsFromJSON(found.Settings)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	return &Config{
		settings: book, seed: seed, name: found.Name, listenAddress: found.Listen, discoveryAddress: found.Discovery,
		adminAddress: found.Admin,
		cores:        found.Limits.Cores, memoryMB: found.Limits.MemoryMB, sockets: found.Limits.Sockets,
		listPushed:   book["membership-mode"] == "automatic",
		knownServers: found.Known, kindByKey: kinds, hash: fmt.Sprintf("%x", sha256.Sum256(text))[:16],
	}, nil
}

func (p *Config) validate() error {
	for _, at := range []struct{ name, address string }{{"listen", p.listenAddress}, {"discovery", p.discoveryAddress}, {"admin_addr", p.adminAddress}} {
		if at.name == "admin_addr" && at.address == "" {
			continue // there need be none
		}
		if _, err := netip.ParseAddrPort(at.address); err != nil {
			return fmt.Errorf("%s: %w", at.name, err)
		}
	}
	if p.sockets < minSockets {
		return fmt.Errorf("limits.sockets: %d are too few, %d are the least", p.sockets, minSockets)
	}
	if p.memoryMB < 0 || p.cores < 0 {
		return errors.New("limits: below 0")
	}
	if len(p.settings.list("localities")) == 0 {
		return errors.New("settings: localities: none")
	}
	products, err := p.settings.products()
	if err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	if len(products) == 0 {
		return errors.New("settings: products: none")
	}
	if err := p.validateNumbers(len(products)); err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	_, err = p.NewBalancer()
	return err
}

const (
	// maxDeadlineMillis and mostDispatches are far above what anybody waits or pays for.
	maxDeadlineMillis = 1e9
	maxDispatches     = 1e4
)

// validateNumbers guards against deadlines and numbers of attempts under which nobody would be served, or for ever.
func (p *Config) validateNumbers(products int) error {
	above := func(path string, most float64, needed bool) error {
		value, there := p.settings[path]
		if !there && !needed {
			return nil
		}
		if x, err := strconv.ParseFloat(value, 64); err != nil || !(x > 0 && x <= most) {
			return fmt.Errorf("%s: %.40q is no number above 0 and up to %g", path, value, most)
		}
		return nil
	}
	errs := []error{above("limits.max-dispatches", maxDispatches, false)}
	names := map[string]bool{"": true}
	for i := range products {
		at := "products." + strconv.Itoa(i) + "."
		if name := p.settings[at+"name"]; names[name] {
			errs = append(errs, fmt.Errorf("%sname: %.40q is empty or stands there twice", at, name))
		} else {
			names[name] = true
		}
		errs = append(errs, above(at+"hard-limit-ms", maxDeadlineMillis, true), above(at+"quoted-time-ms", maxDeadlineMillis, false))
	}
	if x, err := p.settings.number("limits.max-dispatches"); err == nil && x != math.Trunc(x) {
		errs = append(errs, fmt.Errorf("limits.max-dispatches: %g is no whole number", x))
	}
	return errors.Join(errs...)
}

// CheckReplaces tells what is wrong with a file that is to take another's place: each key that the other has must be there
// and be of the same kind. Guards against one that was cut short or lost a line, and still reads well.
func (p *Config) CheckReplaces(other *Config) error {
	for _, path := range slices.Sorted(maps.Keys(other.kindByKey)) {
		kind, there := p.kindByKey[path]
		if other.kindByKey[path] == kindNull {
			continue
		}
		if !there {
			return fmt.Errorf("%s: missing, and the configuration in force has it", path)
		}
		if kind != other.kindByKey[path] {
			return fmt.Errorf("%s: %s, where the configuration in force has %s", path, kind, other.kindByKey[path])
		}
	}
	return nil
}

// recordKinds notes what kind of value stands under each key. Rows of a list share their keys: what not all of them have
// is no key that must be there. The list of servers is left out, for it changes by itself.
func recordKinds(kinds map[string]string, path string, value any) {
	switch v := value.(type) {
	case map[string]any:
		kinds[path] = "a group"
		for name, inner := range v {
			if path == "" && name == "known" {
				continue
			}
			recordKinds(kinds, path+"/"+name, inner)
		}
	case []any:
		kinds[path] = "a list"
		var shared map[string]string
		for _, item := range v {
			row := map[string]string{}
			recordKinds(row, path+"/*", item)
			if shared == nil {
				shared = row
			}
			maps.DeleteFunc(shared, func(at, kind string) bool { return row[at] != kind })
		}
		maps.Copy(kinds, shared)
	case string:
		kinds[path] = "a text"
	case float64:
		kinds[path] = "a number"
	case bool:
		kinds[path] = "yes or no"
	default:
		kinds[path] = kindNull
	}
}

const kindNull = "nothing"

// minSockets leaves room for the program's own descriptors and a few connections.
const minSockets = 64

// Hash tells one configuration from another: the beginning of its SHA-256.
func (p *Config) Hash() string { return p.hash }

// Name is the proxy's name, the same after a restart.
func (p *Config) Name() string { return p.name }

// Addresses are where clients connect and where the server list is had.
func (p *Config) Addresses() (listen, discovery string) { return p.listenAddress, p.discoveryAddress }

// AdminAddress is where operators call; "" where they do not.
func (p *Config) AdminAddress() string { return p.adminAddress }

// Resources are the cores, the bytes of memory and the descriptors that the proxy may use.
func (p *Config) Resources() (cores float64, memory, sockets int64) {
	return p.cores, p.memoryMB << 20, p.sockets
}

// SocketLimit are the descriptors that the proxy may use where its process is allowed so many: the fewer of both. Guards against
// clients that fill what the process really has, so that no call for the list, and no operator, finds one.
func (p *Config) SocketLimit(allowed uint64) (int64, error) {
	if allowed < minSockets {
		return 0, fmt.Errorf("the process may open %d descriptors, %d are the least", allowed, minSockets)
	}
	return int64(min(uint64(p.sockets), allowed)), nil
}

// KnownServers is the server list as this proxy last had it, in discovery's form; nil if there is none.
func (p *Config) KnownServers() []byte { return p.knownServers }

// NewBalancer makes the instance of the decisions. On sockets the list is always one that must be asked for:
// where the simulator brings changes unasked, nothing would come, and drains would be missed. And delays count as told
// once some have come: there are fleets whose settings promise them and whose servers tell none.
func (p *Config) NewBalancer() (*logic.Balancer, error) {
	p.settings["membership-mode"] = "subscribe"
	b, err := p.settings.NewBalancer(p.seed)
	if err == nil {
		b.SetDelaysReported(false)
	}
	return b, err
}

// ServersReportDelay says whether servers tell how long their messages take.
func (p *Config) ServersReportDelay() bool { return p.settings["family-info.tells-delay"] == "true" }

// ZonesAndModels are the zones and models in the order of their numbers.
func (p *Config) ZonesAndModels() (zones, models []string) {
	return p.settings.list("localities"), p.settings.list("models")
}

// Products are the products' names in the order of their numbers, and the hard limit of each.
func (p *Config) Products() (names []string, limits []logic.Micros) {
	products, _ := p.settings.products() // checked at the start
	for i := range products {
		at := "products." + strconv.Itoa(i) + "."
		limit, _ := p.settings.number(at + "hard-limit-ms")
		names, limits = append(names, p.settings[at+"name"]), append(limits, MillisToMicros(limit))
	}
	return names, limits
}

// DialTimeout is how long a connection to a server may take to come up; Asking is the span within which the
// list must be asked for.
func (p *Config) DialTimeout() logic.Micros { return p.durationOr("limits.dial-timeout-ms", 250) }
func (p *Config) ListPollInterval() logic.Micros {
	return p.durationOr("invariants.ask-within-ms", 10_000)
}

// DrainGrace is how long after a server was told to drain it may still be sent to; Pushed says that what is told is told to
// an agent at once, whether or not it is asked.
func (p *Config) DrainGrace() logic.Micros {
	return p.durationOr("invariants.stop-sending-within-ms", 0)
}
func (p *Config) ListPushed() bool { return p.listPushed }

// LateMessageDelay is what a message takes at a server whose messages are late: a third of the shortest quoted time.
func (p *Config) LateMessageDelay() logic.Micros {
	products, _ := p.settings.products() // checked at the start
	late := logic.Micros(math.MaxInt64)
	for _, product := range products {
		if product.QuotedMessageTime > 0 {
			late = min(late, product.QuotedMessageTime/3)
		}
	}
	return late
}

func (p *Config) durationOr(path string, otherwise float64) logic.Micros {
	x, err := p.settings.number(path)
	if err != nil || x <= 0 {
		x = otherwise
	}
	return MillisToMicros(x)
}

// SettingsFromJSON reads a book from nested JSON, in the form that the lines have.
func SettingsFromJSON(text []byte) (Settings, error) {
	if len(text) == 0 {
		return nil, errors.New("missing")
	}
	d := json.NewDecoder(strings.NewReader(string(text)))
	d.UseNumber()
	var tree map[string]any
	if err := d.Decode(&tree); err != nil {
		return nil, err
	}
	p := Settings{}
	p.flatten("", tree)
	return p, nil
}

// flatten lays a branch out in paths: plain lists joined by commas, lists of objects with their length under
// count and each item under its number.
func (p Settings) flatten(path string, value any) {
	switch v := value.(type) {
	case map[string]any:
		for name, inner := range v {
			at := name
			if path != "" {
				at = path + "." + name
			}
			p.flatten(at, inner)
		}
	case []any:
		plain := make([]string, 0, len(v))
		for i, item := range v {
			if _, object := item.(map[string]any); object {
				p.flatten(path+"."+strconv.Itoa(i), item)
			} else {
				plain = append(plain, EscapeValue(fmt.Sprint(item)))
			}
		}
		if len(plain) == 0 && len(v) > 0 {
			p[path+".count"] = strconv.Itoa(len(v))
			return
		}
		p[path] = strings.Join(plain, ",")
	case nil:
		p[path] = ""
	default:
		p[path] = EscapeValue(fmt.Sprint(v))
	}
}

// EscapeValue is how a name or value stands in a book: spaces and commas would be taken for its own.
func EscapeValue(s string) string { return strings.NewReplacer(" ", "_", ",", "_").Replace(s) }
