// Command hatchlab plays experiments: a stand-in fleet, an open-loop load and real proxies, judged by the rules.
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

// The exit codes, as every command's help tells.
const (
	exitPassed      = 0
	exitFailed      = 1
	exitCouldNotRun = 2
)

// errChecksFailed is a run that could be played, and in which not all held.
var errChecksFailed = errors.New("not all held")

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

func rootCommand() *cobra.Command {
	root := &cobra.Command{
		Use:   "hatchlab",
		Short: "Plays experiments with real proxies before stand-ins, and judges them by the rules",
		Long: `hatchlab starts a fleet of stand-in servers, any number of hatchproxy processes and an open-loop load, all on
loopback addresses, plays a script of troubles, and judges what was seen by the rules.

Exit codes: 0 all that was expected held, 1 something did not (a broken rule always counts), 2 it could not run.`,
		SilenceUsage: true, SilenceErrors: true,
	}
	root.AddCommand(runCommand(), checkCommand(), figuresCommand(), traceCommand(), demoCommand(), fleetCommand(), compareCommand(), costCommand(), relayCommand(), chaosCommand(), spreadCommand(), worthCommand(), soakCommand())
	return root
}
