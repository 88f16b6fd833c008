package host

import (
	"context"
	"time"

	"github.com/poplarcroft/poplarcroft/internal/backend"
	"github.com/poplarcroft/poplarcroft/internal/loop"
	"github.com/poplarcroft/poplarcroft/internal/ownership"
	"github.com/poplarcroft/poplarcroft/internal/planner"
	"github.com/poplarcroft/poplarcroft/internal/record"
	"github.com/poplarcroft/poplarcroft/internal/settings"
)

// recoverDelay is how long a session must have been without a quorum of its lessors
// before a host recovers it.
const recoverDelay = time.Second

// recoverTask returns the task that closes a session whose lessors are lost.
func (h *Host) recoverTask(recovery planner.Recovery) task {
	return task{
		name:    "recover " + recovery.Session.Addr,
		subject: recovery.Session.Addr,
		zone:    recovery.Session.Zone,
		minAge:  recoverDelay,
		act: func(ctx context.Context) {
			h.recoverSession(ctx, recovery)
		},
	}
}

// recoverSession closes a session that has lost its lessors. It needs two
// confirmations: the session's server has ended the session, or an operator has
// declared the server lost; and every server that the lost lessors may have activated
// as a successor has dropped the slices. After that none of them serves the slices.
func (h *Host) recoverSession(ctx context.Context, recovery planner.Recovery) {
	if !h.declaredLost(recovery.Session.Addr) && !h.endSessionAtServer(ctx, recovery.Session) {
		loop.Sleep(ctx, probeTimeout)
		return
	}
	for _, succession := range recovery.Successors {
		if !h.dropSlicesAtSuccessor(ctx, succession) {
			loop.Sleep(ctx, probeTimeout)
			return
		}
	}
	h.append(ctx, record.Record{Kind: record.KindClose, Close: &record.Close{
		Session: recovery.Session.ID,
		By:      []string{h.config.Name},
		Reason:  "lessors lost, ended by the server's word",
		Base:    recovery.Session.Version,
	}})
}

// declaredLost reports whether an operator has marked the server as lost.
func (h *Host) declaredLost(addr string) bool {
	lost := false
	h.view.Read(func(_ *settings.State, table *ownership.Table) {
		lost = table.Mark(record.SubjectServer, addr).State == record.MarkLost
	})
	return lost
}

// endSessionAtServer ends the session at its server and reports whether the server can
// no longer serve under it. A server that runs under another incarnation has ended it.
// A server whose lease is still valid is left alone: its lessors work, and this host
// is partitioned from them. For a server that does not check epochs only another
// incarnation proves that it serves nothing under the session.
func (h *Host) endSessionAtServer(ctx context.Context, session ownership.Session) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	reply, err := h.servers.Grant(ctx, session.Addr, backend.GrantRequest{})
	if err != nil || reply.LeaseValid(uint64(session.ID), session.Incarnation) {
		return false
	}
	if !h.checksEpochs(session.Service) {
		return reply.Incarnation != session.Incarnation
	}
	reply, err = h.servers.Grant(ctx, session.Addr, backend.GrantRequest{
		Session:     uint64(session.ID),
		Incarnation: session.Incarnation,
		End:         true,
	})
	return err == nil && reply.SessionEnded(uint64(session.ID), session.Incarnation)
}

// checksEpochs reports whether the servers of a service check epochs.
func (h *Host) checksEpochs(service string) bool {
	found, ok := directory{h}.Service(service)
	return ok && found.Values.ChecksEpochs
}

// dropSlicesAtSuccessor makes a possible successor drop the slices that it may have
// taken over, and reports whether it confirmed.
func (h *Host) dropSlicesAtSuccessor(ctx context.Context, succession planner.SuccessorSlices) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	grant := backend.GrantRequest{
		Session:     uint64(succession.Session.ID),
		Incarnation: succession.Session.Incarnation,
	}
	for i, key := range succession.Slices {
		grant.Drop = append(grant.Drop, backend.SliceGrant{Slice: key.Slice, Epoch: uint64(succession.Epochs[i])})
	}
	reply, err := h.servers.Grant(ctx, succession.Session.Addr, grant)
	if err != nil {
		return false
	}
	return reply.Applied || reply.SessionEnded(grant.Session, grant.Incarnation)
}
