package leader

import (
	"time"

	"github.com/poplarcroft/poplarcroft/internal/keyrange"
	"github.com/poplarcroft/poplarcroft/internal/renew"
)

const (
	// reportLapses is how long a report on loads is believed.
	reportLapses = 4 * time.Second
	// minSlowness and maxSlowness bound what a server's speed changes of its share.
	minSlowness = 0.5
	maxSlowness = 4
)

// Report is what a host tells of the servers that it sends to.
type Report struct {
	// Rates holds the load on the keys of each service.
	Rates map[string]map[keyrange.Key]keyrange.CentiRate
	// Slowness holds the time that servers take in relation to the usual, in hundredths.
	Slowness map[string]int
}

// timedReport is a report and when it came.
type timedReport struct {
	Report
	at time.Duration
}

// Report takes a host's report, and the grants whose servers do not answer it.
func (l *Leader) Report(host string, report Report, lost []renew.Lost) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.heard[host] = l.Clock()
	for _, id := range lost {
		l.lost[id] = true
	}
	l.reports[host] = timedReport{Report: report, at: l.Clock()}
}

// slowness returns how long a server takes in relation to the usual, as hosts see it,
// within bounds that keep a passing judgement from moving all its keys.
func (l *Leader) slowness(id string, now time.Duration) float64 {
	sum, n := 0, 0
	for _, told := range l.reports {
		if value, ok := told.Slowness[id]; ok && now-told.at <= reportLapses {
			sum += value
			n++
		}
	}
	if n == 0 {
		return 1
	}
	return min(max(float64(sum)/float64(n)/100, minSlowness), maxSlowness)
}

// load returns the load on the keys of a service, nil where nothing is known.
func (l *Leader) load(service string, now time.Duration) *keyrange.Load {
	var rates []map[keyrange.Key]keyrange.CentiRate
	for _, told := range l.reports {
		if now-told.at <= reportLapses && told.Rates[service] != nil {
			rates = append(rates, told.Rates[service])
		}
	}
	if len(rates) == 0 {
		return nil
	}
	return keyrange.NewLoad(rates)
}
