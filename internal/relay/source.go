package relay

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/poplarcroft/poplarcroft/internal/duty"
	"github.com/poplarcroft/poplarcroft/internal/follow"
)

// errNotTold reports that a relay had no answer to give.
var errNotTold = errors.New("relay: not told")

// Source is a topic as one host reads it: through its relay, or at the platform. It
// implements follow.Source and belongs to one goroutine.
type Source struct {
	relay  *Relay
	topic  Topic
	direct follow.Source
	// every is the least time between two reads at the platform that do not wait, which began at last.
	every func() time.Duration
	last  time.Duration
}

// Filter reports whether a record tells other hosts anything that the former ones did not. It is called
// once for each record from some offset on, in order.
type Filter func(follow.Record) bool

// all keeps all records.
func all(follow.Record) bool { return true }

// Options of a source.
type Options struct {
	// NewFilter makes the filter for records that tell other hosts nothing; nil keeps all records.
	NewFilter func() Filter
	// Every is the least time between two reads at the platform; nil sets no bound.
	Every func() time.Duration
}

// Source returns the topic as this host is to read it.
func (r *Relay) Source(topic Topic, direct follow.Source, options Options) *Source {
	if options.NewFilter == nil {
		options.NewFilter = func() Filter { return all }
	}
	if options.Every == nil {
		options.Every = func() time.Duration { return 0 }
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.feeds[topic] = newFeed(options.NewFilter)
	return &Source{relay: r, topic: topic, direct: direct, every: options.Every}
}

// Newest implements follow.Source. It always reads at the platform.
func (s *Source) Newest(ctx context.Context) (follow.Batch, error) {
	began := s.relay.config.Clock()
	batch, err := s.direct.Newest(ctx)
	if err != nil {
		return follow.Batch{}, err
	}
	s.last = began
	s.relay.noteContact(began)
	return batch, nil
}

// Since implements follow.Source.
func (s *Source) Since(ctx context.Context, offset uint64, wait time.Duration) (follow.Batch, error) {
	if host, ok := s.relay.choose(); ok {
		batch, err := s.ask(ctx, host, offset)
		if err == nil {
			s.relay.Counters.Relayed.Add(1)
			return batch, nil
		}
		if ctx.Err() != nil {
			return follow.Batch{}, err
		}
		s.relay.Counters.Fallback.Add(1)
		wait = min(wait, fallbackWait)
	}
	duty.Wait(ctx, s.last+s.every()-s.relay.config.Clock())
	return s.read(ctx, offset, wait)
}

// read reads at the platform and keeps what other hosts may ask for.
func (s *Source) read(ctx context.Context, offset uint64, wait time.Duration) (follow.Batch, error) {
	if !s.relay.align(s.topic, offset) {
		// Other hosts can be told only after the first answer.
		wait = 0
	}
	s.relay.Counters.Direct.Add(1)
	began := s.relay.config.Clock()
	s.last = began
	reading, end := s.relay.begin(ctx, began)
	defer end()
	batch, err := s.direct.Since(reading, offset, wait)
	if err != nil {
		if cause := context.Cause(reading); cause != nil {
			err = cause
		}
		s.relay.noteFailedRead(s.topic, err)
		return follow.Batch{}, err
	}
	s.relay.noteRead(s.topic, offset, batch, began)
	return batch, nil
}

// align reports whether the next read goes on where the last one ended. Otherwise this host has learned
// of records in another way, and can tell nothing until that read is answered.
func (r *Relay) align(topic Topic, offset uint64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.feeds[topic].align(offset)
}

// noteRead keeps what a read at the platform brought.
func (r *Relay) noteRead(topic Topic, offset uint64, batch follow.Batch, began time.Duration) {
	r.noteContact(began)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.feeds[topic].add(offset, batch, began, r.config.Clock())
}

// ask reads at another host.
func (s *Source) ask(ctx context.Context, host Host, offset uint64) (follow.Batch, error) {
	calling, cancel := context.WithTimeout(ctx, askWait+answerTimeout)
	defer cancel()
	reply, err := s.relay.config.Ask(calling, host, Ask{Topic: s.topic, Offset: offset, Wait: askWait})
	if err != nil {
		if ctx.Err() == nil {
			s.relay.avoid(host, err.Error())
		}
		return follow.Batch{}, err
	}
	switch reply.Outcome {
	case Told:
		return follow.Batch{Records: reply.Records, End: reply.End, Age: reply.Age}, nil
	case NoContact:
		s.relay.avoid(host, reply.Outcome.String())
	}
	return follow.Batch{}, errors.Wrap(errNotTold, reply.Outcome.String())
}
