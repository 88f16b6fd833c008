package front

import (
	"sync"
	"time"
)

// BudgetConfig bounds the tries of a service beyond the first of each request, over all hosts.
type BudgetConfig struct {
	// Ratio is the allowed share of the requests in any window, and Extra is allowed on top.
	Ratio  float64
	Extra  float64
	Window time.Duration
	// Hosts returns the number of hosts that share the budget.
	Hosts func() int
}

const (
	// ownRatio is the part of the allowed share that a host uses, as requests may be
	// counted at a service that they do not reach.
	ownRatio = 0.75
	// ownExtra is the part of the allowance on top that the hosts use together.
	ownExtra = 0.6
)

// budgets keeps the budget of each service. It is safe for concurrent use.
type budgets struct {
	config BudgetConfig

	mu       sync.Mutex
	services map[string]*budget
}

// budget is a token bucket that requests and time fill.
type budget struct {
	tokens float64
	filled time.Duration
}

func (b *budgets) of(service string, now time.Duration) *budget {
	if b.services == nil {
		b.services = make(map[string]*budget)
	}
	kept := b.services[service]
	if kept == nil {
		kept = &budget{tokens: b.burst(), filled: now}
		b.services[service] = kept
	}
	// The extra allowance is split in what may be saved up and what flows in a window.
	elapsed := now - kept.filled
	kept.filled = now
	kept.tokens = min(kept.tokens+b.burst()*elapsed.Seconds()/b.config.Window.Seconds(), b.burst()+1)
	return kept
}

// burst is half of this host's share of the extra allowance.
func (b *budgets) burst() float64 {
	return ownExtra * b.config.Extra / float64(max(b.config.Hosts(), 1)) / 2
}

// request notes a request of a caller.
func (b *budgets) request(service string, now time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	kept := b.of(service, now)
	kept.tokens = min(kept.tokens+ownRatio*b.config.Ratio, b.burst()+1)
}

// take asks for one more try.
func (b *budgets) take(service string, now time.Duration) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	kept := b.of(service, now)
	if kept.tokens < 1 {
		return false
	}
	kept.tokens--
	return true
}
