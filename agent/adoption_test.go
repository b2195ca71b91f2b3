package agent_test

import (
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hatchproxy/agent"
	"hatchproxy/agent/supervisor"
)

// Guards against a restarted agent that kills a serving instance, with all its connections, because it cannot hear it: the process
// was taken for one that had just been started and did not become ready in time.
func TestRestartedAgentLeavesAnInstanceAloneThatItCannotHear(t *testing.T) {
	t.Parallel()
	cluster := newTestCluster(t, 1, healthyInstances(1)...)
	cluster.startAgents(0)
	cluster.eventuallyAll("the instance is ready", isReady)
	pid := cluster.instancePID(0)
	require.NoError(t, syscall.Kill(pid, syscall.SIGUSR1))
	require.Eventually(t, func() bool { return cluster.view().Instances[0].MemberState != "alive" }, 10*time.Second, 50*time.Millisecond, "it is silent")
	cluster.killAgent(0)
	cluster.startAgents(0)
	cluster.eventuallyAll("the instance is adopted", func(i agent.InstanceView) bool { return i.State == supervisor.Adopted })
	time.Sleep(21 * time.Second) // an instance that was started must be ready within 20 s
	require.NoError(t, syscall.Kill(pid, syscall.SIGUSR2))
	cluster.eventuallyAll("the instance is heard again", isReady)
	require.Equal(t, pid, cluster.instancePID(0), "it is the same process")
}

// Guards against an agent that calls a running instance stopped before it has looked for it: an operator's order counted as obeyed
// then, by an instance that had not heard of it.
func TestRestartedAgentDoesNotCallAnInstanceStoppedBeforeItHasLooked(t *testing.T) {
	t.Parallel()
	cluster := newTestCluster(t, 1, healthyInstances(1)...)
	cluster.startAgents(0)
	cluster.eventuallyAll("the instance is ready", isReady)
	for range 3 {
		cluster.killAgent(0)
		cluster.startAgents(0)
		seen := map[supervisor.State]bool{}
		cluster.eventuallyAll("the instance is ready again", func(i agent.InstanceView) bool {
			seen[i.State] = true
			return isReady(i)
		})
		require.NotContains(t, seen, supervisor.Stopped)
	}
}
