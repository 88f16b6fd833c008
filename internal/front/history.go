package front

// attemptHistory summarizes the attempts of one request so far.
type attemptHistory struct {
	// reachedServer says that an attempt has reached a server, so that the next one is a retry
	// and needs a token of the retry budget.
	reachedServer bool
	// executions counts the attempts in which the request may have been executed, and
	// mayHaveExecuted says that there was one.
	executions      int
	mayHaveExecuted bool
	// failure is the last failure that a server itself answered, or nil.
	failure *Answer
}

// record adds an attempt.
func (h *attemptHistory) record(a attempt) {
	h.reachedServer = h.reachedServer || a.outcome != attemptNotSent && a.outcome != attemptBlocked
	if a.outcome != attemptFailed && a.outcome != attemptLost {
		return
	}
	h.executions++
	h.mayHaveExecuted = true
	if a.outcome == attemptFailed {
		h.failure = a.answer
	}
}

// finalResult returns the result of a request without a successful answer: a failure that a
// server answered, if there is one, and otherwise this host's own result.
func (h *attemptHistory) finalResult(own Result) Result {
	if h.failure != nil {
		return unknownIfExecuted(Result{Kind: Done, Answer: h.failure}, h.executions > 1)
	}
	return unknownIfExecuted(own, h.mayHaveExecuted)
}
