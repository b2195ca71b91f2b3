package protocol

import (
	"errors"
	"fmt"
	"hash/fnv"
	"math"
	"slices"
	"strconv"
	"strings"

	"hatchproxy/logic"
)

// ClientEvent is the result of feeding bytes to a Client.
type ClientEvent uint8

const (
	ClientIncomplete ClientEvent = iota // more bytes are needed
	ClientProbe                         // a PING, which asks whether the proxy is ready
	ClientOpen                          // an OPEN, which requests an attachment: the fields of Client are set
	ClientInvalid                       // an error, which is in Err; the connection must be closed
)

// Client is the state machine of a client's connection before it is established. Its exported fields are set by the OPEN
// line, except for Err.
type Client struct {
	ID           uint64 // identifies the connection: a client uses a new one for each
	Key          logic.ClientKey
	Group        logic.GroupID
	Product      string
	Timeout      logic.Micros // how long the client waits, from when it sent the line; 0 if it is not given
	LoadHint     float64      // expected load in microseconds of work per second; 0 if it is not given
	Returning    bool         // the client comes back after its connection broke or was moved
	Retry        bool         // the client has tried before and was not served
	ResumeServer string       // the uid of the server to which the connection was established before this proxy had it; "" otherwise
	Err          error        // set with ClientInvalid

	in                          lineReader
	opened                      bool // the OPEN line has been read
	pings                       int
	hasTimeout                  bool   // the OPEN line has the time that the client waits
	beforeTimeout, afterTimeout string // the parts of the OPEN line around that time, which OpenLine replaces
}

// ErrEarlyData is the error of a client that sends more before its connection is established.
var ErrEarlyData = errors.New("bytes came before the connection was up")

var (
	errUnknownLine  = errors.New("the first line means nothing")
	errTooManyPings = errors.New("too many questions and no attachment")
)

// maxPings is far above the number of pings that a health check sends on a connection. It guards against floods of pings,
// each of which is answered.
const maxPings = 32

// Feed takes bytes that were received before the connection is established, up to the end of the first line. It returns
// the bytes that are left to feed.
func (c *Client) Feed(b []byte) (ClientEvent, []byte) {
	if len(b) == 0 {
		return ClientIncomplete, nil
	}
	if c.opened {
		return c.invalid(ErrEarlyData)
	}
	line, rest, whole, err := c.in.next(b)
	if err != nil {
		return c.invalid(err)
	}
	if !whole {
		return ClientIncomplete, nil
	}
	if string(line) == "PING" {
		if c.pings++; c.pings > maxPings {
			return c.invalid(errTooManyPings)
		}
		return ClientProbe, rest
	}
	if err := c.parseOpen(string(line)); err != nil {
		return c.invalid(err)
	}
	if len(rest) > 0 { // detected before anything is sent to a server
		return c.invalid(ErrEarlyData)
	}
	c.opened = true
	c.in.release()
	return ClientOpen, nil
}

// invalid records an error.
func (c *Client) invalid(err error) (ClientEvent, []byte) {
	c.Err = err
	c.in.release()
	return ClientInvalid, nil
}

// Release frees the buffer and the text of the OPEN line, after which OpenLine may not be called. The other fields stay.
func (c *Client) Release() {
	c.in.release()
	c.beforeTimeout, c.afterTimeout = "", ""
}

// PartialLine returns the part of the first line that has been received so far; nil if there is none.
func (c *Client) PartialLine() []byte { return c.in.partial() }

// parseOpen parses an OPEN line. Its error text goes to the client.
func (c *Client) parseOpen(line string) error {
	words := strings.Split(line, " ")
	if words[0] != "OPEN" {
		return errors.New("the verb is unknown")
	}
	if len(words) != 4 {
		return errors.New("OPEN takes an id, a key and a list")
	}
	id, err := strconv.ParseUint(words[1], 16, 64)
	if err != nil {
		return fmt.Errorf("the id %.40q is no hexadecimal number", words[1])
	}
	key, err := strconv.ParseUint(words[2], 16, 64)
	if err != nil {
		return fmt.Errorf("the key %.40q is no hexadecimal number", words[2])
	}
	c.ID, c.Key = id, logic.ClientKey(key)
	c.beforeTimeout = line
	offset := len(line) - len(words[3])
	names := make([]string, 0, 8)
	for item := range strings.SplitSeq(words[3], ",") {
		name, value, found := strings.Cut(item, "=")
		if !found || name == "" {
			return fmt.Errorf("%.40q has no value", item)
		}
		if slices.Contains(names, name) || len(names) == maxFields {
			return fmt.Errorf("%.40q is one too many", name)
		}
		names = append(names, name)
		if name == "d" {
			c.beforeTimeout, c.afterTimeout, c.hasTimeout = line[:offset+2], line[offset+len(item):], true
		}
		if err := c.setField(name, value); err != nil {
			return err
		}
		offset += len(item) + 1
	}
	if c.Product == "" {
		return errors.New("no class is named")
	}
	return nil
}

// maxFields is far above the number of fields that clients list. It bounds the search for fields that are named twice.
const maxFields = 64

// maxMillis is far above any hard limit; a larger number in a field is an error.
const maxMillis = 1e9

// setField sets the field of a name in the list of an OPEN line.
func (c *Client) setField(name, value string) error {
	switch name {
	case "c":
		c.Product = strings.Clone(value) // the rest of the line is not kept with it
	case "g":
		c.Group = logic.GroupID(parseKey(value))
	case "at":
		c.ResumeServer = strings.Clone(value)
	case "r":
		c.Retry = value == "1"
	case "again":
		c.Returning = value == "1"
	case "d", "h":
		x, err := strconv.ParseFloat(value, 64)
		if err != nil || !(x >= 0 && x <= maxMillis) {
			return fmt.Errorf("%s: %.40q is no such number", name, value)
		}
		if name == "d" {
			if c.Timeout = logic.Micros(math.Round(x * 1000)); c.Timeout == 0 {
				return errors.New("d: it is over already")
			}
		} else {
			c.LoadHint = 1000 * x
		}
	}
	return nil // unknown fields are ignored, so that later versions of the protocol can add some
}

// OpenLine returns the OPEN line to send to a server: as it was received, but with the time for which this proxy waits.
func (c *Client) OpenLine(wait logic.Micros) []byte {
	if !c.hasTimeout {
		return []byte(c.beforeTimeout + "\r\n")
	}
	ms := max(1, int64(wait/logic.Millisecond))
	return []byte(c.beforeTimeout + strconv.FormatInt(ms, 10) + c.afterTimeout + "\r\n")
}

// parseKey parses a hexadecimal key. Any other text is hashed, so that it identifies the same thing at every proxy.
func parseKey(key string) uint64 {
	if x, err := strconv.ParseUint(key, 16, 64); err == nil {
		return x
	}
	return HashName(key)
}

// HashName returns a number for a name, which is the same at every proxy.
func HashName(name string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(name)) // writing to a hash never fails
	return h.Sum64()
}

// Lines that a proxy sends to a client.
var (
	ReadyLine    = []byte("PONG\r\n")          // the answer to a ping
	NotReadyLine = []byte("ERR not ready\r\n") // the answer to a ping if the proxy is not ready
	FailedLine   = []byte("ERR\r\n")           // the request failed and may have run
	MoveLine     = []byte("MOVE\r\n")          // the client is to connect anew
)

// BusyLine returns the line that tells a client that a retry is harmless, and after which time if that is not 0. The time
// is rounded up to milliseconds.
func BusyLine(retryAfter logic.Micros) []byte {
	if retryAfter <= 0 {
		return []byte("BUSY\r\n")
	}
	ms := (retryAfter + logic.Millisecond - 1) / logic.Millisecond
	return []byte("BUSY " + strconv.FormatInt(int64(ms), 10) + "\r\n")
}

// ErrorLine returns the line that tells a client what was wrong with its input.
func ErrorLine(err error) []byte { return []byte("ERR " + err.Error() + "\r\n") }
