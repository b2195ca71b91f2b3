package hatchproxy_test

import (
	"os"
	"os/exec"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
)

// ci runs .ci/tests in a small module of its own, whose KNOWN-RED.txt has the given lines, and returns the output. Without lines there is
// no such file.
func ci(t *testing.T, list string) (string, error) {
	t.Parallel()
	script, err := filepath.Abs(".ci/tests")
	require.NoError(t, err)
	dir := t.TempDir()
	for name, text := range map[string]string{
		"go.mod": "module small\n\ngo 1.26\n",
		"a/a_test.go": `package a

import "testing"

func TestGood(t *testing.T)  {}
func TestBad(t *testing.T)   { t.Fatal("a real fault") }
func TestBadly(t *testing.T) {}
`,
	} {
		require.NoError(t, os.MkdirAll(filepath.Dir(filepath.Join(dir, name)), 0o755))
		require.NoError(t, os.WriteFile(filepath.Join(dir, name), []byte(text), 0o644))
	}
	if list != "" {
		require.NoError(t, os.WriteFile(filepath.Join(dir, "KNOWN-RED.txt"), []byte(list), 0o644))
	}
	run := exec.Command("bash", script)
	run.Dir = dir
	out, err := run.CombinedOutput()
	return string(out), err
}

func TestFailingTestThatIsNotListedFailsCI(t *testing.T) {
	out, err := ci(t, "")
	require.Error(t, err)
	require.Contains(t, out, "--- FAIL: TestBad ")
}

func TestFailingKnownRedTestIsPrintedAndDoesNotFailCI(t *testing.T) {
	out, err := ci(t, "./a TestBad; a real fault; issue 39\n")
	require.NoError(t, err, out)
	require.Contains(t, out, "known red: ./a TestBad; a real fault; issue 39\n")
	require.Contains(t, out, "known red: TestBad fails as listed\n")
	require.Contains(t, out, "ok  \tsmall/a")
}

func TestPassingKnownRedTestIsReportedAndHidesNoOtherFailure(t *testing.T) {
	out, err := ci(t, "./a TestGood; none; issue 39\n")
	require.Error(t, err, "TestBad is not listed")
	require.Contains(t, out, "known red: TestGood passes: its line is due for removal\n")
	require.Contains(t, out, "--- FAIL: TestBad ")
}

func TestInvalidKnownRedListFailsCI(t *testing.T) {
	for list, words := range map[string]string{
		"./a TestNone; a fault; issue 39\n": "there is no test TestNone in ./a",
		"./a TestBa; a fault; issue 39\n":   "there is no test TestBa in ./a",
		"./b TestBad; a fault; issue 39\n":  "there is no test TestBad in ./b",
		"./a TestBad; a fault\n":            "not of the form",
		"./a TestBad; 1; 39\n./a TestBad; 2; 39\n./a TestBad; 3; 39\n./a TestBad; 4; 39\n": "4 lines, three are the most",
	} {
		t.Run(words, func(t *testing.T) {
			out, err := ci(t, list)
			require.Error(t, err)
			require.Contains(t, out, words)
		})
	}
}
