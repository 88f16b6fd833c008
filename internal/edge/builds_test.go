package edge

import (
	"bytes"
	"encoding/gob"
	"encoding/json"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/poplarcroft/poplarcroft/internal/assign"
	"github.com/poplarcroft/poplarcroft/internal/clock"
	"github.com/poplarcroft/poplarcroft/internal/concurrency"
	"github.com/poplarcroft/poplarcroft/internal/eventlog"
	"github.com/poplarcroft/poplarcroft/internal/follow"
	"github.com/poplarcroft/poplarcroft/internal/front"
	"github.com/poplarcroft/poplarcroft/internal/keyrange"
	"github.com/poplarcroft/poplarcroft/internal/poison"
	"github.com/poplarcroft/poplarcroft/internal/registry"
)

// withUnknownField adds a field that this build does not know to a record and to all objects in it, but for the map of
// services.
func withUnknownField(t *testing.T, record any) []byte {
	t.Helper()
	encoded, err := json.Marshal(record)
	assert.NilError(t, err)
	unknown := []byte(`"of_another_build":[1],`)
	encoded = bytes.ReplaceAll(encoded, []byte("{"), append([]byte("{"), unknown...))
	return bytes.Replace(encoded, append([]byte(`"services":{`), unknown...), []byte(`"services":{`), 1)
}

// TestRecordsOfAnotherBuild checks that fields and kinds of records in the shared state that this build does not know are
// ignored, and that the rest is read.
func TestRecordsOfAnotherBuild(t *testing.T) {
	f := poison.Fingerprint{7}
	var evidence []poison.Record
	s := newState(assign.Host{Name: "h2", Incarnation: "1"}, nil, assign.NewCurrent(), clock.Monotonic, eventlog.Discard())
	s.onEvidence = func(_ poison.Fingerprint, records []poison.Record) { evidence = append(evidence, records...) }
	host := assign.Host{Name: "h1", Incarnation: "a", Zone: "zlin", Addr: "127.0.0.1:1"}
	plan := assign.Plan{Leader: host, Hosts: []assign.Host{host}, Services: map[string][]assign.Assignment{
		"revize": {{Range: keyrange.All, Phase: assign.Held, Server: assign.Server{ID: "s1", Born: 5}}},
	}}
	kept := keptEvidence{Records: []poison.Record{{Fingerprint: f, Death: poison.Server{Incarnation: "s1/5"}}}, WrittenMS: time.Now().UnixMilli()}
	for _, record := range []follow.Record{
		{Key: planKey, Value: withUnknownField(t, plan), Offset: 1},
		{Key: registry.Key("h1"), Value: withUnknownField(t, host), Offset: 2},
		{Key: evidencePrefix + f.String(), Value: withUnknownField(t, kept), Offset: 3},
		{Key: "of-another-build/x", Value: []byte{0}, Offset: 4},
	} {
		s.apply(record, follow.Era(1))
	}
	assignment, ok := s.current.Plan().Lookup("revize", 9)
	assert.Assert(t, ok)
	assert.Equal(t, assignment.Server, assign.Server{ID: "s1", Born: 5})
	assert.DeepEqual(t, s.hosts.List(), []assign.Host{host})
	assert.Equal(t, len(evidence), 1)
	assert.Equal(t, evidence[0].Fingerprint, f)
}

// TestMessagesOfAnotherBuild checks that a message with a field more or less is read.
func TestMessagesOfAnotherBuild(t *testing.T) {
	type newerFactArgs struct {
		FactArgs
		From  string
		Born  int64
		Fact  front.Fact
		Extra map[string]int
	}
	var wire bytes.Buffer
	assert.NilError(t, gob.NewEncoder(&wire).Encode(newerFactArgs{From: "h2", Born: 5, Fact: front.Leaving, Extra: map[string]int{"x": 1}}))
	var got FactArgs
	assert.NilError(t, gob.NewDecoder(&wire).Decode(&got))
	assert.Equal(t, got, FactArgs{From: "h2", Born: 5, Fact: front.Leaving})
}

// TestReportsWithAndWithoutSpeeds guards against a report that a host of another build cannot read: the build in production
// knows no speeds.
func TestReportsWithAndWithoutSpeeds(t *testing.T) {
	type formerReportArgs struct {
		Host     string
		Slowness map[string]int
		Limits   map[string]float64
	}
	var wire bytes.Buffer
	newer := ReportArgs{
		Host: "h2", Slowness: map[string]int{"s1": 120},
		Speeds: []concurrency.Speed{{Server: concurrency.Server{ID: "s1", Born: 5}, Lasting: 0.1, Passing: 1}},
	}
	assert.NilError(t, gob.NewEncoder(&wire).Encode(newer))
	var former formerReportArgs
	assert.NilError(t, gob.NewDecoder(&wire).Decode(&former))
	assert.DeepEqual(t, former, formerReportArgs{Host: "h2", Slowness: map[string]int{"s1": 120}})
	wire.Reset()
	assert.NilError(t, gob.NewEncoder(&wire).Encode(former))
	var got ReportArgs
	assert.NilError(t, gob.NewDecoder(&wire).Decode(&got))
	assert.DeepEqual(t, got, ReportArgs{Host: "h2", Slowness: map[string]int{"s1": 120}})
}

// TestMessagesAboutIncarnations guards against messages about incarnations that the build in production cannot read, or without
// which this one draws a conclusion: what is missing is not known.
func TestMessagesAboutIncarnations(t *testing.T) {
	type formerReportArgs struct{ Host string }
	type formerAdoptReply struct{ Unknown bool }
	var wire bytes.Buffer
	assert.NilError(t, gob.NewEncoder(&wire).Encode(ReportArgs{Host: "h2", Incarnation: "x", Plan: 7}))
	var report formerReportArgs
	assert.NilError(t, gob.NewDecoder(&wire).Decode(&report))
	assert.Equal(t, report.Host, "h2")
	wire.Reset()
	assert.NilError(t, gob.NewEncoder(&wire).Encode(AdoptReply{Unknown: true, Incarnation: "x"}))
	var reply formerAdoptReply
	assert.NilError(t, gob.NewDecoder(&wire).Decode(&reply))
	assert.Assert(t, reply.Unknown)

	wire.Reset()
	assert.NilError(t, gob.NewEncoder(&wire).Encode(formerReportArgs{Host: "h2"}))
	var got ReportArgs
	assert.NilError(t, gob.NewDecoder(&wire).Decode(&got))
	assert.DeepEqual(t, got, ReportArgs{Host: "h2"})
	wire.Reset()
	assert.NilError(t, gob.NewEncoder(&wire).Encode(formerAdoptReply{Unknown: true}))
	var former AdoptReply
	assert.NilError(t, gob.NewDecoder(&wire).Decode(&former))
	assert.Equal(t, former, AdoptReply{Unknown: true})
}
