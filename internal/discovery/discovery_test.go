package discovery_test

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hatchproxy/internal/discovery"
	"hatchproxy/lab/fleet"
	"hatchproxy/logic"
)

// listRecorder records the calls that a visitor gets.
type listRecorder []string

func (l *listRecorder) BeginFullList() { *l = append(*l, "begin") }
func (l *listRecorder) EndList()       { *l = append(*l, "end") }
func (l *listRecorder) Entry(uid, endpoint, zone, model string, cell logic.CellID, state logic.State,
	weight float64, launched logic.Micros) {
	*l = append(*l, fmt.Sprint(uid, endpoint, zone, model, cell, state, weight, launched))
}

func TestDecodePassesOnEachField(t *testing.T) {
	version, visit, err := discovery.Decode([]byte(`{"rev":43,"all":true,"extra":1,"targets":[{"uid":"s-1","endpoint":"h:1","az":"a",
		"model":"m2","pod_group":3,"state":"draining","capacity_hint":1.5,"boot_ms":7}]}`))
	require.NoError(t, err)
	require.Equal(t, int64(43), version)
	recorder := &listRecorder{}
	visit(recorder)
	require.Equal(t, listRecorder{"begin", fmt.Sprint("s-1", "h:1", "a", "m2", 3, logic.Draining, 1.5, 7000), "end"}, *recorder)
}

// followVersions follows the list of the fake service at address and returns the versions that arrive.
func followVersions(t *testing.T, address string, hold time.Duration) <-chan int64 {
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	versions := make(chan int64, 100)
	go func() {
		_ = discovery.NewClient(address, hold).Follow(ctx, discovery.NoVersion, func(version int64, _ time.Duration, _ func(discovery.ListVisitor)) { versions <- version })
	}()
	return versions
}

// nextVersion waits for the next version.
func nextVersion(t *testing.T, versions <-chan int64) int64 {
	select {
	case version := <-versions:
		return version
	case <-time.After(10 * time.Second):
		require.Fail(t, "no version was received")
		return 0
	}
}

func TestASecondCallIsMadeBesideAnOverdueOne(t *testing.T) {
	for name, stall := range map[string]func(*fleet.ManualDiscovery, <-chan int64){
		"a watch": func(list *fleet.ManualDiscovery, versions <-chan int64) {
			require.Equal(t, int64(1), nextVersion(t, versions))
			require.Eventually(t, func() bool { return list.RequestCount() > 1 }, time.Second, time.Millisecond)
			list.SilenceOpenRequests()
		},
		"the first poll": func(list *fleet.ManualDiscovery, versions <-chan int64) {
			require.Eventually(t, func() bool { return list.RequestCount() > 0 }, time.Second, time.Millisecond)
			list.SetFailure("")
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			list, err := fleet.StartManualDiscovery()
			require.NoError(t, err)
			list.SetServer("s0", "127.0.0.1:1", "ready")
			if name == "the first poll" {
				list.SetFailure("silent")
			}
			versions := followVersions(t, list.Address(), 300*time.Millisecond)
			stall(list, versions)
			began := time.Now()
			list.SetServer("s0", "", "draining")
			require.Equal(t, int64(2), nextVersion(t, versions))
			require.Less(t, time.Since(began), 2300*time.Millisecond, "a change that a watch misses is received within 2 s after its hold time")
			require.Eventually(t, func() bool { return list.RequestCount() > 3 }, 2*time.Second, time.Millisecond, "a watch follows")
		})
	}
}

func TestFollowEndsWhenTheServiceRejectsACall(t *testing.T) {
	list, err := fleet.StartManualDiscovery()
	require.NoError(t, err)
	list.SetFailure("down")
	began := time.Now()
	err = discovery.NewClient(list.Address(), time.Second).Follow(context.Background(), discovery.NoVersion, nil)
	require.ErrorContains(t, err, "503")
	require.Less(t, time.Since(began), time.Second)
}

// Guards against an answer that never ends and fills the memory. The limit was once 64 MiB, for which the buffer grows to
// twice as much, while a proxy may have 32 MiB.
func TestAnswerSizeIsLimited(t *testing.T) {
	var written atomic.Int64
	service := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		part := bytes.Repeat([]byte(" "), 1<<20)
		for {
			n, err := w.Write(part)
			written.Add(int64(n))
			if err != nil {
				return
			}
		}
	}))
	defer service.Close()
	err := discovery.NewClient(service.Listener.Addr().String(), time.Second).Follow(context.Background(), discovery.NoVersion, nil)
	require.ErrorContains(t, err, "longer than")
	require.Less(t, written.Load(), int64(24<<20), "reading stops at the limit; the rest is in socket buffers")
}

func TestDecodeRejectsTruncatedAndTrailingData(t *testing.T) {
	const complete = `{"rev":2,"all":true,"targets":[{"uid":"s-1","endpoint":"h:1","state":"draining"}]}`
	for _, text := range []string{complete[:len(complete)-1], complete + "x", complete + complete, complete[1:], ""} {
		_, visit, err := discovery.Decode([]byte(text))
		require.Error(t, err, text)
		require.Nil(t, visit)
	}
	_, _, err := discovery.Decode([]byte("\n  " + strings.ReplaceAll(complete, ",", ",\n    ") + "\n"))
	require.NoError(t, err, "indented JSON is valid")
}

func FuzzDecode(f *testing.F) {
	f.Add([]byte(`{"rev":43,"all":false,"targets":[{"uid":"s","state":"gone","boot_ms":1e300}]}`))
	f.Add([]byte(`{"rev":null}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		_, visit, err := discovery.Decode(text)
		if err == nil {
			recorder := &listRecorder{}
			visit(recorder)
			require.Equal(t, "end", (*recorder)[len(*recorder)-1])
		}
	})
}

// Fleets have hundreds of servers. A list of 1100 is read in full, and one invalid entry makes all of it invalid.
func TestDecodeReadsALongListWhollyOrNotAtAll(t *testing.T) {
	list := func(states ...string) []byte {
		var b strings.Builder
		b.WriteString(`{"rev":7,"all":true,"targets":[`)
		for i, state := range states {
			if i > 0 {
				b.WriteString(",")
			}
			fmt.Fprintf(&b, `{"uid":"s-%08x","endpoint":"127.0.0.1:%d","az":"a","model":"m","pod_group":%d,"state":"%s","capacity_hint":1}`, i, 1024+i, i%300, state)
		}
		b.WriteString("]}")
		return []byte(b.String())
	}
	states := make([]string, 1100)
	for i := range states {
		states[i] = "ready"
	}
	_, visit, err := discovery.Decode(list(states...))
	require.NoError(t, err)
	recorder := &listRecorder{}
	visit(recorder)
	require.Len(t, *recorder, 1102)
	states[1050] = "odd"
	_, _, err = discovery.Decode(list(states...))
	require.ErrorContains(t, err, "odd")
}
