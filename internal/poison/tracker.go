package poison

import (
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/poplarcroft/poplarcroft/internal/outcome"
)

const (
	// unansweredWindow is how long a request that got no answer still counts as in
	// flight when its server is found crashed. A crash is noticed later than the broken
	// connections that it causes.
	unansweredWindow = 10 * time.Second
	// maxUnanswered is the maximum number of unanswered requests stored per server.
	maxUnanswered = 64
	// maxTrials is the maximum number of suspects that run, or wait to run, alone
	// on one server.
	maxTrials = 8
	// trialRetryAfter is the retry-after time of a suspect that cannot run now.
	trialRetryAfter = 500 * time.Millisecond
)

// Result is how an attempt ended.
type Result int

// Results of attempts.
const (
	// Finished means that the server executed the request and answered. It clears the request.
	Finished Result = iota + 1
	// Rejected means that the request was not sent, or that the server rejected it
	// without executing it.
	Rejected
	// Broken means that the connection broke before the answer was complete.
	Broken
	// TimedOut means that the host stopped waiting. The server may still execute the request.
	TimedOut
	// Failed means that the server answered with a failure. It may not have begun to execute the
	// request, so it neither clears the request nor makes it suspect.
	Failed
)

// Decision is the decision on an attempt that is about to begin.
type Decision struct {
	// Allowed means that the request may be sent. The caller must report its end.
	Allowed bool
	// Alone means that nothing else may be in flight on the server during the attempt.
	Alone bool
	// Wait means that the same request is running alone now. The caller asks again
	// after that run, whose result decides.
	Wait bool
	// Refusal is the final answer if the request is neither allowed nor has to wait.
	Refusal outcome.Refusal
	// Crashes is the number of crashes that count against the request.
	Crashes int
}

// trackedRequest is an attempt that is about to be sent or in flight.
type trackedRequest struct {
	fingerprint Fingerprint
	// trial means that the request is a suspect and must run alone.
	trial bool
	// sharedServer means that other hosts may send to the server at the same time.
	sharedServer bool
	// crashCounted means that a crash of the server was recorded while the request was
	// in flight, so that neither its end nor a later crash must be counted as well.
	crashCounted bool
	// sentAt and endedAt are the logical times at which the request was sent and ended;
	// zero means that it has not.
	sentAt  uint64
	endedAt uint64
}

// overlaps reports whether the two requests were in flight at the same time.
func (r trackedRequest) overlaps(other trackedRequest) bool {
	startedBefore := r.endedAt == 0 || other.sentAt < r.endedAt
	endedAfter := other.endedAt == 0 || r.sentAt < other.endedAt
	return startedBefore && endedAfter
}

// unansweredRequest is a request that ended without an answer on a server of which it is
// not known yet whether it has crashed.
type unansweredRequest struct {
	trackedRequest
	// at is when the request ended.
	at time.Time
	// blind is the time since then in which no crash could be learned of, up to the last outage's end.
	blind time.Duration
	// undecided means that the connection broke and nothing has been heard since at the server's
	// address. Otherwise the host stopped waiting, or the address accepts connections again.
	undecided bool
}

// recordedCrashes is the number of crashes recorded under one incarnation, and the time of the last one.
type recordedCrashes struct {
	count int
	at    time.Time
}

// Tracker follows the requests in flight of one host and turns crashes of servers into
// evidence. It is not safe for concurrent use.
type Tracker struct {
	store *EvidenceStore
	// tracked holds the attempts that have begun and not ended, by number.
	tracked map[Server]map[uint64]trackedRequest
	// unanswered holds the unanswered requests of each server, oldest first.
	unanswered map[Server][]unansweredRequest
	// activeTrials holds the suspects that run, or wait to run, alone.
	activeTrials map[Fingerprint]bool
	// trialsPerServer counts them by server address.
	trialsPerServer map[string]int
	// recordedCrashes holds the crashes that have been recorded under each incarnation. A server that
	// is back at its address before it has told of its new incarnation crashes again under the old one.
	recordedCrashes map[Server]recordedCrashes
	// blindSince is when this host stopped to learn of crashes, or zero if it learns of them.
	blindSince time.Time
	lastNumber uint64
	// logicalTime orders the sendings and ends of requests.
	logicalTime uint64
}

// NewTracker returns a tracker that adds evidence to the given store.
func NewTracker(store *EvidenceStore) *Tracker {
	return &Tracker{
		store:           store,
		tracked:         make(map[Server]map[uint64]trackedRequest),
		unanswered:      make(map[Server][]unansweredRequest),
		activeTrials:    make(map[Fingerprint]bool),
		trialsPerServer: make(map[string]int),
		recordedCrashes: make(map[Server]recordedCrashes),
	}
}

// Begin asks whether a request may be sent to a server. It returns the number of the
// attempt, which Sent and End take.
func (t *Tracker) Begin(now time.Time, server Server, f Fingerprint) (uint64, Decision) {
	suspicion := t.store.Check(now, f)
	if suspicion == Blocked {
		return 0, rejection(outcome.ReasonPoison, 0)
	}
	undecided := t.countUndecided(now, f)
	trial := suspicion == Suspect || undecided > 0
	if trial {
		if decision, ok := t.beginTrial(now, server, f, undecided); !ok {
			return 0, decision
		}
	}
	t.lastNumber++
	if t.tracked[server] == nil {
		t.tracked[server] = make(map[uint64]trackedRequest)
	}
	t.tracked[server][t.lastNumber] = trackedRequest{fingerprint: f, trial: trial}
	crashes, _ := t.store.countCrashes(now, f)
	return t.lastNumber, Decision{Allowed: true, Alone: trial, Crashes: crashes}
}

// Sent records that a request is being sent now, after its admission. SharedServer means
// that other hosts may send to the server at the same time.
func (t *Tracker) Sent(server Server, number uint64, sharedServer bool) {
	if r, ok := t.tracked[server][number]; ok {
		r.sentAt = t.nextLogicalTime()
		r.sharedServer = sharedServer
		t.tracked[server][number] = r
	}
}

// End records how an attempt ended. A request that finished is cleared.
func (t *Tracker) End(now time.Time, server Server, number uint64, result Result) {
	r, ok := t.tracked[server][number]
	if !ok {
		return
	}
	t.remove(server, number, r)
	r.endedAt = t.nextLogicalTime()
	if r.crashCounted && result != Finished {
		return
	}
	switch result {
	case Finished:
		t.store.Clear(now, r.fingerprint)
		t.removeUnanswered(r.fingerprint)
	case Broken, TimedOut:
		t.addUnanswered(server, unansweredRequest{trackedRequest: r, at: now, undecided: result == Broken})
	}
}

// ServerCrashed records that a server's incarnation has crashed. Every request that was
// in flight on it, or ended on it without an answer shortly before, becomes a suspect. A request
// that was sent to the same incarnation after an earlier call makes this another crash, so the caller
// must have closed the connections to the server before the call.
func (t *Tracker) ServerCrashed(now time.Time, server Server, source Source) {
	var involved []trackedRequest
	for _, unanswered := range t.unanswered[server] {
		if t.counts(now, unanswered) {
			involved = append(involved, unanswered.trackedRequest)
		}
	}
	delete(t.unanswered, server)
	// The service discovery tells late of the first crash under an identity. What is in flight since then is at
	// another process.
	reportedLate := source == Discovery && t.recordedCrashes[server].count > 0
	for number, r := range t.tracked[server] {
		if r.sentAt != 0 && !r.crashCounted && !reportedLate {
			involved = append(involved, r)
			r.crashCounted = true
			t.tracked[server][number] = r
		}
	}
	if len(involved) == 0 {
		return
	}
	crashed := t.nextCrash(now, server)
	for i, r := range involved {
		alone := r.trial && !r.sharedServer && !overlapsAny(involved, i)
		t.store.Add(now, r.fingerprint, crashed, alone, source)
	}
}

// nextCrash counts a crash of an incarnation and returns the identity under which it is stored: the
// incarnation, with the number of its earlier crashes if there were any.
func (t *Tracker) nextCrash(now time.Time, server Server) Server {
	earlier := t.recordedCrashes[server].count
	t.recordedCrashes[server] = recordedCrashes{count: earlier + 1, at: now}
	if earlier > 0 {
		server.Incarnation += "#" + strconv.Itoa(earlier)
	}
	return server
}

// overlapsAny reports whether another request was in flight at the same time as the i-th.
func overlapsAny(involved []trackedRequest, i int) bool {
	for j, other := range involved {
		if j != i && involved[i].overlaps(other) {
			return true
		}
	}
	return false
}

// nextLogicalTime advances the logical time and returns it.
func (t *Tracker) nextLogicalTime() uint64 {
	t.logicalTime++
	return t.logicalTime
}

// ServerAlive records that a server's incarnation answered a query sent at queriedAt. A
// request whose connection broke before then has not crashed it.
func (t *Tracker) ServerAlive(queriedAt time.Time, server Server) {
	t.keepUnanswered(server, func(r unansweredRequest) bool { return !r.undecided || !r.at.Before(queriedAt) })
}

// EndDoubt records that a connection to the server that broke before the given time makes no crash likely: a process has
// accepted one at its address since, or this host is cut off. The request is no longer undecided. It is still a suspect if
// the incarnation is found crashed, since that process may be a newer one.
func (t *Tracker) EndDoubt(before time.Time, server Server) {
	requests := t.unanswered[server]
	for i := range requests {
		if requests[i].at.Before(before) {
			requests[i].undecided = false
		}
	}
}

// SetBlind records whether this host cannot learn of crashes, as while the service discovery is away.
// That time does not count for how long an unanswered request is kept.
func (t *Tracker) SetBlind(now time.Time, blind bool) {
	if blind == !t.blindSince.IsZero() {
		return
	}
	if blind {
		t.blindSince = now
		return
	}
	for _, requests := range t.unanswered {
		for i := range requests {
			requests[i].blind += t.currentlyBlind(now, requests[i])
		}
	}
	t.blindSince = time.Time{}
}

// currentlyBlind returns the time of the present outage since the request ended.
func (t *Tracker) currentlyBlind(now time.Time, r unansweredRequest) time.Duration {
	if t.blindSince.IsZero() {
		return 0
	}
	if r.at.After(t.blindSince) {
		return now.Sub(r.at)
	}
	return now.Sub(t.blindSince)
}

// counts reports whether an unanswered request still counts as in flight when its server is found crashed.
func (t *Tracker) counts(now time.Time, r unansweredRequest) bool {
	return now.Sub(r.at)-r.blind-t.currentlyBlind(now, r) < unansweredWindow
}

// Expire removes expired evidence and unanswered requests. It is called periodically.
func (t *Tracker) Expire(now time.Time) {
	t.store.Expire(now)
	maps.DeleteFunc(t.recordedCrashes, func(_ Server, c recordedCrashes) bool { return now.Sub(c.at) >= t.store.bounds.Retention })
	for server := range t.unanswered {
		t.keepUnanswered(server, func(r unansweredRequest) bool { return t.counts(now, r) })
	}
}

// beginTrial reserves a suspect's run alone on a server. It returns false and a
// decision if the suspect cannot run now. Undecided is the result of countUndecided: a
// request that would be blocked if all of these servers have crashed is rejected, to be
// retried later, until that is known.
func (t *Tracker) beginTrial(now time.Time, server Server, f Fingerprint, undecided int) (Decision, bool) {
	if t.activeTrials[f] {
		return Decision{Wait: true}, false
	}
	crashes, _ := t.store.countCrashes(now, f)
	mayBeBlocked := undecided > 0 && crashes+undecided >= t.store.bounds.CrashLimit
	if mayBeBlocked || t.trialsPerServer[server.Addr] >= maxTrials {
		return rejection(outcome.ReasonTooManySuspects, trialRetryAfter), false
	}
	t.activeTrials[f] = true
	t.trialsPerServer[server.Addr]++
	return Decision{}, true
}

// countUndecided returns the number of server incarnations on which the request's
// connection broke recently and of which it is not known yet whether they have crashed.
func (t *Tracker) countUndecided(now time.Time, f Fingerprint) int {
	count := 0
	for _, requests := range t.unanswered {
		if slices.ContainsFunc(requests, func(r unansweredRequest) bool {
			return r.fingerprint == f && r.undecided && now.Sub(r.at) < unansweredWindow
		}) {
			count++
		}
	}
	return count
}

// removeUnanswered removes a request that has finished from the unanswered ones.
func (t *Tracker) removeUnanswered(f Fingerprint) {
	for server := range t.unanswered {
		t.keepUnanswered(server, func(r unansweredRequest) bool { return r.fingerprint != f })
	}
}

// addUnanswered adds an unanswered request of a server, and drops the oldest one if there
// are too many.
func (t *Tracker) addUnanswered(server Server, r unansweredRequest) {
	requests := t.unanswered[server]
	if len(requests) >= maxUnanswered {
		requests = requests[1:]
	}
	t.unanswered[server] = append(requests, r)
}

// keepUnanswered removes the unanswered requests of a server for which keep returns false.
func (t *Tracker) keepUnanswered(server Server, keep func(unansweredRequest) bool) {
	kept := slices.DeleteFunc(t.unanswered[server], func(r unansweredRequest) bool { return !keep(r) })
	if len(kept) == 0 {
		delete(t.unanswered, server)
		return
	}
	t.unanswered[server] = kept
}

// remove removes an attempt that has ended and releases its place among the trials.
func (t *Tracker) remove(server Server, number uint64, r trackedRequest) {
	delete(t.tracked[server], number)
	if len(t.tracked[server]) == 0 {
		delete(t.tracked, server)
	}
	if !r.trial {
		return
	}
	delete(t.activeTrials, r.fingerprint)
	t.trialsPerServer[server.Addr]--
	if t.trialsPerServer[server.Addr] == 0 {
		delete(t.trialsPerServer, server.Addr)
	}
}

func rejection(reason outcome.Reason, after time.Duration) Decision {
	return Decision{Refusal: outcome.Refusal{Outcome: outcome.NotRun, Reason: reason, RetryAfter: after}}
}
