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
	// Length is how long a holder may act, by its own clock, from before it sent the question that was answered yes.
	Length = 2 * logic.Second
	// Kept is how long the giver, by its own clock, keeps a duty for who was promised it, from after the question came. Clocks' rates
	// may be off by 5% either way: a slow holder's Length lasts 1/0.95 of it, and a fast giver counts 1.05 of that, 1.106 in all.
	Kept = Length * 112 / 100
	// Asking is how often a holder asks: four answers may be lost before it stops.
	Asking = 400 * logic.Millisecond
	// Rest is how long one that fell silent with a duty is given none where another may have it.
	Rest = 10 * logic.Second
	// there is how long ago one must have asked to be given a duty: three questions may be lost.
	there = 4 * Asking
)

// Grant is who holds a duty, as the log has it.
type Grant struct {
	Holder string `json:"holder"` // "" if nobody has held it yet
	Token  uint64 `json:"token"`
	To     string `json:"to,omitempty"` // it is to be handed on: to whom, or "*" for any other
	// Since is when it was given, by the clock of who gave it; Why it was not left where it was.
	Since logic.Micros `json:"since"`
	Why   string       `json:"why"`
}

// Question is what one that stands for duties asks of the agent that leads.
type Question struct {
	Holder string            `json:"holder"`
	Wants  []string          `json:"wants,omitempty"` // the duties that it stands for
	Gives  map[string]uint64 `json:"gives,omitempty"` // what it acts on no more, with the tokens
}

// Promises are the answer: what may be acted on, with the tokens. What is not named may not.
type Promises map[string]uint64

// Giver gives duties out while one agent leads. A new one knows nothing of what was promised before it.
type Giver struct {
	ends   map[uint64]logic.Micros // by token: until when it may be acted on
	given  map[uint64]bool         // by token: it was given back
	giving map[string]uint64       // by duty: the token that a grant under way replaces
	asked  map[string]asked        // by holder
	silent map[string]logic.Micros // by holder: when it last lost a duty by silence
	first  logic.Micros            // when somebody asked first
}

type asked struct {
	at    logic.Micros
	wants []string
}

// NewGiver makes one for an agent that has just been chosen.
func NewGiver() *Giver {
	return &Giver{ends: map[uint64]logic.Micros{}, given: map[uint64]bool{}, giving: map[string]uint64{}, asked: map[string]asked{}, silent: map[string]logic.Micros{}}
}

// end is until when a token may be acted on. What this giver has not promised itself counts as promised at first sight: guards
// against a duty given on while one acts by the word of who led before.
func (g *Giver) end(now logic.Micros, token uint64) logic.Micros {
	if _, known := g.ends[token]; !known {
		g.ends[token] = now + Kept
	}
	return g.ends[token]
}

// Ask answers a question. It must be asked only once it is known that this agent led after the question had come: otherwise one that
// was replaced while it stood still would promise what another has given on.
func (g *Giver) Ask(now logic.Micros, q Question, held map[string]Grant, barred map[string]bool) Promises {
	promised := Promises{}
	if len(g.asked) == 0 {
		g.first = now
	}
	g.asked[q.Holder] = asked{now, q.Wants}
	for duty, h := range held {
		if h.Holder != q.Holder {
			continue
		}
		if q.Gives[duty] == h.Token {
			g.given[h.Token] = true
		}
		if h.To != "" || barred[q.Holder] || g.given[h.Token] || g.giving[duty] == h.Token || !slices.Contains(q.Wants, duty) {
			continue
		}
		g.ends[h.Token] = now + Kept
		promised[duty] = h.Token
	}
	return promised
}

// Due are the grants that are to be agreed on now, with the tokens that they replace. Each counts as under way until Over.
func (g *Giver) Due(now logic.Micros, held map[string]Grant, barred map[string]bool) map[string]Grant {
	due := map[string]Grant{}
	if len(g.asked) == 0 || now-g.first < Asking {
		return due // guards against all duties going to who asks first
	}
	count := map[string]int{}
	for _, h := range held {
		count[h.Holder]++
	}
	for _, duty := range g.stoodFor(now) {
		h := held[duty]
		if _, underWay := g.giving[duty]; underWay || h.Token != 0 && !g.given[h.Token] && now < g.end(now, h.Token) {
			continue
		}
		if h.Token != 0 && !g.given[h.Token] {
			g.silent[h.Holder] = now
		}
		best := ""
		for _, name := range sorted(g.asked) {
			a := g.asked[name]
			if now-a.at > there || barred[name] || !slices.Contains(a.wants, duty) || h.To != "" && name == h.Holder && h.To != name {
				continue
			}
			if best == "" || g.before(now, duty, h.To, name, best, count) {
				best = name
			}
		}
		if best != "" {
			why := "its holder fell silent"
			switch {
			case h.Token == 0:
				why = "nobody held it"
			case h.To != "" && g.given[h.Token]:
				why = "it was handed on by command"
			case g.given[h.Token]:
				why = "its holder gave it back"
			}
			g.giving[duty] = h.Token
			due[duty] = Grant{Holder: best, Token: h.Token, Why: why}
			count[best]++
		}
	}
	return due
}

// before tells whether one is given a duty rather than another: who it is to be handed to, who has not just lost one by silence, who
// has fewer; the rest by a hash, so that one does not get all.
func (g *Giver) before(now logic.Micros, duty, to, a, b string, count map[string]int) bool {
	order := func(name string) (o [4]int) {
		if name != to {
			o[0] = 1
		}
		if at, known := g.silent[name]; known && now-at < Rest {
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

// Over tells that a grant is under way no more: it was agreed on, or it is sure that it will not be.
func (g *Giver) Over(duty string) { delete(g.giving, duty) }

// Left is how long a token may still be acted on at most, for those who watch.
func (g *Giver) Left(now logic.Micros, token uint64) logic.Micros { return max(0, g.ends[token]-now) }

// stoodFor are the duties that somebody there wants, by name.
func (g *Giver) stoodFor(now logic.Micros) (duties []string) {
	for _, a := range g.asked {
		if now-a.at <= there {
			duties = append(duties, a.wants...)
		}
	}
	slices.Sort(duties)
	return slices.Compact(duties)
}

func sorted(m map[string]asked) []string {
	names := make([]string, 0, len(m))
	for name := range m {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// Holder is what one that stands for duties has been promised. The zero value holds nothing.
type Holder struct {
	tokens map[string]uint64
	until  map[string]logic.Micros
	asked  logic.Micros // when the question was sent whose answer was heard last
}

// Hear takes the answer to a question that was sent at a time of the holder's own clock. An answer to an older question than the
// last one that was answered is worth nothing.
func (h *Holder) Hear(sent logic.Micros, p Promises) {
	if sent < h.asked {
		return
	}
	h.asked, h.tokens, h.until = sent, map[string]uint64{}, map[string]logic.Micros{}
	for duty, token := range p {
		h.tokens[duty], h.until[duty] = token, sent+Length
	}
}

// Drop ends a duty at once, as one that is to be handed on; it returns its token, 0 if it was not held.
func (h *Holder) Drop(now logic.Micros, duty string) uint64 {
	token, _ := h.Holds(now, duty)
	delete(h.tokens, duty)
	return token
}

// Holds tells by which token a duty may be acted on now. It is to be asked again after each wait, and the token goes with each
// effect: nobody knows how long the next line takes.
func (h *Holder) Holds(now logic.Micros, duty string) (token uint64, holds bool) {
	if token = h.tokens[duty]; token == 0 || now >= h.until[duty] {
		return 0, false
	}
	return token, true
}

// All are the duties that are held now, by name.
func (h *Holder) All(now logic.Micros) (duties []string) {
	for duty := range h.tokens {
		if _, holds := h.Holds(now, duty); holds {
			duties = append(duties, duty)
		}
	}
	slices.SortFunc(duties, cmp.Compare)
	return duties
}
