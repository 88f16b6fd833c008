package leader

import (
	"time"

	"github.com/poplarcroft/poplarcroft/internal/concurrency"
	"github.com/poplarcroft/poplarcroft/internal/keyrange"
	"github.com/poplarcroft/poplarcroft/internal/renew"
)

const (
	// reportTTL is how long a report is used.
	reportTTL = 4 * time.Second
	// minSlowness and maxSlowness bound the factor by which a server's latency changes its weight.
	minSlowness = 0.5
	maxSlowness = 4
)

// Report is what a host reports about the servers to which it sends requests.
type Report struct {
	// Rates holds the request rate of the keys of each service.
	Rates map[string]map[keyrange.Key]keyrange.CentiRate
	// Slowness holds the latency of servers relative to the baseline, in hundredths, by server ID.
	Slowness map[string]int
	// Limits holds the limits that servers name, in requests per second, by server ID.
	Limits map[string]float64
	// Speeds holds the speeds of the servers whose primary the host is. It is missing in reports of older builds.
	Speeds []concurrency.Speed
}

// timedReport is a report and the time of its arrival.
type timedReport struct {
	Report
	at time.Duration
}

// Report stores the report of a host, and the grants that the host has stopped renewing because
// their server does not answer. To a host that is cut off no server answers, so its grants are not lost.
func (l *Leader) Report(host string, report Report, lost []renew.Lost) {
	if l.CutOff(host) {
		lost = nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lastReport[host] = l.Clock()
	for _, id := range lost {
		l.lost[id] = true
	}
	l.reports[host] = timedReport{Report: report, at: l.Clock()}
	l.speeds.add(report.Speeds, l.Clock())
}

// slowness returns the latency of a server relative to the baseline, averaged over the hosts
// that report it; 1 if none does. It is bounded so that a brief disturbance cannot move all keys
// of a server. The caller holds the lock.
func (l *Leader) slowness(id string, now time.Duration) float64 {
	sum, n := 0, 0
	for _, report := range l.reports {
		if value, ok := report.Slowness[id]; ok && now-report.at <= reportTTL {
			sum += value
			n++
		}
	}
	if n == 0 {
		return 1
	}
	return min(max(float64(sum)/float64(n)/100, minSlowness), maxSlowness)
}

// limit returns the limit that a server names, in requests per second, or zero if no recent report has
// one. The caller holds the lock.
func (l *Leader) limit(id string, now time.Duration) float64 {
	lowest := 0.0
	for _, report := range l.reports {
		value, ok := report.Limits[id]
		if ok && now-report.at <= reportTTL && (lowest == 0 || value < lowest) {
			lowest = value
		}
	}
	return lowest
}

// load returns the load on the keys of a service, or nil if no recent report has it. The caller holds the lock.
func (l *Leader) load(service string, now time.Duration) *keyrange.Load {
	var rates []map[keyrange.Key]keyrange.CentiRate
	for _, report := range l.reports {
		if now-report.at <= reportTTL && report.Rates[service] != nil {
			rates = append(rates, report.Rates[service])
		}
	}
	if len(rates) == 0 {
		return nil
	}
	return keyrange.NewLoad(rates)
}
