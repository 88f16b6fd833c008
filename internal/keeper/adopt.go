package keeper

import (
	"context"

	"github.com/poplarcroft/poplarcroft/internal/backend"
	"github.com/poplarcroft/poplarcroft/internal/idempotency"
	"github.com/poplarcroft/poplarcroft/internal/ownership"
	"github.com/poplarcroft/poplarcroft/internal/record"
	"github.com/poplarcroft/poplarcroft/internal/settings"
)

// Adopt activates slices that another session hands over to this one. It returns
// true once the server has confirmed them, and false if this host is not primary.
// entries are the slices' request IDs; unless they are complete, the request IDs
// are recovered from all hosts before a request runs.
func (k *Keeper) Adopt(ctx context.Context, grants []backend.SliceGrant, entries []idempotency.Entry, complete bool) bool {
	if _, primary := k.Primary(); !primary || !k.mayAdopt(grants) || !k.storeAtQuorum(ctx, entries) {
		return false
	}
	k.recordAdopted(grants, complete)
	k.renew(ctx)
	return k.holdsAll(grants)
}

// recordAdopted records adopted slices and, if complete, that their request IDs
// need no recovery.
func (k *Keeper) recordAdopted(grants []backend.SliceGrant, complete bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, grant := range grants {
		k.adopted[grant.Slice] = max(k.adopted[grant.Slice], record.Epoch(grant.Epoch))
		if complete {
			k.recovered[grant.Slice] = max(k.recovered[grant.Slice], grant.Epoch)
		}
	}
}

// mayAdopt returns false if the log has meanwhile assigned one of the slices to
// another session under the grant's epoch or a newer one.
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

// holdsAll reports whether the server has confirmed all slices under their epochs.
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
