// Package payload bounds the memory of the bodies of requests and answers that this process holds. Clients may send bodies of any size and
// stop at any moment, so a body counts with its whole buffer from the moment at which that is allocated, and must arrive within the
// request's time.
//
// Packages front and route read requests' bodies with Read, and refuse those for which there is no room: they have not run.
package payload

import (
	"io"
	"math"
	"net/http"
	"os"
	"time"

	"github.com/cockroachdb/errors"
)

// firstBodyBytes is the size of the first buffer of a body.
const firstBodyBytes = 4 << 10

var (
	// ErrNoMemory reports that there is no memory for a body.
	ErrNoMemory = errors.New("host has no memory for the body")
	// ErrTooBig reports a body above its limit.
	ErrTooBig = errors.New("the body exceeds the limit")
	// ErrLate reports that a body has not arrived in time.
	ErrLate = errors.New("the body has not arrived in time")
)

// Read reads a body of at most limit bytes; zero sets no limit. It returns ErrTooBig for
// a longer one, and ErrNoMemory if this host has no memory for it. The buffer grows with what arrives, and all of it counts.
func Read(r *http.Request, limit int64, holds *Holding) ([]byte, error) {
	if r.ContentLength == 0 || r.Body == nil {
		return nil, nil
	}
	if limit > 0 && r.ContentLength > limit {
		return nil, ErrTooBig
	}
	largest := int64(math.MaxInt64)
	if r.ContentLength > 0 {
		largest = r.ContentLength
	} else if limit > 0 {
		largest = limit
	}
	var body []byte
	for {
		var err error
		body, err = growBody(body, largest, holds)
		if err != nil {
			return nil, err
		}
		n, err := r.Body.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case errors.Is(err, io.EOF):
			return body, nil
		case errors.Is(err, os.ErrDeadlineExceeded):
			return nil, ErrLate
		case err != nil:
			return nil, err
		case limit > 0 && int64(len(body)) > limit:
			return nil, ErrTooBig
		}
	}
}

// LimitTime sets the time within which the body of a request must have arrived: nobody waits for its answer afterwards. The returned
// function must be called with the error of reading the body. It ends the limit, or the connection if there is more of the body.
func LimitTime(w http.ResponseWriter, r *http.Request, limit time.Duration) (end func(err error)) {
	if r.ContentLength == 0 {
		return func(error) {}
	}
	controller := http.NewResponseController(w)
	if err := controller.SetReadDeadline(time.Now().Add(limit)); err != nil {
		// The connection is not one of the HTTP library's.
		return func(error) {}
	}
	return func(err error) {
		if errors.IsAny(err, ErrNoMemory, ErrTooBig, ErrLate) {
			w.Header().Set("Connection", "close")
			return
		}
		// An error means that the connection has ended, which shows otherwise.
		_ = controller.SetReadDeadline(time.Time{})
	}
}

// growBody returns the body with room for more bytes. It doubles the buffer, up to one byte more than the largest size of the body, by
// which a longer body shows.
func growBody(body []byte, largest int64, holds *Holding) ([]byte, error) {
	if len(body) < cap(body) {
		return body, nil
	}
	size := int64(max(2*cap(body), firstBodyBytes))
	if size >= largest {
		size = largest + 1
	}
	if !holds.TakeArriving(size) {
		return nil, ErrNoMemory
	}
	grown := make([]byte, len(body), size)
	copy(grown, body)
	holds.GiveBack(int64(cap(body)))
	return grown, nil
}
