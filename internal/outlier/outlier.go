// Package outlier ejects backend servers that answer much slower than their
// peers or fail again and again, and lets them return after good probes.
//
// A detector judges by its own host's tries alone. It is a pure decision: the
// caller passes the time. It belongs to one goroutine.
package outlier

import (
	"math"
	"slices"
	"time"
)

// Options are the limits of a detector. Zero fields take the defaults.
type Options struct {
	// SlowFactor is how many times the median of all servers a server's mean latency must be to eject it.
	SlowFactor float64
	// ReturnFactor is how many times the median a probe may take to count as good.
	ReturnFactor float64
	// MinSamples is the number of tries before a server is judged by latency.
	MinSamples int
	// Failures is the number of failures in a row that ejects a server.
	Failures int
	// MaxShare is the largest share of servers that may be ejected at a time.
	MaxShare float64
	// ProbeInterval is the time from ejection to the first probe. It doubles
	// with each bad probe up to MaxProbeInterval.
	ProbeInterval    time.Duration
	MaxProbeInterval time.Duration
	// PicksPerProbe is the number of picks that must lie between two probes,
	// unless MaxProbeInterval has passed.
	PicksPerProbe int
	// GoodProbes is the number of good probes in a row after which a server returns.
	GoodProbes int
}

// Defaults returns the default limits.
func Defaults() Options {
	return Options{
		SlowFactor:       3,
		ReturnFactor:     2,
		MinSamples:       3,
		Failures:         3,
		MaxShare:         0.4,
		ProbeInterval:    time.Second,
		MaxProbeInterval: 10 * time.Second,
		PicksPerProbe:    500,
		GoodProbes:       3,
	}
}

func (o Options) withDefaults() Options {
	defaults := Defaults()
	setDefault(&o.SlowFactor, defaults.SlowFactor)
	setDefault(&o.ReturnFactor, defaults.ReturnFactor)
	setDefault(&o.MinSamples, defaults.MinSamples)
	setDefault(&o.Failures, defaults.Failures)
	setDefault(&o.MaxShare, defaults.MaxShare)
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
	// sampleWeight is the weight of a new latency in the moving average.
	sampleWeight = 0.2
	// goodProbeRate is how many times more often a server is probed after a good probe.
	goodProbeRate = 10
	// busyFactor is how many times the least median the median must be to stop ejections.
	busyFactor = 2
	// baselineDoubling is the time in which the least median may double.
	baselineDoubling = 2 * time.Minute
	// minPeers is the number of judged servers below which no latency is an outlier.
	minPeers = 3
)

// server is what is known of one server.
type server struct {
	addr    string
	latency float64
	samples int
	// failures counts the failures since the last success.
	failures int

	ejected   bool
	ejectedAt time.Duration
	// slow says that the server was ejected because of its latency.
	slow bool
	// probeAt is when the next probe is due, and interval the time to the one after it.
	probeAt    time.Duration
	interval   time.Duration
	goodProbes int
}

// Detector decides which servers are ejected.
type Detector struct {
	options Options
	servers []*server
	byAddr  map[string]*server
	// ejected is the number of ejected servers.
	ejected int
	// picks counts the picks since the last probe, which was at probed.
	picks  int
	probed time.Duration
	// baseline is the least median latency of late, as of baselineAt.
	baseline   float64
	baselineAt time.Duration
	// latencies is reused between medians.
	latencies []float64
}

// New returns a detector without servers.
func New(options Options) *Detector {
	return &Detector{options: options.withDefaults(), byAddr: map[string]*server{}}
}

// SetServers replaces the servers. What is known of those that stay is kept,
// but for ejections beyond the largest share.
func (d *Detector) SetServers(addrs []string) {
	former := d.byAddr
	d.byAddr = make(map[string]*server, len(addrs))
	d.servers = d.servers[:0]
	d.ejected = 0
	for _, addr := range addrs {
		if d.byAddr[addr] != nil {
			continue
		}
		each := former[addr]
		if each == nil {
			each = &server{addr: addr}
		}
		d.byAddr[addr] = each
		d.servers = append(d.servers, each)
		if each.ejected {
			d.ejected++
		}
	}
	for _, each := range d.servers {
		if each.ejected && d.ejected > d.maxEjected() {
			d.readmit(each)
		}
	}
}

// Forget drops what is known of a server: it is a new incarnation.
func (d *Detector) Forget(addr string) {
	each := d.byAddr[addr]
	if each == nil {
		return
	}
	if each.ejected {
		d.ejected--
	}
	*each = server{addr: addr}
}

// Ejected says whether the server should get no work but probes.
func (d *Detector) Ejected(addr string) bool {
	each := d.byAddr[addr]
	return each != nil && each.ejected
}

// Count returns the number of ejected servers.
func (d *Detector) Count() int {
	return d.ejected
}

// Probe counts a pick and returns the server that it should probe, if one is due.
func (d *Detector) Probe(now time.Duration) (addr string, due bool) {
	if d.ejected == 0 {
		return "", false
	}
	d.picks++
	next := d.nextProbe(now)
	if next == nil {
		return "", false
	}
	needed := d.options.PicksPerProbe
	if next.goodProbes > 0 {
		needed /= goodProbeRate
	}
	if d.picks < needed && now-d.probed < d.options.MaxProbeInterval {
		return "", false
	}
	d.picks = 0
	d.probed = now
	next.probeAt = now + next.interval
	return next.addr, true
}

// nextProbe returns the ejected server that is due, those with a good probe first.
func (d *Detector) nextProbe(now time.Duration) *server {
	var next *server
	for _, each := range d.servers {
		if !each.ejected || each.probeAt > now {
			continue
		}
		if next == nil || each.goodProbes > next.goodProbes ||
			(each.goodProbes == next.goodProbes && each.probeAt < next.probeAt) {
			next = each
		}
	}
	return next
}

// Succeeded notes a try that the server answered after latency. The answer to
// a try from before the server's ejection is no probe.
func (d *Detector) Succeeded(addr string, now, latency time.Duration) {
	each := d.byAddr[addr]
	if each == nil {
		return
	}
	each.failures = 0
	d.observe(each, now, latency)
}

// GaveUp notes a try that was given up after waiting for the server. It counts
// only where it shows that the server is slower than its mean.
func (d *Detector) GaveUp(addr string, now, waited time.Duration) {
	each := d.byAddr[addr]
	if each == nil || waited.Seconds() <= each.latency {
		return
	}
	d.observe(each, now, waited)
}

// observe adds a latency to the server's mean and judges the server by it.
func (d *Detector) observe(each *server, now, latency time.Duration) {
	sample := latency.Seconds()
	if each.samples == 0 {
		each.latency = sample
	}
	each.latency += sampleWeight * (sample - each.latency)
	each.samples++
	median, known := d.median()
	if !known {
		return
	}
	d.noteMedian(now, median)
	switch {
	case !each.ejected:
		if each.samples >= d.options.MinSamples && each.latency > d.options.SlowFactor*median && !d.busy(median) {
			d.eject(each, now)
			each.slow = each.ejected
		}
	case now-latency >= each.ejectedAt:
		d.judgeProbe(each, now, sample <= d.options.ReturnFactor*median)
	}
	d.readmitEqual(median)
}

// noteMedian follows the least median, which rises slowly so that it adapts to
// a service that has become slower for good.
func (d *Detector) noteMedian(now time.Duration, median float64) {
	rise := math.Exp2((now - d.baselineAt).Seconds() / baselineDoubling.Seconds())
	d.baselineAt = now
	if d.baseline == 0 {
		d.baseline = median
	}
	d.baseline = min(d.baseline*rise, median)
}

// busy says that the servers that are not ejected are loaded so much that
// another ejection may overload them.
func (d *Detector) busy(median float64) bool {
	return median > busyFactor*d.baseline
}

// readmitEqual readmits servers that were ejected as slow and are no longer much slower than the
// others, because those have become slow under their load.
func (d *Detector) readmitEqual(median float64) {
	if d.ejected == 0 {
		return
	}
	for _, each := range d.servers {
		if each.slow && each.latency < d.options.ReturnFactor*median {
			d.readmit(each)
		}
	}
}

// Failed notes a try that the server did not answer.
func (d *Detector) Failed(addr string, now time.Duration) {
	each := d.byAddr[addr]
	if each == nil {
		return
	}
	each.failures++
	switch {
	case each.ejected:
		d.badProbe(each, now)
	case each.failures >= d.options.Failures:
		d.eject(each, now)
	}
}

// judgeProbe counts an ejected server's answer as a good or bad probe. Good
// ones cost little, so the next one follows soon.
func (d *Detector) judgeProbe(each *server, now time.Duration, good bool) {
	if !good {
		d.badProbe(each, now)
		return
	}
	each.goodProbes++
	each.interval = d.options.ProbeInterval
	each.probeAt = now
	if each.goodProbes >= d.options.GoodProbes {
		d.readmit(each)
	}
}

func (d *Detector) badProbe(each *server, now time.Duration) {
	each.goodProbes = 0
	each.interval = min(2*each.interval, d.options.MaxProbeInterval)
	each.probeAt = now + each.interval
}

// eject ejects the server unless the largest share is ejected already.
func (d *Detector) eject(each *server, now time.Duration) {
	if d.ejected >= d.maxEjected() {
		return
	}
	d.ejected++
	each.ejected = true
	each.ejectedAt = now
	each.goodProbes = 0
	each.interval = d.options.ProbeInterval
	each.probeAt = now + each.interval
	if d.ejected == 1 {
		d.probed = now
		d.picks = 0
	}
}

// readmit lets the server return with a clean slate.
func (d *Detector) readmit(each *server) {
	d.ejected--
	*each = server{addr: each.addr}
}

// maxEjected is the number of servers that may be ejected at a time.
func (d *Detector) maxEjected() int {
	return int(d.options.MaxShare * float64(len(d.servers)))
}

// median returns the median latency of the servers that are not ejected, and
// false where too few are known.
func (d *Detector) median() (latency float64, known bool) {
	d.latencies = d.latencies[:0]
	for _, each := range d.servers {
		if !each.ejected && each.samples > 0 {
			d.latencies = append(d.latencies, each.latency)
		}
	}
	if len(d.latencies) < minPeers {
		return 0, false
	}
	slices.Sort(d.latencies)
	return d.latencies[len(d.latencies)/2], true
}
