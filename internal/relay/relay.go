// Package relay lets one host of a zone read the platform's topics for the others.
//
// Each host reads a topic through a Source. It asks the relay of its zone, and
// reads the topic itself where there is none, where the relay does not answer in time, or
// where the relay has lost its own contact. A host that is asked becomes a relay by that:
// it reads the topics itself for as long as it is asked.
//
// A relay passes on how old its knowledge is, so that hosts can rely on it as on a
// read of their own. Ages are measured on clocks that go on while a machine is suspended.
package relay

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/poplarcroft/poplarcroft/internal/eventlog"
	"github.com/poplarcroft/poplarcroft/internal/follow"
)

// Topic names a topic among hosts.
type Topic string

// Ask is a read of a topic at another host.
type Ask struct {
	Topic  Topic
	Offset uint64
	// Wait is how long the answer may wait for a record.
	Wait time.Duration
}

// Outcome says whether a relay can answer.
type Outcome int

const (
	// Told means that the reply holds what the topic holds.
	Told Outcome = iota
	// NotReading means that the host does not read the topic, or not from that offset on.
	NotReading
	// Behind means that the relay has not read as far as the asking host.
	Behind
	// NoContact means that the relay cannot reach the platform itself.
	NoContact
)

// String implements fmt.Stringer.
func (o Outcome) String() string {
	switch o {
	case Told:
		return "told"
	case NotReading:
		return "not reading"
	case Behind:
		return "behind"
	case NoContact:
		return "no contact"
	}
	return "unknown"
}

// Reply is the answer of a relay.
type Reply struct {
	Outcome Outcome
	Records []follow.Record
	End     uint64
	Age     follow.Age
}

// Host is another host that may be asked.
type Host struct {
	Name string
	Addr string
}

const (
	// askWait is how long a relay may wait for a record. It bounds how long the loss of a relay goes unnoticed.
	askWait = 500 * time.Millisecond
	// answerTimeout bounds an answer beyond the wait.
	answerTimeout = 300 * time.Millisecond
	// contactLimit is the age of a relay's last contact with the platform at which others read for
	// themselves. Together with their own read it stays below the time in which changes must be in force.
	contactLimit = 1400 * time.Millisecond
	// avoidFor is how long a host that did not answer is not asked again.
	avoidFor = 3 * time.Second
	// fallbackWait bounds a read at the platform by a host whose relay does not answer.
	fallbackWait = 2 * time.Second
	// servesFor is how long a host goes on as a relay after it was last asked.
	servesFor = 3 * time.Second
)

// Config is what a Relay needs of its host.
type Config struct {
	// Hosts returns the hosts of the zone in the order in which they are to be relays, as all hosts of the
	// zone see it. It includes this host; self is its place.
	Hosts func() (hosts []Host, self int)
	// Alone reports whether this host has to read for itself.
	Alone func() bool
	// Ask asks another host.
	Ask   func(ctx context.Context, host Host, ask Ask) (Reply, error)
	Clock func() time.Duration
	Log   *eventlog.Log
}

// Relay is the part of one host in reading for its zone. It is safe for concurrent use.
type Relay struct {
	Counters Counters
	config   Config

	mu    sync.Mutex
	feeds map[Topic]*feed
	// contact is when the last read began that the platform has answered; reached says that there was one.
	contact time.Duration
	reached bool
	// lost says that a read has failed since the platform was last in contact.
	lost bool
	// reading holds the reads at the platform that are under way, with when they began.
	reading map[*context.CancelCauseFunc]time.Duration
	// asked is when another host last asked; serves says that one has.
	asked  time.Duration
	serves bool
	// avoided holds the time until which a host is not asked.
	avoided map[string]time.Duration
}

// New returns a relay without topics.
func New(config Config) *Relay {
	return &Relay{
		config: config, feeds: make(map[Topic]*feed), avoided: make(map[string]time.Duration),
		reading: make(map[*context.CancelCauseFunc]time.Duration),
	}
}

// choose returns the host to ask, if there is one.
func (r *Relay) choose() (Host, bool) {
	if r.config.Alone() {
		return Host{}, false
	}
	hosts, self := r.config.Hosts()
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.config.Clock()
	if r.serves && now-r.asked < servesFor {
		return Host{}, false
	}
	for i, host := range hosts {
		if i == self {
			return Host{}, false
		}
		if r.avoided[host.Name] <= now {
			return host, true
		}
	}
	return Host{}, false
}

// avoid leaves a host out for a while.
func (r *Relay) avoid(host Host, reason string) {
	r.mu.Lock()
	r.avoided[host.Name] = r.config.Clock() + avoidFor
	r.mu.Unlock()
	r.config.Log.Event("relay", "relay", host.Name, "outcome", "avoided", "reason", reason)
}

// errRegained ends a read that began before contact was regained.
var errRegained = errors.New("relay: contact was lost meanwhile")

// noteContact notes that the platform has answered a read that began at the given time. Where others
// had failed before, those under way since then may never be answered, and end.
func (r *Relay) noteContact(began time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.reached = true
	r.contact = max(r.contact, began)
	if !r.lost {
		return
	}
	r.lost = false
	for cancel, other := range r.reading {
		if other < began {
			(*cancel)(errRegained)
		}
	}
}

// noteFailedRead notes that a topic could not be read. A read that this host has ended itself says
// nothing of the contact.
func (r *Relay) noteFailedRead(topic Topic, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f := r.feeds[topic]
	f.interrupted = true
	switch {
	case errors.Is(err, follow.ErrCompacted):
		f.stop()
	case !errors.IsAny(err, context.Canceled, errRegained):
		r.lost = true
	}
}

// begin notes a read at the platform; the returned function ends the note.
func (r *Relay) begin(ctx context.Context, began time.Duration) (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.reading[&cancel] = began
	return ctx, func() {
		cancel(nil)
		r.mu.Lock()
		defer r.mu.Unlock()
		delete(r.reading, &cancel)
	}
}

// contactAge returns how long ago the platform was last in contact. The lock is held.
func (r *Relay) contactAge(now time.Duration) time.Duration {
	if !r.reached {
		return contactLimit
	}
	return now - r.contact
}

// Serve answers another host. It waits for a record as the ask says, and not longer than the
// platform is in contact.
func (r *Relay) Serve(ctx context.Context, ask Ask) Reply {
	r.Counters.Served.Add(1)
	deadline := r.config.Clock() + min(ask.Wait, askWait)
	for {
		reply, changed, wait := r.look(ask, deadline)
		if wait <= 0 {
			return reply
		}
		timer := time.NewTimer(wait)
		select {
		case <-ctx.Done():
			timer.Stop()
			return Reply{Outcome: NotReading}
		case <-changed:
			timer.Stop()
		case <-timer.C:
		}
	}
}

// look answers from what is known. With a positive wait it is worth to look again after that
// time, or on a change.
func (r *Relay) look(ask Ask, deadline time.Duration) (Reply, <-chan struct{}, time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.config.Clock()
	r.asked = now
	r.serves = true
	f := r.feeds[ask.Topic]
	if f == nil || !f.covers(ask.Offset) {
		return Reply{Outcome: NotReading}, nil, 0
	}
	age := r.contactAge(now)
	if age >= contactLimit {
		return Reply{Outcome: NoContact}, nil, 0
	}
	reply := f.since(ask.Offset, now)
	if len(reply.Records) > 0 {
		return reply, nil, 0
	}
	return reply, f.changed, min(deadline-now, contactLimit-age)
}
