package chaos

import (
	"context"
	"errors"
	"fmt"
	"math/rand"
	"slices"
	"sync"
	"time"

	"hatchproxy/lab/links"
)

// Kind is a kind of fault.
type Kind string

const (
	Cut      Kind = "cut"       // a machine from all others, silently
	OneWay   Kind = "one-way"   // a machine hears the others, and none hears it
	Deaf     Kind = "deaf"      // the others hear it, and it hears none
	Reset    Kind = "reset"     // as cut, and all its connections are broken off
	Slow     Kind = "slow"      // all links: 500 ms and 20% of the pieces sent again
	Flap     Kind = "flap"      // a machine is cut off and back each 300 ms
	Ring     Kind = "ring"      // each sees its two neighbours alone
	SiteCut  Kind = "site-cut"  // a site from the others
	Crash    Kind = "crash"     // a machine, and back with its disk
	CrashAll Kind = "crash-all" // all within 50 ms, and back one by one
	Stall    Kind = "stall"     // a machine stops and goes on
	DiskLost Kind = "disk-lost" // a machine, and back with its disk empty
	DiskOld  Kind = "disk-old"  // a machine, and back with its disk as it was at the fault's begin
	DiskFull Kind = "disk-full" // nothing grows any more on the disk of a machine's agent; one that ends by that is started again after
	Doze     Kind = "doze"      // a machine's agent stops and goes on, and not its instances
	SiteDark Kind = "site-dark" // all machines of a site crash in one instant, and are back with their disks

	// These need instances.
	KillAgent Kind = "agent-dead" // a machine's agent, and not its instances
	Sleep     Kind = "sleep"      // a machine's instances stop and go on, and not its agent
	NoServers Kind = "no-servers" // a machine from all servers; its agent sees the others
)

// Kinds are those that agents without instances can suffer, in the order of their drawing; WithInstances are the others.
var (
	Kinds         = []Kind{Cut, OneWay, Deaf, Reset, Slow, Flap, Ring, SiteCut, Crash, CrashAll, Stall, DiskLost, DiskOld, DiskFull, SiteDark, Doze}
	WithInstances = []Kind{KillAgent, Sleep, NoServers}
)

// OfSite tells whether a kind's number is a site's.
func (k Kind) OfSite() bool { return k == SiteCut || k == SiteDark }

// Fault is one with its time.
type Fault struct {
	Kind    Kind
	At, For time.Duration
	On      int // machine, or site; or one of the numbers below
}

// OfLeader and OfHolder stand for the machine whose agent leads, or holds a duty, when the fault begins.
const (
	OfLeader = -1
	OfHolder = -2
)

func (f Fault) String() string {
	return fmt.Sprintf("%-9s on %d from %v for %v", f.Kind, f.On, f.At.Round(time.Millisecond), f.For.Round(time.Millisecond))
}

const (
	// shortest and longest are how long a fault lasts: from under the log's election time, 0.3 s, to several of them.
	shortest, longest = 100 * time.Millisecond, 2500 * time.Millisecond
	// apart is how far apart two begin at most; they overlap.
	apart = 1200 * time.Millisecond
)

// Draw draws faults by a seed. A disk is lost once at most: two of three lost need an operator, and that is no breach.
func Draw(seed int64, faults, agents, sites int, kinds []Kind) []Fault {
	rng := rand.New(rand.NewSource(seed))
	var drawn []Fault
	at, lost := 200*time.Millisecond, false
	for range faults {
		k := kinds[rng.Intn(len(kinds))]
		if (k == DiskLost || k == DiskOld) && lost {
			k = Crash
		}
		lost = lost || k == DiskLost || k == DiskOld
		on := rng.Intn(agents)
		if k.OfSite() {
			on = rng.Intn(sites)
		}
		at += time.Duration(rng.Int63n(int64(apart)))
		drawn = append(drawn, Fault{k, at, shortest + time.Duration(rng.Int63n(int64(longest-shortest))), on})
	}
	return drawn
}

// ways is how faults add up: a direction is cut while any fault cuts it.
type ways struct {
	m    *Machines
	mu   sync.Mutex
	net  *links.Net
	cuts map[[2]string]int
	slow int
	all  []string // machines
	far  []string // the servers of the zones
	told func(a, zone int, cut bool)
}

func (w *ways) change(cut [][2]string, by, slow int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.slow += slow
	for _, way := range cut {
		was := w.cuts[way] > 0
		w.cuts[way] += by
		if z := slices.Index(w.far, way[1]); z >= 0 && w.told != nil && was != (w.cuts[way] > 0) {
			w.told(slices.Index(w.all, way[0]), z, !was)
		}
	}
	for i, a := range w.all {
		for k, b := range w.all {
			if a == b {
				continue
			}
			t := links.Trouble{Cut: w.cuts[[2]string{a, b}] > 0}
			if w.m.site(i) != w.m.site(k) {
				t.Delay, t.Jitter = w.m.Between, w.m.Between/10
			}
			if w.slow > 0 {
				t.Delay, t.Lost = 500*time.Millisecond, 0.2
			}
			w.net.Set(a, b, t)
		}
		for _, z := range w.far {
			w.net.Set(a, z, links.Trouble{Cut: w.cuts[[2]string{a, z}] > 0})
			w.net.Set(z, a, links.Trouble{Cut: w.cuts[[2]string{z, a}] > 0})
		}
	}
}

// cut lists the directions that a fault cuts.
func (m *Machines) cut(f Fault) (cut [][2]string) {
	n := len(m.names)
	for a := range n {
		for b := range n {
			hit := false
			switch f.Kind {
			case Cut, Reset, Flap:
				hit = a == f.On || b == f.On
			case OneWay:
				hit = a == f.On
			case Deaf:
				hit = b == f.On
			case SiteCut:
				hit = m.site(a) == f.On != (m.site(b) == f.On)
			case Ring:
				hit = n > 3 && (a-b+n)%n != 1 && (b-a+n)%n != 1
			}
			if hit && a != b {
				cut = append(cut, [2]string{m.names[a], m.names[b]})
			}
		}
		for z := range m.Sites {
			if f.Kind == SiteCut && m.site(a) == f.On != (z == f.On) || f.Kind == NoServers && a == f.On {
				cut = append(cut, [2]string{m.names[a], zone(z)}, [2]string{zone(z), m.names[a]})
			}
		}
	}
	return cut
}

// suffer plays one fault from its begin to its end.
func (m *Machines) suffer(ctx context.Context, f Fault) error {
	w := m.ways
	rest := func(d time.Duration) {
		select {
		case <-time.After(d):
		case <-ctx.Done():
		}
	}
	switch f.Kind {
	case Slow:
		w.change(nil, 0, 1)
		rest(f.For)
		w.change(nil, 0, -1)
	case Flap:
		for end := time.Now().Add(f.For); time.Now().Before(end) && ctx.Err() == nil; rest(300 * time.Millisecond) {
			w.change(m.cut(f), 1, 0)
			rest(300 * time.Millisecond)
			w.change(m.cut(f), -1, 0)
		}
	case Crash, DiskLost:
		m.Crash(f.On)
		if f.Kind == DiskLost {
			if err := m.LoseDisk(f.On); err != nil {
				return err
			}
		}
		rest(f.For)
		return m.Start(f.On)
	case DiskOld:
		if err := m.KeepDisk(f.On); err != nil {
			return err
		}
		rest(f.For)
		m.Crash(f.On)
		if err := m.SetBackDisk(f.On); err != nil {
			return err
		}
		return m.Start(f.On)
	case CrashAll, SiteDark:
		var all []int
		for a := range m.names {
			if f.Kind == CrashAll || m.site(a) == f.On {
				all = append(all, a)
				m.Crash(a)
			}
		}
		for _, a := range all {
			if f.Kind == CrashAll {
				rest(f.For / time.Duration(len(all)))
			} else if a == all[0] {
				rest(f.For)
			}
			if err := m.Start(a); err != nil {
				return err
			}
		}
	case Stall:
		m.Stall(f.On)
		rest(f.For)
		m.Wake(f.On)
	case Doze:
		m.Doze(f.On)
		rest(f.For)
		m.Wake(f.On)
	case Sleep:
		m.StallInstances(f.On)
		rest(f.For)
		m.Wake(f.On)
	case KillAgent:
		m.Kill(f.On)
		rest(f.For)
		return m.Start(f.On)
	case DiskFull:
		if err := m.FillDisk(f.On); err != nil {
			return err
		}
		rest(f.For)
		return errors.Join(m.Room(f.On), m.Start(f.On))
	default:
		w.change(m.cut(f), 1, 0)
		if f.Kind == Reset {
			for _, other := range m.names {
				m.Net.Reset(m.names[f.On], other)
			}
		}
		rest(f.For)
		w.change(m.cut(f), -1, 0)
	}
	return nil
}
