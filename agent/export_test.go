package agent

// SaveProcess writes down that an instance's process is the one with this number.
func SaveProcess(path string, pid int) error {
	_, start := kernelStartTime(pid)
	return (&process{PID: pid, StartTime: start}).save(path)
}

// FindProcess is the number of the instance's process that is written down and runs; 0 if none does.
func FindProcess(path string) int {
	if p := findRunningProcess(path); p != nil {
		return p.PID
	}
	return 0
}
