package transport

import (
	"testing"
	"testing/synctest"

	"gotest.tools/v3/assert"

	"github.com/poplarcroft/poplarcroft/internal/continuity"
)

// TestAnswersLinkLaterConnections checks which answers show that a server still ran when a request was sent: those with the request's ID,
// over a connection that is older than the request.
func TestAnswersLinkLaterConnections(t *testing.T) {
	const identified = "HTTP/1.1 200 OK\r\nPoplarcroft-Request-Id: r1\r\nContent-Length: 4\r\n\r\ndone"
	for name, c := range map[string]struct {
		scripts []script
		// anonymous says that the request has no ID.
		anonymous bool
		want      bool
	}{
		"answer with the request's ID":       {[]script{answerWith(completeAnswer), answerWith(identified)}, false, true},
		"answer without an ID":               {[]script{answerWith(completeAnswer)}, false, false},
		"ID of another request":              {[]script{answerWith(completeAnswer), answerWith("HTTP/1.1 200 OK\r\nPoplarcroft-Request-Id: r2\r\nContent-Length: 4\r\n\r\ndone")}, false, false},
		"no answer":                          {[]script{answerWith(completeAnswer), neverAnswer}, false, false},
		"the first request of a connection":  {[]script{answerAndClose(completeAnswer), answerWith(identified)}, false, false},
		"the request has no ID":              {[]script{answerWith(completeAnswer), answerWith(identified)}, true, false},
		"head of an answer that breaks off":  {[]script{answerWith(completeAnswer), answerAndClose("HTTP/1.1 200 OK\r\nPoplarcroft-Request-Id: r1\r\nContent-")}, false, false},
		"answer whose body breaks off later": {[]script{answerWith(completeAnswer), answerAndClose("HTTP/1.1 200 OK\r\nPoplarcroft-Request-Id: r1\r\nContent-Length: 9\r\n\r\ndone")}, false, true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				numbers := continuity.New()
				target := newFakeServer(c.scripts...).target(t, Options{Numbers: numbers})
				numbers.Watch("10.0.0.1:80")
				send(t, target, get)
				first := numbers.Newest()
				later := numbers.Opened()
				synctest.Wait()
				request := get
				if !c.anonymous {
					request.Header = post.Header
				}
				send(t, target, request)
				assert.Equal(t, numbers.Reaches("10.0.0.1:80", later, first), c.want)
				target.Close()
				synctest.Wait()
			})
		})
	}
}
