package front

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"github.com/poplarcroft/poplarcroft/internal/bounded"
)

// startEndlessServer starts a server that answers each request with a head and then repeats a text until the caller
// closes the connection. "{id}" stands for the request's ID.
func startEndlessServer(t *testing.T, head, repeated string) *backendServer {
	t.Helper()
	return &backendServer{addr: serveConns(t, func(conn net.Conn) { sendWithoutEnd(conn, head, repeated) })}
}

func sendWithoutEnd(conn net.Conn, head, repeated string) {
	defer conn.Close()
	request, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	if _, err := io.WriteString(conn, strings.ReplaceAll(head, "{id}", request.Header.Get(testHeaders.RequestID))); err != nil {
		return
	}
	block := bytes.Repeat([]byte(repeated), 1+(1<<16)/len(repeated))
	for {
		if _, err := conn.Write(block); err != nil {
			return
		}
	}
}

// mostHeld returns the largest number of bytes that count towards maxLargeBytes, looked at each millisecond until ended is
// closed.
func mostHeld(memory *answerMemory, ended <-chan struct{}) int64 {
	most := int64(0)
	for {
		most = max(most, memory.large.Load())
		select {
		case <-ended:
			return most
		case <-time.After(time.Millisecond):
		}
	}
}

// TestEndlessBytesAreNoAnswer is a regression test: the first 64 MiB of a body that did not end passed for the whole
// answer, and some of them at once took all memory of a host.
func TestEndlessBytesAreNoAnswer(t *testing.T) {
	const head = "HTTP/1.1 200 X\r\nX-Id: {id}\r\nX-Digest: d\r\n"
	for name, c := range map[string]struct{ head, repeated string }{
		"chunks":            {head + "Transfer-Encoding: chunked\r\n\r\n", "400\r\n" + strings.Repeat("x", 0x400) + "\r\n"},
		"without a length":  {head + "\r\n", "x"},
		"length of 1 TB":    {head + "Content-Length: 1000000000000\r\n\r\n", "x"},
		"head":              {head, "X-More: more\r\n"},
		"line of a head":    {"HTTP/1.1 200 ", "x"},
		"chunk's extension": {head + "Transfer-Encoding: chunked\r\n\r\n4;", "x"},
		"trailer":           {head + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "X-More: more\r\n"},
		"interim answers":   {"", "HTTP/1.1 103 X\r\n\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			s := newSystem(t, startEndlessServer(t, c.head, c.repeated))
			const callers = 12
			var calls sync.WaitGroup
			for range callers {
				calls.Go(func() {
					response, body, err := s.call(t, "POST", "/post/x", "signed")
					assert.Check(t, err)
					if response != nil {
						assert.Check(t, response.StatusCode == http.StatusBadGateway, "status %d: %s", response.StatusCode, body)
					}
				})
			}
			ended := make(chan struct{})
			go func() {
				calls.Wait()
				close(ended)
			}()
			most := mostHeld(&s.ingress.answers, ended)
			// The read that exceeds a bound may be as long as the free part of the buffer.
			const lastRead = 1 << 20
			assert.Check(t, most <= maxLargeBytes+callers*lastRead, "%d bytes beyond %d of each answer held at once", most, smallAnswerBytes)
			assert.Check(t, s.read.Load() <= callers*(maxAnswerBytes+lastRead), "%d bytes read in %d answers", s.read.Load(), callers)
			assert.Equal(t, s.ingress.answers.large.Load(), int64(0))
		})
	}
}

// TestAnswersOfUsualSizeAreReadBesideEndlessOnes checks that answers that do not end take no memory from others.
func TestAnswersOfUsualSizeAreReadBesideEndlessOnes(t *testing.T) {
	var memory answerMemory
	memory.large.Store(maxLargeBytes)
	content, err := memory.read(strings.NewReader(strings.Repeat("x", smallAnswerBytes)), -1, nil)
	assert.NilError(t, err)
	assert.Equal(t, len(content), smallAnswerBytes)
	_, err = memory.read(strings.NewReader(strings.Repeat("x", smallAnswerBytes+1)), -1, nil)
	assert.Assert(t, errors.Is(err, bounded.ErrTooLarge))
	assert.Equal(t, memory.large.Load(), int64(maxLargeBytes))
}
