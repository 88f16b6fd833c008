package main

import (
	"context"
	"sync"
	"time"
)

const (
	// sampleEvery is the time between two looks at which keys the targets hold, and sampleStep the distance of the keys looked at.
	sampleEvery = 20 * time.Millisecond
	sampleStep  = 64
	// ownerLines is how many requests on keys with two owners get a line of their own in the record.
	ownerLines = 40
)

// owners looks for keys that two targets hold.
type owners struct {
	targets []*target
	record  *record

	mu sync.Mutex
	// since holds since when two targets hold the same keys, and longest for how long two have held some at most.
	since   map[[2]*target]time.Time
	longest time.Duration
	// began counts the requests that a target has begun on keys that another one held too, by the two.
	began map[[2]*target]int
	lines int
}

// watchOwners looks until the context ends.
func (w *world) watchOwners(ctx context.Context) *owners {
	o := &owners{targets: w.targets, record: w.record, since: make(map[[2]*target]time.Time), began: make(map[[2]*target]int)}
	for _, t := range w.targets {
		t.mu.Lock()
		t.onRun = func(key int, id string) { o.noteRun(t, key, id) }
		t.mu.Unlock()
	}
	go func() {
		for ctx.Err() == nil {
			o.look()
			time.Sleep(sampleEvery)
		}
	}()
	return o
}

// look looks at which keys two targets hold.
func (o *owners) look() {
	held := make(map[int]*target)
	both := make(map[[2]*target]int)
	for _, t := range o.targets {
		t.mu.Lock()
		for key := 0; key < len(t.keys); key += sampleStep {
			if !t.holds(key) {
				continue
			}
			if other := held[key]; other != nil {
				both[[2]*target{other, t}] = key
			}
			held[key] = t
		}
		t.mu.Unlock()
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	for pair, key := range both {
		if _, known := o.since[pair]; !known {
			o.since[pair] = time.Now()
			o.record.line("%s and %s both hold keys, such as %d", pair[0].id, pair[1].id, key)
		}
		o.longest = max(o.longest, time.Since(o.since[pair]))
	}
	for pair, since := range o.since {
		if _, still := both[pair]; !still {
			o.record.line("%s and %s no longer hold the same keys, after %d ms", pair[0].id, pair[1].id, time.Since(since).Milliseconds())
			delete(o.since, pair)
		}
	}
}

// noteRun notes that a request has begun to run at a target.
func (o *owners) noteRun(t *target, key int, id string) {
	for _, other := range o.targets {
		if other == t {
			continue
		}
		other.mu.Lock()
		holds := other.holds(key)
		other.mu.Unlock()
		if !holds {
			continue
		}
		o.mu.Lock()
		o.began[[2]*target{t, other}]++
		if o.lines++; o.lines <= ownerLines {
			o.record.line("%s runs %s for key %d, which %s holds too", t.id, id, key, other.id)
		}
		o.mu.Unlock()
	}
}

// broken reports whether two targets have held the same keys for too long, or have both begun requests on such keys.
func (o *owners) broken() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	bothBegan := false
	for pair, n := range o.began {
		if other := o.began[[2]*target{pair[1], pair[0]}]; other > 0 {
			bothBegan = true
			o.record.line("while both held them, %s began %d requests on keys of %s, and that %d", pair[0].id, n, pair[1].id, other)
		}
	}
	o.record.line("two targets held the same keys for %d ms at most", o.longest.Milliseconds())
	return bothBegan || o.longest > heldTogether
}
