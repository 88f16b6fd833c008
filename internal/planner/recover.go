package planner

import (
	"slices"

	"github.com/poplarcroft/poplarcroft/internal/lease"
	"github.com/poplarcroft/poplarcroft/internal/members"
	"github.com/poplarcroft/poplarcroft/internal/ownership"
	"github.com/poplarcroft/poplarcroft/internal/record"
)

// Recovery describes a session that has lost the quorum of its lessors. No host can
// renew or close it in the usual way. It can be closed only after every server that
// may own its slices has confirmed that it no longer serves them.
type Recovery struct {
	Session ownership.Session
	// Successors are the open sessions that may have taken over slices of Session.
	Successors []SuccessorSlices
}

// SuccessorSlices lists the slices that one session may have taken over. Epochs
// holds the epoch of each entry of Slices.
type SuccessorSlices struct {
	Session ownership.Session
	Slices  []ownership.SliceKey
	Epochs  []record.Epoch
}

// PlanRecovery returns the recovery of a session, and false if a quorum of its
// lessors is live. While a replacement of the lessors is not sealed, a quorum of
// the previous ones is needed too.
func PlanRecovery(session *ownership.Session, table *ownership.Table, live []members.Host) (Recovery, bool) {
	if hasQuorum(session.Lessors, live) && (session.Sealed() || hasQuorum(session.Former, live)) {
		return Recovery{}, false
	}
	recovery := Recovery{Session: *session}
	for _, key := range table.OwnedSlices(session.ID) {
		for _, candidate := range table.PossibleSuccessors(key) {
			recovery.add(key, candidate, table)
		}
	}
	return recovery, true
}

// add adds a slice to the entry of a session that may have taken it over.
func (r *Recovery) add(key ownership.SliceKey, candidate ownership.Succession, table *ownership.Table) {
	at := slices.IndexFunc(r.Successors, func(s SuccessorSlices) bool { return s.Session.ID == candidate.Session })
	if at < 0 {
		at = len(r.Successors)
		r.Successors = append(r.Successors, SuccessorSlices{Session: *table.Session(candidate.Session)})
	}
	entry := &r.Successors[at]
	entry.Slices = append(entry.Slices, key)
	entry.Epochs = append(entry.Epochs, candidate.Epoch)
}

// hasQuorum reports whether a quorum of the lessors is live.
func hasQuorum(lessors []record.Lessor, live []members.Host) bool {
	alive := 0
	for _, lessor := range lessors {
		if isLiveLessor(lessor, live) {
			alive++
		}
	}
	return alive >= lease.Quorum(len(lessors))
}
