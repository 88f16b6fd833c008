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
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/poplarcroft/poplarcroft/internal/keyrange"
	"github.com/poplarcroft/poplarcroft/internal/payload"
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
	holds    *payload.Holding
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

// maxDeadline is the longest time until the deadline that a caller may set.
const maxDeadline = 10 * time.Minute

var (
	errNoID   = errors.New("the request has no ID")
	errBadKey = errors.New("the key is missing or no number from 0 to 65535")
	// errForwardedRoute: the other host knows the route from a newer configuration.
	errForwardedRoute = errors.New("the route of a forwarded request that is not authenticated is unknown")
)

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
