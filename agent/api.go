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

// ProtocolVersion is the version of the HTTP protocol that hatchctl and agents speak with agents.
const ProtocolVersion = 1

const (
	maxBodyBytes = 256 << 10        // of a request
	httpTimeout  = 10 * time.Second // for connecting and for reading a request; the response must be written within twice that
	// peerQueryTimeout is how long another agent may take to answer with its view, and an instance to reload. An agent that reloads all of
	// its instances may take twice as long.
	peerQueryTimeout = 1500 * time.Millisecond
)

// serveAPI starts the HTTP API for hatchctl and the other agents. It returns the function that closes it.
func (a *Agent) serveAPI(ctx context.Context) (func() error, error) {
	listener, err := listen.TCP(ctx, a.config.Listen, a.log)
	if err != nil {
		return nil, err
	}
	mux := http.NewServeMux()
	prefix := fmt.Sprintf("/v%d", ProtocolVersion)
	mux.HandleFunc("GET "+prefix+"/ping", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, "here") })
	mux.HandleFunc("GET "+prefix+"/view", func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Query().Get("all") == "" {
			writeJSON(w, http.StatusOK, a.localView())
			return
		}
		writeJSON(w, http.StatusOK, a.clusterView(r.Context()))
	})
	mux.HandleFunc("GET "+prefix+"/log", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, a.journal.logStatus()) })
	mux.HandleFunc("POST "+prefix+"/voters", func(w http.ResponseWriter, r *http.Request) {
		var change voterChange
		err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&change)
		if err == nil {
			err = a.changeVoters(r.Context(), change, r.URL.Query().Get("passed") != "")
		}
		if err != nil {
			writeJSON(w, http.StatusServiceUnavailable, map[string]string{"error": err.Error()})
			return
		}
		writeJSON(w, http.StatusOK, change)
	})
	mux.HandleFunc("POST "+prefix+"/commands", a.handleCommand)
	mux.HandleFunc("POST "+prefix+"/duties", func(w http.ResponseWriter, r *http.Request) {
		var request lease.Request
		err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&request)
		var tokens lease.Tokens
		if err == nil {
			tokens, err = a.duties.handleRequest(request)
		}
		if err != nil {
			writeJSON(w, http.StatusServiceUnavailable, map[string]string{"error": err.Error()})
			return
		}
		writeJSON(w, http.StatusOK, tokens)
	})
	mux.HandleFunc("POST "+prefix+"/reload", a.handleReload)
	mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		writeJSON(w, http.StatusNotFound, map[string]string{"error": fmt.Sprintf("%s %.100s is nothing here: agents speak protocol %d", r.Method, r.URL.Path, ProtocolVersion)})
	})
	server := &http.Server{Handler: mux, ReadTimeout: httpTimeout, WriteTimeout: 2 * httpTimeout, IdleTimeout: time.Minute, MaxHeaderBytes: 8 << 10,
		ErrorLog: slog.NewLogLogger(a.log.Handler(), slog.LevelDebug), BaseContext: func(net.Listener) context.Context { return ctx }}
	go func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			a.log.Error("the HTTP API has stopped", "error", err)
		}
	}()
	return server.Close, nil
}

// writeJSON writes a response with a JSON body.
func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // fails only if the client is gone
}

// commandResult is the response to a command: the number under which it was committed, and the leader.
type commandResult struct {
	Number uint64 `json:"number"`
	Leader string `json:"leader"`
}

// handleCommand answers once a command is committed. An agent that does not lead forwards it to the leader, unless it was forwarded
// already.
func (a *Agent) handleCommand(w http.ResponseWriter, r *http.Request) {
	fail := func(status int, err error) { writeJSON(w, status, map[string]string{"error": err.Error()}) }
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		fail(http.StatusRequestEntityTooLarge, err)
		return
	}
	var c clusterstate.Command
	decoder := json.NewDecoder(bytes.NewReader(body))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&c); err != nil {
		fail(http.StatusBadRequest, fmt.Errorf("protocol %d does not understand this: %w", ProtocolVersion, err))
		return
	}
	if err := clusterstate.Validate(c); err != nil {
		fail(http.StatusBadRequest, err)
		return
	}
	number, err := a.journal.Submit(c)
	if errors.Is(err, errNotLeader) && r.URL.Query().Get("passed") == "" {
		number, err = a.forwardCommand(r.Context(), c)
	}
	if err != nil {
		fail(http.StatusServiceUnavailable, err)
		return
	}
	writeJSON(w, http.StatusOK, commandResult{number, a.journal.Leader()})
}

// forwardCommand submits a command through the leader and returns its number.
func (a *Agent) forwardCommand(ctx context.Context, c clusterstate.Command) (uint64, error) {
	leader, err := a.leaderClient()
	if err != nil {
		return 0, err
	}
	defer leader.Close()
	// A leader that is cut off from the other agents never answers, not even with an error. So the call ends as soon as this agent
	// no longer sees that leader; the caller learns that the outcome is unknown and can submit the command again.
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	go func() {
		for previous := a.journal.Leader(); ctx.Err() == nil; {
			select {
			case <-ctx.Done():
			case <-time.After(leaderCheckInterval):
				if a.journal.Leader() != previous {
					cancel(errLeaderChanged)
				}
			}
		}
	}()
	var result commandResult
	err = leader.call(ctx, http.MethodPost, "commands?passed=1", c, &result)
	if errors.Is(context.Cause(ctx), errLeaderChanged) && err != nil {
		err = errLeaderChanged
	}
	return result.Number, err
}

// errLeaderChanged is returned if the leader changed before it had answered a forwarded command.
var errLeaderChanged = errors.New("it is not known whether it was agreed on: the leader that it was passed on to leads no more")

// leaderCheckInterval is how often forwardCommand checks whether the leader has changed. It is well below the duration of an election.
const leaderCheckInterval = 50 * time.Millisecond

// leaderClient returns a client of the agent that leads. It fails if none is known or it is this agent.
func (a *Agent) leaderClient() (*Client, error) {
	name := a.journal.Leader()
	i := slices.IndexFunc(a.config.Peers, func(p Peer) bool { return p.Name == name })
	if i < 0 {
		return nil, errors.New("no agent leads now: fewer than half of them see each other, or one is being chosen")
	}
	return newClientFrom(a.config.SourceAddress, a.config.Peers[i].Listen), nil
}

// handleReload makes all local instances reload their configuration, and with the parameter "all" those of the other agents, too. It
// answers with the result by instance. A reload changes no replicated state, so it doesn't go through the log.
func (a *Agent) handleReload(w http.ResponseWriter, r *http.Request) {
	results := map[string]string{}
	var mu sync.Mutex
	var group sync.WaitGroup
	for _, i := range a.instances {
		group.Go(func() {
			ctx, cancel := context.WithTimeout(r.Context(), peerQueryTimeout)
			defer cancel()
			result := "obeyed"
			if err := i.control.Reload(ctx); err != nil {
				result = err.Error()
			}
			mu.Lock()
			defer mu.Unlock()
			results[i.Name] = result
		})
	}
	group.Wait()
	if r.URL.Query().Get("all") != "" {
		for _, p := range a.config.Peers {
			c := newClientFrom(a.config.SourceAddress, p.Listen)
			peerResults := map[string]string{}
			ctx, cancel := context.WithTimeout(r.Context(), 2*peerQueryTimeout)
			if err := c.call(ctx, http.MethodPost, "reload", nil, &peerResults); err != nil {
				results["agent "+p.Name] = err.Error()
			}
			cancel()
			c.Close()
			for name, result := range peerResults {
				results[name] = result
			}
		}
	}
	writeJSON(w, http.StatusOK, results)
}

// clusterView returns this agent's view with the instances of all other agents added, and names the agents that did not answer in time.
func (a *Agent) clusterView(ctx context.Context) View {
	v := a.localView()
	ctx, cancel := context.WithTimeout(ctx, peerQueryTimeout)
	defer cancel()
	var mu sync.Mutex
	var group sync.WaitGroup
	for _, p := range a.config.Peers {
		group.Go(func() {
			c := newClientFrom(a.config.SourceAddress, p.Listen)
			defer c.Close()
			peerView, err := c.view(ctx, "view")
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				v.SilentAgents = append(v.SilentAgents, p.Name)
				return
			}
			v.Instances = append(v.Instances, peerView.Instances...)
			for _, m := range peerView.Members {
				if m.Kind == "instance" {
					v.Members = append(v.Members, m)
				}
			}
		})
	}
	group.Wait()
	slices.SortFunc(v.Instances, func(x, y InstanceView) int { return strings.Compare(x.Name, y.Name) })
	slices.Sort(v.SilentAgents)
	return v
}

// Client calls the HTTP API of an agent.
type Client struct {
	baseURL    string
	httpClient *http.Client
}

// NewClient returns a client of the agent at an address. It sends nothing yet.
func NewClient(address string) *Client { return newClientFrom("", address) }

// newClientFrom returns a client that connects from a source address, or from any if it is "".
func newClientFrom(source, address string) *Client {
	return &Client{"http://" + address, &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2, DisableCompression: true,
		DialContext: newDialer(source, httpTimeout).DialContext}}}
}

// newDialer returns a dialer that connects from a source address, or from any if it is "".
func newDialer(source string, timeout time.Duration) *net.Dialer {
	d := &net.Dialer{Timeout: timeout}
	if source != "" {
		d.LocalAddr = &net.TCPAddr{IP: net.ParseIP(source)}
	}
	return d
}

// Close closes the idle connections.
func (c *Client) Close() { c.httpClient.CloseIdleConnections() }

// call sends a request to a path below the version prefix and decodes the response.
func (c *Client) call(ctx context.Context, method, path string, body, into any) error {
	return control.CallJSON(ctx, c.httpClient, method, fmt.Sprintf("%s/v%d/%s", c.baseURL, ProtocolVersion, path), body, into)
}

// Ping returns nil if the agent answers.
func (c *Client) Ping(ctx context.Context) error {
	var response string
	return c.call(ctx, http.MethodGet, "ping", nil, &response)
}

// view fetches a view from a path.
func (c *Client) view(ctx context.Context, path string) (v View, err error) {
	return v, c.call(ctx, http.MethodGet, path, nil, &v)
}

// View returns what the agent itself knows.
func (c *Client) View(ctx context.Context) (View, error) { return c.view(ctx, "view") }

// ClusterView returns what all agents know together, as far as they answer.
func (c *Client) ClusterView(ctx context.Context) (View, error) { return c.view(ctx, "view?all=1") }

// Submit returns the number of a command once it is committed. After an error the command may still be committed; it is safe to
// submit it again with the same ID.
func (c *Client) Submit(ctx context.Context, command clusterstate.Command) (uint64, error) {
	var result commandResult
	return result.Number, c.call(ctx, http.MethodPost, "commands", command, &result)
}

// AppliedIndex returns the index of the last log entry that the agent has applied.
func (c *Client) AppliedIndex(ctx context.Context) (uint64, error) {
	status, err := c.logStatus(ctx)
	return status.AppliedIndex, err
}

// ChangeVoters changes the membership of an agent in the cluster. The action is "promote" (add it as a voter), "demote" (make it a
// non-voter) or "forget" (remove it).
func (c *Client) ChangeVoters(ctx context.Context, action, name string) error {
	return c.call(ctx, http.MethodPost, "voters", voterChange{Name: name, Action: action}, nil)
}

// Reload makes all instances reload their configuration and returns the result by instance: "obeyed" or an error.
func (c *Client) Reload(ctx context.Context) (map[string]string, error) {
	results := map[string]string{}
	return results, c.call(ctx, http.MethodPost, "reload?all=1", nil, &results)
}
