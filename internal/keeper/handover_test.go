package keeper

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/poplarcroft/poplarcroft/internal/backend"
	"github.com/poplarcroft/poplarcroft/internal/ownership"
	"github.com/poplarcroft/poplarcroft/internal/record"
	"github.com/poplarcroft/poplarcroft/internal/settings"
)

// TestMoveIsActivatedAgainWhenItsSuccessorIsReplaced guards against a slice without an
// owner: the successor's session closes after the slice was activated there and before
// the log has the move, and the log names another successor.
func TestMoveIsActivatedAgainWhenItsSuccessorIsReplaced(t *testing.T) {
	key := ownership.SliceKey{Service: "revize", Slice: 3}
	k := newPrimary(t, settings.Defaults())
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

// TestSuccessorRecoversIncompleteRequestIDs is a regression test for the scenario
// repeat-after-all-hosts, in which a repeated request ran again: new lessors got a
// session from the log alone and handed over its slices before they had recovered
// the slices' request IDs.
func TestSuccessorRecoversIncompleteRequestIDs(t *testing.T) {
	key := ownership.SliceKey{Service: "revize", Slice: 3}
	grants := []backend.SliceGrant{{Slice: 3, Epoch: 21}}
	former := newPrimary(t, settings.Defaults())
	former.handovers = map[ownership.SliceKey]Handover{key: {Key: key, Epoch: 14, Successor: 9, NextEpoch: 21, Moving: true}}
	assert.Assert(t, !former.allRecovered(grants))

	successor := newPrimary(t, settings.Defaults())
	successor.holds[3] = 21
	successor.recordAdopted(grants, former.allRecovered(grants))
	assert.DeepEqual(t, successor.slicesToRecover(), map[int]uint64{3: 21})

	former.recovered[3] = 14
	successor.recordAdopted(grants, former.allRecovered(grants))
	assert.Equal(t, len(successor.slicesToRecover()), 0)
}
