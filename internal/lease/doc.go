// Package lease holds the state machine of one lessor of one backend server
// session.
//
// A session has up to three lessors, named by the log. One of them, the lead,
// holds the consent of a quorum of the lessors for a limited time; only the
// lead renews the server's lease and sends it requests. A quorum of the lessors
// can close the session for good. The successors of its slices are activated
// only after every lease that may have been granted has ended.
//
// The package performs no I/O, starts no goroutine and reads no clock. Every
// method that needs the time takes it as now, a reading of the host's monotonic
// clock. A reading that accompanies a message must be taken after the message
// was received. Readings of two hosts' clocks are never compared; a duration
// that must not be shorter than one on another clock is lengthened by the
// configured drift.
//
// A lessor keeps its promises in memory. A host that restarts has lost them and
// must not act under its former name: see Name.
package lease
