package main

import (
	"fmt"
	"time"
)

// The deployment of all cases: one service divided by key and one that is not, with one host name.
const (
	domain      = "hala.example"
	keyedPrefix = "/revize/"
	plainPrefix = "/archiv/"
	signPrefix  = "/podpis/"
	// splitPrefix begins like plainPrefix, and its route leads to the other service.
	splitPrefix = "/archiv/hala/"
	zone        = "brno-sever"
	hostCount   = 3
	targetCount = 4
)

// The sizes of machines: small is that of the first sites, and large that of the larger machines of the large one.
var (
	small = limits{cpuShare: 0.32, memoryMB: 284, descriptors: 4100}
	large = limits{cpuShare: 0.8, memoryMB: 536, descriptors: 8192}
)

// cases holds the function of each case. It returns whether the rule was broken.
var cases = map[string]func(*world) bool{
	"crowd": crowd,
	"path":  path,
	"plan":  plan,
	"life":  life,
	"churn": churn,
	"late":  late,
}

// configuration returns the operator's configuration.
func configuration() map[string]any {
	route := func(prefix, kind, service string, timeout, aim float64) map[string]any {
		return map[string]any{
			"host": domain, "path_prefix": prefix, "route_type": kind, "timeout_s": timeout, "aim_s": aim, "priority": 1,
			"service": service, "max_attempts": 2,
		}
	}
	return map[string]any{
		"version": "r3",
		"routes": map[string]any{
			"r-keyed": route(keyedPrefix, "safe", "revize", 1.2, 0.4),
			"r-sign":  route(signPrefix, "unsafe", "revize", 1.5, 0.5),
			"r-plain": route(plainPrefix, "safe", "archiv", 2.5, 0.8),
			"r-split": route(splitPrefix, "safe", "revize", 2.5, 0.8),
		},
		"services": map[string]any{
			"revize": map[string]any{"health_path": "/health", "max_connections": 130, "protocol": "h1", "tls": false, "warmup_s": 3.0, "warmup_per_s": 8.1, "sharded": true, "warm_s": 3.0, "grants": "call"},
			"archiv": map[string]any{"health_path": "/health", "max_connections": 130, "protocol": "h1", "tls": false, "warmup_s": 3.0, "warmup_per_s": 8.1},
		},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout_s": 3, "idle_timeout_s": 15},
	}
}

// startDeployment starts the targets and the hosts, and waits until all hosts are ready and serve both services.
func (w *world) startDeployment() {
	w.store.write("keyed.op", "config", configuration())
	for i := range targetCount {
		w.targets = append(w.targets, newTarget(w.store, w.record, fmt.Sprintf("i-revize-%d", i), "revize", zone, true))
		w.targets = append(w.targets, newTarget(w.store, w.record, fmt.Sprintf("i-archiv-%d", i), "archiv", zone, false))
	}
	for i := range hostCount {
		w.hosts = append(w.hosts, startHost(w.dir, w.program, i, zone, w.store.addr, small))
	}
	w.awaitService(keyedPrefix, plainPrefix)
}

// awaitService waits until all hosts are ready and serve the routes with the prefixes.
func (w *world) awaitService(prefixes ...string) {
	deadline := time.Now().Add(20 * time.Second)
	for _, h := range w.hosts {
		for n := 0; !h.isReady() || !serves(h, n, prefixes); n++ {
			if time.Now().After(deadline) {
				check(fmt.Errorf("host %s does not serve", h.name), "start")
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	w.record.line("%d hosts serve", len(w.hosts))
}

// serves reports whether a host serves the routes with the prefixes.
func serves(h *host, n int, prefixes []string) bool {
	for i, prefix := range prefixes {
		a := get(h.front, fmt.Sprintf("start-%s-%d-%d", h.name, n, i), prefix+"x", n*7919%65536)
		if a.status != 200 {
			return false
		}
	}
	return true
}
