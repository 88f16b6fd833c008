package edge

import (
	"context"
	"maps"
	"sync/atomic"
	"time"

	"github.com/poplarcroft/poplarcroft/internal/eventlog"
	"github.com/poplarcroft/poplarcroft/internal/follow"
	"github.com/poplarcroft/poplarcroft/internal/loop"
	"github.com/poplarcroft/poplarcroft/internal/routetable"
)

const (
	// maxReadWait is how long one read of the operators' records waits for a change (long polling).
	maxReadWait = 20 * time.Second
	// recheckAfter is the time into such a read after which a second one checks whether the first
	// has missed a record; see follow.Checked.
	recheckAfter = 400 * time.Millisecond
)

// hangTimeout is how long a read must have been in progress before it can count as hanging.
const hangTimeout = 700 * time.Millisecond

// operatorRecords follows the operators' records: the configuration and the evacuated zones. One
// goroutine calls read; Table, Evacuated, Next and checkProgress are safe for concurrent use. Log
// lines call a record "order".
type operatorRecords struct {
	platform Platform
	log      *eventlog.Log
	onChange func()

	table     atomic.Pointer[routetable.Table]
	evacuated atomic.Pointer[map[string]bool]
	// next is the offset after the last record that was read. A value in behind says that another
	// host has read further.
	next   atomic.Uint64
	behind chan struct{}
	// zoneByKey holds the evacuated zones by the keys of their records.
	zoneByKey map[string]string
}

func newOperatorRecords(platform Platform, log *eventlog.Log, onChange func()) *operatorRecords {
	o := &operatorRecords{platform: platform, log: log, onChange: onChange, zoneByKey: make(map[string]string), behind: make(chan struct{}, 1)}
	o.evacuated.Store(&map[string]bool{})
	return o
}

// Table returns the configuration in force, or nil if none has been read yet.
func (o *operatorRecords) Table() *routetable.Table {
	return o.table.Load()
}

// Evacuated reports whether a zone is evacuated, so that its servers get no requests.
func (o *operatorRecords) Evacuated(zone string) bool {
	return (*o.evacuated.Load())[zone]
}

// Next returns the offset after the last record that was read.
func (o *operatorRecords) Next() uint64 {
	return o.next.Load()
}

// checkProgress notes that another host has read up to the given offset. If that is further than
// this host, the read in progress is cancelled, as its answer has probably been lost.
func (o *operatorRecords) checkProgress(furthest uint64) {
	if o.next.Load() >= furthest {
		return
	}
	select {
	case o.behind <- struct{}{}:
	default:
	}
}

// read reads the topic once and applies the changes.
func (o *operatorRecords) read(ctx context.Context, follower *follow.Follower) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go o.cancelIfBehind(ctx, cancel)
	change, err := follower.Read(ctx, maxReadWait)
	if err != nil {
		return err
	}
	o.next.Store(follower.Next())
	o.apply(change)
	return nil
}

// cancelIfBehind cancels a read that takes longer than hangTimeout if another host has read
// further. A shorter time would also cancel reads that are about to get their answer.
func (o *operatorRecords) cancelIfBehind(ctx context.Context, cancel func()) {
	loop.Sleep(ctx, hangTimeout)
	// A signal from before hangTimeout may be from before this read, so it proves nothing.
	select {
	case <-o.behind:
	default:
	}
	select {
	case <-o.behind:
		o.log.Event("order", "next", o.next.Load(), "outcome", "another host has read further, restarting the read")
		cancel()
	case <-ctx.Done():
	}
}

// apply applies a change of the topic. A record without a value has been removed.
func (o *operatorRecords) apply(change follow.Change) {
	present := make(map[string]bool, len(change.Records))
	for _, record := range change.Records {
		present[record.Key] = true
		if len(record.Value) == 0 {
			o.removeKey(record.Key)
			continue
		}
		o.applyRecord(record)
	}
	if change.Snapshot {
		for key := range maps.Clone(o.zoneByKey) {
			if !present[key] {
				o.removeKey(key)
			}
		}
	}
	if len(change.Records) > 0 || change.Snapshot {
		o.onChange()
	}
}

// applyRecord applies one record. A malformed one is logged and changes nothing.
func (o *operatorRecords) applyRecord(record follow.Record) {
	decoded, err := o.platform.DecodeOperatorRecord(record)
	if err != nil {
		o.log.Event("order", "key", record.Key, "offset", record.Offset, "outcome", "rejected", "err", err.Error())
		return
	}
	if decoded.Config != nil {
		o.applyConfig(decoded.Config, record.Offset)
	}
	if decoded.EvacuatedZone != "" {
		o.zoneByKey[record.Key] = decoded.EvacuatedZone
		o.publishZones()
		o.log.Event("zone", "zone", decoded.EvacuatedZone, "outcome", "closed", "offset", record.Offset)
	}
}

// applyConfig puts a configuration in force unless the same or a newer version already is.
func (o *operatorRecords) applyConfig(config *routetable.Config, offset uint64) {
	if current := o.table.Load(); current != nil && config.Version <= current.Version {
		return
	}
	o.table.Store(routetable.New(*config))
	o.log.Event("config", "version", uint64(config.Version), "routes", len(config.Routes), "offset", offset, "outcome", "in force")
}

// removeKey ends the evacuation of the zone whose record had the given key, if there is one.
func (o *operatorRecords) removeKey(key string) {
	zone, ok := o.zoneByKey[key]
	if !ok {
		return
	}
	delete(o.zoneByKey, key)
	o.publishZones()
	o.log.Event("zone", "zone", zone, "outcome", "open")
}

// publishZones replaces the set of evacuated zones that other goroutines read.
func (o *operatorRecords) publishZones() {
	evacuated := make(map[string]bool, len(o.zoneByKey))
	for _, zone := range o.zoneByKey {
		evacuated[zone] = true
	}
	o.evacuated.Store(&evacuated)
}
