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

// Trouble is a line of a script.
type Trouble struct {
	Kind         string
	At, Duration Micros
	Share        float64 // the share of the servers (or proxies); 0 where Servers names them
	Targets      []int
	Size         float64 // how many times slower, what share of answers, how many seconds: as the kind has it
}

// ScheduledTrouble is a trouble whose servers have been drawn.
type ScheduledTrouble struct {
	Trouble
	ScriptIndex int // in the script
}

// TroubleKinds are the troubles that there are, each with what its size means. Those of a list concern discovery, those of
// a proxy are done by who runs the proxies.
var TroubleKinds = map[string]string{
	"slow":    "the servers are SIZE times slower",
	"hang":    "the servers take lines and never say UP",
	"mute":    "the servers fall silent halfway through a line",
	"errors":  "the servers answer a share SIZE of lines with ERR, at once",
	"resets":  "the servers reset a share SIZE of connections at their line",
	"refuse":  "the servers refuse new connections",
	"vanish":  "the servers take no packets at all; connections end by a reset when they are back",
	"drop":    "the servers reset a share SIZE of the connections that stand there, once",
	"restart": "the servers stop at once, and start cold when the time is over",
	"drain":   "the servers drain for the time, then stop; they are back cold SIZE seconds later, 0 for never",
	"store":   "each set-up takes SIZE milliseconds more, on all servers",

	"list-late":    "discovery tells SIZE seconds later",
	"list-frozen":  "discovery tells no change",
	"list-down":    "discovery answers 503",
	"list-garbage": "discovery answers garbage",

	"list-moved":   "discovery is at another address; the configuration names it, and the proxies get SIGHUP",
	"proxy-stop":   "proxies are stopped, and go on when the time is over",
	"proxy-kill":   "proxies are killed, and start again when the time is over",
	"proxy-leave":  "proxies get SIGTERM, and start again when the time is over",
	"proxy-retire": "proxies get SIGTERM, further signals after it, and SIGKILL at the earliest that the protocol allows; they start again when both are over",
	"proxy-series": "proxies get SIGHUP several times, with configurations that are torn, and whole at last",
	"way-cut":      "nothing passes between proxies and the servers of a zone, whose number is SIZE, in silence",
	"way-reset":    "all connections between proxies and the servers of a zone, whose number is SIZE, are reset, once",

	"proxy-crowd": "SIZE idle connections at each proxy, which come again when they are closed",

	"calls-accept":  "proxies' accepts fail, each with chance SIZE; likewise the kinds below",
	"calls-socket":  "no socket is had",
	"calls-connect": "connect finds no address or no way",
	"calls-wait":    "waits are interrupted",
	"calls-copy":    "no descriptor is duplicated",
	"calls-control": "the poller takes no descriptor",
	"calls-open":    "no file is opened",
	"calls-read":    "reads of sockets bring a part",
	"calls-write":   "writes of sockets take a part",

	"proxy-reload": "proxies get SIGHUP with a configuration that is the same",

	"order-drain":     "the agents are told to have the servers drained, and to undo it when the time is over",
	"rolling-restart": "all proxies are started anew by their agents, a share SIZE at a time",
	"roll":            "the same, carried out by whoever holds that duty",

	"fault-cut":        "machines are cut off from all others, silently; they reach their servers",
	"fault-one-way":    "machines hear the others, and none hears them",
	"fault-deaf":       "the others hear machines that hear none",
	"fault-reset":      "as fault-cut, and all connections between machines are broken off",
	"fault-slow":       "all links between machines are 500 ms late, and a fifth of the pieces sent again",
	"fault-flap":       "machines are cut off and back each 300 ms",
	"fault-ring":       "each machine sees its two neighbours alone",
	"fault-site-cut":   "sites are cut off from the others: machines, and their ways to the servers of other zones",
	"fault-crash":      "machines crash with all that runs there, and are back when the time is over",
	"fault-crash-all":  "all machines crash at once, and are back one by one over the time",
	"fault-stall":      "machines stop with all that runs there, and go on",
	"fault-disk-lost":  "machines crash, and are back with their disks empty",
	"fault-disk-old":   "machines crash at the end, and are back with their disks as they were at the begin",
	"fault-disk-full":  "nothing grows any more on the disks of machines' agents",
	"fault-site-dark":  "all machines and servers of sites stop at once; the servers are back cold",
	"fault-agent-dead": "machines' agents are killed and not their instances, and start again when the time is over",
	"fault-sleep":      "machines' instances stop and not their agents, and go on",
	"fault-doze":       "machines' agents stop and not their instances, and go on",
	"fault-no-servers": "machines are cut off from all servers, and not from each other",
}

// IsProxyTrouble tells whether a kind is for who runs the proxies, and its numbers are theirs.
func IsProxyTrouble(kind string) bool {
	return strings.HasPrefix(kind, "proxy-") || strings.HasPrefix(kind, "calls-") || strings.HasPrefix(kind, "way-") || kind == "list-moved"
}

// IsAgentTrouble tells whether a kind is for who speaks with the agents.
func IsAgentTrouble(kind string) bool {
	return kind == "order-drain" || kind == "rolling-restart" || kind == "roll" || strings.HasPrefix(kind, "fault-")
}

// AffectsAll tells whether a kind is for all there are, and names none.
func AffectsAll(kind string) bool {
	return kind == "store" || kind == "rolling-restart" || kind == "roll" || kind == "fault-slow" || kind == "fault-ring" || kind == "fault-crash-all"
}

// Schedule draws the servers of a script, of as many as counts tells for its kind: the same seed gives the same steps, in the order of
// time.
func Schedule(script []Trouble, counts func(kind string) int, seed uint64) ([]ScheduledTrouble, error) {
	rng := rand.New(rand.NewPCG(seed, 0x7120b1e))
	steps := make([]ScheduledTrouble, 0, len(script))
	for i, t := range script {
		if _, known := TroubleKinds[t.Kind]; !known {
			return nil, fmt.Errorf("trouble %d: %w: %q", i+1, errUnknownTrouble, t.Kind)
		}
		of := counts(t.Kind)
		switch {
		case strings.HasPrefix(t.Kind, "fault-") && AffectsAll(t.Kind):
			t.Targets = []int{0} // once, for all
		case t.Targets == nil && !AffectsAll(t.Kind):
			t.Targets = drawNumbers(rng, of, int(math.Ceil(t.Share*float64(of)-1e-9)))
		}
		for _, n := range t.Targets {
			if n < 0 || n >= of {
				return nil, fmt.Errorf("trouble %d: there is no number %d of %d", i+1, n, of)
			}
		}
		steps = append(steps, ScheduledTrouble{t, i})
	}
	slices.SortStableFunc(steps, func(a, b ScheduledTrouble) int { return int(a.At - b.At) })
	return steps, nil
}

func (s ScheduledTrouble) String() string {
	return fmt.Sprintf("%s (size %g) on %v for %s", s.Kind, s.Size, s.Targets, s.Duration)
}

// BeginTrouble lets a trouble begin.
func (f *Fleet) BeginTrouble(t ScheduledTrouble) error {
	f.recordTrouble(t, "begins")
	switch t.Kind {
	case "store":
		f.setStoreDelay(Micros(t.Size * float64(ledger.Millisecond)))
	case "list-late":
		f.eachDiscovery(func(front *DiscoveryServer) { front.SetDelay(f.Config.DiscoveryDelay + Micros(t.Size*1e6)) })
	case "list-frozen":
		f.eachDiscovery(func(front *DiscoveryServer) { front.SetFrozen(true) })
	case "list-down":
		f.eachDiscovery(func(front *DiscoveryServer) { front.SetFailure("down") })
	case "list-garbage":
		f.eachDiscovery(func(front *DiscoveryServer) { front.SetFailure("garbage") })
	default:
		for _, i := range t.Targets {
			if err := f.beginServerTrouble(i, t); err != nil {
				return err
			}
		}
	}
	return nil
}

// EndTrouble ends it.
func (f *Fleet) EndTrouble(t ScheduledTrouble) error {
	f.recordTrouble(t, "ends")
	switch t.Kind {
	case "store":
		f.setStoreDelay(0)
	case "list-late":
		f.eachDiscovery(func(front *DiscoveryServer) { front.SetDelay(f.Config.DiscoveryDelay) })
	case "list-frozen":
		f.eachDiscovery(func(front *DiscoveryServer) { front.SetFrozen(false) })
	case "list-down", "list-garbage":
		f.eachDiscovery(func(front *DiscoveryServer) { front.SetFailure("") })
	default:
		for _, i := range t.Targets {
			if err := f.endServerTrouble(i, t); err != nil {
				return err
			}
		}
	}
	return nil
}

func (f *Fleet) recordTrouble(t ScheduledTrouble, what string) {
	f.eventLog.Record(ledger.Event{Kind: ledger.Trouble, Server: ledger.None, Proxy: ledger.None, Product: ledger.None, Note: t.String() + " " + what})
}

func (f *Fleet) eachDiscovery(how func(*DiscoveryServer)) {
	for _, front := range f.discoveryServers {
		how(front)
	}
}

func (f *Fleet) setStoreDelay(by Micros) {
	for _, s := range f.Servers {
		s.mu.Lock()
		s.machine.storeDelay = by
		s.mu.Unlock()
	}
}

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

// moveClients has a draining server send its clients away bit by bit over a time. Its lock is held.
func (f *Fleet) moveClients(s *Server, over Micros) {
	for c := range s.conns {
		if !c.established {
			continue
		}
		c.afterDelay(Micros(s.rng.Float64()*0.8*float64(over)), func() {
			c.moveClient()
		})
	}
}

func (f *Fleet) vanish(s *Server) error {
	s.faults.vanished = true
	s.closeListeners()
	for c := range s.conns {
		if c.established && !c.silent {
			c.silent = true
			c.record(ledger.ServerSilent, 0, "its machine has vanished")
		}
	}
	var undo []func()
	for _, at := range s.addresses {
		back, err := blackholeAddress(at)
		if err != nil {
			return err
		}
		undo = append(undo, back)
	}
	f.restoreAddresses[s.UID] = func() {
		for _, back := range undo {
			back()
		}
	}
	return nil
}

func (f *Fleet) endServerTrouble(i int, t ScheduledTrouble) error {
	s := f.Servers[i]
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.collapsed {
		return nil // it stays down
	}
	switch t.Kind {
	case "slow":
		s.machine.slowdown = 1
	case "hang":
		s.faults.hang = false
	case "mute":
		s.faults.mute = false
		for c := range s.conns {
			if c.silent { // the rest of its line is lost; who still stands here is cut
				c.end(true)
			}
		}
	case "errors":
		s.faults.errorShare = 0
	case "resets":
		s.faults.resetShare = 0
	case "refuse":
		if s.down {
			return nil // another trouble has stopped it
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
					_ = f.startCold(i) // an address that is gone leaves the server gone: the list says so
				}
			})
		}
	}
	return nil
}

// startCold brings a server back, cold. Its lock is held.
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
