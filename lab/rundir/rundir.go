// Package rundir makes the folders for the files of a run. Processes of the rig are killed, but the machine stays up, so they
// lose nothing of what they wrote if a folder is held in memory; and one disk, for which all voters of the machine
// would wait at each write of their logs, has no part in what is measured.
package rundir

import (
	"os"

	"golang.org/x/sys/unix"
)

const (
	// memoryRoot is where Linux holds a file system in memory for all programs.
	memoryRoot = "/dev/shm"
	// minFreeBytes must be free there, or the folder is made on disk: far more than the logs of a run take.
	minFreeBytes = 1 << 30
)

// Storage is where a folder is held.
type Storage string

// The kinds of storage, as reports name them.
const (
	Memory Storage = "memory"
	Disk   Storage = "disk"
)

// New makes a folder for the files of a run, in memory where that is possible and otherwise where temporary files go, and
// returns its path. The caller removes it.
func New() (path string, storage Storage, err error) {
	if isMemory(memoryRoot) {
		if path, err = os.MkdirTemp(memoryRoot, "hl"); err == nil {
			return path, Memory, nil
		}
	}
	path, err = os.MkdirTemp("", "hl")
	if err == nil && isMemory(path) {
		return path, Memory, nil
	}
	return path, Disk, err
}

// isMemory reports whether a folder is on a file system in memory with enough room.
func isMemory(folder string) bool {
	var stat unix.Statfs_t
	if unix.Statfs(folder, &stat) != nil || stat.Type != unix.TMPFS_MAGIC {
		return false
	}
	return stat.Bavail*uint64(stat.Bsize) >= minFreeBytes
}
