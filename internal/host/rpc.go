package host

import (
	"context"
	"time"

	"github.com/poplarcroft/poplarcroft/internal/keeper"
	"github.com/poplarcroft/poplarcroft/internal/peer"
	"github.com/poplarcroft/poplarcroft/internal/record"
)

// adoptLimit bounds the activation of slices for another host.
const adoptLimit = 300 * time.Millisecond

// peerService answers the calls of other hosts. Its methods are called by net/rpc.
type peerService struct {
	host *Host
}

// keeper returns the keeper of a session, nil where this host is no lessor of it.
func (s *peerService) keeper(id record.SessionID) *keeper.Keeper {
	s.host.mu.RLock()
	defer s.host.mu.RUnlock()
	return s.host.keepers[id]
}

// meant reports whether a call was meant for this incarnation of the host.
func (s *peerService) meant(incarnation string) bool {
	return incarnation == s.host.entry.Incarnation
}

// Lead answers a lessor that asks for consent.
func (s *peerService) Lead(args peer.LeadArgs, reply *peer.LeadReply) error {
	k := s.keeper(args.Request.Session)
	if k == nil || !s.meant(args.Incarnation) {
		return nil
	}
	reply.Known = true
	reply.Reply = k.HandleLead(args.Request)
	return nil
}

// Close answers a lessor that asks to close a session.
func (s *peerService) Close(args peer.CloseArgs, reply *peer.CloseReply) error {
	k := s.keeper(args.Request.Session)
	if k == nil || !s.meant(args.Incarnation) {
		return nil
	}
	reply.Known = true
	reply.Reply, reply.Entries = k.JoinClose(args.Request)
	return nil
}

// LeadOf answers which host leads a session as far as this lessor knows.
func (s *peerService) LeadOf(args peer.SessionArgs, reply *peer.LeadOfReply) error {
	if k := s.keeper(args.Session); k != nil {
		reply.Known = true
		reply.Lead, _ = k.Lead()
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

// Adopt activates slices at a session whose lead this host is.
func (s *peerService) Adopt(args peer.AdoptArgs, reply *peer.AdoptReply) error {
	k := s.keeper(args.Session)
	if k == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), adoptLimit)
	defer cancel()
	reply.Adopted = k.Adopt(ctx, args.Slices, args.Entries, args.Complete)
	reply.Lead, _ = k.Lead()
	return nil
}

// Retired answers whether this host acts under no older version of a session.
func (s *peerService) Retired(args peer.RetiredArgs, reply *peer.RetiredReply) error {
	if k := s.keeper(args.Session); k != nil && s.meant(args.Incarnation) {
		reply.Retired, reply.Entries = k.Retired(args.Version)
	}
	return nil
}

// Hold keeps the claim of a request ID for a session's lead.
func (s *peerService) Hold(args peer.HoldArgs, reply *peer.CopyReply) error {
	if k := s.keeper(args.Session); k != nil {
		reply.Kept = k.HoldClaim(args.From, args.Claim)
	}
	return nil
}

// Copy keeps request IDs for a session's lead.
func (s *peerService) Copy(args peer.CopyArgs, reply *peer.CopyReply) error {
	if k := s.keeper(args.Session); k != nil {
		reply.Kept = k.KeepCopies(args.From, args.Entries)
	}
	return nil
}

// Memory returns the request IDs that this host remembers of a session.
func (s *peerService) Memory(args peer.MemoryArgs, reply *peer.MemoryReply) error {
	if k := s.keeper(args.Session); k != nil {
		reply.Entries, reply.Known = k.Memory(args.From)
	}
	return nil
}

// Suspects takes in another host's evidence against requests.
func (s *peerService) Suspects(args peer.SuspectsArgs, _ *peer.Empty) error {
	s.host.guard.Import(args.Records)
	return nil
}

// Remembered returns the request IDs that this host remembers of slices, also
// those of sessions that have ended a moment ago.
func (s *peerService) Remembered(args peer.RememberedArgs, reply *peer.RememberedReply) error {
	s.host.mu.RLock()
	defer s.host.mu.RUnlock()
	for _, k := range s.host.keepers {
		reply.Entries = append(reply.Entries, k.Remembered(args)...)
	}
	reply.Entries = append(reply.Entries, s.host.witness.Snapshot(args.Matches)...)
	return nil
}

// Witness keeps request IDs of a session that this host is no lessor of.
func (s *peerService) Witness(args peer.WitnessArgs, _ *peer.Empty) error {
	s.host.witness.Merge(args.Entries)
	return nil
}

// Snapshot returns the host's folded state of the log.
func (s *peerService) Snapshot(_ peer.Empty, reply *peer.SnapshotReply) error {
	data, offset, err := s.host.view.Snapshot()
	reply.Data = data
	reply.Offset = offset
	return err
}

// Hosts returns the hosts that this one knows.
func (s *peerService) Hosts(_ peer.Empty, reply *peer.HostsReply) error {
	for _, host := range s.host.members.All() {
		reply.Hosts = append(reply.Hosts, host.HostEntry)
	}
	return nil
}

// Status returns what the host says of itself.
func (s *peerService) Status(_ peer.Empty, reply *peer.StatusReply) error {
	reply.Host = s.host.config.Name
	reply.Incarnation = s.host.entry.Incarnation
	reply.Applied = s.host.view.Applied()
	reply.Rates = s.host.rates.current()
	reply.Leaving = s.host.leaving.Load()
	return nil
}
