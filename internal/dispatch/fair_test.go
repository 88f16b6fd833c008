package dispatch

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// arrival is a request of a simulated account.
type arrival struct {
	at       time.Duration
	account  string
	priority int
	weight   FairWeight
}

// arrivals returns the requests of an account at the given rate: independent of each other, with the bursts that this
// brings, or one at a random time of each interval if steady is set.
func arrivals(rng *rand.Rand, account string, perSecond float64, steady bool, length time.Duration) []arrival {
	var out []arrival
	for at, i := 0.0, 0; ; i++ {
		at += rng.ExpFloat64() / perSecond
		if steady {
			at = (float64(i) + rng.Float64()) / perSecond
		}
		if at >= length.Seconds() {
			return out
		}
		out = append(out, arrival{at: time.Duration(at * float64(time.Second)), account: account, priority: 1})
	}
}

// simulation runs a Queue in simulated time. Each request takes work at the server.
type simulation struct {
	queue   *Queue
	work    time.Duration
	ends    []time.Duration
	account map[Ticket]string
	served  map[string]int
}

const (
	simulatedSlots    = 4
	simulatedWork     = 100 * ms
	simulatedCapacity = 40.0
	// simulatedSeeds is low since the race detector makes a simulated minute take a second.
	simulatedSeeds = 5
)

// simulate returns the numbers of requests that were offered and served, by account. Requests are offered without
// their account if blind is set.
func simulate(requests []arrival, blind bool) (offered, served map[string]int) {
	slices.SortStableFunc(requests, func(a, b arrival) int { return int(a.at - b.at) })
	s := &simulation{queue: NewQueue(simulatedSlots), work: simulatedWork, account: make(map[Ticket]string), served: make(map[string]int)}
	offered = make(map[string]int)
	for _, r := range requests {
		s.runUntil(r.at)
		offered[r.account]++
		shown := r.account
		if blind {
			shown = ""
		}
		ticket, decisions := s.queue.Offer(Item{
			Account: shown, Weight: r.weight, Priority: r.priority, Goal: r.at + 500*ms, Deadline: r.at + 1500*ms, Work: s.work,
		}, r.at)
		s.account[ticket] = r.account
		s.apply(decisions, r.at)
	}
	s.runUntil(time.Hour)
	return offered, s.served
}

// runUntil ends the requests at the server that are complete by the given time.
func (s *simulation) runUntil(now time.Duration) {
	for len(s.ends) > 0 && s.ends[0] <= now {
		end := s.ends[0]
		s.ends = s.ends[1:]
		s.apply(s.queue.Finish(s.work, end), end)
	}
}

func (s *simulation) apply(decisions []Decision, now time.Duration) {
	for _, d := range decisions {
		if d.Admitted {
			s.served[s.account[d.Ticket]]++
			s.ends = append(s.ends, now+s.work)
		}
	}
}

// accountsAt returns the requests of ten accounts in a minute that together ask for the given part of the server's
// capacity. The rate of the first one, "a0", is multiplied by flood.
func accountsAt(seed uint64, load, flood float64, steady bool) []arrival {
	rng := rand.New(rand.NewPCG(seed, 1))
	const accounts = 10
	var requests []arrival
	for i := range accounts {
		rate := load * simulatedCapacity / accounts
		if i == 0 {
			rate *= flood
		}
		requests = append(requests, arrivals(rand.New(rand.NewPCG(rng.Uint64(), 2)), fmt.Sprint("a", i), rate, steady, time.Minute)...)
	}
	return requests
}

// floodFactor is by how much an account may exceed its usual rate: the design page's bound.
const floodFactor = 7.5

// servedPart returns the part of the requests that were served, of each account and of all together.
func servedPart(offered, served map[string]int) (byAccount map[string]float64, all float64) {
	byAccount = make(map[string]float64)
	sumOffered, sumServed := 0, 0
	for account, n := range offered {
		byAccount[account] = float64(served[account]) / float64(n)
		sumOffered += n
		sumServed += served[account]
	}
	return byAccount, float64(sumServed) / float64(sumOffered)
}

// TestFloodOfOneAccountCostsTheOthersNothing guards against the starvation of accounts that stay below their part: one
// account sends 7.5 times its usual rate to a server, the others send steadily less than a tenth of what the server
// can do each. They are served at least as often as without the flood.
func TestFloodOfOneAccountCostsTheOthersNothing(t *testing.T) {
	for seed := range uint64(simulatedSeeds) {
		usual, _ := servedPart(simulate(accountsAt(seed, 0.85, 1, true), false))
		flooded, _ := servedPart(simulate(accountsAt(seed, 0.85, floodFactor, true), false))
		for account, part := range flooded {
			if account != "a0" {
				assert.Assert(t, part >= usual[account], "seed %d: %s served %.3f, without the flood %.3f", seed, account, part, usual[account])
			}
		}
	}
}

// TestNoAccountStarves guards against the same with bursts of each account, below the capacity and at the height of a burst
// of all callers (2.4 times the usual): no account is served less than a quarter as often as all requests.
func TestNoAccountStarves(t *testing.T) {
	for _, load := range []float64{0.85, 2.4 * 0.85} {
		for seed := range uint64(simulatedSeeds) {
			flooded, all := servedPart(simulate(accountsAt(seed, load, floodFactor*0.85/load, false), false))
			for account, part := range flooded {
				assert.Assert(t, part >= all/4, "load %.2f, seed %d: %s served %.3f, all %.3f", load, seed, account, part, all)
			}
		}
	}
}

// TestLargeAccountNeedsItsWeight guards against an account with a large part of the usual demand that starves in a burst of
// all callers although it stays below its quota. With weights in proportion to the usual rates, no account is served less
// than a quarter as often as all requests.
func TestLargeAccountNeedsItsWeight(t *testing.T) {
	for _, part := range []float64{0.2, 0.3, 0.5, 0.7} {
		for _, load := range []float64{1.7, 2.4} {
			rng := rand.New(rand.NewPCG(3, 1))
			requests := weighted(arrivals(rng, "large", load*simulatedCapacity*part, false, time.Minute), FairWeight(part*20))
			for i := range 20 {
				small := arrivals(rng, fmt.Sprint("s", i), load*simulatedCapacity*(1-part)/20, false, time.Minute)
				requests = append(requests, weighted(small, FairWeight(1-part))...)
			}
			byAccount, all := servedPart(simulate(requests, false))
			for account, served := range byAccount {
				assert.Assert(t, served >= all/4, "large account %.1f of the demand, load %.1f: %s served %.3f, all %.3f", part, load, account, served, all)
			}
		}
	}
}

// weighted gives requests a weight.
func weighted(requests []arrival, weight FairWeight) []arrival {
	for i := range requests {
		requests[i].weight = weight
	}
	return requests
}

// TestFloodIsNoticedWithoutAccounts checks the tests above: if the queue does not know the accounts, the flood costs the
// others answers.
func TestFloodIsNoticedWithoutAccounts(t *testing.T) {
	usual, _ := servedPart(simulate(accountsAt(1, 0.85, 1, true), true))
	flooded, _ := servedPart(simulate(accountsAt(1, 0.85, floodFactor, true), true))
	assert.Assert(t, flooded["a1"] < 0.9*usual["a1"], "%.3f, without the flood %.3f", flooded["a1"], usual["a1"])
}

// admittedOrder returns the accounts of the requests that wait behind one running request, in the order of admission.
func admittedOrder(now time.Duration, waitingItems ...Item) []string {
	q := NewQueue(1)
	q.Offer(item(1, time.Hour, time.Hour), now)
	accounts := make(map[Ticket]string)
	for _, it := range waitingItems {
		ticket, _ := q.Offer(it, now)
		accounts[ticket] = it.Account
	}
	var order []string
	for range waitingItems {
		admitted, _ := split(q.Finish(0, now))
		for _, ticket := range admitted {
			order = append(order, accounts[ticket])
		}
	}
	return order
}

func itemOf(account string, priority int, goal time.Duration) Item {
	it := item(priority, goal, time.Hour)
	it.Account = account
	return it
}

// TestAccountsTakeTurnsWithinAPriority guards against accounts that change the order of priorities, and against an
// account that gets all turns because its goals are nearer.
func TestAccountsTakeTurnsWithinAPriority(t *testing.T) {
	order := admittedOrder(0,
		itemOf("a", 2, 300*ms), itemOf("a", 2, 310*ms), itemOf("a", 2, 320*ms),
		itemOf("b", 2, 900*ms), itemOf("b", 2, 910*ms), itemOf("c", 1, 990*ms),
	)
	assert.DeepEqual(t, order, []string{"c", "a", "b", "a", "b", "a"})
}

// TestOneAccountKeepsTheOrderOfGoals guards against a changed order where there is one account or none.
func TestOneAccountKeepsTheOrderOfGoals(t *testing.T) {
	for _, account := range []string{"", "a"} {
		rng := rand.New(rand.NewPCG(7, 7))
		q := NewQueue(1)
		q.Offer(itemOf(account, 1, time.Hour), 0)
		goals := make(map[Ticket]time.Duration)
		for range 50 {
			goal := time.Duration(200+rng.IntN(1000)) * ms
			ticket, _ := q.Offer(itemOf(account, 1, goal), 0)
			goals[ticket] = goal
		}
		last := time.Duration(0)
		for range 50 {
			admitted, _ := split(q.Finish(0, 0))
			assert.Equal(t, len(admitted), 1)
			assert.Assert(t, goals[admitted[0]] >= last)
			last = goals[admitted[0]]
		}
	}
}

// TestIdleAccountGetsNoCredit guards against an account that is quiet for a while and then keeps all others waiting.
func TestIdleAccountGetsNoCredit(t *testing.T) {
	var f Fairness
	for range 100 {
		f.Admitted(1, "busy", 0)
	}
	f.BeginRanking()
	quiet := []float64{f.Rank(1, "quiet", 0), f.Rank(1, "quiet", 0), f.Rank(1, "quiet", 0)}
	busy := []float64{f.Rank(1, "busy", 0), f.Rank(1, "busy", 0)}
	assert.DeepEqual(t, quiet, []float64{99, 100, 101})
	assert.DeepEqual(t, busy, []float64{100, 101})
}

// TestAccountsThatAreGoneAreForgotten guards against memory that grows with the number of accounts ever seen.
func TestAccountsThatAreGoneAreForgotten(t *testing.T) {
	var f Fairness
	for i := range 10_000 {
		f.Admitted(1, fmt.Sprint(i), 0)
		f.Admitted(1, "steady", 0)
	}
	assert.Assert(t, len(f.levels[1].finish) <= 2*minOutdated, "%d", len(f.levels[1].finish))
}
