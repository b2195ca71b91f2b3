// Package agent runs the control-plane process of a machine. An agent starts and supervises the local instances of
// hatchproxy and delivers operators' orders to them. Agents agree on commands through a replicated log (Raft); the state
// that results from it says which instances run, which orders are in effect and who holds which duty. Each agent also
// tracks whether instances and other agents respond, and serves an HTTP API for hatchctl and for other agents.
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

// Config is an agent's configuration file, in TOML.
type Config struct {
	Name                 string           // name of this agent; must stay the same across restarts
	Listen               string           // loopback address and port of the HTTP API for hatchctl and other agents
	LogAddress           string           `toml:"log"`     // loopback address and port on which other agents' Raft connections are accepted
	AdvertisedLogAddress string           `toml:"reached"` // where other agents reach LogAddress if it differs, as behind address translation
	SourceAddress        string           `toml:"from"`    // local address of connections to other agents; any if empty
	ElectionTimeout      string           `toml:"beat"`    // how long no message may come from the leader before an election, such as "1s"; the same for all agents
	NonVoter             bool             `toml:"hears"`   // joins without a vote, and only replicates the log until it is promoted
	Duties               []string         // duties that this agent is a candidate for: "conductor"
	DataDir              string           `toml:"data"`     // directory of the Raft log and of the instances' logs, orders and process files
	Peers                []Peer           `toml:"peer"`     // the other agents
	Instances            []InstanceConfig `toml:"instance"` // the instances that this agent runs
}

// Peer is another agent in the configuration.
type Peer struct {
	Name       string
	Listen     string // address of its HTTP API
	LogAddress string `toml:"log"`   // address on which it accepts Raft connections
	NonVoter   bool   `toml:"hears"` // joins without a vote; it can be promoted later
}

// InstanceConfig describes an instance that the agent runs.
type InstanceConfig struct {
	Name           string
	Command        []string // program and arguments; --control and --orders are appended
	ControlAddress string   `toml:"control"` // address of the instance's control API
}

// namePattern matches valid names of agents and instances.
var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,99}$`)

// ReadConfig reads and validates a configuration file. Errors name the file and the cause, and the line where it is known.
func ReadConfig(path string) (*Config, error) {
	text, err := transient.ReadFile(path)
	if err != nil {
		return nil, err
	}
	c := &Config{}
	if err := tomlfile.Decode(path, text, c); err != nil {
		return nil, err
	}
	if err := c.validate(); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return c, nil
}

// validate returns all problems of the configuration as one joined error.
func (c *Config) validate() error {
	var problems []error
	seen := map[string]bool{}
	checkName := func(key, value string) {
		if !namePattern.MatchString(value) {
			problems = append(problems, fmt.Errorf("%s: %.40q is not a valid name", key, value))
		}
		if seen[value] {
			problems = append(problems, fmt.Errorf("%s: %q is already used as a name", key, value))
		}
		seen[value] = true
	}
	checkLoopback := func(key, value string) {
		if address, err := netip.ParseAddrPort(value); err != nil || !address.Addr().IsLoopback() {
			problems = append(problems, fmt.Errorf("%s: %q is not a loopback address with a port", key, value))
		}
	}
	checkName("name", c.Name)
	checkLoopback("listen", c.Listen)
	checkLoopback("log", c.LogAddress)
	if c.NonVoter && len(c.votingPeers()) == 0 {
		problems = append(problems, errors.New("hears: no other agent is a voter"))
	}
	if c.AdvertisedLogAddress != "" {
		checkLoopback("reached", c.AdvertisedLogAddress)
	}
	if source, err := netip.ParseAddr(c.SourceAddress); c.SourceAddress != "" && (err != nil || !source.IsLoopback()) {
		problems = append(problems, fmt.Errorf("from: %q is not a loopback address", c.SourceAddress))
	}
	for _, duty := range c.Duties {
		if duty != Conductor {
			problems = append(problems, fmt.Errorf("duties: %.40q is unknown; the only duty is %s", duty, Conductor))
		}
	}
	if _, err := c.electionTimeout(); err != nil {
		problems = append(problems, err)
	}
	if c.DataDir == "" {
		problems = append(problems, errors.New("data: a directory is required"))
	}
	for _, peer := range c.Peers {
		checkName("peer", peer.Name)
		checkLoopback("peer "+peer.Name+": listen", peer.Listen)
		checkLoopback("peer "+peer.Name+": log", peer.LogAddress)
	}
	for _, i := range c.Instances {
		checkName("instance", i.Name)
		if len(i.Command) == 0 || i.ControlAddress == "" {
			problems = append(problems, fmt.Errorf("instance %s: command and control are required", i.Name))
		}
	}
	return errors.Join(problems...)
}

// Agent is a running agent.
type Agent struct {
	config    *Config
	clock     *Clock
	log       *slog.Logger
	journal   *Journal
	instances []*instance
	duties    *duties
	logReady  bool // no instance is started before this is true: it could miss orders that are in effect; set once, by awaitLog

	memberListMu sync.Mutex
	memberList   *members.List
}

// memberList abbreviates the type of the list that withMemberList passes to its callback.
type memberList = *members.List

// The delays of the member list. Instances and agents are polled every half second, and each answer counts as a heartbeat.
const (
	suspectAfter = 2 * logic.Second // without a heartbeat, until a member is suspected
	lostAfter    = 8 * logic.Second // without a heartbeat, until it is lost
	recoverAfter = 5 * logic.Second // from its return, until a lost member counts as alive again
)

// withMemberList calls use with the member list locked.
func (a *Agent) withMemberList(use func(memberList)) {
	a.memberListMu.Lock()
	defer a.memberListMu.Unlock()
	use(a.memberList)
}

// Run runs an agent until ctx ends. Its instances keep running afterwards. It returns an error if the log or the API can't be opened,
// if the bootstrap fails, or once the log can't be written.
func Run(ctx context.Context, config *Config, clock *Clock, log *slog.Logger) error {
	log = log.With("agent", config.Name)
	journal, err := openJournal(config)
	if err != nil {
		return err
	}
	a := &Agent{config: config, clock: clock, log: log, journal: journal, memberList: members.New(suspectAfter, lostAfter, recoverAfter)}
	a.duties = &duties{agent: a, released: make(chan struct{}, 1)}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	for _, c := range config.Instances {
		a.memberList.Expect(a.clock.Now(), c.Name, "instance")
		a.instances = append(a.instances, a.newInstance(c))
	}
	for _, peer := range a.monitoredPeers() {
		a.memberList.Expect(a.clock.Now(), peer.Name, "agent")
	}
	closeAPI, err := a.serveAPI(ctx)
	if err != nil {
		return errors.Join(err, journal.Close())
	}
	log.Info("serving", "listen", config.Listen, "instances", len(config.Instances), "peers", len(config.Peers))
	joined := make(chan error, 1)
	go func() { joined <- a.joinOrBootstrap(ctx) }()
	a.awaitLog(ctx)
	var workers sync.WaitGroup
	for _, i := range a.instances {
		workers.Go(func() { i.run(ctx) })
	}
	for _, peer := range a.monitoredPeers() {
		workers.Go(func() { a.monitorPeer(ctx, peer) })
	}
	workers.Go(func() { a.watchMembers(ctx) })
	workers.Go(func() { a.duties.runGrantor(ctx) })
	if len(config.Duties) > 0 {
		workers.Go(func() { a.duties.runHolder(ctx) })
		workers.Go(func() { a.conductRollingRestarts(ctx) })
	}
	err = nil
	select {
	case <-ctx.Done():
	case err = <-joined:
		joined <- nil
		// Before joinOrBootstrap is done, a failed write doesn't end the agent: if it ended after it was removed from the cluster
		// and before it was added again, it would come back to a cluster in which it has no vote.
		if err == nil {
			select {
			case <-ctx.Done():
			case <-journal.store.writeFailed:
				err = errLogWriteFailed
			}
		}
	}
	cancel()
	err = errors.Join(err, <-joined)
	workers.Wait()
	return errors.Join(err, closeAPI(), journal.Close())
}

// logReadyTimeout is how long an agent waits for a leader at its start before it uses its stored state: on a machine that
// comes back without contact to the others, instances that run with old orders are better than none.
const logReadyTimeout = 5 * time.Second

// awaitLog waits until a leader is known and all entries known to be committed are applied here, for at most logReadyTimeout, and
// then allows instances to be started.
func (a *Agent) awaitLog(ctx context.Context) {
	timeout := time.After(logReadyTimeout)
	for {
		if leader := a.journal.Leader(); leader != "" && a.journal.raft.AppliedIndex() >= a.journal.raft.CommitIndex() && a.journal.raft.CommitIndex() > 0 {
			break
		}
		select {
		case <-time.After(20 * time.Millisecond):
			continue
		case <-timeout:
			a.log.Warn("no leader is known; starting instances from the state stored on this agent")
		case <-ctx.Done():
		}
		break
	}
	a.logReady = true
}

// watchMembers updates the states of members without heartbeats and logs the changes, until ctx ends.
func (a *Agent) watchMembers(ctx context.Context) {
	for {
		select {
		case <-time.After(200 * time.Millisecond):
		case <-ctx.Done():
			return
		}
		a.withMemberList(func(list memberList) {
			for _, m := range list.Tick(a.clock.Now()) {
				a.log.Warn("member state changed", "member", m.Name, "kind", m.Kind, "state", m.State)
			}
		})
	}
}

// monitoredPeers returns the agents that this one pings: all if it is configured as a voter, or else only the configured voters, so
// that the number of pings does not grow with the square of the number of agents.
func (a *Agent) monitoredPeers() []Peer {
	if a.config.NonVoter {
		return a.config.votingPeers()
	}
	return a.config.Peers
}

// electionTimeout returns how long no message may come from the leader before an election: the configured value or the default.
func (c *Config) electionTimeout() (time.Duration, error) {
	if c.ElectionTimeout == "" {
		return defaultElectionTimeout, nil
	}
	d, err := time.ParseDuration(c.ElectionTimeout)
	if err != nil || d < 50*time.Millisecond || d > 10*time.Second {
		return 0, fmt.Errorf("beat: %.40q is not a duration from 50ms to 10s", c.ElectionTimeout)
	}
	return d, nil
}

// votingPeers returns the other agents that are configured as voters.
func (c *Config) votingPeers() []Peer {
	return slices.DeleteFunc(slices.Clone(c.Peers), func(peer Peer) bool { return peer.NonVoter })
}

// monitorPeer pings another agent every half second and records its answers, until ctx ends.
func (a *Agent) monitorPeer(ctx context.Context, peer Peer) {
	client := newClientFrom(a.config.SourceAddress, peer.Listen)
	defer client.Close()
	for {
		pingCtx, cancel := context.WithTimeout(ctx, callTimeout)
		if err := client.Ping(pingCtx); err == nil {
			a.withMemberList(func(list memberList) { list.RecordHeartbeat(a.clock.Now(), peer.Name) })
		}
		cancel()
		select {
		case <-time.After(500 * time.Millisecond):
		case <-ctx.Done():
			return
		}
	}
}

// View is what an agent reports of itself and of its cluster.
type View struct {
	Agent           string                        `json:"agent"`
	Leader          string                        `json:"leader"`
	IsLeader        bool                          `json:"leads"` // this agent leads, in Term
	Term            uint64                        `json:"term"`
	Voters          []string                      `json:"voters"`  // names of the voters, as far as this agent knows
	AppliedIndex    uint64                        `json:"applied"` // index of the last log entry that this agent has applied
	Now             logic.Micros                  `json:"now"`     // Unix time
	Members         []members.Member              `json:"members"` // with times by Clock.Now, which may differ from Now
	RecentCommands  []clusterstate.Entry          `json:"past"`    // oldest first
	Orders          []clusterstate.Entry          `json:"orders"`  // the latest drain or undrain of each server
	Instances       []InstanceView                `json:"instances"`
	Duties          []DutyView                    `json:"duties,omitempty"`
	HeldDuties      lease.Tokens                  `json:"holds,omitempty"`  // duties that this agent may act on at this moment, with their tokens
	Barred          []string                      `json:"barred,omitempty"` // agents that are granted no duty
	RollingRestarts []clusterstate.RollingRestart `json:"rolls,omitempty"`
	SilentAgents    []string                      `json:"silent"` // agents that did not answer; their instances are missing here
}

// InstanceView is what an agent reports of one of its instances.
type InstanceView struct {
	Name             string                 `json:"name"`
	Agent            string                 `json:"agent"`
	Control          string                 `json:"control"`   // address of its control API
	ShouldRun        bool                   `json:"wanted"`    // whether it should run, according to the replicated state
	RequestedRestart uint64                 `json:"restart"`   // number of the last restart command on it
	CompletedRestart uint64                 `json:"restarted"` // number of the last restart command that was carried out
	State            supervisor.State       `json:"state"`
	MemberState      members.State          `json:"member"`
	Failures         int                    `json:"falls"`         // failures in a row
	Reason           string                 `json:"why,omitempty"` // of the last failure
	OrderResults     map[string]OrderResult `json:"heard"`         // latest answers to orders, by server UID
	Status           *control.Status        `json:"status,omitempty"`
	PolledAt         logic.Micros           `json:"polled"` // Unix time of the last Status; 0 if none
}

// localView returns what this agent knows without asking others.
func (a *Agent) localView() View {
	isLeader, term := a.journal.IsLeader()
	v := View{Agent: a.config.Name, Leader: a.journal.Leader(), IsLeader: isLeader, Term: term, Voters: a.journal.voters(), Now: a.clock.Wall(), RecentCommands: []clusterstate.Entry{}, SilentAgents: []string{}}
	memberStates := map[string]members.State{}
	a.withMemberList(func(list memberList) {
		v.Members = list.All()
		for _, m := range v.Members {
			memberStates[m.Name] = m.State
		}
	})
	specs := map[string]clusterstate.InstanceSpec{}
	shouldRun := map[string]bool{}
	a.journal.ReadState(func(state *clusterstate.State) {
		v.AppliedIndex = state.AppliedIndex
		v.RecentCommands = append(v.RecentCommands, state.RecentCommands...)
		v.RollingRestarts = append(v.RollingRestarts, state.RollingRestarts...)
		for name := range state.Barred {
			v.Barred = append(v.Barred, name)
		}
		for _, e := range state.Orders {
			v.Orders = append(v.Orders, e)
		}
		for _, i := range a.instances {
			specs[i.Name], shouldRun[i.Name] = state.InstanceSpec(i.Name)
		}
	})
	slices.Sort(v.Barred)
	v.Duties, v.HeldDuties = a.duties.view()
	for _, i := range a.instances {
		view := i.view(specs[i.Name], shouldRun[i.Name])
		view.MemberState = memberStates[i.Name]
		v.Instances = append(v.Instances, view)
	}
	return v
}
