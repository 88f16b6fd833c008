package lease

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/poplarcroft/poplarcroft/internal/record"
	"github.com/poplarcroft/poplarcroft/internal/settings"
)

const ms = time.Millisecond

// testSession is the session's ID in all tests of this package.
const testSession record.SessionID = 10

func testConfig() Config {
	values := settings.Defaults()
	return Config{
		LeadTTL:       values.LeadTTL,
		LeaseTTL:      values.LeaseTTL,
		DriftPermille: values.DriftPermille,
	}
}

// newSet returns a Lessor for each name; the session's open record names all of them.
func newSet(names ...string) map[string]*Lessor {
	set := make(map[string]*Lessor, len(names))
	for _, name := range names {
		set[name] = New(testConfig(), name, testSession, Version(testSession), opened(names...))
	}
	return set
}

// opened returns the set of lessors that the session's open record names.
func opened(names ...string) Lessors {
	return Lessors{Names: names, Since: Version(testSession), Sealed: true}
}

// replacing returns a set of lessors that replaces the one of the open record at version since.
func replacing(since Version, former []string, names ...string) Lessors {
	return Lessors{Names: names, Since: since, Former: former, FormerSince: Version(testSession)}
}

// requestConsent makes a lessor request the consent of others, without message delay.
// It returns their replies.
func requestConsent(t *testing.T, now time.Duration, requester *Lessor, others ...*Lessor) []LeadReply {
	t.Helper()
	request, ok := requester.RequestPrimary(now)
	assert.Assert(t, ok, "%s returned no request for consent", requester.self)
	var replies []LeadReply
	for _, giver := range others {
		reply := giver.HandleLead(now, request)
		requester.OnLeadReply(now, now, reply)
		replies = append(replies, reply)
	}
	return replies
}

// closeWith makes a lessor propose to close to others, without message delay.
func closeWith(t *testing.T, now time.Duration, closer *Lessor, proof Proof, others ...*Lessor) {
	t.Helper()
	request, ok := closer.StartClose(now, "test", proof)
	assert.Assert(t, ok, "%s returned no request to close", closer.self)
	for _, other := range others {
		closer.OnCloseReply(now, other.HandleClose(now, request))
	}
}

func TestQuorumOfEverySize(t *testing.T) {
	for n, want := range map[int]int{1: 1, 2: 2, 3: 2} {
		assert.Equal(t, Quorum(n), want, "%d lessors", n)
	}
}

func TestSingleLessorBecomesPrimary(t *testing.T) {
	a := newSet("a")["a"]
	assert.Assert(t, !a.IsPrimary(0), "primary without a request")
	requestConsent(t, 0, a)
	assert.Assert(t, a.IsPrimary(399*ms))
	assert.Assert(t, !a.IsPrimary(400*ms), "a single lessor's time as primary must expire, too")
}

func TestTwoLessorsNeedBothConsents(t *testing.T) {
	set := newSet("a", "b")
	requestConsent(t, 0, set["a"])
	assert.Assert(t, !set["a"].IsPrimary(0))
	requestConsent(t, 0, set["a"], set["b"])
	assert.Assert(t, set["a"].IsPrimary(0))
}

func TestConsentIsExclusiveUntilItExpiresWithDrift(t *testing.T) {
	set := newSet("a", "b", "c")
	requestConsent(t, 0, set["a"], set["b"])
	assert.Assert(t, set["a"].IsPrimary(0))
	assert.Equal(t, set["b"].Holder(0), "a")

	replies := requestConsent(t, 100*ms, set["c"], set["b"], set["a"])
	assert.Assert(t, !replies[0].Granted)
	assert.Equal(t, replies[0].RetryIn, 304*ms)
	assert.Equal(t, replies[0].Holder, "a")
	assert.Assert(t, !replies[1].Granted, "a primary must not consent to another lessor")
	assert.Assert(t, !set["c"].IsPrimary(100*ms))

	assert.Assert(t, !set["a"].IsPrimary(400*ms))
	replies = requestConsent(t, 403*ms, set["c"], set["b"])
	assert.Assert(t, !replies[0].Granted, "consent must outlast LeadTTL by the drift")
	replies = requestConsent(t, 404*ms, set["c"], set["b"])
	assert.Assert(t, replies[0].Granted)
	assert.Assert(t, set["c"].IsPrimary(404*ms))
}

func TestConsentCountsFromBeforeTheRequest(t *testing.T) {
	set := newSet("a", "b", "c")
	request, _ := set["a"].RequestPrimary(0)
	reply := set["b"].HandleLead(300*ms, request)
	set["a"].OnLeadReply(390*ms, 0, reply)
	assert.Assert(t, set["a"].IsPrimary(399*ms))
	assert.Assert(t, !set["a"].IsPrimary(400*ms))
	set["a"].OnLeadReply(500*ms, 0, reply)
	assert.Assert(t, !set["a"].IsPrimary(500*ms), "a late reply must not make the lessor primary")
}

func TestLessorThatConsentedDoesNotRequest(t *testing.T) {
	set := newSet("a", "b", "c")
	requestConsent(t, 0, set["a"], set["b"])
	_, ok := set["b"].RequestPrimary(100 * ms)
	assert.Assert(t, !ok)
	_, ok = set["b"].RequestPrimary(404 * ms)
	assert.Assert(t, ok)
}

func TestStepDownLetsAnotherBecomePrimaryAtOnce(t *testing.T) {
	set := newSet("a", "b", "c")
	requestConsent(t, 0, set["a"], set["b"])
	late, _ := set["a"].RequestPrimary(10 * ms)
	stepDown, ok := set["a"].StepDown(20 * ms)
	assert.Assert(t, ok)
	assert.Assert(t, !set["a"].IsPrimary(20*ms))
	set["b"].HandleLead(20*ms, stepDown)
	requestConsent(t, 20*ms, set["c"], set["b"])
	assert.Assert(t, set["c"].IsPrimary(20*ms))

	set["a"].OnLeadReply(30*ms, late.Asked, LeadReply{From: "b", Session: testSession, Granted: true})
	assert.Assert(t, !set["a"].IsPrimary(30*ms), "consent requested before stepping down must not count")
}

func TestLateYieldDoesNotEndALaterConsent(t *testing.T) {
	set := newSet("a", "b", "c")
	requestConsent(t, 0, set["a"], set["b"])
	stepDown, _ := set["a"].StepDown(20 * ms)
	requestConsent(t, 30*ms, set["a"], set["b"])
	assert.Assert(t, set["a"].IsPrimary(30*ms))
	set["b"].HandleLead(40*ms, stepDown)
	assert.Equal(t, set["b"].Holder(40*ms), "a")
}

func TestLeaseEndIsFixedByTheServersClockReading(t *testing.T) {
	set := newSet("a", "b", "c")
	a := set["a"]
	a.OnServerClock(0, 5000)
	_, ok := a.NextLease(0)
	assert.Assert(t, !ok, "only the primary grants leases")
	requestConsent(t, 0, a, set["b"])
	until, ok := a.NextLease(300 * ms)
	assert.Assert(t, ok)
	assert.Equal(t, until, int64(5600))
	a.OnServerClock(310*ms, 4000)
	until, _ = a.NextLease(310 * ms)
	assert.Equal(t, until, int64(5600), "a late, older reading must be ignored")
}

func TestCloseWaitsForLeadTTLAndLeaseTTLWithDrift(t *testing.T) {
	set := newSet("a", "b", "c")
	closeWith(t, 0, set["a"], ProofNone)
	assert.Equal(t, set["a"].Phase(), PhaseProposing)
	assert.Assert(t, !set["a"].Closed(10*time.Second), "closed without a quorum")
	closeWith(t, 10*time.Second, set["a"], ProofNone, set["b"])
	assert.Equal(t, set["b"].Phase(), PhaseJoined)
	assert.Assert(t, !set["a"].Closed(10*time.Second+1009*ms))
	assert.Assert(t, set["a"].Closed(10*time.Second+1010*ms))
	assert.DeepEqual(t, set["a"].Outcome().By, []string{"a", "b"})
}

func TestCloseByThePrimaryWaitsForItsLastLease(t *testing.T) {
	set := newSet("a", "b", "c")
	a := set["a"]
	for now := time.Duration(0); now <= 1000*ms; now += 100 * ms {
		requestConsent(t, now, a, set["b"])
		a.OnServerClock(now, now.Milliseconds())
		a.NextLease(now)
	}
	closeWith(t, 1200*ms, a, ProofNone, set["b"])
	assert.Assert(t, !a.IsPrimary(1200*ms))
	assert.Assert(t, !a.Closed(1605*ms))
	assert.Assert(t, a.Closed(1606*ms))
}

func TestCloseByNewPrimaryCountsFormerPrimaries(t *testing.T) {
	set := newSet("a", "b", "c")
	requestConsent(t, 0, set["c"], set["b"])
	requestConsent(t, 404*ms, set["a"], set["b"])
	closeWith(t, 500*ms, set["a"], ProofNone, set["b"])
	assert.Assert(t, !set["a"].Closed(1009*ms))
	assert.Assert(t, set["a"].Closed(1010*ms))
}

func TestCloseJoinedAfterThePrimaryExpiredWaitsInFull(t *testing.T) {
	set := newSet("a", "b", "c")
	a, b := set["a"], set["b"]
	requestConsent(t, 0, a, b)
	request, _ := a.StartClose(10*ms, "test", ProofNone)
	requestConsent(t, 404*ms, set["c"], b)
	assert.Assert(t, set["c"].IsPrimary(404*ms))
	assert.Assert(t, !b.HandleClose(807*ms, request).Joined, "b must not join while c is primary")
	a.OnCloseReply(808*ms, b.HandleClose(808*ms, request))
	assert.Assert(t, !a.Closed(808*ms+1009*ms))
	assert.Assert(t, a.Closed(808*ms+1010*ms))
}

func TestProofNeedsAQuorumAndNoWait(t *testing.T) {
	set := newSet("a", "b", "c")
	closeWith(t, 0, set["a"], ProofEnded)
	assert.Assert(t, !set["a"].Closed(time.Minute))
	closeWith(t, time.Minute, set["a"], ProofNone, set["b"])
	assert.Assert(t, set["a"].Closed(time.Minute))
}

func TestClosingLessorsDoNotActAgain(t *testing.T) {
	set := newSet("a", "b", "c")
	requestConsent(t, 0, set["a"], set["b"])
	closeWith(t, 10*ms, set["a"], ProofNone, set["b"])
	for _, name := range []string{"a", "b"} {
		l := set[name]
		_, ok := l.RequestPrimary(5 * time.Second)
		assert.Assert(t, !ok, name)
		assert.Assert(t, !l.Withdraw(5*time.Second), name)
		assert.Assert(t, !l.AdvanceTo(5*time.Second, 20, opened("a", "b", "c")), name)
	}
	reply := set["b"].HandleLead(5*time.Second, LeadRequest{From: "c", Session: testSession, Version: Version(testSession)})
	assert.Assert(t, !reply.Granted)
}

func TestJoinedLessorClosesWhenTheProposerIsLost(t *testing.T) {
	set := newSet("a", "b", "c")
	request, _ := set["a"].StartClose(0, "lost", ProofNone)
	set["b"].HandleClose(0, request)
	closeWith(t, time.Second, set["b"], ProofNone, set["c"])
	assert.Assert(t, set["b"].Closed(3*time.Second))
	assert.Equal(t, set["b"].Outcome().Version, Version(testSession))

	reply := set["c"].HandleClose(3*time.Second, request)
	assert.Assert(t, reply.Joined)
	set["a"].OnCloseReply(3*time.Second, set["b"].HandleClose(3*time.Second, request))
	assert.DeepEqual(t, set["a"].Outcome(), set["b"].Outcome())
}

func TestTwoProposersAtOnceBothClose(t *testing.T) {
	set := newSet("a", "b")
	first, _ := set["a"].StartClose(0, "x", ProofNone)
	second, _ := set["b"].StartClose(0, "y", ProofNone)
	set["a"].OnCloseReply(0, set["b"].HandleClose(0, first))
	set["b"].OnCloseReply(0, set["a"].HandleClose(0, second))
	assert.Assert(t, set["a"].Closed(1010*ms))
	assert.Assert(t, set["b"].Closed(1010*ms))
}

func TestWithdrawnProposalIsSafeAgainstALateAnswer(t *testing.T) {
	set := newSet("a", "b", "c")
	request, _ := set["a"].StartClose(0, "test", ProofNone)
	reply := set["b"].HandleClose(0, request)
	assert.Assert(t, set["a"].Withdraw(time.Second))
	requestConsent(t, time.Second, set["a"], set["c"])
	set["a"].OnCloseReply(1010*ms, reply)
	assert.Assert(t, set["a"].IsPrimary(1010*ms))
	assert.Assert(t, !set["a"].Closed(5*time.Second))

	assert.Assert(t, set["a"].AdvanceTo(6*time.Second, 20, opened("a", "b", "c")))
	set["a"].OnCloseReply(6*time.Second, reply)
	_, ok := set["a"].StartClose(6*time.Second, "test", ProofNone)
	assert.Assert(t, ok)
	set["a"].OnCloseReply(6*time.Second, reply)
	assert.Equal(t, set["a"].Phase(), PhaseProposing, "an answer under another version must not count")
}

func TestJoinedLessorIsReleasedOnceItsVersionCannotBeClosed(t *testing.T) {
	names := []string{"a", "b", "c"}
	set := newSet(names...)
	request, _ := set["a"].StartClose(0, "test", ProofNone)
	set["b"].HandleClose(0, request)
	assert.Assert(t, set["a"].AdvanceTo(0, 20, opened(names...)))
	requestConsent(t, 0, set["a"], set["b"])
	assert.Assert(t, !set["b"].AdvanceTo(0, 20, opened(names...)), "c may still join the closing")
	assert.Assert(t, set["c"].AdvanceTo(0, 20, opened(names...)))
	requestConsent(t, 10*ms, set["a"], set["b"])
	assert.Assert(t, !set["b"].AdvanceTo(10*ms, 20, opened(names...)), "b has not received a newer version from c")
	set["b"].HandleLead(10*ms, LeadRequest{From: "c", Session: testSession, Version: 20})
	assert.Assert(t, set["b"].AdvanceTo(10*ms, 20, opened(names...)))
	assert.Equal(t, set["b"].Phase(), PhaseActive)
}

func TestConsentOutlivesAVersionWithTheSameLessors(t *testing.T) {
	names := []string{"a", "b", "c"}
	set := newSet(names...)
	requestConsent(t, 0, set["a"], set["b"])
	set["a"].AdvanceTo(10*ms, 20, opened(names...))
	set["b"].AdvanceTo(10*ms, 20, opened(names...))
	assert.Assert(t, set["a"].IsPrimary(10*ms))
	assert.Assert(t, !set["a"].QuorumAt(20))
	replies := requestConsent(t, 20*ms, set["a"], set["b"], set["c"])
	assert.Assert(t, replies[0].Granted)
	assert.Assert(t, replies[1].Granted, "an older version with the same lessors may consent")
	assert.Assert(t, set["a"].QuorumAt(20))
	requestConsent(t, 30*ms, set["a"], set["c"])
	assert.Assert(t, set["a"].IsPrimary(420*ms))
}

func TestNewLessorsNeedASealAndTheEndOfFormerPrimaries(t *testing.T) {
	lessors := Lessors{Names: []string{"d", "e", "f"}, Since: 20}
	d := New(testConfig(), "d", testSession, 20, lessors)
	e := New(testConfig(), "e", testSession, 20, lessors)
	_, ok := d.RequestPrimary(0)
	assert.Assert(t, !ok)
	_, ok = d.StartClose(0, "test", ProofNone)
	assert.Assert(t, !ok)
	lessors.Sealed = true
	d.Seal(time.Second, lessors)
	e.Seal(time.Second, lessors)
	_, ok = d.RequestPrimary(time.Second + 403*ms)
	assert.Assert(t, !ok, "a primary of the former set may not have expired")
	requestConsent(t, time.Second+404*ms, d, e)
	assert.Assert(t, d.IsPrimary(time.Second+404*ms))
}

func TestPrimaryContinuesWhileAnotherLessorIsReplaced(t *testing.T) {
	set := newSet("a", "b", "c")
	a, b := set["a"], set["b"]
	requestConsent(t, 0, a, b)
	names := replacing(20, []string{"a", "b", "c"}, "a", "b", "d")
	d := New(testConfig(), "d", testSession, 20, names)
	a.AdvanceTo(100*ms, 20, names)
	b.AdvanceTo(100*ms, 20, names)
	assert.Assert(t, a.IsPrimary(100*ms))
	assert.Assert(t, !a.Sealed())

	requestConsent(t, 110*ms, a, d)
	assert.Assert(t, !a.IsPrimary(400*ms), "a quorum of the former set must consent, too")
	requestConsent(t, 410*ms, a, b, d)
	assert.Assert(t, a.IsPrimary(410*ms))
	assert.Assert(t, a.Sealed(), "a and b are a quorum of the former set")
	requestConsent(t, 420*ms, a, d)
	assert.Assert(t, d.Sealed(), "the new lessor receives the seal in a request")
}

func TestLessorThatMissedAReplacementWaitsForFormerPrimaries(t *testing.T) {
	set := newSet("a", "b", "c")
	requestConsent(t, 0, set["a"], set["b"])
	lessors := Lessors{Names: []string{"a", "b", "c"}, Since: 40, Sealed: true, FormerSince: 30}
	set["a"].AdvanceTo(10*ms, 40, lessors)
	assert.Assert(t, !set["a"].IsPrimary(10*ms), "a set that the lessor does not know may have a primary")
	_, ok := set["a"].RequestPrimary(413 * ms)
	assert.Assert(t, !ok)
	_, ok = set["a"].RequestPrimary(414 * ms)
	assert.Assert(t, ok)
}

func TestRetiredLessorDoesNotAct(t *testing.T) {
	set := newSet("a", "b", "c")
	c := set["c"]
	assert.Assert(t, c.AdvanceTo(0, 20, replacing(20, []string{"a", "b", "c"}, "a", "b", "d")))
	assert.Equal(t, c.Phase(), PhaseRetired)
	_, ok := c.RequestPrimary(time.Second)
	assert.Assert(t, !ok)
	_, ok = c.StartClose(time.Second, "test", ProofNone)
	assert.Assert(t, !ok)
	request, _ := set["a"].RequestPrimary(time.Second)
	reply := c.HandleLead(time.Second, request)
	assert.Assert(t, !reply.Granted)
	assert.Equal(t, reply.Version, Version(20))
}

// TestDefaultsLeaveTimeToServeAgain checks that, with the default settings, the
// longest time from the loss of a server, a primary or both to the activation of
// the successors is below the target.
func TestDefaultsLeaveTimeToServeAgain(t *testing.T) {
	const target = 2 * time.Second
	values := settings.Defaults()
	cfg := testConfig()

	serverLost := values.ServerSilence + cfg.withDrift(cfg.LeadTTL+cfg.LeaseTTL)
	assert.Equal(t, serverLost, 1360*ms)

	primaryLost := cfg.withDrift(cfg.LeadTTL) + values.RenewEvery
	assert.Equal(t, primaryLost, 524*ms)

	primaryAndServerLost := primaryLost + values.ServerSilence + cfg.withDrift(cfg.LeadTTL+cfg.LeaseTTL)
	assert.Equal(t, primaryAndServerLost, 1884*ms)
	assert.Assert(t, primaryAndServerLost < target)
}

// TestLessorNamedAgainWaitsForItsFormerConsents guards against two primaries when
// a host drops its Lessor on being replaced and is named again shortly after: the
// consent that it gave before still counts for another lessor.
func TestLessorNamedAgainWaitsForItsFormerConsents(t *testing.T) {
	set := newSet("a", "b", "c")
	a, b, c := set["a"], set["b"], set["c"]
	requestConsent(t, 0, b, c)
	assert.Assert(t, b.IsPrimary(0))

	second := replacing(20, []string{"a", "b", "c"}, "a", "b", "d")
	c.AdvanceTo(10*ms, 20, second)
	second.Sealed = true
	a.AdvanceTo(10*ms, 20, second)
	d := New(testConfig(), "d", testSession, 20, second)

	third := Lessors{Names: []string{"a", "b", "c"}, Since: 30, Former: second.Names, FormerSince: 20}
	a.AdvanceTo(20*ms, 30, third)
	rejoined := New(testConfig(), "c", testSession, 30, third)
	requestConsent(t, 30*ms, a, rejoined, d)
	requestConsent(t, 399*ms, a, rejoined, d)
	assert.Assert(t, !(a.IsPrimary(399*ms) && b.IsPrimary(399*ms)), "two primaries")

	requestConsent(t, 434*ms, a, rejoined, d)
	assert.Assert(t, a.IsPrimary(434*ms))
}

// TestPartitionedPrimaryDoesNotCloseTheSessionOfAnother guards against closing a working
// session: a primary is partitioned from the server and from the other lessors, and
// after the partition its proposal to close reaches the lessors of a newer primary.
func TestPartitionedPrimaryDoesNotCloseTheSessionOfAnother(t *testing.T) {
	set := newSet("a", "b", "c")
	a, b, c := set["a"], set["b"], set["c"]
	requestConsent(t, 0, a, b, c)
	request, ok := a.StartClose(450*ms, "silent", ProofNone)
	assert.Assert(t, ok)
	requestConsent(t, 450*ms, c, b)
	assert.Assert(t, c.IsPrimary(450*ms))

	for _, other := range []*Lessor{b, c} {
		reply := other.HandleClose(500*ms, request)
		assert.Assert(t, !reply.Joined, other.self)
		assert.Equal(t, reply.Holder, "c")
		a.OnCloseReply(500*ms, reply)
	}
	assert.Assert(t, c.IsPrimary(500*ms))
	assert.Equal(t, a.Phase(), PhaseActive, "the proposal must be withdrawn")
	requestConsent(t, 550*ms, c, a)
	assert.Equal(t, a.Holder(550*ms), "c")
}
