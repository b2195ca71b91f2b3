// Command cases plays the review's cases, one by one: cases NAME RECORD, where RECORD is the file to write. It exits with 1 if the
// rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"hatchproxy/review/stand"
)

// play is what a case needs.
type play struct {
	rec     *stand.Record
	root    string // of the project
	dir     string // a temporary folder
	trouble bool   // with the disruption
}

// cases are the cases by name. Each returns what broke the rule, nothing if it held, or an error if it could not run.
var cases = map[string]func(*play) ([]string, error){}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "cases NAME RECORD")
		return 2
	}
	rec, err := stand.NewRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	if os.Getenv("KEEP") == "" {
		defer os.RemoveAll(dir)
	}
	root, err := os.Getwd()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	p := &play{rec: rec, root: root, dir: dir, trouble: os.Getenv("TROUBLE") != "0"}
	breaches, err := cases[os.Args[1]](p)
	if err != nil {
		rec.Logf("verdict: could not run: %v", err)
		fmt.Println("could not run:", err)
		return 2
	}
	p.copyLog()
	for _, b := range breaches {
		rec.Logf("broken: %s", b)
	}
	rec.Logf("verdict: %d breaches, trouble=%t", len(breaches), p.trouble)
	fmt.Printf("%d breaches, trouble=%t\n", len(breaches), p.trouble)
	for i, b := range breaches {
		if i < 3 {
			fmt.Println("  " + b)
		}
	}
	if len(breaches) > 0 {
		return 1
	}
	return 0
}

// maxLogLines bounds how much of the proxies' log is copied into the record.
const maxLogLines = 60

// copyLog copies the beginning of the proxies' log into the record.
func (p *play) copyLog() {
	text, err := os.ReadFile(filepath.Join(p.dir, "log"))
	if err != nil {
		return
	}
	lines := strings.Split(strings.TrimSpace(string(text)), "\n")
	for _, line := range lines[:min(len(lines), maxLogLines)] {
		p.rec.Logf("proxies' log: %s", line)
	}
}
