package experiment

import (
	"fmt"
	"io"
	"math/rand/v2"
	"text/tabwriter"
	"time"

	"github.com/poplarcroft/poplarcroft/internal/dispatch"
)

// The waiting simulation models the requests for one server that owns keys, which are queued at the server's primary host.
// Arrivals are drawn from the seed independently of the policy, so that all policies get the same ones. A caller retries a
// rejected request once, after the time that the rejection names.

// WaitingPolicy decides which request gets the next free slot, and which one is rejected.
type WaitingPolicy string

const (
	// WaitingQueue is the queue of the router itself (package dispatch).
	WaitingQueue WaitingPolicy = "queue"
	// WaitingFIFO is a baseline: a first-in, first-out queue that rejects requests beyond waitingQueueLimit.
	WaitingFIFO WaitingPolicy = "in order"
)

// WaitingPolicies lists all policies, the one of the router first.
var WaitingPolicies = []WaitingPolicy{WaitingQueue, WaitingFIFO}

// WaitingLoad is a pattern of load. The factors apply from second 10 to 20.
type WaitingLoad struct {
	Name string
	// RateFactor multiplies the arrival rate, WorkFactor the service time.
	RateFactor, WorkFactor float64
}

// WaitingLoads lists a calm load, and loads that have cost users whole days of service.
var WaitingLoads = []WaitingLoad{
	{"calm", 1, 1},
	{"burst", 1.7, 1},
	{"hot range", 2.5, 1},
	{"slow server", 1, 5},
}

// waitingKind is a kind of request.
type waitingKind struct {
	name string
	// rate is in requests per second, work the mean service time.
	rate float64
	work time.Duration
	// An answer within goal has the value worth, a later one within deadline the value lateWorth, any other none.
	goal, deadline time.Duration
	// priority is the rank of the requests; lower values are more urgent.
	priority         int
	worth, lateWorth float64
}

// waitingKinds are the requests of the meeting desk in Riga.
var waitingKinds = []waitingKind{
	{name: "lookup", rate: 4, work: 160 * time.Millisecond, goal: 500 * time.Millisecond, deadline: 1200 * time.Millisecond, priority: 2, worth: 1, lateWorth: 0.5},
	{name: "booking", rate: 2, work: 210 * time.Millisecond, goal: 600 * time.Millisecond, deadline: 1500 * time.Millisecond, priority: 1, worth: 2, lateWorth: 1},
}

const (
	// waitingSlots is the number of requests that the server runs at a time.
	waitingSlots = 2
	// waitingQueueLimit is the length of the queue of WaitingFIFO.
	waitingQueueLimit = 8
	// waitingDuration is the time in which requests arrive.
	waitingDuration = 30 * time.Second
	// waitingRetryAfter is the time after which a request that WaitingFIFO rejected is retried.
	waitingRetryAfter = 300 * time.Millisecond
)

// WaitingResult summarizes one run, or the mean of several.
type WaitingResult struct {
	Load   string        `json:"load"`
	Policy WaitingPolicy `json:"policy"`
	// Worth is the value of all answers, divided by the value if every request had met its goal.
	Worth float64 `json:"worth"`
	// Served is the share of the requests of each kind that was answered within the deadline.
	Served map[string]float64 `json:"served"`
	// WastedWait is the mean time for which requests that were not answered in the end waited since their last arrival.
	WastedWait time.Duration `json:"held_in_vain"`
}

// waitingRequest is one request of a caller.
type waitingRequest struct {
	kind    waitingKind
	work    time.Duration
	arrived time.Duration
	// offered is when the request last reached the primary host.
	offered time.Duration
	// retried is set once the caller retried the request.
	retried bool
}

// waitingRun is the state of one run.
type waitingRun struct {
	clock  clock
	load   WaitingLoad
	rng    *rand.Rand
	policy WaitingPolicy

	// queue and tickets are the state of WaitingQueue, running and fifo that of WaitingFIFO.
	queue   *dispatch.Queue
	tickets map[dispatch.Ticket]*waitingRequest
	running int
	fifo    []*waitingRequest

	// maxWorth is the value of all requests if answered within their goal, earned the value of the answers.
	maxWorth, earned float64
	// arrived and served count requests by kind.
	arrived map[string]int
	served  map[string]int
	// wastedWait is the total wait of the unserved requests since they were last offered.
	wastedWait time.Duration
	unserved   int
}

// RunWaiting simulates one load under one policy.
func RunWaiting(load WaitingLoad, policy WaitingPolicy, seed uint64) WaitingResult {
	w := &waitingRun{
		load: load, policy: policy, rng: rand.New(rand.NewPCG(seed, 1)),
		queue: dispatch.NewQueue(waitingSlots), tickets: make(map[dispatch.Ticket]*waitingRequest),
		arrived: make(map[string]int), served: make(map[string]int),
	}
	for _, kind := range waitingKinds {
		w.scheduleArrival(kind)
	}
	w.clock.runUntil(waitingDuration + 10*time.Second)
	result := WaitingResult{Load: load.Name, Policy: policy, Worth: w.earned / w.maxWorth, Served: make(map[string]float64)}
	for name, arrived := range w.arrived {
		result.Served[name] = float64(w.served[name]) / float64(arrived)
	}
	if w.unserved > 0 {
		result.WastedWait = w.wastedWait / time.Duration(w.unserved)
	}
	return result
}

// currentFactor returns the given factor of the load while it applies, and 1 before and after.
func (w *waitingRun) currentFactor(factor float64) float64 {
	if w.clock.now >= 10*time.Second && w.clock.now < 20*time.Second {
		return factor
	}
	return 1
}

// scheduleArrival schedules the next request of a kind, which in turn schedules the one after it.
func (w *waitingRun) scheduleArrival(kind waitingKind) {
	w.clock.schedule(drawGap(w.rng, kind.rate*w.currentFactor(w.load.RateFactor)), func() {
		if w.clock.now > waitingDuration {
			return
		}
		work := drawWork(w.rng, kind.work)
		w.maxWorth += kind.worth
		w.arrived[kind.name]++
		w.offer(&waitingRequest{kind: kind, work: work, arrived: w.clock.now})
		w.scheduleArrival(kind)
	})
}

// offer hands a request to the queue of the primary host.
func (w *waitingRun) offer(r *waitingRequest) {
	r.offered = w.clock.now
	if w.policy == WaitingFIFO {
		w.offerFIFO(r)
		return
	}
	item := dispatch.Item{
		Priority: r.kind.priority, Goal: r.arrived + r.kind.goal, Deadline: r.arrived + r.kind.deadline, Work: r.kind.work,
	}
	ticket, decisions := w.queue.Offer(item, w.clock.now)
	w.tickets[ticket] = r
	w.apply(decisions)
}

// apply carries out decisions of the queue: it starts admitted requests and rejects the others.
func (w *waitingRun) apply(decisions []dispatch.Decision) {
	for _, decision := range decisions {
		r := w.tickets[decision.Ticket]
		delete(w.tickets, decision.Ticket)
		if !decision.Admitted {
			w.reject(r, decision.RetryAfter)
			continue
		}
		w.serve(r, func(took time.Duration) { w.apply(w.queue.Finish(took, w.clock.now)) })
	}
}

// offerFIFO starts, queues or rejects a request by WaitingFIFO.
func (w *waitingRun) offerFIFO(r *waitingRequest) {
	switch {
	case w.running < waitingSlots:
		w.startFIFO(r)
	case len(w.fifo) < waitingQueueLimit:
		w.fifo = append(w.fifo, r)
	default:
		w.reject(r, waitingRetryAfter)
	}
}

// startFIFO runs a request and starts the next one of the queue afterwards.
func (w *waitingRun) startFIFO(r *waitingRequest) {
	w.running++
	w.serve(r, func(time.Duration) {
		w.running--
		if len(w.fifo) > 0 {
			next := w.fifo[0]
			w.fifo = w.fifo[1:]
			w.startFIFO(next)
		}
	})
}

// serve runs a request at the server, which rejects it immediately if its deadline has passed. done is called with the
// service time when the slot is free again.
func (w *waitingRun) serve(r *waitingRequest, done func(serviceTime time.Duration)) {
	if w.clock.now-r.arrived > r.kind.deadline {
		w.countUnserved(r)
		w.clock.schedule(0, func() { done(0) })
		return
	}
	serviceTime := time.Duration(float64(r.work) * w.currentFactor(w.load.WorkFactor))
	w.clock.schedule(serviceTime, func() {
		switch latency := w.clock.now - r.arrived; {
		case latency <= r.kind.goal:
			w.earned += r.kind.worth
			w.served[r.kind.name]++
		case latency <= r.kind.deadline:
			w.earned += r.kind.lateWorth
			w.served[r.kind.name]++
		default:
			w.countUnserved(r)
		}
		done(serviceTime)
	})
}

// reject answers a request with a time after which its caller may retry it. The caller does so once, and only if that
// time is at most a third of what is left until the deadline.
func (w *waitingRun) reject(r *waitingRequest, retryAfter time.Duration) {
	left := r.arrived + r.kind.deadline - w.clock.now
	if r.retried || retryAfter > left/3 {
		w.countUnserved(r)
		return
	}
	r.retried = true
	w.clock.schedule(retryAfter, func() { w.offer(r) })
}

// countUnserved counts a request that ended without a timely answer, and its wait since it was last offered.
func (w *waitingRun) countUnserved(r *waitingRequest) {
	w.unserved++
	w.wastedWait += w.clock.now - r.offered
}

// CompareWaiting runs all loads under all policies and returns the means over the given number of seeds.
func CompareWaiting(runs int) []WaitingResult {
	var results []WaitingResult
	for _, load := range WaitingLoads {
		for _, policy := range WaitingPolicies {
			mean := WaitingResult{Load: load.Name, Policy: policy, Served: make(map[string]float64)}
			for seed := range uint64(runs) {
				r := RunWaiting(load, policy, seed)
				mean.Worth += r.Worth / float64(runs)
				mean.WastedWait += r.WastedWait / time.Duration(runs)
				for name, share := range r.Served {
					mean.Served[name] += share / float64(runs)
				}
			}
			results = append(results, mean)
		}
	}
	return results
}

// PrintWaiting writes the results as a table.
func PrintWaiting(w io.Writer, results []WaitingResult) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprint(table, "load\tpolicy\tworth\theld in vain")
	for _, kind := range waitingKinds {
		fmt.Fprintf(table, "\t%s served", kind.name)
	}
	fmt.Fprintln(table)
	for _, r := range results {
		fmt.Fprintf(table, "%s\t%s\t%.3f\t%v", r.Load, r.Policy, r.Worth, r.WastedWait.Round(time.Millisecond))
		for _, kind := range waitingKinds {
			fmt.Fprintf(table, "\t%.3f", r.Served[kind.name])
		}
		fmt.Fprintln(table)
	}
	return table.Flush()
}
