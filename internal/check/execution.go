// Package check judges what a run of the system did. It reads what the backend
// servers recorded of the requests that they executed and what a load generator
// recorded of its calls, and reports every broken promise: two owners at a time,
// a request executed twice, a lost acknowledged write, a false "not-run".
package check

// NoSlice is the slice of an execution whose request named none.
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
	// RequestID is the router's ID of the request, IdempotencyKey the caller's.
	RequestID      string `json:"request_id"`
	IdempotencyKey string `json:"idempotency_key,omitempty"`
	Method         string `json:"method"`
	// Body is the request's body where it is small, BodyHash its xxhash.
	Body     string `json:"body,omitempty"`
	BodyHash string `json:"body_hash"`
	// StartNS and EndNS are the wall clock's Unix nanoseconds.
	StartNS int64 `json:"start_ns"`
	EndNS   int64 `json:"end_ns"`
	// Aborted says that the execution ended without any effect.
	Aborted bool `json:"aborted,omitempty"`
	// Crashed says that the request made the server crash.
	Crashed bool `json:"crashed,omitempty"`
}
