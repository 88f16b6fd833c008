package main

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

const (
	// restartGap is the time between the two SIGTERMs.
	restartGap = 2800 * time.Millisecond
	// signOffAfter is when the sign-offs are sent, counted from the first SIGTERM: 2.3 s after the second one.
	signOffAfter = 5100 * time.Millisecond
)

// rollingRestart: two hosts are restarted in turn. The second one is stopped while the first one, through which its sign-offs
// go, is starting again.
func rollingRestart(w *world, trouble bool) {
	w.configure(1, object{
		"read": route("/read/", "safe", "revize", 5), "sign": route("/sign/", "unsafe", "revize", 2.5), "arch": route("/arch/", "safe", "archiv", 5),
	})
	for i := range 4 {
		t := w.newTarget(fmt.Sprintf("i-rev%d", i), "revize", "olomouc", true)
		t.slots, t.work, t.behave = 4, 100*time.Millisecond, workLong
	}
	second := w.newHost("front-0", "brno-sever", 0)
	first := w.newHost("front-1", "olomouc", 1)
	steady := w.newHost("front-2", "brno-sever", 2)
	w.awaitReady()
	time.Sleep(4 * time.Second)
	stop := time.Now().Add(18 * time.Second)
	var callers sync.WaitGroup
	for i := range 8 {
		callers.Go(func() {
			client := newCaller(steady)
			for n := 0; time.Now().Before(stop); n++ {
				client.send(http.MethodPost, "/sign/short", w.id("q"), (i+8*n)*8191%keyCount, 3*time.Second, "signed off")
				time.Sleep(20 * time.Millisecond)
			}
		})
	}
	var clients []*caller
	for i := range 4 {
		client := newCaller(second)
		client.send(http.MethodGet, "/read/short", w.id("k"), i*16384, 3*time.Second, "")
		clients = append(clients, client)
	}
	time.Sleep(3 * time.Second)
	began := time.Now()
	if trouble {
		first.signal(syscall.SIGTERM)
		time.Sleep(restartGap)
		second.signal(syscall.SIGTERM)
		<-first.exited
		time.Sleep(restartDelay)
		first.start()
	}
	time.Sleep(time.Until(began.Add(signOffAfter)))
	var mu sync.Mutex
	broken, asked := 0, 0
	var long sync.WaitGroup
	for i, client := range clients {
		long.Go(func() {
			id := w.id("long")
			got := client.send(http.MethodPost, "/sign/long", id, i*16384, 5*time.Second, "signed off")
			mu.Lock()
			defer mu.Unlock()
			asked++
			if trouble && len(w.runsOf(id)) > 0 && got.status != 200 {
				broken++
				w.record("LOST", "request", id, "status", got.status, "after_ms", got.took.Milliseconds(), "runs", len(w.runsOf(id)))
			}
		})
	}
	long.Wait()
	callers.Wait()
	w.finish(broken > 0, fmt.Sprintf("%d of %d sign-offs at which a target was at work got another answer after the SIGTERM", broken, asked))
}
