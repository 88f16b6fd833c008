package balance

import (
	"time"

	"github.com/poplarcroft/poplarcroft/internal/backend"
)

// Observation holds what a policy has observed of one target.
type Observation struct {
	Target
	// InFlight is the number of this host's attempts in flight.
	InFlight int
	// Latency is the moving average of the latency, or zero if none is known.
	Latency time.Duration
	// Report is the last load report.
	Report backend.LoadReport
	// Cold reports whether the target is in its cold start.
	Cold bool
}

// Observer is implemented by the policies that expose their observations.
type Observer interface {
	// Observations returns the observations of all targets.
	Observations() []Observation
}

// Observations implements Observer.
func (t *targetTable) Observations() []Observation {
	observations := make([]Observation, 0, len(t.targets))
	for _, state := range t.targets {
		observations = append(observations, Observation{
			Target:   state.Target,
			InFlight: len(state.started),
			Latency:  time.Duration(state.meanLatency * float64(time.Second)),
			Report:   state.report,
			Cold:     state.cold,
		})
	}
	return observations
}
