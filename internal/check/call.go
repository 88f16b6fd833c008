package check

import (
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/poplarcroft/poplarcroft/internal/outcome"
)

// Call is one request as its caller observed it.
type Call struct {
	// ID is the Idempotency-Key that the caller sent.
	ID      string `json:"id"`
	Service string `json:"service"`
	Key     string `json:"key"`
	Method  string `json:"method"`
	// Host is the name of the host that the caller sent the request to.
	Host string `json:"host"`
	// StartNS and EndNS are wall-clock times in Unix nanoseconds.
	StartNS int64 `json:"start_ns"`
	EndNS   int64 `json:"end_ns"`
	// Status is the HTTP status, or zero if no complete answer arrived.
	Status int `json:"status"`
	// Outcome is empty if no complete answer arrived.
	Outcome outcome.Outcome `json:"outcome"`
	Reason  outcome.Reason  `json:"reason"`
	// Fault describes what is wrong with an answer that arrived: it is incomplete or belongs to another request.
	Fault string `json:"fault,omitempty"`
	// Error describes why no complete answer arrived.
	Error string `json:"error,omitempty"`
}

// Acknowledged reports whether the answer confirmed that the request succeeded.
func (c Call) Acknowledged() bool {
	return c.Outcome == outcome.Done && c.Status/100 == 2
}

// Safe reports whether an HTTP method is safe: it has no effect, so a request
// may be executed any number of times.
func Safe(method string) bool {
	return method == http.MethodGet || method == http.MethodHead || method == http.MethodOptions
}

// Outage is a period in which the calls for one key were not served.
type Outage struct {
	Service string
	Key     string
	Length  time.Duration
	// Calls is the number of calls that were not served during the outage.
	Calls int
}

// LongestOutage returns the longest period in which the calls for one key were
// not served. An outage lasts from the start of the first call that was not
// served to the end of the next call that was served or, if there is none, to
// the end of the key's last call. A served call without failed calls before it
// counts as an outage of its own duration, so that slow calls show up.
func LongestOutage(calls []Call) Outage {
	var longest Outage
	for _, list := range callsByKey(calls) {
		for _, outage := range outages(list) {
			if outage.Length > longest.Length {
				longest = outage
			}
		}
	}
	return longest
}

// outages returns the outages in the calls of one key, ordered by start. It sorts calls in place.
func outages(calls []Call) []Outage {
	slices.SortFunc(calls, func(a, b Call) int { return int(a.StartNS - b.StartNS) })
	var result []Outage
	var outageStart, latestEnd int64
	failed := 0
	for _, c := range calls {
		if failed == 0 {
			outageStart = c.StartNS
		}
		latestEnd = max(latestEnd, c.EndNS)
		if !c.Acknowledged() {
			failed++
			continue
		}
		result = append(result, newOutage(c, outageStart, c.EndNS, failed))
		failed = 0
	}
	if failed > 0 {
		result = append(result, newOutage(calls[0], outageStart, latestEnd, failed))
	}
	return result
}

func newOutage(c Call, from, to int64, failed int) Outage {
	return Outage{Service: c.Service, Key: c.Key, Length: time.Duration(to - from), Calls: failed}
}

func callsByKey(calls []Call) map[string][]Call {
	groups := make(map[string][]Call)
	for _, c := range calls {
		key := groupKey(c.Service, c.Key)
		groups[key] = append(groups[key], c)
	}
	return groups
}

// groupKey joins its parts to one map key.
func groupKey(parts ...string) string {
	return strings.Join(parts, "\x00")
}
