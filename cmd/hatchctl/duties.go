package main

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"hatchproxy/agent"
	"hatchproxy/agent/clusterstate"
)

// rollByConductor starts a rolling restart, which the agent that holds the conductor duty carries out, and waits until it is done.
func (app *cli) rollByConductor(cmd *cobra.Command, names []string, share float64) error {
	command := clusterstate.Command{ID: newCommandID(), Verb: clusterstate.Roll, Instances: names, Share: share}
	if _, err := app.submit(cmd.Context(), command); err != nil {
		return err
	}
	if !app.asJSON {
		fmt.Fprintf(cmd.ErrOrStderr(), "roll %s\n", command.ID)
	}
	stepsReported := 0
	for deadline := time.Now().Add(app.timeout); ; time.Sleep(pollInterval) {
		var r clusterstate.RollingRestart
		if v, err := app.view(cmd.Context()); err == nil {
			if i := slices.IndexFunc(v.RollingRestarts, func(r clusterstate.RollingRestart) bool { return r.ID == command.ID }); i >= 0 {
				r = v.RollingRestarts[i]
			}
		}
		if r.StepsStarted > stepsReported && !app.asJSON {
			stepsReported = r.StepsStarted
			fmt.Fprintf(cmd.ErrOrStderr(), "step %d: %s\n", stepsReported, strings.Join(r.StepInstances(stepsReported-1), ", "))
		}
		switch r.State {
		case clusterstate.Done:
			app.print(cmd.OutOrStdout(), map[string][]string{"restarted": names}, func(w io.Writer) { fmt.Fprintf(w, "%d restarted\n", len(names)) })
			return nil
		case clusterstate.Paused, clusterstate.Aborted:
			return exitError{exitRefused, fmt.Sprintf("rolling restart %s is %s after %d steps: %s", r.ID, r.State, r.StepsStarted, r.Reason)}
		}
		if time.Now().After(deadline) || cmd.Context().Err() != nil {
			return exitError{exitNoAnswer, fmt.Sprintf("not done after %s: rolling restart %s is at step %d and continues", app.timeout, command.ID, r.StepsStarted)}
		}
	}
}

// rollCommand returns the command roll.
func (app *cli) rollCommand() *cobra.Command {
	roll := &cobra.Command{
		Use: "roll", Short: "Show the progress of rolling restarts that the conductor carries out", Args: cobra.NoArgs,
		Example: "  hatchctl roll\n  hatchctl roll pause ID\n  hatchctl roll go-on ID",
		RunE: func(cmd *cobra.Command, _ []string) error {
			v, err := app.view(cmd.Context())
			if err != nil {
				return exitError{exitCannotRun, err.Error()}
			}
			app.print(cmd.OutOrStdout(), v.RollingRestarts, func(w io.Writer) {
				fmt.Fprintln(w, "ROLL\tSTATE\tSTEPS\tINSTANCES\tSHARE\tWHY")
				for _, r := range v.RollingRestarts {
					fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%g\t%s\n", r.ID, r.State, r.StepsStarted, len(r.Instances), r.Share, r.Reason)
				}
			})
			return nil
		},
	}
	for verb, short := range map[clusterstate.Verb]string{clusterstate.Pause: "Start no further step", clusterstate.Resume: "Continue where it was paused", clusterstate.Abort: "End it; finished steps are not undone"} {
		roll.AddCommand(&cobra.Command{
			Use: string(verb) + " ROLL", Short: short, Args: cobra.ExactArgs(1),
			RunE: func(cmd *cobra.Command, args []string) error {
				return app.submitAndReport(cmd, clusterstate.Command{Verb: verb, RollingRestartID: args[0], Reason: "by command"})
			},
		})
	}
	return roll
}

// submitAndReport submits a command and prints its number once it is committed.
func (app *cli) submitAndReport(cmd *cobra.Command, command clusterstate.Command) error {
	number, err := app.submit(cmd.Context(), command)
	if err != nil {
		return err
	}
	fmt.Fprintf(cmd.OutOrStdout(), "%s: committed as number %d\n", command.Verb, number)
	return nil
}

// dutiesCommand returns the command duties.
func (app *cli) dutiesCommand() *cobra.Command {
	var watch time.Duration
	duties := &cobra.Command{
		Use: "duties", Short: "Show the duties, each held by one agent at a time: holder, token, since when and why", Args: cobra.NoArgs,
		Example: "  hatchctl duties --watch 1s\n  hatchctl duties hand-on conductor --to a2\n  hatchctl duties bar a1",
		RunE: func(cmd *cobra.Command, _ []string) error {
			return runEvery(cmd, watch, func() error {
				v, err := app.leaderView(cmd)
				if err != nil {
					return exitError{exitCannotRun, err.Error()}
				}
				app.print(cmd.OutOrStdout(), v.Duties, func(w io.Writer) { printDuties(w, v) })
				return nil
			})
		},
	}
	duties.Flags().DurationVar(&watch, "watch", 0, "repeat at this interval")
	var to string
	handOn := &cobra.Command{
		Use: "hand-on DUTY", Short: "Transfer a duty to another agent", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			return app.submitAndReport(cmd, clusterstate.Command{Verb: clusterstate.Transfer, Duty: args[0], Holder: to})
		},
	}
	handOn.Flags().StringVar(&to, "to", "", "the new holder; any other candidate if not given, or if this one is no candidate")
	duties.AddCommand(handOn)
	for verb, short := range map[clusterstate.Verb]string{clusterstate.Bar: "Grant an agent no duty, and transfer those that it holds", clusterstate.Unbar: "Grant an agent duties again"} {
		duties.AddCommand(&cobra.Command{
			Use: string(verb) + " AGENT", Short: short, Args: cobra.ExactArgs(1),
			RunE: func(cmd *cobra.Command, args []string) error {
				return app.submitAndReport(cmd, clusterstate.Command{Verb: verb, Holder: args[0]})
			},
		})
	}
	return duties
}

// leaderView returns the view of the leader, if it is among the addresses, or else of another agent. Only the leader knows how long
// the leases last.
func (app *cli) leaderView(cmd *cobra.Command) (v agent.View, err error) {
	for _, address := range app.agentAddresses {
		single := *app
		single.agentAddresses = []string{address}
		found, viewErr := single.view(cmd.Context())
		if viewErr == nil && (v.Agent == "" || found.IsLeader) {
			v = found
		}
		err = viewErr
	}
	if v.Agent != "" {
		err = nil
	}
	return v, err
}

// printDuties prints the duties and the barred holders as a table.
func printDuties(w io.Writer, v agent.View) {
	fmt.Fprintln(w, "DUTY\tHOLDER\tTOKEN\tHELD FOR\tENDS IN\tGIVEN BECAUSE\tTO")
	for _, d := range v.Duties {
		left := "-"
		if d.Remaining >= 0 {
			left = formatAge(int64(d.Remaining))
		}
		fmt.Fprintf(w, "%s\t%s\t%d\t%s\t%s\t%s\t%s\n", d.Duty, d.Holder, d.Token, formatAge(max(0, int64(v.Now-d.GrantedAt))), left, d.Reason, d.TransferTo)
	}
	for _, name := range v.Barred {
		fmt.Fprintf(w, "(none)\t%s\t-\t-\t-\tbarred\t-\n", name)
	}
}
