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

// Client calls the control API of one instance.
type Client struct {
	baseURL    string
	httpClient *http.Client
}

// NewClient returns a client of the instance at address, "unix:PATH" or an address with a port. It does not connect yet.
func NewClient(address string) *Client {
	transport := &http.Transport{MaxIdleConnsPerHost: 1, DisableCompression: true}
	c := &Client{baseURL: "http://" + address, httpClient: &http.Client{Transport: transport}}
	if path, isUnix := strings.CutPrefix(address, "unix:"); isUnix {
		c.baseURL = "http://instance"
		transport.DialContext = func(ctx context.Context, _, _ string) (net.Conn, error) {
			return (&net.Dialer{}).DialContext(ctx, "unix", path)
		}
	}
	return c
}

// Close closes the idle connections.
func (c *Client) Close() { c.httpClient.CloseIdleConnections() }

// maxAnswerBytes limits the size of an answer. The largest is an agent's view of hundreds of instances with their servers.
const maxAnswerBytes = 64 << 20

// call calls a path of the control API in this protocol version.
func (c *Client) call(ctx context.Context, method, path string, body, into any) error {
	return CallJSON(ctx, c.httpClient, method, fmt.Sprintf("%s/v%d/%s", c.baseURL, ProtocolVersion, path), body, into)
}

// CallJSON makes an HTTP call with JSON bodies, in the manner of the control API, and decodes the answer into into. Either
// body may be nil. If the status is not 200, it returns a *RefusedError.
func CallJSON(ctx context.Context, client *http.Client, method, url string, body, into any) error {
	var requestBody io.Reader
	if body != nil {
		text, err := json.Marshal(body)
		if err != nil {
			return err
		}
		requestBody = bytes.NewReader(text)
	}
	request, err := http.NewRequestWithContext(ctx, method, url, requestBody)
	if err != nil {
		return err
	}
	response, err := client.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	text, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return err
	}
	if response.StatusCode != http.StatusOK {
		var failure struct{ Error string }
		if json.Unmarshal(text, &failure) != nil || failure.Error == "" {
			failure.Error = response.Status
		}
		return &RefusedError{response.StatusCode, failure.Error}
	}
	if into == nil {
		return nil
	}
	return json.Unmarshal(text, into)
}

// RefusedError is the error of a call that the other side refused.
type RefusedError struct {
	Status int // HTTP status
	Reason string
}

func (e *RefusedError) Error() string { return e.Reason }

// Status returns the instance's status.
func (c *Client) Status(ctx context.Context) (status Status, err error) {
	return status, c.call(ctx, http.MethodGet, "status", nil, &status)
}

// ApplyOrder gives the instance an order.
func (c *Client) ApplyOrder(ctx context.Context, order orders.Order) (answer orders.Answer, err error) {
	return answer, c.call(ctx, http.MethodPost, "orders", order, &answer)
}

// Reload makes the instance read its configuration again.
func (c *Client) Reload(ctx context.Context) error {
	return c.call(ctx, http.MethodPost, "reload", nil, nil)
}

// Leave makes the instance shut down gracefully.
func (c *Client) Leave(ctx context.Context) error {
	return c.call(ctx, http.MethodPost, "leave", nil, nil)
}

// SetLogLevel sets the lowest level that the instance logs.
func (c *Client) SetLogLevel(ctx context.Context, level slog.Level) error {
	return c.call(ctx, http.MethodPost, "level", map[string]slog.Level{"level": level}, nil)
}
