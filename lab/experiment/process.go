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

// shimmed are the faults that hold at an instance, also for the processes that it starts anew.
type shimmed struct {
	groups []sysfault.Call // that its processes are filtered for; none: they are not
	mu     sync.Mutex
	shim   *sysfault.Shim // of the process that runs
	held   map[int]sysfault.Fault
	ends   map[int]func()
	failed int // calls that failed in the processes before
}

// start starts a process, under a filter where there is one.
func (s *shimmed) start(command *exec.Cmd, seed uint64) error {
	if len(s.groups) == 0 {
		return command.Start()
	}
	shim, err := sysfault.Start(command, seed, s.groups...)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failed = s.count()
	s.shim, s.ends = shim, map[int]func(){}
	for order, fault := range s.held {
		if !endsRuntime(fault.Call) {
			s.ends[order] = shim.Begin(fault)
		}
	}
	return nil
}

// endsRuntime tells of calls without which the system's loader or the language's runtime does not start a program: they fail
// once the process serves.
func endsRuntime(call sysfault.Call) bool {
	return call == sysfault.Copy || call == sysfault.Control || call == sysfault.Open
}

// started has all faults hold that were kept back while the process started.
func (s *shimmed) started() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for order, fault := range s.held {
		if s.ends[order] == nil && s.shim != nil {
			s.ends[order] = s.shim.Begin(fault)
		}
	}
}

// begin has a fault hold, by its place in the script.
func (s *shimmed) begin(order int, fault sysfault.Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.held == nil {
		s.held = map[int]sysfault.Fault{}
	}
	s.held[order] = fault
	if s.shim != nil {
		s.ends[order] = s.shim.Begin(fault)
	}
}

func (s *shimmed) end(order int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.held, order)
	if end := s.ends[order]; end != nil {
		end()
	}
}

// count is how many calls failed or were cut short so far. Its lock is held.
func (s *shimmed) count() int {
	sum := s.failed
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

func (s *shimmed) failures() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.count()
}

// earliestKill is how long after SIGTERM a process is killed at the soonest, beside the longest deadline, which counts for
// longestDeadline at most. Source: the protocol's page.
const (
	earliestKill    = 700 * time.Millisecond
	longestDeadline = 3 * time.Second
)

// retire ends a process as at a planned restart: SIGTERM, further signals in series, and SIGKILL at the earliest. It
// returns whether the process left by itself, in good order.
func (i *instance) retire(longest time.Duration, random *rand.Rand) bool {
	i.mu.Lock()
	i.wanted = false
	ended, command := i.ended, i.process
	i.mu.Unlock()
	if ended == nil || command == nil {
		return true
	}
	kill := time.After(min(longest, longestDeadline) + earliestKill)
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

// frontNotices is how long clients are still sent to a process that was told to leave.
const frontNotices = 300 * time.Millisecond

// crowd opens connections that say nothing, or half a line, and holds them until it is ended.
func crowd(address string, size int, random *rand.Rand) (end func()) {
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

// series sends SIGHUP several times while the configuration is written: torn, wrong and whole.
func (i *instance) series(f *File, random *rand.Rand) error {
	for range 3 + random.IntN(4) {
		i.signal(syscall.SIGHUP)
		time.Sleep(time.Duration(random.Int64N(int64(60 * time.Millisecond))))
		if err := i.tear(f, random); err != nil {
			return err
		}
		i.signal(syscall.SIGHUP)
		time.Sleep(time.Duration(random.Int64N(int64(60 * time.Millisecond))))
		if err := i.write(f); err != nil {
			return err
		}
		i.signal(syscall.SIGHUP)
	}
	return nil
}

// tear leaves a configuration that was written in part.
func (i *instance) tear(f *File, random *rand.Rand) error {
	text, err := f.config(i)
	if err != nil {
		return err
	}
	path := i.configPath()
	if err := os.WriteFile(path+".new", text[:random.IntN(len(text))], 0o600); err != nil {
		return err
	}
	return os.Rename(path+".new", path)
}

// longest is the longest deadline.
func (f *File) longest() time.Duration {
	var most ledger.Micros
	for _, p := range f.Product {
		most = max(most, p.Limit.micros())
	}
	return most.Span()
}
