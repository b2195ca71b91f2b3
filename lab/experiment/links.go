package experiment

import (
	"fmt"
	"slices"
	"strings"

	"hatchproxy/lab/fleet"
	"hatchproxy/lab/ledger"
	"hatchproxy/lab/links"
)

// proxyLinks relay the connections between proxies and servers, so that a script can cut or reset them.
type proxyLinks struct {
	net       *links.Network
	cutCounts map[[2]int]int // by proxy and zone: number of troubles that cut the link now
}

// proxyName and zoneName name the ends of a link.
func proxyName(n int) string { return fmt.Sprintf("proxy %d", n) }
func zoneName(z int) string  { return fmt.Sprintf("zone %d", z) }

// startLinks makes each proxy reach its servers through relays of its own, if the script has troubles on links.
func (r *run) startLinks() error {
	if !slices.ContainsFunc(r.troubles, func(s fleet.ScheduledTrouble) bool { return strings.HasPrefix(s.Kind, "way-") }) {
		return nil
	}
	r.links = &proxyLinks{net: links.New(int64(r.Seed)), cutCounts: map[[2]int]int{}}
	zones := len(r.File.Fleet.Zones)
	for _, proxy := range r.proxies {
		err := proxy.discovery.RewriteEndpoints(func(server int, endpoint string) (string, error) {
			return r.links.net.AddRelayBetween(proxyName(proxy.number), zoneName(server%zones), endpoint)
		})
		if err != nil {
			return err
		}
	}
	return nil
}

// applyTrouble begins or ends a trouble on a proxy's links to a zone, and records when the zone is cut off and reachable again.
// Troubles may overlap: the link is cut as long as one of them lasts.
func (l *proxyLinks) applyTrouble(r *run, trouble fleet.ScheduledTrouble, proxy int, ends bool) {
	zone := int(trouble.Size) % len(r.File.Fleet.Zones)
	if trouble.Kind == "way-reset" {
		if !ends {
			r.recordLinkEvent(ledger.LinkCut, proxy, zone)
			l.net.ResetConnections(proxyName(proxy), zoneName(zone))
			r.recordLinkEvent(ledger.LinkRestored, proxy, zone)
		}
		return
	}
	link := [2]int{proxy, zone}
	wasCut := l.cutCounts[link] > 0
	if ends {
		l.cutCounts[link]--
	} else {
		l.cutCounts[link]++
	}
	isCut := l.cutCounts[link] > 0
	if isCut == wasCut {
		return
	}
	kind := ledger.LinkRestored
	if isCut {
		kind = ledger.LinkCut
	}
	l.net.SetBothDirections(proxyName(proxy), zoneName(zone), links.Impairment{Cut: isCut})
	r.recordLinkEvent(kind, proxy, zone)
}

// recordLinkEvent writes a cut, or its end, between a proxy and a zone into the event log.
func (r *run) recordLinkEvent(kind ledger.Kind, proxy, zone int) {
	r.eventLog.Record(ledger.Event{Kind: kind, Proxy: proxy, Server: ledger.None, Product: ledger.None, Value: int64(zone)})
}
