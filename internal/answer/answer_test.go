package answer

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/net/http/httpguts"
	"gotest.tools/v3/assert"

	"github.com/poplarcroft/poplarcroft/internal/conntest"
)

// heads are the heads of answers with the fault that each has, or none.
var heads = map[string]Fault{
	"HTTP/1.1 200 OK\r\nA: b\r\n\r\n":                                      "",
	"HTTP/1.1 200 OK\nA: b\n\n":                                            "",
	"HTTP/1.0 200\r\n\r\n":                                                 "",
	"HTTP/1.1 200 \r\nA:\r\n\r\n":                                          "",
	"HTTP/1.1 599 X\r\nA: \tb \xc3\xa4\xff\r\n\r\n":                        "",
	"HTTP/1.1 103 X\r\nA: b\r\n\r\nHTTP/1.1 200 X\r\nA: b\r\n\r\nB ody: x": "",
	"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n":                "",
	"HTTP/1.0 200 OK\r\nTransfer-encoding: chunked\r\n\r\n":                FaultFraming,
	"HTTP/1.1 000 X\r\n\r\n":                                               FaultStatus,
	"HTTP/1.1 099 X\r\n\r\n":                                               FaultStatus,
	"HTTP/1.1 101 X\r\n\r\n":                                               FaultStatus,
	"HTTP/1.1 600 X\r\n\r\n":                                               FaultStatus,
	"HTTP/1.1 -20 X\r\n\r\n":                                               FaultStatus,
	"HTTP/1.1 2000 X\r\n\r\n":                                              FaultStatus,
	"HTTP/1.1 20\r\n\r\n":                                                  FaultStatus,
	"HTTP/1.1  200 X\r\n\r\n":                                              FaultStatus,
	"HTTP/1.2 200 X\r\n\r\n":                                               FaultStatus,
	"HTTP/2.0 200 X\r\n\r\n":                                               FaultStatus,
	"http/1.1 200 X\r\n\r\n":                                               FaultStatus,
	"\r\nHTTP/1.1 200 X\r\n\r\n":                                           FaultStatus,
	"HTTP/1.1 200 X\r\nA b: c\r\n\r\n":                                     FaultField,
	"HTTP/1.1 200 X\r\nA : b\r\n\r\n":                                      FaultField,
	"HTTP/1.1 200 X\r\nA: b\r\n c\r\n\r\n":                                 FaultField,
	"HTTP/1.1 200 X\r\n: b\r\n\r\n":                                        FaultField,
	"HTTP/1.1 200 X\r\nA\r\n\r\n":                                          FaultField,
	"HTTP/1.1 200 X\r\nA\x00: b\r\n\r\n":                                   FaultField,
	"HTTP/1.1 200 X\r\nA: b\x00\r\n\r\n":                                   FaultField,
	"HTTP/1.1 200 X\r\nA: b\rB: c\r\n\r\n":                                 FaultField,
	"HTTP/1.1 103 X\r\nA b: c\r\n\r\nHTTP/1.1 200 X\r\n\r\n":               FaultField,
	"HTTP/1.1 200 " + strings.Repeat("x", 70<<10) + "\r\n\r\n":             FaultHeadSize,
	"HTTP/1.1 200 X\r\n" + strings.Repeat("A: b\r\n", 20<<10) + "\r\n":     FaultHeadSize,
}

// checkIn checks a head that arrives in parts of the given sizes, drawn anew for each.
func checkIn(head string, size func() int) (headReader, error) {
	var h headReader
	for rest := []byte(head); len(rest) > 0; {
		n := min(size(), len(rest))
		if err := h.read(rest[:n]); err != nil {
			return h, err
		}
		rest = rest[n:]
	}
	return h, nil
}

// TestHeads checks each head as a whole and in parts.
func TestHeads(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	for head, fault := range heads {
		for name, size := range map[string]func() int{
			"whole": func() int { return len(head) }, "bytes": func() int { return 1 }, "parts": func() int { return 1 + random.IntN(9) },
		} {
			before := Counts()[string(fault)]
			h, err := checkIn(head, size)
			if fault == "" {
				assert.NilError(t, err, "%s: %.80q", name, head)
				assert.Assert(t, h.done, "%s: %.80q", name, head)
				continue
			}
			assert.Assert(t, errors.Is(err, ErrFaulty), "%s: %.80q: %v", name, head, err)
			assert.ErrorContains(t, err, string(fault))
			assert.Equal(t, Counts()[string(fault)], before+1)
		}
	}
}

// FuzzHead checks that the verdict on a head does not depend on how it arrives, and that the HTTP library finds a valid status and
// valid names in each head that is not faulty.
func FuzzHead(f *testing.F) {
	for head := range heads {
		if len(head) < 1<<10 {
			f.Add(head, uint64(1))
		}
	}
	f.Fuzz(func(t *testing.T, head string, seed uint64) {
		random := rand.New(rand.NewPCG(seed, 0))
		whole, err := checkIn(head, func() int { return len(head) })
		parts, partsErr := checkIn(head, func() int { return 1 + random.IntN(5) })
		assert.Equal(t, err == nil, partsErr == nil)
		if err != nil {
			return
		}
		assert.Equal(t, whole.done, parts.done)
		if !whole.done {
			return
		}
		response, err := http.ReadResponse(bufio.NewReader(strings.NewReader(head)), nil)
		if err != nil {
			return
		}
		assert.Assert(t, response.StatusCode >= 100 && response.StatusCode < firstInvalid)
		for name := range response.Header {
			assert.Assert(t, httpguts.ValidHeaderFieldName(name), "%q", name)
		}
	})
}

// TestRequestsAreFollowed checks that the end of each request is found, however its bytes are written.
func TestRequestsAreFollowed(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	for range 2000 {
		var w requestWriter
		for range 3 {
			body := strings.Repeat("\r\n\r\nx", random.IntN(8))
			head := fmt.Sprintf("POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n", len(body))
			if body == "" && random.IntN(2) == 0 {
				head = "GET /x HTTP/1.1\r\nHost: a\r\n\r\n"
			}
			rest := []byte(head + body)
			for first := true; len(rest) > 0; first = false {
				assert.Equal(t, w.begin(), first)
				assert.Assert(t, !w.whole())
				n := 1 + random.IntN(len(rest))
				w.written(rest[:n])
				rest = rest[n:]
				assert.Equal(t, w.whole(), len(rest) == 0)
			}
		}
	}
	var w requestWriter
	assert.Assert(t, w.whole())
	w.begin()
	w.written([]byte("POST /x HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"))
	assert.Assert(t, !w.whole(), "the end of a body in chunks is not looked for")
}

// pair returns a connection that checks answers, and its other end.
func pair(t *testing.T) (*Conn, *net.TCPConn) {
	t.Helper()
	dialled, accepted := conntest.Pair(t)
	return NewConn(dialled), accepted
}

// TestEndOfAnAnswerWithoutALength checks when the end of a connection is that of an answer.
func TestEndOfAnAnswerWithoutALength(t *testing.T) {
	const head, answer = "POST /x HTTP/1.1\r\nContent-Length: 4\r\n\r\n", "HTTP/1.1 200 X\r\n\r\npart"
	for name, c := range map[string]struct {
		written, later string
		close          bool
		whole          bool
	}{
		"after the request":                 {head + "body", "", false, true},
		"before the end of the body":        {head + "bo", "", false, false},
		"before the end of the head":        {head[:9], "", false, false},
		"and the rest is written meanwhile": {head + "bo", "dy", false, true},
		"and the connection is closed":      {head + "bo", "", true, false},
	} {
		t.Run(name, func(t *testing.T) {
			conn, server := pair(t)
			_, err := io.WriteString(conn, c.written)
			assert.NilError(t, err)
			_, err = io.WriteString(server, answer)
			assert.NilError(t, err)
			assert.NilError(t, server.CloseWrite())
			time.AfterFunc(50*time.Millisecond, func() {
				io.WriteString(conn, c.later)
				if c.close {
					conn.Close()
				}
			})
			began := time.Now()
			got, err := io.ReadAll(conn)
			assert.Equal(t, string(got), answer)
			assert.Assert(t, time.Since(began) < 10*writeStall)
			if c.whole {
				assert.NilError(t, err)
				return
			}
			if !c.close {
				assert.Assert(t, errors.Is(err, ErrFaulty), "%v", err)
			}
			assert.Assert(t, err != nil)
		})
	}
}

// TestIdleConnectionThatEnds checks that the end of a connection on which no request waits is no fault.
func TestIdleConnectionThatEnds(t *testing.T) {
	conn, server := pair(t)
	before := fmt.Sprint(Counts())
	assert.NilError(t, server.Close())
	_, err := conn.Read(make([]byte, 1))
	assert.Equal(t, err, io.EOF)
	assert.Equal(t, fmt.Sprint(Counts()), before)
}

// TestEachAnswerOfAConnectionIsChecked checks answers one after the other on one connection.
func TestEachAnswerOfAConnectionIsChecked(t *testing.T) {
	conn, server := pair(t)
	exchange := func(answer string) error {
		_, err := io.WriteString(conn, "GET / HTTP/1.1\r\n\r\n")
		assert.NilError(t, err)
		_, err = io.WriteString(server, answer)
		assert.NilError(t, err)
		_, err = io.ReadFull(conn, make([]byte, len(answer)))
		return err
	}
	sound := "HTTP/1.1 200 X\r\nContent-Length: 9\r\n\r\nA B: c\r\n\r"
	assert.NilError(t, exchange(sound))
	assert.NilError(t, exchange(sound))
	err := exchange("HTTP/1.1 200 X\r\nA B: c\r\n\r\n")
	assert.Assert(t, errors.Is(err, ErrFaulty), "%v", err)
	_, err = conn.Read(make([]byte, 1))
	assert.Assert(t, errors.Is(err, ErrFaulty), "the connection goes on after a fault: %v", err)
}

// TestTrailers checks the names in trailers.
func TestTrailers(t *testing.T) {
	assert.NilError(t, CheckTrailer(nil))
	assert.NilError(t, CheckTrailer(http.Header{"X-Odd": {"1"}}))
	assert.Assert(t, errors.Is(CheckTrailer(http.Header{"X Odd": {"1"}}), ErrFaulty))
}

// BenchmarkHead measures the check of the head of an ordinary answer.
func BenchmarkHead(b *testing.B) {
	head := []byte("HTTP/1.1 200 OK\r\nX-Attempt: 9c41d07be2a35f68\r\nX-Signature: 3e1b.07.5a2.600.0.c9f2a4d1\r\nX-Load: 3,0,8,100\r\n" +
		"Keep-Alive: timeout=5\r\nContent-Type: application/octet-stream\r\nContent-Length: 600\r\nDate: Mon, 07 Dec 2026 04:00:00 GMT\r\n\r\n")
	chunk := append(bytes.Clone(head), make([]byte, 600)...)
	var h headReader
	b.ReportAllocs()
	for b.Loop() {
		h.expect()
		if h.read(chunk) != nil || !h.done {
			b.Fatal("the head is faulty")
		}
	}
}
