package relay

import (
	"bytes"
	"context"
	"math/rand/v2"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/poplarcroft/poplarcroft/internal/content"
	"github.com/poplarcroft/poplarcroft/internal/eventlog"
	"github.com/poplarcroft/poplarcroft/internal/follow"
)

// largeValue returns a value above MaxInlineBytes that does not compress well.
func largeValue(seed uint64) []byte {
	random := rand.New(rand.NewPCG(seed, 1))
	value := make([]byte, 2*MaxInlineBytes+1)
	for i := range value {
		value[i] = byte(random.Uint32())
	}
	return value
}

// topicSource is a topic that the platform holds.
type topicSource struct {
	records []follow.Record
	reads   int
}

func (s *topicSource) append(key string, value []byte) {
	s.records = append(s.records, follow.Record{Key: key, Value: value, Offset: uint64(len(s.records))})
}

func (s *topicSource) Newest(context.Context) (follow.Batch, error) {
	return follow.Batch{Records: s.records, End: uint64(len(s.records))}, nil
}

func (s *topicSource) Since(_ context.Context, from follow.Position, _ time.Duration) (follow.Batch, error) {
	s.reads++
	return follow.Batch{Records: s.records[from.Offset:], End: uint64(len(s.records))}, nil
}

// pair is a relay and a host that queries it.
type pair struct {
	relay, host             *Relay
	relaySource, hostSource *Source
	direct                  *topicSource
	// query changes a query before it arrives; nil leaves it.
	query func(*Ask)
	// chunks replaces the transfer of chunks; nil leaves it.
	chunks func(context.Context, content.ChunksArgs) (content.ChunksReply, error)
	// announced holds the positions after the records that were announced to the host.
	announced []follow.Position
}

func newPair(direct *topicSource) *pair {
	p := &pair{direct: &topicSource{records: direct.records}}
	clockStart := time.Now()
	clock := func() time.Duration { return time.Since(clockStart) }
	hosts := []Host{{Name: "relay", Addr: "relay"}, {Name: "host", Addr: "host"}}
	relayContents := &content.Fetcher{Store: content.NewStore()}
	p.relay = New(Config{
		Hosts: func() ([]Host, int) { return hosts, 0 }, MustReadDirectly: func(Topic) bool { return false }, Others: func() []Host { return nil },
		Contents: relayContents, Clock: clock, Log: eventlog.Discard(),
	})
	p.host = New(Config{
		Hosts: func() ([]Host, int) { return hosts, 1 }, MustReadDirectly: func(Topic) bool { return false }, Others: func() []Host { return nil },
		Ask: func(ctx context.Context, _ Host, ask Ask) (Reply, error) {
			if p.query != nil {
				p.query(&ask)
			}
			return p.relay.Serve(ctx, ask), nil
		},
		Contents: &content.Fetcher{Store: content.NewStore(), Ask: func(ctx context.Context, _ string, args content.ChunksArgs) (content.ChunksReply, error) {
			if p.chunks != nil {
				return p.chunks(ctx, args)
			}
			return relayContents.Store.Serve(args)
		}},
		OnReference: func(_ Topic, end follow.Position) { p.announced = append(p.announced, end) },
		Clock:       clock, Log: eventlog.Discard(),
	})
	p.relaySource = p.relay.Source("orders", direct, Options{})
	p.hostSource = p.host.Source("orders", p.direct, Options{})
	return p
}

func TestLargeValuesArriveByReference(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		direct := &topicSource{}
		direct.append("config", largeValue(1))
		direct.append("zone", []byte("small"))
		direct.append("config", largeValue(2))
		p := newPair(direct)
		_, err := p.relaySource.Since(t.Context(), follow.Position{}, 0)
		assert.NilError(t, err)
		batch, err := p.hostSource.Since(t.Context(), follow.Position{}, 0)
		assert.NilError(t, err)
		assert.Equal(t, len(batch.Records), 2, "the first version is replaced by a later one")
		assert.Equal(t, string(batch.Records[0].Value), "small")
		assert.Assert(t, bytes.Equal(batch.Records[1].Value, largeValue(2)))
		assert.Equal(t, batch.End, uint64(3))
		assert.DeepEqual(t, p.announced, []follow.Position{{Offset: 3}})
		assert.Equal(t, p.direct.reads, 0)
	})
}

// TestChangeAfterAStartCostsWhatItChanges checks that a host that has read a large value in a snapshot fetches only the changed part
// of the next version.
func TestChangeAfterAStartCostsWhatItChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		direct := &topicSource{}
		direct.append("config", largeValue(1))
		p := newPair(direct)
		_, err := p.hostSource.Newest(t.Context())
		assert.NilError(t, err)
		direct.append("config", append([]byte("changed"), largeValue(1)...))
		_, err = p.relaySource.Since(t.Context(), follow.Position{Offset: 1}, 0)
		assert.NilError(t, err)
		batch, err := p.hostSource.Since(t.Context(), follow.Position{Offset: 1}, 0)
		assert.NilError(t, err)
		assert.Equal(t, len(batch.Records[0].Value), len(largeValue(1))+len("changed"))
		fetched := p.host.config.Contents.Store.Counters.BytesFetched.Value()
		assert.Assert(t, fetched < int64(len(largeValue(1))/8), "%d bytes", fetched)
	})
}

// TestHostOfAnotherBuildGetsValues checks that a host whose build knows no references gets the values themselves.
func TestHostOfAnotherBuildGetsValues(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		direct := &topicSource{}
		direct.append("config", largeValue(1))
		p := newPair(direct)
		p.query = func(ask *Ask) { ask.References = false }
		_, err := p.relaySource.Since(t.Context(), follow.Position{}, 0)
		assert.NilError(t, err)
		batch, err := p.hostSource.Since(t.Context(), follow.Position{}, 0)
		assert.NilError(t, err)
		assert.Assert(t, bytes.Equal(batch.Records[0].Value, largeValue(1)))
		assert.Equal(t, p.host.config.Contents.Store.Counters.BytesFetched.Value(), int64(0))
	})
}

// TestSlowTransferGoesOnWithTheNewestVersion guards against a transfer that is given up because it takes long, or that goes on with a
// version that has been replaced.
func TestSlowTransferGoesOnWithTheNewestVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		direct := &topicSource{}
		direct.append("config", largeValue(1))
		p := newPair(direct)
		_, err := p.relaySource.Since(t.Context(), follow.Position{}, 0)
		assert.NilError(t, err)
		p.chunks = func(_ context.Context, args content.ChunksArgs) (content.ChunksReply, error) {
			time.Sleep(transferRound * 2 / 5)
			return p.relay.config.Contents.Store.Serve(args)
		}
		second := append([]byte("changed"), largeValue(1)...)
		time.AfterFunc(transferRound/2, func() {
			direct.append("config", second)
			p.relaySource.Since(context.Background(), follow.Position{Offset: 1}, 0)
		})
		began := time.Now()
		batch, err := p.hostSource.Since(t.Context(), follow.Position{}, 0)
		assert.NilError(t, err)
		assert.Equal(t, len(batch.Records), 1)
		assert.Assert(t, bytes.Equal(batch.Records[0].Value, second))
		assert.Assert(t, time.Since(began) > transferRound)
		assert.Equal(t, p.direct.reads, 0)
		assert.Equal(t, len(p.host.avoidedUntil), 0)
	})
}

// TestRelayThatDeliversNothingIsAvoided checks that a host reads from the platform if the relay tells of a value and then does not
// deliver it.
func TestRelayThatDeliversNothingIsAvoided(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		direct := &topicSource{}
		direct.append("config", largeValue(1))
		p := newPair(direct)
		p.direct.append("config", largeValue(1))
		_, err := p.relaySource.Since(t.Context(), follow.Position{}, 0)
		assert.NilError(t, err)
		p.chunks = func(ctx context.Context, _ content.ChunksArgs) (content.ChunksReply, error) {
			<-ctx.Done()
			return content.ChunksReply{}, ctx.Err()
		}
		batch, err := p.hostSource.Since(t.Context(), follow.Position{}, 0)
		assert.NilError(t, err)
		assert.Assert(t, bytes.Equal(batch.Records[0].Value, largeValue(1)))
		assert.Equal(t, p.direct.reads, 1)
		assert.Equal(t, len(p.host.avoidedUntil), 1)
	})
}

// TestMalformedReferencesAreRefused checks that a reference to a record that the reply does not have leads to a read from the platform.
func TestMalformedReferencesAreRefused(t *testing.T) {
	for _, index := range []int{-1, 1} {
		p := newPair(&topicSource{})
		reply := Reply{Records: []follow.Record{{Key: "config"}}, References: []Reference{{Record: index}}}
		assert.ErrorContains(t, p.hostSource.resolve(t.Context(), Host{Name: "relay"}, follow.UnknownEra, &reply), "refers to record")
	}
}

// TestClosedConnectionIsNoSilentRelay guards against a relay that is avoided because another call has closed the connection to it: a
// host with a narrow link that is asked in its place begins to read large records from the platform.
func TestClosedConnectionIsNoSilentRelay(t *testing.T) {
	for name, c := range map[string]struct {
		failures, reads int
	}{"closed once": {1, 0}, "does not accept connections": {100, 1}} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				direct := &topicSource{}
				direct.append("config", []byte("1"))
				p := newPair(direct)
				_, err := p.relaySource.Since(t.Context(), follow.Position{}, 0)
				assert.NilError(t, err)
				working := p.host.config.Ask
				failures := c.failures
				p.host.config.Ask = func(ctx context.Context, host Host, ask Ask) (Reply, error) {
					if failures--; failures >= 0 {
						return Reply{}, net.ErrClosed
					}
					return working(ctx, host, ask)
				}
				batch, err := p.hostSource.Since(t.Context(), follow.Position{}, 0)
				assert.NilError(t, err)
				assert.Equal(t, len(batch.Records), 1)
				assert.Equal(t, p.direct.reads, c.reads)
				assert.Equal(t, len(p.host.avoidedUntil), c.reads)
			})
		})
	}
}
