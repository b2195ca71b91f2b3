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

// instance is a proxy that runs, or did.
type instance struct {
	number      int
	zone        int
	address     string
	dir         string
	binary      string
	discovery   *fleet.Front
	reservation io.Closer // its address
	seed        uint64

	syscalls syscallFaults // what fails in its processes

	processFile string // where its agent writes down which process it is; "" where the rig starts it itself

	mu           sync.Mutex
	cmd          *exec.Cmd
	exited       chan struct{} // closed when the process has
	shouldRun    bool          // it is to run: an end is a crash
	ready        bool          // clients are sent there
	crashes      int
	crashReports []string      // what is known of each
	uncleanExits int           // planned ends that were not in good order, or in time
	earlierCPU   time.Duration // of the processes before the present one
	maxRSS       int64         // the most that was seen, in bytes
}

// proxyConfig is the file that a proxy is told its start by, in the platform's form.
func (f *File) proxyConfig(i *instance) ([]byte, error) {
	type table = map[string]any
	var products []table
	var messages []float64
	ms := func(s Duration) float64 { return float64(s.Micros) / 1000 }
	words := map[ledger.Repeat]string{ledger.Harmless: "repeatable", ledger.Stamped: "by_key", ledger.OneShot: "once"}
	reach := map[ledger.Reach]string{ledger.ReachAll: "all", ledger.ReachZone: "zone", ledger.ReachCell: "cell"}
	loads := f.products()
	for n, p := range f.Product {
		products = append(products, table{"name": p.Name, "idempotency": words[idempotencyByName[p.Repeat]], "gain": loads[n].Gain,
			"group": reach[dedupScopeByName[p.Reach]], "window-ms": ms(p.Window), "quoted-time-ms": ms(p.Quoted), "hard-limit-ms": ms(p.Limit)})
		messages = append(messages, float64(loads[n].Message)/1000)
	}
	kinds := []string{}
	for _, k := range f.Fleet.Kind {
		kinds = append(kinds, k.Name)
	}
	x := f.Fleet
	return json.MarshalIndent(table{
		"name": fmt.Sprintf("n%d", i.number), "listen": i.address, "discovery": i.discovery.Address(),
		"seed":   fmt.Sprintf("%016x", i.seed),
		"limits": table{"cores": 1.0, "memory_mb": f.Proxies.MemoryMB, "sockets": f.Proxies.Sockets},
		"known":  table{"rev": 0, "all": true, "targets": []int{}},
		"settings": table{
			"my-number": i.number, "group-size": f.Proxies.Count, "zone": i.zone, "localities": x.Zones, "models": kinds,
			"weight-kind": x.Weights, "membership-mode": "subscribe", "products": products,
			"family-info": table{"mode": "proxy", "message-aim-ms": messages},
			"limits":      table{"max-dispatches": f.Proxies.Dispatches, "dial-timeout-ms": 250.0, "probes": x.Probes},
			"invariants": table{"ask-within-ms": 10000.0, "start-capacity": x.Cold.From, "cold-ms": ms(x.Cold.Warm),
				"fall-multiple": x.Cold.Multiple, "fall-ms": ms(x.Cold.Window), "stop-sending-within-ms": ms(f.Proxies.Grace)},
			"prices": table{"cross-zone": 0.2, "moves": 0.013},
		},
	}, "", "  ")
}

// writeConfig lays the configuration down, whole or not at all.
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

// start starts the process and waits until it answers that it is ready.
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
	ended := make(chan struct{})
	i.mu.Lock()
	i.cmd, i.exited, i.shouldRun = cmd, ended, true
	i.mu.Unlock()
	go func() {
		_ = cmd.Wait()
		i.mu.Lock()
		if i.shouldRun {
			i.crashes++
			i.crashReports = append(i.crashReports, fmt.Sprintf("proxy %d ended by itself: %s\n%s", i.number, cmd.ProcessState, lastLines(i.logPath(), 12)))
		}
		i.ready = false
		i.earlierCPU += cmd.ProcessState.UserTime() + cmd.ProcessState.SystemTime()
		if usage, known := cmd.ProcessState.SysUsage().(*syscall.Rusage); known {
			i.maxRSS = max(i.maxRSS, usage.Maxrss<<10)
		}
		i.cmd = nil
		i.mu.Unlock()
		close(ended)
	}()
	return i.awaitReady(ended)
}

// readyTimeout is far more than a start takes on a machine that has other work beside.
const readyTimeout = 15 * time.Second

func (i *instance) awaitReady(ended <-chan struct{}) error {
	deadline := time.Now().Add(readyTimeout)
	for time.Now().Before(deadline) {
		select {
		case <-ended:
			return fmt.Errorf("proxy %d ended at its start:\n%s", i.number, lastLines(i.logPath(), 10))
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

// answersPing tells whether a proxy says that it is ready.
func answersPing(address string) bool {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return false
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(time.Second))
	_, _ = c.Write([]byte("PING\r\n"))
	line, _ := bufio.NewReader(c).ReadString('\n')
	return line == "PONG\r\n"
}

func lastLines(path string, lines int) string {
	text, _ := os.ReadFile(path)
	all := strings.Split(strings.TrimSpace(string(text)), "\n")
	return strings.Join(all[max(0, len(all)-lines):], "\n")
}

// signal sends one; false if no process runs.
func (i *instance) signal(s syscall.Signal) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.processFile != "" {
		pid := i.managedPID()
		return pid > 1 && syscall.Kill(pid, s) == nil
	}
	return i.cmd != nil && i.cmd.Process.Signal(s) == nil
}

// terminate ends it with a signal and waits; one that does not go within a while is killed.
func (i *instance) terminate(s syscall.Signal) {
	i.mu.Lock()
	i.shouldRun = false
	ended := i.exited
	i.mu.Unlock()
	if ended == nil || !i.signal(s) {
		return
	}
	select {
	case <-ended:
	case <-time.After(6 * time.Second):
		i.signal(syscall.SIGKILL)
		<-ended
	}
}

// usage is the CPU time and the most memory that its processes took.
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

// clockTick is the kernel's unit in /proc/PID/stat: 1/100 s on all Linux platforms of Go.
const clockTick = 10 * time.Millisecond

// ProcessUsage reads a process's CPU time and resident memory.
func ProcessUsage(pid int) (cpu time.Duration, rss int64, err error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, 0, err
	}
	at := strings.LastIndexByte(string(text), ')')
	if at < 0 {
		return 0, 0, errors.New("no such form")
	}
	words := strings.Fields(string(text[at+1:]))
	if len(words) < 22 {
		return 0, 0, errors.New("no such form")
	}
	var n [3]int64
	for k, i := range []int{11, 12, 21} {
		if n[k], err = strconv.ParseInt(words[i], 10, 64); err != nil {
			return 0, 0, err
		}
	}
	return time.Duration(n[0]+n[1]) * clockTick, n[2] * int64(os.Getpagesize()), nil
}

// reserveAddress finds an address of this machine on which nothing listens, and keeps it for this run: proxies listen so
// that another could take the same one, and another run that begins beside this one would. What holds it is a socket
// of the same number that no proxy uses.
func reserveAddress(number int) (string, io.Closer, error) {
	for range 50 {
		l, err := net.Listen("tcp", fmt.Sprintf("127.1.0.%d:0", 1+number%250))
		if err != nil {
			return "", nil, err
		}
		address := l.Addr().String()
		held, err := net.ListenPacket("udp", address)
		_ = l.Close()
		if err == nil {
			return address, held, nil
		}
	}
	return "", nil, errors.New("no address is free")
}
