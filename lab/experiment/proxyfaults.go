package experiment

import (
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"sync"
	"syscall"
	"time"

	"hatchproxy/lab/ledger"
	"hatchproxy/lab/sysfault"
)

// callFaults maps the kinds of trouble in which a proxy's system calls fail to their faults. The trouble's size is the
// probability that a call fails.
var callFaults = map[string]sysfault.Fault{
	"calls-accept":  {Group: sysfault.Accept},
	"calls-socket":  {Group: sysfault.Socket},
	"calls-connect": {Group: sysfault.Connect},
	"calls-wait":    {Group: sysfault.Wait},
	"calls-copy":    {Group: sysfault.Duplicate},
	"calls-control": {Group: sysfault.Control},
	"calls-open":    {Group: sysfault.Open},
	"calls-read":    {Group: sysfault.Read, Short: true},
	"calls-write":   {Group: sysfault.Write, Short: true},
}

// syscallFaults are the system call faults of a proxy. They last over restarts of its process.
type syscallFaults struct {
	intercepted     []sysfault.CallGroup // calls that its processes are filtered for; without any there is no filter
	mu              sync.Mutex
	shim            *sysfault.Shim         // filter of the running process
	active          map[int]sysfault.Fault // by the index of their trouble in the script
	endFuncs        map[int]func()         // each ends a fault that has begun in the running process, by the same index
	earlierFailures int                    // calls that failed in earlier processes
}

// start starts a process, under a filter if calls are to be intercepted, and begins the active faults that do not prevent its start.
func (s *syscallFaults) start(command *exec.Cmd, seed uint64) error {
	if len(s.intercepted) == 0 {
		return command.Start()
	}
	shim, err := sysfault.Start(command, seed, s.intercepted...)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.earlierFailures = s.failuresLocked()
	s.shim, s.endFuncs = shim, map[int]func(){}
	for index, fault := range s.active {
		if !breaksStartup(fault.Group) {
			s.endFuncs[index] = shim.Begin(fault)
		}
	}
	return nil
}

// breaksStartup reports whether the program loader or the Go runtime can't start a program if a call fails: faults of such calls
// only begin once the process is ready.
func breaksStartup(call sysfault.CallGroup) bool {
	return call == sysfault.Duplicate || call == sysfault.Control || call == sysfault.Open
}

// processReady begins the active faults that were held back while the process started.
func (s *syscallFaults) processReady() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for index, fault := range s.active {
		if s.endFuncs[index] == nil && s.shim != nil {
			s.endFuncs[index] = s.shim.Begin(fault)
		}
	}
}

// begin begins a fault; index is that of its trouble in the script.
func (s *syscallFaults) begin(index int, fault sysfault.Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.active == nil {
		s.active = map[int]sysfault.Fault{}
	}
	s.active[index] = fault
	if s.shim != nil {
		s.endFuncs[index] = s.shim.Begin(fault)
	}
}

// end ends the fault of the trouble with an index in the script.
func (s *syscallFaults) end(index int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.active, index)
	if endFault := s.endFuncs[index]; endFault != nil {
		endFault()
	}
}

// failuresLocked returns the number of calls that failed or were cut short so far. The caller holds the lock.
func (s *syscallFaults) failuresLocked() int {
	total := s.earlierFailures
	if s.shim == nil {
		return total
	}
	for _, byError := range s.shim.Failures() {
		for _, n := range byError {
			total += n
		}
	}
	return total
}

// failures returns the number of calls that failed or were cut short so far.
func (s *syscallFaults) failures() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.failuresLocked()
}

// A proxy that is retired may be killed no sooner after SIGTERM than its longest deadline, of which at most maxCountedDeadline
// counts, plus killMargin. The protocol sets both.
const (
	killMargin         = 700 * time.Millisecond
	maxCountedDeadline = 3 * time.Second
)

// retire ends the proxy's process as a planned restart does: by SIGTERM, with further random signals after it, and SIGKILL at the
// earliest time that the protocol allows. It reports whether the process exited by itself, without an error. longest is the
// longest deadline of a request.
func (i *instance) retire(longest time.Duration, rng *rand.Rand) bool {
	i.mu.Lock()
	i.shouldRun = false
	exited, cmd := i.exited, i.cmd
	i.mu.Unlock()
	if exited == nil || cmd == nil {
		return true
	}
	kill := time.After(min(longest, maxCountedDeadline) + killMargin)
	i.signal(syscall.SIGTERM)
	series := time.NewTimer(time.Duration(rng.Int64N(int64(200 * time.Millisecond))))
	defer series.Stop()
	for {
		select {
		case <-exited:
			return cmd.ProcessState.Success()
		case <-series.C:
			i.signal([]syscall.Signal{syscall.SIGHUP, syscall.SIGTERM}[rng.IntN(2)])
			series.Reset(time.Duration(rng.Int64N(int64(600 * time.Millisecond))))
		case <-kill:
			i.signal(syscall.SIGKILL)
			<-exited
			return false
		}
	}
}

// routingDelay is how long clients are still sent to a process that was told to leave, until the platform's front end notices.
const routingDelay = 300 * time.Millisecond

// openIdleCrowd opens a number of connections that send nothing or less than a request. Each is closed and opened anew after 0.5
// to 1.5 s, until the returned function is called.
func openIdleCrowd(address string, size int, rng *rand.Rand) (end func()) {
	stop := make(chan struct{})
	texts := []string{"", "PING\r\n", "OPEN 1 "}
	var clients sync.WaitGroup
	for range size {
		text := texts[rng.IntN(len(texts))]
		clients.Go(func() {
			for {
				conn, err := net.DialTimeout("tcp", address, time.Second)
				if err == nil {
					_, _ = conn.Write([]byte(text))
					_ = conn.SetReadDeadline(time.Now().Add(time.Second))
					_, _ = conn.Read(make([]byte, 64))
					defer conn.Close()
				}
				select {
				case <-stop:
					return
				case <-time.After(500 * time.Millisecond):
					if conn != nil {
						_ = conn.Close()
					}
				}
			}
		})
	}
	return func() {
		close(stop)
		clients.Wait()
	}
}

// reloadSeries sends SIGHUP several times while the configuration file changes between a truncated and a complete one. It ends
// with a complete one.
func (i *instance) reloadSeries(f *File, rng *rand.Rand) error {
	for range 3 + rng.IntN(4) {
		i.signal(syscall.SIGHUP)
		time.Sleep(time.Duration(rng.Int64N(int64(60 * time.Millisecond))))
		if err := i.writeTornConfig(f, rng); err != nil {
			return err
		}
		i.signal(syscall.SIGHUP)
		time.Sleep(time.Duration(rng.Int64N(int64(60 * time.Millisecond))))
		if err := i.writeConfig(f); err != nil {
			return err
		}
		i.signal(syscall.SIGHUP)
	}
	return nil
}

// writeTornConfig replaces the configuration file by a truncated one.
func (i *instance) writeTornConfig(f *File, rng *rand.Rand) error {
	text, err := f.proxyConfig(i)
	if err != nil {
		return err
	}
	path := i.configPath()
	if err := os.WriteFile(path+".new", text[:rng.IntN(len(text))], 0o600); err != nil {
		return err
	}
	return os.Rename(path+".new", path)
}

// longestLimit returns the longest hard limit of all products.
func (f *File) longestLimit() time.Duration {
	var longest ledger.Micros
	for _, p := range f.Product {
		longest = max(longest, p.Limit.micros())
	}
	return longest.Duration()
}
