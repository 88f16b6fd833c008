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
)

// DialFunc opens a connection.
type DialFunc func(ctx context.Context, network, addr string) (net.Conn, error)

// ErrUnreachable reports a call that got no answer. It may have taken effect.
var ErrUnreachable = errors.New("peer: no answer")

// Pool holds one control connection to each peer address. It is safe for
// concurrent use.
type Pool struct {
	dial  DialFunc
	mu    sync.Mutex
	conns map[string]*conn
}

// conn is a control connection. answered counts the answers that came over it.
type conn struct {
	client   *rpc.Client
	answered atomic.Uint64
}

// NewPool returns a pool that opens connections with dial.
func NewPool(dial DialFunc) *Pool {
	return &Pool{dial: dial, conns: make(map[string]*conn)}
}

// Call calls a method of the peer at addr and waits for its answer until the
// context ends. A connection that gave no answer to anybody meanwhile is
// closed, because it may have gone silent while a new one would work.
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

func (p *Pool) finish(addr string, c *conn, err error) error {
	var remote rpc.ServerError
	if err == nil || errors.As(err, &remote) {
		c.answered.Add(1)
		return err
	}
	p.drop(addr, c)
	return errors.Mark(err, ErrUnreachable)
}

// CallTimeout is Call with a time limit.
func (p *Pool) CallTimeout(ctx context.Context, limit time.Duration, addr, method string, args, reply any) error {
	ctx, cancel := context.WithTimeout(ctx, limit)
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
	return p.keep(addr, &conn{client: client}), nil
}

// keep stores a new connection, unless another call stored one first.
func (p *Pool) keep(addr string, opened *conn) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c := p.conns[addr]; c != nil {
		opened.client.Close()
		return c
	}
	p.conns[addr] = opened
	return opened
}

func (p *Pool) drop(addr string, c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conns[addr] == c {
		delete(p.conns, addr)
	}
	c.client.Close()
}

// open dials the peer and turns the connection into a net/rpc one.
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

func handshake(raw net.Conn) error {
	if _, err := io.WriteString(raw, "CONNECT "+PathRPC+" HTTP/1.0\n\n"); err != nil {
		return errors.Wrap(err, "peer: handshake")
	}
	resp, err := http.ReadResponse(bufio.NewReader(raw), &http.Request{Method: http.MethodConnect})
	if err != nil {
		return errors.Wrap(err, "peer: handshake")
	}
	if resp.StatusCode != http.StatusOK {
		return errors.Newf("peer: handshake answered %d", resp.StatusCode)
	}
	return nil
}

// ServeRPC turns an HTTP CONNECT into a net/rpc connection and serves it. The
// connection is closed when the context ends.
func ServeRPC(ctx context.Context, server *rpc.Server, w http.ResponseWriter) {
	hijacker, ok := w.(http.Hijacker)
	if !ok {
		http.Error(w, "connection cannot be taken over", http.StatusInternalServerError)
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
