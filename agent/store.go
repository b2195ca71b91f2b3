package agent

import (
	"errors"
	"sync"

	"github.com/hashicorp/raft"
	boltdb "github.com/hashicorp/raft-boltdb/v2"
)

// shelf is where the log lies. It tells when the log in memory and the one on the disk have come apart: where a newer leader's
// entries replace some, raft takes the old ones off the disk first, and where the new ones then find no room, goes on as if the old
// ones were there. From then on it answers every leader that it lacks an entry, for good. The agent ends by that, and its next
// start sees what is there.
type shelf struct {
	*boltdb.BoltStore
	mu    sync.Mutex
	cut   bool // entries were taken off the end, and none have come in their place yet
	apart chan struct{}
	once  sync.Once
}

var errApart = errors.New("the disk took entries off the log and had no room for those in their place; this agent ends, and its next start goes on")

// DeleteRange takes entries away.
func (s *shelf) DeleteRange(from, to uint64) error {
	last, err := s.LastIndex()
	if err == nil {
		err = s.BoltStore.DeleteRange(from, to)
	}
	if err == nil && to >= last {
		s.mu.Lock()
		s.cut = true
		s.mu.Unlock()
	}
	return err
}

// StoreLog and StoreLogs add some.
func (s *shelf) StoreLog(l *raft.Log) error { return s.StoreLogs([]*raft.Log{l}) }

func (s *shelf) StoreLogs(logs []*raft.Log) error {
	err := s.BoltStore.StoreLogs(logs)
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil && s.cut {
		s.once.Do(func() { close(s.apart) })
	}
	s.cut = s.cut && err != nil
	return err
}
