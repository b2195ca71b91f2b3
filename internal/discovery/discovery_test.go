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

// listRecorder notes what a list says.
type listRecorder []string

func (l *listRecorder) BeginFullList() { *l = append(*l, "whole") }
func (l *listRecorder) EndList()       { *l = append(*l, "done") }
func (l *listRecorder) Entry(uid, endpoint, zone, model string, cell logic.CellID, state logic.State,
	weight float64, launched logic.Micros) {
	*l = append(*l, fmt.Sprint(uid, endpoint, zone, model, cell, state, weight, launched))
}

func TestAnAnswerIsToldFieldByField(t *testing.T) {
	version, tell, err := discovery.Decode([]byte(`{"rev":43,"all":true,"extra":1,"targets":[{"uid":"s-1","endpoint":"h:1","az":"a",
		"model":"m2","pod_group":3,"state":"draining","capacity_hint":1.5,"boot_ms":7}]}`))
	require.NoError(t, err)
	require.Equal(t, int64(43), version)
	l := &listRecorder{}
	tell(l)
	require.Equal(t, listRecorder{"whole", fmt.Sprint("s-1", "h:1", "a", "m2", 3, logic.Draining, 1.5, 7000), "done"}, *l)
}

// followVersions follows a stand-in's list and notes the versions that are told.
func followVersions(t *testing.T, at string, hold time.Duration) <-chan int64 {
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	versions := make(chan int64, 100)
	go func() {
		_ = discovery.NewClient(at, hold).Follow(ctx, discovery.NoVersion, func(v int64, _ time.Duration, _ func(discovery.ListVisitor)) { versions <- v })
	}()
	return versions
}

// nextVersion waits for what is told next.
func nextVersion(t *testing.T, told <-chan int64) int64 {
	select {
	case version := <-told:
		return version
	case <-time.After(10 * time.Second):
		require.Fail(t, "nothing is told")
		return 0
	}
}

func TestACallThatIsOverdueIsMadeAgainBesideTheOneThatIsOut(t *testing.T) {
	for name, silent := range map[string]func(*fleet.Hand, <-chan int64){
		"a watch": func(list *fleet.Hand, told <-chan int64) {
			require.Equal(t, int64(1), nextVersion(t, told))
			require.Eventually(t, func() bool { return list.Calls() > 1 }, time.Second, time.Millisecond)
			list.Hush()
		},
		"the first look": func(list *fleet.Hand, told <-chan int64) {
			require.Eventually(t, func() bool { return list.Calls() > 0 }, time.Second, time.Millisecond)
			list.Break("")
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			list, err := fleet.ByHand()
			require.NoError(t, err)
			list.Set("s0", "127.0.0.1:1", "ready")
			if name == "the first look" {
				list.Break("silent")
			}
			told := followVersions(t, list.Address(), 300*time.Millisecond)
			silent(list, told)
			began := time.Now()
			list.Set("s0", "", "draining")
			require.Equal(t, int64(2), nextVersion(t, told))
			require.Less(t, time.Since(began), 2300*time.Millisecond, "2 s after its wait is over what it misses counts as told")
			require.Eventually(t, func() bool { return list.Calls() > 3 }, 2*time.Second, time.Millisecond, "it is watched again")
		})
	}
}

func TestAServiceThatTurnsCallsAwayEndsTheWatchAtOnce(t *testing.T) {
	list, err := fleet.ByHand()
	require.NoError(t, err)
	list.Break("down")
	began := time.Now()
	err = discovery.NewClient(list.Address(), time.Second).Follow(context.Background(), discovery.NoVersion, nil)
	require.ErrorContains(t, err, "503")
	require.Less(t, time.Since(began), time.Second)
}

// An answer that never ended was read up to 64 MiB, of which its buffer takes twice as much: a proxy has 32.
func TestAnAnswerThatNeverEndsIsGivenUpSoon(t *testing.T) {
	var wrote atomic.Int64
	at := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		part := bytes.Repeat([]byte(" "), 1<<20)
		for {
			n, err := w.Write(part)
			wrote.Add(int64(n))
			if err != nil {
				return
			}
		}
	}))
	defer at.Close()
	err := discovery.NewClient(at.Listener.Addr().String(), time.Second).Follow(context.Background(), discovery.NoVersion, nil)
	require.ErrorContains(t, err, "longer than")
	require.Less(t, wrote.Load(), int64(24<<20), "it was read no further, but for what sockets hold")
}

func TestAListThatWasCutShortOrHasMoreBehindItTellsNothing(t *testing.T) {
	const whole = `{"rev":2,"all":true,"targets":[{"uid":"s-1","endpoint":"h:1","state":"draining"}]}`
	for _, text := range []string{whole[:len(whole)-1], whole + "x", whole + whole, whole[1:], ""} {
		_, tell, err := discovery.Decode([]byte(text))
		require.Error(t, err, text)
		require.Nil(t, tell)
	}
	_, _, err := discovery.Decode([]byte("\n  " + strings.ReplaceAll(whole, ",", ",\n    ") + "\n"))
	require.NoError(t, err, "it may come indented")
}

func FuzzDecode(f *testing.F) {
	f.Add([]byte(`{"rev":43,"all":false,"targets":[{"uid":"s","state":"gone","boot_ms":1e300}]}`))
	f.Add([]byte(`{"rev":null}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		_, tell, err := discovery.Decode(text)
		if err == nil {
			l := &listRecorder{}
			tell(l)
			require.Equal(t, "done", (*l)[len(*l)-1])
		}
	})
}

// The trial plays hundreds of servers. A list of eleven hundred is told whole, and one wrong entry has it tell nothing.
func TestAListOfElevenHundredCountsWholeOrNotAtAll(t *testing.T) {
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
	_, tell, err := discovery.Decode(list(states...))
	require.NoError(t, err)
	l := &listRecorder{}
	tell(l)
	require.Len(t, *l, 1102)
	states[1050] = "odd"
	_, _, err = discovery.Decode(list(states...))
	require.ErrorContains(t, err, "odd")
}
