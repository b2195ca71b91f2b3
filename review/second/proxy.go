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

// site is a deployment: its settings, as far as the cases need them, come from its site file.
type site struct {
	zones        []string
	group        int // proxies
	attempts     int
	drainGrace   time.Duration
	fallMultiple float64
	fallMS       float64
	coldFrom     float64
	coldMS       float64
	crossPrice   float64
	movePrice    float64
	messageMS    float64
	weights      string
	callTimeout  time.Duration // how long a call to discovery may wait
	products     []map[string]any
}

var (
	qldBookings = site{zones: []string{"brisbane-north", "townsville"}, group: 2, attempts: 6, drainGrace: 2 * time.Second, fallMultiple: 4, fallMS: 3000, coldFrom: 0.3, coldMS: 9000,
		crossPrice: 0.2, movePrice: 0.013, messageMS: 150, weights: "rough", callTimeout: 3 * time.Second, products: []map[string]any{product("slot-watch", 300, 1800)}}
	buurtstroomOost = site{zones: []string{"zwolle", "deventer", "apeldoorn", "kampen", "hengelo"}, group: 5, attempts: 5, drainGrace: 300 * time.Millisecond, fallMultiple: 3, fallMS: 2000,
		coldFrom: 0.13, coldMS: 24000, crossPrice: 0.03, movePrice: 0.015, messageMS: 250, weights: "nominal", callTimeout: time.Second,
		products: []map[string]any{product("opwek-live", 500, 2000), product("saldo-live", 300, 1800)}}
)

// product returns a class of the settings.
func product(name string, quotedMS, limitMS float64) map[string]any {
	return map[string]any{"name": name, "idempotency": "repeatable", "gain": 1.0, "quoted-time-ms": quotedMS, "hard-limit-ms": limitMS, "window-ms": 5000.0, "group": "all", "streaming": true, "tardy-gain": 0.0}
}

// settings returns the settings that a proxy of the site gets.
func (s site) settings() map[string]any {
	aims := make([]float64, len(s.products))
	for i := range aims {
		aims[i] = s.messageMS
	}
	return map[string]any{
		"my-number": 0, "group-size": s.group, "zone": 0, "localities": s.zones, "models": []string{"fast", "slow"},
		"weight-kind": s.weights, "membership-mode": "subscribe", "kind-of-service": "conn", "gain-by": "request", "products": s.products,
		"family-info": map[string]any{"mode": "proxy", "message-aim-ms": aims, "groups": true, "tells-load": true},
		"limits":      map[string]any{"max-dispatches": s.attempts, "dial-timeout-ms": 250.0, "probes": false, "retry-after": false, "may-cancel": true, "max-retry-after-ms": 1000.0},
		"invariants": map[string]any{"ask-within-ms": 10000.0, "start-capacity": s.coldFrom, "cold-ms": s.coldMS, "fall-multiple": s.fallMultiple, "fall-ms": s.fallMS,
			"stop-sending-within-ms": float64(s.drainGrace.Milliseconds()), "answer-slack-ms": 8.0},
		"prices": map[string]any{"cross-zone": s.crossPrice, "moves": s.movePrice},
	}
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
	site                           site
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
		"limits": map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024}, "settings": o.site.settings()}
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
