package experiment

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"hatchproxy/lab/fleet"
	"hatchproxy/lab/ledger"
)

// instance is a proxy of a run, over all the processes that it is started as.
type instance struct {
	number      int
	zone        int
	address     string
	dir         string
	binary      string
	discovery   *fleet.DiscoveryServer
	reservation io.Closer // of its address
	seed        uint64

	syscalls syscallFaults // faults of system calls in its processes

	processFile string // where its agent records which process it is; "" if this package starts it

	mu           sync.Mutex
	cmd          *exec.Cmd
	exited       chan struct{} // closed when the process has exited
	shouldRun    bool          // while true, an exit is a crash
	ready        bool          // clients are sent to it
	crashes      int
	crashReports []string      // each with the end of the log
	uncleanExits int           // planned exits with an error, or that needed SIGKILL
	earlierCPU   time.Duration // of the processes before the current one
	maxRSS       int64         // largest resident memory seen, in bytes
}

// proxyConfig returns the configuration file of a proxy, in the platform's format (JSON).
func (f *File) proxyConfig(proxy *instance) ([]byte, error) {
	type table = map[string]any
	var products []table
	var messages []float64
	ms := func(s Duration) float64 { return float64(s.Micros) / 1000 }
	idempotencies := map[ledger.Idempotency]string{ledger.Harmless: "repeatable", ledger.Stamped: "by_key", ledger.OneShot: "once"}
	dedupScopes := map[ledger.DedupScope]string{ledger.DedupAll: "all", ledger.DedupZone: "zone", ledger.DedupCell: "cell"}
	loadProducts := f.products()
	for index, p := range f.Product {
		products = append(products, table{"name": p.Name, "idempotency": idempotencies[idempotencyByName[p.Repeat]], "gain": loadProducts[index].Gain,
			"group": dedupScopes[dedupScopeByName[p.Reach]], "window-ms": ms(p.Window), "quoted-time-ms": ms(p.Quoted), "hard-limit-ms": ms(p.Limit)})
		messages = append(messages, float64(loadProducts[index].QuotedMessageTime)/1000)
	}
	kinds := []string{}
	for _, kind := range f.Fleet.Kind {
		kinds = append(kinds, kind.Name)
	}
	section := f.Fleet
	return json.MarshalIndent(table{
		"name": fmt.Sprintf("n%d", proxy.number), "listen": proxy.address, "discovery": proxy.discovery.Address(),
		"seed":   fmt.Sprintf("%016x", proxy.seed),
		"limits": table{"cores": 1.0, "memory_mb": f.Proxies.MemoryMB, "sockets": f.Proxies.Sockets},
		"known":  table{"rev": 0, "all": true, "targets": []int{}},
		"settings": table{
			"my-number": proxy.number, "group-size": f.Proxies.Count, "zone": proxy.zone, "localities": section.Zones, "models": kinds,
			"weight-kind": section.Weights, "membership-mode": "subscribe", "products": products,
			"family-info": table{"mode": "proxy", "message-aim-ms": messages},
			"limits":      table{"max-dispatches": f.Proxies.Dispatches, "dial-timeout-ms": 250.0, "probes": section.Probes},
			"invariants": table{"ask-within-ms": 10000.0, "start-capacity": section.Cold.From, "cold-ms": ms(section.Cold.Warm),
				"fall-multiple": section.Cold.Multiple, "fall-ms": ms(section.Cold.Window), "stop-sending-within-ms": ms(f.Proxies.Grace)},
			"prices": table{"cross-zone": 0.2, "moves": 0.013},
		},
	}, "", "  ")
}

// writeConfig replaces the proxy's configuration file atomically.
func (i *instance) writeConfig(f *File) error {
	text, err := f.proxyConfig(i)
	if err != nil {
		return err
	}
	path := i.configPath()
	if err := os.WriteFile(path+".new", text, 0o600); err != nil {
		return err
	}
	return os.Rename(path+".new", path)
}

func (i *instance) configPath() string {
	return filepath.Join(i.dir, fmt.Sprintf("n%d.json", i.number))
}
func (i *instance) logPath() string { return filepath.Join(i.dir, fmt.Sprintf("n%d.log", i.number)) }

// start starts a process of the proxy and waits until it is ready. It also watches for the process's exit, which counts as a crash
// unless it was planned.
func (i *instance) start() error {
	log, err := os.OpenFile(i.logPath(), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command(i.binary, "serve", "--config", i.configPath())
	cmd.Stdout, cmd.Stderr = log, log
	if err := i.syscalls.start(cmd, i.seed); err != nil {
		return err
	}
	exited := make(chan struct{})
	i.mu.Lock()
	i.cmd, i.exited, i.shouldRun = cmd, exited, true
	i.mu.Unlock()
	go func() {
		_ = cmd.Wait()
		i.mu.Lock()
		if i.shouldRun {
			i.crashes++
			i.crashReports = append(i.crashReports, fmt.Sprintf("proxy %d exited unexpectedly: %s\n%s", i.number, cmd.ProcessState, lastLines(i.logPath(), 12)))
		}
		i.ready = false
		i.earlierCPU += cmd.ProcessState.UserTime() + cmd.ProcessState.SystemTime()
		if usage, known := cmd.ProcessState.SysUsage().(*syscall.Rusage); known {
			i.maxRSS = max(i.maxRSS, usage.Maxrss<<10)
		}
		i.cmd = nil
		i.mu.Unlock()
		close(exited)
	}()
	return i.awaitReady(exited)
}

// readyTimeout limits a proxy's start. It is far above what a start takes even on a busy machine.
const readyTimeout = 15 * time.Second

// awaitReady waits until the proxy is ready, and then lets clients be sent to it.
func (i *instance) awaitReady(exited <-chan struct{}) error {
	deadline := time.Now().Add(readyTimeout)
	for time.Now().Before(deadline) {
		select {
		case <-exited:
			return fmt.Errorf("proxy %d exited while it started:\n%s", i.number, lastLines(i.logPath(), 10))
		case <-time.After(10 * time.Millisecond):
		}
		if answersPing(i.address) {
			i.mu.Lock()
			i.ready = true
			i.mu.Unlock()
			i.syscalls.processReady()
			return nil
		}
	}
	return fmt.Errorf("proxy %d is not ready after %s:\n%s", i.number, readyTimeout, lastLines(i.logPath(), 10))
}

// answersPing reports whether a proxy answers PING with PONG, that is, is ready.
func answersPing(address string) bool {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return false
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(time.Second))
	_, _ = conn.Write([]byte("PING\r\n"))
	line, _ := bufio.NewReader(conn).ReadString('\n')
	return line == "PONG\r\n"
}

// lastLines returns the last lines of a file; "" if it can't be read.
func lastLines(path string, count int) string {
	text, _ := os.ReadFile(path)
	all := strings.Split(strings.TrimSpace(string(text)), "\n")
	return strings.Join(all[max(0, len(all)-count):], "\n")
}

// signal sends a signal to the proxy's process; it returns false if none runs.
func (i *instance) signal(s syscall.Signal) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.processFile != "" {
		pid := i.managedPID()
		return pid > 1 && syscall.Kill(pid, s) == nil
	}
	return i.cmd != nil && i.cmd.Process.Signal(s) == nil
}

// terminate ends the proxy's process by a signal and waits for its exit; after 6 s it sends SIGKILL.
func (i *instance) terminate(signal syscall.Signal) {
	i.mu.Lock()
	i.shouldRun = false
	exited := i.exited
	i.mu.Unlock()
	if exited == nil || !i.signal(signal) {
		return
	}
	select {
	case <-exited:
	case <-time.After(6 * time.Second):
		i.signal(syscall.SIGKILL)
		<-exited
	}
}

// usage returns the CPU time and the largest resident memory, in bytes, of the proxy's processes.
func (i *instance) usage() (cpu time.Duration, rss int64) {
	i.mu.Lock()
	defer i.mu.Unlock()
	cpu, rss = i.earlierCPU, i.maxRSS
	if i.processFile != "" {
		if c, r, err := ProcessUsage(i.managedPID()); err == nil {
			i.maxRSS = max(i.maxRSS, r)
			return c, i.maxRSS
		}
		return cpu, rss
	}
	if i.cmd != nil {
		c, r, err := ProcessUsage(i.cmd.Process.Pid)
		if err == nil {
			cpu, rss = cpu+c, max(rss, r)
		}
	}
	return cpu, rss
}

// clockTick is the unit of CPU times in /proc/PID/stat: 1/100 s on all Linux platforms that Go supports.
const clockTick = 10 * time.Millisecond

// ProcessUsage returns a process's CPU time and its resident memory in bytes, from /proc.
func ProcessUsage(pid int) (cpu time.Duration, rss int64, err error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, 0, err
	}
	nameEnd := strings.LastIndexByte(string(text), ')')
	if nameEnd < 0 {
		return 0, 0, errors.New("/proc/PID/stat has an unexpected format")
	}
	fields := strings.Fields(string(text[nameEnd+1:]))
	if len(fields) < 22 {
		return 0, 0, errors.New("/proc/PID/stat has an unexpected format")
	}
	var values [3]int64
	for n, index := range []int{11, 12, 21} {
		if values[n], err = strconv.ParseInt(fields[index], 10, 64); err != nil {
			return 0, 0, err
		}
	}
	return time.Duration(values[0]+values[1]) * clockTick, values[2] * int64(os.Getpagesize()), nil
}

// reserveAddress finds a loopback address on which nothing listens, and reserves it until the closer is closed. Without a
// reservation a run that starts at the same time could choose the same address, because proxies listen in a way that lets a
// second process listen on it too. The reservation is a UDP socket of the same port, which no proxy uses.
func reserveAddress(number int) (string, io.Closer, error) {
	for range 50 {
		listener, err := net.Listen("tcp", fmt.Sprintf("127.1.0.%d:0", 1+number%250))
		if err != nil {
			return "", nil, err
		}
		address := listener.Addr().String()
		reservation, err := net.ListenPacket("udp", address)
		_ = listener.Close()
		if err == nil {
			return address, reservation, nil
		}
	}
	return "", nil, errors.New("no free address found")
}
