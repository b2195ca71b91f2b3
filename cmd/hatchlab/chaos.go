package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"github.com/spf13/cobra"

	"hatchproxy/lab/chaos"
)

func chaosCommand() *cobra.Command {
	var runs, beside int
	var seed int64
	var binary, into string
	c := &cobra.Command{
		Use: "chaos FILE", Short: "Put drawn faults between agents and into them, and judge whether what was agreed on stays so",
		Args:    cobra.ExactArgs(1),
		Example: "  hatchlab chaos experiments/chaos/five.toml --runs 200 --seed 1",
		Long: `Starts the agents that FILE names, each on a machine of its own (a loopback address) and reached through relays, draws
faults by seed, plays them while clients have commands agreed on, and judges the record: nothing agreed on is lost or
changed, no two lead in one term, all settle in time. A breach is played with ever fewer faults while it still breaks; the
seed, the shorter schedule and its record are written to a file. Run R of seed S is run 1 of seed S+R-1.`,
		RunE: func(c *cobra.Command, args []string) error {
			f, err := chaos.ReadFile(args[0])
			if err != nil {
				return err
			}
			return runChaos(c.Context(), c.OutOrStdout(), f, binary, into, seed, runs, max(1, beside))
		},
	}
	c.Flags().IntVar(&runs, "runs", 10, "how many schedules")
	c.Flags().Int64Var(&seed, "seed", 1, "the first one's")
	c.Flags().IntVar(&beside, "beside", 4, "how many are played side by side")
	c.Flags().StringVar(&binary, "agent", "bin/hatchagent", "the program that is tried")
	c.Flags().StringVar(&into, "into", ".", "the folder for records of breaches")
	return c
}

func spreadCommand() *cobra.Command {
	var agents, voters, commands int
	var binary string
	c := &cobra.Command{
		Use: "spread", Short: "Measure how commands reach many agents, and what passes between them at rest", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			if voters < 1 || agents < voters || commands < 1 {
				return fmt.Errorf("%d agents, %d of them voters, %d commands: too few", agents, voters, commands)
			}
			folder, err := os.MkdirTemp("", "hc")
			if err != nil {
				return err
			}
			defer os.RemoveAll(folder)
			m, err := chaos.Raise([]string{binary, "serve", "--log-level", "warn"}, folder, chaos.Layout{Agents: agents, Hear: agents - voters, Sites: 1, Seed: 1})
			if err != nil {
				return err
			}
			defer m.Close()
			s, err := m.Spread(c.Context(), commands, 10*time.Second)
			if err != nil {
				return err
			}
			at := func(all []time.Duration, part int) time.Duration {
				return all[len(all)*part/100].Round(100 * time.Microsecond)
			}
			fmt.Fprintf(c.OutOrStdout(), "%d agents, %d voters, %d commands: answered p50 %v, p99 %v; applied by all p50 %v, p99 %v; at rest %.0f bytes a second\n",
				agents, voters, commands, at(s.First, 50), at(s.First, 99), at(s.All, 50), at(s.All, 99), s.Rest)
			return nil
		},
	}
	c.Flags().IntVar(&agents, "agents", 100, "how many, each a process")
	c.Flags().IntVar(&voters, "voters", 5, "how many of them vote")
	c.Flags().IntVar(&commands, "commands", 100, "how many, one after the other")
	c.Flags().StringVar(&binary, "agent", "bin/hatchagent", "the program that is tried")
	return c
}

func runChaos(ctx context.Context, out io.Writer, f *chaos.File, binary, into string, seed int64, runs, beside int) error {
	play := func(seed int64, faults []chaos.Fault) (chaos.Record, []chaos.Breach, error) {
		folder, err := os.MkdirTemp("", "hc")
		if err != nil {
			return chaos.Record{}, nil, err
		}
		defer os.RemoveAll(folder)
		m, err := chaos.Raise([]string{binary, "serve", "--log-level", "warn"}, folder, f.Layout(seed))
		if err != nil {
			return chaos.Record{}, nil, err
		}
		defer m.Close()
		r, err := m.Play(ctx, faults)
		return r, chaos.Judge(r, f.Bound()), err
	}
	var mu sync.Mutex
	var settled []time.Duration
	tried, broken, answered := map[chaos.Kind]int{}, 0, 0
	var fault error
	seeds := make(chan int64)
	var all sync.WaitGroup
	for range beside {
		all.Go(func() {
			for s := range seeds {
				drawn := f.Drawn(s)
				r, breaches, err := play(s, drawn)
				if ctx.Err() != nil {
					continue // broken off: what was not seen any more proves nothing
				}
				mu.Lock()
				for _, x := range drawn {
					tried[x.Kind]++
				}
				for _, x := range r.Said {
					if x.Number > 0 {
						answered++
					}
				}
				settled = append(settled, r.Settled)
				if err != nil && fault == nil {
					fault = fmt.Errorf("seed %d: %w", s, err)
				}
				if len(breaches) > 0 {
					broken++
				}
				mu.Unlock()
				if err != nil || len(breaches) == 0 {
					continue
				}
				short := chaos.Shorten(drawn, func(faults []chaos.Fault) bool {
					again, found, err := play(s, faults)
					if err == nil && len(found) > 0 {
						r, breaches = again, found
						return true
					}
					return false
				})
				path := filepath.Join(into, fmt.Sprintf("chaos-%d.txt", s))
				text := fmt.Sprintf("seed %d\nbreaches: %v\nshorter schedule: %v\n\n%s", s, breaches, short, r.Tell())
				mu.Lock()
				fmt.Fprintf(out, "seed %d breaks: %v; the record is in %s\n", s, breaches, path)
				if err := os.WriteFile(path, []byte(text), 0o600); err != nil && fault == nil {
					fault = err
				}
				mu.Unlock()
			}
		})
	}
	for s := range int64(runs) {
		if ctx.Err() == nil {
			seeds <- seed + s
		}
	}
	close(seeds)
	all.Wait()
	if fault != nil || ctx.Err() != nil || len(settled) == 0 {
		return errors.Join(fault, ctx.Err())
	}
	slices.Sort(settled)
	fmt.Fprintf(out, "%d schedules, %d broken; %d commands answered; settled after the last fault p50 %v, p99 %v, worst %v\n", len(settled), broken, answered,
		settled[len(settled)/2].Round(time.Millisecond), settled[len(settled)*99/100].Round(time.Millisecond), settled[len(settled)-1].Round(time.Millisecond))
	for _, k := range slices.Sorted(maps.Keys(tried)) {
		fmt.Fprintf(out, "  %-9s %d\n", k, tried[k])
	}
	if broken > 0 {
		return errChecksFailed
	}
	return nil
}
