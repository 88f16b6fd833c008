// Package retry decides whether a request that got no answer is sent again.
//
// A request is sent again only if it certainly did not run, or is idempotent.
// A budget for each service bounds retries and hedges to a share of its
// requests, so that an outage is not made worse by them. Only the host that took
// the request from its caller decides; the hosts behind it send once.
package retry

import "sync"

// maxTokens is the largest number of retries that a service can save up.
const maxTokens = 10

// Budget bounds the retries of one service to a share of its requests. Retries
// are never more than that share of all requests since its start. It is safe
// for concurrent use.
type Budget struct {
	mu     sync.Mutex
	share  float64
	tokens float64
}

// NewBudget returns a budget of the given number of retries for every hundred requests.
func NewBudget(percent int) *Budget {
	b := &Budget{}
	b.SetPercent(percent)
	return b
}

// SetPercent changes the number of retries for every hundred requests.
func (b *Budget) SetPercent(percent int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.share = float64(max(percent, 0)) / 100
}

// Request notes a new request of a caller.
func (b *Budget) Request() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+b.share, maxTokens)
}

// Take asks for one retry or hedge.
func (b *Budget) Take() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	// The tolerance lets ten requests at a tenth each pay for one retry.
	const tolerance = 1e-9
	if b.tokens < 1-tolerance {
		return false
	}
	b.tokens = max(b.tokens-1, 0)
	return true
}

// Budgets holds the budgets of all services. It is safe for concurrent use.
type Budgets struct {
	mu       sync.Mutex
	services map[string]*Budget
}

// NewBudgets returns no budgets yet.
func NewBudgets() *Budgets {
	return &Budgets{services: make(map[string]*Budget)}
}

// For returns the budget of a service with the given percentage now in force.
func (b *Budgets) For(service string, percent int) *Budget {
	b.mu.Lock()
	defer b.mu.Unlock()
	budget, ok := b.services[service]
	if !ok {
		budget = NewBudget(percent)
		b.services[service] = budget
		return budget
	}
	budget.SetPercent(percent)
	return budget
}
