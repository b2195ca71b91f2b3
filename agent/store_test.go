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

// A leader's entries replaced some of a voter whose disk was full: the old ones were deleted and the new ones could not be written. From
// then on the voter rejected every leader's entries because one was missing, even once there was space again (hatchlab chaos,
// three.toml, seed 3032).
func TestFailedLogWriteIsReported(t *testing.T) {
	b, err := boltdb.NewBoltStore(filepath.Join(t.TempDir(), "log.db"))
	require.NoError(t, err)
	s := &logStore{BoltStore: b, writeFailed: make(chan struct{})}
	require.NoError(t, s.StoreLogs([]*raft.Log{{Index: 1}, {Index: 2}, {Index: 3}}))
	require.NoError(t, s.DeleteRange(2, 3))
	require.NoError(t, s.StoreLog(&raft.Log{Index: 2}))
	select {
	case <-s.writeFailed:
		t.Fatal("a failure was reported although everything was written")
	default:
	}
	require.NoError(t, s.Close()) // all further writes fail
	require.Error(t, s.StoreLog(&raft.Log{Index: 3}))
	<-s.writeFailed
}

// A grant was decided in one term of its author and committed in a later one. Another agent had led in between and renewed the lease of
// the previous holder.
func TestGrantFromAnEarlierTermIsRejected(t *testing.T) {
	m := newStateMachine(filepath.Join(t.TempDir(), "applied.json"))
	apply := func(index, term uint64, c clusterstate.Command) error {
		data, err := json.Marshal(c)
		require.NoError(t, err)
		return m.Apply(&raft.Log{Index: index, Term: term, Data: data}).(applyResult).err
	}
	grant := clusterstate.Command{ID: "g", Verb: clusterstate.Grant, Duty: "d", Holder: "a0", Term: 3}
	require.ErrorContains(t, apply(5, 4, grant), "another term")
	require.Empty(t, m.state.Duties)
	require.NoError(t, apply(6, 3, grant))
	require.EqualValues(t, 6, m.state.Duties["d"].Token)
	require.Error(t, apply(7, 3, grant), "it replaces a token that is no longer current")
	grant.Token, grant.Holder = 6, "a1"
	require.NoError(t, apply(8, 3, grant))
	roll := clusterstate.Command{ID: "r", Verb: clusterstate.Roll, Instances: []string{"n0", "n1", "n2"}, Share: 0.4}
	require.NoError(t, apply(9, 3, roll))
	step := clusterstate.Command{ID: "r-0", Verb: clusterstate.Step, RollingRestartID: "r", Duty: "d", Token: 6}
	require.ErrorContains(t, apply(10, 3, step), "held by token 8, and this is 6", "the holder was delayed between its check and its action")
	step.Token = 8
	require.NoError(t, apply(11, 3, step))
	step.ID = "r-0 again"
	require.ErrorContains(t, apply(12, 3, step), "has begun 1 steps")
	require.NoError(t, apply(13, 3, clusterstate.Command{ID: "p", Verb: clusterstate.Pause, RollingRestartID: "r"}))
	step.ID, step.Step = "r-1", 1
	require.ErrorContains(t, apply(14, 3, step), "is paused")
	require.NoError(t, apply(15, 3, clusterstate.Command{ID: "o", Verb: clusterstate.Resume, RollingRestartID: "r"}))
	for n := range uint64(3) {
		step.ID, step.Step = fmt.Sprint("r-", n+1), int(n)+1
		require.NoError(t, apply(16+n, 3, step))
	}
	require.Equal(t, clusterstate.Done, m.state.RollingRestarts[0].State)
	restarted := newStateMachine(m.path)
	require.Equal(t, m.state.Duties, restarted.current().Duties, "the tokens survive a restart")
}
