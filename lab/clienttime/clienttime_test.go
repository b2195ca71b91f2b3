package clienttime_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"hatchproxy/lab/clienttime"
)

// Client 77 is established for two seconds and dropped by its server; another proxy defers its next request. It sends the one
// after that to a second server, which fails, and to a third, where it is established until the client leaves. Client 88 is
// established at a proxy that is killed, and asks again. Client 99 is deferred and doesn't ask again.
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
		"a line that is not a known step = ignored",
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
	summary, err := clienttime.ReadLogs(folder)
	require.NoError(t, err)
	require.Len(t, summary.Seconds, 5)
	sum := clienttime.Second{Reconnecting: map[string]float64{}}
	for _, s := range summary.Seconds {
		sum.Established += s.Established
		sum.SettingUp += s.SettingUp
		for reason, span := range s.Reconnecting {
			sum.Reconnecting[reason] += span
		}
	}
	require.InDelta(t, 2+3+2, sum.Established, 1e-6)
	require.InDelta(t, 0.1+0.2+0.45, sum.SettingUp, 1e-6)
	require.InDelta(t, 0.1, sum.Reconnecting["server"], 1e-6, "dropped by the server, then asked again")
	require.InDelta(t, 0.4, sum.Reconnecting["answered deferred"], 1e-6, "deferred, then asked again")
	require.InDelta(t, 1, sum.Reconnecting["killed"], 1e-6)
	require.InDelta(t, 0.5, summary.Seconds[3].Reconnecting["killed"], 1e-6, "the wait is split at whole seconds")
	require.Equal(t, 1, summary.LostClients)
	require.Equal(t, clienttime.ServerTotals{Name: "s-a", Attempts: 2, DroppedConnections: 1, MaxEstablished: 2, GroupsAtMax: 2}, summary.Servers[0])
	require.Contains(t, summary.Servers, clienttime.ServerTotals{Name: "s-b", Attempts: 1, FailedAttempts: 1})
	var b strings.Builder
	require.NoError(t, summary.Write(&b))
	require.Contains(t, b.String(), "answered deferred: 2")
}

func TestReadLogsReportsFolderWithoutLogs(t *testing.T) {
	_, err := clienttime.ReadLogs(t.TempDir())
	require.ErrorContains(t, err, "no logs")
}
