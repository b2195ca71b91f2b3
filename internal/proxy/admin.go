package proxy

import (
	"context"

	"hatchproxy/internal/admin"
	"hatchproxy/internal/telemetry"
	"hatchproxy/logic"
)

// metricsInterval is the span between two copies of the counts. A rest comes every 250 ms at least, with the decisions' own
// tick, and figures may be half a second old.
const metricsInterval = 50 * millisecond

// EnableMetrics has the counts copied for whoever fetches them, from descriptors that are taken off those for clients. It is to be
// called before Run.
func (p *Proxy) EnableMetrics() {
	p.metricsEnabled = true
	p.maxSockets -= admin.MaxDescriptors
}

// Metrics are the last copy of the counts.
func (p *Proxy) Metrics() *telemetry.Snapshot { return p.metrics.Load() }

// Evacuate has the proxy send its clients away.
func (p *Proxy) Evacuate(ctx context.Context) error { return p.runOnLoop(ctx, p.evacuate) }

// Rejoin takes it back to work.
func (p *Proxy) Rejoin(ctx context.Context) error { return p.runOnLoop(ctx, p.rejoin) }

func (p *Proxy) runOnLoop(ctx context.Context, order func()) error {
	_, err := callOnLoop(ctx, p, func() bool {
		order()
		return true
	})
	return err
}

func (p *Proxy) publishMetrics() {
	now := p.now()
	if !p.metricsEnabled || now-p.metricsCopiedAt < metricsInterval {
		return
	}
	p.metricsCopiedAt = now
	held := telemetry.Gauges{Ready: p.ready && p.mode != leaving, Current: len(p.clients)}
	for id := range p.servers {
		seen, known := p.instance.ServerStatus(now, id)
		if !known || seen.State == logic.Gone {
			continue
		}
		held.Listed++
		if seen.State == logic.Draining || seen.AvoidUntil > 0 || seen.Stuck {
			held.Unhealthy++
		}
	}
	p.counters.AcceptRetries = p.acceptor.listener.Failures()
	p.metrics.Store(p.counters.Snapshot(held))
}

var _ admin.Proxy = (*Proxy)(nil)
