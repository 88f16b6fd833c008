package concurrency

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// calm is a replay without slow times.
func calm(seed int, slots int, load, spread float64) replayConfig {
	return replayConfig{
		seed: uint64(seed), servers: 6, slots: slots, factors: []float64{0.6, 1.0, 1.4}, spread: spread, noise: true, load: load,
		duration: 120 * time.Second, policy: func(s *replayServer) widthPolicy { return &learnedWidth{s: s} }, lasting: true,
	}
}

// TestNoiseDoesNotNarrowTheGate guards against a gate that stays narrow since its server is 3 times slower for 0.4 s at a
// time, or since work times vary.
func TestNoiseDoesNotNarrowTheGate(t *testing.T) {
	skipReplayWithRaceDetector(t)
	for _, slots := range []int{2, 4, 8} {
		for _, load := range []float64{0.6, 0.9} {
			for _, spread := range []float64{0.3, 0.8} {
				t.Run(fmt.Sprintf("slots %d load %v spread %v", slots, load, spread), func(t *testing.T) {
					full, narrow, longest := 0, 0, time.Duration(0)
					for seed := range 3 {
						r := newReplay(calm(seed, slots, load, spread))
						since := make(map[*replayServer]time.Duration)
						r.onWidth = func(s *replayServer, width int) {
							if width > slots {
								full++
								delete(since, s)
								return
							}
							narrow++
							if _, ok := since[s]; !ok {
								since[s] = r.now
							}
							longest = max(longest, r.now-since[s])
						}
						r.run()
					}
					share := float64(narrow) / float64(full+narrow)
					t.Logf("narrow for %.1f%% of the requests, at most for %v at a time", 100*share, longest)
					assert.Assert(t, share < 0.2, "narrow for %.0f%% of the requests", 100*share)
					assert.Assert(t, longest < 10*time.Second, "narrow for %v", longest)
				})
			}
		}
	}
}

// TestSlowServerGetsANarrowGateAtOnce checks that the gate of a server that is 4 to 12 times slower for 5 s narrows within
// about a second, and is wide again about a second after the server has recovered.
func TestSlowServerGetsANarrowGateAtOnce(t *testing.T) {
	skipReplayWithRaceDetector(t)
	for _, factor := range []float64{4, 6, 8, 12} {
		t.Run(fmt.Sprint(factor), func(t *testing.T) {
			var narrowAfter, wideAfter []float64
			for seed := range 10 {
				c := calm(seed, 4, 0.6, 0.5)
				c.duration = 60 * time.Second
				r := newReplay(c)
				slow := r.servers[2]
				const from = 40 * time.Second
				r.after(from, func() { slow.slowFactor, slow.slowUntil = factor, r.now+5*time.Second })
				full := slow.slots + 1
				narrowAt, wideAt := time.Duration(0), time.Duration(0)
				// The width is also asked for by requests that arrive, as by package front.
				var poll func()
				poll = func() {
					width := slow.host.learner.Width(Server{slow.ID, 1}, slow.slots, false, r.now)
					if width < full-1 && narrowAt == 0 && r.now >= from {
						narrowAt = r.now
					}
					if width == full && r.now > from+5*time.Second && wideAt == 0 {
						wideAt = r.now
					}
					r.after(20*time.Millisecond, poll)
				}
				r.after(0, poll)
				r.run()
				assert.Assert(t, narrowAt > 0, "seed %d: never narrow", seed)
				assert.Assert(t, wideAt > 0, "seed %d: never wide again", seed)
				narrowAfter = append(narrowAfter, (narrowAt - from).Seconds())
				wideAfter = append(wideAfter, (wideAt - from - 5*time.Second).Seconds())
			}
			t.Logf("narrow after %.2f s, wide again after %.2f s", narrowAfter, wideAfter)
			assert.Assert(t, median(narrowAfter) <= 1, "narrow after %.2f s", median(narrowAfter))
			assert.Assert(t, median(wideAfter) <= 1.5, "wide again after %.2f s", median(wideAfter))
		})
	}
}

// TestCallersGainFromLastingSpeeds checks that more requests are answered within their goal if keys are divided by lasting
// speeds and the width follows the server, and that this needs fewer moves of keys.
func TestCallersGainFromLastingSpeeds(t *testing.T) {
	skipReplayWithRaceDetector(t)
	for _, factors := range [][]float64{{0.6, 1.0, 1.4}, {0.7, 0.7, 1.7}} {
		for _, load := range []float64{0.6, 0.9} {
			for _, slow := range []bool{false, true} {
				t.Run(fmt.Sprintf("%v load %v slow %v", factors, load, slow), func(t *testing.T) {
					c := replayConfig{servers: 12, slots: 4, factors: factors, spread: 0.5, noise: true, slow: slow, load: load, duration: 120 * time.Second}
					// A slow time or two decide the result of one replay.
					seeds := 2
					if slow {
						seeds = 8
					}
					var before, after replayResult
					for seed := range seeds {
						c.seed = uint64(seed)
						c.policy, c.lasting = func(s *replayServer) widthPolicy { return fixedWidth(s.slots + 1) }, false
						before = before.add(newReplay(c).run())
						c.policy, c.lasting = func(s *replayServer) widthPolicy { return &learnedWidth{s: s} }, true
						after = after.add(newReplay(c).run())
					}
					t.Logf("before: %v\nafter:  %v", before, after)
					assert.Assert(t, after.share(after.inGoal) > before.share(before.inGoal))
					// A narrow gate refuses a slow server's requests early, of which some would have been answered late.
					assert.Assert(t, after.share(after.refused) < before.share(before.refused)+0.5)
					assert.Assert(t, after.moves <= before.moves+5)
				})
			}
		}
	}
}

// TestNarrowGateHelpsWhereServersSlowDown checks that the learned width serves more requests within their goal than slots + 1
// where requests take three times as long when all slots are in use, with the same division of keys.
func TestNarrowGateHelpsWhereServersSlowDown(t *testing.T) {
	skipReplayWithRaceDetector(t)
	for _, load := range []float64{0.6, 0.9} {
		c := replayConfig{
			servers: 12, slots: 4, factors: []float64{0.6, 1.0, 1.4}, spread: 0.5, congestion: 2, noise: true, load: load,
			duration: 120 * time.Second, lasting: true,
		}
		var fixed, learned replayResult
		for seed := range 8 {
			c.seed = uint64(seed)
			c.policy = func(s *replayServer) widthPolicy { return fixedWidth(s.slots + 1) }
			fixed = fixed.add(newReplay(c).run())
			c.policy = func(s *replayServer) widthPolicy { return &learnedWidth{s: s} }
			learned = learned.add(newReplay(c).run())
		}
		t.Logf("load %v\nfixed:   %v\nlearned: %v", load, fixed, learned)
		assert.Assert(t, learned.share(learned.inGoal) > fixed.share(fixed.inGoal))
	}
}

// TestCalmDayMovesFewKeys checks that division by lasting speed moves at most a few keys more than before where neither noise
// nor slow times occur.
func TestCalmDayMovesFewKeys(t *testing.T) {
	skipReplayWithRaceDetector(t)
	for _, load := range []float64{0.3, 0.6} {
		c := replayConfig{servers: 12, slots: 4, factors: []float64{0.6, 1.0, 1.4}, spread: 0.3, load: load, duration: 300 * time.Second}
		before := newReplay(c).run()
		c.policy, c.lasting = func(s *replayServer) widthPolicy { return &learnedWidth{s: s} }, true
		after := newReplay(c).run()
		t.Logf("load %v\nbefore: %v\nafter:  %v", load, before, after)
		assert.Assert(t, after.moves <= before.moves+5)
	}
}

// skipReplayWithRaceDetector leaves a replay to the run without the race detector. Replays are single goroutines in simulated
// time, in which there is no race to find, and take minutes with it.
func skipReplayWithRaceDetector(t *testing.T) {
	t.Helper()
	if raceEnabled {
		t.Skip("the replay runs without the race detector")
	}
}
