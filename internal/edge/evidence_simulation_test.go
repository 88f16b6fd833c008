package edge

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"github.com/poplarcroft/poplarcroft/internal/assign"
	"github.com/poplarcroft/poplarcroft/internal/follow"
	"github.com/poplarcroft/poplarcroft/internal/poison"
)

// The simulation runs what keeps evidence in the shared state on several hosts, on a log that carries out writes and removals
// late, twice or never, under a fake clock. In the end the shared state must stop each request that a living host stops.

const (
	evidenceHosts = 3
	// evidenceFaultTime is how long crashes happen and writes fail, evidenceQuietTime how long the hosts have to write what is
	// missing, longer than a write may be late.
	evidenceFaultTime = 30 * time.Second
	evidenceQuietTime = 8 * time.Second
	evidenceSeeds     = 60
)

// faultyState is a platform whose shared state carries out writes late, twice or never.
type faultyState struct {
	fakePlatform
	rng   *rand.Rand
	quiet bool

	mu    sync.Mutex
	state memoryState
}

// append carries out a write.
func (p *faultyState) append(ctx context.Context, key string, value []byte) (follow.Position, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.state.AppendState(ctx, key, value, nil)
}

// records returns the records that have been written.
func (p *faultyState) records() []follow.Record {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.state.records)
}

// AppendState implements Platform.
func (p *faultyState) AppendState(ctx context.Context, key string, value []byte, _ *uint64) (follow.Position, error) {
	draw, delay := p.rng.Float64(), time.Duration(1+p.rng.IntN(5))*time.Second
	late := func() {
		time.AfterFunc(delay, func() { p.append(ctx, key, value) })
	}
	switch {
	case p.quiet:
	case draw < 0.3:
		late()
		return follow.Position{}, errors.New("no answer")
	case draw < 0.4:
		return follow.Position{}, errors.New("no answer")
	case draw < 0.5:
		late()
	}
	return p.append(ctx, key, value)
}

// evidenceSimulation is one run of the simulation. Only one goroutine at a time uses it.
type evidenceSimulation struct {
	platform *faultyState
	sharing  []*evidenceSharing
	guards   []*poison.Guard
	read     []int
	requests []poison.Fingerprint
}

// newEvidenceSimulation returns a run whose first host leads.
func newEvidenceSimulation(seed uint64) *evidenceSimulation {
	sim := &evidenceSimulation{platform: &faultyState{rng: rand.New(rand.NewPCG(seed, 1))}, requests: []poison.Fingerprint{{1}, {2}}}
	plan := func() assign.Plan { return assign.Plan{Leader: assign.Host{Name: "h0", Incarnation: "h0"}} }
	for i := range evidenceHosts {
		sharing, guard := evidenceHost(sim.platform, fmt.Sprint("h", i), plan, nil)
		sim.sharing, sim.guards, sim.read = append(sim.sharing, sharing), append(sim.guards, guard), append(sim.read, 0)
	}
	return sim
}

// round lets each host read what is new, keep what is missing, and remove what has expired.
func (sim *evidenceSimulation) round(ctx context.Context) {
	for i, sharing := range sim.sharing {
		records := sim.platform.records()
		for _, record := range records[sim.read[i]:] {
			sharing.state.apply(record, follow.UnknownEra)
		}
		sim.read[i] = len(records)
		sharing.keep(ctx)
	}
	if !sim.platform.quiet && sim.platform.rng.Float64() < 0.02 {
		// The removal of evidence that has expired by now, and is recorded anew before it is carried out.
		sim.platform.AppendState(ctx, evidencePrefix+sim.requests[0].String(), nil, nil)
	}
	time.Sleep(evidenceInterval)
}

// keptCrashes returns the number of crashes of a request that the shared state holds.
func (sim *evidenceSimulation) keptCrashes(t *testing.T, f poison.Fingerprint) int {
	t.Helper()
	var newest []byte
	for _, record := range sim.platform.records() {
		if record.Key == evidencePrefix+f.String() {
			newest = record.Value
		}
	}
	if len(newest) == 0 {
		return 0
	}
	var kept keptEvidence
	assert.NilError(t, json.Unmarshal(newest, &kept))
	return len(kept.Records)
}

// TestEvidenceOutlastsLateWritesAndRemovals guards against a request that is sent on after it has crashed three servers: an older write of
// the evidence against it, or its removal, was carried out late and replaced the newest one, and then all hosts were lost (a path
// related to review, case 6).
func TestEvidenceOutlastsLateWritesAndRemovals(t *testing.T) {
	for seed := range uint64(evidenceSeeds) {
		synctest.Test(t, func(t *testing.T) {
			sim := newEvidenceSimulation(seed)
			server := 0
			for began := time.Now(); time.Since(began) < evidenceFaultTime; sim.round(t.Context()) {
				if sim.platform.rng.Float64() < 0.1 {
					i, f := sim.platform.rng.IntN(evidenceHosts), sim.requests[sim.platform.rng.IntN(len(sim.requests))]
					if sim.guards[i].Check(f) != poison.Blocked {
						server++
						crashServers(t, sim.guards[i], f, fmt.Sprint("s", server))
					}
				}
			}
			sim.platform.quiet = true
			for began := time.Now(); time.Since(began) < evidenceQuietTime; {
				sim.round(t.Context())
			}
			for _, f := range sim.requests {
				for i, guard := range sim.guards {
					if guard.Check(f) == poison.Blocked {
						assert.Assert(t, sim.keptCrashes(t, f) >= maxCrashes, "seed %d: host %d stops the request, the shared state holds %d crashes", seed, i, sim.keptCrashes(t, f))
					}
				}
			}
			written := len(sim.platform.records())
			for range 20 {
				sim.round(t.Context())
			}
			assert.Assert(t, len(sim.platform.records()) == written, "seed %d: hosts go on writing", seed)
		})
	}
}
