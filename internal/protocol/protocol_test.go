package protocol_test

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"hatchproxy/internal/protocol"
	"hatchproxy/logic"
)

func TestOpenLineIsParsedHoweverItIsSplit(t *testing.T) {
	line := "OPEN 9b1f 00ff c=chat,d=2000,g=5c,h=12.5,again=1,at=s-1,later=x\r\n"
	for cut := range len(line) {
		c := &protocol.Client{}
		ev, rest := c.Feed([]byte(line[:cut]))
		require.Equal(t, protocol.ClientIncomplete, ev)
		require.Empty(t, rest)
		ev, rest = c.Feed([]byte(line[cut:]))
		require.Equal(t, protocol.ClientOpen, ev)
		require.Empty(t, rest)
		require.Equal(t, logic.ClientKey(0xff), c.Key)
		require.Equal(t, logic.GroupID(0x5c), c.Group)
		require.Equal(t, 2*logic.Second, c.Timeout)
		require.InDelta(t, 12500, c.LoadHint, 0)
		require.True(t, c.Returning)
		require.Equal(t, "s-1", c.ResumeServer)
		require.Equal(t, strings.Replace(line, "2000", "120", 1), string(c.OpenLine(120*logic.Millisecond)))
	}
}

func TestOpenLineWithoutATimeoutIsPassedOnUnchanged(t *testing.T) {
	for _, line := range []string{"OPEN 1 2 c=chat\r\n", "OPEN 1 2 c=chat,g=\r\n"} {
		c := &protocol.Client{}
		ev, _ := c.Feed([]byte(line))
		require.Equal(t, protocol.ClientOpen, ev)
		require.Equal(t, line, string(c.OpenLine(logic.Second)))
	}
	c := &protocol.Client{}
	c.Feed([]byte("OPEN 1 2 c=chat,d=7\r\n"))
	require.Equal(t, "OPEN 1 2 c=chat,d=1000\r\n", string(c.OpenLine(logic.Second)))
}

func TestLineOfTheMaximumLengthIsAccepted(t *testing.T) {
	c := &protocol.Client{}
	prefix := "OPEN 1 2 c=chat,x="
	ev, _ := c.Feed([]byte(prefix + strings.Repeat("y", 4094-len(prefix)) + "\r\n"))
	require.Equal(t, protocol.ClientOpen, ev)
	ev, _ = (&protocol.Client{}).Feed([]byte(prefix + strings.Repeat("y", 4095-len(prefix)) + "\r\n"))
	require.Equal(t, protocol.ClientInvalid, ev)
}

func TestLinesOfAnEstablishedServerArePassedOnAndClassified(t *testing.T) {
	text := "UP 7\r\nM 1\r\nLOAD 12.5\r\nLOAD x\r\nM " + strings.Repeat("z", 9000) + "\r\nBYE\r\nMOVE\r\n"
	want := []protocol.ServerEvent{protocol.ServerUp, protocol.ServerMessage, protocol.ServerLoad, protocol.ServerPartialLine,
		protocol.ServerMessage, protocol.ServerBye, protocol.ServerMove}
	for _, size := range []int{1, 3, 64, len(text)} {
		s := &protocol.Server{}
		var passed string
		var events []protocol.ServerEvent
		for i := 0; i < len(text); i += size {
			for b := []byte(text[i:min(i+size, len(text))]); len(b) > 0; {
				ev, pass, rest := s.Feed(b)
				passed += string(pass)
				if ev != protocol.ServerIncomplete && s.AtLineStart() {
					events = append(events, ev)
				}
				b = rest
			}
		}
		require.Equal(t, text, passed)
		require.Equal(t, want, events)
		require.InDelta(t, 12.5, s.Load, 0)
	}
}

func TestBusyLineRoundsItsWaitUp(t *testing.T) {
	require.Equal(t, "BUSY 2\r\n", string(protocol.BusyLine(1001)))
	require.Equal(t, "BUSY\r\n", string(protocol.BusyLine(0)))
}

func FuzzClient(f *testing.F) {
	f.Add([]byte("OPEN 9b1f 00ff c=chat,d=2000,g=5c,h=1\r\n"), 3)
	f.Add([]byte("PING\r\nPING\r\nOPEN 1 2 d==,c=\r\n"), 1)
	f.Fuzz(func(t *testing.T, b []byte, size int) {
		c := &protocol.Client{}
		size = max(1, size)
		for i := 0; i < len(b); i += size {
			for piece := b[i:min(i+size, len(b))]; len(piece) > 0; {
				ev, rest := c.Feed(piece)
				if ev == protocol.ClientInvalid {
					require.Error(t, c.Err)
					require.NotContains(t, strings.TrimSuffix(string(protocol.ErrorLine(c.Err)), "\r\n"), "\n")
					return
				}
				if ev == protocol.ClientOpen {
					require.LessOrEqual(t, strings.Count(string(c.OpenLine(1)), "\n"), 1)
				}
				require.Less(t, len(rest), len(piece))
				piece = rest
			}
		}
	})
}

func FuzzServer(f *testing.F) {
	f.Add([]byte("UP 1\r\nLOAD 1e9\r\nM 2\r\nBYE\r\n"), 2)
	f.Add([]byte("BUSY\r\n"), 9)
	f.Fuzz(func(t *testing.T, b []byte, size int) {
		s := &protocol.Server{}
		size = max(1, size)
		var passed []byte
		for i := 0; i < len(b); i += size {
			for piece := b[i:min(i+size, len(b))]; len(piece) > 0; {
				ev, pass, rest := s.Feed(piece)
				if ev != protocol.ServerUp && ev != protocol.ServerIncomplete && len(passed) == 0 {
					return
				}
				passed = append(passed, pass...)
				require.Less(t, len(rest), len(piece))
				piece = rest
			}
		}
		require.Equal(t, string(b[:len(passed)]), string(passed), "the bytes are passed on unchanged")
	})
}
