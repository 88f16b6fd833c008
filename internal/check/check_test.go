package check

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/poplarcroft/poplarcroft/internal/outcome"
)

// execution returns an execution of a POST request with the given ID.
func execution(id string, session, epoch uint64, start, end int64) Execution {
	return Execution{
		Server: "s", Incarnation: "i", Service: "revize", Key: "k", Slice: 1, Epoch: epoch, Session: session,
		IdempotencyKey: id, RequestID: "r-" + id, Method: "POST", StartNS: start, EndNS: end,
	}
}

// with returns a copy of the execution with a change.
func (e Execution) with(change func(*Execution)) Execution {
	change(&e)
	return e
}

// call returns a call of the POST request with the given ID.
func call(id string, o outcome.Outcome, status int, start, end int64) Call {
	return Call{ID: id, Service: "revize", Key: "k", Method: "POST", Outcome: o, Status: status, StartNS: start, EndNS: end}
}

func TestRun(t *testing.T) {
	aborted := func(e *Execution) { e.Aborted = true }
	read := func(e *Execution) { e.Method = "GET" }
	noSlice := func(e *Execution) { e.Slice = NoSlice }
	otherSlice := func(e *Execution) { e.Slice = 2 }
	otherServer := func(e *Execution) { e.Server = "s2" }
	otherIncarnation := func(e *Execution) { e.Incarnation = "i2" }
	otherID := func(e *Execution) { e.IdempotencyKey = "other" }
	otherKey := func(e *Execution) { e.Key = "k2" }
	wrongAnswer := call("a", outcome.Done, 200, 5, 30)
	wrongAnswer.Fault = "incomplete"
	for name, test := range map[string]struct {
		executions []Execution
		calls      []Call
		want       []Rule
	}{
		"one owner":                 {[]Execution{execution("a", 1, 1, 10, 20), execution("b", 1, 1, 15, 25)}, nil, nil},
		"one owner after the other": {[]Execution{execution("a", 1, 1, 10, 20), execution("b", 2, 2, 20, 25)}, nil, nil},
		"overlap":                   {[]Execution{execution("a", 2, 2, 10, 20), execution("b", 1, 3, 15, 25)}, nil, []Rule{RuleTwoOwners, RuleTwoOwners, RuleTwoOwners}},
		"overlap with an earlier, longer execution": {[]Execution{execution("a", 1, 1, 10, 90), execution("b", 1, 1, 20, 30), execution("c", 1, 1, 40, 50).with(otherServer)}, nil, []Rule{RuleTwoOwners, RuleTwoOwners, RuleTwoOwners}},
		"overlap with an aborted execution":         {[]Execution{execution("a", 1, 1, 10, 20).with(aborted), execution("b", 2, 2, 15, 25)}, nil, nil},
		"overlap of a key":                          {[]Execution{execution("a", 1, 1, 10, 20), execution("b", 2, 2, 15, 25).with(otherSlice)}, nil, []Rule{RuleTwoOwners}},
		"older epoch after newer one":               {[]Execution{execution("a", 2, 2, 10, 20), execution("b", 1, 1, 30, 40)}, nil, []Rule{RuleTwoOwners}},
		"older epoch after newer one, same session": {[]Execution{execution("a", 1, 2, 10, 20), execution("b", 1, 1, 30, 40)}, nil, []Rule{RuleTwoOwners}},
		"two incarnations":                          {[]Execution{execution("a", 1, 1, 10, 20), execution("b", 1, 1, 30, 40).with(otherIncarnation)}, nil, []Rule{RuleTwoIncarnations}},
		"restart in a new session":                  {[]Execution{execution("a", 1, 1, 10, 20), execution("b", 2, 2, 30, 40).with(otherIncarnation)}, nil, nil},
		"reads by two owners":                       {[]Execution{execution("a", 1, 1, 10, 20).with(read), execution("b", 2, 1, 30, 40).with(read)}, nil, []Rule{RuleTwoOwners}},
		"no slice":                                  {[]Execution{execution("a", 1, 1, 10, 20), execution("b", 0, 0, 30, 40).with(noSlice)}, nil, []Rule{RuleNoSlice}},
		"not keyed":                                 {[]Execution{execution("a", 0, 0, 10, 20).with(noSlice), execution("b", 0, 0, 15, 25).with(otherServer).with(noSlice)}, nil, nil},
		"twice":                                     {[]Execution{execution("a", 1, 1, 10, 20), execution("a", 1, 1, 30, 40)}, nil, []Rule{RuleExecutedTwice}},
		"twice, recognized by the router's ID":      {[]Execution{execution("a", 1, 1, 10, 20), execution("a", 1, 1, 30, 40).with(otherID)}, nil, []Rule{RuleExecutedTwice}},
		"twice on another server":                   {[]Execution{execution("a", 1, 1, 10, 20), execution("a", 2, 2, 30, 40).with(otherServer)}, nil, []Rule{RuleExecutedTwice}},
		"once aborted":                              {[]Execution{execution("a", 1, 1, 10, 20).with(aborted), execution("a", 2, 2, 30, 40)}, nil, nil},
		"read twice":                                {[]Execution{execution("a", 1, 1, 10, 20).with(read), execution("a", 1, 1, 30, 40).with(read)}, nil, nil},
		"same ID, other key":                        {[]Execution{execution("a", 1, 1, 10, 20), execution("a", 1, 1, 30, 40).with(otherKey)}, nil, nil},
		"acknowledged":                              {[]Execution{execution("a", 1, 1, 10, 20)}, []Call{call("a", outcome.Done, 200, 5, 30)}, nil},
		"lost":                                      {[]Execution{execution("b", 1, 1, 10, 20)}, []Call{call("a", outcome.Done, 200, 5, 30)}, []Rule{RuleLostWrite}},
		"acknowledged but aborted":                  {[]Execution{execution("a", 1, 1, 10, 20).with(aborted)}, []Call{call("a", outcome.Done, 200, 5, 30)}, []Rule{RuleLostWrite}},
		"executed for another key only":             {[]Execution{execution("a", 1, 1, 10, 20).with(otherKey)}, []Call{call("a", outcome.Done, 200, 5, 30)}, []Rule{RuleLostWrite}},
		"unknown":                                   {nil, []Call{call("a", outcome.Unknown, 504, 5, 30), call("b", "", 0, 5, 30)}, nil},
		"true not-run":                              {[]Execution{execution("a", 1, 1, 10, 20).with(aborted)}, []Call{call("a", outcome.NotRun, 503, 5, 30)}, nil},
		"false not-run":                             {[]Execution{execution("a", 1, 1, 10, 20)}, []Call{call("a", outcome.NotRun, 503, 5, 30)}, []Rule{RuleFalseNotRun}},
		"executed after the not-run answer":         {[]Execution{execution("a", 1, 1, 40, 50)}, []Call{call("a", outcome.NotRun, 503, 5, 30)}, []Rule{RuleFalseNotRun}},
		"not-run, then retried":                     {[]Execution{execution("a", 1, 1, 40, 50)}, []Call{call("a", outcome.NotRun, 503, 5, 30), call("a", outcome.Done, 200, 35, 60)}, nil},
		"executed before the retry":                 {[]Execution{execution("a", 1, 1, 10, 20)}, []Call{call("a", outcome.NotRun, 503, 5, 30), call("a", outcome.Done, 200, 35, 60)}, []Rule{RuleFalseNotRun}},
		"wrong answer":                              {[]Execution{execution("a", 1, 1, 10, 20)}, []Call{wrongAnswer}, []Rule{RuleWrongAnswer}},
	} {
		t.Run(name, func(t *testing.T) {
			violations := Run(test.executions, test.calls)
			var got []Rule
			for _, v := range violations {
				got = append(got, v.Rule)
			}
			assert.DeepEqual(t, got, test.want)
		})
	}
}

func TestLongestOutage(t *testing.T) {
	done, notRun := outcome.Done, outcome.NotRun
	for name, test := range map[string]struct {
		calls []Call
		want  time.Duration
	}{
		"none":                       {nil, 0},
		"slow call":                  {[]Call{call("a", done, 200, 0, 7), call("b", done, 200, 8, 10)}, 7},
		"refused":                    {[]Call{call("a", done, 200, 0, 1), call("b", notRun, 503, 10, 11), call("c", done, 200, 20, 25)}, 15},
		"until the last call":        {[]Call{call("b", notRun, 503, 10, 11), call("c", notRun, 503, 20, 40)}, 30},
		"calls not ordered by start": {[]Call{call("c", done, 200, 20, 25), call("b", notRun, 503, 10, 11)}, 15},
	} {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, LongestOutage(test.calls).Length, test.want)
		})
	}
}

func TestReadExecutionsIgnoresIncompleteLastLine(t *testing.T) {
	name := filepath.Join(t.TempDir(), "record")
	assert.NilError(t, os.WriteFile(name, []byte("{\"key\":\"k\"}\n{\"key\":"), 0o600))
	list, err := ReadExecutions(name)
	assert.NilError(t, err)
	assert.Equal(t, len(list), 1)
	assert.NilError(t, os.WriteFile(name, []byte("{\n"), 0o600))
	_, err = ReadExecutions(name)
	assert.ErrorContains(t, err, "line 1")
}
