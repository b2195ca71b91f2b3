package main

import (
	"bufio"
	"cmp"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	"hatchproxy/lab/fleet"
	"hatchproxy/lab/sysfault"
)

// buildProxy builds the program once for all tests that run it as a separate process, and returns its path.
var buildProxy = sync.OnceValues(func() (string, error) {
	dir, err := os.MkdirTemp("", "hatchproxy-test-")
	if err != nil {
		return "", err
	}
	path := filepath.Join(dir, "hatchproxy")
	if out, err := exec.Command("go", "build", "-o", path, ".").CombinedOutput(); err != nil {
		return "", fmt.Errorf("%w\n%s", err, out)
	}
	return path, nil
})

// faultedProxy is a proxy process whose system calls can be made to fail.
type faultedProxy struct {
	t          *testing.T
	address    string
	list       *fleet.ManualDiscovery
	configPath string
	command    *exec.Cmd
	shim       *sysfault.Shim
	ended      chan struct{}
	logPath    string
}

// launchOptions are the options with which a proxy process is started.
type launchOptions struct {
	serverAnswer string // the server's answer to each request
	faultGroups  []sysfault.CallGroup
	faults       []sysfault.Fault // in effect from the first system call on
	adminAddress string           // none if empty
	address      string           // for clients; a free one if empty
	stderr       *os.File         // replaces the log file
}

// newFaultedProxy starts a proxy with one server, which answers with serverAnswer. The faults apply from the first system
// call on.
func newFaultedProxy(t *testing.T, answer string, groups []sysfault.CallGroup, faults ...sysfault.Fault) *faultedProxy {
	return launchOptions{serverAnswer: answer, faultGroups: groups, faults: faults}.start(t)
}

var hostCounter atomic.Uint32

// freeAddress returns a free address on a loopback host that nothing else uses, so that neither an outgoing connection nor
// another test can take its port in the meantime.
func freeAddress(t *testing.T) string {
	n := hostCounter.Add(1)
	free, err := net.Listen("tcp", fmt.Sprintf("127.5.%d.%d:0", n/250, n%250+1))
	require.NoError(t, err)
	require.NoError(t, free.Close())
	return free.Addr().String()
}

// start starts the process. It is killed at the end of the test.
func (l launchOptions) start(t *testing.T) *faultedProxy {
	path, err := buildProxy()
	require.NoError(t, err)
	list, err := fleet.StartManualDiscovery()
	require.NoError(t, err)
	server, err := fleet.StartScriptedServer(func(string) string { return l.serverAnswer })
	require.NoError(t, err)
	list.SetServer("s1", server.Address, "ready")
	dir := t.TempDir()
	p := &faultedProxy{t: t, address: cmp.Or(l.address, freeAddress(t)), list: list, ended: make(chan struct{}), logPath: filepath.Join(dir, "log"),
		configPath: filepath.Join(dir, "config.json")}
	p.configure(list, l.adminAddress)
	logFile, err := os.Create(p.logPath)
	require.NoError(t, err)
	defer logFile.Close()
	p.command = exec.Command(path, "serve", "--config", p.configPath)
	p.command.Stdout, p.command.Stderr = logFile, logFile
	if l.stderr != nil {
		p.command.Stderr = l.stderr
	}
	p.shim, err = sysfault.Start(p.command, 46, l.faultGroups...)
	require.NoError(t, err)
	for _, fault := range l.faults {
		p.shim.Begin(fault)
	}
	go func() {
		_ = p.command.Wait()
		close(p.ended)
	}()
	t.Cleanup(func() {
		_ = p.command.Process.Kill()
		<-p.ended
		<-p.shim.Done()
		if text, err := os.ReadFile(p.logPath); err == nil && t.Failed() {
			t.Logf("log of the proxy:\n%s", text)
		}
	})
	return p
}

// configure replaces the configuration file atomically.
func (p *faultedProxy) configure(list *fleet.ManualDiscovery, adminAddress string) {
	text := strings.Replace(configTemplate, `"rev":900`, `"rev":0`, 1)
	text = strings.Replace(text, `"hard-limit-ms":300.0`, `"hard-limit-ms":1800.0`, 1)
	if adminAddress != "" {
		text = strings.Replace(text, `"seed"`, fmt.Sprintf(`"admin_addr":%q,"seed"`, adminAddress), 1)
	}
	require.NoError(p.t, os.WriteFile(p.configPath+".new", []byte(fmt.Sprintf(text, p.address, list.Address())), 0o600))
	require.NoError(p.t, os.Rename(p.configPath+".new", p.configPath))
}

// requireRunning fails the test if the process has ended.
func (p *faultedProxy) requireRunning() {
	p.t.Helper()
	select {
	case <-p.ended:
		require.Fail(p.t, "the process has ended", "%s", p.command.ProcessState)
	default:
	}
}

// roundTrip sends a line on a new connection and returns the answer.
func (p *faultedProxy) roundTrip(line string, within time.Duration) (string, error) {
	conn, err := net.DialTimeout("tcp", p.address, within)
	if err != nil {
		return "", err
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(within))
	if _, err := conn.Write([]byte(line + "\r\n")); err != nil {
		return "", err
	}
	return bufio.NewReader(conn).ReadString('\n')
}

// waitReady waits until the proxy answers a PING.
func (p *faultedProxy) waitReady() {
	p.t.Helper()
	require.Eventually(p.t, func() bool {
		p.requireRunning()
		line, err := p.roundTrip("PING", time.Second)
		return err == nil && line == "PONG\r\n"
	}, 10*time.Second, 10*time.Millisecond)
}

// Guards against the incident of 2026-12-02: a transient failure of accept ended the event loop, pending requests were closed
// without an answer, and the process exited with code 0.
func TestFailedAcceptsEndNoRequest(t *testing.T) {
	for _, errno := range append(sysfault.TransientErrors[sysfault.Accept], unix.EPROTO, unix.ENETDOWN) {
		t.Run(unix.ErrnoName(errno), func(t *testing.T) {
			t.Parallel()
			p := newFaultedProxy(t, "NONE", []sysfault.CallGroup{sysfault.Accept})
			p.waitReady()
			pending, err := net.Dial("tcp", p.address)
			require.NoError(t, err)
			defer pending.Close()
			asked := time.Now()
			_, err = pending.Write([]byte("OPEN 1 2 c=chat,d=1000\r\n"))
			require.NoError(t, err)
			p.waitReady() // the proxy has read the request by now
			p.shim.Begin(sysfault.Fault{Group: sysfault.Accept, Errors: []syscall.Errno{errno}, Probability: 1, MaxFailures: 3})
			for p.shim.Failures()[sysfault.Accept][unix.ErrnoName(errno)] < 3 {
				line, err := p.roundTrip("PING", 2*time.Second)
				p.requireRunning()
				require.NoError(t, err)
				require.Equal(t, "PONG\r\n", line, "a client that connects meanwhile is served")
			}
			require.NoError(t, pending.SetReadDeadline(asked.Add(1100*time.Millisecond)))
			line, err := bufio.NewReader(pending).ReadString('\n')
			require.NoError(t, err)
			require.Contains(t, []string{"BUSY\r\n", "ERR\r\n"}, line, "the pending request gets one answer")
		})
	}
}

// Transient failures to create a socket or to accept at the start must only delay the proxy. Failures to create the poller
// are not tested, because the Go runtime itself exits then.
func TestStartRetriesSocketAndAccept(t *testing.T) {
	for group, failures := range map[sysfault.CallGroup]int{sysfault.Socket: 6, sysfault.Accept: 6} {
		t.Run(string(group), func(t *testing.T) {
			t.Parallel()
			p := newFaultedProxy(t, "UP a", []sysfault.CallGroup{group}, sysfault.Fault{Group: group, Probability: 1, MaxFailures: failures})
			p.waitReady()
			require.Eventually(t, func() bool {
				line, err := p.roundTrip("OPEN 1 2 c=chat,d=1000", 2*time.Second)
				return err == nil && line == "UP a\r\n"
			}, 8*time.Second, 20*time.Millisecond)
		})
	}
}

// A single failure at the start, of any registration with a poller or of any opened file, must not keep the proxy from
// serving. The first calls are skipped: they belong to the dynamic loader and the Go runtime, which cannot do without them.
func TestStartSurvivesAnySingleFailure(t *testing.T) {
	for group, first := range map[sysfault.CallGroup]int{sysfault.Control: 1, sysfault.Open: 2} {
		for skip := first; skip <= 24; skip++ {
			t.Run(fmt.Sprint(group, " number ", skip+1), func(t *testing.T) {
				t.Parallel()
				p := newFaultedProxy(t, "UP a", []sysfault.CallGroup{group}, sysfault.Fault{Group: group, Probability: 1, Skip: skip, MaxFailures: 1})
				p.waitReady()
				line, err := p.roundTrip("OPEN 1 2 c=chat,d=1000", 2*time.Second)
				require.NoError(t, err)
				require.Equal(t, "UP a\r\n", line)
			})
		}
	}
}

// A process that gets SIGTERM while it still waits for its address must exit with code 0.
func TestSIGTERMDuringStart(t *testing.T) {
	taken, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer taken.Close()
	p := launchOptions{serverAnswer: "UP a", faultGroups: []sysfault.CallGroup{sysfault.Accept}, address: taken.Addr().String()}.start(t)
	require.Eventually(t, func() bool {
		text, err := os.ReadFile(p.logPath)
		return err == nil && strings.Contains(string(text), "cannot listen on the address, retrying")
	}, 3*time.Second, 5*time.Millisecond)
	require.NoError(t, p.command.Process.Signal(syscall.SIGTERM))
	select {
	case <-p.ended:
		require.True(t, p.command.ProcessState.Success(), "%s", p.command.ProcessState)
	case <-time.After(2 * time.Second):
		require.Fail(t, "the process did not end")
	}
}

// A connection attempt that fails because this machine is short of a resource must not count against the server.
func TestDialIsRetriedOnResourceShortage(t *testing.T) {
	for group, errnos := range map[sysfault.CallGroup][]syscall.Errno{
		sysfault.Socket:    sysfault.TransientErrors[sysfault.Socket],
		sysfault.Connect:   {unix.EADDRNOTAVAIL},
		sysfault.Duplicate: sysfault.TransientErrors[sysfault.Duplicate],
		sysfault.Control:   sysfault.TransientErrors[sysfault.Control],
	} {
		t.Run(string(group), func(t *testing.T) {
			t.Parallel()
			p := newFaultedProxy(t, "UP a", []sysfault.CallGroup{group})
			p.waitReady()
			for n := 1; n <= 4; n++ {
				// more failures than a request has attempts, which are three
				p.shim.Begin(sysfault.Fault{Group: group, Errors: errnos, Probability: 1, MaxFailures: 4})
				line, err := p.roundTrip(fmt.Sprintf("OPEN %d 2 c=chat,d=1500", n), 2*time.Second)
				require.NoError(t, err)
				require.Equal(t, "UP a\r\n", line)
			}
		})
	}
}

// Reading the configuration must be retried after transient failures: the list of a new discovery service counts as delivered
// soon after SIGHUP, whether or not the file could be read.
func TestReadingTheConfigurationIsRetried(t *testing.T) {
	for _, errno := range sysfault.TransientErrors[sysfault.Open] {
		t.Run(unix.ErrnoName(errno), func(t *testing.T) {
			t.Parallel()
			p := newFaultedProxy(t, "UP a", []sysfault.CallGroup{sysfault.Open})
			p.waitReady()
			next, err := fleet.StartManualDiscovery()
			require.NoError(t, err)
			p.configure(next, "")
			p.shim.Begin(sysfault.Fault{Group: sysfault.Open, Errors: []syscall.Errno{errno}, Probability: 1, MaxFailures: 3})
			require.NoError(t, p.command.Process.Signal(syscall.SIGHUP))
			require.Eventually(t, func() bool { return next.RequestCount() > 0 }, 3*time.Second, 10*time.Millisecond, "the new service is called")
			require.Equal(t, 3, p.shim.Failures()[sysfault.Open][unix.ErrnoName(errno)])
		})
	}
}

// A reader of the log that closes the pipe, or stops reading, must neither end nor block the proxy.
func TestAStuckOrClosedLogDoesNotBlock(t *testing.T) {
	for _, closed := range []bool{true, false} {
		t.Run(fmt.Sprint("closed ", closed), func(t *testing.T) {
			t.Parallel()
			reader, writer, err := os.Pipe()
			require.NoError(t, err)
			defer reader.Close()
			defer writer.Close()
			_, err = unix.FcntlInt(writer.Fd(), unix.F_SETPIPE_SZ, 4096)
			require.NoError(t, err)
			if closed {
				require.NoError(t, reader.Close())
			}
			p := launchOptions{serverAnswer: "UP a", faultGroups: []sysfault.CallGroup{sysfault.Accept}, stderr: writer}.start(t)
			p.waitReady()
			for range 60 { // each is logged
				require.NoError(t, p.command.Process.Signal(syscall.SIGHUP))
				line, err := p.roundTrip("PING", time.Second)
				p.requireRunning()
				require.NoError(t, err)
				require.Equal(t, "PONG\r\n", line)
			}
			require.NoError(t, p.command.Process.Signal(syscall.SIGTERM))
			select {
			case <-p.ended:
				require.True(t, p.command.ProcessState.Success(), "%s", p.command.ProcessState)
			case <-time.After(5 * time.Second):
				require.Fail(t, "the process did not end")
			}
		})
	}
}

// The admin API must remain available after transient failures of accept.
func TestAdminSurvivesFailedAccepts(t *testing.T) {
	address := freeAddress(t)
	p := launchOptions{serverAnswer: "UP a", faultGroups: []sysfault.CallGroup{sysfault.Accept}, adminAddress: address}.start(t)
	p.waitReady()
	client := http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for _, errno := range sysfault.TransientErrors[sysfault.Accept] {
		end := p.shim.Begin(sysfault.Fault{Group: sysfault.Accept, Errors: []syscall.Errno{errno}, Probability: 1})
		time.AfterFunc(50*time.Millisecond, end)
		response, err := client.Get("http://" + address + "/api/telemetry")
		require.NoError(t, err, unix.ErrnoName(errno))
		require.NoError(t, response.Body.Close())
	}
}
