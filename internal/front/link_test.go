package front

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// linkAt returns a meter of a link of 10 Mbit/s, and the time that its clock shows.
func linkAt() (*linkMeter, *time.Duration) {
	now := time.Duration(0)
	return &linkMeter{rate: 1.25e6, clock: func() time.Duration { return now }}, &now
}

// answer passes an answer of the given size on at once.
func (m *linkMeter) answer(use *linkUse, bytes int) {
	use.expect(int64(bytes))
	use.beginWrite()
	use.endWrite(bytes)
	use.end(true)
}

// TestLinkDrainsAtItsRate checks that bytes that were written wait for the link, and no longer when they have left.
func TestLinkDrainsAtItsRate(t *testing.T) {
	meter, now := linkAt()
	use, _ := meter.admit("d", time.Second)
	meter.answer(use, 2_500_000)
	_, excess := meter.admit("d", 3*time.Second)
	assert.Equal(t, excess, time.Second, "2 s for what waits and 2 s for the answer itself, of 3 s")
	*now += 1500 * time.Millisecond
	use, excess = meter.admit("d", 3*time.Second)
	assert.Equal(t, excess, time.Duration(0))
	use.end(false)
	*now += 500 * time.Millisecond
	use, _ = meter.admit("d", time.Millisecond)
	assert.Assert(t, use != nil, "an empty link takes every request")
}

// TestAnswersNotYetWrittenWaitForTheLink checks that answers that are expected count as waiting, by their length as soon as
// it is known, and no longer after their end.
func TestAnswersNotYetWrittenWaitForTheLink(t *testing.T) {
	meter, _ := linkAt()
	first, _ := meter.admit("d", time.Second)
	first.expect(5_000_000)
	_, excess := meter.admit("d", 4*time.Second)
	assert.Assert(t, excess > 0)
	first.end(false)
	_, excess = meter.admit("d", 4*time.Second)
	assert.Equal(t, excess, time.Duration(0))
}

// TestStalledCallerDoesNotHoldTheLink checks that the rest of an answer whose caller does not read no longer counts.
func TestStalledCallerDoesNotHoldTheLink(t *testing.T) {
	meter, now := linkAt()
	stalled, _ := meter.admit("d", time.Second)
	stalled.expect(50_000_000)
	stalled.beginWrite()
	_, excess := meter.admit("d", time.Second)
	assert.Assert(t, excess > 0)
	*now += stalledAfter
	_, excess = meter.admit("d", time.Second)
	assert.Equal(t, excess, time.Duration(0))
}

// TestUnknownLinkTakesEverything checks that nothing is refused where the rate of the link is not known.
func TestUnknownLinkTakesEverything(t *testing.T) {
	meter := &linkMeter{clock: func() time.Duration { return 0 }}
	meter.wrote(1 << 40)
	use, excess := meter.admit("d", 0)
	assert.Equal(t, excess, time.Duration(0))
	use.expect(1)
	use.beginWrite()
	use.endWrite(1)
	use.end(true)
}

// TestBurstOfDownloadsKeepsItsGoal replays downloads of 90 KB at three times the rate of the link for 20 s. Each that is
// admitted must have left within its goal, and the link must be used.
func TestBurstOfDownloadsKeepsItsGoal(t *testing.T) {
	meter, now := linkAt()
	const size, goal = 90_000, 2 * time.Second
	leaves := time.Duration(0)
	admitted, late := 0, 0
	const step, steps = 24 * time.Millisecond, 833
	for range steps {
		*now += step
		use, excess := meter.admit("d", goal)
		if excess > 0 {
			continue
		}
		meter.answer(use, size)
		transfer := time.Duration(size / meter.rate * float64(time.Second))
		leaves = max(leaves, *now) + transfer
		admitted++
		if leaves-*now > goal {
			late++
		}
	}
	assert.Equal(t, late, 0)
	possible := int(float64(steps) * step.Seconds() * meter.rate / size)
	t.Logf("%d admitted of %d that the link can carry, %d asked", admitted, possible, steps)
	assert.Assert(t, admitted >= possible*9/10, "%d of %d that the link can carry", admitted, possible)
}
