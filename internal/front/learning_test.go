package front

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/poplarcroft/poplarcroft/internal/concurrency"
	"github.com/poplarcroft/poplarcroft/internal/dispatch"
	"github.com/poplarcroft/poplarcroft/internal/fleet"
)

// TestEveryAttemptEndsAtTheLearner guards against requests that count as running for ever, which would narrow the gate of a
// server: answered ones, refused ones, lost ones, and those whose connection is refused.
func TestEveryAttemptEndsAtTheLearner(t *testing.T) {
	for name, answers := range map[string][]string{
		"answered": {answerOK}, "error": {rawAnswer(404, "none")}, "shed": {answerShed}, "lost": {""}, "failed": {rawAnswer(500, "broken")},
	} {
		t.Run(name, func(t *testing.T) {
			server := startServer(t, answers...)
			s := newSystem(t, server)
			s.timeoutMS = "300"
			_, _, err := s.call(t, "GET", "/keyed/x", "")
			assert.NilError(t, err)
			snapshot := s.ingress.Learner.Snapshot().(map[string]any)
			assert.Equal(t, snapshot["servers"], 1)
			assert.Equal(t, snapshot["running"], 0)
		})
	}
}

// TestGateFollowsTheLearner checks that the gate of a server that has become slow lets fewer requests pass.
func TestGateFollowsTheLearner(t *testing.T) {
	s := newSystem(t, startServer(t, answerOK))
	entry := fleet.Entry{ID: "revize-0", Born: 1, Slots: 4}
	id := concurrency.Server{ID: "revize-0", Born: 1}
	kind := concurrency.Kind{Service: "revize", Route: "keyed", Goal: 5 * time.Second}
	l := &s.ingress.Learner
	now := s.ingress.clock() - 20*time.Second
	for range 1500 {
		r := l.Begin(id, entry.Slots, kind, now)
		now += 10 * time.Millisecond
		l.End(r, true, now)
	}
	for now < s.ingress.clock() {
		r := l.Begin(id, entry.Slots, kind, now)
		now += 100 * time.Millisecond
		l.End(r, true, now)
		l.Width(id, entry.Slots, false, now)
	}
	gate := s.ingress.gates.get(entry)
	s.ingress.followWidth(gate, entry)
	far := s.ingress.clock() + time.Hour
	// The server has full width of 5 requests, and in a slow time one of 3.
	for range 3 {
		_, ok := gate.Acquire(t.Context(), dispatch.Item{Goal: far, Deadline: far})
		assert.Assert(t, ok)
	}
	go gate.Acquire(t.Context(), dispatch.Item{Goal: far, Deadline: far})
	for began := time.Now(); !s.ingress.Queued() && time.Since(began) < 5*time.Second; {
		time.Sleep(time.Millisecond)
	}
	running, queued := gate.Len()
	assert.Equal(t, fmt.Sprint(running, queued), "3 1")
}
