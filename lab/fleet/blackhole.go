package fleet

import (
	"fmt"
	"net"
	"net/netip"
	"syscall"
	"time"
)

// blackholeAddress takes the place of a listener with one that accepts nobody and whose queue is full, so that the kernel
// drops what comes: a connection to it neither comes up nor is refused. The call returns what has it listen no more.
func blackholeAddress(address string) (func(), error) {
	at, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, err
	}
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, err
	}
	shut := func() { _ = syscall.Close(fd) }
	if err := syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1); err != nil {
		shut()
		return nil, err
	}
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Port: int(at.Port()), Addr: at.Addr().As4()}); err != nil {
		shut()
		return nil, fmt.Errorf("vanish at %s: %w", address, err)
	}
	if err := syscall.Listen(fd, 0); err != nil {
		shut()
		return nil, err
	}
	var stuffed []net.Conn
	for range 4 { // a queue of length 0 takes one or two
		c, err := net.DialTimeout("tcp", address, 20*time.Millisecond)
		if err != nil {
			break
		}
		stuffed = append(stuffed, c)
	}
	return func() {
		for _, c := range stuffed {
			_ = c.Close()
		}
		shut()
	}, nil
}
