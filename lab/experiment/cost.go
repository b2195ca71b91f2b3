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

// PathCost is what a program between clients and servers, a proxy or a bare relay, costs with a number of established connections.
type PathCost struct {
	SetUpMicros          float64 `json:"set_up_us"` // median
	LineMicros           float64 `json:"line_us"`   // median round trip of a message, which is one line
	CPUMicrosPerLine     float64 `json:"cpu_us_a_line"`
	MemoryKBPerConn      float64 `json:"memory_kb_a_connection"`
	IdleCPUMicrosPerConn float64 `json:"cpu_us_a_second_and_connection"` // CPU time per second and idle connection
}

// Cost compares what a proxy costs with what a bare relay costs, over pairs of measurements: Relay[i] and Proxy[i] are a pair.
type Cost struct {
	Connections int        `json:"standing"` // established while a path was measured
	Build       string     `json:"build"`    // file name of the proxy's binary
	Relay       []PathCost `json:"relay"`
	Proxy       []PathCost `json:"proxy"`
}

// MedianRatio returns the median, over the pairs, of the proxy's figure divided by the relay's. Pairs whose relay figure is not
// above 0 are left out.
func (c Cost) MedianRatio(figure func(PathCost) float64) float64 {
	var ratios []float64
	for i := range c.Proxy {
		if r := figure(c.Relay[i]); r > 0 {
			ratios = append(ratios, figure(c.Proxy[i])/r)
		}
	}
	return Median(ratios)
}

// Medians returns the median of a figure of the relay and of the proxy.
func (c Cost) Medians(figure func(PathCost) float64) (relay, proxy float64) {
	var relays, proxies []float64
	for i := range c.Proxy {
		relays, proxies = append(relays, figure(c.Relay[i])), append(proxies, figure(c.Proxy[i]))
	}
	return Median(relays), Median(proxies)
}

// CostFigures are the figures of a PathCost, each with its name and unit.
var CostFigures = []struct {
	Name  string
	Value func(PathCost) float64
}{
	{"set-up us", func(p PathCost) float64 { return p.SetUpMicros }}, {"line us", func(p PathCost) float64 { return p.LineMicros }},
	{"CPU us a line", func(p PathCost) float64 { return p.CPUMicrosPerLine }}, {"memory KB a connection", func(p PathCost) float64 { return p.MemoryKBPerConn }},
	{"CPU us a second and idle connection", func(p PathCost) float64 { return p.IdleCPUMicrosPerConn }},
}

// Summary returns a line with proxy, relay and ratio of each figure.
func (c Cost) Summary() string {
	var parts []string
	for _, figure := range CostFigures {
		relay, proxy := c.Medians(figure.Value)
		parts = append(parts, fmt.Sprintf("%s %.3g/%.3g=%.2f", figure.Name, proxy, relay, c.MedianRatio(figure.Value)))
	}
	return strings.Join(parts, ", ")
}

const (
	// setUpSamples and lineSamples are the numbers of set-ups and lines that a median is taken of; they run one after the other.
	setUpSamples = 300
	lineSamples  = 2000
	// floodTime is how long lines are sent over all connections to measure the CPU time of a line.
	floodTime = 2 * time.Second
	// idleTime is how long nothing is sent, to measure the CPU time of idle connections.
	idleTime = 2 * time.Second
	// reservedDescriptors is the number of descriptors that CheckDescriptorLimit leaves to other uses than connections.
	reservedDescriptors = 400
)

// costExperiment is the experiment that costs are measured on: servers of unlimited capacity that answer at once.
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

// MeasureCost measures a proxy's binary and a bare relay in turn, in a number of pairs, each with the given number of established
// connections. relay returns the command of a relay that listens on an address and connects to a comma-separated list of
// servers; dir takes the proxy's files; logf, which may be nil, reports progress.
func MeasureCost(ctx context.Context, binary string, relay func(listen, servers string) *exec.Cmd, connections, pairs int, dir string,
	logf func(string, ...any)) (*Cost, error) {
	cost := &Cost{Connections: connections, Build: filepath.Base(binary)}
	for i := range pairs {
		for turn := range 2 {
			measured := ""
			if (turn+i)%2 == 0 {
				measured = binary
			}
			path, err := measurePath(ctx, measured, relay, connections, dir)
			if err != nil {
				return nil, err
			}
			name := "relay"
			if measured == "" {
				cost.Relay = append(cost.Relay, *path)
			} else {
				cost.Proxy = append(cost.Proxy, *path)
				name = cost.Build
			}
			if logf != nil {
				logf("%d connections, pair %d, %s: set-up %.0f us, line %.0f us, CPU per line %.1f us, memory %.1f KB, idle %.1f us", connections, i+1, name,
					path.SetUpMicros, path.LineMicros, path.CPUMicrosPerLine, path.MemoryKBPerConn, path.IdleCPUMicrosPerConn)
			}
		}
	}
	return cost, nil
}

// CheckDescriptorLimit returns an error if a number of connections needs more file descriptors than a process may have, at two
// for each connection.
func CheckDescriptorLimit(connections int) error {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return err
	}
	if maxConnections := (int(limit.Cur) - reservedDescriptors) / 2; connections > maxConnections {
		return fmt.Errorf("%d connections need %d file descriptors in a process, but the limit is %d: at most %d connections are possible", connections, 2*connections+reservedDescriptors, limit.Cur, maxConnections)
	}
	return nil
}

// measurePath starts a proxy, or a relay if binary is empty, in front of a fleet of its own, and measures it.
func measurePath(ctx context.Context, binary string, relay func(listen, servers string) *exec.Cmd, connections int, dir string) (*PathCost, error) {
	if err := CheckDescriptorLimit(connections); err != nil {
		return nil, err
	}
	file, err := Parse("cost", []byte(costExperiment))
	if err != nil {
		return nil, err
	}
	eventLog := ledger.NewEventLog()
	servers, err := fleet.Start(eventLog, file.FleetConfig(), 1)
	if err != nil {
		return nil, err
	}
	defer servers.Stop()
	address, reservation, err := reserveAddress(0)
	if err != nil {
		return nil, err
	}
	defer reservation.Close()
	pid := 0
	if binary != "" {
		discovery, err := servers.StartDiscovery(0, 0)
		if err != nil {
			return nil, err
		}
		proxy := &instance{address: address, dir: dir, binary: binary, discovery: discovery, seed: 1}
		if err := proxy.writeConfig(file); err != nil {
			return nil, err
		}
		if err := proxy.start(); err != nil {
			return nil, err
		}
		defer proxy.terminate(syscall.SIGKILL)
		pid = proxy.cmd.Process.Pid
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
	return measureProcess(ctx, address, pid, connections)
}

// awaitListener waits until something listens on an address, up to 5 s for refused connections.
func awaitListener(ctx context.Context, address string) error {
	for range 500 {
		conn, err := net.DialTimeout("tcp", address, time.Second)
		if err == nil {
			return conn.Close()
		}
		select {
		case <-time.After(10 * time.Millisecond):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return errors.New("the relay does not listen on its address")
}

// testClient is a minimal client: one established connection.
type testClient struct {
	net.Conn
	reader       *lineReader
	messagesSent int64
}

// lineReader reads lines and cuts their line ends off.
type lineReader struct{ *bufio.Reader }

func (r lineReader) readLine() (string, error) {
	text, err := r.ReadString('\n')
	return strings.TrimRight(text, "\r\n"), err
}

// clientCount numbers the clients of this process; each uses its number as id and key.
var clientCount uint64

// dialTestClient connects, sends a request and waits for UP. Connecting may take 5 s, and the rest another 5 s.
func dialTestClient(address string) (*testClient, error) {
	conn, err := net.DialTimeout("tcp", address, 5*time.Second)
	if err != nil {
		return nil, err
	}
	clientCount++
	_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
	if _, err := fmt.Fprintf(conn, "OPEN %016x %016x c=chat,d=5000\r\n", clientCount, clientCount); err != nil {
		_ = conn.Close()
		return nil, err
	}
	client := &testClient{conn, &lineReader{bufio.NewReaderSize(conn, 256)}, 0}
	if line, err := client.reader.readLine(); err != nil || !strings.HasPrefix(line, "UP ") {
		_ = conn.Close()
		return nil, fmt.Errorf("expected UP, got %q: %w", line, err)
	}
	_ = conn.SetDeadline(time.Time{})
	return client, nil
}

// send sends the client's next message, stamped with a time.
func (client *testClient) send(at ledger.Micros) error {
	client.messagesSent++
	_, err := client.Write([]byte(fleet.FormatLine("M", client.messagesSent, int64(at))))
	return err
}

// measureProcess measures the process that listens on an address, with a number of established connections.
func measureProcess(ctx context.Context, address string, pid, connections int) (*PathCost, error) {
	_, memoryBefore, err := ProcessUsage(pid)
	if err != nil {
		return nil, err
	}
	clients := make([]*testClient, 0, connections)
	defer func() {
		for _, client := range clients {
			_ = client.Close()
		}
	}()
	for range connections {
		client, err := dialTestClient(address)
		if err != nil {
			return nil, fmt.Errorf("after %d established connections: %w", len(clients), err)
		}
		clients = append(clients, client)
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
	}
	cost := &PathCost{}
	cpuBefore, memoryAfter, err := ProcessUsage(pid)
	if err != nil {
		return nil, err
	}
	cost.MemoryKBPerConn = float64(memoryAfter-memoryBefore) / 1024 / float64(connections)
	time.Sleep(idleTime)
	cpuAfter, _, err := ProcessUsage(pid)
	if err != nil {
		return nil, err
	}
	cost.IdleCPUMicrosPerConn = float64((cpuAfter - cpuBefore).Microseconds()) / idleTime.Seconds() / float64(connections)

	var samples []float64
	for range setUpSamples {
		startedAt := time.Now()
		client, err := dialTestClient(address)
		if err != nil {
			return nil, err
		}
		samples = append(samples, float64(time.Since(startedAt).Microseconds()))
		_ = client.Close()
	}
	cost.SetUpMicros = Median(samples)
	samples = samples[:0]
	for i := range lineSamples {
		client := clients[i%len(clients)]
		startedAt := time.Now()
		if err := client.send(0); err != nil {
			return nil, err
		}
		if _, err := client.reader.readLine(); err != nil {
			return nil, err
		}
		samples = append(samples, float64(time.Since(startedAt).Nanoseconds())/1000)
	}
	cost.LineMicros = Median(samples)
	if cost.CPUMicrosPerLine, err = cpuMicrosPerLine(pid, clients); err != nil {
		return nil, err
	}
	return cost, nil
}

// cpuMicrosPerLine sends lines over all connections for floodTime, a batch of them at a time, and returns the CPU time that the
// process took for each line, in microseconds.
func cpuMicrosPerLine(pid int, clients []*testClient) (float64, error) {
	const batch = 64
	cpuBefore, _, err := ProcessUsage(pid)
	if err != nil {
		return 0, err
	}
	lines := 0
	for startedAt := time.Now(); time.Since(startedAt) < floodTime; {
		sending := make([]*testClient, 0, batch)
		for i := range min(batch, len(clients)) {
			sending = append(sending, clients[(lines+i)%len(clients)])
		}
		for _, client := range sending {
			if err := client.send(0); err != nil {
				return 0, err
			}
		}
		for _, client := range sending {
			if _, err := client.reader.readLine(); err != nil {
				return 0, err
			}
		}
		lines += len(sending)
	}
	cpuAfter, _, err := ProcessUsage(pid)
	return float64((cpuAfter - cpuBefore).Microseconds()) / float64(lines), err
}
