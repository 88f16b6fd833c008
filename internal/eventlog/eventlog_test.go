package eventlog

import (
	"bytes"
	"context"
	"strings"
	"sync"
	"testing"

	"gotest.tools/v3/assert"
)

// blockedWriter blocks all writes until opened is closed.
type blockedWriter struct {
	opened chan struct{}

	mu   sync.Mutex
	text bytes.Buffer
}

func (w *blockedWriter) Write(p []byte) (int, error) {
	<-w.opened
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.text.Write(p)
}

// TestBlockedOutputDoesNotBlockCallers checks that callers are not blocked while the output is: lines
// are dropped and counted, and the next line that is written has the count.
func TestBlockedOutputDoesNotBlockCallers(t *testing.T) {
	w := &blockedWriter{opened: make(chan struct{})}
	l := New(w, "host", "h1")
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		l.Run(ctx)
		close(done)
	}()
	const lines = 100_000
	for i := range lines {
		l.Event("answer", "id", i)
	}
	assert.Assert(t, len(l.queue) <= queueLines)
	assert.Assert(t, l.Dropped() > lines/2, "%d", l.Dropped())
	close(w.opened)
	cancel()
	<-done
	text := w.text.String()
	assert.Assert(t, strings.Contains(text, "msg=answer host=h1 id=0"), "%.200s", text)
	assert.Assert(t, strings.Contains(text, "dropped_before="))
}

func TestRoutineLinesAreDroppedFirst(t *testing.T) {
	l := Discard()
	for range importantLinesPerSecond {
		l.Routine("answer")
	}
	routine := l.Dropped()
	assert.Assert(t, routine > 0)
	for range importantLinesPerSecond {
		l.Event("answer")
	}
	assert.Equal(t, l.Dropped(), routine)
}

// TestEndIsToldUnderLoad guards against a process whose last line is dropped, because many requests are being refused.
func TestEndIsToldUnderLoad(t *testing.T) {
	var w bytes.Buffer
	l := New(&w)
	for range 2 * importantLinesPerSecond * burstSeconds {
		l.Event("answer")
	}
	assert.Assert(t, l.Dropped() > 0)
	l.Lifecycle("stop")
	l.drain()
	assert.Assert(t, strings.Contains(w.String(), "msg=stop"))
}
