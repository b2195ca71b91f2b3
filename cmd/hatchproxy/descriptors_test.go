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

// Guards against idle clients that take all descriptors when the process may open fewer than its configuration says. While
// the discovery service was down, the event loop ended at the first connection for which no descriptor was left.
func TestIdleClientsLeaveDescriptorsFree(t *testing.T) {
	dir := t.TempDir()
	program := filepath.Join(dir, "hatchproxy")
	out, err := exec.Command("go", "build", "-o", program, ".").CombinedOutput()
	require.NoError(t, err, string(out))
	list, err := fleet.StartManualDiscovery()
	require.NoError(t, err)
	list.SetFailure("down")
	free, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, free.Close())
	address := free.Addr().String()
	file, emptyListConfig := filepath.Join(dir, "config.json"), strings.Replace(configTemplate, `"rev":900`, `"rev":0`, 1)
	require.NoError(t, os.WriteFile(file, []byte(fmt.Sprintf(emptyListConfig, address, list.Address())), 0o600))

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
		var conn net.Conn
		require.Eventually(t, func() bool {
			conn, err = net.Dial("tcp", address)
			return err == nil || !running()
		}, 5*time.Second, 5*time.Millisecond)
		require.True(t, running(), "the process is still running")
		require.NoError(t, err)
		return conn
	}
	for range 200 {
		conn := dial()
		defer conn.Close()
	}
	server, err := fleet.StartScriptedServer(nil)
	require.NoError(t, err)
	list.SetServer("s1", server.Address, "ready")
	list.SetFailure("")
	require.Eventually(t, func() bool {
		conn := dial()
		defer conn.Close()
		_ = conn.SetDeadline(time.Now().Add(time.Second))
		_, _ = conn.Write([]byte("OPEN 1 2 c=chat,d=200\r\n"))
		answer := make([]byte, 11)
		_, _ = io.ReadFull(conn, answer)
		return string(answer) == "UP puppet\r\n"
	}, 6*time.Second, 20*time.Millisecond, "a descriptor is left for the call to the discovery service")
	require.NoError(t, proxy.Process.Signal(syscall.SIGTERM))
	require.NoError(t, <-ended)
}
