package experiment

import "time"

// Result is what one run measured over the requests that arrived after the warm-up.
type Result struct {
	Site     string  `json:"site"`
	Fault    Fault   `json:"fault"`
	Seed     uint64  `json:"seed"`
	Requests int     `json:"requests"`
	P50MS    float64 `json:"p50_ms"`
	P99MS    float64 `json:"p99_ms"`
	P999MS   float64 `json:"p999_ms"`
	MaxMS    float64 `json:"max_ms"`
	// Imbalance is the largest number of attempts at one server, divided by the
	// mean over all servers.
	Imbalance float64 `json:"imbalance"`
	// NotServed is the share of the requests that no server answered in time.
	NotServed float64 `json:"not_served"`
	// AttemptsPerRequest is the mean number of attempts, retries included.
	AttemptsPerRequest float64 `json:"tries_per_request"`
	// ColdOvershoot is the largest number of attempts that a cold server ran
	// beyond its capacity.
	ColdOvershoot float64 `json:"cold_overshoot"`
}

// result returns the figures of the finished run.
func (m *model) result() Result {
	r := Result{
		Site:     m.config.Site.Name,
		Fault:    m.config.Fault,
		Seed:     m.config.Seed,
		Requests: m.counted,
		P50MS:    m.quantileMS(50),
		P99MS:    m.quantileMS(99),
		P999MS:   m.quantileMS(99.9),
		MaxMS:    m.quantileMS(100),
	}
	most, total := 0, 0
	for _, server := range m.servers {
		most = max(most, server.attempts)
		total += server.attempts
		r.ColdOvershoot = max(r.ColdOvershoot, server.overshoot)
	}
	if total > 0 {
		r.Imbalance = float64(most) * float64(len(m.servers)) / float64(total)
	}
	if m.counted > 0 {
		r.NotServed = float64(m.unserved) / float64(m.counted)
		r.AttemptsPerRequest = float64(m.attempts) / float64(m.started)
	}
	return r
}

// quantileMS returns a quantile of the latency in milliseconds. The quantile is in percent.
func (m *model) quantileMS(quantile float64) float64 {
	us := time.Duration(m.latency.ValueAtQuantile(quantile)) * time.Microsecond
	return us.Seconds() * 1000
}
