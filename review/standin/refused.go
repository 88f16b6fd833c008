package main

import (
	"fmt"
	"math/rand"
	"net/http"
	"sync"
	"time"
)

// failWith503 makes a target fail a part of the requests that it has run: it answers 503 without X-Not-Executed.
func failWith503(part float64) func(*target, http.ResponseWriter, *http.Request, string) bool {
	return func(t *target, rw http.ResponseWriter, _ *http.Request, id string) bool {
		if rand.Float64() >= part {
			return false
		}
		time.Sleep(t.work)
		t.world.record("run ends", "request", id, "target", t.id, "status", 503)
		rw.Header().Set("X-Response-Signature", "failed."+id)
		rw.WriteHeader(http.StatusServiceUnavailable)
		fmt.Fprintln(rw, "failed while it ran")
		return true
	}
}

// refusedAfterRun: one of eight targets fails a part of the requests that it has run.
func refusedAfterRun(w *world, trouble bool) {
	w.configure(1, object{
		"read": route("/read/", "safe", "revize", 2), "sign": route("/sign/", "unsafe", "revize", 2), "arch": route("/arch/", "safe", "archiv", 2.5),
	})
	zones := []string{"brno-sever", "olomouc"}
	for i := range 8 {
		t := w.newTarget(fmt.Sprintf("i-rev%d", i), "revize", zones[i%2], true)
		if i == 0 && trouble {
			t.behave = failWith503(0.45)
		}
	}
	for i := range 4 {
		w.newHost(fmt.Sprintf("front-%d", i), zones[i%2], i)
	}
	w.awaitReady()
	time.Sleep(4 * time.Second)
	var mu sync.Mutex
	refused, asked := 0, 0
	var callers sync.WaitGroup
	for i := range 8 {
		callers.Go(func() {
			client := newCaller(w.hosts[i%len(w.hosts)])
			for n := range 40 {
				id := w.id("s")
				got := client.send(http.MethodPost, "/sign/sheet", id, (i*40+n)*204%keyCount, 3*time.Second, "signed off")
				// What runs later counts too.
				time.Sleep(100 * time.Millisecond)
				mu.Lock()
				asked++
				if runs := w.runsOf(id); len(runs) > 0 && (got.status == 503 || got.status == 429 || got.status == 408 || got.status == 421) {
					refused++
					w.record("REFUSED", "request", id, "status", got.status, "ran_at", runs[0].target, "times", len(runs))
				}
				mu.Unlock()
			}
		})
	}
	callers.Wait()
	w.finish(refused > 0, fmt.Sprintf("%d of %d sign-offs were answered with a promise that they have not run and had run", refused, asked))
}
