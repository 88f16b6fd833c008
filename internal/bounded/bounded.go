// Package bounded reads what another process sends without holding more of it in memory than a limit. A
// server in trouble may send bytes without end, and a part of an answer must not pass for the whole.
package bounded

import (
	"io"

	"github.com/cockroachdb/errors"
)

// MaxHeaderBytes is the maximum size of the header of a request or an answer. The HTTP library holds a parsed header in several
// times its size, and its own limits are 1 MB for requests and 10 MB for answers.
const MaxHeaderBytes = 64 << 10

// ErrTooLarge reports a body that is longer than its limit, or never ends.
var ErrTooLarge = errors.New("bounded: body is too large")

// ReadAll reads a body to its end. One of more than limit bytes gives ErrTooLarge; the caller closes it,
// which ends its connection.
func ReadAll(body io.Reader, limit int64) ([]byte, error) {
	content, err := io.ReadAll(io.LimitReader(body, limit+1))
	if err != nil {
		return nil, err
	}
	if int64(len(content)) > limit {
		return nil, errors.Wrapf(ErrTooLarge, "over %d bytes", limit)
	}
	return content, nil
}
