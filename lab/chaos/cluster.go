// Package chaos tests agents under faults. It starts real agents on simulated machines, each with loopback addresses of its own, whose
// network connections pass through relays (package links). A schedule of faults cuts and slows links, crashes and pauses machines and
// damages disks while clients submit commands. What agents and instances report meanwhile is recorded, and FindBreaches checks the
// record afterwards, for example that no committed command was lost or changed.
package chaos

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"math"
	"math/rand"
	"net/netip"
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

	"golang.org/x/sys/unix"

	"hatchproxy/agent"
	"hatchproxy/lab/links"
)

// ClusterConfig describes the machines of a cluster. Machine m is in site m modulo SiteCount. Zones are numbered like sites: the
// servers of zone z are in site z.
type ClusterConfig struct {
	AgentCount      int                                      // one on each machine
	NonVoterCount   int                                      // the last agents, as many as this, have no vote
	SiteCount       int                                      // at least 1
	Seed            int64                                    // seed of the links' jitter and loss, and of clock errors
	InstanceConfigs func(machine int) []agent.InstanceConfig // the instances that a machine's agent runs; nil for no instances at all
	InterSiteDelay  time.Duration                            // one-way delay between two sites
	ElectionTimeout time.Duration                            // how long a leader may be silent before an election; 0 for the agents' default
	Duties          []string                                 // duties that all agents are candidates for
	HasClockErrors  bool                                     // each agent's clock is inaccurate in its own way, as the seed determines
	TestClock       func(machine int) string                 // if not nil, returns each agent's --test-clock in place of HasClockErrors; "" for an accurate clock
	// OnInstanceEvent, if not nil, is called before a machine's instances are killed or paused, and after they were resumed.
	OnInstanceEvent func(machine int, event InstanceEvent)
	// OnServerLinkChange, if not nil, is called when a machine's link to the servers of a zone is cut (cut is true) or restored.
	OnServerLinkChange func(machine, zone int, cut bool)
}

// InstanceEvent is what happened to all instances of a machine.
type InstanceEvent int

const (
	InstancesKilled InstanceEvent = iota
	InstancesPaused
	InstancesResumed
)

// Cluster is a set of simulated machines, each with an agent that reaches the others only through the links of Network. Machines and
// agents have the same numbers, from 0. The methods that start, stop and change machines are safe for concurrent use.
type Cluster struct {
	ClusterConfig
	Network        *links.Network
	agentCommand   []string // command line of an agent, without the path of its configuration file
	folder         string
	names          []string // of machines and agents
	agentAddresses []string // on which the agents' HTTP APIs listen; calls to them bypass the links

	linkFaults *linkFaults

	mu              sync.Mutex
	agentProcesses  []*agentProcess // by machine; nil if not started or killed
	instancesPaused []bool          // by machine
	unexpectedExits []AgentExit
}

// agentProcess is the process of an agent.
type agentProcess struct {
	*exec.Cmd
	exited         chan struct{} // closed when the process has exited
	isExitExpected bool          // it was killed, or its disk was full at some time
}

// AgentExit is an unexpected exit of an agent.
type AgentExit struct {
	Agent int
	At    time.Time
}

// clusterCount is the number of clusters started by this process. It gives each a loopback address range of its own, so that several
// can run in parallel.
var clusterCount atomic.Uint32

const (
	maxMachines = 250  // number of host addresses in a range
	basePort    = 7400 // below the ephemeral port range of the kernel
)

// NewCluster writes the agents' configuration files into a folder and starts the relays; no agent runs yet. The command is the
// command line of an agent; the path of the agent's configuration file is appended to it.
func NewCluster(command []string, folder string, config ClusterConfig) (c *Cluster, err error) {
	for range 5 { // another process may use the same address range
		if c, err = newCluster(command, folder, config); !errors.Is(err, syscall.EADDRINUSE) {
			return c, err
		}
	}
	return nil, err
}

// newCluster is one attempt of NewCluster. It returns EADDRINUSE if the address range is in use.
func newCluster(command []string, folder string, config ClusterConfig) (*Cluster, error) {
	agents, nonVoters := config.AgentCount, config.NonVoterCount
	if agents > maxMachines {
		return nil, fmt.Errorf("%d machines: at most %d are supported", agents, maxMachines)
	}
	c := &Cluster{ClusterConfig: config, Network: links.New(config.Seed), agentCommand: command, folder: folder, agentProcesses: make([]*agentProcess, agents), instancesPaused: make([]bool, agents)}
	addressRange := byte(20 + (uint32(os.Getpid())*7+clusterCount.Add(1))%200)
	// A machine has an address for each of the four uses below. The second and third byte tell apart clusters and processes, the third
	// the uses, too.
	address := func(use, machine int) netip.Addr {
		return netip.AddrFrom4([4]byte{127, addressRange, byte(use*60 + os.Getpid()%60), byte(machine + 1)})
	}
	const source, api, raftLog, advertised = 0, 1, 2, 3
	var logAddresses, advertisedAPIs, advertisedLogs []string
	for a := range agents {
		c.names = append(c.names, fmt.Sprintf("a%d", a))
		c.Network.AddMachine(c.names[a], address(source, a))
		for n, use := range []int{api, raftLog} {
			// Ports are fixed: a port that was found free could be taken by another process before the agent listens on it.
			target := netip.AddrPortFrom(address(use, a), basePort).String()
			relay, err := c.Network.AddRelay(c.names[a], netip.AddrPortFrom(address(advertised, a), basePort+uint16(n)).String(), target)
			if err != nil {
				c.Network.Close()
				return nil, err
			}
			if use == api {
				c.agentAddresses, advertisedAPIs = append(c.agentAddresses, target), append(advertisedAPIs, relay)
			} else {
				logAddresses, advertisedLogs = append(logAddresses, target), append(advertisedLogs, relay)
			}
		}
	}
	c.linkFaults = &linkFaults{cluster: c, network: c.Network, cutCounts: map[[2]string]int{}, machineNames: c.names, onServerLinkChange: config.OnServerLinkChange}
	if config.InstanceConfigs != nil {
		for zone := range config.SiteCount {
			c.linkFaults.zoneNames = append(c.linkFaults.zoneNames, zoneName(zone))
		}
	}
	for a := range agents {
		var text strings.Builder
		fmt.Fprintf(&text, "name = %q\nlisten = %q\nlog = %q\nreached = %q\nfrom = %q\ndata = %q\nhears = %t\n", c.names[a], c.agentAddresses[a], logAddresses[a], advertisedLogs[a], address(source, a), c.dataDir(a), a >= agents-nonVoters)
		if len(config.Duties) > 0 {
			fmt.Fprintf(&text, "duties = [\"%s\"]\n", strings.Join(config.Duties, `", "`))
		}
		if config.ElectionTimeout > 0 {
			fmt.Fprintf(&text, "beat = %q\n", config.ElectionTimeout)
		}
		for peer := range agents {
			if peer != a {
				fmt.Fprintf(&text, "[[peer]]\nname = %q\nlisten = %q\nlog = %q\nhears = %t\n", c.names[peer], advertisedAPIs[peer], advertisedLogs[peer], peer >= agents-nonVoters)
			}
		}
		for _, i := range c.instanceConfigs(a) {
			quoted, err := json.Marshal(i.Command)
			if err != nil {
				return nil, err
			}
			fmt.Fprintf(&text, "[[instance]]\nname = %q\ncommand = %s\ncontrol = %q\n", i.Name, quoted, i.ControlAddress)
		}
		if err := os.WriteFile(c.configPath(a), []byte(text.String()), 0o600); err != nil {
			return nil, err
		}
	}
	c.linkFaults.update(nil, 0, 0) // applies the delay between sites
	return c, nil
}

func (c *Cluster) dataDir(machine int) string {
	return filepath.Join(c.folder, fmt.Sprintf("d%d", machine))
}
func (c *Cluster) configPath(machine int) string {
	return filepath.Join(c.folder, fmt.Sprintf("a%d.toml", machine))
}

// StartAgent starts a machine's agent if it does not run.
func (c *Cluster) StartAgent(machine int) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if p := c.agentProcesses[machine]; p != nil {
		select {
		case <-p.exited:
		default:
			return nil
		}
	}
	log, err := os.OpenFile(c.LogPath(machine), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	args := slices.Clone(c.agentCommand[1:])
	if clock := c.testClock(machine); clock != "" {
		args = append(args, "--test-clock", clock)
	}
	cmd := exec.Command(c.agentCommand[0], append(args, c.configPath(machine))...)
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	p := &agentProcess{Cmd: cmd, exited: make(chan struct{})}
	c.agentProcesses[machine] = p
	go func() {
		_ = cmd.Wait()
		close(p.exited)
		c.mu.Lock()
		defer c.mu.Unlock()
		if !p.isExitExpected {
			c.unexpectedExits = append(c.unexpectedExits, AgentExit{machine, time.Now()})
		}
	}()
	return nil
}

// testClock returns the --test-clock of an agent; "" for an accurate clock. With HasClockErrors it is up to an hour off, up to 5% fast
// or slow, and jumps by up to an hour, forward or back, 0.5 to 5.5 s after each start of the agent.
func (c *Cluster) testClock(machine int) string {
	if c.TestClock != nil {
		return c.TestClock(machine)
	} else if !c.HasClockErrors {
		return ""
	}
	rng := rand.New(rand.NewSource(c.Seed*1_000_003 + int64(machine)))
	return fmt.Sprintf("rate=%.4f,off=%ds,jump=%ds@%dms", 0.95+0.1*rng.Float64(), rng.Intn(7200)-3600, rng.Intn(7200)-3600, 500+rng.Intn(5000))
}

// UnexpectedExitCount returns how many times an agent has exited unexpectedly, over all agents.
func (c *Cluster) UnexpectedExitCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.unexpectedExits)
}

// LogPath returns the path of the file with the output of a machine's agent.
func (c *Cluster) LogPath(machine int) string {
	return filepath.Join(c.folder, fmt.Sprintf("a%d.log", machine))
}

// KillAgent kills a machine's agent and waits until it has exited; its instances keep running.
func (c *Cluster) KillAgent(machine int) {
	c.mu.Lock()
	p := c.agentProcesses[machine]
	c.agentProcesses[machine] = nil
	if p != nil {
		p.isExitExpected = true
	}
	c.mu.Unlock()
	if p != nil {
		_ = p.Process.Kill()
		<-p.exited
	}
}

// PauseAgent suspends a machine's agent but not its instances, until ResumeMachine.
func (c *Cluster) PauseAgent(machine int) { c.signalAgent(machine, syscall.SIGSTOP) }

// CrashMachine kills all processes of a machine at once.
func (c *Cluster) CrashMachine(machine int) {
	instances := c.pauseAgentAndFindInstances(machine)
	c.reportInstanceEvent(machine, InstancesKilled)
	for _, pid := range instances {
		_ = syscall.Kill(pid, syscall.SIGKILL)
	}
	c.KillAgent(machine)
}

// PauseMachine suspends all processes of a machine until ResumeMachine.
func (c *Cluster) PauseMachine(machine int) {
	c.reportInstanceEvent(machine, InstancesPaused)
	for _, pid := range c.pauseAgentAndFindInstances(machine) {
		_ = syscall.Kill(pid, syscall.SIGSTOP)
	}
}

// ResumeMachine resumes all suspended processes of a machine.
func (c *Cluster) ResumeMachine(machine int) {
	for _, pid := range c.instancePIDs(machine) {
		_ = syscall.Kill(pid, syscall.SIGCONT)
	}
	c.signalAgent(machine, syscall.SIGCONT)
	c.reportInstanceEvent(machine, InstancesResumed)
}

// PauseInstances suspends a machine's instances but not its agent, until ResumeMachine.
func (c *Cluster) PauseInstances(machine int) {
	c.reportInstanceEvent(machine, InstancesPaused)
	for _, pid := range c.instancePIDs(machine) {
		_ = syscall.Kill(pid, syscall.SIGSTOP)
	}
}

// reportInstanceEvent calls OnInstanceEvent. If the instances were not paused, a resumption is not reported.
func (c *Cluster) reportInstanceEvent(machine int, event InstanceEvent) {
	c.mu.Lock()
	wasPaused := c.instancesPaused[machine]
	c.instancesPaused[machine] = event == InstancesPaused
	c.mu.Unlock()
	if c.OnInstanceEvent != nil && (wasPaused || event != InstancesResumed) {
		c.OnInstanceEvent(machine, event)
	}
}

// pauseAgentAndFindInstances returns the process IDs of a machine's instances. It suspends the agent before, so that the agent starts
// no instance meanwhile.
func (c *Cluster) pauseAgentAndFindInstances(machine int) []int {
	c.signalAgent(machine, syscall.SIGSTOP)
	return c.instancePIDs(machine)
}

// instancePIDs returns the process IDs of a machine's instances: those that its agent has recorded in its process files and that still
// run, and the child processes of the agent.
func (c *Cluster) instancePIDs(machine int) (pids []int) {
	if c.InstanceConfigs == nil {
		return nil
	}
	for _, i := range c.instanceConfigs(machine) {
		var process struct {
			PID   int
			Start string
		}
		text, err := os.ReadFile(filepath.Join(c.dataDir(machine), i.Name+".process"))
		if err == nil && json.Unmarshal(text, &process) == nil && process.PID > 1 && procStatField(process.PID, 19) == process.Start {
			pids = append(pids, process.PID)
		}
	}
	c.mu.Lock()
	agent := c.agentProcesses[machine]
	c.mu.Unlock()
	if agent == nil {
		return pids
	}
	processes, _ := filepath.Glob("/proc/[0-9]*") // Glob fails only on a malformed pattern
	for _, path := range processes {
		// An instance that was just started is not in a process file yet, but its parent is the agent.
		if pid, err := strconv.Atoi(filepath.Base(path)); err == nil && procStatField(pid, 1) == strconv.Itoa(agent.Process.Pid) && !slices.Contains(pids, pid) {
			pids = append(pids, pid)
		}
	}
	return pids
}

// procStatField returns a field of /proc/PID/stat, counted from 0 at the process state: 1 is the parent's process ID, 19 the start time,
// which tells a process from a later one with the same ID. It returns "" if there is no such process or field.
func procStatField(pid, field int) string {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return ""
	}
	fields := strings.Fields(string(text[strings.LastIndexByte(string(text), ')')+1:]))
	if len(fields) <= field {
		return ""
	}
	return fields[field]
}

// signalAgent sends a signal to a machine's agent, if it was started.
func (c *Cluster) signalAgent(machine int, s syscall.Signal) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if p := c.agentProcesses[machine]; p != nil {
		_ = p.Process.Signal(s)
	}
}

// FillDisk simulates a full disk for a machine's agent until FreeDisk: it limits the size of the agent's files (RLIMIT_FSIZE) to the
// present size of its Raft log, so that writes beyond it fail as they do on a full disk. From then on the agent may exit by itself.
func (c *Cluster) FillDisk(machine int) error {
	logSize := uint64(0)
	if info, err := os.Stat(filepath.Join(c.dataDir(machine), "log.db")); err == nil {
		logSize = uint64(info.Size())
	}
	return c.limitFileSize(machine, logSize)
}

// FreeDisk ends FillDisk.
func (c *Cluster) FreeDisk(machine int) error { return c.limitFileSize(machine, math.MaxUint64) }

// limitFileSize sets the largest file size, in bytes, of a machine's agent. It has no effect if the agent does not run.
func (c *Cluster) limitFileSize(machine int, maxBytes uint64) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.agentProcesses[machine]
	if p == nil {
		return nil
	}
	p.isExitExpected = true // an agent that cannot write its log may exit
	err := unix.Prlimit(p.Process.Pid, unix.RLIMIT_FSIZE, &unix.Rlimit{Cur: maxBytes, Max: math.MaxUint64}, nil)
	if errors.Is(err, unix.ESRCH) {
		return nil
	}
	return err
}

// EraseDisk deletes the data of a crashed machine's agent.
func (c *Cluster) EraseDisk(machine int) error { return os.RemoveAll(c.dataDir(machine)) }

// BackUpDisk copies the data of a machine's agent, which is suspended meanwhile, so that the copy is consistent. It replaces an earlier
// copy.
func (c *Cluster) BackUpDisk(machine int) error {
	c.signalAgent(machine, syscall.SIGSTOP)
	defer c.signalAgent(machine, syscall.SIGCONT)
	if err := os.RemoveAll(c.dataDir(machine) + ".kept"); err != nil {
		return err
	}
	err := os.CopyFS(c.dataDir(machine)+".kept", os.DirFS(c.dataDir(machine)))
	if errors.Is(err, fs.ErrNotExist) { // it has no data at present
		return nil
	}
	return err
}

// RestoreDisk replaces the data of a crashed machine's agent with the copy of BackUpDisk, or deletes it if there is no copy.
func (c *Cluster) RestoreDisk(machine int) error {
	if err := c.EraseDisk(machine); err != nil {
		return err
	}
	if err := os.Rename(c.dataDir(machine)+".kept", c.dataDir(machine)); !os.IsNotExist(err) {
		return err
	}
	return nil
}

// MachineCount returns the number of machines.
func (c *Cluster) MachineCount() int { return len(c.names) }

// Close kills all processes and closes all relays.
func (c *Cluster) Close() {
	for machine := range c.names {
		c.CrashMachine(machine)
	}
	c.Network.Close()
}

// callTimeout bounds a call to an agent. It is longer than the 5 s after which an agent reports that a command was not committed.
const callTimeout = 6 * time.Second

// CallAgent calls do with a client of a machine's agent, which bypasses the links, and a context that ends after callTimeout.
func (c *Cluster) CallAgent(ctx context.Context, machine int, do func(context.Context, *agent.Client) error) error {
	return c.callAgent(ctx, machine, callTimeout, do)
}

// callAgent is CallAgent with another timeout.
func (c *Cluster) callAgent(ctx context.Context, machine int, timeout time.Duration, do func(context.Context, *agent.Client) error) error {
	client := agent.NewClient(c.agentAddresses[machine])
	defer client.Close()
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return do(ctx, client)
}

// siteOf returns the site of a machine.
func (c *Cluster) siteOf(machine int) int { return machine % c.SiteCount }

// zoneName returns the name that stands for the servers of a zone in Network.
func zoneName(zone int) string { return fmt.Sprint("zone", zone) }

// instanceConfigs returns the instances that a machine's agent runs.
func (c *Cluster) instanceConfigs(machine int) []agent.InstanceConfig {
	if c.InstanceConfigs == nil {
		return nil
	}
	return c.InstanceConfigs(machine)
}

// AddServerRelay starts a relay from a machine to a server of a zone that listens on the target address, and returns the address that
// the machine's instances have to use.
func (c *Cluster) AddServerRelay(machine, zone int, target string) (string, error) {
	return c.Network.AddRelayBetween(c.names[machine], zoneName(zone), target)
}

// errTimeout is returned by waitUntil.
var errTimeout = errors.New("timed out")

// waitUntil checks a condition every 20 ms. It returns errTimeout if the condition is not met within the timeout or ctx ends.
func waitUntil(ctx context.Context, timeout time.Duration, condition func() bool) error {
	for end := time.Now().Add(timeout); !condition(); {
		if time.Now().After(end) || ctx.Err() != nil {
			return errTimeout
		}
		time.Sleep(20 * time.Millisecond)
	}
	return nil
}
