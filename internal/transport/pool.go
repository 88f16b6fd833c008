package transport

import (
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// targetUnused is how long a target is kept after its last request.
const targetUnused = time.Minute

// ErrNotSent marks the error of a request of which no byte was or will be
// written. Any other error leaves open whether the request has run.
var ErrNotSent = errors.New("transport: request was not sent")

// Pool holds the targets of all addresses. It implements http.RoundTripper, so
// that an http.Client sends by it. It is safe for concurrent use.
type Pool struct {
	options Options

	mu      sync.Mutex
	targets map[string]*pooled
}

// pooled is a target with the time of its last use.
type pooled struct {
	target *Target
	used   time.Time
}

// NewPool returns a pool whose targets get the given options.
func NewPool(options Options) *Pool {
	return &Pool{options: options, targets: make(map[string]*pooled)}
}

// Target returns the target at an IP address and port.
func (p *Pool) Target(addr string) *Target {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	known, ok := p.targets[addr]
	if !ok {
		p.dropUnused(now)
		known = &pooled{target: NewTarget(addr, p.options)}
		p.targets[addr] = known
	}
	known.used = now
	return known.target
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
	for _, known := range p.targets {
		known.target.Close()
	}
}

// RoundTrip implements http.RoundTripper. A request whose method is not safe
// goes on a fresh connection. The error is marked ErrNotSent where that is so.
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

// dropUnused forgets targets that no request has used for long.
func (p *Pool) dropUnused(now time.Time) {
	for addr, known := range p.targets {
		if now.Sub(known.used) >= targetUnused && known.target.Connections() == 0 {
			delete(p.targets, addr)
		}
	}
}

// readBody reads and closes the body of a request.
func readBody(req *http.Request) ([]byte, error) {
	if req.Body == nil {
		return nil, nil
	}
	defer req.Body.Close()
	return io.ReadAll(req.Body)
}

// safe reports whether a request with the method changes nothing.
func safe(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace, "":
		return true
	default:
		return false
	}
}
