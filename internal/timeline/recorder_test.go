package timeline

import (
	"bufio"
	"bytes"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"
)

func fixedClock() time.Time {
	return time.UnixMilli(1_000)
}

func TestRecorderKeepsTheLatestEvents(t *testing.T) {
	r := NewRecorder("h1", 3, fixedClock)
	assert.Equal(t, len(r.Since(0)), 0)
	for range 5 {
		r.Record(Event{Kind: KindLeadGained})
	}
	var seqs []uint64
	for _, event := range r.Since(0) {
		assert.Equal(t, event.Host, "h1")
		assert.Equal(t, event.TimeMS, int64(1_000))
		seqs = append(seqs, event.Seq)
	}
	assert.DeepEqual(t, seqs, []uint64{3, 4, 5})
	assert.Equal(t, len(r.Since(4)), 1)
	assert.Equal(t, len(r.Since(5)), 0)
	assert.Equal(t, len(r.Since(1<<63)), 0)
}

func TestSinkWritesAnEventPerLine(t *testing.T) {
	r := NewRecorder("h1", 3, fixedClock)
	var out bytes.Buffer
	stop := r.StartSink(&out)
	r.Record(Event{Kind: KindLogDown})
	r.Record(Event{Kind: KindLogUp})
	assert.NilError(t, stop())
	lines := bufio.NewScanner(&out)
	count := 0
	for lines.Scan() {
		count++
	}
	assert.Equal(t, count, 2)
}

// blockedWriter blocks every write until release is closed; the write then fails.
type blockedWriter struct{ release chan struct{} }

func (w blockedWriter) Write([]byte) (int, error) {
	<-w.release
	return 0, errors.New("disk gone")
}

func TestSinkDropsAndCountsEventsThatItCannotWrite(t *testing.T) {
	r := NewRecorder("h1", 3, fixedClock)
	w := blockedWriter{release: make(chan struct{})}
	stop := r.StartSink(w)
	for range sinkQueueLength + 10 {
		r.Record(Event{Kind: KindLogDown})
	}
	assert.Assert(t, r.Dropped() >= 9)
	close(w.release)
	assert.ErrorContains(t, stop(), "disk gone")
}
