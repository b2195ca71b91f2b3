// Package clienttime accounts for the clients' time in a run, from the proxies' logs at level debug: for each second, how much
// time clients spent on established connections, on setting up, and between the end of a connection and the next request,
// by what ended it. It joins the logs of all proxies by the clients' keys.
//
// The logs don't tell how late messages were: service that a run lost and that is not accounted for here was lost on
// established connections.
package clienttime

import (
	"bufio"
	"cmp"
	"errors"
	"fmt"
	"io"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"
)

// logLine is a log line of one of the known steps.
type logLine struct {
	at          time.Time
	proxy, step string
	attrs       map[string]string // all attributes but time, msg and proxy
}

// Second is how all clients together spent one second of the run. Units are client-seconds: one client over one second counts 1.
type Second struct {
	Established, SettingUp float64
	Reconnecting           map[string]float64 // from a connection's end to the client's next request, by what ended the connection
}

// ServerTotals counts the attempts at a server and their results.
type ServerTotals struct {
	Name                        string
	Attempts, FailedAttempts    int
	DroppedConnections          int // established connections that ended with by=server
	MaxEstablished, GroupsAtMax int // most connections established at one time, and how many groups they belonged to
}

// Summary is the account of a run.
type Summary struct {
	Seconds     []Second
	Servers     []ServerTotals
	EndCounts   map[string]int // connections by what ended them: the attribute by, "answered " and the attribute ending, or killed
	LostClients int            // clients that were not seen again after an end that isn't final
}

// ReadLogs summarizes the logs of all proxies of a run: the files *.log in a folder, one or more for each proxy. It returns an
// error if there are none.
func ReadLogs(folder string) (*Summary, error) {
	names, err := filepath.Glob(filepath.Join(folder, "*.log"))
	if err != nil {
		return nil, err
	}
	if len(names) == 0 {
		return nil, fmt.Errorf("%s: no logs", folder)
	}
	var all []logLine
	for _, name := range names {
		f, err := os.Open(name)
		if err != nil {
			return nil, err
		}
		lines, err := parseLog(f)
		if err = errors.Join(err, f.Close()); err != nil {
			return nil, fmt.Errorf("%s: %w", name, err)
		}
		all = append(all, lines...)
	}
	slices.SortStableFunc(all, func(a, b logLine) int { return a.at.Compare(b.at) })
	return summarize(all), nil
}

// knownSteps are the values of msg that the summary uses.
var knownSteps = map[string]bool{"serving": true, "asked": true, "sent": true, "failed": true, "up": true, "ended": true, "answered": true}

// parseLog reads lines in the text format of slog. It skips text in front of the first attribute, such as a test harness's own
// clock, and lines that have no valid time or are not of a known step.
func parseLog(r io.Reader) (lines []logLine, err error) {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, 1<<20)
	for scanner.Scan() {
		s := logLine{attrs: map[string]string{}}
		for word := range strings.FieldsSeq(scanner.Text()) {
			name, value, found := strings.Cut(word, "=")
			switch {
			case !found:
			case name == "time":
				s.at, _ = time.Parse(time.RFC3339Nano, value)
			case name == "msg":
				s.step = value
			case name == "proxy":
				s.proxy = value
			default:
				s.attrs[name] = value
			}
		}
		if knownSteps[s.step] && !s.at.IsZero() {
			lines = append(lines, s)
		}
	}
	return lines, scanner.Err()
}

// attachment is a client's connection to a proxy, with its request.
type attachment struct {
	clientKey, group, server string
	countedUntil             time.Time // its time is accounted for up to here
	isEstablished            bool
}

// reconnectWait is the time of a client between the end of a connection and its next request.
type reconnectWait struct {
	since  time.Time
	reason string // what ended the connection
}

// accumulator builds a Summary from log lines in the order of time.
type accumulator struct {
	Summary
	startedAt          time.Time                // of the first line
	attachments        map[string]*attachment   // by "PROXY/ID"
	waitingClients     map[string]reconnectWait // by the client's key
	servers            map[string]*ServerTotals
	establishedByGroup map[string]map[string]int // established connections, by server and group
}

// summarize builds the Summary of log lines that are sorted by time. Attachments that are still open count up to the last line.
func summarize(lines []logLine) *Summary {
	l := &accumulator{Summary: Summary{EndCounts: map[string]int{}}, attachments: map[string]*attachment{}, waitingClients: map[string]reconnectWait{},
		servers: map[string]*ServerTotals{}, establishedByGroup: map[string]map[string]int{}}
	for i, s := range lines {
		if i == 0 {
			l.startedAt = s.at
		}
		l.apply(s)
	}
	if len(lines) > 0 {
		last := lines[len(lines)-1].at
		for _, a := range l.attachments {
			l.addElapsed(a, last)
		}
	}
	l.LostClients = len(l.waitingClients)
	for _, name := range slices.Sorted(maps.Keys(l.servers)) {
		l.Servers = append(l.Servers, *l.servers[name])
	}
	slices.SortStableFunc(l.Servers, func(a, b ServerTotals) int { return cmp.Compare(b.DroppedConnections, a.DroppedConnections) })
	return &l.Summary
}

// apply takes one log line into account.
func (l *accumulator) apply(s logLine) {
	id := s.proxy + "/" + s.attrs["id"]
	a := l.attachments[id]
	switch s.step {
	case "serving": // a new process: the attachments of the one before it are gone, and their IDs are used anew
		for oldID, a := range l.attachments {
			if strings.HasPrefix(oldID, s.proxy+"/") {
				l.endAttachment(oldID, a, s.at, "killed")
			}
		}
	case "asked":
		key := s.attrs["key"]
		if waited, found := l.waitingClients[key]; found {
			l.splitBySecond(waited.since, s.at, func(sec *Second, span float64) { sec.Reconnecting[waited.reason] += span })
			delete(l.waitingClients, key)
		}
		l.attachments[id] = &attachment{clientKey: key, group: s.attrs["group"], countedUntil: s.at}
	case "sent":
		if a != nil {
			a.server = s.attrs["server"]
			l.serverTotals(a.server).Attempts++
		}
	case "failed":
		if a != nil {
			l.serverTotals(a.server).FailedAttempts++
		}
	case "up":
		if a != nil && !a.isEstablished {
			l.addElapsed(a, s.at)
			a.isEstablished = true
			l.countEstablished(a)
		}
	case "ended":
		l.endAttachment(id, a, s.at, s.attrs["by"])
	case "answered":
		l.endAttachment(id, a, s.at, "answered "+s.attrs["ending"])
	}
}

// countEstablished counts an attachment that became established, and updates the maximum of its server.
func (l *accumulator) countEstablished(a *attachment) {
	byGroup := l.establishedByGroup[a.server]
	if byGroup == nil {
		byGroup = map[string]int{}
		l.establishedByGroup[a.server] = byGroup
	}
	byGroup[a.group]++
	total := 0
	for _, n := range byGroup {
		total += n
	}
	if s := l.serverTotals(a.server); total > s.MaxEstablished {
		s.MaxEstablished, s.GroupsAtMax = total, len(byGroup)
	}
}

// finalEndings are the ends after which no further request of the client is expected: it left or was served.
var finalEndings = map[string]bool{"client": true, "served": true, "answered left": true}

// endAttachment removes an attachment and counts its end. Unless the end is a final one, the client waits for a reconnection
// from then on. It does nothing if a is nil.
func (l *accumulator) endAttachment(id string, a *attachment, at time.Time, reason string) {
	if a == nil {
		return
	}
	l.EndCounts[reason]++
	l.addElapsed(a, at)
	if a.isEstablished {
		if byGroup := l.establishedByGroup[a.server]; byGroup[a.group] > 1 {
			byGroup[a.group]--
		} else {
			delete(byGroup, a.group)
		}
		if reason == "server" {
			l.serverTotals(a.server).DroppedConnections++
		}
	}
	delete(l.attachments, id)
	if !finalEndings[reason] {
		l.waitingClients[a.clientKey] = reconnectWait{at, reason}
	}
}

// addElapsed accounts for an attachment's time from countedUntil to at, as established or as setting up.
func (l *accumulator) addElapsed(a *attachment, at time.Time) {
	l.splitBySecond(a.countedUntil, at, func(sec *Second, span float64) {
		if a.isEstablished {
			sec.Established += span
		} else {
			sec.SettingUp += span
		}
	})
	a.countedUntil = at
}

// splitBySecond splits the time between from and to at whole seconds of the run and calls add with each second and the time
// that falls into it, in seconds.
func (l *accumulator) splitBySecond(from, to time.Time, add func(*Second, float64)) {
	for from.Before(to) {
		n := int(from.Sub(l.startedAt) / time.Second)
		for len(l.Seconds) <= n {
			l.Seconds = append(l.Seconds, Second{Reconnecting: map[string]float64{}})
		}
		end := l.startedAt.Add(time.Duration(n+1) * time.Second)
		if end.After(to) {
			end = to
		}
		add(&l.Seconds[n], end.Sub(from).Seconds())
		from = end
	}
}

// serverTotals returns the totals of a server; it adds empty ones for a new name.
func (l *accumulator) serverTotals(name string) *ServerTotals {
	s := l.servers[name]
	if s == nil {
		s = &ServerTotals{Name: name}
		l.servers[name] = s
	}
	return s
}

// Write writes the summary as tables: a row for each second, the counts of ends, and the 20 servers that dropped the most
// connections.
func (s *Summary) Write(w io.Writer) error {
	reasons := map[string]bool{}
	for _, second := range s.Seconds {
		for reason := range second.Reconnecting {
			reasons[reason] = true
		}
	}
	columns := slices.Sorted(maps.Keys(reasons))
	var b strings.Builder
	fmt.Fprintf(&b, "client-seconds, by second of the run; right of the first bar: between a connection's end and the next request, by what ended it\n")
	fmt.Fprintf(&b, "%6s %11s %10s |", "second", "established", "setting up")
	for _, reason := range columns {
		fmt.Fprintf(&b, " %s |", reason)
	}
	b.WriteByte('\n')
	for n, second := range s.Seconds {
		fmt.Fprintf(&b, "%6d %11.1f %10.1f |", n, second.Established, second.SettingUp)
		for _, reason := range columns {
			fmt.Fprintf(&b, " %*.1f |", len(reason), second.Reconnecting[reason])
		}
		b.WriteByte('\n')
	}
	for _, reason := range slices.Sorted(maps.Keys(s.EndCounts)) {
		fmt.Fprintf(&b, "%s: %d\n", reason, s.EndCounts[reason])
	}
	fmt.Fprintf(&b, "clients not seen again after an end that is not final: %d\n", s.LostClients)
	fmt.Fprintf(&b, "%-12s %8s %8s %8s %8s %8s\n", "server", "attempts", "failed", "dropped", "peak", "groups")
	for _, server := range s.Servers[:min(len(s.Servers), 20)] {
		fmt.Fprintf(&b, "%-12s %8d %8d %8d %8d %8d\n", server.Name, server.Attempts, server.FailedAttempts, server.DroppedConnections, server.MaxEstablished, server.GroupsAtMax)
	}
	_, err := io.WriteString(w, b.String())
	return err
}
