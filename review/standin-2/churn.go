package main

import (
	"context"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// replaced is the number of machines that are removed for good, and replacing that of those that run at the same time.
	replaced  = 1500
	replacing = 16
	// registerTime is how long a machine runs at most before it is removed. It is removed as soon as it has written to the store.
	registerTime = 3 * time.Second
	churnFor     = 45 * time.Second
	// calmFor is how long the deployment serves before the first machine is replaced.
	calmFor = 15 * time.Second
)

// churn replaces machines again and again: each new one comes at an address and under a name of its own, writes to the store, and is
// removed for good. Then all processes of the machines that stay are killed and started again.
func churn(w *world) bool {
	w.startDeployment()
	var refused atomic.Int64
	w.store.onRefused = func(topic string, size int) {
		if refused.Add(1) <= enoughRefused {
			w.record.line("the store refuses a record of %d bytes in %s, above record_bytes (%d)", size, topic, maxRecordBytes)
		}
	}
	l := &load{w: w, hosts: w.hosts, even: true}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go l.run(ctx)
	time.Sleep(calmFor)
	w.record.line("%s", l.total())
	if w.trouble {
		w.record.line("%d machines have been replaced", w.replaceMachines(&refused))
	}
	before := l.share()
	w.record.line("before the final fault: %s", l.total())
	for _, h := range w.hosts {
		h.stop()
	}
	w.record.line("all processes of the system have been killed")
	time.Sleep(time.Second)
	for _, h := range w.hosts {
		h.start()
	}
	w.record.line("all have been started again")
	time.Sleep(recovery)
	after := l.measure("from recovery_s after the machines are back")
	w.record.line("records refused by the store: %d", refused.Load())
	return before >= 0.25 && after < 0.25
}

// replaceMachines starts machines and removes them, until enough records have been refused or the time is up, and returns their number.
func (w *world) replaceMachines(refused *atomic.Int64) int64 {
	var next, done atomic.Int64
	next.Store(100)
	end := time.Now().Add(churnFor)
	var running sync.WaitGroup
	for range replacing {
		running.Go(func() {
			for time.Now().Before(end) && done.Load() < replaced && refused.Load() < enoughRefused {
				h := startHost(w.dir, w.program, int(next.Add(1)), zone, w.store.addr, small)
				for began := time.Now(); time.Since(began) < registerTime && !w.store.hasKey(topicOf, h.name); {
					time.Sleep(10 * time.Millisecond)
				}
				h.stop()
				if n := done.Add(1); n%100 == 0 {
					w.record.line("%d machines replaced; largest record in %s: %d bytes", n, topicOf, w.store.largest(topicOf))
				}
			}
		})
	}
	running.Wait()
	return done.Load()
}

// hasKey reports whether a topic has a record whose key ends with the name.
func (s *store) hasKey(name, suffix string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	records := s.topicOf(name).records
	for i := len(records) - 1; i >= 0; i-- {
		if strings.HasSuffix(string(records[i][1:1+int(records[i][0])]), suffix) {
			return true
		}
	}
	return false
}
