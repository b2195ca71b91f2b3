package agent

import (
	"path/filepath"
	"testing"

	"github.com/hashicorp/raft"
	boltdb "github.com/hashicorp/raft-boltdb/v2"
	"github.com/stretchr/testify/require"
)

// A leader's entries replaced some of a voter whose disk was full: the old ones were gone and the new ones found no room. It answered
// every leader from then on that it lacked an entry, also when there was room again (hatchlab chaos, three.toml, seed 3032).
func TestALogThatComesApartFromTheDiskIsTold(t *testing.T) {
	open := func() *shelf {
		b, err := boltdb.NewBoltStore(filepath.Join(t.TempDir(), "log.db"))
		require.NoError(t, err)
		s := &shelf{BoltStore: b, apart: make(chan struct{})}
		require.NoError(t, s.StoreLogs([]*raft.Log{{Index: 1}, {Index: 2}, {Index: 3}}))
		return s
	}
	apart := func(s *shelf) bool {
		select {
		case <-s.apart:
			return true
		default:
			return false
		}
	}
	s := open()
	require.NoError(t, s.DeleteRange(2, 3))
	require.NoError(t, s.Close()) // nothing can be written any more
	require.Error(t, s.StoreLog(&raft.Log{Index: 2}))
	require.True(t, apart(s))

	s = open()
	require.NoError(t, s.DeleteRange(1, 2), "the log is kept short")
	require.NoError(t, s.DeleteRange(3, 3))
	require.NoError(t, s.StoreLog(&raft.Log{Index: 3}))
	require.NoError(t, s.Close())
	require.Error(t, s.StoreLog(&raft.Log{Index: 4}))
	require.False(t, apart(s), "what is in memory is on the disk")
}
