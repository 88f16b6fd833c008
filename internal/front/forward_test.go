package front

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/poplarcroft/poplarcroft/internal/assign"
	"github.com/poplarcroft/poplarcroft/internal/poison"
	"github.com/poplarcroft/poplarcroft/internal/routetable"
)

func forwardedRequest() *Request {
	return &Request{
		Fingerprint: poison.FingerprintOf(poison.Request{Method: "GET"}),
		Route:       &routetable.Route{Name: "r&1 x", Idempotent: true, Goal: 500 * time.Millisecond, Attempts: 3},
		Priority:    2,
		Service:     routetable.Service{Name: "revize=ü", Keyed: true},
		Arrived:     time.Second,
	}
}

func TestForwardKeepsWhatThePrimaryNeeds(t *testing.T) {
	sent := forwardedRequest()
	got, err := decodeForward(encodeForward(sent, time.Second+120*time.Millisecond), 9*time.Second)
	assert.NilError(t, err)
	assert.Equal(t, got.Fingerprint, sent.Fingerprint)
	assert.Equal(t, got.Service.Name, sent.Service.Name)
	assert.Assert(t, got.Service.Keyed)
	assert.Equal(t, got.Arrived, 9*time.Second)
	want := *sent.Route
	want.Goal = 380 * time.Millisecond
	assert.DeepEqual(t, *got.Route, want)
	assert.Equal(t, got.Priority, sent.Priority)
}

func TestForwardOfARequestWithoutAKey(t *testing.T) {
	sent := forwardedRequest()
	sent.Service.Keyed = false
	got, err := decodeForward(encodeForward(sent, 0), 0)
	assert.NilError(t, err)
	assert.Assert(t, !got.Service.Keyed)
	assert.Assert(t, got.Route.Idempotent)
}

func TestForwardOfARequestPastItsGoal(t *testing.T) {
	got, err := decodeForward(encodeForward(forwardedRequest(), 3*time.Second), 0)
	assert.NilError(t, err)
	assert.Equal(t, got.Route.Goal, -1500*time.Millisecond)
}

// TestForwardHeaderIsShort checks that the header is at most 40 bytes long beside the names of route
// and service, since it is sent between zones with each forwarded request.
func TestForwardHeaderIsShort(t *testing.T) {
	r := forwardedRequest()
	r.Route.Name, r.Service.Name = "", ""
	assert.Assert(t, len(encodeForward(r, 0)) <= 40, "%d bytes", len(encodeForward(r, 0)))
}

func TestMalformedForwardHeaders(t *testing.T) {
	good := encodeForward(forwardedRequest(), 0)
	for field := range forwardFields - 1 {
		fields := strings.Split(good, forwardSeparator)
		fields[field] = "%zz"
		_, err := decodeForward(strings.Join(fields, forwardSeparator), 0)
		assert.Assert(t, err != nil, "field %d", field)
	}
	_, err := decodeForward("a&b", 0)
	assert.Assert(t, err != nil)
	_, err = decodeForward(strings.Replace(good, forwardSeparator, forwardSeparator+forwardSeparator, 1), 0)
	assert.Assert(t, err != nil)
}

// TestForwardSaysThatAnswersAreLarge checks that the primary passes a large answer on while it arrives, also if its
// configuration does not know the route, and that a header without the flag means an answer that is held.
func TestForwardSaysThatAnswersAreLarge(t *testing.T) {
	for _, large := range []bool{false, true} {
		sent := forwardedRequest()
		sent.Route.Large = large
		got, err := decodeForward(encodeForward(sent, 0), 0)
		assert.NilError(t, err)
		assert.Equal(t, got.Route.Large, large)
		assert.Assert(t, got.Route.Idempotent && got.Service.Keyed)
	}
}

// TestForwardsOfAnotherBuild checks that a flag that this build does not know is ignored, and that a host that does not
// understand the header of another build is passed over.
func TestForwardsOfAnotherBuild(t *testing.T) {
	r, err := decodeForward(encodeForward(forwardedRequest(), 0)+"z", 0)
	assert.NilError(t, err)
	assert.Assert(t, r.Route.Idempotent && r.Service.Keyed)
	server := startServer(t, answerOK)
	other := servePeersWith(t, func(w http.ResponseWriter, hr *http.Request) {
		hr.Header.Set(HeaderForward, hr.Header.Get(HeaderForward)+forwardSeparator+"new field")
		newHost(t, "h2", server.addr).ingress.ServeForwarded(w, hr)
	})
	s := newSystem(t, server)
	s.assignAllKeys("revize-0", server.addr, 2, assign.Host{Name: "h2", Zone: "zlin", Addr: other})
	response, _, err := s.call(t, "POST", "/unsafe/x", "signed")
	assert.NilError(t, err)
	assert.Equal(t, response.StatusCode, http.StatusOK)
	assert.Equal(t, len(server.seen()), 1)
}
