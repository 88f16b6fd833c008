package relay

import "expvar"

// Counters count reads of topics since the start of the process. They are exported as metrics.
type Counters struct {
	// Direct counts reads from the platform. Relayed counts reads that another host answered.
	// Fallback counts reads that the other host could not answer, so that this host read from the
	// platform instead; these count as Direct too. Served counts reads that other hosts made from
	// this one, answered or not.
	Direct, Relayed, Fallback, Served expvar.Int
	// Unanswered counts reads that the other host did not answer in time.
	Unanswered expvar.Int
}

// Snapshot returns the counts by their metric names.
func (c *Counters) Snapshot() map[string]int64 {
	return map[string]int64{
		"direct": c.Direct.Value(), "relayed": c.Relayed.Value(), "fallback": c.Fallback.Value(), "served": c.Served.Value(),
		"unanswered": c.Unanswered.Value(),
	}
}
