// Command hatchproxy runs the load balancer as a proxy on real sockets.
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

// usage is printed for --help and after an unknown command.
const usage = `hatchproxy places long-lived connections on servers.

  hatchproxy serve [--config FILE] [--log-level LEVEL] [--control ADDRESS] [--orders FILE]
                                                          run a proxy until SIGTERM
  hatchproxy serve --conf FILE ...                        the same, with hatchproxy's own configuration file (TOML)
  hatchproxy config check [--config FILE | --conf FILE]   validate the configuration
  hatchproxy config show --conf FILE                      print the configuration with all defaults
  hatchproxy version

The configuration is the file that $ROUTER_CONFIG names. $ROUTER_NAME and $ROUTER_LISTEN override the values in it;
$ROUTER_DISCOVERY is used if the file has no discovery address. On SIGHUP the file is read again; an invalid file is
rejected as a whole. The discovery address and the settings take effect at once for new requests, the listen and admin
addresses and the limits at the next start.

--control unix:PATH, or a loopback address with a port, lets operators query the proxy's status and give it orders; it
is off by default. --orders names a file with a JSON list of orders that apply before the proxy accepts any clients.
`

func main() {
	// Writing to a log whose reader is gone must fail instead of ending the process.
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

// logFlushTimeout limits how long the process waits at its end for the log to be written, as the log's reader may be stuck.
const logFlushTimeout = 200 * time.Millisecond

// run executes a command line.
func run(args []string, out io.Writer) error {
	flags := pflag.NewFlagSet("hatchproxy", pflag.ContinueOnError)
	flags.Usage = func() { fmt.Fprint(out, usage) }
	platformPath := flags.String("config", "", "configuration file, instead of the one that $ROUTER_CONFIG names")
	ownPath := flags.String("conf", "", "hatchproxy's own configuration file (TOML), instead of the platform's")
	level := flags.String("log-level", "", "debug, info, warn or error; if empty, the configuration's level, or info")
	controlAddress := flags.String("control", "", "address of the control API: unix:PATH or a loopback address with a port; off if empty")
	ordersPath := flags.String("orders", "", "file with orders that apply from the start")
	if err := flags.Parse(args); err != nil {
		return err
	}
	command := flags.Args()
	switch {
	case len(command) == 1 && command[0] == "serve":
		return serve(configSource{*platformPath, *ownPath}, *level, *controlAddress, *ordersPath)
	case len(command) == 2 && command[0] == "config" && command[1] == "check":
		config, _, err := configSource{*platformPath, *ownPath}.load()
		if err != nil {
			return err
		}
		listenAddress, discoveryAddress := config.Addresses()
		fmt.Fprintf(out, "%s: good; it would listen on %s and ask %s\n", config.Name(), listenAddress, discoveryAddress)
		return nil
	case len(command) == 2 && command[0] == "config" && command[1] == "show":
		ownConfig, err := conf.Read(*ownPath)
		if err != nil {
			return err
		}
		return toml.NewEncoder(out).Encode(ownConfig)
	case len(command) == 1 && command[0] == "version":
		fmt.Fprintln(out, version())
		return nil
	}
	fmt.Fprint(out, usage)
	return fmt.Errorf("there is no such command: %q", command)
}

// configSource says which file has the configuration: the platform's or hatchproxy's own. If both paths are empty, it is the
// file that the environment names.
type configSource struct{ platformPath, ownPath string }

// load reads and validates the configuration. The file is nil unless it is hatchproxy's own.
func (s configSource) load() (*platformconfig.Config, *conf.File, error) {
	switch {
	case s.ownPath != "" && s.platformPath != "":
		return nil, nil, errors.New("--config and --conf exclude each other")
	case s.ownPath != "":
		file, err := conf.Read(s.ownPath)
		if err != nil {
			return nil, nil, err
		}
		config, err := file.PlatformConfig(rand.Uint64())
		return config, file, err
	case s.platformPath != "":
		config, err := platformconfig.FromFile(s.platformPath, os.Getenv)
		return config, nil, err
	}
	config, err := platformconfig.FromEnvironment(os.Getenv)
	return config, nil, err
}

// version returns the program's version, the Go version and the commit, as far as the build knows them.
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

// serve runs a proxy until it is told to leave. level, controlAddress and ordersPath are the flags' values; the first two
// override the configuration unless they are empty.
func serve(source configSource, level, controlAddress, ordersPath string) error {
	// This comes first because a signal that is not caught ends the process, which SIGHUP must never do.
	leave, reload := make(chan os.Signal, 1), make(chan os.Signal, 1)
	signal.Notify(leave, syscall.SIGTERM, syscall.SIGINT)
	signal.Notify(reload, syscall.SIGHUP)

	config, ownFile, err := source.load()
	if err != nil {
		return err
	}
	if ownFile != nil {
		level, controlAddress = cmp.Or(level, ownFile.Log.Level), cmp.Or(controlAddress, ownFile.Control.Listen)
	}
	var logLevel slog.LevelVar
	if err := logLevel.UnmarshalText([]byte(cmp.Or(level, "info"))); err != nil {
		return fmt.Errorf("--log-level: %w", err)
	}
	logWriter := logging.NewWriter(os.Stderr)
	defer logWriter.Close(logFlushTimeout)
	log := slog.New(slog.NewTextHandler(logWriter, &slog.HandlerOptions{Level: &logLevel}))
	balancer, err := config.NewBalancer()
	if err != nil {
		return err
	}
	cores, memory, _ := config.Resources()
	var openFiles syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &openFiles); err != nil {
		return fmt.Errorf("reading the limit on open descriptors: %w", err)
	}
	sockets, err := config.SocketLimit(openFiles.Cur)
	if err != nil {
		return err
	}
	if memory > 0 && os.Getenv("GOMEMLIMIT") == "" {
		// The rest is for memory that the garbage collector does not manage: thread stacks, kernel buffers, the binary.
		debug.SetMemoryLimit(memory / 10 * 8)
	}
	// One is for the event loop, which occupies it while it waits for sockets, and one for dials, timers and the server list:
	// with a single one, these would wait until the runtime notices that the loop is blocked.
	runtime.GOMAXPROCS(max(2, int(math.Ceil(cores))))

	listenAddress, _ := config.Addresses()
	products, hardLimits := config.Products()
	zones, models := config.ZonesAndModels()
	reloadConfig := func() (proxy.ReloadedConfig, error) {
		fresh, _, err := source.load()
		if err != nil {
			return proxy.ReloadedConfig{}, err
		}
		if err := fresh.CheckReplaces(config); err != nil {
			return proxy.ReloadedConfig{}, err
		}
		balancer, err := fresh.NewBalancer()
		if err != nil {
			return proxy.ReloadedConfig{}, err
		}
		config = fresh
		products, hardLimits := fresh.Products()
		return proxy.ReloadedConfig{Discovery: newDiscoveryClient(fresh), Balancer: balancer, Classes: products, HardLimits: hardLimits,
			DialTimeout: fresh.DialTimeout(), LateThreshold: fresh.LateThreshold(), DelaysReported: fresh.ServersReportDelay(),
			DrainGrace: fresh.DrainGrace(), MaxPollInterval: fresh.MaxPollInterval(), PushedByAgent: fresh.PushedByAgent()}, nil
	}
	log = log.With("proxy", config.Name())
	instance := proxy.New(proxy.Options{Log: log, Balancer: balancer, Listen: listenAddress, Discovery: newDiscoveryClient(config), CachedList: config.KnownServers(),
		Classes: products, HardLimits: hardLimits, Zones: zones, Models: models, DialTimeout: config.DialTimeout(), LateThreshold: config.LateThreshold(),
		MaxDescriptors: sockets})
	instance.SetUnsentLimit(memory / unsentMemoryShare)
	instance.SetListLimits(config.DrainGrace(), config.MaxPollInterval(), config.PushedByAgent())
	initialOrders, err := readOrders(ordersPath)
	if err != nil {
		return err
	}
	instance.Initialize(proxy.Info{Name: config.Name(), Version: version(), ConfigHash: config.Hash(), LogLevel: &logLevel}, initialOrders)
	if config.ServersReportDelay() {
		instance.ExpectDelays()
	}
	if ownFile != nil {
		instance.SetLimiter(ownFile.Limits.NewLimiter(rand.Int64()))
	}
	if controlAddress != "" {
		controlServer, err := control.Start(controlAddress, instance, log)
		if err != nil {
			return err
		}
		defer controlServer.Close()
	}
	if fd := os.Getenv("ROUTER_SOCKET_FD"); fd != "" {
		descriptor, err := strconv.Atoi(fd)
		if err != nil || descriptor < 3 {
			return fmt.Errorf("ROUTER_SOCKET_FD: %.40q is no descriptor", fd)
		}
		if err := instance.InheritListener(descriptor, os.Getenv("TMPDIR")); err != nil {
			return fmt.Errorf("ROUTER_SOCKET_FD: %w", err)
		}
	}
	if address := config.AdminAddress(); address != "" {
		instance.EnableMetrics()
		adminServer, err := admin.Start(address, instance, log)
		if err != nil {
			return err
		}
		defer adminServer.Close()
	}
	return instance.Run(leave, reload, reloadConfig)
}

// readOrders reads the orders with which a proxy starts. If any part of the file is invalid, it returns an error: ignoring an
// order to drain would be worse than a failed start.
func readOrders(path string) ([]orders.Order, error) {
	if path == "" {
		return nil, nil
	}
	text, err := transient.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("--orders: %w", err)
	}
	var list []orders.Order
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&list); err != nil {
		return nil, fmt.Errorf("--orders: %s: %w", path, err)
	}
	return list, nil
}

// unsentMemoryShare is the part of the process's memory, one in so many, that may hold output which peers do not read. A process without
// connections takes 13 MB of the smallest limit, 32 MB.
const unsentMemoryShare = 4

// newDiscoveryClient returns a client of the discovery service that the configuration names.
func newDiscoveryClient(config *platformconfig.Config) *discovery.Client {
	_, address := config.Addresses()
	return discovery.NewClient(address, watchHold(config.MaxPollInterval()))
}

// watchHold returns the longest hold time of a watch, at most a minute. It is the interval within which the list must be asked
// for, so that a service that has stalled is noticed soon after.
func watchHold(pollInterval logic.Micros) time.Duration {
	return min(time.Duration(pollInterval)*time.Microsecond, time.Minute)
}
