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

// mutant selects the safeguards that the simulated agents leave out, those set to true, to prove that their absence is detected.
// TestEachMissingSafeguardIsDetected describes each of them.
type mutant struct{ leaseFromResponse, noElectionWait, noQuorumRound, noBarrier, noFencing, noTermCheck, ownTokens, fastClocks bool }

// replicatedLog is the state of the log that a majority of the agents has committed, as raft would maintain it.
type replicatedLog struct {
	grants    map[string]lease.Grant
	lastToken uint64
}

// grantor is an agent that grants duties while it is the leader.
type grantor struct {
	clock        world.Clock
	isLeader     bool // in its own opinion: a deposed leader learns of it late
	term         int
	applied      map[string]lease.Grant // its own copy of the log's grants
	lease        *lease.Grantor
	stalledUntil logic.Micros
	lastOwnToken uint64 // with ownTokens
}

// holder is an agent that requests duties.
type holder struct {
	clock        world.Clock
	lease        lease.Holder
	stalledUntil logic.Micros
}

// cluster simulates agents that grant duties and agents that hold them. It counts the violations of what leases guarantee. Grantor g is
// node g of the World, and holder h is node 100+h.
type cluster struct {
	*world.World
	mutant
	log           replicatedLog
	leader        int
	term          int
	grantors      []*grantor
	holders       []*holder
	duties        []string
	highestTokens map[string]uint64 // by duty: the highest token with which an effect was accepted
	holderOfToken map[uint64]int
	effects       int // accepted ones
	violations    map[string]int
	heldChecks    logic.Micros // checks that found a holder who could act
	checks        int          // each of one duty at one moment
}

const (
	electionDelay = 300 * logic.Millisecond
	commitDelay   = 20 * logic.Millisecond
)

// newCluster returns a cluster in which requests, grants, effects, checks and faults are scheduled.
func newCluster(seed int64, grantors, holders, duties int, m mutant) *cluster {
	c := &cluster{mutant: m, World: world.New(seed, world.Network{LossProbability: 0.05, DuplicateProbability: 0.05, MinDelay: logic.Millisecond, MaxDelay: 60 * logic.Millisecond}),
		log: replicatedLog{grants: map[string]lease.Grant{}}, highestTokens: map[string]uint64{}, holderOfToken: map[uint64]int{}, violations: map[string]int{}, leader: -1}
	maxDrift := 0.05
	if m.fastClocks {
		maxDrift = 0.4
	}
	for range grantors {
		c.grantors = append(c.grantors, &grantor{clock: c.NewClock(maxDrift), applied: map[string]lease.Grant{}})
	}
	for range holders {
		c.holders = append(c.holders, &holder{clock: c.NewClock(maxDrift)})
	}
	for d := range duties {
		c.duties = append(c.duties, fmt.Sprint("duty", d))
	}
	c.electLeader()
	for h := range c.holders {
		c.After(c.drawBelow(lease.RenewInterval), func() { c.requestLeases(h) })
		c.After(c.drawBelow(logic.Second), func() { c.act(h) })
	}
	for g := range c.grantors {
		c.After(c.drawBelow(100*logic.Millisecond), func() { c.commitDueGrants(g) })
	}
	c.After(0, c.checkHolders)
	c.After(c.drawBelow(3*logic.Second), c.injectFault)
	return c
}

// drawBelow draws a time from 0 to less than bound.
func (c *cluster) drawBelow(bound logic.Micros) logic.Micros {
	return logic.Micros(c.Rng.Int63n(int64(bound)))
}

// electLeader makes another agent the leader after the election's delay. The previous leader learns of it some time later.
func (c *cluster) electLeader() {
	previous := c.leader
	if c.leader = c.Rng.Intn(len(c.grantors)); c.leader == previous {
		c.leader = (previous + 1) % len(c.grantors)
	}
	c.term++
	term := c.term
	if previous >= 0 {
		deposed := c.grantors[previous]
		c.After(c.drawBelow(3*logic.Second), func() {
			if deposed.term < c.term {
				deposed.isLeader, deposed.lease = false, nil
			}
		})
	}
	g := c.grantors[c.leader]
	c.After(electionDelay, func() {
		if c.term != term {
			return
		}
		if !c.noBarrier {
			g.applied = maps.Clone(c.log.grants)
		}
		g.isLeader, g.term, g.lease = true, term, lease.NewGrantor()
		if c.noElectionWait {
			now := g.clock.Now() - lease.GrantorDuration
			g.lease.Renew(now-lease.RenewInterval, lease.Request{Holder: "nobody", Duties: c.duties}, nil, nil)
			for duty := range g.lease.DueGrants(now, g.applied, nil) {
				g.lease.FinishGrant(duty)
			}
		}
	})
}

// requestLeases sends a holder's request to each agent that believes to lead, and schedules the next request.
func (c *cluster) requestLeases(h int) {
	holder := c.holders[h]
	if holder.stalledUntil > c.Now() {
		c.After(holder.stalledUntil-c.Now(), func() { c.requestLeases(h) })
		return
	}
	c.After(lease.RenewInterval, func() { c.requestLeases(h) })
	sent := holder.clock.Now()
	request := lease.Request{Holder: fmt.Sprint("h", h), Duties: c.duties}
	for n, g := range c.grantors {
		if !g.isLeader {
			continue
		}
		c.Send(100+h, n, func() { c.receiveRequest(h, n, sent, request) })
	}
}

// receiveRequest handles a request of holder h at agent n and sends the response, once a majority has confirmed that n still leads.
func (c *cluster) receiveRequest(h, n int, sent logic.Micros, request lease.Request) {
	g, holder := c.grantors[n], c.holders[h]
	if g.stalledUntil > c.Now() {
		c.After(g.stalledUntil-c.Now(), func() { c.receiveRequest(h, n, sent, request) })
		return
	}
	respond := func() {
		if !g.isLeader || g.lease == nil {
			return
		}
		tokens := g.lease.Renew(g.clock.Now(), request, g.applied, nil)
		c.Send(n, 100+h, func() {
			c.After(max(0, holder.stalledUntil-c.Now()), func() {
				if c.leaseFromResponse {
					sent = holder.clock.Now()
				}
				holder.lease.Update(sent, tokens)
			})
		})
	}
	if c.noQuorumRound {
		respond()
		return
	}
	c.After(c.drawBelow(40*logic.Millisecond), func() { // the round of messages by which a majority confirms the leader
		if c.leader == n && c.term == g.term {
			c.After(max(0, g.stalledUntil-c.Now()), respond)
		}
	})
}

// commitDueGrants has agent n propose the grants that are due, and commits those that the log accepts.
func (c *cluster) commitDueGrants(n int) {
	g := c.grantors[n]
	c.After(100*logic.Millisecond, func() { c.commitDueGrants(n) })
	if !g.isLeader || g.lease == nil || g.stalledUntil > c.Now() {
		return
	}
	proposer, term := g.lease, g.term
	for duty, grant := range proposer.DueGrants(g.clock.Now(), g.applied, nil) {
		c.After(commitDelay, func() {
			proposer.FinishGrant(duty)
			if c.leader != n || !c.noTermCheck && c.term != term || c.log.grants[duty].Token != grant.Token {
				return // the proposer no longer leads in the term of its proposal, or another grant has been committed
			}
			c.log.lastToken++
			g.lastOwnToken++
			token := c.log.lastToken
			if c.ownTokens {
				token = g.lastOwnToken
			}
			grant.Token = token
			c.log.grants[duty] = grant
			for _, other := range c.grantors {
				if other == g {
					g.applied[duty] = grant
				} else {
					c.After(c.drawBelow(2*logic.Second), func() {
						if c.ownTokens || other.applied[duty].Token < token {
							other.applied[duty] = grant
						}
					})
				}
			}
		})
	}
}

// act has a holder check its leases and then cause an effect for each duty that it holds, at once or after a stall in between. An
// effect is accepted only if its token is the current one.
func (c *cluster) act(h int) {
	holder := c.holders[h]
	c.After(200*logic.Millisecond+c.drawBelow(300*logic.Millisecond), func() { c.act(h) })
	if holder.stalledUntil > c.Now() {
		return
	}
	for _, duty := range c.duties {
		token, holds := holder.lease.Holds(holder.clock.Now(), duty)
		if !holds {
			continue
		}
		wait := logic.Micros(0)
		if c.Rng.Intn(4) == 0 {
			wait = c.drawBelow(6 * logic.Second)
		}
		c.After(wait, func() {
			if !c.noFencing && token != c.log.grants[duty].Token {
				return
			}
			c.effects++
			if token < c.highestTokens[duty] {
				c.violations["lower token"]++
			}
			c.highestTokens[duty] = max(c.highestTokens[duty], token)
		})
	}
}

// checkHolders checks, with the knowledge of all agents, that no duty has two holders who can act and no token two holders.
func (c *cluster) checkHolders() {
	c.After(20*logic.Millisecond, c.checkHolders)
	for _, duty := range c.duties {
		c.checks++
		active := -1
		for n, holder := range c.holders {
			if token, holds := holder.lease.Holds(holder.clock.Now(), duty); holds {
				if active >= 0 {
					c.violations["two holders"]++
				}
				active = n
				key := token
				if by, known := c.holderOfToken[key]; known && by != n && len(c.duties) == 1 {
					c.violations["one token with two holders"]++
				}
				c.holderOfToken[key] = n
			}
		}
		if active >= 0 {
			c.heldChecks++
		}
	}
}

// injectFault stalls an agent, cuts a holder off from an agent in one or both directions, or elects another leader.
func (c *cluster) injectFault() {
	c.After(c.drawBelow(4*logic.Second), c.injectFault)
	duration := c.drawBelow(6 * logic.Second)
	switch c.Rng.Intn(4) {
	case 0:
		c.grantors[c.Rng.Intn(len(c.grantors))].stalledUntil = c.Now() + duration
		c.electLeader()
	case 1:
		c.holders[c.Rng.Intn(len(c.holders))].stalledUntil = c.Now() + duration
	case 2:
		h, g := 100+c.Rng.Intn(len(c.holders)), c.Rng.Intn(len(c.grantors))
		for _, link := range [][2]int{{g, h}, {h, g}}[c.Rng.Intn(2):] {
			c.SetCut(link[0], link[1], true)
			c.After(duration, func() { c.SetCut(link[0], link[1], false) })
		}
	case 3:
		c.electLeader()
	}
}

// scheduleCount returns how many seeds are run: the number in HATCHLAB_SCHEDULES if it is set, otherwise defaultCount.
func scheduleCount(t *testing.T, defaultCount int) int {
	if n, err := strconv.Atoi(os.Getenv("HATCHLAB_SCHEDULES")); err == nil {
		return n
	}
	return defaultCount
}

func TestAtMostOneHolderInRandomSimulations(t *testing.T) {
	effects, held, checks := 0, logic.Micros(0), 0
	for seed := range scheduleCount(t, 300) {
		c := newCluster(int64(seed), 3, 4, 1, mutant{})
		c.RunUntil(40 * logic.Second)
		require.Empty(t, c.violations, "seed %d", seed)
		effects, held, checks = effects+c.effects, held+c.heldChecks, checks+c.checks
	}
	require.Positive(t, effects)
	t.Logf("%d effects; held %.1f%% of the time", effects, 100*float64(held)/float64(checks))
}

func TestHundredDutiesAreSpreadOverThreeHundredHolders(t *testing.T) {
	c := newCluster(1, 5, 300, 100, mutant{})
	c.RunUntil(8 * logic.Second)
	require.Empty(t, c.violations)
	most, count := 0, map[string]int{}
	for _, g := range c.log.grants {
		count[g.Holder]++
		most = max(most, count[g.Holder])
	}
	require.Len(t, c.log.grants, 100)
	require.LessOrEqual(t, most, 2, "duties are spread over the holders")
}

func TestEachMissingSafeguardIsDetected(t *testing.T) {
	for name, m := range map[string]mutant{
		"lease counted from the response": {leaseFromResponse: true}, "no wait after an election": {noElectionWait: true}, "no confirmation by a majority": {noQuorumRound: true},
		"no barrier after an election": {noBarrier: true}, "no fencing": {noFencing: true}, "grants committed in a later term": {noTermCheck: true}, "each leader counts its own tokens": {ownTokens: true}, "clocks drift beyond the bound": {fastClocks: true},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range int64(2000) {
				c := newCluster(seed, 3, 4, 1, m)
				c.RunUntil(40 * logic.Second)
				if len(c.violations) > 0 {
					t.Logf("seed %d: %v", seed, c.violations)
					return
				}
			}
			t.Error("no seed detects the missing safeguard")
		})
	}
}
