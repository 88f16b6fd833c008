package edge

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"github.com/poplarcroft/poplarcroft/internal/eventlog"
	"github.com/poplarcroft/poplarcroft/internal/fleet"
	"github.com/poplarcroft/poplarcroft/internal/follow"
	"github.com/poplarcroft/poplarcroft/internal/routetable"
)

// fakePlatform decodes records whose values are versions or zones, one byte each.
type fakePlatform struct{ Platform }

func (fakePlatform) Order(record follow.Record) (Order, error) {
	if record.Key == "config" {
		if record.Value[0] == '!' {
			return Order{}, errors.New("malformed")
		}
		return Order{Config: &routetable.Config{Version: routetable.Version(record.Value[0] - '0')}}, nil
	}
	return Order{ClosedZone: record.Key}, nil
}

func (fakePlatform) Server(record follow.Record) (fleet.Entry, error) {
	if record.Value[0] == '!' {
		return fleet.Entry{}, errors.New("malformed")
	}
	return fleet.Entry{ID: fleet.ID(record.Key), Service: "revize", Addr: record.Key + ":80", Born: int64(record.Value[0])}, nil
}

func newTestOrders() *orders {
	return newOrders(fakePlatform{}, eventlog.Discard(), func() {})
}

func record(key, value string) follow.Record {
	return follow.Record{Key: key, Value: []byte(value)}
}

func TestConfigurationNeverGoesBack(t *testing.T) {
	o := newTestOrders()
	o.apply(follow.Change{Records: []follow.Record{record("config", "4")}})
	o.apply(follow.Change{Records: []follow.Record{record("config", "2")}, Whole: true})
	assert.Equal(t, o.Table().Version, routetable.Version(4))
	o.apply(follow.Change{Records: []follow.Record{record("config", "!")}})
	assert.Equal(t, o.Table().Version, routetable.Version(4))
}

func TestZonesCloseAndOpen(t *testing.T) {
	o := newTestOrders()
	o.apply(follow.Change{Records: []follow.Record{record("zlin", "1"), record("brno", "1")}})
	assert.Assert(t, o.Closed("zlin") && o.Closed("brno"))
	o.apply(follow.Change{Records: []follow.Record{record("zlin", "")}})
	assert.Assert(t, !o.Closed("zlin") && o.Closed("brno"))
	o.apply(follow.Change{Whole: true})
	assert.Assert(t, !o.Closed("brno"))
}

// hangingSource answers the first read of changes never, the next ones at once.
type hangingSource struct{ reads int }

func (s *hangingSource) Newest(context.Context) (follow.Batch, error) {
	return follow.Batch{Records: []follow.Record{{Key: "config", Value: []byte("4"), Offset: 1}}, End: 2}, nil
}

func (s *hangingSource) Since(ctx context.Context, _ uint64, _ time.Duration) (follow.Batch, error) {
	s.reads++
	if s.reads == 1 {
		<-ctx.Done()
		return follow.Batch{}, ctx.Err()
	}
	return follow.Batch{Records: []follow.Record{{Key: "config", Value: []byte("7"), Offset: 2}}, End: 3}, nil
}

// slowSource answers after a while, as a store does that is slow.
type slowSource struct{ hangingSource }

func (s *slowSource) Since(ctx context.Context, offset uint64, wait time.Duration) (follow.Batch, error) {
	s.reads = 1
	select {
	case <-ctx.Done():
		return follow.Batch{}, ctx.Err()
	case <-time.After(500 * time.Millisecond):
		return s.hangingSource.Since(ctx, offset, wait)
	}
}

// TestReadThatCatchesUpIsLetFinish replays scale-2 of Moravia: hosts that had been cut off read anew
// again and again for three seconds, since each new plan ended the read that would have told them.
func TestReadThatCatchesUpIsLetFinish(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := newTestOrders()
		follower := follow.New(&slowSource{})
		assert.NilError(t, o.read(t.Context(), follower))
		ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
		defer cancel()
		go func() {
			for ctx.Err() == nil {
				o.checkProgress(3)
				time.Sleep(20 * time.Millisecond)
			}
		}()
		assert.NilError(t, o.read(ctx, follower))
		assert.Equal(t, o.Table().Version, routetable.Version(7))
		cancel()
		time.Sleep(time.Second)
	})
}

// TestHangingReadIsGivenUp replays trouble-2 of Moravia: the answer to the read of a host
// that had just started was lost, and it kept version 4 for twenty seconds.
func TestHangingReadIsGivenUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := newTestOrders()
		follower := follow.New(&hangingSource{})
		assert.NilError(t, o.read(t.Context(), follower))
		started := time.Now()
		time.AfterFunc(time.Second, func() { o.checkProgress(3) })
		assert.Assert(t, o.read(t.Context(), follower) != nil)
		assert.NilError(t, o.read(t.Context(), follower))
		assert.Equal(t, o.Table().Version, routetable.Version(7))
		assert.Equal(t, time.Since(started), time.Second)
		o.checkProgress(3)
		assert.Equal(t, len(o.behind), 0)
		time.Sleep(time.Second)
	})
}
