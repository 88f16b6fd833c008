package idempotency

import (
	"slices"
	"time"
)

// put stores an entry in place of any other of its ID and strips the oldest
// answers of their bodies where the memory is above its bound.
func (m *Memory) put(s *stored) {
	if old, ok := m.index[s.entry.ID]; ok {
		m.remove(old)
	}
	m.index[s.entry.ID] = s
	m.count(s.entry, 1)
	if !s.local {
		m.order = append(m.order, s)
	}
	m.strip()
	m.compact()
}

// remove takes an entry out of the index. Its place in the order is cleared later.
func (m *Memory) remove(s *stored) {
	s.replaced = true
	delete(m.index, s.entry.ID)
	m.count(s.entry, -1)
}

// count adds an entry's memory to the totals, or with the sign -1 takes it off.
func (m *Memory) count(entry Entry, sign int) {
	m.bytes += sign * entry.size()
	m.bodyBytes += sign * len(entry.Answer.Body)
}

// expire forgets the entries whose retention has ended.
func (m *Memory) expire(now time.Time) {
	gone := 0
	for gone < len(m.order) {
		oldest := m.order[gone]
		if !oldest.replaced {
			if now.Sub(oldest.changed) < m.bounds.Retention {
				break
			}
			m.remove(oldest)
		}
		gone++
	}
	clear(m.order[:gone])
	m.order = m.order[gone:]
	m.stripped = max(m.stripped-gone, 0)
}

// fits reports whether an entry can be remembered, if need be by leaving out the
// bodies of older answers.
func (m *Memory) fits(entry Entry) bool {
	if _, known := m.index[entry.ID]; known {
		return true
	}
	if len(m.index) >= m.bounds.Entries {
		return false
	}
	return m.bytes-m.bodyBytes+entry.size() <= m.bounds.Bytes
}

// fitting returns the entry without its body where that is above the bound.
func (m *Memory) fitting(entry Entry) Entry {
	if len(entry.Answer.Body) > m.bounds.BodyBytes {
		return entry.withoutBody()
	}
	return entry
}

// strip leaves out the bodies of the oldest answers until the memory is within its bound.
func (m *Memory) strip() {
	for m.bytes > m.bounds.Bytes && m.stripped < len(m.order) {
		s := m.order[m.stripped]
		if !s.replaced {
			m.count(s.entry, -1)
			s.entry = s.entry.withoutBody()
			m.count(s.entry, 1)
		}
		m.stripped++
	}
}

// compact drops replaced entries from the order when they are the larger part of it.
func (m *Memory) compact() {
	const slack = 64
	if len(m.order) <= 2*len(m.index)+slack {
		return
	}
	m.order = slices.DeleteFunc(m.order, func(s *stored) bool { return s.replaced })
	m.stripped = 0
}

// sort restores the order after entries with earlier changes were added.
func (m *Memory) sort() {
	byChange := func(a, b *stored) int { return a.changed.Compare(b.changed) }
	if slices.IsSortedFunc(m.order, byChange) {
		return
	}
	slices.SortStableFunc(m.order, byChange)
	m.stripped = 0
}

// untilExpiry returns when the oldest entry will be forgotten, within bounds fit for a caller.
func (m *Memory) untilExpiry(now time.Time) time.Duration {
	after := maxRetryAfter
	if len(m.order) > 0 {
		after = m.order[0].changed.Add(m.bounds.Retention).Sub(now)
	}
	return min(max(after, minRetryAfter), maxRetryAfter)
}
