// Package platformconfig reads the configuration with which the platform starts a proxy: environment variables, the JSON
// file that they name, and the settings in it. The settings have the same names in the simulator's protocol and in a real
// proxy's configuration, and are interpreted here for both.
package platformconfig

import (
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"

	"hatchproxy/logic"
)

// Settings holds the values that an instance is started with, each under its path, such as "limits.max-dispatches". A list
// of plain values is one value, joined with commas. A list of objects has its length under "path.count" and its items
// under "path.0", "path.1" and so on.
type Settings map[string]string

// SettingsFromLines reads settings from path=value lines. It ignores lines without "=".
func SettingsFromLines(text string) Settings {
	settings := Settings{}
	for line := range strings.Lines(text) {
		if path, value, found := strings.Cut(strings.TrimSpace(line), "="); found {
			settings[path] = value
		}
	}
	return settings
}

// number returns the number at path, or 0 if there is none.
func (s Settings) number(path string) (float64, error) {
	value := s[path]
	if value == "" {
		return 0, nil
	}
	number, err := strconv.ParseFloat(value, 64)
	if err != nil {
		return 0, fmt.Errorf("%s: %w", path, err)
	}
	return number, nil
}

// numbers returns the numbers at the given paths. The error names the first path whose value is not a number.
func (s Settings) numbers(paths ...string) ([]float64, error) {
	values := make([]float64, len(paths))
	for i, path := range paths {
		value, err := s.number(path)
		if err != nil {
			return nil, err
		}
		values[i] = value
	}
	return values, nil
}

// boolean returns the boolean at path, or false if there is none.
func (s Settings) boolean(path string) (bool, error) {
	switch s[path] {
	case "true":
		return true, nil
	case "", "false":
		return false, nil
	}
	return false, fmt.Errorf("%s: %.40q is neither true nor false", path, s[path])
}

// list returns the items of the list of plain values at path, or nil if there is none.
func (s Settings) list(path string) []string {
	if s[path] == "" {
		return nil
	}
	return strings.Split(s[path], ",")
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

// maxProducts is far above the number of products of any settings.
const maxProducts = 1000

// products returns the products in the order of their IDs.
func (s Settings) products() ([]logic.Product, error) {
	count, err := s.number("products.count")
	if err != nil {
		return nil, err
	}
	if !(count >= 0 && count <= maxProducts && count == math.Trunc(count)) {
		return nil, fmt.Errorf("products.count: %q is no whole number from 0 to %d", s["products.count"], maxProducts)
	}
	messageTimes := s.list("family-info.message-aim-ms")
	products := make([]logic.Product, int(count))
	for i := range products {
		prefix := "products." + strconv.Itoa(i) + "."
		numbers, err := s.numbers(prefix+"quoted-time-ms", prefix+"window-ms", prefix+"gain")
		if err != nil {
			return nil, err
		}
		products[i] = logic.Product{QuotedTime: MillisToMicros(numbers[0]), DedupWindow: MillisToMicros(numbers[1]), DedupScope: dedupScopeByName[s[prefix+"group"]],
			Gain: numbers[2], GainPerLoad: s["gain-by"] == "work"}
		idempotency, known := idempotencyByName[s[prefix+"idempotency"]]
		if !known {
			idempotency = logic.OneShot // the strictest kind, for names that this version does not know
		}
		products[i].Idempotency = idempotency
		if i < len(messageTimes) {
			quotedMillis, err := strconv.ParseFloat(messageTimes[i], 64)
			if err != nil {
				return nil, fmt.Errorf("family-info.message-aim-ms: %w", err)
			}
			products[i].QuotedMessageTime = MillisToMicros(quotedMillis)
		}
	}
	return products, nil
}

// NewBalancer creates a balancer from the settings, with the given random seed.
func (s Settings) NewBalancer(seed uint64) (*logic.Balancer, error) {
	products, err := s.products()
	if err != nil {
		return nil, err
	}
	numbers, err := s.numbers("my-number", "zone", "invariants.ask-within-ms",
		"invariants.start-capacity", "invariants.cold-ms", "invariants.fall-multiple", "invariants.fall-ms",
		"limits.max-dispatches", "prices.cross-zone", "limits.max-retry-after-ms", "group-size",
		"prices.moves")
	if err != nil {
		return nil, err
	}
	// The balancer takes into account anyway what these settings weigh, so their values have no effect. Values that are
	// negative or not numbers are errors all the same.
	blend, err := s.numbers("blend.nines", "blend.nines-wanted")
	if err != nil {
		return nil, err
	}
	if min(blend[0], blend[1]) < 0 {
		return nil, fmt.Errorf("blend.nines, blend.nines-wanted: %g, %g: below 0", blend[0], blend[1])
	}
	goneMayBeUp, err := s.boolean("invariants.only-draining-binds")
	if err != nil {
		return nil, err
	}
	permissions := logic.Permissions{MaxDispatches: int(numbers[7]), PassThrough: s["family-info.mode"] == "pass",
		AllowProbes: s["limits.probes"] == "true" && s["family-info.message-aim-ms"] != ""}
	if s["limits.retry-after"] == "true" {
		permissions.MaxRetryAfter = MillisToMicros(numbers[9])
	}
	balancer := logic.New(int64(seed), int(numbers[0]), int(numbers[10]), logic.ZoneID(numbers[1]), products, weightKindByName[s["weight-kind"]],
		logic.ListConfig{Subscribe: s["membership-mode"] == "subscribe", AskWithin: MillisToMicros(numbers[2]), GoneMayBeUp: goneMayBeUp},
		logic.ColdStart{InitialShare: numbers[3], WarmupTime: MillisToMicros(numbers[4]), OverloadMultiple: numbers[5], OverloadWindow: MillisToMicros(numbers[6])}, permissions, numbers[8], numbers[11])
	balancer.SetDelaysReported(s["family-info.tells-delay"] == "true")
	return balancer, nil
}

// UtilizationIndex returns the index, among the fields of the load reports that answer probes, of the ratio of a server's
// load to its capacity. It is -1 if the servers do not report it.
func (s Settings) UtilizationIndex() int {
	if s["limits.probes"] != "true" || s["report.how"] == "off" {
		return -1
	}
	return slices.Index(s.list("report.fields"), "x0")
}

// maxMillis bounds the times that MillisToMicros accepts, so that the result fits logic.Micros.
const maxMillis = 1e15

// MillisToMicros converts milliseconds into whole microseconds. NaN and times of maxMillis or more give 0.
func MillisToMicros(millis float64) logic.Micros {
	if !(math.Abs(millis) < maxMillis) {
		return 0
	}
	return logic.Micros(math.Round(millis * 1000))
}
