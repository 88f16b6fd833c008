package front

import (
	"context"
	"encoding/binary"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/poplarcroft/poplarcroft/internal/admission"
	"github.com/poplarcroft/poplarcroft/internal/dispatch"
	"github.com/poplarcroft/poplarcroft/internal/fleet"
)

// Admission asks the dispatchers of pools for slots at servers; see admission.Client.
type Admission interface {
	Uses(service string) bool
	Admit(ctx context.Context, ask admission.Ask) admission.Answer
	Finish(ticket admission.Ticket, end dispatch.PoolEnd, took time.Duration)
	SentAlone(server fleet.ID) (ended func())
}

// place is a server that a request without a key may be sent to.
type place struct {
	server *fleet.Server
	// end must be called once: with the attempt that was made, or with nil if nothing was sent.
	end func(*attempt)
}

// choose returns a server for a request without a key. It returns false and the result of the request if there is none
// now. A pool decides where one is used and its dispatcher answers, and otherwise this host by itself.
func (in *Ingress) choose(ctx context.Context, r *Request, k *keylessRequest) (place, Result, bool) {
	if in.config.Admission == nil || !in.config.Admission.Uses(r.Service.Name) {
		return in.chooseAlone(r, k)
	}
	answer := in.config.Admission.Admit(ctx, admission.Ask{
		Service: r.Service.Name, Account: r.Account, Priority: r.Priority, Caller: callerOf(r),
		Goal: r.Arrived + r.Route.Goal, Deadline: r.Deadline, Work: in.baseline.get(r.Route.Name),
		Excluded: in.excludedFor(r, k),
	})
	switch answer.Outcome {
	case admission.Granted:
		return place{answer.Server, func(a *attempt) {
			end, took := poolEnd(ctx, a)
			in.config.Admission.Finish(answer.Ticket, end, took)
		}}, Result{}, true
	case admission.Denied:
		if ctx.Err() != nil {
			return place{}, in.deadlineResult(k.mayHaveExecuted), false
		}
		if cold, ok := in.leasedCold(r, k.excluded, in.clock()); ok {
			return in.withoutTicket(cold), Result{}, true
		}
		return place{}, notRun(reasonFull, answer.RetryAfter), false
	}
	chosen, result, ok := in.chooseAlone(r, k)
	if ok {
		chosen = in.withoutTicket(chosen.server)
	}
	return chosen, result, ok
}

// withoutTicket returns the place of a request that this host sends to a server of a pool by itself.
func (in *Ingress) withoutTicket(server *fleet.Server) place {
	ended := in.config.Admission.SentAlone(server.Entry().ID)
	return place{server, func(*attempt) { ended() }}
}

// chooseAlone returns the server that this host chooses by itself.
func (in *Ingress) chooseAlone(r *Request, k *keylessRequest) (place, Result, bool) {
	now := in.clock()
	server, ok := in.fleet.Choose(r.Service.Name, k.excluded, in.sharedWithHosts, now)
	if ok {
		return place{in.preferLeasedCold(r, server, k.excluded, now), func(*attempt) {}}, Result{}, true
	}
	if limited, ok := in.fleet.Limited(r.Service.Name, in.sharedWithHosts, now); ok && !k.reachedServer {
		return place{}, in.refusedBy(fleet.RefusedLimit, limited, in.sharedWithHosts(limited)), false
	}
	return place{}, k.last, false
}

// excludedFor returns the servers that a dispatcher must not choose: those chosen before, and those that take no request
// of this host now because of a limit or a pause that they have named.
func (in *Ingress) excludedFor(r *Request, k *keylessRequest) []fleet.ID {
	now := in.clock()
	excluded := append([]fleet.ID(nil), k.excluded...)
	for _, server := range in.fleet.Servers(r.Service.Name) {
		if server.Restricted(now) && !server.Open(in.sharedWithHosts(server), now) {
			excluded = append(excluded, server.Entry().ID)
		}
	}
	return excluded
}

// callerOf returns a number that is the same whenever a caller repeats the request.
func callerOf(r *Request) uint64 {
	return binary.BigEndian.Uint64(r.Fingerprint[:8])
}

// poolEnd returns what a dispatcher learns from an attempt, which is nil if none was made.
func poolEnd(ctx context.Context, a *attempt) (dispatch.PoolEnd, time.Duration) {
	if a == nil || a.outcome == attemptBlocked {
		return dispatch.PoolNotSent, 0
	}
	switch {
	case a.outcome == attemptAnswered, a.outcome == attemptFailed, a.outcome == attemptNotOwner:
		return dispatch.PoolAnswered, a.took
	case a.outcome == attemptShed, a.silent:
		return dispatch.PoolFull, 0
	case a.callerFailed, errors.Is(ctx.Err(), context.Canceled):
		return dispatch.PoolCancelled, 0
	case a.outcome == attemptNotSent && ctx.Err() != nil:
		return dispatch.PoolNotSent, 0
	case a.outcome == attemptNotSent:
		return dispatch.PoolUnreachable, 0
	}
	return dispatch.PoolLost, 0
}
