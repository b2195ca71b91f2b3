package soak_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"hatchproxy/lab/soak"
)

// The same seed must give the same schedule, so that a failed run can be repeated; schedules must be valid experiments within
// the bounds of their size, and 200 seeds must produce more than 20 kinds of trouble.
func TestOneSeedDrawsOneScheduleThatCanBePlayedAgain(t *testing.T) {
	kinds := map[string]bool{}
	for seed := range uint64(200) {
		first, err := soak.Generate(seed, soak.Full)
		require.NoError(t, err, "seed %d", seed)
		again, err := soak.Generate(seed, soak.Full)
		require.NoError(t, err)
		require.Equal(t, first.TOML, again.TOML)
		require.GreaterOrEqual(t, first.Experiment.Proxies.Count, soak.Full.MinProxies)
		require.LessOrEqual(t, first.Experiment.Proxies.Count, soak.Full.MaxProxies)
		require.NotEmpty(t, first.TroubleKinds)
		for _, kind := range first.TroubleKinds {
			kinds[kind] = true
		}
	}
	require.Greater(t, len(kinds), 20, "kinds of trouble in 200 schedules")
}
