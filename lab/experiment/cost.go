package experiment

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"hatchproxy/lab/fleet"
	"hatchproxy/lab/ledger"
)

// Path is what a program between clients and servers takes with so many connections standing.
type Path struct {
	SetUp  float64 `json:"set_up_us"` // medians
	Line   float64 `json:"line_us"`
	CPU    float64 `json:"cpu_us_a_line"`
	Memory float64 `json:"memory_kb_a_connection"`
	Idle   float64 `json:"cpu_us_a_second_and_connection"` // while the connections stand and say nothing
}

// Cost is what a proxy's path takes beside a bare relay's, in turn, in as many pairs.
type Cost struct {
	Standing int    `json:"standing"`
	Build    string `json:"build"`
	Relay    []Path `json:"relay"`
	Proxy    []Path `json:"proxy"`
}

// Ratio is a proxy's figure over the relay's: the median of the pairs.
func (c Cost) Ratio(of func(Path) float64) float64 {
	var ratios []float64
	for i := range c.Proxy {
		if r := of(c.Relay[i]); r > 0 {
			ratios = append(ratios, of(c.Proxy[i])/r)
		}
	}
	return Median(ratios)
}

// Middle is a figure's median over the pairs.
func (c Cost) Middle(of func(Path) float64) (relay, proxy float64) {
	var r, p []float64
	for i := range c.Proxy {
		r, p = append(r, of(c.Relay[i])), append(p, of(c.Proxy[i]))
	}
	return Median(r), Median(p)
}

// Parts are the figures of a path, each with its name.
var Parts = []struct {
	Name string
	Of   func(Path) float64
}{
	{"set-up us", func(p Path) float64 { return p.SetUp }}, {"line us", func(p Path) float64 { return p.Line }},
	{"CPU us a line", func(p Path) float64 { return p.CPU }}, {"memory KB a connection", func(p Path) float64 { return p.Memory }},
	{"CPU us a second and idle connection", func(p Path) float64 { return p.Idle }},
}

// Words tells it in a line.
func (c Cost) Words() string {
	var parts []string
	for _, part := range Parts {
		r, p := c.Middle(part.Of)
		parts = append(parts, fmt.Sprintf("%s %.3g/%.3g=%.2f", part.Name, p, r, c.Ratio(part.Of)))
	}
	return strings.Join(parts, ", ")
}

const (
	// askSetUps and askLines are how many are taken for a median, one after the other.
	askSetUps = 300
	askLines  = 2000
	// flood is how long lines are sent over all connections for the CPU's figure.
	flood = 2 * time.Second
	// idle is how long nothing is sent.
	idle = 2 * time.Second
	// spareDescriptors are those that no connection holds.
	spareDescriptors = 400
)

// costFile is the experiment that costs are taken on: servers of unbounded capacity that answer at once.
const costFile = `name = "cost"
length = "60s"
[proxies]
count = 1
sockets = 65536
memory-mb = 2048
[fleet]
servers = 8
set-up = "0s"
load = "0s"
message = "0s"
notice = "0s"
tells-load = false
probes = false
[[fleet.kind]]
name = "m"
share = 1.0
cores = 64
speed = 1.0
[[product]]
name = "chat"
repeat = "harmless"
share = 1.0
life = "1h"
quoted = "1s"
limit = "5s"
message = "1s"
[load]
rate = 1.0
`

// TakeCost measures a build beside a bare relay, in turn. relay starts a bare relay at an address before servers.
func TakeCost(ctx context.Context, binary string, relay func(listen, servers string) *exec.Cmd, standing, pairs int, folder string,
	tell func(string, ...any)) (*Cost, error) {
	c := &Cost{Standing: standing, Build: filepath.Base(binary)}
	for i := range pairs {
		for turn := range 2 {
			with := ""
			if (turn+i)%2 == 0 {
				with = binary
			}
			p, err := takePath(ctx, with, relay, standing, folder)
			if err != nil {
				return nil, err
			}
			name := "relay"
			if with == "" {
				c.Relay = append(c.Relay, *p)
			} else {
				c.Proxy = append(c.Proxy, *p)
				name = c.Build
			}
			if tell != nil {
				tell("%d standing, pair %d, %s: set-up %.0f us, line %.0f us, CPU a line %.1f us, memory %.1f KB, idle %.1f us", standing, i+1, name,
					p.SetUp, p.Line, p.CPU, p.Memory, p.Idle)
			}
		}
	}
	return c, nil
}

// Room tells whether so many connections fit the descriptors that a process may have.
func Room(standing int) error {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return err
	}
	if most := (int(limit.Cur) - spareDescriptors) / 2; standing > most {
		return fmt.Errorf("%d connections need %d descriptors in a process, and %d are allowed: %d are the most", standing, 2*standing+spareDescriptors, limit.Cur, most)
	}
	return nil
}

func takePath(ctx context.Context, binary string, relay func(listen, servers string) *exec.Cmd, standing int, folder string) (*Path, error) {
	if err := Room(standing); err != nil {
		return nil, err
	}
	f, err := Parse("cost", []byte(costFile))
	if err != nil {
		return nil, err
	}
	book := ledger.Open()
	servers, err := fleet.Start(book, f.Plan(), 1)
	if err != nil {
		return nil, err
	}
	defer servers.Stop()
	address, held, err := reserve(0)
	if err != nil {
		return nil, err
	}
	defer held.Close()
	pid := 0
	if binary != "" {
		front, err := servers.Front(0, 0)
		if err != nil {
			return nil, err
		}
		i := &instance{address: address, folder: folder, binary: binary, front: front, seed: 1}
		if err := i.write(f); err != nil {
			return nil, err
		}
		if err := i.start(); err != nil {
			return nil, err
		}
		defer i.end(syscall.SIGKILL)
		pid = i.process.Process.Pid
	} else {
		cmd := relay(address, strings.Join(servers.Addresses(0), ","))
		cmd.Stderr = os.Stderr
		if err := cmd.Start(); err != nil {
			return nil, err
		}
		defer func() {
			_ = cmd.Process.Kill()
			_ = cmd.Wait()
		}()
		pid = cmd.Process.Pid
		if err := awaitListener(ctx, address); err != nil {
			return nil, err
		}
	}
	return measure(ctx, address, pid, standing)
}

func awaitListener(ctx context.Context, address string) error {
	for range 500 {
		c, err := net.DialTimeout("tcp", address, time.Second)
		if err == nil {
			return c.Close()
		}
		select {
		case <-time.After(10 * time.Millisecond):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return errors.New("the relay does not listen")
}

// caller is a client of few needs.
type caller struct {
	net.Conn
	in *lineReader
	n  int64
}

type lineReader struct{ *bufio.Reader }

func (r lineReader) line() (string, error) {
	text, err := r.ReadString('\n')
	return strings.TrimRight(text, "\r\n"), err
}

var callers uint64

// call sets a connection up.
func call(address string) (*caller, error) {
	c, err := net.DialTimeout("tcp", address, 5*time.Second)
	if err != nil {
		return nil, err
	}
	callers++
	_ = c.SetDeadline(time.Now().Add(5 * time.Second))
	if _, err := fmt.Fprintf(c, "OPEN %016x %016x c=chat,d=5000\r\n", callers, callers); err != nil {
		_ = c.Close()
		return nil, err
	}
	k := &caller{c, &lineReader{bufio.NewReaderSize(c, 256)}, 0}
	if word, err := k.in.line(); err != nil || !strings.HasPrefix(word, "UP ") {
		_ = c.Close()
		return nil, fmt.Errorf("no UP but %q, %w", word, err)
	}
	_ = c.SetDeadline(time.Time{})
	return k, nil
}

func (k *caller) send(at ledger.Micros) error {
	k.n++
	_, err := k.Write([]byte(fleet.Seal("M", k.n, int64(at))))
	return err
}

func measure(ctx context.Context, address string, pid, standing int) (*Path, error) {
	_, before, err := Usage(pid)
	if err != nil {
		return nil, err
	}
	stand := make([]*caller, 0, standing)
	defer func() {
		for _, k := range stand {
			_ = k.Close()
		}
	}()
	for range standing {
		k, err := call(address)
		if err != nil {
			return nil, fmt.Errorf("after %d connections: %w", len(stand), err)
		}
		stand = append(stand, k)
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
	}
	p := &Path{}
	cpu, after, err := Usage(pid)
	if err != nil {
		return nil, err
	}
	p.Memory = float64(after-before) / 1024 / float64(standing)
	time.Sleep(idle)
	rested, _, err := Usage(pid)
	if err != nil {
		return nil, err
	}
	p.Idle = float64((rested - cpu).Microseconds()) / idle.Seconds() / float64(standing)

	var took []float64
	for range askSetUps {
		began := time.Now()
		k, err := call(address)
		if err != nil {
			return nil, err
		}
		took = append(took, float64(time.Since(began).Microseconds()))
		_ = k.Close()
	}
	p.SetUp = Median(took)
	took = took[:0]
	for i := range askLines {
		k := stand[i%len(stand)]
		began := time.Now()
		if err := k.send(0); err != nil {
			return nil, err
		}
		if _, err := k.in.line(); err != nil {
			return nil, err
		}
		took = append(took, float64(time.Since(began).Nanoseconds())/1000)
	}
	p.Line = Median(took)
	if p.CPU, err = flooded(pid, stand); err != nil {
		return nil, err
	}
	return p, nil
}

// flooded has all connections carry lines for a while, a batch of them out at a time, and tells the CPU for each.
func flooded(pid int, stand []*caller) (float64, error) {
	const batch = 64
	before, _, err := Usage(pid)
	if err != nil {
		return 0, err
	}
	lines := 0
	for began := time.Now(); time.Since(began) < flood; {
		some := make([]*caller, 0, batch)
		for i := range min(batch, len(stand)) {
			some = append(some, stand[(lines+i)%len(stand)])
		}
		for _, k := range some {
			if err := k.send(0); err != nil {
				return 0, err
			}
		}
		for _, k := range some {
			if _, err := k.in.line(); err != nil {
				return 0, err
			}
		}
		lines += len(some)
	}
	after, _, err := Usage(pid)
	return float64((after - before).Microseconds()) / float64(lines), err
}
