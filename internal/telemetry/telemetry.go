// Package telemetry counts what a proxy did and writes it as text. Counts belong to one owner, who counts each thing
// where it happens; copies may be read by anybody.
package telemetry

import (
	"bytes"
	"fmt"
	"maps"
	"slices"
	"strings"
)

// Ending is how a client's request ended, as far as the proxy answers for it.
type Ending uint8

const (
	Answered Ending = iota // brought up
	Deferred               // refused: trying again is harmless
	Errored                // failed
	endingCount
)

var endingNames = [endingCount]string{"answered", "deferred", "errored"}

func (e Ending) String() string { return endingNames[e] }

// Counters run from the start of the process and never fall. A class that is no longer offered keeps its own.
type Counters struct {
	classes                       map[string]*[endingCount]uint64
	Sends                         uint64 // lines written whole to servers
	ConfigsLoaded, ConfigsInvalid uint64 // configurations that were taken, and turned down
	AcceptRetries                 uint64 // accepts that failed for a moment
	RegisterRetries               uint64 // connections that the event loop did not take at first
	DialRetries                   uint64 // dials made again for want of this machine's own resources

	refused, retried, closed, violations countsByLabel
}

// countsByLabel counts by a reason.
type countsByLabel map[string]uint64

func (r *countsByLabel) increment(why string) {
	if *r == nil {
		*r = countsByLabel{}
	}
	(*r)[why]++
}

// CountRefused counts a request that was answered with no effect promised, by why.
func (c *Counters) CountRefused(why string) { c.refused.increment(why) }

// CountRetried counts an attempt that another followed, by how it ended.
func (c *Counters) CountRetried(outcome string) { c.retried.increment(outcome) }

// CountClosed counts a standing connection that ended, by who ended it.
func (c *Counters) CountClosed(by string) { c.closed.increment(by) }

// CountViolation counts an action that a rule forbids, by the rule: each is a fault of this program.
func (c *Counters) CountViolation(rule string) { c.violations.increment(rule) }

// AddClass has a class told of before anybody came with it.
func (c *Counters) AddClass(class string) *[endingCount]uint64 {
	if c.classes == nil {
		c.classes = map[string]*[endingCount]uint64{}
	}
	row := c.classes[class]
	if row == nil {
		row = new([endingCount]uint64)
		c.classes[class] = row
	}
	return row
}

// CountRequest counts one request of a class.
func (c *Counters) CountRequest(class string, e Ending) { c.AddClass(class)[e]++ }

// Gauges is what holds at this moment.
type Gauges struct {
	Ready     bool // this process can serve
	Current   int  // requests taken and not ended
	Listed    int  // servers in the list
	Unhealthy int  // those of them that nothing new is sent to now
}

// Snapshot are a copy of the counts beside what held then. They are not changed any more.
type Snapshot struct {
	Gauges
	counters   Counters
	classNames []string // of the classes, in their order
}

// Snapshot takes the figures as they are.
func (c *Counters) Snapshot(now Gauges) *Snapshot {
	f := &Snapshot{Gauges: now, counters: *c, classNames: make([]string, 0, len(c.classes))}
	for _, r := range []*countsByLabel{&f.counters.refused, &f.counters.retried, &f.counters.closed, &f.counters.violations} {
		*r = maps.Clone(*r)
	}
	f.counters.classes = make(map[string]*[endingCount]uint64, len(c.classes))
	for name, row := range c.classes {
		copied := *row
		f.counters.classes[name] = &copied
		f.classNames = append(f.classNames, name)
	}
	slices.Sort(f.classNames)
	return f
}

const metricPrefix = "edge_router_"

// labelEscaper guards against a class whose name would end its own line.
var labelEscaper = strings.NewReplacer(`\`, `\\`, `"`, `\"`, "\n", `\n`)

// Text is how the figures are fetched: Prometheus' text format.
func (f *Snapshot) Text() []byte {
	var b bytes.Buffer
	kind := func(name, kind string) { fmt.Fprintf(&b, "# TYPE %s%s %s\n", metricPrefix, name, kind) }
	one := func(name, of string, x uint64) {
		kind(name, of)
		fmt.Fprintf(&b, "%s%s %d\n", metricPrefix, name, x)
	}
	kind("transactions", "counter")
	for _, name := range f.classNames {
		for e, word := range endingNames {
			fmt.Fprintf(&b, "%stransactions{group=\"%s\",state=\"%s\"} %d\n", metricPrefix, labelEscaper.Replace(name), word, f.counters.classes[name][e])
		}
	}
	one("sends", "counter", f.counters.Sends)
	one("conf_loaded", "counter", f.counters.ConfigsLoaded)
	one("conf_invalid", "counter", f.counters.ConfigsInvalid)
	one("accept_retries", "counter", f.counters.AcceptRetries)
	one("register_retries", "counter", f.counters.RegisterRetries)
	one("dial_retries", "counter", f.counters.DialRetries)
	by := func(name, key string, counted countsByLabel) {
		kind(name, "counter")
		for _, why := range slices.Sorted(maps.Keys(counted)) {
			fmt.Fprintf(&b, "%s%s{%s=\"%s\"} %d\n", metricPrefix, name, key, labelEscaper.Replace(why), counted[why])
		}
	}
	by("refused", "reason", f.counters.refused)
	by("retried", "outcome", f.counters.retried)
	by("closed", "by", f.counters.closed)
	by("violations", "rule", f.counters.violations)
	one("current", "gauge", uint64(f.Current))
	one("cluster_size", "gauge", uint64(f.Listed))
	one("cluster_unhealthy", "gauge", uint64(f.Unhealthy))
	return b.Bytes()
}
