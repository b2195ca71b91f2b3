package rundir_test

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"hatchproxy/lab/rundir"
)

func TestEachRunGetsAFolderOfItsOwn(t *testing.T) {
	first, storage, err := rundir.New()
	require.NoError(t, err)
	defer os.RemoveAll(first)
	second, secondStorage, err := rundir.New()
	require.NoError(t, err)
	defer os.RemoveAll(second)
	require.NotEqual(t, first, second)
	require.Equal(t, storage, secondStorage)
	require.NoError(t, os.WriteFile(filepath.Join(first, "f"), nil, 0o600))
}
