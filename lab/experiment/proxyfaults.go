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

// callFaults are the troubles by which a proxy's system calls fail, each with what its size is the chance of.
var callFaults = map[string]sysfault.Fault{
	"calls-accept":  {Call: sysfault.Accept},
	"calls-socket":  {Call: sysfault.Socket},
	"calls-connect": {Call: sysfault.Connect},
	"calls-wait":    {Call: sysfault.Wait},
	"calls-copy":    {Call: sysfault.Copy},
	"calls-control": {Call: sysfault.Control},
	"calls-open":    {Call: sysfault.Open},
	"calls-read":    {Call: sysfault.Read, Short: true},
	"calls-write":   {Call: sysfault.Write, Short: true},
}

// syscallFaults are the faults that hold at an instance, also for the processes that it starts anew.
type syscallFaults struct {
	intercepted     []sysfault.Call // that its processes are filtered for; none: they are not
	mu              sync.Mutex
	shim            *sysfault.Shim // of the process that runs
	active          map[int]sysfault.Fault
	endFuncs        map[int]func()
	earlierFailures int // calls that failed in the processes before
}

// start starts a process, under a filter where there is one.
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
	for order, fault := range s.active {
		if !breaksStartup(fault.Call) {
			s.endFuncs[order] = shim.Begin(fault)
		}
	}
	return nil
}

// breaksStartup tells of calls without which the system's loader or the language's runtime does not start a program: they fail
// once the process serves.
func breaksStartup(call sysfault.Call) bool {
	return call == sysfault.Copy || call == sysfault.Control || call == sysfault.Open
}

// processReady has all faults hold that were kept back while the process started.
func (s *syscallFaults) processReady() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for order, fault := range s.active {
		if s.endFuncs[order] == nil && s.shim != nil {
			s.endFuncs[order] = s.shim.Begin(fault)
		}
	}
}

// begin has a fault hold, by its place in the script.
func (s *syscallFaults) begin(order int, fault sysfault.Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.active == nil {
		s.active = map[int]sysfault.Fault{}
	}
	s.active[order] = fault
	if s.shim != nil {
		s.endFuncs[order] = s.shim.Begin(fault)
	}
}

func (s *syscallFaults) end(order int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.active, order)
	if end := s.endFuncs[order]; end != nil {
		end()
	}
}

// failuresLocked is how many calls failed or were cut short so far. Its lock is held.
func (s *syscallFaults) failuresLocked() int {
	sum := s.earlierFailures
	if s.shim == nil {
		return sum
	}
	for _, byError := range s.shim.Failed() {
		for _, n := range byError {
			sum += n
		}
	}
	return sum
}

func (s *syscallFaults) failures() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.failuresLocked()
}

// earliestKill is how long after SIGTERM a process is killed at the soonest, beside the longest deadline, which counts for
// longestDeadline at most. Source: the protocol's page.
const (
	killMargin         = 700 * time.Millisecond
	maxCountedDeadline = 3 * time.Second
)

// retire ends a process as at a planned restart: SIGTERM, further signals in series, and SIGKILL at the earliest. It
// returns whether the process left by itself, in good order.
func (i *instance) retire(longest time.Duration, random *rand.Rand) bool {
	i.mu.Lock()
	i.shouldRun = false
	ended, command := i.exited, i.cmd
	i.mu.Unlock()
	if ended == nil || command == nil {
		return true
	}
	kill := time.After(min(longest, maxCountedDeadline) + killMargin)
	i.signal(syscall.SIGTERM)
	series := time.NewTimer(time.Duration(random.Int64N(int64(200 * time.Millisecond))))
	defer series.Stop()
	for {
		select {
		case <-ended:
			return command.ProcessState.Success()
		case <-series.C:
			i.signal([]syscall.Signal{syscall.SIGHUP, syscall.SIGTERM}[random.IntN(2)])
			series.Reset(time.Duration(random.Int64N(int64(600 * time.Millisecond))))
		case <-kill:
			i.signal(syscall.SIGKILL)
			<-ended
			return false
		}
	}
}

// routingDelay is how long clients are still sent to a process that was told to leave.
const routingDelay = 300 * time.Millisecond

// openIdleCrowd opens connections that say nothing, or half a line, and holds them until it is ended.
func openIdleCrowd(address string, size int, random *rand.Rand) (end func()) {
	stop := make(chan struct{})
	words := []string{"", "PING\r\n", "OPEN 1 "}
	var open sync.WaitGroup
	for range size {
		word := words[random.IntN(len(words))]
		open.Go(func() {
			for {
				c, err := net.DialTimeout("tcp", address, time.Second)
				if err == nil {
					_, _ = c.Write([]byte(word))
					_ = c.SetReadDeadline(time.Now().Add(time.Second))
					_, _ = c.Read(make([]byte, 64))
					defer c.Close()
				}
				select {
				case <-stop:
					return
				case <-time.After(500 * time.Millisecond):
					if c != nil {
						_ = c.Close()
					}
				}
			}
		})
	}
	return func() {
		close(stop)
		open.Wait()
	}
}

// reloadSeries sends SIGHUP several times while the configuration is written: torn, wrong and whole.
func (i *instance) reloadSeries(f *File, random *rand.Rand) error {
	for range 3 + random.IntN(4) {
		i.signal(syscall.SIGHUP)
		time.Sleep(time.Duration(random.Int64N(int64(60 * time.Millisecond))))
		if err := i.writeTornConfig(f, random); err != nil {
			return err
		}
		i.signal(syscall.SIGHUP)
		time.Sleep(time.Duration(random.Int64N(int64(60 * time.Millisecond))))
		if err := i.writeConfig(f); err != nil {
			return err
		}
		i.signal(syscall.SIGHUP)
	}
	return nil
}

// writeTornConfig leaves a configuration that was written in part.
func (i *instance) writeTornConfig(f *File, random *rand.Rand) error {
	text, err := f.proxyConfig(i)
	if err != nil {
		return err
	}
	path := i.configPath()
	if err := os.WriteFile(path+".new", text[:random.IntN(len(text))], 0o600); err != nil {
		return err
	}
	return os.Rename(path+".new", path)
}

// longestLimit is the longest deadline.
func (f *File) longestLimit() time.Duration {
	var most ledger.Micros
	for _, p := range f.Product {
		most = max(most, p.Limit.micros())
	}
	return most.Span()
}
