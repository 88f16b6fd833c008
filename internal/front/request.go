// Package front takes callers' requests by host name and path and carries them to
// backend servers.
//
// A request ends with a whole answer of a server, with a refusal that promises that it has
// not run and will not, or as unknown. Each ends as soon as it is known; nothing is
// held back.
package front

import (
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/poplarcroft/poplarcroft/internal/keyrange"
	"github.com/poplarcroft/poplarcroft/internal/poison"
	"github.com/poplarcroft/poplarcroft/internal/routetable"
)

// Headers are the names of the headers that callers, servers and hosts exchange.
type Headers struct {
	RequestID, DeadlineMS, Digest, ExpectInstance, Load, NotExecuted, Key string
}

// Request is one request of a caller.
type Request struct {
	ID      string
	Route   *routetable.Route
	Service routetable.Service
	Key     keyrange.Key
	Method  string
	// Path is the path and the query as the caller sent them.
	Path   string
	Host   string
	Header http.Header
	Body   []byte
	// Print identifies the request over all times that its caller sends it.
	Print poison.Fingerprint
	// Arrived is when the request was read; Deadline ends the caller's wait, or the route's timeout.
	Arrived, Deadline time.Duration
}

// fingerprint identifies the request by its caller and contents. Each time that a
// caller sends it, it has another ID.
func fingerprint(r *Request, caller, key string) poison.Fingerprint {
	if host, _, err := net.SplitHostPort(caller); err == nil {
		caller = host
	}
	return poison.FingerprintOf(poison.Request{
		Service: r.Service.Name, Key: key + "\x00" + caller, Method: r.Method, Path: r.Path, Body: r.Body,
	})
}

// maxDeadline bounds what a caller may ask for.
const maxDeadline = 10 * time.Minute

var (
	errNoID       = errors.New("the request has no ID")
	errBadKey     = errors.New("the key is missing or no number from 0 to 65535")
	errBodyTooBig = errors.New("the body exceeds the limit")
)

// readBody reads a body of at most limit bytes.
func readBody(r *http.Request, limit int64) ([]byte, error) {
	if r.ContentLength == 0 || r.Body == nil {
		return nil, nil
	}
	if limit > 0 && r.ContentLength > limit {
		return nil, errBodyTooBig
	}
	reader := io.Reader(r.Body)
	if limit > 0 {
		reader = io.LimitReader(r.Body, limit+1)
	}
	body, err := io.ReadAll(reader)
	if err != nil {
		return nil, err
	}
	if limit > 0 && int64(len(body)) > limit {
		return nil, errBodyTooBig
	}
	return body, nil
}

// patience returns how long the caller waits, at most the route's timeout.
func patience(header http.Header, name string, timeout time.Duration) time.Duration {
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

// parseKey returns the key that a request carries.
func parseKey(text string) (keyrange.Key, error) {
	key, err := strconv.ParseUint(text, 10, 16)
	if err != nil {
		return 0, errBadKey
	}
	return keyrange.Key(key), nil
}
