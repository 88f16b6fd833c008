package main

import (
	"fmt"
	"time"
)

const (
	// lives is the number of crashes, downFor how long the target is down, and lifeFor the time between two crashes.
	lives   = 8
	downFor = 500 * time.Millisecond
	lifeFor = 6 * time.Second
)

// life crashes a target that starts again at once at its address, by turns under a new id and under the id that it had, and looks at the
// fencing tokens of the grants that its next life takes: they must be above all that the former life had for the same keys.
func life(w *world) bool {
	w.startDeployment()
	time.Sleep(lifeFor)
	t := w.targets[0]
	broken := false
	for n := range lives {
		var former [65536]grantState
		t.mu.Lock()
		former = t.keys
		formerID, id := t.id, t.id
		if n%2 == 0 {
			id = fmt.Sprintf("i-revize-life-%d", n+2)
		}
		first := true
		t.onGrant = func(from, to int, fence uint64) {
			for key := from; key <= to; key++ {
				if !first || former[key].fence < fence {
					continue
				}
				first, broken = false, true
				w.record.line("life %d, %s, takes keys %d to %d with fence %d; the former life, %s, had fence %d for key %d", n+2, id, from, to, fence, formerID, former[key].fence, key)
			}
		}
		t.mu.Unlock()
		if w.trouble {
			w.record.line("%s crashes", formerID)
			t.restart(downFor, id)
			w.record.line("%s is started", id)
		} else {
			t.mu.Lock()
			t.onGrant = nil
			t.mu.Unlock()
		}
		time.Sleep(lifeFor)
	}
	return broken
}
