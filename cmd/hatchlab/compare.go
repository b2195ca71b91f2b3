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
	"hatchproxy/lab/testproxy"
)

func compareCommand() *cobra.Command {
	var r runner
	var proxies []string
	c := &cobra.Command{
		Use: "compare FILE --proxy A --proxy B", Short: "Run two builds with the same seeds and print the differences with confidence intervals",
		Long: `Runs each seed with both builds, alternating which one goes first, and prints for each figure the mean difference of the
pairs with its 95% confidence interval (Student's t over the pairs).

Exit codes: 0 the second build broke no rule, 1 it broke a rule or a proxy crashed, 2 it could not run.`,
		Example: "  hatchlab compare experiments/slow-quarter.toml --proxy old/hatchproxy --proxy bin/hatchproxy --seed 1,2,3,4,5",
		Args:    cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			if len(proxies) != 2 {
				return fmt.Errorf("--proxy must be given exactly twice, got %d", len(proxies))
			}
			f, err := experiment.Read(args[0])
			if err != nil {
				return err
			}
			results := [2][]*experiment.Result{}
			broken := 0.0
			for round, seed := range r.selectSeeds(f) {
				for turn := range 2 {
					which := (round + turn) % 2
					r.proxyPath = proxies[which]
					binary, agent, cleanup, err := r.buildPrograms(c.Context(), f.Control.Agents > 0)
					if err != nil {
						return err
					}
					defer cleanup()
					r.agentPath = agent
					result, err := r.runOnce(c.Context(), f, binary, experiment.PlacementProxies, seed, c.ErrOrStderr())
					if err != nil {
						return err
					}
					result.Proxy = proxies[which]
					results[which] = append(results[which], result)
					fmt.Fprintf(c.ErrOrStderr(), "seed %d, %s: served %.3f, %g broken\n", seed, result.Proxy, result.Figures["served"], result.Figures["breaches"])
					if which == 1 {
						broken += result.Figures["breaches"] + result.Figures["crashes"]
					}
				}
			}
			differences := experiment.Compare(results[0], results[1], experiment.ComparedFigures)
			if err := r.writeOutputs(c, f, append(results[0], results[1]...), nil); err != nil {
				return err
			}
			printDifferences(c, proxies, differences)
			if broken > 0 {
				return errChecksFailed
			}
			return nil
		},
	}
	f := c.Flags()
	f.StringArrayVar(&proxies, "proxy", nil, "path of a hatchproxy build; give it twice")
	f.UintSliceVar(&r.seeds, "seed", nil, "seeds to run instead of the file's")
	f.BoolVar(&r.quick, "quick", false, "run only the first seed, for at most 40 s")
	f.StringVar(&r.jsonPath, "json", "", "write the results of all runs to this file as JSON; - for standard output")
	f.StringVar(&r.htmlPath, "html", "", "write an HTML report to this file")
	f.BoolVar(&r.quiet, "quiet", false, "print no progress")
	return c
}

// printDifferences prints a table of the differences between the builds with the two given names.
func printDifferences(c *cobra.Command, names []string, differences []experiment.Difference) {
	out := c.OutOrStdout()
	fmt.Fprintf(out, "%-18s %12s %12s %12s   95%% interval\n", "figure", "first", "second", "difference")
	for _, d := range differences {
		mark := " "
		if d.IsSignificant() {
			mark = "*"
		}
		bounds := "no interval from one pair"
		if d.High < 1e300 {
			bounds = fmt.Sprintf("%+.4g to %+.4g", d.Low, d.High)
		}
		fmt.Fprintf(out, "%-18s %12.4g %12.4g %+12.4g %s %s\n", d.Figure, d.First, d.Second, d.Mean, mark, bounds)
	}
	fmt.Fprintf(out, "first is %s, second is %s; * marks a difference whose interval excludes 0\n", names[0], names[1])
}

func costCommand() *cobra.Command {
	var r runner
	var connectionCounts []uint
	var pairs int
	var asJSON bool
	c := &cobra.Command{
		Use: "cost", Short: "Measure the proxy's overhead against a bare relay",
		Long: `Runs a bare relay (a process that only copies the bytes of each connection both ways) and the proxy alternately in front of
servers that answer at once. For each number of established connections it prints set-up time, line time, CPU per line,
memory per connection and the CPU that idle connections use, with the ratio between proxy and relay.

Exit codes: 0 measured, 2 it could not run.`,
		Example: "  hatchlab cost --standing 1,400,5000 --pairs 3\n  hatchlab cost --proxy bin/hatchproxy --json",
		Args:    cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			binary, _, cleanup, err := r.buildPrograms(c.Context(), false)
			if err != nil {
				return err
			}
			defer cleanup()
			costs, err := r.measureCosts(c, binary, connectionCounts, pairs)
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
				fmt.Fprintf(c.OutOrStdout(), "%6d connections: %s\n", cost.Connections, cost.Summary())
			}
			return nil
		},
	}
	c.Flags().StringVar(&r.proxyPath, "proxy", "", "the hatchproxy program; built from ./cmd/hatchproxy if not given")
	c.Flags().UintSliceVar(&connectionCounts, "standing", []uint{1, 400, 5000}, "numbers of established connections to measure with")
	c.Flags().IntVar(&pairs, "pairs", 3, "number of measurements of relay and proxy")
	c.Flags().BoolVar(&asJSON, "json", false, "print all measurements as JSON")
	c.Flags().BoolVar(&r.quiet, "quiet", false, "print no progress")
	return c
}

// measureCosts measures the proxy against the bare relay, a further process of this program, once for each number of
// established connections.
func (r *runner) measureCosts(c *cobra.Command, binary string, connectionCounts []uint, pairs int) ([]*experiment.Cost, error) {
	folder, err := os.MkdirTemp("", "hatchlab-cost-")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(folder)
	hatchlab, err := os.Executable()
	if err != nil {
		return nil, err
	}
	relay := func(listen, servers string) *exec.Cmd { return exec.Command(hatchlab, "relay", listen, servers) }
	var costs []*experiment.Cost
	for _, n := range connectionCounts {
		cost, err := experiment.MeasureCost(c.Context(), binary, relay, int(n), pairs, folder, r.progressFunc(c.ErrOrStderr()))
		if err != nil {
			return nil, err
		}
		costs = append(costs, cost)
	}
	return costs, nil
}

// relayCommand runs the bare relay that `hatchlab cost` compares the proxy with.
func relayCommand() *cobra.Command {
	return &cobra.Command{
		Use: "relay LISTEN SERVER,SERVER...", Short: "Run a bare relay that only copies bytes, from LISTEN to the servers", Args: cobra.ExactArgs(2), Hidden: true,
		RunE: func(_ *cobra.Command, args []string) error {
			l, err := net.Listen("tcp", args[0])
			if err != nil {
				return err
			}
			servers := strings.Split(args[1], ",")
			return testproxy.Relay(l, func() []string { return servers })
		},
	}
}
