package agent

import (
	"cmp"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/hashicorp/raft"
	boltdb "github.com/hashicorp/raft-boltdb/v2"
	"go.etcd.io/bbolt"

	"encoding/json"

	"hatchproxy/agent/clusterstate"
	"hatchproxy/internal/transient"
)

// Journal is this agent's copy of the replicated log of commands, with the state that results from it. It owns the log's files and
// the port on which the agents replicate it.
type Journal struct {
	raft         *raft.Raft
	store        *logStore
	transport    *guardedTransport
	hadState     bool              // whether a log existed when it was opened
	logAddresses map[string]string // by agent, this one included: the address at which the others reach its log
	nonvoters    []string          // agents that start without a vote
	admitPeers   func()            // starts accepting and making connections for replication
	*stateMachine
}

// stateMachine applies committed log entries to the state and saves the result to a file. The log alone doesn't show which of its
// entries are committed until a leader says so, so without the file an agent that restarts while the others are unreachable would
// have no state for its instances.
type stateMachine struct {
	mu        sync.Mutex
	state     clusterstate.State
	persisted clusterstate.State // what was saved before this start; used until the log has been applied up to the same index
	path      string             // the file that the state is saved to
	changed   chan struct{}      // closed at the next change
}

const (
	// defaultElectionTimeout is how long the agents wait without a message from the leader before they elect another. It suits a
	// network within one site, with delays of milliseconds. Between sites the timeout has to be well above the round-trip time; the
	// agents' configuration files can set it.
	defaultElectionTimeout = 300 * time.Millisecond
	// commitNotifyInterval is how often a leader reports to each other agent up to which entry the log is committed. Shorter intervals
	// multiply the traffic of a large idle cluster, and commands then arrive later: a hundred idle agents sent 3.7 MB/s in all and
	// received commands after a median of 192 ms at an interval of 5 ms; at 25 ms it was 1.5 MB/s and 133 ms.
	commitNotifyInterval = 25 * time.Millisecond
	// raftAcceptTimeout limits how long a command, a barrier or a change of the cluster's members may wait until raft accepts it. It does
	// not limit the time until that is committed, which has no limit while this agent leads.
	raftAcceptTimeout = 5 * time.Second
	// keptSnapshots is the number of snapshots on disk. The older one is used if the newer one is damaged.
	keptSnapshots = 2
)

// streamLayer makes and accepts the connections for replication. It connects from the agent's source address and gives the
// others the agent's advertised address.
type streamLayer struct {
	*gatedListener
	sourceIP, advertisedAddress string
}

// advertisedAddr is a net.Addr that holds an advertised address as it was configured.
type advertisedAddr string

// Network returns "tcp".
func (a advertisedAddr) Network() string { return "tcp" }

// String returns the address.
func (a advertisedAddr) String() string { return string(a) }

// Addr returns the address at which the other agents reach this log.
func (l streamLayer) Addr() net.Addr { return advertisedAddr(l.advertisedAddress) }

// Dial connects to the log of another agent. It fails until this agent takes part in the replication.
func (l streamLayer) Dial(address raft.ServerAddress, timeout time.Duration) (net.Conn, error) {
	if !l.isOpen() {
		return nil, errors.New("this agent does not take part in the replication yet")
	}
	return newDialer(l.sourceIP, timeout).Dial("tcp", string(address))
}

// openJournal opens the agent's log in its data directory. If there is none yet, the agent takes no part in the replication until it
// joins or bootstraps the cluster (bootstrap.go).
func openJournal(config *Config) (j *Journal, err error) {
	dir, name := config.DataDir, config.Name
	path := filepath.Join(dir, "log.db")
	_, statErr := os.Stat(path)
	// Removes the partial file that a full disk may leave behind: the next start would take it for a corrupt log.
	defer func() {
		if err != nil && os.IsNotExist(statErr) {
			_ = os.Remove(path)
		}
	}()
	// The database panics on a corrupt file. That is reported, and the file is left untouched rather than read in part.
	defer func() {
		if cause := recover(); cause != nil {
			j, err = nil, fmt.Errorf("%s is corrupt (%v); nothing was changed: move it away, and this agent gets its state from the other agents, if there are any", path, cause)
		}
	}()
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, err
	}
	bolt, err := boltdb.New(boltdb.Options{Path: path, BoltOptions: &bbolt.Options{Timeout: 2 * time.Second}})
	if err != nil {
		return nil, fmt.Errorf("%s cannot be opened; nothing was changed (is another agent running there?): %w", path, err)
	}
	store := &logStore{BoltStore: bolt, writeFailed: make(chan struct{})}
	closeStore := func(err error) (*Journal, error) { return nil, errors.Join(err, store.Close()) }
	snapshots, err := raft.NewFileSnapshotStore(dir, keptSnapshots, io.Discard)
	if err != nil {
		return closeStore(err)
	}
	hadState, err := raft.HasExistingState(store, store, snapshots)
	if err != nil {
		return closeStore(err)
	}
	listener, err := net.Listen("tcp", config.LogAddress)
	if err != nil {
		return closeStore(err)
	}
	addresses := map[string]string{name: cmp.Or(config.AdvertisedLogAddress, config.LogAddress)}
	var nonvoters []string
	for _, peer := range config.Peers {
		addresses[peer.Name] = peer.LogAddress
		if peer.NonVoter {
			nonvoters = append(nonvoters, peer.Name)
		}
	}
	logGate := &gatedListener{Listener: listener, openSignal: make(chan struct{}), closeSignal: make(chan struct{})}
	transport := newGuardedTransport(raft.NewNetworkTransport(streamLayer{logGate, config.SourceAddress, addresses[name]}, 3, time.Second, io.Discard))
	timeout, err := config.electionTimeout()
	if err != nil {
		return closeStore(err)
	}
	c := raft.DefaultConfig()
	c.LocalID = raft.ServerID(name)
	c.HeartbeatTimeout, c.ElectionTimeout, c.LeaderLeaseTimeout, c.CommitTimeout = timeout, timeout, timeout*2/3, commitNotifyInterval
	c.Logger = hclog.New(&hclog.LoggerOptions{Level: hclog.Error, Output: os.Stderr})
	j = &Journal{store: store, transport: transport, hadState: hadState, logAddresses: addresses, nonvoters: nonvoters, admitPeers: sync.OnceFunc(func() { close(logGate.openSignal) }),
		stateMachine: newStateMachine(filepath.Join(dir, "applied.json"))}
	if j.raft, err = raft.NewRaft(c, j.stateMachine, store, store, snapshots, transport); err != nil {
		return closeStore(errors.Join(err, transport.Close()))
	}
	return j, nil
}

// Close stops the replication and closes the log's files.
func (j *Journal) Close() error {
	return errors.Join(j.raft.Shutdown().Error(), j.transport.Close(), j.store.Close())
}

// errNotLeader is returned by an agent that is not the leader.
var errNotLeader = errors.New("this agent does not lead")

// Submit appends a command to the log, waits until it is committed and applied, and returns its number. It fails with errNotLeader
// unless this agent leads. After any other failure of the log it is unknown whether the command was committed.
func (j *Journal) Submit(c clusterstate.Command) (uint64, error) {
	if err := clusterstate.Validate(c); err != nil {
		return 0, err
	}
	data, err := json.Marshal(c)
	if err != nil {
		return 0, err
	}
	future := j.raft.Apply(data, raftAcceptTimeout)
	if err := future.Error(); err != nil {
		if errors.Is(err, raft.ErrNotLeader) {
			return 0, errNotLeader
		}
		return 0, fmt.Errorf("it is not known whether it was agreed on: %w", err)
	}
	result := future.Response().(applyResult)
	return result.number, result.err
}

// Leader returns the name of the agent that leads, "" if none is known.
func (j *Journal) Leader() string {
	_, id := j.raft.LeaderWithID()
	return string(id)
}

// Term returns the current term.
func (j *Journal) Term() uint64 { return j.raft.CurrentTerm() }

// IsLeader reports whether this agent leads, and the current term. If the term changes during the call, it reports false.
func (j *Journal) IsLeader() (bool, uint64) {
	before := j.raft.CurrentTerm()
	leads := j.raft.State() == raft.Leader
	term := j.raft.CurrentTerm()
	return leads && before == term, term
}

// ReadState calls read with the current state, which read must neither change nor keep.
func (j *Journal) ReadState(read func(*clusterstate.State)) {
	j.mu.Lock()
	defer j.mu.Unlock()
	read(j.current())
}

// newStateMachine returns a state machine that starts from the state saved at path. A file that cannot be read is ignored: the log
// holds the same commands.
func newStateMachine(path string) *stateMachine {
	m := &stateMachine{path: path, changed: make(chan struct{})}
	if data, err := transient.ReadFile(path); err == nil {
		_ = m.persisted.Decode(data)
	}
	return m
}

// current returns the newer of the applied and the saved state. The caller holds the lock.
func (m *stateMachine) current() *clusterstate.State {
	if m.persisted.AppliedIndex > m.state.AppliedIndex {
		return &m.persisted
	}
	return &m.state
}

// persist saves the state, which is done before those who wait for a change are notified. The caller holds the lock.
func (m *stateMachine) persist() {
	if m.persisted.AppliedIndex >= m.state.AppliedIndex {
		return
	}
	data, err := m.state.Encode()
	if err == nil {
		err = writeFileAtomically(m.path, data)
	}
	if err != nil {
		// The agent goes on: a full disk must not keep orders from the instances. If it restarts without the other agents before
		// there is space again, it starts from the state that was saved last.
		slog.Error("cannot save the applied state", "error", err)
	}
}

// Changed returns a channel that is closed at the next change of the state.
func (j *Journal) Changed() <-chan struct{} {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.changed
}

// applyResult is the result of a command: its number, or why it was rejected.
type applyResult struct {
	number uint64
	err    error
}

// Apply applies a committed log entry. It is called by raft.
func (m *stateMachine) Apply(l *raft.Log) any {
	var c clusterstate.Command
	if err := json.Unmarshal(l.Data, &c); err != nil {
		return applyResult{0, err}
	}
	// A grant is rejected unless it is in the log under the term in which its author read the state. Otherwise another agent may
	// have led in between and renewed the lease of the holder that the grant replaces.
	outdated := c.Verb == clusterstate.Grant && c.Term != l.Term
	if outdated {
		c = clusterstate.Command{} // an invalid command: only the applied index advances
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	number, err := m.state.Apply(l.Index, c)
	if outdated {
		err = fmt.Errorf("it was looked up in another term than %d", l.Term)
	}
	m.persist()
	m.notifyChanged()
	return applyResult{number, err}
}

// notifyChanged wakes everyone who waits for a change. The caller holds the lock.
func (m *stateMachine) notifyChanged() {
	close(m.changed)
	m.changed = make(chan struct{})
}

// Snapshot returns the encoded state, with which raft replaces old log entries.
func (m *stateMachine) Snapshot() (raft.FSMSnapshot, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	data, err := m.state.Encode()
	return snapshot(data), err
}

// Restore replaces the state with one from a snapshot.
func (m *stateMachine) Restore(from io.ReadCloser) error {
	defer from.Close()
	data, err := io.ReadAll(from)
	if err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.state.Decode(data); err != nil {
		return err
	}
	m.persist()
	m.notifyChanged()
	return nil
}

// snapshot is an encoded state.
type snapshot []byte

// Persist writes the snapshot to raft's snapshot store.
func (s snapshot) Persist(sink raft.SnapshotSink) error {
	if _, err := sink.Write(s); err != nil {
		return errors.Join(err, sink.Cancel())
	}
	return sink.Close()
}

// Release does nothing: a snapshot holds no resources.
func (s snapshot) Release() {}
