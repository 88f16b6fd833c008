// Package limit is the concurrency limiter for one backend server.
//
// A server executes at most as many requests at a time as it has slots. A server
// that has just started gets few slots, and their number rises linearly over its
// cold start (slow start). A server that sheds load gets fewer slots until it has
// recovered. Requests beyond the slots wait in a bounded queue with fair queueing
// by flow. A request that cannot start before its deadline, or finds the queue
// full, is rejected at once as not run, with a time after which to retry.
//
// The primary host of a session, which alone sends to a keyed backend server, has
// one Limiter per session (package route). Because only one host sends, the limits
// are exact. A host that becomes the primary calls Inherit, which reserves slots
// for requests that the former primary sent and that may still be running.
// (Names on the wire call the primary the lead.)
//
// AdmissionController is the state machine. It has no goroutines, locks or clock:
// every method takes the time. Limiter makes it usable by concurrent requests.
package limit

import (
	"time"

	"github.com/poplarcroft/poplarcroft/internal/settings"
)

// Config holds the limits of one backend server.
type Config struct {
	// Slots is the number of requests that a warm server executes at a time.
	Slots int
	// ColdStartSlots is the number of slots of a server that has just started.
	ColdStartSlots int
	// ColdStartTime is the time from its start until it gets all slots.
	ColdStartTime time.Duration
	// QueueLimit is the maximum number of queued requests.
	QueueLimit int
}

// ConfigFrom returns the limits that the settings of a service give.
func ConfigFrom(values settings.Values) Config {
	return Config{
		Slots:          values.Slots,
		ColdStartSlots: values.ColdStartSlots,
		ColdStartTime:  values.ColdStartTime,
		QueueLimit:     values.QueueLimit,
	}
}

// normalized returns the config with negative limits raised to zero and
// ColdStartSlots brought between 1 and Slots.
func (c Config) normalized() Config {
	c.Slots = max(c.Slots, 0)
	c.ColdStartSlots = min(max(c.ColdStartSlots, 1), c.Slots)
	c.ColdStartTime = max(c.ColdStartTime, 0)
	c.QueueLimit = max(c.QueueLimit, 0)
	return c
}

// SlotsAt returns the number of slots of a server that started the given time ago.
func (c Config) SlotsAt(age time.Duration) int {
	c = c.normalized()
	if age >= c.ColdStartTime {
		return c.Slots
	}
	if age <= 0 {
		return c.ColdStartSlots
	}
	rise := float64(c.Slots-c.ColdStartSlots) * float64(age) / float64(c.ColdStartTime)
	return c.ColdStartSlots + int(rise)
}

// nextSlotIncrease returns the first age above the given one at which SlotsAt
// rises, or false if it rises no more.
func (c Config) nextSlotIncrease(age time.Duration) (time.Duration, bool) {
	c = c.normalized()
	rise := c.Slots - c.ColdStartSlots
	if age >= c.ColdStartTime || rise == 0 {
		return 0, false
	}
	step := c.SlotsAt(age) - c.ColdStartSlots + 1
	// One nanosecond is added so that rounding never yields an age at which the
	// slot is not there yet.
	at := time.Duration(float64(c.ColdStartTime)*float64(step)/float64(rise)) + 1
	return min(max(at, age+1), c.ColdStartTime), true
}
