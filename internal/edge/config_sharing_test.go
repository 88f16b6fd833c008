package edge

import (
	"context"
	"net"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/poplarcroft/poplarcroft/internal/assign"
	"github.com/poplarcroft/poplarcroft/internal/eventlog"
	"github.com/poplarcroft/poplarcroft/internal/follow"
	"github.com/poplarcroft/poplarcroft/internal/peer"
	"github.com/poplarcroft/poplarcroft/internal/routetable"
	"github.com/poplarcroft/poplarcroft/internal/standin"
)

// sharing returns the configuration sharing of a host with the given configuration, or none if empty.
func sharing(t *testing.T, version string) *configSharing {
	t.Helper()
	records := newTestOperatorRecords()
	if version != "" {
		records.apply(follow.Change{Records: []follow.Record{record("config", version)}})
	}
	return &configSharing{
		self: assign.Host{Name: "h1", Incarnation: "1"}, records: records, peers: newTestPeers(t), log: eventlog.Discard(),
	}
}

// TestOlderConfigurationWrittenAgainIsOverruled guards against hosts that stay apart after a restore of
// the log: an older version is written again after a newer one, and hosts that read only a snapshot
// never learn of the newer one.
func TestOlderConfigurationWrittenAgainIsOverruled(t *testing.T) {
	atLeader := newTestOperatorRecords()
	atLeader.apply(follow.Change{Records: []follow.Record{record("config", "5")}, Snapshot: true})
	leader := assign.Host{Name: "leader", Incarnation: "1", Addr: serveRPC(t, &rpcService{records: atLeader})}
	newer, older, none := sharing(t, "6"), sharing(t, "5"), sharing(t, "")

	assert.NilError(t, newer.exchange(t.Context(), leader))
	assert.Equal(t, atLeader.Table().Version, routetable.Version(6))
	for _, host := range []*configSharing{older, none, newer} {
		assert.NilError(t, host.exchange(t.Context(), leader))
		assert.Equal(t, host.records.Table().Version, routetable.Version(6))
	}
}

// TestHostsTakeOverOnlyConfigurations checks that a record of another kind, or a malformed one, changes
// nothing.
func TestHostsTakeOverOnlyConfigurations(t *testing.T) {
	records := newTestOperatorRecords()
	changes := 0
	records.onChange = func() { changes++ }
	assert.ErrorContains(t, records.adoptConfig(record("zlin", "1"), "h2"), "not a configuration")
	assert.ErrorContains(t, records.adoptConfig(record("config", "!"), "h2"), "malformed")
	assert.Assert(t, records.Table() == nil && !records.Evacuated("zlin"))
	assert.Equal(t, changes, 0)
	for range 2 {
		assert.NilError(t, records.adoptConfig(record("config", "4"), "h2"))
	}
	assert.Equal(t, changes, 1)
}

// TestLargeConfigurationFromTheLeader guards against a configuration that a host never gets from the leader, because its link
// takes longer for the record than the host waits, and each try begins anew.
func TestLargeConfigurationFromTheLeader(t *testing.T) {
	const configApplyTime = 2500 * time.Millisecond
	network := standin.NewNetwork()
	network.AddLink("h1", 10e6/8)
	atLeader := newTestOperatorRecords()
	atLeader.apply(follow.Change{Records: []follow.Record{record("config", "6"+strings.Repeat(" ", 1<<20))}, Snapshot: true})
	leader := assign.Host{Name: "leader", Incarnation: "1", Addr: serveRPC(t, &rpcService{records: atLeader, log: eventlog.Discard()})}
	c := sharing(t, "5")
	c.peers = &peers{pool: peer.NewPool(network.Dialer("h1", (&net.Dialer{}).DialContext))}
	t.Cleanup(c.peers.pool.Close)
	c.plan = func() assign.Plan { return assign.Plan{Leader: leader} }
	ctx, stop := context.WithTimeout(t.Context(), configApplyTime)
	defer stop()
	go c.run(ctx)
	for c.records.Table().Version != 6 && ctx.Err() == nil {
		time.Sleep(10 * time.Millisecond)
	}
	assert.Equal(t, c.records.Table().Version, routetable.Version(6))
}
