package mutants_test

import (
	"context"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"hatchproxy/lab/mutants"
)

// A mutant whose piece of the source has changed would no longer bring its fault back; each must still apply and build, and name its
// postmortem.
func TestEachMutantAppliesAndBuilds(t *testing.T) {
	root, err := filepath.Abs("../..")
	require.NoError(t, err)
	for _, mutant := range mutants.Mutants {
		t.Run(mutant.Name, func(t *testing.T) {
			require.FileExists(t, filepath.Join(root, "docs/incidents", mutant.Fault))
			program := filepath.Join(t.TempDir(), "hatchproxy")
			require.NoError(t, mutant.Build(context.Background(), root, program))
			info, err := os.Stat(program)
			require.NoError(t, err)
			require.NotZero(t, info.Mode()&0o100, "it can be run")
		})
	}
}
