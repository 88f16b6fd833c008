package edge

import (
	"context"
	"net"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/poplarcroft/poplarcroft/internal/assign"
	"github.com/poplarcroft/poplarcroft/internal/content"
	"github.com/poplarcroft/poplarcroft/internal/eventlog"
	"github.com/poplarcroft/poplarcroft/internal/follow"
	"github.com/poplarcroft/poplarcroft/internal/peer"
	"github.com/poplarcroft/poplarcroft/internal/relay"
	"github.com/poplarcroft/poplarcroft/internal/routetable"
	"github.com/poplarcroft/poplarcroft/internal/standin"
)

// newTestContents returns a store of large values whose host fetches them from nobody.
func newTestContents() *content.Fetcher {
	return &content.Fetcher{Store: content.NewStore(), Ask: func(context.Context, string, content.ChunksArgs) (content.ChunksReply, error) {
		return content.ChunksReply{}, nil
	}}
}

// sharing returns the configuration sharing of a host with the given configuration, or none if empty.
func sharing(t *testing.T, version string) *configSharing {
	t.Helper()
	records := newTestOperatorRecords()
	if version != "" {
		records.apply(follow.Change{Records: []follow.Record{record("config", version)}})
	}
	return &configSharing{
		self: assign.Host{Name: "h1", Incarnation: "1"}, records: records, peers: newTestPeers(t), contents: newTestContents(),
		late: func() bool { return false }, log: eventlog.Discard(),
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
	leader := assign.Host{Name: "leader", Incarnation: "1", Addr: serveRPC(t, &rpcService{records: atLeader, contents: newTestContents(), log: eventlog.Discard()})}
	c := sharing(t, "5")
	c.peers = &peers{pool: peer.NewPool(network.Dialer("h1", (&net.Dialer{}).DialContext))}
	t.Cleanup(c.peers.pool.Close)
	c.contents.Ask = c.peers.chunks
	c.plan = func() assign.Plan { return assign.Plan{Leader: leader} }
	ctx, stop := context.WithTimeout(t.Context(), configApplyTime)
	defer stop()
	go c.run(ctx)
	for c.records.Table().Version != 6 && ctx.Err() == nil {
		time.Sleep(10 * time.Millisecond)
	}
	assert.Equal(t, c.records.Table().Version, routetable.Version(6))
}

// largeRecord is the record of a large configuration.
func largeRecord(version string) follow.Record {
	return record("config", version+strings.Repeat(" ", 4*relay.MaxInlineBytes))
}

// TestLargeConfigurationIsHandedToTheLeader checks that the leader fetches the configuration of a host that has a newer one.
func TestLargeConfigurationIsHandedToTheLeader(t *testing.T) {
	c := sharing(t, "")
	c.records.apply(follow.Change{Records: []follow.Record{largeRecord("6")}})
	c.self.Addr = serveRPC(t, &rpcService{records: c.records, contents: c.contents, log: eventlog.Discard()})
	atLeader, leaderContents := newTestOperatorRecords(), newTestContents()
	leaderContents.Ask = newTestPeers(t).chunks
	leader := assign.Host{Name: "leader", Incarnation: "1", Addr: serveRPC(t, &rpcService{records: atLeader, contents: leaderContents, log: eventlog.Discard()})}
	assert.NilError(t, c.exchange(t.Context(), leader))
	assert.Equal(t, atLeader.Table().Version, routetable.Version(6))
	assert.Assert(t, leaderContents.Store.Counters.BytesFetched.Value() > 0)
}

// FormerConfigArgs and FormerConfigReply are the messages of the build 694c180, which sends configurations whole. net/rpc takes only
// exported types.
type FormerConfigArgs struct {
	From    string
	Version routetable.Version
	Record  *follow.Record
}

type FormerConfigReply struct {
	Version routetable.Version
	Record  *follow.Record
}

// formerConfigService is a leader of that build.
type formerConfigService struct{ records *operatorRecords }

func (s *formerConfigService) Config(args FormerConfigArgs, reply *FormerConfigReply) error {
	if args.Record != nil {
		if err := s.records.adoptConfig(*args.Record, args.From); err != nil {
			return err
		}
	}
	version, record := s.records.newestConfig()
	reply.Version = version
	if version > args.Version {
		reply.Record = &record
	}
	return nil
}

// TestLargeConfigurationsBetweenBuilds checks that hosts of the build before get whole configurations, and that theirs are taken.
func TestLargeConfigurationsBetweenBuilds(t *testing.T) {
	t.Run("an older leader has a newer one", func(t *testing.T) {
		atLeader := newTestOperatorRecords()
		atLeader.apply(follow.Change{Records: []follow.Record{largeRecord("6")}})
		c := sharing(t, "5")
		assert.NilError(t, c.exchange(t.Context(), assign.Host{Name: "leader", Addr: serveMethods(t, &formerConfigService{atLeader})}))
		assert.Equal(t, c.records.Table().Version, routetable.Version(6))
	})
	t.Run("an older leader is handed a newer one", func(t *testing.T) {
		atLeader := newTestOperatorRecords()
		c := sharing(t, "")
		c.records.apply(follow.Change{Records: []follow.Record{largeRecord("6")}})
		assert.NilError(t, c.exchange(t.Context(), assign.Host{Name: "leader", Addr: serveMethods(t, &formerConfigService{atLeader})}))
		assert.Equal(t, atLeader.Table().Version, routetable.Version(6))
	})
	t.Run("an older host asks", func(t *testing.T) {
		atLeader := newTestOperatorRecords()
		atLeader.apply(follow.Change{Records: []follow.Record{largeRecord("6")}})
		addr := serveRPC(t, &rpcService{records: atLeader, contents: newTestContents(), log: eventlog.Discard()})
		var reply FormerConfigReply
		assert.NilError(t, newTestPeers(t).pool.Call(t.Context(), addr, rpcName+".Config", FormerConfigArgs{From: "h1", Version: 5}, &reply))
		assert.Equal(t, len(reply.Record.Value), len(largeRecord("6").Value))
	})
}
