// Command hatchctl inspects and controls the instances of hatchproxy through their agents.
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

// The exit codes, and their description in the help texts.
const (
	exitSuccess      = 0
	exitRefused      = 1 // an instance refused an order or does not know the server, or a restart failed
	exitCannotRun    = 2 // invalid arguments, or no agent answers
	exitNoAnswer     = 3 // not all instances answered in time
	exitNotCommitted = 4 // the command was not committed, or it is unknown whether it was
	exitCodesHelp    = `Exit codes: 0 all obeyed, 1 an instance refused, failed or does not know the server, 2 could not run (invalid arguments, no agent answers),
3 not all answered in time, 4 the command was not committed, or it is unknown whether it was (with --id, a repetition is applied once).`
)

// exitError is an error with an exit code.
type exitError struct {
	code    int
	message string
}

// Error returns the message.
func (e exitError) Error() string { return e.message }

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	err := newRootCommand().ExecuteContext(ctx)
	var e exitError
	switch {
	case err == nil:
		os.Exit(exitSuccess)
	case errors.As(err, &e):
		fmt.Fprintln(os.Stderr, "hatchctl:", e.message)
		os.Exit(e.code)
	default:
		fmt.Fprintln(os.Stderr, "hatchctl:", err)
		os.Exit(exitCannotRun)
	}
}

// newRootCommand returns the command line interface.
func newRootCommand() *cobra.Command {
	app := &cli{}
	root := &cobra.Command{
		Use: "hatchctl", Short: "Inspects and controls the instances of hatchproxy through their agents", SilenceUsage: true, SilenceErrors: true,
		Long: `Sends requests to one agent, which reaches the others. The agents replicate and store orders, and give them to every
instance, including those that start later.

` + exitCodesHelp,
		Example: `  hatchctl status
  hatchctl drain feed-7 --for 30m
  hatchctl restart --rolling --share 0.2
  hatchctl drain feed-7 --json --agent 127.0.0.1:7001,127.0.0.1:7002`,
	}
	flags := root.PersistentFlags()
	flags.StringSliceVar(&app.agentAddresses, "agent", parseAgents(os.Getenv("HATCHCTL_AGENT")), "addresses of agents, tried in this order until one answers ($HATCHCTL_AGENT)")
	flags.BoolVar(&app.asJSON, "json", false, "print JSON instead of a table")
	flags.DurationVar(&app.timeout, "within", defaultTimeout, "how long to wait until all have answered")
	root.AddCommand(app.statusCommand(), app.membersCommand(), app.ordersCommand(), app.drainCommand("drain"), app.drainCommand("undrain"),
		app.runCommand("start"), app.runCommand("stop"), app.restartCommand(), app.reloadCommand(), app.waitCommand(), app.dutiesCommand(), app.rollCommand())
	return root
}
