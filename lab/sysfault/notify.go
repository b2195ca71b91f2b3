package sysfault

import (
	"unsafe"

	"golang.org/x/sys/unix"
)

// notification is the kernel's struct seccomp_notif: a call that waits for its answer.
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

// response is the kernel's struct seccomp_notif_resp.
type response struct {
	id    uint64
	value int64
	error int32
	flags uint32
}

// awaitNotification waits for a notification; over tells that the process is gone, which the receiving call itself does not notice.
func awaitNotification(listener int) (over bool, err error) {
	waits := []unix.PollFd{{Fd: int32(listener), Events: unix.POLLIN}}
	for {
		_, err := unix.Poll(waits, -1)
		switch {
		case err == unix.EINTR:
			continue
		case err != nil:
			return false, err
		}
		return waits[0].Revents&unix.POLLIN == 0, nil
	}
}

func receive(listener int) (*notification, error) {
	n := &notification{}
	_, _, errno := unix.Syscall(unix.SYS_IOCTL, uintptr(listener), unix.SECCOMP_IOCTL_NOTIF_RECV, uintptr(unsafe.Pointer(n)))
	if errno != 0 {
		return nil, errno
	}
	return n, nil
}

func respond(listener int, r response) error {
	_, _, errno := unix.Syscall(unix.SYS_IOCTL, uintptr(listener), unix.SECCOMP_IOCTL_NOTIF_SEND, uintptr(unsafe.Pointer(&r)))
	if errno != 0 {
		return errno
	}
	return nil
}

// duplicateDescriptor duplicates the descriptor that is a call's first argument.
func duplicateDescriptor(n *notification) (fd int, err error) {
	const thread = unix.O_EXCL // PIDFD_THREAD, of Linux 6.9 on: notifications name threads
	process, err := unix.PidfdOpen(int(n.pid), thread)
	if err != nil {
		return -1, err
	}
	defer unix.Close(process)
	return unix.PidfdGetfd(process, int(int32(n.data.arguments[0])), 0)
}

func isSocket(n *notification) bool {
	fd, err := duplicateDescriptor(n)
	if err != nil {
		return false
	}
	defer unix.Close(fd)
	_, err = unix.GetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_TYPE)
	return err == nil
}

// maxPartialTransfer bounds a partial transfer.
const maxPartialTransfer = 64 << 10

// transferPart makes a part of a read or write of a socket in the process's place. False where it is none that can be
// made in part: then the process makes it itself.
func transferPart(n *notification, part func(whole int) int) (moved int64, did bool) {
	whole := int(min(n.data.arguments[2], maxPartialTransfer))
	if n.data.number != unix.SYS_READ && n.data.number != unix.SYS_WRITE || whole < 2 {
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
	at := unix.RemoteIovec{Base: uintptr(n.data.arguments[1])}
	if n.data.number == unix.SYS_WRITE {
		return writePart(n, fd, at, part(whole))
	}
	return readPart(n, fd, at, whole, part)
}

func writePart(n *notification, fd int, at unix.RemoteIovec, size int) (int64, bool) {
	bytes := make([]byte, size)
	at.Len = size
	local := unix.Iovec{Base: &bytes[0]}
	local.SetLen(size)
	if got, err := unix.ProcessVMReadv(int(n.pid), []unix.Iovec{local}, []unix.RemoteIovec{at}, 0); err != nil || got != size {
		return 0, false
	}
	moved, err := unix.SendmsgN(fd, bytes, nil, nil, unix.MSG_DONTWAIT|unix.MSG_NOSIGNAL)
	if err != nil {
		return 0, false // the process's own attempt tells it
	}
	return int64(moved), true
}

// readPart looks at what is there first, so that a read is cut short only where there is more than a byte.
func readPart(n *notification, fd int, at unix.RemoteIovec, whole int, part func(int) int) (int64, bool) {
	bytes := make([]byte, whole)
	there, _, err := unix.Recvfrom(fd, bytes, unix.MSG_PEEK|unix.MSG_DONTWAIT)
	if err != nil || there < 2 {
		return 0, false
	}
	size := part(there)
	local := unix.Iovec{Base: &bytes[0]}
	local.SetLen(size)
	at.Len = size
	if put, err := unix.ProcessVMWritev(int(n.pid), []unix.Iovec{local}, []unix.RemoteIovec{at}, 0); err != nil || put != size {
		return 0, false
	}
	moved, _, err := unix.Recvfrom(fd, bytes[:size], unix.MSG_DONTWAIT)
	if err != nil || moved != size {
		return 0, false
	}
	return int64(moved), true
}
