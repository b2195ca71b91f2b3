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

// PathCost is what a program between clients and servers takes with so many connections standing.
type PathCost struct {
	SetUpMicros          float64 `json:"set_up_us"` // medians
	LineMicros           float64 `json:"line_us"`
	CPUMicrosPerLine     float64 `json:"cpu_us_a_line"`
	MemoryKBPerConn      float64 `json:"memory_kb_a_connection"`
	IdleCPUMicrosPerConn float64 `json:"cpu_us_a_second_and_connection"` // while the connections stand and say nothing
}

// Cost is what a proxy's path takes beside a bare relay's, in turn, in as many pairs.
type Cost struct {
	Connections int        `json:"standing"`
	Build       string     `json:"build"`
	Relay       []PathCost `json:"relay"`
	Proxy       []PathCost `json:"proxy"`
}

// MedianRatio is a proxy's figure over the relay's: the median of the pairs.
func (c Cost) MedianRatio(of func(PathCost) float64) float64 {
	var ratios []float64
	for i := range c.Proxy {
		if r := of(c.Relay[i]); r > 0 {
			ratios = append(ratios, of(c.Proxy[i])/r)
		}
	}
	return Median(ratios)
}

// Medians is a figure's median over the pairs.
func (c Cost) Medians(of func(PathCost) float64) (relay, proxy float64) {
	var r, p []float64
	for i := range c.Proxy {
		r, p = append(r, of(c.Relay[i])), append(p, of(c.Proxy[i]))
	}
	return Median(r), Median(p)
}

// CostFigures are the figures of a path, each with its name.
var CostFigures = []struct {
	Name string
	Of   func(PathCost) float64
}{
	{"set-up us", func(p PathCost) float64 { return p.SetUpMicros }}, {"line us", func(p PathCost) float64 { return p.LineMicros }},
	{"CPU us a line", func(p PathCost) float64 { return p.CPUMicrosPerLine }}, {"memory KB a connection", func(p PathCost) float64 { return p.MemoryKBPerConn }},
	{"CPU us a second and idle connection", func(p PathCost) float64 { return p.IdleCPUMicrosPerConn }},
}

// Summary tells it in a line.
func (c Cost) Summary() string {
	var parts []string
	for _, part := range CostFigures {
		r, p := c.Medians(part.Of)
		parts = append(parts, fmt.Sprintf("%s %.3g/%.3g=%.2f", part.Name, p, r, c.MedianRatio(part.Of)))
	}
	return strings.Join(parts, ", ")
}

const (
	// setUpSamples and askLines are how many are taken for a median, one after the other.
	setUpSamples = 300
	lineSamples  = 2000
	// floodTime is how long lines are sent over all connections for the CPU's figure.
	floodTime = 2 * time.Second
	// idleTime is how long nothing is sent.
	idleTime = 2 * time.Second
	// reservedDescriptors are those that no connection holds.
	reservedDescriptors = 400
)

// costExperiment is the experiment that costs are taken on: servers of unbounded capacity that answer at once.
const costExperiment = `name = "cost"
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

// MeasureCost measures a build beside a bare relay, in turn. relay starts a bare relay at an address before servers.
func MeasureCost(ctx context.Context, binary string, relay func(listen, servers string) *exec.Cmd, standing, pairs int, folder string,
	tell func(string, ...any)) (*Cost, error) {
	c := &Cost{Connections: standing, Build: filepath.Base(binary)}
	for i := range pairs {
		for turn := range 2 {
			with := ""
			if (turn+i)%2 == 0 {
				with = binary
			}
			p, err := measurePath(ctx, with, relay, standing, folder)
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
					p.SetUpMicros, p.LineMicros, p.CPUMicrosPerLine, p.MemoryKBPerConn, p.IdleCPUMicrosPerConn)
			}
		}
	}
	return c, nil
}

// CheckDescriptorLimit tells whether so many connections fit the descriptors that a process may have.
func CheckDescriptorLimit(standing int) error {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return err
	}
	if most := (int(limit.Cur) - reservedDescriptors) / 2; standing > most {
		return fmt.Errorf("%d connections need %d descriptors in a process, and %d are allowed: %d are the most", standing, 2*standing+reservedDescriptors, limit.Cur, most)
	}
	return nil
}

func measurePath(ctx context.Context, binary string, relay func(listen, servers string) *exec.Cmd, standing int, folder string) (*PathCost, error) {
	if err := CheckDescriptorLimit(standing); err != nil {
		return nil, err
	}
	f, err := Parse("cost", []byte(costExperiment))
	if err != nil {
		return nil, err
	}
	book := ledger.Open()
	servers, err := fleet.Start(book, f.Plan(), 1)
	if err != nil {
		return nil, err
	}
	defer servers.Stop()
	address, held, err := reserveAddress(0)
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
		i := &instance{address: address, dir: folder, binary: binary, discovery: front, seed: 1}
		if err := i.writeConfig(f); err != nil {
			return nil, err
		}
		if err := i.start(); err != nil {
			return nil, err
		}
		defer i.terminate(syscall.SIGKILL)
		pid = i.cmd.Process.Pid
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
	return measureProcess(ctx, address, pid, standing)
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

// testClient is a client of few needs.
type testClient struct {
	net.Conn
	reader       *lineReader
	messagesSent int64
}

type lineReader struct{ *bufio.Reader }

func (r lineReader) readLine() (string, error) {
	text, err := r.ReadString('\n')
	return strings.TrimRight(text, "\r\n"), err
}

var clientCount uint64

// dialTestClient sets a connection up.
func dialTestClient(address string) (*testClient, error) {
	c, err := net.DialTimeout("tcp", address, 5*time.Second)
	if err != nil {
		return nil, err
	}
	clientCount++
	_ = c.SetDeadline(time.Now().Add(5 * time.Second))
	if _, err := fmt.Fprintf(c, "OPEN %016x %016x c=chat,d=5000\r\n", clientCount, clientCount); err != nil {
		_ = c.Close()
		return nil, err
	}
	k := &testClient{c, &lineReader{bufio.NewReaderSize(c, 256)}, 0}
	if word, err := k.reader.readLine(); err != nil || !strings.HasPrefix(word, "UP ") {
		_ = c.Close()
		return nil, fmt.Errorf("no UP but %q, %w", word, err)
	}
	_ = c.SetDeadline(time.Time{})
	return k, nil
}

func (k *testClient) send(at ledger.Micros) error {
	k.messagesSent++
	_, err := k.Write([]byte(fleet.Seal("M", k.messagesSent, int64(at))))
	return err
}

func measureProcess(ctx context.Context, address string, pid, standing int) (*PathCost, error) {
	_, before, err := ProcessUsage(pid)
	if err != nil {
		return nil, err
	}
	stand := make([]*testClient, 0, standing)
	defer func() {
		for _, k := range stand {
			_ = k.Close()
		}
	}()
	for range standing {
		k, err := dialTestClient(address)
		if err != nil {
			return nil, fmt.Errorf("after %d connections: %w", len(stand), err)
		}
		stand = append(stand, k)
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
	}
	p := &PathCost{}
	cpu, after, err := ProcessUsage(pid)
	if err != nil {
		return nil, err
	}
	p.MemoryKBPerConn = float64(after-before) / 1024 / float64(standing)
	time.Sleep(idleTime)
	rested, _, err := ProcessUsage(pid)
	if err != nil {
		return nil, err
	}
	p.IdleCPUMicrosPerConn = float64((rested - cpu).Microseconds()) / idleTime.Seconds() / float64(standing)

	var took []float64
	for range setUpSamples {
		began := time.Now()
		k, err := dialTestClient(address)
		if err != nil {
			return nil, err
		}
		took = append(took, float64(time.Since(began).Microseconds()))
		_ = k.Close()
	}
	p.SetUpMicros = Median(took)
	took = took[:0]
	for i := range lineSamples {
		k := stand[i%len(stand)]
		began := time.Now()
		if err := k.send(0); err != nil {
			return nil, err
		}
		if _, err := k.reader.readLine(); err != nil {
			return nil, err
		}
		took = append(took, float64(time.Since(began).Nanoseconds())/1000)
	}
	p.LineMicros = Median(took)
	if p.CPUMicrosPerLine, err = cpuMicrosPerLine(pid, stand); err != nil {
		return nil, err
	}
	return p, nil
}

// cpuMicrosPerLine has all connections carry lines for a while, a batch of them out at a time, and tells the CPU for each.
func cpuMicrosPerLine(pid int, stand []*testClient) (float64, error) {
	const batch = 64
	before, _, err := ProcessUsage(pid)
	if err != nil {
		return 0, err
	}
	lines := 0
	for began := time.Now(); time.Since(began) < floodTime; {
		some := make([]*testClient, 0, batch)
		for i := range min(batch, len(stand)) {
			some = append(some, stand[(lines+i)%len(stand)])
		}
		for _, k := range some {
			if err := k.send(0); err != nil {
				return 0, err
			}
		}
		for _, k := range some {
			if _, err := k.reader.readLine(); err != nil {
				return 0, err
			}
		}
		lines += len(some)
	}
	after, _, err := ProcessUsage(pid)
	return float64((after - before).Microseconds()) / float64(lines), err
}
