// Command hatchctl inspects and orders many instances of hatchproxy through their agents.
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

// The exit codes, as the help tells.
const (
	exitSuccess   = 0
	exitRefused   = 1 // somebody refused, or a restart failed
	exitCannotRun = 2 // wrong words, or no agent answers
	exitNoAnswer  = 3 // not all answered in time
	exitNotAgreed = 4 // the agents could not agree on the command, or it is not known whether they did
	exitCodesHelp = `Exit codes: 0 all obeyed, 1 one refused, failed or knows no such server, 2 it could not run (wrong words, no agent), 3 not all answered in
time, 4 the agents did not agree on the command, or it is not known whether they did (say it again: it counts once).`
)

// exitError is an error with its code.
type exitError struct {
	code    int
	message string
}

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

func newRootCommand() *cobra.Command {
	t := &cli{}
	root := &cobra.Command{
		Use: "hatchctl", Short: "Inspects and orders many instances of hatchproxy through their agents", SilenceUsage: true, SilenceErrors: true,
		Long: `Speaks to an agent, and through it to all: orders are agreed on by the agents, kept, and given to every instance,
also to those that come back later.

` + exitCodesHelp,
		Example: `  hatchctl status
  hatchctl drain feed-7 --for 30m
  hatchctl restart --rolling --share 0.2
  hatchctl drain feed-7 --json --agent 127.0.0.1:7001,127.0.0.1:7002`,
	}
	f := root.PersistentFlags()
	f.StringSliceVar(&t.agentAddresses, "agent", parseAgents(os.Getenv("HATCHCTL_AGENT")), "agents' addresses; the first that answers is asked ($HATCHCTL_AGENT)")
	f.BoolVar(&t.asJSON, "json", false, "JSON instead of a table")
	f.DurationVar(&t.timeout, "within", defaultTimeout, "how long to wait for all to answer")
	root.AddCommand(t.statusCommand(), t.membersCommand(), t.ordersCommand(), t.drainCommand("drain"), t.drainCommand("undrain"),
		t.runCommand("start"), t.runCommand("stop"), t.restartCommand(), t.reloadCommand(), t.waitCommand(), t.dutiesCommand(), t.rollCommand())
	return root
}
