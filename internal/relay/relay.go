// Package relay lets one host of a zone read the platform's log topics on behalf of the others,
// so that the load on the platform does not grow with the number of hosts.
//
// Package edge reads each topic through a Source. The Source queries the relay of its zone. It
// reads from the platform itself if it is the relay, if the relay does not answer in time, or if
// the relay has lost contact with the platform. A host does not need to be appointed: a host that
// is queried acts as a relay, that is, it reads from the platform itself, until it has not been
// queried for a while.
//
// A reply says how old its information is, so that a host can rely on it as on a read of its own;
// for example, a host renews grants only if it has verified its plan recently. Ages are measured
// on clocks that include the time in which a machine is suspended.
//
// Failures: a host that loses contact with the platform queries any other host, of its own zone
// first, until it has contact again: the platform may turn away single hosts, also relays and the
// leader. A relay that does not answer, or that has no contact with the platform, is not
// queried for a few seconds, and event "relay" is logged. A relay whose cache does not reach the
// requested offset says so, and the querying host reads from the platform (counter Fallback).
//
// That the platform answers reads of one topic says nothing about another: one read may never be answered while the others are. So
// each topic has a time as of which the platform has confirmed it, and a bound on the age of that (Options.MaxAge). A relay beyond
// the bound says so (Stale) instead of that there is nothing new, and the querying host judges the age in an answer by its own bound.
// Event "topic" and the metrics tell which topics of a host are beyond the bound.
//
// A reply holds plans compressed. It refers to other values above MaxInlineBytes instead of holding them, so that its size
// does not depend on theirs; the querying host fetches them with package content.
package relay

import (
	"context"
	"sync"
	"time"

	"github.com/poplarcroft/poplarcroft/internal/content"
	"github.com/poplarcroft/poplarcroft/internal/eventlog"
	"github.com/poplarcroft/poplarcroft/internal/follow"
)

// Topic is the name of a topic in calls between hosts.
type Topic string

// Ask is a request to read a topic from another host.
type Ask struct {
	Topic Topic
	// From is the position of the first record to read.
	From follow.Position
	// Wait is how long the answer may be delayed until there is a record.
	Wait time.Duration
	// References says that the reply may refer to large values instead of holding them. A build that does not know the field
	// does not set it, and one that does not know it at the relay sends the values.
	References bool
	// Compressed says that the reply may hold compressed values. Builds up to e2d5c51 do not know it.
	Compressed bool
}

// Outcome says whether a relay could answer. It is sent between hosts as a number.
type Outcome int

const (
	// Answered means that the reply holds the records of the topic from the requested offset on.
	Answered Outcome = iota
	// NotReading means that the host does not read the topic, has no records from that offset on,
	// or has read the topic in another era.
	NotReading
	// Behind means that the relay has not read as far as the querying host.
	Behind
	// NoContact means that the relay cannot reach the platform.
	NoContact
	// Stale means that the platform has not confirmed recently what the relay has read of this topic. Builds up to 88eb5c1 do not
	// know it and read from the platform.
	Stale
)

// String returns the outcome as it appears in log lines and errors. "told" stands for Answered.
func (o Outcome) String() string {
	switch o {
	case Answered:
		return "told"
	case NotReading:
		return "not reading"
	case Behind:
		return "behind"
	case NoContact:
		return "no contact"
	case Stale:
		return "stale"
	}
	return "unknown"
}

// Reply is the answer of a relay. Only Outcome is set unless that is Answered.
type Reply struct {
	Outcome Outcome
	Records []follow.Record
	// End is the offset after the last record that the relay has read, in the era of the query.
	End uint64
	Age follow.Age
	// References describes the large values of records. These records have no value in Records.
	References []Reference
	// Compressed holds the indexes of the records whose values are compressed.
	Compressed []int
}

// Reference describes the value of a record.
type Reference struct {
	// Record is the index of the record in the reply.
	Record   int
	Manifest content.Manifest
}

// Host is a host that may be queried.
type Host struct {
	Name string
	Addr string
}

const (
	// relayWait is how long a relay may delay its answer until there is a record. It bounds how
	// long the failure of a relay goes unnoticed.
	relayWait = 500 * time.Millisecond
	// replyTimeout is added to relayWait for the timeout of a query.
	replyTimeout = 300 * time.Millisecond
	// maxContactAge is the time since a relay's last contact with the platform from which on it
	// answers NoContact. Together with the read that the other host then makes itself, it stays
	// below the 2 s within which a change of the configuration must be in force.
	maxContactAge = 1400 * time.Millisecond
	// avoidDuration is how long a host that did not answer or had no contact is not queried again.
	avoidDuration = 3 * time.Second
	// lostContactAge is the time since the last contact with the platform after which a host whose
	// reads fail relies on the other hosts.
	lostContactAge = 500 * time.Millisecond
	// probeInterval is the least time between two probes of the platform by a source while contact is
	// lost, and probeTimeout the timeout of one.
	probeInterval = time.Second
	probeTimeout  = 2 * time.Second
	// maxAvoided is the number of avoided hosts from which on a host without contact queries no more.
	maxAvoided = 5
	// fallbackWait bounds how long a read from the platform waits for a record if the relay could not answer.
	fallbackWait = 2 * time.Second
	// servingTimeout is how long a host acts as a relay after the last query.
	servingTimeout = 3 * time.Second
)

// Config holds the dependencies of a Relay.
type Config struct {
	// Hosts returns the hosts of the zone in the order in which they are preferred as relays; all
	// hosts of a zone use the same order. The list includes this host; self is its index.
	Hosts func() (hosts []Host, self int)
	// MustReadDirectly reports whether this host has to read a topic from the platform itself while it can.
	MustReadDirectly func(Topic) bool
	// Others returns the hosts of other zones in the order in which they are queried if no host of
	// the own zone has contact with the platform.
	Others func() []Host
	// Ask queries another host.
	Ask func(ctx context.Context, host Host, ask Ask) (Reply, error)
	// Contents fetches large values from other hosts. Without it, replies hold all values.
	Contents *content.Fetcher
	// OnReference is called with the position after a record whose value this host does not have yet; nil ignores it.
	OnReference func(topic Topic, end follow.Position)
	// Clock returns a monotonic reading that includes the time in which the machine is suspended.
	Clock func() time.Duration
	Log   *eventlog.Log
}

// Relay chooses where this host reads topics from, and answers the queries of other hosts from a
// cache of what it has read itself. It is safe for concurrent use.
type Relay struct {
	Counters Counters
	config   Config

	// mu guards all fields below.
	mu     sync.Mutex
	caches map[Topic]*topicCache
	// progress holds how each topic is read at present.
	progress map[Topic]*topicProgress
	// lastContact is when the last read that the platform answered began; hadContact is set if there was one.
	lastContact time.Duration
	hadContact  bool
	// contactLost is set if a read has failed since the platform last answered one.
	contactLost bool
	// era is the latest era of the log in which any topic was read.
	era follow.Era
	// reads holds the start time of each read from the platform that is in flight.
	reads map[*context.CancelCauseFunc]time.Duration
	// lastQueried is when another host last queried this one; wasQueried is set if one has.
	lastQueried time.Duration
	wasQueried  bool
	// avoidedUntil holds the time until which a host is not queried for a topic, or for any with the topic "".
	avoidedUntil map[avoidance]time.Duration
	// failures counts how often in a row a host failed to answer, by host name.
	failures map[string]int
}

// New returns a Relay without topics; Source adds them.
func New(config Config) *Relay {
	return &Relay{
		config: config, caches: make(map[Topic]*topicCache), progress: make(map[Topic]*topicProgress), avoidedUntil: make(map[avoidance]time.Duration), failures: make(map[string]int),
		reads: make(map[*context.CancelCauseFunc]time.Duration),
	}
}

// Serve answers a query of another host. If there is no record yet, it waits for one for as long
// as the query allows, but not longer than contact with the platform counts as current.
func (r *Relay) Serve(ctx context.Context, ask Ask) Reply {
	r.Counters.Served.Add(1)
	began := r.config.Clock()
	deadline := began + min(ask.Wait, relayWait)
	for {
		reply, changed, wait := r.tryAnswer(ask, began, deadline)
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

// tryAnswer tries to answer a query that arrived at began from the cache. If the returned duration is positive, there are no
// records yet, and the caller tries again after that time or when the channel is closed.
func (r *Relay) tryAnswer(ask Ask, began, deadline time.Duration) (Reply, <-chan struct{}, time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.config.Clock()
	r.lastQueried = now
	r.wasQueried = true
	c := r.caches[ask.Topic]
	age := r.contactAge(now)
	if c != nil && r.contactLost && age >= maxContactAge {
		return Reply{Outcome: NoContact}, nil, 0
	}
	if c == nil || !c.has(ask.From) {
		return Reply{Outcome: NotReading}, nil, 0
	}
	if age >= maxContactAge {
		return Reply{Outcome: NoContact}, nil, 0
	}
	reply := c.recordsSince(ask, now)
	reply.Age.Waited = now - began
	if len(reply.Records) > 0 {
		return reply, nil, 0
	}
	untilStale := r.progress[ask.Topic].maxAge - reply.Age.Confirmed
	if untilStale <= 0 {
		return Reply{Outcome: Stale}, nil, 0
	}
	return reply, c.changed, min(deadline-now, maxContactAge-age, untilStale)
}
