package host

import (
	"expvar"
	"sync"
	"time"
)

// metricsName is the expvar name of the map with the metrics of all hosts of a process.
const metricsName = "poplarcroft"

// published holds the metrics of the process's hosts by name.
var published = sync.OnceValue(func() *expvar.Map { return expvar.NewMap(metricsName) })

// Metrics are a host's counters and gauges. Their JSON names are stable.
type Metrics struct {
	RequestsDone      int64 `json:"requests_done"`
	RequestsNotRun    int64 `json:"requests_not_run"`
	RequestsUnknown   int64 `json:"requests_unknown"`
	RequestRetries    int64 `json:"request_retries"`
	RequestsForwarded int64 `json:"requests_forwarded"`
	// LogOffset is the offset of the last record applied.
	LogOffset uint64 `json:"log_offset"`
	// LogAgeMS is the time since the log last confirmed that the host is up to date.
	LogAgeMS         int64  `json:"log_age_ms"`
	MalformedRecords uint64 `json:"malformed_records"`
	// Sessions counts the sessions that the host is a lessor of, Primaries (leads in
	// JSON) those of them whose primary it is.
	Sessions  int `json:"sessions"`
	Primaries int `json:"leads"`
	// KnownHosts and LiveHosts count the hosts that this one has in its list, itself included.
	KnownHosts    int    `json:"known_hosts"`
	LiveHosts     int    `json:"live_hosts"`
	Suspects      int    `json:"suspect_requests"`
	EventsDropped uint64 `json:"events_dropped"`
}

// publishMetrics makes the host's metrics readable below /debug/vars.
func (h *Host) publishMetrics() {
	published().Set(h.config.Name, expvar.Func(func() any { return h.metrics() }))
}

func (h *Host) metrics() Metrics {
	m := Metrics{
		RequestsDone:      h.counters.Done.Load(),
		RequestsNotRun:    h.counters.NotRun.Load(),
		RequestsUnknown:   h.counters.Unknown.Load(),
		RequestRetries:    h.counters.Retries.Load(),
		RequestsForwarded: h.counters.Forwarded.Load(),
		LogOffset:         uint64(h.view.Applied()),
		LogAgeMS:          time.Since(h.view.ConfirmedAt()).Milliseconds(),
		MalformedRecords:  h.view.Malformed(),
		KnownHosts:        len(h.members.All()),
		LiveHosts:         len(h.members.Live()),
		Suspects:          h.guard.Len(),
		EventsDropped:     h.events.Dropped(),
	}
	h.mu.RLock()
	defer h.mu.RUnlock()
	m.Sessions = len(h.keepers)
	for _, k := range h.keepers {
		if _, primary := k.Primary(); primary {
			m.Primaries++
		}
	}
	return m
}
