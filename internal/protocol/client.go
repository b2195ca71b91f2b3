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

// ClientEvent is what a client's bytes came to.
type ClientEvent uint8

const (
	ClientIncomplete ClientEvent = iota // more bytes are needed
	ClientProbe                         // the front asks whether the proxy is ready
	ClientOpen                          // an attachment: the machine's fields tell of it
	ClientInvalid                       // Why tells what is wrong; the connection is to be closed
)

// Client is the state machine of a client's connection. Its fields are set once it has asked.
type Client struct {
	ID           uint64 // new with every connection
	Key          logic.ClientKey
	Group        logic.GroupID
	Product      string
	Timeout      logic.Micros // how long the client waits from when it sent the line; 0 if it does not say
	LoadHint     float64      // microseconds of work a second; 0 if none
	Returning    bool         // it comes again after a break or a move
	Retry        bool         // it has asked before and was not served
	ResumeServer string       // the server at which the connection was open before this proxy was; "" otherwise
	Err          error

	in                          lineReader
	opened                      bool
	pings                       int
	hasTimeout                  bool   // how long it waits
	beforeTimeout, afterTimeout string // of the line, round the figure that tells how long the proxy will wait
}

var (
	errEarlyData    = errors.New("bytes came before the connection was up")
	errUnknownLine  = errors.New("the first line means nothing")
	errTooManyPings = errors.New("too many questions and no attachment")
)

// maxPings is far more than a front asks on a connection. Guards against floods of them, each with its answer.
const maxPings = 32

// Feed takes bytes that came before the connection stands, up to the end of the first line.
func (c *Client) Feed(b []byte) (ClientEvent, []byte) {
	if len(b) == 0 {
		return ClientIncomplete, nil
	}
	if c.opened {
		return c.invalid(errEarlyData)
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
	if len(rest) > 0 { // told before anything is sent on for it
		return c.invalid(errEarlyData)
	}
	c.opened = true
	c.in.release()
	return ClientOpen, nil
}

func (c *Client) invalid(err error) (ClientEvent, []byte) {
	c.Err = err
	c.in.release()
	return ClientInvalid, nil
}

// Release gives back what the machine holds.
func (c *Client) Release() { c.in.release() }

// PartialLine is what has come of a first line that is not whole yet.
func (c *Client) PartialLine() []byte { return c.in.partial() }

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
	at := len(line) - len(words[3])
	named := make([]string, 0, 8)
	for item := range strings.SplitSeq(words[3], ",") {
		name, value, found := strings.Cut(item, "=")
		if !found || name == "" {
			return fmt.Errorf("%.40q has no value", item)
		}
		if slices.Contains(named, name) || len(named) == maxFields {
			return fmt.Errorf("%.40q is one too many", name)
		}
		named = append(named, name)
		if name == "d" {
			c.beforeTimeout, c.afterTimeout, c.hasTimeout = line[:at+2], line[at+len(item):], true
		}
		if err := c.setField(name, value); err != nil {
			return err
		}
		at += len(item) + 1
	}
	if c.Product == "" {
		return errors.New("no class is named")
	}
	return nil
}

// maxFields is far above what a line lists. Guards against long searches for one that is named twice.
const maxFields = 64

// maxMillis is far above any hard limit; a longer wait is taken for a bad number.
const maxMillis = 1e9

func (c *Client) setField(name, value string) error {
	switch name {
	case "c":
		c.Product = value
	case "g":
		c.Group = logic.GroupID(parseKey(value))
	case "at":
		c.ResumeServer = value
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
	return nil // further figures are of later days
}

// OpenLine is the line for the server: as it came, but for how long this proxy will wait.
func (c *Client) OpenLine(wait logic.Micros) []byte {
	if !c.hasTimeout {
		return []byte(c.beforeTimeout + "\r\n")
	}
	ms := max(1, int64(wait/logic.Millisecond))
	return []byte(c.beforeTimeout + strconv.FormatInt(ms, 10) + c.afterTimeout + "\r\n")
}

// parseKey reads a key; one that is no hexadecimal number stands for itself all the same, equally everywhere.
func parseKey(word string) uint64 {
	if x, err := strconv.ParseUint(word, 16, 64); err == nil {
		return x
	}
	return HashName(word)
}

// HashName is a number for a name, the same at every proxy.
func HashName(name string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(name)) // a hash takes all
	return h.Sum64()
}

// What a proxy says to a client.
var (
	ReadyLine    = []byte("PONG\r\n")
	NotReadyLine = []byte("ERR not ready\r\n")
	FailedLine   = []byte("ERR\r\n")
	MoveLine     = []byte("MOVE\r\n")
)

// BusyLine tells a client that trying again is harmless, after a while where that is not 0.
func BusyLine(after logic.Micros) []byte {
	if after <= 0 {
		return []byte("BUSY\r\n")
	}
	ms := (after + logic.Millisecond - 1) / logic.Millisecond
	return []byte("BUSY " + strconv.FormatInt(int64(ms), 10) + "\r\n")
}

// ErrorLine tells a client in one line what was wrong with what it sent.
func ErrorLine(why error) []byte { return []byte("ERR " + why.Error() + "\r\n") }
