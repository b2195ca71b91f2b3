package control

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"

	"hatchproxy/orders"
)

// Client asks a control surface.
type Client struct {
	baseURL    string
	httpClient *http.Client
}

// NewClient names a surface by its address; nothing is sent yet.
func NewClient(address string) *Client {
	t := &http.Transport{MaxIdleConnsPerHost: 1, DisableCompression: true}
	c := &Client{baseURL: "http://" + address, httpClient: &http.Client{Transport: t}}
	if path, unix := strings.CutPrefix(address, "unix:"); unix {
		c.baseURL = "http://instance"
		t.DialContext = func(ctx context.Context, _, _ string) (net.Conn, error) {
			return (&net.Dialer{}).DialContext(ctx, "unix", path)
		}
	}
	return c
}

// Close gives its idle connections back.
func (c *Client) Close() { c.httpClient.CloseIdleConnections() }

// maxAnswerBytes bounds what is read of an answer: what an agent tells of hundreds of instances with their servers.
const maxAnswerBytes = 64 << 20

func (c *Client) call(ctx context.Context, method, path string, body, into any) error {
	return CallJSON(ctx, c.httpClient, method, fmt.Sprintf("%s/v%d/%s", c.baseURL, ProtocolVersion, path), body, into)
}

// CallJSON asks something of whoever speaks JSON as the control surface does, and reads the answer. One that says no is a
// Refusal.
func CallJSON(ctx context.Context, client *http.Client, method, url string, body, into any) error {
	var in io.Reader
	if body != nil {
		text, err := json.Marshal(body)
		if err != nil {
			return err
		}
		in = bytes.NewReader(text)
	}
	req, err := http.NewRequestWithContext(ctx, method, url, in)
	if err != nil {
		return err
	}
	resp, err := client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK {
		var said struct{ Error string }
		if json.Unmarshal(text, &said) != nil || said.Error == "" {
			said.Error = resp.Status
		}
		return &RefusedError{resp.StatusCode, said.Error}
	}
	if into == nil {
		return nil
	}
	return json.Unmarshal(text, into)
}

// RefusedError is an answer that says no.
type RefusedError struct {
	Status int
	Reason string
}

func (r *RefusedError) Error() string { return r.Reason }

// Status asks what the instance sees.
func (c *Client) Status(ctx context.Context) (s Status, err error) {
	return s, c.call(ctx, http.MethodGet, "status", nil, &s)
}

// ApplyOrder gives an order.
func (c *Client) ApplyOrder(ctx context.Context, o orders.Order) (a orders.Answer, err error) {
	return a, c.call(ctx, http.MethodPost, "orders", o, &a)
}

// Reload has the instance read its configuration again; Leave has it go; Level changes what it logs.
func (c *Client) Reload(ctx context.Context) error {
	return c.call(ctx, http.MethodPost, "reload", nil, nil)
}

func (c *Client) Leave(ctx context.Context) error {
	return c.call(ctx, http.MethodPost, "leave", nil, nil)
}

func (c *Client) SetLogLevel(ctx context.Context, level slog.Level) error {
	return c.call(ctx, http.MethodPost, "level", map[string]slog.Level{"level": level}, nil)
}
