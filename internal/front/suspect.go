package front

import (
	"time"

	"github.com/poplarcroft/poplarcroft/internal/assign"
	"github.com/poplarcroft/poplarcroft/internal/fleet"
	"github.com/poplarcroft/poplarcroft/internal/poison"
)

// A suspect is a request under which a server has crashed. If each host that holds a copy sent it, the copies would crash
// further servers at the same moment. So one host sends them, one after the other, until one succeeds or the request
// counts as poison: for a key the primary of the server, which gets all requests for the key, and otherwise a host that all
// choose alike by the request's fingerprint. A host that cannot reach it goes to the next one, and refuses the
// request if that cannot be reached either. The result of the first copy decides, so a suspect gets a single attempt.

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
