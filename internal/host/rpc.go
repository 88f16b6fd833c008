package host

import (
	"context"
	"time"

	"github.com/poplarcroft/poplarcroft/internal/keeper"
	"github.com/poplarcroft/poplarcroft/internal/peer"
	"github.com/poplarcroft/poplarcroft/internal/poison"
	"github.com/poplarcroft/poplarcroft/internal/record"
)

// adoptTimeout bounds the activation of slices on behalf of another host.
const adoptTimeout = 300 * time.Millisecond

// peerService implements the RPC methods of package peer, which other hosts call through net/rpc.
// Methods whose reply has a field Known or Kept leave it false if this host is not a lessor of the session.
type peerService struct {
	host *Host
}

// keeper returns the keeper of a session, nil if this host is not a lessor of it.
func (s *peerService) keeper(id record.SessionID) *keeper.Keeper {
	s.host.mu.RLock()
	defer s.host.mu.RUnlock()
	return s.host.keepers[id]
}

// isForThisIncarnation reports whether a call is addressed to this incarnation of the host.
// An earlier one may have given consents that this one does not know.
func (s *peerService) isForThisIncarnation(incarnation string) bool {
	return incarnation == s.host.entry.Incarnation
}

// Lead answers a lessor that requests consent to be the primary.
func (s *peerService) Lead(args peer.LeadArgs, reply *peer.LeadReply) error {
	k := s.keeper(args.Request.Session)
	if k == nil || !s.isForThisIncarnation(args.Incarnation) {
		return nil
	}
	reply.Known = true
	reply.Reply = k.HandleLead(args.Request)
	return nil
}

// Close answers a lessor that asks this one to join the closing of a session.
func (s *peerService) Close(args peer.CloseArgs, reply *peer.CloseReply) error {
	k := s.keeper(args.Request.Session)
	if k == nil || !s.isForThisIncarnation(args.Incarnation) {
		return nil
	}
	reply.Known = true
	reply.Reply, reply.Entries = k.JoinClose(args.Request)
	return nil
}

// LeadOf answers which host is the primary of a session as far as this lessor knows.
func (s *peerService) LeadOf(args peer.SessionArgs, reply *peer.LeadOfReply) error {
	if k := s.keeper(args.Session); k != nil {
		reply.Known = true
		reply.Lead, _ = k.Primary()
	}
	return nil
}

// Probe answers whether this host reaches a session's server.
func (s *peerService) Probe(args peer.SessionArgs, reply *peer.ProbeReply) error {
	if k := s.keeper(args.Session); k != nil {
		ctx, cancel := context.WithTimeout(context.Background(), keeper.ProbeTimeout)
		defer cancel()
		reply.Reached = k.Probe(ctx)
	}
	return nil
}

// Adopt activates slices at a session whose primary this host is. Otherwise the reply names the primary.
func (s *peerService) Adopt(args peer.AdoptArgs, reply *peer.AdoptReply) error {
	k := s.keeper(args.Session)
	if k == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), adoptTimeout)
	defer cancel()
	reply.Adopted = k.Adopt(ctx, args.Slices, args.Entries, args.Complete)
	reply.Lead, _ = k.Primary()
	return nil
}

// Retired answers whether this host no longer acts under versions of a session before the given one.
func (s *peerService) Retired(args peer.RetiredArgs, reply *peer.RetiredReply) error {
	if k := s.keeper(args.Session); k != nil && s.isForThisIncarnation(args.Incarnation) {
		reply.Retired, reply.Entries = k.Retired(args.Version)
	}
	return nil
}

// Hold stores a copy of a claim of a request ID for a session's primary.
func (s *peerService) Hold(args peer.HoldArgs, reply *peer.CopyReply) error {
	if k := s.keeper(args.Session); k != nil {
		reply.Kept = k.StoreClaim(args.From, args.Claim)
	}
	return nil
}

// Copy stores copies of request IDs for a session's primary.
func (s *peerService) Copy(args peer.CopyArgs, reply *peer.CopyReply) error {
	if k := s.keeper(args.Session); k != nil {
		reply.Kept = k.StoreCopies(args.From, args.Entries)
	}
	return nil
}

// Memory returns the request IDs that this host has stored for a session.
func (s *peerService) Memory(args peer.MemoryArgs, reply *peer.MemoryReply) error {
	if k := s.keeper(args.Session); k != nil {
		reply.Entries, reply.Known = k.RequestIDs(args.From)
	}
	return nil
}

// Suspects imports another host's evidence against requests.
func (s *peerService) Suspects(args peer.SuspectsArgs, _ *peer.Empty) error {
	s.host.guard.Import(args.Records, poison.OtherHost)
	return nil
}

// Remembered returns the request IDs that this host has stored for slices, those
// of sessions that ended within lingerTime included.
func (s *peerService) Remembered(args peer.RememberedArgs, reply *peer.RememberedReply) error {
	s.host.mu.RLock()
	defer s.host.mu.RUnlock()
	for _, k := range s.host.keepers {
		reply.Entries = append(reply.Entries, k.RequestIDsOf(args)...)
	}
	reply.Entries = append(reply.Entries, s.host.witness.Snapshot(args.Matches)...)
	return nil
}

// Witness stores request IDs of a session that this host is not a lessor of.
func (s *peerService) Witness(args peer.WitnessArgs, _ *peer.Empty) error {
	s.host.witness.Merge(args.Entries)
	return nil
}

// Snapshot returns the state that this host has built by replay of the log.
func (s *peerService) Snapshot(_ peer.Empty, reply *peer.SnapshotReply) error {
	data, offset, err := s.host.view.Snapshot()
	reply.Data = data
	reply.Offset = offset
	return err
}

// Hosts returns the hosts in this host's list.
func (s *peerService) Hosts(_ peer.Empty, reply *peer.HostsReply) error {
	for _, host := range s.host.members.All() {
		reply.Hosts = append(reply.Hosts, host.HostEntry)
	}
	return nil
}

// Status returns this host's identity and state: the answer to a heartbeat.
func (s *peerService) Status(_ peer.Empty, reply *peer.StatusReply) error {
	reply.Host = s.host.config.Name
	reply.Incarnation = s.host.entry.Incarnation
	reply.Applied = s.host.view.Applied()
	reply.Rates = s.host.rates.current()
	reply.Leaving = s.host.leaving.Load()
	return nil
}
