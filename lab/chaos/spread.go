package chaos

import (
	"context"
	"fmt"
	"slices"
	"time"

	"hatchproxy/agent"
	"hatchproxy/agent/clusterstate"
)

// Spread is how commands reach many agents, and what they cost at rest.
type Spread struct {
	First, All []time.Duration // from when a command was said until it was answered, and until every agent had it; sorted
	Rest       float64         // bytes a second between machines while nothing is said
}

// Spread has a number of commands said, one after the other, and measures how they spread; resting is how long it then
// watches what passes at rest.
func (m *Machines) Spread(ctx context.Context, commands int, resting time.Duration) (Spread, error) {
	var s Spread
	for a := range m.names {
		if err := m.Start(a); err != nil {
			return s, err
		}
	}
	say := func(a int, id string) (number uint64, err error) {
		err = m.Ask(ctx, a, func(ctx context.Context, c *agent.Client) error {
			number, err = c.Submit(ctx, clusterstate.Command{ID: id, Verb: clusterstate.Drain, Server: "s1"})
			return err
		})
		return number, err
	}
	everywhere := func(number uint64, within time.Duration) error {
		have := make([]bool, len(m.names))
		return until(ctx, within, func() bool {
			all := true
			for a := range m.names {
				if !have[a] {
					err := m.Ask(ctx, a, func(ctx context.Context, c *agent.Client) error {
						applied, err := c.AppliedIndex(ctx)
						have[a] = err == nil && applied >= number
						return err
					})
					all = all && err == nil && have[a]
				}
			}
			return all
		})
	}
	var number uint64
	if err := until(ctx, rising, func() (good bool) { var err error; number, err = say(0, "first"); return err == nil }); err != nil {
		return s, fmt.Errorf("the agents never agreed on a first command: %w", err)
	}
	if err := everywhere(number, 3*rising); err != nil {
		return s, fmt.Errorf("not all agents were taken in: %w", err)
	}
	for n := range commands {
		began := time.Now()
		number, err := say(n%len(m.names), fmt.Sprint("c", n))
		if err != nil {
			return s, err
		}
		s.First = append(s.First, time.Since(began))
		if err := everywhere(number, waiting); err != nil {
			return s, err
		}
		s.All = append(s.All, time.Since(began))
	}
	slices.Sort(s.First)
	slices.Sort(s.All)
	before, began := m.Net.Carried(), time.Now()
	time.Sleep(resting)
	s.Rest = float64(m.Net.Carried()-before) / time.Since(began).Seconds()
	return s, nil
}
