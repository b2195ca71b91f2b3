package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
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

// replaceableProcesses starts proxy processes that take each other's place: they share a listening socket, a folder and a
// configuration, and each may open descriptorLimit descriptors.
type replaceableProcesses struct {
	*testing.T
	address string // for clients
	program string
	folder  string
	socket  *os.File
	list    *fleet.ManualDiscovery
}

// descriptorLimit is how many descriptors each process may open; its configuration says the same.
const descriptorLimit = 256

// newReplaceableProcesses prepares processes with one server, which echoes lines.
func newReplaceableProcesses(t *testing.T) *replaceableProcesses {
	program, err := buildProxy()
	require.NoError(t, err)
	list, err := fleet.StartManualDiscovery()
	require.NoError(t, err)
	server, err := fleet.StartScriptedServer(nil)
	require.NoError(t, err)
	list.SetServer("s1", server.Address, "ready")
	listener, err := net.Listen("tcp", freeAddress(t))
	require.NoError(t, err)
	socket, err := listener.(*net.TCPListener).File()
	require.NoError(t, err)
	address := listener.Addr().String()
	require.NoError(t, listener.Close()) // the processes get the duplicate
	folder, err := os.MkdirTemp("", "hr")
	require.NoError(t, err)
	t.Cleanup(func() {
		_ = socket.Close()
		_ = os.RemoveAll(folder)
	})
	config := fmt.Sprintf(strings.Replace(configTemplate, `"rev":900`, `"rev":0`, 1), address, list.Address())
	require.NoError(t, os.WriteFile(filepath.Join(folder, "config.json"), []byte(config), 0o600))
	return &replaceableProcesses{t, address, program, folder, socket, list}
}

// logText returns what the processes have logged.
func (r *replaceableProcesses) logText() string {
	text, err := os.ReadFile(filepath.Join(r.folder, "log"))
	require.NoError(r, err)
	return string(text)
}

// start starts a process, waits until it serves, and returns it with a channel that is closed at its end.
func (r *replaceableProcesses) start() (*exec.Cmd, <-chan struct{}) {
	admin := freeAddress(r.T)
	log, err := os.OpenFile(filepath.Join(r.folder, "log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	require.NoError(r, err)
	defer log.Close()
	process := exec.Command("/bin/sh", "-c", fmt.Sprintf(`ulimit -n %d; exec "$0" serve --config "$1"`, descriptorLimit), r.program, filepath.Join(r.folder, "config.json"))
	process.Stdout, process.Stderr, process.ExtraFiles = log, log, []*os.File{r.socket}
	process.Env = append(os.Environ(), "TMPDIR="+r.folder, "ROUTER_SOCKET_FD=3", "ROUTER_ADMIN_ADDR="+admin)
	require.NoError(r, process.Start())
	ended := make(chan struct{})
	go func() {
		_ = process.Wait()
		close(ended)
	}()
	r.Cleanup(func() {
		_ = process.Process.Kill()
		<-ended
		if text, err := os.ReadFile(filepath.Join(r.folder, "log")); err == nil && r.Failed() {
			r.Logf("the processes' log:\n%s", text)
		}
	})
	caller := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	require.Eventually(r, func() bool {
		answer, err := caller.Get("http://" + admin + "/api/ready")
		if err != nil {
			return false
		}
		_ = answer.Body.Close()
		return answer.StatusCode == http.StatusOK
	}, 6*time.Second, 20*time.Millisecond)
	return process, ended
}

// dial connects to the processes' address and sends a text.
func (r *replaceableProcesses) dial(text string) (net.Conn, *bufio.Reader) {
	conn, err := net.Dial("tcp", r.address)
	require.NoError(r, err)
	r.Cleanup(func() { _ = conn.Close() })
	_, err = conn.Write([]byte(text))
	require.NoError(r, err)
	require.NoError(r, conn.SetReadDeadline(time.Now().Add(9*time.Second)))
	return conn, bufio.NewReader(conn)
}

// establish connects a client and waits until it is established; id is that of its first attempt. It tries again where it is
// refused, as it may be while the server is new.
func (r *replaceableProcesses) establish(id int) (conn net.Conn, reader *bufio.Reader) {
	require.Eventually(r, func() bool {
		conn, reader = r.dial(fmt.Sprintf("OPEN %x 7f c=chat,d=250\r\n", id))
		id += 1 << 16
		line, err := reader.ReadString('\n')
		require.NoError(r, err)
		return line == "UP puppet\r\n"
	}, 10*time.Second, 20*time.Millisecond)
	return conn, reader
}

// Guards against established connections that are lost at a replacement of the process because idle clients hold its successor's
// descriptors: the kernel dropped descriptors on the way, and with them all connections that were behind.
func TestReplacementAmidIdleClientsLosesNoConnection(t *testing.T) {
	r := newReplaceableProcesses(t)
	first, firstEnded := r.start()
	type client struct {
		net.Conn
		reader *bufio.Reader
	}
	var clients []client
	for i := range 40 {
		conn, reader := r.establish(i + 1)
		clients = append(clients, client{conn, reader})
	}
	r.start()
	for range descriptorLimit {
		r.dial("")
	}
	require.NoError(t, first.Process.Signal(syscall.SIGTERM))
	select {
	case <-firstEnded:
	case <-time.After(3 * time.Second):
		require.Fail(t, "the process that was replaced did not end")
	}
	lost := 0
	for _, c := range clients {
		_, _ = c.Write([]byte("M 1\r\n")) // a failure shows in the answer
		if line, _ := c.reader.ReadString('\n'); line != "M 1\r\n" && line != "MOVE\r\n" {
			lost++
		}
	}
	require.Zero(t, lost, "of %d established connections", len(clients))
}
