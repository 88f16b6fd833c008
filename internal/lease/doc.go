// Package lease is the state machine of one lessor of one backend server
// session. Package keeper drives it with a clock and messages; the tests here
// and in package model check it under random and exhaustive interleavings.
//
// A session is one incarnation of a backend server, opened by a record of the
// log. A lessor is a host that the log names for a session; a session has up
// to three. One of them is the primary (the wire calls it lead): it has the
// consent of a quorum of the lessors. A lessor consents to one primary at a
// time, for LeadTTL. Only the primary sends requests to the server and renews
// its lease: the time until which the server may execute requests.
//
// When the server fails, a quorum of the lessors closes the session for good.
// Each of its slices then passes to a successor: the session that the log names
// to take it over. Successors are activated only after every lease that may have
// been granted has ended.
//
// A lessor acts for one version of the session at a time and never again for an
// older one. A set of lessors that replaces another is sealed once a quorum of
// the former set acts only for the version that named the new set, or for newer
// ones; before that the new set must not close the session.
//
// What goes wrong where: two hosts that both act as primary, or a successor
// activated while the server may still execute requests, is a fault of this
// package. Lost messages, timeouts and an unavailable log are handled in
// package keeper.
//
// The package performs no I/O, starts no goroutine and reads no clock. Every
// method that needs the time takes it as now, a reading of the host's monotonic
// clock. A reading that accompanies a message must be taken after the message
// was received. Readings of two hosts' clocks are never compared; a duration
// that must not be shorter than one on another clock is lengthened by the
// configured drift.
//
// A lessor keeps its consents in memory. A host that restarts has lost them
// and must not act under its former name: see LessorName.
package lease
