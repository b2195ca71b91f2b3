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
	"hatchproxy/agent/keeper"
	"hatchproxy/agent/wanted"
	"hatchproxy/logic"
)

const (
	defaultAgent  = "127.0.0.1:7070"
	defaultWithin = 10 * time.Second
	asking        = 50 * time.Millisecond
)

// tool is what all commands have in common.
type tool struct {
	agents []string
	json   bool
	within time.Duration
}

func agentsFrom(text string) []string {
	if text == "" {
		return []string{defaultAgent}
	}
	return strings.Split(text, ",")
}

// each asks one agent after the other until one answers.
func (t *tool) each(ctx context.Context, ask func(context.Context, *agent.Client) error) error {
	var last error
	for _, at := range t.agents {
		c := agent.Dial(at)
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

func (t *tool) view(ctx context.Context) (v agent.View, err error) {
	return v, t.each(ctx, func(ctx context.Context, c *agent.Client) error {
		v, err = c.Whole(ctx)
		return err
	})
}

// say has a command agreed on. It is said again, under the same id, where an agent did not answer.
func (t *tool) say(ctx context.Context, c wanted.Command) (uint64, error) {
	if c.ID == "" {
		c.ID = newID()
	}
	c.Said = logic.Micros(time.Now().UnixMicro())
	if err := wanted.Check(c); err != nil {
		return 0, err
	}
	var number uint64
	var err error
	for until := time.Now().Add(t.within); ; {
		err = t.each(ctx, func(ctx context.Context, a *agent.Client) error {
			number, err = a.Say(ctx, c)
			return err
		})
		if err == nil || time.Now().After(until) || ctx.Err() != nil {
			break
		}
		time.Sleep(asking * 2)
	}
	if err != nil {
		return 0, exit{notAgreed, err.Error()}
	}
	return number, nil
}

func newID() string {
	b := make([]byte, 6)
	_, _ = rand.Read(b) // it never fails
	who := "operator"
	if u, err := user.Current(); err == nil {
		who = u.Username
	}
	return who + "-" + time.Now().UTC().Format("20060102T150405") + "-" + hex.EncodeToString(b)
}

// answers is what became of a command at each instance.
type answers struct {
	ID        string   `json:"id"`
	Number    uint64   `json:"number"`
	Instances []answer `json:"instances"`
	Silent    []string `json:"silent_agents,omitempty"`
}

type answer struct {
	Instance string  `json:"instance"`
	Agent    string  `json:"agent"`
	Verdict  string  `json:"verdict"` // obeyed, unknown, stale, refused, no answer, not running
	Why      string  `json:"why,omitempty"`
	AfterMS  float64 `json:"after_ms"` // from when the command was said until the instance heard it
}

// heard tells what each instance has answered to an order so far, and whether all that run have.
func heard(v agent.View, server string, number uint64, said logic.Micros) (a answers, all bool) {
	a, all = answers{Number: number, Instances: []answer{}, Silent: v.Silent}, len(v.Silent) == 0
	for _, i := range v.Instances {
		x := answer{Instance: i.Name, Agent: i.Agent, AfterMS: -1}
		h, known := i.Heard[server]
		switch {
		case known && h.Number >= number:
			x.Verdict, x.Why = string(h.Verdict), h.Why
			x.AfterMS = math.Max(0, float64(h.At-said)/1000)
		case !i.Wanted || i.State == keeper.Stopped:
			x.Verdict, x.Why = "not running", "it hears the order at its start"
		case i.State == keeper.Looping:
			x.Verdict, x.Why = "no answer", "crash loop: "+i.Why
			all = false
		default:
			x.Verdict, x.Why = "no answer", string(i.State)+", "+string(i.Member)
			all = false
		}
		a.Instances = append(a.Instances, x)
	}
	return a, all
}

// follow waits until all instances have answered an order, or the time is over.
func (t *tool) follow(c *cobra.Command, cmd wanted.Command, number uint64) error {
	var a answers
	var all bool
	for until := time.Now().Add(t.within); ; time.Sleep(asking) {
		v, err := t.view(c.Context())
		if err == nil {
			a, all = heard(v, cmd.Server, number, cmd.Said)
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
			fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\n", x.Instance, x.Agent, x.Verdict, after, x.Why)
		}
		for _, name := range a.Silent {
			fmt.Fprintf(w, "(all of it)\t%s\tno answer\t-\tthe agent does not answer\n", name)
		}
	})
	switch {
	case count["refused"]+count["stale"] > 0:
		return exit{refused, fmt.Sprintf("order %d: %d obeyed, %d refused it", number, count["obeyed"], count["refused"]+count["stale"])}
	case count["unknown"] > 0:
		return exit{refused, fmt.Sprintf("order %d: %d instances know no server %q; the order is kept, and counts should it come", number, count["unknown"], cmd.Server)}
	case !all:
		return exit{noAnswer, fmt.Sprintf("order %d: %d obeyed, %d have not answered; it is kept, and given to them when they do", number, count["obeyed"], count["no answer"])}
	}
	return nil
}

// print writes a result as JSON or as a table.
func (t *tool) print(out io.Writer, what any, table func(io.Writer)) {
	if t.json {
		text, _ := json.MarshalIndent(what, "", " ") // plain values
		fmt.Fprintln(out, string(text))
		return
	}
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	table(w)
	_ = w.Flush()
}

func (t *tool) drainCommand(verb string) *cobra.Command {
	var id string
	var span time.Duration
	what := map[string]string{"drain": "Have all instances send nothing new to a server and move who stands there",
		"undrain": "Have all instances take a server as the list has it again"}
	c := &cobra.Command{
		Use: verb + " SERVER", Short: what[verb], Args: cobra.ExactArgs(1), Long: what[verb] + ".\n\n" + usageWords,
		Example: "  hatchctl " + verb + " feed-7\n  hatchctl " + verb + " feed-7 --json --within 3s",
		RunE: func(c *cobra.Command, args []string) error {
			cmd := wanted.Command{ID: id, Verb: wanted.Verb(verb), Server: args[0]}
			if cmd.ID == "" {
				cmd.ID = newID()
			}
			cmd.Said = logic.Micros(time.Now().UnixMicro())
			if span > 0 {
				cmd.Until = cmd.Said + logic.Micros(span.Microseconds())
			}
			number, err := t.say(c.Context(), cmd)
			if err != nil {
				return err
			}
			return t.follow(c, cmd, number)
		},
	}
	c.Flags().StringVar(&id, "id", "", "the command's id; one said twice counts once")
	if verb == "drain" {
		c.Flags().DurationVar(&span, "for", 0, "how long; for ever if not given")
	}
	return c
}

func (t *tool) statusCommand() *cobra.Command {
	var watch time.Duration
	c := &cobra.Command{
		Use: "status [INSTANCE]", Short: "What each instance sees; of one, with its servers", Args: cobra.MaximumNArgs(1),
		Example: "  hatchctl status\n  hatchctl status n3\n  hatchctl status --watch 2s",
		RunE: func(c *cobra.Command, args []string) error {
			return watching(c, watch, func() error {
				v, err := t.view(c.Context())
				if err != nil {
					return exit{cannotRun, err.Error()}
				}
				if len(args) == 1 {
					v.Instances = slices.DeleteFunc(v.Instances, func(i agent.InstanceView) bool { return i.Name != args[0] })
					if len(v.Instances) == 0 {
						return exit{cannotRun, fmt.Sprintf("there is no instance %q", args[0])}
					}
				}
				t.print(c.OutOrStdout(), v, func(w io.Writer) { tellStatus(w, v, len(args) == 1) })
				return nil
			})
		},
	}
	c.Flags().DurationVar(&watch, "watch", 0, "tell it again whenever so much time has passed")
	return c
}

// watching tells something once, or again whenever so much time has passed.
func watching(c *cobra.Command, every time.Duration, tell func() error) error {
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

func tellStatus(w io.Writer, v agent.View, servers bool) {
	fmt.Fprintln(w, "INSTANCE\tAGENT\tSTATE\tMEMBER\tSTANDING\tLIST\tORDERS\tCONFIG\tUP")
	for _, i := range v.Instances {
		standing, list, held, config, up := "-", "-", "-", "-", "-"
		if s := i.Status; s != nil {
			standing, list, held, config = fmt.Sprint(s.Standing), fmt.Sprintf("%d, %s old", s.ListVersion, age(s.ListAgeMicros)), fmt.Sprint(len(s.Orders)), s.ConfigHash
			up = age(s.NowMicros - s.StartedMicros)
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\n", i.Name, i.Agent, i.State, i.Member, standing, list, held, config, up)
	}
	for _, name := range v.Silent {
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

func age(micros int64) string {
	if micros < 0 {
		return "never"
	}
	return (time.Duration(micros) * time.Microsecond).Round(100 * time.Millisecond).String()
}

func (t *tool) membersCommand() *cobra.Command {
	members := &cobra.Command{
		Use: "members", Short: "Who is there: agents and instances, joining, alive, suspected, lost, back or left", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			v, err := t.view(c.Context())
			if err != nil {
				return exit{cannotRun, err.Error()}
			}
			t.print(c.OutOrStdout(), v.Members, func(w io.Writer) {
				fmt.Fprintf(w, "agent %s answers; %q leads, term %d\n", v.Agent, v.Leader, v.Term)
				fmt.Fprintf(w, "voters: %s\n", strings.Join(v.Voters, ", "))
				fmt.Fprintln(w, "MEMBER\tKIND\tSTATE\tSINCE")
				for _, m := range v.Members {
					fmt.Fprintf(w, "%s\t%s\t%s\t%s\n", m.Name, m.Kind, m.State, age(int64(v.Now-m.Since)))
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
				err := t.each(c.Context(), func(ctx context.Context, a *agent.Client) error { return a.Voters(ctx, what, args[0]) })
				if err != nil {
					return exit{notAgreed, err.Error()}
				}
				fmt.Fprintf(c.OutOrStdout(), "%s: %s\n", args[0], what)
				return nil
			},
		})
	}
	return members
}

func (t *tool) ordersCommand() *cobra.Command {
	return &cobra.Command{
		Use: "orders", Short: "The commands that were agreed on, oldest first", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			v, err := t.view(c.Context())
			if err != nil {
				return exit{cannotRun, err.Error()}
			}
			t.print(c.OutOrStdout(), v.Past, func(w io.Writer) {
				fmt.Fprintln(w, "NUMBER\tSAID\tVERB\tOF\tID")
				for _, e := range v.Past {
					fmt.Fprintf(w, "%d\t%s\t%s\t%s%s\t%s\n", e.Number, time.UnixMicro(int64(e.Said)).Format(time.DateTime), e.Verb, e.Server, strings.Join(e.Instances, ","), e.ID)
				}
			})
			return nil
		},
	}
}

// instances are those that are named, or all.
func (t *tool) instances(ctx context.Context, names []string) ([]string, error) {
	v, err := t.view(ctx)
	if err != nil {
		return nil, exit{cannotRun, err.Error()}
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
			return nil, exit{cannotRun, fmt.Sprintf("there is no instance %q", name)}
		}
	}
	return names, nil
}

// await waits until instances are as wanted.
func (t *tool) await(c *cobra.Command, names []string, good func(agent.InstanceView) bool) error {
	left := names
	for until := time.Now().Add(t.within); ; time.Sleep(asking) {
		if v, err := t.view(c.Context()); err == nil {
			left = nil
			for _, i := range v.Instances {
				if !slices.Contains(names, i.Name) || good(i) {
					continue
				}
				if i.State == keeper.Looping {
					return exit{refused, fmt.Sprintf("%s is in a crash loop: %s", i.Name, i.Why)}
				}
				left = append(left, i.Name)
			}
			if len(left) == 0 && len(v.Silent) == 0 {
				return nil
			}
		}
		if time.Now().After(until) || c.Context().Err() != nil {
			return exit{noAnswer, fmt.Sprintf("not there in %s: %s", t.within, strings.Join(left, ", "))}
		}
	}
}

func (t *tool) runCommand(verb string) *cobra.Command {
	return &cobra.Command{
		Use: verb + " INSTANCE...", Short: map[string]string{"start": "Have instances run", "stop": "Have instances leave, and not come back"}[verb],
		Args: cobra.MinimumNArgs(1), Example: "  hatchctl " + verb + " n3 n4", Long: usageWords,
		RunE: func(c *cobra.Command, args []string) error {
			names, err := t.instances(c.Context(), args)
			if err != nil {
				return err
			}
			if _, err := t.say(c.Context(), wanted.Command{Verb: wanted.Verb(verb), Instances: names}); err != nil {
				return err
			}
			return t.await(c, names, func(i agent.InstanceView) bool {
				if verb == "start" {
					return i.State == keeper.Ready
				}
				return !i.Wanted && i.State == keeper.Stopped
			})
		},
	}
}

func (t *tool) restartCommand() *cobra.Command {
	var rolling bool
	var share float64
	c := &cobra.Command{
		Use: "restart [INSTANCE...]", Short: "Have instances start anew, all or those named",
		Long: `Have instances leave in good order and start anew. With --rolling never more than the stated share is away at once (one
at the least), each is waited for until it is ready, and the first that is not ends the whole.

` + usageWords,
		Example: "  hatchctl restart n3\n  hatchctl restart --rolling --share 0.1 --within 30s",
		RunE: func(c *cobra.Command, args []string) error {
			names, err := t.instances(c.Context(), args)
			if err != nil {
				return err
			}
			if rolling && !(share > 0 && share <= 1) {
				return exit{cannotRun, fmt.Sprintf("--share %g is not between 0 and 1", share)}
			}
			if v, err := t.view(c.Context()); err == nil && rolling && slices.ContainsFunc(v.Duties, func(d agent.DutyView) bool { return d.Duty == agent.Conductor }) {
				return t.conducted(c, names, share)
			}
			batch := len(names)
			if rolling {
				batch = max(1, int(share*float64(len(names))+1e-9))
			}
			for some := range slices.Chunk(names, batch) {
				number, err := t.say(c.Context(), wanted.Command{Verb: wanted.Restart, Instances: some})
				if err != nil {
					return err
				}
				if err := t.await(c, some, func(i agent.InstanceView) bool { return i.Restarted >= number && i.State == keeper.Ready }); err != nil {
					return err
				}
				if !t.json {
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

func (t *tool) reloadCommand() *cobra.Command {
	return &cobra.Command{
		Use: "reload", Short: "Have all instances read their configuration again", Args: cobra.NoArgs, Long: usageWords,
		RunE: func(c *cobra.Command, _ []string) error {
			var results map[string]string
			err := t.each(c.Context(), func(ctx context.Context, a *agent.Client) (err error) {
				results, err = a.Reload(ctx)
				return err
			})
			if err != nil {
				return exit{cannotRun, err.Error()}
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
				return exit{refused, fmt.Sprintf("%d did not", bad)}
			}
			return nil
		},
	}
}

func (t *tool) waitCommand() *cobra.Command {
	return &cobra.Command{
		Use: "wait [INSTANCE...]", Short: "Wait until instances are ready, and have heard all orders that stand", Long: usageWords,
		Example: "  hatchctl wait --within 60s",
		RunE: func(c *cobra.Command, args []string) error {
			names, err := t.instances(c.Context(), args)
			if err != nil {
				return err
			}
			v, err := t.view(c.Context())
			if err != nil {
				return exit{cannotRun, err.Error()}
			}
			return t.await(c, names, func(i agent.InstanceView) bool {
				for _, e := range v.Orders {
					if i.Heard[e.Server].Number < e.Number {
						return false
					}
				}
				return i.State == keeper.Ready
			})
		},
	}
}
