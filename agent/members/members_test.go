package members_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"hatchproxy/agent/members"
	"hatchproxy/logic"
)

const second = logic.Second

func TestAMemberIsSuspectedLostAndBackAsItsHeartbeatsGo(t *testing.T) {
	r := members.New(2*second, 8*second, 5*second)
	base := 1000 * second
	r.Expect(base, "n1", "instance")
	is := func(want members.State) {
		t.Helper()
		require.Equal(t, want, r.State("n1"))
	}
	is(members.Joining)
	require.Empty(t, r.Tick(base+7*second))
	is(members.Joining)
	require.True(t, r.RecordHeartbeat(base+7*second, "n1"))
	is(members.Alive)
	require.Empty(t, r.Tick(base+8*second))
	require.Len(t, r.Tick(base+9*second), 1)
	is(members.Suspected)
	require.Empty(t, r.Tick(base+10*second), "told once")
	r.RecordHeartbeat(base+10*second, "n1")
	is(members.Alive)
	r.Tick(base + 30*second)
	is(members.Lost)
	r.RecordHeartbeat(base+31*second, "n1")
	is(members.Back)
	r.RecordHeartbeat(base+33*second, "n1")
	is(members.Back)
	r.RecordHeartbeat(base+36*second, "n1")
	is(members.Alive)
	require.True(t, r.MarkLeft(base+37*second, "n1"))
	require.False(t, r.MarkLeft(base+37*second, "n1"))
	require.Empty(t, r.Tick(base+100*second), "one that left is not missed")
	is(members.Left)
	r.RecordHeartbeat(base+101*second, "n1")
	is(members.Back)
	require.False(t, r.RecordHeartbeat(base, "stranger"))
}

func TestOneThatNeverComesIsLost(t *testing.T) {
	r := members.New(2*second, 8*second, 5*second)
	r.Expect(1000*second, "n1", "instance")
	require.Len(t, r.Tick(1009*second), 1)
	require.Equal(t, members.Lost, r.All()[0].State)
}
