// Package lease decides who holds a duty that only one may hold at a time. It is free of I/O and handed the time; docs/duties.md has
// the promises. Who holds what stands in the agents' log, with a token that only rises: a grant is an entry there. How long a grant
// may be acted on is not: it is promised, for some seconds at a time, from the memory of the agent that leads.
package lease

import (
	"cmp"
	"hash/fnv"
	"slices"

	"hatchproxy/logic"
)

const (
	// HolderDuration is how long a holder may act, by its own clock, from before it sent the question that was answered yes.
	HolderDuration = 2 * logic.Second
	// GrantorDuration is how long the giver, by its own clock, keeps a duty for who was promised it, from after the question came. Clocks' rates
	// may be off by 5% either way: a slow holder's Length lasts 1/0.95 of it, and a fast giver counts 1.05 of that, 1.106 in all.
	GrantorDuration = HolderDuration * 112 / 100
	// RenewInterval is how often a holder asks: four answers may be lost before it stops.
	RenewInterval = 400 * logic.Millisecond
	// LostHolderCooldown is how long one that fell silent with a duty is given none where another may have it.
	LostHolderCooldown = 10 * logic.Second
	// candidateTimeout is how long ago one must have asked to be given a duty: three questions may be lost.
	candidateTimeout = 4 * RenewInterval
)

// Grant is who holds a duty, as the log has it.
type Grant struct {
	Holder     string `json:"holder"` // "" if nobody has held it yet
	Token      uint64 `json:"token"`
	TransferTo string `json:"to,omitempty"` // it is to be handed on: to whom, or "*" for any other
	// GrantedAt is when it was given, by the clock of who gave it; Why it was not left where it was.
	GrantedAt logic.Micros `json:"since"`
	Reason    string       `json:"why"`
}

// Request is what one that stands for duties asks of the agent that leads.
type Request struct {
	Holder   string            `json:"holder"`
	Duties   []string          `json:"wants,omitempty"` // the duties that it stands for
	Released map[string]uint64 `json:"gives,omitempty"` // what it acts on no more, with the tokens
}

// Tokens are the answer: what may be acted on, with the tokens. What is not named may not.
type Tokens map[string]uint64

// Grantor gives duties out while one agent leads. A new one knows nothing of what was promised before it.
type Grantor struct {
	expiresAt    map[uint64]logic.Micros // by token: until when it may be acted on
	released     map[uint64]bool         // by token: it was given back
	pending      map[string]uint64       // by duty: the token that a grant under way replaces
	candidates   map[string]candidate    // by holder
	lostAt       map[string]logic.Micros // by holder: when it last lost a duty by silence
	firstRequest logic.Micros            // when somebody asked first
}

type candidate struct {
	lastRequest logic.Micros
	duties      []string
}

// NewGrantor makes one for an agent that has just been chosen.
func NewGrantor() *Grantor {
	return &Grantor{expiresAt: map[uint64]logic.Micros{}, released: map[uint64]bool{}, pending: map[string]uint64{}, candidates: map[string]candidate{}, lostAt: map[string]logic.Micros{}}
}

// expiry is until when a token may be acted on. What this giver has not promised itself counts as promised at first sight: guards
// against a duty given on while one acts by the word of who led before.
func (g *Grantor) expiry(now logic.Micros, token uint64) logic.Micros {
	if _, known := g.expiresAt[token]; !known {
		g.expiresAt[token] = now + GrantorDuration
	}
	return g.expiresAt[token]
}

// Renew answers a question. It must be asked only once it is known that this agent led after the question had come: otherwise one that
// was replaced while it stood still would promise what another has given on.
func (g *Grantor) Renew(now logic.Micros, q Request, held map[string]Grant, barred map[string]bool) Tokens {
	promised := Tokens{}
	if len(g.candidates) == 0 {
		g.firstRequest = now
	}
	g.candidates[q.Holder] = candidate{now, q.Duties}
	for duty, h := range held {
		if h.Holder != q.Holder {
			continue
		}
		if q.Released[duty] == h.Token {
			g.released[h.Token] = true
		}
		if h.TransferTo != "" || barred[q.Holder] || g.released[h.Token] || g.pending[duty] == h.Token || !slices.Contains(q.Duties, duty) {
			continue
		}
		g.expiresAt[h.Token] = now + GrantorDuration
		promised[duty] = h.Token
	}
	return promised
}

// DueGrants are the grants that are to be agreed on now, with the tokens that they replace. Each counts as under way until Over.
func (g *Grantor) DueGrants(now logic.Micros, held map[string]Grant, barred map[string]bool) map[string]Grant {
	due := map[string]Grant{}
	if len(g.candidates) == 0 || now-g.firstRequest < RenewInterval {
		return due // guards against all duties going to who asks first
	}
	count := map[string]int{}
	for _, h := range held {
		count[h.Holder]++
	}
	for _, duty := range g.wantedDuties(now) {
		h := held[duty]
		if _, underWay := g.pending[duty]; underWay || h.Token != 0 && !g.released[h.Token] && now < g.expiry(now, h.Token) {
			continue
		}
		if h.Token != 0 && !g.released[h.Token] {
			g.lostAt[h.Holder] = now
		}
		best := ""
		for _, name := range sortedNames(g.candidates) {
			a := g.candidates[name]
			if now-a.lastRequest > candidateTimeout || barred[name] || !slices.Contains(a.duties, duty) || h.TransferTo != "" && name == h.Holder && h.TransferTo != name {
				continue
			}
			if best == "" || g.prefers(now, duty, h.TransferTo, name, best, count) {
				best = name
			}
		}
		if best != "" {
			why := "its holder fell silent"
			switch {
			case h.Token == 0:
				why = "nobody held it"
			case h.TransferTo != "" && g.released[h.Token]:
				why = "it was handed on by command"
			case g.released[h.Token]:
				why = "its holder gave it back"
			}
			g.pending[duty] = h.Token
			due[duty] = Grant{Holder: best, Token: h.Token, Reason: why}
			count[best]++
		}
	}
	return due
}

// prefers tells whether one is given a duty rather than another: who it is to be handed to, who has not just lost one by silence, who
// has fewer; the rest by a hash, so that one does not get all.
func (g *Grantor) prefers(now logic.Micros, duty, to, a, b string, count map[string]int) bool {
	order := func(name string) (o [4]int) {
		if name != to {
			o[0] = 1
		}
		if at, known := g.lostAt[name]; known && now-at < LostHolderCooldown {
			o[1] = 1
		}
		h := fnv.New32a()
		_, _ = h.Write([]byte(name + "/" + duty))
		o[2], o[3] = count[name], int(h.Sum32())
		return o
	}
	x, y := order(a), order(b)
	return slices.Compare(x[:], y[:]) < 0
}

// FinishGrant tells that a grant is under way no more: it was agreed on, or it is sure that it will not be.
func (g *Grantor) FinishGrant(duty string) { delete(g.pending, duty) }

// Remaining is how long a token may still be acted on at most, for those who watch.
func (g *Grantor) Remaining(now logic.Micros, token uint64) logic.Micros {
	return max(0, g.expiresAt[token]-now)
}

// wantedDuties are the duties that somebody there wants, by name.
func (g *Grantor) wantedDuties(now logic.Micros) (duties []string) {
	for _, a := range g.candidates {
		if now-a.lastRequest <= candidateTimeout {
			duties = append(duties, a.duties...)
		}
	}
	slices.Sort(duties)
	return slices.Compact(duties)
}

func sortedNames(m map[string]candidate) []string {
	names := make([]string, 0, len(m))
	for name := range m {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// Holder is what one that stands for duties has been promised. The zero value holds nothing.
type Holder struct {
	tokens    map[string]uint64
	expiresAt map[string]logic.Micros
	lastSent  logic.Micros // when the question was sent whose answer was heard last
}

// Update takes the answer to a question that was sent at a time of the holder's own clock. An answer to an older question than the
// last one that was answered is worth nothing.
func (h *Holder) Update(sent logic.Micros, p Tokens) {
	if sent < h.lastSent {
		return
	}
	h.lastSent, h.tokens, h.expiresAt = sent, map[string]uint64{}, map[string]logic.Micros{}
	for duty, token := range p {
		h.tokens[duty], h.expiresAt[duty] = token, sent+HolderDuration
	}
}

// Release ends a duty at once, as one that is to be handed on; it returns its token, 0 if it was not held.
func (h *Holder) Release(now logic.Micros, duty string) uint64 {
	token, _ := h.Holds(now, duty)
	delete(h.tokens, duty)
	return token
}

// Holds tells by which token a duty may be acted on now. It is to be asked again after each wait, and the token goes with each
// effect: nobody knows how long the next line takes.
func (h *Holder) Holds(now logic.Micros, duty string) (token uint64, holds bool) {
	if token = h.tokens[duty]; token == 0 || now >= h.expiresAt[duty] {
		return 0, false
	}
	return token, true
}

// Duties are the duties that are held now, by name.
func (h *Holder) Duties(now logic.Micros) (duties []string) {
	for duty := range h.tokens {
		if _, holds := h.Holds(now, duty); holds {
			duties = append(duties, duty)
		}
	}
	slices.SortFunc(duties, cmp.Compare)
	return duties
}
