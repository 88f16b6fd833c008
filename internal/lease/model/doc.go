// Package model tests several sessions together: the log's state machine
// (package ownership), the lessors of package lease, backend servers and the
// recovery of sessions whose lessors are lost, with random faults. The tests
// check that no two servers may execute requests for the same slice. The package
// has no code outside its tests.
//
// The tests of package lease model a single session in more detail. A violation
// found only here is therefore in how sessions, the log or recovery interact.
package model
