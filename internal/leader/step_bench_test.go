package leader

import (
	"fmt"
	"strconv"
	"testing"
	"time"

	"github.com/poplarcroft/poplarcroft/internal/assign"
	"github.com/poplarcroft/poplarcroft/internal/clock"
	"github.com/poplarcroft/poplarcroft/internal/eventlog"
	"github.com/poplarcroft/poplarcroft/internal/fleet"
	"github.com/poplarcroft/poplarcroft/internal/grants"
	"github.com/poplarcroft/poplarcroft/internal/keyrange"
	"github.com/poplarcroft/poplarcroft/internal/routetable"
	"github.com/poplarcroft/poplarcroft/internal/transport"
)

// loadedKeysPerHost is the number of keys whose rate a host reports, and slowServersPerHost that of servers with a latency.
const (
	loadedKeysPerHost  = 40
	slowServersPerHost = 12
)

// BenchmarkStep measures one step of a leader whose hosts all report, at several sizes of the fleet: the plan that is
// computed, and the reports that arrive meanwhile from a tenth of the hosts.
func BenchmarkStep(b *testing.B) {
	for _, hosts := range []int{12, 59, 195, 300} {
		b.Run("hosts="+strconv.Itoa(hosts), func(b *testing.B) {
			l, reports := loadedLeader(hosts)
			table := l.Table()
			version := assign.FenceAt(0, 2)
			for name, report := range reports {
				l.Report(Reporter{Name: name, Incarnation: "1"}, report, nil)
			}
			plan, _ := l.nextPlan(assign.Plan{}, table, version)
			plan.Version = version
			l.Current.Adopt(plan)
			b.ReportAllocs()
			for b.Loop() {
				reporting := hosts / 10
				for name, report := range reports {
					if reporting--; reporting < 0 {
						break
					}
					l.Report(Reporter{Name: name, Incarnation: "1"}, report, nil)
				}
				l.nextPlan(l.Current.Plan(), table, version+1)
			}
		})
	}
}

// loadedLeader returns a leader of a fleet with the given number of hosts and 1.7 keyed servers for each, and a report of each host.
func loadedLeader(hosts int) (*Leader, map[string]Report) {
	var registered []assign.Host
	for i := range hosts {
		registered = append(registered, assign.Host{
			Name: fmt.Sprintf("front-%03d", i), Incarnation: "1", Zone: fmt.Sprint("zone-", i%6), Weight: 1, KnownOrder: assign.OrderByWeight,
		})
	}
	f := fleet.New(fleet.Options{Zone: "zone-0", Target: func(addr string) *transport.Target { return transport.NewTarget(addr, transport.Options{}) }})
	var entries []fleet.Entry
	for i := range hosts * 17 / 10 {
		entries = append(entries, fleet.Entry{
			ID: fleet.ID(fmt.Sprintf("i-%03d", i)), Service: "revize", Addr: fmt.Sprintf("10.0.0.1:%d", i+1), Zone: fmt.Sprint("zone-", i%6), Slots: 4, Born: 1,
		})
	}
	f.Set(entries, 0)
	reports := make(map[string]Report)
	for i, host := range registered {
		report := Report{Rates: map[string]map[keyrange.Key]keyrange.CentiRate{"revize": {}}, Slowness: make(map[string]int), Limits: make(map[string]float64)}
		for j := range loadedKeysPerHost {
			report.Rates["revize"][keyrange.Key((i*loadedKeysPerHost+j)*7%keyrange.Count)] = 30
		}
		for j := range slowServersPerHost {
			report.Slowness[string(entries[(i*7+j)%len(entries)].ID)] = 110
		}
		reports[host.Name] = report
	}
	table := routetable.New(routetable.Config{Services: map[string]routetable.Service{"revize": {Keyed: true}}})
	l := New(Config{
		Self: registered[0], Current: assign.NewCurrent(), Timing: grants.DefaultTiming(), Fleet: f,
		Table: func() *routetable.Table { return table }, Hosts: func() []assign.Host { return registered },
		OperatorOffset: func() uint64 { return 0 }, ZoneEvacuated: func(string) bool { return false }, CutOff: func(string) bool { return false },
		ServersKnown: func() bool { return true }, Clock: clock.Monotonic, Log: eventlog.Discard(),
	})
	l.leaderSince = -time.Hour
	return l, reports
}
