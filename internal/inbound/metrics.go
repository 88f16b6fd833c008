package inbound

import (
	"sync/atomic"
	"time"
)

// tellInterval is the least time between two log lines.
const tellInterval = time.Second

// counters count what a Guard has refused or closed.
type counters struct {
	refused, evicted, idle, slowHeads, largeHeads, noMemory atomic.Int64
}

// Metrics are the metrics of a Guard. All but the first three count since the start of the process.
type Metrics struct {
	// Connections is the number of open connections, and HeadMemory the memory of large heads in bytes.
	Connections int   `json:"connections"`
	HeadMemory  int64 `json:"head_memory"`
	// Refused counts new connections that were closed because all others had requests, and Evicted those that were closed to make
	// room for new ones.
	Refused int64 `json:"refused"`
	Evicted int64 `json:"evicted"`
	// Idle counts connections that were closed because no request came, and SlowHeads those whose head did not come in time.
	Idle      int64 `json:"idle"`
	SlowHeads int64 `json:"slow_heads"`
	// LargeHeads counts heads above the limit, and NoMemory those for which there was no memory.
	LargeHeads int64 `json:"large_heads"`
	NoMemory   int64 `json:"no_memory"`
	// toldAt is when a log line told these metrics.
	toldAt time.Duration
}

// Metrics returns the present metrics.
func (g *Guard) Metrics() Metrics {
	g.mu.Lock()
	open := g.open
	g.mu.Unlock()
	return Metrics{
		Connections: open, HeadMemory: g.headMemory.Load(),
		Refused: g.counters.refused.Load(), Evicted: g.counters.evicted.Load(), Idle: g.counters.idle.Load(),
		SlowHeads: g.counters.slowHeads.Load(), LargeHeads: g.counters.largeHeads.Load(), NoMemory: g.counters.noMemory.Load(),
	}
}

// refusals returns the number of connections and requests that were refused for a limit. Idle connections end in the ordinary course.
func (m Metrics) refusals() int64 {
	return m.Refused + m.Evicted + m.SlowHeads + m.LargeHeads + m.NoMemory
}

// tell logs what has been refused since the last line, and returns the metrics of the last line.
func (g *Guard) tell(now time.Duration, told Metrics) Metrics {
	m := g.Metrics()
	if m.refusals() == told.refusals() || now-told.toldAt < tellInterval {
		return told
	}
	g.config.Log("inbound", "listener", g.config.Name, "connections", m.Connections, "head_memory", m.HeadMemory,
		"refused", m.Refused-told.Refused, "evicted", m.Evicted-told.Evicted, "slow_heads", m.SlowHeads-told.SlowHeads,
		"large_heads", m.LargeHeads-told.LargeHeads, "no_memory", m.NoMemory-told.NoMemory)
	m.toldAt = now
	return m
}
