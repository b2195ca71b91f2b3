package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"syscall"
	"time"
)

// settings returns settings like those of the small deployment.
func settings(products []map[string]any) map[string]any {
	aims := make([]float64, len(products))
	for i := range aims {
		aims[i] = 150
	}
	return map[string]any{
		"my-number": 0, "group-size": 2, "zone": 0, "localities": []string{"brisbane-north"}, "models": []string{"fast-3", "slow-3"},
		"weight-kind": "rough", "membership-mode": "subscribe", "kind-of-service": "conn", "gain-by": "request", "products": products,
		"family-info": map[string]any{"mode": "proxy", "message-aim-ms": aims, "groups": true, "tells-load": true},
		"limits":      map[string]any{"max-dispatches": 6, "dial-timeout-ms": 250.0, "probes": false, "retry-after": false, "may-cancel": true, "max-retry-after-ms": 1000.0},
		"invariants": map[string]any{"ask-within-ms": 10000.0, "start-capacity": 0.3, "cold-ms": 9000.0, "fall-multiple": 4.0, "fall-ms": 3000.0,
			"stop-sending-within-ms": 2000.0, "answer-slack-ms": 8.0},
		"prices": map[string]any{"cross-zone": 0.2, "moves": 0.013},
	}
}

// product returns a class of the settings.
func product(name, idempotency string) map[string]any {
	return map[string]any{"name": name, "idempotency": idempotency, "gain": 1.0, "quoted-time-ms": 300.0, "hard-limit-ms": 1800.0, "window-ms": 5000.0, "group": "all", "streaming": true, "tardy-gain": 0.0}
}

// proxy is a process that `run` of the deploy file started.
type proxy struct {
	rec    *record
	name   string
	listen string
	admin  string
	cmd    *exec.Cmd
	ended  chan struct{}
	err    error
}

// proxyOptions say how a proxy is started.
type proxyOptions struct {
	name, listen, admin, discovery string
	known                          json.RawMessage
	settings                       map[string]any
	dir, tmp                       string
	listener                       *os.File // the clients' listening socket, if the platform holds it
}

// root is the folder of the repository, from which run is started.
var root string

// runCommand returns the command `run` of the deploy file.
func runCommand() (string, error) {
	text, err := os.ReadFile(filepath.Join(root, "deploy/balancer.toml"))
	if err != nil {
		return "", err
	}
	match := regexp.MustCompile(`(?m)^run *= *"([^"]*)"`).FindStringSubmatch(string(text))
	if match == nil {
		return "", errors.New("the deploy file has no run")
	}
	return match[1], nil
}

// writeConfig writes the file that ROUTER_CONFIG names.
func writeConfig(o proxyOptions) (string, error) {
	config := map[string]any{"name": o.name, "listen": o.listen, "discovery": o.discovery, "seed": "8c1f30d27a5be964",
		"limits": map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024}, "settings": o.settings}
	if o.known != nil {
		config["known"] = o.known
	}
	if o.admin != "" {
		config["admin_addr"] = o.admin
	}
	text, err := json.MarshalIndent(config, "", " ")
	if err != nil {
		return "", err
	}
	path := filepath.Join(o.dir, o.name+".json")
	return path, os.WriteFile(path, text, 0o600)
}

// startProxy starts a proxy as the platform does.
func startProxy(rec *record, o proxyOptions) (*proxy, error) {
	path, err := writeConfig(o)
	if err != nil {
		return nil, err
	}
	run, err := runCommand()
	if err != nil {
		return nil, err
	}
	p := &proxy{rec: rec, name: o.name, listen: o.listen, admin: o.admin, ended: make(chan struct{})}
	p.cmd = exec.Command("/bin/sh", "-c", run)
	p.cmd.Dir = root
	p.cmd.Env = append(os.Environ(), "ROUTER_CONFIG="+path, "ROUTER_NAME="+o.name, "ROUTER_LISTEN="+o.listen, "ROUTER_DISCOVERY="+o.discovery, "TMPDIR="+o.tmp)
	if o.admin != "" {
		p.cmd.Env = append(p.cmd.Env, "ROUTER_ADMIN_ADDR="+o.admin)
	}
	if o.listener != nil {
		p.cmd.ExtraFiles = []*os.File{o.listener, o.listener, o.listener, o.listener, o.listener} // descriptors 3 to 7
		p.cmd.Env = append(p.cmd.Env, "ROUTER_SOCKET_FD=7")
	}
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	out, err := p.cmd.StderrPipe()
	if err != nil {
		return nil, err
	}
	if err := p.cmd.Start(); err != nil {
		return nil, err
	}
	rec.log("proxy %s: started", p.name)
	go func() {
		lines := bufio.NewScanner(out)
		for lines.Scan() {
			rec.log("proxy %s says: %s", p.name, lines.Text())
		}
		p.err = p.cmd.Wait()
		rec.log("proxy %s: ended: %v", p.name, p.err)
		close(p.ended)
	}()
	return p, nil
}

// signal sends a signal to the process.
func (p *proxy) signal(s syscall.Signal) {
	p.rec.log("proxy %s: gets %v", p.name, s)
	_ = p.cmd.Process.Signal(s)
}

// kill ends the process and waits for its end.
func (p *proxy) kill() {
	select {
	case <-p.ended:
		return
	default:
	}
	_ = p.cmd.Process.Kill()
	<-p.ended
}

// hasEnded reports whether the process has ended.
func (p *proxy) hasEnded() bool {
	select {
	case <-p.ended:
		return true
	default:
		return false
	}
}

// ping asks the proxy as the front does and returns its answer.
func ping(address string) string {
	conn, err := net.DialTimeout("tcp", address, 500*time.Millisecond)
	if err != nil {
		return ""
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(500 * time.Millisecond))
	if _, err := conn.Write([]byte("PING\r\n")); err != nil {
		return ""
	}
	line, _ := bufio.NewReader(conn).ReadString('\n')
	return strings.TrimRight(line, "\r\n")
}

// awaitReady waits until the proxy answers PING with PONG.
func awaitReady(address string, within time.Duration) error {
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if ping(address) == "PONG" {
			return nil
		}
	}
	return fmt.Errorf("the proxy at %s is not ready after %v", address, within)
}

// freeAddress returns an address that nobody listens on.
func freeAddress() string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "127.0.0.1:1"
	}
	defer listener.Close()
	return listener.Addr().String()
}
