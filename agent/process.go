package agent

import (
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"

	"hatchproxy/internal/transient"
)

// process is the process of an instance, started by this agent or by an earlier run of it: instances keep running when their agent
// dies, and the next run finds them through the file that this type is saved to.
type process struct {
	PID           int    `json:"pid"`
	StartTime     string `json:"start"`   // as the kernel counts it; distinguishes the process from a later one with the same PID
	RestartNumber uint64 `json:"restart"` // the number of the last restart command that this process has fulfilled

	exitReason chan string // receives why it ended; nil if an earlier run of the agent started it
}

// spawnProcess starts a process that outlives the agent, with its output appended to the file at logPath.
func spawnProcess(command []string, logPath string, restartNumber uint64) (*process, error) {
	logFile, err := os.OpenFile(logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	defer logFile.Close()
	cmd := exec.Command(command[0], command[1:]...)
	cmd.Stdout, cmd.Stderr = logFile, logFile
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	p := &process{PID: cmd.Process.Pid, RestartNumber: restartNumber, exitReason: make(chan string, 1)}
	_, p.StartTime = kernelStartTime(p.PID)
	go func() {
		reason := "it ended by itself"
		if err := cmd.Wait(); err != nil {
			reason = err.Error()
		}
		p.exitReason <- reason
	}()
	return p, nil
}

// kernelStartTime returns when a process started, in the kernel's clock ticks since boot. It returns false if there is no such
// process, or only a zombie.
func kernelStartTime(pid int) (bool, string) {
	stat, err := transient.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return false, ""
	}
	fields := strings.Fields(string(stat[strings.LastIndexByte(string(stat), ')')+1:]))
	if len(fields) < 20 || fields[0] == "Z" || fields[0] == "X" {
		return false, ""
	}
	return true, fields[19]
}

// hasExited reports whether the process has ended, and why.
func (p *process) hasExited() (bool, string) {
	if p.exitReason != nil {
		select {
		case reason := <-p.exitReason:
			return true, reason
		default:
			return false, ""
		}
	}
	exists, start := kernelStartTime(p.PID)
	return !exists || start != p.StartTime, "it ended"
}

// signal sends a signal to the process; a failure is ignored.
func (p *process) signal(s syscall.Signal) { _ = syscall.Kill(p.PID, s) }

// save writes the process to a file, atomically.
func (p *process) save(path string) error {
	data, err := json.Marshal(p)
	if err != nil {
		return err
	}
	return writeFileAtomically(path, data)
}

// writeFileAtomically replaces a file by way of a temporary file, so that a crash leaves either the old content or the new.
func writeFileAtomically(path string, data []byte) error {
	f, err := os.CreateTemp(filepath.Dir(path), ".new-")
	if err != nil {
		return err
	}
	_, err = f.Write(data)
	if err == nil {
		err = f.Sync()
	}
	if closeErr := f.Close(); err == nil {
		err = closeErr
	}
	if err == nil {
		err = os.Rename(f.Name(), path)
	}
	if err != nil {
		_ = os.Remove(f.Name())
	}
	return err
}

// savedRestartNumber returns the number of the restart command for which an instance was last started, or was about to be started
// when the agent died.
func savedRestartNumber(path string) uint64 {
	var p process
	if data, err := transient.ReadFile(path); err == nil {
		_ = json.Unmarshal(data, &p) // 0 if the file is damaged
	}
	return p.RestartNumber
}

// findRunningProcess returns the process that an earlier run of the agent saved at path, nil if there is none or it has ended.
func findRunningProcess(path string) *process {
	// Transient read errors are retried: otherwise the agent would start a second process beside the running one.
	data, err := transient.ReadFile(path)
	if err != nil {
		return nil
	}
	var p process
	if json.Unmarshal(data, &p) != nil || p.PID <= 1 {
		return nil
	}
	if exited, _ := p.hasExited(); exited {
		return nil
	}
	return &p
}
