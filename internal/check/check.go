package check

import (
	"fmt"
	"slices"
	"strconv"
	"time"

	"github.com/poplarcroft/poplarcroft/internal/outcome"
)

// Rule names a promise that the checker checks.
type Rule string

// Rules of the checker.
const (
	// RuleTwoOwners is broken where two sessions execute for one key or slice
	// at a time, an older epoch goes on after a newer one has started, or one
	// epoch has two owners.
	RuleTwoOwners Rule = "two owners"
	// RuleTwoIncarnations is broken where two incarnations of a server execute
	// under one session: a session ends with its server's process.
	RuleTwoIncarnations Rule = "two incarnations"
	// RuleNoSlice is broken where a keyed service executes a request that names no slice.
	RuleNoSlice Rule = "no slice"
	// RuleTwice is broken where a request whose method is not safe takes effect twice.
	RuleTwice Rule = "executed twice"
	// RuleLostWrite is broken where an acknowledged write was never executed.
	RuleLostWrite Rule = "lost acknowledged write"
	// RuleFalseNotRun is broken where a request that was refused as not run takes effect.
	RuleFalseNotRun Rule = "false not-run"
	// RuleAnswer is broken where an answer is not whole or belongs to another request.
	RuleAnswer Rule = "wrong answer"
)

// Problem is one broken promise.
type Problem struct {
	Rule   Rule
	Detail string
}

// String returns the problem as one line.
func (p Problem) String() string {
	return string(p.Rule) + ": " + p.Detail
}

// Run returns every broken promise in what the servers and callers recorded.
// All records carry times of one machine's clock. Executions that took no
// effect break no promise.
func Run(executions []Execution, calls []Call) []Problem {
	var effective []Execution
	for _, e := range executions {
		if !e.Aborted {
			effective = append(effective, e)
		}
	}
	var problems []Problem
	problems = append(problems, checkOwners(effective)...)
	problems = append(problems, checkIncarnations(effective)...)
	problems = append(problems, checkNoSlice(effective)...)
	problems = append(problems, checkTwice(effective)...)
	problems = append(problems, checkLostWrites(effective, calls)...)
	problems = append(problems, checkNotRun(effective, calls)...)
	problems = append(problems, checkAnswers(calls)...)
	return problems
}

// checkOwners looks for two owners of one slice or one key.
func checkOwners(executions []Execution) []Problem {
	bySlice := group(executions, func(e Execution) string {
		return groupName(e.Service, strconv.Itoa(e.Slice))
	})
	byKey := group(executions, func(e Execution) string {
		return groupName(e.Service, e.Key)
	})
	var problems []Problem
	for _, list := range bySlice {
		problems = append(problems, checkOverlap(list)...)
		problems = append(problems, checkEpochOrder(list)...)
		problems = append(problems, checkEpochOwner(list)...)
	}
	for _, list := range byKey {
		problems = append(problems, checkOverlap(list)...)
	}
	return problems
}

// group divides keyed executions by name. The groups are ordered by name, their
// members by start.
func group(executions []Execution, name func(Execution) string) [][]Execution {
	groups := make(map[string][]Execution)
	for _, e := range executions {
		if e.Slice != NoSlice {
			groups[name(e)] = append(groups[name(e)], e)
		}
	}
	names := make([]string, 0, len(groups))
	for n := range groups {
		names = append(names, n)
	}
	slices.Sort(names)
	lists := make([][]Execution, 0, len(groups))
	for _, n := range names {
		list := groups[n]
		slices.SortFunc(list, func(a, b Execution) int { return int(a.StartNS - b.StartNS) })
		lists = append(lists, list)
	}
	return lists
}

// checkOverlap looks for executions of different owners at a time.
func checkOverlap(list []Execution) []Problem {
	var problems []Problem
	// latest holds, for each owner, its execution that ends last so far.
	latest := make(map[string]Execution)
	for _, e := range list {
		for owner, other := range latest {
			if owner != e.owner() && other.EndNS > e.StartNS {
				problems = append(problems, Problem{RuleTwoOwners, fmt.Sprintf("%v overlaps %v", e, other)})
			}
		}
		if last, ok := latest[e.owner()]; !ok || e.EndNS > last.EndNS {
			latest[e.owner()] = e
		}
	}
	return problems
}

// checkEpochOrder looks for an older epoch that goes on after a newer one has started.
func checkEpochOrder(list []Execution) []Problem {
	first := make(map[uint64]Execution)
	for _, e := range list {
		if _, ok := first[e.Epoch]; !ok {
			first[e.Epoch] = e
		}
	}
	var problems []Problem
	for _, e := range list {
		for epoch, newer := range first {
			if epoch > e.Epoch && newer.StartNS < e.EndNS {
				problems = append(problems, Problem{RuleTwoOwners, fmt.Sprintf("%v goes on after %v", e, newer)})
			}
		}
	}
	return problems
}

// checkEpochOwner looks for an epoch with two owners.
func checkEpochOwner(list []Execution) []Problem {
	first := make(map[uint64]Execution)
	var problems []Problem
	for _, e := range list {
		other, ok := first[e.Epoch]
		if !ok {
			first[e.Epoch] = e
			continue
		}
		if other.Session != e.Session || other.Server != e.Server {
			problems = append(problems, Problem{RuleTwoOwners, fmt.Sprintf("%v has the epoch of %v", e, other)})
		}
	}
	return problems
}

// checkIncarnations looks for sessions under which two incarnations of a server executed.
func checkIncarnations(executions []Execution) []Problem {
	first := make(map[string]Execution)
	var problems []Problem
	for _, e := range executions {
		if e.Slice == NoSlice {
			continue
		}
		name := groupName(e.Service, e.Server, strconv.FormatUint(e.Session, 10))
		other, ok := first[name]
		if !ok {
			first[name] = e
			continue
		}
		if other.Incarnation != e.Incarnation {
			problems = append(problems, Problem{RuleTwoIncarnations, fmt.Sprintf("%v and %v", other, e)})
		}
	}
	return problems
}

// checkNoSlice looks for requests without a slice in services that have slices.
func checkNoSlice(executions []Execution) []Problem {
	keyed := make(map[string]bool)
	for _, e := range executions {
		if e.Slice != NoSlice {
			keyed[e.Service] = true
		}
	}
	var problems []Problem
	for _, e := range executions {
		if e.Slice == NoSlice && keyed[e.Service] {
			problems = append(problems, Problem{RuleNoSlice, e.String()})
		}
	}
	return problems
}

// checkTwice looks for requests that took effect twice.
func checkTwice(executions []Execution) []Problem {
	first := make(map[string]Execution)
	var problems []Problem
	for _, e := range executions {
		if Safe(e.Method) {
			continue
		}
		for _, id := range e.ids() {
			name := groupName(e.Service, e.Key, id)
			if other, ok := first[name]; ok && other != e {
				problems = append(problems, Problem{RuleTwice, fmt.Sprintf("%v and %v", other, e)})
				break
			}
			first[name] = e
		}
	}
	return problems
}

// checkLostWrites looks for acknowledged writes that no server executed.
func checkLostWrites(executions []Execution, calls []Call) []Problem {
	executed := executionsByID(executions)
	var problems []Problem
	for _, c := range calls {
		if Safe(c.Method) || !c.Acknowledged() {
			continue
		}
		if len(executed[callName(c)]) == 0 {
			problems = append(problems, Problem{RuleLostWrite, c.String()})
		}
	}
	return problems
}

// checkNotRun looks for executions that nothing but calls refused as not run can
// have brought about. A call that got no answer, or another one, explains an
// execution that starts after it.
func checkNotRun(executions []Execution, calls []Call) []Problem {
	byID := make(map[string][]Call)
	for _, c := range calls {
		byID[callName(c)] = append(byID[callName(c)], c)
	}
	var problems []Problem
	for _, e := range executions {
		for _, id := range e.ids() {
			name := groupName(e.Service, e.Key, id)
			if refusal, ok := onlyRefusals(byID[name], e); ok {
				problems = append(problems, Problem{RuleFalseNotRun, fmt.Sprintf("%v by %v", refusal, e)})
			}
		}
	}
	return problems
}

// onlyRefusals reports whether all calls that began before the execution were
// refused as not run, and returns one of them.
func onlyRefusals(calls []Call, e Execution) (Call, bool) {
	var refusal Call
	found := false
	for _, c := range calls {
		if c.StartNS > e.StartNS {
			continue
		}
		if c.Outcome != outcome.NotRun {
			return Call{}, false
		}
		refusal, found = c, true
	}
	return refusal, found
}

// checkAnswers looks for answers that were not whole or not the caller's own.
func checkAnswers(calls []Call) []Problem {
	var problems []Problem
	for _, c := range calls {
		if c.Fault != "" {
			problems = append(problems, Problem{RuleAnswer, c.String() + ": " + c.Fault})
		}
	}
	return problems
}

// executionsByID groups executions by service, key and each of their IDs.
func executionsByID(executions []Execution) map[string][]Execution {
	groups := make(map[string][]Execution)
	for _, e := range executions {
		for _, id := range e.ids() {
			name := groupName(e.Service, e.Key, id)
			groups[name] = append(groups[name], e)
		}
	}
	return groups
}

func callName(c Call) string {
	return groupName(c.Service, c.Key, c.ID)
}

// owner identifies the session under which the request was executed.
func (e Execution) owner() string {
	return groupName(e.Server, e.Incarnation, strconv.FormatUint(e.Session, 10))
}

// ids returns the request's IDs without repeats.
func (e Execution) ids() []string {
	var ids []string
	for _, id := range []string{e.IdempotencyKey, e.RequestID} {
		if id != "" && !slices.Contains(ids, id) {
			ids = append(ids, id)
		}
	}
	return ids
}

// String describes the execution in one line.
func (e Execution) String() string {
	return fmt.Sprintf("%s %s/%s id %s on %s session %d slice %d epoch %d from %s for %s",
		e.Method, e.Service, e.Key, e.IdempotencyKey, e.Server, e.Session, e.Slice, e.Epoch,
		time.Unix(0, e.StartNS).UTC().Format("15:04:05.000000"), time.Duration(e.EndNS-e.StartNS))
}

// String describes the call in one line.
func (c Call) String() string {
	return fmt.Sprintf("%s %s/%s id %s by host %s from %s for %s: status %d outcome %q reason %q %s",
		c.Method, c.Service, c.Key, c.ID, c.Host,
		time.Unix(0, c.StartNS).UTC().Format("15:04:05.000000"), time.Duration(c.EndNS-c.StartNS),
		c.Status, c.Outcome, c.Reason, c.Error)
}
