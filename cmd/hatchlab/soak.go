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

// soakRunner is how a soak is played.
type soakRunner struct {
	proxyPath, outputFolder, jsonPath, seedRange string
	parallelRuns                                 int
	useShortSize                                 bool
}

// soakVerdict is what a seed came to.
type soakVerdict struct {
	Seed         uint64             `json:"seed"`
	Proxies      int                `json:"proxies"`
	FaultKinds   []string           `json:"kinds"`
	Passed       bool               `json:"held"`
	Shortfalls   []string           `json:"shortfalls,omitempty"`
	Breaches     []string           `json:"breaches,omitempty"`
	Crashes      []string           `json:"crashes,omitempty"`
	RecordFolder string             `json:"kept,omitempty"` // the folder with its record, where it broke
	Figures      map[string]float64 `json:"figures"`
}

func soakCommand() *cobra.Command {
	s := &soakRunner{}
	c := &cobra.Command{
		Use: "soak", Short: "Play drawn faults against many real proxies, and judge by the rules", Args: cobra.NoArgs,
		Example: "  hatchlab soak --seeds 1..50",
		Long: `Draws for each seed 10 to 40 proxies and faults that overlap: failing system calls, planned restarts with signals in
series and a kill at the earliest, kills, stalls, idle crowds, servers and discovery in trouble. Prints a verdict a seed.
What breaks is written to a folder as an experiment with its record; 'hatchlab run FILE' plays it again.`,
		RunE: func(c *cobra.Command, _ []string) error { return s.run(c.Context(), c.OutOrStdout()) },
	}
	f := c.Flags()
	f.StringVar(&s.seedRange, "seeds", "1..10", "the seeds, FIRST..LAST")
	f.StringVar(&s.proxyPath, "proxy", "", "the hatchproxy program; built from ./cmd/hatchproxy if not given")
	f.StringVar(&s.outputFolder, "into", ".", "the folder for what broke")
	f.StringVar(&s.jsonPath, "json", "", "a file for the verdicts, as JSON")
	f.IntVar(&s.parallelRuns, "beside", 1, "how many are played side by side")
	f.BoolVar(&s.useShortSize, "short", false, "fewer proxies, faults and seconds, as CI plays it")
	return c
}

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

func (s *soakRunner) run(ctx context.Context, out io.Writer) error {
	first, last, err := parseSeedRange(s.seedRange)
	if err != nil {
		return err
	}
	binary, done, err := findOrBuildProgram(ctx, s.proxyPath, "hatchproxy", "--proxy")
	if err != nil {
		return err
	}
	defer done()
	var mu sync.Mutex
	var verdicts []soakVerdict
	var faults []error
	seeds := make(chan uint64)
	var playing sync.WaitGroup
	for range max(1, s.parallelRuns) {
		playing.Go(func() {
			for seed := range seeds {
				v, err := s.runSeed(ctx, binary, seed)
				mu.Lock()
				if err != nil {
					faults = append(faults, fmt.Errorf("seed %d: %w", seed, err))
					fmt.Fprintf(out, "seed %d could not be played: %v\n", seed, err)
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
	playing.Wait()
	return s.writeVerdicts(out, verdicts, faults)
}

// writeVerdicts tells the sum and writes the verdicts down.
func (s *soakRunner) writeVerdicts(out io.Writer, verdicts []soakVerdict, faults []error) error {
	held := 0
	for _, v := range verdicts {
		if v.Passed {
			held++
		}
	}
	fmt.Fprintf(out, "%d of %d seeds held, %d could not be played\n", held, len(verdicts), len(faults))
	if s.jsonPath != "" {
		text, err := json.MarshalIndent(verdicts, "", "  ")
		if err != nil {
			return err
		}
		if err := os.WriteFile(s.jsonPath, text, 0o644); err != nil {
			return err
		}
	}
	if len(faults) > 0 {
		return errors.Join(faults...)
	}
	if held < len(verdicts) {
		return errChecksFailed
	}
	return nil
}

// runSeed plays a seed.
func (s *soakRunner) runSeed(ctx context.Context, binary string, seed uint64) (*soakVerdict, error) {
	size := soak.Full
	if s.useShortSize {
		size = soak.Short
	}
	drawn, err := soak.Generate(seed, size)
	if err != nil {
		return nil, err
	}
	folder, err := os.MkdirTemp("", "hatchlab-soak-")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(folder)
	result, err := drawn.Experiment.Run(ctx, experiment.RunOptions{Seed: seed, Placement: experiment.PlacementProxies, ProxyBinary: binary, Dir: folder})
	if err != nil {
		return nil, err
	}
	v := &soakVerdict{Seed: seed, Proxies: drawn.Experiment.Proxies.Count, FaultKinds: drawn.FaultKinds, Passed: len(result.Shortfalls) == 0,
		Shortfalls: result.Shortfalls, Breaches: result.Breaches, Crashes: result.Crashes, Figures: result.Figures}
	if v.Passed {
		return v, nil
	}
	kept := filepath.Join(s.outputFolder, fmt.Sprintf("soak-%d", seed))
	if err := os.RemoveAll(kept); err != nil {
		return nil, err
	}
	if err := os.CopyFS(kept, os.DirFS(folder)); err != nil {
		return nil, err
	}
	v.RecordFolder = kept
	record := strings.Join(v.findings(), "\n\n")
	return v, errors.Join(os.WriteFile(filepath.Join(kept, scheduleFileName), []byte(drawn.TOML), 0o644),
		os.WriteFile(filepath.Join(kept, "record.txt"), []byte(record+"\n"), 0o644))
}

// scheduleFileName is the file of what broke that can be played again.
const scheduleFileName = "experiment.toml"

// findings are all that is known of what did not hold.
func (v *soakVerdict) findings() []string {
	var all []string
	all = append(all, v.Shortfalls...)
	all = append(all, v.Breaches...)
	return append(all, v.Crashes...)
}

func (v soakVerdict) String() string {
	word := "held"
	if !v.Passed {
		word = "BROKE (" + strings.Join(v.Shortfalls, "; ") + ")"
	}
	f := v.Figures
	text := fmt.Sprintf("seed %d: %s; %d proxies, %g requests (%g up, %g busy, %g failed, %g nothing), %g calls failed, served %.2f; %s",
		v.Seed, word, v.Proxies, f["asks"], f["ups"], f["busy"], f["failed"], f["nothing"], f["calls-failed"], f["served"],
		strings.Join(v.FaultKinds, " "))
	for _, rule := range brokenRules(f) {
		text += fmt.Sprintf("\n    %s %g", rule, f[rule])
	}
	if v.RecordFolder != "" {
		text += fmt.Sprintf("\n    record and logs: %s; again: hatchlab run %s --seed %d", v.RecordFolder, filepath.Join(v.RecordFolder, scheduleFileName), v.Seed)
	}
	return text
}

// brokenRules are the broken rules among the figures.
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
