// Package agent keeps instances of hatchproxy running and brings each to what was agreed on: a replicated log of
// commands, a keeper for each local instance, a roll of who is there, and a surface for the command-line tool.
package agent

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net/netip"
	"regexp"
	"slices"
	"sync"
	"time"

	"hatchproxy/agent/clusterstate"
	"hatchproxy/agent/members"
	"hatchproxy/agent/supervisor"
	"hatchproxy/internal/control"
	"hatchproxy/internal/tomlfile"
	"hatchproxy/internal/transient"
	"hatchproxy/lease"
	"hatchproxy/logic"
)

// Config is an agent's configuration, as it is written down.
type Config struct {
	Name                 string           // the agent's, the same after a restart
	Listen               string           // where the tool and other agents reach it: a loopback address with a port
	LogAddress           string           `toml:"log"`     // where it listens for the other agents' logs: the same
	AdvertisedLogAddress string           `toml:"reached"` // where they reach that, if elsewhere: behind a translation of addresses
	SourceAddress        string           `toml:"from"`    // the address that it calls other agents from; any if missing
	ElectionTimeout      string           `toml:"beat"`    // how long a leader may be silent until another is chosen, such as "1s"; the same for all agents
	NonVoter             bool             `toml:"hears"`   // it has no vote at first: it hears what is agreed on
	Duties               []string         // that it stands for: "conductor"
	DataDir              string           `toml:"data"`     // the folder of its log, and of the instances' logs
	Peers                []Peer           `toml:"peer"`     // the other agents
	Instances            []InstanceConfig `toml:"instance"` // those that it keeps
}

// Peer is another agent.
type Peer struct {
	Name     string
	Listen   string
	Log      string `toml:"log"`
	NonVoter bool   `toml:"hears"` // it has no vote at first
}

// InstanceConfig is one that the agent keeps.
type InstanceConfig struct {
	Name           string
	Command        []string // what starts it; --control and --orders are added
	ControlAddress string   `toml:"control"` // where its control surface is to be
}

var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,99}$`)

// ReadConfig reads a configuration and checks it; an error tells file, line and cause.
func ReadConfig(path string) (*Config, error) {
	text, err := transient.ReadFile(path)
	if err != nil {
		return nil, err
	}
	p := &Config{}
	if err := tomlfile.Decode(path, text, p); err != nil {
		return nil, err
	}
	if err := p.validate(); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return p, nil
}

func (p *Config) validate() error {
	var faults []error
	seen := map[string]bool{}
	name := func(what, s string) {
		if !namePattern.MatchString(s) {
			faults = append(faults, fmt.Errorf("%s: %.40q is no name", what, s))
		}
		if seen[s] {
			faults = append(faults, fmt.Errorf("%s: %q is named twice", what, s))
		}
		seen[s] = true
	}
	loopback := func(what, s string) {
		if at, err := netip.ParseAddrPort(s); err != nil || !at.Addr().IsLoopback() {
			faults = append(faults, fmt.Errorf("%s: %q is no loopback address with a port", what, s))
		}
	}
	name("name", p.Name)
	loopback("listen", p.Listen)
	loopback("log", p.LogAddress)
	if p.NonVoter && len(p.votingPeers()) == 0 {
		faults = append(faults, errors.New("hears: no other agent votes"))
	}
	if p.AdvertisedLogAddress != "" {
		loopback("reached", p.AdvertisedLogAddress)
	}
	if from, err := netip.ParseAddr(p.SourceAddress); p.SourceAddress != "" && (err != nil || !from.IsLoopback()) {
		faults = append(faults, fmt.Errorf("from: %q is no loopback address", p.SourceAddress))
	}
	for _, duty := range p.Duties {
		if duty != Conductor {
			faults = append(faults, fmt.Errorf("duties: %.40q is none of %s", duty, Conductor))
		}
	}
	if _, err := p.electionTimeout(); err != nil {
		faults = append(faults, err)
	}
	if p.DataDir == "" {
		faults = append(faults, errors.New("data: the folder is missing"))
	}
	for _, peer := range p.Peers {
		name("peer", peer.Name)
		loopback("peer "+peer.Name+": listen", peer.Listen)
		loopback("peer "+peer.Name+": log", peer.Log)
	}
	for _, i := range p.Instances {
		name("instance", i.Name)
		if len(i.Command) == 0 || i.ControlAddress == "" {
			faults = append(faults, fmt.Errorf("instance %s: command and control are needed", i.Name))
		}
	}
	return errors.Join(faults...)
}

// Agent is one that runs.
type Agent struct {
	config    *Config
	clock     *Clock
	log       *slog.Logger
	journal   *Journal
	instances []*instance
	duties    *duties
	logReady  bool // the log is at hand: until then nothing is started, or an instance would miss what stands

	memberListMu sync.Mutex
	memberList   *members.List
}

type memberList = *members.List

const (
	// An instance answers each half second; an agent as often.
	suspectAfter = 2 * logic.Second
	lostAfter    = 8 * logic.Second
	recoverAfter = 5 * logic.Second
)

func (a *Agent) withMemberList(do func(memberList)) {
	a.memberListMu.Lock()
	defer a.memberListMu.Unlock()
	do(a.memberList)
}

// Run keeps the agent until ctx ends. Its instances go on without it.
func Run(ctx context.Context, p *Config, clock *Clock, log *slog.Logger) error {
	log = log.With("agent", p.Name)
	journal, err := openJournal(p)
	if err != nil {
		return err
	}
	a := &Agent{config: p, clock: clock, log: log, journal: journal, memberList: members.New(suspectAfter, lostAfter, recoverAfter)}
	a.duties = &duties{agent: a, released: make(chan struct{}, 1)}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	for _, c := range p.Instances {
		a.memberList.Expect(a.clock.Now(), c.Name, "instance")
		a.instances = append(a.instances, a.newInstance(c))
	}
	for _, peer := range a.monitoredPeers() {
		a.memberList.Expect(a.clock.Now(), peer.Name, "agent")
	}
	surface, err := a.serveAPI(ctx)
	if err != nil {
		return errors.Join(err, journal.Close())
	}
	log.Info("serving", "listen", p.Listen, "instances", len(p.Instances), "peers", len(p.Peers))
	founded := make(chan error, 1)
	go func() { founded <- a.joinOrBootstrap(ctx) }()
	a.awaitLog(ctx)
	var keeping sync.WaitGroup
	for _, i := range a.instances {
		keeping.Go(func() { i.run(ctx) })
	}
	for _, peer := range a.monitoredPeers() {
		keeping.Go(func() { a.monitorPeer(ctx, peer) })
	}
	keeping.Go(func() { a.watchMembers(ctx) })
	keeping.Go(func() { a.duties.runGrantor(ctx) })
	if len(p.Duties) > 0 {
		keeping.Go(func() { a.duties.runHolder(ctx) })
		keeping.Go(func() { a.conductRollingRestarts(ctx) })
	}
	err = nil
	select {
	case <-ctx.Done():
	case err = <-founded:
		founded <- nil
		// Only now: one that ends while it is taken out and in again would come back as nobody's voter.
		if err == nil {
			select {
			case <-ctx.Done():
			case <-journal.store.writeFailed:
				err = errLogWriteFailed
			}
		}
	}
	cancel()
	err = errors.Join(err, <-founded)
	keeping.Wait()
	return errors.Join(err, surface(), journal.Close())
}

// logReadyTimeout is how long an agent waits for a leader before it goes on with what it knows: instances whose machine
// comes back alone are better served with old orders than not at all.
const logReadyTimeout = 5 * time.Second

// awaitLog waits until the log is at hand: a leader is known, and what it had agreed on before is here.
func (a *Agent) awaitLog(ctx context.Context) {
	late := time.After(logReadyTimeout)
	for {
		if leader := a.journal.Leader(); leader != "" && a.journal.raft.AppliedIndex() >= a.journal.raft.CommitIndex() && a.journal.raft.CommitIndex() > 0 {
			break
		}
		select {
		case <-time.After(20 * time.Millisecond):
			continue
		case <-late:
			a.log.Warn("no leader is known; instances are started with what this agent knows")
		case <-ctx.Done():
		}
		break
	}
	a.logReady = true
}

// watchMembers finds who has fallen silent.
func (a *Agent) watchMembers(ctx context.Context) {
	for {
		select {
		case <-time.After(200 * time.Millisecond):
		case <-ctx.Done():
			return
		}
		a.withMemberList(func(r memberList) {
			for _, m := range r.Tick(a.clock.Now()) {
				a.log.Warn("a member's state", "member", m.Name, "kind", m.Kind, "state", m.State)
			}
		})
	}
}

// monitoredPeers are the agents that this one asks whether they are there: all, or those that vote at first. Guards against calls
// that grow with the square of the fleet.
func (a *Agent) monitoredPeers() []Peer {
	if a.config.NonVoter {
		return a.config.votingPeers()
	}
	return a.config.Peers
}

// electionTimeout is how long a leader may be silent: the usual, or what the file says.
func (p *Config) electionTimeout() (time.Duration, error) {
	if p.ElectionTimeout == "" {
		return defaultElectionTimeout, nil
	}
	d, err := time.ParseDuration(p.ElectionTimeout)
	if err != nil || d < 50*time.Millisecond || d > 10*time.Second {
		return 0, fmt.Errorf("beat: %.40q is no time from 50ms to 10s", p.ElectionTimeout)
	}
	return d, nil
}

// votingPeers are the other agents that vote at first.
func (p *Config) votingPeers() []Peer {
	return slices.DeleteFunc(slices.Clone(p.Peers), func(other Peer) bool { return other.NonVoter })
}

// monitorPeer asks another agent whether it is there.
func (a *Agent) monitorPeer(ctx context.Context, peer Peer) {
	c := newClientFrom(a.config.SourceAddress, peer.Listen)
	defer c.Close()
	for {
		call, cancel := context.WithTimeout(ctx, callTimeout)
		if err := c.Ping(call); err == nil {
			a.withMemberList(func(r memberList) { r.RecordHeartbeat(a.clock.Now(), peer.Name) })
		}
		cancel()
		select {
		case <-time.After(500 * time.Millisecond):
		case <-ctx.Done():
			return
		}
	}
}

// View is what an agent tells.
type View struct {
	Agent           string                        `json:"agent"`
	Leader          string                        `json:"leader"`
	IsLeader        bool                          `json:"leads"` // this agent, in this term
	Term            uint64                        `json:"term"`
	Voters          []string                      `json:"voters"` // as this agent has heard
	AppliedIndex    uint64                        `json:"applied"`
	Now             logic.Micros                  `json:"now"`
	Members         []members.Member              `json:"members"`
	RecentCommands  []clusterstate.Entry          `json:"past"`
	Orders          []clusterstate.Entry          `json:"orders"`
	Instances       []InstanceView                `json:"instances"`
	Duties          []DutyView                    `json:"duties,omitempty"`
	HeldDuties      lease.Tokens                  `json:"holds,omitempty"`  // what this agent may act on at this moment, with the tokens
	Barred          []string                      `json:"barred,omitempty"` // who is given no duty
	RollingRestarts []clusterstate.RollingRestart `json:"rolls,omitempty"`
	SilentAgents    []string                      `json:"silent"` // agents that did not answer, with what they keep
}

// InstanceView is what is told of an instance.
type InstanceView struct {
	Name             string                 `json:"name"`
	Agent            string                 `json:"agent"`
	Control          string                 `json:"control"`
	ShouldRun        bool                   `json:"wanted"`
	RequestedRestart uint64                 `json:"restart"`   // the restart that is wanted last
	CompletedRestart uint64                 `json:"restarted"` // and that was done last
	State            supervisor.State       `json:"state"`
	MemberState      members.State          `json:"member"`
	Failures         int                    `json:"falls"`
	Reason           string                 `json:"why,omitempty"`
	OrderResults     map[string]OrderResult `json:"heard"` // by server
	Status           *control.Status        `json:"status,omitempty"`
	PolledAt         logic.Micros           `json:"polled"`
}

// localView is what this agent knows by itself.
func (a *Agent) localView() View {
	leads, term := a.journal.IsLeader()
	v := View{Agent: a.config.Name, Leader: a.journal.Leader(), IsLeader: leads, Term: term, Voters: a.journal.voters(), Now: a.clock.Wall(), RecentCommands: []clusterstate.Entry{}, SilentAgents: []string{}}
	states := map[string]members.State{}
	a.withMemberList(func(r memberList) {
		v.Members = r.All()
		for _, m := range v.Members {
			states[m.Name] = m.State
		}
	})
	wishes := map[string]clusterstate.InstanceSpec{}
	runs := map[string]bool{}
	a.journal.ReadState(func(s *clusterstate.State) {
		v.AppliedIndex = s.AppliedIndex
		v.RecentCommands = append(v.RecentCommands, s.RecentCommands...)
		v.RollingRestarts = append(v.RollingRestarts, s.RollingRestarts...)
		for name := range s.Barred {
			v.Barred = append(v.Barred, name)
		}
		for _, e := range s.Orders {
			v.Orders = append(v.Orders, e)
		}
		for _, i := range a.instances {
			wishes[i.Name], runs[i.Name] = s.InstanceSpec(i.Name)
		}
	})
	slices.Sort(v.Barred)
	v.Duties, v.HeldDuties = a.duties.view()
	for _, i := range a.instances {
		x := i.view(wishes[i.Name], runs[i.Name])
		x.MemberState = states[i.Name]
		v.Instances = append(v.Instances, x)
	}
	return v
}
