package answer

import (
	"bytes"

	"golang.org/x/net/http/httpguts"

	"github.com/poplarcroft/poplarcroft/internal/bounded"
)

// headReader checks the heads of answers line by line, as their bytes arrive.
type headReader struct {
	// line holds the start of a line whose end has not arrived, and size is the size of the present head so far.
	line []byte
	size int
	// inFields says that the status line has been read. interim says that its status is that of an interim answer, and
	// version10 that its version is 1.0.
	inFields, interim, version10 bool
	// done is set once the head of a final answer has been read. What follows is its body.
	done bool
}

// expect makes the reader expect the head of the answer to a new request.
func (h *headReader) expect() {
	*h = headReader{line: h.line[:0]}
}

// read checks bytes that have arrived.
func (h *headReader) read(p []byte) error {
	for len(p) > 0 && !h.done {
		end := bytes.IndexByte(p, '\n')
		part := p
		if end >= 0 {
			part = p[:end]
		}
		if h.size += len(part) + 1; h.size > bounded.MaxHeaderBytes {
			return faulty(FaultHeadSize)
		}
		if end < 0 {
			h.line = append(h.line, part...)
			return nil
		}
		line := part
		if len(h.line) > 0 {
			h.line = append(h.line, part...)
			line = h.line
		}
		p = p[end+1:]
		if err := h.readLine(bytes.TrimSuffix(line, []byte("\r"))); err != nil {
			return err
		}
		h.line = h.line[:0]
	}
	return nil
}

// readLine checks one line without its end.
func (h *headReader) readLine(line []byte) error {
	switch {
	case !h.inFields:
		return h.readStatus(line)
	case len(line) > 0:
		return h.readField(line)
	case h.interim:
		h.expect()
	default:
		h.done = true
	}
	return nil
}

// The length of a version and a status in a status line, and the statuses that a server may answer with.
const (
	versionBytes, statusBytes = len("HTTP/1.1 "), len("200")
	firstFinal, firstInvalid  = 200, 600
	switchingProtocols        = 101
)

// readStatus checks the status line.
func (h *headReader) readStatus(line []byte) error {
	isVersion10 := bytes.HasPrefix(line, []byte("HTTP/1.0 "))
	if !isVersion10 && !bytes.HasPrefix(line, []byte("HTTP/1.1 ")) {
		return faulty(FaultStatus)
	}
	status, ok := parseStatus(line[versionBytes:])
	if !ok || status < 100 || status == switchingProtocols || status >= firstInvalid {
		return faulty(FaultStatus)
	}
	h.inFields, h.interim, h.version10 = true, status < firstFinal, isVersion10
	return nil
}

// parseStatus parses the three digits of a status, which a blank or the end of the line follows.
func parseStatus(rest []byte) (status int, ok bool) {
	if len(rest) < statusBytes || len(rest) > statusBytes && rest[statusBytes] != ' ' {
		return 0, false
	}
	for _, c := range rest[:statusBytes] {
		if c < '0' || c > '9' {
			return 0, false
		}
		status = status*10 + int(c-'0')
	}
	return status, true
}

// readField checks one line of a head that is to be a field.
func (h *headReader) readField(line []byte) error {
	name, value, found := bytes.Cut(line, []byte(":"))
	if !found || !isToken(name) || bytes.ContainsFunc(value, isControl) {
		return faulty(FaultField)
	}
	if h.version10 && bytes.EqualFold(name, []byte("Transfer-Encoding")) {
		return faulty(FaultFraming)
	}
	return nil
}

// isToken reports whether the name of a field is a token.
func isToken(name []byte) bool {
	return len(name) > 0 && !bytes.ContainsFunc(name, func(r rune) bool { return !httpguts.IsTokenRune(r) })
}

// isControl reports whether a character is not allowed in the value of a field.
func isControl(r rune) bool {
	return r < ' ' && r != '\t' || r == 0x7f
}
