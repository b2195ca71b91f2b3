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
	ClientSilent ClientEvent = iota // more bytes are needed
	Probed                          // the front asks whether the proxy is ready
	Asked                           // an attachment: the machine's fields tell of it
	ClientWrong                     // Why tells what is wrong; the connection is to be closed
)

// Client is the state machine of a client's connection. Its fields are set once it has asked.
type Client struct {
	ID      uint64 // new with every connection
	Key     logic.ClientKey
	Group   logic.GroupID
	Product string
	Wait    logic.Micros // how long the client waits from when it sent the line; 0 if it does not say
	Hint    float64      // microseconds of work a second; 0 if none
	Back    bool         // it comes again after a break or a move
	Retry   bool         // it has asked before and was not served
	Stands  string       // the server at which the connection was open before this proxy was; "" otherwise
	Why     error

	in           lines
	asked        bool
	pings        int
	told         bool   // how long it waits
	before, tail string // of the line, round the figure that tells how long the proxy will wait
}

var (
	errEarly = errors.New("bytes came before the connection was up")
	errDumb  = errors.New("the first line means nothing")
	errPings = errors.New("too many questions and no attachment")
)

// mostPings is far more than a front asks on a connection. Guards against floods of them, each with its answer.
const mostPings = 32

// Feed takes bytes that came before the connection stands, up to the end of the first line.
func (c *Client) Feed(b []byte) (ClientEvent, []byte) {
	if len(b) == 0 {
		return ClientSilent, nil
	}
	if c.asked {
		return c.wrong(errEarly)
	}
	line, rest, whole, err := c.in.next(b)
	if err != nil {
		return c.wrong(err)
	}
	if !whole {
		return ClientSilent, nil
	}
	if string(line) == "PING" {
		if c.pings++; c.pings > mostPings {
			return c.wrong(errPings)
		}
		return Probed, rest
	}
	if err := c.read(string(line)); err != nil {
		return c.wrong(err)
	}
	if len(rest) > 0 { // told before anything is sent on for it
		return c.wrong(errEarly)
	}
	c.asked = true
	c.in.drop()
	return Asked, nil
}

func (c *Client) wrong(err error) (ClientEvent, []byte) {
	c.Why = err
	c.in.drop()
	return ClientWrong, nil
}

// Drop gives back what the machine holds.
func (c *Client) Drop() { c.in.drop() }

// Held is what has come of a first line that is not whole yet.
func (c *Client) Held() []byte { return c.in.part() }

func (c *Client) read(line string) error {
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
	c.before = line
	at := len(line) - len(words[3])
	named := make([]string, 0, 8)
	for item := range strings.SplitSeq(words[3], ",") {
		name, value, found := strings.Cut(item, "=")
		if !found || name == "" {
			return fmt.Errorf("%.40q has no value", item)
		}
		if slices.Contains(named, name) || len(named) == mostNames {
			return fmt.Errorf("%.40q is one too many", name)
		}
		named = append(named, name)
		if name == "d" {
			c.before, c.tail, c.told = line[:at+2], line[at+len(item):], true
		}
		if err := c.field(name, value); err != nil {
			return err
		}
		at += len(item) + 1
	}
	if c.Product == "" {
		return errors.New("no class is named")
	}
	return nil
}

// mostNames is far above what a line lists. Guards against long searches for one that is named twice.
const mostNames = 64

// longestWait is far above any hard limit; a longer wait is taken for a bad number.
const longestWait = 1e9

func (c *Client) field(name, value string) error {
	switch name {
	case "c":
		c.Product = value
	case "g":
		c.Group = logic.GroupID(number(value))
	case "at":
		c.Stands = value
	case "r":
		c.Retry = value == "1"
	case "again":
		c.Back = value == "1"
	case "d", "h":
		x, err := strconv.ParseFloat(value, 64)
		if err != nil || !(x >= 0 && x <= longestWait) {
			return fmt.Errorf("%s: %.40q is no such number", name, value)
		}
		if name == "d" {
			if c.Wait = logic.Micros(math.Round(x * 1000)); c.Wait == 0 {
				return errors.New("d: it is over already")
			}
		} else {
			c.Hint = 1000 * x
		}
	}
	return nil // further figures are of later days
}

// Line is the line for the server: as it came, but for how long this proxy will wait.
func (c *Client) Line(wait logic.Micros) []byte {
	if !c.told {
		return []byte(c.before + "\r\n")
	}
	ms := max(1, int64(wait/logic.Millisecond))
	return []byte(c.before + strconv.FormatInt(ms, 10) + c.tail + "\r\n")
}

// number reads a key; one that is no hexadecimal number stands for itself all the same, equally everywhere.
func number(word string) uint64 {
	if x, err := strconv.ParseUint(word, 16, 64); err == nil {
		return x
	}
	return Number(word)
}

// Number is a number for a name, the same at every proxy.
func Number(name string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(name)) // a hash takes all
	return h.Sum64()
}

// What a proxy says to a client.
var (
	Ready    = []byte("PONG\r\n")
	NotReady = []byte("ERR not ready\r\n")
	Failed   = []byte("ERR\r\n")
	Leave    = []byte("MOVE\r\n")
)

// Refusal tells a client that trying again is harmless, after a while where that is not 0.
func Refusal(after logic.Micros) []byte {
	if after <= 0 {
		return []byte("BUSY\r\n")
	}
	ms := (after + logic.Millisecond - 1) / logic.Millisecond
	return []byte("BUSY " + strconv.FormatInt(int64(ms), 10) + "\r\n")
}

// Fault tells a client in one line what was wrong with what it sent.
func Fault(why error) []byte { return []byte("ERR " + why.Error() + "\r\n") }
