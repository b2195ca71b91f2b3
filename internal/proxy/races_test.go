package proxy_test

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hatchproxy/internal/proxy"
	"hatchproxy/lab/fleet"
)

// startWithBlockedServer starts a proxy with a server to whose connections nothing can be written: the kernel's buffers
// have been filled with probes before the proxy gets them, so what the proxy writes stays in its own buffer. The server
// reads only when the test does.
func startWithBlockedServer(t *testing.T) (*harness, <-chan net.Conn) {
	config := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
		return c.Control(func(fd uintptr) { _ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4096) })
	}}
	l, err := config.Listen(context.Background(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	conns := make(chan net.Conn, 10)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			conns <- c
		}
	}()
	s, _ := startProxyWithConfig(t, configWithoutProbes, 1024, func(p *proxy.Proxy) {
		p.EnableMetrics()
		p.InterceptDials(func(c net.Conn, err error) (net.Conn, error) {
			if err != nil {
				return c, err
			}
			_ = c.(*net.TCPConn).SetWriteBuffer(4096) // fixes the size, which the kernel would otherwise adjust
			raw, err := c.(*net.TCPConn).SyscallConn()
			if err != nil {
				return nil, err
			}
			// The last bytes are written one by one, since a socket that refuses a large write may accept a small one.
			// It counts as full when it has accepted nothing in several rounds, between which data under way on
			// loopback is delivered.
			for refused := 0; refused < 5; {
				refused++
				_ = raw.Control(func(fd uintptr) {
					for _, part := range []string{strings.Repeat("PING\r\n", 512), "P"} {
						for {
							if n, err := syscall.Write(int(fd), []byte(part)); n <= 0 || err != nil {
								break
							}
							refused = 0
						}
					}
				})
				time.Sleep(5 * time.Millisecond)
			}
			return c, nil
		})
	})
	s.list.SetServer("s0", l.Addr().String(), "ready")
	return s, conns
}

// holdDials makes the results of a proxy's dials wait until the test closes release. Each dial that has completed is
// signalled on dialled.
func holdDials() (configure func(*proxy.Proxy), dialled chan struct{}, release chan struct{}) {
	dialled, release = make(chan struct{}, 100), make(chan struct{})
	return func(p *proxy.Proxy) {
		p.InterceptDials(func(c net.Conn, err error) (net.Conn, error) {
			dialled <- struct{}{}
			<-release
			return c, err
		})
	}, dialled, release
}

// openUnsent opens a request whose line stays in the proxy's buffer. On a busy machine the kernel may find room for the
// line after all, when data on loopback is delivered late; then another request is tried.
func (s *harness) openUnsent(conns <-chan net.Conn, params string) (*testClient, net.Conn) {
	s.Helper()
	for sends := 1; sends <= 20; sends++ {
		c := s.openRequest(params)
		server := <-conns
		s.waitForMetrics(fmt.Sprint("sends ", sends))
		waits := true
		for range 10 {
			waits = waits && s.proxy.CountUnsentAttempts() == 1
			time.Sleep(5 * time.Millisecond) // the line must stay unsent for some time, not just for a moment
		}
		if waits {
			return c, server
		}
		require.NoError(s, c.Close())
		s.waitForMetrics("current 0")
		require.NoError(s, server.Close())
	}
	require.Fail(s, "the kernel accepted every line")
	return nil, nil
}

// readUntilQuiet reads what arrives at a server until nothing has come for 400 ms or the connection has ended.
func readUntilQuiet(t *testing.T, c net.Conn) string {
	var b strings.Builder
	part := make([]byte, 64<<10)
	for {
		require.NoError(t, c.SetReadDeadline(time.Now().Add(400*time.Millisecond)))
		n, err := c.Read(part)
		b.Write(part[:n])
		if err != nil {
			return b.String()
		}
	}
}

// Guards against a request that runs after its client has left: its line was still in the proxy's buffer when the
// client left, and was sent as soon as there was room.
func TestAnUnsentLineIsNotSentOnceItsClientHasLeft(t *testing.T) {
	s, conns := startWithBlockedServer(t)
	c, server := s.openUnsent(conns, "c=pay,d=1500")
	defer server.Close()
	require.NoError(t, c.Close())
	s.waitForMetrics("current 0")
	require.False(t, strings.Contains(readUntilQuiet(t, server), "OPEN"), "the request line at the server")
}

// A one-shot request whose line was sent late, after the buffer had been full, may have run when its server breaks the
// connection: it must fail and not be repeated.
func TestARequestWhoseLineWasSentLateMayHaveRun(t *testing.T) {
	s, conns := startWithBlockedServer(t)
	c := s.openRequest("c=pay,d=1500")
	server := <-conns
	s.waitForMetrics("sends 1")
	require.True(t, strings.Contains(readUntilQuiet(t, server), "OPEN"), "the request line at the server")
	fleet.ResetConn(server)
	c.expectLine("ERR")
	select {
	case <-conns:
		require.Fail(t, "the request was sent again")
	case <-time.After(100 * time.Millisecond):
	}
}

// A request whose line was never sent completely has not run: it is pushed back, and the rest of the line is not sent.
func TestARequestWhoseLineWasNeverSentIsPushedBack(t *testing.T) {
	s, conns := startWithBlockedServer(t)
	c, server := s.openUnsent(conns, "c=pay,d=800")
	defer server.Close()
	c.expectLine("BUSY")
	require.False(t, strings.Contains(readUntilQuiet(t, server), "OPEN"), "the request line at the server")
}

// waitUntilClientGone waits until the proxy has noticed that a client left, so that its ID may be used again.
func (s *harness) waitUntilClientGone(id string) {
	s.Helper()
	require.Eventually(s, func() bool {
		again := s.dial("OPEN " + id + " 7 c=chat,d=5\r\n")
		defer again.Close()
		line, err := again.reader.ReadString('\n')
		return err == nil && line != "ERR this id is open\r\n"
	}, 5*time.Second, 10*time.Millisecond)
}

// Whatever a request waits for, nothing is sent for it once its client has left.
func TestNothingIsSentForAClientThatHasLeft(t *testing.T) {
	t.Run("waiting for a server on the list", func(t *testing.T) {
		s, _ := startProxyWithConfig(t, configWithoutProbes, 1024, func(*proxy.Proxy) {})
		require.NoError(t, s.dial("OPEN 99 7 c=pay,d=1500\r\n").Close())
		s.waitUntilClientGone("99")
		server, err := fleet.StartScriptedServer(nil)
		require.NoError(t, err)
		s.list.SetServer("s0", server.Address, "ready")
		s.openRequest("c=pay,d=1500").expectLine("UP puppet")
		require.Len(t, server.FirstLines(), 1, "only the line of the client that is still connected")
	})
	t.Run("waiting for a dial", func(t *testing.T) {
		configure, dialled, release := holdDials()
		s, _ := startProxyWithConfig(t, configWithoutProbes, 1024, configure)
		l, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		defer l.Close()
		s.list.SetServer("s0", l.Addr().String(), "ready")
		c := s.dial("OPEN 99 7 c=pay,d=1500\r\n")
		require.NoError(t, l.(*net.TCPListener).SetDeadline(time.Now().Add(5*time.Second)))
		server, err := l.Accept()
		require.NoError(t, err)
		defer server.Close()
		<-dialled
		require.NoError(t, c.Close())
		s.waitUntilClientGone("99")
		close(release)
		require.NoError(t, server.SetReadDeadline(time.Now().Add(5*time.Second)))
		text, err := io.ReadAll(server)
		require.NoError(t, err, "the connection is closed")
		require.Empty(t, string(text))
	})
}

// The final line of a server must reach a client that is still sending: closing a connection with unread input would
// send a reset.
func TestTheFinalLineOfAServerReachesAClientThatStillSends(t *testing.T) {
	s, servers := startProxy(t, 1024, "UP a")
	for range 20 {
		c := s.openRequest("c=chat,d=1500")
		c.expectLine("UP a")
		serverConn := servers[0].LastConn()
		stop := make(chan struct{})
		go func() {
			for {
				select {
				case <-stop:
					return
				default:
					_, _ = c.Write([]byte("M\r\n"))
				}
			}
		}()
		_, err := io.WriteString(serverConn, "BYE\r\n")
		require.NoError(t, err)
		require.NoError(t, serverConn.(*net.TCPConn).CloseWrite())
		text, err := io.ReadAll(bufio.NewReader(c))
		close(stop)
		require.NoError(t, err, "an end, not a reset")
		require.Contains(t, string(text), "BYE\r\n")
		_ = c.Close()
	}
}

// Guards against a request that is answered as failed when the proxy expires what is pending, although its server was
// still being dialled and nothing had been sent.
func TestARequestThatExpiresDuringItsDialNeverRan(t *testing.T) {
	configure, dialled, release := holdDials()
	s, servers := startProxyWithConfig(t, configWithoutProbes, 1024, configure, "UP a")
	c := s.openRequest("c=pay,d=1500")
	<-dialled
	s.proxy.AnswerPending()
	c.expectLine("BUSY")
	close(release)
	require.Empty(t, servers[0].FirstLines())
}

// A second signal to leave and a reload during leaving must not delay the end.
func TestFurtherSignalsDoNotDisturbALeave(t *testing.T) {
	s, _ := startProxyWithConfig(t, configWithoutProbes, 1024, func(*proxy.Proxy) {}, "UP a")
	established := s.openRequest("c=chat,d=1500")
	established.expectLine("UP a")
	start := time.Now()
	s.leaveSignals <- syscall.SIGTERM
	s.reloadConfig(configWithoutProbes, "chat", "pay")
	s.leaveSignals <- syscall.SIGTERM
	established.expectLine("MOVE")
	require.NoError(t, <-s.runResult)
	require.Less(t, time.Since(start), 2300*time.Millisecond)
}

// A client that sends its request only while the proxy is leaving is pushed back at once.
func TestARequestOnAnIdleConnectionOfALeavingProxyIsPushedBack(t *testing.T) {
	s, servers := startProxyWithConfig(t, configWithoutProbes, 1024, func(*proxy.Proxy) {}, "UP a")
	idle := s.dial("PING\r\n")
	idle.expectLine("PONG")
	pending := s.openRequest("c=pay,d=1500") // keeps the proxy from ending at once
	pending.expectLine("UP a")
	s.leaveSignals <- syscall.SIGTERM
	require.Eventually(t, func() bool { return s.openAndReadAnswer() == "BUSY" }, 2*time.Second, 5*time.Millisecond, "the proxy refuses new requests")
	sent := len(servers[0].FirstLines())
	idle.send("OPEN 98 7 c=pay,d=1500\r\n")
	idle.expectLine("BUSY")
	require.Len(t, servers[0].FirstLines(), sent)
}

// The client gets exactly one answer, even if its server sends two at once or sends something after the attempt is
// over.
func TestAClientGetsOneAnswerWhateverItsServerSends(t *testing.T) {
	for answer, want := range map[string]string{
		"BUSY\r\nUP b": "BUSY", "ERR\r\nUP b": "ERR", "ERR\r\nBUSY": "ERR", "MOVE\r\nUP b": "ERR", "UP\r\nUP b": "ERR",
		strings.Repeat("x", 10_000): "ERR", "UP " + strings.Repeat("x", 10_000): "ERR",
	} {
		t.Run(answer[:4], func(t *testing.T) {
			s, _ := startProxyWithConfig(t, configWithoutProbes, 1024, func(*proxy.Proxy) {}, answer)
			c := s.openRequest("c=pay,d=1500")
			c.expectLine(want)
			require.NoError(t, c.SetReadDeadline(time.Now().Add(5*time.Second)))
			more, err := io.ReadAll(c.reader)
			require.NoError(t, err)
			require.Empty(t, string(more))
		})
	}
}

// Guards against a proxy that ends while a server is within a line: its client got half of the line and no MOVE.
func TestQuittingWaitsForAPartlyRelayedLine(t *testing.T) {
	s, servers := startProxyWithConfig(t, configWithoutProbes, 1024, func(*proxy.Proxy) {}, "UP a")
	c := s.openRequest("c=chat,d=1500")
	c.expectLine("UP a")
	server := servers[0].LastConn()
	_, err := io.WriteString(server, "M ")
	require.NoError(t, err)
	half, err := c.reader.Peek(2)
	require.NoError(t, err)
	require.Equal(t, "M ", string(half))
	s.proxy.Quit()
	_, err = io.WriteString(server, "1\r\n")
	require.NoError(t, err)
	c.expectLine("M 1")
	c.expectLine("MOVE")
	require.NoError(t, <-s.runResult)
}

// Guards against a reset when a descriptor is freed by closing a connection with unread input: the final line was lost
// with it.
func TestAnEvictedClientGetsItsFinalLineDespiteUnreadInput(t *testing.T) {
	s, _ := startProxyWithConfig(t, configWithoutProbes, 1024, func(*proxy.Proxy) {})
	c := s.dial("PING\r\n")
	c.expectLine("PONG")
	s.proxy.EvictIdleAfter(func() { c.send("OPEN 97 7 c=pay,") })
	text, err := io.ReadAll(c.reader)
	require.NoError(t, err, "an end, not a reset")
	require.Equal(t, "BUSY\r\n", string(text))
}

// Guards against sending for a client that left during the dial, when the event loop handles the dial's result before
// it has read the client's end, which may stand behind much that the client has sent.
func TestNothingIsSentForAClientWhoseCloseIsStillUnread(t *testing.T) {
	for name, leave := range map[string]func(*testClient) error{
		"close": func(c *testClient) error { return c.Close() },
		"close behind unread bytes": func(c *testClient) error {
			_, err := c.Write(bytes.Repeat([]byte("OPEN 1 1 c=pay,d=1500\r\n"), 1000))
			return errors.Join(err, c.Close())
		},
		"close behind more than fits into the buffers": func(c *testClient) error {
			require.NoError(c, c.SetWriteDeadline(time.Now().Add(50*time.Millisecond)))
			_, err := c.Write(make([]byte, 64<<20))
			require.ErrorIs(c, err, os.ErrDeadlineExceeded)
			return c.Close()
		},
		"reset": func(c *testClient) error {
			fleet.ResetConn(c.Conn)
			return nil
		},
	} {
		t.Run(name, func(t *testing.T) {
			configure, dialled, release := holdDials()
			s, servers := startProxyWithConfig(t, configWithoutProbes, 1024, func(p *proxy.Proxy) {
				p.EnableMetrics()
				configure(p)
			}, "UP a")
			c := s.openRequest("c=pay,d=1500")
			<-dialled
			s.proxy.StallLoopDuring(func() {
				require.NoError(t, leave(c))
				close(release)
				time.Sleep(100 * time.Millisecond) // the dial's result is queued for the loop, ahead of the client's end
			})
			s.waitForMetrics("current 0")
			require.Empty(t, servers[0].FirstLines())
		})
	}
}

// Guards against a request that runs twice because its client left and sent it again under the same id: an id counted as free as soon
// as its connection had ended, also while the server was still working on it.
func TestAnIDThatMayRunOnceIsNotSentTwice(t *testing.T) {
	for name, test := range map[string]struct {
		answer string
		end    func(*testClient)
	}{
		"left while pending":    {"NONE", func(c *testClient) { c.waitForSend(); _ = c.Close() }},
		"reset while pending":   {"NONE", func(c *testClient) { c.waitForSend(); fleet.ResetConn(c.Conn) }},
		"given up":              {"NONE", func(c *testClient) { c.expectLine("ERR") }},
		"failed":                {"ERR", func(c *testClient) { c.expectLine("ERR") }},
		"established and ended": {"UP a", func(c *testClient) { c.expectLine("UP a"); _ = c.Close() }},
	} {
		t.Run(name, func(t *testing.T) {
			s, servers := startProxyWithConfig(t, configWithoutProbes, 1024, (*proxy.Proxy).EnableMetrics, test.answer)
			test.end(s.dial("OPEN 99 7 c=pay,d=400\r\n"))
			s.waitForMetrics("current 0")
			s.dial("OPEN 99 7 c=pay,d=400\r\n").expectLine("ERR this id has been sent to a server before")
			s.dial("OPEN 0099 7 c=chat,d=400\r\n").expectLine("BUSY")
			require.Len(t, servers[0].FirstLines(), 1)
		})
	}
}

// An id whose request provably never ran is free again, and so is one of a class that may be repeated.
func TestAnIDThatNeverRanMayComeAgain(t *testing.T) {
	s, servers := startProxyWithConfig(t, configWithoutProbes, 1024, func(*proxy.Proxy) {}, "BUSY")
	for range 2 {
		s.dial("OPEN 99 7 c=pay,d=400\r\n").expectLine("BUSY")
	}
	require.Len(t, servers[0].FirstLines(), 6, "three attempts each")
}

// waitForSend waits until the proxy has sent a request to a server.
func (s *harness) waitForSend() {
	s.waitForMetrics("sends 1")
}

// Guards against an answer that is late by as long as the request waited to be read: its time ran from when the proxy read it.
func TestTheTimeOfARequestRunsWhileItWaitsToBeRead(t *testing.T) {
	const wait, unread = 900 * time.Millisecond, 500 * time.Millisecond
	s, _ := startProxyWithConfig(t, configWithoutProbes, 1024, (*proxy.Proxy).EnableMetrics, "NONE")
	var c *testClient
	var sentAt time.Time
	s.proxy.StallLoopDuring(func() {
		sentAt = time.Now()
		c = s.dial(fmt.Sprintf("OPEN 99 7 c=pay,d=%d\r\n", wait.Milliseconds()))
		time.Sleep(unread)
	})
	c.expectLine("ERR")
	require.Less(t, time.Since(sentAt), wait+unread/2)
}
