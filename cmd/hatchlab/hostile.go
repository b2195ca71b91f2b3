package main

import (
	"fmt"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"hatchproxy/lab/hostile"
)

// hostileCommand returns the command hostile.
func hostileCommand() *cobra.Command {
	options := hostile.Options{}
	factor := 1
	var names []string
	for _, kind := range hostile.Kinds {
		names = append(names, kind.Name)
	}
	cmd := &cobra.Command{
		Use:   "hostile [KIND...]",
		Short: "Play clients that reset, flood, write slowly or repeat themselves against a proxy",
		Long: `hostile plays each kind of hostile clients against a proxy process of its own, beside an ordinary load, and prints what the
process used at most and what the ordinary clients saw. The limit on descriptors is in force, that on memory is told. Kinds:
` + strings.Join(names, ", ") + `; all of them if none is named.

Exit codes: 0 it was played, 2 it could not run.`,
		RunE: func(cmd *cobra.Command, args []string) error {
			for _, name := range args {
				if !slices.Contains(names, name) {
					return fmt.Errorf("no kind is named %q", name)
				}
			}
			out := tabwriter.NewWriter(cmd.OutOrStdout(), 0, 4, 2, ' ', 0)
			defer out.Flush()
			fmt.Fprintln(out, "KIND\tCLIENTS\tDONE\tPEAK MB\tDESCRIPTORS\tSET-UPS p50 p99 max\tLINES p50 p99 max\tREFUSED\tUNSERVED\tREPEATED")
			for _, kind := range hostile.Kinds {
				if len(args) > 0 && !slices.Contains(args, kind.Name) {
					continue
				}
				options.Clients = kind.Clients * factor
				report, err := hostile.Run(cmd.Context(), kind, options)
				if err != nil {
					return fmt.Errorf("%s: %w", kind.Name, err)
				}
				fmt.Fprintf(out, "%s\t%d\t%d\t%.1f\t%d, %d, %d\t%s\t%s\t%d\t%d\t%d\n", report.Kind, options.Clients, report.Operations, report.PeakMemoryMB,
					report.DescriptorsBefore, report.DescriptorsPeak, report.DescriptorsAfter, formatLatencies(report.SetUps, report.SetUpCount), formatLatencies(report.Lines, report.LineCount),
					report.Refused, report.Unserved, report.Repeated)
			}
			return nil
		},
	}
	cmd.Flags().StringVar(&options.Program, "program", "bin/hatchproxy", "the proxy")
	cmd.Flags().IntVar(&options.MemoryMB, "memory-mb", 32, "its limit on memory")
	cmd.Flags().IntVar(&options.Descriptors, "descriptors", 256, "its limit on descriptors")
	cmd.Flags().DurationVar(&options.Duration, "for", 5*time.Second, "how long the hostile clients come")
	cmd.Flags().IntVar(&factor, "times", 1, "how many times the usual number of hostile clients there are")
	cmd.Flags().Uint64Var(&options.Seed, "seed", 1, "seed of the clients' draws")
	return cmd
}

// formatLatencies formats percentiles in milliseconds.
func formatLatencies(l hostile.Latencies, count int) string {
	milliseconds := func(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }
	return fmt.Sprintf("%.1f %.1f %.1f (%d)", milliseconds(l.P50), milliseconds(l.P99), milliseconds(l.Max), count)
}
