package proxy

import (
	"context"

	"hatchproxy/internal/admin"
	"hatchproxy/internal/telemetry"
	"hatchproxy/logic"
)

// metricsInterval is the minimum time between two copies of the counters. A copy is made after an event, and events
// come every 250 ms at least since the balancer's tick is one; metrics may be at most 500 ms old.
const metricsInterval = 50 * millisecond

// EnableMetrics makes the proxy publish its metrics and reserves the descriptors of the admin server, which clients
// and servers can no longer use. It must be called before Run.
func (p *Proxy) EnableMetrics() {
	p.metricsEnabled = true
	p.maxSockets -= admin.MaxDescriptors
}

// Metrics returns the last published snapshot, or nil before the first one. It may be called from any goroutine.
func (p *Proxy) Metrics() *telemetry.Snapshot { return p.metrics.Load() }

// runOnLoop runs an action on the event loop and waits for it.
func (p *Proxy) runOnLoop(ctx context.Context, action func()) error {
	_, err := callOnLoop(ctx, p, func() bool {
		action()
		return true
	})
	return err
}

// publishMetrics stores a new snapshot of the metrics if the last one is old enough.
func (p *Proxy) publishMetrics() {
	now := p.now()
	if !p.metricsEnabled || now-p.metricsCopiedAt < metricsInterval {
		return
	}
	p.metricsCopiedAt = now
	gauges := telemetry.Gauges{Ready: p.ready && p.mode != leaving, Current: len(p.clients)}
	for id := range p.servers {
		status, known := p.instance.ServerStatus(now, id)
		if !known || status.State == logic.Gone {
			continue
		}
		gauges.Listed++
		if status.State == logic.Draining || status.AvoidUntil > 0 || status.Stuck {
			gauges.Unhealthy++
		}
	}
	p.counters.AcceptRetries = p.acceptor.listener.Failures()
	p.metrics.Store(p.counters.Snapshot(gauges))
}

var _ admin.Proxy = (*Proxy)(nil)
