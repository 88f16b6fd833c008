package idempotency

import (
	"slices"
	"time"
)

// put stores an entry in place of any other with its ID. If the store is then above its
// limit of bytes, the bodies of the oldest answers are dropped.
func (s *Store) put(e *storedEntry) {
	if old, ok := s.index[e.entry.ID]; ok {
		s.remove(old)
	}
	s.index[e.entry.ID] = e
	s.addToTotals(e.entry, 1)
	if !e.local {
		s.byAge = append(s.byAge, e)
	}
	s.dropOldestBodies()
	s.compact()
}

// remove removes an entry from the index. expire or compact removes it from byAge later.
func (s *Store) remove(e *storedEntry) {
	e.removed = true
	delete(s.index, e.entry.ID)
	s.addToTotals(e.entry, -1)
}

// addToTotals adds an entry's size to the totals of bytes, or subtracts it if sign is -1.
func (s *Store) addToTotals(entry Entry, sign int) {
	s.bytes += sign * entry.size()
	s.bodyBytes += sign * len(entry.Answer.Body)
}

// expire removes the entries whose retention has ended.
func (s *Store) expire(now time.Time) {
	expired := 0
	for expired < len(s.byAge) {
		oldest := s.byAge[expired]
		if !oldest.removed {
			if now.Sub(oldest.changed) < s.bounds.Retention {
				break
			}
			s.remove(oldest)
		}
		expired++
	}
	clear(s.byAge[:expired])
	s.byAge = s.byAge[expired:]
	s.bodilessCount = max(s.bodilessCount-expired, 0)
}

// hasRoomFor reports whether an entry can be stored, if necessary by dropping the bodies
// of older answers.
func (s *Store) hasRoomFor(entry Entry) bool {
	if _, known := s.index[entry.ID]; known {
		return true
	}
	if len(s.index) >= s.bounds.Entries {
		return false
	}
	return s.bytes-s.bodyBytes+entry.size() <= s.bounds.Bytes
}

// limitBody returns the entry, without its body if that exceeds Bounds.BodyBytes.
func (s *Store) limitBody(entry Entry) Entry {
	if len(entry.Answer.Body) > s.bounds.BodyBytes {
		return entry.withoutBody()
	}
	return entry
}

// dropOldestBodies drops the bodies of the oldest answers until the store is within its
// limit of bytes.
func (s *Store) dropOldestBodies() {
	for s.bytes > s.bounds.Bytes && s.bodilessCount < len(s.byAge) {
		e := s.byAge[s.bodilessCount]
		if !e.removed {
			s.addToTotals(e.entry, -1)
			e.entry = e.entry.withoutBody()
			s.addToTotals(e.entry, 1)
		}
		s.bodilessCount++
	}
}

// compact deletes removed entries from byAge when they are the larger part of it.
func (s *Store) compact() {
	const slack = 64
	if len(s.byAge) <= 2*len(s.index)+slack {
		return
	}
	s.byAge = slices.DeleteFunc(s.byAge, func(e *storedEntry) bool { return e.removed })
	s.bodilessCount = 0
}

// sortByAge restores the order of byAge after merged entries, whose last changes may be
// earlier, were appended.
func (s *Store) sortByAge() {
	byChange := func(a, b *storedEntry) int { return a.changed.Compare(b.changed) }
	if slices.IsSortedFunc(s.byAge, byChange) {
		return
	}
	slices.SortStableFunc(s.byAge, byChange)
	s.bodilessCount = 0
}

// untilNextExpiry returns the time until the oldest entry expires, limited to the range
// of retry-after times.
func (s *Store) untilNextExpiry(now time.Time) time.Duration {
	after := maxRetryAfter
	if len(s.byAge) > 0 {
		after = s.byAge[0].changed.Add(s.bounds.Retention).Sub(now)
	}
	return min(max(after, minRetryAfter), maxRetryAfter)
}
