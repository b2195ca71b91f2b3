// Package sysfault injects faults into the system calls of a child process, at random, for tests. Go programs make system calls
// without the C library, so a preloaded library can't intercept them. A seccomp filter with user notification can, and needs
// no privileges. The child installs the filter and then executes the program to be tested; this process answers each filtered
// call with an error, with a short transfer, or by letting it pass.
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

// CallGroup names a group of system calls.
type CallGroup string

// The groups of calls that can be made to fail.
const (
	Accept    CallGroup = "accept"
	Socket    CallGroup = "socket"
	Connect   CallGroup = "connect"
	Wait      CallGroup = "wait"    // epoll_wait, epoll_pwait, and nanosleep, with which threads sleep
	Read      CallGroup = "read"    // of sockets only
	Write     CallGroup = "write"   // of sockets only
	Open      CallGroup = "open"    // of files
	Sync      CallGroup = "sync"    // fsync, fdatasync
	Control   CallGroup = "control" // epoll_ctl that adds a descriptor, the only kind that needs memory
	Duplicate CallGroup = "copy"    // fcntl, with which descriptors are duplicated; its other commands fail, too
)

// callNumbers lists the system calls of each group.
var callNumbers = map[CallGroup][]uint32{
	Accept:    {unix.SYS_ACCEPT4, unix.SYS_ACCEPT},
	Socket:    {unix.SYS_SOCKET},
	Connect:   {unix.SYS_CONNECT},
	Wait:      waitCalls,
	Read:      {unix.SYS_READ},
	Write:     {unix.SYS_WRITE, unix.SYS_WRITEV},
	Open:      {unix.SYS_OPENAT},
	Sync:      {unix.SYS_FSYNC, unix.SYS_FDATASYNC},
	Control:   {unix.SYS_EPOLL_CTL},
	Duplicate: {unix.SYS_FCNTL},
}

// TransientErrors lists, for each group, the errors that its calls may return for a short time on a busy machine.
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

// Fault describes how calls of a group fail: with an error that is drawn from Errors, or by transferring only a part.
type Fault struct {
	Group       CallGroup
	Errors      []syscall.Errno // if empty, the group's TransientErrors
	Short       bool            // reads and writes of sockets transfer a part instead of failing; MaxFailures does not count these
	Probability float64         // that a call fails, 0 to 1
	Skip        int             // the number of calls that pass first
	MaxFailures int             // the fault ends after so many failures; 0 for no bound
}

// Shim answers the filtered calls of one process. Its methods may be called from several goroutines.
type Shim struct {
	listener  int // the descriptor of the kernel's notifications
	mu        sync.Mutex
	rng       *rand.Rand
	faults    map[int]*Fault // those in effect, by number
	lastFault int            // the highest number so far
	failures  map[CallGroup]map[string]int
	done      chan struct{}
}

// Start starts a command with the calls of the given groups filtered. All of them pass until a fault begins. Random decisions are
// drawn from the seed. The shim ends with the process. If executing the program fails, Start returns no error and the process exits with
// status 127.
func Start(command *exec.Cmd, seed uint64, groups ...CallGroup) (*Shim, error) {
	for _, group := range groups {
		if _, known := callNumbers[group]; !known {
			return nil, fmt.Errorf("unknown call group %q", group)
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

// Begin puts a fault into effect until the returned function is called. Several faults may be in effect: each call is decided by
// the first of them, in the order in which they began, that is drawn for it.
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

// Failures returns how many calls have failed so far, by group and name of the error. Partial transfers are counted as "short".
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

// Done returns a channel that is closed once the process has exited and no more calls are answered.
func (s *Shim) Done() <-chan struct{} { return s.done }

// shortTransfer is the key of partial transfers in Failures.
const shortTransfer = "short"

// decision says how one call is answered; the zero value lets it pass.
type decision struct {
	errno syscall.Errno // the error to return; 0 for none
	short bool          // transfer only a part
}

// decide decides how a call is answered, and updates the faults.
func (s *Shim) decide(number uint32) decision {
	s.mu.Lock()
	defer s.mu.Unlock()
	for n := 1; n <= s.lastFault; n++ { // in the order in which they began: a map's order is random and does not depend on the seed
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

// covers reports whether the fault applies to a system call.
func (f *Fault) covers(number uint32) bool {
	for _, n := range callNumbers[f.Group] {
		if n == number {
			return true
		}
	}
	return false
}

// countFailure counts a failure of a system call in each of its groups.
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

// serve answers the process's calls until it has exited.
func (s *Shim) serve() {
	defer close(s.done)
	defer unix.Close(s.listener)
	for {
		if exited, err := awaitNotification(s.listener); exited || err != nil {
			return
		}
		n, err := receive(s.listener)
		switch {
		case errors.Is(err, unix.EINTR), errors.Is(err, unix.ENOENT): // a signal interrupted the call
			continue
		case err != nil:
			return
		}
		_ = respond(s.listener, s.answer(n)) // ENOENT if the call was interrupted in the meantime
	}
}

// answer returns the answer to one call, after making a partial transfer if that is decided.
func (s *Shim) answer(n *notification) response {
	pass := response{id: n.id, flags: unix.SECCOMP_USER_NOTIF_FLAG_CONTINUE}
	number := uint32(n.data.number)
	if number == unix.SYS_EPOLL_CTL && n.data.arguments[1] != unix.EPOLL_CTL_ADD {
		return pass
	}
	d := s.decide(number)
	switch {
	case d.errno != 0 && isSocketTransfer(number) && !isSocket(n):
		return pass
	case d.errno != 0:
		s.countFailure(number, unix.ErrnoName(d.errno))
		return response{id: n.id, error: -int32(d.errno)}
	case d.short:
		moved, ok := transferPart(n, s.drawPart)
		if !ok {
			return pass
		}
		s.countFailure(number, shortTransfer)
		return response{id: n.id, value: moved}
	}
	return pass
}

// drawPart draws how many bytes of a transfer are made: at least one, and fewer than size, which must be more than one.
func (s *Shim) drawPart(size int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return 1 + s.rng.IntN(size-1)
}

// isSocketTransfer reports whether a system call belongs to the groups that are about sockets only.
func isSocketTransfer(number uint32) bool {
	return number == unix.SYS_READ || number == unix.SYS_WRITE || number == unix.SYS_WRITEV
}
