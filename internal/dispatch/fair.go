package dispatch

import "maps"

// Fairness orders the waiting requests of client accounts within one priority, so that an account that asks for
// less than its part is not delayed by one that asks for more. It is start-time fair queueing (Goyal, Vin and
// Cheng, 1996) with a cost of one per request: an account's part is in proportion to its weight. The account of a request
// is any text; requests without an account form one account together.
//
// It holds no requests. A queue sorts its requests as if there were no accounts, calls BeginRanking and then Rank
// for each of them in this order, and sorts them by rank within each priority. It calls Admitted for each request that
// it admits. With a single account the ranks rise in the given order and change nothing.
//
// The zero value is ready to use. It is not safe for concurrent use.
type Fairness struct {
	levels map[int]*fairLevel
}

// FairWeight is the weight of an account; zero stands for the weight one.
type FairWeight float64

// cost returns the virtual time that one request of an account of this weight takes.
func (w FairWeight) cost() float64 {
	if w <= 0 {
		return 1
	}
	return 1 / float64(w)
}

// fairLevel is the state of one priority. Virtual time counts requests of an account of weight one.
type fairLevel struct {
	// now is the virtual time: the start of the request that was admitted last.
	now float64
	// finish holds the virtual time at which each account's last admitted request ends. An account that is missing
	// has not been ahead of now since.
	finish map[string]float64
	// ranked counts the requests of each account in the current ranking.
	ranked map[string]int
	// keptAtLast is the number of accounts that the last removal of outdated ones has left.
	keptAtLast int
}

// minOutdated is the number of accounts that may be added to a level before outdated ones are removed, so that the
// removal costs little per request.
const minOutdated = 32

// BeginRanking begins a new order of all waiting requests.
func (f *Fairness) BeginRanking() {
	for _, level := range f.levels {
		clear(level.ranked)
	}
}

// Rank returns the rank of the account's next request in the current ranking. Ranks compare only within one priority;
// the lowest one goes first.
func (f *Fairness) Rank(priority int, account string, weight FairWeight) float64 {
	level := f.level(priority)
	rank := level.start(account) + float64(level.ranked[account])*weight.cost()
	level.ranked[account]++
	return rank
}

// Admitted records that a request of the account has been admitted.
func (f *Fairness) Admitted(priority int, account string, weight FairWeight) {
	level := f.level(priority)
	start := level.start(account)
	// A request that was admitted out of order must not turn the virtual time back.
	level.now = max(level.now, start)
	level.finish[account] = start + weight.cost()
	level.removeOutdated()
}

// Idle records that no request is waiting or running. What was admitted before no longer counts.
func (f *Fairness) Idle() {
	clear(f.levels)
}

// level returns the state of a priority.
func (f *Fairness) level(priority int) *fairLevel {
	level := f.levels[priority]
	if level != nil {
		return level
	}
	if f.levels == nil {
		f.levels = make(map[int]*fairLevel)
	}
	level = &fairLevel{finish: make(map[string]float64), ranked: make(map[string]int)}
	f.levels[priority] = level
	return level
}

// start returns the virtual time at which the account's next request starts. An account that was idle gets no credit
// for that time.
func (l *fairLevel) start(account string) float64 {
	return max(l.now, l.finish[account])
}

// removeOutdated forgets the accounts that are not ahead of the virtual time.
func (l *fairLevel) removeOutdated() {
	if len(l.finish) < l.keptAtLast+minOutdated {
		return
	}
	maps.DeleteFunc(l.finish, func(_ string, finish float64) bool { return finish <= l.now })
	l.keptAtLast = len(l.finish)
}
