package route

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/poplarcroft/poplarcroft/internal/backend"
	"github.com/poplarcroft/poplarcroft/internal/outcome"
	"github.com/poplarcroft/poplarcroft/internal/peer"
	"github.com/poplarcroft/poplarcroft/internal/record"
	"github.com/poplarcroft/poplarcroft/internal/transport"
)

// forwarder passes requests on to other hosts.
type forwarder struct {
	host string
	pool *transport.Pool
	// leadOf asks a lessor which host leads a session.
	leadOf func(ctx context.Context, lessor record.Lessor, id record.SessionID) (lead string, ok bool)
}

const (
	// forwardPatience is how long a forwarded request waits before its host is watched.
	forwardPatience = 300 * time.Millisecond
	// watchEvery is the time between two questions whether the host still leads.
	watchEvery = 100 * time.Millisecond
)

// others returns the lessors but one.
func others(lessors []record.Lessor, one record.Lessor) []record.Lessor {
	return slices.DeleteFunc(slices.Clone(lessors), func(l record.Lessor) bool { return l == one })
}

// watch ends the context once the session's other lessors no longer know the
// host as the lead: it may be paused or cut off, and another one serves by then.
func (f *forwarder) watch(ctx context.Context, cancel context.CancelFunc, host string, others []record.Lessor, id record.SessionID) {
	pause := forwardPatience
	for len(others) > 0 {
		wait(ctx, pause)
		pause = watchEvery
		if ctx.Err() != nil {
			return
		}
		if f.leadsNoMore(ctx, host, others, id) {
			cancel()
			return
		}
	}
}

// leadsNoMore reports whether a lessor has answered and none names the host.
func (f *forwarder) leadsNoMore(ctx context.Context, host string, others []record.Lessor, id record.SessionID) bool {
	answered := false
	for _, lessor := range others {
		lead, ok := f.leadOf(ctx, lessor, id)
		if ok && lead == host {
			return false
		}
		answered = answered || ok
	}
	return answered
}

// forward sends the request to the lessor's host. Where no answer comes the
// request may have run; it keeps its ID, so that the session's next lead finds out.
func (f *forwarder) forward(ctx context.Context, lessor record.Lessor, others []record.Lessor, r *Request) Result {
	req, err := r.httpRequest("http://" + lessor.PeerAddr + peer.PathForward)
	if err != nil {
		return Result{Refusal: badRequest(err.Error())}
	}
	req.Header.Set(backend.HeaderSlice, strconv.Itoa(r.Slice))
	req.Header.Set(backend.HeaderSession, strconv.FormatUint(uint64(r.Session), 10))
	req.Header.Set(peer.HeaderForwardedBy, f.host)
	watched, cancel := context.WithCancel(ctx)
	defer cancel()
	go f.watch(watched, cancel, lessor.Host, others, r.Session)
	done := send(watched, f.pool, req)
	if done.err != nil && ctx.Err() != nil && done.maybeSent {
		return unknown(outcome.ReasonDeadline, "the deadline passed before an answer came")
	}
	if done.err != nil {
		result := notRun(outcome.ReasonNotLead, "the host "+lessor.Host+" cannot be reached")
		result.mayRun = done.maybeSent
		return result
	}
	if done.answer.Header.Get(peer.HeaderRefusal) == "" {
		return Result{Answer: done.answer}
	}
	return forwardedRefusal(done.answer)
}

// forwardedRefusal reads another host's refusal from its headers, since the
// answer to a HEAD request has no body. The body adds the detail.
func forwardedRefusal(answer *Answer) Result {
	var result Result
	if len(answer.Body) > 0 && json.Unmarshal(answer.Body, &result.Refusal) != nil {
		return malformedRefusal()
	}
	result.Refusal.Outcome = outcome.Outcome(answer.Header.Get(backend.HeaderOutcome))
	result.Refusal.Reason = outcome.Reason(answer.Header.Get(backend.HeaderReason))
	if result.Refusal.Outcome == "" {
		return malformedRefusal()
	}
	retryAfter, _ := strconv.Atoi(answer.Header.Get("Retry-After"))
	result.Refusal.RetryAfter = time.Duration(retryAfter) * time.Second
	result.Lead = answer.Header.Get(peer.HeaderLead)
	successor, _ := strconv.ParseUint(answer.Header.Get(peer.HeaderSuccessor), 10, 64)
	result.Successor = record.SessionID(successor)
	return result
}

func malformedRefusal() Result {
	return unknown(outcome.ReasonAnswerLost, "another host's refusal is malformed")
}

// ForwardHandler returns the handler for requests that other hosts forward.
func (e *Entry) ForwardHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		r, refusal, ok := readForwarded(req)
		if !ok {
			writeForwarded(w, Result{Refusal: refusal})
			return
		}
		ctx, cancel := context.WithDeadline(req.Context(), r.Deadline)
		defer cancel()
		writeForwarded(w, e.gateway.Serve(ctx, r))
	})
}

func readForwarded(req *http.Request) (*Request, outcome.Refusal, bool) {
	header := req.Header
	path := strings.TrimPrefix(req.URL.EscapedPath(), peer.PathForward)
	parts := strings.SplitN(strings.TrimPrefix(path, "/"), "/", 3)
	slice, sliceErr := strconv.Atoi(header.Get(backend.HeaderSlice))
	session, sessionErr := strconv.ParseUint(header.Get(backend.HeaderSession), 10, 64)
	if len(parts) < 2 || sliceErr != nil || sessionErr != nil || header.Get(backend.HeaderRequestID) == "" {
		return nil, badRequest("malformed forwarded request"), false
	}
	key, err := url.PathUnescape(parts[1])
	if err != nil {
		return nil, badRequest("malformed key"), false
	}
	rest := strings.TrimPrefix(path, "/"+parts[0]+"/"+parts[1])
	r, refusal, ok := readRequest(req, parts[0], parts[1], rest, maxForwardTimeout)
	if !ok {
		return nil, refusal, false
	}
	r.ID = header.Get(backend.HeaderRequestID)
	r.Key = key
	r.Slice = slice
	r.Session = record.SessionID(session)
	return r, outcome.Refusal{}, true
}

// maxForwardTimeout bounds a forwarded request whatever its sender says.
const maxForwardTimeout = 5 * time.Minute

func writeForwarded(w http.ResponseWriter, result Result) {
	if result.Answer != nil {
		writeAnswer(w, result.Answer)
		return
	}
	w.Header().Set(peer.HeaderRefusal, "1")
	if result.Lead != "" {
		w.Header().Set(peer.HeaderLead, result.Lead)
	}
	if result.Successor != 0 {
		w.Header().Set(peer.HeaderSuccessor, strconv.FormatUint(uint64(result.Successor), 10))
	}
	WriteRefusal(w, result.Refusal)
}
