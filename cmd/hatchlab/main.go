// Command hatchlab runs experiments with real proxies: it starts simulated servers and an open-loop load, causes faults, and
// checks the results against the rules and the experiment's expectations.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"
)

// The exit codes. Each command's help lists those that it uses.
const (
	exitPassed      = 0
	exitFailed      = 1 // a rule was broken or an expectation was not met
	exitCouldNotRun = 2 // invalid arguments or files, or a run that could not be completed
)

// errChecksFailed is returned after a completed run in which a rule was broken or an expectation was not met. Only
// the exit code shows it: main prints no message.
var errChecksFailed = errors.New("checks failed")

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	switch err := rootCommand().ExecuteContext(ctx); {
	case err == nil:
		os.Exit(exitPassed)
	case errors.Is(err, errChecksFailed):
		os.Exit(exitFailed)
	default:
		fmt.Fprintln(os.Stderr, "hatchlab:", err)
		os.Exit(exitCouldNotRun)
	}
}

// rootCommand returns the hatchlab command with all subcommands.
func rootCommand() *cobra.Command {
	root := &cobra.Command{
		Use:   "hatchlab",
		Short: "Run experiments with real proxies and simulated servers, and check the results",
		Long: `hatchlab starts a fleet of simulated servers, any number of hatchproxy processes and an open-loop load, all on
loopback addresses, causes the troubles that the experiment lists, and checks the results against the rules.

Exit codes: 0 all expectations were met, 1 one was not met or a rule was broken, 2 it could not run.`,
		SilenceUsage: true, SilenceErrors: true,
	}
	root.AddCommand(runCommand(), checkCommand(), figuresCommand(), traceCommand(), demoCommand(), fleetCommand(), compareCommand(), costCommand(), relayCommand(), chaosCommand(), spreadCommand(), worthCommand(), soakCommand(), hostileCommand(), mutantsCommand())
	return root
}
