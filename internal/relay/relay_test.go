package relay

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"github.com/poplarcroft/poplarcroft/internal/eventlog"
	"github.com/poplarcroft/poplarcroft/internal/follow"
	"github.com/poplarcroft/poplarcroft/internal/loop"
)

var errNoAnswer = errors.New("no answer")

// testZone is a zone with hosts that follow one topic.
type testZone struct {
	started time.Time
	// mu guards the fields below and those of the hosts.
	mu      sync.Mutex
	records []follow.Record
	hosts   []*testHost
	// others are hosts of another zone. They are among hosts, too.
	others []Host
}

// testHost is one host. An unresponsive one does not answer other hosts; a partitioned one gets
// no answers from the platform. reads counts reads from the platform; next is how far the host
// has read the topic.
type testHost struct {
	zone                      *testZone
	name                      string
	relay                     *Relay
	source                    *Source
	unresponsive, partitioned bool
	leads                     bool
	// slow makes each read from the platform take 900 ms.
	slow  bool
	reads int
	next  uint64
}

func newTestZone(hosts int, newFilter func() Filter) *testZone {
	z := &testZone{started: time.Now()}
	var list []Host
	for i := range hosts {
		list = append(list, Host{Name: fmt.Sprint(i)})
	}
	for i := range hosts {
		h := &testHost{zone: z, name: fmt.Sprint(i)}
		h.relay = New(Config{
			Hosts:            func() ([]Host, int) { return list, i },
			MustReadDirectly: func(Topic) bool { return h.leads },
			Others:           func() []Host { return z.others },
			Ask:              h.ask, Clock: z.now, Log: eventlog.Discard(),
		})
		h.source = h.relay.Source("servers", h, Options{NewFilter: newFilter, MinInterval: func() time.Duration { return time.Second }})
		z.hosts = append(z.hosts, h)
	}
	return z
}

func (z *testZone) now() time.Duration { return time.Since(z.started) }

func (z *testZone) append(value string) {
	z.mu.Lock()
	defer z.mu.Unlock()
	z.records = append(z.records, follow.Record{Key: "a", Value: []byte(value), Offset: uint64(len(z.records))})
}

// ask implements Config.Ask.
func (h *testHost) ask(ctx context.Context, host Host, ask Ask) (Reply, error) {
	for _, other := range h.zone.hosts {
		if other.name == host.Name && !h.zone.has(&other.unresponsive) {
			return other.relay.Serve(ctx, ask), nil
		}
	}
	<-ctx.Done()
	return Reply{}, errNoAnswer
}

// Newest implements follow.Source.
func (h *testHost) Newest(context.Context) (follow.Batch, error) { return follow.Batch{}, nil }

// has reads a flag.
func (z *testZone) has(flag *bool) bool {
	z.mu.Lock()
	defer z.mu.Unlock()
	return *flag
}

// set sets flags.
func (z *testZone) set(value bool, flags ...*bool) {
	z.mu.Lock()
	defer z.mu.Unlock()
	for _, flag := range flags {
		*flag = value
	}
}

// Since implements follow.Source. It does not wait.
func (h *testHost) Since(ctx context.Context, from follow.Position, _ time.Duration) (follow.Batch, error) {
	z := h.zone
	if z.has(&h.partitioned) {
		loop.Sleep(ctx, time.Second)
		return follow.Batch{}, errNoAnswer
	}
	if z.has(&h.slow) {
		loop.Sleep(ctx, 900*time.Millisecond)
		if ctx.Err() != nil {
			return follow.Batch{}, ctx.Err()
		}
	}
	z.mu.Lock()
	defer z.mu.Unlock()
	h.reads++
	return follow.Batch{Records: z.records[from.Offset:], End: uint64(len(z.records))}, nil
}

// followTopic reads the topic until the context ends.
func (h *testHost) followTopic(ctx context.Context) {
	next := uint64(0)
	for ctx.Err() == nil {
		batch, err := h.source.Since(ctx, follow.Position{Offset: next}, 0)
		if err != nil {
			time.Sleep(100 * time.Millisecond)
			continue
		}
		next = batch.End
		h.zone.mu.Lock()
		h.next = next
		h.zone.mu.Unlock()
	}
}

// takeReadCount returns the number of reads from the platform since the last call, and the
// offset up to which the host has read the topic.
func (h *testHost) takeReadCount() (reads int, next uint64) {
	h.zone.mu.Lock()
	defer h.zone.mu.Unlock()
	reads = h.reads
	h.reads = 0
	return reads, h.next
}

// settleTime is how long the hosts follow the topic before a test.
const settleTime = 5050 * time.Millisecond

// withFollowers runs the test after all hosts have followed the topic for settleTime; they go on
// meanwhile.
func (z *testZone) withFollowers(t *testing.T, test func()) {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	for _, h := range z.hosts {
		go h.followTopic(ctx)
	}
	// Reads from the platform begin at whole seconds. The test begins between two of them, so that
	// counts do not depend on scheduling.
	time.Sleep(settleTime)
	for _, h := range z.hosts {
		h.takeReadCount()
	}
	test()
	cancel()
	time.Sleep(2 * time.Second)
}

func TestOneHostReadsForItsZone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		z := newTestZone(3, nil)
		z.withFollowers(t, func() {
			z.append("1")
			time.Sleep(1100 * time.Millisecond)
			for i, h := range z.hosts {
				reads, next := h.takeReadCount()
				assert.Equal(t, next, uint64(1), h.name)
				assert.Equal(t, reads > 0, i == 0, h.name)
			}
			time.Sleep(10 * time.Second)
			for i, h := range z.hosts {
				reads, _ := h.takeReadCount()
				want := 0
				if i == 0 {
					want = 10
				}
				assert.Equal(t, reads, want, h.name)
			}
		})
	})
}

// TestRelayFailureIsTolerated checks that a record written while the relay fails reaches all other
// hosts within 2 s, the time within which a configuration must be in force.
func TestRelayFailureIsTolerated(t *testing.T) {
	for name, flags := range map[string]func(*testHost) []*bool{
		"unresponsive":                  func(h *testHost) []*bool { return []*bool{&h.unresponsive} },
		"partitioned from the platform": func(h *testHost) []*bool { return []*bool{&h.partitioned} },
		"partitioned from everything":   func(h *testHost) []*bool { return []*bool{&h.unresponsive, &h.partitioned} },
	} {
		t.Run(name, func(t *testing.T) {
			for phase := range 20 {
				synctest.Test(t, func(t *testing.T) {
					z := newTestZone(3, nil)
					z.withFollowers(t, func() {
						time.Sleep(time.Duration(phase) * 50 * time.Millisecond)
						z.set(true, flags(z.hosts[0])...)
						z.append("1")
						time.Sleep(1800 * time.Millisecond)
						for _, h := range z.hosts[1:] {
							_, next := h.takeReadCount()
							assert.Equal(t, next, uint64(1), h.name)
						}
						// By then the next host in the order has taken over as relay.
						time.Sleep(10 * time.Second)
						z.hosts[2].takeReadCount()
						time.Sleep(2 * time.Second)
						reads, _ := z.hosts[2].takeReadCount()
						assert.Assert(t, reads <= 1, "%d reads", reads)
					})
				})
			}
		})
	}
}

// TestReplyAgesAreNotTooLow checks that the ages in a reply never make its records seem newer than they may be.
func TestReplyAgesAreNotTooLow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		started := time.Now()
		now := func() time.Duration { return time.Since(started) }
		r := New(Config{Hosts: func() ([]Host, int) { return nil, 0 }, MustReadDirectly: func(Topic) bool { return true }, Clock: now, Log: eventlog.Discard()})
		r.Source("servers", nil, Options{})
		record := follow.Record{Key: "a", Offset: 4}
		r.recordRead("servers", 4, follow.Batch{Records: []follow.Record{record}, End: 5}, now())
		time.Sleep(time.Second)
		reply := r.Serve(t.Context(), Ask{Topic: "servers", From: follow.Position{Offset: 4}, Wait: relayWait})
		assert.DeepEqual(t, reply.Age, follow.Age{Relayed: true, Arrived: time.Second, Confirmed: time.Second})

		// A read has failed, so the next record may have been written right after the last successful one.
		r.recordFailedRead("servers", errNoAnswer)
		record.Offset = 5
		time.Sleep(time.Second)
		r.recordRead("servers", 5, follow.Batch{Records: []follow.Record{record}, End: 6}, now())
		reply = r.Serve(t.Context(), Ask{Topic: "servers", From: follow.Position{Offset: 5}, Wait: relayWait})
		assert.DeepEqual(t, reply.Age, follow.Age{Relayed: true, Arrived: 2 * time.Second, Confirmed: 0})
	})
}

func TestRelayAnswersOnlyFromItsCache(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		started := time.Now()
		now := func() time.Duration { return time.Since(started) }
		r := New(Config{Hosts: func() ([]Host, int) { return nil, 0 }, MustReadDirectly: func(Topic) bool { return true }, Clock: now, Log: eventlog.Discard()})
		r.Source("servers", nil, Options{})
		serve := func(offset uint64) Outcome {
			return r.Serve(t.Context(), Ask{Topic: "servers", From: follow.Position{Offset: offset}, Wait: relayWait}).Outcome
		}
		assert.Equal(t, serve(0), NotReading)
		assert.Equal(t, r.Serve(t.Context(), Ask{Topic: "unknown"}).Outcome, NotReading)
		r.recordRead("servers", 4, follow.Batch{End: 7}, now())
		assert.Equal(t, serve(3), NotReading)
		assert.Equal(t, serve(7), Answered)
		assert.Equal(t, serve(8), Behind)
		time.Sleep(maxContactAge)
		assert.Equal(t, serve(7), NoContact)
	})
}

// TestCacheIsBounded checks that the cache keeps to its bounds, and that it does not answer a host
// that needs records which were dropped.
func TestCacheIsBounded(t *testing.T) {
	c := newTopicCache(func() Filter { return all })
	value := make([]byte, maxCachedBytes/4-len("0"))
	for i := range uint64(10) {
		c.add(i, follow.Batch{Records: []follow.Record{{Key: fmt.Sprint(i), Value: value, Offset: i}}, End: i + 1}, nil, 0, 0)
	}
	assert.Assert(t, c.bytes <= maxCachedBytes)
	assert.Assert(t, !c.has(follow.Position{Offset: 5}))
	assert.Equal(t, len(c.recordsSince(Ask{From: follow.Position{Offset: 6}, References: false}, 0).Records), 4)
}

// TestReplacedRecordsLeaveTheCache checks that a record is dropped when a later one of its key arrives, and that hosts that are
// behind still get all that they lack.
func TestReplacedRecordsLeaveTheCache(t *testing.T) {
	c := newTopicCache(func() Filter { return all })
	for i := range uint64(1000) {
		c.add(i, follow.Batch{Records: []follow.Record{{Key: "plan", Value: make([]byte, maxCachedBytes/4), Offset: i}}, End: i + 1}, nil, 0, 0)
	}
	c.add(1000, follow.Batch{Records: []follow.Record{{Key: "host/a", Offset: 1000}}, End: 1001}, nil, 0, 0)
	assert.Equal(t, c.bytes, maxCachedBytes/4+len("plan")+len("host/a"))
	assert.Assert(t, c.has(follow.Position{Offset: 1}))
	records := c.recordsSince(Ask{From: follow.Position{Offset: 1}, References: false}, 0).Records
	assert.Equal(t, len(records), 2)
	assert.Equal(t, records[0].Offset, uint64(999))
}

// TestRecordAfterALargeOneDoesNotDisplaceIt guards against a zone whose hosts all read a large configuration from the platform,
// because an evacuation that was written after it has displaced it from their relay's cache.
func TestRecordAfterALargeOneDoesNotDisplaceIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		direct := &topicSource{}
		direct.append("config", make([]byte, 2*maxCachedBytes))
		direct.append("evacuate/zlin", []byte("{}"))
		p := newPair(direct)
		_, err := p.relaySource.Since(t.Context(), follow.Position{}, 0)
		assert.NilError(t, err)
		batch, err := p.hostSource.Since(t.Context(), follow.Position{}, 0)
		assert.NilError(t, err)
		assert.Equal(t, len(batch.Records), 2)
		assert.Equal(t, len(batch.Records[0].Value), 2*maxCachedBytes)
		assert.Equal(t, p.direct.reads, 0)
	})
}

// TestFilterRestartsAfterGap checks that a record is kept if the host has not read the ones
// before it: the filter must not compare it with records from before the gap.
func TestFilterRestartsAfterGap(t *testing.T) {
	newFilter := func() Filter {
		last := ""
		return func(record follow.Record) bool {
			isNew := string(record.Value) != last
			last = string(record.Value)
			return isNew
		}
	}
	c := newTopicCache(newFilter)
	add := func(offset uint64, value string) {
		c.prepareRead(follow.Position{Offset: offset})
		c.add(offset, follow.Batch{Records: []follow.Record{{Value: []byte(value), Offset: offset}}, End: offset + 1}, nil, 0, 0)
	}
	add(0, "ready")
	add(1, "ready")
	assert.Equal(t, len(c.recordsSince(Ask{From: follow.Position{Offset: 1}, References: false}, 0).Records), 0)
	add(7, "ready")
	assert.Equal(t, len(c.recordsSince(Ask{From: follow.Position{Offset: 7}, References: false}, 0).Records), 1)
}

// firstReadUnanswered is a topic whose first read is never answered.
type firstReadUnanswered struct{ reads int }

func (s *firstReadUnanswered) Newest(context.Context) (follow.Batch, error) {
	return follow.Batch{}, nil
}

func (s *firstReadUnanswered) Since(ctx context.Context, from follow.Position, _ time.Duration) (follow.Batch, error) {
	s.reads++
	if s.reads == 1 {
		<-ctx.Done()
		return follow.Batch{}, ctx.Err()
	}
	return follow.Batch{Records: []follow.Record{{Key: "config", Offset: from.Offset}}, End: from.Offset + 1}, nil
}

// TestReadFromBeforeAnOutageIsCanceled is a regression test (trouble-3 of the Moravia run): a read of
// the operator records that began during an outage of the platform was not answered after the
// outage, so a host kept an old configuration.
func TestReadFromBeforeAnOutageIsCanceled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		z := newTestZone(1, nil)
		h := z.hosts[0]
		z.set(true, &h.partitioned)
		orders := h.relay.Source("orders", &firstReadUnanswered{}, Options{})
		ended := make(chan error, 1)
		go func() {
			_, err := orders.Since(t.Context(), follow.Position{Offset: 3}, time.Minute)
			ended <- err
		}()
		z.withFollowers(t, func() {
			z.set(false, &h.partitioned)
			time.Sleep(2200 * time.Millisecond)
			select {
			case err := <-ended:
				assert.ErrorIs(t, err, errContactLost)
			default:
				t.Fatal("the read from before the outage has not been canceled")
			}
			batch, err := orders.Since(t.Context(), follow.Position{Offset: 3}, time.Minute)
			assert.NilError(t, err)
			assert.Equal(t, batch.End, uint64(4))
		})
	})
}

// TestRelayDoesNotAnswerAfterAGap is a regression test (scale-1 of the Moravia run): the records
// after a relay's last read had been deleted, so it read the newest record of each key instead.
// For seconds it answered other hosts from its old cache that there was nothing new. A query in
// progress must end with NotReading at once.
func TestRelayDoesNotAnswerAfterAGap(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		started := time.Now()
		now := func() time.Duration { return time.Since(started) }
		r := New(Config{Hosts: func() ([]Host, int) { return nil, 0 }, MustReadDirectly: func(Topic) bool { return true }, Clock: now, Log: eventlog.Discard()})
		orders := r.Source("orders", &firstReadUnanswered{}, Options{})
		r.recordRead("orders", 0, follow.Batch{End: 1}, now())
		outcome := make(chan Outcome)
		go func() {
			outcome <- r.Serve(t.Context(), Ask{Topic: "orders", From: follow.Position{Offset: 1}, Wait: relayWait}).Outcome
		}()
		time.Sleep(100 * time.Millisecond)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go orders.Since(ctx, follow.Position{Offset: 3}, time.Minute)
		synctest.Wait()
		assert.Equal(t, <-outcome, NotReading)
		assert.Equal(t, now(), 100*time.Millisecond)
		cancel()
		synctest.Wait()
	})
}

// TestRelayDoesNotAnswerAcrossARestore checks that a relay answers no host that has read the topic
// in another era: their offsets belong to different records. A query in progress ends at once, also
// if the relay has learned of the restore from another topic.
func TestRelayDoesNotAnswerAcrossARestore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		started := time.Now()
		now := func() time.Duration { return time.Since(started) }
		r := New(Config{Hosts: func() ([]Host, int) { return nil, 0 }, MustReadDirectly: func(Topic) bool { return true }, Clock: now, Log: eventlog.Discard()})
		orders := r.Source("orders", &firstReadUnanswered{}, Options{})
		r.Source("servers", nil, Options{})
		serve := func(era follow.Era) Outcome {
			return r.Serve(t.Context(), Ask{Topic: "orders", From: follow.Position{Era: era, Offset: 5}}).Outcome
		}
		r.recordRead("orders", 5, follow.Batch{Era: 1, End: 5}, now())
		assert.Equal(t, serve(1), Answered)
		assert.Equal(t, serve(2), NotReading)
		read := make(chan error, 1)
		go func() {
			_, err := orders.Since(t.Context(), follow.Position{Era: 1, Offset: 5}, time.Minute)
			read <- err
		}()
		outcome := make(chan Outcome, 1)
		go func() {
			outcome <- r.Serve(t.Context(), Ask{Topic: "orders", From: follow.Position{Era: 1, Offset: 5}, Wait: relayWait}).Outcome
		}()
		time.Sleep(100 * time.Millisecond)
		r.recordRead("servers", 0, follow.Batch{Era: 2, End: 3}, now())
		assert.Equal(t, <-outcome, NotReading)
		assert.ErrorIs(t, <-read, errContactRegained)
		assert.Equal(t, now(), 100*time.Millisecond)
		assert.Equal(t, serve(1), NotReading)
		r.recordRead("orders", 4, follow.Batch{Era: 2, End: 7}, now())
		assert.Equal(t, serve(1), NotReading)
		assert.Equal(t, serve(2), Answered)
	})
}
