package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

func init() {
	cases["agent-kill"] = agentKill
	cases["agent-report"] = agentReport
}

// relay passes connections on to an address until it falls silent: then it takes connections and bytes, and passes nothing on.
type relay struct {
	listener net.Listener
	target   string
	silent   atomic.Bool
}

func newRelay(target string) (*relay, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &relay{listener: listener, target: target}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go r.serve(conn)
		}
	}()
	return r, nil
}

func (r *relay) serve(conn net.Conn) {
	defer conn.Close()
	if r.silent.Load() {
		_, _ = io.Copy(io.Discard, conn)
		return
	}
	out, err := net.Dial("tcp", r.target)
	if err != nil {
		return
	}
	defer out.Close()
	var group sync.WaitGroup
	pass := func(to, from net.Conn) {
		defer group.Done()
		buffer := make([]byte, 16<<10)
		for {
			n, err := from.Read(buffer)
			if err != nil {
				_ = to.SetDeadline(time.Now())
				return
			}
			if !r.silent.Load() {
				_, _ = to.Write(buffer[:n])
			}
		}
	}
	group.Add(2)
	go pass(out, conn)
	go pass(conn, out)
	group.Wait()
}

// startAgent starts an agent. Its instances outlive it.
func (e *env) startAgent(config string) (*exec.Cmd, error) {
	cmd := exec.Command(filepath.Join(root, "bin/hatchagent"), "serve", config)
	cmd.Dir = root
	log, err := os.OpenFile(filepath.Join(e.dir, "agent.log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	defer log.Close()
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	e.rec.log("the agent is started")
	return cmd, cmd.Start()
}

// instancePID returns the process of the instance, as the agent saved it.
func instancePID(path string) int {
	text, err := os.ReadFile(path)
	if err != nil {
		return 0
	}
	_, rest, _ := strings.Cut(string(text), `"pid":`)
	digits, _, _ := strings.Cut(rest, ",")
	pid, _ := strconv.Atoi(digits)
	return pid
}

// managed is an instance that an agent keeps, with the way between the two.
type managed struct {
	servers     []*server
	address     string // where clients connect
	way         *relay
	api, config string // of the agent
	data        string
	agent       *exec.Cmd
	pid         int // of the instance
	load        *clients
}

// manage starts an agent that keeps one instance, and a load on it.
func (e *env) manage(perSecond float64, life time.Duration) (m *managed, err error) {
	m = &managed{api: freeAddress(), data: filepath.Join(e.dir, "data"), address: freeAddress(), config: filepath.Join(e.dir, "agent.toml")}
	var d *discovery
	if m.servers, d, err = e.fleet(qldBookings, 8); err != nil {
		return nil, err
	}
	file, err := writeConfig(proxyOptions{name: "n1", listen: m.address, discovery: d.address, known: d.known(), dir: e.dir, site: qldBookings})
	if err != nil {
		return nil, err
	}
	control := freeAddress()
	if m.way, err = newRelay(control); err != nil {
		return nil, err
	}
	// The agent appends --control and --orders with its own values; the instance listens behind the relay.
	command := fmt.Sprintf(`exec %s/bin/hatchproxy serve --config %s --control %s --orders "$4"`, root, file, control)
	text := fmt.Sprintf("name = \"a1\"\nlisten = %q\nlog = %q\ndata = %q\n\n[[instance]]\nname = \"n1\"\ncommand = [\"/bin/sh\", \"-c\", %q, \"sh\"]\ncontrol = %q\n",
		m.api, freeAddress(), m.data, command, m.way.listener.Addr().String())
	if err := os.WriteFile(m.config, []byte(text), 0o600); err != nil {
		return nil, err
	}
	if m.agent, err = e.startAgent(m.config); err != nil {
		return nil, err
	}
	e.cleanUp = append(e.cleanUp, func() { m.end(e) })
	if err := awaitReady(m.address, 15*time.Second); err != nil {
		return nil, err
	}
	if m.pid = instancePID(filepath.Join(m.data, "n1.process")); m.pid <= 1 {
		return nil, errors.New("the agent has saved no process")
	}
	m.load = newClients(e.rec, "slot-watch", 1800*time.Millisecond, life, 1, func() []string { return []string{m.address} })
	m.load.run(perSecond)
	time.Sleep(6 * time.Second)
	return m, nil
}

// end ends the agent and its instance, and adds their logs to the record.
func (m *managed) end(e *env) {
	_ = m.agent.Process.Kill()
	_ = m.agent.Wait()
	for range 20 { // the agent may have started another one in its last moment
		if pid := instancePID(filepath.Join(m.data, "n1.process")); pid > 1 {
			_ = syscall.Kill(pid, syscall.SIGKILL)
		}
		time.Sleep(10 * time.Millisecond)
	}
	for _, name := range []string{"agent.log", "data/n1.log"} {
		text, _ := os.ReadFile(filepath.Join(e.dir, name))
		for line := range strings.Lines(string(text)) {
			e.rec.log("%s: %s", name, strings.TrimRight(line, "\n"))
		}
	}
}

// serves reports whether the instance is the process that it was.
func (m *managed) serves() bool {
	return instancePID(filepath.Join(m.data, "n1.process")) == m.pid && syscall.Kill(m.pid, 0) == nil && ping(m.address) == "PONG"
}

// restartAgent kills the agent and starts it again a second later.
func (m *managed) restartAgent(e *env) (err error) {
	_ = m.agent.Process.Kill()
	_ = m.agent.Wait()
	e.rec.log("the agent was killed")
	time.Sleep(time.Second)
	m.agent, err = e.startAgent(m.config)
	return err
}

// report is what hatchctl drain prints, and its exit code.
type report struct {
	Instances []struct{ Instance, Verdict, Why string }
	code      int
	at        time.Time
}

// drain has hatchctl drain a server and returns its report.
func (m *managed) drain(e *env, server, within string) <-chan report {
	told := make(chan report, 1)
	go func() {
		cmd := exec.Command(filepath.Join(root, "bin/hatchctl"), "--agent", m.api, "--within", within, "--json", "drain", server)
		out, _ := cmd.Output()
		r := report{code: cmd.ProcessState.ExitCode(), at: time.Now()}
		_ = json.Unmarshal(out, &r)
		e.rec.log("hatchctl drain %s: exit code %d, %s", server, r.code, strings.ReplaceAll(string(out), "\n", " "))
		told <- r
	}()
	return told
}

// agentKill: an instance serves and does not answer its agent, which is killed and started again in the midst of a drain.
func agentKill(e *env) (bool, error) {
	m, err := e.manage(5, 60*time.Second)
	if err != nil {
		return false, err
	}
	if e.trouble {
		m.way.silent.Store(true)
		e.rec.log("the way between agent and instance is silent from now on")
	}
	time.Sleep(time.Second)
	told := m.drain(e, "s-01", "3s")
	time.Sleep(500 * time.Millisecond)
	if e.trouble {
		if err := m.restartAgent(e); err != nil {
			return false, err
		}
	}
	<-told
	before := m.load.broken.Load()
	time.Sleep(28 * time.Second)
	broken, same := m.load.broken.Load()-before, m.serves()
	e.rec.log("clients: %v; %d held", m.load, m.load.held.Load())
	e.rec.log("judge: %d connections were cut off without MOVE while their servers answered; the instance is the same process: %t", broken, same)
	m.load.finish()
	if m.load.up.Load() < 30 {
		return false, errors.New("too few clients were served")
	}
	return broken > 0, nil
}

// agentReport: the same, and the operator goes by what hatchctl reports of the drain.
func agentReport(e *env) (bool, error) {
	m, err := e.manage(40, 3*time.Second)
	if err != nil {
		return false, err
	}
	if e.trouble {
		m.way.silent.Store(true)
		e.rec.log("the way between agent and instance is silent from now on")
	}
	told := m.drain(e, "s-01", "8s")
	time.Sleep(time.Second)
	if e.trouble {
		if err := m.restartAgent(e); err != nil {
			return false, err
		}
	}
	r := <-told
	serves := m.serves()
	time.Sleep(5 * time.Second)
	late := m.servers[0].after(r.at.Add(qldBookings.drainGrace + slack))
	m.load.finish()
	e.rec.log("clients: %v", m.load)
	e.rec.log("judge: hatchctl ended with %d, the instance serves: %t, and sent s-1 %d new connections later than 2 s after the report", r.code, serves, len(late))
	for _, i := range r.Instances {
		e.rec.log("judge: reported: %s %s", i.Instance, i.Verdict)
	}
	switch {
	case !serves || len(r.Instances) != 1:
		return false, errors.New("the instance does not serve, or the report has none")
	case m.load.up.Load() < 100:
		return false, errors.New("too few clients were served")
	}
	// Exit code 0 says that all obeyed. It is true only if the instance does.
	return r.code == 0 && len(late) > 0, nil
}
