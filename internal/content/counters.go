package content

import "expvar"

// Counters count transfers since the start of the process. They are exported as metrics.
type Counters struct {
	// BytesFetched and BytesServed count the bytes of replies, compressed, that this host got and gave.
	BytesFetched, BytesServed expvar.Int
	// BytesReused counts the bytes of chunks that this host had from an earlier version.
	BytesReused expvar.Int
	// Unanswered counts messages without an answer in time, and Incomplete fetches that ended without the whole value.
	Unanswered, Incomplete expvar.Int
}

// Snapshot returns the counts by their metric names.
func (c *Counters) Snapshot() map[string]int64 {
	return map[string]int64{
		"bytes_fetched": c.BytesFetched.Value(), "bytes_served": c.BytesServed.Value(), "bytes_reused": c.BytesReused.Value(),
		"unanswered": c.Unanswered.Value(), "incomplete": c.Incomplete.Value(),
	}
}
