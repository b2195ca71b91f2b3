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

// The child of these tests makes the call that it is told on a line, and says on one how it ended.
const childEnv = "SYSFAULT_TEST_CHILD"

func TestMain(m *testing.M) {
	if os.Getenv(childEnv) != "" {
		serveCalls()
		return
	}
	os.Exit(m.Run())
}

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

// transferSize is what the child writes and reads in one call.
const transferSize = 100

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

// child is a process under a shim.
type child struct {
	t    *testing.T
	shim *sysfault.Shim
	in   *bufio.Writer
	out  *bufio.Scanner
}

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

func (c *child) call(name string) string {
	_, err := c.in.WriteString(name + "\n")
	require.NoError(c.t, err)
	require.NoError(c.t, c.in.Flush())
	require.True(c.t, c.out.Scan())
	return c.out.Text()
}

func TestEachListedErrorArrives(t *testing.T) {
	for group, errnos := range sysfault.TransientErrors {
		t.Run(string(group), func(t *testing.T) {
			t.Parallel()
			c := newChild(t, group)
			before := c.call(string(group))
			for _, errno := range errnos {
				end := c.shim.Begin(sysfault.Fault{Group: group, Errors: []syscall.Errno{errno}, Probability: 1})
				require.Equal(t, unix.ErrnoName(errno), c.call(string(group)))
				end()
				require.Equal(t, before, c.call(string(group)), "and it is over with the fault")
				require.Positive(t, c.shim.Failures()[group][unix.ErrnoName(errno)])
			}
		})
	}
}

func TestTransfersOfSocketsAreCutShortAndNothingIsLost(t *testing.T) {
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
	for rest := written; rest > 0; rest -= read {
		line := c.call("read")
		_, err := fmt.Sscanf(line, "moved %d", &read)
		require.NoError(t, err, line)
		require.LessOrEqual(t, read, rest)
	}
	require.Equal(t, "EAGAIN", c.call("read"), "all that was written was read")
}

func TestOneSeedFailsTheSameCalls(t *testing.T) {
	outcomes := func() string {
		c := newChild(t, sysfault.Socket)
		c.shim.Begin(sysfault.Fault{Group: sysfault.Socket, Probability: 0.5})
		var said []string
		for range 40 {
			said = append(said, c.call("socket"))
		}
		return strings.Join(said, " ")
	}
	first := outcomes()
	require.Contains(t, first, "moved 0")
	require.Equal(t, first, outcomes())
}

func TestAFaultEndsAfterSoManyFailures(t *testing.T) {
	c := newChild(t, sysfault.Socket)
	c.shim.Begin(sysfault.Fault{Group: sysfault.Socket, Errors: []syscall.Errno{unix.ENOBUFS}, Probability: 1, Skip: 1, MaxFailures: 2})
	require.Equal(t, "moved 0", c.call("socket"))
	require.Equal(t, "ENOBUFS", c.call("socket"))
	require.Equal(t, "ENOBUFS", c.call("socket"))
	require.Equal(t, "moved 0", c.call("socket"))
}

func TestAnUnknownGroupIsRefused(t *testing.T) {
	_, err := sysfault.Start(exec.Command("true"), 1, "brew")
	require.ErrorContains(t, err, `"brew"`)
	_, err = sysfault.Start(exec.Command("/no/such/program"), 1, sysfault.Socket)
	require.NoError(t, err, "what cannot be executed ends as a process that could not start, with 127")
}
