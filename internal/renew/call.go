package renew

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/poplarcroft/poplarcroft/internal/assign"
	"github.com/poplarcroft/poplarcroft/internal/continuity"
	"github.com/poplarcroft/poplarcroft/internal/grants"
)

// startCall starts a call if the server's link is idle and fewer than the maximum are in flight. Otherwise the grant stays due.
func (r *Renewer) startCall(ctx context.Context, version assign.Fence, own ownGrant) {
	l := r.links[own.assignment.Server.Addr]
	if !l.idle() {
		return
	}
	select {
	case r.callSlots <- struct{}{}:
	default:
		return
	}
	l.calling = true
	own.state.calling = true
	own.state.sent = r.Clock()
	go r.call(ctx, version, own, l, l.conn, l.number)
}

// call sends one grant over a connection and records the result.
func (r *Renewer) call(ctx context.Context, version assign.Fence, own ownGrant, l *link, conn grants.Conn, number continuity.Number) {
	defer r.wakeUp()
	defer func() { <-r.callSlots }()
	err := r.send(ctx, conn, own.id, own.assignment)
	r.mu.Lock()
	defer r.mu.Unlock()
	l.calling = false
	own.state.calling = false
	if err == nil {
		r.noteGranted(version, own, number)
		return
	}
	r.noteFailed(version, own, number, err)
	if !errors.IsAny(err, grants.ErrFenced, grants.ErrRefused, errMayNotRenew) {
		r.noteEnd(l, conn)
	}
}

// noteGranted records that a server has answered a grant. The caller holds the lock.
func (r *Renewer) noteGranted(version assign.Fence, own ownGrant, number continuity.Number) {
	s := own.state
	now := r.Clock()
	if !s.confirmed || s.carrier != number {
		r.logGrant(own, version, number, "granted", "ms", (now - s.sent).Milliseconds())
	}
	if s.carrier != number && number > r.older.than(own.id.fence) {
		r.counts.Linked++
	}
	s.answered = now
	s.confirmed = true
	s.carrier = number
}

// noteFailed records that a grant was refused or not answered. The caller holds the lock.
func (r *Renewer) noteFailed(version assign.Fence, own ownGrant, number continuity.Number, err error) {
	s := own.state
	if errors.Is(err, grants.ErrFenced) {
		s.fenced = true
		r.logGrant(own, version, number, "failed", "err", err.Error())
		return
	}
	if s.confirmed || s.answered == 0 {
		r.logGrant(own, version, number, "failed", "err", err.Error())
	}
	s.confirmed = false
}

// logGrant logs what has become of a call: which grant, for which incarnation of the server it is meant, and over which connection it
// went.
func (r *Renewer) logGrant(own ownGrant, version assign.Fence, number continuity.Number, outcome string, fields ...any) {
	server := own.assignment.Server
	r.Log.Event("grant", append([]any{"service", own.id.service, "keys", own.id.keys.String(), "server", server.ID, "born", server.Born,
		"fence", uint64(own.id.fence), "plan", uint64(version), "conn", uint64(number), "outcome", outcome}, fields...)...)
}

// errMayNotRenew reports that the host may not renew the grant any more: the plan has changed since
// the call was started, or was verified too long ago.
var errMayNotRenew = errors.New("renew: this host may no longer renew the grant")

// send calls the server, after it has checked again that the newest plan allows it.
func (r *Renewer) send(ctx context.Context, conn grants.Conn, id grantID, a assign.Assignment) error {
	plan := r.Current.Plan()
	assignment, found := plan.Lookup(id.service, id.keys.First)
	if !found || assignment.Fence != id.fence || !plan.ShouldRenew(r.Self, assignment) {
		return errMayNotRenew
	}
	if r.Clock()-r.Current.VerifiedAt() > r.Timing.MaxPlanAge {
		return errors.Wrap(errMayNotRenew, "the plan was not verified recently")
	}
	ctx, cancel := context.WithTimeout(ctx, r.Timing.CallTimeout)
	defer cancel()
	return conn.Grant(ctx, a.Server, grants.Grant{
		Range: id.keys, Fence: id.fence, TTL: r.Timing.TTL, Handover: a.Handover,
	})
}
