package planner

import (
	"slices"

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
	for _, key := range table.Owned(session.ID) {
		for _, succession := range table.Successions(key) {
			recovery.add(key, succession, table)
		}
	}
	return recovery, true
}

// add notes a slice that a session may have taken over.
func (r *Recovery) add(key ownership.SliceKey, succession ownership.Succession, table *ownership.Table) {
	at := slices.IndexFunc(r.Successors, func(s Succession) bool { return s.Session.ID == succession.Session })
	if at < 0 {
		at = len(r.Successors)
		r.Successors = append(r.Successors, Succession{Session: *table.Session(succession.Session)})
	}
	entry := &r.Successors[at]
	entry.Slices = append(entry.Slices, key)
	entry.Epochs = append(entry.Epochs, succession.Epoch)
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
