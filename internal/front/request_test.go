package front

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/poplarcroft/poplarcroft/internal/routetable"
)

// TestRepeatThroughAnotherServiceHasTheSameFingerprint is a regression test: a route that was split or
// moved gave a request a fingerprint for each service, and each had to crash servers of its own.
func TestRepeatThroughAnotherServiceHasTheSameFingerprint(t *testing.T) {
	of := func(service, host, path string) string {
		r := &Request{Service: routetable.Service{Name: service}, Method: "GET", Host: host, Path: path, Caller: withoutPort("10.0.0.1:4000")}
		return fingerprint(r, "7").String()
	}
	first := of("archiv", "a.example", "/x/1")
	assert.Equal(t, of("revize", "a.example", "/x/1"), first)
	assert.Assert(t, of("archiv", "b.example", "/x/1") != first)
	assert.Assert(t, of("archiv", "a.example", "/x/2") != first)
}
