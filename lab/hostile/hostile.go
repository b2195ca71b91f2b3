// Package hostile plays clients that reset, flood, write slowly or repeat themselves against a real proxy process, beside an ordinary
// load, and reports what the process used and what the ordinary clients saw.
package hostile

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"hatchproxy/lab/fleet"
)

// Options of a run.
type Options struct {
	Program     string // the proxy's program
	MemoryMB    int    // the limit on its memory, as its configuration tells it
	Descriptors int    // the limit on its descriptors, which also is in force
	Clients     int    // how many hostile clients there are at a time
	Duration    time.Duration
	Seed        uint64
}

// Latencies are percentiles of what ordinary clients waited.
type Latencies struct{ P50, P99, Max time.Duration }

// Report is what was seen in a run.
type Report struct {
	Kind                  string
	Operations            int64 // of the hostile clients: connections, or lines
	PeakMemoryMB          float64
	DescriptorsBefore     int
	DescriptorsPeak       int
	DescriptorsAfter      int // some seconds after the last hostile client
	SetUps, Lines         Latencies
	SetUpCount, LineCount int
	Refused               int // ordinary requests that were answered BUSY
	Unserved              int // ordinary requests without an answer, and ordinary lines without one
	Repeated              int // ids that were run more than once
}

const (
	ordinaryClients = 8                       // established clients of the ordinary load
	lineInterval    = 20 * time.Millisecond   // between the lines of an ordinary client
	setUpInterval   = 20 * time.Millisecond   // between the requests of ordinary clients
	ordinaryTimeout = 3 * time.Second         // after which an ordinary client is unserved
	settleTime      = 1500 * time.Millisecond // after which a proxy has no descriptor of a client that has left
	observeInterval = 20 * time.Millisecond
)

// run is a run in progress.
type run struct {
	options Options
	address string
	process *exec.Cmd
	server  *server
	lastID  atomic.Uint64

	mu     sync.Mutex
	report Report
	setUps []time.Duration
	lines  []time.Duration
}

// Run plays one kind of hostile clients against a proxy process of its own.
func Run(ctx context.Context, kind Kind, options Options) (Report, error) {
	r := &run{options: options}
	r.report.Kind = kind.Name
	r.lastID.Store(options.Seed << 32)
	folder, err := os.MkdirTemp("", "hostile")
	if err != nil {
		return Report{}, err
	}
	defer os.RemoveAll(folder)
	if err := r.start(folder); err != nil {
		return Report{}, err
	}
	defer r.stop()
	if err := r.play(ctx, kind); err != nil {
		return Report{}, err
	}
	r.report.SetUps, r.report.Lines = percentiles(r.setUps), percentiles(r.lines)
	r.report.SetUpCount, r.report.LineCount = len(r.setUps), len(r.lines)
	r.report.Repeated = r.server.repeated()
	return r.report, nil
}

// configuration of the proxy, with placeholders for its address, discovery's, the memory and the descriptors.
const configuration = `{"name":"n0","listen":%q,"discovery":%q,"seed":"7","limits":{"cores":1.0,"memory_mb":%d,"sockets":%d},
"known":{"rev":0,"all":true,"targets":[]},"settings":{"localities":["a"],"models":["m"],"membership-mode":"subscribe","limits":{"max-dispatches":3},
"products":[{"name":"chat","idempotency":"repeatable","hard-limit-ms":1500.0},{"name":"pay","idempotency":"once","hard-limit-ms":1500.0}]}}`

// start starts discovery, a server and the proxy, and waits until the proxy is ready.
func (r *run) start(folder string) (err error) {
	if r.server, err = startServer(); err != nil {
		return err
	}
	list, err := fleet.StartManualDiscovery()
	if err != nil {
		return err
	}
	list.SetServer("s0", r.server.listener.Addr().String(), "ready")
	placeholder, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	r.address = placeholder.Addr().String()
	_ = placeholder.Close()
	path := filepath.Join(folder, "config.json")
	text := fmt.Sprintf(configuration, r.address, list.Address(), r.options.MemoryMB, r.options.Descriptors)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		return err
	}
	r.process = exec.Command("/bin/sh", "-c", fmt.Sprintf(`ulimit -n %d; exec "$0" serve --config "$1" --log-level error`, r.options.Descriptors), r.options.Program, path)
	r.process.Stderr = os.Stderr
	r.process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := r.process.Start(); err != nil {
		return err
	}
	for range 500 {
		time.Sleep(10 * time.Millisecond)
		if conn, err := net.Dial("tcp", r.address); err == nil {
			_, _ = io.WriteString(conn, "PING\r\n")
			line, _ := bufio.NewReader(conn).ReadString('\n')
			_ = conn.Close()
			if line == "PONG\r\n" {
				return nil
			}
		}
	}
	r.stop()
	return errors.New("the proxy does not become ready")
}

// stop ends the proxy.
func (r *run) stop() {
	_ = r.process.Process.Kill()
	_ = r.process.Wait()
	_ = r.server.listener.Close()
}

// play runs the ordinary load alone, then beside the hostile clients, and alone again.
func (r *run) play(ctx context.Context, kind Kind) error {
	ordinary, endOrdinary := context.WithCancel(ctx)
	defer endOrdinary()
	var load sync.WaitGroup
	var hostileBegan atomic.Bool
	for range ordinaryClients {
		load.Go(func() { r.exchangeLines(ordinary, &hostileBegan) })
	}
	pause(ctx, 500*time.Millisecond)
	r.report.DescriptorsBefore = r.descriptors()
	load.Go(func() { r.setUpClients(ordinary, &hostileBegan) })
	load.Go(func() { r.observe(ordinary) })
	hostileBegan.Store(true)
	hostile, endHostile := context.WithTimeout(ctx, r.options.Duration)
	defer endHostile()
	var operations atomic.Int64
	var clients sync.WaitGroup
	for n := range r.options.Clients {
		c := &client{address: r.address, random: rand.New(rand.NewPCG(r.options.Seed, uint64(n))), lastID: &r.lastID, operations: &operations}
		clients.Go(func() { kind.run(hostile, c) })
	}
	clients.Wait()
	r.report.Operations = operations.Load()
	hostileBegan.Store(false)
	endOrdinaryAfter := time.AfterFunc(settleTime, endOrdinary)
	defer endOrdinaryAfter.Stop()
	load.Wait()
	pause(ctx, settleTime)
	r.report.DescriptorsAfter = r.descriptors()
	if err := r.process.Process.Signal(syscall.Signal(0)); err != nil {
		return fmt.Errorf("the proxy has ended: %w", err)
	}
	return nil
}

// exchangeLines is an ordinary client that stands, and measures the answers to its lines while hostile clients are there.
func (r *run) exchangeLines(ctx context.Context, measured *atomic.Bool) {
	for ctx.Err() == nil {
		conn, reader, answer := r.establish()
		if answer != "UP a\r\n" {
			pause(ctx, 10*time.Millisecond)
			continue
		}
		for ctx.Err() == nil {
			began := time.Now()
			_ = conn.SetDeadline(began.Add(ordinaryTimeout))
			_, _ = io.WriteString(conn, "M 1\r\n")
			line, err := reader.ReadString('\n')
			took := time.Since(began)
			if line == "MOVE\r\n" {
				break
			}
			r.mu.Lock()
			if err != nil || line != "M 1\r\n" {
				r.report.Unserved++
			} else if measured.Load() {
				r.lines = append(r.lines, took)
			}
			r.mu.Unlock()
			if err != nil {
				break
			}
			pause(ctx, lineInterval)
		}
		_ = conn.Close()
	}
}

// setUpClients measures the answers to ordinary requests, one after the other.
func (r *run) setUpClients(ctx context.Context, measured *atomic.Bool) {
	for ctx.Err() == nil {
		began := time.Now()
		conn, _, answer := r.establish()
		took := time.Since(began)
		r.mu.Lock()
		switch {
		case answer == "UP a\r\n" && measured.Load():
			r.setUps = append(r.setUps, took)
		case strings.HasPrefix(answer, "BUSY"):
			r.report.Refused++
		case answer == "":
			r.report.Unserved++
		}
		r.mu.Unlock()
		if conn != nil {
			_ = conn.Close()
		}
		pause(ctx, setUpInterval)
	}
}

// establish sends a request on a new connection and returns its answer; "" if there is none.
func (r *run) establish() (conn net.Conn, reader *bufio.Reader, answer string) {
	conn, err := net.DialTimeout("tcp", r.address, ordinaryTimeout)
	if err != nil {
		return nil, nil, ""
	}
	_ = conn.SetDeadline(time.Now().Add(ordinaryTimeout))
	_, _ = fmt.Fprintf(conn, "OPEN %x %x c=chat,d=1500\r\n", r.lastID.Add(1), rand.Uint64()|1)
	reader = bufio.NewReader(conn)
	answer, _ = reader.ReadString('\n')
	return conn, reader, answer
}

// observe notes the process's peak of memory and descriptors.
func (r *run) observe(ctx context.Context) {
	for ctx.Err() == nil {
		memory, open := r.peakMemoryMB(), r.descriptors()
		r.mu.Lock()
		r.report.PeakMemoryMB = max(r.report.PeakMemoryMB, memory)
		r.report.DescriptorsPeak = max(r.report.DescriptorsPeak, open)
		r.mu.Unlock()
		pause(ctx, observeInterval)
	}
}

// descriptors returns how many descriptors the process has open.
func (r *run) descriptors() int {
	entries, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", r.process.Process.Pid))
	return len(entries)
}

// peakMemoryMB returns the most memory that the process has had resident.
func (r *run) peakMemoryMB() float64 {
	text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", r.process.Process.Pid))
	for line := range strings.Lines(string(text)) {
		if value, found := strings.CutPrefix(line, "VmHWM:"); found {
			kilobytes, _ := strconv.Atoi(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(value), "kB")))
			return float64(kilobytes) / 1024
		}
	}
	return 0
}

// percentiles returns the percentiles of a sample.
func percentiles(sample []time.Duration) (l Latencies) {
	if len(sample) == 0 {
		return l
	}
	sample = slices.Sorted(slices.Values(sample))
	return Latencies{sample[len(sample)/2], sample[len(sample)*99/100], sample[len(sample)-1]}
}
