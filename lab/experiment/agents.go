package experiment

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"hatchproxy/agent"
	"hatchproxy/agent/keeper"
	"hatchproxy/agent/wanted"
	"hatchproxy/lab/fleet"
	"hatchproxy/lab/ledger"
	"hatchproxy/lab/load"
	"hatchproxy/logic"
)

// agents are the agents of a run, which start and keep its proxies.
type agents struct {
	binary    string
	folder    string
	listen    []string
	plans     []string
	instances []*instance
	watching  context.CancelFunc
	watched   sync.WaitGroup

	mu        sync.Mutex
	processes []*exec.Cmd // nil for one that was killed
	order     *load.Series
	unheard   int
	left      int
	failed    int
}

// managedPID is the process that the instance's agent has written down; 0 if there is none.
func (i *instance) managedPID() int {
	text, err := os.ReadFile(i.managed)
	if err != nil {
		return 0
	}
	var p struct{ PID int }
	if json.Unmarshal(text, &p) != nil {
		return 0
	}
	return p.PID
}

// startAgents writes the agents' files, starts them and waits until all proxies are ready.
func (r *run) startAgents() error {
	a := &agents{binary: r.Agent, folder: r.Folder, instances: r.proxies, order: load.NewSeries()}
	r.agents = a
	count := r.Control.Agents
	var logs []string
	for n := range count {
		for _, into := range []*[]string{&a.listen, &logs} {
			at, held, err := reserve(100 + n)
			if err != nil {
				return err
			}
			defer held.Close()
			*into = append(*into, at)
		}
	}
	for n := range count {
		var text strings.Builder
		data := filepath.Join(r.Folder, fmt.Sprintf("a%d", n))
		fmt.Fprintf(&text, "name = \"a%d\"\nlisten = %q\nlog = %q\ndata = %q\n", n, a.listen[n], logs[n], data)
		for m := range count {
			if m != n {
				fmt.Fprintf(&text, "[[peer]]\nname = \"a%d\"\nlisten = %q\nlog = %q\n", m, a.listen[m], logs[m])
			}
		}
		for _, i := range r.proxies {
			if i.number%count != n {
				continue
			}
			i.managed = filepath.Join(data, fmt.Sprintf("n%d.process", i.number))
			fmt.Fprintf(&text, "[[instance]]\nname = \"n%d\"\ncommand = [%q, \"serve\", \"--config\", %q]\ncontrol = %q\n",
				i.number, i.binary, i.configPath(), "unix:"+filepath.Join(r.Folder, fmt.Sprintf("n%d.sock", i.number)))
		}
		path := filepath.Join(r.Folder, fmt.Sprintf("a%d.toml", n))
		if err := os.WriteFile(path, []byte(text.String()), 0o600); err != nil {
			return err
		}
		a.plans = append(a.plans, path)
		a.processes = append(a.processes, nil)
	}
	for n := range count {
		if err := a.start(n); err != nil {
			return err
		}
	}
	ctx, cancel := context.WithCancel(context.Background())
	a.watching = cancel
	for _, i := range r.proxies {
		a.watched.Go(func() { i.watch(ctx) })
	}
	for until := time.Now().Add(readyWithin * 2); ; time.Sleep(20 * time.Millisecond) {
		if slices.IndexFunc(r.proxies, func(i *instance) bool { return !i.isOpen() }) < 0 {
			return nil
		}
		if time.Now().After(until) {
			return fmt.Errorf("the agents have not brought all proxies up:\n%s", tail(filepath.Join(r.Folder, "a0.log"), 10))
		}
	}
}

func (i *instance) isOpen() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.open
}

// watch does for a proxy that is kept by an agent what the platform's front does: it asks whether it is ready, and
// sends nobody to one that is not.
func (i *instance) watch(ctx context.Context) {
	for ctx.Err() == nil {
		open := asked(i.address)
		i.mu.Lock()
		i.open = open
		i.mu.Unlock()
		select {
		case <-time.After(100 * time.Millisecond):
		case <-ctx.Done():
		}
	}
}

func (a *agents) start(n int) error {
	log, err := os.OpenFile(filepath.Join(a.folder, fmt.Sprintf("a%d.log", n)), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command(a.binary, "serve", a.plans[n])
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	a.mu.Lock()
	a.processes[n] = cmd
	a.mu.Unlock()
	return nil
}

func (a *agents) kill(n int) {
	a.mu.Lock()
	cmd := a.processes[n]
	a.processes[n] = nil
	a.mu.Unlock()
	if cmd != nil {
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
	}
}

// stop ends the agents first: they would start again what is ended.
func (a *agents) stop() {
	for n := range a.processes {
		a.kill(n)
	}
	if a.watching != nil {
		a.watching()
	}
	for _, i := range a.instances {
		i.signal(syscall.SIGCONT)
		i.signal(syscall.SIGKILL)
	}
	a.watched.Wait()
}

// each asks one agent after the other until one answers.
func (a *agents) each(ctx context.Context, ask func(context.Context, *agent.Client) error) (err error) {
	for _, at := range a.listen {
		c := agent.Dial(at)
		call, cancel := context.WithTimeout(ctx, 4*time.Second)
		err = ask(call, c)
		cancel()
		c.Close()
		if err == nil {
			return nil
		}
	}
	return err
}

// say has a command agreed on; it is said again, under the same id, until it is.
func (a *agents) say(ctx context.Context, c wanted.Command) (number uint64, err error) {
	for until := time.Now().Add(20 * time.Second); time.Now().Before(until) && ctx.Err() == nil; time.Sleep(30 * time.Millisecond) {
		err = a.each(ctx, func(ctx context.Context, client *agent.Client) error {
			number, err = client.Say(ctx, c)
			return err
		})
		if err == nil {
			return number, nil
		}
	}
	return 0, err
}

func (a *agents) whole(ctx context.Context) (v agent.View, err error) {
	return v, a.each(ctx, func(ctx context.Context, c *agent.Client) error {
		v, err = c.Whole(ctx)
		return err
	})
}

// toAgents does a step with the agents. What takes time goes on beside the script.
func (r *run) toAgents(ctx context.Context, s fleet.Step, ends bool) {
	switch {
	case s.Kind == "agent-kill":
		for _, n := range s.Servers {
			if !ends {
				r.agents.kill(n)
			} else if err := r.agents.start(n); err != nil {
				r.failed(err)
			}
		}
	case s.Kind == "order-drain":
		for _, n := range s.Servers {
			r.busy.Go(func() { r.order(ctx, s, n, ends) })
		}
	case s.Kind == "rolling-restart" && !ends:
		r.busy.Go(func() { r.roll(ctx, s) })
	}
}

// heardWithin is how long instances have to hear an order before it counts as unheard.
const heardWithin = 10 * time.Second

// order gives one and follows it until all instances have heard it.
func (r *run) order(ctx context.Context, s fleet.Step, server int, ends bool) {
	verb, state := wanted.Drain, int64(1)
	if ends {
		verb, state = wanted.Undrain, 0
	}
	uid := r.fleet.Servers[server].UID
	said := logic.Micros(time.Now().UnixMicro())
	number, err := r.agents.say(ctx, wanted.Command{ID: fmt.Sprintf("%s-%d-%d-%d", verb, s.Order, server, r.Seed), Verb: verb, Server: uid, Said: said})
	if err != nil {
		r.agents.mu.Lock()
		r.agents.unheard += len(r.proxies)
		r.agents.mu.Unlock()
		return
	}
	noted := map[string]bool{}
	begin := logic.Micros(r.book.Time(0).UnixMicro())
	for until := time.Now().Add(heardWithin); len(noted) < len(r.proxies) && time.Now().Before(until) && ctx.Err() == nil; time.Sleep(20 * time.Millisecond) {
		v, err := r.agents.whole(ctx)
		if err != nil {
			continue
		}
		for _, i := range v.Instances {
			h := i.Heard[uid]
			if noted[i.Name] || h.Number < number {
				continue
			}
			noted[i.Name] = true
			proxy := ledger.None
			_, _ = fmt.Sscanf(i.Name, "n%d", &proxy)
			if h.Number == number {
				r.book.Write(ledger.Event{At: max(1, ledger.Micros(h.At-begin)), Kind: ledger.Told, Proxy: proxy, Server: server, Product: ledger.None,
					Value: state, Note: ledger.ByOrder})
				r.agents.order.Add(ledger.Micros(h.At - said))
			}
		}
	}
	r.agents.mu.Lock()
	r.agents.unheard += len(r.proxies) - len(noted)
	r.agents.mu.Unlock()
	if ends || ctx.Err() != nil {
		return
	}
	wait := min(8*ledger.Second, s.For-200*ledger.Millisecond)
	select {
	case <-time.After(wait.Span() - time.Since(time.UnixMicro(int64(said)))):
	case <-ctx.Done():
		return
	}
	left := r.fleet.Standing()[server]
	r.agents.mu.Lock()
	r.agents.left = max(r.agents.left, left)
	r.agents.mu.Unlock()
}

// roll starts all proxies anew, a share at a time, each waited for.
func (r *run) roll(ctx context.Context, s fleet.Step) {
	var names []string
	for _, i := range r.proxies {
		names = append(names, fmt.Sprintf("n%d", i.number))
	}
	share := cmp.Or(s.Size, 0.2)
	for some := range slices.Chunk(names, max(1, int(share*float64(len(names))+1e-9))) {
		number, err := r.agents.say(ctx, wanted.Command{ID: fmt.Sprintf("restart-%d-%s-%d", s.Order, some[0], r.Seed), Verb: wanted.Restart, Instances: some})
		if err == nil {
			err = r.awaitRestart(ctx, some, number)
		}
		if err != nil {
			r.tell("rolling restart: %v", err)
			r.agents.mu.Lock()
			r.agents.failed++
			r.agents.mu.Unlock()
			return
		}
	}
	r.tell("all %d are ready again", len(names))
}

func (r *run) awaitRestart(ctx context.Context, names []string, number uint64) error {
	for until := time.Now().Add(30 * time.Second); time.Now().Before(until); time.Sleep(30 * time.Millisecond) {
		if ctx.Err() != nil {
			return ctx.Err()
		}
		v, err := r.agents.whole(ctx)
		if err != nil {
			continue
		}
		good := 0
		for _, i := range v.Instances {
			if slices.Contains(names, i.Name) && i.Restarted >= number && i.State == keeper.Ready {
				good++
			}
		}
		if good == len(names) {
			return nil
		}
	}
	return fmt.Errorf("%v are not ready again", names)
}

// fill sets the figures of the orders.
func (a *agents) fill(f map[string]float64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, q := range []string{"50", "90", "99", "99.9", "100"} {
		var x float64
		_, _ = fmt.Sscan(q, &x)
		f["order-p"+q] = float64(a.order.At(x/100)) / 1000
	}
	f["orders-unheard"], f["drained-left"], f["restarts-failed"] = float64(a.unheard), float64(a.left), float64(a.failed)
}
