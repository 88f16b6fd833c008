// Package retry decides what follows a failed attempt to have a backend server run a
// request: another attempt, on the same or another server, or the caller's final answer.
//
// A request that may have run is sent again only if it is idempotent. A retry budget
// per service bounds retries and hedges to a share of its requests, so that they do not
// amplify an outage. Only the host that took the request from its caller decides
// (package route); a host to which it forwards the request makes a single attempt, so
// that retries do not multiply.
//
// Package route uses Decide and HedgeAfter for services that are not divided by key.
// For keyed requests it has a loop of its own and uses only the Budget. Decide and
// HedgeAfter are pure functions.
package retry

import "sync"

// maxTokens is the capacity of a service's token bucket: the number of retries that it
// can make at once after a period without any.
const maxTokens = 10

// Budget is the retry budget of one service: a token bucket to which each request of a
// caller adds a fraction of a token and from which each retry or hedge takes one. The
// retries never exceed that fraction of all requests since the budget's creation. It is
// safe for concurrent use.
type Budget struct {
	mu     sync.Mutex
	ratio  float64
	tokens float64
}

// NewBudget returns a budget that allows the given number of retries per hundred requests.
func NewBudget(percent int) *Budget {
	b := &Budget{}
	b.SetPercent(percent)
	return b
}

// SetPercent changes the number of retries per hundred requests.
func (b *Budget) SetPercent(percent int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ratio = float64(max(percent, 0)) / 100
}

// CountRequest counts a new request of a caller.
func (b *Budget) CountRequest() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+b.ratio, maxTokens)
}

// Take takes a token for one retry or hedge. It returns false if none is left.
func (b *Budget) Take() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	// The tolerance absorbs rounding: ten tenths of a token must pay for one retry.
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

// NewBudgets returns an empty collection; For adds the budgets.
func NewBudgets() *Budgets {
	return &Budgets{services: make(map[string]*Budget)}
}

// For returns the budget of a service and sets its percentage. It creates the budget at
// the first call.
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
