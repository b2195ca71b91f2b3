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

	"hatchproxy/agent/keeper"
	"hatchproxy/agent/members"
	"hatchproxy/agent/wanted"
	"hatchproxy/internal/control"
	"hatchproxy/internal/tomlfile"
	"hatchproxy/internal/transient"
	"hatchproxy/lease"
	"hatchproxy/logic"
)

// Plan is an agent's configuration, as it is written down.
type Plan struct {
	Name     string     // the agent's, the same after a restart
	Listen   string     // where the tool and other agents reach it: a loopback address with a port
	Log      string     `toml:"log"`     // where it listens for the other agents' logs: the same
	Reached  string     `toml:"reached"` // where they reach that, if elsewhere: behind a translation of addresses
	From     string     `toml:"from"`    // the address that it calls other agents from; any if missing
	Beat     string     `toml:"beat"`    // how long a leader may be silent until another is chosen, such as "1s"; the same for all agents
	Hears    bool       `toml:"hears"`   // it has no vote at first: it hears what is agreed on
	Duties   []string   // that it stands for: "conductor"
	Data     string     `toml:"data"`     // the folder of its log, and of the instances' logs
	Peer     []Peer     `toml:"peer"`     // the other agents
	Instance []Instance `toml:"instance"` // those that it keeps
}

// Peer is another agent.
type Peer struct {
	Name   string
	Listen string
	Log    string `toml:"log"`
	Hears  bool   `toml:"hears"` // it has no vote at first
}

// Instance is one that the agent keeps.
type Instance struct {
	Name    string
	Command []string // what starts it; --control and --orders are added
	Control string   `toml:"control"` // where its control surface is to be
}

var names = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,99}$`)

// ReadPlan reads a configuration and checks it; an error tells file, line and cause.
func ReadPlan(path string) (*Plan, error) {
	text, err := transient.ReadFile(path)
	if err != nil {
		return nil, err
	}
	p := &Plan{}
	if err := tomlfile.Decode(path, text, p); err != nil {
		return nil, err
	}
	if err := p.check(); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return p, nil
}

func (p *Plan) check() error {
	var faults []error
	seen := map[string]bool{}
	name := func(what, s string) {
		if !names.MatchString(s) {
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
	loopback("log", p.Log)
	if p.Hears && len(p.voters()) == 0 {
		faults = append(faults, errors.New("hears: no other agent votes"))
	}
	if p.Reached != "" {
		loopback("reached", p.Reached)
	}
	if from, err := netip.ParseAddr(p.From); p.From != "" && (err != nil || !from.IsLoopback()) {
		faults = append(faults, fmt.Errorf("from: %q is no loopback address", p.From))
	}
	for _, duty := range p.Duties {
		if duty != Conductor {
			faults = append(faults, fmt.Errorf("duties: %.40q is none of %s", duty, Conductor))
		}
	}
	if _, err := p.beat(); err != nil {
		faults = append(faults, err)
	}
	if p.Data == "" {
		faults = append(faults, errors.New("data: the folder is missing"))
	}
	for _, peer := range p.Peer {
		name("peer", peer.Name)
		loopback("peer "+peer.Name+": listen", peer.Listen)
		loopback("peer "+peer.Name+": log", peer.Log)
	}
	for _, i := range p.Instance {
		name("instance", i.Name)
		if len(i.Command) == 0 || i.Control == "" {
			faults = append(faults, fmt.Errorf("instance %s: command and control are needed", i.Name))
		}
	}
	return errors.Join(faults...)
}

// Agent is one that runs.
type Agent struct {
	config    *Plan
	clock     *Clock
	log       *slog.Logger
	journal   *Journal
	instances []*instance
	duties    *duties
	settled   bool // the log is at hand: until then nothing is started, or an instance would miss what stands

	rollMu sync.Mutex
	there  *members.Roll
}

type roll = *members.Roll

const (
	// An instance answers each half second; an agent as often.
	suspect = 2 * logic.Second
	lose    = 8 * logic.Second
	settle  = 5 * logic.Second
)

func (a *Agent) roll(do func(roll)) {
	a.rollMu.Lock()
	defer a.rollMu.Unlock()
	do(a.there)
}

// Run keeps the agent until ctx ends. Its instances go on without it.
func Run(ctx context.Context, p *Plan, clock *Clock, log *slog.Logger) error {
	log = log.With("agent", p.Name)
	journal, err := openJournal(p)
	if err != nil {
		return err
	}
	a := &Agent{config: p, clock: clock, log: log, journal: journal, there: members.New(suspect, lose, settle)}
	a.duties = &duties{a: a, freed: make(chan struct{}, 1)}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	for _, c := range p.Instance {
		a.there.Expect(a.clock.Now(), c.Name, "instance")
		a.instances = append(a.instances, a.newInstance(c))
	}
	for _, peer := range a.followed() {
		a.there.Expect(a.clock.Now(), peer.Name, "agent")
	}
	surface, err := a.serve(ctx)
	if err != nil {
		return errors.Join(err, journal.Close())
	}
	log.Info("serving", "listen", p.Listen, "instances", len(p.Instance), "peers", len(p.Peer))
	founded := make(chan error, 1)
	go func() { founded <- a.found(ctx) }()
	a.awaitLog(ctx)
	var keeping sync.WaitGroup
	for _, i := range a.instances {
		keeping.Go(func() { i.run(ctx) })
	}
	for _, peer := range a.followed() {
		keeping.Go(func() { a.hear(ctx, peer) })
	}
	keeping.Go(func() { a.count(ctx) })
	keeping.Go(func() { a.duties.give(ctx) })
	if len(p.Duties) > 0 {
		keeping.Go(func() { a.duties.stand(ctx) })
		keeping.Go(func() { a.conduct(ctx) })
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
			case <-journal.store.apart:
				err = errApart
			}
		}
	}
	cancel()
	err = errors.Join(err, <-founded)
	keeping.Wait()
	return errors.Join(err, surface(), journal.Close())
}

// waitForLog is how long an agent waits for a leader before it goes on with what it knows: instances whose machine
// comes back alone are better served with old orders than not at all.
const waitForLog = 5 * time.Second

// awaitLog waits until the log is at hand: a leader is known, and what it had agreed on before is here.
func (a *Agent) awaitLog(ctx context.Context) {
	late := time.After(waitForLog)
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
	a.settled = true
}

// count finds who has fallen silent.
func (a *Agent) count(ctx context.Context) {
	for {
		select {
		case <-time.After(200 * time.Millisecond):
		case <-ctx.Done():
			return
		}
		a.roll(func(r roll) {
			for _, m := range r.Tick(a.clock.Now()) {
				a.log.Warn("a member's state", "member", m.Name, "kind", m.Kind, "state", m.State)
			}
		})
	}
}

// followed are the agents that this one asks whether they are there: all, or those that vote at first. Guards against calls
// that grow with the square of the fleet.
func (a *Agent) followed() []Peer {
	if a.config.Hears {
		return a.config.voters()
	}
	return a.config.Peer
}

// beat is how long a leader may be silent: the usual, or what the file says.
func (p *Plan) beat() (time.Duration, error) {
	if p.Beat == "" {
		return beat, nil
	}
	d, err := time.ParseDuration(p.Beat)
	if err != nil || d < 50*time.Millisecond || d > 10*time.Second {
		return 0, fmt.Errorf("beat: %.40q is no time from 50ms to 10s", p.Beat)
	}
	return d, nil
}

// voters are the other agents that vote at first.
func (p *Plan) voters() []Peer {
	return slices.DeleteFunc(slices.Clone(p.Peer), func(other Peer) bool { return other.Hears })
}

// hear asks another agent whether it is there.
func (a *Agent) hear(ctx context.Context, peer Peer) {
	c := dialFrom(a.config.From, peer.Listen)
	defer c.Close()
	for {
		call, cancel := context.WithTimeout(ctx, answering)
		if err := c.Ping(call); err == nil {
			a.roll(func(r roll) { r.Heard(a.clock.Now(), peer.Name) })
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
	Agent     string           `json:"agent"`
	Leader    string           `json:"leader"`
	Leads     bool             `json:"leads"` // this agent, in this term
	Term      uint64           `json:"term"`
	Voters    []string         `json:"voters"` // as this agent has heard
	Applied   uint64           `json:"applied"`
	Now       logic.Micros     `json:"now"`
	Members   []members.Member `json:"members"`
	Past      []wanted.Entry   `json:"past"`
	Orders    []wanted.Entry   `json:"orders"`
	Instances []InstanceView   `json:"instances"`
	Duties    []DutyView       `json:"duties,omitempty"`
	Holds     lease.Tokens     `json:"holds,omitempty"`  // what this agent may act on at this moment, with the tokens
	Barred    []string         `json:"barred,omitempty"` // who is given no duty
	Rolls     []wanted.Rolling `json:"rolls,omitempty"`
	Silent    []string         `json:"silent"` // agents that did not answer, with what they keep
}

// InstanceView is what is told of an instance.
type InstanceView struct {
	Name      string           `json:"name"`
	Agent     string           `json:"agent"`
	Control   string           `json:"control"`
	Wanted    bool             `json:"wanted"`
	Restart   uint64           `json:"restart"`   // the restart that is wanted last
	Restarted uint64           `json:"restarted"` // and that was done last
	State     keeper.State     `json:"state"`
	Member    members.State    `json:"member"`
	Falls     int              `json:"falls"`
	Why       string           `json:"why,omitempty"`
	Heard     map[string]Heard `json:"heard"` // by server
	Status    *control.Status  `json:"status,omitempty"`
	Polled    logic.Micros     `json:"polled"`
}

// view is what this agent knows by itself.
func (a *Agent) view() View {
	leads, term := a.journal.Leads()
	v := View{Agent: a.config.Name, Leader: a.journal.Leader(), Leads: leads, Term: term, Voters: a.journal.voters(), Now: a.clock.Wall(), Past: []wanted.Entry{}, Silent: []string{}}
	states := map[string]members.State{}
	a.roll(func(r roll) {
		v.Members = r.All()
		for _, m := range v.Members {
			states[m.Name] = m.State
		}
	})
	wishes := map[string]wanted.Wish{}
	runs := map[string]bool{}
	a.journal.View(func(s *wanted.State) {
		v.Applied = s.Applied
		v.Past = append(v.Past, s.Past...)
		v.Rolls = append(v.Rolls, s.Rolls...)
		for name := range s.Barred {
			v.Barred = append(v.Barred, name)
		}
		for _, e := range s.Orders {
			v.Orders = append(v.Orders, e)
		}
		for _, i := range a.instances {
			wishes[i.Name], runs[i.Name] = s.Runs(i.Name)
		}
	})
	slices.Sort(v.Barred)
	v.Duties, v.Holds = a.duties.view()
	for _, i := range a.instances {
		x := i.view(wishes[i.Name], runs[i.Name])
		x.Member = states[i.Name]
		v.Instances = append(v.Instances, x)
	}
	return v
}
