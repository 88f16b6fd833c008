// Package check verifies the system's guarantees on the records of a finished
// run. The backend servers record every request that they execute
// ([Execution]), the callers every call that they make ([Call]). [Run] compares
// both and reports each violation: two owners at the same time, a request that
// was executed twice, an acknowledged write that was lost, a request that was
// reported as not run but took effect.
//
// The tests in scenarios call it after a fault injection run, with the files
// that the stand-in servers write. All times must come from one machine's clock:
// overlaps are found by comparing wall-clock times.
package check

// NoSlice is the value of Execution.Slice for a request that named no slice.
const NoSlice = -1

// Execution is one request that a backend server executed or began to execute.
type Execution struct {
	Server      string `json:"server"`
	Incarnation string `json:"incarnation"`
	Service     string `json:"service"`
	Key         string `json:"key"`
	Slice       int    `json:"slice"`
	Epoch       uint64 `json:"epoch"`
	Session     uint64 `json:"session"`
	// RequestID is the ID that the router gave the request, IdempotencyKey the one that the caller gave.
	RequestID      string `json:"request_id"`
	IdempotencyKey string `json:"idempotency_key,omitempty"`
	Method         string `json:"method"`
	// Body is the request's body if it is small. BodyHash is its xxhash.
	Body     string `json:"body,omitempty"`
	BodyHash string `json:"body_hash"`
	// StartNS and EndNS are wall-clock times in Unix nanoseconds.
	StartNS int64 `json:"start_ns"`
	EndNS   int64 `json:"end_ns"`
	// Aborted is set if the execution ended without any effect.
	Aborted bool `json:"aborted,omitempty"`
	// Crashed is set if the request made the server crash.
	Crashed bool `json:"crashed,omitempty"`
}
