package members_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"hatchproxy/agent/members"
	"hatchproxy/logic"
)

const second = logic.Second

func TestMemberStateFollowsHeartbeats(t *testing.T) {
	list := members.New(2*second, 8*second, 5*second)
	base := 1000 * second
	list.Expect(base, "n1", "instance")
	requireState := func(want members.State) {
		t.Helper()
		require.Equal(t, want, list.State("n1"))
	}
	requireState(members.Joining)
	require.Empty(t, list.Tick(base+7*second))
	requireState(members.Joining)
	require.True(t, list.RecordHeartbeat(base+7*second, "n1"))
	requireState(members.Alive)
	require.Empty(t, list.Tick(base+8*second))
	require.Len(t, list.Tick(base+9*second), 1)
	requireState(members.Suspected)
	require.Empty(t, list.Tick(base+10*second), "a change is reported once")
	list.RecordHeartbeat(base+10*second, "n1")
	requireState(members.Alive)
	list.Tick(base + 30*second)
	requireState(members.Lost)
	list.RecordHeartbeat(base+31*second, "n1")
	requireState(members.Back)
	list.RecordHeartbeat(base+33*second, "n1")
	requireState(members.Back)
	list.RecordHeartbeat(base+36*second, "n1")
	requireState(members.Alive)
	require.True(t, list.MarkLeft(base+37*second, "n1"))
	require.False(t, list.MarkLeft(base+37*second, "n1"))
	require.Empty(t, list.Tick(base+100*second), "a member that left is not expected to send heartbeats")
	requireState(members.Left)
	list.RecordHeartbeat(base+101*second, "n1")
	requireState(members.Back)
	require.False(t, list.RecordHeartbeat(base, "stranger"))
}

func TestMemberThatNeverJoinsIsLost(t *testing.T) {
	list := members.New(2*second, 8*second, 5*second)
	list.Expect(1000*second, "n1", "instance")
	require.Len(t, list.Tick(1009*second), 1)
	require.Equal(t, members.Lost, list.All()[0].State)
}
