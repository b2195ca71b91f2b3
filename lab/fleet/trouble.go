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
	Kind    string
	At, For Micros
	Part    float64 // the share of the servers (or proxies); 0 where Servers names them
	Servers []int
	Size    float64 // how many times slower, what share of answers, how many seconds: as the kind has it
}

// Step is a trouble whose servers have been drawn.
type Step struct {
	Trouble
	Order int // in the script
}

// Kinds are the troubles that there are, each with what its size means. Those of a list concern discovery, those of
// a proxy are done by who runs the proxies.
var Kinds = map[string]string{
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

// OfProxies tells whether a kind is for who runs the proxies, and its numbers are theirs.
func OfProxies(kind string) bool {
	return strings.HasPrefix(kind, "proxy-") || strings.HasPrefix(kind, "calls-") || strings.HasPrefix(kind, "way-") || kind == "list-moved"
}

// OfAgents tells whether a kind is for who speaks with the agents.
func OfAgents(kind string) bool {
	return kind == "order-drain" || kind == "rolling-restart" || kind == "roll" || strings.HasPrefix(kind, "fault-")
}

// OfAll tells whether a kind is for all there are, and names none.
func OfAll(kind string) bool {
	return kind == "store" || kind == "rolling-restart" || kind == "roll" || kind == "fault-slow" || kind == "fault-ring" || kind == "fault-crash-all"
}

// Draw draws the servers of a script, of as many as counts tells for its kind: the same seed gives the same steps, in the order of
// time.
func Draw(script []Trouble, counts func(kind string) int, seed uint64) ([]Step, error) {
	rng := rand.New(rand.NewPCG(seed, 0x7120b1e))
	steps := make([]Step, 0, len(script))
	for i, t := range script {
		if _, known := Kinds[t.Kind]; !known {
			return nil, fmt.Errorf("trouble %d: %w: %q", i+1, errKind, t.Kind)
		}
		of := counts(t.Kind)
		switch {
		case strings.HasPrefix(t.Kind, "fault-") && OfAll(t.Kind):
			t.Servers = []int{0} // once, for all
		case t.Servers == nil && !OfAll(t.Kind):
			t.Servers = choose(rng, of, int(math.Ceil(t.Part*float64(of)-1e-9)))
		}
		for _, n := range t.Servers {
			if n < 0 || n >= of {
				return nil, fmt.Errorf("trouble %d: there is no number %d of %d", i+1, n, of)
			}
		}
		steps = append(steps, Step{t, i})
	}
	slices.SortStableFunc(steps, func(a, b Step) int { return int(a.At - b.At) })
	return steps, nil
}

func (s Step) String() string {
	return fmt.Sprintf("%s (size %g) on %v for %s", s.Kind, s.Size, s.Servers, s.For)
}

// Begin lets a trouble begin.
func (f *Fleet) Begin(t Step) error {
	f.mark(t, "begins")
	switch t.Kind {
	case "store":
		f.slowStore(Micros(t.Size * float64(ledger.Millisecond)))
	case "list-late":
		f.fronted(func(front *Front) { front.Late(f.Plan.Notice + Micros(t.Size*1e6)) })
	case "list-frozen":
		f.fronted(func(front *Front) { front.Freeze(true) })
	case "list-down":
		f.fronted(func(front *Front) { front.Break("down") })
	case "list-garbage":
		f.fronted(func(front *Front) { front.Break("garbage") })
	default:
		for _, i := range t.Servers {
			if err := f.afflict(i, t); err != nil {
				return err
			}
		}
	}
	return nil
}

// End ends it.
func (f *Fleet) End(t Step) error {
	f.mark(t, "ends")
	switch t.Kind {
	case "store":
		f.slowStore(0)
	case "list-late":
		f.fronted(func(front *Front) { front.Late(f.Plan.Notice) })
	case "list-frozen":
		f.fronted(func(front *Front) { front.Freeze(false) })
	case "list-down", "list-garbage":
		f.fronted(func(front *Front) { front.Break("") })
	default:
		for _, i := range t.Servers {
			if err := f.relieve(i, t); err != nil {
				return err
			}
		}
	}
	return nil
}

func (f *Fleet) mark(t Step, what string) {
	f.book.Write(ledger.Event{Kind: ledger.Trouble, Server: ledger.None, Proxy: ledger.None, Product: ledger.None, Note: t.String() + " " + what})
}

func (f *Fleet) fronted(how func(*Front)) {
	for _, front := range f.fronts {
		how(front)
	}
}

func (f *Fleet) slowStore(by Micros) {
	for _, s := range f.Servers {
		s.mu.Lock()
		s.machine.store = by
		s.mu.Unlock()
	}
}

func (f *Fleet) afflict(i int, t Step) error {
	s := f.Servers[i]
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return nil
	}
	switch t.Kind {
	case "slow":
		s.machine.slow = max(1, t.Size)
	case "hang":
		s.fault.hang = true
	case "mute":
		s.fault.mute = true
	case "errors":
		s.fault.fails = t.Size
	case "resets":
		s.fault.resets = t.Size
	case "refuse":
		s.shutListeners()
	case "vanish":
		return f.vanish(s)
	case "drop":
		for c := range s.conns {
			if c.stands && s.rng.Float64() < t.Size {
				c.end(true)
			}
		}
	case "restart":
		f.fall(s)
		f.tell(i, gone)
	case "drain":
		s.sitting = true
		f.tell(i, draining)
		if f.Plan.Sheds {
			f.shed(s, t.For)
		}
	}
	return nil
}

// shed has a draining server send its clients away bit by bit over a time. Its lock is held.
func (f *Fleet) shed(s *Server, over Micros) {
	for c := range s.conns {
		if !c.stands {
			continue
		}
		c.later(Micros(s.rng.Float64()*0.8*float64(over)), func() {
			c.sendAway()
		})
	}
}

func (f *Fleet) vanish(s *Server) error {
	s.fault.gone = true
	s.shutListeners()
	for c := range s.conns {
		if c.stands && !c.silent {
			c.silent = true
			c.note(ledger.FellSilent, 0, "its machine has vanished")
		}
	}
	var undo []func()
	for _, at := range s.addresses {
		back, err := vanish(at)
		if err != nil {
			return err
		}
		undo = append(undo, back)
	}
	f.undo[s.UID] = func() {
		for _, back := range undo {
			back()
		}
	}
	return nil
}

func (f *Fleet) relieve(i int, t Step) error {
	s := f.Servers[i]
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.tipped {
		return nil // it stays down
	}
	switch t.Kind {
	case "slow":
		s.machine.slow = 1
	case "hang":
		s.fault.hang = false
	case "mute":
		s.fault.mute = false
		for c := range s.conns {
			if c.silent { // the rest of its line is lost; who still stands here is cut
				c.end(true)
			}
		}
	case "errors":
		s.fault.fails = 0
	case "resets":
		s.fault.resets = 0
	case "refuse":
		if s.down {
			return nil // another trouble has stopped it
		}
		return s.reopen()
	case "vanish":
		s.fault.gone = false
		f.undo[s.UID]()
		delete(f.undo, s.UID)
		for c := range s.conns {
			c.end(true)
		}
		return s.reopen()
	case "restart":
		return f.start(i)
	case "drain":
		s.down = true
		s.shutListeners()
		for c := range s.conns {
			c.end(false)
		}
		f.tell(i, gone)
		if t.Size > 0 {
			time.AfterFunc(Micros(t.Size*1e6).Span(), func() {
				s.mu.Lock()
				defer s.mu.Unlock()
				select {
				case <-f.stop:
				default:
					_ = f.start(i) // an address that is gone leaves the server gone: the list says so
				}
			})
		}
	}
	return nil
}

// start brings a server back, cold. Its lock is held.
func (f *Fleet) start(i int) error {
	s := f.Servers[i]
	if err := s.reopen(); err != nil {
		return err
	}
	s.down, s.sitting = false, false
	s.machine.Restart(f.book.Now())
	f.tell(i, ready)
	return nil
}
