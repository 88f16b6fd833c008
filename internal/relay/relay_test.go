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
)

var errSilent = errors.New("no answer")

// fixture is a zone with hosts that follow one topic.
type fixture struct {
	started time.Time
	// mu guards what follows and the fields of the hosts.
	mu      sync.Mutex
	records []follow.Record
	hosts   []*testHost
}

// testHost is one host: silent ones give no answer to others, cut ones get none from the platform.
type testHost struct {
	fixture     *fixture
	name        string
	relay       *Relay
	source      *Source
	silent, cut bool
	reads       int
	next        uint64
}

func newFixture(hosts int, newFilter func() Filter) *fixture {
	f := &fixture{started: time.Now()}
	var list []Host
	for i := range hosts {
		list = append(list, Host{Name: fmt.Sprint(i)})
	}
	for i := range hosts {
		h := &testHost{fixture: f, name: fmt.Sprint(i)}
		h.relay = New(Config{
			Hosts: func() ([]Host, int) { return list, i },
			Alone: func() bool { return false },
			Ask:   h.ask, Clock: f.now, Log: eventlog.Discard(),
		})
		h.source = h.relay.Source("servers", h, Options{NewFilter: newFilter, Every: func() time.Duration { return time.Second }})
		f.hosts = append(f.hosts, h)
	}
	return f
}

func (f *fixture) now() time.Duration { return time.Since(f.started) }

func (f *fixture) append(value string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.records = append(f.records, follow.Record{Key: "a", Value: []byte(value), Offset: uint64(len(f.records))})
}

// ask asks another host.
func (h *testHost) ask(ctx context.Context, host Host, ask Ask) (Reply, error) {
	for _, other := range h.fixture.hosts {
		if other.name == host.Name && !h.fixture.has(&other.silent) {
			return other.relay.Serve(ctx, ask), nil
		}
	}
	<-ctx.Done()
	return Reply{}, errSilent
}

// Newest implements follow.Source.
func (h *testHost) Newest(context.Context) (follow.Batch, error) { return follow.Batch{}, nil }

// has reads a flag.
func (f *fixture) has(flag *bool) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return *flag
}

// set sets flags.
func (f *fixture) set(value bool, flags ...*bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, flag := range flags {
		*flag = value
	}
}

// Since implements follow.Source. It does not wait.
func (h *testHost) Since(_ context.Context, offset uint64, _ time.Duration) (follow.Batch, error) {
	f := h.fixture
	if f.has(&h.cut) {
		time.Sleep(time.Second)
		return follow.Batch{}, errSilent
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	h.reads++
	return follow.Batch{Records: f.records[offset:], End: uint64(len(f.records))}, nil
}

// run follows the topic.
func (h *testHost) run(ctx context.Context) {
	next := uint64(0)
	for ctx.Err() == nil {
		batch, err := h.source.Since(ctx, next, 0)
		if err != nil {
			time.Sleep(100 * time.Millisecond)
			continue
		}
		next = batch.End
		h.fixture.mu.Lock()
		h.next = next
		h.fixture.mu.Unlock()
	}
}

// count returns how often a host has read at the platform since it was last asked, and how far it knows the topic.
func (h *testHost) count() (reads int, next uint64) {
	h.fixture.mu.Lock()
	defer h.fixture.mu.Unlock()
	reads = h.reads
	h.reads = 0
	return reads, h.next
}

// settling is how long the hosts follow the topic before a test.
const settling = 5050 * time.Millisecond

// play lets all hosts follow the topic for a while, then runs the test.
func (f *fixture) play(t *testing.T, test func()) {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	for _, h := range f.hosts {
		go h.run(ctx)
	}
	// Reads at the platform begin at whole seconds; the count begins between two.
	time.Sleep(settling)
	for _, h := range f.hosts {
		h.count()
	}
	test()
	cancel()
	time.Sleep(2 * time.Second)
}

func TestOneHostReadsForItsZone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(3, nil)
		f.play(t, func() {
			f.append("1")
			time.Sleep(1100 * time.Millisecond)
			for i, h := range f.hosts {
				reads, next := h.count()
				assert.Equal(t, next, uint64(1), h.name)
				assert.Equal(t, reads > 0, i == 0, h.name)
			}
			time.Sleep(10 * time.Second)
			for i, h := range f.hosts {
				reads, _ := h.count()
				want := 0
				if i == 0 {
					want = 10
				}
				assert.Equal(t, reads, want, h.name)
			}
		})
	})
}

// TestLossOfRelayIsBorne states that what is written while the relay fails is known to all
// others within the time in which a configuration must be in force, 2 s.
func TestLossOfRelayIsBorne(t *testing.T) {
	for name, flags := range map[string]func(*testHost) []*bool{
		"silent":                func(h *testHost) []*bool { return []*bool{&h.silent} },
		"cut from the platform": func(h *testHost) []*bool { return []*bool{&h.cut} },
		"cut from everything":   func(h *testHost) []*bool { return []*bool{&h.silent, &h.cut} },
	} {
		t.Run(name, func(t *testing.T) {
			for phase := range 20 {
				synctest.Test(t, func(t *testing.T) {
					f := newFixture(3, nil)
					f.play(t, func() {
						time.Sleep(time.Duration(phase) * 50 * time.Millisecond)
						f.set(true, flags(f.hosts[0])...)
						f.append("1")
						time.Sleep(1800 * time.Millisecond)
						for _, h := range f.hosts[1:] {
							_, next := h.count()
							assert.Equal(t, next, uint64(1), h.name)
						}
						// The next host reads for the others then.
						time.Sleep(10 * time.Second)
						f.hosts[2].count()
						time.Sleep(2 * time.Second)
						reads, _ := f.hosts[2].count()
						assert.Assert(t, reads <= 1, "%d reads", reads)
					})
				})
			}
		})
	}
}

// TestAgesBoundWhatIsTold states that the ages of a reply never make knowledge newer than it is.
func TestAgesBoundWhatIsTold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		started := time.Now()
		now := func() time.Duration { return time.Since(started) }
		r := New(Config{Hosts: func() ([]Host, int) { return nil, 0 }, Alone: func() bool { return true }, Clock: now, Log: eventlog.Discard()})
		r.Source("servers", nil, Options{})
		record := follow.Record{Key: "a", Offset: 4}
		r.noteRead("servers", 4, follow.Batch{Records: []follow.Record{record}, End: 5}, now())
		time.Sleep(time.Second)
		reply := r.Serve(t.Context(), Ask{Topic: "servers", Offset: 4, Wait: askWait})
		assert.DeepEqual(t, reply.Age, follow.Age{Relayed: true, Arrived: time.Second, Confirmed: time.Second})

		// A read has failed: the next record may have come right after the last one that did not.
		r.noteFailedRead("servers", errSilent)
		record.Offset = 5
		time.Sleep(time.Second)
		r.noteRead("servers", 5, follow.Batch{Records: []follow.Record{record}, End: 6}, now())
		reply = r.Serve(t.Context(), Ask{Topic: "servers", Offset: 5, Wait: askWait})
		assert.DeepEqual(t, reply.Age, follow.Age{Relayed: true, Arrived: 2 * time.Second, Confirmed: 0})
	})
}

func TestRelayAnswersOnlyWhatItKnows(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		started := time.Now()
		now := func() time.Duration { return time.Since(started) }
		r := New(Config{Hosts: func() ([]Host, int) { return nil, 0 }, Alone: func() bool { return true }, Clock: now, Log: eventlog.Discard()})
		r.Source("servers", nil, Options{})
		serve := func(offset uint64) Outcome {
			return r.Serve(t.Context(), Ask{Topic: "servers", Offset: offset, Wait: askWait}).Outcome
		}
		assert.Equal(t, serve(0), NotReading)
		assert.Equal(t, r.Serve(t.Context(), Ask{Topic: "unknown"}).Outcome, NotReading)
		r.noteRead("servers", 4, follow.Batch{End: 7}, now())
		assert.Equal(t, serve(3), NotReading)
		assert.Equal(t, serve(7), Told)
		assert.Equal(t, serve(8), Behind)
		time.Sleep(contactLimit)
		assert.Equal(t, serve(7), NoContact)
	})
}

// TestFeedIsBounded states that a host that is too far behind is sent to the platform.
func TestFeedIsBounded(t *testing.T) {
	f := newFeed(func() Filter { return all })
	value := make([]byte, maxFeedBytes/4)
	for i := range uint64(10) {
		f.add(i, follow.Batch{Records: []follow.Record{{Value: value, Offset: i}}, End: i + 1}, 0, 0)
	}
	assert.Assert(t, f.bytes <= maxFeedBytes)
	assert.Assert(t, !f.covers(5))
	assert.Equal(t, len(f.since(6, 0).Records), 4)
}

// TestFilterBeginsAnewAfterAGap states that a record is passed on where the host has not read
// those before it.
func TestFilterBeginsAnewAfterAGap(t *testing.T) {
	newFilter := func() Filter {
		last := ""
		return func(record follow.Record) bool {
			tells := string(record.Value) != last
			last = string(record.Value)
			return tells
		}
	}
	f := newFeed(newFilter)
	add := func(offset uint64, value string) {
		f.align(offset)
		f.add(offset, follow.Batch{Records: []follow.Record{{Value: []byte(value), Offset: offset}}, End: offset + 1}, 0, 0)
	}
	add(0, "ready")
	add(1, "ready")
	assert.Equal(t, len(f.since(1, 0).Records), 0)
	add(7, "ready")
	assert.Equal(t, len(f.since(7, 0).Records), 1)
}

// lostAnswer is a topic whose first read is never answered.
type lostAnswer struct{ reads int }

func (s *lostAnswer) Newest(context.Context) (follow.Batch, error) { return follow.Batch{}, nil }

func (s *lostAnswer) Since(ctx context.Context, offset uint64, _ time.Duration) (follow.Batch, error) {
	s.reads++
	if s.reads == 1 {
		<-ctx.Done()
		return follow.Batch{}, ctx.Err()
	}
	return follow.Batch{Records: []follow.Record{{Key: "config", Offset: offset}}, End: offset + 1}, nil
}

// TestReadFromBeforeAnOutageIsEnded replays trouble-3 of Moravia: a read of the operators' records that began
// while the platform was silent was not answered after its return, and a host kept an old configuration.
func TestReadFromBeforeAnOutageIsEnded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(1, nil)
		h := f.hosts[0]
		f.set(true, &h.cut)
		orders := h.relay.Source("orders", &lostAnswer{}, Options{})
		ended := make(chan error, 1)
		go func() {
			_, err := orders.Since(t.Context(), 3, time.Minute)
			ended <- err
		}()
		f.play(t, func() {
			f.set(false, &h.cut)
			time.Sleep(2200 * time.Millisecond)
			select {
			case err := <-ended:
				assert.ErrorIs(t, err, errRegained)
			default:
				t.Fatal("the read goes on")
			}
			batch, err := orders.Since(t.Context(), 3, time.Minute)
			assert.NilError(t, err)
			assert.Equal(t, batch.End, uint64(4))
		})
	})
}

// TestRelayThatReadAnewTellsNothing replays scale-1 of Moravia: the records after a relay's last read were
// deleted, it read the newest ones, and told the others for seconds that there was nothing new.
func TestRelayThatReadAnewTellsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		started := time.Now()
		now := func() time.Duration { return time.Since(started) }
		r := New(Config{Hosts: func() ([]Host, int) { return nil, 0 }, Alone: func() bool { return true }, Clock: now, Log: eventlog.Discard()})
		orders := r.Source("orders", &lostAnswer{}, Options{})
		r.noteRead("orders", 0, follow.Batch{End: 1}, now())
		asked := make(chan Outcome)
		go func() { asked <- r.Serve(t.Context(), Ask{Topic: "orders", Offset: 1, Wait: askWait}).Outcome }()
		time.Sleep(100 * time.Millisecond)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go orders.Since(ctx, 3, time.Minute)
		synctest.Wait()
		assert.Equal(t, <-asked, NotReading)
		assert.Equal(t, now(), 100*time.Millisecond)
		cancel()
		synctest.Wait()
	})
}
