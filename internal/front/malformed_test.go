package front

import (
	"bytes"
	"fmt"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/poplarcroft/poplarcroft/internal/answer"
	"github.com/poplarcroft/poplarcroft/internal/fleet"
)

// malformedAnswers are answers that are none in the protocol, by manner.
var malformedAnswers = map[string]string{
	"status 000":                           "HTTP/1.1 000 X\r\nX-Id: {id}\r\nX-Digest: d\r\nContent-Length: 4\r\n\r\ndone",
	"status 042":                           "HTTP/1.1 042 X\r\nX-Id: {id}\r\nX-Digest: d\r\nContent-Length: 4\r\n\r\ndone",
	"status +20":                           "HTTP/1.1 +20 X\r\nX-Id: {id}\r\nX-Digest: d\r\nContent-Length: 4\r\n\r\ndone",
	"status 600":                           "HTTP/1.1 600 X\r\nX-Id: {id}\r\nX-Digest: d\r\nContent-Length: 4\r\n\r\ndone",
	"status 999":                           "HTTP/1.1 999 X\r\nX-Id: {id}\r\nX-Digest: d\r\nContent-Length: 4\r\n\r\ndone",
	"switch of protocols":                  "HTTP/1.1 101 X\r\nX-Id: {id}\r\nX-Digest: d\r\nConnection: upgrade\r\nUpgrade: x\r\n\r\n",
	"version 2.0":                          "HTTP/2.0 200 X\r\nX-Id: {id}\r\nX-Digest: d\r\nContent-Length: 4\r\n\r\ndone",
	"blank in a name":                      withLine(200, "X Odd: 1"),
	"blank in a name, 404":                 withLine(404, "X Odd: 1"),
	"blank in a name, not run":             withLine(503, "X Odd: 1\r\nX-Not-Run: 1"),
	"blank in a name, another owner":       withLine(421, "X Odd: 1"),
	"blank after a name":                   withLine(200, "X-Odd : 1"),
	"tab after a name":                     withLine(200, "X-Odd\t: 1"),
	"blank before a name":                  withLine(200, " X-Odd: 1"),
	"tab before a name":                    withLine(200, "\tX-Odd: 1"),
	"control byte in a name":               withLine(200, "X-\x01Odd: 1"),
	"NUL in a name":                        withLine(200, "X-\x00Odd: 1"),
	"DEL in a name":                        withLine(200, "X-Odd\x7f: 1"),
	"byte above 127 in a name":             withLine(200, "X-\xffOdd: 1"),
	"no name":                              withLine(200, ": 1"),
	"no colon":                             withLine(200, "X-Odd"),
	"control byte in a value":              withLine(200, "X-Odd: a\x01b"),
	"carriage return in a value":           withLine(200, "X-Odd: a\rX-More: b"),
	"length after a blank":                 "HTTP/1.1 200 X\r\nX-Id: {id}\r\nX-Digest: d\r\nContent-Length : 4\r\nConnection: close\r\n\r\ndoneXXX",
	"chunks after a blank":                 "HTTP/1.1 200 X\r\nX-Id: {id}\r\nX-Digest: d\r\nTransfer-Encoding : chunked\r\nConnection: close\r\n\r\n4\r\ndone\r\n0\r\n\r\n",
	"length on a folded line":              "HTTP/1.1 200 X\r\nX-Id: {id}\r\nX-Digest: d\r\nX-Odd: 1\r\n Content-Length: 4\r\nConnection: close\r\n\r\ndoneXXX",
	"chunks in version 1.0":                "HTTP/1.0 200 X\r\nX-Id: {id}\r\nX-Digest: d\r\nTransfer-Encoding: chunked\r\nConnection: close\r\n\r\n4\r\ndone\r\n0\r\n\r\n",
	"blank in a name of an interim answer": "HTTP/1.1 103 X\r\nX Odd: 1\r\n\r\n" + answerOK,
	"blank in a name of a trailer":         "HTTP/1.1 200 X\r\nX-Id: {id}\r\nX-Digest: d\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ndone\r\n0\r\nX Odd: 1\r\n\r\n",
}

// withLine returns an answer with a line in its head.
func withLine(status int, line string) string {
	return rawAnswer(status, "done", line+"\r\n")
}

// TestMalformedAnswersAreNone guards against answers of servers in trouble that callers get, with a line that is no field or with a body that
// is not the server's, and against a status that ends a host's handler in a panic (MIXED). Such an answer proves nothing, whatever it
// claims: the request may have run.
func TestMalformedAnswersAreNone(t *testing.T) {
	for name, malformed := range malformedAnswers {
		t.Run(name, func(t *testing.T) {
			for _, path := range []string{"/unsafe/x", "/post/x", "hop /unsafe/x", "hop /post/x"} {
				server := startServer(t, malformed, answerOK)
				s := hostFor(t, path, server.addr)
				response, got, err := s.call(t, "POST", strings.TrimPrefix(path, "hop "), "signed")
				if !assert.Check(t, err == nil, "%s: %v", path, err) {
					continue
				}
				assert.Check(t, response.StatusCode == http.StatusBadGateway, "%s: %d %q", path, response.StatusCode, got)
				assert.Check(t, response.Header.Get("X-Digest") == "", path)
				assert.Check(t, len(server.seen()) == 1, "%s: %d requests", path, len(server.seen()))
			}
			for _, path := range []string{"/keyed/x", "/any/x", "/download/x", "hop /keyed/x"} {
				faulty, good := startServer(t, malformed, answerOK), startServer(t, answerOK)
				response, got, err := hostFor(t, path, faulty.addr, good.addr).call(t, "GET", strings.TrimPrefix(path, "hop "), "")
				if !assert.Check(t, err == nil, "%s: %v", path, err) {
					continue
				}
				assert.Check(t, response.StatusCode == 200, "%s: %d %q", path, response.StatusCode, got)
				assert.Check(t, got == "done", "%s: %q", path, got)
				assert.Check(t, len(faulty.seen())+len(good.seen()) == 2, "%s: %d and %d requests", path, len(faulty.seen()), len(good.seen()))
			}
		})
	}
}

// TestMalformedAnswersTellNothing guards against facts about a server that are read from an answer which is none: that it leaves, names a
// limit, or asks for a pause.
func TestMalformedAnswersTellNothing(t *testing.T) {
	server := startServer(t, rawAnswer(503, "", "X-Not-Run: 1\r\nRetry-After: 30\r\nX-Leaving: 1\r\nX-Limit: 0.1\r\nX Odd: 1\r\n"), answerOK)
	s := newSystem(t, server)
	s.ingress.config.OnFact = func(_ fleet.Entry, fact Fact) { t.Errorf("fact: %v", fact) }
	before := answer.Counts()[string(answer.FaultField)]
	for _, want := range []int{http.StatusBadGateway, 200} {
		response, _, err := s.call(t, "POST", "/post/x", "signed")
		assert.NilError(t, err)
		assert.Equal(t, response.StatusCode, want)
	}
	known, _ := s.fleet.Server("archiv-0")
	assert.Assert(t, s.fleet.Usable(known))
	assert.Equal(t, known.Limit(), 0.0)
	assert.Equal(t, answer.Counts()[string(answer.FaultField)], before+1)
}

// TestMalformedLargeAnswer checks that an answer that is passed on while it arrives does not look complete if its trailer is malformed.
func TestMalformedLargeAnswer(t *testing.T) {
	part := fmt.Sprintf("%x\r\n%s\r\n", len(largeBody), largeBody)
	malformed := "HTTP/1.1 200 X\r\nX-Id: {id}\r\nX-Digest: d\r\nTransfer-Encoding: chunked\r\n\r\n" + part + "0\r\nX Odd: 1\r\n\r\n"
	response, got, err := newSystem(t, startServer(t, malformed)).call(t, "GET", "/download/x", "")
	if err == nil {
		assert.Assert(t, response.StatusCode != 200 || !bytes.Equal([]byte(got), []byte(largeBody)), "the answer looks complete")
	}
}
