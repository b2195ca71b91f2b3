package proxy_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hatchproxy/internal/proxy"
)

// startDeafServer starts a server that answers UP and reads no more, with small buffers of the kernel on both sides. It returns its
// address and how the proxy is to dial it.
func startDeafServer(t *testing.T) (address string, shrink func(net.Conn, error) (net.Conn, error)) {
	const kernelBuffer = 4096
	config := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
		return c.Control(func(fd uintptr) {
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, kernelBuffer)
		})
	}}
	l, err := config.Listen(context.Background(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { _ = c.Close() })
			go func() {
				_, _ = bufio.NewReaderSize(c, 16).ReadString('\n')
				_, _ = io.WriteString(c, "UP a\r\n")
			}()
		}
	}()
	return l.Addr().String(), func(c net.Conn, err error) (net.Conn, error) {
		if err == nil {
			_ = c.(*net.TCPConn).SetWriteBuffer(kernelBuffer)
		}
		return c, err
	}
}

// Guards against a process that exceeds its memory because each of many servers that do not read leaves it just less than what one
// connection may hold. The clients that hold most are moved, and only as many as have to be.
func TestOutputThatIsNotReadIsBoundedByItsSum(t *testing.T) {
	const limit, largeCount, smallCount = 1 << 20, 8, 4
	address, shrink := startDeafServer(t)
	s, _ := startProxyWithConfig(t, configWithoutProbes, 1024, func(p *proxy.Proxy) {
		p.EnableMetrics()
		p.InterceptDials(shrink)
		p.SetUnsentLimit(limit)
	})
	s.list.SetServer("s0", address, "ready")
	s.waitForMetrics("cluster_size 1")
	var small, large []*testClient
	for range smallCount {
		c := s.openRequest("c=chat,d=1500")
		c.expectLine("UP a")
		c.send(strings.Repeat("m", 20<<10)) // no whole line, which would have to be answered
		small = append(small, c)
	}
	for range largeCount {
		c := s.openRequest("c=chat,d=1500")
		c.expectLine("UP a")
		large = append(large, c)
	}
	for range 10 { // they grow together
		for _, c := range large {
			_, _ = io.WriteString(c, strings.Repeat("m", 22<<10)) // fails once it has been moved
		}
		time.Sleep(10 * time.Millisecond)
		require.LessOrEqual(t, s.proxy.UnsentBytes(), limit)
	}
	s.waitForMetrics(`closed{by="silence"} 4`) // as many as have to go: 4 of 220 KiB each stay
	for _, c := range small {                  // the balancer may move them off such a server, but not without MOVE
		require.NoError(t, c.SetReadDeadline(time.Now().Add(20*time.Millisecond)))
		line, err := c.reader.ReadString('\n')
		require.True(t, errors.Is(err, os.ErrDeadlineExceeded) || line == "MOVE\r\n", "%q %v", line, err)
	}
}
