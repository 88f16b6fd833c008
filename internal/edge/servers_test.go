package edge

import (
	"context"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"github.com/poplarcroft/poplarcroft/internal/eventlog"
	"github.com/poplarcroft/poplarcroft/internal/fleet"
	"github.com/poplarcroft/poplarcroft/internal/follow"
	"github.com/poplarcroft/poplarcroft/internal/transport"
)

func newTestServers() (*servers, *fleet.Fleet) {
	f := fleet.New(fleet.Options{Zone: "zlin", Target: func(string) *transport.Target { return nil }})
	return newServers(fakePlatform{}, f, func() time.Duration { return 0 }, eventlog.Discard(), func() {}), f
}

func ids(f *fleet.Fleet) (present, missing []string) {
	for _, server := range f.Servers("revize") {
		if entry := server.Entry(); entry.Missing {
			missing = append(missing, string(entry.ID))
		} else {
			present = append(present, string(entry.ID))
		}
	}
	return present, missing
}

func TestRemovedEntryIsGoneAtOnce(t *testing.T) {
	s, f := newTestServers()
	s.apply(follow.Change{Records: []follow.Record{record("a", "1"), record("b", "1")}, Snapshot: true}, 10*time.Second)
	s.apply(follow.Change{Records: []follow.Record{record("a", "")}}, 11*time.Second)
	present, missing := ids(f)
	assert.DeepEqual(t, present, []string{"b"})
	assert.Equal(t, len(missing), 0)
}

// TestEntriesThatExpiredInAnOutageMayComeBack checks that an entry that is missing right after an
// outage stays usable as a last resort for returnGrace, and that an entry removed later is gone at
// once. Regression test for the recorded load trouble-1 of Riga: a server that had left was still
// used 2.3 s later.
func TestEntriesThatExpiredInAnOutageMayComeBack(t *testing.T) {
	s, f := newTestServers()
	all := []follow.Record{record("a", "1"), record("b", "1"), record("c", "1")}
	s.apply(follow.Change{Records: all, Snapshot: true}, 10*time.Second)
	s.recoveredAt = 20 * time.Second
	s.apply(follow.Change{Records: []follow.Record{record("c", "1")}, Snapshot: true}, 20*time.Second+50*time.Millisecond)
	present, missing := ids(f)
	assert.DeepEqual(t, present, []string{"c"})
	assert.DeepEqual(t, missing, []string{"a", "b"})
	s.apply(follow.Change{Records: []follow.Record{record("c", "")}}, 20*time.Second+400*time.Millisecond)
	s.apply(follow.Change{Records: []follow.Record{record("a", "1")}}, 21*time.Second)
	present, missing = ids(f)
	assert.DeepEqual(t, present, []string{"a"})
	assert.DeepEqual(t, missing, []string{"b"})
	s.apply(follow.Change{}, 22300*time.Millisecond)
	present, missing = ids(f)
	assert.DeepEqual(t, present, []string{"a"})
	assert.Equal(t, len(missing), 0)
}

func TestMalformedEntryRemovesTheServer(t *testing.T) {
	s, f := newTestServers()
	s.apply(follow.Change{Records: []follow.Record{record("a", "1"), record("b", "1")}, Snapshot: true}, time.Second)
	s.apply(follow.Change{Records: []follow.Record{record("a", "!")}}, 2*time.Second)
	present, _ := ids(f)
	assert.DeepEqual(t, present, []string{"b"})
}

func TestNewIncarnationEndsTheOlderOne(t *testing.T) {
	s, _ := newTestServers()
	var ended []fleet.ID
	s.onEnded = func(entry fleet.Entry) { ended = append(ended, entry.ID) }
	s.apply(follow.Change{Records: []follow.Record{record("a", "1")}, Snapshot: true}, time.Second)
	s.apply(follow.Change{Records: []follow.Record{record("a", "2")}}, 2*time.Second)
	assert.DeepEqual(t, ended, []fleet.ID{"a"})
}

// TestEntryOfAnotherServiceEndsNoServer guards against an entry of another writer that is taken for the end of the live server at its address:
// requests in flight there became suspects (review, case 11).
func TestEntryOfAnotherServiceEndsNoServer(t *testing.T) {
	entries := []fleet.Entry{
		{ID: "a", Service: "revize", Addr: "10.0.0.1:80", Born: 1},
		{ID: "x", Service: "sonda", Addr: "10.0.0.1:80", Born: 2},
		{ID: "b", Service: "revize", Addr: "10.0.0.1:80", Born: 3},
	}
	s, _ := newTestServers()
	s.platform = entriesPlatform{entries: entries}
	var ended []fleet.ID
	s.onEnded = func(entry fleet.Entry) { ended = append(ended, entry.ID) }
	for i := range entries {
		s.apply(follow.Change{Records: []follow.Record{{Key: string(entries[i].ID), Value: []byte{byte(i)}}}}, time.Second)
		if i == 1 {
			assert.Equal(t, len(ended), 0)
		}
	}
	assert.DeepEqual(t, ended, []fleet.ID{"a"})
}

// entriesPlatform is a platform on which a record of the service discovery is the index of its entry.
type entriesPlatform struct {
	Platform
	entries []fleet.Entry
}

// DecodeServer implements Platform.
func (p entriesPlatform) DecodeServer(record follow.Record) (fleet.Entry, error) {
	return p.entries[record.Value[0]], nil
}

// entry returns a record of the service discovery. The value is the start time and the sequence
// number, one byte each, and "d" for a server that drains.
func entry(key, value string) follow.Record {
	return follow.Record{Key: key, Value: []byte(value)}
}

// TestRestoreBringsBackNoOlderEntry checks that the snapshot of a restored log neither makes a draining
// server ready nor brings back one that is gone, and that a lost entry counts as missing for a while.
func TestRestoreBringsBackNoOlderEntry(t *testing.T) {
	s, f := newTestServers()
	s.apply(follow.Change{Records: []follow.Record{entry("a", "14"), entry("b", "11"), entry("c", "11")}, Snapshot: true}, 10*time.Second)
	s.apply(follow.Change{Records: []follow.Record{entry("a", "15d"), entry("b", ""), entry("d", "11")}}, 11*time.Second)
	s.recoveredAt = 12 * time.Second
	s.apply(follow.Change{Records: []follow.Record{entry("a", "14"), entry("b", "11"), entry("c", "11")}, Snapshot: true, Restored: true}, 12*time.Second)
	a, ok := f.Server("a")
	assert.Assert(t, ok && a.Entry().Draining)
	present, missing := ids(f)
	assert.DeepEqual(t, present, []string{"a", "c"})
	assert.DeepEqual(t, missing, []string{"d"})

	// What the servers write from then on counts.
	s.apply(follow.Change{Records: []follow.Record{entry("b", "21"), entry("d", "12")}}, 13*time.Second)
	present, missing = ids(f)
	assert.DeepEqual(t, present, []string{"a", "b", "c", "d"})
	assert.Equal(t, len(missing), 0)
}

// TestLateEntryIsIgnored checks that an entry that arrives after a newer one of the same incarnation
// changes nothing.
func TestLateEntryIsIgnored(t *testing.T) {
	s, f := newTestServers()
	s.apply(follow.Change{Records: []follow.Record{entry("a", "15d")}, Snapshot: true}, 10*time.Second)
	s.apply(follow.Change{Records: []follow.Record{entry("a", "14")}}, 11*time.Second)
	a, ok := f.Server("a")
	assert.Assert(t, ok && a.Entry().Draining)
}

// TestLateEntryOfAFormerIncarnation guards against a server whose keys are released and whose limits are forgotten, since the log has carried out
// an entry of its former incarnation late (a path related to review, case 6). A server whose clock was set back before it restarted is
// found all the same.
func TestLateEntryOfAFormerIncarnation(t *testing.T) {
	born := func(f *fleet.Fleet) int64 {
		a, ok := f.Server("a")
		assert.Assert(t, ok)
		return a.Entry().Born
	}
	s, f := newTestServers()
	s.apply(follow.Change{Records: []follow.Record{entry("a", "25")}, Snapshot: true}, 10*time.Second)
	newest := born(f)
	s.apply(follow.Change{Records: []follow.Record{entry("a", "18")}}, 11*time.Second)
	assert.Equal(t, born(f), newest, "the former incarnation counts")
	s.apply(follow.Change{Records: []follow.Record{entry("a", "26")}}, 12*time.Second)
	s.apply(follow.Change{}, 20*time.Second)
	assert.Equal(t, born(f), newest)

	s.apply(follow.Change{Records: []follow.Record{entry("a", "18")}}, 30*time.Second)
	s.apply(follow.Change{Records: []follow.Record{entry("a", "19")}}, 31*time.Second)
	assert.Equal(t, born(f), newest)
	s.apply(follow.Change{}, 30*time.Second+olderIncarnationGrace)
	assert.Assert(t, born(f) < newest, "a server whose clock was set back is not found")
	s.apply(follow.Change{Records: []follow.Record{entry("a", "")}}, 40*time.Second)
	present, _ := ids(f)
	assert.Equal(t, len(present), 0)
}

// TestLateEntryOfAnEndedServer checks that a late entry brings back no server that is gone, unless it is repeated.
func TestLateEntryOfAnEndedServer(t *testing.T) {
	s, f := newTestServers()
	s.apply(follow.Change{Records: []follow.Record{entry("a", "25")}, Snapshot: true}, 10*time.Second)
	s.apply(follow.Change{Records: []follow.Record{entry("a", "")}}, 15*time.Second)
	for at, value := range []string{"18", "", ""} {
		s.apply(follow.Change{Records: []follow.Record{entry("a", value)}}, time.Duration(16+2*at)*time.Second)
		present, _ := ids(f)
		assert.Equal(t, len(present), 0)
	}
}

// TestOutageIsReportedOnce checks that the start and the end of an outage of the service discovery are
// reported once each.
func TestOutageIsReportedOnce(t *testing.T) {
	s, _ := newTestServers()
	var reported []bool
	s.onContact = func(inContact bool) { reported = append(reported, inContact) }
	source := &failingSource{}
	follower := follow.New(source)
	for _, fails := range []bool{false, true, true, false, false} {
		source.fails = fails
		s.read(t.Context(), follower)
	}
	assert.DeepEqual(t, reported, []bool{false, true})
}

// failingSource is an empty topic whose reads fail while fails is set.
type failingSource struct{ fails bool }

func (s *failingSource) Newest(ctx context.Context) (follow.Batch, error) {
	return s.Since(ctx, follow.Position{}, 0)
}

func (s *failingSource) Since(context.Context, follow.Position, time.Duration) (follow.Batch, error) {
	if s.fails {
		return follow.Batch{}, errors.New("unavailable")
	}
	return follow.Batch{}, nil
}
