package precisetimer_test

import (
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hatchproxy/lab/precisetimer"
)

func TestCallsRunAtTheirTimeInOrderAndStoppedOnesDoNot(t *testing.T) {
	begin := time.Now()
	var mu sync.Mutex
	var late []time.Duration
	var all sync.WaitGroup
	for i := range 200 {
		at := begin.Add(time.Duration(200-i) * time.Millisecond)
		all.Add(1)
		precisetimer.RunAt(at, func() {
			defer all.Done()
			mu.Lock()
			defer mu.Unlock()
			late = append(late, time.Since(at))
		})
		precisetimer.RunAt(at, func() { t.Error("it was stopped") }).Stop()
	}
	all.Wait()
	slices.Sort(late)
	require.GreaterOrEqual(t, late[0], time.Duration(0), "never early")
	require.Less(t, late[100], 5*time.Millisecond)
}

func TestWaitingEndsWithItsContext(t *testing.T) {
	done := make(chan struct{})
	time.AfterFunc(20*time.Millisecond, func() { close(done) })
	require.False(t, precisetimer.WaitUntil(time.Now().Add(time.Hour), done))
	require.True(t, precisetimer.WaitUntil(time.Now().Add(time.Millisecond), nil))
	require.True(t, precisetimer.WaitUntil(time.Now().Add(-time.Second), done), "what is past is past")
}
