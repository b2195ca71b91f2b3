// Package worth accounts for a day by the steps of clients that proxies write into their logs at the level debug: second by
// second, how many clients stood, were being set up, or were on their way to another set-up, and after what. It joins the
// logs of all proxies by the clients' keys. Whether messages were late is not in the logs: what was asked for and is not
// lost here was lost on connections that stood.
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

// logLine is one line of a log that tells of a client or a proxy.
type logLine struct {
	at          time.Time
	proxy, step string
	attrs       map[string]string
}

// Second is what clients went through in one second of the day, in client seconds.
type Second struct {
	Established, SettingUp float64
	Reconnecting           map[string]float64 // on their way to another set-up, by what ended the last
}

// ServerTotals is what came of the set-ups sent to a server.
type ServerTotals struct {
	Name                        string
	Attempts, FailedAttempts    int
	DroppedConnections          int // connections that stood and that it ended before they were over
	MaxEstablished, GroupsAtMax int // at one time, and the groups among them then
}

// Summary is a day's.
type Summary struct {
	Seconds     []Second
	Servers     []ServerTotals
	EndCounts   map[string]int // how often each end and answer came
	LostClients int            // clients that did not come again after an end that was none of theirs
}

// ReadLogs takes the logs of a folder, *.log, one or more of each proxy.
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
		steps, err := parseLog(f)
		if err = errors.Join(err, f.Close()); err != nil {
			return nil, fmt.Errorf("%s: %w", name, err)
		}
		all = append(all, steps...)
	}
	slices.SortStableFunc(all, func(a, b logLine) int { return a.at.Compare(b.at) })
	return summarize(all), nil
}

var knownSteps = map[string]bool{"serving": true, "asked": true, "sent": true, "failed": true, "up": true, "ended": true, "answered": true}

// parseLog reads lines of slog's text form; what stands before them, as a bench's own clock, and other lines are passed over.
func parseLog(r io.Reader) (steps []logLine, err error) {
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, 1<<20)
	for lines.Scan() {
		s := logLine{attrs: map[string]string{}}
		for word := range strings.FieldsSeq(lines.Text()) {
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
			steps = append(steps, s)
		}
	}
	return steps, lines.Err()
}

// attachment is where a client is on its way through a proxy.
type attachment struct {
	clientKey, group, server string
	countedUntil             time.Time
	isEstablished            bool
}

type reconnectWait struct {
	since  time.Time
	reason string
}

type accumulator struct {
	Summary
	startedAt          time.Time
	attachments        map[string]*attachment   // by proxy and attachment
	waitingClients     map[string]reconnectWait // by client
	servers            map[string]*ServerTotals
	establishedByGroup map[string]map[string]int // of those that stand, by server
}

func summarize(steps []logLine) *Summary {
	l := &accumulator{Summary: Summary{EndCounts: map[string]int{}}, attachments: map[string]*attachment{}, waitingClients: map[string]reconnectWait{},
		servers: map[string]*ServerTotals{}, establishedByGroup: map[string]map[string]int{}}
	for i, s := range steps {
		if i == 0 {
			l.startedAt = s.at
		}
		l.apply(s)
	}
	if len(steps) > 0 {
		last := steps[len(steps)-1].at
		for _, w := range l.attachments {
			l.addElapsed(w, last)
		}
	}
	l.LostClients = len(l.waitingClients)
	for _, name := range slices.Sorted(maps.Keys(l.servers)) {
		l.Servers = append(l.Servers, *l.servers[name])
	}
	slices.SortStableFunc(l.Servers, func(a, b ServerTotals) int { return cmp.Compare(b.DroppedConnections, a.DroppedConnections) })
	return &l.Summary
}

func (l *accumulator) apply(s logLine) {
	id := s.proxy + "/" + s.attrs["id"]
	w := l.attachments[id]
	switch s.step {
	case "serving": // what the process before it held under these numbers is no more
		for at, w := range l.attachments {
			if strings.HasPrefix(at, s.proxy+"/") {
				l.endAttachment(at, w, s.at, "killed")
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
		if w != nil {
			w.server = s.attrs["server"]
			l.serverTotals(w.server).Attempts++
		}
	case "failed":
		if w != nil {
			l.serverTotals(w.server).FailedAttempts++
		}
	case "up":
		if w != nil && !w.isEstablished {
			l.addElapsed(w, s.at)
			w.isEstablished = true
			l.countEstablished(w)
		}
	case "ended":
		l.endAttachment(id, w, s.at, s.attrs["by"])
	case "answered":
		l.endAttachment(id, w, s.at, "answered "+s.attrs["ending"])
	}
}

func (l *accumulator) countEstablished(w *attachment) {
	held := l.establishedByGroup[w.server]
	if held == nil {
		held = map[string]int{}
		l.establishedByGroup[w.server] = held
	}
	held[w.group]++
	n := 0
	for _, of := range held {
		n += of
	}
	if s := l.serverTotals(w.server); n > s.MaxEstablished {
		s.MaxEstablished, s.GroupsAtMax = n, len(held)
	}
}

// finalEndings are the ends after which a client does not come again.
var finalEndings = map[string]bool{"client": true, "served": true, "answered left": true}

func (l *accumulator) endAttachment(id string, w *attachment, at time.Time, why string) {
	if w == nil {
		return
	}
	l.EndCounts[why]++
	l.addElapsed(w, at)
	if w.isEstablished {
		if held := l.establishedByGroup[w.server]; held[w.group] > 1 {
			held[w.group]--
		} else {
			delete(held, w.group)
		}
		if why == "server" {
			l.serverTotals(w.server).DroppedConnections++
		}
	}
	delete(l.attachments, id)
	if !finalEndings[why] {
		l.waitingClients[w.clientKey] = reconnectWait{at, why}
	}
}

// addElapsed books the time since a way's last step.
func (l *accumulator) addElapsed(w *attachment, at time.Time) {
	l.splitBySecond(w.countedUntil, at, func(sec *Second, span float64) {
		if w.isEstablished {
			sec.Established += span
		} else {
			sec.SettingUp += span
		}
	})
	w.countedUntil = at
}

// splitBySecond cuts a span at whole seconds of the day.
func (l *accumulator) splitBySecond(from, to time.Time, book func(*Second, float64)) {
	for from.Before(to) {
		n := int(from.Sub(l.startedAt) / time.Second)
		for len(l.Seconds) <= n {
			l.Seconds = append(l.Seconds, Second{Reconnecting: map[string]float64{}})
		}
		end := l.startedAt.Add(time.Duration(n+1) * time.Second)
		if end.After(to) {
			end = to
		}
		book(&l.Seconds[n], end.Sub(from).Seconds())
		from = end
	}
}

func (l *accumulator) serverTotals(name string) *ServerTotals {
	s := l.servers[name]
	if s == nil {
		s = &ServerTotals{Name: name}
		l.servers[name] = s
	}
	return s
}

// Write writes the account as tables: a row a second, the ends, and the servers that dropped most.
func (a *Summary) Write(w io.Writer) error {
	whys := map[string]bool{}
	for _, s := range a.Seconds {
		for why := range s.Reconnecting {
			whys[why] = true
		}
	}
	columns := slices.Sorted(maps.Keys(whys))
	var b strings.Builder
	fmt.Fprintf(&b, "client seconds, by second of the day; behind the bar: on the way to another set-up, by what ended the last\n")
	fmt.Fprintf(&b, "%6s %9s %9s |", "second", "standing", "setting up")
	for _, why := range columns {
		fmt.Fprintf(&b, " %s |", why)
	}
	b.WriteByte('\n')
	for n, s := range a.Seconds {
		fmt.Fprintf(&b, "%6d %9.1f %9.1f |", n, s.Established, s.SettingUp)
		for _, why := range columns {
			fmt.Fprintf(&b, " %*.1f |", len(why), s.Reconnecting[why])
		}
		b.WriteByte('\n')
	}
	for _, why := range slices.Sorted(maps.Keys(a.EndCounts)) {
		fmt.Fprintf(&b, "%s: %d\n", why, a.EndCounts[why])
	}
	fmt.Fprintf(&b, "not seen again, though nothing says that they were done: %d\n", a.LostClients)
	fmt.Fprintf(&b, "%-12s %8s %8s %8s %8s %8s\n", "server", "set-ups", "failed", "dropped", "standing", "groups")
	for _, s := range a.Servers[:min(len(a.Servers), 20)] {
		fmt.Fprintf(&b, "%-12s %8d %8d %8d %8d %8d\n", s.Name, s.Attempts, s.FailedAttempts, s.DroppedConnections, s.MaxEstablished, s.GroupsAtMax)
	}
	_, err := io.WriteString(w, b.String())
	return err
}
