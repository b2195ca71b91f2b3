package proxy

import (
	"context"
	"log/slog"

	"hatchproxy/logic"
)

// trace writes one step of a client's way into the log, at the level debug: lab/worth accounts for a day by these
// lines. `asked` begins a way, `answered` or `ended` is its last; in between stand `sent`, `failed` and `up`.
func (p *Proxy) trace(step string, c *client, more ...any) {
	if c.id == 0 || !p.log.Enabled(context.Background(), slog.LevelDebug) {
		return
	}
	p.log.Debug(step, append([]any{"id", uint64(c.id)}, more...)...)
}

// The ends of a standing connection, as `ended` tells them.
const (
	byClient     = "client"    // the client has ended it
	byServer     = "server"    // its server has, or was lost
	byCompletion = "served"    // its server has, and said that it was served to its end
	byLeaving    = "leaving"   // moved, since this proxy leaves or evacuates
	byDrain      = "drain"     // moved, since its server drains or is gone
	byChoice     = "choice"    // moved off a late server, or home across zones
	bySuccessor  = "successor" // passed on to the process that takes this one's place
	bySilence    = "silence"   // moved, since its server brings nothing back
)

// traceServers writes, once a second, what this proxy sees of the servers where its connections stand.
func (p *Proxy) traceServers(now logic.Micros) {
	if !p.log.Enabled(context.Background(), slog.LevelDebug) {
		return
	}
	for _, id := range p.sortedServerIDs() {
		if seen, known := p.instance.ServerStatus(now, id); known && (seen.Connections > 0 || seen.Pending > 0) {
			p.log.Debug("seen", "server", p.servers[id].uid, "standing", seen.Connections, "pending", seen.Pending,
				"late", seen.Late, "pace", seen.SpeedFactor, "probe_us", int64(seen.LastProbe), "cold", seen.Cold)
		}
	}
}
