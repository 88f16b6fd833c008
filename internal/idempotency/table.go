package idempotency

import (
	"context"
	"sync"
	"time"
)

// Table is a memory for concurrent requests. It is safe for concurrent use.
type Table struct {
	mu     sync.Mutex
	memory *Memory
	ended  map[ID]localClaim
}

// localClaim is a claim that this host got. Done is closed at its end.
type localClaim struct {
	attempt int
	done    chan struct{}
}

// NewTable returns the empty table of a host. The host's name differs for each
// of its incarnations.
func NewTable(host string, bounds Bounds) *Table {
	return &Table{memory: NewMemory(host, bounds), ended: make(map[ID]localClaim)}
}

// Claim asks whether the request may run now. While the same request runs, it
// waits for its end until the context ends; the verdict is then KindRunning,
// which the caller gets as unknown.
func (t *Table) Claim(ctx context.Context, id ID, digest Digest) Verdict {
	return t.await(ctx, id, func() Verdict { return t.claim(id, digest) })
}

// Lookup waits in the same way and returns the verdict that a claim would get,
// but claims nothing. A repeat thus needs no slot while it waits for the first run.
func (t *Table) Lookup(ctx context.Context, id ID, digest Digest) Verdict {
	return t.await(ctx, id, func() Verdict { return t.memory.Lookup(time.Now(), id, digest) })
}

// await asks until the verdict is not that the request is running. The lock is
// held while it asks.
func (t *Table) await(ctx context.Context, id ID, ask func() Verdict) Verdict {
	for {
		t.mu.Lock()
		verdict := ask()
		ended := t.ended[id].done
		t.mu.Unlock()
		if verdict.Kind != KindRunning {
			return verdict
		}
		select {
		case <-ended:
		case <-ctx.Done():
			return verdict
		}
	}
}

// claim claims the ID. The lock is held.
func (t *Table) claim(id ID, digest Digest) Verdict {
	verdict := t.memory.Claim(time.Now(), id, digest)
	if verdict.Kind == KindNew {
		t.ended[id] = localClaim{attempt: verdict.Attempt, done: make(chan struct{})}
	}
	return verdict
}

// Finish ends a claim and wakes those that wait for it.
func (t *Table) Finish(id ID, attempt int, result Result) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.memory.Finish(time.Now(), id, attempt, result)
	t.wake(id, attempt)
}

// wake ends the waiting for a claim that has ended.
func (t *Table) wake(id ID, attempt int) {
	claim, ok := t.ended[id]
	if ok && claim.attempt == attempt {
		close(claim.done)
		delete(t.ended, id)
	}
}

// Hold takes in another host's claim, see Memory.Hold.
func (t *Table) Hold(claim Entry) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.memory.Hold(time.Now(), claim)
}

// Claimed returns the entry of a claim, for copying it to another host, and
// true while this host holds the claim.
func (t *Table) Claimed(id ID, attempt int) (Entry, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.memory.Claimed(time.Now(), id, attempt)
}

// Get returns the entry of an ID, for copying it to another host.
func (t *Table) Get(id ID) (Entry, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.memory.Get(time.Now(), id)
}

// Snapshot returns the entries that match, oldest change first. A nil match selects all.
func (t *Table) Snapshot(match func(ID) bool) []Entry {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.memory.Snapshot(time.Now(), match)
}

// Merge takes in entries of another host, see Memory.Merge.
func (t *Table) Merge(entries []Entry) (lost int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.memory.Merge(time.Now(), entries)
}

// SetRetention changes how long IDs are remembered.
func (t *Table) SetRetention(retention time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.memory.SetRetention(retention)
}

// Len returns the number of remembered IDs and the bytes that they take.
func (t *Table) Len() (entries, bytes int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.memory.Len(), t.memory.Bytes()
}
