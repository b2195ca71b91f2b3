package logic

// Sight is what an instance sees of a server, for whoever asks; nothing here decides.
type Sight struct {
	State    State
	Standing int
	Pending  int
	Failures float64 // the share of its dispatches that failed
	Shunned  Micros  // passed over until then for its failures; 0 if not
	Stuck    bool    // passed over as a set-up has been pending for too long
	Late     bool    // its messages are late
	Pace     float64 // what it is seen to do against its weight
	Probe    Micros  // its last answer to a probe; 0 if none
	Cold     bool    // it has started lately
}

// See tells what is seen of a server; false if no list has named it.
func (b *Balancer) See(now Micros, id ServerID) (Sight, bool) {
	s := b.byID[id]
	if s == nil {
		return Sight{}, false
	}
	seen := Sight{State: s.state, Standing: len(s.standing), Pending: len(s.waiting), Failures: s.share(),
		Stuck: s.stuck(now), Late: s.late(now), Pace: s.Pace, Probe: s.Probed, Cold: b.isCold(now, s)}
	if s.Shunned > now {
		seen.Shunned = s.Shunned
	}
	return seen, true
}
