package check

import (
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/poplarcroft/poplarcroft/internal/outcome"
)

// Call is one request as its caller saw it.
type Call struct {
	// ID is the Idempotency-Key that the caller sent.
	ID      string `json:"id"`
	Service string `json:"service"`
	Key     string `json:"key"`
	Method  string `json:"method"`
	// Host is the name of the host that the caller asked.
	Host string `json:"host"`
	// StartNS and EndNS are the wall clock's Unix nanoseconds.
	StartNS int64 `json:"start_ns"`
	EndNS   int64 `json:"end_ns"`
	// Status is zero where no whole answer arrived.
	Status int `json:"status"`
	// Outcome is empty where no whole answer arrived.
	Outcome outcome.Outcome `json:"outcome"`
	Reason  outcome.Reason  `json:"reason"`
	// Fault says what was wrong with an answer that arrived: not whole, or not the caller's own.
	Fault string `json:"fault,omitempty"`
	// Error says why no whole answer arrived.
	Error string `json:"error,omitempty"`
}

// Acknowledged reports whether the caller was told that the request succeeded.
func (c Call) Acknowledged() bool {
	return c.Outcome == outcome.Done && c.Status/100 == 2
}

// Safe reports whether a method has no effect, so that it may be executed any
// number of times.
func Safe(method string) bool {
	return method == http.MethodGet || method == http.MethodHead || method == http.MethodOptions
}

// Outage is a time in which the calls for a key were not served.
type Outage struct {
	Service string
	Key     string
	Length  time.Duration
	// Calls is the number of calls that were not served in it.
	Calls int
}

// LongestOutage returns the longest time in which calls for one key were not
// served. An outage lasts from the start of the first call that was not served
// to the end of the next that was, or of the key's last call. A served call
// that took long counts as an outage of its own length.
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

// outages returns the outages in the calls of one key, in the order of their start.
func outages(calls []Call) []Outage {
	slices.SortFunc(calls, func(a, b Call) int { return int(a.StartNS - b.StartNS) })
	var list []Outage
	var since, last int64
	failed := 0
	for _, c := range calls {
		if failed == 0 {
			since = c.StartNS
		}
		last = max(last, c.EndNS)
		if !c.Acknowledged() {
			failed++
			continue
		}
		list = append(list, newOutage(c, since, c.EndNS, failed))
		failed = 0
	}
	if failed > 0 {
		list = append(list, newOutage(calls[0], since, last, failed))
	}
	return list
}

func newOutage(c Call, from, to int64, failed int) Outage {
	return Outage{Service: c.Service, Key: c.Key, Length: time.Duration(to - from), Calls: failed}
}

func callsByKey(calls []Call) map[string][]Call {
	groups := make(map[string][]Call)
	for _, c := range calls {
		name := groupName(c.Service, c.Key)
		groups[name] = append(groups[name], c)
	}
	return groups
}

// groupName joins the parts of a name that identifies a group.
func groupName(parts ...string) string {
	return strings.Join(parts, "\x00")
}
