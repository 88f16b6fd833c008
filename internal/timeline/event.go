// Package timeline records what the processes of the system do as events, and merges
// the events of several processes into one order.
//
// Every host has a Recorder, which keeps the latest events in memory for the
// administration API and can write them to a file. Recording never blocks: events
// are dropped and counted if the file cannot keep up. The operators' command merges,
// filters, prints and plots the events of several hosts. The clocks of hosts differ,
// so events are ordered by the log offset that their process had applied; see Merge.
package timeline

import (
	"github.com/poplarcroft/poplarcroft/internal/logservice"
	"github.com/poplarcroft/poplarcroft/internal/record"
)

// Kind names what an event reports.
type Kind string

// Kinds of events. The names are on the wire and in files: lead is what the rest of
// the code calls primary, silent means unresponsive, refused means rejected.
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

// Event is one thing that a process did or observed. Fields that do not apply are zero.
type Event struct {
	// TimeMS is the process's wall clock in Unix milliseconds. Merge uses it only to
	// order events with equal offsets.
	TimeMS int64 `json:"time_ms"`
	// Host is the host whose process recorded the event.
	Host string `json:"host"`
	// Incarnation identifies the process among those that have run under the host's name.
	Incarnation string `json:"incarnation,omitempty"`
	// Seq numbers the events of one process from 1 on.
	Seq uint64 `json:"seq"`
	// Kind names what the event reports.
	Kind Kind `json:"kind"`
	// Offset is the highest log offset that the process had applied at the event.
	Offset  logservice.Offset `json:"offset"`
	Session record.SessionID  `json:"session,omitempty"`
	Service string            `json:"service,omitempty"`
	// Slice is the slice number, nil if the event is not about a slice.
	Slice  *int         `json:"slice,omitempty"`
	Epoch  record.Epoch `json:"epoch,omitempty"`
	Key    string       `json:"key,omitempty"`
	Server string       `json:"server,omitempty"`
	Zone   string       `json:"zone,omitempty"`
	Detail string       `json:"detail,omitempty"`
}

// SliceNumber returns a pointer to the slice number, for the Slice field of an Event.
func SliceNumber(slice int) *int {
	return &slice
}
