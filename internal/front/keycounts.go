package front

import (
	"sync"

	"github.com/poplarcroft/poplarcroft/internal/keyrange"
)

// keyCounts counts the requests for each key. There are no more entries than keys
// of each keyed service. It is safe for concurrent use.
type keyCounts struct {
	mu     sync.Mutex
	counts map[string]map[keyrange.Key]int
}

func (c *keyCounts) add(service string, key keyrange.Key) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.counts == nil {
		c.counts = make(map[string]map[keyrange.Key]int)
	}
	if c.counts[service] == nil {
		c.counts[service] = make(map[keyrange.Key]int)
	}
	c.counts[service][key]++
}

func (c *keyCounts) take() map[string]map[keyrange.Key]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	counts := c.counts
	c.counts = nil
	return counts
}
