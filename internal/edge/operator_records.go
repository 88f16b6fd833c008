package edge

import (
	"context"
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/poplarcroft/poplarcroft/internal/eventlog"
	"github.com/poplarcroft/poplarcroft/internal/follow"
	"github.com/poplarcroft/poplarcroft/internal/loop"
	"github.com/poplarcroft/poplarcroft/internal/routetable"
)

// maxReadWait is how long one read of the operators' records waits for a change (long polling). The relay bounds it further.
const maxReadWait = 20 * time.Second

// hangTimeout is how long a read must have been in progress before it can count as hanging.
const hangTimeout = 700 * time.Millisecond

// rewriteGrace is how long after a restore of the log what its writers had written before may be
// missing. They write it again, but not at once.
const rewriteGrace = 3 * time.Second

// operatorRecords follows the operators' records: the configuration and the evacuated zones. One
// goroutine calls read; the exported methods, newestConfig, adoptConfig and checkProgress are safe for
// concurrent use. Log lines call a record "order".
type operatorRecords struct {
	platform Platform
	log      *eventlog.Log
	onChange func()

	table     atomic.Pointer[routetable.Table]
	evacuated atomic.Pointer[map[string]bool]
	// next is the ordinal of the position after the last record that was read. A value in behind
	// says that another host has read further.
	next     atomic.Uint64
	behind   chan struct{}
	clock    func() time.Duration
	progress *configProgress

	// mu is held during each change and the call of onChange that follows it.
	mu sync.Mutex
	// configRecord is the record of the configuration in force.
	configRecord follow.Record
	// evacuations holds the records of the evacuated zones by key. ended holds those that have been
	// removed: a restore of the log can bring them back.
	evacuations, ended map[string]evacuation
}

// evacuation is the record of an evacuated zone.
type evacuation struct {
	zone   string
	offset uint64
	// missing is set if a restore of the log has lost the record. It is kept until missingUntil,
	// unless the operators write or remove it before.
	missing      bool
	missingUntil time.Duration
}

func newOperatorRecords(platform Platform, clock func() time.Duration, log *eventlog.Log, onChange func()) *operatorRecords {
	o := &operatorRecords{
		platform: platform, clock: clock, log: log, onChange: onChange, behind: make(chan struct{}, 1),
		progress: newConfigProgress(clock), evacuations: make(map[string]evacuation), ended: make(map[string]evacuation),
	}
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

// Next returns the ordinal of the position after the last record that was read.
func (o *operatorRecords) Next() uint64 {
	return o.next.Load()
}

// checkProgress notes that another host has read up to the position with the given ordinal. If that
// is further than this host, the read in progress is cancelled, as its answer has probably been lost.
func (o *operatorRecords) checkProgress(furthest uint64) {
	o.progress.noteOthersRead(furthest)
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
	var received follow.Progress
	ctx, cancel := context.WithCancelCause(follow.WithProgress(ctx, &received))
	defer cancel(nil)
	go o.cancelIfBehind(ctx, cancel, &received)
	change, err := follower.Read(ctx, o.readWait())
	if err != nil {
		o.progress.readFailed(errors.Is(context.Cause(ctx), errBehind), received.Bytes())
		return err
	}
	o.next.Store(follower.Next().Ordinal())
	if change.Restored {
		o.log.Event("restored", "topic", "operators' records", "era", follower.Next().Era.Number(), "next", follower.Next().Offset)
	}
	o.apply(change)
	o.progress.noteRead(follower.Next().Ordinal())
	return nil
}

// readWait returns how long the next read may wait for a change.
func (o *operatorRecords) readWait() time.Duration {
	wait := maxReadWait
	for _, e := range o.evacuations {
		if e.missing {
			wait = min(wait, max(e.missingUntil-o.clock(), time.Millisecond))
		}
	}
	return wait
}

// errBehind is the cause with which a read is canceled that another host has overtaken.
var errBehind = errors.New("edge: read canceled because another host has read further")

// cancelIfBehind cancels a read that takes longer than hangTimeout if another host has read further and
// no bytes arrive. A shorter time would also cancel reads that are about to get their answer.
func (o *operatorRecords) cancelIfBehind(ctx context.Context, cancel context.CancelCauseFunc, received *follow.Progress) {
	loop.Sleep(ctx, hangTimeout)
	// A signal from before hangTimeout may be from before this read, so it proves nothing.
	select {
	case <-o.behind:
	default:
	}
	select {
	case <-o.behind:
	case <-ctx.Done():
		return
	}
	for before := int64(0); received.Bytes() > before; {
		before = received.Bytes()
		loop.Sleep(ctx, hangTimeout)
	}
	if ctx.Err() != nil {
		return
	}
	o.log.Event("order", "next", o.next.Load(), "received", received.Bytes(), "outcome", "another host has read further, restarting the read")
	cancel(errBehind)
}

// apply applies a change of the topic. A record without a value has been removed.
func (o *operatorRecords) apply(change follow.Change) {
	o.mu.Lock()
	defer o.mu.Unlock()
	present := make(map[string]bool, len(change.Records))
	for _, record := range change.Records {
		present[record.Key] = true
		switch {
		case len(record.Value) == 0:
			o.removeKey(record.Key)
		case change.Restored && o.endedBefore(record):
			o.log.Event("zone", "key", record.Key, "offset", record.Offset, "outcome", "stays open, the record is from before the restore")
		default:
			o.applyRecord(record, change.Age)
		}
	}
	if change.Snapshot {
		o.removeAbsent(present, change.Restored)
	}
	expired := o.removeExpired()
	if len(change.Records) > 0 || change.Snapshot || expired {
		o.onChange()
	}
}

// endedBefore reports whether a record in the snapshot of a restored log is one that this host has
// seen being removed.
func (o *operatorRecords) endedBefore(record follow.Record) bool {
	e, ok := o.ended[record.Key]
	return ok && e.offset == record.Offset
}

// removeAbsent ends the evacuations whose records a snapshot does not have. The snapshot of a restored
// log may lack records that the operators write again, so what is in force stays for rewriteGrace.
func (o *operatorRecords) removeAbsent(present map[string]bool, restored bool) {
	for key, e := range maps.Clone(o.evacuations) {
		switch {
		case present[key]:
		case restored:
			e.missing = true
			e.missingUntil = o.clock() + rewriteGrace
			o.evacuations[key] = e
			o.log.Event("zone", "zone", e.zone, "outcome", "stays closed, the record was lost in the restore")
		case !e.missing:
			o.removeKey(key)
		}
	}
}

// removeExpired ends the evacuations whose records were lost and not written again in time. It
// reports whether there were any.
func (o *operatorRecords) removeExpired() bool {
	expired := false
	for key, e := range maps.Clone(o.evacuations) {
		if e.missing && o.clock() >= e.missingUntil {
			o.removeKey(key)
			expired = true
		}
	}
	return expired
}

// applyRecord applies one record. A malformed one is logged and changes nothing.
func (o *operatorRecords) applyRecord(record follow.Record, age follow.Age) {
	decoded, err := o.platform.DecodeOperatorRecord(record)
	if err != nil {
		o.log.Event("order", "key", record.Key, "offset", record.Offset, "outcome", "rejected", "err", err.Error())
		return
	}
	if decoded.Config != nil {
		o.applyConfig(decoded.Config, record, "relayed", age.Relayed, "age_ms", age.Arrived.Milliseconds())
	}
	if decoded.EvacuatedZone != "" {
		o.evacuations[record.Key] = evacuation{zone: decoded.EvacuatedZone, offset: record.Offset}
		o.publishZones()
		o.log.Event("zone", "zone", decoded.EvacuatedZone, "outcome", "closed", "offset", record.Offset)
	}
}

// applyConfig puts a configuration in force unless the same or a newer version already is, and reports
// whether it did. source holds fields for the log line.
func (o *operatorRecords) applyConfig(config *routetable.Config, record follow.Record, source ...any) bool {
	fields := append([]any{"version", uint64(config.Version), "offset", record.Offset}, source...)
	if current := o.table.Load(); current != nil && config.Version <= current.Version {
		if config.Version < current.Version {
			o.log.Event("config", append(fields, "in_force", uint64(current.Version), "outcome", "older, ignored")...)
		}
		return false
	}
	o.table.Store(routetable.New(*config))
	o.configRecord = record
	behind := o.progress.inForce(config.Version, len(record.Value))
	o.log.Event("config", append(fields, "routes", len(config.Routes), "bytes", len(record.Value), "behind_ms", behind.Milliseconds(), "outcome", "in force")...)
	return true
}

// newestConfig returns the version and the record of the configuration in force, or version zero if
// there is none.
func (o *operatorRecords) newestConfig() (routetable.Version, follow.Record) {
	o.mu.Lock()
	defer o.mu.Unlock()
	current := o.table.Load()
	if current == nil {
		return 0, follow.Record{}
	}
	return current.Version, o.configRecord
}

// adoptConfig puts another host's configuration in force if it is newer. It fails if the record holds
// none.
func (o *operatorRecords) adoptConfig(record follow.Record, from string) error {
	decoded, err := o.platform.DecodeOperatorRecord(record)
	if err != nil {
		return err
	}
	if decoded.Config == nil {
		return errors.Newf("edge: the record with key %q of host %s is not a configuration", record.Key, from)
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.applyConfig(decoded.Config, record, "from", from) {
		o.onChange()
	}
	return nil
}

// removeKey ends the evacuation whose record had the given key, if there is one.
func (o *operatorRecords) removeKey(key string) {
	e, ok := o.evacuations[key]
	if !ok {
		return
	}
	delete(o.evacuations, key)
	o.ended[key] = e
	o.publishZones()
	o.log.Event("zone", "zone", e.zone, "outcome", "open")
}

// publishZones replaces the set of evacuated zones that other goroutines read.
func (o *operatorRecords) publishZones() {
	evacuated := make(map[string]bool, len(o.evacuations))
	for _, e := range o.evacuations {
		evacuated[e.zone] = true
	}
	o.evacuated.Store(&evacuated)
}
