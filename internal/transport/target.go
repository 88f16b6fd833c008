package transport

import (
	"bytes"
	"cmp"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/poplarcroft/poplarcroft/internal/answer"
	"github.com/poplarcroft/poplarcroft/internal/backend"
	"github.com/poplarcroft/poplarcroft/internal/bounded"
	"github.com/poplarcroft/poplarcroft/internal/clock"
	"github.com/poplarcroft/poplarcroft/internal/continuity"
)

// Default options.
const (
	// DefaultFreshFor is the default of Options.FreshFor.
	DefaultFreshFor = 100 * time.Millisecond
	// DefaultDialTimeout is the default of Options.DialTimeout.
	DefaultDialTimeout = time.Second
	// DefaultIdleTimeout is the default of Options.IdleTimeout.
	DefaultIdleTimeout = 5 * time.Second
)

const (
	// bufferBytes is the size of each connection's read buffer and of its write buffer.
	bufferBytes = 8 << 10
)

// Errors of requests that got no complete answer.
var (
	// ErrReplay reports a request that failed after a part of it was written, and which
	// the HTTP library would have sent again.
	ErrReplay = errors.New("transport: connection failed during the request")
	// ErrIncompleteAnswer reports an answer that ended before its declared end, or one
	// without a length whose end cannot be recognised.
	ErrIncompleteAnswer = errors.New("transport: incomplete answer")
	// ErrWrongAnswer reports an answer that carries the ID of another request.
	ErrWrongAnswer = errors.New("transport: answer belongs to another request")
)

// Sent says how far a request got.
type Sent int

const (
	// NotSent means that no byte of the request was or will be written.
	NotSent Sent = iota
	// MaybeSent means that a part of the request may have been written and no answer came.
	MaybeSent
	// Answered means that the header of an answer was received.
	Answered
)

// String returns the name of the value.
func (s Sent) String() string {
	return [...]string{"not-sent", "maybe-sent", "answered"}[s]
}

// Options of a target. A zero FreshFor, DialTimeout or IdleTimeout stands for its default.
type Options struct {
	// Dial opens connections; see Dialer.
	Dial DialFunc
	// Connections is the largest number of open connections.
	Connections int
	// FreshFor is the longest time since a connection last delivered bytes at which it is
	// still used for a non-idempotent request; a negative value always opens a new one.
	FreshFor time.Duration
	// DialTimeout bounds the opening of a connection, the wait for the connection limit included.
	DialTimeout time.Duration
	// IdleTimeout is how long an idle connection is kept.
	IdleTimeout time.Duration
	// Clock is a monotonic clock; nil stands for one that also runs while the machine is suspended.
	Clock func() time.Duration
	// RequestIDHeader is the header with the request's ID, which an answer may echo;
	// empty stands for backend.HeaderRequestID.
	RequestIDHeader string
	// RequireID rejects an answer without the request's ID on a connection that has carried another request: it may be
	// a second copy of that one's answer. On a new connection it is the answer of whoever accepted the connection. A
	// request is not sent on a connection that has carried one with its ID: a retry has the ID of the first attempt.
	RequireID bool
	// Numbers numbers the connections and takes notice of the answers that they carry; nil stands for none.
	Numbers *continuity.Connections
	// Undelimited accepts answers without a length, which end with their connection. See package answer for when
	// such an answer is whole.
	Undelimited bool
}

// Target is one server that requests are sent to. It is safe for concurrent use.
type Target struct {
	addr        string
	freshFor    time.Duration
	dialTimeout time.Duration
	clock       func() time.Duration
	dial        DialFunc
	limiter     *limiter
	http        *http.Transport
	// fresh sends the non-idempotent requests. They have connections of their own because
	// they close those that are too old for them but still good for idempotent requests.
	fresh *http.Transport

	requestIDHeader string
	requireID       bool
	undelimited     bool
	numbers         *continuity.Connections

	mu sync.Mutex
	// conns holds the open connections.
	conns map[*trackedConn]struct{}
	// closedDelivered is when a connection that is closed now last delivered bytes.
	closedDelivered time.Duration
}

// NewTarget returns a target for an IP address and port.
func NewTarget(addr string, options Options) *Target {
	if options.FreshFor == 0 {
		options.FreshFor = DefaultFreshFor
	}
	if options.DialTimeout == 0 {
		options.DialTimeout = DefaultDialTimeout
	}
	if options.IdleTimeout == 0 {
		options.IdleTimeout = DefaultIdleTimeout
	}
	if options.Clock == nil {
		options.Clock = clock.Monotonic
	}
	t := &Target{
		addr:        addr,
		freshFor:    options.FreshFor,
		dialTimeout: options.DialTimeout,
		clock:       options.Clock,
		dial:        options.Dial,
		limiter:     newLimiter(options.Connections),

		requestIDHeader: cmp.Or(options.RequestIDHeader, backend.HeaderRequestID),
		requireID:       options.RequireID,
		undelimited:     options.Undelimited,
		numbers:         cmp.Or(options.Numbers, continuity.New()),
		conns:           make(map[*trackedConn]struct{}),
	}
	t.http = t.newTransport(options)
	t.fresh = t.newTransport(options)
	return t
}

// newTransport returns an HTTP/1.1 transport whose connections are counted and tracked.
func (t *Target) newTransport(options Options) *http.Transport {
	transport := &http.Transport{
		DialContext:            t.dialTracked,
		DisableCompression:     true,
		IdleConnTimeout:        options.IdleTimeout,
		MaxIdleConnsPerHost:    max(options.Connections, 1),
		MaxResponseHeaderBytes: bounded.MaxHeaderBytes,
		ReadBufferSize:         bufferBytes,
		WriteBufferSize:        bufferBytes,
		Protocols:              new(http.Protocols),
	}
	transport.Protocols.SetHTTP1(true)
	return transport
}

// Request is a request to send. Its header is not changed.
type Request struct {
	Method string
	// Path is the path and the query.
	Path string
	// Host is the host name in the request; empty stands for the target's address.
	Host       string
	Header     http.Header
	Body       []byte
	Idempotent bool
	// Silence says when a connection that does not deliver is given up.
	Silence Silence
}

// Result is the result of a request. Response is set only with Answered. Its body
// must be closed; reading it ends with io.EOF only if the answer is complete.
type Result struct {
	Sent     Sent
	Response *http.Response
	Err      error
}

// Send sends a request. If an idle connection proves unusable before any byte is
// written, it takes another one. It never sends a request again of which a byte may
// have been written, whatever its method and headers.
func (t *Target) Send(ctx context.Context, req Request) Result {
	if !strings.HasPrefix(req.Path, "/") {
		return Result{Err: errors.Newf("transport: path %q does not begin with a slash", req.Path)}
	}
	target, err := url.Parse("http://" + t.addr + req.Path)
	if err != nil {
		return Result{Err: errors.Wrap(err, "transport: path")}
	}
	for {
		result, reused := t.sendOnce(ctx, req, target)
		// Each idle connection that proved unusable is closed, so the loop ends at the latest with a new one.
		if result.Sent != NotSent || !reused || ctx.Err() != nil {
			return result
		}
	}
}

// SetConnections changes the largest number of open connections and closes the idle ones.
func (t *Target) SetConnections(limit int) {
	t.limiter.setLimit(limit)
	t.Close()
}

// Connections returns the number of open connections.
func (t *Target) Connections() int {
	return t.limiter.count()
}

// Close closes the idle connections. Requests in progress finish.
func (t *Target) Close() {
	t.http.CloseIdleConnections()
	t.fresh.CloseIdleConnections()
}

// sendOnce makes one round trip and reports whether it was on a reused connection.
func (t *Target) sendOnce(ctx context.Context, req Request, target *url.URL) (result Result, reused bool) {
	ctx, cancel := context.WithCancelCause(ctx)
	a := &attempt{
		target: t, cancel: cancel, needsFresh: !req.Idempotent, freshFor: t.freshFor,
		requestID: req.Header.Get(t.requestIDHeader), rule: req.Silence,
	}
	traced := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: a.gotConn})
	out := &http.Request{
		Method:        req.Method,
		URL:           target,
		Host:          cmp.Or(req.Host, target.Host),
		Header:        req.Header,
		ContentLength: int64(len(req.Body)),
	}
	if out.Header == nil {
		out.Header = http.Header{}
	}
	if len(req.Body) > 0 {
		out.Body = io.NopCloser(bytes.NewReader(req.Body))
	}
	transport := t.http
	if !req.Idempotent {
		transport = t.fresh
	}
	resp, err := transport.RoundTrip(out.WithContext(traced))
	a.ended.Store(true)
	a.stopWatching()
	if err == nil {
		err = t.checkHeader(a, req, resp)
	}
	if err != nil {
		return t.failedAttempt(ctx, a, resp, err), a.reused
	}
	t.noteAnswer(a, resp)
	resp.Body = &answerBody{body: resp.Body, attempt: a, response: resp}
	return Result{Sent: Answered, Response: resp}, a.reused
}

// failedAttempt ends a round trip without an answer to the request, and decides whether the
// request may have been written. If a reused connection failed, the other idle ones may
// be dead too and are closed.
func (t *Target) failedAttempt(ctx context.Context, a *attempt, resp *http.Response, err error) Result {
	if cause := context.Cause(ctx); cause != nil {
		err = errors.CombineErrors(cause, err)
	}
	a.cancel(err)
	if resp != nil {
		resp.Body.Close()
	}
	sent := NotSent
	if a.blockAllWrites() {
		sent = MaybeSent
		if dialError(err) {
			// net/http has dialled again for a replay, which is not made.
			err = errors.Wrap(err, ErrReplay.Error())
		}
	}
	if a.reused && sent == MaybeSent && !errors.Is(err, context.Canceled) && !errors.Is(err, ErrSilent) {
		t.Close()
	}
	return Result{Sent: sent, Err: err}
}

// dialError reports whether the error is that of opening a connection.
func dialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// dialTracked opens a connection within the connection limit. At the limit it closes the
// idle connections first.
func (t *Target) dialTracked(ctx context.Context, network, addr string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, t.dialTimeout)
	defer cancel()
	if t.limiter.full() {
		t.Close()
	}
	if err := t.limiter.acquire(ctx); err != nil {
		return nil, err
	}
	conn, err := t.dial(ctx, network, addr)
	if err != nil {
		t.limiter.release()
		return nil, err
	}
	tracked := track(answer.NewConn(conn), t.clock, t.connClosed)
	tracked.number = t.numbers.Opened()
	t.addConn(tracked)
	return tracked, nil
}

// noteAnswer records that the server still ran when the request was sent, if the answer is certainly to that request: it has the request's ID,
// which an earlier request on the connection did not have.
func (t *Target) noteAnswer(a *attempt, resp *http.Response) {
	if a.requestID == "" || resp.Header.Get(t.requestIDHeader) != a.requestID {
		return
	}
	t.numbers.Answered(t.addr, a.conns[len(a.conns)-1].number, a.newest)
}

// checkHeader rejects an answer whose end could not be recognised or that belongs to
// another request.
func (t *Target) checkHeader(a *attempt, req Request, resp *http.Response) error {
	echoed := resp.Header.Get(t.requestIDHeader)
	if echoed != "" && echoed != a.requestID {
		return ErrWrongAnswer
	}
	a.unidentified = echoed == "" && t.requireID
	if a.unidentified && !a.onFirstUse() {
		return errors.Wrap(ErrWrongAnswer, "no request ID on a connection that is in use again")
	}
	undelimited := resp.ContentLength < 0 && len(resp.TransferEncoding) == 0
	if undelimited && !t.undelimited && req.Method != http.MethodHead {
		return errors.Wrap(ErrIncompleteAnswer, "neither Content-Length nor chunked encoding")
	}
	return nil
}
