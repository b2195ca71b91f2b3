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

// soakRun is how a soak is played.
type soakRun struct {
	proxy, into, jsonPath, seeds string
	beside                       int
	short                        bool
}

// soakVerdict is what a seed came to.
type soakVerdict struct {
	Seed       uint64             `json:"seed"`
	Proxies    int                `json:"proxies"`
	Kinds      []string           `json:"kinds"`
	Held       bool               `json:"held"`
	Shortfalls []string           `json:"shortfalls,omitempty"`
	Breaches   []string           `json:"breaches,omitempty"`
	Crashes    []string           `json:"crashes,omitempty"`
	Kept       string             `json:"kept,omitempty"` // the folder with its record, where it broke
	Figures    map[string]float64 `json:"figures"`
}

func soakCommand() *cobra.Command {
	s := &soakRun{}
	c := &cobra.Command{
		Use: "soak", Short: "Play drawn faults against many real proxies, and judge by the rules", Args: cobra.NoArgs,
		Example: "  hatchlab soak --seeds 1..50",
		Long: `Draws for each seed 10 to 40 proxies and faults that overlap: failing system calls, planned restarts with signals in
series and a kill at the earliest, kills, stalls, idle crowds, servers and discovery in trouble. Prints a verdict a seed.
What breaks is written to a folder as an experiment with its record; 'hatchlab run FILE' plays it again.`,
		RunE: func(c *cobra.Command, _ []string) error { return s.play(c.Context(), c.OutOrStdout()) },
	}
	f := c.Flags()
	f.StringVar(&s.seeds, "seeds", "1..10", "the seeds, FIRST..LAST")
	f.StringVar(&s.proxy, "proxy", "", "the hatchproxy program; built from ./cmd/hatchproxy if not given")
	f.StringVar(&s.into, "into", ".", "the folder for what broke")
	f.StringVar(&s.jsonPath, "json", "", "a file for the verdicts, as JSON")
	f.IntVar(&s.beside, "beside", 1, "how many are played side by side")
	f.BoolVar(&s.short, "short", false, "fewer proxies, faults and seconds, as CI plays it")
	return c
}

func parseSeeds(text string) (first, last uint64, err error) {
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

func (s *soakRun) play(ctx context.Context, out io.Writer) error {
	first, last, err := parseSeeds(s.seeds)
	if err != nil {
		return err
	}
	binary, done, err := program(ctx, s.proxy, "hatchproxy", "--proxy")
	if err != nil {
		return err
	}
	defer done()
	var mu sync.Mutex
	var verdicts []soakVerdict
	var faults []error
	seeds := make(chan uint64)
	var playing sync.WaitGroup
	for range max(1, s.beside) {
		playing.Go(func() {
			for seed := range seeds {
				v, err := s.one(ctx, binary, seed)
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
	return s.close(out, verdicts, faults)
}

// close tells the sum and writes the verdicts down.
func (s *soakRun) close(out io.Writer, verdicts []soakVerdict, faults []error) error {
	held := 0
	for _, v := range verdicts {
		if v.Held {
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
		return errShort
	}
	return nil
}

// one plays a seed.
func (s *soakRun) one(ctx context.Context, binary string, seed uint64) (*soakVerdict, error) {
	size := soak.Full
	if s.short {
		size = soak.Short
	}
	drawn, err := soak.Draw(seed, size)
	if err != nil {
		return nil, err
	}
	folder, err := os.MkdirTemp("", "hatchlab-soak-")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(folder)
	result, err := drawn.File.Run(ctx, experiment.Order{Seed: seed, Way: experiment.ByProxies, Binary: binary, Folder: folder})
	if err != nil {
		return nil, err
	}
	v := &soakVerdict{Seed: seed, Proxies: drawn.File.Proxies.Count, Kinds: drawn.Kinds, Held: len(result.Shortfalls) == 0,
		Shortfalls: result.Shortfalls, Breaches: result.Breaches, Crashes: result.Crashes, Figures: result.Figures}
	if v.Held {
		return v, nil
	}
	kept := filepath.Join(s.into, fmt.Sprintf("soak-%d", seed))
	if err := os.RemoveAll(kept); err != nil {
		return nil, err
	}
	if err := os.CopyFS(kept, os.DirFS(folder)); err != nil {
		return nil, err
	}
	v.Kept = kept
	record := strings.Join(v.findings(), "\n\n")
	return v, errors.Join(os.WriteFile(filepath.Join(kept, scheduleName), []byte(drawn.Text), 0o644),
		os.WriteFile(filepath.Join(kept, "record.txt"), []byte(record+"\n"), 0o644))
}

// scheduleName is the file of what broke that can be played again.
const scheduleName = "experiment.toml"

// findings are all that is known of what did not hold.
func (v *soakVerdict) findings() []string {
	var all []string
	all = append(all, v.Shortfalls...)
	all = append(all, v.Breaches...)
	return append(all, v.Crashes...)
}

func (v soakVerdict) String() string {
	word := "held"
	if !v.Held {
		word = "BROKE (" + strings.Join(v.Shortfalls, "; ") + ")"
	}
	f := v.Figures
	text := fmt.Sprintf("seed %d: %s; %d proxies, %g requests (%g up, %g busy, %g failed, %g nothing), %g calls failed, served %.2f; %s",
		v.Seed, word, v.Proxies, f["asks"], f["ups"], f["busy"], f["failed"], f["nothing"], f["calls-failed"], f["served"],
		strings.Join(v.Kinds, " "))
	for _, rule := range sortedRules(f) {
		text += fmt.Sprintf("\n    %s %g", rule, f[rule])
	}
	if v.Kept != "" {
		text += fmt.Sprintf("\n    record and logs: %s; again: hatchlab run %s --seed %d", v.Kept, filepath.Join(v.Kept, scheduleName), v.Seed)
	}
	return text
}

// sortedRules are the broken rules among the figures.
func sortedRules(figures map[string]float64) []string {
	var broken []string
	for name, n := range figures {
		if strings.HasPrefix(name, "breach.") && n > 0 {
			broken = append(broken, name)
		}
	}
	slices.Sort(broken)
	return broken
}
