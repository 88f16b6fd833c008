package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// evacuatedService: the zone is emptied in which all targets of one service are. The other service has targets in both zones.
func evacuatedService(w *world, trouble bool) {
	w.configure(1, object{
		"read": route("/read/", "safe", "revize", 2), "sign": route("/sign/", "unsafe", "revize", 2), "arch": route("/arch/", "safe", "archiv", 2.5),
	})
	zones := []string{"brno-sever", "olomouc"}
	for i := range 4 {
		w.newTarget(fmt.Sprintf("i-rev%d", i), "revize", "olomouc", true)
	}
	for i := range 4 {
		w.newTarget(fmt.Sprintf("i-arc%d", i), "archiv", zones[i%2], false).work = 200 * time.Millisecond
	}
	for i := range 4 {
		w.newHost(fmt.Sprintf("front-%d", i), zones[i%2], i)
		go w.hosts[i].keepRunning()
	}
	w.awaitReady()
	time.Sleep(4 * time.Second)
	stop := time.Now().Add(24 * time.Second)
	var cut sync.Map
	var callers sync.WaitGroup
	for i := range 24 {
		callers.Go(func() {
			w.keepCalling(w.hosts[i%len(w.hosts)], stop, func(id string) { cut.Store(id, true) })
		})
	}
	for i := range 8 {
		callers.Go(func() {
			client := newCaller(w.hosts[i%len(w.hosts)])
			for n := 0; time.Now().Before(stop); n++ {
				client.send(http.MethodGet, "/read/sheet", w.id("r"), (i+8*n)*997%keyCount, 2*time.Second, "")
				time.Sleep(200 * time.Millisecond)
			}
		})
	}
	time.Sleep(4 * time.Second)
	if trouble {
		w.store.write("keyed.op", "evacuate/olomouc", object{})
		w.record("operator", "evacuates", "olomouc")
	}
	time.Sleep(14 * time.Second)
	if trouble {
		w.store.write("keyed.op", "evacuate/olomouc", nil)
		w.record("operator", "takes_back", "olomouc")
	}
	callers.Wait()
	lost, ends := 0, 0
	cut.Range(func(any, any) bool { lost++; return true })
	for _, h := range w.hosts {
		h.mu.Lock()
		ends += h.ends
		w.record("ended by itself", "host", h.name, "times", h.ends)
		h.mu.Unlock()
	}
	w.finish(lost > 3, fmt.Sprintf("%d requests were passed on from a kept connection to a sound target and got no answer; processes ended by themselves %d times", lost, ends))
}

// keepRunning starts the host again whenever its process has ended, as the platform does.
func (h *host) keepRunning() {
	for {
		<-h.exited
		time.Sleep(restartDelay)
		h.start()
	}
}
