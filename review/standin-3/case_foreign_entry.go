package main

import (
	"context"
	"net/http"
	"time"
)

func init() { scenarios["foreign-entry"] = foreignEntry }

// overlapLimit is the time for which two targets may hold the same key.
const overlapLimit = 500 * time.Millisecond

// foreignEntry writes an entry of a service that the configuration does not name into the service discovery, at the address of a target
// that is up. No other target may then hold that target's keys before its own hold has ended.
func foreignEntry(w *world, trouble bool) error {
	w.onRun = w.noteRun
	if err := w.startAll(4, 0); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), 12*time.Second)
	defer cancel()
	go w.watchHolders(ctx)
	time.AfterFunc(4*time.Second, func() {
		if !trouble {
			return
		}
		// Another writer registers something of its own on the machine of a target.
		entry := map[string]any{
			"service": "sonda", "address": w.targets[0].addr, "zone": w.targets[0].zone, "version": "v1", "concurrency": slots, "state": "ready",
			"warmup_left_s": 0, "sequence": 1, "born": time.Now().UnixMilli(),
		}
		w.record.note("another writer adds servers/sonda-1: service sonda, which no configuration names, at %s, the address of %s", w.targets[0].addr, w.targets[0].life.name())
		w.store.write(topicServers, "sonda-1", entry)
	})
	w.record.note("answers by status: %v", w.traffic(ctx, 25*time.Millisecond))
	return nil
}

// watchHolders reports each pair of targets that hold a key together for longer than overlapLimit, until the context ends.
func (w *world) watchHolders(ctx context.Context) {
	since := make(map[int]time.Time)
	told := make(map[[2]*life]bool)
	for ; ctx.Err() == nil; time.Sleep(20 * time.Millisecond) {
		w.mu.Lock()
		now := time.Now()
		for key := range keyCount {
			holders := w.holdersOf(key, now)
			if len(holders) < 2 {
				delete(since, key)
				continue
			}
			if since[key].IsZero() {
				since[key] = now
			}
			pair := [2]*life{holders[0], holders[1]}
			if now.Sub(since[key]) > overlapLimit && !told[pair] {
				told[pair] = true
				w.record.violation("OWNER: for over %s, key %d is held by %s with fence %d and by %s with fence %d, both up", overlapLimit, key,
					holders[0].name(), holders[0].seen[key], holders[1].name(), holders[1].seen[key])
			}
		}
		w.mu.Unlock()
	}
}

// noteRun notes that a target runs a request, and which others hold the request's key.
func (w *world) noteRun(l *life, r *http.Request, key int, _ []byte) {
	id := r.Header.Get("X-Attempt-Id")
	w.record.note("target %s runs %s on key %d", l.name(), id, key)
	w.countRun(id)
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, other := range w.holdersOf(key, time.Now()) {
		if other != l {
			w.record.note("request %s on key %d runs at %s while %s holds the key", id, key, l.name(), other.name())
		}
	}
}
