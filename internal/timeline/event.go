// Package timeline records what the system's processes do as events, and
// merges the events of several processes into one order.
package timeline

import (
	"github.com/poplarcroft/poplarcroft/internal/logservice"
	"github.com/poplarcroft/poplarcroft/internal/record"
)

// Kind names what an event reports.
type Kind string

// Kinds of events.
const (
	KindHostStarted      Kind = "host-started"
	KindHostStopping     Kind = "host-stopping"
	KindHostStopped      Kind = "host-stopped"
	KindLogDown          Kind = "log-down"
	KindLogUp            Kind = "log-up"
	KindRecordAccepted   Kind = "record-accepted"
	KindRecordRefused    Kind = "record-refused"
	KindRecordMalformed  Kind = "record-malformed"
	KindSettingsInForce  Kind = "settings-in-force"
	KindMarkInForce      Kind = "mark-in-force"
	KindCheckpoint       Kind = "checkpoint"
	KindSessionOpened    Kind = "session-opened"
	KindSessionClosing   Kind = "session-closing"
	KindSessionClosed    Kind = "session-closed"
	KindLeadGained       Kind = "lead-gained"
	KindLeadLost         Kind = "lead-lost"
	KindLessorsReplaced  Kind = "lessors-replaced"
	KindSliceActivated   Kind = "slice-activated"
	KindSliceDropped     Kind = "slice-dropped"
	KindMovePlanned      Kind = "move-planned"
	KindMoveDone         Kind = "move-done"
	KindServerSilent     Kind = "server-silent"
	KindServerRestarted  Kind = "server-restarted"
	KindServerSlow       Kind = "server-slow"
	KindServerRecovered  Kind = "server-recovered"
	KindServerDraining   Kind = "server-draining"
	KindServerWarm       Kind = "server-warm"
	KindWitnessSilent    Kind = "witness-silent"
	KindRequestUnknown   Kind = "request-unknown"
	KindRequestSuspected Kind = "request-suspected"
	KindRequestPoisoned  Kind = "request-poisoned"
)

// Event is one thing that a process did or saw. Fields that do not apply are zero.
type Event struct {
	// TimeMS is the process's wall clock in Unix milliseconds. It breaks ties only.
	TimeMS int64 `json:"time_ms"`
	// Host is the host whose process recorded the event.
	Host string `json:"host"`
	// Incarnation tells apart the processes that ran one after another under the host's name.
	Incarnation string `json:"incarnation,omitempty"`
	// Seq numbers the events of one process from 1 on.
	Seq uint64 `json:"seq"`
	// Kind names what the event reports.
	Kind Kind `json:"kind"`
	// Offset is the highest log offset that the process had applied.
	Offset  logservice.Offset `json:"offset"`
	Session record.SessionID  `json:"session,omitempty"`
	Service string            `json:"service,omitempty"`
	// Slice is the slice number, nil where the event is about none.
	Slice  *int         `json:"slice,omitempty"`
	Epoch  record.Epoch `json:"epoch,omitempty"`
	Key    string       `json:"key,omitempty"`
	Server string       `json:"server,omitempty"`
	Zone   string       `json:"zone,omitempty"`
	Detail string       `json:"detail,omitempty"`
}

// SliceNumber returns a value for the Slice field of an Event.
func SliceNumber(slice int) *int {
	return &slice
}
