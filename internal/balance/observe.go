package balance

import (
	"time"

	"github.com/poplarcroft/poplarcroft/internal/backend"
)

// Observation is what a policy knows of one target.
type Observation struct {
	Target
	InFlight int
	// Latency is the moving average of the latency; zero where nothing is known.
	Latency time.Duration
	Report  backend.LoadReport
	Cold    bool
}

// Observer is implemented by the policies that tell what they know.
type Observer interface {
	// Observations returns what is known of each target.
	Observations() []Observation
}

// Observations implements Observer.
func (t *targetTable) Observations() []Observation {
	observations := make([]Observation, 0, len(t.targets))
	for _, state := range t.targets {
		observations = append(observations, Observation{
			Target:   state.Target,
			InFlight: len(state.started),
			Latency:  time.Duration(state.mean * float64(time.Second)),
			Report:   state.report,
			Cold:     state.cold,
		})
	}
	return observations
}
