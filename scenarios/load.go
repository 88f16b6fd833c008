package scenarios

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/poplarcroft/poplarcroft/internal/check"
	"github.com/poplarcroft/poplarcroft/internal/outcome"
)

const (
	// maxLoadTime limits the duration of a load that is not stopped.
	maxLoadTime = 60 * time.Second
	// maxLoadCalls limits the concurrent calls of a load; calls above it are skipped.
	maxLoadCalls = 512
	// maxDials limits the hosts that a call tries to connect to.
	maxDials = 4
	// repeatDelay is the time between the result of an attempt and the next attempt.
	repeatDelay = 200 * time.Millisecond
	// maxAttempts limits the attempts of a call in a load with repeat.
	maxAttempts = 5
)

// loadConfig configures a load.
type loadConfig struct {
	service string
	// rate is the number of calls per second.
	rate float64
	keys []string
	// writes is the percentage of calls that are writes.
	writes  int
	seed    uint64
	timeout time.Duration
	// via lists the hosts and zones through which calls go; if empty, all hosts.
	via stringList
	// repeat makes callers retry calls whose outcome is unknown or not-run, with the
	// same ID.
	repeat bool
}

// load sends calls at a constant rate that does not depend on the responses (an
// open-loop load).
type load struct {
	run      *run
	cfg      loadConfig
	number   int
	random   *rand.Rand
	stopping chan struct{}
	stopOnce sync.Once
	done     chan struct{}
	inFlight sync.WaitGroup
	active   atomic.Int64
	skipped  atomic.Int64
	started  time.Time
	// first is the index of the load's first call in run.calls.
	first int
}

// startLoad starts the load with the given number in its run.
func startLoad(r *run, cfg loadConfig, number int) *load {
	l := &load{
		run:      r,
		cfg:      cfg,
		number:   number,
		random:   rand.New(rand.NewPCG(cfg.seed, uint64(number))),
		stopping: make(chan struct{}),
		done:     make(chan struct{}),
		started:  time.Now(),
		first:    len(r.allCalls()),
	}
	go l.generate()
	return l
}

// stop ends the load and waits until its calls are complete.
func (l *load) stop() {
	l.stopOnce.Do(func() { close(l.stopping) })
	<-l.done
	l.inFlight.Wait()
}

// calls returns the calls recorded since the load's start.
func (l *load) calls() []check.Call {
	return l.run.allCalls()[l.first:]
}

// generate starts the calls on schedule, until stop or maxLoadTime.
func (l *load) generate() {
	defer close(l.done)
	start := time.Now()
	interval := time.Duration(float64(time.Second) / l.cfg.rate)
	for n := 0; ; n++ {
		due := time.Duration(n) * interval
		if due > maxLoadTime {
			return
		}
		select {
		case <-time.After(time.Until(start.Add(due))):
		case <-l.stopping:
			return
		}
		spec, hosts := l.next(n)
		if l.active.Add(1) > maxLoadCalls {
			l.active.Add(-1)
			l.skipped.Add(1)
			continue
		}
		l.inFlight.Go(func() {
			defer l.active.Add(-1)
			l.call(spec, hosts)
		})
	}
}

// next returns the n-th call and the hosts to try, in random order.
func (l *load) next(n int) (callSpec, []*host) {
	key := l.cfg.keys[n%len(l.cfg.keys)]
	spec := callSpec{
		id:      fmt.Sprintf("%s-%d-%d", key, l.number, n),
		service: l.cfg.service,
		key:     key,
		method:  http.MethodGet,
		timeout: l.cfg.timeout,
	}
	if l.random.IntN(100) < l.cfg.writes {
		spec.method = http.MethodPost
		spec.body = "value of " + spec.id
	}
	hosts := l.run.callableHosts(l.cfg.via)
	l.random.Shuffle(len(hosts), func(i, j int) { hosts[i], hosts[j] = hosts[j], hosts[i] })
	return spec, hosts
}

// call makes a call and records each attempt. If the load has repeat set, it retries
// through other hosts, up to maxAttempts attempts.
func (l *load) call(spec callSpec, hosts []*host) {
	for attempt := range maxAttempts {
		result := l.run.callFirstReachable(spec, rotate(hosts, attempt))
		l.run.addCall(result.Call)
		if !l.cfg.repeat || result.Outcome == outcome.Done {
			return
		}
		time.Sleep(repeatDelay)
	}
}

// rotate returns a copy of hosts that starts at index n modulo its length.
func rotate(hosts []*host, n int) []*host {
	if len(hosts) == 0 {
		return nil
	}
	n %= len(hosts)
	return append(append([]*host{}, hosts[n:]...), hosts[:n]...)
}

// callFirstReachable makes a call through the first of the hosts that accepts a connection,
// as the platform's load balancer does. At most maxDials hosts are tried.
func (r *run) callFirstReachable(spec callSpec, hosts []*host) callResult {
	now := time.Now().UnixNano()
	result := callResult{Call: check.Call{
		ID: spec.id, Service: spec.service, Key: spec.key, Method: spec.method,
		StartNS: now, EndNS: now, Error: "no reachable host",
	}}
	for i, h := range hosts {
		if i == maxDials {
			break
		}
		result = callHost(spec, h.name, r.callerAddr(h))
		if !result.unsent {
			break
		}
	}
	return result
}

// callerAddr returns the host's current address for callers.
func (r *run) callerAddr(h *host) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return h.addrs.caller
}

// callableHosts returns the hosts that are running and not frozen, among the named
// hosts and zones, or among all if names is empty.
func (r *run) callableHosts(names []string) []*host {
	r.mu.Lock()
	defer r.mu.Unlock()
	var found []*host
	for _, h := range r.hosts() {
		if h.process == nil || h.process.ended() || h.frozen {
			continue
		}
		if h.named(names) {
			found = append(found, h)
		}
	}
	return found
}

// named reports whether names is empty or contains the host or its zone.
func (h *host) named(names []string) bool {
	return len(names) == 0 || slices.Contains(names, h.name) || slices.Contains(names, h.zone)
}

// loadLimits are the limits for the calls of a load. minDone is a percentage; a zero
// maxOutage and a maxUnknown or maxNotRun of noLimit are not checked.
type loadLimits struct {
	maxOutage  time.Duration
	minDone    float64
	maxUnknown int
	maxNotRun  int
	minCalls   int
}

// summary counts the calls of a load by outcome and holds the longest outage.
type summary struct {
	calls, done, notRun, unknown int
	outage                       check.Outage
}

// summarize counts the calls. A call without a response counts as unknown.
func summarize(calls []check.Call) summary {
	s := summary{calls: len(calls), outage: check.LongestOutage(calls)}
	for _, c := range calls {
		switch {
		case c.Acknowledged():
			s.done++
		case c.Outcome == outcome.NotRun:
			s.notRun++
		default:
			s.unknown++
		}
	}
	return s
}

// String returns the summary as one line.
func (s summary) String() string {
	return fmt.Sprintf("calls=%d done=%d not-run=%d unknown=%d longest-outage=%v key=%s",
		s.calls, s.done, s.notRun, s.unknown, s.outage.Length.Round(time.Millisecond), s.outage.Key)
}

// check returns an error if the summary exceeds a limit.
func (l loadLimits) check(s summary) error {
	done := 100 * float64(s.done) / float64(max(s.calls, 1))
	switch {
	case s.calls < l.minCalls:
		return errors.Newf("less than %d calls: %v", l.minCalls, s)
	case l.maxOutage > 0 && s.outage.Length > l.maxOutage:
		return errors.Newf("an outage above %v: %v", l.maxOutage, s)
	case done < l.minDone:
		return errors.Newf("less than %g %% done: %v", l.minDone, s)
	case l.maxUnknown >= 0 && s.unknown > l.maxUnknown:
		return errors.Newf("more than %d unknown: %v", l.maxUnknown, s)
	case l.maxNotRun >= 0 && s.notRun > l.maxNotRun:
		return errors.Newf("more than %d not run: %v", l.maxNotRun, s)
	}
	return nil
}
