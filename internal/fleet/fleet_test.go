package fleet

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/poplarcroft/poplarcroft/internal/transport"
)

func newTestFleet(entries ...Entry) *Fleet {
	f := New(Options{Zone: "zlin", Target: func(string) *transport.Target { return nil }, RandIntN: func(int) int { return 0 }})
	f.Set(entries, 0)
	return f
}

func entry(id, zone string) Entry {
	return Entry{ID: ID(id), Service: "archiv", Addr: id + ":80", Zone: zone, Slots: 4, Born: 1}
}

func mustServer(t *testing.T, f *Fleet, id ID) *Server {
	t.Helper()
	server, ok := f.Server(id)
	assert.Assert(t, ok)
	return server
}

func chosen(t *testing.T, f *Fleet, now time.Duration, excluded ...ID) ID {
	t.Helper()
	server, ok := f.Choose("archiv", excluded, nil, now)
	assert.Assert(t, ok)
	return server.Entry().ID
}

func TestNearServerIsChosenUntilItIsBusy(t *testing.T) {
	f := newTestFleet(entry("far", "brno"), entry("near", "zlin"))
	assert.Equal(t, chosen(t, f, 0), ID("near"))
	for range 12 {
		assert.Equal(t, mustServer(t, f, "near").Begin(Allowance{}, SoleShare, 0), NotRefused)
	}
	assert.Equal(t, chosen(t, f, 0), ID("far"))
}

func TestDrainingAndEvacuatedServersGetNothing(t *testing.T) {
	leaving := entry("leaving", "zlin")
	leaving.Draining = true
	f := newTestFleet(leaving, entry("closed", "brno"))
	coldFor := func(string) time.Duration { return 3 * time.Second }
	f.EvacuateZones(map[string]bool{"brno": true}, coldFor, 0)
	_, ok := f.Choose("archiv", nil, nil, 0)
	assert.Assert(t, !ok)
	f.EvacuateZones(nil, coldFor, time.Second)
	assert.Equal(t, chosen(t, f, time.Second), ID("closed"))
	reopened := mustServer(t, f, "closed")
	assert.Assert(t, reopened.Cold(time.Second) && !reopened.Cold(4*time.Second))
	newer := entry("closed", "brno")
	newer.Sequence = 2
	f.Set([]Entry{newer}, 2*time.Second)
	assert.Assert(t, !reopened.Cold(2*time.Second))
}

func TestColdServersAreChosenLast(t *testing.T) {
	cold := entry("cold", "zlin")
	cold.ColdFor = 3 * time.Second
	f := newTestFleet(cold, entry("warm", "brno"))
	assert.Equal(t, chosen(t, f, 0), ID("warm"))
	assert.Equal(t, chosen(t, f, 0, "warm"), ID("cold"))
	assert.Equal(t, chosen(t, f, 4*time.Second), ID("cold"))
}

func TestSlowAndFailingServersAreAvoidedForAWhile(t *testing.T) {
	for name, ending := range map[string]Ending{"slow": Answered, "failing": Failed} {
		t.Run(name, func(t *testing.T) {
			f := newTestFleet(entry("bad", "zlin"), entry("good", "zlin"))
			for range 4 {
				bad := mustServer(t, f, "bad")
				bad.Begin(Allowance{}, SoleShare, 0)
				bad.End(ending, 8, 0)
			}
			assert.Equal(t, chosen(t, f, 0), ID("good"))
			fresh := mustServer(t, f, "good")
			for range 2 {
				fresh.Begin(Allowance{}, SoleShare, 0)
			}
			assert.Equal(t, chosen(t, f, 30*time.Second), ID("bad"))
		})
	}
}

func TestUnreachableServerIsSkippedLongerEachTime(t *testing.T) {
	f := newTestFleet(entry("dead", "zlin"), entry("live", "brno"))
	dead := mustServer(t, f, "dead")
	dead.Begin(Allowance{}, SoleShare, 0)
	dead.End(Unreachable, 0, 0)
	assert.Equal(t, chosen(t, f, 100*time.Millisecond), ID("live"))
	assert.Equal(t, chosen(t, f, 200*time.Millisecond), ID("dead"))
	dead.Begin(Allowance{}, SoleShare, 0)
	dead.End(Unreachable, 0, 200*time.Millisecond)
	assert.Equal(t, chosen(t, f, 400*time.Millisecond), ID("live"))
}

func TestNewIncarnationHasNoHealthHistory(t *testing.T) {
	f := newTestFleet(entry("a", "zlin"))
	old := mustServer(t, f, "a")
	old.Begin(Allowance{}, SoleShare, 0)
	restarted := entry("a", "zlin")
	restarted.Born = 2
	f.Set([]Entry{restarted}, time.Second)
	assert.Assert(t, mustServer(t, f, "a") != old)
	f.Set([]Entry{restarted}, 2*time.Second)
	assert.Equal(t, mustServer(t, f, "a").Occupancy(0), 0.0)
}

// TestAllowanceHoldsInEverySecond checks the number of requests of all hosts in each window of a
// second if every host sends as many as its bucket admits.
func TestAllowanceHoldsInEverySecond(t *testing.T) {
	for _, test := range []struct {
		total float64
		hosts int
	}{{17.1, 12}, {9.5, 9}, {9.5, 12}, {40, 3}} {
		allowance := ShareOf(test.total, test.hosts)
		var sent []time.Duration
		for range test.hosts {
			var b bucket
			for now := time.Duration(0); now < 10*time.Second; now += 10 * time.Millisecond {
				if b.take(allowance, now) {
					sent = append(sent, now)
				}
			}
		}
		for start := time.Duration(0); start < 9*time.Second; start += 10 * time.Millisecond {
			inWindow := 0
			for _, at := range sent {
				if at >= start && at < start+time.Second {
					inWindow++
				}
			}
			assert.Assert(t, float64(inWindow) <= test.total, "%d of %v at %v by %d hosts", inWindow, test.total, start, test.hosts)
		}
	}
}

// TestWhatAServerSaidOutlastsItsEntry is a regression test (BUDGET, DRAIN, LIMIT): a pause, a limit and the announced shutdown
// of a server were forgotten when its entry was away for a moment, as while it was cut off from the store.
func TestWhatAServerSaidOutlastsItsEntry(t *testing.T) {
	said := entry("a", "zlin")
	f := newTestFleet(said)
	server := mustServer(t, f, "a")
	server.Pause(30 * time.Second)
	server.NameLimit(2, SoleShare, 0)
	f.Set(nil, time.Second)
	_, ok := f.Server("a")
	assert.Assert(t, !ok)
	said.Sequence++
	f.Set([]Entry{said}, 4*time.Second)
	server = mustServer(t, f, "a")
	assert.Equal(t, server.Begin(Allowance{}, SoleShare, 5*time.Second), RefusedLimit)
	assert.Equal(t, server.Limit(), 2.0)
	assert.Assert(t, f.Usable(server))
	server.MarkLeaving()
	f.Set(nil, 6*time.Second)
	f.Set([]Entry{said}, 7*time.Second)
	assert.Assert(t, !f.Usable(mustServer(t, f, "a")))

	restarted := said
	restarted.Born++
	f.Set(nil, 8*time.Second)
	f.Set([]Entry{restarted}, 9*time.Second)
	server = mustServer(t, f, "a")
	assert.Assert(t, f.Usable(server))
	assert.Equal(t, server.Begin(Allowance{}, SoleShare, 9*time.Second), NotRefused)
}
