package standin

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"github.com/poplarcroft/poplarcroft/internal/backend"
	"github.com/poplarcroft/poplarcroft/internal/check"
	"github.com/poplarcroft/poplarcroft/internal/outcome"
)

const (
	// HeaderPoison is the header that marks a poison request, one that crashes the
	// server that executes it. Any non-empty value counts.
	HeaderPoison = "Poison"
	// poisonKeyMarker marks a poison request if its key contains this text.
	poisonKeyMarker = "poison"
	// maxRecordedBody is the size in bytes up to which a body is recorded whole. Of
	// a larger one only the hash is recorded.
	maxRecordedBody = 256
)

// Answer is the JSON body of a backend server's response to an executed request.
type Answer struct {
	Key       string `json:"key"`
	RequestID string `json:"request_id"`
	Method    string `json:"method"`
	Server    string `json:"server"`
	// Value is the value last written for the key on this server; for a write, the
	// request's own body.
	Value string `json:"value"`
}

// call is a request that the server processes.
type call struct {
	request *http.Request
	token   fencingToken
	record  check.Execution
	body    string
	poison  bool
	// value is the key's value after the execution, for the response.
	value string
}

func (s *Server) serveRequest(w http.ResponseWriter, r *http.Request) {
	c, err := s.newCall(w, r)
	if err != nil {
		s.reject(w, http.StatusBadRequest, outcome.ReasonBadRequest)
		return
	}
	ctx, cancel := requestContext(r)
	defer cancel()
	if !s.slots.acquire(ctx) {
		s.reject(w, http.StatusServiceUnavailable, outcome.ReasonOverloaded)
		return
	}
	defer s.slots.release()
	e := s.lease.begin(c.token)
	if e == nil {
		s.reject(w, http.StatusMisdirectedRequest, outcome.ReasonNotOwner)
		return
	}
	reason, done := s.execute(ctx, c, e)
	if !done {
		s.reject(w, rejectionStatus(reason), reason)
		return
	}
	s.answer(w, c)
}

// newCall reads the request's body and headers.
func (s *Server) newCall(w http.ResponseWriter, r *http.Request) (*call, error) {
	body, err := readBody(w, r)
	if err != nil {
		return nil, errors.Wrap(err, "read body")
	}
	t, err := s.parseFencingToken(r.Header)
	if err != nil {
		return nil, err
	}
	key := r.Header.Get(backend.HeaderKey)
	c := &call{request: r, token: t, body: string(body)}
	c.poison = r.Header.Get(HeaderPoison) != "" || strings.Contains(key, poisonKeyMarker)
	c.record = check.Execution{
		Server:         r.Host,
		Incarnation:    s.lease.incarnation,
		Service:        s.cfg.Service,
		Key:            key,
		Slice:          t.slice,
		Epoch:          t.epoch,
		Session:        t.session,
		RequestID:      r.Header.Get(backend.HeaderRequestID),
		IdempotencyKey: r.Header.Get(backend.HeaderIdempotencyKey),
		Method:         r.Method,
		BodyHash:       strconv.FormatUint(xxhash.Sum64(body), 16),
	}
	if len(body) <= maxRecordedBody {
		c.record.Body = string(body)
	}
	return c, nil
}

// parseFencingToken reads the slice, epoch and session headers of a request. A
// request without a slice belongs to a service that is not divided by key.
func (s *Server) parseFencingToken(header http.Header) (fencingToken, error) {
	text := header.Get(backend.HeaderSlice)
	if text == "" {
		return fencingToken{slice: check.NoSlice}, nil
	}
	slice, err := strconv.Atoi(text)
	if err != nil {
		return fencingToken{}, errors.Wrap(err, "slice")
	}
	epoch, err := strconv.ParseUint(header.Get(backend.HeaderEpoch), 10, 64)
	if err != nil {
		return fencingToken{}, errors.Wrap(err, "epoch")
	}
	session, err := strconv.ParseUint(header.Get(backend.HeaderSession), 10, 64)
	if err != nil {
		return fencingToken{}, errors.Wrap(err, "session")
	}
	return fencingToken{checked: s.cfg.CheckEpochs, session: session, slice: slice, epoch: epoch}, nil
}

// requestContext returns a context that ends when the client disconnects, or
// after the timeout in the request's header.
func requestContext(r *http.Request) (context.Context, context.CancelFunc) {
	ms, err := strconv.ParseInt(r.Header.Get(backend.HeaderTimeoutMS), 10, 32)
	if err != nil {
		return context.WithCancel(r.Context())
	}
	return context.WithTimeout(r.Context(), time.Duration(ms)*time.Millisecond)
}

// execute executes the request, applies its write and records the execution. It
// returns true if the request took effect, and otherwise the reason why not.
func (s *Server) execute(ctx context.Context, c *call, e *execution) (outcome.Reason, bool) {
	work := s.workTime(e.start)
	if c.poison && s.cfg.Poison != nil {
		s.crash(ctx, c, e, work/2)
	}
	reason := s.simulateWork(ctx, e, work)
	end, done := s.lease.finish(e, reason == outcome.ReasonNone)
	if done && (c.request.Method == http.MethodPost || c.request.Method == http.MethodPut) {
		s.values.put(c.record.Key, c.body)
		c.value = c.body
	} else if done {
		c.value = s.values.get(c.record.Key)
	}
	if !done && reason == outcome.ReasonNone {
		reason = outcome.ReasonNotOwner
	}
	s.record(c, e, end, !done, false)
	return reason, done
}

// crash spends the time work, records the crash and calls the poison function.
func (s *Server) crash(ctx context.Context, c *call, e *execution, work time.Duration) {
	s.simulateWork(ctx, e, work)
	s.record(c, e, time.Now(), true, true)
	s.cfg.Poison()
}

// simulateWork waits for the service time d. It returns ReasonNone at its end, or
// the reason why it ended early: the lease expired, the execution was aborted,
// or ctx ended.
func (s *Server) simulateWork(ctx context.Context, e *execution, d time.Duration) outcome.Reason {
	finished := time.NewTimer(d)
	defer finished.Stop()
	for {
		left, changed := s.lease.remaining()
		if e.checked && left <= 0 {
			return outcome.ReasonNotOwner
		}
		var expired <-chan time.Time
		if e.checked {
			expired = time.After(left)
		}
		select {
		case <-finished.C:
			return outcome.ReasonNone
		case <-e.abort:
			return outcome.ReasonNotOwner
		case <-ctx.Done():
			return outcome.ReasonDeadline
		case <-expired:
		case <-changed:
		}
	}
}

func (s *Server) record(c *call, e *execution, end time.Time, aborted, crashed bool) {
	record := c.record
	record.StartNS = e.start.UnixNano()
	record.EndNS = end.UnixNano()
	record.Aborted = aborted
	record.Crashed = crashed
	s.records.append(record)
}

// answer sends the response to an executed request, or drops or truncates it as
// the faults say.
func (s *Server) answer(w http.ResponseWriter, c *call) {
	faults := s.faults.current()
	number := s.answerCount.next()
	if isMultiple(number, faults.DropEvery) {
		abortConnection()
	}
	body, err := json.Marshal(Answer{
		Key:       c.record.Key,
		RequestID: c.record.RequestID,
		Method:    c.record.Method,
		Server:    c.record.Server,
		Value:     c.value,
	})
	if err != nil {
		s.reject(w, http.StatusInternalServerError, outcome.ReasonAnswerLost)
		return
	}
	header := w.Header()
	header.Set("Content-Type", "application/json")
	header.Set("Content-Length", strconv.Itoa(len(body)))
	header.Set(backend.HeaderIncarnation, s.lease.incarnation)
	header.Set(backend.HeaderRequestID, c.record.RequestID)
	header.Set(backend.HeaderOutcome, string(outcome.Done))
	w.WriteHeader(http.StatusOK)
	if isMultiple(number, faults.HalfEvery) {
		_, _ = w.Write(body[:len(body)/2])
		_ = http.NewResponseController(w).Flush()
		abortConnection()
	}
	// An error means that the caller has disconnected.
	_, _ = w.Write(body)
}

// reject responds to a request that was not executed or took no effect.
func (s *Server) reject(w http.ResponseWriter, status int, reason outcome.Reason) {
	header := w.Header()
	header.Set(backend.HeaderIncarnation, s.lease.incarnation)
	header.Set(backend.HeaderOutcome, string(outcome.NotRun))
	header.Set(backend.HeaderReason, string(reason))
	writeJSON(w, status, outcome.Refusal{Outcome: outcome.NotRun, Reason: reason})
}

// rejectionStatus returns the HTTP status of a request that ended without effect
// after its execution had begun.
func rejectionStatus(reason outcome.Reason) int {
	if reason == outcome.ReasonDeadline {
		return http.StatusGatewayTimeout
	}
	return http.StatusMisdirectedRequest
}
