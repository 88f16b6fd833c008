package poison

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/poplarcroft/poplarcroft/internal/outcome"
)

var (
	start   = time.Unix(1000, 0)
	bounds  = Bounds{CrashLimit: 2, Retention: 10 * time.Minute}
	suspect = Fingerprint{1}
)

func at(d time.Duration) time.Time { return start.Add(d) }

func incarnation(n int) Server {
	return Server{Addr: fmt.Sprintf("10.0.0.%d:80", n%5), Incarnation: fmt.Sprint(n)}
}

func TestFingerprints(t *testing.T) {
	named := Request{Service: "revize", Key: "k", IdempotencyKey: "i", Method: "POST", Path: "/sign", Body: []byte("a")}
	renamed, changed, other := named, named, named
	renamed.IdempotencyKey = "j"
	changed.Body = []byte("b")
	other.Key = "l"
	assert.Equal(t, FingerprintOf(named), FingerprintOf(changed), "the idempotency key decides")
	assert.Assert(t, FingerprintOf(named) != FingerprintOf(renamed))
	assert.Assert(t, FingerprintOf(named) != FingerprintOf(other))
	named.IdempotencyKey, changed.IdempotencyKey = "", ""
	assert.Assert(t, FingerprintOf(named) != FingerprintOf(changed), "without an idempotency key the contents decide")
	text, err := json.Marshal(suspect)
	assert.NilError(t, err)
	var back Fingerprint
	assert.NilError(t, json.Unmarshal(text, &back))
	assert.Equal(t, back, suspect)
	assert.Assert(t, json.Unmarshal([]byte(`"01"`), &back) != nil)
}

func TestSuspicion(t *testing.T) {
	concurrent := func(n int) Record { return Record{Fingerprint: suspect, Death: incarnation(n)} }
	alone := func(n int) Record { return Record{Fingerprint: suspect, Death: incarnation(n), Alone: true} }
	aged := func(n int, age time.Duration) Record {
		return Record{Fingerprint: suspect, Death: incarnation(n), Alone: true, Age: age}
	}
	for name, c := range map[string]struct {
		records []Record
		clear   bool
		want    Suspicion
	}{
		"nothing":                             {nil, false, Clean},
		"one concurrent":                      {[]Record{concurrent(1)}, false, Suspect},
		"one alone":                           {[]Record{alone(1)}, false, Suspect},
		"two concurrent":                      {[]Record{concurrent(1), concurrent(2)}, false, Suspect},
		"one concurrent, one alone":           {[]Record{concurrent(1), alone(2)}, false, Blocked},
		"three concurrent":                    {[]Record{concurrent(1), concurrent(2), concurrent(3)}, false, Blocked},
		"the same crash recorded three times": {[]Record{alone(1), alone(1), concurrent(1)}, false, Suspect},
		"finished since":                      {[]Record{concurrent(1), alone(2)}, true, Clean},
		"too old":                             {[]Record{aged(1, 10*time.Minute), aged(2, 9*time.Minute)}, false, Clean},
		"expired while stored":                {[]Record{aged(1, 9*time.Minute+30*time.Second), alone(2)}, false, Suspect},
		"cleared by another host":             {[]Record{concurrent(1), {Fingerprint: suspect, Death: incarnation(1), Cleared: true}}, false, Clean},
		"cleared before it was known":         {[]Record{{Fingerprint: suspect, Death: incarnation(1), Cleared: true}, concurrent(1)}, false, Clean},
	} {
		t.Run(name, func(t *testing.T) {
			store := NewEvidenceStore(bounds)
			store.Import(start, c.records, OtherHost)
			if c.clear {
				store.Clear(start, suspect)
			}
			assert.Equal(t, store.Check(at(time.Minute), suspect).String(), c.want.String())
		})
	}
}

func TestMemoryIsBounded(t *testing.T) {
	store := NewEvidenceStore(Bounds{CrashLimit: 1, Retention: time.Hour, Requests: 100})
	store.Add(start, suspect, incarnation(0), true, Discovery)
	for n := range 1000 {
		f := Fingerprint{2, byte(n), byte(n >> 8)}
		store.Add(at(time.Duration(n)*time.Second), f, incarnation(n), false, Discovery)
		assert.Assert(t, store.Len() <= 100)
	}
	for n := range 100 {
		store.Add(start, suspect, incarnation(n), false, Discovery)
	}
	records, _ := store.Export(start, 0)
	assert.Assert(t, len(records) <= 100+maxCrashes)
	assert.Equal(t, store.Check(at(1000*time.Second), suspect), Blocked, "the blocked request is evicted last")
	store.Expire(at(24 * time.Hour))
	assert.Equal(t, store.Len(), 0)
}

func TestHostsAgreeAfterExchangingRecords(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hosts := [3]*EvidenceStore{NewEvidenceStore(bounds), NewEvidenceStore(bounds), NewEvidenceStore(bounds)}
		var exported [3][3]uint64
		exchange := func(from, to int) {
			records, next := hosts[from].Export(start, exported[from][to])
			hosts[to].Import(start, records, OtherHost)
			exported[from][to] = next
		}
		host := rapid.IntRange(0, 2)
		t.Repeat(map[string]func(*rapid.T){
			"death": func(t *rapid.T) {
				hosts[host.Draw(t, "host")].Add(start, suspect, incarnation(rapid.IntRange(0, 3).Draw(t, "server")), rapid.Bool().Draw(t, "alone"), Discovery)
			},
			"clear":    func(t *rapid.T) { hosts[host.Draw(t, "host")].Clear(start, suspect) },
			"exchange": func(t *rapid.T) { exchange(host.Draw(t, "from"), host.Draw(t, "to")) },
		})
		for range 2 {
			for from := range hosts {
				for to := range hosts {
					exchange(from, to)
				}
			}
		}
		assert.Equal(t, hosts[0].Check(start, suspect), hosts[1].Check(start, suspect))
		assert.Equal(t, hosts[0].Check(start, suspect), hosts[2].Check(start, suspect))
	})
}

func TestBrokenConnectionIsSuspectUntilTheServerAnswers(t *testing.T) {
	server, other := incarnation(1), incarnation(2)
	for name, c := range map[string]struct {
		result Result
		then   func(*Tracker)
		alone  bool
	}{
		"finished":                          {Finished, func(*Tracker) {}, false},
		"refused":                           {Rejected, func(*Tracker) {}, false},
		"broken":                            {Broken, func(*Tracker) {}, true},
		"broken, server queried before":     {Broken, func(t *Tracker) { t.ServerAlive(at(-1), server) }, true},
		"broken, server alive after":        {Broken, func(t *Tracker) { t.ServerAlive(at(1), server) }, false},
		"timed out":                         {TimedOut, func(*Tracker) {}, false},
		"timed out, then alive and crashed": {TimedOut, func(t *Tracker) { t.ServerAlive(at(1), server); t.ServerCrashed(at(2), server, Discovery) }, true},
		"finished, then crashed":            {Finished, func(t *Tracker) { t.ServerCrashed(at(2), server, Discovery) }, false},
		"broken, crashed much later":        {Broken, func(t *Tracker) { t.ServerCrashed(at(unansweredWindow), server, Discovery) }, false},
	} {
		t.Run(name, func(t *testing.T) {
			tracker := NewTracker(NewEvidenceStore(bounds))
			number, decision := tracker.Begin(start, server, suspect)
			assert.Assert(t, decision.Allowed && !decision.Alone)
			tracker.Sent(server, number, false)
			tracker.End(start, server, number, c.result)
			c.then(tracker)
			_, again := tracker.Begin(at(time.Second), other, suspect)
			assert.Equal(t, again.Alone, c.alone)
		})
	}
}

func TestQueuedRequestsAreNotInFlight(t *testing.T) {
	store := NewEvidenceStore(bounds)
	tracker := NewTracker(store)
	tracker.Begin(start, incarnation(1), suspect)
	tracker.ServerCrashed(start, incarnation(1), Discovery)
	assert.Equal(t, store.Check(start, suspect), Clean)
}

func TestSharedServerDoesNotCountAsAlone(t *testing.T) {
	for sharedServer, want := range map[bool]Suspicion{false: Blocked, true: Suspect} {
		store := NewEvidenceStore(bounds)
		store.Add(start, suspect, incarnation(1), false, Discovery)
		tracker := NewTracker(store)
		number, _ := tracker.Begin(start, incarnation(2), suspect)
		tracker.Sent(incarnation(2), number, sharedServer)
		tracker.ServerCrashed(start, incarnation(2), Discovery)
		assert.Equal(t, store.Check(start, suspect), want)
	}
}

func TestTrialsAreBounded(t *testing.T) {
	tracker := NewTracker(NewEvidenceStore(bounds))
	for n := range maxTrials + 1 {
		tracker.store.Add(start, Fingerprint{byte(n)}, incarnation(1), false, Discovery)
	}
	for n := range maxTrials {
		_, decision := tracker.Begin(start, incarnation(2), Fingerprint{byte(n)})
		assert.Assert(t, decision.Allowed && decision.Alone)
	}
	_, decision := tracker.Begin(start, incarnation(2), Fingerprint{maxTrials})
	assert.Equal(t, decision.Refusal.Reason, outcome.ReasonTooManySuspects)
	assert.Assert(t, decision.Refusal.RetryAfter > 0)
}

func TestGuardMakesRepeatsWaitForTheTrial(t *testing.T) {
	for name, c := range map[string]struct {
		result  Result
		crashed bool
		reason  outcome.Reason
	}{
		"harmless": {Finished, false, outcome.ReasonNone},
		"poison":   {Broken, true, outcome.ReasonPoison},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				guard := NewGuard(bounds)
				guard.Import([]Record{{Fingerprint: suspect, Death: incarnation(1)}}, OtherHost)
				trial, _, ok := guard.Begin(t.Context(), incarnation(2), suspect)
				assert.Assert(t, ok && trial.Alone)
				trial.Sent()
				go func() {
					time.Sleep(time.Second)
					if c.crashed {
						guard.ServerCrashed(incarnation(2), Discovery)
					}
					trial.End(c.result)
				}()
				short, cancel := context.WithTimeout(t.Context(), time.Second/2)
				defer cancel()
				_, refusal, _ := guard.Begin(short, incarnation(3), suspect)
				assert.Equal(t, refusal.Reason, outcome.ReasonTooManySuspects)
				again, refusal, ok := guard.Begin(t.Context(), incarnation(3), suspect)
				assert.Assert(t, !again.Alone, "the trial has decided")
				assert.Equal(t, refusal.Reason, c.reason)
				assert.Equal(t, ok, c.reason == outcome.ReasonNone)
				assert.Equal(t, refusal.RetryAfter, time.Duration(0), "the refusal is final")
			})
		})
	}
}

// TestRequestsSentAfterACrashDoNotCountAsConcurrent covers requests that are sent to a
// crashed server before the crash is noticed. They must not make the suspect, whose
// connection broke before, count as run beside others.
func TestRequestsSentAfterACrashDoNotCountAsConcurrent(t *testing.T) {
	store := NewEvidenceStore(bounds)
	store.Import(start, []Record{{Fingerprint: suspect, Death: incarnation(1)}}, OtherHost)
	tracker := NewTracker(store)
	number, allowed := tracker.Begin(start, incarnation(2), suspect)
	assert.Assert(t, allowed.Alone)
	tracker.Sent(incarnation(2), number, false)
	tracker.End(start, incarnation(2), number, Broken)
	later, _ := tracker.Begin(start, incarnation(2), Fingerprint{2})
	tracker.Sent(incarnation(2), later, false)
	tracker.ServerCrashed(start, incarnation(2), Discovery)
	assert.Equal(t, store.Check(start, suspect), Blocked)
}

// TestRequestsInFlightAtACrashCountOnce covers requests on an unresponsive server: they
// end only after the server counts as crashed, and must not also be kept as unanswered
// requests, for which it is undecided whether the server has crashed.
func TestRequestsInFlightAtACrashCountOnce(t *testing.T) {
	for _, result := range []Result{Broken, TimedOut} {
		tracker := NewTracker(NewEvidenceStore(bounds))
		number, _ := tracker.Begin(start, incarnation(1), suspect)
		tracker.Sent(incarnation(1), number, false)
		tracker.ServerCrashed(start, incarnation(1), Discovery)
		tracker.End(start, incarnation(1), number, result)
		_, again := tracker.Begin(start, incarnation(2), suspect)
		assert.Assert(t, again.Allowed && again.Alone, "%+v", again)
	}
}

// TestServersFailureClearsNothing checks that a failure that a server answers, which it may do without
// executing the request, does not clear the request.
func TestServersFailureClearsNothing(t *testing.T) {
	store := NewEvidenceStore(Bounds{CrashLimit: 3, SharedCrashLimit: 3, Retention: time.Minute})
	tracker := NewTracker(store)
	f := Fingerprint{1}
	for n := range 3 {
		server := incarnation(n)
		for _, result := range []Result{Failed, Broken} {
			number, decision := tracker.Begin(start, server, f)
			assert.Assert(t, decision.Allowed)
			tracker.Sent(server, number, true)
			tracker.End(start, server, number, result)
		}
		tracker.ServerCrashed(start, server, Discovery)
	}
	assert.Equal(t, store.Check(start, f), Blocked)
}

// TestSharedServersBlockAtTheirLimit is a regression test (BUDGET on Moravia): where hosts share the
// servers, no run counts as alone, and a request crashed one server more than the configured number.
func TestSharedServersBlockAtTheirLimit(t *testing.T) {
	store := NewEvidenceStore(Bounds{CrashLimit: 3, SharedCrashLimit: 3, Retention: time.Minute})
	f := Fingerprint{1}
	for n := range 3 {
		assert.Equal(t, store.Check(start, f) == Blocked, false)
		store.Add(start, f, incarnation(n), false, Discovery)
	}
	assert.Equal(t, store.Check(start, f), Blocked)
}

// TestOnlySeriousEvidenceIsSentOn checks that hosts send on and keep only evidence against requests
// that have crashed several servers; with one crash, the host that recorded it sends it.
func TestOnlySeriousEvidenceIsSentOn(t *testing.T) {
	bounds := Bounds{CrashLimit: 3, SharedCrashLimit: 3, Retention: time.Minute}
	first, second := NewEvidenceStore(bounds), NewEvidenceStore(bounds)
	f := Fingerprint{1}
	first.Add(start, f, incarnation(1), false, Discovery)
	records, _ := first.Export(start, 0)
	second.Import(start, records, OtherHost)
	records, _ = second.Export(start, 0)
	assert.Equal(t, len(records), 0)
	second.Add(start, f, incarnation(2), false, Discovery)
	records, next := second.Export(start, 0)
	assert.Equal(t, len(records), 2)
	kept, _ := second.ExportDurable(start, 0, false)
	assert.Equal(t, len(kept[f]), 2)

	// What comes from others is kept again only on demand.
	third := NewEvidenceStore(bounds)
	third.Import(start, records, OtherHost)
	kept, _ = third.ExportDurable(start, 0, false)
	assert.Equal(t, len(kept), 0)
	kept, _ = third.ExportDurable(start, 0, true)
	assert.Equal(t, len(kept[f]), 2)
	kept, _ = second.ExportDurable(start, next, true)
	assert.Equal(t, len(kept), 0)
}

// TestEveryReceiverGetsAllEvidence checks that evidence is due to a receiver until it has taken it, also
// to one that is listed later.
func TestEveryReceiverGetsAllEvidence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		guard := NewGuard(Bounds{CrashLimit: 3, Retention: time.Minute})
		deliveries := NewDeliveries(guard, time.Second)
		due := func(id string) int {
			records, ok := deliveries.Begin(id)
			assert.Equal(t, ok, len(records) > 0)
			return len(records)
		}
		assert.Equal(t, due("b"), 0)
		crashHere(t, guard, Fingerprint{1}, incarnation(1))
		assert.Equal(t, due("b"), 1)
		assert.Equal(t, due("b"), 0, "while a message is on its way")
		assert.Assert(t, deliveries.End("b", false), "first failure")
		assert.Equal(t, due("b"), 0, "before the retry interval has passed")
		time.Sleep(time.Second)
		crashHere(t, guard, Fingerprint{2}, incarnation(2))
		assert.Equal(t, due("b"), 2)
		assert.Assert(t, deliveries.End("b", true), "first success")
		assert.Equal(t, due("b"), 0)
		assert.Equal(t, due("c"), 2)
		deliveries.Retain(map[string]bool{"b": true})
		assert.Assert(t, !deliveries.End("c", true))
		assert.Equal(t, due("c"), 2, "a receiver that was not listed for a while")
	})
}

// crashHere makes a request crash a server as this host sees it.
func crashHere(t *testing.T, guard *Guard, f Fingerprint, server Server) {
	t.Helper()
	attempt, _, ok := guard.Begin(t.Context(), server, f)
	assert.Assert(t, ok)
	attempt.SentShared()
	attempt.End(Broken)
	guard.ServerCrashed(server, Discovery)
}

// TestChangesOfEvidenceAreReported checks that each change of the number of crashes that count is
// reported once, with its source.
func TestChangesOfEvidenceAreReported(t *testing.T) {
	guard := NewGuard(bounds)
	var changes []Change
	guard.Observe(func(c Change) { changes = append(changes, c) })
	first, second := incarnation(1), incarnation(2)
	records := []Record{{Fingerprint: suspect, Death: first}}
	guard.Import(records, OtherHost)
	guard.Import(records, SharedState)
	attempt, _, ok := guard.Begin(t.Context(), second, suspect)
	assert.Assert(t, ok)
	attempt.SentShared()
	guard.ServerCrashed(second, ConnectionRefused)
	attempt.End(Finished)
	assert.DeepEqual(t, changes, []Change{
		{Fingerprint: suspect, Server: first, Source: OtherHost, Before: 0, After: 1},
		{Fingerprint: suspect, Server: second, Source: ConnectionRefused, Before: 1, After: 2},
		{Fingerprint: suspect, Before: 2, After: 0},
	})
}
