package proxy

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// The memory of ids is bounded: those that were sent first go first, and are counted. An id that was removed and comes again counts as
// sent anew.
func TestTheMemoryOfSentIDsIsBounded(t *testing.T) {
	var s sentIDs
	for id := range uint64(maxSentIDs) {
		s.add(id, 10)
	}
	s.remove(0)
	s.add(0, 10)
	require.Zero(t, s.takeForgotten())
	s.add(maxSentIDs, 20)
	require.Equal(t, 1, s.takeForgotten())
	require.False(t, s.contains(5, 1), "it was the oldest")
	require.True(t, s.contains(5, 0))
	require.Len(t, s.remaining(5), maxSentIDs)
	s.add(maxSentIDs, 30)
	s.expire(10)
	require.Len(t, s.order, 1)
	require.True(t, s.contains(29, maxSentIDs), "the later time counts")
	require.False(t, s.contains(30, maxSentIDs))
}
