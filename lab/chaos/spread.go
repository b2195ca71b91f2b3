package chaos

import (
	"context"
	"fmt"
	"slices"
	"time"

	"hatchproxy/agent"
	"hatchproxy/agent/clusterstate"
)

// SpreadResult is how commands reach many agents, and what they cost at rest.
type SpreadResult struct {
	AnswerTimes, ApplyTimes []time.Duration // from when a command was said until it was answered, and until every agent had it; sorted
	IdleBytesPerSecond      float64         // bytes a second between machines while nothing is said
}

// MeasureSpread has a number of commands said, one after the other, and measures how they spread; resting is how long it then
// watches what passes at rest.
func (m *Cluster) MeasureSpread(ctx context.Context, commands int, resting time.Duration) (SpreadResult, error) {
	var s SpreadResult
	for a := range m.names {
		if err := m.StartAgent(a); err != nil {
			return s, err
		}
	}
	say := func(a int, id string) (number uint64, err error) {
		err = m.CallAgent(ctx, a, func(ctx context.Context, c *agent.Client) error {
			number, err = c.Submit(ctx, clusterstate.Command{ID: id, Verb: clusterstate.Drain, Server: "s1"})
			return err
		})
		return number, err
	}
	everywhere := func(number uint64, within time.Duration) error {
		have := make([]bool, len(m.names))
		return waitUntil(ctx, within, func() bool {
			all := true
			for a := range m.names {
				if !have[a] {
					err := m.CallAgent(ctx, a, func(ctx context.Context, c *agent.Client) error {
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
	if err := waitUntil(ctx, firstAgreementTimeout, func() (good bool) { var err error; number, err = say(0, "first"); return err == nil }); err != nil {
		return s, fmt.Errorf("the agents never agreed on a first command: %w", err)
	}
	if err := everywhere(number, 3*firstAgreementTimeout); err != nil {
		return s, fmt.Errorf("not all agents were taken in: %w", err)
	}
	for n := range commands {
		began := time.Now()
		number, err := say(n%len(m.names), fmt.Sprint("c", n))
		if err != nil {
			return s, err
		}
		s.AnswerTimes = append(s.AnswerTimes, time.Since(began))
		if err := everywhere(number, settleTimeout); err != nil {
			return s, err
		}
		s.ApplyTimes = append(s.ApplyTimes, time.Since(began))
	}
	slices.Sort(s.AnswerTimes)
	slices.Sort(s.ApplyTimes)
	before, began := m.Network.CarriedBytes(), time.Now()
	time.Sleep(resting)
	s.IdleBytesPerSecond = float64(m.Network.CarriedBytes()-before) / time.Since(began).Seconds()
	return s, nil
}
