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

// buildProxy builds the proxy once for all tests that run it as a process of its own.
var buildProxy = sync.OnceValues(func() (string, error) {
	folder, err := os.MkdirTemp("", "hatchproxy-test-")
	if err != nil {
		return "", err
	}
	path := filepath.Join(folder, "hatchproxy")
	if out, err := exec.Command("go", "build", "-o", path, ".").CombinedOutput(); err != nil {
		return "", fmt.Errorf("%w\n%s", err, out)
	}
	return path, nil
})

// faultedProxy is a proxy's process whose system calls can be made to fail.
type faultedProxy struct {
	t          *testing.T
	address    string
	list       *fleet.Hand
	configPath string
	command    *exec.Cmd
	shim       *sysfault.Shim
	ended      chan struct{}
	logPath    string
}

// launchOptions is how a proxy's process is started.
type launchOptions struct {
	serverAnswer string // of the server
	faultGroups  []sysfault.Call
	faults       []sysfault.Fault // that hold from the first system call on
	adminAddress string           // the operators' address; none if empty
	address      string           // the clients'; a free one if empty
	stderr       *os.File         // in place of a file
}

// newFaultedProxy starts a proxy before a server that answers so; faults hold from the first system call on.
func newFaultedProxy(t *testing.T, answer string, groups []sysfault.Call, faults ...sysfault.Fault) *faultedProxy {
	return launchOptions{serverAnswer: answer, faultGroups: groups, faults: faults}.start(t)
}

var hostCounter atomic.Uint32

// freeAddress is one on a host of its own: no outgoing connection, and no other test, can take its port meanwhile.
func freeAddress(t *testing.T) string {
	n := hostCounter.Add(1)
	free, err := net.Listen("tcp", fmt.Sprintf("127.5.%d.%d:0", n/250, n%250+1))
	require.NoError(t, err)
	require.NoError(t, free.Close())
	return free.Addr().String()
}

func (l launchOptions) start(t *testing.T) *faultedProxy {
	path, err := buildProxy()
	require.NoError(t, err)
	list, err := fleet.ByHand()
	require.NoError(t, err)
	server, err := fleet.NewPuppet(func(string) string { return l.serverAnswer })
	require.NoError(t, err)
	list.Set("s1", server.Address, "ready")
	folder := t.TempDir()
	p := &faultedProxy{t: t, address: cmp.Or(l.address, freeAddress(t)), list: list, ended: make(chan struct{}), logPath: filepath.Join(folder, "log"),
		configPath: filepath.Join(folder, "config.json")}
	p.configure(list, l.adminAddress)
	log, err := os.Create(p.logPath)
	require.NoError(t, err)
	defer log.Close()
	p.command = exec.Command(path, "serve", "--config", p.configPath)
	p.command.Stdout, p.command.Stderr = log, log
	if l.stderr != nil {
		p.command.Stderr = l.stderr
	}
	p.shim, err = sysfault.Start(p.command, 46, l.faultGroups...)
	require.NoError(t, err)
	for _, f := range l.faults {
		p.shim.Begin(f)
	}
	go func() {
		_ = p.command.Wait()
		close(p.ended)
	}()
	t.Cleanup(func() {
		_ = p.command.Process.Kill()
		<-p.ended
		<-p.shim.Ended()
		if text, err := os.ReadFile(p.logPath); err == nil && t.Failed() {
			t.Logf("the proxy's log:\n%s", text)
		}
	})
	return p
}

// configure writes the configuration, whole or not at all.
func (p *faultedProxy) configure(list *fleet.Hand, admin string) {
	text := strings.Replace(configTemplate, `"rev":900`, `"rev":0`, 1)
	text = strings.Replace(text, `"hard-limit-ms":300.0`, `"hard-limit-ms":1800.0`, 1)
	if admin != "" {
		text = strings.Replace(text, `"seed"`, fmt.Sprintf(`"admin_addr":%q,"seed"`, admin), 1)
	}
	require.NoError(p.t, os.WriteFile(p.configPath+".new", []byte(fmt.Sprintf(text, p.address, list.Address())), 0o600))
	require.NoError(p.t, os.Rename(p.configPath+".new", p.configPath))
}

// requireRunning fails the test where the process has ended.
func (p *faultedProxy) requireRunning() {
	p.t.Helper()
	select {
	case <-p.ended:
		require.Fail(p.t, "the process has ended", "%s", p.command.ProcessState)
	default:
	}
}

// roundTrip says a line on a new connection and returns the line that comes back.
func (p *faultedProxy) roundTrip(line string, within time.Duration) (string, error) {
	c, err := net.DialTimeout("tcp", p.address, within)
	if err != nil {
		return "", err
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(within))
	if _, err := c.Write([]byte(line + "\r\n")); err != nil {
		return "", err
	}
	return bufio.NewReader(c).ReadString('\n')
}

func (p *faultedProxy) waitReady() {
	p.t.Helper()
	require.Eventually(p.t, func() bool {
		p.requireRunning()
		line, err := p.roundTrip("PING", time.Second)
		return err == nil && line == "PONG\r\n"
	}, 10*time.Second, 10*time.Millisecond)
}

// The incident of 2026-12-02: one accept failed for a moment, the event loop ended, requests in hand were closed without
// an answer, and the process left with exit code 0.
func TestAFailingAcceptEndsNoRequest(t *testing.T) {
	for _, errno := range append(sysfault.Usual[sysfault.Accept], unix.EPROTO, unix.ENETDOWN) {
		t.Run(unix.ErrnoName(errno), func(t *testing.T) {
			t.Parallel()
			p := newFaultedProxy(t, "NONE", []sysfault.Call{sysfault.Accept})
			p.waitReady()
			pending, err := net.Dial("tcp", p.address)
			require.NoError(t, err)
			defer pending.Close()
			asked := time.Now()
			_, err = pending.Write([]byte("OPEN 1 2 c=chat,d=1000\r\n"))
			require.NoError(t, err)
			p.waitReady() // its line has been read by now
			p.shim.Begin(sysfault.Fault{Call: sysfault.Accept, Errors: []syscall.Errno{errno}, Chance: 1, Most: 3})
			for p.shim.Failed()[sysfault.Accept][unix.ErrnoName(errno)] < 3 {
				line, err := p.roundTrip("PING", 2*time.Second)
				p.requireRunning()
				require.NoError(t, err)
				require.Equal(t, "PONG\r\n", line, "who came in that moment is served")
			}
			require.NoError(t, pending.SetReadDeadline(asked.Add(1100*time.Millisecond)))
			line, err := bufio.NewReader(pending).ReadString('\n')
			require.NoError(t, err)
			require.Contains(t, []string{"BUSY\r\n", "ERR\r\n"}, line, "what was in hand gets its one answer")
		})
	}
}

// A process that cannot get or accept on a socket for a moment at its start serves a moment later. The language's runtime
// itself ends where its own poller cannot be had, so that is not tried.
func TestAStartOutlastsCallsThatFailForAMoment(t *testing.T) {
	for group, most := range map[sysfault.Call]int{sysfault.Socket: 6, sysfault.Accept: 6} {
		t.Run(string(group), func(t *testing.T) {
			t.Parallel()
			p := newFaultedProxy(t, "UP a", []sysfault.Call{group}, sysfault.Fault{Call: group, Chance: 1, Most: most})
			p.waitReady()
			require.Eventually(t, func() bool {
				line, err := p.roundTrip("OPEN 1 2 c=chat,d=1000", 2*time.Second)
				return err == nil && line == "UP a\r\n"
			}, 8*time.Second, 20*time.Millisecond)
		})
	}
}

// Whichever registration with a poller, or opened file, fails at the start: the process serves. The first ones are the
// system's loader's and the runtime's own, without which no program starts.
func TestAStartOutlastsAnyCallThatFails(t *testing.T) {
	for group, first := range map[sysfault.Call]int{sysfault.Control: 1, sysfault.Open: 2} {
		for skip := first; skip <= 24; skip++ {
			t.Run(fmt.Sprint(group, " number ", skip+1), func(t *testing.T) {
				t.Parallel()
				p := newFaultedProxy(t, "UP a", []sysfault.Call{group}, sysfault.Fault{Call: group, Chance: 1, Skip: skip, Most: 1})
				p.waitReady()
				line, err := p.roundTrip("OPEN 1 2 c=chat,d=1000", 2*time.Second)
				require.NoError(t, err)
				require.Equal(t, "UP a\r\n", line)
			})
		}
	}
}

// A process that is told to end while its address is still taken ends in good order.
func TestAStartThatIsCalledOffEndsInGoodOrder(t *testing.T) {
	taken, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer taken.Close()
	p := launchOptions{serverAnswer: "UP a", faultGroups: []sysfault.Call{sysfault.Accept}, address: taken.Addr().String()}.start(t)
	require.Eventually(t, func() bool {
		text, err := os.ReadFile(p.logPath)
		return err == nil && strings.Contains(string(text), "cannot listen on the address, retrying")
	}, 3*time.Second, 5*time.Millisecond)
	require.NoError(t, p.command.Process.Signal(syscall.SIGTERM))
	select {
	case <-p.ended:
		require.True(t, p.command.ProcessState.Success(), "%s", p.command.ProcessState)
	case <-time.After(2 * time.Second):
		require.Fail(t, "it never ended")
	}
}

// A socket that this machine cannot have for a moment says nothing of the server that it was for.
func TestADialThatFailsForWantOfResourcesIsTriedAgainInTime(t *testing.T) {
	for group, errnos := range map[sysfault.Call][]syscall.Errno{
		sysfault.Socket:  sysfault.Usual[sysfault.Socket],
		sysfault.Connect: {unix.EADDRNOTAVAIL},
		sysfault.Copy:    sysfault.Usual[sysfault.Copy],
		sysfault.Control: sysfault.Usual[sysfault.Control],
	} {
		t.Run(string(group), func(t *testing.T) {
			t.Parallel()
			p := newFaultedProxy(t, "UP a", []sysfault.Call{group})
			p.waitReady()
			for n := 1; n <= 4; n++ {
				// More often than the three attempts that a request has.
				p.shim.Begin(sysfault.Fault{Call: group, Errors: errnos, Chance: 1, Most: 4})
				line, err := p.roundTrip(fmt.Sprintf("OPEN %d 2 c=chat,d=1500", n), 2*time.Second)
				require.NoError(t, err)
				require.Equal(t, "UP a\r\n", line)
			}
		})
	}
}

// A configuration that cannot be read for a moment, at the start or at SIGHUP, is read a moment later: what the new service
// tells counts soon after the signal, whether or not the file could be read.
func TestAConfigurationThatCannotBeReadForAMomentIsReadAMomentLater(t *testing.T) {
	for _, errno := range sysfault.Usual[sysfault.Open] {
		t.Run(unix.ErrnoName(errno), func(t *testing.T) {
			t.Parallel()
			p := newFaultedProxy(t, "UP a", []sysfault.Call{sysfault.Open})
			p.waitReady()
			next, err := fleet.ByHand()
			require.NoError(t, err)
			p.configure(next, "")
			p.shim.Begin(sysfault.Fault{Call: sysfault.Open, Errors: []syscall.Errno{errno}, Chance: 1, Most: 3})
			require.NoError(t, p.command.Process.Signal(syscall.SIGHUP))
			require.Eventually(t, func() bool { return next.Calls() > 0 }, 3*time.Second, 10*time.Millisecond, "the new service is asked")
			require.Equal(t, 3, p.shim.Failed()[sysfault.Open][unix.ErrnoName(errno)])
		})
	}
}

// Whoever reads the log may go, or stop reading: that is no reason to end, or to wait.
func TestALogThatNobodyReadsHoldsNothingUp(t *testing.T) {
	for _, gone := range []bool{true, false} {
		t.Run(fmt.Sprint("gone ", gone), func(t *testing.T) {
			t.Parallel()
			reader, writer, err := os.Pipe()
			require.NoError(t, err)
			defer reader.Close()
			defer writer.Close()
			_, err = unix.FcntlInt(writer.Fd(), unix.F_SETPIPE_SZ, 4096)
			require.NoError(t, err)
			if gone {
				require.NoError(t, reader.Close())
			}
			p := launchOptions{serverAnswer: "UP a", faultGroups: []sysfault.Call{sysfault.Accept}, stderr: writer}.start(t)
			p.waitReady()
			for range 60 { // each is a line of the log
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
				require.Fail(t, "it never ended")
			}
		})
	}
}

// The operators' address is still there after its accepts have failed for a moment.
func TestTheAdminAddressOutlastsFailingAccepts(t *testing.T) {
	admin := freeAddress(t)
	p := launchOptions{serverAnswer: "UP a", faultGroups: []sysfault.Call{sysfault.Accept}, adminAddress: admin}.start(t)
	p.waitReady()
	client := http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for _, errno := range sysfault.Usual[sysfault.Accept] {
		end := p.shim.Begin(sysfault.Fault{Call: sysfault.Accept, Errors: []syscall.Errno{errno}, Chance: 1})
		time.AfterFunc(50*time.Millisecond, end)
		response, err := client.Get("http://" + admin + "/api/telemetry")
		require.NoError(t, err, unix.ErrnoName(errno))
		require.NoError(t, response.Body.Close())
	}
}
