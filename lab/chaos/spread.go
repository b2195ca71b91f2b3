package chaos

import (
	"context"
	"fmt"
	"slices"
	"time"

	"hatchproxy/agent"
	"hatchproxy/agent/clusterstate"
)

// SpreadResult is what MeasureSpread measured.
type SpreadResult struct {
	AnswerTimes, ApplyTimes []time.Duration // from the submission of a command until its answer, and until all agents had applied it; sorted
	IdleBytesPerSecond      float64         // traffic between machines without commands
}

// MeasureSpread starts the agents, submits commands one after the other, each to the next agent, and measures how fast they reach all
// agents. Then it measures the traffic between machines for the given idle time, in which no commands are submitted. If it fails, it returns
// what was measured until then with the error.
func (c *Cluster) MeasureSpread(ctx context.Context, commands int, idle time.Duration) (SpreadResult, error) {
	var result SpreadResult
	for machine := range c.names {
		if err := c.StartAgent(machine); err != nil {
			return result, err
		}
	}
	submit := func(machine int, id string) (number uint64, err error) {
		err = c.CallAgent(ctx, machine, func(ctx context.Context, client *agent.Client) error {
			number, err = client.Submit(ctx, clusterstate.Command{ID: id, Verb: clusterstate.Drain, Server: "s1"})
			return err
		})
		return number, err
	}
	awaitApplied := func(number uint64, timeout time.Duration) error {
		hasApplied := make([]bool, len(c.names))
		return waitUntil(ctx, timeout, func() bool {
			all := true
			for machine := range c.names {
				if !hasApplied[machine] {
					err := c.CallAgent(ctx, machine, func(ctx context.Context, client *agent.Client) error {
						applied, err := client.AppliedIndex(ctx)
						hasApplied[machine] = err == nil && applied >= number
						return err
					})
					all = all && err == nil && hasApplied[machine]
				}
			}
			return all
		})
	}
	var number uint64
	if err := waitUntil(ctx, firstCommitTimeout, func() (ok bool) { var err error; number, err = submit(0, "first"); return err == nil }); err != nil {
		return result, fmt.Errorf("the agents did not commit a first command: %w", err)
	}
	if err := awaitApplied(number, 3*firstCommitTimeout); err != nil {
		return result, fmt.Errorf("not all agents applied the first command: %w", err)
	}
	for n := range commands {
		startedAt := time.Now()
		number, err := submit(n%len(c.names), fmt.Sprint("c", n))
		if err != nil {
			return result, err
		}
		result.AnswerTimes = append(result.AnswerTimes, time.Since(startedAt))
		if err := awaitApplied(number, settleTimeout); err != nil {
			return result, err
		}
		result.ApplyTimes = append(result.ApplyTimes, time.Since(startedAt))
	}
	slices.Sort(result.AnswerTimes)
	slices.Sort(result.ApplyTimes)
	before, idleSince := c.Network.CarriedBytes(), time.Now()
	time.Sleep(idle)
	result.IdleBytesPerSecond = float64(c.Network.CarriedBytes()-before) / time.Since(idleSince).Seconds()
	return result, nil
}
