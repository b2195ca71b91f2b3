package agent

import (
	"errors"
	"sync"

	"github.com/hashicorp/raft"
	boltdb "github.com/hashicorp/raft-boltdb/v2"
)

// logStore is where the log lies. It tells when something could not be written there: from then on the log in memory and the one on
// the disk may differ. Where a newer leader's entries replace some, raft takes the old ones off the disk first, and where the new
// ones then find no room goes on as if the old ones were there; it answers every leader that it lacks an entry, for good. The
// agent ends by that, and its next start sees what is there.
type logStore struct {
	*boltdb.BoltStore
	writeFailed chan struct{}
	once        sync.Once
}

var errLogWriteFailed = errors.New("the log could not be written; this agent ends, and its next start goes on with what is there")

// StoreLog and StoreLogs add entries.
func (s *logStore) StoreLog(l *raft.Log) error { return s.StoreLogs([]*raft.Log{l}) }

func (s *logStore) StoreLogs(logs []*raft.Log) error {
	err := s.BoltStore.StoreLogs(logs)
	if err != nil {
		s.once.Do(func() { close(s.writeFailed) })
	}
	return err
}
