// Package lease is the state machine of one lessor of one backend server
// session. Package keeper drives it with a clock and messages; the tests here
// and in package model check it under random and exhaustive interleavings.
//
// A session is one incarnation of a backend server, opened by a record of the
// log. A lessor is a host that the log names for a session; a session has up
// to three. One of them is the primary (the wire calls it lead): it has the
// consent of a quorum of the lessors. A consent is exclusive and ends after
// LeadTTL. Only the primary renews the server's lease and sends it requests.
//
// When the server fails, a quorum of the lessors closes the session for good.
// The successors of its slices are activated only after every lease that may
// have been granted has ended. A set of lessors that replaces another is
// sealed once a quorum of the former set refuses older versions; before that
// it must not close the session.
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
