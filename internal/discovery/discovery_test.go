package discovery_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"hatchproxy/internal/discovery"
	"hatchproxy/logic"
)

// told notes what a list says.
type told []string

func (l *told) Whole() { *l = append(*l, "whole") }
func (l *told) Done()  { *l = append(*l, "done") }
func (l *told) Entry(uid, endpoint, zone, model string, cell logic.CellID, state logic.State,
	weight float64, launched logic.Micros) {
	*l = append(*l, fmt.Sprint(uid, endpoint, zone, model, cell, state, weight, launched))
}

func TestAnAnswerIsToldFieldByField(t *testing.T) {
	version, tell, err := discovery.Decode([]byte(`{"rev":43,"all":true,"extra":1,"targets":[{"uid":"s-1","endpoint":"h:1","az":"a",
		"model":"m2","pod_group":3,"state":"draining","capacity_hint":1.5,"boot_ms":7}]}`))
	require.NoError(t, err)
	require.Equal(t, int64(43), version)
	l := &told{}
	tell(l)
	require.Equal(t, told{"whole", fmt.Sprint("s-1", "h:1", "a", "m2", 3, logic.Draining, 1.5, 7000), "done"}, *l)
}

func FuzzDecode(f *testing.F) {
	f.Add([]byte(`{"rev":43,"all":false,"targets":[{"uid":"s","state":"gone","boot_ms":1e300}]}`))
	f.Add([]byte(`{"rev":null}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		_, tell, err := discovery.Decode(text)
		if err == nil {
			l := &told{}
			tell(l)
			require.Equal(t, "done", (*l)[len(*l)-1])
		}
	})
}
