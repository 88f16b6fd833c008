package lease

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"github.com/poplarcroft/poplarcroft/internal/settings"
)

// The simulation runs hosts with simplified loops of package keeper in simulated
// time. It measures for how long a slice is not served after hosts or the server are lost.

// Durations of the simulated network, log and run, and the failure detector's limit.
const (
	simLatencyMin     = 500 * time.Microsecond
	simLatencyMax     = 2 * ms
	simLogMin         = 10 * ms
	simLogMax         = 40 * ms
	simWarmUp         = 3 * time.Second
	simOutage         = 60 * time.Second
	simLimit          = 70 * time.Second
	minFailedAttempts = 2
)

// simEvent is a function to be called at a simulated time. seq orders events of the same time.
type simEvent struct {
	at  time.Duration
	seq int
	do  func()
}

type simQueue []simEvent

func (q simQueue) Len() int { return len(q) }
func (q simQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q simQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *simQueue) Push(x any)   { *q = append(*q, x.(simEvent)) }
func (q *simQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// sim is the state of one simulated run.
type sim struct {
	rng     *rand.Rand
	values  settings.Values
	now     time.Duration
	queue   simQueue
	seq     int
	hosts   []*simHost
	server  modelServer
	serving bool // the server process is running
	logUp   bool
	lossAt  time.Duration
	// servedAt is when the slice was served again after the loss, zero before.
	servedAt time.Duration
}

// simHost is a simulated host that is a lessor of the session.
type simHost struct {
	sim    *sim
	rank   int
	lost   bool
	clock  modelClock
	lessor *Lessor
	// noPrimarySince is since when the host knows of no primary.
	noPrimarySince time.Duration
	wasPrimary     bool
	detector       simDetector
	activating     bool
	// renews and renewerDetector are used by the baseline only.
	renews          bool
	renewerDetector simDetector
}

// simDetector is a failure detector: it decides when a process that does not
// answer counts as failed.
type simDetector struct {
	lastAnswer time.Duration
	attempts   int
}

func (d *simDetector) recordAnswer(now time.Duration) { *d = simDetector{lastAnswer: now} }

func (d *simDetector) recordFailure(now, limit time.Duration) bool {
	d.attempts++
	return d.attempts >= minFailedAttempts && now-d.lastAnswer >= limit
}

func newSim(seed uint64) *sim {
	rng := rand.New(rand.NewPCG(seed, 2))
	s := &sim{rng: rng, values: settings.Defaults(), serving: true, logUp: true}
	for rank := range 3 {
		h := &simHost{sim: s, rank: rank, clock: s.clock()}
		h.lessor = New(testConfig(), h.name(), testSession, firstVersion, opened("h0", "h1", "h2"))
		s.hosts = append(s.hosts, h)
	}
	s.server = modelServer{clock: s.clock(), incarnation: 1, holds: true}
	s.lossAt = simWarmUp + s.randomBelow(2*s.values.RenewEvery)
	return s
}

func (s *sim) clock() modelClock {
	return modelClock{offset: startOfClocks, ppm: s.rng.Int64N(int64(s.values.DriftPermille) * ppmScale / permille)}
}

func (s *sim) randomBelow(d time.Duration) time.Duration {
	return time.Duration(s.rng.Int64N(int64(d)))
}

func (s *sim) latency() time.Duration {
	return simLatencyMin + s.randomBelow(simLatencyMax-simLatencyMin)
}

// after schedules a call of do after d of simulated time.
func (s *sim) after(d time.Duration, do func()) {
	s.seq++
	heap.Push(&s.queue, simEvent{at: s.now + d, seq: s.seq, do: do})
}

// every calls do at the interval, from a random time within the first one, until the host is lost.
func (s *sim) every(h *simHost, interval time.Duration, do func()) {
	s.after(s.randomBelow(interval), func() { s.repeat(h, interval, do) })
}

func (s *sim) repeat(h *simHost, interval time.Duration, do func()) {
	if h.lost {
		return
	}
	do()
	s.after(interval, func() { s.repeat(h, interval, do) })
}

// call simulates a remote call: remote runs after a latency if alive returns
// true, and done(true) after a second latency. Otherwise done(false) runs after
// the timeout.
func (s *sim) call(caller *simHost, alive func() bool, timeout time.Duration, remote func(), done func(bool)) {
	s.after(s.latency(), func() {
		if !alive() {
			s.after(timeout, func() { caller.ifAlive(func() { done(false) }) })
			return
		}
		remote()
		s.after(s.latency(), func() { caller.ifAlive(func() { done(true) }) })
	})
}

func (h *simHost) ifAlive(do func()) {
	if !h.lost {
		do()
	}
}

func (h *simHost) name() string { return []string{"h0", "h1", "h2"}[h.rank] }

func (h *simHost) local() time.Duration { return h.clock.at(h.sim.now) }

func (h *simHost) alive() bool { return !h.lost }

func (s *sim) serverAlive() bool { return s.serving }

// run runs until the slice is served again after the loss, or for simLimit. It
// returns the time without service.
func (s *sim) run() time.Duration {
	for s.queue.Len() > 0 && s.now < simWarmUp+simLimit {
		e := heap.Pop(&s.queue).(simEvent)
		s.now = e.at
		e.do()
		if s.servedAt != 0 {
			return s.servedAt - s.lossAt
		}
	}
	return simLimit
}

// loss selects the processes that fail at the same time: the primary, another
// lessor, the server.
type loss struct {
	name    string
	primary bool
	other   bool
	server  bool
}

// schedule makes the loss happen at lossAt. Unless logUp, the log is unavailable
// from then on for up to simOutage.
func (s *sim) schedule(l loss, logUp bool) {
	s.after(s.lossAt, func() {
		s.logUp = logUp
		if !logUp {
			s.after(s.randomBelow(simOutage), func() { s.logUp = true })
		}
		primary := s.primary()
		if l.primary {
			primary.lost = true
		}
		if l.other {
			s.hosts[(primary.rank+1)%len(s.hosts)].lost = true
		}
		s.serving = s.serving && !l.server
		s.checkServed()
	})
}

// primary returns the primary host or, in the baseline, the one that renews.
func (s *sim) primary() *simHost {
	for _, h := range s.hosts {
		if h.renews || isPrimaryAt(h.lessor, h.local()) {
			return h
		}
	}
	return s.hosts[0]
}

// checkServed records the first time after the loss at which the slice is served
// again by its owner: a host is primary and the server has a lease.
func (s *sim) checkServed() {
	if s.now < s.lossAt || s.servedAt != 0 || !s.serving || !s.server.mayExecute(s.now) {
		return
	}
	for _, h := range s.hosts {
		if !h.lost && (h.renews || isPrimaryAt(h.lessor, h.local())) {
			s.servedAt = s.now
		}
	}
}
