package main

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
)

// execute runs hatchlab with the arguments and returns its standard output.
func execute(args ...string) (string, error) {
	var out bytes.Buffer
	c := rootCommand()
	c.SetArgs(args)
	c.SetOut(&out)
	c.SetErr(&bytes.Buffer{})
	err := c.Execute()
	return out.String(), err
}

// Errors that keep an experiment from running must not be reported as failed checks, which have another exit code.
func TestErrorsBeforeARunAreNoFailedChecks(t *testing.T) {
	_, err := execute("run", "nowhere.toml")
	require.Error(t, err)
	require.NotErrorIs(t, err, errChecksFailed)
	bad := filepath.Join(t.TempDir(), "bad.toml")
	require.NoError(t, os.WriteFile(bad, []byte("nam = 1"), 0o600))
	_, err = execute("check", bad, bad)
	require.ErrorContains(t, err, bad+":1: nam is unknown")
	_, err = execute("run", bad)
	require.NotErrorIs(t, err, errChecksFailed)
	_, err = execute("demo", "--way", "odd")
	require.ErrorContains(t, err, `"odd" is none of`)
}

func TestABaselineLeavesAReportAndASummary(t *testing.T) {
	folder := t.TempDir()
	page, data := filepath.Join(folder, "a.html"), filepath.Join(folder, "a.json")
	short := bytes.Replace(demoExperiment, []byte(`length = "12s"`), []byte(`length = "2s"`), 1)
	file := filepath.Join(folder, "short.toml")
	require.NoError(t, os.WriteFile(file, short, 0o600))
	out, err := execute("run", file, "--way", "random", "--html", page, "--json", data, "--no-cost")
	require.NoError(t, err)
	require.Contains(t, out, "served 0.")
	text, err := os.ReadFile(page)
	require.NoError(t, err)
	require.Equal(t, 3, bytes.Count(text, []byte("<svg")))
	require.NotContains(t, string(text), "NaN")
	text, err = os.ReadFile(data)
	require.NoError(t, err)
	require.Contains(t, string(text), `"served_by_second"`)
}
