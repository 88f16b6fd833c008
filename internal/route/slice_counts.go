package route

import (
	"sync"

	"github.com/poplarcroft/poplarcroft/internal/ownership"
)

// sliceCounts counts the requests sent to backend servers, by slice. It is safe for
// concurrent use.
type sliceCounts struct {
	mu     sync.Mutex
	counts map[ownership.SliceKey]int
}

func (c *sliceCounts) add(key ownership.SliceKey) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.counts == nil {
		c.counts = make(map[ownership.SliceKey]int)
	}
	c.counts[key]++
}

// TakeSliceCounts returns the number of requests sent for each slice since the last
// call. Slices without requests are left out.
func (g *Gateway) TakeSliceCounts() map[ownership.SliceKey]int {
	g.sent.mu.Lock()
	defer g.sent.mu.Unlock()
	counts := g.sent.counts
	g.sent.counts = nil
	return counts
}
