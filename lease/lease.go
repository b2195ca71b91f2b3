// Package lease decides which agent holds each duty. A duty is a task that at most one agent may act on at a time. The package does
// no I/O, and its callers pass in the time; docs/duties.md lists the guarantees. Grants are entries in the agents' replicated log,
// each with a fencing token that only increases. The time for which a holder may act on its grant is not in the log: the leading
// agent leases it for a few seconds at a time and keeps these leases in memory only.
package lease

import (
	"cmp"
	"hash/fnv"
	"slices"

	"hatchproxy/logic"
)

const (
	// HolderDuration is how long a holder may act on a duty, by its own clock, counted from just before it sent the request that
	// was granted.
	HolderDuration = 2 * logic.Second
	// GrantorDuration is how long the grantor, by its own clock, keeps a duty reserved for its holder, counted from when the request
	// arrived. Clock rates may be off by 5% either way: on a slow clock HolderDuration takes 1/0.95 of its nominal time, and a fast
	// grantor's clock counts 1.05 times that, 1.106 in all.
	GrantorDuration = HolderDuration * 112 / 100
	// RenewInterval is how often a holder renews its leases; four responses in a row may be lost before it stops acting.
	RenewInterval = 400 * logic.Millisecond
	// LostHolderCooldown is how long a candidate that lost a duty because it stopped renewing is passed over in favor of others.
	LostHolderCooldown = 10 * logic.Second
	// candidateTimeout is the maximum age of a candidate's last request; three requests in a row may be lost.
	candidateTimeout = 4 * RenewInterval
)

// Grant records who holds a duty, as it is in the log.
type Grant struct {
	Holder     string `json:"holder"`       // "" if the duty has never been held
	Token      uint64 `json:"token"`        // the fencing token; in the result of DueGrants, the one that the grant replaces
	TransferTo string `json:"to,omitempty"` // the duty is to be handed over: to this candidate, or to any other one if "*"
	// GrantedAt is the time of the grant by the grantor's clock; Reason tells why the duty changed hands.
	GrantedAt logic.Micros `json:"since"`
	Reason    string       `json:"why"`
}

// Request is what a candidate for duties sends to the leading agent, to be granted duties and to renew the leases it has.
type Request struct {
	Holder   string            `json:"holder"`
	Duties   []string          `json:"wants,omitempty"` // the duties that it is a candidate for
	Released map[string]uint64 `json:"gives,omitempty"` // the duties that it no longer acts on, with their tokens
}

// Tokens is the response to a Request: the duties that the holder may act on, with their tokens. It may act on no other duty.
type Tokens map[string]uint64

// Grantor grants duties for as long as one agent leads. A new Grantor knows nothing of the leases of earlier leaders.
type Grantor struct {
	expiresAt    map[uint64]logic.Micros // by token: when its lease ends
	released     map[uint64]bool         // by token: its holder released it
	pending      map[string]uint64       // by duty: the token that a grant in progress replaces
	candidates   map[string]candidate    // by holder
	lostAt       map[string]logic.Micros // by holder: when it last lost a duty because its lease ran out
	firstRequest logic.Micros            // when the first request arrived
}

// candidate is what is known of an agent that has sent a request.
type candidate struct {
	lastRequest logic.Micros
	duties      []string
}

// NewGrantor returns a Grantor for an agent that has just become leader.
func NewGrantor() *Grantor {
	return &Grantor{expiresAt: map[uint64]logic.Micros{}, released: map[uint64]bool{}, pending: map[string]uint64{}, candidates: map[string]candidate{}, lostAt: map[string]logic.Micros{}}
}

// expiry returns when the lease of a token ends. A token that this grantor has not leased itself counts as leased from the time it
// is first seen: otherwise a duty could be granted to another while its holder still acts on a lease of the previous leader.
func (g *Grantor) expiry(now logic.Micros, token uint64) logic.Micros {
	if _, known := g.expiresAt[token]; !known {
		g.expiresAt[token] = now + GrantorDuration
	}
	return g.expiresAt[token]
}

// Renew handles a request: it takes back the released duties and renews the leases that the sender still holds. The caller must
// have verified, after the request arrived, that this agent is still the leader: otherwise an agent that was replaced while it was
// suspended would renew a lease that its successor has granted to another. held has the current grants by duty; barred agents get
// no leases.
func (g *Grantor) Renew(now logic.Micros, req Request, held map[string]Grant, barred map[string]bool) Tokens {
	tokens := Tokens{}
	if len(g.candidates) == 0 {
		g.firstRequest = now
	}
	g.candidates[req.Holder] = candidate{now, req.Duties}
	for duty, grant := range held {
		if grant.Holder != req.Holder {
			continue
		}
		if req.Released[duty] == grant.Token {
			g.released[grant.Token] = true
		}
		if grant.TransferTo != "" || barred[req.Holder] || g.released[grant.Token] || g.pending[duty] == grant.Token || !slices.Contains(req.Duties, duty) {
			continue
		}
		g.expiresAt[grant.Token] = now + GrantorDuration
		tokens[duty] = grant.Token
	}
	return tokens
}

// DueGrants returns, by duty, the grants that are to be committed to the log now, with the tokens that they replace. Each of them is
// in progress until FinishGrant is called for its duty. held has the current grants by duty; barred agents are granted nothing.
func (g *Grantor) DueGrants(now logic.Micros, held map[string]Grant, barred map[string]bool) map[string]Grant {
	due := map[string]Grant{}
	if len(g.candidates) == 0 || now-g.firstRequest < RenewInterval {
		return due // waits for requests of other candidates: the first one would get all duties
	}
	dutyCount := map[string]int{}
	for _, grant := range held {
		dutyCount[grant.Holder]++
	}
	for _, duty := range g.wantedDuties(now) {
		grant := held[duty]
		if _, inProgress := g.pending[duty]; inProgress || grant.Token != 0 && !g.released[grant.Token] && now < g.expiry(now, grant.Token) {
			continue
		}
		if grant.Token != 0 && !g.released[grant.Token] {
			g.lostAt[grant.Holder] = now
		}
		best := ""
		for _, name := range sortedNames(g.candidates) {
			c := g.candidates[name]
			if now-c.lastRequest > candidateTimeout || barred[name] || !slices.Contains(c.duties, duty) || grant.TransferTo != "" && name == grant.Holder && grant.TransferTo != name {
				continue
			}
			if best == "" || g.prefers(now, duty, grant.TransferTo, name, best, dutyCount) {
				best = name
			}
		}
		if best != "" {
			reason := "its holder fell silent"
			switch {
			case grant.Token == 0:
				reason = "nobody held it"
			case grant.TransferTo != "" && g.released[grant.Token]:
				reason = "it was handed on by command"
			case g.released[grant.Token]:
				reason = "its holder gave it back"
			}
			g.pending[duty] = grant.Token
			due[duty] = Grant{Holder: best, Token: grant.Token, Reason: reason}
			dutyCount[best]++
		}
	}
	return due
}

// prefers reports whether candidate a is granted a duty rather than b. The one that it is to be handed over to comes first, then
// those that have not lost a duty within LostHolderCooldown, then those with fewer duties. A hash of name and duty breaks ties, so
// that the duties are spread.
func (g *Grantor) prefers(now logic.Micros, duty, transferTo, a, b string, dutyCount map[string]int) bool {
	rank := func(name string) (o [4]int) {
		if name != transferTo {
			o[0] = 1
		}
		if at, known := g.lostAt[name]; known && now-at < LostHolderCooldown {
			o[1] = 1
		}
		hash := fnv.New32a()
		_, _ = hash.Write([]byte(name + "/" + duty))
		o[2], o[3] = dutyCount[name], int(hash.Sum32())
		return o
	}
	x, y := rank(a), rank(b)
	return slices.Compare(x[:], y[:]) < 0
}

// FinishGrant ends the grant in progress of a duty: it was committed, or it is certain that it won't be.
func (g *Grantor) FinishGrant(duty string) { delete(g.pending, duty) }

// Remaining returns the longest time for which a token may still be acted on. It is for status displays.
func (g *Grantor) Remaining(now logic.Micros, token uint64) logic.Micros {
	return max(0, g.expiresAt[token]-now)
}

// wantedDuties returns the sorted duties that have at least one live candidate.
func (g *Grantor) wantedDuties(now logic.Micros) (duties []string) {
	for _, c := range g.candidates {
		if now-c.lastRequest <= candidateTimeout {
			duties = append(duties, c.duties...)
		}
	}
	slices.Sort(duties)
	return slices.Compact(duties)
}

// sortedNames returns the names of the candidates in order.
func sortedNames(m map[string]candidate) []string {
	names := make([]string, 0, len(m))
	for name := range m {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// Holder keeps the leases of one candidate. The zero value holds nothing.
type Holder struct {
	tokens    map[string]uint64       // by duty
	expiresAt map[string]logic.Micros // by duty: when its lease ends, by the holder's own clock
	lastSent  logic.Micros            // when the request was sent whose response was applied last
}

// Update applies the response to a request; sent is the time of the request by the holder's own clock. A response to an older request
// than that of the last response is ignored.
func (h *Holder) Update(sent logic.Micros, tokens Tokens) {
	if sent < h.lastSent {
		return
	}
	h.lastSent, h.tokens, h.expiresAt = sent, map[string]uint64{}, map[string]logic.Micros{}
	for duty, token := range tokens {
		h.tokens[duty], h.expiresAt[duty] = token, sent+HolderDuration
	}
}

// Release stops holding a duty at once, for example because it is to be handed over. It returns its token, or 0 if it was not held.
func (h *Holder) Release(now logic.Micros, duty string) uint64 {
	token, _ := h.Holds(now, duty)
	delete(h.tokens, duty)
	return token
}

// Holds reports whether a duty may be acted on now, and with which token. Callers must ask again after anything that may have taken
// time, and pass the token along with each effect: any two statements may be far apart in time.
func (h *Holder) Holds(now logic.Micros, duty string) (token uint64, holds bool) {
	if token = h.tokens[duty]; token == 0 || now >= h.expiresAt[duty] {
		return 0, false
	}
	return token, true
}

// Duties returns the sorted duties that are held now.
func (h *Holder) Duties(now logic.Micros) (duties []string) {
	for duty := range h.tokens {
		if _, holds := h.Holds(now, duty); holds {
			duties = append(duties, duty)
		}
	}
	slices.SortFunc(duties, cmp.Compare)
	return duties
}
