package keyrange

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestEvenRangesCoverAllKeysOnce(t *testing.T) {
	for n := 1; n < 300; n++ {
		next := 0
		for _, r := range Even(n) {
			assert.Equal(t, int(r.First), next)
			next = int(r.Last) + 1
		}
		assert.Equal(t, next, Count)
	}
}

func TestLoadOfRangesAndSplitPoints(t *testing.T) {
	load := NewLoad([]map[Key]CentiRate{{0: 100, 10: 300}, {10: 100, Last: 500}})
	assert.Equal(t, load.Total(), 10.0)
	assert.Equal(t, load.Of(Range{First: 0, Last: 9}), 1.0)
	assert.Equal(t, load.Of(Range{First: 10, Last: 10}), 4.0)
	assert.Equal(t, load.Of(Range{First: 11, Last: Last - 1}), 0.0)
	key, ok := load.SplitPoint(All, 5)
	assert.Assert(t, ok)
	assert.Equal(t, key, Key(10))
	_, ok = load.SplitPoint(Range{First: 10, Last: 10}, 1)
	assert.Assert(t, !ok)
}

// TestMeterFollowsTheRate checks that a key at 100 requests/s shows more than half of that
// rate within a second, and that it is dropped after 10 s without requests.
func TestMeterFollowsTheRate(t *testing.T) {
	m := NewMeter(0)
	now := time.Duration(0)
	var rates map[Key]CentiRate
	for range 3 {
		for range 30 {
			m.Add(7)
		}
		now += 300 * time.Millisecond
		rates = m.Rates(now)
	}
	assert.Assert(t, rates[7] > 5000 && rates[7] <= 10000, "%d", rates[7])
	now += 10 * time.Second
	assert.Equal(t, len(m.Rates(now)), 0)
}
