// Package answer decides what a well-formed, whole HTTP/1.1 answer is. All connections on which this product reads
// answers pass through Conn: those to backend servers, to other hosts, and to the platform's services.
//
// The HTTP library is lenient where an answer is malformed, and takes any end of a connection for the end of an answer that
// has no length. Servers in trouble send such answers, and what the library makes of them may not be what the server meant:
// a line that is no field may hide the length. Conn fails the read in place of that, so the library reports an error,
// and the connection is not used again. An answer that failed so proves nothing, whatever its status or its fields claim: the
// request may have been executed.
//
// An answer is well-formed if
//
//   - its version is HTTP/1.0 or HTTP/1.1 and its status has three digits, from 100 to 599, but is not 101, since
//     nobody asks for another protocol;
//   - each line of its head, and of each interim answer before it, is a field: a name that is a token, a colon, and a value
//     without control characters. Folded lines, which are obsolete, hide fields and are none;
//   - no version 1.0 answer has a Transfer-Encoding, which that version does not know.
//
// An answer without a length, which ends with its connection, is whole only once the request has been written whole,
// without an error. Before that, the end says only that the server reads no more. It may be the trace of a reset: the
// kernel reports that once, and a write may have taken the report.
package answer

import (
	"expvar"
	"net/http"

	"github.com/cockroachdb/errors"
	"golang.org/x/net/http/httpguts"
)

// Fault is what makes bytes no well-formed, whole answer.
type Fault string

// The faults of answers, as metrics and log lines name them.
const (
	FaultStatus   Fault = "malformed status line"
	FaultField    Fault = "malformed field in the head"
	FaultFraming  Fault = "transfer encoding in version 1.0"
	FaultTrailer  Fault = "malformed field in the trailer"
	FaultUnsent   Fault = "connection ended before the request was written"
	FaultHeadSize Fault = "head is too large"
)

// ErrFaulty marks the errors of answers that are not well-formed or not whole.
var ErrFaulty = errors.New("answer: not a well-formed, whole answer")

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

// CheckTrailer returns an error if a field of an answer's trailer is malformed. The HTTP library knows a trailer once it has read the
// whole body.
func CheckTrailer(trailer http.Header) error {
	for name := range trailer {
		if !httpguts.ValidHeaderFieldName(name) {
			return faulty(FaultTrailer)
		}
	}
	return nil
}
