// Package outlier is the outlier detection of package balance: it ejects backend servers
// that answer much slower than their peers or that fail several times in a row, and
// readmits them after successful probes.
//
// A server is slow if its moving average of the latency is a multiple of the median of
// the servers that are not ejected. An ejected server gets only probes, which are
// ordinary requests at a low rate. At most a share of the servers is ejected at a time.
// None is ejected as slow while the median shows that the remaining servers are
// overloaded; otherwise an overload would reduce the capacity further.
//
// A detector uses only the attempts of its own host. It reads no clock: the caller passes
// the time. It is not safe for concurrent use.
package outlier

import (
	"math"
	"slices"
	"time"
)

// Options holds the limits of a detector. Zero fields take the values of Defaults.
type Options struct {
	// SlowFactor is the multiple of the median latency above which a server is
	// ejected as slow.
	SlowFactor float64
	// ReturnFactor is the multiple of the median latency up to which a probe is good.
	// A server ejected as slow also returns when its average falls below this multiple.
	ReturnFactor float64
	// MinSamples is the number of latency samples that a server needs to be ejected as slow.
	MinSamples int
	// ConsecutiveFailures is the number of failures in a row that ejects a server.
	ConsecutiveFailures int
	// MaxEjectedShare is the maximum share of the servers that may be ejected at a time.
	MaxEjectedShare float64
	// ProbeInterval is the time from ejection to the first probe. It doubles with
	// each bad probe, up to MaxProbeInterval.
	ProbeInterval    time.Duration
	MaxProbeInterval time.Duration
	// PicksPerProbe is the minimum number of picks between two probes of any servers.
	// It does not apply if the last probe was MaxProbeInterval ago.
	PicksPerProbe int
	// GoodProbes is the number of good probes in a row that readmits a server.
	GoodProbes int
}

// Defaults returns the default limits.
func Defaults() Options {
	return Options{
		SlowFactor:          3,
		ReturnFactor:        2,
		MinSamples:          3,
		ConsecutiveFailures: 3,
		MaxEjectedShare:     0.4,
		ProbeInterval:       time.Second,
		MaxProbeInterval:    10 * time.Second,
		PicksPerProbe:       500,
		GoodProbes:          3,
	}
}

func (o Options) withDefaults() Options {
	defaults := Defaults()
	setDefault(&o.SlowFactor, defaults.SlowFactor)
	setDefault(&o.ReturnFactor, defaults.ReturnFactor)
	setDefault(&o.MinSamples, defaults.MinSamples)
	setDefault(&o.ConsecutiveFailures, defaults.ConsecutiveFailures)
	setDefault(&o.MaxEjectedShare, defaults.MaxEjectedShare)
	setDefault(&o.ProbeInterval, defaults.ProbeInterval)
	setDefault(&o.MaxProbeInterval, defaults.MaxProbeInterval)
	setDefault(&o.PicksPerProbe, defaults.PicksPerProbe)
	setDefault(&o.GoodProbes, defaults.GoodProbes)
	return o
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

const (
	// sampleWeight is the weight of a new latency in a server's moving average.
	sampleWeight = 0.2
	// goodProbeSpeedup divides PicksPerProbe for a server whose last probe was good.
	goodProbeSpeedup = 10
	// overloadFactor is the multiple of the baseline above which the median latency
	// shows that the remaining servers are overloaded. No server is then ejected as slow.
	overloadFactor = 2
	// baselineDoublingTime is the time in which the baseline at most doubles.
	baselineDoublingTime = 2 * time.Minute
	// minPeers is the minimum number of servers with a known latency for a median.
	minPeers = 3
)

// server holds the observations and the ejection state of one server.
type server struct {
	addr string
	// meanLatency is the moving average of the latency in seconds, over all samples.
	meanLatency float64
	samples     int
	// failures counts the failures since the last success.
	failures int

	ejected   bool
	ejectedAt time.Duration
	// ejectedAsSlow means that the server was ejected because of its latency.
	ejectedAsSlow bool
	// nextProbeAt is when the next probe is due, probeInterval the time to the one after.
	nextProbeAt   time.Duration
	probeInterval time.Duration
	goodProbes    int
}

// Detector decides which servers are ejected and when they are probed.
type Detector struct {
	options Options
	servers []*server
	byAddr  map[string]*server
	// ejected is the number of ejected servers.
	ejected int
	// picksSinceProbe counts the picks since the last probe, which was at lastProbeAt.
	picksSinceProbe int
	lastProbeAt     time.Duration
	// baseline is the lowest recent median latency in seconds, as of baselineAt.
	baseline   float64
	baselineAt time.Duration
	// latencies is a buffer reused by median.
	latencies []float64
}

// New returns a detector without servers.
func New(options Options) *Detector {
	return &Detector{options: options.withDefaults(), byAddr: map[string]*server{}}
}

// SetServers replaces the servers. The state of those that stay is kept, except that
// servers are readmitted if more than the maximum share would be ejected.
func (d *Detector) SetServers(addrs []string) {
	previous := d.byAddr
	d.byAddr = make(map[string]*server, len(addrs))
	d.servers = d.servers[:0]
	d.ejected = 0
	for _, addr := range addrs {
		if d.byAddr[addr] != nil {
			continue
		}
		s := previous[addr]
		if s == nil {
			s = &server{addr: addr}
		}
		d.byAddr[addr] = s
		d.servers = append(d.servers, s)
		if s.ejected {
			d.ejected++
		}
	}
	for _, s := range d.servers {
		if s.ejected && d.ejected > d.maxEjected() {
			d.readmit(s)
		}
	}
}

// Forget resets the state of a server, because it has a new incarnation.
func (d *Detector) Forget(addr string) {
	s := d.byAddr[addr]
	if s == nil {
		return
	}
	if s.ejected {
		d.ejected--
	}
	*s = server{addr: addr}
}

// Ejected reports whether the server should get only probes.
func (d *Detector) Ejected(addr string) bool {
	s := d.byAddr[addr]
	return s != nil && s.ejected
}

// Count returns the number of ejected servers.
func (d *Detector) Count() int {
	return d.ejected
}

// Probe counts a pick. If a probe is due, it returns the server that should get the
// request, and true.
func (d *Detector) Probe(now time.Duration) (addr string, due bool) {
	if d.ejected == 0 {
		return "", false
	}
	d.picksSinceProbe++
	next := d.nextProbe(now)
	if next == nil {
		return "", false
	}
	needed := d.options.PicksPerProbe
	if next.goodProbes > 0 {
		needed /= goodProbeSpeedup
	}
	if d.picksSinceProbe < needed && now-d.lastProbeAt < d.options.MaxProbeInterval {
		return "", false
	}
	d.picksSinceProbe = 0
	d.lastProbeAt = now
	next.nextProbeAt = now + next.probeInterval
	return next.addr, true
}

// nextProbe returns the ejected server whose probe is due, or nil. Servers with more good
// probes come first, then those due longest.
func (d *Detector) nextProbe(now time.Duration) *server {
	var next *server
	for _, s := range d.servers {
		if !s.ejected || s.nextProbeAt > now {
			continue
		}
		if next == nil || s.goodProbes > next.goodProbes ||
			(s.goodProbes == next.goodProbes && s.nextProbeAt < next.nextProbeAt) {
			next = s
		}
	}
	return next
}

// Succeeded records an attempt that the server answered after latency. An attempt sent
// before the server's ejection does not count as a probe.
func (d *Detector) Succeeded(addr string, now, latency time.Duration) {
	s := d.byAddr[addr]
	if s == nil {
		return
	}
	s.failures = 0
	d.observe(s, now, latency)
}

// Cancelled records an attempt that the host abandoned after waiting for the server. It
// counts only if the wait was longer than the server's average, because the wait is a
// lower bound of the latency.
func (d *Detector) Cancelled(addr string, now, waited time.Duration) {
	s := d.byAddr[addr]
	if s == nil || waited.Seconds() <= s.meanLatency {
		return
	}
	d.observe(s, now, waited)
}

// observe adds a latency to the server's average, then ejects or readmits by it.
func (d *Detector) observe(s *server, now, latency time.Duration) {
	sample := latency.Seconds()
	if s.samples == 0 {
		s.meanLatency = sample
	}
	s.meanLatency += sampleWeight * (sample - s.meanLatency)
	s.samples++
	median, known := d.median()
	if !known {
		return
	}
	d.updateBaseline(now, median)
	switch {
	case !s.ejected:
		if s.samples >= d.options.MinSamples && s.meanLatency > d.options.SlowFactor*median && !d.peersOverloaded(median) {
			d.eject(s, now)
			s.ejectedAsSlow = s.ejected
		}
	case now-latency >= s.ejectedAt:
		d.recordProbe(s, now, sample <= d.options.ReturnFactor*median)
	}
	d.readmitNoLongerSlow(median)
}

// updateBaseline lowers the baseline to the median at once and lets it rise only slowly,
// so that it adapts to a service that has become permanently slower.
func (d *Detector) updateBaseline(now time.Duration, median float64) {
	rise := math.Exp2((now - d.baselineAt).Seconds() / baselineDoublingTime.Seconds())
	d.baselineAt = now
	if d.baseline == 0 {
		d.baseline = median
	}
	d.baseline = min(d.baseline*rise, median)
}

// peersOverloaded reports whether the servers that are not ejected already answer so
// slowly that another ejection could overload them.
func (d *Detector) peersOverloaded(median float64) bool {
	return median > overloadFactor*d.baseline
}

// readmitNoLongerSlow readmits servers that were ejected as slow but are no longer much
// slower than the others, because the others have become slower under load.
func (d *Detector) readmitNoLongerSlow(median float64) {
	if d.ejected == 0 {
		return
	}
	for _, s := range d.servers {
		if s.ejectedAsSlow && s.meanLatency < d.options.ReturnFactor*median {
			d.readmit(s)
		}
	}
}

// Failed records an attempt that the server did not answer.
func (d *Detector) Failed(addr string, now time.Duration) {
	s := d.byAddr[addr]
	if s == nil {
		return
	}
	s.failures++
	switch {
	case s.ejected:
		d.recordBadProbe(s, now)
	case s.failures >= d.options.ConsecutiveFailures:
		d.eject(s, now)
	}
}

// recordProbe records an ejected server's answer as a good or bad probe. After a good
// one the next is due at once, because a probe of a recovered server costs little.
func (d *Detector) recordProbe(s *server, now time.Duration, good bool) {
	if !good {
		d.recordBadProbe(s, now)
		return
	}
	s.goodProbes++
	s.probeInterval = d.options.ProbeInterval
	s.nextProbeAt = now
	if s.goodProbes >= d.options.GoodProbes {
		d.readmit(s)
	}
}

// recordBadProbe doubles the probe interval and discards earlier good probes.
func (d *Detector) recordBadProbe(s *server, now time.Duration) {
	s.goodProbes = 0
	s.probeInterval = min(2*s.probeInterval, d.options.MaxProbeInterval)
	s.nextProbeAt = now + s.probeInterval
}

// eject ejects the server unless the maximum share is already ejected.
func (d *Detector) eject(s *server, now time.Duration) {
	if d.ejected >= d.maxEjected() {
		return
	}
	d.ejected++
	s.ejected = true
	s.ejectedAt = now
	s.goodProbes = 0
	s.probeInterval = d.options.ProbeInterval
	s.nextProbeAt = now + s.probeInterval
	if d.ejected == 1 {
		d.lastProbeAt = now
		d.picksSinceProbe = 0
	}
}

// readmit ends the server's ejection and resets its state.
func (d *Detector) readmit(s *server) {
	d.ejected--
	*s = server{addr: s.addr}
}

// maxEjected returns the number of servers that may be ejected at a time.
func (d *Detector) maxEjected() int {
	return int(d.options.MaxEjectedShare * float64(len(d.servers)))
}

// median returns the median of the average latencies, in seconds, of the servers that
// are not ejected, or false if fewer than minPeers have one.
func (d *Detector) median() (latency float64, known bool) {
	d.latencies = d.latencies[:0]
	for _, s := range d.servers {
		if !s.ejected && s.samples > 0 {
			d.latencies = append(d.latencies, s.meanLatency)
		}
	}
	if len(d.latencies) < minPeers {
		return 0, false
	}
	slices.Sort(d.latencies)
	return d.latencies[len(d.latencies)/2], true
}
