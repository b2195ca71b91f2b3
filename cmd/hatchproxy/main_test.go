package main

import (
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hatchproxy/lab/fleet"
)

// configTemplate is a configuration with placeholders for the listen address and the discovery address.
const configTemplate = `{"name":"n0","listen":"%s","discovery":"%s","seed":"7","limits":{"cores":1.0,"memory_mb":64,"sockets":256},
"known":{"rev":900,"all":true,"targets":[]},"settings":{"localities":["a"],"models":["m"],"membership-mode":"subscribe","limits":{"max-dispatches":3},
"products":[{"name":"chat","idempotency":"repeatable","hard-limit-ms":300.0}]}}`

// Guards against a proxy that ends on SIGHUP, applies a broken configuration, or stays with the previous discovery service.
func TestSIGHUPSwitchesTheDiscoveryService(t *testing.T) {
	lists := make([]*fleet.ManualDiscovery, 3)
	for i := range lists {
		var err error
		lists[i], err = fleet.StartManualDiscovery()
		require.NoError(t, err)
	}
	free, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, free.Close())
	path := filepath.Join(t.TempDir(), "config.json")
	replace := func(text string) {
		require.NoError(t, os.WriteFile(path+".new", []byte(text), 0o600))
		require.NoError(t, os.Rename(path+".new", path))
	}
	configFor := func(list *fleet.ManualDiscovery) string {
		return fmt.Sprintf(configTemplate, free.Addr(), list.Address())
	}
	waitForCall := func(list *fleet.ManualDiscovery) {
		calls := list.RequestCount()
		require.Eventually(t, func() bool { return list.RequestCount() > calls }, 4*time.Second, 5*time.Millisecond)
	}
	t.Setenv("ROUTER_DISCOVERY", lists[0].Address())
	replace(configFor(lists[0]))
	ended := make(chan error, 1)
	go func() { ended <- run([]string{"serve", "--config", path, "--log-level", "error"}, io.Discard) }()
	waitForCall(lists[0])
	for _, list := range []*fleet.ManualDiscovery{lists[1], lists[2], lists[0]} {
		replace("{")
		require.NoError(t, syscall.Kill(os.Getpid(), syscall.SIGHUP))
		time.Sleep(100 * time.Millisecond)
		replace(configFor(list))
		require.NoError(t, syscall.Kill(os.Getpid(), syscall.SIGHUP))
		waitForCall(list)
		server, err := fleet.StartScriptedServer(nil)
		require.NoError(t, err)
		list.SetServer("s1", server.Address, "ready")
		require.Eventually(t, func() bool {
			conn, err := net.Dial("tcp", free.Addr().String())
			if err != nil {
				return false
			}
			defer conn.Close()
			_, _ = conn.Write([]byte("OPEN 1 2 c=chat,d=200\r\n"))
			answer := make([]byte, 11)
			_, _ = io.ReadFull(conn, answer)
			return string(answer) == "UP puppet\r\n" && len(server.FirstLines()) > 0
		}, 4*time.Second, 10*time.Millisecond, "the new list is followed from its own versions")
	}
	require.NoError(t, syscall.Kill(os.Getpid(), syscall.SIGTERM))
	require.NoError(t, <-ended)
}
