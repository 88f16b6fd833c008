package edge

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/poplarcroft/poplarcroft/internal/routetable"
)

// TestDelayCountsFromTheFirstSign checks that the delay of a configuration counts from when the host first knew that it lacked
// one, whatever told it.
func TestDelayCountsFromTheFirstSign(t *testing.T) {
	now := time.Duration(0)
	p := newConfigProgress(func() time.Duration { return now })
	p.inForce(3, 100)
	p.noteRead(1)
	p.noteOthersRead(2)
	now += 300 * time.Millisecond
	p.noteOthersVersion(6)
	now += 400 * time.Millisecond
	assert.Equal(t, p.metrics().BehindMS, int64(700))
	assert.Equal(t, p.inForce(6, 200), 700*time.Millisecond)
	p.noteRead(2)
	now += time.Second
	m := p.metrics()
	assert.Equal(t, m.BehindMS, int64(0))
	assert.Equal(t, m.Version, uint64(6))
	assert.Equal(t, m.Bytes, 200)
	assert.Equal(t, m.DelayMS.Count, int64(2))
}

// TestLateHosts checks that the leader tells hosts that have been behind for long from those that have not had the time to follow.
func TestLateHosts(t *testing.T) {
	now := time.Duration(0)
	p := newConfigProgress(func() time.Duration { return now })
	p.inForce(5, 100)
	late, _, _ := p.reported("h1", 4)
	assert.Assert(t, !late)
	now += lateAfter + time.Millisecond
	late, inForce, since := p.reported("h1", 4)
	assert.Assert(t, late)
	assert.Equal(t, inForce, routetable.Version(5))
	assert.Equal(t, since, lateAfter+time.Millisecond)
	late, _, _ = p.reported("h2", 5)
	assert.Assert(t, !late)
	assert.DeepEqual(t, p.metrics().HostsBehind, map[string]uint64{"h1": 4})
}

// TestDroppedBytesAreCounted checks that reads that end without their answer count what had arrived of it.
func TestDroppedBytesAreCounted(t *testing.T) {
	p := newConfigProgress(func() time.Duration { return 0 })
	p.readFailed(true, 5000)
	p.readFailed(false, 0)
	m := p.metrics()
	assert.Equal(t, m.FailedReads, int64(2))
	assert.Equal(t, m.RestartedReads, int64(1))
	assert.Equal(t, m.BytesDropped, int64(5000))
}
