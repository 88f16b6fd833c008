package edge

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/poplarcroft/poplarcroft/internal/assign"
	"github.com/poplarcroft/poplarcroft/internal/clock"
	"github.com/poplarcroft/poplarcroft/internal/continuity"
	"github.com/poplarcroft/poplarcroft/internal/eventlog"
	"github.com/poplarcroft/poplarcroft/internal/follow"
	"github.com/poplarcroft/poplarcroft/internal/grants"
	"github.com/poplarcroft/poplarcroft/internal/keyrange"
	"github.com/poplarcroft/poplarcroft/internal/poison"
	"github.com/poplarcroft/poplarcroft/internal/renew"
)

// fleetSizes are the numbers of hosts at which the cost of control is measured. Ranges grow with them.
var fleetSizes = []int{12, 59, 195, 300}

// fleetZones are the zones of the measured fleets.
var fleetZones = []string{"brno-sever", "brno-jih", "olomouc", "zlin", "ostrava", "jihlava"}

// largePlan returns a plan with the given number of hosts in six zones, one in eleven of them large, and 1.7 ranges for each host.
func largePlan(hosts int) assign.Plan {
	plan := assign.Plan{Version: assign.FenceAt(0, 1000), Order: assign.OrderByWeight, Services: make(map[string][]assign.Assignment)}
	for i := range hosts {
		host := assign.Host{
			Name: fmt.Sprintf("front-%s-%03d", fleetZones[i%len(fleetZones)], i), Incarnation: fmt.Sprintf("0b6c9a4e-6f0e-4f5b-9d57-%012d", i),
			Zone: fleetZones[i%len(fleetZones)], Addr: fmt.Sprintf("10.%d.0.%d:7660", i%len(fleetZones), i),
			Since: 1, Capacity: 0.16, Weight: 1, KnownOrder: assign.OrderByWeight,
		}
		if i%11 == 0 {
			host.Capacity, host.Weight = 0.8, 5
		}
		plan.Hosts = append(plan.Hosts, host)
	}
	slices.SortFunc(plan.Hosts, func(a, b assign.Host) int {
		if a.Name < b.Name {
			return -1
		}
		return 1
	})
	plan.Leader = plan.Hosts[0]
	ranges := hosts * 17 / 10
	first := 0
	for i := range ranges {
		last := (i+1)*keyrange.Count/ranges - 1
		plan.Services["revize"] = append(plan.Services["revize"], assign.Assignment{
			Range: keyrange.Range{First: keyrange.Key(first), Last: keyrange.Key(last)}, Phase: assign.Held, Fence: assign.FenceAt(0, 10),
			Server:   assign.Server{ID: fmt.Sprintf("i-%08x", i*7919), Addr: fmt.Sprintf("10.%d.1.%d:9000", i%6, i), Zone: fleetZones[i%len(fleetZones)], Born: 1_790_000_000_000},
			Handover: fmt.Sprintf("%016x", i*104729),
		})
		first = last + 1
	}
	return plan
}

// nextVersion returns a copy of the plan with the next version, as it is read from the topic.
func nextVersion(b *testing.B, plan assign.Plan, change func(*assign.Plan)) (assign.Plan, follow.Record) {
	next := plan.Clone()
	next.Version++
	change(&next)
	value, err := encodePlan(next)
	assert.NilError(b, err)
	return next, follow.Record{Key: planKey, Value: value, Offset: next.Version.Offset()}
}

// planReader is a host's part that acts on each plan, without the network.
type planReader struct {
	self    assign.Host
	current *assign.Current
	state   *state
	renewer *renew.Renewer
}

func newPlanReader(plan assign.Plan, self assign.Host) *planReader {
	current := assign.NewCurrent()
	current.Adopt(plan)
	return &planReader{
		self: self, current: current,
		state: newState(self, nil, current, clock.Monotonic, eventlog.Discard()),
		renewer: renew.New(renew.Config{
			Self: self, Current: current, Timing: grants.DefaultTiming(), Connections: continuity.New(), Clock: clock.Monotonic, Log: eventlog.Discard(),
		}),
	}
}

// adopt decodes and adopts a plan, finds what this host renews by it, its relay, and the primaries of all servers.
func (r *planReader) adopt(b *testing.B, record follow.Record) {
	r.state.applyPlan(record, 0)
	plan := r.current.Plan()
	if plan.Version.Offset() != record.Offset {
		b.Fatal("the plan was not adopted")
	}
	r.renewer.Track()
	relayOrder(plan, r.self)
	for _, a := range plan.Services["revize"] {
		if len(plan.FirstHosts(a.Server, 1, func(assign.Host) bool { return true })) == 0 {
			b.Fatal("no primary")
		}
	}
}

// BenchmarkControl measures what a change costs one host, without the network, at several sizes of the fleet.
func BenchmarkControl(b *testing.B) {
	for _, hosts := range fleetSizes {
		plan := largePlan(hosts)
		b.Run("range-moves/hosts="+strconv.Itoa(hosts), func(b *testing.B) { benchmarkPlans(b, plan, moveRange) })
		b.Run("host-joins/hosts="+strconv.Itoa(hosts), func(b *testing.B) { benchmarkPlans(b, plan, addHost) })
		b.Run("evidence/hosts="+strconv.Itoa(hosts), func(b *testing.B) { benchmarkEvidence(b, plan) })
	}
}

// moveRange gives a random range to the server of another one.
func moveRange(plan *assign.Plan) {
	ranges := plan.Services["revize"]
	i := rand.IntN(len(ranges))
	ranges[i].Server = ranges[rand.IntN(len(ranges))].Server
	ranges[i].Fence = plan.Version
}

// addHost adds a host to a zone, whose ranges get a new fencing token.
func addHost(plan *assign.Plan) {
	host := plan.Hosts[len(plan.Hosts)/2]
	host.Name += "-" + strconv.FormatUint(plan.Version.Offset(), 36)
	host.Incarnation += "-" + strconv.FormatUint(plan.Version.Offset(), 36)
	host.Since = plan.Version
	plan.Hosts = slices.Insert(plan.Hosts, len(plan.Hosts)/2+1, host)
	for i, a := range plan.Services["revize"] {
		if a.Server.Zone == host.Zone {
			plan.Services["revize"][i].Fence = plan.Version
		}
	}
}

// benchmarkPlans measures the adoption of plans by a small host that does not lead.
func benchmarkPlans(b *testing.B, plan assign.Plan, change func(*assign.Plan)) {
	reader := newPlanReader(plan, plan.Hosts[len(plan.Hosts)/2])
	var bytes int
	b.ReportAllocs()
	for b.Loop() {
		b.StopTimer()
		next, record := nextVersion(b, plan, change)
		plan.Version = next.Version
		bytes = len(record.Value)
		b.StartTimer()
		reader.adopt(b, record)
	}
	b.ReportMetric(float64(bytes), "wire-B/plan")
}

// benchmarkEvidence measures what a crash costs a host that learns of it from another one, while others are known.
func benchmarkEvidence(b *testing.B, plan assign.Plan) {
	const known, batch = 500, 20
	guard := poison.NewGuard(poison.Bounds{CrashLimit: maxCrashes, SharedCrashLimit: maxCrashes, Retention: crashRetention})
	deliveries := poison.NewDeliveries(guard, evidenceRetryInterval)
	ids := make([]string, len(plan.Hosts))
	for i, host := range plan.Hosts {
		ids[i] = host.Name + "/" + host.Incarnation
	}
	number := 0
	take := func(n int) {
		var records []poison.Record
		for range n {
			number++
			f := poison.FingerprintOf(poison.Request{Path: strconv.Itoa(number)})
			records = append(records, poison.Record{Fingerprint: f, Death: poison.Server{Addr: "10.0.0.1:1", Incarnation: strconv.Itoa(number)}})
		}
		guard.Import(records, poison.OtherHost)
		for _, id := range ids {
			if _, due := deliveries.Begin(id); due {
				b.Fatal("evidence of another host is passed on")
			}
		}
	}
	take(known)
	b.ReportAllocs()
	for b.Loop() {
		take(batch)
		if number > 5000 {
			b.StopTimer()
			guard = poison.NewGuard(poison.Bounds{CrashLimit: maxCrashes, SharedCrashLimit: maxCrashes, Retention: crashRetention})
			deliveries = poison.NewDeliveries(guard, evidenceRetryInterval)
			number = 0
			take(known)
			b.StartTimer()
		}
	}
}
