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

	"hatchproxy/agent/clusterstate"
	"hatchproxy/internal/control"
	"hatchproxy/internal/listen"
	"hatchproxy/lease"
)

// ProtocolVersion is the protocol's between tool and agents, and between agents.
const ProtocolVersion = 1

const (
	maxBodyBytes = 256 << 10
	httpTimeout  = 10 * time.Second
	// peerQueryTimeout is how long other agents may take to tell what they know.
	peerQueryTimeout = 1500 * time.Millisecond
)

// serveAPI opens the agent's surface and returns what closes it.
func (a *Agent) serveAPI(ctx context.Context) (func() error, error) {
	l, err := listen.TCP(ctx, a.config.Listen, a.log)
	if err != nil {
		return nil, err
	}
	mux := http.NewServeMux()
	v := fmt.Sprintf("/v%d", ProtocolVersion)
	mux.HandleFunc("GET "+v+"/ping", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, "here") })
	mux.HandleFunc("GET "+v+"/view", func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Query().Get("all") == "" {
			writeJSON(w, http.StatusOK, a.localView())
			return
		}
		writeJSON(w, http.StatusOK, a.clusterView(r.Context()))
	})
	mux.HandleFunc("GET "+v+"/log", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, a.journal.logStatus()) })
	mux.HandleFunc("POST "+v+"/voters", func(w http.ResponseWriter, r *http.Request) {
		var c voterChange
		err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&c)
		if err == nil {
			err = a.changeVoters(r.Context(), c, r.URL.Query().Get("passed") != "")
		}
		if err != nil {
			writeJSON(w, http.StatusServiceUnavailable, map[string]string{"error": err.Error()})
			return
		}
		writeJSON(w, http.StatusOK, c)
	})
	mux.HandleFunc("POST "+v+"/commands", a.handleCommand)
	mux.HandleFunc("POST "+v+"/duties", func(w http.ResponseWriter, r *http.Request) {
		var q lease.Request
		err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&q)
		var p lease.Tokens
		if err == nil {
			p, err = a.duties.handleRequest(q)
		}
		if err != nil {
			writeJSON(w, http.StatusServiceUnavailable, map[string]string{"error": err.Error()})
			return
		}
		writeJSON(w, http.StatusOK, p)
	})
	mux.HandleFunc("POST "+v+"/reload", a.handleReload)
	mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		writeJSON(w, http.StatusNotFound, map[string]string{"error": fmt.Sprintf("%s %.100s is nothing here: agents speak protocol %d", r.Method, r.URL.Path, ProtocolVersion)})
	})
	s := &http.Server{Handler: mux, ReadTimeout: httpTimeout, WriteTimeout: 2 * httpTimeout, IdleTimeout: time.Minute, MaxHeaderBytes: 8 << 10,
		ErrorLog: slog.NewLogLogger(a.log.Handler(), slog.LevelDebug), BaseContext: func(net.Listener) context.Context { return ctx }}
	go func() {
		if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			a.log.Error("the surface has ended", "error", err)
		}
	}()
	return s.Close, nil
}

func writeJSON(w http.ResponseWriter, status int, what any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(what) // a failure is the other side's
}

// commandResult is what became of a command.
type commandResult struct {
	Number uint64 `json:"number"`
	Leader string `json:"leader"`
}

// handleCommand has one agreed on; an agent that does not lead passes it on once.
func (a *Agent) handleCommand(w http.ResponseWriter, r *http.Request) {
	no := func(status int, err error) { writeJSON(w, status, map[string]string{"error": err.Error()}) }
	text, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		no(http.StatusRequestEntityTooLarge, err)
		return
	}
	var c clusterstate.Command
	d := json.NewDecoder(bytes.NewReader(text))
	d.DisallowUnknownFields()
	if err := d.Decode(&c); err != nil {
		no(http.StatusBadRequest, fmt.Errorf("protocol %d does not understand this: %w", ProtocolVersion, err))
		return
	}
	if err := clusterstate.Validate(c); err != nil {
		no(http.StatusBadRequest, err)
		return
	}
	number, err := a.journal.Submit(c)
	if errors.Is(err, errNotLeader) && r.URL.Query().Get("passed") == "" {
		number, err = a.forwardCommand(r.Context(), c)
	}
	if err != nil {
		no(http.StatusServiceUnavailable, err)
		return
	}
	writeJSON(w, http.StatusOK, commandResult{number, a.journal.Leader()})
}

func (a *Agent) forwardCommand(ctx context.Context, c clusterstate.Command) (uint64, error) {
	leader, err := a.leaderClient()
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
			case <-time.After(leaderCheckInterval):
				if a.journal.Leader() != was {
					cancel(errLeaderChanged)
				}
			}
		}
	}()
	var s commandResult
	err = leader.call(ctx, http.MethodPost, "commands?passed=1", c, &s)
	if errors.Is(context.Cause(ctx), errLeaderChanged) && err != nil {
		err = errLeaderChanged
	}
	return s.Number, err
}

// errLeaderChanged is the answer where the leader fell silent and is no longer one.
var errLeaderChanged = errors.New("it is not known whether it was agreed on: the leader that it was passed on to leads no more")

// leaderCheckInterval is how often it is looked whether the leader is another: well below the time that finding one takes.
const leaderCheckInterval = 50 * time.Millisecond

// leaderClient is the other agent that leads.
func (a *Agent) leaderClient() (*Client, error) {
	name := a.journal.Leader()
	at := slices.IndexFunc(a.config.Peers, func(p Peer) bool { return p.Name == name })
	if at < 0 {
		return nil, errors.New("no agent leads now: fewer than half of them see each other, or one is being chosen")
	}
	return newClientFrom(a.config.SourceAddress, a.config.Peers[at].Listen), nil
}

// handleReload has all local instances read their configuration again; it is no state, and is not agreed on.
func (a *Agent) handleReload(w http.ResponseWriter, r *http.Request) {
	results := map[string]string{}
	var mu sync.Mutex
	var all sync.WaitGroup
	for _, i := range a.instances {
		all.Go(func() {
			ctx, cancel := context.WithTimeout(r.Context(), peerQueryTimeout)
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
		for _, p := range a.config.Peers {
			c := newClientFrom(a.config.SourceAddress, p.Listen)
			theirs := map[string]string{}
			ctx, cancel := context.WithTimeout(r.Context(), 2*peerQueryTimeout)
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
	writeJSON(w, http.StatusOK, results)
}

// clusterView is what all agents know together.
func (a *Agent) clusterView(ctx context.Context) View {
	v := a.localView()
	ctx, cancel := context.WithTimeout(ctx, peerQueryTimeout)
	defer cancel()
	var mu sync.Mutex
	var all sync.WaitGroup
	for _, p := range a.config.Peers {
		all.Go(func() {
			c := newClientFrom(a.config.SourceAddress, p.Listen)
			defer c.Close()
			theirs, err := c.view(ctx, "view")
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				v.SilentAgents = append(v.SilentAgents, p.Name)
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
	slices.Sort(v.SilentAgents)
	return v
}

// Client asks an agent.
type Client struct {
	baseURL    string
	httpClient *http.Client
}

// NewClient names an agent by its address; nothing is sent yet.
func NewClient(address string) *Client { return newClientFrom("", address) }

// newClientFrom has the calls go out from an address.
func newClientFrom(from, address string) *Client {
	return &Client{"http://" + address, &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2, DisableCompression: true,
		DialContext: newDialer(from, httpTimeout).DialContext}}}
}

// newDialer calls from an address, or from any.
func newDialer(from string, within time.Duration) *net.Dialer {
	d := &net.Dialer{Timeout: within}
	if from != "" {
		d.LocalAddr = &net.TCPAddr{IP: net.ParseIP(from)}
	}
	return d
}

// Close gives its idle connections back.
func (c *Client) Close() { c.httpClient.CloseIdleConnections() }

func (c *Client) call(ctx context.Context, method, path string, body, into any) error {
	return control.CallJSON(ctx, c.httpClient, method, fmt.Sprintf("%s/v%d/%s", c.baseURL, ProtocolVersion, path), body, into)
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

// ClusterView is what all agents know together, as far as they answer.
func (c *Client) ClusterView(ctx context.Context) (View, error) { return c.view(ctx, "view?all=1") }

// Submit has a command agreed on and returns its number.
func (c *Client) Submit(ctx context.Context, command clusterstate.Command) (uint64, error) {
	var s commandResult
	return s.Number, c.call(ctx, http.MethodPost, "commands", command, &s)
}

// AppliedIndex is the number of the last entry that the agent has acted on.
func (c *Client) AppliedIndex(ctx context.Context) (uint64, error) {
	h, err := c.logStatus(ctx)
	return h.AppliedIndex, err
}

// ChangeVoters changes who votes: what is promote, demote or forget.
func (c *Client) ChangeVoters(ctx context.Context, what, name string) error {
	return c.call(ctx, http.MethodPost, "voters", voterChange{Name: name, Action: what}, nil)
}

// Reload has all instances read their configuration again, and tells what each answered.
func (c *Client) Reload(ctx context.Context) (map[string]string, error) {
	results := map[string]string{}
	return results, c.call(ctx, http.MethodPost, "reload?all=1", nil, &results)
}
