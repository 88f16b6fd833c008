// Package fleet keeps what a host knows of the backend servers: their entries in
// the service discovery and what its own requests have shown. It chooses servers
// for services without keys.
package fleet

import "time"

// ID names a backend server. It stays the same over the server's lives if the server keeps it.
type ID string

// Entry is a backend server as the service discovery tells it.
type Entry struct {
	ID      ID
	Service string
	Addr    string
	Zone    string
	// Slots is the number of requests that the server runs at a time.
	Slots int
	// Draining servers are about to leave and get nothing new.
	Draining bool
	// Missing servers have no entry at the moment, which may come back.
	Missing bool
	// ColdFor is how much longer the server is cold, as of the entry's writing.
	ColdFor time.Duration
	// Born is the start of this life of the server by its own clock, in Unix milliseconds.
	Born int64
	// Sequence counts the entries of one life.
	Sequence int64
}

// SameLife reports whether both entries tell of one life of one server.
func (e Entry) SameLife(other Entry) bool {
	return e.ID == other.ID && e.Born == other.Born && e.Addr == other.Addr && e.Service == other.Service
}

// LoadReport is the load that a server tells with an answer.
type LoadReport struct {
	Running, Waiting int
}
