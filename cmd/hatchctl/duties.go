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

// rollByConductor has a rolling restart carried out by whoever holds that duty, and watches.
func (t *cli) rollByConductor(c *cobra.Command, names []string, share float64) error {
	cmd := clusterstate.Command{ID: newCommandID(), Verb: clusterstate.Roll, Instances: names, Share: share}
	if _, err := t.submit(c.Context(), cmd); err != nil {
		return err
	}
	if !t.asJSON {
		fmt.Fprintf(c.ErrOrStderr(), "roll %s\n", cmd.ID)
	}
	told := 0
	for until := time.Now().Add(t.timeout); ; time.Sleep(pollInterval) {
		var r clusterstate.RollingRestart
		if v, err := t.view(c.Context()); err == nil {
			if i := slices.IndexFunc(v.RollingRestarts, func(r clusterstate.RollingRestart) bool { return r.ID == cmd.ID }); i >= 0 {
				r = v.RollingRestarts[i]
			}
		}
		if r.StepsStarted > told && !t.asJSON {
			told = r.StepsStarted
			fmt.Fprintf(c.ErrOrStderr(), "step %d: %s\n", told, strings.Join(r.StepInstances(told-1), ", "))
		}
		switch r.State {
		case clusterstate.Done:
			t.print(c.OutOrStdout(), map[string][]string{"restarted": names}, func(w io.Writer) { fmt.Fprintf(w, "%d restarted\n", len(names)) })
			return nil
		case clusterstate.Paused, clusterstate.Aborted:
			return exitError{exitRefused, fmt.Sprintf("the roll %s is %s after %d steps: %s", r.ID, r.State, r.StepsStarted, r.Reason)}
		}
		if time.Now().After(until) || c.Context().Err() != nil {
			return exitError{exitNoAnswer, fmt.Sprintf("not there in %s: the roll %s is at step %d and goes on by itself", t.timeout, cmd.ID, r.StepsStarted)}
		}
	}
}

func (t *cli) rollCommand() *cobra.Command {
	roll := &cobra.Command{
		Use: "roll", Short: "Rolling restarts that are conducted: how far each is", Args: cobra.NoArgs,
		Example: "  hatchctl roll\n  hatchctl roll pause ID\n  hatchctl roll go-on ID",
		RunE: func(c *cobra.Command, _ []string) error {
			v, err := t.view(c.Context())
			if err != nil {
				return exitError{exitCannotRun, err.Error()}
			}
			t.print(c.OutOrStdout(), v.RollingRestarts, func(w io.Writer) {
				fmt.Fprintln(w, "ROLL\tSTATE\tSTEPS\tINSTANCES\tSHARE\tWHY")
				for _, r := range v.RollingRestarts {
					fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%g\t%s\n", r.ID, r.State, r.StepsStarted, len(r.Instances), r.Share, r.Reason)
				}
			})
			return nil
		},
	}
	for verb, short := range map[clusterstate.Verb]string{clusterstate.Pause: "Begin no further step", clusterstate.Resume: "Go on where it was paused", clusterstate.Abort: "End it; what was begun is not undone"} {
		roll.AddCommand(&cobra.Command{
			Use: string(verb) + " ROLL", Short: short, Args: cobra.ExactArgs(1),
			RunE: func(c *cobra.Command, args []string) error {
				return t.submitAndReport(c, clusterstate.Command{Verb: verb, RollingRestartID: args[0], Reason: "by command"})
			},
		})
	}
	return roll
}

// submitAndReport has a command agreed on and says so.
func (t *cli) submitAndReport(c *cobra.Command, cmd clusterstate.Command) error {
	number, err := t.submit(c.Context(), cmd)
	if err != nil {
		return err
	}
	fmt.Fprintf(c.OutOrStdout(), "%s: agreed on as number %d\n", cmd.Verb, number)
	return nil
}

func (t *cli) dutiesCommand() *cobra.Command {
	var watch time.Duration
	duties := &cobra.Command{
		Use: "duties", Short: "Duties that one agent holds at a time: who holds each, by which token, since when and why", Args: cobra.NoArgs,
		Example: "  hatchctl duties --watch 1s\n  hatchctl duties hand-on conductor --to a2\n  hatchctl duties bar a1",
		RunE: func(c *cobra.Command, _ []string) error {
			return runEvery(c, watch, func() error {
				v, err := t.leaderView(c)
				if err != nil {
					return exitError{exitCannotRun, err.Error()}
				}
				t.print(c.OutOrStdout(), v.Duties, func(w io.Writer) { printDuties(w, v) })
				return nil
			})
		},
	}
	duties.Flags().DurationVar(&watch, "watch", 0, "tell it again whenever so much time has passed")
	var to string
	on := &cobra.Command{
		Use: "hand-on DUTY", Short: "Have another agent hold a duty", Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			return t.submitAndReport(c, clusterstate.Command{Verb: clusterstate.Transfer, Duty: args[0], Holder: to})
		},
	}
	on.Flags().StringVar(&to, "to", "", "to whom; any other if not given, and where that one does not ask for it")
	duties.AddCommand(on)
	for verb, short := range map[clusterstate.Verb]string{clusterstate.Bar: "Give an agent no duty, and have it hand on what it holds", clusterstate.Unbar: "Give an agent duties again"} {
		duties.AddCommand(&cobra.Command{
			Use: string(verb) + " AGENT", Short: short, Args: cobra.ExactArgs(1),
			RunE: func(c *cobra.Command, args []string) error {
				return t.submitAndReport(c, clusterstate.Command{Verb: verb, Holder: args[0]})
			},
		})
	}
	return duties
}

// leaderView is the view of the agent that leads, where one of those that were named does: it alone knows how long a holder has.
func (t *cli) leaderView(c *cobra.Command) (v agent.View, err error) {
	for _, at := range t.agentAddresses {
		one := *t
		one.agentAddresses = []string{at}
		found, fault := one.view(c.Context())
		if fault == nil && (v.Agent == "" || found.IsLeader) {
			v = found
		}
		err = fault
	}
	if v.Agent != "" {
		err = nil
	}
	return v, err
}

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
