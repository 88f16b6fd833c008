package check

import (
	"fmt"
	"slices"
	"strconv"
	"time"

	"github.com/poplarcroft/poplarcroft/internal/outcome"
)

// Rule names a guarantee that the checker verifies.
type Rule string

// Rules of the checker.
const (
	// RuleTwoOwners is violated if two sessions execute requests for one key or
	// slice at the same time, if an execution under an older epoch has not ended
	// when the first one under a newer epoch starts, or if one epoch has two
	// owners.
	RuleTwoOwners Rule = "two owners"
	// RuleTwoIncarnations is violated if two incarnations of a server execute
	// under one session: a session must end with its server's process.
	RuleTwoIncarnations Rule = "two incarnations"
	// RuleNoSlice is violated if a keyed service executes a request that names no slice.
	RuleNoSlice Rule = "no slice"
	// RuleExecutedTwice is violated if a request whose method is not safe takes effect twice.
	RuleExecutedTwice Rule = "executed twice"
	// RuleLostWrite is violated if no server executed an acknowledged write.
	RuleLostWrite Rule = "lost acknowledged write"
	// RuleFalseNotRun is violated if a request takes effect although its caller
	// got the outcome "not-run".
	RuleFalseNotRun Rule = "false not-run"
	// RuleWrongAnswer is violated if an answer is incomplete or belongs to another request.
	RuleWrongAnswer Rule = "wrong answer"
)

// Violation is one violation of a rule. Detail names the executions or calls that show it.
type Violation struct {
	Rule   Rule
	Detail string
}

// String returns the violation as one line.
func (v Violation) String() string {
	return string(v.Rule) + ": " + v.Detail
}

// Run returns every violation in the records of the servers and callers. All
// times in the records must come from one machine's clock. Aborted executions
// are ignored, because they had no effect.
func Run(executions []Execution, calls []Call) []Violation {
	var effective []Execution
	for _, e := range executions {
		if !e.Aborted {
			effective = append(effective, e)
		}
	}
	var violations []Violation
	violations = append(violations, checkOwners(effective)...)
	violations = append(violations, checkIncarnations(effective)...)
	violations = append(violations, checkNoSlice(effective)...)
	violations = append(violations, checkExecutedTwice(effective)...)
	violations = append(violations, checkLostWrites(effective, calls)...)
	violations = append(violations, checkNotRun(effective, calls)...)
	violations = append(violations, checkAnswers(calls)...)
	return violations
}

// checkOwners finds slices and keys that had two owners.
func checkOwners(executions []Execution) []Violation {
	bySlice := groupKeyed(executions, func(e Execution) string {
		return groupKey(e.Service, strconv.Itoa(e.Slice))
	})
	byKey := groupKeyed(executions, func(e Execution) string {
		return groupKey(e.Service, e.Key)
	})
	var violations []Violation
	for _, group := range bySlice {
		violations = append(violations, checkOverlap(group)...)
		violations = append(violations, checkEpochOrder(group)...)
		violations = append(violations, checkEpochOwner(group)...)
	}
	for _, group := range byKey {
		violations = append(violations, checkOverlap(group)...)
	}
	return violations
}

// groupKeyed groups the executions that name a slice by keyOf, and drops the
// others. The groups are ordered by key, the executions of a group by start.
func groupKeyed(executions []Execution, keyOf func(Execution) string) [][]Execution {
	groups := make(map[string][]Execution)
	for _, e := range executions {
		if e.Slice != NoSlice {
			groups[keyOf(e)] = append(groups[keyOf(e)], e)
		}
	}
	keys := make([]string, 0, len(groups))
	for key := range groups {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	sorted := make([][]Execution, 0, len(groups))
	for _, key := range keys {
		members := groups[key]
		slices.SortFunc(members, func(a, b Execution) int { return int(a.StartNS - b.StartNS) })
		sorted = append(sorted, members)
	}
	return sorted
}

// checkOverlap finds executions of different owners that overlap in time. The
// executions must be ordered by start.
func checkOverlap(executions []Execution) []Violation {
	var violations []Violation
	// lastToEnd maps each owner to its execution with the latest end so far.
	lastToEnd := make(map[string]Execution)
	for _, e := range executions {
		for owner, other := range lastToEnd {
			if owner != e.owner() && other.EndNS > e.StartNS {
				violations = append(violations, Violation{RuleTwoOwners, fmt.Sprintf("%v overlaps %v", e, other)})
			}
		}
		if last, ok := lastToEnd[e.owner()]; !ok || e.EndNS > last.EndNS {
			lastToEnd[e.owner()] = e
		}
	}
	return violations
}

// checkEpochOrder finds executions under an older epoch that had not ended when
// the first execution under a newer epoch started. The executions must be
// ordered by start.
func checkEpochOrder(executions []Execution) []Violation {
	firstByEpoch := make(map[uint64]Execution)
	for _, e := range executions {
		if _, ok := firstByEpoch[e.Epoch]; !ok {
			firstByEpoch[e.Epoch] = e
		}
	}
	var violations []Violation
	for _, e := range executions {
		for epoch, newer := range firstByEpoch {
			if epoch > e.Epoch && newer.StartNS < e.EndNS {
				violations = append(violations, Violation{RuleTwoOwners, fmt.Sprintf("%v had not ended when the newer epoch started with %v", e, newer)})
			}
		}
	}
	return violations
}

// checkEpochOwner finds epochs with two owners. All executions must belong to one slice.
func checkEpochOwner(executions []Execution) []Violation {
	firstByEpoch := make(map[uint64]Execution)
	var violations []Violation
	for _, e := range executions {
		other, ok := firstByEpoch[e.Epoch]
		if !ok {
			firstByEpoch[e.Epoch] = e
			continue
		}
		if other.Session != e.Session || other.Server != e.Server {
			violations = append(violations, Violation{RuleTwoOwners, fmt.Sprintf("%v has the same epoch as %v, but another owner", e, other)})
		}
	}
	return violations
}

// checkIncarnations finds sessions under which two incarnations of a server executed.
func checkIncarnations(executions []Execution) []Violation {
	firstBySession := make(map[string]Execution)
	var violations []Violation
	for _, e := range executions {
		if e.Slice == NoSlice {
			continue
		}
		key := groupKey(e.Service, e.Server, strconv.FormatUint(e.Session, 10))
		other, ok := firstBySession[key]
		if !ok {
			firstBySession[key] = e
			continue
		}
		if other.Incarnation != e.Incarnation {
			violations = append(violations, Violation{RuleTwoIncarnations, fmt.Sprintf("%v and %v have the same session", other, e)})
		}
	}
	return violations
}

// checkNoSlice finds executions without a slice in keyed services. A service
// counts as keyed if any of its executions names a slice.
func checkNoSlice(executions []Execution) []Violation {
	keyed := make(map[string]bool)
	for _, e := range executions {
		if e.Slice != NoSlice {
			keyed[e.Service] = true
		}
	}
	var violations []Violation
	for _, e := range executions {
		if e.Slice == NoSlice && keyed[e.Service] {
			violations = append(violations, Violation{RuleNoSlice, e.String()})
		}
	}
	return violations
}

// checkExecutedTwice finds requests that took effect twice. Two executions
// belong to the same request if they share the service, the key and at least
// one of their IDs.
func checkExecutedTwice(executions []Execution) []Violation {
	firstByRequest := make(map[string]Execution)
	var violations []Violation
	for _, e := range executions {
		if Safe(e.Method) {
			continue
		}
		for _, id := range e.ids() {
			key := groupKey(e.Service, e.Key, id)
			if other, ok := firstByRequest[key]; ok && other != e {
				violations = append(violations, Violation{RuleExecutedTwice, fmt.Sprintf("%v and %v are the same request", other, e)})
				break
			}
			firstByRequest[key] = e
		}
	}
	return violations
}

// checkLostWrites finds acknowledged writes that no server executed.
func checkLostWrites(executions []Execution, calls []Call) []Violation {
	executed := executionsByRequest(executions)
	var violations []Violation
	for _, c := range calls {
		if Safe(c.Method) || !c.Acknowledged() {
			continue
		}
		if len(executed[requestKey(c)]) == 0 {
			violations = append(violations, Violation{RuleLostWrite, c.String()})
		}
	}
	return violations
}

// checkNotRun finds executions that can only have been caused by calls that were
// answered with "not-run". A call with another outcome, or without an answer, is
// a valid cause of every execution that starts after it.
func checkNotRun(executions []Execution, calls []Call) []Violation {
	callsByRequest := make(map[string][]Call)
	for _, c := range calls {
		callsByRequest[requestKey(c)] = append(callsByRequest[requestKey(c)], c)
	}
	var violations []Violation
	for _, e := range executions {
		for _, id := range e.ids() {
			key := groupKey(e.Service, e.Key, id)
			if rejection, ok := onlyRejections(callsByRequest[key], e); ok {
				violations = append(violations, Violation{RuleFalseNotRun, fmt.Sprintf("%v was executed: %v", rejection, e)})
			}
		}
	}
	return violations
}

// onlyRejections reports whether all calls that began before the execution had
// the outcome "not-run", and returns the last of them. It reports false if there
// is no such call.
func onlyRejections(calls []Call, e Execution) (Call, bool) {
	var rejection Call
	found := false
	for _, c := range calls {
		if c.StartNS > e.StartNS {
			continue
		}
		if c.Outcome != outcome.NotRun {
			return Call{}, false
		}
		rejection, found = c, true
	}
	return rejection, found
}

// checkAnswers finds answers that were incomplete or belong to another request.
func checkAnswers(calls []Call) []Violation {
	var violations []Violation
	for _, c := range calls {
		if c.Fault != "" {
			violations = append(violations, Violation{RuleWrongAnswer, c.String() + ": " + c.Fault})
		}
	}
	return violations
}

// executionsByRequest groups executions by service, key and each of their IDs.
// An execution with two IDs is in two groups.
func executionsByRequest(executions []Execution) map[string][]Execution {
	groups := make(map[string][]Execution)
	for _, e := range executions {
		for _, id := range e.ids() {
			key := groupKey(e.Service, e.Key, id)
			groups[key] = append(groups[key], e)
		}
	}
	return groups
}

func requestKey(c Call) string {
	return groupKey(c.Service, c.Key, c.ID)
}

// owner returns a key for the server, its incarnation and the session under
// which the request was executed.
func (e Execution) owner() string {
	return groupKey(e.Server, e.Incarnation, strconv.FormatUint(e.Session, 10))
}

// ids returns the request's distinct IDs that are not empty.
func (e Execution) ids() []string {
	var ids []string
	for _, id := range []string{e.IdempotencyKey, e.RequestID} {
		if id != "" && !slices.Contains(ids, id) {
			ids = append(ids, id)
		}
	}
	return ids
}

// String returns the execution as one line.
func (e Execution) String() string {
	return fmt.Sprintf("%s %s/%s id %s on %s session %d slice %d epoch %d from %s for %s",
		e.Method, e.Service, e.Key, e.IdempotencyKey, e.Server, e.Session, e.Slice, e.Epoch,
		time.Unix(0, e.StartNS).UTC().Format("15:04:05.000000"), time.Duration(e.EndNS-e.StartNS))
}

// String returns the call as one line.
func (c Call) String() string {
	return fmt.Sprintf("%s %s/%s id %s by host %s from %s for %s: status %d outcome %q reason %q %s",
		c.Method, c.Service, c.Key, c.ID, c.Host,
		time.Unix(0, c.StartNS).UTC().Format("15:04:05.000000"), time.Duration(c.EndNS-c.StartNS),
		c.Status, c.Outcome, c.Reason, c.Error)
}
