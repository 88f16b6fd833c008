package edge

import (
	"context"
	"time"

	"github.com/poplarcroft/poplarcroft/internal/assign"
	"github.com/poplarcroft/poplarcroft/internal/eventlog"
	"github.com/poplarcroft/poplarcroft/internal/follow"
	"github.com/poplarcroft/poplarcroft/internal/loop"
	"github.com/poplarcroft/poplarcroft/internal/routetable"
)

// configSharingInterval is the time between two comparisons of a host's configuration with the leader's.
const configSharingInterval = time.Second

// ConfigArgs compares the caller's configuration with that of the called host.
type ConfigArgs struct {
	// From is the name of the calling host.
	From string
	// Version is the caller's version, zero if it has none.
	Version routetable.Version
	// Record is the record of the caller's configuration if the called host has an older one, and
	// otherwise nil.
	Record *follow.Record
}

// ConfigReply holds the configuration of the called host.
type ConfigReply struct {
	// Version is the host's version, zero if it has none. Record is the record of that
	// configuration if it is newer than the caller's, and otherwise nil.
	Version routetable.Version
	Record  *follow.Record
}

// configSharing compares this host's configuration with the leader's, and hands the newer one to the
// host with the older one. The topic alone does not suffice: an older version that is written again
// after a restore of the log replaces a newer one, which then only the hosts know that read it in time.
type configSharing struct {
	self    assign.Host
	plan    func() assign.Plan
	records *operatorRecords
	peers   *peers
	log     *eventlog.Log
}

// run is the loop that compares the configurations.
func (c *configSharing) run(ctx context.Context) {
	loop.Every(ctx, configSharingInterval, func(ctx context.Context) {
		leader := c.plan().Leader
		if leader.Addr == "" || leader.SameIncarnation(c.self) {
			return
		}
		ctx, cancel := context.WithTimeout(ctx, reportTimeout)
		defer cancel()
		if err := c.exchange(ctx, leader); err != nil {
			c.log.Routine("config", "leader", leader.Name, "outcome", "not compared", "err", err.Error())
		}
	})
}

// exchange compares the configurations once.
func (c *configSharing) exchange(ctx context.Context, leader assign.Host) error {
	version, record := c.records.newestConfig()
	reply, err := c.peers.config(ctx, leader, ConfigArgs{From: c.self.Name, Version: version})
	if err != nil {
		return err
	}
	c.records.progress.othersHave(reply.Version)
	if reply.Record != nil {
		return c.records.adoptConfig(*reply.Record, leader.Name)
	}
	if reply.Version < version {
		_, err = c.peers.config(ctx, leader, ConfigArgs{From: c.self.Name, Version: version, Record: &record})
	}
	return err
}

// Config takes over the caller's configuration if that is newer, and returns this host's if it is.
func (s *rpcService) Config(args ConfigArgs, reply *ConfigReply) error {
	if args.Record != nil {
		if err := s.records.adoptConfig(*args.Record, args.From); err != nil {
			return err
		}
	}
	if late, inForce, since := s.records.progress.reported(args.From, args.Version); late {
		s.log.Event("config", "from", args.From, "version", uint64(args.Version), "in_force", uint64(inForce), "since_ms", since.Milliseconds(), "outcome", "late")
	}
	version, record := s.records.newestConfig()
	reply.Version = version
	if version > args.Version {
		reply.Record = &record
	}
	return nil
}

// config compares configurations with another host.
func (p *peers) config(ctx context.Context, host assign.Host, args ConfigArgs) (ConfigReply, error) {
	var reply ConfigReply
	err := p.pool.Call(ctx, host.Addr, rpcName+".Config", args, &reply)
	return reply, err
}
