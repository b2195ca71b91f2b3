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
	Cut            Kind = "cut"       // a machine from all others, silently
	OutboundCut    Kind = "one-way"   // a machine hears the others, and none hears it
	InboundCut     Kind = "deaf"      // the others hear it, and it hears none
	Reset          Kind = "reset"     // as cut, and all its connections are broken off
	SlowLinks      Kind = "slow"      // all links: 500 ms and 20% of the pieces sent again
	Flap           Kind = "flap"      // a machine is cut off and back each 300 ms
	NeighborsOnly  Kind = "ring"      // each sees its two neighbours alone
	SiteCut        Kind = "site-cut"  // a site from the others
	Crash          Kind = "crash"     // a machine, and back with its disk
	CrashAll       Kind = "crash-all" // all within 50 ms, and back one by one
	MachinePause   Kind = "stall"     // a machine stops and goes on
	DiskLost       Kind = "disk-lost" // a machine, and back with its disk empty
	DiskRolledBack Kind = "disk-old"  // a machine, and back with its disk as it was at the fault's begin
	DiskFull       Kind = "disk-full" // nothing grows any more on the disk of a machine's agent; one that ends by that is started again after
	AgentPause     Kind = "doze"      // a machine's agent stops and goes on, and not its instances
	SiteCrash      Kind = "site-dark" // all machines of a site crash in one instant, and are back with their disks

	// These need instances.
	AgentKill     Kind = "agent-dead" // a machine's agent, and not its instances
	InstancePause Kind = "sleep"      // a machine's instances stop and go on, and not its agent
	NoServers     Kind = "no-servers" // a machine from all servers; its agent sees the others
)

// Kinds are those that agents without instances can suffer, in the order of their drawing; WithInstances are the others.
var (
	AgentKinds    = []Kind{Cut, OutboundCut, InboundCut, Reset, SlowLinks, Flap, NeighborsOnly, SiteCut, Crash, CrashAll, MachinePause, DiskLost, DiskRolledBack, DiskFull, SiteCrash, AgentPause}
	InstanceKinds = []Kind{AgentKill, InstancePause, NoServers}
)

// TargetsSite tells whether a kind's number is a site's.
func (k Kind) TargetsSite() bool { return k == SiteCut || k == SiteCrash }

// Fault is one with its time.
type Fault struct {
	Kind         Kind
	At, Duration time.Duration
	Target       int // machine, or site; or one of the numbers below
}

// OfLeader and OfHolder stand for the machine whose agent leads, or holds a duty, when the fault begins.
const (
	TargetLeader = -1
	TargetHolder = -2
)

func (f Fault) String() string {
	return fmt.Sprintf("%-9s on %d from %v for %v", f.Kind, f.Target, f.At.Round(time.Millisecond), f.Duration.Round(time.Millisecond))
}

const (
	// minFaultDuration and longest are how long a fault lasts: from under the log's election time, 0.3 s, to several of them.
	minFaultDuration, maxFaultDuration = 100 * time.Millisecond, 2500 * time.Millisecond
	// maxFaultInterval is how far apart two begin at most; they overlap.
	maxFaultInterval = 1200 * time.Millisecond
)

// DrawSchedule draws faults by a seed. A disk is lost once at most: two of three lost need an operator, and that is no breach.
func DrawSchedule(seed int64, faults, agents, sites int, kinds []Kind) []Fault {
	rng := rand.New(rand.NewSource(seed))
	var drawn []Fault
	at, lost := 200*time.Millisecond, false
	for range faults {
		k := kinds[rng.Intn(len(kinds))]
		if (k == DiskLost || k == DiskRolledBack) && lost {
			k = Crash
		}
		lost = lost || k == DiskLost || k == DiskRolledBack
		on := rng.Intn(agents)
		if k.TargetsSite() {
			on = rng.Intn(sites)
		}
		at += time.Duration(rng.Int63n(int64(maxFaultInterval)))
		drawn = append(drawn, Fault{k, at, minFaultDuration + time.Duration(rng.Int63n(int64(maxFaultDuration-minFaultDuration))), on})
	}
	return drawn
}

// linkFaults is how faults add up: a direction is cut while any fault cuts it.
type linkFaults struct {
	cluster            *Cluster
	mu                 sync.Mutex
	network            *links.Network
	cutCounts          map[[2]string]int
	slowCount          int
	machineNames       []string // machines
	zoneNames          []string // the servers of the zones
	onServerLinkChange func(a, zone int, cut bool)
}

func (w *linkFaults) update(cut [][2]string, by, slow int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.slowCount += slow
	for _, way := range cut {
		was := w.cutCounts[way] > 0
		w.cutCounts[way] += by
		if z := slices.Index(w.zoneNames, way[1]); z >= 0 && w.onServerLinkChange != nil && was != (w.cutCounts[way] > 0) {
			w.onServerLinkChange(slices.Index(w.machineNames, way[0]), z, !was)
		}
	}
	for i, a := range w.machineNames {
		for k, b := range w.machineNames {
			if a == b {
				continue
			}
			t := links.Impairment{Cut: w.cutCounts[[2]string{a, b}] > 0}
			if w.cluster.siteOf(i) != w.cluster.siteOf(k) {
				t.Delay, t.Jitter = w.cluster.InterSiteDelay, w.cluster.InterSiteDelay/10
			}
			if w.slowCount > 0 {
				t.Delay, t.LossProbability = 500*time.Millisecond, 0.2
			}
			w.network.SetImpairment(a, b, t)
		}
		for _, z := range w.zoneNames {
			w.network.SetImpairment(a, z, links.Impairment{Cut: w.cutCounts[[2]string{a, z}] > 0})
			w.network.SetImpairment(z, a, links.Impairment{Cut: w.cutCounts[[2]string{z, a}] > 0})
		}
	}
}

// cutDirections lists the directions that a fault cuts.
func (m *Cluster) cutDirections(f Fault) (cut [][2]string) {
	n := len(m.names)
	for a := range n {
		for b := range n {
			hit := false
			switch f.Kind {
			case Cut, Reset, Flap:
				hit = a == f.Target || b == f.Target
			case OutboundCut:
				hit = a == f.Target
			case InboundCut:
				hit = b == f.Target
			case SiteCut:
				hit = m.siteOf(a) == f.Target != (m.siteOf(b) == f.Target)
			case NeighborsOnly:
				hit = n > 3 && (a-b+n)%n != 1 && (b-a+n)%n != 1
			}
			if hit && a != b {
				cut = append(cut, [2]string{m.names[a], m.names[b]})
			}
		}
		for z := range m.SiteCount {
			if f.Kind == SiteCut && m.siteOf(a) == f.Target != (z == f.Target) || f.Kind == NoServers && a == f.Target {
				cut = append(cut, [2]string{m.names[a], zoneName(z)}, [2]string{zoneName(z), m.names[a]})
			}
		}
	}
	return cut
}

// injectFault plays one fault from its begin to its end.
func (m *Cluster) injectFault(ctx context.Context, f Fault) error {
	w := m.linkFaults
	rest := func(d time.Duration) {
		select {
		case <-time.After(d):
		case <-ctx.Done():
		}
	}
	switch f.Kind {
	case SlowLinks:
		w.update(nil, 0, 1)
		rest(f.Duration)
		w.update(nil, 0, -1)
	case Flap:
		for end := time.Now().Add(f.Duration); time.Now().Before(end) && ctx.Err() == nil; rest(300 * time.Millisecond) {
			w.update(m.cutDirections(f), 1, 0)
			rest(300 * time.Millisecond)
			w.update(m.cutDirections(f), -1, 0)
		}
	case Crash, DiskLost:
		m.CrashMachine(f.Target)
		if f.Kind == DiskLost {
			if err := m.EraseDisk(f.Target); err != nil {
				return err
			}
		}
		rest(f.Duration)
		return m.StartAgent(f.Target)
	case DiskRolledBack:
		if err := m.BackUpDisk(f.Target); err != nil {
			return err
		}
		rest(f.Duration)
		m.CrashMachine(f.Target)
		if err := m.RestoreDisk(f.Target); err != nil {
			return err
		}
		return m.StartAgent(f.Target)
	case CrashAll, SiteCrash:
		var all []int
		for a := range m.names {
			if f.Kind == CrashAll || m.siteOf(a) == f.Target {
				all = append(all, a)
				m.CrashMachine(a)
			}
		}
		for _, a := range all {
			if f.Kind == CrashAll {
				rest(f.Duration / time.Duration(len(all)))
			} else if a == all[0] {
				rest(f.Duration)
			}
			if err := m.StartAgent(a); err != nil {
				return err
			}
		}
	case MachinePause:
		m.PauseMachine(f.Target)
		rest(f.Duration)
		m.ResumeMachine(f.Target)
	case AgentPause:
		m.PauseAgent(f.Target)
		rest(f.Duration)
		m.ResumeMachine(f.Target)
	case InstancePause:
		m.PauseInstances(f.Target)
		rest(f.Duration)
		m.ResumeMachine(f.Target)
	case AgentKill:
		m.KillAgent(f.Target)
		rest(f.Duration)
		return m.StartAgent(f.Target)
	case DiskFull:
		if err := m.FillDisk(f.Target); err != nil {
			return err
		}
		rest(f.Duration)
		return errors.Join(m.FreeDisk(f.Target), m.StartAgent(f.Target))
	default:
		w.update(m.cutDirections(f), 1, 0)
		if f.Kind == Reset {
			for _, other := range m.names {
				m.Network.ResetConnections(m.names[f.Target], other)
			}
		}
		rest(f.Duration)
		w.update(m.cutDirections(f), -1, 0)
	}
	return nil
}
