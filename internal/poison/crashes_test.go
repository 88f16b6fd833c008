package poison

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestSecondCrashOfAnIncarnationCounts is a regression test (BUDGET on Riga): a server that was back at its
// address before the service discovery told of it crashed again under the same identity, and both
// crashes counted as one.
func TestSecondCrashOfAnIncarnationCounts(t *testing.T) {
	store := NewEvidenceStore(Bounds{CrashLimit: 3, SharedCrashLimit: 3, Retention: time.Minute})
	tracker := NewTracker(store)
	server := incarnation(1)
	for n := range 3 {
		now := at(time.Duration(n) * 3 * time.Second)
		number, decision := tracker.Begin(now, server, suspect)
		assert.Assert(t, decision.Allowed, "after %d crashes", n)
		tracker.Sent(server, number, true)
		tracker.End(now, server, number, Broken)
		tracker.ServerCrashed(now, server, ConnectionRefused)
	}
	assert.Equal(t, store.Check(at(9*time.Second), suspect), Blocked)
}

// TestOneCrashIsCountedOnce checks that a crash that a host learns of several times, for one request
// or for several at the same time, counts once.
func TestOneCrashIsCountedOnce(t *testing.T) {
	store := NewEvidenceStore(Bounds{CrashLimit: 3, SharedCrashLimit: 3, Retention: time.Minute})
	tracker := NewTracker(store)
	server := incarnation(1)
	var numbers []uint64
	for range 3 {
		number, _ := tracker.Begin(start, server, suspect)
		numbers = append(numbers, number)
		tracker.Sent(server, number, true)
	}
	for _, number := range numbers {
		tracker.End(start, server, number, Broken)
		tracker.ServerCrashed(start, server, ConnectionRefused)
	}
	tracker.ServerCrashed(start, server, Discovery)
	crashes, _ := store.countCrashes(start, suspect)
	assert.Equal(t, crashes, 1)
}

// TestCrashThatAProbeTookForLifeCounts is a regression test (BUDGET on Riga): a new process that accepted
// the probe's connection was taken for the one whose connection broke, and the crash was forgotten
// before the service discovery told of it.
func TestCrashThatAProbeTookForLifeCounts(t *testing.T) {
	store := NewEvidenceStore(bounds)
	tracker := NewTracker(store)
	server := incarnation(1)
	number, _ := tracker.Begin(start, server, suspect)
	tracker.Sent(server, number, true)
	tracker.End(start, server, number, Broken)
	tracker.EndDoubt(at(time.Second), server)
	assert.Equal(t, tracker.countUndecided(at(time.Second), suspect), 0)
	tracker.ServerCrashed(at(3*time.Second), server, Discovery)
	assert.Equal(t, store.Check(at(3*time.Second), suspect), Suspect)
}

// TestClearedCrashesLeaveRoomForOthers is a regression test (BUDGET on Riga): crashes that a success had
// cleared took all places of a request, and further ones were not stored.
func TestClearedCrashesLeaveRoomForOthers(t *testing.T) {
	store := NewEvidenceStore(bounds)
	for n := range maxCrashes {
		store.Add(start, suspect, incarnation(n), false, Discovery)
		store.Clear(start, suspect)
	}
	later := at(successWindow)
	for n := range 3 {
		store.Add(later, suspect, incarnation(100+n), false, Discovery)
	}
	assert.Equal(t, store.Check(later, suspect), Blocked)
}

// TestRequestOfManyCallersOutlivesARack is a regression test: a request that many callers send was in flight on
// three servers that lost power at once, and was blocked for all callers, though it had succeeded all the time.
func TestRequestOfManyCallersOutlivesARack(t *testing.T) {
	store, other := NewEvidenceStore(bounds), NewEvidenceStore(bounds)
	tracker := NewTracker(store)
	other.Clear(start, suspect)
	now := at(time.Second)
	for n := range 4 {
		number, decision := tracker.Begin(now, incarnation(n), suspect)
		assert.Assert(t, decision.Allowed)
		tracker.Sent(incarnation(n), number, true)
	}
	number, _ := tracker.Begin(now, incarnation(9), suspect)
	tracker.Sent(incarnation(9), number, true)
	tracker.End(now, incarnation(9), number, Finished)
	for n := range 3 {
		tracker.ServerCrashed(now, incarnation(n), ConnectionRefused)
	}
	assert.Equal(t, store.Check(now, suspect), Clean)
	elsewhere := []Record{{Fingerprint: suspect, Death: incarnation(5)}, {Fingerprint: suspect, Death: incarnation(6)}, {Fingerprint: suspect, Death: incarnation(7)}}
	other.Import(now, elsewhere, OtherHost)
	assert.Equal(t, other.Check(now, suspect), Clean, "another host has seen the success")
	records, _ := other.Export(now, 0)
	assert.Equal(t, len(records), len(elsewhere), "that host tells all others")
	tracker.ServerCrashed(at(successWindow+2*time.Second), incarnation(3), ConnectionRefused)
	assert.Equal(t, store.Check(at(successWindow+2*time.Second), suspect), Suspect, "the success is too long ago")
}

// TestCrashInALongOutageCounts is a regression test (BUDGET on Riga): a server that fell silent under a
// request while the service discovery was away for long left no evidence, because the request had been
// forgotten by the time at which the crash was learned of.
func TestCrashInALongOutageCounts(t *testing.T) {
	store := NewEvidenceStore(bounds)
	tracker := NewTracker(store)
	end := func(now time.Time, f Fingerprint) {
		number, _ := tracker.Begin(now, incarnation(1), f)
		tracker.Sent(incarnation(1), number, true)
		tracker.End(now, incarnation(1), number, TimedOut)
	}
	before, during, old := Fingerprint{1}, Fingerprint{2}, Fingerprint{3}
	end(start, old)
	end(at(6*time.Second), before)
	tracker.SetBlind(at(8*time.Second), true)
	end(at(20*time.Second), during)
	tracker.Expire(at(30 * time.Second))
	tracker.SetBlind(at(40*time.Second), false)
	tracker.Expire(at(43 * time.Second))
	tracker.ServerCrashed(at(43*time.Second), incarnation(1), Discovery)
	assert.Equal(t, store.Check(at(43*time.Second), before), Suspect)
	assert.Equal(t, store.Check(at(43*time.Second), during), Suspect)
	assert.Equal(t, store.Check(at(43*time.Second), old), Clean, "ended 11 s before, without the outage")
}

// TestLateNewsOfACrashDoesNotCountTheNextProcess checks that a request that is in flight at a process that has
// replaced a crashed one does not count as run under a second crash when the service discovery tells of the first.
func TestLateNewsOfACrashDoesNotCountTheNextProcess(t *testing.T) {
	store := NewEvidenceStore(Bounds{CrashLimit: 3, SharedCrashLimit: 3, Retention: time.Minute})
	tracker := NewTracker(store)
	server := incarnation(1)
	number, _ := tracker.Begin(start, server, suspect)
	tracker.Sent(server, number, true)
	tracker.End(start, server, number, Broken)
	tracker.ServerCrashed(start, server, ConnectionRefused)
	number, _ = tracker.Begin(at(3*time.Second), server, suspect)
	tracker.Sent(server, number, true)
	tracker.ServerCrashed(at(4*time.Second), server, Discovery)
	crashes, _ := store.countCrashes(at(4*time.Second), suspect)
	assert.Equal(t, crashes, 1)
	tracker.End(at(5*time.Second), server, number, Broken)
	tracker.ServerCrashed(at(5*time.Second), server, ConnectionRefused)
	crashes, _ = store.countCrashes(at(5*time.Second), suspect)
	assert.Equal(t, crashes, 2)
}

// TestEvidenceOfOthersIsNotAnnounced is a regression test: evidence that came from other hosts made each host look
// through all evidence for each other one, with each message.
func TestEvidenceOfOthersIsNotAnnounced(t *testing.T) {
	guard := NewGuard(bounds)
	guard.Import([]Record{{Fingerprint: suspect, Death: incarnation(1)}}, OtherHost)
	assert.Equal(t, len(guard.Changed()), 0)
	guard.ServerCrashed(incarnation(2), Discovery)
	assert.Equal(t, len(guard.Changed()), 1)
}

// TestEvidenceOfOtherHostsCostsNoSearch guards against a search of all evidence for each receiver when another host's
// evidence arrives, which is a product of hosts, hosts and requests when a rack is lost. Replaced changes are not kept.
func TestEvidenceOfOtherHostsCostsNoSearch(t *testing.T) {
	store := NewEvidenceStore(bounds)
	for i := range 3000 {
		f := Fingerprint{byte(i), byte(i >> 8)}
		store.Import(start, []Record{{Fingerprint: f, Death: incarnation(i)}}, OtherHost)
	}
	taken := store.sequence
	search := testing.Benchmark(func(b *testing.B) {
		for b.Loop() {
			if records, next := store.Export(start, 0); len(records) != 0 || next != taken {
				b.Fatal("evidence of another host is sent on")
			}
		}
	})
	assert.Assert(t, search.NsPerOp() < 5_000, "%d ns for a receiver among 3000 requests", search.NsPerOp())
	for i := range 20_000 {
		store.Import(start, []Record{{Fingerprint: Fingerprint{1}, Death: incarnation(i % 4), Alone: i%2 == 0}}, OtherHost)
		store.Clear(start, Fingerprint{1})
		delete(store.requests, Fingerprint{1})
	}
	assert.Assert(t, len(store.changes) <= 2*3000+minCompactAt, "%d changes are kept", len(store.changes))
	records, _ := store.Export(start, taken)
	assert.Equal(t, len(records), 0)
	store.Add(start, Fingerprint{9, 9, 9}, incarnation(7), true, ConnectionRefused)
	records, next := store.Export(start, taken)
	assert.Equal(t, len(records), 1)
	records, _ = store.Export(start, next)
	assert.Equal(t, len(records), 0)
}

// evidenceFleet is a number of hosts that send each other evidence, without the network.
type evidenceFleet struct {
	guards     []*Guard
	deliveries []*Deliveries
	messages   int
}

// newEvidenceFleet returns a fleet of which the given hosts send evidence of others on; nil stands for all.
func newEvidenceFleet(hosts int, senders []int) *evidenceFleet {
	f := &evidenceFleet{}
	for i := range hosts {
		guard := NewGuard(Bounds{CrashLimit: 3, SharedCrashLimit: 3, Retention: time.Minute})
		if senders != nil {
			guard.SendOnIf(func(Fingerprint) bool { return slices.Contains(senders, i) })
		}
		f.guards = append(f.guards, guard)
		f.deliveries = append(f.deliveries, NewDeliveries(guard, time.Second))
	}
	return f
}

// deliver delivers what is due, but for the messages of hosts that have ended, until nothing is.
func (f *evidenceFleet) deliver(ended map[int]bool) {
	for sent := true; sent; {
		sent = false
		for from, deliveries := range f.deliveries {
			for to, guard := range f.guards {
				if from == to || ended[from] || ended[to] {
					continue
				}
				if records, due := deliveries.Begin(fmt.Sprint(to)); due {
					guard.Import(records, OtherHost)
					deliveries.End(fmt.Sprint(to), true)
					f.messages++
					sent = true
				}
			}
		}
	}
}

// crash makes a request crash servers as one host sees it.
func (f *evidenceFleet) crash(host int, servers ...int) {
	for _, server := range servers {
		f.guards[host].mu.Lock()
		f.guards[host].store.Add(time.Now(), suspect, incarnation(server), false, Discovery)
		f.guards[host].mu.Unlock()
	}
}

// TestEvidenceIsNotSentOnByAllHosts guards against messages in proportion to the square of the hosts for each request that has
// crashed two servers. Three hosts that send it on suffice if the one that has recorded it ends before all have it.
func TestEvidenceIsNotSentOnByAllHosts(t *testing.T) {
	const hosts = 100
	senders := []int{11, 12, 13}
	f := newEvidenceFleet(hosts, senders)
	f.crash(0, 1, 2)
	f.deliver(nil)
	assert.Assert(t, f.messages <= (1+len(senders))*hosts, "%d messages", f.messages)
	for _, guard := range f.guards {
		assert.Equal(t, guard.Check(suspect), Suspect)
	}

	f = newEvidenceFleet(hosts, senders)
	f.crash(0, 1, 2, 3)
	records, _ := f.guards[0].Export(0)
	f.guards[senders[1]].Import(records, OtherHost)
	f.deliver(map[int]bool{0: true})
	for host, guard := range f.guards[1:] {
		assert.Equal(t, guard.Check(suspect), Blocked, "host %d", host+1)
	}

	f = newEvidenceFleet(hosts, nil)
	f.crash(0, 1, 2)
	f.deliver(nil)
	assert.Assert(t, f.messages > hosts*(hosts-1)/2, "without a choice each host sends it on: %d messages", f.messages)
}
