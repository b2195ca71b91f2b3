// Package sysfault makes system calls of a child process fail by chance. Go programs make their system calls without the
// C library, so a preloaded library does not reach them; a seccomp filter with user notification does, and it needs no
// rights. The child installs the filter and then executes the program; this process answers each filtered call: with an
// error, with a short transfer, or by letting it pass.
package sysfault

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"os/exec"
	"sync"
	"syscall"

	"golang.org/x/sys/unix"
)

// CallGroup is a group of system calls.
type CallGroup string

// The groups of calls that can be made to fail.
const (
	Accept    CallGroup = "accept"
	Socket    CallGroup = "socket"
	Connect   CallGroup = "connect"
	Wait      CallGroup = "wait"    // epoll_wait and the sleeps of threads
	Read      CallGroup = "read"    // of sockets alone
	Write     CallGroup = "write"   // of sockets alone
	Open      CallGroup = "open"    // of files
	Sync      CallGroup = "sync"    // fsync, fdatasync
	Control   CallGroup = "control" // epoll_ctl that adds a descriptor: only that takes memory
	Duplicate CallGroup = "copy"    // of descriptors
)

// callNumbers are the system calls of each group, on amd64.
var callNumbers = map[CallGroup][]uint32{
	Accept:    {unix.SYS_ACCEPT4, unix.SYS_ACCEPT},
	Socket:    {unix.SYS_SOCKET},
	Connect:   {unix.SYS_CONNECT},
	Wait:      {unix.SYS_EPOLL_WAIT, unix.SYS_EPOLL_PWAIT, unix.SYS_NANOSLEEP},
	Read:      {unix.SYS_READ},
	Write:     {unix.SYS_WRITE, unix.SYS_WRITEV},
	Open:      {unix.SYS_OPENAT},
	Sync:      {unix.SYS_FSYNC, unix.SYS_FDATASYNC},
	Control:   {unix.SYS_EPOLL_CTL},
	Duplicate: {unix.SYS_FCNTL},
}

// TransientErrors lists the errors with which a group's calls fail for a moment on a busy machine.
var TransientErrors = map[CallGroup][]syscall.Errno{
	Accept:    {unix.ECONNABORTED, unix.EMFILE, unix.ENFILE, unix.ENOBUFS, unix.ENOMEM},
	Socket:    {unix.EMFILE, unix.ENFILE, unix.ENOBUFS, unix.ENOMEM},
	Connect:   {unix.EADDRNOTAVAIL, unix.ENETUNREACH},
	Wait:      {unix.EINTR},
	Open:      {unix.EIO, unix.EMFILE, unix.ENFILE},
	Sync:      {unix.EIO, unix.ENOSPC},
	Control:   {unix.ENOMEM},
	Duplicate: {unix.EMFILE},
}

// Fault makes a share of a group's calls fail with one of its errors, or transfer a part only.
type Fault struct {
	Group       CallGroup
	Errors      []syscall.Errno // none: Usual
	Short       bool            // reads and writes of sockets transfer a part instead of failing
	Probability float64         // of each call, 0 to 1
	Skip        int             // how many calls pass first
	MaxFailures int             // how many calls fail at most; 0 for no bound
}

// Shim answers the filtered calls of one process. Its methods may be called from anywhere.
type Shim struct {
	listener  int // the kernel's notifications
	mu        sync.Mutex
	rng       *rand.Rand
	faults    map[int]*Fault
	lastFault int
	failures  map[CallGroup]map[string]int
	done      chan struct{}
}

// Start starts a command under a filter for the given groups. Chance is drawn from the seed. No fault holds until one
// is begun. The shim ends with the process.
func Start(command *exec.Cmd, seed uint64, groups ...CallGroup) (*Shim, error) {
	for _, group := range groups {
		if _, known := callNumbers[group]; !known {
			return nil, fmt.Errorf("there is no group of calls %q", group)
		}
	}
	listener, err := startFiltered(command, groups)
	if err != nil {
		return nil, err
	}
	s := &Shim{listener: listener, rng: rand.New(rand.NewPCG(seed, 0x5ca11)), faults: map[int]*Fault{},
		failures: map[CallGroup]map[string]int{}, done: make(chan struct{})}
	go s.serve()
	return s, nil
}

// Begin lets a fault hold until the returned function is called.
func (s *Shim) Begin(f Fault) (end func()) {
	if len(f.Errors) == 0 {
		f.Errors = TransientErrors[f.Group]
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastFault++
	number := s.lastFault
	s.faults[number] = &f
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.faults, number)
	}
}

// Failures counts, by group and error, the calls that failed or were cut short so far.
func (s *Shim) Failures() map[CallGroup]map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	counts := map[CallGroup]map[string]int{}
	for group, byError := range s.failures {
		counts[group] = map[string]int{}
		for name, n := range byError {
			counts[group][name] = n
		}
	}
	return counts
}

// Done is closed once the process is gone and no call is answered any more.
func (s *Shim) Done() <-chan struct{} { return s.done }

// shortTransfer is what Failed counts a partial transfer as.
const shortTransfer = "short"

// decision is what becomes of one call.
type decision struct {
	errno syscall.Errno // 0: it does not
	short bool
}

// decide decides what becomes of a call.
func (s *Shim) decide(number uint32) decision {
	s.mu.Lock()
	defer s.mu.Unlock()
	for n := 1; n <= s.lastFault; n++ { // in the order in which they began: a map's order is chance that no seed holds
		f := s.faults[n]
		if f == nil || !f.covers(number) {
			continue
		}
		if f.Skip > 0 {
			f.Skip--
			continue
		}
		if s.rng.Float64() >= f.Probability {
			continue
		}
		if f.Short {
			return decision{short: true}
		}
		if f.MaxFailures > 0 {
			if f.MaxFailures--; f.MaxFailures == 0 {
				delete(s.faults, n)
			}
		}
		return decision{errno: f.Errors[s.rng.IntN(len(f.Errors))]}
	}
	return decision{}
}

func (f *Fault) covers(number uint32) bool {
	for _, n := range callNumbers[f.Group] {
		if n == number {
			return true
		}
	}
	return false
}

func (s *Shim) countFailure(number uint32, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for group, calls := range callNumbers {
		for _, n := range calls {
			if n != number {
				continue
			}
			if s.failures[group] == nil {
				s.failures[group] = map[string]int{}
			}
			s.failures[group][name]++
		}
	}
}

// serve answers the process's calls until it has ended.
func (s *Shim) serve() {
	defer close(s.done)
	defer unix.Close(s.listener)
	for {
		if over, err := awaitNotification(s.listener); over || err != nil {
			return
		}
		n, err := receive(s.listener)
		switch {
		case errors.Is(err, unix.EINTR), errors.Is(err, unix.ENOENT): // the call was given up by a signal
			continue
		case err != nil:
			return
		}
		_ = respond(s.listener, s.answer(n)) // ENOENT where the call was given up meanwhile
	}
}

// answer decides one call.
func (s *Shim) answer(n *notification) response {
	pass := response{id: n.id, flags: unix.SECCOMP_USER_NOTIF_FLAG_CONTINUE}
	number := uint32(n.data.number)
	if number == unix.SYS_EPOLL_CTL && n.data.arguments[1] != unix.EPOLL_CTL_ADD {
		return pass
	}
	v := s.decide(number)
	switch {
	case v.errno != 0 && isSocketTransfer(number) && !isSocket(n):
		return pass
	case v.errno != 0:
		s.countFailure(number, unix.ErrnoName(v.errno))
		return response{id: n.id, error: -int32(v.errno)}
	case v.short:
		moved, did := transferPart(n, s.drawPart)
		if !did {
			return pass
		}
		s.countFailure(number, shortTransfer)
		return response{id: n.id, value: moved}
	}
	return pass
}

// drawPart draws how much of a transfer is made: at least a byte, and less than all.
func (s *Shim) drawPart(whole int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return 1 + s.rng.IntN(whole-1)
}

func isSocketTransfer(number uint32) bool {
	return number == unix.SYS_READ || number == unix.SYS_WRITE || number == unix.SYS_WRITEV
}
