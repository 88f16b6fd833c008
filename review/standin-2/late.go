package main

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

const (
	// farZone has one machine and one target, and zone the others.
	farZone = "zlin"
	// lateRate is the number of requests a second.
	lateRate = 200
	// lateFor is how much later the store carries out the write that it does not answer (1 to 6 s).
	lateFor = 5800 * time.Millisecond
	// upFor is how long the machine runs between its two kills, and darkFor how long it is down after each.
	upFor   = 500 * time.Millisecond
	darkFor = 500 * time.Millisecond
	// cutFor is how long the machine and the target are cut off from all others.
	cutFor = 10 * time.Second
	// heartbeats is the number of heartbeats that a target may miss before its entry is removed.
	heartbeats = 3
	// heldTogether is for how long two targets may hold the same keys at most.
	heldTogether = 500 * time.Millisecond
)

// farSide is a machine and a target that reach the others, and are reached by them, through links that can be cut.
type farSide struct {
	w      *world
	host   *host
	target *target
	// links lead from one side to the other.
	links []cuttable
	// granted counts the grants that the machine has sent to the target.
	granted atomic.Int64
}

// cuttable is a way between the sides.
type cuttable interface {
	cut()
	heal()
}

// late kills a machine twice, and cuts it off together with a target. The store does not answer the write by which the machine
// registers after the first kill, and carries it out when the machine has been started again and is cut off.
func late(w *world) bool {
	far := w.startTwoSides()
	l := &load{w: w, hosts: w.hosts, even: true, rate: lateRate}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go l.run(ctx)
	time.Sleep(3 * time.Second)
	watch := w.watchOwners(ctx)
	l.recordAll()
	if w.trouble {
		w.loseRegistration(far.host)
		far.host.kill(w.record)
		time.Sleep(upFor)
		far.host.kill(w.record)
		far.awaitGrant()
		far.cut()
		time.Sleep(cutFor)
		far.heal()
	} else {
		time.Sleep(cutFor)
	}
	time.Sleep(measuredFor)
	w.record.line("%s", l.total())
	return watch.broken()
}

// startTwoSides starts the deployment: three machines and four targets in one zone, and one of each in farZone.
func (w *world) startTwoSides() *farSide {
	w.store.write("keyed.op", "config", configuration())
	for i := range targetCount {
		w.targets = append(w.targets, newTarget(w.store, nil, fmt.Sprintf("i-revize-%d", i), "revize", zone, true))
	}
	far := &farSide{w: w, target: newTarget(w.store, nil, fmt.Sprintf("i-revize-%d", targetCount), "revize", farZone, true)}
	w.targets = append(w.targets, far.target)
	for i := range hostCount {
		w.hosts = append(w.hosts, startHost(w.dir, w.program, i, zone, w.store.addr, small))
	}
	w.awaitService(keyedPrefix)
	far.startHost()
	w.hosts = append(w.hosts, far.host)
	w.awaitService(keyedPrefix)
	return far
}

// startHost starts the machine, which sees all others at addresses of its side.
func (f *farSide) startHost() {
	var there, here []string
	add := func(address, alias string) {
		there = append(there, `"`+address+`"`, `"`+alias+`"`)
		here = append(here, `"`+alias+`"`, `"`+address+`"`)
	}
	for _, h := range f.w.hosts {
		l := newLink(h.internal)
		f.links = append(f.links, l)
		add(h.internal, l.addr)
	}
	for _, t := range f.w.targets {
		if t == f.target {
			add(t.addr, newDoor(f).addr)
			continue
		}
		d := newDoor(t)
		f.links = append(f.links, d)
		add(t.addr, d.addr)
	}
	f.links = append(f.links, f.target)
	v := view{}
	d := newDoor(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { f.w.store.through(v).ServeHTTP(w, r) }))
	f.links = append(f.links, d)
	f.host = newHost(f.w.dir, f.w.program, hostCount, farZone, d.addr, small)
	l := newLink(f.host.internal)
	f.links = append(f.links, l)
	add(l.addr, f.host.internal)
	v = view{read: strings.NewReplacer(there...), write: strings.NewReplacer(here...)}
	f.host.start()
}

// ServeHTTP is the target as the machine reaches it.
func (f *farSide) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/grant" {
		f.granted.Add(1)
	}
	f.target.ServeHTTP(w, r)
}

// cut cuts this side off from the others.
func (f *farSide) cut() {
	for _, l := range f.links {
		l.cut()
	}
	f.w.record.line("%s and %s reach only each other, and clients reach %s", f.host.name, f.target.id, f.host.name)
}

// heal ends the cut.
func (f *farSide) heal() {
	for _, l := range f.links {
		l.heal()
	}
	f.w.record.line("all reach each other")
}

// awaitGrant waits until the machine has sent the target a grant.
func (f *farSide) awaitGrant() {
	deadline := time.Now().Add(upFor * 10)
	for before := f.granted.Load(); f.granted.Load() == before; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(deadline) {
			check(fmt.Errorf("%s sends no grant", f.host.name), "restart")
		}
	}
}

// loseRegistration makes the store answer the host's next registration never, and carry it out later.
func (w *world) loseRegistration(h *host) {
	var lost atomic.Bool
	w.store.mu.Lock()
	defer w.store.mu.Unlock()
	w.store.lateBy = func(topic, key string) time.Duration {
		if !strings.HasSuffix(key, h.name) || !lost.CompareAndSwap(false, true) {
			return 0
		}
		w.record.line("the store does not answer the write of %s to %s, and carries it out %v later", key, topic, lateFor)
		time.AfterFunc(lateFor, func() { w.record.line("the store carries out the write of %s", key) })
		return lateFor
	}
}

// kill kills the process of a machine and starts it again.
func (h *host) kill(r *record) {
	h.stop()
	r.line("%s has been killed", h.name)
	time.Sleep(darkFor)
	h.start()
	r.line("%s has been started again", h.name)
}
