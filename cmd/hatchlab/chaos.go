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
	"hatchproxy/lab/rundir"
)

func chaosCommand() *cobra.Command {
	var runs, parallel int
	var seed int64
	var binary, outputFolder string
	c := &cobra.Command{
		Use: "chaos FILE", Short: "Cause random faults in agents and between them, and check that what they agreed on holds",
		Args:    cobra.ExactArgs(1),
		Example: "  hatchlab chaos experiments/chaos/five.toml --runs 200 --seed 1",
		Long: `Starts the agents that FILE describes, each on a machine of its own (a loopback address) and reached through relays, draws
a schedule of faults from each seed, runs it while clients submit commands, and checks the record: no committed command is
lost or changed, no two agents lead in one term, all agents settle in time. If a schedule fails, faults are removed from it
as long as it still fails; the seed, the shorter schedule and its record are written to a file. Run R of seed S is run 1 of
seed S+R-1.`,
		RunE: func(c *cobra.Command, args []string) error {
			spec, err := chaos.ReadSpec(args[0])
			if err != nil {
				return err
			}
			return runChaos(c.Context(), c.OutOrStdout(), spec, binary, outputFolder, seed, runs, max(1, parallel))
		},
	}
	c.Flags().IntVar(&runs, "runs", 10, "number of schedules")
	c.Flags().Int64Var(&seed, "seed", 1, "seed of the first schedule; each further one adds 1")
	c.Flags().IntVar(&parallel, "beside", 4, "number of schedules to run in parallel")
	c.Flags().StringVar(&binary, "agent", "bin/hatchagent", "the hatchagent program to test")
	c.Flags().StringVar(&outputFolder, "into", ".", "folder for the records of schedules that failed")
	return c
}

func spreadCommand() *cobra.Command {
	var agents, voters, commands int
	var binary string
	c := &cobra.Command{
		Use: "spread", Short: "Measure how fast commands reach many agents, and their traffic without commands", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			if voters < 1 || agents < voters || commands < 1 {
				return fmt.Errorf("%d agents, %d of them voters, %d commands: need at least one voter and one command, and no more voters than agents", agents, voters, commands)
			}
			folder, storage, err := rundir.New()
			if err != nil {
				return err
			}
			defer os.RemoveAll(folder)
			cluster, err := chaos.NewCluster([]string{binary, "serve", "--log-level", "warn"}, folder, chaos.ClusterConfig{AgentCount: agents, NonVoterCount: agents - voters, SiteCount: 1, Seed: 1})
			if err != nil {
				return err
			}
			defer cluster.Close()
			spread, err := cluster.MeasureSpread(c.Context(), commands, 10*time.Second)
			if err != nil {
				return err
			}
			percentile := func(sorted []time.Duration, percent int) time.Duration {
				return sorted[len(sorted)*percent/100].Round(100 * time.Microsecond)
			}
			fmt.Fprintf(c.OutOrStdout(), "%d agents, %d voters, %d commands: answered p50 %v, p99 %v; applied by all p50 %v, p99 %v; without commands %.0f bytes/s; folders in %s\n",
				agents, voters, commands, percentile(spread.AnswerTimes, 50), percentile(spread.AnswerTimes, 99), percentile(spread.ApplyTimes, 50), percentile(spread.ApplyTimes, 99), spread.IdleBytesPerSecond, storage)
			return nil
		},
	}
	c.Flags().IntVar(&agents, "agents", 100, "number of agents, each a process")
	c.Flags().IntVar(&voters, "voters", 5, "number of agents that vote")
	c.Flags().IntVar(&commands, "commands", 100, "number of commands, submitted one after the other")
	c.Flags().StringVar(&binary, "agent", "bin/hatchagent", "the hatchagent program to test")
	return c
}

// runChaos runs the schedules of consecutive seeds, some of them in parallel, and prints what they came to. It returns
// errChecksFailed if a schedule broke a rule, and the first error of a schedule that could not be run.
func runChaos(ctx context.Context, out io.Writer, spec *chaos.Spec, binary, outputFolder string, seed int64, runs, parallel int) error {
	var mu sync.Mutex
	foldersByStorage := map[rundir.Storage]int{}
	runSchedule := func(seed int64, faults []chaos.Fault) (chaos.Record, []chaos.Breach, error) {
		folder, storage, err := rundir.New()
		if err != nil {
			return chaos.Record{}, nil, err
		}
		defer os.RemoveAll(folder)
		mu.Lock()
		foldersByStorage[storage]++
		mu.Unlock()
		cluster, err := chaos.NewCluster([]string{binary, "serve", "--log-level", "warn"}, folder, spec.ClusterConfig(seed))
		if err != nil {
			return chaos.Record{}, nil, err
		}
		defer cluster.Close()
		r, err := cluster.RunSchedule(ctx, faults)
		return r, chaos.FindBreaches(r, spec.SettleBound()), err
	}
	var settled []time.Duration
	faultCounts, failed, answered := map[chaos.Kind]int{}, 0, 0
	var firstErr error
	seeds := make(chan int64)
	var workers sync.WaitGroup
	for range parallel {
		workers.Go(func() {
			for s := range seeds {
				schedule := spec.Schedule(s)
				r, breaches, err := runSchedule(s, schedule)
				if ctx.Err() != nil {
					continue // interrupted: the record is incomplete and proves nothing
				}
				mu.Lock()
				for _, x := range schedule {
					faultCounts[x.Kind]++
				}
				for _, x := range r.Submissions {
					if x.Number > 0 {
						answered++
					}
				}
				settled = append(settled, r.AgentSettleTime)
				if err != nil && firstErr == nil {
					firstErr = fmt.Errorf("seed %d: %w", s, err)
				}
				if len(breaches) > 0 {
					failed++
				}
				mu.Unlock()
				if err != nil || len(breaches) == 0 {
					continue
				}
				shortened := chaos.Shorten(schedule, func(faults []chaos.Fault) bool {
					shorterRecord, shorterBreaches, err := runSchedule(s, faults)
					if err == nil && len(shorterBreaches) > 0 {
						r, breaches = shorterRecord, shorterBreaches
						return true
					}
					return false
				})
				path := filepath.Join(outputFolder, fmt.Sprintf("chaos-%d.txt", s))
				text := fmt.Sprintf("seed %d\nbreaches: %v\nshorter schedule: %v\n\n%s", s, breaches, shortened, r.Timeline())
				mu.Lock()
				fmt.Fprintf(out, "seed %d failed: %v; the record is in %s\n", s, breaches, path)
				if err := os.WriteFile(path, []byte(text), 0o600); err != nil && firstErr == nil {
					firstErr = err
				}
				mu.Unlock()
			}
		})
	}
	for i := range int64(runs) {
		if ctx.Err() == nil {
			seeds <- seed + i
		}
	}
	close(seeds)
	workers.Wait()
	if firstErr != nil || ctx.Err() != nil || len(settled) == 0 {
		return errors.Join(firstErr, ctx.Err())
	}
	slices.Sort(settled)
	fmt.Fprintf(out, "%d schedules, %d failed; %d commands answered; settled after the last fault p50 %v, p99 %v, worst %v\n", len(settled), failed, answered,
		settled[len(settled)/2].Round(time.Millisecond), settled[len(settled)*99/100].Round(time.Millisecond), settled[len(settled)-1].Round(time.Millisecond))
	for _, storage := range slices.Sorted(maps.Keys(foldersByStorage)) {
		fmt.Fprintf(out, "  played with the agents' folders in %s: %d\n", storage, foldersByStorage[storage])
	}
	for _, k := range slices.Sorted(maps.Keys(faultCounts)) {
		fmt.Fprintf(out, "  %-9s %d\n", k, faultCounts[k])
	}
	if failed > 0 {
		return errChecksFailed
	}
	return nil
}
