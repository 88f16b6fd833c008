package concurrency

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/poplarcroft/poplarcroft/internal/assign"
	"github.com/poplarcroft/poplarcroft/internal/dispatch"
	"github.com/poplarcroft/poplarcroft/internal/keyrange"
)

// replayConfig describes a replay of requests for one keyed service in simulated time.
type replayConfig struct {
	seed    uint64
	servers int
	slots   int
	// factors are the lasting factors of the servers' work times, which repeat.
	factors []float64
	// spread is the spread of the logarithm of the work time.
	spread float64
	// congestion is the factor, less one, by which a request takes longer when all slots are in use. It rises from zero
	// at half of the slots, at every second server.
	congestion float64
	// noise and slow switch on that a fifth of the servers is 3 times slower for 0.4 s at a time, and that now and then a
	// server is 4 to 12 times slower for 5 s.
	noise, slow bool
	// load is the number of requests in relation to what the servers take together.
	load     float64
	duration time.Duration
	// policy chooses the width of a gate; nil stands for slots + 1.
	policy func(s *replayServer) widthPolicy
	// lasting says that keys are divided by the lasting speed.
	lasting bool
}

// replayResult says what became of the requests.
type replayResult struct {
	requests, inGoal, late, refused, moves int
}

func (r replayResult) share(n int) float64 { return 100 * float64(n) / float64(max(r.requests, 1)) }

func (r replayResult) String() string {
	return fmt.Sprintf("%6d requests: %5.2f%% in goal, %5.2f%% late, %5.2f%% refused, %3d moves",
		r.requests, r.share(r.inGoal), r.share(r.late), r.share(r.refused), r.moves)
}

func (r replayResult) add(o replayResult) replayResult {
	return replayResult{r.requests + o.requests, r.inGoal + o.inGoal, r.late + o.late, r.refused + o.refused, r.moves + o.moves}
}

// widthPolicy chooses the width of a gate from the ends of requests.
type widthPolicy interface {
	// ended records a request that took the given time; kindTime is the usual time of its kind.
	ended(took, kindTime, now time.Duration, running int, queued bool)
	width() int
}

// replayServer is a server with its gate and the estimates of its primary.
type replayServer struct {
	assign.Server
	slots      int
	factor     float64
	congestion float64
	noisyUntil time.Duration
	slowFactor float64
	slowUntil  time.Duration

	running int
	waiting []func()

	gate    *dispatch.Queue
	pending map[dispatch.Ticket]func(dispatch.Decision)
	policy  widthPolicy
	// slowness is the one of package fleet, with its time constant of 3 s.
	slowness   float64
	slownessAt time.Duration
	host       *replayHost
}

// replayHost is the primary of some servers.
type replayHost struct {
	baseline []float64
	learner  *Learner
}

const (
	replayServersPerHost = 4
	replayWork           = 50 * time.Millisecond
	replayRTT            = 2 * time.Millisecond
	replayTail           = 0.02
	replayTailFactor     = 5
)

// replayRoutes holds the factors of the work times of the routes. All have the same goal.
var replayRoutes = []float64{0.5, 1, 2}

const (
	replayGoal     = 400 * time.Millisecond
	replayDeadline = 1200 * time.Millisecond
)

type replayEvent struct {
	at  time.Duration
	seq int
	f   func()
}

type replayEvents []replayEvent

func (h replayEvents) Len() int { return len(h) }
func (h replayEvents) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].seq < h[j].seq
}
func (h replayEvents) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *replayEvents) Push(x any)   { *h = append(*h, x.(replayEvent)) }
func (h *replayEvents) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

// replay is the state of one replay.
type replay struct {
	replayConfig
	rng         *rand.Rand
	now         time.Duration
	events      replayEvents
	seq         int
	servers     []*replayServer
	byID        map[string]*replayServer
	plan        assign.Plan
	fence       assign.Fence
	rates       map[keyrange.Key]keyrange.CentiRate
	lastRates   map[keyrange.Key]keyrange.CentiRate
	lastingOf   map[string]float64
	result      replayResult
	onWidth     func(s *replayServer, width int)
	measureFrom time.Duration
}

func (r *replay) after(d time.Duration, f func()) {
	r.seq++
	heap.Push(&r.events, replayEvent{r.now + d, r.seq, f})
}

func (r *replay) exp(mean time.Duration) time.Duration {
	return time.Duration(r.rng.ExpFloat64() * float64(mean))
}

// newReplay prepares a replay.
func newReplay(c replayConfig) *replay {
	r := &replay{
		replayConfig: c, rng: rand.New(rand.NewPCG(c.seed, 7)), byID: make(map[string]*replayServer),
		rates: make(map[keyrange.Key]keyrange.CentiRate), lastingOf: make(map[string]float64), measureFrom: 30 * time.Second,
	}
	var host *replayHost
	for i := range c.servers {
		if i%replayServersPerHost == 0 {
			host = &replayHost{baseline: make([]float64, len(replayRoutes)), learner: &Learner{}}
		}
		s := &replayServer{
			Server: assign.Server{ID: fmt.Sprintf("s%02d", i), Zone: "zlin", Born: 1}, slots: c.slots, factor: c.factors[i%len(c.factors)],
			gate: dispatch.NewQueue(c.slots + 1), pending: make(map[dispatch.Ticket]func(dispatch.Decision)), slowness: 1, host: host, slowFactor: 1,
		}
		if i/len(c.factors)%2 == 1 {
			s.congestion = c.congestion
		}
		if c.policy != nil {
			s.policy = c.policy(s)
		}
		r.servers = append(r.servers, s)
		r.byID[s.ID] = s
		if c.noise {
			r.after(r.exp(1600*time.Millisecond), func() { r.makeNoisy(s) })
		}
	}
	if c.slow {
		r.after(12*time.Second, r.makeSlow)
	}
	r.after(0, r.reconcile)
	r.after(0, r.arrive)
	return r
}

func (r *replay) makeNoisy(s *replayServer) {
	s.noisyUntil = r.now + 400*time.Millisecond
	r.after(400*time.Millisecond+r.exp(1600*time.Millisecond), func() { r.makeNoisy(s) })
}

func (r *replay) makeSlow() {
	s := r.servers[r.rng.IntN(len(r.servers))]
	s.slowFactor, s.slowUntil = 4+8*r.rng.Float64(), r.now+5*time.Second
	r.after(12*time.Second, r.makeSlow)
}

// capacity returns the number of requests per second that the servers take together, with the noise and without slow times.
func (r *replay) capacity() float64 {
	routes := 0.0
	for _, factor := range replayRoutes {
		routes += factor / float64(len(replayRoutes))
	}
	mean := replayWork.Seconds() * math.Exp(r.spread*r.spread/2) * (1 + replayTail*(replayTailFactor-1)) * routes
	if r.noise {
		mean *= 1 + 2*0.2
	}
	total := 0.0
	for _, s := range r.servers {
		best := 0.0
		for n := 1; n <= s.slots; n++ {
			best = max(best, float64(n)/s.congestionAt(n))
		}
		total += best / (mean * s.factor)
	}
	return total
}

// congestionAt returns the factor by which requests take longer while n of them run.
func (s *replayServer) congestionAt(n int) float64 {
	half := float64(s.slots) / 2
	return 1 + s.congestion*max(0, float64(n)-half)/half
}

// run runs the replay and returns what became of the requests after measureFrom.
func (r *replay) run() replayResult {
	for len(r.events) > 0 {
		e := heap.Pop(&r.events).(replayEvent)
		if r.now = e.at; r.now > r.duration {
			break
		}
		e.f()
	}
	return r.result
}

func (r *replay) arrive() {
	r.after(r.exp(time.Duration(float64(time.Second)/(r.capacity()*r.load))), r.arrive)
	q := &replayRequest{replay: r, key: keyrange.Key(r.rng.IntN(keyrange.Count)), route: r.rng.IntN(len(replayRoutes)), arrived: r.now}
	r.rates[q.key] += 50
	if r.now >= r.measureFrom && r.now <= r.duration-replayDeadline {
		r.result.requests++
		q.counts = true
	}
	q.try()
}

// reconcile is the leader's step.
func (r *replay) reconcile() {
	r.after(600*time.Millisecond, r.reconcile)
	snapshot := assign.Snapshot{
		NewestByID: make(map[string]assign.Server), Proofs: make(map[keyrange.Key]assign.Proof), Rebalance: true,
	}
	if int(r.now/(600*time.Millisecond))%3 == 0 {
		r.lastRates, r.rates = r.rates, make(map[keyrange.Key]keyrange.CentiRate)
	}
	if r.now > 3*time.Second {
		snapshot.Load = keyrange.NewLoad([]map[keyrange.Key]keyrange.CentiRate{r.lastRates})
	}
	for _, s := range r.servers {
		snapshot.NewestByID[s.ID] = s.Server
		snapshot.Candidates = append(snapshot.Candidates, assign.Candidate{Server: s.Server, Capacity: float64(s.slots) / r.slownessOf(s)})
	}
	for range 3 {
		r.fence++
		next, _ := assign.Reconcile(r.plan.Services["s"], snapshot, r.fence)
		clear(snapshot.Proofs)
		for _, a := range next {
			if a.Phase == assign.Releasing {
				snapshot.Proofs[a.First] = assign.Proof{Fence: a.Fence}
				if a.Fence == r.fence {
					r.result.moves++
				}
			}
		}
		snapshot.Rebalance = false
		r.plan = assign.Plan{Services: map[string][]assign.Assignment{"s": next}}
	}
}

// slownessOf returns the slowness by which the leader divides keys.
func (r *replay) slownessOf(s *replayServer) float64 {
	passing := 1 + (s.slowness-1)*math.Exp(-float64(r.now-s.slownessAt)/float64(3*time.Second))
	slowness := passing
	if r.lasting {
		for _, speed := range s.host.learner.Speeds(r.now) {
			r.lastingOf[speed.Server.ID] = speed.Lasting
			if speed.Server.ID == s.ID {
				passing = speed.Passing
			}
		}
		if own, ok := r.lastingOf[s.ID]; ok {
			sum := 0.0
			for _, other := range r.servers {
				if lasting, ok := r.lastingOf[other.ID]; ok {
					sum += math.Log(lasting)
				}
			}
			slowness = own / math.Exp(sum/float64(len(r.lastingOf))) * passing
		}
	}
	return min(max(slowness, 0.5), 4)
}

// replayRequest is one request of a caller.
type replayRequest struct {
	*replay
	key      keyrange.Key
	route    int
	arrived  time.Duration
	attempts int
	counts   bool
}

func (q *replayRequest) deadline() time.Duration { return q.arrived + replayDeadline }

// try offers the request to the gate of its key's owner.
func (q *replayRequest) try() {
	a, ok := q.plan.Lookup("s", q.key)
	if !ok || a.Phase != assign.Held {
		q.refused(100 * time.Millisecond)
		return
	}
	s := q.byID[a.Server.ID]
	work := time.Duration(s.host.baseline[q.route] * s.slowness * float64(time.Second))
	ticket, decisions := s.gate.Offer(dispatch.Item{Goal: q.arrived + replayGoal, Deadline: q.deadline(), Work: work}, q.now)
	s.pending[ticket] = func(d dispatch.Decision) {
		if d.Admitted {
			q.send(s)
			return
		}
		q.refused(d.RetryAfter)
	}
	q.decide(s, decisions)
	q.after(max(q.deadline()-work-q.now, 0), func() {
		if s.gate.Cancel(ticket) {
			delete(s.pending, ticket)
			q.refused(100 * time.Millisecond)
		}
	})
}

// decide carries out decisions of a gate.
func (r *replay) decide(s *replayServer, decisions []dispatch.Decision) {
	for _, d := range decisions {
		f := s.pending[d.Ticket]
		delete(s.pending, d.Ticket)
		f(d)
	}
}

// refused lets the caller come back while its deadline allows.
func (q *replayRequest) refused(after time.Duration) {
	q.attempts++
	if q.attempts <= 3 && q.now+after < q.deadline() {
		q.after(after, q.try)
		return
	}
	if q.counts {
		q.result.refused++
	}
}

// send sends the request to the server, which runs it or keeps it until a slot is free.
func (q *replayRequest) send(s *replayServer) {
	began := q.now
	running, _ := s.gate.Len()
	notQueued := running <= s.slots
	learned := s.host.learner.Begin(Server{s.ID, 1}, s.slots, Kind{"s", fmt.Sprint(q.route), replayGoal}, q.now)
	start := func() { q.execute(s, began, notQueued, learned) }
	if s.running < s.slots {
		start()
		return
	}
	s.waiting = append(s.waiting, start)
}

// execute runs the request at the server.
func (q *replayRequest) execute(s *replayServer, began time.Duration, notQueued bool, learned *Request) {
	s.running++
	work := replayWork.Seconds() * replayRoutes[q.route] * math.Exp(q.rng.NormFloat64()*q.spread) * s.factor * s.congestionAt(s.running)
	if q.rng.Float64() < replayTail {
		work *= replayTailFactor
	}
	if q.now < s.noisyUntil {
		work *= 3
	}
	if q.now < s.slowUntil {
		work *= s.slowFactor
	}
	q.after(time.Duration(work*float64(time.Second))+replayRTT, func() {
		s.running--
		if len(s.waiting) > 0 {
			next := s.waiting[0]
			s.waiting = s.waiting[1:]
			next()
		}
		q.finish(s, q.now-began, notQueued, learned)
	})
}

// finish records the answer as the primary does.
func (q *replayRequest) finish(s *replayServer, took time.Duration, notQueued bool, learned *Request) {
	if q.counts {
		switch {
		case q.now <= q.arrived+replayGoal:
			q.result.inGoal++
		case q.now <= q.deadline():
			q.result.late++
		default:
			q.result.refused++
		}
	}
	baseline := &s.host.baseline[q.route]
	if notQueued {
		if *baseline == 0 {
			*baseline = took.Seconds()
		}
		ratio := min(took.Seconds() / *baseline, 12)
		*baseline += 0.05 * (took.Seconds() - *baseline)
		s.slowness = 1 + (s.slowness-1)*math.Exp(-float64(q.now-s.slownessAt)/float64(3*time.Second))
		s.slowness += 0.25 * (ratio - s.slowness)
		s.slownessAt = q.now
	}
	s.host.learner.End(learned, true, q.now)
	running, queued := s.gate.Len()
	q.decide(s, s.gate.Finish(took, q.now))
	if s.policy == nil {
		return
	}
	kindTime := time.Duration(s.host.baseline[q.route] * float64(time.Second))
	s.policy.ended(took, kindTime, q.now, running, queued > 0)
	width := s.policy.width()
	if q.onWidth != nil {
		q.onWidth(s, width)
	}
	q.decide(s, s.gate.SetSlots(width, q.now))
}

// learnedWidth is the policy of this package.
type learnedWidth struct {
	s   *replayServer
	now time.Duration
	q   bool
}

func (p *learnedWidth) ended(_, _, now time.Duration, _ int, queued bool) { p.now, p.q = now, queued }
func (p *learnedWidth) width() int {
	return p.s.host.learner.Width(Server{p.s.ID, 1}, p.s.slots, p.q, p.now)
}

// fixedWidth is a fixed width.
type fixedWidth int

func (p fixedWidth) ended(_, _, _ time.Duration, _ int, _ bool) {}
func (p fixedWidth) width() int                                 { return int(p) }

// gradientWidth follows the gradient of the latency: the ratio of its long-term to its short-term average.
type gradientWidth struct {
	slots       int
	long, short float64
	limit       float64
}

func (p *gradientWidth) ended(took, kindTime, _ time.Duration, running int, _ bool) {
	ratio := took.Seconds() / max(kindTime.Seconds(), 1e-3)
	if p.long == 0 {
		p.long, p.short, p.limit = ratio, ratio, float64(p.slots+1)
	}
	p.long += 0.002 * (ratio - p.long)
	p.short += 0.1 * (ratio - p.short)
	gradient := min(max(1.5*p.long/p.short, 0.5), 1)
	if float64(running) < p.limit/2 {
		return
	}
	p.limit += 0.2 * (p.limit*gradient + math.Sqrt(p.limit)/2 - p.limit)
	p.limit = min(max(p.limit, 1), float64(p.slots+1))
}
func (p *gradientWidth) width() int { return max(int(math.Round(p.limit)), 1) }

// vegasWidth estimates the queue at the server from the shortest latency.
type vegasWidth struct {
	slots  int
	limit  float64
	recent []float64
	lowest []float64
}

func (p *vegasWidth) ended(took, kindTime, _ time.Duration, running int, _ bool) {
	if p.limit == 0 {
		p.limit = float64(p.slots + 1)
	}
	p.recent = append(p.recent, took.Seconds()/max(kindTime.Seconds(), 1e-3))
	if len(p.recent) < 10 {
		return
	}
	m := median(p.recent)
	p.recent = p.recent[:0]
	p.lowest = append(p.lowest, m)
	if len(p.lowest) > 60 {
		p.lowest = p.lowest[1:]
	}
	queue := p.limit * (1 - slices.Min(p.lowest)/m)
	switch {
	case queue > 2.5:
		p.limit--
	case queue < 1.5 && float64(running) >= p.limit/2:
		p.limit++
	}
	p.limit = min(max(p.limit, 1), float64(p.slots+1))
}
func (p *vegasWidth) width() int {
	if p.limit == 0 {
		return p.slots + 1
	}
	return int(p.limit)
}

// lateWidth is additive increase and multiplicative decrease on answers that take several times as long as usual. The
// gate never sends so many requests that a server refuses one, so refusals are no signal.
type lateWidth struct {
	slots int
	limit float64
}

func (p *lateWidth) ended(took, kindTime, _ time.Duration, running int, _ bool) {
	if p.limit == 0 {
		p.limit = float64(p.slots + 1)
	}
	if took > 5*kindTime {
		p.limit *= 0.9
	} else if float64(running) >= p.limit/2 {
		p.limit += 0.1 / p.limit
	}
	p.limit = min(max(p.limit, 1), float64(p.slots+1))
}
func (p *lateWidth) width() int {
	if p.limit == 0 {
		return p.slots + 1
	}
	return max(int(math.Round(p.limit)), 1)
}

var replayPolicies = []struct {
	name    string
	policy  func(*replayServer) widthPolicy
	lasting bool
}{
	{"slots+1", func(s *replayServer) widthPolicy { return fixedWidth(s.slots + 1) }, false},
	{"slots", func(s *replayServer) widthPolicy { return fixedWidth(s.slots) }, false},
	{"slots+1, keys by speed", func(s *replayServer) widthPolicy { return fixedWidth(s.slots + 1) }, true},
	{"slots, keys by speed", func(s *replayServer) widthPolicy { return fixedWidth(s.slots) }, true},
	{"learned", func(s *replayServer) widthPolicy { return &learnedWidth{s: s} }, false},
	{"learned, keys by speed", func(s *replayServer) widthPolicy { return &learnedWidth{s: s} }, true},
	{"gradient, keys by speed", func(s *replayServer) widthPolicy { return &gradientWidth{slots: s.slots} }, true},
	{"vegas, keys by speed", func(s *replayServer) widthPolicy { return &vegasWidth{slots: s.slots} }, true},
	{"aimd, keys by speed", func(s *replayServer) widthPolicy { return &lateWidth{slots: s.slots} }, true},
}
