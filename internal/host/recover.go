package host

import (
	"context"
	"time"

	"github.com/poplarcroft/poplarcroft/internal/backend"
	"github.com/poplarcroft/poplarcroft/internal/duty"
	"github.com/poplarcroft/poplarcroft/internal/ownership"
	"github.com/poplarcroft/poplarcroft/internal/planner"
	"github.com/poplarcroft/poplarcroft/internal/record"
	"github.com/poplarcroft/poplarcroft/internal/settings"
)

// recoverDelay is how long a session stays without a quorum of its lessors
// before its server is asked to end it.
const recoverDelay = time.Second

func (h *Host) recoverNeed(recovery planner.Recovery) need {
	return need{
		name:    "recover " + recovery.Session.Addr,
		subject: recovery.Session.Addr,
		zone:    recovery.Session.Zone,
		wait:    recoverDelay,
		act: func(ctx context.Context) {
			h.recoverSession(ctx, recovery)
		},
	}
}

// recoverSession closes a session on the word of its server, or an operator's
// word that the server is lost, and on that of every server that the lost lessors may
// have activated. None of them serves the slices after it has answered.
func (h *Host) recoverSession(ctx context.Context, recovery planner.Recovery) {
	if !h.declaredLost(recovery.Session.Addr) && !h.endAtServer(ctx, recovery.Session) {
		duty.Wait(ctx, probeTimeout)
		return
	}
	for _, succession := range recovery.Successors {
		if !h.dropAtSuccessor(ctx, succession) {
			duty.Wait(ctx, probeTimeout)
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

func (h *Host) declaredLost(addr string) bool {
	lost := false
	h.view.Read(func(_ *settings.State, table *ownership.Table) {
		lost = table.Mark(record.SubjectServer, addr).State == record.MarkLost
	})
	return lost
}

// endAtServer ends the session at its server. Another incarnation is as good as
// its word. A server whose lease is valid is left alone: its lessors are well, and
// it is this host that is cut off from them. A server that does not check epochs
// proves only by another incarnation that it serves nothing under the session.
func (h *Host) endAtServer(ctx context.Context, session ownership.Session) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	reply, err := h.servers.Grant(ctx, session.Addr, backend.GrantRequest{})
	if err != nil || reply.Leased(uint64(session.ID), session.Incarnation) {
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
	return err == nil && reply.Over(uint64(session.ID), session.Incarnation)
}

func (h *Host) checksEpochs(service string) bool {
	found, ok := directory{h}.Service(service)
	return ok && found.Values.ChecksEpochs
}

// dropAtSuccessor makes a possible successor give up what it may have taken over.
func (h *Host) dropAtSuccessor(ctx context.Context, succession planner.Succession) bool {
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
	return reply.Applied || reply.Over(grant.Session, grant.Incarnation)
}
