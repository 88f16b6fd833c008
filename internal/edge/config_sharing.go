package edge

import (
	"context"
	"time"

	"github.com/poplarcroft/poplarcroft/internal/assign"
	"github.com/poplarcroft/poplarcroft/internal/content"
	"github.com/poplarcroft/poplarcroft/internal/eventlog"
	"github.com/poplarcroft/poplarcroft/internal/follow"
	"github.com/poplarcroft/poplarcroft/internal/loop"
	"github.com/poplarcroft/poplarcroft/internal/relay"
	"github.com/poplarcroft/poplarcroft/internal/routetable"
)

const (
	// configSharingInterval is the time between two comparisons of a host's configuration with the leader's.
	configSharingInterval = time.Second
	// transferTimeout is how long a host fetches a configuration before it compares again. What has arrived is kept.
	transferTimeout = 2 * time.Second
	// sharingTries is the number of other hosts that a host asks in turn until one answers, if the leader does not suffice, and
	// sharingHosts the number of those among which it chooses: the first relays of the other zones.
	sharingTries = 2
	sharingHosts = 6
)

// ConfigArgs compares the caller's configuration with that of the called host.
type ConfigArgs struct {
	// From and Addr are the name and the address of the calling host.
	From, Addr string
	// Version is the caller's version, zero if it has none.
	Version routetable.Version
	// Record is the record of the caller's configuration if the called host has an older one, and
	// otherwise nil. If Manifest is set, it describes the value, which the record does not hold.
	Record   *follow.Record
	Manifest *content.Manifest
	// References says that the caller's build knows manifests.
	References bool
}

// ConfigReply holds the configuration of the called host.
type ConfigReply struct {
	// Version is the host's version, zero if it has none. Record is the record of that
	// configuration if it is newer than the caller's, and otherwise nil. If Manifest is set, it
	// describes the value, which the record does not hold.
	Version  routetable.Version
	Record   *follow.Record
	Manifest *content.Manifest
	// References says that the called host's build knows manifests.
	References bool
}

// configSharing compares this host's configuration with the leader's, and hands the newer one to the
// host with the older one. The topic alone does not suffice: an older version that is written again
// after a restore of the log replaces a newer one, which then only the hosts know that read it in time.
// If the leader does not answer, or reading the topic has not confirmed this host's configuration, it compares with hosts of other
// zones too, so that no single host can keep a configuration from others.
type configSharing struct {
	self     assign.Host
	plan     func() assign.Plan
	records  *operatorRecords
	peers    *peers
	contents *content.Fetcher
	// late reports whether reading the topic has not confirmed this host's configuration recently.
	late func() bool
	log  *eventlog.Log
	// next is the index of the host of another zone with which this host compares next.
	next int
}

// run is the loop that compares the configurations.
func (c *configSharing) run(ctx context.Context) {
	loop.Every(ctx, configSharingInterval, func(ctx context.Context) {
		if !c.exchangeWithLeader(ctx) || c.late() {
			c.exchangeWithOthers(ctx)
		}
	})
}

// exchangeWithLeader compares the configurations with the leader. It returns false if this host leads, or the leader does not answer.
func (c *configSharing) exchangeWithLeader(ctx context.Context) bool {
	leader := c.plan().Leader
	if leader.Addr == "" || leader.SameIncarnation(c.self) {
		return false
	}
	return c.tryExchange(ctx, leader)
}

// exchangeWithOthers compares the configurations with a host of another zone, another one each time.
func (c *configSharing) exchangeWithOthers(ctx context.Context) {
	hosts := otherRelays(c.plan(), c.self)
	hosts = hosts[:min(len(hosts), sharingHosts)]
	for range min(len(hosts), sharingTries) {
		host := hosts[c.next%len(hosts)]
		c.next++
		if c.tryExchange(ctx, assign.Host{Name: host.Name, Addr: host.Addr}) {
			return
		}
	}
}

// tryExchange compares the configurations with another host, and reports whether that has answered.
func (c *configSharing) tryExchange(ctx context.Context, other assign.Host) bool {
	err := c.exchange(ctx, other)
	if err != nil {
		c.log.Routine("config", "other", other.Name, "outcome", "not compared", "err", err.Error())
	}
	return err == nil
}

// exchange compares the configurations once, and hands over the newer one.
func (c *configSharing) exchange(ctx context.Context, other assign.Host) error {
	version, record := c.records.newestConfig()
	reply, err := c.peers.config(ctx, other, ConfigArgs{From: c.self.Name, Addr: c.self.Addr, Version: version, References: true}, reportTimeout)
	if err != nil {
		return err
	}
	c.records.progress.noteOthersVersion(reply.Version)
	if reply.Record != nil {
		return c.records.adoptOffered(ctx, c.contents, *reply.Record, reply.Manifest, other.Name, c.sources(other))
	}
	if reply.Version < version {
		args := ConfigArgs{From: c.self.Name, Addr: c.self.Addr, Version: version, References: true}
		args.Record, args.Manifest = offer(c.contents, record, reply.References)
		_, err = c.peers.config(ctx, other, args, transferTimeout)
	}
	return err
}

// sources returns the addresses of the hosts from which this host fetches the configuration of another one: first the relay of its
// zone, which probably has it too and is nearer.
func (c *configSharing) sources(other assign.Host) []string {
	if other.Zone == c.self.Zone {
		return []string{other.Addr}
	}
	hosts, self := relayOrder(c.plan(), c.self)
	if len(hosts) == 0 || self == 0 {
		return []string{other.Addr}
	}
	return []string{hosts[0].Addr, other.Addr}
}

// offer returns a record for a message: whole, or without its value and with the manifest of that if it is large and the other
// host's build knows manifests.
func offer(contents *content.Fetcher, record follow.Record, references bool) (*follow.Record, *content.Manifest) {
	if !references || len(record.Value) <= relay.MaxInlineBytes {
		return &record, nil
	}
	m := contents.Store.Add(relay.ContentName(topicOperatorRecords, record.Key), record.Value)
	record.Value = nil
	return &record, &m
}

// adoptOffered puts another host's configuration in force if it is newer. If the record came with a manifest, it fetches the value
// first.
func (o *operatorRecords) adoptOffered(ctx context.Context, contents *content.Fetcher, record follow.Record, m *content.Manifest, from string, sources []string) error {
	if m != nil {
		ctx, cancel := context.WithTimeout(ctx, transferTimeout)
		defer cancel()
		value, err := contents.Fetch(ctx, relay.ContentName(topicOperatorRecords, record.Key), *m, sources)
		if err != nil {
			return err
		}
		record.Value = value
	}
	return o.adoptConfig(record, from)
}

// Config takes over the caller's configuration if that is newer, and returns this host's if it is.
func (s *rpcService) Config(args ConfigArgs, reply *ConfigReply) error {
	if args.Record != nil {
		if err := s.records.adoptOffered(context.Background(), s.contents, *args.Record, args.Manifest, args.From, []string{args.Addr}); err != nil {
			return err
		}
	}
	if late, inForce, since := s.records.progress.reported(args.From, args.Version); late {
		s.log.Event("config", "from", args.From, "version", uint64(args.Version), "in_force", uint64(inForce), "since_ms", since.Milliseconds(), "outcome", "late")
	}
	version, record := s.records.newestConfig()
	reply.Version = version
	reply.References = true
	if version > args.Version {
		reply.Record, reply.Manifest = offer(s.contents, record, args.References)
	}
	return nil
}

// config compares configurations with another host.
func (p *peers) config(ctx context.Context, host assign.Host, args ConfigArgs, timeout time.Duration) (ConfigReply, error) {
	var reply ConfigReply
	err := p.pool.CallTimeout(ctx, timeout, host.Addr, rpcName+".Config", args, &reply)
	return reply, err
}
