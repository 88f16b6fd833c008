package relay

import (
	"context"
	"time"

	"github.com/poplarcroft/poplarcroft/internal/loop"
)

const (
	// progressInterval is the time between two checks for topics that are not confirmed.
	progressInterval = 250 * time.Millisecond
	// fromPlatform is the name of the platform where log lines and metrics name the host that is read from.
	fromPlatform = "platform"
)

// topicProgress says how this host reads a topic at present, and as of when the topic is confirmed. The relay's lock guards it.
type topicProgress struct {
	// maxAge is the age of the confirmation from which on the topic counts as not confirmed.
	maxAge time.Duration
	// While reading is set, a read is in flight that began at since. from is the name of the host that was last read from, or
	// fromPlatform.
	reading bool
	since   time.Duration
	from    string
	// confirmedAt is the latest time at which this host is known to have had all records of the topic.
	confirmedAt time.Duration
	// unanswered is set while the platform has not answered this host's last read.
	unanswered bool
	// late is set while the topic is not confirmed and a log line has said so.
	late bool
}

// beginRead notes that a read of a topic from a host begins.
func (r *Relay) beginRead(topic Topic, from string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := r.progress[topic]
	p.reading = true
	p.since = r.config.Clock()
	p.from = from
}

// endRead notes that a read of a topic has ended.
func (r *Relay) endRead(topic Topic) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.progress[topic].reading = false
}

// confirm notes that this host had all records of a topic at the given time.
func (r *Relay) confirm(topic Topic, at time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := r.progress[topic]
	p.confirmedAt = max(p.confirmedAt, at)
	r.updateLate(topic, p)
}

// recordAnswer notes that the platform has answered a read of a topic.
func (r *Relay) recordAnswer(topic Topic) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.progress[topic].unanswered = false
}

// Late reports whether a topic is not confirmed recently enough.
func (r *Relay) Late(topic Topic) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.progress[topic].isLate(r.config.Clock())
}

// Run logs which topics are not confirmed, until the context ends.
func (r *Relay) Run(ctx context.Context) {
	loop.Every(ctx, progressInterval, func(context.Context) {
		r.mu.Lock()
		defer r.mu.Unlock()
		for topic, p := range r.progress {
			r.updateLate(topic, p)
		}
	})
}

// updateLate logs when a topic is no longer confirmed, and when it is confirmed again. The caller holds the lock.
func (r *Relay) updateLate(topic Topic, p *topicProgress) {
	now := r.config.Clock()
	late := p.isLate(now)
	if late == p.late {
		return
	}
	p.late = late
	outcome := "confirmed"
	if late {
		outcome = "not confirmed"
	}
	r.config.Log.Event("topic", "topic", string(topic), "from", p.from, "reading_ms", p.readingFor(now).Milliseconds(),
		"confirmed_ms", (now - p.confirmedAt).Milliseconds(), "asked_ms", r.askedAgo(now).Milliseconds(), "outcome", outcome)
}

// isLate reports whether the topic is not confirmed recently enough.
func (p *topicProgress) isLate(now time.Duration) bool {
	return now-p.confirmedAt >= p.maxAge
}

// readingFor returns how long the read in flight has lasted, or zero if there is none.
func (p *topicProgress) readingFor(now time.Duration) time.Duration {
	if !p.reading {
		return 0
	}
	return now - p.since
}

// askedAgo returns the time since another host last queried this one, or -1 ms if none has. The caller holds the lock.
func (r *Relay) askedAgo(now time.Duration) time.Duration {
	if !r.wasQueried {
		return -time.Millisecond
	}
	return now - r.lastQueried
}

// TopicMetrics are the metrics of a topic.
type TopicMetrics struct {
	// From is the name of the host that was last read from, or "platform".
	From string `json:"from"`
	// ReadingMS is how long the read in flight has lasted, in milliseconds.
	ReadingMS int64 `json:"reading_ms"`
	// ConfirmedMS is how long ago this host is known to have had all records, in milliseconds.
	ConfirmedMS int64 `json:"confirmed_ms"`
	// Late says that ConfirmedMS is above the bound of the topic.
	Late bool `json:"late"`
}

// Topics returns the metrics of all topics by their names.
func (r *Relay) Topics() map[Topic]TopicMetrics {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.config.Clock()
	metrics := make(map[Topic]TopicMetrics, len(r.progress))
	for topic, p := range r.progress {
		metrics[topic] = TopicMetrics{
			From: p.from, ReadingMS: p.readingFor(now).Milliseconds(), ConfirmedMS: (now - p.confirmedAt).Milliseconds(),
			Late: p.isLate(now),
		}
	}
	return metrics
}
