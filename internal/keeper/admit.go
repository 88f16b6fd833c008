package keeper

import (
	"github.com/poplarcroft/poplarcroft/internal/ownership"
	"github.com/poplarcroft/poplarcroft/internal/record"
)

// Admission is the decision whether a request for a slice may be sent to the
// server. If Allowed is false and neither Primary nor Successor is set, the
// request cannot be sent at present.
type Admission struct {
	Allowed bool
	Addr    string
	Epoch   record.Epoch
	Session record.SessionID
	// Primary is the session's primary host, if that is another host.
	Primary string
	// Successor is the session that has taken over the slice, if one has.
	Successor record.SessionID
}

// BeginServing decides whether this host may serve a request for the slice now. A
// request that is allowed counts as being served until EndServing.
func (k *Keeper) BeginServing(slice int) Admission {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.steppingDown {
		return Admission{}
	}
	admission := k.admit(slice)
	if admission.Allowed {
		k.serving++
	}
	return admission
}

// EndServing ends a request that BeginServing allowed.
func (k *Keeper) EndServing() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.serving--
}

// BeginSend decides whether a request that is being served may be sent to the
// server now, and under which epoch. A request that is allowed counts as in flight
// until EndSend.
func (k *Keeper) BeginSend(slice int) Admission {
	k.mu.Lock()
	defer k.mu.Unlock()
	admission := k.admit(slice)
	if admission.Allowed {
		k.inFlight[slice]++
	}
	return admission
}

// EndSend ends a request that BeginSend allowed.
func (k *Keeper) EndSend(slice int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.inFlight[slice]--
	if k.inFlight[slice] == 0 {
		delete(k.inFlight, slice)
	}
}

// admit decides on a request for the slice. The caller holds mu.
func (k *Keeper) admit(slice int) Admission {
	now := k.deps.Clock()
	key := ownership.SliceKey{Service: k.service, Slice: slice}
	epoch, held := k.holds[slice]
	if handedOver, ok := k.activated[key]; ok && max(epoch, k.handovers[key].Epoch) <= handedOver.epoch {
		return Admission{Successor: handedOver.successor}
	}
	if !k.lessor.IsPrimary(now) {
		return Admission{Primary: k.hostOf(k.lessor.Holder(now))}
	}
	if !held || k.mayDrop(k.handovers[key]) || k.mayHaveRestarted() {
		return Admission{}
	}
	return Admission{Allowed: true, Addr: k.addr, Epoch: epoch, Session: k.id}
}

// mayDrop reports whether a grant may make the server drop the slice: the slice is
// to move, a quorum of the lessors acts for the version that moves it, and the
// successor is reachable. From then on no new request is sent for the slice.
//
// A server that checks epochs ends the slice's requests before it confirms the
// drop. A server that does not may still run requests of a former primary, so the
// slice is not dropped until their deadlines have passed.
func (k *Keeper) mayDrop(handover Handover) bool {
	if !handover.Moving || !k.lessor.QuorumAt(k.lessor.Version()) || !k.isReachable(handover.Successor) {
		return false
	}
	return k.values.ChecksEpochs || k.deps.Clock()-k.primarySince >= k.values.RequestTimeout
}

// isReachable reports whether the successor was known to have a primary within
// reachableFor. A slice is not dropped while no primary can take it over, as during
// a partition between zones.
func (k *Keeper) isReachable(successor record.SessionID) bool {
	seen, ok := k.reachable[successor]
	return ok && k.deps.Clock()-seen <= reachableFor
}

// mayHaveRestarted reports whether the server may be another incarnation that would
// nevertheless run requests of this session. A server that checks epochs rejects
// them itself.
func (k *Keeper) mayHaveRestarted() bool {
	return k.unresponsive && !k.values.ChecksEpochs
}

// noneInFlight reports whether no request that this host has sent for the slice is in flight.
func (k *Keeper) noneInFlight(slice int) bool {
	return k.inFlight[slice] == 0
}
