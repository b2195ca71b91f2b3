package agent

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"hatchproxy/agent/wanted"
	"hatchproxy/internal/control"
	"hatchproxy/internal/listen"
	"hatchproxy/lease"
)

// Version is the protocol's between tool and agents, and between agents.
const Version = 1

const (
	mostBody = 256 << 10
	slowest  = 10 * time.Second
	// fanning is how long other agents may take to tell what they know.
	fanning = 1500 * time.Millisecond
)

// serve opens the agent's surface and returns what closes it.
func (a *Agent) serve(ctx context.Context) (func() error, error) {
	l, err := listen.TCP(ctx, a.config.Listen, a.log)
	if err != nil {
		return nil, err
	}
	mux := http.NewServeMux()
	v := fmt.Sprintf("/v%d", Version)
	mux.HandleFunc("GET "+v+"/ping", func(w http.ResponseWriter, _ *http.Request) { answer(w, http.StatusOK, "here") })
	mux.HandleFunc("GET "+v+"/view", func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Query().Get("all") == "" {
			answer(w, http.StatusOK, a.view())
			return
		}
		answer(w, http.StatusOK, a.whole(r.Context()))
	})
	mux.HandleFunc("GET "+v+"/log", func(w http.ResponseWriter, _ *http.Request) { answer(w, http.StatusOK, a.journal.holds()) })
	mux.HandleFunc("POST "+v+"/voters", func(w http.ResponseWriter, r *http.Request) {
		var c change
		err := json.NewDecoder(http.MaxBytesReader(w, r.Body, mostBody)).Decode(&c)
		if err == nil {
			err = a.voters(r.Context(), c, r.URL.Query().Get("passed") != "")
		}
		if err != nil {
			answer(w, http.StatusServiceUnavailable, map[string]string{"error": err.Error()})
			return
		}
		answer(w, http.StatusOK, c)
	})
	mux.HandleFunc("POST "+v+"/commands", a.command)
	mux.HandleFunc("POST "+v+"/duties", func(w http.ResponseWriter, r *http.Request) {
		var q lease.Request
		err := json.NewDecoder(http.MaxBytesReader(w, r.Body, mostBody)).Decode(&q)
		var p lease.Tokens
		if err == nil {
			p, err = a.duties.answer(q)
		}
		if err != nil {
			answer(w, http.StatusServiceUnavailable, map[string]string{"error": err.Error()})
			return
		}
		answer(w, http.StatusOK, p)
	})
	mux.HandleFunc("POST "+v+"/reload", a.reload)
	mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		answer(w, http.StatusNotFound, map[string]string{"error": fmt.Sprintf("%s %.100s is nothing here: agents speak protocol %d", r.Method, r.URL.Path, Version)})
	})
	s := &http.Server{Handler: mux, ReadTimeout: slowest, WriteTimeout: 2 * slowest, IdleTimeout: time.Minute, MaxHeaderBytes: 8 << 10,
		ErrorLog: slog.NewLogLogger(a.log.Handler(), slog.LevelDebug), BaseContext: func(net.Listener) context.Context { return ctx }}
	go func() {
		if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			a.log.Error("the surface has ended", "error", err)
		}
	}()
	return s.Close, nil
}

func answer(w http.ResponseWriter, status int, what any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(what) // a failure is the other side's
}

// said is what became of a command.
type said struct {
	Number uint64 `json:"number"`
	Leader string `json:"leader"`
}

// command has one agreed on; an agent that does not lead passes it on once.
func (a *Agent) command(w http.ResponseWriter, r *http.Request) {
	no := func(status int, err error) { answer(w, status, map[string]string{"error": err.Error()}) }
	text, err := io.ReadAll(http.MaxBytesReader(w, r.Body, mostBody))
	if err != nil {
		no(http.StatusRequestEntityTooLarge, err)
		return
	}
	var c wanted.Command
	d := json.NewDecoder(bytes.NewReader(text))
	d.DisallowUnknownFields()
	if err := d.Decode(&c); err != nil {
		no(http.StatusBadRequest, fmt.Errorf("protocol %d does not understand this: %w", Version, err))
		return
	}
	if err := wanted.Check(c); err != nil {
		no(http.StatusBadRequest, err)
		return
	}
	number, err := a.journal.Say(c)
	if errors.Is(err, errNotLeading) && r.URL.Query().Get("passed") == "" {
		number, err = a.pass(r.Context(), c)
	}
	if err != nil {
		no(http.StatusServiceUnavailable, err)
		return
	}
	answer(w, http.StatusOK, said{number, a.journal.Leader()})
}

func (a *Agent) pass(ctx context.Context, c wanted.Command) (uint64, error) {
	leader, err := a.leader()
	if err != nil {
		return 0, err
	}
	defer leader.Close()
	// Guards against a word to a leader that is cut off: nothing comes of it, not even a refusal. Whoever said it hears that the
	// outcome is not known as soon as another leads, and says it again.
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	go func() {
		for was := a.journal.Leader(); ctx.Err() == nil; {
			select {
			case <-ctx.Done():
			case <-time.After(replaced):
				if a.journal.Leader() != was {
					cancel(errReplaced)
				}
			}
		}
	}()
	var s said
	err = leader.call(ctx, http.MethodPost, "commands?passed=1", c, &s)
	if errors.Is(context.Cause(ctx), errReplaced) && err != nil {
		err = errReplaced
	}
	return s.Number, err
}

// errReplaced is the answer where the leader fell silent and is no longer one.
var errReplaced = errors.New("it is not known whether it was agreed on: the leader that it was passed on to leads no more")

// replaced is how often it is looked whether the leader is another: well below the time that finding one takes.
const replaced = 50 * time.Millisecond

// leader is the other agent that leads.
func (a *Agent) leader() (*Client, error) {
	name := a.journal.Leader()
	at := slices.IndexFunc(a.config.Peer, func(p Peer) bool { return p.Name == name })
	if at < 0 {
		return nil, errors.New("no agent leads now: fewer than half of them see each other, or one is being chosen")
	}
	return dialFrom(a.config.From, a.config.Peer[at].Listen), nil
}

// reload has all local instances read their configuration again; it is no state, and is not agreed on.
func (a *Agent) reload(w http.ResponseWriter, r *http.Request) {
	results := map[string]string{}
	var mu sync.Mutex
	var all sync.WaitGroup
	for _, i := range a.instances {
		all.Go(func() {
			ctx, cancel := context.WithTimeout(r.Context(), fanning)
			defer cancel()
			word := "obeyed"
			if err := i.control.Reload(ctx); err != nil {
				word = err.Error()
			}
			mu.Lock()
			defer mu.Unlock()
			results[i.Name] = word
		})
	}
	all.Wait()
	if r.URL.Query().Get("all") != "" {
		for _, p := range a.config.Peer {
			c := dialFrom(a.config.From, p.Listen)
			theirs := map[string]string{}
			ctx, cancel := context.WithTimeout(r.Context(), 2*fanning)
			if err := c.call(ctx, http.MethodPost, "reload", nil, &theirs); err != nil {
				results["agent "+p.Name] = err.Error()
			}
			cancel()
			c.Close()
			for name, word := range theirs {
				results[name] = word
			}
		}
	}
	answer(w, http.StatusOK, results)
}

// whole is what all agents know together.
func (a *Agent) whole(ctx context.Context) View {
	v := a.view()
	ctx, cancel := context.WithTimeout(ctx, fanning)
	defer cancel()
	var mu sync.Mutex
	var all sync.WaitGroup
	for _, p := range a.config.Peer {
		all.Go(func() {
			c := dialFrom(a.config.From, p.Listen)
			defer c.Close()
			theirs, err := c.view(ctx, "view")
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				v.Silent = append(v.Silent, p.Name)
				return
			}
			v.Instances = append(v.Instances, theirs.Instances...)
			for _, m := range theirs.Members {
				if m.Kind == "instance" {
					v.Members = append(v.Members, m)
				}
			}
		})
	}
	all.Wait()
	slices.SortFunc(v.Instances, func(x, y InstanceView) int { return strings.Compare(x.Name, y.Name) })
	slices.Sort(v.Silent)
	return v
}

// Client asks an agent.
type Client struct {
	base string
	http *http.Client
}

// Dial names an agent by its address; nothing is sent yet.
func Dial(address string) *Client { return dialFrom("", address) }

// dialFrom has the calls go out from an address.
func dialFrom(from, address string) *Client {
	return &Client{"http://" + address, &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2, DisableCompression: true,
		DialContext: dialer(from, slowest).DialContext}}}
}

// dialer calls from an address, or from any.
func dialer(from string, within time.Duration) *net.Dialer {
	d := &net.Dialer{Timeout: within}
	if from != "" {
		d.LocalAddr = &net.TCPAddr{IP: net.ParseIP(from)}
	}
	return d
}

// Close gives its idle connections back.
func (c *Client) Close() { c.http.CloseIdleConnections() }

func (c *Client) call(ctx context.Context, method, path string, body, into any) error {
	return control.CallJSON(ctx, c.http, method, fmt.Sprintf("%s/v%d/%s", c.base, Version, path), body, into)
}

// Ping asks whether the agent is there.
func (c *Client) Ping(ctx context.Context) error {
	var word string
	return c.call(ctx, http.MethodGet, "ping", nil, &word)
}

func (c *Client) view(ctx context.Context, path string) (v View, err error) {
	return v, c.call(ctx, http.MethodGet, path, nil, &v)
}

// View is what the agent knows by itself.
func (c *Client) View(ctx context.Context) (View, error) { return c.view(ctx, "view") }

// Whole is what all agents know together, as far as they answer.
func (c *Client) Whole(ctx context.Context) (View, error) { return c.view(ctx, "view?all=1") }

// Say has a command agreed on and returns its number.
func (c *Client) Say(ctx context.Context, command wanted.Command) (uint64, error) {
	var s said
	return s.Number, c.call(ctx, http.MethodPost, "commands", command, &s)
}

// Applied is the number of the last entry that the agent has acted on.
func (c *Client) Applied(ctx context.Context) (uint64, error) {
	h, err := c.log(ctx)
	return h.Applied, err
}

// Voters changes who votes: what is promote, demote or forget.
func (c *Client) Voters(ctx context.Context, what, name string) error {
	return c.call(ctx, http.MethodPost, "voters", change{Name: name, What: what}, nil)
}

// Reload has all instances read their configuration again, and tells what each answered.
func (c *Client) Reload(ctx context.Context) (map[string]string, error) {
	results := map[string]string{}
	return results, c.call(ctx, http.MethodPost, "reload?all=1", nil, &results)
}
