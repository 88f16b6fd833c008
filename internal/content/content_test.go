package content

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// routes returns a value of lines like those of a configuration.
func routes(count int) []byte {
	random := rand.New(rand.NewPCG(1, 1))
	var value bytes.Buffer
	for range count {
		fmt.Fprintf(&value, `"r-%08x":{"host":"%08x.example","path_prefix":"/%08x/","route_type":"safe","timeout_s":2.5,"aim_s":0.5,"service":"archiv"},`,
			random.Uint32(), random.Uint32(), random.Uint32())
	}
	return value.Bytes()
}

// holder is a host that has values.
type holder struct {
	store *Store

	mu    sync.Mutex
	asked int
	// answers limits the number of messages that are answered; the others time out. A negative one sets no limit.
	answers int
	// corrupt damages replies.
	corrupt bool
}

func newHolder(values ...[]byte) *holder {
	h := &holder{store: NewStore(), answers: -1}
	for _, value := range values {
		h.store.Add("config", value)
	}
	return h
}

func (h *holder) ask(ctx context.Context, args ChunksArgs) (ChunksReply, error) {
	h.mu.Lock()
	h.asked++
	silent := h.answers == 0
	if h.answers > 0 {
		h.answers--
	}
	h.mu.Unlock()
	if silent {
		<-ctx.Done()
		return ChunksReply{}, ctx.Err()
	}
	reply, err := h.store.Serve(args)
	if h.corrupt && len(reply.IDs) > 0 {
		reply.IDs[0]++
	}
	return reply, err
}

// fetcher returns a Fetcher that reaches the holders by their numbers.
func fetcher(holders ...*holder) *Fetcher {
	return &Fetcher{Store: NewStore(), Ask: func(ctx context.Context, addr string, args ChunksArgs) (ChunksReply, error) {
		var number int
		fmt.Sscan(addr, &number)
		return holders[number].ask(ctx, args)
	}}
}

func TestValueArrivesInBoundedMessages(t *testing.T) {
	value := routes(6000)
	from := newHolder(value)
	f := fetcher(from)
	got, err := f.Fetch(t.Context(), "config", describe(value), []string{"0"})
	assert.NilError(t, err)
	assert.Assert(t, bytes.Equal(got, value))
	assert.Assert(t, from.asked >= len(value)/messageBytes, "%d messages", from.asked)
	assert.Assert(t, f.Store.Counters.BytesFetched.Value() < int64(len(value)/3), "%d bytes", f.Store.Counters.BytesFetched.Value())
}

// TestChangeCostsWhatItChanges checks that a new version of a large value costs a few chunks: two for the version number and one
// or two for a route in the middle.
func TestChangeCostsWhatItChanges(t *testing.T) {
	base := routes(6000)
	first := append([]byte(`{"version":"r7",`), base...)
	second := append([]byte(`{"version":"r10",`), base[:len(base)/2]...)
	second = append(append(second, `"r-new":{"host":"a.example"},`...), base[len(base)/2:]...)
	f := fetcher(newHolder(first, second))
	f.Store.Add("config", first)
	got, err := f.Fetch(t.Context(), "config", describe(second), []string{"0"})
	assert.NilError(t, err)
	assert.Assert(t, bytes.Equal(got, second))
	assert.Assert(t, f.Store.Counters.BytesFetched.Value() < int64(len(second)/20), "%d bytes", f.Store.Counters.BytesFetched.Value())
}

// TestInterruptedTransferGoesOn checks that a transfer from a source that falls silent goes on where it ended, from another source.
func TestInterruptedTransferGoesOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		value := routes(6000)
		silent, other := newHolder(value), newHolder(value)
		silent.answers = 7
		f := fetcher(silent, other)
		began := time.Now()
		got, err := f.Fetch(t.Context(), "config", describe(value), []string{"0", "1"})
		assert.NilError(t, err)
		assert.Assert(t, bytes.Equal(got, value))
		assert.Equal(t, time.Since(began), maxTimeouts*messageTimeout)
		whole := fetcher(newHolder(value))
		_, err = whole.Fetch(t.Context(), "config", describe(value), []string{"0"})
		assert.NilError(t, err)
		repeated := f.Store.Counters.BytesFetched.Value() - whole.Store.Counters.BytesFetched.Value()
		assert.Assert(t, repeated < messageBytes, "%d bytes more than without the interruption", repeated)
	})
}

// TestFetchThatEndsEarlyKeepsWhatHasArrived checks that a second call asks only for what the first has not got.
func TestFetchThatEndsEarlyKeepsWhatHasArrived(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		value := routes(6000)
		from := newHolder(value)
		from.answers = 5
		f := fetcher(from)
		ctx, cancel := context.WithTimeout(t.Context(), messageTimeout/2)
		defer cancel()
		_, err := f.Fetch(ctx, "config", describe(value), []string{"0"})
		assert.Assert(t, errors.Is(err, ErrIncomplete), "%v", err)
		fetched := f.Store.Counters.BytesFetched.Value()
		assert.Assert(t, fetched > 0)
		from.answers = -1
		got, err := f.Fetch(t.Context(), "config", describe(value), []string{"0"})
		assert.NilError(t, err)
		assert.Assert(t, bytes.Equal(got, value))
		assert.Equal(t, f.Store.Counters.Incomplete.Value(), int64(1))
		assert.Assert(t, f.Store.Counters.BytesFetched.Value() < int64(len(value)/3))
	})
}

// TestHostsPassOnWhatTheyHave checks that a host with a part of a value serves that part.
func TestHostsPassOnWhatTheyHave(t *testing.T) {
	value := routes(2000)
	m := describe(value)
	part := newHolder(value[:len(value)/2])
	whole := newHolder(value)
	f := fetcher(part, whole)
	got, err := f.Fetch(t.Context(), "config", m, []string{"0", "1"})
	assert.NilError(t, err)
	assert.Assert(t, bytes.Equal(got, value))
	assert.Assert(t, part.store.Counters.BytesServed.Value() > 0 && whole.store.Counters.BytesServed.Value() > 0)
}

func TestDamagedRepliesAreNotTaken(t *testing.T) {
	value := routes(500)
	damaged, sound := newHolder(value), newHolder(value)
	damaged.corrupt = true
	f := fetcher(damaged, sound)
	got, err := f.Fetch(t.Context(), "config", describe(value), []string{"0", "1"})
	assert.NilError(t, err)
	assert.Assert(t, bytes.Equal(got, value))
	_, err = fetcher(damaged).Fetch(t.Context(), "config", describe(value), []string{"0"})
	assert.Assert(t, errors.Is(err, ErrIncomplete))
}

func TestInconsistentManifestsAreRefused(t *testing.T) {
	value := routes(500)
	from := newHolder(value)
	for name, change := range map[string]func(*Manifest){
		"other digest":   func(m *Manifest) { m.Digest[0]++ },
		"other size":     func(m *Manifest) { m.Size++ },
		"empty chunk":    func(m *Manifest) { m.Chunks[0].Size = 0 },
		"too many bytes": func(m *Manifest) { m.Chunks[0].Size = maxValueBytes },
	} {
		m := describe(value)
		change(&m)
		f := fetcher(from)
		_, err := f.Fetch(t.Context(), "config", m, []string{"0"})
		assert.Assert(t, err != nil, name)
	}
}

// TestCallsForOneValueShareTheirWork checks that the topic and the comparison with the leader do not fetch a value twice.
func TestCallsForOneValueShareTheirWork(t *testing.T) {
	value := routes(3000)
	from := newHolder(value)
	f := fetcher(from)
	var calls sync.WaitGroup
	for range 4 {
		calls.Go(func() {
			got, err := f.Fetch(t.Context(), "config", describe(value), []string{"0"})
			assert.Check(t, err == nil && bytes.Equal(got, value))
		})
	}
	calls.Wait()
	one := fetcher(newHolder(value))
	_, err := one.Fetch(t.Context(), "config", describe(value), []string{"0"})
	assert.NilError(t, err)
	assert.Equal(t, f.Store.Counters.BytesFetched.Value(), one.Store.Counters.BytesFetched.Value())
}

// TestStoreKeepsTheLastVersions checks that a Store is bounded, and that a name with many versions does not displace another one.
func TestStoreKeepsTheLastVersions(t *testing.T) {
	s := NewStore()
	config := routes(1000)
	s.Add("config", config)
	for i := range 50 {
		s.Add("plan", routes(100+i))
	}
	assert.Equal(t, len(s.versions["plan"]), versionsKept)
	reply, err := s.Serve(ChunksArgs{IDs: []ChunkID{describe(config).Chunks[0].ID}})
	assert.NilError(t, err)
	assert.Equal(t, len(reply.IDs), 1)
}

// TestAnyValueArrives fetches random versions of random values one after the other.
func TestAnyValueArrives(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		from := newHolder()
		f := fetcher(from)
		value := []byte{}
		for range rapid.IntRange(1, 6).Draw(t, "versions") {
			at := rapid.IntRange(0, len(value)).Draw(t, "at")
			end := rapid.IntRange(at, len(value)).Draw(t, "end")
			pattern := rapid.SliceOfN(rapid.Byte(), 1, 40).Draw(t, "pattern")
			added := bytes.Repeat(pattern, rapid.IntRange(0, 4000).Draw(t, "repeats"))
			value = append(append(append([]byte{}, value[:at]...), added...), value[end:]...)
			m := from.store.Add("config", value)
			got, err := f.Fetch(context.Background(), "config", m, []string{"0"})
			assert.NilError(t, err)
			assert.Assert(t, bytes.Equal(got, value))
		}
	})
}

func BenchmarkDescribe(b *testing.B) {
	value := routes(6000)
	b.SetBytes(int64(len(value)))
	for b.Loop() {
		describe(value)
	}
}
