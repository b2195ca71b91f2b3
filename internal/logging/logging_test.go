package logging_test

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hatchproxy/internal/logging"
)

func TestQueuedLinesAreWrittenInOrder(t *testing.T) {
	var out bytes.Buffer
	w := logging.NewWriter(&out)
	want := ""
	for n := range 1000 {
		line := fmt.Sprintln(n)
		_, err := io.WriteString(w, line)
		require.NoError(t, err)
		want += line
	}
	w.Close(5 * time.Second)
	require.Equal(t, want, out.String())
}

func TestAStuckReaderDoesNotBlockAndDroppedLinesAreReported(t *testing.T) {
	reader, writer := io.Pipe()
	w := logging.NewWriter(writer)
	for range 10_000 {
		_, err := io.WriteString(w, "line\n")
		require.NoError(t, err)
	}
	require.Greater(t, w.Dropped(), uint64(5000))
	began := time.Now()
	w.Close(50 * time.Millisecond)
	require.Less(t, time.Since(began), time.Second)
	scanner := bufio.NewScanner(reader)
	for scanner.Scan() && !strings.Contains(scanner.Text(), "log lines were dropped") {
	}
	require.Contains(t, scanner.Text(), "log lines were dropped")
}
