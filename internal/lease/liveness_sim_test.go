package lease

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"github.com/poplarcroft/poplarcroft/internal/settings"
)

// The simulation runs hosts that follow the policy of package keeper in model
// time, without waiting, to see how long a slice is not served after losses.

// Durations of the simulated network and hosts.
const (
	simLatencyMin  = 500 * time.Microsecond
	simLatencyMax  = 2 * ms
	simLogMin      = 10 * ms
	simLogMax      = 40 * ms
	simWarmUp      = 3 * time.Second
	simOutage      = 60 * time.Second
	simLimit       = 70 * time.Second
	minSilentTries = 2
)

// simEvent is something that happens at a time.
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

// sim is one run.
type sim struct {
	rng     *rand.Rand
	values  settings.Values
	now     time.Duration
	queue   simQueue
	seq     int
	hosts   []*simHost
	server  modelServer
	serving bool // the server process lives
	logUp   bool
	lossAt  time.Duration
	// servedAt is when the slice was served again after the loss, zero before.
	servedAt time.Duration
}

// simHost is a host with its policy.
type simHost struct {
	sim    *sim
	rank   int
	lost   bool
	clock  modelClock
	lessor *Lessor
	// vacantSince is since when the host knows of no lead.
	vacantSince time.Duration
	wasLead     bool
	silence     simSilence
	activating  bool
	// renews and watched belong to the baseline.
	renews  bool
	watched simSilence
}

// simSilence decides when a peer that does not answer counts as gone.
type simSilence struct {
	answered time.Duration
	tries    int
}

func (s *simSilence) answer(now time.Duration) { *s = simSilence{answered: now} }

func (s *simSilence) fail(now, limit time.Duration) bool {
	s.tries++
	return s.tries >= minSilentTries && now-s.answered >= limit
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
	s.lossAt = simWarmUp + s.upTo(2*s.values.RenewEvery)
	return s
}

func (s *sim) clock() modelClock {
	return modelClock{offset: startOfClocks, ppm: s.rng.Int64N(int64(s.values.DriftPermille) * ppmScale / permille)}
}

func (s *sim) upTo(d time.Duration) time.Duration {
	return time.Duration(s.rng.Int64N(int64(d)))
}

func (s *sim) latency() time.Duration {
	return simLatencyMin + s.upTo(simLatencyMax-simLatencyMin)
}

// after schedules something.
func (s *sim) after(d time.Duration, do func()) {
	s.seq++
	heap.Push(&s.queue, simEvent{at: s.now + d, seq: s.seq, do: do})
}

// every calls do at about the interval for as long as the host lives.
func (s *sim) every(h *simHost, interval time.Duration, do func()) {
	s.after(s.upTo(interval), func() { s.repeat(h, interval, do) })
}

func (s *sim) repeat(h *simHost, interval time.Duration, do func()) {
	if h.lost {
		return
	}
	do()
	s.after(interval, func() { s.repeat(h, interval, do) })
}

// call runs remote after a latency if the other side lives, and then done with
// whether an answer came: after a second latency, or after the timeout.
func (s *sim) call(caller *simHost, lives func() bool, timeout time.Duration, remote func(), done func(bool)) {
	s.after(s.latency(), func() {
		if !lives() {
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

func (s *sim) serverLives() bool { return s.serving }

// run runs until the slice is served after the loss, or the limit. It returns
// the time without service.
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

// loss takes hosts and the server down together, and the log too where it says so.
type loss struct {
	name   string
	lead   bool
	other  bool
	server bool
}

// schedule lets the loss happen.
func (s *sim) schedule(l loss, logUp bool) {
	s.after(s.lossAt, func() {
		s.logUp = logUp
		if !logUp {
			s.after(s.upTo(simOutage), func() { s.logUp = true })
		}
		lead := s.leader()
		if l.lead {
			lead.lost = true
		}
		if l.other {
			s.hosts[(lead.rank+1)%len(s.hosts)].lost = true
		}
		s.serving = s.serving && !l.server
		s.served()
	})
}

// leader returns the host that leads.
func (s *sim) leader() *simHost {
	for _, h := range s.hosts {
		if h.renews || leadsAt(h.lessor, h.local()) {
			return h
		}
	}
	return s.hosts[0]
}

// served notes that the slice is served by its owner, where it is: a host
// leads, and the server has a lease.
func (s *sim) served() {
	if s.now < s.lossAt || s.servedAt != 0 || !s.serving || !s.server.mayExecute(s.now) {
		return
	}
	for _, h := range s.hosts {
		if !h.lost && (h.renews || leadsAt(h.lessor, h.local())) {
			s.servedAt = s.now
		}
	}
}
