package front

import (
	"net/http"
	"strconv"
	"time"

	"github.com/poplarcroft/poplarcroft/internal/transport"
)

// Kind tells what became of a request.
type Kind int

const (
	// Done means that a server's whole answer is known.
	Done Kind = iota + 1
	// NotRun means that no server ran the request and none will.
	NotRun
	// Unknown means that the request may have run.
	Unknown
)

// String returns the name of the kind.
func (k Kind) String() string {
	return [...]string{"", "done", "not-run", "unknown"}[k]
}

// Answer is a server's whole answer.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
}

// Result is the end of a request, or of one try.
type Result struct {
	Kind   Kind
	Answer *Answer
	// Reason says why there is no answer.
	Reason string
	// RetryAfter is when the caller may come back after a refusal.
	RetryAfter time.Duration
}

func notRun(reason string, retryAfter time.Duration) Result {
	return Result{Kind: NotRun, Reason: reason, RetryAfter: retryAfter}
}

func unknown(reason string) Result {
	return Result{Kind: Unknown, Reason: reason}
}

// Reasons of results without an answer.
const (
	reasonDeadline    = "deadline"
	reasonNoServer    = "no server"
	reasonNoHolder    = "no holder of the key"
	reasonNotHeld     = "the server does not hold the key"
	reasonFull        = "servers are full"
	reasonCold        = "server is cold"
	reasonUnreachable = "server is unreachable"
	reasonAnswerLost  = "the answer was lost"
	reasonBudget      = "no retry is left"
	reasonCrashes     = "servers crash that run this request"
	reasonCallerGone  = "the caller has gone"
)

// write sends the result to the caller.
func write(w http.ResponseWriter, result Result) int {
	if result.Kind == Done {
		return writeAnswer(w, result.Answer)
	}
	status := http.StatusServiceUnavailable
	if result.Kind == Unknown {
		status = http.StatusBadGateway
		if result.Reason == reasonDeadline {
			status = http.StatusGatewayTimeout
		}
	}
	if result.Kind == NotRun && result.RetryAfter > 0 {
		w.Header().Set("Retry-After", strconv.FormatFloat(result.RetryAfter.Seconds(), 'f', 3, 64))
	}
	return refuse(w, status, result.Reason)
}

// refuse ends a request with a status of this host's own.
func refuse(w http.ResponseWriter, status int, reason string) int {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.Header().Set("Content-Length", strconv.Itoa(len(reason)+1))
	w.WriteHeader(status)
	w.Write([]byte(reason + "\n"))
	return status
}

func writeAnswer(w http.ResponseWriter, answer *Answer) int {
	header := w.Header()
	for name, values := range transport.EndToEnd(answer.Header) {
		header[name] = values
	}
	// The answer to a HEAD request tells the length of a body that it has not.
	if len(answer.Body) > 0 || header.Get("Content-Length") == "" {
		header.Set("Content-Length", strconv.Itoa(len(answer.Body)))
	}
	w.WriteHeader(answer.Status)
	w.Write(answer.Body)
	return answer.Status
}
