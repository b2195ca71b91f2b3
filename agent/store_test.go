package agent

import (
	"encoding/json"
	"fmt"
	"path/filepath"
	"testing"

	"github.com/hashicorp/raft"
	boltdb "github.com/hashicorp/raft-boltdb/v2"
	"github.com/stretchr/testify/require"

	"hatchproxy/agent/clusterstate"
)

// A leader's entries replaced some of a voter whose disk was full: the old ones were gone and the new ones found no room. It answered
// every leader from then on that it lacked an entry, also when there was room again (hatchlab chaos, three.toml, seed 3032).
func TestALogThatComesApartFromTheDiskIsTold(t *testing.T) {
	b, err := boltdb.NewBoltStore(filepath.Join(t.TempDir(), "log.db"))
	require.NoError(t, err)
	s := &logStore{BoltStore: b, writeFailed: make(chan struct{})}
	require.NoError(t, s.StoreLogs([]*raft.Log{{Index: 1}, {Index: 2}, {Index: 3}}))
	require.NoError(t, s.DeleteRange(2, 3))
	require.NoError(t, s.StoreLog(&raft.Log{Index: 2}))
	select {
	case <-s.writeFailed:
		t.Fatal("all was written")
	default:
	}
	require.NoError(t, s.Close()) // nothing can be written any more
	require.Error(t, s.StoreLog(&raft.Log{Index: 3}))
	<-s.writeFailed
}

// A grant was made up while its author led, and came into the log when it led again: another had led between, and promised on.
func TestAGrantFromAnEarlierTermChangesNothing(t *testing.T) {
	m := newStateMachine(filepath.Join(t.TempDir(), "applied.json"))
	say := func(index, term uint64, c clusterstate.Command) error {
		text, err := json.Marshal(c)
		require.NoError(t, err)
		return m.Apply(&raft.Log{Index: index, Term: term, Data: text}).(applyResult).err
	}
	grant := clusterstate.Command{ID: "g", Verb: clusterstate.Grant, Duty: "d", Holder: "a0", Term: 3}
	require.ErrorContains(t, say(5, 4, grant), "another term")
	require.Empty(t, m.state.Duties)
	require.NoError(t, say(6, 3, grant))
	require.EqualValues(t, 6, m.state.Duties["d"].Token)
	require.Error(t, say(7, 3, grant), "it replaces what nobody holds any more")
	grant.Token, grant.Holder = 6, "a1"
	require.NoError(t, say(8, 3, grant))
	roll := clusterstate.Command{ID: "r", Verb: clusterstate.Roll, Instances: []string{"n0", "n1", "n2"}, Share: 0.4}
	require.NoError(t, say(9, 3, roll))
	step := clusterstate.Command{ID: "r-0", Verb: clusterstate.Step, RollingRestartID: "r", Duty: "d", Token: 6}
	require.ErrorContains(t, say(10, 3, step), "held by token 8, and this is 6", "its holder stalled between look and act")
	step.Token = 8
	require.NoError(t, say(11, 3, step))
	step.ID = "r-0 again"
	require.ErrorContains(t, say(12, 3, step), "has begun 1 steps")
	require.NoError(t, say(13, 3, clusterstate.Command{ID: "p", Verb: clusterstate.Pause, RollingRestartID: "r"}))
	step.ID, step.Step = "r-1", 1
	require.ErrorContains(t, say(14, 3, step), "is paused")
	require.NoError(t, say(15, 3, clusterstate.Command{ID: "o", Verb: clusterstate.Resume, RollingRestartID: "r"}))
	for n := range uint64(3) {
		step.ID, step.Step = fmt.Sprint("r-", n+1), int(n)+1
		require.NoError(t, say(16+n, 3, step))
	}
	require.Equal(t, clusterstate.Done, m.state.RollingRestarts[0].State)
	again := newStateMachine(m.path)
	require.Equal(t, m.state.Duties, again.current().Duties, "the tokens outlive a restart")
}
