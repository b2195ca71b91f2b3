package proxy

import (
	"context"
	"errors"

	"hatchproxy/internal/discovery"
	"hatchproxy/logic"
)

// classConfig is what the settings say of one class.
type classConfig struct {
	product   logic.ProductID
	hardLimit logic.Micros // the longest time that a request may wait for its answer
}

// ReloadedConfig is the content of a configuration that was read again. Its fields correspond to those of Options and
// to the parameters of SetListLimits.
type ReloadedConfig struct {
	Discovery                   *discovery.Client
	Balancer                    *logic.Balancer // a new one, whose settings the running balancer takes over
	Classes                     []string
	HardLimits                  []logic.Micros
	DialTimeout, LateThreshold  logic.Micros
	DelaysReported              bool
	DrainGrace, MaxPollInterval logic.Micros
	PushedByAgent               bool
}

// setClasses replaces the classes that new requests may name. Requests that were taken before keep their limits.
func (p *Proxy) setClasses(names []string, hardLimits []logic.Micros, ids []logic.ProductID) {
	p.classes = map[string]classConfig{}
	for i, name := range names {
		p.classes[name] = classConfig{ids[i], hardLimits[i]}
		p.counters.AddClass(name)
	}
}

// Reload reads the configuration again and applies it completely or not at all.
func (p *Proxy) Reload(ctx context.Context) error {
	if p.readConfig == nil {
		return errors.New("there is nothing to read again")
	}
	p.reloadMu.Lock() // files are applied in the order in which they were read
	defer p.reloadMu.Unlock()
	config, readErr := p.readConfig()
	return errors.Join(readErr, p.runOnLoop(ctx, func() {
		if readErr != nil {
			p.counters.ConfigsInvalid++
			return
		}
		p.counters.ConfigsLoaded++
		p.applyConfig(config)
		p.switchService(config.Discovery)
		p.log.Info("configuration reloaded", "classes", config.Classes)
	}))
}

// applyConfig applies a configuration, except for its discovery service.
func (p *Proxy) applyConfig(config ReloadedConfig) {
	p.setClasses(config.Classes, config.HardLimits, p.instance.Reconfigure(config.Balancer))
	p.dialTimeout, p.lateThreshold, p.delaysReported = config.DialTimeout, config.LateThreshold, config.DelaysReported
	p.SetListLimits(config.DrainGrace, config.MaxPollInterval, config.PushedByAgent)
}
