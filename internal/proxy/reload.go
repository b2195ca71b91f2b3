package proxy

import (
	"context"
	"errors"

	"hatchproxy/internal/discovery"
	"hatchproxy/logic"
)

// classConfig is what a client gets that asks for a class.
type classConfig struct {
	product   logic.ProductID
	hardLimit logic.Micros // its hard limit
}

// ReloadedConfig is what a configuration says that was read again, each part's own figures as New takes them.
type ReloadedConfig struct {
	Discovery                   *discovery.Client
	Balancer                    *logic.Balancer // a new one, whose figures the running one takes over
	Classes                     []string
	HardLimits                  []logic.Micros
	DialTimeout, LateThreshold  logic.Micros
	DelaysReported              bool
	DrainGrace, MaxPollInterval logic.Micros
	PushedByAgent               bool
}

// setClasses replaces the classes that new clients may ask for. Those in hand keep what they began with.
func (p *Proxy) setClasses(names []string, limits []logic.Micros, numbers []logic.ProductID) {
	p.classes = map[string]classConfig{}
	for i, name := range names {
		p.classes[name] = classConfig{numbers[i], limits[i]}
		p.maxHardLimit = max(p.maxHardLimit, limits[i])
		p.counters.AddClass(name)
	}
}

// Reload reads the configuration again; it holds whole or not at all.
func (p *Proxy) Reload(ctx context.Context) error {
	if p.readConfig == nil {
		return errors.New("there is nothing to read again")
	}
	p.reloadMu.Lock() // one file after the other, in the order in which they hold
	defer p.reloadMu.Unlock()
	fresh, wrong := p.readConfig()
	return errors.Join(wrong, p.runOnLoop(ctx, func() {
		if wrong != nil {
			p.counters.ConfigsInvalid++
			return
		}
		p.counters.ConfigsLoaded++
		p.applyConfig(fresh)
		p.switchService(fresh.Discovery)
		p.log.Info("the configuration was read again", "classes", fresh.Classes)
	}))
}

func (p *Proxy) applyConfig(fresh ReloadedConfig) {
	p.setClasses(fresh.Classes, fresh.HardLimits, p.instance.Reconfigure(fresh.Balancer))
	p.dialTimeout, p.lateThreshold, p.delaysReported = fresh.DialTimeout, fresh.LateThreshold, fresh.DelaysReported
	p.SetListLimits(fresh.DrainGrace, fresh.MaxPollInterval, fresh.PushedByAgent)
}
