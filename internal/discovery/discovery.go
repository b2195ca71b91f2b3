// Package discovery asks for the list of servers and follows its changes.
package discovery

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"hatchproxy/internal/protocol"
	"hatchproxy/logic"
)

// List is told what an answer says.
type List interface {
	Whole()
	Entry(uid, endpoint, zone, model string, cell logic.CellID, state logic.State, weight float64,
		launched logic.Micros)
	Done()
}

var states = map[string]logic.State{"ready": logic.Ready, "draining": logic.Draining, "gone": logic.Gone}

// Decode reads an answer. It returns the list's version and a call that tells the list; an answer that is
// wrong anywhere tells nothing.
func Decode(text []byte) (version int64, tell func(List), err error) {
	var found struct {
		Rev     *int64
		All     bool
		Targets []struct {
			UID, Endpoint, AZ, Model, State string

			PodGroup     uint16  `json:"pod_group"`
			CapacityHint float64 `json:"capacity_hint"`
			BootMS       float64 `json:"boot_ms"`
		}
	}
	if err := json.Unmarshal(text, &found); err != nil {
		return 0, nil, err
	}
	if found.Rev == nil {
		return 0, nil, errors.New("the list has no version")
	}
	for _, e := range found.Targets {
		if e.UID == "" {
			return 0, nil, errors.New("a server has no uid")
		}
		if _, known := states[e.State]; !known {
			return 0, nil, fmt.Errorf("server state %.40q is unknown", e.State)
		}
	}
	return *found.Rev, func(l List) {
		if found.All {
			l.Whole()
		}
		for _, e := range found.Targets {
			l.Entry(e.UID, e.Endpoint, e.AZ, e.Model, logic.CellID(e.PodGroup), states[e.State],
				e.CapacityHint, logic.Micros(e.BootMS)*logic.Millisecond)
		}
		l.Done()
	}, nil
}

// ID is a server's id, computed from its uid alone, so that all proxies agree on it.
func ID(uid string) logic.ServerID { return logic.ServerID(protocol.Number(uid)) }

// Service is the place where the list is had.
type Service struct {
	base   string
	hold   time.Duration
	client *http.Client
}

const (
	connecting = time.Second
	// working is how long a call may take beyond its wait: the service takes calls in turn and gives up on
	// those that have waited for some seconds, so this is only for one that says nothing at all.
	working = 4 * time.Second
	// largest is far above any list; a longer answer is garbage.
	largest = 64 << 20
)

// At names the service's address and how long a watch may wait.
func At(address string, hold time.Duration) *Service {
	return &Service{
		base: "http://" + address + "/v1/servers", hold: hold,
		client: &http.Client{Transport: &http.Transport{
			DialContext:        (&net.Dialer{Timeout: connecting}).DialContext,
			MaxConnsPerHost:    2, // a watch, and the one that comes in its place
			DisableCompression: true,
		}},
	}
}

// Close gives back the connections on which no call is out. Calls are ended by their own context.
func (s *Service) Close() { s.client.CloseIdleConnections() }

// None is the version of no list at all.
const None = -1

// Follow asks for what is newer than a version, at once, and then goes on watching. Each answer is handed to
// told; it ends with the first call that fails, and with ctx.
func (s *Service) Follow(ctx context.Context, version int64, told func(version int64, tell func(List))) error {
	hold := time.Millisecond
	for {
		next, tell, err := s.ask(ctx, version, hold)
		if err != nil {
			return err
		}
		version, hold = next, s.hold
		told(version, tell)
	}
}

func (s *Service) ask(ctx context.Context, version int64, hold time.Duration) (int64, func(List), error) {
	ctx, cancel := context.WithTimeout(ctx, hold+working)
	defer cancel()
	url := s.base
	if version >= 0 {
		url += "?from=" + strconv.FormatInt(version, 10) + "&hold_ms=" + strconv.FormatInt(hold.Milliseconds(), 10)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return 0, nil, err
	}
	resp, err := s.client.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(io.LimitReader(resp.Body, largest))
	if err != nil {
		return 0, nil, err
	}
	if resp.StatusCode != http.StatusOK {
		return 0, nil, fmt.Errorf("the service answers %s", resp.Status)
	}
	return Decode(text)
}
