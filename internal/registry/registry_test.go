package registry

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/poplarcroft/poplarcroft/internal/assign"
	"github.com/poplarcroft/poplarcroft/internal/follow"
)

// recordOf returns a record of an incarnation of host a.
func recordOf(t *testing.T, incarnation string, era, offset uint64) follow.Record {
	t.Helper()
	value, err := NewRegistration(assign.Host{Name: "a", Incarnation: incarnation}).Record(era)
	assert.NilError(t, err)
	return follow.Record{Key: Key("a"), Value: value, Offset: offset}
}

// TestRegistrationThatAnotherOneReplacesIsWrittenAgain guards against a host that no plan lists any more, since the log has
// carried out the registration of its former incarnation late (review, case 6).
func TestRegistrationThatAnotherOneReplacesIsWrittenAgain(t *testing.T) {
	const era = follow.Era(2)
	for name, c := range map[string]struct {
		record   follow.Record
		era      follow.Era
		replaced bool
	}{
		"the former incarnation, late":       {recordOf(t, "1", 1, 9), era, true},
		"the former incarnation, in time":    {recordOf(t, "1", 1, 4), era, false},
		"the own one":                        {recordOf(t, "2", 1, 9), era, false},
		"the own one, of an older era":       {recordOf(t, "2", 0, 9), era, true},
		"removed":                            {follow.Record{Key: Key("a"), Offset: 9}, era, true},
		"malformed":                          {follow.Record{Key: Key("a"), Value: []byte("{"), Offset: 9}, era, true},
		"the former one, in a later era":     {recordOf(t, "1", 1, 2), era + 1, true},
		"the own one, again in a later read": {recordOf(t, "2", 1, 5), era, false},
	} {
		t.Run(name, func(t *testing.T) {
			r := NewRegistration(assign.Host{Name: "a", Incarnation: "2"})
			assert.Assert(t, r.Due(0))
			r.Written(follow.Position{Era: era, Offset: 5}, era.Number(), time.Second)
			assert.Assert(t, !r.Due(time.Hour))
			assert.Equal(t, r.Observe(c.record, c.era), c.replaced)
			assert.Equal(t, r.Due(time.Hour), c.replaced)
			assert.Assert(t, !r.Due(time.Second+rewriteInterval-1), "at most one write each interval")
			r.Written(follow.Position{Era: c.era, Offset: 12}, c.era.Number(), time.Hour)
			assert.Assert(t, !r.Due(2*time.Hour))
		})
	}
}

// TestRegistrationWithoutAnAnswer checks that a registration that got no answer is written again, unless its record is read.
func TestRegistrationWithoutAnAnswer(t *testing.T) {
	r := NewRegistration(assign.Host{Name: "a", Incarnation: "2"})
	assert.Assert(t, r.Due(0))
	assert.Assert(t, r.Due(time.Millisecond))
	assert.Assert(t, !r.Observe(recordOf(t, "1", 0, 3), follow.UnknownEra))
	assert.Assert(t, r.Due(time.Millisecond))
	assert.Assert(t, !r.Observe(recordOf(t, "2", 0, 4), follow.UnknownEra))
	assert.Assert(t, !r.Due(time.Hour))
}

// TestRegistrationAcrossARestore checks that a host registers again when the log may have lost its registration.
func TestRegistrationAcrossARestore(t *testing.T) {
	r := NewRegistration(assign.Host{Name: "a", Incarnation: "2"})
	r.Written(follow.Position{Era: 2, Offset: 5}, 0, 0)
	assert.Assert(t, r.Due(rewriteInterval), "the record is of an older era")
	r.Written(follow.Position{Era: 2, Offset: 6}, 1, 0)
	assert.Assert(t, !r.Due(rewriteInterval))
	r.Restored()
	assert.Assert(t, r.Due(rewriteInterval))
}

// TestHosts checks that the registration that was read last counts, and that malformed ones change nothing.
func TestHosts(t *testing.T) {
	var hosts Hosts
	assert.Equal(t, len(hosts.List()), 0)
	replacement, err := hosts.Apply(recordOf(t, "1", 0, 1))
	assert.NilError(t, err)
	assert.Equal(t, replacement, Replacement{Latter: assign.Host{Name: "a", Incarnation: "1"}})
	_, err = hosts.Apply(follow.Record{Key: Key("a"), Value: []byte("{")})
	assert.ErrorContains(t, err, "host record")
	replacement, err = hosts.Apply(recordOf(t, "2", 0, 2))
	assert.NilError(t, err)
	assert.Equal(t, replacement.Former.Incarnation, "1")
	assert.DeepEqual(t, hosts.List(), []assign.Host{{Name: "a", Incarnation: "2"}})
	_, err = hosts.Apply(follow.Record{Key: Key("a")})
	assert.NilError(t, err)
	assert.Equal(t, len(hosts.List()), 0)
}
