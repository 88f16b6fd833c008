package keeper

import (
	"github.com/poplarcroft/poplarcroft/internal/ownership"
	"github.com/poplarcroft/poplarcroft/internal/record"
)

// Admission is the right to send a request for a slice to the server.
type Admission struct {
	Allowed bool
	Addr    string
	Epoch   record.Epoch
	Session record.SessionID
	// Lead is the host that leads, where this one does not.
	Lead string
	// Successor is the session that has taken the slice over.
	Successor record.SessionID
}

// Enter decides whether this host may serve a request for the slice now. A
// request that is allowed counts as being served until Exit.
func (k *Keeper) Enter(slice int) Admission {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.yielding {
		return Admission{}
	}
	admission := k.admit(slice)
	if admission.Allowed {
		k.serving++
	}
	return admission
}

// Exit ends a request that Enter allowed.
func (k *Keeper) Exit() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.serving--
}

// Begin decides whether a request that has been entered may be sent now, and
// under which epoch. A request that is allowed counts as in flight until End.
func (k *Keeper) Begin(slice int) Admission {
	k.mu.Lock()
	defer k.mu.Unlock()
	admission := k.admit(slice)
	if admission.Allowed {
		k.inFlight[slice]++
	}
	return admission
}

// End ends a request that Begin allowed.
func (k *Keeper) End(slice int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.inFlight[slice]--
	if k.inFlight[slice] == 0 {
		delete(k.inFlight, slice)
	}
}

func (k *Keeper) admit(slice int) Admission {
	now := k.deps.Clock()
	key := ownership.SliceKey{Service: k.service, Slice: slice}
	epoch, held := k.holds[slice]
	if gone, ok := k.activated[key]; ok && max(epoch, k.handovers[key].Epoch) <= gone.epoch {
		return Admission{Successor: gone.successor}
	}
	if !k.lessor.IsLead(now) {
		return Admission{Lead: k.hostOf(k.lessor.Holder(now))}
	}
	if !held || k.mayLetGo(k.handovers[key]) || k.mayHaveRestarted() {
		return Admission{}
	}
	return Admission{Allowed: true, Addr: k.addr, Epoch: epoch, Session: k.id}
}

// mayLetGo reports whether the slice is to move and a quorum of the lessors
// acts under the version that says so. No new request is then sent for it.
//
// A server that checks epochs ends what it has for the slice before it
// acknowledges. One that does not may still run a former lead's requests: the
// slice stays where it is until their deadlines have passed.
func (k *Keeper) mayLetGo(handover Handover) bool {
	if !handover.Moving || !k.lessor.QuorumAt(k.lessor.Version()) || !k.mayReach(handover.Successor) {
		return false
	}
	return k.values.ChecksEpochs || k.deps.Clock()-k.leadSince >= k.values.RequestTimeout
}

// mayReach reports whether the successor was known to have a lead a moment ago.
// A slice is not let go of while nobody can take it over, as in a cut between zones.
func (k *Keeper) mayReach(successor record.SessionID) bool {
	seen, ok := k.reachable[successor]
	return ok && k.deps.Clock()-seen <= reachableTime
}

// mayHaveRestarted reports whether a server that would run a request under any
// session may be another incarnation by now. A server that checks epochs refuses by itself.
func (k *Keeper) mayHaveRestarted() bool {
	return k.inDoubt && !k.values.ChecksEpochs
}

// idle reports whether nothing that this host has sent for the slice is in flight.
func (k *Keeper) idle(slice int) bool {
	return k.inFlight[slice] == 0
}
