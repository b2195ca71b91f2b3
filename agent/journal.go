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

// Journal is the replicated log of commands and the state that it leads to. It owns its files and its port.
type Journal struct {
	raft         *raft.Raft
	store        *logStore
	transport    *guardedTransport
	hadState     bool              // there was a log when it was opened
	logAddresses map[string]string // where the agents' logs reach each other, this one among them
	nonvoters    []string          // those that have no vote at first
	admitPeers   func()            // lets the other agents' logs in
	*stateMachine
}

// stateMachine applies the log to the state. What it has applied is written down too: a log alone does not know how far it was agreed
// on until a leader says so, and an agent that comes back alone would have its instances go by nothing.
type stateMachine struct {
	mu        sync.Mutex
	state     clusterstate.State
	persisted clusterstate.State // what was applied before this start; it counts until the log has come that far again
	path      string             // where it is written down
	changed   chan struct{}
}

const (
	// defaultElectionTimeout is how often a leader tells that it is there; without it for as long another is chosen. On one site's
	// network, where a way takes milliseconds. Between sites it has to be well above there and back: agents' files may say more.
	defaultElectionTimeout = 300 * time.Millisecond
	// commitNotifyInterval is how often a leader tells each other agent how far has been agreed on. With 5 ms a hundred agents at rest
	// had 3.7 MB a second between them and heard commands later (p50 192 ms, with 25 ms 133 ms and 1.5 MB).
	commitNotifyInterval = 25 * time.Millisecond
	// commitTimeout is how long a command may take until most agents have it.
	commitTimeout = 5 * time.Second
	// keptSnapshots are two: the one before serves if the last is torn.
	keptSnapshots = 2
)

// streamLayer is how logs reach each other: from the agent's own address, and under the one that it is known by.
type streamLayer struct {
	*gate
	sourceIP, advertisedAddress string
}

type logAddress string

func (a logAddress) Network() string { return "tcp" }
func (a logAddress) String() string  { return string(a) }

// Addr is where the others reach this log.
func (l streamLayer) Addr() net.Addr { return logAddress(l.advertisedAddress) }

// Dial calls another's.
func (l streamLayer) Dial(at raft.ServerAddress, within time.Duration) (net.Conn, error) {
	if !l.isOpen() {
		return nil, errors.New("this agent takes no part yet")
	}
	return newDialer(l.sourceIP, within).Dial("tcp", string(at))
}

// openJournal opens an agent's log in its folder. Where there is none yet, it takes no part until it is founded (founding.go).
func openJournal(p *Config) (j *Journal, err error) {
	folder, name := p.DataDir, p.Name
	at := filepath.Join(folder, "log.db")
	_, missing := os.Stat(at)
	// Guards against a file that a full disk has left half made: the next start would find it torn.
	defer func() {
		if err != nil && os.IsNotExist(missing) {
			_ = os.Remove(at)
		}
	}()
	// Guards against half a state: what cannot be read is said, and nothing is touched.
	defer func() {
		if p := recover(); p != nil {
			j, err = nil, fmt.Errorf("%s is torn (%v); nothing was changed: set it aside, and the other agents, if there are any, tell this one what stands", at, p)
		}
	}()
	if err := os.MkdirAll(folder, 0o700); err != nil {
		return nil, err
	}
	bolt, err := boltdb.New(boltdb.Options{Path: at, BoltOptions: &bbolt.Options{Timeout: 2 * time.Second}})
	if err != nil {
		return nil, fmt.Errorf("%s cannot be opened; nothing was changed (is another agent running there?): %w", at, err)
	}
	store := &logStore{BoltStore: bolt, writeFailed: make(chan struct{})}
	shut := func(err error) (*Journal, error) { return nil, errors.Join(err, store.Close()) }
	snapshots, err := raft.NewFileSnapshotStore(folder, keptSnapshots, io.Discard)
	if err != nil {
		return shut(err)
	}
	had, err := raft.HasExistingState(store, store, snapshots)
	if err != nil {
		return shut(err)
	}
	l, err := net.Listen("tcp", p.LogAddress)
	if err != nil {
		return shut(err)
	}
	reached := map[string]string{name: cmp.Or(p.AdvertisedLogAddress, p.LogAddress)}
	var hear []string
	for _, peer := range p.Peers {
		reached[peer.Name] = peer.Log
		if peer.NonVoter {
			hear = append(hear, peer.Name)
		}
	}
	g := &gate{Listener: l, openSignal: make(chan struct{}), closeSignal: make(chan struct{})}
	trans := newGuardedTransport(raft.NewNetworkTransport(streamLayer{g, p.SourceAddress, reached[name]}, 3, time.Second, io.Discard))
	silence, err := p.electionTimeout()
	if err != nil {
		return shut(err)
	}
	c := raft.DefaultConfig()
	c.LocalID = raft.ServerID(name)
	c.HeartbeatTimeout, c.ElectionTimeout, c.LeaderLeaseTimeout, c.CommitTimeout = silence, silence, silence*2/3, commitNotifyInterval
	c.Logger = hclog.New(&hclog.LoggerOptions{Level: hclog.Error, Output: os.Stderr})
	j = &Journal{store: store, transport: trans, hadState: had, logAddresses: reached, nonvoters: hear, admitPeers: sync.OnceFunc(func() { close(g.openSignal) }),
		stateMachine: newStateMachine(filepath.Join(folder, "applied.json"))}
	if j.raft, err = raft.NewRaft(c, j.stateMachine, store, store, snapshots, trans); err != nil {
		return shut(errors.Join(err, trans.Close()))
	}
	return j, nil
}

// Close ends it.
func (j *Journal) Close() error {
	return errors.Join(j.raft.Shutdown().Error(), j.transport.Close(), j.store.Close())
}

// errNotLeader is the answer of an agent that does not lead now.
var errNotLeader = errors.New("this agent does not lead")

// Submit has a command agreed on and returns its number. It is only done by the agent that leads.
func (j *Journal) Submit(c clusterstate.Command) (uint64, error) {
	if err := clusterstate.Validate(c); err != nil {
		return 0, err
	}
	text, err := json.Marshal(c)
	if err != nil {
		return 0, err
	}
	f := j.raft.Apply(text, commitTimeout)
	if err := f.Error(); err != nil {
		if errors.Is(err, raft.ErrNotLeader) {
			return 0, errNotLeader
		}
		return 0, fmt.Errorf("it is not known whether it was agreed on: %w", err)
	}
	said := f.Response().(applyResult)
	return said.number, said.err
}

// Leader is the name of the agent that leads; "" if none is known.
func (j *Journal) Leader() string {
	_, id := j.raft.LeaderWithID()
	return string(id)
}

// Term is the present one.
func (j *Journal) Term() uint64 { return j.raft.CurrentTerm() }

// IsLeader tells whether this agent leads, and the term. A term that turns while it is asked counts as one not led.
func (j *Journal) IsLeader() (bool, uint64) {
	before := j.raft.CurrentTerm()
	leads := j.raft.State() == raft.Leader
	term := j.raft.CurrentTerm()
	return leads && before == term, term
}

// ReadState reads the state; the state is not to be kept or changed.
func (j *Journal) ReadState(read func(*clusterstate.State)) {
	j.mu.Lock()
	defer j.mu.Unlock()
	read(j.current())
}

// newStateMachine starts with what was written down. What cannot be read counts as nothing: the log has it all.
func newStateMachine(path string) *stateMachine {
	m := &stateMachine{path: path, changed: make(chan struct{})}
	if text, err := transient.ReadFile(path); err == nil {
		_ = m.persisted.Decode(text)
	}
	return m
}

// current is the state that counts. The lock is held.
func (m *stateMachine) current() *clusterstate.State {
	if m.persisted.AppliedIndex > m.state.AppliedIndex {
		return &m.persisted
	}
	return &m.state
}

// persist writes the state down before anybody goes by it. The lock is held.
func (m *stateMachine) persist() {
	if m.persisted.AppliedIndex >= m.state.AppliedIndex {
		return
	}
	text, err := m.state.Encode()
	if err == nil {
		err = writeFileAtomically(m.path, text)
	}
	if err != nil {
		// It goes on: a full disk is no reason to keep an order from instances. Until it has room, this agent comes back alone with what
		// it wrote down last.
		slog.Error("what was agreed on cannot be written down", "error", err)
	}
}

// Changed is closed with the next change.
func (j *Journal) Changed() <-chan struct{} {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.changed
}

// applyResult is what became of a command.
type applyResult struct {
	number uint64
	err    error
}

// Apply is called by the log with what was agreed on.
func (m *stateMachine) Apply(l *raft.Log) any {
	var c clusterstate.Command
	if err := json.Unmarshal(l.Data, &c); err != nil {
		return applyResult{0, err}
	}
	// Guards against a grant by what was seen before another led meanwhile, who may have promised on: it must stand in the log of
	// the term in which its author looked.
	late := c.Verb == clusterstate.Grant && c.Term != l.Term
	if late {
		c = clusterstate.Command{} // it takes its place, and changes nothing
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	number, err := m.state.Apply(l.Index, c)
	if late {
		err = fmt.Errorf("it was looked up in another term than %d", l.Term)
	}
	m.persist()
	m.notifyChanged()
	return applyResult{number, err}
}

func (m *stateMachine) notifyChanged() {
	close(m.changed)
	m.changed = make(chan struct{})
}

// Snapshot and Restore keep the log short.
func (m *stateMachine) Snapshot() (raft.FSMSnapshot, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	text, err := m.state.Encode()
	return snapshot(text), err
}

func (m *stateMachine) Restore(from io.ReadCloser) error {
	defer from.Close()
	text, err := io.ReadAll(from)
	if err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.state.Decode(text); err != nil {
		return err
	}
	m.persist()
	m.notifyChanged()
	return nil
}

type snapshot []byte

func (s snapshot) Persist(to raft.SnapshotSink) error {
	if _, err := to.Write(s); err != nil {
		return errors.Join(err, to.Cancel())
	}
	return to.Close()
}

func (s snapshot) Release() {}
