package main

import (
	"context"
	_ "embed"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"time"

	"github.com/spf13/cobra"

	"hatchproxy/lab/experiment"
	"hatchproxy/lab/report"
)

// stage is what the commands that play have in common.
type stage struct {
	proxy    string
	agent    string
	keep     string
	seeds    []uint
	quick    bool
	jsonPath string
	html     string
	ways     []string
	quiet    bool
	noCost   bool
}

func (s *stage) flags(c *cobra.Command) {
	f := c.Flags()
	f.StringVar(&s.proxy, "proxy", "", "the hatchproxy program; built from ./cmd/hatchproxy if not given")
	f.StringVar(&s.agent, "agent", "", "the hatchagent program, where the experiment has agents; built if not given")
	f.StringVar(&s.keep, "keep", "", "a folder in which the proxies' configurations and logs stay")
	f.UintSliceVar(&s.seeds, "seed", nil, "seeds to play, instead of the file's")
	f.BoolVar(&s.quick, "quick", false, "the first seed only, at most 40 s of it: ends within 60 s")
	f.StringVar(&s.jsonPath, "json", "", "a file for all that was seen, as JSON; - for standard output")
	f.StringVar(&s.html, "html", "", "a file for the report, one page with pictures")
	f.StringSliceVar(&s.ways, "way", []string{string(experiment.ByProxies)}, "who places the connections: proxies, or a baseline without any (random, straight, best)")
	f.BoolVar(&s.quiet, "quiet", false, "no progress")
	f.BoolVar(&s.noCost, "no-cost", false, "a report without the proxy's own path beside a bare relay's (some 25 s)")
}

func (s *stage) tell(out io.Writer) func(string, ...any) {
	return func(format string, a ...any) {
		if !s.quiet {
			fmt.Fprintf(out, "  "+format+"\n", a...)
		}
	}
}

// build makes the proxy where none is named, and the agent where one is needed. done takes them away again.
func (s *stage) build(ctx context.Context, agents bool) (binary, agent string, done func(), err error) {
	binary, proxyDone, err := program(ctx, s.proxy, "hatchproxy", "--proxy")
	if err != nil || !agents {
		return binary, "", proxyDone, err
	}
	agent, agentDone, err := program(ctx, s.agent, "hatchagent", "--agent")
	if err != nil {
		proxyDone()
		return "", "", nil, err
	}
	return binary, agent, func() {
		proxyDone()
		agentDone()
	}, nil
}

// program finds a program or builds it.
func program(ctx context.Context, named, name, flag string) (binary string, done func(), err error) {
	if named != "" {
		binary, err := filepath.Abs(named)
		if err == nil {
			_, err = os.Stat(binary)
		}
		return binary, func() {}, err
	}
	folder, err := os.MkdirTemp("", "hatchlab-build-")
	if err != nil {
		return "", nil, err
	}
	done = func() { _ = os.RemoveAll(folder) }
	binary = filepath.Join(folder, name)
	text, err := exec.CommandContext(ctx, "go", "build", "-o", binary, "./cmd/"+name).CombinedOutput()
	if err != nil {
		done()
		return "", nil, fmt.Errorf("%s cannot be built here; name one with %s: %w\n%s", name, flag, err, text)
	}
	return binary, done, nil
}

// seedsOf are the seeds to play.
func (s *stage) seedsOf(f *experiment.File) []uint64 {
	seeds := f.Seeds
	if len(s.seeds) > 0 {
		seeds = nil
		for _, x := range s.seeds {
			seeds = append(seeds, uint64(x))
		}
	}
	if s.quick {
		seeds = seeds[:1]
	}
	return seeds
}

// order is one run of a build.
func (s *stage) play(ctx context.Context, f *experiment.File, binary string, way experiment.Way, seed uint64, out io.Writer) (*experiment.Result, error) {
	folder := s.keep
	if folder == "" {
		made, err := os.MkdirTemp("", "hatchlab-run-")
		if err != nil {
			return nil, err
		}
		defer os.RemoveAll(made)
		folder = made
	} else {
		// A folder for each run: agents would go on from the log of the one before.
		folder = filepath.Join(folder, fmt.Sprintf("%s-%s-%d-%s", f.Name, way, seed, time.Now().Format("150405")))
		if err := os.MkdirAll(folder, 0o700); err != nil {
			return nil, err
		}
	}
	return f.Run(ctx, experiment.Order{Seed: seed, Way: way, Binary: binary, Agent: s.agent, Folder: folder, Quick: s.quick, Tell: s.tell(out)})
}

func runCommand() *cobra.Command {
	var s stage
	c := &cobra.Command{
		Use:   "run FILE",
		Short: "Play an experiment and hold it beside what it expects",
		Example: `  hatchlab run experiments/calm.toml
  hatchlab run experiments/surge.toml --seed 7,8,9 --html surge.html --json surge.json
  hatchlab run experiments/slow-quarter.toml --way proxies,random,best --quick`,
		Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			f, err := experiment.Read(args[0])
			if err != nil {
				return err
			}
			return s.run(c, f)
		},
	}
	s.flags(c)
	return c
}

func (s *stage) run(c *cobra.Command, f *experiment.File) error {
	binary, done := "", func() {}
	var err error
	for _, way := range s.ways {
		if !slices.Contains(experiment.Ways, experiment.Way(way)) {
			return fmt.Errorf("--way: %q is none of %v", way, experiment.Ways)
		}
	}
	if slices.Contains(s.ways, string(experiment.ByProxies)) {
		var agent string
		if binary, agent, done, err = s.build(c.Context(), f.Control.Agents > 0); err != nil {
			return err
		}
		s.agent = agent
	}
	defer done()
	progress := c.ErrOrStderr()
	var results []*experiment.Result
	good := true
	for _, seed := range s.seedsOf(f) {
		for _, way := range s.ways {
			r, err := s.play(c.Context(), f, binary, experiment.Way(way), seed, progress)
			if err != nil {
				return fmt.Errorf("seed %d: %w", seed, err)
			}
			results = append(results, r)
			good = good && len(r.Shortfalls) == 0
			if s.jsonPath != "-" {
				report.Summary(c.OutOrStdout(), r, terminal(c.OutOrStdout()))
			}
		}
	}
	var costs []*experiment.Cost
	if s.html != "" && !s.noCost && binary != "" {
		var err error
		if costs, err = s.costs(c, binary, []uint{1, 400}, 1); err != nil {
			return err
		}
	}
	if err := s.write(c, f, results, costs); err != nil {
		return err
	}
	if !good {
		return errShort
	}
	return nil
}

// write leaves the files that were asked for.
func (s *stage) write(c *cobra.Command, f *experiment.File, results []*experiment.Result, costs []*experiment.Cost) error {
	if s.jsonPath != "" {
		text, err := json.MarshalIndent(results, "", " ")
		if err != nil {
			return err
		}
		if s.jsonPath == "-" {
			fmt.Fprintln(c.OutOrStdout(), string(text))
		} else if err := os.WriteFile(s.jsonPath, append(text, '\n'), 0o644); err != nil {
			return err
		}
	}
	if s.html == "" {
		return nil
	}
	out, err := os.Create(s.html)
	if err != nil {
		return err
	}
	return errors.Join(report.Page(out, "Experiment "+f.Name, f.About, results, costs), out.Close())
}

// terminal tells whether colour makes sense.
func terminal(w io.Writer) bool {
	f, is := w.(*os.File)
	if !is || os.Getenv("NO_COLOR") != "" {
		return false
	}
	info, err := f.Stat()
	return err == nil && info.Mode()&os.ModeCharDevice != 0
}

func checkCommand() *cobra.Command {
	return &cobra.Command{
		Use: "check FILE...", Short: "Read experiments and say what is wrong with them, each with file and line",
		Example: "  hatchlab check experiments/*.toml", Args: cobra.MinimumNArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			var faults []error
			for _, path := range args {
				f, err := experiment.Read(path)
				if err != nil {
					faults = append(faults, err)
					continue
				}
				fmt.Fprintf(c.OutOrStdout(), "%s: good: %s\n", path, f.About)
			}
			return errors.Join(faults...)
		},
	}
}

func figuresCommand() *cobra.Command {
	return &cobra.Command{
		Use: "figures", Short: "List the figures of a run, as `expect` names them", Args: cobra.NoArgs,
		Run: func(c *cobra.Command, _ []string) {
			for _, f := range experiment.Figures() {
				fmt.Fprintf(c.OutOrStdout(), "%-20s %s\n", f[0], f[1])
			}
		},
	}
}

func traceCommand() *cobra.Command {
	var seed uint64
	c := &cobra.Command{
		Use: "trace FILE", Short: "Write the arrivals of an experiment down, to be played again by `load.trace`",
		Example: "  hatchlab trace experiments/surge.toml --seed 3 > surge.trace", Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			f, err := experiment.Read(args[0])
			if err != nil {
				return err
			}
			return f.WriteTrace(c.OutOrStdout(), seed)
		},
	}
	c.Flags().Uint64Var(&seed, "seed", 1, "the seed")
	return c
}

//go:embed demo.toml
var demoText []byte

func demoCommand() *cobra.Command {
	var s stage
	c := &cobra.Command{
		Use: "demo", Short: "Fleet, proxies and load in some 15 s, with a verdict", Args: cobra.NoArgs,
		Example: "  go run ./cmd/hatchlab demo\n  hatchlab demo --html demo.html",
		RunE: func(c *cobra.Command, _ []string) error {
			f, err := experiment.Parse("demo.toml", demoText)
			if err != nil {
				return err
			}
			return s.run(c, f)
		},
	}
	s.flags(c)
	return c
}
