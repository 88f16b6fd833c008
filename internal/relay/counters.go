package relay

import "expvar"

// Counters count the reads of topics since the start of the process.
type Counters struct {
	// Direct reads went to the platform, Relayed ones to another host, Fallback ones to the platform
	// because the other host could not tell; Served ones were made by other hosts here.
	Direct, Relayed, Fallback, Served expvar.Int
}

// Snapshot returns the counts by name.
func (c *Counters) Snapshot() map[string]int64 {
	return map[string]int64{
		"direct": c.Direct.Value(), "relayed": c.Relayed.Value(), "fallback": c.Fallback.Value(), "served": c.Served.Value(),
	}
}
