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
	defaultTimeout = 10 * time.Second
	pollInterval   = 50 * time.Millisecond
)

// cli is what all commands have in common.
type cli struct {
	agentAddresses []string
	asJSON         bool
	timeout        time.Duration
}

func parseAgents(text string) []string {
	if text == "" {
		return []string{defaultAgent}
	}
	return strings.Split(text, ",")
}

// tryAgents asks one agent after the other until one answers.
func (t *cli) tryAgents(ctx context.Context, ask func(context.Context, *agent.Client) error) error {
	var last error
	for _, at := range t.agentAddresses {
		c := agent.NewClient(at)
		call, cancel := context.WithTimeout(ctx, 8*time.Second)
		last = ask(call, c)
		cancel()
		c.Close()
		if last == nil {
			return nil
		}
		last = fmt.Errorf("agent %s: %w", at, last)
	}
	return last
}

func (t *cli) view(ctx context.Context) (v agent.View, err error) {
	return v, t.tryAgents(ctx, func(ctx context.Context, c *agent.Client) error {
		v, err = c.ClusterView(ctx)
		return err
	})
}

// submit has a command agreed on. It is said again, under the same id, where an agent did not answer.
func (t *cli) submit(ctx context.Context, c clusterstate.Command) (uint64, error) {
	if c.ID == "" {
		c.ID = newCommandID()
	}
	c.IssuedAt = logic.Micros(time.Now().UnixMicro())
	if err := clusterstate.Validate(c); err != nil {
		return 0, err
	}
	var number uint64
	var err error
	for until := time.Now().Add(t.timeout); ; {
		err = t.tryAgents(ctx, func(ctx context.Context, a *agent.Client) error {
			number, err = a.Submit(ctx, c)
			return err
		})
		if err == nil || time.Now().After(until) || ctx.Err() != nil {
			break
		}
		time.Sleep(pollInterval * 2)
	}
	if err != nil {
		return 0, exitError{exitNotAgreed, err.Error()}
	}
	return number, nil
}

func newCommandID() string {
	b := make([]byte, 6)
	_, _ = rand.Read(b) // it never fails
	who := "operator"
	if u, err := user.Current(); err == nil {
		who = u.Username
	}
	return who + "-" + time.Now().UTC().Format("20060102T150405") + "-" + hex.EncodeToString(b)
}

// orderReport is what became of a command at each instance.
type orderReport struct {
	ID           string           `json:"id"`
	Number       uint64           `json:"number"`
	Instances    []instanceAnswer `json:"instances"`
	SilentAgents []string         `json:"silent_agents,omitempty"`
}

type instanceAnswer struct {
	Instance string  `json:"instance"`
	Agent    string  `json:"agent"`
	Verdict  string  `json:"verdict"` // obeyed, unknown, stale, refused, no answer, not running
	Reason   string  `json:"why,omitempty"`
	AfterMS  float64 `json:"after_ms"` // from when the command was said until the instance heard it
}

// collectAnswers tells what each instance has answered to an order so far, and whether all that run have.
func collectAnswers(v agent.View, server string, number uint64, said logic.Micros) (a orderReport, all bool) {
	a, all = orderReport{Number: number, Instances: []instanceAnswer{}, SilentAgents: v.SilentAgents}, len(v.SilentAgents) == 0
	for _, i := range v.Instances {
		x := instanceAnswer{Instance: i.Name, Agent: i.Agent, AfterMS: -1}
		h, known := i.OrderResults[server]
		switch {
		case known && h.Number >= number:
			x.Verdict, x.Reason = string(h.Verdict), h.Reason
			x.AfterMS = math.Max(0, float64(h.ReceivedAt-said)/1000)
		case !i.ShouldRun || i.State == supervisor.Stopped:
			x.Verdict, x.Reason = "not running", "it hears the order at its start"
		case i.State == supervisor.CrashLooping:
			x.Verdict, x.Reason = "no answer", "crash loop: "+i.Reason
			all = false
		default:
			x.Verdict, x.Reason = "no answer", string(i.State)+", "+string(i.MemberState)
			all = false
		}
		a.Instances = append(a.Instances, x)
	}
	return a, all
}

// awaitAnswers waits until all instances have answered an order, or the time is over.
func (t *cli) awaitAnswers(c *cobra.Command, cmd clusterstate.Command, number uint64) error {
	var a orderReport
	var all bool
	for until := time.Now().Add(t.timeout); ; time.Sleep(pollInterval) {
		v, err := t.view(c.Context())
		if err == nil {
			a, all = collectAnswers(v, cmd.Server, number, cmd.IssuedAt)
		}
		if all || time.Now().After(until) || c.Context().Err() != nil {
			break
		}
	}
	a.ID = cmd.ID
	count := map[string]int{}
	for _, x := range a.Instances {
		count[x.Verdict]++
	}
	t.print(c.OutOrStdout(), a, func(w io.Writer) {
		fmt.Fprintln(w, "INSTANCE\tAGENT\tANSWER\tAFTER\tWHY")
		for _, x := range a.Instances {
			after := "-"
			if x.AfterMS >= 0 {
				after = fmt.Sprintf("%.1f ms", x.AfterMS)
			}
			fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\n", x.Instance, x.Agent, x.Verdict, after, x.Reason)
		}
		for _, name := range a.SilentAgents {
			fmt.Fprintf(w, "(all of it)\t%s\tno answer\t-\tthe agent does not answer\n", name)
		}
	})
	switch {
	case count["refused"]+count["stale"] > 0:
		return exitError{exitRefused, fmt.Sprintf("order %d: %d obeyed, %d refused it", number, count["obeyed"], count["refused"]+count["stale"])}
	case count["unknown"] > 0:
		return exitError{exitRefused, fmt.Sprintf("order %d: %d instances know no server %q; the order is kept, and counts should it come", number, count["unknown"], cmd.Server)}
	case !all:
		return exitError{exitNoAnswer, fmt.Sprintf("order %d: %d obeyed, %d have not answered; it is kept, and given to them when they do", number, count["obeyed"], count["no answer"])}
	}
	return nil
}

// print writes a result as JSON or as a table.
func (t *cli) print(out io.Writer, what any, table func(io.Writer)) {
	if t.asJSON {
		text, _ := json.MarshalIndent(what, "", " ") // plain values
		fmt.Fprintln(out, string(text))
		return
	}
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	table(w)
	_ = w.Flush()
}

func (t *cli) drainCommand(verb string) *cobra.Command {
	var id string
	var span time.Duration
	what := map[string]string{"drain": "Have all instances send nothing new to a server and move who stands there",
		"undrain": "Have all instances take a server as the list has it again"}
	c := &cobra.Command{
		Use: verb + " SERVER", Short: what[verb], Args: cobra.ExactArgs(1), Long: what[verb] + ".\n\n" + exitCodesHelp,
		Example: "  hatchctl " + verb + " feed-7\n  hatchctl " + verb + " feed-7 --json --within 3s",
		RunE: func(c *cobra.Command, args []string) error {
			cmd := clusterstate.Command{ID: id, Verb: clusterstate.Verb(verb), Server: args[0]}
			if cmd.ID == "" {
				cmd.ID = newCommandID()
			}
			cmd.IssuedAt = logic.Micros(time.Now().UnixMicro())
			if span > 0 {
				cmd.ExpiresAt = cmd.IssuedAt + logic.Micros(span.Microseconds())
			}
			number, err := t.submit(c.Context(), cmd)
			if err != nil {
				return err
			}
			return t.awaitAnswers(c, cmd, number)
		},
	}
	c.Flags().StringVar(&id, "id", "", "the command's id; one said twice counts once")
	if verb == "drain" {
		c.Flags().DurationVar(&span, "for", 0, "how long; for ever if not given")
	}
	return c
}

func (t *cli) statusCommand() *cobra.Command {
	var watch time.Duration
	c := &cobra.Command{
		Use: "status [INSTANCE]", Short: "What each instance sees; of one, with its servers", Args: cobra.MaximumNArgs(1),
		Example: "  hatchctl status\n  hatchctl status n3\n  hatchctl status --watch 2s",
		RunE: func(c *cobra.Command, args []string) error {
			return runEvery(c, watch, func() error {
				v, err := t.view(c.Context())
				if err != nil {
					return exitError{exitCannotRun, err.Error()}
				}
				if len(args) == 1 {
					v.Instances = slices.DeleteFunc(v.Instances, func(i agent.InstanceView) bool { return i.Name != args[0] })
					if len(v.Instances) == 0 {
						return exitError{exitCannotRun, fmt.Sprintf("there is no instance %q", args[0])}
					}
				}
				t.print(c.OutOrStdout(), v, func(w io.Writer) { printStatus(w, v, len(args) == 1) })
				return nil
			})
		},
	}
	c.Flags().DurationVar(&watch, "watch", 0, "tell it again whenever so much time has passed")
	return c
}

// runEvery tells something once, or again whenever so much time has passed.
func runEvery(c *cobra.Command, every time.Duration, tell func() error) error {
	for {
		if err := tell(); err != nil || every <= 0 {
			return err
		}
		select {
		case <-time.After(every):
		case <-c.Context().Done():
			return nil
		}
	}
}

func printStatus(w io.Writer, v agent.View, servers bool) {
	fmt.Fprintln(w, "INSTANCE\tAGENT\tSTATE\tMEMBER\tSTANDING\tLIST\tORDERS\tCONFIG\tUP")
	for _, i := range v.Instances {
		standing, list, held, config, up := "-", "-", "-", "-", "-"
		if s := i.Status; s != nil {
			standing, list, held, config = fmt.Sprint(s.Standing), fmt.Sprintf("%d, %s old", s.ListVersion, formatAge(s.ListAgeMicros)), fmt.Sprint(len(s.Orders)), s.ConfigHash
			up = formatAge(s.NowMicros - s.StartedMicros)
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\n", i.Name, i.Agent, i.State, i.MemberState, standing, list, held, config, up)
	}
	for _, name := range v.SilentAgents {
		fmt.Fprintf(w, "(all of it)\t%s\tno answer\t-\t-\t-\t-\t-\t-\n", name)
	}
	if !servers || v.Instances[0].Status == nil {
		return
	}
	fmt.Fprintln(w, "\nSERVER\tZONE\tSTATE\tLIST\tSTANDING\tPENDING\tFAILURES\tPROBE\tPASSED OVER")
	for _, s := range v.Instances[0].Status.Servers {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%d\t%d\t%.2f\t%.1f ms\t%s\n", s.UID, s.Zone, s.State, s.Listed, s.Standing, s.Pending, s.Failures, float64(s.ProbeMicros)/1000, s.PassedOverReason)
	}
}

func formatAge(micros int64) string {
	if micros < 0 {
		return "never"
	}
	return (time.Duration(micros) * time.Microsecond).Round(100 * time.Millisecond).String()
}

func (t *cli) membersCommand() *cobra.Command {
	members := &cobra.Command{
		Use: "members", Short: "Who is there: agents and instances, joining, alive, suspected, lost, back or left", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			v, err := t.view(c.Context())
			if err != nil {
				return exitError{exitCannotRun, err.Error()}
			}
			t.print(c.OutOrStdout(), v.Members, func(w io.Writer) {
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
	for what, short := range map[string]string{
		"promote": "Give an agent a vote", "demote": "Take an agent's vote; it goes on hearing what is agreed on",
		"forget": "Take an agent out, as one whose machine is gone for good",
	} {
		members.AddCommand(&cobra.Command{
			Use: what + " AGENT", Short: short, Args: cobra.ExactArgs(1),
			Long: short + ". One at a time: each is agreed on by most voters before the next. Keep three or five.",
			RunE: func(c *cobra.Command, args []string) error {
				err := t.tryAgents(c.Context(), func(ctx context.Context, a *agent.Client) error { return a.ChangeVoters(ctx, what, args[0]) })
				if err != nil {
					return exitError{exitNotAgreed, err.Error()}
				}
				fmt.Fprintf(c.OutOrStdout(), "%s: %s\n", args[0], what)
				return nil
			},
		})
	}
	return members
}

func (t *cli) ordersCommand() *cobra.Command {
	return &cobra.Command{
		Use: "orders", Short: "The commands that were agreed on, oldest first", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			v, err := t.view(c.Context())
			if err != nil {
				return exitError{exitCannotRun, err.Error()}
			}
			t.print(c.OutOrStdout(), v.RecentCommands, func(w io.Writer) {
				fmt.Fprintln(w, "NUMBER\tSAID\tVERB\tOF\tID")
				for _, e := range v.RecentCommands {
					fmt.Fprintf(w, "%d\t%s\t%s\t%s%s\t%s\n", e.Number, time.UnixMicro(int64(e.IssuedAt)).Format(time.DateTime), e.Verb, e.Server, strings.Join(e.Instances, ","), e.ID)
				}
			})
			return nil
		},
	}
}

// resolveInstances are those that are named, or all.
func (t *cli) resolveInstances(ctx context.Context, names []string) ([]string, error) {
	v, err := t.view(ctx)
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
			return nil, exitError{exitCannotRun, fmt.Sprintf("there is no instance %q", name)}
		}
	}
	return names, nil
}

// awaitInstances waits until instances are as wanted.
func (t *cli) awaitInstances(c *cobra.Command, names []string, good func(agent.InstanceView) bool) error {
	left := names
	for until := time.Now().Add(t.timeout); ; time.Sleep(pollInterval) {
		if v, err := t.view(c.Context()); err == nil {
			left = nil
			for _, i := range v.Instances {
				if !slices.Contains(names, i.Name) || good(i) {
					continue
				}
				if i.State == supervisor.CrashLooping {
					return exitError{exitRefused, fmt.Sprintf("%s is in a crash loop: %s", i.Name, i.Reason)}
				}
				left = append(left, i.Name)
			}
			if len(left) == 0 && len(v.SilentAgents) == 0 {
				return nil
			}
		}
		if time.Now().After(until) || c.Context().Err() != nil {
			return exitError{exitNoAnswer, fmt.Sprintf("not there in %s: %s", t.timeout, strings.Join(left, ", "))}
		}
	}
}

func (t *cli) runCommand(verb string) *cobra.Command {
	return &cobra.Command{
		Use: verb + " INSTANCE...", Short: map[string]string{"start": "Have instances run", "stop": "Have instances leave, and not come back"}[verb],
		Args: cobra.MinimumNArgs(1), Example: "  hatchctl " + verb + " n3 n4", Long: exitCodesHelp,
		RunE: func(c *cobra.Command, args []string) error {
			names, err := t.resolveInstances(c.Context(), args)
			if err != nil {
				return err
			}
			if _, err := t.submit(c.Context(), clusterstate.Command{Verb: clusterstate.Verb(verb), Instances: names}); err != nil {
				return err
			}
			return t.awaitInstances(c, names, func(i agent.InstanceView) bool {
				if verb == "start" {
					return i.State == supervisor.Ready
				}
				return !i.ShouldRun && i.State == supervisor.Stopped
			})
		},
	}
}

func (t *cli) restartCommand() *cobra.Command {
	var rolling bool
	var share float64
	c := &cobra.Command{
		Use: "restart [INSTANCE...]", Short: "Have instances start anew, all or those named",
		Long: `Have instances leave in good order and start anew. With --rolling never more than the stated share is away at once (one
at the least), each is waited for until it is ready, and the first that is not ends the whole.

` + exitCodesHelp,
		Example: "  hatchctl restart n3\n  hatchctl restart --rolling --share 0.1 --within 30s",
		RunE: func(c *cobra.Command, args []string) error {
			names, err := t.resolveInstances(c.Context(), args)
			if err != nil {
				return err
			}
			if rolling && !(share > 0 && share <= 1) {
				return exitError{exitCannotRun, fmt.Sprintf("--share %g is not between 0 and 1", share)}
			}
			if v, err := t.view(c.Context()); err == nil && rolling && slices.ContainsFunc(v.Duties, func(d agent.DutyView) bool { return d.Duty == agent.Conductor }) {
				return t.rollByConductor(c, names, share)
			}
			batch := len(names)
			if rolling {
				batch = max(1, int(share*float64(len(names))+1e-9))
			}
			for some := range slices.Chunk(names, batch) {
				number, err := t.submit(c.Context(), clusterstate.Command{Verb: clusterstate.Restart, Instances: some})
				if err != nil {
					return err
				}
				if err := t.awaitInstances(c, some, func(i agent.InstanceView) bool { return i.CompletedRestart >= number && i.State == supervisor.Ready }); err != nil {
					return err
				}
				if !t.asJSON {
					fmt.Fprintf(c.ErrOrStderr(), "ready again: %s\n", strings.Join(some, ", "))
				}
			}
			t.print(c.OutOrStdout(), map[string][]string{"restarted": names}, func(w io.Writer) { fmt.Fprintf(w, "%d restarted\n", len(names)) })
			return nil
		},
	}
	c.Flags().BoolVar(&rolling, "rolling", false, "a share at a time")
	c.Flags().Float64Var(&share, "share", 0.2, "the share that may be away at once")
	return c
}

func (t *cli) reloadCommand() *cobra.Command {
	return &cobra.Command{
		Use: "reload", Short: "Have all instances read their configuration again", Args: cobra.NoArgs, Long: exitCodesHelp,
		RunE: func(c *cobra.Command, _ []string) error {
			var results map[string]string
			err := t.tryAgents(c.Context(), func(ctx context.Context, a *agent.Client) (err error) {
				results, err = a.Reload(ctx)
				return err
			})
			if err != nil {
				return exitError{exitCannotRun, err.Error()}
			}
			bad := 0
			var names []string
			for name, word := range results {
				names = append(names, name)
				if word != "obeyed" {
					bad++
				}
			}
			slices.Sort(names)
			t.print(c.OutOrStdout(), results, func(w io.Writer) {
				fmt.Fprintln(w, "INSTANCE\tANSWER")
				for _, name := range names {
					fmt.Fprintf(w, "%s\t%s\n", name, results[name])
				}
			})
			if bad > 0 {
				return exitError{exitRefused, fmt.Sprintf("%d did not", bad)}
			}
			return nil
		},
	}
}

func (t *cli) waitCommand() *cobra.Command {
	return &cobra.Command{
		Use: "wait [INSTANCE...]", Short: "Wait until instances are ready, and have heard all orders that stand", Long: exitCodesHelp,
		Example: "  hatchctl wait --within 60s",
		RunE: func(c *cobra.Command, args []string) error {
			names, err := t.resolveInstances(c.Context(), args)
			if err != nil {
				return err
			}
			v, err := t.view(c.Context())
			if err != nil {
				return exitError{exitCannotRun, err.Error()}
			}
			return t.awaitInstances(c, names, func(i agent.InstanceView) bool {
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
