package relay

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/poplarcroft/poplarcroft/internal/eventlog"
	"github.com/poplarcroft/poplarcroft/internal/follow"
)

// newLoneRelay returns a relay without other hosts.
func newLoneRelay() *Relay {
	started := time.Now()
	return New(Config{
		Hosts: func() ([]Host, int) { return nil, 0 }, MustReadDirectly: func(Topic) bool { return true },
		Clock: func() time.Duration { return time.Since(started) }, Log: eventlog.Discard(),
	})
}

// TestReadsOfOneTopicConfirmNoOther guards against a relay that tells for seconds that there is nothing new in a topic whose reads are
// not answered, because those of another topic are.
func TestReadsOfOneTopicConfirmNoOther(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newLoneRelay()
		r.Source("orders", nil, Options{MaxAge: time.Second})
		r.Source("servers", nil, Options{})
		r.recordRead("orders", 0, follow.Batch{End: 7}, 0)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go func() {
			for ctx.Err() == nil {
				r.recordRead("servers", 0, follow.Batch{End: 1}, r.config.Clock())
				time.Sleep(100 * time.Millisecond)
			}
		}()
		ask := Ask{Topic: "orders", From: follow.Position{Offset: 7}, Wait: relayWait}
		assert.Equal(t, r.Serve(t.Context(), ask).Outcome, Answered)
		time.Sleep(300 * time.Millisecond)
		assert.Equal(t, r.Serve(t.Context(), ask).Outcome, Stale)
		assert.Equal(t, r.config.Clock(), time.Second)
		// Records that the other host lacks are true all the same.
		r.recordRead("orders", 7, follow.Batch{End: 8, Records: []follow.Record{{Key: "config", Offset: 7}}}, 0)
		assert.Equal(t, r.Serve(t.Context(), ask).Outcome, Answered)
		cancel()
		time.Sleep(time.Second)
	})
}

// TestHostJudgesTheAgeOfAnAnswer guards against a relay of the build before, which does not know the bound on the age of what it tells.
func TestHostJudgesTheAgeOfAnAnswer(t *testing.T) {
	for name, c := range map[string]struct {
		reply Reply
		stale bool
	}{
		"young":            {Reply{End: 3, Age: follow.Age{Relayed: true, Confirmed: 900 * time.Millisecond}}, false},
		"old":              {Reply{End: 3, Age: follow.Age{Relayed: true, Confirmed: time.Second}}, true},
		"old with records": {Reply{End: 4, Records: []follow.Record{{Key: "config", Offset: 3}}, Age: follow.Age{Relayed: true, Confirmed: time.Second}}, false},
	} {
		t.Run(name, func(t *testing.T) {
			r := newLoneRelay()
			r.config.Ask = func(context.Context, Host, Ask) (Reply, error) { return c.reply, nil }
			source := r.Source("orders", nil, Options{MaxAge: time.Second})
			_, err := source.ask(t.Context(), Host{Name: "relay"}, follow.Position{Offset: 3})
			assert.Equal(t, err != nil, c.stale)
			assert.Equal(t, r.avoids(Host{Name: "relay"}, "orders", r.config.Clock()), c.stale)
			assert.Assert(t, !r.avoids(Host{Name: "relay"}, "servers", r.config.Clock()))
		})
	}
}

// TestHostWhoseReadsOfATopicAreNotAnsweredAsksOthers guards against a host that keeps an old configuration because the platform answers
// its reads of all topics but that one.
func TestHostWhoseReadsOfATopicAreNotAnsweredAsksOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newLoneRelay()
		r.config.Others = func() []Host { return []Host{{Name: "other"}} }
		r.config.Ask = func(_ context.Context, host Host, _ Ask) (Reply, error) {
			return Reply{End: 4, Records: []follow.Record{{Key: "config", Offset: 3}}}, nil
		}
		source := r.Source("orders", unansweredTopic{}, Options{MaxWait: 500 * time.Millisecond, MaxAge: time.Second})
		r.Source("servers", nil, Options{})
		_, err := source.Since(t.Context(), follow.Position{Offset: 3}, time.Minute)
		assert.ErrorIs(t, err, follow.ErrSilent)
		r.recordRead("servers", 0, follow.Batch{End: 1}, r.config.Clock())
		batch, err := source.Since(t.Context(), follow.Position{Offset: 3}, time.Minute)
		assert.NilError(t, err)
		assert.Equal(t, batch.End, uint64(4))
		time.Sleep(probeTimeout)
	})
}

// unansweredTopic is a topic whose reads are given up.
type unansweredTopic struct{}

func (unansweredTopic) Newest(context.Context) (follow.Batch, error) { return follow.Batch{}, nil }

func (unansweredTopic) Since(_ context.Context, _ follow.Position, wait time.Duration) (follow.Batch, error) {
	time.Sleep(wait + time.Second)
	return follow.Batch{}, follow.ErrSilent
}
