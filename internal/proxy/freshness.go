package proxy

import (
	"time"

	"hatchproxy/internal/discovery"
	"hatchproxy/logic"
)

const (
	// A change of the list counts as delivered from the moment from which the protocol holds the proxy to it, whether or
	// not it has arrived: deliveryLimit after it was made, or waitDeliveryLimit after the end of the long poll that is open
	// then, whichever is later. A long poll that the service has ended excuses nothing.
	deliveryLimit     = 6 * second
	waitDeliveryLimit = 2 * second
	// newServiceDeliveryLimit is how long after a new configuration the list of the discovery service that it names counts
	// as delivered; the protocol defines this, too.
	newServiceDeliveryLimit = 4 * second
	// takeoverDeliveryLimit is how long after a new process has taken another's place the list counts as delivered to it.
	takeoverDeliveryLimit = 2 * second
	// maxQueueTime is how long a call may wait in the service's queue. A watch that the service ends later was heard, and
	// would have been answered with the changes made until then.
	maxQueueTime = 4 * second
)

// listFreshness says how long the server list may be relied on. The protocol counts changes as delivered after fixed
// times, whether or not they have arrived; from then on, plus the drain grace, the list is outdated. It does no I/O.
type listFreshness struct {
	drainGrace      logic.Micros // how long new requests may go to a server after its drain counts as delivered
	maxPollInterval logic.Micros // the longest time allowed between two requests for the list; 0 if none is set
	pushedByAgent   bool         // the list comes from an agent, whose changes count as delivered at once
	begun           bool         // begin was called
	unanswered      bool         // the service has not answered since the start or since a configuration named it
	receivedUntil   logic.Micros // the changes made before this time have been received
	freshUntil      logic.Micros // a change made from now on counts as delivered then at the earliest
	endedAt         logic.Micros // when the service last ended a call or turned it away: it could be reached then
	rejectedAt      logic.Micros // when the service last turned a call away
}

// begin starts a new process, which may rely on the list of an earlier run for a while. What an agent has counts as delivered
// from the first moment of a process: nothing is sent by the earlier list then.
func (f *listFreshness) begin(now logic.Micros) {
	f.begun, f.unanswered, f.receivedUntil, f.freshUntil = true, true, now, now+deliveryLimit
	if f.pushedByAgent {
		f.freshUntil = now - f.drainGrace
	}
}

// serviceChanged records that a new configuration names another service.
func (f *listFreshness) serviceChanged(now logic.Micros) {
	f.unanswered = true
	f.freshUntil = min(f.freshUntil, now+newServiceDeliveryLimit)
}

// answered records an answer of the service, after which a watch with the given hold time begins.
func (f *listFreshness) answered(now logic.Micros, hold time.Duration) {
	f.unanswered, f.receivedUntil = false, now
	f.freshUntil = now + max(deliveryLimit, logic.Micros(hold.Microseconds())+waitDeliveryLimit)
}

// toldByPeer records a list that the process on the other side of a replacement has passed on, and that lacks no change which was
// made before the given time ago.
func (f *listFreshness) toldByPeer(now, age logic.Micros) {
	if receivedUntil := now - max(age, 0); receivedUntil > f.receivedUntil {
		f.receivedUntil, f.freshUntil = receivedUntil, max(f.freshUntil, receivedUntil+deliveryLimit)
	}
}

// takenOver records that this process has taken another's place.
func (f *listFreshness) takenOver(now logic.Micros) {
	if f.unanswered {
		f.freshUntil = min(f.freshUntil, now+takeoverDeliveryLimit)
	}
}

// callFailed records that a call for the list has failed.
func (f *listFreshness) callFailed(now logic.Micros, contact discovery.Contact, heldFor time.Duration) {
	switch contact {
	case discovery.Unreachable:
		if now < f.freshUntil && !f.waitsForAgent() && f.rejectedAt <= f.receivedUntil {
			// Nobody can reach the service now: its further changes count as delivered only some time after it is back.
			f.receivedUntil, f.freshUntil = now, max(f.freshUntil, now+deliveryLimit)
		}
	case discovery.Ended, discovery.Rejected:
		f.endedAt = now
		if logic.Micros(heldFor.Microseconds()) >= maxQueueTime {
			f.receivedUntil = now
		}
		limit := f.receivedUntil + deliveryLimit
		if contact == discovery.Rejected {
			f.rejectedAt = now
			if f.pushedByAgent {
				limit = now
			}
		}
		f.freshUntil = min(f.freshUntil, limit)
	}
}

// waitsForAgent reports whether an agent pushes the list and has not told anything since the start or since a configuration
// named it.
func (f *listFreshness) waitsForAgent() bool { return f.pushedByAgent && f.unanswered }

// outdatedFrom returns the time from which the list is outdated.
func (f *listFreshness) outdatedFrom() logic.Micros { return f.freshUntil + f.drainGrace }

// mayHaveMissedChanges reports whether the service could be reached after the last change that was surely received: others may
// have been told of a change since then.
func (f *listFreshness) mayHaveMissedChanges() bool { return f.endedAt > f.receivedUntil }

// usedAgainFrom returns the time from which the list is used again although it is outdated, unless changes may have been missed:
// a fleet that serves nobody is worse than one that serves by an old list while the service is silent. That does not hold for
// the list that a new agent has never confirmed.
func (f *listFreshness) usedAgainFrom() logic.Micros { return f.outdatedFrom() + f.maxPollInterval }

// isOutdated reports whether nothing may be sent by the list.
func (f *listFreshness) isOutdated(now logic.Micros) bool {
	switch {
	case now < f.outdatedFrom():
		return false
	case f.waitsForAgent():
		return true
	case f.maxPollInterval == 0:
		return false
	}
	return f.mayHaveMissedChanges() || now < f.usedAgainFrom()
}
