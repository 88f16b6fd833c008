package front

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"github.com/poplarcroft/poplarcroft/internal/bounded"
)

// startEndlessServer starts a server that answers each request with a head and then repeats a text until the caller
// closes the connection. "{id}" stands for the request's ID. It returns the number of bytes that were sent.
func startEndlessServer(t *testing.T, head, repeated string) (*backendServer, *atomic.Int64) {
	t.Helper()
	listener := listen(t)
	t.Cleanup(func() { listener.Close() })
	sent := &atomic.Int64{}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go sendWithoutEnd(conn, head, repeated, sent)
		}
	}()
	return &backendServer{addr: listener.Addr().String()}, sent
}

func sendWithoutEnd(conn net.Conn, head, repeated string, sent *atomic.Int64) {
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
		n, err := conn.Write(block)
		sent.Add(int64(n))
		if err != nil {
			return
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
			server, sent := startEndlessServer(t, c.head, c.repeated)
			s := newSystem(t, server)
			const callers = 12
			var calls sync.WaitGroup
			for range callers {
				calls.Go(func() {
					response, _, err := s.call(t, "POST", "/post/x", "signed")
					assert.Check(t, err)
					if response != nil {
						assert.Check(t, response.StatusCode == http.StatusBadGateway, "status %d", response.StatusCode)
					}
				})
			}
			calls.Wait()
			// What the sockets hold is not in the host's memory.
			const inSockets = 8 << 20
			bound := int64(maxLargeBytes + callers*(smallAnswerBytes+inSockets))
			assert.Check(t, sent.Load() <= bound, "%d bytes sent, want at most %d", sent.Load(), bound)
			assert.Equal(t, s.ingress.answers.large.Load(), int64(0))
		})
	}
}

// TestAnswersOfUsualSizeAreReadBesideEndlessOnes checks that answers that do not end take no memory from others.
func TestAnswersOfUsualSizeAreReadBesideEndlessOnes(t *testing.T) {
	var memory answerMemory
	memory.large.Store(maxLargeBytes)
	content, err := memory.read(strings.NewReader(strings.Repeat("x", smallAnswerBytes)))
	assert.NilError(t, err)
	assert.Equal(t, len(content), smallAnswerBytes)
	_, err = memory.read(strings.NewReader(strings.Repeat("x", smallAnswerBytes+1)))
	assert.Assert(t, errors.Is(err, bounded.ErrTooLarge))
	assert.Equal(t, memory.large.Load(), int64(maxLargeBytes))
}
