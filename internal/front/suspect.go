package front

import (
	"time"

	"github.com/poplarcroft/poplarcroft/internal/assign"
	"github.com/poplarcroft/poplarcroft/internal/fleet"
	"github.com/poplarcroft/poplarcroft/internal/poison"
)

// A suspect is a request that was in flight when a server crashed. Callers repeat it at several hosts. If each host sent its
// copy, they could crash several servers at once. Therefore a single host sends all copies, one at a time, until one
// succeeds or the request counts as poison. For a key it is the primary of the server; otherwise it is the first
// host in the order of the request's fingerprint. A host that cannot reach it forwards to the stand-in, the next host in
// that order, and refuses the request if neither is reachable. Each copy gets a single attempt.

// suspectRetryAfter is the time after which a caller may repeat a suspect that cannot be sent now.
const suspectRetryAfter = 500 * time.Millisecond

// isSuspect reports whether servers have crashed under the request.
func (in *Ingress) isSuspect(r *Request) bool {
	return in.config.Guard.Check(r.Fingerprint) == poison.Suspect
}

// maySendSuspect reports whether this host may send the request to the server if it is a suspect.
func (in *Ingress) maySendSuspect(r *Request, entry fleet.Entry) bool {
	plan := in.config.Current.Plan()
	if r.Service.Keyed {
		return in.primaries.mayStandIn(plan, assign.ServerOf(entry))
	}
	return in.primaries.mayTry(plan, r.Fingerprint, r.Forwarded)
}

// tryElsewhere reports whether another host has to send a request without a key, since it is a suspect.
func (in *Ingress) tryElsewhere(r *Request) bool {
	return in.isSuspect(r) && !in.primaries.mayTry(in.config.Current.Plan(), r.Fingerprint, r.Forwarded)
}
