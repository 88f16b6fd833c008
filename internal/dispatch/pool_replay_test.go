package dispatch_test

import (
	"cmp"
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/poplarcroft/poplarcroft/internal/dispatch"
	"github.com/poplarcroft/poplarcroft/internal/fleet"
	"github.com/poplarcroft/poplarcroft/internal/transport"
)

// The replay compares, in simulated time, the choice of each host by itself (fleet.Choose) with a Pool. All rates, times,
// speeds and bursts are those of the design page, docs/design/client-accounts-and-overload.md, part 3, and its task.
const (
	replayHosts = 62
	// messageDelay is the time that a message takes, between hosts and between a host and a server.
	messageDelay = time.Millisecond
	// replayFinishInterval is the shortest time between two messages of a host with finished tickets.
	replayFinishInterval = 20 * time.Millisecond
	replaySlots          = 2
	// replayQueue is the number of requests that a server queues; it refuses more.
	replayQueue = 8
	replayTime  = 60 * time.Second
	// replayRetries is how often a caller repeats a refused request.
	replayRetries = 3
	// deadlineFactor gives the deadline as a multiple of the latency goal. The page names no deadlines.
	deadlineFactor = 3
)

// requestKind is a kind of request.
type requestKind struct {
	perSecond float64
	work      time.Duration
	goal      time.Duration
	priority  int
	worth     float64
}

var replayKinds = []requestKind{
	{124, 64 * time.Millisecond, 250 * time.Millisecond, 0, 3.7},
	{171, 110 * time.Millisecond, 400 * time.Millisecond, 1, 1},
	{181, 210 * time.Millisecond, 1200 * time.Millisecond, 2, 1},
}

// serviceServers are the numbers of servers of the services. Each kind uses both, in proportion.
var serviceServers = []int{44, 32}

// event is something that happens at a time. seq keeps the order of events at the same time.
type event struct {
	at  time.Duration
	seq int
	do  func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(h[i].at, h[j].at), cmp.Compare(h[i].seq, h[j].seq)) < 0
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// replay is one run.
type replay struct {
	now    time.Duration
	seq    int
	events eventHeap
	random *rand.Rand
	// servers holds the servers of each service, and fleets what each host knows of them.
	servers  [][]*replayServer
	fleets   []*fleet.Fleet
	baseline []map[int]time.Duration
	// pools are nil if hosts choose by themselves.
	pools      []*replayPool
	finishedAt [replayHosts]time.Duration
	results    []kindResult
	nextCaller uint64
	// load is the factor of all request rates.
	load float64
}

// kindResult counts the callers of one kind by how they ended.
type kindResult struct{ sent, inGoal, late, refused int }

func (k kindResult) served() float64 { return float64(k.inGoal+k.late) / float64(max(k.sent, 1)) }

// replayServer is a server with slots and a queue.
type replayServer struct {
	id      string
	speed   float64
	noisy   bool
	running int
	queue   []*execution
	most    int
}

// execution is a request at a server.
type execution struct {
	kind     int
	deadline time.Duration
	// done is called at the server with whether the request was executed, and how long that took.
	done func(executed bool, took time.Duration)
}

// replayCall is a caller's request with its repetitions.
type replayCall struct {
	kind, host, service int
	caller              uint64
	started             time.Duration
	impatient           bool
	retries             int
}

// replayPool is a pool with the requests that wait for a decision.
type replayPool struct {
	pool    *dispatch.Pool
	waiting map[dispatch.Ticket]func(dispatch.PoolDecision)
}

func (r *replay) after(d time.Duration, do func()) {
	r.seq++
	heap.Push(&r.events, event{r.now + d, r.seq, do})
}

func newReplay(seed uint64, load float64, pooled bool) *replay {
	r := &replay{load: load, random: rand.New(rand.NewPCG(seed, 1)), results: make([]kindResult, len(replayKinds))}
	var entries []fleet.Entry
	for service, count := range serviceServers {
		var servers []*replayServer
		var members []dispatch.PoolServer
		for i := range count {
			s := &replayServer{id: fmt.Sprintf("s%d-%02d", service, i), speed: []float64{0.5, 1, 1.5}[i%3]}
			servers = append(servers, s)
			r.toggleNoise(s)
			entries = append(entries, fleet.Entry{ID: fleet.ID(s.id), Service: fmt.Sprint(service), Zone: "z", Slots: replaySlots, Born: 1})
			members = append(members, dispatch.PoolServer{ID: s.id, Born: 1, Slots: replaySlots})
		}
		r.servers = append(r.servers, servers)
		if pooled {
			p := &replayPool{pool: dispatch.NewPool(-time.Hour), waiting: make(map[dispatch.Ticket]func(dispatch.PoolDecision))}
			p.pool.SetServers(members, 0)
			r.pools = append(r.pools, p)
		}
	}
	for range replayHosts {
		f := fleet.New(fleet.Options{Zone: "z", RandIntN: r.random.IntN, Target: func(string) *transport.Target { return nil }})
		f.Set(entries, 0)
		r.fleets = append(r.fleets, f)
		r.baseline = append(r.baseline, make(map[int]time.Duration))
	}
	return r
}

// toggleNoise makes a server slow for 0.4 s at a time, a fifth of the time.
func (r *replay) toggleNoise(s *replayServer) {
	const noisyFor = 400 * time.Millisecond
	period := noisyFor
	if !s.noisy {
		period = time.Duration(r.random.ExpFloat64() * 4 * float64(noisyFor))
	}
	r.after(period, func() {
		s.noisy = !s.noisy
		r.toggleNoise(s)
	})
}

// burst returns the factor of the load now: bursts of 3 s, one every 10 s.
func (r *replay) burst() float64 {
	if r.now%(10*time.Second) < 7*time.Second {
		return 1
	}
	return []float64{1.7, 2.4, 2.0}[int(r.now/(10*time.Second))%3]
}

// run plays all requests and returns the results by kind.
func (r *replay) run() []kindResult {
	for kind := range replayKinds {
		r.arrive(kind)
	}
	for len(r.events) > 0 && r.now < replayTime+10*time.Second {
		e := heap.Pop(&r.events).(event)
		r.now = e.at
		e.do()
	}
	return r.results
}

// arrive lets the callers of a kind send.
func (r *replay) arrive(kind int) {
	// Poisson arrivals at the highest rate, of which the present one takes a part.
	const highest = 2.4
	r.after(time.Duration(r.random.ExpFloat64()*float64(time.Second)/(replayKinds[kind].perSecond*r.load*highest)), func() {
		if r.now >= replayTime {
			return
		}
		r.arrive(kind)
		if r.random.Float64() > r.burst()/highest {
			return
		}
		r.nextCaller++
		service := 0
		if r.random.IntN(serviceServers[0]+serviceServers[1]) >= serviceServers[0] {
			service = 1
		}
		r.results[kind].sent++
		r.send(&replayCall{
			kind: kind, host: r.random.IntN(replayHosts), service: service, caller: r.nextCaller, started: r.now, impatient: r.random.IntN(3) == 0,
		})
	})
}

func (r *replay) deadline(c *replayCall) time.Duration {
	return c.started + deadlineFactor*replayKinds[c.kind].goal
}

// send makes one try of a caller.
func (r *replay) send(c *replayCall) {
	if r.pools == nil {
		r.sendAlone(c, nil)
		return
	}
	r.askPool(c, nil)
}

// refused ends a try: the caller comes back, or gives up.
func (r *replay) refused(c *replayCall, retryAfter time.Duration) {
	left := r.deadline(c) - r.now
	if c.retries == replayRetries || left <= 0 {
		r.results[c.kind].refused++
		return
	}
	c.retries++
	wait := min(retryAfter, left/3)
	if c.impatient {
		wait = 0
	}
	r.after(wait+messageDelay, func() { r.send(c) })
}

// answered ends a caller's request.
func (r *replay) answered(c *replayCall) {
	switch {
	case r.now <= c.started+replayKinds[c.kind].goal:
		r.results[c.kind].inGoal++
	case r.now <= r.deadline(c):
		r.results[c.kind].late++
	default:
		r.results[c.kind].refused++
	}
}

// sendAlone lets a host choose by itself, as front.sendKeyless does.
func (r *replay) sendAlone(c *replayCall, excluded []fleet.ID) {
	const retryAfter = 300 * time.Millisecond
	server, ok := r.fleets[c.host].Choose(fmt.Sprint(c.service), excluded, func(*fleet.Server) fleet.Share { return fleet.SoleShare }, r.now)
	if !ok || r.now >= r.deadline(c) || len(excluded) > 3 {
		r.refused(c, retryAfter)
		return
	}
	server.Begin(fleet.Allowance{}, fleet.SoleShare, r.now)
	started, notQueued := r.now, server.Occupancy(r.now) <= 1
	target := r.serverOf(c.service, string(server.Entry().ID))
	r.execute(target, c, func(executed bool, _ time.Duration) {
		if !executed {
			server.End(fleet.Shed, 0, r.now)
			r.sendAlone(c, append(excluded, server.Entry().ID))
			return
		}
		server.Report(fleet.LoadReport{Running: target.running, Waiting: len(target.queue)}, r.now)
		ratio := 0.0
		if notQueued {
			ratio = r.ratio(c, r.now-started)
		}
		server.End(fleet.Answered, ratio, r.now)
		r.answered(c)
	})
}

// ratio returns a latency divided by the host's baseline of the kind, to which it adds it.
func (r *replay) ratio(c *replayCall, latency time.Duration) float64 {
	const weight = 0.05
	baseline := cmp.Or(r.baseline[c.host][c.kind], latency)
	r.baseline[c.host][c.kind] = baseline + time.Duration(weight*float64(latency-baseline))
	return float64(latency) / float64(baseline)
}

// askPool asks the pool of a service for a slot.
func (r *replay) askPool(c *replayCall, excluded []string) {
	k := replayKinds[c.kind]
	p := r.pools[c.service]
	arrived := r.now
	r.after(messageDelay, func() {
		ticket, decisions := p.pool.Offer(dispatch.PoolItem{
			Item: dispatch.Item{
				Caller: c.caller, Priority: k.priority, Goal: arrived + k.goal, Deadline: r.deadline(c),
				Work: cmp.Or(r.baseline[c.host][c.kind], k.work),
			},
			Host: fmt.Sprint(c.host), Excluded: excluded,
		}, r.now)
		p.waiting[ticket] = func(d dispatch.PoolDecision) { r.after(messageDelay, func() { r.decided(c, d, excluded) }) }
		p.deliver(decisions)
	})
}

func (p *replayPool) deliver(decisions []dispatch.PoolDecision) {
	for _, d := range decisions {
		decided := p.waiting[d.Ticket]
		delete(p.waiting, d.Ticket)
		decided(d)
	}
}

// decided sends a request as its pool has decided.
func (r *replay) decided(c *replayCall, d dispatch.PoolDecision, excluded []string) {
	if !d.Admitted {
		r.refused(c, d.RetryAfter)
		return
	}
	sent := r.now
	r.execute(r.serverOf(c.service, d.Server), c, func(executed bool, _ time.Duration) {
		if !executed {
			r.finish(c, d.Ticket, dispatch.PoolFull, 0)
			r.askPool(c, append(excluded, d.Server))
			return
		}
		r.ratio(c, r.now-sent)
		r.finish(c, d.Ticket, dispatch.PoolAnswered, r.now-sent)
		r.answered(c)
	})
}

// finish sends a finished ticket, at most once in replayFinishInterval for each host.
func (r *replay) finish(c *replayCall, ticket dispatch.Ticket, end dispatch.PoolEnd, took time.Duration) {
	at := max(r.now, r.finishedAt[c.host]+replayFinishInterval)
	if r.finishedAt[c.host] > r.now {
		at = r.finishedAt[c.host]
	}
	r.finishedAt[c.host] = at
	p := r.pools[c.service]
	r.after(at-r.now+messageDelay, func() { p.deliver(p.pool.Finish(ticket, end, took, r.now)) })
}

func (r *replay) serverOf(service int, id string) *replayServer {
	for _, s := range r.servers[service] {
		if s.id == id {
			return s
		}
	}
	panic("unknown server " + id)
}

// execute sends a request to a server. done is called at the host when the answer has arrived.
func (r *replay) execute(s *replayServer, c *replayCall, done func(bool, time.Duration)) {
	reply := func(executed bool, took time.Duration) { r.after(messageDelay, func() { done(executed, took) }) }
	r.after(messageDelay, func() {
		s.most = max(s.most, s.running+len(s.queue)+1)
		switch {
		case s.running < replaySlots:
			r.start(s, &execution{c.kind, r.deadline(c), reply})
		case len(s.queue) < replayQueue:
			e := &execution{c.kind, r.deadline(c), reply}
			s.queue = append(s.queue, e)
			r.after(e.deadline-r.now, func() { r.closeQueued(s, e) })
		default:
			reply(false, 0)
		}
	})
}

// closeQueued takes a request out of the queue whose host has closed the connection.
func (r *replay) closeQueued(s *replayServer, e *execution) {
	if i := slices.Index(s.queue, e); i >= 0 {
		s.queue = slices.Delete(s.queue, i, i+1)
		e.done(false, 0)
	}
}

// start executes a request and then the next one of the queue. At its deadline the
// host closes the connection, and the server stops.
func (r *replay) start(s *replayServer, e *execution) {
	s.running++
	took := time.Duration(float64(replayKinds[e.kind].work) * s.speed * (0.7 + 0.6*r.random.Float64()))
	if s.noisy {
		took *= 3
	}
	took = min(took, max(e.deadline-r.now, 0))
	r.after(took, func() {
		s.running--
		e.done(true, took)
		for len(s.queue) > 0 && s.running < replaySlots {
			next := s.queue[0]
			s.queue = s.queue[1:]
			r.start(s, next)
		}
	})
}

// value is the worth of the answers in goal.
func value(results []kindResult) float64 {
	total := 0.0
	for kind, result := range results {
		total += replayKinds[kind].worth * float64(result.inGoal)
	}
	return total
}

func describe(results []kindResult) string {
	text := ""
	for kind, k := range results {
		part := func(n int) float64 { return 100 * float64(n) / float64(max(k.sent, 1)) }
		text += fmt.Sprintf("priority %d: sent %d, in goal %.1f%%, late %.1f%%, refused %.1f%%; ",
			replayKinds[kind].priority, k.sent, part(k.inGoal), part(k.late), part(k.refused))
	}
	return text
}

// TestPoolServesUrgentRequestsUnderBursts guards against a dispatcher that serves less than hosts that choose by
// themselves, and against the limits of the design page: a kind of request is not served less often, by over 5 in 100,
// than a less urgent one of the same service; none is served less than a quarter as often as all; at most 60 in 100 are
// refused; and a server has at most one request beyond its slots.
func TestPoolServesUrgentRequestsUnderBursts(t *testing.T) {
	for name, load := range map[string]float64{"usual load": 1, "overload": 1.8} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(2) {
				checkReplay(t, seed, load)
			}
		})
	}
}

func checkReplay(t *testing.T, seed uint64, load float64) {
	alone := newReplay(seed, load, false).run()
	pooled := newReplay(seed, load, true)
	results := pooled.run()
	t.Logf("seed %d, alone:  value %.0f; %s", seed, value(alone), describe(alone))
	t.Logf("seed %d, pooled: value %.0f; %s", seed, value(results), describe(results))
	assert.Check(t, value(results) > value(alone))
	all := kindResult{}
	for _, k := range results {
		all = kindResult{all.sent + k.sent, all.inGoal + k.inGoal, all.late + k.late, all.refused + k.refused}
	}
	assert.Check(t, all.served() >= 0.4)
	for kind := range results {
		assert.Check(t, results[kind].served() >= all.served()/4, "kind %d", kind)
		if kind > 0 {
			assert.Check(t, results[kind-1].served() >= results[kind].served()-0.05, "kind %d", kind)
		}
	}
	for _, servers := range pooled.servers {
		for _, s := range servers {
			assert.Check(t, s.most <= replaySlots+1, "%s has had %d requests", s.id, s.most)
		}
	}
}
