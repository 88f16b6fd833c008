package outlier

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

const normalLatency = 10 * time.Millisecond

// newSampledDetector returns a detector with ten servers that all have answered five
// times in normalLatency.
func newSampledDetector() (*Detector, []string) {
	detector := New(Options{PicksPerProbe: 1})
	addrs := make([]string, 10)
	for i := range addrs {
		addrs[i] = fmt.Sprintf("127.0.0.1:%d", i+1)
	}
	detector.SetServers(addrs)
	for range 5 {
		for _, addr := range addrs {
			detector.Succeeded(addr, 0, normalLatency)
		}
	}
	return detector, addrs
}

func TestSlowServerIsEjected(t *testing.T) {
	detector, addrs := newSampledDetector()
	attempts := 0
	for !detector.Ejected(addrs[0]) {
		attempts++
		detector.Succeeded(addrs[0], 0, 10*normalLatency)
	}
	assert.Assert(t, attempts <= 2, "ejected after %d attempts", attempts)
	assert.Equal(t, detector.Count(), 1)
}

func TestFailingServerIsEjected(t *testing.T) {
	detector, addrs := newSampledDetector()
	detector.Failed(addrs[0], 0)
	detector.Failed(addrs[0], 0)
	detector.Succeeded(addrs[0], 0, normalLatency)
	detector.Failed(addrs[0], 0)
	detector.Failed(addrs[0], 0)
	assert.Assert(t, !detector.Ejected(addrs[0]))
	detector.Failed(addrs[0], 0)
	assert.Assert(t, detector.Ejected(addrs[0]))
}

func TestAllSlowEjectsNone(t *testing.T) {
	detector, addrs := newSampledDetector()
	for range 100 {
		for _, addr := range addrs[:6] {
			detector.Succeeded(addr, 0, 2*normalLatency)
		}
	}
	assert.Equal(t, detector.Count(), 0)
}

func TestServerReturnsAfterGoodProbes(t *testing.T) {
	detector, addrs := newSampledDetector()
	for range 5 {
		detector.Succeeded(addrs[0], 0, 10*normalLatency)
	}
	_, due := detector.Probe(0)
	assert.Assert(t, !due)
	for range 5 {
		detector.Succeeded(addrs[0], 0, normalLatency) // sent before the ejection
	}
	assert.Assert(t, detector.Ejected(addrs[0]))
	now := time.Duration(0)
	probes := 0
	for detector.Ejected(addrs[0]) {
		now += 100 * time.Millisecond
		addr, due := detector.Probe(now)
		if !due {
			continue
		}
		assert.Equal(t, addr, addrs[0])
		probes++
		detector.Succeeded(addr, now, normalLatency)
	}
	assert.Equal(t, probes, Defaults().GoodProbes)
	assert.Equal(t, detector.Count(), 0)
}

func TestFailedServerReturnsOnlyAfterAllGoodProbes(t *testing.T) {
	detector, addrs := newSampledDetector()
	for range Defaults().ConsecutiveFailures {
		detector.Failed(addrs[0], 0)
	}
	for probe := range Defaults().GoodProbes {
		assert.Assert(t, detector.Ejected(addrs[0]), "after %d good probes", probe)
		detector.Succeeded(addrs[0], time.Second, normalLatency)
	}
	assert.Assert(t, !detector.Ejected(addrs[0]))
}

func TestServerWithCancelledAttemptsIsEjected(t *testing.T) {
	detector, addrs := newSampledDetector()
	for range 100 {
		detector.Cancelled(addrs[0], 0, normalLatency/2)
	}
	assert.Assert(t, !detector.Ejected(addrs[0]))
	detector.Cancelled(addrs[0], 0, 100*normalLatency)
	assert.Assert(t, detector.Ejected(addrs[0]))
}

func TestBadProbesLengthenTheProbeInterval(t *testing.T) {
	detector, addrs := newSampledDetector()
	for range 5 {
		detector.Succeeded(addrs[0], 0, 10*normalLatency)
	}
	probes := 0
	for now := time.Duration(0); now < time.Minute; now += 100 * time.Millisecond {
		if addr, due := detector.Probe(now); due {
			probes++
			detector.Succeeded(addr, now, 10*normalLatency)
		}
	}
	assert.Assert(t, detector.Ejected(addrs[0]))
	assert.Assert(t, probes >= 5 && probes <= 10, "%d probes in a minute", probes)
}

func TestProbesAreBoundedByAShareOfPicks(t *testing.T) {
	detector, addrs := newSampledDetector()
	detector.options.PicksPerProbe = 100
	for range 5 {
		detector.Succeeded(addrs[0], 0, 10*normalLatency)
	}
	probes := 0
	for pick := range 1000 {
		now := 5*time.Second + time.Duration(pick)*time.Millisecond
		if _, due := detector.Probe(now); due {
			probes++
		}
	}
	assert.Assert(t, probes <= 10, "%d probes in 1000 picks", probes)
}

func TestEjectionIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		detector := New(Options{})
		now := time.Duration(0)
		count := 0
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 500).Draw(t, "ms")) * time.Millisecond
			addr := fmt.Sprint(rapid.IntRange(0, 11).Draw(t, "server"))
			switch rapid.IntRange(0, 9).Draw(t, "action") {
			case 0:
				count = rapid.IntRange(0, 12).Draw(t, "count")
				var addrs []string
				for i := range count {
					addrs = append(addrs, fmt.Sprint(i))
				}
				detector.SetServers(addrs)
			case 1:
				detector.Forget(addr)
			case 2:
				detector.Cancelled(addr, now, time.Second)
			case 3, 4:
				detector.Failed(addr, now)
			default:
				latency := rapid.IntRange(0, 1000).Draw(t, "latency")
				detector.Succeeded(addr, now, time.Duration(latency)*time.Millisecond)
			}
			detector.Probe(now)
			ejected := 0
			for i := range 12 {
				if detector.Ejected(fmt.Sprint(i)) {
					ejected++
				}
			}
			assert.Equal(t, ejected, detector.Count())
			assert.Assert(t, ejected <= int(Defaults().MaxEjectedShare*float64(count)))
		}
	})
}
