package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"
)

const (
	keyCount = 65536
	// heartbeat is the time between two entries of a target. After three without one its entry is removed.
	heartbeat = 870 * time.Millisecond
	// firstBeat is the time from the start of a target during traffic to its first entry.
	firstBeat = 300 * time.Millisecond
	slots     = 4
	workTime  = 20 * time.Millisecond
	// warmup is how long a target is cold that starts during traffic.
	warmup = 3 * time.Second
)

// target is a stand-in for a backend server as PROTOCOL.md describes it. Its lives follow each other at one address. world.mu guards
// its fields.
type target struct {
	world             *world
	id, service, zone string
	keyless           bool
	addr              string
	// life is the present one, or nil while the target is down.
	life *life
	// silent counts the heartbeats that the target has missed.
	silent int
}

// life is one lifetime of a target.
type life struct {
	target   *target
	born     time.Time
	cold     bool
	sequence int
	draining bool
	server   *http.Server
	seen     [keyCount]uint64
	until    [keyCount]time.Time
	running  map[int]int
	// granted is when the last grant arrived.
	granted time.Time
}

func (l *life) name() string { return fmt.Sprintf("%s born %d", l.target.id, l.born.UnixMilli()) }

// holds reports whether the life holds a key. The caller holds world.mu.
func (l *life) holds(key int, now time.Time) bool { return now.Before(l.until[key]) }

// start begins a new life. A cold one has started during traffic.
func (t *target) start(cold bool) error {
	addr := t.addr
	if addr == "" {
		addr = t.world.targetIP + ":0"
	}
	var listener net.Listener
	var err error
	for range 100 {
		if listener, err = net.Listen("tcp", addr); err == nil {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	if err != nil {
		return err
	}
	l := &life{target: t, born: time.Now(), cold: cold, running: make(map[int]int)}
	l.server = &http.Server{Handler: l}
	t.world.mu.Lock()
	t.addr = listener.Addr().String()
	t.life = l
	t.silent = 0
	t.world.lives = append(t.world.lives, l)
	t.world.mu.Unlock()
	t.world.record.note("target %s (%s) starts at %s", l.name(), t.service, t.addr)
	go l.server.Serve(listener)
	if cold {
		time.AfterFunc(firstBeat, t.beat)
		return nil
	}
	t.beat()
	return nil
}

// crash ends the present life at once: its connections break, and what it ran is lost.
func (t *target) crash() {
	t.world.mu.Lock()
	l := t.life
	t.life = nil
	t.world.mu.Unlock()
	t.world.record.note("target %s ends", l.name())
	l.server.Close()
}

// beat writes the entry of the target, or removes that of one that has been silent for three heartbeats.
func (t *target) beat() {
	t.world.mu.Lock()
	l := t.life
	if l == nil {
		t.silent++
		expired := t.silent == 3
		t.world.mu.Unlock()
		if expired {
			t.world.store.write(topicServers, t.id, nil)
		}
		return
	}
	l.sequence++
	state := "ready"
	if l.draining {
		state = "draining"
	}
	left := 0.0
	if l.cold {
		left = max((warmup - time.Since(l.born)).Seconds(), 0)
	}
	entry := map[string]any{
		"service": t.service, "address": t.addr, "zone": t.zone, "version": "v1", "concurrency": slots, "state": state,
		"warmup_left_s": left, "sequence": l.sequence, "born": l.born.UnixMilli(),
	}
	t.world.mu.Unlock()
	t.world.store.write(topicServers, t.id, entry)
}

// ServeHTTP implements http.Handler.
func (l *life) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	switch {
	case r.Header.Get("X-Expect-Instance") != "" && r.Header.Get("X-Expect-Instance") != l.target.id:
		w.Header().Set("X-Instance-Id", l.target.id)
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
	case r.URL.Path == "/grant":
		l.grant(w, body)
	case r.URL.Path == "/release":
		l.release(w, body)
	default:
		l.answer(w, r, body)
	}
}

// keyCall is the body of a grant or a release.
type keyCall struct {
	First    int     `json:"start_key"`
	Last     int     `json:"target"`
	Fence    uint64  `json:"fence"`
	HoldS    float64 `json:"hold_s"`
	Handover string  `json:"handover"`
}

func (l *life) grant(w http.ResponseWriter, body []byte) {
	var call keyCall
	if json.Unmarshal(body, &call) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	world := l.target.world
	world.mu.Lock()
	defer world.mu.Unlock()
	for key := call.First; key <= call.Last; key++ {
		if l.seen[key] > call.Fence {
			w.WriteHeader(http.StatusConflict)
			return
		}
	}
	now := time.Now()
	l.granted = now
	until := now.Add(time.Duration(call.HoldS * float64(time.Second)))
	news, stale, staleAt := false, 0, 0
	var former *life
	for key := call.First; key <= call.Last; key++ {
		news = news || l.seen[key] != call.Fence
		if world.lastHolder[key] != nil && world.lastHolder[key] != l && call.Fence <= world.lastFence[key] {
			stale, staleAt, former = stale+1, key, world.lastHolder[key]
		}
		l.seen[key] = call.Fence
		l.until[key] = until
		if call.Fence >= world.lastFence[key] {
			world.lastFence[key], world.lastHolder[key] = call.Fence, l
		}
	}
	if news {
		world.record.note("target %s takes keys %d-%d with fence %d for %g s", l.name(), call.First, call.Last, call.Fence, call.HoldS)
	}
	if stale > 0 {
		world.onStale(l, former, call, stale, staleAt)
	}
}

func (l *life) release(w http.ResponseWriter, body []byte) {
	var call keyCall
	if json.Unmarshal(body, &call) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	world := l.target.world
	world.mu.Lock()
	for key := call.First; key <= call.Last; key++ {
		l.seen[key] = max(l.seen[key], call.Fence)
		l.until[key] = time.Time{}
	}
	world.mu.Unlock()
	world.record.note("target %s gives up keys %d-%d, fence %d", l.name(), call.First, call.Last, call.Fence)
	for l.busy(call) {
		time.Sleep(time.Millisecond)
	}
	w.Header().Set("X-Handover", "h"+strconv.FormatUint(call.Fence, 10))
}

// busy reports whether work on the keys is in progress.
func (l *life) busy(call keyCall) bool {
	l.target.world.mu.Lock()
	defer l.target.world.mu.Unlock()
	for key := range l.running {
		if key >= call.First && key <= call.Last {
			return true
		}
	}
	return false
}

// answer runs a request if the target holds its key.
func (l *life) answer(w http.ResponseWriter, r *http.Request, body []byte) {
	id := r.Header.Get("X-Attempt-Id")
	key, err := strconv.Atoi(r.Header.Get("X-Shard-Key"))
	w.Header().Set("X-Attempt-Id", id)
	world := l.target.world
	world.mu.Lock()
	if !l.target.keyless && (err != nil || !l.holds(key, time.Now())) {
		world.mu.Unlock()
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if l.target.keyless {
		key = -1
	} else {
		l.running[key]++
	}
	world.mu.Unlock()
	world.onRun(l, r, key, body)
	time.Sleep(workTime)
	world.mu.Lock()
	ended := l.target.life != l
	if key >= 0 {
		if l.running[key]--; l.running[key] == 0 {
			delete(l.running, key)
		}
	}
	load := fmt.Sprintf("%d,0,%d", len(l.running), slots)
	world.mu.Unlock()
	if ended {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("X-Response-Signature", "signed."+id)
	w.Header().Set("X-Instance-Load", load)
	io.WriteString(w, "ran "+id)
}

// runBeats writes the entries of a target until the program ends.
func (t *target) runBeats() {
	for {
		time.Sleep(heartbeat)
		t.beat()
	}
}
