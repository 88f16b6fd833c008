package main

import "time"

const (
	// lives is the number of crashes, downFor how long the target is down, and lifeFor the time between two crashes.
	lives   = 8
	downFor = 300 * time.Millisecond
	lifeFor = 6 * time.Second
)

// life crashes a target that starts again at once under the id that it had, and looks at the fencing tokens of the grants that its next
// life takes: they must be above all that the former life had for the same keys.
func life(w *world) bool {
	w.startDeployment()
	time.Sleep(lifeFor)
	t := w.targets[0]
	broken := false
	for n := range lives {
		var former [65536]grantState
		t.mu.Lock()
		former = t.keys
		first := true
		t.onGrant = func(from, to int, fence uint64) {
			for key := from; key <= to; key++ {
				if !first || former[key].fence < fence {
					continue
				}
				first, broken = false, true
				w.record.line("life %d of %s takes keys %d to %d with fence %d; its former life had fence %d for key %d", n+2, t.id, from, to, fence, former[key].fence, key)
			}
		}
		t.mu.Unlock()
		if w.trouble {
			w.record.line("%s crashes", t.id)
			t.restart(downFor)
			w.record.line("%s is back", t.id)
		} else {
			t.mu.Lock()
			t.onGrant = nil
			t.mu.Unlock()
		}
		time.Sleep(lifeFor)
	}
	return broken
}
