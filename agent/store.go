package agent

import (
	"errors"
	"sync"

	"github.com/hashicorp/raft"
	boltdb "github.com/hashicorp/raft-boltdb/v2"
)

// shelf is where the log lies. It tells when something could not be written there: from then on the log in memory and the one on
// the disk may differ. Where a newer leader's entries replace some, raft takes the old ones off the disk first, and where the new
// ones then find no room goes on as if the old ones were there; it answers every leader that it lacks an entry, for good. The
// agent ends by that, and its next start sees what is there.
type shelf struct {
	*boltdb.BoltStore
	apart chan struct{}
	once  sync.Once
}

var errApart = errors.New("the log could not be written; this agent ends, and its next start goes on with what is there")

// StoreLog and StoreLogs add entries.
func (s *shelf) StoreLog(l *raft.Log) error { return s.StoreLogs([]*raft.Log{l}) }

func (s *shelf) StoreLogs(logs []*raft.Log) error {
	err := s.BoltStore.StoreLogs(logs)
	if err != nil {
		s.once.Do(func() { close(s.apart) })
	}
	return err
}
