package main

import (
	"context"
	"time"
)

func init() { scenarios["flap"] = flap }

const (
	// flapTargets is the number of targets. One in ten goes down and up.
	flapTargets = 10
	// flapPeriod is the time between two starts of a target that goes down and up by turns, and flapDown the part of it for which it is down.
	flapPeriod  = 1000 * time.Millisecond
	flapDown    = 250 * time.Millisecond
	flaps       = 2
	silentAfter = 900 * time.Millisecond
	// renewal is the time between two renewals of a grant by one host.
	renewal = 800 * time.Millisecond
	// silentFor is how long the store does not answer a host.
	silentFor = 9 * time.Second
)

// flap lets a target go down and up by turns, under the same ID, while the store does not answer one host. No two targets may hold the same
// keys, and none may take keys with a fence that is not above that of another target. A fence of a former life of the same target is only
// noted: an earlier case shows that.
func flap(w *world, trouble bool) error {
	w.onStale = func(l, former *life, call keyCall, keys, example int) {
		note := w.record.note
		if former.target != l.target {
			note = w.record.violation
		}
		note("OWNER: %s takes keys %d-%d with fence %d, which is not above that with which %s had %d of them, such as key %d", l.name(),
			call.First, call.Last, call.Fence, former.name(), keys, example)
	}
	w.onRun = w.noteRun
	if err := w.startAll(flapTargets, 0); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), 25*time.Second)
	defer cancel()
	go w.watchHolders(ctx)
	if trouble {
		go w.flapInTheZoneOfASilentReader(ctx)
	}
	w.record.note("answers by status: %v", w.traffic(ctx, 25*time.Millisecond))
	return nil
}

// flapInTheZoneOfASilentReader lets a target go down and up by turns while the store does not answer the host that reads it for the target's
// zone.
func (w *world) flapInTheZoneOfASilentReader(ctx context.Context) {
	time.Sleep(3 * time.Second)
	leader := w.store.leader(w)
	zone := 0
	if leader%len(zones) == 0 {
		zone = 1
	}
	reader := w.store.lastReader([]int{zone, zone + len(zones)})
	t := w.targets[zone]
	time.Sleep(time.Until(t.nextRenewal()))
	time.AfterFunc(silentAfter, func() {
		w.record.note("%s leads; the store no longer answers %s, which reads for %s", w.hosts[leader].name, w.hosts[reader].name, zones[zone])
		w.store.setSilent(reader, true)
	})
	time.AfterFunc(silentAfter+silentFor, func() { w.store.setSilent(reader, false) })
	time.Sleep(flapPeriod - flapDown - 450*time.Millisecond)
	for range flaps {
		t.crash()
		time.Sleep(flapDown)
		if err := t.start(true); err != nil {
			w.record.note("target does not start again: %v", err)
			return
		}
		time.Sleep(flapPeriod - flapDown)
	}
}

// nextRenewal returns about when the target's grant is renewed next.
func (t *target) nextRenewal() time.Time {
	t.world.mu.Lock()
	defer t.world.mu.Unlock()
	next := t.life.granted
	for next.Before(time.Now()) {
		next = next.Add(renewal)
	}
	return next
}
