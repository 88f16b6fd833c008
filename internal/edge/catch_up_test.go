package edge

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/poplarcroft/poplarcroft/internal/assign"
	"github.com/poplarcroft/poplarcroft/internal/clock"
	"github.com/poplarcroft/poplarcroft/internal/eventlog"
	"github.com/poplarcroft/poplarcroft/internal/follow"
	"github.com/poplarcroft/poplarcroft/internal/routetable"
)

// restartedHost returns a host that has just read version 5 of the configuration, which has client accounts, and the server
// "a" from the topics, with a plan of the given hosts.
func restartedHost(t *testing.T, hosts ...assign.Host) *Host {
	t.Helper()
	records := newTestOperatorRecords()
	config := routetable.Config{Version: 5, Accounts: map[string]routetable.Account{"morava": {Name: "morava"}}}
	records.applyConfig(&config, record("config", "5"))
	discovery, f := newTestServers()
	discovery.apply(follow.Change{Records: []follow.Record{record("a", "1")}, Snapshot: true}, 0)
	self := assign.Host{Name: "h1", Incarnation: "2", Addr: "127.0.0.1:1"}
	plan := func() assign.Plan { return assign.Plan{Version: 3, Hosts: hosts} }
	h := &Host{operatorRecords: records, fleet: f, log: eventlog.Discard()}
	sharing := &configSharing{self: self, plan: plan, records: records, peers: newTestPeers(t), log: h.log}
	h.catchUp = &catchUp{
		self: self, plan: plan, sharing: sharing, peers: sharing.peers, fleet: f,
		known: func() bool { return true }, clock: clock.Monotonic, log: h.log,
	}
	return h
}

// TestRestartedHostUsesNoOlderConfiguration guards against a withdrawn key that is accepted again after a restart: the log
// has been restored from a copy with an older configuration, and the host has lost what it had read before.
func TestRestartedHostUsesNoOlderConfiguration(t *testing.T) {
	other := newTestOperatorRecords()
	other.apply(follow.Change{Records: []follow.Record{record("config", "6")}, Snapshot: true})
	_, f := newTestServers()
	h := restartedHost(t,
		assign.Host{Name: "h1", Incarnation: "1", Addr: "127.0.0.1:1"},
		assign.Host{Name: "h2", Incarnation: "1", Addr: serveRPC(t, &rpcService{records: other, fleet: f})})
	assert.Assert(t, h.tableForCallers() == nil, "serves by a configuration that may be older than one that was in force")
	h.catchUp.run(t.Context())
	assert.Equal(t, h.tableForCallers().Version, routetable.Version(6))
}

// TestRestartedHostLeavesServersAloneThatAreLeaving guards against a restarted host that uses a server which has announced
// its shutdown only in answers to this host's former incarnation and to others.
func TestRestartedHostLeavesServersAloneThatAreLeaving(t *testing.T) {
	other := newTestOperatorRecords()
	other.apply(follow.Change{Records: []follow.Record{record("config", "5")}, Snapshot: true})
	discovery, f := newTestServers()
	discovery.apply(follow.Change{Records: []follow.Record{record("a", "1"), record("b", "1")}, Snapshot: true}, 0)
	leaving, _ := f.Server("a")
	leaving.MarkLeaving()
	h := restartedHost(t, assign.Host{Name: "h2", Incarnation: "1", Addr: serveRPC(t, &rpcService{records: other, fleet: f})})
	h.catchUp.run(t.Context())
	server, _ := h.fleet.Server("a")
	assert.Assert(t, server.Leaving())

	discovery.apply(follow.Change{Records: []follow.Record{record("a", "2")}}, 0)
	newer, _ := f.Server("a")
	newer.MarkLeaving()
	h = restartedHost(t, assign.Host{Name: "h2", Incarnation: "1", Addr: serveRPC(t, &rpcService{records: other, fleet: f})})
	h.catchUp.run(t.Context())
	server, _ = h.fleet.Server("a")
	assert.Assert(t, !server.Leaving(), "another incarnation is leaving")
}

// oldRPCService offers only what the build b5ff72c does of the calls that catchUp makes.
type oldRPCService struct{ records *operatorRecords }

// Config is rpcService.Config.
func (s *oldRPCService) Config(args ConfigArgs, reply *ConfigReply) error {
	return (&rpcService{records: s.records}).Config(args, reply)
}

// TestRestartedHostStartsWithoutHelp guards against a host that does not start because no other host answers, or only one of
// an older build.
func TestRestartedHostStartsWithoutHelp(t *testing.T) {
	older := newTestOperatorRecords()
	older.apply(follow.Change{Records: []follow.Record{record("config", "6")}, Snapshot: true})
	for name, c := range map[string]struct {
		hosts   []assign.Host
		version routetable.Version
	}{
		"alone":       {nil, 5},
		"no answer":   {[]assign.Host{{Name: "h2", Addr: "127.0.0.1:1"}}, 5},
		"older build": {[]assign.Host{{Name: "h2", Addr: serveMethods(t, &oldRPCService{older})}}, 6},
	} {
		t.Run(name, func(t *testing.T) {
			h := restartedHost(t, c.hosts...)
			began := time.Now()
			h.catchUp.run(t.Context())
			assert.Assert(t, time.Since(began) < 3*catchUpLimit)
			assert.Equal(t, h.tableForCallers().Version, c.version)
		})
	}
}
