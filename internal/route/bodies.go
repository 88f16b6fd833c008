package route

import (
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/poplarcroft/poplarcroft/internal/outcome"
	"github.com/poplarcroft/poplarcroft/internal/payload"
)

const (
	// maxBodyBytes is the largest request body. It is held in memory until the answer.
	maxBodyBytes = 8 << 20
	// bodyMemory bounds the memory in bytes of the bodies of all requests together.
	bodyMemory = 128 << 20
)

// bodyReader reads the bodies of requests. It is safe for concurrent use.
type bodyReader struct {
	memory *payload.Memory
}

func newBodyReader() *bodyReader {
	return &bodyReader{memory: payload.NewMemory(bodyMemory)}
}

// read reads the body of a request, which must arrive within the timeout. The returned function must be called when the request has
// ended. The result is a refusal and false if the body cannot be taken; the request has not run then.
func (b *bodyReader) read(w http.ResponseWriter, r *http.Request, timeout time.Duration) (body []byte, release func(), refusal outcome.Refusal, ok bool) {
	holds := payload.NewHolding(b.memory)
	end := payload.LimitTime(w, r, timeout)
	body, err := payload.Read(r, maxBodyBytes, holds)
	end(err)
	if err != nil {
		holds.Release()
		return nil, func() {}, bodyRefusal(err), false
	}
	return body, holds.Release, outcome.Refusal{}, true
}

// bodyRefusal returns the refusal for an error of payload.Read.
func bodyRefusal(err error) outcome.Refusal {
	switch {
	case errors.Is(err, payload.ErrTooBig):
		return badRequest("the body exceeds " + strconv.Itoa(maxBodyBytes) + " bytes")
	case errors.Is(err, payload.ErrNoMemory):
		return outcome.Refusal{Outcome: outcome.NotRun, Reason: outcome.ReasonOverloaded, Detail: err.Error(), RetryAfter: defaultRetryAfter}
	case errors.Is(err, payload.ErrLate):
		return outcome.Refusal{Outcome: outcome.NotRun, Reason: outcome.ReasonDeadline, Detail: err.Error()}
	}
	return badRequest("the body could not be read")
}
