package main

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"os/user"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"hatchproxy/agent"
	"hatchproxy/agent/clusterstate"
	"hatchproxy/agent/supervisor"
	"hatchproxy/logic"
)

const (
	defaultAgent   = "127.0.0.1:7070"
	defaultTimeout = 10 * time.Second      // as in cli.timeout
	pollInterval   = 50 * time.Millisecond // how often the agents are asked while a command waits
)

// cli holds the options that all commands share.
type cli struct {
	agentAddresses []string // tried in this order
	asJSON         bool
	timeout        time.Duration // how long to wait until all instances have answered
}

// parseAgents splits the list of addresses in $HATCHCTL_AGENT. An empty one stands for the default.
func parseAgents(text string) []string {
	if text == "" {
		return []string{defaultAgent}
	}
	return strings.Split(text, ",")
}

// tryAgents calls one agent after the other until a call succeeds, and returns the last error if none does.
func (app *cli) tryAgents(ctx context.Context, call func(context.Context, *agent.Client) error) error {
	var lastErr error
	for _, address := range app.agentAddresses {
		c := agent.NewClient(address)
		callCtx, cancel := context.WithTimeout(ctx, 8*time.Second)
		lastErr = call(callCtx, c)
		cancel()
		c.Close()
		if lastErr == nil {
			return nil
		}
		lastErr = fmt.Errorf("agent %s: %w", address, lastErr)
	}
	return lastErr
}

// view returns what all agents know together.
func (app *cli) view(ctx context.Context) (v agent.View, err error) {
	return v, app.tryAgents(ctx, func(ctx context.Context, client *agent.Client) error {
		v, err = client.ClusterView(ctx)
		return err
	})
}

// submit submits a command and returns its number once it is committed. Until the timeout it retries with the same ID after an error.
func (app *cli) submit(ctx context.Context, c clusterstate.Command) (uint64, error) {
	if c.ID == "" {
		c.ID = newCommandID()
	}
	c.IssuedAt = logic.Micros(time.Now().UnixMicro())
	if err := clusterstate.Validate(c); err != nil {
		return 0, err
	}
	var number uint64
	var err error
	for deadline := time.Now().Add(app.timeout); ; {
		err = app.tryAgents(ctx, func(ctx context.Context, client *agent.Client) error {
			number, err = client.Submit(ctx, c)
			return err
		})
		if err == nil || time.Now().After(deadline) || ctx.Err() != nil {
			break
		}
		time.Sleep(pollInterval * 2)
	}
	if err != nil {
		return 0, exitError{exitNotCommitted, err.Error()}
	}
	return number, nil
}

// newCommandID returns an ID of the user's name, the time and a random number.
func newCommandID() string {
	random := make([]byte, 6)
	_, _ = rand.Read(random) // never fails
	name := "operator"
	if u, err := user.Current(); err == nil {
		name = u.Username
	}
	return name + "-" + time.Now().UTC().Format("20060102T150405") + "-" + hex.EncodeToString(random)
}

// orderReport is the result of an order at each instance.
type orderReport struct {
	ID           string           `json:"id"`
	Number       uint64           `json:"number"`
	Instances    []instanceAnswer `json:"instances"`
	SilentAgents []string         `json:"silent_agents,omitempty"`
}

// instanceAnswer is the result of an order at one instance.
type instanceAnswer struct {
	Instance string  `json:"instance"`
	Agent    string  `json:"agent"`
	Verdict  string  `json:"verdict"` // obeyed, unknown, stale, refused, no answer, not running
	Reason   string  `json:"why,omitempty"`
	AfterMS  float64 `json:"after_ms"` // from when the command was issued until the instance received it; -1 if it has not
}

// collectAnswers returns what each instance has answered to an order so far, and whether all that should run have answered.
func collectAnswers(v agent.View, server string, number uint64, issuedAt logic.Micros) (report orderReport, all bool) {
	report, all = orderReport{Number: number, Instances: []instanceAnswer{}, SilentAgents: v.SilentAgents}, len(v.SilentAgents) == 0
	for _, i := range v.Instances {
		answer := instanceAnswer{Instance: i.Name, Agent: i.Agent, AfterMS: -1}
		result, known := i.OrderResults[server]
		switch {
		case known && result.Number >= number:
			answer.Verdict, answer.Reason = string(result.Verdict), result.Reason
			answer.AfterMS = math.Max(0, float64(result.ReceivedAt-issuedAt)/1000)
		case i.State == supervisor.Stopped:
			answer.Verdict, answer.Reason = "not running", "it gets the order when it starts"
		case i.State == supervisor.CrashLooping:
			answer.Verdict, answer.Reason = "no answer", "crash loop: "+i.Reason
			all = false
		default:
			answer.Verdict, answer.Reason = "no answer", string(i.State)+", "+string(i.MemberState)
			all = false
		}
		report.Instances = append(report.Instances, answer)
	}
	return report, all
}

// awaitAnswers waits until all instances have answered an order or the timeout has passed, and prints the answers. Its error holds the
// exit code.
func (app *cli) awaitAnswers(cmd *cobra.Command, command clusterstate.Command, number uint64) error {
	var report orderReport
	var all bool
	for deadline := time.Now().Add(app.timeout); ; time.Sleep(pollInterval) {
		v, err := app.view(cmd.Context())
		if err == nil {
			report, all = collectAnswers(v, command.Server, number, command.IssuedAt)
		}
		if all || time.Now().After(deadline) || cmd.Context().Err() != nil {
			break
		}
	}
	report.ID = command.ID
	count := map[string]int{}
	for _, answer := range report.Instances {
		count[answer.Verdict]++
	}
	app.print(cmd.OutOrStdout(), report, func(w io.Writer) {
		fmt.Fprintln(w, "INSTANCE\tAGENT\tANSWER\tAFTER\tWHY")
		for _, answer := range report.Instances {
			after := "-"
			if answer.AfterMS >= 0 {
				after = fmt.Sprintf("%.1f ms", answer.AfterMS)
			}
			fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\n", answer.Instance, answer.Agent, answer.Verdict, after, answer.Reason)
		}
		for _, name := range report.SilentAgents {
			fmt.Fprintf(w, "(all of it)\t%s\tno answer\t-\tthe agent does not answer\n", name)
		}
	})
	switch {
	case count["refused"]+count["stale"] > 0:
		return exitError{exitRefused, fmt.Sprintf("order %d: %d obeyed, %d refused it", number, count["obeyed"], count["refused"]+count["stale"])}
	case count["unknown"] > 0:
		return exitError{exitRefused, fmt.Sprintf("order %d: %d instances know no server %q; the order stays in effect in case the server is added", number, count["unknown"], command.Server)}
	case !all:
		return exitError{exitNoAnswer, fmt.Sprintf("order %d: %d obeyed, %d have not answered; the order stays in effect and is sent to them once they answer", number, count["obeyed"], count["no answer"])}
	}
	return nil
}

// print prints a result as JSON or as a table.
func (app *cli) print(out io.Writer, result any, table func(io.Writer)) {
	if app.asJSON {
		data, _ := json.MarshalIndent(result, "", " ") // cannot fail: the values are plain
		fmt.Fprintln(out, string(data))
		return
	}
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	table(w)
	_ = w.Flush()
}

// drainCommand returns the command drain or undrain.
func (app *cli) drainCommand(verb string) *cobra.Command {
	var id string
	var duration time.Duration
	descriptions := map[string]string{"drain": "Make all instances send nothing new to a server and move its clients away",
		"undrain": "Make all instances use a server as the list of servers says again"}
	cmd := &cobra.Command{
		Use: verb + " SERVER", Short: descriptions[verb], Args: cobra.ExactArgs(1), Long: descriptions[verb] + ".\n\n" + exitCodesHelp,
		Example: "  hatchctl " + verb + " feed-7\n  hatchctl " + verb + " feed-7 --json --within 3s",
		RunE: func(cmd *cobra.Command, args []string) error {
			command := clusterstate.Command{ID: id, Verb: clusterstate.Verb(verb), Server: args[0]}
			if command.ID == "" {
				command.ID = newCommandID()
			}
			command.IssuedAt = logic.Micros(time.Now().UnixMicro())
			if duration > 0 {
				command.ExpiresAt = command.IssuedAt + logic.Micros(duration.Microseconds())
			}
			number, err := app.submit(cmd.Context(), command)
			if err != nil {
				return err
			}
			return app.awaitAnswers(cmd, command, number)
		},
	}
	cmd.Flags().StringVar(&id, "id", "", "ID of the command; a repetition with the same ID is applied once")
	if verb == "drain" {
		cmd.Flags().DurationVar(&duration, "for", 0, "end the drain after this time; never if not given")
	}
	return cmd
}

// statusCommand returns the command status.
func (app *cli) statusCommand() *cobra.Command {
	var watch time.Duration
	cmd := &cobra.Command{
		Use: "status [INSTANCE]", Short: "Show the status of all instances, or of one with its servers", Args: cobra.MaximumNArgs(1),
		Example: "  hatchctl status\n  hatchctl status n3\n  hatchctl status --watch 2s",
		RunE: func(cmd *cobra.Command, args []string) error {
			return runEvery(cmd, watch, func() error {
				v, err := app.view(cmd.Context())
				if err != nil {
					return exitError{exitCannotRun, err.Error()}
				}
				if len(args) == 1 {
					v.Instances = slices.DeleteFunc(v.Instances, func(i agent.InstanceView) bool { return i.Name != args[0] })
					if len(v.Instances) == 0 {
						return exitError{exitCannotRun, fmt.Sprintf("no instance is named %q", args[0])}
					}
				}
				app.print(cmd.OutOrStdout(), v, func(w io.Writer) { printStatus(w, v, len(args) == 1) })
				return nil
			})
		},
	}
	cmd.Flags().DurationVar(&watch, "watch", 0, "repeat at this interval")
	return cmd
}

// runEvery calls a function once, or if the interval is positive, at that interval until it fails or the command is cancelled.
func runEvery(cmd *cobra.Command, interval time.Duration, run func() error) error {
	for {
		if err := run(); err != nil || interval <= 0 {
			return err
		}
		select {
		case <-time.After(interval):
		case <-cmd.Context().Done():
			return nil
		}
	}
}

// printStatus prints the instances as a table, and the servers of the first one if asked to.
func printStatus(w io.Writer, v agent.View, withServers bool) {
	fmt.Fprintln(w, "INSTANCE\tAGENT\tSTATE\tMEMBER\tSTANDING\tLIST\tORDERS\tCONFIG\tUP")
	for _, i := range v.Instances {
		standing, list, orders, config, up := "-", "-", "-", "-", "-"
		if s := i.Status; s != nil {
			standing, list, orders, config = fmt.Sprint(s.EstablishedConnections), fmt.Sprintf("%d, %s old", s.ListVersion, formatAge(s.ListAgeMicros)), fmt.Sprint(len(s.Orders)), s.ConfigHash
			up = formatAge(s.NowMicros - s.StartedMicros)
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\n", i.Name, i.Agent, i.State, i.MemberState, standing, list, orders, config, up)
	}
	for _, name := range v.SilentAgents {
		fmt.Fprintf(w, "(all of it)\t%s\tno answer\t-\t-\t-\t-\t-\t-\n", name)
	}
	if !withServers || v.Instances[0].Status == nil {
		return
	}
	fmt.Fprintln(w, "\nSERVER\tZONE\tSTATE\tLIST\tSTANDING\tPENDING\tFAILURES\tPROBE\tPASSED OVER")
	for _, s := range v.Instances[0].Status.Servers {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%d\t%d\t%.2f\t%.1f ms\t%s\n", s.UID, s.Zone, s.State, s.Listed, s.EstablishedConnections, s.Pending, s.FailureShare, float64(s.ProbeMicros)/1000, s.PassedOverReason)
	}
}

// formatAge formats a number of microseconds, "never" if it is negative.
func formatAge(micros int64) string {
	if micros < 0 {
		return "never"
	}
	return (time.Duration(micros) * time.Microsecond).Round(100 * time.Millisecond).String()
}

// membersCommand returns the command members.
func (app *cli) membersCommand() *cobra.Command {
	members := &cobra.Command{
		Use: "members", Short: "Show the agents and instances, each joining, alive, suspected, lost, back or left", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			v, err := app.view(cmd.Context())
			if err != nil {
				return exitError{exitCannotRun, err.Error()}
			}
			app.print(cmd.OutOrStdout(), v.Members, func(w io.Writer) {
				fmt.Fprintf(w, "agent %s answers; %q leads, term %d\n", v.Agent, v.Leader, v.Term)
				fmt.Fprintf(w, "voters: %s\n", strings.Join(v.Voters, ", "))
				fmt.Fprintln(w, "MEMBER\tKIND\tSTATE\tSINCE")
				for _, m := range v.Members {
					fmt.Fprintf(w, "%s\t%s\t%s\t%s\n", m.Name, m.Kind, m.State, formatAge(int64(v.Now-m.StateSince)))
				}
			})
			return nil
		},
	}
	for action, short := range map[string]string{
		"promote": "Give an agent a vote", "demote": "Remove an agent's vote; the log is still replicated to it",
		"forget": "Remove an agent, for example one whose machine is gone for good",
	} {
		members.AddCommand(&cobra.Command{
			Use: action + " AGENT", Short: short, Args: cobra.ExactArgs(1),
			Long: short + ". Change one agent at a time: a majority of the voters has to accept each change before the next. Keep three or five voters.",
			RunE: func(cmd *cobra.Command, args []string) error {
				err := app.tryAgents(cmd.Context(), func(ctx context.Context, client *agent.Client) error {
					return client.ChangeVoters(ctx, action, args[0])
				})
				if err != nil {
					return exitError{exitNotCommitted, err.Error()}
				}
				fmt.Fprintf(cmd.OutOrStdout(), "%s: %s\n", args[0], action)
				return nil
			},
		})
	}
	return members
}

// ordersCommand returns the command orders.
func (app *cli) ordersCommand() *cobra.Command {
	return &cobra.Command{
		Use: "orders", Short: "Show the most recent committed commands, oldest first", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			v, err := app.view(cmd.Context())
			if err != nil {
				return exitError{exitCannotRun, err.Error()}
			}
			app.print(cmd.OutOrStdout(), v.RecentCommands, func(w io.Writer) {
				fmt.Fprintln(w, "NUMBER\tSAID\tVERB\tOF\tID")
				for _, e := range v.RecentCommands {
					fmt.Fprintf(w, "%d\t%s\t%s\t%s%s\t%s\n", e.Number, time.UnixMicro(int64(e.IssuedAt)).Format(time.DateTime), e.Verb, e.Server, strings.Join(e.Instances, ","), e.ID)
				}
			})
			return nil
		},
	}
}

// resolveInstances returns the given names, or those of all instances if none are given. It fails if an instance does not exist.
func (app *cli) resolveInstances(ctx context.Context, names []string) ([]string, error) {
	v, err := app.view(ctx)
	if err != nil {
		return nil, exitError{exitCannotRun, err.Error()}
	}
	var all []string
	for _, i := range v.Instances {
		all = append(all, i.Name)
	}
	if len(names) == 0 {
		return all, nil
	}
	for _, name := range names {
		if !slices.Contains(all, name) {
			return nil, exitError{exitCannotRun, fmt.Sprintf("no instance is named %q", name)}
		}
	}
	return names, nil
}

// awaitInstances waits until a condition holds for all named instances. It fails if one of them is in a crash loop or the timeout has
// passed.
func (app *cli) awaitInstances(cmd *cobra.Command, names []string, done func(agent.InstanceView) bool) error {
	remaining := names
	for deadline := time.Now().Add(app.timeout); ; time.Sleep(pollInterval) {
		if v, err := app.view(cmd.Context()); err == nil {
			remaining = nil
			for _, i := range v.Instances {
				if !slices.Contains(names, i.Name) || done(i) {
					continue
				}
				if i.State == supervisor.CrashLooping {
					return exitError{exitRefused, fmt.Sprintf("%s is in a crash loop: %s", i.Name, i.Reason)}
				}
				remaining = append(remaining, i.Name)
			}
			if len(remaining) == 0 && len(v.SilentAgents) == 0 {
				return nil
			}
		}
		if time.Now().After(deadline) || cmd.Context().Err() != nil {
			return exitError{exitNoAnswer, fmt.Sprintf("not done after %s: %s", app.timeout, strings.Join(remaining, ", "))}
		}
	}
}

// runCommand returns the command start or stop.
func (app *cli) runCommand(verb string) *cobra.Command {
	return &cobra.Command{
		Use: verb + " INSTANCE...", Short: map[string]string{"start": "Start instances and keep them running", "stop": "Terminate instances and do not start them again"}[verb],
		Args: cobra.MinimumNArgs(1), Example: "  hatchctl " + verb + " n3 n4", Long: exitCodesHelp,
		RunE: func(cmd *cobra.Command, args []string) error {
			names, err := app.resolveInstances(cmd.Context(), args)
			if err != nil {
				return err
			}
			if _, err := app.submit(cmd.Context(), clusterstate.Command{Verb: clusterstate.Verb(verb), Instances: names}); err != nil {
				return err
			}
			return app.awaitInstances(cmd, names, func(i agent.InstanceView) bool {
				if verb == "start" {
					return i.State == supervisor.Ready
				}
				return !i.ShouldRun && i.State == supervisor.Stopped
			})
		},
	}
}

// restartCommand returns the command restart.
func (app *cli) restartCommand() *cobra.Command {
	var rolling bool
	var share float64
	cmd := &cobra.Command{
		Use: "restart [INSTANCE...]", Short: "Restart instances, all or those named",
		Long: `Terminate instances in an orderly way and start them again. With --rolling at most the given share of them (but at least one)
restarts at a time. The next ones follow once all of these are ready; if one does not become ready, the command stops there.

` + exitCodesHelp,
		Example: "  hatchctl restart n3\n  hatchctl restart --rolling --share 0.1 --within 30s",
		RunE: func(cmd *cobra.Command, args []string) error {
			names, err := app.resolveInstances(cmd.Context(), args)
			if err != nil {
				return err
			}
			if rolling && !(share > 0 && share <= 1) {
				return exitError{exitCannotRun, fmt.Sprintf("--share %g is not above 0 and at most 1", share)}
			}
			if v, err := app.view(cmd.Context()); err == nil && rolling && slices.ContainsFunc(v.Duties, func(d agent.DutyView) bool { return d.Duty == agent.Conductor }) {
				return app.rollByConductor(cmd, names, share)
			}
			batch := len(names)
			if rolling {
				batch = max(1, int(share*float64(len(names))+1e-9))
			}
			for group := range slices.Chunk(names, batch) {
				number, err := app.submit(cmd.Context(), clusterstate.Command{Verb: clusterstate.Restart, Instances: group})
				if err != nil {
					return err
				}
				if err := app.awaitInstances(cmd, group, func(i agent.InstanceView) bool { return i.CompletedRestart >= number && i.State == supervisor.Ready }); err != nil {
					return err
				}
				if !app.asJSON {
					fmt.Fprintf(cmd.ErrOrStderr(), "ready again: %s\n", strings.Join(group, ", "))
				}
			}
			app.print(cmd.OutOrStdout(), map[string][]string{"restarted": names}, func(w io.Writer) { fmt.Fprintf(w, "%d restarted\n", len(names)) })
			return nil
		},
	}
	cmd.Flags().BoolVar(&rolling, "rolling", false, "restart a share of the instances at a time")
	cmd.Flags().Float64Var(&share, "share", 0.2, "the share of the instances to restart at a time")
	return cmd
}

// reloadCommand returns the command reload.
func (app *cli) reloadCommand() *cobra.Command {
	return &cobra.Command{
		Use: "reload", Short: "Make all instances reload their configuration", Args: cobra.NoArgs, Long: exitCodesHelp,
		RunE: func(cmd *cobra.Command, _ []string) error {
			var results map[string]string
			err := app.tryAgents(cmd.Context(), func(ctx context.Context, client *agent.Client) (err error) {
				results, err = client.Reload(ctx)
				return err
			})
			if err != nil {
				return exitError{exitCannotRun, err.Error()}
			}
			failed := 0
			var names []string
			for name, result := range results {
				names = append(names, name)
				if result != "obeyed" {
					failed++
				}
			}
			slices.Sort(names)
			app.print(cmd.OutOrStdout(), results, func(w io.Writer) {
				fmt.Fprintln(w, "INSTANCE\tANSWER")
				for _, name := range names {
					fmt.Fprintf(w, "%s\t%s\n", name, results[name])
				}
			})
			if failed > 0 {
				return exitError{exitRefused, fmt.Sprintf("%d did not reload", failed)}
			}
			return nil
		},
	}
}

// waitCommand returns the command wait.
func (app *cli) waitCommand() *cobra.Command {
	return &cobra.Command{
		Use: "wait [INSTANCE...]", Short: "Wait until instances are ready and have answered all orders in effect", Long: exitCodesHelp,
		Example: "  hatchctl wait --within 60s",
		RunE: func(cmd *cobra.Command, args []string) error {
			names, err := app.resolveInstances(cmd.Context(), args)
			if err != nil {
				return err
			}
			v, err := app.view(cmd.Context())
			if err != nil {
				return exitError{exitCannotRun, err.Error()}
			}
			return app.awaitInstances(cmd, names, func(i agent.InstanceView) bool {
				for _, e := range v.Orders {
					if i.OrderResults[e.Server].Number < e.Number {
						return false
					}
				}
				return i.State == supervisor.Ready
			})
		},
	}
}
