package edge

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/poplarcroft/poplarcroft/internal/assign"
	"github.com/poplarcroft/poplarcroft/internal/eventlog"
	"github.com/poplarcroft/poplarcroft/internal/fleet"
	"github.com/poplarcroft/poplarcroft/internal/follow"
	"github.com/poplarcroft/poplarcroft/internal/grants"
	"github.com/poplarcroft/poplarcroft/internal/leader"
	"github.com/poplarcroft/poplarcroft/internal/loop"
	"github.com/poplarcroft/poplarcroft/internal/relay"
	"github.com/poplarcroft/poplarcroft/internal/routetable"
)

// answerTime is the time that a call to the log of the test takes.
const answerTime = 4 * time.Millisecond

// sharedLog is the hosts' topic, which many hosts read and write. It counts the calls.
type sharedLog struct {
	mu      sync.Mutex
	records []follow.Record
	grown   chan struct{}
	reads   int
	appends int
}

// Since implements follow.Source.
func (l *sharedLog) Since(ctx context.Context, from follow.Position, wait time.Duration) (follow.Batch, error) {
	l.mu.Lock()
	l.reads++
	l.mu.Unlock()
	timeout := time.After(wait)
	time.Sleep(answerTime)
	for {
		l.mu.Lock()
		end, grown := uint64(len(l.records)), l.grown
		batch := follow.Batch{Era: 1, End: end, Records: append([]follow.Record(nil), l.records[min(from.Offset, end):]...)}
		l.mu.Unlock()
		if len(batch.Records) > 0 {
			return batch, nil
		}
		select {
		case <-grown:
		case <-timeout:
			return batch, nil
		case <-ctx.Done():
			return follow.Batch{}, ctx.Err()
		}
	}
}

// Newest implements follow.Source.
func (l *sharedLog) Newest(context.Context) (follow.Batch, error) {
	time.Sleep(answerTime)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reads++
	newest := make(map[string]follow.Record)
	for _, record := range l.records {
		newest[record.Key] = record
	}
	batch := follow.Batch{Era: 1, End: uint64(len(l.records))}
	for _, record := range newest {
		batch.Records = append(batch.Records, record)
	}
	return batch, nil
}

// append appends a record, if the topic ends at the offset.
func (l *sharedLog) append(key string, value []byte, at *uint64) (follow.Position, error) {
	time.Sleep(answerTime)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.appends++
	offset := uint64(len(l.records))
	if at != nil && *at != offset {
		return follow.Position{}, ErrConflict
	}
	l.records = append(l.records, follow.Record{Key: key, Value: value, Offset: offset})
	close(l.grown)
	l.grown = make(chan struct{})
	return follow.Position{Era: 1, Offset: offset}, nil
}

// plans returns the number of plans so far.
func (l *sharedLog) plans() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	plans := 0
	for _, record := range l.records {
		if record.Key == planKey {
			plans++
		}
	}
	return plans
}

// calls returns the number of calls so far.
func (l *sharedLog) calls() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.reads + l.appends
}

// sharedPlatform is the platform of one host of a sharedFleet.
type sharedPlatform struct {
	fakePlatform
	log *sharedLog
}

func (p sharedPlatform) State() follow.Source { return p.log }

func (p sharedPlatform) AppendState(_ context.Context, key string, value []byte, at *uint64) (follow.Position, error) {
	return p.log.append(key, value, at)
}

// firstLeads elects the host for which it is true.
type firstLeads bool

func (f firstLeads) Join(context.Context) (bool, error) {
	time.Sleep(answerTime)
	return bool(f), nil
}

// sharedFleet is a number of hosts that follow and write the hosts' topic, without servers and callers. They poll another
// topic, as they do that of the servers.
type sharedFleet struct {
	log    *sharedLog
	polled *sharedLog
	now    func() time.Duration

	mu     sync.Mutex
	byName map[string]*Host
}

// host returns the host with a name.
func (f *sharedFleet) host(name string) *Host {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.byName[name]
}

func newSharedFleet() *sharedFleet {
	started := time.Now()
	return &sharedFleet{
		log: &sharedLog{grown: make(chan struct{})}, polled: &sharedLog{grown: make(chan struct{})}, byName: make(map[string]*Host),
		now: func() time.Duration { return time.Since(started) + time.Hour },
	}
}

// add adds hosts that are not running yet. The first of all leads.
func (f *sharedFleet) add(n int) []*Host {
	var hosts []*Host
	for range n {
		i := len(f.byName)
		self := assign.Host{
			Name: fmt.Sprintf("front-%03d", i), Incarnation: "1", Zone: fleetZones[i%len(fleetZones)], Addr: fmt.Sprint("host-", i),
			Capacity: 0.16, Weight: 1, KnownOrder: assign.OrderByWeight,
		}
		if i%11 == 0 && i < 195 {
			self.Capacity = 0.8
		}
		h := f.newHost(self, i == 0)
		f.mu.Lock()
		f.byName[self.Name] = h
		f.mu.Unlock()
		hosts = append(hosts, h)
	}
	return hosts
}

func (f *sharedFleet) newHost(self assign.Host, leads bool) *Host {
	platform := sharedPlatform{log: f.log}
	h := &Host{platform: platform, log: eventlog.Discard(), self: self, current: assign.NewCurrent()}
	h.relay = relay.New(relay.Config{
		Hosts:            func() ([]relay.Host, int) { return relayOrder(h.current.Plan(), h.self) },
		MustReadDirectly: h.mustReadDirectly,
		Others:           func() []relay.Host { return otherRelays(h.current.Plan(), h.self) },
		Ask: func(ctx context.Context, host relay.Host, ask relay.Ask) (relay.Reply, error) {
			time.Sleep(time.Millisecond)
			return f.host(host.Name).relay.Serve(ctx, ask), nil
		},
		Clock: f.now, Log: h.log,
	})
	h.state = newState(self, platform, h.current, f.now, h.log)
	h.state.onChange = func() { h.leader.Wake() }
	table := routetable.New(routetable.Config{})
	h.leader = leader.New(leader.Config{
		Self: self, Current: h.current, Store: h.state, Elector: firstLeads(leads), Timing: grants.DefaultTiming(),
		Fleet: fleet.New(fleet.Options{Zone: self.Zone}), Table: func() *routetable.Table { return table }, Hosts: h.state.hosts.List,
		OperatorOffset: func() uint64 { return 0 }, ZoneEvacuated: func(string) bool { return false }, CutOff: func(string) bool { return false },
		ServersKnown: func() bool { return true }, Clock: f.now, Log: h.log,
	})
	return h
}

// start starts hosts within the given time, and runs them until the context ends.
func (f *sharedFleet) start(ctx context.Context, hosts []*Host, within time.Duration) {
	random := rand.New(rand.NewPCG(1, 2))
	for _, h := range hosts {
		delay := time.Duration(random.Float64() * float64(within))
		go func() {
			time.Sleep(delay)
			go h.leader.RunElection(ctx)
			go h.leader.Run(ctx)
			go loop.Every(ctx, reportInterval, func(context.Context) { f.report(h) })
			go f.poll(ctx, h)
			h.followState(ctx)
		}()
	}
}

// report sends the leader a report.
func (f *sharedFleet) report(h *Host) {
	from := leader.Reporter{Name: h.self.Name, Incarnation: h.self.Incarnation, Plan: h.current.Plan().Version}
	f.host("front-000").leader.Report(from, leader.Report{}, nil)
}

// poll follows the other topic.
func (f *sharedFleet) poll(ctx context.Context, h *Host) {
	interval := func() time.Duration { return serversInterval }
	follower := follow.New(h.relay.Source(topicServers, f.polled, relay.Options{MinInterval: interval}))
	h.readLoop(ctx, "servers", func(ctx context.Context) error {
		_, err := follower.Read(ctx, 0)
		return err
	})
}

// awaitPlan waits until the plans of all hosts list all hosts, and returns how long it took.
func (f *sharedFleet) awaitPlan(t *testing.T, limit time.Duration) time.Duration {
	t.Helper()
	began := f.now()
	for f.now()-began < limit {
		complete := 0
		for _, h := range f.byName {
			if len(h.current.Plan().Hosts) == len(f.byName) {
				complete++
			}
		}
		if complete == len(f.byName) {
			return f.now() - began
		}
		time.Sleep(5 * time.Millisecond)
	}
	t.Fatalf("the hosts do not agree on a plan with all of them after %v", limit)
	return 0
}

// TestStartOfManyHostsReadsLittle guards against reads in proportion to the square of the hosts, as each registration woke the
// waiting read of each host that has no relay yet, and against a plan for each host that joins, as each plan goes to all
// hosts.
func TestStartOfManyHostsReadsLittle(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer func() {
			cancel()
			time.Sleep(5 * time.Second)
		}()
		fleet := newSharedFleet()
		fleet.start(ctx, fleet.add(195), 300*time.Millisecond)
		took := fleet.awaitPlan(t, 3*time.Second)
		time.Sleep(time.Second)
		started := fleet.log.calls()
		t.Logf("start of 195 hosts: %d calls, all in the plan of each after %v", started, took)
		assert.Assert(t, started <= 8*195, "%d calls", started)
		time.Sleep(5 * time.Second)
		atRest := fleet.log.calls()
		plans := fleet.log.plans()
		t.Logf("at rest: %d calls in 5 s", atRest-started)
		fleet.start(ctx, fleet.add(36), 300*time.Millisecond)
		took = fleet.awaitPlan(t, 3*time.Second)
		joined := fleet.log.calls() - atRest
		t.Logf("36 hosts join: %d calls, all in the plan of each after %v", joined, took)
		assert.Assert(t, joined <= 8*36, "%d calls", joined)
		assert.Assert(t, fleet.log.plans()-plans <= 4, "%d plans", fleet.log.plans()-plans)
	})
}
