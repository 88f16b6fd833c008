package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

// longWork is how long a target works on a request whose path has "long" in it.
const longWork = 2200 * time.Millisecond

// workLong makes a target work long on such requests, and answer them well.
func workLong(t *target, rw http.ResponseWriter, r *http.Request, id string) bool {
	if !strings.Contains(r.URL.Path, "long") {
		return false
	}
	select {
	case <-time.After(longWork):
		t.world.record("run ends", "request", id, "target", t.id, "ms", longWork.Milliseconds())
		t.answer(rw, id)
	case <-r.Context().Done():
		t.world.record("broken off", "request", id, "target", t.id)
	}
	return true
}

// silentWhileLeaving: a host is stopped in good order while targets in another zone work on requests of its callers.
func silentWhileLeaving(w *world, trouble bool) {
	w.configure(1, object{
		"read": route("/read/", "safe", "revize", 5), "sign": route("/sign/", "unsafe", "revize", 5), "arch": route("/arch/", "safe", "archiv", 5),
	})
	for i := range 4 {
		t := w.newTarget(fmt.Sprintf("i-rev%d", i), "revize", "olomouc", true)
		t.slots, t.work, t.behave = 4, 100*time.Millisecond, workLong
	}
	leaving := w.newHost("front-0", "brno-sever", 0)
	staying := w.newHost("front-1", "olomouc", 1)
	w.awaitReady()
	time.Sleep(4 * time.Second)
	stop := time.Now().Add(14 * time.Second)
	var callers sync.WaitGroup
	for i := range 8 {
		callers.Go(func() {
			client := newCaller(staying)
			for n := 0; time.Now().Before(stop); n++ {
				client.send(http.MethodGet, "/read/short", w.id("q"), (i+8*n)*8191%keyCount, 3*time.Second, "")
				time.Sleep(20 * time.Millisecond)
			}
		})
	}
	time.Sleep(3 * time.Second)
	var mu sync.Mutex
	broken, asked := 0, 0
	var long sync.WaitGroup
	for i := range 4 {
		long.Go(func() {
			client := newCaller(leaving)
			client.send(http.MethodGet, "/read/short", w.id("k"), i*16384, 3*time.Second, "")
			id := w.id("long")
			got := client.send(http.MethodGet, "/read/long", id, i*16384, 5*time.Second, "")
			mu.Lock()
			defer mu.Unlock()
			asked++
			if trouble && len(w.runsOf(id)) > 0 && got.status != 200 {
				broken++
				w.record("LOST", "request", id, "status", got.status, "after_ms", got.took.Milliseconds(), "runs", len(w.runsOf(id)))
			}
		})
	}
	time.Sleep(300 * time.Millisecond)
	if trouble {
		leaving.signal(syscall.SIGTERM)
	}
	long.Wait()
	callers.Wait()
	w.finish(broken > 0, fmt.Sprintf("%d of %d requests at which a target was at work got another answer after the SIGTERM", broken, asked))
}
