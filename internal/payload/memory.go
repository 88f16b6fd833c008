package payload

import (
	"context"
	"sync"
	"time"
)

const (
	// largeShare is the part of the memory for bodies that large answers may take. The rest stays for other requests.
	largeShare = 0.75
	// memoryWait is how long a request for a large answer waits for memory before it is refused.
	memoryWait = 200 * time.Millisecond
	// SmallRoom is the part of the bound, in bytes, that has to be free for a request whose answer is held. It is not
	// reserved; most answers are smaller.
	SmallRoom = 64 << 10
	// arrivingShare is the part of the memory for bodies beyond which no request's body may grow that is larger than SmallRoom, and
	// smallShare that for others larger than firstBodyBytes. So bodies that arrive slowly leave room for small ones and for answers.
	arrivingShare = 0.5
	smallShare    = 0.75
	// loneShare is the multiple of the memory for bodies that a body may take while there is no other.
	loneShare = 2
)

// Memory counts the bytes of the bodies of requests and answers that this host holds. It is safe for concurrent use.
type Memory struct {
	// bound is the maximum number of bytes; zero sets none.
	bound int64

	mu sync.Mutex
	// held is the number of bytes that are held, and most its highest value so far.
	held, most int64
	// freed is closed when bytes are given back, and nil while nobody waits.
	freed chan struct{}
}

// NewMemory returns a Memory with a bound in bytes; zero sets none.
func NewMemory(bound int64) *Memory {
	return &Memory{bound: bound}
}

// Bounded reports whether there is a bound.
func (m *Memory) Bounded() bool { return m.bound > 0 }

// take counts n more bytes unless that exceeds the given part of the bound.
func (m *Memory) take(n int64, part float64) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.takeWithin(n, part)
}

// takeWithin is take for a caller that holds the lock.
func (m *Memory) takeWithin(n int64, part float64) bool {
	if m.bound > 0 && m.held+n > int64(part*float64(m.bound)) {
		return false
	}
	m.held += n
	m.most = max(m.most, m.held)
	return true
}

// takeArriving is take for the body of a request that holds own bytes already.
func (m *Memory) takeArriving(own, n int64) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	part := 1.0
	switch {
	case m.held == own:
		part = loneShare
	case own+n > SmallRoom:
		part = arrivingShare
	case own+n > firstBodyBytes:
		part = smallShare
	}
	return m.takeWithin(n, part)
}

// giveBack ends the counting of n bytes.
func (m *Memory) giveBack(n int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.held -= n
	if m.freed != nil && n > 0 {
		close(m.freed)
		m.freed = nil
	}
}

// HasRoom reports whether n more bytes are within the bound.
func (m *Memory) HasRoom(n int64) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.bound <= 0 || m.held+n <= m.bound
}

// nextFreed returns a channel that is closed when bytes are given back.
func (m *Memory) nextFreed() <-chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.freed == nil {
		m.freed = make(chan struct{})
	}
	return m.freed
}

// await is take that waits at most the given time for bytes to be given back.
func (m *Memory) await(ctx context.Context, n int64, part float64, limit time.Duration) bool {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	for {
		freed := m.nextFreed()
		if m.take(n, part) {
			return true
		}
		select {
		case <-ctx.Done():
			return false
		case <-freed:
		}
	}
}

// Snapshot returns the bound, the bytes held and their highest number, for the metrics endpoint.
func (m *Memory) Snapshot() map[string]int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return map[string]int64{"bound": m.bound, "held": m.held, "most": m.most}
}

// Holding is what one request holds of a Memory until it has ended. A nil Holding counts nothing. It is used by one
// goroutine.
type Holding struct {
	memory *Memory
	bytes  int64
}

// NewHolding returns what a new request holds: nothing.
func NewHolding(memory *Memory) *Holding {
	return &Holding{memory: memory}
}

// Take counts n more bytes of the request. It returns false if the bound does not allow it.
func (h *Holding) Take(n int64) bool {
	if h == nil {
		return true
	}
	if !h.memory.take(n, 1) {
		return false
	}
	h.bytes += n
	return true
}

// TakeArriving counts n more bytes of the request's body while it arrives. It returns false if there is no room for them.
func (h *Holding) TakeArriving(n int64) bool {
	if h == nil {
		return true
	}
	if !h.memory.takeArriving(h.bytes, n) {
		return false
	}
	h.bytes += n
	return true
}

// GiveBack ends the counting of n bytes of the request.
func (h *Holding) GiveBack(n int64) {
	if h == nil {
		return
	}
	h.memory.giveBack(n)
	h.bytes -= n
}

// AwaitLarge counts n bytes for a large answer, and waits a short time for them.
func (h *Holding) AwaitLarge(ctx context.Context, n int64) bool {
	if h == nil {
		return true
	}
	if !h.memory.await(ctx, n, largeShare, memoryWait) {
		return false
	}
	h.bytes += n
	return true
}

// Release ends the counting of all bytes of the request.
func (h *Holding) Release() {
	if h == nil {
		return
	}
	h.memory.giveBack(h.bytes)
	h.bytes = 0
}
