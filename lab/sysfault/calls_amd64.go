package sysfault

import "golang.org/x/sys/unix"

// waitCalls lists the system calls of the group Wait.
var waitCalls = []uint32{unix.SYS_EPOLL_WAIT, unix.SYS_EPOLL_PWAIT, unix.SYS_NANOSLEEP}
