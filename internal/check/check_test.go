package check

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/poplarcroft/poplarcroft/internal/outcome"
)

// write returns an execution of a sign-off with the given ID.
func write(id string, session, epoch uint64, start, end int64) Execution {
	return Execution{
		Server: "s", Incarnation: "i", Service: "revize", Key: "k", Slice: 1, Epoch: epoch, Session: session,
		IdempotencyKey: id, RequestID: "r-" + id, Method: "POST", StartNS: start, EndNS: end,
	}
}

// with returns the execution after a change.
func (e Execution) with(change func(*Execution)) Execution {
	change(&e)
	return e
}

// call returns a call of a sign-off.
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
	fault := call("a", outcome.Done, 200, 5, 30)
	fault.Fault = "not whole"
	for name, test := range map[string]struct {
		executions []Execution
		calls      []Call
		want       []Rule
	}{
		"one owner":                 {[]Execution{write("a", 1, 1, 10, 20), write("b", 1, 1, 15, 25)}, nil, nil},
		"owners in turn":            {[]Execution{write("a", 1, 1, 10, 20), write("b", 2, 2, 20, 25)}, nil, nil},
		"overlap":                   {[]Execution{write("a", 2, 2, 10, 20), write("b", 1, 3, 15, 25)}, nil, []Rule{RuleTwoOwners, RuleTwoOwners, RuleTwoOwners}},
		"overlap behind a long one": {[]Execution{write("a", 1, 1, 10, 90), write("b", 1, 1, 20, 30), write("c", 1, 1, 40, 50).with(otherServer)}, nil, []Rule{RuleTwoOwners, RuleTwoOwners, RuleTwoOwners}},
		"overlap without effect":    {[]Execution{write("a", 1, 1, 10, 20).with(aborted), write("b", 2, 2, 15, 25)}, nil, nil},
		"overlap of a key":          {[]Execution{write("a", 1, 1, 10, 20), write("b", 2, 2, 15, 25).with(otherSlice)}, nil, []Rule{RuleTwoOwners}},
		"older epoch later":         {[]Execution{write("a", 2, 2, 10, 20), write("b", 1, 1, 30, 40)}, nil, []Rule{RuleTwoOwners}},
		"older epoch same session":  {[]Execution{write("a", 1, 2, 10, 20), write("b", 1, 1, 30, 40)}, nil, []Rule{RuleTwoOwners}},
		"two incarnations":          {[]Execution{write("a", 1, 1, 10, 20), write("b", 1, 1, 30, 40).with(otherIncarnation)}, nil, []Rule{RuleTwoIncarnations}},
		"restart in a new session":  {[]Execution{write("a", 1, 1, 10, 20), write("b", 2, 2, 30, 40).with(otherIncarnation)}, nil, nil},
		"reads by two owners":       {[]Execution{write("a", 1, 1, 10, 20).with(read), write("b", 2, 1, 30, 40).with(read)}, nil, []Rule{RuleTwoOwners}},
		"no slice":                  {[]Execution{write("a", 1, 1, 10, 20), write("b", 0, 0, 30, 40).with(noSlice)}, nil, []Rule{RuleNoSlice}},
		"not keyed":                 {[]Execution{write("a", 0, 0, 10, 20).with(noSlice), write("b", 0, 0, 15, 25).with(otherServer).with(noSlice)}, nil, nil},
		"twice":                     {[]Execution{write("a", 1, 1, 10, 20), write("a", 1, 1, 30, 40)}, nil, []Rule{RuleTwice}},
		"twice by the router's ID":  {[]Execution{write("a", 1, 1, 10, 20), write("a", 1, 1, 30, 40).with(otherID)}, nil, []Rule{RuleTwice}},
		"twice on another server":   {[]Execution{write("a", 1, 1, 10, 20), write("a", 2, 2, 30, 40).with(otherServer)}, nil, []Rule{RuleTwice}},
		"once aborted":              {[]Execution{write("a", 1, 1, 10, 20).with(aborted), write("a", 2, 2, 30, 40)}, nil, nil},
		"read twice":                {[]Execution{write("a", 1, 1, 10, 20).with(read), write("a", 1, 1, 30, 40).with(read)}, nil, nil},
		"same ID, other key":        {[]Execution{write("a", 1, 1, 10, 20), write("a", 1, 1, 30, 40).with(otherKey)}, nil, nil},
		"acknowledged":              {[]Execution{write("a", 1, 1, 10, 20)}, []Call{call("a", outcome.Done, 200, 5, 30)}, nil},
		"lost":                      {[]Execution{write("b", 1, 1, 10, 20)}, []Call{call("a", outcome.Done, 200, 5, 30)}, []Rule{RuleLostWrite}},
		"lost after an abort":       {[]Execution{write("a", 1, 1, 10, 20).with(aborted)}, []Call{call("a", outcome.Done, 200, 5, 30)}, []Rule{RuleLostWrite}},
		"lost to another key":       {[]Execution{write("a", 1, 1, 10, 20).with(otherKey)}, []Call{call("a", outcome.Done, 200, 5, 30)}, []Rule{RuleLostWrite}},
		"unknown":                   {nil, []Call{call("a", outcome.Unknown, 504, 5, 30), call("b", "", 0, 5, 30)}, nil},
		"true not-run":              {[]Execution{write("a", 1, 1, 10, 20).with(aborted)}, []Call{call("a", outcome.NotRun, 503, 5, 30)}, nil},
		"false not-run":             {[]Execution{write("a", 1, 1, 10, 20)}, []Call{call("a", outcome.NotRun, 503, 5, 30)}, []Rule{RuleFalseNotRun}},
		"not-run that runs later":   {[]Execution{write("a", 1, 1, 40, 50)}, []Call{call("a", outcome.NotRun, 503, 5, 30)}, []Rule{RuleFalseNotRun}},
		"not-run, then repeated":    {[]Execution{write("a", 1, 1, 40, 50)}, []Call{call("a", outcome.NotRun, 503, 5, 30), call("a", outcome.Done, 200, 35, 60)}, nil},
		"run before the repeat":     {[]Execution{write("a", 1, 1, 10, 20)}, []Call{call("a", outcome.NotRun, 503, 5, 30), call("a", outcome.Done, 200, 35, 60)}, []Rule{RuleFalseNotRun}},
		"wrong answer":              {[]Execution{write("a", 1, 1, 10, 20)}, []Call{fault}, []Rule{RuleAnswer}},
	} {
		t.Run(name, func(t *testing.T) {
			problems := Run(test.executions, test.calls)
			var got []Rule
			for _, p := range problems {
				got = append(got, p.Rule)
			}
			assert.DeepEqual(t, got, test.want)
		})
	}
}

func TestLongestOutage(t *testing.T) {
	done, refused := outcome.Done, outcome.NotRun
	for name, test := range map[string]struct {
		calls []Call
		want  time.Duration
	}{
		"none":        {nil, 0},
		"slow call":   {[]Call{call("a", done, 200, 0, 7), call("b", done, 200, 8, 10)}, 7},
		"refused":     {[]Call{call("a", done, 200, 0, 1), call("b", refused, 503, 10, 11), call("c", done, 200, 20, 25)}, 15},
		"to the end":  {[]Call{call("b", refused, 503, 10, 11), call("c", refused, 503, 20, 40)}, 30},
		"out of turn": {[]Call{call("c", done, 200, 20, 25), call("b", refused, 503, 10, 11)}, 15},
	} {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, LongestOutage(test.calls).Length, test.want)
		})
	}
}

func TestReadExecutionsLeavesOutACutLine(t *testing.T) {
	name := filepath.Join(t.TempDir(), "record")
	assert.NilError(t, os.WriteFile(name, []byte("{\"key\":\"k\"}\n{\"key\":"), 0o600))
	list, err := ReadExecutions(name)
	assert.NilError(t, err)
	assert.Equal(t, len(list), 1)
	assert.NilError(t, os.WriteFile(name, []byte("{\n"), 0o600))
	_, err = ReadExecutions(name)
	assert.ErrorContains(t, err, "line 1")
}
