// Package registry handles the registrations of hosts in the shared state: the own one, which each host writes, and those
// of all hosts, which a leader lists in the plan.
//
// A registration says that an incarnation of a host has started and wants to be listed. It does not say that this
// incarnation still runs, nor that another one has ended: the log may carry out a write seconds after its host has given it
// up, when a later incarnation of the host has registered. Only one record of each host is kept, so such a write
// hides the registration of the incarnation that runs. That one notices when it reads the topic, and registers again. What
// proves the end of an incarnation is a matter of package leader.
//
// A malformed record is an error for the reader, which skips it. Package edge reads and writes the topic.
package registry

import (
	"time"

	"github.com/poplarcroft/poplarcroft/internal/assign"
	"github.com/poplarcroft/poplarcroft/internal/follow"
)

// rewriteInterval is the least time between two writes of a registration. It bounds the calls of two hosts that run under
// the same name by mistake.
const rewriteInterval = 500 * time.Millisecond

// Registration decides when this host's registration must be written. It must be used by one goroutine only.
type Registration struct {
	self assign.Host
	// valid is set while the newest record under this host's key, as far as known, is of this incarnation and of the present
	// era of the log. position is the position of that record.
	valid    bool
	position follow.Position
	// written is set after the first successful write, and writtenAt is the time of the last one.
	written   bool
	writtenAt time.Duration
}

// NewRegistration returns the registration of a host that has not registered yet.
func NewRegistration(self assign.Host) *Registration {
	return &Registration{self: self}
}

// Due reports whether the registration must be written now. Times are readings of the host's monotonic clock.
func (r *Registration) Due(now time.Duration) bool {
	return !r.valid && (!r.written || now-r.writtenAt >= rewriteInterval)
}

// Record returns the value of the record to write, in the era of the log with the given number.
func (r *Registration) Record(era uint64) ([]byte, error) {
	host := r.self
	host.Era = era
	return encode(host)
}

// Written records that a record for the era with the given number has been written at a position. If the log has been
// restored meanwhile, the registration is due again.
func (r *Registration) Written(position follow.Position, era uint64, now time.Duration) {
	r.written, r.writtenAt = true, now
	r.valid = position.Era == follow.UnknownEra || position.Era.Number() == era
	r.position = position
}

// Observe takes a record under this host's key that was read in the given era. It returns true if the record has replaced
// this incarnation's registration.
func (r *Registration) Observe(record follow.Record, era follow.Era) (replaced bool) {
	if r.valid && era.Number() == r.position.Era.Number() && record.Offset < r.position.Offset {
		return false
	}
	wasValid := r.valid
	r.valid = r.isOwn(record, era)
	if r.valid {
		r.position = follow.Position{Era: era, Offset: record.Offset}
	}
	return wasValid && !r.valid
}

// isOwn reports whether a record is of this incarnation and of the era in which it was read.
func (r *Registration) isOwn(record follow.Record, era follow.Era) bool {
	if len(record.Value) == 0 {
		return false
	}
	host, err := decode(record.Value)
	return err == nil && host.SameIncarnation(r.self) && host.Era >= era.Number()
}

// Restored records that the log has been restored from an older copy, which may have lost the registration.
func (r *Registration) Restored() {
	r.valid = false
}
