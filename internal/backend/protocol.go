// Package backend defines the protocol between a host and a backend server and holds
// its control client. The data path (package route) sets the headers; package keeper
// renews leases by Client.Grant, and package host opens and recovers sessions with it.
//
// Requests go to the server's own HTTP address with the caller's method, path
// below the key, query and body, and with the headers named here. Grants, load
// reports and drain requests go to paths below /_poplarcroft/.
//
// A server that checks epochs executes a keyed request only while its lease is
// valid on its own clock and it holds the request's slice under the request's
// epoch, which is a fencing token. It rejects any other request with 421 and the
// header Poplarcroft-Outcome set to "not-run".
//
// A grant states the end of the lease as a reading of the server's own clock, which
// the host computes from the clock in an earlier reply. A delayed grant therefore does
// not make the lease last longer. An error of a control call leaves open whether it
// took effect; grants are idempotent and may be sent again.
package backend

// Headers between hosts and backend servers, and towards callers.
const (
	// HeaderService names the service of a request.
	HeaderService = "Poplarcroft-Service"
	// HeaderKey carries the request's key.
	HeaderKey = "Poplarcroft-Key"
	// HeaderSlice carries the slice number as decimal.
	HeaderSlice = "Poplarcroft-Slice"
	// HeaderEpoch carries the epoch of the slice's owner as decimal.
	HeaderEpoch = "Poplarcroft-Epoch"
	// HeaderSession carries the server session as decimal.
	HeaderSession = "Poplarcroft-Session"
	// HeaderRequestID carries the unique ID of a request, the same for all its attempts.
	HeaderRequestID = "Poplarcroft-Request-Id"
	// HeaderTimeoutMS carries the time until the request's deadline in milliseconds.
	HeaderTimeoutMS = "Poplarcroft-Timeout-Ms"
	// HeaderOutcome carries done, not-run or unknown.
	HeaderOutcome = "Poplarcroft-Outcome"
	// HeaderReason carries the reason why a request was rejected.
	HeaderReason = "Poplarcroft-Reason"
	// HeaderIncarnation carries the incarnation of the server that answered.
	HeaderIncarnation = "Poplarcroft-Incarnation"
	// HeaderIdempotencyKey carries the caller's own ID of a request, the same for its retries.
	HeaderIdempotencyKey = "Idempotency-Key"
)

// Paths of a backend server's control interface. PathGrant takes a GrantRequest by POST,
// PathLoad returns a LoadReport, and PathDrain starts draining by POST and ends it by DELETE.
const (
	PathGrant = "/_poplarcroft/grant"
	PathLoad  = "/_poplarcroft/load"
	PathDrain = "/_poplarcroft/drain"
)

// SliceGrant is the right to serve one slice under an epoch.
type SliceGrant struct {
	Slice int    `json:"slice"`
	Epoch uint64 `json:"epoch"`
}

// GrantRequest renews or changes a server's lease. It is applied as a whole or not
// at all. Add is ignored for a slice that the server already holds or has dropped
// under an epoch at least as high. Drop takes a slice away: the server finishes its
// requests for the slice, then answers, and never serves the slice under that or a
// lower epoch again.
type GrantRequest struct {
	// Session is the session that the lease belongs to. A higher session
	// replaces a lower one and takes nothing over from it.
	Session uint64 `json:"session"`
	// Incarnation is the incarnation of the server that the grant is for; empty on the first contact.
	Incarnation string `json:"incarnation"`
	// ValidUntilMS is the end of the lease on the server's clock, in
	// milliseconds. It never shortens a lease.
	ValidUntilMS int64        `json:"valid_until_ms"`
	Add          []SliceGrant `json:"add,omitempty"`
	Drop         []SliceGrant `json:"drop,omitempty"`
	// End ends the session at once: the server stops serving under it.
	End bool `json:"end,omitempty"`
}

// GrantReply is a server's state after a grant. Applied is false if the
// grant named another incarnation or a lower session than the server's own.
type GrantReply struct {
	Applied     bool   `json:"applied"`
	Incarnation string `json:"incarnation"`
	Session     uint64 `json:"session"`
	// Ended is set once the server has ended the session; it never serves under it again.
	Ended bool `json:"ended"`
	// ClockMS is the server's monotonic clock in milliseconds, read before
	// the reply was sent.
	ClockMS int64 `json:"clock_ms"`
	// ValidUntilMS is the end of the session's lease on the same clock.
	ValidUntilMS int64 `json:"valid_until_ms"`
	// Holds lists the slices that the server holds.
	Holds []SliceGrant `json:"holds"`
	// GaveUp lists, for each slice that was dropped in this session, the highest epoch
	// under which it was dropped.
	GaveUp   []SliceGrant `json:"gave_up"`
	InFlight int          `json:"in_flight"`
	Draining bool         `json:"draining"`
}

// SessionEnded reports whether the reply proves that the server can no longer serve
// under the given session and incarnation: it has another incarnation, a higher
// session, or has ended this one.
func (r GrantReply) SessionEnded(session uint64, incarnation string) bool {
	if r.Incarnation != incarnation || r.Session > session {
		return true
	}
	return r.Session == session && r.Ended
}

// LeaseValid reports whether the server holds a lease of the session that has not
// expired, which means that a primary has renewed it recently.
func (r GrantReply) LeaseValid(session uint64, incarnation string) bool {
	return !r.SessionEnded(session, incarnation) && r.Session == session && r.ClockMS < r.ValidUntilMS
}

// LoadReport is a server's own report of its load. It lags and may be wrong, so it is only
// one of the inputs of load balancing.
type LoadReport struct {
	Incarnation string `json:"incarnation"`
	InFlight    int    `json:"in_flight"`
	Queued      int    `json:"queued"`
	Slots       int    `json:"slots"`
	// Load is the number of requests in flight or queued, per slot.
	Load float64 `json:"load"`
	// Warm is the progress of the server's warm-up, from 0 (cold) to 1 (warm).
	Warm     float64 `json:"warm"`
	Draining bool    `json:"draining"`
	// AgeMS is the age of the report in milliseconds.
	AgeMS int64 `json:"age_ms"`
}
