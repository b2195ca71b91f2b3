package precisetimer_test

import (
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hatchproxy/lab/precisetimer"
)

func TestCallbacksRunOnTimeUnlessStopped(t *testing.T) {
	start := time.Now()
	var mu sync.Mutex
	var lateness []time.Duration
	var waitGroup sync.WaitGroup
	for i := range 200 {
		at := start.Add(time.Duration(200-i) * time.Millisecond)
		waitGroup.Add(1)
		precisetimer.RunAt(at, func() {
			defer waitGroup.Done()
			mu.Lock()
			defer mu.Unlock()
			lateness = append(lateness, time.Since(at))
		})
		precisetimer.RunAt(at, func() { t.Error("a stopped timer has fired") }).Stop()
	}
	waitGroup.Wait()
	slices.Sort(lateness)
	require.GreaterOrEqual(t, lateness[0], time.Duration(0), "no callback runs early")
	require.Less(t, lateness[100], 5*time.Millisecond)
}

func TestWaitUntilEndsWhenDoneIsClosed(t *testing.T) {
	done := make(chan struct{})
	time.AfterFunc(20*time.Millisecond, func() { close(done) })
	require.False(t, precisetimer.WaitUntil(time.Now().Add(time.Hour), done))
	require.True(t, precisetimer.WaitUntil(time.Now().Add(time.Millisecond), nil))
	require.True(t, precisetimer.WaitUntil(time.Now().Add(-time.Second), done), "a time in the past is reached, even if done is closed")
}
