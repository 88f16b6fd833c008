// Package limit admits requests to one backend server. It keeps the number of
// requests in execution within the server's slots, starts a new server with few
// slots and raises them over its cold start, queues what exceeds them with a
// fair share for each flow, and refuses at once what cannot be served in time.
//
// Admission is the state machine. It has no goroutines, locks or clock: every
// method takes the time. Gate makes it usable by concurrent requests.
//
// The limits are exact because one host at a time, the session's lead, sends to
// a keyed backend server. A host that becomes the lead calls Inherit, so that
// requests which the former lead sent keep their slots until they have ended.
package limit

import (
	"time"

	"github.com/poplarcroft/poplarcroft/internal/settings"
)

// Config holds the limits of one backend server.
type Config struct {
	// Slots is the number of requests in execution that a warm server gets.
	Slots int
	// ColdStartSlots is the number that it gets when it has just started.
	ColdStartSlots int
	// ColdStartTime is the time from its start until it gets all slots.
	ColdStartTime time.Duration
	// QueueLimit is the largest number of waiting requests.
	QueueLimit int
}

// ConfigFrom returns the limits in the settings.
func ConfigFrom(values settings.Values) Config {
	return Config{
		Slots:          values.Slots,
		ColdStartSlots: values.ColdStartSlots,
		ColdStartTime:  values.ColdStartTime,
		QueueLimit:     values.QueueLimit,
	}
}

// normal returns the config with negative and contradictory limits corrected.
func (c Config) normal() Config {
	c.Slots = max(c.Slots, 0)
	c.ColdStartSlots = min(max(c.ColdStartSlots, 1), c.Slots)
	c.ColdStartTime = max(c.ColdStartTime, 0)
	c.QueueLimit = max(c.QueueLimit, 0)
	return c
}

// SlotsAt returns the number of slots of a server that started the given time ago.
func (c Config) SlotsAt(age time.Duration) int {
	c = c.normal()
	if age >= c.ColdStartTime {
		return c.Slots
	}
	if age <= 0 {
		return c.ColdStartSlots
	}
	rise := float64(c.Slots-c.ColdStartSlots) * float64(age) / float64(c.ColdStartTime)
	return c.ColdStartSlots + int(rise)
}

// nextStep returns the age above the given one at which SlotsAt rises, and
// false where it rises no more.
func (c Config) nextStep(age time.Duration) (time.Duration, bool) {
	c = c.normal()
	rise := c.Slots - c.ColdStartSlots
	if age >= c.ColdStartTime || rise == 0 {
		return 0, false
	}
	step := c.SlotsAt(age) - c.ColdStartSlots + 1
	// The next nanosecond is added so that rounding never wakes too early.
	at := time.Duration(float64(c.ColdStartTime)*float64(step)/float64(rise)) + 1
	return min(max(at, age+1), c.ColdStartTime), true
}
