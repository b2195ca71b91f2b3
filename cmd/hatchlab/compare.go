package main

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"strings"

	"github.com/spf13/cobra"

	"hatchproxy/lab/experiment"
	"hatchproxy/lab/rogue"
)

func compareCommand() *cobra.Command {
	var s runner
	var proxies []string
	c := &cobra.Command{
		Use: "compare FILE --proxy A --proxy B", Short: "Play two builds on the same seeds, in turn, and tell the difference with its interval",
		Long: `Plays each seed with both builds, the first in front on every other one, and tells for each figure the mean of the
pairs' differences with the bounds that hold in 95 of 100 cases (Student's t over the pairs).

Exit codes: 0 no figure of the rules got worse, 1 the second build broke a rule, 2 it could not run.`,
		Example: "  hatchlab compare experiments/slow-quarter.toml --proxy old/hatchproxy --proxy bin/hatchproxy --seed 1,2,3,4,5",
		Args:    cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			if len(proxies) != 2 {
				return fmt.Errorf("--proxy is to be given twice, and was given %d times", len(proxies))
			}
			f, err := experiment.Read(args[0])
			if err != nil {
				return err
			}
			results := [2][]*experiment.Result{}
			broken := 0.0
			for round, seed := range s.selectSeeds(f) {
				for turn := range 2 {
					which := (round + turn) % 2
					s.proxyPath = proxies[which]
					binary, agent, done, err := s.buildPrograms(c.Context(), f.Control.Agents > 0)
					if err != nil {
						return err
					}
					defer done()
					s.agentPath = agent
					r, err := s.runOnce(c.Context(), f, binary, experiment.PlacementProxies, seed, c.ErrOrStderr())
					if err != nil {
						return err
					}
					r.Proxy = proxies[which]
					results[which] = append(results[which], r)
					fmt.Fprintf(c.ErrOrStderr(), "seed %d, %s: served %.3f, %g broken\n", seed, r.Proxy, r.Figures["served"], r.Figures["breaches"])
					if which == 1 {
						broken += r.Figures["breaches"] + r.Figures["crashes"]
					}
				}
			}
			found := experiment.Compare(results[0], results[1], experiment.ComparedFigures)
			if err := s.writeOutputs(c, f, append(results[0], results[1]...), nil); err != nil {
				return err
			}
			printDifferences(c, proxies, found)
			if broken > 0 {
				return errChecksFailed
			}
			return nil
		},
	}
	f := c.Flags()
	f.StringArrayVar(&proxies, "proxy", nil, "a build; twice")
	f.UintSliceVar(&s.seeds, "seed", nil, "seeds to play, instead of the file's")
	f.BoolVar(&s.quick, "quick", false, "the first seed only, at most 40 s of it")
	f.StringVar(&s.jsonPath, "json", "", "a file for all runs, as JSON; - for standard output")
	f.StringVar(&s.htmlPath, "html", "", "a file for the report")
	f.BoolVar(&s.quiet, "quiet", false, "no progress")
	return c
}

func printDifferences(c *cobra.Command, names []string, found []experiment.Difference) {
	out := c.OutOrStdout()
	fmt.Fprintf(out, "%-18s %12s %12s %12s   95%% interval\n", "figure", "first", "second", "difference")
	for _, d := range found {
		mark := " "
		if d.IsSignificant() {
			mark = "*"
		}
		bounds := "one pair tells none"
		if d.High < 1e300 {
			bounds = fmt.Sprintf("%+.4g to %+.4g", d.Low, d.High)
		}
		fmt.Fprintf(out, "%-18s %12.4g %12.4g %+12.4g %s %s\n", d.Figure, d.First, d.Second, d.Mean, mark, bounds)
	}
	fmt.Fprintf(out, "first is %s, second is %s; * marks a difference whose interval leaves 0 out\n", names[0], names[1])
}

func costCommand() *cobra.Command {
	var s runner
	var standing []uint
	var pairs int
	var asJSON bool
	c := &cobra.Command{
		Use: "cost", Short: "Measure a proxy's own path beside a bare relay's, in turn",
		Long: `Starts a bare relay (two copies a connection, no decisions, a process of its own) and the proxy in turn before
servers that answer at once, and tells set-up, line, CPU a line, memory a connection and the CPU of connections that
stand idle, as ratios, at each number of standing connections.

Exit codes: 0 measured, 2 it could not run.`,
		Example: "  hatchlab cost --standing 1,400,5000 --pairs 3\n  hatchlab cost --proxy bin/hatchproxy --json",
		Args:    cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			binary, _, done, err := s.buildPrograms(c.Context(), false)
			if err != nil {
				return err
			}
			defer done()
			costs, err := s.measureCosts(c, binary, standing, pairs)
			if err != nil {
				return err
			}
			if asJSON {
				text, err := json.MarshalIndent(costs, "", " ")
				if err != nil {
					return err
				}
				fmt.Fprintln(c.OutOrStdout(), string(text))
				return nil
			}
			for _, cost := range costs {
				fmt.Fprintf(c.OutOrStdout(), "%6d standing: %s\n", cost.Connections, cost.Summary())
			}
			return nil
		},
	}
	c.Flags().StringVar(&s.proxyPath, "proxy", "", "the hatchproxy program; built from ./cmd/hatchproxy if not given")
	c.Flags().UintSliceVar(&standing, "standing", []uint{1, 400, 5000}, "how many connections stand")
	c.Flags().IntVar(&pairs, "pairs", 3, "how often relay and proxy are measured")
	c.Flags().BoolVar(&asJSON, "json", false, "all figures, as JSON")
	c.Flags().BoolVar(&s.quiet, "quiet", false, "no progress")
	return c
}

// measureCosts measures the proxy's own path beside the bare relay's, which is this program in a process of its own.
func (s *runner) measureCosts(c *cobra.Command, binary string, standing []uint, pairs int) ([]*experiment.Cost, error) {
	folder, err := os.MkdirTemp("", "hatchlab-cost-")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(folder)
	own, err := os.Executable()
	if err != nil {
		return nil, err
	}
	relay := func(listen, servers string) *exec.Cmd { return exec.Command(own, "relay", listen, servers) }
	var costs []*experiment.Cost
	for _, n := range standing {
		cost, err := experiment.MeasureCost(c.Context(), binary, relay, int(n), pairs, folder, s.progressFunc(c.ErrOrStderr()))
		if err != nil {
			return nil, err
		}
		costs = append(costs, cost)
	}
	return costs, nil
}

// relayCommand is the bare relay, as a process of its own.
func relayCommand() *cobra.Command {
	return &cobra.Command{
		Use: "relay LISTEN SERVER,SERVER...", Short: "A bare relay: copies bytes, decides nothing", Args: cobra.ExactArgs(2), Hidden: true,
		RunE: func(_ *cobra.Command, args []string) error {
			l, err := net.Listen("tcp", args[0])
			if err != nil {
				return err
			}
			servers := strings.Split(args[1], ",")
			return rogue.Relay(l, func() []string { return servers })
		},
	}
}
