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
	// serversPerService and slicesPerService are the sizes of a service in the benchmarks.
	serversPerService = 20
	slicesPerService  = 64
)

// serverCounts are the numbers of backend servers, each with one session.
var serverCounts = []int{100, 300, 1000, 3000, 10_000}

// folded is the state that a host folds from the log.
type folded struct {
	state *settings.State
	table *ownership.Table
	next  logservice.Offset
}

// fold returns the state of a system with the number of keyed backend servers.
func fold(b *testing.B, servers int) *folded {
	b.Helper()
	f := &folded{state: foldSettings(b, servers), table: ownership.NewTable(), next: 2}
	for _, service := range f.state.Services() {
		f.openAll(b, service)
		plan, needed := planner.Slices(service, f.table)
		assert.Assert(b, needed)
		f.apply(b, record.Record{Kind: record.KindPlan, Plan: &plan})
	}
	return f
}

func foldSettings(b *testing.B, servers int) *settings.State {
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

func (f *folded) openAll(b *testing.B, service settings.Service) {
	b.Helper()
	for _, addr := range service.Zones[0].Servers {
		f.apply(b, record.Record{Kind: record.KindOpen, Open: &record.Open{
			Service: service.Name, Zone: "z", Addr: addr, Incarnation: string(record.NewID()), Lessors: lessors(len(addr)),
		}})
	}
}

func lessors(first int) []record.Lessor {
	var all []record.Lessor
	for i := range 3 {
		host := benchHost(first + i)
		all = append(all, record.Lessor{Host: host.Name, Incarnation: host.Incarnation, PeerAddr: host.PeerAddr})
	}
	return all
}

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

func (f *folded) apply(b *testing.B, r record.Record) {
	b.Helper()
	r.ID = record.NewID()
	verdict := f.table.Apply(f.next, r)
	assert.Assert(b, verdict.Accepted, verdict.Reason)
	f.next++
}

func forServers(b *testing.B, run func(b *testing.B, servers int)) {
	for _, servers := range serverCounts {
		b.Run(fmt.Sprintf("servers=%d", servers), func(b *testing.B) { run(b, servers) })
	}
}

// BenchmarkApply decodes and folds one plan of one slice.
func BenchmarkApply(b *testing.B) {
	forServers(b, func(b *testing.B, servers int) {
		f := fold(b, servers)
		key := ownership.SliceKey{Service: "s0", Slice: 0}
		successors := f.table.Sessions()[1:3]
		for b.Loop() {
			slice := f.table.Slice(key)
			next := successors[int(f.next)%2].ID
			change := record.SlicePlan{Slice: 0, Base: slice.Version, Successor: next}
			data, err := record.Encode(record.Record{
				ID: "0b6f2f3e-7c39-4a39-8f0c-1f3f5b0d1e11", Kind: record.KindPlan, Author: "h1",
				Plan: &record.Plan{Service: "s0", Slices: []record.SlicePlan{change}},
			})
			assert.NilError(b, err)
			decoded, err := record.Decode(data)
			assert.NilError(b, err)
			f.table.Apply(f.next, decoded)
			f.next++
		}
	})
}

// BenchmarkPlan looks once for all that the table lacks, as a host does every
// 50 ms, with 20 live hosts.
func BenchmarkPlan(b *testing.B) {
	forServers(b, func(b *testing.B, servers int) {
		f := fold(b, servers)
		live := benchHosts(20)
		for b.Loop() {
			lookForNeeds(f, live)
		}
	})
}

// BenchmarkPlanHosts does the same for 300 servers and a growing number of live hosts.
func BenchmarkPlanHosts(b *testing.B) {
	f := fold(b, 300)
	for _, hosts := range []int{20, 100, 500} {
		b.Run(fmt.Sprintf("hosts=%d", hosts), func(b *testing.B) {
			live := benchHosts(hosts)
			for b.Loop() {
				lookForNeeds(f, live)
			}
		})
	}
}

func lookForNeeds(f *folded, live []members.Host) {
	planner.ToOpen(f.state, f.table)
	for _, service := range f.state.Services() {
		planner.Slices(service, f.table)
	}
	for _, session := range f.table.Sessions() {
		planner.ReplaceLessors(session, live)
		planner.ToRecover(session, f.table, live)
	}
}

// BenchmarkSnapshot encodes the table and the settings, as a checkpoint does.
func BenchmarkSnapshot(b *testing.B) {
	forServers(b, func(b *testing.B, servers int) {
		f := fold(b, servers)
		size := 0
		for b.Loop() {
			table, err := json.Marshal(f.table.Snapshot())
			assert.NilError(b, err)
			tree, err := json.Marshal(f.state)
			assert.NilError(b, err)
			size = len(table) + len(tree)
		}
		b.ReportMetric(float64(size), "bytes")
	})
}

// BenchmarkRestore decodes the table and the settings, as a host does at its start.
func BenchmarkRestore(b *testing.B) {
	forServers(b, func(b *testing.B, servers int) {
		f := fold(b, servers)
		table, err := json.Marshal(f.table.Snapshot())
		assert.NilError(b, err)
		tree, err := json.Marshal(f.state)
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

// BenchmarkSettings folds a change of one zone.
func BenchmarkSettings(b *testing.B) {
	forServers(b, func(b *testing.B, servers int) {
		state := foldSettings(b, servers)
		base := logservice.Offset(1)
		for b.Loop() {
			node := record.SettingsNode{Path: "s0", Base: base, TOML: fmt.Sprintf("keyed = true\nslices = %d\nslots = 5\n", slicesPerService)}
			verdict := state.Apply(base+1, record.Settings{Nodes: []record.SettingsNode{node}})
			assert.Assert(b, verdict.Accepted())
			base++
		}
	})
}

// BenchmarkHeap reports the memory of the folded state.
func BenchmarkHeap(b *testing.B) {
	forServers(b, func(b *testing.B, servers int) {
		for b.Loop() {
			start := heapBytes()
			state := foldSettings(b, servers)
			afterSettings := heapBytes()
			f := fold(b, servers)
			b.ReportMetric(afterSettings-start, "settings-B")
			b.ReportMetric(heapBytes()-afterSettings-(afterSettings-start), "table-B")
			runtime.KeepAlive(f)
			runtime.KeepAlive(state)
		}
	})
}

func heapBytes() float64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}
