package lease

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/poplarcroft/poplarcroft/internal/record"
	"github.com/poplarcroft/poplarcroft/internal/settings"
)

const ms = time.Millisecond

// testSession is the session of all tests of single rules.
const testSession record.SessionID = 10

func testConfig() Config {
	values := settings.Defaults()
	return Config{
		LeadTTL:       values.LeadTTL,
		LeaseTTL:      values.LeaseTTL,
		DriftPermille: values.DriftPermille,
	}
}

// newSet returns the lessors of a session as its open record names them.
func newSet(names ...string) map[string]*Lessor {
	set := make(map[string]*Lessor, len(names))
	for _, name := range names {
		set[name] = New(testConfig(), name, testSession, Version(testSession), opened(names...))
	}
	return set
}

// opened returns lessors as the open record names them.
func opened(names ...string) Lessors {
	return Lessors{Names: names, Since: Version(testSession), Sealed: true}
}

// replacing returns lessors that replace those of the open record at a version.
func replacing(since Version, former []string, names ...string) Lessors {
	return Lessors{Names: names, Since: since, Former: former, FormerSince: Version(testSession)}
}

// ask lets one lessor ask others for consent, without delay.
func ask(t *testing.T, now time.Duration, asker *Lessor, givers ...*Lessor) []LeadReply {
	t.Helper()
	request, ok := asker.AskLead(now)
	assert.Assert(t, ok, "%s must not ask", asker.self)
	var replies []LeadReply
	for _, giver := range givers {
		reply := giver.HandleLead(now, request)
		asker.OnLeadReply(now, now, reply)
		replies = append(replies, reply)
	}
	return replies
}

// closeWith lets one lessor close with others, without delay.
func closeWith(t *testing.T, now time.Duration, closer *Lessor, proof Proof, others ...*Lessor) {
	t.Helper()
	request, ok := closer.StartClose(now, "test", proof)
	assert.Assert(t, ok, "%s must not close", closer.self)
	for _, other := range others {
		closer.OnCloseReply(now, other.HandleClose(now, request))
	}
}

func TestQuorumOfEverySize(t *testing.T) {
	for n, want := range map[int]int{1: 1, 2: 2, 3: 2} {
		assert.Equal(t, Quorum(n), want, "%d lessors", n)
	}
}

func TestOneOfOneLeadsAlone(t *testing.T) {
	a := newSet("a")["a"]
	assert.Assert(t, !a.IsLead(0), "lead without asking")
	ask(t, 0, a)
	assert.Assert(t, a.IsLead(399*ms))
	assert.Assert(t, !a.IsLead(400*ms), "a single lessor's lead ends too")
}

func TestTwoOfTwoNeedBoth(t *testing.T) {
	set := newSet("a", "b")
	ask(t, 0, set["a"])
	assert.Assert(t, !set["a"].IsLead(0))
	ask(t, 0, set["a"], set["b"])
	assert.Assert(t, set["a"].IsLead(0))
}

func TestConsentIsExclusiveUntilItLapsesWithDrift(t *testing.T) {
	set := newSet("a", "b", "c")
	ask(t, 0, set["a"], set["b"])
	assert.Assert(t, set["a"].IsLead(0))
	assert.Equal(t, set["b"].Holder(0), "a")

	replies := ask(t, 100*ms, set["c"], set["b"], set["a"])
	assert.Assert(t, !replies[0].Granted)
	assert.Equal(t, replies[0].RetryIn, 304*ms)
	assert.Equal(t, replies[0].Holder, "a")
	assert.Assert(t, !replies[1].Granted, "a lead gives no consent")
	assert.Assert(t, !set["c"].IsLead(100*ms))

	assert.Assert(t, !set["a"].IsLead(400*ms))
	replies = ask(t, 403*ms, set["c"], set["b"])
	assert.Assert(t, !replies[0].Granted, "the giver counts the drift")
	replies = ask(t, 404*ms, set["c"], set["b"])
	assert.Assert(t, replies[0].Granted)
	assert.Assert(t, set["c"].IsLead(404*ms))
}

func TestAskerCountsFromBeforeAsking(t *testing.T) {
	set := newSet("a", "b", "c")
	request, _ := set["a"].AskLead(0)
	reply := set["b"].HandleLead(300*ms, request)
	set["a"].OnLeadReply(390*ms, 0, reply)
	assert.Assert(t, set["a"].IsLead(399*ms))
	assert.Assert(t, !set["a"].IsLead(400*ms))
	set["a"].OnLeadReply(500*ms, 0, reply)
	assert.Assert(t, !set["a"].IsLead(500*ms), "a late reply grants nothing")
}

func TestPromisedLessorDoesNotAsk(t *testing.T) {
	set := newSet("a", "b", "c")
	ask(t, 0, set["a"], set["b"])
	_, ok := set["b"].AskLead(100 * ms)
	assert.Assert(t, !ok)
	_, ok = set["b"].AskLead(404 * ms)
	assert.Assert(t, ok)
}

func TestYieldLetsAnotherLeadAtOnce(t *testing.T) {
	set := newSet("a", "b", "c")
	ask(t, 0, set["a"], set["b"])
	late, _ := set["a"].AskLead(10 * ms)
	yield, ok := set["a"].YieldLead(20 * ms)
	assert.Assert(t, ok)
	assert.Assert(t, !set["a"].IsLead(20*ms))
	set["b"].HandleLead(20*ms, yield)
	ask(t, 20*ms, set["c"], set["b"])
	assert.Assert(t, set["c"].IsLead(20*ms))

	set["a"].OnLeadReply(30*ms, late.Asked, LeadReply{From: "b", Session: testSession, Granted: true})
	assert.Assert(t, !set["a"].IsLead(30*ms), "consent asked for before the yield is void")
}

func TestLateYieldDoesNotEndALaterPromise(t *testing.T) {
	set := newSet("a", "b", "c")
	ask(t, 0, set["a"], set["b"])
	yield, _ := set["a"].YieldLead(20 * ms)
	ask(t, 30*ms, set["a"], set["b"])
	assert.Assert(t, set["a"].IsLead(30*ms))
	set["b"].HandleLead(40*ms, yield)
	assert.Equal(t, set["b"].Holder(40*ms), "a")
}

func TestLeaseEndIsFixedByTheServersClockReading(t *testing.T) {
	set := newSet("a", "b", "c")
	a := set["a"]
	a.OnServerClock(0, 5000)
	_, ok := a.NextLease(0)
	assert.Assert(t, !ok, "only the lead grants leases")
	ask(t, 0, a, set["b"])
	until, ok := a.NextLease(300 * ms)
	assert.Assert(t, ok)
	assert.Equal(t, until, int64(5600))
	a.OnServerClock(310*ms, 4000)
	until, _ = a.NextLease(310 * ms)
	assert.Equal(t, until, int64(5600), "an older reading that arrives late is ignored")
}

func TestCloseWaitsForLeadAndLeaseWithDrift(t *testing.T) {
	set := newSet("a", "b", "c")
	closeWith(t, 0, set["a"], ProofNone)
	assert.Equal(t, set["a"].Phase(), PhaseProposing)
	assert.Assert(t, !set["a"].Closed(10*time.Second), "no quorum")
	closeWith(t, 10*time.Second, set["a"], ProofNone, set["b"])
	assert.Equal(t, set["b"].Phase(), PhaseJoined)
	assert.Assert(t, !set["a"].Closed(10*time.Second+1009*ms))
	assert.Assert(t, set["a"].Closed(10*time.Second+1010*ms))
	assert.DeepEqual(t, set["a"].Outcome().By, []string{"a", "b"})
}

func TestCloseByTheLeadWaitsForItsLastLease(t *testing.T) {
	set := newSet("a", "b", "c")
	a := set["a"]
	for now := time.Duration(0); now <= 1000*ms; now += 100 * ms {
		ask(t, now, a, set["b"])
		a.OnServerClock(now, now.Milliseconds())
		a.NextLease(now)
	}
	closeWith(t, 1200*ms, a, ProofNone, set["b"])
	assert.Assert(t, !a.IsLead(1200*ms))
	assert.Assert(t, !a.Closed(1605*ms))
	assert.Assert(t, a.Closed(1606*ms))
}

func TestCloseByANewLeadCountsFormerLeads(t *testing.T) {
	set := newSet("a", "b", "c")
	ask(t, 0, set["c"], set["b"])
	ask(t, 404*ms, set["a"], set["b"])
	closeWith(t, 500*ms, set["a"], ProofNone, set["b"])
	assert.Assert(t, !set["a"].Closed(1009*ms))
	assert.Assert(t, set["a"].Closed(1010*ms))
}

func TestCloseAnsweredAfterTheLeadLapsedWaitsInFull(t *testing.T) {
	set := newSet("a", "b", "c")
	a, b := set["a"], set["b"]
	ask(t, 0, a, b)
	request, _ := a.StartClose(10*ms, "test", ProofNone)
	ask(t, 404*ms, set["c"], b)
	assert.Assert(t, set["c"].IsLead(404*ms))
	assert.Assert(t, !b.HandleClose(807*ms, request).Joined, "c may lead")
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
	ask(t, 0, set["a"], set["b"])
	closeWith(t, 10*ms, set["a"], ProofNone, set["b"])
	for _, name := range []string{"a", "b"} {
		l := set[name]
		_, ok := l.AskLead(5 * time.Second)
		assert.Assert(t, !ok, name)
		assert.Assert(t, !l.Withdraw(5*time.Second), name)
		assert.Assert(t, !l.Retire(5*time.Second, 20, opened("a", "b", "c")), name)
	}
	reply := set["b"].HandleLead(5*time.Second, LeadRequest{From: "c", Session: testSession, Version: Version(testSession)})
	assert.Assert(t, !reply.Granted)
}

func TestJoinedLessorClosesWhenItsCoordinatorIsLost(t *testing.T) {
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

func TestTwoCoordinatorsAtOnceBothClose(t *testing.T) {
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
	ask(t, time.Second, set["a"], set["c"])
	set["a"].OnCloseReply(1010*ms, reply)
	assert.Assert(t, set["a"].IsLead(1010*ms))
	assert.Assert(t, !set["a"].Closed(5*time.Second))

	assert.Assert(t, set["a"].Retire(6*time.Second, 20, opened("a", "b", "c")))
	set["a"].OnCloseReply(6*time.Second, reply)
	_, ok := set["a"].StartClose(6*time.Second, "test", ProofNone)
	assert.Assert(t, ok)
	set["a"].OnCloseReply(6*time.Second, reply)
	assert.Equal(t, set["a"].Phase(), PhaseProposing, "an answer under another version counts for nothing")
}

func TestJoinedLessorIsReleasedOnceItsVersionCannotBeClosed(t *testing.T) {
	names := []string{"a", "b", "c"}
	set := newSet(names...)
	request, _ := set["a"].StartClose(0, "test", ProofNone)
	set["b"].HandleClose(0, request)
	assert.Assert(t, set["a"].Retire(0, 20, opened(names...)))
	ask(t, 0, set["a"], set["b"])
	assert.Assert(t, !set["b"].Retire(0, 20, opened(names...)), "c may still join b")
	assert.Assert(t, set["c"].Retire(0, 20, opened(names...)))
	ask(t, 10*ms, set["a"], set["b"])
	assert.Assert(t, !set["b"].Retire(10*ms, 20, opened(names...)), "b has not heard of c")
	set["b"].HandleLead(10*ms, LeadRequest{From: "c", Session: testSession, Version: 20})
	assert.Assert(t, set["b"].Retire(10*ms, 20, opened(names...)))
	assert.Equal(t, set["b"].Phase(), PhaseActive)
}

func TestConsentOutlivesAVersionWithTheSameLessors(t *testing.T) {
	names := []string{"a", "b", "c"}
	set := newSet(names...)
	ask(t, 0, set["a"], set["b"])
	set["a"].Retire(10*ms, 20, opened(names...))
	set["b"].Retire(10*ms, 20, opened(names...))
	assert.Assert(t, set["a"].IsLead(10*ms))
	assert.Assert(t, !set["a"].QuorumAt(20))
	replies := ask(t, 20*ms, set["a"], set["b"], set["c"])
	assert.Assert(t, replies[0].Granted)
	assert.Assert(t, replies[1].Granted, "an older version with the same lessors may consent")
	assert.Assert(t, set["a"].QuorumAt(20))
	ask(t, 30*ms, set["a"], set["c"])
	assert.Assert(t, set["a"].IsLead(420*ms))
}

func TestNewLessorsNeedASealAndAnEndOfFormerLeads(t *testing.T) {
	lessors := Lessors{Names: []string{"d", "e", "f"}, Since: 20}
	d := New(testConfig(), "d", testSession, 20, lessors)
	e := New(testConfig(), "e", testSession, 20, lessors)
	_, ok := d.AskLead(0)
	assert.Assert(t, !ok)
	_, ok = d.StartClose(0, "test", ProofNone)
	assert.Assert(t, !ok)
	lessors.Sealed = true
	d.Seal(time.Second, lessors)
	e.Seal(time.Second, lessors)
	_, ok = d.AskLead(time.Second + 403*ms)
	assert.Assert(t, !ok, "a former lead may be left")
	ask(t, time.Second+404*ms, d, e)
	assert.Assert(t, d.IsLead(time.Second+404*ms))
}

func TestLeadContinuesWhileAnotherLessorIsReplaced(t *testing.T) {
	set := newSet("a", "b", "c")
	a, b := set["a"], set["b"]
	ask(t, 0, a, b)
	names := replacing(20, []string{"a", "b", "c"}, "a", "b", "d")
	d := New(testConfig(), "d", testSession, 20, names)
	a.Retire(100*ms, 20, names)
	b.Retire(100*ms, 20, names)
	assert.Assert(t, a.IsLead(100*ms))
	assert.Assert(t, !a.Sealed())

	ask(t, 110*ms, a, d)
	assert.Assert(t, !a.IsLead(400*ms), "the former set has to consent, too")
	ask(t, 410*ms, a, b, d)
	assert.Assert(t, a.IsLead(410*ms))
	assert.Assert(t, a.Sealed(), "a and b are a quorum of the former set")
	ask(t, 420*ms, a, d)
	assert.Assert(t, d.Sealed(), "the new lessor learns of it from a request")
}

func TestLessorThatMissedAReplacementWaitsForFormerLeads(t *testing.T) {
	set := newSet("a", "b", "c")
	ask(t, 0, set["a"], set["b"])
	lessors := Lessors{Names: []string{"a", "b", "c"}, Since: 40, Sealed: true, FormerSince: 30}
	set["a"].Retire(10*ms, 40, lessors)
	assert.Assert(t, !set["a"].IsLead(10*ms), "a set that it does not know may have a lead")
	_, ok := set["a"].AskLead(413 * ms)
	assert.Assert(t, !ok)
	_, ok = set["a"].AskLead(414 * ms)
	assert.Assert(t, ok)
}

func TestRetiredLessorDoesNotAct(t *testing.T) {
	set := newSet("a", "b", "c")
	c := set["c"]
	assert.Assert(t, c.Retire(0, 20, replacing(20, []string{"a", "b", "c"}, "a", "b", "d")))
	assert.Equal(t, c.Phase(), PhaseRetired)
	_, ok := c.AskLead(time.Second)
	assert.Assert(t, !ok)
	_, ok = c.StartClose(time.Second, "test", ProofNone)
	assert.Assert(t, !ok)
	request, _ := set["a"].AskLead(time.Second)
	reply := c.HandleLead(time.Second, request)
	assert.Assert(t, !reply.Granted)
	assert.Equal(t, reply.Version, Version(20))
}

// TestDefaultsLeaveTimeToServeAgain adds up the longest way from a loss to the
// activation of the successors, for the values in force by default.
func TestDefaultsLeaveTimeToServeAgain(t *testing.T) {
	const target = 2 * time.Second
	values := settings.Defaults()
	cfg := testConfig()

	serverLost := values.ServerSilence + cfg.outlast(cfg.LeadTTL+cfg.LeaseTTL)
	assert.Equal(t, serverLost, 1360*ms)

	leadLost := cfg.outlast(cfg.LeadTTL) + values.RenewEvery
	assert.Equal(t, leadLost, 524*ms)

	bothLost := leadLost + values.ServerSilence + cfg.outlast(cfg.LeadTTL+cfg.LeaseTTL)
	assert.Equal(t, bothLost, 1884*ms)
	assert.Assert(t, bothLost < target)
}

// TestLessorNamedAgainWaitsForItsFormerPromises covers a host that has dropped
// its lessor when it was replaced, and is named again shortly after: what it
// promised before is still counted on by another.
func TestLessorNamedAgainWaitsForItsFormerPromises(t *testing.T) {
	set := newSet("a", "b", "c")
	a, b, c := set["a"], set["b"], set["c"]
	ask(t, 0, b, c)
	assert.Assert(t, b.IsLead(0))

	second := replacing(20, []string{"a", "b", "c"}, "a", "b", "d")
	c.Retire(10*ms, 20, second)
	second.Sealed = true
	a.Retire(10*ms, 20, second)
	d := New(testConfig(), "d", testSession, 20, second)

	third := Lessors{Names: []string{"a", "b", "c"}, Since: 30, Former: second.Names, FormerSince: 20}
	a.Retire(20*ms, 30, third)
	again := New(testConfig(), "c", testSession, 30, third)
	ask(t, 30*ms, a, again, d)
	ask(t, 399*ms, a, again, d)
	assert.Assert(t, !(a.IsLead(399*ms) && b.IsLead(399*ms)), "two leads")

	ask(t, 434*ms, a, again, d)
	assert.Assert(t, a.IsLead(434*ms))
}

// TestCutOffLeadDoesNotCloseWhatAnotherLeads covers a lead that was cut off
// from the server and from the other lessors, and proposes to close when it is back.
func TestCutOffLeadDoesNotCloseWhatAnotherLeads(t *testing.T) {
	set := newSet("a", "b", "c")
	a, b, c := set["a"], set["b"], set["c"]
	ask(t, 0, a, b, c)
	request, ok := a.StartClose(450*ms, "silent", ProofNone)
	assert.Assert(t, ok)
	ask(t, 450*ms, c, b)
	assert.Assert(t, c.IsLead(450*ms))

	for _, other := range []*Lessor{b, c} {
		reply := other.HandleClose(500*ms, request)
		assert.Assert(t, !reply.Joined, other.self)
		assert.Equal(t, reply.Holder, "c")
		a.OnCloseReply(500*ms, reply)
	}
	assert.Assert(t, c.IsLead(500*ms))
	assert.Equal(t, a.Phase(), PhaseActive, "the proposal is withdrawn")
	ask(t, 550*ms, c, a)
	assert.Equal(t, a.Holder(550*ms), "c")
}
