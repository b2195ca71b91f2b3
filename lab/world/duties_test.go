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
type mutant struct{ leaseFromAnswer, noElectionWait, noQuorumRound, noBarrier, noFencing, noTermCheck, ownTokens, fastClocks bool }

type replicatedLog struct {
	grants    map[string]lease.Grant
	lastToken uint64
}

type grantor struct {
	clock        world.Clock
	isLeader     bool // as it believes
	term         int
	applied      map[string]lease.Grant
	lease        *lease.Grantor
	stalledUntil logic.Micros
	lastOwnToken uint64
}

type holder struct {
	clock        world.Clock
	lease        lease.Holder
	stalledUntil logic.Micros
}

// cluster is agents that give duties and agents that hold some; what most agents agree on is one log, as raft makes it.
type cluster struct {
	*world.World
	mutant
	log           replicatedLog
	leader        int
	term          int
	grantors      []*grantor
	holders       []*holder
	duties        []string
	highestTokens map[string]uint64 // tokens whose effects were taken
	holderOfToken map[uint64]int
	effects       int
	violations    map[string]int
	heldChecks    logic.Micros // how long somebody could act, over all duties
	checks        int
}

const (
	electionDelay = 300 * logic.Millisecond
	commitDelay   = 20 * logic.Millisecond
)

func newCluster(seed int64, givers, holders, duties int, m mutant) *cluster {
	f := &cluster{mutant: m, World: world.New(seed, world.Network{LossRate: 0.05, DuplicateRate: 0.05, MinDelay: logic.Millisecond, MaxDelay: 60 * logic.Millisecond}),
		log: replicatedLog{grants: map[string]lease.Grant{}}, highestTokens: map[string]uint64{}, holderOfToken: map[uint64]int{}, violations: map[string]int{}, leader: -1}
	off := 0.05
	if m.fastClocks {
		off = 0.4
	}
	for range givers {
		f.grantors = append(f.grantors, &grantor{clock: f.NewClock(off), applied: map[string]lease.Grant{}})
	}
	for range holders {
		f.holders = append(f.holders, &holder{clock: f.NewClock(off)})
	}
	for d := range duties {
		f.duties = append(f.duties, fmt.Sprint("duty", d))
	}
	f.electLeader()
	for h := range f.holders {
		f.After(f.drawBelow(lease.RenewInterval), func() { f.requestLeases(h) })
		f.After(f.drawBelow(logic.Second), func() { f.act(h) })
	}
	for g := range f.grantors {
		f.After(f.drawBelow(100*logic.Millisecond), func() { f.commitDueGrants(g) })
	}
	f.After(0, f.checkHolders)
	f.After(f.drawBelow(3*logic.Second), f.injectTrouble)
	return f
}

func (f *cluster) drawBelow(most logic.Micros) logic.Micros {
	return logic.Micros(f.Rng.Int63n(int64(most)))
}

// electLeader has another agent lead; the one before learns of it some time later, or when it wakes.
func (f *cluster) electLeader() {
	was := f.leader
	if f.leader = f.Rng.Intn(len(f.grantors)); f.leader == was {
		f.leader = (was + 1) % len(f.grantors)
	}
	f.term++
	term := f.term
	if was >= 0 {
		old := f.grantors[was]
		f.After(f.drawBelow(3*logic.Second), func() {
			if old.term < f.term {
				old.isLeader, old.lease = false, nil
			}
		})
	}
	g := f.grantors[f.leader]
	f.After(electionDelay, func() {
		if f.term != term {
			return
		}
		if !f.noBarrier {
			g.applied = maps.Clone(f.log.grants)
		}
		g.isLeader, g.term, g.lease = true, term, lease.NewGrantor()
		if f.noElectionWait {
			now := g.clock.Now() - lease.GrantorDuration
			g.lease.Renew(now-lease.RenewInterval, lease.Request{Holder: "nobody", Duties: f.duties}, nil, nil)
			for duty := range g.lease.DueGrants(now, g.applied, nil) {
				g.lease.FinishGrant(duty)
			}
		}
	})
}

// requestLeases is a question with its answer.
func (f *cluster) requestLeases(h int) {
	x := f.holders[h]
	if x.stalledUntil > f.Now() {
		f.After(x.stalledUntil-f.Now(), func() { f.requestLeases(h) })
		return
	}
	f.After(lease.RenewInterval, func() { f.requestLeases(h) })
	sent := x.clock.Now()
	q := lease.Request{Holder: fmt.Sprint("h", h), Duties: f.duties}
	for n, g := range f.grantors {
		if !g.isLeader {
			continue
		}
		f.Send(100+h, n, func() { f.receiveRequest(h, n, sent, q) })
	}
}

func (f *cluster) receiveRequest(h, n int, sent logic.Micros, q lease.Request) {
	g, x := f.grantors[n], f.holders[h]
	if g.stalledUntil > f.Now() {
		f.After(g.stalledUntil-f.Now(), func() { f.receiveRequest(h, n, sent, q) })
		return
	}
	answer := func() {
		if !g.isLeader || g.lease == nil {
			return
		}
		p := g.lease.Renew(g.clock.Now(), q, g.applied, nil)
		f.Send(n, 100+h, func() {
			f.After(max(0, x.stalledUntil-f.Now()), func() {
				if f.leaseFromAnswer {
					sent = x.clock.Now()
				}
				x.lease.Update(sent, p)
			})
		})
	}
	if f.noQuorumRound {
		answer()
		return
	}
	f.After(f.drawBelow(40*logic.Millisecond), func() { // a round with most agents
		if f.leader == n && f.term == g.term {
			f.After(max(0, g.stalledUntil-f.Now()), answer)
		}
	})
}

func (f *cluster) commitDueGrants(n int) {
	g := f.grantors[n]
	f.After(100*logic.Millisecond, func() { f.commitDueGrants(n) })
	if !g.isLeader || g.lease == nil || g.stalledUntil > f.Now() {
		return
	}
	by, term := g.lease, g.term
	for duty, x := range by.DueGrants(g.clock.Now(), g.applied, nil) {
		f.After(commitDelay, func() {
			by.FinishGrant(duty)
			if f.leader != n || !f.noTermCheck && f.term != term || f.log.grants[duty].Token != x.Token {
				return // most agents are with another, or with another grant
			}
			f.log.lastToken++
			g.lastOwnToken++
			token := f.log.lastToken
			if f.ownTokens {
				token = g.lastOwnToken
			}
			x.Token = token
			f.log.grants[duty] = x
			for _, other := range f.grantors {
				if other == g {
					g.applied[duty] = x
				} else {
					f.After(f.drawBelow(2*logic.Second), func() {
						if f.ownTokens || other.applied[duty].Token < token {
							other.applied[duty] = x
						}
					})
				}
			}
		})
	}
}

// act looks, and does something some time later: at once, or after a stall between the two.
func (f *cluster) act(h int) {
	x := f.holders[h]
	f.After(200*logic.Millisecond+f.drawBelow(300*logic.Millisecond), func() { f.act(h) })
	if x.stalledUntil > f.Now() {
		return
	}
	for _, duty := range f.duties {
		token, holds := x.lease.Holds(x.clock.Now(), duty)
		if !holds {
			continue
		}
		wait := logic.Micros(0)
		if f.Rng.Intn(4) == 0 {
			wait = f.drawBelow(6 * logic.Second)
		}
		f.After(wait, func() {
			if !f.noFencing && token != f.log.grants[duty].Token {
				return
			}
			f.effects++
			if token < f.highestTokens[duty] {
				f.violations["lower token"]++
			}
			f.highestTokens[duty] = max(f.highestTokens[duty], token)
		})
	}
}

// checkHolders sees who can act, which nobody in the world does.
func (f *cluster) checkHolders() {
	f.After(20*logic.Millisecond, f.checkHolders)
	for _, duty := range f.duties {
		f.checks++
		can := -1
		for n, x := range f.holders {
			if token, holds := x.lease.Holds(x.clock.Now(), duty); holds {
				if can >= 0 {
					f.violations["two holders"]++
				}
				can = n
				key := token
				if by, known := f.holderOfToken[key]; known && by != n && len(f.duties) == 1 {
					f.violations["one token for two"]++
				}
				f.holderOfToken[key] = n
			}
		}
		if can >= 0 {
			f.heldChecks++
		}
	}
}

// injectTrouble stalls, cuts off or replaces somebody.
func (f *cluster) injectTrouble() {
	f.After(f.drawBelow(4*logic.Second), f.injectTrouble)
	lasts := f.drawBelow(6 * logic.Second)
	switch f.Rng.Intn(4) {
	case 0:
		f.grantors[f.Rng.Intn(len(f.grantors))].stalledUntil = f.Now() + lasts
		f.electLeader()
	case 1:
		f.holders[f.Rng.Intn(len(f.holders))].stalledUntil = f.Now() + lasts
	case 2:
		h, g := 100+f.Rng.Intn(len(f.holders)), f.Rng.Intn(len(f.grantors))
		for _, way := range [][2]int{{g, h}, {h, g}}[f.Rng.Intn(2):] {
			f.SetCut(way[0], way[1], true)
			f.After(lasts, func() { f.SetCut(way[0], way[1], false) })
		}
	case 3:
		f.electLeader()
	}
}

// scheduleCount is how many worlds are played; HATCHLAB_SCHEDULES asks for more.
func scheduleCount(t *testing.T, usual int) int {
	if n, err := strconv.Atoi(os.Getenv("HATCHLAB_SCHEDULES")); err == nil {
		return n
	}
	return usual
}

func TestOneHolderAtATimeInDrawnWorlds(t *testing.T) {
	effects, held, looked := 0, logic.Micros(0), 0
	for seed := range scheduleCount(t, 300) {
		f := newCluster(int64(seed), 3, 4, 1, mutant{})
		f.RunUntil(40 * logic.Second)
		require.Empty(t, f.violations, "seed %d", seed)
		effects, held, looked = effects+f.effects, held+f.heldChecks, looked+f.checks
	}
	require.Positive(t, effects)
	t.Logf("%d effects; held %.1f%% of the time", effects, 100*float64(held)/float64(looked))
}

func TestThreeHundredAskForAHundredDuties(t *testing.T) {
	f := newCluster(1, 5, 300, 100, mutant{})
	f.RunUntil(8 * logic.Second)
	require.Empty(t, f.violations)
	most, count := 0, map[string]int{}
	for _, g := range f.log.grants {
		count[g.Holder]++
		most = max(most, count[g.Holder])
	}
	require.Len(t, f.log.grants, 100)
	require.LessOrEqual(t, most, 2, "spread, so that one does not hold all")
}

func TestEachSafeguardLeftOutIsConvicted(t *testing.T) {
	for name, m := range map[string]mutant{
		"counted from the answer": {leaseFromAnswer: true}, "no wait after an election": {noElectionWait: true}, "no round with most agents": {noQuorumRound: true},
		"no barrier after an election": {noBarrier: true}, "no fence": {noFencing: true}, "a grant without its term": {noTermCheck: true}, "tokens of one's own": {ownTokens: true}, "clocks beyond the bound": {fastClocks: true},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range int64(2000) {
				f := newCluster(seed, 3, 4, 1, m)
				f.RunUntil(40 * logic.Second)
				if len(f.violations) > 0 {
					t.Logf("seed %d: %v", seed, f.violations)
					return
				}
			}
			t.Error("no judge misses it")
		})
	}
}
