package experiment

import (
	"fmt"
	"io"
	"math/rand/v2"
	"text/tabwriter"
	"time"

	"github.com/poplarcroft/poplarcroft/internal/dispatch"
)

// Waiting emulates the requests for one server that owns keys, which wait at its lead. Arrivals and work are drawn from
// the seed and are the same for all policies. A refused request comes back once, when it was told to.

// WaitingPolicy decides which request gets the next place, and which is refused.
type WaitingPolicy string

const (
	// WaitingQueue is the product's own queue (package dispatch).
	WaitingQueue WaitingPolicy = "queue"
	// WaitingInOrder is a plain baseline: in the order of arrival, refused where waitingPlaces wait.
	WaitingInOrder WaitingPolicy = "in order"
)

// WaitingPolicies are all policies.
var WaitingPolicies = []WaitingPolicy{WaitingQueue, WaitingInOrder}

// WaitingLoad is a pattern of load; the factors hold from second 10 to 20.
type WaitingLoad struct {
	Name string
	// Rate multiplies the arrivals, Work the time at the server.
	Rate, Work float64
}

// WaitingLoads are the loads at which days were lost.
var WaitingLoads = []WaitingLoad{
	{"calm", 1, 1},
	{"burst", 1.7, 1},
	{"hot range", 2.5, 1},
	{"slow server", 1, 5},
}

// waitingKind is a kind of request, of Riga's meeting desk.
type waitingKind struct {
	name           string
	rate           float64
	work           time.Duration
	goal, deadline time.Duration
	priority       int
	worth, late    float64
}

var waitingKinds = []waitingKind{
	{name: "lookup", rate: 4, work: 160 * time.Millisecond, goal: 500 * time.Millisecond, deadline: 1200 * time.Millisecond, priority: 2, worth: 1, late: 0.5},
	{name: "booking", rate: 2, work: 210 * time.Millisecond, goal: 600 * time.Millisecond, deadline: 1500 * time.Millisecond, priority: 1, worth: 2, late: 1},
}

const (
	// waitingSlots is the number of requests that the server runs, waitingPlaces the bound of the baseline's queue.
	waitingSlots  = 2
	waitingPlaces = 8
	waitingTime   = 30 * time.Second
	// waitingReturn is when a refused request of the baseline comes back.
	waitingReturn = 300 * time.Millisecond
)

// WaitingResult is what became of the requests of a run.
type WaitingResult struct {
	Load   string        `json:"load"`
	Policy WaitingPolicy `json:"policy"`
	// Worth is the benefit in relation to what was owed; Served is that of each kind, as the share that was answered.
	Worth  float64            `json:"worth"`
	Served map[string]float64 `json:"served"`
	// HeldInVain is the mean time for which requests waited that were not answered in the end.
	HeldInVain time.Duration `json:"held_in_vain"`
}

// waitingRequest is one request of a caller.
type waitingRequest struct {
	kind    waitingKind
	work    time.Duration
	arrived time.Duration
	// offered is when it came to the lead last.
	offered  time.Duration
	returned bool
}

// waitingRun is one run.
type waitingRun struct {
	clock  clock
	load   WaitingLoad
	rng    *rand.Rand
	policy WaitingPolicy

	queue   *dispatch.Queue
	tickets map[dispatch.Ticket]*waitingRequest
	running int
	inOrder []*waitingRequest

	owed, earned float64
	asked        map[string]int
	served       map[string]int
	vain         time.Duration
	unserved     int
}

// RunWaiting emulates one load under one policy.
func RunWaiting(load WaitingLoad, policy WaitingPolicy, seed uint64) WaitingResult {
	w := &waitingRun{
		load: load, policy: policy, rng: rand.New(rand.NewPCG(seed, 1)),
		queue: dispatch.NewQueue(waitingSlots), tickets: make(map[dispatch.Ticket]*waitingRequest),
		asked: make(map[string]int), served: make(map[string]int),
	}
	for _, kind := range waitingKinds {
		w.arrivals(kind)
	}
	w.clock.run(waitingTime + 10*time.Second)
	result := WaitingResult{Load: load.Name, Policy: policy, Worth: w.earned / w.owed, Served: make(map[string]float64)}
	for name, asked := range w.asked {
		result.Served[name] = float64(w.served[name]) / float64(asked)
	}
	if w.unserved > 0 {
		result.HeldInVain = w.vain / time.Duration(w.unserved)
	}
	return result
}

// factor returns what the load makes of a figure at present.
func (w *waitingRun) factor(during float64) float64 {
	if w.clock.now >= 10*time.Second && w.clock.now < 20*time.Second {
		return during
	}
	return 1
}

// arrivals makes the requests of a kind.
func (w *waitingRun) arrivals(kind waitingKind) {
	w.clock.after(drawGap(w.rng, kind.rate*w.factor(w.load.Rate)), func() {
		if w.clock.now > waitingTime {
			return
		}
		work := drawWork(w.rng, kind.work)
		w.owed += kind.worth
		w.asked[kind.name]++
		w.offer(&waitingRequest{kind: kind, work: work, arrived: w.clock.now})
		w.arrivals(kind)
	})
}

// offer brings a request to the lead.
func (w *waitingRun) offer(r *waitingRequest) {
	r.offered = w.clock.now
	if w.policy == WaitingInOrder {
		w.offerInOrder(r)
		return
	}
	item := dispatch.Item{
		Priority: r.kind.priority, Goal: r.arrived + r.kind.goal, Deadline: r.arrived + r.kind.deadline, Work: r.kind.work,
	}
	ticket, decisions := w.queue.Offer(item, w.clock.now)
	w.tickets[ticket] = r
	w.decide(decisions)
}

// decide carries the queue's decisions out.
func (w *waitingRun) decide(decisions []dispatch.Decision) {
	for _, decision := range decisions {
		r := w.tickets[decision.Ticket]
		delete(w.tickets, decision.Ticket)
		if !decision.Admitted {
			w.refuse(r, decision.RetryAfter)
			continue
		}
		w.run(r, func(took time.Duration) { w.decide(w.queue.Finish(took, w.clock.now)) })
	}
}

func (w *waitingRun) offerInOrder(r *waitingRequest) {
	switch {
	case w.running < waitingSlots:
		w.startInOrder(r)
	case len(w.inOrder) < waitingPlaces:
		w.inOrder = append(w.inOrder, r)
	default:
		w.refuse(r, waitingReturn)
	}
}

func (w *waitingRun) startInOrder(r *waitingRequest) {
	w.running++
	w.run(r, func(time.Duration) {
		w.running--
		if len(w.inOrder) > 0 {
			next := w.inOrder[0]
			w.inOrder = w.inOrder[1:]
			w.startInOrder(next)
		}
	})
}

// run lets the server work on a request. One whose deadline has passed is rejected there at once.
func (w *waitingRun) run(r *waitingRequest, done func(took time.Duration)) {
	if w.clock.now-r.arrived > r.kind.deadline {
		w.lose(r)
		w.clock.after(0, func() { done(0) })
		return
	}
	took := time.Duration(float64(r.work) * w.factor(w.load.Work))
	w.clock.after(took, func() {
		switch since := w.clock.now - r.arrived; {
		case since <= r.kind.goal:
			w.earned += r.kind.worth
			w.served[r.kind.name]++
		case since <= r.kind.deadline:
			w.earned += r.kind.late
			w.served[r.kind.name]++
		default:
			w.lose(r)
		}
		done(took)
	})
}

// refuse tells a caller to come back, which it does once, within a third of its time.
func (w *waitingRun) refuse(r *waitingRequest, after time.Duration) {
	left := r.arrived + r.kind.deadline - w.clock.now
	if r.returned || after > left/3 {
		w.lose(r)
		return
	}
	r.returned = true
	w.clock.after(after, func() { w.offer(r) })
}

// lose notes a request without an answer, and how long it was held this time.
func (w *waitingRun) lose(r *waitingRequest) {
	w.unserved++
	w.vain += w.clock.now - r.offered
}

// CompareWaiting runs all loads under all policies and takes the mean of the given number of seeds.
func CompareWaiting(runs int) []WaitingResult {
	var results []WaitingResult
	for _, load := range WaitingLoads {
		for _, policy := range WaitingPolicies {
			mean := WaitingResult{Load: load.Name, Policy: policy, Served: make(map[string]float64)}
			for seed := range uint64(runs) {
				r := RunWaiting(load, policy, seed)
				mean.Worth += r.Worth / float64(runs)
				mean.HeldInVain += r.HeldInVain / time.Duration(runs)
				for name, share := range r.Served {
					mean.Served[name] += share / float64(runs)
				}
			}
			results = append(results, mean)
		}
	}
	return results
}

// PrintWaiting writes results as a table.
func PrintWaiting(w io.Writer, results []WaitingResult) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprint(table, "load\tpolicy\tworth\theld in vain")
	for _, kind := range waitingKinds {
		fmt.Fprintf(table, "\t%s served", kind.name)
	}
	fmt.Fprintln(table)
	for _, r := range results {
		fmt.Fprintf(table, "%s\t%s\t%.3f\t%v", r.Load, r.Policy, r.Worth, r.HeldInVain.Round(time.Millisecond))
		for _, kind := range waitingKinds {
			fmt.Fprintf(table, "\t%.3f", r.Served[kind.name])
		}
		fmt.Fprintln(table)
	}
	return table.Flush()
}
