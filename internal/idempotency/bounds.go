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
	m.bytes += s.entry.size()
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
	m.bytes -= s.entry.size()
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

// makeRoom reports whether a new entry fits. It gives up the entries of
// released claims where there is no room otherwise: a request that did not run
// may run later without being known.
func (m *Memory) makeRoom(entry Entry) bool {
	if m.fits(entry) {
		return true
	}
	for _, s := range m.order {
		if !s.replaced && s.entry.State == StateReleased && s.entry.ID != entry.ID {
			m.remove(s)
		}
	}
	m.compact()
	return m.fits(entry)
}

func (m *Memory) fits(entry Entry) bool {
	if _, known := m.index[entry.ID]; known {
		return true
	}
	if len(m.index) >= m.bounds.Entries {
		return false
	}
	return m.bytes-m.bodies()+entry.size() <= m.bounds.Bytes
}

// bodies returns the bytes that stripping all answers would free. It is not
// computed while the memory is far below its bound.
func (m *Memory) bodies() int {
	if m.bytes+entryOverhead < m.bounds.Bytes/2 {
		return 0
	}
	total := 0
	for _, s := range m.order[m.stripped:] {
		if !s.replaced {
			total += len(s.entry.Answer.Body)
		}
	}
	return total
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
			m.bytes -= s.entry.size()
			s.entry = s.entry.withoutBody()
			m.bytes += s.entry.size()
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
