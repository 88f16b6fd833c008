package leader

import (
	"time"

	"github.com/poplarcroft/poplarcroft/internal/assign"
	"github.com/poplarcroft/poplarcroft/internal/concurrency"
	"github.com/poplarcroft/poplarcroft/internal/continuity"
	"github.com/poplarcroft/poplarcroft/internal/keyrange"
	"github.com/poplarcroft/poplarcroft/internal/renew"
)

const (
	// reportTTL is how long a report is used.
	reportTTL = 4 * time.Second
	// loadInterval is the longest time for which the sum of the reported loads is used again.
	loadInterval = 100 * time.Millisecond
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

// Reporter says which host has sent a report.
type Reporter struct {
	Name string
	// Incarnation is empty if the host's build does not send it.
	Incarnation string
	// Plan is the version of the plan that the host acted by when it sent the report.
	Plan assign.Fence
	// Connections is the number of the newest connection to a server that the host has opened. It is zero if the host's build does
	// not send it.
	Connections continuity.Number
}

// Report stores the report of a host, and the grants that the host can't renew any more. A report that
// arrives after its sender has ended is dropped.
func (l *Leader) Report(from Reporter, report Report, lost []renew.Lost) {
	if !l.Heard(from, lost) {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reports[from.Name] = timedReport{Report: report, at: l.Clock()}
	l.speeds.add(report.Speeds, l.Clock())
}

// Heard records that a host runs, its connections, and the grants that it can't renew any more. Its last report stays in use. It returns
// false if the host is known to have ended. What a host that is cut off can't renew is not lost: no server answers it.
func (l *Leader) Heard(from Reporter, lost []renew.Lost) bool {
	if l.CutOff(from.Name) {
		lost = nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.heard(from) {
		return false
	}
	for _, id := range lost {
		l.lost[id] = true
	}
	if len(lost) > 0 {
		l.Wake()
	}
	return true
}

// heard records that the sender of a report runs. It returns false if the sender has ended. The caller holds the lock.
func (l *Leader) heard(from Reporter) bool {
	id := l.reporterID(from)
	if _, ended := l.incarnations.ended[id]; ended {
		l.Log.Routine("report", "name", id.name, "incarnation", id.incarnation, "outcome", "dropped", "err", "the sender has ended")
		return false
	}
	l.incarnations.ranAt(id, l.Clock(), from.Plan)
	l.incarnations.connected(id, from.Connections)
	return true
}

// reporterID returns the incarnation that has sent a report. One of a build that does not say it counts as the incarnation that
// the plan does not retire.
func (l *Leader) reporterID(from Reporter) hostID {
	id := hostID{from.Name, from.Incarnation}
	if id.incarnation != "" {
		return id
	}
	for _, host := range l.Current.Plan().Hosts {
		if host.Name != from.Name {
			continue
		}
		if id.incarnation == "" || !host.Retired {
			id.incarnation = host.Incarnation
		}
	}
	return id
}

// observation is what recent reports say about one server.
type observation struct {
	// slownessSum is the sum of the reported latencies relative to the baseline, in hundredths, and slownessCount their number.
	slownessSum, slownessCount int
	// limit is the lowest limit that the server names, in requests per second, or zero.
	limit float64
}

// slowness returns the latency of the server relative to the baseline, averaged over the hosts that report it; 1 if none
// does. It is bounded so that a brief disturbance cannot move all keys of a server.
func (o observation) slowness() float64 {
	if o.slownessCount == 0 {
		return 1
	}
	return min(max(float64(o.slownessSum)/float64(o.slownessCount)/100, minSlowness), maxSlowness)
}

// observations returns what recent reports say about each server, by ID. It costs what the reports hold, not hosts x
// servers. The caller holds the lock.
func (l *Leader) observations(now time.Duration) map[string]observation {
	servers := make(map[string]observation)
	for _, report := range l.reports {
		if now-report.at > reportTTL {
			continue
		}
		for id, value := range report.Slowness {
			o := servers[id]
			o.slownessSum += value
			o.slownessCount++
			servers[id] = o
		}
		for id, value := range report.Limits {
			o := servers[id]
			if o.limit == 0 || value < o.limit {
				o.limit = value
			}
			servers[id] = o
		}
	}
	return servers
}

// serviceLoad is the load on the keys of a service, as reports gave it at a time.
type serviceLoad struct {
	load *keyrange.Load
	at   time.Duration
}

// load returns the load on the keys of a service, or nil if no recent report has it. It is at most loadInterval old: steps
// may follow each other faster than reports change the sum. The caller holds the lock.
func (l *Leader) load(service string, now time.Duration) *keyrange.Load {
	if known, ok := l.loads[service]; ok && known.load != nil && now-known.at < loadInterval {
		return known.load
	}
	var rates []map[keyrange.Key]keyrange.CentiRate
	for _, report := range l.reports {
		if now-report.at <= reportTTL && report.Rates[service] != nil {
			rates = append(rates, report.Rates[service])
		}
	}
	var load *keyrange.Load
	if len(rates) > 0 {
		load = keyrange.NewLoad(rates)
	}
	l.loads[service] = serviceLoad{load, now}
	return load
}
