package model

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

const (
	// runs is the number of seeds that must not violate the invariant.
	runs = 3000
	// steps is the number of random steps in a run.
	steps = 3000
	// mutationRuns is the largest number of seeds run for each disabled rule.
	mutationRuns = 20_000
)

// run takes random steps. It stops and returns an error once two
// servers may execute requests for one slice.
func (s *system) run() error {
	for range steps {
		s.step()
		if err := s.check(); err != nil {
			return err
		}
	}
	return nil
}

// traceOf runs a seed again and returns its trace, one event per line.
func traceOf(seed uint64) string {
	s := newSystem(seed)
	s.tracing = true
	if err := s.run(); err != nil {
		s.countf("violation", "%v", err)
	}
	return strings.Join(s.trace, "\n")
}

func TestNoSliceIsServedTwice(t *testing.T) {
	t.Parallel()
	counts := make(map[string]int)
	for seed := range uint64(runs) {
		s := newSystem(seed)
		if err := s.run(); err != nil {
			t.Fatalf("seed %d: %v\n%s", seed, err, traceOf(seed))
		}
		for what, n := range s.counts {
			counts[what] += n
		}
	}
	t.Log(counts)
	for _, what := range []string{
		"adopts", "closes", "recovers", "accepted open", "accepted plan", "accepted moved", "accepted close",
		"accepted lessors", "accepted sealed", "host restarts", "server restarts",
	} {
		assert.Assert(t, counts[what] >= runs/10, "%s: %d times in %d runs", what, counts[what], runs)
	}
}

// TestDisabledRecoveryRuleIsDetected checks that the model detects each disabled
// rule of the recovery: without it, some seed must let two servers execute requests
// for one slice.
func TestDisabledRecoveryRuleIsDetected(t *testing.T) {
	for _, mutation := range []struct {
		name        string
		disableRule func(*system)
		// from is the first seed of the search.
		from uint64
	}{
		{"base version of a recovery's close record", func(s *system) { s.omitBase = true }, 6300},
		{"query of successors that the log has replaced", func(s *system) { s.newestSuccessorOnly = true }, 39419},
	} {
		t.Run(mutation.name, func(t *testing.T) {
			t.Parallel()
			for seed := mutation.from; seed < mutation.from+mutationRuns; seed++ {
				s := newSystem(seed)
				mutation.disableRule(s)
				if err := s.run(); err != nil {
					t.Logf("seed %d: %v", seed, err)
					return
				}
			}
			t.Fatal("no seed violated the invariant without the rule")
		})
	}
}
