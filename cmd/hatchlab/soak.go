package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"

	"github.com/spf13/cobra"

	"hatchproxy/lab/experiment"
	"hatchproxy/lab/soak"
)

// soakRunner holds the flags of `hatchlab soak` and runs its schedules.
type soakRunner struct {
	proxyPath, outputFolder, jsonPath, seedRange string
	parallelRuns                                 int
	useShortSize                                 bool
}

// soakVerdict is the result of the schedule of one seed.
type soakVerdict struct {
	Seed         uint64             `json:"seed"`
	Proxies      int                `json:"proxies"`
	TroubleKinds []string           `json:"kinds"`
	Passed       bool               `json:"held"`
	Shortfalls   []string           `json:"shortfalls,omitempty"`
	Breaches     []string           `json:"breaches,omitempty"`
	Crashes      []string           `json:"crashes,omitempty"`
	RecordFolder string             `json:"kept,omitempty"` // the folder with its logs and record, if it failed
	Figures      map[string]float64 `json:"figures"`
}

func soakCommand() *cobra.Command {
	s := &soakRunner{}
	c := &cobra.Command{
		Use: "soak", Short: "Run many real proxies under random faults, and check the rules", Args: cobra.NoArgs,
		Example: "  hatchlab soak --seeds 1..50",
		Long: `Generates for each seed a run of 10 to 40 proxies with faults that overlap: failing system calls, planned restarts with
series of signals and a kill at the earliest time allowed, kills, stalls, crowds of idle connections, faults of servers and
of discovery. Prints a verdict for each seed. A run that fails is written to a folder, as an experiment with its logs and
record; 'hatchlab run FILE' repeats it.`,
		RunE: func(c *cobra.Command, _ []string) error { return s.run(c.Context(), c.OutOrStdout()) },
	}
	f := c.Flags()
	f.StringVar(&s.seedRange, "seeds", "1..10", "range of seeds, FIRST..LAST, both inclusive")
	f.StringVar(&s.proxyPath, "proxy", "", "the hatchproxy program; built from ./cmd/hatchproxy if not given")
	f.StringVar(&s.outputFolder, "into", ".", "the folder for the records of runs that failed")
	f.StringVar(&s.jsonPath, "json", "", "write the verdicts to this file as JSON")
	f.IntVar(&s.parallelRuns, "beside", 1, "number of runs in parallel")
	f.BoolVar(&s.useShortSize, "short", false, "use fewer proxies, fewer faults and shorter runs, as CI does")
	return c
}

// parseSeedRange parses FIRST..LAST, or a single seed.
func parseSeedRange(text string) (first, last uint64, err error) {
	from, to, found := strings.Cut(text, "..")
	if !found {
		to = from
	}
	if first, err = strconv.ParseUint(from, 10, 64); err != nil {
		return 0, 0, fmt.Errorf("--seeds: %q is not of the form FIRST..LAST", text)
	}
	if last, err = strconv.ParseUint(to, 10, 64); err != nil || last < first {
		return 0, 0, fmt.Errorf("--seeds: %q is not of the form FIRST..LAST", text)
	}
	return first, last, nil
}

// run runs the schedules of all seeds and prints a verdict for each. It returns errChecksFailed if a schedule failed, and an error
// if one could not be run.
func (s *soakRunner) run(ctx context.Context, out io.Writer) error {
	first, last, err := parseSeedRange(s.seedRange)
	if err != nil {
		return err
	}
	binary, cleanup, err := findOrBuildProgram(ctx, s.proxyPath, "hatchproxy", "--proxy")
	if err != nil {
		return err
	}
	defer cleanup()
	var mu sync.Mutex
	var verdicts []soakVerdict
	var errs []error
	seeds := make(chan uint64)
	var workers sync.WaitGroup
	for range max(1, s.parallelRuns) {
		workers.Go(func() {
			for seed := range seeds {
				v, err := s.runSeed(ctx, binary, seed)
				mu.Lock()
				if err != nil {
					errs = append(errs, fmt.Errorf("seed %d: %w", seed, err))
					fmt.Fprintf(out, "seed %d could not be run: %v\n", seed, err)
				} else {
					verdicts = append(verdicts, *v)
					fmt.Fprintln(out, v)
				}
				mu.Unlock()
			}
		})
	}
	for seed := first; seed <= last && ctx.Err() == nil; seed++ {
		seeds <- seed
	}
	close(seeds)
	workers.Wait()
	return s.writeVerdicts(out, verdicts, errs)
}

// writeVerdicts prints the totals and writes the verdicts as JSON if a file is given.
func (s *soakRunner) writeVerdicts(out io.Writer, verdicts []soakVerdict, errs []error) error {
	passed := 0
	for _, v := range verdicts {
		if v.Passed {
			passed++
		}
	}
	fmt.Fprintf(out, "%d of %d seeds held, %d could not be run\n", passed, len(verdicts), len(errs))
	if s.jsonPath != "" {
		text, err := json.MarshalIndent(verdicts, "", "  ")
		if err != nil {
			return err
		}
		if err := os.WriteFile(s.jsonPath, text, 0o644); err != nil {
			return err
		}
	}
	if len(errs) > 0 {
		return errors.Join(errs...)
	}
	if passed < len(verdicts) {
		return errChecksFailed
	}
	return nil
}

// runSeed generates and runs the schedule of a seed. If it fails, its files, the experiment and a record of the findings are
// written to the folder soak-SEED, which is replaced if it exists.
func (s *soakRunner) runSeed(ctx context.Context, binary string, seed uint64) (*soakVerdict, error) {
	size := soak.Full
	if s.useShortSize {
		size = soak.Short
	}
	schedule, err := soak.Generate(seed, size)
	if err != nil {
		return nil, err
	}
	folder, err := os.MkdirTemp("", "hatchlab-soak-")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(folder)
	result, err := schedule.Experiment.Run(ctx, experiment.RunOptions{Seed: seed, Placement: experiment.PlacementProxies, ProxyBinary: binary, Dir: folder})
	if err != nil {
		return nil, err
	}
	v := &soakVerdict{Seed: seed, Proxies: schedule.Experiment.Proxies.Count, TroubleKinds: schedule.TroubleKinds, Passed: len(result.Shortfalls) == 0,
		Shortfalls: result.Shortfalls, Breaches: result.Breaches, Crashes: result.Crashes, Figures: result.Figures}
	if v.Passed {
		return v, nil
	}
	recordFolder := filepath.Join(s.outputFolder, fmt.Sprintf("soak-%d", seed))
	if err := os.RemoveAll(recordFolder); err != nil {
		return nil, err
	}
	if err := os.CopyFS(recordFolder, os.DirFS(folder)); err != nil {
		return nil, err
	}
	v.RecordFolder = recordFolder
	record := strings.Join(v.findings(), "\n\n")
	return v, errors.Join(os.WriteFile(filepath.Join(recordFolder, scheduleFileName), []byte(schedule.TOML), 0o644),
		os.WriteFile(filepath.Join(recordFolder, "record.txt"), []byte(record+"\n"), 0o644))
}

// scheduleFileName is the experiment file in a record folder; `hatchlab run` repeats it.
const scheduleFileName = "experiment.toml"

// findings returns all shortfalls, breaches and crashes.
func (v *soakVerdict) findings() []string {
	var all []string
	all = append(all, v.Shortfalls...)
	all = append(all, v.Breaches...)
	return append(all, v.Crashes...)
}

// String returns the verdict for the terminal: one line, then one for each broken rule and one for the record if there is one.
func (v soakVerdict) String() string {
	result := "held"
	if !v.Passed {
		result = "BROKE (" + strings.Join(v.Shortfalls, "; ") + ")"
	}
	f := v.Figures
	text := fmt.Sprintf("seed %d: %s; %d proxies, %g requests (%g up, %g busy, %g failed, %g nothing), %g calls failed, served %.2f; %s",
		v.Seed, result, v.Proxies, f["asks"], f["ups"], f["busy"], f["failed"], f["nothing"], f["calls-failed"], f["served"],
		strings.Join(v.TroubleKinds, " "))
	for _, rule := range brokenRules(f) {
		text += fmt.Sprintf("\n    %s %g", rule, f[rule])
	}
	if v.RecordFolder != "" {
		text += fmt.Sprintf("\n    record and logs: %s; again: hatchlab run %s --seed %d", v.RecordFolder, filepath.Join(v.RecordFolder, scheduleFileName), v.Seed)
	}
	return text
}

// brokenRules returns the names of the breach figures that are above 0, sorted.
func brokenRules(figures map[string]float64) []string {
	var broken []string
	for name, n := range figures {
		if strings.HasPrefix(name, "breach.") && n > 0 {
			broken = append(broken, name)
		}
	}
	slices.Sort(broken)
	return broken
}
