package soak_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"hatchproxy/lab/soak"
)

func TestOneSeedDrawsOneScheduleThatCanBePlayedAgain(t *testing.T) {
	kinds := map[string]bool{}
	for seed := range uint64(200) {
		first, err := soak.Draw(seed, soak.Full)
		require.NoError(t, err, "seed %d", seed)
		again, err := soak.Draw(seed, soak.Full)
		require.NoError(t, err)
		require.Equal(t, first.Text, again.Text)
		require.GreaterOrEqual(t, first.File.Proxies.Count, soak.Full.Least)
		require.LessOrEqual(t, first.File.Proxies.Count, soak.Full.Most)
		require.NotEmpty(t, first.Kinds)
		for _, kind := range first.Kinds {
			kinds[kind] = true
		}
	}
	require.Greater(t, len(kinds), 20, "all kinds come")
}
