// Package chaos starts agents on machines of their own, puts faults between them and into them, and judges by what was
// recorded whether what was agreed on stayed agreed on.
package chaos

import (
	"context"
	"errors"
	"fmt"
	"io/fs"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"hatchproxy/agent"
	"hatchproxy/lab/links"
)

// Machines are some, each with an agent that reaches the others only through links. Machine m stands in site m%sites.
type Machines struct {
	Net     *links.Net
	command []string // what starts an agent; its file is added
	folder  string
	names   []string
	listen  []string // where each agent listens: the judge asks there, past the links
	sites   int

	mu        sync.Mutex
	processes []*exec.Cmd // nil for one that does not run
}

// raised counts the sets of machines in this process: each has a part of loopback of its own, so that several may run
// side by side.
var raised atomic.Uint32

const (
	mostMachines = 250  // addresses in one block of loopback
	port         = 7400 // below those that the kernel draws for calls
)

// Raise writes the agents' files into a folder and makes the links; nothing runs yet. The last ones have no vote.
func Raise(command []string, folder string, agents, hear, sites int, seed int64) (*Machines, error) {
	if agents > mostMachines {
		return nil, fmt.Errorf("%d machines: %d are the most", agents, mostMachines)
	}
	m := &Machines{Net: links.New(seed), command: command, folder: folder, sites: sites, processes: make([]*exec.Cmd, agents)}
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
				return nil, err
			}
			if kind == listens {
				m.listen, listenAt = append(m.listen, at), append(listenAt, reached)
			} else {
				logs, logsAt = append(logs, at), append(logsAt, reached)
			}
		}
	}
	for a := range agents {
		var text strings.Builder
		fmt.Fprintf(&text, "name = %q\nlisten = %q\nlog = %q\nreached = %q\nfrom = %q\ndata = %q\nhears = %t\n", m.names[a], m.listen[a], logs[a], logsAt[a], address(calls, a), m.data(a), a >= agents-hear)
		for b := range agents {
			if b != a {
				fmt.Fprintf(&text, "[[peer]]\nname = %q\nlisten = %q\nlog = %q\nhears = %t\n", m.names[b], listenAt[b], logsAt[b], b >= agents-hear)
			}
		}
		if err := os.WriteFile(m.plan(a), []byte(text.String()), 0o600); err != nil {
			return nil, err
		}
	}
	return m, nil
}

func (m *Machines) data(a int) string { return filepath.Join(m.folder, fmt.Sprintf("d%d", a)) }
func (m *Machines) plan(a int) string { return filepath.Join(m.folder, fmt.Sprintf("a%d.toml", a)) }

// Start starts a machine's agent, if it does not run.
func (m *Machines) Start(a int) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.processes[a] != nil {
		return nil
	}
	log, err := os.OpenFile(filepath.Join(m.folder, fmt.Sprintf("a%d.log", a)), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command(m.command[0], append(m.command[1:len(m.command):len(m.command)], m.plan(a))...)
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	m.processes[a] = cmd
	return nil
}

// Crash ends all that runs on a machine in one instant.
func (m *Machines) Crash(a int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if cmd := m.processes[a]; cmd != nil {
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
	}
	m.processes[a] = nil
}

// Signal stops a machine, or has it go on.
func (m *Machines) Signal(a int, s syscall.Signal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if cmd := m.processes[a]; cmd != nil {
		_ = cmd.Process.Signal(s)
	}
}

// LoseDisk takes what a crashed machine had on its disk.
func (m *Machines) LoseDisk(a int) error { return os.RemoveAll(m.data(a)) }

// KeepDisk copies a machine's disk in one instant, as a backup does; SetBackDisk lays the copy in the place of what a
// crashed machine has.
func (m *Machines) KeepDisk(a int) error {
	m.Signal(a, syscall.SIGSTOP)
	defer m.Signal(a, syscall.SIGCONT)
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
	c := agent.Dial(m.listen[a])
	defer c.Close()
	ctx, cancel := context.WithTimeout(ctx, asking)
	defer cancel()
	return how(ctx, c)
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
