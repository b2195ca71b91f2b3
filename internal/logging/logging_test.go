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

func TestAllThatWasTakenIsWrittenInOrder(t *testing.T) {
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

func TestAWriterThatIsStuckHoldsNobodyUpAndTheLossIsTold(t *testing.T) {
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
	in := bufio.NewScanner(reader)
	for in.Scan() && !strings.Contains(in.Text(), "log lines were dropped") {
	}
	require.Contains(t, in.Text(), "log lines were dropped")
}
