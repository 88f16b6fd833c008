package keeper

import "time"

// detector is the failure detector of a session's server: it decides when a
// server that does not answer renewals counts as failed.
type detector struct {
	// limit is how long a server may be unresponsive (setting ServerSilence).
	limit time.Duration
	// since is when the server answered last, or when the count of attempts began.
	since time.Duration
	// attempts is the number of renewals without an answer.
	attempts    int
	lastAttempt time.Duration
}

// minFailedAttempts is the least number of unanswered renewals before a server counts as failed.
const minFailedAttempts = 2

// recordAnswer records an answer of the server at now.
func (d *detector) recordAnswer(now time.Duration) {
	d.since = now
	d.attempts = 0
	d.lastAttempt = now
}

// recordFailure records an unanswered renewal at now and reports whether the
// server counts as failed. If the time since the previous attempt is longer than
// the limit, this host itself was paused, and the count starts again.
func (d *detector) recordFailure(now time.Duration) bool {
	if now-d.lastAttempt > d.limit || d.attempts == 0 && now-d.since > d.limit {
		d.since = now
		d.attempts = 0
	}
	d.lastAttempt = now
	d.attempts++
	return d.attempts >= minFailedAttempts && now-d.since >= d.limit
}
