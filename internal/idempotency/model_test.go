package idempotency

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// lessors models three hosts of which one at a time leads. A claim is copied to
// a second host before its request runs; all other copies may be late or lost.
type lessors struct {
	memories [3]*Memory
	lead     int
	claims   []claimed
	late     []Entry
	runs     map[ID]int
}

// claimed is a claim in progress at a host. It belongs to one leadership.
type claimed struct {
	host    int
	id      ID
	attempt int
	sent    bool
}

func (l *lessors) claim(id ID) {
	memory := l.memories[l.lead]
	verdict := memory.Claim(start, id, digest)
	if verdict.Kind == KindNew {
		l.claims = append(l.claims, claimed{host: l.lead, id: id, attempt: verdict.Attempt})
	}
}

// send copies a claim to another host and then runs its request, if its host still leads.
func (l *lessors) send(t *rapid.T, c *claimed, to int) {
	entry, ok := l.memories[c.host].Claimed(start, c.id, c.attempt)
	if !ok {
		return
	}
	held := l.memories[to].Hold(start, entry)
	if held && !c.sent && c.host == l.lead {
		c.sent = true
		l.runs[c.id]++
		assert.Assert(t, l.runs[c.id] <= 1, "ran twice: %v", c.id)
	}
}

// finish ends a claim. Only a request that was not sent may be told not run.
func (l *lessors) finish(c claimed, state State) {
	if c.sent && state == StateReleased {
		state = StateUnknown
	}
	l.memories[c.host].Finish(start, c.id, c.attempt, Result{State: state})
	if entry, ok := l.memories[c.host].Get(start, c.id); ok {
		l.late = append(l.late, entry)
	}
}

// takeOver makes a host the lead if it could take in all of another host's copies.
func (l *lessors) takeOver(host, other int) {
	lost := l.memories[host].Merge(start, l.memories[other].Snapshot(start, nil))
	if lost == 0 {
		l.lead = host
	}
}

func TestARequestRunsAtMostOnceOverAllLeads(t *testing.T) {
	// Some faults need a rare order of steps: rapid's default is too few runs.
	const rounds = 50
	for range rounds {
		rapid.Check(t, runAtMostOnce)
	}
}

func runAtMostOnce(t *rapid.T) {
	l := &lessors{runs: map[ID]int{}}
	for i := range l.memories {
		entries := rapid.IntRange(1, 2).Draw(t, "entries")
		l.memories[i] = NewMemory(string(rune('a'+i)), Bounds{Entries: entries, Retention: retention})
	}
	host := rapid.IntRange(0, 2)
	other := func(t *rapid.T, than int) int {
		return (than + rapid.IntRange(1, 2).Draw(t, "other")) % 3
	}
	pick := func(t *rapid.T) int { return rapid.IntRange(0, len(l.claims)-1).Draw(t, "claim") }
	t.Repeat(map[string]func(*rapid.T){
		"claim": func(t *rapid.T) { l.claim(numbered(rapid.IntRange(0, 1).Draw(t, "id"))) },
		"send": func(t *rapid.T) {
			if len(l.claims) > 0 {
				c := &l.claims[pick(t)]
				l.send(t, c, other(t, c.host))
			}
		},
		"finish": func(t *rapid.T) {
			if len(l.claims) > 0 {
				i := pick(t)
				l.finish(l.claims[i], rapid.SampledFrom([]State{StateReleased, StateUnknown, StateDone}).Draw(t, "state"))
				l.claims = append(l.claims[:i], l.claims[i+1:]...)
			}
		},
		"take over": func(t *rapid.T) {
			h := host.Draw(t, "host")
			l.takeOver(h, other(t, h))
		},
		"late copy": func(t *rapid.T) {
			if len(l.late) > 0 {
				i := rapid.IntRange(0, len(l.late)-1).Draw(t, "copy")
				l.memories[host.Draw(t, "host")].Merge(start, l.late[i:i+1])
			}
		},
	})
}
