package route

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/poplarcroft/poplarcroft/internal/backend"
	"github.com/poplarcroft/poplarcroft/internal/outcome"
)

// writeAnswer writes a backend server's answer to the caller.
func writeAnswer(w http.ResponseWriter, answer *Answer) {
	header := w.Header()
	for name, values := range endToEnd(answer.Header) {
		header[name] = values
	}
	header.Set(backend.HeaderOutcome, string(outcome.Done))
	// The answer to a HEAD request has a Content-Length but no body: keep the header.
	if len(answer.Body) > 0 || header.Get("Content-Length") == "" {
		header.Set("Content-Length", strconv.Itoa(len(answer.Body)))
	}
	w.WriteHeader(answer.Status)
	w.Write(answer.Body)
}

// WriteRefusal writes a refusal to the caller or, for a forwarded request, to the
// forwarding host: outcome and reason in headers, and all of it as JSON in the body.
func WriteRefusal(w http.ResponseWriter, refusal outcome.Refusal) {
	header := w.Header()
	header.Set(backend.HeaderOutcome, string(refusal.Outcome))
	header.Set(backend.HeaderReason, string(refusal.Reason))
	header.Set("Content-Type", "application/json")
	if refusal.RetryAfter > 0 {
		header.Set("Retry-After", retryAfterSeconds(refusal.RetryAfter))
	}
	w.WriteHeader(refusalStatus(refusal))
	json.NewEncoder(w).Encode(refusal)
}

// retryAfterSeconds formats d in whole seconds, rounded up, at least 1.
func retryAfterSeconds(d time.Duration) string {
	return strconv.Itoa(max(1, int(math.Ceil(d.Seconds()))))
}

// refusalStatus returns the HTTP status of a refusal.
func refusalStatus(refusal outcome.Refusal) int {
	switch refusal.Reason {
	case outcome.ReasonBadRequest:
		return http.StatusBadRequest
	case outcome.ReasonUnknownService:
		return http.StatusNotFound
	case outcome.ReasonDuplicate:
		return http.StatusConflict
	case outcome.ReasonPoison:
		return http.StatusUnprocessableEntity
	case outcome.ReasonDeadline:
		return http.StatusGatewayTimeout
	}
	if refusal.Outcome == outcome.Unknown {
		return http.StatusBadGateway
	}
	return http.StatusServiceUnavailable
}
