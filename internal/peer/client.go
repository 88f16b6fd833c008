package peer

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/rpc"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/poplarcroft/poplarcroft/internal/answer"
	"github.com/poplarcroft/poplarcroft/internal/bounded"
)

// DialFunc opens a connection.
type DialFunc func(ctx context.Context, network, addr string) (net.Conn, error)

// ErrUnreachable marks the error of a call that got no answer. The call may have taken effect.
var ErrUnreachable = errors.New("peer: no answer")

// Pool holds one control connection to each peer address. It is safe for
// concurrent use.
type Pool struct {
	dial  DialFunc
	mu    sync.Mutex
	conns map[string]*conn
}

// conn is a control connection. answered counts the answers received on it.
type conn struct {
	client   *rpc.Client
	answered atomic.Uint64
}

// NewPool returns a pool that opens connections with dial.
func NewPool(dial DialFunc) *Pool {
	return &Pool{dial: dial, conns: make(map[string]*conn)}
}

// Call calls a method of the peer at addr and waits for its answer until the context
// ends. If the connection has delivered no answer to any call in that time, Call closes
// it: it may be dead without an error, and the next call then opens a new one.
// Errors without an answer are marked ErrUnreachable; others come from the method.
func (p *Pool) Call(ctx context.Context, addr, method string, args, reply any) error {
	c, err := p.connection(ctx, addr)
	if err != nil {
		return errors.Mark(err, ErrUnreachable)
	}
	before := c.answered.Load()
	call := c.client.Go(method, args, reply, make(chan *rpc.Call, 1))
	select {
	case <-call.Done:
		return p.finish(addr, c, call.Error)
	case <-ctx.Done():
		if c.answered.Load() == before {
			p.drop(addr, c)
		}
		return errors.Mark(ctx.Err(), ErrUnreachable)
	}
}

// finish ends a call that net/rpc has completed. An error of the remote method is an
// answer; after any other the connection is closed.
func (p *Pool) finish(addr string, c *conn, err error) error {
	var remote rpc.ServerError
	if err == nil || errors.As(err, &remote) {
		c.answered.Add(1)
		return err
	}
	p.drop(addr, c)
	return errors.Mark(err, ErrUnreachable)
}

// CallTimeout is Call with a timeout.
func (p *Pool) CallTimeout(ctx context.Context, timeout time.Duration, addr, method string, args, reply any) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return p.Call(ctx, addr, method, args, reply)
}

// Close closes all connections.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for addr, c := range p.conns {
		c.client.Close()
		delete(p.conns, addr)
	}
}

// connection returns the stored connection to addr, or opens one.
func (p *Pool) connection(ctx context.Context, addr string) (*conn, error) {
	p.mu.Lock()
	c := p.conns[addr]
	p.mu.Unlock()
	if c != nil {
		return c, nil
	}
	client, err := p.open(ctx, addr)
	if err != nil {
		return nil, err
	}
	return p.store(addr, &conn{client: client}), nil
}

// store stores a new connection and returns it. If another call stored one first, it
// closes the new one and returns the stored one.
func (p *Pool) store(addr string, opened *conn) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c := p.conns[addr]; c != nil {
		opened.client.Close()
		return c
	}
	p.conns[addr] = opened
	return opened
}

// drop closes a connection and removes it from the pool.
func (p *Pool) drop(addr string, c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conns[addr] == c {
		delete(p.conns, addr)
	}
	c.client.Close()
}

// open dials the peer and turns the connection into a net/rpc one. The context bounds both.
func (p *Pool) open(ctx context.Context, addr string) (*rpc.Client, error) {
	raw, err := p.dial(ctx, "tcp", addr)
	if err != nil {
		return nil, errors.Wrap(err, "peer: dial")
	}
	if deadline, ok := ctx.Deadline(); ok {
		raw.SetDeadline(deadline)
	}
	if err := handshake(raw); err != nil {
		raw.Close()
		return nil, err
	}
	raw.SetDeadline(time.Time{})
	return rpc.NewClient(raw), nil
}

// handshake sends the CONNECT request that ServeRPC expects and checks its answer. Another process may have the address by then.
func handshake(raw net.Conn) error {
	checked := answer.NewConn(raw)
	if _, err := io.WriteString(checked, "CONNECT "+PathRPC+" HTTP/1.0\r\n\r\n"); err != nil {
		return errors.Wrap(err, "peer: handshake")
	}
	reader := bufio.NewReader(io.LimitReader(checked, bounded.MaxHeaderBytes))
	resp, err := http.ReadResponse(reader, &http.Request{Method: http.MethodConnect})
	if err != nil {
		return errors.Wrap(err, "peer: handshake")
	}
	if resp.StatusCode != http.StatusOK {
		return errors.Newf("peer: handshake answered with status %d instead of 200", resp.StatusCode)
	}
	return nil
}

// ServeRPC turns an HTTP CONNECT into a net/rpc connection and serves it. The
// connection is closed when the context ends.
func ServeRPC(ctx context.Context, server *rpc.Server, w http.ResponseWriter) {
	hijacker, ok := w.(http.Hijacker)
	if !ok {
		http.Error(w, "connection does not support hijacking", http.StatusInternalServerError)
		return
	}
	raw, _, err := hijacker.Hijack()
	if err != nil {
		return
	}
	if _, err := io.WriteString(raw, "HTTP/1.0 200 Connected\n\n"); err != nil {
		raw.Close()
		return
	}
	stop := context.AfterFunc(ctx, func() { raw.Close() })
	defer stop()
	server.ServeConn(raw)
}
