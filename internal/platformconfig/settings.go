// Package opening reads what an instance is told at its start. The settings bear the same names on the
// simulator's wire and in a real proxy's configuration, and are interpreted here for both.
package platformconfig

import (
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"

	"hatchproxy/logic"
)

// Settings holds the figures that come with an instance's start, each under its path.
type Settings map[string]string

// SettingsFromLines reads a book from path=value lines.
func SettingsFromLines(text string) Settings {
	p := Settings{}
	for line := range strings.Lines(text) {
		if path, value, found := strings.Cut(strings.TrimSpace(line), "="); found {
			p[path] = value
		}
	}
	return p
}

// number reads a figure; an absent one is 0.
func (p Settings) number(path string) (float64, error) {
	value := p[path]
	if value == "" {
		return 0, nil
	}
	x, err := strconv.ParseFloat(value, 64)
	if err != nil {
		return 0, fmt.Errorf("%s: %w", path, err)
	}
	return x, nil
}

// numbers reads several figures, and names the first that cannot be read.
func (p Settings) numbers(paths ...string) ([]float64, error) {
	found := make([]float64, len(paths))
	for i, path := range paths {
		x, err := p.number(path)
		if err != nil {
			return nil, err
		}
		found[i] = x
	}
	return found, nil
}

// boolean reads a yes or no; an absent one is no.
func (p Settings) boolean(path string) (bool, error) {
	switch p[path] {
	case "true":
		return true, nil
	case "", "false":
		return false, nil
	}
	return false, fmt.Errorf("%s: %.40q is neither true nor false", path, p[path])
}

func (p Settings) list(path string) []string {
	if p[path] == "" {
		return nil
	}
	return strings.Split(p[path], ",")
}

var (
	idempotencyByName = map[string]logic.Idempotency{
		"repeatable": logic.Harmless, "by_key": logic.Stamped, "once": logic.OneShot,
	}
	dedupScopeByName = map[string]logic.DedupScope{"all": logic.DedupAll, "zone": logic.DedupZone, "cell": logic.DedupCell}
	weightKindByName = map[string]logic.WeightKind{
		"nominal": logic.WeightNominal, "rough": logic.WeightRough, "live": logic.WeightLive,
	}
)

func (p Settings) products() ([]logic.Product, error) {
	count, err := p.number("products.count")
	if err != nil {
		return nil, err
	}
	messages := p.list("family-info.message-aim-ms")
	products := make([]logic.Product, int(count))
	for i := range products {
		at := "products." + strconv.Itoa(i) + "."
		f, err := p.numbers(at+"quoted-time-ms", at+"window-ms", at+"gain")
		if err != nil {
			return nil, err
		}
		products[i] = logic.Product{QuotedTime: MillisToMicros(f[0]), DedupWindow: MillisToMicros(f[1]), DedupScope: dedupScopeByName[p[at+"group"]],
			Gain: f[2], GainPerLoad: p["gain-by"] == "work"}
		repeat, known := idempotencyByName[p[at+"idempotency"]]
		if !known {
			repeat = logic.OneShot // the strictest kind, should a new word ever come
		}
		products[i].Idempotency = repeat
		if i < len(messages) {
			aim, err := strconv.ParseFloat(messages[i], 64)
			if err != nil {
				return nil, fmt.Errorf("family-info.message-aim-ms: %w", err)
			}
			products[i].QuotedMessageTime = MillisToMicros(aim)
		}
	}
	return products, nil
}

// NewBalancer makes an instance of the decisions from its seed and what the book says.
func (p Settings) NewBalancer(seed uint64) (*logic.Balancer, error) {
	products, err := p.products()
	if err != nil {
		return nil, err
	}
	f, err := p.numbers("my-number", "zone", "invariants.ask-within-ms",
		"invariants.start-capacity", "invariants.cold-ms", "invariants.fall-multiple", "invariants.fall-ms",
		"limits.max-dispatches", "prices.cross-zone", "limits.max-retry-after-ms", "group-size",
		"prices.moves")
	if err != nil {
		return nil, err
	}
	// The goal's parts weigh nothing here that is not weighed already; what is no number is an error all the same.
	goal, err := p.numbers("blend.nines", "blend.nines-wanted")
	if err != nil {
		return nil, err
	}
	if min(goal[0], goal[1]) < 0 {
		return nil, fmt.Errorf("blend.nines, blend.nines-wanted: %g, %g: below 0", goal[0], goal[1])
	}
	unproven, err := p.boolean("invariants.only-draining-binds")
	if err != nil {
		return nil, err
	}
	leave := logic.Permissions{MaxDispatches: int(f[7]), PassThrough: p["family-info.mode"] == "pass",
		AllowProbes: p["limits.probes"] == "true" && p["family-info.message-aim-ms"] != ""}
	if p["limits.retry-after"] == "true" {
		leave.MaxRetryAfter = MillisToMicros(f[9])
	}
	b := logic.New(int64(seed), int(f[0]), int(f[10]), logic.ZoneID(f[1]), products, weightKindByName[p["weight-kind"]],
		logic.ListConfig{Subscribe: p["membership-mode"] == "subscribe", AskWithin: MillisToMicros(f[2]), GoneMayBeUp: unproven},
		logic.ColdStart{InitialShare: f[3], WarmupTime: MillisToMicros(f[4]), OverloadMultiple: f[5], OverloadWindow: MillisToMicros(f[6])}, leave, f[8], f[11])
	b.SetDelaysReported(p["family-info.tells-delay"] == "true")
	return b, nil
}

// LoadRatioIndex is the place, in the load reports that come with probes, of a server's load over what it can do; -1 if none is told.
func (p Settings) LoadRatioIndex() int {
	if p["limits.probes"] != "true" || p["report.how"] == "off" {
		return -1
	}
	return slices.Index(p.list("report.fields"), "x0")
}

// maxMillis guards against a time that is no number or does not fit.
const maxMillis = 1e15

// MillisToMicros turns milliseconds into whole microseconds; what is no such time counts as 0.
func MillisToMicros(millis float64) logic.Micros {
	if !(math.Abs(millis) < maxMillis) {
		return 0
	}
	return logic.Micros(math.Round(millis * 1000))
}
