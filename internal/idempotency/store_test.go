package idempotency

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

const retention = time.Minute

var (
	start     = time.Unix(1000, 0)
	requestID = ID{Service: "revize", Key: "k1", Request: "r1"}
	digest    = DigestOf("POST", "/sign", []byte("body"))
	answer    = Answer{Status: 201, Headers: []Header{{"Etag", "x"}}, Body: []byte("certificate")}
)

func at(d time.Duration) time.Time { return start.Add(d) }

func numberedID(n int) ID { return ID{Service: "revize", Key: "k", Request: fmt.Sprint(n)} }

func TestDecisionsOnARepeatedRequest(t *testing.T) {
	for name, c := range map[string]struct {
		finish *Result
		after  time.Duration
		digest Digest
		want   Decision
	}{
		"running":            {nil, time.Second, digest, Decision{Kind: KindRunning}},
		"running long":       {nil, time.Hour, digest, Decision{Kind: KindRunning}},
		"done":               {&Result{StateDone, answer}, time.Second, digest, Decision{Kind: KindDone, Answer: answer}},
		"unknown":            {&Result{State: StateUnknown}, time.Second, digest, Decision{Kind: KindUnknown}},
		"not run":            {&Result{State: StateReleased}, time.Second, digest, Decision{Kind: KindNew, Attempt: 1}},
		"other contents":     {&Result{StateDone, answer}, time.Second, Digest{1}, Decision{Kind: KindMismatch}},
		"after retention":    {&Result{StateDone, answer}, retention, digest, Decision{Kind: KindNew, Attempt: 1}},
		"at retention's end": {&Result{State: StateUnknown}, retention - 1, digest, Decision{Kind: KindUnknown}},
	} {
		t.Run(name, func(t *testing.T) {
			store := NewStore("a", Bounds{Retention: retention})
			assert.DeepEqual(t, store.Claim(start, requestID, digest), Decision{Kind: KindNew, Attempt: 1})
			if c.finish != nil {
				assert.Assert(t, store.Finish(start, requestID, 1, *c.finish))
			}
			assert.DeepEqual(t, store.Claim(at(c.after), requestID, c.digest), c.want)
		})
	}
}

func TestDigestSeparatesItsParts(t *testing.T) {
	assert.Assert(t, DigestOf("POST", "/ab", []byte("c")) != DigestOf("POST", "/a", []byte("bc")))
}

func TestFullStoreRejectsNewIDsAndKeepsOldOnes(t *testing.T) {
	store := NewStore("a", Bounds{Entries: 3, Retention: retention})
	for n := range 3 {
		store.Claim(start, numberedID(n), digest)
		store.Finish(at(time.Duration(n)*time.Second), numberedID(n), 1, Result{StateDone, answer})
	}
	rejected := store.Claim(at(45*time.Second), numberedID(9), digest)
	assert.DeepEqual(t, rejected, Decision{Kind: KindFull, RetryAfter: 15 * time.Second})
	assert.Equal(t, store.Claim(at(45*time.Second), numberedID(0), digest).Kind, KindDone)
	assert.Equal(t, store.Claim(at(60*time.Second), numberedID(9), digest).Kind, KindNew)
	assert.Equal(t, store.Merge(at(60*time.Second), []Entry{{ID: numberedID(8), Claims: []Claim{{Claimant: "b", Attempt: 1, State: StateRunning}}}}), 1)
}

func TestBytesAreBoundedByDroppingTheOldestBodies(t *testing.T) {
	bounds := Bounds{Bytes: 20 * (entryOverhead + 100), BodyBytes: 1000, Retention: retention}
	store := NewStore("a", bounds)
	large := Answer{Status: 200, Body: []byte(strings.Repeat("x", 1000))}
	for n := range 15 {
		assert.Equal(t, store.Claim(start, numberedID(n), digest).Kind, KindNew)
		store.Finish(start, numberedID(n), 1, Result{StateDone, large})
		assert.Assert(t, store.Bytes() <= bounds.Bytes)
	}
	first := store.Claim(start, numberedID(0), digest)
	assert.DeepEqual(t, first.Answer, Answer{Status: 200, Omitted: true})
	assert.DeepEqual(t, store.Claim(start, numberedID(14), digest).Answer, large)

	store.Claim(start, requestID, digest)
	store.Finish(start, requestID, 1, Result{StateDone, Answer{Status: 200, Body: make([]byte, 1001)}})
	assert.Equal(t, store.Claim(start, requestID, digest).Answer.Omitted, true)
}

func TestReplicatedClaims(t *testing.T) {
	for name, c := range map[string]struct {
		finish Result
		copied bool
		want   Kind
	}{
		"result not replicated":   {Result{StateDone, answer}, false, KindUnknown},
		"done":                    {Result{StateDone, answer}, true, KindDone},
		"unknown":                 {Result{State: StateUnknown}, true, KindUnknown},
		"not run":                 {Result{State: StateReleased}, true, KindNew},
		"not run, not replicated": {Result{State: StateReleased}, false, KindUnknown},
	} {
		t.Run(name, func(t *testing.T) {
			primary, other := NewStore("a", Bounds{Retention: retention}), NewStore("b", Bounds{Retention: retention})
			primary.Claim(start, requestID, digest)
			claim, _ := primary.LocalClaim(start, requestID, 1)
			assert.Assert(t, other.StoreReplica(start, claim))
			primary.Finish(start, requestID, 1, c.finish)
			if c.copied {
				assert.Equal(t, other.Merge(start, primary.Snapshot(start, nil)), 0)
			}
			other.Merge(start, []Entry{claim})
			assert.Equal(t, other.Claim(start, requestID, digest).Kind, c.want)
		})
	}
}

func TestReplicaIsNotStoredForAClaimThatOthersMayRun(t *testing.T) {
	newEntry := func(attempt int, claimant string, state State) Entry {
		return Entry{ID: requestID, Digest: digest, Claims: []Claim{{claimant, attempt, state}}}
	}
	claim := newEntry(2, "a", StateRunning)
	for name, c := range map[string]struct {
		known Entry
		want  bool
	}{
		"released before":    {newEntry(1, "b", StateReleased), true},
		"released already":   {newEntry(2, "a", StateReleased), false},
		"replicated before":  {newEntry(2, "a", StateRunning), true},
		"claimed by another": {newEntry(2, "b", StateRunning), false},
		"claimed later":      {newEntry(3, "b", StateRunning), false},
		"answered before":    {newEntry(2, "a", StateDone), true},
	} {
		t.Run(name, func(t *testing.T) {
			store := NewStore("x", Bounds{Retention: retention})
			store.Merge(start, []Entry{c.known})
			assert.Equal(t, store.StoreReplica(start, claim), c.want)
		})
	}
}

func TestMergeOrderDoesNotMatter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		entries := rapid.SliceOf(rapid.Custom(func(t *rapid.T) Entry {
			claimant := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "claimant")
			return Entry{
				ID:     numberedID(rapid.IntRange(0, 3).Draw(t, "id")),
				Digest: DigestOf(claimant, "", nil),
				Claims: []Claim{{
					Claimant: claimant,
					Attempt:  rapid.IntRange(1, 3).Draw(t, "attempt"),
					State:    rapid.SampledFrom([]State{StateRunning, StateReleased, StateUnknown, StateDone}).Draw(t, "state"),
				}},
			}
		})).Draw(t, "entries")
		order := rapid.Permutation(append(entries, entries...)).Draw(t, "order")
		a, b := NewStore("a", Bounds{Retention: retention}), NewStore("b", Bounds{Retention: retention})
		a.Merge(start, entries)
		for _, entry := range order {
			b.Merge(start, []Entry{entry})
		}
		for n := range 4 {
			left, _ := a.Get(start, numberedID(n))
			right, _ := b.Get(start, numberedID(n))
			assert.DeepEqual(t, left, right)
		}
	})
}

func TestRepeatWaitsForTheFirstRun(t *testing.T) {
	for name, c := range map[string]struct {
		timeout time.Duration
		result  Result
		want    Kind
	}{
		"done":     {time.Minute, Result{StateDone, answer}, KindDone},
		"not run":  {time.Minute, Result{State: StateReleased}, KindNew},
		"too late": {time.Second / 2, Result{StateDone, answer}, KindRunning},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				table := NewTable("a", Bounds{Retention: time.Hour})
				first := table.Claim(t.Context(), requestID, digest)
				go func() {
					time.Sleep(time.Second)
					table.Finish(requestID, first.Attempt, c.result)
				}()
				ctx, cancel := context.WithTimeout(t.Context(), c.timeout)
				defer cancel()
				assert.Equal(t, table.Lookup(ctx, requestID, digest).Kind, c.want)
				assert.Equal(t, table.Claim(ctx, requestID, digest).Kind, c.want)
				time.Sleep(time.Second)
			})
		})
	}
}

// TestClaimOfAFormerTermHidesNoRun is a regression test: a host that was the primary before claimed an ID for
// the third time while another one, which knew only the release of the first claim, ran the request under its
// second. The higher number hid the claim under which it had run, and the request ran twice.
func TestClaimOfAFormerTermHidesNoRun(t *testing.T) {
	a, b, c := NewStore("a", Bounds{Retention: retention}), NewStore("b", Bounds{Retention: retention}), NewStore("c", Bounds{Retention: retention})
	release := func(attempt int) {
		assert.Assert(t, b.Finish(start, requestID, attempt, Result{State: StateReleased}))
	}
	claim := func(store *Store) Entry {
		decision := store.Claim(start, requestID, digest)
		assert.Equal(t, decision.Kind, KindNew)
		entry, own := store.LocalClaim(start, requestID, decision.Attempt)
		assert.Assert(t, own)
		return entry
	}
	takeOver := func(store *Store) { assert.Equal(t, store.Merge(start, c.Snapshot(start, nil)), 0) }

	assert.Assert(t, c.StoreReplica(start, claim(b)))
	release(1)
	released, _ := b.Get(start, requestID)
	a.Merge(start, []Entry{released})
	takeOver(b)
	claim(b)
	release(2)
	former := claim(b)
	takeOver(a)
	assert.Assert(t, c.StoreReplica(start, claim(a)), "the request runs under the claim of a")

	takeOver(b)
	_, own := b.LocalClaim(start, requestID, 3)
	assert.Assert(t, !own, "b has learned that the request may have run")
	assert.Assert(t, !c.StoreReplica(start, former), "c knows that the request may have run")
	assert.Equal(t, c.Lookup(start, requestID, digest).Kind, KindUnknown)
	assert.Equal(t, a.Finish(start, requestID, 2, Result{StateDone, answer}), true)
	done, _ := a.Get(start, requestID)
	b.Merge(start, []Entry{done})
	assert.Assert(t, b.Finish(start, requestID, 3, Result{State: StateReleased}))
	assert.DeepEqual(t, b.Lookup(start, requestID, digest), Decision{Kind: KindDone, Answer: answer})
}

// drawEntry draws an entry with claims of some hosts.
func drawEntry(t *rapid.T, label string) Entry {
	entry := Entry{ID: requestID, Digest: digest}
	for _, claimant := range []string{"a", "b", "c"} {
		if rapid.Bool().Draw(t, label+" "+claimant) {
			entry = entry.withClaim(Claim{
				Claimant: claimant,
				Attempt:  rapid.IntRange(1, 3).Draw(t, "attempt"),
				State:    rapid.SampledFrom([]State{StateRunning, StateReleased, StateUnknown, StateDone}).Draw(t, "state"),
			})
		}
	}
	return entry
}

// TestJoinKeepsWhatMayHaveRun checks that join is commutative, associative and idempotent, and that a claim
// under which the request may have run is replaced by claims of the same host only.
func TestJoinKeepsWhatMayHaveRun(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b, c := drawEntry(t, "first"), drawEntry(t, "second"), drawEntry(t, "third")
		assert.DeepEqual(t, a.join(b).Claims, b.join(a).Claims)
		assert.DeepEqual(t, a.join(b).join(c).Claims, a.join(b.join(c)).Claims)
		assert.Assert(t, a.join(a).sameClaims(a))
		assert.Assert(t, a.join(b).join(b).sameClaims(a.join(b)))
		joined := a.join(b)
		for _, claim := range append(append([]Claim{}, a.Claims...), b.Claims...) {
			kept, ok := joined.claimOf(claim.Claimant)
			assert.Assert(t, ok && (kept == claim || claim.before(kept)))
		}
	})
}
