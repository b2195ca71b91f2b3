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

// An agent that cannot read for a moment which instance runs must not start another beside it.
func TestAnInstanceIsFoundThroughReadsThatFailForAMoment(t *testing.T) {
	path := filepath.Join(t.TempDir(), "instance")
	require.NoError(t, agent.SaveProcess(path, os.Getpid()))
	for _, errno := range []syscall.Errno{unix.EIO, unix.EMFILE, unix.ENFILE} {
		for most := 1; most <= 3; most++ {
			t.Run(fmt.Sprint(unix.ErrnoName(errno), " ", most), func(t *testing.T) {
				finder := exec.Command(os.Args[0], path)
				finder.Env = append(os.Environ(), "HATCH_ROLE=finder")
				in, err := finder.StdinPipe()
				require.NoError(t, err)
				said, err := finder.StdoutPipe()
				require.NoError(t, err)
				finder.Stderr = os.Stderr
				shim, err := sysfault.Start(finder, 1, sysfault.Open)
				require.NoError(t, err)
				ready := make([]byte, 1)
				_, err = said.Read(ready) // it has started
				require.NoError(t, err)
				shim.Begin(sysfault.Fault{Call: sysfault.Open, Errors: []syscall.Errno{errno}, Chance: 1, Most: most})
				_, err = in.Write([]byte("\n"))
				require.NoError(t, err)
				out, err := io.ReadAll(said)
				require.NoError(t, err)
				require.NoError(t, finder.Wait())
				require.Equal(t, fmt.Sprintln(os.Getpid()), string(out))
			})
		}
	}
}
