package edge

import (
	"context"
	"net"
	"net/http"
	"net/rpc"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"github.com/poplarcroft/poplarcroft/internal/assign"
	"github.com/poplarcroft/poplarcroft/internal/clock"
	"github.com/poplarcroft/poplarcroft/internal/eventlog"
	"github.com/poplarcroft/poplarcroft/internal/follow"
	"github.com/poplarcroft/poplarcroft/internal/peer"
	"github.com/poplarcroft/poplarcroft/internal/poison"
)

var testBounds = poison.Bounds{CrashLimit: maxCrashes, SharedCrashLimit: maxCrashes, Retention: crashRetention}

// crashServers makes the request crash servers as this host sees it, each one once.
func crashServers(t *testing.T, guard *poison.Guard, f poison.Fingerprint, ids ...string) {
	t.Helper()
	for _, id := range ids {
		server := poison.Server{Addr: id, Incarnation: id}
		attempt, _, ok := guard.Begin(t.Context(), server, f)
		assert.Assert(t, ok)
		attempt.SentShared()
		attempt.End(poison.Broken)
		guard.ServerCrashed(server, poison.Discovery)
	}
}

// memoryState is a platform whose shared state is a list of records. unavailable makes writes fail.
type memoryState struct {
	fakePlatform
	records     []follow.Record
	unavailable bool
}

func (p *memoryState) AppendState(_ context.Context, key string, value []byte, _ *uint64) (follow.Position, error) {
	if p.unavailable {
		return follow.Position{}, errors.New("unavailable")
	}
	p.records = append(p.records, follow.Record{Key: key, Value: value, Offset: uint64(len(p.records))})
	return follow.Position{Offset: uint64(len(p.records)) - 1}, nil
}

// evidenceHost is a host with all that shares evidence.
func evidenceHost(platform Platform, name string, plan func() assign.Plan, dial peer.DialFunc) (*evidenceSharing, *poison.Guard) {
	guard := poison.NewGuard(testBounds)
	self := assign.Host{Name: name, Incarnation: name}
	s := newState(self, platform, assign.NewCurrent(), clock.Monotonic, eventlog.Discard())
	sharing := newEvidenceSharing(self, guard, plan, s, &peers{pool: peer.NewPool(dial)}, eventlog.Discard())
	s.onEvidence = sharing.read
	return sharing, guard
}

// TestEvidenceIsSentUntilItIsTaken is a regression test (BUDGET on Moravia): evidence was sent once, so a
// host that was cut off or started later sent a request on that had crashed three servers.
func TestEvidenceIsSentUntilItIsTaken(t *testing.T) {
	receiver, addr := startReceiver(t)
	reachable := make(chan bool, 1)
	reachable <- false
	dial := func(ctx context.Context, network, addr string) (net.Conn, error) {
		if !<-reachable {
			return nil, errors.New("cut off")
		}
		return (&net.Dialer{}).DialContext(ctx, network, addr)
	}
	plan := assign.Plan{Hosts: []assign.Host{{Name: "b", Incarnation: "b", Addr: addr}}}
	sharing, guard := evidenceHost(&memoryState{}, "a", func() assign.Plan { return plan }, dial)
	f := poison.Fingerprint{1}
	crashServers(t, guard, f, "s1", "s2", "s3")
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go sharing.run(ctx)
	reachable <- true
	awaitBlocked(t, receiver.guard, f)
}

// startReceiver starts a host that takes evidence, and returns it with its address.
func startReceiver(t *testing.T) (*rpcService, string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { listener.Close() })
	receiver := &rpcService{guard: poison.NewGuard(testBounds), log: eventlog.Discard()}
	calls := rpc.NewServer()
	assert.NilError(t, calls.RegisterName(rpcName, receiver))
	go http.Serve(listener, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { peer.ServeRPC(t.Context(), calls, w) }))
	return receiver, listener.Addr().String()
}

// awaitBlocked waits until the guard blocks a request.
func awaitBlocked(t *testing.T, guard *poison.Guard, f poison.Fingerprint) {
	t.Helper()
	deadline := time.Now().Add(10 * time.Second)
	for guard.Check(f) != poison.Blocked {
		assert.Assert(t, time.Now().Before(deadline), "the evidence has not arrived")
		time.Sleep(10 * time.Millisecond)
	}
}

// TestEvidenceIsSentAtOnce is a regression test (BUDGET on Riga): evidence waited for the next interval,
// so a host that was killed soon after a crash took it along.
func TestEvidenceIsSentAtOnce(t *testing.T) {
	receiver, addr := startReceiver(t)
	plan := assign.Plan{Hosts: []assign.Host{{Name: "b", Incarnation: "b", Addr: addr}}}
	sharing, guard := evidenceHost(&memoryState{}, "a", func() assign.Plan { return plan }, (&net.Dialer{}).DialContext)
	sharing.interval = time.Hour
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go sharing.run(ctx)
	time.Sleep(50 * time.Millisecond)
	f := poison.Fingerprint{1}
	crashServers(t, guard, f, "s1", "s2", "s3")
	awaitBlocked(t, receiver.guard, f)
}

// TestEvidenceOutlastsTheLossOfAllHosts is a regression test (BUDGET on Moravia): evidence was kept by
// the hosts alone, so the loss of all of them gave a request that crashes servers a new start.
func TestEvidenceOutlastsTheLossOfAllHosts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		platform := &memoryState{unavailable: true}
		noPlan := func() assign.Plan { return assign.Plan{} }
		sharing, guard := evidenceHost(platform, "a", noPlan, nil)
		serious, single := poison.Fingerprint{1}, poison.Fingerprint{2}
		crashServers(t, guard, serious, "s1", "s2", "s3")
		crashServers(t, guard, single, "s4")
		sharing.keep(t.Context())
		platform.unavailable = false
		sharing.keep(t.Context())
		sharing.keep(t.Context())
		assert.Equal(t, len(platform.records), 1)

		time.Sleep(20 * time.Second)
		leads := func() assign.Plan { return assign.Plan{Leader: assign.Host{Name: "b", Incarnation: "b"}} }
		later, laterGuard := evidenceHost(platform, "b", leads, nil)
		for _, record := range platform.records {
			later.state.apply(record, follow.UnknownEra)
		}
		assert.Equal(t, laterGuard.Check(serious), poison.Blocked)
		assert.Equal(t, laterGuard.Check(single), poison.Clean)

		// After a restore, the leader writes again also what no living host has recorded itself.
		later.state.next.Era = 3
		later.keep(t.Context())
		assert.Equal(t, len(platform.records), 2)

		time.Sleep(crashRetention)
		assert.Equal(t, laterGuard.Check(serious), poison.Clean)
		for _, record := range platform.records[1:] {
			later.state.apply(record, follow.UnknownEra)
		}
		time.Sleep(crashRetention)
		later.removeExpired(t.Context())
		assert.Equal(t, len(platform.records), 3)
		assert.Equal(t, len(platform.records[2].Value), 0)
	})
}
