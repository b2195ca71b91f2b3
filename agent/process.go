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

// process is an instance's, started by this agent or by one before it: an agent that dies leaves its instances
// running, and the next one finds them by what is written beside their logs.
type process struct {
	PID           int    `json:"pid"`
	StartTime     string `json:"start"`   // the kernel's: tells a process from a later one of the same number
	RestartNumber uint64 `json:"restart"` // the command that it was last started anew for

	exitReason chan string // of an own child; nil of one that was found
}

// startProcess starts one that outlives this program.
func startProcess(command []string, log string, restart uint64) (*process, error) {
	out, err := os.OpenFile(log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	defer out.Close()
	cmd := exec.Command(command[0], command[1:]...)
	cmd.Stdout, cmd.Stderr = out, out
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	p := &process{PID: cmd.Process.Pid, RestartNumber: restart, exitReason: make(chan string, 1)}
	_, p.StartTime = kernelStartTime(p.PID)
	go func() {
		why := "it ended by itself"
		if err := cmd.Wait(); err != nil {
			why = err.Error()
		}
		p.exitReason <- why
	}()
	return p, nil
}

// kernelStartTime reads when a process started, by the kernel's count; false if there is none, or only its remains.
func kernelStartTime(pid int) (bool, string) {
	text, err := transient.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return false, ""
	}
	words := strings.Fields(string(text[strings.LastIndexByte(string(text), ')')+1:]))
	if len(words) < 20 || words[0] == "Z" || words[0] == "X" {
		return false, ""
	}
	return true, words[19]
}

// hasExited tells whether it has ended, and why.
func (p *process) hasExited() (bool, string) {
	if p.exitReason != nil {
		select {
		case why := <-p.exitReason:
			return true, why
		default:
			return false, ""
		}
	}
	there, start := kernelStartTime(p.PID)
	return !there || start != p.StartTime, "it ended"
}

func (p *process) signal(s syscall.Signal) { _ = syscall.Kill(p.PID, s) }

// save writes down which process an instance's is, whole or not at all.
func (p *process) save(path string) error {
	text, err := json.Marshal(p)
	if err != nil {
		return err
	}
	return writeFileAtomically(path, text)
}

// writeFileAtomically writes a file whole or not at all.
func writeFileAtomically(path string, text []byte) error {
	f, err := os.CreateTemp(filepath.Dir(path), ".new-")
	if err != nil {
		return err
	}
	_, err = f.Write(text)
	if err == nil {
		err = f.Sync()
	}
	if shut := f.Close(); err == nil {
		err = shut
	}
	if err == nil {
		err = os.Rename(f.Name(), path)
	}
	if err != nil {
		_ = os.Remove(f.Name())
	}
	return err
}

// savedRestartNumber is the restart for which an instance was last started, or was about to be.
func savedRestartNumber(path string) uint64 {
	var p process
	if text, err := transient.ReadFile(path); err == nil {
		_ = json.Unmarshal(text, &p) // what is torn tells nothing: 0
	}
	return p.RestartNumber
}

// findRunningProcess is the process of an instance that an agent before this one has left running; nil if there is none.
func findRunningProcess(path string) *process {
	// Guards against a second process beside one that runs, since the file could not be read for a moment.
	text, err := transient.ReadFile(path)
	if err != nil {
		return nil
	}
	var p process
	if json.Unmarshal(text, &p) != nil || p.PID <= 1 {
		return nil
	}
	if over, _ := p.hasExited(); over {
		return nil
	}
	return &p
}
