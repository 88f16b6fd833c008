// Package front receives callers' HTTP requests, routes them by host name and path, and sends
// them to backend servers.
//
// Package edge creates an Ingress and serves callers and other hosts with it. A request for a
// keyed service goes to the server that owns its key, through the server's primary: the one
// host that queues and dispatches all requests for this server. A host that is not the primary
// forwards the request to it. Any other request goes to a server that package fleet chooses.
//
// Each request ends with a complete answer of a server, with a refusal, or as unknown. A refusal
// guarantees that no server has executed or will execute the request, so that the caller may
// retry. Unknown means that a server may have executed it. The result is sent as soon as it is
// known. Most faults show here: a slow or overloaded server, a lost answer, a key without
// an owner, and a request that crashes servers.
package front

import (
	"io"
	"math"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/poplarcroft/poplarcroft/internal/keyrange"
	"github.com/poplarcroft/poplarcroft/internal/poison"
	"github.com/poplarcroft/poplarcroft/internal/routetable"
)

// Headers holds the names of the HTTP headers that callers, servers and hosts exchange.
type Headers struct {
	// RequestID carries the request's ID, and in answers the ID of the answered request.
	// DeadlineMS carries the time until the deadline in milliseconds, and Key the key of a keyed
	// request. ExpectInstance tells a server which one the request is meant for. In answers,
	// Digest marks a successful answer as the server's own, Load carries the server's load,
	// NotExecuted says that the server did not execute the request, Limit carries the number of
	// requests per second that the server takes from all hosts together, and Leaving is "1" if the
	// server is shutting down.
	RequestID, DeadlineMS, Digest, ExpectInstance, Load, NotExecuted, Key, Limit, Leaving string
	// Authorization carries the key of a client account in callers' requests, after the scheme AuthScheme and a space.
	// Account tells servers and other hosts the name of the account.
	Authorization, AuthScheme, Account string
}

// Request is a caller's request, read completely into memory.
type Request struct {
	ID      string
	Route   *routetable.Route
	Service routetable.Service
	// Account is the name of the caller's client account, or empty if there is none.
	Account string
	// AccountChecked says that the request has been authenticated, by this host or the one that forwards it. It is false if
	// there are no client accounts.
	AccountChecked bool
	// Priority is the rank of the request in queues; zero is the most urgent.
	Priority int
	Key      keyrange.Key
	Method   string
	// Path is the path and the query as the caller sent them.
	Path string
	Host string
	// Header holds the end-to-end headers only.
	Header http.Header
	Body   []byte
	// Caller is the address at the other end of the connection, without its port, for the log. It is
	// empty if another host forwards the request.
	Caller string
	// Forwarded says that another host forwards the request.
	Forwarded bool
	// Forwarder is the name of that host, or empty if it has not told it; see headerForwarder.
	Forwarder string
	// Fingerprint is the same whenever the caller repeats the request, from any address; the ID is not.
	Fingerprint poison.Fingerprint
	// Arrived is when this host received the request. Deadline is when the caller stops waiting or
	// the route's timeout ends, whichever is earlier.
	Arrived, Deadline time.Duration
	// watch ends a request that is not idempotent when its caller disconnects; nil for others.
	watch *callerWatch
	// unsent ends the request if it may not be sent any more because the host is shutting down.
	unsent *unsentWatch
	// runs is the number of attempts in which a server may have executed the request.
	runs int
	// silentAttempts counts the attempts that were given up because their connections were silent.
	silentAttempts int
	// delivery writes the answer to the caller, and holds counts the memory of the request and its answer. Both are nil
	// in tests that need neither.
	delivery *delivery
	holds    *holding
}

// credentialHeaders are the headers that say on whose behalf a request is made.
var credentialHeaders = []string{"Authorization", "Cookie"}

// fingerprint identifies the request by its contents and the caller's credentials. The request ID is
// left out because a caller that repeats a request gives it a new one, the service because a route can
// lead to several, and the caller's address because one caller can have several. The account stands in place of its key,
// which may be replaced between two copies.
func fingerprint(r *Request, key string) poison.Fingerprint {
	identity := []string{key}
	if r.Account != "" {
		identity = append(identity, r.Account)
	}
	for _, name := range credentialHeaders {
		identity = append(identity, r.Header.Values(name)...)
		identity = append(identity, "")
	}
	return poison.FingerprintOf(poison.Request{
		Key: strings.Join(identity, "\x00"), Method: r.Method, Path: r.Host + "\x00" + r.Path, Body: r.Body,
	})
}

// withoutPort returns an address without its port.
func withoutPort(addr string) string {
	if host, _, err := net.SplitHostPort(addr); err == nil {
		return host
	}
	return addr
}

// firstBodyBytes is the size of the first buffer of a body.
const firstBodyBytes = 4 << 10

// maxDeadline is the longest time until the deadline that a caller may set.
const maxDeadline = 10 * time.Minute

var (
	errNoID       = errors.New("the request has no ID")
	errBadKey     = errors.New("the key is missing or no number from 0 to 65535")
	errNoMemory   = errors.New("host has no memory for the body")
	errBodyTooBig = errors.New("the body exceeds the limit")
	errBodyLate   = errors.New("the body has not arrived in time")
	// errForwardedRoute: the other host knows the route from a newer configuration.
	errForwardedRoute = errors.New("the route of a forwarded request that is not authenticated is unknown")
)

// readBody reads a body of at most limit bytes; zero sets no limit. It returns errBodyTooBig for
// a longer one, and errNoMemory if this host has no memory for it. The buffer grows with what arrives, and all of it counts.
func readBody(r *http.Request, limit int64, holds *holding) ([]byte, error) {
	if r.ContentLength == 0 || r.Body == nil {
		return nil, nil
	}
	if limit > 0 && r.ContentLength > limit {
		return nil, errBodyTooBig
	}
	largest := int64(math.MaxInt64)
	if r.ContentLength > 0 {
		largest = r.ContentLength
	} else if limit > 0 {
		largest = limit
	}
	var body []byte
	for {
		var err error
		body, err = growBody(body, largest, holds)
		if err != nil {
			return nil, err
		}
		n, err := r.Body.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case errors.Is(err, io.EOF):
			return body, nil
		case err != nil:
			return nil, err
		case limit > 0 && int64(len(body)) > limit:
			return nil, errBodyTooBig
		}
	}
}

// limitBody sets the time within which the body of a request must have arrived: nobody waits for its answer afterwards. The returned
// function must be called with the error of reading the body. It ends the limit, or the connection if there is more of the body.
func limitBody(w http.ResponseWriter, r *http.Request, limit time.Duration) (end func(err error)) {
	if r.ContentLength == 0 {
		return func(error) {}
	}
	controller := http.NewResponseController(w)
	if err := controller.SetReadDeadline(time.Now().Add(limit)); err != nil {
		// The connection is not one of the HTTP library's.
		return func(error) {}
	}
	return func(err error) {
		if errors.IsAny(err, errNoMemory, errBodyTooBig, errBodyLate) {
			w.Header().Set("Connection", "close")
			return
		}
		// An error means that the connection has ended, which shows otherwise.
		_ = controller.SetReadDeadline(time.Time{})
	}
}

// growBody returns the body with room for more bytes. It doubles the buffer, up to one byte more than the largest size of the body, by
// which a longer body shows.
func growBody(body []byte, largest int64, holds *holding) ([]byte, error) {
	if len(body) < cap(body) {
		return body, nil
	}
	size := int64(max(2*cap(body), firstBodyBytes))
	if size > largest {
		size = largest + 1
	}
	if !holds.takeBody(size) {
		return nil, errNoMemory
	}
	grown := make([]byte, len(body), size)
	copy(grown, body)
	holds.giveBack(int64(cap(body)))
	return grown, nil
}

// callerTimeout returns how long the caller waits by the header with the given name, at most the
// route's timeout. Zero stands for a route without a timeout. A missing or malformed header
// gives the longest time.
func callerTimeout(header http.Header, name string, timeout time.Duration) time.Duration {
	limit := maxDeadline
	if timeout > 0 {
		limit = min(limit, timeout)
	}
	ms, err := strconv.ParseInt(header.Get(name), 10, 64)
	if err != nil || ms <= 0 || ms >= limit.Milliseconds() {
		return limit
	}
	return time.Duration(ms) * time.Millisecond
}

// parseKey parses the value of the key header.
func parseKey(text string) (keyrange.Key, error) {
	key, err := strconv.ParseUint(text, 10, 16)
	if err != nil {
		return 0, errBadKey
	}
	return keyrange.Key(key), nil
}
