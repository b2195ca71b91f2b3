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

// Layout is what stands where. Machine m stands in site m%Sites, and so do the servers of zone z: z is less than Sites.
type Layout struct {
	Agents    int                                // one a machine
	Hear      int                                // so many of them, the last ones, have no vote
	Sites     int                                //
	Seed      int64                              // of what the links draw
	Instances func(a int) []agent.InstanceConfig // those that a machine's agent keeps; nil for none
	Between   time.Duration                      // a way between two sites
	Beat      time.Duration                      // how long a leader may be silent; 0 for the agents' own
	Duties    []string                           // that all agents stand for
	Clocks    bool                               // the agents' clocks are wrong, each in its way, by the seed
	Clock     func(a int) string                 // what is wrong with each of them instead
	// Struck hears what is done to the instances of a machine: before they are killed or stopped, and after they went on.
	Struck func(a int, what Strike)
	// Severed hears that a machine's ways to the servers of a zone are cut, and that they are back.
	Severed func(a, zone int, cut bool)
}

// Strike is what is done to the instances of a machine.
type Strike int

const (
	Killed Strike = iota
	Stopped
	Woken
)

// Machines are some, each with an agent that reaches the others only through links.
type Machines struct {
	Layout
	Net     *links.Net
	command []string // what starts an agent; its file is added
	folder  string
	names   []string
	listen  []string // where each agent listens: the judge asks there, past the links

	ways *ways

	mu        sync.Mutex
	processes []*process // nil for one that does not run
	stopped   []bool     // its instances
	fell      []Fall
}

// process is an agent's.
type process struct {
	*exec.Cmd
	ended chan struct{} // closed when it has
	meant bool          // it is to end, or may
}

// Fall is an agent that ended by itself.
type Fall struct {
	Agent int
	At    time.Time
}

// raised counts the sets of machines in this process: each has a part of loopback of its own, so that several may run
// side by side.
var raised atomic.Uint32

const (
	mostMachines = 250  // addresses in one block of loopback
	port         = 7400 // below those that the kernel draws for calls
)

// Raise writes the agents' files into a folder and makes the links; nothing runs yet.
func Raise(command []string, folder string, l Layout) (m *Machines, err error) {
	for range 5 { // another program may have drawn the same part of loopback
		if m, err = raise(command, folder, l); !errors.Is(err, syscall.EADDRINUSE) {
			return m, err
		}
	}
	return nil, err
}

func raise(command []string, folder string, l Layout) (*Machines, error) {
	agents, hear := l.Agents, l.Hear
	if agents > mostMachines {
		return nil, fmt.Errorf("%d machines: %d are the most", agents, mostMachines)
	}
	m := &Machines{Layout: l, Net: links.New(l.Seed), command: command, folder: folder, processes: make([]*process, agents), stopped: make([]bool, agents)}
	part := byte(20 + (uint32(os.Getpid())*7+raised.Add(1))%200)
	address := func(kind, a int) netip.Addr {
		return netip.AddrFrom4([4]byte{127, part, byte(kind*60 + os.Getpid()%60), byte(a + 1)})
	}
	const calls, listens, itsLog, advertised = 0, 1, 2, 3
	var logs, listenAt, logsAt []string
	for a := range agents {
		m.names = append(m.names, fmt.Sprintf("a%d", a))
		m.Net.Machine(m.names[a], address(calls, a))
		for n, kind := range []int{listens, itsLog} {
			// No port is drawn: one that is free when it is drawn may be another's when it is used.
			at := netip.AddrPortFrom(address(kind, a), port).String()
			reached, err := m.Net.Serve(m.names[a], netip.AddrPortFrom(address(advertised, a), port+uint16(n)).String(), at)
			if err != nil {
				m.Net.Close()
				return nil, err
			}
			if kind == listens {
				m.listen, listenAt = append(m.listen, at), append(listenAt, reached)
			} else {
				logs, logsAt = append(logs, at), append(logsAt, reached)
			}
		}
	}
	m.ways = &ways{m: m, net: m.Net, cuts: map[[2]string]int{}, all: m.names, told: l.Severed}
	if l.Instances != nil {
		for z := range l.Sites {
			m.ways.far = append(m.ways.far, zone(z))
		}
	}
	for a := range agents {
		var text strings.Builder
		fmt.Fprintf(&text, "name = %q\nlisten = %q\nlog = %q\nreached = %q\nfrom = %q\ndata = %q\nhears = %t\n", m.names[a], m.listen[a], logs[a], logsAt[a], address(calls, a), m.data(a), a >= agents-hear)
		if len(l.Duties) > 0 {
			fmt.Fprintf(&text, "duties = [\"%s\"]\n", strings.Join(l.Duties, `", "`))
		}
		if l.Beat > 0 {
			fmt.Fprintf(&text, "beat = %q\n", l.Beat)
		}
		for b := range agents {
			if b != a {
				fmt.Fprintf(&text, "[[peer]]\nname = %q\nlisten = %q\nlog = %q\nhears = %t\n", m.names[b], listenAt[b], logsAt[b], b >= agents-hear)
			}
		}
		for _, i := range m.keeps(a) {
			quoted, err := json.Marshal(i.Command)
			if err != nil {
				return nil, err
			}
			fmt.Fprintf(&text, "[[instance]]\nname = %q\ncommand = %s\ncontrol = %q\n", i.Name, quoted, i.ControlAddress)
		}
		if err := os.WriteFile(m.plan(a), []byte(text.String()), 0o600); err != nil {
			return nil, err
		}
	}
	m.ways.change(nil, 0, 0)
	return m, nil
}

func (m *Machines) data(a int) string { return filepath.Join(m.folder, fmt.Sprintf("d%d", a)) }
func (m *Machines) plan(a int) string { return filepath.Join(m.folder, fmt.Sprintf("a%d.toml", a)) }

// Start starts a machine's agent, if it does not run.
func (m *Machines) Start(a int) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if p := m.processes[a]; p != nil {
		select {
		case <-p.ended:
		default:
			return nil
		}
	}
	log, err := os.OpenFile(m.Log(a), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	args := slices.Clone(m.command[1:])
	if clock := m.clock(a); clock != "" {
		args = append(args, "--test-clock", clock)
	}
	cmd := exec.Command(m.command[0], append(args, m.plan(a))...)
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	p := &process{Cmd: cmd, ended: make(chan struct{})}
	m.processes[a] = p
	go func() {
		_ = cmd.Wait()
		close(p.ended)
		m.mu.Lock()
		defer m.mu.Unlock()
		if !p.meant {
			m.fell = append(m.fell, Fall{a, time.Now()})
		}
	}()
	return nil
}

// clock is what is wrong with a machine's: it is up to an hour off, runs up to 5% fast or slow, and jumps by up to an hour either way
// within some seconds of each start.
func (m *Machines) clock(a int) string {
	if m.Clock != nil {
		return m.Clock(a)
	} else if !m.Clocks {
		return ""
	}
	rng := rand.New(rand.NewSource(m.Seed*1_000_003 + int64(a)))
	return fmt.Sprintf("rate=%.4f,off=%ds,jump=%ds@%dms", 0.95+0.1*rng.Float64(), rng.Intn(7200)-3600, rng.Intn(7200)-3600, 500+rng.Intn(5000))
}

// Fallen is how many times an agent has ended by itself.
func (m *Machines) Fallen() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.fell)
}

// Log is the file with what a machine's agent says.
func (m *Machines) Log(a int) string { return filepath.Join(m.folder, fmt.Sprintf("a%d.log", a)) }

// Kill ends a machine's agent alone; its instances go on.
func (m *Machines) Kill(a int) {
	m.mu.Lock()
	p := m.processes[a]
	m.processes[a] = nil
	if p != nil {
		p.meant = true
	}
	m.mu.Unlock()
	if p != nil {
		_ = p.Process.Kill()
		<-p.ended
	}
}

// Doze stops a machine's agent alone; Wake has it go on.
func (m *Machines) Doze(a int) { m.signal(a, syscall.SIGSTOP) }

// Crash ends all that runs on a machine in one instant.
func (m *Machines) Crash(a int) {
	instances := m.stop(a)
	m.struck(a, Killed)
	for _, pid := range instances {
		_ = syscall.Kill(pid, syscall.SIGKILL)
	}
	m.Kill(a)
}

// Stall stops all that runs on a machine; Wake has it go on.
func (m *Machines) Stall(a int) {
	m.struck(a, Stopped)
	for _, pid := range m.stop(a) {
		_ = syscall.Kill(pid, syscall.SIGSTOP)
	}
}

func (m *Machines) Wake(a int) {
	for _, pid := range m.instances(a) {
		_ = syscall.Kill(pid, syscall.SIGCONT)
	}
	m.signal(a, syscall.SIGCONT)
	m.struck(a, Woken)
}

// StallInstances stops a machine's instances and not its agent; Wake has them go on.
func (m *Machines) StallInstances(a int) {
	m.struck(a, Stopped)
	for _, pid := range m.instances(a) {
		_ = syscall.Kill(pid, syscall.SIGSTOP)
	}
}

// struck tells of it; of a machine that was not stopped nothing is told when it is woken.
func (m *Machines) struck(a int, what Strike) {
	m.mu.Lock()
	was := m.stopped[a]
	m.stopped[a] = what == Stopped
	m.mu.Unlock()
	if m.Struck != nil && (was || what != Woken) {
		m.Struck(a, what)
	}
}

// stop stops the agent first, so that it starts nothing while its instances are looked for, and tells their processes.
func (m *Machines) stop(a int) []int {
	m.signal(a, syscall.SIGSTOP)
	return m.instances(a)
}

// instances are the processes of a machine's instances: what its agent has started, or has written down.
func (m *Machines) instances(a int) (pids []int) {
	if m.Instances == nil {
		return nil
	}
	for _, i := range m.keeps(a) {
		var p struct {
			PID   int
			Start string
		}
		text, err := os.ReadFile(filepath.Join(m.data(a), i.Name+".process"))
		if err == nil && json.Unmarshal(text, &p) == nil && p.PID > 1 && stat(p.PID, 19) == p.Start {
			pids = append(pids, p.PID)
		}
	}
	m.mu.Lock()
	agent := m.processes[a]
	m.mu.Unlock()
	if agent == nil {
		return pids
	}
	all, _ := filepath.Glob("/proc/[0-9]*") // the one fault is a bad pattern
	for _, path := range all {
		// Guards against one that was started and not written down yet.
		if pid, err := strconv.Atoi(filepath.Base(path)); err == nil && stat(pid, 1) == strconv.Itoa(agent.Process.Pid) && !slices.Contains(pids, pid) {
			pids = append(pids, pid)
		}
	}
	return pids
}

// stat is a field of what the kernel tells of a process, counted from its state; "" if there is none.
func stat(pid, field int) string {
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

// signal is for a machine's agent.
func (m *Machines) signal(a int, s syscall.Signal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if p := m.processes[a]; p != nil {
		_ = p.Process.Signal(s)
	}
}

// FillDisk has every file of a machine's agent at its largest: nothing on its disk grows any more. That is a limit on the process
// (setrlimit's RLIMIT_FSIZE), and fails writes as a full disk does. Room ends it.
func (m *Machines) FillDisk(a int) error {
	largest := uint64(0)
	if info, err := os.Stat(filepath.Join(m.data(a), "log.db")); err == nil {
		largest = uint64(info.Size())
	}
	return m.limit(a, largest)
}

func (m *Machines) Room(a int) error { return m.limit(a, math.MaxUint64) }

func (m *Machines) limit(a int, largest uint64) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	p := m.processes[a]
	if p == nil {
		return nil
	}
	p.meant = true // one that can write down nothing may end
	err := unix.Prlimit(p.Process.Pid, unix.RLIMIT_FSIZE, &unix.Rlimit{Cur: largest, Max: math.MaxUint64}, nil)
	if errors.Is(err, unix.ESRCH) {
		return nil
	}
	return err
}

// LoseDisk takes what a crashed machine had on its disk.
func (m *Machines) LoseDisk(a int) error { return os.RemoveAll(m.data(a)) }

// KeepDisk copies a machine's disk in one instant, as a backup does; SetBackDisk lays the copy in the place of what a
// crashed machine has.
func (m *Machines) KeepDisk(a int) error {
	m.signal(a, syscall.SIGSTOP)
	defer m.signal(a, syscall.SIGCONT)
	if err := os.RemoveAll(m.data(a) + ".kept"); err != nil {
		return err
	}
	err := os.CopyFS(m.data(a)+".kept", os.DirFS(m.data(a)))
	if errors.Is(err, fs.ErrNotExist) { // it has none just now
		return nil
	}
	return err
}

func (m *Machines) SetBackDisk(a int) error {
	if err := m.LoseDisk(a); err != nil {
		return err
	}
	if err := os.Rename(m.data(a)+".kept", m.data(a)); !os.IsNotExist(err) {
		return err
	}
	return nil
}

// Size is how many machines there are.
func (m *Machines) Size() int { return len(m.names) }

// Close ends all.
func (m *Machines) Close() {
	for a := range m.names {
		m.Crash(a)
	}
	m.Net.Close()
}

// asking bounds a question to one agent: one that cannot have a command agreed on says so after 5 s.
const asking = 6 * time.Second

// Ask asks a machine's agent, past the links.
func (m *Machines) Ask(ctx context.Context, a int, how func(context.Context, *agent.Client) error) error {
	return m.ask(ctx, a, asking, how)
}

func (m *Machines) ask(ctx context.Context, a int, within time.Duration, how func(context.Context, *agent.Client) error) error {
	c := agent.NewClient(m.listen[a])
	defer c.Close()
	ctx, cancel := context.WithTimeout(ctx, within)
	defer cancel()
	return how(ctx, c)
}

// site is a machine's; zone names the servers that stand in one.
func (m *Machines) site(a int) int { return a % m.Sites }
func zone(site int) string         { return fmt.Sprint("zone", site) }

// keeps are the instances that a machine's agent keeps.
func (m *Machines) keeps(a int) []agent.InstanceConfig {
	if m.Instances == nil {
		return nil
	}
	return m.Instances(a)
}

// Way is where a machine's instances reach a server of a zone that listens at an address.
func (m *Machines) Way(a, z int, listens string) (string, error) {
	return m.Net.Way(m.names[a], zone(z), listens)
}

// errOver is the end of a wait that has come to nothing.
var errOver = errors.New("not in time")

// until waits for something, and asks again each 20 ms.
func until(ctx context.Context, within time.Duration, good func() bool) error {
	for end := time.Now().Add(within); !good(); {
		if time.Now().After(end) || ctx.Err() != nil {
			return errOver
		}
		time.Sleep(20 * time.Millisecond)
	}
	return nil
}
