package edge

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/poplarcroft/poplarcroft/internal/routetable"
)

const (
	// maxRecordedDelay bounds the delays in the histogram, and delayDigits is their precision.
	maxRecordedDelay = time.Hour
	delayDigits      = 2
	// lateAfter is how long the leader has a configuration before it logs the hosts that do not have it.
	lateAfter = 2 * time.Second
)

// configProgress observes how new configurations reach this host, and on the leader which hosts are behind, for log
// lines and metrics. It is safe for concurrent use.
type configProgress struct {
	clock func() time.Duration

	mu sync.Mutex
	// version and bytes describe the record of the configuration in force, inForceAt is when it came into force.
	version   routetable.Version
	bytes     int
	inForceAt time.Duration
	// furthest is the ordinal up to which another host is known to have read the operators' records, next the one up to which
	// this host has, and newest the highest version that another host is known to have.
	furthest, next uint64
	newest         routetable.Version
	// While behind is set, another host has a record that this one lacks, and behindSince is when this host learned that.
	behind      bool
	behindSince time.Duration
	// delays holds the milliseconds from behindSince until a configuration came into force.
	delays *hdrhistogram.Histogram
	// failedReads and restartedReads count reads of the operators' records, and bytesDropped what had arrived of their answers.
	failedReads, restartedReads, bytesDropped int64
	// versions holds the version that each host has reported to this one, the leader.
	versions map[string]routetable.Version
}

func newConfigProgress(clock func() time.Duration) *configProgress {
	return &configProgress{
		clock: clock, versions: make(map[string]routetable.Version), delays: hdrhistogram.New(1, maxRecordedDelay.Milliseconds(), delayDigits),
	}
}

// noteOthersRead notes that another host has read the operators' records up to an ordinal.
func (p *configProgress) noteOthersRead(furthest uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.furthest = max(p.furthest, furthest)
	p.update()
}

// noteOthersVersion notes that another host has a version of the configuration.
func (p *configProgress) noteOthersVersion(version routetable.Version) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.newest = max(p.newest, version)
	p.update()
}

// noteRead notes that this host has read the operators' records up to an ordinal.
func (p *configProgress) noteRead(next uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.next = next
	p.update()
}

// inForce notes that a configuration has come into force, and returns how long this host had known of a record that it
// lacked.
func (p *configProgress) inForce(version routetable.Version, bytes int) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock()
	delay := p.behindFor(now)
	p.version, p.bytes, p.inForceAt = version, bytes, now
	p.delays.RecordValue(min(delay, maxRecordedDelay).Milliseconds())
	p.update()
	return delay
}

// readFailed notes that a read of the operators' records has failed, or has been restarted by this host itself, and how many
// bytes of its answer had arrived.
func (p *configProgress) readFailed(restarted bool, bytes int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.failedReads++
	p.bytesDropped += bytes
	if restarted {
		p.restartedReads++
	}
}

// update sets behind after a change. The caller holds the lock.
func (p *configProgress) update() {
	behind := p.furthest > p.next || p.newest > p.version
	if behind && !p.behind {
		p.behindSince = p.clock()
	}
	p.behind = behind
}

// isBehind reports whether another host has a record that this one lacks.
func (p *configProgress) isBehind() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.behind
}

// behindFor returns how long this host has been behind. The caller holds the lock.
func (p *configProgress) behindFor(now time.Duration) time.Duration {
	if !p.behind {
		return 0
	}
	return now - p.behindSince
}

// reported notes the version that a host has reported to this one, and returns whether the host is late: this one has had a newer
// version for longer than lateAfter.
func (p *configProgress) reported(host string, version routetable.Version) (late bool, inForce routetable.Version, since time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.versions[host] = version
	since = p.clock() - p.inForceAt
	return version < p.version && since > lateAfter, p.version, since
}

// configProgressMetrics are the metrics of a configProgress.
type configProgressMetrics struct {
	Version  uint64 `json:"version"`
	Bytes    int    `json:"bytes"`
	BehindMS int64  `json:"behind_ms"`
	// DelayMS is about the time from when the host knew of a version until that was in force.
	DelayMS struct {
		Count int64 `json:"count"`
		P50   int64 `json:"p50"`
		P99   int64 `json:"p99"`
		Max   int64 `json:"max"`
	} `json:"delay_ms"`
	FailedReads    int64 `json:"failed_reads"`
	RestartedReads int64 `json:"restarted_reads"`
	BytesDropped   int64 `json:"bytes_dropped"`
	// HostsBehind holds the versions of the hosts that last reported an older one than the host's own. Only the leader gets
	// reports.
	HostsBehind map[string]uint64 `json:"hosts_behind"`
}

// metrics returns the present metrics.
func (p *configProgress) metrics() configProgressMetrics {
	p.mu.Lock()
	defer p.mu.Unlock()
	m := configProgressMetrics{
		Version: uint64(p.version), Bytes: p.bytes, BehindMS: p.behindFor(p.clock()).Milliseconds(),
		FailedReads: p.failedReads, RestartedReads: p.restartedReads, BytesDropped: p.bytesDropped, HostsBehind: make(map[string]uint64),
	}
	m.DelayMS.Count = p.delays.TotalCount()
	m.DelayMS.P50 = p.delays.ValueAtQuantile(50)
	m.DelayMS.P99 = p.delays.ValueAtQuantile(99)
	m.DelayMS.Max = p.delays.Max()
	for host, version := range p.versions {
		if version < p.version {
			m.HostsBehind[host] = uint64(version)
		}
	}
	return m
}
