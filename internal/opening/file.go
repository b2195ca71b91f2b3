package opening

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

// Paper is what a real proxy was given at its start, read and checked.
type Paper struct {
	book Book
	seed uint64

	name, listen, discovery, admin string

	cores             float64
	memoryMB, sockets int64

	known json.RawMessage
	sum   string

	pushed bool              // an agent has each change at once
	kinds  map[string]string // what stands under each key
}

// FromEnvironment reads the file that ROUTER_CONFIG names; ROUTER_NAME and ROUTER_LISTEN, where set, go before
// what stands in it. ROUTER_DISCOVERY counts only where the file names none: the file is replaced while the proxy
// runs, and the variable, as old as the start or older, would then still name the service that was given up.
func FromEnvironment(lookUp func(string) string) (*Paper, error) {
	path := lookUp("ROUTER_CONFIG")
	if path == "" {
		return nil, errors.New("ROUTER_CONFIG does not name a file")
	}
	return FromFile(path, lookUp)
}

// FromFile reads the file at path.
func FromFile(path string, lookUp func(string) string) (*Paper, error) {
	text, err := transient.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("the configuration cannot be read: %w", err)
	}
	p, err := read(text)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	for name, place := range map[string]*string{
		"ROUTER_NAME": &p.name, "ROUTER_LISTEN": &p.listen, "ROUTER_ADMIN_ADDR": &p.admin,
	} {
		if value := lookUp(name); value != "" {
			*place = value
		}
	}
	if p.discovery == "" {
		p.discovery = lookUp("ROUTER_DISCOVERY")
	}
	return p, p.check()
}

// FromText reads one that was made elsewhere, and checks it.
func FromText(text []byte) (*Paper, error) {
	p, err := read(text)
	if err != nil {
		return nil, err
	}
	return p, p.check()
}

func read(text []byte) (*Paper, error) {
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
	enterKinds(kinds, "", tree)
	book, err := Nested(found.Settings)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	return &Paper{
		book: book, seed: seed, name: found.Name, listen: found.Listen, discovery: found.Discovery,
		admin: found.Admin,
		cores: found.Limits.Cores, memoryMB: found.Limits.MemoryMB, sockets: found.Limits.Sockets,
		pushed: book["membership-mode"] == "automatic",
		known:  found.Known, kinds: kinds, sum: fmt.Sprintf("%x", sha256.Sum256(text))[:16],
	}, nil
}

func (p *Paper) check() error {
	for _, at := range []struct{ name, address string }{{"listen", p.listen}, {"discovery", p.discovery}, {"admin_addr", p.admin}} {
		if at.name == "admin_addr" && at.address == "" {
			continue // there need be none
		}
		if _, err := netip.ParseAddrPort(at.address); err != nil {
			return fmt.Errorf("%s: %w", at.name, err)
		}
	}
	if p.sockets < leastSockets {
		return fmt.Errorf("limits.sockets: %d are too few, %d are the least", p.sockets, leastSockets)
	}
	if p.memoryMB < 0 || p.cores < 0 {
		return errors.New("limits: below 0")
	}
	if len(p.book.row("localities")) == 0 {
		return errors.New("settings: localities: none")
	}
	products, err := p.book.products()
	if err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	if len(products) == 0 {
		return errors.New("settings: products: none")
	}
	if err := p.checkFigures(len(products)); err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	_, err = p.Balancer()
	return err
}

const (
	// longestDeadline and mostDispatches are far above what anybody waits or pays for.
	longestDeadline = 1e9
	mostDispatches  = 1e4
)

// checkFigures guards against deadlines and numbers of attempts under which nobody would be served, or for ever.
func (p *Paper) checkFigures(products int) error {
	above := func(path string, most float64, needed bool) error {
		value, there := p.book[path]
		if !there && !needed {
			return nil
		}
		if x, err := strconv.ParseFloat(value, 64); err != nil || !(x > 0 && x <= most) {
			return fmt.Errorf("%s: %.40q is no number above 0 and up to %g", path, value, most)
		}
		return nil
	}
	errs := []error{above("limits.max-dispatches", mostDispatches, false)}
	names := map[string]bool{"": true}
	for i := range products {
		at := "products." + strconv.Itoa(i) + "."
		if name := p.book[at+"name"]; names[name] {
			errs = append(errs, fmt.Errorf("%sname: %.40q is empty or stands there twice", at, name))
		} else {
			names[name] = true
		}
		errs = append(errs, above(at+"hard-limit-ms", longestDeadline, true), above(at+"quoted-time-ms", longestDeadline, false))
	}
	if x, err := p.book.number("limits.max-dispatches"); err == nil && x != math.Trunc(x) {
		errs = append(errs, fmt.Errorf("limits.max-dispatches: %g is no whole number", x))
	}
	return errors.Join(errs...)
}

// Follows tells what is wrong with a file that is to take another's place: each key that the other has must be there
// and be of the same kind. Guards against one that was cut short or lost a line, and still reads well.
func (p *Paper) Follows(other *Paper) error {
	for _, path := range slices.Sorted(maps.Keys(other.kinds)) {
		kind, there := p.kinds[path]
		if other.kinds[path] == nothing {
			continue
		}
		if !there {
			return fmt.Errorf("%s: missing, and the configuration in force has it", path)
		}
		if kind != other.kinds[path] {
			return fmt.Errorf("%s: %s, where the configuration in force has %s", path, kind, other.kinds[path])
		}
	}
	return nil
}

// enterKinds notes what kind of value stands under each key. Rows of a list share their keys: what not all of them have
// is no key that must be there. The list of servers is left out, for it changes by itself.
func enterKinds(kinds map[string]string, path string, value any) {
	switch v := value.(type) {
	case map[string]any:
		kinds[path] = "a group"
		for name, inner := range v {
			if path == "" && name == "known" {
				continue
			}
			enterKinds(kinds, path+"/"+name, inner)
		}
	case []any:
		kinds[path] = "a list"
		var shared map[string]string
		for _, item := range v {
			row := map[string]string{}
			enterKinds(row, path+"/*", item)
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
		kinds[path] = nothing
	}
}

const nothing = "nothing"

// leastSockets leaves room for the program's own descriptors and a few connections.
const leastSockets = 64

// Sum tells one configuration from another: the beginning of its SHA-256.
func (p *Paper) Sum() string { return p.sum }

// Name is the proxy's name, the same after a restart.
func (p *Paper) Name() string { return p.name }

// Addresses are where clients connect and where the server list is had.
func (p *Paper) Addresses() (listen, discovery string) { return p.listen, p.discovery }

// Admin is where operators call; "" where they do not.
func (p *Paper) Admin() string { return p.admin }

// Limits are the cores, the bytes of memory and the descriptors that the proxy may use.
func (p *Paper) Limits() (cores float64, memory, sockets int64) {
	return p.cores, p.memoryMB << 20, p.sockets
}

// Sockets are the descriptors that the proxy may use where its process is allowed so many: the fewer of both. Guards against
// clients that fill what the process really has, so that no call for the list, and no operator, finds one.
func (p *Paper) Sockets(allowed uint64) (int64, error) {
	if allowed < leastSockets {
		return 0, fmt.Errorf("the process may open %d descriptors, %d are the least", allowed, leastSockets)
	}
	return int64(min(uint64(p.sockets), allowed)), nil
}

// Known is the server list as this proxy last had it, in discovery's form; nil if there is none.
func (p *Paper) Known() []byte { return p.known }

// Balancer makes the instance of the decisions. On sockets the list is always one that must be asked for:
// where the simulator brings changes unasked, nothing would come, and drains would be missed. And delays count as told
// once some have come: there are fleets whose settings promise them and whose servers tell none.
func (p *Paper) Balancer() (*logic.Balancer, error) {
	p.book["membership-mode"] = "subscribe"
	b, err := p.book.Balancer(p.seed)
	if err == nil {
		b.HearDelays(false)
	}
	return b, err
}

// TellsDelay says whether servers tell how long their messages take.
func (p *Paper) TellsDelay() bool { return p.book["family-info.tells-delay"] == "true" }

// Names are the zones and models in the order of their numbers.
func (p *Paper) Names() (zones, models []string) {
	return p.book.row("localities"), p.book.row("models")
}

// Products are the products' names in the order of their numbers, and the hard limit of each.
func (p *Paper) Products() (names []string, limits []logic.Micros) {
	products, _ := p.book.products() // checked at the start
	for i := range products {
		at := "products." + strconv.Itoa(i) + "."
		limit, _ := p.book.number(at + "hard-limit-ms")
		names, limits = append(names, p.book[at+"name"]), append(limits, Millis(limit))
	}
	return names, limits
}

// Dialing is how long a connection to a server may take to come up; Asking is the span within which the
// list must be asked for.
func (p *Paper) Dialing() logic.Micros { return p.span("limits.dial-timeout-ms", 250) }
func (p *Paper) Asking() logic.Micros  { return p.span("invariants.ask-within-ms", 10_000) }

// Grace is how long after a server was told to drain it may still be sent to; Pushed says that what is told is told to
// an agent at once, whether or not it is asked.
func (p *Paper) Grace() logic.Micros { return p.span("invariants.stop-sending-within-ms", 0) }
func (p *Paper) Pushed() bool        { return p.pushed }

// Late is what a message takes at a server whose messages are late: a third of the shortest quoted time.
func (p *Paper) Late() logic.Micros {
	products, _ := p.book.products() // checked at the start
	late := logic.Micros(math.MaxInt64)
	for _, product := range products {
		if product.Message > 0 {
			late = min(late, product.Message/3)
		}
	}
	return late
}

func (p *Paper) span(path string, otherwise float64) logic.Micros {
	x, err := p.book.number(path)
	if err != nil || x <= 0 {
		x = otherwise
	}
	return Millis(x)
}

// Nested reads a book from nested JSON, in the form that the lines have.
func Nested(text []byte) (Book, error) {
	if len(text) == 0 {
		return nil, errors.New("missing")
	}
	d := json.NewDecoder(strings.NewReader(string(text)))
	d.UseNumber()
	var tree map[string]any
	if err := d.Decode(&tree); err != nil {
		return nil, err
	}
	p := Book{}
	p.enter("", tree)
	return p, nil
}

// enter lays a branch out in paths: plain lists joined by commas, lists of objects with their length under
// count and each item under its number.
func (p Book) enter(path string, value any) {
	switch v := value.(type) {
	case map[string]any:
		for name, inner := range v {
			at := name
			if path != "" {
				at = path + "." + name
			}
			p.enter(at, inner)
		}
	case []any:
		plain := make([]string, 0, len(v))
		for i, item := range v {
			if _, object := item.(map[string]any); object {
				p.enter(path+"."+strconv.Itoa(i), item)
			} else {
				plain = append(plain, Word(fmt.Sprint(item)))
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
		p[path] = Word(fmt.Sprint(v))
	}
}

// Word is how a name or value stands in a book: spaces and commas would be taken for its own.
func Word(s string) string { return strings.NewReplacer(" ", "_", ",", "_").Replace(s) }
