package fleet

import (
	"fmt"
	"net"
	"net/netip"
	"syscall"
	"time"
)

// blackholeAddress listens at an address, which must be free, without accepting, and fills the listen queue. The kernel then drops
// further SYN packets, so that connecting to the address neither succeeds nor is refused. The returned function frees the address.
func blackholeAddress(address string) (func(), error) {
	addrPort, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, err
	}
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, err
	}
	closeSocket := func() { _ = syscall.Close(fd) }
	if err := syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1); err != nil {
		closeSocket()
		return nil, err
	}
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Port: int(addrPort.Port()), Addr: addrPort.Addr().As4()}); err != nil {
		closeSocket()
		return nil, fmt.Errorf("bind %s: %w", address, err)
	}
	if err := syscall.Listen(fd, 0); err != nil {
		closeSocket()
		return nil, err
	}
	var queued []net.Conn
	for range 4 { // a listen queue with backlog 0 holds one or two connections
		c, err := net.DialTimeout("tcp", address, 20*time.Millisecond)
		if err != nil {
			break
		}
		queued = append(queued, c)
	}
	return func() {
		for _, c := range queued {
			_ = c.Close()
		}
		closeSocket()
	}, nil
}
