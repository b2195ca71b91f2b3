// Package chaos starts agents on machines of their own, puts faults between them and into them, and judges by what was
// recorded whether what was agreed on stayed agreed on.
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

// ClusterConfig is what stands where. Machine m stands in site m%Sites, and so do the servers of zone z: z is less than Sites.
type ClusterConfig struct {
	AgentCount      int                                // one a machine
	NonVoterCount   int                                // so many of them, the last ones, have no vote
	SiteCount       int                                //
	Seed            int64                              // of what the links draw
	InstanceConfigs func(a int) []agent.InstanceConfig // those that a machine's agent keeps; nil for none
	InterSiteDelay  time.Duration                      // a way between two sites
	ElectionTimeout time.Duration                      // how long a leader may be silent; 0 for the agents' own
	Duties          []string                           // that all agents stand for
	HasClockErrors  bool                               // the agents' clocks are wrong, each in its way, by the seed
	TestClock       func(a int) string                 // what is wrong with each of them instead
	// OnInstanceEvent hears what is done to the instances of a machine: before they are killed or stopped, and after they went on.
	OnInstanceEvent func(a int, what InstanceEvent)
	// OnServerLinkChange hears that a machine's ways to the servers of a zone are cut, and that they are back.
	OnServerLinkChange func(a, zone int, cut bool)
}

// InstanceEvent is what is done to the instances of a machine.
type InstanceEvent int

const (
	InstancesKilled InstanceEvent = iota
	InstancesPaused
	InstancesResumed
)

// Cluster are some, each with an agent that reaches the others only through links.
type Cluster struct {
	ClusterConfig
	Network        *links.Network
	agentCommand   []string // what starts an agent; its file is added
	folder         string
	names          []string
	agentAddresses []string // where each agent listens: the judge asks there, past the links

	linkFaults *linkFaults

	mu              sync.Mutex
	agentProcesses  []*agentProcess // nil for one that does not run
	instancesPaused []bool          // its instances
	unexpectedExits []AgentExit
}

// agentProcess is an agent's.
type agentProcess struct {
	*exec.Cmd
	exited         chan struct{} // closed when it has
	isExitExpected bool          // it is to end, or may
}

// AgentExit is an agent that ended by itself.
type AgentExit struct {
	Agent int
	At    time.Time
}

// clusterCount counts the sets of machines in this process: each has a part of loopback of its own, so that several may run
// side by side.
var clusterCount atomic.Uint32

const (
	maxMachines = 250  // addresses in one block of loopback
	basePort    = 7400 // below those that the kernel draws for calls
)

// NewCluster writes the agents' files into a folder and makes the links; nothing runs yet.
func NewCluster(command []string, folder string, l ClusterConfig) (m *Cluster, err error) {
	for range 5 { // another program may have drawn the same part of loopback
		if m, err = newCluster(command, folder, l); !errors.Is(err, syscall.EADDRINUSE) {
			return m, err
		}
	}
	return nil, err
}

func newCluster(command []string, folder string, l ClusterConfig) (*Cluster, error) {
	agents, hear := l.AgentCount, l.NonVoterCount
	if agents > maxMachines {
		return nil, fmt.Errorf("%d machines: %d are the most", agents, maxMachines)
	}
	m := &Cluster{ClusterConfig: l, Network: links.New(l.Seed), agentCommand: command, folder: folder, agentProcesses: make([]*agentProcess, agents), instancesPaused: make([]bool, agents)}
	part := byte(20 + (uint32(os.Getpid())*7+clusterCount.Add(1))%200)
	address := func(kind, a int) netip.Addr {
		return netip.AddrFrom4([4]byte{127, part, byte(kind*60 + os.Getpid()%60), byte(a + 1)})
	}
	const calls, listens, itsLog, advertised = 0, 1, 2, 3
	var logs, listenAt, logsAt []string
	for a := range agents {
		m.names = append(m.names, fmt.Sprintf("a%d", a))
		m.Network.AddMachine(m.names[a], address(calls, a))
		for n, kind := range []int{listens, itsLog} {
			// No port is drawn: one that is free when it is drawn may be another's when it is used.
			at := netip.AddrPortFrom(address(kind, a), basePort).String()
			reached, err := m.Network.AddRelay(m.names[a], netip.AddrPortFrom(address(advertised, a), basePort+uint16(n)).String(), at)
			if err != nil {
				m.Network.Close()
				return nil, err
			}
			if kind == listens {
				m.agentAddresses, listenAt = append(m.agentAddresses, at), append(listenAt, reached)
			} else {
				logs, logsAt = append(logs, at), append(logsAt, reached)
			}
		}
	}
	m.linkFaults = &linkFaults{cluster: m, network: m.Network, cutCounts: map[[2]string]int{}, machineNames: m.names, onServerLinkChange: l.OnServerLinkChange}
	if l.InstanceConfigs != nil {
		for z := range l.SiteCount {
			m.linkFaults.zoneNames = append(m.linkFaults.zoneNames, zoneName(z))
		}
	}
	for a := range agents {
		var text strings.Builder
		fmt.Fprintf(&text, "name = %q\nlisten = %q\nlog = %q\nreached = %q\nfrom = %q\ndata = %q\nhears = %t\n", m.names[a], m.agentAddresses[a], logs[a], logsAt[a], address(calls, a), m.dataDir(a), a >= agents-hear)
		if len(l.Duties) > 0 {
			fmt.Fprintf(&text, "duties = [\"%s\"]\n", strings.Join(l.Duties, `", "`))
		}
		if l.ElectionTimeout > 0 {
			fmt.Fprintf(&text, "beat = %q\n", l.ElectionTimeout)
		}
		for b := range agents {
			if b != a {
				fmt.Fprintf(&text, "[[peer]]\nname = %q\nlisten = %q\nlog = %q\nhears = %t\n", m.names[b], listenAt[b], logsAt[b], b >= agents-hear)
			}
		}
		for _, i := range m.instanceConfigs(a) {
			quoted, err := json.Marshal(i.Command)
			if err != nil {
				return nil, err
			}
			fmt.Fprintf(&text, "[[instance]]\nname = %q\ncommand = %s\ncontrol = %q\n", i.Name, quoted, i.ControlAddress)
		}
		if err := os.WriteFile(m.configPath(a), []byte(text.String()), 0o600); err != nil {
			return nil, err
		}
	}
	m.linkFaults.update(nil, 0, 0)
	return m, nil
}

func (m *Cluster) dataDir(a int) string { return filepath.Join(m.folder, fmt.Sprintf("d%d", a)) }
func (m *Cluster) configPath(a int) string {
	return filepath.Join(m.folder, fmt.Sprintf("a%d.toml", a))
}

// StartAgent starts a machine's agent, if it does not run.
func (m *Cluster) StartAgent(a int) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if p := m.agentProcesses[a]; p != nil {
		select {
		case <-p.exited:
		default:
			return nil
		}
	}
	log, err := os.OpenFile(m.LogPath(a), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	args := slices.Clone(m.agentCommand[1:])
	if clock := m.testClock(a); clock != "" {
		args = append(args, "--test-clock", clock)
	}
	cmd := exec.Command(m.agentCommand[0], append(args, m.configPath(a))...)
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	p := &agentProcess{Cmd: cmd, exited: make(chan struct{})}
	m.agentProcesses[a] = p
	go func() {
		_ = cmd.Wait()
		close(p.exited)
		m.mu.Lock()
		defer m.mu.Unlock()
		if !p.isExitExpected {
			m.unexpectedExits = append(m.unexpectedExits, AgentExit{a, time.Now()})
		}
	}()
	return nil
}

// testClock is what is wrong with a machine's: it is up to an hour off, runs up to 5% fast or slow, and jumps by up to an hour either way
// within some seconds of each start.
func (m *Cluster) testClock(a int) string {
	if m.TestClock != nil {
		return m.TestClock(a)
	} else if !m.HasClockErrors {
		return ""
	}
	rng := rand.New(rand.NewSource(m.Seed*1_000_003 + int64(a)))
	return fmt.Sprintf("rate=%.4f,off=%ds,jump=%ds@%dms", 0.95+0.1*rng.Float64(), rng.Intn(7200)-3600, rng.Intn(7200)-3600, 500+rng.Intn(5000))
}

// UnexpectedExitCount is how many times an agent has ended by itself.
func (m *Cluster) UnexpectedExitCount() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.unexpectedExits)
}

// LogPath is the file with what a machine's agent says.
func (m *Cluster) LogPath(a int) string { return filepath.Join(m.folder, fmt.Sprintf("a%d.log", a)) }

// KillAgent ends a machine's agent alone; its instances go on.
func (m *Cluster) KillAgent(a int) {
	m.mu.Lock()
	p := m.agentProcesses[a]
	m.agentProcesses[a] = nil
	if p != nil {
		p.isExitExpected = true
	}
	m.mu.Unlock()
	if p != nil {
		_ = p.Process.Kill()
		<-p.exited
	}
}

// PauseAgent stops a machine's agent alone; Wake has it go on.
func (m *Cluster) PauseAgent(a int) { m.signalAgent(a, syscall.SIGSTOP) }

// CrashMachine ends all that runs on a machine in one instant.
func (m *Cluster) CrashMachine(a int) {
	instances := m.pauseAgentAndFindInstances(a)
	m.reportInstanceEvent(a, InstancesKilled)
	for _, pid := range instances {
		_ = syscall.Kill(pid, syscall.SIGKILL)
	}
	m.KillAgent(a)
}

// PauseMachine stops all that runs on a machine; Wake has it go on.
func (m *Cluster) PauseMachine(a int) {
	m.reportInstanceEvent(a, InstancesPaused)
	for _, pid := range m.pauseAgentAndFindInstances(a) {
		_ = syscall.Kill(pid, syscall.SIGSTOP)
	}
}

func (m *Cluster) ResumeMachine(a int) {
	for _, pid := range m.instancePIDs(a) {
		_ = syscall.Kill(pid, syscall.SIGCONT)
	}
	m.signalAgent(a, syscall.SIGCONT)
	m.reportInstanceEvent(a, InstancesResumed)
}

// PauseInstances stops a machine's instances and not its agent; Wake has them go on.
func (m *Cluster) PauseInstances(a int) {
	m.reportInstanceEvent(a, InstancesPaused)
	for _, pid := range m.instancePIDs(a) {
		_ = syscall.Kill(pid, syscall.SIGSTOP)
	}
}

// reportInstanceEvent tells of it; of a machine that was not stopped nothing is told when it is woken.
func (m *Cluster) reportInstanceEvent(a int, what InstanceEvent) {
	m.mu.Lock()
	was := m.instancesPaused[a]
	m.instancesPaused[a] = what == InstancesPaused
	m.mu.Unlock()
	if m.OnInstanceEvent != nil && (was || what != InstancesResumed) {
		m.OnInstanceEvent(a, what)
	}
}

// pauseAgentAndFindInstances stops the agent first, so that it starts nothing while its instances are looked for, and tells their processes.
func (m *Cluster) pauseAgentAndFindInstances(a int) []int {
	m.signalAgent(a, syscall.SIGSTOP)
	return m.instancePIDs(a)
}

// instancePIDs are the processes of a machine's instances: what its agent has started, or has written down.
func (m *Cluster) instancePIDs(a int) (pids []int) {
	if m.InstanceConfigs == nil {
		return nil
	}
	for _, i := range m.instanceConfigs(a) {
		var p struct {
			PID   int
			Start string
		}
		text, err := os.ReadFile(filepath.Join(m.dataDir(a), i.Name+".process"))
		if err == nil && json.Unmarshal(text, &p) == nil && p.PID > 1 && procStatField(p.PID, 19) == p.Start {
			pids = append(pids, p.PID)
		}
	}
	m.mu.Lock()
	agent := m.agentProcesses[a]
	m.mu.Unlock()
	if agent == nil {
		return pids
	}
	all, _ := filepath.Glob("/proc/[0-9]*") // the one fault is a bad pattern
	for _, path := range all {
		// Guards against one that was started and not written down yet.
		if pid, err := strconv.Atoi(filepath.Base(path)); err == nil && procStatField(pid, 1) == strconv.Itoa(agent.Process.Pid) && !slices.Contains(pids, pid) {
			pids = append(pids, pid)
		}
	}
	return pids
}

// procStatField is a field of what the kernel tells of a process, counted from its state; "" if there is none.
func procStatField(pid, field int) string {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return ""
	}
	words := strings.Fields(string(text[strings.LastIndexByte(string(text), ')')+1:]))
	if len(words) <= field {
		return ""
	}
	return words[field]
}

// signalAgent is for a machine's agent.
func (m *Cluster) signalAgent(a int, s syscall.Signal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if p := m.agentProcesses[a]; p != nil {
		_ = p.Process.Signal(s)
	}
}

// FillDisk has every file of a machine's agent at its largest: nothing on its disk grows any more. That is a limit on the process
// (setrlimit's RLIMIT_FSIZE), and fails writes as a full disk does. Room ends it.
func (m *Cluster) FillDisk(a int) error {
	largest := uint64(0)
	if info, err := os.Stat(filepath.Join(m.dataDir(a), "log.db")); err == nil {
		largest = uint64(info.Size())
	}
	return m.limitFileSize(a, largest)
}

func (m *Cluster) FreeDisk(a int) error { return m.limitFileSize(a, math.MaxUint64) }

func (m *Cluster) limitFileSize(a int, largest uint64) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	p := m.agentProcesses[a]
	if p == nil {
		return nil
	}
	p.isExitExpected = true // one that can write down nothing may end
	err := unix.Prlimit(p.Process.Pid, unix.RLIMIT_FSIZE, &unix.Rlimit{Cur: largest, Max: math.MaxUint64}, nil)
	if errors.Is(err, unix.ESRCH) {
		return nil
	}
	return err
}

// EraseDisk takes what a crashed machine had on its disk.
func (m *Cluster) EraseDisk(a int) error { return os.RemoveAll(m.dataDir(a)) }

// BackUpDisk copies a machine's disk in one instant, as a backup does; SetBackDisk lays the copy in the place of what a
// crashed machine has.
func (m *Cluster) BackUpDisk(a int) error {
	m.signalAgent(a, syscall.SIGSTOP)
	defer m.signalAgent(a, syscall.SIGCONT)
	if err := os.RemoveAll(m.dataDir(a) + ".kept"); err != nil {
		return err
	}
	err := os.CopyFS(m.dataDir(a)+".kept", os.DirFS(m.dataDir(a)))
	if errors.Is(err, fs.ErrNotExist) { // it has none just now
		return nil
	}
	return err
}

func (m *Cluster) RestoreDisk(a int) error {
	if err := m.EraseDisk(a); err != nil {
		return err
	}
	if err := os.Rename(m.dataDir(a)+".kept", m.dataDir(a)); !os.IsNotExist(err) {
		return err
	}
	return nil
}

// MachineCount is how many machines there are.
func (m *Cluster) MachineCount() int { return len(m.names) }

// Close ends all.
func (m *Cluster) Close() {
	for a := range m.names {
		m.CrashMachine(a)
	}
	m.Network.Close()
}

// callTimeout bounds a question to one agent: one that cannot have a command agreed on says so after 5 s.
const callTimeout = 6 * time.Second

// CallAgent asks a machine's agent, past the links.
func (m *Cluster) CallAgent(ctx context.Context, a int, how func(context.Context, *agent.Client) error) error {
	return m.callAgent(ctx, a, callTimeout, how)
}

func (m *Cluster) callAgent(ctx context.Context, a int, within time.Duration, how func(context.Context, *agent.Client) error) error {
	c := agent.NewClient(m.agentAddresses[a])
	defer c.Close()
	ctx, cancel := context.WithTimeout(ctx, within)
	defer cancel()
	return how(ctx, c)
}

// siteOf is a machine's; zone names the servers that stand in one.
func (m *Cluster) siteOf(a int) int { return a % m.SiteCount }
func zoneName(site int) string      { return fmt.Sprint("zone", site) }

// instanceConfigs are the instances that a machine's agent keeps.
func (m *Cluster) instanceConfigs(a int) []agent.InstanceConfig {
	if m.InstanceConfigs == nil {
		return nil
	}
	return m.InstanceConfigs(a)
}

// AddServerRelay is where a machine's instances reach a server of a zone that listens at an address.
func (m *Cluster) AddServerRelay(a, z int, listens string) (string, error) {
	return m.Network.AddRelayBetween(m.names[a], zoneName(z), listens)
}

// errTimeout is the end of a wait that has come to nothing.
var errTimeout = errors.New("not in time")

// waitUntil waits for something, and asks again each 20 ms.
func waitUntil(ctx context.Context, within time.Duration, good func() bool) error {
	for end := time.Now().Add(within); !good(); {
		if time.Now().After(end) || ctx.Err() != nil {
			return errTimeout
		}
		time.Sleep(20 * time.Millisecond)
	}
	return nil
}
