package front

// course is what the tries of one request have shown so far.
type course struct {
	// arrived says that a try has reached a server, so that another one is a repeat.
	arrived bool
	// runs counts the tries in which the request may have run.
	runs       int
	mayHaveRun bool
	// failure is the last failure that a server has answered.
	failure *Answer
}

// note takes a try into account.
func (c *course) note(a attempt) {
	c.arrived = c.arrived || a.outcome != tryNotSent
	if a.outcome != tryFailed && a.outcome != tryLost {
		return
	}
	c.runs++
	c.mayHaveRun = true
	if a.outcome == tryFailed {
		c.failure = a.answer
	}
}

// end is the end of the request where there is no success: a failure that a server has
// answered goes before this host's own.
func (c *course) end(own Result) Result {
	if c.failure != nil {
		return Result{Kind: Done, Answer: c.failure}
	}
	return withRun(own, c.mayHaveRun)
}
