package proxy

import (
	"context"
	"log/slog"

	"hatchproxy/logic"
)

// trace logs one step of a request at debug level. The first step of a request is `asked`, the last one `answered` or
// `ended`; `sent`, `failed` and `up` come in between. lab/clienttime computes its accounts from these lines.
func (p *Proxy) trace(step string, c *client, attrs ...any) {
	if c.id == 0 || !p.log.Enabled(context.Background(), slog.LevelDebug) {
		return
	}
	p.log.Debug(step, append([]any{"id", uint64(c.id)}, attrs...)...)
}

// The reasons why an established connection ended, as the step `ended` and the metrics name them.
const (
	byClient     = "client"    // the client closed it
	byServer     = "server"    // the server closed it or was lost
	byCompletion = "served"    // the server closed it after reporting that the client has been served completely
	byLeaving    = "leaving"   // moved because this proxy leaves or evacuates
	byDrain      = "drain"     // moved because the server drains or has left the list
	byChoice     = "choice"    // moved off a late server, or back to the client's own zone
	bySuccessor  = "successor" // handed over to the successor process
	bySilence    = "silence"   // moved because the server does not answer
)

// traceServers logs, once a second, what the balancer knows of each server with established or pending connections.
func (p *Proxy) traceServers(now logic.Micros) {
	if !p.log.Enabled(context.Background(), slog.LevelDebug) {
		return
	}
	for _, id := range p.sortedServerIDs() {
		if status, known := p.instance.ServerStatus(now, id); known && (status.Connections > 0 || status.Pending > 0) {
			p.log.Debug("seen", "server", p.servers[id].uid, "standing", status.Connections, "pending", status.Pending,
				"late", status.Late, "pace", status.SpeedFactor, "probe_us", int64(status.LastProbe), "cold", status.Cold)
		}
	}
}
