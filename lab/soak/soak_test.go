package soak_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"hatchproxy/lab/soak"
)

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
		require.NotEmpty(t, first.FaultKinds)
		for _, kind := range first.FaultKinds {
			kinds[kind] = true
		}
	}
	require.Greater(t, len(kinds), 20, "all kinds come")
}
