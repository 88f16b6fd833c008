package edge

import (
	"net"
	"net/http"
	"net/rpc"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/poplarcroft/poplarcroft/internal/assign"
	"github.com/poplarcroft/poplarcroft/internal/clock"
	"github.com/poplarcroft/poplarcroft/internal/eventlog"
	"github.com/poplarcroft/poplarcroft/internal/peer"
	"github.com/poplarcroft/poplarcroft/internal/sharedlimit"
)

const testLimitID = "account/vltava"

var testLimit = sharedlimit.Limit{Rate: 100, Burst: 100}

// newTestLeasing returns the share leasing of a host that knows no plan.
func newTestLeasing(t *testing.T, name string, needed bool) (*shareLeasing, *assign.Current) {
	t.Helper()
	current := assign.NewCurrent()
	self := assign.Host{Name: name, Incarnation: name + ".1"}
	return newShareLeasing(self, current, newTestPeers(t), func() bool { return needed }, clock.Monotonic, eventlog.Discard()), current
}

// adopt lets a host adopt a plan, verified now.
func adopt(current *assign.Current, version assign.Fence, leader assign.Host, hosts ...assign.Host) {
	current.Adopt(assign.Plan{Version: version, Leader: leader, Hosts: hosts})
	current.Verify(clock.Monotonic(), version.Era())
}

// take takes a token of the test's limit.
func take(s *shareLeasing) sharedlimit.Decision {
	return s.holder.Take(testLimitID, testLimit, false, clock.Monotonic())
}

// askOnce lets the host ask as its loop does.
func askOnce(t *testing.T, s *shareLeasing) {
	t.Helper()
	time.Sleep(s.holder.UrgentIn(clock.Monotonic()))
	s.ask(t.Context(), s.observe())
}

// TestHostGetsAShareOfTheLeader checks the messages between a host and the leader, which is the allocator for itself, too.
func TestHostGetsAShareOfTheLeader(t *testing.T) {
	atLeader, leaderPlan := newTestLeasing(t, "h1", true)
	other, otherPlan := newTestLeasing(t, "h2", true)
	leader := atLeader.self
	leader.Addr = serveRPC(t, &rpcService{shares: atLeader})
	for _, current := range []*assign.Current{leaderPlan, otherPlan} {
		adopt(current, 5, leader, leader, other.self)
	}
	for _, host := range []*shareLeasing{other, atLeader} {
		assert.Equal(t, take(host), sharedlimit.NoShare)
		askOnce(t, host)
		time.Sleep(50 * time.Millisecond)
		// A share begins empty.
		assert.Equal(t, take(host), sharedlimit.Taken)
	}
	assert.Equal(t, atLeader.allocator.Counters(clock.Monotonic()).Answered, int64(2))
	assert.Assert(t, other.snapshot() != nil)
}

// TestHostThatIsNotLeaderGivesNoShares guards against two hosts that give out the same limit.
func TestHostThatIsNotLeaderGivesNoShares(t *testing.T) {
	former, formerPlan := newTestLeasing(t, "h1", true)
	asking, askingPlan := newTestLeasing(t, "h2", true)
	leader := former.self
	leader.Addr = serveRPC(t, &rpcService{shares: former})
	adopt(askingPlan, 5, leader, leader, asking.self)
	adopt(formerPlan, 5, leader, leader, asking.self)
	adopt(formerPlan, 6, asking.self, leader, asking.self)
	take(asking)
	askOnce(t, asking)
	assert.Equal(t, asking.holder.Counters(clock.Monotonic()).Failures, int64(1))
	assert.Equal(t, take(asking), sharedlimit.NoShare)
	var reply sharedlimit.Answer
	assert.ErrorIs(t, (&rpcService{}).Shares(sharedlimit.Ask{}, &reply), sharedlimit.ErrNotAllocator)
}

// olderBuild has the methods of a build without Shares.
type olderBuild struct{}

func (olderBuild) Report(ReportArgs, *Empty) error { return nil }

// TestLeaderOfAnOlderBuild guards against an account that is refused during an upgrade: a host whose leader does not know the
// method uses an equal share of the plan's hosts.
func TestLeaderOfAnOlderBuild(t *testing.T) {
	calls := rpc.NewServer()
	assert.NilError(t, calls.RegisterName(rpcName, olderBuild{}))
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer listener.Close()
	go http.Serve(listener, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { peer.ServeRPC(t.Context(), calls, w) }))

	host, current := newTestLeasing(t, "h2", true)
	leader := assign.Host{Name: "h1", Incarnation: "h1.1", Addr: listener.Addr().String()}
	adopt(current, 5, leader, leader, host.self)
	take(host)
	askOnce(t, host)
	assert.Equal(t, host.holder.Counters(clock.Monotonic()).Equals, int64(1))
	time.Sleep(50 * time.Millisecond)
	assert.Equal(t, take(host), sharedlimit.Taken)
}

// TestNothingIsSentWithoutSharedLimits guards against messages in deployments without quotas and without leased allowances.
// Hosts with quotas report to a new leader also without demand, so that it need not wait for leases to end.
func TestNothingIsSentWithoutSharedLimits(t *testing.T) {
	for _, needed := range []bool{false, true} {
		atLeader, leaderPlan := newTestLeasing(t, "h1", needed)
		other, otherPlan := newTestLeasing(t, "h2", needed)
		leader := atLeader.self
		leader.Addr = serveRPC(t, &rpcService{shares: atLeader})
		adopt(leaderPlan, 5, leader, leader, other.self)
		adopt(otherPlan, 5, leader, leader, other.self)
		want := int64(0)
		if needed {
			want = 1
		}
		for range 3 {
			askOnce(t, other)
			time.Sleep(110 * time.Millisecond)
			assert.Equal(t, other.holder.Counters(clock.Monotonic()).Asks, want)
		}
	}
}
