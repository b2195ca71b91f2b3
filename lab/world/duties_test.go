package world_test

import (
	"fmt"
	"maps"
	"os"
	"strconv"
	"testing"

	"github.com/stretchr/testify/require"

	"hatchproxy/lab/world"
	"hatchproxy/lease"
	"hatchproxy/logic"
)

// mutant is a safeguard that is left out of the agents around the module.
type mutant struct{ fromAnswer, noWait, noRound, noBarrier, noFence, noTerm, ownNumbers, fastClocks bool }

type log struct {
	held   map[string]lease.Grant
	number uint64
}

type giver struct {
	clock   world.Clock
	leads   bool // as it believes
	term    int
	applied map[string]lease.Grant
	lease   *lease.Grantor
	stalled logic.Micros
	numbers uint64
}

type holder struct {
	clock   world.Clock
	lease   lease.Holder
	stalled logic.Micros
}

// fleet is agents that give duties and agents that hold some; what most agents agree on is one log, as raft makes it.
type fleet struct {
	*world.World
	mutant
	log     log
	leader  int
	term    int
	givers  []*giver
	holders []*holder
	duties  []string
	highest map[string]uint64 // tokens whose effects were taken
	actor   map[uint64]int
	effects int
	broken  map[string]int
	acting  logic.Micros // how long somebody could act, over all duties
	looked  int
}

const (
	elect = 300 * logic.Millisecond
	agree = 20 * logic.Millisecond
)

func newFleet(seed int64, givers, holders, duties int, m mutant) *fleet {
	f := &fleet{mutant: m, World: world.New(seed, world.Ways{Lost: 0.05, Twice: 0.05, Soonest: logic.Millisecond, Longest: 60 * logic.Millisecond}),
		log: log{held: map[string]lease.Grant{}}, highest: map[string]uint64{}, actor: map[uint64]int{}, broken: map[string]int{}, leader: -1}
	off := 0.05
	if m.fastClocks {
		off = 0.4
	}
	for range givers {
		f.givers = append(f.givers, &giver{clock: f.Clock(off), applied: map[string]lease.Grant{}})
	}
	for range holders {
		f.holders = append(f.holders, &holder{clock: f.Clock(off)})
	}
	for d := range duties {
		f.duties = append(f.duties, fmt.Sprint("duty", d))
	}
	f.election()
	for h := range f.holders {
		f.After(f.upTo(lease.RenewInterval), func() { f.ask(h) })
		f.After(f.upTo(logic.Second), func() { f.act(h) })
	}
	for g := range f.givers {
		f.After(f.upTo(100*logic.Millisecond), func() { f.give(g) })
	}
	f.After(0, f.look)
	f.After(f.upTo(3*logic.Second), f.trouble)
	return f
}

func (f *fleet) upTo(most logic.Micros) logic.Micros { return logic.Micros(f.Rng.Int63n(int64(most))) }

// election has another agent lead; the one before learns of it some time later, or when it wakes.
func (f *fleet) election() {
	was := f.leader
	if f.leader = f.Rng.Intn(len(f.givers)); f.leader == was {
		f.leader = (was + 1) % len(f.givers)
	}
	f.term++
	term := f.term
	if was >= 0 {
		old := f.givers[was]
		f.After(f.upTo(3*logic.Second), func() {
			if old.term < f.term {
				old.leads, old.lease = false, nil
			}
		})
	}
	g := f.givers[f.leader]
	f.After(elect, func() {
		if f.term != term {
			return
		}
		if !f.noBarrier {
			g.applied = maps.Clone(f.log.held)
		}
		g.leads, g.term, g.lease = true, term, lease.NewGrantor()
		if f.noWait {
			now := g.clock.Now() - lease.GrantorDuration
			g.lease.Renew(now-lease.RenewInterval, lease.Request{Holder: "nobody", Duties: f.duties}, nil, nil)
			for duty := range g.lease.DueGrants(now, g.applied, nil) {
				g.lease.FinishGrant(duty)
			}
		}
	})
}

// ask is a question with its answer.
func (f *fleet) ask(h int) {
	x := f.holders[h]
	if x.stalled > f.Now() {
		f.After(x.stalled-f.Now(), func() { f.ask(h) })
		return
	}
	f.After(lease.RenewInterval, func() { f.ask(h) })
	sent := x.clock.Now()
	q := lease.Request{Holder: fmt.Sprint("h", h), Duties: f.duties}
	for n, g := range f.givers {
		if !g.leads {
			continue
		}
		f.Send(100+h, n, func() { f.heard(h, n, sent, q) })
	}
}

func (f *fleet) heard(h, n int, sent logic.Micros, q lease.Request) {
	g, x := f.givers[n], f.holders[h]
	if g.stalled > f.Now() {
		f.After(g.stalled-f.Now(), func() { f.heard(h, n, sent, q) })
		return
	}
	answer := func() {
		if !g.leads || g.lease == nil {
			return
		}
		p := g.lease.Renew(g.clock.Now(), q, g.applied, nil)
		f.Send(n, 100+h, func() {
			f.After(max(0, x.stalled-f.Now()), func() {
				if f.fromAnswer {
					sent = x.clock.Now()
				}
				x.lease.Update(sent, p)
			})
		})
	}
	if f.noRound {
		answer()
		return
	}
	f.After(f.upTo(40*logic.Millisecond), func() { // a round with most agents
		if f.leader == n && f.term == g.term {
			f.After(max(0, g.stalled-f.Now()), answer)
		}
	})
}

func (f *fleet) give(n int) {
	g := f.givers[n]
	f.After(100*logic.Millisecond, func() { f.give(n) })
	if !g.leads || g.lease == nil || g.stalled > f.Now() {
		return
	}
	by, term := g.lease, g.term
	for duty, x := range by.DueGrants(g.clock.Now(), g.applied, nil) {
		f.After(agree, func() {
			by.FinishGrant(duty)
			if f.leader != n || !f.noTerm && f.term != term || f.log.held[duty].Token != x.Token {
				return // most agents are with another, or with another grant
			}
			f.log.number++
			g.numbers++
			token := f.log.number
			if f.ownNumbers {
				token = g.numbers
			}
			x.Token = token
			f.log.held[duty] = x
			for _, other := range f.givers {
				if other == g {
					g.applied[duty] = x
				} else {
					f.After(f.upTo(2*logic.Second), func() {
						if f.ownNumbers || other.applied[duty].Token < token {
							other.applied[duty] = x
						}
					})
				}
			}
		})
	}
}

// act looks, and does something some time later: at once, or after a stall between the two.
func (f *fleet) act(h int) {
	x := f.holders[h]
	f.After(200*logic.Millisecond+f.upTo(300*logic.Millisecond), func() { f.act(h) })
	if x.stalled > f.Now() {
		return
	}
	for _, duty := range f.duties {
		token, holds := x.lease.Holds(x.clock.Now(), duty)
		if !holds {
			continue
		}
		wait := logic.Micros(0)
		if f.Rng.Intn(4) == 0 {
			wait = f.upTo(6 * logic.Second)
		}
		f.After(wait, func() {
			if !f.noFence && token != f.log.held[duty].Token {
				return
			}
			f.effects++
			if token < f.highest[duty] {
				f.broken["lower token"]++
			}
			f.highest[duty] = max(f.highest[duty], token)
		})
	}
}

// look sees who can act, which nobody in the world does.
func (f *fleet) look() {
	f.After(20*logic.Millisecond, f.look)
	for _, duty := range f.duties {
		f.looked++
		can := -1
		for n, x := range f.holders {
			if token, holds := x.lease.Holds(x.clock.Now(), duty); holds {
				if can >= 0 {
					f.broken["two holders"]++
				}
				can = n
				key := token
				if by, known := f.actor[key]; known && by != n && len(f.duties) == 1 {
					f.broken["one token for two"]++
				}
				f.actor[key] = n
			}
		}
		if can >= 0 {
			f.acting++
		}
	}
}

// trouble stalls, cuts off or replaces somebody.
func (f *fleet) trouble() {
	f.After(f.upTo(4*logic.Second), f.trouble)
	lasts := f.upTo(6 * logic.Second)
	switch f.Rng.Intn(4) {
	case 0:
		f.givers[f.Rng.Intn(len(f.givers))].stalled = f.Now() + lasts
		f.election()
	case 1:
		f.holders[f.Rng.Intn(len(f.holders))].stalled = f.Now() + lasts
	case 2:
		h, g := 100+f.Rng.Intn(len(f.holders)), f.Rng.Intn(len(f.givers))
		for _, way := range [][2]int{{g, h}, {h, g}}[f.Rng.Intn(2):] {
			f.Cut(way[0], way[1], true)
			f.After(lasts, func() { f.Cut(way[0], way[1], false) })
		}
	case 3:
		f.election()
	}
}

// schedules is how many worlds are played; HATCHLAB_SCHEDULES asks for more.
func schedules(t *testing.T, usual int) int {
	if n, err := strconv.Atoi(os.Getenv("HATCHLAB_SCHEDULES")); err == nil {
		return n
	}
	return usual
}

func TestOneHolderAtATimeInDrawnWorlds(t *testing.T) {
	effects, held, looked := 0, logic.Micros(0), 0
	for seed := range schedules(t, 300) {
		f := newFleet(int64(seed), 3, 4, 1, mutant{})
		f.Run(40 * logic.Second)
		require.Empty(t, f.broken, "seed %d", seed)
		effects, held, looked = effects+f.effects, held+f.acting, looked+f.looked
	}
	require.Positive(t, effects)
	t.Logf("%d effects; held %.1f%% of the time", effects, 100*float64(held)/float64(looked))
}

func TestThreeHundredAskForAHundredDuties(t *testing.T) {
	f := newFleet(1, 5, 300, 100, mutant{})
	f.Run(8 * logic.Second)
	require.Empty(t, f.broken)
	most, count := 0, map[string]int{}
	for _, g := range f.log.held {
		count[g.Holder]++
		most = max(most, count[g.Holder])
	}
	require.Len(t, f.log.held, 100)
	require.LessOrEqual(t, most, 2, "spread, so that one does not hold all")
}

func TestEachSafeguardLeftOutIsConvicted(t *testing.T) {
	for name, m := range map[string]mutant{
		"counted from the answer": {fromAnswer: true}, "no wait after an election": {noWait: true}, "no round with most agents": {noRound: true},
		"no barrier after an election": {noBarrier: true}, "no fence": {noFence: true}, "a grant without its term": {noTerm: true}, "tokens of one's own": {ownNumbers: true}, "clocks beyond the bound": {fastClocks: true},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range int64(2000) {
				f := newFleet(seed, 3, 4, 1, m)
				f.Run(40 * logic.Second)
				if len(f.broken) > 0 {
					t.Logf("seed %d: %v", seed, f.broken)
					return
				}
			}
			t.Error("no judge misses it")
		})
	}
}
