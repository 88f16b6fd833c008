// Package answer decides what a whole HTTP/1.1 answer is. All connections on which this product reads
// answers pass through Conn: those to backend servers, to other hosts, and to the platform's services.
//
// The HTTP library takes any end of a connection for the end of an answer that has no length. Conn fails the read where it is
// none, so the library reports an error, and the connection is not used again. An answer that failed so proves
// nothing, whatever its status or its fields claim: the request may have been executed.
//
// An answer without a length, which ends with its connection, is whole only once the request has been written whole,
// without an error. Before that, the end says only that the server reads no more. It may be the trace of a reset: the
// kernel reports that once, and a write may have taken the report.
package answer

import (
	"expvar"

	"github.com/cockroachdb/errors"
)

// Fault is what makes bytes no whole answer.
type Fault string

// The faults of answers, as metrics and log lines name them.
const (
	FaultUnsent Fault = "connection ended before the request was written"
)

// ErrFaulty marks the errors of answers that are not whole.
var ErrFaulty = errors.New("answer: not a whole answer")

// faults counts the faults of all answers that the process has read, by their names.
var faults = expvar.NewMap("answer_faults")

// Counts returns the number of faults by name.
func Counts() map[string]int64 {
	counts := make(map[string]int64)
	faults.Do(func(kv expvar.KeyValue) { counts[kv.Key] = kv.Value.(*expvar.Int).Value() })
	return counts
}

// faulty counts a fault and returns it as an error.
func faulty(fault Fault) error {
	faults.Add(string(fault), 1)
	return errors.Mark(errors.Newf("answer: %s", string(fault)), ErrFaulty)
}
