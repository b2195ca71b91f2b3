// Package telemetry counts a proxy's events and writes the metrics in Prometheus' text format. Counters belong to a single
// goroutine, which counts each event where it happens; any goroutine may read a Snapshot.
package telemetry

import (
	"bytes"
	"fmt"
	"maps"
	"slices"
	"strings"
)

// Ending is how a client's request ended, as far as the proxy is responsible for it.
type Ending uint8

const (
	Answered Ending = iota // the connection was established
	Deferred               // refused; the client may safely try again
	Errored                // failed
	endingCount
)

var endingNames = [endingCount]string{"answered", "deferred", "errored"}

func (e Ending) String() string { return endingNames[e] }

// Counters count from the start of the process and never decrease. A class that is no longer offered keeps its counters.
type Counters struct {
	classes                       map[string]*[endingCount]uint64
	Sends                         uint64 // lines written completely to servers
	ConfigsLoaded, ConfigsInvalid uint64 // configurations that were applied, and that were rejected
	AcceptRetries                 uint64 // accept calls that failed and were repeated
	RegisterRetries               uint64 // connections whose registration with the event loop failed at first
	CutWithinLine                 uint64 // clients that were cut off without MOVE, because their server was within a line
	DialRetries                   uint64 // dials that were repeated because this machine was short of a resource

	refused, retried, closed, violations countsByLabel
}

// countsByLabel counts events by the value of one label.
type countsByLabel map[string]uint64

func (counts *countsByLabel) increment(label string) {
	if *counts == nil {
		*counts = countsByLabel{}
	}
	(*counts)[label]++
}

// CountRefused counts a request that was refused with the promise that it had no effect, by reason.
func (c *Counters) CountRefused(reason string) { c.refused.increment(reason) }

// CountRetried counts an attempt that was followed by another, by its outcome.
func (c *Counters) CountRetried(outcome string) { c.retried.increment(outcome) }

// CountClosed counts an established connection that ended, by the side that ended it.
func (c *Counters) CountClosed(side string) { c.closed.increment(side) }

// CountViolation counts an action that a rule forbids, by rule. Each is a bug in this program.
func (c *Counters) CountViolation(rule string) { c.violations.increment(rule) }

// AddClass returns a class's request counts by ending. It creates them if necessary, so that the metrics contain the class
// before its first request.
func (c *Counters) AddClass(class string) *[endingCount]uint64 {
	if c.classes == nil {
		c.classes = map[string]*[endingCount]uint64{}
	}
	byEnding := c.classes[class]
	if byEnding == nil {
		byEnding = new([endingCount]uint64)
		c.classes[class] = byEnding
	}
	return byEnding
}

// CountRequest counts a request of a class that ended.
func (c *Counters) CountRequest(class string, ending Ending) { c.AddClass(class)[ending]++ }

// Gauges are the current values at one moment.
type Gauges struct {
	Ready     bool // whether this process can serve
	Current   int  // requests accepted and not ended
	Listed    int  // servers in the list
	Unhealthy int  // listed servers that currently get nothing new
}

// Snapshot is an immutable copy of the counters, with the gauges at that moment.
type Snapshot struct {
	Gauges
	counters   Counters
	classNames []string // sorted
}

// Snapshot copies the counters.
func (c *Counters) Snapshot(now Gauges) *Snapshot {
	snapshot := &Snapshot{Gauges: now, counters: *c, classNames: make([]string, 0, len(c.classes))}
	for _, counts := range []*countsByLabel{&snapshot.counters.refused, &snapshot.counters.retried, &snapshot.counters.closed, &snapshot.counters.violations} {
		*counts = maps.Clone(*counts)
	}
	snapshot.counters.classes = make(map[string]*[endingCount]uint64, len(c.classes))
	for name, byEnding := range c.classes {
		copied := *byEnding
		snapshot.counters.classes[name] = &copied
		snapshot.classNames = append(snapshot.classNames, name)
	}
	slices.Sort(snapshot.classNames)
	return snapshot
}

// metricPrefix begins the name of each metric.
const metricPrefix = "edge_router_"

// labelEscaper escapes label values: a class's name with a quote or a line break in it, for example, would break the line.
var labelEscaper = strings.NewReplacer(`\`, `\\`, `"`, `\"`, "\n", `\n`)

// Text returns the metrics in Prometheus' text format.
func (s *Snapshot) Text() []byte {
	var out bytes.Buffer
	writeType := func(name, kind string) { fmt.Fprintf(&out, "# TYPE %s%s %s\n", metricPrefix, name, kind) }
	writeMetric := func(name, kind string, value uint64) {
		writeType(name, kind)
		fmt.Fprintf(&out, "%s%s %d\n", metricPrefix, name, value)
	}
	writeType("transactions", "counter")
	for _, name := range s.classNames {
		for ending, state := range endingNames {
			fmt.Fprintf(&out, "%stransactions{group=\"%s\",state=\"%s\"} %d\n", metricPrefix, labelEscaper.Replace(name), state, s.counters.classes[name][ending])
		}
	}
	writeMetric("sends", "counter", s.counters.Sends)
	writeMetric("conf_loaded", "counter", s.counters.ConfigsLoaded)
	writeMetric("conf_invalid", "counter", s.counters.ConfigsInvalid)
	writeMetric("accept_retries", "counter", s.counters.AcceptRetries)
	writeMetric("register_retries", "counter", s.counters.RegisterRetries)
	writeMetric("cut_within_line", "counter", s.counters.CutWithinLine)
	writeMetric("dial_retries", "counter", s.counters.DialRetries)
	writeByLabel := func(name, key string, counts countsByLabel) {
		writeType(name, "counter")
		for _, value := range slices.Sorted(maps.Keys(counts)) {
			fmt.Fprintf(&out, "%s%s{%s=\"%s\"} %d\n", metricPrefix, name, key, labelEscaper.Replace(value), counts[value])
		}
	}
	writeByLabel("refused", "reason", s.counters.refused)
	writeByLabel("retried", "outcome", s.counters.retried)
	writeByLabel("closed", "by", s.counters.closed)
	writeByLabel("violations", "rule", s.counters.violations)
	writeMetric("current", "gauge", uint64(s.Current))
	writeMetric("cluster_size", "gauge", uint64(s.Listed))
	writeMetric("cluster_unhealthy", "gauge", uint64(s.Unhealthy))
	return out.Bytes()
}
