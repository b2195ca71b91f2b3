package sysfault

import (
	"errors"
	"fmt"
	"os"
	"os/exec"
	"runtime"
	"strconv"
	"strings"
	"unsafe"

	"golang.org/x/sys/unix"
)

// The launcher is this same program, executed anew with launcherCalls in its environment: it filters itself and then
// executes what its arguments name. It never returns to main.
const (
	launcherCallsEnv  = "SYSFAULT_CALLS"  // numbers of system calls, separated by commas
	launcherSocketEnv = "SYSFAULT_SOCKET" // the descriptor over which the notifications' one is handed over
)

func init() {
	calls, is := os.LookupEnv(launcherCallsEnv)
	if !is {
		return
	}
	if err := launch(calls, os.Getenv(launcherSocketEnv)); err != nil {
		fmt.Fprintln(os.Stderr, "sysfault:", err)
	}
	os.Exit(127)
}

// launch filters this thread and executes the program that os.Args names. It returns only on failure.
func launch(calls, socket string) error {
	runtime.LockOSThread() // the filter is the thread's, and so is the program's after exec
	var filtered []uint32
	for _, word := range strings.Split(calls, ",") {
		number, err := strconv.ParseUint(word, 10, 32)
		if err != nil {
			return err
		}
		filtered = append(filtered, uint32(number))
	}
	over, err := strconv.Atoi(socket)
	if err != nil {
		return err
	}
	if err := unix.Prctl(unix.PR_SET_NO_NEW_PRIVS, 1, 0, 0, 0); err != nil {
		return fmt.Errorf("no new privileges: %w", err)
	}
	listener, err := installFilter(filtered)
	if err != nil {
		return fmt.Errorf("the filter: %w", err)
	}
	if err := unix.Sendmsg(over, []byte{1}, unix.UnixRights(listener), nil, 0); err != nil {
		return fmt.Errorf("handing the filter over: %w", err)
	}
	_ = unix.Close(listener)
	unix.CloseOnExec(over)
	_ = os.Unsetenv(launcherCallsEnv)
	_ = os.Unsetenv(launcherSocketEnv)
	return unix.Exec(os.Args[0], os.Args, os.Environ())
}

// installFilter sets the filter: the named calls are notified, all others pass.
func installFilter(filtered []uint32) (listener int, err error) {
	const numberAt = 0 // struct seccomp_data begins with the call's number
	program := []unix.SockFilter{{Code: unix.BPF_LD | unix.BPF_W | unix.BPF_ABS, K: numberAt}}
	for i, number := range filtered {
		program = append(program, unix.SockFilter{Code: unix.BPF_JMP | unix.BPF_JEQ | unix.BPF_K, K: number,
			Jt: uint8(len(filtered) - i)})
	}
	program = append(program,
		unix.SockFilter{Code: unix.BPF_RET | unix.BPF_K, K: unix.SECCOMP_RET_ALLOW},
		unix.SockFilter{Code: unix.BPF_RET | unix.BPF_K, K: unix.SECCOMP_RET_USER_NOTIF})
	form := unix.SockFprog{Len: uint16(len(program)), Filter: &program[0]}
	// A call that waits for its answer is given up by death alone: the runtime's own signals would make it wait anew.
	flags := uintptr(unix.SECCOMP_FILTER_FLAG_NEW_LISTENER | unix.SECCOMP_FILTER_FLAG_WAIT_KILLABLE_RECV)
	fd, _, errno := unix.Syscall(unix.SYS_SECCOMP, unix.SECCOMP_SET_MODE_FILTER, flags, uintptr(unsafe.Pointer(&form)))
	if errno != 0 {
		return -1, errno
	}
	return int(fd), nil
}

// startFiltered starts a command through the launcher and returns the descriptor of its notifications.
func startFiltered(command *exec.Cmd, groups []CallGroup) (listener int, err error) {
	self, err := os.Executable()
	if err != nil {
		return -1, err
	}
	pair, err := unix.Socketpair(unix.AF_UNIX, unix.SOCK_SEQPACKET|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return -1, err
	}
	own, other := pair[0], os.NewFile(uintptr(pair[1]), "launcher")
	defer unix.Close(own)
	defer other.Close()
	var calls []string
	for _, group := range groups {
		for _, number := range callNumbers[group] {
			calls = append(calls, strconv.Itoa(int(number)))
		}
	}
	if command.Err != nil {
		return -1, command.Err
	}
	command.ExtraFiles = append(command.ExtraFiles, other)
	const firstExtra = 3
	command.Env = append(command.Environ(), launcherCallsEnv+"="+strings.Join(calls, ","),
		launcherSocketEnv+"="+strconv.Itoa(firstExtra+len(command.ExtraFiles)-1))
	command.Args[0] = command.Path // what the launcher executes
	command.Path = self
	if err := command.Start(); err != nil {
		return -1, err
	}
	if err := other.Close(); err != nil {
		return -1, err
	}
	return receiveListener(own)
}

func receiveListener(own int) (int, error) {
	const oneDescriptor = 4
	word, side := make([]byte, 1), make([]byte, unix.CmsgSpace(oneDescriptor))
	n, extra, _, _, err := unix.Recvmsg(own, word, side, unix.MSG_CMSG_CLOEXEC)
	if err != nil {
		return -1, err
	}
	if n == 0 {
		return -1, errors.New("the launcher has ended; its standard error says why")
	}
	messages, err := unix.ParseSocketControlMessage(side[:extra])
	if err != nil {
		return -1, err
	}
	for _, m := range messages {
		if fds, err := unix.ParseUnixRights(&m); err == nil && len(fds) == 1 {
			return fds[0], nil
		}
	}
	return -1, errors.New("the launcher handed nothing over")
}
