package main

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// memoryMB is memory_mb of the settings: "A process that exceeds memory_mb is killed" (DEPLOY.md).
	memoryMB = 284
	// restartDelay is the short delay after which the platform starts a process again.
	restartDelay = 500 * time.Millisecond
	// streamBytesPerS bounds what one sick target sends on one connection: an eighth of a link of 1000 Mbit/s.
	streamBytesPerS = 16e6
)

// watchMemory kills a host whose resident memory exceeds the limit, and starts it again, as the platform does.
func (h *host) watchMemory(kills *sync.Map) {
	for {
		time.Sleep(10 * time.Millisecond)
		select {
		case <-h.exited:
			time.Sleep(restartDelay)
			h.start()
			continue
		default:
		}
		if mb := h.memoryMB("VmRSS"); mb > memoryMB {
			h.world.record("platform kills", "host", h.name, "rss_mb", int(mb), "limit_mb", memoryMB, "leads", h.world.store.leader() == h.name)
			n, _ := kills.LoadOrStore(h.name, 0)
			kills.Store(h.name, n.(int)+1)
			h.signal(syscall.SIGKILL)
			<-h.exited
		}
	}
}

// sendEndlessHead answers a call with header lines that never end, until the caller closes the connection.
func sendEndlessHead(t *target, rw http.ResponseWriter, r *http.Request) bool {
	conn, _, err := rw.(http.Hijacker).Hijack()
	if err != nil {
		return true
	}
	defer conn.Close()
	began := time.Now()
	sent, line := 0, 0
	write := func(text string) bool {
		n, err := conn.Write([]byte(text))
		sent += n
		return err == nil
	}
	ok := write("HTTP/1.1 200 OK\r\n")
	for ok {
		var lines strings.Builder
		for lines.Len() < 16<<10 {
			line++
			lines.WriteString(strconv.FormatInt(int64(line), 36) + ":\r\n")
		}
		ok = write(lines.String())
		time.Sleep(time.Until(began.Add(time.Duration(float64(sent) / streamBytesPerS * float64(time.Second)))))
	}
	t.world.record("caller closed", "target", t.id, "call", r.URL.Path, "bytes", sent, "ms", time.Since(began).Milliseconds())
	return true
}

// endlessHeads: three of eight targets in trouble answer releases with bytes that are no answer and never end, and are emptied.
func endlessHeads(w *world, trouble bool) {
	w.configure(1, object{
		"read": route("/read/", "safe", "revize", 2), "sign": route("/sign/", "unsafe", "revize", 2), "arch": route("/arch/", "safe", "archiv", 2.5),
	})
	zones := []string{"brno-sever", "olomouc"}
	for i := range 8 {
		w.newTarget(fmt.Sprintf("i-rev%d", i), "revize", zones[i%2], true)
	}
	for i := range 4 {
		w.newTarget(fmt.Sprintf("i-arc%d", i), "archiv", zones[i%2], false).work = 100 * time.Millisecond
	}
	for i := range 4 {
		w.newHost(fmt.Sprintf("front-%d", i), zones[i%2], i)
	}
	w.awaitReady()
	var kills sync.Map
	for _, h := range w.hosts {
		go h.watchMemory(&kills)
	}
	time.Sleep(4 * time.Second)
	stop := time.Now().Add(30 * time.Second)
	var cut []string
	var mu sync.Mutex
	var callers sync.WaitGroup
	for i := range 32 {
		callers.Go(func() {
			w.keepCalling(w.hosts[i%len(w.hosts)], stop, func(id string) {
				mu.Lock()
				defer mu.Unlock()
				cut = append(cut, id)
			})
		})
	}
	time.Sleep(4 * time.Second)
	for _, t := range w.targets[:3] {
		t.mu.Lock()
		t.draining = true
		t.mu.Unlock()
		if trouble {
			t.behaveRelease = sendEndlessHead
		}
		w.record("target leaves", "id", t.id, "endless", trouble)
		t.publish()
	}
	callers.Wait()
	total := 0
	kills.Range(func(name, n any) bool {
		w.record("killed", "host", name, "times", n)
		total += n.(int)
		return true
	})
	w.finish(len(cut) > 3, fmt.Sprintf("%d requests were passed on from a kept connection to a sound target and got no answer; the platform killed hosts %d times", len(cut), total))
}

// keepCalling sends one request after the other on a kept connection. It reports those that a sound target of archiv ran
// and whose connection was closed without an answer.
func (w *world) keepCalling(h *host, stop time.Time, onCut func(id string)) {
	client := newCaller(h)
	for time.Now().Before(stop) {
		id := w.id("c")
		got := client.send(http.MethodGet, "/arch/x", id, 0, 2500*time.Millisecond, "")
		if got.status == 0 && got.kept && !got.timeout && len(w.runsOf(id)) > 0 {
			w.record("LOST", "request", id, "ran_at", w.runsOf(id)[0].target, "host", h.name)
			onCut(id)
		}
		if got.status != 200 {
			time.Sleep(200 * time.Millisecond)
		}
	}
}
