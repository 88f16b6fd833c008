package route

import (
	"context"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/poplarcroft/poplarcroft/internal/backend"
	"github.com/poplarcroft/poplarcroft/internal/balance"
	"github.com/poplarcroft/poplarcroft/internal/outcome"
	"github.com/poplarcroft/poplarcroft/internal/poison"
	"github.com/poplarcroft/poplarcroft/internal/retry"
	"github.com/poplarcroft/poplarcroft/internal/settings"
	"github.com/poplarcroft/poplarcroft/internal/transport"
)

// keylessRouter routes requests of keyless services, whose keys have no owner: any
// backend server may run them. It is safe for concurrent use.
type keylessRouter struct {
	host      string
	zone      string
	directory Directory
	pool      *transport.Pool
	guard     *poison.Guard
	budgets   *retry.Budgets
	// started is the origin of the times that are passed to the balancing policies.
	started time.Time

	mu sync.Mutex
	// services holds the backend servers by service name.
	services map[string]*targetSet
}

func newKeylessRouter(config IngressConfig, budgets *retry.Budgets) *keylessRouter {
	return &keylessRouter{
		host:      config.Host,
		zone:      config.Zone,
		directory: config.Directory,
		pool:      config.Servers,
		guard:     config.Guard,
		budgets:   budgets,
		started:   time.Now(),
		services:  make(map[string]*targetSet),
	}
}

// serve tries one server after another until one answers, package retry allows no
// further attempt, or no server is left.
func (k *keylessRouter) serve(ctx context.Context, service settings.Service, r *Request) Result {
	set := k.targetSet(service)
	set.update(k.now(), k.eligibleTargets(service), k.directory.LiveHosts())
	budget := k.budgets.For(service.Name, service.Values.RetryPercent)
	var excluded []string
	mayHaveRun := false
	for sends := 1; ; sends++ {
		addr, ok := set.pick(k.now(), excluded)
		if !ok {
			return unknownIfMayHaveRun(notRun(outcome.ReasonWarming, "no backend server that this host may use takes the request"), mayHaveRun)
		}
		excluded = append(excluded, addr)
		result := k.attemptWithHedge(ctx, service, set, addr, &excluded, r, budget)
		if result.Answer != nil {
			return result
		}
		mayHaveRun = mayHaveRun || result.Refusal.Outcome == outcome.Unknown
		decision := retry.Decide(
			retry.Request{Idempotent: r.Idempotent()},
			retry.Failure{
				Refusal:     result.Refusal,
				Sends:       sends,
				Remaining:   time.Until(r.Deadline),
				OtherServer: set.hasOther(excluded),
			},
			budget.Take, rand.Float64())
		switch {
		case decision.Action == retry.GiveUp:
			return unknownIfMayHaveRun(Result{Refusal: decision.Refusal}, mayHaveRun)
		case ctx.Err() != nil:
			return unknownIfMayHaveRun(Result{Refusal: result.Refusal}, mayHaveRun)
		case decision.Action == retry.RetrySame:
			excluded = nil
		}
	}
}

// attemptWithHedge makes an attempt at the server addr. If the service's settings ask
// for hedging, the request is idempotent and no answer comes within the set time, it
// sends a second attempt to another server, which it adds to excluded. The first answer
// wins and the other attempt is cancelled.
func (k *keylessRouter) attemptWithHedge(ctx context.Context, service settings.Service, set *targetSet, addr string, excluded *[]string, r *Request, budget *retry.Budget) Result {
	request := retry.Request{Idempotent: r.Idempotent()}
	after, hedge := retry.HedgeAfter(request, service.Values.HedgeAfter, time.Until(r.Deadline))
	if !hedge {
		return k.attempt(ctx, set, addr, r)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan Result, 2)
	go func() { results <- k.attempt(ctx, set, addr, r) }()
	timer := time.NewTimer(after)
	defer timer.Stop()
	select {
	case result := <-results:
		return result
	case <-timer.C:
	}
	second, ok := k.pickHedge(set, *excluded, budget)
	if !ok {
		return <-results
	}
	*excluded = append(*excluded, second)
	go func() { results <- k.attempt(ctx, set, second, r) }()
	first := <-results
	if first.Answer != nil {
		return first
	}
	return unknownIfMayHaveRun(<-results, first.Refusal.Outcome == outcome.Unknown)
}

// pickHedge chooses the server for the second attempt. It returns false if there is no
// other server or the retry budget is spent.
func (k *keylessRouter) pickHedge(set *targetSet, excluded []string, budget *retry.Budget) (string, bool) {
	addr, ok := set.pick(k.now(), excluded)
	if !ok {
		return "", false
	}
	if !budget.Take() {
		set.cancelled(addr, k.now())
		return "", false
	}
	return addr, true
}

// now returns the time since the start, by the monotonic clock.
func (k *keylessRouter) now() time.Duration {
	return time.Since(k.started)
}

// targetSet returns the servers of the service, and creates an empty set on first use.
func (k *keylessRouter) targetSet(service settings.Service) *targetSet {
	k.mu.Lock()
	defer k.mu.Unlock()
	set := k.services[service.Name]
	if set == nil {
		set = newTargetSet(k.host, k.zone, service.Values, k.pool)
		k.services[service.Name] = set
	}
	return set
}

// eligibleTargets returns the service's servers to which requests may be sent.
func (k *keylessRouter) eligibleTargets(service settings.Service) []keylessTarget {
	var eligible []keylessTarget
	for _, zone := range service.Zones {
		for _, addr := range zone.Servers {
			if !k.directory.MayTakeWork(zone.Name, addr) {
				continue
			}
			eligible = append(eligible, keylessTarget{
				Target:      balance.Target{Addr: addr, Zone: zone.Name, Slots: zone.Values.Slots},
				connections: zone.Values.Connections,
			})
		}
	}
	return eligible
}

// attempt makes one attempt at the server addr, if the guard allows it.
func (k *keylessRouter) attempt(ctx context.Context, set *targetSet, addr string, r *Request) Result {
	server := poison.Server{Addr: addr, Incarnation: set.incarnation(addr)}
	attempt, refusal, ok := k.guard.Begin(ctx, server, r.fingerprint())
	if !ok {
		set.cancelled(addr, k.now())
		return Result{Refusal: refusal}
	}
	req, err := r.httpRequest("http://" + addr)
	if err != nil {
		attempt.End(poison.Rejected)
		set.cancelled(addr, k.now())
		return Result{Refusal: badRequest(err.Error())}
	}
	attempt.SentShared()
	started := k.now()
	response := send(ctx, k.pool, req)
	result := serverResult(response, time.Now().After(r.Deadline))
	attempt.End(attemptEnding(ctx, result))
	now := k.now()
	set.finished(addr, now, now-started, balanceResult(ctx, result))
	if ctx.Err() == nil {
		k.updateIncarnation(set, addr, response, now)
	}
	return result
}

// updateIncarnation detects a restart or crash of the server, by another incarnation in
// its answer or by a refused connection, and reports the end of the former incarnation
// to the guard.
func (k *keylessRouter) updateIncarnation(set *targetSet, addr string, response exchange, now time.Duration) {
	seen := ""
	if response.answer != nil {
		seen = response.answer.Header.Get(backend.HeaderIncarnation)
		if seen == "" {
			return
		}
	} else if !isConnectionRefused(response.err) {
		return
	}
	former := set.incarnation(addr)
	if former == seen {
		return
	}
	set.setIncarnation(addr, seen, now)
	if former != "" {
		k.guard.ServerCrashed(poison.Server{Addr: addr, Incarnation: former}, poison.Discovery)
	}
}

// isConnectionRefused reports whether the connection was refused, which shows that no
// process listens at the address.
func isConnectionRefused(err error) bool {
	return errors.Is(err, syscall.ECONNREFUSED)
}

// balanceResult classifies the result of an attempt for the balancing policy.
func balanceResult(ctx context.Context, result Result) balance.Result {
	switch {
	case result.Answer != nil:
		return balance.Success
	case ctx.Err() != nil:
		return balance.Cancelled
	case result.Refusal.Reason == outcome.ReasonOverloaded:
		return balance.Rejected
	}
	return balance.Failure
}
