package front

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/poplarcroft/poplarcroft/internal/poison"
	"github.com/poplarcroft/poplarcroft/internal/routetable"
)

func hopRequest() *Request {
	return &Request{
		Print:   poison.FingerprintOf(poison.Request{Method: "GET"}),
		Route:   &routetable.Route{Name: "r&1 x", Idempotent: true, Goal: 500 * time.Millisecond, Attempts: 3, Priority: 2},
		Service: routetable.Service{Name: "revize=ü"},
		Arrived: time.Second,
	}
}

func TestHopKeepsWhatTheLeadNeeds(t *testing.T) {
	sent := hopRequest()
	got, err := decodeHop(encodeHop(sent, time.Second+120*time.Millisecond), 9*time.Second)
	assert.NilError(t, err)
	assert.Equal(t, got.Print, sent.Print)
	assert.Equal(t, got.Service.Name, sent.Service.Name)
	assert.Assert(t, got.Service.Keyed)
	assert.Equal(t, got.Arrived, 9*time.Second)
	want := *sent.Route
	want.Goal = 380 * time.Millisecond
	assert.DeepEqual(t, *got.Route, want)
}

func TestHopOfARequestPastItsGoal(t *testing.T) {
	got, err := decodeHop(encodeHop(hopRequest(), 3*time.Second), 0)
	assert.NilError(t, err)
	assert.Equal(t, got.Route.Goal, -1500*time.Millisecond)
}

// TestHopIsShort states a bound for what is sent between zones with each request, beside the names.
func TestHopIsShort(t *testing.T) {
	r := hopRequest()
	r.Route.Name, r.Service.Name = "", ""
	assert.Assert(t, len(encodeHop(r, 0)) <= 40, "%d bytes", len(encodeHop(r, 0)))
}

func TestMalformedHops(t *testing.T) {
	good := encodeHop(hopRequest(), 0)
	for field := range hopFields - 1 {
		fields := strings.Split(good, hopSeparator)
		fields[field] = "%zz"
		_, err := decodeHop(strings.Join(fields, hopSeparator), 0)
		assert.Assert(t, err != nil, "field %d", field)
	}
	_, err := decodeHop("a&b", 0)
	assert.Assert(t, err != nil)
	_, err = decodeHop(strings.Replace(good, hopSeparator, hopSeparator+hopSeparator, 1), 0)
	assert.Assert(t, err != nil)
}
