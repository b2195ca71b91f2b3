package agent_test

import (
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	"hatchproxy/agent"
	"hatchproxy/lab/sysfault"
)

// An agent must not start a second process for an instance because it could not read the file of the running process for a moment.
func TestRunningProcessIsFoundDespiteTransientReadErrors(t *testing.T) {
	path := filepath.Join(t.TempDir(), "instance")
	require.NoError(t, agent.SaveProcess(path, os.Getpid()))
	for _, errno := range []syscall.Errno{unix.EIO, unix.EMFILE, unix.ENFILE} {
		for maxFailures := 1; maxFailures <= 3; maxFailures++ {
			t.Run(fmt.Sprint(unix.ErrnoName(errno), " ", maxFailures), func(t *testing.T) {
				finder := exec.Command(os.Args[0], path)
				finder.Env = append(os.Environ(), "HATCH_ROLE=finder")
				stdin, err := finder.StdinPipe()
				require.NoError(t, err)
				stdout, err := finder.StdoutPipe()
				require.NoError(t, err)
				finder.Stderr = os.Stderr
				shim, err := sysfault.Start(finder, 1, sysfault.Open)
				require.NoError(t, err)
				ready := make([]byte, 1)
				_, err = stdout.Read(ready) // the helper process has started
				require.NoError(t, err)
				shim.Begin(sysfault.Fault{Group: sysfault.Open, Errors: []syscall.Errno{errno}, Probability: 1, MaxFailures: maxFailures})
				_, err = stdin.Write([]byte("\n"))
				require.NoError(t, err)
				found, err := io.ReadAll(stdout)
				require.NoError(t, err)
				require.NoError(t, finder.Wait())
				require.Equal(t, fmt.Sprintln(os.Getpid()), string(found))
			})
		}
	}
}
