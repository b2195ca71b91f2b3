package proxy

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hatchproxy/internal/discovery"
	"hatchproxy/logic"
)

// What a failed call does to the time until which the list is fresh. In each case the list was answered at 100 s, and a watch of
// 10 s began then.
func TestFreshnessAfterFailedCalls(t *testing.T) {
	type failure struct {
		at      logic.Micros // in seconds
		contact discovery.Contact
		heldFor time.Duration
	}
	const s = time.Second
	for name, c := range map[string]struct {
		failures []failure
		byAgent  bool
		want     logic.Micros // in seconds
	}{
		"none":                                 {nil, false, 112},
		"the watch is silent":                  {[]failure{{111, discovery.Silent, 0}}, false, 112},
		"the watch is turned away":             {[]failure{{101, discovery.Rejected, s}}, false, 106},
		"the watch is reset at once":           {[]failure{{101, discovery.Ended, s}}, false, 106},
		"the watch is ended late":              {[]failure{{105, discovery.Ended, 5 * s}}, false, 111},
		"ended late, then turned away":         {[]failure{{105, discovery.Ended, 5 * s}, {107, discovery.Rejected, 0}}, false, 111},
		"turned away, then refused":            {[]failure{{101, discovery.Rejected, s}, {103, discovery.Unreachable, 0}}, false, 106},
		"reset, then refused":                  {[]failure{{101, discovery.Ended, s}, {103, discovery.Unreachable, 0}}, false, 109},
		"reset, refused, then turned away":     {[]failure{{101, discovery.Ended, s}, {103, discovery.Unreachable, 0}, {104, discovery.Rejected, 0}}, false, 109},
		"refused when outdated":                {[]failure{{101, discovery.Ended, s}, {107, discovery.Unreachable, 0}}, false, 106},
		"the agent turns a call away":          {[]failure{{101, discovery.Rejected, s}}, true, 101},
		"the agent is restarted":               {[]failure{{101, discovery.Ended, s}, {102, discovery.Unreachable, 0}}, true, 108},
		"the watch is silent, the poll is not": {[]failure{{111, discovery.Rejected, 0}}, false, 106},
	} {
		t.Run(name, func(t *testing.T) {
			f := listFreshness{pushedByAgent: c.byAgent}
			f.begin(90 * second)
			f.answered(100*second, 10*time.Second)
			for _, failure := range c.failures {
				f.callFailed(failure.at*second, failure.contact, failure.heldFor)
			}
			require.Equal(t, c.want*second, f.freshUntil)
		})
	}
}
