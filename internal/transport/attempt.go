package transport

import (
	"context"
	"io"
	"net/http/httptrace"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// attempt tracks one round trip: the connections that the HTTP library took for it, and
// whether the request was written on any of them.
type attempt struct {
	cancel     context.CancelCauseFunc
	needsFresh bool
	freshFor   time.Duration

	conns  []*trackedConn
	reused bool
}

// gotConn decides whether the request may be written on a connection. The HTTP
// library calls it before each write of the request, also before it replays it on
// another connection. A replay is cancelled with ErrReplay if the request was written
// before.
func (a *attempt) gotConn(info httptrace.GotConnInfo) {
	conn, ok := info.Conn.(*trackedConn)
	if !ok {
		panic(errors.AssertionFailedf("transport: connection of type %T", info.Conn))
	}
	if a.blockAllWrites() {
		conn.blockWrites()
		a.cancel(ErrReplay)
		return
	}
	a.reused = info.Reused || info.WasIdle
	conn.beginRequest()
	a.conns = append(a.conns, conn)
	if a.needsFresh && a.stale(conn) {
		conn.blockWrites()
	}
}

// stale reports whether too much time has passed since the last read from the connection
// to rule out that it is half-open.
func (a *attempt) stale(conn *trackedConn) bool {
	if a.freshFor < 0 {
		return a.reused
	}
	return conn.sinceLastRead() > a.freshFor
}

// blockAllWrites blocks further writes on all connections of the attempt and reports
// whether the request was written on any of them.
func (a *attempt) blockAllWrites() (written bool) {
	for _, conn := range a.conns {
		if conn.blockWrites() {
			written = true
		}
	}
	return written
}

// answerBody is the body of an answer. Closing it before its end closes the connection.
type answerBody struct {
	body   io.ReadCloser
	cancel context.CancelCauseFunc
	once   sync.Once
}

// Read implements io.Reader. An answer that ends before its declared end gives ErrIncompleteAnswer.
func (b *answerBody) Read(p []byte) (int, error) {
	n, err := b.body.Read(p)
	if err != nil && err != io.EOF {
		err = errors.Mark(err, ErrIncompleteAnswer)
	}
	return n, err
}

// Close implements io.Closer.
func (b *answerBody) Close() error {
	err := b.body.Close()
	b.once.Do(func() { b.cancel(nil) })
	return err
}
