package fleet

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// requestsUnderLimit returns when requests go to a server that names a limit, if each of the hosts has a
// request for it at each interval from start on, for some time.
func requestsUnderLimit(rng *rand.Rand, limit float64, hosts int, start, interval, length time.Duration) []time.Duration {
	limits := make([]serverLimit, hosts)
	// A third of the hosts is in the server's zone.
	inZone := hosts / 3
	share := func(i int) Share { return SharedBy(inZone, hosts-inZone, i < inZone) }
	for i := range limits {
		limits[i].random = rng.ExpFloat64
		limits[i].name(limit, share(i), 0)
	}
	var sent []time.Duration
	for now := start; now < start+length; now += interval {
		for i := range limits {
			if limits[i].take(share(i), now) {
				sent = append(sent, now)
			}
		}
	}
	return sent
}

// TestHostsTogetherKeepALimit checks that all hosts together stay within what the platform's rule allows,
// one and a half times the limit and five requests in 4 s, whatever their number, also
// when all begin at the same time after none had a request.
func TestHostsTogetherKeepALimit(t *testing.T) {
	const window, length = 4 * time.Second, 10 * time.Minute
	rng := rand.New(rand.NewPCG(1, 1))
	for _, limit := range []float64{0.5, 1, 1.5, 4, 20} {
		for _, hosts := range []int{1, 2, 9, 12, 59, 300} {
			for _, start := range []time.Duration{0, 30 * time.Second} {
				sent := requestsUnderLimit(rng, limit, hosts, start, 20*time.Millisecond, length)
				first := 0
				for last := range sent {
					for sent[last]-sent[first] > window {
						first++
					}
					inWindow, allowed := last-first+1, 1.5*limit*window.Seconds()+5
					assert.Assert(t, float64(inWindow) <= allowed, "limit %v, %d hosts: %d in %v", limit, hosts, inWindow, window)
				}
				assert.Assert(t, float64(len(sent)) > 0.25*limit*length.Seconds(), "limit %v, %d hosts: only %d in %v", limit, hosts, len(sent), length)
			}
		}
	}
}

// TestHostThatSendsAloneKeepsALimit checks the host that sends alone, beside others that cannot reach it and
// send by themselves.
func TestHostThatSendsAloneKeepsALimit(t *testing.T) {
	for _, limit := range []float64{1, 4, 20} {
		var alone serverLimit
		alone.name(limit, SoleShare, 0)
		sent := 0
		for now := time.Duration(0); now < time.Minute; now += 5 * time.Millisecond {
			if alone.take(SoleShare, now) {
				sent++
			}
		}
		assert.Assert(t, float64(sent) <= soleUsable*limit*60 && float64(sent) > 0.6*limit*60, "limit %v: %d in a minute", limit, sent)
	}
}

// TestRefusedCallersReturnApart checks that callers that are refused in a row come back at different
// times, and none later than maxReturn.
func TestRefusedCallersReturnApart(t *testing.T) {
	for _, share := range []Share{SoleShare, SharedBy(3, 6, true)} {
		var l serverLimit
		l.name(4, share, time.Second)
		last := time.Duration(0)
		for n := range 3 {
			after := l.returnAfter(share, time.Second)
			assert.Assert(t, after >= last+200*time.Millisecond && after <= maxReturn, "caller %d: %v after %v", n, after, last)
			last = after
		}
		for range 100 {
			assert.Assert(t, l.returnAfter(share, time.Second) <= maxReturn)
		}
		l.clear()
		assert.Assert(t, l.returnAfter(share, time.Second) > 0)
	}
}
