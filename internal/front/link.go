package front

import (
	"sync"
	"time"
)

const (
	// stalledAfter is how long one write to a caller may take before the rest of the answer no longer counts as waiting
	// for the link: the caller reads slowly, and the link is free for others.
	stalledAfter = time.Second
	// sizeWeight is the weight of a new answer's size in the route's average.
	sizeWeight = 0.1
)

// linkMeter estimates how long an answer waits for the host's link. Bytes that were written wait in the kernel and in
// the link's queue, whose length is not known; they are taken to leave at the rate of the link. It is safe for
// concurrent use.
type linkMeter struct {
	// rate is in bytes per second; zero means that it is not known.
	rate  float64
	clock func() time.Duration

	mu sync.Mutex
	// backlog is the number of bytes that were written and have not left yet, as of updatedAt.
	backlog   float64
	updatedAt time.Duration
	// uses holds the large answers that are expected or under way.
	uses map[*linkUse]struct{}
	// sizes holds the average size of the large answers of each route, in bytes.
	sizes map[string]float64
}

// linkUse is a large answer that will need the link. Its fields are guarded by the meter.
type linkUse struct {
	meter *linkMeter
	route string
	// remaining is the number of bytes that are expected and not written yet, and written the number of those that were.
	remaining, written float64
	// writingSince is when the present write began, or negative if there is none.
	writingSince time.Duration
}

// wrote adds bytes that were written to a caller or host.
func (m *linkMeter) wrote(n int) {
	if m.rate <= 0 {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.drain()
	m.backlog += float64(n)
}

// drain subtracts the bytes that have left since updatedAt. The caller holds the lock.
func (m *linkMeter) drain() {
	now := m.clock()
	m.backlog = max(0, m.backlog-m.rate*(now-m.updatedAt).Seconds())
	m.updatedAt = now
}

// wait returns the time until the bytes that wait now have left. The caller holds the lock.
func (m *linkMeter) wait() time.Duration {
	m.drain()
	bytes := m.backlog
	for use := range m.uses {
		if use.writingSince < 0 || m.updatedAt-use.writingSince < stalledAfter {
			bytes += use.remaining
		}
	}
	return time.Duration(bytes / m.rate * float64(time.Second))
}

// admit registers an answer of the route if it is expected to have left within the given time. Otherwise it returns the
// time by which the wait is too long. The use is nil if the rate of the link is not known.
func (m *linkMeter) admit(route string, within time.Duration) (*linkUse, time.Duration) {
	if m.rate <= 0 {
		return nil, 0
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	size, known := m.sizes[route]
	if !known {
		size = streamThreshold
	}
	transfer := time.Duration(size / m.rate * float64(time.Second))
	waiting := m.wait()
	// An empty link takes every request: nothing that others send is in the way.
	if excess := waiting + transfer - within; waiting > 0 && excess > 0 {
		return nil, excess
	}
	use := &linkUse{meter: m, route: route, remaining: size, writingSince: -1}
	if m.uses == nil {
		m.uses = make(map[*linkUse]struct{})
	}
	m.uses[use] = struct{}{}
	return use, 0
}

// expect sets the length of the answer.
func (u *linkUse) expect(bytes int64) {
	if u == nil {
		return
	}
	u.meter.mu.Lock()
	defer u.meter.mu.Unlock()
	u.remaining = max(0, float64(bytes)-u.written)
}

// beginWrite marks the start of a write to the caller.
func (u *linkUse) beginWrite() {
	if u == nil {
		return
	}
	u.meter.mu.Lock()
	defer u.meter.mu.Unlock()
	u.writingSince = u.meter.clock()
}

// endWrite marks the end of a write of n bytes.
func (u *linkUse) endWrite(n int) {
	if u == nil {
		return
	}
	m := u.meter
	m.mu.Lock()
	defer m.mu.Unlock()
	m.drain()
	m.backlog += float64(n)
	u.writingSince = -1
	u.written += float64(n)
	u.remaining = max(0, u.remaining-float64(n))
}

// end removes the answer. Its size counts for the route if it was complete.
func (u *linkUse) end(complete bool) {
	if u == nil {
		return
	}
	m := u.meter
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.uses, u)
	if !complete || u.written == 0 {
		return
	}
	if m.sizes == nil {
		m.sizes = make(map[string]float64)
	}
	before, known := m.sizes[u.route]
	if !known {
		before = u.written
	}
	m.sizes[u.route] = before + sizeWeight*(u.written-before)
}
