package leader

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"github.com/poplarcroft/poplarcroft/internal/assign"
	"github.com/poplarcroft/poplarcroft/internal/eventlog"
	"github.com/poplarcroft/poplarcroft/internal/grants"
	"github.com/poplarcroft/poplarcroft/internal/keyrange"
)

// countingPeers counts the calls to hosts, which take a while. The first calls to each host fail.
type countingPeers struct {
	Peers
	failures int

	mu    sync.Mutex
	calls map[string]int
	// acknowledged holds the last version that each host has acknowledged.
	acknowledged map[string]assign.Fence
}

// Adopt implements Peers.
func (p *countingPeers) Adopt(ctx context.Context, host assign.Host, plan assign.Plan) (string, error) {
	select {
	case <-time.After(20 * time.Millisecond):
	case <-ctx.Done():
		return "", ctx.Err()
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.calls[host.Name]++
	if p.calls[host.Name] <= p.failures {
		return "", errors.New("no answer")
	}
	p.acknowledged[host.Name] = max(p.acknowledged[host.Name], plan.Version)
	return host.Incarnation, nil
}

// largestCount returns the largest number of calls to one host.
func (p *countingPeers) largestCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	largest := 0
	for _, count := range p.calls {
		largest = max(largest, count)
	}
	return largest
}

// TestManyReleasesNeedFewCalls guards against a call to each host of a zone for each range that is released: when a part of a
// large fleet's servers leaves, that is some thousand calls of a small host that leads. No release may go on before each
// host has acknowledged a plan that contains it.
func TestManyReleasesNeedFewCalls(t *testing.T) {
	for name, failures := range map[string]int{"all answer": 0, "first calls fail": 1} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				peers := &countingPeers{failures: failures, calls: make(map[string]int), acknowledged: make(map[string]assign.Fence)}
				started := time.Now()
				l := New(Config{
					Self: assign.Host{Name: "front-00", Incarnation: "1"}, Current: assign.NewCurrent(), Peers: peers, Timing: grants.DefaultTiming(),
					Clock: func() time.Duration { return time.Since(started) + time.Hour }, Log: eventlog.Discard(),
				})
				plan := assign.Plan{Version: 7}
				for i := range 33 {
					plan.Hosts = append(plan.Hosts, assign.Host{Name: fmt.Sprintf("front-%02d", i), Incarnation: "1", Zone: "zlin"})
				}
				l.Current.Adopt(plan)
				var releases sync.WaitGroup
				for i := range 70 {
					if i == 35 {
						// Half of the ranges are released by a later plan, while the calls for the first ones are under way.
						time.Sleep(10 * time.Millisecond)
						plan = plan.Clone()
						plan.Version = 8
						l.Current.Adopt(plan)
					}
					releasing := plan
					releases.Go(func() {
						l.stopRenewers(t.Context(), assign.Assignment{Range: keyrange.All, Server: assign.Server{Zone: "zlin"}}, releasing)
						peers.mu.Lock()
						defer peers.mu.Unlock()
						for _, host := range plan.Hosts {
							assert.Check(t, peers.acknowledged[host.Name] >= releasing.Version)
						}
					})
				}
				releases.Wait()
				assert.Assert(t, peers.largestCount() <= 2+failures, "%d calls to a host", peers.largestCount())
				assert.Assert(t, l.Clock()-time.Hour < l.Timing.RenewalsStopWithin(), "no release waits longer than without calls")
			})
		})
	}
}
