package concurrency

import "time"

const (
	// slowRatio is the factor by which a request takes longer than usual that counts as slow. It is above the factor of
	// three of the noise that servers on shared machines have.
	slowRatio = 2.8
	// evidenceFor is how long a request that has ended counts. It is short, so that the requests before a slow time do not
	// hide its beginning.
	evidenceFor = 500 * time.Millisecond
	// suspectShare is the share of slow requests from which on the server is suspected to be slow, slowShare the one from
	// which on it counts as slow if the suspicion has lasted, and normalShare the one up to which it may be normal again.
	suspectShare, slowShare, normalShare = 0.4, 0.55, 0.4
	// slowAfter is how long the evidence has to last: longer than the noise, which lasts 0.4 s.
	slowAfter = 450 * time.Millisecond
	// normalAfter is how long the evidence of the end has to last.
	normalAfter = 300 * time.Millisecond
	// minSlow is the least number of slow requests, or the number of slots if that is less.
	minSlow = 2
	// maxEnded bounds the memory.
	maxEnded = 32
)

// endedRequest is a request that has ended at a time.
type endedRequest struct {
	at   time.Duration
	slow bool
}

// slowSpell recognises times in which a server is several times slower than it usually is.
type slowSpell struct {
	slow  bool
	ended []endedRequest
	// since is when the evidence began to speak against the present state, or zero.
	since time.Duration
}

// add records the end of a request.
func (s *slowSpell) add(ratio float64, now time.Duration) {
	if len(s.ended) == maxEnded {
		s.ended = append(s.ended[:0], s.ended[1:]...)
	}
	s.ended = append(s.ended, endedRequest{now, ratio >= slowRatio})
}

// update decides whether the server is slow, by the requests that have ended lately and by those at the server.
func (s *slowSpell) update(present []*Request, slots int, now time.Duration) {
	slow, normal := 0, 0
	for _, e := range s.ended {
		switch {
		case now-e.at > evidenceFor:
		case e.slow:
			slow++
		default:
			normal++
		}
	}
	for _, r := range present {
		if r.started && r.expected > 0 && (now-r.startedAt).Seconds() >= slowRatio*r.expected {
			slow++
		}
	}
	share := 0.0
	if slow > 0 {
		share = float64(slow) / float64(slow+normal)
	}
	against, decided, after := slow >= min(minSlow, slots) && share >= suspectShare, share >= slowShare, slowAfter
	if s.slow {
		against, decided, after = share <= normalShare, true, normalAfter
	}
	switch {
	case !against:
		s.since = 0
	case s.since == 0:
		s.since = max(now, 1)
	case decided && now-s.since >= after:
		s.slow, s.since = !s.slow, 0
	}
}
