package keeper

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/poplarcroft/poplarcroft/internal/backend"
	"github.com/poplarcroft/poplarcroft/internal/ownership"
	"github.com/poplarcroft/poplarcroft/internal/record"
	"github.com/poplarcroft/poplarcroft/internal/settings"
)

// TestMoveWhoseSuccessorWasReplacedIsActivatedAnew covers a successor whose
// session closes after it was activated and before the log shows the move.
func TestMoveWhoseSuccessorWasReplacedIsActivatedAnew(t *testing.T) {
	key := ownership.SliceKey{Service: "revize", Slice: 3}
	k := newLeader(t, settings.Defaults())
	k.handovers = map[ownership.SliceKey]Handover{
		key: {Key: key, Epoch: 14, Successor: 9, NextEpoch: 21, Moving: true},
	}
	k.markActivated(9, []backend.SliceGrant{{Slice: 3, Epoch: 21}})
	assert.DeepEqual(t, k.activatedMoves(), []record.SliceMove{{Service: "revize", Slice: 3, To: 9, Epoch: 21}})

	k.handovers[key] = Handover{Key: key, Epoch: 14, Successor: 11, NextEpoch: 33, Moving: true}
	assert.Equal(t, len(k.activatedMoves()), 0)
	pending := k.pending(func(Handover) bool { return true })
	assert.DeepEqual(t, pending, map[record.SessionID][]backend.SliceGrant{11: {{Slice: 3, Epoch: 33}}})
}

// TestHandoverWithoutRecalledIDsIsCompletedByTheSuccessor replays repeat-after-all-hosts: new lessors got a session by the
// log alone and handed slices on before they had recalled their request IDs, and a repeat ran again.
func TestHandoverWithoutRecalledIDsIsCompletedByTheSuccessor(t *testing.T) {
	key := ownership.SliceKey{Service: "revize", Slice: 3}
	grants := []backend.SliceGrant{{Slice: 3, Epoch: 21}}
	former := newLeader(t, settings.Defaults())
	former.handovers = map[ownership.SliceKey]Handover{key: {Key: key, Epoch: 14, Successor: 9, NextEpoch: 21, Moving: true}}
	assert.Assert(t, !former.recalledAll(grants))

	successor := newLeader(t, settings.Defaults())
	successor.holds[3] = 21
	successor.noteAdopted(grants, former.recalledAll(grants))
	assert.DeepEqual(t, successor.toRecall(), map[int]uint64{3: 21})

	former.recalled[3] = 14
	successor.noteAdopted(grants, former.recalledAll(grants))
	assert.Equal(t, len(successor.toRecall()), 0)
}
