package edge

import (
	"context"
	"maps"
	"sync/atomic"
	"time"

	"github.com/poplarcroft/poplarcroft/internal/duty"
	"github.com/poplarcroft/poplarcroft/internal/eventlog"
	"github.com/poplarcroft/poplarcroft/internal/follow"
	"github.com/poplarcroft/poplarcroft/internal/routetable"
)

const (
	// ordersWait is how long one read of the operators' records waits for a change.
	ordersWait = 20 * time.Second
	// ordersCheckAfter is when a read that waits is checked for a record that it has missed.
	ordersCheckAfter = 400 * time.Millisecond
)

// hungAfter is how long a read is under way before it can be taken for one that hangs.
const hungAfter = 700 * time.Millisecond

// orders follows the operators' records. One goroutine changes it; all may read.
type orders struct {
	platform Platform
	log      *eventlog.Log
	changed  func()

	table  atomic.Pointer[routetable.Table]
	closed atomic.Pointer[map[string]bool]
	// next is how far the records have been read; behind asks for a new read.
	next   atomic.Uint64
	behind chan struct{}
	// zones holds the closed zone of each key.
	zones map[string]string
}

func newOrders(platform Platform, log *eventlog.Log, changed func()) *orders {
	o := &orders{platform: platform, log: log, changed: changed, zones: make(map[string]string), behind: make(chan struct{}, 1)}
	o.closed.Store(&map[string]bool{})
	return o
}

// Table returns the configuration in force, or nil.
func (o *orders) Table() *routetable.Table {
	return o.table.Load()
}

// Closed reports whether a zone's servers get nothing.
func (o *orders) Closed(zone string) bool {
	return (*o.closed.Load())[zone]
}

// Next returns how far the records have been read.
func (o *orders) Next() uint64 {
	return o.next.Load()
}

// checkProgress gives up the read under way where another host has read further: its
// answer is lost.
func (o *orders) checkProgress(others uint64) {
	if o.next.Load() >= others {
		return
	}
	select {
	case o.behind <- struct{}{}:
	default:
	}
}

// read takes over what has changed.
func (o *orders) read(ctx context.Context, follower *follow.Follower) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go o.cancelIfBehind(ctx, cancel)
	change, err := follower.Read(ctx, ordersWait)
	if err != nil {
		return err
	}
	o.next.Store(follower.Next())
	o.apply(change)
	return nil
}

// cancelIfBehind ends a read that is under way for longer than an answer takes, where
// another host has read further.
func (o *orders) cancelIfBehind(ctx context.Context, cancel func()) {
	duty.Wait(ctx, hungAfter)
	// A signal from before this read says nothing about it.
	select {
	case <-o.behind:
	default:
	}
	select {
	case <-o.behind:
		o.log.Event("order", "next", o.next.Load(), "outcome", "behind, read anew")
		cancel()
	case <-ctx.Done():
	}
}

func (o *orders) apply(change follow.Change) {
	present := make(map[string]bool, len(change.Records))
	for _, record := range change.Records {
		present[record.Key] = true
		if len(record.Value) == 0 {
			o.drop(record.Key)
			continue
		}
		o.take(record)
	}
	if change.Whole {
		for key := range maps.Clone(o.zones) {
			if !present[key] {
				o.drop(key)
			}
		}
	}
	if len(change.Records) > 0 || change.Whole {
		o.changed()
	}
}

func (o *orders) take(record follow.Record) {
	order, err := o.platform.Order(record)
	if err != nil {
		o.log.Event("order", "key", record.Key, "offset", record.Offset, "outcome", "rejected", "err", err.Error())
		return
	}
	if order.Config != nil {
		o.takeConfig(order.Config, record.Offset)
	}
	if order.ClosedZone != "" {
		o.zones[record.Key] = order.ClosedZone
		o.publishZones()
		o.log.Event("zone", "zone", order.ClosedZone, "outcome", "closed", "offset", record.Offset)
	}
}

// takeConfig puts a configuration in force unless a newer one is.
func (o *orders) takeConfig(config *routetable.Config, offset uint64) {
	if known := o.table.Load(); known != nil && config.Version <= known.Version {
		return
	}
	o.table.Store(routetable.New(*config))
	o.log.Event("config", "version", uint64(config.Version), "routes", len(config.Routes), "offset", offset, "outcome", "in force")
}

func (o *orders) drop(key string) {
	zone, ok := o.zones[key]
	if !ok {
		return
	}
	delete(o.zones, key)
	o.publishZones()
	o.log.Event("zone", "zone", zone, "outcome", "open")
}

func (o *orders) publishZones() {
	closed := make(map[string]bool, len(o.zones))
	for _, zone := range o.zones {
		closed[zone] = true
	}
	o.closed.Store(&closed)
}
