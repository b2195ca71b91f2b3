package clienttime_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"hatchproxy/lab/clienttime"
)

// A client stands for two seconds, is dropped, is turned away by another proxy, stands at a third server and leaves. Another
// is held by a process that is killed and comes again; a third is never seen again.
func TestAClientIsFollowedFromProxyToProxy(t *testing.T) {
	folder := t.TempDir()
	write := func(name string, lines ...string) {
		require.NoError(t, os.WriteFile(filepath.Join(folder, name), []byte(strings.Join(lines, "\n")+"\n"), 0o600))
	}
	write("n0.log",
		"0.000 time=2026-01-01T00:00:00.000Z level=INFO msg=serving proxy=n0 listen=127.0.0.1:1 servers=2",
		"0.100 time=2026-01-01T00:00:00.100Z level=DEBUG msg=asked proxy=n0 id=1 key=77 class=chat group=5 back=false",
		"0.100 time=2026-01-01T00:00:00.100Z level=DEBUG msg=sent proxy=n0 id=1 server=s-a",
		"0.200 time=2026-01-01T00:00:00.200Z level=DEBUG msg=up proxy=n0 id=1 server=s-a took_us=100000",
		"0.500 time=2026-01-01T00:00:00.500Z level=DEBUG msg=asked proxy=n0 id=2 key=88 class=chat group=6 back=false",
		"0.500 time=2026-01-01T00:00:00.500Z level=DEBUG msg=sent proxy=n0 id=2 server=s-a",
		"0.500 time=2026-01-01T00:00:00.500Z level=DEBUG msg=up proxy=n0 id=2 server=s-a took_us=1",
		"2.200 time=2026-01-01T00:00:02.200Z level=DEBUG msg=ended proxy=n0 id=1 by=server",
		"the log may hold anything else = too",
		"3.500 time=2026-01-01T00:00:03.500Z level=INFO msg=serving proxy=n0 listen=127.0.0.1:1 servers=2",
		"4.500 time=2026-01-01T00:00:04.500Z level=DEBUG msg=asked proxy=n0 id=1 key=88 class=chat group=6 back=true")
	write("n1.log",
		"2.300 time=2026-01-01T00:00:02.300Z level=DEBUG msg=asked proxy=n1 id=1 key=77 class=chat group=5 back=true",
		"2.300 time=2026-01-01T00:00:02.300Z level=DEBUG msg=answered proxy=n1 id=1 ending=deferred",
		"2.700 time=2026-01-01T00:00:02.700Z level=DEBUG msg=asked proxy=n1 id=2 key=77 class=chat group=5 back=true",
		"2.700 time=2026-01-01T00:00:02.700Z level=DEBUG msg=sent proxy=n1 id=2 server=s-b",
		"2.800 time=2026-01-01T00:00:02.800Z level=DEBUG msg=failed proxy=n1 id=2 server=s-b took_us=100000 outcome=3",
		"2.800 time=2026-01-01T00:00:02.800Z level=DEBUG msg=sent proxy=n1 id=2 server=s-c",
		"2.900 time=2026-01-01T00:00:02.900Z level=DEBUG msg=up proxy=n1 id=2 server=s-c took_us=100000",
		"4.900 time=2026-01-01T00:00:04.900Z level=DEBUG msg=ended proxy=n1 id=2 by=client",
		"4.950 time=2026-01-01T00:00:04.950Z level=DEBUG msg=asked proxy=n1 id=3 key=99 class=chat group=5 back=false",
		"4.950 time=2026-01-01T00:00:04.950Z level=DEBUG msg=answered proxy=n1 id=3 ending=deferred")
	a, err := clienttime.ReadLogs(folder)
	require.NoError(t, err)
	require.Len(t, a.Seconds, 5)
	sum := clienttime.Second{Reconnecting: map[string]float64{}}
	for _, s := range a.Seconds {
		sum.Established += s.Established
		sum.SettingUp += s.SettingUp
		for why, span := range s.Reconnecting {
			sum.Reconnecting[why] += span
		}
	}
	require.InDelta(t, 2+3+2, sum.Established, 1e-6)
	require.InDelta(t, 0.1+0.2+0.45, sum.SettingUp, 1e-6)
	require.InDelta(t, 0.1, sum.Reconnecting["server"], 1e-6, "dropped, and asked again")
	require.InDelta(t, 0.4, sum.Reconnecting["answered deferred"], 1e-6, "turned away, and asked again")
	require.InDelta(t, 1, sum.Reconnecting["killed"], 1e-6)
	require.InDelta(t, 0.5, a.Seconds[3].Reconnecting["killed"], 1e-6, "cut where seconds end")
	require.Equal(t, 1, a.LostClients)
	require.Equal(t, clienttime.ServerTotals{Name: "s-a", Attempts: 2, DroppedConnections: 1, MaxEstablished: 2, GroupsAtMax: 2}, a.Servers[0])
	require.Contains(t, a.Servers, clienttime.ServerTotals{Name: "s-b", Attempts: 1, FailedAttempts: 1})
	var b strings.Builder
	require.NoError(t, a.Write(&b))
	require.Contains(t, b.String(), "answered deferred: 2")
}

func TestAFolderWithoutLogsIsSaidSo(t *testing.T) {
	_, err := clienttime.ReadLogs(t.TempDir())
	require.ErrorContains(t, err, "no logs")
}
