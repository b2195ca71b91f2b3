package logic

// ServerStatus is what an instance sees of a server, for whoever asks; nothing here decides.
type ServerStatus struct {
	State        State
	Connections  int
	Pending      int
	FailureShare float64 // the share of its dispatches that failed
	AvoidUntil   Micros  // passed over until then for its failures; 0 if not
	Stuck        bool    // passed over as a set-up has been pending for too long
	Late         bool    // its messages are late
	SpeedFactor  float64 // what it is seen to do against its weight
	LastProbe    Micros  // its last answer to a probe; 0 if none
	Cold         bool    // it has started lately
}

// ServerStatus tells what is seen of a server; false if no list has named it.
func (b *Balancer) ServerStatus(now Micros, id ServerID) (ServerStatus, bool) {
	s := b.serversByID[id]
	if s == nil {
		return ServerStatus{}, false
	}
	seen := ServerStatus{State: s.state, Connections: len(s.connections), Pending: len(s.pending), FailureShare: s.failureShare(),
		Stuck: s.isStuck(now), Late: s.isLate(now), SpeedFactor: s.SpeedFactor, LastProbe: s.LastProbe, Cold: b.isCold(now, s)}
	if s.AvoidUntil > now {
		seen.AvoidUntil = s.AvoidUntil
	}
	return seen, true
}
