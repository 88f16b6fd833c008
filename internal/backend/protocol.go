// Package backend describes the protocol between a host and a backend server,
// and holds its client.
//
// Requests go to the server's own HTTP address with the caller's method, path
// below the key, query and body, and with the headers named here. Grants, load
// reports and drain orders go to paths below /_poplarcroft/.
//
// A server that checks epochs executes a keyed request only while its lease is
// valid on its own clock and it holds the request's slice under the request's
// epoch. It refuses any other request with 421 and the header Outcome set to
// "not-run". The end of the lease is stated in the server's own clock, as it
// was told in an earlier reply: a grant that arrives late grants nothing late.
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
	// HeaderRequestID carries the unique ID of a request, the same for all its tries.
	HeaderRequestID = "Poplarcroft-Request-Id"
	// HeaderTimeoutMS carries the time left for the request in milliseconds.
	HeaderTimeoutMS = "Poplarcroft-Timeout-Ms"
	// HeaderOutcome carries done, not-run or unknown.
	HeaderOutcome = "Poplarcroft-Outcome"
	// HeaderReason carries the reason of a refusal.
	HeaderReason = "Poplarcroft-Reason"
	// HeaderIncarnation carries the incarnation of the server that answered.
	HeaderIncarnation = "Poplarcroft-Incarnation"
	// HeaderIdempotencyKey is the caller's name of a request.
	HeaderIdempotencyKey = "Idempotency-Key"
)

// Paths of a backend server's control interface.
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

// GrantRequest renews or changes a server's lease. All of it applies, or
// none. Add is ignored for a slice that the server already holds or gave up
// under an epoch at least as high. Drop ends a slice: the server finishes what
// it has for it, then answers; a slice dropped under an epoch is never served
// under that or a lower epoch again.
type GrantRequest struct {
	// Session is the session that the lease belongs to. A higher session
	// replaces a lower one and takes nothing over from it.
	Session uint64 `json:"session"`
	// Incarnation is the incarnation meant; empty on the first contact.
	Incarnation string `json:"incarnation"`
	// ValidUntilMS is the end of the lease on the server's clock, in
	// milliseconds. It never shortens a lease.
	ValidUntilMS int64        `json:"valid_until_ms"`
	Add          []SliceGrant `json:"add,omitempty"`
	Drop         []SliceGrant `json:"drop,omitempty"`
	// End closes the session at once: the server stops serving under it.
	End bool `json:"end,omitempty"`
}

// GrantReply is a server's state after a grant. Applied is false where the
// grant named another incarnation or a lower session than the server's own.
type GrantReply struct {
	Applied     bool   `json:"applied"`
	Incarnation string `json:"incarnation"`
	Session     uint64 `json:"session"`
	// Ended says that the server has ended the session and serves nothing under it again.
	Ended bool `json:"ended"`
	// ClockMS is the server's monotonic clock in milliseconds, read before
	// the reply was sent.
	ClockMS int64 `json:"clock_ms"`
	// ValidUntilMS is the end of the session's lease on the same clock.
	ValidUntilMS int64 `json:"valid_until_ms"`
	// Holds lists the slices that the server holds.
	Holds []SliceGrant `json:"holds"`
	// GaveUp lists the highest epoch under which each slice was dropped in this session.
	GaveUp   []SliceGrant `json:"gave_up"`
	InFlight int          `json:"in_flight"`
	Draining bool         `json:"draining"`
}

// Over reports whether the server can serve nothing under the given session
// and incarnation any more, by its own word.
func (r GrantReply) Over(session uint64, incarnation string) bool {
	if r.Incarnation != incarnation || r.Session > session {
		return true
	}
	return r.Session == session && r.Ended
}

// Leased reports whether the server holds a lease of the session that has not
// ended: somebody has renewed it of late.
func (r GrantReply) Leased(session uint64, incarnation string) bool {
	return !r.Over(session, incarnation) && r.Session == session && r.ClockMS < r.ValidUntilMS
}

// LoadReport is a server's own word on its load. It lags and may mislead.
type LoadReport struct {
	Incarnation string  `json:"incarnation"`
	InFlight    int     `json:"in_flight"`
	Queued      int     `json:"queued"`
	Slots       int     `json:"slots"`
	Load        float64 `json:"load"`
	Warm        float64 `json:"warm"`
	Draining    bool    `json:"draining"`
	AgeMS       int64   `json:"age_ms"`
}
