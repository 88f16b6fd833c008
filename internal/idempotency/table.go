package idempotency

import (
	"context"
	"sync"
	"time"
)

// Table is a Store for concurrent requests. It is safe for concurrent use.
type Table struct {
	mu          sync.Mutex
	store       *Store
	localClaims map[ID]localClaim
}

// localClaim is a claim that this host made. Done is closed at its end.
type localClaim struct {
	attempt int
	done    chan struct{}
}

// NewTable returns the empty table of a host. The host's name must differ for each of its
// incarnations.
func NewTable(host string, bounds Bounds) *Table {
	return &Table{store: NewStore(host, bounds), localClaims: make(map[ID]localClaim)}
}

// Claim claims an ID for a request if it may run now. While the same request runs on this
// host, Claim waits for its end. If the context is done before, the decision is
// KindRunning, and the outcome of the request is unknown to its caller.
func (t *Table) Claim(ctx context.Context, id ID, digest Digest) Decision {
	return t.waitWhileRunning(ctx, id, func() Decision { return t.claim(id, digest) })
}

// Lookup waits like Claim and returns the decision that Claim would return, without
// claiming the ID. A repeated request thus needs no slot of the server while it waits for
// the first run.
func (t *Table) Lookup(ctx context.Context, id ID, digest Digest) Decision {
	return t.waitWhileRunning(ctx, id, func() Decision { return t.store.Lookup(time.Now(), id, digest) })
}

// waitWhileRunning calls query until its decision is not KindRunning or the context is
// done. It holds the lock during the calls, not while it waits.
func (t *Table) waitWhileRunning(ctx context.Context, id ID, query func() Decision) Decision {
	for {
		t.mu.Lock()
		decision := query()
		done := t.localClaims[id].done
		t.mu.Unlock()
		if decision.Kind != KindRunning {
			return decision
		}
		select {
		case <-done:
		case <-ctx.Done():
			return decision
		}
	}
}

// claim claims the ID. The caller holds the lock.
func (t *Table) claim(id ID, digest Digest) Decision {
	decision := t.store.Claim(time.Now(), id, digest)
	if decision.Kind == KindNew {
		t.localClaims[id] = localClaim{attempt: decision.Attempt, done: make(chan struct{})}
	}
	return decision
}

// Finish ends a claim, see Store.Finish, and wakes the requests that wait for its end.
func (t *Table) Finish(id ID, attempt int, result Result) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.store.Finish(time.Now(), id, attempt, result)
	t.notifyWaiters(id, attempt)
}

// notifyWaiters wakes the requests that wait for the end of a claim. The caller holds the lock.
func (t *Table) notifyWaiters(id ID, attempt int) {
	claim, ok := t.localClaims[id]
	if ok && claim.attempt == attempt {
		close(claim.done)
		delete(t.localClaims, id)
	}
}

// StoreReplica merges another host's claim, see Store.StoreReplica.
func (t *Table) StoreReplica(claim Entry) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.store.StoreReplica(time.Now(), claim)
}

// LocalClaim returns the entry of a claim, for replication to another host, and true while
// the claim is this host's own.
func (t *Table) LocalClaim(id ID, attempt int) (Entry, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.store.LocalClaim(time.Now(), id, attempt)
}

// Get returns the entry of an ID, for replication to another host.
func (t *Table) Get(id ID) (Entry, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.store.Get(time.Now(), id)
}

// Snapshot returns the entries whose IDs match, oldest change first. A nil match selects all.
func (t *Table) Snapshot(match func(ID) bool) []Entry {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.store.Snapshot(time.Now(), match)
}

// Merge merges entries of another host, see Store.Merge.
func (t *Table) Merge(entries []Entry) (lost int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.store.Merge(time.Now(), entries)
}

// SetRetention changes how long IDs are stored.
func (t *Table) SetRetention(retention time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.store.SetRetention(retention)
}

// Len returns the number of stored IDs and their estimated size in bytes.
func (t *Table) Len() (entries, bytes int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.store.Len(), t.store.Bytes()
}
