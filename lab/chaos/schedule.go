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
	Cut            Kind = "cut"       // all links of a machine to other machines are cut
	OutboundCut    Kind = "one-way"   // a machine receives from the others, but nothing that it sends arrives
	InboundCut     Kind = "deaf"      // what a machine sends arrives, but it receives nothing
	Reset          Kind = "reset"     // Cut, and all connections of the machine are reset
	SlowLinks      Kind = "slow"      // all links between machines: 500 ms delay and 20% loss
	Flap           Kind = "flap"      // a machine is cut and reconnected in turn, every 300 ms
	NeighborsOnly  Kind = "ring"      // each machine reaches only its two neighbors in a ring; no effect on three machines or fewer
	SiteCut        Kind = "site-cut"  // a site is cut from the others
	Crash          Kind = "crash"     // a machine crashes and restarts with its disk
	CrashAll       Kind = "crash-all" // all machines crash within 50 ms and restart one by one
	MachinePause   Kind = "stall"     // all processes of a machine are suspended and resumed
	DiskLost       Kind = "disk-lost" // a machine crashes and restarts with an empty disk
	DiskRolledBack Kind = "disk-old"  // a machine crashes and restarts with its disk as it was when the fault began
	DiskFull       Kind = "disk-full" // no file of a machine's agent can grow; an agent that exits because of it is restarted at the end
	AgentPause     Kind = "doze"      // a machine's agent is suspended and resumed, its instances keep running
	SiteCrash      Kind = "site-dark" // all machines of a site crash at once and restart with their disks

	// The following kinds need instances.
	AgentKill     Kind = "agent-dead" // a machine's agent is killed and restarted, its instances keep running
	InstancePause Kind = "sleep"      // a machine's instances are suspended and resumed, its agent keeps running
	NoServers     Kind = "no-servers" // a machine is cut from all servers, but not from other machines
)

// AgentKinds are the kinds that need no instances; DrawSchedule's result depends on their order. InstanceKinds are the others.
var (
	AgentKinds    = []Kind{Cut, OutboundCut, InboundCut, Reset, SlowLinks, Flap, NeighborsOnly, SiteCut, Crash, CrashAll, MachinePause, DiskLost, DiskRolledBack, DiskFull, SiteCrash, AgentPause}
	InstanceKinds = []Kind{AgentKill, InstancePause, NoServers}
)

// TargetsSite reports whether the target of this kind is a site, not a machine.
func (k Kind) TargetsSite() bool { return k == SiteCut || k == SiteCrash }

// Fault is a fault with its start and duration.
type Fault struct {
	Kind         Kind
	At, Duration time.Duration // At is relative to the start of the run
	Target       int           // number of a machine or site, or TargetLeader or TargetHolder
}

// TargetLeader and TargetHolder stand for the machine whose agent is the leader, or holds a duty, when the fault begins.
const (
	TargetLeader = -1
	TargetHolder = -2
)

// String formats a fault as records show it.
func (f Fault) String() string {
	return fmt.Sprintf("%-9s on %d from %v for %v", f.Kind, f.Target, f.At.Round(time.Millisecond), f.Duration.Round(time.Millisecond))
}

const (
	// minFaultDuration and maxFaultDuration bound the duration of drawn faults: from less than Raft's election timeout of 0.3 s
	// to several times that.
	minFaultDuration, maxFaultDuration = 100 * time.Millisecond, 2500 * time.Millisecond
	// maxFaultInterval is the longest time between the starts of two successive faults. It is shorter than maxFaultDuration, so
	// that faults can overlap.
	maxFaultInterval = 1200 * time.Millisecond
)

// DrawSchedule returns random faults in the order of their start; the same arguments give the same faults. At most one of them loses
// a disk or rolls one back: if two of three voters lose their disks, an operator has to step in, which would not be a breach.
func DrawSchedule(seed int64, count, agents, sites int, kinds []Kind) []Fault {
	rng := rand.New(rand.NewSource(seed))
	var faults []Fault
	at, hasDiskFault := 200*time.Millisecond, false
	for range count {
		kind := kinds[rng.Intn(len(kinds))]
		if (kind == DiskLost || kind == DiskRolledBack) && hasDiskFault {
			kind = Crash
		}
		hasDiskFault = hasDiskFault || kind == DiskLost || kind == DiskRolledBack
		target := rng.Intn(agents)
		if kind.TargetsSite() {
			target = rng.Intn(sites)
		}
		at += time.Duration(rng.Int63n(int64(maxFaultInterval)))
		faults = append(faults, Fault{kind, at, minFaultDuration + time.Duration(rng.Int63n(int64(maxFaultDuration-minFaultDuration))), target})
	}
	return faults
}

// linkFaults combines overlapping faults: a direction is cut as long as at least one fault cuts it.
type linkFaults struct {
	cluster            *Cluster
	mu                 sync.Mutex
	network            *links.Network
	cutCounts          map[[2]string]int // number of faults that cut a direction, by sender and receiver
	slowCount          int               // number of SlowLinks faults
	machineNames       []string
	zoneNames          []string                          // each zone's servers are one end of a link; empty without instances
	onServerLinkChange func(machine, zone int, cut bool) // may be nil
}

// update adds cutDelta to the number of cuts of each given direction and slowDelta to the number of slow faults, and applies the
// result to all links.
func (l *linkFaults) update(directions [][2]string, cutDelta, slowDelta int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.slowCount += slowDelta
	for _, direction := range directions {
		wasCut := l.cutCounts[direction] > 0
		l.cutCounts[direction] += cutDelta
		if zone := slices.Index(l.zoneNames, direction[1]); zone >= 0 && l.onServerLinkChange != nil && wasCut != (l.cutCounts[direction] > 0) {
			l.onServerLinkChange(slices.Index(l.machineNames, direction[0]), zone, !wasCut)
		}
	}
	for i, from := range l.machineNames {
		for k, to := range l.machineNames {
			if from == to {
				continue
			}
			impairment := links.Impairment{Cut: l.cutCounts[[2]string{from, to}] > 0}
			if l.cluster.siteOf(i) != l.cluster.siteOf(k) {
				impairment.Delay, impairment.Jitter = l.cluster.InterSiteDelay, l.cluster.InterSiteDelay/10
			}
			if l.slowCount > 0 {
				impairment.Delay, impairment.LossProbability = 500*time.Millisecond, 0.2
			}
			l.network.SetImpairment(from, to, impairment)
		}
		for _, zone := range l.zoneNames {
			l.network.SetImpairment(from, zone, links.Impairment{Cut: l.cutCounts[[2]string{from, zone}] > 0})
			l.network.SetImpairment(zone, from, links.Impairment{Cut: l.cutCounts[[2]string{zone, from}] > 0})
		}
	}
}

// cutDirections returns the directions that a fault cuts, each as sender and receiver.
func (c *Cluster) cutDirections(f Fault) (directions [][2]string) {
	count := len(c.names)
	for from := range count {
		for to := range count {
			isCut := false
			switch f.Kind {
			case Cut, Reset, Flap:
				isCut = from == f.Target || to == f.Target
			case OutboundCut:
				isCut = from == f.Target
			case InboundCut:
				isCut = to == f.Target
			case SiteCut:
				isCut = c.siteOf(from) == f.Target != (c.siteOf(to) == f.Target)
			case NeighborsOnly:
				isCut = count > 3 && (from-to+count)%count != 1 && (to-from+count)%count != 1
			}
			if isCut && from != to {
				directions = append(directions, [2]string{c.names[from], c.names[to]})
			}
		}
		for zone := range c.SiteCount {
			if f.Kind == SiteCut && c.siteOf(from) == f.Target != (zone == f.Target) || f.Kind == NoServers && from == f.Target {
				directions = append(directions, [2]string{c.names[from], zoneName(zone)}, [2]string{zoneName(zone), c.names[from]})
			}
		}
	}
	return directions
}

// injectFault causes a fault, waits for its duration and ends it. It ends earlier if ctx is canceled. Errors are those of starting an
// agent or changing its disk.
func (c *Cluster) injectFault(ctx context.Context, f Fault) error {
	l := c.linkFaults
	wait := func(d time.Duration) {
		select {
		case <-time.After(d):
		case <-ctx.Done():
		}
	}
	switch f.Kind {
	case SlowLinks:
		l.update(nil, 0, 1)
		wait(f.Duration)
		l.update(nil, 0, -1)
	case Flap:
		for end := time.Now().Add(f.Duration); time.Now().Before(end) && ctx.Err() == nil; wait(300 * time.Millisecond) {
			l.update(c.cutDirections(f), 1, 0)
			wait(300 * time.Millisecond)
			l.update(c.cutDirections(f), -1, 0)
		}
	case Crash, DiskLost:
		c.CrashMachine(f.Target)
		if f.Kind == DiskLost {
			if err := c.EraseDisk(f.Target); err != nil {
				return err
			}
		}
		wait(f.Duration)
		return c.StartAgent(f.Target)
	case DiskRolledBack:
		if err := c.BackUpDisk(f.Target); err != nil {
			return err
		}
		wait(f.Duration)
		c.CrashMachine(f.Target)
		if err := c.RestoreDisk(f.Target); err != nil {
			return err
		}
		return c.StartAgent(f.Target)
	case CrashAll, SiteCrash:
		var machines []int
		for machine := range c.names {
			if f.Kind == CrashAll || c.siteOf(machine) == f.Target {
				machines = append(machines, machine)
				c.CrashMachine(machine)
			}
		}
		for _, machine := range machines {
			if f.Kind == CrashAll {
				wait(f.Duration / time.Duration(len(machines)))
			} else if machine == machines[0] {
				wait(f.Duration)
			}
			if err := c.StartAgent(machine); err != nil {
				return err
			}
		}
	case MachinePause:
		c.PauseMachine(f.Target)
		wait(f.Duration)
		c.ResumeMachine(f.Target)
	case AgentPause:
		c.PauseAgent(f.Target)
		wait(f.Duration)
		c.ResumeMachine(f.Target)
	case InstancePause:
		c.PauseInstances(f.Target)
		wait(f.Duration)
		c.ResumeMachine(f.Target)
	case AgentKill:
		c.KillAgent(f.Target)
		wait(f.Duration)
		return c.StartAgent(f.Target)
	case DiskFull:
		if err := c.FillDisk(f.Target); err != nil {
			return err
		}
		wait(f.Duration)
		return errors.Join(c.FreeDisk(f.Target), c.StartAgent(f.Target))
	default: // the kinds that only cut links
		l.update(c.cutDirections(f), 1, 0)
		if f.Kind == Reset {
			for _, other := range c.names {
				c.Network.ResetConnections(c.names[f.Target], other)
			}
		}
		wait(f.Duration)
		l.update(c.cutDirections(f), -1, 0)
	}
	return nil
}
