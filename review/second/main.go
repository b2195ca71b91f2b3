// Command second plays the cases of the second review: second CASE RECORD ROOT. It is started by the run.sh of a case.
// Exit codes: 0 the rule held, 1 it was broken, 2 the case couldn't run.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// env is what a case has at hand.
type env struct {
	rec     *record
	dir     string // a temporary folder
	trouble bool   // play the disruption
	proxies []*proxy
	cleanUp []func()
}

// maxSpan bounds a case.
const maxSpan = 110 * time.Second

// end ends all processes that the case started.
func (e *env) end() {
	for _, end := range e.cleanUp {
		end()
	}
	for _, p := range e.proxies {
		p.kill()
	}
}

// start starts a proxy that is ended with the case.
func (e *env) start(o proxyOptions) (*proxy, error) {
	o.dir = e.dir
	if o.tmp == "" {
		o.tmp = filepath.Join(e.dir, "tmp-"+o.name)
	}
	if err := os.MkdirAll(o.tmp, 0o700); err != nil {
		return nil, err
	}
	p, err := startProxy(e.rec, o)
	if err == nil {
		e.proxies = append(e.proxies, p)
	}
	return p, err
}

// fleet starts servers, spread over the zones, and a discovery service that lists them.
func (e *env) fleet(at site, n int) ([]*server, *discovery, error) {
	var servers []*server
	var targets []target
	for i := range n {
		s, err := newServer(e.rec, fmt.Sprintf("s-%02d", i+1), fmt.Sprintf("127.0.1.%d", i+1))
		if err != nil {
			return nil, nil, err
		}
		servers, targets = append(servers, s), append(targets, s.target(at.zones[i%len(at.zones)]))
	}
	d, err := newDiscovery(e.rec, "discovery", targets, at.callTimeout)
	return servers, d, err
}

var cases = map[string]func(*env) (broken bool, err error){}

func main() {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "second CASE RECORD ROOT")
		os.Exit(2)
	}
	os.Exit(play(os.Args[1], os.Args[2], os.Args[3]))
}

func play(name, recordPath, repository string) int {
	root = repository
	rec, err := newRecord(recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	dir, err := os.MkdirTemp("", "second-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer os.RemoveAll(dir)
	e := &env{rec: rec, dir: dir, trouble: os.Getenv("TROUBLE") != "0"}
	rec.log("case %s, trouble: %t", name, e.trouble)
	// No case takes as long as this: one that hangs couldn't run.
	watchdog := time.AfterFunc(maxSpan, func() {
		rec.log("the case couldn't run: it takes longer than %v", maxSpan)
		e.end()
		_ = os.RemoveAll(dir)
		os.Exit(2)
	})
	broken, err := cases[name](e)
	watchdog.Stop()
	e.end()
	code, verdict := 0, "the rule held"
	switch {
	case err != nil:
		code, verdict = 2, "the case couldn't run: "+err.Error()
	case broken:
		code, verdict = 1, "the rule was broken"
	}
	rec.log("%s", verdict)
	fmt.Println(verdict)
	return code
}
