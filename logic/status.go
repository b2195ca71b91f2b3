package logic

// ServerStatus is an instance's view of a server, for status pages and logs. No decision is based on it.
type ServerStatus struct {
	State        State
	Connections  int     // established through this instance
	Pending      int     // dispatches without an outcome
	FailureShare float64 // share of its dispatches that failed
	AvoidUntil   Micros  // avoided until then after failures; 0 if not avoided
	Stuck        bool    // avoided because a set-up has been pending for too long
	Late         bool    // its messages are late
	SpeedFactor  float64 // observed speed relative to its weight
	LastProbe    Micros  // time that its last answer to a probe took; 0 if none
	Cold         bool    // it started, or came back, less than ColdStart.WarmupTime ago
}

// ServerStatus returns the current view of a server, and false if no list has named it.
func (b *Balancer) ServerStatus(now Micros, id ServerID) (ServerStatus, bool) {
	s := b.serversByID[id]
	if s == nil {
		return ServerStatus{}, false
	}
	status := ServerStatus{State: s.state, Connections: len(s.connections), Pending: len(s.pending), FailureShare: s.failureShare(),
		Stuck: s.isStuck(now), Late: s.isLate(now), SpeedFactor: s.SpeedFactor, LastProbe: s.LastProbe, Cold: b.isCold(now, s)}
	if s.AvoidUntil > now {
		status.AvoidUntil = s.AvoidUntil
	}
	return status, true
}
