package assign

import (
	"encoding/json"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"

	"gotest.tools/v3/assert"
)

func anyHost(Host) bool { return true }

// testHosts returns hosts of three zones with the given weights, which repeat.
func testHosts(n int, weights ...float64) []Host {
	hosts := make([]Host, n)
	for i := range hosts {
		hosts[i] = Host{
			Name: fmt.Sprintf("edge-%02d", i), Incarnation: "1", Zone: []string{"brno", "zlin", "opava"}[i%3],
			Addr: fmt.Sprintf("10.0.0.%d:70", i), Weight: weights[i%len(weights)], KnownOrder: OrderByWeight,
		}
	}
	return hosts
}

func namesOf(hosts []Host) []string {
	names := make([]string, len(hosts))
	for i, host := range hosts {
		names[i] = host.Name
	}
	return names
}

// TestEqualWeightsKeepTheOrderByHash guards against two primaries for a server while the order of the plan changes
// and all hosts are alike.
func TestEqualWeightsKeepTheOrderByHash(t *testing.T) {
	for _, weight := range []float64{0, 0.75, 1, 3.35} {
		byHash, byWeight := Plan{Hosts: testHosts(91, weight)}, Plan{Hosts: testHosts(91, weight), Order: OrderByWeight}
		for i := range 2000 {
			id := fmt.Sprint("revize-", i)
			assert.DeepEqual(t, namesOf(byWeight.RankedFor(id, anyHost)), namesOf(byHash.RankedFor(id, anyHost)))
		}
	}
}

// TestOrderByHashIsThatOfEarlierBuilds guards against an order that differs from the one of builds without weights.
func TestOrderByHashIsThatOfEarlierBuilds(t *testing.T) {
	plan := Plan{Hosts: testHosts(5, 1, 4)}
	for id, want := range map[string][]string{
		"revize-1": {"edge-00", "edge-03", "edge-02", "edge-01", "edge-04"},
		"revize-2": {"edge-01", "edge-02", "edge-03", "edge-00", "edge-04"},
		"s/7":      {"edge-03", "edge-02", "edge-04", "edge-01", "edge-00"},
	} {
		assert.DeepEqual(t, namesOf(plan.RankedFor(id, anyHost)), want)
		plan.Order = OrderByWeight
		assert.DeepEqual(t, namesOf(plan.RankedByHash(id, anyHost)), want)
		plan.Order = OrderByHash
	}
}

// TestLogarithmNeverIncreases guards against an order that is not the one of the hashes for equal weights.
func TestLogarithmNeverIncreases(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	assert.Equal(t, negativeLog(0), negativeLog(1))
	assert.Equal(t, negativeLog(1<<63), uint64(1<<logBits))
	for range 200_000 {
		hash := max(rng.Uint64()>>rng.IntN(60), 1)
		got := float64(negativeLog(hash)) / (1 << logBits)
		assert.Assert(t, math.Abs(got-(64-math.Log2(float64(hash)))) < 1e-12, "%d: %v", hash, got)
		step := rng.Uint64N(1 << rng.IntN(20))
		assert.Assert(t, hash+step < hash || negativeLog(hash+step) <= negativeLog(hash), "%d and %d", hash, hash+step)
	}
	assert.Assert(t, negativeLog(math.MaxUint64) <= negativeLog(math.MaxUint64-1))
}

// TestHostsServeInProportionToTheirWeight guards against small hosts that get as many servers as large ones.
func TestHostsServeInProportionToTheirWeight(t *testing.T) {
	plan := Plan{Hosts: testHosts(9, 0.75, 1, 1, 2, 5), Order: OrderByWeight}
	const ids = 40_000
	first := make(map[string]float64)
	for i := range ids {
		first[plan.RankedFor(fmt.Sprint(i), anyHost)[0].Name]++
	}
	total := 0.0
	for _, host := range plan.Hosts {
		total += host.Weight
	}
	for _, host := range plan.Hosts {
		want := ids * host.Weight / total
		assert.Assert(t, math.Abs(first[host.Name]-want) < 5*math.Sqrt(want), "%s: %v servers, %v expected", host.Name, first[host.Name], want)
	}
}

// TestAWeightMovesOnlyItsOwnServers guards against a change of one host's weight that gives other servers another primary.
func TestAWeightMovesOnlyItsOwnServers(t *testing.T) {
	before := Plan{Hosts: testHosts(91, 0.75, 1, 2), Order: OrderByWeight}
	after := before.Clone()
	after.Hosts[40].Weight *= 1.5
	changed := after.Hosts[40].Name
	others := func(h Host) bool { return h.Name != changed }
	moved := 0
	for i := range 404 {
		id := fmt.Sprint("revize-", i)
		assert.DeepEqual(t, namesOf(after.RankedFor(id, others)), namesOf(before.RankedFor(id, others)))
		first, second := before.RankedFor(id, anyHost)[0], after.RankedFor(id, anyHost)[0]
		if first.Name != second.Name {
			assert.Equal(t, second.Name, changed)
			moved++
		}
	}
	// The host's share rises from 1.0/114 to 1.5/114.5, which is 1.7 of 404 servers.
	assert.Assert(t, moved <= 8, "%d of 404 servers have another primary", moved)
}

// TestHostsAgreeByThePlanAlone guards against two primaries: each host decodes the plan from the log, a build without
// weights drops the fields that it does not know, and the leader lets no order hold that one of them does not know.
func TestHostsAgreeByThePlanAlone(t *testing.T) {
	type formerHost struct {
		Name        string `json:"name"`
		Incarnation string `json:"incarnation"`
		Zone        string `json:"zone"`
	}
	type formerPlan struct {
		Hosts []formerHost `json:"hosts"`
	}
	for _, former := range []int{0, 1, 30} {
		hosts := testHosts(30, 0.75, 1, 5)
		for i := range former {
			hosts[i].KnownOrder, hosts[i].Weight = "", 0
		}
		record, err := json.Marshal(Plan{Hosts: hosts, Order: OrderFor(hosts)})
		assert.NilError(t, err)
		var read Plan
		assert.NilError(t, json.Unmarshal(record, &read))
		var readByFormer formerPlan
		assert.NilError(t, json.Unmarshal(record, &readByFormer))
		withoutFields := Plan{}
		for _, host := range readByFormer.Hosts {
			withoutFields.Hosts = append(withoutFields.Hosts, Host{Name: host.Name, Incarnation: host.Incarnation, Zone: host.Zone})
		}
		for i := range 300 {
			server := Server{ID: fmt.Sprint("revize-", i), Zone: "zlin"}
			want := namesOf(Plan{Hosts: hosts, Order: OrderFor(hosts)}.RankedHosts(server, anyHost))
			assert.DeepEqual(t, namesOf(read.RankedHosts(server, anyHost)), want)
			if former > 0 {
				assert.DeepEqual(t, namesOf(withoutFields.RankedHosts(server, anyHost)), want)
			}
		}
		assert.Equal(t, read.Order == OrderByWeight, former == 0)
	}
}

// TestRetiredHostHoldsBackTheOrder guards against a host of a former build that is only silent for a while and acts by
// the plan when it goes on.
func TestRetiredHostHoldsBackTheOrder(t *testing.T) {
	hosts := testHosts(3, 1)
	assert.Equal(t, OrderFor(hosts), OrderByWeight)
	hosts[2].KnownOrder, hosts[2].Retired = "", true
	assert.Equal(t, OrderFor(hosts), OrderByHash)
}

// TestRankingsAreThoseOfThePlan guards against a ranking of another plan, and against a memory that grows without bound.
func TestRankingsAreThoseOfThePlan(t *testing.T) {
	plan := Plan{Hosts: testHosts(30, 1, 2), Order: OrderByWeight}
	kept := plan.WithRankings(Plan{})
	var group sync.WaitGroup
	for range 4 {
		group.Go(func() {
			for i := range maxRankings + 200 {
				id := fmt.Sprint(i)
				got := kept.RankedFor(id, anyHost)
				if i%100 == 0 && namesOf(got)[0] != plan.RankedFor(id, anyHost)[0].Name {
					t.Errorf("%s: another order", id)
				}
			}
		})
	}
	group.Wait()
	assert.Equal(t, len(kept.rankings.all.orders.byID), maxRankings)
	other := kept.Clone()
	other.Hosts[3].Weight = 50
	assert.DeepEqual(t, namesOf(other.RankedFor("7", anyHost)), namesOf(Plan{Hosts: other.Hosts, Order: OrderByWeight}.RankedFor("7", anyHost)))
	assert.Assert(t, kept.Equal(plan))
	assert.Assert(t, !kept.Equal(other))
}

// TestRankingsOutlastPlans guards against ranking all hosts anew for each range of each plan. A zone whose hosts have not
// changed keeps its rankings, also at other positions in the plan; another zone, another weight or another order does not.
func TestRankingsOutlastPlans(t *testing.T) {
	hosts := testHosts(30, 1, 2)
	for i := range hosts {
		hosts[i].Zone = []string{"brno", "zlin", "opava"}[i%3]
	}
	servers := map[string]Server{"brno": {ID: "s1", Zone: "brno"}, "zlin": {ID: "s1", Zone: "zlin"}, "opava": {ID: "s1", Zone: "opava"}}
	plan := Plan{Hosts: hosts, Order: OrderByWeight}.WithRankings(Plan{})
	for _, server := range servers {
		plan.FirstHosts(server, 1, anyHost)
	}
	joined := Host{Name: "a-new-host", Incarnation: "1", Zone: "zlin", KnownOrder: OrderByWeight}
	for _, test := range map[string]struct {
		change func(*Plan)
		kept   []string
	}{
		"a later version and term": {func(p *Plan) { p.Version, p.Hosts[4].Since, p.Hosts[5].Led = 7, 6, true }, []string{"brno", "zlin", "opava"}},
		"a host joins":             {func(p *Plan) { p.Hosts = append([]Host{joined}, p.Hosts...) }, []string{"brno", "opava"}},
		"a host is retired":        {func(p *Plan) { p.Hosts[3].Retired = true }, []string{"zlin", "opava"}},
		"another weight":           {func(p *Plan) { p.Hosts[2].Weight = 9 }, []string{"brno", "zlin"}},
		"another order":            {func(p *Plan) { p.Order = OrderByHash }, nil},
	} {
		next := plan.Clone()
		test.change(&next)
		next = next.WithRankings(plan)
		var kept []string
		for _, zone := range []string{"brno", "zlin", "opava"} {
			if len(next.rankings.zones[zone].orders.byID) > 0 {
				kept = append(kept, zone)
			}
			want := next
			want.rankings = nil
			assert.DeepEqual(t, namesOf(next.RankedHosts(servers[zone], anyHost)), namesOf(want.RankedHosts(servers[zone], anyHost)))
		}
		assert.DeepEqual(t, kept, test.kept)
	}
}

// TestAmongFirstAgreesWithTheOrder checks that all hosts agree on which ones are first, and that retired ones do not count.
func TestAmongFirstAgreesWithTheOrder(t *testing.T) {
	plan := Plan{Hosts: testHosts(40, 1, 5), Order: OrderByWeight}
	plan.Hosts[7].Retired = true
	for i := range 200 {
		id := fmt.Sprint("request-", i)
		first := namesOf(plan.RankedByHash(id, anyHost))[:3]
		for _, host := range plan.Hosts {
			if !host.Retired {
				assert.Equal(t, plan.AmongFirst(host, id, 3), slices.Contains(first, host.Name))
			}
		}
	}
	assert.Assert(t, Plan{}.AmongFirst(Host{Name: "alone"}, "x", 1))
}

// TestServerWithoutAZone guards against a server whose entry has an empty zone and whose grants are renewed by hosts of any zone: a
// release waits only for the hosts of the server's zone and for those that may renew in all zones.
func TestServerWithoutAZone(t *testing.T) {
	plan := Plan{Hosts: testHosts(6, 1), Order: OrderByWeight}
	plan.Hosts[2].Led = true
	plan.Leader = plan.Hosts[2]
	plan = plan.WithRankings(Plan{})
	a := Assignment{Phase: Held, Fence: 9, Server: Server{ID: "s1"}}
	assert.Equal(t, len(plan.RankedHosts(a.Server, anyHost)), 0)
	assert.DeepEqual(t, namesOf(plan.Renewers(a)), []string{plan.Leader.Name})
	for _, host := range plan.Hosts {
		assert.Equal(t, plan.ShouldRenew(host, a), host.Led)
	}
	assert.DeepEqual(t, namesOf(plan.PossibleRenewers("")), []string{plan.Leader.Name})
}
