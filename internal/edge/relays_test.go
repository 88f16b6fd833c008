package edge

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/poplarcroft/poplarcroft/internal/assign"
	"github.com/poplarcroft/poplarcroft/internal/eventlog"
	"github.com/poplarcroft/poplarcroft/internal/follow"
)

func TestRelaysAreLargeHostsOfTheZoneThatDoNotLead(t *testing.T) {
	plan := assign.Plan{
		Leader: assign.Host{Name: "large-1", Incarnation: "1"},
		Hosts: []assign.Host{
			{Name: "small", Incarnation: "1", Zone: "zlin", Capacity: 0.2},
			{Name: "large-1", Incarnation: "1", Zone: "zlin", Capacity: 0.8},
			{Name: "large-2", Incarnation: "1", Zone: "zlin", Capacity: 0.8},
			{Name: "retired", Incarnation: "1", Zone: "zlin", Capacity: 0.8, Retired: true},
			{Name: "elsewhere", Incarnation: "1", Zone: "brno", Capacity: 0.8},
		},
	}
	hosts, position := relayOrder(plan, plan.Hosts[0])
	var names []string
	for _, host := range hosts {
		names = append(names, host.Name)
	}
	assert.DeepEqual(t, names, []string{"large-2", "small", "large-1"})
	assert.Equal(t, position, 1)
}

// TestHostOutsideThePlanReadsForItself checks that a host that has just started does not use a relay.
func TestHostOutsideThePlanReadsForItself(t *testing.T) {
	plan := assign.Plan{Hosts: []assign.Host{{Name: "a", Zone: "zlin"}, {Name: "b", Zone: "zlin"}}}
	_, position := relayOrder(plan, assign.Host{Name: "new", Zone: "zlin"})
	assert.Equal(t, position, 0)
}

func TestRepeatedServerEntriesAreNotPassedOn(t *testing.T) {
	filter := newEntryFilter(fakePlatform{})
	for _, step := range []struct {
		record follow.Record
		keep   bool
	}{
		{record("a", "1"), true},
		{record("a", "1"), false},
		{record("a", "2"), true},
		{record("a", "!"), true},
		{record("a", "2"), true},
		{record("a", ""), true},
		{record("a", "2"), true},
		{record("b", "2"), true},
	} {
		assert.Equal(t, filter.keep(step.record), step.keep, "%s=%s", step.record.Key, step.record.Value)
	}
}

// relayedSource answers like a relay that received the record 300 ms before its answer, and
// confirmed 700 ms before its answer that the topic held nothing further.
type relayedSource struct{ plan []byte }

func (s relayedSource) Newest(context.Context) (follow.Batch, error) {
	return follow.Batch{End: 4}, nil
}

func (s relayedSource) Since(_ context.Context, _ follow.Position, _ time.Duration) (follow.Batch, error) {
	return follow.Batch{
		Records: []follow.Record{{Key: planKey, Value: s.plan, Offset: 4}}, End: 5,
		Age: follow.Age{Relayed: true, Arrived: 300 * time.Millisecond, Confirmed: 700 * time.Millisecond},
	}, nil
}

// TestAgeOfARelayedPlanIsNotUnderestimated checks that the time on which renewals rely is the
// time of the request to the relay minus the age that the relay reports. Counted from the answer
// it could be too late, since the answer may have been delayed.
func TestAgeOfARelayedPlanIsNotUnderestimated(t *testing.T) {
	now := 10 * time.Second
	clock := func() time.Duration {
		now += time.Second
		return now
	}
	s := newState(assign.Host{Name: "h1", Incarnation: "1"}, fakePlatform{}, assign.NewCurrent(), clock, eventlog.Discard())
	follower := follow.New(relayedSource{plan: []byte(`{"services":{}}`)})
	_, err := follower.Read(t.Context(), 0)
	assert.NilError(t, err)
	assert.NilError(t, s.read(t.Context(), follower, 0))
	assert.Equal(t, s.current.Plan().Version, assign.Fence(5))
	requestedAt := 11 * time.Second
	assert.Equal(t, s.current.VerifiedAt(), requestedAt-700*time.Millisecond)
}

// TestOtherRelaysStartWithTheRelayOfEachZone checks whom a host asks if no host of its zone can answer.
func TestOtherRelaysStartWithTheRelayOfEachZone(t *testing.T) {
	plan := assign.Plan{Hosts: []assign.Host{
		{Name: "a1", Zone: "a", Capacity: 1}, {Name: "a2", Zone: "a", Capacity: 2},
		{Name: "b1", Zone: "b", Capacity: 2}, {Name: "b2", Zone: "b", Capacity: 1}, {Name: "b3", Zone: "b", Retired: true},
		{Name: "c1", Zone: "c"},
	}}
	var names []string
	for _, host := range otherRelays(plan, plan.Hosts[5]) {
		names = append(names, host.Name)
	}
	assert.DeepEqual(t, names, []string{"a2", "b1", "a1", "b2"})
}
