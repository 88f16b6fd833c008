package front

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"github.com/poplarcroft/poplarcroft/internal/bounded"
)

// endlessServer answers each request with a head and then repeats a text until the caller closes the connection. "{id}"
// stands for the request's ID. The first answers begin when all requests have arrived, so that they are read at the same time.
type endlessServer struct {
	head, repeated string
	// requests is how many requests must have arrived before the first answer, and arrived how many have.
	requests int64
	arrived  atomic.Int64
	// complete is closed when they have arrived.
	complete chan struct{}
}

// startEndlessServer starts a server that begins to answer when it has a number of requests.
func startEndlessServer(t *testing.T, head, repeated string, requests int64) *backendServer {
	t.Helper()
	server := &endlessServer{head: head, repeated: repeated, requests: requests, complete: make(chan struct{})}
	return &backendServer{addr: serveConns(t, func(conn net.Conn) { server.serve(t.Context(), conn) })}
}

func (e *endlessServer) serve(ctx context.Context, conn net.Conn) {
	defer conn.Close()
	request, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	if e.arrived.Add(1) == e.requests {
		close(e.complete)
	}
	select {
	case <-e.complete:
		e.answer(conn, request)
	case <-ctx.Done():
	}
}

func (e *endlessServer) answer(conn net.Conn, request *http.Request) {
	if _, err := io.WriteString(conn, strings.ReplaceAll(e.head, "{id}", request.Header.Get(testHeaders.RequestID))); err != nil {
		return
	}
	block := bytes.Repeat([]byte(e.repeated), 1+(1<<16)/len(e.repeated))
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
// answer, and some of them at once took all memory of a host. Later, one read of each answer could be as long as a third of it, which
// was more than the bound allows for.
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
			const callers = 12
			s := newSystem(t, startEndlessServer(t, c.head, c.repeated, callers))
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
			assert.Check(t, most <= maxLargeBytes+callers*maxReadBytes, "%d bytes beyond %d of each answer held at once", most, smallAnswerBytes)
			assert.Check(t, s.read.Load() <= callers*(maxAnswerBytes+maxReadBytes), "%d bytes read in %d answers", s.read.Load(), callers)
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

// largestRead is an endless body that notes the longest read.
type largestRead struct{ bytes int }

// Read implements io.Reader.
func (r *largestRead) Read(p []byte) (int, error) {
	r.bytes = max(r.bytes, len(p))
	return len(p), nil
}

// TestOneReadOfAnAnswerIsBounded guards against an answer of which one read takes several MiB before they are counted.
func TestOneReadOfAnAnswerIsBounded(t *testing.T) {
	var memory answerMemory
	var body largestRead
	_, err := memory.read(&body, -1, nil)
	assert.Assert(t, errors.Is(err, bounded.ErrTooLarge))
	assert.Assert(t, body.bytes <= maxReadBytes, "%d bytes in one read", body.bytes)
}
