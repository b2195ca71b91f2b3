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

// runner is what the commands that play have in common.
type runner struct {
	proxyPath  string
	agentPath  string
	keepFolder string
	seeds      []uint
	quick      bool
	jsonPath   string
	htmlPath   string
	ways       []string
	quiet      bool
	skipCost   bool
}

func (s *runner) addFlags(c *cobra.Command) {
	f := c.Flags()
	f.StringVar(&s.proxyPath, "proxy", "", "the hatchproxy program; built from ./cmd/hatchproxy if not given")
	f.StringVar(&s.agentPath, "agent", "", "the hatchagent program, where the experiment has agents; built if not given")
	f.StringVar(&s.keepFolder, "keep", "", "a folder in which the proxies' configurations and logs stay")
	f.UintSliceVar(&s.seeds, "seed", nil, "seeds to play, instead of the file's")
	f.BoolVar(&s.quick, "quick", false, "the first seed only, at most 40 s of it: ends within 60 s")
	f.StringVar(&s.jsonPath, "json", "", "a file for all that was seen, as JSON; - for standard output")
	f.StringVar(&s.htmlPath, "html", "", "a file for the report, one page with pictures")
	f.StringSliceVar(&s.ways, "way", []string{string(experiment.PlacementProxies)}, "who places the connections: proxies, or a baseline without any (random, straight, best)")
	f.BoolVar(&s.quiet, "quiet", false, "no progress")
	f.BoolVar(&s.skipCost, "no-cost", false, "a report without the proxy's own path beside a bare relay's (some 25 s)")
}

func (s *runner) progressFunc(out io.Writer) func(string, ...any) {
	return func(format string, a ...any) {
		if !s.quiet {
			fmt.Fprintf(out, "  "+format+"\n", a...)
		}
	}
}

// buildPrograms makes the proxy where none is named, and the agent where one is needed. done takes them away again.
func (s *runner) buildPrograms(ctx context.Context, agents bool) (binary, agent string, done func(), err error) {
	binary, proxyDone, err := findOrBuildProgram(ctx, s.proxyPath, "hatchproxy", "--proxy")
	if err != nil || !agents {
		return binary, "", proxyDone, err
	}
	agent, agentDone, err := findOrBuildProgram(ctx, s.agentPath, "hatchagent", "--agent")
	if err != nil {
		proxyDone()
		return "", "", nil, err
	}
	return binary, agent, func() {
		proxyDone()
		agentDone()
	}, nil
}

// findOrBuildProgram finds a program or builds it.
func findOrBuildProgram(ctx context.Context, named, name, flag string) (binary string, done func(), err error) {
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

// selectSeeds are the seeds to play.
func (s *runner) selectSeeds(f *experiment.File) []uint64 {
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
func (s *runner) runOnce(ctx context.Context, f *experiment.File, binary string, way experiment.Placement, seed uint64, out io.Writer) (*experiment.Result, error) {
	folder := s.keepFolder
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
	return f.Run(ctx, experiment.RunOptions{Seed: seed, Placement: way, ProxyBinary: binary, AgentBinary: s.agentPath, Dir: folder, Quick: s.quick, Logf: s.progressFunc(out)})
}

func runCommand() *cobra.Command {
	var s runner
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
			return s.runAll(c, f)
		},
	}
	s.addFlags(c)
	return c
}

func (s *runner) runAll(c *cobra.Command, f *experiment.File) error {
	binary, done := "", func() {}
	var err error
	for _, way := range s.ways {
		if !slices.Contains(experiment.Placements, experiment.Placement(way)) {
			return fmt.Errorf("--way: %q is none of %v", way, experiment.Placements)
		}
	}
	if slices.Contains(s.ways, string(experiment.PlacementProxies)) {
		var agent string
		if binary, agent, done, err = s.buildPrograms(c.Context(), f.Control.Agents > 0); err != nil {
			return err
		}
		s.agentPath = agent
	}
	defer done()
	progress := c.ErrOrStderr()
	var results []*experiment.Result
	good := true
	for _, seed := range s.selectSeeds(f) {
		for _, way := range s.ways {
			r, err := s.runOnce(c.Context(), f, binary, experiment.Placement(way), seed, progress)
			if err != nil {
				return fmt.Errorf("seed %d: %w", seed, err)
			}
			results = append(results, r)
			good = good && len(r.Shortfalls) == 0
			if s.jsonPath != "-" {
				report.WriteSummary(c.OutOrStdout(), r, isColorTerminal(c.OutOrStdout()))
			}
		}
	}
	var costs []*experiment.Cost
	if s.htmlPath != "" && !s.skipCost && binary != "" {
		var err error
		if costs, err = s.measureCosts(c, binary, []uint{1, 400}, 1); err != nil {
			return err
		}
	}
	if err := s.writeOutputs(c, f, results, costs); err != nil {
		return err
	}
	if !good {
		return errChecksFailed
	}
	return nil
}

// writeOutputs leaves the files that were asked for.
func (s *runner) writeOutputs(c *cobra.Command, f *experiment.File, results []*experiment.Result, costs []*experiment.Cost) error {
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
	if s.htmlPath == "" {
		return nil
	}
	out, err := os.Create(s.htmlPath)
	if err != nil {
		return err
	}
	return errors.Join(report.WriteHTML(out, "Experiment "+f.Name, f.About, results, costs), out.Close())
}

// isColorTerminal tells whether colour makes sense.
func isColorTerminal(w io.Writer) bool {
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
var demoExperiment []byte

func demoCommand() *cobra.Command {
	var s runner
	c := &cobra.Command{
		Use: "demo", Short: "Fleet, proxies and load in some 15 s, with a verdict", Args: cobra.NoArgs,
		Example: "  go run ./cmd/hatchlab demo\n  hatchlab demo --html demo.html",
		RunE: func(c *cobra.Command, _ []string) error {
			f, err := experiment.Parse("demo.toml", demoExperiment)
			if err != nil {
				return err
			}
			return s.runAll(c, f)
		},
	}
	s.addFlags(c)
	return c
}
