package front

import (
	"sync"
	"time"
)

// BudgetConfig is the retry budget of each service. It limits the retries of all hosts together.
type BudgetConfig struct {
	// In any Window, retries may make up the share Ratio of the requests, plus Extra retries.
	Ratio  float64
	Extra  float64
	Window time.Duration
	// Hosts returns the number of hosts that share Extra.
	Hosts func() int
}

const (
	// usableRatio is the part of Ratio that a host uses. The rest is a margin, because a host
	// also counts requests that never reach the service.
	usableRatio = 0.75
	// usableExtra is the part of Extra that the hosts use together.
	usableExtra = 0.6
)

// budgets holds this host's retry budget for each service. It is safe for concurrent use.
type budgets struct {
	config BudgetConfig

	mu       sync.Mutex
	services map[string]*budget
}

// budget is a token bucket. Each request and the passing of time add tokens, and each retry
// takes one.
type budget struct {
	tokens     float64
	refilledAt time.Duration
}

// get returns the service's bucket, refilled up to now. The caller holds the lock.
func (b *budgets) get(service string, now time.Duration) *budget {
	if b.services == nil {
		b.services = make(map[string]*budget)
	}
	bucket := b.services[service]
	if bucket == nil {
		bucket = &budget{tokens: b.burst(), refilledAt: now}
		b.services[service] = bucket
	}
	// Within one window a host can spend a full bucket and also what is refilled meanwhile, so
	// each of the two is half of its extra retries.
	elapsed := now - bucket.refilledAt
	bucket.refilledAt = now
	bucket.tokens = min(bucket.tokens+b.burst()*elapsed.Seconds()/b.config.Window.Seconds(), b.burst()+1)
	return bucket
}

// burst is half of this host's share of the extra retries.
func (b *budgets) burst() float64 {
	return usableExtra * b.config.Extra / float64(max(b.config.Hosts(), 1)) / 2
}

// recordRequest adds the tokens that a caller's request allows.
func (b *budgets) recordRequest(service string, now time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	bucket := b.get(service, now)
	bucket.tokens = min(bucket.tokens+usableRatio*b.config.Ratio, b.burst()+1)
}

// take takes a token for one retry. It returns false if the budget is used up.
func (b *budgets) take(service string, now time.Duration) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	bucket := b.get(service, now)
	if bucket.tokens < 1 {
		return false
	}
	bucket.tokens--
	return true
}

// giveBack returns the token of a retry that was not sent.
func (b *budgets) giveBack(service string, now time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	bucket := b.get(service, now)
	bucket.tokens = min(bucket.tokens+1, b.burst()+1)
}
