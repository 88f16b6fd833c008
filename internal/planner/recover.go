package planner

import (
	"github.com/poplarcroft/poplarcroft/internal/lease"
	"github.com/poplarcroft/poplarcroft/internal/members"
	"github.com/poplarcroft/poplarcroft/internal/ownership"
	"github.com/poplarcroft/poplarcroft/internal/record"
)

// Recovery is a session that has lost the quorum of its lessors. Nobody can renew
// or close it any more; only the word of all servers that may own its slices helps.
type Recovery struct {
	Session ownership.Session
	// Successors are the open sessions that may have taken slices over, with the
	// slices and their epochs.
	Successors []Succession
}

// Succession is what one session may have taken over.
type Succession struct {
	Session ownership.Session
	Slices  []ownership.SliceKey
	Epochs  []record.Epoch
}

// ToRecover returns the recovery of a session without a quorum of live lessors.
func ToRecover(session *ownership.Session, table *ownership.Table, live []members.Host) (Recovery, bool) {
	if hasQuorum(session.Lessors, live) && (session.Sealed() || hasQuorum(session.Former, live)) {
		return Recovery{}, false
	}
	recovery := Recovery{Session: *session}
	found := make(map[record.SessionID]int)
	for _, key := range table.Owned(session.ID) {
		slice := table.Slice(key)
		successor := table.Session(slice.Successor)
		if successor == nil || successor.Closed {
			continue
		}
		at, known := found[successor.ID]
		if !known {
			at = len(recovery.Successors)
			found[successor.ID] = at
			recovery.Successors = append(recovery.Successors, Succession{Session: *successor})
		}
		entry := &recovery.Successors[at]
		entry.Slices = append(entry.Slices, key)
		entry.Epochs = append(entry.Epochs, slice.NextEpoch)
	}
	return recovery, true
}

func hasQuorum(lessors []record.Lessor, live []members.Host) bool {
	alive := 0
	for _, lessor := range lessors {
		if isLiveLessor(lessor, live) {
			alive++
		}
	}
	return alive >= lease.Quorum(len(lessors))
}
