package capacity

import (
	"encoding/json"
	"fmt"
	"runtime"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/poplarcroft/poplarcroft/internal/logservice"
	"github.com/poplarcroft/poplarcroft/internal/members"
	"github.com/poplarcroft/poplarcroft/internal/ownership"
	"github.com/poplarcroft/poplarcroft/internal/planner"
	"github.com/poplarcroft/poplarcroft/internal/record"
	"github.com/poplarcroft/poplarcroft/internal/settings"
)

const (
	// serversPerService and slicesPerService are the size of each keyed service in the benchmarks.
	serversPerService = 20
	slicesPerService  = 64
)

// serverCounts are the numbers of backend servers of the benchmarks. Every server has one session.
var serverCounts = []int{100, 300, 1000, 3000, 10_000}

// replayedState is the state that a host gets by applying the log.
type replayedState struct {
	settings *settings.State
	table    *ownership.Table
	// next is the offset of the next record.
	next logservice.Offset
}

// newState returns the state of a system with the given number of keyed backend servers, all of whose slices are assigned.
func newState(b *testing.B, servers int) *replayedState {
	b.Helper()
	s := &replayedState{settings: newSettings(b, servers), table: ownership.NewTable(), next: 2}
	for _, service := range s.settings.Services() {
		s.openAll(b, service)
		plan, needed := planner.PlanSlices(service, s.table)
		assert.Assert(b, needed)
		s.apply(b, record.Record{Kind: record.KindPlan, Plan: &plan})
	}
	return s
}

// newSettings returns the settings of a system with the given number of keyed backend servers.
func newSettings(b *testing.B, servers int) *settings.State {
	b.Helper()
	text := ""
	for service := range servers / serversPerService {
		text += fmt.Sprintf("[service.s%d]\nkeyed = true\nslices = %d\n[service.s%d.place.p.zone.z]\nservers = [", service, slicesPerService, service)
		for server := range serversPerService {
			text += fmt.Sprintf("%q, ", serverAddr(service, server))
		}
		text += "]\n"
	}
	tree, err := settings.Parse([]byte(text))
	assert.NilError(b, err)
	state := settings.NewState()
	assert.Assert(b, state.Apply(1, state.Change(tree, "")).Accepted())
	return state
}

func serverAddr(service, server int) string {
	return fmt.Sprintf("10.%d.%d.%d:8080", service/250, service%250, server+1)
}

// openAll opens a session of every server of a service.
func (s *replayedState) openAll(b *testing.B, service settings.Service) {
	b.Helper()
	for _, addr := range service.Zones[0].Servers {
		s.apply(b, record.Record{Kind: record.KindOpen, Open: &record.Open{
			Service: service.Name, Zone: "z", Addr: addr, Incarnation: string(record.NewID()), Lessors: lessors(len(addr)),
		}})
	}
}

// lessors returns three lessors, beginning with the host of the given number.
func lessors(first int) []record.Lessor {
	var all []record.Lessor
	for i := range 3 {
		host := benchHost(first + i)
		all = append(all, record.Lessor{Host: host.Name, Incarnation: host.Incarnation, PeerAddr: host.PeerAddr})
	}
	return all
}

// benchHost returns the live host of the given number.
func benchHost(number int) members.Host {
	return members.Host{HostEntry: logservice.HostEntry{
		Name:        fmt.Sprintf("region-zone-host-%d", number),
		Zone:        "z",
		PeerAddr:    fmt.Sprintf("10.9.%d.%d:8082", number/250, number%250),
		Incarnation: fmt.Sprintf("4b3e6a52-0c1d-4f0e-9d6c-%012d", number),
		State:       logservice.HostLive,
	}}
}

func benchHosts(count int) []members.Host {
	var hosts []members.Host
	for number := range count {
		hosts = append(hosts, benchHost(number))
	}
	return hosts
}

// apply applies a record, which must be accepted.
func (s *replayedState) apply(b *testing.B, r record.Record) {
	b.Helper()
	r.ID = record.NewID()
	decision := s.table.Apply(s.next, r)
	assert.Assert(b, decision.Accepted, decision.Reason)
	s.next++
}

// forServers runs a benchmark for each of serverCounts.
func forServers(b *testing.B, run func(b *testing.B, servers int)) {
	for _, servers := range serverCounts {
		b.Run(fmt.Sprintf("servers=%d", servers), func(b *testing.B) { run(b, servers) })
	}
}

// BenchmarkApply encodes, decodes and applies a plan record that names another successor for one slice.
func BenchmarkApply(b *testing.B) {
	forServers(b, func(b *testing.B, servers int) {
		s := newState(b, servers)
		key := ownership.SliceKey{Service: "s0", Slice: 0}
		successors := s.table.OpenSessions()[1:3]
		for b.Loop() {
			slice := s.table.Slice(key)
			next := successors[int(s.next)%2].ID
			change := record.SlicePlan{Slice: 0, Base: slice.Version, Successor: next}
			data, err := record.Encode(record.Record{
				ID: "0b6f2f3e-7c39-4a39-8f0c-1f3f5b0d1e11", Kind: record.KindPlan, Author: "h1",
				Plan: &record.Plan{Service: "s0", Slices: []record.SlicePlan{change}},
			})
			assert.NilError(b, err)
			decoded, err := record.Decode(data)
			assert.NilError(b, err)
			s.table.Apply(s.next, decoded)
			s.next++
		}
	})
}

// BenchmarkPlan plans all changes that the table needs once, as a host does every
// 50 ms, with 20 live hosts.
func BenchmarkPlan(b *testing.B) {
	forServers(b, func(b *testing.B, servers int) {
		s := newState(b, servers)
		live := benchHosts(20)
		for b.Loop() {
			planAll(s, live)
		}
	})
}

// BenchmarkPlanHosts plans like BenchmarkPlan, with 300 servers and a growing number of live hosts.
func BenchmarkPlanHosts(b *testing.B) {
	s := newState(b, 300)
	for _, hosts := range []int{20, 100, 500} {
		b.Run(fmt.Sprintf("hosts=%d", hosts), func(b *testing.B) {
			live := benchHosts(hosts)
			for b.Loop() {
				planAll(s, live)
			}
		})
	}
}

// planAll computes the plans for sessions, slices, lessors and recovery, and discards them.
func planAll(s *replayedState, live []members.Host) {
	planner.ServersWithoutSession(s.settings, s.table)
	for _, service := range s.settings.Services() {
		planner.PlanSlices(service, s.table)
	}
	for _, session := range s.table.OpenSessions() {
		planner.ReplaceLessors(session, live)
		planner.PlanRecovery(session, s.table, live)
	}
}

// BenchmarkSnapshot encodes the ownership table and the settings, as for a checkpoint, and reports the size in bytes.
func BenchmarkSnapshot(b *testing.B) {
	forServers(b, func(b *testing.B, servers int) {
		s := newState(b, servers)
		size := 0
		for b.Loop() {
			table, err := json.Marshal(s.table.Snapshot())
			assert.NilError(b, err)
			tree, err := json.Marshal(s.settings)
			assert.NilError(b, err)
			size = len(table) + len(tree)
		}
		b.ReportMetric(float64(size), "bytes")
	})
}

// BenchmarkRestore decodes the ownership table and the settings from a snapshot, as a host does at its start.
func BenchmarkRestore(b *testing.B) {
	forServers(b, func(b *testing.B, servers int) {
		s := newState(b, servers)
		table, err := json.Marshal(s.table.Snapshot())
		assert.NilError(b, err)
		tree, err := json.Marshal(s.settings)
		assert.NilError(b, err)
		for b.Loop() {
			var snapshot ownership.Snapshot
			assert.NilError(b, json.Unmarshal(table, &snapshot))
			_, err := ownership.Restore(snapshot)
			assert.NilError(b, err)
			assert.NilError(b, json.Unmarshal(tree, settings.NewState()))
		}
	})
}

// BenchmarkSettings applies a change of the settings of one service.
func BenchmarkSettings(b *testing.B) {
	forServers(b, func(b *testing.B, servers int) {
		state := newSettings(b, servers)
		base := logservice.Offset(1)
		for b.Loop() {
			node := record.SettingsNode{Path: "s0", Base: base, TOML: fmt.Sprintf("keyed = true\nslices = %d\nslots = 5\n", slicesPerService)}
			decision := state.Apply(base+1, record.Settings{Nodes: []record.SettingsNode{node}})
			assert.Assert(b, decision.Accepted())
			base++
		}
	})
}

// BenchmarkHeap reports the heap memory of the replayed state, separately for the settings and the ownership table.
func BenchmarkHeap(b *testing.B) {
	forServers(b, func(b *testing.B, servers int) {
		for b.Loop() {
			start := heapBytes()
			state := newSettings(b, servers)
			afterSettings := heapBytes()
			s := newState(b, servers)
			b.ReportMetric(afterSettings-start, "settings-B")
			b.ReportMetric(heapBytes()-afterSettings-(afterSettings-start), "table-B")
			runtime.KeepAlive(s)
			runtime.KeepAlive(state)
		}
	})
}

// heapBytes returns the size of the live heap objects, in bytes.
func heapBytes() float64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}
