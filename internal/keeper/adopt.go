package keeper

import (
	"context"

	"github.com/poplarcroft/poplarcroft/internal/backend"
	"github.com/poplarcroft/poplarcroft/internal/idempotency"
	"github.com/poplarcroft/poplarcroft/internal/ownership"
	"github.com/poplarcroft/poplarcroft/internal/record"
	"github.com/poplarcroft/poplarcroft/internal/settings"
)

// Adopt activates slices that another session left behind. It returns true
// once the server has confirmed them. Where the entries are not complete, the request IDs of
// the slices are recalled from all hosts before a request runs.
func (k *Keeper) Adopt(ctx context.Context, grants []backend.SliceGrant, entries []idempotency.Entry, complete bool) bool {
	if _, lead := k.Lead(); !lead || !k.mayAdopt(grants) || !k.takeOver(ctx, entries) {
		return false
	}
	k.noteAdopted(grants, complete)
	k.renew(ctx)
	return k.holdsAll(grants)
}

func (k *Keeper) noteAdopted(grants []backend.SliceGrant, complete bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, grant := range grants {
		k.adopted[grant.Slice] = max(k.adopted[grant.Slice], record.Epoch(grant.Epoch))
		if complete {
			k.recalled[grant.Slice] = max(k.recalled[grant.Slice], grant.Epoch)
		}
	}
}

// mayAdopt refuses slices that the log has since given to somebody else.
func (k *Keeper) mayAdopt(grants []backend.SliceGrant) bool {
	allowed := true
	k.deps.View.Read(func(_ *settings.State, table *ownership.Table) {
		for _, grant := range grants {
			slice := table.Slice(ownership.SliceKey{Service: k.service, Slice: grant.Slice})
			if slice.Owner != k.id && slice.Epoch >= record.Epoch(grant.Epoch) {
				allowed = false
			}
		}
	})
	return allowed
}

func (k *Keeper) holdsAll(grants []backend.SliceGrant) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, grant := range grants {
		if k.holds[grant.Slice] < record.Epoch(grant.Epoch) {
			return false
		}
	}
	return true
}
