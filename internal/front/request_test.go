package front

import (
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/poplarcroft/poplarcroft/internal/routetable"
)

// TestRepeatThroughAnotherServiceHasTheSameFingerprint is a regression test: a route that was split or
// moved gave a request a fingerprint for each service, and each had to crash servers of its own.
func TestRepeatThroughAnotherServiceHasTheSameFingerprint(t *testing.T) {
	of := func(service, host, path string) string {
		r := &Request{Service: routetable.Service{Name: service}, Method: "GET", Host: host, Path: path}
		return fingerprint(r, "7").String()
	}
	first := of("archiv", "a.example", "/x/1")
	assert.Equal(t, of("revize", "a.example", "/x/1"), first)
	assert.Assert(t, of("archiv", "b.example", "/x/1") != first)
	assert.Assert(t, of("archiv", "a.example", "/x/2") != first)
}

// TestRepeatFromAnotherAddressHasTheSameFingerprint is a regression test (BUDGET on Riga): a request that came
// from another address was another request, and crashed three more servers for each address.
func TestRepeatFromAnotherAddressHasTheSameFingerprint(t *testing.T) {
	of := func(caller string, credentials http.Header) string {
		return fingerprint(&Request{Method: "GET", Host: "a.example", Path: "/x/1", Caller: caller, Header: credentials}, "7").String()
	}
	first := of("10.0.0.1", nil)
	assert.Equal(t, of("10.0.0.2", nil), first)
	ann, bob := http.Header{"Authorization": {"Bearer ann"}}, http.Header{"Authorization": {"Bearer bob"}}
	assert.Assert(t, of("10.0.0.1", ann) != first)
	assert.Assert(t, of("10.0.0.1", ann) != of("10.0.0.1", bob))
	assert.Equal(t, of("10.0.0.1", ann), of("10.0.0.2", ann))
	assert.Assert(t, of("10.0.0.1", ann) != of("10.0.0.1", http.Header{"Cookie": {"Bearer ann"}}), "another header")
}
