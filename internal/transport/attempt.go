package transport

import (
	"cmp"
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/poplarcroft/poplarcroft/internal/answer"
	"github.com/poplarcroft/poplarcroft/internal/continuity"
)

// attempt tracks one round trip: the connections that the HTTP library took for it, and
// whether the request was written on any of them.
type attempt struct {
	target     *Target
	cancel     context.CancelCauseFunc
	needsFresh bool
	freshFor   time.Duration
	// requestID is the ID of the request, or empty.
	requestID string
	// newest is the number of the newest connection to any server before the request was written.
	newest continuity.Number

	// unidentified says that the answer has no request ID although the target requires one.
	unidentified bool

	conns  []*trackedConn
	reused bool
	// silence runs while the request waits for an answer on a reused connection.
	silence *time.Timer
	// judgement runs while the request waits for an answer on a connection whose silence is judged.
	judgement *time.Timer
	rule      Silence
	// ended is set when the round trip has returned, after which the connection is no longer judged.
	ended atomic.Bool
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
	unusable := conn.hasUnexpectedBytes() || a.target.requireID && conn.hasCarried(a.requestID)
	conn.beginRequest(a)
	a.conns = append(a.conns, conn)
	a.newest = a.target.numbers.Newest()
	if unusable || a.needsFresh && a.stale(conn) {
		conn.blockWrites()
		return
	}
	if a.reused && !a.needsFresh {
		a.watchForSilence(conn)
	}
	a.checkSilence(conn)
}

// watchForSilence closes the target's idle connections if neither conn nor another one has delivered anything after
// silentAfter. The request itself waits on: its server may be slow.
func (a *attempt) watchForSilence(conn *trackedConn) {
	a.stopWatching()
	since := a.target.clock()
	a.silence = time.AfterFunc(silentAfter, func() {
		if conn.silentSince(since) {
			a.target.closeSilent(since)
		}
	})
}

// stopWatching ends the watches for silence, if there are any.
func (a *attempt) stopWatching() {
	if a.silence != nil {
		a.silence.Stop()
	}
	if a.judgement != nil {
		a.judgement.Stop()
	}
}

// onFirstUse reports whether the connection that the request was written on had carried no other request.
func (a *attempt) onFirstUse() bool {
	return len(a.conns) > 0 && a.conns[len(a.conns)-1].first()
}

// end marks the attempt's connections as idle.
func (a *attempt) end() {
	for _, conn := range a.conns {
		conn.endRequest(a)
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
	body     io.ReadCloser
	attempt  *attempt
	response *http.Response
	once     sync.Once
}

// Read implements io.Reader. An answer that ends before its declared end, or has a malformed trailer, gives ErrIncompleteAnswer.
func (b *answerBody) Read(p []byte) (int, error) {
	n, err := b.body.Read(p)
	if err == io.EOF {
		err = cmp.Or(answer.CheckTrailer(b.response.Trailer), io.EOF)
	}
	if err != nil && err != io.EOF {
		err = errors.Mark(err, ErrIncompleteAnswer)
	}
	return n, err
}

// SetReadBuffer sets the kernel's receive buffer of the answer's connection, in bytes. What the server sends beyond it has
// to wait until the answer is read. It does nothing on a connection without such a buffer.
func (b *answerBody) SetReadBuffer(bytes int) error {
	for _, conn := range b.attempt.conns {
		if buffered, ok := conn.Conn.(interface{ SetReadBuffer(int) error }); ok {
			return buffered.SetReadBuffer(bytes)
		}
	}
	return nil
}

// Close implements io.Closer.
func (b *answerBody) Close() error {
	err := b.body.Close()
	b.once.Do(func() {
		if b.attempt.unidentified {
			// The answer to this request may still come, so no other request may use the connection.
			b.attempt.blockAllWrites()
		}
		b.attempt.cancel(nil)
		b.attempt.end()
	})
	return err
}
