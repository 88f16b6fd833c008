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

func (h *Host) checksEpochs(state *settings.State, service string) bool {
	for _, s := range state.Services() {
		if s.Name == service {
			return s.Values.ChecksEpochs
		}
	}
	return false
}

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

// recoverSession closes a session on the word of its server and of every server
// that its lost lessors may have activated. All of them check epochs, so that
// none serves the slices after it has answered.
func (h *Host) recoverSession(ctx context.Context, recovery planner.Recovery) {
	if !h.endAtServer(ctx, recovery.Session) {
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

// endAtServer ends the session at its server. Another incarnation is as good as its word.
func (h *Host) endAtServer(ctx context.Context, session ownership.Session) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	reply, err := h.servers.Grant(ctx, session.Addr, backend.GrantRequest{
		Session:     uint64(session.ID),
		Incarnation: session.Incarnation,
		End:         true,
	})
	if err != nil {
		return false
	}
	return reply.Over(uint64(session.ID), session.Incarnation)
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
