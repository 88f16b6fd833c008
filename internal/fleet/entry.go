// Package fleet holds what one host knows about the backend servers: their entries in the service
// discovery, and a health estimate from the host's own requests. It chooses servers for requests
// without a key.
//
// Package edge updates the entries and evacuated zones. Package front chooses servers and
// reports how each attempt ended. Package leader reads the entries to assign keys. The
// estimates differ between hosts, since each has only its own requests and the load
// that servers report with their answers. If they are wrong, requests go to slow, full or failed
// servers, or a cold server gets more than it can execute.
package fleet

import "time"

// ID identifies a backend server. It can stay the same when the server restarts, so an
// incarnation is identified by ID and Born together.
type ID string

// Entry is a backend server's entry in the service discovery.
type Entry struct {
	ID      ID
	Service string
	Addr    string
	Zone    string
	// Slots is the number of requests that the server executes at a time.
	Slots int
	// Draining says that the server is shutting down and gets no new requests.
	Draining bool
	// Missing says that the entry has disappeared and may come back, as after an outage of
	// the service discovery. The server gets requests only if there is no other.
	Missing bool
	// ColdFor is how much longer the server is cold (warming up after its start), as of the
	// time at which the entry was written.
	ColdFor time.Duration
	// Born is the start time of this incarnation by the server's own clock, in Unix milliseconds.
	Born int64
	// Sequence numbers the entries of one incarnation.
	Sequence int64
}

// SameIncarnation reports whether both entries belong to the same incarnation of a server.
func (e Entry) SameIncarnation(other Entry) bool {
	return e.ID == other.ID && e.Born == other.Born && e.Addr == other.Addr && e.Service == other.Service
}

// Succeeds reports whether the entry shows that the server of a former one has ended: it is of a later incarnation of the same
// server, or of a later server of the same service at its address. An entry of another service shows nothing, whatever its
// address: it may be another writer's, and which services there are is known only by the configuration, which changes.
func (e Entry) Succeeds(former Entry) bool {
	sameServer := e.ID == former.ID
	sameAddr := e.Addr == former.Addr && e.Service == former.Service
	return (sameServer || sameAddr) && e.Born > former.Born
}

// LoadReport is the load that a server reports with an answer, in numbers of requests.
type LoadReport struct {
	Running, Waiting int
}
