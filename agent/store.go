package agent

import (
	"errors"
	"sync"

	"github.com/hashicorp/raft"
	boltdb "github.com/hashicorp/raft-boltdb/v2"
)

// logStore stores the log on disk and reports when entries could not be written. After such a failure the log in memory and the one on
// disk may differ: when the entries of a newer leader replace some, raft first deletes the old ones from disk, and if there is then no
// space for the new ones it goes on as if the old ones were still there, and rejects every leader's entries for good because one is
// missing. The agent therefore ends at the first failed write, and its next start goes by what is on disk.
type logStore struct {
	*boltdb.BoltStore
	writeFailed chan struct{} // closed at the first failed write
	once        sync.Once
}

// errLogWriteFailed is why an agent ends whose log could not be written.
var errLogWriteFailed = errors.New("the log could not be written; this agent ends, and continues at its next start with what is on disk")

// StoreLog appends an entry.
func (s *logStore) StoreLog(l *raft.Log) error { return s.StoreLogs([]*raft.Log{l}) }

// StoreLogs appends entries.
func (s *logStore) StoreLogs(logs []*raft.Log) error {
	err := s.BoltStore.StoreLogs(logs)
	if err != nil {
		s.once.Do(func() { close(s.writeFailed) })
	}
	return err
}
