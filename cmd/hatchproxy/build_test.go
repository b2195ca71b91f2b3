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

// Guards against a program that takes no library at its start: the days at size cannot be played with one.
func TestTheDeployedBuildIsLinkedDynamically(t *testing.T) {
	text, err := os.ReadFile("../../deploy/balancer.toml")
	require.NoError(t, err)
	var deploy struct{ Build, Run string }
	require.NoError(t, toml.Unmarshal(text, &deploy))
	require.True(t, strings.HasPrefix(deploy.Run, "exec "), "it ends in one process")
	folder := t.TempDir()
	line := strings.NewReplacer("-o bin/", "-o "+folder+"/", "./cmd/...", "./cmd/hatchproxy").Replace(deploy.Build)
	require.Contains(t, line, folder)
	build := exec.Command("/bin/sh", "-c", line)
	build.Dir = "../.."
	out, err := build.CombinedOutput()
	require.NoError(t, err, string(out))
	program, err := elf.Open(filepath.Join(folder, "hatchproxy"))
	require.NoError(t, err)
	defer program.Close()
	libraries, err := program.ImportedLibraries()
	require.NoError(t, err)
	require.NotEmpty(t, libraries)
	require.NotNil(t, program.Section(".interp"))
}
