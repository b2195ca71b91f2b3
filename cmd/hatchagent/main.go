// Command hatchagent keeps instances of hatchproxy running and gives them the orders of operators.
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
	signal.Ignore(syscall.SIGXFSZ) // exceeding the file size limit then makes the write fail, as a full disk does
	if err := newRootCommand().ExecuteContext(ctx); err != nil {
		fmt.Fprintln(os.Stderr, "hatchagent:", err)
		os.Exit(2)
	}
}

// newRootCommand returns the command line interface.
func newRootCommand() *cobra.Command {
	var logLevel, testClock string
	root := &cobra.Command{
		Use: "hatchagent", Short: "Keeps instances of hatchproxy running and gives them the orders of operators",
		SilenceUsage: true, SilenceErrors: true,
	}
	serve := &cobra.Command{
		Use: "serve FILE", Short: "Run the agent until SIGTERM; its instances keep running", Args: cobra.ExactArgs(1),
		Example: "  hatchagent serve /etc/hatchproxy/agent.toml",
		Long: `Starts and monitors the instances in the configuration file, and gives each the orders in effect. The log of orders is in the
data directory that the file names. If the file names other agents, the log is replicated among them. When an agent stops or
crashes, its instances keep running; the next run of the agent takes them over.

Exit codes: 0 stopped by a signal, 2 could not run (for example an invalid file, a corrupt log, an address in use).`,
		RunE: func(c *cobra.Command, args []string) error {
			config, err := agent.ReadConfig(args[0])
			if err != nil {
				return err
			}
			var level slog.Level
			if err := level.UnmarshalText([]byte(logLevel)); err != nil {
				return fmt.Errorf("--log-level: %w", err)
			}
			clock, err := agent.ParseTestClock(testClock)
			if err != nil {
				return err
			}
			err = agent.Run(c.Context(), config, clock, slog.New(slog.NewTextHandler(c.ErrOrStderr(), &slog.HandlerOptions{Level: level})))
			if errors.Is(err, context.Canceled) {
				return nil
			}
			return err
		},
	}
	serve.Flags().StringVar(&logLevel, "log-level", "info", "debug, info, warn or error")
	serve.Flags().StringVar(&testClock, "test-clock", "", "FOR TESTS ONLY: an inaccurate clock, such as rate=1.05,off=-1h,jump=1h@2s")
	check := &cobra.Command{
		Use: "check FILE", Short: "Check an agent's configuration file and report errors", Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			config, err := agent.ReadConfig(args[0])
			if err == nil {
				fmt.Fprintf(c.OutOrStdout(), "%s: good; %d instances, %d other agents\n", config.Name, len(config.Instances), len(config.Peers))
			}
			return err
		},
	}
	root.AddCommand(serve, check)
	return root
}
