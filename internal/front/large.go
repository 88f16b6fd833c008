package front

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/poplarcroft/poplarcroft/internal/payload"
)

const (
	// streamThreshold is the size of the first part of a large answer. An answer that is not larger is held until it is
	// complete, so that another server can still be tried.
	streamThreshold = 64 << 10
	// connBuffers is the size of the buffers of the two connections of an answer that is passed on: 8 KiB each for reading
	// and writing at the server's, and 4 KiB each at the caller's.
	connBuffers = 24 << 10
	// receiveBufferBytes is the kernel's receive buffer of a connection from which a large answer is passed on. Linux
	// doubles the value. By default it grows to some MB, which would fill when the caller reads slowly.
	receiveBufferBytes = 64 << 10
	// largeAnswerBytes is what a request for a large answer holds: the first part, the connections' buffers and the
	// kernel's, which Linux makes twice as large as asked.
	largeAnswerBytes = streamThreshold + 1 + connBuffers + 2*sendBufferBytes + 2*receiveBufferBytes
)

// openAnswer is the rest of an answer whose first part has arrived.
type openAnswer struct {
	body io.ReadCloser
	// length is the length of the whole body, or negative if it is not known.
	length int64
	buffer []byte
}

// admit checks that this host has room for the answer to a request, and reserves what a large one needs. It returns a
// refusal if there is not enough memory, or if a large answer would wait for the link beyond the request's goal.
func (in *Ingress) admit(ctx context.Context, r *Request) (Result, bool) {
	if r.Route.Large {
		return in.admitLarge(ctx, r)
	}
	if !in.memory.HasRoom(payload.SmallRoom) {
		return notRun(reasonMemory, in.returnWithin(r, defaultRetryAfter)), false
	}
	return Result{}, true
}

// admitLarge is admit for a request of a route with large answers.
func (in *Ingress) admitLarge(ctx context.Context, r *Request) (Result, bool) {
	now := in.clock()
	use, excess := in.link.admit(r.Route.Name, max(r.Arrived+r.Route.Goal-now, minGoalLeft))
	if excess > 0 {
		in.Counters.countLarge(largeRefusedLink)
		return notRun(reasonLink, in.returnWithin(r, excess)), false
	}
	if !r.holds.AwaitLarge(ctx, largeAnswerBytes) {
		use.end(false)
		in.Counters.countLarge(largeRefusedMemory)
		return notRun(reasonMemory, in.returnWithin(r, defaultRetryAfter)), false
	}
	if r.delivery != nil {
		r.delivery.use = use
	}
	return Result{}, true
}

// returnWithin returns the time after which a refused caller should come back: the given one, but at most a third of the
// time that it still has. Callers do not honour a longer one.
func (in *Ingress) returnWithin(r *Request, after time.Duration) time.Duration {
	return min(max(after, minReturn), (r.Deadline-in.clock())/3)
}

const (
	// minReturn is the shortest time after which a caller is told to come back for a large answer.
	minReturn = 50 * time.Millisecond
	// minGoalLeft is the least wait for the link that is accepted, also from a request that will miss its goal anyway.
	minGoalLeft = 100 * time.Millisecond
)

// receive reads an answer to its end. Of an answer that is to be passed on while it arrives it reads the first part, and
// returns the rest.
func (in *Ingress) receive(r *Request, response *http.Response) (*Answer, *openAnswer, error) {
	length := response.ContentLength
	isSmall := length >= 0 && length <= streamThreshold
	if !r.Route.Large || r.delivery == nil || isSmall || length < 0 && !r.delivery.chunks {
		answer, err := in.completeAnswer(r, response)
		return answer, nil, err
	}
	if buffered, ok := response.Body.(interface{ SetReadBuffer(int) error }); ok {
		// A failure leaves the kernel's default.
		buffered.SetReadBuffer(receiveBufferBytes)
	}
	buffer := make([]byte, streamThreshold+1)
	n, err := io.ReadFull(response.Body, buffer)
	answer := &Answer{Status: response.StatusCode, Header: response.Header, Body: buffer[:n]}
	switch {
	case err == nil:
		return answer, &openAnswer{body: response.Body, length: length, buffer: buffer}, nil
	case err == io.EOF, err == io.ErrUnexpectedEOF:
		// ReadFull itself returns these two after the body's end. An answer that broke off has a marked error, which may
		// wrap one of them, so they are compared by identity.
		response.Body.Close()
		return answer, nil, nil
	}
	response.Body.Close()
	return nil, nil, err
}

// hold reads the rest of an answer into memory.
func (in *Ingress) hold(r *Request, answer *Answer, rest *openAnswer) (*Answer, error) {
	defer rest.body.Close()
	body, err := in.answers.read(rest.body, -1, r.holds)
	if err != nil {
		return nil, err
	}
	return &Answer{Status: answer.Status, Header: answer.Header, Body: append(answer.Body, body...)}, nil
}

// passOn passes an answer on to the caller while it arrives. The result is not Done if it broke off.
func (in *Ingress) passOn(ctx context.Context, r *Request, answer *Answer, rest *openAnswer) (*Answer, error) {
	defer rest.body.Close()
	err := r.delivery.pass(ctx, answer, rest.body, rest.length, rest.buffer)
	r.delivery.use.end(err == nil)
	switch {
	case err == nil:
		in.Counters.countLarge(largePassedOn)
	case r.delivery.failed || ctx.Err() != nil:
		in.Counters.countLarge(largeCallerFailed)
	default:
		in.Counters.countLarge(largeBrokeOff)
	}
	return &Answer{Status: answer.Status, Header: answer.Header, passedOn: true}, err
}
