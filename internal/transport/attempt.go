package transport

import (
	"context"
	"io"
	"net/http/httptrace"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// attempt follows one round trip over the connections that it is given.
type attempt struct {
	cancel     context.CancelCauseFunc
	needsFresh bool
	freshFor   time.Duration

	conns  []*trackedConn
	reused bool
}

// gotConn decides whether the request may be written on a connection. The HTTP
// library calls it before it writes, and again where it repeats the request.
func (a *attempt) gotConn(info httptrace.GotConnInfo) {
	conn, ok := info.Conn.(*trackedConn)
	if !ok {
		panic(errors.AssertionFailedf("transport: connection of type %T", info.Conn))
	}
	if a.sealAll() {
		conn.seal()
		a.cancel(ErrReplay)
		return
	}
	a.reused = info.Reused || info.WasIdle
	conn.begin()
	a.conns = append(a.conns, conn)
	if a.needsFresh && a.stale(conn) {
		conn.seal()
	}
}

// stale reports whether the connection may have gone silent since the server was heard on it.
func (a *attempt) stale(conn *trackedConn) bool {
	if a.freshFor < 0 {
		return a.reused
	}
	return conn.silence() > a.freshFor
}

// sealAll forbids further writes on the connections given so far and reports
// whether the request was written on any.
func (a *attempt) sealAll() (written bool) {
	for _, conn := range a.conns {
		if conn.seal() {
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

// Read implements io.Reader. An answer that breaks off gives ErrShort.
func (b *answerBody) Read(p []byte) (int, error) {
	n, err := b.body.Read(p)
	if err != nil && err != io.EOF {
		err = errors.Mark(err, ErrShort)
	}
	return n, err
}

// Close implements io.Closer.
func (b *answerBody) Close() error {
	err := b.body.Close()
	b.once.Do(func() { b.cancel(nil) })
	return err
}
