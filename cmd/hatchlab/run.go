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
	"hatchproxy/lab/rundir"
)

// runner holds the flags that the commands share and runs experiments by them.
type runner struct {
	proxyPath  string // empty: build it
	agentPath  string // empty: build it
	keepFolder string // empty: a temporary folder for each run
	seeds      []uint // none: those of the experiment
	quick      bool
	jsonPath   string
	htmlPath   string
	placements []string
	quiet      bool
	skipCost   bool
}

// addFlags declares the flags of a command that runs one experiment.
func (r *runner) addFlags(c *cobra.Command) {
	f := c.Flags()
	f.StringVar(&r.proxyPath, "proxy", "", "the hatchproxy program; built from ./cmd/hatchproxy if not given")
	f.StringVar(&r.agentPath, "agent", "", "the hatchagent program, if the experiment has agents; built from ./cmd/hatchagent if not given")
	f.StringVar(&r.keepFolder, "keep", "", "a folder in which the proxies' configurations and logs are kept")
	f.UintSliceVar(&r.seeds, "seed", nil, "seeds to run instead of the file's")
	f.BoolVar(&r.quick, "quick", false, "run only the first seed, for at most 40 s; ends within 60 s")
	f.StringVar(&r.jsonPath, "json", "", "write all results to this file as JSON; - for standard output")
	f.StringVar(&r.htmlPath, "html", "", "write a report with plots to this file, as one HTML page")
	f.StringSliceVar(&r.placements, "way", []string{string(experiment.PlacementProxies)}, "who chooses the server of a connection: proxies, or a baseline without proxies (random, straight, best)")
	f.BoolVar(&r.quiet, "quiet", false, "print no progress")
	f.BoolVar(&r.skipCost, "no-cost", false, "leave the comparison with a bare relay out of the HTML report (it takes some 25 s)")
}

// progressFunc returns a function that prints progress to out, or nothing if the runner is quiet.
func (r *runner) progressFunc(out io.Writer) func(string, ...any) {
	return func(format string, a ...any) {
		if !r.quiet {
			fmt.Fprintf(out, "  "+format+"\n", a...)
		}
	}
}

// buildPrograms returns the paths of the proxy and, if agents is set, the agent. It builds those whose path is not given; cleanup
// deletes what was built.
func (r *runner) buildPrograms(ctx context.Context, agents bool) (binary, agent string, cleanup func(), err error) {
	binary, proxyDone, err := findOrBuildProgram(ctx, r.proxyPath, "hatchproxy", "--proxy")
	if err != nil || !agents {
		return binary, "", proxyDone, err
	}
	agent, agentDone, err := findOrBuildProgram(ctx, r.agentPath, "hatchagent", "--agent")
	if err != nil {
		proxyDone()
		return "", "", nil, err
	}
	return binary, agent, func() {
		proxyDone()
		agentDone()
	}, nil
}

// findOrBuildProgram returns the absolute path of the program file path if one is given; otherwise it builds ./cmd/NAME into a
// temporary folder, which cleanup deletes. The error of a failed build names the flag that sets a path.
func findOrBuildProgram(ctx context.Context, path, name, flag string) (binary string, cleanup func(), err error) {
	if path != "" {
		binary, err := filepath.Abs(path)
		if err == nil {
			_, err = os.Stat(binary)
		}
		return binary, func() {}, err
	}
	folder, err := os.MkdirTemp("", "hatchlab-build-")
	if err != nil {
		return "", nil, err
	}
	cleanup = func() { _ = os.RemoveAll(folder) }
	binary = filepath.Join(folder, name)
	output, err := exec.CommandContext(ctx, "go", "build", "-o", binary, "./cmd/"+name).CombinedOutput()
	if err != nil {
		cleanup()
		return "", nil, fmt.Errorf("cannot build %s in this folder; give its path with %s: %w\n%s", name, flag, err, output)
	}
	return binary, cleanup, nil
}

// selectSeeds returns the seeds to run an experiment with.
func (r *runner) selectSeeds(f *experiment.File) []uint64 {
	seeds := f.Seeds
	if len(r.seeds) > 0 {
		seeds = nil
		for _, x := range r.seeds {
			seeds = append(seeds, uint64(x))
		}
	}
	if r.quick {
		seeds = seeds[:1]
	}
	return seeds
}

// runOnce runs an experiment once, with one seed and placement. The files of the run are kept if keepFolder is set.
func (r *runner) runOnce(ctx context.Context, f *experiment.File, binary string, placement experiment.Placement, seed uint64, progress io.Writer) (*experiment.Result, error) {
	folder := r.keepFolder
	if folder == "" {
		temporary, storage, err := rundir.New()
		if err != nil {
			return nil, err
		}
		r.progressFunc(progress)("the files of the run are held in: %s", storage)
		defer os.RemoveAll(temporary)
		folder = temporary
	} else {
		// Each run needs a folder of its own, since agents would continue from the log of an earlier run.
		folder = filepath.Join(folder, fmt.Sprintf("%s-%s-%d-%s", f.Name, placement, seed, time.Now().Format("150405")))
		if err := os.MkdirAll(folder, 0o700); err != nil {
			return nil, err
		}
	}
	return f.Run(ctx, experiment.RunOptions{Seed: seed, Placement: placement, ProxyBinary: binary, AgentBinary: r.agentPath, Dir: folder, Quick: r.quick, Logf: r.progressFunc(progress)})
}

func runCommand() *cobra.Command {
	var r runner
	c := &cobra.Command{
		Use:   "run FILE",
		Short: "Run an experiment and check its expectations",
		Example: `  hatchlab run experiments/calm.toml
  hatchlab run experiments/surge.toml --seed 7,8,9 --html surge.html --json surge.json
  hatchlab run experiments/slow-quarter.toml --way proxies,random,best --quick`,
		Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			f, err := experiment.Read(args[0])
			if err != nil {
				return err
			}
			return r.runAll(c, f)
		},
	}
	r.addFlags(c)
	return c
}

// runAll runs an experiment with each seed and placement, prints a summary of each run and writes the output files. It returns
// errChecksFailed if a run has shortfalls.
func (r *runner) runAll(c *cobra.Command, f *experiment.File) error {
	binary, cleanup := "", func() {}
	var err error
	for _, placement := range r.placements {
		if !slices.Contains(experiment.Placements, experiment.Placement(placement)) {
			return fmt.Errorf("--way: %q is none of %v", placement, experiment.Placements)
		}
	}
	if slices.Contains(r.placements, string(experiment.PlacementProxies)) {
		var agent string
		if binary, agent, cleanup, err = r.buildPrograms(c.Context(), f.Control.Agents > 0); err != nil {
			return err
		}
		r.agentPath = agent
	}
	defer cleanup()
	progress := c.ErrOrStderr()
	var results []*experiment.Result
	allPassed := true
	for _, seed := range r.selectSeeds(f) {
		for _, placement := range r.placements {
			result, err := r.runOnce(c.Context(), f, binary, experiment.Placement(placement), seed, progress)
			if err != nil {
				return fmt.Errorf("seed %d: %w", seed, err)
			}
			results = append(results, result)
			allPassed = allPassed && len(result.Shortfalls) == 0
			if r.jsonPath != "-" {
				report.WriteSummary(c.OutOrStdout(), result, isColorTerminal(c.OutOrStdout()))
			}
		}
	}
	var costs []*experiment.Cost
	if r.htmlPath != "" && !r.skipCost && binary != "" {
		var err error
		if costs, err = r.measureCosts(c, binary, []uint{1, 400}, 1); err != nil {
			return err
		}
	}
	if err := r.writeOutputs(c, f, results, costs); err != nil {
		return err
	}
	if !allPassed {
		return errChecksFailed
	}
	return nil
}

// writeOutputs writes the results as JSON and HTML, as the flags ask for.
func (r *runner) writeOutputs(c *cobra.Command, f *experiment.File, results []*experiment.Result, costs []*experiment.Cost) error {
	if r.jsonPath != "" {
		text, err := json.MarshalIndent(results, "", " ")
		if err != nil {
			return err
		}
		if r.jsonPath == "-" {
			fmt.Fprintln(c.OutOrStdout(), string(text))
		} else if err := os.WriteFile(r.jsonPath, append(text, '\n'), 0o644); err != nil {
			return err
		}
	}
	if r.htmlPath == "" {
		return nil
	}
	out, err := os.Create(r.htmlPath)
	if err != nil {
		return err
	}
	return errors.Join(report.WriteHTML(out, "Experiment "+f.Name, f.About, results, costs), out.Close())
}

// isColorTerminal tells whether w is a terminal that colours may be written to. NO_COLOR turns them off.
func isColorTerminal(w io.Writer) bool {
	f, ok := w.(*os.File)
	if !ok || os.Getenv("NO_COLOR") != "" {
		return false
	}
	info, err := f.Stat()
	return err == nil && info.Mode()&os.ModeCharDevice != 0
}

func checkCommand() *cobra.Command {
	return &cobra.Command{
		Use: "check FILE...", Short: "Check experiment files and print what is wrong, with file and line",
		Example: "  hatchlab check experiments/*.toml", Args: cobra.MinimumNArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			var errs []error
			for _, path := range args {
				f, err := experiment.Read(path)
				if err != nil {
					errs = append(errs, err)
					continue
				}
				fmt.Fprintf(c.OutOrStdout(), "%s: good: %s\n", path, f.About)
			}
			return errors.Join(errs...)
		},
	}
}

func figuresCommand() *cobra.Command {
	return &cobra.Command{
		Use: "figures", Short: "List the figures of a run by the names used in `expect`", Args: cobra.NoArgs,
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
		Use: "trace FILE", Short: "Write the arrivals of an experiment as a trace, to be repeated with `load.trace`",
		Example: "  hatchlab trace experiments/surge.toml --seed 3 > surge.trace", Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			f, err := experiment.Read(args[0])
			if err != nil {
				return err
			}
			return f.WriteTrace(c.OutOrStdout(), seed)
		},
	}
	c.Flags().Uint64Var(&seed, "seed", 1, "seed of the arrivals")
	return c
}

// demoExperiment is the experiment that `hatchlab demo` runs.
//
//go:embed demo.toml
var demoExperiment []byte

func demoCommand() *cobra.Command {
	var r runner
	c := &cobra.Command{
		Use: "demo", Short: "Run a small experiment of some 15 s", Args: cobra.NoArgs,
		Example: "  go run ./cmd/hatchlab demo\n  hatchlab demo --html demo.html",
		RunE: func(c *cobra.Command, _ []string) error {
			f, err := experiment.Parse("demo.toml", demoExperiment)
			if err != nil {
				return err
			}
			return r.runAll(c, f)
		},
	}
	r.addFlags(c)
	return c
}
