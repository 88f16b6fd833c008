package answer

import (
	"bytes"
	"strconv"
)

// requestWriter follows the bytes of requests that the HTTP library writes, to tell when one has been written whole. The
// requests are well-formed: the library writes them.
type requestWriter struct {
	// head holds the head of the present request so far. inBody says that it is complete, and left is the number of bytes of
	// the body that have not been written, or unknownLength.
	head   []byte
	inBody bool
	left   int64
	// begun says that a request has been begun, and failed that a write of it has failed.
	begun, failed bool
}

// unknownLength stands for a body in chunks. Its end is not looked for, so such a request never counts as written whole. No client of
// this product sends one.
const unknownLength = -1

// whole reports whether the request has been written whole, without an error. It is true before the first request.
func (w *requestWriter) whole() bool {
	return !w.begun || w.inBody && w.left == 0 && !w.failed
}

// begin records that bytes are about to be written. It returns true if a new request begins with them.
func (w *requestWriter) begin() bool {
	if w.begun && !w.whole() {
		return false
	}
	*w = requestWriter{head: w.head[:0], begun: true}
	return true
}

// written records bytes that have been written.
func (w *requestWriter) written(p []byte) {
	if w.inBody {
		w.wroteBody(len(p))
		return
	}
	// The end of the head may lie across two writes.
	const end = "\r\n\r\n"
	from := max(len(w.head)-len(end)+1, 0)
	before := len(w.head)
	w.head = append(w.head, p...)
	i := bytes.Index(w.head[from:], []byte(end))
	if i < 0 {
		return
	}
	headBytes := from + i + len(end)
	w.inBody = true
	w.left = bodyLength(w.head[:headBytes])
	w.wroteBody(before + len(p) - headBytes)
	w.head = w.head[:0]
}

// wroteBody records bytes of the body that have been written.
func (w *requestWriter) wroteBody(n int) {
	if w.left != unknownLength {
		w.left = max(w.left-int64(n), 0)
	}
}

// bodyLength returns the length of the body that follows a request's head.
func bodyLength(head []byte) int64 {
	length := int64(0)
	for line := range bytes.SplitSeq(head, []byte("\r\n")) {
		name, value, _ := bytes.Cut(line, []byte(":"))
		switch {
		case bytes.EqualFold(name, []byte("Content-Length")):
			parsed, err := strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64)
			if err != nil {
				return unknownLength
			}
			length = parsed
		case bytes.EqualFold(name, []byte("Transfer-Encoding")):
			return unknownLength
		}
	}
	return length
}
