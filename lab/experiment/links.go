package experiment

import (
	"fmt"
	"slices"
	"strings"

	"hatchproxy/lab/fleet"
	"hatchproxy/lab/ledger"
	"hatchproxy/lab/links"
)

// proxyLinks are relays between each proxy and each server, where the script has trouble on them.
type proxyLinks struct {
	net       *links.Net
	cutCounts map[[2]int]int // by proxy and zone: how many troubles cut the way just now
}

func proxyName(n int) string { return fmt.Sprintf("proxy %d", n) }
func zoneName(z int) string  { return fmt.Sprintf("zone %d", z) }

// startLinks has each proxy reach its servers through relays of its own, where the script needs them.
func (r *run) startLinks() error {
	if !slices.ContainsFunc(r.steps, func(s fleet.Step) bool { return strings.HasPrefix(s.Kind, "way-") }) {
		return nil
	}
	r.links = &proxyLinks{net: links.New(int64(r.Seed)), cutCounts: map[[2]int]int{}}
	zones := len(r.File.Fleet.Zones)
	for _, i := range r.proxies {
		err := i.discovery.Through(func(server int, endpoint string) (string, error) {
			return r.links.net.Way(proxyName(i.number), zoneName(server%zones), endpoint)
		})
		if err != nil {
			return err
		}
	}
	return nil
}

// applyTrouble has a proxy's ways to a zone begin or end a trouble.
func (w *proxyLinks) applyTrouble(r *run, s fleet.Step, proxy int, ends bool) {
	zone := int(s.Size) % len(r.File.Fleet.Zones)
	if s.Kind == "way-reset" {
		if !ends {
			r.recordLinkEvent(ledger.WayCut, proxy, zone)
			w.net.Reset(proxyName(proxy), zoneName(zone))
			r.recordLinkEvent(ledger.WayBack, proxy, zone)
		}
		return
	}
	at := [2]int{proxy, zone}
	was := w.cutCounts[at] > 0
	if ends {
		w.cutCounts[at]--
	} else {
		w.cutCounts[at]++
	}
	cut := w.cutCounts[at] > 0
	if cut == was {
		return
	}
	kind := ledger.WayBack
	if cut {
		kind = ledger.WayCut
	}
	w.net.Both(proxyName(proxy), zoneName(zone), links.Trouble{Cut: cut})
	r.recordLinkEvent(kind, proxy, zone)
}

func (r *run) recordLinkEvent(kind ledger.Kind, proxy, zone int) {
	r.eventLog.Write(ledger.Event{Kind: kind, Proxy: proxy, Server: ledger.None, Product: ledger.None, Value: int64(zone)})
}
