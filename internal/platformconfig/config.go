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

// Config is the configuration of a proxy on real sockets, parsed and validated.
type Config struct {
	settings Settings
	seed     uint64

	name, listenAddress, discoveryAddress, adminAddress string

	cores             float64
	memoryMB, sockets int64

	knownServers json.RawMessage
	hash         string

	pushedByAgent bool              // the server list comes from an agent, to which changes are pushed
	kindByKey     map[string]string // the kind of value under each key, as recordKinds notes it
}

// FromEnvironment reads the file that ROUTER_CONFIG names. ROUTER_NAME, ROUTER_LISTEN and ROUTER_ADMIN_ADDR, where set,
// override the values in the file. ROUTER_DISCOVERY is used only if the file names no discovery service: the file may be
// replaced while the proxy runs, and the variable, set at the start, would then still name the previous service.
func FromEnvironment(lookUp func(string) string) (*Config, error) {
	path := lookUp("ROUTER_CONFIG")
	if path == "" {
		return nil, errors.New("ROUTER_CONFIG does not name a file")
	}
	return FromFile(path, lookUp)
}

// FromFile reads the file at path. The environment variables apply as in FromEnvironment.
func FromFile(path string, lookUp func(string) string) (*Config, error) {
	text, err := transient.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("the configuration cannot be read: %w", err)
	}
	c, err := parse(text)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	for name, target := range map[string]*string{
		"ROUTER_NAME": &c.name, "ROUTER_LISTEN": &c.listenAddress, "ROUTER_ADMIN_ADDR": &c.adminAddress,
	} {
		if value := lookUp(name); value != "" {
			*target = value
		}
	}
	if c.discoveryAddress == "" {
		c.discoveryAddress = lookUp("ROUTER_DISCOVERY")
	}
	return c, c.validate()
}

// FromJSON reads a configuration from JSON, without any environment variables, and validates it.
func FromJSON(text []byte) (*Config, error) {
	c, err := parse(text)
	if err != nil {
		return nil, err
	}
	return c, c.validate()
}

// parse reads the JSON without validating the values in it.
func parse(text []byte) (*Config, error) {
	var file struct {
		Name, Listen, Discovery, Seed string

		Admin string `json:"admin_addr"`

		Limits struct {
			Cores    float64
			MemoryMB int64 `json:"memory_mb"`
			Sockets  int64
		}
		Known, Settings json.RawMessage
	}
	if err := json.Unmarshal(text, &file); err != nil {
		return nil, err
	}
	seed, err := strconv.ParseUint(file.Seed, 16, 64)
	if err != nil {
		return nil, fmt.Errorf("seed: %w", err)
	}
	kinds := map[string]string{}
	var tree any
	if err := json.Unmarshal(text, &tree); err != nil {
		return nil, err
	}
	recordKinds(kinds, "", tree)
	settings, err := SettingsFromJSON(file.Settings)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	return &Config{
		settings: settings, seed: seed, name: file.Name, listenAddress: file.Listen, discoveryAddress: file.Discovery,
		adminAddress: file.Admin,
		cores:        file.Limits.Cores, memoryMB: file.Limits.MemoryMB, sockets: file.Limits.Sockets,
		pushedByAgent: settings["membership-mode"] == "automatic",
		knownServers:  file.Known, kindByKey: kinds, hash: fmt.Sprintf("%x", sha256.Sum256(text))[:16],
	}, nil
}

// validate returns an error that says what is invalid.
func (c *Config) validate() error {
	for _, field := range []struct{ name, address string }{{"listen", c.listenAddress}, {"discovery", c.discoveryAddress}, {"admin_addr", c.adminAddress}} {
		if field.name == "admin_addr" && field.address == "" {
			continue // it is optional
		}
		if _, err := netip.ParseAddrPort(field.address); err != nil {
			return fmt.Errorf("%s: %w", field.name, err)
		}
	}
	if c.sockets < minSockets {
		return fmt.Errorf("limits.sockets: %d are too few, %d are the least", c.sockets, minSockets)
	}
	if c.memoryMB < 0 || c.cores < 0 {
		return errors.New("limits: below 0")
	}
	if len(c.settings.list("localities")) == 0 {
		return errors.New("settings: localities: none")
	}
	products, err := c.settings.products()
	if err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	if len(products) == 0 {
		return errors.New("settings: products: none")
	}
	if err := c.validateNumbers(len(products)); err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	_, err = c.NewBalancer()
	return err
}

const (
	// maxDeadlineMillis and maxDispatches are far above the time that any client waits and the number of attempts that
	// anybody pays for.
	maxDeadlineMillis = 1e9
	maxDispatches     = 1e4
)

// validateNumbers rejects deadlines and numbers of attempts with which no request would be served, or with which one would
// be tried without end. It also rejects products with an empty or duplicate name.
func (c *Config) validateNumbers(products int) error {
	checkPositive := func(path string, limit float64, required bool) error {
		value, exists := c.settings[path]
		if !exists && !required {
			return nil
		}
		if x, err := strconv.ParseFloat(value, 64); err != nil || !(x > 0 && x <= limit) {
			return fmt.Errorf("%s: %.40q is no number above 0 and up to %g", path, value, limit)
		}
		return nil
	}
	faults := []error{checkPositive("limits.max-dispatches", maxDispatches, false)}
	names := map[string]bool{"": true}
	for i := range products {
		prefix := "products." + strconv.Itoa(i) + "."
		if name := c.settings[prefix+"name"]; names[name] {
			faults = append(faults, fmt.Errorf("%sname: %.40q is empty or stands there twice", prefix, name))
		} else {
			names[name] = true
		}
		faults = append(faults, checkPositive(prefix+"hard-limit-ms", maxDeadlineMillis, true), checkPositive(prefix+"quoted-time-ms", maxDeadlineMillis, false))
	}
	if x, err := c.settings.number("limits.max-dispatches"); err == nil && x != math.Trunc(x) {
		faults = append(faults, fmt.Errorf("limits.max-dispatches: %g is no whole number", x))
	}
	return errors.Join(faults...)
}

// CheckReplaces returns an error if c must not replace other: each key of other must be in c as well, with a value of the
// same kind, unless it is null in other. Guards against a file that was cut short or lost a line and is still valid JSON.
func (c *Config) CheckReplaces(other *Config) error {
	for _, path := range slices.Sorted(maps.Keys(other.kindByKey)) {
		kind, exists := c.kindByKey[path]
		if other.kindByKey[path] == kindNull {
			continue
		}
		if !exists {
			return fmt.Errorf("%s: missing, and the configuration in force has it", path)
		}
		if kind != other.kindByKey[path] {
			return fmt.Errorf("%s: %s, where the configuration in force has %s", path, kind, other.kindByKey[path])
		}
	}
	return nil
}

// recordKinds records the kind of value under each key. The items of a list share their keys, of which only those count
// that all items have with the same kind. The list of known servers is left out, because it changes independently of the
// configuration.
func recordKinds(kinds map[string]string, path string, value any) {
	switch typed := value.(type) {
	case map[string]any:
		kinds[path] = "a group"
		for name, inner := range typed {
			if path == "" && name == "known" {
				continue
			}
			recordKinds(kinds, path+"/"+name, inner)
		}
	case []any:
		kinds[path] = "a list"
		var common map[string]string
		for _, item := range typed {
			itemKinds := map[string]string{}
			recordKinds(itemKinds, path+"/*", item)
			if common == nil {
				common = itemKinds
			}
			maps.DeleteFunc(common, func(key, kind string) bool { return itemKinds[key] != kind })
		}
		maps.Copy(kinds, common)
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

// kindNull is the kind of a null value.
const kindNull = "nothing"

// minSockets leaves room for the program's own descriptors and a few connections.
const minSockets = 64

// Hash returns the first 16 hexadecimal digits of the file's SHA-256, which identify the configuration.
func (c *Config) Hash() string { return c.hash }

// Name returns the proxy's name, which stays the same after a restart.
func (c *Config) Name() string { return c.name }

// Addresses returns the address on which clients connect and the address of the discovery service.
func (c *Config) Addresses() (listen, discovery string) { return c.listenAddress, c.discoveryAddress }

// AdminAddress returns the address of the admin API, or "" if there is none.
func (c *Config) AdminAddress() string { return c.adminAddress }

// Resources returns how many cores, bytes of memory and file descriptors the proxy may use.
func (c *Config) Resources() (cores float64, memory, sockets int64) {
	return c.cores, c.memoryMB << 20, c.sockets
}

// SocketLimit returns how many file descriptors the proxy may use in a process that may open allowed: the smaller of
// allowed and the configured limit. Otherwise clients could take all descriptors of the process, and calls to the discovery
// service and from operators would find none. It is an error if allowed is below the minimum.
func (c *Config) SocketLimit(allowed uint64) (int64, error) {
	if allowed < minSockets {
		return 0, fmt.Errorf("the process may open %d descriptors, %d are the least", allowed, minSockets)
	}
	return int64(min(uint64(c.sockets), allowed)), nil
}

// KnownServers returns the server list that this proxy last had, as a JSON answer of the discovery service; nil if there
// is none.
func (c *Config) KnownServers() []byte { return c.knownServers }

// NewBalancer creates the balancer. A proxy on real sockets always asks for the list itself: the simulator may push changes,
// but here nobody does, and drains would be missed. Delays count as reported only once some have arrived: there are fleets
// whose settings announce them although no server reports any.
func (c *Config) NewBalancer() (*logic.Balancer, error) {
	c.settings["membership-mode"] = "subscribe"
	balancer, err := c.settings.NewBalancer(c.seed)
	if err == nil {
		balancer.SetDelaysReported(false)
	}
	return balancer, err
}

// ServersReportDelay reports whether, by the settings, servers report how long their messages take.
func (c *Config) ServersReportDelay() bool { return c.settings["family-info.tells-delay"] == "true" }

// ZonesAndModels returns the names of the zones and of the models, in the order of their IDs.
func (c *Config) ZonesAndModels() (zones, models []string) {
	return c.settings.list("localities"), c.settings.list("models")
}

// Products returns the products' names, in the order of their IDs, and the hard limit of each.
func (c *Config) Products() (names []string, limits []logic.Micros) {
	products, _ := c.settings.products() // validated when the configuration was read
	for i := range products {
		prefix := "products." + strconv.Itoa(i) + "."
		limit, _ := c.settings.number(prefix + "hard-limit-ms")
		names, limits = append(names, c.settings[prefix+"name"]), append(limits, MillisToMicros(limit))
	}
	return names, limits
}

// DialTimeout returns how long connecting to a server may take.
func (c *Config) DialTimeout() logic.Micros { return c.durationOr("limits.dial-timeout-ms", 250) }

// MaxPollInterval returns the interval within which the server list must be asked for.
func (c *Config) MaxPollInterval() logic.Micros {
	return c.durationOr("invariants.ask-within-ms", 10_000)
}

// DrainGrace returns how long new requests may still go to a server after its drain counts as delivered.
func (c *Config) DrainGrace() logic.Micros {
	return c.durationOr("invariants.stop-sending-within-ms", 0)
}

// PushedByAgent reports whether the server list comes from an agent, to which changes are pushed. Then each change counts
// as delivered at once, whether or not the proxy asks for it.
func (c *Config) PushedByAgent() bool { return c.pushedByAgent }

// LateThreshold returns the delay from which on a server's messages count as late: a third of the shortest quoted time of a
// message. It is the largest Micros if no product has such a time.
func (c *Config) LateThreshold() logic.Micros {
	products, _ := c.settings.products() // validated when the configuration was read
	shortest := logic.Micros(math.MaxInt64)
	for _, product := range products {
		if product.QuotedMessageTime > 0 {
			shortest = min(shortest, product.QuotedMessageTime/3)
		}
	}
	return shortest
}

// durationOr returns the time at path, which is given in milliseconds, or defaultMillis if there is no positive one.
func (c *Config) durationOr(path string, defaultMillis float64) logic.Micros {
	millis, err := c.settings.number(path)
	if err != nil || millis <= 0 {
		millis = defaultMillis
	}
	return MillisToMicros(millis)
}

// SettingsFromJSON reads settings from nested JSON objects.
func SettingsFromJSON(text []byte) (Settings, error) {
	if len(text) == 0 {
		return nil, errors.New("missing")
	}
	decoder := json.NewDecoder(strings.NewReader(string(text)))
	decoder.UseNumber()
	var tree map[string]any
	if err := decoder.Decode(&tree); err != nil {
		return nil, err
	}
	settings := Settings{}
	settings.flatten("", tree)
	return settings, nil
}

// flatten adds a JSON value to the settings under path, in the form that Settings describes.
func (s Settings) flatten(path string, value any) {
	switch typed := value.(type) {
	case map[string]any:
		for name, inner := range typed {
			innerPath := name
			if path != "" {
				innerPath = path + "." + name
			}
			s.flatten(innerPath, inner)
		}
	case []any:
		plain := make([]string, 0, len(typed))
		for i, item := range typed {
			if _, isObject := item.(map[string]any); isObject {
				s.flatten(path+"."+strconv.Itoa(i), item)
			} else {
				plain = append(plain, EscapeValue(fmt.Sprint(item)))
			}
		}
		if len(plain) == 0 && len(typed) > 0 {
			s[path+".count"] = strconv.Itoa(len(typed))
			return
		}
		s[path] = strings.Join(plain, ",")
	case nil:
		s[path] = ""
	default:
		s[path] = EscapeValue(fmt.Sprint(typed))
	}
}

// EscapeValue returns a name or value in the form that it has in Settings: with underscores in place of spaces and commas,
// which would be taken for separators.
func EscapeValue(s string) string { return strings.NewReplacer(" ", "_", ",", "_").Replace(s) }
