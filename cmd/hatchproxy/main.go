// Command hatchproxy is the balancer on real sockets.
package main

import (
	"bytes"
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math"
	"math/rand/v2"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"strconv"
	"syscall"
	"time"

	"github.com/pelletier/go-toml/v2"
	"github.com/spf13/pflag"

	"hatchproxy/conf"
	"hatchproxy/internal/admin"
	"hatchproxy/internal/control"
	"hatchproxy/internal/discovery"
	"hatchproxy/internal/logging"
	"hatchproxy/internal/platformconfig"
	"hatchproxy/internal/proxy"
	"hatchproxy/internal/transient"
	"hatchproxy/logic"
	"hatchproxy/orders"
)

const usage = `hatchproxy places long-lived connections on servers.

  hatchproxy serve [--config FILE] [--log-level LEVEL] [--control ADDRESS] [--orders FILE]
                                                          run one proxy, until SIGTERM
  hatchproxy serve --conf FILE ...                        the same, with the product's own configuration (TOML)
  hatchproxy config check [--config FILE | --conf FILE]   read the configuration and say what is wrong with it
  hatchproxy config show --conf FILE                      what holds in the end, with what the file leaves out
  hatchproxy version

The configuration is the file that $ROUTER_CONFIG names; $ROUTER_NAME and $ROUTER_LISTEN go before what stands in
it, $ROUTER_DISCOVERY counts where it names none. On SIGHUP the file is read again and counts whole or not at all:
discovery's address and the settings hold for what comes from then on, the addresses and limits from the next start on.

--control unix:PATH, or a loopback address with a port, lets operators ask what the proxy sees and give it orders; it
is off by default. --orders names a file of orders, a JSON list, that the proxy obeys before it takes any work.
`

func main() {
	// A write to a log that nobody reads any more fails, and does not end the process.
	signal.Ignore(syscall.SIGPIPE)
	err := run(os.Args[1:], os.Stdout)
	if errors.Is(err, pflag.ErrHelp) {
		return
	}
	if err != nil {
		last := logging.NewWriter(os.Stderr)
		fmt.Fprintln(last, "hatchproxy:", err)
		last.Close(logFlushTimeout)
		os.Exit(1)
	}
}

// logFlushTimeout is how long the end waits for the log to be written: a log that nobody reads must not keep the process.
const logFlushTimeout = 200 * time.Millisecond

func run(args []string, out io.Writer) error {
	flags := pflag.NewFlagSet("hatchproxy", pflag.ContinueOnError)
	flags.Usage = func() { fmt.Fprint(out, usage) }
	file := flags.String("config", "", "the configuration, instead of the one that $ROUTER_CONFIG names")
	own := flags.String("conf", "", "the product's own configuration, instead of the platform's")
	level := flags.String("log-level", "", "debug, info, warn or error; info if neither this nor the configuration says")
	surface := flags.String("control", "", "where operators reach this proxy: unix:PATH or a loopback address; off if empty")
	held := flags.String("orders", "", "a file of orders that are obeyed from the start")
	if err := flags.Parse(args); err != nil {
		return err
	}
	words := flags.Args()
	switch {
	case len(words) == 1 && words[0] == "serve":
		return serve(configSource{*file, *own}, *level, *surface, *held)
	case len(words) == 2 && words[0] == "config" && words[1] == "check":
		paper, _, err := configSource{*file, *own}.load()
		if err != nil {
			return err
		}
		listen, list := paper.Addresses()
		fmt.Fprintf(out, "%s: good; it would listen on %s and ask %s\n", paper.Name(), listen, list)
		return nil
	case len(words) == 2 && words[0] == "config" && words[1] == "show":
		f, err := conf.Read(*own)
		if err != nil {
			return err
		}
		return toml.NewEncoder(out).Encode(f)
	case len(words) == 1 && words[0] == "version":
		fmt.Fprintln(out, version())
		return nil
	}
	fmt.Fprint(out, usage)
	return fmt.Errorf("there is no such command: %q", words)
}

// configSource is where the configuration is had: the platform's file, or the product's own.
type configSource struct{ platformPath, ownPath string }

// load reads it; the second is nil for the platform's.
func (s configSource) load() (*platformconfig.Config, *conf.File, error) {
	switch {
	case s.ownPath != "" && s.platformPath != "":
		return nil, nil, errors.New("--config and --conf: one of them")
	case s.ownPath != "":
		f, err := conf.Read(s.ownPath)
		if err != nil {
			return nil, nil, err
		}
		paper, err := f.PlatformConfig(rand.Uint64())
		return paper, f, err
	case s.platformPath != "":
		paper, err := platformconfig.FromFile(s.platformPath, os.Getenv)
		return paper, nil, err
	}
	paper, err := platformconfig.FromEnvironment(os.Getenv)
	return paper, nil, err
}

func version() string {
	info, known := debug.ReadBuildInfo()
	if !known {
		return "hatchproxy (unknown build)"
	}
	text := "hatchproxy " + info.Main.Version + " " + info.GoVersion
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" {
			text += " " + s.Value
		}
	}
	return text
}

func serve(from configSource, level, surface, held string) error {
	// Before all else: a signal that is not caught yet ends the program, and SIGHUP must never.
	leave, again := make(chan os.Signal, 1), make(chan os.Signal, 1)
	signal.Notify(leave, syscall.SIGTERM, syscall.SIGINT)
	signal.Notify(again, syscall.SIGHUP)

	paper, own, err := from.load()
	if err != nil {
		return err
	}
	if own != nil {
		level, surface = cmp.Or(level, own.Log.Level), cmp.Or(surface, own.Control.Listen)
	}
	var lowest slog.LevelVar
	if err := lowest.UnmarshalText([]byte(cmp.Or(level, "info"))); err != nil {
		return fmt.Errorf("--log-level: %w", err)
	}
	written := logging.NewWriter(os.Stderr)
	defer written.Close(logFlushTimeout)
	log := slog.New(slog.NewTextHandler(written, &slog.HandlerOptions{Level: &lowest}))
	b, err := paper.NewBalancer()
	if err != nil {
		return err
	}
	cores, memory, _ := paper.Resources()
	var open syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &open); err != nil {
		return fmt.Errorf("how many descriptors may be open: %w", err)
	}
	sockets, err := paper.SocketLimit(open.Cur)
	if err != nil {
		return err
	}
	if memory > 0 && os.Getenv("GOMEMLIMIT") == "" {
		// The rest is for what the collector does not see: stacks of threads, the kernel's buffers, the binary.
		debug.SetMemoryLimit(memory / 10 * 8)
	}
	// One for the loop, which holds it while it waits for sockets, and one for dials, timers and the list:
	// with a single one these would wait until the runtime notices that the loop sleeps.
	runtime.GOMAXPROCS(max(2, int(math.Ceil(cores))))

	listen, _ := paper.Addresses()
	products, limits := paper.Products()
	zones, models := paper.ZonesAndModels()
	reread := func() (proxy.ReloadedConfig, error) {
		fresh, _, err := from.load()
		if err != nil {
			return proxy.ReloadedConfig{}, err
		}
		if err := fresh.CheckReplaces(paper); err != nil {
			return proxy.ReloadedConfig{}, err
		}
		rules, err := fresh.NewBalancer()
		if err != nil {
			return proxy.ReloadedConfig{}, err
		}
		paper = fresh
		products, limits := fresh.Products()
		return proxy.ReloadedConfig{Discovery: newDiscoveryClient(fresh), Balancer: rules, Classes: products, HardLimits: limits,
			DialTimeout: fresh.DialTimeout(), LateThreshold: fresh.LateMessageDelay(), DelaysReported: fresh.ServersReportDelay(),
			DrainGrace: fresh.DrainGrace(), MaxPollInterval: fresh.ListPollInterval(), PushedByAgent: fresh.ListPushed()}, nil
	}
	log = log.With("proxy", paper.Name())
	p := proxy.New(proxy.Options{Log: log, Balancer: b, Listen: listen, Discovery: newDiscoveryClient(paper), CachedList: paper.KnownServers(),
		Classes: products, HardLimits: limits, Zones: zones, Models: models, DialTimeout: paper.DialTimeout(), LateThreshold: paper.LateMessageDelay(),
		MaxDescriptors: sockets})
	p.SetListLimits(paper.DrainGrace(), paper.ListPollInterval(), paper.ListPushed())
	first, err := readOrders(held)
	if err != nil {
		return err
	}
	p.Initialize(proxy.Info{Name: paper.Name(), Version: version(), ConfigChecksum: paper.Hash(), LogLevel: &lowest}, first)
	if paper.ServersReportDelay() {
		p.ExpectDelays()
	}
	if own != nil {
		p.SetLimiter(own.Limits.NewLimiter(rand.Int64()))
	}
	if surface != "" {
		c, err := control.Start(surface, p, log)
		if err != nil {
			return err
		}
		defer c.Close()
	}
	if fd := os.Getenv("ROUTER_SOCKET_FD"); fd != "" {
		n, err := strconv.Atoi(fd)
		if err != nil || n < 3 {
			return fmt.Errorf("ROUTER_SOCKET_FD: %.40q is no descriptor", fd)
		}
		if err := p.InheritListener(n, os.Getenv("TMPDIR")); err != nil {
			return fmt.Errorf("ROUTER_SOCKET_FD: %w", err)
		}
	}
	if at := paper.AdminAddress(); at != "" {
		p.EnableMetrics()
		a, err := admin.Start(at, p, log)
		if err != nil {
			return err
		}
		defer a.Close()
	}
	return p.Run(leave, again, reread)
}

// readOrders reads the orders with which a proxy starts. A file that is wrong anywhere is refused whole: a drain that is
// not heard is worse than a start that fails.
func readOrders(path string) ([]orders.Order, error) {
	if path == "" {
		return nil, nil
	}
	text, err := transient.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("--orders: %w", err)
	}
	var found []orders.Order
	d := json.NewDecoder(bytes.NewReader(text))
	d.DisallowUnknownFields()
	if err := d.Decode(&found); err != nil {
		return nil, fmt.Errorf("--orders: %s: %w", path, err)
	}
	return found, nil
}

// newDiscoveryClient is where a configuration says that the list of servers is had.
func newDiscoveryClient(paper *platformconfig.Config) *discovery.Client {
	_, list := paper.Addresses()
	return discovery.NewClient(list, watchHold(paper.ListPollInterval()))
}

// watchHold is how long a watch may wait: the span within which the list must be asked for, so that a service that
// has fallen silent is noticed soon after.
func watchHold(within logic.Micros) time.Duration {
	return min(time.Duration(within)*time.Microsecond, time.Minute)
}
