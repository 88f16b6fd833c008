package route

import (
	"context"
	"io"
	"net/http"

	"github.com/cockroachdb/errors"

	"github.com/poplarcroft/poplarcroft/internal/transport"
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

// send sends the request once and reads the whole answer. A short answer is an error.
func send(ctx context.Context, pool *transport.Pool, req *http.Request) exchange {
	resp, err := pool.RoundTrip(req.WithContext(ctx))
	if err != nil {
		return exchange{err: err, maybeSent: !errors.Is(err, transport.ErrNotSent)}
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
