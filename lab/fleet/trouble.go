package fleet

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"hatchproxy/lab/ledger"
)

// Trouble is an entry of a script: a disturbance with its time and targets.
type Trouble struct {
	Kind         string // one of TroubleKinds
	At, Duration Micros
	Share        float64 // share of the servers, or of what else the kind is about; unused if Targets is set
	Targets      []int   // numbers of the servers, proxies, machines or sites; nil to draw them
	Size         float64 // a factor, a share, a duration or the like, as TroubleKinds says
}

// ScheduledTrouble is a trouble whose targets have been drawn.
type ScheduledTrouble struct {
	Trouble
	ScriptIndex int // the trouble's index in the script
}

// TroubleKinds maps the kinds of trouble to their descriptions, in which SIZE stands for the trouble's Size. The kinds of servers
// and those that begin with "list-", but for list-moved, are carried out by Fleet; the others by the program that runs the proxies
// and agents.
var TroubleKinds = map[string]string{
	"slow":    "the servers are SIZE times slower",
	"hang":    "the servers accept requests and never answer UP",
	"mute":    "the servers fall silent halfway through a line",
	"errors":  "the servers answer a share SIZE of requests with ERR, at once",
	"resets":  "the servers reset a share SIZE of connections when the request arrives",
	"refuse":  "the servers refuse new connections",
	"vanish":  "the servers are unreachable; their connections are reset when the time is over",
	"drop":    "the servers reset a share SIZE of their established connections, once",
	"restart": "the servers crash, and start cold when the time is over",
	"drain":   "the servers drain, and stop when the time is over; they start cold SIZE seconds later, or never if SIZE is 0",
	"store":   "each set-up takes SIZE milliseconds longer, on all servers",

	"list-late":    "discovery shows changes SIZE seconds later",
	"list-frozen":  "discovery shows no changes",
	"list-down":    "discovery answers with status 503",
	"list-garbage": "discovery gives malformed answers",
	"list-crowded": "discovery lets each new call wait for a second and answers with status 503, while others can reach it",

	"list-moved":   "discovery moves to another address; the proxies' configuration is changed, and they get SIGHUP",
	"proxy-stop":   "proxies are paused, and resume when the time is over",
	"proxy-kill":   "proxies are killed, and start again when the time is over",
	"proxy-leave":  "proxies get SIGTERM, and start again when the time is over",
	"proxy-retire": "proxies get SIGTERM, further signals after it, and SIGKILL as early as the protocol allows; they start again when that and the time are over",
	"proxy-series": "proxies get SIGHUP several times, with incomplete configuration files and at last a complete one",
	"way-cut":      "the links between proxies and the servers of the zone with number SIZE silently drop everything",
	"way-reset":    "all connections between proxies and the servers of the zone with number SIZE are reset, once",

	"proxy-crowd": "SIZE idle connections are held to each proxy, and opened anew when they are closed",

	"calls-accept":  "calls of accept fail in proxies, each with probability SIZE, which the kinds below have, too",
	"calls-socket":  "no socket can be created",
	"calls-connect": "connect finds no free address or no route",
	"calls-wait":    "waits are interrupted",
	"calls-copy":    "no descriptor can be duplicated",
	"calls-control": "no descriptor can be added to the poller",
	"calls-open":    "no file can be opened",
	"calls-read":    "reads from sockets are short",
	"calls-write":   "writes to sockets are short",

	"proxy-reload": "proxies get SIGHUP with an unchanged configuration",

	"order-drain":     "the agents are ordered to have the servers drained, and to end that when the time is over",
	"rolling-restart": "all proxies are restarted by their agents, a share SIZE at a time",
	"roll":            "the same, conducted by the agent that holds that duty",

	"fault-cut":        "machines are silently cut off from all others, but still reach their servers",
	"fault-one-way":    "machines receive from the others, but nothing that they send arrives",
	"fault-deaf":       "machines reach the others, but receive nothing",
	"fault-reset":      "as fault-cut, and all connections between machines are reset",
	"fault-slow":       "all links between machines have a delay of 500 ms and lose a fifth of the chunks, which are retransmitted",
	"fault-flap":       "machines are cut off and reconnected in turn, every 300 ms",
	"fault-ring":       "each machine reaches only its two neighbours",
	"fault-site-cut":   "sites are cut off from the others: their machines, and the links of these to the servers of other zones",
	"fault-crash":      "machines crash with all their processes, and start when the time is over",
	"fault-crash-all":  "all machines crash at once, and start one by one during the time",
	"fault-stall":      "machines are paused with all their processes, and resume when the time is over",
	"fault-disk-lost":  "machines crash, and start with empty disks when the time is over",
	"fault-disk-old":   "machines crash when the time is over, and start with their disks as they were when it began",
	"fault-disk-full":  "the disks of machines' agents are full",
	"fault-site-dark":  "all machines and servers of sites stop at once; the servers start cold when the time is over",
	"fault-agent-dead": "machines' agents, but not their instances, are killed, and start again when the time is over",
	"fault-sleep":      "machines' instances, but not their agents, are paused, and resume when the time is over",
	"fault-doze":       "machines' agents, but not their instances, are paused, and resume when the time is over",
	"fault-no-servers": "machines are cut off from all servers, but not from each other",
}

// IsProxyTrouble reports whether a kind is carried out by the program that runs the proxies, and its targets are proxies.
func IsProxyTrouble(kind string) bool {
	return strings.HasPrefix(kind, "proxy-") || strings.HasPrefix(kind, "calls-") || strings.HasPrefix(kind, "way-") || kind == "list-moved"
}

// IsAgentTrouble reports whether a kind is carried out through the agents or on their machines.
func IsAgentTrouble(kind string) bool {
	return kind == "order-drain" || kind == "rolling-restart" || kind == "roll" || strings.HasPrefix(kind, "fault-")
}

// AffectsAll reports whether a kind concerns everything, so that no targets are drawn for it.
func AffectsAll(kind string) bool {
	return kind == "store" || kind == "rolling-restart" || kind == "roll" || kind == "fault-slow" || kind == "fault-ring" || kind == "fault-crash-all"
}

// Schedule draws the targets of a script's troubles and returns these in the order of their times. countFor returns how many targets
// there are for a kind. The same seed gives the same targets. It fails on an unknown kind or a target that doesn't exist.
func Schedule(script []Trouble, countFor func(kind string) int, seed uint64) ([]ScheduledTrouble, error) {
	rng := rand.New(rand.NewPCG(seed, 0x7120b1e))
	scheduled := make([]ScheduledTrouble, 0, len(script))
	for i, t := range script {
		if _, known := TroubleKinds[t.Kind]; !known {
			return nil, fmt.Errorf("trouble %d: %w: %q", i+1, errUnknownTrouble, t.Kind)
		}
		targetCount := countFor(t.Kind)
		switch {
		case strings.HasPrefix(t.Kind, "fault-") && AffectsAll(t.Kind):
			t.Targets = []int{0} // one target, since the fault is made once for all machines
		case t.Targets == nil && !AffectsAll(t.Kind):
			t.Targets = drawNumbers(rng, targetCount, int(math.Ceil(t.Share*float64(targetCount)-1e-9)))
		}
		for _, n := range t.Targets {
			if n < 0 || n >= targetCount {
				return nil, fmt.Errorf("trouble %d: no target has the number %d; there are %d", i+1, n, targetCount)
			}
		}
		scheduled = append(scheduled, ScheduledTrouble{t, i})
	}
	slices.SortStableFunc(scheduled, func(a, b ScheduledTrouble) int { return int(a.At - b.At) })
	return scheduled, nil
}

// String describes the trouble for the event log.
func (s ScheduledTrouble) String() string {
	return fmt.Sprintf("%s (size %g) on %v for %s", s.Kind, s.Size, s.Targets, s.Duration)
}

// BeginTrouble starts a trouble of servers or of discovery.
func (f *Fleet) BeginTrouble(t ScheduledTrouble) error {
	f.recordTrouble(t, "begins")
	switch t.Kind {
	case "store":
		f.setStoreDelay(Micros(t.Size * float64(ledger.Millisecond)))
	case "list-late":
		f.eachDiscovery(func(discovery *DiscoveryServer) { discovery.SetDelay(f.Config.DiscoveryDelay + Micros(t.Size*1e6)) })
	case "list-frozen":
		f.eachDiscovery(func(discovery *DiscoveryServer) { discovery.SetFrozen(true) })
	case "list-down":
		f.eachDiscovery(func(discovery *DiscoveryServer) { discovery.SetFailure("down") })
	case "list-garbage":
		f.eachDiscovery(func(discovery *DiscoveryServer) { discovery.SetFailure("garbage") })
	case "list-crowded":
		f.eachDiscovery(func(discovery *DiscoveryServer) { discovery.SetCrowded(true) })
	default:
		for _, i := range t.Targets {
			if err := f.beginServerTrouble(i, t); err != nil {
				return err
			}
		}
	}
	return nil
}

// EndTrouble ends a trouble that BeginTrouble has started.
func (f *Fleet) EndTrouble(t ScheduledTrouble) error {
	f.recordTrouble(t, "ends")
	switch t.Kind {
	case "store":
		f.setStoreDelay(0)
	case "list-late":
		f.eachDiscovery(func(discovery *DiscoveryServer) { discovery.SetDelay(f.Config.DiscoveryDelay) })
	case "list-frozen":
		f.eachDiscovery(func(discovery *DiscoveryServer) { discovery.SetFrozen(false) })
	case "list-crowded":
		f.eachDiscovery(func(discovery *DiscoveryServer) { discovery.SetCrowded(false) })
	case "list-down", "list-garbage":
		f.eachDiscovery(func(discovery *DiscoveryServer) { discovery.SetFailure("") })
	default:
		for _, i := range t.Targets {
			if err := f.endServerTrouble(i, t); err != nil {
				return err
			}
		}
	}
	return nil
}

// recordTrouble records that a trouble begins or ends.
func (f *Fleet) recordTrouble(t ScheduledTrouble, phase string) {
	f.eventLog.Record(ledger.Event{Kind: ledger.Trouble, Server: ledger.None, Proxy: ledger.None, Product: ledger.None, Note: t.String() + " " + phase})
}

// eachDiscovery calls apply for each discovery server.
func (f *Fleet) eachDiscovery(apply func(*DiscoveryServer)) {
	for _, discovery := range f.discoveryServers {
		apply(discovery)
	}
}

// setStoreDelay sets the time that a slow store adds to each set-up, on all servers.
func (f *Fleet) setStoreDelay(delay Micros) {
	for _, s := range f.Servers {
		s.mu.Lock()
		s.machine.storeDelay = delay
		s.mu.Unlock()
	}
}

// beginServerTrouble starts a trouble at one server, unless the server is down.
func (f *Fleet) beginServerTrouble(i int, t ScheduledTrouble) error {
	s := f.Servers[i]
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return nil
	}
	switch t.Kind {
	case "slow":
		s.machine.slowdown = max(1, t.Size)
	case "hang":
		s.faults.hang = true
	case "mute":
		s.faults.mute = true
	case "errors":
		s.faults.errorShare = t.Size
	case "resets":
		s.faults.resetShare = t.Size
	case "refuse":
		s.closeListeners()
	case "vanish":
		return f.vanish(s)
	case "drop":
		for c := range s.conns {
			if c.established && s.rng.Float64() < t.Size {
				c.end(true)
			}
		}
	case "restart":
		f.crash(s)
		f.publishState(i, stateGone)
	case "drain":
		s.draining = true
		f.publishState(i, stateDraining)
		if f.Config.MovesClientsOnDrain {
			f.moveClients(s, t.Duration)
		}
	}
	return nil
}

// moveClients makes a draining server send MOVE to its clients, spread over the first 80% of a period. Its lock is held.
func (f *Fleet) moveClients(s *Server, period Micros) {
	for c := range s.conns {
		if !c.established {
			continue
		}
		c.afterDelay(Micros(s.rng.Float64()*0.8*float64(period)), func() {
			c.moveClient()
		})
	}
}

// vanish makes a server unreachable without closing its connections. Its lock is held.
func (f *Fleet) vanish(s *Server) error {
	s.faults.vanished = true
	s.closeListeners()
	for c := range s.conns {
		if c.established && !c.silent {
			c.silent = true
			c.record(ledger.ServerSilent, 0, "the server is unreachable")
		}
	}
	var restores []func()
	for _, address := range s.addresses {
		restore, err := blackholeAddress(address)
		if err != nil {
			return err
		}
		restores = append(restores, restore)
	}
	f.restoreAddresses[s.UID] = func() {
		for _, restore := range restores {
			restore()
		}
	}
	return nil
}

// endServerTrouble ends a trouble at one server. A server that has collapsed stays down.
func (f *Fleet) endServerTrouble(i int, t ScheduledTrouble) error {
	s := f.Servers[i]
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.collapsed {
		return nil // a collapsed server stays down
	}
	switch t.Kind {
	case "slow":
		s.machine.slowdown = 1
	case "hang":
		s.faults.hang = false
	case "mute":
		s.faults.mute = false
		for c := range s.conns {
			if c.silent { // the rest of the cut line was not sent, so the connection can't go on
				c.end(true)
			}
		}
	case "errors":
		s.faults.errorShare = 0
	case "resets":
		s.faults.resetShare = 0
	case "refuse":
		if s.down {
			return nil // another trouble has stopped the server
		}
		return s.listenAgain()
	case "vanish":
		s.faults.vanished = false
		f.restoreAddresses[s.UID]()
		delete(f.restoreAddresses, s.UID)
		for c := range s.conns {
			c.end(true)
		}
		return s.listenAgain()
	case "restart":
		return f.startCold(i)
	case "drain":
		s.down = true
		s.closeListeners()
		for c := range s.conns {
			c.end(false)
		}
		f.publishState(i, stateGone)
		if t.Size > 0 {
			time.AfterFunc(Micros(t.Size*1e6).Duration(), func() {
				s.mu.Lock()
				defer s.mu.Unlock()
				select {
				case <-f.stop:
				default:
					_ = f.startCold(i) // on an error, the server stays down and gone from the list
				}
			})
		}
	}
	return nil
}

// startCold starts a stopped server, cold. Its lock is held.
func (f *Fleet) startCold(i int) error {
	s := f.Servers[i]
	if err := s.listenAgain(); err != nil {
		return err
	}
	s.down, s.draining = false, false
	s.machine.Restart(f.eventLog.Now())
	f.publishState(i, stateReady)
	return nil
}
