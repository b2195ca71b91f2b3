package sysfault_test

import (
	"bufio"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"strings"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	"hatchproxy/lab/sysfault"
)

// childEnv is set in the environment of the child process of these tests. The child reads names of call groups, one a line, makes
// such a call for each, and writes a line with its result.
const childEnv = "SYSFAULT_TEST_CHILD"

func TestMain(m *testing.M) {
	if os.Getenv(childEnv) != "" {
		serveCalls()
		return
	}
	os.Exit(m.Run())
}

// serveCalls is the child's main function.
func serveCalls() {
	pair, err := unix.Socketpair(unix.AF_UNIX, unix.SOCK_STREAM|unix.SOCK_NONBLOCK, 0)
	if err != nil {
		fmt.Println(err)
		return
	}
	in := bufio.NewScanner(os.Stdin)
	for in.Scan() {
		fmt.Println(makeCall(in.Text(), pair))
	}
}

// transferSize is the number of bytes that the child writes or reads in one call.
const transferSize = 100

// makeCall makes a call of a group and returns the name of its error, or "moved" and the number of bytes transferred.
func makeCall(call string, pair [2]int) string {
	var err error
	moved := 0
	switch call {
	case "accept":
		_, _, err = unix.Accept4(pair[0], 0)
	case "socket":
		var fd int
		if fd, err = unix.Socket(unix.AF_INET, unix.SOCK_STREAM, 0); err == nil {
			_ = unix.Close(fd)
		}
	case "connect":
		err = unix.Connect(pair[0], &unix.SockaddrUnix{Name: "/nowhere"})
	case "wait":
		poller, _ := unix.EpollCreate1(0)
		_, err = unix.EpollWait(poller, make([]unix.EpollEvent, 1), 0)
		_ = unix.Close(poller)
	case "open":
		var fd int
		if fd, err = unix.Open("/dev/null", unix.O_RDONLY, 0); err == nil {
			_ = unix.Close(fd)
		}
	case "sync":
		err = unix.Fsync(pair[0])
	case "copy":
		var fd int
		if fd, err = unix.FcntlInt(uintptr(pair[0]), unix.F_DUPFD_CLOEXEC, 0); err == nil {
			_ = unix.Close(fd)
		}
	case "control":
		poller, _ := unix.EpollCreate1(0)
		err = unix.EpollCtl(poller, unix.EPOLL_CTL_ADD, pair[0], &unix.EpollEvent{Fd: int32(pair[0])})
		_ = unix.Close(poller)
	case "write":
		moved, err = unix.Write(pair[0], make([]byte, transferSize))
	case "read":
		moved, err = unix.Read(pair[1], make([]byte, transferSize))
	}
	var errno syscall.Errno
	if errors.As(err, &errno) {
		return unix.ErrnoName(errno)
	}
	return fmt.Sprintf("moved %d", moved)
}

// child is the parent's side of a child process whose calls are filtered.
type child struct {
	t    *testing.T
	shim *sysfault.Shim
	in   *bufio.Writer
	out  *bufio.Scanner
}

// newChild starts a child with the given groups filtered. It ends with the test.
func newChild(t *testing.T, groups ...sysfault.CallGroup) *child {
	command := exec.Command(os.Args[0])
	command.Env = append(os.Environ(), childEnv+"=1")
	command.Stderr = os.Stderr
	in, err := command.StdinPipe()
	require.NoError(t, err)
	out, err := command.StdoutPipe()
	require.NoError(t, err)
	shim, err := sysfault.Start(command, 7, groups...)
	require.NoError(t, err)
	t.Cleanup(func() {
		_ = in.Close()
		_ = command.Wait()
		<-shim.Done()
	})
	return &child{t, shim, bufio.NewWriter(in), bufio.NewScanner(out)}
}

// call has the child make a call of a group and returns the result.
func (c *child) call(name string) string {
	_, err := c.in.WriteString(name + "\n")
	require.NoError(c.t, err)
	require.NoError(c.t, c.in.Flush())
	require.True(c.t, c.out.Scan())
	return c.out.Text()
}

func TestEachTransientErrorIsInjected(t *testing.T) {
	for group, errnos := range sysfault.TransientErrors {
		t.Run(string(group), func(t *testing.T) {
			t.Parallel()
			c := newChild(t, group)
			before := c.call(string(group))
			for _, errno := range errnos {
				end := c.shim.Begin(sysfault.Fault{Group: group, Errors: []syscall.Errno{errno}, Probability: 1})
				require.Equal(t, unix.ErrnoName(errno), c.call(string(group)))
				end()
				require.Equal(t, before, c.call(string(group)), "the call succeeds or fails as before once the fault has ended")
				require.Positive(t, c.shim.Failures()[group][unix.ErrnoName(errno)])
			}
		})
	}
}

func TestPartialTransfersLoseNothing(t *testing.T) {
	c := newChild(t, sysfault.Read, sysfault.Write)
	require.Equal(t, fmt.Sprint("moved ", transferSize), c.call("write"))
	require.Equal(t, fmt.Sprint("moved ", transferSize), c.call("read"))
	c.shim.Begin(sysfault.Fault{Group: sysfault.Write, Short: true, Probability: 1})
	var written, read int
	_, err := fmt.Sscanf(c.call("write"), "moved %d", &written)
	require.NoError(t, err)
	require.Greater(t, written, 0)
	require.Less(t, written, transferSize)
	c.shim.Begin(sysfault.Fault{Group: sysfault.Read, Short: true, Probability: 1})
	for remaining := written; remaining > 0; remaining -= read {
		line := c.call("read")
		_, err := fmt.Sscanf(line, "moved %d", &read)
		require.NoError(t, err, line)
		require.LessOrEqual(t, read, remaining)
	}
	require.Equal(t, "EAGAIN", c.call("read"), "all bytes that were written have been read")
}

func TestSameSeedFailsTheSameCalls(t *testing.T) {
	outcomes := func() string {
		c := newChild(t, sysfault.Socket)
		c.shim.Begin(sysfault.Fault{Group: sysfault.Socket, Probability: 0.5})
		var results []string
		for range 40 {
			results = append(results, c.call("socket"))
		}
		return strings.Join(results, " ")
	}
	first := outcomes()
	require.Contains(t, first, "moved 0")
	require.Equal(t, first, outcomes())
}

func TestFaultEndsAfterMaxFailures(t *testing.T) {
	c := newChild(t, sysfault.Socket)
	c.shim.Begin(sysfault.Fault{Group: sysfault.Socket, Errors: []syscall.Errno{unix.ENOBUFS}, Probability: 1, Skip: 1, MaxFailures: 2})
	require.Equal(t, "moved 0", c.call("socket"))
	require.Equal(t, "ENOBUFS", c.call("socket"))
	require.Equal(t, "ENOBUFS", c.call("socket"))
	require.Equal(t, "moved 0", c.call("socket"))
}

func TestUnknownCallGroupIsAnError(t *testing.T) {
	_, err := sysfault.Start(exec.Command("true"), 1, "brew")
	require.ErrorContains(t, err, `"brew"`)
	_, err = sysfault.Start(exec.Command("/no/such/program"), 1, sysfault.Socket)
	require.NoError(t, err, "a program that cannot be executed is a process that exits with 127, not an error of Start")
}
