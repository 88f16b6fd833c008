package relay

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/poplarcroft/poplarcroft/internal/follow"
	"github.com/poplarcroft/poplarcroft/internal/loop"
)

// errNotAnswered reports that a relay replied with an outcome other than Answered. The outcome is
// added to the text.
var errNotAnswered = errors.New("relay: the relay could not answer")

// Source reads a topic through the relay of the zone or from the platform. It implements
// follow.Source. It must be used by one goroutine only.
type Source struct {
	relay *Relay
	topic Topic
	// direct reads from the platform.
	direct  follow.Source
	options Options
	// lastStart is when the last read from the platform started.
	lastStart time.Duration
	// probing is set while a probe of the platform is in progress.
	probing atomic.Bool
}

// Filter reports whether a record has information for other hosts that earlier records did not
// have. It is called once for each record, in order, beginning at some offset.
type Filter func(follow.Record) bool

// all is a Filter that keeps all records.
func all(follow.Record) bool { return true }

// Options configures a Source.
type Options struct {
	// NewFilter creates the filter that drops records without information for other hosts; nil keeps all records.
	NewFilter func() Filter
	// MinInterval returns the least time between the starts of two reads from the platform; nil sets no bound.
	MinInterval func() time.Duration
	// MaxWait bounds how long a read from the platform waits for a record; zero sets no bound. Only a read that ends confirms the
	// topic.
	MaxWait time.Duration
	// MaxAge is the age of the last confirmation from which on the topic counts as not confirmed; zero stands for
	// defaultMaxAge.
	MaxAge time.Duration
}

// defaultMaxAge is the age of a topic's last confirmation from which on it counts as not confirmed, unless Options say otherwise.
const defaultMaxAge = 2 * time.Second

// Source adds a topic to the relay and returns a Source for it. direct reads the topic from the platform.
func (r *Relay) Source(topic Topic, direct follow.Source, options Options) *Source {
	if options.NewFilter == nil {
		options.NewFilter = func() Filter { return all }
	}
	if options.MinInterval == nil {
		options.MinInterval = func() time.Duration { return 0 }
	}
	if options.MaxAge == 0 {
		options.MaxAge = defaultMaxAge
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.caches[topic] = newTopicCache(options.NewFilter)
	r.progress[topic] = &topicProgress{maxAge: options.MaxAge, confirmedAt: r.config.Clock()}
	return &Source{relay: r, topic: topic, direct: direct, options: options}
}

// Newest implements follow.Source. It always reads from the platform, since relays have only recent records.
func (s *Source) Newest(ctx context.Context) (follow.Batch, error) {
	began := s.relay.config.Clock()
	s.relay.beginRead(s.topic, fromPlatform)
	defer s.relay.endRead(s.topic)
	batch, err := s.direct.Newest(ctx)
	if err != nil {
		return follow.Batch{}, err
	}
	s.lastStart = began
	s.relay.recordContact(began, batch.Era)
	s.relay.confirm(s.topic, began)
	// The next versions of large values then cost only what changes.
	s.relay.describe(s.topic, batch.Records)
	return batch, nil
}

// Since implements follow.Source. It queries the relay first, if there is one.
func (s *Source) Since(ctx context.Context, from follow.Position, wait time.Duration) (follow.Batch, error) {
	if s.relay.hasLostContact(s.topic) {
		return s.sinceWithoutContact(ctx, from)
	}
	for host, ok := s.relay.chooseRelay(s.topic); ok; host, ok = s.relay.chooseRelay(s.topic) {
		batch, err := s.ask(ctx, host, from)
		if err == nil {
			s.relay.Counters.Relayed.Add(1)
			return batch, nil
		}
		if ctx.Err() != nil {
			return follow.Batch{}, err
		}
		if errors.Is(err, errInterrupted) {
			// Bytes are arriving. The next query continues, with the newest version.
			continue
		}
		s.relay.Counters.Fallback.Add(1)
		s.relay.config.Log.Routine("relay", "relay", host.Name, "topic", string(s.topic), "offset", from.Offset, "outcome", "reading directly", "reason", err.Error())
		wait = min(wait, fallbackWait)
		break
	}
	loop.Sleep(ctx, s.lastStart+s.options.MinInterval()-s.relay.config.Clock())
	return s.read(ctx, from, wait)
}

// sinceWithoutContact reads from any other host while this host has lost contact with the platform. It
// finds out in the background whether the platform answers again.
func (s *Source) sinceWithoutContact(ctx context.Context, from follow.Position) (follow.Batch, error) {
	s.probe(ctx, from)
	host, ok := s.relay.chooseRelay(s.topic)
	if !ok {
		return follow.Batch{}, errNoOtherHost
	}
	batch, err := s.ask(ctx, host, from)
	if err == nil {
		s.relay.Counters.Relayed.Add(1)
	}
	return batch, err
}

// probe reads from the platform in the background, at most once per probeInterval, and records contact if
// the platform answers. It drops what was read. A slow platform answers a probe that takes long, too.
func (s *Source) probe(ctx context.Context, from follow.Position) {
	began := s.relay.config.Clock()
	if began-s.lastStart < probeInterval || !s.probing.CompareAndSwap(false, true) {
		return
	}
	s.lastStart = began
	s.relay.Counters.Direct.Add(1)
	go func() {
		defer s.probing.Store(false)
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), probeTimeout)
		defer cancel()
		batch, err := s.direct.Since(ctx, from, 0)
		if err == nil || errors.IsAny(err, follow.ErrCompacted, follow.ErrRestored) {
			s.relay.recordContact(began, batch.Era)
			s.relay.recordAnswer(s.topic)
		}
	}()
}

// errNoOtherHost reports that this host has lost contact with the platform and there is no other host
// to query.
var errNoOtherHost = errors.New("relay: contact with the platform is lost, and no other host can be queried")

// read reads from the platform and caches the records for other hosts.
func (s *Source) read(ctx context.Context, from follow.Position, wait time.Duration) (follow.Batch, error) {
	if !s.relay.prepareRead(s.topic, from) {
		// The cache can answer other hosts only after this read, so the read must not wait.
		wait = 0
	}
	if s.options.MaxWait > 0 {
		wait = min(wait, s.options.MaxWait)
	}
	s.relay.Counters.Direct.Add(1)
	began := s.relay.config.Clock()
	s.lastStart = began
	s.relay.beginRead(s.topic, fromPlatform)
	defer s.relay.endRead(s.topic)
	readCtx, untrack := s.relay.trackRead(ctx, began)
	defer untrack()
	batch, err := s.direct.Since(readCtx, from, wait)
	if err != nil {
		if cause := context.Cause(readCtx); cause != nil {
			err = cause
		}
		s.relay.recordFailedRead(s.topic, err)
		return follow.Batch{}, err
	}
	s.relay.recordAnswer(s.topic)
	s.relay.recordRead(s.topic, from.Offset, batch, began)
	s.relay.confirm(s.topic, began)
	return batch, nil
}

// prepareRead prepares the cache of a topic for the next read from the platform. It reports
// whether that read continues where the last one ended. Otherwise this host has skipped records
// (they came through a relay or from Newest), and its cache cannot answer until that read is
// answered.
func (r *Relay) prepareRead(topic Topic, from follow.Position) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.caches[topic].prepareRead(from)
}

// recordRead caches the result of a read from the platform.
func (r *Relay) recordRead(topic Topic, offset uint64, batch follow.Batch, began time.Duration) {
	r.recordContact(began, batch.Era)
	described := r.describe(topic, batch.Records)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.caches[topic].add(offset, batch, described, began, r.config.Clock())
}

// ask reads from another host. A host that does not answer or has no contact is not queried again for a while.
func (s *Source) ask(ctx context.Context, host Host, from follow.Position) (follow.Batch, error) {
	callCtx, cancel := context.WithTimeout(ctx, relayWait+replyTimeout)
	defer cancel()
	asked := s.relay.config.Clock()
	s.relay.beginRead(s.topic, host.Name)
	defer s.relay.endRead(s.topic)
	ask := Ask{Topic: s.topic, From: from, Wait: relayWait, References: s.relay.config.Contents != nil, Compressed: true}
	reply, err := s.relay.config.Ask(callCtx, host, ask)
	if err != nil && callCtx.Err() == nil {
		// The connection has been closed, perhaps because of another call on it.
		reply, err = s.relay.config.Ask(callCtx, host, ask)
	}
	after := s.relay.config.Clock() - asked
	if err != nil {
		if ctx.Err() == nil {
			s.relay.Counters.Unanswered.Add(1)
			s.relay.avoidHost(host, s.topic, after, err.Error())
		}
		return follow.Batch{}, err
	}
	switch reply.Outcome {
	case Answered:
		if len(reply.Records) == 0 && reply.Age.Confirmed >= s.options.MaxAge {
			// A build that does not know the bound, or has another one, has answered.
			s.relay.avoidForTopic(host, s.topic, after, Stale.String())
			return follow.Batch{}, errors.Wrap(errNotAnswered, Stale.String())
		}
		s.relay.recordAnswered(host)
		if err := reply.inflate(); err != nil {
			return follow.Batch{}, err
		}
		if err := s.resolve(ctx, host, from.Era, &reply); err != nil {
			return follow.Batch{}, err
		}
		s.relay.confirm(s.topic, asked+reply.Age.Waited-reply.Age.Confirmed)
		return follow.Batch{Records: reply.Records, Era: from.Era, End: reply.End, Age: reply.Age}, nil
	case NoContact:
		s.relay.avoidHost(host, s.topic, after, reply.Outcome.String())
	case Stale:
		s.relay.avoidForTopic(host, s.topic, after, reply.Outcome.String())
	}
	return follow.Batch{}, errors.Wrap(errNotAnswered, reply.Outcome.String())
}
