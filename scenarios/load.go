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
	// maxLoadTime bounds a load that is never stopped.
	maxLoadTime = 60 * time.Second
	// maxLoadCalls bounds the calls of a load in flight at a time.
	maxLoadCalls = 512
	// maxDials bounds the hosts that a call tries to connect to.
	maxDials = 4
	// repeatAfter is the time after which a call without a known outcome is repeated.
	repeatAfter = 200 * time.Millisecond
	// maxTries bounds the tries of a call that is repeated.
	maxTries = 5
)

// loadConfig configures a load.
type loadConfig struct {
	service string
	// rate is the number of calls a second.
	rate float64
	keys []string
	// writes is the share of calls that write, in percent.
	writes  int
	seed    uint64
	timeout time.Duration
	// via lists the hosts or zones that are asked; all where it is empty.
	via stringList
	// repeat says that calls without a known outcome, or refused as not run, are sent again.
	repeat bool
}

// load sends calls at a steady rate, whether or not earlier ones were answered.
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
	dropped  atomic.Int64
	started  time.Time
	// first is the index of the load's first call in the run's record.
	first int
}

// startLoad starts a load, the number-th of the run.
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

// stop ends the load and waits for the answers to its calls.
func (l *load) stop() {
	l.stopOnce.Do(func() { close(l.stopping) })
	<-l.done
	l.inFlight.Wait()
}

// calls returns what the load recorded.
func (l *load) calls() []check.Call {
	return l.run.allCalls()[l.first:]
}

// generate starts a call at each point in time that the rate asks for.
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
			l.dropped.Add(1)
			continue
		}
		l.inFlight.Go(func() {
			defer l.active.Add(-1)
			l.call(spec, hosts)
		})
	}
}

// next returns the n-th call and the order in which hosts are asked.
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

// call makes a call, repeated through other hosts where the load is so configured.
func (l *load) call(spec callSpec, hosts []*host) {
	for try := range maxTries {
		result := l.run.callAny(spec, rotate(hosts, try))
		l.run.addCall(result.Call)
		if !l.cfg.repeat || result.Outcome == outcome.Done {
			return
		}
		time.Sleep(repeatAfter)
	}
}

// rotate returns the hosts from the n-th on, followed by those before it.
func rotate(hosts []*host, n int) []*host {
	if len(hosts) == 0 {
		return nil
	}
	n %= len(hosts)
	return append(append([]*host{}, hosts[n:]...), hosts[:n]...)
}

// callAny makes a call through the first of the hosts that accepts a connection,
// as the platform's balancer does.
func (r *run) callAny(spec callSpec, hosts []*host) callResult {
	now := time.Now().UnixNano()
	result := callResult{Call: check.Call{
		ID: spec.id, Service: spec.service, Key: spec.key, Method: spec.method,
		StartNS: now, EndNS: now, Error: "no host to ask",
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

// callerAddr returns the host's present address for callers.
func (r *run) callerAddr(h *host) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return h.addrs.caller
}

// callableHosts returns the hosts that callers reach, those of the named hosts
// and zones or all where there are no names.
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

// named reports whether one of the names is the host's or its zone's, or there are no names.
func (h *host) named(names []string) bool {
	return len(names) == 0 || slices.Contains(names, h.name) || slices.Contains(names, h.zone)
}

// loadLimits are the limits that a load's record has to keep.
type loadLimits struct {
	maxOutage  time.Duration
	minDone    float64
	maxUnknown int
	maxNotRun  int
	minCalls   int
}

// summary counts the calls of a load by what became of them.
type summary struct {
	calls, done, notRun, unknown int
	outage                       check.Outage
}

// summarize counts the calls. A call without an answer counts as unknown.
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

// check returns an error where the summary breaks a limit.
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
