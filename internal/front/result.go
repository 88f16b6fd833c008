package front

import (
	"net/http"
	"strconv"
	"time"
)

// Kind says whether a request was executed.
type Kind int

const (
	// Done means that a server's complete answer is known.
	Done Kind = iota + 1
	// NotRun means that no server has executed or will execute the request.
	NotRun
	// Unknown means that the request may have been executed.
	Unknown
)

// String returns the name of the kind, as it is logged, counted and sent between hosts.
func (k Kind) String() string {
	return [...]string{"", "done", "not-run", "unknown"}[k]
}

// Answer is a server's complete answer.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
	// passedOn says that the caller has got the whole answer already; Body is empty then.
	passedOn bool
}

// Result is the result of a request, or of one attempt.
type Result struct {
	Kind Kind
	// Answer is set only if the kind is Done.
	Answer *Answer
	// Reason says why there is no answer.
	Reason string
	// RetryAfter is the time after which the caller may retry a refused request; zero means that a
	// retry does not help.
	RetryAfter time.Duration
}

func notRun(reason string, retryAfter time.Duration) Result {
	return Result{Kind: NotRun, Reason: reason, RetryAfter: retryAfter}
}

func unknown(reason string) Result {
	return Result{Kind: Unknown, Reason: reason}
}

// Reasons of results without an answer. Callers get them as the body, the counters use them as
// names, and hosts send them to each other.
const (
	reasonDeadline    = "deadline"
	reasonNoServer    = "no server"
	reasonNoOwner     = "no holder of the key"
	reasonNotOwner    = "the server does not hold the key"
	reasonFull        = "servers are full"
	reasonCold        = "server is cold"
	reasonLimited     = "server takes no more requests now"
	reasonUnreachable = "server is unreachable"
	reasonCutOff      = "host reaches no server"
	reasonAnswerLost  = "the answer was lost"
	reasonBudget      = "no retry is left"
	reasonPoison      = "servers crash that run this request"
	reasonSuspect     = "servers crashed that ran this request, and it is tried on another one"
	// reasonTrialElsewhere: only another host may send the request now.
	reasonTrialElsewhere = "servers crashed that ran this request, and another host tries it"
	reasonCallerGone     = "the caller has gone"
	// reasonCallerWasGone: the caller had closed its connection before its request was read.
	reasonCallerWasGone = "the caller had gone before its request was read"
	// reasonBrokeOff: the caller has a part of the answer.
	reasonBrokeOff = "the answer broke off"
	// reasonNotTaken: the caller has not read the answer for too long, or has closed the connection.
	reasonNotTaken = "the caller does not take the answer"
	reasonMemory   = "host has no memory for the answer"
	reasonLink     = "the host's link is busy"
	reasonQuota    = "the account's quota is used up"
	reasonNoShare  = "it is not known yet whether the account's quota is used up"
)

// writeResult answers the caller with a result that is not a server's answer, and returns the HTTP status.
func writeResult(w http.ResponseWriter, result Result) int {
	status := http.StatusServiceUnavailable
	if result.Reason == reasonQuota {
		status = http.StatusTooManyRequests
	}
	if result.Kind == Unknown {
		status = http.StatusBadGateway
		if result.Reason == reasonDeadline {
			status = http.StatusGatewayTimeout
		}
	}
	if result.Kind == NotRun && result.RetryAfter > 0 {
		setRetryAfter(w, result.RetryAfter)
	}
	return writeRefusal(w, status, result.Reason)
}

// writeRefusal answers the caller with a status of this host's own and the reason as the body.
// It returns the status.
func writeRefusal(w http.ResponseWriter, status int, reason string) int {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	setLength(w.Header(), len(reason)+1)
	w.WriteHeader(status)
	w.Write([]byte(reason + "\n"))
	return status
}

// setRetryAfter tells the caller when to come back, in seconds with fractions.
func setRetryAfter(w http.ResponseWriter, after time.Duration) {
	w.Header().Set("Retry-After", strconv.FormatFloat(after.Seconds(), 'f', 3, 64))
}

// setLength sets the Content-Length.
func setLength(header http.Header, length int) {
	header.Set("Content-Length", strconv.Itoa(length))
}
