package admission

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/poplarcroft/poplarcroft/internal/assign"
	"github.com/poplarcroft/poplarcroft/internal/dispatch"
)

const (
	// finishInterval is the shortest time between two messages with finished tickets.
	finishInterval = 20 * time.Millisecond
	// lostAfter is how long a dispatcher may take to answer a message that needs no decision. One that takes longer
	// counts as lost, and the next host in order is asked.
	lostAfter = 150 * time.Millisecond
	// starvedMargin is by how much longer the wait for an answer must have taken for this host to have lacked processor
	// time itself. Then the dispatcher gets lostAfter once more.
	starvedMargin = 50 * time.Millisecond
	// sendTimeout is the timeout of one message. It is longer than lostAfter because the end of a call closes the
	// connection, and with it the calls of requests that a slow dispatcher may still admit.
	sendTimeout = time.Second
	// probeAfter is how long a dispatcher may be quiet while requests wait for it before it is asked whether it answers.
	probeAfter = 75 * time.Millisecond
	// avoidLostFor and avoidOldFor are how long a dispatcher is not asked that was lost or has left, and one whose build
	// does not know the messages.
	avoidLostFor = time.Second
	avoidOldFor  = 30 * time.Second
	// decisionMargin is how long after the deadline of a request its dispatcher's decision is awaited.
	decisionMargin = 500 * time.Millisecond
	// maxFinished bounds the finished tickets that wait to be sent to a lost dispatcher, which frees them by itself later.
	maxFinished = 1024
)

// ErrOldBuild marks the error of a call to a host whose build does not know the method.
var ErrOldBuild = errors.New("admission: the host's build has no admission")

// errSlow reports a dispatcher that has not answered for lostAfter.
var errSlow = errors.New("admission: the dispatcher does not answer in time")

// link is the connection to one dispatcher. It sends finished tickets in batches, and while requests wait it checks that
// the dispatcher answers. It is safe for concurrent use.
type link struct {
	host     assign.Host
	config   ClientConfig
	counters *Counters

	mu sync.Mutex
	// waiting is the number of requests that wait for a decision.
	waiting   int
	finished  []Finished
	withdrawn []uint64
	// running says that the goroutine that sends is running.
	running bool
	// lost is closed when the dispatcher is found lost, and replaced by a new channel.
	lost       chan struct{}
	answeredAt time.Duration
	avoidUntil time.Duration
}

func newLink(host assign.Host, config ClientConfig, counters *Counters) *link {
	return &link{host: host, config: config, counters: counters, lost: make(chan struct{}), answeredAt: config.Clock()}
}

// usable reports whether the dispatcher may be asked.
func (l *link) usable() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.config.Clock() >= l.avoidUntil
}

// admit waits for the dispatcher's decision. It returns false if there is none: the dispatcher was lost or does not act
// as one, or the context has ended, which withdraws the request.
func (l *link) admit(ctx context.Context, args AdmitArgs) (AdmitReply, bool) {
	lost := l.begin()
	defer l.end()
	replies := make(chan AdmitReply)
	abandoned := make(chan struct{})
	defer close(abandoned)
	go l.call(args, replies, abandoned)
	select {
	case reply := <-replies:
		return reply, reply.Verdict != NotHere
	case <-ctx.Done():
		l.counters.add(countWithdrawn)
	case <-lost:
	}
	l.withdraw(args.Number)
	return AdmitReply{}, false
}

// call asks the dispatcher and passes its decision on. If nobody waits for it any more, a ticket is given back. The call
// does not end with the caller's context, since net/rpc can't cancel it: the dispatcher answers once it is withdrawn.
func (l *link) call(args AdmitArgs, replies chan<- AdmitReply, abandoned <-chan struct{}) {
	ctx, cancel := context.WithTimeout(context.Background(), args.DeadlineIn+decisionMargin)
	defer cancel()
	reply, err := l.config.Peers.Admit(ctx, l.host, args)
	switch {
	case err != nil:
		l.failed(err)
		reply = AdmitReply{}
	case reply.Verdict == NotHere:
		l.referred()
	default:
		l.answered()
	}
	select {
	case replies <- reply:
	case <-abandoned:
		if reply.Verdict == Admitted {
			l.finish(Finished{Pool: args.Pool, Ticket: reply.Ticket, End: dispatch.PoolNotSent})
		}
	}
}

// begin counts a waiting request and returns the channel that is closed if the dispatcher is lost.
func (l *link) begin() <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.waiting == 0 {
		l.answeredAt = l.config.Clock()
	}
	l.waiting++
	l.start()
	return l.lost
}

// end counts a request that no longer waits.
func (l *link) end() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.waiting--
}

// finish sends a finished ticket to the dispatcher.
func (l *link) finish(finished Finished) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.finished) < maxFinished {
		l.finished = append(l.finished, finished)
	}
	l.start()
}

// withdraw tells the dispatcher that a request no longer waits.
func (l *link) withdraw(number uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.withdrawn) < maxFinished {
		l.withdrawn = append(l.withdrawn, number)
	}
	l.start()
}

// start starts the goroutine that sends. The caller holds the lock.
func (l *link) start() {
	if !l.running {
		l.running = true
		go l.run()
	}
}

// run sends what there is to send until there is nothing more and no request waits.
func (l *link) run() {
	for {
		args, due, more := l.next()
		if !more {
			return
		}
		if due {
			l.send(args)
		}
		time.Sleep(finishInterval)
	}
}

// next returns the next message and whether one is due. more is false if the goroutine has to end.
func (l *link) next() (args FinishArgs, due, more bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	args = FinishArgs{From: l.config.Self.Name, Incarnation: l.config.Self.Incarnation, To: l.host.Incarnation, Finished: l.finished, Withdrawn: l.withdrawn}
	switch {
	case len(l.finished)+len(l.withdrawn) > 0:
		l.finished, l.withdrawn = nil, nil
		return args, true, true
	case l.waiting > 0:
		return args, l.config.Clock()-l.answeredAt > probeAfter, true
	}
	l.running = false
	return args, false, false
}

// send sends a message. What could not be sent is sent again as long as it may matter: tickets end by themselves.
func (l *link) send(args FinishArgs) {
	done := make(chan error, 1)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), sendTimeout)
		defer cancel()
		_, err := l.config.Peers.Finish(ctx, l.host, args)
		done <- err
	}()
	err, ended := l.awaitAnswer(done)
	if !ended {
		l.failed(errSlow)
		err = <-done
	}
	if err == nil {
		l.answered()
		return
	}
	l.failed(err)
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.config.Clock()-l.answeredAt > 2*avoidLostFor || errors.Is(err, ErrOldBuild) {
		return
	}
	l.finished = append(args.Finished, l.finished...)
	l.withdrawn = append(args.Withdrawn, l.withdrawn...)
}

// awaitAnswer waits for the end of a call, and returns false if it takes longer than lostAfter.
func (l *link) awaitAnswer(done <-chan error) (err error, ended bool) {
	for range 2 {
		started := l.config.Clock()
		timer := time.NewTimer(lostAfter)
		select {
		case err := <-done:
			timer.Stop()
			return err, true
		case <-timer.C:
		}
		if l.config.Clock()-started <= lostAfter+starvedMargin {
			break
		}
	}
	select {
	case err := <-done:
		return err, true
	default:
		return nil, false
	}
}

// answered records that the dispatcher has answered.
func (l *link) answered() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.answeredAt = l.config.Clock()
}

// referred records that the host does not act as a dispatcher.
func (l *link) referred() {
	l.counters.add(countReferred)
	l.avoid(avoidLostFor, "does not act as a dispatcher", nil)
}

// failed records that a call got no answer. All waiting requests then go to the next dispatcher.
func (l *link) failed(err error) {
	if errors.Is(err, ErrOldBuild) {
		l.counters.add(countOld)
		l.avoid(avoidOldFor, "older build", err)
		return
	}
	l.counters.add(countLost)
	l.avoid(avoidLostFor, "lost", err)
}

// avoid ends the wait of all requests at the dispatcher and does not ask it for the given time.
func (l *link) avoid(period time.Duration, outcome string, err error) {
	l.mu.Lock()
	now := l.config.Clock()
	news := now >= l.avoidUntil
	l.avoidUntil = max(l.avoidUntil, now+period)
	close(l.lost)
	l.lost = make(chan struct{})
	l.mu.Unlock()
	if !news {
		return
	}
	fields := []any{"host", l.host.Name, "incarnation", l.host.Incarnation, "outcome", outcome, "avoid_ms", period.Milliseconds()}
	if err != nil {
		fields = append(fields, "err", err.Error())
	}
	l.config.Log.Event("dispatcher", fields...)
}
