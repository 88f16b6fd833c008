package route

import (
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"

	"github.com/cockroachdb/errors"
)

// exchange is one HTTP request and its answer. Exactly one of answer and err is set.
type exchange struct {
	answer *Answer
	err    error
	// maybeSent says that a byte of the request may have left this host.
	maybeSent bool
}

// errAnswerTooLarge reports an answer over maxAnswerBytes.
var errAnswerTooLarge = errors.New("route: answer too large")

// send sends the request and reads the whole answer. A short answer is an
// error. The connection of a cancelled or failed exchange is closed.
func send(ctx context.Context, client *http.Client, req *http.Request) exchange {
	var sent atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { sent.Store(true) }}
	resp, err := client.Do(req.WithContext(httptrace.WithClientTrace(ctx, trace)))
	if err != nil {
		return exchange{err: err, maybeSent: sent.Load()}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes+1))
	if err != nil {
		return exchange{err: err, maybeSent: true}
	}
	if len(body) > maxAnswerBytes {
		return exchange{err: errAnswerTooLarge, maybeSent: true}
	}
	return exchange{answer: &Answer{Status: resp.StatusCode, Header: resp.Header, Body: body}}
}
