package proxy

import (
	"context"

	"hatchproxy/internal/admin"
	"hatchproxy/internal/telemetry"
	"hatchproxy/logic"
)

// copying is the span between two copies of the counts. A rest comes every 250 ms at least, with the decisions' own
// tick, and figures may be half a second old.
const copying = 50 * millisecond

// Tell has the counts copied for whoever fetches them, from descriptors that are taken off those for clients. It is to be
// called before Run.
func (p *Proxy) Tell() {
	p.telling = true
	p.most -= admin.Descriptors
}

// Figures are the last copy of the counts.
func (p *Proxy) Figures() *telemetry.Figures { return p.figures.Load() }

// Evacuate has the proxy send its clients away.
func (p *Proxy) Evacuate(ctx context.Context) error { return p.ordered(ctx, p.evacuate) }

// Rejoin takes it back to work.
func (p *Proxy) Rejoin(ctx context.Context) error { return p.ordered(ctx, p.rejoin) }

func (p *Proxy) ordered(ctx context.Context, order func()) error {
	_, err := asked(ctx, p, func() bool {
		order()
		return true
	})
	return err
}

func (p *Proxy) publish() {
	now := p.now()
	if !p.telling || now-p.copied < copying {
		return
	}
	p.copied = now
	held := telemetry.Now{Ready: p.ready && p.duty != leaving, Current: len(p.clients)}
	for id := range p.servers {
		seen, known := p.in.See(now, id)
		if !known || seen.State == logic.Gone {
			continue
		}
		held.Listed++
		if seen.State == logic.Draining || seen.Shunned > 0 || seen.Stuck {
			held.Unhealthy++
		}
	}
	p.counts.AcceptRetries = p.acceptor.listener.Failures()
	p.figures.Store(p.counts.Copy(held))
}

var _ admin.Proxy = (*Proxy)(nil)
