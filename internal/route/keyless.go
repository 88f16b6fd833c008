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

// keyless serves requests of services that are not divided by key: any
// backend server may take them.
type keyless struct {
	host      string
	zone      string
	directory Directory
	pool      *transport.Pool
	guard     *poison.Guard
	budgets   *retry.Budgets
	started   time.Time

	mu       sync.Mutex
	services map[string]*targetSet
}

func newKeyless(config EntryConfig, budgets *retry.Budgets) *keyless {
	return &keyless{
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

// serve tries servers until one answers, the budget is spent or nothing is left to try.
func (k *keyless) serve(ctx context.Context, service settings.Service, r *Request) Result {
	set := k.set(service)
	set.update(k.now(), k.targets(service), k.directory.LiveHosts())
	budget := k.budgets.For(service.Name, service.Values.RetryPercent)
	var excluded []string
	mayRun := false
	for sends := 1; ; sends++ {
		addr, ok := set.pick(k.now(), excluded)
		if !ok {
			return truthful(notRun(outcome.ReasonWarming, "no backend server that this host may use takes the request"), mayRun)
		}
		excluded = append(excluded, addr)
		result := k.hedged(ctx, service, set, addr, &excluded, r, budget)
		if result.Answer != nil {
			return result
		}
		mayRun = mayRun || result.Refusal.Outcome == outcome.Unknown
		decision := retry.Decide(
			retry.Request{Idempotent: r.Idempotent()},
			retry.Failure{
				Refusal:   result.Refusal,
				Sends:     sends,
				Remaining: time.Until(r.Deadline),
				Elsewhere: set.hasOther(excluded),
			},
			budget.Take, rand.Float64())
		if decision.Action != retry.Elsewhere || ctx.Err() != nil {
			return truthful(Result{Refusal: decision.Refusal}, mayRun)
		}
	}
}

// hedged sends the request and, where the service's settings ask for it, after
// a while a second time to another server. The first answer wins and the other try is cancelled.
func (k *keyless) hedged(ctx context.Context, service settings.Service, set *targetSet, addr string, excluded *[]string, r *Request, budget *retry.Budget) Result {
	request := retry.Request{Idempotent: r.Idempotent()}
	after, hedge := retry.HedgeAfter(request, service.Values.HedgeAfter, time.Until(r.Deadline))
	if !hedge {
		return k.try(ctx, set, addr, r)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan Result, 2)
	go func() { results <- k.try(ctx, set, addr, r) }()
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
	go func() { results <- k.try(ctx, set, second, r) }()
	first := <-results
	if first.Answer != nil {
		return first
	}
	return truthful(<-results, first.Refusal.Outcome == outcome.Unknown)
}

// pickHedge chooses the server for a hedge, where the budget allows one.
func (k *keyless) pickHedge(set *targetSet, excluded []string, budget *retry.Budget) (string, bool) {
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

func (k *keyless) now() time.Duration {
	return time.Since(k.started)
}

func (k *keyless) set(service settings.Service) *targetSet {
	k.mu.Lock()
	defer k.mu.Unlock()
	set := k.services[service.Name]
	if set == nil {
		set = newTargetSet(k.host, k.zone, service.Values, k.pool)
		k.services[service.Name] = set
	}
	return set
}

// targets returns the servers that may take work.
func (k *keyless) targets(service settings.Service) []keylessTarget {
	var open []keylessTarget
	for _, zone := range service.Zones {
		for _, addr := range zone.Servers {
			if !k.directory.MayTakeWork(zone.Name, addr) {
				continue
			}
			open = append(open, keylessTarget{
				Target:      balance.Target{Addr: addr, Zone: zone.Name, Slots: zone.Values.Slots},
				connections: zone.Values.Connections,
			})
		}
	}
	return open
}

// try sends the request to one server, under the guard's permission.
func (k *keyless) try(ctx context.Context, set *targetSet, addr string, r *Request) Result {
	server := poison.Server{Addr: addr, Incarnation: set.incarnation(addr)}
	pass, refusal, ok := k.guard.Begin(ctx, server, r.fingerprint())
	if !ok {
		set.cancelled(addr, k.now())
		return Result{Refusal: refusal}
	}
	req, err := r.httpRequest("http://" + addr)
	if err != nil {
		pass.End(poison.Refused)
		set.cancelled(addr, k.now())
		return Result{Refusal: badRequest(err.Error())}
	}
	pass.SentInCompany()
	started := k.now()
	done := send(ctx, k.pool, req)
	result := serverResult(done, time.Now().After(r.Deadline))
	pass.End(ending(ctx, result))
	now := k.now()
	set.finished(addr, now, now-started, balanceResult(ctx, result))
	if ctx.Err() == nil {
		k.noteIncarnation(set, addr, done, now)
	}
	return result
}

// noteIncarnation notices a restart of the server: by another incarnation in its
// answer, or by a refused connection.
func (k *keyless) noteIncarnation(set *targetSet, addr string, done exchange, now time.Duration) {
	seen := ""
	if done.answer != nil {
		seen = done.answer.Header.Get(backend.HeaderIncarnation)
		if seen == "" {
			return
		}
	} else if !refusedConnection(done.err) {
		return
	}
	former := set.incarnation(addr)
	if former == seen {
		return
	}
	set.setIncarnation(addr, seen, now)
	if former != "" {
		k.guard.ServerDied(poison.Server{Addr: addr, Incarnation: former})
	}
}

// refusedConnection reports whether nobody listens at the server's address.
func refusedConnection(err error) bool {
	return errors.Is(err, syscall.ECONNREFUSED)
}

func balanceResult(ctx context.Context, result Result) balance.Result {
	switch {
	case result.Answer != nil:
		return balance.Success
	case ctx.Err() != nil:
		return balance.Cancelled
	case result.Refusal.Reason == outcome.ReasonOverloaded:
		return balance.Refused
	}
	return balance.Failure
}
