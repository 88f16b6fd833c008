package transport

import (
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// unusedTargetTTL is how long a target is kept at least after its last request.
const unusedTargetTTL = time.Minute

// ErrNotSent marks the error of a request of which no byte was or will be
// written. After any other error the request may have been executed.
var ErrNotSent = errors.New("transport: request was not sent")

// Pool holds the targets of all addresses. It implements http.RoundTripper, so
// that an http.Client can use it. It is safe for concurrent use.
type Pool struct {
	options Options

	mu      sync.Mutex
	targets map[string]*pooledTarget
}

// pooledTarget is a target with the time of its last use.
type pooledTarget struct {
	target *Target
	used   time.Time
}

// NewPool returns a pool whose targets get the given options.
func NewPool(options Options) *Pool {
	return &Pool{options: options, targets: make(map[string]*pooledTarget)}
}

// Target returns the target for an IP address and port.
func (p *Pool) Target(addr string) *Target {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	entry, ok := p.targets[addr]
	if !ok {
		p.removeUnused(now)
		entry = &pooledTarget{target: NewTarget(addr, p.options)}
		p.targets[addr] = entry
	}
	entry.used = now
	return entry.target
}

// Len returns the number of targets.
func (p *Pool) Len() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.targets)
}

// CloseIdleConnections closes the idle connections of all targets.
func (p *Pool) CloseIdleConnections() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, entry := range p.targets {
		entry.target.Close()
	}
}

// RoundTrip implements http.RoundTripper. It treats a request as idempotent only if its
// method is safe. The error is marked ErrNotSent if nothing was or will be written.
func (p *Pool) RoundTrip(req *http.Request) (*http.Response, error) {
	body, err := readBody(req)
	if err != nil {
		return nil, errors.Mark(err, ErrNotSent)
	}
	result := p.Target(req.URL.Host).Send(req.Context(), Request{
		Method:     req.Method,
		Path:       req.URL.RequestURI(),
		Header:     req.Header,
		Body:       body,
		Idempotent: safe(req.Method),
	})
	if result.Sent == NotSent {
		return nil, errors.Mark(result.Err, ErrNotSent)
	}
	if result.Err != nil {
		return nil, result.Err
	}
	result.Response.Request = req
	return result.Response, nil
}

// removeUnused removes the targets that no request has used for unusedTargetTTL and that
// have no open connection.
func (p *Pool) removeUnused(now time.Time) {
	for addr, entry := range p.targets {
		if now.Sub(entry.used) >= unusedTargetTTL && entry.target.Connections() == 0 {
			delete(p.targets, addr)
		}
	}
}

// readBody reads the body of a request to its end and closes it.
func readBody(req *http.Request) ([]byte, error) {
	if req.Body == nil {
		return nil, nil
	}
	defer req.Body.Close()
	return io.ReadAll(req.Body)
}

// safe reports whether the method is safe as HTTP defines it: it changes nothing.
func safe(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace, "":
		return true
	default:
		return false
	}
}
