package concurrency

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var (
	testServer = Server{ID: "s1", Born: 1}
	testKind   = Kind{Service: "s", Route: "r", Goal: 400 * time.Millisecond}
)

// TestUnknownServerHasTheFullWidth guards against a host that has just become primary and starts with a narrow gate.
func TestUnknownServerHasTheFullWidth(t *testing.T) {
	l := &Learner{}
	assert.Equal(t, l.Width(testServer, 4, true, 0), 5)
	r := l.Begin(testServer, 4, testKind, time.Second)
	assert.Equal(t, l.Width(testServer, 4, true, time.Second), 5)
	l.End(r, true, 2*time.Second)
	assert.Equal(t, l.Width(testServer, 4, true, 2*time.Second), 5)
	assert.Equal(t, len(l.Speeds(2*time.Second)), 0)
	assert.Equal(t, l.Width(Server{ID: "s1", Born: 2}, 4, true, 2*time.Second), 5)
}

// TestWidthStaysWithinItsBounds guards against a width of zero, which would hold requests for ever, and one above slots + 1,
// which the servers' queues do not allow, whatever times and orders of ends occur.
func TestWidthStaysWithinItsBounds(t *testing.T) {
	for seed := range uint64(20) {
		rng := rand.New(rand.NewPCG(seed, 3))
		l := &Learner{}
		now := time.Duration(0)
		var open []*Request
		for range 20_000 {
			now += time.Duration(rng.IntN(30)) * time.Millisecond
			slots := 1 + int(now/(40*time.Second))%6
			switch {
			case len(open) < 12 && rng.IntN(2) == 0:
				open = append(open, l.Begin(testServer, slots, testKind, now))
			case len(open) > 0:
				i := rng.IntN(len(open))
				l.End(open[i], rng.IntN(5) > 0, now)
				l.End(open[i], true, now)
				open = append(open[:i], open[i+1:]...)
			}
			width := l.Width(testServer, slots, rng.IntN(2) == 0, now)
			assert.Assert(t, width >= 1 && width <= slots+1, "seed %d: width %d of %d slots", seed, width, slots)
			for _, speed := range l.Speeds(now) {
				assert.Assert(t, speed.Lasting > 0 && speed.Passing > 0 && !math.IsInf(speed.Lasting, 0) && !math.IsInf(speed.Passing, 0))
			}
		}
	}
}

// TestMemoryIsBounded guards against a Learner that grows with every incarnation of a server.
func TestMemoryIsBounded(t *testing.T) {
	l := &Learner{}
	for i := range 3 * maxServers {
		now := time.Duration(i) * time.Millisecond
		l.End(l.Begin(Server{ID: fmt.Sprint(i)}, 4, Kind{"s", fmt.Sprint(i), time.Second}, now), true, now+time.Millisecond)
	}
	assert.Assert(t, len(l.servers) <= maxServers && len(l.kinds) <= maxKinds)
	l.Begin(testServer, 4, testKind, time.Hour)
	assert.Equal(t, len(l.servers), 1)
}

// feed runs one request after the other, each of which takes the time that took returns.
func feed(l *Learner, id Server, kind Kind, requests int, from time.Duration, took func() time.Duration) time.Duration {
	now := from
	for range requests {
		r := l.Begin(id, 4, kind, now)
		now += took()
		l.End(r, true, now)
	}
	return now
}

// TestLastingSpeedIgnoresKindsAndPassingSlowness guards against keys that are divided by the kinds of requests that a server
// happened to get, by noise, or by a slow time of 5 s.
func TestLastingSpeedIgnoresKindsAndPassingSlowness(t *testing.T) {
	for _, spread := range []float64{0.3, 0.5, 0.8} {
		for seed := range 5 {
			t.Run(fmt.Sprintf("spread %v seed %d", spread, seed), func(t *testing.T) {
				r := newReplay(calm(seed, 4, 0.6, spread))
				r.duration = 80 * time.Second
				slow := r.servers[seed]
				r.after(r.duration-5*time.Second, func() { slow.slowFactor, slow.slowUntil = 6, r.duration })
				r.run()
				lasting, passing := make(map[string]float64), make(map[string]float64)
				mean, usual := 0.0, 0.0
				for _, s := range r.servers {
					for _, speed := range s.host.learner.Speeds(r.duration) {
						lasting[speed.Server.ID], passing[speed.Server.ID] = speed.Lasting, speed.Passing
					}
					mean += math.Log(s.factor) / float64(len(r.servers))
					usual += math.Log(lasting[s.ID]) / float64(len(r.servers))
				}
				for _, s := range r.servers {
					got := lasting[s.ID] / math.Exp(usual) * math.Exp(mean)
					assert.Assert(t, math.Abs(got/s.factor-1) < 0.2, "factor %v of %s is learned as %v", s.factor, s.ID, got)
					assert.Assert(t, s == slow || passing[s.ID] < passing[slow.ID], "passing slowness: %v", passing)
				}
			})
		}
	}
}

// TestWaitingAtTheServerIsNoSlowness guards against a server that counts as slow since it always has one request more
// than slots, and against one that is always full and of which nothing is learned.
func TestWaitingAtTheServerIsNoSlowness(t *testing.T) {
	l := &Learner{}
	now := time.Duration(0)
	const work = 50 * time.Millisecond
	open := []*Request{l.Begin(testServer, 1, testKind, 0), l.Begin(testServer, 1, testKind, 0)}
	for range 2000 {
		now += work
		l.End(open[0], true, now)
		open = append(open[1:], l.Begin(testServer, 1, testKind, now))
	}
	speeds := l.Speeds(now)
	assert.Equal(t, len(speeds), 1)
	want := work.Seconds() / testKind.Goal.Seconds()
	assert.Assert(t, math.Abs(speeds[0].Lasting/want-1) < 0.01 && math.Abs(speeds[0].Passing-1) < 0.01, "%+v", speeds[0])
	assert.Equal(t, l.Width(testServer, 1, false, now), 2)
}

// TestOnlyFreshSpeedsAreReported guards against speeds that are reported for ever for a server that has lost its keys.
func TestOnlyFreshSpeedsAreReported(t *testing.T) {
	l := &Learner{}
	now := feed(l, testServer, testKind, 600, 0, func() time.Duration { return 40 * time.Millisecond })
	assert.Equal(t, len(l.Speeds(now+time.Second)), 1)
	assert.Equal(t, len(l.Speeds(now+speedFreshFor+time.Millisecond)), 0)
}
