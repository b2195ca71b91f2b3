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
	endings
)

var words = [endings]string{"answered", "deferred", "errored"}

func (e Ending) String() string { return words[e] }

// Counts run from the start of the process and never fall. A class that is no longer offered keeps its own.
type Counts struct {
	classes         map[string]*[endings]uint64
	Sends           uint64 // lines written whole to servers
	Loaded, Invalid uint64 // configurations that were taken, and turned down
	AcceptRetries   uint64 // accepts that failed for a moment
	RegisterRetries uint64 // connections that the event loop did not take at first
	DialRetries     uint64 // dials made again for want of this machine's own resources

	refused, retried, closed, violations reasons
}

// reasons counts by a reason.
type reasons map[string]uint64

func (r *reasons) count(why string) {
	if *r == nil {
		*r = reasons{}
	}
	(*r)[why]++
}

// Refused counts a request that was answered with no effect promised, by why.
func (c *Counts) Refused(why string) { c.refused.count(why) }

// Retried counts an attempt that another followed, by how it ended.
func (c *Counts) Retried(outcome string) { c.retried.count(outcome) }

// Closed counts a standing connection that ended, by who ended it.
func (c *Counts) Closed(by string) { c.closed.count(by) }

// Violated counts an action that a rule forbids, by the rule: each is a fault of this program.
func (c *Counts) Violated(rule string) { c.violations.count(rule) }

// Offer has a class told of before anybody came with it.
func (c *Counts) Offer(class string) *[endings]uint64 {
	if c.classes == nil {
		c.classes = map[string]*[endings]uint64{}
	}
	row := c.classes[class]
	if row == nil {
		row = new([endings]uint64)
		c.classes[class] = row
	}
	return row
}

// Count counts one request of a class.
func (c *Counts) Count(class string, e Ending) { c.Offer(class)[e]++ }

// Now is what holds at this moment.
type Now struct {
	Ready     bool // this process can serve
	Current   int  // requests taken and not ended
	Listed    int  // servers in the list
	Unhealthy int  // those of them that nothing new is sent to now
}

// Figures are a copy of the counts beside what held then. They are not changed any more.
type Figures struct {
	Now
	counts Counts
	names  []string // of the classes, in their order
}

// Copy takes the figures as they are.
func (c *Counts) Copy(now Now) *Figures {
	f := &Figures{Now: now, counts: *c, names: make([]string, 0, len(c.classes))}
	for _, r := range []*reasons{&f.counts.refused, &f.counts.retried, &f.counts.closed, &f.counts.violations} {
		*r = maps.Clone(*r)
	}
	f.counts.classes = make(map[string]*[endings]uint64, len(c.classes))
	for name, row := range c.classes {
		copied := *row
		f.counts.classes[name] = &copied
		f.names = append(f.names, name)
	}
	slices.Sort(f.names)
	return f
}

const prefix = "edge_router_"

// label guards against a class whose name would end its own line.
var label = strings.NewReplacer(`\`, `\\`, `"`, `\"`, "\n", `\n`)

// Text is how the figures are fetched: Prometheus' text format.
func (f *Figures) Text() []byte {
	var b bytes.Buffer
	kind := func(name, kind string) { fmt.Fprintf(&b, "# TYPE %s%s %s\n", prefix, name, kind) }
	one := func(name, of string, x uint64) {
		kind(name, of)
		fmt.Fprintf(&b, "%s%s %d\n", prefix, name, x)
	}
	kind("transactions", "counter")
	for _, name := range f.names {
		for e, word := range words {
			fmt.Fprintf(&b, "%stransactions{group=\"%s\",state=\"%s\"} %d\n", prefix, label.Replace(name), word, f.counts.classes[name][e])
		}
	}
	one("sends", "counter", f.counts.Sends)
	one("conf_loaded", "counter", f.counts.Loaded)
	one("conf_invalid", "counter", f.counts.Invalid)
	one("accept_retries", "counter", f.counts.AcceptRetries)
	one("register_retries", "counter", f.counts.RegisterRetries)
	one("dial_retries", "counter", f.counts.DialRetries)
	by := func(name, key string, counted reasons) {
		kind(name, "counter")
		for _, why := range slices.Sorted(maps.Keys(counted)) {
			fmt.Fprintf(&b, "%s%s{%s=\"%s\"} %d\n", prefix, name, key, label.Replace(why), counted[why])
		}
	}
	by("refused", "reason", f.counts.refused)
	by("retried", "outcome", f.counts.retried)
	by("closed", "by", f.counts.closed)
	by("violations", "rule", f.counts.violations)
	one("current", "gauge", uint64(f.Current))
	one("cluster_size", "gauge", uint64(f.Listed))
	one("cluster_unhealthy", "gauge", uint64(f.Unhealthy))
	return b.Bytes()
}
