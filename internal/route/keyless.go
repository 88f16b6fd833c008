package route

import (
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/poplarcroft/poplarcroft/internal/balance"
	"github.com/poplarcroft/poplarcroft/internal/outcome"
	"github.com/poplarcroft/poplarcroft/internal/settings"
)

// maxKeylessTries bounds the servers tried for one request.
const maxKeylessTries = 3

// keyless serves requests of services that are not divided by key: any
// backend server may take them.
type keyless struct {
	zone      string
	directory Directory
	client    *http.Client
	started   time.Time

	mu       sync.Mutex
	services map[string]*keylessService
}

// keylessService is the choice of targets of one service. Its lock guards the policy.
type keylessService struct {
	mu      sync.Mutex
	policy  balance.Policy
	targets []balance.Target
}

func newKeyless(zone string, directory Directory, client *http.Client) *keyless {
	return &keyless{
		zone:      zone,
		directory: directory,
		client:    client,
		started:   time.Now(),
		services:  make(map[string]*keylessService),
	}
}

func (k *keyless) serve(ctx context.Context, service settings.Service, r *Request) Result {
	state := k.state(service)
	state.setTargets(k.now(), k.targets(service))
	var excluded []string
	result := notRun(outcome.ReasonOverloaded, "no backend server takes the request")
	for range maxKeylessTries {
		addr, ok := state.pick(k.now(), excluded)
		if !ok {
			return result
		}
		excluded = append(excluded, addr)
		result = k.try(ctx, state, addr, r)
		mayRepeat := result.Answer == nil && (result.Refusal.Outcome == outcome.NotRun || r.Idempotent())
		if !mayRepeat || ctx.Err() != nil {
			return result
		}
	}
	return result
}

func (k *keyless) now() time.Duration {
	return time.Since(k.started)
}

func (k *keyless) state(service settings.Service) *keylessService {
	k.mu.Lock()
	defer k.mu.Unlock()
	state := k.services[service.Name]
	if state == nil {
		policy, err := balance.New(balance.Adaptive, balance.Options{
			Zone:           k.zone,
			Rand:           rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
			ColdStart:      service.Values.ColdStartTime,
			ColdStartSlots: service.Values.ColdStartSlots,
		})
		if err != nil {
			panic(err)
		}
		state = &keylessService{policy: policy}
		k.services[service.Name] = state
	}
	return state
}

// targets returns the servers that may take work, all of them where every one is leaving.
func (k *keyless) targets(service settings.Service) []balance.Target {
	var open []balance.Target
	for _, zone := range service.Zones {
		for _, addr := range zone.Servers {
			if k.directory.MayTakeWork(zone.Name, addr) {
				open = append(open, balance.Target{Addr: addr, Zone: zone.Name, Slots: zone.Values.Slots})
			}
		}
	}
	return open
}

func (s *keylessService) setTargets(now time.Duration, targets []balance.Target) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !slices.Equal(s.targets, targets) {
		s.targets = targets
		s.policy.SetTargets(now, targets)
	}
}

func (s *keylessService) pick(now time.Duration, excluded []string) (string, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	addr, ok := s.policy.Pick(now, excluded...)
	if ok {
		s.policy.Started(addr, now)
	}
	return addr, ok
}

func (s *keylessService) finished(addr string, now, latency time.Duration, result balance.Result) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.policy.Finished(addr, now, latency, result)
}

func (k *keyless) try(ctx context.Context, state *keylessService, addr string, r *Request) Result {
	req, err := r.httpRequest("http://" + addr)
	if err != nil {
		return Result{Refusal: badRequest(err.Error())}
	}
	started := k.now()
	result := serverResult(send(ctx, k.client, req))
	now := k.now()
	state.finished(addr, now, now-started, balanceResult(ctx, result))
	return result
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
