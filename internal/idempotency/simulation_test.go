package idempotency

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// clusterSimulation simulates three hosts, one of which is the primary at a time. A claim is
// replicated to a second host before its request runs. All other copies of entries may be
// delayed or lost.
type clusterSimulation struct {
	stores        [3]*Store
	primary       int
	claims        []claimInProgress
	delayedCopies []Entry
	executions    map[ID]int
}

// claimInProgress is a claim that a host made while it was the primary and has not finished.
type claimInProgress struct {
	host    int
	id      ID
	attempt int
	sent    bool
}

func (m *clusterSimulation) claim(id ID) {
	store := m.stores[m.primary]
	decision := store.Claim(start, id, digest)
	if decision.Kind == KindNew {
		m.claims = append(m.claims, claimInProgress{host: m.primary, id: id, attempt: decision.Attempt})
	}
}

// send replicates a claim to another host and then runs its request, if the claim's host
// is still the primary. It fails the test if the request runs a second time.
func (m *clusterSimulation) send(t *rapid.T, c *claimInProgress, to int) {
	entry, ok := m.stores[c.host].LocalClaim(start, c.id, c.attempt)
	if !ok {
		return
	}
	stored := m.stores[to].StoreReplica(start, entry)
	if stored && !c.sent && c.host == m.primary {
		c.sent = true
		m.executions[c.id]++
		assert.Assert(t, m.executions[c.id] <= 1, "ran twice: %v", c.id)
	}
}

// finish ends a claim. Only the claim of a request that was not sent may be released.
func (m *clusterSimulation) finish(c claimInProgress, state State) {
	if c.sent && state == StateReleased {
		state = StateUnknown
	}
	m.stores[c.host].Finish(start, c.id, c.attempt, Result{State: state})
	if entry, ok := m.stores[c.host].Get(start, c.id); ok {
		m.delayedCopies = append(m.delayedCopies, entry)
	}
}

// takeOver makes a host the primary if it could merge all entries of another host.
func (m *clusterSimulation) takeOver(host, other int) {
	lost := m.stores[host].Merge(start, m.stores[other].Snapshot(start, nil))
	if lost == 0 {
		m.primary = host
	}
}

func TestARequestRunsAtMostOnceAcrossPrimaries(t *testing.T) {
	// Some faults need a rare order of steps, which rapid's default number of runs seldom finds.
	const rounds = 50
	for range rounds {
		rapid.Check(t, runAtMostOnce)
	}
}

func runAtMostOnce(t *rapid.T) {
	m := &clusterSimulation{executions: map[ID]int{}}
	for i := range m.stores {
		entries := rapid.IntRange(1, 2).Draw(t, "entries")
		m.stores[i] = NewStore(string(rune('a'+i)), Bounds{Entries: entries, Retention: retention})
	}
	host := rapid.IntRange(0, 2)
	other := func(t *rapid.T, than int) int {
		return (than + rapid.IntRange(1, 2).Draw(t, "other")) % 3
	}
	pick := func(t *rapid.T) int { return rapid.IntRange(0, len(m.claims)-1).Draw(t, "claim") }
	t.Repeat(map[string]func(*rapid.T){
		"claim": func(t *rapid.T) { m.claim(numberedID(rapid.IntRange(0, 1).Draw(t, "id"))) },
		"send": func(t *rapid.T) {
			if len(m.claims) > 0 {
				c := &m.claims[pick(t)]
				m.send(t, c, other(t, c.host))
			}
		},
		"finish": func(t *rapid.T) {
			if len(m.claims) > 0 {
				i := pick(t)
				m.finish(m.claims[i], rapid.SampledFrom([]State{StateReleased, StateUnknown, StateDone}).Draw(t, "state"))
				m.claims = append(m.claims[:i], m.claims[i+1:]...)
			}
		},
		"take over": func(t *rapid.T) {
			h := host.Draw(t, "host")
			m.takeOver(h, other(t, h))
		},
		"late copy": func(t *rapid.T) {
			if len(m.delayedCopies) > 0 {
				i := rapid.IntRange(0, len(m.delayedCopies)-1).Draw(t, "copy")
				m.stores[host.Draw(t, "host")].Merge(start, m.delayedCopies[i:i+1])
			}
		},
	})
}
