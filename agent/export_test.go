package agent

// SaveProcess saves a running process as an instance's in its process file.
func SaveProcess(path string, pid int) error {
	_, startTime := kernelStartTime(pid)
	return (&process{PID: pid, StartTime: startTime}).save(path)
}

// FindProcess returns the PID of the running process that a process file names; 0 if there is none.
func FindProcess(path string) int {
	if p := findRunningProcess(path); p != nil {
		return p.PID
	}
	return 0
}
