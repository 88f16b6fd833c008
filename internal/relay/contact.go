package relay

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/poplarcroft/poplarcroft/internal/follow"
)

// hasLostContact reports whether the platform has not answered this host for lostContactAge, although
// it was asked, or has not answered its reads of the topic.
func (r *Relay) hasLostContact(topic Topic) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.config.Clock()
	if r.contactLost && r.contactAge(now) >= lostContactAge {
		return true
	}
	return r.progress[topic].unanswered && now-r.caches[topic].confirmedAt >= lostContactAge
}

// errContactRegained is the cause with which reads are canceled that began before an outage ended,
// or before a restore of the log, which is an outage too.
var errContactRegained = errors.New("relay: read canceled because contact with the platform was lost and regained since it began")

// recordContact records that the platform has answered a read that began at the given time, in the
// given era of the log. If reads had failed before, or the log has been restored, older reads still
// in flight may never be answered, so they are canceled.
func (r *Relay) recordContact(began time.Duration, era follow.Era) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.hadContact = true
	r.lastContact = max(r.lastContact, began)
	restored := era > r.era
	if restored {
		r.recordEra(era)
	}
	if !r.contactLost && !restored {
		return
	}
	r.contactLost = false
	for cancel, otherBegan := range r.reads {
		if otherBegan < began {
			(*cancel)(errContactRegained)
		}
	}
}

// errContactLost is the cause with which reads are canceled that are in flight when contact with the
// platform is lost: they may never be answered, and other hosts can answer.
var errContactLost = errors.New("relay: read canceled because contact with the platform is lost")

// recordEra records a later era of the log. What was read in an older one answers no queries any
// more. The caller holds the lock.
func (r *Relay) recordEra(era follow.Era) {
	if r.era != follow.UnknownEra {
		r.config.Log.Event("relay", "outcome", "log restored", "era", uint64(era), "era_before", uint64(r.era))
	}
	r.era = era
	for _, c := range r.caches {
		if c.era < era {
			c.invalidate()
		}
	}
}

// recordFailedRead records that a read of a topic failed. A read that this host canceled itself
// does not mean that contact is lost.
func (r *Relay) recordFailedRead(topic Topic, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := r.caches[topic]
	c.readFailed = true
	switch {
	case errors.IsAny(err, follow.ErrCompacted, follow.ErrRestored):
		c.invalidate()
	case !errors.IsAny(err, context.Canceled, errContactRegained, errContactLost):
		r.progress[topic].unanswered = true
		r.contactLost = true
		r.cancelHangingReads()
	}
}

// cancelHangingReads cancels the reads in flight if contact with the platform is lost. The caller holds
// the lock.
func (r *Relay) cancelHangingReads() {
	if r.contactAge(r.config.Clock()) < lostContactAge {
		return
	}
	for cancel := range r.reads {
		(*cancel)(errContactLost)
	}
}

// trackRead registers a read from the platform that starts at the given time, so that it can be
// canceled after an outage. The returned function must be called when the read has ended.
func (r *Relay) trackRead(ctx context.Context, began time.Duration) (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.reads[&cancel] = began
	return ctx, func() {
		cancel(nil)
		r.mu.Lock()
		defer r.mu.Unlock()
		delete(r.reads, &cancel)
	}
}

// contactAge returns the time since the last contact with the platform. The caller holds the lock.
func (r *Relay) contactAge(now time.Duration) time.Duration {
	if !r.hadContact {
		return maxContactAge
	}
	return now - r.lastContact
}
