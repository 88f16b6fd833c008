// Package model holds tests that run the log's fold, the lessors of several
// sessions, backend servers and recovery together, with random faults, and check
// that no slice is ever served by two servers. It has no code of its own.
package model
