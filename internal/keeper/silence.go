package keeper

import "time"

// silence decides when a server that leaves renewals unanswered counts as gone.
type silence struct {
	limit     time.Duration
	since     time.Duration
	attempts  int
	lastProbe time.Duration
}

// minSilentAttempts is the number of unanswered renewals without which a server never counts as gone.
const minSilentAttempts = 2

// answered notes an answer at the given time.
func (s *silence) answered(now time.Duration) {
	s.since = now
	s.attempts = 0
	s.lastProbe = now
}

// failed notes an unanswered renewal and reports whether the server counts as
// gone. A gap between attempts longer than the limit means that this host
// itself was paused: the count then starts again.
func (s *silence) failed(now time.Duration) bool {
	if now-s.lastProbe > s.limit || s.attempts == 0 && now-s.since > s.limit {
		s.since = now
		s.attempts = 0
	}
	s.lastProbe = now
	s.attempts++
	return s.attempts >= minSilentAttempts && now-s.since >= s.limit
}
