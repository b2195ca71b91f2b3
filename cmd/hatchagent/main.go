// Command hatchagent keeps instances of hatchproxy running and brings each to what operators ordered.
package main

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	"hatchproxy/agent"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	signal.Ignore(syscall.SIGXFSZ) // a file that may not grow is an error of the write, as a full disk is
	if err := newRootCommand().ExecuteContext(ctx); err != nil {
		fmt.Fprintln(os.Stderr, "hatchagent:", err)
		os.Exit(2)
	}
}

func newRootCommand() *cobra.Command {
	var level, testClock string
	root := &cobra.Command{
		Use: "hatchagent", Short: "Keeps instances of hatchproxy running and brings each to what was ordered",
		SilenceUsage: true, SilenceErrors: true,
	}
	serve := &cobra.Command{
		Use: "serve FILE", Short: "Run the agent until SIGTERM; its instances go on without it", Args: cobra.ExactArgs(1),
		Example: "  hatchagent serve /etc/hatchproxy/agent.toml",
		Long: `Starts the instances that the file names, watches them, and gives each the orders that stand. The log of orders lies in
the file's data folder; with other agents named in the file it is replicated to them. An agent that ends, or dies, leaves
its instances running; the next one finds them.

Exit codes: 0 it was told to end, 2 it could not run (a file that is wrong, a log that is torn, an address in use).`,
		RunE: func(c *cobra.Command, args []string) error {
			plan, err := agent.ReadConfig(args[0])
			if err != nil {
				return err
			}
			var lowest slog.Level
			if err := lowest.UnmarshalText([]byte(level)); err != nil {
				return fmt.Errorf("--log-level: %w", err)
			}
			clock, err := agent.ParseTestClock(testClock)
			if err != nil {
				return err
			}
			err = agent.Run(c.Context(), plan, clock, slog.New(slog.NewTextHandler(c.ErrOrStderr(), &slog.HandlerOptions{Level: lowest})))
			if errors.Is(err, context.Canceled) {
				return nil
			}
			return err
		},
	}
	serve.Flags().StringVar(&level, "log-level", "info", "debug, info, warn or error")
	serve.Flags().StringVar(&testClock, "test-clock", "", "FOR TESTS ONLY: a clock that is wrong, such as rate=1.05,off=-1h,jump=1h@2s")
	check := &cobra.Command{
		Use: "check FILE", Short: "Read the agent's file and say what is wrong with it", Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			plan, err := agent.ReadConfig(args[0])
			if err == nil {
				fmt.Fprintf(c.OutOrStdout(), "%s: good; %d instances, %d other agents\n", plan.Name, len(plan.Instances), len(plan.Peers))
			}
			return err
		},
	}
	root.AddCommand(serve, check)
	return root
}
