package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const keyCount = 65536

// target is a stand-in for a backend server. Behave, if it is set, may answer a request in the target's place and then
// returns true.
type target struct {
	world         *world
	id, service   string
	zone          string
	keyed         bool
	slots         int
	work          time.Duration
	behave        func(t *target, w http.ResponseWriter, r *http.Request, id string) bool
	behaveRelease func(t *target, w http.ResponseWriter, r *http.Request) bool
	behaveGrant   func(t *target, w http.ResponseWriter, r *http.Request) bool
	addr          string
	server        *http.Server
	queue         chan struct{}
	mu            sync.Mutex
	up            bool
	draining      bool
	born          int64
	sequence      int
	fence         [keyCount]uint64
	until         [keyCount]time.Time
	running       map[int]int
	runningOthers int
}

func (w *world) newTarget(id, service, zone string, keyed bool) *target {
	t := &target{world: w, id: id, service: service, zone: zone, keyed: keyed, slots: 4, work: 20 * time.Millisecond}
	t.start()
	w.targets = append(w.targets, t)
	return t
}

// start begins a new life.
func (t *target) start() {
	addr := t.addr
	if addr == "" {
		addr = t.world.ip(200) + ":0"
	}
	listener, err := net.Listen("tcp", addr)
	check(err)
	t.mu.Lock()
	t.addr = listener.Addr().String()
	t.up, t.draining = true, false
	t.born, t.sequence = time.Now().UnixMilli(), 0
	t.fence, t.until = [keyCount]uint64{}, [keyCount]time.Time{}
	t.running = make(map[int]int)
	t.queue = make(chan struct{}, t.slots)
	t.server = &http.Server{Handler: t}
	server := t.server
	t.mu.Unlock()
	t.world.record("target up", "id", t.id, "born", t.born, "addr", t.addr)
	go server.Serve(listener)
	t.publish()
}

func (t *target) stop() {
	t.mu.Lock()
	t.up = false
	server := t.server
	t.mu.Unlock()
	server.Close()
	t.world.record("target down", "id", t.id)
}

func (t *target) publish() {
	t.mu.Lock()
	if !t.up {
		t.mu.Unlock()
		return
	}
	t.sequence++
	state := "ready"
	if t.draining {
		state = "draining"
	}
	entry := map[string]any{
		"service": t.service, "address": t.addr, "zone": t.zone, "version": "1", "concurrency": t.slots, "state": state,
		"warmup_left_s": 0, "sequence": t.sequence, "born": t.born,
	}
	t.mu.Unlock()
	t.world.store.write("keyed.servers", t.id, entry)
}

func (t *target) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.Method == http.MethodPost && r.URL.Path == "/grant":
		if t.behaveGrant == nil || !t.behaveGrant(t, w, r) {
			t.grant(w, r)
		}
	case r.Method == http.MethodPost && r.URL.Path == "/release":
		if t.behaveRelease == nil || !t.behaveRelease(t, w, r) {
			t.release(w, r)
		}
	case r.URL.Path == "/health":
		w.Header().Set("X-Instance-Id", t.id)
	default:
		t.serve(w, r)
	}
}

type keyCall struct {
	First int     `json:"start_key"`
	Last  int     `json:"target"`
	Fence uint64  `json:"fence"`
	HoldS float64 `json:"hold_s"`
}

func (t *target) grant(w http.ResponseWriter, r *http.Request) {
	var call keyCall
	if json.NewDecoder(r.Body).Decode(&call) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if expect := r.Header.Get("X-Expect-Instance"); expect != "" && expect != t.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	now := time.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	for key := call.First; key <= call.Last; key++ {
		if t.fence[key] > call.Fence {
			w.WriteHeader(http.StatusConflict)
			return
		}
	}
	fresh := t.fence[call.First] != call.Fence
	for key := call.First; key <= call.Last; key++ {
		t.fence[key], t.until[key] = call.Fence, now.Add(time.Duration(call.HoldS*float64(time.Second)))
	}
	if fresh {
		t.world.record("granted", "id", t.id, "born", t.born, "first", call.First, "last", call.Last, "fence", call.Fence)
	}
}

func (t *target) release(w http.ResponseWriter, r *http.Request) {
	var call keyCall
	if json.NewDecoder(r.Body).Decode(&call) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	t.mu.Lock()
	for key := call.First; key <= call.Last; key++ {
		t.fence[key], t.until[key] = max(t.fence[key], call.Fence), time.Time{}
	}
	t.mu.Unlock()
	for {
		busy := false
		t.mu.Lock()
		for key, n := range t.running {
			busy = busy || n > 0 && key >= call.First && key <= call.Last
		}
		t.mu.Unlock()
		if !busy {
			break
		}
		time.Sleep(2 * time.Millisecond)
	}
	t.world.record("released", "id", t.id, "first", call.First, "last", call.Last, "fence", call.Fence)
	w.Header().Set("X-Handover", fmt.Sprintf("h%d", call.Fence))
}

// serve runs a request if the target holds its key and has a slot.
func (t *target) serve(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Attempt-Id")
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	w.Header().Set("X-Attempt-Id", id)
	key, _ := strconv.Atoi(r.Header.Get("X-Shard-Key"))
	t.mu.Lock()
	holds := !t.keyed || time.Now().Before(t.until[key])
	t.mu.Unlock()
	if expect := r.Header.Get("X-Expect-Instance"); expect != "" && expect != t.id || !holds {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		t.world.record("not run", "request", id, "target", t.id, "status", 421)
		return
	}
	left, _ := strconv.Atoi(r.Header.Get("X-Deadline-Ms"))
	if left <= 0 {
		left = 60000
	}
	budget := time.Now().Add(time.Duration(left) * time.Millisecond)
	select {
	case t.queue <- struct{}{}:
		defer func() { <-t.queue }()
	case <-time.After(time.Until(budget)):
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case <-r.Context().Done():
		return
	}
	t.mu.Lock()
	t.running[key]++
	born := t.born
	t.mu.Unlock()
	defer func() {
		t.mu.Lock()
		t.running[key]--
		t.mu.Unlock()
	}()
	t.world.recordRun(id, t.id, born, r.Method, r.RequestURI, string(body))
	if t.behave != nil && t.behave(t, w, r, id) {
		return
	}
	select {
	case <-time.After(min(t.work, time.Until(budget))):
	case <-r.Context().Done():
		return
	}
	if time.Now().After(budget) {
		w.Header().Set("X-Response-Signature", "late."+id)
		w.WriteHeader(http.StatusGatewayTimeout)
		return
	}
	t.answer(w, id)
}

func (t *target) answer(w http.ResponseWriter, id string) {
	w.Header().Set("X-Response-Signature", "sig."+id)
	w.Header().Set("X-Instance-Load", fmt.Sprintf("%d,0,%d", len(t.queue), t.slots))
	io.WriteString(w, "answer to "+id)
}
