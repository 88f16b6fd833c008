package route

import (
	"context"
	"net/http"

	"github.com/cockroachdb/errors"

	"github.com/poplarcroft/poplarcroft/internal/bounded"
	"github.com/poplarcroft/poplarcroft/internal/transport"
)

// exchange is the result of one HTTP request. Exactly one of answer and err is set.
type exchange struct {
	answer *Answer
	err    error
	// maybeSent reports, if err is set, that a byte of the request may have left this
	// host, so that the request may have run.
	maybeSent bool
}

// send sends the request once and reads the whole answer. A truncated answer is an
// error.
func send(ctx context.Context, pool *transport.Pool, req *http.Request) exchange {
	resp, err := pool.RoundTrip(req.WithContext(ctx))
	if err != nil {
		return exchange{err: err, maybeSent: !errors.Is(err, transport.ErrNotSent)}
	}
	defer resp.Body.Close()
	body, err := bounded.ReadAll(resp.Body, maxAnswerBytes)
	if err != nil {
		return exchange{err: err, maybeSent: true}
	}
	return exchange{answer: &Answer{Status: resp.StatusCode, Header: resp.Header, Body: body}}
}
