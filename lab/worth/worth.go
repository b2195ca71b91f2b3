// Package worth accounts for a day by the steps of clients that proxies write into their logs at the level debug: second by
// second, how many clients stood, were being set up, or were on their way to another set-up, and after what. It joins the
// logs of all proxies by the clients' keys. Whether messages were late is not in the logs: what was asked for and is not
// lost here was lost on connections that stood.
package worth

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

// step is one line of a log that tells of a client or a proxy.
type step struct {
	at          time.Time
	proxy, what string
	told        map[string]string
}

// Second is what clients went through in one second of the day, in client seconds.
type Second struct {
	Standing, SettingUp float64
	Between             map[string]float64 // on their way to another set-up, by what ended the last
}

// Server is what came of the set-ups sent to a server.
type Server struct {
	Name                 string
	SetUps, Failed       int
	Dropped              int // connections that stood and that it ended before they were over
	MostStanding, Groups int // at one time, and the groups among them then
}

// Account is a day's.
type Account struct {
	Seconds []Second
	Servers []Server
	Events  map[string]int // how often each end and answer came
	Lost    int            // clients that did not come again after an end that was none of theirs
}

// Read takes the logs of a folder, *.log, one or more of each proxy.
func Read(folder string) (*Account, error) {
	names, err := filepath.Glob(filepath.Join(folder, "*.log"))
	if err != nil {
		return nil, err
	}
	if len(names) == 0 {
		return nil, fmt.Errorf("%s: no logs", folder)
	}
	var all []step
	for _, name := range names {
		f, err := os.Open(name)
		if err != nil {
			return nil, err
		}
		steps, err := parse(f)
		if err = errors.Join(err, f.Close()); err != nil {
			return nil, fmt.Errorf("%s: %w", name, err)
		}
		all = append(all, steps...)
	}
	slices.SortStableFunc(all, func(a, b step) int { return a.at.Compare(b.at) })
	return add(all), nil
}

var known = map[string]bool{"serving": true, "asked": true, "sent": true, "failed": true, "up": true, "ended": true, "answered": true}

// parse reads lines of slog's text form; what stands before them, as a bench's own clock, and other lines are passed over.
func parse(r io.Reader) (steps []step, err error) {
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, 1<<20)
	for lines.Scan() {
		s := step{told: map[string]string{}}
		for word := range strings.FieldsSeq(lines.Text()) {
			name, value, found := strings.Cut(word, "=")
			switch {
			case !found:
			case name == "time":
				s.at, _ = time.Parse(time.RFC3339Nano, value)
			case name == "msg":
				s.what = value
			case name == "proxy":
				s.proxy = value
			default:
				s.told[name] = value
			}
		}
		if known[s.what] && !s.at.IsZero() {
			steps = append(steps, s)
		}
	}
	return steps, lines.Err()
}

// way is where a client is on its way through a proxy.
type way struct {
	key, group, server string
	since              time.Time
	stands             bool
}

type wait struct {
	since time.Time
	why   string
}

type ledger struct {
	Account
	began   time.Time
	ways    map[string]*way // by proxy and attachment
	waiting map[string]wait // by client
	servers map[string]*Server
	groups  map[string]map[string]int // of those that stand, by server
}

func add(steps []step) *Account {
	l := &ledger{Account: Account{Events: map[string]int{}}, ways: map[string]*way{}, waiting: map[string]wait{},
		servers: map[string]*Server{}, groups: map[string]map[string]int{}}
	for i, s := range steps {
		if i == 0 {
			l.began = s.at
		}
		l.take(s)
	}
	if len(steps) > 0 {
		last := steps[len(steps)-1].at
		for _, w := range l.ways {
			l.spend(w, last)
		}
	}
	l.Lost = len(l.waiting)
	for _, name := range slices.Sorted(maps.Keys(l.servers)) {
		l.Servers = append(l.Servers, *l.servers[name])
	}
	slices.SortStableFunc(l.Servers, func(a, b Server) int { return cmp.Compare(b.Dropped, a.Dropped) })
	return &l.Account
}

func (l *ledger) take(s step) {
	id := s.proxy + "/" + s.told["id"]
	w := l.ways[id]
	switch s.what {
	case "serving": // what the process before it held under these numbers is no more
		for at, w := range l.ways {
			if strings.HasPrefix(at, s.proxy+"/") {
				l.end(at, w, s.at, "killed")
			}
		}
	case "asked":
		key := s.told["key"]
		if waited, found := l.waiting[key]; found {
			l.spread(waited.since, s.at, func(sec *Second, span float64) { sec.Between[waited.why] += span })
			delete(l.waiting, key)
		}
		l.ways[id] = &way{key: key, group: s.told["group"], since: s.at}
	case "sent":
		if w != nil {
			w.server = s.told["server"]
			l.server(w.server).SetUps++
		}
	case "failed":
		if w != nil {
			l.server(w.server).Failed++
		}
	case "up":
		if w != nil && !w.stands {
			l.spend(w, s.at)
			w.stands = true
			l.stood(w)
		}
	case "ended":
		l.end(id, w, s.at, s.told["by"])
	case "answered":
		l.end(id, w, s.at, "answered "+s.told["ending"])
	}
}

func (l *ledger) stood(w *way) {
	held := l.groups[w.server]
	if held == nil {
		held = map[string]int{}
		l.groups[w.server] = held
	}
	held[w.group]++
	n := 0
	for _, of := range held {
		n += of
	}
	if s := l.server(w.server); n > s.MostStanding {
		s.MostStanding, s.Groups = n, len(held)
	}
}

// overs are the ends after which a client does not come again.
var overs = map[string]bool{"client": true, "served": true, "answered left": true}

func (l *ledger) end(id string, w *way, at time.Time, why string) {
	if w == nil {
		return
	}
	l.Events[why]++
	l.spend(w, at)
	if w.stands {
		if held := l.groups[w.server]; held[w.group] > 1 {
			held[w.group]--
		} else {
			delete(held, w.group)
		}
		if why == "server" {
			l.server(w.server).Dropped++
		}
	}
	delete(l.ways, id)
	if !overs[why] {
		l.waiting[w.key] = wait{at, why}
	}
}

// spend books the time since a way's last step.
func (l *ledger) spend(w *way, at time.Time) {
	l.spread(w.since, at, func(sec *Second, span float64) {
		if w.stands {
			sec.Standing += span
		} else {
			sec.SettingUp += span
		}
	})
	w.since = at
}

// spread cuts a span at whole seconds of the day.
func (l *ledger) spread(from, to time.Time, book func(*Second, float64)) {
	for from.Before(to) {
		n := int(from.Sub(l.began) / time.Second)
		for len(l.Seconds) <= n {
			l.Seconds = append(l.Seconds, Second{Between: map[string]float64{}})
		}
		end := l.began.Add(time.Duration(n+1) * time.Second)
		if end.After(to) {
			end = to
		}
		book(&l.Seconds[n], end.Sub(from).Seconds())
		from = end
	}
}

func (l *ledger) server(name string) *Server {
	s := l.servers[name]
	if s == nil {
		s = &Server{Name: name}
		l.servers[name] = s
	}
	return s
}

// Write writes the account as tables: a row a second, the ends, and the servers that dropped most.
func (a *Account) Write(w io.Writer) error {
	whys := map[string]bool{}
	for _, s := range a.Seconds {
		for why := range s.Between {
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
		fmt.Fprintf(&b, "%6d %9.1f %9.1f |", n, s.Standing, s.SettingUp)
		for _, why := range columns {
			fmt.Fprintf(&b, " %*.1f |", len(why), s.Between[why])
		}
		b.WriteByte('\n')
	}
	for _, why := range slices.Sorted(maps.Keys(a.Events)) {
		fmt.Fprintf(&b, "%s: %d\n", why, a.Events[why])
	}
	fmt.Fprintf(&b, "not seen again, though nothing says that they were done: %d\n", a.Lost)
	fmt.Fprintf(&b, "%-12s %8s %8s %8s %8s %8s\n", "server", "set-ups", "failed", "dropped", "standing", "groups")
	for _, s := range a.Servers[:min(len(a.Servers), 20)] {
		fmt.Fprintf(&b, "%-12s %8d %8d %8d %8d %8d\n", s.Name, s.SetUps, s.Failed, s.Dropped, s.MostStanding, s.Groups)
	}
	_, err := io.WriteString(w, b.String())
	return err
}
