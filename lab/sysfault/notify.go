package sysfault

import (
	"unsafe"

	"golang.org/x/sys/unix"
)

// notification is the kernel's struct seccomp_notif: a system call that waits for its answer.
type notification struct {
	id    uint64
	pid   uint32 // of the thread
	flags uint32
	data  struct {
		number       int32
		architecture uint32
		instruction  uint64
		arguments    [6]uint64
	}
}

// response is the kernel's struct seccomp_notif_resp: the answer to a notification.
type response struct {
	id    uint64
	value int64
	error int32
	flags uint32
}

// awaitNotification blocks until there is a notification, or the filtered process has exited, which receive would not notice.
func awaitNotification(listener int) (exited bool, err error) {
	descriptors := []unix.PollFd{{Fd: int32(listener), Events: unix.POLLIN}}
	for {
		_, err := unix.Poll(descriptors, -1)
		switch {
		case err == unix.EINTR:
			continue
		case err != nil:
			return false, err
		}
		return descriptors[0].Revents&unix.POLLIN == 0, nil
	}
}

// receive reads a notification from the listener.
func receive(listener int) (*notification, error) {
	n := &notification{}
	_, _, errno := unix.Syscall(unix.SYS_IOCTL, uintptr(listener), unix.SECCOMP_IOCTL_NOTIF_RECV, uintptr(unsafe.Pointer(n)))
	if errno != 0 {
		return nil, errno
	}
	return n, nil
}

// respond answers a notification.
func respond(listener int, r response) error {
	_, _, errno := unix.Syscall(unix.SYS_IOCTL, uintptr(listener), unix.SECCOMP_IOCTL_NOTIF_SEND, uintptr(unsafe.Pointer(&r)))
	if errno != 0 {
		return errno
	}
	return nil
}

// duplicateDescriptor returns a duplicate, in this process, of the descriptor that is the call's first argument.
func duplicateDescriptor(n *notification) (fd int, err error) {
	const thread = unix.O_EXCL // PIDFD_THREAD, since Linux 6.9: notifications name a thread
	process, err := unix.PidfdOpen(int(n.pid), thread)
	if err != nil {
		return -1, err
	}
	defer unix.Close(process)
	return unix.PidfdGetfd(process, int(int32(n.data.arguments[0])), 0)
}

// isSocket reports whether the call's first argument is the descriptor of a socket.
func isSocket(n *notification) bool {
	fd, err := duplicateDescriptor(n)
	if err != nil {
		return false
	}
	defer unix.Close(fd)
	_, err = unix.GetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_TYPE)
	return err == nil
}

// maxPartialTransfer bounds the bytes of a partial transfer.
const maxPartialTransfer = 64 << 10

// transferPart makes a part of a read or write of a socket on behalf of the process. drawSize chooses how much of a given size.
// ok is false if the call can't be made in part; the process then makes it itself.
func transferPart(n *notification, drawSize func(size int) int) (moved int64, ok bool) {
	size := int(min(n.data.arguments[2], maxPartialTransfer))
	if n.data.number != unix.SYS_READ && n.data.number != unix.SYS_WRITE || size < 2 {
		return 0, false
	}
	fd, err := duplicateDescriptor(n)
	if err != nil {
		return 0, false
	}
	defer unix.Close(fd)
	if _, err := unix.GetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_TYPE); err != nil {
		return 0, false
	}
	remote := unix.RemoteIovec{Base: uintptr(n.data.arguments[1])}
	if n.data.number == unix.SYS_WRITE {
		return writePart(n, fd, remote, drawSize(size))
	}
	return readPart(n, fd, remote, size, drawSize)
}

// writePart sends size bytes of the process's buffer.
func writePart(n *notification, fd int, remote unix.RemoteIovec, size int) (int64, bool) {
	bytes := make([]byte, size)
	remote.Len = size
	local := unix.Iovec{Base: &bytes[0]}
	local.SetLen(size)
	if copied, err := unix.ProcessVMReadv(int(n.pid), []unix.Iovec{local}, []unix.RemoteIovec{remote}, 0); err != nil || copied != size {
		return 0, false
	}
	moved, err := unix.SendmsgN(fd, bytes, nil, nil, unix.MSG_DONTWAIT|unix.MSG_NOSIGNAL)
	if err != nil {
		return 0, false // the process makes the call itself and gets the error
	}
	return int64(moved), true
}

// readPart receives a part of the available bytes into the process's buffer. It peeks first, since a read can be cut short only
// if more than one byte is available.
func readPart(n *notification, fd int, remote unix.RemoteIovec, maxSize int, drawSize func(int) int) (int64, bool) {
	bytes := make([]byte, maxSize)
	available, _, err := unix.Recvfrom(fd, bytes, unix.MSG_PEEK|unix.MSG_DONTWAIT)
	if err != nil || available < 2 {
		return 0, false
	}
	size := drawSize(available)
	local := unix.Iovec{Base: &bytes[0]}
	local.SetLen(size)
	remote.Len = size
	if copied, err := unix.ProcessVMWritev(int(n.pid), []unix.Iovec{local}, []unix.RemoteIovec{remote}, 0); err != nil || copied != size {
		return 0, false
	}
	moved, _, err := unix.Recvfrom(fd, bytes[:size], unix.MSG_DONTWAIT)
	if err != nil || moved != size {
		return 0, false
	}
	return int64(moved), true
}
