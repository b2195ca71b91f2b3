package proxy

import (
	"context"
	"errors"

	"hatchproxy/internal/discovery"
	"hatchproxy/logic"
)

// offer is what a client gets that asks for a class.
type offer struct {
	product logic.ProductID
	limit   logic.Micros // its hard limit
}

// Renewal is what a configuration says that was read again, each part's own figures as New takes them.
type Renewal struct {
	Service       *discovery.Service
	Rules         *logic.Balancer // a new one, whose figures the running one takes over
	Products      []string
	Limits        []logic.Micros
	Dialing, Late logic.Micros
	Delays        bool
	Grace, Within logic.Micros
	Pushed        bool
}

// offer replaces the classes that new clients may ask for. Those in hand keep what they began with.
func (p *Proxy) offer(names []string, limits []logic.Micros, numbers []logic.ProductID) {
	p.offers = map[string]offer{}
	for i, name := range names {
		p.offers[name] = offer{numbers[i], limits[i]}
		p.longest = max(p.longest, limits[i])
		p.counts.Offer(name)
	}
}

// Reload reads the configuration again; it holds whole or not at all.
func (p *Proxy) Reload(ctx context.Context) error {
	if p.reread == nil {
		return errors.New("there is nothing to read again")
	}
	p.rereading.Lock() // one file after the other, in the order in which they hold
	defer p.rereading.Unlock()
	fresh, wrong := p.reread()
	return errors.Join(wrong, p.ordered(ctx, func() {
		if wrong != nil {
			p.counts.Invalid++
			return
		}
		p.counts.Loaded++
		p.retune(fresh)
		p.renew(fresh.Service)
		p.log.Info("the configuration was read again", "classes", fresh.Products)
	}))
}

func (p *Proxy) retune(fresh Renewal) {
	p.offer(fresh.Products, fresh.Limits, p.in.Retune(fresh.Rules))
	p.dialing, p.late, p.delays = fresh.Dialing, fresh.Late, fresh.Delays
	p.Bounds(fresh.Grace, fresh.Within, fresh.Pushed)
}
