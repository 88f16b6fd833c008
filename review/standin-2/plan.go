package main

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// planTargets is the number of targets of the service revize at the large site, and planRate the requests a second.
	planTargets = 328
	planRate    = 1500
	planWorkers = 200
	// hotShare of the requests are about hotKeys keys close to one another, and other keys become the busy ones every hotFor.
	hotShare = 0.45
	hotKeys  = 200
	hotFor   = 4 * time.Second
	// busyFor is how long the traffic lasts at most before the machines are added; it ends earlier after enoughRefused records that
	// the store has refused. measuredFor is each of the measured times.
	busyFor       = 76 * time.Second
	enoughRefused = 20
	measuredFor   = 5 * time.Second
	// recovery is recovery_s.
	recovery = 15 * time.Second
	topicOf  = "keyed.poplarcroft"
	// hostsPerZone is the number of machines in each of planZones at first, and addedPerZone that of the machines that are added
	// before the final fault.
	hostsPerZone = 2
	addedPerZone = 4
)

// planZones are the zones of the large site.
var planZones = []string{"brno-sever", "brno-jih", "olomouc", "zlin", "ostrava", "jihlava"}

// plan lets the busy keys of a service with many targets change again and again, kills all machines' processes, starts them again, and
// counts what is served after recovery_s.
func plan(w *world) bool {
	config := configuration()
	w.store.write("keyed.op", "config", config)
	var refused atomic.Int64
	w.store.onRefused = func(topic string, size int) {
		if refused.Add(1) <= enoughRefused {
			w.record.line("the store refuses a record of %d bytes in %s, above record_bytes (%d)", size, topic, maxRecordBytes)
		}
	}
	for i := range planTargets {
		w.targets = append(w.targets, newTarget(w.store, nil, fmt.Sprintf("i-%010x", 0x6be3e1e180+i*7919), "revize", planZones[i%len(planZones)], true))
	}
	w.addHosts(hostsPerZone)
	w.awaitService(keyedPrefix)
	l := &load{w: w, hosts: w.hosts, even: !w.trouble}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go l.run(ctx)
	for began := time.Now(); time.Since(began) < busyFor && refused.Load() < enoughRefused; {
		time.Sleep(hotFor)
		l.hotSpot.Store(rand.Int64N(65536 - hotKeys))
		w.record.line("%s; largest record in %s: %d bytes", l.total(), topicOf, w.store.largest(topicOf))
	}
	w.addHosts(addedPerZone)
	w.record.line("%d machines have been added", addedPerZone*len(planZones))
	before := l.measure("before the final fault")
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

// addHosts starts machines in all zones.
func (w *world) addHosts(perZone int) {
	for range perZone * len(planZones) {
		i := len(w.hosts)
		w.hosts = append(w.hosts, startHost(w.dir, w.program, i, planZones[i%len(planZones)], w.store.addr, large))
	}
}

// load sends requests for keys.
type load struct {
	w *world
	// hosts are those that get the requests, and even says that all keys are asked for alike.
	hosts []*host
	even  bool
	// rate is the number of requests a second; zero stands for planRate.
	rate    int
	hotSpot atomic.Int64

	mu           sync.Mutex
	sent, served int
	// measuring is set during the measured times, whose requests get a line each in the record.
	measuring bool
}

// run sends requests until the context ends.
func (l *load) run(ctx context.Context) {
	client := &http.Client{Timeout: clientDeadline, Transport: &http.Transport{MaxIdleConnsPerHost: planWorkers}}
	next := make(chan int, planWorkers)
	for range planWorkers {
		go func() {
			for n := range next {
				l.send(client, n)
			}
		}()
	}
	rate := cmp.Or(l.rate, planRate)
	ticker := time.NewTicker(time.Second / time.Duration(rate))
	defer ticker.Stop()
	for n := 0; ctx.Err() == nil; n++ {
		<-ticker.C
		select {
		case next <- n:
		default:
		}
	}
}

// key returns the key of the next request.
func (l *load) key() int {
	if !l.even && rand.Float64() < hotShare {
		return int(l.hotSpot.Load()) + rand.IntN(hotKeys)
	}
	return rand.IntN(65536)
}

func (l *load) send(client *http.Client, n int) {
	h := l.hosts[n%len(l.hosts)]
	id := fmt.Sprintf("read-%d", n)
	request, err := http.NewRequest(http.MethodGet, "http://"+h.front+keyedPrefix+"x", nil)
	check(err, "request")
	request.Host = domain
	request.Header.Set("X-Attempt-Id", id)
	request.Header.Set("X-Deadline-Ms", strconv.FormatInt(clientDeadline.Milliseconds(), 10))
	request.Header.Set("X-Shard-Key", strconv.Itoa(l.key()))
	var a answer
	response, err := client.Do(request)
	if err == nil {
		_, err = io.Copy(io.Discard, response.Body)
		response.Body.Close()
		a.status = response.StatusCode
	}
	a.err = err
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sent++
	if err == nil && a.status == http.StatusOK {
		l.served++
	}
	if l.measuring {
		l.w.record.line("%s to %s: %v; runs: %d", id, h.name, a, len(ranAs(l.w.targets, id)))
	}
}

// recordAll gives each request from now on a line in the record.
func (l *load) recordAll() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.measuring = true
}

func (l *load) total() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return fmt.Sprintf("%d requests sent, %d served", l.sent, l.served)
}

// measure returns the share of the requests that is served in measuredFor.
func (l *load) measure(when string) float64 {
	l.mu.Lock()
	sent, served := l.sent, l.served
	l.measuring = true
	l.mu.Unlock()
	time.Sleep(measuredFor)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.measuring = false
	sent, served = l.sent-sent, l.served-served
	l.w.record.line("%s: %d of %d requests served", when, served, sent)
	return float64(served) / float64(max(sent, 1))
}

// share returns the share of all requests so far that was served.
func (l *load) share() float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return float64(l.served) / float64(max(l.sent, 1))
}
