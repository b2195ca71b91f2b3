package main

import (
	"fmt"
	"io"
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

// The list's service was down, the process might open fewer descriptors than its configuration says, and idle clients took
// them all: the loop ended with the first connection that found none.
func TestIdleClientsLeaveDescriptorsUnderTheProcessesRealLimit(t *testing.T) {
	folder := t.TempDir()
	program := filepath.Join(folder, "hatchproxy")
	out, err := exec.Command("go", "build", "-o", program, ".").CombinedOutput()
	require.NoError(t, err, string(out))
	list, err := fleet.ByHand()
	require.NoError(t, err)
	list.Break("down")
	free, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, free.Close())
	at := free.Addr().String()
	file, none := filepath.Join(folder, "config.json"), strings.Replace(configTemplate, `"rev":900`, `"rev":0`, 1)
	require.NoError(t, os.WriteFile(file, []byte(fmt.Sprintf(none, at, list.Address())), 0o600))

	proxy := exec.Command("/bin/sh", "-c", `ulimit -n 96; exec "$0" serve --config "$1" --log-level error`, program, file)
	require.NoError(t, proxy.Start())
	t.Cleanup(func() { _ = proxy.Process.Kill() })
	ended := make(chan error, 1)
	go func() { ended <- proxy.Wait() }()
	running := func() bool {
		select {
		case err := <-ended:
			ended <- err
			return false
		default:
			return true
		}
	}
	dial := func() net.Conn {
		var c net.Conn
		require.Eventually(t, func() bool {
			c, err = net.Dial("tcp", at)
			return err == nil || !running()
		}, 5*time.Second, 5*time.Millisecond)
		require.True(t, running(), "it serves on")
		require.NoError(t, err)
		return c
	}
	for range 200 {
		c := dial()
		defer c.Close()
	}
	server, err := fleet.NewPuppet(nil)
	require.NoError(t, err)
	list.Set("s1", server.Address, "ready")
	list.Break("")
	require.Eventually(t, func() bool {
		c := dial()
		defer c.Close()
		_ = c.SetDeadline(time.Now().Add(time.Second))
		_, _ = c.Write([]byte("OPEN 1 2 c=chat,d=200\r\n"))
		word := make([]byte, 11)
		_, _ = io.ReadFull(c, word)
		return string(word) == "UP puppet\r\n"
	}, 6*time.Second, 20*time.Millisecond, "a call for the list finds a descriptor")
	require.NoError(t, proxy.Process.Signal(syscall.SIGTERM))
	require.NoError(t, <-ended)
}
