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

// The launcher is the program that imports this package, executed again with launcherCallsEnv in its environment. It installs the
// filter for itself, in this package's init, and then executes the program that its arguments name; its main is not reached.
const (
	launcherCallsEnv  = "SYSFAULT_CALLS"  // numbers of system calls, separated by commas
	launcherSocketEnv = "SYSFAULT_SOCKET" // the number of the socket's descriptor over which the listener is sent to the parent
)

func init() {
	calls, isLauncher := os.LookupEnv(launcherCallsEnv)
	if !isLauncher {
		return
	}
	if err := launch(calls, os.Getenv(launcherSocketEnv)); err != nil {
		fmt.Fprintln(os.Stderr, "sysfault:", err)
	}
	os.Exit(127)
}

// launch installs the filter for the calling thread, sends its listener over the socket, and executes the program that os.Args
// names. It returns only if it fails.
func launch(calls, socketNumber string) error {
	runtime.LockOSThread() // the filter belongs to the thread; exec keeps the filter of the thread that calls it
	var numbers []uint32
	for _, word := range strings.Split(calls, ",") {
		number, err := strconv.ParseUint(word, 10, 32)
		if err != nil {
			return err
		}
		numbers = append(numbers, uint32(number))
	}
	socketFD, err := strconv.Atoi(socketNumber)
	if err != nil {
		return err
	}
	if err := unix.Prctl(unix.PR_SET_NO_NEW_PRIVS, 1, 0, 0, 0); err != nil {
		return fmt.Errorf("set no_new_privs: %w", err)
	}
	listener, err := installFilter(numbers)
	if err != nil {
		return fmt.Errorf("install the filter: %w", err)
	}
	if err := unix.Sendmsg(socketFD, []byte{1}, unix.UnixRights(listener), nil, 0); err != nil {
		return fmt.Errorf("send the listener to the parent: %w", err)
	}
	_ = unix.Close(listener)
	unix.CloseOnExec(socketFD)
	_ = os.Unsetenv(launcherCallsEnv)
	_ = os.Unsetenv(launcherSocketEnv)
	return unix.Exec(os.Args[0], os.Args, os.Environ())
}

// installFilter installs a seccomp filter for the calling thread: the given system calls wait for the answer of whoever reads the
// listener, all others pass.
func installFilter(numbers []uint32) (listener int, err error) {
	const numberAt = 0 // struct seccomp_data begins with the call's number
	program := []unix.SockFilter{{Code: unix.BPF_LD | unix.BPF_W | unix.BPF_ABS, K: numberAt}}
	for i, number := range numbers {
		program = append(program, unix.SockFilter{Code: unix.BPF_JMP | unix.BPF_JEQ | unix.BPF_K, K: number,
			Jt: uint8(len(numbers) - i)})
	}
	program = append(program,
		unix.SockFilter{Code: unix.BPF_RET | unix.BPF_K, K: unix.SECCOMP_RET_ALLOW},
		unix.SockFilter{Code: unix.BPF_RET | unix.BPF_K, K: unix.SECCOMP_RET_USER_NOTIF})
	descriptor := unix.SockFprog{Len: uint16(len(program)), Filter: &program[0]}
	// Only a fatal signal interrupts a call that waits for its answer. The signals that the Go runtime sends to its own threads would
	// otherwise interrupt and restart it.
	flags := uintptr(unix.SECCOMP_FILTER_FLAG_NEW_LISTENER | unix.SECCOMP_FILTER_FLAG_WAIT_KILLABLE_RECV)
	fd, _, errno := unix.Syscall(unix.SYS_SECCOMP, unix.SECCOMP_SET_MODE_FILTER, flags, uintptr(unsafe.Pointer(&descriptor)))
	if errno != 0 {
		return -1, errno
	}
	return int(fd), nil
}

// startFiltered starts a command through the launcher, filtered for the given groups, and returns the listener, which is the
// descriptor of its notifications.
func startFiltered(command *exec.Cmd, groups []CallGroup) (listener int, err error) {
	executable, err := os.Executable()
	if err != nil {
		return -1, err
	}
	pair, err := unix.Socketpair(unix.AF_UNIX, unix.SOCK_SEQPACKET|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return -1, err
	}
	ownEnd, launcherEnd := pair[0], os.NewFile(uintptr(pair[1]), "launcher")
	defer unix.Close(ownEnd)
	defer launcherEnd.Close()
	var calls []string
	for _, group := range groups {
		for _, number := range callNumbers[group] {
			calls = append(calls, strconv.Itoa(int(number)))
		}
	}
	if command.Err != nil {
		return -1, command.Err
	}
	command.ExtraFiles = append(command.ExtraFiles, launcherEnd)
	const firstExtra = 3 // the first descriptor of ExtraFiles in the child
	command.Env = append(command.Environ(), launcherCallsEnv+"="+strings.Join(calls, ","),
		launcherSocketEnv+"="+strconv.Itoa(firstExtra+len(command.ExtraFiles)-1))
	command.Args[0] = command.Path // the program that the launcher executes
	command.Path = executable
	if err := command.Start(); err != nil {
		return -1, err
	}
	if err := launcherEnd.Close(); err != nil {
		return -1, err
	}
	return receiveListener(ownEnd)
}

// receiveListener receives the listener's descriptor from the launcher.
func receiveListener(socket int) (int, error) {
	const oneDescriptor = 4 // bytes
	data, control := make([]byte, 1), make([]byte, unix.CmsgSpace(oneDescriptor))
	n, controlSize, _, _, err := unix.Recvmsg(socket, data, control, unix.MSG_CMSG_CLOEXEC)
	if err != nil {
		return -1, err
	}
	if n == 0 {
		return -1, errors.New("the launcher has exited; its standard error says why")
	}
	messages, err := unix.ParseSocketControlMessage(control[:controlSize])
	if err != nil {
		return -1, err
	}
	for _, m := range messages {
		if fds, err := unix.ParseUnixRights(&m); err == nil && len(fds) == 1 {
			return fds[0], nil
		}
	}
	return -1, errors.New("the launcher sent no descriptor")
}
