package main

import (
	"fmt"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"
)

// Names of the small deployment that all scripts use.
const (
	domain         = "brana.example"
	keyedService   = "revize"
	keylessService = "archiv"
	unsafePrefix   = "/podpis/"
	safePrefix     = "/nahled/"
	archivePrefix  = "/archiv/"
)

// hostCount is the number of hosts.
const hostCount = 4

var zones = []string{"brno-sever", "brno-jih"}

// world is a small deployment: a store, targets and hosts.
type world struct {
	dir      string
	record   *record
	store    *store
	targetIP string
	hosts    []*host
	targets  []*target

	mu sync.Mutex
	// lives holds all lifetimes of targets.
	lives []*life
	// lastFence and lastHolder hold the highest fence with which each key was taken, and by which lifetime.
	lastFence  [keyCount]uint64
	lastHolder [keyCount]*life
	// runs counts the runs of each request by its ID.
	runs map[string]int

	// onStale is called with world.mu held if a lifetime takes keys with a fence that is not above that of another one.
	onStale func(l, former *life, call keyCall, keys, example int)
	// onRun is called when a target begins to run a request.
	onRun func(l *life, r *http.Request, key int, body []byte)
}

// newWorld starts the store and writes the first configuration.
func newWorld(dir string, rec *record) (*world, error) {
	network, err := freeNetwork()
	if err != nil {
		return nil, err
	}
	w := &world{dir: dir, record: rec, targetIP: network + "200", runs: make(map[string]int)}
	w.onStale = func(_, _ *life, _ keyCall, _, _ int) {}
	w.onRun = func(_ *life, r *http.Request, _ int, _ []byte) { w.countRun(r.Header.Get("X-Attempt-Id")) }
	if w.store, err = newStore(network+"201", hostCount); err != nil {
		return nil, err
	}
	w.store.write(topicOrders, "config", config(7))
	for i := range hostCount {
		zone := zones[i%len(zones)]
		h, err := newHost(w, fmt.Sprintf("front-%s-%d", zone, 1+i/len(zones)), fmt.Sprintf("%s%d", network, 11+i), zone, w.store.addrs[i])
		if err != nil {
			return nil, err
		}
		w.hosts = append(w.hosts, h)
	}
	return w, nil
}

// countRun counts a run of a request and returns the number of its runs.
func (w *world) countRun(id string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.runs[id]++
	return w.runs[id]
}

// config returns a configuration.
func config(version int) map[string]any {
	route := func(prefix, kind, service string, timeout, aim float64, priority, attempts int) map[string]any {
		return map[string]any{
			"host": domain, "path_prefix": prefix, "route_type": kind, "timeout_s": timeout, "aim_s": aim, "priority": priority,
			"service": service, "max_attempts": attempts,
		}
	}
	service := func(sharded bool) map[string]any {
		return map[string]any{
			"max_connections": 130, "health_path": "/health", "warmup_s": warmup.Seconds(), "warmup_per_s": 8.1, "sharded": sharded,
		}
	}
	return map[string]any{
		"version": fmt.Sprintf("r%d", version),
		"routes": map[string]any{
			"r-podpis": route(unsafePrefix, "unsafe", keyedService, 1.5, 0.5, 1, 2),
			"r-nahled": route(safePrefix, "safe", keyedService, 1.2, 0.4, 2, 2),
			"r-archiv": route(archivePrefix, "safe", keylessService, 2.5, 0.8, 2, 2),
		},
		"services": map[string]any{keyedService: service(true), keylessService: service(false)},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 1048576, "header_timeout_s": 5, "idle_timeout_s": 10},
	}
}

// addTarget starts a target before the traffic.
func (w *world) addTarget(service, zone string) (*target, error) {
	t := &target{world: w, id: fmt.Sprintf("i-%s-%d", service, len(w.targets)), service: service, zone: zone, keyless: service == keylessService}
	w.targets = append(w.targets, t)
	if err := t.start(false); err != nil {
		return nil, err
	}
	go t.runBeats()
	return t, nil
}

// startAll starts the given numbers of targets and all hosts, and waits until requests for all parts of the keys are served.
func (w *world) startAll(keyed, keyless int) error {
	for i := range keyed {
		if _, err := w.addTarget(keyedService, zones[i%len(zones)]); err != nil {
			return err
		}
	}
	for i := range keyless {
		if _, err := w.addTarget(keylessService, zones[i%len(zones)]); err != nil {
			return err
		}
	}
	for _, h := range w.hosts {
		if err := h.start(); err != nil {
			return err
		}
	}
	for deadline := time.Now().Add(30 * time.Second); time.Now().Before(deadline); time.Sleep(200 * time.Millisecond) {
		if w.served() {
			w.record.note("all hosts are ready and all keys are served")
			return nil
		}
	}
	return fmt.Errorf("the system serves nothing 30 s after its start")
}

// served reports whether each host is ready and serves requests for keys of all parts.
func (w *world) served() bool {
	for _, h := range w.hosts {
		if !h.ready() {
			return false
		}
		for key := 1024; key < keyCount; key += 4096 {
			if status, _, _ := w.send(h, "GET", safePrefix+"start", key, ""); status != http.StatusOK {
				return false
			}
		}
	}
	return true
}

// end ends all processes.
func (w *world) end() {
	for _, h := range w.hosts {
		h.stop(syscall.SIGKILL)
	}
	for _, t := range w.targets {
		if t.life != nil {
			t.life.server.Close()
		}
	}
	for _, server := range w.store.servers {
		server.Close()
	}
	if os.Getenv("KEEP_LOGS") == "" {
		os.RemoveAll(w.dir)
	}
}

// holdersOf returns the lifetimes of targets that are up and hold a key. The caller holds world.mu.
func (w *world) holdersOf(key int, now time.Time) []*life {
	var holders []*life
	for _, t := range w.targets {
		if t.life != nil && !t.keyless && t.life.holds(key, now) {
			holders = append(holders, t.life)
		}
	}
	return holders
}
