package main

import (
	"debug/elf"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"github.com/pelletier/go-toml/v2"
	"github.com/stretchr/testify/require"
)

// Guards against a statically linked program: it does not load the library that the tests at full size need.
func TestTheDeployedBuildIsLinkedDynamically(t *testing.T) {
	text, err := os.ReadFile("../../deploy/balancer.toml")
	require.NoError(t, err)
	var deploy struct{ Build, Run string }
	require.NoError(t, toml.Unmarshal(text, &deploy))
	require.True(t, strings.HasPrefix(deploy.Run, "exec "), "the shell is replaced by the program")
	dir := t.TempDir()
	command := strings.NewReplacer("-o bin/", "-o "+dir+"/", "./cmd/...", "./cmd/hatchproxy").Replace(deploy.Build)
	require.Contains(t, command, dir)
	build := exec.Command("/bin/sh", "-c", command)
	build.Dir = "../.."
	out, err := build.CombinedOutput()
	require.NoError(t, err, string(out))
	program, err := elf.Open(filepath.Join(dir, "hatchproxy"))
	require.NoError(t, err)
	defer program.Close()
	libraries, err := program.ImportedLibraries()
	require.NoError(t, err)
	require.NotEmpty(t, libraries)
	require.NotNil(t, program.Section(".interp"))
}
