package main

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	slots       = 4
	queueLength = 16
	workTime    = 8 * time.Millisecond

	beat = 870 * time.Millisecond
)

// grantState is what a target knows of one key. until is in Unix nanoseconds.
type grantState struct {
	fence uint64
	until int64
}

// target is a stand-in of a target: a server of one service, divided by key or not.
type target struct {
	id, service, zone, addr string
	sharded                 bool
	store                   *store
	// record gets a line for each request that runs; it may be nil.
	record *record
	born   int64

	// onRun is called when a request for a key has begun to run; it may be nil.
	onRun func(key int, id string)
	// onGrant is called with each grant that the target takes; it may be nil. The lock is held.
	onGrant func(first, last int, fence uint64)

	mu     sync.Mutex
	server *http.Server
	// down says that the target has crashed and is not back yet, and isolated that it does not reach the store.
	down, isolated bool
	sequence       int
	keys           [65536]grantState
	running        map[int]int
	waiting        int
	slots          chan struct{}
	// ran holds the request line of each request that has begun to run, by its X-Attempt-Id.
	ran map[string]string
}

// newTarget starts a target and registers it until the process ends.
func newTarget(s *store, rec *record, id, service, zone string, sharded bool) *target {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	check(err, "target")
	t := &target{
		id: id, service: service, zone: zone, addr: listener.Addr().String(), sharded: sharded, store: s, record: rec,
		born: time.Now().UnixMilli(), running: make(map[int]int), slots: make(chan struct{}, slots), ran: make(map[string]string),
	}
	t.serve(listener)
	go func() {
		for {
			t.register()
			time.Sleep(beat)
		}
	}()
	return t
}

func (t *target) register() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.down || t.isolated {
		return
	}
	t.sequence++
	t.store.write("keyed.servers", t.id, map[string]any{
		"service": t.service, "address": t.addr, "zone": t.zone, "version": "v1", "concurrency": slots, "state": "ready",
		"warmup_left_s": 0, "sequence": t.sequence, "born": t.born,
	})
}

// serve starts to answer on the listener.
func (t *target) serve(listener net.Listener) {
	t.server = &http.Server{Handler: t}
	go t.server.Serve(listener)
}

// cut cuts the target off from the store, which removes its entry after some heartbeats, and from all who reach it at its address.
func (t *target) cut() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.isolated = true
	t.server.Close()
	time.AfterFunc(heartbeats*beat, func() { t.store.write("keyed.servers", t.id, nil) })
}

// heal ends the cut.
func (t *target) heal() {
	listener, err := net.Listen("tcp", t.addr)
	check(err, "listen")
	t.mu.Lock()
	t.isolated = false
	t.serve(listener)
	t.mu.Unlock()
	t.register()
}

// restart crashes the target, and starts it again after a while at the same address, under the same id or a new one. It then holds and
// knows nothing of before, and its counts start anew. The entry of an id that is not used any more is removed after some heartbeats.
func (t *target) restart(after time.Duration, id string) {
	t.mu.Lock()
	t.down = true
	t.server.Close()
	if former := t.id; former != id {
		time.AfterFunc(heartbeats*beat, func() { t.store.write("keyed.servers", former, nil) })
	}
	t.id = id
	t.mu.Unlock()
	time.Sleep(after)
	listener, err := net.Listen("tcp", t.addr)
	check(err, "restart of a target")
	t.mu.Lock()
	t.keys = [65536]grantState{}
	t.born = time.Now().UnixMilli()
	t.sequence = 0
	t.down = false
	t.serve(listener)
	t.mu.Unlock()
	t.register()
}

// ServeHTTP implements http.Handler.
func (t *target) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	switch r.URL.Path {
	case "/health":
		w.Header().Set("X-Instance-Id", t.id)
	case "/grant", "/release":
		t.order(w, r, body)
	default:
		t.request(w, r)
	}
}

// order carries out a grant or a release.
func (t *target) order(w http.ResponseWriter, r *http.Request, body []byte) {
	var call struct {
		First int     `json:"start_key"`
		Last  int     `json:"target"`
		Fence uint64  `json:"fence"`
		Hold  float64 `json:"hold_s"`
	}
	if json.Unmarshal(body, &call) != nil || call.First < 0 || call.Last > 65535 || call.First > call.Last {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if r.URL.Path == "/release" {
		for key := call.First; key <= call.Last; key++ {
			t.keys[key] = grantState{fence: max(t.keys[key].fence, call.Fence)}
		}
		for t.busy(call.First, call.Last) {
			t.mu.Unlock()
			time.Sleep(2 * time.Millisecond)
			t.mu.Lock()
		}
		w.Header().Set("X-Handover", fmt.Sprintf("%016x", rand.Uint64()))
		return
	}
	for key := call.First; key <= call.Last; key++ {
		if t.keys[key].fence > call.Fence {
			w.WriteHeader(http.StatusConflict)
			return
		}
	}
	if t.onGrant != nil {
		t.onGrant(call.First, call.Last, call.Fence)
	}
	until := time.Now().UnixNano() + int64(min(call.Hold, 10)*float64(time.Second))
	for key := call.First; key <= call.Last; key++ {
		t.keys[key] = grantState{call.Fence, until}
	}
}

// busy reports whether a request for one of the keys runs. The caller holds the lock.
func (t *target) busy(first, last int) bool {
	for key := range t.running {
		if key >= first && key <= last {
			return true
		}
	}
	return false
}

// holds reports whether the target holds a key. The caller holds the lock.
func (t *target) holds(key int) bool {
	return !t.sharded || key >= 0 && key < len(t.keys) && time.Now().UnixNano() < t.keys[key].until
}

// request runs a request or rejects it.
func (t *target) request(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Attempt-Id")
	if id == "" {
		t.reject(w, http.StatusBadRequest)
		return
	}
	w.Header().Set("X-Attempt-Id", id)
	key, err := strconv.Atoi(r.Header.Get("X-Shard-Key"))
	if err != nil {
		key = -1
	}
	expected := r.Header.Get("X-Expect-Instance")
	t.mu.Lock()
	full := t.waiting >= queueLength
	if expected != "" && expected != t.id || !t.holds(key) {
		t.mu.Unlock()
		t.reject(w, http.StatusMisdirectedRequest)
		return
	}
	if full {
		t.mu.Unlock()
		t.reject(w, http.StatusServiceUnavailable)
		return
	}
	t.waiting++
	t.mu.Unlock()
	t.slots <- struct{}{}
	t.mu.Lock()
	t.waiting--
	t.running[key]++
	t.ran[id] = r.Method + " " + r.RequestURI
	t.mu.Unlock()
	if t.onRun != nil {
		t.onRun(key, id)
	}
	if t.record != nil {
		t.record.line("target %s runs %s: %s %s", t.id, id, r.Method, r.RequestURI)
	}
	time.Sleep(workTime)
	<-t.slots
	t.mu.Lock()
	if t.running[key]--; t.running[key] == 0 {
		delete(t.running, key)
	}
	load := fmt.Sprintf("%d,%d,%d,100", len(t.slots), t.waiting, slots)
	t.mu.Unlock()
	w.Header().Set("X-Instance-Load", load)
	w.Header().Set("X-Response-Signature", "sig."+id)
	io.WriteString(w, "answer to "+id)
}

// reject says that a request has not run.
func (t *target) reject(w http.ResponseWriter, status int) {
	w.Header().Set("X-Not-Executed", "1")
	w.WriteHeader(status)
}

// ranAs returns the services and request lines under which targets have begun to run a request.
func ranAs(targets []*target, id string) []string {
	var lines []string
	for _, t := range targets {
		t.mu.Lock()
		if line, ok := t.ran[id]; ok {
			lines = append(lines, t.service+" "+line)
		}
		t.mu.Unlock()
	}
	return lines
}
