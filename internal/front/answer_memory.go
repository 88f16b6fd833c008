package front

import (
	"io"
	"sync/atomic"

	"github.com/cockroachdb/errors"

	"github.com/poplarcroft/poplarcroft/internal/bounded"
	"github.com/poplarcroft/poplarcroft/internal/payload"
)

const (
	// maxAnswerBytes is the maximum size of an answer's body, which is held in memory until it is complete.
	maxAnswerBytes = 16 << 20
	// smallAnswerBytes is the part of each answer that does not count towards maxLargeBytes, so that answers
	// of the usual size are read also while others do not end.
	smallAnswerBytes = 1 << 20
	// maxLargeBytes is the maximum number of further bytes of all answers that are read at the same time.
	maxLargeBytes = 16 << 20
	// maxReadBytes is the maximum size of one read of an answer whose length is not known to be small. Bytes are counted once
	// they are read, so the bounds above are exceeded by one read of each answer at most.
	maxReadBytes = 256 << 10
)

// answerMemory bounds the memory for answers that are being read. It is safe for concurrent use.
type answerMemory struct {
	// large counts the bytes beyond smallAnswerBytes of all answers that are being read.
	large atomic.Int64
}

// read reads a body of the given length, or of a negative one if it is not known, to its end. One that is too large, by itself or
// together with others, gives bounded.ErrTooLarge.
// The bytes stay counted in holds.
func (m *answerMemory) read(body io.Reader, length int64, holds *payload.Holding) ([]byte, error) {
	if length >= 0 && length <= smallAnswerBytes {
		return readSized(body, length, holds)
	}
	counted := &countedReader{Reader: body, memory: m, holds: holds}
	defer counted.release()
	return bounded.ReadAll(counted, maxAnswerBytes)
}

// readSized reads a body of a known length into a buffer of this size.
func readSized(body io.Reader, length int64, holds *payload.Holding) ([]byte, error) {
	if !holds.Take(length) {
		return nil, errors.Wrapf(bounded.ErrTooLarge, "%d bytes, and the host has no memory for them", length)
	}
	buffer := make([]byte, length)
	n, err := io.ReadFull(body, buffer)
	if err == io.EOF || err == io.ErrUnexpectedEOF {
		// ReadFull itself returns these two after the body's end: the answer to a HEAD request has a length and no body.
		// One that broke off has a marked error, which may wrap one of them, so they are compared by identity.
		return buffer[:n], nil
	}
	if err != nil {
		return nil, err
	}
	return buffer, nil
}

// countedReader is an answer's body that is being read.
type countedReader struct {
	io.Reader
	memory *answerMemory
	holds  *payload.Holding
	// size is the number of bytes read, and large the number that count towards maxLargeBytes.
	size, large int64
}

// Read implements io.Reader.
func (r *countedReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p[:min(len(p), maxReadBytes)])
	r.size += int64(n)
	if !r.holds.Take(int64(n)) {
		return n, errors.Wrapf(bounded.ErrTooLarge, "%d bytes, and the host has no memory for more", r.size)
	}
	if r.size <= smallAnswerBytes {
		return n, err
	}
	more := r.size - smallAnswerBytes - r.large
	r.large += more
	if held := r.memory.large.Add(more); held > maxLargeBytes {
		return n, errors.Wrapf(bounded.ErrTooLarge, "%d bytes, all that are being read have %d beyond %d each", r.size, held, smallAnswerBytes)
	}
	return n, err
}

// release ends the counting of the answer.
func (r *countedReader) release() {
	r.memory.large.Add(-r.large)
}
