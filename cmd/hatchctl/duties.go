package main

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"hatchproxy/agent"
	"hatchproxy/agent/wanted"
)

// conducted has a rolling restart carried out by whoever holds that duty, and watches.
func (t *tool) conducted(c *cobra.Command, names []string, share float64) error {
	cmd := wanted.Command{ID: newID(), Verb: wanted.Roll, Instances: names, Share: share}
	if _, err := t.say(c.Context(), cmd); err != nil {
		return err
	}
	if !t.json {
		fmt.Fprintf(c.ErrOrStderr(), "roll %s\n", cmd.ID)
	}
	told := 0
	for until := time.Now().Add(t.within); ; time.Sleep(asking) {
		var r wanted.Rolling
		if v, err := t.view(c.Context()); err == nil {
			if i := slices.IndexFunc(v.Rolls, func(r wanted.Rolling) bool { return r.ID == cmd.ID }); i >= 0 {
				r = v.Rolls[i]
			}
		}
		if r.Steps > told && !t.json {
			told = r.Steps
			fmt.Fprintf(c.ErrOrStderr(), "step %d: %s\n", told, strings.Join(r.Part(told-1), ", "))
		}
		switch r.State {
		case wanted.Done:
			t.print(c.OutOrStdout(), map[string][]string{"restarted": names}, func(w io.Writer) { fmt.Fprintf(w, "%d restarted\n", len(names)) })
			return nil
		case wanted.Paused, wanted.Aborted:
			return exit{refused, fmt.Sprintf("the roll %s is %s after %d steps: %s", r.ID, r.State, r.Steps, r.Why)}
		}
		if time.Now().After(until) || c.Context().Err() != nil {
			return exit{noAnswer, fmt.Sprintf("not there in %s: the roll %s is at step %d and goes on by itself", t.within, cmd.ID, r.Steps)}
		}
	}
}

func (t *tool) rollCommand() *cobra.Command {
	roll := &cobra.Command{
		Use: "roll", Short: "Rolling restarts that are conducted: how far each is", Args: cobra.NoArgs,
		Example: "  hatchctl roll\n  hatchctl roll pause ID\n  hatchctl roll go-on ID",
		RunE: func(c *cobra.Command, _ []string) error {
			v, err := t.view(c.Context())
			if err != nil {
				return exit{cannotRun, err.Error()}
			}
			t.print(c.OutOrStdout(), v.Rolls, func(w io.Writer) {
				fmt.Fprintln(w, "ROLL\tSTATE\tSTEPS\tINSTANCES\tSHARE\tWHY")
				for _, r := range v.Rolls {
					fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%g\t%s\n", r.ID, r.State, r.Steps, len(r.Instances), r.Share, r.Why)
				}
			})
			return nil
		},
	}
	for verb, short := range map[wanted.Verb]string{wanted.Pause: "Begin no further step", wanted.GoOn: "Go on where it was paused", wanted.Abort: "End it; what was begun is not undone"} {
		roll.AddCommand(&cobra.Command{
			Use: string(verb) + " ROLL", Short: short, Args: cobra.ExactArgs(1),
			RunE: func(c *cobra.Command, args []string) error {
				return t.agreed(c, wanted.Command{Verb: verb, Of: args[0], Why: "by command"})
			},
		})
	}
	return roll
}

// agreed has a command agreed on and says so.
func (t *tool) agreed(c *cobra.Command, cmd wanted.Command) error {
	number, err := t.say(c.Context(), cmd)
	if err != nil {
		return err
	}
	fmt.Fprintf(c.OutOrStdout(), "%s: agreed on as number %d\n", cmd.Verb, number)
	return nil
}

func (t *tool) dutiesCommand() *cobra.Command {
	var watch time.Duration
	duties := &cobra.Command{
		Use: "duties", Short: "Duties that one agent holds at a time: who holds each, by which token, since when and why", Args: cobra.NoArgs,
		Example: "  hatchctl duties --watch 1s\n  hatchctl duties hand-on conductor --to a2\n  hatchctl duties bar a1",
		RunE: func(c *cobra.Command, _ []string) error {
			return watching(c, watch, func() error {
				v, err := t.leading(c)
				if err != nil {
					return exit{cannotRun, err.Error()}
				}
				t.print(c.OutOrStdout(), v.Duties, func(w io.Writer) { tellDuties(w, v) })
				return nil
			})
		},
	}
	duties.Flags().DurationVar(&watch, "watch", 0, "tell it again whenever so much time has passed")
	var to string
	on := &cobra.Command{
		Use: "hand-on DUTY", Short: "Have another agent hold a duty", Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			return t.agreed(c, wanted.Command{Verb: wanted.HandOn, Duty: args[0], Holder: to})
		},
	}
	on.Flags().StringVar(&to, "to", "", "to whom; any other if not given, and where that one does not ask for it")
	duties.AddCommand(on)
	for verb, short := range map[wanted.Verb]string{wanted.Bar: "Give an agent no duty, and have it hand on what it holds", wanted.Unbar: "Give an agent duties again"} {
		duties.AddCommand(&cobra.Command{
			Use: string(verb) + " AGENT", Short: short, Args: cobra.ExactArgs(1),
			RunE: func(c *cobra.Command, args []string) error {
				return t.agreed(c, wanted.Command{Verb: verb, Holder: args[0]})
			},
		})
	}
	return duties
}

// leading is the view of the agent that leads, where one of those that were named does: it alone knows how long a holder has.
func (t *tool) leading(c *cobra.Command) (v agent.View, err error) {
	for _, at := range t.agents {
		one := *t
		one.agents = []string{at}
		found, fault := one.view(c.Context())
		if fault == nil && (v.Agent == "" || found.Leads) {
			v = found
		}
		err = fault
	}
	if v.Agent != "" {
		err = nil
	}
	return v, err
}

func tellDuties(w io.Writer, v agent.View) {
	fmt.Fprintln(w, "DUTY\tHOLDER\tTOKEN\tHELD FOR\tENDS IN\tGIVEN BECAUSE\tTO")
	for _, d := range v.Duties {
		left := "-"
		if d.Left >= 0 {
			left = age(int64(d.Left))
		}
		fmt.Fprintf(w, "%s\t%s\t%d\t%s\t%s\t%s\t%s\n", d.Duty, d.Holder, d.Token, age(max(0, int64(v.Now-d.GrantedAt))), left, d.Reason, d.TransferTo)
	}
	for _, name := range v.Barred {
		fmt.Fprintf(w, "(none)\t%s\t-\t-\t-\tbarred\t-\n", name)
	}
}
