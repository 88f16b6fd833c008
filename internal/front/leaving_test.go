package front

import (
	"context"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/poplarcroft/poplarcroft/internal/routetable"
)

// TestLeavingPrimaryAwaitsForwardedRequests guards against a shutdown that cuts off the requests of other hosts: a primary
// stopped as soon as its own callers had their answers.
func TestLeavingPrimaryAwaitsForwardedRequests(t *testing.T) {
	server := startServer(t, answerOK)
	began, release := make(chan struct{}), make(chan struct{})
	server.answering = func() {
		close(began)
		<-release
	}
	first, primary := twoHosts(t, server)
	status := make(chan int, 1)
	go func() { status <- first.callWith(t, "POST", "/unsafe/x").StatusCode }()
	<-began
	primary.ingress.Leave()
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	primary.ingress.AwaitForwarded(ctx)
	assert.Assert(t, ctx.Err() != nil, "did not wait for the request")
	close(release)
	primary.ingress.AwaitForwarded(t.Context())
	assert.Equal(t, <-status, http.StatusOK)
}

// TestEndOfAHostGivesFinalAnswers guards against requests that are cut off when the grace time of a shutdown is over: each
// gets its final answer before, on this host and through a primary.
func TestEndOfAHostGivesFinalAnswers(t *testing.T) {
	for name, path := range map[string]string{"keyed": "/unsafe/x", "idempotent": "/keyed/x", "without a key": "/post/x"} {
		t.Run(name, func(t *testing.T) {
			server := startServer(t, answerOK)
			began, release := make(chan struct{}, 4), make(chan struct{})
			t.Cleanup(func() { close(release) })
			server.answering = func() {
				began <- struct{}{}
				<-release
			}
			first, primary := twoHosts(t, server)
			status := make(chan int, 1)
			go func() { status <- first.callWith(t, "POST", path).StatusCode }()
			<-began
			for _, host := range []*system{first, primary} {
				host.ingress.Leave()
				host.ingress.EndRequests()
			}
			select {
			case got := <-status:
				assert.Assert(t, got == http.StatusBadGateway || got == http.StatusGatewayTimeout, "status %d", got)
			case <-time.After(5 * time.Second):
				t.Fatal("no answer")
			}
		})
	}
}

// TestHostThatShutsDownGivesUpNoSilentRequest guards against requests that a host breaks off after the signal to stop, because the
// connection to a server that is at work on them is silent (LOST on Moravia, trouble-2).
func TestHostThatShutsDownGivesUpNoSilentRequest(t *testing.T) {
	s := newSystem(t, startServer(t, answerOK))
	s.ingress.baseline.relative("any", attempt{outcome: attemptAnswered}, 40*time.Millisecond)
	server, ok := s.fleet.Server("archiv-0")
	assert.Assert(t, ok)
	rule := s.ingress.silenceOf(&Request{Route: &routetable.Route{Name: "any"}}, server)
	assert.Assert(t, rule.After > 0 && !rule.Suspended())
	s.ingress.Leave()
	assert.Assert(t, rule.Suspended())
}
