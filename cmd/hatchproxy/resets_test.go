package main

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hatchproxy/lab/fleet"
)

// resetCount is how many connections are reset in each test.
const resetCount = 500

// descriptorReturnTime is how long a descriptor of a connection that has ended may stay open.
const descriptorReturnTime = time.Second

// countDescriptors returns how many descriptors a process has open.
func countDescriptors(t *testing.T, process *exec.Cmd) int {
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", process.Process.Pid))
	require.NoError(t, err)
	return len(entries)
}

// requireDescriptors waits until a process has no more than so many descriptors open.
func requireDescriptors(t *testing.T, process *exec.Cmd, want int, within time.Duration) {
	t.Helper()
	var open int
	require.Eventually(t, func() bool {
		open = countDescriptors(t, process)
		return open <= want
	}, within, 10*time.Millisecond)
	t.Logf("%d descriptors are open, %d at most are wanted", open, want)
}

// Guards against descriptors that are lost, four or more for each, to clients that reset their connection right after they connect:
// the connection has no remote address any more, on which gnet relies, and its registration was tried again and again.
func TestClientsThatResetAtOnceCostNoDescriptor(t *testing.T) {
	r := newReplaceableProcesses(t)
	process, _ := r.start()
	conn, reader := r.establish(1)
	before := countDescriptors(t, process)
	for range resetCount {
		c, err := net.Dial("tcp", r.address)
		require.NoError(t, err)
		fleet.ResetConn(c)
	}
	for i := range resetCount {
		c, err := net.Dial("tcp", r.address)
		require.NoError(t, err)
		_, _ = fmt.Fprintf(c, "OPEN %x 7f c=chat,d=250\r\n", 1000+i)
		fleet.ResetConn(c)
	}
	requireDescriptors(t, process, before, descriptorReturnTime)
	_, err := conn.Write([]byte("M 1\r\n"))
	require.NoError(t, err)
	line, err := reader.ReadString('\n')
	require.NoError(t, err)
	require.Equal(t, "M 1\r\n", line, "who stood is served on")
	require.NotContains(t, r.logText(), "panic")
}

// The same for connections that are handed to another process while their clients reset them.
func TestClientsThatResetDuringAReplacementCostNoDescriptor(t *testing.T) {
	const clients = 63
	r := newReplaceableProcesses(t)
	process, ended := r.start()
	time.Sleep(100 * time.Millisecond)
	before := countDescriptors(t, process)
	for resets, id := 0, 1; resets < resetCount; resets += clients {
		var conns []net.Conn
		for range clients {
			conn, _ := r.establish(id)
			conns, id = append(conns, conn), id+1
		}
		successor, successorEnded := r.start()
		require.NoError(t, process.Process.Signal(syscall.SIGTERM))
		for _, conn := range conns {
			fleet.ResetConn(conn)
		}
		select {
		case <-ended:
		case <-time.After(3 * time.Second):
			require.Fail(t, "the process that was replaced did not end")
		}
		process, ended = successor, successorEnded
		requireDescriptors(t, process, before, 2*descriptorReturnTime) // a server's connection may stay open for a second more
	}
	require.NotContains(t, r.logText(), "panic")
}

// The same for servers that accept connections, requests' and probes', and reset them at once.
func TestServersThatResetAtOnceCostNoDescriptor(t *testing.T) {
	r := newReplaceableProcesses(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	accepted := make(chan struct{}, 10*resetCount)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			fleet.ResetConn(c)
			accepted <- struct{}{}
		}
	}()
	config := filepath.Join(r.folder, "config.json")
	text, err := os.ReadFile(config)
	require.NoError(t, err)
	require.NoError(t, os.WriteFile(config, []byte(strings.Replace(string(text), `"max-dispatches":3`, `"max-dispatches":3,"probes":true`, 1)), 0o600))
	process, _ := r.start()
	time.Sleep(100 * time.Millisecond)
	before := countDescriptors(t, process)
	r.list.SetServer("s1", l.Addr().String(), "ready")
	for id := 1; len(accepted) < resetCount; id++ {
		require.Less(t, id, 10*resetCount)
		conn, reader := r.dial(fmt.Sprintf("OPEN %x 7f c=chat,d=250\r\n", id))
		_, err := reader.ReadString('\n')
		require.NoError(t, err, "it is answered")
		_ = conn.Close()
	}
	requireDescriptors(t, process, before+1, 2*descriptorReturnTime) // one for a probe under way
	require.NotContains(t, r.logText(), "panic")
}
