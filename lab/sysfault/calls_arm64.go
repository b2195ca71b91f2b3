package sysfault

import "golang.org/x/sys/unix"

// waitCalls lists the system calls of the group Wait. This architecture has no epoll_wait.
var waitCalls = []uint32{unix.SYS_EPOLL_PWAIT, unix.SYS_NANOSLEEP}
